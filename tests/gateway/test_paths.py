"""Tests of entries that lose the path to targets."""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
import pytest

from tests import waiting
from tests.gateway import builders
from tests.gateway import path_cuts
from tests.gateway import scripted_target
from tests.gateway import small_fleet

# Time after which the users' rule counts (`contact_s`).
_CONTACT_S = 3.0
_COUNTED_S = 3.0
_INTERVAL_S = 0.04


@dataclasses.dataclass(slots=True)
class _FirstTries:
    """First tries of callers at some entries.

    Attributes:
        sent: Number of requests.
        served: Number of requests answered with success.
    """

    sent: int = 0
    served: int = 0


async def _send_for(seconds, app, tries, **headers):
    """Send a request each 40 ms, without waiting for the responses."""
    headers = {"Host": "h", "Id": "r1", "Deadline": "900"} | headers

    async def get(session):
        async with session.get(
            f"http://{app.settings.callers_address}/a/x", headers=headers
        ) as response:
            tries.sent += 1
            tries.served += response.status == 200

    end_s = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as tasks:
        while time.monotonic() < end_s:
            tasks.create_task(get(session))
            await asyncio.sleep(_INTERVAL_S)


def _with_load(request):
    return scripted_target.response(request, load="1,0,20")


def _assert_cut_entries_serve(cut, others):
    """Check the users' rule RECOVER as its page words it."""
    failed = cut.sent - cut.served
    all_sent = cut.sent + others.sent
    share = cut.served / cut.sent
    is_broken = (
        share < 2 / 3 * others.served / others.sent
        and failed > 10 + all_sent / 50
    )
    assert not is_broken, (cut, others)


async def _add_entries(fleet, stack, *, entries, targets, script):
    """Add targets and entries, and return the entries."""
    fleet.publish_routes(1, builders.route())
    for number in range(targets):
        target = await stack.enter_async_context(
            scripted_target.ScriptedTarget(script)
        )
        fleet.publish_target(
            target_id=f"t{number}", address=target.address, slots=20
        )
    apps = [await fleet.add() for _ in range(entries)]
    await waiting.until(
        lambda: all(len(app.balancer.load_by_id) == targets for app in apps)
    )
    await waiting.until(
        lambda: all(len(app.group.live_peers()) == entries - 1 for app in apps)
    )
    return apps


@pytest.mark.parametrize(
    ("how", "cut_entries", "script"),
    [
        ("hang", 1, _with_load),
        ("hang", 3, _with_load),
        ("hang", 3, scripted_target.response),
        ("reset", 1, _with_load),
        ("reset", 3, _with_load),
        ("live_on", 3, _with_load),
        ("old_hang", 3, _with_load),
    ],
)
def test_callers_of_entries_without_path_to_targets_are_served(
    how, cut_entries, script
):
    """Entries that reach no target refuse requests that peers could send."""

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            apps = await _add_entries(
                fleet,
                stack,
                entries=4,
                targets=6,
                script=script,
            )
            cuts = [path_cuts.PathCuts(app) for app in apps]
            warmup = _FirstTries()
            await asyncio.gather(*(_send_for(0.5, a, warmup) for a in apps))
            assert warmup.served == warmup.sent
            for cut in cuts[:cut_entries]:
                cut.cut(path_cuts.Cut(how))
            ignored, at_cut, at_others = (_FirstTries() for _ in range(3))
            await asyncio.gather(
                *(_send_for(_CONTACT_S, app, ignored) for app in apps)
            )
            await asyncio.gather(
                *(
                    _send_for(
                        _COUNTED_S,
                        app,
                        at_cut if index < cut_entries else at_others,
                    )
                    for index, app in enumerate(apps)
                )
            )
            _assert_cut_entries_serve(at_cut, at_others)

    small_fleet.run(check)
