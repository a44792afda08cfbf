"""Tests of configuration under faults, with entries as processes."""

import asyncio
import signal
import time

import aiohttp

from slatechute.benches import reverts
from slatechute.benches import spread_fleet
from slatechute.platforms import base


def test_short_run_finds_no_revert():
    """Guards against reverts after restarts, freezes and partitions."""
    bench = reverts.RevertsBench(
        reverts.Plan(10, 4, 1, longest_s=1.5), lambda _: None
    )
    result = asyncio.run(bench.run())
    assert result["clean"], result
    assert result["starts"] > 4
    assert result["adoptions"] >= 20


def test_resumed_process_requests_documents_first():
    """Guards against a resumed entry that applies an outdated configuration.

    The configuration was replaced while the process was frozen, and a request
    arrived before the process resumed.
    """

    async def run():
        async with spread_fleet.SpreadFleet(2) as fleet:
            await fleet.start_all()
            one, two = fleet.entries
            # The new configuration can only come from the other entry.
            fleet.replica_by_entry[two.entry_id].down = True
            two.signal(signal.SIGSTOP)
            text = "[services.kit]\nslots = 2\n"
            revision = fleet.platform.publish(
                base.CONFIGURATION, {"a.toml": text}
            )
            assert await fleet.wait_until_active(revision, 10, [one])
            # The peer closes its link within this time.
            await asyncio.sleep(0.6)
            url = f"http://{two.address}/bookings"
            headers = {"Slatechute-Service": "survey"}
            async with aiohttp.ClientSession() as session:
                request = asyncio.create_task(
                    session.post(url, headers=headers)
                )
                await asyncio.sleep(0.1)
                two.signal(signal.SIGCONT)
                response = await request
                assert response.headers["Slatechute-Reason"] == (
                    "unknown_service"
                )

    asyncio.run(run())


def _line(entry_id, at_s, event, **fields):
    return spread_fleet.LogLine(entry_id, 1, at_s, event, fields)


def test_entry_that_is_ready_with_older_revision_is_found():
    """Guards against a bench that misses an outdated entry.

    A partition from the peer explains an older revision. A freeze of the entry
    itself does not, as the entry must catch up before it is ready.
    """
    lines = [
        _line("e2", 1.0, "configuration_in_force", revision=5),
        _line("e1", 1.5, "peer_ready", peer="e2"),
        _line("e1", 2.0, "entry_ready", revision=4),
    ]
    (found,) = reverts.find_older_than_peers(lines, [], "entry_ready")
    assert (found["revision"], found["peer_revision"]) == (4, 5)
    own_freeze = reverts.UnreachablePeriod(frozenset({"e1"}), 1.2, 1.4, True)
    assert reverts.find_older_than_peers(lines, [own_freeze], "entry_ready")
    partition = reverts.UnreachablePeriod(frozenset({"e1"}), 1.2, 1.9)
    assert not reverts.find_older_than_peers(lines, [partition], "entry_ready")


def test_propagation_delay_ends_at_first_adoption():
    """Guards against a delay measured up to the adoption of a later change.

    An entry that adopts two changes in turn is recorded twice.
    """
    fleet = spread_fleet.SpreadFleet(1)
    now_s = time.monotonic()
    for revision, at_s in ((4, now_s + 0.5), (5, now_s + 9.0)):
        fleet.adoptions.append(spread_fleet.Adoption("e1", 1, at_s, revision))
    (delay_ms,) = fleet.delays_ms(4, now_s)
    assert round(delay_ms) == 500
