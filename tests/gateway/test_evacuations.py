"""Tests of data centres that the operator evacuates."""

import asyncio
import contextlib

import aiohttp
import pytest

from slatechute import errors
from slatechute import messages
from slatechute.gateway import balancing
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import dialects
from slatechute.gateway import hedging
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import published
from slatechute.gateway import relaying
from slatechute.gateway import routing
from slatechute.util import clock as clocks
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet

_STEADY = catalogues.Source("platform", 60_000.0)


def _item(era, revision, data_centre="dc1", value=b"{}"):
    position = published.position(era, revision)
    return dialects.PublishedItem(f"e/{data_centre}", position, value)


class _Observer:
    """Keeps the evacuated data centres."""

    def __init__(self):
        self.evacuated = set()
        self.evacuation_started = self.evacuated.add
        self.evacuation_ended = self.evacuated.remove


@pytest.fixture
def catalogue():
    result = catalogues.Catalogue(
        builders.gateway_settings(),
        builders.PlainDialect(),
        _Observer(),
        clocks.MonotonicClock(),
    )
    result.apply([_item(1, 9)], published.position(1, 9), _STEADY)
    return result


def test_end_of_one_evacuation_leaves_the_other(catalogue):
    """The first removed item would send requests to both data centres."""
    later = [_item(1, 10, "dc2"), _item(1, 11, value=None)]
    catalogue.apply(later, published.position(1, 11), _STEADY)
    assert catalogue._observer.evacuated == {"dc2"}


@pytest.mark.parametrize("is_rewritten", [False, True])
def test_evacuation_that_a_copy_lacks_ends_unless_written_again(
    catalogue, is_rewritten
):
    """Targets would get requests until the operator has written it again."""
    catalogue.replace([], published.position(2, 5), _STEADY)
    catalogue.remove_expired(1_900.0)
    assert catalogue._observer.evacuated == {"dc1"}
    if is_rewritten:
        catalogue.apply([_item(2, 6)], published.position(2, 6), _STEADY)
    catalogue.remove_expired(2_000.0)
    assert bool(catalogue._observer.evacuated) is is_rewritten


@pytest.fixture
def balancer():
    result = balancing.Balancer("dc1")
    for target_id, data_centre in (("a", "dc1"), ("b", "dc2")):
        target = builders.target(target_id, data_centre=data_centre)
        result.add_target(target, 0.0)
    return result


def test_evacuated_targets_get_no_request_retry_or_hedge(balancer):
    """This includes targets that register during the evacuation."""
    balancer.set_evacuated(frozenset({"dc1"}), 0.0)
    balancer.add_target(builders.target("new", slots=50), 0.0)
    request = builders.dispatch_request(0.0)
    exchange = balancer.try_start(request, 0.0)
    assert exchange.load.target.id == "b"
    request.excluded = {"b"}
    assert balancer.try_start(request, 0.0) is None
    hedge = balancer.start_hedge(
        request,
        [exchange.load],
        hedging.FixedDelayPolicy(),
        0.0,
        max_cost_ms=1e6,
    )
    assert hedge is hedging.Denial.NO_TARGET
    # A queue for the target that has failed would end at the deadline.
    assert balancer.decide(request, 0.0) is balancing.Decision.REFUSE
    balancer.set_evacuated(frozenset(), 1.0)
    assert balancer.try_start(request, 1.0) is not None


def test_requests_without_other_targets_are_refused_with_the_longest_delay(
    balancer,
):
    """They would wait in vain, or retry at once again and again."""
    results = []
    request = builders.dispatch_request(0.0)
    balancer.enqueue(balancing.QueuedRequest(request, results.append))
    balancer.set_evacuated(frozenset({"dc1", "dc2"}), 0.0)
    assert results == [errors.Reason.EVACUATED]
    assert balancer.decide(request, 0.0) is balancing.Decision.REFUSE
    assert balancer.retry_after_ms(request, 0.0) == pytest.approx(0.3 * 800)


def test_heartbeat_from_before_a_restore_does_not_end_an_evacuation():
    """It states how long a peer was connected to the platform of that time."""

    async def check(fleet):
        app = await fleet.add()
        app.catalogue.replace([], published.position(2, 5), _STEADY)
        before = messages.Presence(
            "e2", "b", "dc1", "", "", 1, "ready", 1, 9, steady_ms=60_000.0
        )
        peer = peer_groups.Peer(before, ("127.0.0.2", 1), app.clock.now_ms())
        app.group.peers_by_id["e2"] = peer
        restored = published.position(2, 5)
        app._apply_changes(
            peer, messages.PublishedChanges(restored, restored, 10.0, [])
        )
        assert app._steady_ms() < 2_000.0

    small_fleet.run(check)


async def _get(app):
    headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
    url = f"http://{app.settings.callers_address}/a/x"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        return response.status, float(response.headers.get("Retry-After", 0))


def test_evacuation_reaches_entries_without_the_platform():
    """They would go on to send requests and probes and keep connections."""

    async def check(fleet):
        async with contextlib.AsyncExitStack() as stack:
            target = await stack.enter_async_context(
                scripted_target.ScriptedTarget(
                    lambda request: scripted_target.response(
                        request, load="0,0,9"
                    )
                )
            )
            fleet.publish_routes(
                1,
                builders.route(),
                services=(routing.Service("s", "/health", 10),),
            )
            fleet.publish_target(address=target.address)
            refused = small_fleet.MemorySource()
            refused.is_down = True
            apps = [
                await fleet.add(),
                await fleet.add(source=refused, data_centre="dc2"),
            ]
            await waiting.until(
                lambda: all(app.balancer.load_by_id for app in apps)
            )
            assert [(await _get(app))[0] for app in apps] == [200, 200]
            target.delay_s = 0.5
            last = asyncio.create_task(_get(apps[0]))
            await asyncio.sleep(0.1)
            fleet.source.put("e/dc1", b"{}")
            await waiting.until(
                lambda: all(app.balancer.evacuated_loads() for app in apps), 2.5
            )
            assert (await last)[0] == 200
            assert not any(app._pool._idle_by_address for app in apps)
            before = len(target.requests)
            for app in apps:
                status, retry_after_s = await _get(app)
                assert (status, retry_after_s) == (
                    503,
                    pytest.approx(0.27, abs=0.02),
                )
                relayed = messages.RelayRequest(
                    "t1", 1, 500.0, "dc1", True, "GET", "/a/x", []
                )
                response, _ = await app._relay_server._relay(
                    relayed, b"", app.clock.now_ms() + 500.0
                )
                assert response.result == relaying.Result.REFUSED
                load = app.balancer.load_by_id["t1"]
                app._paths._lose([load], app.clock.now_ms(), "test")
                load.path.trial_due_ms = 0.0
                assert not app._paths.take_due_trials(app.clock.now_ms())
                app._paths.restore(load, app.clock.now_ms())
                value = app.metrics.value
                assert value("evacuated_targets") == 1
                assert value("evacuation_age_seconds") > 0
            await asyncio.sleep(0.5)
            assert len(target.requests) == before
            target.delay_s = 0.0
            fleet.source.put("e/dc1", None)
            await waiting.until(
                lambda: not any(app.balancer.evacuated_loads() for app in apps),
                2.5,
            )
            assert [(await _get(app))[0] for app in apps] == [200, 200]

    small_fleet.run(check)


def test_entry_that_starts_after_a_restore_adopts_an_unconfirmed_evacuation():
    """It knows only the copy and would send requests before the rewrite."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        copy = fleet.source.copy()
        fleet.publish_target()
        fleet.source.put("e/dc1", b"{}")
        first = await fleet.add(expired_target_hold_s=4.0)
        await waiting.until(first.balancer.evacuated_loads)
        fleet.source.restore(copy)
        await waiting.until(lambda: first.catalogue.evacuations.unconfirmed)
        second = await fleet.add(expired_target_hold_s=4.0)
        await waiting.until(lambda: second.catalogue.view.revision)
        assert second.catalogue.evacuations.in_force == {"dc1"}

    small_fleet.run(check)
