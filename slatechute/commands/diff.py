"""Command `slatechute diff`."""

import pathlib
from typing import Any

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output

from slatechute import errors
from slatechute.commands import explain
from slatechute.configuration import folder

__all__ = ["DiffCommand"]

_EXIT_DIFFERENT = 1
_EXIT_INVALID = 2


def _load(path: pathlib.Path) -> tuple[dict[str, Any], folder.Merged]:
    """Return the effective values by key, with defaults, and their origins.

    Raises:
        errors.ConfigurationError: The folder is not valid.
    """
    text_by_part, problems = folder.read(path)
    try:
        configuration = folder.build(text_by_part, is_partial=bool(problems))
    except errors.ConfigurationError as err:
        problems += err.problems
    if problems:
        raise errors.ConfigurationError(problems)
    value_by_key = folder.values_by_key(configuration.model_dump())
    return value_by_key, folder.merge(text_by_part)


def _format_lines(
    sign: str, key: str, value_by_key: dict[str, Any], merged: folder.Merged
) -> list[str]:
    if key not in value_by_key:
        return []
    origin = merged.origin_by_key.get(key)
    file = origin.file if origin else "default"
    value = explain.format_value(value_by_key[key])
    return [f"{sign} {key} = {value} ({file})"]


class DiffCommand(command.Command):
    """Prints the keys whose effective values differ between two folders."""

    name = "diff"
    description = "Compare two configuration folders."
    arguments = [
        helpers.argument("old", "Folder with .toml files."),
        helpers.argument("new", "Folder with .toml files."),
    ]

    def handle(self) -> int:
        """Run the command.

        Returns:
            0 if there are no differences, 1 if there are, 2 for an invalid
            folder.
        """
        loaded = []
        for name in ("old", "new"):
            path = pathlib.Path(self.argument(name))
            try:
                loaded.append(_load(path))
            except errors.ConfigurationError as err:
                lines = [f"{path}: {problem}" for problem in err.problems]
                self.io.write_error_line(lines, type=output.Type.RAW)
        if len(loaded) < 2:
            return _EXIT_INVALID
        (old, old_merged), (new, new_merged) = loaded
        lines = []
        for key in sorted(old.keys() | new.keys()):
            before = _format_lines("-", key, old, old_merged)
            after = _format_lines("+", key, new, new_merged)
            if not (before and after) or old[key] != new[key]:
                lines += before + after
        if not lines:
            return 0
        self.io.write_line(lines, type=output.Type.RAW)
        return _EXIT_DIFFERENT
