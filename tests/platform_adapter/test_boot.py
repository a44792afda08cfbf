"""Tests of the settings file of the users' platform."""

import json

import boot
import pytest

from slatechute import errors

_TEXT = """{
  "node": "edge-1",
  "role": "entry",
  "ip": "10.1.0.18",
  "zone": "z1",
  "listen": {
    "front": "10.1.0.18:8381",
    "ready": "10.1.0.18:8388",
    "control": "10.1.0.18:8382",
    "directory": "10.1.0.18:8383"
  },
  "port_range": [7200, 7215],
  "seeds": ["10.1.0.18:8382"],
  "limits": {"max_fds": 4100, "cpu_share": 0.5, "cores": 3, "link_mbps": 5},
  "bounds": {"grace_s": 6, "retry_budget": 0.2, "ttl_max_s": 1, "fenced": true,
             "retry_slack": 222, "budget_window_s": 8},
  "platform": {"address": "10.200.1.7:8384"},
  "something_new": {"of": "later"}
}"""


def test_settings_of_an_entry():
    """Unknown fields and bounds must not make the file invalid."""
    settings = boot.parse(_TEXT)
    assert settings.entry_id == "edge-1"
    assert settings.data_centre == "z1"
    assert settings.callers_address == "10.1.0.18:8381"
    assert settings.peer_port == 7200
    assert settings.seeds == ("10.1.0.18:8382",)
    assert settings.shutdown_timeout_s == 6.0
    assert settings.address_ttl_s == 1.0
    assert (settings.retry_slack, settings.retry_window_s) == (222.0, 8.0)
    assert settings.processor_share == 1.5
    assert settings.link_mbps == 5.0


@pytest.mark.parametrize("text", ["", "[]", '{"node": 1}', "{", "a: b: c"])
def test_invalid_file_is_an_error(text):
    """An entry that starts with default settings instead harms the fleet."""
    with pytest.raises(errors.SettingsError, match="settings file"):
        boot.parse(text)


def _with_hedging(section: object) -> str:
    return json.dumps(json.loads(_TEXT) | {"hedging": section})


def test_limits_of_hedges_are_read_beside_the_fields_of_the_platform():
    """Hedges would go on without the operators' limit."""
    limited = boot.parse(_with_hedging({"share": 0.1, "max_per_s": 5}))
    assert limited.entry_id == "edge-1"
    assert (limited.hedging.share, limited.hedging.max_per_s) == (0.1, 5.0)
    defaults = boot.parse(_with_hedging({}))
    assert (defaults.hedging.share, defaults.hedging.max_per_s) == (0.05, 20.0)
    assert boot.parse(_TEXT).hedging is None


@pytest.mark.parametrize(
    ("section", "named"),
    [
        ({"share": 1.5}, "hedging.share must be from 0 to 1, not 1.5"),
        ({"max_per_s": -1}, "hedging.max_per_s must be from 0 to 1000"),
        ({"share": "5%"}, r"\$\.hedging\.share"),
        ({"max_pers": 2}, "max_pers"),
        ([], "hedging"),
    ],
)
def test_unusable_limit_of_hedges_is_named(section, named):
    """A misspelt limit that is ignored lets hedges exceed it."""
    with pytest.raises(errors.SettingsError, match=named):
        boot.parse(_with_hedging(section))
