"""What an entry believes of its path to a target.

A host may lose its path to some targets, or to all, while its callers and its
peers still reach it. This belief is kept apart from what the target is like, so
that a lost path does not count as failures of the target.

The module does no I/O and reads no clock.
"""

import math

__all__ = ["TargetPath"]

# Bounds of the interval between two trials of a lost path.
_MIN_TRIAL_INTERVAL_MS = 250.0
_MAX_TRIAL_INTERVAL_MS = 2_000.0
# A response that a peer has got is reported with a delay, so that it may seem
# to be younger than a failure that came after it.
_MAX_REPORT_DELAY_MS = 50.0
# A target that answers a peer later than this after a failure may have been
# down meanwhile.
_MAX_EVIDENCE_AGE_MS = 1_000.0


class TargetPath:
    """The path of this entry to one target.

    Attributes:
        is_lost: Whether connections cannot be opened, although the target
            answers others.
        is_blocked: Whether the path is lost and no peer has one, so that no
            request can be sent to the target.
        failed_ms: Clock time at which the last failed connect began, or -inf if
            a later one has succeeded.
        answered_peer_ms: Clock time of the last response to a peer.
        trial_due_ms: Clock time at which a lost path is tried again.
    """

    __slots__ = (
        "_trial_interval_ms",
        "failed_ms",
        "answered_peer_ms",
        "is_blocked",
        "is_lost",
        "trial_due_ms",
    )

    def __init__(self):
        self.is_lost = False
        self.is_blocked = False
        self.failed_ms = -math.inf
        self.answered_peer_ms = -math.inf
        self.trial_due_ms = math.inf
        self._trial_interval_ms = _MIN_TRIAL_INTERVAL_MS

    @property
    def has_failed(self) -> bool:
        """Whether the last connect failed."""
        return self.failed_ms > -math.inf

    def has_answered_peer_after(self, time_ms: float) -> bool:
        """Return whether the target has answered a peer after a time."""
        return self.answered_peer_ms > time_ms + _MAX_REPORT_DELAY_MS

    def is_contradicted(self) -> bool:
        """Return whether the target answered a peer after a failed connect."""
        return (
            self.has_answered_peer_after(self.failed_ms)
            and self.answered_peer_ms < self.failed_ms + _MAX_EVIDENCE_AGE_MS
        )

    def lose(self, now_ms: float) -> None:
        """Note that the path is lost."""
        self.is_lost = True
        self._trial_interval_ms = _MIN_TRIAL_INTERVAL_MS
        self.trial_due_ms = now_ms + _MIN_TRIAL_INTERVAL_MS

    def start_trial(self, now_ms: float) -> None:
        """Set the time of the next trial, as one begins."""
        self.trial_due_ms = now_ms + self._trial_interval_ms
        self._trial_interval_ms = min(
            _MAX_TRIAL_INTERVAL_MS, self._trial_interval_ms * 2
        )

    def restore(self) -> None:
        """Note that a connection was opened."""
        self.is_lost = self.is_blocked = False
        self.failed_ms = -math.inf
        self.trial_due_ms = math.inf
