"""Connections of callers: their number, and the time to send a request."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from slatechute import errors
from slatechute.util import addresses

__all__ = [
    "HEAD_LIMIT_S",
    "CallerListener",
    "Connection",
    "read_body",
    "serve",
]

# From the first byte of a request to the end of its headers. Waiting for the
# first byte is bounded by the keep-alive time.
HEAD_LIMIT_S = 5.0
_SWEEP_S = 0.5
_MAX_HEADER_BYTES = 16 * 1024
# At `_MAX_HEADER_BYTES` each, the headers of a request take at most 1 MiB.
_MAX_HEADERS = 64
_KEEPALIVE_S = 75.0
_BODY_LIMIT_S = 10.0
# How long the rest of a refused body is read, so that the caller gets to see
# the refusal.
_LINGERING_S = 2.0
_BACKLOG = 1024
# Connections above the limit that may wait for their refusal; further ones are
# closed at once.
_REFUSED_CONNECTIONS = 64


class Connection(web.RequestHandler):
    """A connection of a caller.

    Attributes:
        is_over_limit: Whether it is above the limit, so that its first request
            is refused.
        header_started_s: Loop time of the first byte of a request whose headers
            are not complete, 0 when there is none.
        is_serving: Whether a request with complete headers is under way.
    """

    __slots__ = ("header_started_s", "is_over_limit", "is_serving")

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_over_limit = False
        self.header_started_s = 0.0
        self.is_serving = False

    def data_received(self, data: bytes) -> None:
        """Note when the headers of a request begin."""
        if not self.is_serving and not self.header_started_s:
            self.header_started_s = self._loop.time()
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
        handler.is_over_limit = True
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
                and 0 < connection.header_started_s < since_s
                and connection.transport is not None
            ):
                self.refused(errors.Reason.REQUEST_TOO_SLOW)
                connection.transport.abort()


async def serve(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
    *,
    max_connections: int,
    on_refused: Callable[[errors.Reason], None],
    **kwargs,
) -> web.ServerRunner:
    """Listen for callers; return the runner, whose `cleanup` ends it.

    Args:
        handler: Answers requests; cancelled when its caller leaves.
        address: Host and port.
        max_connections: Connections that are served.
        on_refused: Counts a connection that is refused or closed.
        kwargs: Arguments of `web.ServerRunner`.

    Raises:
        OSError: The address cannot be used.
    """
    server = CallerListener(
        handler,
        max_connections=max_connections,
        refused=on_refused,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=_KEEPALIVE_S,
        max_field_size=_MAX_HEADER_BYTES,
        max_line_size=_MAX_HEADER_BYTES,
        max_headers=_MAX_HEADERS,
        lingering_time=_LINGERING_S,
    )
    runner = web.ServerRunner(server, **kwargs)
    await runner.setup()
    host, port = addresses.split_address(address)
    await web.TCPSite(runner, host, port, backlog=_BACKLOG).start()
    return runner


async def read_body(http: web.BaseRequest, limit: int) -> bytes:
    """Return the body of a request.

    Raises:
        errors.RequestError: It is larger than `limit` bytes or comes too
            slowly.
    """
    if not http.body_exists:
        return b""
    too_large = errors.RequestError(
        errors.Reason.BODY_TOO_LARGE, errors.Step.ACCEPTED, status=413
    )
    if http.content_length is not None and http.content_length > limit:
        raise too_large
    parts, size = [], 0
    try:
        async with asyncio.timeout(_BODY_LIMIT_S):
            async for chunk in http.content.iter_any():
                size += len(chunk)
                if size > limit:
                    raise too_large
                parts.append(chunk)
    except TimeoutError:
        raise errors.RequestError(
            errors.Reason.REQUEST_TOO_SLOW, errors.Step.ACCEPTED, status=408
        ) from None
    return b"".join(parts)


def _abort_refused(listener: CallerListener, connection: Connection) -> None:
    """Close a connection above the limit that sends no request."""
    if connection.transport is not None and not connection.is_serving:
        listener.refused(errors.Reason.OVERLOAD)
        connection.transport.abort()
