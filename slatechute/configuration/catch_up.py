"""Wait for the documents of peers after a process start or a pause."""

from collections.abc import Iterable

__all__ = ["CatchUp"]


class CatchUp:
    """Tracks which peers have announced their active documents.

    Attributes:
        is_active: Whether this entry may have outdated documents and waits for
            the announcements of its peers.
    """

    def __init__(self):
        self.is_active = False
        self._announced_by: set[str] = set()
        self._started_ms = 0.0
        self._timeout_ms = 0.0

    def begin(self, now_ms: float, timeout_ms: float) -> None:
        """Start to wait for peers, for at most `timeout_ms`."""
        self.is_active = True
        self._started_ms = now_ms
        self._timeout_ms = timeout_ms

    def clear_announcements(self) -> None:
        """Discard all announcements, since a pause may have outdated them."""
        self._announced_by.clear()

    def record_announcement(self, peer_id: str) -> None:
        """Record that a peer has announced its documents."""
        self._announced_by.add(peer_id)

    def discard_announcement(self, peer_id: str) -> None:
        """Discard the announcement of a peer whose link was lost.

        The announcement may have been sent long before it was read, and the
        fetch that it triggered fails with the link.
        """
        self._announced_by.discard(peer_id)

    def poll(
        self, peers: Iterable[str], *, is_fetching: bool, now_ms: float
    ) -> bool:
        """Return whether the wait has ended with this call.

        Args:
            peers: Peers whose announcement is needed, including those without
                a link, which may reconnect.
            is_fetching: Whether announced documents are still being fetched.
            now_ms: Current time.
        """
        if not self.is_active:
            return False
        # Announcements that arrived before `begin` are read in the same
        # iteration of the event loop and do not show the state after it.
        is_announced = (
            now_ms > self._started_ms and self._announced_by.issuperset(peers)
        )
        is_expired = now_ms >= self._started_ms + self._timeout_ms
        if (is_announced and not is_fetching) or is_expired:
            self.is_active = False
            return True
        return False
