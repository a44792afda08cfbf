"""Which target runs a request, who waits and who is refused.

No I/O and no clock: times come in as arguments, so that patterns of load can
be run against this module alone.
"""

from collections.abc import Callable, Set
import dataclasses
import enum

from slatechute import errors
from slatechute.gateway import dialects
from slatechute.gateway import loads
from slatechute.gateway import routing

__all__ = ["Balancer", "Decision", "Pending", "ServicePool", "Ticket"]

# Cost of a request that leaves the data centre, as time: two crossings, and
# what its bytes cost the operators against a gain in time.
_REMOTE_COST_MS = 12.0
_REMOTE_BULK_COST_MS = 120.0
# A request that cannot be answered is told so before this share of its
# objective has passed.
_DECIDE_SHARE = 0.125
# Shortest and longest time after which a refused caller may come back; the
# longest is the share of its remaining time that callers accept.
_MIN_RETRY_MS = 40.0
_MAX_RETRY_SHARE = 0.3
# A target that is paused for less still counts for the expected wait.
_SHORT_PAUSE_MS = 60.0
# A late request keeps a reserve for estimates that are too low.
_LATE_RESERVE = 0.7


class Decision(enum.Enum):
    """What becomes of a request that no target can take at once."""

    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that needs a target.

    Attributes:
        route: Its route.
        service: Service that runs it.
        arrived_ms: When it arrived at this entry.
        objective_ms: Time on the clock by which its answer has its full value;
            earlier than usual for a caller that comes back.
        deadline_ms: Time on the clock by which it needs an answer at all.
        returned: Whether the caller was refused before.
        excluded: Targets that must not get it.
    """

    route: routing.Route
    service: str
    arrived_ms: float
    objective_ms: float
    deadline_ms: float
    returned: bool = False
    excluded: Set[str] = frozenset()

    @property
    def work_key(self) -> str:
        """Kind of work: the same service may run several."""
        return f"{self.route.host}{self.route.prefix}"


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A waiting ticket.

    Attributes:
        ticket: The ticket.
        granted: Called once with the exchange, or the reason of a refusal.
    """

    ticket: Ticket
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
        name: Name of the service.
        model: How long its work takes.
        load_by_id: Its targets.
        waiting: Requests of this entry that wait.
        peers_waiting: Requests that wait at peers, by entry id.
    """

    def __init__(self, name: str):
        self.name = name
        self.model = loads.ServiceModel()
        self.load_by_id: dict[str, loads.TargetLoad] = {}
        self.waiting: list[Pending] = []
        self.peers_waiting: dict[str, int] = {}

    def throughput(self, work_ms: float, now_ms: float) -> float:
        """Return the requests a millisecond that the targets can answer."""
        total = 0.0
        for load in self.load_by_id.values():
            if not load.is_paused(now_ms + _SHORT_PAUSE_MS):
                slots = self.model.useful_slots(load.slots)
                total += slots / (load.slowdown(now_ms) * load.slowness)
        return total / max(1.0, work_ms * self.model.crowded_factor)

    def wait_ms(self, work_ms: float, ahead: int, now_ms: float) -> float:
        """Return how long a request waits behind others."""
        rate = self.throughput(work_ms, now_ms)
        if rate <= 0:
            return float("inf")
        return (ahead + sum(self.peers_waiting.values()) + 1) / rate


class Balancer:
    """Targets of all services and the requests that wait for them.

    Args:
        data_centre: Data centre of this entry.
        changed: Called with a target whose own requests have changed.
    """

    def __init__(
        self,
        data_centre: str,
        changed: Callable[[loads.TargetLoad], None] = lambda load: None,
    ):
        self.pool_by_service: dict[str, ServicePool] = {}
        self.load_by_id: dict[str, loads.TargetLoad] = {}
        self._data_centre = data_centre
        self._changed = changed

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service."""
        pool = self.pool_by_service.get(service)
        if pool is None:
            pool = self.pool_by_service[service] = ServicePool(service)
        return pool

    # Targets.

    def add(self, target: dialects.PublishedTarget, now_ms: float) -> None:
        """Add a target."""
        pool = self.pool(target.service)
        load = loads.TargetLoad(target, pool.model, now_ms)
        pool.load_by_id[target.id] = load
        self.load_by_id[target.id] = load

    def update(self, target: dialects.PublishedTarget, now_ms: float) -> None:
        """Take in what has changed of a target."""
        load = self.load_by_id.get(target.id)
        if load is not None:
            load.update(target, now_ms)

    def remove(self, target_id: str) -> None:
        """Send nothing further to a target."""
        load = self.load_by_id.pop(target_id, None)
        if load is not None:
            self.pool(load.target.service).load_by_id.pop(target_id, None)

    def forget_peer(self, entry_id: str) -> None:
        """Forget the requests of a peer that is gone."""
        for load in self.load_by_id.values():
            load.set_peer(entry_id, 0)
        for pool in self.pool_by_service.values():
            pool.peers_waiting.pop(entry_id, None)

    # Choice.

    def _best(
        self, ticket: Ticket, now_ms: float, *, with_room: bool = True
    ) -> tuple[loads.TargetLoad | None, float]:
        """Return the target with the lowest cost, and that cost in ms."""
        pool = self.pool(ticket.service)
        work_ms = pool.model.work_ms(ticket.work_key)
        remote_ms = _REMOTE_BULK_COST_MS if ticket.route.bulk else 0.0
        remote_ms += _REMOTE_COST_MS
        best, best_ms = None, float("inf")
        for load in pool.load_by_id.values():
            if load.is_paused(now_ms) or load.target.id in ticket.excluded:
                continue
            if with_room and not load.has_room():
                continue
            cost_ms = load.cost_ms(work_ms, now_ms)
            if load.target.data_centre != self._data_centre:
                cost_ms += remote_ms
            if cost_ms < best_ms:
                best, best_ms = load, cost_ms
        return best, best_ms

    def start(
        self, ticket: Ticket, load: loads.TargetLoad, now_ms: float
    ) -> loads.Exchange:
        """Count a request at a target."""
        exchange = load.start(ticket.work_key, now_ms)
        self._changed(load)
        return exchange

    def take(self, ticket: Ticket, now_ms: float) -> loads.Exchange | None:
        """Start a request at once if a target is worth it."""
        pool = self.pool(ticket.service)
        load, cost_ms = self._best(ticket, now_ms)
        if load is None:
            return None
        left_ms = ticket.objective_ms - now_ms
        if cost_ms > left_ms:
            # A slow target is free. Waiting for a fast one may still do.
            work_ms = pool.model.work_ms(ticket.work_key)
            usual_ms = work_ms * pool.model.slowdown
            wait_ms = pool.wait_ms(work_ms, len(pool.waiting), now_ms)
            if wait_ms + usual_ms < left_ms:
                return None
        return self.start(ticket, load, now_ms)

    def exchange_ended(self, load: loads.TargetLoad, now_ms: float) -> None:
        """Give the place of an ended exchange to a waiting request."""
        self._changed(load)
        self.pump(load.target.service, now_ms)

    def spare(
        self, ticket: Ticket, now_ms: float, below_ms: float
    ) -> loads.Exchange | None:
        """Start a second exchange if a target would answer sooner."""
        pool = self.pool(ticket.service)
        if pool.waiting:
            return None
        load, cost_ms = self._best(ticket, now_ms)
        if load is None or cost_ms > below_ms:
            return None
        return self.start(ticket, load, now_ms)

    def decide(self, ticket: Ticket, now_ms: float) -> Decision:
        """Tell whether a request that cannot start now is worth its wait."""
        pool = self.pool(ticket.service)
        if not pool.load_by_id.keys() - ticket.excluded:
            return Decision.REFUSE
        work_ms = pool.model.work_ms(ticket.work_key)
        ahead = self._count_ahead(pool, ticket, now_ms)
        wait_ms = pool.wait_ms(work_ms, ahead, now_ms)
        usual_ms = work_ms * pool.model.slowdown
        if now_ms + wait_ms + usual_ms <= ticket.objective_ms:
            return Decision.WAIT
        left_ms = ticket.deadline_ms - now_ms
        if ticket.returned and wait_ms + usual_ms < left_ms * _LATE_RESERVE:
            return Decision.WAIT
        return Decision.REFUSE

    def _count_ahead(
        self, pool: ServicePool, ticket: Ticket, now_ms: float
    ) -> int:
        own = Pending(ticket, _ignore)
        work_ms = pool.model.work_ms(ticket.work_key)
        order = own.order(now_ms, work_ms)
        return sum(
            1 for other in pool.waiting if other.order(now_ms, work_ms) <= order
        )

    def retry_after_ms(self, ticket: Ticket, now_ms: float) -> float:
        """Return when a refused caller may come back."""
        pool = self.pool(ticket.service)
        work_ms = pool.model.work_ms(ticket.work_key)
        wait_ms = pool.wait_ms(work_ms, len(pool.waiting), now_ms)
        left_ms = max(0.0, ticket.deadline_ms - now_ms)
        longest_ms = max(_MIN_RETRY_MS, left_ms * _MAX_RETRY_SHARE)
        return min(longest_ms, max(_MIN_RETRY_MS, wait_ms))

    # Waiting.

    def wait(self, pending: Pending) -> None:
        """Queue a request."""
        self.pool(pending.ticket.service).waiting.append(pending)

    def withdraw(self, pending: Pending) -> None:
        """Take a request out of the queue."""
        waiting = self.pool(pending.ticket.service).waiting
        if pending in waiting:
            waiting.remove(pending)

    def pump(self, service: str, now_ms: float) -> None:
        """Give free targets to waiting requests and refuse hopeless ones."""
        pool = self.pool(service)
        if not pool.waiting:
            return
        usual_ms = pool.model.slowdown
        queue = sorted(
            pool.waiting,
            key=lambda item: item.order(
                now_ms,
                pool.model.work_ms(item.ticket.work_key) * usual_ms,
            ),
        )
        for pending in queue:
            exchange = self._take_waiting(pending.ticket, now_ms)
            if exchange is not None:
                pool.waiting.remove(pending)
                pending.granted(exchange)
            elif self._is_hopeless(pending.ticket, now_ms):
                pool.waiting.remove(pending)
                pending.granted(errors.Reason.OVERLOAD)

    def _take_waiting(
        self, ticket: Ticket, now_ms: float
    ) -> loads.Exchange | None:
        load, cost_ms = self._best(ticket, now_ms)
        if load is None:
            return None
        left_ms = ticket.objective_ms - now_ms
        decided_ms = ticket.arrived_ms + _DECIDE_SHARE * (
            ticket.objective_ms - ticket.arrived_ms
        )
        if cost_ms > left_ms > 0 and now_ms < decided_ms:
            return None
        return self.start(ticket, load, now_ms)

    def _is_hopeless(self, ticket: Ticket, now_ms: float) -> bool:
        pool = self.pool(ticket.service)
        if not pool.load_by_id.keys() - ticket.excluded:
            return True
        work_ms = pool.model.work_ms(ticket.work_key)
        if now_ms + work_ms > ticket.deadline_ms:
            return True
        if ticket.returned or now_ms + work_ms <= ticket.objective_ms:
            return False
        # It was to be answered in time and cannot be any more. A caller that
        # hears so early can still be served by another try.
        share = (now_ms - ticket.arrived_ms) / max(
            1.0, ticket.objective_ms - ticket.arrived_ms
        )
        return share < _DECIDE_SHARE

    def tick(self, now_ms: float) -> None:
        """Look at all queues again: time has passed."""
        for service, pool in self.pool_by_service.items():
            if pool.waiting:
                self.pump(service, now_ms)


def _ignore(result: loads.Exchange | errors.Reason) -> None:
    del result
