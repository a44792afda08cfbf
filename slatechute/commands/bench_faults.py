"""Command `slatechute bench faults`."""

import json
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import errors
from slatechute.benches import faults
from slatechute.commands import base
from slatechute.fakes import deployments

__all__ = ["BenchFaultsCommand"]

_MEASUREMENTS = ("slow", "failing", "measuring")


class BenchFaultsCommand(base.Command):
    """Checks requests under random faults."""

    name = "bench faults"
    description = "Check many requests under random faults."
    help = """\
Starts entries, targets and callers as processes on loopback, injects random
faults while callers send and resend, and compares the results of the callers
with what the targets ran. Prints the results as JSON. With --only it makes one
measurement on the kits deployment instead: slow, failing or measuring.

Exit status: 0 when no request ran twice that must not, none was reported as not
run that ran, and no response was wrong; 1 otherwise; 2 when an option cannot be
used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "deployments",
            None,
            "Comma-separated deployments.",
            flag=False,
            default="cases,kits",
        ),
        helpers.option(
            "requests", None, "Total requests.", flag=False, default="200000"
        ),
        helpers.option(
            "rate", None, "Requests per second.", flag=False, default="1200"
        ),
        helpers.option(
            "entries", None, "Entry processes.", flag=False, default="6"
        ),
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
        helpers.option(
            "only",
            None,
            "slow, failing or measuring.",
            flag=False,
            default="",
        ),
        helpers.option(
            "seconds",
            None,
            "Duration of a run of --only.",
            flag=False,
            default="10",
        ),
    ]

    def handle(self) -> int:
        """Run the bench.

        Raises:
            errors.SettingsError: An option cannot be used.
        """
        try:
            plan = faults.Plan(
                tuple(str(self.option("deployments")).split(",")),
                int(self.option("requests")),
                float(self.option("rate")),
                int(self.option("entries")),
                seed=int(self.option("seed")),
            )
            seconds = float(self.option("seconds"))
        except ValueError as error:
            raise errors.SettingsError(str(error)) from None
        unknown = set(plan.deployments) - set(deployments.DEPLOYMENTS)
        if unknown:
            raise errors.SettingsError(f"no deployment {sorted(unknown)}")
        if not (
            3 <= plan.entries <= 64
            and 100 <= plan.requests <= 2_000_000
            and 10 <= plan.rate <= 20_000
            and 1 <= seconds <= 600
        ):
            raise errors.SettingsError("a number is out of range")
        only = str(self.option("only"))
        if only and only not in _MEASUREMENTS:
            raise errors.SettingsError(f"no measurement {only!r}")
        if only:
            measurement = faults.Measurements(plan, seconds)
            self.print(json.dumps(base.run_cancellable(measurement.run(only))))
            return base.ExitStatus.OK
        bench = faults.FaultsBench(plan, self.report)
        result = base.run_cancellable(bench.run())
        self.print(json.dumps(result))
        ok = result["ok"]
        return base.ExitStatus.OK if ok else base.ExitStatus.NEGATIVE
