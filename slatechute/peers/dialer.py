"""Repeated calls to one peer with jittered backoff."""

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
    """Calls a peer whenever there is no link with it."""

    def __init__(
        self, attempt: Callable[[], Awaitable[None]], patience_s: float
    ):
        """Create a dialer.

        Args:
            attempt: Connects once and returns when that connection is closed;
                it raises nothing but cancellation.
            patience_s: How long there must be no link before an attempt.
        """
        self._attempt = attempt
        self._patience_s = patience_s
        self._failures = 0
        self._is_first = True
        self._unlinked = asyncio.Event()
        self._unlinked.set()
        self._linked_at_s = 0.0
        self._task = asyncio.create_task(self._run())

    def linked(self) -> None:
        """Take note that there is a link."""
        self._unlinked.clear()
        self._linked_at_s = asyncio.get_running_loop().time()

    def unlinked(self) -> None:
        """Take note that the link is gone."""
        if self._unlinked.is_set():
            return
        self._unlinked.set()
        # Links that break soon after they were opened keep the longer backoff;
        # two processes with the same entry id would otherwise replace each
        # other's links at full speed.
        lived_s = asyncio.get_running_loop().time() - self._linked_at_s
        if lived_s >= BACKOFF_MAX_S:
            self._failures = 0

    def stop(self) -> None:
        """Stop calling; an open connection stays open."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self._unlinked.wait()
            await asyncio.sleep(self._delay_s())
            if self._unlinked.is_set():
                self._failures += 1
                await self._attempt()

    def _delay_s(self) -> float:
        if self._is_first:
            self._is_first = False
            return self._patience_s
        return self._patience_s + backoff_s(self._failures)
