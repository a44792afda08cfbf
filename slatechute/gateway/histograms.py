"""Quantiles of values that are recorded over time."""

import math

__all__ = ["DecayingHistogram"]


class DecayingHistogram:
    """Histogram with logarithmic buckets in which old samples lose weight.

    Values outside of its range count as the lowest or the highest one.

    Args:
        lowest: Lower end of the range, above 0.
        highest: Upper end of the range, a power of two times the lower one.
        buckets_per_octave: Number of buckets for each factor of two.
        max_weight: All weights are halved when the samples reach this total.

    Attributes:
        samples: Number of samples so far.

    >>> histogram = DecayingHistogram(1.0, 16.0, 1, 100)
    >>> for value in (3.0, 3.0, 3.0, 9.0):
    ...     histogram.add(value)
    >>> histogram.quantile_bounds(0.5), histogram.quantile_bounds(0.9)
    ((2.0, 4.0), (8.0, 16.0))
    """

    def __init__(
        self,
        lowest: float,
        highest: float,
        buckets_per_octave: int,
        max_weight: float,
    ):
        self.samples = 0
        self._lowest = lowest
        self._highest = highest
        self._buckets_per_octave = buckets_per_octave
        self._max_weight = max_weight
        count = round(math.log2(highest / lowest)) * buckets_per_octave
        self._weights = [0.0] * count
        self._total = 0.0

    def add(self, value: float) -> None:
        """Add a sample."""
        self._weights[self._index(value)] += 1
        self._total += 1
        self.samples += 1
        if self._total >= self._max_weight:
            self._weights = [weight / 2 for weight in self._weights]
            self._total /= 2

    def quantile_bounds(self, share: float) -> tuple[float, float]:
        """Return the bounds of the bucket with a quantile."""
        left = share * self._total
        for index, weight in enumerate(self._weights):
            left -= weight
            if left <= 0:
                return self._edge(index), self._edge(index + 1)
        return self._highest, self._highest

    def _index(self, value: float) -> int:
        clipped = min(self._highest, max(self._lowest, value))
        octaves = math.log2(clipped / self._lowest)
        index = int(octaves * self._buckets_per_octave)
        return min(len(self._weights) - 1, index)

    def _edge(self, index: int) -> float:
        return self._lowest * 2 ** (index / self._buckets_per_octave)
