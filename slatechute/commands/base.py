"""Base class and helpers of the commands."""

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
        OK: The command succeeded.
        NEGATIVE: The command ran with a negative result or was interrupted.
        UNUSABLE: The command did not run, since its arguments or settings are
            invalid or a host, address or file cannot be used.
        INTERNAL: Internal error of slatechute.
    """

    OK = 0
    NEGATIVE = 1
    UNUSABLE = 2
    INTERNAL = 3


class Command(cleo_command.Command):
    """Base class of the commands."""

    def print(self, text: str) -> None:
        """Write a line to standard output without markup.

        `line()` of the library would interpret `<...>` in data as markup.
        Control characters are replaced, since those received from other hosts
        could change the terminal.
        """
        self.io.write_line(_printable(text), type=output.Type.RAW)

    def print_error(self, text: str) -> None:
        """Write a line to standard error, like `print`."""
        self.io.write_error_line(_printable(text), type=output.Type.RAW)

    def print_json(self, value: Any) -> None:
        """Write a value as indented JSON."""
        # `print` replaces control characters, including line ends.
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


def _printable(text: str) -> str:
    return "".join(c if c.isprintable() else "?" for c in text)


def run_cancellable(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine and cancel it on SIGTERM.

    The coroutine can then end the processes that it has started.
    """

    async def main() -> _T:
        cancel = asyncio.current_task().cancel
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, cancel)
        return await coroutine

    try:
        return asyncio.run(main())
    except asyncio.CancelledError:
        sys.exit(ExitStatus.NEGATIVE)
