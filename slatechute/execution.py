"""Execution of a request: slots, attempts, deadline, retries and hedges."""

import asyncio
from collections.abc import Callable

from slatechute import attempts
from slatechute import budgets
from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import leases
from slatechute import messages
from slatechute import metrics
from slatechute import quarantine
from slatechute import racing
from slatechute import requests
from slatechute.configuration import models
from slatechute.policies import base
from slatechute.util import clock as clocks

__all__ = ["Executor"]


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
        self._parts = attempts.Parts(policy, client, clock, bus, counters)
        self._clock = clock
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

    async def execute(self, request: requests.Request) -> attempts.Attempt:
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
        retries.record_request()
        hedges.record_request()
        excluded: set[str] = set()
        may_have_run = False
        attempt = 1
        while True:
            run = attempts.Attempt(
                self._parts, request, frozenset(excluded), is_first=attempt == 1
            )
            try:
                if request.rule.repeatable and not request.rule.bulk:
                    return await self._run_hedged(run, hedges, retries)
                return await self._run(run)
            except attempts.AttemptError as failure:
                may_have_run = may_have_run or failure.may_have_run
                excluded |= failure.target_ids
                error = failure.error
                has_target = self._parts.policy.has_target
                if not has_target(request.service, excluded):
                    # All were tried; the earlier ones may do by now.
                    excluded = set(failure.target_ids)
                # A retry without another target would wait until its deadline.
                if has_target(request.service, excluded):
                    error = self._reason_to_end(
                        request, failure, attempt, retries
                    )
                if (
                    error is failure.error
                    and failure.response_attempt is not None
                ):
                    return failure.response_attempt
                failure.discard()
                if error is not None:
                    # An earlier attempt may have run although the last one
                    # certainly did not.
                    raise error.with_earlier_attempts(may_have_run) from failure
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
        failure: attempts.AttemptError,
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
        if request.attempt > 0 or attempt >= racing.MAX_ATTEMPTS:
            return failure.error
        if self._clock.now_ms() >= request.deadline_ms:
            return failure.error
        try:
            self._check_quarantine(request)
        except errors.RequestError as error:
            return error
        if not retries.try_consume():
            return failure.error
        self._counters.count_retry(failure.error.reason)
        return None

    def _note_crash(
        self, run: attempts.Attempt, failure: attempts.AttemptError
    ) -> None:
        if not failure.crashed:
            return
        key = run.request.fingerprint
        now_ms = self._clock.now_ms()
        for target_id in failure.target_ids:
            self.quarantine.record_crash(
                key, target_id, now_ms, duration_ms=run.service_ms
            )
            strike = messages.CrashReport(
                key, target_id, duration_ms=run.service_ms
            )
            self._announce(strike)

    def _note_answer(self, run: attempts.Attempt) -> None:
        if not self.quarantine.is_empty and run.response.status < 500:
            self.quarantine.clear(run.request.fingerprint)

    # One attempt.

    async def _run(self, run: attempts.Attempt) -> attempts.Attempt:
        """Run one attempt until its deadline."""
        request = run.request
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                await run.execute()
        except attempts.AttemptError as failure:
            self._note_crash(run, failure)
            raise
        except TimeoutError as err:
            raise run.failed(
                errors.Reason.DEADLINE, leases.Result.CANCELLED, status=504
            ) from err
        self._note_answer(run)
        return run

    async def _run_hedged(
        self,
        run: attempts.Attempt,
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ) -> attempts.Attempt:
        """Run an attempt and, while it is late, further ones beside it."""
        race = racing.Race(self._parts, self._run, run, hedges, retries)
        try:
            return await self._run(run)
        except (asyncio.CancelledError, attempts.AttemptError) as failure:
            winner = await race.settle(failure)
            if winner is None:
                raise
            return winner
        finally:
            race.close()
