"""Tests of the configuration and the targets in force."""

from slatechute import events
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import dialects
from slatechute.gateway import routing
from tests.gateway import builders

_STEADY = catalogues.Source("platform", 60_000.0)
_JUST_BACK = catalogues.Source("platform", 0.0)


class _Fixture:
    def __init__(self):
        self.dialect = builders.PlainDialect()
        self.bus = events.EventBus()
        self.seen = []
        for kind in (
            catalogues.TargetAdded,
            catalogues.TargetChanged,
            catalogues.TargetRemoved,
            catalogues.RoutingAdopted,
        ):
            self.bus.stream(kind).subscribe(self.seen.append)
        self.catalogue = catalogues.Catalogue(
            builders.gateway_settings(),
            self.dialect,
            self.bus,
        )

    def put(self, revision, target, source=_STEADY):
        text = f"v{revision}"
        self.dialect.target_by_key[text] = target
        item = dialects.PublishedItem("t/1", revision, text.encode())
        self.catalogue.apply([item], revision, source)

    def delete(self, revision, source=_STEADY):
        item = dialects.PublishedItem("t/1", revision, None)
        self.catalogue.apply([item], revision, source)

    def kinds(self):
        return [type(event).__name__ for event in self.seen]


def test_leaving_target_is_removed_at_once():
    """Requests that reach a leaving target too late break its drain."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.put(2, builders.target(sequence=2, leaving=True))
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved"]


def test_entry_that_only_counts_up_changes_nothing():
    """A heartbeat must not reset what is known of the target."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.put(2, builders.target(sequence=2))
    assert fixture.kinds() == ["TargetAdded"]


def test_restart_under_the_same_id_is_another_target():
    """The restarted process knows nothing and is cold."""
    fixture = _Fixture()
    fixture.put(1, builders.target(sequence=9))
    fixture.put(2, builders.target(incarnation=2, sequence=1))
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved", "TargetAdded"]


def test_delayed_entry_does_not_undo_leaving():
    """An entry written before the target left may arrive after it."""
    fixture = _Fixture()
    fixture.put(1, builders.target(sequence=1))
    fixture.put(2, builders.target(sequence=3, leaving=True))
    fixture.put(3, builders.target(sequence=2))
    fixture.delete(4)
    fixture.put(5, builders.target(sequence=2))
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved"]


def test_unusable_entry_names_no_target():
    """An entry of another writer must not keep or harm a target."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.put(2, None)
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved"]


def test_removed_entry_takes_the_target_out_while_the_platform_is_steady():
    """A target without an entry is leaving or gone."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.delete(2)
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved"]


def test_entry_that_lapsed_during_an_outage_is_held():
    """All targets would go at once although they live."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.delete(2, _JUST_BACK)
    fixture.catalogue.expire(1_900.0)
    assert fixture.kinds() == ["TargetAdded"]
    fixture.catalogue.expire(2_000.0)
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved"]


def test_held_entry_that_comes_back_stays():
    """Targets register again within two seconds of the platform's return."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.delete(2, _JUST_BACK)
    fixture.put(3, builders.target(sequence=5))
    fixture.catalogue.expire(9_000.0)
    assert fixture.kinds() == ["TargetAdded"]


def test_snapshot_removes_what_it_does_not_list():
    """After a gap in the history removals show only by their absence."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.catalogue.replace([], 5, _STEADY)
    assert fixture.kinds() == ["TargetAdded", "TargetRemoved"]


def test_older_configuration_never_replaces_a_newer_one():
    """A stale read would make the entry regress."""
    fixture = _Fixture()
    for revision, version in ((1, 7), (2, 5)):
        table = routing.RoutingTable(version, [])
        fixture.dialect.table_by_revision[revision] = table
        item = dialects.PublishedItem("c", revision, b"x")
        fixture.catalogue.apply([item], revision, _STEADY)
    assert fixture.catalogue.table.version == 7


def test_unusable_configuration_leaves_the_one_in_force():
    """A broken write must not take all routes away."""
    fixture = _Fixture()
    table = routing.RoutingTable(7, [])
    fixture.dialect.table_by_revision[1] = table
    for revision in (1, 2):
        item = dialects.PublishedItem("c", revision, b"x")
        fixture.catalogue.apply([item], revision, _STEADY)
    assert fixture.catalogue.table is table


def test_item_that_fails_does_not_hold_back_the_others():
    """They are known to the view by then, so no later reading brings them."""
    fixture = _Fixture()
    fixture.dialect.target_by_key["good"] = builders.target()
    read_target = fixture.dialect.parse_target

    def target(item):
        if item.value == b"bad":
            raise RuntimeError("unexpected")
        return read_target(item)

    fixture.dialect.parse_target = target
    items = [
        dialects.PublishedItem("t/0", 1, b"bad"),
        dialects.PublishedItem("t/1", 2, b"good"),
    ]
    fixture.catalogue.apply(items, 2, _STEADY)
    assert fixture.kinds() == ["TargetAdded"]
