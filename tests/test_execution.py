"""Tests of attempts, retries and hedges with targets behind a fault proxy."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import io
import json
import random

import pytest

from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import execution
from slatechute import leases
from slatechute import logs
from slatechute import metrics
from slatechute import requests
from slatechute.configuration import instances
from slatechute.configuration import models
from slatechute.fakes import target as fakes
from slatechute.fakes import tcp_proxy
from slatechute.policies import baselines
from slatechute.util import clock as clocks
from tests import scripted_target


@dataclasses.dataclass
class _Setup:
    executor: execution.Executor
    targets: list[fakes.FakeTarget] | list[scripted_target.ScriptedTarget]
    proxies: list[tcp_proxy.FaultProxy]
    clock: clocks.MonotonicClock
    metrics: metrics.Metrics

    def request(self, number: int = 1, **kwargs) -> requests.Request:
        rule = models.RequestRule(
            kwargs.pop("repeatable", True),
            kwargs.pop("bulk", False),
            1000,
        )
        now_ms = self.clock.now_ms()
        return requests.Request(
            f"e1-aa.1.{number}",
            "plans",
            kwargs.pop("method", "GET"),
            "/plans/1",
            kwargs.pop("headers", []),
            kwargs.pop("body", b""),
            rule,
            now_ms,
            now_ms + kwargs.pop("deadline_ms", 1000),
            **kwargs,
        )

    def runs(self, number: int = 1) -> int:
        key = f"e1-aa.1.{number}"
        return sum(_run_count(target, key) for target in self.targets)


def _run_count(
    target: fakes.FakeTarget | scripted_target.ScriptedTarget, key: str
) -> int:
    if isinstance(target, scripted_target.ScriptedTarget):
        return target.run_ids.count(key)
    return len(target.runs_by_request_id.get(key, ()))


class _FirstTarget(baselines.RandomChoice):
    """Chooses the first target that is not excluded."""

    def choose(self, candidates):
        return candidates[0]


@contextlib.asynccontextmanager
async def _setup(
    count: int = 2, work_ms: float = 5.0, names_requests: tuple[bool, ...] = ()
):
    async with contextlib.AsyncExitStack() as stack:
        targets, proxies = [], []
        for number in range(count):
            settings = fakes.TargetSettings(
                name=f"t{number}",
                work_ms=work_ms,
                fixed_work=True,
                names_requests=not names_requests or names_requests[number],
            )
            target = fakes.FakeTarget(settings)
            await target.start()
            stack.push_async_callback(target.stop)
            proxy = tcp_proxy.FaultProxy(target.address)
            await proxy.start()
            stack.push_async_callback(proxy.stop)
            targets.append(target)
            proxies.append(proxy)
        addresses = [proxy.address for proxy in proxies]
        yield _create_setup(stack, addresses, targets, proxies)


@contextlib.asynccontextmanager
async def _scripted_setup(*scripts: scripted_target.Script):
    async with contextlib.AsyncExitStack() as stack:
        targets = [scripted_target.ScriptedTarget(s) for s in scripts]
        for target in targets:
            await target.start()
            stack.push_async_callback(target.stop)
        addresses = [target.address for target in targets]
        yield _create_setup(stack, addresses, targets, [])


def _create_setup(
    stack: contextlib.AsyncExitStack, addresses: list[str], targets, proxies
) -> _Setup:
    listed = [
        instances.Target(f"t{number}", "plans", address, "d", "live")
        for number, address in enumerate(addresses)
    ]
    clock = clocks.MonotonicClock()
    client = exchange.TargetClient(lambda service: 20)
    stack.push_async_callback(client.stop)
    counters = metrics.Metrics()
    executor = execution.Executor(
        _FirstTarget(clock, lambda service: listed),
        client,
        clock,
        events.EventBus(),
        lambda message: None,
        counters,
    )
    return _Setup(executor, targets, proxies, clock, counters)


def _run(scenario) -> None:
    async def main():
        async with _setup() as setup:
            await scenario(setup)

    asyncio.run(main())


async def _error(setup: _Setup, request) -> errors.RequestError:
    with pytest.raises(errors.RequestError) as caught:
        await setup.executor.execute(request)
    return caught.value


@pytest.mark.parametrize("repeatable", [True, False])
def test_request_is_retried_elsewhere_after_a_refused_connection(repeatable):
    """Guards against failing a request that certainly did not run."""

    async def scenario(setup):
        await setup.proxies[0].set_refusing(True)
        request = setup.request(repeatable=repeatable)
        attempt = await setup.executor.execute(request)
        assert attempt.response.status == 200
        assert setup.runs() == 1

    _run(scenario)


@pytest.mark.parametrize("repeatable", [True, False])
def test_target_that_did_not_connect_is_tried_again(repeatable):
    """Guards against failing a request while an earlier target has recovered.

    The first target refuses the connection and recovers while the second one
    sheds the request.
    """

    async def scenario(setup):
        await setup.proxies[0].set_refusing(True)
        setup.targets[1].shedding = True
        setup.proxies[1].to_upstream.latency_ms = 100
        request = setup.request(repeatable=repeatable)
        attempt = asyncio.create_task(setup.executor.execute(request))
        await asyncio.sleep(0.03)
        await setup.proxies[0].set_refusing(False)
        assert (await attempt).response.status == 200
        assert setup.runs() == 1

    _run(scenario)


def test_truncated_response_does_not_run_a_request_twice():
    """Guards against retrying a non-repeatable request that may have run."""

    async def scenario(setup):
        setup.proxies[0].to_client.close_after_bytes = 10
        error = await _error(setup, setup.request(repeatable=False))
        assert error.outcome is errors.Outcome.UNKNOWN
        assert error.reason is errors.Reason.CONNECTION_LOST
        assert setup.runs() == 1

    _run(scenario)


@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_http_library_does_not_retry(method):
    """Guards against aiohttp's own retry when a reused connection fails."""

    async def scenario(setup):
        first = setup.request(1, repeatable=False, method=method)
        await setup.executor.execute(first)
        setup.proxies[0].to_client.close_after_bytes = 0
        second = setup.request(2, repeatable=False, method=method)
        error = await _error(setup, second)
        assert error.outcome is errors.Outcome.UNKNOWN
        assert setup.runs(2) == 1

    _run(scenario)


def test_shed_request_is_retried_elsewhere():
    """Guards against passing on a refusal while other targets are available."""

    async def scenario(setup):
        setup.targets[0].leave()
        attempt = await setup.executor.execute(setup.request(repeatable=False))
        assert attempt.response.status == 200
        assert setup.metrics.value("retries_total", reason="target_shed") == 1

    _run(scenario)


def test_deadline_ends_the_request_and_cancels_the_target():
    """Guards against work that continues after the deadline of its caller."""

    async def scenario(setup):
        setup.targets[0].slow_factor = 400
        request = setup.request(repeatable=False, deadline_ms=100)
        error = await _error(setup, request)
        assert error.reason is errors.Reason.DEADLINE
        assert error.outcome is errors.Outcome.UNKNOWN
        await asyncio.sleep(0.1)
        assert setup.targets[0].running == 0

    _run(scenario)


def test_slow_repeatable_request_is_hedged_once():
    """Guards against slow targets that dominate the tail latency."""

    async def scenario(setup):
        setup.targets[0].slow_factor = 100
        start_ms = setup.clock.now_ms()
        attempt = await setup.executor.execute(setup.request())
        assert attempt.lease.target.id == "t1"
        assert setup.clock.now_ms() - start_ms < 400
        assert setup.metrics.value("hedges_total") == 1
        await asyncio.sleep(0.05)
        assert setup.targets[0].running == 0

    _run(scenario)


def test_unresponsive_connections_are_replaced_before_the_deadline():
    """Guards against a wait until the deadline when no hedge is allowed.

    All idle connections are unresponsive, so a second exchange on one of them
    would wait as well.
    """

    async def scenario(setup):
        setup.executor.set_rules(models.FleetRules(hedge_ratio=0))
        client = setup.executor._dependencies.client
        for number, proxy in enumerate(setup.proxies):
            request = setup.request(number)
            await client.send(proxy.address, request, 1000)
        # Longer than the keepalive time of connections for retries.
        await asyncio.sleep(0.3)
        for proxy in setup.proxies:
            assert proxy.connections
            proxy.silence_connections()
        start_ms = setup.clock.now_ms()
        attempt = await setup.executor.execute(setup.request(5))
        assert attempt.response.status == 200
        assert setup.clock.now_ms() - start_ms < 600
        count = setup.metrics.value("retries_total", reason="connection_silent")
        assert count == 1

    _run(scenario)


def test_wait_for_a_slot_starts_no_hedge():
    """Guards against hedges of requests that still wait for a slot."""

    async def scenario(setup):
        policy = setup.executor._dependencies.policy
        acquire = policy.acquire

        async def late(*args, **kwargs):
            await asyncio.sleep(0.1)
            return await acquire(*args, **kwargs)

        policy.acquire = late
        await setup.executor.execute(setup.request())
        assert setup.metrics.value("hedges_total") == 0

    _run(scenario)


def test_stale_lease_is_returned():
    """Guards against using a slot that its dispatcher may have freed."""

    async def scenario(setup):
        policy = setup.executor._dependencies.policy
        acquire, release = policy.acquire, policy.release
        results = []

        async def stale_once(*args, **kwargs):
            lease = await acquire(*args, **kwargs)
            if not results:
                granted_ms = lease.granted_ms - 300
                lease = dataclasses.replace(lease, granted_ms=granted_ms)
            return lease

        def record(lease, result, service_ms):
            results.append(result)
            release(lease, result, service_ms)

        policy.acquire, policy.release = stale_once, record
        await setup.executor.execute(setup.request())
        assert results == [leases.Result.UNUSED, leases.Result.OK]
        assert setup.runs() == 1

    _run(scenario)


def test_request_that_crashes_targets_is_quarantined():
    """Guards against a request that crashes one target after another."""

    async def main():
        async with _setup(count=4) as setup:
            crash = [("X-Crash", "1")]
            await _error(setup, setup.request(1, headers=crash))
            error = await _error(setup, setup.request(2, headers=crash))
            assert error.reason is errors.Reason.QUARANTINED
            assert error.outcome is errors.Outcome.NOT_RUN
            assert sum(t.crashes for t in setup.targets) == 2

    asyncio.run(main())


def test_request_quarantined_after_a_run_has_unknown_outcome():
    """Guards against "not-run" for a request that ran before its quarantine."""

    async def main():
        async with _setup(count=4) as setup:
            crash = [("X-Crash", "1")]
            error = await _error(setup, setup.request(1, headers=crash))
            assert setup.runs(1) == 2
            assert error.reason is errors.Reason.QUARANTINED
            assert error.outcome is errors.Outcome.UNKNOWN

    asyncio.run(main())


def test_failed_connect_after_a_run_has_unknown_outcome():
    """Guards against "not-run" when only the last attempt did not run."""

    async def main():
        async with _setup(count=3) as setup:
            setup.proxies[0].to_client.close_after_bytes = 10
            await setup.proxies[1].set_refusing(True)
            await setup.proxies[2].set_refusing(True)
            error = await _error(setup, setup.request(1))
            assert setup.runs(1) == 1
            assert error.outcome is errors.Outcome.UNKNOWN

    asyncio.run(main())


def test_run_of_a_failed_hedge_has_unknown_outcome():
    """Guards against "not-run" when a concurrent attempt may have run."""

    async def scenario(setup):
        # The first attempt is shed after its hedge has lost the connection.
        setup.targets[0].shedding = True
        setup.proxies[0].to_client.latency_ms = 100
        setup.proxies[1].to_client.close_after_bytes = 10
        setup.executor.set_rules(models.FleetRules(retry_ratio=0))
        error = await _error(setup, setup.request(1))
        assert setup.runs(1) == 1
        assert error.outcome is errors.Outcome.UNKNOWN

    _run(scenario)


def test_run_of_a_hedge_with_an_unexpected_error_has_unknown_outcome():
    """Guards against "not-run" when a hedge has ended by a fault of the entry.

    The first attempt is shed after its hedge has run.
    """

    async def scenario(setup):
        client = setup.executor._dependencies.client
        send = client.send

        async def fail_hedge(address, *args, **kwargs):
            response = await send(address, *args, **kwargs)
            if address == setup.proxies[1].address:
                raise RuntimeError("unexpected")
            return response

        client.send = fail_hedge
        setup.targets[0].shedding = True
        setup.proxies[0].to_client.latency_ms = 100
        setup.executor.set_rules(models.FleetRules(retry_ratio=0))
        error = await _error(setup, setup.request(1))
        assert setup.runs(1) == 1
        assert error.outcome is errors.Outcome.UNKNOWN

    _run(scenario)


def test_retries_stay_within_their_budget():
    """Guards against retries that multiply the load on failing targets."""

    async def scenario(setup):
        for target in setup.targets:
            target.fail_fast = True
        count = 200
        for number in range(count):
            await setup.executor.execute(setup.request(number))
        runs = sum(setup.runs(number) for number in range(count))
        # 10% and the three tokens that a budget starts with.
        assert count < runs <= count * 1.1 + 3

    _run(scenario)


def test_upstream_retry_is_not_retried():
    """Guards against retries that multiply with the depth of the call chain."""

    async def scenario(setup):
        setup.targets[0].fail_fast = True
        attempt = await setup.executor.execute(setup.request(attempt=1))
        assert attempt.response.status == 500
        assert setup.runs() == 1

    _run(scenario)


# Responses that a target writes once more. `named` is whether the target names
# the request in its responses; those of earlier builds do not.

_NAMED = pytest.mark.parametrize("named", [True, False])


def _repeating(
    respond: Callable[[scripted_target.Exchange], bytes], *, named: bool
) -> scripted_target.Script:
    """Return the script of a target that repeats the last response.

    It writes the last response of the connection once more before it runs the
    next request.
    """

    async def script(http: scripted_target.Exchange) -> None:
        if not http.earlier_bytes:
            http.write(respond(http))
            return
        http.write(http.earlier_bytes[-1])
        http.run()
        await asyncio.sleep(0.02)
        http.write(scripted_target.response(200, http.request_id, named=named))

    return script


def _serving(*, named: bool) -> scripted_target.Script:
    async def script(http: scripted_target.Exchange) -> None:
        http.write(_run_response(http, named=named))

    return script


def _run_response(http: scripted_target.Exchange, *, named: bool) -> bytes:
    http.run()
    return scripted_target.response(200, http.request_id, named=named)


def _refusal(http: scripted_target.Exchange, *, named: bool) -> bytes:
    return scripted_target.response(
        503, http.request_id, named=named, not_run=True
    )


async def _check_outcome(setup: _Setup, request: requests.Request) -> str:
    """Execute a request that must not run twice and check its outcome.

    Returns:
        "served", "unknown" or "not-run".
    """
    try:
        attempt = await setup.executor.execute(request)
    except errors.RequestError as error:
        outcome = error.outcome
    else:
        outcome = "served"
        assert exchange.OUTCOME_HEADER not in dict(attempt.response.headers)
        assert attempt.response.body == request.id.encode()
    # The target may run the request after the response that was taken for it.
    await asyncio.sleep(0.05)
    runs = sum(_run_count(target, request.id) for target in setup.targets)
    assert runs <= 1
    assert outcome != "not-run" or runs == 0
    return outcome


def _run_scripted(scenario, *scripts: scripted_target.Script) -> None:
    async def main():
        async with _scripted_setup(*scripts) as setup:
            await scenario(setup)

    asyncio.run(main())


@_NAMED
def test_late_copy_of_a_refusal_does_not_stand_for_a_running_request(named):
    """Guards against a second run because of the refusal of another request."""

    async def scenario(setup):
        for number in (1, 2):
            request = setup.request(number, repeatable=False)
            assert await _check_outcome(setup, request) == "served"

    refusing = _repeating(lambda http: _refusal(http, named=named), named=named)
    _run_scripted(scenario, refusing, _serving(named=named))


@_NAMED
def test_late_copy_of_a_refusal_is_not_reported_as_not_run(named):
    """Guards against "not-run" for a request that the only target has run."""

    async def scenario(setup):
        first = setup.request(1, repeatable=False)
        assert await _check_outcome(setup, first) == "not-run"
        second = setup.request(2, repeatable=False)
        await _check_outcome(setup, second)

    refusing = _repeating(lambda http: _refusal(http, named=named), named=named)
    _run_scripted(scenario, refusing)


@_NAMED
def test_refusal_is_not_read_again_by_a_retry_at_the_same_target(named):
    """Guards against a copy that names the request, as it was sent before.

    Both targets refuse the request, and the first one gets it again.
    """

    async def scenario(setup):
        request = setup.request(repeatable=False)
        assert await _check_outcome(setup, request) == "served"

    async def second_time(http: scripted_target.Exchange) -> None:
        attempts.append(http)
        if len(attempts) == 1:
            http.write(_refusal(http, named=named))
            return
        for data in http.earlier_bytes[-1:]:
            http.write(data)
            await asyncio.sleep(0.02)
        http.write(_run_response(http, named=named))

    async def refusing(http: scripted_target.Exchange) -> None:
        http.write(_refusal(http, named=named))

    attempts: list[scripted_target.Exchange] = []
    _run_scripted(scenario, second_time, refusing)


@_NAMED
def test_refusal_is_not_read_again_by_a_resend(named):
    """Guards against a copy that names the request, as the caller resends it.

    A caller may send a request that was not run again, with its id.
    """

    async def scenario(setup):
        first = setup.request(1, repeatable=False)
        assert await _check_outcome(setup, first) == "not-run"
        resend = setup.request(1, repeatable=False)
        await _check_outcome(setup, resend)

    refusing = _repeating(lambda http: _refusal(http, named=named), named=named)
    _run_scripted(scenario, refusing)


def test_refusal_without_an_id_on_a_used_connection_is_no_proof():
    """Guards against a refusal that may answer an earlier request."""

    async def scenario(setup):
        first = setup.request(1, repeatable=False)
        assert await _check_outcome(setup, first) == "served"
        second = setup.request(2, repeatable=False)
        await _check_outcome(setup, second)

    async def script(http: scripted_target.Exchange) -> None:
        if http.earlier_bytes:
            http.write(_refusal(http, named=False))
            await asyncio.sleep(0.02)
        http.write(_run_response(http, named=True))

    _run_scripted(scenario, script, _serving(named=True))


@_NAMED
@pytest.mark.parametrize("repeatable", [True, False])
def test_late_copy_of_a_response_does_not_reach_another_caller(
    named, repeatable
):
    """Guards against a response to another request (R2)."""

    async def scenario(setup):
        first = setup.request(1, repeatable=repeatable)
        assert await _check_outcome(setup, first) == "served"
        second = setup.request(2, repeatable=repeatable)
        with contextlib.suppress(errors.RequestError):
            attempt = await setup.executor.execute(second)
            assert attempt.response.body == second.id.encode()

    repeating = _repeating(
        lambda http: _run_response(http, named=named), named=named
    )
    _run_scripted(scenario, repeating, _serving(named=named))


@_NAMED
@pytest.mark.parametrize("status", [200, 503])
def test_late_copy_on_an_idle_connection_is_not_a_response(named, status):
    """Guards against a request that is answered before it is sent."""

    async def scenario(setup):
        first = setup.request(1, repeatable=False)
        await _check_outcome(setup, first)
        await asyncio.sleep(0.03)
        second = setup.request(2, repeatable=False)
        assert await _check_outcome(setup, second) == "served"

    async def script(http: scripted_target.Exchange) -> None:
        is_refused = status == 503 and not seen_ids
        seen_ids.append(http.request_id)
        if is_refused:
            data = _refusal(http, named=named)
        else:
            data = _run_response(http, named=named)
        http.write(data)
        if len(seen_ids) == 1:
            await asyncio.sleep(0.01)
            http.write(data)

    seen_ids: list[str] = []
    _run_scripted(scenario, script)


@pytest.mark.parametrize("status", [200, 503])
def test_response_that_names_another_request_is_reported(status):
    """Guards against repeated responses that no operator can see."""

    async def scenario(setup):
        request = setup.request(1, repeatable=False)
        assert await _check_outcome(setup, request) == "unknown"
        assert setup.metrics.value("misplaced_responses_total") == 1

    async def script(http: scripted_target.Exchange) -> None:
        http.run()
        http.write(
            scripted_target.response(
                status, "e1-aa.1.7", named=True, not_run=status == 503
            )
        )

    stream = io.StringIO()
    logs.setup(stream, "info")
    try:
        _run_scripted(scenario, script)
    finally:
        logs.setup(None, "warning")
    (line,) = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert line["event"] == "response_misplaced"
    assert line["target"] == "t0"
    assert line["request_id"] == "e1-aa.1.1"
    assert line["answered_id"] == "e1-aa.1.7"
    assert line["status"] == status


@pytest.mark.parametrize(("named", "connections"), [(True, 1), (False, 5)])
def test_connection_is_kept_if_responses_name_their_request(named, connections):
    """Guards against a new connection for each request, and unsafe reuse."""

    async def scenario(setup):
        for number in range(5):
            await setup.executor.execute(setup.request(number))
        assert setup.targets[0].connections == connections

    _run_scripted(scenario, _serving(named=named))


@pytest.mark.parametrize(
    "names_requests", [(True, False), (False, True), (False, False)]
)
def test_targets_of_earlier_builds_are_served(names_requests):
    """Guards against an upgrade of entries that needs one of the targets.

    Small, streamed and refused responses, with and without a request body.
    """

    async def main():
        async with _setup(names_requests=names_requests) as setup:
            setup.executor.set_rules(models.FleetRules(retry_ratio=1))
            for number in range(32):
                setup.targets[0].shedding = number % 2 == 0
                setup.targets[1].shedding = number % 2 == 1
                size = 200_000 if number % 4 < 2 else 200
                request = setup.request(
                    number,
                    repeatable=False,
                    method="POST",
                    body=b"x" * size if number % 8 < 4 else b"",
                    headers=[("X-Answer-Bytes", str(size))],
                )
                attempt = await setup.executor.execute(request)
                response = attempt.response
                body = response.body
                if body is None:
                    body = b"".join([c async for c in response.chunks()])
                    attempt.finish(leases.Result.OK)
                expected = fakes.response_chunks(request.id, size)
                assert body == b"".join(expected)
                assert setup.runs(number) == 1
            assert setup.metrics.value("misplaced_responses_total") == 0

    asyncio.run(main())


def _random_script(
    rng: random.Random, *, named: bool
) -> scripted_target.Script:
    """Return a script that mixes runs, refusals and repeated responses."""

    async def script(http: scripted_target.Exchange) -> None:
        if http.earlier_bytes and rng.random() < 0.3:
            http.write(rng.choice(http.earlier_bytes))
            await asyncio.sleep(rng.choice([0, 0.002]))
        if rng.random() < 0.3:
            data = _refusal(http, named=named or rng.random() < 0.1)
            http.write(data)
        else:
            http.run()
            await asyncio.sleep(rng.choice([0, 0.002]))
            status = rng.choice([200, 200, 200, 500, 503])
            data = scripted_target.response(
                status, http.request_id, named=named
            )
            http.write(data)
        if rng.random() < 0.2:
            await asyncio.sleep(rng.choice([0, 0.001, 0.005]))
            http.write(rng.choice([data, *http.earlier_bytes]))

    return script


@_NAMED
@pytest.mark.parametrize("seed", range(3))
def test_random_repeats_of_responses(named, seed):
    """Guards against each order of repeated responses that no case names."""
    rng = random.Random(seed)

    # Connects of more requests at a time would time out on a busy machine.
    limit = asyncio.Semaphore(8)

    async def send(setup, number):
        async with limit:
            await asyncio.sleep(rng.random() * 0.002)
            repeatable = rng.random() < 0.3
            request = setup.request(
                number, repeatable=repeatable, deadline_ms=20_000
            )
            try:
                attempt = await setup.executor.execute(request)
            except errors.RequestError as error:
                outcome = error.outcome
            else:
                outcome = "served"
                assert attempt.response.body == request.id.encode()
            return request, outcome

    async def scenario(setup):
        setup.executor.set_rules(models.FleetRules(retry_ratio=1))
        numbers = range(100)
        results = await asyncio.gather(*(send(setup, n) for n in numbers))
        await asyncio.sleep(0.05)
        for request, outcome in results:
            runs = sum(_run_count(t, request.id) for t in setup.targets)
            assert runs <= 1 or request.rule.repeatable
            assert runs == 0 or outcome != "not-run"
        assert sum(outcome == "served" for _, outcome in results) > 50

    scripts = [_random_script(rng, named=named) for _ in range(3)]
    _run_scripted(scenario, *scripts)
