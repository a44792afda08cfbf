"""Concurrent attempts: hedges, and retries on unresponsive connections."""

import asyncio
from collections.abc import Awaitable, Callable

from slatechute import attempts
from slatechute import budgets
from slatechute import errors
from slatechute import logs
from slatechute.util import steps

__all__ = ["HedgedAttempts", "MAX_ATTEMPTS"]

_LOG = logs.get_logger(__name__)
MAX_ATTEMPTS = 3
_MIN_HEDGE_DELAY_MS = 5.0
# Without a hedge a second exchange starts after this time, or after this many
# p95 if that is longer, and consumes a token of the retry budget. The first
# connection may be unresponsive, which the kernel does not detect while a
# middlebox acknowledges the bytes.
_MIN_UNRESPONSIVE_MS = 250.0
_UNRESPONSIVE_FACTOR = 4.0


class HedgedAttempts:
    """Starts further attempts of a request while the first one is late.

    The first attempt runs in the task of the request and is interrupted by
    cancellation, as `asyncio.timeout` does. A task for each attempt would cost
    every request several iterations of the event loop, although few requests
    get a second attempt.

    A hedge only uses a slot that no other request waits for. If an exchange
    lasts much longer, its connection is assumed to be unresponsive, and the
    next attempt waits for a slot like any request.
    """

    def __init__(
        self,
        dependencies: attempts.Dependencies,
        run: Callable[[attempts.Attempt], Awaitable[attempts.Attempt]],
        first: attempts.Attempt,
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ):
        self._dependencies = dependencies
        self._run = run
        self._request = first.request
        self._attempts = [first]
        self._hedges = hedges
        self._retries = retries
        self._request_task = asyncio.current_task()
        self._cancel_count = self._request_task.cancelling()
        self._further_tasks: list[asyncio.Task[attempts.Attempt]] = []
        self._winner: asyncio.Task[attempts.Attempt] | None = None
        self._is_over = False
        p95_ms = dependencies.policy.p95_ms(self._request.service)
        self._hedge_ms = max(_MIN_HEDGE_DELAY_MS, p95_ms)
        self._unresponsive_ms = max(
            _MIN_UNRESPONSIVE_MS, _UNRESPONSIVE_FACTOR * p95_ms
        )
        self._timer: asyncio.TimerHandle | None = None
        self._schedule_check(self._hedge_ms)

    def _schedule_check(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, self._start_if_late)

    def _start_if_late(self) -> None:
        """Start another attempt if the last one is late."""
        if self._is_over or len(self._attempts) >= MAX_ATTEMPTS:
            return
        latest = self._attempts[-1]
        if latest.lease is None and not latest.spare_only:
            # The wait for a slot does not count, because another attempt would
            # have to wait for a slot as well.
            latest.on_lease = self._start_if_late
            return
        sent = latest if latest.lease is not None else self._attempts[-2]
        elapsed_ms = self._dependencies.clock.now_ms() - sent.lease.granted_ms
        if latest is sent and len(self._attempts) == 1:
            if elapsed_ms < self._hedge_ms:
                self._schedule_check(self._hedge_ms - elapsed_ms)
                return
            if self._may_hedge(sent) and self._hedges.try_consume():
                self._dependencies.counters.count_hedge()
                self._start_attempt(sent, spare_only=True)
                return
        if elapsed_ms < self._unresponsive_ms:
            self._schedule_check(self._unresponsive_ms - elapsed_ms)
        else:
            self._retry_on_unresponsive(sent)

    def _may_hedge(self, late: attempts.Attempt) -> bool:
        policy = self._dependencies.policy
        service = self._request.service
        excluded = late.excluded | {late.lease.target.id}
        return policy.has_target(service, excluded) and policy.has_spare_slots(
            service
        )

    def _excluded_targets(self, late: attempts.Attempt) -> frozenset[str]:
        """Return the targets that a concurrent attempt must not use.

        If there is no other target, none is excluded: a new connection to the
        same target may still get a response.
        """
        last = frozenset({late.lease.target.id})
        if len(self._attempts) == 1:
            last |= late.excluded
        policy = self._dependencies.policy
        has_other = policy.has_target(self._request.service, last)
        return last if has_other else frozenset()

    def _retry_on_unresponsive(self, unresponsive: attempts.Attempt) -> None:
        if self._request.attempt > 0 or not self._retries.try_consume():
            return
        if self._attempts[-1] is not unresponsive:
            # The hedge still waits for a slot.
            self._attempts.pop()
            self._cancel_attempt(self._further_tasks.pop())
        reason = errors.Reason.CONNECTION_SILENT
        self._dependencies.counters.count_retry(reason)
        self._start_attempt(unresponsive, spare_only=False)

    def _start_attempt(
        self, late: attempts.Attempt, *, spare_only: bool
    ) -> None:
        attempt = attempts.Attempt(
            self._dependencies,
            self._request,
            self._excluded_targets(late),
            is_first=False,
            spare_only=spare_only,
        )
        self._attempts.append(attempt)
        task = asyncio.ensure_future(self._run(attempt))
        task.add_done_callback(self._on_attempt_done)
        self._further_tasks.append(task)
        self._schedule_check(self._hedge_ms)

    def _on_attempt_done(self, task: asyncio.Task) -> None:
        # A failed further attempt leaves the result to the other ones.
        if self._is_over or task.cancelled() or task.exception():
            return
        if self._winner is None:
            self._winner = task
            self._request_task.cancel()

    async def wait_for_winner(
        self, failure: BaseException
    ) -> attempts.Attempt | None:
        """Return the successful further attempt after the first one has ended.

        Args:
            failure: Error or cancellation that ended the first attempt.

        Returns:
            The attempt, or None if no further attempt succeeded, so that
            `failure` is the result of the request.
        """
        self._stop_timer()
        if self._winner is not None:
            # A cancellation of the request from outside takes precedence.
            if self._request_task.uncancel() > self._cancel_count:
                self._winner = None
                return None
            return self._winner_result(failure)
        if isinstance(failure, asyncio.CancelledError):
            return None
        pending = set(self._further_tasks)
        while pending and self._winner is None:
            # With `await task` a cancellation of the request could not be
            # distinguished from one of the attempt.
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                self._record_end(task, failure)
        return self._winner_result(failure)

    def _record_end(
        self, task: asyncio.Task, failure: "attempts.AttemptError"
    ) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self._winner = self._winner or task
        elif isinstance(error, attempts.AttemptError):
            failure.merge(error)
        else:
            steps.log_unexpected_error(_LOG, "exchange", error)
            failure.may_have_run = True

    def _winner_result(self, failure: BaseException) -> attempts.Attempt | None:
        if self._winner is None:
            return None
        if isinstance(failure, attempts.AttemptError):
            failure.discard()
        return self._winner.result()

    def close(self) -> None:
        """Cancel all further attempts except the successful one."""
        self._stop_timer()
        for task in self._further_tasks:
            if task is not self._winner:
                self._cancel_attempt(task)

    def _cancel_attempt(self, task: asyncio.Task) -> None:
        task.cancel()
        task.add_done_callback(_discard_result)

    def _stop_timer(self) -> None:
        self._is_over = True
        self._attempts[-1].on_lease = None
        self._timer.cancel()


def _discard_result(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    failure = task.exception()
    if failure is None:
        task.result().abandon()
    elif isinstance(failure, attempts.AttemptError):
        failure.discard()
