"""Tests of the operators' HTTP server."""

import asyncio
import socket

import aiohttp
import pytest

from slatechute import admin
from slatechute import metrics
from slatechute import settings as entry_settings
from slatechute.util import addresses


def _settings(address: str) -> entry_settings.EntrySettings:
    return entry_settings.EntrySettings(
        entry_id="e1",
        data_centre="d1",
        fleet_key="0123456789abcdef",
        admin_address=address,
    )


async def _get(server: admin.AdminServer, path: str) -> tuple[int, str]:
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{server.address}{path}") as response:
            return response.status, await response.text()


def _run(check, readiness=lambda: "ready", status=dict, host="127.0.0.1"):
    async def run():
        server = admin.AdminServer(
            _settings(addresses.join_address(host, 0)),
            metrics.Metrics(),
            readiness,
            status,
        )
        await server.start()
        try:
            await check(server)
        finally:
            await server.stop()
            await server.stop()

    asyncio.run(run())


def test_metrics_health_and_status():
    """Guards against a missing page that monitoring depends on."""

    async def check(server):
        assert (await _get(server, "/metrics"))[1].count("slatechute_") > 50
        assert (await _get(server, "/health"))[0] == 200
        assert await _get(server, "/status") == (200, '{"entry_id": "e1"}')
        assert (await _get(server, "/none"))[0] == 404

    _run(check, status=lambda: {"entry_id": "e1"})


def test_ready_follows_the_state():
    """Guards against sending callers to a starting or draining entry."""
    states = ["starting", "ready", "draining"]

    async def check(server):
        for expected in (503, 200, 503):
            state = states[0]
            status, body = await _get(server, "/ready")
            assert (status, state in body) == (expected, True)
            assert (await _get(server, "/health"))[0] == 200
            states.pop(0)

    _run(check, readiness=lambda: states[0])


def test_status_error_is_reported():
    """Guards against a fault in the status that only closes the connection."""

    def fail():
        raise KeyError("peers")

    async def check(server):
        status, body = await _get(server, "/status")
        assert (status, "peers" in body) == (500, True)

    _run(check, status=fail)


def test_ipv6_address():
    """Guards against a bound IPv6 address that cannot be used in a URL."""
    try:
        with socket.socket(socket.AF_INET6) as probe:
            probe.bind(("::1", 0))
    except OSError:
        pytest.skip("no IPv6 loopback on this host")

    async def check(server):
        assert (await _get(server, "/health"))[0] == 200

    _run(check, host="::1")


def test_address_in_use_is_reported():
    """Guards against a failed start on a used port that leaves a server."""

    async def check(server):
        second = admin.AdminServer(
            _settings(server.address), metrics.Metrics(), str, dict
        )
        with pytest.raises(OSError, match="in use"):
            await second.start()
        with pytest.raises(RuntimeError):
            _ = second.address

    _run(check)


def test_method_that_is_not_allowed_names_those_that_are():
    """The header got lost as the server became that of callers."""

    async def check(server):
        url = f"http://{server.address}/health"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url) as response,
        ):
            assert response.status == 405
            assert "GET" in response.headers["Allow"]

    _run(check)


def test_connection_above_the_limit_is_closed_after_its_refusal(monkeypatch):
    """It would have kept its place above the limit until it was idle."""
    monkeypatch.setattr(admin, "_MAX_CONNECTIONS", 1)

    async def check(server):
        host, port = server.address.rsplit(":", 1)
        request = b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n"
        first_reader, first = await asyncio.open_connection(host, int(port))
        first.write(request)
        await first_reader.readuntil(b"alive")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        async with asyncio.timeout(5):
            assert b" 503 " in await reader.read()
        for each in (first, writer):
            each.close()

    _run(check)
