"""Tests of the fake target."""

import asyncio
import functools
import random
import time

import aiohttp
import pytest
import xxhash

from slatechute.fakes import target
from tests import waiting

_until = functools.partial(waiting.until, limit_s=2.0)


def _with_target(scenario, **settings):
    async def run():
        defaults = {"work_ms": 5.0, "fixed_work": True}
        fake = target.FakeTarget(target.TargetSettings(**defaults | settings))
        await fake.start()
        connector = aiohttp.TCPConnector(limit=0)
        try:
            async with aiohttp.ClientSession(
                f"http://{fake.address}", connector=connector
            ) as session:
                await scenario(fake, session)
        finally:
            await fake.stop()
        assert fake.connections == 0

    asyncio.run(run())


async def _get(session, request_id, *, path="/x", **headers):
    all_headers = {"Slatechute-Request-Id": request_id}
    all_headers |= {name.replace("_", "-"): v for name, v in headers.items()}
    async with session.get(path, headers=all_headers) as response:
        return response, await response.read()


def test_responses_are_complete_and_carry_the_request_id():
    """Guards against mixed-up or truncated responses that go unnoticed."""

    async def scenario(fake, session):
        response, body = await _get(session, "r1", X_Answer_Bytes="300000")
        assert body == b"".join(target.response_chunks("r1", 300_000))
        digest = response.headers[target.RESPONSE_DIGEST_HEADER]
        assert digest == xxhash.xxh3_128_hexdigest(body)
        assert response.headers["Slatechute-Request-Id"] == "r1"
        async with session.post("/x", data=b"q" * 2_000_000) as posted:
            assert posted.headers[target.REQUEST_DIGEST_HEADER] == (
                xxhash.xxh3_128_hexdigest(b"q" * 2_000_000)
            )
        async with session.head("/x") as head:
            assert head.content_length == 200
        (run,) = fake.runs_by_request_id["r1"]
        assert run.status == "done"

    _with_target(scenario)


def test_requests_wait_in_order_and_the_queue_is_bounded():
    """Guards against exceeded slots, reordering and unbounded queues."""

    async def scenario(fake, session):

        def arrived():
            return fake.running + fake.queued + fake.refusals["queue_full"]

        tasks = []
        for number in range(4):
            request = _get(session, str(number), X_Work_Ms="400")
            tasks.append(asyncio.create_task(request))
            await _until(lambda: arrived() == len(tasks))
        assert (fake.running, fake.queued) == (1, 2)
        results = await asyncio.gather(*tasks)
        assert [r.status for r, _ in results] == [200, 200, 200, 503]
        assert results[3][0].headers["Slatechute-Outcome"] == "not-run"
        runs = [fake.runs_by_request_id[str(n)][0] for n in range(3)]
        assert runs[0].ended <= runs[1].started <= runs[1].ended
        assert runs[1].ended <= runs[2].started
        assert "3" not in fake.runs_by_request_id
        assert fake.refusals == {"queue_full": 1}

    _with_target(scenario, slots=1, queue_length=2)


def test_queued_requests_end_at_their_deadline_or_when_closed():
    """Guards against running requests that the caller no longer waits for."""

    async def scenario(fake, session):
        first = asyncio.create_task(_get(session, "a", X_Work_Ms="150"))
        await _until(lambda: fake.running == 1)
        disconnected = asyncio.create_task(_get(session, "b"))
        await _until(lambda: fake.queued == 1)
        disconnected.cancel()
        late, _ = await _get(session, "c", Slatechute_Deadline_Ms="30")
        assert late.status == 503
        assert late.headers["Slatechute-Outcome"] == "not-run"
        await first
        assert (await _get(session, "d"))[0].status == 200
        assert set(fake.runs_by_request_id) == {"a", "d"}
        assert (fake.running, fake.queued) == (0, 0)

    _with_target(scenario, slots=1)


def test_closing_the_connection_cancels_a_run():
    """Guards against slots held by abandoned requests."""

    async def scenario(fake, session):
        request = asyncio.create_task(_get(session, "a", X_Work_Ms="5000"))
        await _until(lambda: fake.running == 1)
        request.cancel()
        await _until(lambda: fake.running == 0)
        assert fake.runs_by_request_id["a"][0].status == "cancelled"

    _with_target(scenario)


def test_leaving_completes_running_requests_and_refuses_new_ones():
    """Guards against a drain that interrupts requests or accepts new ones."""

    async def scenario(fake, session):
        first = asyncio.create_task(_get(session, "a", X_Work_Ms="60"))
        await _until(lambda: fake.running == 1)
        fake.leave()
        refused, _ = await _get(session, "b")
        assert refused.status == 503
        assert refused.headers["Slatechute-Outcome"] == "not-run"
        served, _ = await first
        for response in (served, refused):
            state = response.headers["Slatechute-Target-State"]
            assert state == "leaving"
        assert served.status == 200
        assert len(fake.arrivals_while_leaving) == 1
        assert fake.instance_row().state == "leaving"

    _with_target(scenario)


def test_cold_slow_and_failing_targets_change_the_work_time():
    """Guards against faults that have no effect on callers."""

    async def timed(session, request_id):
        start = time.monotonic()
        response, _ = await _get(session, request_id, X_Work_Ms="20")
        return response.status, time.monotonic() - start

    async def scenario(fake, session):
        assert (await timed(session, "cold"))[1] >= 0.1
        await asyncio.sleep(0.15)
        assert (await timed(session, "warm"))[1] < 0.1
        fake.slow_factor = 6
        assert (await timed(session, "slow"))[1] >= 0.12
        fake.fail_fast = True
        status, duration = await timed(session, "failed")
        assert status == 500 and duration < 0.1
        assert fake.runs_by_request_id["failed"][0].status == "failed"

    _with_target(scenario, cold_ms=200)


def test_crash_closes_everything_and_restarts_with_a_new_id():
    """Guards against a crash that leaves connections, the port or the id."""

    async def scenario(fake, session):
        old_id = fake.id
        other = asyncio.create_task(_get(session, "a", X_Work_Ms="5000"))
        await _until(lambda: fake.running == 1)
        with pytest.raises(aiohttp.ClientError):
            await _get(session, "b", X_Crash="1")
        with pytest.raises(aiohttp.ClientError):
            await other
        with pytest.raises(aiohttp.ClientConnectorError):
            await _get(session, "c")
        assert fake.runs_by_request_id["a"][0].status == "crashed"
        assert fake.runs_by_request_id["b"][0].status == "crashed"
        await asyncio.sleep(0.3)
        response, _ = await _get(session, "d")
        assert response.headers[target.INSTANCE_HEADER] == fake.id != old_id

    _with_target(scenario, restart_ms=200)


def test_silent_connections_discard_bytes_while_new_ones_work():
    """Guards against silence that closes connections or affects new ones."""

    async def scenario(fake, session):
        request = asyncio.create_task(_get(session, "a", X_Work_Ms="50"))
        await _until(lambda: fake.running == 1)
        fake.silence_connections()
        assert (await _get(session, "b"))[0].status == 200
        await asyncio.sleep(0.1)
        assert not request.done()
        assert fake.runs_by_request_id["a"][0].status == "done"
        request.cancel()
        await asyncio.sleep(0.05)
        assert fake.connections == 2

    _with_target(scenario)


def test_connections_above_the_limit_are_closed():
    """Guards against a connection limit that is not applied."""

    async def scenario(fake, session):
        request = asyncio.create_task(_get(session, "a", X_Work_Ms="50"))
        await _until(lambda: fake.running == 1)
        with pytest.raises(aiohttp.ClientError):
            await _get(session, "b")
        assert (await request)[0].status == 200
        assert fake.connections_refused >= 1

    _with_target(scenario, connections=1)


def test_reports_lag_and_probes_are_counted():
    """Guards against load reports that are fresher than real ones."""

    async def scenario(fake, session):
        await _get(session, "a")
        request = asyncio.create_task(_get(session, "b", X_Work_Ms="400"))
        await _until(lambda: fake.running == 1)
        fake.leave()
        async with session.get("/-/load") as response:
            raw = len(await response.read())
            assert (await response.json())["running"] == 0
        async with session.get("/-/health") as response:
            assert response.status == 200
        await asyncio.sleep(0.3)
        async with session.get("/-/load") as response:
            assert (await response.json())["running"] == 1
        async with session.get("/-/health") as response:
            assert response.status == 503
        await request
        assert fake.probes.requests == 4
        # Bodies and headers both ways, without the served requests.
        assert 4 * raw < fake.probes.wire_bytes < 4 * (raw + 700)

    _with_target(scenario, report_lag_ms=100)


def test_work_times_follow_the_seed():
    """Guards against benchmark runs that are not reproducible."""
    # A seed whose first two draws are both above three times the mean.
    seed = next(s for s in range(10_000) if min(_draws(s)) > 3)

    async def scenario(fake, session):
        for draw in _draws(seed):
            await _get(session, "a")
            run = fake.runs_by_request_id["a"][-1]
            assert run.ended - run.started >= 0.01 * draw - 0.001

    _with_target(scenario, work_ms=10, fixed_work=False, seed=seed)


def _draws(seed):
    rng = random.Random(seed)
    return [rng.expovariate(1), rng.expovariate(1)]
