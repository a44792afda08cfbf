"""Callers that try again, under load that makes entries refuse requests."""

import asyncio
import random

from slatechute import messages
from slatechute.gateway import attempt_sharing
from slatechute.gateway import caller_retries

_ROUTE = ("cases.example", "/lookup/")
_DEADLINE_MS = 800.0
# Callers of one route differ in how long they wait by up to 15%.
_SHORTEST_SHARE = 0.85


def _learned(generator: random.Random) -> caller_retries.CallerRetries:
    retries = caller_retries.CallerRetries()
    for _ in range(400):
        share = generator.uniform(_SHORTEST_SHARE, 1.0)
        retries.record_first(_ROUTE, share * _DEADLINE_MS)
    return retries


def test_impatient_first_attempts_keep_their_objective():
    """With the longest deadline as reference, 80% counted as retries.

    Their objectives were up to 120 ms too early, so they were refused.
    """
    generator = random.Random(5)
    retries = _learned(generator)
    elapsed = [
        retries.elapsed_ms(
            _ROUTE, generator.uniform(_SHORTEST_SHARE, 1.0) * _DEADLINE_MS
        )
        for _ in range(400)
    ]
    assert not any(elapsed)


def test_equal_deadlines_show_each_retry():
    """Where all callers wait equally long, a retry must not look new."""
    retries = caller_retries.CallerRetries()
    for _ in range(64):
        retries.record_first(_ROUTE, 1_500.0)
    assert retries.elapsed_ms(_ROUTE, 1_500.0) == 0.0
    assert 60.0 < retries.elapsed_ms(_ROUTE, 1_400.0) <= 100.0


def test_retry_after_a_loss_that_no_entry_saw_has_a_short_deadline():
    """A caller of a killed entry returns without any report of its attempt."""
    retries = _learned(random.Random(6))
    assert 150.0 < retries.elapsed_ms(_ROUTE, 500.0) < 300.0


def test_unknown_routes_have_first_attempts_only():
    """A new entry would refuse what can still be served."""
    retries = caller_retries.CallerRetries()
    assert retries.elapsed_ms(_ROUTE, 100.0) == 0.0


def test_attempt_is_found_by_request_and_deadline():
    """The same page of another caller must not look like a retry."""
    retries = caller_retries.CallerRetries()
    attempt = caller_retries.FailedAttempt("page", 1_000.0, 1_700.0)
    retries.record(attempt, 1_002.0)
    assert retries.first_ms("page", 1_701.5) == 1_000.0
    assert retries.first_ms("page", 1_760.0) is None
    assert retries.first_ms("other", 1_700.0) is None


def test_first_of_several_attempts_counts():
    """The objective would move with each refusal."""
    retries = caller_retries.CallerRetries()
    for now_ms in (1_000.0, 1_100.0):
        retries.record(
            caller_retries.FailedAttempt("page", now_ms, 1_700.0), now_ms
        )
    assert retries.first_ms("page", 1_700.0) == 1_000.0


def test_state_is_bounded_while_everything_is_refused():
    """Memory would grow with the refusals of a long overload."""
    retries = caller_retries.CallerRetries()
    for number in range(20_000):
        retries.record(
            caller_retries.FailedAttempt(f"r{number}", 0.0, 1e6), 0.0
        )
    assert len(retries._oldest_first) == len(retries._attempts_by_key) < 10_000
    retries.record(caller_retries.FailedAttempt("last", 2e6, 3e6), 2e6)
    assert list(retries._attempts_by_key) == ["last"]


class _Clock:
    def __init__(self, now: float):
        self.now = now

    def now_ms(self) -> float:
        return self.now


class _Group:
    def __init__(self, receiver: attempt_sharing.AttemptSharing):
        self._receiver = receiver

    def active_peers(self) -> list[str]:
        return ["peer"]

    def broadcast(self, message: messages.Message, peers: list[str]) -> None:
        assert peers == ["peer"]
        frame = messages.encode(message)
        assert len(frame) < 1_400
        self._receiver.handle_report(messages.decode(frame))


def test_refusals_of_one_entry_are_known_to_its_peers():
    """A caller that chooses another entry would count as new there."""

    async def check() -> None:
        # Monotonic clocks of two hosts have nothing in common.
        sender = attempt_sharing.AttemptSharing(_Clock(50_000.0))
        receiver = attempt_sharing.AttemptSharing(_Clock(1_000.0))
        sender.attach(_Group(receiver))
        for number in range(40):
            sender.record(
                caller_retries.FailedAttempt(
                    f"{number:032}", 49_990.0, 50_700.0
                )
            )
        await asyncio.sleep(0.05)
        assert receiver.retries.first_ms(f"{39:032}", 1_700.0) == 990.0

    asyncio.run(check())
