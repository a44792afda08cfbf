"""Tests of target selection."""

import random

from slatechute import errors
from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import loads
from tests.gateway import builders


def _balancer(*targets: dialects.PublishedTarget) -> balancing.Balancer:
    balancer = balancing.Balancer("dc1")
    for target in targets:
        balancer.add_target(target, 0.0)
    return balancer


def _load(slowdown: float = 1.0, running: int = 0) -> dialects.Load:
    return dialects.Load(running, 0, 2, slowdown)


def test_fast_host_is_preferred_to_slow_host():
    """Requests on a slow host take four times as long."""
    balancer = _balancer(builders.target("a"), builders.target("b"))
    balancer.load_by_id["a"].apply_report(_load(4.0), 1.0)
    balancer.load_by_id["b"].apply_report(_load(1.0), 1.0)
    exchange = balancer.try_start(builders.dispatch_request(2.0), 2.0)
    assert exchange.load.target.id == "b"


def test_local_data_centre_is_preferred():
    """Traffic between data centres is expensive."""
    balancer = _balancer(
        builders.target("far", data_centre="dc2"), builders.target("near")
    )
    for load in balancer.load_by_id.values():
        load.apply_report(_load(), 1.0)
    exchange = balancer.try_start(builders.dispatch_request(2.0), 2.0)
    assert exchange.load.target.id == "near"


def test_full_data_centre_spills_over():
    """A request must not wait while a target elsewhere is free."""
    balancer = _balancer(
        builders.target("far", data_centre="dc2"), builders.target("near")
    )
    chosen = [
        balancer.try_start(builders.dispatch_request(2.0), 2.0).load.target.id
        for _ in range(3)
    ]
    assert sorted(chosen) == ["far", "near", "near"] or "far" in chosen


def test_large_responses_stay_in_the_data_centre():
    """Sending 90 KB to a remote data centre costs more than a late response."""
    balancer = _balancer(
        builders.target("far", data_centre="dc2"), builders.target("near")
    )
    balancer.load_by_id["near"].apply_report(_load(1.5), 1.0)
    request = builders.dispatch_request(2.0, route=builders.route(bulk=True))
    for _ in range(2):
        assert balancer.try_start(request, 2.0).load.target.id == "near"
    assert balancer.try_start(request, 2.0) is None


def test_requests_of_peers_occupy_slots():
    """Entries that count only local requests send to the same free slots."""
    balancer = _balancer(builders.target("a"), builders.target("b"))
    balancer.load_by_id["a"].set_peer_in_flight("e2", 2)
    exchange = balancer.try_start(builders.dispatch_request(), 0.0)
    assert exchange.load.target.id == "b"


def test_failing_target_is_paused_and_retried():
    """A target that fails fast looks free and would attract requests."""
    balancer = _balancer(builders.target("a"))
    load = balancer.load_by_id["a"]
    for now_ms in range(3):
        exchange = load.start("k", now_ms)
        load.record_failure(exchange, now_ms)
    assert load.is_paused(5.0)
    assert not load.is_paused(400.0)


def test_late_request_goes_to_a_free_target():
    """A late response is better than a refusal while a target is free."""
    balancer = _balancer(builders.target("a"))
    balancer.load_by_id["a"].apply_report(_load(1.5), 0.0)
    request = builders.dispatch_request(0.0, objective_ms=10.0)
    assert balancer.try_start(request, 0.0) is not None


def test_late_request_is_refused_when_it_needs_most_of_its_time():
    """A request sent to a slow target would miss its deadline.

    After a refusal, the caller still has time to retry.
    """
    balancer = _balancer(builders.target("a"))
    balancer.load_by_id["a"].apply_report(_load(10.0), 0.0)
    request = builders.dispatch_request(0.0)
    assert balancer.try_start(request, 0.0) is None
    decision = balancer.decide(request, 0.0)
    assert decision is balancing.Decision.REFUSE


def test_full_service_refuses_at_once():
    """A request that cannot be answered in time must not wait."""
    balancer = _balancer(builders.target("a"))
    for _ in range(2):
        balancer.try_start(builders.dispatch_request(), 0.0)
    request = builders.dispatch_request(objective_ms=120.0)
    assert balancer.try_start(request, 0.0) is None
    decision = balancer.decide(request, 0.0)
    assert decision is balancing.Decision.REFUSE


def test_service_without_targets_refuses_at_once():
    """Without targets, a request would wait until its deadline."""
    balancer = _balancer()
    decision = balancer.decide(builders.dispatch_request(), 0.0)
    assert decision is balancing.Decision.REFUSE


def test_retry_after_stays_within_the_limit_of_callers():
    """Callers ignore a Retry-After above a third of their remaining time."""
    balancer = _balancer()
    assert balancer.retry_after_ms(builders.dispatch_request(), 0.0) <= 800 / 3


def test_freed_target_runs_the_request_of_highest_priority():
    """Under overload, the priority of the route decides."""
    balancer = _balancer(builders.target("a", slots=1))
    running = balancer.try_start(builders.dispatch_request(), 0.0)
    order = []
    for name, priority in (("low", 2), ("high", 0)):
        request = builders.dispatch_request(
            route=builders.route(priority=priority)
        )
        balancer.enqueue(
            balancing.QueuedRequest(
                request, lambda _, name=name: order.append(name)
            )
        )
    running.load.record_success(running, 50.0)
    balancer.handle_exchange_end(running.load, 50.0)
    assert order == ["high"]


def test_waiting_request_is_refused_once_it_cannot_be_in_time():
    """It waited until its deadline, so that its caller could not retry."""
    balancer = _balancer(builders.target("a", slots=1))
    request = builders.dispatch_request()
    exchange = balancer.try_start(request, 0.0)
    results = []
    balancer.enqueue(balancing.QueuedRequest(request, results.append))
    work_ms = balancer.pool("s").model.work_ms(request.work_key)
    latest_ms = request.objective_ms - work_ms
    balancer.tick(latest_ms - 1.0)
    assert not results
    balancer.tick(latest_ms + 1.0)
    assert results == [errors.Reason.OVERLOAD]
    assert latest_ms + 1.0 < request.deadline_ms
    exchange.load.record_cancellation(exchange)


def test_waiting_request_uses_a_target_that_is_free_just_in_time():
    """A refusal before the free target is tried would waste both."""
    balancer = _balancer(builders.target("a", slots=1))
    request = builders.dispatch_request()
    exchange = balancer.try_start(request, 0.0)
    results = []
    balancer.enqueue(balancing.QueuedRequest(request, results.append))
    exchange.load.record_cancellation(exchange)
    balancer.tick(request.objective_ms)
    assert isinstance(results[0], loads.Exchange)


def test_new_target_gets_a_request_soon():
    """A new target that is never selected never finishes its warm-up."""
    balancer = _balancer(builders.target("old"))
    balancer.load_by_id["old"].sent = 100
    balancer.add_target(builders.target("new", warmup_ms=3_000.0), 0.0)
    exchange = balancer.try_start(builders.dispatch_request(1_500.0), 1_500.0)
    assert exchange.load.target.id == "new"


def test_long_requests_stay_in_the_data_centre_while_it_has_room():
    """The random spread of costs sent two thirds of them elsewhere."""
    balancer = balancing.Balancer("dc1", generator=random.Random(1))
    for number in range(30):
        data_centre = f"dc{1 + number % 3}"
        target = builders.target(f"t{number}", data_centre=data_centre)
        balancer.add_target(target, 0.0)
        balancer.load_by_id[target.id].apply_report(_load(), 1.0)
    request = builders.dispatch_request(
        2.0, objective_ms=3_000.0, deadline_ms=4_000.0
    )
    model = balancer.pool("s").model
    exchange = balancer.start(request, balancer.load_by_id["t0"], 2.0)
    exchange.load.record_success(exchange, 502.0)
    assert model.work_ms(request.work_key) > 300
    places = [
        balancer.try_start(request, 502.0).load.target.data_centre
        for _ in range(12)
    ]
    assert places[:10] == ["dc1"] * 10
    assert places[10:] != ["dc1"] * 2


def test_requests_are_spread_over_the_targets_with_idle_connections():
    """One target got all requests, one with a rate limit none of them."""
    balancer = balancing.Balancer(
        "dc1", generator=random.Random(1), has_connection=lambda load, _: True
    )
    for number in range(4):
        balancer.add_target(builders.target(f"t{number}", slots=20), 0.0)
    chosen = set()
    for _ in range(40):
        exchange = balancer.try_start(builders.dispatch_request(), 0.0)
        chosen.add(exchange.load.target.id)
        exchange.load.record_cancellation(exchange)
    assert len(chosen) == 4


def test_idle_connection_decides_among_equal_targets():
    """A new connection for nearly each request costs targets and callers."""
    connected = {"t3"}
    balancer = balancing.Balancer(
        "dc1",
        generator=random.Random(1),
        has_connection=lambda load, _: load.target.id in connected,
    )
    for number in range(8):
        balancer.add_target(builders.target(f"t{number}"), 0.0)
    request = builders.dispatch_request()
    first = balancer.try_start(request, 0.0)
    assert first.load.target.id == "t3"
    first.load.record_cancellation(first)
    first.load.apply_report(_load(4.0), 1.0)
    second = balancer.try_start(request, 1.0)
    assert second.load.target.id != "t3", "a slow host is not worth it"
