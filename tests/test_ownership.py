"""Tests of rendezvous hashing."""

import hypothesis
from hypothesis import strategies

from slatechute import ownership

_MEMBERS = strategies.sets(
    strategies.integers(0, 40).map(lambda number: f"e{number}")
)


@hypothesis.given(strategies.lists(_MEMBERS, min_size=1, max_size=8))
def test_cached_groups_equal_new_rankings(steps):
    """Guards against groups that depend on the order of membership changes.

    Entries with different groups would send slot requests to entries that
    dispatch no target.
    """
    groups = ownership.EntryGroups(4)
    for members in steps:
        groups.set_members(members)
        for service in ("plans", "kit", "survey"):
            wanted = ownership.entry_group(service, members, 4)
            assert groups.group(service) == wanted
