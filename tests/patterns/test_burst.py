"""A burst of some seconds with more requests than targets can answer."""

from slatechute.benches import patterns


def _rate_per_s(now_ms: float) -> float:
    return 468.0 if 2_000 < now_ms < 7_000 else 260.0


_BURST = patterns.Pattern(rate_per_s=_rate_per_s, duration_ms=9_000.0)


def test_burst_does_not_make_all_requests_late():
    """Queueing for as long as the objective makes all responses late.

    Hosts of this pattern answer about 250 requests per second in time, half of
    the rate of the burst.
    """
    for seed in (1, 2, 3):
        assert patterns.run(_BURST, seed).worst_window_share > 0.25


def test_callers_are_refused_without_a_long_wait():
    """A caller that is refused after a long wait has no time to retry."""
    for seed in (1, 2, 3):
        result = patterns.run(_BURST, seed)
        assert result.refused_after_wait <= result.requests * 0.005
