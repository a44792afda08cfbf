"""Tests of the parsing of the `instances` document."""

import json

import pytest

from slatechute import errors
from slatechute.configuration import instances
from slatechute.platforms import base


def _entry(name: str) -> dict:
    return {
        "id": name,
        "address": "10.0.0.1:8400",
        "peer_address": "10.0.0.1:8401",
        "admin_address": "10.0.0.1:8402",
        "data_centre": "dc1",
        "state": "live",
    }


def _document(**parts: list[dict]) -> base.Document:
    texts = {name: json.dumps(rows) for name, rows in parts.items()}
    return base.Document(base.INSTANCES, 1, texts)


def test_entries_may_be_listed_in_several_parts():
    """Guards against a fleet that is too large for one part of entries."""
    parts = {
        "entries": [_entry("e1")],
        "entries:dc1": [_entry("e2")],
        "entries:dc2": [_entry("e3")],
    }
    found = instances.parse(_document(**parts))
    assert sorted(found.entries_by_id) == ["e1", "e2", "e3"]
    assert not found.targets_by_id


def test_entry_listed_in_two_parts_is_rejected():
    """Guards against duplicate rows of which the last part silently wins."""
    parts = {"entries:dc1": [_entry("e1")], "entries:dc2": [_entry("e1")]}
    with pytest.raises(errors.ConfigurationError, match="listed twice"):
        instances.parse(_document(**parts))


def test_cached_rows_do_not_hide_changes():
    """Guards against outdated rows from the cache of an earlier list."""
    parser = instances.Parser()
    first = {"entries": [_entry("e1")], "entries:dc1": [_entry("e2")]}
    parser.parse(_document(**first))
    moved = {"entries": [_entry("e1")], "entries:dc1": [_entry("e3")]}
    assert sorted(parser.parse(_document(**moved)).entries_by_id) == [
        "e1",
        "e3",
    ]
    twice = {"entries": [_entry("e1")], "entries:dc1": [_entry("e1")]}
    with pytest.raises(errors.ConfigurationError, match="listed twice"):
        parser.parse(_document(**twice))
    gone = {"entries": [_entry("e1")]}
    assert list(parser.parse(_document(**gone)).entries_by_id) == ["e1"]
