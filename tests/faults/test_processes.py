"""Faults of the fleet that need no request at a certain step."""

import asyncio
import time

from tests.faults import fleet as fleets


def test_crashing_request_resent_elsewhere_stops(shared_fleet):
    """Guards against a resend that takes down one target after another."""

    async def scenario(fleet):
        path = f"/order/{fleet.number()}"
        crashes = sum(target.crashes for target in fleet.targets)
        ends = []
        for entry_id in ("e1", "e2", "e3"):
            end = await fleet.send(
                "order",
                entry_id=entry_id,
                path=path,
                headers={"X-Crash": "1"},
                direct=True,
            )
            fleets.check(end)
            ends.append(end.answer)
            await asyncio.sleep(0.2)
            fleet.list_targets()
            await asyncio.sleep(0.1)
        assert [end.outcome for end in ends] == [
            "unknown",
            "unknown",
            "not-run",
        ]
        assert ends[2].detail == "quarantined"
        assert ends[2].latency_ms < 500
        now = sum(target.crashes for target in fleet.targets)
        assert now - crashes == 2

    shared_fleet.run(scenario)


def test_paused_dispatcher_delays_nobody_until_the_deadline(shared_fleet):
    """Guards against requests that wait for the grant of a stopped entry."""

    async def scenario(fleet):
        pause = asyncio.create_task(fleet.freeze("e2", 1.0))
        await asyncio.sleep(0.05)
        ends = await asyncio.gather(
            *(
                fleet.send(kind, service=fleets.FAR_SERVICE, direct=True)
                for kind in ("lookup", "order")
                for _ in range(4)
            )
        )
        for end in ends:
            fleets.check(end)
            assert end.answer.outcome == "served", end
            assert end.answer.latency_ms < 800
        await pause

    shared_fleet.run(scenario)


def test_lost_release_gives_the_slot_back(shared_fleet):
    """Guards against slots that leak when messages between entries are lost."""

    async def scenario(fleet):
        tasks = [
            asyncio.create_task(
                fleet.send(
                    "order",
                    service=fleets.FAR_SERVICE,
                    body=b"",
                    headers={"X-Work-Ms": "150"},
                )
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0.1)
        for proxy in fleet.peer_proxies.values():
            proxy.silence_connections()
        for end in await asyncio.gather(*tasks):
            fleets.check(end)
            assert end.answer.outcome == "served"
        # Deadline and grace of the leases, and a margin.
        limit_s = fleets.DEADLINE_MS / 1000 + 1.0 + 0.5
        started = time.monotonic()
        while await _slots(fleet):
            assert time.monotonic() - started < limit_s
            await asyncio.sleep(0.05)

    shared_fleet.run(scenario)


async def _slots(fleet) -> int:
    total = 0
    for entry_id in fleet.entry_ids:
        status = await fleet.status(entry_id)
        total += sum(status["slots"].values())
    return total
