"""Command `slatechute bench spread`."""

from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import errors
from slatechute.benches import spread
from slatechute.commands import base

__all__ = ["BenchSpreadCommand"]


class BenchSpreadCommand(base.Command):
    """Measures the speed and cost of distributing configuration."""

    name = "bench spread"
    description = "Measure the distribution of configuration on real processes."
    help = """\
Starts entries in 4 data centres as processes on loopback. `propagation`
measures the time from publishing a change until it is active on the last host,
`stale` the same with one working reader, `calls` the requests to the platform
and the overhead of control traffic at several sizes. Prints progress on
standard error and the results as JSON.

Exit status: 0 when the bench has run; 2 when an option cannot be used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "only",
            None,
            "Comma-separated parts.",
            flag=False,
            default=",".join(spread.PARTS),
        ),
        helpers.option(
            "entries",
            None,
            "Entry processes of propagation and stale.",
            flag=False,
            default="18",
        ),
        helpers.option(
            "sizes",
            None,
            "Comma-separated entry processes of calls.",
            flag=False,
            default="3,9,18",
        ),
        helpers.option(
            "changes", None, "Published changes.", flag=False, default="50"
        ),
        helpers.option(
            "seconds", None, "Duration of a window.", flag=False, default="25"
        ),
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the bench.

        Raises:
            errors.SettingsError: An option cannot be used.
        """
        try:
            plan = spread.Plan(
                tuple(str(self.option("only")).split(",")),
                int(self.option("entries")),
                tuple(int(x) for x in str(self.option("sizes")).split(",")),
                int(self.option("changes")),
                float(self.option("seconds")),
                int(self.option("seed")),
            )
        except ValueError as error:
            raise errors.SettingsError(str(error)) from None
        unknown = set(plan.only) - set(spread.PARTS)
        if unknown:
            raise errors.SettingsError(f"no part {sorted(unknown)}")
        if not all(1 <= size <= 64 for size in (plan.entries, *plan.sizes)):
            raise errors.SettingsError("entries or sizes out of range")
        if not 1 <= plan.changes <= 500 or not 1 <= plan.seconds <= 120:
            raise errors.SettingsError("changes or seconds out of range")
        bench = spread.SpreadBench(plan, self.report)
        self.print_json(base.run_cancellable(bench.run()))
        return base.ExitStatus.OK
