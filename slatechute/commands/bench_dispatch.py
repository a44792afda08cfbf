"""Command `slatechute bench dispatch`."""

import dataclasses
from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import errors
from slatechute.benches import dispatch
from slatechute.commands import base
from slatechute.fakes import deployments

__all__ = ["BenchDispatchCommand"]


class BenchDispatchCommand(base.Command):
    """Compares the dispatcher policy with policies without a dispatcher."""

    name = "bench dispatch"
    description = "Compare dispatch policies on real processes."
    help = """\
Starts entries, targets and callers as processes on loopback and sends the same
load through each policy, with targets that slow down randomly. Prints one line
of progress per run on standard error and the results as JSON.

Exit status: 0 when the bench has run; 2 when an option cannot be used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "deployment", None, "cases or kits.", flag=False, default="kits"
        ),
        helpers.option(
            "policies",
            None,
            "Comma-separated policies.",
            flag=False,
            default=",".join(dispatch.POLICIES),
        ),
        helpers.option(
            "loads",
            None,
            "Comma-separated loads.",
            flag=False,
            default="0.5,0.7,0.85",
        ),
        helpers.option(
            "seconds", None, "Duration of a run.", flag=False, default="10"
        ),
        helpers.option(
            "work-ms", None, "Mean work time.", flag=False, default="20"
        ),
        helpers.option(
            "entries", None, "Entry processes.", flag=False, default="18"
        ),
        helpers.option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the bench.

        Raises:
            errors.SettingsError: An option cannot be used.
        """
        try:
            plan = dispatch.Plan(
                str(self.option("deployment")),
                tuple(str(self.option("policies")).split(",")),
                tuple(float(x) for x in str(self.option("loads")).split(",")),
                float(self.option("seconds")),
                float(self.option("work-ms")),
                int(self.option("entries")),
                int(self.option("seed")),
            )
        except ValueError as error:
            raise errors.SettingsError(str(error)) from None
        if plan.deployment not in deployments.DEPLOYMENTS:
            raise errors.SettingsError(f"no deployment {plan.deployment!r}")
        unknown = set(plan.policies) - set(dispatch.POLICIES)
        if unknown:
            raise errors.SettingsError(f"no policy {sorted(unknown)}")
        if not 1 <= plan.entries <= 64 or not 1 <= plan.seconds <= 600:
            raise errors.SettingsError("entries or seconds out of range")
        bench = dispatch.DispatchBench(plan, self._report)
        self.print_json(base.run_cancellable(bench.run()))
        return base.ExitStatus.OK

    def _report(self, run: dispatch.Run) -> None:
        self.report(dataclasses.asdict(run))
