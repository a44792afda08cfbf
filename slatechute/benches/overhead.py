"""Bench of what an entry adds to a call, and of what a request costs it."""

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

__all__ = ["OverheadBench", "Plan", "cpu_s", "quantile", "slope"]

_SERVICE = "small"
_SLOTS = 16
_ENTRIES = 3
_TARGETS = 4
_CALLERS = 3
_CONFIGURATION = f"""\
[fleet]
keep_ms = 60000

[services.{_SERVICE}]
slots = {_SLOTS}
connections = 260
deadline_ms = 10000
"""
# Long enough for the entries to take over targets that move, and for slow
# start to reach the full number of slots.
_SETTLE_S = 2.0
_WARM_UP_PAIRS = 200
# Outlasts the idle time of no connection that the calls use.
_PAUSE_S = 0.002
_BLOCK = 500
_SATURATING_WORKERS = 12
# Shares of the highest rate at which the slopes are measured.
_RATE_SHARES = (0.15, 0.3, 0.45, 0.6)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to run.

    Attributes:
        pairs: Pairs of calls for each place of the slot; 0 skips this part.
        work_ms: Fixed work time of a request in the paired part.
        seconds: Length of each run of the part on saturation; 0 skips it.
        seed: Seed of the arrival times.
    """

    pairs: int = 3000
    work_ms: float = 1.0
    seconds: float = 5.0
    seed: int = 1


def quantile(values: list[float], share: float) -> float:
    """Return the smallest value that is not below `share` of all.

    >>> quantile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line.

    >>> slope([(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)])
    (2.0, 1.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    found = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return found, mean_y - found * mean_x


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used.

    Raises:
        OSError: There is no such process.
    """
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class OverheadBench:
    """Runs a plan on real processes."""

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
        """Run all parts; return the results for JSON."""
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
            result["paired"] = await self._with_fleet(
                plan.work_ms, self._paired
            )
        if plan.seconds:
            result["saturation"] = await self._with_fleet(0.0, self._saturation)
        return result

    async def _with_fleet(self, work_ms: float, part: Callable) -> dict:
        fleet = processes.ProcessFleet(
            self._deployment,
            work_ms=work_ms,
            fixed_work=True,
            seed=self._plan.seed,
        )
        callers = [processes.Node("callers") for _ in range(_CALLERS)]
        async with fleet:
            for node in callers:
                await node.start()
            try:
                await self._give_targets(fleet, fleet.entries[0])
                return await part(fleet, callers)
            finally:
                for node in callers:
                    await node.stop()

    async def _give_targets(
        self, fleet: processes.ProcessFleet, owner: processes.EntryProcess
    ) -> None:
        """List all targets in the data centre of one entry.

        That entry then dispatches all of them: its own slots are local, those
        of every other entry are leased.
        """
        for row in fleet.rows_by_service[_SERVICE]:
            row["data_centre"] = owner.data_centre
        fleet.list_targets(_SERVICE)
        await asyncio.sleep(_SETTLE_S)

    def _settings(self) -> dict:
        return {
            "entries": [],
            "service": _SERVICE,
            "path": "/small/1",
            "deadline_ms": 10_000,
            "seed": self._plan.seed,
        }

    # Added time at low load.

    async def _paired(
        self, fleet: processes.ProcessFleet, callers: list[processes.Node]
    ) -> dict:
        found = {}
        for place, entry in zip(
            ("local", "leased"), fleet.entries, strict=False
        ):
            arguments = {
                "settings": self._settings(),
                "direct": fleet.rows_by_service[_SERVICE][0]["address"],
                "entry": entry.address,
                "pause_s": _PAUSE_S,
            }
            await callers[0].call("paired", count=_WARM_UP_PAIRS, **arguments)
            pairs = await callers[0].call(
                "paired", count=self._plan.pairs, **arguments
            )
            found[place] = _paired_figures(pairs)
            self._report({"slot": place, **found[place]})
        return found

    # Cost of a request.

    async def _saturation(
        self, fleet: processes.ProcessFleet, callers: list[processes.Node]
    ) -> dict:
        found: dict = {"local": [], "leased": []}
        for place, entry in zip(
            ("local", "leased"), fleet.entries, strict=False
        ):
            peak = await self._load(fleet, callers, entry, None)
            self._report({"slot": place, **peak})
            found[place].append(peak)
            for share in _RATE_SHARES:
                rate = share * peak["requests_per_s"]
                run = await self._load(fleet, callers, entry, rate)
                self._report({"slot": place, **run})
                found[place].append(run)
        return {**found, "slopes": _slopes(found)}

    async def _load(
        self,
        fleet: processes.ProcessFleet,
        callers: list[processes.Node],
        entry: processes.EntryProcess,
        rate: float | None,
    ) -> dict:
        """Send requests to one entry, without a rate as many as it takes."""
        seconds = self._plan.seconds
        before = [cpu_s(item.pid) for item in fleet.entries]
        frames = await _frames(fleet, fleet.entries[0])
        start = time.monotonic()
        if rate is None:
            results = await asyncio.gather(
                *(
                    node.call(
                        "closed_loop",
                        settings=self._settings(),
                        entry=entry.address,
                        workers=_SATURATING_WORKERS,
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
                        settings=self._settings()
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
        frames = await _frames(fleet, fleet.entries[0]) - frames
        shares = [
            (end - begin) / elapsed_s
            for begin, end in zip(before, after, strict=True)
        ]
        accepting = fleet.entries.index(entry)
        return {
            "rate": None if rate is None else round(rate, 1),
            "requests_per_s": round(served / elapsed_s, 1),
            "not_served": dict(outcomes),
            "median_ms": round(
                sum(r["median_ms"] for r in results) / len(results), 3
            ),
            "cpu_accepting": round(shares[accepting], 4),
            "cpu_dispatching": round(shares[0], 4),
            "frames_per_s": round(frames / elapsed_s, 1),
        }


async def _frames(
    fleet: processes.ProcessFleet, entry: processes.EntryProcess
) -> float:
    """Return the frames that an entry has sent and received."""
    url = f"http://{entry.admin_address}/metrics"
    async with fleet.session.get(url) as response:
        text = await response.text()
    return sum(
        sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == "slatechute_peer_frames_total"
    )


def _paired_figures(pairs: dict) -> dict:
    direct, through = pairs["direct"], pairs["through"]
    differences = [
        late - early for late, early in zip(through, direct, strict=True)
    ]
    figures: dict = {"not_served": pairs["not_served"]}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        of_direct = quantile(direct, share)
        of_through = quantile(through, share)
        figures[name] = {
            "direct_ms": round(of_direct, 3),
            "through_ms": round(of_through, 3),
            "added_ms": round(of_through - of_direct, 3),
            "paired_difference_ms": round(quantile(differences, share), 3),
        }
    figures["blocks"] = _added_by_block(direct, through)
    return figures


def _added_by_block(direct: list[float], through: list[float]) -> dict:
    """Return p50 and p99 of blocks of the run, in rising order.

    Other work on the machine disturbs a part of the blocks only.
    """
    blocks = [
        (direct[start : start + _BLOCK], through[start : start + _BLOCK])
        for start in range(0, len(direct) - _BLOCK + 1, _BLOCK)
    ]
    return {
        f"{name}_added_ms": sorted(
            round(quantile(late, share) - quantile(early, share), 3)
            for early, late in blocks
        )
        for name, share in (("p50", 0.5), ("p99", 0.99))
    }


def _slopes(found: dict) -> dict:
    """Return processor time for each request and for each slot message."""
    slopes = {}
    for place in ("local", "leased"):
        points = [
            (run["requests_per_s"], run["cpu_accepting"])
            for run in found[place]
            if run["rate"] is not None
        ]
        per_request_s, idle = slope(points)
        slopes[f"accepting_{place}_us_per_request"] = round(
            per_request_s * 1e6, 1
        )
        slopes[f"accepting_{place}_idle"] = round(idle, 4)
    points = [
        (run["frames_per_s"], run["cpu_dispatching"])
        for run in found["leased"]
        if run["rate"] is not None
    ]
    per_frame_s, idle = slope(points)
    slopes["dispatching_us_per_slot_message"] = round(per_frame_s * 1e6, 1)
    slopes["dispatching_idle"] = round(idle, 4)
    return slopes
