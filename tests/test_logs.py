"""Tests of structured logging."""

import asyncio
import io
import json
import logging
import time

import pytest

from slatechute import errors
from slatechute import logs


@pytest.fixture
def stream():
    stream = io.StringIO()
    logs.setup(stream, "info")
    yield stream
    logs.setup(None, "warning")


def _lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_has_event_and_fields(stream):
    """Guards against missing fields or UTC marks, which log searches need."""
    logger = logs.get_logger("fields")
    logger.warning(
        "refused\nhere", reason=errors.Reason.OVERLOAD, extra={"peer": "e2"}
    )
    (line,) = _lines(stream)
    assert line.pop("time").endswith("Z")
    assert 0 < line.pop("monotonic_s") <= time.monotonic()
    assert line == {
        "level": "warning",
        "logger": "fields",
        "event": "refused\nhere",
        "reason": "overload",
        "peer": "e2",
    }


def test_values_without_json_form_are_logged_as_text(stream):
    """Guards against lines lost because JSON has no such value."""
    logs.get_logger("values").info("x", age_s=float("inf"), event="y", o={1})
    (line,) = _lines(stream)
    assert (line["age_s"], line["event_"], line["o"]) == ("inf", "y", "{1}")


def test_exception_is_a_field(stream):
    """Guards against multi-line tracebacks, which break log collectors."""
    try:
        raise KeyError("k")
    except KeyError:
        logs.get_logger("exceptions").exception("failed", step="writing")
    (line,) = _lines(stream)
    assert "KeyError" in line["exception"]


def test_line_below_the_level_is_not_written(stream):
    """Guards against debug lines of the request path in production logs."""
    logs.get_logger("levels").debug("detail")
    assert not stream.getvalue()


def test_burst_is_limited_and_counted(stream):
    """Guards against a flood of log lines during an overload of requests."""

    async def burst():
        logger = logs.get_logger("burst")
        for _ in range(500):
            logger.error("refused", reason="overload")
        logger.error("other")
        await asyncio.sleep(1.1)

    asyncio.run(burst())
    lines = _lines(stream)
    refused = [line for line in lines if line["event"] == "refused"]
    assert len(refused) == logs.LINES_PER_S + 1
    assert refused[-1]["suppressed"] == 500 - logs.LINES_PER_S
    assert refused[-1]["level"] == "error"
    assert len(lines) == len(refused) + 1


def test_flush_without_event_loop(stream):
    """Guards against a lost count when the process ends after a burst."""
    logger = logs.get_logger("flush")
    for _ in range(logs.LINES_PER_S + 3):
        logger.info("again")
    logs.flush()
    logs.flush()
    counts = [line.get("suppressed") for line in _lines(stream)]
    assert counts == [None] * logs.LINES_PER_S + [3]


def test_generated_event_names_use_bounded_memory(stream):
    """Guards against unbounded memory if event names are built from data."""
    logger = logs.get_logger("generated")
    for number in range(1000):
        logger.info(f"event {number}")
    assert len(logger._window_by_event) <= 256


def test_library_warnings_are_events(stream):
    """Guards against plain library lines, which break JSON collectors."""
    library = logging.getLogger("some.library")
    for number in range(20):
        library.warning("lost %d", number)
    library.info("detail")
    lines = _lines(stream)
    assert len(lines) == logs.LINES_PER_S
    assert lines[3]["logger"] == "some.library"
    assert (lines[3]["event"], lines[3]["message"]) == ("lost %d", "lost 3")


def test_unknown_level_and_closed_stream(stream):
    """Guards against wrong errors for a bad level or a closed stream.

    A bad level is reported as an error of the settings. A closed stream must
    not stop the entry.
    """
    with pytest.raises(errors.SettingsError):
        logs.setup(stream, "loud")
    closed = io.StringIO()
    logs.setup(closed, "info")
    closed.close()
    logs.get_logger("closed").info("x")
