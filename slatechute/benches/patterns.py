"""Patterns of load against the balancer alone, without a network.

A discrete-event model of one service: targets with slots on hosts that slow
down, callers that come back when they are refused, and entries that run the
same `gateway.balancing.Balancer` as the product.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import math
import random

from slatechute import errors
from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import loads
from slatechute.gateway import routing

__all__ = ["Pattern", "Result", "run"]

# One way between a caller and an entry, and between entry and target.
_CALLER_MS = 1.0
_HOP_MS = 0.2
_PROBE_MS = 90.0
_TICK_MS = 20.0
# Delay with which entries of a data centre hear of each other's sends.
_SHARE_MS = 4.0
# Time between two reports of loads to other data centres, and their way there,
# which requests take as well.
_FAR_PERIOD_MS = 80.0
_FAR_HOP_MS = 1.5
_RETRY_MARGIN_MS = 25.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load and the targets that it meets.

    Attributes:
        targets: Number of targets.
        slots: Requests that a target runs at a time.
        queue: Requests that wait at a target before it refuses.
        work_ms: Mean work of a request.
        spread: Spread of the work, as the sigma of its logarithm.
        knee: Share of busy slots above which a target slows down.
        knee_factor: By how much.
        slow_share: Share of the time that a host is slow.
        slow_factor: By how much.
        slow_ms: Mean time between two draws of a host's speed.
        entries: Entries that the callers use.
        data_centres: Data centres over which targets and entries are spread.
        rate: Requests a second at a time in ms.
        objective_ms: Time for the full value of an answer.
        deadline_ms: Time after which a caller leaves.
        retries: How often a refused caller comes back.
        length_ms: Length of the run.
    """

    targets: int = 20
    slots: int = 2
    queue: int = 4
    work_ms: float = 60.0
    spread: float = 0.3
    knee: float = 0.8
    knee_factor: float = 1.7
    slow_share: float = 0.35
    slow_factor: float = 4.0
    slow_ms: float = 300.0
    entries: int = 4
    data_centres: int = 1
    rate: Callable[[float], float] = lambda now_ms: 100.0
    objective_ms: float = 200.0
    deadline_ms: float = 800.0
    retries: int = 1
    length_ms: float = 20_000.0


@dataclasses.dataclass(slots=True)
class Result:
    """What came of the requests.

    Attributes:
        asked: Requests of callers, without their returns.
        in_time: Answered within the objective.
        late: Answered after it.
        refused: Refused for good.
        refused_again: Those of them that had come back before.
        held: Refused for good after waiting longer than an eighth of the
            objective.
        worst_window: Lowest share in time over two seconds.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    held: int = 0
    worst_window: float = 1.0

    @property
    def share_in_time(self) -> float:
        """Share of the requests that were answered in time."""
        return self.in_time / max(1, self.asked)


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    asked_ms: float
    retries: int
    entry: int = 0
    ticket: balancing.DispatchRequest | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Job:
    """A request that a target runs.

    Attributes:
        left_ms: Work that was left at `since_ms`, on a host of usual speed.
        since_ms: When the speed of the host changed last.
        ended: Called at its end.
        turn: Counts the speeds that the job has run at.
    """

    left_ms: float
    since_ms: float
    ended: Callable[[], None]
    turn: int = 0


class _Host:
    """A target and the host that it shares with others."""

    def __init__(
        self,
        pattern: Pattern,
        generator: random.Random,
        at: Callable[[float, Callable[[], None]], None],
    ):
        self.jobs: dict[_Job, None] = {}
        self.queue: list[tuple[_Request, loads.Exchange]] = []
        self.slowdown = 1.0
        self._pattern = pattern
        self._random = generator
        self._at = at

    def draw(self, now_ms: float) -> float:
        """Draw the speed of the host; return the time to the next draw."""
        pattern = self._pattern
        is_slow = self._random.random() < pattern.slow_share
        slowdown = pattern.slow_factor if is_slow else 1.0
        for job in self.jobs:
            job.left_ms -= (now_ms - job.since_ms) / self.slowdown
            job.since_ms = now_ms
        self.slowdown = slowdown
        for job in self.jobs:
            self._schedule(job)
        return self._random.expovariate(1 / pattern.slow_ms)

    def start(self, now_ms: float, ended: Callable[[], None]) -> None:
        """Run a request."""
        pattern = self._pattern
        mu = math.log(pattern.work_ms) - pattern.spread**2 / 2
        work_ms = self._random.lognormvariate(mu, pattern.spread)
        if (len(self.jobs) + 1) / pattern.slots > pattern.knee:
            work_ms *= pattern.knee_factor
        job = _Job(work_ms, now_ms, ended)
        self.jobs[job] = None
        self._schedule(job)

    def _schedule(self, job: _Job) -> None:
        job.turn += 1
        turn = job.turn

        def end() -> None:
            if job.turn == turn:
                del self.jobs[job]
                job.ended()

        self._at(max(0.0, job.left_ms) * self.slowdown, end)

    def load(self) -> dialects.Load:
        """Return what the target tells of itself."""
        return dialects.Load(
            len(self.jobs),
            len(self.queue),
            self._pattern.slots,
            self.slowdown,
        )


class _Model:
    def __init__(self, pattern: Pattern, seed: int):
        self.pattern = pattern
        self.result = Result()
        self.now_ms = 0.0
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._window_by_start: dict[int, list[int]] = {}
        part = (routing.ServicePart("s", 1.0),)
        self._route = routing.Route(
            "h", "/", part, True, objective_ms=pattern.objective_ms
        )
        self._host_by_id: dict[str, _Host] = {}
        self._balancers: list[balancing.Balancer] = []
        for index in range(pattern.entries):
            self._balancers.append(
                balancing.Balancer(
                    self._data_centre(index),
                    lambda load, own=index: self._changed(own, load),
                    self._random,
                )
            )
        for index in range(pattern.targets):
            target = dialects.PublishedTarget(
                f"t{index}",
                1,
                1,
                "s",
                "h:1",
                self._data_centre(index),
                pattern.slots,
                False,
            )
            self._host_by_id[target.id] = _Host(pattern, self._random, self.at)
            for balancer in self._balancers:
                balancer.add_target(target, 0.0)

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        entry = (self.now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self) -> Result:
        """Run the whole pattern."""
        for host in self._host_by_id.values():
            self._draw(host)
        self.at(0.0, self._probe)
        if self.pattern.data_centres > 1:
            self.at(0.0, self._tell_far)
        self.at(0.0, self._tick)
        self.at(1.0, self._arrive)
        end_ms = self.pattern.length_ms + self.pattern.deadline_ms * 2
        while self._events and self.now_ms < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        shares = [
            good / asked
            for asked, good in self._window_by_start.values()
            if asked >= 20
        ]
        self.result.worst_window = min(shares, default=1.0)
        return self.result

    def _data_centre(self, index: int) -> str:
        return f"dc{index % self.pattern.data_centres}"

    def _is_near(self, entry: int, other: int) -> bool:
        return self._data_centre(entry) == self._data_centre(other)

    def _near(self, own: int) -> list[balancing.Balancer]:
        """Return the other entries of the data centre of an entry."""
        return [
            balancer
            for index, balancer in enumerate(self._balancers)
            if index != own and self._is_near(index, own)
        ]

    def _changed(self, own: int, load: loads.TargetLoad) -> None:
        """Tell the near entries what one knows of a target."""
        target_id, count = load.target.id, load.local_in_flight
        reported, reported_ms = load.reported_load, load.reported_ms

        def tell() -> None:
            for balancer in self._near(own):
                other = balancer.load_by_id[target_id]
                other.set_peer_in_flight(f"e{own}", count)
                if reported is not None:
                    other.apply_report(reported, reported_ms)
                balancer.dispatch_waiting("s", self.now_ms)

        self.at(_SHARE_MS, tell)

    def _tell_far(self) -> None:
        """Tell the loads of each data centre to the others."""
        for index in range(self.pattern.data_centres):
            name = self._data_centre(index)
            told = [
                (load.target.id, load.estimated_load(), load.reported_ms)
                for load in self._balancers[index].load_by_id.values()
                if load.target.data_centre == name
                and load.reported_load is not None
            ]
            hear = functools.partial(self._hear, index, told)
            self.at(_FAR_HOP_MS, hear)
        self.at(_FAR_PERIOD_MS, self._tell_far)

    def _hear(
        self, own: int, told: list[tuple[str, dialects.Load, float]]
    ) -> None:
        for index, balancer in enumerate(self._balancers):
            if self._is_near(index, own):
                continue
            for target_id, load, reported_ms in told:
                balancer.load_by_id[target_id].apply_report(load, reported_ms)
            balancer.dispatch_waiting("s", self.now_ms)

    def _draw(self, host: _Host) -> None:
        self.at(host.draw(self.now_ms), lambda: self._draw(host))

    def _probe(self) -> None:
        for index, balancer in enumerate(self._balancers):
            for load in balancer.load_by_id.values():
                if load.target.data_centre == self._data_centre(index):
                    host = self._host_by_id[load.target.id]
                    load.apply_report(host.load(), self.now_ms)
        self.at(_PROBE_MS, self._probe)

    def _tick(self) -> None:
        for index, balancer in enumerate(self._balancers):
            balancer.tick(self.now_ms)
            waiting = len(balancer.pool("s").waiting)
            for other in self._near(index):
                peers = other.pool("s").peer_waiting_by_id
                if waiting:
                    peers[f"e{index}"] = waiting
                else:
                    peers.pop(f"e{index}", None)
        self.at(_TICK_MS, self._tick)

    # Requests.

    def _arrive(self) -> None:
        if self.now_ms > self.pattern.length_ms:
            return
        self.result.asked += 1
        self._window(self.now_ms)[0] += 1
        self._submit(_Request(self.now_ms, self.pattern.retries))
        rate = self.pattern.rate(self.now_ms)
        self.at(self._random.expovariate(rate / 1000), self._arrive)

    def _window(self, asked_ms: float) -> list[int]:
        return self._window_by_start.setdefault(int(asked_ms // 2000), [0, 0])

    def _submit(self, request: _Request) -> None:
        request.entry = self._random.randrange(self.pattern.entries)
        elapsed_ms = self.now_ms - request.asked_ms
        request.ticket = balancing.DispatchRequest(
            self._route,
            "s",
            self.now_ms,
            request.asked_ms + self.pattern.objective_ms,
            request.asked_ms + self.pattern.deadline_ms,
            elapsed_ms > _RETRY_MARGIN_MS,
        )
        balancer = self._balancers[request.entry]
        exchange = balancer.try_start(request.ticket, self.now_ms)
        if exchange is not None:
            self._send(request, exchange)
            return
        decision = balancer.decide(request.ticket, self.now_ms)
        if decision is balancing.Decision.REFUSE:
            self._refuse(request)
            return

        def granted(result: loads.Exchange | errors.Reason) -> None:
            if isinstance(result, loads.Exchange):
                self._send(request, result)
            else:
                self._refuse(request)

        balancer.enqueue(balancing.QueuedRequest(request.ticket, granted))

    def _refuse(self, request: _Request) -> None:
        balancer = self._balancers[request.entry]
        delay_ms = balancer.retry_after_ms(request.ticket, self.now_ms)
        back_ms = self.now_ms + delay_ms + 2 * _CALLER_MS
        is_over = back_ms > request.asked_ms + self.pattern.deadline_ms
        if not request.retries or is_over:
            self.result.refused += 1
            if request.retries < self.pattern.retries:
                self.result.refused_again += 1
            held_ms = self.now_ms - request.ticket.arrived_ms
            if held_ms > self.pattern.objective_ms / 8:
                self.result.held += 1
            return
        request.retries -= 1
        self.at(delay_ms + 2 * _CALLER_MS, lambda: self._submit(request))

    def _send(self, request: _Request, exchange: loads.Exchange) -> None:
        hop_ms = self._hop_ms(request, exchange)
        self.at(hop_ms, lambda: self._reach(request, exchange))

    def _hop_ms(self, request: _Request, exchange: loads.Exchange) -> float:
        own = self._data_centre(request.entry)
        is_near = exchange.load.target.data_centre == own
        return _HOP_MS if is_near else _FAR_HOP_MS

    def _reach(self, request: _Request, exchange: loads.Exchange) -> None:
        host = self._host_by_id[exchange.load.target.id]
        if len(host.jobs) < self.pattern.slots:
            self._start(host, request, exchange)
        elif len(host.queue) < self.pattern.queue:
            host.queue.append((request, exchange))
        else:
            exchange.load.record_refusal(exchange, self.now_ms)
            balancer = self._balancers[request.entry]
            balancer.exchange_ended(exchange.load, self.now_ms)
            self._refuse(request)

    def _start(
        self, host: _Host, request: _Request, exchange: loads.Exchange
    ) -> None:
        host.start(self.now_ms, lambda: self._finish(host, request, exchange))

    def _finish(
        self, host: _Host, request: _Request, exchange: loads.Exchange
    ) -> None:
        if host.queue:
            self._start(host, *host.queue.pop(0))
        hop_ms = self._hop_ms(request, exchange)
        reported = host.load()
        self.at(hop_ms, lambda: self._answer(request, exchange, reported))

    def _answer(
        self,
        request: _Request,
        exchange: loads.Exchange,
        reported: dialects.Load,
    ) -> None:
        exchange.load.apply_report(reported, self.now_ms)
        exchange.load.record_success(exchange, self.now_ms)
        balancer = self._balancers[request.entry]
        balancer.exchange_ended(exchange.load, self.now_ms)
        total_ms = self.now_ms - request.asked_ms + 2 * _CALLER_MS
        if total_ms <= self.pattern.objective_ms:
            self.result.in_time += 1
            self._window(request.asked_ms)[1] += 1
        elif total_ms <= self.pattern.deadline_ms:
            self.result.late += 1
        else:
            self.result.refused += 1


def run(pattern: Pattern, seed: int) -> Result:
    """Return the result of a pattern; the same for the same seed."""
    return _Model(pattern, seed).run()
