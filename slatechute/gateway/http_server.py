"""HTTP server of a gateway entry, with `httptools` as its parser.

The server of `aiohttp`, which the rest of the product uses, takes a third of
the processor time of the start of an entry and of its memory. A fleet of
hundreds of hosts pays for both on each host and after each restart.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import http

import httptools

from slatechute import errors
from slatechute import logs
from slatechute.util import addresses
from slatechute.util import input_turns
from slatechute.util import memory
from slatechute.util import steps

__all__ = ["Connection", "HttpServer", "Limits", "Request", "Response"]

_LOG = logs.get_logger(__name__)

_BACKLOG = 1024
_SWEEP_INTERVAL_S = 0.5
# A sweep that is later than this follows a pause of the process. Bytes that
# arrived during the pause are not read yet, so no timeout is checked.
_MAX_SWEEP_DELAY_S = 0.5
# At `Limits.max_header_bytes` each, the headers of a request take 1 MiB.
_MAX_HEADERS = 64
# How long the rest of a refused request is read. Closing with unread bytes
# would reset the connection before the caller has read the refusal.
_LINGERING_S = 2.0
# Requests that a caller may send before the response to an earlier one.
_MAX_PIPELINED = 8
_FINISH_INTERVAL_S = 0.01
# Time for the first request of a connection that was accepted last.
_MIN_FINISH_S = 0.05
# Steps of the event loop from the accept of a connection to its registration.
_ACCEPT_STEPS = 3
# Connections above the limit that stay open until their first request is
# refused, at most this number and share of the limit. Further ones are closed
# immediately.
_MAX_REFUSED_CONNECTIONS = 64
_MAX_REFUSED_SHARE = 0.25
# Smaller changes of what a connection holds are not reported to the account, to
# keep ordinary requests cheap.
_UNREPORTED_BYTES = 8 * 1024
# Time in which a caller begins its first request. Later, or once it has begun
# and not ended, its connection gives way to a new one at the limit.
_MAX_SILENCE_S = 1.0
# Memory of a header beside its characters, in bytes.
_HEADER_OVERHEAD_BYTES = 256
# Shorter bodies are copied, as `bytes` take less memory than a buffer that
# grew.
_MIN_BUFFER_BYTES = 64 * 1024
# A long response is written in parts of this size as the caller reads it.
_WRITTEN_PART_BYTES = 256 * 1024
# Of a server that has no account in common with others.
_DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
# Time after which a caller may try again whose request was given up for memory.
_MEMORY_RETRY_AFTER_S = 0.3
_BODILESS_STATUSES = frozenset({204, 304})
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in http.HTTPStatus
}


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of connections.

    Attributes:
        max_header_bytes: Longest request line with headers, in bytes.
        max_body_bytes: Longest request body, in bytes.
        header_timeout_s: Longest time from the first byte of a request to the
            end of its headers, in seconds.
        body_timeout_s: Longest time for a body, in seconds.
        idle_timeout_s: Longest time between two requests, in seconds.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Headers in order, with names as received.
        header_by_name: First header of each name, by lower-case name.
        body: Complete body.
        held_bytes: Memory of its headers and its body.
        connection: Connection on which it arrived.
        started_s: Event loop time at which its headers were complete.
        keep_alive: Whether the caller expects the connection to stay open.
    """

    __slots__ = (
        "body",
        "connection",
        "header_by_name",
        "headers",
        "held_bytes",
        "keep_alive",
        "method",
        "started_s",
        "target",
    )

    def __init__(self, connection: "Connection"):
        self.method = ""
        self.target = ""
        self.headers: list[tuple[str, str]] = []
        self.header_by_name: dict[str, str] = {}
        self.body: bytes | bytearray = b""
        self.held_bytes = 0
        self.connection = connection
        self.started_s = 0.0
        self.keep_alive = True


@dataclasses.dataclass(slots=True)
class Response:
    """A response.

    Attributes:
        status: HTTP status.
        body: Complete body.
        headers: Headers without those of the connection and the length.
        close: Whether the connection is closed after it.
    """

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    close: bool = False

    def encode(self, request: Request | None) -> bytes:
        """Return the bytes of the response to a request.

        Args:
            request: The request; None if it could not be parsed.

        >>> Response(503, b"x").encode(None).splitlines()[:2]
        [b'HTTP/1.1 503 Service Unavailable', b'Content-Length: 1']
        """
        head = self.encode_head()
        if request is not None and request.method == "HEAD":
            return head
        return head + self.body

    def encode_head(self) -> bytes:
        """Return the bytes of its status line and its headers."""
        line = _STATUS_LINES.get(self.status) or f"HTTP/1.1 {self.status} \r\n"
        lines = [line]
        lines += [f"{name}: {value}\r\n" for name, value in self.headers]
        if self.status not in _BODILESS_STATUSES:
            lines.append(f"Content-Length: {len(self.body)}\r\n")
        if self.close:
            lines.append("Connection: close\r\n")
        lines.append("\r\n")
        return "".join(lines).encode("latin-1")


class _RefusedError(Exception):
    """A request is refused before its body has arrived."""

    def __init__(self, response: Response):
        super().__init__(response.status)
        self.response = response


Handler = Callable[[Request], Awaitable[Response]]


def _refuse_for_memory(request: Request | None) -> Response:
    """Return the response to a request that is given up for memory."""
    del request
    return Response(
        503,
        f"{errors.Reason.MEMORY}\n".encode(),
        [("Retry-After", str(_MEMORY_RETRY_AFTER_S))],
    )


class HttpServer:
    """Accepts connections and calls a handler for each complete request.

    The task of the handler is cancelled when the caller disconnects.

    Attributes:
        connections: Open connections.
        active_requests: Requests whose headers have arrived and whose response
            is not sent completely.
        requests: Requests whose headers have arrived.
        last_request_s: Event loop time of the last request.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        *,
        limits: Callable[[], Limits] = Limits,
        refuse_early: Callable[[Request], Response | None] = lambda _: None,
        max_connections: int = 1_000,
        on_refused: Callable[[errors.Reason], None] = lambda reason: None,
        account: memory.MemoryAccount | None = None,
        refuse_for_memory: Callable[
            [Request | None], Response
        ] = _refuse_for_memory,
    ):
        """Create the server; `start` opens the port.

        Args:
            address: IP address and port to listen on.
            handler: Returns the response to a request.
            limits: Returns the current limits.
            refuse_early: Returns a refusal of a request whose headers have
                arrived, or None to receive its body. Its connection is closed.
            max_connections: Connections that are served at a time.
            on_refused: Called with the reason for each connection or request
                that is refused or closed without a call of the handler.
            account: Memory that is held for callers, of this server alone if
                it has none in common with others.
            refuse_for_memory: Returns the refusal of a request that has not
                arrived completely, or of one whose headers have not.
        """
        # Used as an ordered set.
        self.connections: dict[Connection, None] = {}
        self.active_requests = 0
        self.requests = 0
        self.last_request_s = 0.0
        self.handler = handler
        self.limits = limits
        self.refuse_early = refuse_early
        self.max_connections = max_connections
        self.on_refused = on_refused
        self.refuse_for_memory = refuse_for_memory
        self.account = account or memory.MemoryAccount(
            lambda: _DEFAULT_MEMORY_BYTES
        )
        self._address = address
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._sweep_due_s = 0.0

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: The address is not available.
        """
        host, port = addresses.split_address(self._address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), host, port, backlog=_BACKLOG
        )

    def recheck_incoming(self) -> None:
        """Call `refuse_early` again for requests whose bodies still arrive."""
        for connection in list(self.connections):
            connection.recheck_incoming()

    async def finish(self, timeout_s: float) -> None:
        """Stop to listen, and wait until callers have read all responses.

        Callers end a connection once they have read its last response. Those
        that have connected just before get a response as well.
        """
        loop = asyncio.get_running_loop()
        if self._server is not None:
            # A server that is closed would drop what it has just accepted.
            for sock in self._server.sockets:
                loop.remove_reader(sock.fileno())
            for _ in range(_ACCEPT_STEPS):
                await asyncio.sleep(0)
            self._server.close()
        start_s = loop.time()
        while (
            self.active_requests
            or any(connection.is_lingering for connection in self.connections)
            or (self.connections and loop.time() < start_s + _MIN_FINISH_S)
        ):
            if loop.time() >= start_s + timeout_s:
                return
            await asyncio.sleep(_FINISH_INTERVAL_S)

    async def stop(self) -> None:
        """Close the server and all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
        # The transports report their end in the next step of the loop.
        await asyncio.sleep(0)

    def add(self, connection: "Connection") -> bool:
        """Register a new connection; return whether it is above the limit."""
        self.connections[connection] = None
        if self._sweeper is None:
            self._schedule_sweep()
        excess = len(self.connections) - self.max_connections
        if excess > 0 and self._close_unused(connection):
            return False
        refused = int(self.max_connections * _MAX_REFUSED_SHARE)
        if excess > min(_MAX_REFUSED_CONNECTIONS, max(1, refused)):
            self.on_refused(errors.Reason.OVERLOAD)
            connection.abort()
        return excess > 0

    def _close_unused(self, newest: "Connection") -> bool:
        """Close the oldest connection that has not sent a request, if any.

        Connections that stop within their first headers would otherwise keep
        all others out.
        """
        oldest_s = asyncio.get_running_loop().time() - _MAX_SILENCE_S
        for connection in self.connections:
            if connection is not newest and connection.is_unused(oldest_s):
                self.on_refused(errors.Reason.OVERLOAD)
                self.remove(connection)
                connection.abort()
                return True
        return False

    def remove(self, connection: "Connection") -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_due_s = loop.time() + _SWEEP_INTERVAL_S
        self._sweeper = loop.call_at(self._sweep_due_s, self._sweep)

    def _sweep(self) -> None:
        """Close connections whose caller is too slow or idle."""
        now_s = asyncio.get_running_loop().time()
        is_on_time = now_s - self._sweep_due_s < _MAX_SWEEP_DELAY_S
        self._sweeper = None
        if self.connections:
            self._schedule_sweep()
        if not is_on_time:
            return
        limits = self.limits()
        for connection in list(self.connections):
            connection.check_timeouts(limits, now_s)


class Connection(asyncio.Protocol):
    """Connection of a caller.

    Attributes:
        is_over_limit: Whether the connection is above the limit, so that its
            first request is refused.
        is_lingering: Whether the last response was written, and the end of the
            caller's output is awaited.
    """

    def __init__(self, server: HttpServer):
        self.is_over_limit = False
        self.is_lingering = False
        self._has_sent_request = False
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._input = input_turns.SlicedInput(self._feed)
        # The request that is being received.
        self._incoming: Request | None = None
        self._url = b""
        self._head_bytes = 0
        self._head_started_s = 0.0
        self._body = bytearray()
        self._max_body_bytes = 0
        # Bytes since the last ones of a body.
        self._bodiless_bytes = 0
        # Memory of complete requests, and of the response that is written.
        self._requests_bytes = 0
        self._response_bytes = 0
        # What the account has been told of: bytes held, and those to give up.
        self._reported = 0, 0
        # Requests that wait for the response to the running one.
        self._pending: collections.deque[Request] = collections.deque()
        self._task: asyncio.Task | None = None
        # Set when the input is not parsed any further. The requests that were
        # complete by then still get their responses.
        self._is_input_ended = False
        self._idle_since_s = 0.0
        self._writable: asyncio.Future | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = transport
        self._input.attach(transport)
        # A request is active until the kernel has its whole response, so that
        # neither a stop nor the idle timeout cuts the rest.
        transport.set_write_buffer_limits(high=0)
        self._idle_since_s = asyncio.get_running_loop().time()
        self.is_over_limit = self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is running."""
        self._transport = None
        self._input.detach()
        self._server.remove(self)
        self._server.account.release(self)
        unfinished = len(self._pending)
        if self._incoming is not None and self._incoming.started_s:
            unfinished += 1
        self._server.active_requests -= unfinished
        self._pending.clear()
        self._incoming = None
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or let them wait for a turn."""
        if not self._is_input_ended and self._transport is not None:
            self._input.receive(data)
            if self._input.waiting_bytes:
                self._count_memory()

    def _feed(self, data: bytes | memoryview) -> bool:
        """Parse a slice and return whether to go on with the next one."""
        if self._is_input_ended or self._transport is None:
            return True
        body_bytes = len(self._body)
        is_head = self._incoming is None or self._is_in_head()
        if is_head:
            self._start_head()
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, errors.Reason.BAD_REQUEST)
            return True
        except httptools.HttpParserError as error:
            # Exceptions of callbacks arrive wrapped.
            cause = error.__context__
            if isinstance(cause, _RefusedError):
                self._end_with(cause.response)
            elif isinstance(cause, errors.RequestError):
                self._refuse(cause.status, cause.reason)
            else:
                self._refuse(400, errors.Reason.BAD_REQUEST)
            return True
        if self._is_in_head():
            self._start_head()
        if (
            is_head
            and (self._incoming is None or self._is_in_head())
            and self._head_bytes > self._server.limits().max_header_bytes
        ):
            self._refuse(431, errors.Reason.BAD_REQUEST)
        if is_head or self._incoming is None or len(self._body) > body_bytes:
            self._bodiless_bytes = 0
        else:
            self._check_bodiless(len(data))
        self._count_memory()
        return len(self._pending) < _MAX_PIPELINED

    def _check_bodiless(self, count: int) -> None:
        """Refuse trailers and chunk extensions that are too long."""
        self._bodiless_bytes += count
        if self._bodiless_bytes > self._server.limits().max_header_bytes:
            self._refuse(431, errors.Reason.BAD_REQUEST)

    def _count_memory(self) -> None:
        """Report to the account what is held for the caller."""
        if self._transport is None:
            return
        incoming = len(self._body) + self._input.waiting_bytes
        if self._incoming is not None:
            incoming += self._incoming.held_bytes + self._head_bytes
        held = incoming + self._requests_bytes + self._response_bytes
        yieldable = incoming
        if self._writable is not None:
            # The response waits for its caller.
            yieldable += self._response_bytes
        reported_held, reported_yieldable = self._reported
        is_small = (
            abs(held - reported_held) < _UNREPORTED_BYTES
            and abs(yieldable - reported_yieldable) < _UNREPORTED_BYTES
        )
        if is_small and (held or not reported_held):
            return
        self._reported = held, yieldable
        self._server.account.hold(self, held, yieldable)

    def give_way(self) -> None:
        """Give up the request that is arriving, or an unread response."""
        if self._writable is not None and self._response_bytes:
            self._server.on_refused(errors.Reason.MEMORY)
            self._server.account.release(self)
            self.abort()
            return
        if self._incoming is not None or self._input.waiting_bytes:
            request = self._incoming
            self._end_with(self._server.refuse_for_memory(request))
            self._input.discard()
        self._count_memory()

    def _is_in_head(self) -> bool:
        return self._incoming is not None and not self._incoming.started_s

    def _start_head(self) -> None:
        """Note when the headers began, unless that is known."""
        if not self._head_started_s:
            self._head_started_s = asyncio.get_running_loop().time()

    def pause_writing(self) -> None:
        """Note that the caller reads more slowly than the entry writes."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continue the response that waits for the caller."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._incoming = Request(self)
        self._url = b""
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header.

        Raises:
            errors.RequestError: There are too many headers.
        """
        request = self._incoming
        if len(request.headers) >= _MAX_HEADERS:
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=431
            )
        if request.started_s:
            return  # Trailers of a chunked body are not forwarded.
        text = name.decode("latin-1")
        content = value.decode("latin-1").strip(" \t")
        request.headers.append((text, content))
        request.held_bytes += _HEADER_OVERHEAD_BYTES + len(text) + len(content)
        request.header_by_name.setdefault(text.lower(), content)

    def on_headers_complete(self) -> None:
        """Check the length of the body.

        Raises:
            _RefusedError: The server refuses the request.
            errors.RequestError: The body is too large, or the host is
                ambiguous.
        """
        request = self._incoming
        request.method = self._parser.get_method().decode("latin-1")
        request.target = self._url.decode("latin-1")
        request.keep_alive = self._parser.should_keep_alive()
        request.started_s = asyncio.get_running_loop().time()
        self._head_bytes, self._head_started_s = 0, 0.0
        self._server.active_requests += 1
        self._server.requests += 1
        self._server.last_request_s = request.started_s
        hosts = [name for name, _ in request.headers if name.lower() == "host"]
        if len(hosts) > 1:
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=400
            )
        refusal = self._server.refuse_early(request)
        if refusal is not None:
            raise _RefusedError(refusal)
        self._max_body_bytes = self._server.limits().max_body_bytes
        length = request.header_by_name.get("content-length", "0")
        if length.isdigit():
            self._check_body_size(int(length))
        if request.header_by_name.get("expect", "").lower() == "100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _check_body_size(self, size: int) -> None:
        if size > self._max_body_bytes:
            raise errors.RequestError(
                errors.Reason.BODY_TOO_LARGE, errors.Step.ACCEPTED, status=413
            )

    def on_body(self, data: bytes) -> None:
        """Add a part of the body.

        Raises:
            errors.RequestError: The body is too large.
        """
        self._check_body_size(len(self._body) + len(data))
        self._body += data

    def on_message_complete(self) -> None:
        """Run the request, or let it wait for the running one."""
        request, self._incoming = self._incoming, None
        self._has_sent_request = True
        body, self._body = self._body, bytearray()
        request.body = body if len(body) > _MIN_BUFFER_BYTES else bytes(body)
        request.held_bytes += len(body)
        self._requests_bytes += request.held_bytes
        self._pending.append(request)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    # Requests.

    async def _run(self) -> None:
        """Run the pending requests in order."""
        try:
            while self._pending and not self.is_lingering:
                request = self._pending.popleft()
                try:
                    if not await self._serve(request):
                        return
                finally:
                    self._server.active_requests -= 1
                    self._requests_bytes -= request.held_bytes
                    self._response_bytes = 0
                    self._count_memory()
                self._input.resume()
        finally:
            self._task = None
            self._idle_since_s = asyncio.get_running_loop().time()

    async def _serve(self, request: Request) -> bool:
        """Run one request and return whether another one may follow."""
        try:
            response = await self._server.handler(request)
        except Exception as error:
            steps.log_unexpected_error(_LOG, "handler", error)
            response = Response(500, b"internal error\n", close=True)
        if response.close or not request.keep_alive:
            self._end_input()
        # Requests behind this one that were complete are answered as well.
        response.close = self._is_input_ended and not self._pending
        if self._transport is None:
            return False
        if len(response.body) > _WRITTEN_PART_BYTES:
            await self._write_parts(response, request)
        else:
            content = response.encode(request)
            self._response_bytes = len(content)
            self._transport.write(content)
            await self._wait_writable()
        if response.close:
            self._linger()
        return not response.close

    async def _write_parts(self, response: Response, request: Request) -> None:
        """Write a long response in parts, as the caller reads it."""
        self._transport.write(response.encode_head())
        body = memoryview(response.body)
        if request.method == "HEAD":
            body = body[:0]
        self._response_bytes = len(body)
        while body and self._transport is not None:
            self._transport.write(body[:_WRITTEN_PART_BYTES])
            body = body[_WRITTEN_PART_BYTES:]
            await self._wait_writable()

    async def _wait_writable(self) -> None:
        """Wait until the kernel has what was written."""
        if self._writable is not None:
            self._count_memory()
            await self._writable

    def is_unused(self, oldest_s: float) -> bool:
        """Return whether the caller keeps others out without a request.

        Args:
            oldest_s: A connection that was opened earlier, as event loop time,
                should have sent something.
        """
        if self._has_sent_request or self.is_lingering:
            return False
        return self._incoming is not None or self._idle_since_s < oldest_s

    def recheck_incoming(self) -> None:
        """Refuse the request that is being received if it is refused now."""
        if self._incoming is not None and self._incoming.started_s:
            refusal = self._server.refuse_early(self._incoming)
            if refusal is not None:
                self._end_with(refusal)

    def _refuse(self, status: int, reason: errors.Reason) -> None:
        """Answer a request that cannot be received, and close."""
        self._server.on_refused(reason)
        self._end_with(Response(status, f"{reason}\n".encode()))

    def _end_with(self, response: Response) -> None:
        """Send the last response, unless an earlier request is running."""
        request = self._end_input()
        if self._task is not None or self._transport is None:
            return
        response.close = True
        self._transport.write(response.encode(request))
        self._linger()

    def _end_input(self) -> Request | None:
        """Parse no further bytes; return the request that was incomplete."""
        self._is_input_ended = True
        request, self._incoming = self._incoming, None
        self._body = bytearray()
        if request is not None and request.started_s:
            self._server.active_requests -= 1
        return request

    def _linger(self) -> None:
        """End the output, and read until the caller has ended its own."""
        self.is_lingering = True
        if self._transport is None:
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._input.discard()
        loop = asyncio.get_running_loop()
        loop.call_later(_LINGERING_S, self._end_lingering)

    def _end_lingering(self) -> None:
        """Close the connection once the response is sent."""
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(_LINGERING_S, self._end_lingering)
        else:
            self.abort()

    def check_timeouts(self, limits: Limits, now_s: float) -> None:
        """Close the connection if its caller is too slow or idle for long."""
        if self._task is not None or self.is_lingering:
            return
        if self._incoming is not None and self._incoming.started_s:
            if now_s - self._incoming.started_s > limits.body_timeout_s:
                self._refuse(408, errors.Reason.REQUEST_TOO_SLOW)
        elif self._head_started_s:
            if now_s - self._head_started_s > limits.header_timeout_s:
                self._server.on_refused(errors.Reason.REQUEST_TOO_SLOW)
                self.abort()
        elif now_s - self._idle_since_s > (
            limits.header_timeout_s
            if self.is_over_limit
            else limits.idle_timeout_s
        ):
            self.abort()

    def abort(self) -> None:
        """Close the connection without waiting."""
        if self._transport is not None:
            self._transport.abort()
