"""More requests than the targets can answer, for some seconds."""

from slatechute.benches import patterns


def _rate(now_ms: float) -> float:
    return 468.0 if 2_000 < now_ms < 7_000 else 260.0


_BURST = patterns.Pattern(rate=_rate, length_ms=9_000.0)


def test_burst_does_not_make_all_requests_late():
    """A queue as long as the objective answers all requests just too late.

    Hosts of this pattern answer about 250 requests a second in time, half of
    what arrives in the burst.
    """
    for seed in (1, 2, 3):
        assert patterns.run(_BURST, seed).worst_window > 0.25


def test_refused_callers_are_not_held():
    """A caller that is refused late has no time left for another try."""
    for seed in (1, 2, 3):
        result = patterns.run(_BURST, seed)
        assert result.held <= result.asked * 0.005
