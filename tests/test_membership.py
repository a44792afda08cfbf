"""Tests of the membership of entries and targets."""

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


def _membership(
    entries: int, own_id: str | None = None
) -> membership.Membership:
    """Return the membership at an entry, by default in the group of `plans`."""
    names = [f"e{number}" for number in range(entries)]
    own_id = own_id or ownership.ranked("plans", names)[0]
    view = membership.Membership(_entry(int(own_id[1:])), _GROUP_SIZE)
    targets = [_target(number) for number in range(4)]
    targets += [_target(number, "kit") for number in range(4)]
    view.apply_published_list(
        [_entry(number) for number in range(entries)], targets
    )
    wanted = view.peer_addresses(["plans", "kit"])
    view.set_linked_entries([view.entries()[key] for key in wanted])
    return view


def test_plan_is_cached_until_something_changes():
    """Guards against recomputing all plans when one service changes."""
    view = _membership(8)
    plan = view.plan("plans")
    targets = [_target(number) for number in range(4)]
    targets += [_target(number, "kit") for number in range(1, 5)]
    view.apply_published_list([_entry(number) for number in range(8)], targets)
    assert view.plan("plans") is plan


def test_plan_changes_with_targets_peers_and_marks():
    """Guards against plans that are cached too long."""
    view = _membership(8)
    plan = view.plan("plans")
    assert len(plan.targets_by_id) == 4 and plan.share == 1.0

    view.mark_leaving("plans-0")
    assert "plans-0" not in view.plan("plans").targets_by_id

    lost = plan.group[1]
    linked = [view.entries()[key] for key in view.reachable() - {lost}]
    view.set_linked_entries(linked)
    after = view.plan("plans")
    assert lost not in after.dispatcher_by_target.values()
    assert after.share == 2 / 3

    view.apply_published_list(
        [_entry(number) for number in range(8)], [_target(9)]
    )
    assert list(view.plan("plans").targets_by_id) == ["plans-9"]

    view.mark_own_entry_leaving()
    dispatcher_ids = view.plan("plans").dispatcher_by_target.values()
    assert view.own_entry.id not in dispatcher_ids


def test_entry_outside_the_group_plans_no_targets():
    """Guards against requests that wait for a dispatcher without a link."""
    names = [f"e{number}" for number in range(8)]
    view = _membership(8, own_id=ownership.ranked("plans", names)[-1])
    view.set_linked_entries([])
    plan = view.plan("plans")
    assert view.own_entry.id not in plan.group
    assert not plan.targets_by_id and not plan.dispatcher_by_target


def test_entry_outside_of_the_group_plans_the_dispatchers_of_the_group():
    """Guards against waiting for an entry that does not dispatch the target."""
    entries = [_entry(n) for n in range(8)]
    targets = [_target(n) for n in range(20)]
    inside = membership.Membership(_entry(0), 3)
    inside.apply_published_list(entries, targets)
    group = inside.plan("plans").group
    outside_id = min({entry.id for entry in entries} - set(group))
    member = membership.Membership(_entry(int(group[0][1:])), 3)
    member.apply_published_list(entries, targets)
    member.set_linked_entries([_entry(int(key[1:])) for key in group[1:]])
    dispatcher_by_target = member.plan("plans").dispatcher_by_target
    assert set(dispatcher_by_target.values()) == set(group)
    outside = membership.Membership(_entry(int(outside_id[1:])), 3)
    outside.apply_published_list(entries, targets)
    assert outside.plan("plans").dispatcher_by_target == {}
    assert outside.plan("plans").targets_by_id == {}
    outside.set_linked_entries([_entry(int(group[0][1:]))])
    assert outside.plan("plans").dispatcher_by_target == {
        key: dispatcher_id
        for key, dispatcher_id in dispatcher_by_target.items()
        if dispatcher_id == group[0]
    }


def test_neighbours_outside_of_the_groups_are_linked():
    """Guards against documents that are not propagated beyond a group."""
    view = membership.Membership(_entry(0), 2)
    view.apply_published_list([_entry(number) for number in range(8)], [])
    grouped = set(view.peer_addresses(["plans"]))
    outside = min({f"e{number}" for number in range(1, 8)} - grouped)
    wanted = view.peer_addresses(["plans"], [outside, "gone"])
    assert set(wanted) == grouped | {outside}
    assert wanted[outside] == view.entries()[outside].peer_address
