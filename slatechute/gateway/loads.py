"""Estimates of the load and speed of each target.

They combine reported loads, requests in flight and response times.
"""

from collections.abc import Collection
import dataclasses
import enum
import math

from slatechute.gateway import announcements
from slatechute.gateway import cold_targets
from slatechute.gateway import dialects
from slatechute.gateway import paths
from slatechute.gateway import rate_limits

__all__ = [
    "Exchange",
    "Obstacle",
    "ServiceModel",
    "TargetLoad",
    "uncrowded_slots",
]

# Time constant with which a reported slowdown decays to the average of the
# service, as slowdowns of a host last a few hundred milliseconds.
_SLOWDOWN_DECAY_MS = 300.0
# Share of occupied slots above which a target counts as crowded. The targets of
# both deployments slow down when they are nearly full.
_CROWDED_SHARE = 0.8
_INITIAL_CROWDED_FACTOR = 1.6
_MAX_CROWDED_FACTOR = 3.0
# Number of samples that the initial factor counts for, about as many as arrive
# in the first second.
_INITIAL_CROWDED_SAMPLES = 20
# Weight of a new sample in the averages of execution time and slowdown.
_AVERAGE_WEIGHT = 0.05
# Weight of a new sample in the crowded factor. It is low because the factor is
# a stable property of the service.
_CROWDED_WEIGHT = 0.01
# Weight of a new sample in the slowness of one target. It is high so that a
# target that turns slow is detected after a few responses.
_SLOWNESS_WEIGHT = 0.25
# Slowness within a factor of two is ignored. Times of single requests differ as
# much, and on both deployments such values did not correlate with the time of
# the next request.
_INSIGNIFICANT_LOG_SLOWNESS = math.log(2.0)
# Time constant with which the slowness of a target decays while there are no
# responses. Without the decay, a target that was slow once would never receive
# another request.
_SLOWNESS_DECAY_MS = 3_000.0
_MIN_SLOWNESS = 0.4
_MAX_SLOWNESS = 10.0
# Multiple of the usual time that a target takes while it warms up.
_WARMUP_FACTOR = 2.0
# Execution time assumed until the first response, close to that of most
# services of both deployments.
_INITIAL_WORK_MS = 60.0
# Samples are clipped to this factor around the average, as larger deviations
# are caused by the host rather than by the work.
_MAX_WORK_RATIO = 4.0
# An in-flight exchange that has taken this multiple of the expected time raises
# the slowness of its target.
_OVERDUE_FACTOR = 1.5
_FAILURE_WEIGHT = 0.3
# Above this share of failures, a target is ejected: each further failure pauses
# it, so that it receives little more than probe requests.
_EJECT_FAILURE_SHARE = 0.55
_INITIAL_EJECT_MS = 300.0
_MAX_EJECT_MS = 4_000.0
# A refusal shows a full queue, which has room again once a request finishes.
_SHED_PAUSE_MS = 25.0
# Weight of a new answer in the share of refusals of a service: about the last
# 20 answers count.
_REFUSAL_WEIGHT = 0.05
# The share of refusals of a service is taken to be within these bounds, so that
# neither a single refusal nor a single answer decides.
_MIN_REFUSAL_SHARE = 0.05
_MAX_REFUSAL_SHARE = 0.95
# A target is compared with one that refuses this share of what its service
# serves.
_FAULTY_REFUSAL_SHARE = 0.75
# Evidence, as the logarithm of a likelihood ratio, above which a target is
# ejected for refusals: three in a row where the service refuses nothing, 15 in
# a row where it refuses 0.55. A usual target gets there by chance less than
# once in e^7, about 1,100, answers.
_REFUSAL_EVIDENCE = 7.0
# Evidence of a refusal where the service refuses nothing.
_MAX_REFUSAL_STEP = math.log(
    1 + _FAULTY_REFUSAL_SHARE * (1 / _MIN_REFUSAL_SHARE - 1)
)
# Where a service refuses a larger share of its requests in spite of free slots,
# a refusal does not show that the target is full.
_USUAL_REFUSAL_SHARE = 0.2
# A target that has turned requests of a peer away for a time is used when the
# others are much slower, as it may still take those of this entry.
_AVOIDED_FACTOR = 4.0
# A new target that has received no request after this time is preferred once,
# so that it warms up before it is needed.
_UNUSED_MS = 1_000.0
_UNUSED_FACTOR = 0.4


class Obstacle(enum.StrEnum):
    """Why a request is not sent to a target.

    Attributes:
        EVACUATED: Its data centre is evacuated.
        LEAVING: It accepts no new requests.
        PATH_LOST: Neither this entry nor a peer has a path to it.
        PAUSED: It has announced a pause or just refused a request.
        EJECTED: It has failed or refused too often.
        EXCLUDED: It must not get this request.
        OTHER_DATA_CENTRE: The response is large, and the local data centre has
            a usable target.
        COLD: It is cold, and this entry has no token for it.
        NO_TOKEN: It has a rate limit, and this entry has no token for it.
        FULL: It has no free slot.
        SLOWER: Another target has a lower cost.
        TOO_SLOW: It would take too long, and so would all others.
    """

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    PATH_LOST = "path_lost"
    PAUSED = "paused"
    EJECTED = "ejected"
    EXCLUDED = "excluded"
    OTHER_DATA_CENTRE = "other_data_centre"
    COLD = "cold"
    NO_TOKEN = "no_token"
    FULL = "full"
    SLOWER = "slower"
    TOO_SLOW = "too_slow"


def uncrowded_slots(slots: int) -> int:
    """Return how many requests a target can run without being crowded."""
    return max(1, math.floor(slots * _CROWDED_SHARE))


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """A request sent to a target, with the estimates at that time.

    Attributes:
        load: Load of the target.
        started_ms: Clock time at which it was sent.
        expected_ms: Expected duration.
        duration_factor: Expected duration as a multiple of the execution time
            at usual speed.
        is_crowded: Whether the target was crowded.
        crowded_factor: Part of `duration_factor` that is due to crowding.
        work_key: Kind of work, by which execution times are averaged.
        slowdown: Expected slowdown of the host.
        slowness: Estimated slowness of the target itself.
        position: Its position among the requests at the target, from 1.
    """

    load: "TargetLoad"
    started_ms: float
    expected_ms: float
    duration_factor: float
    is_crowded: bool
    crowded_factor: float
    work_key: str
    slowdown: float
    slowness: float
    position: int


class _GeometricMean:
    """Running geometric mean, on which a single outlier has little effect.

    Args:
        initial: Initial value.
        count: Number of samples that the initial value counts for.
    """

    def __init__(self, initial: float, *, count: int = 0):
        self._log = math.log(initial)
        self._count = count

    def add(self, value: float, weight: float) -> None:
        """Add a sample. The first ones weigh as in an unweighted mean."""
        self._count += 1
        weight = max(weight, 1 / self._count)
        self._log += weight * (math.log(value) - self._log)

    @property
    def value(self) -> float:
        """Mean of the samples, or the initial value without samples."""
        return math.exp(self._log)


class ServiceModel:
    """Estimates of the execution times of a service.

    Attributes:
        crowded_factor: Multiple of the usual time at a crowded target.
        slowdown: Average reported slowdown of the hosts of its targets.
        refusal_share: Moving average of the share of requests that targets
            have refused although they had free slots.
        cold_ms: How long a target is cold after it starts under traffic.
        cold_per_s: Requests a second that a cold target takes from all entries
            together, 0 if there is no such limit.
    """

    def __init__(self):
        self.crowded_factor = _INITIAL_CROWDED_FACTOR
        self.slowdown = 1.0
        self.refusal_share = 0.0
        self.cold_ms = 0.0
        self.cold_per_s = 0.0
        self._work_by_key: dict[str, _GeometricMean] = {}
        self._useful_by_slots: dict[int, int] = {}
        # Execution times are averaged over uncrowded targets only. With crowded
        # ones, the average would absorb the effect of crowding while nearly all
        # targets are crowded.
        self._crowded_ratio = _GeometricMean(
            _INITIAL_CROWDED_FACTOR, count=_INITIAL_CROWDED_SAMPLES
        )

    def work_ms(self, key: str) -> float:
        """Return the execution time of a request at usual speed."""
        work = self._work_by_key.get(key)
        return work.value if work else _INITIAL_WORK_MS

    def usual_work_ms(self) -> float:
        """Return the shortest execution time of the kinds of requests."""
        return min(
            (work.value for work in self._work_by_key.values()),
            default=_INITIAL_WORK_MS,
        )

    def add_work(self, exchange: Exchange, elapsed_ms: float) -> None:
        """Update the estimates with the duration of a successful exchange."""
        work_ms = elapsed_ms / exchange.duration_factor
        work = self._work_by_key.get(exchange.work_key)
        if work is None:
            work = self._work_by_key[exchange.work_key] = _GeometricMean(
                work_ms
            )
            work.add(work_ms, _AVERAGE_WEIGHT)
            return
        ratio = min(
            _MAX_WORK_RATIO, max(1 / _MAX_WORK_RATIO, work_ms / work.value)
        )
        if not exchange.is_crowded:
            work.add(work.value * ratio, _AVERAGE_WEIGHT)
            return
        self._crowded_ratio.add(
            ratio * exchange.crowded_factor, _CROWDED_WEIGHT
        )
        factor = self._crowded_ratio.value
        self.crowded_factor = min(_MAX_CROWDED_FACTOR, max(1.0, factor))
        self._useful_by_slots.clear()
        if factor != self.crowded_factor:
            # Crowding alone does not explain the duration, so the execution
            # time has changed.
            work.add(work.value * ratio, _AVERAGE_WEIGHT)

    def add_slowdown(self, slowdown: float) -> None:
        """Update the average with a reported slowdown."""
        self.slowdown += _AVERAGE_WEIGHT * (slowdown - self.slowdown)

    def add_answer(self, *, is_refusal: bool) -> float:
        """Update the share of refusals with an answer of a target.

        Returns:
            How much the answer supports that the target refuses far more than
            its service, as the logarithm of a likelihood ratio.
        """
        usual = min(
            _MAX_REFUSAL_SHARE, max(_MIN_REFUSAL_SHARE, self.refusal_share)
        )
        self.refusal_share += _REFUSAL_WEIGHT * (
            is_refusal - self.refusal_share
        )
        faulty = usual + _FAULTY_REFUSAL_SHARE * (1 - usual)
        if is_refusal:
            return math.log(faulty / usual)
        return math.log((1 - faulty) / (1 - usual))

    def useful_slots(self, slots: int) -> int:
        """Return the concurrency at which a target has the highest throughput.

        Above the crowded share, all requests take longer. With few slots,
        further requests still raise the throughput. With many, they do not.
        """
        useful = self._useful_by_slots.get(slots)
        if useful is None:
            uncrowded = uncrowded_slots(slots)
            useful = (
                slots if slots / self.crowded_factor > uncrowded else uncrowded
            )
            self._useful_by_slots[slots] = useful
        return useful


class TargetLoad:
    """State of one target as seen by this entry.

    Attributes:
        target: Registration of the target.
        announced: What the target has announced in its responses.
        cold: Whether the target is cold.
        tokens: Tokens of this entry, needed while the target has a rate limit.
        path: What this entry believes of its path to the target.
        local_in_flight: Number of in-flight requests of this entry.
        peer_in_flight_by_id: Number of in-flight requests of peers, by entry
            id.
        reported_load: Last reported load, or None.
        reported_ms: Clock time of the last reported load.
        failure_share: Moving average of the share of failed exchanges, without
            refusals.
        refusal_evidence: Evidence that the target refuses far more than its
            service, from 0 for none to that for which it is ejected.
        shared_change_ms: Clock time of the last change that the peers know as
            well, -inf if a request of this entry has ended since.
        sent: Number of requests sent by this entry, plus one for each observed
            increase in the requests of a peer.
        paused_until_ms: Clock time until which no request is sent.
        is_evacuated: Whether its data centre is evacuated, so that no request
            is sent.
    """

    def __init__(
        self,
        target: dialects.PublishedTarget,
        model: ServiceModel,
        now_ms: float,
    ):
        self.target = target
        self.announced = announcements.AnnouncedState(target.id)
        self.cold = cold_targets.ColdState(target.id, now_ms + target.warmup_ms)
        self.tokens = rate_limits.TokenSupply()
        self.path = paths.TargetPath()
        self.local_in_flight = 0
        self.peer_in_flight_by_id: dict[str, int] = {}
        self.reported_load: dialects.Load | None = None
        self.reported_ms = -math.inf
        self.failure_share = 0.0
        self.refusal_evidence = 0.0
        self.shared_change_ms = -math.inf
        self.sent = 0
        self._log_slowness = 0.0
        self._slowness_updated_ms = now_ms
        self.paused_until_ms = 0.0
        self.is_evacuated = False
        self._model = model
        self._peer_in_flight = 0
        # Sequence number of the last report of each peer about this target.
        self._sequence_by_peer_id: dict[str, int] = {}
        self._in_flight_at_report = 0
        self._listed_ms = now_ms
        self._warmup_end_ms = now_ms + target.warmup_ms
        self._eject_duration_ms = _INITIAL_EJECT_MS
        self._ejected_until_ms = -math.inf
        self._exchanges: dict[Exchange, None] = {}

    def update(self, target: dialects.PublishedTarget, now_ms: float) -> None:
        """Apply a changed registration of the same process."""
        self.target = target
        self._warmup_end_ms = max(
            self._warmup_end_ms, now_ms + target.warmup_ms
        )
        self.cold.expect(target.warmup_ms, now_ms)

    @property
    def slots(self) -> int:
        """Number of requests that the target runs concurrently."""
        return (
            self.reported_load.slots
            if self.reported_load
            else self.target.slots
        )

    def set_peer_in_flight(
        self,
        entry_id: str,
        count: int,
        sequence: int = 0,
        now_ms: float = -math.inf,
    ) -> None:
        """Set the number of in-flight requests of a peer.

        Args:
            entry_id: Id of the peer.
            count: Number of its requests.
            sequence: Sequence number of its report.
            now_ms: Current time.
        """
        self._sequence_by_peer_id[entry_id] = sequence
        if count < self.peer_in_flight_by_id.get(entry_id, 0):
            self.shared_change_ms = now_ms
        self._peer_in_flight += count - self.peer_in_flight_by_id.get(
            entry_id, 0
        )
        if count:
            if count > self.peer_in_flight_by_id.get(entry_id, 0):
                self.sent += 1
            self.peer_in_flight_by_id[entry_id] = count
        else:
            self.peer_in_flight_by_id.pop(entry_id, None)
            self._sequence_by_peer_id.pop(entry_id, None)

    def clear_peer_before(self, entry_id: str, sequence: int) -> None:
        """Drop the requests of a peer that were reported earlier.

        Args:
            entry_id: Id of the peer.
            sequence: Sequence number of the first report that counts.
        """
        if (
            entry_id in self.peer_in_flight_by_id
            and self._sequence_by_peer_id.get(entry_id, 0) < sequence
        ):
            self.set_peer_in_flight(entry_id, 0)

    def apply_report(self, load: dialects.Load, reported_ms: float) -> bool:
        """Apply a reported load unless it is outdated.

        Args:
            load: The reported load.
            reported_ms: Clock time of the report.

        Returns:
            Whether it is newer than the last one.
        """
        if reported_ms <= self.reported_ms:
            return False
        self.reported_load = load
        self.reported_ms = self.shared_change_ms = reported_ms
        self._in_flight_at_report = self.local_in_flight + self._peer_in_flight
        self._model.add_slowdown(load.slowdown)
        return True

    def occupancy(self) -> int:
        """Return the estimated number of requests at the target now."""
        in_flight = self.local_in_flight + self._peer_in_flight
        if self.reported_load is None:
            return in_flight
        reported = self.reported_load.running + self.reported_load.waiting
        return max(in_flight, reported + in_flight - self._in_flight_at_report)

    def estimated_load(self) -> dialects.Load:
        """Return the reported load plus the requests sent since then."""
        running = max(
            self.reported_load.running,
            self.occupancy() - self.reported_load.waiting,
        )
        return dataclasses.replace(self.reported_load, running=running)

    def slowdown(self, now_ms: float) -> float:
        """Return the expected slowdown of the target's host."""
        usual = self._model.slowdown
        if self.reported_load is None:
            return usual
        age_ms = max(0.0, now_ms - self.reported_ms)
        weight = math.exp(-age_ms / _SLOWDOWN_DECAY_MS)
        return usual + weight * (self.reported_load.slowdown - usual)

    def is_paused(self, now_ms: float) -> bool:
        """Return whether no request is sent to the target for now."""
        return (
            self.is_evacuated
            or self.path.is_blocked
            or now_ms
            < max(self.paused_until_ms, self.announced.paused_until_ms)
        )

    def pause_cause(self, now_ms: float) -> Obstacle | None:
        """Return why no request is sent to the target for now, if so."""
        if not self.is_paused(now_ms):
            return None
        if self.is_evacuated:
            return Obstacle.EVACUATED
        if self.path.is_blocked:
            return Obstacle.PATH_LOST
        if now_ms < self._ejected_until_ms:
            return Obstacle.EJECTED
        return Obstacle.PAUSED

    @property
    def has_cold_limit(self) -> bool:
        """Whether its service limits the rate of requests to cold targets."""
        return self._model.cold_per_s > 0

    def is_cold(self, now_ms: float) -> bool:
        """Return whether its rate is limited because it is cold."""
        return self._model.cold_per_s > 0 and self.cold.is_cold(now_ms)

    def rate_limit_per_s(self, now_ms: float) -> float | None:
        """Return the requests a second for all entries, None for no limit."""
        announced_per_s = self.announced.rate_limit_per_s
        if not self.is_cold(now_ms):
            return announced_per_s
        if announced_per_s is None:
            return self._model.cold_per_s
        return min(announced_per_s, self._model.cold_per_s)

    def lacks_token(self, now_ms: float) -> bool:
        """Return whether the rate limit of the target allows no request now."""
        return self.rate_limit_per_s(
            now_ms
        ) is not None and not self.tokens.has_token(now_ms)

    def max_rate_per_ms(self, now_ms: float) -> float:
        """Return the rate that the target's limit allows, or infinity.

        While tokens arrive as soon as they are asked for, an announced limit
        does not hold requests up. That of a cold target is so low that it does.
        """
        limit_per_s = self.rate_limit_per_s(now_ms)
        if limit_per_s is None or not (
            self.is_cold(now_ms) or self.tokens.is_scarce(now_ms)
        ):
            return math.inf
        return limit_per_s / 1000

    def has_room(self) -> bool:
        """Return whether the target can usefully run one more request."""
        return self.occupancy() < self._model.useful_slots(self.slots)

    def _duration_factor(self, position: int, now_ms: float) -> float:
        """Return the expected duration as a multiple of the execution time."""
        slots = max(1, self.slots)
        factor = self.slowdown(now_ms) * self.slowness(now_ms)
        if position > uncrowded_slots(slots):
            factor *= self._model.crowded_factor
        if position > slots:
            factor *= 1 + (position - slots) / slots
        if now_ms < self._warmup_end_ms:
            factor *= _WARMUP_FACTOR
        return factor

    def slowness(self, now_ms: float) -> float:
        """Return the slowness, raised if the oldest exchange is overdue."""
        slowness = 1.0
        if abs(self._log_slowness) > _INSIGNIFICANT_LOG_SLOWNESS:
            age_ms = now_ms - self._slowness_updated_ms
            decayed = (
                math.exp(-age_ms / _SLOWNESS_DECAY_MS) * self._log_slowness
            )
            if abs(decayed) > _INSIGNIFICANT_LOG_SLOWNESS:
                slowness = math.exp(decayed)
        if self._exchanges:
            oldest = next(iter(self._exchanges))
            ratio = (now_ms - oldest.started_ms) / oldest.expected_ms
            if ratio > _OVERDUE_FACTOR:
                slowness = max(slowness, ratio)
        return slowness

    def cost_ms(self, work_ms: float, now_ms: float) -> float:
        """Return the expected time of a request, infinite without a slot."""
        position = self.occupancy() + 1
        if position > self._model.useful_slots(self.slots):
            return math.inf
        cost = (
            work_ms
            * self._duration_factor(position, now_ms)
            / (1.05 - max(self.failure_share, self._refusal_risk()))
        )
        if not self.sent and now_ms - self._listed_ms > _UNUSED_MS:
            cost *= _UNUSED_FACTOR
        if now_ms < self.announced.avoided_until_ms:
            cost *= _AVOIDED_FACTOR
        return cost

    def expected_ms(self, work_ms: float, now_ms: float) -> float:
        """Return the expected duration of a request that is sent now."""
        factor = self._duration_factor(self.occupancy() + 1, now_ms)
        return max(1.0, work_ms * factor)

    def _refusal_risk(self) -> float:
        """Return the share of failures that the refusals count for."""
        return _EJECT_FAILURE_SHARE * self.refusal_evidence / _REFUSAL_EVIDENCE

    # Exchanges of this entry.

    @property
    def exchanges(self) -> Collection[Exchange]:
        """Exchanges that have not ended, the oldest first."""
        return self._exchanges.keys()

    def start(self, work_key: str, now_ms: float) -> Exchange:
        """Start an exchange for a request that is about to be sent."""
        position = self.occupancy() + 1
        factor = self._duration_factor(position, now_ms)
        is_crowded = position > uncrowded_slots(self.slots)
        exchange = Exchange(
            self,
            now_ms,
            self.expected_ms(self._model.work_ms(work_key), now_ms),
            factor,
            is_crowded,
            self._model.crowded_factor if is_crowded else 1.0,
            work_key,
            self.slowdown(now_ms),
            self.slowness(now_ms),
            position,
        )
        self.local_in_flight += 1
        self.sent += 1
        self.tokens.take()
        self._exchanges[exchange] = None
        return exchange

    def _end(self, exchange: Exchange) -> bool:
        if exchange not in self._exchanges:
            return False
        del self._exchanges[exchange]
        self.local_in_flight -= 1
        self.shared_change_ms = -math.inf
        return True

    def record_success(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange that got a response."""
        if not self._end(exchange):
            return
        elapsed_ms = max(0.1, now_ms - exchange.started_ms)
        self._add_slowness(
            elapsed_ms / exchange.expected_ms * exchange.slowness, now_ms
        )
        self._model.add_work(exchange, elapsed_ms)
        self.refusal_evidence = max(
            0.0,
            self.refusal_evidence + self._model.add_answer(is_refusal=False),
        )
        self.failure_share *= 1 - _FAILURE_WEIGHT
        self._eject_duration_ms = _INITIAL_EJECT_MS

    def _add_slowness(self, ratio: float, now_ms: float) -> None:
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
        self._log_slowness += _SLOWNESS_WEIGHT * (
            math.log(ratio) - self._log_slowness
        )
        self._slowness_updated_ms = now_ms

    def record_failure(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange in which the target failed."""
        if self._end(exchange):
            self.add_failure(now_ms)

    def add_failure(self, now_ms: float) -> None:
        """Count a failure. Several in a row pause the target."""
        self.failure_share += _FAILURE_WEIGHT * (1 - self.failure_share)
        if self.failure_share > _EJECT_FAILURE_SHARE:
            self._eject(now_ms)

    def _eject(self, now_ms: float) -> None:
        """Pause the target, each time for longer."""
        self.pause(self._eject_duration_ms, now_ms)
        self._ejected_until_ms = now_ms + self._eject_duration_ms
        self._eject_duration_ms = min(
            _MAX_EJECT_MS, self._eject_duration_ms * 2
        )

    def record_connect_failure(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange for which no connection was established."""
        if self._end(exchange):
            self.failure_share = max(self.failure_share, _EJECT_FAILURE_SHARE)
            self.add_failure(now_ms)

    def forgive_failures(self, now_ms: float) -> None:
        """Drop the failures of the target, as its path has caused them."""
        self.failure_share = 0.0
        self.refusal_evidence = 0.0
        self.paused_until_ms = min(self.paused_until_ms, now_ms)
        self._ejected_until_ms = -math.inf
        self._eject_duration_ms = _INITIAL_EJECT_MS

    def record_refusal(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange whose request the target refused."""
        if not self._end(exchange):
            return
        has_announced = self.announced.paused_until_ms > now_ms
        if has_announced or self._is_full(now_ms):
            self.pause(_SHED_PAUSE_MS, now_ms)
            return
        # Free slots may be a late report, which one refusal corrects. Where all
        # targets of the service refuse at random, a pause only costs capacity.
        if self._model.refusal_share < _USUAL_REFUSAL_SHARE:
            self.pause(_SHED_PAUSE_MS, now_ms)
        self.refusal_evidence += self._model.add_answer(is_refusal=True)
        if self.refusal_evidence >= _REFUSAL_EVIDENCE:
            self._eject(now_ms)
            # Where the service refuses little, the next refusal ejects the
            # target again. Where it refuses much, the first refusals after a
            # change may have been misjudged, and several are needed.
            self.refusal_evidence = _REFUSAL_EVIDENCE - _MAX_REFUSAL_STEP

    def _is_full(self, now_ms: float) -> bool:
        """Return whether a target that has just refused had no free slot.

        A load that came with the refusal does not contain the request.
        """
        load = self.reported_load
        if load is not None and self.reported_ms >= now_ms:
            return load.running + load.waiting >= load.slots
        return self.occupancy() >= self.slots

    def record_abandonment(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange that was cancelled before there was a response.

        The time that it has taken is a lower bound of its duration.
        """
        if not self._end(exchange):
            return
        elapsed_ms = now_ms - exchange.started_ms
        ratio = elapsed_ms / exchange.expected_ms * exchange.slowness
        if ratio > max(1.0, math.exp(self._log_slowness)):
            self._add_slowness(ratio, now_ms)

    def record_cancellation(self, exchange: Exchange) -> None:
        """End an exchange that the entry cancelled."""
        self._end(exchange)

    def pause(self, duration_ms: float, now_ms: float) -> None:
        """Send no request to the target for the duration."""
        self.paused_until_ms = max(self.paused_until_ms, now_ms + duration_ms)
