"""Queue of requests that wait for a slot."""

import dataclasses

import sortedcontainers

__all__ = ["PendingSlotRequest", "REMOTE_HANDICAP_MS", "SlotRequestQueue"]

REMOTE_HANDICAP_MS = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingSlotRequest:
    """A request that waits for a slot.

    Attributes:
        number: Number of the request, unique at the entry that accepted it.
        service: Service of the request.
        arrived_ms: Arrival time; for requests of peers it is computed from the
            age in the message.
        deadline_ms: Deadline of the request.
        bulk: Whether the response is large.
        excluded: Targets that must not receive the request.
        spare_only: Whether it only gets a slot that no other request waits for.
        origin: Peer that sent the request, empty for a local request.
        requested_from: Dispatchers that have received it in this round.
        extend_at_ms: Time at which it is sent to further dispatchers.
        request_rounds: How often it was sent to dispatchers.
    """

    number: int
    service: str
    arrived_ms: float
    deadline_ms: float
    bulk: bool = False
    excluded: frozenset[str] = frozenset()
    spare_only: bool = False
    origin: str = ""
    requested_from: list[str] = dataclasses.field(default_factory=list)
    extend_at_ms: float = 0.0
    request_rounds: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Key of the request, unique at this dispatcher."""
        return (self.origin, self.number)

    @property
    def counts_as_local(self) -> bool:
        """Whether it is a local request other than a hedge."""
        return not self.origin and not self.spare_only

    @property
    def sort_key(self) -> tuple[bool, float]:
        """Sort key of waiting requests, by arrival with hedges last.

        Local requests are preferred by `REMOTE_HANDICAP_MS`: they use a slot at
        once, while a grant to a peer takes two hops, during which the slot is
        idle.
        """
        handicap_ms = REMOTE_HANDICAP_MS if self.origin else 0.0
        return self.spare_only, self.arrived_ms + handicap_ms


def _sort_key(pending: PendingSlotRequest) -> tuple[bool, float]:
    return pending.sort_key


class SlotRequestQueue:
    """Waiting requests of one service, in the order of their sort keys.

    Attributes:
        pending: The waiting requests; read-only outside of this class.
        local_count: Number of waiting local requests, without hedges.
    """

    def __init__(self):
        self.pending = sortedcontainers.SortedKeyList(key=_sort_key)
        self.local_count = 0

    def __len__(self) -> int:
        return len(self.pending)

    def add(self, pending: PendingSlotRequest) -> None:
        """Add a request."""
        self.pending.add(pending)
        self.local_count += pending.counts_as_local

    def remove(self, pending: PendingSlotRequest) -> None:
        """Remove a request that is in the queue."""
        self.pending.remove(pending)
        self.local_count -= pending.counts_as_local

    def expired(self, now_ms: float) -> list[PendingSlotRequest]:
        """Return the requests whose deadline has passed."""
        return [item for item in self.pending if item.deadline_ms <= now_ms]

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return the age of the next request, or -1 if there is none.

        Hedges do not count.
        """
        if not self.pending or self.pending[0].spare_only:
            return -1.0
        return now_ms - self.pending[0].arrived_ms

    def next_local(self, target_id: str) -> PendingSlotRequest | None:
        """Return the next local request that can use a slot of a target."""
        if not self.local_count:
            return None
        for pending in self.pending:
            usable = not pending.bulk and target_id not in pending.excluded
            if pending.counts_as_local and usable:
                return pending
        return None
