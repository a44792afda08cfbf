"""Command `slatechute check`."""

import pathlib

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output

from slatechute import errors
from slatechute.configuration import folder

__all__ = ["CheckCommand"]


class CheckCommand(command.Command):
    """Validates a folder and prints every problem."""

    name = "check"
    description = "Validate a configuration folder."
    arguments = [helpers.argument("folder", "Folder with .toml files.")]

    def handle(self) -> int:
        """Run the command and return 1 if there are problems, 0 otherwise."""
        path = pathlib.Path(self.argument("folder"))
        text_by_part, problems = folder.read(path)
        try:
            folder.build(text_by_part, is_partial=bool(problems))
        except errors.ConfigurationError as err:
            problems += err.problems
        for problem in problems:
            # File names and keys may contain text that looks like markup.
            self.io.write_line(problem, type=output.Type.RAW)
        if problems:
            return 1
        self.io.write_line(
            f"{path}: {len(text_by_part)} files, no problems",
            type=output.Type.RAW,
        )
        return 0
