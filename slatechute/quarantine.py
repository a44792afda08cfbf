"""Requests that crash the targets that run them."""

import dataclasses
import math

import xxhash

__all__ = ["MAX_TARGETS", "QUARANTINE_MS", "Quarantine", "fingerprint"]

MAX_TARGETS = 2
QUARANTINE_MS = 60_000
_MAX_FINGERPRINTS = 10_000


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the same text for the same request, whoever sends it."""
    digest = xxhash.xxh3_128(f"{service}\x00{method}\x00{path}\x00".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True)
class _Strikes:
    target_ids: set[str]
    until_ms: float
    last_ms: float


class Quarantine:
    """Counts targets that died under a request, by its fingerprint.

    A rack that fails takes down several targets that run the same popular
    request. So a further target only counts when the exchange with it began
    after the last strike, and an answer to the request clears its strikes.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash("f", "t1", now_ms=0)
    >>> quarantine.remaining_ms("f", now_ms=1)
    0.0
    >>> quarantine.record_crash("f", "t2", now_ms=10.0, duration_ms=5.0)
    >>> quarantine.remaining_ms("f", now_ms=10.0)
    60000.0
    """

    def __init__(self):
        self._strikes_by_fingerprint: dict[str, _Strikes] = {}

    def record_crash(
        self,
        key: str,
        target_id: str,
        now_ms: float,
        *,
        age_ms: float = 0.0,
        duration_ms: float = 0.0,
    ) -> None:
        """Record that a target died while it ran the request.

        Args:
            key: Fingerprint of the request.
            target_id: The target.
            now_ms: Current time.
            age_ms: How long ago that was.
            duration_ms: How long the exchange had lasted then.
        """
        self._drop_expired(now_ms)
        struck_ms = now_ms - max(0.0, age_ms)
        strikes = self._strikes_by_fingerprint.pop(key, None)
        if strikes is None or strikes.until_ms <= now_ms:
            strikes = _Strikes(set(), 0.0, -math.inf)
        if struck_ms - duration_ms > strikes.last_ms:
            strikes.target_ids.add(target_id)
            strikes.last_ms = struck_ms
        until_ms = strikes.last_ms + QUARANTINE_MS
        strikes.until_ms = max(strikes.until_ms, until_ms)
        self._strikes_by_fingerprint[key] = strikes
        if len(self._strikes_by_fingerprint) > _MAX_FINGERPRINTS:
            oldest = next(iter(self._strikes_by_fingerprint))
            del self._strikes_by_fingerprint[oldest]

    def _drop_expired(self, now_ms: float) -> None:
        while self._strikes_by_fingerprint:
            key, strikes = next(iter(self._strikes_by_fingerprint.items()))
            if strikes.until_ms > now_ms:
                return
            del self._strikes_by_fingerprint[key]

    def crashes(self, now_ms: float) -> list[tuple[str, str, float]]:
        """Return fingerprint, target and age in ms of all strikes in force.

        The ages of one request differ by 1 ms, so that the receiver takes each
        strike for a later one.
        """
        self._drop_expired(now_ms)
        return [
            (key, target_id, now_ms - strikes.last_ms + further)
            for key, strikes in self._strikes_by_fingerprint.items()
            for further, target_id in reversed(
                list(enumerate(sorted(strikes.target_ids)))
            )
        ]

    def clear(self, key: str) -> None:
        """Forget the strikes of a request that a target has answered."""
        self._strikes_by_fingerprint.pop(key, None)

    def remaining_ms(self, key: str, now_ms: float) -> float:
        """Return how long the request stays refused, 0 when it is not."""
        strikes = self._strikes_by_fingerprint.get(key)
        if strikes is None or len(strikes.target_ids) < MAX_TARGETS:
            return 0.0
        return max(0.0, strikes.until_ms - now_ms)

    @property
    def is_empty(self) -> bool:
        """Whether there is no strike, so that no fingerprint is needed."""
        return not self._strikes_by_fingerprint
