"""Recent service times, for medians and hedging delays."""

import collections

__all__ = ["ServiceTimes"]

_MAX_SAMPLES = 128
_REFRESH_INTERVAL_SAMPLES = 16


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
            maxlen=_MAX_SAMPLES
        )
        self._added_count = 0
        self.median_ms = initial_ms
        self.p95_ms = initial_ms * 10

    def add(self, service_ms: float) -> None:
        """Record the duration of a successful exchange.

        The quantiles are updated every `_REFRESH_INTERVAL_SAMPLES` samples.
        """
        self._samples.append(service_ms)
        self._added_count += 1
        if self._added_count % _REFRESH_INTERVAL_SAMPLES == 0:
            ordered = sorted(self._samples)
            self.median_ms = ordered[len(ordered) // 2]
            self.p95_ms = ordered[int(len(ordered) * 0.95)]
