"""Attempts beside a late one: hedges, and retries of silent connections."""

import asyncio
from collections.abc import Awaitable, Callable

from slatechute import attempts
from slatechute import budgets
from slatechute import errors

__all__ = ["MAX_ATTEMPTS", "Race"]

MAX_ATTEMPTS = 3
_MIN_HEDGE_DELAY_MS = 5.0
# Without a hedge a second exchange starts after this time, or these many p95,
# at the cost of the retry budget: the connection may have gone silent, which
# its kernel does not notice while a middlebox acknowledges the bytes.
_MIN_SILENCE_MS = 250.0
_SILENCE_FACTOR = 4.0


class Race:
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
        parts: attempts.Parts,
        run: Callable[[attempts.Attempt], Awaitable[attempts.Attempt]],
        first: attempts.Attempt,
        hedges: budgets.RatioBudget,
        retries: budgets.RatioBudget,
    ):
        self._parts = parts
        self._run = run
        self._request = first.request
        self._attempts = [first]
        self._hedges = hedges
        self._retries = retries
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling()
        self._others: list[asyncio.Task[attempts.Attempt]] = []
        self._winner: asyncio.Task[attempts.Attempt] | None = None
        self._is_over = False
        p95_ms = parts.policy.p95_ms(self._request.service)
        self._hedge_ms = max(_MIN_HEDGE_DELAY_MS, p95_ms)
        self._silence_ms = max(_MIN_SILENCE_MS, _SILENCE_FACTOR * p95_ms)
        self._timer: asyncio.TimerHandle | None = None
        self._check_later(self._hedge_ms)

    def _check_later(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / 1000, self._check)

    def _check(self) -> None:
        """Start another attempt when the last one is late."""
        if self._is_over or len(self._attempts) >= MAX_ATTEMPTS:
            return
        latest = self._attempts[-1]
        if latest.lease is None and not latest.is_spare:
            # Time spent waiting for a slot does not count: one more exchange
            # would have to wait for one as well.
            latest.on_lease = self._check
            return
        sent = latest if latest.lease is not None else self._attempts[-2]
        elapsed_ms = self._parts.clock.now_ms() - sent.lease.granted_ms
        if latest is sent and len(self._attempts) == 1:
            if elapsed_ms < self._hedge_ms:
                self._check_later(self._hedge_ms - elapsed_ms)
                return
            if self._may_hedge(sent) and self._hedges.try_consume():
                self._parts.counters.count_hedge()
                self._start(sent, is_spare=True)
                return
        if elapsed_ms < self._silence_ms:
            self._check_later(self._silence_ms - elapsed_ms)
        else:
            self._retry_if_allowed(sent)

    def _may_hedge(self, late: attempts.Attempt) -> bool:
        policy = self._parts.policy
        service = self._request.service
        tried = late.excluded | {late.lease.target.id}
        return policy.has_target(service, tried) and policy.has_spare_slots(
            service
        )

    def _excluded_beside(self, late: attempts.Attempt) -> frozenset[str]:
        """Return the targets that an attempt beside others must not use.

        With few targets a new connection to one tried before is better than
        none.
        """
        last = frozenset({late.lease.target.id})
        if len(self._attempts) == 1:
            last |= late.excluded
        policy = self._parts.policy
        has_other = policy.has_target(self._request.service, last)
        return last if has_other else frozenset()

    def _retry_if_allowed(self, silent: attempts.Attempt) -> None:
        if self._request.attempt > 0 or not self._retries.try_consume():
            return
        if self._attempts[-1] is not silent:
            # The hedge has found no slot to spare.
            self._attempts.pop()
            self._drop(self._others.pop())
        reason = errors.Reason.CONNECTION_SILENT
        self._parts.counters.count_retry(reason)
        self._start(silent, is_spare=False)

    def _start(self, late: attempts.Attempt, *, is_spare: bool) -> None:
        attempt = attempts.Attempt(
            self._parts,
            self._request,
            self._excluded_beside(late),
            is_first=False,
            is_spare=is_spare,
        )
        self._attempts.append(attempt)
        task = asyncio.ensure_future(self._run(attempt))
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

    async def settle(self, failure: BaseException) -> attempts.Attempt | None:
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

    def _note_end(
        self, task: asyncio.Task, failure: "attempts.AttemptError"
    ) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self._winner = self._winner or task
        elif isinstance(error, attempts.AttemptError):
            failure.merge(error)

    def _take_winner(self, failure: BaseException) -> attempts.Attempt | None:
        if self._winner is None:
            return None
        if isinstance(failure, attempts.AttemptError):
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
    elif isinstance(failure, attempts.AttemptError):
        failure.discard()
