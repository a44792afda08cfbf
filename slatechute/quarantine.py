"""Quarantine of requests that crash the targets that run them."""

import dataclasses
import math

import xxhash

__all__ = ["MAX_CRASHED_TARGETS", "QUARANTINE_MS", "Quarantine", "fingerprint"]

MAX_CRASHED_TARGETS = 2
QUARANTINE_MS = 60_000
_MAX_FINGERPRINTS = 10_000


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request, independent of its sender."""
    digest = xxhash.xxh3_128(f"{service}\x00{method}\x00{path}\x00".encode())
    digest.update(body)
    return digest.hexdigest()


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    target_ids: set[str]
    until_ms: float
    last_crash_ms: float


class Quarantine:
    """Records the targets that crashed while they ran a request.

    Requests are identified by their fingerprint. After `MAX_CRASHED_TARGETS`
    crashes a request is refused for `QUARANTINE_MS`.

    The failure of a rack stops several targets that run the same frequent
    request. Therefore a further target only counts if its exchange began after
    the last recorded crash, and a response to the request clears its record.

    >>> quarantine = Quarantine()
    >>> quarantine.record_crash("f", "t1", now_ms=0)
    >>> quarantine.remaining_ms("f", now_ms=1)
    0.0
    >>> quarantine.record_crash("f", "t2", now_ms=10.0, duration_ms=5.0)
    >>> quarantine.remaining_ms("f", now_ms=10.0)
    60000.0
    """

    def __init__(self):
        self._record_by_fingerprint: dict[str, _CrashRecord] = {}

    def record_crash(
        self,
        key: str,
        target_id: str,
        now_ms: float,
        *,
        age_ms: float = 0.0,
        duration_ms: float = 0.0,
    ) -> None:
        """Record that a target crashed while it ran the request.

        Args:
            key: Fingerprint of the request.
            target_id: The target.
            now_ms: Current time.
            age_ms: Time since the crash.
            duration_ms: Duration of the exchange until the crash.
        """
        self._drop_expired(now_ms)
        crashed_ms = now_ms - max(0.0, age_ms)
        record = self._record_by_fingerprint.pop(key, None)
        if record is None or record.until_ms <= now_ms:
            record = _CrashRecord(set(), 0.0, -math.inf)
        if crashed_ms - duration_ms > record.last_crash_ms:
            record.target_ids.add(target_id)
            record.last_crash_ms = crashed_ms
        until_ms = record.last_crash_ms + QUARANTINE_MS
        record.until_ms = max(record.until_ms, until_ms)
        self._record_by_fingerprint[key] = record
        if len(self._record_by_fingerprint) > _MAX_FINGERPRINTS:
            oldest = next(iter(self._record_by_fingerprint))
            del self._record_by_fingerprint[oldest]

    def _drop_expired(self, now_ms: float) -> None:
        while self._record_by_fingerprint:
            key, record = next(iter(self._record_by_fingerprint.items()))
            if record.until_ms > now_ms:
                return
            del self._record_by_fingerprint[key]

    def crashes(self, now_ms: float) -> list[tuple[str, str, float]]:
        """Return fingerprint, target and age in ms of all recorded crashes.

        The ages of the crashes of one request differ by 1 ms, so that the
        receiver counts each of them.
        """
        self._drop_expired(now_ms)
        return [
            (key, target_id, now_ms - record.last_crash_ms + offset_ms)
            for key, record in self._record_by_fingerprint.items()
            for offset_ms, target_id in reversed(
                list(enumerate(sorted(record.target_ids)))
            )
        ]

    def withdraw_crash(self, key: str, target_id: str) -> None:
        """Remove a recorded crash, as the target turned out to be alive."""
        record = self._record_by_fingerprint.get(key)
        if record is not None:
            record.target_ids.discard(target_id)
            if not record.target_ids:
                del self._record_by_fingerprint[key]

    def clear(self, key: str) -> None:
        """Remove the crash record of a request that a target has answered."""
        self._record_by_fingerprint.pop(key, None)

    def remaining_ms(self, key: str, now_ms: float) -> float:
        """Return how long the request stays refused, or 0 if it is not."""
        record = self._record_by_fingerprint.get(key)
        if record is None or len(record.target_ids) < MAX_CRASHED_TARGETS:
            return 0.0
        return max(0.0, record.until_ms - now_ms)

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded, so that no fingerprint is needed."""
        return not self._record_by_fingerprint
