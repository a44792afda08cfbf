"""Monotonic clocks.

Cores such as the dispatcher do not use them and take times as arguments.
"""

import time
from typing import Protocol

__all__ = ["Clock", "ManualClock", "MonotonicClock"]


class Clock(Protocol):
    """Source of monotonic time."""

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary start."""
        ...


class MonotonicClock:
    """Monotonic clock of the operating system, starting at 0."""

    def __init__(self):
        self._start_ns = time.monotonic_ns()

    def now_ms(self) -> float:
        """Return milliseconds since this clock was created."""
        return (time.monotonic_ns() - self._start_ns) / 1e6


class ManualClock:
    """Clock for tests that only advances by `advance`.

    >>> clock = ManualClock()
    >>> clock.advance(5)
    >>> clock.now_ms()
    5.0
    """

    def __init__(self, start_ms: float = 0.0):
        self._now_ms = float(start_ms)

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self._now_ms

    def advance(self, step_ms: float) -> None:
        """Advance the clock by `step_ms` milliseconds."""
        self._now_ms += step_ms
