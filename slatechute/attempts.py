"""One attempt of a request: a slot, an exchange and its result."""

from collections.abc import Callable
import dataclasses

from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import leases
from slatechute import logs
from slatechute import metrics
from slatechute import requests
from slatechute import statechart
from slatechute.policies import base
from slatechute.util import clock as clocks

__all__ = ["Attempt", "AttemptError", "Dependencies"]

_LOG = logs.get_logger(__name__)
_CHART = statechart.load("request")
# The slot of an older lease may have been granted to another request before the
# exchange starts.
_MAX_LEASE_AGE_MS = 250.0
_RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})
_MAX_LOGGED_ID = 100

_STATE_BY_STEP = {
    errors.Step.CONNECTING: "connecting",
    errors.Step.WRITTEN: "written",
    errors.Step.READING: "reading",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Components of the entry that an attempt uses.

    Attributes:
        policy: Chooses slots.
        client: Connections to targets.
        clock: Monotonic clock.
        bus: Event bus of the entry.
        counters: Metrics of the entry.
    """

    policy: base.Policy
    client: exchange.TargetClient
    clock: clocks.Clock
    bus: events.EventBus
    counters: metrics.Metrics


class AttemptError(Exception):
    """An attempt ended without a usable response.

    Attributes:
        error: Error for the caller, unless a further attempt succeeds.
        target_ids: Targets of the attempt and of concurrent ones.
        may_have_run: Whether the attempt, or a concurrent one, may have run.
        crashed: Whether the target may have crashed: the connection failed
            after the request was written.
        response_attempt: Attempt whose error response is passed on if there is
            no further attempt.
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
        """Add the failure of a concurrent attempt to this one."""
        self.may_have_run = self.may_have_run or other.may_have_run
        self.target_ids |= other.target_ids

    def discard(self) -> None:
        """Abandon the response that belongs to the failure."""
        if self.response_attempt is not None:
            self.response_attempt.abandon()
            self.response_attempt = None


class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request.
        excluded: Targets that must not receive it.
        is_first: Whether it is the first exchange of the request. Others only
            use connections that are new or were used moments ago.
        spare_only: Whether it only gets a slot that no other request waits for.
        lease: Slot that it uses until `finish`; None while it waits.
        on_lease: Called when the attempt has got a lease, or None.
        response: Response of the target; its body may have to be streamed.
        service_ms: Duration of the exchange, 0 until it has ended.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        request: requests.Request,
        excluded: frozenset[str],
        *,
        is_first: bool,
        spare_only: bool = False,
    ):
        self.request = request
        self.excluded = excluded
        self.is_first = is_first
        self.spare_only = spare_only
        self.on_lease: Callable[[], None] | None = None
        self.lease: leases.Lease | None = None
        self.response: exchange.TargetResponse | None = None
        self.service_ms = 0.0
        self._dependencies = dependencies
        self._state = _CHART.initial
        self._started_ms = 0.0
        self._is_released = False

    def _apply_event(self, event: str) -> None:
        self._state = _CHART.next(self._state, event)

    async def execute(self) -> "Attempt":
        """Wait for a slot and send the request.

        Returns:
            This attempt, with its response.

        Raises:
            AttemptError: There was no usable response.
        """
        await self._acquire()
        dependencies = self._dependencies
        now_ms = dependencies.clock.now_ms()
        self._started_ms = now_ms
        self._apply_event("connect")
        # From here on bytes may have been written, unless the client reports
        # that the connection was not established.
        self._apply_event("connected")
        try:
            response = await dependencies.client.send(
                self.lease.target.address,
                self.request,
                self.request.deadline_ms - now_ms,
                is_first=self.is_first,
            )
        except exchange.ExchangeError as err:
            raise self._fail_exchange(err) from err
        except BaseException:
            self.finish(leases.Result.CANCELLED)
            raise
        self._apply_event("headers")
        self.response = response
        self._check_response(response)
        return self

    async def _acquire(self) -> None:
        request = self.request
        dependencies = self._dependencies
        self._apply_event("wait")
        while self.lease is None:
            try:
                lease = await dependencies.policy.acquire(
                    request.service,
                    request.deadline_ms,
                    bulk=request.rule.bulk,
                    excluded=self.excluded,
                    spare_only=self.spare_only,
                )
            except errors.RequestError as error:
                raise AttemptError(error) from error
            if (
                dependencies.clock.now_ms() - lease.granted_ms
                > _MAX_LEASE_AGE_MS
            ):
                # This process was paused since the grant.
                dependencies.policy.release(lease, leases.Result.UNUSED, 0.0)
                dependencies.counters.count_retry(errors.Reason.LEASE_STALE)
            else:
                self.lease = lease
        self._apply_event("grant")
        if self.on_lease is not None:
            self.on_lease()

    def _check_response(self, response: exchange.TargetResponse) -> None:
        target_id = self.lease.target.id
        if response.leaving:
            bus = self._dependencies.bus
            bus.emit(events.TargetLeaving(target_id, "answer"))
        if response.not_run:
            self.finish(leases.Result.SHED)
            response.close()
            error = self._request_error(
                errors.Reason.TARGET_SHED, errors.Outcome.NOT_RUN, 503
            )
            raise AttemptError(error, target_id)
        if response.status >= 500:
            self.finish(leases.Result.FAILED)
            if response.status in _RETRYABLE_STATUSES:
                error = self._request_error(
                    errors.Reason.TARGET_ERROR, errors.Outcome.UNKNOWN, 502
                )
                raise AttemptError(error, target_id, response_attempt=self)
        elif response.body is not None:
            self.finish(leases.Result.OK)

    def _fail_exchange(self, err: exchange.ExchangeError) -> AttemptError:
        if isinstance(err, exchange.MisplacedResponseError):
            self._report_misplaced(err)
        self._state = _STATE_BY_STEP[err.step]
        not_run = _CHART.attribute(self._state, "outcome") == "not-run"
        reason = (
            errors.Reason.CONNECT_FAILED
            if not_run
            else errors.Reason.CONNECTION_LOST
        )
        crashed = err.step is errors.Step.WRITTEN
        result = leases.Result.CRASHED if crashed else leases.Result.FAILED
        failure = self.fail(reason, result, status=503 if not_run else 502)
        failure.crashed = crashed
        return failure

    def _report_misplaced(self, err: exchange.MisplacedResponseError) -> None:
        self._dependencies.counters.count_misplaced_response()
        _LOG.notice(
            "response_misplaced",
            target=self.lease.target.id,
            request_id=self.request.id,
            answered_id=err.answered_id[:_MAX_LOGGED_ID],
            status=err.status,
        )

    def fail(
        self, reason: errors.Reason, result: leases.Result, *, status: int
    ) -> AttemptError:
        """End the lease and return the error of this attempt."""
        outcome = _CHART.attribute(self._state, "outcome")
        if self.lease is not None:
            self.finish(result)
        error = self._request_error(reason, errors.Outcome(outcome), status)
        target_id = self.lease.target.id if self.lease else ""
        return AttemptError(error, target_id)

    def _request_error(
        self, reason: errors.Reason, outcome: errors.Outcome, status: int
    ) -> errors.RequestError:
        peer = self.lease.target.id if self.lease else ""
        step = errors.Step(self._state)
        return errors.RequestError(
            reason, step, peer, outcome=outcome, status=status
        )

    def finish(self, result: leases.Result) -> None:
        """End the lease; further calls have no effect."""
        if self._is_released:
            return
        self._is_released = True
        self.service_ms = self._dependencies.clock.now_ms() - self._started_ms
        policy = self._dependencies.policy
        policy.release(self.lease, result, self.service_ms)

    def abandon(self) -> None:
        """Close a response that is not passed on."""
        self.response.close()
        self.finish(leases.Result.CANCELLED)
