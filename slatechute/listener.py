"""Connections of callers: their number, and the time to send a request."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from slatechute import errors

__all__ = ["HEAD_LIMIT_S", "CallerListener", "Connection"]

# From the first byte of a request to the end of its headers. Waiting for the
# first byte is bounded by the keep-alive time.
HEAD_LIMIT_S = 5.0
_SWEEP_S = 0.5
# Connections above the limit that may wait for their refusal; further ones are
# closed at once.
_REFUSED_CONNECTIONS = 64


class Connection(web.RequestHandler):
    """A connection of a caller.

    Attributes:
        is_refused: Whether it is above the limit, so that its first request is
            refused.
        head_since_s: Loop time of the first byte of a request whose headers are
            not complete, 0 when there is none.
        is_serving: Whether a request with complete headers is under way.
    """

    __slots__ = ("head_since_s", "is_refused", "is_serving")

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_refused = False
        self.head_since_s = 0.0
        self.is_serving = False

    def data_received(self, data: bytes) -> None:
        """Note when the headers of a request begin."""
        if not self.is_serving and not self.head_since_s:
            self.head_since_s = self._loop.time()
        super().data_received(data)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Count a request that cannot be parsed, and tell why it ends."""
        response = super().handle_error(request, status, exc, message)
        if 400 <= status < 500 and self._manager is not None:
            self._manager.refused(errors.Reason.BAD_REQUEST)
            response.headers["Slatechute-Outcome"] = errors.Outcome.NOT_RUN
            response.headers["Slatechute-Reason"] = errors.Reason.BAD_REQUEST
        return response


class CallerListener(web.Server):
    """Server that bounds connections and slow senders.

    Args:
        handler: Answers requests; sees the connection as `request.protocol`.
        max_connections: Connections that are served.
        refused: Counts a connection that is refused or closed.
        head_limit_s: Longest time for the headers of a request.
        kwargs: Arguments of `web.Server`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        max_connections: int,
        refused: Callable[[errors.Reason], None],
        head_limit_s: float = HEAD_LIMIT_S,
        **kwargs,
    ):
        super().__init__(handler, **kwargs)
        self.refused = refused
        self._max_connections = max_connections
        self._head_limit_s = head_limit_s
        self._sweeper = self._loop.call_later(_SWEEP_S, self._sweep)

    def __call__(self) -> Connection:
        """Return the protocol of a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self, handler: Connection, transport: asyncio.Transport
    ) -> None:
        """Mark or close a connection above the limit."""
        super().connection_made(handler, transport)
        above = len(self._connections) - self._max_connections
        if above <= 0:
            return
        if above > _REFUSED_CONNECTIONS:
            self.refused(errors.Reason.OVERLOAD)
            transport.abort()
            return
        # The refusal answers the first request: a response that is sent before
        # it could be lost, as closing with unread bytes resets the connection.
        handler.is_refused = True
        self._loop.call_later(self._head_limit_s, _abort_refused, self, handler)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        self._sweeper.cancel()
        await super().shutdown(timeout)

    def _sweep(self) -> None:
        """Close connections that take too long to send their headers."""
        self._sweeper = self._loop.call_later(_SWEEP_S, self._sweep)
        since_s = self._loop.time() - self._head_limit_s
        for connection in self.connections:
            if (
                not connection.is_serving
                and 0 < connection.head_since_s < since_s
                and connection.transport is not None
            ):
                self.refused(errors.Reason.REQUEST_TOO_SLOW)
                connection.transport.abort()


def _abort_refused(listener: CallerListener, connection: Connection) -> None:
    """Close a connection above the limit that sends no request."""
    if connection.transport is not None and not connection.is_serving:
        listener.refused(errors.Reason.OVERLOAD)
        connection.transport.abort()
