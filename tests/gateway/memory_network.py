"""Connections in memory and a manual clock, for tests that step an event loop.

Targets do nothing by themselves: a test decides what each of them writes, and
when.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import itertools

from slatechute.gateway import connections
from tests.gateway import scripted_target

_END_OF_HEAD = b"\r\n\r\n"
# Enough for an exchange through a peer, from the caller to the target.
_STEPS_UNTIL_IDLE = 40


class _Socket:
    """Socket without a network."""

    def setsockopt(self, *option) -> None:
        del option


class _Transport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, loop: "Loop", protocol: asyncio.Protocol):
        super().__init__({"socket": _Socket()})
        self.loop = loop
        self.other: _Transport | None = None
        self._protocol = protocol
        self._is_closing = False

    def write(self, data: bytes) -> None:
        if not self._is_closing:
            self.loop.call_soon(self.other.receive, data)

    def receive(self, data: bytes) -> None:
        if not self._is_closing:
            self._protocol.data_received(data)

    def abort(self) -> None:
        self._end()
        self.loop.call_soon(self.other._end)

    def _end(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            self.loop.call_soon(self._protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        del high, low

    def can_write_eof(self) -> bool:
        return False

    def pause_reading(self) -> None:
        """Go on: what is written is small."""

    def resume_reading(self) -> None:
        """Go on: reading does not pause."""


class _Task(asyncio.Task):
    """Task whose place in a set does not depend on its address."""

    def __init__(self, coroutine, *, number: int, **options):
        self._number = number
        super().__init__(coroutine, **options)

    def __hash__(self) -> int:
        return self._number


class Loop(asyncio.SelectorEventLoop):
    """Event loop whose time stands still and whose connections are in memory.

    Attributes:
        now_s: Its time.
        protocol_by_address: Creates the other end of each connection.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 1.0
        self.protocol_by_address: dict[str, Callable[[], asyncio.Protocol]] = {}
        self._errors: list[Exception] = []
        self.set_exception_handler(self._keep_error)
        numbers = itertools.count()
        self.set_task_factory(
            lambda loop, coroutine, **options: _Task(
                coroutine, loop=loop, number=next(numbers), **options
            )
        )

    def time(self) -> float:
        return self.now_s

    def now_ms(self) -> float:
        """Return its time in ms, as a clock of the product."""
        return self.now_s * 1000

    async def create_connection(self, protocol_factory, host, port):
        create = self.protocol_by_address.get(f"{host}:{port}")
        if create is None:
            raise ConnectionRefusedError
        protocols = protocol_factory(), create()
        ends = [_Transport(self, protocol) for protocol in protocols]
        ends[0].other, ends[1].other = ends[1], ends[0]
        for end, protocol in zip(ends, protocols, strict=True):
            protocol.connection_made(end)
        return ends[0], protocols[0]

    def _keep_error(
        self, loop: asyncio.AbstractEventLoop, context: dict
    ) -> None:
        """Keep the error of a callback; those of tasks are their results."""
        del loop
        if "handle" in context:
            self._errors.append(context["exception"])

    def _stop_after(self, count: int) -> None:
        if count > 1:
            self.call_soon(self._stop_after, count - 1)
        else:
            self.call_soon(self.stop)

    def step(self, count: int = _STEPS_UNTIL_IDLE) -> None:
        """Let steps of the event loop pass."""
        self._stop_after(count)
        self.run_forever()
        if self._errors:
            raise self._errors[0]


class Run(enum.Enum):
    """What has become of a request at a target."""

    POSSIBLE = enum.auto()
    DONE = enum.auto()
    # The target has promised not to run it.
    REFUSED = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Received:
    """A request that a target has received.

    Attributes:
        request_id: Its id.
        run: Whether it has run.
        is_misdirected: Whether it is for another target, so that it never runs.
    """

    request_id: str
    is_misdirected: bool
    run: Run = Run.POSSIBLE


class TargetEnd(asyncio.Protocol):
    """The end of a connection at a target, which serves a request at a time.

    Attributes:
        target: The target.
        waiting: The requests that await their responses.
        written: Responses that were written so far, without copies.
        is_open: Whether the connection is open.
    """

    def __init__(self, target: "Target"):
        self.target = target
        self.waiting: collections.deque[Received] = collections.deque()
        self.written: list[bytes] = []
        self.is_open = True
        self._transport: _Transport | None = None
        target.ends.append(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert data.count(_END_OF_HEAD) == 1, "requests are written at once"
        expected_id = scripted_target.header(data, "expect-id")
        request = Received(
            scripted_target.header(data, "id"), expected_id != self.target.id
        )
        self.waiting.append(request)
        self.target.received.append(request)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False

    def respond(self, data: bytes, *, cut: int | None = None) -> None:
        """End the first waiting request with a response.

        Args:
            data: The response.
            cut: Number of bytes after which the connection breaks off.
        """
        self.waiting.popleft()
        self.written.append(data)
        self.write(data[:cut])
        if cut is not None:
            self.close()

    def write(self, data: bytes) -> None:
        """Write bytes."""
        # Each write is a step of the loop of its own, as on a network.
        loop = self.target.loop
        loop.call_soon(self._transport.other.receive, data)

    def close(self) -> None:
        """End the connection."""
        self.target.loop.call_soon(self._transport.abort)


class Target:
    """A target that does what a test says.

    Attributes:
        id: Its id.
        loop: Event loop.
        ends: All connections to it.
        received: All requests that it has received.
        is_leaving: Whether its responses announce that it leaves.
    """

    def __init__(self, target_id: str, address: str, loop: Loop):
        self.id = target_id
        self.loop = loop
        self.ends: list[TargetEnd] = []
        self.received: list[Received] = []
        self.is_leaving = False
        loop.protocol_by_address[address] = lambda: TargetEnd(self)

    def open_ends(self) -> list[TargetEnd]:
        """Return its open connections."""
        return [end for end in self.ends if end.is_open]

    def stop(self) -> None:
        """End its connections. What it has received may run nevertheless."""
        for end in self.open_ends():
            end.close()


class CutPool(connections.ConnectionPool):
    """Connections of an entry whose path to addresses can be cut.

    Attributes:
        cut: Addresses to which no connection can be opened.
    """

    def __init__(self):
        super().__init__()
        self.cut: set[str] = set()

    async def open(self, address: str) -> connections.TargetConnection:
        """Open a new connection unless the path is cut."""
        return await super().open(
            "127.0.0.1:1" if address in self.cut else address
        )
