"""Figures of first tries at entries without path, printed as a table row.

Run `python -m tests.gateway.lost_path_figures --entries 18 --cut 9`. All
entries and targets run in this process, so its processor bounds the rate.
"""

import argparse
import asyncio
import contextlib
import math
import random
import time

import aiohttp

from tests import waiting
from tests.gateway import builders
from tests.gateway import path_cuts
from tests.gateway import scripted_target
from tests.gateway import small_fleet

_TARGETS = 8
_WORK_S = 0.02
# Requests a second at all entries together.
_RATE_PER_S = 100.0
_LENGTH_S = 6.0
_WARM_UP_S = 1.0
_FROM_S = (0.5, 1.0, 3.0)


def _with_load(request: bytes) -> bytes:
    return scripted_target.response(request, load="1,0,20")


async def _send(session, app, is_cut, cut_s, results) -> None:
    started_s = time.monotonic()
    headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
    url = f"http://{app.settings.callers_address}/a/x"
    async with session.get(url, headers=headers) as response:
        await response.read()
    ended_s = time.monotonic()
    is_served = response.status == 200
    results.append((started_s - cut_s, is_cut, is_served, ended_s - started_s))


async def _run(fleet, args, results) -> dict:
    generator = random.Random(args.seed)
    async with contextlib.AsyncExitStack() as stack:
        fleet.publish_routes(1, builders.route())
        for number in range(_TARGETS):
            target = await stack.enter_async_context(
                scripted_target.ScriptedTarget(_with_load)
            )
            target.delay_s = _WORK_S
            fleet.publish_target(
                target_id=f"t{number}", address=target.address, slots=20
            )
        apps = [await fleet.add() for _ in range(args.entries)]
        await waiting.until(
            lambda: all(len(a.balancer.load_by_id) == _TARGETS for a in apps),
            20.0,
        )
        cuts = [path_cuts.PathCuts(app) for app in apps[: args.cut]]
        cut_s = time.monotonic() + _WARM_UP_S
        known_ms: list[float] = []
        session = await stack.enter_async_context(aiohttp.ClientSession())
        is_cut = False
        used_s = time.process_time()
        async with asyncio.TaskGroup() as tasks:
            due_s = time.monotonic()
            while due_s < cut_s + _LENGTH_S:
                if not is_cut and due_s >= cut_s:
                    is_cut = True
                    for cut in cuts:
                        cut.cut(path_cuts.Cut(args.how))
                    tasks.create_task(_note_losses(apps, args, known_ms))
                number = generator.randrange(len(apps))
                tasks.create_task(
                    _send(
                        session,
                        apps[number],
                        number < args.cut,
                        cut_s,
                        results,
                    )
                )
                due_s += generator.expovariate(_RATE_PER_S)
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        used_s = time.process_time() - used_s
        return {"known_ms": known_ms, "used_ms": used_s * 1000}


async def _note_losses(apps, args, known_ms) -> None:
    """Note after how many ms each entry knows that it reaches no target."""
    cut_s = time.monotonic()
    unknowing = set(range(args.cut))
    while unknowing and time.monotonic() - cut_s < _LENGTH_S:
        await asyncio.sleep(0.005)
        for number in list(unknowing):
            if apps[number]._paths.services_without_path:
                unknowing.discard(number)
                known_ms.append((time.monotonic() - cut_s) * 1000)


def _share(results, is_cut, from_s) -> float:
    """Return the share of first tries that were served from a time on."""
    served = [
        is_served
        for at_s, at_cut, is_served, _ in results
        if at_cut == is_cut and at_s >= from_s
    ]
    return sum(served) / len(served) if served else math.nan


def _percentile_ms(values, share) -> float:
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--cut", type=int, default=2)
    parser.add_argument("--how", default="hang")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    results: list = []
    notes: dict = {}

    async def check(fleet):
        notes.update(await _run(fleet, args, results))

    small_fleet.run(check)
    cells = [f"{args.entries}", f"{args.cut}", args.how]
    for from_s in _FROM_S:
        cut, others = (_share(results, flag, from_s) for flag in (True, False))
        cells.append(f"{cut / others:.3f}")
    for is_cut in (True, False):
        durations = [
            duration_s
            for at_s, at_cut, is_served, duration_s in results
            if at_cut == is_cut and is_served and at_s >= _FROM_S[-1]
        ]
        cells.append(f"{_percentile_ms(durations, 0.5):.0f}")
        cells.append(f"{_percentile_ms(durations, 0.99):.0f}")
    known = sorted(notes["known_ms"])
    has_all = known and len(known) == args.cut
    cells.append(f"{known[-1]:.0f}" if has_all else "-")
    cells.append(f"{notes['used_ms'] / len(results):.1f}")
    print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
