"""Which targets are cold, and how many entries may allocate their tokens.

A cold target takes only a few requests a second and crashes well above that.
The module does no I/O and reads no clock.
"""

import math

from slatechute import logs
from slatechute import ownership

__all__ = ["PROTOCOL", "ColdState", "KnownEntries"]

_LOG = logs.get_logger(__name__)

# Entries of earlier versions do not allocate tokens of cold targets. Heartbeats
# contain the version of the protocol.
PROTOCOL = 1
# Longer times are not plausible; warm-ups take seconds.
_MAX_COLD_MS = 60_000.0
# For this long after a probe showed that a target has become warm, it is
# reported to peers with each probe. A datagram may be lost, and a peer may
# learn up to 2.5 s later that an evacuation has ended, after which it assumes
# targets to be cold.
_WARM_NEWS_MS = 3_000.0
# For this long after a probe showed that the target is warm, reports to peers
# state it. Later it may have become cold again without this entry knowing it.
_WARM_REPORT_MS = 1_000.0
# Entries that may allocate the tokens of one cold target, wherever the network
# is divided. Each of them may hand out one token at once, and the fleet may
# exceed the rate by a slack of 8 requests.
_MAX_ALLOCATORS = 8
# An entry that was lost may only be partitioned and allocate tokens itself.
_REMEMBER_ENTRY_MS = 600_000.0


class ColdState:
    """Whether one target is cold, as far as this entry knows.

    Args:
        target_id: Id of the target, for the log.
        until_ms: Clock time until which it is cold by its registration.

    >>> state = ColdState("t1", 500.0)
    >>> state.is_cold(400.0), state.is_cold(500.0)
    (True, False)
    """

    def __init__(self, target_id: str, until_ms: float):
        self._target_id = target_id
        self._until_ms = until_ms
        self._warm_observed_ms = -math.inf
        self._ended_ms = -math.inf

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the target is cold."""
        return now_ms < self._until_ms

    def expect(self, duration_ms: float, now_ms: float) -> None:
        """Assume the target to be cold for some time, unless it reports."""
        self._until_ms = max(self._until_ms, now_ms + duration_ms)

    def observe(self, cold_ms: float, now_ms: float) -> bool:
        """Update the state with what the target reports.

        Args:
            cold_ms: For how long it is still cold, 0 if it is not.
            now_ms: Current time.

        Returns:
            Whether to report it to the peers: at each report of a cold target,
            as a datagram may be lost, and for some time when it has become
            warm.
        """
        was_cold = self.is_cold(now_ms)
        self._until_ms = now_ms + min(_MAX_COLD_MS, cold_ms)
        self._log_change(was_cold, now_ms, "target")
        if cold_ms > 0:
            self._warm_observed_ms = -math.inf
            return True
        self._warm_observed_ms = now_ms
        if was_cold:
            self._ended_ms = now_ms
        return now_ms - self._ended_ms < _WARM_NEWS_MS

    def adopt(self, cold_ms: float, now_ms: float, source: str) -> bool:
        """Adopt what a peer knows.

        Of two times the later one counts. It ends by itself, while a crash of
        the target would not.

        Args:
            cold_ms: For how long it is still cold, 0 if it is not.
            now_ms: Current time.
            source: Id of the peer, for the log.

        Returns:
            Whether the target has become warm.
        """
        was_cold = self.is_cold(now_ms)
        if cold_ms > 0:
            self.expect(min(_MAX_COLD_MS, cold_ms), now_ms)
        else:
            self._until_ms = min(self._until_ms, now_ms)
        self._log_change(was_cold, now_ms, source)
        return was_cold and not self.is_cold(now_ms)

    def _log_change(self, was_cold: bool, now_ms: float, source: str) -> None:
        is_cold = self.is_cold(now_ms)
        if is_cold != was_cold:
            _LOG.notice(
                "target_cold_changed",
                target=self._target_id,
                cold=is_cold,
                source=source,
            )

    def report_ms(self, now_ms: float) -> float | None:
        """Return what to tell peers: the remaining time, None if not known."""
        if self.is_cold(now_ms):
            return self._until_ms - now_ms
        if now_ms - self._warm_observed_ms < _WARM_REPORT_MS:
            return 0.0
        return None


class KnownEntries:
    """Entries that may send requests, including those that were lost lately.

    Each part of a divided fleet allocates the tokens of a cold target by itself
    and knows nothing of the other parts. It therefore hands out only its share
    of the rate, and only a bounded number of parts hands out any.

    >>> known = KnownEntries()
    >>> known.update({"e1", "e2"}, set(), 0.0)
    >>> known.update({"e1"}, set(), 1_000.0)
    >>> known.share("t1", {"e1"})
    0.5
    """

    def __init__(self):
        self._seen_ms_by_id: dict[str, float] = {}

    def update(self, active: set[str], ended: set[str], now_ms: float) -> None:
        """Update the entries.

        Args:
            active: Ids of the entries that are active now.
            ended: Ids of live entries that have left or become standbys.
            now_ms: Current time.
        """
        self._seen_ms_by_id.update(dict.fromkeys(active, now_ms))
        for entry_id, seen_ms in list(self._seen_ms_by_id.items()):
            if entry_id in ended or now_ms - seen_ms > _REMEMBER_ENTRY_MS:
                del self._seen_ms_by_id[entry_id]

    def share(self, target_id: str, reachable: set[str]) -> float:
        """Return the share of a target's rate for a part of the fleet.

        Args:
            target_id: Id of the target.
            reachable: Ids of the active entries of that part.
        """
        known = self._seen_ms_by_id.keys() | reachable
        allowed = ownership.ranked(target_id, known)[:_MAX_ALLOCATORS]
        if reachable.isdisjoint(allowed):
            return 0.0
        return len(reachable) / len(known)
