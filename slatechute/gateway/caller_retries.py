"""Recognition of callers that try again after a refusal or a failure.

The objective of a request counts from the first attempt of its caller, so an
entry has to know whether a request is a retry and when the first attempt was.
Each attempt has an id of its own, and callers differ in how long they wait, so
neither the id nor the deadline alone shows it.

The module does no I/O and reads no clock.
"""

import collections
import dataclasses

from slatechute.gateway import histograms

__all__ = [
    "CallerRetries",
    "FailedAttempt",
]

# Deadlines of two attempts of a caller, as clock times, differ by the network
# delays only. Other callers have the same request and deadline only by chance.
_MAX_DEADLINE_DIFFERENCE_MS = 25.0
_MAX_ATTEMPTS_KEPT = 8_192
# A deadline below this quantile of the first attempts of its route is that of a
# later attempt.
_SHORTEST_QUANTILE = 0.05
_MIN_SAMPLES = 40
_REFRESH_SAMPLES = 16
# Weight of about the last 500 requests of a route.
_MAX_WEIGHT = 512.0
_LOWEST_DEADLINE_MS = 1.0
_HIGHEST_DEADLINE_MS = 2.0**20
# Buckets of 2.2% width.
_BUCKETS_PER_OCTAVE = 32


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt of a caller that it may repeat.

    Attributes:
        key: Fingerprint of the request.
        first_ms: Clock time of the first attempt of the caller.
        deadline_ms: Clock time by which the caller needs a response.
    """

    key: str
    first_ms: float
    deadline_ms: float


class _FirstDeadlines:
    """Times that callers of a route allow for their first attempts.

    Attributes:
        shortest_ms: Hardly any of them is shorter, 0 if that is not known yet.
        usual_ms: Median of them.
    """

    def __init__(self):
        self.shortest_ms = 0.0
        self.usual_ms = 0.0
        self._histogram = histograms.DecayingHistogram(
            _LOWEST_DEADLINE_MS,
            _HIGHEST_DEADLINE_MS,
            _BUCKETS_PER_OCTAVE,
            _MAX_WEIGHT,
        )

    def add(self, allowed_ms: float) -> None:
        """Add the time that a caller allows."""
        self._histogram.add(allowed_ms)
        samples = self._histogram.samples
        if samples >= _MIN_SAMPLES and samples % _REFRESH_SAMPLES == 0:
            shortest = self._histogram.quantile_bounds(_SHORTEST_QUANTILE)
            self.shortest_ms = shortest[0]
            self.usual_ms = self._histogram.quantile_bounds(0.5)[0]


class CallerRetries:
    """Recent failed attempts of callers, and how long callers usually wait."""

    def __init__(self):
        self._deadlines_by_route: dict[tuple[str, str], _FirstDeadlines] = {}
        self._attempts_by_key: dict[str, list[FailedAttempt]] = {}
        self._oldest_first: collections.deque[FailedAttempt] = (
            collections.deque()
        )

    def record(self, attempt: FailedAttempt, now_ms: float) -> None:
        """Record an attempt that has failed here or at a peer."""
        self._drop_expired(now_ms)
        if attempt.deadline_ms <= now_ms:
            return
        self._attempts_by_key.setdefault(attempt.key, []).append(attempt)
        self._oldest_first.append(attempt)
        if len(self._oldest_first) > _MAX_ATTEMPTS_KEPT:
            self._drop_oldest()

    def _drop_expired(self, now_ms: float) -> None:
        while self._oldest_first and self._oldest_first[0].deadline_ms < now_ms:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        attempt = self._oldest_first.popleft()
        attempts = self._attempts_by_key[attempt.key]
        attempts.remove(attempt)
        if not attempts:
            del self._attempts_by_key[attempt.key]

    def first_ms(self, key: str, deadline_ms: float) -> float | None:
        """Return when the first attempt of a caller was, None if unknown.

        Args:
            key: Fingerprint of the request.
            deadline_ms: Clock time by which the caller needs a response.
        """
        return min(
            (
                attempt.first_ms
                for attempt in self._attempts_by_key.get(key, ())
                if abs(attempt.deadline_ms - deadline_ms)
                <= _MAX_DEADLINE_DIFFERENCE_MS
            ),
            default=None,
        )

    def record_first(self, route: tuple[str, str], allowed_ms: float) -> None:
        """Record the time that a caller allows for its first attempt."""
        deadlines = self._deadlines_by_route.get(route)
        if deadlines is None:
            deadlines = self._deadlines_by_route[route] = _FirstDeadlines()
        deadlines.add(allowed_ms)

    def elapsed_ms(self, route: tuple[str, str], allowed_ms: float) -> float:
        """Return the time since the first attempt, as the deadline shows it.

        Args:
            route: Host and prefix of the route.
            allowed_ms: Time that the caller still allows.

        Returns:
            The time in ms, 0 for a first attempt.
        """
        deadlines = self._deadlines_by_route.get(route)
        if deadlines is None or (
            allowed_ms >= deadlines.shortest_ms - _MAX_DEADLINE_DIFFERENCE_MS
        ):
            return 0.0
        return deadlines.usual_ms - allowed_ms

    def retain_routes(self, routes: set[tuple[str, str]]) -> None:
        """Discard what is known of other routes."""
        for route in self._deadlines_by_route.keys() - routes:
            del self._deadlines_by_route[route]
