"""Tests of the HTTP server for callers, over raw connections."""

import asyncio
import contextlib
import time

import pytest

from slatechute import callers
from slatechute import errors
from slatechute import exchange
from slatechute import listener
from slatechute import metrics as metrics_module
from slatechute import requests
from slatechute import settings as entry_settings
from slatechute.configuration import models
from slatechute.fakes import local_fleet
from slatechute.peers import link
from slatechute.util import clock as clocks

_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nSlatechute-Service: plans\r\n\r\n"


class _Directory:
    def __init__(self):
        self.services = {"plans": models.Service(slots=2)}

    def configuration(self) -> models.Configuration:
        return models.Configuration(services=self.services)

    def addresses_for(self, service: str) -> list[dict[str, str]]:
        return []

    def is_caught_up(self) -> bool:
        return True


class _TruncatedResponse:
    """Streamed response that is truncated after its first chunk."""

    status = 200
    headers = ()
    body = None

    async def chunks(self):
        yield b"x"
        raise exchange.ExchangeError(
            errors.Step.READING, "truncated", not_run=False
        )

    def close(self) -> None:
        pass


class _Attempt:
    service_ms = 0.0

    def __init__(self):
        self.response = _TruncatedResponse()

    def finish(self, result) -> None:
        pass


class _Executor:
    def __init__(self):
        self.requests = []

    async def execute(self, request):
        self.requests.append(request)
        return _Attempt()


class _Server:
    def __init__(self, **settings):
        self.settings = entry_settings.EntrySettings(
            entry_id="e1",
            data_centre="dc1",
            address=local_fleet.free_address(),
            fleet_key="a key for tests only",
            **settings,
        )
        self.metrics = metrics_module.Metrics()
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "_Server":
        clock = clocks.MonotonicClock()
        self.directory = _Directory()
        self.executor = _Executor()
        self._server = callers.CallerServer(
            self.settings,
            self.executor,
            self.directory,
            requests.RequestTable("e1-aa", 10),
            clock,
            self.metrics,
        )
        await self._server.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for writer in self.writers:
            writer.close()
        await self._server.stop()

    async def connect(self, data: bytes = b"") -> asyncio.StreamReader:
        host, port = self.settings.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        writer.write(data)
        await writer.drain()
        return reader

    async def send(self, data: bytes) -> bytes:
        """Send data and return what arrives until the server closes."""
        reader = await self.connect(data)
        async with asyncio.timeout(10):
            with contextlib.suppress(ConnectionError):
                return await reader.read()
        return b""

    def refused(self, reason: errors.Reason, **labels: str) -> float:
        labels = {"outcome": "not-run", "service": "other"} | labels
        return self.metrics.value("refusals_total", reason=reason, **labels)


def _run(scenario, **settings) -> None:
    async def main():
        async with _Server(**settings) as server:
            await scenario(server)

    asyncio.run(main())


def test_addresses_of_an_unknown_service_are_counted():
    """Guards against misspelt service names that no counter shows."""

    async def scenario(server):
        response = await server.send(
            b"GET /entries?service=x HTTP/1.1\r\nHost: h\r\n"
            b"Connection: close\r\n\r\n"
        )
        assert b" 404 " in response
        assert server.refused(errors.Reason.UNKNOWN_SERVICE) == 1

    _run(scenario)


def test_duplicates_have_their_own_counter():
    """Guards against an exported counter of duplicates that stays 0."""

    async def scenario(server):
        request = (
            b"POST /x HTTP/1.1\r\nHost: h\r\nSlatechute-Service: plans\r\n"
            b"Slatechute-Request-Id: e1-aa.0.1\r\nConnection: close\r\n\r\n"
        )
        await server.send(request)
        response = await server.send(request)
        assert b"duplicate_request_id" in response
        assert server.metrics.value("duplicates_refused_total") == 1

    _run(scenario)


def _post(request_id: str, *headers: str, body: str = "") -> bytes:
    lines = [
        "POST /x HTTP/1.1",
        "Host: h",
        "Slatechute-Service: plans",
        f"Slatechute-Request-Id: {request_id}",
        "Connection: close",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


@pytest.mark.parametrize(
    ("request_id", "outcome"),
    [
        ("e1-aa.0.ran", "unknown"),
        ("e1-bb.0.earlier-start", "unknown"),
        ("e1-aa.0.new", "not-run"),
        ("malformed", "not-run"),
    ],
)
@pytest.mark.parametrize(
    "reason",
    ["starting", "unknown_service", "bad_request", "body_too_large"],
)
def test_refused_resend_of_a_request_that_may_have_run(
    reason, request_id, outcome
):
    """Guards against "not-run" for a resend that is refused before its id.

    The caller would take the request for not run, and send it as a new one.
    """

    async def scenario(server):
        await server.send(_post("e1-aa.0.ran"))
        data = _post(request_id)
        if reason == "starting":
            server.directory.services = {}
        elif reason == "unknown_service":
            server.directory.services = {"kits": models.Service(slots=2)}
        elif reason == "bad_request":
            data = _post(request_id, "Slatechute-Deadline-Ms: x")
        else:
            data = _post(request_id, "Content-Length: 32", body="x" * 32)
        response = await server.send(data)
        assert f"Slatechute-Reason: {reason}\r\n".encode() in response
        assert f"Slatechute-Outcome: {outcome}\r\n".encode() in response

    _run(scenario, max_body_bytes=16)


def test_refused_resend_above_the_connection_limit():
    """Guards against "not-run" for a resend on an excess connection."""

    async def scenario(server):
        await server.send(_post("e1-aa.0.ran"))
        await server.connect()
        await server.connect()
        await asyncio.sleep(0.05)
        response = await server.send(_post("e1-aa.0.ran"))
        assert b"Slatechute-Reason: overload" in response
        assert b"Slatechute-Outcome: unknown" in response

    _run(scenario, max_connections=2)


def test_truncated_response_is_counted_with_its_service():
    """Guards against truncated large responses that no counter shows."""

    async def scenario(server):
        await server.send(_REQUEST)
        count = server.refused(
            errors.Reason.CONNECTION_LOST, outcome="unknown", service="plans"
        )
        assert count == 1

    _run(scenario)


def test_connections_above_the_limit_are_refused():
    """Guards against callers that exhaust the descriptors of an entry."""

    async def scenario(server):
        await server.connect()
        await server.connect()
        await asyncio.sleep(0.05)
        response = await server.send(_REQUEST)
        assert b" 503 " in response
        assert b"Slatechute-Outcome: not-run" in response
        assert b"Slatechute-Reason: overload" in response
        assert server.refused(errors.Reason.OVERLOAD) == 1

    _run(scenario, max_connections=2)


def test_excess_connections_are_closed_immediately(monkeypatch):
    """Guards against connections above the limit that stay open forever."""
    monkeypatch.setattr(listener, "_MAX_REFUSED_CONNECTIONS", 1)

    async def scenario(server):
        for _ in range(3):
            await server.connect()
        await asyncio.sleep(0.05)
        assert await server.send(b"") == b""
        assert server.refused(errors.Reason.OVERLOAD) >= 1

    _run(scenario, max_connections=1)


@pytest.mark.parametrize("data", [b"GET", _REQUEST[:-2]])
def test_slow_headers_close_the_connection(monkeypatch, data):
    """Guards against a slow caller that occupies a connection forever."""
    monkeypatch.setattr(
        listener.CallerListener.__init__,
        "__kwdefaults__",
        {"headers_timeout_s": 0.2},
    )

    async def scenario(server):
        assert await server.send(data) == b""
        assert server.refused(errors.Reason.REQUEST_TOO_SLOW) == 1

    _run(scenario)


def test_idle_connection_is_not_slow(monkeypatch):
    """Guards against closing idle connections that callers will reuse."""
    monkeypatch.setattr(
        listener.CallerListener.__init__,
        "__kwdefaults__",
        {"headers_timeout_s": 0.2},
    )

    async def scenario(server):
        request = b"GET /entries?service=plans HTTP/1.1\r\nHost: h\r\n\r\n"
        reader = await server.connect(request)
        await asyncio.sleep(1.0)
        assert not reader.at_eof()
        assert server.refused(errors.Reason.REQUEST_TOO_SLOW) == 0

    _run(scenario)


def test_slow_body_is_refused(monkeypatch):
    """Guards against a slow body that occupies a connection forever."""
    monkeypatch.setattr(listener, "_BODY_TIMEOUT_S", 0.1)
    monkeypatch.setattr(listener, "_LINGERING_S", 0.1)

    async def scenario(server):
        response = await server.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nSlatechute-Service: plans\r\n"
            b"Content-Length: 10\r\n\r\n12345"
        )
        assert b" 408 " in response
        assert b"Slatechute-Reason: request_too_slow" in response
        labels = {"service": "plans"}
        assert server.refused(errors.Reason.REQUEST_TOO_SLOW, **labels) == 1

    _run(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        b"X: " + b"x" * 20_000 + b"\r\n",
        b"".join(b"X%d: x\r\n" % number for number in range(200)),
    ],
)
def test_oversized_headers_are_refused_and_counted(headers):
    """Guards against headers that exhaust the memory of an entry."""

    async def scenario(server):
        response = await server.send(
            b"GET /x HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n"
        )
        assert b" 400 " in response
        assert b"Slatechute-Outcome: not-run" in response
        assert server.refused(errors.Reason.BAD_REQUEST) == 1

    _run(scenario)


def test_oversized_body_is_refused():
    """Guards against bodies that exhaust the memory of an entry."""

    async def scenario(server):
        response = await server.send(
            b"POST /x HTTP/1.1\r\nHost: h\r\nSlatechute-Service: plans\r\n"
            b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            b"20\r\n" + b"x" * 32 + b"\r\n0\r\n\r\n"
        )
        assert b" 413 " in response
        labels = {"service": "plans"}
        assert server.refused(errors.Reason.BODY_TOO_LARGE, **labels) == 1

    _run(scenario, max_body_bytes=16)


def test_rule_is_that_of_the_end_of_the_body():
    """A request went by the rules from before its body, however slow it was."""

    async def scenario(server):
        server.directory.services = {"plans": _service(repeatable=True)}
        host, port = server.settings.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = _post("e1-aa.0.slow", "Content-Length: 2", body="a")
        writer.write(head)
        await asyncio.sleep(0.1)
        server.directory.services = {"plans": _service(repeatable=False)}
        writer.write(b"b")
        async with asyncio.timeout(10):
            await reader.read()
        writer.close()
        [request] = server.executor.requests
        assert not request.rule.repeatable

    _run(scenario)


def _service(*, repeatable: bool) -> models.Service:
    route = models.Route(path="/x", repeatable=repeatable)
    return models.Service(slots=2, routes={"x": route})


def test_bodies_in_tiny_chunks_leave_the_loop_to_the_links():
    """Peers took the entry for dead, as it parsed all that had arrived."""

    async def scenario(server):
        body = "1\r\nx\r\n" * 30_000 + "0\r\n\r\n"
        for _ in range(40):
            await server.connect()
        for number, writer in enumerate(server.writers):
            headers = "Transfer-Encoding: chunked"
            writer.write(_post(f"e1-aa.0.{number}", headers, body=body))
        longest_s, last_s = 0.0, time.process_time()
        for _ in range(200):
            await asyncio.sleep(0)
            now_s = time.process_time()
            longest_s, last_s = max(longest_s, now_s - last_s), now_s
        # A link without a frame for this long counts as broken.
        assert longest_s < link.SILENCE_TIMEOUT_MS / 1000

    _run(scenario)
