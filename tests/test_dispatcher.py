"""The dispatch core over several entries in memory."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from slatechute import errors
from slatechute import leases
from slatechute import tickets
from tests import fleet as fleets


def _used_by_target(fleet: fleets.Fleet, running: dict) -> collections.Counter:
    return collections.Counter(
        fleet.entry_by_id[entry].lease_by_number[number].target.id
        for entry, number in running
    )


def test_request_reaches_a_free_slot_of_another_entry():
    """Guards against waiting at one entry while another has free slots."""
    fleet = fleets.Fleet(entries=2, targets=6, slots=1)
    for number in range(6):
        fleet.entry_by_id["e0"].submit(number)
    fleet.deliver()
    assert len(fleet.entry_by_id["e0"].lease_by_number) == 6


def test_freed_slot_goes_to_the_oldest_request():
    """Guards against a peer's request that starves behind younger ones."""
    fleet = fleets.Fleet(entries=2, targets=1, slots=1)
    owner = next(
        e
        for e in fleet.entry_by_id.values()
        if e.core._services["plans"].state_by_id
    )
    other = next(e for e in fleet.entry_by_id.values() if e is not owner)
    owner.submit(1)
    other.submit(2)
    fleet.deliver()
    fleet.clock.advance(tickets.REMOTE_HANDICAP_MS + 1)
    owner.submit(3)
    owner.finish(1)
    fleet.deliver()
    assert 2 in other.lease_by_number
    assert 3 not in owner.lease_by_number


def test_request_without_time_is_refused_at_once():
    """Guards against queueing what cannot make its deadline."""
    fleet = fleets.Fleet(entries=1, targets=1, slots=1)
    entry = fleet.entry_by_id["e0"]
    for number in range(20):
        entry.submit(number)
    now_ms = fleet.clock.now_ms()
    entry.submit(99, deadline_ms=now_ms + 50)
    assert entry.reason_by_number[99] is errors.Reason.DEADLINE


def test_parts_of_a_split_fleet_share_the_slots():
    """Guards against both sides of a partition using all slots."""
    fleet = fleets.Fleet(entries=4, targets=3, slots=6)
    fleet.partition({"e0"})
    fleet.advance(200)
    fleet.warm_up()
    granted = {}
    for side in ("e0", "e1"):
        entry = fleet.entry_by_id[side]
        for number in range(40):
            entry.submit(number)
        fleet.deliver()
        granted[side] = len(entry.lease_by_number)
    # A quarter and three quarters of 18 slots, one more at most each target.
    assert granted["e0"] <= 6
    assert granted["e1"] <= 15
    assert sum(granted.values()) <= 18 + 3


def test_new_dispatcher_counts_exchanges_under_way():
    """Guards against granting slots that a predecessor has granted."""
    fleet = fleets.Fleet(entries=2, targets=1, slots=2)
    holder = fleet.entry_by_id["e0"]
    holder.submit(1)
    fleet.deliver()
    assert 1 in holder.lease_by_number
    owner = next(
        key
        for key, e in fleet.entry_by_id.items()
        if e.core._services["plans"].state_by_id
    )
    successor = next(e for key, e in fleet.entry_by_id.items() if key != owner)
    for entry in fleet.entry_by_id.values():
        entry.core.set_service(
            "plans",
            dispatcher_by_target={"t0": successor.id},
            targets_by_id=fleet.target_by_id,
            slots=2,
            queue_length=10,
            share=1.0,
            reachable=frozenset(fleet.entry_by_id) - {entry.id},
            now_ms=fleet.clock.now_ms(),
        )
    fleet.deliver()
    fleet.warm_up()
    for number in (10, 11, 12):
        successor.submit(number)
    assert len(successor.lease_by_number) == 1 + (successor is holder)


def test_fast_failures_attract_no_load():
    """Guards against a target that fails at once taking most requests."""
    fleet = fleets.Fleet(entries=1, targets=4, slots=2)
    entry = fleet.entry_by_id["e0"]
    sent = collections.Counter()
    for number in range(400):
        entry.submit(number)
        fleet.advance(1)
        lease = entry.lease_by_number.get(number)
        if lease is None:
            continue
        sent[lease.target.id] += 1
        if lease.target.id == "t0":
            entry.finish(number, leases.Result.FAILED, 0.1)
        else:
            entry.finish(number)
    assert sent["t0"] <= 6
    assert entry.ejections


@pytest.mark.parametrize("broken", [2, 4])
def test_at_most_half_of_the_targets_are_ejected(broken):
    """Guards against ejecting the whole service on a common fault."""
    fleet = fleets.Fleet(entries=1, targets=4, slots=2)
    entry = fleet.entry_by_id["e0"]
    most = 0
    for number in range(400):
        entry.submit(number)
        fleet.advance(20)
        lease = entry.lease_by_number.get(number)
        if lease is not None:
            bad = int(lease.target.id[1:]) < broken
            result = leases.Result.FAILED if bad else leases.Result.OK
            entry.finish(number, result, 1.0)
        now_ms = fleet.clock.now_ms()
        states = fleet.target_states()
        blocked = sum(s.ejected_until_ms > now_ms for s in states)
        most = max(most, blocked)
    assert 1 <= most <= 2


_ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["submit", "finish", "fail", "shed", "deliver", "tick", "cancel"]
        ),
        strategies.integers(0, 50),
    ),
    max_size=120,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(_ACTIONS)
def test_slots_are_never_overcommitted(actions):
    """Guards against more exchanges on a target than it has slots."""
    fleet = fleets.Fleet(entries=3, targets=3, slots=2)
    entries = list(fleet.entry_by_id.values())
    submitted: list[tuple[str, int]] = []
    ended: set[tuple[str, int]] = set()
    for step, (action, choice) in enumerate(actions):
        running = [
            (e.id, number)
            for e in entries
            for number in e.lease_by_number
            if (e.id, number) not in ended
        ]
        if action == "submit":
            entry = entries[choice % len(entries)]
            entry.submit(step)
            submitted.append((entry.id, step))
        elif action == "deliver":
            fleet.deliver(choice)
        elif action == "tick":
            fleet.advance(choice)
        elif action == "cancel" and submitted:
            entry_id, number = submitted[choice % len(submitted)]
            fleet.entry_by_id[entry_id].core.cancel(number)
        elif running:
            key = running[choice % len(running)]
            result = {
                "finish": leases.Result.OK,
                "fail": leases.Result.FAILED,
                "shed": leases.Result.SHED,
            }.get(action, leases.Result.CANCELLED)
            fleet.entry_by_id[key[0]].finish(key[1], result)
            ended.add(key)
        running = [
            (e.id, number)
            for e in entries
            for number in e.lease_by_number
            if (e.id, number) not in ended
        ]
        used = _used_by_target(fleet, running)
        assert all(count <= fleet.slots for count in used.values())


def test_slot_of_a_cancelled_request_goes_to_the_next_one(monkeypatch):
    """Guards against granting the same request again within its grant.

    A caller that is gone returns the slot while the dispatcher is serving; the
    request was still queued then and the two calls recursed without end.
    """
    fleet = fleets.Fleet(entries=1, targets=1, slots=1)
    entry = fleet.entry_by_id["e0"]
    for number in (1, 2, 3):
        entry.submit(number)
    granted = entry.on_granted

    def return_if_gone(number, lease):
        granted(number, lease)
        if number == 2:
            entry.finish(number, leases.Result.UNUSED)

    monkeypatch.setattr(entry, "on_granted", return_if_gone)
    entry.finish(1)
    assert 3 in entry.lease_by_number


def test_hedge_takes_no_slot_that_a_request_waits_for():
    """Guards against hedges that slow other requests down under load."""
    fleet = fleets.Fleet(entries=1, targets=1, slots=1)
    entry = fleet.entry_by_id["e0"]
    entry.submit(1)
    entry.submit(2, spare_only=True)
    fleet.clock.advance(1)
    entry.submit(3)
    entry.finish(1)
    assert 3 in entry.lease_by_number
    assert 2 not in entry.lease_by_number
    entry.finish(3)
    assert 2 in entry.lease_by_number


def test_near_saturation_there_is_no_slot_to_spare():
    """Guards against hedges that push a loaded service into overload."""
    fleet = fleets.Fleet(entries=1, targets=5, slots=2)
    entry = fleet.entry_by_id["e0"]
    for number in range(8):
        entry.submit(number)
    assert entry.core.has_spare_slots("plans", fleet.clock.now_ms())
    entry.submit(8)
    assert not entry.core.has_spare_slots("plans", fleet.clock.now_ms())


def test_lost_grant_is_asked_for_again():
    """Guards against a request that waits for a dispatcher that forgot it.

    All dispatchers were asked once, and all messages were lost.
    """
    fleet = fleets.Fleet(entries=2, targets=2, fan_out=1)
    asking, other = fleet.entry_by_id.values()
    own = list(asking.core._services["plans"].state_by_id.values())
    for state in own:
        state.limit = 0.0
    asking.submit(1)
    fleet.outbox.clear()
    for _ in range(6):
        fleet.advance(20)
        fleet.deliver()
    assert 1 in asking.lease_by_number


def test_request_asked_twice_is_granted_once():
    """Guards against two slots for a request that is asked for again."""
    fleet = fleets.Fleet(entries=2, targets=2, fan_out=1)
    asking, other = fleet.entry_by_id.values()
    for state in fleet.target_states():
        state.limit = 0.0
    asking.submit(1)
    fleet.deliver()
    asking.core.link_replaced(other.id, fleet.clock.now_ms())
    fleet.deliver()
    fleet.warm_up()
    fleet.advance(1)
    fleet.deliver()
    held = [s.leases_by_id for s in fleet.target_states()]
    assert sum(len(leases_by_id) for leases_by_id in held) == 1


def test_pause_gives_back_the_share_of_bulk():
    """Guards against slots for large answers that are lost by a pause."""
    fleet = fleets.Fleet(entries=1, targets=1)
    (entry,) = fleet.entry_by_id.values()
    entry.submit(1, bulk=True)
    entry.core.resume(frozenset(), fleet.clock.now_ms())
    entry.finish(1)
    entry.submit(2, bulk=True)
    assert 2 in entry.lease_by_number
