"""Faults of targets and callers at no particular step."""

import asyncio
import contextlib
import time

import aiohttp

from slatechute.fakes import caller as callers
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from tests import waiting


def _caller(fleet, service, method, path, **kwargs):
    return callers.FakeCaller(
        callers.CallerSettings(
            fleet.entry_addresses, service, method, path, **kwargs
        )
    )


@contextlib.asynccontextmanager
async def _kit_fleet(**kwargs):
    fleet = local_fleet.LocalFleet(
        deployments.DEPLOYMENTS["kits"], instances=4, **kwargs
    )
    async with fleet:
        yield fleet


def test_misreported_load_attracts_no_requests():
    """Guards against dispatch decisions that depend on load reports.

    Reports can lag by 10 s, so that a busy target appears idle and attracts
    requests. The entries must not request any reports.
    """

    async def scenario():
        async with _kit_fleet(work_ms=5.0) as fleet:
            async with _caller(fleet, "plans", "GET", "/plans/1") as caller:
                result = await caller.run(300, 300)
            assert result.served == 300
            assert all(t.probes.requests == 0 for t in fleet.all_targets)

    asyncio.run(scenario())


def test_leaving_target_gets_no_request_and_loses_none():
    """Guards against new requests to a leaving target and loss of running ones.

    The target announces that it leaves in its responses only, and the
    published list stays the same.
    """

    async def scenario():
        async with _kit_fleet(work_ms=5.0) as fleet:
            # The list is never published again.
            fleet._record_change = lambda part, rows: False
            group = fleet.targets_by_service["kit"]
            async with _caller(
                fleet,
                "kit",
                "POST",
                "/reservations",
                headers={"X-Work-Ms": "100"},
            ) as caller:
                load = asyncio.create_task(caller.run(40, 130))
                await asyncio.sleep(0.5)
                # Arrivals are random, and for moments no request is running.
                await waiting.until(lambda: any(t.running for t in group))
                target = next(target for target in group if target.running)
                target.leave()
                running = list(target._instance.runs)
                result = await load
            assert result.served == 130
            assert all(run.status == "done" for run in running)
            late = [
                at
                for at in target.arrivals_while_leaving
                if at > target.leave_time_s + 2
            ]
            assert time.monotonic() > target.leave_time_s + 2.5
            assert not late

    asyncio.run(scenario())


def test_delisted_target_completes_its_requests():
    """Guards against interrupted requests on a target removed from the list.

    The platform removes the target while it completes its requests.
    """

    async def scenario():
        async with _kit_fleet(work_ms=5.0) as fleet:
            group = fleet.targets_by_service["kit"]
            async with _caller(
                fleet,
                "kit",
                "POST",
                "/reservations",
                headers={"X-Work-Ms": "400"},
            ) as caller:
                load = asyncio.create_task(caller.run(1000, 6))
                await asyncio.sleep(0.2)
                await waiting.until(lambda: any(t.running for t in group))
                busy = next(target for target in group if target.running)
                busy.leave()
                await asyncio.sleep(0.1)
                group.remove(busy)
                result = await load
                assert result.served == 6
                await busy.stop()

    asyncio.run(scenario())


def test_caller_that_disconnects_frees_its_slot():
    """Guards against slots held after the callers have disconnected."""

    async def scenario():
        async with _kit_fleet(work_ms=5.0) as fleet:
            url = f"http://{fleet.entry_addresses[0]}/reservations"
            headers = {"Slatechute-Service": "kit", "X-Work-Ms": "3000"}
            timeout = aiohttp.ClientTimeout(total=0.2)
            async with aiohttp.ClientSession(timeout=timeout) as session:

                async def post_until_timeout():
                    with contextlib.suppress(TimeoutError):
                        await session.post(url, headers=headers)

                # Twice as many requests as slots, so half of them are queued.
                await asyncio.gather(*(post_until_timeout() for _ in range(16)))
            await asyncio.sleep(0.1)
            assert all(t.running == 0 for t in fleet.all_targets)
            async with _caller(fleet, "kit", "POST", "/reservations") as caller:
                result = await caller.run(100, 50)
            assert result.served == 50
            counts = [
                a.policy.dispatcher.count_held_and_waiting()
                for a in fleet.applications
            ]
            assert counts == [(0, 0)] * len(counts)

    asyncio.run(scenario())
