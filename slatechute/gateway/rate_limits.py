"""Tokens by which entries share the rate limit of a target.

A target may announce how many requests a second it takes from all entries
together. One entry, the *allocator* of the target, hands out that many tokens a
second to the entries that ask for some, and a request to the target uses one.
Equal fixed shares were weighed: they round small limits up to one request of
each entry at once, and leave the target idle where the callers of a few entries
need it.

The module does no I/O and reads no clock.
"""

import collections
import dataclasses
import math

__all__ = ["SupplyTimes", "TokenAllocator", "TokenSupply"]

# A token that is used later adds to the requests of a later second.
_TOKEN_LIFETIME_MS = 400.0
# Several round trips between data centres. Without an answer by then, an entry
# asks for tokens elsewhere.
_REQUEST_TIMEOUT_MS = 100.0
# An entry that was denied a token does not ask this allocator again until then.
_DENIAL_MS = 100.0
# For this long after a denial, requests are expected to have to wait.
_SCARCE_MS = 200.0
# Tokens that accumulate while no entry asks, as seconds of the limit. One more
# lets a rare request pass at any limit.
_BURST_S = 0.25
# The same for a cold target. Any second may see the tokens of that second, of
# the token lifetime before it and this burst, which is 1.5 times the limit.
_COLD_BURST_S = 0.1
# A target that names a limit near zero must get requests now and then, because
# only its responses show the end of the limit.
_MIN_LIMIT_PER_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class SupplyTimes:
    """Times of a token supply.

    Attributes:
        token_lifetime_ms: Time within which a token must be used.
        request_timeout_ms: Time without an answer after which tokens count as
            denied.
        denial_ms: Time after a denial in which the entry does not ask again.
    """

    token_lifetime_ms: float = _TOKEN_LIFETIME_MS
    request_timeout_ms: float = _REQUEST_TIMEOUT_MS
    denial_ms: float = _DENIAL_MS


class TokenSupply:
    """Tokens at one entry, of one target or of the retries of one service.

    Args:
        times: By default, those of the tokens of a target.
    """

    def __init__(self, times: SupplyTimes = SupplyTimes()):
        self._times = times
        self._expiry_ms: collections.deque[float] = collections.deque()
        self._pending = 0
        self._requested_ms = -math.inf
        self._denied_ms = -math.inf

    def add(self, count: int, now_ms: float) -> None:
        """Add granted tokens."""
        self._expiry_ms.extend([now_ms + self._times.token_lifetime_ms] * count)
        self._pending = max(0, self._pending - count)

    def has_token(self, now_ms: float) -> bool:
        """Return whether a request may be sent."""
        while self._expiry_ms and self._expiry_ms[0] <= now_ms:
            self._expiry_ms.popleft()
        return bool(self._expiry_ms)

    def take(self) -> None:
        """Use a token, if there is one."""
        if self._expiry_ms:
            self._expiry_ms.popleft()

    def request(self, count: int, now_ms: float) -> None:
        """Record that tokens are asked for."""
        self._denied_ms = now_ms - self._denial_age_ms(now_ms)
        self._pending = count
        self._requested_ms = now_ms

    def deny(self, now_ms: float) -> None:
        """Record that the allocator has no token for now."""
        self._pending = 0
        self._denied_ms = now_ms

    def pending(self, now_ms: float) -> int:
        """Return how many tokens may still arrive."""
        return 0 if self._is_overdue(now_ms) else self._pending

    def _is_overdue(self, now_ms: float) -> bool:
        timeout_ms = self._times.request_timeout_ms
        return self._pending > 0 and now_ms - self._requested_ms > timeout_ms

    def _denial_age_ms(self, now_ms: float) -> float:
        """Return the age of the last denial, or of the end of a request."""
        denied_ms = self._denied_ms
        if self._is_overdue(now_ms):
            timeout_ms = self._times.request_timeout_ms
            denied_ms = max(denied_ms, self._requested_ms + timeout_ms)
        return now_ms - denied_ms

    def is_denied(self, now_ms: float) -> bool:
        """Return whether tokens were denied too recently to ask again."""
        return self._denial_age_ms(now_ms) < self._times.denial_ms

    def may_request(self, now_ms: float, *, min_denial_ms: float = 0.0) -> bool:
        """Return whether to ask for tokens.

        Args:
            now_ms: Current time.
            min_denial_ms: Shortest time after a denial, if it is longer than
                that of the supply.
        """
        return (
            not self.pending(now_ms)
            and not self.is_denied(now_ms)
            and self._denial_age_ms(now_ms) >= min_denial_ms
        )

    def is_scarce(self, now_ms: float) -> bool:
        """Return whether a request that needs a token has to wait for it."""
        return self._denial_age_ms(now_ms) < _SCARCE_MS


class TokenAllocator:
    """Hands out the tokens of one target.

    It starts without tokens, as another entry may just have handed out some.
    Entries that are denied a token ask again; to keep their requests until
    there are tokens was weighed, but an entry that has asked several targets
    then gets more tokens than it can use.
    """

    def __init__(self, now_ms: float):
        self._level = 0.0
        self._refilled_ms = now_ms

    def take(
        self,
        count: int,
        limit_per_s: float,
        now_ms: float,
        *,
        is_cold: bool = False,
    ) -> int:
        """Return how many tokens an entry gets, up to a count.

        Args:
            count: Number of tokens that the entry asks for.
            limit_per_s: Current limit of the target.
            now_ms: Current time.
            is_cold: Whether the limit is that of a cold target, which holds in
                any second. It is not raised, as it ends without requests.
        """
        burst_s = _COLD_BURST_S if is_cold else _BURST_S
        if not is_cold:
            limit_per_s = max(_MIN_LIMIT_PER_S, limit_per_s)
        elapsed_s = (now_ms - self._refilled_ms) / 1000
        self._refilled_ms = now_ms
        self._level = min(
            1 + limit_per_s * burst_s, self._level + limit_per_s * elapsed_s
        )
        granted = min(count, int(self._level))
        self._level -= granted
        return granted
