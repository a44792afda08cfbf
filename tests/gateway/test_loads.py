"""Tests of the estimated time of a request at a target."""

import random

import pytest

from slatechute.gateway import dialects
from slatechute.gateway import loads
from tests.gateway import builders

_USUAL_MS = 80.0


class _Target:
    """A target that answers requests one after another."""

    def __init__(self, slots=2):
        self.now_ms = 0.0
        self.model = loads.ServiceModel()
        self.load = loads.TargetLoad(
            builders.target("t1", slots=slots), self.model, 0.0
        )

    def answer(self, *times_ms):
        for time_ms in times_ms:
            exchange = self.load.start("k", self.now_ms)
            self.now_ms += time_ms
            self.load.record_success(exchange, self.now_ms)

    @property
    def cost_ms(self):
        return self.load.cost_ms(_USUAL_MS, self.now_ms)


def test_first_long_response_does_not_fix_the_work_estimate():
    """One response of a slow host caused refusals for many requests."""
    target = _Target()
    target.answer(4 * _USUAL_MS, *[_USUAL_MS] * 9)
    assert target.model.work_ms("k") == pytest.approx(_USUAL_MS, rel=0.25)


def test_few_long_responses_do_not_raise_the_work_estimate():
    """An arithmetic mean is far above the time of most requests."""
    target = _Target()
    target.answer(*[_USUAL_MS] * 20)
    for _ in range(4):
        target.answer(5 * _USUAL_MS, *[_USUAL_MS] * 9)
    assert target.model.work_ms("k") < 1.3 * _USUAL_MS


def test_spread_of_single_requests_does_not_mark_a_target_slow():
    """Execution times at one target vary by up to a factor of two.

    The variation was mistaken for the speed of the target.
    """
    target = _Target()
    target.answer(*[_USUAL_MS] * 20)
    before_ms = target.cost_ms
    target.answer(1.8 * _USUAL_MS, 1.5 * _USUAL_MS, 1.8 * _USUAL_MS)
    assert target.cost_ms == pytest.approx(before_ms)


def test_target_that_turns_slow_costs_more_after_three_responses():
    """A target may be slow although its host reports the usual speed."""
    target = _Target()
    target.answer(*[_USUAL_MS] * 20)
    before_ms = target.cost_ms
    target.answer(*[5 * _USUAL_MS] * 3)
    assert target.cost_ms > 2 * before_ms


def test_slow_target_is_retried_after_some_seconds():
    """Only a response can show that the target is fast again."""
    target = _Target()
    target.answer(*[_USUAL_MS] * 20)
    before_ms = target.cost_ms
    target.answer(*[6 * _USUAL_MS] * 4)
    target.now_ms += 6_000.0
    assert target.cost_ms < 1.5 * before_ms


def test_work_estimate_excludes_the_effect_of_crowding():
    """In a burst, all targets are crowded.

    If the execution time absorbed the crowded factor, entries would keep the
    targets crowded.
    """
    target = _Target()
    target.answer(*[_USUAL_MS] * 10)
    for _ in range(100):
        first = target.load.start("k", target.now_ms)
        second = target.load.start("k", target.now_ms)
        target.now_ms += 1.7 * _USUAL_MS
        target.load.record_success(second, target.now_ms)
        target.load.record_cancellation(first)
    assert target.model.work_ms("k") == pytest.approx(_USUAL_MS, rel=0.1)
    assert target.model.crowded_factor == pytest.approx(1.7, rel=0.1)


def test_first_responses_do_not_fix_the_crowded_factor():
    """A crowded factor of 1 fills all slots of the targets permanently."""
    target = _Target()
    target.answer(*[_USUAL_MS] * 10)
    target.load.start("k", target.now_ms)
    target.answer(0.6 * _USUAL_MS, 0.6 * _USUAL_MS)
    assert target.model.crowded_factor > 1.4


def test_target_with_one_slot_is_not_crowded_by_its_only_request():
    """Its execution time was never updated after the first response."""
    target = _Target(slots=1)
    target.answer(4 * _USUAL_MS, *[_USUAL_MS] * 30)
    assert target.model.work_ms("k") == pytest.approx(_USUAL_MS, rel=0.2)


def test_shorter_work_is_learned_while_all_targets_are_crowded():
    """The crowded factor is at least 1, so the execution time must shrink."""
    target = _Target()
    target.answer(*[_USUAL_MS] * 10)
    for _ in range(400):
        other = target.load.start("k", target.now_ms)
        target.answer(0.85 * _USUAL_MS)
        target.load.record_cancellation(other)
    expected_ms = target.model.work_ms("k") * target.model.crowded_factor
    assert expected_ms == pytest.approx(0.85 * _USUAL_MS, rel=0.05)


def test_target_that_does_not_answer_costs_more():
    """Requests that ended at their deadline left no trace of the target."""
    target = _Target(slots=8)
    target.answer(*[_USUAL_MS] * 20)
    before_ms = target.cost_ms
    for _ in range(3):
        exchange = target.load.start("k", target.now_ms)
        target.now_ms += 8 * _USUAL_MS
        target.load.record_abandonment(exchange, target.now_ms)
    assert target.cost_ms > 2 * before_ms


def test_early_abandonment_says_nothing_about_the_target():
    """Callers that leave soon would make fast targets look slow."""
    target = _Target(slots=8)
    target.answer(*[_USUAL_MS] * 20)
    before_ms = target.cost_ms
    for _ in range(5):
        exchange = target.load.start("k", target.now_ms)
        target.now_ms += 0.5 * _USUAL_MS
        target.load.record_abandonment(exchange, target.now_ms)
    assert target.cost_ms == pytest.approx(before_ms, rel=0.01)


class _SheddingService:
    """Targets that refuse at random, one after another, with free slots."""

    def __init__(self, seed, targets):
        self.random = random.Random(seed)
        self.model = loads.ServiceModel()
        self.loads = [
            loads.TargetLoad(
                builders.target(f"t{number}", slots=2), self.model, 0.0
            )
            for number in range(targets)
        ]
        self.refusal_share_by_id = {}
        self.now_ms = 0.0

    def run(self, seconds, usual_share):
        """Send requests; return the share of targets' time without a pause."""
        usable = total = 0
        end_ms = self.now_ms + seconds * 1000
        while self.now_ms < end_ms:
            self.now_ms += _USUAL_MS / 4
            for load in self.loads:
                total += 1
                if load.is_paused(self.now_ms):
                    continue
                usable += 1
                exchange = load.start("k", self.now_ms)
                share = self.refusal_share_by_id.get(
                    load.target.id, usual_share
                )
                if self.random.random() < share:
                    load.record_refusal(exchange, self.now_ms + 1.0)
                else:
                    load.record_success(exchange, self.now_ms + _USUAL_MS / 4)
        return usable / total


@pytest.mark.parametrize("targets", [5, 45])
@pytest.mark.parametrize("seed", range(5))
def test_service_that_refuses_at_random_keeps_its_targets(seed, targets):
    """Refusals paused most of the targets of a service that sheds 0.55."""
    service = _SheddingService(seed, targets)
    service.run(1.0, 0.55)
    assert service.run(20.0, 0.55) > 0.97


@pytest.mark.parametrize("usual_share", [0.0, 0.3, 0.55])
def test_target_that_refuses_everything_is_ejected(usual_share):
    """It answers at once, so that it would attract most of the requests."""
    service = _SheddingService(1, 8)
    service.run(5.0, usual_share)
    faulty = service.loads[0]
    service.refusal_share_by_id["t0"] = 1.0
    service.run(5.0, usual_share)
    started = faulty.sent
    service.run(20.0, usual_share)
    # A target that is not ejected would get 1,000 requests.
    assert faulty.sent - started < 80
    assert all(load.sent > 500 for load in service.loads[1:])


def test_three_refusals_in_a_row_eject_a_target_of_a_healthy_service():
    """Slower detection costs retries that the budget does not have."""
    service = _SheddingService(1, 8)
    service.run(1.0, 0.0)
    load = service.loads[0]
    for _ in range(3):
        exchange = load.start("k", service.now_ms)
        load.record_refusal(exchange, service.now_ms)
    assert load.is_paused(service.now_ms + 250.0)


def test_refusal_with_a_load_that_shows_full_slots_is_no_fault():
    """The refused request counted as one of those that the target runs."""
    target = _Target()
    for _ in range(5):
        exchange = target.load.start("k", target.now_ms)
        target.now_ms += 30.0
        target.load.apply_report(dialects.Load(2, 0, 2, 1.0), target.now_ms)
        target.load.record_refusal(exchange, target.now_ms)
    assert target.load.is_paused(target.now_ms + 20.0)
    assert not target.load.is_paused(target.now_ms + 30.0)
