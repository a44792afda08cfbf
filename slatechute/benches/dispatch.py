"""Compare the dispatcher policy with policies without a dispatcher."""

import asyncio
from collections.abc import Callable
import dataclasses
import os
import time

from hdrh import histogram

from slatechute.benches import processes
from slatechute.fakes import deployments

__all__ = ["DispatchBench", "Plan", "Run"]

BASELINE_POLICIES = ("random_choice", "least_in_flight", "two_choices")
# The dispatcher policy with hedged requests, as in production. All other runs
# disable hedging.
HEDGED_POLICY = "owner_hedged"
POLICIES = ("owner", HEDGED_POLICY, *BASELINE_POLICIES)
_NO_HEDGING_FILES = {"50-bench.toml": "[fleet]\nhedge_ratio = 0.0\n"}
_SLOW_FACTOR = 8.0
_SLOW_TIME_SHARE = 0.05
_SLOW_PHASE_WORK_TIMES = 20.0
_CALLER_PROCESSES = 3
_WARM_UP_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of the bench.

    Attributes:
        deployment: Name of the deployment. Requests go to its first service.
        policies: Policies to compare.
        loads: Offered loads, as fractions of the capacity of all slots.
        seconds: Duration of each run.
        work_ms: Mean work time of a request.
        entries: Number of entry processes.
        seed: Seed of the arrival times, work times and slow phases.
    """

    deployment: str
    policies: tuple[str, ...] = POLICIES
    loads: tuple[float, ...] = (0.5, 0.7, 0.85)
    seconds: float = 10.0
    work_ms: float = 20.0
    entries: int = 18
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Result of one run.

    Attributes:
        policy: Policy that chose the targets.
        load: Offered load, as a fraction of the capacity of all slots.
        served: Number of requests with a verified response.
        refused: Number of refused requests.
        other: Number of requests with another outcome.
        p50_ms: Median latency at the caller.
        p99_ms: 99th percentile of the latency.
        p999_ms: 99.9th percentile of the latency.
        probes_per_s: Health and load requests to targets per second.
        cpu_busy: Fraction of the machine's CPU time that was used.
    """

    policy: str
    load: float
    served: int
    refused: int
    other: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    probes_per_s: float
    cpu_busy: float


class DispatchBench:
    """Runs the measurements of a plan on real processes."""

    def __init__(self, plan: Plan, report: Callable[[Run], None]):
        self._plan = plan
        self._report = report
        self._deployment = deployments.DEPLOYMENTS[plan.deployment]
        self._service = self._deployment.services[0]

    async def run(self) -> dict:
        """Run all policies; return results and ratios for JSON."""
        runs = []
        for policy in self._plan.policies:
            runs += await self._run_policy(policy)
        return {
            "bench": "dispatch",
            "revision": processes.git_revision(),
            "plan": dataclasses.asdict(self._plan),
            "service": dataclasses.asdict(self._service),
            "runs": [dataclasses.asdict(run) for run in runs],
            "ratios": _compute_ratios(runs),
        }

    async def _run_policy(self, policy: str) -> list[Run]:
        plan = self._plan
        fleet = processes.ProcessFleet(
            self._deployment,
            entries=plan.entries,
            flags={"policy": "owner" if policy == HEDGED_POLICY else policy},
            services=[self._service.name],
            work_ms=plan.work_ms,
            seed=plan.seed,
            extra_files={} if policy == HEDGED_POLICY else _NO_HEDGING_FILES,
        )
        callers = [processes.Node("callers") for _ in range(_CALLER_PROCESSES)]
        runs = []
        async with fleet:
            for node in callers:
                await node.start()
            await self._send_load(fleet, callers, plan.loads[0], _WARM_UP_S)
            for load in plan.loads:
                run = await self._run_load(fleet, callers, policy, load)
                self._report(run)
                runs.append(run)
            for node in callers:
                await node.stop()
        return runs

    async def _run_load(
        self,
        fleet: processes.ProcessFleet,
        callers: list[processes.Node],
        policy: str,
        load: float,
    ) -> Run:
        plan = self._plan
        nodes = fleet.target_nodes[self._service.name]
        for number, node in enumerate(nodes):
            await node.call(
                "slow_phases",
                factor=_SLOW_FACTOR,
                length_ms=_SLOW_PHASE_WORK_TIMES * plan.work_ms,
                share=_SLOW_TIME_SHARE,
                seed=plan.seed * 100 + number,
            )
        before = [await node.call("stats") for node in nodes]
        busy, start = _machine_cpu_s(), time.monotonic()
        results = await self._send_load(fleet, callers, load, plan.seconds)
        elapsed_s = time.monotonic() - start
        busy = (_machine_cpu_s() - busy) / elapsed_s / (os.cpu_count() or 1)
        after = [await node.call("stats") for node in nodes]
        for node in nodes:
            await node.call("slow_phases")
            await node.call("forget")
        probes = sum(
            late["probes"] - early["probes"]
            for late, early in zip(after, before, strict=True)
        )
        latencies_us = histogram.HdrHistogram(1, 60_000_000, 3)
        for result in results:
            latencies_us.decode_and_add(result["latencies"])
        percentile_us = latencies_us.get_value_at_percentile
        return Run(
            policy,
            load,
            sum(result["served"] for result in results),
            sum(n for result in results for *_, n in result["refused"]),
            sum(n for result in results for *_, n in result["errors"]),
            percentile_us(50) / 1000,
            percentile_us(99) / 1000,
            percentile_us(99.9) / 1000,
            round(probes / elapsed_s, 1),
            round(busy, 3),
        )

    async def _send_load(
        self,
        fleet: processes.ProcessFleet,
        callers: list[processes.Node],
        load: float,
        seconds: float,
    ) -> list[dict]:
        service, plan = self._service, self._plan
        capacity = service.instances * service.slots * 1000 / plan.work_ms
        rate = load * capacity / len(callers)
        return await asyncio.gather(
            *(
                node.call(
                    "run",
                    settings={
                        "entries": fleet.entry_addresses,
                        "service": service.name,
                        "method": service.method,
                        "path": service.path,
                        "deadline_ms": 10_000,
                        "seed": plan.seed * 100 + number,
                    },
                    rate=rate,
                    count=int(rate * seconds),
                )
                for number, node in enumerate(callers)
            )
        )


def _machine_cpu_s() -> float:
    """Return the CPU time used on this machine since boot, in seconds."""
    with open("/proc/stat", encoding="ascii") as stat:
        ticks_by_state = [int(text) for text in stat.readline().split()[1:]]
    idle = ticks_by_state[3] + ticks_by_state[4]
    return (sum(ticks_by_state[:8]) - idle) / os.sysconf("SC_CLK_TCK")


def _compute_ratios(runs: list[Run]) -> list[dict]:
    """Return p99 and p99.9 of the dispatcher policy over the best baseline."""
    ratios = []
    for load in sorted({run.load for run in runs}):
        run_by_policy = {run.policy: run for run in runs if run.load == load}
        baselines = [
            run_by_policy[name]
            for name in BASELINE_POLICIES
            if name in run_by_policy
        ]
        for policy in ("owner", HEDGED_POLICY):
            if policy not in run_by_policy or not baselines:
                continue
            compared = run_by_policy[policy]
            best_p99_ms = min(run.p99_ms for run in baselines)
            best_p999_ms = min(run.p999_ms for run in baselines)
            ratios.append(
                {
                    "policy": policy,
                    "load": load,
                    "p99": round(compared.p99_ms / best_p99_ms, 3),
                    "p999": round(compared.p999_ms / best_p999_ms, 3),
                }
            )
    return ratios
