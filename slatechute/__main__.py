"""Command-line program of slatechute."""

import sys
import traceback

from cleo import application
from cleo import exceptions
from cleo.commands import command as cleo_command
from cleo.commands import completions_command
from cleo.io.inputs import argv_input

import slatechute
from slatechute import commands
from slatechute import errors
from slatechute.commands import base

__all__ = ["main"]

_NAME = "slatechute"

_HELP = f"""\
<b>{_NAME}</b> {slatechute.__version__}: load balancer for servers whose load \
shifts within milliseconds.

  Run an entry:                  slatechute entry --help
  Show the effective settings:   slatechute settings
  Show the state of the fleet:   slatechute status 10.0.0.1:8402 10.0.0.2:8402
  Complete commands in a shell:  slatechute completions bash

Settings are flags or SLATECHUTE_... variables; `slatechute entry --help` lists
them. Exit statuses: 0 success; 1 negative result; 2 arguments, settings, a
host or a file cannot be used; 3 internal error of slatechute.
Operators' guide: docs/operators.md."""


class _Completions(completions_command.CompletionsCommand):
    hidden = False

    def handle(self) -> int:
        try:
            return super().handle()
        except (ValueError, RuntimeError) as error:
            raise exceptions.CleoUserError(str(error)) from None


class _Program(application.Application):
    @property
    def long_version(self) -> str:
        return f"{self.name} {self.version}"

    @property
    def help(self) -> str:
        return _HELP

    @property
    def default_commands(self) -> list[cleo_command.Command]:
        return [
            _Completions() if command.name == _Completions.name else command
            for command in super().default_commands
        ]


def _describe_error(error: Exception) -> tuple[str, base.ExitStatus]:
    if isinstance(
        error, exceptions.CleoError | errors.SlatechuteError | OSError
    ):
        return str(error), base.ExitStatus.UNUSABLE
    text = f"internal error: {type(error).__name__}: {error} (-v for details)"
    return text, base.ExitStatus.INTERNAL


def main(arguments: list[str] | None = None) -> int:
    """Run a command.

    Args:
        arguments: Arguments without the program name; `sys.argv` if None.

    Returns:
        The exit status, see `commands.base.ExitStatus`.
    """
    if arguments is None:
        arguments = sys.argv[1:]
    program = _Program(_NAME, slatechute.__version__)
    program.set_command_loader(commands.ModuleLoader())
    program.auto_exits(False)
    program.catch_exceptions(False)
    try:
        return program.run(argv_input.ArgvInput([_NAME, *arguments]))
    except Exception as error:
        text, status = _describe_error(error)
        verbose = any(a.startswith(("-v", "--verbose")) for a in arguments)
        if status is base.ExitStatus.INTERNAL and verbose:
            traceback.print_exc()
        print(f"{_NAME}: {' '.join(text.split())}", file=sys.stderr)
        return status


if __name__ == "__main__":
    sys.exit(main())
