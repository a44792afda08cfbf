"""Tests that the operators' guide matches the code."""

import pathlib
import re

from slatechute import errors
from slatechute import metrics
from slatechute.commands import base

_ROOT = pathlib.Path(__file__).parent.parent
_PAGE = (_ROOT / "docs" / "operators.md").read_text()


def test_each_reason_has_an_action():
    """Guards against a reason without a documented action for operators."""
    for reason in errors.Reason:
        row = re.search(rf"^\| `{reason}` \| .+ \| .+ \|$", _PAGE, re.MULTILINE)
        assert row, reason


def test_each_metric_is_explained():
    """Guards against undocumented metrics and old names on the page."""
    exported = metrics.Metrics().export().decode()
    names = re.findall(r"^# TYPE (slatechute_\w+)", exported, re.MULTILINE)
    assert len(names) > 10
    on_page = set(re.findall(r"`(slatechute_\w+)`", _PAGE))
    assert on_page == set(names)


def test_each_step_and_exit_status_is_explained():
    """Guards against undocumented values that logs and scripts use."""
    for step in errors.Step:
        assert f"`{step}`" in _PAGE
    for status in base.ExitStatus:
        assert f"\n| {status.value} | " in _PAGE


def test_each_event_of_the_process_is_explained():
    """Guards against log events that operators cannot look up."""
    for module in ("admin.py", "commands/entry.py", "process.py"):
        source = (_ROOT / "slatechute" / module).read_text()
        events = re.findall(r"_LOG\.\w+\(\s*\"(\w+)\"", source)
        assert events
        for event in events:
            assert f"`{event}`" in _PAGE, event
