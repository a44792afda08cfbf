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

__all__ = ["TokenAllocator", "TokenSupply"]

# A token that is used later adds to the requests of a later second.
_TOKEN_LIFETIME_MS = 400.0
# Several round trips between data centres. Until then an entry waits for the
# answer to a request for tokens; later it asks for them elsewhere, and the
# allocator forgets the request.
_REQUEST_LIFETIME_MS = 100.0
# An entry that was denied a token does not ask this allocator again until then.
_DENIAL_MS = 100.0
# For this long after a denial, requests are expected to have to wait.
_SCARCE_MS = 200.0
# Tokens that accumulate while no entry asks, as seconds of the limit. One more
# lets a rare request pass at any limit.
_BURST_S = 0.25
# A target that names a limit near zero must get requests now and then, because
# only its responses show the end of the limit.
_MIN_LIMIT_PER_S = 0.25


class TokenSupply:
    """Tokens of one target at one entry."""

    def __init__(self):
        self._expiry_ms: collections.deque[float] = collections.deque()
        self._pending = 0
        self._requested_ms = -math.inf
        self._denied_ms = -math.inf

    def add(self, count: int, now_ms: float) -> None:
        """Add granted tokens."""
        self._expiry_ms.extend([now_ms + _TOKEN_LIFETIME_MS] * count)
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
        self._pending = count
        self._requested_ms = now_ms

    def deny(self, now_ms: float) -> None:
        """Record that the allocator has no token for now."""
        self._pending = 0
        self._denied_ms = now_ms

    def pending(self, now_ms: float) -> int:
        """Return how many tokens may still arrive."""
        if self._pending and (
            now_ms - self._requested_ms > _REQUEST_LIFETIME_MS
        ):
            self.deny(now_ms)
        return self._pending

    def may_request(self, now_ms: float) -> bool:
        """Return whether to ask for tokens."""
        return (
            not self.pending(now_ms) and now_ms - self._denied_ms >= _DENIAL_MS
        )

    def is_scarce(self, now_ms: float) -> bool:
        """Return whether a request that needs a token has to wait for it."""
        self.pending(now_ms)
        return now_ms - self._denied_ms < _SCARCE_MS


@dataclasses.dataclass(slots=True)
class _Request:
    """Tokens that an entry has asked for."""

    count: int
    received_ms: float


class TokenAllocator:
    """Hands out the tokens of one target.

    It starts without tokens, as another entry may just have handed out some.
    """

    def __init__(self, now_ms: float):
        self._level = 0.0
        self._refilled_ms = now_ms
        # In the order in which the entries get their next token.
        self._request_by_entry: dict[str, _Request] = {}

    def request(self, entry_id: str, count: int, now_ms: float) -> None:
        """Ask for tokens, in place of those that the entry still waits for."""
        request = self._request_by_entry.get(entry_id)
        if request is None:
            self._request_by_entry[entry_id] = _Request(count, now_ms)
        else:
            request.count, request.received_ms = count, now_ms

    def allocate(self, limit_per_s: float, now_ms: float) -> dict[str, int]:
        """Return the tokens that entries get now, by entry id.

        Args:
            limit_per_s: Current limit of the target.
            now_ms: Current time.
        """
        limit_per_s = max(_MIN_LIMIT_PER_S, limit_per_s)
        elapsed_s = (now_ms - self._refilled_ms) / 1000
        self._refilled_ms = now_ms
        self._level = min(
            1 + limit_per_s * _BURST_S, self._level + limit_per_s * elapsed_s
        )
        for entry_id, request in list(self._request_by_entry.items()):
            if now_ms - request.received_ms > _REQUEST_LIFETIME_MS:
                del self._request_by_entry[entry_id]
        count_by_entry: dict[str, int] = {}
        while self._level >= 1 and self._request_by_entry:
            entry_id = next(iter(self._request_by_entry))
            request = self._request_by_entry.pop(entry_id)
            self._level -= 1
            count_by_entry[entry_id] = count_by_entry.get(entry_id, 0) + 1
            request.count -= 1
            if request.count > 0:
                self._request_by_entry[entry_id] = request
        return count_by_entry
