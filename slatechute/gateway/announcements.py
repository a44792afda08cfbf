"""What targets announce about themselves in their responses.

The module does no I/O and reads no clock.
"""

from slatechute import logs
from slatechute.gateway import dialects

__all__ = ["AnnouncedState"]

_LOG = logs.get_logger(__name__)

# Two entries that are turned away learn ends of the same pause that differ by
# the time of their responses.
_SAME_PAUSE_MS = 500.0


class AnnouncedState:
    """What one target has announced, as far as this entry knows.

    Attributes:
        rate_limit_per_s: Requests a second that the target takes from all
            entries together, or None without a limit.
        observed_ms: Clock time of the response with the announcement.
        paused_until_ms: Clock time until which the target wants no request
            from this entry.
        avoided_until_ms: Clock time until which the target wants no request
            from some other entry.
        is_leaving: Whether the target takes no new requests any more. A target
            does not return from this: a new start has another registration.
    """

    def __init__(self, target_id: str):
        self.rate_limit_per_s: float | None = None
        self.observed_ms = float("-inf")
        self.paused_until_ms = float("-inf")
        self.avoided_until_ms = float("-inf")
        self.is_leaving = False
        self._target_id = target_id
        self._logged_invalid: set[str] = set()

    def observe(
        self,
        announcement: dialects.Announcement,
        now_ms: float,
        *,
        is_conclusive: bool,
    ) -> bool:
        """Update the state with a response of the target.

        Args:
            announcement: Announcement in the response.
            now_ms: Current time.
            is_conclusive: Whether a limit that the response does not name has
                ended. Probes and refusals need not name it.

        Returns:
            Whether there is news for the peers: a limit begins or ends, a pause
            begins that they may not know, or the target leaves. Other values of
            a limit go with the requests for tokens.
        """
        for name in set(announcement.invalid) - self._logged_invalid:
            self._logged_invalid.add(name)
            _LOG.warning(
                "announcement_invalid", target=self._target_id, header=name
            )
        has_news = False
        if announcement.pause_ms is not None:
            has_news = self._pause(announcement.pause_ms, now_ms)
        if announcement.is_leaving:
            has_news |= self.adopt_leaving("target")
        limit_per_s = announcement.rate_limit_per_s
        if limit_per_s is None and (announcement.invalid or not is_conclusive):
            return has_news
        return self.adopt_rate_limit(limit_per_s, now_ms, "target") or has_news

    def _pause(self, pause_ms: float, now_ms: float) -> bool:
        until_ms = now_ms + pause_ms
        if until_ms <= self.paused_until_ms:
            return False
        is_known = until_ms <= self.avoided_until_ms + _SAME_PAUSE_MS
        _LOG.notice(
            "target_pause_announced", target=self._target_id, pause_ms=pause_ms
        )
        self.paused_until_ms = until_ms
        return not is_known

    def adopt_pause(self, pause_ms: float, now_ms: float) -> None:
        """Adopt that the target wants no request of a peer for some time.

        It has not said so to this entry, which therefore only avoids it.
        """
        self.avoided_until_ms = max(self.avoided_until_ms, now_ms + pause_ms)

    def adopt_leaving(self, source: str) -> bool:
        """Adopt that the target leaves, and return whether this is new.

        Args:
            source: Where the news comes from, for the log.
        """
        if self.is_leaving:
            return False
        self.is_leaving = True
        _LOG.notice(
            "target_leaving_announced", target=self._target_id, source=source
        )
        return True

    def adopt_rate_limit(
        self, limit_per_s: float | None, observed_ms: float, source: str
    ) -> bool:
        """Adopt a limit unless a newer response is known.

        Args:
            limit_per_s: The limit, or None if the target has none.
            observed_ms: Clock time of the response of the target.
            source: Where the news comes from, for the log.

        Returns:
            Whether a limit begins or ends.
        """
        if observed_ms < self.observed_ms:
            return False
        self.observed_ms = observed_ms
        if limit_per_s == self.rate_limit_per_s:
            return False
        _LOG.notice(
            "target_rate_limit_changed",
            target=self._target_id,
            limit_per_s=limit_per_s,
            replaced_per_s=self.rate_limit_per_s,
            source=source,
        )
        replaced_per_s, self.rate_limit_per_s = (
            self.rate_limit_per_s,
            limit_per_s,
        )
        return (limit_per_s is None) != (replaced_per_s is None)
