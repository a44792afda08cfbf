"""Measure the added latency of an entry and its cost per request."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import math
import os
import time

from prometheus_client import parser

from slatechute.benches import processes
from slatechute.fakes import deployments

__all__ = ["OverheadBench", "Plan", "cpu_s", "fit_line", "quantile"]

_SERVICE = "small"
_SLOTS = 16
_ENTRIES = 3
_TARGETS = 4
_CALLER_PROCESSES = 3
_CONFIGURATION = f"""\
[fleet]
keep_ms = 60000

[services.{_SERVICE}]
slots = {_SLOTS}
connections = 260
deadline_ms = 10000
"""
# Time for one entry to become the dispatcher of all moved targets. Their
# concurrency limits reach the full number of slots only later, with successful
# exchanges.
_STARTUP_WAIT_S = 2.0
_WARM_UP_PAIRS = 200
# Shorter than the idle timeout of each connection that the requests use.
_REQUEST_PAUSE_S = 0.002
_BLOCK_PAIRS = 500
_SATURATION_WORKERS = 12
# Fractions of the maximum rate for the runs from which the slopes are fitted.
_RATE_SHARES = (0.15, 0.3, 0.45, 0.6)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of the bench.

    Attributes:
        pairs: Number of request pairs, each for local and for leased slots; 0
            skips the paired part.
        work_ms: Fixed work time of a request in the paired part.
        seconds: Duration of each run of the saturation part; 0 skips it.
        seed: Seed of the arrival times.
    """

    pairs: int = 3000
    work_ms: float = 1.0
    seconds: float = 5.0
    seed: int = 1


def quantile(values: list[float], fraction: float) -> float:
    """Return the smallest value with at least `fraction` of all up to it.

    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line.

    >>> fit_line([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
    (2.0, 1.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    return slope, mean_y - slope * mean_x


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds.

    Raises:
        OSError: There is no such process.
    """
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class OverheadBench:
    """Runs the measurements of a plan on real processes."""

    def __init__(self, plan: Plan, report: Callable[[dict], None]):
        self._plan = plan
        self._report = report
        self._deployment = deployments.Deployment(
            "overhead",
            {"10-services.toml": _CONFIGURATION},
            (
                deployments.ServiceSize(
                    _SERVICE, _TARGETS, _SLOTS, 260, "/small/1"
                ),
            ),
            ("dc1", "dc2", "dc3"),
            _ENTRIES,
        )

    async def run(self) -> dict:
        """Run both parts; return the results for JSON."""
        plan = self._plan
        result: dict = {
            "bench": "overhead",
            "revision": processes.git_revision(),
            "plan": dataclasses.asdict(plan),
            "entries": _ENTRIES,
            "targets": _TARGETS,
            "load_average": [round(load, 1) for load in os.getloadavg()],
        }
        if plan.pairs:
            result["paired"] = await self._run_with_fleet(
                plan.work_ms, self._measure_pairs
            )
        if plan.seconds:
            result["saturation"] = await self._run_with_fleet(
                0.0, self._measure_saturation
            )
        return result

    async def _run_with_fleet(self, work_ms: float, measure: Callable) -> dict:
        fleet = processes.ProcessFleet(
            self._deployment,
            work_ms=work_ms,
            fixed_work=True,
            seed=self._plan.seed,
        )
        callers = [processes.Node("callers") for _ in range(_CALLER_PROCESSES)]
        async with fleet:
            for node in callers:
                await node.start()
            try:
                await self._assign_targets(fleet, fleet.entries[0])
                return await measure(fleet, callers)
            finally:
                for node in callers:
                    await node.stop()

    async def _assign_targets(
        self, fleet: processes.ProcessFleet, dispatcher: processes.EntryProcess
    ) -> None:
        """Move all targets to the data centre of one entry.

        That entry becomes the dispatcher of all targets. It uses their slots
        locally, and every other entry leases them.
        """
        for row in fleet.rows_by_service[_SERVICE]:
            row["data_centre"] = dispatcher.data_centre
        fleet.list_targets(_SERVICE)
        await asyncio.sleep(_STARTUP_WAIT_S)

    def _caller_settings(self) -> dict:
        return {
            "entries": [],
            "service": _SERVICE,
            "path": "/small/1",
            "deadline_ms": 10_000,
            "seed": self._plan.seed,
        }

    # Added latency at low load.

    async def _measure_pairs(
        self, fleet: processes.ProcessFleet, callers: list[processes.Node]
    ) -> dict:
        result_by_slot = {}
        for slot_kind, entry in zip(
            ("local", "leased"), fleet.entries, strict=False
        ):
            arguments = {
                "settings": self._caller_settings(),
                "direct": fleet.rows_by_service[_SERVICE][0]["address"],
                "entry": entry.address,
                "pause_s": _REQUEST_PAUSE_S,
            }
            await callers[0].call("paired", count=_WARM_UP_PAIRS, **arguments)
            pairs = await callers[0].call(
                "paired", count=self._plan.pairs, **arguments
            )
            result_by_slot[slot_kind] = _summarize_pairs(pairs)
            self._report({"slot": slot_kind, **result_by_slot[slot_kind]})
        return result_by_slot

    # CPU time per request.

    async def _measure_saturation(
        self, fleet: processes.ProcessFleet, callers: list[processes.Node]
    ) -> dict:
        runs_by_slot: dict = {"local": [], "leased": []}
        for slot_kind, entry in zip(
            ("local", "leased"), fleet.entries, strict=False
        ):
            peak = await self._run_load(fleet, callers, entry, None)
            self._report({"slot": slot_kind, **peak})
            runs_by_slot[slot_kind].append(peak)
            for share in _RATE_SHARES:
                rate = share * peak["requests_per_s"]
                run = await self._run_load(fleet, callers, entry, rate)
                self._report({"slot": slot_kind, **run})
                runs_by_slot[slot_kind].append(run)
        return {**runs_by_slot, "slopes": _fit_slopes(runs_by_slot)}

    async def _run_load(
        self,
        fleet: processes.ProcessFleet,
        callers: list[processes.Node],
        entry: processes.EntryProcess,
        rate: float | None,
    ) -> dict:
        """Send requests to one entry, at its maximum rate if `rate` is None."""
        seconds = self._plan.seconds
        before = [cpu_s(item.pid) for item in fleet.entries]
        frames = await _read_frame_count(fleet, fleet.entries[0])
        start = time.monotonic()
        if rate is None:
            results = await asyncio.gather(
                *(
                    node.call(
                        "closed_loop",
                        settings=self._caller_settings(),
                        entry=entry.address,
                        workers=_SATURATION_WORKERS,
                        seconds=seconds,
                    )
                    for node in callers
                )
            )
        else:
            results = await asyncio.gather(
                *(
                    node.call(
                        "open_loop",
                        settings=self._caller_settings()
                        | {"seed": self._plan.seed * 100 + number},
                        entry=entry.address,
                        rate=rate / len(callers),
                        count=int(rate * seconds / len(callers)),
                    )
                    for number, node in enumerate(callers)
                )
            )
        elapsed_s = time.monotonic() - start
        outcomes: collections.Counter[str] = collections.Counter()
        for result in results:
            outcomes.update(result["outcomes"])
        served = outcomes.pop("served", 0)
        after = [cpu_s(item.pid) for item in fleet.entries]
        frames = await _read_frame_count(fleet, fleet.entries[0]) - frames
        cpu_shares = [
            (end - begin) / elapsed_s
            for begin, end in zip(before, after, strict=True)
        ]
        accepting_index = fleet.entries.index(entry)
        return {
            "rate": None if rate is None else round(rate, 1),
            "requests_per_s": round(served / elapsed_s, 1),
            "not_served": dict(outcomes),
            "median_ms": round(
                sum(r["median_ms"] for r in results) / len(results), 3
            ),
            "cpu_accepting": round(cpu_shares[accepting_index], 4),
            "cpu_dispatching": round(cpu_shares[0], 4),
            "frames_per_s": round(frames / elapsed_s, 1),
        }


async def _read_frame_count(
    fleet: processes.ProcessFleet, entry: processes.EntryProcess
) -> float:
    """Return the number of frames that an entry has sent and received."""
    url = f"http://{entry.admin_address}/metrics"
    async with fleet.session.get(url) as response:
        text = await response.text()
    return sum(
        sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "slatechute_peer_frames_total"
    )


def _summarize_pairs(pairs: dict) -> dict:
    direct, through = pairs["direct"], pairs["through"]
    differences = [
        through_ms - direct_ms
        for through_ms, direct_ms in zip(through, direct, strict=True)
    ]
    result: dict = {"not_served": pairs["not_served"]}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        direct_ms = quantile(direct, share)
        through_ms = quantile(through, share)
        result[name] = {
            "direct_ms": round(direct_ms, 3),
            "through_ms": round(through_ms, 3),
            "added_ms": round(through_ms - direct_ms, 3),
            "paired_difference_ms": round(quantile(differences, share), 3),
        }
    result["blocks"] = _added_latency_by_block(direct, through)
    return result


def _added_latency_by_block(direct: list[float], through: list[float]) -> dict:
    """Return the added p50 and p99 of each block of pairs, ascending.

    Other work on the machine disturbs only some of the blocks.
    """
    blocks = [
        (
            direct[start : start + _BLOCK_PAIRS],
            through[start : start + _BLOCK_PAIRS],
        )
        for start in range(0, len(direct) - _BLOCK_PAIRS + 1, _BLOCK_PAIRS)
    ]
    return {
        f"{name}_added_ms": sorted(
            round(
                quantile(block_through, share) - quantile(block_direct, share),
                3,
            )
            for block_direct, block_through in blocks
        )
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


def _fit_slopes(runs_by_slot: dict) -> dict:
    """Return the CPU time per request and per slot message, and when idle.

    Both come from lines fitted to CPU time over rate: the slope, and the
    intercept at rate 0.
    """
    slopes = {}
    for slot_kind in ("local", "leased"):
        points = [
            (run["requests_per_s"], run["cpu_accepting"])
            for run in runs_by_slot[slot_kind]
            if run["rate"] is not None
        ]
        per_request_s, idle = fit_line(points)
        slopes[f"accepting_{slot_kind}_us_per_request"] = round(
            per_request_s * 1e6, 1
        )
        slopes[f"accepting_{slot_kind}_idle"] = round(idle, 4)
    points = [
        (run["frames_per_s"], run["cpu_dispatching"])
        for run in runs_by_slot["leased"]
        if run["rate"] is not None
    ]
    per_frame_s, idle = fit_line(points)
    slopes["dispatching_us_per_slot_message"] = round(per_frame_s * 1e6, 1)
    slopes["dispatching_idle"] = round(idle, 4)
    return slopes
