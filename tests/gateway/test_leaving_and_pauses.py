"""Tests of targets that announce to leave, or to want no request for a time."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import routing
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet
from tests.gateway import token_fleet


async def _get(app, number=0):
    async with (
        aiohttp.ClientSession() as session,
        session.get(
            f"http://{app.settings.callers_address}/a/{number}",
            headers={"Host": "h", "Id": f"r{number}", "Deadline": "900"},
        ) as response,
    ):
        return response.status


class _Script:
    """Counts the requests and responds with some headers."""

    def __init__(self, status=200, **headers):
        self.status = status
        self.headers = headers
        self.times_s = []

    def __call__(self, request):
        self.times_s.append(time.monotonic())
        return scripted_target.response(request, self.status, **self.headers)


async def _start(fleet, stack, entries, **script_by_id):
    """Start entries and one target for each script."""
    fleet.publish_routes(
        1,
        builders.route(max_attempts=2),
        services=(routing.Service("s", "/health", 10),),
    )
    target_by_id = {}
    for target_id, script in script_by_id.items():
        target = await stack.enter_async_context(
            scripted_target.ScriptedTarget(script)
        )
        target_by_id[target_id] = target
        fleet.publish_target(
            target_id=target_id, address=target.address, slots=20
        )
    apps = [await fleet.add() for _ in range(entries)]
    await waiting.until(
        lambda: all(
            len(app.balancer.load_by_id) == len(script_by_id) for app in apps
        )
    )
    return apps, target_by_id


def test_announced_leaving_stops_requests_and_probes_of_all_entries():
    """The registration may say nothing yet, or never, while a target leaves."""
    leaving, free = _Script(leaving="1"), _Script()

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            apps, target_by_id = await _start(
                fleet, stack, 3, leaving=leaving, free=free
            )
            await waiting.until(lambda: leaving.times_s)
            await waiting.until(
                lambda: all(
                    "leaving" not in app.balancer.load_by_id for app in apps
                )
            )
            # The target goes on to register itself.
            fleet.publish_target(
                target_id="leaving",
                address=target_by_id["leaving"].address,
                slots=20,
                sequence=2,
                warmup_ms=1.0,
            )
            # A probe may be on its way while the entries learn it.
            await asyncio.sleep(0.1)
            before = len(leaving.times_s)
            statuses = [
                await _get(app, number) for number in range(10) for app in apps
            ]
            assert statuses == [200] * 30
            assert len(leaving.times_s) == before

    small_fleet.run(check)


def test_connections_to_a_leaving_target_are_closed():
    """Kept connections would delay the end of a target that waits for them."""
    script = _Script(leaving="1")

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            (app,), target_by_id = await _start(fleet, stack, 1, t1=script)
            assert await _get(app) == 200
            await asyncio.wait_for(target_by_id["t1"].closed.wait(), 1.0)

    small_fleet.run(check)


def test_new_start_of_a_leaving_target_gets_requests():
    """Each start is another process, also under the same id."""
    script = _Script(leaving="1")

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            (app,), target_by_id = await _start(fleet, stack, 1, t1=script)
            await _get(app)
            assert not app.balancer.load_by_id
            assert await _get(app, 1) == 503
            script.headers = {}
            fleet.publish_target(
                target_id="t1",
                incarnation=2,
                address=target_by_id["t1"].address,
            )
            await waiting.until(lambda: app.balancer.load_by_id)
            assert await _get(app, 2) == 200

    small_fleet.run(check)


def test_announced_pause_holds_for_requests_repeats_and_probes():
    """A target that turns requests away is not asked again meanwhile."""
    paused = _Script(503, not_run="1", pause="1000")

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            (app,), _ = await _start(fleet, stack, 1, paused=paused)
            await waiting.until(lambda: paused.times_s)
            first_s = paused.times_s[0]
            statuses = []
            while time.monotonic() < first_s + 0.95:
                statuses.append(await _get(app, len(statuses)))
            assert set(statuses) == {503}
            assert len([s for s in paused.times_s if s < first_s + 0.95]) <= 2

    small_fleet.run(check)


@pytest.fixture
def balancer():
    result = balancing.Balancer("dc1")
    for target_id in ("a", "b"):
        result.add_target(builders.target(target_id), 0.0)
    return result


def _pause(balancer, pause_ms, *target_ids):
    for target_id in target_ids:
        balancer.load_by_id[target_id].announced.observe(
            dialects.Announcement(pause_ms=pause_ms), 0.0, is_conclusive=False
        )


def test_response_does_not_end_an_announced_pause(balancer):
    """Requests that were in flight are answered after the refusal."""
    load = balancer.load_by_id["a"]
    exchange = balancer.start(builders.dispatch_request(), load, 0.0)
    _pause(balancer, 500.0, "a")
    load.record_success(exchange, 50.0)
    load.announced.observe(dialects.Announcement(), 50.0, is_conclusive=True)
    assert load.is_paused(499.0)
    assert not load.is_paused(501.0)


def test_shorter_pause_does_not_replace_a_longer_one(balancer):
    """Two refused requests may be answered out of order."""
    _pause(balancer, 500.0, "a")
    _pause(balancer, 100.0, "a")
    assert balancer.load_by_id["a"].is_paused(400.0)


def test_service_whose_targets_all_pause_refuses_at_once(balancer):
    """Requests would wait until their deadline for targets that pause."""
    _pause(balancer, 5_000.0, "a", "b")
    request = builders.dispatch_request(0.0)
    assert balancer.try_start(request, 0.0) is None
    assert balancer.decide(request, 0.0) is balancing.Decision.REFUSE


def test_refused_callers_return_when_the_first_pause_ends(balancer):
    """Earlier ones are refused again, later ones leave the target idle."""
    _pause(balancer, 180.0, "a")
    _pause(balancer, 700.0, "b")
    request = builders.dispatch_request(0.0)
    assert balancer.retry_after_ms(request, 0.0) == pytest.approx(180.0, abs=1)


def test_waiting_requests_are_refused_when_all_targets_begin_to_pause(balancer):
    """They were accepted while there was a target."""
    results = []
    request = builders.dispatch_request(0.0)
    balancer.enqueue(balancing.QueuedRequest(request, results.append))
    _pause(balancer, 5_000.0, "a", "b")
    balancer.tick(1.0)
    assert results == ["overload"]


def test_requests_return_to_a_resumed_target_by_its_slots(balancer):
    """All that wait would crowd the target at the end of its pause."""
    _pause(balancer, 100.0, "a", "b")
    results = []
    # Enough time for every target, so that the random part of its cost does not
    # decide.
    request = builders.dispatch_request(0.0, objective_ms=400.0)
    for _ in range(10):
        balancer.enqueue(balancing.QueuedRequest(request, results.append))
    balancer.dispatch_waiting("s", 101.0)
    assert len(results) == sum(
        load.slots for load in balancer.load_by_id.values()
    )


def test_announced_pause_is_no_failure_of_the_target(balancer):
    """The target would stay ejected for longer than it has asked for."""
    load = balancer.load_by_id["a"]
    for _ in range(5):
        exchange = balancer.start(builders.dispatch_request(), load, 0.0)
        _pause(balancer, 100.0, "a")
        load.record_refusal(exchange, 0.0)
    assert load.is_paused(99.0)
    assert not load.is_paused(101.0)


@pytest.mark.parametrize("entries", [4, 18, 100])
def test_pause_of_half_of_the_targets_costs_no_request(entries):
    """A target is asked by each entry, and again and again, while it pauses."""
    fleet = token_fleet.TokenFleet(entries, 15, data_centres=4)
    fleet.run(2.0, 300.0)
    fleet.pause(3_000.0, fleet.target_ids[::2])
    fleet.run(4.0, 300.0)
    # The users' bound for each entry and target.
    assert fleet.most_at_a_paused_target() <= 2
    assert fleet.refused + fleet.late <= 0.02 * 4 * 300
