"""Runs a case: temporary folder, record and exit status."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from standins import record

HELD, BROKEN, NOT_RUN = 0, 1, 2
_LIMIT_S = 115.0


class Context:
    """What a case gets.

    Attributes:
        history: Its record.
        folder: Temporary folder for the settings and logs of processes.
        is_troubled: Whether the disruption takes place.
        stack: Its callbacks are called at the end.
    """

    def __init__(self, history: record.Record, folder: pathlib.Path):
        self.history = history
        self.folder = folder
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.stack = contextlib.ExitStack()


def run(check: Callable[[Context], Awaitable[bool]], folder: str) -> None:
    """Run a case and exit with its status.

    Args:
        check: Returns whether the rule held.
        folder: Folder of the record.
    """
    # Ends the processes of the case also if the case itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    history = record.Record(pathlib.Path(folder) / "record.txt")
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        context = Context(history, pathlib.Path(name))
        try:
            status = asyncio.run(_run(check, context))
        except Exception:
            history.write("failed_to_run", traceback.format_exc())
            traceback.print_exc()
        if logs := os.environ.get("KEEP_LOGS"):
            for path in pathlib.Path(name).glob("*.log"):
                (pathlib.Path(logs) / path.name).write_bytes(path.read_bytes())
    history.write("status", status)
    history.save()
    sys.exit(status)


async def _run(
    check: Callable[[Context], Awaitable[bool]], context: Context
) -> int:
    try:
        async with asyncio.timeout(_LIMIT_S):
            return HELD if await check(context) else BROKEN
    finally:
        context.stack.close()
