"""Tests of request ids and resends."""

import pytest

from slatechute import errors
from slatechute import requests


def _table(size: int = 10) -> requests.RequestTable:
    return requests.RequestTable("e1-aa", size)


def _refusal(table, text, now_ms=1000.0, *, repeatable=False):
    with pytest.raises(errors.RequestError) as caught:
        table.admit(text, repeatable, now_ms)
    return caught.value


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("e1-bb.900.x", errors.Reason.FOREIGN_REQUEST_ID),
        ("e2-aa.900.x", errors.Reason.FOREIGN_REQUEST_ID),
        ("e1-aa.1001.x", errors.Reason.EXPIRED_REQUEST_ID),
    ],
)
def test_id_issued_by_another_process_has_unknown_outcome(text, reason):
    """Guards against a second run by a process that did not issue the id."""
    error = _refusal(_table(), text)
    assert (error.reason, error.outcome) == (reason, errors.Outcome.UNKNOWN)


def test_used_id_is_refused_before_and_after_its_expiry():
    """Guards against a second run between removal and expiry of an id."""
    table = _table()
    table.admit("e1-aa.900.x", False, 1000.0)
    table.record_status("e1-aa.900.x", 200)
    last_ms = 900 + requests.REQUEST_ID_LIFETIME_MS
    for now_ms in (1001.0, last_ms - 1, last_ms, last_ms + 1e6):
        error = _refusal(table, "e1-aa.900.x", now_ms)
        assert error.outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("e1-aa.900.x", True),
        ("e1-aa.900.y", False),
        ("e1-bb.900.y", True),
        ("e1-aa.900", False),
        ("", False),
    ],
)
def test_ids_of_possible_resends(text, expected):
    """Guards against "not-run" for an id that was accepted before."""
    table = _table()
    table.admit("e1-aa.900.x", False, 1000.0)
    assert table.may_be_resend(text, 1001.0) is expected
    expired_ms = 900 + requests.REQUEST_ID_LIFETIME_MS
    assert table.may_be_resend("e1-aa.900.y", expired_ms)


def test_request_that_did_not_run_may_be_resent():
    """Guards against refusing the resend of a request that did not run."""
    table = _table()
    table.admit("e1-aa.900.x", False, 1000.0)
    table.remove("e1-aa.900.x")
    assert table.admit("e1-aa.900.x", False, 1001.0) == "e1-aa.900.x"


def test_full_table_refuses_as_not_run():
    """Guards against dropping ids under load, and against a memory leak."""
    table = _table(size=2)
    table.admit("e1-aa.900.x", False, 1000.0)
    table.admit("e1-aa.900.y", False, 1000.0)
    error = _refusal(table, "e1-aa.900.z")
    assert error.reason is errors.Reason.REQUEST_TABLE_FULL
    assert error.outcome is errors.Outcome.NOT_RUN
    later_ms = 900 + requests.REQUEST_ID_LIFETIME_MS
    fresh = f"e1-aa.{later_ms}.z"
    assert table.admit(fresh, False, later_ms) == fresh


def test_repeatable_request_may_use_any_id():
    """Guards against refusing reads that a caller resends to another entry."""
    assert _table().admit("e2-zz.1.x", True, 1000.0) == "e2-zz.1.x"


def test_malformed_id_is_a_bad_request():
    """Guards against ids that corrupt the headers sent to the target."""
    assert _refusal(_table(), "a b").reason is errors.Reason.BAD_REQUEST
