"""Command `slatechute demo`."""

from typing import ClassVar

from cleo import helpers
from cleo.io.inputs import option

from slatechute import demo
from slatechute import errors
from slatechute import logs
from slatechute.commands import base
from slatechute.fakes import local_fleet

__all__ = ["DemoCommand"]

_HEADERS = ["service", "served", "refused", "other", "p50 ms", "p99 ms"]


class DemoCommand(base.Command):
    """Runs a whole fleet on loopback."""

    name = "demo"
    description = "Run platform, targets, entries and callers in one process."
    help = """\
All components run in one process on one event loop, with real sockets on
loopback. Every response is verified, and the results of the callers are
compared with what the targets ran.

Exit status: 0 when no request was lost or executed twice; 1 otherwise; 2 when
an option cannot be used."""
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "seconds", None, "Duration of the run.", flag=False, default="8"
        ),
        helpers.option(
            "rate", None, "Requests per second.", flag=False, default="250"
        ),
        helpers.option(
            "entries", None, "Number of entries.", flag=False, default="3"
        ),
        helpers.option(
            "seed", None, "Seed of the load.", flag=False, default="1"
        ),
    ]

    def handle(self) -> int:
        """Run the demonstration.

        Raises:
            errors.SettingsError: An option is not a number in its valid range.
        """
        seconds = self._parse_number("seconds", 1, 600)
        rate = self._parse_number("rate", 1, 2000)
        entries = self._parse_number("entries", 1, 24)
        seed = self._parse_number("seed", 0, 10**6)
        logs.setup(level="error")
        summary = base.run_cancellable(self._run(seconds, rate, entries, seed))
        self._print_summary(summary)
        if summary.is_clean:
            return base.ExitStatus.OK
        return base.ExitStatus.NEGATIVE

    def _parse_number(self, name: str, least: int, most: int) -> int:
        text = str(self.option(name))
        if not text.isascii() or not text.isdigit():
            raise errors.SettingsError(f"--{name}: {text!r} is not a number")
        value = int(text)
        if not least <= value <= most:
            raise errors.SettingsError(
                f"--{name}: {value} is not between {least} and {most}"
            )
        return value

    async def _run(
        self, seconds: int, rate: int, entries: int, seed: int
    ) -> demo.Summary:
        fleet = local_fleet.LocalFleet(
            demo.both_deployments(), entries=entries, seed=seed
        )
        async with fleet:
            run = demo.Demo(fleet, rate, rate * seconds, seed)
            return await run.run(self._print_rows)

    def _print_rows(self, rows: list[list[str]]) -> None:
        self.print_columns([_HEADERS, *rows])
        self.print("")

    def _print_summary(self, summary: demo.Summary) -> None:
        rows = [
            ["sent", str(summary.sent)],
            ["served", str(summary.served)],
        ]
        for (reason, outcome), count in sorted(summary.refused.items()):
            rows.append([f"refused, {reason} ({outcome})", str(count)])
        for reason, count in sorted(summary.retried.items()):
            if count:
                rows.append([f"retried, {reason}", str(count)])
        for (kind, detail), count in sorted(summary.problems.items()):
            rows.append([f"{kind}, {detail}", str(count)])
        rows += [
            ["executed twice", str(summary.executed_twice)],
            ["reported not run, but ran", str(summary.false_not_run)],
            ["probe requests", str(summary.probes)],
        ]
        for percentile, value in summary.latency_ms.items():
            rows.append([f"p{percentile:g} ms", f"{value:.1f}"])
        self.print_columns(rows)
