"""One attempt of a request: a slot, an exchange and what came of it."""

from collections.abc import Callable
import dataclasses

from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import leases
from slatechute import metrics
from slatechute import requests
from slatechute import statechart
from slatechute.policies import base
from slatechute.util import clock as clocks

__all__ = ["Attempt", "AttemptError", "Parts"]

_CHART = statechart.load("request")
# A lease that is older when its exchange would start may have passed on.
_LEASE_START_MS = 250.0
_RETRYABLE_STATUS = frozenset({500, 502, 503, 504})

_STATE_BY_STEP = {
    errors.Step.CONNECTING: "connecting",
    errors.Step.WRITTEN: "written",
    errors.Step.READING: "reading",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Parts of the entry that an attempt uses.

    Attributes:
        policy: Chooses slots.
        client: Connections to targets.
        clock: Monotonic clock.
        bus: Events between the parts.
        counters: Metrics of the entry.
    """

    policy: base.Policy
    client: exchange.TargetClient
    clock: clocks.Clock
    bus: events.EventBus
    counters: metrics.Metrics


class AttemptError(Exception):
    """An attempt that gave no usable answer.

    Attributes:
        error: What the caller would get.
        target_ids: Targets concerned.
        may_have_run: Whether the attempt, or one beside it, may have run.
        crashed: Whether the target died while it ran the request.
        response_attempt: Attempt to pass on when there is no further one.
    """

    def __init__(
        self,
        error: errors.RequestError,
        target_id: str = "",
        *,
        crashed: bool = False,
        response_attempt: "Attempt | None" = None,
    ):
        super().__init__(str(error))
        self.error = error
        self.target_ids = {target_id} if target_id else set()
        self.may_have_run = error.outcome is not errors.Outcome.NOT_RUN
        self.crashed = crashed
        self.response_attempt = response_attempt

    def merge(self, other: "AttemptError") -> None:
        """Let this failure speak for another attempt as well."""
        self.may_have_run = self.may_have_run or other.may_have_run
        self.target_ids |= other.target_ids

    def discard(self) -> None:
        """Give up the answer that came with the failure."""
        if self.response_attempt is not None:
            self.response_attempt.abandon()
            self.response_attempt = None


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
        response: Answer of the target; its body may have to be streamed.
        service_ms: Time of the exchange once it has ended.
    """

    def __init__(
        self,
        parts: Parts,
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
        self.response: exchange.TargetResponse | None = None
        self.service_ms = 0.0
        self._parts = parts
        self._state = _CHART.initial
        self._started_ms = 0.0
        self._released = False

    def _fire(self, event: str) -> None:
        self._state = _CHART.next(self._state, event)

    async def execute(self) -> "Attempt":
        """Wait for a slot, send the request and return the answer.

        Raises:
            AttemptError: There was no usable answer.
        """
        await self._acquire()
        parts = self._parts
        now_ms = parts.clock.now_ms()
        self._started_ms = now_ms
        self._fire("connect")
        # From here on bytes may have been written, until the client says that
        # the connection was never made.
        self._fire("connected")
        try:
            answer = await parts.client.send(
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
        self.response = answer
        self._check_answer(answer)
        return self

    async def _acquire(self) -> None:
        request = self.request
        parts = self._parts
        self._fire("wait")
        while self.lease is None:
            try:
                lease = await parts.policy.acquire(
                    request.service,
                    request.deadline_ms,
                    bulk=request.rule.bulk,
                    excluded=self.excluded,
                    spare_only=self.is_spare,
                )
            except errors.RequestError as error:
                raise AttemptError(error) from error
            if parts.clock.now_ms() - lease.granted_ms > _LEASE_START_MS:
                # This process was paused since the grant.
                parts.policy.release(lease, leases.Result.UNUSED, 0.0)
                parts.counters.count_retry(errors.Reason.LEASE_STALE)
            else:
                self.lease = lease
        self._fire("grant")
        if self.on_lease is not None:
            self.on_lease()

    def _check_answer(self, answer: exchange.TargetResponse) -> None:
        target_id = self.lease.target.id
        if answer.leaving:
            bus = self._parts.bus
            bus.emit(events.TargetLeaving(target_id, "answer"))
        if answer.not_run:
            self.finish(leases.Result.SHED)
            answer.close()
            error = self._error(
                errors.Reason.TARGET_SHED, errors.Outcome.NOT_RUN, 503
            )
            raise AttemptError(error, target_id)
        if answer.status >= 500:
            self.finish(leases.Result.FAILED)
            if answer.status in _RETRYABLE_STATUS:
                error = self._error(
                    errors.Reason.TARGET_ERROR, errors.Outcome.UNKNOWN, 502
                )
                raise AttemptError(error, target_id, response_attempt=self)
        elif answer.body is not None:
            self.finish(leases.Result.OK)

    def _exchange_failed(self, err: exchange.ExchangeError) -> AttemptError:
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
    ) -> AttemptError:
        """Return the failure of this attempt in its present state."""
        outcome = _CHART.attribute(self._state, "outcome")
        if self.lease is not None:
            self.finish(result)
        error = self._error(reason, errors.Outcome(outcome), status)
        target_id = self.lease.target.id if self.lease else ""
        return AttemptError(error, target_id)

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
        self.service_ms = self._parts.clock.now_ms() - self._started_ms
        policy = self._parts.policy
        policy.release(self.lease, result, self.service_ms)

    def abandon(self) -> None:
        """Give up an answer that is not passed on."""
        self.response.close()
        self.finish(leases.Result.CANCELLED)
