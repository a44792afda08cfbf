"""Requests after a pause of the process.

While a process is frozen, or a step of its event loop takes long, requests wait
in the kernel beside the reports that would have changed what the entry knows.
Which of them is read first is a matter of chance, so that no request is decided
until another process has shown that the view lacks nothing.
"""

import asyncio
from collections.abc import Callable
import math

from slatechute import logs
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = ["MIN_PAUSE_MS", "Resumption"]

_LOG = logs.get_logger(__name__)

# A longer time between two steps means that the process was paused.
MIN_PAUSE_MS = 400.0
# Longest time for the confirmation. Without any peer and platform, requests are
# decided by what the entry has.
_MAX_WAIT_S = 0.5


class Resumption:
    """Recognises pauses, and holds requests until the view is confirmed.

    Args:
        clock: Monotonic clock.
        confirm: Called after each pause; starts to confirm the view.
    """

    def __init__(self, clock: clocks.Clock, confirm: Callable[[], None]):
        self._clock = clock
        self._confirm = confirm
        # Infinite before the first step.
        self._last_step_ms = math.inf
        self._confirmed: asyncio.Future[None] | None = None

    def step(self) -> float:
        """Note a step of the event loop; return the time since the last in ms.

        The steps follow each other within far less than `MIN_PAUSE_MS`.
        """
        now_ms = self._clock.now_ms()
        pause_ms, self._last_step_ms = now_ms - self._last_step_ms, now_ms
        if pause_ms > MIN_PAUSE_MS:
            self._begin()
        return pause_ms

    def confirmed(self) -> None:
        """Let the requests go on, if any wait."""
        if self._confirmed is not None:
            self._confirmed.set_result(None)
            self._confirmed = None

    async def wait(self) -> None:
        """Wait until the view is confirmed if the process was paused."""
        # A request may be read before the step that notices the pause.
        if self._clock.now_ms() - self._last_step_ms > MIN_PAUSE_MS:
            self._begin()
        if self._confirmed is not None:
            # The future is shared, and one caller that leaves must not end it.
            await asyncio.shield(self._confirmed)

    def _begin(self) -> None:
        if self._confirmed is None:
            loop = asyncio.get_running_loop()
            self._confirmed = loop.create_future()
            loop.call_later(_MAX_WAIT_S, self._give_up, self._confirmed)
            steps.run_step(_LOG, "confirm", self._confirm)

    def _give_up(self, confirmed: asyncio.Future) -> None:
        if confirmed is self._confirmed:
            _LOG.warning("view_not_confirmed", waited_s=_MAX_WAIT_S)
            self.confirmed()
