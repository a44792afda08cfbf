"""A third of the hosts take four times as long at any moment."""

from slatechute.benches import patterns


def test_moderate_load_is_answered_in_time():
    """Requests sent to slow hosts miss an objective of 200 ms."""
    pattern = patterns.Pattern(duration_ms=10_000.0)
    for seed in (1, 2):
        result = patterns.run(pattern, seed)
        assert result.share_in_time > 0.95
        assert result.refused == 0
