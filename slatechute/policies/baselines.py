"""Policies without coordination between entries; baselines for the benches."""

from collections.abc import Callable
import itertools
import random

from slatechute import errors
from slatechute import latencies
from slatechute import leases
from slatechute.configuration import instances
from slatechute.util import clock as clocks

__all__ = ["LeastInFlight", "RandomChoice", "TwoChoices"]


class RandomChoice:
    """Sends each request to a target chosen at random, without waiting."""

    def __init__(
        self,
        clock: clocks.Clock,
        targets_of: Callable[[str], list[instances.Target]],
        seed: int | None = None,
    ):
        self._clock = clock
        self._targets_of = targets_of
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._times_by_service: dict[str, latencies.ServiceTimes] = {}
        self.in_flight_by_target: dict[str, int] = {}

    def choose(self, candidates: list[instances.Target]) -> instances.Target:
        """Return one of the candidates."""
        return self._random.choice(candidates)

    async def acquire(
        self,
        service: str,
        deadline_ms: float,
        *,
        bulk: bool = False,
        excluded: frozenset[str] = frozenset(),
        spare_only: bool = False,
    ) -> leases.Lease:
        """Return a lease at once; an overloaded target queues the request.

        Raises:
            errors.RequestError: There is no target.
        """
        listed = self._targets_of(service)
        candidates = [t for t in listed if t.id not in excluded] or listed
        if not candidates:
            raise errors.RequestError(
                errors.Reason.NO_TARGETS, errors.Step.WAITING
            )
        target = self.choose(candidates)
        count = self.in_flight_by_target.get(target.id, 0)
        self.in_flight_by_target[target.id] = count + 1
        now_ms = self._clock.now_ms()
        number = next(self._numbers)
        return leases.Lease(number, target, "", "", bulk, now_ms, deadline_ms)

    def has_target(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether a service has a target that is not excluded."""
        return any(t.id not in excluded for t in self._targets_of(service))

    def release(
        self, lease: leases.Lease, result: leases.Result, service_ms: float
    ) -> None:
        """End a lease; `service_ms` is the duration of the exchange."""
        self.in_flight_by_target[lease.target.id] -= 1
        if result is leases.Result.OK and not lease.bulk:
            self._times(lease.target.service).add(service_ms)

    def has_spare_slots(self, service: str) -> bool:
        """Return True, because the load of other entries is unknown."""
        return True

    def _times(self, service: str) -> latencies.ServiceTimes:
        return self._times_by_service.setdefault(
            service, latencies.ServiceTimes()
        )

    def median_ms(self, service: str) -> float:
        """Return the median service time of a service."""
        return self._times(service).median_ms

    def p95_ms(self, service: str) -> float:
        """Return the 95th percentile of the service time of a service."""
        return self._times(service).p95_ms


class LeastInFlight(RandomChoice):
    """Chooses the target with the fewest in-flight local exchanges."""

    def choose(self, candidates: list[instances.Target]) -> instances.Target:
        """Return a least loaded candidate, at random among equal ones."""
        count = self.in_flight_by_target.get
        fewest = min(count(target.id, 0) for target in candidates)
        least = [t for t in candidates if count(t.id, 0) == fewest]
        return self._random.choice(least)


class TwoChoices(RandomChoice):
    """Chooses the less loaded of two random targets.

    The load of a target is its reported load plus its in-flight local
    exchanges.

    Attributes:
        load_by_target: Last reported load, updated by a poller.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        targets_of: Callable[[str], list[instances.Target]],
        seed: int | None = None,
    ):
        super().__init__(clock, targets_of, seed)
        self.load_by_target: dict[str, float] = {}

    def choose(self, candidates: list[instances.Target]) -> instances.Target:
        """Return the less loaded of two random candidates."""
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=self._load)

    def _load(self, target: instances.Target) -> float:
        reported = self.load_by_target.get(target.id, 0.0)
        return reported + self.in_flight_by_target.get(target.id, 0)
