"""Tests of the retry budget that the entries of a fleet share."""

import asyncio
import os
import random
import time

import aiohttp
import pytest

from slatechute import ownership
from slatechute.gateway import retry_budgets
from tests import waiting
from tests.gateway import builders
from tests.gateway import retry_fleet
from tests.gateway import scripted_target
from tests.gateway import small_fleet

# More are run by hand, for instance with RETRY_SEEDS=50.
_SEEDS = range(int(os.environ.get("RETRY_SEEDS", "4")))


def _used_share(slack):
    """Return the used share of the budget of a service that sheds 0.55."""
    fleet = retry_fleet.RetryFleet(18, slack=slack)
    fleet.at(25_000.0, lambda: setattr(fleet, "failure_share", 0.55))
    fleet.run(40.0, 100.0)
    from_ms = 1_000.0 + 27_000.0
    repeats = sum(at_ms >= from_ms for at_ms in fleet.repeats_ms)
    requests = sum(at_ms >= from_ms for at_ms in fleet.requests_ms)
    windows = 13.0 / retry_fleet.WINDOW_S
    return repeats / (0.2 * requests + 222.0 * windows)


def test_service_that_sheds_at_random_uses_the_slack():
    """Own shares left most of the allowed retries of such a service unused."""
    before, after = _used_share(0.0), _used_share(222.0)
    print(f"used share of the budget: {before:.2f} before, {after:.2f} after")
    assert after > before + 0.08


@pytest.mark.parametrize("seed", _SEEDS)
def test_budget_holds_under_random_faults(seed):
    """Neither faults nor a cut may add up to more retries than allowed."""
    generator = random.Random(seed)
    fleet = retry_fleet.RetryFleet(
        generator.randint(3, 40),
        # The slacks of three customers. They are above the own shares of 40
        # entries, which use 4.5 each without a grant.
        slack=generator.choice([190.0, 222.0, 288.0]),
        seed=seed,
    )
    fleet.loss_share = generator.choice([0.0, 0.05, 0.4])
    entries = list(fleet.entries_by_id.values())
    side = {entry.id for entry in generator.sample(entries, len(entries) // 3)}
    for at_s, share in ((9, 0.95), (11, 0.0), (27, 0.95), (31, 0.3)):
        fleet.at(
            at_s * 1000.0, lambda s=share: setattr(fleet, "failure_share", s)
        )
    for _ in range(generator.choice([0, 1, 4])):
        fleet.at(
            generator.uniform(8_000.0, 32_000.0),
            lambda: fleet.kill_allocator(generator.uniform(200.0, 6_000.0)),
        )
    # A part of the cuts is long enough for a second allocator to reach its full
    # limit before the second burst of failures.
    cut_ms = generator.uniform(6_000.0, 13_000.0)
    fleet.at(cut_ms, lambda: fleet.cut(side))
    end_ms = generator.uniform(14_000.0, 34_000.0)
    fleet.at(end_ms, lambda: fleet.cut(set()))
    fleet.run(35.0, generator.choice([60.0, 100.0, 200.0]))
    excess, slack = fleet.largest_excess(), fleet.settings.retry_slack
    print(f"{seed}: {excess:.0f} of {slack:.0f}, {len(entries)} entries")
    assert fleet.repeats_ms and excess < slack


def test_new_allocator_grants_nothing_at_first():
    """Its predecessor may have granted the whole limit just before."""
    settings = builders.gateway_settings(retry_slack=222.0)
    allocator = retry_budgets.RetryAllocator(settings, 0.0)
    allocator.limit = 40
    assert allocator.take(1, 0.0) == 0
    assert allocator.take(100, 20_000.0) == 20
    assert allocator.take(100, 60_000.0) == 40
    assert allocator.take(1, 71_900.0) == 0
    assert allocator.take(100, 72_000.0) == 40


@pytest.mark.parametrize(
    "slack, live, known, limit",
    [(0, 6, 6, 0), (222, 18, 18, 49), (222, 1, 18, 5), (222, 60, 60, 0)],
)
def test_limit_leaves_room_for_own_shares(slack, live, known, limit):
    """Each entry uses its own share without asking, and may restart."""
    settings = builders.gateway_settings(retry_slack=slack)
    assert retry_budgets.allocator_limit(settings, live, known) == limit


@pytest.mark.parametrize("slack", [0.0, 222.0])
def test_retry_without_an_answer_is_denied_soon(slack):
    """Earlier builds and failed entries do not answer; callers do not wait."""

    async def main():
        # The messages are not delivered, as the simulation does not run.
        fleet = retry_fleet.RetryFleet(2, slack=slack)
        asker = next(
            entry.sharing
            for entry in fleet.entries_by_id.values()
            if entry.sharing._allocator_id("s") != entry.id
        )
        start_s = time.monotonic()
        for _ in range(2):
            assert not await asker.acquire("s")
            fleet.clock.advance(11.0)
        assert time.monotonic() - start_s < 0.1
        value = asker._counters.value
        # The second retry is within the time of the denial.
        assert [
            value("retry_decisions_total", decision=decision)
            for decision in ("unanswered", "denied")
        ] == ([1, 1] if slack else [0, 2])

    asyncio.run(main())


def test_entry_gets_retries_from_a_peer():
    """The wiring of messages, periodic steps and metrics of real entries."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(
            lambda request: scripted_target.response(
                request, 503, b"", not_run="1"
            )
        ) as target:
            fleet.publish_routes(1, builders.route())
            for number in range(2):
                fleet.publish_target(
                    target_id=f"t{number}", address=target.address, slots=9
                )
            # A new allocator grants little in the first four windows.
            apps = [
                await fleet.add(retry_slack=288.0, retry_window_s=0.1)
                for _ in range(2)
            ]
            await waiting.until(
                lambda: all(len(app.balancer.load_by_id) == 2 for app in apps)
            )
            await asyncio.sleep(1.0)
            first_id = ownership.ranked("s", ["e1", "e2"])[0]
            apps.sort(key=lambda app: app.settings.entry_id != first_id)
            allocator, asker = apps
            url = f"http://{asker.settings.callers_address}/a/x"
            headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
            async with aiohttp.ClientSession() as session:
                for _ in range(8):
                    for load in asker.balancer.load_by_id.values():
                        load.paused_until_ms = 0.0
                    async with session.get(url, headers=headers) as response:
                        assert response.status == 503
        own, granted = (
            asker.metrics.value("retry_decisions_total", decision=decision)
            for decision in ("own", "granted")
        )
        assert own >= 2 and granted >= 3
        assert allocator.metrics.value("retry_tokens_in_use") >= 3
        assert asker.metrics.value("retry_tokens_in_use") == 0

    small_fleet.run(check)
