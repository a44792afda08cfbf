"""Slots and waiting requests of one service at one dispatcher."""

from slatechute import latencies
from slatechute import messages
from slatechute import slot_requests
from slatechute import targets

__all__ = ["SUSPECT_WAIT_MS", "ServiceSlots"]

# Minimum wait before a request gets the slot of a suspect target.
SUSPECT_WAIT_MS = 20.0


class ServiceSlots:
    """One entry's view of the slots of a service.

    Attributes:
        name: Name of the service.
        queue: Waiting requests, local ones and those of peers.
        state_by_id: States of the targets that this entry dispatches.
        service_times: Recent service times at this entry.
        dispatchers: Other entries that dispatch targets of the service.
        total_slots: Slots of all targets of the service.
        target_ids: All targets of the service.
        share: Fraction of the slots that the reachable entries may use.
        queue_length: Maximum number of waiting local requests.
        ejected_until_by_id: End of the ejection, in ms, of each ejected target
            of the service, whichever entry dispatches it.
    """

    def __init__(self, name: str):
        self.name = name
        self.queue = slot_requests.SlotRequestQueue()
        self.state_by_id: dict[str, targets.TargetState] = {}
        self.service_times = latencies.ServiceTimes()
        self.dispatchers: list[str] = []
        self.total_slots = 0
        self.target_ids: frozenset[str] = frozenset()
        self.share = 1.0
        self.queue_length = 256
        self.ejected_until_by_id: dict[str, float] = {}

    def load(self, now_ms: float) -> messages.ServiceLoad:
        """Return the load hint that peers receive."""
        free_slots = sum(
            max(0, state.free_slots(now_ms, self.share))
            for state in self.state_by_id.values()
        )
        return messages.ServiceLoad(self.name, free_slots, len(self.queue))

    def expected_wait_ms(self) -> float:
        """Return the estimated wait of a new local request."""
        if not self.total_slots:
            return 0.0
        slots = max(1.0, self.total_slots / (len(self.dispatchers) + 1))
        return self.queue.local_count * self.service_times.median_ms / slots

    def best_target(
        self, pending: slot_requests.PendingSlotRequest, now_ms: float
    ) -> targets.TargetState | None:
        """Return the best target with a free slot for a request, or None."""
        best = None
        best_key = None
        median_ms = self.service_times.median_ms
        waited_ms = now_ms - pending.arrived_ms
        for state in self.state_by_id.values():
            free_slots = state.free_slots(now_ms, self.share)
            if free_slots <= 0 or state.target.id in pending.excluded:
                continue
            if pending.bulk and not state.has_bulk_capacity():
                continue
            is_suspect = state.is_suspect(now_ms, median_ms)
            if is_suspect and waited_ms < SUSPECT_WAIT_MS:
                continue
            key = (is_suspect, state.rank, -free_slots)
            if best_key is None or key < best_key:
                best, best_key = state, key
        return best

    def expire_leases(self, lost_peers: set[str], now_ms: float) -> None:
        """Free slots whose lease has expired or whose holder was lost."""
        for state in self.state_by_id.values():
            expired = [
                lease.id
                for lease in state.leases_by_id.values()
                if lease.expires_ms <= now_ms or lease.holder in lost_peers
            ]
            for lease_id in expired:
                state.remove_lease(lease_id)

    def may_eject(self, now_ms: float) -> bool:
        """Return whether another target may be ejected.

        At most half of the targets of a service are ejected at a time.
        """
        ejected = self.ejected_until_by_id
        for target_id, until_ms in list(ejected.items()):
            if until_ms <= now_ms:
                del ejected[target_id]
        return 2 * (len(ejected) + 1) <= len(self.target_ids)
