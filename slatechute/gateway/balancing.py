"""Which target runs a request, who waits and who is refused.

No I/O and no clock: times come in as arguments, so that patterns of load can
be run against this module alone.
"""

from collections.abc import Callable, Iterable, Set
import dataclasses
import enum
import random

from slatechute import errors
from slatechute.gateway import dialects
from slatechute.gateway import loads
from slatechute.gateway import routing

__all__ = [
    "Balancer",
    "Decision",
    "QueuedRequest",
    "ServicePool",
    "DispatchRequest",
]

# Cost of a request that leaves the data centre, as time: two crossings, and
# what its bytes cost the operators against a gain in time.
_REMOTE_COST_MS = 12.0
# Entries that hear of a free target at the same moment would all take it;
# among targets that cost about the same each takes another one.
_COST_NOISE = 0.2
# Shortest and longest time after which a refused caller may come back; the
# longest is the share of its remaining time that callers accept.
_MIN_RETRY_MS = 40.0
_MAX_RETRY_SHARE = 0.3
# A target that is paused for less still counts for the expected wait.
_SHORT_PAUSE_MS = 60.0
# A request waits when the wait is expected to take at most this share of what
# is left of its objective beside its work: a queue that takes all of it makes
# every request late as soon as one estimate is too low, and a much shorter one
# refuses requests while targets are full for a moment only.
_WAIT_SHARE = 0.6
# A request that will be late goes to a target that needs at most this share of
# its remaining time. More would keep slots of hosts that are slow now from
# requests that are in time once they are fast again; the caller has time to
# come back, but less often the second time.
_LATE_SHARE = 0.4
_LATE_SHARE_RETURNED = 0.6


class Decision(enum.Enum):
    """What becomes of a request that no target can take at once."""

    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, eq=False)
class DispatchRequest:
    """A request that needs a target.

    Attributes:
        route: Its route.
        service: Service that runs it.
        arrived_ms: When it arrived at this entry.
        objective_ms: Time on the clock by which its answer has its full value;
            earlier than usual for a caller that comes back.
        deadline_ms: Time on the clock by which it needs an answer at all.
        is_caller_retry: Whether the caller was refused before.
        excluded: Targets that must not get it.
    """

    route: routing.Route
    service: str
    arrived_ms: float
    objective_ms: float
    deadline_ms: float
    is_caller_retry: bool = False
    excluded: Set[str] = frozenset()

    @property
    def work_key(self) -> str:
        """Kind of work: the same service may run several."""
        return f"{self.route.host}{self.route.prefix}"


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting ticket.

    Attributes:
        ticket: The ticket.
        granted: Called once with the exchange, or the reason of a refusal.
    """

    ticket: DispatchRequest
    granted: Callable[[loads.Exchange | errors.Reason], None]

    def order(self, now_ms: float, work_ms: float) -> tuple:
        """Return the sort key: in time first, then rank, then urgency."""
        ticket = self.ticket
        is_late = now_ms + work_ms > ticket.objective_ms
        due_ms = ticket.deadline_ms if is_late else ticket.objective_ms
        return is_late, ticket.route.priority, due_ms


class ServicePool:
    """Targets and waiting requests of one service.

    Attributes:
        model: How long its work takes.
        load_by_id: Its targets.
        waiting: Requests of this entry that wait.
        peer_waiting_by_id: Requests that wait at peers, by entry id.
    """

    def __init__(self):
        self.model = loads.ServiceModel()
        self.load_by_id: dict[str, loads.TargetLoad] = {}
        self.waiting: list[QueuedRequest] = []
        self.peer_waiting_by_id: dict[str, int] = {}

    def rate(self, work_ms: float, limit_ms: float, now_ms: float) -> float:
        """Return the requests a millisecond that are answered in time.

        Args:
            work_ms: Work of a request.
            limit_ms: Targets that take longer are left out.
            now_ms: Current time.
        """
        total = 0.0
        for load in self.load_by_id.values():
            if load.is_paused(now_ms + _SHORT_PAUSE_MS):
                continue
            slots = self.model.useful_slots(load.slots)
            time_ms = work_ms * load.slowdown(now_ms) * load.slowness(now_ms)
            if slots > loads.calm_slots(load.slots):
                time_ms *= self.model.crowded_factor
            if time_ms <= limit_ms:
                total += slots / max(1.0, time_ms)
        return total

    def wait_ms(
        self, work_ms: float, limit_ms: float, ahead: int, now_ms: float
    ) -> float:
        """Return how long a request waits behind others."""
        rate = self.rate(work_ms, limit_ms, now_ms)
        if rate <= 0:
            return float("inf")
        return (ahead + sum(self.peer_waiting_by_id.values()) + 1) / rate


class Balancer:
    """Targets of all services and the requests that wait for them.

    Args:
        data_centre: Data centre of this entry.
        on_load_change: Called with a target whose own requests have changed.
        generator: Source of chance; a new one when None.
    """

    def __init__(
        self,
        data_centre: str,
        on_load_change: Callable[[loads.TargetLoad], None] = lambda load: None,
        generator: random.Random | None = None,
    ):
        self.pool_by_service: dict[str, ServicePool] = {}
        self.load_by_id: dict[str, loads.TargetLoad] = {}
        self._data_centre = data_centre
        self._changed = on_load_change
        self._random = generator or random.Random()

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service."""
        pool = self.pool_by_service.get(service)
        if pool is None:
            pool = self.pool_by_service[service] = ServicePool()
        return pool

    # Targets.

    def add_target(
        self, target: dialects.PublishedTarget, now_ms: float
    ) -> None:
        """Add a target."""
        pool = self.pool(target.service)
        load = loads.TargetLoad(target, pool.model, now_ms)
        pool.load_by_id[target.id] = load
        self.load_by_id[target.id] = load

    def update_target(
        self, target: dialects.PublishedTarget, now_ms: float
    ) -> None:
        """Take in what has changed of a target."""
        load = self.load_by_id.get(target.id)
        if load is not None:
            load.update(target, now_ms)

    def remove_target(self, target_id: str) -> None:
        """Send nothing further to a target."""
        load = self.load_by_id.pop(target_id, None)
        if load is not None:
            self.pool(load.target.service).load_by_id.pop(target_id, None)

    def forget_peer(self, entry_id: str) -> None:
        """Forget the requests of a peer that is gone."""
        for load in self.load_by_id.values():
            load.set_peer_in_flight(entry_id, 0)
        for pool in self.pool_by_service.values():
            pool.peer_waiting_by_id.pop(entry_id, None)

    # Choice.

    def _usable(
        self, pool: ServicePool, ticket: DispatchRequest, now_ms: float
    ) -> Iterable[loads.TargetLoad]:
        """Return the targets that a request may go to.

        Large answers stay in their data centre as long as it has a target.
        """
        if not ticket.route.bulk:
            return pool.load_by_id.values()
        near = [
            load
            for load in pool.load_by_id.values()
            if load.target.data_centre == self._data_centre
            and not load.is_paused(now_ms + _SHORT_PAUSE_MS)
            and load.target.id not in ticket.excluded
        ]
        return near or pool.load_by_id.values()

    def _best(
        self, ticket: DispatchRequest, now_ms: float
    ) -> tuple[loads.TargetLoad | None, float]:
        """Return the target with the lowest cost, and that cost in ms."""
        pool = self.pool(ticket.service)
        work_ms = pool.model.work_ms(ticket.work_key)
        best, best_ms = None, float("inf")
        for load in self._usable(pool, ticket, now_ms):
            if load.is_paused(now_ms) or load.target.id in ticket.excluded:
                continue
            cost_ms = load.cost_ms(work_ms, now_ms)
            if load.target.data_centre != self._data_centre:
                cost_ms += _REMOTE_COST_MS
            cost_ms *= 1 + _COST_NOISE * self._random.random()
            if cost_ms < best_ms:
                best, best_ms = load, cost_ms
        return best, best_ms

    def start(
        self, ticket: DispatchRequest, load: loads.TargetLoad, now_ms: float
    ) -> loads.Exchange:
        """Count a request at a target."""
        exchange = load.start(ticket.work_key, now_ms)
        self._changed(load)
        return exchange

    def try_start(
        self, ticket: DispatchRequest, now_ms: float
    ) -> loads.Exchange | None:
        """Start a request at once if a target is worth it."""
        pool = self.pool(ticket.service)
        load, cost_ms = self._best(ticket, now_ms)
        if load is None:
            return None
        if cost_ms > ticket.objective_ms - now_ms:
            if self._may_be_in_time(pool, ticket, now_ms):
                # Only slow targets are free, and a fast one will soon be.
                return None
            share = (
                _LATE_SHARE_RETURNED if ticket.is_caller_retry else _LATE_SHARE
            )
            if cost_ms > share * (ticket.deadline_ms - now_ms):
                return None
        return self.start(ticket, load, now_ms)

    def exchange_ended(self, load: loads.TargetLoad, now_ms: float) -> None:
        """Give the place of an ended exchange to a waiting request."""
        self._changed(load)
        self.dispatch_waiting(load.target.service, now_ms)

    def start_hedge(
        self, ticket: DispatchRequest, now_ms: float, below_ms: float
    ) -> loads.Exchange | None:
        """Start a second exchange if a target would answer sooner."""
        pool = self.pool(ticket.service)
        if pool.waiting:
            return None
        load, cost_ms = self._best(ticket, now_ms)
        if load is None or cost_ms > below_ms:
            return None
        return self.start(ticket, load, now_ms)

    def _may_be_in_time(
        self, pool: ServicePool, ticket: DispatchRequest, now_ms: float
    ) -> bool:
        """Return whether a wait is likely to end within the objective."""
        left_ms = ticket.objective_ms - now_ms
        work_ms = pool.model.work_ms(ticket.work_key)
        if work_ms > left_ms:
            return False
        ahead = self._count_ahead(pool, ticket, now_ms)
        wait_ms = pool.wait_ms(work_ms, left_ms, ahead, now_ms)
        run_ms = work_ms * pool.model.crowded_factor
        return wait_ms <= (left_ms - run_ms) * _WAIT_SHARE

    def decide(self, ticket: DispatchRequest, now_ms: float) -> Decision:
        """Tell whether a request that cannot start now is worth its wait."""
        pool = self.pool(ticket.service)
        if pool.load_by_id.keys() - ticket.excluded and self._may_be_in_time(
            pool, ticket, now_ms
        ):
            return Decision.WAIT
        return Decision.REFUSE

    def _count_ahead(
        self, pool: ServicePool, ticket: DispatchRequest, now_ms: float
    ) -> int:
        """Return how many waiting requests go before one that is in time."""
        rank, due_ms = ticket.route.priority, ticket.objective_ms
        return sum(
            1
            for other in pool.waiting
            if other.ticket.objective_ms > now_ms
            and (other.ticket.route.priority, other.ticket.objective_ms)
            <= (rank, due_ms)
        )

    def describe(
        self, ticket: DispatchRequest, now_ms: float
    ) -> dict[str, object]:
        """Return what a refusal of a request rests on, for the log."""
        pool = self.pool(ticket.service)
        work_ms = pool.model.work_ms(ticket.work_key)
        _, best_ms = self._best(ticket, now_ms)
        usable = [
            load
            for load in pool.load_by_id.values()
            if not load.is_paused(now_ms)
        ]
        return {
            "targets": len(pool.load_by_id),
            "unpaused": len(usable),
            "with_room": sum(load.has_room() for load in usable),
            "slots": sum(load.slots for load in usable),
            "occupied": sum(load.occupancy() for load in usable),
            "work_ms": round(work_ms, 1),
            "best_ms": round(min(best_ms, 1e6), 1),
            "usual_slowdown": round(pool.model.slowdown, 2),
            "crowded_factor": round(pool.model.crowded_factor, 2),
            "waiting": len(pool.waiting),
            "waiting_at_peers": sum(pool.peer_waiting_by_id.values()),
        }

    def retry_after_ms(self, ticket: DispatchRequest, now_ms: float) -> float:
        """Return when a refused caller may come back."""
        pool = self.pool(ticket.service)
        work_ms = pool.model.work_ms(ticket.work_key)
        left_ms = max(0.0, ticket.deadline_ms - now_ms)
        wait_ms = pool.wait_ms(work_ms, left_ms, len(pool.waiting), now_ms)
        longest_ms = max(_MIN_RETRY_MS, left_ms * _MAX_RETRY_SHARE)
        return min(longest_ms, max(_MIN_RETRY_MS, wait_ms))

    # Waiting.

    def enqueue(self, pending: QueuedRequest) -> None:
        """Queue a request."""
        self.pool(pending.ticket.service).waiting.append(pending)

    def withdraw(self, pending: QueuedRequest) -> None:
        """Take a request out of the queue."""
        waiting = self.pool(pending.ticket.service).waiting
        if pending in waiting:
            waiting.remove(pending)

    def dispatch_waiting(self, service: str, now_ms: float) -> None:
        """Give free targets to waiting requests."""
        pool = self.pool(service)
        if not pool.waiting or not self._has_room(pool, now_ms):
            return
        work_ms_by_key = {
            item.ticket.work_key: pool.model.work_ms(item.ticket.work_key)
            for item in pool.waiting
        }
        queue = sorted(
            pool.waiting,
            key=lambda item: item.order(
                now_ms, work_ms_by_key[item.ticket.work_key]
            ),
        )
        for pending in queue:
            exchange = self._take_waiting(pending.ticket, now_ms)
            if exchange is not None:
                pool.waiting.remove(pending)
                pending.granted(exchange)
                if not self._has_room(pool, now_ms):
                    return

    def _has_room(self, pool: ServicePool, now_ms: float) -> bool:
        return any(
            load.has_room() and not load.is_paused(now_ms)
            for load in pool.load_by_id.values()
        )

    def _take_waiting(
        self, ticket: DispatchRequest, now_ms: float
    ) -> loads.Exchange | None:
        load, cost_ms = self._best(ticket, now_ms)
        if load is None:
            return None
        left_ms = ticket.objective_ms - now_ms
        work_ms = self.pool(ticket.service).model.work_ms(ticket.work_key)
        # As long as a fast target would still do, slow ones are left to the
        # requests that are late anyway.
        if work_ms < left_ms < cost_ms:
            return None
        return self.start(ticket, load, now_ms)

    def _is_hopeless(self, ticket: DispatchRequest, now_ms: float) -> bool:
        pool = self.pool(ticket.service)
        if not pool.load_by_id.keys() - ticket.excluded:
            return True
        work_ms = pool.model.work_ms(ticket.work_key)
        return now_ms + work_ms > ticket.deadline_ms

    def _refuse_hopeless(self, pool: ServicePool, now_ms: float) -> None:
        for pending in list(pool.waiting):
            if self._is_hopeless(pending.ticket, now_ms):
                pool.waiting.remove(pending)
                pending.granted(errors.Reason.OVERLOAD)

    def tick(self, now_ms: float) -> None:
        """Look at all queues again: time has passed."""
        for service, pool in self.pool_by_service.items():
            if pool.waiting:
                self._refuse_hopeless(pool, now_ms)
                self.dispatch_waiting(service, now_ms)
