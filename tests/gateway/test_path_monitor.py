"""Tests of the beliefs of an entry about its paths to targets."""

import random

from slatechute.gateway import balancing
from slatechute.gateway import path_monitor
from tests.gateway import builders


class _Fixture:
    def __init__(self, targets=6, services=("s",), *, has_relay=True):
        self.balancer = balancing.Balancer("dc1")
        self.lost = []
        self.changes = 0
        self.has_relay = has_relay
        self.monitor = path_monitor.PathMonitor(
            self.balancer,
            self.lost.append,
            self._count_change,
            lambda service: self.has_relay,
        )
        for service in services:
            for number in range(targets):
                self.add(f"{service}{number}", service)

    def add(self, name, service="s", now_ms=0.0, data_centre="dc1"):
        target = builders.target(
            name, service=service, slots=6, data_centre=data_centre
        )
        self.balancer.add_target(target, now_ms)
        self.monitor.add_target(self.balancer.load_by_id[name], now_ms)

    def _count_change(self):
        self.changes += 1

    def load(self, name):
        return self.balancer.load_by_id[name]

    def fail(self, name, now_ms, lasted_ms=0.0):
        """Let a connect fail; return whether the path is to blame."""
        return self.monitor.record_connect_failure(
            self.load(name), now_ms - lasted_ms, now_ms
        )

    def lost_names(self):
        return {
            name
            for name, load in self.balancer.load_by_id.items()
            if load.path.is_lost
        }

    def lose_all(self, now_ms=1_000.0):
        for name in list(self.balancer.load_by_id):
            self.fail(name, now_ms)
        assert self.lost_names() == set(self.balancer.load_by_id)


def test_target_that_a_peer_hears_has_a_lost_path():
    """It would be ejected as failing although it serves the peers."""
    fixture = _Fixture()
    assert not fixture.fail("s0", 1_000.0)
    fixture.monitor.record_peer_response(fixture.load("s0"), 1_100.0)
    assert fixture.lost_names() == {"s0"}
    assert fixture.lost == [fixture.load("s0")]


def test_connect_that_times_out_while_a_peer_hears_the_target():
    """The report may arrive before the connect has failed."""
    fixture = _Fixture()
    fixture.monitor.record_peer_response(fixture.load("s0"), 1_200.0)
    assert fixture.fail("s0", 1_300.0, lasted_ms=300.0)


def test_target_that_has_crashed_keeps_its_path():
    """Reports of earlier responses arrive after the crash."""
    fixture = _Fixture()
    fixture.fail("s0", 1_000.0)
    fixture.monitor.record_peer_response(fixture.load("s0"), 1_010.0)
    assert not fixture.lost_names()


def test_target_that_is_back_after_a_while_keeps_its_path():
    """A target that goes down and up would count as a lost path."""
    fixture = _Fixture()
    fixture.fail("s0", 1_000.0)
    fixture.monitor.record_peer_response(fixture.load("s0"), 3_000.0)
    assert not fixture.lost_names()


def test_service_that_no_longer_responds_has_lost_paths():
    """Each target would cost one request the time of a connect."""
    fixture = _Fixture(services=("s", "other"))
    fixture.monitor.record_response(fixture.load("s5"), 900.0, is_new=False)
    for number in range(3):
        fixture.fail(f"s{number}", 1_000.0 + number)
    assert fixture.lost_names() == {f"s{number}" for number in range(6)}
    assert fixture.monitor.services_without_path == ["s"]
    assert fixture.changes == 1


def test_crash_of_a_data_centre_leaves_the_other_paths_in_use():
    """Entries with few requests sent all of them through peers (cold return).

    A zone of 48 targets went down; 61 entries took the paths to whole services
    for lost, tried them all again and refused callers.
    """
    fixture = _Fixture()
    for number in range(4):
        fixture.add(f"far{number}", data_centre="dc2")
    for number in range(3):
        fixture.fail(f"far{number}", 1_000.0 + number)
    assert fixture.lost_names() == {f"far{number}" for number in range(4)}
    assert fixture.monitor.services_without_path == []
    fixture.fail("s0", 1_100.0)
    assert fixture.lost_names() == set(fixture.balancer.load_by_id)
    assert fixture.monitor.services_without_path == ["*"]


def test_failures_between_responses_do_not_lose_the_paths():
    """Targets of one host that fail together are no lost paths."""
    fixture = _Fixture()
    for number in range(4):
        fixture.fail(f"s{number}", 1_000.0 + number)
        fixture.monitor.record_response(
            fixture.load("s5"), 1_000.5 + number, is_new=False
        )
    assert not fixture.lost_names()


def test_lost_path_forgives_the_failures_of_the_target():
    """The ejection of the target would outlast the news of its path."""
    fixture = _Fixture()
    load = fixture.load("s0")
    exchange = load.start("k", 900.0)
    fixture.fail("s0", 1_000.0)
    load.record_connect_failure(exchange, 1_000.0)
    assert load.is_paused(1_050.0)
    fixture.monitor.record_peer_response(load, 1_100.0)
    assert not load.is_paused(1_100.0)
    assert load.failure_share == 0.0


def test_response_on_an_old_connection_does_not_restore_a_path():
    """Old connections may live on while new ones are refused."""
    fixture = _Fixture()
    fixture.lose_all()
    load = fixture.load("s0")
    fixture.monitor.record_response(load, 1_100.0, is_new=False)
    assert load.path.is_lost


def test_paths_are_tried_a_few_at_a_time_and_less_often():
    """All targets at once would get a connect each, again and again."""
    fixture = _Fixture(targets=10)
    fixture.lose_all(1_000.0)
    assert not fixture.monitor.take_due_trials(1_100.0)
    taken = []
    for now_ms in range(1_300, 9_300, 100):
        due = fixture.monitor.take_due_trials(float(now_ms))
        assert len(due) <= 4
        taken += due
    # About 1 + 1 + 1 + 1 in the first 4 s and one each 2 s since, for each.
    assert 40 <= len(taken) <= 70


def test_regained_paths_follow_the_first_one_soon():
    """Requests would take the way through peers for seconds."""
    fixture = _Fixture(targets=10)
    fixture.lose_all(1_000.0)
    for now_ms in range(1_300, 8_000, 100):
        fixture.monitor.take_due_trials(float(now_ms))
    fixture.monitor.restore(fixture.load("s0"), 8_000.0)
    regained_ms = 8_000.0
    while fixture.lost_names():
        for load in fixture.monitor.take_due_trials(regained_ms):
            fixture.monitor.restore(load, regained_ms)
        regained_ms += 100.0
    assert regained_ms <= 8_400.0
    assert fixture.monitor.services_without_path == []


def test_many_regained_paths_follow_within_two_seconds():
    """At a fixed number of trials, 500 targets would take 12 s."""
    fixture = _Fixture(targets=500)
    fixture.lose_all(1_000.0)
    now_ms = 60_000.0
    fixture.monitor.restore(fixture.load("s0"), now_ms)
    while len(fixture.lost_names()) > 25:
        assert now_ms < 63_000.0
        for load in fixture.monitor.take_due_trials(now_ms):
            fixture.monitor.restore(load, now_ms)
        now_ms += 100.0


def test_target_without_any_path_gets_no_request():
    """A request that nobody can send would wait until its deadline."""
    fixture = _Fixture(has_relay=False)
    fixture.lose_all()
    request = builders.dispatch_request(1_100.0)
    assert fixture.balancer.try_start(request, 1_100.0) is None
    decision = fixture.balancer.decide(request, 1_100.0)
    assert decision is balancing.Decision.REFUSE
    fixture.has_relay = True
    fixture.monitor.update()
    assert fixture.balancer.try_start(request, 1_100.0) is not None


def test_direct_paths_are_preferred_to_peers():
    """A hop costs time and the processor of a peer."""
    fixture = _Fixture(targets=2)
    fixture.fail("s0", 1_000.0)
    fixture.monitor.record_peer_response(fixture.load("s0"), 1_100.0)
    counts = {"s0": 0, "s1": 0}
    for _ in range(200):
        request = builders.dispatch_request(1_200.0)
        exchange = fixture.balancer.try_start(request, 1_200.0)
        counts[exchange.load.target.id] += 1
        exchange.load.record_cancellation(exchange)
    assert counts["s1"] > 2 * counts["s0"]


def test_new_target_of_a_service_without_path_is_tried_first():
    """Its first request would wait for a connect that fails."""
    fixture = _Fixture()
    fixture.lose_all(1_000.0)
    fixture.add("new", now_ms=2_000.0)
    load = fixture.load("new")
    assert load.path.is_lost
    due = fixture.monitor.take_due_trials(2_000.0)
    for _ in range(3):
        due += fixture.monitor.take_due_trials(2_000.0)
    assert load in due


def test_removed_targets_do_not_count_as_lost():
    """A service would stay without path after its targets were replaced."""
    fixture = _Fixture(targets=3)
    fixture.lose_all(1_000.0)
    for number in range(3):
        fixture.balancer.remove_target(f"s{number}")
    fixture.monitor.update()
    assert fixture.monitor.services_without_path == []
    fixture.add("new", now_ms=2_000.0)
    assert not fixture.lost_names()


def test_all_services_are_listed_by_one_name():
    """Many names would exceed a datagram."""
    services = tuple(f"service-{number}" for number in range(40))
    fixture = _Fixture(targets=2, services=services)
    fixture.lose_all()
    assert fixture.monitor.services_without_path == ["*"]


def test_random_failures_and_reports_agree_with_the_state_of_the_targets():
    """Beliefs must not get stuck, whatever the order of the events."""
    for seed in range(50):
        generator = random.Random(seed)
        fixture = _Fixture(targets=8)
        cut = set(generator.sample(range(8), generator.randrange(9)))
        now_ms = 1_000.0
        for _ in range(400):
            now_ms += generator.uniform(1.0, 20.0)
            number = generator.randrange(8)
            load = fixture.load(f"s{number}")
            if load.path.is_lost:
                pass
            elif number in cut:
                fixture.fail(f"s{number}", now_ms)
            else:
                fixture.monitor.record_response(load, now_ms, is_new=True)
            answered = fixture.load(f"s{generator.randrange(8)}")
            fixture.monitor.record_peer_response(answered, now_ms - 5.0)
            for tried in fixture.monitor.take_due_trials(now_ms):
                if int(tried.target.id[1:]) not in cut:
                    fixture.monitor.restore(tried, now_ms)
            if now_ms > 4_000.0:
                break
        assert fixture.lost_names() >= {f"s{number}" for number in cut}, seed
        cut.clear()
        for _ in range(60):
            now_ms += 50.0
            for tried in fixture.monitor.take_due_trials(now_ms):
                fixture.monitor.restore(tried, now_ms)
        assert not fixture.lost_names(), seed
