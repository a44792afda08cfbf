"""Recognition of requests that crash targets."""

from slatechute import quarantine


def test_targets_that_die_together_are_one_strike():
    """Guards against refusing a popular request when a rack fails."""
    strikes = quarantine.Quarantine()
    for number in range(6):
        strikes.record_crash(
            "f", f"t{number}", 100.0 + number, duration_ms=50.0
        )
    assert not strikes.remaining_ms("f", 110.0)


def test_target_that_dies_under_a_resend_counts():
    """Guards against a request that takes down one target after another."""
    strikes = quarantine.Quarantine()
    strikes.record_crash("f", "t1", 100.0, duration_ms=50.0)
    strikes.record_crash("f", "t2", 200.0, duration_ms=50.0)
    assert strikes.remaining_ms("f", 200.0) == quarantine.QUARANTINE_MS


def test_answer_clears_the_strikes():
    """Guards against refusing a request that others have answered since."""
    strikes = quarantine.Quarantine()
    strikes.record_crash("f", "t1", 100.0, duration_ms=5.0)
    strikes.clear("f")
    strikes.record_crash("f", "t2", 200.0, duration_ms=5.0)
    assert not strikes.remaining_ms("f", 200.0)


def test_shared_strikes_are_in_force_at_the_receiver():
    """Guards against a new peer that takes two strikes for one."""
    sender, receiver = quarantine.Quarantine(), quarantine.Quarantine()
    sender.record_crash("f", "t1", 100.0)
    sender.record_crash("f", "t2", 200.0)
    for key, target_id, age_ms in sender.crashes(1000.0):
        receiver.record_crash(key, target_id, 5000.0, age_ms=age_ms)
    assert receiver.remaining_ms("f", 5000.0) == (
        sender.remaining_ms("f", 1000.0)
    )
