"""Tests of the choice of active entries."""

import random

import pytest

from slatechute import messages
from slatechute.gateway import serving

_STEP_MS = 100.0


def _presence(entry_id, **fields):
    return messages.Presence(
        entry_id, "b", "dc1", "h:1", "h:2", 1, "ready", **fields
    )


class _DataCentre:
    """Entries that decide in turn, each from the heartbeats of the others."""

    def __init__(self, count, *, strong=0, heartbeat_ms=_STEP_MS):
        self.now_ms = 0.0
        self.heartbeat_ms = heartbeat_ms
        self.role_by_id = {}
        self.presence_by_id = {}
        for number in range(count):
            self.add(
                f"e{number:02}", processor_share=2.0 if number < strong else 0.5
            )
        # What the entries know of each other.
        self.known_by_id = {}
        self.publish()

    def add(self, entry_id, **fields):
        self.role_by_id[entry_id] = serving.ActiveRole()
        self.presence_by_id[entry_id] = _presence(
            entry_id, is_active=False, **fields
        )

    def remove(self, *entry_ids):
        """Stop entries; the others notice it at the next heartbeat."""
        for entry_id in entry_ids:
            del self.role_by_id[entry_id]
            del self.presence_by_id[entry_id]

    def publish(self):
        self.known_by_id = {
            entry_id: _presence(
                entry_id,
                is_active=presence.is_active,
                processor_share=presence.processor_share,
                busy=presence.busy,
            )
            for entry_id, presence in self.presence_by_id.items()
        }

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += _STEP_MS
            if self.now_ms % self.heartbeat_ms == 0:
                self.publish()
            order = list(self.role_by_id)
            random.Random(self.now_ms).shuffle(order)
            for entry_id in order:
                self._decide(entry_id)

    def _decide(self, entry_id):
        peers = [p for i, p in self.known_by_id.items() if i != entry_id]
        role, own = self.role_by_id[entry_id], self.presence_by_id[entry_id]
        if role.update(own, peers, self.now_ms):
            own.is_active = role.is_active
            self.publish()

    def active(self):
        return sorted(
            i for i, role in self.role_by_id.items() if role.is_active
        )


@pytest.mark.parametrize("count", [1, 3, 6])
def test_small_data_centre_has_no_standbys(count):
    """Callers would lose entries while the cost of all of them is small."""
    data_centre = _DataCentre(count)
    data_centre.advance(_STEP_MS)
    assert len(data_centre.active()) == count


def test_large_data_centre_has_few_active_entries():
    """The cost of reports grows with the square of their number."""
    data_centre = _DataCentre(52)
    data_centre.advance(5_000)
    assert data_centre.active() == [f"e{n:02}" for n in range(6)]


def test_strong_hosts_go_first():
    """Callers choose at random, so weak hosts would be the slowest part."""
    data_centre = _DataCentre(10)
    data_centre.add("z", processor_share=2.0)
    data_centre.advance(5_000)
    assert "z" in data_centre.active()
    assert len(data_centre.active()) == 6


def test_failed_entries_are_replaced_within_a_second():
    """Until then callers of a data centre share the remaining ones."""
    data_centre = _DataCentre(30)
    data_centre.advance(5_000)
    data_centre.remove(*data_centre.active())
    data_centre.advance(1_000)
    assert len(data_centre.active()) >= 6


def test_entries_that_failed_without_notice_do_not_keep_their_turn():
    """Half of a data centre may fail; standbys know little of each other."""
    data_centre = _DataCentre(40, heartbeat_ms=60_000)
    data_centre.advance(5_000)
    failed = [f"e{n:02}" for n in range(26)]
    data_centre.remove(*failed)
    # The failure of the active entries is noticed, that of the standbys is not.
    for entry_id in failed[:6]:
        del data_centre.known_by_id[entry_id]
    data_centre.publish = lambda: None
    for entry_id, presence in data_centre.presence_by_id.items():
        data_centre.known_by_id[entry_id] = presence
    data_centre.advance(2_000)
    assert len(data_centre.active()) >= 6


def test_returning_entry_takes_its_place_gently():
    """Callers keep addresses, so the entry it replaces must not go at once."""
    data_centre = _DataCentre(10)
    data_centre.advance(5_000)
    data_centre.remove("e00")
    data_centre.advance(1_000)
    assert "e06" in data_centre.active()
    data_centre.add("e00", processor_share=0.5)
    data_centre.advance(2_000)
    assert {"e00", "e06"} <= set(data_centre.active())
    data_centre.advance(3_000)
    assert data_centre.active() == [f"e{n:02}" for n in range(6)]


def test_busy_entries_get_help():
    """Requests at a busy entry wait for each other."""
    data_centre = _DataCentre(20)
    data_centre.advance(5_000)
    for entry_id in data_centre.active():
        data_centre.presence_by_id[entry_id].busy = 0.9
    data_centre.advance(3_000)
    assert len(data_centre.active()) >= 12


def test_one_busy_entry_is_not_the_load_of_all():
    """A host may be slow for reasons of its own."""
    data_centre = _DataCentre(20)
    data_centre.advance(5_000)
    data_centre.presence_by_id["e00"].busy = 3.0
    data_centre.advance(3_000)
    assert len(data_centre.active()) == 6


def test_entries_that_know_nobody_yet_do_not_all_become_active():
    """146 entries that restarted before their seeds all sent load reports."""
    own = _presence("e1", is_active=False)
    role = serving.ActiveRole(started_ms=1_000.0)
    assert not role.update(own, [], 1_100.0)
    strong = [
        _presence(f"s{number}", is_active=True, processor_share=2.0)
        for number in range(6)
    ]
    role.update(own, strong[:3], 1_200.0)
    assert role.is_active
    role.update(own, strong, 1_300.0)
    role.update(own, strong, 2_200.0)
    assert not role.is_active
    alone = serving.ActiveRole(started_ms=1_000.0)
    alone.update(own, [], 1_700.0)
    assert alone.is_active


def test_platform_that_is_down_is_not_called_by_all_entries():
    """146 entries took the place of readers that were without connection."""
    turns = [serving.ReaderTurn(2) for _ in range(48)]
    for now_ms in range(0, 8_100, 100):
        reading = [
            turn.is_due(True, ahead, now_ms) for ahead, turn in enumerate(turns)
        ]
        if now_ms == 0:
            assert reading[:2] == [True, True] and sum(reading) == 2
        if now_ms == 700:
            # Only the hosts of the readers may be cut off.
            assert sum(reading) == 3
    assert sum(reading) < 16
    assert not turns[5].is_due(False, 5, 8_100.0)
