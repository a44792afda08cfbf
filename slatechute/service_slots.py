"""Slots and waiting requests of one service at its dispatchers."""

from slatechute import latencies
from slatechute import messages
from slatechute import targets
from slatechute import tickets

__all__ = ["DOUBT_WAIT_MS", "ServiceSlots"]

# A request that waits less does not get the slot of a doubtful target.
DOUBT_WAIT_MS = 20.0


class ServiceSlots:
    """What one entry knows of the slots of a service.

    Attributes:
        name: Name of the service.
        queue: Waiting requests, of this entry and of peers.
        state_by_id: Targets that this entry dispatches.
        times: Recent service times at this entry.
        dispatchers: Other entries that dispatch targets of the service.
        total_slots: Slots of all targets of the service.
        target_ids: All targets of the service.
        share: Part of the slots that this part of the fleet may use.
        queue_length: Requests of this entry that may wait.
        ejected_until_by_id: Ejected targets of the whole service.
    """

    def __init__(self, name: str):
        self.name = name
        self.queue = tickets.SlotRequestQueue()
        self.state_by_id: dict[str, targets.TargetState] = {}
        self.times = latencies.ServiceTimes()
        self.dispatchers: list[str] = []
        self.total_slots = 0
        self.target_ids: frozenset[str] = frozenset()
        self.share = 1.0
        self.queue_length = 256
        self.ejected_until_by_id: dict[str, float] = {}

    def load(self, now_ms: float) -> messages.ServiceLoad:
        """Return the load hint for peers."""
        free = sum(
            max(0, state.free(now_ms, self.share))
            for state in self.state_by_id.values()
        )
        return messages.ServiceLoad(self.name, free, len(self.queue))

    def expected_wait_ms(self) -> float:
        """Return how long a new request would wait, roughly."""
        if not self.total_slots:
            return 0.0
        slots = max(1.0, self.total_slots / (len(self.dispatchers) + 1))
        return self.queue.local_count * self.times.median_ms / slots

    def best_target(
        self, ticket: tickets.PendingSlotRequest, now_ms: float
    ) -> targets.TargetState | None:
        """Return the target whose slot suits the request best, or None."""
        best = None
        best_key = None
        median_ms = self.times.median_ms
        waited_ms = now_ms - ticket.arrived_ms
        for state in self.state_by_id.values():
            free = state.free(now_ms, self.share)
            if free <= 0 or state.target.id in ticket.excluded:
                continue
            if ticket.bulk and not state.may_take_bulk():
                continue
            doubtful = state.is_doubtful(now_ms, median_ms)
            if doubtful and waited_ms < DOUBT_WAIT_MS:
                continue
            key = (doubtful, state.rank, -free)
            if best_key is None or key < best_key:
                best, best_key = state, key
        return best

    def expire_leases(self, lost_peers: set[str], now_ms: float) -> None:
        """Take back slots whose time is over or whose holder is gone."""
        for state in self.state_by_id.values():
            expired = [
                lease.id
                for lease in state.leases_by_id.values()
                if lease.expires_ms <= now_ms or lease.holder in lost_peers
            ]
            for lease_id in expired:
                state.drop(lease_id)

    def may_eject(self, now_ms: float) -> bool:
        """Return whether another target may be ejected: at most half are."""
        ejected = self.ejected_until_by_id
        for target_id, until_ms in list(ejected.items()):
            if until_ms <= now_ms:
                del ejected[target_id]
        return 2 * (len(ejected) + 1) <= len(self.target_ids)
