"""Budgets that bound retries, hedges and probes."""

__all__ = ["RateBudget", "RatioBudget"]


class RatioBudget:
    """Allow actions as a share of recent requests.

    Each request adds `ratio` tokens and each action takes one. The bucket holds
    at most the tokens of `window` requests: with more, the time before a fault
    saves up a burst, and retries exceed their share while it lasts. A few
    tokens at the start let the first requests be retried.

    >>> budget = RatioBudget(0.5, initial=0)
    >>> budget.take()
    False
    >>> budget.add(); budget.add()
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, ratio: float, *, window: int = 30, initial: int = 3):
        self.ratio = ratio
        self._window = window
        self._initial = initial
        self._tokens = float(initial)

    def add(self) -> None:
        """Count a request."""
        limit = max(self._initial, self.ratio * self._window)
        self._tokens = min(limit, self._tokens + self.ratio)

    def take(self) -> bool:
        """Use one token; return whether there was one."""
        if self.ratio <= 0 or self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RateBudget:
    """Allow actions at a rate; starts empty, so a restart gives no burst.

    >>> budget = RateBudget(per_s=2, now_ms=0)
    >>> budget.take(100), budget.take(500), budget.take(600)
    (False, True, False)
    """

    def __init__(self, per_s: float, now_ms: float, *, burst: float = 1.0):
        self.per_s = per_s
        self._burst = burst
        self._tokens = 0.0
        self._updated_ms = now_ms

    def take(self, now_ms: float) -> bool:
        """Use one token; return whether there was one."""
        elapsed_s = max(0.0, now_ms - self._updated_ms) / 1000
        self._updated_ms = now_ms
        self._tokens = min(self._burst, self._tokens + elapsed_s * self.per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
