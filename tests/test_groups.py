"""Tests of fleets with more entries than an entry group."""

import asyncio
import functools

from slatechute import relay
from slatechute.configuration import spread
from slatechute.fakes import caller as callers
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from slatechute.platforms import base
from slatechute.util import clock as clocks
from tests import waiting

_DEPLOYMENT = deployments.DEPLOYMENTS["kits"]
_SERVICES = [size.name for size in _DEPLOYMENT.services]
_LIMIT_S = 20
_until = functools.partial(waiting.until, limit_s=_LIMIT_S)


def _fleet(entries, **options):
    return local_fleet.LocalFleet(
        _DEPLOYMENT, entries=entries, work_ms=1, instances=4, options=options
    )


def _expected_links(apps):
    """Return the expected peers of each entry.

    These are the members of its groups and its neighbours, in both directions.
    """
    ids = [app.settings.entry_id for app in apps]
    listed = [app.membership.own_entry for app in apps]
    expected = {key: set() for key in ids}
    for app in apps:
        own_id = app.settings.entry_id
        for service in _SERVICES:
            group = app.membership.plan(service).group
            if own_id in group:
                expected[own_id].update(group)
        degree = app.settings.spread_degree
        data_centre = app.settings.data_centre
        for peer in spread.neighbours(own_id, data_centre, listed, degree):
            expected[own_id].add(peer)
            expected[peer].add(own_id)
        expected[own_id].discard(own_id)
    return expected


async def _send_directly(app, size):
    """Send a request to an entry that may be outside of the entry group."""
    url = f"http://{app.settings.address}{size.path}"
    headers = {"Slatechute-Service": size.name}
    async with app._session.request(
        size.method, url, headers=headers
    ) as response:
        reason = response.headers.get("Slatechute-Reason")
        assert response.status == 200 or reason == "no_targets", response
        if response.status != 200:
            assert response.headers["Slatechute-Outcome"] == "not-run"


def test_entries_link_with_groups_and_neighbours_and_serve_everything():
    """Guards against links to all entries, and services without a response."""

    async def run():
        async with _fleet(9, group_size=3, spread_degree=2) as fleet:
            apps = fleet.applications
            expected = _expected_links(apps)
            await _until(
                lambda: all(
                    app.membership.reachable()
                    == expected[app.settings.entry_id]
                    for app in apps
                )
            )
            assert min(len(peers) for peers in expected.values()) < 8
            outside = 0
            for app in apps:
                for size in _DEPLOYMENT.services:
                    group = app.membership.plan(size.name).group
                    outside += app.settings.entry_id not in group
                    settings = callers.CallerSettings(
                        [app.settings.address],
                        size.name,
                        size.method,
                        size.path,
                    )
                    async with callers.FakeCaller(settings) as client:
                        response = await client.send()
                    assert response.outcome == "served", (size.name, response)
                    await _send_directly(app, size)
            assert outside > 9
            files = dict(_DEPLOYMENT.text_by_file)
            files["90.toml"] = "[fleet]\nkeep_ms = 777\n"
            revision = fleet.platform.publish(base.CONFIGURATION, files)
            await _until(
                lambda: all(
                    app.status()["configuration"]["revision"] == revision
                    for app in apps
                )
            )

    asyncio.run(run())


def test_relayed_address_request_is_not_relayed_again():
    """Guards against entries that relay address requests in a loop."""

    async def run():
        async with _fleet(4, group_size=1, spread_degree=2) as fleet:
            for app in fleet.applications:
                (entry,) = await app.addresses_for("kit", may_relay=False)
                assert entry["address"] in fleet.entry_addresses
                (member_id,) = app.membership.plan("kit").group
                (entry,) = await app.addresses_for("kit", may_relay=True)
                assert entry["id_prefix"].startswith(f"{member_id}-")

    asyncio.run(run())


def test_dead_members_are_skipped_and_responses_cached():
    """Guards against failing on a dead member and a request for each caller."""

    async def run():
        async with _fleet(2) as fleet:
            session = fleet.applications[0]._session
            dead = local_fleet.free_address()
            clock = clocks.ManualClock()
            address_relay = relay.AddressRelay(clock)
            live = fleet.entry_addresses[0]
            found = await address_relay.fetch(session, "kit", [dead, live])
            assert {item["address"] for item in found} <= set(
                fleet.entry_addresses
            )
            assert await address_relay.fetch(session, "kit", [dead]) is found
            clock.advance(relay.CACHE_TTL_MS)
            assert await address_relay.fetch(session, "kit", [dead]) is None

    asyncio.run(run())
