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
    """Runs requests on targets until there is a response."""

    def __init__(
        self,
        policy: base.Policy,
        client: exchange.TargetClient,
        clock: clocks.Clock,
        bus: events.EventBus,
        broadcast: Callable[[messages.Message], None],
        counters: metrics.Metrics,
    ):
        self._dependencies = attempts.Dependencies(
            policy, client, clock, bus, counters
        )
        self._clock = clock
        self._broadcast = broadcast
        self._counters = counters
        self._rules = models.FleetRules()
        self._retries_by_service: dict[str, budgets.RatioBudget] = {}
        self._hedges_by_service: dict[str, budgets.RatioBudget] = {}
        self.quarantine = quarantine.Quarantine()

    def set_rules(self, rules: models.FleetRules) -> None:
        """Apply the budgets of the configuration."""
        self._rules = rules
        for budget_by_service, ratio in (
            (self._retries_by_service, rules.retry_ratio),
            (self._hedges_by_service, rules.hedge_ratio),
        ):
            for budget in budget_by_service.values():
                budget.ratio = ratio

    async def execute(self, request: requests.Request) -> attempts.Attempt:
        """Run a request and return the attempt with its response.

        Raises:
            errors.RequestError: There is no response. Its outcome shows whether
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
        attempt_number = 1
        while True:
            attempt = attempts.Attempt(
                self._dependencies,
                request,
                frozenset(excluded),
                is_first=attempt_number == 1,
            )
            try:
                if request.rule.repeatable and not request.rule.bulk:
                    return await self._run_hedged(attempt, hedges, retries)
                return await self._run(attempt)
            except attempts.AttemptError as failure:
                may_have_run = may_have_run or failure.may_have_run
                excluded |= failure.target_ids
                error = failure.error
                has_target = self._dependencies.policy.has_target
                if not has_target(request.service, excluded):
                    # All targets were tried; the earlier ones may have
                    # recovered.
                    excluded = set(failure.target_ids)
                # A retry without another target would wait until its deadline.
                if has_target(request.service, excluded):
                    error = self._final_error(
                        request, failure, attempt_number, retries
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
            attempt_number += 1

    def _budget(
        self,
        budget_by_service: dict[str, budgets.RatioBudget],
        request: requests.Request,
        ratio: float,
    ) -> budgets.RatioBudget:
        budget = budget_by_service.get(request.service)
        if budget is None:
            budget = budgets.RatioBudget(ratio)
            budget_by_service[request.service] = budget
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

    def _final_error(
        self,
        request: requests.Request,
        failure: attempts.AttemptError,
        attempt_number: int,
        retries: budgets.RatioBudget,
    ) -> errors.RequestError | None:
        """Return the error of the request, or None to start a next attempt."""
        if failure.error.step is errors.Step.WAITING:
            return failure.error
        if failure.may_have_run and not request.rule.repeatable:
            return failure.error
        # A request that an upstream hop retries is not retried here, so that
        # retries do not multiply with the depth of the call chain.
        if request.attempt > 0 or attempt_number >= racing.MAX_ATTEMPTS:
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

    def _report_crash(
        self, attempt: attempts.Attempt, failure: attempts.AttemptError
    ) -> None:
        if not failure.crashed:
            return
        key = attempt.request.fingerprint
        now_ms = self._clock.now_ms()
        for target_id in failure.target_ids:
            self.quarantine.record_crash(
                key, target_id, now_ms, duration_ms=attempt.service_ms
            )
            report = messages.CrashReport(
                key, target_id, duration_ms=attempt.service_ms
            )
            self._broadcast(report)

    def _clear_crashes(self, attempt: attempts.Attempt) -> None:
        if not self.quarantine.is_empty and attempt.response.status < 500:
            self.quarantine.clear(attempt.request.fingerprint)

    # One attempt.

    async def _run(self, attempt: attempts.Attempt) -> attempts.Attempt:
        """Run one attempt until its deadline."""
        request = attempt.request
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                await attempt.execute()
        except attempts.AttemptError as failure:
            self._report_crash(attempt, failure)
            raise
        except TimeoutError as err:
            raise attempt.fail(
                errors.Reason.DEADLINE, leases.Result.CANCELLED, status=504
            ) from err
        self._clear_crashes(attempt)
        return attempt

    async def _run_hedged(
        self,
        attempt: attempts.Attempt,
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ) -> attempts.Attempt:
        """Run an attempt and start concurrent ones while it is late."""
        hedged = racing.HedgedAttempts(
            self._dependencies, self._run, attempt, hedges, retries
        )
        try:
            return await self._run(attempt)
        except (asyncio.CancelledError, attempts.AttemptError) as failure:
            winner = await hedged.wait_for_winner(failure)
            if winner is None:
                raise
            return winner
        finally:
            hedged.close()
