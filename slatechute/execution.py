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
        """Run an attempt and, while it is late, further ones beside it."""
        race = _Race(self, run, hedges, retries)
        try:
            return await self._run(run)
        except (asyncio.CancelledError, _AttemptError) as failure:
            winner = await race.settle(failure)
            if winner is None:
                raise
            return winner
        finally:
            race.close()


class _Race:
    """Further attempts that start while the first one is late.

    The first attempt runs in the task of the request and is interrupted by
    cancellation, as by `asyncio.timeout`. A task for each attempt would cost
    every request several turns of the loop, and few ever get a second one.

    A hedge only uses a slot to spare. An exchange that lasts much longer still
    is taken for one on a silent connection, and the next attempt waits for its
    slot like any request.
    """

    def __init__(
        self,
        executor: Executor,
        first: "Attempt",
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ):
        self._executor = executor
        self._request = first.request
        self._attempts = [first]
        self._hedges = hedges
        self._retries = retries
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()
        self._others: list[asyncio.Task[Attempt]] = []
        self._winner: asyncio.Task[Attempt] | None = None
        self._is_over = False
        p95_ms = executor._policy.p95_ms(self._request.service)
        self._hedge_ms = max(_MIN_HEDGE_DELAY_MS, p95_ms)
        self._silence_ms = max(_MIN_SILENCE_MS, _SILENCE_FACTOR * p95_ms)
        self._timer: asyncio.TimerHandle | None = None
        self._check_later(self._hedge_ms)

    def _check_later(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, self._check)

    def _check(self) -> None:
        """Start another attempt when the last one is late."""
        if self._is_over or len(self._attempts) >= _MAX_ATTEMPTS:
            return
        latest = self._attempts[-1]
        if latest.lease is None and not latest.is_spare:
            # Time spent waiting for a slot does not count: one more exchange
            # would have to wait for one as well.
            latest.on_lease = self._check
            return
        sent = latest if latest.lease is not None else self._attempts[-2]
        elapsed_ms = self._executor._clock.now_ms() - sent.lease.granted_ms
        if latest is sent and len(self._attempts) == 1:
            if elapsed_ms < self._hedge_ms:
                self._check_later(self._hedge_ms - elapsed_ms)
                return
            if self._may_hedge(sent) and self._hedges.take():
                self._executor._counters.hedged()
                self._start(sent, is_spare=True)
                return
        if elapsed_ms < self._silence_ms:
            self._check_later(self._silence_ms - elapsed_ms)
        else:
            self._retry_if_allowed(sent)

    def _may_hedge(self, late: "Attempt") -> bool:
        policy = self._executor._policy
        service = self._request.service
        tried = late.excluded | {late.lease.target.id}
        return policy.has_target(service, tried) and policy.has_spare(service)

    def _excluded_beside(self, late: "Attempt") -> frozenset[str]:
        """Return the targets that an attempt beside others must not use.

        With few targets a new connection to one tried before is better than
        none.
        """
        last = frozenset({late.lease.target.id})
        if len(self._attempts) == 1:
            last |= late.excluded
        policy = self._executor._policy
        has_other = policy.has_target(self._request.service, last)
        return last if has_other else frozenset()

    def _retry_if_allowed(self, silent: "Attempt") -> None:
        if self._request.attempt > 0 or not self._retries.take():
            return
        if self._attempts[-1] is not silent:
            # The hedge has found no slot to spare.
            self._attempts.pop()
            self._drop(self._others.pop())
        reason = errors.Reason.CONNECTION_SILENT
        self._executor._counters.retried(reason)
        self._start(silent, is_spare=False)

    def _start(self, late: "Attempt", *, is_spare: bool) -> None:
        attempt = Attempt(
            self._executor,
            self._request,
            self._excluded_beside(late),
            is_first=False,
            is_spare=is_spare,
        )
        self._attempts.append(attempt)
        task = asyncio.ensure_future(self._executor._run(attempt))
        task.add_done_callback(self._ended)
        self._others.append(task)
        self._check_later(self._hedge_ms)

    def _ended(self, task: asyncio.Task) -> None:
        # When a further attempt fails the other ones decide.
        if self._is_over or task.cancelled() or task.exception():
            return
        if self._winner is None:
            self._winner = task
            self._task.cancel()

    async def settle(self, failure: BaseException) -> "Attempt | None":
        """Return the answer of a further attempt after the first has ended.

        Returns:
            None when there is none, so that `failure` counts.
        """
        self._stop()
        if self._winner is not None:
            # Whoever else cancelled the task goes first.
            if self._task.uncancel() > self._cancelling:
                self._winner = None
                return None
            return self._take_winner(failure)
        if isinstance(failure, asyncio.CancelledError):
            return None
        pending = set(self._others)
        while pending and self._winner is None:
            # Not `await task`: a cancellation of the request must not be taken
            # for one of the attempt.
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                self._note_end(task, failure)
        return self._take_winner(failure)

    def _note_end(self, task: asyncio.Task, failure: "_AttemptError") -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self._winner = self._winner or task
        elif isinstance(error, _AttemptError):
            failure.merge(error)

    def _take_winner(self, failure: BaseException) -> "Attempt | None":
        if self._winner is None:
            return None
        if isinstance(failure, _AttemptError):
            failure.discard()
        return self._winner.result()

    def close(self) -> None:
        """End all further attempts but the one that gave the answer."""
        self._stop()
        for task in self._others:
            if task is not self._winner:
                self._drop(task)

    def _drop(self, task: asyncio.Task) -> None:
        task.cancel()
        task.add_done_callback(_drop_result)

    def _stop(self) -> None:
        self._is_over = True
        self._attempts[-1].on_lease = None
        self._timer.cancel()


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

    def merge(self, other: "_AttemptError") -> None:
        """Let this failure speak for another attempt as well."""
        self.may_have_run = self.may_have_run or other.may_have_run
        self.target_ids |= other.target_ids

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
        is_spare: Whether it only gets a slot that nothing else waits for.
        lease: Slot that it uses until `finish`, None while it waits.
        on_lease: Called when there is a lease, or None.
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
        is_spare: bool = False,
    ):
        self.request = request
        self.excluded = excluded
        self.is_first = is_first
        self.is_spare = is_spare
        self.on_lease: Callable[[], None] | None = None
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
                is_first=self.is_first,
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
                    spare=self.is_spare,
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
        if self.on_lease is not None:
            self.on_lease()

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
