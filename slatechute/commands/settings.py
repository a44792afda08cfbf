"""Command `slatechute settings`."""

from typing import ClassVar

from cleo.io.inputs import option

from slatechute import settings as entry_settings
from slatechute.commands import base

__all__ = ["SettingsCommand"]


class SettingsCommand(base.Command):
    """Prints the effective settings."""

    name = "settings"
    description = "Print the effective settings and the origin of each."
    help = """\
Takes the same flags and variables as <c1>slatechute entry</c1>, checks them
and prints name, value, origin (flag, environment, file or default) and
variable of each setting. Secrets are masked.

Exit status: 0 when the settings are valid; 2 when they are not."""
    options: ClassVar[list[option.Option]] = entry_settings.cleo_options()

    def handle(self) -> int:
        """Print the settings.

        Raises:
            errors.SettingsError: The settings are not valid.
        """
        flags = entry_settings.read_flags(self.option)
        settings = entry_settings.load(flags)
        origin_by_field = entry_settings.origins(flags)
        self.print_columns(
            [
                [
                    field,
                    entry_settings.display_value(settings, field),
                    origin,
                    entry_settings.environment_name(field),
                ]
                for field, origin in origin_by_field.items()
            ]
        )
        for variable in entry_settings.unknown_variables():
            self.line_error(f"slatechute: {variable} is not a setting; ignored")
        return base.ExitStatus.OK
