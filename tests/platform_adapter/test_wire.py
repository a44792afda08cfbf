"""Tests of header names and data formats of the users' platform."""

import ipaddress
import json
import math

import hypothesis
from hypothesis import strategies
import pytest
import wire

from slatechute.gateway import dialects
from slatechute.util import addresses

_WIRE = wire.Wire()
_ENTRY = {
    "address": "10.128.0.9:8080",
    "info": {"service": "s1", "version": "v1", "zone": "z1", "slots": 6},
    "status": {"state": "ready", "seq": 4, "cold_left_s": 1.5},
}
_CONFIG = {
    "version": "r12",
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    },
    "listeners": [
        {
            "host": "A.example",
            "routing_rules": [
                {
                    "name": "r-1",
                    "kind": "unsafe",
                    "target_latency_s": 0.3,
                    "priority": 1,
                    "match": {"prefix": "/x/"},
                    "action": {
                        "service": "s1",
                        "timeout_s": 1,
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "r-2",
                    "kind": "download",
                    "target_latency_s": 0.25,
                    "priority": 2,
                    "match": {"prefix": "/"},
                    "action": {
                        "traffic_split": [
                            {"service": "s1", "weight": 90},
                            {"service": "s2", "weight": 10},
                        ],
                        "timeout_s": 0.8,
                        "max_attempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": "s1",
            "health_path": "/health",
            "max_conns": 220,
            "protocol": "h1",
            "tls": False,
        }
    ],
}


def _item(key: str, content: object) -> dialects.PublishedItem:
    value = content if isinstance(content, bytes) else json.dumps(content)
    data = value if isinstance(value, bytes) else value.encode()
    return dialects.PublishedItem(key, 7, data)


def _with_field(path: str, value: object) -> dict:
    content = json.loads(json.dumps(_ENTRY))
    *parents, last = path.split(".")
    parent = content
    for name in parents:
        parent = parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return content


def test_registration_of_a_target():
    """Fields are mapped to those of the target, seconds to milliseconds."""
    target = _WIRE.parse_target(_item("servers/i-1", _ENTRY | {"born": 1700}))
    assert target == dialects.PublishedTarget(
        "i-1", 1700, 4, "s1", "10.128.0.9:8080", "z1", 6, False, 1500.0
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", None),
        ("address", 7),
        ("address", "nowhere"),
        ("address", "[::1]:8080"),
        ("info", None),
        ("info.service", None),
        ("info.slots", "6"),
        ("info.slots", 0),
        ("status.state", "resting"),
        ("status.seq", "4"),
        ("status.cold_left_s", "soon"),
        ("born", "today"),
        ("born", 1.5),
    ],
)
def test_invalid_registration_is_not_a_target(path, value):
    """A missing or mistyped field must not be replaced by a default."""
    assert (
        _WIRE.parse_target(_item("servers/i-1", _with_field(path, value)))
        is None
    )


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b"{"])
def test_unreadable_bytes_are_not_a_target(value):
    """The value of a registration may contain arbitrary bytes."""
    assert _WIRE.parse_target(_item("servers/i-1", value)) is None


def test_configuration():
    """The kind determines what may be repeated; splits become parts."""
    table = _WIRE.parse_configuration(_item("op/config", _CONFIG))
    assert table.version == 12
    unsafe = table.match("a.example", "/x/y")
    assert (unsafe.repeatable, unsafe.bulk) == (False, False)
    assert (unsafe.timeout_ms, unsafe.objective_ms) == (1000.0, 300.0)
    split = table.match("a.example", "/y")
    assert (split.repeatable, split.bulk) == (True, True)
    assert [part.weight for part in split.parts] == [90, 10]
    assert table.limits.max_body_bytes == 1000


def test_invalid_configuration_is_none():
    """A faulty write must not remove the routes."""
    assert (
        _WIRE.parse_configuration(_item("op/config", {"version": "r1"})) is None
    )
    assert _WIRE.parse_configuration(_item("op/config", b"\xff")) is None


def test_other_keys_are_not_a_configuration():
    """Other programs write to the store as well."""
    assert _WIRE.parse_configuration(_item("my/leader", _CONFIG)) is None


def test_evacuation_keys():
    """A key that is not recognised leaves the targets in use."""
    assert _WIRE.evacuated_data_centre("op/evacuate/z1") == "z1"
    assert _WIRE.evacuated_data_centre("op/evacuate/") is None
    assert _WIRE.evacuated_data_centre("op/config") is None


def test_responses():
    """Only a marked refusal or a wrong target proves that nothing has run.

    With any other response a repetition may execute the request twice.
    """
    metadata = _WIRE.parse_response(503, {"x-not-executed": "1"})
    assert metadata.not_run
    assert not metadata.wrong_target
    assert _WIRE.parse_response(421, {}).wrong_target
    assert not _WIRE.parse_response(503, {}).not_run
    for status in (408, 421, 429, 503):
        assert _WIRE.parse_response(status, {}).reads_as_not_run
    assert not _WIRE.parse_response(500, {}).reads_as_not_run
    assert _WIRE.parse_response(200, {"x-response-signature": "s"}).signed


@pytest.mark.parametrize(
    "text",
    [
        "",
        "1,2",
        "a,b,c",
        "1,-2,3",
        "1,2,0",
        "1_0,2,3",
        "1,2," + "9" * 25,
        "9" * 400 + ",2,3",
        "1,2,3," + "9" * 400,
        "1,2,3,10001",
        "1,2,3,",
        "1,2,3,fast",
        "1,2,3," + "9" * 5_000,
    ],
)
def test_invalid_load_is_ignored(text):
    """A target that reports an invalid load must not attract requests."""
    assert _WIRE.parse_response(200, {"x-server-load": text}).load is None


def test_rate_limit_of_a_target():
    """A limit that is not read is exceeded by every entry."""
    metadata = _WIRE.parse_response(200, {"server-limit": "4.3"})
    assert metadata.announcement.rate_limit_per_s == 4.3
    metadata = _WIRE.parse_response(200, {})
    assert metadata.announcement.rate_limit_per_s is None


@pytest.mark.parametrize(
    "text", ["", "-1", "inf", "nan", "1_0", "4, 5", "many", "9" * 400]
)
def test_invalid_rate_limit_is_ignored(text):
    """An invalid value must neither fail the request nor stop the target."""
    announcement = _WIRE.parse_response(
        200, {"server-limit": text}
    ).announcement
    assert announcement.rate_limit_per_s is None
    assert announcement.invalid


def test_cold_targets():
    """An absent header must not end the limit, nor an odd one set it."""

    def cold_ms(**headers):
        return _WIRE.parse_response(200, headers).announcement.cold_ms

    assert cold_ms() is None
    assert cold_ms(**{"x-cold-ms": "0"}) == 0.0
    assert cold_ms(**{"x-cold-ms": "1200"}) == 1200.0
    assert cold_ms(**{"x-cold-ms": "-1"}) is None
    content = json.loads(json.dumps(_CONFIG))
    table = _WIRE.parse_configuration(_item("op/config", content))
    assert table.services_by_name["s1"].cold_per_s == 0
    content["clusters"][0] |= {"cold_s": 3, "cold_per_s": 4.1}
    table = _WIRE.parse_configuration(_item("op/config", content))
    service = table.services_by_name["s1"]
    assert (service.cold_s, service.cold_per_s) == (3.0, 4.1)


def test_pause_of_a_target():
    """Only a target that turns a request away wants nothing for a time."""

    def pause_ms(status, text):
        metadata = _WIRE.parse_response(status, {"retry-after": text})
        return metadata.announcement.pause_ms

    assert pause_ms(503, "1.5") == 1500.0
    assert pause_ms(200, "1.5") is None
    assert pause_ms(503, "Fri, 04 Dec 2026 08:00:00 GMT") is None
    assert pause_ms(503, "-1") is None


def test_target_that_leaves():
    """Another value than 1 must not take a target out of use."""

    def announcement(**headers):
        return _WIRE.parse_response(200, headers).announcement

    assert not announcement().is_leaving
    assert announcement(**{"server-leaving": "1"}).is_leaving
    assert not announcement(**{"server-leaving": "0"}).is_leaving
    invalid = announcement(**{"server-leaving": "1, 1"})
    assert not invalid.is_leaving
    assert invalid.invalid


def test_deadline_of_a_caller():
    """An invalid value must not be treated like a missing deadline."""
    assert _WIRE.deadline_ms({}) is None
    assert _WIRE.deadline_ms({"x-deadline-ms": "1500"}) == 1500.0
    with pytest.raises(ValueError, match="deadline"):
        _WIRE.deadline_ms({"x-deadline-ms": "-5"})


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    status=strategies.integers(100, 599),
    headers=strategies.dictionaries(
        strategies.sampled_from(
            ["server-limit", "server-leaving", "retry-after", "x-server-load"]
        ),
        strategies.text(strategies.characters(max_codepoint=255), max_size=20)
        | strategies.from_regex(r"[0-9.,+\-eE ]{0,12}", fullmatch=True),
    ),
)
def test_any_header_values_are_accepted(status, headers):
    """An error for an odd value would lose the response of the target."""
    announcement = _WIRE.parse_response(status, headers).announcement
    for value in (announcement.rate_limit_per_s, announcement.pause_ms):
        assert value is None or 0 <= value < math.inf


_ODD_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**400, -(10**30), 1e308, 2**31, 2**53 + 1])
    | strategies.text(max_size=20)
    | strategies.sampled_from(
        ["127.0.0.1:65536", "[::1]:8080", "1.2.3:4", "draining", "s" * 300]
    ),
    lambda values: (
        strategies.lists(values, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), values)
    ),
    max_leaves=5,
)
_FIELDS = [
    "address",
    "info",
    "info.service",
    "info.zone",
    "info.slots",
    "status",
    "status.state",
    "status.seq",
    "status.cold_left_s",
    "born",
]


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(
    key=strategies.text(max_size=12),
    path=strategies.sampled_from(_FIELDS),
    value=_ODD_VALUES,
    depth=strategies.sampled_from([0, 0, 0, 900, 5_000]),
)
def test_any_registration_is_a_usable_target_or_none(key, path, value, depth):
    """A value that is adopted must not raise errors where it is used."""
    content = json.dumps(_ENTRY | {"born": 1})
    content = json.dumps(_with_odd_field(json.loads(content), path, value))
    nested = "[" * depth + "]" * depth
    text = content[:-1] + (f', "x": {nested}}}' if depth else "}")
    target = _WIRE.parse_target(_item(f"servers/{key}", text.encode()))
    if target is None:
        return
    assert target.id.isascii() and target.id.isprintable()
    host, port = addresses.split_address(target.address)
    assert ipaddress.IPv4Address(host) and 0 < port < 65536
    assert 0 < target.slots < 2**31
    assert 0 <= target.warmup_ms < math.inf
    assert max(target.sequence, target.incarnation) < 2**53 + 1
    names = (target.id, target.service, target.data_centre)
    assert max(map(len, names)) <= 200


def _with_odd_field(content: dict, path: str, value: object) -> dict:
    *parents, last = path.split(".")
    parent = content
    for name in parents:
        parent = parent[name]
    parent[last] = value
    return content
