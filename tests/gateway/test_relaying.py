"""Tests of exchanges that peers carry out for entries without path."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from slatechute import messages
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import relaying
from tests import waiting
from tests.gateway import builders
from tests.gateway import path_cuts
from tests.gateway import scripted_target
from tests.gateway import small_fleet


async def _send(app, path="/a/x", *, method="GET", body=None, **headers):
    """Send a request and return status, headers and body."""
    headers = {"Host": "h", "Id": "r1", "Deadline": "900"} | headers
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method,
            f"http://{app.settings.callers_address}{path}",
            headers=headers,
            data=body,
        ) as response,
    ):
        return response.status, dict(response.headers), await response.read()


def _ready_peers(app):
    """Return the number of peers that take requests."""
    return sum(
        peer.presence.state == peer_groups.READY
        for peer in app.group.live_peers()
    )


def _run(check, *, entries=2, script=None, repeatable=True, **route):
    """Run a check with entries of which the first has no path to the target.

    The check gets the fleet, the target, the entries and their cuts.
    """

    async def prepare(fleet):
        async with contextlib.AsyncExitStack() as stack:
            target = await stack.enter_async_context(
                scripted_target.ScriptedTarget(
                    script or scripted_target.response
                )
            )
            fleet.publish_routes(
                1, builders.route(repeatable=repeatable, **route)
            )
            fleet.publish_target(address=target.address, slots=20)
            apps = [await fleet.add() for _ in range(entries)]
            await waiting.until(
                lambda: (
                    all(app.balancer.load_by_id for app in apps)
                    and all(_ready_peers(app) == entries - 1 for app in apps)
                )
            )
            cuts = [path_cuts.PathCuts(app) for app in apps]
            cuts[0].cut(path_cuts.Cut.RESET)
            load = apps[0].balancer.load_by_id["t1"]
            apps[0]._paths._lose([load], apps[0].clock.now_ms(), "test")
            await check(fleet, target, apps, cuts)

    small_fleet.run(prepare)


def test_request_and_response_pass_the_hop_unchanged():
    """The target must get what the caller sent, and the caller its answer."""
    body = bytes(range(256)) * 200
    answer = bytes(reversed(range(256))) * 1_000

    def script(request):
        return scripted_target.response(request, 201, answer, extra="a, b")

    async def check(fleet, target, apps, cuts):
        status, headers, content = await _send(
            apps[0], "/a/x?y=%20&z", method="PUT", body=body, X_Own="1"
        )
        assert (status, content) == (201, answer)
        assert (headers["extra"], headers["Signed"]) == ("a, b", "1")
        request = target.requests[-1]
        assert request.startswith(b"PUT /a/x?y=%20&z HTTP/1.1\r\n")
        assert request.endswith(b"\r\n\r\n" + body)
        assert scripted_target.header(request, "x_own") == "1"
        assert scripted_target.header(request, "expect-id") == "t1"
        assert 0 < int(scripted_target.header(request, "deadline")) <= 900
        counters = apps[0].metrics
        assert counters.value("relayed_requests_total", result="response") == 1

    _run(check, script=script, timeout_ms=900.0)


def test_body_above_the_usual_limit_of_peer_requests_is_relayed():
    """The limit of the configuration counts, not that of other messages."""

    async def check(fleet, target, apps, cuts):
        for app in apps:
            limits = app.catalogue.table.limits
            object.__setattr__(limits, "max_body_bytes", 1_000_000)
        body = b"x" * 700_000
        status, _, _ = await _send(apps[0], method="PUT", body=body)
        assert status == 200
        assert target.requests[-1].endswith(body)

    _run(check)


def test_caller_that_leaves_ends_the_request_behind_the_hop():
    """The target would work on for nobody."""

    async def check(fleet, target, apps, cuts):
        target.delay_s = 2.0
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(_send(apps[0]), 0.2)
        left_s = time.monotonic()
        await waiting.until(target.closed.is_set, 1.0)
        assert time.monotonic() - left_s < 0.5
        await waiting.until(lambda: not apps[1]._relay_server.in_flight)

    _run(check)


@pytest.mark.parametrize("repeatable", [True, False])
def test_peer_that_dies_with_a_request_leaves_its_outcome_unknown(repeatable):
    """A request that may have run must not be run again, nor called not run."""

    async def check(fleet, target, apps, cuts):
        target.delay_s = 0.5
        sending = asyncio.create_task(_send(apps[0], method="PUT", body=b"x"))
        await waiting.until(lambda: target.requests)
        relay = apps[1]._auxiliary_servers[-1]
        for connection in list(relay.connections):
            connection.abort()
        status, _, _ = await sending
        assert status == (200 if repeatable else 502)
        assert len(target.requests) == (2 if repeatable else 1)
        crashes = apps[0]._forwarder.quarantine.crashes(apps[0].clock.now_ms())
        assert not crashes, "the hop was lost, the target has not crashed"

    _run(check, repeatable=repeatable)


@pytest.mark.parametrize("repeatable", [True, False])
def test_target_that_closes_behind_the_hop_leaves_the_outcome_unknown(
    repeatable,
):
    """The peer has passed the request on, so it may have run."""

    async def check(fleet, target, apps, cuts):
        status, _, _ = await _send(apps[0])
        assert status == 502
        assert len(target.requests) == 1

    _run(check, script=lambda request: None, repeatable=repeatable)


def test_refusal_of_the_target_behind_the_hop_is_true():
    """A caller that gets "not run" sends the request again."""

    def script(request):
        return scripted_target.response(request, 503, b"", not_run="1")

    async def check(fleet, target, apps, cuts):
        status, headers, _ = await _send(apps[0])
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    _run(check, script=script, repeatable=False)


@pytest.mark.parametrize("status", [421, 503, 200])
def test_late_copy_behind_the_hop_is_not_the_response(status):
    """As "not run", it made a running request run once more."""
    earlier = scripted_target.response(
        b"X\r\nid: earlier\r\n\r\n", status, b"", not_run="1"
    )

    async def check(fleet, target, apps, cuts):
        for _ in range(2):
            assert (await _send(apps[0]))[::2] == (200, b"ok")
        assert len(target.requests) == 2
        assert apps[1].metrics.value("misplaced_responses_total") == 2

    _run(
        check,
        script=lambda request: earlier + scripted_target.response(request),
        repeatable=False,
    )


@pytest.mark.parametrize("status", [200, 421, 503])
def test_response_without_an_id_behind_the_hop_is_no_response(status):
    """A request that ran was reported as not run, or got another body."""
    fields = {} if status == 200 else {"not_run": "1"}
    stray = scripted_target.response(b"X\r\n\r\n", status, b"stray", **fields)

    def script(request):
        own = scripted_target.response(request)
        return own if len(received) == 1 else stray + own

    received = []

    async def check(fleet, target, apps, cuts):
        nonlocal received
        received = target.requests
        for _ in range(2):
            assert (await _send(apps[0]))[::2] == (200, b"ok")
        assert len(target.requests) == 2

    _run(check, script=script, repeatable=False)


@pytest.mark.parametrize("status", [421, 503])
def test_refusal_without_an_id_is_not_passed_to_entries_of_earlier_builds(
    status,
):
    """They send the running request to another target, or call it not run.

    Builds up to e163f3a believe each refusal that names no request.
    """
    stray = scripted_target.response(b"X\r\n\r\n", status, b"", not_run="1")

    def script(request):
        own = scripted_target.response(request)
        return own if len(received) == 1 else stray + own

    received = []

    async def check(fleet, target, apps, cuts):
        nonlocal received
        received = target.requests
        client = relaying.RelayClient(apps[0].settings, apps[0].clock)
        (peer,) = apps[0].group.live_peers()
        published = apps[0].balancer.load_by_id["t1"].target

        def request(request_id):
            return relaying.RelayedRequest(
                "POST",
                "/a/x",
                [("Host", "h"), ("Id", request_id), ("Content-Length", "0")],
                b"",
                False,
                apps[0].clock.now_ms() + 900.0,
            )

        first = await client.exchange(peer, published, request("r1"))
        assert first.status == 200
        try:
            second = await client.exchange(peer, published, request("r2"))
        except relaying.RelayError as error:
            assert not error.not_run
        else:
            assert second.header_by_name["id"] == "r2"
        finally:
            client.close()
        assert len(target.requests) == 2

    _run(check, script=script, repeatable=False)


def test_peer_that_stops_takes_no_new_request_and_ends_those_it_has():
    """A planned stop would cut requests that were just passed on."""

    async def check(fleet, target, apps, cuts):
        target.delay_s = 0.4
        sending = asyncio.create_task(_send(apps[0], method="PUT", body=b"x"))
        await waiting.until(lambda: target.requests)
        draining = asyncio.create_task(apps[1].drain())
        status, _, _ = await sending
        assert status == 200
        assert await draining
        await waiting.until(
            lambda: all(
                peer.presence.state == peer_groups.LEAVING
                for peer in apps[0].group.live_peers()
            )
        )
        status, _, _ = await _send(apps[0])
        assert status == 503
        assert len(target.requests) == 1

    _run(check, repeatable=False)


def test_peer_that_stops_refuses_requests_as_not_sent():
    """A sender that does not know of the stop must not call them lost."""

    async def check(fleet, target, apps, cuts):
        drained = asyncio.create_task(apps[1].drain())
        apps[0]._relay_client._may_relay = lambda peer, service: True
        await asyncio.sleep(0)
        status, headers, _ = await _send(apps[0], method="PUT", body=b"x")
        assert status == 503
        assert "Retry-After" in headers
        assert not target.requests
        await drained

    _run(check, repeatable=False)


def test_request_of_a_peer_is_in_flight_until_its_response_is_sent():
    """A stop would cut what a slow link has not taken yet."""
    answer = b"x" * 8_000_000

    def script(request):
        return scripted_target.response(request, 200, answer)

    async def check(fleet, target, apps, cuts):
        message = messages.RelayRequest(
            "t1", 1, 9_000.0, "dc1", True, "GET", "/a/x", [("Host", "h")]
        )
        content = relaying._join(message, b"")
        host, port = apps[1].settings.control_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /relay HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
            % len(content)
            + content
        )
        await reader.readuntil(b"\r\n\r\n")
        assert not apps[1]._relay_server.in_flight
        assert apps[1]._in_flight() == 1
        await reader.readexactly(len(answer))
        await waiting.until(lambda: not apps[1]._in_flight())

    _run(check, script=script)


def test_request_without_any_path_is_refused_at_once():
    """It would wait until its deadline although nobody can send it."""

    async def check(fleet, target, apps, cuts):
        cuts[1].cut(path_cuts.Cut.RESET)
        load = apps[1].balancer.load_by_id["t1"]
        apps[1]._paths._lose([load], apps[1].clock.now_ms(), "test")
        await waiting.until(
            lambda: all(
                app.balancer.load_by_id["t1"].path.is_blocked for app in apps
            )
        )
        started_s = time.monotonic()
        status, headers, body = await _send(apps[0])
        assert time.monotonic() - started_s < 0.2
        assert (status, body) == (503, b"no_path\n")
        assert float(headers["Retry-After"]) <= 0.3
        for cut in cuts:
            cut.heal()
        await waiting.until(
            lambda: (
                not any(
                    app.balancer.load_by_id["t1"].path.is_lost for app in apps
                )
            )
        )
        assert (await _send(apps[0]))[0] == 200

    _run(check)


def test_direct_sending_resumes_after_the_cut():
    """Requests would take the way through a peer for ever."""

    async def check(fleet, target, apps, cuts):
        assert (await _send(apps[0]))[0] == 200
        cuts[0].heal()
        path = apps[0].balancer.load_by_id["t1"].path
        await waiting.until(lambda: not path.is_lost)
        assert (await _send(apps[0]))[0] == 200
        counters = apps[0].metrics
        assert counters.value("relayed_requests_total", result="response") == 1

    _run(check)


def test_target_that_is_down_is_no_lost_path():
    """It is ejected instead of being asked for through one peer after another.

    The peer accepts no connection either, and no entry gets a response of the
    target.
    """

    async def check(fleet, target, apps, cuts):
        cuts[1].cut(path_cuts.Cut.RESET)
        status, _, _ = await _send(apps[0])
        assert status == 503
        load = apps[0].balancer.load_by_id["t1"]
        assert load.failure_share > 0.5

    _run(check)


def test_announcements_of_a_relayed_response_bind_the_peer_too():
    """It would send to a target that wants no request from it."""

    def script(request):
        return scripted_target.response(
            request, 503, b"", not_run="1", pause="5000"
        )

    async def check(fleet, target, apps, cuts):
        await _send(apps[0])
        load = apps[1].balancer.load_by_id["t1"]
        assert load.is_paused(apps[1].clock.now_ms() + 4_000)
        await _send(apps[1])
        await _send(apps[0])
        assert len(target.requests) == 1

    _run(check, script=script)


def test_peer_of_an_earlier_version_relays_nothing():
    """It takes the request for one for the published items."""
    presence = messages.Presence("e2", "b", "dc1", "h:1", "h:2", 1, "ready")

    class _Group:
        def live_peers(self):
            return [peer_groups.Peer(presence, ("h", 1), 0.0)]

        def is_local(self, peer):
            return True

    client = relaying.RelayClient(builders.gateway_settings(), None)
    client.group = _Group()
    assert not client.has_relay("s")
    presence.services_without_path = []
    assert client.has_relay("s")
    presence.services_without_path = ["s"]
    assert not client.has_relay("s")
    presence.services_without_path = ["*"]
    assert not client.has_relay("s")


@pytest.mark.parametrize(
    "content",
    [b"", b"\x00\x00\x00\x05abc", b"\xff" * 40, b"\x00\x00\x00\x01\x01"],
)
def test_malformed_request_of_a_peer_is_refused(content):
    """One malformed message must not end the process."""

    async def check(fleet, target, apps, cuts):
        address = apps[1].settings.control_address
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{address}{relaying.RELAY_PATH}", data=content
            ) as response,
        ):
            assert response.status == 400
        assert (await _send(apps[0]))[0] == 200

    _run(check)


def test_relayed_requests_are_spread_over_the_peers():
    """One peer would carry the whole load of the entries without path."""

    async def check(fleet, target, apps, cuts):
        target.delay_s = 0.05
        for _ in range(5):
            results = await asyncio.gather(*(_send(apps[0]) for _ in range(9)))
            assert {status for status, _, _ in results} == {200}
        counts = [app._relay_server.exchanges for app in apps[1:]]
        assert sum(counts) == 45
        assert min(counts) >= 8

    _run(check, entries=4)
