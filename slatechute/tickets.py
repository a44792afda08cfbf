"""Requests that wait for a slot, and the order in which they get one."""

import dataclasses

import sortedcontainers

__all__ = ["REMOTE_HANDICAP_MS", "PendingSlotRequest", "SlotRequestQueue"]

REMOTE_HANDICAP_MS = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingSlotRequest:
    """A request that wants a slot.

    Attributes:
        number: Number that is unique at the entry that accepted the request.
        service: Service of the request.
        arrived_ms: Arrival time, for remote ones estimated from their age.
        deadline_ms: When the request gives up.
        bulk: Whether the answer is large.
        excluded: Targets that must not get it.
        spare_only: Whether it only gets a slot that nothing else waits for.
        origin: Peer that asks, empty for this entry.
        asked: Dispatchers asked for it in this round.
        widen_ms: When further dispatchers are asked.
        asks: Times that dispatchers were asked.
    """

    number: int
    service: str
    arrived_ms: float
    deadline_ms: float
    bulk: bool = False
    excluded: frozenset[str] = frozenset()
    spare_only: bool = False
    origin: str = ""
    asked: list[str] = dataclasses.field(default_factory=list)
    widen_ms: float = 0.0
    asks: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """Key that is unique at this dispatcher."""
        return (self.origin, self.number)

    @property
    def counts_as_waiting(self) -> bool:
        """Whether it is a request of this entry that nothing else answers."""
        return not self.origin and not self.spare_only

    @property
    def order(self) -> tuple[bool, float]:
        """Sort key of waiting requests.

        A slot that goes to a request of the same entry is in use at once, while
        the grant to a peer takes two hops during which the slot is idle.
        """
        handicap_ms = REMOTE_HANDICAP_MS if self.origin else 0.0
        return self.spare_only, self.arrived_ms + handicap_ms


def _order(ticket: PendingSlotRequest) -> tuple[bool, float]:
    return ticket.order


class SlotRequestQueue:
    """Waiting requests of one service, by their order.

    Attributes:
        tickets: Read-only outside of this class.
        local_count: Requests of this entry that nothing else answers.
    """

    def __init__(self):
        self.tickets = sortedcontainers.SortedKeyList(key=_order)
        self.local_count = 0

    def __len__(self) -> int:
        return len(self.tickets)

    def add(self, ticket: PendingSlotRequest) -> None:
        """Add a request."""
        self.tickets.add(ticket)
        self.local_count += ticket.counts_as_waiting

    def remove(self, ticket: PendingSlotRequest) -> None:
        """Remove a request that is in the queue."""
        self.tickets.remove(ticket)
        self.local_count -= ticket.counts_as_waiting

    def expired(self, now_ms: float) -> list[PendingSlotRequest]:
        """Return the requests whose deadline has passed."""
        return [t for t in self.tickets if t.deadline_ms <= now_ms]

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return the age of the next request, negative when there is none."""
        if not self.tickets or self.tickets[0].spare_only:
            return -1.0
        return now_ms - self.tickets[0].arrived_ms

    def next_local(self, target_id: str) -> PendingSlotRequest | None:
        """Return the next request of this entry that can use any slot."""
        if not self.local_count:
            return None
        for ticket in self.tickets:
            usable = not ticket.bulk and target_id not in ticket.excluded
            if ticket.counts_as_waiting and usable:
                return ticket
        return None
