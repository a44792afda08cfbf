"""Recent service times, the base of medians and hedging delays."""

import collections

__all__ = ["ServiceTimes"]

_SAMPLES = 128
_REFRESH = 16


class ServiceTimes:
    """Quantiles over the last exchanges of one service at this entry.

    >>> times = ServiceTimes()
    >>> for value in range(1, 33):
    ...     times.add(float(value))
    >>> times.median_ms, times.p95_ms
    (17.0, 31.0)
    """

    def __init__(self, initial_ms: float = 10.0):
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES
        )
        self._added = 0
        self.median_ms = initial_ms
        self.p95_ms = initial_ms * 10

    def add(self, service_ms: float) -> None:
        """Take in the time of a successful exchange."""
        self._samples.append(service_ms)
        self._added += 1
        if self._added % _REFRESH == 0:
            ordered = sorted(self._samples)
            self.median_ms = ordered[len(ordered) // 2]
            self.p95_ms = ordered[int(len(ordered) * 0.95)]
