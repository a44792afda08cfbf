"""Tests of the dispatcher core with several entries in memory."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from slatechute import errors
from slatechute import leases
from slatechute import slot_requests
from tests import fleet as fleets


def _used_by_target(fleet: fleets.Fleet, running: dict) -> collections.Counter:
    return collections.Counter(
        fleet.entry_by_id[entry].lease_by_number[number].target.id
        for entry, number in running
    )


def test_request_reaches_a_free_slot_of_another_entry():
    """Guards against requests that wait while another entry has free slots."""
    fleet = fleets.Fleet(entries=2, targets=6, slots=1)
    for number in range(6):
        fleet.entry_by_id["e0"].submit(number)
    fleet.deliver()
    assert len(fleet.entry_by_id["e0"].lease_by_number) == 6


def test_freed_slot_goes_to_the_oldest_request():
    """Guards against starvation of a peer's request by younger local ones."""
    fleet = fleets.Fleet(entries=2, targets=1, slots=1)
    dispatching = next(
        e
        for e in fleet.entry_by_id.values()
        if e.core._services["plans"].state_by_id
    )
    other = next(e for e in fleet.entry_by_id.values() if e is not dispatching)
    dispatching.submit(1)
    other.submit(2)
    fleet.deliver()
    fleet.clock.advance(slot_requests.REMOTE_HANDICAP_MS + 1)
    dispatching.submit(3)
    dispatching.finish(1)
    fleet.deliver()
    assert 2 in other.lease_by_number
    assert 3 not in dispatching.lease_by_number


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    """Guards against queueing a request that cannot meet its deadline."""
    fleet = fleets.Fleet(entries=1, targets=1, slots=1)
    entry = fleet.entry_by_id["e0"]
    for number in range(20):
        entry.submit(number)
    now_ms = fleet.clock.now_ms()
    entry.submit(99, deadline_ms=now_ms + 50)
    assert entry.reason_by_number[99] is errors.Reason.DEADLINE


def test_partitions_of_the_fleet_share_the_slots():
    """Guards against both sides of a partition using all slots."""
    fleet = fleets.Fleet(entries=4, targets=3, slots=6)
    fleet.partition({"e0"})
    fleet.advance(200)
    fleet.warm_up()
    granted_by_entry = {}
    for side in ("e0", "e1"):
        entry = fleet.entry_by_id[side]
        for number in range(40):
            entry.submit(number)
        fleet.deliver()
        granted_by_entry[side] = len(entry.lease_by_number)
    # A quarter and three quarters of 18 slots, plus at most one per target for
    # rounding.
    assert granted_by_entry["e0"] <= 6
    assert granted_by_entry["e1"] <= 15
    assert sum(granted_by_entry.values()) <= 18 + 3


def test_new_dispatcher_counts_in_flight_exchanges():
    """Guards against granting slots that the last dispatcher has granted."""
    fleet = fleets.Fleet(entries=2, targets=1, slots=2)
    holder = fleet.entry_by_id["e0"]
    holder.submit(1)
    fleet.deliver()
    assert 1 in holder.lease_by_number
    dispatcher_id = next(
        key
        for key, e in fleet.entry_by_id.items()
        if e.core._services["plans"].state_by_id
    )
    successor = next(
        e for key, e in fleet.entry_by_id.items() if key != dispatcher_id
    )
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


def test_fast_failures_do_not_attract_load():
    """Guards against sending most requests to a target that fails at once.

    Such a target frees its slots faster than all others.
    """
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
    """Guards against ejecting all targets of a service on a common fault."""
    fleet = fleets.Fleet(entries=1, targets=4, slots=2)
    entry = fleet.entry_by_id["e0"]
    max_ejected = 0
    for number in range(400):
        entry.submit(number)
        fleet.advance(20)
        lease = entry.lease_by_number.get(number)
        if lease is not None:
            is_broken = int(lease.target.id[1:]) < broken
            result = leases.Result.FAILED if is_broken else leases.Result.OK
            entry.finish(number, result, 1.0)
        now_ms = fleet.clock.now_ms()
        states = fleet.target_states()
        ejected = sum(s.ejected_until_ms > now_ms for s in states)
        max_ejected = max(max_ejected, ejected)
    assert 1 <= max_ejected <= 2


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
    """Guards against an endless recursion when a slot is returned at its grant.

    A request whose caller has disconnected returns the slot during the grant.
    While it was still queued, the dispatcher granted it the same slot again.
    """
    fleet = fleets.Fleet(entries=1, targets=1, slots=1)
    entry = fleet.entry_by_id["e0"]
    for number in (1, 2, 3):
        entry.submit(number)
    on_granted = entry.on_granted

    def return_cancelled(number, lease):
        on_granted(number, lease)
        if number == 2:
            entry.finish(number, leases.Result.UNUSED)

    monkeypatch.setattr(entry, "on_granted", return_cancelled)
    entry.finish(1)
    assert 3 in entry.lease_by_number


def test_hedge_gets_no_slot_that_a_request_waits_for():
    """Guards against hedges that delay other requests under load."""
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


def test_no_spare_slots_near_saturation():
    """Guards against hedges that overload a service near saturation."""
    fleet = fleets.Fleet(entries=1, targets=5, slots=2)
    entry = fleet.entry_by_id["e0"]
    for number in range(8):
        entry.submit(number)
    assert entry.core.has_spare_slots("plans", fleet.clock.now_ms())
    entry.submit(8)
    assert not entry.core.has_spare_slots("plans", fleet.clock.now_ms())


def test_lost_slot_request_is_sent_again():
    """Guards against waiting for dispatchers that never got the slot request.

    All dispatchers were sent the request once, and all messages were lost.
    """
    fleet = fleets.Fleet(entries=2, targets=2, fan_out=1)
    requesting, other = fleet.entry_by_id.values()
    local_states = list(requesting.core._services["plans"].state_by_id.values())
    for state in local_states:
        state.limit = 0.0
    requesting.submit(1)
    fleet.outbox.clear()
    for _ in range(6):
        fleet.advance(20)
        fleet.deliver()
    assert 1 in requesting.lease_by_number


def test_slot_request_sent_twice_is_granted_once():
    """Guards against two slots for a request that is sent again.

    The slot request is repeated when its link is replaced, although the
    dispatcher has received the first one.
    """
    fleet = fleets.Fleet(entries=2, targets=2, fan_out=1)
    requesting, other = fleet.entry_by_id.values()
    for state in fleet.target_states():
        state.limit = 0.0
    requesting.submit(1)
    fleet.deliver()
    requesting.core.on_link_replaced(other.id, fleet.clock.now_ms())
    fleet.deliver()
    fleet.warm_up()
    fleet.advance(1)
    fleet.deliver()
    held = [s.leases_by_id for s in fleet.target_states()]
    assert sum(len(leases_by_id) for leases_by_id in held) == 1


def test_pause_frees_the_bulk_slots():
    """Guards against losing the slots for large responses by a pause."""
    fleet = fleets.Fleet(entries=1, targets=1)
    (entry,) = fleet.entry_by_id.values()
    entry.submit(1, bulk=True)
    entry.core.resume(frozenset(), fleet.clock.now_ms())
    entry.finish(1)
    entry.submit(2, bulk=True)
    assert 2 in entry.lease_by_number
