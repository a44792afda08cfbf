"""HTTP connections to targets.

The client of `aiohttp`, which the rest of the product uses, passes bytes that
arrive on an idle connection to the next exchange. This module closes the
connection instead, because a faulty target may send a response twice. `h11`
parses the responses.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import math
import socket

import h11

from slatechute import errors
from slatechute.util import sockets

__all__ = [
    "ConnectionPool",
    "ExchangeError",
    "HttpClient",
    "TargetConnection",
    "TargetResponse",
    "build_response",
    "open_connection",
]

# Targets are a few milliseconds away. A lost packet of the handshake is only
# retransmitted after a second; trying another target is faster.
CONNECT_TIMEOUT_S = 0.3
# Larger responses would not leave memory for the other requests of this entry.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_MAX_HEAD_BYTES = 64 * 1024
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


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """A complete response of a target.

    Attributes:
        status: HTTP status.
        headers: Headers in order, with names as received.
        body: Complete body.
        header_by_name: The same headers by lower-case name. The values of a
            repeated header are joined with commas.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    header_by_name: dict[str, str]


def build_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> TargetResponse:
    """Return a response with its headers by name."""
    by_name: dict[str, str] = {}
    for name, value in headers:
        key = name.lower()
        by_name[key] = f"{by_name[key]}, {value}" if key in by_name else value
    return TargetResponse(status, headers, body, by_name)


class TargetConnection(asyncio.Protocol):
    """One connection, which carries one exchange at a time.

    Attributes:
        used: Whether an exchange was started on it.
        idle_since_s: Event loop time at which it became idle.
        idle_limit_s: Maximum idle time before it is closed.
    """

    def __init__(self):
        self.used = False
        self.idle_since_s = 0.0
        self.idle_limit_s = _MAX_IDLE_S
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._response: asyncio.Future[TargetResponse] | None = None
        self._response_head: h11.Response | None = None
        self._body: list[bytes] = []
        self._size = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport
        self.idle_since_s = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Parse a response, or close the connection on unexpected bytes."""
        if self._response is None or self._response.done():
            self.close()
            return
        self._feed(data)

    def eof_received(self) -> None:
        """Complete a response without Content-Length."""
        if self._response is not None and not self._response.done():
            self._feed(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the in-flight exchange."""
        self._transport = None
        self._fail(str(exc) if exc else _CLOSED_BY_TARGET)

    # Exchanges.

    @property
    def is_open(self) -> bool:
        """Whether another exchange can start."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and self._http.our_state is h11.IDLE
            and self._response is None
        )

    def close(self) -> None:
        """Abort the connection, so that the target cancels the request."""
        if self._transport is not None:
            self._transport.abort()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> TargetResponse:
        """Send a request and return the complete response.

        Raises:
            ExchangeError: No complete response was received.
        """
        self.used = True
        try:
            data = self._http.send(
                h11.Request(method=method, target=path, headers=headers)
            )
            if body:
                data += self._http.send(h11.Data(data=body))
            data += self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            self.close()
            raise ExchangeError(
                errors.Step.WRITING, str(error), not_run=True
            ) from error
        if self._transport is None:
            raise ExchangeError(
                errors.Step.CONNECTING, _CLOSED_BY_TARGET, not_run=True
            )
        self._response = asyncio.get_running_loop().create_future()
        self._response_head, self._body, self._size = None, [], 0
        self._transport.write(data)
        try:
            response = await self._response
        except BaseException:
            self.close()
            raise
        self._response = None
        self._prepare_reuse(response)
        return response

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if self._handle_event(event):
                    return
        except h11.RemoteProtocolError as error:
            self._fail(str(error))
            self.close()

    def _handle_event(self, event: object) -> bool:
        """Handle a parsed event and return whether the exchange has ended."""
        if isinstance(event, h11.Response):
            self._response_head = event
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > MAX_RESPONSE_BYTES:
                self._fail("the response is too large")
                self.close()
                return True
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete_response()
            return True
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(_CLOSED_BY_TARGET)
            return True
        return False

    def _complete_response(self) -> None:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._response_head.headers.raw_items()
        ]
        response = build_response(
            self._response_head.status_code, headers, b"".join(self._body)
        )
        self._body = []
        self._response.set_result(response)

    def _fail(self, detail: str) -> None:
        if self._response is None or self._response.done():
            return
        response_started = self._response_head is not None
        step = errors.Step.READING if response_started else errors.Step.WRITTEN
        self._response.set_exception(
            ExchangeError(step, detail, response_started=response_started)
        )

    def _prepare_reuse(self, response: TargetResponse) -> None:
        """Prepare the connection for the next exchange, or close it."""
        http = self._http
        transport = self._transport
        is_reusable = (
            transport is not None
            and http.our_state is h11.DONE
            and http.their_state is h11.DONE
            and not http.trailing_data[0]
            and not transport.get_write_buffer_size()
        )
        if not is_reusable:
            self.close()
            return
        http.start_next_cycle()
        self.idle_since_s = asyncio.get_running_loop().time()
        limit_s = _keep_alive_timeout_s(
            response.header_by_name.get("keep-alive", "")
        )
        self.idle_limit_s = min(_MAX_IDLE_S, limit_s - _IDLE_MARGIN_S)


def _keep_alive_timeout_s(keep_alive: str) -> float:
    """Return the timeout of a Keep-Alive header, infinite without one.

    >>> _keep_alive_timeout_s("timeout=5, max=100"), _keep_alive_timeout_s("")
    (5.0, inf)
    """
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return math.inf


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
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                TargetConnection, host, int(port)
            )
    except (OSError, ValueError, TimeoutError) as error:
        raise ExchangeError(
            errors.Step.CONNECTING, repr(error), not_run=True
        ) from error
    configure(transport.get_extra_info("socket"))
    return connection


class ConnectionPool:
    """Idle connections of this entry to all targets, by address."""

    def __init__(self):
        self._idle_by_address: dict[
            str, collections.deque[TargetConnection]
        ] = {}

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
        max_idle_s = math.inf if repeatable else _MAX_IDLE_NON_REPEATABLE_S
        connection = self._pop_idle(address, max_idle_s)
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
