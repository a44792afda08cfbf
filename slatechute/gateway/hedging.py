"""Decisions on hedges: whether, when and where a second exchange starts.

The module does no I/O and reads no clock. docs/design/hedging.md has the rules
and the alternatives that were weighed.
"""

import collections
from collections.abc import Iterable, Set
import dataclasses
import enum
from typing import Protocol

from slatechute.gateway import histograms
from slatechute.gateway import loads
from slatechute.gateway import settings as gateway_settings

__all__ = [
    "RETRY_INTERVAL_MS",
    "Cause",
    "Check",
    "Denial",
    "FixedDelayPolicy",
    "HedgePolicy",
    "LateExchange",
    "QuantilePolicy",
    "RelativeTimes",
    "Result",
    "create_policy",
]

# Time between attempts to hedge after a denial.
RETRY_INTERVAL_MS = 15.0

# Without the setting: a hedge is sent when the exchange has taken this share of
# the time until the objective and also this multiple of its expected duration.
# Hosts stay slow for a few hundred milliseconds, so an overdue exchange is
# unlikely to catch up.
_HEDGE_OBJECTIVE_SHARE = 0.3
_HEDGE_OVERDUE_FACTOR = 1.3

# An exchange that takes longer than this quantile of the recent times of its
# service, relative to what was expected, is late.
_LATE_QUANTILE = 0.95
# Bounds of that quantile. Below the lower one an exchange usually ends before a
# hedge could. The upper one keeps hedges possible while many responses are
# lost, which raises the quantile itself.
_MIN_LATE_FACTOR = 1.3
_MAX_LATE_FACTOR = 4.0
# Late factor until there are enough samples: one response in ten takes more
# than twice the median on both measured deployments.
_INITIAL_LATE_FACTOR = 2.0
_MIN_SAMPLES = 40
# An exchange is not late before this time has passed beyond the expected one.
# Without it, exchanges of 1 ms were hedged whenever a host was busy.
_MIN_LATE_MS = 10.0
# Time that a hedge takes, as a multiple of the expected time of the exchange
# that is late. With the quantile alone, hedges of a service whose hosts slow
# down by a factor of four came after the objective, and more responses were
# late than with a fixed delay.
_HEDGE_TIME_FACTOR = 1.4
# The same for a lost response, which must exceed a short pause of a host.
_MIN_LOST_MS = 50.0
# A response counts as lost at this multiple of the late factor, and not before
# the minimum multiple of the expected time.
_LOST_LATE_MULTIPLE = 1.5
_MIN_LOST_FACTOR = 2.5
# A late response counts as lost earlier if otherwise less than this multiple of
# the expected time would be left until the deadline.
_LOST_RESERVE_FACTOR = 2.5

# Tokens that retries of failures find in the retry budget of a service: as many
# as an entry has at its start.
_RETRY_RESERVE = 2.0
# Share of the slots of a service that must be free for a hedge, as in the
# dispatcher of `slatechute entry`. No entry sees all queues, so a slot that
# looks free near saturation may be needed by a request of another entry.
_MIN_FREE_SHARE = 0.2
# The targets of a data centre count as slow when the median of their expected
# slowdown is this multiple of the median elsewhere. A smaller difference is
# left to the cost of each target, which includes its slowdown.
_SLOW_DATA_CENTRE_FACTOR = 1.5

# The allowance holds at most the share of this many requests. More would let a
# slow phase of a service be answered by a burst of hedges.
_ALLOWANCE_REQUESTS = 40
_RATE_WINDOW_MS = 1_000.0

# Histogram of relative times: 8 buckets per factor of two (9% wide) from 1/4 to
# 16, beyond which values do not change a decision.
_BUCKETS_PER_OCTAVE = 8
_MIN_RATIO = 0.25
_MAX_RATIO = 16.0
# All weights are halved at this total, so that about the last 500 samples
# count: 25 of them lie above the quantile.
_MAX_WEIGHT = 512.0
# The quantile is computed again after this many samples.
_REFRESH_SAMPLES = 16


class Cause(enum.StrEnum):
    """Why a hedge is sent."""

    # The exchange takes longer than most, and a hedge can meet the objective.
    LATE = "late"
    # The response is probably lost, and a hedge can meet the deadline.
    LOST = "lost"


class Denial(enum.StrEnum):
    """Limit that denies a hedge."""

    SHARE = "share"
    RATE = "rate"
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS = "attempts"
    QUEUE = "queue"
    FULL = "full"
    NO_TARGET = "no_target"


class Result(enum.StrEnum):
    """How a hedge ended."""

    # Its response was returned to the caller.
    WON = "won"
    # The response of the other exchange was returned.
    LOST = "lost"
    # It had no usable response.
    FAILED = "failed"
    # The request ended without a response while the hedge was running.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class LateExchange:
    """An exchange that may need a hedge, and the limits of its request.

    Attributes:
        service: Service of the request.
        started_ms: Clock time at which the exchange began.
        expected_ms: Its expected duration.
        objective_ms: Clock time until which a response has its full value.
        deadline_ms: Clock time by which the request must have ended.
    """

    service: str
    started_ms: float
    expected_ms: float
    objective_ms: float
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Whether to hedge now.

    Attributes:
        cause: Why a hedge is due, None if it is not.
        wait_ms: Time until the next check if no hedge is started now.
        max_cost_ms: Longest expected time of the hedge.
    """

    cause: Cause | None
    wait_ms: float
    max_cost_ms: float = 0.0


class HedgePolicy(Protocol):
    """Rules of hedges.

    Attributes:
        retry_reserve: Tokens of the retry budget that hedges leave for retries.
        replaces_failed: Whether another hedge may follow one that has failed.
    """

    retry_reserve: float
    replaces_failed: bool

    def apply(self, settings: gateway_settings.HedgingSettings) -> None:
        """Use changed settings."""

    def record_request(self, service: str) -> None:
        """Count a request of a service."""

    def record_response(self, service: str, ratio: float) -> None:
        """Record the time of an exchange as a multiple of what was expected."""

    def record_abandonment(self, service: str, ratio: float) -> None:
        """Record the time after which an exchange was cancelled, likewise."""

    def check(self, late: LateExchange, now_ms: float) -> Check | None:
        """Return whether a hedge is due, or None if none will be."""

    def denial(self, service: str, now_ms: float) -> Denial | None:
        """Return the exhausted allowance, None if a hedge may be sent."""

    def record_hedge(self, service: str, now_ms: float) -> None:
        """Take a hedge from the allowance."""

    def load_denial(
        self,
        targets: Iterable[loads.TargetLoad],
        waiting_at_peers: int,
        now_ms: float,
    ) -> Denial | None:
        """Return the limit that the load of a service denies a hedge by.

        Args:
            targets: Targets of the service.
            waiting_at_peers: Requests of the service that wait at peers.
            now_ms: Current time.
        """

    def unsuitable_ids(
        self,
        targets: Iterable[loads.TargetLoad],
        used: Iterable[loads.TargetLoad],
        now_ms: float,
    ) -> Set[str]:
        """Return the ids of the targets that get no hedge.

        Args:
            targets: Targets of the service.
            used: Targets of the exchanges so far; the first one is late.
            now_ms: Current time.
        """


class FixedDelayPolicy:
    """Hedges of an entry without the setting, within the retry budget only."""

    retry_reserve = 0.0
    replaces_failed = False

    def apply(self, settings: gateway_settings.HedgingSettings) -> None:
        """See `HedgePolicy`."""

    def record_request(self, service: str) -> None:
        """See `HedgePolicy`."""

    def record_response(self, service: str, ratio: float) -> None:
        """See `HedgePolicy`."""

    def record_abandonment(self, service: str, ratio: float) -> None:
        """See `HedgePolicy`."""

    def check(self, late: LateExchange, now_ms: float) -> Check | None:
        """See `HedgePolicy`."""
        until_objective_ms = max(0.0, late.objective_ms - late.started_ms)
        due_ms = late.started_ms + max(
            _HEDGE_OBJECTIVE_SHARE * until_objective_ms,
            _HEDGE_OVERDUE_FACTOR * late.expected_ms,
        )
        if now_ms < due_ms:
            return Check(None, due_ms - now_ms)
        left_ms = late.objective_ms - now_ms
        if left_ms <= 0:
            return None
        return Check(Cause.LATE, RETRY_INTERVAL_MS, left_ms)

    def denial(self, service: str, now_ms: float) -> Denial | None:
        """See `HedgePolicy`."""
        del service, now_ms
        return None

    def record_hedge(self, service: str, now_ms: float) -> None:
        """See `HedgePolicy`."""

    def load_denial(
        self,
        targets: Iterable[loads.TargetLoad],
        waiting_at_peers: int,
        now_ms: float,
    ) -> Denial | None:
        """See `HedgePolicy`."""
        del targets, waiting_at_peers, now_ms
        return None

    def unsuitable_ids(
        self,
        targets: Iterable[loads.TargetLoad],
        used: Iterable[loads.TargetLoad],
        now_ms: float,
    ) -> Set[str]:
        """See `HedgePolicy`."""
        del targets, now_ms
        return {load.target.id for load in used}


class RelativeTimes:
    """Decaying histogram of times relative to what was expected.

    Attributes:
        late_factor: Multiple of the expected time above which an exchange is
            late.
    """

    def __init__(self):
        self.late_factor = _INITIAL_LATE_FACTOR
        self._histogram = histograms.DecayingHistogram(
            _MIN_RATIO, _MAX_RATIO, _BUCKETS_PER_OCTAVE, _MAX_WEIGHT
        )

    def late_ms(self, late: LateExchange) -> float:
        """Return the clock time at which an exchange is late.

        This is after the quantile, or earlier if a hedge could not meet the
        objective any more then.
        """
        earliest_ms = late.started_ms + max(
            _MIN_LATE_FACTOR * late.expected_ms,
            late.expected_ms + _MIN_LATE_MS,
        )
        quantile_ms = late.started_ms + self.late_factor * late.expected_ms
        last_useful_ms = late.objective_ms - (
            _HEDGE_TIME_FACTOR * late.expected_ms
        )
        return max(earliest_ms, min(quantile_ms, last_useful_ms))

    def lost_ms(self, late: LateExchange) -> float:
        """Return the clock time at which a response counts as lost."""
        expected_ms = late.expected_ms
        earliest_ms = late.started_ms + max(
            _MIN_LOST_FACTOR * expected_ms,
            self.late_factor * expected_ms,
            expected_ms + _MIN_LOST_MS,
        )
        usual_ms = (
            late.started_ms
            + _LOST_LATE_MULTIPLE * self.late_factor * expected_ms
        )
        latest_ms = late.deadline_ms - _LOST_RESERVE_FACTOR * expected_ms
        return max(earliest_ms, min(usual_ms, latest_ms))

    def add(self, ratio: float) -> None:
        """Add the time of an exchange."""
        self._histogram.add(ratio)
        samples = self._histogram.samples
        if samples >= _MIN_SAMPLES and samples % _REFRESH_SAMPLES == 0:
            self.late_factor = min(
                _MAX_LATE_FACTOR,
                max(_MIN_LATE_FACTOR, self.quantile(_LATE_QUANTILE)),
            )

    def add_lower_bound(self, ratio: float) -> None:
        """Add an exchange that was cancelled before its response.

        Its time counts only if it certainly is above the quantile. Without
        these, the quantile would fall with each hedge that wins.
        """
        if ratio >= self.late_factor:
            self.add(ratio)

    def quantile(self, share: float) -> float:
        """Return the upper edge of the bucket with a quantile."""
        return self._histogram.quantile_bounds(share)[1]


class _Allowance:
    """Hedges of one service that the settings allow."""

    def __init__(self):
        self._tokens = 0.0
        self._sent_ms: collections.deque[float] = collections.deque()

    def record_request(
        self, settings: gateway_settings.HedgingSettings
    ) -> None:
        # With a small share, one whole token must fit.
        limit = max(1.0, settings.share * _ALLOWANCE_REQUESTS)
        self._tokens = min(limit, self._tokens + settings.share)

    def denial(
        self, settings: gateway_settings.HedgingSettings, now_ms: float
    ) -> Denial | None:
        if self._tokens < 1:
            return Denial.SHARE
        # Below one per second, the window is longer instead.
        window_ms = _RATE_WINDOW_MS / min(1.0, settings.max_per_s)
        while self._sent_ms and self._sent_ms[0] <= now_ms - window_ms:
            self._sent_ms.popleft()
        if len(self._sent_ms) >= max(1, int(settings.max_per_s)):
            return Denial.RATE
        return None

    def discard_tokens(self) -> None:
        """Drop saved tokens, as those of a higher share exceed a lower one."""
        self._tokens = 0.0

    def take(self, now_ms: float) -> None:
        self._tokens -= 1
        self._sent_ms.append(now_ms)


class QuantilePolicy:
    """Hedges of an entry with the setting.

    Args:
        settings: Limits of hedges.
    """

    retry_reserve = _RETRY_RESERVE
    replaces_failed = True

    def __init__(self, settings: gateway_settings.HedgingSettings):
        self._settings = settings
        self._times_by_service: dict[str, RelativeTimes] = (
            collections.defaultdict(RelativeTimes)
        )
        self._allowance_by_service: dict[str, _Allowance] = (
            collections.defaultdict(_Allowance)
        )

    def apply(self, settings: gateway_settings.HedgingSettings) -> None:
        """See `HedgePolicy`."""
        if settings.share < self._settings.share:
            for allowance in self._allowance_by_service.values():
                allowance.discard_tokens()
        self._settings = settings

    def record_request(self, service: str) -> None:
        """See `HedgePolicy`."""
        self._allowance_by_service[service].record_request(self._settings)

    def record_response(self, service: str, ratio: float) -> None:
        """See `HedgePolicy`."""
        self._times_by_service[service].add(ratio)

    def record_abandonment(self, service: str, ratio: float) -> None:
        """See `HedgePolicy`."""
        self._times_by_service[service].add_lower_bound(ratio)

    def check(self, late: LateExchange, now_ms: float) -> Check | None:
        """See `HedgePolicy`."""
        if not self._settings.share or not self._settings.max_per_s:
            return None
        times = self._times_by_service[late.service]
        late_ms = times.late_ms(late)
        lost_ms = times.lost_ms(late)
        if now_ms >= late.deadline_ms:
            return None
        if now_ms >= lost_ms:
            left_ms = late.deadline_ms - now_ms
            return Check(Cause.LOST, RETRY_INTERVAL_MS, left_ms)
        if now_ms < late.objective_ms:
            if now_ms >= late_ms:
                left_ms = late.objective_ms - now_ms
                return Check(Cause.LATE, RETRY_INTERVAL_MS, left_ms)
            if late_ms < late.objective_ms:
                return Check(None, late_ms - now_ms)
        if lost_ms >= late.deadline_ms:
            return None
        return Check(None, lost_ms - now_ms)

    def denial(self, service: str, now_ms: float) -> Denial | None:
        """See `HedgePolicy`."""
        if not self._settings.share:
            return Denial.SHARE
        if not self._settings.max_per_s:
            return Denial.RATE
        allowance = self._allowance_by_service[service]
        return allowance.denial(self._settings, now_ms)

    def record_hedge(self, service: str, now_ms: float) -> None:
        """See `HedgePolicy`."""
        self._allowance_by_service[service].take(now_ms)

    def load_denial(
        self,
        targets: Iterable[loads.TargetLoad],
        waiting_at_peers: int,
        now_ms: float,
    ) -> Denial | None:
        """See `HedgePolicy`."""
        if waiting_at_peers:
            return Denial.QUEUE
        usable = [load for load in targets if not load.is_paused(now_ms)]
        slots = sum(load.slots for load in usable)
        free = sum(max(0, load.slots - load.occupancy()) for load in usable)
        return Denial.FULL if free < _MIN_FREE_SHARE * slots else None

    def unsuitable_ids(
        self,
        targets: Iterable[loads.TargetLoad],
        used: Iterable[loads.TargetLoad],
        now_ms: float,
    ) -> Set[str]:
        """See `HedgePolicy`.

        A hedge must start at once, on another host, and in another data centre
        if that of the late exchange is slow. A target with a rate limit keeps
        its tokens for requests. Hosts cannot be distinguished where all targets
        have the same one, as behind a forwarder of ports.
        """
        targets = list(targets)
        used = list(used)
        hosts = {_host(load) for load in used}
        if hosts >= {_host(load) for load in targets}:
            hosts = set()
        data_centre = used[0].target.data_centre
        is_slow = _is_slow(data_centre, targets, now_ms)
        ids = {load.target.id for load in used}
        for load in targets:
            # A target that would become crowded is not chosen: a request that
            # is not known here yet would make the hedge wait.
            would_crowd = load.occupancy() >= loads.uncrowded_slots(load.slots)
            if (
                would_crowd
                or load.announced.rate_limit_per_s is not None
                or load.announced.is_leaving
                or _host(load) in hosts
                or (is_slow and load.target.data_centre == data_centre)
            ):
                ids.add(load.target.id)
        return ids


def _host(load: loads.TargetLoad) -> str:
    return load.target.address.rpartition(":")[0]


def _is_slow(
    data_centre: str, targets: Iterable[loads.TargetLoad], now_ms: float
) -> bool:
    """Return whether most targets of a data centre are slower than others."""
    here: list[float] = []
    elsewhere: list[float] = []
    for load in targets:
        slowness = load.slowdown(now_ms) * load.slowness(now_ms)
        is_here = load.target.data_centre == data_centre
        (here if is_here else elsewhere).append(slowness)
    if not here or not elsewhere:
        return False
    return _median(here) > _SLOW_DATA_CENTRE_FACTOR * _median(elsewhere)


def _median(values: list[float]) -> float:
    # The module `statistics` loads `decimal` and `fractions`, which an entry
    # does not need.
    return sorted(values)[len(values) // 2]


def create_policy(
    settings: gateway_settings.HedgingSettings | None,
) -> HedgePolicy:
    """Return the policy for the setting of an entry."""
    return FixedDelayPolicy() if settings is None else QuantilePolicy(settings)
