"""Demonstration of both example deployments in one process."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses

from hdrh import histogram

from slatechute import errors
from slatechute.fakes import caller as callers
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet

__all__ = ["Demo", "Summary", "both_deployments"]

_REPORT_INTERVAL_S = 1.0
_PERCENTILES = (50.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class Summary:
    """Results of a run.

    Attributes:
        sent: Requests of all callers.
        served: Complete, verified responses.
        refused: Refusals by reason and outcome.
        retried: Retries by reason.
        problems: Results other than responses and refusals, by kind and detail.
        executed_twice: Requests that ran twice although they must not.
        false_not_run: Requests reported as not run that did run.
        probes: Requests sent to measure targets.
        latency_ms: Latency in milliseconds by percentile.
    """

    sent: int = 0
    served: int = 0
    refused: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    retried: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    problems: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    executed_twice: int = 0
    false_not_run: int = 0
    probes: int = 0
    latency_ms: dict[float, float] = dataclasses.field(default_factory=dict)

    @property
    def is_clean(self) -> bool:
        """Whether no request was lost or executed twice."""
        bad = self.executed_twice + self.false_not_run + self.problems.total()
        return self.served > 0 and bad == 0


def both_deployments() -> deployments.Deployment:
    """Return one deployment with the services of both examples."""
    parts = deployments.DEPLOYMENTS.values()
    texts = {}
    for number, part in enumerate(parts):
        for name, text in part.text_by_file.items():
            texts[f"{number}{name}"] = text
    services = tuple(size for part in parts for size in part.services)
    return deployments.Deployment("both", texts, services)


class Demo:
    """Runs callers against a fleet and counts the results."""

    def __init__(
        self,
        fleet: local_fleet.LocalFleet,
        rate: float,
        request_count: int,
        seed: int,
    ):
        self._fleet = fleet
        self._rate = rate
        self._request_count = request_count
        self._seed = seed
        self._results: dict[str, callers.RunResult] = {}

    async def run(self, report: Callable[[list[list[str]]], None]) -> Summary:
        """Send all requests and call `report` each second with table rows."""
        sizes = self._fleet.deployment.services
        async with asyncio.TaskGroup() as group:
            reporter = asyncio.create_task(self._report(report))
            runs = [
                group.create_task(self._run_caller(size, index))
                for index, size in enumerate(sizes)
            ]
            await asyncio.gather(*runs)
            reporter.cancel()
        return self._summarize()

    async def _run_caller(
        self, size: deployments.ServiceSize, index: int
    ) -> None:
        settings = callers.CallerSettings(
            self._fleet.entry_addresses,
            size.name,
            size.method,
            size.path,
            seed=self._seed * 100 + index,
        )
        service_count = len(self._fleet.deployment.services)
        async with callers.FakeCaller(settings) as caller:
            result = callers.RunResult()
            self._results[size.name] = result
            await caller.run(
                self._rate / service_count,
                self._request_count // service_count,
                result=result,
            )

    async def _report(self, report: Callable[[list[list[str]]], None]) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            report(self.rows())

    def rows(self) -> list[list[str]]:
        """Return service, served, refused, others, p50 and p99 in ms."""
        rows = []
        for service, result in sorted(self._results.items()):
            latency = result.latencies_us.get_value_at_percentile
            rows.append(
                [
                    service,
                    str(result.served),
                    str(result.refused.total()),
                    str(result.errors.total()),
                    f"{latency(50) / 1000:.1f}",
                    f"{latency(99) / 1000:.1f}",
                ]
            )
        return rows

    def _summarize(self) -> Summary:
        summary = Summary()
        total = histogram.HdrHistogram(1, 60_000_000, 3)
        for size in self._fleet.deployment.services:
            result = self._results[size.name]
            summary.served += result.served
            summary.refused.update(result.refused)
            summary.problems.update(result.errors)
            total.add(result.latencies_us)
            self._check_runs(size, result, summary)
        summary.sent = (
            summary.served + summary.refused.total() + summary.problems.total()
        )
        for reason in errors.Reason:
            count = sum(
                app.metrics.value("retries_total", reason=reason)
                for app in self._fleet.applications
            )
            summary.retried[reason] += int(count)
        for target in self._fleet.all_targets:
            summary.probes += target.probes.requests
        summary.latency_ms = {
            p: total.get_value_at_percentile(p) / 1000 for p in _PERCENTILES
        }
        return summary

    def _check_runs(
        self,
        size: deployments.ServiceSize,
        result: callers.RunResult,
        summary: Summary,
    ) -> None:
        """Compare the results of the callers with what the targets ran."""
        runs: collections.Counter[str] = collections.Counter()
        for target in self._fleet.targets_by_service[size.name]:
            for request_id, runs_of_id in target.runs_by_request_id.items():
                runs[request_id] += len(runs_of_id)
        if size.method == "POST":
            summary.executed_twice += sum(count > 1 for count in runs.values())
        refused = result.ids_by_outcome.get("not-run", [])
        summary.false_not_run += sum(runs[key] > 0 for key in refused)
