"""Bench of configuration: propagation time, platform requests, overhead."""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import random
import time
from typing import Any

from prometheus_client import parser

from slatechute.benches import processes
from slatechute.benches import spread_fleet

__all__ = ["PARTS", "Plan", "SpreadBench"]

PARTS = ("propagation", "stale", "calls")
_CHANGE_TIMEOUT_S = 30.0
_STARTUP_WAIT_S = 5.0
# A reader sends at most two requests a second to the platform. More frequent
# changes would measure that limit.
_MIN_GAP_S = 0.5
_MAX_GAP_S = 1.5
_FLAP_INTERVAL_S = 1.5
_PART_TIMEOUT_S = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a bench run.

    Attributes:
        only: Parts to run.
        entries: Number of entry processes of `propagation` and `stale`.
        sizes: Numbers of entry processes of `calls`.
        changes: Changes published in each of `propagation` and `stale`.
        seconds: Duration of each measurement window of `calls`.
        seed: Seed of the gaps between changes and of the stale readers.
    """

    only: tuple[str, ...] = PARTS
    entries: int = 18
    sizes: tuple[int, ...] = (3, 9, 18)
    changes: int = 50
    seconds: float = 25.0
    seed: int = 1


class SpreadBench:
    """Runs a plan on real processes."""

    def __init__(self, plan: Plan, report: Callable[[dict], None]):
        self._plan = plan
        self._report = report

    async def run(self) -> dict:
        """Run all parts; return the results for JSON."""
        results: dict[str, Any] = {
            "bench": "spread",
            "revision": processes.git_revision(),
            "plan": dataclasses.asdict(self._plan),
        }
        parts: dict[str, Callable[[], Awaitable[Any]]] = {
            "propagation": lambda: self._measure_propagation(is_stale=False),
            "stale": lambda: self._measure_propagation(is_stale=True),
            "calls": self._measure_sizes,
        }
        for name in self._plan.only:
            async with asyncio.timeout(_PART_TIMEOUT_S):
                results[name] = await parts[name]()
            self._report({name: results[name]})
        return results

    # Time until a change is active.

    async def _measure_propagation(self, *, is_stale: bool) -> dict:
        rng = random.Random(self._plan.seed)
        fleet = spread_fleet.SpreadFleet(self._plan.entries)
        last_ms, all_ms = [], []
        unfinished = 0
        async with fleet:
            await fleet.start_all()
            await asyncio.sleep(_STARTUP_WAIT_S)
            faults = self._make_platforms_stale(fleet, rng) if is_stale else {}
            for _ in range(self._plan.changes):
                await asyncio.sleep(rng.uniform(_MIN_GAP_S, _MAX_GAP_S))
                revision, at_s = fleet.publish()
                if not await fleet.wait_until_active(
                    revision, _CHANGE_TIMEOUT_S
                ):
                    unfinished += 1
                    continue
                delays = fleet.delays_ms(revision, at_s)
                last_ms.append(max(delays))
                all_ms += delays
        return {
            "entries": self._plan.entries,
            "changes": self._plan.changes,
            "unfinished": unfinished,
            "faults": faults,
            "last_host_ms": _summary(last_ms),
            "each_host_ms": _summary(all_ms),
        }

    def _make_platforms_stale(
        self, fleet: spread_fleet.SpreadFleet, rng: random.Random
    ) -> dict[str, list[str]]:
        """Inject platform faults for all readers but one."""
        readers = fleet.reader_ids()
        rng.shuffle(readers)
        fresh, *stale = readers
        frozen, silent = stale[::2], stale[1::2]
        for entry_id in frozen:
            fleet.replica_by_entry[entry_id].frozen = True
        for entry_id in silent:
            fleet.replica_by_entry[entry_id].is_watch_silent = True
        return {"fresh": [fresh], "old_revision": frozen, "no_answer": silent}

    # Requests to the platform and overhead.

    async def _measure_sizes(self) -> dict:
        rows = [await self._measure_size(size) for size in self._plan.sizes]
        slopes = {}
        if len(rows) > 1:
            xs = [float(row["entries"]) for row in rows]
            for key in ("cpu_percent", "kb_sent_per_s", "kb_received_per_s"):
                ys = [row["control_per_entry"][key] for row in rows]
                slopes[f"{key}_per_entry_added"] = round(_slope(xs, ys), 4)
        return {"sizes": rows, "slopes": slopes}

    async def _measure_size(self, size: int) -> dict:
        window_s = self._plan.seconds
        fleet = spread_fleet.SpreadFleet(size)
        async with fleet:
            start_s = time.monotonic()
            await fleet.start_all()
            ready_s = time.monotonic() - start_s
            await asyncio.sleep(_STARTUP_WAIT_S)
            startup = fleet.platform_request_times(start_s)
            before = await self._usage(fleet)
            steady_s = time.monotonic()
            await asyncio.sleep(window_s)
            steady = fleet.platform_request_times(steady_s)
            elapsed_s = time.monotonic() - steady_s
            after = await self._usage(fleet)
            flap_s = time.monotonic()
            is_down = False
            while time.monotonic() - flap_s < window_s:
                is_down = not is_down
                fleet.set_down(is_down)
                await asyncio.sleep(_FLAP_INTERVAL_S)
            flapping = fleet.platform_request_times(flap_s)
            flap_length_s = time.monotonic() - flap_s
            fleet.set_down(True)
            outage_s = time.monotonic()
            await asyncio.sleep(window_s)
            outage = fleet.platform_request_times(outage_s)
        control = {
            "cpu_percent": after[0] - before[0],
            "kb_sent_per_s": (after[1] - before[1]) / 1024,
            "kb_received_per_s": (after[2] - before[2]) / 1024,
        }
        control["cpu_percent"] *= 100
        row = {
            "entries": size,
            "cold_start": {
                "calls": len(startup),
                "all_ready_s": round(ready_s, 2),
                "peak_calls_in_1_s": _peak_per_second(startup),
            },
            "steady_calls_per_s": round(len(steady) / elapsed_s, 3),
            "flapping_calls_per_s": round(len(flapping) / flap_length_s, 3),
            "flapping_peak_calls_in_1_s": _peak_per_second(flapping),
            "outage_calls_per_s": round(len(outage) / window_s, 3),
            "outage_peak_calls_in_1_s": _peak_per_second(outage),
            "control_per_entry": {
                key: round(value / elapsed_s / size, 3)
                for key, value in control.items()
            },
        }
        self._report(row)
        return row

    async def _usage(
        self, fleet: spread_fleet.SpreadFleet
    ) -> tuple[float, float, float]:
        """Return total CPU time in seconds, bytes sent and bytes received."""
        cpu_s = sent = received = 0.0
        for entry in fleet.entries:
            text = await entry.get(fleet.session, "/metrics")
            for family in parser.text_string_to_metric_families(text):
                for sample in family.samples:
                    if sample.name == "process_cpu_seconds_total":
                        cpu_s += sample.value
                    elif sample.name == "slatechute_peer_bytes_total":
                        is_sent = sample.labels["direction"] == "sent"
                        sent += sample.value * is_sent
                        received += sample.value * (not is_sent)
        return cpu_s, sent, received


def _summary(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    return {
        "p50": round(spread_fleet.percentile(values, 50), 1),
        "p99": round(spread_fleet.percentile(values, 99), 1),
        "max": round(max(values), 1),
    }


def _peak_per_second(times: list[float]) -> int:
    """Return the largest number of requests within one second."""
    ordered = sorted(times)
    first = peak = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= 1.0:
            first += 1
        peak = max(peak, last - first + 1)
    return peak


def _slope(xs: list[float], ys: list[float]) -> float:
    """Return the slope of the least-squares line."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    numerator = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    return numerator / sum((x - mean_x) ** 2 for x in xs)
