"""Caller connections: limits on their number and on slow senders."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from slatechute import errors
from slatechute.util import addresses
from slatechute.util import input_turns
from slatechute.util import memory

__all__ = [
    "HEADERS_TIMEOUT_S",
    "CallerListener",
    "Connection",
    "HeldBody",
    "read_body",
    "serve",
]

# Longest time from the first byte of a request to the end of its headers. The
# wait for the first byte is bounded by the keep-alive timeout.
HEADERS_TIMEOUT_S = 5.0
_SWEEP_INTERVAL_S = 0.5
_MAX_HEADER_BYTES = 16 * 1024
# At `_MAX_HEADER_BYTES` each, the headers of a request take at most 1 MiB.
_MAX_HEADERS = 64
_KEEPALIVE_TIMEOUT_S = 75.0
_BODY_TIMEOUT_S = 10.0
# How long the rest of a refused body is read. Closing with unread bytes would
# reset the connection before the caller has read the refusal.
_LINGERING_S = 2.0
_BACKLOG = 1024
# Bytes of a body that wait for their reader, before the connection is paused.
_READ_BUFFER_BYTES = 16 * 1024
# Connections above the limit that stay open until their first request is
# refused, at most this number and share of the limit. Further ones are closed
# immediately.
_MAX_REFUSED_CONNECTIONS = 64
_MAX_REFUSED_SHARE = 0.25
# Time in which a caller begins its first request. Later, or once it has begun
# and not ended, its connection gives way to a new one at the limit.
_MAX_SILENCE_S = 1.0
# Time after which a caller may try again whose body was given up for memory.
_MEMORY_RETRY_AFTER_MS = 300
# Unparsed input of the connections of a listener without an account.
_DEFAULT_MEMORY_BYTES = 16 * 1024 * 1024


class Connection(web.RequestHandler):
    """Connection of a caller.

    Private members of the flow control of `aiohttp` are used, since it has no
    hook between a read and its parser.

    Attributes:
        is_over_limit: Whether the connection is above the limit, so that its
            first request is refused.
        header_started_s: Loop time of the first byte of a request whose headers
            are incomplete, 0 if there is none.
        is_serving: Whether a request with complete headers is being processed.
        is_unused: Whether it has not sent the headers of a request.
        opened_s: Loop time at which it was opened.
    """

    __slots__ = (
        "_account",
        "_input",
        "header_started_s",
        "is_over_limit",
        "is_serving",
        "is_unused",
        "opened_s",
    )

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.is_over_limit = False
        self.header_started_s = 0.0
        self.is_serving = False
        self.is_unused = True
        self.opened_s = self._loop.time()
        self._account: memory.MemoryAccount = self._manager.account
        self._input = input_turns.SlicedInput(self._feed)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Parse what arrives in turns with the other connections."""
        self._input.attach(transport)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drop what was not parsed."""
        self._input.detach()
        self._account.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Record when the headers of a request begin, and parse in turns."""
        if not self.is_serving and not self.header_started_s:
            self.header_started_s = self._loop.time()
        if data:
            self._input.receive(data)
            self._count_memory()
        else:
            # The base class continues with what its parser holds.
            super().data_received(data)

    def _feed(self, data: bytes | memoryview) -> bool:
        super().data_received(bytes(data))
        self._count_memory()
        return not (self._reading_paused or self._buffer_paused)

    def _count_memory(self) -> None:
        waiting = self._input.waiting_bytes
        if self.transport is not None:
            self._account.hold(self, waiting, waiting)

    def give_way(self) -> None:
        """Close the connection, whose input takes long to parse."""
        self._account.release(self)
        if self.transport is not None:
            self.transport.abort()

    def start_request(self) -> None:
        """Note that the headers of a request are complete."""
        self.is_serving = True
        self.is_unused = False
        self.header_started_s = 0.0

    def _resume_transport_reading(self) -> None:
        """Go on with input that waits before more is read."""
        self._input.resume()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Count a request that cannot be parsed and add the reason headers."""
        response = super().handle_error(request, status, exc, message)
        if 400 <= status < 500 and self._manager is not None:
            self._manager.on_refused(errors.Reason.BAD_REQUEST)
            response.headers["Slatechute-Outcome"] = errors.Outcome.NOT_RUN
            response.headers["Slatechute-Reason"] = errors.Reason.BAD_REQUEST
        return response


class CallerListener(web.Server):
    """Server that limits the number of connections and closes slow ones.

    Args:
        handler: Handles requests; `request.protocol` is the `Connection`.
        max_connections: Connections that are served at a time.
        on_refused: Called with the reason for each connection or request that
            is refused or closed.
        headers_timeout_s: Longest time for the headers of a request, in
            seconds.
        account: Memory that is held for callers.
        kwargs: Arguments of `web.Server`.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        max_connections: int,
        on_refused: Callable[[errors.Reason], None],
        headers_timeout_s: float = HEADERS_TIMEOUT_S,
        account: memory.MemoryAccount | None = None,
        **kwargs,
    ):
        super().__init__(handler, **kwargs)
        self.account = account or memory.MemoryAccount(
            lambda: _DEFAULT_MEMORY_BYTES
        )
        self.on_refused = on_refused
        self._max_connections = max_connections
        self._headers_timeout_s = headers_timeout_s
        self._sweeper = self._loop.call_later(_SWEEP_INTERVAL_S, self._sweep)

    def __call__(self) -> Connection:
        """Return the protocol of a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)

    def connection_made(
        self, handler: Connection, transport: asyncio.Transport
    ) -> None:
        """Mark or close a connection that is above the limit."""
        super().connection_made(handler, transport)
        excess = len(self._connections) - self._max_connections
        if excess <= 0 or self._close_unused(handler):
            return
        refused = int(self._max_connections * _MAX_REFUSED_SHARE)
        if excess > min(_MAX_REFUSED_CONNECTIONS, max(1, refused)):
            self.on_refused(errors.Reason.OVERLOAD)
            transport.abort()
            return
        # The refusal is sent as the response to the first request. An earlier
        # response could be lost, since closing a connection with unread bytes
        # resets it.
        handler.is_over_limit = True
        self._loop.call_later(
            self._headers_timeout_s, _abort_idle, self, handler
        )

    def _close_unused(self, newest: Connection) -> bool:
        """Close the oldest connection that has not sent a request, if any.

        Connections that stop within their first headers would otherwise keep
        all others out.
        """
        oldest_s = self._loop.time() - _MAX_SILENCE_S
        for connection in self.connections:
            if (
                connection.is_unused
                and connection is not newest
                and (
                    connection.header_started_s
                    or connection.opened_s < oldest_s
                )
            ):
                connection.is_unused = False
                self.on_refused(errors.Reason.OVERLOAD)
                connection.transport.abort()
                return True
        return False

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        self._sweeper.cancel()
        await super().shutdown(timeout)

    def _sweep(self) -> None:
        """Close connections that take too long to send their headers."""
        self._sweeper = self._loop.call_later(_SWEEP_INTERVAL_S, self._sweep)
        oldest_start_s = self._loop.time() - self._headers_timeout_s
        for connection in self.connections:
            if (
                not connection.is_serving
                and 0 < connection.header_started_s < oldest_start_s
                and connection.transport is not None
            ):
                self.on_refused(errors.Reason.REQUEST_TOO_SLOW)
                connection.transport.abort()


async def serve(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    address: str,
    *,
    max_connections: int,
    on_refused: Callable[[errors.Reason], None],
    account: memory.MemoryAccount | None = None,
    **kwargs,
) -> web.ServerRunner:
    """Listen for callers.

    Args:
        handler: Handles requests; cancelled when the caller disconnects.
        address: IP address and port.
        max_connections: Connections that are served at a time.
        on_refused: Called with the reason for each connection or request that
            is refused or closed.
        account: Memory that is held for callers.
        kwargs: Arguments of `web.ServerRunner`.

    Returns:
        The runner, whose `cleanup` closes the server.

    Raises:
        OSError: The address is in use or not on this host.
    """
    server = CallerListener(
        handler,
        max_connections=max_connections,
        on_refused=on_refused,
        account=account,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=_KEEPALIVE_TIMEOUT_S,
        max_field_size=_MAX_HEADER_BYTES,
        max_line_size=_MAX_HEADER_BYTES,
        max_headers=_MAX_HEADERS,
        lingering_time=_LINGERING_S,
        read_bufsize=_READ_BUFFER_BYTES,
    )
    runner = web.ServerRunner(server, **kwargs)
    await runner.setup()
    host, port = addresses.split_address(address)
    try:
        await web.TCPSite(runner, host, port, backlog=_BACKLOG).start()
    except OSError:
        await runner.cleanup()
        raise
    return runner


class HeldBody:
    """Body of a request, counted until the request ends.

    Args:
        account: Memory that is held for callers.

    Attributes:
        is_given_up: Whether it was given up for memory.
    """

    def __init__(self, account: memory.MemoryAccount):
        self.is_given_up = False
        self._account = account
        self._content = bytearray()
        self._task = asyncio.current_task()

    def __enter__(self) -> "HeldBody":
        return self

    def __exit__(self, *_exc: object) -> None:
        self._content = bytearray()
        self._account.release(self)

    def add(self, data: bytes) -> None:
        """Add a part of the body.

        Raises:
            errors.RequestError: The memory is needed for others.
        """
        self._content += data
        self._account.hold(self, len(self._content), len(self._content))
        self.check()

    def check(self) -> None:
        """Check that the body was not given up.

        Raises:
            errors.RequestError: It was.
        """
        if self.is_given_up:
            raise errors.RequestError(
                errors.Reason.MEMORY,
                errors.Step.ACCEPTED,
                retry_after_ms=_MEMORY_RETRY_AFTER_MS,
            )

    def complete(self) -> bytes:
        """Return the body, which is not given up any more."""
        self._account.hold(self, len(self._content), 0)
        return bytes(self._content)

    def give_way(self) -> None:
        """Give the body up, and end the task that reads it."""
        self.is_given_up = True
        self._content = bytearray()
        self._account.release(self)
        if self._task is not asyncio.current_task():
            self._task.cancel()

    def __len__(self) -> int:
        """Return the bytes that have arrived."""
        return len(self._content)


async def read_body(
    http: web.BaseRequest, max_bytes: int, body: HeldBody
) -> bytes:
    """Return the body of a request.

    Raises:
        errors.RequestError: The body is larger than `max_bytes`, arrives too
            slowly, or was given up for memory.
    """
    if not http.body_exists:
        return b""
    task = asyncio.current_task()
    cancellations = task.cancelling()
    try:
        return await _read_body(http, max_bytes, body)
    except asyncio.CancelledError:
        # The connection of the caller may have ended as well.
        if not body.is_given_up or task.uncancel() > cancellations:
            raise
    body.check()
    return b""


async def _read_body(
    http: web.BaseRequest, max_bytes: int, body: HeldBody
) -> bytes:
    too_large = errors.RequestError(
        errors.Reason.BODY_TOO_LARGE, errors.Step.ACCEPTED, status=413
    )
    if http.content_length is not None and http.content_length > max_bytes:
        raise too_large
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_S):
            async for chunk in http.content.iter_any():
                if len(body) + len(chunk) > max_bytes:
                    raise too_large
                body.add(chunk)
    except TimeoutError:
        raise errors.RequestError(
            errors.Reason.REQUEST_TOO_SLOW, errors.Step.ACCEPTED, status=408
        ) from None
    return body.complete()


def _abort_idle(listener: CallerListener, connection: Connection) -> None:
    """Close a connection above the limit that has not sent a request."""
    if connection.transport is not None and not connection.is_serving:
        listener.on_refused(errors.Reason.OVERLOAD)
        connection.transport.abort()
