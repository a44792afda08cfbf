"""Execution of a request: slots, attempts, deadline, retries and hedges."""

import asyncio
from collections.abc import Callable

from slatechute import budgets
from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import leases
from slatechute import messages
from slatechute import metrics
from slatechute import quarantine
from slatechute import requests
from slatechute import statechart
from slatechute.configuration import models
from slatechute.policies import base
from slatechute.util import clock as clocks

__all__ = ["Attempt", "Executor"]

_CHART = statechart.load("request")
_MAX_ATTEMPTS = 3
_MIN_HEDGE_DELAY_MS = 5.0
# Without a hedge a second exchange starts after this time, or these many p95,
# at the cost of the retry budget: the connection may have gone silent, which
# its kernel does not notice while a middlebox acknowledges the bytes.
_MIN_SILENCE_MS = 250.0
_SILENCE_FACTOR = 4.0
# A lease that is older when its exchange would start may have passed on.
_LEASE_START_MS = 250.0
_RETRYABLE_STATUS = frozenset({500, 502, 503, 504})

_STATE_BY_STEP = {
    errors.Step.CONNECTING: "connecting",
    errors.Step.WRITTEN: "written",
    errors.Step.READING: "reading",
}


class Executor:
    """Runs requests on targets until one gives an answer."""

    def __init__(
        self,
        policy: base.Policy,
        client: exchange.TargetClient,
        clock: clocks.Clock,
        bus: events.EventBus,
        announce: Callable[[messages.Message], None],
        counters: metrics.Metrics,
    ):
        self._policy = policy
        self._client = client
        self._clock = clock
        self._bus = bus
        self._announce = announce
        self._counters = counters
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

    async def execute(self, request: requests.Request) -> "Attempt":
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
        may_have_run = False
        attempt = 1
        while True:
            run = Attempt(
                self, request, frozenset(excluded), is_first=attempt == 1
            )
            try:
                if request.rule.repeatable and not request.rule.bulk:
                    return await self._run_hedged(run, hedges, retries)
                return await self._run(run)
            except _AttemptError as failure:
                may_have_run = may_have_run or failure.may_have_run
                excluded |= failure.target_ids
                error = failure.error
                # A retry without another target would wait until its deadline.
                if self._policy.has_target(request.service, excluded):
                    error = self._reason_to_end(
                        request, failure, attempt, retries
                    )
                if error is failure.error and failure.answered is not None:
                    return failure.answered
                failure.discard()
                if error is not None:
                    # An earlier attempt may have run although the last one
                    # certainly did not.
                    raise error.after(may_have_run) from failure
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

    def _reason_to_end(
        self,
        request: requests.Request,
        failure: "_AttemptError",
        attempt: int,
        retries: budgets.RatioBudget,
    ) -> errors.RequestError | None:
        """Return the error to end with, None when there is a next attempt."""
        if failure.error.step is errors.Step.WAITING:
            return failure.error
        if failure.may_have_run and not request.rule.repeatable:
            return failure.error
        # An upstream hop that already sends again leaves it at that, so that
        # retries do not multiply with the depth of calls.
        if request.attempt > 0 or attempt >= _MAX_ATTEMPTS:
            return failure.error
        if self._clock.now_ms() >= request.deadline_ms:
            return failure.error
        try:
            self._check_quarantine(request)
        except errors.RequestError as error:
            return error
        if not retries.take():
            return failure.error
        self._counters.retried(failure.error.reason)
        return None

    def _note_crash(
        self, request: requests.Request, failure: "_AttemptError"
    ) -> None:
        if not failure.crashed:
            return
        key = request.fingerprint
        now_ms = self._clock.now_ms()
        for target_id in failure.target_ids:
            self.quarantine.strike(key, target_id, now_ms)
            self._announce(messages.CrashStrike(key, target_id))

    # One attempt.

    async def _run(self, run: "Attempt") -> "Attempt":
        """Run one attempt until its deadline."""
        request = run.request
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                return await run.execute()
        except _AttemptError as failure:
            self._note_crash(request, failure)
            raise
        except TimeoutError as err:
            raise run.failed(
                errors.Reason.DEADLINE, leases.Result.CANCELLED, status=504
            ) from err

    async def _run_hedged(
        self,
        run: "Attempt",
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ) -> "Attempt":
        """Run an attempt and, when it is slow, a second one beside it."""
        tasks = [asyncio.ensure_future(self._run(run))]
        kept = None
        try:
            while len(tasks) < _MAX_ATTEMPTS and await self._is_late(
                run, tasks, hedges, retries
            ):
                excluded = self._excluded_beside(run, len(tasks))
                run = Attempt(self, run.request, excluded, is_first=False)
                tasks.append(asyncio.ensure_future(self._run(run)))
            kept = await _first_success(tasks)
            if kept.exception() is not None:
                _merge_failures(tasks)
            return await kept
        finally:
            for task in tasks:
                if task is not kept:
                    task.cancel()
                    task.add_done_callback(_drop_result)

    def _excluded_beside(self, run: "Attempt", count: int) -> frozenset[str]:
        """Return the targets that an attempt beside others must not use.

        With few targets a new connection to one tried before is better than
        none.
        """
        last = frozenset({run.lease.target.id})
        if count == 1:
            last |= run.excluded
        has_other = self._policy.has_target(run.request.service, last)
        return last if has_other else frozenset()

    async def _is_late(
        self,
        run: "Attempt",
        tasks: list[asyncio.Task],
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ) -> bool:
        """Wait until there is a result or the last attempt is late.

        Time spent waiting for a slot does not count: one more exchange would
        have to wait for one as well.
        """
        p95_ms = self._policy.p95_ms(run.request.service)
        delay_ms = max(_MIN_HEDGE_DELAY_MS, p95_ms)
        if await _is_settled(tasks, delay_ms):
            return False
        if run.lease is None:
            run.leased = asyncio.get_running_loop().create_future()
            if await _is_settled(tasks, None, run.leased):
                return False
        if len(tasks) == 1:
            if await _is_settled(tasks, delay_ms - self._sent_for_ms(run)):
                return False
            tried = run.excluded | {run.lease.target.id}
            has_other = self._policy.has_target(run.request.service, tried)
            if has_other and hedges.take():
                self._counters.hedged()
                return True
        silence_ms = max(_MIN_SILENCE_MS, _SILENCE_FACTOR * p95_ms)
        if await _is_settled(tasks, silence_ms - self._sent_for_ms(run)):
            return False
        if run.request.attempt > 0 or not retries.take():
            return False
        self._counters.retried(errors.Reason.CONNECTION_SILENT)
        return True

    def _sent_for_ms(self, run: "Attempt") -> float:
        return self._clock.now_ms() - run.lease.granted_ms


async def _is_settled(
    tasks: list[asyncio.Task],
    limit_ms: float | None,
    until: asyncio.Future[None] | None = None,
) -> bool:
    """Wait for a result or the end of all attempts; return whether it came.

    Args:
        tasks: Attempts.
        limit_ms: How long to wait, None without limit.
        until: Stops the wait when it is done.
    """
    loop = asyncio.get_running_loop()
    end_s = None if limit_ms is None else loop.time() + limit_ms / 1000
    while True:
        pending = [task for task in tasks if not task.done()]
        if (
            not pending
            or len(pending) < len(tasks)
            and any(task.exception() is None for task in tasks if task.done())
        ):
            return True
        if until is not None:
            if until.done():
                return False
            pending.append(until)
        remaining_s = None if end_s is None else end_s - loop.time()
        if remaining_s is not None and remaining_s <= 0:
            return False
        await asyncio.wait(
            pending,
            timeout=remaining_s,
            return_when=asyncio.FIRST_COMPLETED,
        )


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


def _merge_failures(tasks: list[asyncio.Task]) -> None:
    """Let the failure of the first task speak for all of them."""
    first, *others = (task.exception() for task in tasks)
    if isinstance(first, _AttemptError):
        for other in others:
            if isinstance(other, _AttemptError):
                first.may_have_run = first.may_have_run or other.may_have_run
                first.target_ids |= other.target_ids


def _drop_result(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    failure = task.exception()
    if failure is None:
        task.result().abandon()
    elif isinstance(failure, _AttemptError):
        failure.discard()


class _AttemptError(Exception):
    """An attempt that gave no usable answer.

    Attributes:
        error: What the caller would get.
        target_ids: Targets concerned.
        may_have_run: Whether the attempt, or one beside it, may have run.
        crashed: Whether the target died while it ran the request.
        answered: Attempt to pass on when there is no further one.
    """

    def __init__(
        self,
        error: errors.RequestError,
        target_id: str = "",
        *,
        crashed: bool = False,
        answered: "Attempt | None" = None,
    ):
        super().__init__(str(error))
        self.error = error
        self.target_ids = {target_id} if target_id else set()
        self.may_have_run = error.outcome is not errors.Outcome.NOT_RUN
        self.crashed = crashed
        self.answered = answered

    def discard(self) -> None:
        """Give up the answer that came with the failure."""
        if self.answered is not None:
            self.answered.abandon()
            self.answered = None


class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request.
        excluded: Targets that must not get it.
        is_first: Whether it is the first exchange of the request. Others only
            use connections that are new or have answered a moment ago.
        lease: Slot that it uses until `finish`, None while it waits.
        leased: Future to resolve when there is a lease, or None.
        answer: Answer of the target; its body may have to be streamed.
        service_ms: Time of the exchange once it has ended.
    """

    def __init__(
        self,
        executor: Executor,
        request: requests.Request,
        excluded: frozenset[str],
        *,
        is_first: bool,
    ):
        self.request = request
        self.excluded = excluded
        self.is_first = is_first
        self.leased: asyncio.Future[None] | None = None
        self.lease: leases.Lease | None = None
        self.answer: exchange.Answer | None = None
        self.service_ms = 0.0
        self._executor = executor
        self._state = _CHART.initial
        self._started_ms = 0.0
        self._released = False

    def _fire(self, event: str) -> None:
        self._state = _CHART.next(self._state, event)

    async def execute(self) -> "Attempt":
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
                fresh=not self.is_first,
            )
        except exchange.ExchangeError as err:
            raise self._exchange_failed(err) from err
        except BaseException:
            self.finish(leases.Result.CANCELLED)
            raise
        self._fire("headers")
        self.answer = answer
        self._check_answer(answer)
        return self

    async def _acquire(self) -> None:
        request = self.request
        executor = self._executor
        self._fire("wait")
        while self.lease is None:
            try:
                lease = await executor._policy.acquire(
                    request.service,
                    request.deadline_ms,
                    bulk=request.rule.bulk,
                    excluded=self.excluded,
                )
            except errors.RequestError as error:
                raise _AttemptError(error) from error
            if executor._clock.now_ms() - lease.granted_ms > _LEASE_START_MS:
                # This process was paused since the grant.
                executor._policy.release(lease, leases.Result.UNUSED, 0.0)
                executor._counters.retried(errors.Reason.LEASE_STALE)
            else:
                self.lease = lease
        self._fire("grant")
        if self.leased is not None and not self.leased.done():
            self.leased.set_result(None)

    def _check_answer(self, answer: exchange.Answer) -> None:
        target_id = self.lease.target.id
        if answer.leaving:
            bus = self._executor._bus
            bus.emit(events.TargetLeaving(target_id, "answer"))
        if answer.not_run:
            self.finish(leases.Result.SHED)
            answer.close()
            error = self._error(
                errors.Reason.TARGET_SHED, errors.Outcome.NOT_RUN, 503
            )
            raise _AttemptError(error, target_id)
        if answer.status >= 500:
            self.finish(leases.Result.FAILED)
            if answer.status in _RETRYABLE_STATUS:
                error = self._error(
                    errors.Reason.TARGET_ERROR, errors.Outcome.UNKNOWN, 502
                )
                raise _AttemptError(error, target_id, answered=self)
        elif answer.body is not None:
            self.finish(leases.Result.OK)

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
            self.finish(result)
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

    def finish(self, result: leases.Result) -> None:
        """End the lease once."""
        if self._released:
            return
        self._released = True
        self.service_ms = self._executor._clock.now_ms() - self._started_ms
        policy = self._executor._policy
        policy.release(self.lease, result, self.service_ms)

    def abandon(self) -> None:
        """Give up an answer that is not passed on."""
        self.answer.close()
        self.finish(leases.Result.CANCELLED)
