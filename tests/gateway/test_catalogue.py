"""Tests of the active configuration and targets."""

from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import dialects
from slatechute.gateway import routing
from slatechute.util import clock as clocks
from tests.gateway import builders

_CONNECTED = catalogues.Source("platform", 60_000.0)
_RECONNECTED = catalogues.Source("platform", 0.0)


class _Recorder:
    """Observer that records the names of its calls."""

    def __init__(self):
        self.calls = []

    def routing_adopted(self, table):
        self.calls.append("routing_adopted")

    def target_added(self, target):
        self.calls.append("target_added")

    def target_changed(self, target):
        self.calls.append("target_changed")

    def target_removed(self, target):
        self.calls.append("target_removed")


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

    def put(self, revision, target, source=_CONNECTED):
        text = f"v{revision}"
        self.dialect.target_by_key[text] = target
        item = dialects.PublishedItem("t/1", revision, text.encode())
        self.catalogue.apply([item], revision, source)

    def delete(self, revision, source=_CONNECTED):
        item = dialects.PublishedItem("t/1", revision, None)
        self.catalogue.apply([item], revision, source)


def test_leaving_target_is_removed_at_once():
    """Requests that arrive after its drain began may be interrupted."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.put(2, builders.target(sequence=2, leaving=True))
    assert fixture.observer.calls == ["target_added", "target_removed"]


def test_registration_with_only_a_new_sequence_changes_nothing():
    """Targets renew their registration; that must not reset their load."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.put(2, builders.target(sequence=2))
    assert fixture.observer.calls == ["target_added"]


def test_restart_under_the_same_id_is_another_target():
    """The new process has lost its requests and is in warm-up."""
    fixture = _Fixture()
    fixture.put(1, builders.target(sequence=9))
    fixture.put(2, builders.target(incarnation=2, sequence=1))
    assert fixture.observer.calls == [
        "target_added",
        "target_removed",
        "target_added",
    ]


def test_delayed_registration_does_not_undo_leaving():
    """A registration written before the target left may arrive afterwards."""
    fixture = _Fixture()
    fixture.put(1, builders.target(sequence=1))
    fixture.put(2, builders.target(sequence=3, leaving=True))
    fixture.put(3, builders.target(sequence=2))
    fixture.delete(4)
    fixture.put(5, builders.target(sequence=2))
    assert fixture.observer.calls == ["target_added", "target_removed"]


def test_invalid_registration_removes_the_target():
    """Another program may overwrite the registration with other data."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.put(2, None)
    assert fixture.observer.calls == ["target_added", "target_removed"]


def test_removed_registration_removes_the_target_while_connected():
    """A target without a registration is leaving or has stopped."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.delete(2)
    assert fixture.observer.calls == ["target_added", "target_removed"]


def test_target_that_expired_during_an_outage_is_held():
    """All registrations expire in an outage although the targets still run."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.delete(2, _RECONNECTED)
    fixture.catalogue.remove_expired(1_900.0)
    assert fixture.observer.calls == ["target_added"]
    fixture.catalogue.remove_expired(2_000.0)
    assert fixture.observer.calls == ["target_added", "target_removed"]


def test_held_target_that_registers_again_stays():
    """Targets register again within two seconds after an outage."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.delete(2, _RECONNECTED)
    fixture.put(3, builders.target(sequence=5))
    fixture.catalogue.remove_expired(9_000.0)
    assert fixture.observer.calls == ["target_added"]


def test_snapshot_removes_what_it_does_not_list():
    """After discarded history a removal shows only as a missing item."""
    fixture = _Fixture()
    fixture.put(1, builders.target())
    fixture.catalogue.replace([], 5, _CONNECTED)
    assert fixture.observer.calls == ["target_added", "target_removed"]


def test_older_configuration_never_replaces_a_newer_one():
    """A stale read must not restore an older configuration."""
    fixture = _Fixture()
    for revision, version in ((1, 7), (2, 5)):
        table = routing.RoutingTable(version, [])
        fixture.dialect.table_by_revision[revision] = table
        item = dialects.PublishedItem("c", revision, b"x")
        fixture.catalogue.apply([item], revision, _CONNECTED)
    assert fixture.catalogue.table.version == 7


def test_invalid_configuration_does_not_replace_the_active_one():
    """A faulty write must not remove all routes."""
    fixture = _Fixture()
    table = routing.RoutingTable(7, [])
    fixture.dialect.table_by_revision[1] = table
    for revision in (1, 2):
        item = dialects.PublishedItem("c", revision, b"x")
        fixture.catalogue.apply([item], revision, _CONNECTED)
    assert fixture.catalogue.table is table


def test_item_that_fails_does_not_prevent_the_others():
    """The view holds the others already, so no later read returns them."""
    fixture = _Fixture()
    fixture.dialect.target_by_key["good"] = builders.target()
    parse_target = fixture.dialect.parse_target

    def parse_or_fail(item):
        if item.value == b"bad":
            raise RuntimeError("unexpected")
        return parse_target(item)

    fixture.dialect.parse_target = parse_or_fail
    items = [
        dialects.PublishedItem("t/0", 1, b"bad"),
        dialects.PublishedItem("t/1", 2, b"good"),
    ]
    fixture.catalogue.apply(items, 2, _CONNECTED)
    assert fixture.observer.calls == ["target_added"]
