"""Faults of entries and the peer network at no particular step."""

import asyncio
import time

from tests.faults import fleet as fleets


def test_crashing_request_is_refused_by_all_entries(shared_fleet):
    """Guards against a request that crashes one target after another.

    The caller sends it to other entries after each crash. After two crashes
    it is quarantined on all entries and must be refused.
    """

    async def scenario(fleet):
        path = f"/order/{fleet.next_number()}"
        crashes_before = sum(target.crashes for target in fleet.targets)
        results = []
        for entry_id in ("e1", "e2", "e3"):
            request = await fleet.send(
                "order",
                entry_id=entry_id,
                path=path,
                headers={"X-Crash": "1"},
                bypass_proxy=True,
            )
            fleets.check_invariants(request)
            results.append(request.result)
            await asyncio.sleep(0.2)
            fleet.publish_targets()
            await asyncio.sleep(0.1)
        assert [result.outcome for result in results] == [
            "unknown",
            "unknown",
            "not-run",
        ]
        assert results[2].detail == "quarantined"
        assert results[2].latency_ms < 500
        crashes_after = sum(target.crashes for target in fleet.targets)
        assert crashes_after - crashes_before == 2

    shared_fleet.run(scenario)


def test_paused_dispatcher_does_not_block_requests(shared_fleet):
    """Guards against requests that wait for a slot grant of a paused peer."""

    async def scenario(fleet):
        pause = asyncio.create_task(fleet.freeze("e2", 1.0))
        await asyncio.sleep(0.05)
        requests = await asyncio.gather(
            *(
                fleet.send(
                    kind,
                    service=fleets.PEER_DISPATCHED_SERVICE,
                    bypass_proxy=True,
                )
                for kind in ("lookup", "order")
                for _ in range(4)
            )
        )
        for request in requests:
            fleets.check_invariants(request)
            assert request.result.outcome == "served", request
            assert request.result.latency_ms < 800
        await pause

    shared_fleet.run(scenario)


def test_lost_release_frees_the_slot(shared_fleet):
    """Guards against leaked slots.

    The messages that release slots are lost when the peer links go silent.
    """

    async def scenario(fleet):
        tasks = [
            asyncio.create_task(
                fleet.send(
                    "order",
                    service=fleets.PEER_DISPATCHED_SERVICE,
                    body=b"",
                    headers={"X-Work-Ms": "150"},
                )
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0.1)
        for proxy in fleet.peer_proxies.values():
            proxy.silence_connections()
        for request in await asyncio.gather(*tasks):
            fleets.check_invariants(request)
            assert request.result.outcome == "served"
        # The request deadline, the grace period of a lease, and a margin.
        limit_s = fleets.DEADLINE_MS / 1000 + 1.0 + 0.5
        started = time.monotonic()
        while await _slots_in_use(fleet):
            assert time.monotonic() - started < limit_s
            await asyncio.sleep(0.05)

    shared_fleet.run(scenario)


async def _slots_in_use(fleet) -> int:
    slots_in_use = 0
    for entry_id in fleet.entry_ids:
        status = await fleet.status(entry_id)
        slots_in_use += sum(status["slots"].values())
    return slots_in_use
