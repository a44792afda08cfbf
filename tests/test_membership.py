"""Tests of what an entry believes of the fleet."""

from slatechute import membership
from slatechute.configuration import instances


def _entry(entry_id):
    return instances.Entry(
        entry_id, "h:1", f"{entry_id}:2", "h:3", "d1", "live"
    )


def test_neighbours_are_linked_beyond_the_groups():
    """Guards against documents that stop at the bounds of a group."""
    own = membership.Membership(_entry("e0"), 2)
    own.set_list([_entry(f"e{n}") for n in range(8)], [])
    grouped = set(own.peer_addresses(["plans"]))
    outside = min({f"e{n}" for n in range(1, 8)} - grouped)
    wanted = own.peer_addresses(["plans"], [outside, "gone"])
    assert set(wanted) == grouped | {outside}
    assert wanted[outside] == f"{outside}:2"
