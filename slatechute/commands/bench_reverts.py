"""Command `slatechute bench reverts`."""

from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import errors
from slatechute.benches import reverts
from slatechute.commands import base

__all__ = ["BenchRevertsCommand"]


class BenchRevertsCommand(base.Command):
    """Checks that no entry reverts to an older configuration."""

    name = "bench reverts"
    description = "Change the configuration under faults and look for reverts."
    help = """\
Publishes changes while entry processes are killed, frozen and disconnected and
the platform is stale or down. No entry may revert to an older revision, become
ready with an older one than a reachable peer, or lag behind after the faults.
Prints progress on standard error and the result as JSON.

Exit status: 0 when there was no violation; 1 otherwise; 2 when an option cannot
be used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "changes", None, "Published changes.", flag=False, default="200"
        ),
        helpers.option(
            "entries", None, "Entry processes.", flag=False, default="9"
        ),
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
        helpers.option(
            "log", None, "File for the log lines.", flag=False, default=""
        ),
    ]

    def handle(self) -> int:
        """Run the bench.

        Raises:
            errors.SettingsError: An option cannot be used.
        """
        try:
            plan = reverts.Plan(
                int(self.option("changes")),
                int(self.option("entries")),
                int(self.option("seed")),
                log=str(self.option("log")),
            )
        except ValueError as error:
            raise errors.SettingsError(str(error)) from None
        if not 2 <= plan.entries <= 32 or not 1 <= plan.changes <= 2000:
            raise errors.SettingsError("entries or changes out of range")
        result = base.run_cancellable(
            reverts.RevertsBench(plan, self.report).run()
        )
        self.print_json(result)
        if result["clean"]:
            return base.ExitStatus.OK
        return base.ExitStatus.NEGATIVE
