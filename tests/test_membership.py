"""Tests of the entries and targets that an entry knows."""

from slatechute import membership
from slatechute import ownership
from slatechute.configuration import instances

_GROUP_SIZE = 3


def _entry(number: int, state: str = "live") -> instances.Entry:
    addresses = [f"10.0.0.{number}:{port}" for port in (8400, 8401, 8402)]
    return instances.Entry(f"e{number}", *addresses, "dc1", state)


def _target(number: int, service: str = "plans") -> instances.Target:
    return instances.Target(
        f"{service}-{number}", service, f"10.1.0.{number}:80", "dc1", "live"
    )


def _fleet(entries: int, own: str | None = None) -> membership.Membership:
    """Return what an entry of the group of `plans` knows."""
    names = [f"e{number}" for number in range(entries)]
    own = own or ownership.ranked("plans", names)[0]
    known = membership.Membership(_entry(int(own[1:])), _GROUP_SIZE)
    targets = [_target(number) for number in range(4)]
    targets += [_target(number, "kit") for number in range(4)]
    known.apply_published_list(
        [_entry(number) for number in range(entries)], targets
    )
    wanted = known.peer_addresses(["plans", "kit"])
    known.set_linked_entries([known.entries()[key] for key in wanted])
    return known


def test_plan_is_kept_until_something_changes():
    """Guards against planning all services for each change of one."""
    known = _fleet(8)
    plan = known.plan("plans")
    targets = [_target(number) for number in range(4)]
    targets += [_target(number, "kit") for number in range(1, 5)]
    known.apply_published_list([_entry(number) for number in range(8)], targets)
    assert known.plan("plans") is plan


def test_plan_follows_targets_peers_and_marks():
    """Guards against a plan that is kept too long."""
    known = _fleet(8)
    plan = known.plan("plans")
    assert len(plan.targets_by_id) == 4 and plan.share == 1.0

    known.mark_leaving("plans-0")
    assert "plans-0" not in known.plan("plans").targets_by_id

    lost = plan.group[1]
    linked = [known.entries()[key] for key in known.reachable() - {lost}]
    known.set_linked_entries(linked)
    after = known.plan("plans")
    assert lost not in after.dispatcher_by_target.values()
    assert after.share == 2 / 3

    known.apply_published_list(
        [_entry(number) for number in range(8)], [_target(9)]
    )
    assert list(known.plan("plans").targets_by_id) == ["plans-9"]

    known.mark_own_entry_leaving()
    owners = known.plan("plans").dispatcher_by_target.values()
    assert known.own_entry.id not in owners


def test_entry_outside_the_group_plans_no_targets():
    """Guards against waiting for slots of dispatchers without a link."""
    names = [f"e{number}" for number in range(8)]
    known = _fleet(8, own=ownership.ranked("plans", names)[-1])
    known.set_linked_entries([])
    plan = known.plan("plans")
    assert known.own_entry.id not in plan.group
    assert not plan.targets_by_id and not plan.dispatcher_by_target


def test_entry_outside_of_the_group_asks_only_real_dispatchers():
    """Guards against requests that wait for an entry without their target."""
    entries = [_entry(n) for n in range(8)]
    targets = [_target(n) for n in range(20)]
    inside = membership.Membership(_entry(0), 3)
    inside.apply_published_list(entries, targets)
    group = inside.plan("plans").group
    outside_id = min({entry.id for entry in entries} - set(group))
    member = membership.Membership(_entry(int(group[0][1:])), 3)
    member.apply_published_list(entries, targets)
    member.set_linked_entries([_entry(int(key[1:])) for key in group[1:]])
    owners = member.plan("plans").dispatcher_by_target
    assert set(owners.values()) == set(group)
    outside = membership.Membership(_entry(int(outside_id[1:])), 3)
    outside.apply_published_list(entries, targets)
    assert outside.plan("plans").dispatcher_by_target == {}
    assert outside.plan("plans").targets_by_id == {}
    outside.set_linked_entries([_entry(int(group[0][1:]))])
    assert outside.plan("plans").dispatcher_by_target == {
        key: owner for key, owner in owners.items() if owner == group[0]
    }


def test_neighbours_are_linked_beyond_the_groups():
    """Guards against documents that stop at the bounds of a group."""
    own = membership.Membership(_entry(0), 2)
    own.apply_published_list([_entry(number) for number in range(8)], [])
    grouped = set(own.peer_addresses(["plans"]))
    outside = min({f"e{number}" for number in range(1, 8)} - grouped)
    wanted = own.peer_addresses(["plans"], [outside, "gone"])
    assert set(wanted) == grouped | {outside}
    assert wanted[outside] == own.entries()[outside].peer_address
