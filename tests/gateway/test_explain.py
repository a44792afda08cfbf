"""Tests of explanations of where a request would be sent."""

import asyncio
import dataclasses
import json
import math
import random

import aiohttp
import pytest

from slatechute import errors
from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import explaining
from slatechute.gateway import loads
from slatechute.gateway import rate_limits
from slatechute.gateway import routing
from slatechute.gateway import splitting
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet

_PARTS = (routing.ServicePart("s", 90.0), routing.ServicePart("b", 10.0))
_QUERY = explaining.Query("h", "/a/x")


def _balancer(*target_ids: str, seed: int = 1, **fields) -> balancing.Balancer:
    balancer = balancing.Balancer(
        "dc1", generator=random.Random(seed), **fields
    )
    for target_id in target_ids:
        balancer.add_target(builders.target(target_id), 0.0)
    return balancer


def _obstacles(explanation: balancing.Explanation) -> dict[str, str | None]:
    return {
        candidate.load.target.id: candidate.obstacle
        for candidate in explanation.candidates
    }


@pytest.mark.parametrize("seed", range(20))
def test_explained_target_is_that_of_the_next_request(seed):
    """The random spread would let the next request go elsewhere.

    Targets of equal cost, some with an idle connection, get requests until all
    are full.
    """
    balancer = _balancer(
        *"abcdef",
        seed=seed,
        has_connection=lambda load, repeatable: load.target.id in "ab",
    )
    for _ in range(12):
        request = builders.dispatch_request(2.0)
        explained = balancer.explain(request, 2.0)
        exchange = balancer.try_start(request, 2.0)
        assert explained.decision is balancing.Decision.SEND
        assert exchange.load is explained.load
    explained = balancer.explain(request, 2.0)
    assert explained.decision is balancer.decide(request, 2.0)
    assert balancer.try_start(request, 2.0) is None
    assert set(_obstacles(explained).values()) == {loads.Obstacle.FULL}


def test_each_obstacle_is_named():
    """A wrong name sends the operator to the wrong fault.

    No tokens are asked for, as they would be taken from real requests.
    """
    asked = []
    balancer = _balancer(
        *("best", "cold", "full", "limited", "paused", "used"),
        on_token_request=lambda load, count: asked.append(load),
    )
    balancer.add_target(builders.target("far", data_centre="dc2"), 0.0)
    balancer.add_target(builders.target("gone", data_centre="dc3"), 0.0)
    balancer.add_target(builders.target("ejected"), 0.0)
    balancer.add_target(builders.target("unreachable"), 0.0)
    balancer.set_services([routing.Service("s", "/", 2, 3.0, 4.0)])
    balancer.set_evacuated(frozenset({"dc3"}), 0.0)
    load = balancer.load_by_id
    load["cold"].cold.expect(1000.0, 0.0)
    load["full"].apply_report(dialects.Load(2, 0, 2, 1.0), 1.0)
    load["limited"].announced.adopt_rate_limit(5.0, 0.0, "target")
    load["paused"].pause(100.0, 0.0)
    for _ in range(3):
        load["ejected"].add_failure(0.0)
    load["unreachable"].path.is_blocked = True
    request = builders.dispatch_request(2.0, excluded={"used"})
    explained = balancer.explain(request, 2.0)
    assert explained.load is load["best"]
    assert _obstacles(explained) == {
        "best": None,
        "cold": "cold",
        "ejected": "ejected",
        "far": "slower",
        "full": "full",
        "gone": "evacuated",
        "limited": "no_token",
        "paused": "paused",
        "unreachable": "path_lost",
        "used": "excluded",
    }
    load["best"].pause(1.0, 2.0)
    load["far"].pause(1.0, 2.0)
    assert balancer.explain(request, 2.0).load is None
    assert not asked
    balancer.try_start(request, 2.0)
    assert len(asked) == 1
    request.route = builders.route(bulk=True)
    obstacles = _obstacles(balancer.explain(request, 4.0))
    assert obstacles["far"] == "other_data_centre"


def test_refusal_and_wait_are_explained_like_decided():
    """An explanation that differs from the decision misleads operators."""
    balancer = _balancer("a")
    slow = dialects.Load(0, 0, 2, 9.0)
    balancer.load_by_id["a"].apply_report(slow, 1.0)
    request = builders.dispatch_request(2.0, deadline_ms=300.0)
    explained = balancer.explain(request, 2.0)
    assert explained.delay is balancing.Delay.TOO_SLOW
    assert explained.reason is errors.Reason.OVERLOAD
    assert balancer.try_start(request, 2.0) is None
    assert balancer.decide(request, 2.0) is balancing.Decision.REFUSE
    balancer = _balancer("a")
    balancer.load_by_id["a"].announced.paused_until_ms = 30.0
    request = builders.dispatch_request(2.0)
    explained = balancer.explain(request, 2.0)
    assert explained.decision is balancing.Decision.WAIT
    assert 0 < explained.wait_ms < math.inf
    assert balancer.decide(request, 2.0) is balancing.Decision.WAIT


def test_service_without_targets_is_explained_and_not_kept():
    """The name of an unused service would stay in the state of the entry."""
    balancer = _balancer("a")
    request = builders.dispatch_request(2.0, service="unknown")
    explained = balancer.explain(request, 2.0)
    assert explained.reason is errors.Reason.NO_TARGETS
    assert "unknown" not in balancer.pool_by_service


def test_reading_a_supply_does_not_deny_its_tokens():
    """A denial that an explanation records would hold back real requests."""
    read, unread = rate_limits.TokenSupply(), rate_limits.TokenSupply()
    for supply in (read, unread):
        supply.request(1, 0.0)
    assert read.is_scarce(150.0) and read.is_denied(150.0)
    assert not read.pending(150.0) and not read.may_request(150.0)
    for supply in (read, unread):
        assert not supply.may_request(199.0)
        assert supply.may_request(201.0)


def test_explained_service_is_that_of_the_next_request():
    """A step for an explanation would shift the shares of a small part."""
    route = builders.route(parts=_PARTS)
    splitter = splitting.Splitter(random.Random(3))
    for _ in range(40):
        peeked = {splitter.peek(route) for _ in range(3)}
        assert peeked == {splitter.choose(route)}


@pytest.mark.parametrize(
    "text",
    [
        "host=h",
        "path=/a/",
        "host=h&path=a",
        "host=h&path=/&deadline_ms=0",
        "host=h&path=/&deadline_ms=nan",
        "host=h&path=/&deadline_ms=x",
        "host=h&path=/&path=/",
        "host=h&path=/&dead_line=5",
    ],
)
def test_invalid_query_is_refused(text):
    """A misspelt parameter would be explained as another request."""
    with pytest.raises(ValueError):
        explaining.parse_query(f"{explaining.PATH}?{text}")


def _entry(fleet_table: routing.RoutingTable | None):
    """Return an entry that is not started, with a table and two targets."""
    app = small_fleet.application.GatewayApplication(
        builders.gateway_settings(), builders.PlainDialect(), None
    )
    app.catalogue.table = fleet_table
    for target_id in ("t1", "t2"):
        app.balancer.add_target(builders.target(target_id), 0.0)
    return app


def _state(value: object, seen: dict[int, None]) -> object:
    """Return the state of an object of slatechute and of all it refers to."""
    if id(value) in seen:
        return "seen"
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, dict):
        seen[id(value)] = None
        return [
            (_state(key, seen), _state(item, seen))
            for key, item in value.items()
        ]
    if isinstance(value, list | tuple | set | frozenset):
        seen[id(value)] = None
        return [_state(item, seen) for item in value]
    if type(value).__module__.startswith("slatechute"):
        seen[id(value)] = None
        fields = dict(getattr(value, "__dict__", {}))
        for base in type(value).__mro__:
            for name in getattr(base, "__slots__", ()):
                fields[name] = getattr(value, name, None)
        return [(name, _state(item, seen)) for name, item in fields.items()]
    return repr(value)


def _own_metrics(app) -> list[bytes]:
    """Return the samples without those of the processor time and memory."""
    lines = app.metrics.export().splitlines()
    return [line for line in lines if line.startswith(b"slatechute_")]


def test_hundred_explanations_change_no_state():
    """An operator who asks often would change what real requests get."""

    async def check() -> None:
        table = routing.RoutingTable(1, [builders.route(parts=_PARTS)])
        app = _entry(table)
        server = app._caller_server
        retries = app._attempts.retries
        route = table.routes()[0]
        for _ in range(64):
            retries.record_first((route.host, route.prefix), 900.0)
        load = app.balancer.load_by_id["t2"]
        load.announced.adopt_rate_limit(5.0, 0.0, "target")
        load.tokens.request(1, app.clock.now_ms() - 1000)
        # Fills the cache of useful slots, as each tick of an entry does.
        load.has_room()
        before = _state(app, {})
        exported = _own_metrics(app)
        # Less than the deadlines above, as of a retry, and more than these.
        for deadline_ms in (300.0, 2000.0) * 50:
            query = dataclasses.replace(_QUERY, deadline_ms=deadline_ms)
            explanation = server.explain(query)
            assert explanation.selection is not None
        assert _state(app, {}) == before
        assert _own_metrics(app) == exported
        retries.record_first((route.host, route.prefix), 2000.0)
        assert _state(app, {}) != before

    asyncio.run(check())


def test_draining_entry_and_quarantine_are_explained_as_refusals():
    """Selection alone would name a target that real requests do not get."""

    async def check() -> None:
        app = _entry(routing.RoutingTable(1, [builders.route()]))
        server = app._caller_server
        quarantine = app._forwarder.quarantine
        print_of = server.explain(_QUERY).request.fingerprint
        for age_ms, target_id in ((20.0, "t1"), (10.0, "t2")):
            quarantine.record_crash(
                print_of,
                target_id,
                app.clock.now_ms(),
                age_ms=age_ms,
                duration_ms=1.0,
            )
        described = explaining.describe(server.explain(_QUERY))
        assert described["decision"] == "refuse"
        assert described["reason"] == "quarantined"
        assert described["retry_after_ms"] > 0
        server.start_draining(app.clock.now_ms())
        described = explaining.describe(server.explain(_QUERY))
        assert (described["reason"], described["target"]) == ("starting", None)
        json.dumps(described, allow_nan=False)

    asyncio.run(check())


def test_real_request_gets_the_explained_target():
    """The page and a request through all layers must agree."""

    async def fetch(app, url):
        async with aiohttp.ClientSession() as session:
            address = f"{app.settings.host}:{app.settings.metrics_port}"
            async with session.get(f"http://{address}{url}") as response:
                return response.status, await response.read()

    async def send(app):
        headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
        url = f"http://{app.settings.callers_address}/a/x"
        async with aiohttp.ClientSession() as session:
            async with session.get(url, headers=headers) as response:
                return response.status

    async def check(fleet):
        page = "/explain?host=h&path=/a/x&deadline_ms=900"
        app = await fleet.add()
        status, body = await fetch(app, page)
        assert status == 503 and b"not ready" in body
        async with (
            scripted_target.ScriptedTarget(scripted_target.response) as one,
            scripted_target.ScriptedTarget(scripted_target.response) as two,
        ):
            fleet.publish_routes(1, builders.route())
            fleet.publish_target(target_id="t1", address=one.address)
            fleet.publish_target(target_id="t2", address=two.address)
            fleet.publish_target(target_id="t3", leaving=True)
            await waiting.until(lambda: len(app.balancer.load_by_id) == 2)
            await waiting.until(lambda: app.catalogue.targets("s")[2:])
            for _ in range(10):
                _, body = await fetch(app, page)
                explained = json.loads(body)
                sent_to_one = len(_requests(one))
                assert await send(app) == 200
                target = "t1" if len(_requests(one)) > sent_to_one else "t2"
                assert (explained["decision"], explained["target"]) == (
                    "send",
                    target,
                )
                left = explained["candidates"][-1]
                assert left["passed_over"] == "leaving"
            status, body = await fetch(app, "/explain?host=x&path=/a/")
            assert status == 404 and b"no route" in body
            status, body = await fetch(app, "/metrics")
            assert status == 200 and b"slatechute_" in body

    small_fleet.run(check)


def _requests(target: scripted_target.ScriptedTarget) -> list[bytes]:
    """Return the requests of callers, without probes."""
    return [item for item in target.requests if b" /a/x " in item]
