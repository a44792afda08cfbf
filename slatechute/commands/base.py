"""Behaviour that the commands share."""

import asyncio
from collections.abc import Coroutine
import enum
import json
import signal
import sys
from typing import Any, TypeVar

from cleo.commands import command as cleo_command
from cleo.io.outputs import output

__all__ = ["Command", "ExitStatus", "run_cancellable"]

_T = TypeVar("_T")


class ExitStatus(enum.IntEnum):
    """Exit statuses of all commands.

    Attributes:
        OK: Done, and the answer is yes.
        NEGATIVE: Done, and the answer is no, or the work was cut short.
        UNUSABLE: Not done: wrong arguments or settings, or a host, address or
            file that cannot be used.
        INTERNAL: A fault in slatechute.
    """

    OK = 0
    NEGATIVE = 1
    UNUSABLE = 2
    INTERNAL = 3


class Command(cleo_command.Command):
    """Base of the commands."""

    def print(self, text: str) -> None:
        """Write a line to standard output as it is.

        `line()` of the library would read `<...>` in data as markup, and
        control characters from other hosts could change the terminal.
        """
        printable = "".join(c if c.isprintable() else "?" for c in text)
        self.io.write_line(printable, type=output.Type.RAW)

    def print_json(self, value: Any) -> None:
        """Write a value as indented JSON."""
        # `print` replaces line ends, like all control characters.
        for line in json.dumps(value, indent=1).splitlines():
            self.print(line)

    def report(self, value: Any) -> None:
        """Write progress as a line of JSON to standard error."""
        self.line_error(json.dumps(value))

    def print_columns(self, rows: list[list[str]]) -> None:
        """Write rows as aligned columns."""
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        for row in rows:
            cells = (
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            )
            self.print("  ".join(cells).rstrip())


def run_cancellable(work: Coroutine[Any, Any, _T]) -> _T:
    """Run work that SIGTERM cancels, so that it ends its own processes."""

    async def main() -> _T:
        cancel = asyncio.current_task().cancel
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, cancel)
        return await work

    try:
        return asyncio.run(main())
    except asyncio.CancelledError:
        sys.exit(ExitStatus.NEGATIVE)
