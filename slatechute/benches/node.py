"""Process of a bench that runs targets or callers on command.

Commands arrive on standard input, one JSON object a line. For each command the
process writes one line with the call number and the result to standard output.
It exits at the end of its input.
"""

import asyncio
import collections
import dataclasses
import gc
import json
import random
import sys
import time
from typing import Any

from slatechute.fakes import caller as callers
from slatechute.fakes import target as targets

__all__ = ["CallerNode", "SlowPhases", "TargetNode", "main"]

_MAX_LINE_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class SlowPhases:
    """Slows each target at random times, as noisy neighbours do.

    Attributes:
        factor: Factor of all work times during a slow phase.
        length_ms: Length of a slow phase.
        share: Fraction of the time during which a target is slow.
        seed: Seed of the times of the phases.
    """

    factor: float
    length_ms: float
    share: float
    seed: int

    async def run(self, target: targets.FakeTarget, number: int) -> None:
        """Run slow phases of a target until cancelled."""
        rng = random.Random(self.seed * 1000 + number)
        mean_s = self.length_ms / 1000 * (1 - self.share) / self.share
        while True:
            await asyncio.sleep(rng.expovariate(1 / mean_s))
            target.slow_factor = self.factor
            await asyncio.sleep(self.length_ms / 1000)
            target.slow_factor = 1.0


class TargetNode:
    """Runs fake targets and applies faults to them."""

    def __init__(self):
        self._targets: list[targets.FakeTarget] = []
        self._slow_phase_tasks: list[asyncio.Task] = []

    async def start(self, settings: list[dict[str, Any]]) -> list[dict]:
        """Start targets; return their rows for the list of instances."""
        for item in settings:
            target = targets.FakeTarget(targets.TargetSettings(**item))
            await target.start()
            self._targets.append(target)
        return self.listing()

    def listing(self) -> list[dict]:
        """Return the current rows for the list of instances."""
        return [dataclasses.asdict(t.instance_row()) for t in self._targets]

    def slow_phases(self, **phases: Any) -> None:
        """Replace the slow phases, or end them if there are no arguments."""
        for task in self._slow_phase_tasks:
            task.cancel()
        self._slow_phase_tasks = []
        for target in self._targets:
            target.slow_factor = 1.0
        if phases:
            plan = SlowPhases(**phases)
            self._slow_phase_tasks = [
                asyncio.create_task(plan.run(target, number))
                for number, target in enumerate(self._targets)
            ]

    def fault(self, number: int, name: str, value: Any = None) -> None:
        """Apply a fault to a target: set an attribute or call a method.

        Raises:
            ValueError: `name` is not a known fault.
        """
        target = self._targets[number]
        if name in ("slow_factor", "fail_fast", "shedding"):
            setattr(target, name, value)
        elif name in ("leave", "crash", "silence_connections"):
            getattr(target, name)()
        else:
            raise ValueError(f"unknown fault {name}")

    def check(self, not_run: list[str], once: list[str]) -> dict:
        """Compare outcomes that callers received with the recorded runs.

        Args:
            not_run: Ids of requests that were refused as not run.
            once: Ids of requests that must not run more than once.

        Returns:
            The number of `not_run` requests that ran, and the number of runs
            of each `once` request that ran.
        """
        runs: collections.Counter[str] = collections.Counter()
        for target in self._targets:
            for request_id, found in target.runs_by_request_id.items():
                runs[request_id] += len(found)
        return {
            "ran": sum(1 for key in not_run if runs[key]),
            "runs": {key: runs[key] for key in once if runs[key]},
        }

    def stats(self) -> dict:
        """Return counts over all targets and the CPU time of the process."""
        return {
            "runs": sum(
                len(runs)
                for target in self._targets
                for runs in target.runs_by_request_id.values()
            ),
            "refusals": sum(t.refusals.total() for t in self._targets),
            "probes": sum(t.probes.requests for t in self._targets),
            "probe_bytes": sum(t.probes.wire_bytes for t in self._targets),
            "cpu_s": time.process_time(),
        }

    def forget(self) -> None:
        """Delete all recorded runs."""
        for target in self._targets:
            target.runs_by_request_id.clear()


class CallerNode:
    """Sends requests from fake callers."""

    async def run(
        self,
        settings: dict[str, Any],
        rate: float,
        count: int,
        callers_count: int = 4,
    ) -> dict:
        """Send requests from several callers, each with its own address list.

        Returns:
            Counts, request ids and the encoded latency histogram.
        """
        total = callers.RunResult()
        runs = []
        for number in range(callers_count):
            caller_settings = {
                **settings,
                "seed": settings["seed"] * 100 + number,
            }
            request_count = count // callers_count + (
                number < count % callers_count
            )
            runs.append(
                self._run_one(
                    caller_settings, rate / callers_count, request_count, total
                )
            )
        await asyncio.gather(*runs)
        return {
            "served": total.served,
            "refused": [[*key, n] for key, n in total.refused.items()],
            "errors": [[*key, n] for key, n in total.errors.items()],
            "ids_by_outcome": dict(total.ids_by_outcome),
            "latencies": total.latencies_us.encode().decode(),
            "resent": total.resent,
            "resent_ids": sorted(total.resent_ids),
            "cpu_s": time.process_time(),
        }

    async def _run_one(
        self,
        settings: dict[str, Any],
        rate: float,
        count: int,
        total: callers.RunResult,
    ) -> None:
        async with callers.FakeCaller(
            callers.CallerSettings(**settings)
        ) as caller:
            await caller.run(rate, count, result=total)

    async def paired(
        self,
        settings: dict[str, Any],
        direct: str,
        count: int,
        pause_s: float,
        entry: str | None = None,
    ) -> dict:
        """Send pairs of requests, one through an entry and one directly.

        Args:
            settings: Settings of the caller.
            direct: Address of a target.
            count: Number of pairs.
            pause_s: Pause after each request.
            entry: Address of the entry; None for a random one of the fleet.

        Returns:
            Latencies in ms, `direct` and `through`, in the order sent, and the
            number of requests that were not `served`.
        """
        direct_ms, through_ms = [], []
        not_served = 0
        through_id = None if entry is None else "d.1.1"
        async with callers.FakeCaller(
            callers.CallerSettings(**settings)
        ) as caller:
            for _ in range(count):
                result = await caller.send(request_id=through_id, address=entry)
                through_ms.append(result.latency_ms)
                not_served += result.outcome != "served"
                await asyncio.sleep(pause_s)
                result = await caller.send(request_id="d.1.1", address=direct)
                direct_ms.append(result.latency_ms)
                not_served += result.outcome != "served"
                await asyncio.sleep(pause_s)
        return {
            "direct": direct_ms,
            "through": through_ms,
            "not_served": not_served,
        }

    async def closed_loop(
        self,
        settings: dict[str, Any],
        entry: str,
        workers: int,
        seconds: float,
    ) -> dict:
        """Send requests one after the other from each of several workers.

        Args:
            settings: Settings of the caller.
            entry: Address of the entry.
            workers: Number of requests in flight.
            seconds: Duration of the run.

        Returns:
            Request counts by outcome, and the median latency in ms.
        """
        results: list[callers.RequestResult] = []
        end = time.monotonic() + seconds

        async def send_until_end(caller: callers.FakeCaller) -> None:
            while time.monotonic() < end:
                results.append(
                    await caller.send(request_id="d.1.1", address=entry)
                )

        async with callers.FakeCaller(
            callers.CallerSettings(**settings)
        ) as caller:
            await asyncio.gather(
                *(send_until_end(caller) for _ in range(workers))
            )
        return _summarize(results)

    async def open_loop(
        self, settings: dict[str, Any], entry: str, rate: float, count: int
    ) -> dict:
        """Send requests to one entry with Poisson arrivals.

        Returns:
            Request counts by outcome, and the median latency in ms.
        """
        rng = random.Random(settings["seed"])
        due = time.monotonic()
        tasks = []
        async with callers.FakeCaller(
            callers.CallerSettings(**settings)
        ) as caller:
            for _ in range(count):
                due += rng.expovariate(rate)
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                request = caller.send(
                    request_id="d.1.1", address=entry, due=due
                )
                tasks.append(asyncio.create_task(request))
            return _summarize(await asyncio.gather(*tasks))


def _summarize(results: list[callers.RequestResult]) -> dict:
    outcomes = collections.Counter(
        result.outcome
        if result.outcome == "served"
        else f"{result.outcome} {result.detail} {result.status}"
        for result in results
    )
    latencies_ms = sorted(result.latency_ms for result in results)
    median_ms = latencies_ms[len(latencies_ms) // 2] if latencies_ms else 0.0
    return {"outcomes": dict(outcomes), "median_ms": median_ms}


async def _serve(node: object) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=_MAX_LINE_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        command = json.loads(line)
        number = command.pop("call")
        method = getattr(node, command.pop("op"))
        result = method(**command)
        if asyncio.iscoroutine(result):
            result = await result
        print(json.dumps([number, result]), flush=True)


def main(kind: str) -> None:
    """Serve commands until the end of the input."""
    # Pauses of the garbage collector would be measured as entry latency.
    gc.freeze()
    gc.disable()
    node = {"targets": TargetNode, "callers": CallerNode}[kind]()
    asyncio.run(_serve(node))


if __name__ == "__main__":
    main(sys.argv[1])
