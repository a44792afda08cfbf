"""Tests of a platform that was restored from an older copy of its content."""

import asyncio

import aiohttp
import pytest

from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import dialects
from slatechute.gateway import published
from slatechute.gateway import routing
from slatechute.util import clock as clocks
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet

_STEADY = catalogues.Source("platform", 60_000.0)
_RESTORED = catalogues.Source("platform", 0.0)


def _item(era, revision, key="t/1", value=b"x"):
    return dialects.PublishedItem(key, published.position(era, revision), value)


@pytest.fixture
def view():
    result = published.PublishedView()
    result.replace(
        [_item(1, 95, "c"), _item(1, 101, "t/lost")],
        published.position(1, 101),
    )
    return result


def test_restored_content_replaces_the_view(view):
    """By revisions alone, the next changes would count as old ones."""
    items = [_item(2, 95, "c"), _item(2, 96, "t/new")]
    changes = view.replace(items, published.position(2, 96))
    assert {item.key: item.value for item in changes} == {
        "c": b"x",
        "t/new": b"x",
        "t/lost": None,
    }
    assert view.apply([_item(2, 99, "t/next")], published.position(2, 99))


def test_snapshot_of_an_earlier_era_changes_nothing(view):
    """A replica may still have the content before the restore."""
    view.replace([_item(2, 96, "c")], published.position(2, 96))
    items = [_item(1, 200, "c"), _item(1, 200, "t/old")]
    assert not view.replace(items, published.position(1, 200))
    assert view.revision == published.position(2, 96)


def test_no_differences_are_sent_across_eras(view):
    """A peer would keep what the copy lacks."""
    view.replace([_item(2, 96, "c")], published.position(2, 96))
    view.replace([_item(3, 50, "c")], published.position(3, 50))
    for position in (
        published.position(1, 101),
        published.position(1, 500),
        published.position(2, 96),
        published.position(2, 500),
    ):
        assert view.changes_since(position) is None
    assert view.changes_since(published.position(3, 50)) == []


class _Recorder:
    def __init__(self):
        self.tables = []
        self.removed = []
        self.added = []

    def routing_adopted(self, table):
        self.tables.append(table.version)

    def target_added(self, target):
        self.added.append(target.id)

    def target_changed(self, target):
        pass

    def target_removed(self, target):
        self.removed.append(target.id)


class _Fixture:
    def __init__(self):
        self.dialect = builders.PlainDialect()
        self.observer = _Recorder()
        self.catalogue = catalogues.Catalogue(
            builders.gateway_settings(),
            self.dialect,
            self.observer,
            clocks.MonotonicClock(),
        )

    def target(self, era, revision, target_id="t1", **fields):
        target = builders.target(target_id, **fields)
        text = repr(target)
        self.dialect.target_by_key[text] = target
        return _item(era, revision, f"t/{target_id}", text.encode())

    def table(self, era, revision, version):
        position = published.position(era, revision)
        self.dialect.table_by_revision[position] = routing.RoutingTable(
            version, [builders.route()]
        )
        return _item(era, revision, "c")

    def replace(self, era, revision, *items, source=_RESTORED):
        self.catalogue.replace(
            list(items), published.position(era, revision), source
        )

    def apply(self, era, revision, *items):
        self.catalogue.apply(
            list(items), published.position(era, revision), _RESTORED
        )


def test_target_that_the_copy_lacks_stays_until_it_is_written_again():
    """Its service would have fewer targets, or none, for some seconds."""
    fixture = _Fixture()
    fixture.replace(1, 9, fixture.target(1, 9), source=_STEADY)
    fixture.replace(2, 5)
    assert not fixture.observer.removed
    fixture.apply(2, 6, fixture.target(2, 6, sequence=2))
    fixture.catalogue.remove_expired(5_000.0)
    assert not fixture.observer.removed


def test_target_that_is_not_written_again_is_dropped():
    """It was gone when the platform came back."""
    fixture = _Fixture()
    fixture.replace(1, 9, fixture.target(1, 9), source=_STEADY)
    fixture.replace(2, 5)
    fixture.catalogue.remove_expired(5_000.0)
    assert fixture.observer.removed == ["t1"]


def test_copy_does_not_bring_back_a_target_that_is_gone():
    """Its address may belong to another target."""
    fixture = _Fixture()
    old = fixture.target(1, 5)
    fixture.replace(1, 5, old, source=_STEADY)
    fixture.replace(1, 9, source=_STEADY)
    assert fixture.observer.removed == ["t1"]
    fixture.replace(2, 5, fixture.target(2, 5))
    assert fixture.observer.added == ["t1"]
    fixture.apply(2, 6, fixture.target(2, 6, sequence=2))
    assert fixture.observer.added == ["t1", "t1"]


def test_copy_does_not_end_the_leaving_of_a_target():
    """The copy is from before the target has begun to leave."""
    fixture = _Fixture()
    fixture.replace(1, 5, fixture.target(1, 5), source=_STEADY)
    fixture.apply(1, 9, fixture.target(1, 9, sequence=2, leaving=True))
    fixture.replace(2, 5, fixture.target(2, 5))
    assert fixture.observer.added == ["t1"]


def test_configuration_does_not_go_back_in_two_restores():
    """Routes would go back to services that they have left."""
    fixture = _Fixture()
    fixture.replace(1, 9, fixture.table(1, 9, 3), source=_STEADY)
    fixture.replace(2, 5, fixture.table(2, 5, 2))
    fixture.replace(3, 4, fixture.table(3, 4, 1))
    assert fixture.observer.tables == [3]
    fixture.apply(3, 6, fixture.table(3, 6, 4))
    assert fixture.observer.tables == [3, 4]


def test_change_after_a_restore_is_active_on_all_entries_without_a_gap():
    """Entries that keep the view of the earlier era never adopt it.

    One entry cannot read the platform and one is paused meanwhile.
    """
    statuses = []

    async def check(fleet):
        async with scripted_target.ScriptedTarget(
            scripted_target.response
        ) as target:
            fleet.publish_routes(1, builders.route())
            copy = fleet.source.copy()
            fleet.publish_target(address=target.address, slots=20)
            for number in range(5):
                fleet.publish_target(target_id=f"other{number}", leaving=True)
            refused = small_fleet.MemorySource()
            refused.is_down = True
            apps = [await fleet.add() for _ in range(3)]
            apps.append(await fleet.add(source=refused, data_centre="dc2"))
            await waiting.until(
                lambda: all(app.balancer.load_by_id for app in apps)
            )
            url = f"http://{apps[0].settings.callers_address}/a/x"

            async def send(session):
                while True:
                    headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
                    async with session.get(url, headers=headers) as response:
                        statuses.append(response.status)
                    await asyncio.sleep(0.02)

            async with aiohttp.ClientSession() as session:
                sender = asyncio.create_task(send(session))
                fleet.source.is_down = True
                await asyncio.sleep(0.3)
                fleet.source.is_down = False
                fleet.source.restore(copy)
                await asyncio.sleep(0.5)
                fleet.publish_target(
                    address=target.address, slots=20, sequence=2
                )
                fleet.publish_routes(2, builders.route())
                await waiting.until(
                    lambda: all(
                        app.catalogue.table.version == 2 for app in apps
                    ),
                    2.0,
                )
                await asyncio.sleep(2.5)
                sender.cancel()
            assert all(app.balancer.load_by_id for app in apps)
            assert set(statuses) == {200}

    small_fleet.run(check)
