"""Which entries of a data centre serve callers.

Each entry that serves callers has to know the loads of all targets, so the
reports, probes and connections of a data centre grow with the number of these
entries. A few *active* entries serve the callers; the others are *standbys*:
they know the configuration, the targets and the active entries, serve any
request that reaches them, and become active when active ones are missing.

Each entry decides for itself, from the heartbeats of its data centre. The
module does no I/O and reads no clock.
"""

from collections.abc import Sequence
import math

from slatechute import messages
from slatechute.gateway import settings as gateway_settings

__all__ = ["ActiveRole", "ReaderTurn", "first_read_delay_ms", "rank"]

# The loss of half of the hosts of a data centre leaves all active entries dead
# in one of 64 cases. Smaller data centres have active entries only.
MIN_ACTIVE = 6
# Share of its processor time or network link up to which an active entry is
# used. Above it, requests wait for each other; more entries become active.
_MAX_BUSY_SHARE = 0.45
# A standby whose turn it is may have failed without notice. The next ones wait
# this long for it.
_TURN_MS = 400.0
# An entry that is not needed any more stays active for this long, so that the
# set does not alternate while entries start.
_MIN_SURPLUS_MS = 3_000.0
# The same for an entry that is surplus just after its start, when it learns of
# more and more entries.
_MIN_STARTING_SURPLUS_MS = 800.0
_STARTING_MS = 1_500.0
# An entry that knows no peer becomes active after this time. After a power loss
# entries are ready before the seeds are up, and all of them became active.
_ALONE_MS = 600.0
# A starting entry waits this long for peers before it reads, and a random time
# that grows with their number, so that only the first of a fleet reads.
_DISCOVERY_MS = 60.0
_MIN_READ_SPREAD_MS = 100.0
_READ_SPREAD_PER_PEER_MS = 12.0
# Without any peer, as the hosts of the seeds may start later than this one. At
# the first start of the fleet there is time until the callers arrive. When all
# entries restart, callers are waiting already.
_NO_PEERS_MS = 30.0
_NO_PEERS_BOOTSTRAP_MS = 800.0
# While the readers of a data centre have no connection to the platform, the
# next entry by rank tries as well after this time, as only their hosts may be
# cut off. Without it, all entries called a platform that was down.
_READER_TURN_MS = 600.0
# Where hosts differ, the few strong ones read first and pass the view on. On a
# link of 10 Mbit/s, the view of 300 targets takes 90 ms.
_STRONG_PROCESSOR_SHARE = 1.5
_WEAK_LINK_MBPS = 50.0
_WEAK_LINK_DELAY_MS = 150.0


def rank(presence: messages.Presence) -> tuple[float, str]:
    """Return the sort key by which entries become active.

    Strong hosts go first, as callers choose among active entries at random.
    """
    return -presence.processor_share, presence.entry_id


def _wanted(active: Sequence[messages.Presence]) -> int:
    """Return how many entries should be active.

    Args:
        active: The entries that are active.
    """
    if not active:
        return MIN_ACTIVE
    # A single busy host may only be slow, so the upper quartile counts.
    busy = sorted(presence.busy for presence in active)
    share = busy[len(busy) * 3 // 4]
    return max(MIN_ACTIVE, math.ceil(len(active) * share / _MAX_BUSY_SHARE))


def first_read_delay_ms(
    settings: gateway_settings.GatewaySettings, peer_count: int, share: float
) -> float:
    """Return how long after its start an entry reads the platform by itself.

    Args:
        settings: Settings of the entry.
        peer_count: Number of peers of the data centre that it knows. None of
            them has read the platform yet.
        share: Random number of this entry, from 0 to 1.
    """
    if not peer_count:
        delay_ms = (
            _NO_PEERS_BOOTSTRAP_MS if settings.is_first_start else _NO_PEERS_MS
        )
        return delay_ms + share * _MIN_READ_SPREAD_MS
    spread_ms = max(_MIN_READ_SPREAD_MS, _READ_SPREAD_PER_PEER_MS * peer_count)
    if settings.processor_share >= _STRONG_PROCESSOR_SHARE:
        spread_ms = _MIN_READ_SPREAD_MS
    delay_ms = _DISCOVERY_MS
    if settings.link_mbps < _WEAK_LINK_MBPS:
        delay_ms += _WEAK_LINK_DELAY_MS
    return delay_ms + share * spread_ms


class ReaderTurn:
    """Decides when an entry reads the platform because readers are missing.

    Args:
        readers: Number of entries of a data centre that read the platform.
    """

    def __init__(self, readers: int):
        self._readers = readers
        self._missing_since_ms: float | None = None

    def is_due(self, is_missing: bool, ahead: int, now_ms: float) -> bool:
        """Return whether this entry reads the platform.

        Args:
            is_missing: Whether too few entries ahead of this one are connected
                to the platform.
            ahead: Number of live entries that read the platform before it.
            now_ms: Current time.
        """
        if not is_missing:
            self._missing_since_ms = None
            return False
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        turn = max(0, ahead - self._readers + 1)
        return now_ms - self._missing_since_ms >= turn * _READER_TURN_MS


class ActiveRole:
    """Decides whether this entry is active.

    Args:
        started_ms: Clock time at which this entry has started.

    Attributes:
        is_active: Whether it is.
    """

    def __init__(self, started_ms: float = -math.inf):
        self.is_active = False
        self._started_ms = started_ms
        self._vacant_since_ms: float | None = None
        self._surplus_since_ms: float | None = None

    def update(
        self,
        own: messages.Presence,
        peers: Sequence[messages.Presence],
        now_ms: float,
    ) -> bool:
        """Decide again.

        Args:
            own: Presence of this entry; its `is_active` is not used.
            peers: Presences of the live peers of the data centre that do not
                leave, also of those that are still starting.
            now_ms: Current time.

        Returns:
            Whether `is_active` has changed.
        """
        own_rank = rank(own)
        active = [presence for presence in peers if presence.is_active]
        wanted = _wanted([*active, own] if self.is_active else active)
        was_active = self.is_active
        if self.is_active:
            ahead = sum(rank(presence) < own_rank for presence in active)
            self.is_active = not self._is_surplus(ahead >= wanted, now_ms)
        else:
            self._surplus_since_ms = None
            ahead = sum(rank(presence) < own_rank for presence in peers)
            idle_ahead = sum(
                rank(presence) < own_rank
                for presence in peers
                if not presence.is_active
            )
            self.is_active = ahead < wanted or self._is_turn(
                len(active) < wanted, idle_ahead // wanted, now_ms
            )
            if not peers and now_ms < self._started_ms + _ALONE_MS:
                self.is_active = False
        return self.is_active != was_active

    def _is_surplus(self, is_unneeded: bool, now_ms: float) -> bool:
        self._vacant_since_ms = None
        if not is_unneeded:
            self._surplus_since_ms = None
            return False
        if self._surplus_since_ms is None:
            self._surplus_since_ms = now_ms
        min_surplus_ms = _MIN_SURPLUS_MS
        if self._surplus_since_ms < self._started_ms + _STARTING_MS:
            min_surplus_ms = _MIN_STARTING_SURPLUS_MS
        return now_ms - self._surplus_since_ms >= min_surplus_ms

    def _is_turn(self, is_vacant: bool, turn: int, now_ms: float) -> bool:
        if not is_vacant:
            self._vacant_since_ms = None
            return False
        if self._vacant_since_ms is None:
            self._vacant_since_ms = now_ms
        return now_ms - self._vacant_since_ms >= turn * _TURN_MS

    def release(self) -> None:
        """Stop being active, as this entry leaves or is not ready."""
        self.is_active = False
        self._vacant_since_ms = self._surplus_since_ms = None
