"""Target selection, queueing and admission control.

The module does no I/O and reads no clock. Times are passed as arguments, so
that load patterns can be simulated against it without a network.
"""

from collections.abc import Callable, Iterable, Sequence, Set
import copy
import dataclasses
import enum
import math
import random

from slatechute import errors
from slatechute.gateway import dialects
from slatechute.gateway import hedging
from slatechute.gateway import loads
from slatechute.gateway import routing
from slatechute.gateway import slot_turns

__all__ = [
    "Balancer",
    "Candidate",
    "Decision",
    "Delay",
    "DispatchRequest",
    "Explanation",
    "QueuedRequest",
    "ServicePool",
]

# Cost of sending a request to a remote data centre, expressed as time: the
# network round trip, the price of traffic, and the risk that its entries have
# just used the same slot, as load reports from there are up to 80 ms old. For
# long requests it is a share of their execution time, as the random spread of
# costs would otherwise send two thirds of them to remote data centres.
_REMOTE_COST_MS = 40.0
_REMOTE_COST_WORK_SHARE = 0.15
# Cost of sending a request through a peer: a round trip within the data centre
# and the processor time of the peer, as time.
_RELAY_COST_MS = 4.0
# Random spread of costs. Entries that learn of a free target at the same time
# would otherwise all choose it. With the spread, they choose different ones
# among targets of similar cost.
_COST_JITTER = 0.2
# Cost of a target to which the entry has an idle connection, as a share of its
# time. It is usually chosen before the others of similar cost, and the random
# spread still decides among several of them: without it, one target got all
# requests, and one with a rate limit none.
_IDLE_CONNECTION_COST_SHARE = 0.85
# Bounds of the retry delay for refused callers. The upper bound is the share of
# their remaining time that callers accept.
_MIN_RETRY_MS = 40.0
_MAX_RETRY_SHARE = 0.3
# Targets that resume within this time count as available capacity.
_SHORT_PAUSE_MS = 60.0
# A request may wait for this share of its slack, which is the time until its
# objective minus its execution time. If the queue used all of the slack, a
# single estimate that is too low would make every request late. A much shorter
# queue would refuse requests while targets are full only briefly.
_WAIT_SHARE = 0.6
# An entry asks for the tokens of this many cold targets of a service at a time,
# and again after this time. 18 entries ask 1,400 times a second then; a cold
# data centre of 92 targets has 175 tokens a second. Without the bound, 40
# entries asked 3,700 times a second for the tokens of 15 targets.
_MAX_COLD_ASKED = 4
_COLD_ROUND_MS = 50.0
# After a denial, about as long as a token of a cold target takes to arrive.
_COLD_DENIAL_MS = 300.0
# A request that will miss its objective is sent to a target that needs at most
# this share of the time until its deadline. A larger share would occupy slots
# of temporarily slow hosts, which are needed for requests that can be answered
# in time once the hosts are fast again. A refused caller still has time to
# retry, but less often after its first retry, hence the larger share then.
_LATE_SHARE = 0.4
_LATE_SHARE_CALLER_RETRY = 0.6


class Decision(enum.StrEnum):
    """Handling of a request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Delay(enum.StrEnum):
    """Why a request is not sent to any target now.

    Attributes:
        NO_FREE_TARGET: No target may get it now.
        FASTER_TARGET_EXPECTED: The best target would miss the objective, and a
            faster one is expected to be free in time.
        TOO_SLOW: The best target would take too large a share of the time
            until the deadline.
    """

    NO_FREE_TARGET = "no_free_target"
    FASTER_TARGET_EXPECTED = "faster_target_expected"
    TOO_SLOW = "too_slow"


@dataclasses.dataclass(slots=True, eq=False)
class DispatchRequest:
    """A request that needs a target.

    Attributes:
        route: Its route.
        service: Service that runs it.
        arrived_ms: Clock time at which it arrived at this entry.
        objective_ms: Clock time until which a response has its full value. For
            a retry of the caller, it counts from the first attempt.
        deadline_ms: Clock time by which the caller needs a response.
        is_caller_retry: Whether the caller was refused before, or a target may
            have received the request already.
        excluded: Ids of targets that must not receive it.
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
        """Key of the execution time estimate.

        Requests of the same service may differ in execution time by route.
        """
        return f"{self.route.host}{self.route.prefix}"


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a target.

    Attributes:
        request: The request.
        on_result: Called once with the started exchange, or with the reason of
            the refusal.
        is_gone: Returns whether nobody waits for the result any more. Such a
            request may be in the queue until its withdrawal.
    """

    request: DispatchRequest
    on_result: Callable[[loads.Exchange | errors.Reason], None]
    is_gone: Callable[[], bool] = lambda: False

    def sort_key(self, now_ms: float, work_ms: float) -> tuple:
        """Return the sort key: on time first, then priority, then due time."""
        request = self.request
        is_late = now_ms + work_ms > request.objective_ms
        due_ms = request.deadline_ms if is_late else request.objective_ms
        return is_late, request.route.priority, due_ms


@dataclasses.dataclass(slots=True, eq=False)
class _Ranking:
    """Costs of the targets for one request.

    Attributes:
        best: Target of lowest cost that may get the request now, or None.
        best_ms: Its cost, or infinity.
        cost_ms_by_load: Costs of all targets that were compared, infinite for
            those without a free slot.
        limited: Costs of the targets whose rate limit allows no request now.
        turn_ms: Time until this entry may use a free slot that it leaves to
            peers now, or infinity.
    """

    best: loads.TargetLoad | None = None
    best_ms: float = math.inf
    cost_ms_by_load: dict[loads.TargetLoad, float] = dataclasses.field(
        default_factory=dict
    )
    limited: dict[loads.TargetLoad, float] = dataclasses.field(
        default_factory=dict
    )
    turn_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target as seen by the selection for one request.

    Attributes:
        load: Its load.
        obstacle: Why it is not selected, None for the selected one.
        expected_ms: Expected duration of the request at the target.
        cost_ms: Cost by which targets are compared: the expected duration with
            risks of failure, distance and random spread. Infinite without a
            free slot, None if it was not compared.
        has_connection: Whether the entry has an idle connection to it.
    """

    load: loads.TargetLoad
    obstacle: loads.Obstacle | None
    expected_ms: float
    cost_ms: float | None
    has_connection: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What would be decided on a request, and why.

    Attributes:
        decision: The decision.
        load: Load of the selected target, None if the request is not sent.
        delay: Why it is not sent now, None if it is sent.
        reason: Reason of the refusal, None if it is not refused.
        wait_ms: Expected waiting time, infinite if there is no throughput.
        ahead: Number of waiting requests that are served earlier.
        candidates: Targets of the service, the selected one first, then by
            cost.
    """

    decision: Decision
    load: loads.TargetLoad | None
    delay: Delay | None
    reason: errors.Reason | None
    wait_ms: float
    ahead: int
    candidates: Sequence[Candidate]


class ServicePool:
    """Targets and waiting requests of one service.

    Attributes:
        model: Estimates of execution times.
        load_by_id: Loads of its targets by target id.
        waiting: Requests that wait at this entry.
        peer_waiting_by_id: Number of requests that wait at peers, by entry id.
        last_used_ms: When a request of this entry or a peer was last known to
            be sent to one of its targets.
        cold_asked_ms: When tokens of cold targets were last asked for.
    """

    def __init__(self):
        self.model = loads.ServiceModel()
        self.load_by_id: dict[str, loads.TargetLoad] = {}
        self.waiting: list[QueuedRequest] = []
        self.peer_waiting_by_id: dict[str, int] = {}
        self.last_used_ms = float("-inf")
        self.cold_asked_ms = float("-inf")

    def has_target(self, excluded: Set[str] = frozenset()) -> bool:
        """Return whether a request can be sent to a target, now or later.

        Args:
            excluded: Ids of targets that must not receive it.
        """
        return any(
            not load.is_evacuated and target_id not in excluded
            for target_id, load in self.load_by_id.items()
        )

    @property
    def is_evacuated(self) -> bool:
        """Whether it has targets, all of them in evacuated data centres."""
        return bool(self.load_by_id) and not self.has_target()

    def throughput_per_ms(
        self, work_ms: float, limit_ms: float, now_ms: float
    ) -> float:
        """Return the requests per millisecond that finish within a limit.

        Args:
            work_ms: Execution time of a request at usual speed.
            limit_ms: Longest execution time. Slower targets do not count.
            now_ms: Current time.
        """
        total = 0.0
        for load in self.load_by_id.values():
            if load.is_paused(now_ms + _SHORT_PAUSE_MS):
                continue
            slots = self.model.useful_slots(load.slots)
            time_ms = work_ms * load.slowdown(now_ms) * load.slowness(now_ms)
            if slots > loads.uncrowded_slots(load.slots):
                time_ms *= self.model.crowded_factor
            if time_ms <= limit_ms:
                total += min(
                    slots / max(1.0, time_ms), load.max_rate_per_ms(now_ms)
                )
        return total

    def wait_ms(
        self, work_ms: float, limit_ms: float, ahead: int, now_ms: float
    ) -> float:
        """Return the expected queueing time of a request in ms.

        Args:
            work_ms: Execution time of a request at usual speed.
            limit_ms: Longest execution time. Slower targets do not count.
            ahead: Number of requests of this entry that are served earlier.
            now_ms: Current time.
        """
        throughput_per_ms = self.throughput_per_ms(work_ms, limit_ms, now_ms)
        if throughput_per_ms <= 0:
            return self._resume_ms(now_ms) - now_ms
        return (
            ahead + sum(self.peer_waiting_by_id.values()) + 1
        ) / throughput_per_ms

    def _resume_ms(self, now_ms: float) -> float:
        """Return when the first announced pause ends, or infinity."""
        return min(
            (
                load.announced.paused_until_ms
                for load in self.load_by_id.values()
                if load.announced.paused_until_ms > now_ms
                and not load.is_evacuated
            ),
            default=math.inf,
        )


class Balancer:
    """Targets of all services and the requests that wait for them.

    Args:
        data_centre: Data centre of this entry.
        on_load_change: Called with the load of a target when the number of
            in-flight requests of this entry has changed.
        generator: Random source, by default a new one.
        on_token_request: Called with the load of a target and the number of
            tokens to ask for, because its rate limit holds requests up.
        has_connection: Returns whether a request can be sent to a target
            without a new connection; called with the load of the target and
            whether the request may be repeated.
        entry_id: Id of this entry.
        on_later_turn: Called with a service and the time in ms after which its
            waiting requests should be dispatched.
    """

    def __init__(
        self,
        data_centre: str,
        on_load_change: Callable[[loads.TargetLoad], None] = lambda load: None,
        generator: random.Random | None = None,
        on_token_request: Callable[
            [loads.TargetLoad, int], None
        ] = lambda load, count: None,
        has_connection: Callable[
            [loads.TargetLoad, bool], bool
        ] = lambda load, repeatable: False,
        entry_id: str = "",
        on_later_turn: Callable[
            [str, float], None
        ] = lambda service, delay_ms: None,
    ):
        self.pool_by_service: dict[str, ServicePool] = {}
        self.load_by_id: dict[str, loads.TargetLoad] = {}
        self._entry_id = entry_id
        self._on_later_turn = on_later_turn
        self._data_centre = data_centre
        self._evacuated: frozenset[str] = frozenset()
        self._on_load_change = on_load_change
        self._on_token_request = on_token_request
        self._has_connection = has_connection
        self._random = generator or random.Random()

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service, creating it on first use."""
        pool = self.pool_by_service.get(service)
        if pool is None:
            pool = self.pool_by_service[service] = ServicePool()
        return pool

    def _find_pool(self, service: str) -> ServicePool:
        """Return the pool of a service, or an empty one that is not kept."""
        return self.pool_by_service.get(service) or ServicePool()

    # Targets.

    def add_target(
        self, target: dialects.PublishedTarget, now_ms: float
    ) -> None:
        """Add a target."""
        pool = self.pool(target.service)
        load = loads.TargetLoad(target, pool.model, now_ms)
        load.is_evacuated = target.data_centre in self._evacuated
        pool.load_by_id[target.id] = load
        self.load_by_id[target.id] = load

    def update_target(
        self, target: dialects.PublishedTarget, now_ms: float
    ) -> None:
        """Apply a changed registration of a target."""
        load = self.load_by_id.get(target.id)
        if load is not None:
            load.update(target, now_ms)
            load.is_evacuated = target.data_centre in self._evacuated

    def set_services(self, services: Iterable[routing.Service]) -> None:
        """Apply the limits of the configured services for cold targets."""
        service_by_name = {service.name: service for service in services}
        for name, service in service_by_name.items():
            if service.cold_per_s > 0:
                model = self.pool(name).model
                model.cold_ms = service.cold_s * 1000
                model.cold_per_s = service.cold_per_s
        for name, pool in self.pool_by_service.items():
            if name not in service_by_name or not (
                service_by_name[name].cold_per_s > 0
            ):
                pool.model.cold_per_s = 0.0

    def cold_loads(self, now_ms: float) -> list[loads.TargetLoad]:
        """Return the loads of the targets with the limit of cold ones."""
        return [
            load for load in self.load_by_id.values() if load.is_cold(now_ms)
        ]

    def set_evacuated(
        self, data_centres: frozenset[str], now_ms: float
    ) -> None:
        """Send no request to the targets of some data centres, but to others.

        Waiting requests that only these targets could serve are refused. The
        targets may be cold when their evacuation ends.

        Args:
            data_centres: All evacuated data centres.
            now_ms: Current time.
        """
        self._evacuated = data_centres
        for load in self.load_by_id.values():
            was_evacuated = load.is_evacuated
            load.is_evacuated = load.target.data_centre in data_centres
            if was_evacuated and not load.is_evacuated:
                model = self.pool(load.target.service).model
                load.cold.expect(model.cold_ms, now_ms)
        self.tick(now_ms)

    def evacuated_loads(self) -> list[loads.TargetLoad]:
        """Return the loads of the targets of evacuated data centres."""
        return [load for load in self.load_by_id.values() if load.is_evacuated]

    def remove_target(self, target_id: str) -> None:
        """Remove a target, so that no further request is sent to it."""
        load = self.load_by_id.pop(target_id, None)
        if load is not None:
            self.pool(load.target.service).load_by_id.pop(target_id, None)

    def is_listed(self, load: loads.TargetLoad) -> bool:
        """Return whether requests are sent to a target."""
        return self.load_by_id.get(load.target.id) is load

    def forget_peer(self, entry_id: str) -> None:
        """Drop the request counts of a removed peer."""
        for load in self.load_by_id.values():
            load.set_peer_in_flight(entry_id, 0)
        for pool in self.pool_by_service.values():
            pool.peer_waiting_by_id.pop(entry_id, None)

    # Target selection.

    def _candidates(
        self, pool: ServicePool, request: DispatchRequest, now_ms: float
    ) -> Iterable[loads.TargetLoad]:
        """Return the targets that a request may be sent to.

        Requests with large responses stay in the local data centre as long as
        it has a usable target.
        """
        if not request.route.bulk:
            return pool.load_by_id.values()
        local = [
            load
            for load in pool.load_by_id.values()
            if load.target.data_centre == self._data_centre
            and not load.is_paused(now_ms + _SHORT_PAUSE_MS)
            and not load.lacks_token(now_ms)
            and load.target.id not in request.excluded
        ]
        return local or pool.load_by_id.values()

    def _best_target(
        self, request: DispatchRequest, now_ms: float
    ) -> tuple[loads.TargetLoad | None, float]:
        """Return the target of lowest cost, or None, and the cost in ms."""
        ranking = self._rank_targets(request, now_ms, self._random)
        return ranking.best, ranking.best_ms

    def _select_target(
        self, request: DispatchRequest, now_ms: float, *, is_queued: bool
    ) -> _Ranking:
        """Return the ranking of the targets, and ask for tokens.

        A token is asked for where the request would have gone without the rate
        limit.
        """
        ranking = self._rank_targets(
            request, now_ms, self._random, is_queued=is_queued
        )
        if ranking.limited:
            wanted = 1
            if ranking.best is None:
                waiting = len(self.pool(request.service).waiting)
                wanted = waiting if is_queued else waiting + 1
            self._request_tokens(
                ranking.limited, wanted, ranking.best_ms, now_ms
            )
        return ranking

    def _request_tokens(
        self,
        limited: dict[loads.TargetLoad, float],
        wanted: int,
        max_cost_ms: float,
        now_ms: float,
    ) -> None:
        """Ask for the wanted tokens that are not on their way yet.

        Args:
            limited: Costs of the targets that may be asked for.
            wanted: Number of tokens.
            max_cost_ms: Only targets of lower cost are asked for.
            now_ms: Current time.
        """
        wanted -= sum(load.tokens.pending(now_ms) for load in limited)
        usable = self._token_sources(limited, max_cost_ms, now_ms)
        for index, load in enumerate(usable):
            if wanted <= 0:
                return
            count = math.ceil(wanted / (len(usable) - index))
            wanted -= count
            load.tokens.request(count, now_ms)
            self._on_token_request(load, count)

    def _token_sources(
        self,
        limited: dict[loads.TargetLoad, float],
        max_cost_ms: float,
        now_ms: float,
    ) -> list[loads.TargetLoad]:
        """Return the targets to ask for tokens, the cheapest first.

        A data centre that returns cold has many targets that deny nearly all
        requests for tokens, so only a few of them are asked at a time.
        """
        usable, cold = [], []
        for load in sorted(limited, key=limited.get):
            is_cold = load.is_cold(now_ms)
            if limited[load] < max_cost_ms and load.tokens.may_request(
                now_ms, min_denial_ms=_COLD_DENIAL_MS if is_cold else 0.0
            ):
                (cold if is_cold else usable).append(load)
        if cold:
            pool = self.pool(cold[0].target.service)
            if now_ms - pool.cold_asked_ms >= _COLD_ROUND_MS:
                pool.cold_asked_ms = now_ms
                usable += cold[:_MAX_COLD_ASKED]
        return usable

    def _rank_targets(
        self,
        request: DispatchRequest,
        now_ms: float,
        generator: random.Random,
        *,
        is_queued: bool = False,
    ) -> _Ranking:
        """Return the costs of the targets.

        Args:
            request: The request.
            now_ms: Current time.
            generator: Source of the random spread.
            is_queued: Whether the request waits, and leaves free slots to
                waiting requests of peers whose turn it is.
        """
        pool = self._find_pool(request.service)
        work_ms = pool.model.work_ms(request.work_key)
        ranking = _Ranking()
        for load in self._candidates(pool, request, now_ms):
            if load.is_paused(now_ms) or load.target.id in request.excluded:
                continue
            cost_ms = load.cost_ms(work_ms, now_ms)
            if is_queued and cost_ms < math.inf:
                turn_ms = self._turn_ms(pool, load, now_ms)
                if turn_ms > 0:
                    ranking.turn_ms = min(ranking.turn_ms, turn_ms)
                    continue
            if load.target.data_centre != self._data_centre:
                cost_ms += max(
                    _REMOTE_COST_MS, _REMOTE_COST_WORK_SHARE * work_ms
                )
            if load.path.is_lost:
                cost_ms += _RELAY_COST_MS
            cost_ms *= 1 + _COST_JITTER * generator.random()
            if self._has_connection(load, request.route.repeatable):
                cost_ms *= _IDLE_CONNECTION_COST_SHARE
            ranking.cost_ms_by_load[load] = cost_ms
            if load.lacks_token(now_ms):
                ranking.limited[load] = cost_ms
            elif cost_ms < ranking.best_ms:
                ranking.best, ranking.best_ms = load, cost_ms
        return ranking

    def _turn_ms(
        self, pool: ServicePool, load: loads.TargetLoad, now_ms: float
    ) -> float:
        """Return for how long a free slot is left to peers, 0 if it is not."""
        unchanged_ms = now_ms - load.shared_change_ms
        if not pool.peer_waiting_by_id or (
            unchanged_ms >= slot_turns.MAX_DELAY_MS
        ):
            return 0.0
        delay_ms = slot_turns.delay_ms(
            load.target.id, self._entry_id, pool.peer_waiting_by_id
        )
        return max(0.0, delay_ms - unchanged_ms)

    def start(
        self, request: DispatchRequest, load: loads.TargetLoad, now_ms: float
    ) -> loads.Exchange:
        """Start an exchange and count it as in flight."""
        exchange = load.start(request.work_key, now_ms)
        self.pool(request.service).last_used_ms = now_ms
        self._on_load_change(load)
        return exchange

    def try_start(
        self, request: DispatchRequest, now_ms: float
    ) -> loads.Exchange | None:
        """Start an exchange now if a target is expected to be fast enough.

        Returns:
            The exchange, or None if the request should wait or be refused.
        """
        ranking = self._select_target(request, now_ms, is_queued=False)
        if self._delay(request, ranking, now_ms) is not None:
            return None
        return self.start(request, ranking.best, now_ms)

    def _delay(
        self, request: DispatchRequest, ranking: _Ranking, now_ms: float
    ) -> Delay | None:
        """Return why the best target does not get a request, None if it does.

        Args:
            request: The request, which does not wait yet.
            ranking: Costs of the targets.
            now_ms: Current time.
        """
        cost_ms = ranking.best_ms
        if ranking.best is None:
            return Delay.NO_FREE_TARGET
        if cost_ms > request.objective_ms - now_ms:
            pool = self._find_pool(request.service)
            if self._may_be_in_time(pool, request, now_ms):
                return Delay.FASTER_TARGET_EXPECTED
            share = (
                _LATE_SHARE_CALLER_RETRY
                if request.is_caller_retry
                else _LATE_SHARE
            )
            if cost_ms > share * (request.deadline_ms - now_ms):
                return Delay.TOO_SLOW
        return None

    def handle_exchange_end(
        self, load: loads.TargetLoad, now_ms: float
    ) -> None:
        """Report the changed load and dispatch waiting requests."""
        self._on_load_change(load)
        self.dispatch_waiting(load.target.service, now_ms)

    def start_hedge(
        self,
        request: DispatchRequest,
        used: Sequence[loads.TargetLoad],
        policy: hedging.HedgePolicy,
        now_ms: float,
        max_cost_ms: float,
    ) -> loads.Exchange | hedging.Denial:
        """Start a hedge if a target is expected to answer soon enough.

        Waiting requests go first: with any in the queue there is no hedge.

        Args:
            request: The request.
            used: Targets of its exchanges so far, the late one first.
            policy: Rules of hedges.
            now_ms: Current time.
            max_cost_ms: Longest expected time of the hedge.

        Returns:
            The exchange, or what denies the hedge.
        """
        pool = self.pool(request.service)
        if pool.waiting:
            return hedging.Denial.QUEUE
        targets = pool.load_by_id.values()
        waiting_at_peers = sum(pool.peer_waiting_by_id.values())
        denial = policy.load_denial(targets, waiting_at_peers, now_ms)
        if denial is not None:
            return denial
        request.excluded |= policy.unsuitable_ids(targets, used, now_ms)
        load, cost_ms = self._best_target(request, now_ms)
        if load is None or cost_ms > max_cost_ms:
            return hedging.Denial.NO_TARGET
        return self.start(request, load, now_ms)

    def _may_be_in_time(
        self, pool: ServicePool, request: DispatchRequest, now_ms: float
    ) -> bool:
        """Return whether a request that waits can meet its objective."""
        left_ms = request.objective_ms - now_ms
        work_ms = pool.model.work_ms(request.work_key)
        if work_ms > left_ms:
            return False
        run_ms = work_ms * pool.model.crowded_factor
        wait_ms = self._wait_ms(pool, request, now_ms)
        return wait_ms <= (left_ms - run_ms) * _WAIT_SHARE

    def _wait_ms(
        self, pool: ServicePool, request: DispatchRequest, now_ms: float
    ) -> float:
        """Return the expected waiting time for a target that is fast enough."""
        return pool.wait_ms(
            pool.model.work_ms(request.work_key),
            request.objective_ms - now_ms,
            self._count_ahead(pool, request, now_ms),
            now_ms,
        )

    def decide(self, request: DispatchRequest, now_ms: float) -> Decision:
        """Decide whether a request that cannot start now waits."""
        pool = self._find_pool(request.service)
        if pool.has_target(request.excluded) and self._may_be_in_time(
            pool, request, now_ms
        ):
            return Decision.WAIT
        return Decision.REFUSE

    def refusal_reason(self, request: DispatchRequest) -> errors.Reason:
        """Return the reason for which a request is refused without waiting."""
        pool = self._find_pool(request.service)
        if pool.is_evacuated:
            return errors.Reason.EVACUATED
        if not pool.has_target(request.excluded):
            return errors.Reason.NO_TARGETS
        if all(
            load.path.is_blocked or load.is_evacuated
            for load in pool.load_by_id.values()
        ):
            return errors.Reason.NO_PATH
        return errors.Reason.OVERLOAD

    def explain(self, request: DispatchRequest, now_ms: float) -> Explanation:
        """Return what `try_start` and `decide` would decide on a request.

        Nothing is started, counted or asked for. The random spread of costs is
        that of the next request.
        """
        pool = self._find_pool(request.service)
        ranking = self._rank_targets(request, now_ms, copy.copy(self._random))
        delay = self._delay(request, ranking, now_ms)
        decision, load, reason = Decision.SEND, ranking.best, None
        if delay is not None:
            decision, load = self.decide(request, now_ms), None
        if decision is Decision.REFUSE:
            reason = self.refusal_reason(request)
        candidates = [
            self._candidate(request, other, ranking, load, now_ms)
            for other in pool.load_by_id.values()
        ]
        candidates.sort(key=_candidate_sort_key)
        return Explanation(
            decision,
            load,
            delay,
            reason,
            0.0 if load else self._wait_ms(pool, request, now_ms),
            self._count_ahead(pool, request, now_ms),
            candidates,
        )

    def _candidate(
        self,
        request: DispatchRequest,
        load: loads.TargetLoad,
        ranking: _Ranking,
        selected: loads.TargetLoad | None,
        now_ms: float,
    ) -> Candidate:
        work_ms = self._find_pool(request.service).model.work_ms(
            request.work_key
        )
        cost_ms = ranking.cost_ms_by_load.get(load)
        if load is selected:
            obstacle = None
        elif cost_ms is None:
            obstacle = load.pause_cause(now_ms)
            if obstacle is None:
                obstacle = (
                    loads.Obstacle.EXCLUDED
                    if load.target.id in request.excluded
                    else loads.Obstacle.OTHER_DATA_CENTRE
                )
        elif cost_ms == math.inf:
            obstacle = loads.Obstacle.FULL
        elif load in ranking.limited:
            obstacle = (
                loads.Obstacle.COLD
                if load.is_cold(now_ms)
                else loads.Obstacle.NO_TOKEN
            )
        else:
            obstacle = (
                loads.Obstacle.SLOWER if selected else loads.Obstacle.TOO_SLOW
            )
        return Candidate(
            load,
            obstacle,
            load.expected_ms(work_ms, now_ms),
            cost_ms,
            self._has_connection(load, request.route.repeatable),
        )

    def _count_ahead(
        self, pool: ServicePool, request: DispatchRequest, now_ms: float
    ) -> int:
        """Return how many waiting requests are served before this one.

        Requests that are late already are not counted, as they sort last.
        """
        priority, due_ms = request.route.priority, request.objective_ms
        return sum(
            1
            for other in pool.waiting
            if other.request.objective_ms > now_ms
            and (other.request.route.priority, other.request.objective_ms)
            <= (priority, due_ms)
        )

    def describe(
        self, request: DispatchRequest, now_ms: float
    ) -> dict[str, object]:
        """Return the state behind a refusal, as log fields."""
        pool = self.pool(request.service)
        work_ms = pool.model.work_ms(request.work_key)
        _, best_ms = self._best_target(request, now_ms)
        usable = [
            load
            for load in pool.load_by_id.values()
            if not load.is_paused(now_ms)
        ]
        return {
            "targets": len(pool.load_by_id),
            "unpaused": len(usable),
            "unconnected": sum(
                load.path.has_failed for load in pool.load_by_id.values()
            ),
            "heard_by_peers": sum(
                load.path.has_failed
                and load.path.has_answered_peer_after(load.path.failed_ms)
                for load in pool.load_by_id.values()
            ),
            "evacuated": sum(
                load.is_evacuated for load in pool.load_by_id.values()
            ),
            "without_path": sum(
                load.path.is_lost for load in pool.load_by_id.values()
            ),
            "rate_limited": sum(
                load.announced.rate_limit_per_s is not None for load in usable
            ),
            "cold": sum(load.is_cold(now_ms) for load in usable),
            "with_room": sum(
                load.has_room() and not load.lacks_token(now_ms)
                for load in usable
            ),
            "slots": sum(load.slots for load in usable),
            "occupied": sum(load.occupancy() for load in usable),
            "work_ms": round(work_ms, 1),
            "best_ms": round(min(best_ms, 1e6), 1),
            "usual_slowdown": round(pool.model.slowdown, 2),
            "crowded_factor": round(pool.model.crowded_factor, 2),
            "waiting": len(pool.waiting),
            "waiting_at_peers": sum(pool.peer_waiting_by_id.values()),
        }

    def retry_after_ms(self, request: DispatchRequest, now_ms: float) -> float:
        """Return the delay in ms after which a refused caller may retry."""
        pool = self._find_pool(request.service)
        work_ms = pool.model.work_ms(request.work_key)
        left_ms = max(0.0, request.deadline_ms - now_ms)
        wait_ms = pool.wait_ms(work_ms, left_ms, len(pool.waiting), now_ms)
        longest_ms = max(_MIN_RETRY_MS, left_ms * _MAX_RETRY_SHARE)
        return min(longest_ms, max(_MIN_RETRY_MS, wait_ms))

    # Queue.

    def enqueue(self, queued: QueuedRequest) -> None:
        """Add a request to the queue."""
        self.pool(queued.request.service).waiting.append(queued)

    def withdraw(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue, if it is there."""
        waiting = self.pool(queued.request.service).waiting
        if queued in waiting:
            waiting.remove(queued)

    def dispatch_waiting(self, service: str, now_ms: float) -> None:
        """Dispatch waiting requests to free targets."""
        pool = self.pool(service)
        if not pool.waiting or not self._has_room(pool, now_ms):
            return
        _discard_gone(pool)
        work_ms_by_key = {
            item.request.work_key: pool.model.work_ms(item.request.work_key)
            for item in pool.waiting
        }
        queue = sorted(
            pool.waiting,
            key=lambda item: item.sort_key(
                now_ms, work_ms_by_key[item.request.work_key]
            ),
        )
        for queued in queue:
            exchange = self._try_start_queued(queued.request, now_ms)
            if exchange is not None:
                pool.waiting.remove(queued)
                self._grant(queued, exchange)
                if not self._has_room(pool, now_ms):
                    return

    def _grant(self, queued: QueuedRequest, exchange: loads.Exchange) -> None:
        """Hand an exchange over to the request that has waited for it."""
        try:
            queued.on_result(exchange)
        except BaseException:
            exchange.load.record_cancellation(exchange)
            self._on_load_change(exchange.load)
            raise

    def _has_room(self, pool: ServicePool, now_ms: float) -> bool:
        return any(
            load.has_room() and not load.is_paused(now_ms)
            for load in pool.load_by_id.values()
        )

    def _is_held_back(self, pool: ServicePool, now_ms: float) -> bool:
        """Return whether no target takes a request now, as known for certain.

        They have announced it or are evacuated.
        """
        return all(
            load.is_evacuated
            or load.announced.paused_until_ms > now_ms
            or (load.lacks_token(now_ms) and load.tokens.is_scarce(now_ms))
            for load in pool.load_by_id.values()
        )

    def _try_start_queued(
        self, request: DispatchRequest, now_ms: float
    ) -> loads.Exchange | None:
        ranking = self._select_target(request, now_ms, is_queued=True)
        if ranking.best is None:
            if ranking.turn_ms < math.inf:
                self._on_later_turn(request.service, ranking.turn_ms)
            return None
        left_ms = request.objective_ms - now_ms
        work_ms = self.pool(request.service).model.work_ms(request.work_key)
        # While a fast target can still meet the objective, slow targets are
        # left to requests that will be late anyway.
        if work_ms < left_ms < ranking.best_ms:
            return None
        return self.start(request, ranking.best, now_ms)

    def _is_unservable(self, request: DispatchRequest, now_ms: float) -> bool:
        pool = self.pool(request.service)
        if not pool.has_target(request.excluded):
            return True
        work_ms = pool.model.work_ms(request.work_key)
        if now_ms + work_ms > request.objective_ms:
            return True
        return self._is_held_back(pool, now_ms) and not self._may_be_in_time(
            pool, request, now_ms
        )

    def _refuse_unservable(self, pool: ServicePool, now_ms: float) -> None:
        _discard_gone(pool)
        for queued in list(pool.waiting):
            if self._is_unservable(queued.request, now_ms):
                pool.waiting.remove(queued)
                queued.on_result(
                    errors.Reason.EVACUATED
                    if pool.is_evacuated
                    else errors.Reason.OVERLOAD
                )

    def tick(self, now_ms: float) -> None:
        """Refuse requests that cannot be served, and dispatch the others.

        Called periodically, as deadlines pass and paused targets resume
        without any other event.
        """
        for service, pool in self.pool_by_service.items():
            if pool.waiting:
                self.dispatch_waiting(service, now_ms)
                self._refuse_unservable(pool, now_ms)


def _discard_gone(pool: ServicePool) -> None:
    """Remove the waiting requests for which nobody waits any more.

    A caller may leave between the event that ends its request and the step of
    the event loop in which the request withdraws.
    """
    if any(queued.is_gone() for queued in pool.waiting):
        pool.waiting = [item for item in pool.waiting if not item.is_gone()]


def _candidate_sort_key(candidate: Candidate) -> tuple:
    cost_ms = candidate.cost_ms
    return (
        candidate.obstacle is not None,
        math.inf if cost_ms is None else cost_ms,
        candidate.load.target.id,
    )
