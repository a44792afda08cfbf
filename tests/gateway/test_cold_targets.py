"""Tests of the rate limit for cold targets."""

import asyncio

import pytest

from slatechute import messages
from slatechute import ownership
from slatechute.gateway import balancing
from slatechute.gateway import routing
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet
from tests.gateway import token_fleet

# Of the customers; the fleet may exceed 1.5 times the rate by 8 in any second.
_COLD_PER_S = (1.9, 4.1)
_RATE_PER_S = 300.0


def _assert_bound_holds(fleet, since_ms, cold_per_s):
    for target_id in fleet.target_ids:
        times_ms = [
            item.at_ms
            for item in fleet.arrivals
            if item.target_id == target_id and item.at_ms >= since_ms
        ]
        most = token_fleet.most_in_a_window(times_ms, 1_000.0)
        assert most <= 1.5 * cold_per_s + 8


def _cold_fleet(entries, cold_per_s, seed):
    """Return a fleet whose targets are cold, and the time of that."""
    fleet = token_fleet.TokenFleet(entries, 15, data_centres=3, seed=seed)
    fleet.set_cold_limit(60.0, cold_per_s)
    fleet.run(1.0, _RATE_PER_S)
    fleet.register_cold(60.0)
    return fleet, fleet.clock.now_ms()


@pytest.mark.parametrize("cold_per_s", _COLD_PER_S)
@pytest.mark.parametrize("entries", [3, 12, 40])
def test_bound_holds_and_is_used_when_messages_are_lost(entries, cold_per_s):
    """Each entry would send a first request, or none would get a token."""
    fleet, since_ms = _cold_fleet(entries, cold_per_s, entries)
    fleet.loss_share = 0.3
    fleet.run(3.0, _RATE_PER_S)
    _assert_bound_holds(fleet, since_ms, cold_per_s)
    served = sum(item.at_ms >= since_ms for item in fleet.arrivals)
    assert served > 0.5 * 3 * 15 * cold_per_s


@pytest.mark.parametrize("cold_per_s", _COLD_PER_S)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bound_holds_when_the_allocator_is_killed(cold_per_s, seed):
    """The next one must not hand out the tokens of the same second again."""
    fleet, since_ms = _cold_fleet(6, cold_per_s, seed)
    fleet.run(2.0, _RATE_PER_S)
    active = {
        entry.id: entry.peer.presence.data_centre
        for entry in fleet.entries_by_id.values()
    }
    allocator_id = ownership.dispatcher_of("t0", "dc0", active)
    fleet.entries_by_id[allocator_id].is_up = False
    killed_ms = fleet.clock.now_ms()
    fleet.run(4.0, _RATE_PER_S)
    _assert_bound_holds(fleet, since_ms, cold_per_s)
    assert fleet.arrivals_at("t0", killed_ms) > 0.4 * 4 * cold_per_s


@pytest.mark.parametrize("cold_per_s", _COLD_PER_S)
@pytest.mark.parametrize("parts", [2, 3, 40])
def test_bound_holds_in_a_divided_fleet(cold_per_s, parts):
    """Each part would hand out the whole rate to itself.

    With two parts, the first entry is cut off from the others.
    """
    fleet, since_ms = _cold_fleet(40, cold_per_s, parts)
    for number, entry_id in enumerate(fleet.entries_by_id):
        fleet.part_by_id[entry_id] = (
            number % parts if parts > 2 else int(number == 0)
        )
    fleet.run(3.0, _RATE_PER_S)
    _assert_bound_holds(fleet, since_ms, cold_per_s)


def test_data_centre_that_returns_cold_takes_requests_at_its_rate():
    """All requests that wait would be sent to it in one step and crash it."""
    fleet = token_fleet.TokenFleet(9, 30, data_centres=3)
    fleet.set_cold_limit(3.0, 4.1)

    def set_evacuated(*data_centres):
        for entry in fleet.entries_by_id.values():
            entry.balancer.set_evacuated(
                frozenset(data_centres), fleet.clock.now_ms()
            )

    set_evacuated("dc0")
    fleet.run(2.0, 8_000.0)
    since_ms = fleet.clock.now_ms()
    returned = fleet.target_ids[::3]
    assert not any(fleet.arrivals_at(target_id) for target_id in returned)
    set_evacuated()
    fleet.run(2.9, 8_000.0)
    fleet.target_ids = returned
    _assert_bound_holds(fleet, since_ms, 4.1)
    for target_id in returned:
        assert fleet.arrivals_at(target_id, since_ms) > 0.5 * 2.9 * 4.1
    assert fleet.longest_refused_wait_ms < token_fleet.OBJECTIVE_MS
    since_ms = fleet.clock.now_ms()
    fleet.run(2.0, 8_000.0)
    assert fleet.arrivals_at(returned[0], since_ms + 200.0) > 100


def test_tokens_of_cold_targets_are_asked_of_new_builds_only():
    """An earlier build would answer that there is no limit, or not at all."""
    fleet, since_ms = _cold_fleet(6, 4.1, 1)
    for entry_id in ("e1", "e2", "e3"):
        fleet.entries_by_id[entry_id].peer.presence.protocol = 0
    for entry in fleet.entries_by_id.values():
        for load in entry.balancer.load_by_id.values():
            allocator_id = entry.sharing._allocator_id(load)
            assert allocator_id in ("e4", "e5", "e6", entry.id)


def test_services_without_the_limit_are_as_before():
    """A registration states that a target is cold in any deployment."""
    balancer = balancing.Balancer("dc1")
    balancer.set_services([routing.Service("s", "/health", 10)])
    balancer.add_target(builders.target(warmup_ms=5_000.0), 0.0)
    assert balancer.try_start(builders.dispatch_request(0.0), 0.0)
    balancer.set_services([routing.Service("s", "/health", 10, 3.0, 4.1)])
    assert not balancer.try_start(builders.dispatch_request(0.0), 0.0)


def test_probes_tell_all_entries_of_a_cold_target_and_its_end():
    """It may become cold at any time, also while it answers requests."""
    cold_ms = "0"
    times_s = []

    def script(request):
        if request.startswith(b"GET /health"):
            times_s.append(asyncio.get_running_loop().time())
            return scripted_target.response(request, load="0,0,9", cold=cold_ms)
        return scripted_target.response(request, load="0,0,9")

    async def check(fleet):
        nonlocal cold_ms
        async with scripted_target.ScriptedTarget(script) as target:
            services = (routing.Service("s", "/health", 10, 3.0, 4.1),)
            fleet.publish_routes(1, builders.route(), services=services)
            fleet.publish_target(address=target.address, warmup_ms=9_000.0)
            apps = [await fleet.add() for _ in range(3)]

            def cold():
                return {app.metrics.value("cold_targets") for app in apps}

            await waiting.until(
                lambda: all(app.balancer.load_by_id for app in apps)
            )
            await waiting.until(lambda: cold() == {0.0})
            cold_ms = "5000"
            await waiting.until(lambda: cold() == {1.0})
            first = len(times_s)
            await asyncio.sleep(1.4)
            assert len(times_s) - first <= 3
            cold_ms = "0"
            await waiting.until(lambda: cold() == {0.0})

    small_fleet.run(check)


def test_entry_learns_of_a_cold_target_with_a_request_for_tokens():
    """The report may be lost; tokens would be handed out without a limit."""
    fleet, _ = _cold_fleet(2, 4.1, 1)
    load = fleet.entries_by_id["e1"].balancer.load_by_id["t0"]
    load.cold.adopt(0.0, fleet.clock.now_ms(), "test")
    request = messages.TokenRequest("t0", 1, None, 1e9, 500.0)
    frame = messages.encode(request)
    sender = fleet.entries_by_id["e2"].peer

    async def receive():
        fleet.entries_by_id["e1"].receive(sender, frame)

    asyncio.run(receive())
    assert load.is_cold(fleet.clock.now_ms() + 499.0)


def test_few_cold_targets_are_asked_for_tokens_at_a_time():
    """An entry asked each of the 90 targets of a cold data centre every 0.1 s.

    Nearly all of these requests were denied, and all entries sent them.
    """
    asked = []
    balancer = balancing.Balancer(
        "dc1", on_token_request=lambda load, count: asked.append(load)
    )
    balancer.set_services([routing.Service("s", "/health", 10, 3.0, 1.9)])
    for number in range(90):
        target = builders.target(f"t{number}", warmup_ms=10_000.0)
        balancer.add_target(target, 0.0)
    for number in range(30):
        request = builders.dispatch_request(
            deadline_ms=5_000.0, objective_ms=4_000.0 + number
        )
        balancer.enqueue(balancing.QueuedRequest(request, lambda result: None))
    for now_ms in range(0, 1_000, 20):
        before = len(asked)
        balancer.tick(now_ms)
        for load in asked[before:]:
            load.tokens.deny(now_ms + 1.0)
    assert 40 < len(asked) <= 84
