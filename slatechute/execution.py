"""Execution of a request: slots, attempts, deadline, retries and hedges."""

import asyncio
from collections.abc import Callable
import dataclasses

from slatechute import budgets
from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import leases
from slatechute import messages
from slatechute import quarantine
from slatechute import requests
from slatechute import statechart
from slatechute.configuration import models
from slatechute.policies import base
from slatechute.util import clock as clocks

__all__ = ["Counters", "Execution", "Executor"]

_CHART = statechart.load("request")
_MAX_ATTEMPTS = 3
_MIN_HEDGE_DELAY_MS = 5.0
_RETRYABLE_STATUS = frozenset({500, 502, 503, 504})

_STATE_BY_STEP = {
    errors.Step.CONNECTING: "connecting",
    errors.Step.WRITTEN: "written",
    errors.Step.READING: "reading",
}


class Counters:
    """What the executor counts; the metrics module has the same methods."""

    def retried(self, reason: errors.Reason) -> None:
        """Count a request that is sent again."""

    def hedged(self) -> None:
        """Count a second exchange of a slow request."""


@dataclasses.dataclass(slots=True, eq=False)
class Execution:
    """An answer with the lease on which it runs.

    Attributes:
        answer: The answer; its body may still have to be streamed.
        lease: Slot that the exchange uses until `finish`.
        started_ms: Start of the exchange.
        finish: Ends the exchange with its result.
    """

    answer: exchange.Answer
    lease: leases.Lease
    started_ms: float
    finish: Callable[[leases.Result], None]


class Executor:
    """Runs requests on targets until one gives an answer."""

    def __init__(
        self,
        policy: base.Policy,
        client: exchange.TargetClient,
        clock: clocks.Clock,
        bus: events.EventBus,
        announce: Callable[[messages.Message], None],
        counters: Counters | None = None,
    ):
        self._policy = policy
        self._client = client
        self._clock = clock
        self._bus = bus
        self._announce = announce
        self._counters = counters or Counters()
        self._rules = models.FleetRules()
        self._retries_by_service: dict[str, budgets.RatioBudget] = {}
        self._hedges_by_service: dict[str, budgets.RatioBudget] = {}
        self.quarantine = quarantine.Quarantine()

    def set_rules(self, rules: models.FleetRules) -> None:
        """Take in the budgets of the configuration."""
        self._rules = rules
        for by_service, ratio in (
            (self._retries_by_service, rules.retry_ratio),
            (self._hedges_by_service, rules.hedge_ratio),
        ):
            for budget in by_service.values():
                budget.ratio = ratio

    async def execute(self, request: requests.Request) -> Execution:
        """Run a request and return its answer.

        Raises:
            errors.RequestError: There is no answer. Its outcome says whether
                the request certainly did not run.
        """
        self._check_quarantine(request)
        retries = self._budget(
            self._retries_by_service, request, self._rules.retry_ratio
        )
        hedges = self._budget(
            self._hedges_by_service, request, self._rules.hedge_ratio
        )
        retries.add()
        hedges.add()
        excluded: set[str] = set()
        attempt = 1
        while True:
            run = _Run(self, request, frozenset(excluded))
            try:
                if request.rule.repeatable and not request.rule.bulk:
                    return await self._run_hedged(run, hedges)
                return await self._run(run)
            except _AttemptError as failure:
                self._note_failure(request, failure)
                if failure.target_id:
                    excluded.add(failure.target_id)
                if not self._may_retry(request, failure, attempt, retries):
                    if failure.execution is not None:
                        return failure.execution
                    raise failure.error from failure
                failure.discard()
            attempt += 1

    def _budget(
        self,
        by_service: dict[str, budgets.RatioBudget],
        request: requests.Request,
        ratio: float,
    ) -> budgets.RatioBudget:
        budget = by_service.get(request.service)
        if budget is None:
            budget = budgets.RatioBudget(ratio)
            by_service[request.service] = budget
        return budget

    def _check_quarantine(self, request: requests.Request) -> None:
        if self.quarantine.is_empty:
            return
        remaining_ms = self.quarantine.remaining_ms(
            request.fingerprint, self._clock.now_ms()
        )
        if remaining_ms > 0:
            raise errors.RequestError(
                errors.Reason.QUARANTINED,
                errors.Step.ACCEPTED,
                retry_after_ms=int(remaining_ms),
            )

    def _may_retry(
        self,
        request: requests.Request,
        failure: "_AttemptError",
        attempt: int,
        retries: budgets.RatioBudget,
    ) -> bool:
        if failure.error.step is errors.Step.WAITING:
            return False
        not_run = failure.error.outcome is errors.Outcome.NOT_RUN
        if not not_run and not request.rule.repeatable:
            return False
        # An upstream hop that already sends again leaves it at that, so that
        # retries do not multiply with the depth of calls.
        if request.attempt > 0 or attempt >= _MAX_ATTEMPTS:
            return False
        if self._clock.now_ms() >= request.deadline_ms:
            return False
        self._check_quarantine(request)
        if not retries.take():
            return False
        self._counters.retried(failure.error.reason)
        return True

    def _note_failure(
        self, request: requests.Request, failure: "_AttemptError"
    ) -> None:
        if not failure.crashed:
            return
        key = request.fingerprint
        now_ms = self._clock.now_ms()
        self.quarantine.strike(key, failure.target_id, now_ms)
        self._announce(messages.CrashStrike(key, failure.target_id))

    # One attempt.

    async def _run(self, run: "_Run") -> Execution:
        """Run one attempt until its deadline."""
        request = run.request
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                return await run.execute()
        except TimeoutError as err:
            raise run.failed(
                errors.Reason.DEADLINE, leases.Result.CANCELLED, status=504
            ) from err

    async def _run_hedged(
        self, run: "_Run", hedges: budgets.RatioBudget
    ) -> Execution:
        """Run an attempt and, when it is slow, a second one beside it."""
        first = asyncio.ensure_future(self._run(run))
        delay_ms = max(
            _MIN_HEDGE_DELAY_MS, self._policy.p95_ms(run.request.service)
        )
        tasks = [first]
        kept = None
        try:
            await asyncio.wait(tasks, timeout=delay_ms / 1000)
            if not first.done() and run.lease is not None and hedges.take():
                self._counters.hedged()
                excluded = run.excluded | {run.lease.target.id}
                hedge = _Run(self, run.request, excluded)
                tasks.append(asyncio.ensure_future(self._run(hedge)))
            kept = await _first_success(tasks)
            return await kept
        finally:
            for task in tasks:
                if task is not kept:
                    task.cancel()
                    task.add_done_callback(_drop_result)


async def _first_success(tasks: list[asyncio.Task]) -> asyncio.Task:
    """Return the task that has an answer first, else the first task."""
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is None:
                return task
    return tasks[0]


def _drop(execution: Execution) -> None:
    execution.answer.close()
    execution.finish(leases.Result.CANCELLED)


def _drop_result(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    failure = task.exception()
    if failure is None:
        _drop(task.result())
    elif isinstance(failure, _AttemptError):
        failure.discard()


class _AttemptError(Exception):
    """An attempt that gave no usable answer.

    Attributes:
        error: What the caller would get.
        target_id: Target concerned, empty when there was none.
        crashed: Whether the target died while it ran the request.
        execution: Answer to pass on when there is no further attempt.
    """

    def __init__(
        self,
        error: errors.RequestError,
        target_id: str = "",
        *,
        crashed: bool = False,
        execution: Execution | None = None,
    ):
        super().__init__(str(error))
        self.error = error
        self.target_id = target_id
        self.crashed = crashed
        self.execution = execution

    def discard(self) -> None:
        """Give up the answer that came with the failure."""
        if self.execution is not None:
            self.execution.answer.close()
            self.execution.finish(leases.Result.CANCELLED)
            self.execution = None


class _Run:
    """One attempt of a request."""

    def __init__(
        self,
        executor: Executor,
        request: requests.Request,
        excluded: frozenset[str],
    ):
        self.request = request
        self.excluded = excluded
        self.lease: leases.Lease | None = None
        self._executor = executor
        self._state = _CHART.initial
        self._started_ms = 0.0
        self._released = False

    def _fire(self, event: str) -> None:
        self._state = _CHART.next(self._state, event)

    async def execute(self) -> Execution:
        """Wait for a slot, send the request and return the answer.

        Raises:
            _AttemptError: There was no usable answer.
        """
        await self._acquire()
        executor = self._executor
        now_ms = executor._clock.now_ms()
        self._started_ms = now_ms
        self._fire("connect")
        # From here on bytes may have been written, until the client says that
        # the connection was never made.
        self._fire("connected")
        try:
            answer = await executor._client.send(
                self.lease.target.address,
                self.request,
                self.request.deadline_ms - now_ms,
            )
        except exchange.ExchangeError as err:
            raise self._exchange_failed(err) from err
        except BaseException:
            self._finish(leases.Result.CANCELLED)
            raise
        self._fire("headers")
        return self._take_answer(answer)

    async def _acquire(self) -> None:
        request = self.request
        self._fire("wait")
        try:
            self.lease = await self._executor._policy.acquire(
                request.service,
                request.deadline_ms,
                bulk=request.rule.bulk,
                excluded=self.excluded,
            )
        except errors.RequestError as error:
            raise _AttemptError(error) from error
        self._fire("grant")

    def _take_answer(self, answer: exchange.Answer) -> Execution:
        executor = self._executor
        target_id = self.lease.target.id
        if answer.leaving:
            executor._bus.emit(events.TargetLeaving(target_id, "answer"))
        execution = Execution(
            answer, self.lease, self._started_ms, self._finish
        )
        if answer.not_run:
            self._finish(leases.Result.SHED)
            error = self._error(
                errors.Reason.TARGET_SHED, errors.Outcome.NOT_RUN, 503
            )
            answer.close()
            raise _AttemptError(error, target_id)
        if answer.status >= 500:
            self._finish(leases.Result.FAILED)
            if answer.status in _RETRYABLE_STATUS:
                error = self._error(
                    errors.Reason.TARGET_ERROR, errors.Outcome.UNKNOWN, 502
                )
                raise _AttemptError(error, target_id, execution=execution)
        elif answer.body is not None:
            self._finish(leases.Result.OK)
        return execution

    def _exchange_failed(self, err: exchange.ExchangeError) -> _AttemptError:
        self._state = _STATE_BY_STEP[err.step]
        not_run = _CHART.attribute(self._state, "outcome") == "not-run"
        reason = (
            errors.Reason.CONNECT_FAILED
            if not_run
            else errors.Reason.CONNECTION_LOST
        )
        crashed = err.step is errors.Step.WRITTEN
        result = leases.Result.CRASHED if crashed else leases.Result.FAILED
        failure = self.failed(reason, result, status=503 if not_run else 502)
        failure.crashed = crashed
        return failure

    def failed(
        self, reason: errors.Reason, result: leases.Result, *, status: int
    ) -> _AttemptError:
        """Return the failure of this attempt in its present state."""
        outcome = _CHART.attribute(self._state, "outcome")
        if self.lease is not None:
            self._finish(result)
        error = self._error(reason, errors.Outcome(outcome), status)
        target_id = self.lease.target.id if self.lease else ""
        return _AttemptError(error, target_id)

    def _error(
        self, reason: errors.Reason, outcome: errors.Outcome, status: int
    ) -> errors.RequestError:
        peer = self.lease.target.id if self.lease else ""
        step = errors.Step(self._state)
        return errors.RequestError(
            reason, step, peer, outcome=outcome, status=status
        )

    def _finish(self, result: leases.Result) -> None:
        """End the lease once."""
        if self._released:
            return
        self._released = True
        service_ms = self._executor._clock.now_ms() - self._started_ms
        self._executor._policy.release(self.lease, result, service_ms)
