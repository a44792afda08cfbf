"""HTTP servers of a gateway entry: requests, addresses, readiness, peers."""

import asyncio
from collections.abc import Awaitable, Callable
import random

from aiohttp import web
import multidict

from slatechute import errors
from slatechute import exchange
from slatechute import listener
from slatechute import logs
from slatechute import metrics
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import forwarding
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.gateway import splitting
from slatechute.util import addresses
from slatechute.util import clock as clocks

__all__ = ["CallServer", "SmallServer"]

_LOG = logs.get_logger(__name__)
_FAILURES = logs.get_logger(f"{__name__}.failures")
# Failures have to be found by their id, also during an overload.
_FAILURES.lines_per_s = 40

# Addresses and readiness are asked again within seconds on kept connections.
_KEEPALIVE_S = 75.0
# A target has to see the host; the length is set anew, as a body may have come
# in chunks.
_DROPPED_HEADERS = exchange.HOP_BY_HOP - {"host"} | {
    "content-length",
    "expect",
}
_SHUTDOWN_S = 0.2
# Requests without a deadline end with the timeout of their route.
_NO_DEADLINE_MS = 600_000.0
# Difference between two deadlines of a route that is not a return.
_RETURN_MARGIN_MS = 25.0
# Retry-After of a stopping entry: the caller only has to take another address.
_STOPPING_RETRY_MS = 20


class SmallServer:
    """Server with one handler for all paths."""

    def __init__(
        self,
        address: str,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ):
        self._address = address
        self._handler = handler
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: The address cannot be used.
        """
        server = web.Server(
            self._handler, access_log=None, keepalive_timeout=_KEEPALIVE_S
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_S)
        await self._runner.setup()
        host, port = addresses.split_address(self._address)
        await web.TCPSite(self._runner, host, port, backlog=512).start()

    async def stop(self) -> None:
        """Close the server and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()


class CallServer:
    """Accepts requests of callers and passes answers on.

    Attributes:
        inflight: Requests that are being answered.
        last_call_ms: When the last request arrived.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        catalogue: catalogues.Catalogue,
        forwarder: forwarding.Forwarder,
        clock: clocks.Clock,
        counters: metrics.Metrics,
    ):
        self.inflight = 0
        self.last_call_ms = 0.0
        self._settings = settings
        self._dialect = dialect
        self._catalogue = catalogue
        self._forwarder = forwarder
        self._clock = clock
        self._counters = counters
        self._splitter = splitting.Splitter(random.Random())
        self._usual_deadline_ms: dict[tuple[str, str], float] = {}
        self._stop_ms: float | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on the callers' address.

        Raises:
            OSError: The address cannot be used.
        """
        self._runner = await listener.serve(
            self._handle,
            self._settings.callers_address,
            max_connections=self._settings.max_connections,
            on_refused=lambda reason: self._counters.count_refusal(
                reason, errors.Outcome.NOT_RUN, ""
            ),
            shutdown_timeout=_SHUTDOWN_S,
        )

    async def stop(self) -> None:
        """Close the server and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def begin_stop(self, stop_ms: float) -> None:
        """Accept only what can be answered before a time on the clock."""
        self._stop_ms = stop_ms

    def keep_routes(self) -> None:
        """Forget what is known of routes that are gone."""
        table = self._catalogue.table
        self._splitter.retain_routes(table)
        kept = {(route.host, route.prefix) for route in table.routes()}
        for key in self._usual_deadline_ms.keys() - kept:
            del self._usual_deadline_ms[key]

    # Requests.

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        connection = http.protocol
        connection.is_serving = True
        connection.header_started_s = 0.0
        self.inflight += 1
        arrived_ms = self.last_call_ms = self._clock.now_ms()
        trace = forwarding.Trace()
        call = None
        try:
            if connection.is_over_limit:
                raise errors.RequestError(
                    errors.Reason.OVERLOAD, errors.Step.ACCEPTED
                )
            call = await self._accept(http, arrived_ms)
            answer = await self._forwarder.forward(call, trace)
            response = self._answer(call, answer, trace)
        except errors.RequestError as error:
            response = self._refuse(http, call, error, trace, arrived_ms)
        except asyncio.CancelledError:
            self._caller_gone(call, trace, arrived_ms)
            raise
        finally:
            self.inflight -= 1
            connection.is_serving = False
        if self._stop_ms is not None or connection.is_over_limit:
            response.force_close()
        return response

    async def _accept(
        self, http: web.BaseRequest, arrived_ms: float
    ) -> forwarding.CallerRequest:
        """Read a request and find its route.

        Raises:
            errors.RequestError: It cannot be accepted.
        """
        table = self._catalogue.table
        if table is None:
            raise errors.RequestError(
                errors.Reason.STARTING, errors.Step.ACCEPTED
            )
        body = await listener.read_body(http, table.limits.max_body_bytes)
        # A newer version may have come while the body was read.
        table = self._catalogue.table
        path = http.raw_path
        route = table.match(http.headers.get("Host", ""), path)
        if route is None:
            raise errors.RequestError(
                errors.Reason.UNKNOWN_SERVICE, errors.Step.ACCEPTED, status=404
            )
        try:
            given_ms = self._dialect.deadline_ms(http.headers)
        except ValueError:
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=400
            ) from None
        elapsed_ms = self._elapsed_ms(route, given_ms)
        left_ms = min(given_ms or _NO_DEADLINE_MS, route.timeout_ms)
        self._check_stopping(arrived_ms + left_ms)
        return forwarding.CallerRequest(
            self._dialect.request_id(http.headers),
            http.method,
            path,
            self._end_to_end(http.headers, body),
            body,
            route,
            self._splitter.choose(route),
            arrived_ms,
            arrived_ms + route.objective_ms - elapsed_ms,
            arrived_ms + left_ms,
            elapsed_ms > 0,
        )

    def _elapsed_ms(
        self, route: routing.Route, given_ms: float | None
    ) -> float:
        """Return how long the caller has tried before, by its deadline."""
        if given_ms is None:
            return 0.0
        key = (route.host, route.prefix)
        usual_ms = max(given_ms, self._usual_deadline_ms.get(key, 0.0))
        self._usual_deadline_ms[key] = usual_ms
        elapsed_ms = usual_ms - given_ms
        return elapsed_ms if elapsed_ms > _RETURN_MARGIN_MS else 0.0

    def _check_stopping(self, latest_ms: float) -> None:
        if self._stop_ms is not None and latest_ms > self._stop_ms:
            raise errors.RequestError(
                errors.Reason.STARTING,
                errors.Step.ACCEPTED,
                retry_after_ms=_STOPPING_RETRY_MS,
            )

    def _end_to_end(
        self, headers: multidict.CIMultiDictProxy[str], body: bytes
    ) -> list[tuple[str, str]]:
        kept = [
            (key, value)
            for key, value in exchange.end_to_end_headers(
                headers, _DROPPED_HEADERS
            )
            if not self._dialect.is_reserved_header(key.lower())
        ]
        if body or "Content-Length" in headers:
            kept.append(("Content-Length", str(len(body))))
        return kept

    # Answers.

    def _answer(
        self,
        call: forwarding.CallerRequest,
        answer: connections.TargetResponse,
        trace: forwarding.Trace,
    ) -> web.Response:
        total_ms = self._clock.now_ms() - call.arrived_ms
        added_ms = min(total_ms, trace.steps[-1]["at_ms"])
        self._counters.observe_latencies(total_ms / 1e3, added_ms / 1e3)
        event = "request_answered"
        if answer.status >= 500:
            event = "request_failed_at_target"
        self._log(event, call, trace, status=answer.status, total_ms=total_ms)
        headers = multidict.CIMultiDict(
            (key, value)
            for key, value in answer.headers
            if key.lower() not in exchange.HOP_BY_HOP
            and key.lower() != "content-length"
        )
        return web.Response(
            status=answer.status, headers=headers, body=answer.body
        )

    def _refuse(
        self,
        http: web.BaseRequest,
        call: forwarding.CallerRequest | None,
        error: errors.RequestError,
        trace: forwarding.Trace,
        arrived_ms: float,
    ) -> web.Response:
        service = call.service if call else ""
        self._counters.count_refusal(error.reason, error.outcome, service)
        is_not_run = error.outcome is errors.Outcome.NOT_RUN
        event = "request_refused" if is_not_run else "request_failed"
        self._log(
            event,
            call,
            trace,
            request_id=self._dialect.request_id(http.headers),
            path=http.raw_path[:200],
            reason=error.reason,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome,
            status=error.status,
            retry_after_ms=error.retry_after_ms,
            total_ms=self._clock.now_ms() - arrived_ms,
        )
        headers = {}
        if is_not_run and error.status in (429, 503):
            retry_after_s = error.retry_after_ms / 1000
            headers = self._dialect.refusal_headers(retry_after_s)
        return web.Response(
            status=error.status, headers=headers, text=f"{error.reason}\n"
        )

    def _caller_gone(
        self,
        call: forwarding.CallerRequest | None,
        trace: forwarding.Trace,
        arrived_ms: float,
    ) -> None:
        service = call.service if call else ""
        self._counters.count_refusal(
            errors.Reason.CALLER_GONE, errors.Outcome.UNKNOWN, service
        )
        total_ms = self._clock.now_ms() - arrived_ms
        self._log("request_abandoned", call, trace, total_ms=total_ms)

    def _log(
        self,
        event: str,
        call: forwarding.CallerRequest | None,
        trace: forwarding.Trace,
        *,
        total_ms: float,
        **fields: object,
    ) -> None:
        if call is not None:
            fields |= {
                "request_id": call.id,
                "route": f"{call.route.host}{call.route.prefix}",
                "service": call.service,
                "version": self._catalogue.table.version,
                "objective_left_ms": round(call.objective_ms - call.arrived_ms),
                "deadline_left_ms": round(call.deadline_ms - call.arrived_ms),
                "returned": call.is_caller_retry,
            }
            if event != "request_answered":
                fields |= self._forwarder.describe(call, trace)
        logger = _LOG if event == "request_answered" else _FAILURES
        logger.info(
            event, total_ms=round(total_ms, 1), exchanges=trace.steps, **fields
        )
