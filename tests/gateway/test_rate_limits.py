"""Tests of the rate limits that targets announce."""

import asyncio
import contextlib
import time

import aiohttp

from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet

_LIMIT_PER_S = 4.0
# The users' bound in any window: 1.5 times the limit, and 5 requests.
_WINDOW_S = 4.0
_BOUND = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
# An entry is bound half a second after its first response with the limit.
_SETTLE_S = 0.5


def most_in_a_window(times_s: list[float]) -> int:
    """Return the largest number of times in any window."""
    return max(
        (
            sum(start <= other < start + _WINDOW_S for other in times_s)
            for start in times_s
        ),
        default=0,
    )


async def _send_for(seconds, app, statuses):
    """Send a request each 40 ms, without waiting for the responses."""

    async def get(session):
        async with session.get(
            f"http://{app.settings.callers_address}/a/x",
            headers={"Host": "h", "Id": "r1", "Deadline": "900"},
        ) as response:
            statuses.append(response.status)

    end_s = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as tasks:
        while time.monotonic() < end_s:
            tasks.create_task(get(session))
            await asyncio.sleep(0.04)


def test_entries_together_keep_to_the_rate_limit_of_a_target():
    """Entries that ignore the limit, or apply it each, overload the target."""
    arrivals_s = []

    def limited(request):
        arrivals_s.append(time.monotonic())
        return scripted_target.response(request, limit=str(_LIMIT_PER_S))

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            fleet.publish_routes(1, builders.route())
            for name, script in (
                ("limited", limited),
                ("free", scripted_target.response),
            ):
                target = await stack.enter_async_context(
                    scripted_target.ScriptedTarget(script)
                )
                fleet.publish_target(
                    target_id=name, address=target.address, slots=20
                )
            apps = [await fleet.add() for _ in range(4)]
            await waiting.until(
                lambda: all(len(app.balancer.load_by_id) == 2 for app in apps)
            )
            statuses = []
            await asyncio.gather(
                *(_send_for(6.0, app, statuses) for app in apps)
            )
            assert statuses.count(200) > 0.95 * len(statuses)
        bound_from_s = min(arrivals_s) + 2 * _SETTLE_S
        counted_s = [at_s for at_s in arrivals_s if at_s > bound_from_s]
        assert counted_s, "a limited target must still get requests"
        assert most_in_a_window(counted_s) <= _BOUND

    small_fleet.run(check)
