"""Core of the slot dispatcher, without I/O and without a clock.

Each entry runs one dispatcher. It grants the slots of the targets that this
entry dispatches, both to local requests and to those of peers, and requests
slots of other targets from their dispatchers. All times are in milliseconds of
one monotonic clock; the driver passes them in.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import math
import secrets
from typing import Protocol

from slatechute import errors
from slatechute import latencies
from slatechute import leases
from slatechute import messages
from slatechute import service_slots
from slatechute import slot_requests
from slatechute import targets
from slatechute.configuration import instances

__all__ = ["Assignment", "Dispatcher", "Port"]

# A slot request that waits longer is sent to further dispatchers: the first
# ones may be slow or unreachable, or the message may have been lost.
EXTEND_AFTER_MS = 20.0
# Limits the reuse of a slot by its holder, whose view of the requests that wait
# at the dispatcher becomes stale.
MAX_RENEWALS = 8
LEASE_GRACE_MS = 1000.0
# Hedges are sent only while at least this part of a service's slots is free.
MIN_SPARE_RATIO = 0.2
TAKE_OVER_TIMEOUT_MS = 100.0
_MAX_WAITING_REMOTE = 10_000
_MAX_BACKOFF_DOUBLINGS = 5


class Port(Protocol):
    """Interface through which the dispatcher calls its driver."""

    def send(self, peer_id: str, message: messages.Message) -> bool:
        """Queue a message for a peer; return False if there is no link."""
        ...

    def on_granted(self, number: int, lease: leases.Lease) -> None:
        """Pass a granted lease to a waiting local request."""
        ...

    def on_refused(self, number: int, reason: errors.Reason) -> None:
        """Fail a waiting local request."""
        ...

    def on_ejected(self, target_id: str, duration_ms: float) -> None:
        """Report an ejected target to the entry group."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A target that this entry dispatches.

    Attributes:
        target: The target.
        slots: Its configured slots.
        cold: Whether it was started recently and needs a warm-up.
    """

    target: instances.Target
    slots: int
    cold: bool = False


class Dispatcher:
    """Grants slots of local targets and requests slots from peers.

    A target is local if this entry dispatches it, a request if this entry
    accepted it.
    """

    def __init__(self, entry_id: str, fan_out: int, port: Port):
        self._entry_id = entry_id
        self._fan_out = fan_out
        self._port = port
        self._services: dict[str, service_slots.ServiceSlots] = {}
        self._pending_by_key: dict[
            tuple[str, int], slot_requests.PendingSlotRequest
        ] = {}
        self._held_lease_by_id: dict[int, leases.Lease] = {}
        self._dispatcher_by_target: dict[str, str] = {}
        self._target_by_id: dict[str, instances.Target] = {}
        self._load_by_peer: dict[str, dict[str, messages.ServiceLoad]] = {}
        self._awaited_peers_by_target: dict[str, set[str]] = {}
        self._reclaim_ms_by_peer: dict[str, float] = {}
        self._lease_numbers = itertools.count(secrets.randbits(52) << 10)
        self._rotation_count = 0

    # Membership.

    def set_service(
        self,
        service: str,
        *,
        dispatcher_by_target: dict[str, str],
        targets_by_id: dict[str, instances.Target],
        slots: int,
        queue_length: int,
        share: float,
        cold_ids: frozenset[str] = frozenset(),
        reachable: frozenset[str] = frozenset(),
        now_ms: float,
    ) -> None:
        """Set the targets of a service and their dispatchers.

        Args:
            service: The service.
            dispatcher_by_target: Dispatching entry of each target.
            targets_by_id: All targets that may receive requests.
            slots: Slots of each target.
            queue_length: Maximum number of waiting local requests.
            share: Fraction of the slots that the reachable entries may use,
                below 1 while the entry group is partitioned.
            cold_ids: Targets that were started recently and need a warm-up.
            reachable: Peers that can report their in-flight exchanges.
            now_ms: Current time.
        """
        state = self._services.get(service)
        if state is None:
            state = service_slots.ServiceSlots(service)
            self._services[service] = state
        self._remove_targets(service, targets_by_id)
        self._target_by_id.update(targets_by_id)
        self._dispatcher_by_target.update(dispatcher_by_target)
        dispatcher_ids = dict.fromkeys(dispatcher_by_target.values())
        state.dispatchers = [
            name for name in dispatcher_ids if name != self._entry_id
        ]
        state.total_slots = slots * len(targets_by_id)
        state.target_ids = frozenset(targets_by_id)
        state.share = share
        state.queue_length = queue_length
        assignments = [
            Assignment(target, slots, target_id in cold_ids)
            for target_id, target in targets_by_id.items()
            if dispatcher_by_target.get(target_id) == self._entry_id
        ]
        self._update_assignments(state, assignments, reachable, now_ms)
        self._grant_free_slots(state, now_ms)

    def remove_service(self, service: str) -> None:
        """Remove a service that is no longer configured."""
        state = self._services.pop(service, None)
        if state is None:
            return
        for pending in list(state.queue.pending):
            self._dequeue(pending)
            self._refuse(pending, errors.Reason.UNKNOWN_SERVICE)
        self._remove_targets(service, {})

    def _remove_targets(
        self, service: str, retained: dict[str, instances.Target]
    ) -> None:
        removed_ids = [
            target.id
            for target in self._target_by_id.values()
            if target.service == service and target.id not in retained
        ]
        for target_id in removed_ids:
            del self._target_by_id[target_id]
            self._dispatcher_by_target.pop(target_id, None)

    def _update_assignments(
        self,
        state: service_slots.ServiceSlots,
        assignments: list[Assignment],
        reachable: frozenset[str],
        now_ms: float,
    ) -> None:
        assigned = {item.target.id: item for item in assignments}
        for target_id in list(state.state_by_id):
            if target_id not in assigned:
                del state.state_by_id[target_id]
        new_ids = []
        for target_id, item in assigned.items():
            target_state = state.state_by_id.get(target_id)
            if target_state is not None:
                target_state.slots = item.slots
                continue
            state.state_by_id[target_id] = targets.TargetState(
                item.target, item.slots, cold=item.cold
            )
            new_ids.append(target_id)
        self._take_over(state, new_ids, reachable, now_ms)

    def _take_over(
        self,
        state: service_slots.ServiceSlots,
        target_ids: list[str],
        reachable: frozenset[str],
        now_ms: float,
    ) -> None:
        """Block targets until their in-flight exchanges are known.

        No slot is granted until all reachable peers have reported their
        in-flight exchanges or `TAKE_OVER_TIMEOUT_MS` has passed.
        """
        if not target_ids:
            return
        local_counts = self._count_in_flight(target_ids)
        ready_ms = now_ms + TAKE_OVER_TIMEOUT_MS if reachable else now_ms
        for target_id in target_ids:
            target_state = state.state_by_id[target_id]
            target_state.inherited = local_counts.get(target_id, 0)
            target_state.inherited_until_ms = now_ms + 10 * LEASE_GRACE_MS
            target_state.grants_from_ms = ready_ms
            self._awaited_peers_by_target[target_id] = set(reachable)
        message = messages.TakeOver(target_ids)
        for peer_id in sorted(reachable):
            if not self._port.send(peer_id, message):
                self._apply_in_flight_report(target_ids, peer_id, {}, now_ms)

    def _count_in_flight(self, target_ids: Iterable[str]) -> dict[str, int]:
        wanted = set(target_ids)
        counts: dict[str, int] = {}
        for lease in self._held_lease_by_id.values():
            if lease.target.id in wanted:
                counts[lease.target.id] = counts.get(lease.target.id, 0) + 1
        return counts

    def on_take_over(self, peer_id: str, message: messages.TakeOver) -> None:
        """Report the in-flight exchanges on targets that a peer took over."""
        target_ids = message.target_ids
        report = messages.InflightReport(
            target_ids, self._count_in_flight(target_ids)
        )
        self._port.send(peer_id, report)

    def on_in_flight_report(
        self, peer_id: str, message: messages.InflightReport, now_ms: float
    ) -> None:
        """Count a peer's in-flight exchanges on targets taken over."""
        self._apply_in_flight_report(
            message.target_ids, peer_id, message.in_flight_by_target, now_ms
        )

    def _apply_in_flight_report(
        self,
        target_ids: Iterable[str],
        peer_id: str,
        in_flight_by_target: dict[str, int],
        now_ms: float,
    ) -> None:
        for target_id in target_ids:
            target_state = self._target_state(target_id)
            awaited = self._awaited_peers_by_target.get(target_id)
            if (
                target_state is None
                or awaited is None
                or peer_id not in awaited
            ):
                continue
            awaited.discard(peer_id)
            target_state.inherited += in_flight_by_target.get(target_id, 0)
            if not awaited:
                del self._awaited_peers_by_target[target_id]
                target_state.grants_from_ms = min(
                    target_state.grants_from_ms, now_ms
                )
                self._grant_free_slots(
                    self._services[target_state.target.service], now_ms
                )

    def _target_state(self, target_id: str) -> targets.TargetState | None:
        target = self._target_by_id.get(target_id)
        if target is None or target.service not in self._services:
            return None
        return self._services[target.service].state_by_id.get(target_id)

    def resume(self, reachable: frozenset[str], now_ms: float) -> None:
        """Rebuild the slot counts after this process was paused.

        The leases may be outdated, so they are dropped and the peers report
        their in-flight exchanges.
        """
        for state in self._services.values():
            for target_state in state.state_by_id.values():
                for lease_id in list(target_state.leases_by_id):
                    target_state.remove_lease(lease_id)
            self._take_over(state, list(state.state_by_id), reachable, now_ms)

    # Requests of this entry.

    def submit(
        self, pending: slot_requests.PendingSlotRequest, now_ms: float
    ) -> None:
        """Grant a local request a slot at once, or queue it."""
        state = self._services.get(pending.service)
        if state is None:
            # Requests for services that are not configured are refused
            # earlier, so this one is configured but not planned yet.
            self._port.on_refused(pending.number, errors.Reason.STARTING)
            return
        chosen = state.best_target(pending, now_ms)
        if chosen is not None:
            self._grant(pending, chosen, now_ms)
            return
        reason = self._reason_to_refuse(state, pending, now_ms)
        if reason is not None:
            self._port.on_refused(pending.number, reason)
            return
        self._enqueue(state, pending)
        self._send_slot_requests(state, pending, now_ms)

    def cancel(self, number: int) -> None:
        """Remove a waiting local request."""
        pending = self._pending_by_key.get(("", number))
        if pending is not None:
            self._dequeue(pending)
            self._cancel_slot_requests(pending)

    def release(
        self,
        lease: leases.Lease,
        result: leases.Result,
        service_ms: float,
        now_ms: float,
    ) -> None:
        """End or renew a lease that this entry holds."""
        self._held_lease_by_id.pop(lease.id, None)
        state = self._services.get(lease.target.service)
        if state is not None and result is leases.Result.OK and not lease.bulk:
            state.service_times.add(service_ms)
        dispatcher_id = self._dispatcher_by_target.get(lease.target.id)
        dispatcher_id = dispatcher_id or lease.dispatcher
        message = messages.SlotRelease(
            lease.id, lease.target.id, result.value, service_ms
        )
        if dispatcher_id == self._entry_id:
            self.on_release(message, now_ms)
            return
        pending = None
        if dispatcher_id == lease.dispatcher and result is leases.Result.OK:
            pending = self._request_for_renewal(lease, service_ms)
        if pending is not None:
            message.renewal_remaining_ms = max(
                1.0, pending.deadline_ms - now_ms
            )
        if self._port.send(dispatcher_id, message) and pending is not None:
            self._renew(lease, pending, now_ms)

    def _request_for_renewal(
        self, lease: leases.Lease, service_ms: float
    ) -> slot_requests.PendingSlotRequest | None:
        """Return the local request that should reuse a finished slot, if any.

        Returning the slot and granting it again takes two hops, during which
        the slot is idle. The holder reuses it for a local request unless an
        older request was waiting at the dispatcher.
        """
        state = self._services.get(lease.target.service)
        if state is None or lease.bulk or lease.renewals >= MAX_RENEWALS:
            return None
        if service_ms > targets.SLOW_FACTOR * state.service_times.median_ms:
            return None
        if lease.target.id not in self._target_by_id:
            return None
        pending = state.queue.next_local(lease.target.id)
        if pending is None:
            return None
        latest_ms = lease.next_arrival_ms + slot_requests.REMOTE_HANDICAP_MS
        return pending if pending.arrived_ms <= latest_ms else None

    def _renew(
        self,
        lease: leases.Lease,
        pending: slot_requests.PendingSlotRequest,
        now_ms: float,
    ) -> None:
        self._dequeue(pending)
        self._cancel_slot_requests(pending)
        renewed = dataclasses.replace(
            lease,
            granted_ms=now_ms,
            expires_ms=pending.deadline_ms + LEASE_GRACE_MS,
            renewals=lease.renewals + 1,
        )
        self._record_held_lease(pending, renewed)

    def has_target(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether a service has a target that is not excluded."""
        state = self._services.get(service)
        return state is not None and not state.target_ids <= excluded

    def service_times(self, service: str) -> latencies.ServiceTimes | None:
        """Return the service times of a service recorded at this entry."""
        state = self._services.get(service)
        return None if state is None else state.service_times

    def has_spare_slots(self, service: str, now_ms: float) -> bool:
        """Return whether enough slots are free for hedges.

        No entry sees all queues, so a slot that is free at one dispatcher may
        be needed at another. Near saturation hedges would use the slots that
        keep the queues short.
        """
        state = self._services.get(service)
        if state is None or state.queue.local_count:
            return False
        local = state.load(now_ms)
        spare = local.free - local.queued
        for peer_id in state.dispatchers:
            hint = self._load_by_peer.get(peer_id, {}).get(service)
            if hint is not None:
                spare += hint.free - hint.queued
        return spare >= MIN_SPARE_RATIO * state.total_slots

    def expected_wait_ms(self, service: str) -> float:
        """Return the estimated wait of a new local request."""
        state = self._services.get(service)
        return 0.0 if state is None else state.expected_wait_ms()

    def _reason_to_refuse(
        self,
        state: service_slots.ServiceSlots,
        pending: slot_requests.PendingSlotRequest,
        now_ms: float,
    ) -> errors.Reason | None:
        if not state.target_ids:
            return errors.Reason.NO_TARGETS
        if state.queue.local_count >= state.queue_length:
            return errors.Reason.QUEUE_FULL
        remaining_ms = pending.deadline_ms - now_ms
        if self.expected_wait_ms(pending.service) >= remaining_ms:
            return errors.Reason.DEADLINE
        return None

    def _send_slot_requests(
        self,
        state: service_slots.ServiceSlots,
        pending: slot_requests.PendingSlotRequest,
        now_ms: float,
    ) -> None:
        """Send a slot request to the next dispatchers, least loaded first."""
        # Exponential backoff: under overload more messages would not help.
        backoff = 2 ** min(pending.request_rounds, _MAX_BACKOFF_DOUBLINGS)
        pending.extend_at_ms = now_ms + EXTEND_AFTER_MS * backoff
        pending.request_rounds += 1
        sent_count = 0
        for peer_id in self._dispatchers_by_load(state, pending):
            request = messages.SlotRequest(
                pending.number,
                pending.service,
                now_ms - pending.arrived_ms,
                pending.deadline_ms - now_ms,
                pending.bulk,
                sorted(pending.excluded),
                pending.spare_only,
            )
            if self._port.send(peer_id, request):
                pending.requested_from.append(peer_id)
                sent_count += 1
                if sent_count >= self._fan_out:
                    return

    def _dispatchers_by_load(
        self,
        state: service_slots.ServiceSlots,
        pending: slot_requests.PendingSlotRequest,
    ) -> list[str]:
        peer_ids = [
            n for n in state.dispatchers if n not in pending.requested_from
        ]
        if not peer_ids:
            return peer_ids
        # The rotation distributes requests over equally loaded dispatchers.
        self._rotation_count += 1
        start = self._rotation_count % len(peer_ids)
        peer_ids = peer_ids[start:] + peer_ids[:start]

        def load(peer_id: str) -> int:
            hint = self._load_by_peer.get(peer_id, {}).get(pending.service)
            return 0 if hint is None else hint.queued - hint.free

        return sorted(peer_ids, key=load)

    def _cancel_slot_requests(
        self,
        pending: slot_requests.PendingSlotRequest,
        except_peer_id: str = "",
    ) -> None:
        message = messages.SlotCancel(pending.number)
        for peer_id in pending.requested_from:
            if peer_id != except_peer_id:
                self._port.send(peer_id, message)

    # Messages of peers.

    def on_request(
        self, peer_id: str, message: messages.SlotRequest, now_ms: float
    ) -> None:
        """Grant a peer a slot at once, or queue its request."""
        state = self._services.get(message.service)
        if state is None or not state.state_by_id:
            refusal = messages.SlotRefusal(message.number, "not_dispatcher")
            self._port.send(peer_id, refusal)
            return
        pending = slot_requests.PendingSlotRequest(
            message.number,
            message.service,
            now_ms - max(0.0, message.age_ms),
            now_ms + message.remaining_ms,
            message.bulk,
            frozenset(message.excluded),
            message.spare_only,
            peer_id,
        )
        duplicate = self._pending_by_key.get(pending.key)
        if duplicate is not None:
            self._dequeue(duplicate)
        chosen = state.best_target(pending, now_ms)
        if chosen is not None:
            self._grant(pending, chosen, now_ms)
        elif len(state.queue) < _MAX_WAITING_REMOTE:
            self._enqueue(state, pending)

    def on_cancel(self, peer_id: str, message: messages.SlotCancel) -> None:
        """Remove the request of a peer that no longer needs the slot."""
        pending = self._pending_by_key.get((peer_id, message.number))
        if pending is not None:
            self._dequeue(pending)

    def on_refusal(
        self, peer_id: str, message: messages.SlotRefusal, now_ms: float
    ) -> None:
        """Send the slot request to other dispatchers."""
        pending = self._pending_by_key.get(("", message.number))
        if pending is not None and peer_id in pending.requested_from:
            self._send_slot_requests(
                self._services[pending.service], pending, now_ms
            )

    def on_grant(
        self, peer_id: str, message: messages.SlotGrant, now_ms: float
    ) -> None:
        """Use a granted slot for its request, or for the next waiting one.

        A slot that no local request can use is returned to its dispatcher.
        """
        target = self._target_by_id.get(message.target_id)
        pending = self._pending_by_key.get(("", message.number))
        if pending is None and target is not None:
            state = self._services[target.service]
            pending = state.queue.next_local(target.id)
        if pending is None or target is None:
            unused = messages.SlotRelease(
                message.lease_id, message.target_id, leases.Result.UNUSED.value
            )
            self._port.send(peer_id, unused)
            return
        self._dequeue(pending)
        self._cancel_slot_requests(pending, except_peer_id=peer_id)
        lease = leases.Lease(
            message.lease_id,
            target,
            peer_id,
            self._entry_id,
            pending.bulk,
            now_ms,
            pending.deadline_ms + LEASE_GRACE_MS,
            now_ms - message.oldest_waiting_age_ms
            if message.oldest_waiting_age_ms >= 0
            else math.inf,
        )
        self._record_held_lease(pending, lease)

    def on_release(self, message: messages.SlotRelease, now_ms: float) -> None:
        """Free or renew a slot and record the result of its exchange."""
        target_state = self._target_state(message.target_id)
        if target_state is None:
            return
        if message.renewal_remaining_ms > 0:
            expires_ms = now_ms + message.renewal_remaining_ms + LEASE_GRACE_MS
            target_state.renew_lease(message.lease_id, now_ms, expires_ms)
        else:
            target_state.remove_lease(message.lease_id)
        state = self._services[target_state.target.service]
        result = leases.Result(message.result)
        is_ejected = target_state.record_result(
            result,
            message.service_ms,
            now_ms,
            state.service_times.median_ms,
            may_eject=state.may_eject(now_ms),
        )
        if is_ejected:
            target_id = target_state.target.id
            until_ms = target_state.ejected_until_ms
            state.ejected_until_by_id[target_id] = until_ms
            self._port.on_ejected(target_id, until_ms - now_ms)
        self._grant_free_slots(state, now_ms)

    def on_load(
        self, peer_id: str, loads: Iterable[messages.ServiceLoad]
    ) -> None:
        """Store the load hints of a peer.

        They order the dispatchers of slot requests and limit hedges.
        """
        self._load_by_peer[peer_id] = {load.service: load for load in loads}

    def on_target_ejected(
        self, target_id: str, duration_ms: float, now_ms: float
    ) -> None:
        """Record a target that a peer ejected, for the ejection limit."""
        target = self._target_by_id.get(target_id)
        if target is not None and target.service in self._services:
            state = self._services[target.service]
            state.ejected_until_by_id[target_id] = now_ms + duration_ms

    def on_target_leaving(self, target_id: str) -> None:
        """Stop granting slots of a target that is leaving."""
        target_state = self._target_state(target_id)
        if target_state is not None:
            target_state.mark_leaving()

    def on_peer_lost(self, peer_id: str, now_ms: float) -> None:
        """Remove a lost peer's requests and resend the local ones sent to it.

        Its leases expire after `LEASE_GRACE_MS`, unless it reconnects before.
        """
        self._load_by_peer.pop(peer_id, None)
        self._reclaim_ms_by_peer[peer_id] = now_ms + LEASE_GRACE_MS
        for pending in list(self._pending_by_key.values()):
            if pending.origin == peer_id:
                self._dequeue(pending)
        self._resend_slot_requests(peer_id, now_ms)

    def on_link_replaced(self, peer_id: str, now_ms: float) -> None:
        """Resend slot requests that may be lost with the replaced link."""
        self._resend_slot_requests(peer_id, now_ms)

    def _resend_slot_requests(self, peer_id: str, now_ms: float) -> None:
        for pending in list(self._pending_by_key.values()):
            if peer_id in pending.requested_from:
                pending.requested_from.remove(peer_id)
                self._send_slot_requests(
                    self._services[pending.service], pending, now_ms
                )

    def on_peer_ready(self, peer_id: str) -> None:
        """Keep the leases of a peer that reconnected."""
        self._reclaim_ms_by_peer.pop(peer_id, None)

    # Time.

    def tick(self, now_ms: float) -> None:
        """Expire leases and waiting requests, then retry the others."""
        lost = {
            peer_id
            for peer_id, reclaim_ms in self._reclaim_ms_by_peer.items()
            if reclaim_ms <= now_ms
        }
        for state in self._services.values():
            state.expire_leases(lost, now_ms)
            self._expire_waiting(state, now_ms)
            if state.queue:
                self._grant_free_slots(state, now_ms)
                self._extend_slot_requests(state, now_ms)
        for peer_id in lost:
            del self._reclaim_ms_by_peer[peer_id]

    def loads(self, now_ms: float) -> list[messages.ServiceLoad]:
        """Return the load hints for the next heartbeat."""
        return [
            state.load(now_ms)
            for state in self._services.values()
            if state.state_by_id
        ]

    def count_held_and_waiting(self) -> tuple[int, int]:
        """Return the numbers of held leases and of waiting local requests."""
        waiting = sum(s.queue.local_count for s in self._services.values())
        return len(self._held_lease_by_id), waiting

    def slots_in_use(self) -> int:
        """Return the slots in use on the targets that this entry dispatches."""
        return sum(
            len(item.leases_by_id) + item.inherited
            for state in self._services.values()
            for item in state.state_by_id.values()
        )

    def _expire_waiting(
        self, state: service_slots.ServiceSlots, now_ms: float
    ) -> None:
        for pending in state.queue.expired(now_ms):
            self._dequeue(pending)
            self._refuse(pending, errors.Reason.DEADLINE)

    def _extend_slot_requests(
        self, state: service_slots.ServiceSlots, now_ms: float
    ) -> None:
        overdue = [
            pending
            for pending in state.queue.pending
            if not pending.origin and pending.extend_at_ms <= now_ms
        ]
        for pending in overdue:
            if not set(state.dispatchers).difference(pending.requested_from):
                # The request or its grant may be lost with a link, and a
                # dispatcher that refused may have taken over a target since.
                pending.requested_from.clear()
            self._send_slot_requests(state, pending, now_ms)

    # Slots.

    def _grant_free_slots(
        self, state: service_slots.ServiceSlots, now_ms: float
    ) -> None:
        """Grant free slots to the oldest requests that can use them."""
        waiting = state.queue.pending
        index = 0
        while index < len(waiting):
            pending = waiting[index]
            chosen = state.best_target(pending, now_ms)
            if chosen is not None:
                # Dequeue before the grant: a request that was cancelled in
                # the meantime returns its slot, which calls this method again.
                self._dequeue(pending)
                if not pending.origin:
                    self._cancel_slot_requests(pending)
                self._grant(pending, chosen, now_ms)
            elif pending.excluded or pending.bulk:
                index += 1
            else:
                # If an unrestricted request gets no slot, younger ones get
                # none either.
                return

    def _grant(
        self,
        pending: slot_requests.PendingSlotRequest,
        chosen: targets.TargetState,
        now_ms: float,
    ) -> None:
        lease = leases.Lease(
            next(self._lease_numbers),
            chosen.target,
            self._entry_id,
            pending.origin or self._entry_id,
            pending.bulk,
            now_ms,
            pending.deadline_ms + LEASE_GRACE_MS,
        )
        chosen.add_lease(lease)
        if not pending.origin:
            self._record_held_lease(pending, lease)
            return
        queue = self._services[pending.service].queue
        message = messages.SlotGrant(
            pending.number,
            lease.id,
            chosen.target.id,
            queue.oldest_age_ms(now_ms),
        )
        if not self._port.send(pending.origin, message):
            chosen.remove_lease(lease.id)

    def _record_held_lease(
        self, pending: slot_requests.PendingSlotRequest, lease: leases.Lease
    ) -> None:
        self._held_lease_by_id[lease.id] = lease
        self._port.on_granted(pending.number, lease)

    def _refuse(
        self, pending: slot_requests.PendingSlotRequest, reason: errors.Reason
    ) -> None:
        if pending.origin:
            return
        self._cancel_slot_requests(pending)
        self._port.on_refused(pending.number, reason)

    def _enqueue(
        self,
        state: service_slots.ServiceSlots,
        pending: slot_requests.PendingSlotRequest,
    ) -> None:
        state.queue.add(pending)
        self._pending_by_key[pending.key] = pending

    def _dequeue(self, pending: slot_requests.PendingSlotRequest) -> None:
        if self._pending_by_key.pop(pending.key, None) is None:
            return
        state = self._services.get(pending.service)
        if state is not None:
            state.queue.remove(pending)
