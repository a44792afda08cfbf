"""HTTP server for callers: entry addresses and requests."""

import asyncio
import json
import math
from typing import Protocol

from aiohttp import web
import multidict

from slatechute import attempts
from slatechute import errors
from slatechute import exchange
from slatechute import execution
from slatechute import leases
from slatechute import listener
from slatechute import metrics
from slatechute import relay
from slatechute import requests
from slatechute import settings as entry_settings
from slatechute.configuration import models
from slatechute.util import clock as clocks
from slatechute.util import headers as util_headers
from slatechute.util import memory

__all__ = ["CallerServer", "Directory"]

_SERVICE_HEADER = "Slatechute-Service"
_ID_HEADER = "Slatechute-Request-Id"
_DEADLINE_HEADER = "Slatechute-Deadline-Ms"
_ATTEMPT_HEADER = "Slatechute-Attempt"
_DROPPED_HEADERS = util_headers.HOP_BY_HOP | {
    _SERVICE_HEADER.lower(),
    _ID_HEADER.lower(),
    _DEADLINE_HEADER.lower(),
    _ATTEMPT_HEADER.lower(),
    "content-length",
}
_MAX_DEADLINE_MS = 600_000


class Directory(Protocol):
    """View of the fleet and its configuration that the server needs."""

    def is_caught_up(self) -> bool:
        """Return whether the active rules may be applied to new requests."""
        ...

    async def wait_until_caught_up(self) -> None:
        """Wait until the active rules may be applied to new requests."""
        ...

    def configuration(self) -> models.Configuration:
        """Return the active configuration."""
        ...

    async def addresses_for(
        self, service: str, *, may_relay: bool
    ) -> list[dict[str, str]]:
        """Return addresses with id prefixes, in order of preference.

        Args:
            service: A configured service.
            may_relay: Whether the request may be relayed to another entry.
        """
        ...


class CallerServer:
    """Accepts the requests of callers and returns the targets' responses."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        executor: execution.Executor,
        directory: Directory,
        table: requests.RequestTable,
        clock: clocks.Clock,
        counters: metrics.Metrics,
    ):
        self._settings = settings
        self._executor = executor
        self._directory = directory
        self._table = table
        self._clock = clock
        self._counters = counters
        self._runner: web.ServerRunner | None = None
        self._account = memory.MemoryAccount(
            lambda: settings.body_memory_bytes, counters.count_given_up
        )
        self.inflight = 0
        counters.bind_gauges(caller_memory_bytes=lambda: self._account.total)

    async def start(self) -> None:
        """Listen on the callers' address.

        Raises:
            OSError: The address is in use or not on this host.
        """
        self._runner = await listener.serve(
            self._handle,
            self._settings.address,
            max_connections=self._settings.max_connections,
            on_refused=lambda reason: self._counters.count_refusal(
                reason, errors.Outcome.NOT_RUN, ""
            ),
            account=self._account,
        )

    async def stop(self) -> None:
        """Close the server and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        connection = http.protocol
        connection.start_request()
        service = ""
        try:
            if connection.is_over_limit:
                error = errors.RequestError(
                    errors.Reason.OVERLOAD, errors.Step.ACCEPTED
                )
                raise self._cover_earlier_run(error, http)
            if http.path == "/entries" and _SERVICE_HEADER not in http.headers:
                service = http.query.get("service", "")
                return await self._get_addresses(http, service)
            service = _service_of(http)
            self.inflight += 1
            try:
                return await self._serve(http, service)
            finally:
                self.inflight -= 1
        except errors.RequestError as error:
            return self._refuse(error, service, connection)
        except asyncio.CancelledError:
            self._counters.count_refusal(
                errors.Reason.CALLER_GONE, errors.Outcome.UNKNOWN, service
            )
            raise
        finally:
            connection.is_serving = False

    def _refuse(
        self,
        error: errors.RequestError,
        service: str,
        connection: listener.Connection,
    ) -> web.Response:
        self._counters.count_refusal(error.reason, error.outcome, service)
        if error.reason is errors.Reason.DUPLICATE_REQUEST_ID:
            self._counters.count_duplicate()
        response = _refusal_response(error)
        if connection.is_over_limit or error.reason in (
            errors.Reason.REQUEST_TOO_SLOW,
            errors.Reason.MEMORY,
        ):
            response.force_close()
        return response

    async def _get_addresses(
        self, http: web.BaseRequest, service: str
    ) -> web.Response:
        configuration = self._directory.configuration()
        if service not in configuration.services:
            raise _unknown_service_error(configuration, errors.Step.ADDRESS)
        content = {
            "service": service,
            "keep_ms": configuration.fleet.keep_ms,
            "entries": await self._directory.addresses_for(
                service, may_relay=relay.RELAYED_HEADER not in http.headers
            ),
        }
        return web.json_response(content)

    async def _serve(
        self, http: web.BaseRequest, service: str
    ) -> web.StreamResponse:
        with listener.HeldBody(self._account) as body:
            return await self._serve_body(http, service, body)

    async def _serve_body(
        self, http: web.BaseRequest, service: str, body: listener.HeldBody
    ) -> web.StreamResponse:
        try:
            request = await self._accept(http, service, body)
        except errors.RequestError as error:
            raise self._cover_earlier_run(error, http) from error
        try:
            attempt = await self._executor.execute(request)
        except errors.RequestError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                self._table.remove(request.id)
            else:
                self._table.record_status(request.id, error.status)
            raise
        self._table.record_status(request.id, attempt.response.status)
        return await self._send_response(http, request, attempt)

    def _cover_earlier_run(
        self, error: errors.RequestError, http: web.BaseRequest
    ) -> errors.RequestError:
        """Return the error with an outcome that covers an earlier submission.

        Args:
            error: Refusal of a request whose id is not admitted.
            http: The request.
        """
        request_id = http.headers.get(_ID_HEADER, "")
        now_ms = self._clock.now_ms()
        return error.with_earlier_attempts(
            self._table.may_be_resend(request_id, now_ms)
        )

    async def _accept(
        self, http: web.BaseRequest, service: str, held_body: listener.HeldBody
    ) -> requests.Request:
        now_ms = self._clock.now_ms()
        rule = await self._current_rule(http, service)
        headers = http.headers
        deadline_ms = _parse_header_number(
            headers, _DEADLINE_HEADER, rule.deadline_ms
        )
        attempt_number = _parse_header_number(headers, _ATTEMPT_HEADER, 0)
        total_ms = min(deadline_ms, _MAX_DEADLINE_MS)
        body = await self._read_body(http, total_ms, held_body)
        if body:
            # The configuration may have changed while the body arrived.
            rule = await self._current_rule(http, service)
        id_text = headers.get(_ID_HEADER, "")
        request_id = self._table.admit(id_text, rule.repeatable, now_ms)
        return requests.Request(
            request_id,
            service,
            http.method,
            http.path_qs,
            util_headers.end_to_end_headers(
                headers.items(), headers.get("Connection", ""), _DROPPED_HEADERS
            ),
            body,
            rule,
            now_ms,
            now_ms + total_ms,
            attempt_number,
        )

    async def _current_rule(
        self, http: web.BaseRequest, service: str
    ) -> models.RequestRule:
        """Return the rule of a request in the active configuration.

        Raises:
            errors.RequestError: The service is not configured.
        """
        if not self._directory.is_caught_up():
            await self._directory.wait_until_caught_up()
        configuration = self._directory.configuration()
        rules = configuration.services.get(service)
        if rules is None:
            raise _unknown_service_error(configuration, errors.Step.ACCEPTED)
        return rules.rule_for(http.method, http.path)

    async def _read_body(
        self, http: web.BaseRequest, limit_ms: float, body: listener.HeldBody
    ) -> bytes:
        """Return the body of a request.

        The limit keeps a caller that stops sending from occupying the entry
        indefinitely.

        Raises:
            errors.RequestError: The body is too large or not complete within
                `limit_ms`.
        """
        if not http.body_exists:
            return b""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                return await listener.read_body(
                    http, self._settings.max_body_bytes, body
                )
        except TimeoutError as err:
            raise errors.RequestError(
                errors.Reason.DEADLINE, errors.Step.ACCEPTED, status=504
            ) from err

    async def _send_response(
        self,
        http: web.BaseRequest,
        request: requests.Request,
        attempt: attempts.Attempt,
    ) -> web.StreamResponse:
        target_response = attempt.response
        headers = multidict.CIMultiDict(target_response.headers)
        headers[_ID_HEADER] = request.id
        if target_response.body is not None:
            self._observe_latencies(request, attempt)
            return web.Response(
                status=target_response.status,
                headers=headers,
                body=target_response.body,
            )
        response = web.StreamResponse(
            status=target_response.status, headers=headers
        )
        result = leases.Result.CANCELLED
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                await response.prepare(http)
                async for chunk in target_response.chunks():
                    await response.write(chunk)
                await response.write_eof()
            result = leases.Result.OK
        except exchange.ExchangeError:
            result = leases.Result.FAILED
            self._abort_connection(http, request, errors.Reason.CONNECTION_LOST)
        except TimeoutError:
            # The target is unresponsive, or the caller does not read.
            self._abort_connection(http, request, errors.Reason.DEADLINE)
        finally:
            target_response.close()
            attempt.finish(result)
        if result is leases.Result.OK:
            self._observe_latencies(request, attempt)
        return response

    def _abort_connection(
        self,
        http: web.BaseRequest,
        request: requests.Request,
        reason: errors.Reason,
    ) -> None:
        """Abort the caller's connection in the middle of a response.

        Otherwise the caller could take a truncated response for a complete one.
        """
        outcome = errors.Outcome.UNKNOWN
        self._counters.count_refusal(reason, outcome, request.service)
        if http.transport is not None:
            http.transport.abort()

    def _observe_latencies(
        self, request: requests.Request, attempt: attempts.Attempt
    ) -> None:
        total_ms = self._clock.now_ms() - request.accepted_ms
        added_ms = max(0.0, total_ms - attempt.service_ms)
        self._counters.observe_latencies(total_ms / 1e3, added_ms / 1e3)


def _unknown_service_error(
    configuration: models.Configuration, step: errors.Step
) -> errors.RequestError:
    """Return the error for a service that is not configured."""
    if not configuration.services:
        # This entry was restarted at an address that callers still cache and
        # has not received its configuration yet.
        return errors.RequestError(errors.Reason.STARTING, step)
    return errors.RequestError(errors.Reason.UNKNOWN_SERVICE, step, status=404)


def _service_of(http: web.BaseRequest) -> str:
    service = http.headers.get(_SERVICE_HEADER)
    return service or (http.host or "").split(".", 1)[0].split(":", 1)[0]


def _parse_header_number(
    headers: multidict.CIMultiDictProxy[str], name: str, default: int
) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise errors.RequestError(
            errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=400
        )
    return int(text)


def _refusal_response(error: errors.RequestError) -> web.Response:
    content = {
        "outcome": error.outcome,
        "reason": error.reason,
        "step": error.step,
        "peer": error.peer,
        "retry_after_ms": error.retry_after_ms,
    }
    if error.first_status is not None:
        content["first_status"] = error.first_status
    headers = {
        exchange.OUTCOME_HEADER: error.outcome,
        "Slatechute-Reason": error.reason,
        "Slatechute-Step": error.step,
        "Slatechute-Peer": error.peer,
        "Retry-After": str(max(1, math.ceil(error.retry_after_ms / 1000))),
    }
    return web.Response(
        status=error.status,
        headers=headers,
        text=json.dumps(content),
        content_type="application/json",
    )
