"""Rendezvous ranks: entry groups of services and dispatchers of targets."""

from collections.abc import Iterable

import xxhash

__all__ = ["dispatcher_of", "entry_group", "ranked"]


def _weight(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by falling rendezvous weight for the key.

    >>> ranked("plans", ["e1", "e2"]) == ranked("plans", ["e2", "e1"])
    True
    """
    return sorted(members, key=lambda member: (-_weight(key, member), member))


def entry_group(service: str, entries: Iterable[str], size: int) -> list[str]:
    """Return the entries that serve a service: the first `size` by rank."""
    return ranked(service, entries)[:size]


def dispatcher_of(
    target_id: str,
    data_centre: str,
    data_centre_by_entry: dict[str, str],
) -> str | None:
    """Return the entry that dispatches a target.

    Entries of the target's data centre go first, because a lease then crosses
    data centres at most once.
    """
    entries = data_centre_by_entry
    near = [entry for entry in entries if entries[entry] == data_centre]
    candidates = near or list(entries)
    if not candidates:
        return None
    return max(candidates, key=lambda entry: (_weight(target_id, entry), entry))
