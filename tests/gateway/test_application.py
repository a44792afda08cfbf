"""Tests of complete entries on loopback addresses."""

import asyncio

import aiohttp

from slatechute.gateway import serving
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet


def _ok(request: bytes) -> bytes:
    return scripted_target.response(request)


async def _get(app, path="/a/x", host="h", **headers):
    url = f"http://{app.settings.callers_address}{path}"
    headers = {"Host": host, "Id": "r1", "Deadline": "900"} | headers
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        return response.status, dict(response.headers), await response.read()


def test_request_reaches_a_published_target():
    """An entry must forward with only a published route and target."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(_ok) as target:
            fleet.publish_routes(1, builders.route())
            fleet.publish_target(address=target.address)
            app = await fleet.add()
            await waiting.until(lambda: app.balancer.load_by_id)
            status, headers, body = await _get(app)
            assert (status, body) == (200, b"ok")
            assert headers["Signed"] == "1"

    small_fleet.run(check)


def test_entry_without_configuration_answers_503():
    """With a 404 callers would assume that the route does not exist."""

    async def check(fleet):
        app = await fleet.add()
        status, headers, _ = await _get(app)
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    small_fleet.run(check)


def test_entry_without_configuration_refuses_a_large_body_as_not_run():
    """With a 413 callers would never send the body again."""

    async def check(fleet):
        app = await fleet.add()
        url = f"http://{app.settings.callers_address}/a/x"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, data=b"x" * 300_000) as response,
        ):
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0

    small_fleet.run(check)


def test_unknown_route_answers_404():
    """With a 503, callers would retry a route that does not exist."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        status, _, _ = await _get(app, "/other/")
        assert status == 404

    small_fleet.run(check)


def test_service_without_targets_is_refused_at_once():
    """A caller that waits in vain has no time left for a retry."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        async with asyncio.timeout(0.4):
            status, headers, _ = await _get(app)
        assert status == 503
        assert 0 < float(headers["Retry-After"]) <= 0.3

    small_fleet.run(check)


def test_changes_are_active_within_two_seconds():
    """Requests must not be routed by an older configuration for longer."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        apps = [await fleet.add() for _ in range(4)]
        await waiting.until(lambda: all(app.catalogue.table for app in apps))
        fleet.publish_routes(2, builders.route(prefix="/b/"))
        await waiting.until(
            lambda: all(app.catalogue.table.version == 2 for app in apps), 2.0
        )

    small_fleet.run(check)


def test_only_two_entries_of_a_data_centre_read_the_platform():
    """If all entries read, a large fleet would exceed the rate limit.

    Each request is also billed.
    """

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        apps = [await fleet.add() for _ in range(4)]
        await waiting.until(
            lambda: (
                [app.is_reading for app in apps] == [True, True, False, False]
            )
        )

    small_fleet.run(check)


def test_entry_without_the_platform_adopts_the_view_of_a_peer():
    """An entry that reads only the platform would keep stale routes.

    The platform may refuse the requests of some hosts only.
    """

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        first = await fleet.add()
        refused = small_fleet.MemorySource()
        refused.is_down = True
        second = await fleet.add(source=refused, data_centre="dc2")
        await waiting.until(lambda: second.catalogue.table)
        fleet.publish_routes(2, builders.route())
        await waiting.until(lambda: second.catalogue.table.version == 2, 2.0)
        assert first.catalogue.table.version == 2

    small_fleet.run(check)


def test_discarded_history_is_replaced_by_a_snapshot():
    """The discarded changes would otherwise never become active."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        fleet.source.compacted_revision = fleet.source.revision + 1
        fleet.publish_routes(2, builders.route())
        await waiting.until(lambda: app.catalogue.table.version == 2, 2.0)

    small_fleet.run(check)


def test_leaving_entry_is_no_longer_listed():
    """Callers would connect to an entry that is about to stop."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        first, second = await fleet.add(), await fleet.add()
        await waiting.until(lambda: len(first.addresses()) == 2)
        drain = asyncio.create_task(second.drain())
        await waiting.until(lambda: len(first.addresses()) == 1, 0.3)
        assert await drain

    small_fleet.run(check)


def test_leaving_entry_answers_accepted_requests():
    """A planned stop must not interrupt an in-flight request."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(_ok) as target:
            target.delay_s = 0.4
            fleet.publish_routes(1, builders.route(repeatable=False))
            fleet.publish_target(address=target.address)
            app = await fleet.add()
            await waiting.until(lambda: app.balancer.load_by_id)
            request = asyncio.create_task(_get(app))
            await target.arrived.wait()
            assert await app.drain()
            assert (await request)[0] == 200

    small_fleet.run(check)


def test_silent_entry_is_no_longer_listed():
    """Callers would connect to a failed host."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        first, second = await fleet.add(), await fleet.add()
        await waiting.until(lambda: len(first.addresses()) == 2)
        await second.stop()
        await waiting.until(lambda: len(first.addresses()) == 1, 1.5)

    small_fleet.run(check)


def test_entries_report_their_requests():
    """Entries without such reports overload the same target."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(_ok) as target:
            target.delay_s = 0.5
            fleet.publish_routes(1, builders.route())
            fleet.publish_target(address=target.address)
            first, second = await fleet.add(), await fleet.add()
            await waiting.until(
                lambda: (
                    second.balancer.load_by_id and len(second.addresses()) == 2
                )
            )
            request = asyncio.create_task(_get(first))
            load = second.balancer.load_by_id["t1"]
            await waiting.until(lambda: load.occupancy() == 1, 0.4)
            await request
            await waiting.until(lambda: load.occupancy() == 0, 0.4)

    small_fleet.run(check)


def test_metrics_page_has_counters_and_latencies():
    """Operators can monitor an entry only by this page and the logs."""

    async def check(fleet):
        app = await fleet.add()
        settings = app.settings
        url = f"http://{settings.host}:{settings.metrics_port}/metrics"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            text = await response.text()
        assert "slatechute_refusals_total" in text
        assert "slatechute_total_latency_seconds_bucket" in text

    small_fleet.run(check)


async def _start_large_fleet(fleet):
    """Start more entries than a data centre needs active ones."""
    fleet.publish_routes(1, builders.route())
    apps = [await fleet.add() for _ in range(9)]
    await waiting.until(
        lambda: all(len(app.group.local_peers()) == 8 for app in apps)
    )
    await waiting.until(
        lambda: all(len(app.addresses()) == serving.MIN_ACTIVE for app in apps),
        8.0,
    )
    return apps


def test_standbys_return_the_active_entries():
    """Callers that are sent to standbys cost reports between all entries."""

    async def check(fleet):
        apps = await _start_large_fleet(fleet)
        assert len({tuple(sorted(app.addresses())) for app in apps}) == 1

    small_fleet.run(check)


def test_standby_serves_a_request():
    """Callers keep the address of an entry that has become a standby."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(_ok) as target:
            fleet.publish_target(address=target.address)
            apps = await _start_large_fleet(fleet)
            active = apps[0].addresses()
            [standby, *_] = [
                app
                for app in apps
                if app.settings.callers_address not in active
            ]
            await waiting.until(lambda: standby.balancer.load_by_id)
            status, _, _ = await _get(standby)
            assert status == 200

    small_fleet.run(check)


def test_change_is_active_at_standbys_within_two_seconds():
    """Requests at standbys must not be routed by an older configuration."""

    async def check(fleet):
        apps = await _start_large_fleet(fleet)
        fleet.publish_routes(2, builders.route(prefix="/b/"))
        await waiting.until(
            lambda: all(app.catalogue.table.version == 2 for app in apps), 2.0
        )

    small_fleet.run(check)


def test_small_changes_need_no_request_of_the_peers():
    """A request of every entry for every change loads the reader's link."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        apps = [await fleet.add() for _ in range(3)]
        await waiting.until(lambda: all(app.catalogue.table for app in apps))
        fetched = []
        for app in apps:
            app._fetch_peer_view = fetched.append
        await asyncio.sleep(0.4)
        fleet.publish_target(target_id="t9")
        await waiting.until(
            lambda: all("t9" in app.balancer.load_by_id for app in apps), 2.0
        )
        assert not fetched

    small_fleet.run(check)


def test_entry_with_a_slow_link_reports_that_it_is_busy():
    """Large responses fill the link of a host long before its processor."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(
            lambda request: scripted_target.response(
                request, body=b"x" * 50_000
            )
        ) as target:
            fleet.publish_routes(1, builders.route())
            fleet.publish_target(address=target.address)
            app = await fleet.add(link_mbps=1.0)
            await waiting.until(lambda: app.balancer.load_by_id)
            for _ in range(4):
                await _get(app)
            await waiting.until(lambda: app._presence().busy > 0.5, 2.0)

    small_fleet.run(check)


def test_silent_peer_is_not_named_to_callers():
    """A standby's loss is noticed 17 s late; callers would wait for it."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        other = await fleet.add()
        await waiting.until(lambda: len(app.addresses()) == 2)
        peer = app.group.peers_by_id[other.settings.entry_id]
        peer.last_received_ms -= app.settings.max_silence_s * 1000
        assert app.addresses() == [app.settings.callers_address]

    small_fleet.run(check)
