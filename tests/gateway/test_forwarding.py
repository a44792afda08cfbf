"""Tests of forwarding against targets on real sockets."""

import asyncio
import contextlib
import gc
import logging

import pytest

from slatechute import errors
from slatechute import metrics
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import forwarding
from slatechute.gateway import relaying
from slatechute.util import clock as clocks
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target


class _Fixture:
    def __init__(self, *targets: scripted_target.ScriptedTarget):
        self.clock = clocks.MonotonicClock()
        self.balancer = balancing.Balancer("dc1")
        self.pool = connections.ConnectionPool()
        self.crashes = []
        self.counters = metrics.Metrics()
        settings = builders.gateway_settings()
        self.relay = relaying.RelayClient(settings, self.clock)
        self.paths = builders.paths(self.balancer)
        self.forwarder = forwarding.Forwarder(
            settings,
            builders.PlainDialect(),
            self.balancer,
            self.pool,
            self.paths,
            self.relay,
            self.clock,
            self.counters,
            lambda *crash: self.crashes.append(crash),
            lambda load: None,
        )
        for index, target in enumerate(targets):
            self.balancer.add_target(
                builders.target(f"t{index}", address=target.address), 0.0
            )
        self.trace = forwarding.Trace()

    def request(
        self, *, deadline_ms: float = 800.0, **route
    ) -> forwarding.CallerRequest:
        now_ms = self.clock.now_ms()
        return forwarding.CallerRequest(
            "r1",
            "POST",
            "/a/x?y=1",
            [("Host", "h"), ("Id", "r1"), ("Content-Length", "4")],
            b"body",
            builders.route(**route),
            "s",
            now_ms,
            now_ms,
            now_ms + 200,
            now_ms + deadline_ms,
        )

    async def forward(self, **fields) -> connections.TargetResponse:
        self.trace = forwarding.Trace()
        return await self.forwarder.forward(self.request(**fields), self.trace)


def _ok(request: bytes) -> bytes:
    return scripted_target.response(request)


def _refuse(request: bytes) -> bytes:
    return scripted_target.response(request, 503, b"", not_run="1")


def _close_connection(request: bytes) -> None:
    del request


def _run(check, *scripts) -> None:
    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            targets = [
                await stack.enter_async_context(
                    scripted_target.ScriptedTarget(script)
                )
                for script in scripts
            ]
            fixture = _Fixture(*targets)
            await check(fixture, *targets)
            fixture.pool.close()

    asyncio.run(main())


def test_request_arrives_unchanged():
    """The target must receive method, path, query, headers and body as sent."""

    async def check(fixture, target):
        response = await fixture.forward()
        assert (response.status, response.body) == (200, b"ok")
        request = target.requests[0]
        assert request.startswith(b"POST /a/x?y=1 HTTP/1.1\r\n")
        assert request.endswith(b"\r\n\r\nbody")
        assert scripted_target.header(request, "host") == "h"
        assert scripted_target.header(request, "expect-id") == "t0"

    _run(check, _ok)


def test_target_deadline_is_capped_to_the_remaining_time():
    """A target would work on after its caller has disconnected."""

    async def check(fixture, target):
        await fixture.forward(deadline_ms=500.0)
        sent_ms = int(scripted_target.header(target.requests[0], "deadline"))
        assert 0 < sent_ms <= 500

    _run(check, _ok)


def test_unrepeatable_request_is_sent_once_when_its_response_is_lost():
    """It may have run, so a retry could run it twice."""

    async def check(fixture, first, second):
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward(repeatable=False)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        assert caught.value.status == 502
        assert len(first.requests) + len(second.requests) == 1

    _run(check, _close_connection, _close_connection)


def test_unrepeatable_request_is_sent_again_after_not_run():
    """A refusal of a full target must not fail the caller."""

    async def check(fixture, first, second):
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        response = await fixture.forward(repeatable=False)
        assert response.status == 200
        assert (len(first.requests), len(second.requests)) == (1, 1)

    _run(check, _refuse, _ok)


def test_refusal_by_all_targets_is_reported_as_not_run():
    """The caller can then safely retry."""

    async def check(fixture, first, second):
        del first, second
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward(repeatable=False)
        assert caught.value.outcome is errors.Outcome.NOT_RUN
        assert caught.value.status == 503

    _run(check, _refuse, _refuse)


def test_not_run_is_not_reported_after_a_lost_response():
    """The first target may have run the request that the second refused."""

    async def check(fixture, first, second):
        del first, second
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward()
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        assert caught.value.status == 502

    _run(check, _close_connection, _refuse)


def test_repeatable_request_is_sent_again_after_a_lost_response():
    """A lost response must not fail a read."""

    async def check(fixture, first, second):
        del first, second
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        response = await fixture.forward()
        assert response.status == 200

    _run(check, _close_connection, _ok)


def test_attempts_are_bounded_by_the_route():
    """A request must not reach more targets than its route allows."""

    async def check(fixture, *targets):
        with pytest.raises(errors.RequestError):
            await fixture.forward(max_attempts=2)
        assert sum(len(target.requests) for target in targets) == 2

    _run(check, _close_connection, _close_connection, _close_connection)


def test_retries_are_bounded_by_the_budget():
    """When all targets fail, retries must not multiply the load."""

    async def check(fixture, *targets):
        for _ in range(40):
            with contextlib.suppress(errors.RequestError):
                await fixture.forward(max_attempts=3)
            for load in fixture.balancer.load_by_id.values():
                load.paused_until_ms = 0.0
        arrivals = sum(len(target.requests) for target in targets)
        assert arrivals <= 40 + 0.2 * 40 + 2

    _run(check, *[_close_connection] * 3)


@pytest.mark.parametrize("is_granted", [True, False])
def test_retry_beyond_the_own_share_needs_a_grant(is_granted):
    """The own share leaves most of the fleet's slack unused."""
    asked = []

    async def ask(service):
        asked.append(service)
        return is_granted

    async def check(fixture, *targets):
        fixture.forwarder._request_retry_token = ask
        for _ in range(6):
            with contextlib.suppress(errors.RequestError):
                await fixture.forward(max_attempts=2)
            for load in fixture.balancer.load_by_id.values():
                load.paused_until_ms = 0.0
        own = fixture.counters.value("retry_decisions_total", decision="own")
        assert own == 2
        assert asked == ["s"] * 4
        arrivals = sum(len(target.requests) for target in targets)
        assert arrivals == 6 + (6 if is_granted else own)

    _run(check, *[_refuse] * 2)


def test_unsigned_success_is_not_passed_on():
    """A response without a signature was not sent by the target."""

    async def check(fixture, target):
        del target
        with pytest.raises(errors.RequestError):
            await fixture.forward(repeatable=False)

    _run(
        check,
        lambda request: (
            b"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
        ),
    )


def test_response_to_another_request_is_not_passed_on():
    """A late duplicate may arrive in place of the next response."""

    async def check(fixture, target):
        del target
        with pytest.raises(errors.RequestError):
            await fixture.forward(repeatable=False)

    _run(
        check,
        lambda request: scripted_target.response(b"X\r\nid: other\r\n\r\n"),
    )


_EARLIER = b"X\r\nid: earlier\r\n\r\n"


@pytest.mark.parametrize(
    "late_copy",
    [
        scripted_target.response(_EARLIER, 421, b""),
        scripted_target.response(_EARLIER, 421, b"", not_run="1"),
        scripted_target.response(_EARLIER, 503, b"", not_run="1"),
        scripted_target.response(_EARLIER, 500, b"x" * 100_000),
        scripted_target.response(_EARLIER),
    ],
    ids=["421", "421-not-run", "503-not-run", "500-large", "200"],
)
def test_late_copy_does_not_stand_for_the_response_of_a_running_request(
    late_copy,
):
    """As "not run", it made a request run twice, or end refused."""

    async def check(fixture, first, second):
        for _ in range(2):
            response = await fixture.forward(repeatable=False)
            assert (response.status, response.body) == (200, b"ok")
        assert len(first.requests) + len(second.requests) == 2
        # Another copy may still be on its way.
        assert first.connections + second.connections == 2
        assert fixture.counters.value("misplaced_responses_total") == 2

    _run(
        check,
        *[lambda request: late_copy + scripted_target.response(request)] * 2,
    )


def test_retry_at_a_reused_address_does_not_get_the_refusal_once_more():
    """The copy names the retried request, which the new target runs."""

    def script(request: bytes) -> bytes:
        refusal = scripted_target.response(request, 421, b"")
        if scripted_target.header(request, "expect-id") == "t0":
            return refusal
        copy = refusal if target.connections == 1 else b""
        return copy + scripted_target.response(request)

    async def check(fixture, only):
        nonlocal target
        target = only
        load = fixture.balancer.load_by_id["t0"]
        fixture.balancer.add_target(
            builders.target("successor", address=target.address), 0.0
        )
        successor = fixture.balancer.load_by_id["successor"]
        # The registration that is out of date is chosen first.
        successor.set_peer_in_flight("e2", 1)
        response = await fixture.forward(repeatable=False)
        assert (response.status, response.body) == (200, b"ok")
        assert len(target.requests) == 2
        assert load.is_paused(fixture.clock.now_ms())

    target = None
    _run(check, script)


def test_refusal_that_names_no_request_is_not_taken_for_a_later_one():
    """Nothing tells its copy from a refusal of the next request."""

    def script(request: bytes) -> bytes:
        unnamed = scripted_target.response(b"X\r\n\r\n", 503, b"", not_run="1")
        if len(target.requests) == 1:
            return unnamed
        copy = unnamed if target.connections == 1 else b""
        return copy + scripted_target.response(request)

    async def check(fixture, only):
        nonlocal target
        target = only
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward(repeatable=False)
        assert caught.value.outcome is errors.Outcome.NOT_RUN
        fixture.balancer.load_by_id["t0"].paused_until_ms = 0.0
        assert (await fixture.forward(repeatable=False)).status == 200

    target = None
    _run(check, script)


@pytest.mark.parametrize("status", [421, 503, 429])
def test_refusal_without_an_id_on_a_used_connection_is_no_proof(status):
    """A request that ran at the first target ran at the second as well."""
    stray = scripted_target.response(b"X\r\n\r\n", status, b"", not_run="1")

    def script(request: bytes) -> bytes:
        own = scripted_target.response(request)
        return own if len(first.requests) == 1 else stray + own

    async def check(fixture, *targets):
        nonlocal first
        first, second = targets
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        assert (await fixture.forward(repeatable=False)).status == 200
        response = await fixture.forward(repeatable=False)
        assert (response.status, response.body) == (200, b"ok")
        assert (len(first.requests), len(second.requests)) == (2, 0)
        assert [e.evidence for e in fixture.trace.exchanges] == ["answered"]

    first = None
    _run(check, script, _ok)


def test_refusal_without_an_id_after_a_late_copy_is_no_proof():
    """A new connection may carry what belongs to no request, too.

    The request ran at the first target and at the second.
    """
    stray = scripted_target.response(b"X\r\n\r\n", 503, b"", not_run="1")
    late_copy = scripted_target.response(_EARLIER)

    async def check(fixture, first, second):
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        with contextlib.suppress(errors.RequestError):
            await fixture.forward(repeatable=False)
        assert first.connections == 1
        assert (len(first.requests), len(second.requests)) == (1, 0)
        assert fixture.trace.may_have_run

    _run(
        check,
        lambda request: late_copy + stray + scripted_target.response(request),
        _ok,
    )


@pytest.mark.parametrize("status", [200, 404, 500])
@pytest.mark.parametrize("repeatable", [False, True])
def test_answer_without_an_id_on_a_used_connection_is_not_passed_on(
    repeatable, status
):
    """A caller got what belongs to no request for its answer (MIXED)."""
    stray = scripted_target.response(b"X\r\n\r\n", status, b"stray")

    def script(request: bytes) -> bytes:
        own = scripted_target.response(request)
        return own if len(target.requests) == 1 else stray + own

    async def check(fixture, only):
        nonlocal target
        target = only
        assert (await fixture.forward(repeatable=repeatable)).status == 200
        with contextlib.suppress(errors.RequestError):
            response = await fixture.forward(repeatable=repeatable)
            assert (response.status, response.body) == (200, b"ok")

    target = None
    _run(check, script)


def test_refused_requests_without_an_id_do_not_eject_a_sound_target():
    """One caller that names no requests cost the others their answers.

    A target refuses a request without an id, and the refusal has none either.
    """

    def script(request: bytes) -> bytes:
        if scripted_target.header(request, "id"):
            return scripted_target.response(request)
        return scripted_target.response(request, 400, b"", not_run="1")

    async def check(fixture, target):
        load = fixture.balancer.load_by_id["t0"]
        for _ in range(6):
            assert (await fixture.forward(repeatable=False)).status == 200
            request = fixture.request(repeatable=False)
            request.id = ""
            request.headers.remove(("Id", "r1"))
            with pytest.raises(errors.RequestError):
                await fixture.forwarder.forward(request, forwarding.Trace())
            # The pause after a refusal.
            await asyncio.sleep(0.03)
        assert load.failure_share == 0.0
        assert len(target.requests) == 12

    _run(check, script)


def test_request_without_an_id_does_not_believe_what_follows_a_late_copy():
    """It ran at the first target and at the second.

    What has arrived before shows that the connection has a left-over.
    """
    stray = scripted_target.response(b"X\r\n\r\n", 503, b"", not_run="1")
    late_copy = scripted_target.response(_EARLIER)

    async def check(fixture, first, second):
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        request = fixture.request(repeatable=False)
        request.id = ""
        request.headers.remove(("Id", "r1"))
        with contextlib.suppress(errors.RequestError):
            await fixture.forwarder.forward(request, fixture.trace)
        assert (len(first.requests), len(second.requests)) == (1, 0)
        assert fixture.trace.may_have_run

    _run(
        check,
        lambda request: late_copy + stray + scripted_target.response(request),
        _ok,
    )


@pytest.mark.parametrize("status", [421, 503])
def test_refusal_without_an_id_does_not_hold_a_repeatable_request(status):
    """It waited for another response until its deadline, a free target beside.

    Downloads have no hedges.
    """

    def script(request: bytes) -> bytes:
        if len(first.requests) == 1:
            return scripted_target.response(request)
        return scripted_target.response(b"X\r\n\r\n", status, b"", not_run="1")

    async def check(fixture, *targets):
        nonlocal first
        first, second = targets
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        assert (await fixture.forward(bulk=True)).status == 200
        assert (await fixture.forward(bulk=True)).status == 200
        assert (len(first.requests), len(second.requests)) == (2, 1)

    first = None
    _run(check, script, _ok)


def test_retry_at_the_same_address_uses_a_new_connection():
    """A copy of the refusal that names the request stands for its response."""

    def script(request: bytes) -> bytes:
        refusal = scripted_target.response(request, 503, b"", not_run="1")
        if scripted_target.header(request, "expect-id") == "t0":
            return refusal
        copy = refusal if target.connections == 1 else b""
        return copy + scripted_target.response(request)

    async def check(fixture, only):
        nonlocal target
        target = only
        fixture.balancer.add_target(
            builders.target("successor", address=target.address), 0.0
        )
        successor = fixture.balancer.load_by_id["successor"]
        successor.set_peer_in_flight("e2", 1)
        assert (await fixture.forward(repeatable=False)).status == 200
        assert (len(target.requests), target.connections) == (2, 2)

    target = None
    _run(check, script)


def test_truncated_response_is_not_passed_on():
    """A truncated body must not look complete."""

    async def check(fixture, target):
        target.closes_after_response = True
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward(repeatable=False)
        assert caught.value.status == 502

    _run(
        check,
        lambda request: scripted_target.response(request, body=b"x" * 10)[:-3],
    )


def test_response_that_ends_within_its_head_is_not_passed_on():
    """Callers got a 200 with an empty or short body, framed as whole."""
    whole = scripted_target.response(b"X\r\nid: r1\r\n\r\n")
    head_length = whole.index(b"\r\n\r\n") + 4

    def script(request: bytes) -> bytes:
        target.closes_after_response = len(target.requests) % 2 == 0
        return whole[
            : head_length - 1 if target.closes_after_response else None
        ]

    async def check(fixture, only):
        nonlocal target
        target = only
        for _ in range(3):
            assert (await fixture.forward(repeatable=False)).body == b"ok"
            with pytest.raises(errors.RequestError) as caught:
                await fixture.forward(repeatable=False)
            assert caught.value.status == 502
            assert caught.value.outcome is errors.Outcome.UNKNOWN

    target = None
    _run(check, script)


@pytest.mark.parametrize("repeatable", [False, True])
@pytest.mark.parametrize("failing", ["parse_response", "target_headers"])
def test_unexpected_error_ends_the_exchange(failing, repeatable, monkeypatch):
    """A slot was never given back, and callers got a 500."""

    def fail(*args):
        raise OverflowError(args)

    monkeypatch.setattr(builders.PlainDialect, failing, fail)

    async def check(fixture, target):
        for _ in range(5):
            with pytest.raises(errors.RequestError) as caught:
                await fixture.forward(repeatable=repeatable)
            # Of a request that was sent, the outcome is not known.
            is_unknown = caught.value.outcome is errors.Outcome.UNKNOWN
            assert is_unknown == bool(fixture.trace.sent)
        load = fixture.balancer.load_by_id["t0"]
        assert load.occupancy() == 0
        assert load.failure_share > 0

    _run(check, _ok)


def test_error_of_a_waiting_request_does_not_replace_the_response():
    """A request that has run was answered 500."""

    async def check(fixture, target):
        del target

        def fail(load, now_ms):
            raise asyncio.InvalidStateError

        fixture.balancer.handle_exchange_end = fail
        response = await fixture.forward(repeatable=False)
        assert response.status == 200

    _run(check, _ok)


def test_error_response_is_passed_on_unchanged():
    """Status, body and headers of an error response come from the target."""

    async def check(fixture, target):
        del target
        response = await fixture.forward(repeatable=False)
        assert (response.status, response.body) == (500, b"boom")

    _run(
        check,
        lambda request: scripted_target.response(request, 500, b"boom"),
    )


@pytest.mark.parametrize("status", [429, 503])
def test_status_of_a_target_does_not_promise_what_it_has_not_said(status):
    """A request that has run was reported as not run, and sent again."""

    async def check(fixture, target):
        response = await fixture.forward(repeatable=True, max_attempts=1)
        assert (response.status, response.body) == (status, b"busy")
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward(repeatable=False)
        assert caught.value.status == 502
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        assert len(target.requests) == 2

    _run(
        check,
        lambda request: scripted_target.response(request, status, b"busy"),
    )


def test_bytes_after_a_response_close_the_connection():
    """They would be read as the response to the next request."""

    async def check(fixture, target):
        for _ in range(2):
            assert (await fixture.forward()).body == b"ok"
        assert target.connections == 2

    _run(check, lambda request: scripted_target.response(request) * 2)


def test_idle_connection_is_reused():
    """A new connection for each request occupies a slot and takes time."""

    async def check(fixture, target):
        for _ in range(3):
            await fixture.forward()
        assert target.connections == 1

    _run(check, _ok)


def test_disconnected_caller_cancels_the_exchange():
    """A target must not work on for a disconnected caller."""

    async def check(fixture, target):
        target.delay_s = 5.0
        task = asyncio.create_task(fixture.forward(deadline_ms=5_000.0))
        await target.arrived.wait()
        task.cancel()
        await asyncio.wait_for(target.closed.wait(), 0.5)
        assert fixture.balancer.load_by_id["t0"].local_in_flight == 0

    _run(check, _ok)


def test_deadline_of_a_sent_request_has_unknown_outcome():
    """A request that was sent may have run."""

    async def check(fixture, target):
        target.delay_s = 5.0
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forward(deadline_ms=60.0, repeatable=False)
        assert caught.value.status == 504
        assert caught.value.outcome is errors.Outcome.UNKNOWN

    _run(check, _ok)


def test_late_repeatable_request_is_hedged():
    """One slow target must not make a read late while another is free."""

    async def check(fixture, slow, fast):
        slow.delay_s = 5.0
        fixture.balancer.load_by_id["t1"].set_peer_in_flight("e2", 1)
        response = await fixture.forward()
        assert response.status == 200
        assert (len(slow.requests), len(fast.requests)) == (1, 1)

    _run(check, _ok, _ok)


def test_failure_next_to_a_response_is_not_left_unhandled(caplog):
    """Failures of other exchanges were logged as unretrieved exceptions.

    The log showed them with a traceback, like a fault of the entry itself.
    """

    async def fail():
        raise ValueError("lost")

    async def respond():
        return connections.TargetResponse(200, [], b"", {})

    async def main():
        tasks = {asyncio.ensure_future(fail()) for _ in range(8)}
        tasks.add(asyncio.ensure_future(respond()))
        await asyncio.sleep(0)
        with contextlib.suppress(ValueError):
            await forwarding.first_success(tasks)
        tasks.clear()
        gc.collect()

    # Tasks that an earlier, failed test has left behind are logged when they
    # are collected.
    gc.collect()
    caplog.clear()
    with caplog.at_level(logging.ERROR, logger="asyncio"):
        asyncio.run(main())
    texts = [record.getMessage() for record in caplog.records]
    assert not [text for text in texts if "never retrieved" in text]


def test_request_that_crashes_targets_is_quarantined():
    """Every further target that runs the request would crash as well."""

    async def check(fixture, *targets):
        for _ in range(4):
            with contextlib.suppress(errors.RequestError):
                await fixture.forward(repeatable=False)
            await asyncio.sleep(0.005)
            for load in fixture.balancer.load_by_id.values():
                load.paused_until_ms = 0.0
        assert sum(len(target.requests) for target in targets) == 2
        # Crashes are reported once it is clear that the targets are not alive.
        await waiting.until(lambda: len(fixture.crashes) == 2)

    _run(check, _close_connection, _close_connection, _close_connection)


def test_crash_after_a_late_copy_is_a_crash():
    """The copy was taken for the beginning of the response.

    The request crashed one target after the other.
    """
    late_copy = scripted_target.response(_EARLIER)

    async def check(fixture, *targets):
        for target in targets:
            target.closes_after_response = True
        for _ in range(4):
            with contextlib.suppress(errors.RequestError):
                await fixture.forward(repeatable=False)
            await asyncio.sleep(0.005)
            for load in fixture.balancer.load_by_id.values():
                load.paused_until_ms = 0.0
        assert sum(len(target.requests) for target in targets) == 2

    _run(check, *[lambda request: late_copy] * 3)


def test_lost_connections_to_targets_that_peers_hear_are_no_crashes():
    """Connections that are reset on a cut path would quarantine requests."""

    async def check(fixture, *targets):
        for _ in range(3):
            with contextlib.suppress(errors.RequestError):
                await fixture.forward(repeatable=False)
            await asyncio.sleep(0.005)
            for load in fixture.balancer.load_by_id.values():
                load.paused_until_ms = 0.0
        quarantined = fixture.forwarder.quarantine
        assert not quarantined.is_empty
        answered_peer_ms = fixture.clock.now_ms() + 60.0
        for load in fixture.balancer.load_by_id.values():
            fixture.paths.record_peer_response(load, answered_peer_ms)
        await waiting.until(lambda: quarantined.is_empty)
        await asyncio.sleep(0.1)
        assert not fixture.crashes

    _run(check, _close_connection, _close_connection)


def test_unsendable_request_does_not_pause_the_target():
    """A malformed header would pause all targets."""

    async def check(fixture, target):
        request = fixture.request()
        request.headers.append(("bad name", "x"))
        with pytest.raises(errors.RequestError) as caught:
            await fixture.forwarder.forward(request, fixture.trace)
        assert caught.value.status == 400
        assert not target.requests
        assert not fixture.balancer.load_by_id["t0"].is_paused(
            fixture.clock.now_ms()
        )

    _run(check, _ok)


def test_unrepeatable_request_is_sent_again_after_a_failed_connect():
    """A refused connection means that the request certainly did not run."""

    async def check(fixture, target):
        fixture.balancer.add_target(
            builders.target("gone", address="127.0.0.1:1"), 0.0
        )
        fixture.balancer.load_by_id["t0"].set_peer_in_flight("e2", 1)
        response = await fixture.forward(repeatable=False)
        assert response.status == 200
        assert len(target.requests) == 1

    _run(check, _ok)


def test_invalid_announcement_is_counted():
    """Only the first one of a target is logged."""

    async def check(fixture, target):
        for _ in range(3):
            assert (await fixture.forward()).status == 200
        counters = fixture.counters
        assert counters.value("invalid_announcements_total") == 3

    _run(check, lambda r: scripted_target.response(r, invalid="limit"))
