"""What an entry believes of its path to a target.

A host may lose its path to some targets, or to all, while its callers and its
peers still reach it. This belief is kept apart from what the target is like.

The module does no I/O and reads no clock.
"""

import math

__all__ = ["TargetPath"]

# A response that a peer has got is reported with a delay, so that it may seem
# to be younger than a failure that came after it.
_MAX_REPORT_DELAY_MS = 50.0


class TargetPath:
    """The path of this entry to one target.

    Attributes:
        failed_ms: Clock time at which the last failed connect began, or -inf if
            a later one has succeeded.
        heard_ms: Clock time of the last response of the target to a peer.
    """

    __slots__ = ("failed_ms", "heard_ms")

    def __init__(self):
        self.failed_ms = -math.inf
        self.heard_ms = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the last connect failed."""
        return self.failed_ms > -math.inf

    def is_heard_after(self, time_ms: float) -> bool:
        """Return whether a peer has certainly heard the target after a time."""
        return self.heard_ms > time_ms + _MAX_REPORT_DELAY_MS

    def restore(self) -> None:
        """Note that a connection was opened."""
        self.failed_ms = -math.inf
