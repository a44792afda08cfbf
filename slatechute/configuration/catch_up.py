"""Waiting for the documents of peers after a start or a pause."""

from collections.abc import Iterable

__all__ = ["CatchUp"]


class CatchUp:
    """Keeps the peers that have told what is in force.

    Attributes:
        is_active: Whether this entry may have outdated documents.
    """

    def __init__(self):
        self.is_active = False
        self._heard: set[str] = set()
        self._began_ms = 0.0
        self._limit_ms = 0.0

    def begin(self, now_ms: float, limit_ms: float) -> None:
        """Wait for peers for at most `limit_ms`."""
        self.is_active = True
        self._began_ms = now_ms
        self._limit_ms = limit_ms

    def clear_announcements(self) -> None:
        """Doubt what the peers told before a pause."""
        self._heard.clear()

    def record_announcement(self, peer_id: str) -> None:
        """Take note that a peer has announced its documents."""
        self._heard.add(peer_id)

    def discard_announcement(self, peer_id: str) -> None:
        """Take back what a peer announced over a link that is lost.

        It may have been sent long before it was read, and what was fetched
        because of it is lost with the link.
        """
        self._heard.discard(peer_id)

    def poll(
        self, peers: Iterable[str], *, is_fetching: bool, now_ms: float
    ) -> bool:
        """Return whether the wait has ended with this call.

        Args:
            peers: Peers to hear from; one without a link may come back.
            is_fetching: Whether announced documents are still on their way.
            now_ms: Current time.
        """
        if not self.is_active:
            return False
        # What had arrived before `begin` is read in the same turn of the loop;
        # it says nothing about the time after it.
        is_heard = now_ms > self._began_ms and self._heard.issuperset(peers)
        is_late = now_ms >= self._began_ms + self._limit_ms
        if (is_heard and not is_fetching) or is_late:
            self.is_active = False
            return True
        return False
