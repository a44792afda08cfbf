"""A small HTTP/1.1 server and client, for stand-ins on loopback addresses."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import time

_MAX_IDLE_S = 0.8 * 15


@dataclasses.dataclass
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: Values by lower-case name.
        body: Complete body.
        connection: Connection on which it arrived.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: "ServerConnection"


@dataclasses.dataclass
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Values by lower-case name.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[bytes | None]]


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


class ServerConnection(asyncio.Protocol):
    """Serves one request at a time and cancels it when the peer closes.

    Attributes:
        transport: Its transport.
        late_copy: Bytes that a handler has left to be sent later.
    """

    def __init__(self, handler: Handler, connections: set):
        self.transport: asyncio.Transport | None = None
        self.late_copy = b""
        self._handler = handler
        self._connections = connections
        self._buffer = b""
        self._task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that is running."""
        self._connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Start the next request once it is complete."""
        self._buffer += data
        self._start_next()

    def _start_next(self) -> None:
        if self._task is not None or b"\r\n\r\n" not in self._buffer:
            return
        head, rest = self._buffer.split(b"\r\n\r\n", 1)
        first, headers = _parse_head(head)
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self._buffer = rest[length:]
        method, path, _ = first.split(" ", 2)
        request = Request(method, path, headers, rest[:length], self)
        self._task = asyncio.get_running_loop().create_task(self._run(request))

    async def _run(self, request: Request) -> None:
        answer = await self._handler(request)
        self._task = None
        if answer is None:
            self.transport.abort()
        elif not self.transport.is_closing():
            self.transport.write(answer)
            self._start_next()


class Server:
    """Listens on an address and passes complete requests to a handler."""

    def __init__(self, host: str, port: int, handler: Handler):
        self.connections: set[ServerConnection] = set()
        self._address = host, port
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(self._handler, self.connections),
            *self._address,
            backlog=1024,
        )

    def stop(self) -> None:
        """Close the port and all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()


class ClientConnection:
    """A connection of a client to an entry."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer
        self._used_s = time.monotonic()
        self.is_open = True

    @classmethod
    async def open(cls, host: str, port: int) -> "ClientConnection":
        """Open a connection."""
        async with asyncio.timeout(1):
            return cls(*await asyncio.open_connection(host, port))

    def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Write a request."""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines += ["", ""]
        self._writer.write("\r\n".join(lines).encode("latin-1") + body)

    async def receive(self) -> Response:
        """Read a response.

        Raises:
            ConnectionError: The connection has ended before its end.
        """
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            first, headers = _parse_head(head[:-4])
            length = int(headers.get("content-length", "0"))
            body = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.close()
            raise ConnectionError("no complete response") from error
        self._used_s = time.monotonic()
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Response(int(first.split(" ")[1]), headers, body)

    def is_usable(self) -> bool:
        """Return whether a request may be sent.

        Clients use four fifths of the idle timeout.
        """
        return (
            self.is_open
            and not self._reader.at_eof()
            and time.monotonic() - self._used_s < _MAX_IDLE_S
        )

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._writer.close()
