"""Stand-in for the part of `h11` that the build 2583d3d uses.

Builds up to 8f95139 parse the responses of targets, of the store and of peers
with `h11`, which is no longer a dependency. `mixed_fleet` uses this module only
if the library is not installed. It reads responses with Content-Length, which
are all that the stand-ins of the tests and the entries send.
"""

import enum


class LocalProtocolError(Exception):
    """The request is not valid."""


class RemoteProtocolError(Exception):
    """The response is not valid."""


class _State(enum.Enum):
    IDLE = "idle"
    ACTIVE = "active"
    DONE = "done"


IDLE, DONE = _State.IDLE, _State.DONE
CLIENT = "client"
NEED_DATA, PAUSED = object(), object()


class Request:
    """Head of a request."""

    def __init__(
        self, *, method: str, target: str, headers: list[tuple[str, str]]
    ):
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if any("\r" in line or "\n" in line for line in lines):
            raise LocalProtocolError("line break in the head")
        self.data = "\r\n".join([*lines, "", ""]).encode("latin-1")


class Data:
    """Part of a body."""

    def __init__(self, *, data: bytes):
        self.data = data


class EndOfMessage:
    """End of a request or response."""

    data = b""


class ConnectionClosed:
    """The other side has closed the connection."""


class _Headers(list):
    def raw_items(self) -> list[tuple[bytes, bytes]]:
        return list(self)


class Response:
    """Head of a response."""

    def __init__(self, head: bytes):
        first, *lines = head.split(b"\r\n")
        try:
            self.status_code = int(first.split()[1])
        except (IndexError, ValueError):
            raise RemoteProtocolError(f"invalid line {first!r}") from None
        pairs = [line.partition(b":")[::2] for line in lines]
        self.headers = _Headers(
            (name, value.strip(b" \t")) for name, value in pairs
        )
        by_name = {name.lower(): value for name, value in self.headers}
        if not by_name.get(b"content-length", b"").isdigit():
            raise RemoteProtocolError("no Content-Length")
        self.length = int(by_name[b"content-length"])
        self.is_last = by_name.get(b"connection", b"").lower() == b"close"


class Connection:
    """Client side of a connection."""

    def __init__(self, role: str, max_incomplete_event_size: int):
        del role
        self._max_head_bytes = max_incomplete_event_size
        self._buffer = bytearray()
        self._is_eof = False
        self._is_last = False
        self._left: int | None = None
        self.our_state = self.their_state = IDLE

    @property
    def trailing_data(self) -> tuple[bytes, bool]:
        """Bytes after the response, and whether the connection has ended."""
        return bytes(self._buffer), self._is_eof

    def send(self, event: Request | Data | EndOfMessage) -> bytes:
        """Return the bytes of a part of the request."""
        is_end = isinstance(event, EndOfMessage)
        self.our_state = DONE if is_end else _State.ACTIVE
        return event.data

    def receive_data(self, data: bytes) -> None:
        """Add received bytes; none mean the end of the connection."""
        self._buffer += data
        self._is_eof = self._is_eof or not data

    def next_event(self) -> object:
        """Return the next part of the response."""
        if self.their_state is DONE:
            return PAUSED
        if self._left is None:
            return self._next_head()
        if self._left == 0:
            self.their_state = DONE
            if self._is_last:
                self.our_state = _State.ACTIVE  # It cannot be reused.
            return EndOfMessage()
        if not self._buffer:
            return self._missing()
        data = bytes(self._buffer[: self._left])
        del self._buffer[: self._left]
        self._left -= len(data)
        return Data(data=data)

    def _missing(self) -> object:
        if not self._is_eof:
            return NEED_DATA
        if self._left is None and not self._buffer:
            return ConnectionClosed()
        raise RemoteProtocolError("the connection ended in a response")

    def _next_head(self) -> object:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > self._max_head_bytes:
                raise RemoteProtocolError("the head is too large")
            return self._missing()
        response = Response(bytes(self._buffer[:end]))
        del self._buffer[: end + 4]
        self._left, self._is_last = response.length, response.is_last
        self.their_state = _State.ACTIVE
        return response

    def start_next_cycle(self) -> None:
        """Prepare the connection for the next request."""
        self._left = None
        self.our_state = self.their_state = IDLE
