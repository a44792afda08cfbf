"""Forwarding of a request to targets, with retries and hedges."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import dataclasses
import functools

from slatechute import budgets
from slatechute import errors
from slatechute import logs
from slatechute import metrics
from slatechute import quarantine
from slatechute.gateway import attribution
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import evidence as evidences
from slatechute.gateway import hedging
from slatechute.gateway import loads
from slatechute.gateway import path_monitor
from slatechute.gateway import relaying
from slatechute.gateway import retry_budgets
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = ["CallerRequest", "Forwarder", "Trace", "first_success"]

_LOG = logs.get_logger(__name__)

# Limit of failed connects per request. Such attempts reach no target and
# consume no retry budget, but cost time.
_MAX_CONNECT_FAILURES = 4
# Time from the loss of a connection until a crash is reported to peers. Within
# it, probes and requests of peers show that a target is alive.
_CRASH_CHECK_DELAY_S = 0.3
_MAX_LOGGED_ID = 100
_NOT_OWN = (connections.Attribution.OTHER, connections.Attribution.UNCERTAIN)
# HTTP status of a request for which there is no target.
_REFUSAL_STATUS = 503


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request of a caller.

    Attributes:
        id: Request id assigned by the caller.
        method: HTTP method.
        path: Path and query as received.
        headers: End-to-end headers, in order.
        body: Complete body.
        route: Its route.
        service: Service that runs it.
        arrived_ms: Clock time at which it arrived.
        first_ms: Clock time of the first attempt of its caller.
        objective_ms: Clock time until which a response has its full value.
        deadline_ms: Clock time by which it must have ended.
    """

    id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    route: routing.Route
    service: str
    arrived_ms: float
    first_ms: float
    objective_ms: float
    deadline_ms: float

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller has made an attempt before."""
        return self.first_ms < self.arrived_ms

    @property
    def fingerprint(self) -> str:
        """Digest that is equal for retries of the same request."""
        host = self.route.host
        return quarantine.fingerprint(host, self.method, self.path, self.body)


@dataclasses.dataclass(slots=True, eq=False)
class Trace:
    """History of a request, for retry decisions and logs.

    Attributes:
        exchanges: Evidence of each exchange, in the order of their starts.
        connect_failures: Number of attempts without a connection.
        steps: Log fields of each exchange, with its target, estimates and
            result.
        excluded: Ids of targets that must not receive the request again.
        configuration: Log fields of the configuration that it was decided by.
    """

    exchanges: list[evidences.ExchangeRecord] = dataclasses.field(
        default_factory=list
    )
    connect_failures: int = 0
    steps: list[dict] = dataclasses.field(default_factory=list)
    excluded: set[str] = dataclasses.field(default_factory=set)
    configuration: dict[str, object] = dataclasses.field(default_factory=dict)

    @property
    def sent(self) -> int:
        """Number of exchanges in which a target may have received it."""
        return evidences.received_count(self.exchanges)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return evidences.may_have_run(self.exchanges)

    def has_used(self, record: evidences.ExchangeRecord) -> bool:
        """Return whether the request was sent the same way before."""
        way = record.address, record.peer_id
        return any(
            (earlier.address, earlier.peer_id) == way
            for earlier in self.exchanges
            if earlier is not record and earlier.evidence.is_received
        )


class _AttemptError(Exception):
    """An exchange ended without a usable response."""

    def __init__(
        self,
        reason: errors.Reason,
        target_id: str,
        evidence: evidences.Evidence = evidences.Evidence.UNKNOWN,
        *,
        response: connections.TargetResponse | None = None,
        is_connect_failure: bool = False,
        is_path_fault: bool = False,
    ):
        super().__init__(reason)
        self.reason = reason
        self.target_id = target_id
        self.evidence = evidence
        self.response = response
        self.is_connect_failure = is_connect_failure
        self.is_path_fault = is_path_fault


async def _no_retry_token(service: str) -> bool:
    """Deny a retry beyond the own share, without a fleet to ask."""
    del service
    return False


class Forwarder:
    """Sends requests to the targets that the balancer selects."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        balancer: balancing.Balancer,
        pool: connections.ConnectionPool,
        paths: path_monitor.PathMonitor,
        relay: relaying.RelayClient,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        on_suspected_crash: Callable[[str, str, float, float], None],
        on_load_report: Callable[[loads.TargetLoad], None],
        on_announcement: Callable[[loads.TargetLoad], None] = lambda load: None,
        request_retry_token: Callable[[str], Awaitable[bool]] = _no_retry_token,
    ):
        """Create the forwarder.

        Args:
            settings: Settings of the entry.
            dialect: Formats of targets.
            balancer: Selects targets.
            pool: Connections to targets.
            paths: Beliefs about the paths to targets.
            relay: Lets peers send requests to targets without a path.
            clock: Monotonic clock.
            counters: Metrics of the entry.
            on_suspected_crash: Called with fingerprint, target id, clock time
                of the loss and duration in ms when a target has probably
                crashed while it ran a request.
            on_load_report: Called with the load of a target when the target has
                reported it.
            on_announcement: Called with the load of a target when it has
                announced something new about itself.
            request_retry_token: Returns whether the fleet grants a retry of a
                service beyond the own share of this entry.
        """
        self.quarantine = quarantine.Quarantine()
        self._settings = settings
        self._dialect = dialect
        self._balancer = balancer
        self._pool = pool
        self._paths = paths
        self._relay = relay
        self._clock = clock
        self._counters = counters
        self._attributor = attribution.ResponseAttributor(dialect, counters)
        self._on_suspected_crash = on_suspected_crash
        self._on_load_report = on_load_report
        self._on_announcement = on_announcement
        self._request_retry_token = request_retry_token
        # Exchanges with a request that ends them.
        self._owned: set[loads.Exchange] = set()
        self._is_stopping = False
        self._budget_by_service: dict[str, budgets.RatioBudget] = {}
        self._hedge_policy = hedging.create_policy(settings.hedging)
        counters.create_hedge_series(hedging.Result, hedging.Denial)

    def reload(self, settings: gateway_settings.GatewaySettings) -> None:
        """Apply the settings that may change at runtime: those of hedges."""
        previous = self._settings.hedging
        if settings.hedging is None or previous is None:
            if settings.hedging != previous:
                self._hedge_policy = hedging.create_policy(settings.hedging)
        else:
            self._hedge_policy.apply(settings.hedging)
        self._settings = dataclasses.replace(
            self._settings, hedging=settings.hedging
        )

    def stop_retries(self) -> None:
        """Send no request to a target again, as this entry ends soon."""
        self._is_stopping = True

    def _budget(self, service: str) -> budgets.RatioBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retry_budgets.own_budget(self._settings)
            self._budget_by_service[service] = budget
        return budget

    def describe(
        self, request: CallerRequest, trace: Trace
    ) -> dict[str, object]:
        """Return the state behind a decision on a request, as log fields."""
        dispatch_request = self._dispatch_request(request, trace)
        return self._balancer.describe(dispatch_request, self._clock.now_ms())

    def explain(
        self, request: CallerRequest
    ) -> tuple[balancing.Explanation, errors.RequestError | None]:
        """Return what would be decided on a request, without sending it.

        Returns:
            The decision on the first exchange and the error if the request
            would be refused.

        Raises:
            errors.RequestError: The request would be refused before a target
                is selected.
        """
        trace = Trace()
        self._check_quarantine(request)
        explanation = self._balancer.explain(
            self._dispatch_request(request, trace), self._clock.now_ms()
        )
        if explanation.reason is None:
            return explanation, None
        return explanation, self._refusal(request, trace, explanation.reason)

    async def forward(
        self, request: CallerRequest, trace: Trace
    ) -> connections.TargetResponse:
        """Return the final response of a target.

        Args:
            request: The request.
            trace: Updated with the history of the request.

        Raises:
            errors.RequestError: There is no response. The outcome states
                whether the request certainly did not run.
        """
        self._budget(request.service).record_request()
        self._hedge_policy.record_request(request.service)
        self._check_quarantine(request)
        left_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, left_ms) / 1000):
                return await self._run_attempts(request, trace)
        except TimeoutError:
            raise self._refusal(
                request, trace, errors.Reason.DEADLINE, unknown_status=504
            ) from None

    def _quarantined_ms(self, request: CallerRequest) -> float:
        """Return the remaining quarantine of a request in ms, or 0."""
        if self.quarantine.is_empty:
            return 0.0
        now_ms = self._clock.now_ms()
        return self.quarantine.remaining_ms(request.fingerprint, now_ms)

    def _check_quarantine(self, request: CallerRequest) -> None:
        left_ms = self._quarantined_ms(request)
        if left_ms > 0:
            raise errors.RequestError(
                errors.Reason.QUARANTINED,
                errors.Step.ACCEPTED,
                retry_after_ms=int(left_ms),
            )

    def _refusal(
        self,
        request: CallerRequest,
        trace: Trace,
        reason: errors.Reason,
        *,
        status: int = _REFUSAL_STATUS,
        unknown_status: int = 502,
    ) -> errors.RequestError:
        """Return the final error with the known outcome of the request.

        Args:
            request: The request.
            trace: Its history.
            reason: Why it ends.
            status: HTTP status if it has not run.
            unknown_status: HTTP status if it may have run.
        """
        outcome = errors.Outcome.NOT_RUN
        if trace.may_have_run:
            outcome = errors.Outcome.UNKNOWN
            status = unknown_status
        peer = trace.steps[-1]["target"] if trace.steps else ""
        step = errors.Step.WRITTEN if trace.sent else errors.Step.WAITING
        retry_ms = self._balancer.retry_after_ms(
            self._dispatch_request(request, trace), self._clock.now_ms()
        )
        return errors.RequestError(
            reason,
            step,
            peer,
            outcome=outcome,
            status=status,
            retry_after_ms=int(retry_ms),
        )

    def _dispatch_request(
        self, request: CallerRequest, trace: Trace
    ) -> balancing.DispatchRequest:
        return balancing.DispatchRequest(
            request.route,
            request.service,
            request.arrived_ms,
            request.objective_ms,
            request.deadline_ms,
            # A request that was sent should not be refused for lack of free
            # slots, so it is treated like a retry of the caller.
            request.is_caller_retry
            or (bool(trace.exchanges) and trace.sent > 0),
            frozenset(trace.excluded),
        )

    # Attempts.

    async def _run_attempts(
        self, request: CallerRequest, trace: Trace
    ) -> connections.TargetResponse:
        while True:
            exchange = await self._acquire(request, trace)
            try:
                if request.route.repeatable and not request.route.bulk:
                    return await self._run_hedged(request, trace, exchange)
                return await self._run_exchange(request, trace, exchange, {})
            except _AttemptError as failure:
                if await self._may_retry(request, trace, failure):
                    self._counters.count_retry(failure.reason)
                elif failure.response is not None:
                    return failure.response
                else:
                    raise self._refusal(
                        request, trace, failure.reason
                    ) from failure

    async def _may_retry(
        self, request: CallerRequest, trace: Trace, failure: _AttemptError
    ) -> bool:
        if self._is_stopping or not evidences.may_be_sent_again(
            trace.exchanges, repeatable=request.route.repeatable
        ):
            return False
        if not failure.is_path_fault:
            trace.excluded.add(failure.target_id)
        if failure.is_connect_failure:
            return trace.connect_failures < _MAX_CONNECT_FAILURES
        if trace.sent >= request.route.max_attempts:
            return False
        pool = self._balancer.pool(request.service)
        if not pool.has_target(trace.excluded):
            return False
        if self._quarantined_ms(request) > 0:
            return False
        if self._budget(request.service).try_consume():
            self._counters.count_retry_decision(metrics.RetryDecision.OWN)
            return True
        return await self._request_retry_token(request.service)

    async def _acquire(
        self, request: CallerRequest, trace: Trace
    ) -> loads.Exchange:
        """Start an exchange, waiting for a target if necessary.

        Raises:
            errors.RequestError: No target is available in time.
        """
        dispatch_request = self._dispatch_request(request, trace)
        now_ms = self._clock.now_ms()
        exchange = self._balancer.try_start(dispatch_request, now_ms)
        if exchange is not None:
            self._owned.add(exchange)
            return exchange
        if (
            self._balancer.decide(dispatch_request, now_ms)
            is balancing.Decision.REFUSE
        ):
            reason = self._balancer.refusal_reason(dispatch_request)
            raise self._refusal(request, trace, reason)
        result_future = asyncio.get_running_loop().create_future()

        def set_result(result: loads.Exchange | errors.Reason) -> None:
            result_future.set_result(result)
            if isinstance(result, loads.Exchange):
                self._owned.add(result)

        queued = balancing.QueuedRequest(
            dispatch_request, set_result, result_future.done
        )
        self._balancer.enqueue(queued)
        try:
            result = await result_future
        except asyncio.CancelledError:
            self._balancer.withdraw(queued)
            if result_future.done() and not result_future.cancelled():
                result = result_future.result()
                if isinstance(result, loads.Exchange):
                    self._end_exchange(result)
            raise
        if isinstance(result, errors.Reason):
            raise self._refusal(request, trace, result)
        return result

    def unowned_slots(self) -> int:
        """Return the number of slots that no request of this entry gives back.

        It is 0 unless there is a fault of the entry.
        """
        return sum(
            exchange not in self._owned
            for load in self._balancer.load_by_id.values()
            for exchange in load.exchanges
        )

    def _end_exchange(
        self, exchange: loads.Exchange, task: asyncio.Task | None = None
    ) -> None:
        """Give the slot of an exchange back, report it and use it.

        Args:
            exchange: The exchange, which may have ended already.
            task: Task of the exchange, as a callback of its end.
        """
        del task
        if exchange not in self._owned:
            return
        self._owned.discard(exchange)
        exchange.load.record_cancellation(exchange)
        # An error of another request that waits must not replace the result.
        steps.run_step(
            _LOG,
            "dispatch",
            lambda: self._balancer.handle_exchange_end(
                exchange.load, self._clock.now_ms()
            ),
        )

    def _start_task(
        self,
        coroutine: Coroutine[None, None, connections.TargetResponse],
        exchange: loads.Exchange,
    ) -> asyncio.Task:
        """Run an exchange, which also ends if its task is never started."""
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(functools.partial(self._end_exchange, exchange))
        return task

    async def _run_hedged(
        self, request: CallerRequest, trace: Trace, exchange: loads.Exchange
    ) -> connections.TargetResponse:
        """Run an exchange, and a hedge if the exchange is late."""
        step: dict[str, object] = {}
        original = self._start_task(
            self._run_exchange(request, trace, exchange, step), exchange
        )
        used = [exchange.load]
        hedges: list[asyncio.Task] = []
        try:
            # A hedge that was rejected may be followed by another one.
            while not original.done():
                hedge = await self._hedge_when_due(
                    request, trace, exchange, original, used, step
                )
                if hedge is None:
                    break
                hedges.append(hedge)
                if not self._hedge_policy.replaces_failed:
                    break
                await asyncio.wait(
                    {original, hedge}, return_when=asyncio.FIRST_COMPLETED
                )
                if _has_response(hedge):
                    break
            return await first_success({original, *hedges})
        finally:
            for hedge in hedges:
                result = _hedge_result(hedge, original)
                self._counters.count_hedge_result(result)
            for task in (original, *hedges):
                task.cancel()
                task.add_done_callback(_log_late_failure)

    async def _hedge_when_due(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        original: asyncio.Task,
        used: list[loads.TargetLoad],
        step: dict[str, object],
    ) -> asyncio.Task | None:
        """Return a hedge once it is due and allowed.

        Args:
            request: The request.
            trace: History of the request.
            exchange: The exchange that may be late.
            original: Task of that exchange.
            used: Targets of the exchanges so far; the target of the hedge is
                added.
            step: Log fields of the exchange, to which a denial is added.

        Returns:
            The task of the hedge, None if the exchange ends first or a hedge
            would be too late.
        """
        late = hedging.LateExchange(
            request.service,
            exchange.started_ms,
            exchange.expected_ms,
            request.objective_ms,
            request.deadline_ms,
        )
        while True:
            now_ms = self._clock.now_ms()
            check = self._hedge_policy.check(late, now_ms)
            if check is None:
                return None
            if check.cause is not None:
                hedge = self._start_hedge(request, trace, used, check, now_ms)
                if isinstance(hedge, asyncio.Task):
                    return hedge
                if step.get("hedge_denied") != hedge:
                    step["hedge_denied"] = hedge
                    self._counters.count_denied_hedge(hedge)
            await asyncio.wait({original}, timeout=check.wait_ms / 1000)
            if original.done():
                return None

    def _start_hedge(
        self,
        request: CallerRequest,
        trace: Trace,
        used: list[loads.TargetLoad],
        check: hedging.Check,
        now_ms: float,
    ) -> asyncio.Task | hedging.Denial:
        """Start a hedge that is due, or return the limit that denies it."""
        connecting = sum(
            not record.is_ended and not record.evidence.is_received
            for record in trace.exchanges
        )
        if trace.sent + connecting >= request.route.max_attempts:
            return hedging.Denial.ATTEMPTS
        policy = self._hedge_policy
        denial = policy.denial(request.service, now_ms)
        if denial is not None:
            return denial
        budget = self._budget(request.service)
        if not budget.has_token(reserve=policy.retry_reserve):
            return hedging.Denial.RETRY_BUDGET
        hedge = self._balancer.start_hedge(
            self._dispatch_request(request, trace),
            used,
            policy,
            now_ms,
            check.max_cost_ms,
        )
        if isinstance(hedge, hedging.Denial):
            return hedge
        budget.try_consume()
        policy.record_hedge(request.service, now_ms)
        self._counters.count_hedge()
        used.append(hedge.load)
        self._owned.add(hedge)
        return self._start_task(
            self._run_hedge(request, trace, hedge, check.cause), hedge
        )

    async def _run_hedge(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        cause: hedging.Cause,
    ) -> connections.TargetResponse:
        """Run the exchange of a hedge and record its time.

        Raises:
            _AttemptError: There was no usable response.
        """
        try:
            return await self._run_exchange(
                request, trace, exchange, {"hedge": cause}
            )
        finally:
            elapsed_ms = self._clock.now_ms() - exchange.started_ms
            self._counters.add_hedge_time(elapsed_ms / 1000)

    # One exchange.

    async def _run_exchange(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        step: dict[str, object],
    ) -> connections.TargetResponse:
        """Send the request to the target of an exchange, and end the exchange.

        Args:
            request: The request.
            trace: Updated with the exchange.
            exchange: The exchange.
            step: Log fields of the exchange, to which its own are added.

        Raises:
            _AttemptError: There was no usable response.
        """
        record = evidences.ExchangeRecord(exchange.load.target.address)
        trace.exchanges.append(record)
        try:
            response = await self._send(request, trace, exchange, step, record)
            record.end(evidences.Evidence.ANSWERED)
            return response
        except _AttemptError as failure:
            record.end(failure.evidence)
            raise
        except errors.RequestError:
            raise
        except Exception as error:
            steps.log_unexpected_error(_LOG, "exchange", error)
            exchange.load.record_failure(exchange, self._clock.now_ms())
            raise _AttemptError(
                errors.Reason.CONNECTION_LOST,
                exchange.load.target.id,
                record.evidence,
            ) from error
        finally:
            record.is_ended = True
            step["evidence"] = record.evidence
            if record.reused is not None:
                step["reused"] = record.reused
            self._end_exchange(exchange)

    async def _send(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        step: dict[str, object],
        record: evidences.ExchangeRecord,
    ) -> connections.TargetResponse:
        load = exchange.load
        target = load.target
        now_ms = self._clock.now_ms()
        step |= {
            "target": target.id,
            "at_ms": round(now_ms - request.arrived_ms, 1),
            "expected_ms": round(exchange.expected_ms, 1),
            "load_age_ms": round(min(now_ms - load.reported_ms, 1e6), 1),
            "slowdown": round(exchange.slowdown, 2),
            "slowness": round(exchange.slowness, 2),
            "place": exchange.position,
        }
        limit_per_s = load.rate_limit_per_s(now_ms)
        if limit_per_s is not None:
            step["limit_per_s"] = limit_per_s
        if load.announced.rate_limit_per_s is not None:
            self._counters.count_limited_request()
        if load.is_cold(now_ms):
            self._counters.count_cold_request()
        trace.steps.append(step)
        try:
            if load.path.is_lost:
                response = await self._send_through_peer(
                    request, target, step, record
                )
            else:
                response = await self._send_directly(
                    request, trace, load, record
                )
        except connections.ExchangeError as error:
            step["result"] = str(error)
            record.end(error.evidence)
            raise self._handle_exchange_error(
                request, trace, exchange, error
            ) from error
        except relaying.RelayError as error:
            step["result"] = str(error)
            raise self._handle_relay_error(
                request, trace, exchange, error
            ) from error
        except asyncio.CancelledError:
            step["result"] = "cancelled"
            now_ms = self._clock.now_ms()
            load.record_abandonment(exchange, now_ms)
            if not request.route.bulk:
                self._hedge_policy.record_abandonment(
                    request.service, _relative_time(exchange, now_ms)
                )
            raise
        failure = self._classify_response(
            request, trace, exchange, record, response
        )
        if load.announced.is_leaving or load.is_evacuated:
            self._pool.close_idle(target.address)
        step["result"] = failure.reason if failure else response.status
        if failure is not None:
            step["status"] = response.status
            step["answered_id"] = self._dialect.request_id(
                response.header_by_name
            )[:_MAX_LOGGED_ID]
        if failure is None:
            if not request.route.bulk:
                self._hedge_policy.record_response(
                    request.service,
                    _relative_time(exchange, self._clock.now_ms()),
                )
            return response
        raise failure

    async def _send_directly(
        self,
        request: CallerRequest,
        trace: Trace,
        load: loads.TargetLoad,
        record: evidences.ExchangeRecord,
    ) -> connections.TargetResponse:
        """Send the request to a target on a connection of this entry.

        Raises:
            connections.ExchangeError: There was no complete response.
        """
        target = load.target
        if not request.id or (
            len(trace.exchanges) > 1 and trace.has_used(record)
        ):
            # The id would not tell the response from what an earlier exchange
            # has left on its connection.
            connection = await self._pool.open(target.address)
        else:
            connection = await self._pool.acquire(
                target.address, repeatable=request.route.repeatable
            )
        record.reused = connection.exchanges
        left_ms = max(1.0, request.deadline_ms - self._clock.now_ms())
        headers = [
            *request.headers,
            *self._dialect.target_headers(target.id, left_ms),
        ]
        record.begin_sending()
        try:
            response = await connection.exchange(
                request.method,
                request.path,
                headers,
                request.body,
                self._attributor.of_request(
                    request.id,
                    target.id,
                    repeatable=request.route.repeatable,
                ),
            )
        finally:
            self._pool.release(target.address, connection)
        self._paths.record_response(
            load, self._clock.now_ms(), is_new=not record.reused
        )
        return response

    async def _send_through_peer(
        self,
        request: CallerRequest,
        target: dialects.PublishedTarget,
        step: dict,
        record: evidences.ExchangeRecord,
    ) -> connections.TargetResponse:
        """Let a peer send the request to a target.

        Raises:
            relaying.RelayError: There is no response of the target.
        """
        peer = self._relay.choose(target.service)
        if peer is None:
            raise relaying.RelayError(
                "no peer has a path",
                evidence=evidences.Evidence.NOT_SENT_BY_PEER,
            )
        step["relay"] = record.peer_id = peer.presence.entry_id
        relayed = relaying.RelayedRequest(
            request.method,
            request.path,
            request.headers,
            request.body,
            request.route.repeatable,
            request.deadline_ms,
        )
        record.begin_sending()
        result = relaying.Result.RESPONSE
        try:
            return await self._relay.exchange(peer, target, relayed)
        except relaying.RelayError as error:
            result = error.result or "unknown"
            raise
        finally:
            self._counters.count_relayed_request(result)

    def _handle_exchange_error(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        error: connections.ExchangeError,
    ) -> _AttemptError:
        """Record a failed exchange and return the error of the attempt."""
        load = exchange.load
        now_ms = self._clock.now_ms()
        target_id = load.target.id
        if error.step is errors.Step.WRITING:
            # The request itself cannot be sent, which is no fault of the
            # target.
            load.record_cancellation(exchange)
            raise self._refusal(
                request, trace, errors.Reason.BAD_REQUEST, status=400
            )
        if error.not_run:
            trace.connect_failures += 1
            self._counters.count_connect_failure()
            if self._paths.record_connect_failure(
                load, exchange.started_ms, now_ms
            ):
                load.record_cancellation(exchange)
                return _path_error(target_id, error.evidence)
            return self._connect_error(exchange, error.evidence, now_ms)
        return self._lost_error(
            request,
            exchange,
            now_ms,
            response_started=error.response_started,
        )

    def _handle_relay_error(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        error: relaying.RelayError,
    ) -> _AttemptError:
        """Record a failed relayed exchange and return the attempt's error.

        What fails on the way to the target is no fault of the target.
        """
        load = exchange.load
        now_ms = self._clock.now_ms()
        if error.evidence.proves_not_run:
            trace.connect_failures += 1
            # The peer may have lost its own path without knowing it yet.
            if (
                error.result is relaying.Result.CONNECT_FAILED
                and not load.path.has_answered_peer_after(exchange.started_ms)
            ):
                return self._connect_error(exchange, error.evidence, now_ms)
            load.record_cancellation(exchange)
            return _path_error(load.target.id, error.evidence)
        if error.result is relaying.Result.LOST:
            return self._lost_error(
                request,
                exchange,
                now_ms,
                response_started=error.response_started,
            )
        load.record_cancellation(exchange)
        return _AttemptError(
            errors.Reason.CONNECTION_LOST, load.target.id, is_path_fault=True
        )

    def _connect_error(
        self,
        exchange: loads.Exchange,
        evidence: evidences.Evidence,
        now_ms: float,
    ) -> _AttemptError:
        """Record that a target accepts no connections."""
        exchange.load.record_connect_failure(exchange, now_ms)
        return _AttemptError(
            errors.Reason.CONNECT_FAILED,
            exchange.load.target.id,
            evidence,
            is_connect_failure=True,
        )

    def _lost_error(
        self,
        request: CallerRequest,
        exchange: loads.Exchange,
        now_ms: float,
        *,
        response_started: bool,
    ) -> _AttemptError:
        """Record that a target has not answered a request that it may have."""
        load = exchange.load
        load.record_failure(exchange, now_ms)
        if not response_started:
            self._record_crash(
                request.fingerprint, load, now_ms - exchange.started_ms
            )
        return _AttemptError(errors.Reason.CONNECTION_LOST, load.target.id)

    def _record_crash(
        self, fingerprint: str, load: loads.TargetLoad, duration_ms: float
    ) -> None:
        """Record that a target may have crashed while it ran a request."""
        now_ms = self._clock.now_ms()
        self.quarantine.record_crash(
            fingerprint, load.target.id, now_ms, duration_ms=duration_ms
        )
        asyncio.get_running_loop().call_later(
            _CRASH_CHECK_DELAY_S,
            self._check_crash,
            fingerprint,
            load,
            now_ms,
            duration_ms,
        )

    def _check_crash(
        self,
        fingerprint: str,
        load: loads.TargetLoad,
        crashed_ms: float,
        duration_ms: float,
    ) -> None:
        """Withdraw a recorded crash if the target has answered a peer since."""
        if load.path.has_answered_peer_after(crashed_ms):
            self.quarantine.withdraw_crash(fingerprint, load.target.id)
        else:
            self._on_suspected_crash(
                fingerprint, load.target.id, crashed_ms, duration_ms
            )

    def _classify_response(
        self,
        request: CallerRequest,
        trace: Trace,
        exchange: loads.Exchange,
        record: evidences.ExchangeRecord,
        response: connections.TargetResponse,
    ) -> _AttemptError | None:
        """Update the load of the target from a response.

        Returns:
            The failure, or None if the response is final.
        """
        load = exchange.load
        target_id = load.target.id
        now_ms = self._clock.now_ms()
        metadata = self._dialect.parse_response(
            response.status, response.header_by_name
        )
        attribution = connections.Attribution.OWN
        if metadata.request_id != request.id or not request.id:
            # The connections of this entry return no others, but a peer of an
            # earlier build passes them on.
            attribution = self._attributor.attribute(
                request.id, target_id, response
            )
        refusal = evidences.Evidence.UNKNOWN
        if metadata.not_run:
            refusal = _refusal_evidence(trace, record, attribution)
        if attribution in _NOT_OWN or (
            metadata.not_run and not refusal.proves_not_run
        ):
            load.record_failure(exchange, now_ms)
            return _AttemptError(errors.Reason.CONNECTION_LOST, target_id)
        if metadata.announcement.invalid:
            self._counters.count_invalid_announcement()
        if metadata.wrong_target:
            # The idle connections lead to the new target of the address. A
            # retry of the request there must not get this refusal once more.
            self._pool.close_idle(load.target.address)
            load.pause(self._settings.expired_target_hold_s * 1000, now_ms)
            load.record_cancellation(exchange)
            return _AttemptError(
                errors.Reason.CONNECT_FAILED, target_id, refusal
            )
        if metadata.load is not None and load.apply_report(
            metadata.load, now_ms
        ):
            self._on_load_report(load)
        if load.announced.observe(
            metadata.announcement, now_ms, is_conclusive=metadata.signed
        ):
            self._on_announcement(load)
        if metadata.not_run:
            load.record_refusal(exchange, now_ms)
            return _AttemptError(errors.Reason.TARGET_SHED, target_id, refusal)
        is_success = 200 <= response.status < 300
        if is_success and not metadata.signed:
            load.record_failure(exchange, now_ms)
            return _AttemptError(errors.Reason.CONNECTION_LOST, target_id)
        if metadata.reads_as_not_run and not request.route.repeatable:
            # The request may have run, so that its caller must not conclude
            # from the status of the target that it has not.
            load.record_failure(exchange, now_ms)
            return _AttemptError(errors.Reason.TARGET_ERROR, target_id)
        if response.status >= 500:
            load.record_failure(exchange, now_ms)
            return _AttemptError(
                errors.Reason.TARGET_ERROR,
                target_id,
                response=response,
            )
        load.record_success(exchange, now_ms)
        if not self.quarantine.is_empty:
            self.quarantine.clear(request.fingerprint)
        return None


def _refusal_evidence(
    trace: Trace,
    record: evidences.ExchangeRecord,
    attribution: connections.Attribution,
) -> evidences.Evidence:
    """Return what a response shows that says that the request has not run.

    A peer does not say whether its connection had carried anything else.
    """
    if not record.peer_id:
        return evidences.Evidence.REFUSED
    if attribution is connections.Attribution.OWN and not trace.has_used(
        record
    ):
        return evidences.Evidence.REFUSED
    return evidences.Evidence.UNKNOWN


async def first_success(
    tasks: set[asyncio.Task],
) -> connections.TargetResponse:
    """Return the first response of several exchanges.

    Raises:
        _AttemptError: All have failed. A failure after which the request may
            have run takes precedence.
    """
    running = set(tasks)
    failures: list[_AttemptError] = []
    while running:
        done, running = await asyncio.wait(
            running, return_when=asyncio.FIRST_COMPLETED
        )
        # Every exception is retrieved, as asyncio logs the others as errors.
        error_by_task = {task: task.exception() for task in done}
        for task, error in error_by_task.items():
            if error is None:
                return task.result()
            if not isinstance(error, _AttemptError):
                raise error
            failures.append(error)
    raise min(failures, key=lambda failure: failure.evidence.proves_not_run)


def _relative_time(exchange: loads.Exchange, now_ms: float) -> float:
    """Return the time of an exchange as a multiple of what was expected."""
    return (now_ms - exchange.started_ms) / exchange.expected_ms


def _has_response(task: asyncio.Task) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _hedge_result(
    hedge: asyncio.Task, original: asyncio.Task
) -> hedging.Result:
    """Return how a hedge ended, at the end of its request."""
    if hedge.done() and not _has_response(hedge):
        return hedging.Result.FAILED
    if _has_response(original):
        return hedging.Result.LOST
    return hedging.Result.WON if hedge.done() else hedging.Result.CANCELLED


def _path_error(target_id: str, evidence: evidences.Evidence) -> _AttemptError:
    """Return the error of an attempt that has not reached its target."""
    return _AttemptError(
        errors.Reason.NO_PATH,
        target_id,
        evidence,
        is_connect_failure=True,
        is_path_fault=True,
    )


def _log_late_failure(task: asyncio.Task) -> None:
    """Log the failure of an exchange whose result is not needed."""
    if not task.cancelled() and task.exception() is not None:
        _LOG.debug("late_exchange_failed", error=repr(task.exception()))
