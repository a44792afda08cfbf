"""Budget of the retries and hedges of a service in the whole fleet.

In any window of `retry_window_s`, the exchanges that repeat a request must stay
below `retry_ratio` times the requests of the service plus `retry_slack`. Each
entry uses a share of its own requests without asking. One entry of each
service, the *allocator*, grants a part of the slack to the entries that need
more. docs/design/retry-budget.md derives the constants.

The module does no I/O and reads no clock.
"""

import collections
import math

from slatechute import budgets
from slatechute.gateway import rate_limits
from slatechute.gateway import settings as gateway_settings

__all__ = [
    "MAX_WAIT_MS",
    "HighestCount",
    "RetryAllocator",
    "allocator_limit",
    "new_supply",
    "own_budget",
]

# Time that a retry waits for a grant. A round trip takes 1 ms within a data
# centre.
MAX_WAIT_MS = 10.0
# Share of the fleet-wide retry budget that the entries use by themselves. The
# rest covers requests that several entries count at the edges of a window.
_OWN_SHARE = 0.75
# Number of retries that an entry may make before it has received requests. The
# slack in the fleet-wide budget covers them for every entry, even if the
# entries restart.
_INITIAL_RETRIES = 2
# Number of requests for which an entry saves up its share.
_SAVED_REQUESTS = 30
# Starts of processes in a window, as a share of the active entries. A third of
# them start when a data centre of three returns.
_STARTS_SHARE = 0.5
# During a change of membership or a partition, two entries may be the allocator
# of a service at the same time.
_MAX_ALLOCATORS = 2
# Number of windows in which a new allocator reaches its full limit. In one
# window, successors that follow each other then grant at most this part of a
# limit together, in addition to what their predecessor has granted.
_RAMP_WINDOWS = 4
# Longest time from the grant until the retry reaches a target. Requests end
# after at most 1.5 s.
_MAX_DELAY_MS = 2_000.0
# An entry that was denied a retry does not ask again until then. Each entry
# asks at most five times a second while the slack is used up.
_DENIAL_MS = 200.0
# A late grant is used by the next retry within this time. With the wait for a
# target, the retry stays within `_MAX_DELAY_MS`.
_TOKEN_LIFETIME_MS = 400.0
# A lost entry may only be partitioned and continue to use its share.
_COUNT_HOLD_MS = 600_000.0


def own_budget(
    settings: gateway_settings.GatewaySettings,
) -> budgets.RatioBudget:
    """Return a new budget of one entry for the retries of one service."""
    return budgets.RatioBudget(
        settings.retry_ratio * _OWN_SHARE,
        window=_SAVED_REQUESTS,
        initial=_INITIAL_RETRIES,
    )


def new_supply() -> rate_limits.TokenSupply:
    """Return an empty supply of granted retries of one service."""
    return rate_limits.TokenSupply(
        rate_limits.SupplyTimes(_TOKEN_LIFETIME_MS, MAX_WAIT_MS, _DENIAL_MS)
    )


def allocator_limit(
    settings: gateway_settings.GatewaySettings, live: int, known: int
) -> int:
    """Return how many retries an allocator may grant in a window.

    The shares of all known entries and of restarts are subtracted from the
    slack. The rest is divided among the allocators that may exist.

    Args:
        settings: Settings of the entry.
        live: Number of active entries that the allocator sees.
        known: Highest number of active entries that it has seen recently. An
            entry that sees few of them is probably partitioned from the others
            and only grants the part of those that it sees.
    """
    if settings.retry_slack <= 0 or not 0 < live <= known:
        return 0
    saved = max(
        _INITIAL_RETRIES, settings.retry_ratio * _OWN_SHARE * _SAVED_REQUESTS
    )
    reserved = known * (saved + _STARTS_SHARE * _INITIAL_RETRIES)
    share = min(1 / _MAX_ALLOCATORS, live / known)
    left = max(0.0, settings.retry_slack - reserved)
    return math.floor(left * share / (1 + 1 / _RAMP_WINDOWS))


class HighestCount:
    """Highest of the recent numbers of active entries."""

    def __init__(self):
        self._count = 0
        self._counted_ms = -math.inf

    def update(self, count: int, now_ms: float) -> int:
        """Add a count and return the highest recent one."""
        is_outdated = now_ms - self._counted_ms > _COUNT_HOLD_MS
        if count >= self._count or is_outdated:
            self._count = count
            self._counted_ms = now_ms
        return self._count


class RetryAllocator:
    """Grants retries of one service.

    A bucket of tokens was weighed. It splits the limit into a burst and a rate,
    whereas a list of the grants allows all of the limit at any time.

    Args:
        settings: Settings of the entry.
        now_ms: Clock time of its start. It starts without retries, as another
            entry may just have granted some.

    Attributes:
        limit: Number of retries that it may grant in a window.
    """

    def __init__(
        self, settings: gateway_settings.GatewaySettings, now_ms: float
    ):
        self.limit = 0
        self._window_ms = settings.retry_window_s * 1000
        self._started_ms = now_ms
        # Clock times of the grants in the current window, ascending.
        self._granted_ms: collections.deque[float] = collections.deque()

    def in_use(self, now_ms: float) -> int:
        """Return how many retries were granted in the current window."""
        start_ms = now_ms - self._window_ms - _MAX_DELAY_MS
        while self._granted_ms and self._granted_ms[0] <= start_ms:
            self._granted_ms.popleft()
        return len(self._granted_ms)

    def take(self, count: int, now_ms: float) -> int:
        """Return how many retries an entry gets, up to a count."""
        age_ms = now_ms - self._started_ms
        ramp = min(1.0, age_ms / (_RAMP_WINDOWS * self._window_ms))
        free = math.floor(self.limit * ramp) - self.in_use(now_ms)
        granted = max(0, min(count, free))
        self._granted_ms.extend([now_ms] * granted)
        return granted
