"""Budgets that limit retries and hedges."""

__all__ = ["RatioBudget"]


class RatioBudget:
    """Token bucket that allows actions in a ratio to recent requests.

    Each request adds `ratio` tokens and each action consumes one. The bucket
    holds at most the tokens of `window` requests, because tokens saved up
    before a fault would let retries exceed the ratio during the fault.
    `initial` tokens allow retries of the first requests.

    >>> budget = RatioBudget(0.5, initial=0)
    >>> budget.try_consume()
    False
    >>> budget.record_request(); budget.record_request()
    >>> budget.try_consume(), budget.try_consume()
    (True, False)
    """

    def __init__(self, ratio: float, *, window: int = 30, initial: int = 3):
        self.ratio = ratio
        self._window = window
        self._initial = initial
        self._tokens = float(initial)

    def _limit(self) -> float:
        return max(self._initial, self.ratio * self._window)

    def record_request(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._limit(), self._tokens + self.ratio)

    def has_token(self, *, reserve: float = 0.0) -> bool:
        """Return whether `try_consume` would succeed and leave a reserve.

        A bucket that cannot hold the reserve and a token must be full.
        """
        needed = max(1.0, min(1 + reserve, self._limit()))
        return self.ratio > 0 and self._tokens >= needed

    def try_consume(self) -> bool:
        """Consume a token if there is one; return whether there was."""
        if not self.has_token():
            return False
        self._tokens -= 1
        return True
