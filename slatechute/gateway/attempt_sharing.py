"""Reports between entries of attempts that callers may repeat."""

import asyncio

from slatechute import messages
from slatechute.gateway import caller_retries
from slatechute.gateway import peers as peer_groups
from slatechute.util import clock as clocks

__all__ = ["AttemptSharing"]

# Callers retry after 40 ms at the earliest, and may choose another entry.
_REPORT_DELAY_S = 0.01
# About 1.2 KB, below the size of a packet.
_ATTEMPTS_PER_DATAGRAM = 18


class AttemptSharing:
    """Reports failed attempts to the active peers and adopts theirs.

    Attributes:
        retries: The failed attempts that are known.
    """

    def __init__(self, clock: clocks.Clock):
        self.retries = caller_retries.CallerRetries()
        self.group: peer_groups.PeerGroup | None = None
        self._clock = clock
        self._unreported: list[caller_retries.FailedAttempt] = []
        self._timer: asyncio.TimerHandle | None = None

    def attach(self, group: peer_groups.PeerGroup) -> None:
        """Set the group of the peers."""
        self.group = group

    def stop(self) -> None:
        """Send no further report."""
        if self._timer is not None:
            self._timer.cancel()

    def record(self, attempt: caller_retries.FailedAttempt) -> None:
        """Record a failed attempt and report it soon."""
        self.retries.record(attempt, self._clock.now_ms())
        self._unreported.append(attempt)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_REPORT_DELAY_S, self._report)

    def _report(self) -> None:
        self._timer = None
        unreported, self._unreported = self._unreported, []
        peers = self.group.active_peers() if self.group is not None else []
        if not peers:
            return
        now_ms = self._clock.now_ms()
        attempts = [
            messages.CallerAttempt(
                attempt.key,
                round(now_ms - attempt.first_ms, 1),
                round(attempt.deadline_ms - now_ms, 1),
            )
            for attempt in unreported
        ]
        for start in range(0, len(attempts), _ATTEMPTS_PER_DATAGRAM):
            part = attempts[start : start + _ATTEMPTS_PER_DATAGRAM]
            self.group.broadcast(messages.FailedAttempts(part), peers)

    def handle_report(self, message: messages.FailedAttempts) -> None:
        """Adopt the failed attempts that a peer reports."""
        now_ms = self._clock.now_ms()
        for attempt in message.attempts:
            self.retries.record(
                caller_retries.FailedAttempt(
                    attempt.key,
                    now_ms - max(0.0, attempt.age_ms),
                    now_ms + attempt.left_ms,
                ),
                now_ms,
            )
