"""Load and speed of each target, from all evidence that an entry has."""

import dataclasses
import math

from slatechute.gateway import dialects

__all__ = ["Exchange", "ServiceModel", "TargetLoad", "calm_slots"]

# Reported slowdowns of a host last a few hundred milliseconds; after this time
# a report says little more than the average of the service.
_SLOWDOWN_MEMORY_MS = 300.0
# Share of the slots above which a target counts as crowded: the targets of both
# deployments slow down when they are nearly full.
_CROWDED_SHARE = 0.8
_FIRST_CROWDED_FACTOR = 1.6
_MAX_CROWDED_FACTOR = 3.0
# Samples that this counts for, about those of the first second.
_FIRST_CROWDED_COUNT = 20
# Weight of a new sample in the averages of work and slowdown.
_AVERAGE_WEIGHT = 0.05
# Weight of a new sample in the factor of a crowded target, which is a property
# of the service.
_CROWDED_WEIGHT = 0.01
# Weight of a new sample in the slowness of one target: a target that turns slow
# must show after a few answers.
_SLOWNESS_WEIGHT = 0.25
# Within a factor of two the slowness of a target says nothing: the times of
# single requests differ as much, and on both deployments it did not go with the
# time of the next request.
_PLAIN_LOG_SLOWNESS = math.log(2.0)
# A target without answers is taken for a usual one again after about this time;
# otherwise one that was slow once would never get another request.
_SLOWNESS_MEMORY_MS = 3_000.0
_MIN_SLOWNESS = 0.4
_MAX_SLOWNESS = 10.0
# A target that has just started takes this multiple of the usual time.
_COLD_FACTOR = 2.0
# Until the first answer; near the work of most services of both deployments.
_FIRST_WORK_MS = 60.0
# Answers that are further from the average than this factor say more of their
# host than of the work.
_MAX_RATIO = 4.0
# An exchange this many times longer than expected makes its target suspect.
_OVERDUE_FACTOR = 1.5
_FAILURE_WEIGHT = 0.3
# Above this share of failures a target gets only trials.
_EJECT_FAILURES = 0.55
_FIRST_EJECT_MS = 300.0
_MAX_EJECT_MS = 4_000.0
# A refusal shows a full queue, which empties within one request.
_SHED_PAUSE_MS = 25.0
# A new target that got no request after this time is preferred once, so that
# it warms up before it is needed.
_UNUSED_MS = 1_000.0
_UNUSED_FACTOR = 0.4


def calm_slots(slots: int) -> int:
    """Return how many requests a target runs before it counts as crowded."""
    return max(1, math.floor(slots * _CROWDED_SHARE))


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request at a target.

    Attributes:
        load: The target.
        started_ms: When it was sent.
        expected_ms: How long it was expected to take.
        factor: The part of that which is not the work itself.
        is_crowded: Whether the target was nearly full.
        crowding: The part of the factor that is due to that.
        work_key: Kind of work, by which its time is averaged.
        slowdown: Expected slowdown of the host.
        slowness: How slow the target itself is found to be.
        place: Its place among the requests at the target, from 1.
    """

    load: "TargetLoad"
    started_ms: float
    expected_ms: float
    factor: float
    is_crowded: bool
    crowding: float
    work_key: str
    slowdown: float
    slowness: float
    place: int


class _LogMean:
    """Running average of logarithms, which one long answer moves little.

    Args:
        first: First value.
        count: Samples that the first value counts for.
    """

    def __init__(self, first: float, *, count: int = 0):
        self._log = math.log(first)
        self._count = count

    def add(self, value: float, weight: float) -> None:
        """Take in a sample; the first ones weigh as in a plain average."""
        self._count += 1
        weight = max(weight, 1 / self._count)
        self._log += weight * (math.log(value) - self._log)

    @property
    def value(self) -> float:
        """Average of the samples; the first value when there are none."""
        return math.exp(self._log)


class ServiceModel:
    """How long the work of a service takes.

    Attributes:
        crowded_factor: Multiple of the usual time at a crowded target.
        slowdown: Average reported slowdown over the targets.
    """

    def __init__(self):
        self.crowded_factor = _FIRST_CROWDED_FACTOR
        self.slowdown = 1.0
        self._work_by_key: dict[str, _LogMean] = {}
        self._useful_by_slots: dict[int, int] = {}
        # Work comes from targets that are not crowded only: from both it takes
        # up the effect of crowding while nearly all targets are crowded.
        self._crowded_ratio = _LogMean(
            _FIRST_CROWDED_FACTOR, count=_FIRST_CROWDED_COUNT
        )

    def work_ms(self, key: str) -> float:
        """Return the time of one request on a host of usual speed."""
        work = self._work_by_key.get(key)
        return work.value if work else _FIRST_WORK_MS

    def add_work(self, exchange: Exchange, elapsed_ms: float) -> None:
        """Take in the time of a successful exchange."""
        work_ms = elapsed_ms / exchange.factor
        work = self._work_by_key.get(exchange.work_key)
        if work is None:
            work = self._work_by_key[exchange.work_key] = _LogMean(work_ms)
            work.add(work_ms, _AVERAGE_WEIGHT)
            return
        ratio = min(_MAX_RATIO, max(1 / _MAX_RATIO, work_ms / work.value))
        if not exchange.is_crowded:
            work.add(work.value * ratio, _AVERAGE_WEIGHT)
            return
        self._crowded_ratio.add(ratio * exchange.crowding, _CROWDED_WEIGHT)
        factor = self._crowded_ratio.value
        self.crowded_factor = min(_MAX_CROWDED_FACTOR, max(1.0, factor))
        self._useful_by_slots.clear()
        if factor != self.crowded_factor:
            # Crowding does not explain the time, so the work has changed.
            work.add(work.value * ratio, _AVERAGE_WEIGHT)

    def add_slowdown(self, slowdown: float) -> None:
        """Take in a reported slowdown."""
        self.slowdown += _AVERAGE_WEIGHT * (slowdown - self.slowdown)

    def useful_slots(self, slots: int) -> int:
        """Return how many requests at a time a target answers most of.

        Beyond the crowded share all of them take longer; with few slots the
        further ones still add to the throughput, with many they do not.
        """
        useful = self._useful_by_slots.get(slots)
        if useful is None:
            calm = calm_slots(slots)
            useful = slots if slots / self.crowded_factor > calm else calm
            self._useful_by_slots[slots] = useful
        return useful


class TargetLoad:
    """What an entry knows of one target.

    Attributes:
        target: The target as listed.
        local_in_flight: Requests of this entry at the target.
        peer_in_flight_by_id: Requests of peers at the target, by entry id.
        reported_load: Last reported load, None when there was none.
        failures: Average share of failed exchanges.
        sent: Requests that any entry is known to have sent.
    """

    def __init__(
        self,
        target: dialects.PublishedTarget,
        model: ServiceModel,
        now_ms: float,
    ):
        self.target = target
        self.local_in_flight = 0
        self.peer_in_flight_by_id: dict[str, int] = {}
        self.reported_load: dialects.Load | None = None
        self.reported_ms = -math.inf
        self.failures = 0.0
        self.sent = 0
        self._log_slowness = 0.0
        self._slowness_ms = now_ms
        self.paused_until_ms = 0.0
        self._model = model
        self._peers = 0
        self._known_at_report = 0
        self._listed_ms = now_ms
        self._warm_ms = now_ms + target.warmup_ms
        self._eject_ms = _FIRST_EJECT_MS
        self._exchanges: dict[Exchange, None] = {}

    def update(self, target: dialects.PublishedTarget, now_ms: float) -> None:
        """Take in a changed entry of the same process."""
        self.target = target
        self._warm_ms = max(self._warm_ms, now_ms + target.warmup_ms)

    @property
    def slots(self) -> int:
        """Requests that the target runs at a time."""
        return (
            self.reported_load.slots
            if self.reported_load
            else self.target.slots
        )

    def set_peer_in_flight(self, entry_id: str, count: int) -> None:
        """Take in how many requests a peer has at the target."""
        self._peers += count - self.peer_in_flight_by_id.get(entry_id, 0)
        if count:
            if count > self.peer_in_flight_by_id.get(entry_id, 0):
                self.sent += 1
            self.peer_in_flight_by_id[entry_id] = count
        else:
            self.peer_in_flight_by_id.pop(entry_id, None)

    def apply_report(self, load: dialects.Load, reported_ms: float) -> bool:
        """Take in a reported load; return whether it is news."""
        if reported_ms <= self.reported_ms:
            return False
        self.reported_load = load
        self.reported_ms = reported_ms
        self._known_at_report = self.local_in_flight + self._peers
        self._model.add_slowdown(load.slowdown)
        return True

    def occupancy(self) -> int:
        """Return how many requests are at the target now."""
        known = self.local_in_flight + self._peers
        if self.reported_load is None:
            return known
        told = self.reported_load.running + self.reported_load.waiting
        return max(known, told + known - self._known_at_report)

    def estimated_load(self) -> dialects.Load:
        """Return the reported load and what was sent since, as one load."""
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
        weight = math.exp(-age_ms / _SLOWDOWN_MEMORY_MS)
        return usual + weight * (self.reported_load.slowdown - usual)

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the target gets no request for the moment."""
        return now_ms < self.paused_until_ms

    def has_room(self) -> bool:
        """Return whether a further request would not slow the others down."""
        return self.occupancy() < self._model.useful_slots(self.slots)

    def _factor(self, place: int, now_ms: float) -> float:
        """Return the expected time at a place as a multiple of the work."""
        slots = max(1, self.slots)
        factor = self.slowdown(now_ms) * self.slowness(now_ms)
        if place > calm_slots(slots):
            factor *= self._model.crowded_factor
        if place > slots:
            factor *= 1 + (place - slots) / slots
        if now_ms < self._warm_ms:
            factor *= _COLD_FACTOR
        return factor

    def slowness(self, now_ms: float) -> float:
        """Return the slowness, also from exchanges that have not ended."""
        slowness = 1.0
        if abs(self._log_slowness) > _PLAIN_LOG_SLOWNESS:
            age_ms = now_ms - self._slowness_ms
            faded = math.exp(-age_ms / _SLOWNESS_MEMORY_MS) * self._log_slowness
            if abs(faded) > _PLAIN_LOG_SLOWNESS:
                slowness = math.exp(faded)
        if self._exchanges:
            oldest = next(iter(self._exchanges))
            ratio = (now_ms - oldest.started_ms) / oldest.expected_ms
            if ratio > _OVERDUE_FACTOR:
                slowness = max(slowness, ratio)
        return slowness

    def cost_ms(self, work_ms: float, now_ms: float) -> float:
        """Return the expected time of a request; infinite without room."""
        place = self.occupancy() + 1
        if place > self._model.useful_slots(self.slots):
            return math.inf
        cost = work_ms * self._factor(place, now_ms) / (1.05 - self.failures)
        if not self.sent and now_ms - self._listed_ms > _UNUSED_MS:
            cost *= _UNUSED_FACTOR
        return cost

    # Exchanges of this entry.

    def start(self, work_key: str, now_ms: float) -> Exchange:
        """Count a request that is about to be sent."""
        place = self.occupancy() + 1
        factor = self._factor(place, now_ms)
        is_crowded = place > calm_slots(self.slots)
        exchange = Exchange(
            self,
            now_ms,
            max(1.0, self._model.work_ms(work_key) * factor),
            factor,
            is_crowded,
            self._model.crowded_factor if is_crowded else 1.0,
            work_key,
            self.slowdown(now_ms),
            self.slowness(now_ms),
            place,
        )
        self.local_in_flight += 1
        self.sent += 1
        self._exchanges[exchange] = None
        return exchange

    def _end(self, exchange: Exchange) -> bool:
        if exchange not in self._exchanges:
            return False
        del self._exchanges[exchange]
        self.local_in_flight -= 1
        return True

    def record_success(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange that gave an answer."""
        if not self._end(exchange):
            return
        elapsed_ms = max(0.1, now_ms - exchange.started_ms)
        ratio = elapsed_ms / exchange.expected_ms * exchange.slowness
        ratio = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, ratio))
        self._log_slowness += _SLOWNESS_WEIGHT * (
            math.log(ratio) - self._log_slowness
        )
        self._slowness_ms = now_ms
        self._model.add_work(exchange, elapsed_ms)
        self.failures *= 1 - _FAILURE_WEIGHT
        self._eject_ms = _FIRST_EJECT_MS

    def record_failure(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange that the target has failed."""
        if self._end(exchange):
            self.note_failure(now_ms)

    def note_failure(self, now_ms: float) -> None:
        """Take in a failure; several in a row pause the target."""
        self.failures += _FAILURE_WEIGHT * (1 - self.failures)
        if self.failures > _EJECT_FAILURES:
            self.pause(self._eject_ms, now_ms)
            self._eject_ms = min(_MAX_EJECT_MS, self._eject_ms * 2)

    def record_connect_failure(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange for which no connection could be made."""
        if self._end(exchange):
            self.failures = max(self.failures, _EJECT_FAILURES)
            self.note_failure(now_ms)

    def record_refusal(self, exchange: Exchange, now_ms: float) -> None:
        """End an exchange that the target refused to run."""
        if not self._end(exchange):
            return
        if self.occupancy() < self.slots:
            # It refuses although it has room.
            self.note_failure(now_ms)
        self.pause(_SHED_PAUSE_MS, now_ms)

    def record_cancellation(self, exchange: Exchange) -> None:
        """End an exchange that the entry gave up."""
        self._end(exchange)

    def pause(self, duration_ms: float, now_ms: float) -> None:
        """Send nothing for a while."""
        self.paused_until_ms = max(self.paused_until_ms, now_ms + duration_ms)
