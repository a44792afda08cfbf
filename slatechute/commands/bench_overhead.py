"""Command `slatechute bench overhead`."""

import json
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import errors
from slatechute.benches import overhead
from slatechute.commands import base

__all__ = ["BenchOverheadCommand"]


class BenchOverheadCommand(base.Command):
    """Measures the added latency of an entry and its cost per request."""

    name = "bench overhead"
    description = "Measure added latency and CPU time of an entry."
    help = """\
Starts 3 entries, 4 targets and callers as processes on loopback. The first part
sends each request once to a target and once through an entry, with the slot
dispatched by that entry and leased from another one. The second part sends
small requests to one entry, at its maximum rate and at fractions of it, and
measures the CPU time per request and slot message. Prints one line of
progress per run on standard error and the results as JSON.

Exit status: 0 when the bench has run; 2 when an option cannot be used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "pairs",
            None,
            "Request pairs of the first part; 0 skips it.",
            flag=False,
            default="3000",
        ),
        helpers.option(
            "work-ms", None, "Fixed work time.", flag=False, default="1"
        ),
        helpers.option(
            "seconds",
            None,
            "Duration of a run of the second part; 0 skips it.",
            flag=False,
            default="5",
        ),
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the bench.

        Raises:
            errors.SettingsError: An option cannot be used.
        """
        try:
            plan = overhead.Plan(
                int(str(self.option("pairs"))),
                float(self.option("work-ms")),
                float(self.option("seconds")),
                int(self.option("seed")),
            )
        except ValueError as error:
            raise errors.SettingsError(str(error)) from None
        if not 0 <= plan.pairs <= 100_000 or not 0 <= plan.seconds <= 600:
            raise errors.SettingsError("pairs or seconds out of range")
        if not 0 <= plan.work_ms <= 1000:
            raise errors.SettingsError("work-ms out of range")
        bench = overhead.OverheadBench(plan, self.report)
        self.print(json.dumps(base.run_cancellable(bench.run())))
        return base.ExitStatus.OK
