"""Structured logs with one line of JSON for each event.

The event name is the first argument of a log call and its fields are keywords:

    _LOG = logs.get_logger(__name__)
    _LOG.warning("request_refused", reason=reason, step=step, peer=peer)
"""

import asyncio
import json
import logging
import math
import os
import sys
import time
from typing import Any, TextIO

import logbook

from slatechute import errors

__all__ = [
    "LEVELS",
    "LINES_PER_S",
    "JsonHandler",
    "Logger",
    "NonBlockingStream",
    "flush",
    "get_logger",
    "setup",
]

LEVELS = ("debug", "info", "notice", "warning", "error", "critical")

# More lines of one event within a second add no information beyond their count,
# and writing them would delay requests during an overload.
LINES_PER_S = 10

# Event names are usually constants. A logger that exceeds this number builds
# them from data, so its oldest window is dropped to bound the memory.
_MAX_WINDOWS = 256

_RESERVED_KEYS = frozenset({"time", "monotonic_s", "level", "logger", "event"})


class _Window:
    """Line counts of one event of one logger in the current second."""

    __slots__ = ("level", "lines", "started_s", "suppressed")

    def __init__(self, started_s: float):
        self.started_s = started_s
        self.lines = 0
        self.suppressed = 0
        self.level = logbook.DEBUG


class Logger(logbook.Logger):
    """Logger whose keyword arguments are the fields of the event.

    Writes at most `lines_per_s` lines per second of each event, by default
    `LINES_PER_S`. If lines were suppressed, a line with their number in the
    field `suppressed` follows at the end of that second, or with the next
    record if no event loop is running.
    """

    # Plain attributes replace the library's properties, which look up a logger
    # group and take most of the time of a call below the level.
    disabled = False
    level = logbook.WARNING

    def __init__(self, name: str):
        super().__init__(name)
        self.lines_per_s = LINES_PER_S
        self._window_by_event: dict[str, _Window] = {}

    def _log(self, level: int, args: tuple, kwargs: dict[str, Any]) -> None:
        now_s = time.monotonic()
        if _report_due_s_by_event:
            _report_due_windows(now_s)
        if not self._admit(args[0], level, now_s):
            return
        exc_info = kwargs.pop("exc_info", None)
        fields = kwargs.pop("extra", None) or {}
        self.make_record_and_handle(
            level, args[0], args[1:], None, exc_info, fields | kwargs, 0
        )

    def _admit(self, event: str, level: int, now_s: float) -> bool:
        window = self._window_by_event.get(event)
        if window is None or now_s - window.started_s >= 1:
            if window is not None:
                self.report_suppressed(event)
            elif len(self._window_by_event) >= _MAX_WINDOWS:
                oldest = next(iter(self._window_by_event))
                self.report_suppressed(oldest)
                del self._window_by_event[oldest]
            window = self._window_by_event[event] = _Window(now_s)
        window.lines += 1
        if window.lines <= self.lines_per_s:
            return True
        window.suppressed += 1
        window.level = max(window.level, level)
        if window.suppressed == 1:
            due_s = window.started_s + 1
            _report_due_s_by_event[self, event] = due_s
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                pass  # The next record or `flush` writes the number.
            else:
                loop.call_later(due_s - now_s, _report_due_windows, due_s)
        return False

    def report_suppressed(self, event: str) -> None:
        """Write the number of suppressed lines of an event, if any.

        Args:
            event: Name of the event.
        """
        _report_due_s_by_event.pop((self, event), None)
        window = self._window_by_event.get(event)
        if window is None or not window.suppressed:
            return
        fields = {"suppressed": window.suppressed}
        window.suppressed = 0
        self.make_record_and_handle(
            window.level, event, (), None, None, fields, 0
        )


class NonBlockingStream:
    """Text stream over a descriptor that drops lines instead of blocking.

    A log collector that does not read must not block the event loop.

    Attributes:
        dropped: Number of dropped lines.
    """

    def __init__(self, descriptor: int):
        self.dropped = 0
        self._descriptor = descriptor
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write one line, or drop it if the descriptor would block."""
        data = self._unwritten + text.encode()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return len(text)
        # The rest of a partly written line is written first, so that lines are
        # not interleaved.
        self._unwritten = data[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing, since `write` does not buffer whole lines."""


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one line of JSON."""

    def __init__(self, stream: TextIO, level: int = logbook.NOTSET):
        super().__init__(stream, level=level)
        self.formatter = _format

    def handle_error(self, record: logbook.LogRecord, exc_info: tuple) -> None:
        """Drop a line that cannot be written.

        A log collector that has closed its end must not stop the entry.
        """
        if not isinstance(exc_info[1], OSError | ValueError):
            super().handle_error(record, exc_info)


class _LibraryHandler(logging.Handler):
    """Forwards warnings of libraries under the same rate limit."""

    def emit(self, record: logging.LogRecord) -> None:
        level = logbook.lookup_level(record.levelname)
        # The format string without its arguments is the event name.
        get_logger(record.name).log(
            level,
            str(record.msg),
            message=record.getMessage(),
            exc_info=record.exc_info,
        )


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    del handler
    content = {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        # Orders the lines of all processes of a host even if its wall clock is
        # adjusted.
        "monotonic_s": round(time.monotonic(), 4),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "event": record.message,
    }
    for key, value in record.extra.items():
        content[f"{key}_" if key in _RESERVED_KEYS else key] = value
    if record.exc_info is not None:
        content["exception"] = record.formatted_exception
    try:
        return json.dumps(content, default=str, allow_nan=False)
    except ValueError:
        # JSON has no infinity and no NaN.
        finite = {
            key: str(value)
            if isinstance(value, float) and not math.isfinite(value)
            else value
            for key, value in content.items()
        }
        return json.dumps(finite, default=str)


_level = logbook.WARNING
_logger_by_name: dict[str, Logger] = {}
_report_due_s_by_event: dict[tuple[Logger, str], float] = {}
_handler: JsonHandler | None = None
_library_handler = _LibraryHandler(logging.WARNING)


def _report_due_windows(now_s: float) -> None:
    due = [
        key for key, due_s in _report_due_s_by_event.items() if due_s <= now_s
    ]
    for logger, event in due:
        logger.report_suppressed(event)


def get_logger(name: str) -> Logger:
    """Return the logger of a name, which is created on first use."""
    logger = _logger_by_name.get(name)
    if logger is None:
        logger = _logger_by_name[name] = Logger(name)
        logger.level = _level
    return logger


def setup(stream: TextIO | None = None, level: str = "info") -> JsonHandler:
    """Send all logs to a stream, replacing the handler of an earlier call.

    Warnings that libraries send to `logging` become events as well. Without
    this call, warnings and errors go to standard error as plain text.

    Args:
        stream: Stream to write to; standard error if None.
        level: Lowest level to write, one of `LEVELS`.

    Returns:
        The installed handler.

    Raises:
        errors.SettingsError: The level is unknown.
    """
    global _handler, _level
    if level.lower() not in LEVELS:
        raise errors.SettingsError(
            f"log level {level!r} is not one of {', '.join(LEVELS)}"
        )
    flush()
    if _handler is not None:
        _handler.pop_application()
    _handler = JsonHandler(stream or sys.stderr)
    _handler.push_application()
    logging.getLogger().addHandler(_library_handler)
    _level = logbook.lookup_level(level.upper())
    for logger in _logger_by_name.values():
        logger.level = _level
    return _handler


def flush() -> None:
    """Write the pending numbers of suppressed lines."""
    _report_due_windows(math.inf)
