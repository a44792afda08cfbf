"""Turns in which connections parse what they have received.

What a received byte costs is up to its sender: a body in chunks of one byte
takes a hundred times the processor time of one in large chunks. Each connection
therefore parses a slice at a time, and all of them together leave most of the
event loop to the rest of the process.
"""

import asyncio
import collections
from collections.abc import Callable
import time

from slatechute import logs
from slatechute.util import steps

__all__ = ["InputTurns", "SlicedInput"]

_LOG = logs.get_logger(__name__)

# Time of all connections of a process in one step of the event loop, and of one
# of them in a turn, in seconds.
_MAX_STEP_S = 0.002
_MAX_TURN_S = 0.0005
# Outside the steps, input is parsed as it arrives for `_MAX_STEP_S` of this
# time, in seconds.
_WINDOW_S = 0.004
# A connection that has used this much for its waiting input, in seconds, comes
# after those that have used less.
_MAX_FRESH_S = 0.002
_MIN_SLICE_BYTES = 1024
_MAX_SLICE_BYTES = 8 * 1024
# Time of a slice, in seconds, above which the next ones are the smallest.
_SLOW_SLICE_S = 0.0002


class InputTurns:
    """Order in which the connections of a process parse waiting input.

    Connections whose input has taken little time go first, so that an ordinary
    request does not wait for the turns of those that send costly input.

    Args:
        now_s: Clock, in seconds.
    """

    def __init__(self, now_s: Callable[[], float] = time.perf_counter):
        self.now_s = now_s
        self._fresh: collections.deque[SlicedInput] = collections.deque()
        self._costly: collections.deque[SlicedInput] = collections.deque()
        self._is_scheduled = False
        self._window_end_s = 0.0
        self._window_used_s = 0.0

    def __len__(self) -> int:
        """Return the number of turns that are due."""
        return len(self._fresh) + len(self._costly)

    def may_start(self, now_s: float) -> bool:
        """Return whether input that arrives now is parsed at once."""
        if now_s >= self._window_end_s:
            self._window_end_s = now_s + _WINDOW_S
            self._window_used_s = 0.0
        return self._window_used_s < _MAX_STEP_S

    def count(self, used_s: float) -> None:
        """Count the time that input took as it arrived."""
        self._window_used_s += used_s

    def add(self, source: "SlicedInput") -> None:
        """Give a turn to a connection in a later step of the event loop."""
        is_costly = source.used_s > _MAX_FRESH_S
        (self._costly if is_costly else self._fresh).append(source)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Take turns for the time of a step."""
        self._is_scheduled = False
        end_s = self.now_s() + _MAX_STEP_S
        # Connections that use up their turn are added again by it.
        for _ in range(len(self)):
            if self.now_s() >= end_s:
                break
            queue = self._fresh or self._costly
            if queue:
                steps.run_step(_LOG, "parse", queue.popleft().take_turn)
        if len(self) and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)


_TURNS = InputTurns()


class SlicedInput:
    """Received bytes of one connection, parsed in turns.

    No more is read from the connection while some bytes wait.

    Args:
        feed: Parses a slice; returns whether to go on. If not, nothing is
            parsed or read until `resume`.
        turns: Turns of the process.

    Attributes:
        used_s: Time that the waiting bytes and those before them have taken
            since none waited, in seconds.
    """

    def __init__(
        self,
        feed: Callable[[bytes | memoryview], bool],
        turns: InputTurns = _TURNS,
    ):
        self.used_s = 0.0
        self._feed = feed
        self._turns = turns
        self._transport: asyncio.Transport | None = None
        self._rest: bytes | memoryview = b""
        self._has_turn = False
        self._slice_bytes = _MIN_SLICE_BYTES

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the reads of which some wait."""
        if isinstance(self._rest, memoryview):
            return len(self._rest.obj)
        return len(self._rest)

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport, which is paused while bytes wait."""
        self._transport = transport

    def discard(self) -> None:
        """Drop the bytes that wait, and read on."""
        self._rest = b""
        self._read_on()

    def detach(self) -> None:
        """Drop the bytes that wait, as the connection has ended."""
        self._rest = b""
        self._transport = None

    def receive(self, data: bytes) -> None:
        """Parse received bytes, now or in a turn."""
        if self._rest:
            self._rest = b"".join((self._rest, data))
            self._pause()
            return
        self.used_s = 0.0
        now_s = self._turns.now_s()
        if not self._turns.may_start(now_s):
            self._rest = data
            self._pause()
            self._request_turn()
            return
        if len(data) <= _MIN_SLICE_BYTES:
            goes_on = self._feed(data)
            self.used_s = self._turns.now_s() - now_s
        else:
            goes_on = self._parse(data, now_s)
        if not goes_on:
            self._pause()
        self._turns.count(self.used_s)

    def resume(self) -> None:
        """Go on with bytes after `feed` has stopped, or read on."""
        if self._rest:
            self._request_turn()
        else:
            self._read_on()

    def take_turn(self) -> None:
        """Parse waiting bytes for the time of one turn."""
        self._has_turn = False
        data, self._rest = self._rest, b""
        if not data:
            return
        try:
            goes_on = self._parse(data, self._turns.now_s())
        except Exception:
            # As asyncio does when input that arrives cannot be handled.
            if self._transport is not None:
                self._transport.abort()
            raise
        if goes_on and not self._rest:
            self._read_on()

    def _request_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._turns.add(self)

    def _parse(self, data: bytes | memoryview, start_s: float) -> bool:
        """Parse for the time of a turn; return whether to go on after it."""
        view = memoryview(data)
        now_s = start_s
        goes_on = True
        while view:
            goes_on = self._feed(view[: self._slice_bytes])
            view = view[self._slice_bytes :]
            slice_start_s, now_s = now_s, self._turns.now_s()
            if now_s - slice_start_s > _SLOW_SLICE_S:
                self._slice_bytes = _MIN_SLICE_BYTES
            elif self._slice_bytes < _MAX_SLICE_BYTES:
                self._slice_bytes *= 2
            if not view:
                break
            if not goes_on or now_s - start_s > _MAX_TURN_S:
                self.used_s += now_s - start_s
                if self._transport is not None:
                    self._rest = view
                    self._pause()
                    if goes_on:
                        self._request_turn()
                return goes_on
        self.used_s += now_s - start_s
        return goes_on

    def _pause(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _read_on(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()
