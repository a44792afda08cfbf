"""HTTP connections to targets.

The client of `aiohttp`, which the rest of the product uses, passes bytes that
arrive on an idle connection to the next exchange. This module closes the
connection instead, because a faulty target may send a response twice.
`httptools` parses the responses. A target may also send bytes without end:
what a response may hold, and how long its parsing may take at a time, is
limited.

A target may also repeat an earlier response in place of the next one. Only the
id in a response tells, so that a response to another request is skipped and
the next one is awaited. A response without an id is taken for that to the
request that was sent only where it is the first one of its connection; that is
not used again, as a copy of it could not be told from a later response.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import math
import re
import socket
import time

import httptools

from slatechute import errors
from slatechute import logs
from slatechute.gateway import evidence as evidences
from slatechute.util import sockets
from slatechute.util import steps

__all__ = [
    "Attribution",
    "ConnectionPool",
    "ExchangeError",
    "HttpClient",
    "TargetConnection",
    "TargetResponse",
    "build_response",
    "open_connection",
]

_LOG = logs.get_logger(__name__)

# Targets are a few milliseconds away. A lost packet of the handshake is only
# retransmitted after a second; trying another target is faster.
CONNECT_TIMEOUT_S = 0.3
# Larger responses would not leave memory for the other requests of this entry.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# All bodies that are received at a time, as a host has 300 MB for the process.
_MAX_BUFFERED_BYTES = 32 * 1024 * 1024
# Bytes of head, chunk headers and trailers beyond the size of the body.
_MAX_OVERHEAD_BYTES = 64 * 1024
_MAX_HEADERS = 256
_MAX_INFORMATIONAL = 8
# Responses to earlier requests that are skipped in one exchange.
_MAX_MISPLACED = 8
# Time for which one connection is parsed until the event loop goes on, in
# seconds, and bytes that are parsed between two looks at the clock.
_MAX_PARSE_S = 0.0005
_PARSED_SLICE_BYTES = 1024
# Characters of a method or a header name, of a request target, and those that a
# header value must not have.
_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"[\x21-\x7e]+")
_DIGITS = re.compile(r"[0-9]+")
_ILLEGAL_IN_VALUE = re.compile(r"[\x00\r\n]")
_CLOSED_BY_TARGET = "the target closed the connection"
# Without a Keep-Alive header, idle connections are closed earlier than common
# servers do.
_MAX_IDLE_S = 8.0
# Margin for the difference between the idle times that both ends measure.
_IDLE_MARGIN_S = 1.0
# A request that must not run twice uses no connection that was idle longer: the
# connection may be unresponsive, and such a request cannot be sent again.
_MAX_IDLE_NON_REPEATABLE_S = 1.0
_MAX_IDLE_PER_TARGET = 8
# Longer bodies are written in parts of this size, as the target reads them, so
# that the transport does not copy the whole.
_WRITTEN_PART_BYTES = 64 * 1024


class Attribution(enum.Enum):
    """Which request a response answers.

    Attributes:
        OWN: The request that was sent.
        UNNAMED: The request that was sent, since nothing else was; it does
            not say so.
        OTHER: Another one.
        UNCERTAIN: It does not say so, and may be left over from another one.
    """

    OWN = enum.auto()
    UNNAMED = enum.auto()
    OTHER = enum.auto()
    UNCERTAIN = enum.auto()


class ExchangeError(errors.SlatechuteError):
    """An exchange ended without a complete response.

    Attributes:
        step: Step at which it ended.
        not_run: Whether the target certainly did not run the request.
        response_started: Whether a part of the response was received.
    """

    def __init__(
        self,
        step: errors.Step,
        detail: str,
        *,
        not_run: bool = False,
        response_started: bool = False,
    ):
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.not_run = not_run
        self.response_started = response_started

    @property
    def evidence(self) -> evidences.Evidence:
        """What it shows about whether the request has run."""
        if not self.not_run:
            return evidences.Evidence.UNKNOWN
        if self.step is errors.Step.CONNECTING:
            return evidences.Evidence.NOT_CONNECTED
        return evidences.Evidence.NOT_WRITTEN


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """A complete response of a target.

    Attributes:
        status: HTTP status.
        headers: Headers in order, with names as received.
        body: Complete body.
        header_by_name: The same headers by lower-case name. The values of a
            repeated header are joined with commas.
        is_first: Whether it is known to be the first one of its connection.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    header_by_name: dict[str, str]
    is_first: bool = False


def build_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> TargetResponse:
    """Return a response with its headers by name."""
    by_name: dict[str, str] = {}
    for name, value in headers:
        key = name.lower()
        by_name[key] = f"{by_name[key]}, {value}" if key in by_name else value
    return TargetResponse(status, headers, body, by_name)


Attribute = Callable[[TargetResponse], Attribution]


def _attribute_to_request(response: TargetResponse) -> Attribution:
    """Take each response for that to the request that was sent.

    Entries and the platform do not repeat responses, nor name the request.
    """
    del response
    return Attribution.OWN


class TargetConnection(asyncio.Protocol):
    """One connection, which carries one exchange at a time.

    Attributes:
        exchanges: Number of exchanges that were started on it.
        idle_since_s: Event loop time at which it became idle.
        idle_limit_s: Maximum idle time before it is closed.
        buffered: Bytes of the body that it holds.
    """

    def __init__(self, memory: "ResponseMemory | None" = None):
        self.exchanges = 0
        self.idle_since_s = 0.0
        self.idle_limit_s = _MAX_IDLE_S
        self.buffered = 0
        self._memory = memory or _MEMORY
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._response: asyncio.Future[TargetResponse] | None = None
        self._is_head_request = False
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._keep_alive = False
        self._ends_with_connection = False
        self._body = bytearray()
        # The rest of the request that is not written.
        self._unwritten = memoryview(b"")
        self._is_writing_paused = False
        self._received = 0
        self._informational = 0
        self._attribute = _attribute_to_request
        self._misplaced = 0
        # Bytes that have arrived after the response.
        self._has_excess = False
        # Received bytes that are parsed in the next step of the event loop.
        self._unparsed = b""
        self._is_ended = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport
        self.idle_since_s = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Parse a response, or close the connection on unexpected bytes."""
        if not self._is_receiving():
            self.close()
            return
        if self._unparsed:
            self._unparsed += data
            return
        self._parse(data)

    def pause_writing(self) -> None:
        """Write no more until the target has read what was written."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Go on with the request."""
        self._is_writing_paused = False
        self._write_rest()

    def eof_received(self) -> None:
        """Complete a response whose end is that of the connection."""
        self._is_ended = True
        if not self._unparsed:
            self._end_input()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the in-flight exchange."""
        self._transport = None
        self._unparsed = b""
        self._unwritten = memoryview(b"")
        self._fail(str(exc) if exc else _CLOSED_BY_TARGET)

    # Exchanges.

    @property
    def is_open(self) -> bool:
        """Whether another exchange can start."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._response is None
            and not self._is_ended
        )

    def close(self) -> None:
        """Abort the connection, so that the target cancels the request."""
        self._unparsed = b""
        self._unwritten = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        attribute: Attribute = _attribute_to_request,
    ) -> TargetResponse:
        """Send a request and return the complete response.

        Args:
            method: HTTP method.
            path: Path and query.
            headers: Headers, in order.
            body: Complete body.
            attribute: Returns which request a response answers.

        Raises:
            ExchangeError: No complete response was received.
        """
        self.exchanges += 1
        try:
            head = _encode_head(method, path, headers, len(body))
        except ValueError as error:
            self.close()
            raise ExchangeError(
                errors.Step.WRITING, str(error), not_run=True
            ) from error
        if self._transport is None:
            raise ExchangeError(
                errors.Step.CONNECTING, _CLOSED_BY_TARGET, not_run=True
            )
        self._response = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._is_head_request = method == "HEAD"
        self._body = bytearray()
        self._received = self._informational = self._misplaced = 0
        self._attribute = attribute
        self._status = 0
        if len(body) <= _WRITTEN_PART_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._unwritten = memoryview(body)
            self._write_rest()
        try:
            response = await self._response
        except BaseException:
            self.close()
            raise
        finally:
            self._memory.release(self)
            self._body = bytearray()
        self._response = None
        self._prepare_reuse(response)
        return response

    def _write_rest(self) -> None:
        while (
            self._unwritten
            and not self._is_writing_paused
            and self._transport is not None
        ):
            part = self._unwritten[:_WRITTEN_PART_BYTES]
            self._unwritten = self._unwritten[_WRITTEN_PART_BYTES:]
            self._transport.write(part)

    def _is_receiving(self) -> bool:
        return self._response is not None and not self._response.done()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes for a limited time.

        The rest is parsed in later steps of the event loop, and no more is read
        meanwhile, so that a target cannot hold up the requests to others.
        """
        now = time.perf_counter
        stop_s = now() + _MAX_PARSE_S
        view = memoryview(data)
        while view and self._is_receiving():
            self._received += min(len(view), _PARSED_SLICE_BYTES)
            try:
                self._parser.feed_data(view[:_PARSED_SLICE_BYTES])
            except (
                httptools.HttpParserError,
                httptools.HttpParserUpgrade,
            ) as error:
                # After the end of a response, this is excess data.
                self._has_excess = True
                self._break_off(str(error.__context__ or error))
                return
            view = view[_PARSED_SLICE_BYTES:]
            self._check_overhead()
            if view and now() > stop_s:
                self._defer(bytes(view))
                return
        if view:
            self._has_excess = True

    def _defer(self, rest: bytes) -> None:
        self._unparsed = rest
        if self._transport is not None:
            self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_parsing)

    def _continue_parsing(self) -> None:
        data, self._unparsed = self._unparsed, b""
        if not data or self._transport is None:
            return
        self._parse(data)
        if self._unparsed or self._transport is None:
            return
        if self._is_ended:
            self._end_input()
        elif not self._transport.is_closing():
            self._transport.resume_reading()

    def _end_input(self) -> None:
        if self._is_receiving() and self._ends_with_connection:
            self._complete_response()

    def _check_overhead(self) -> None:
        """Break off a response that has hardly any body for its length."""
        overhead = self._received - self.buffered
        if self._is_receiving() and (
            overhead > _MAX_OVERHEAD_BYTES + self.buffered
        ):
            self._break_off("the response has too little content")

    def _break_off(self, detail: str) -> None:
        self._fail(detail)
        self.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a response."""
        if self._response.done():
            self._has_excess = True
            return
        self._status = 0
        self._headers = []
        self._ends_with_connection = self._has_excess = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; those after the body are not used.

        Raises:
            ValueError: There are too many headers.
        """
        if self._status or self._response.done():
            return
        if len(self._headers) >= _MAX_HEADERS:
            raise ValueError("the response has too many headers")
        self._headers.append(
            (name.decode("latin-1"), value.decode("latin-1").strip(" \t"))
        )

    def on_headers_complete(self) -> None:
        """Note how the body ends.

        Raises:
            ValueError: The response is not usable.
        """
        if self._response.done():
            return
        if not self._parser.get_http_version().startswith("1."):
            raise ValueError("unknown version of HTTP")
        self._status = self._parser.get_status_code()
        self._keep_alive = self._parser.should_keep_alive()
        names = {name.lower() for name, _ in self._headers}
        has_chunks = any(
            name.lower() == "transfer-encoding"
            and value.lower().endswith("chunked")
            for name, value in self._headers
        )
        self._ends_with_connection = (
            self._status >= 200
            and "content-length" not in names
            and not has_chunks
        )
        if self._is_head_request and self._status >= 200:
            # The parser would wait for the body that the headers describe.
            self._keep_alive = False
            self._complete_response()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body.

        Raises:
            ValueError: The body is too large.
        """
        if self._response.done():
            return
        if len(self._body) + len(data) > MAX_RESPONSE_BYTES:
            raise ValueError("the response is too large")
        self._body += data
        self._memory.add(self, len(data))

    def on_message_complete(self) -> None:
        """Complete the response, unless it is an informational one.

        Raises:
            ValueError: There are too many informational responses.
        """
        if self._response.done():
            return
        if self._status >= 200:
            self._complete_response()
            return
        self._informational += 1
        if self._informational > _MAX_INFORMATIONAL:
            raise ValueError("too many informational responses")

    def _complete_response(self) -> None:
        response = build_response(
            self._status, self._headers, bytes(self._body)
        )
        response.is_first = self.exchanges == 1 and not self._misplaced
        attribution = self._attribute(response)
        if attribution is Attribution.OTHER:
            self._skip_response()
            return
        if attribution is Attribution.UNCERTAIN:
            self._break_off("the response names no request")
            return
        if attribution is Attribution.UNNAMED or self._misplaced:
            self._keep_alive = False
        self._response.set_result(response)

    def _skip_response(self) -> None:
        """Go on with the next response, as this one is to another request."""
        self._misplaced += 1
        if self._is_head_request or self._misplaced > _MAX_MISPLACED:
            # The parser cannot tell where a response to HEAD ends.
            self._break_off("the response is to another request")
            return
        self._memory.release(self)
        self._body = bytearray()
        self._status = self._received = self._informational = 0

    def fail_for_memory(self) -> None:
        """Break off the response to free its memory."""
        self._break_off("the responses of all targets are too large")

    def _fail(self, detail: str) -> None:
        if not self._is_receiving():
            return
        response_started = self._status >= 200
        step = errors.Step.READING if response_started else errors.Step.WRITTEN
        self._response.set_exception(
            ExchangeError(step, detail, response_started=response_started)
        )

    def _prepare_reuse(self, response: TargetResponse) -> None:
        """Prepare the connection for the next exchange, or close it."""
        transport = self._transport
        is_reusable = (
            transport is not None
            and self._keep_alive
            and not self._has_excess
            and not self._unparsed
            and not self._unwritten
            and not self._is_ended
            and not transport.get_write_buffer_size()
        )
        if not is_reusable:
            self.close()
            return
        self._parser = None
        self.idle_since_s = asyncio.get_running_loop().time()
        limit_s = _keep_alive_timeout_s(
            response.header_by_name.get("keep-alive", "")
        )
        self.idle_limit_s = min(_MAX_IDLE_S, limit_s - _IDLE_MARGIN_S)


class ResponseMemory:
    """Memory of the bodies that all connections of a process receive.

    Args:
        limit: Largest number of bytes. Above it, the largest response is
            broken off.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._total = 0
        self._receiving: set[TargetConnection] = set()

    def add(self, connection: TargetConnection, count: int) -> None:
        """Count received bytes of a connection."""
        self._receiving.add(connection)
        connection.buffered += count
        self._total += count
        if self._total > self._limit:
            largest = max(self._receiving, key=lambda item: item.buffered)
            self.release(largest)
            largest.fail_for_memory()

    def release(self, connection: TargetConnection) -> None:
        """Stop counting the bytes of a connection."""
        self._receiving.discard(connection)
        self._total -= connection.buffered
        connection.buffered = 0


_MEMORY = ResponseMemory(_MAX_BUFFERED_BYTES)


def _encode_head(
    method: str, path: str, headers: list[tuple[str, str]], body_length: int
) -> bytes:
    r"""Return the bytes of a request in front of its body.

    Raises:
        ValueError: It cannot be sent as a request of HTTP/1.1.

    >>> _encode_head("GET", "/a", [("Host", "h")], 0)
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    """
    if not _TOKEN.fullmatch(method) or not _TARGET.fullmatch(path):
        raise ValueError("illegal method or path")
    lines = [f"{method} {path} HTTP/1.1\r\n"]
    hosts = 0
    length = "0"
    for name, value in headers:
        if not _TOKEN.fullmatch(name) or _ILLEGAL_IN_VALUE.search(value):
            raise ValueError("illegal header")
        key = name.lower()
        hosts += key == "host"
        if key == "content-length":
            length = value
        elif key == "transfer-encoding":
            raise ValueError("the body is sent with a length")
        lines.append(f"{name}: {value}\r\n")
    if hosts != 1:
        raise ValueError("a request needs one Host header")
    if length != str(body_length):
        raise ValueError("the length of the body is not that of the header")
    lines.append("\r\n")
    try:
        return "".join(lines).encode("latin-1")
    except UnicodeEncodeError as error:
        raise ValueError("illegal character in a header") from error


def _keep_alive_timeout_s(keep_alive: str) -> float:
    """Return the timeout of a Keep-Alive header, infinite without one.

    >>> _keep_alive_timeout_s("timeout=5, max=100"), _keep_alive_timeout_s("")
    (5.0, inf)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and _DIGITS.fullmatch(value):
            return float(value)
    return math.inf


def _max_idle_s(repeatable: bool) -> float:
    """Return the longest idle time of a connection for a request, in s."""
    return math.inf if repeatable else _MAX_IDLE_NON_REPEATABLE_S


async def open_connection(
    address: str,
    *,
    timeout_s: float = CONNECT_TIMEOUT_S,
    configure: Callable[[socket.socket], None] = sockets.set_keepalive,
) -> TargetConnection:
    """Open a connection.

    Args:
        address: Host and port.
        timeout_s: Longest time for the handshake, in seconds.
        configure: Sets the options of the socket.

    Raises:
        ExchangeError: The connection could not be opened.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    connection = TargetConnection()
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(
                lambda: connection, host, int(port)
            )
        # Fails if the target has reset the connection already.
        configure(transport.get_extra_info("socket"))
    except (OSError, ValueError, TimeoutError) as error:
        connection.close()
        raise ExchangeError(
            errors.Step.CONNECTING, repr(error), not_run=True
        ) from error
    except Exception as error:
        # Addresses come from other programs. Whatever is wrong with one of
        # them, nothing was sent there.
        connection.close()
        steps.log_unexpected_error(_LOG, "connect", error)
        raise ExchangeError(
            errors.Step.CONNECTING, repr(error), not_run=True
        ) from error
    return connection


class ConnectionPool:
    """Idle connections of this entry to all targets, by address."""

    def __init__(self):
        self._idle_by_address: dict[
            str, collections.deque[TargetConnection]
        ] = {}

    def has_idle(self, address: str, *, repeatable: bool) -> bool:
        """Return whether `acquire` needs no new connection."""
        idle = self._idle_by_address.get(address)
        if not idle or not idle[-1].is_open:
            return False
        idle_s = asyncio.get_running_loop().time() - idle[-1].idle_since_s
        return idle_s < min(_max_idle_s(repeatable), idle[-1].idle_limit_s)

    def _pop_idle(
        self, address: str, max_idle_s: float
    ) -> TargetConnection | None:
        idle = self._idle_by_address.get(address)
        now_s = asyncio.get_running_loop().time()
        while idle:
            # The most recently used one is the least likely to be closed.
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            if not connection.is_open:
                continue
            if idle_s < min(max_idle_s, connection.idle_limit_s):
                return connection
            if idle_s < connection.idle_limit_s:
                idle.append(connection)
                return None
            connection.close()
        return None

    async def acquire(
        self, address: str, *, repeatable: bool
    ) -> TargetConnection:
        """Return an idle connection or a new one.

        Args:
            address: Host and port of the target.
            repeatable: Whether the request may run more than once.

        Raises:
            ExchangeError: The connection could not be opened.
        """
        connection = self._pop_idle(address, _max_idle_s(repeatable))
        if connection is not None:
            return connection
        return await self.open(address)

    async def open(self, address: str) -> TargetConnection:
        """Open a new connection.

        Raises:
            ExchangeError: The connection could not be opened.
        """
        return await open_connection(address)

    def release(self, address: str, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        The pool closes the oldest idle connection when it has too many.
        """
        if not connection.is_open:
            connection.close()
            return
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)
        if len(idle) > _MAX_IDLE_PER_TARGET:
            idle.popleft().close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)


class HttpClient:
    """Client for GET requests that keeps one idle connection per address.

    Args:
        connect_timeout_s: Longest time for the handshake, in seconds.
        configure: Sets the options of each socket.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        configure: Callable[[socket.socket], None] = sockets.set_keepalive,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._configure = configure
        self._idle_by_address: dict[str, TargetConnection] = {}

    async def get(
        self, address: str, path: str, timeout_s: float
    ) -> TargetResponse:
        """Send a GET request and return the response.

        Raises:
            ExchangeError: There was no complete response.
            TimeoutError: There was none in time.
        """
        async with asyncio.timeout(timeout_s):
            idle = self._idle_by_address.pop(address, None)
            if idle is not None and idle.is_open:
                try:
                    return await self._exchange(idle, address, path)
                except ExchangeError as error:
                    # The server may have closed the idle connection meanwhile.
                    if error.response_started:
                        raise
            connection = await open_connection(
                address,
                timeout_s=self._connect_timeout_s,
                configure=self._configure,
            )
            return await self._exchange(connection, address, path)

    async def _exchange(
        self, connection: TargetConnection, address: str, path: str
    ) -> TargetResponse:
        response = await connection.exchange(
            "GET", path, [("Host", address)], b""
        )
        previous = self._idle_by_address.pop(address, None)
        if previous is not None:
            previous.close()
        if connection.is_open:
            self._idle_by_address[address] = connection
        return response

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle_by_address.values():
            connection.close()
        self._idle_by_address.clear()
