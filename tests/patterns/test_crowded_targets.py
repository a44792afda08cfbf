"""Targets that slow down when they are nearly full."""

from slatechute.benches import patterns

_SEEDS = (1, 2)


def test_full_targets_are_not_filled_to_the_last_slot():
    """With 6 of 6 slots occupied, all requests take 1.7 times as long."""
    pattern = patterns.Pattern(
        targets=15,
        slots=6,
        queue_limit=12,
        work_ms=81.0,
        slow_share=0.0,
        rate_per_s=lambda now_ms: 640.0,
        objective_ms=250.0,
        deadline_ms=1500.0,
        retries=2,
        duration_ms=6_000.0,
    )
    for seed in _SEEDS:
        assert patterns.run(pattern, seed).share_in_time > 0.97
