"""Command `slatechute bench capacity`."""

import json
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import errors
from slatechute.benches import capacity
from slatechute.commands import base

__all__ = ["BenchCapacityCommand"]


class BenchCapacityCommand(base.Command):
    """Measures the cost of plans, lists and heartbeats by fleet size."""

    name = "bench capacity"
    description = "Measure the cost of plans, lists and heartbeats by size."
    help = """\
Runs the components of one entry in this process with lists of fleets of several
sizes and measures CPU time and memory, without random numbers. Then
starts entry processes on loopback and measures the time until they respond.
Prints one line of progress per size on standard error and the results as JSON.

Exit status: 0 when the bench has run; 2 when an option cannot be used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "sizes",
            None,
            "Comma-separated targets:services:entries.",
            flag=False,
            default="100:5:24,1000:48:200,11000:530:2000",
        ),
    ]

    def handle(self) -> int:
        """Run the bench.

        Raises:
            errors.SettingsError: An option cannot be used.
        """
        try:
            sizes = tuple(
                capacity.Size(*map(int, text.split(":")))
                for text in str(self.option("sizes")).split(",")
            )
        except (TypeError, ValueError) as error:
            raise errors.SettingsError(f"sizes: {error}") from None
        if any(
            not 1 <= size.services <= size.targets <= 100_000
            or not 1 <= size.entries <= 10_000
            for size in sizes
        ):
            raise errors.SettingsError("sizes out of range")
        bench = capacity.CapacityBench(capacity.Plan(sizes), self.report)
        self.print(json.dumps(base.run_cancellable(bench.run())))
        return base.ExitStatus.OK
