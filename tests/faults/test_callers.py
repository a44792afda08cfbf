"""Faults between callers and an entry, and the refusals sent to callers."""

import asyncio
import contextlib
import json
import time

import aiohttp
import pytest

from slatechute.configuration import models
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from slatechute.fakes import platform as platforms
from slatechute.fakes import target as targets
from slatechute.fakes import tcp_proxy

_POST = "POST /reservations HTTP/1.1\r\nHost: kit\r\n"


@contextlib.asynccontextmanager
async def _single_entry_fleet(instances=2):
    fleet = local_fleet.LocalFleet(
        deployments.DEPLOYMENTS["kits"],
        entries=1,
        instances=instances,
        work_ms=1.0,
    )
    async with fleet:
        yield fleet


async def _until_running(fleet, count):
    async with asyncio.timeout(2):
        while True:
            if sum(t.running for t in fleet.all_targets) == count:
                return
            await asyncio.sleep(0.01)


def _open_connection(fleet):
    host, port = fleet.entry_addresses[0].split(":")
    return asyncio.open_connection(host, int(port), limit=1 << 24)


def _count_runs(fleet):
    return sum(
        len(runs)
        for target in fleet.all_targets
        for runs in target.runs_by_request_id.values()
    )


async def _post(session, fleet, request_id="", **headers):
    if request_id:
        headers["Slatechute-Request-Id"] = request_id
    url = f"http://{fleet.entry_addresses[0]}/reservations"
    started = time.monotonic()
    async with session.post(
        url, headers={"Slatechute-Service": "kit", **headers}
    ) as response:
        text = await response.text()
        elapsed_s = time.monotonic() - started
        return response.status, response.headers, text, elapsed_s


def _check_refusal(response, reason, outcome, step):
    status, headers, text, elapsed_s = response
    content = json.loads(text)
    assert headers["Slatechute-Reason"] == content["reason"] == reason
    assert headers["Slatechute-Outcome"] == content["outcome"] == outcome
    assert headers["Slatechute-Step"] == content["step"] == step
    assert int(headers["Retry-After"]) >= 1
    assert status >= 400
    assert elapsed_s < 0.5
    return content


def test_incomplete_body_never_runs():
    """Guards against running a request whose body is incomplete.

    The caller closes the connection in the middle of the body.
    """

    async def scenario():
        async with _single_entry_fleet() as fleet:
            _, writer = await _open_connection(fleet)
            writer.write((_POST + "Content-Length: 100\r\n\r\nhalf").encode())
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            assert _count_runs(fleet) == 0
            assert fleet.applications[0]._callers.inflight == 0

    asyncio.run(scenario())


def test_caller_disconnect_cancels_its_request():
    """Guards against work that continues for a disconnected caller."""

    async def scenario():
        async with _single_entry_fleet() as fleet:
            reader, writer = await _open_connection(fleet)
            writer.write(f"{_POST}X-Work-Ms: 5000\r\n\r\n".encode())
            await _until_running(fleet, 1)
            writer.close()
            await _until_running(fleet, 0)
            metrics = fleet.applications[0].metrics
            labels = {"outcome": "unknown", "service": "kit"}
            assert (
                metrics.value("refusals_total", reason="caller_gone", **labels)
                == 1
            )

    asyncio.run(scenario())


def test_stalled_body_ends_at_the_deadline():
    """Guards against a request that outlives its deadline and delays a drain.

    The caller stops sending in the middle of the body but does not disconnect.
    """

    async def scenario():
        async with _single_entry_fleet() as fleet:
            reader, writer = await _open_connection(fleet)
            head = "Slatechute-Deadline-Ms: 200\r\nContent-Length: 100\r\n\r\n"
            writer.write((_POST + head + "half").encode())
            async with asyncio.timeout(1):
                response = await reader.readuntil(b"\r\n\r\n")
            assert b" 504 " in response.splitlines()[0]
            assert b"Slatechute-Outcome: not-run" in response
            assert b"Slatechute-Step: accepted" in response
            assert fleet.applications[0]._callers.inflight == 0
            assert _count_runs(fleet) == 0
            writer.close()

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def _streaming_fleet(chunked_by_proxy=True):
    """Yield a fleet and the proxy in front of its only `drawings` target."""
    async with _single_entry_fleet(instances=1) as fleet:
        target = fleet.targets_by_service["drawings"][0]
        proxy = tcp_proxy.FaultProxy(target.address)
        await proxy.start()
        fleet._record_change = lambda part, rows: False
        row = platforms.Instance("proxied", proxy.address, "dc1")
        fleet.platform.set_targets("drawings", [row])
        await asyncio.sleep(0.3)
        try:
            yield fleet, proxy
        finally:
            await proxy.stop()


_PACK_REQUEST = (
    "GET /packs/4 HTTP/1.1\r\nHost: drawings\r\nX-Answer-Bytes: 500000\r\n"
    "Slatechute-Deadline-Ms: 700\r\n\r\n"
)


@pytest.mark.parametrize("fault", ["reset", "silence"])
def test_truncated_stream_closes_the_connection(fault):
    """Guards against truncated responses that look complete or never end.

    The target connection is reset or goes silent while the entry streams the
    response. A silent connection must end at the deadline.
    """

    async def scenario():
        async with _streaming_fleet() as (fleet, proxy):
            proxy.hold(to_client=200_000)
            reader, writer = await _open_connection(fleet)
            writer.write(_PACK_REQUEST.encode())
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head.splitlines()[0]
            started = time.monotonic()
            received = await reader.read(100_000)
            if fault == "reset":
                proxy.reset()
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(1.5):
                    while data := await reader.read(1 << 16):
                        received += data
            assert time.monotonic() - started < 1.2
            assert len(received) < 500_000
            body = b"".join(
                targets.response_chunks(_request_id_of(head), 500_000)
            )
            assert body.startswith(received)
            writer.close()
            metrics = fleet.applications[0].metrics
            reason = "deadline" if fault == "silence" else "connection_lost"
            value = metrics.value(
                "refusals_total",
                reason=reason,
                outcome="unknown",
                service="drawings",
            )
            assert value == 1
            assert fleet.applications[
                0
            ].policy.dispatcher.count_held_and_waiting() == (0, 0)

    asyncio.run(scenario())


def _request_id_of(head: bytes) -> str:
    for line in head.decode().splitlines():
        name, _, value = line.partition(": ")
        if name.lower() == "slatechute-request-id":
            return value
    raise AssertionError(head)


def test_caller_that_stops_reading_ends_at_the_deadline():
    """Guards against a slot leaked to a caller that stops reading."""

    async def scenario():
        async with _streaming_fleet() as (fleet, _):
            reader, writer = await _open_connection(fleet)
            writer.transport.pause_reading()
            pack_request = _PACK_REQUEST.replace("500000", "50000000")
            writer.write(pack_request.encode())
            await asyncio.sleep(0.4)
            assert (
                fleet.applications[
                    0
                ].policy.dispatcher.count_held_and_waiting()[0]
                == 1
            )
            await asyncio.sleep(0.6)
            assert (
                fleet.applications[
                    0
                ].policy.dispatcher.count_held_and_waiting()[0]
                == 0
            )
            assert fleet.applications[0]._callers.inflight == 0
            writer.transport.abort()

    asyncio.run(scenario())


def test_refusals_name_reason_step_outcome_and_time():
    """Guards against late refusals, and ones without what a caller needs."""

    async def scenario():
        async with (
            _single_entry_fleet() as fleet,
            aiohttp.ClientSession() as session,
        ):
            boot = fleet.applications[0].boot_id
            done = f"{boot}.1.done"
            assert (await _post(session, fleet, done))[0] == 200
            content = _check_refusal(
                await _post(session, fleet, done),
                "duplicate_request_id",
                "unknown",
                "accepted",
            )
            assert content["first_status"] == 200
            _check_refusal(
                await _post(session, fleet, "e9-00.1.x"),
                "foreign_request_id",
                "unknown",
                "accepted",
            )
            # A prefix with a future time is outside the accepted window too.
            _check_refusal(
                await _post(session, fleet, f"{boot}.99999999999.x"),
                "expired_request_id",
                "unknown",
                "accepted",
            )
            _check_refusal(
                await _post(session, fleet, "no id"),
                "bad_request",
                "not-run",
                "accepted",
            )
            assert _count_runs(fleet) == 1

    asyncio.run(scenario())


def test_entry_without_configuration_is_starting():
    """Guards against a restarted entry whose refusals make callers give up.

    Before the entry has a configuration it knows no service, and must refuse
    requests as `starting`, not as `unknown_service`.
    """

    async def scenario():
        async with (
            _single_entry_fleet() as fleet,
            aiohttp.ClientSession() as session,
        ):
            fleet.applications[0]._configuration = models.Configuration()
            response = await _post(session, fleet)
            assert response[0] == 503
            _check_refusal(response, "starting", "not-run", "accepted")

    asyncio.run(scenario())


def test_running_duplicate_is_refused_at_once():
    """Guards against a second run of an id, or a wait for its first run."""

    async def scenario():
        async with (
            _single_entry_fleet() as fleet,
            aiohttp.ClientSession() as session,
        ):
            request_id = f"{fleet.applications[0].boot_id}.1.twice"
            slow = {"X-Work-Ms": "400"}
            first = asyncio.create_task(
                _post(session, fleet, request_id, **slow)
            )
            await asyncio.sleep(0.1)
            content = _check_refusal(
                await _post(session, fleet, request_id),
                "duplicate_request_id",
                "unknown",
                "accepted",
            )
            assert "first_status" not in content
            assert (await first)[0] == 200
            assert _count_runs(fleet) == 1

    asyncio.run(scenario())


def test_failing_connects_are_refused_at_once():
    """Guards against waiting for a slot after all targets were tried."""

    async def scenario():
        async with (
            _single_entry_fleet(instances=1) as fleet,
            aiohttp.ClientSession() as session,
        ):
            fleet._record_change = lambda part, rows: False
            (target,) = fleet.targets_by_service["kit"]
            await target.stop()
            response = await _post(session, fleet)
            assert response[3] < 0.5
            assert response[1]["Slatechute-Outcome"] == "not-run"
            assert response[1]["Slatechute-Reason"] == "connect_failed"

    asyncio.run(scenario())
