"""Tests of what an entry believes of the fleet."""

from slatechute import membership
from slatechute.configuration import instances


def _entry(entry_id):
    return instances.Entry(
        entry_id, "h:1", f"{entry_id}:2", "h:3", "d1", "live"
    )


def test_entry_outside_of_the_group_asks_only_real_dispatchers():
    """Guards against requests that wait for an entry without their target."""
    entries = [_entry(f"e{n}") for n in range(8)]
    targets = [
        instances.Target(f"t{n}", "plans", "h:9", "d1", "live")
        for n in range(20)
    ]
    inside = membership.Membership(_entry("e0"), 3)
    inside.set_list(entries, targets)
    group = inside.plan("plans").group
    outside_id = min({entry.id for entry in entries} - set(group))
    member = membership.Membership(_entry(group[0]), 3)
    member.set_list(entries, targets)
    member.set_linked([_entry(key) for key in group[1:]])
    owners = member.plan("plans").dispatcher_by_target
    assert set(owners.values()) == set(group)
    outside = membership.Membership(_entry(outside_id), 3)
    outside.set_list(entries, targets)
    assert outside.plan("plans").dispatcher_by_target == {}
    assert outside.plan("plans").targets_by_id == {}
    outside.set_linked([_entry(group[0])])
    assert outside.plan("plans").dispatcher_by_target == {
        key: owner for key, owner in owners.items() if owner == group[0]
    }


def test_neighbours_are_linked_beyond_the_groups():
    """Guards against documents that stop at the bounds of a group."""
    own = membership.Membership(_entry("e0"), 2)
    own.set_list([_entry(f"e{n}") for n in range(8)], [])
    grouped = set(own.peer_addresses(["plans"]))
    outside = min({f"e{n}" for n in range(1, 8)} - grouped)
    wanted = own.peer_addresses(["plans"], [outside, "gone"])
    assert set(wanted) == grouped | {outside}
    assert wanted[outside] == f"{outside}:2"
