"""Requests of callers: admission, responses, refusals and their logs."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import random

from slatechute import errors
from slatechute import logs
from slatechute import metrics
from slatechute import quarantine
from slatechute.gateway import attempt_sharing
from slatechute.gateway import caller_retries
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import explaining
from slatechute.gateway import forwarding
from slatechute.gateway import http_server
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.gateway import splitting
from slatechute.util import clock as clocks
from slatechute.util import headers as util_headers
from slatechute.util import memory

__all__ = ["CallerServer"]

_LOG = logs.get_logger(__name__)
_FAILURE_LOG = logs.get_logger(f"{__name__}.failures")
# Operators must be able to find failed requests by id, also during overload.
_FAILURE_LOG.lines_per_s = 40

# Targets need the Host header. Content-Length is recomputed, because the body
# may have arrived with chunked encoding.
_DROPPED_HEADERS = util_headers.HOP_BY_HOP - {"host"} | {
    "content-length",
    "expect",
}
# Shortest time for the headers of a request. The timeout of the configuration
# may be shorter than a pause of this host.
_MIN_HEADER_TIMEOUT_S = 5.0
# Requests without a deadline are limited by the timeout of their route.
_DEFAULT_DEADLINE_MS = 600_000.0
# Retry-After of a draining entry: the caller can retry at another address
# immediately.
_DRAINING_RETRY_AFTER_MS = 20
# Retry-After of a request that was given up for memory. Callers that stop
# within a body hold it for some seconds.
_MEMORY_RETRY_AFTER_MS = 300
# Longest time for the last responses of a stop on their way to callers.
_LAST_RESPONSES_S = 0.2
# Time from the start of an entry until it has read its configuration, unless
# the platform and all peers are unavailable, with a margin.
_USUAL_START_MS = 350.0
_MIN_STARTING_RETRY_AFTER_MS = 60.0
# For an entry that takes longer to start.
_STARTING_RETRY_AFTER_MS = 1_000.0

# Callers do not repeat requests that were refused for these reasons.
_FINAL_REASONS = frozenset(
    {
        errors.Reason.BAD_REQUEST,
        errors.Reason.BODY_TOO_LARGE,
        errors.Reason.UNKNOWN_SERVICE,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Times:
    """Times of an accepted request, as clock times.

    Attributes:
        arrived_ms: When it arrived.
        first_ms: When the first attempt of its caller was.
        objective_ms: Until when a response has its full value.
        deadline_ms: By when it must have ended.
    """

    arrived_ms: float
    first_ms: float
    objective_ms: float
    deadline_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class _ForwardedRequest:
    """A request that is being forwarded.

    Attributes:
        task: Task that waits for its response.
        trace: Its history.
        is_ended: Whether the stop of the entry has ended it.
    """

    task: asyncio.Task
    trace: forwarding.Trace
    is_ended: bool = False

    @property
    def is_at_target(self) -> bool:
        """Whether a target may be running it."""
        return any(
            record.evidence.is_received and not record.is_ended
            for record in self.trace.exchanges
        )

    def end(self) -> None:
        """End it without a response of a target."""
        if not self.is_ended:
            self.is_ended = True
            self.task.cancel()


class CallerServer:
    """Accepts requests of callers and returns the responses of targets.

    Attributes:
        body_bytes: Bytes of the bodies of requests and responses so far.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        catalogue: catalogues.Catalogue,
        forwarder: forwarding.Forwarder,
        attempts: attempt_sharing.AttemptSharing,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        on_request: Callable[[], None] = lambda: None,
        wait_confirmed: Callable[[], Awaitable[None]] | None = None,
        account: memory.MemoryAccount | None = None,
    ):
        self.body_bytes = 0
        self._on_request = on_request
        self._wait_confirmed = wait_confirmed
        self._dialect = dialect
        self._catalogue = catalogue
        self._forwarder = forwarder
        self._attempts = attempts
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._counters = counters
        self._splitter = splitting.Splitter(random.Random())
        self._drain_deadline_ms: float | None = None
        self._is_refusing = False
        self._forwarded: set[_ForwardedRequest] = set()
        self._server = http_server.HttpServer(
            settings.callers_address,
            self._handle,
            limits=self._limits,
            refuse_early=self._refuse_early,
            max_connections=settings.max_connections,
            on_refused=lambda reason: counters.count_refusal(
                reason, errors.Outcome.NOT_RUN, ""
            ),
            account=account,
            refuse_for_memory=self._refuse_for_memory,
        )

    @property
    def in_flight(self) -> int:
        """Number of in-flight requests."""
        return self._server.active_requests

    @property
    def requests(self) -> int:
        """Number of requests since the start."""
        return self._server.requests

    @property
    def idle_ms(self) -> float:
        """Time since the last request arrived, in ms."""
        now_s = asyncio.get_running_loop().time()
        return (now_s - self._server.last_request_s) * 1000

    def _limits(self) -> http_server.Limits:
        table = self._catalogue.table
        if table is None:
            return http_server.Limits()
        limits = table.limits
        return http_server.Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=max(
                _MIN_HEADER_TIMEOUT_S, limits.header_timeout_s
            ),
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def start(self) -> None:
        """Start to listen on the address for callers.

        Raises:
            OSError: The address is not available.
        """
        await self._server.start()

    async def stop(self) -> None:
        """Answer all requests now and close the server and all connections."""
        self.refuse_unsent()
        for forwarded in list(self._forwarded):
            forwarded.end()
        await self._server.finish(_LAST_RESPONSES_S)
        await self._server.stop()

    def start_draining(self, drain_deadline_ms: float) -> None:
        """Accept only requests that end before a deadline.

        Args:
            drain_deadline_ms: Time on the monotonic clock.
        """
        self._drain_deadline_ms = drain_deadline_ms

    def refuse_unsent(self) -> None:
        """Refuse all requests that no target has, from now on."""
        self._is_refusing = True
        self._server.recheck_incoming()
        for forwarded in list(self._forwarded):
            if not forwarded.is_at_target:
                forwarded.end()

    def discard_removed_routes(self) -> None:
        """Discard the state of routes that the active table does not have."""
        table = self._catalogue.table
        self._splitter.retain_routes(table)
        self._attempts.retries.retain_routes(
            {(route.host, route.prefix) for route in table.routes()}
        )

    # Requests.

    def _refuse_early(
        self, http_request: http_server.Request
    ) -> http_server.Response | None:
        """Refuse a request before its body.

        That is while the limit of its body is not known, and in the last part
        of a stop, in which the body may not arrive any more.
        """
        if self._is_refusing:
            error = _draining_error()
        elif self._catalogue.table is None:
            error = self._starting_error()
        else:
            return None
        return self._build_refusal(
            http_request,
            None,
            error,
            forwarding.Trace(),
            self._clock.now_ms(),
        )

    def _refuse_for_memory(
        self, http_request: http_server.Request | None
    ) -> http_server.Response:
        """Refuse a request that has not arrived, as others need the memory."""
        error = errors.RequestError(
            errors.Reason.MEMORY,
            errors.Step.ACCEPTED,
            retry_after_ms=_MEMORY_RETRY_AFTER_MS,
        )
        return self._build_refusal(
            http_request or http_server.Request(None),
            None,
            error,
            forwarding.Trace(),
            self._clock.now_ms(),
        )

    def _starting_error(self) -> errors.RequestError:
        """Return the error for requests before the first configuration."""
        uptime_ms = self._clock.now_ms() - self._started_ms
        retry_after_ms = _STARTING_RETRY_AFTER_MS
        if uptime_ms < _USUAL_START_MS:
            retry_after_ms = max(
                _MIN_STARTING_RETRY_AFTER_MS, _USUAL_START_MS - uptime_ms
            )
        return errors.RequestError(
            errors.Reason.STARTING,
            errors.Step.ACCEPTED,
            retry_after_ms=int(retry_after_ms),
        )

    async def _handle(
        self, http_request: http_server.Request
    ) -> http_server.Response:
        self._on_request()
        now_ms = self._clock.now_ms()
        received_s = asyncio.get_running_loop().time() - http_request.started_s
        arrived_ms = now_ms - received_s * 1000
        trace = forwarding.Trace()
        request = None
        try:
            if http_request.connection.is_over_limit:
                raise errors.RequestError(
                    errors.Reason.OVERLOAD, errors.Step.ACCEPTED
                )
            if self._wait_confirmed is not None:
                await self._wait_confirmed()
            trace.configuration = self._catalogue.describe()
            request = self._accept(http_request, arrived_ms)
            target_response = await self._forward(request, trace)
            response = self._build_response(request, target_response, trace)
        except errors.RequestError as error:
            response = self._build_refusal(
                http_request, request, error, trace, arrived_ms
            )
        except asyncio.CancelledError:
            self._record_disconnect(request, trace, arrived_ms)
            raise
        response.close = (
            self._drain_deadline_ms is not None
            or self._is_refusing
            or http_request.connection.is_over_limit
        )
        return response

    async def _forward(
        self, request: forwarding.CallerRequest, trace: forwarding.Trace
    ) -> connections.TargetResponse:
        """Return the response of a target, unless a stop ends the request.

        Raises:
            errors.RequestError: There is no response.
        """
        task = asyncio.current_task()
        cancellations = task.cancelling()
        forwarded = _ForwardedRequest(task, trace)
        self._forwarded.add(forwarded)
        try:
            return await self._forwarder.forward(request, trace)
        except asyncio.CancelledError:
            # The connection of the caller may have ended as well.
            if not forwarded.is_ended or task.uncancel() > cancellations:
                raise
            raise _draining_error(trace) from None
        finally:
            self._forwarded.discard(forwarded)

    def _accept(
        self, http_request: http_server.Request, arrived_ms: float
    ) -> forwarding.CallerRequest:
        """Find the route of a request and check whether it can be served.

        Raises:
            errors.RequestError: The request cannot be accepted.
        """
        headers = http_request.header_by_name
        path = http_request.target
        route = self._find_route(headers.get("host", ""), path)
        try:
            caller_deadline_ms = self._dialect.deadline_ms(headers)
        except ValueError:
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=400
            ) from None
        elapsed_ms = self._elapsed_ms(
            route,
            _attempt_key(headers.get("host", ""), http_request.method, path),
            caller_deadline_ms,
            arrived_ms,
        )
        if caller_deadline_ms is not None and not elapsed_ms:
            self._attempts.retries.record_first(
                (route.host, route.prefix), caller_deadline_ms
            )
        times = self._request_times(
            route, caller_deadline_ms, elapsed_ms, arrived_ms
        )
        return forwarding.CallerRequest(
            self._dialect.request_id(headers),
            http_request.method,
            path,
            self._forwarded_headers(http_request),
            http_request.body,
            route,
            self._splitter.choose(route),
            times.arrived_ms,
            times.first_ms,
            times.objective_ms,
            times.deadline_ms,
        )

    def explain(self, query: explaining.Query) -> explaining.RequestExplanation:
        """Return what would be decided on a request that arrives now.

        Nothing is sent, counted or changed.

        Raises:
            errors.RequestError: There is no configuration or no route.
        """
        if self._catalogue.table is None:
            raise self._starting_error()
        now_ms = self._clock.now_ms()
        route = self._find_route(query.host, query.path)
        service = self._splitter.peek(route)
        request, selection, error = None, None, None
        try:
            elapsed_ms = self._elapsed_ms(
                route,
                _attempt_key(query.host, query.method, query.path),
                query.deadline_ms,
                now_ms,
            )
            times = self._request_times(
                route, query.deadline_ms, elapsed_ms, now_ms
            )
            request = forwarding.CallerRequest(
                "",
                query.method,
                query.path,
                [],
                b"",
                route,
                service,
                times.arrived_ms,
                times.first_ms,
                times.objective_ms,
                times.deadline_ms,
            )
            selection, error = self._forwarder.explain(request)
        except errors.RequestError as refusal:
            error = refusal
        return explaining.RequestExplanation(
            route,
            service,
            request,
            selection,
            error,
        )

    def _find_route(self, host: str, path: str) -> routing.Route:
        """Return the route of a request.

        Raises:
            errors.RequestError: There is none.
        """
        route = self._catalogue.table.match(host, path)
        if route is None:
            raise errors.RequestError(
                errors.Reason.UNKNOWN_SERVICE, errors.Step.ACCEPTED, status=404
            )
        return route

    def _request_times(
        self,
        route: routing.Route,
        caller_deadline_ms: float | None,
        elapsed_ms: float,
        arrived_ms: float,
    ) -> _Times:
        """Return the times of a request.

        Raises:
            errors.RequestError: This entry stops before the deadline.
        """
        remaining_ms = min(
            caller_deadline_ms or _DEFAULT_DEADLINE_MS, route.timeout_ms
        )
        deadline_ms = arrived_ms + remaining_ms
        self._check_draining(deadline_ms)
        return _Times(
            arrived_ms,
            arrived_ms - elapsed_ms,
            min(arrived_ms - elapsed_ms + route.objective_ms, deadline_ms),
            deadline_ms,
        )

    def _elapsed_ms(
        self,
        route: routing.Route,
        key: str,
        caller_deadline_ms: float | None,
        arrived_ms: float,
    ) -> float:
        """Return the time since the first attempt of the caller in ms, or 0."""
        if caller_deadline_ms is None:
            return 0.0
        retries = self._attempts.retries
        first_ms = retries.first_ms(key, arrived_ms + caller_deadline_ms)
        if first_ms is not None:
            return max(0.0, arrived_ms - first_ms)
        return retries.elapsed_ms(
            (route.host, route.prefix), caller_deadline_ms
        )

    def _record_attempt(
        self,
        http_request: http_server.Request,
        request: forwarding.CallerRequest | None,
        error: errors.RequestError,
        arrived_ms: float,
    ) -> None:
        """Record an attempt that the caller may repeat."""
        is_repeatable = request is not None and request.route.repeatable
        if error.outcome is not errors.Outcome.NOT_RUN and not is_repeatable:
            return
        headers = http_request.header_by_name
        try:
            allowed_ms = self._dialect.deadline_ms(headers)
        except ValueError:
            return
        if allowed_ms is None or error.reason in _FINAL_REASONS:
            return
        first_ms = request.first_ms if request is not None else arrived_ms
        key = _attempt_key(
            headers.get("host", ""), http_request.method, http_request.target
        )
        self._attempts.record(
            caller_retries.FailedAttempt(key, first_ms, arrived_ms + allowed_ms)
        )

    def _check_draining(self, deadline_ms: float) -> None:
        if self._is_refusing or (
            self._drain_deadline_ms is not None
            and deadline_ms > self._drain_deadline_ms
        ):
            raise _draining_error()

    def _forwarded_headers(
        self, http_request: http_server.Request
    ) -> list[tuple[str, str]]:
        by_name = http_request.header_by_name
        end_to_end = util_headers.end_to_end_headers(
            http_request.headers,
            by_name.get("connection", ""),
            _DROPPED_HEADERS,
        )
        kept = [
            (key, value)
            for key, value in end_to_end
            if not self._dialect.is_reserved_header(key.lower())
        ]
        body = http_request.body
        if body or "content-length" in by_name:
            kept.append(("Content-Length", str(len(body))))
        return kept

    # Responses.

    def _build_response(
        self,
        request: forwarding.CallerRequest,
        target_response: connections.TargetResponse,
        trace: forwarding.Trace,
    ) -> http_server.Response:
        total_ms = self._clock.now_ms() - request.arrived_ms
        added_ms = min(total_ms, trace.steps[-1]["at_ms"])
        self._counters.observe_latencies(total_ms / 1e3, added_ms / 1e3)
        self.body_bytes += len(request.body) + len(target_response.body)
        event = "request_answered"
        if target_response.status >= 500:
            event = "request_failed_at_target"
        self._log_request(
            event,
            request,
            trace,
            status=target_response.status,
            total_ms=total_ms,
        )
        return http_server.Response(
            target_response.status,
            target_response.body,
            [
                (key, value)
                for key, value in target_response.headers
                if key.lower() not in _DROPPED_HEADERS
            ],
        )

    def _build_refusal(
        self,
        http_request: http_server.Request,
        request: forwarding.CallerRequest | None,
        error: errors.RequestError,
        trace: forwarding.Trace,
        arrived_ms: float,
    ) -> http_server.Response:
        service = request.service if request else ""
        self._counters.count_refusal(error.reason, error.outcome, service)
        self._record_attempt(http_request, request, error, arrived_ms)
        is_not_run = error.outcome is errors.Outcome.NOT_RUN
        event = "request_refused" if is_not_run else "request_failed"
        self._log_request(
            event,
            request,
            trace,
            request_id=self._dialect.request_id(http_request.header_by_name),
            path=http_request.target[:200],
            reason=error.reason,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome,
            status=error.status,
            retry_after_ms=error.retry_after_ms,
            total_ms=self._clock.now_ms() - arrived_ms,
        )
        headers: Mapping[str, str] = {}
        if is_not_run and error.status in (429, 503):
            retry_after_s = error.retry_after_ms / 1000
            headers = self._dialect.refusal_headers(retry_after_s)
        return http_server.Response(
            error.status, f"{error.reason}\n".encode(), list(headers.items())
        )

    def _record_disconnect(
        self,
        request: forwarding.CallerRequest | None,
        trace: forwarding.Trace,
        arrived_ms: float,
    ) -> None:
        service = request.service if request else ""
        self._counters.count_refusal(
            errors.Reason.CALLER_GONE, errors.Outcome.UNKNOWN, service
        )
        total_ms = self._clock.now_ms() - arrived_ms
        self._log_request(
            "request_abandoned", request, trace, total_ms=total_ms
        )

    def _log_request(
        self,
        event: str,
        request: forwarding.CallerRequest | None,
        trace: forwarding.Trace,
        *,
        total_ms: float,
        **fields: object,
    ) -> None:
        fields |= trace.configuration or self._catalogue.describe()
        if request is not None:
            fields |= {
                "request_id": request.id,
                "route": f"{request.route.host}{request.route.prefix}",
                "service": request.service,
                "objective_left_ms": round(
                    request.objective_ms - request.arrived_ms
                ),
                "deadline_left_ms": round(
                    request.deadline_ms - request.arrived_ms
                ),
                "returned": request.is_caller_retry,
            }
            if event != "request_answered":
                fields |= self._forwarder.describe(request, trace)
        logger = _LOG if event == "request_answered" else _FAILURE_LOG
        logger.info(
            event, total_ms=round(total_ms, 1), exchanges=trace.steps, **fields
        )


def _draining_error(
    trace: forwarding.Trace | None = None,
) -> errors.RequestError:
    """Return the error for requests that a stopping entry does not finish.

    Args:
        trace: History of the request if it was accepted.
    """
    if trace is None:
        step, peer = errors.Step.ACCEPTED, ""
    else:
        step = errors.Step.WRITTEN if trace.sent else errors.Step.WAITING
        peer = trace.steps[-1]["target"] if trace.steps else ""
    if trace is not None and trace.may_have_run:
        return errors.RequestError(
            errors.Reason.DEADLINE,
            step,
            peer,
            outcome=errors.Outcome.UNKNOWN,
            status=504,
        )
    return errors.RequestError(
        errors.Reason.STARTING,
        step,
        peer,
        retry_after_ms=_DRAINING_RETRY_AFTER_MS,
    )


def _attempt_key(host: str, method: str, path: str) -> str:
    """Return the fingerprint by which attempts of a caller are compared.

    It does not contain the body, which a starting entry does not read.
    """
    return quarantine.fingerprint(host, method, path, b"")
