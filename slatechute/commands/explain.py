"""Command `slatechute explain`."""

import json
import pathlib
from typing import Any

from cleo import helpers
from cleo.commands import command
from cleo.io.outputs import output

from slatechute import errors
from slatechute.configuration import folder

__all__ = ["ExplainCommand", "format_value"]


def format_value(value: Any) -> str:
    """Return a value as text similar to TOML.

    >>> format_value(["GET"]), format_value(True), format_value(None)
    ('["GET"]', 'true', '(none)')
    """
    if value is None:
        return "(none)"
    return json.dumps(value, ensure_ascii=False, default=str)


class ExplainCommand(command.Command):
    """Prints the value and origin of a key or of all keys of a table."""

    name = "explain"
    description = "Show which file sets a key and what it overrides."
    arguments = [
        helpers.argument("folder", "Folder with .toml files."),
        helpers.argument("key", "Dotted key of a value or a table."),
    ]

    def handle(self) -> int:
        """Run the command and return 1 for an unknown key or invalid folder."""
        path = pathlib.Path(self.argument("folder"))
        text_by_part, problems = folder.read(path)
        if problems:
            return self._print_problems(problems)
        try:
            merged = folder.merge(text_by_part)
            key = folder.format_key(folder.parse_key(self.argument("key")))
        except errors.ConfigurationError as err:
            return self._print_problems(err.problems)
        except ValueError as err:
            return self._print_problems([f"{self.argument('key')}: {err}"])
        value_by_key = folder.values_by_key(merged.tree)
        try:
            configuration = folder.build(text_by_part)
        except errors.ConfigurationError:
            # The values in the files can be explained without the defaults.
            self._print_problems(
                [f"{path}: has problems, see `slatechute check`"]
            )
        else:
            value_by_key |= folder.values_by_key(configuration.model_dump())
        matching_keys = [
            known_key
            for known_key in sorted(value_by_key)
            if known_key == key or known_key.startswith(f"{key}.")
        ]
        if not matching_keys:
            return self._print_problems(
                [f"{key}: is not set and has no default"]
            )
        for known in matching_keys:
            self._explain(known, value_by_key[known], merged)
        return 0

    def _explain(self, key: str, value: Any, merged: folder.Merged) -> None:
        lines = [f"{key} = {format_value(value)}"]
        origin = merged.origin_by_key.get(key)
        if origin is None:
            lines.append("  default, set by no file")
        else:
            lines.append(f"  set by {origin.file}")
            if origin.overridden_files:
                lines.append(f"  overrode {', '.join(origin.overridden_files)}")
        self.io.write_line(lines, type=output.Type.RAW)

    def _print_problems(self, problems: list[str]) -> int:
        self.io.write_error_line(problems, type=output.Type.RAW)
        return 1
