"""Connect to a peer repeatedly, with jittered backoff."""

import asyncio
from collections.abc import Awaitable, Callable
import random

__all__ = ["BACKOFF_MAX_S", "BACKOFF_MIN_S", "Dialer", "backoff_s"]

BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0


def backoff_s(failures: int) -> float:
    """Return the delay before the next attempt, in seconds.

    >>> 0.025 <= backoff_s(0) <= 0.05
    True
    >>> 1.0 <= backoff_s(1000) <= 2.0
    True
    """
    limit_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(failures, 16))
    return limit_s * random.uniform(0.5, 1.0)


class Dialer:
    """Connects to a peer whenever there is no link with it."""

    def __init__(
        self, connect: Callable[[], Awaitable[None]], base_delay_s: float
    ):
        """Create a dialer.

        Args:
            connect: Connects once and returns when that connection is closed;
                it raises nothing but cancellation.
            base_delay_s: Delay before each attempt while there is no link; the
                backoff is added to it from the second attempt on.
        """
        self._connect = connect
        self._base_delay_s = base_delay_s
        self._failures = 0
        self._is_first = True
        self._unlinked = asyncio.Event()
        self._unlinked.set()
        self._linked_at_s = 0.0
        self._task = asyncio.create_task(self._run())

    def mark_linked(self) -> None:
        """Record that there is a link."""
        self._unlinked.clear()
        self._linked_at_s = asyncio.get_running_loop().time()

    def mark_unlinked(self) -> None:
        """Record that the link was lost."""
        if self._unlinked.is_set():
            return
        self._unlinked.set()
        # Short-lived links do not reset the backoff. Two processes with the
        # same entry id would otherwise replace each other's links in a tight
        # loop.
        lifetime_s = asyncio.get_running_loop().time() - self._linked_at_s
        if lifetime_s >= BACKOFF_MAX_S:
            self._failures = 0

    def stop(self) -> None:
        """Stop connecting; an open connection stays open."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self._unlinked.wait()
            await asyncio.sleep(self._delay_s())
            if self._unlinked.is_set():
                self._failures += 1
                await self._connect()

    def _delay_s(self) -> float:
        if self._is_first:
            self._is_first = False
            return self._base_delay_s
        return self._base_delay_s + backoff_s(self._failures)
