"""Tests of the quarantine of requests that crash targets."""

from slatechute import quarantine


def test_targets_that_fail_together_count_once():
    """Guards against refusing a frequent request when a rack fails.

    All targets of the rack stop while they run this request.
    """
    records = quarantine.Quarantine()
    for number in range(6):
        records.record_crash(
            "f", f"t{number}", 100.0 + number, duration_ms=50.0
        )
    assert not records.remaining_ms("f", 110.0)


def test_crash_during_a_resend_counts():
    """Guards against a request that crashes one target after another."""
    records = quarantine.Quarantine()
    records.record_crash("f", "t1", 100.0, duration_ms=50.0)
    records.record_crash("f", "t2", 200.0, duration_ms=50.0)
    assert records.remaining_ms("f", 200.0) == quarantine.QUARANTINE_MS


def test_response_clears_the_crash_record():
    """Guards against refusing a request that a target has answered since."""
    records = quarantine.Quarantine()
    records.record_crash("f", "t1", 100.0, duration_ms=5.0)
    records.clear("f")
    records.record_crash("f", "t2", 200.0, duration_ms=5.0)
    assert not records.remaining_ms("f", 200.0)


def test_crash_records_sent_to_a_peer_all_count():
    """Guards against a new peer that counts two crashes as one."""
    sender, receiver = quarantine.Quarantine(), quarantine.Quarantine()
    sender.record_crash("f", "t1", 100.0)
    sender.record_crash("f", "t2", 200.0)
    for key, target_id, age_ms in sender.crashes(1000.0):
        receiver.record_crash(key, target_id, 5000.0, age_ms=age_ms)
    assert receiver.remaining_ms("f", 5000.0) == (
        sender.remaining_ms("f", 1000.0)
    )


def test_withdrawn_crash_does_not_count():
    """Guards against refusing a request for a target that is alive."""
    records = quarantine.Quarantine()
    records.record_crash("f", "t1", 100.0)
    records.record_crash("f", "t2", 200.0)
    records.withdraw_crash("f", "t1")
    assert not records.remaining_ms("f", 200.0)
    records.withdraw_crash("f", "t2")
    records.withdraw_crash("unknown", "t2")
    assert records.is_empty
