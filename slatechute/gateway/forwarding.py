"""Sending one request to targets until there is a final answer."""

import asyncio
from collections.abc import Callable
import dataclasses

from slatechute import budgets
from slatechute import errors
from slatechute import logs
from slatechute import metrics
from slatechute import quarantine
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import loads
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["CallerRequest", "Forwarder", "Trace", "first_success"]

_LOG = logs.get_logger(__name__)

# Share of the fleet-wide retry budget that the entries use; the rest covers
# requests that several entries count at the edges of a window.
_RETRY_SHARE = 0.75
# Retries that one entry may make before it has seen requests. The fleet-wide
# slack covers this for every entry, also while they start again.
_FIRST_RETRIES = 2
# Tries that make no connection reach no target; more of them only cost time.
_MAX_CONNECT_FAILURES = 4
# A second exchange starts when the first has used this share of its objective
# and also takes longer than expected by this factor. Hosts slow down within a
# few hundred milliseconds, so an exchange that is overdue stays so.
_HEDGE_OBJECTIVE_SHARE = 0.3
_HEDGE_OVERDUE_FACTOR = 1.3
# Time after which a second exchange that found no fast target is tried again.
_HEDGE_REVIEW_MS = 15.0


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request of a caller.

    Attributes:
        id: Id that the caller gave it.
        method: HTTP method.
        path: Path and query as received.
        headers: End-to-end headers, in order.
        body: Whole body.
        route: Its route.
        service: Service that runs it.
        arrived_ms: When it arrived.
        objective_ms: Time on the clock until which its answer has full value.
        deadline_ms: Time on the clock at which it ends.
        is_caller_retry: Whether the caller was refused before.
    """

    id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    route: routing.Route
    service: str
    arrived_ms: float
    objective_ms: float
    deadline_ms: float
    is_caller_retry: bool = False

    @property
    def fingerprint(self) -> str:
        """Digest that is equal for resends of the request."""
        host = self.route.host
        return quarantine.fingerprint(host, self.method, self.path, self.body)


@dataclasses.dataclass(slots=True, eq=False)
class Trace:
    """What has happened to a request so far, for decisions and logs.

    Attributes:
        sent: Exchanges in which a target may have received the request.
        uncertain: Exchanges that have not told that they did not run it.
        connect_failures: Tries that made no connection.
        steps: One entry for each exchange: target, result, its inputs.
        excluded: Targets that must not get the request again.
    """

    sent: int = 0
    uncertain: int = 0
    connect_failures: int = 0
    steps: list[dict] = dataclasses.field(default_factory=list)
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return self.uncertain > 0


class _AttemptError(Exception):
    """An exchange without a usable answer."""

    def __init__(
        self,
        reason: errors.Reason,
        target_id: str,
        *,
        not_run: bool,
        answer: connections.TargetResponse | None = None,
        is_connect: bool = False,
    ):
        super().__init__(reason)
        self.reason = reason
        self.target_id = target_id
        self.not_run = not_run
        self.answer = answer
        self.is_connect = is_connect


class Forwarder:
    """Runs calls on targets that the balancer chooses."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        balancer: balancing.Balancer,
        pool: connections.ConnectionPool,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        on_suspected_crash: Callable[[str, str, float], None],
        on_load_report: Callable[[loads.TargetLoad], None],
    ):
        """Create the forwarder.

        Args:
            settings: Settings of the entry.
            dialect: Header names and what answers mean.
            balancer: Chooses targets.
            pool: Connections to targets.
            clock: Monotonic clock.
            counters: Metrics of the entry.
            on_suspected_crash: Told fingerprint, target id and duration in ms
                when a target dies under a request.
            on_load_report: Told when a target has reported its load.
        """
        self.quarantine = quarantine.Quarantine()
        self._settings = settings
        self._dialect = dialect
        self._balancer = balancer
        self._pool = pool
        self._clock = clock
        self._counters = counters
        self._strike = on_suspected_crash
        self._load_seen = on_load_report
        self._budget_by_service: dict[str, budgets.RatioBudget] = {}

    def _budget(self, service: str) -> budgets.RatioBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio = self._settings.retry_ratio * _RETRY_SHARE
            budget = budgets.RatioBudget(ratio, initial=_FIRST_RETRIES)
            self._budget_by_service[service] = budget
        return budget

    def describe(self, call: CallerRequest, trace: Trace) -> dict[str, object]:
        """Return the loads that a decision on a call rests on."""
        ticket = self._ticket(call, trace)
        return self._balancer.describe(ticket, self._clock.now_ms())

    async def forward(
        self, call: CallerRequest, trace: Trace
    ) -> connections.TargetResponse:
        """Return the final answer of a target.

        Args:
            call: The request.
            trace: Filled with what happens.

        Raises:
            errors.RequestError: There is none; the outcome says whether the
                request certainly did not run.
        """
        self._budget(call.service).record_request()
        self._check_quarantine(call)
        left_ms = call.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                return await self._attempts(call, trace)
        except TimeoutError:
            status = 504 if trace.may_have_run else 503
            raise self._refusal(
                call, trace, errors.Reason.DEADLINE, status
            ) from None

    def _quarantined_ms(self, call: CallerRequest) -> float:
        """Return how long a request stays refused, 0 when it is not."""
        if self.quarantine.is_empty:
            return 0.0
        now_ms = self._clock.now_ms()
        return self.quarantine.remaining_ms(call.fingerprint, now_ms)

    def _check_quarantine(self, call: CallerRequest) -> None:
        left_ms = self._quarantined_ms(call)
        if left_ms > 0:
            raise errors.RequestError(
                errors.Reason.QUARANTINED,
                errors.Step.ACCEPTED,
                retry_after_ms=int(left_ms),
            )

    def _refusal(
        self,
        call: CallerRequest,
        trace: Trace,
        reason: errors.Reason,
        status: int,
    ) -> errors.RequestError:
        """Return the final error, with what is certain about the request."""
        outcome = errors.Outcome.NOT_RUN
        if trace.may_have_run:
            outcome = errors.Outcome.UNKNOWN
            status = status if status in (502, 504) else 502
        peer = trace.steps[-1]["target"] if trace.steps else ""
        step = errors.Step.WRITTEN if trace.sent else errors.Step.WAITING
        retry_ms = self._balancer.retry_after_ms(
            self._ticket(call, trace), self._clock.now_ms()
        )
        return errors.RequestError(
            reason,
            step,
            peer,
            outcome=outcome,
            status=status,
            retry_after_ms=int(retry_ms),
        )

    def _ticket(
        self, call: CallerRequest, trace: Trace
    ) -> balancing.DispatchRequest:
        return balancing.DispatchRequest(
            call.route,
            call.service,
            call.arrived_ms,
            call.objective_ms,
            call.deadline_ms,
            # What was sent once must not be given up for want of room.
            call.is_caller_retry or bool(trace.sent),
            frozenset(trace.excluded),
        )

    # Attempts.

    async def _attempts(
        self, call: CallerRequest, trace: Trace
    ) -> connections.TargetResponse:
        while True:
            exchange = await self._acquire(call, trace)
            try:
                if call.route.repeatable and not call.route.bulk:
                    return await self._hedged(call, trace, exchange)
                return await self._exchange(call, trace, exchange)
            except _AttemptError as failure:
                if self._may_retry(call, trace, failure):
                    self._counters.count_retry(failure.reason)
                elif failure.answer is not None:
                    return failure.answer
                else:
                    status = 503 if failure.not_run else 502
                    raise self._refusal(
                        call, trace, failure.reason, status
                    ) from failure

    def _may_retry(
        self, call: CallerRequest, trace: Trace, failure: _AttemptError
    ) -> bool:
        if trace.may_have_run and not call.route.repeatable:
            return False
        trace.excluded.add(failure.target_id)
        if failure.is_connect:
            return trace.connect_failures < _MAX_CONNECT_FAILURES
        if trace.sent >= call.route.max_attempts:
            return False
        pool = self._balancer.pool(call.service)
        if not pool.load_by_id.keys() - trace.excluded:
            return False
        if self._quarantined_ms(call) > 0:
            return False
        return self._budget(call.service).try_consume()

    async def _acquire(
        self, call: CallerRequest, trace: Trace
    ) -> loads.Exchange:
        """Wait for a target.

        Raises:
            errors.RequestError: None is to be had in time.
        """
        ticket = self._ticket(call, trace)
        now_ms = self._clock.now_ms()
        exchange = self._balancer.try_start(ticket, now_ms)
        if exchange is not None:
            return exchange
        if self._balancer.decide(ticket, now_ms) is balancing.Decision.REFUSE:
            pool = self._balancer.pool(call.service)
            reason = errors.Reason.OVERLOAD
            if not pool.load_by_id.keys() - trace.excluded:
                reason = errors.Reason.NO_TARGETS
            raise self._refusal(call, trace, reason, 503)
        granted = asyncio.get_running_loop().create_future()
        pending = balancing.QueuedRequest(ticket, granted.set_result)
        self._balancer.enqueue(pending)
        try:
            result = await granted
        except asyncio.CancelledError:
            self._balancer.withdraw(pending)
            if granted.done() and not granted.cancelled():
                self._give_back(granted.result())
            raise
        if isinstance(result, errors.Reason):
            raise self._refusal(call, trace, result, 503)
        return result

    def _give_back(self, result: loads.Exchange | errors.Reason) -> None:
        if isinstance(result, loads.Exchange):
            result.load.record_cancellation(result)
            self._ended(result)

    def _ended(self, exchange: loads.Exchange) -> None:
        load = exchange.load
        self._balancer.exchange_ended(load, self._clock.now_ms())

    async def _hedged(
        self, call: CallerRequest, trace: Trace, exchange: loads.Exchange
    ) -> connections.TargetResponse:
        """Run an exchange, and a second one when the first is late."""
        first = asyncio.ensure_future(self._exchange(call, trace, exchange))
        tasks = {first}
        try:
            delay_ms = self._hedge_delay_ms(call, exchange)
            while not first.done() and len(tasks) == 1:
                await asyncio.wait(tasks, timeout=delay_ms / 1000)
                delay_ms = _HEDGE_REVIEW_MS
                if first.done():
                    break
                if self._clock.now_ms() >= call.objective_ms:
                    break
                second = self._start_hedge(call, trace, exchange)
                if second is not None:
                    tasks.add(second)
            return await first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()
                task.add_done_callback(_drop_result)

    def _hedge_delay_ms(
        self, call: CallerRequest, exchange: loads.Exchange
    ) -> float:
        objective_ms = call.objective_ms - self._clock.now_ms()
        return max(
            _HEDGE_OBJECTIVE_SHARE * max(objective_ms, 0.0),
            _HEDGE_OVERDUE_FACTOR * exchange.expected_ms,
        )

    def _start_hedge(
        self, call: CallerRequest, trace: Trace, exchange: loads.Exchange
    ) -> asyncio.Task | None:
        if trace.sent >= call.route.max_attempts:
            return None
        budget = self._budget(call.service)
        now_ms = self._clock.now_ms()
        ticket = self._ticket(call, trace)
        ticket.excluded |= {exchange.load.target.id}
        left_ms = call.objective_ms - now_ms
        if left_ms <= 0 or not budget.has_token():
            return None
        second = self._balancer.start_hedge(ticket, now_ms, left_ms)
        if second is None:
            return None
        budget.try_consume()
        self._counters.count_hedge()
        return asyncio.ensure_future(self._exchange(call, trace, second))

    # One exchange.

    async def _exchange(
        self, call: CallerRequest, trace: Trace, exchange: loads.Exchange
    ) -> connections.TargetResponse:
        """Send the request to the target of an exchange.

        Raises:
            _AttemptError: There was no usable answer.
        """
        load = exchange.load
        target = load.target
        now_ms = self._clock.now_ms()
        step = {
            "target": target.id,
            "at_ms": round(now_ms - call.arrived_ms, 1),
            "expected_ms": round(exchange.expected_ms, 1),
            "load_age_ms": round(min(now_ms - load.reported_ms, 1e6), 1),
            "slowdown": round(exchange.slowdown, 2),
            "slowness": round(exchange.slowness, 2),
            "place": exchange.place,
        }
        trace.steps.append(step)
        connection = None
        try:
            connection = await self._pool.acquire(
                target.address, repeatable=call.route.repeatable
            )
            answer = await self._send(call, trace, connection, target)
        except connections.ExchangeError as error:
            step["result"] = str(error)
            raise self._exchange_failed(call, trace, exchange, error) from error
        except BaseException:
            step["result"] = "cancelled"
            load.record_cancellation(exchange)
            raise
        finally:
            if connection is not None:
                self._pool.release(target.address, connection)
            if "result" in step:
                self._ended(exchange)
        try:
            failure = self._judge(call, exchange, answer)
        finally:
            self._ended(exchange)
        step["result"] = failure.reason if failure else answer.status
        if failure is None:
            return answer
        if failure.not_run:
            trace.uncertain -= 1
        raise failure

    async def _send(
        self,
        call: CallerRequest,
        trace: Trace,
        connection: connections.TargetConnection,
        target: dialects.PublishedTarget,
    ) -> connections.TargetResponse:
        left_ms = max(1.0, call.deadline_ms - self._clock.now_ms())
        headers = [
            *call.headers,
            *self._dialect.target_headers(target.id, left_ms),
        ]
        trace.sent += 1
        trace.uncertain += 1
        try:
            return await connection.exchange(
                call.method, call.path, headers, call.body
            )
        except connections.ExchangeError as error:
            if error.not_run:
                trace.sent -= 1
                trace.uncertain -= 1
            raise

    def _exchange_failed(
        self,
        call: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        error: connections.ExchangeError,
    ) -> _AttemptError:
        load = exchange.load
        now_ms = self._clock.now_ms()
        target_id = load.target.id
        if error.step is errors.Step.WRITING:
            # The request itself cannot be sent, so no target is to blame.
            load.record_cancellation(exchange)
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.WRITING, status=400
            )
        if error.not_run:
            trace.connect_failures += 1
            load.record_connect_failure(exchange, now_ms)
            return _AttemptError(
                errors.Reason.CONNECT_FAILED,
                target_id,
                not_run=True,
                is_connect=True,
            )
        load.record_failure(exchange, now_ms)
        if not error.response_started:
            self._note_strike(
                call.fingerprint, target_id, now_ms - exchange.started_ms
            )
        return _AttemptError(
            errors.Reason.CONNECTION_LOST, target_id, not_run=False
        )

    def _note_strike(
        self, fingerprint: str, target_id: str, duration_ms: float
    ) -> None:
        """Record that a target may have died under a request."""
        now_ms = self._clock.now_ms()
        self.quarantine.record_crash(
            fingerprint, target_id, now_ms, duration_ms=duration_ms
        )
        self._strike(fingerprint, target_id, duration_ms)

    def _judge(
        self,
        call: CallerRequest,
        exchange: loads.Exchange,
        answer: connections.TargetResponse,
    ) -> _AttemptError | None:
        """Record what an answer shows; return the failure if it is one."""
        load = exchange.load
        target_id = load.target.id
        now_ms = self._clock.now_ms()
        facts = self._dialect.parse_response(
            answer.status, answer.header_by_name
        )
        if facts.load is not None and load.apply_report(facts.load, now_ms):
            self._load_seen(load)
        is_other = facts.request_id and facts.request_id != call.id
        if facts.wrong_target:
            load.pause(self._settings.expired_target_hold_s * 1000, now_ms)
            load.record_cancellation(exchange)
            return _AttemptError(
                errors.Reason.CONNECT_FAILED, target_id, not_run=True
            )
        if facts.not_run and not is_other:
            load.record_refusal(exchange, now_ms)
            return _AttemptError(
                errors.Reason.TARGET_SHED, target_id, not_run=True
            )
        is_success = 200 <= answer.status < 300
        if is_other or (is_success and not facts.signed):
            load.record_failure(exchange, now_ms)
            return _AttemptError(
                errors.Reason.CONNECTION_LOST, target_id, not_run=False
            )
        if answer.status >= 500:
            load.record_failure(exchange, now_ms)
            return _AttemptError(
                errors.Reason.TARGET_ERROR,
                target_id,
                not_run=False,
                answer=answer,
            )
        load.record_success(exchange, now_ms)
        if not self.quarantine.is_empty:
            self.quarantine.clear(call.fingerprint)
        return None


async def first_success(
    tasks: set[asyncio.Task],
) -> connections.TargetResponse:
    """Return the first answer of several exchanges.

    Raises:
        _AttemptError: All have failed; one that may have run goes first.
    """
    pending = set(tasks)
    failures: list[_AttemptError] = []
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        # All of them are looked at, or those left out count as unhandled.
        error_by_task = {task: task.exception() for task in done}
        for task, error in error_by_task.items():
            if error is None:
                return task.result()
            if not isinstance(error, _AttemptError):
                raise error
            failures.append(error)
    raise min(failures, key=lambda failure: failure.not_run)


def _drop_result(task: asyncio.Task) -> None:
    """Take note of the end of an exchange that nothing waits for."""
    if not task.cancelled() and task.exception() is not None:
        _LOG.debug("late_exchange_failed", error=repr(task.exception()))
