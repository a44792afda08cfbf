"""Tests of what an entry believes about the announcements of a target."""

import logbook
import pytest

from slatechute.gateway import announcements
from slatechute.gateway import dialects

_LIMIT = dialects.Announcement(4.0)
_NONE = dialects.Announcement()


@pytest.fixture
def state():
    return announcements.AnnouncedState("t1")


def test_limit_holds_until_a_response_without_it(state):
    """A limit that never ends would leave the target idle for ever."""
    assert state.observe(_LIMIT, 1.0, is_conclusive=True)
    assert state.rate_limit_per_s == 4.0
    assert state.observe(_NONE, 2.0, is_conclusive=True)
    assert state.rate_limit_per_s is None


def test_probe_without_a_limit_does_not_end_it(state):
    """Targets need not name the limit on their health path."""
    state.observe(_LIMIT, 1.0, is_conclusive=True)
    assert not state.observe(_NONE, 2.0, is_conclusive=False)
    assert state.rate_limit_per_s == 4.0


def test_older_news_of_a_peer_is_ignored(state):
    """Datagrams arrive late and would bring an ended limit back."""
    state.observe(_NONE, 5.0, is_conclusive=True)
    assert not state.adopt_rate_limit(4.0, 4.0, "e2")
    assert state.adopt_rate_limit(4.0, 6.0, "e2")


def test_invalid_announcement_changes_nothing_and_is_logged_once(state):
    """A target that sends nonsense must not fill the log or lose its limit."""
    invalid = dialects.Announcement(invalid=("limit",))
    with logbook.TestHandler() as handler:
        state.observe(_LIMIT, 1.0, is_conclusive=True)
        for now_ms in range(2, 9):
            state.observe(invalid, now_ms, is_conclusive=True)
    assert state.rate_limit_per_s == 4.0
    logged = [r for r in handler.records if "announcement_invalid" in r.message]
    assert len(logged) == 1


def test_changed_value_of_a_limit_is_no_news(state):
    """A limit that changes with each response would flood the peers."""
    assert state.observe(_LIMIT, 1.0, is_conclusive=True)
    other = dialects.Announcement(5.0)
    assert not state.observe(other, 2.0, is_conclusive=True)
    assert state.rate_limit_per_s == 5.0
