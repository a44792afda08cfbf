"""Dispatch of target slots: the core, without I/O and without a clock.

Each entry runs one dispatcher. It grants the slots of the targets that this
entry dispatches, to its own requests and to those of peers, and asks the
dispatchers of other targets for slots. Times are milliseconds of one monotonic
clock that the driver passes in.
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
from slatechute import targets
from slatechute import tickets
from slatechute.configuration import instances

__all__ = ["Assignment", "Dispatcher", "Port"]

# A request that waits longer asks further dispatchers: the first ones may be
# slow, cut off or may never have got the message.
WIDEN_AFTER_MS = 20.0
# Bounds how long a holder keeps a slot on a stale view of its dispatcher.
MAX_RENEWALS = 8
LEASE_GRACE_MS = 1000.0
# Part of a service's slots that has to be free for hedges.
SPARE_SHARE = 0.2
TAKE_OVER_WAIT_MS = 100.0
_MAX_REMOTE_WAITING = 10_000
_MAX_DOUBLINGS = 5


class Port(Protocol):
    """What the dispatcher needs from its driver."""

    def send(self, peer_id: str, message: messages.Message) -> bool:
        """Queue a message; return False when there is no link."""
        ...

    def granted(self, number: int, lease: leases.Lease) -> None:
        """Give a waiting request of this entry its slot."""
        ...

    def refused(self, number: int, reason: errors.Reason) -> None:
        """End the wait of a request of this entry."""
        ...

    def ejected(self, target_id: str, duration_ms: float) -> None:
        """Tell the group that a target is ejected."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A target that this entry dispatches.

    Attributes:
        target: The target.
        slots: Its configured slots.
        cold: Whether it was started moments ago.
    """

    target: instances.Target
    slots: int
    cold: bool = False


class Dispatcher:
    """Grants slots and asks for them."""

    def __init__(self, entry_id: str, fan_out: int, port: Port):
        self._entry_id = entry_id
        self._fan_out = fan_out
        self._port = port
        self._services: dict[str, service_slots.ServiceSlots] = {}
        self._ticket_by_key: dict[
            tuple[str, int], tickets.PendingSlotRequest
        ] = {}
        self._held_by_id: dict[int, leases.Lease] = {}
        self._dispatcher_by_target: dict[str, str] = {}
        self._target_by_id: dict[str, instances.Target] = {}
        self._load_by_peer: dict[str, dict[str, messages.ServiceLoad]] = {}
        self._reports_due: dict[str, set[str]] = {}
        self._lost_peers: dict[str, float] = {}
        self._lease_numbers = itertools.count(secrets.randbits(52) << 10)
        self._rotation = 0

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
        """Take in the targets of a service and who dispatches them.

        Args:
            service: The service.
            dispatcher_by_target: Dispatching entry of each target.
            targets_by_id: All targets that may get work.
            slots: Slots of each target.
            queue_length: Requests of this entry that may wait.
            share: Part of the slots that this part of the fleet may use.
            cold_ids: Targets that were started moments ago.
            reachable: Peers that can report exchanges under way.
            now_ms: Current time.
        """
        state = self._services.get(service)
        if state is None:
            state = service_slots.ServiceSlots(service)
            self._services[service] = state
        self._forget_targets(service, targets_by_id)
        self._target_by_id.update(targets_by_id)
        self._dispatcher_by_target.update(dispatcher_by_target)
        owners = dict.fromkeys(dispatcher_by_target.values())
        state.dispatchers = [name for name in owners if name != self._entry_id]
        state.total_slots = slots * len(targets_by_id)
        state.target_ids = frozenset(targets_by_id)
        state.share = share
        state.queue_length = queue_length
        assignments = [
            Assignment(target, slots, target_id in cold_ids)
            for target_id, target in targets_by_id.items()
            if dispatcher_by_target.get(target_id) == self._entry_id
        ]
        self._assign(state, assignments, reachable, now_ms)
        self._serve(state, now_ms)

    def remove_service(self, service: str) -> None:
        """Drop a service that is no longer configured."""
        state = self._services.pop(service, None)
        if state is None:
            return
        for ticket in list(state.queue.tickets):
            self._remove_ticket(ticket)
            self._refuse(ticket, errors.Reason.UNKNOWN_SERVICE)
        self._forget_targets(service, {})

    def _forget_targets(
        self, service: str, keep: dict[str, instances.Target]
    ) -> None:
        gone = [
            target.id
            for target in self._target_by_id.values()
            if target.service == service and target.id not in keep
        ]
        for target_id in gone:
            del self._target_by_id[target_id]
            self._dispatcher_by_target.pop(target_id, None)

    def _assign(
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
        taken = []
        for target_id, item in assigned.items():
            known = state.state_by_id.get(target_id)
            if known is not None:
                known.slots = item.slots
                continue
            state.state_by_id[target_id] = targets.TargetState(
                item.target, item.slots, cold=item.cold
            )
            taken.append(target_id)
        self._take_over(state, taken, reachable, now_ms)

    def _take_over(
        self,
        state: service_slots.ServiceSlots,
        target_ids: list[str],
        reachable: frozenset[str],
        now_ms: float,
    ) -> None:
        """Find out which slots are in use before granting any."""
        if not target_ids:
            return
        own = self._inflight(target_ids)
        until_ms = now_ms + TAKE_OVER_WAIT_MS if reachable else now_ms
        for target_id in target_ids:
            target_state = state.state_by_id[target_id]
            target_state.inherited = own.get(target_id, 0)
            target_state.inherited_until_ms = now_ms + 10 * LEASE_GRACE_MS
            target_state.ready_ms = until_ms
            self._reports_due[target_id] = set(reachable)
        message = messages.TakeOver(target_ids)
        for peer_id in sorted(reachable):
            if not self._port.send(peer_id, message):
                self._report_arrived(target_ids, peer_id, {}, now_ms)

    def _inflight(self, target_ids: Iterable[str]) -> dict[str, int]:
        wanted = set(target_ids)
        counts: dict[str, int] = {}
        for lease in self._held_by_id.values():
            if lease.target.id in wanted:
                counts[lease.target.id] = counts.get(lease.target.id, 0) + 1
        return counts

    def on_take_over(self, peer_id: str, message: messages.TakeOver) -> None:
        """Report the exchanges that run on the targets of a new dispatcher."""
        target_ids = message.target_ids
        report = messages.InflightReport(target_ids, self._inflight(target_ids))
        self._port.send(peer_id, report)

    def on_inflight_report(
        self, peer_id: str, message: messages.InflightReport, now_ms: float
    ) -> None:
        """Take in the exchanges of a peer on targets taken over."""
        self._report_arrived(
            message.target_ids, peer_id, message.inflight_by_target, now_ms
        )

    def _report_arrived(
        self,
        target_ids: Iterable[str],
        peer_id: str,
        inflight_by_target: dict[str, int],
        now_ms: float,
    ) -> None:
        for target_id in target_ids:
            state = self._target_state(target_id)
            due = self._reports_due.get(target_id)
            if state is None or due is None or peer_id not in due:
                continue
            due.discard(peer_id)
            state.inherited += inflight_by_target.get(target_id, 0)
            if not due:
                del self._reports_due[target_id]
                state.ready_ms = min(state.ready_ms, now_ms)
                self._serve(self._services[state.target.service], now_ms)

    def _target_state(self, target_id: str) -> targets.TargetState | None:
        target = self._target_by_id.get(target_id)
        if target is None or target.service not in self._services:
            return None
        return self._services[target.service].state_by_id.get(target_id)

    def resume(self, reachable: frozenset[str], now_ms: float) -> None:
        """Check all slots with the peers after this process was paused."""
        for state in self._services.values():
            for target_state in state.state_by_id.values():
                for lease_id in list(target_state.leases_by_id):
                    target_state.drop(lease_id)
            self._take_over(state, list(state.state_by_id), reachable, now_ms)

    # Requests of this entry.

    def submit(self, ticket: tickets.PendingSlotRequest, now_ms: float) -> None:
        """Find a slot for a request of this entry, now or later."""
        state = self._services.get(ticket.service)
        if state is None:
            # Configured, or it would not come this far, but not yet planned.
            self._port.refused(ticket.number, errors.Reason.STARTING)
            return
        chosen = state.best_target(ticket, now_ms)
        if chosen is not None:
            self._grant(ticket, chosen, now_ms)
            return
        reason = self._reason_to_refuse(state, ticket, now_ms)
        if reason is not None:
            self._port.refused(ticket.number, reason)
            return
        self._add_ticket(state, ticket)
        self._ask(state, ticket, now_ms)

    def cancel(self, number: int) -> None:
        """Withdraw a request of this entry that waits."""
        ticket = self._ticket_by_key.get(("", number))
        if ticket is not None:
            self._remove_ticket(ticket)
            self._cancel_asked(ticket)

    def release(
        self,
        lease: leases.Lease,
        result: leases.Result,
        service_ms: float,
        now_ms: float,
    ) -> None:
        """End a lease that this entry holds."""
        self._held_by_id.pop(lease.id, None)
        state = self._services.get(lease.target.service)
        if state is not None and result is leases.Result.OK and not lease.bulk:
            state.times.add(service_ms)
        owner = self._dispatcher_by_target.get(lease.target.id)
        owner = owner or lease.dispatcher
        message = messages.SlotRelease(
            lease.id, lease.target.id, result.value, service_ms
        )
        if owner == self._entry_id:
            self.on_release(message, now_ms)
            return
        ticket = None
        if owner == lease.dispatcher and result is leases.Result.OK:
            ticket = self._ticket_for_renewal(lease, service_ms)
        if ticket is not None:
            message.renewal_remaining_ms = max(1.0, ticket.deadline_ms - now_ms)
        if self._port.send(owner, message) and ticket is not None:
            self._renew(lease, ticket, now_ms)

    def _ticket_for_renewal(
        self, lease: leases.Lease, service_ms: float
    ) -> tickets.PendingSlotRequest | None:
        """Return the request that should use a finished slot next, if any.

        Passing the slot back and on takes two hops in which it is idle. The
        holder keeps it for a request of its own unless an older one waited at
        the dispatcher.
        """
        state = self._services.get(lease.target.service)
        if state is None or lease.bulk or lease.renewals >= MAX_RENEWALS:
            return None
        if service_ms > targets.SLOW_FACTOR * state.times.median_ms:
            return None
        if lease.target.id not in self._target_by_id:
            return None
        ticket = state.queue.next_local(lease.target.id)
        if ticket is None:
            return None
        latest_ms = lease.next_arrival_ms + tickets.REMOTE_HANDICAP_MS
        return ticket if ticket.arrived_ms <= latest_ms else None

    def _renew(
        self,
        lease: leases.Lease,
        ticket: tickets.PendingSlotRequest,
        now_ms: float,
    ) -> None:
        self._remove_ticket(ticket)
        self._cancel_asked(ticket)
        renewed = dataclasses.replace(
            lease,
            granted_ms=now_ms,
            expires_ms=ticket.deadline_ms + LEASE_GRACE_MS,
            renewals=lease.renewals + 1,
        )
        self._hold(ticket, renewed)

    def has_target(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether a service has a target that is not excluded."""
        state = self._services.get(service)
        return state is not None and not state.target_ids <= excluded

    def service_times(self, service: str) -> latencies.ServiceTimes | None:
        """Return the recent service times of a service at this entry."""
        state = self._services.get(service)
        return None if state is None else state.times

    def has_spare_slots(self, service: str, now_ms: float) -> bool:
        """Return whether enough slots are free for hedges.

        No entry sees all queues, so a slot that is spare at one dispatcher may
        be wanted at another. Near saturation hedges would take the slots that
        keep the queues short.
        """
        state = self._services.get(service)
        if state is None or state.queue.local_count:
            return False
        own = state.load(now_ms)
        spare = own.free - own.queued
        for peer_id in state.dispatchers:
            hint = self._load_by_peer.get(peer_id, {}).get(service)
            if hint is not None:
                spare += hint.free - hint.queued
        return spare >= SPARE_SHARE * state.total_slots

    def expected_wait_ms(self, service: str) -> float:
        """Return how long a new request would wait, roughly."""
        state = self._services.get(service)
        return 0.0 if state is None else state.expected_wait_ms()

    def _reason_to_refuse(
        self,
        state: service_slots.ServiceSlots,
        ticket: tickets.PendingSlotRequest,
        now_ms: float,
    ) -> errors.Reason | None:
        if not state.target_ids:
            return errors.Reason.NO_TARGETS
        if state.queue.local_count >= state.queue_length:
            return errors.Reason.QUEUE_FULL
        remaining_ms = ticket.deadline_ms - now_ms
        if self.expected_wait_ms(ticket.service) >= remaining_ms:
            return errors.Reason.DEADLINE
        return None

    def _ask(
        self,
        state: service_slots.ServiceSlots,
        ticket: tickets.PendingSlotRequest,
        now_ms: float,
    ) -> None:
        """Ask the next dispatchers, those with free slots first."""
        # Longer each time: under overload more messages would not help.
        rounds = 2 ** min(ticket.asks, _MAX_DOUBLINGS)
        ticket.widen_ms = now_ms + WIDEN_AFTER_MS * rounds
        ticket.asks += 1
        asked = 0
        for peer_id in self._ask_order(state, ticket):
            request = messages.SlotRequest(
                ticket.number,
                ticket.service,
                now_ms - ticket.arrived_ms,
                ticket.deadline_ms - now_ms,
                ticket.bulk,
                sorted(ticket.excluded),
                ticket.spare_only,
            )
            if self._port.send(peer_id, request):
                ticket.asked.append(peer_id)
                asked += 1
                if asked >= self._fan_out:
                    return

    def _ask_order(
        self,
        state: service_slots.ServiceSlots,
        ticket: tickets.PendingSlotRequest,
    ) -> list[str]:
        names = [n for n in state.dispatchers if n not in ticket.asked]
        if not names:
            return names
        # The rotation spreads equal candidates over successive requests.
        self._rotation += 1
        start = self._rotation % len(names)
        names = names[start:] + names[:start]

        def load(peer_id: str) -> int:
            hint = self._load_by_peer.get(peer_id, {}).get(ticket.service)
            return 0 if hint is None else hint.queued - hint.free

        return sorted(names, key=load)

    def _cancel_asked(
        self, ticket: tickets.PendingSlotRequest, but: str = ""
    ) -> None:
        message = messages.SlotCancel(ticket.number)
        for peer_id in ticket.asked:
            if peer_id != but:
                self._port.send(peer_id, message)

    # Messages of peers.

    def on_request(
        self, peer_id: str, message: messages.SlotRequest, now_ms: float
    ) -> None:
        """Grant a peer a slot, now or when one is free."""
        state = self._services.get(message.service)
        if state is None or not state.state_by_id:
            refusal = messages.SlotRefusal(message.number, "not_dispatcher")
            self._port.send(peer_id, refusal)
            return
        ticket = tickets.PendingSlotRequest(
            message.number,
            message.service,
            now_ms - max(0.0, message.age_ms),
            now_ms + message.remaining_ms,
            message.bulk,
            frozenset(message.excluded),
            message.spare_only,
            peer_id,
        )
        known = self._ticket_by_key.get(ticket.key)
        if known is not None:
            self._remove_ticket(known)
        chosen = state.best_target(ticket, now_ms)
        if chosen is not None:
            self._grant(ticket, chosen, now_ms)
        elif len(state.queue) < _MAX_REMOTE_WAITING:
            self._add_ticket(state, ticket)

    def on_cancel(self, peer_id: str, message: messages.SlotCancel) -> None:
        """Drop the request of a peer that has got its slot elsewhere."""
        ticket = self._ticket_by_key.get((peer_id, message.number))
        if ticket is not None:
            self._remove_ticket(ticket)

    def on_refusal(
        self, peer_id: str, message: messages.SlotRefusal, now_ms: float
    ) -> None:
        """Ask another dispatcher."""
        ticket = self._ticket_by_key.get(("", message.number))
        if ticket is not None and peer_id in ticket.asked:
            self._ask(self._services[ticket.service], ticket, now_ms)

    def on_grant(
        self, peer_id: str, message: messages.SlotGrant, now_ms: float
    ) -> None:
        """Give a granted slot to its request or to the next one that waits."""
        target = self._target_by_id.get(message.target_id)
        ticket = self._ticket_by_key.get(("", message.number))
        if ticket is None and target is not None:
            state = self._services[target.service]
            ticket = state.queue.next_local(target.id)
        if ticket is None or target is None:
            unused = messages.SlotRelease(
                message.lease_id, message.target_id, leases.Result.UNUSED.value
            )
            self._port.send(peer_id, unused)
            return
        self._remove_ticket(ticket)
        self._cancel_asked(ticket, but=peer_id)
        lease = leases.Lease(
            message.lease_id,
            target,
            peer_id,
            self._entry_id,
            ticket.bulk,
            now_ms,
            ticket.deadline_ms + LEASE_GRACE_MS,
            now_ms - message.oldest_waiting_age_ms
            if message.oldest_waiting_age_ms >= 0
            else math.inf,
        )
        self._hold(ticket, lease)

    def on_release(self, message: messages.SlotRelease, now_ms: float) -> None:
        """Free a slot and take in what the exchange showed."""
        target_state = self._target_state(message.target_id)
        if target_state is None:
            return
        if message.renewal_remaining_ms > 0:
            expires_ms = now_ms + message.renewal_remaining_ms + LEASE_GRACE_MS
            target_state.renew(message.lease_id, now_ms, expires_ms)
        else:
            target_state.drop(message.lease_id)
        state = self._services[target_state.target.service]
        result = leases.Result(message.result)
        ejects = target_state.record(
            result,
            message.service_ms,
            now_ms,
            state.times.median_ms,
            may_eject=state.may_eject(now_ms),
        )
        if ejects:
            target_id = target_state.target.id
            until_ms = target_state.ejected_until_ms
            state.ejected_until_by_id[target_id] = until_ms
            self._port.ejected(target_id, until_ms - now_ms)
        self._serve(state, now_ms)

    def on_load(
        self, peer_id: str, loads: Iterable[messages.ServiceLoad]
    ) -> None:
        """Keep a peer's load hints; they only order whom to ask."""
        self._load_by_peer[peer_id] = {load.service: load for load in loads}

    def on_target_ejected(
        self, target_id: str, duration_ms: float, now_ms: float
    ) -> None:
        """Count a target that a peer ejected."""
        target = self._target_by_id.get(target_id)
        if target is not None and target.service in self._services:
            state = self._services[target.service]
            state.ejected_until_by_id[target_id] = now_ms + duration_ms

    def target_leaving(self, target_id: str) -> None:
        """Grant no more slots of a target."""
        target_state = self._target_state(target_id)
        if target_state is not None:
            target_state.leave()

    def peer_lost(self, peer_id: str, now_ms: float) -> None:
        """Drop what a peer waits for; take its slots back after a grace."""
        self._load_by_peer.pop(peer_id, None)
        self._lost_peers[peer_id] = now_ms + LEASE_GRACE_MS
        for ticket in list(self._ticket_by_key.values()):
            if ticket.origin == peer_id:
                self._remove_ticket(ticket)
        self._ask_again(peer_id, now_ms)

    def link_replaced(self, peer_id: str, now_ms: float) -> None:
        """Ask a peer again for what may be lost with the older link."""
        self._ask_again(peer_id, now_ms)

    def _ask_again(self, peer_id: str, now_ms: float) -> None:
        for ticket in list(self._ticket_by_key.values()):
            if peer_id in ticket.asked:
                ticket.asked.remove(peer_id)
                self._ask(self._services[ticket.service], ticket, now_ms)

    def peer_ready(self, peer_id: str) -> None:
        """Keep the leases of a peer that is back."""
        self._lost_peers.pop(peer_id, None)

    # Time.

    def tick(self, now_ms: float) -> None:
        """Expire waits and leases, ask further dispatchers, serve waits."""
        lost = {
            peer_id
            for peer_id, until_ms in self._lost_peers.items()
            if until_ms <= now_ms
        }
        for state in self._services.values():
            state.expire_leases(lost, now_ms)
            self._expire_waits(state, now_ms)
            if state.queue:
                self._serve(state, now_ms)
                self._widen(state, now_ms)
        for peer_id in lost:
            del self._lost_peers[peer_id]

    def loads(self, now_ms: float) -> list[messages.ServiceLoad]:
        """Return the load hints for the next heartbeat."""
        return [
            state.load(now_ms)
            for state in self._services.values()
            if state.state_by_id
        ]

    def count_held_and_waiting(self) -> tuple[int, int]:
        """Return the leases held and the requests waiting at this entry."""
        waiting = sum(s.queue.local_count for s in self._services.values())
        return len(self._held_by_id), waiting

    def slots_in_use(self) -> int:
        """Return the slots in use on the targets that this entry dispatches."""
        return sum(
            len(item.leases_by_id) + item.inherited
            for state in self._services.values()
            for item in state.state_by_id.values()
        )

    def _expire_waits(
        self, state: service_slots.ServiceSlots, now_ms: float
    ) -> None:
        for ticket in state.queue.expired(now_ms):
            self._remove_ticket(ticket)
            self._refuse(ticket, errors.Reason.DEADLINE)

    def _widen(self, state: service_slots.ServiceSlots, now_ms: float) -> None:
        late = [
            ticket
            for ticket in state.queue.tickets
            if not ticket.origin and ticket.widen_ms <= now_ms
        ]
        for ticket in late:
            if not set(state.dispatchers).difference(ticket.asked):
                # The message or its answer may be lost with a link, and a
                # target may have passed to a dispatcher that refused before.
                ticket.asked.clear()
            self._ask(state, ticket, now_ms)

    # Slots.

    def _serve(self, state: service_slots.ServiceSlots, now_ms: float) -> None:
        """Grant free slots to the oldest requests that can use them."""
        waiting = state.queue.tickets
        index = 0
        while index < len(waiting):
            ticket = waiting[index]
            chosen = state.best_target(ticket, now_ms)
            if chosen is not None:
                # First of all out of the queue: a request that was cancelled
                # meanwhile returns its slot, which calls this method again.
                self._remove_ticket(ticket)
                if not ticket.origin:
                    self._cancel_asked(ticket)
                self._grant(ticket, chosen, now_ms)
            elif ticket.excluded or ticket.bulk:
                index += 1
            else:
                # No slot for an ordinary request: none for younger ones.
                return

    def _grant(
        self,
        ticket: tickets.PendingSlotRequest,
        chosen: targets.TargetState,
        now_ms: float,
    ) -> None:
        lease = leases.Lease(
            next(self._lease_numbers),
            chosen.target,
            self._entry_id,
            ticket.origin or self._entry_id,
            ticket.bulk,
            now_ms,
            ticket.deadline_ms + LEASE_GRACE_MS,
        )
        chosen.grant(lease)
        if not ticket.origin:
            self._hold(ticket, lease)
            return
        queue = self._services[ticket.service].queue
        message = messages.SlotGrant(
            ticket.number,
            lease.id,
            chosen.target.id,
            queue.oldest_age_ms(now_ms),
        )
        if not self._port.send(ticket.origin, message):
            chosen.drop(lease.id)

    def _hold(
        self, ticket: tickets.PendingSlotRequest, lease: leases.Lease
    ) -> None:
        self._held_by_id[lease.id] = lease
        self._port.granted(ticket.number, lease)

    def _refuse(
        self, ticket: tickets.PendingSlotRequest, reason: errors.Reason
    ) -> None:
        if ticket.origin:
            return
        self._cancel_asked(ticket)
        self._port.refused(ticket.number, reason)

    def _add_ticket(
        self,
        state: service_slots.ServiceSlots,
        ticket: tickets.PendingSlotRequest,
    ) -> None:
        state.queue.add(ticket)
        self._ticket_by_key[ticket.key] = ticket

    def _remove_ticket(self, ticket: tickets.PendingSlotRequest) -> None:
        if self._ticket_by_key.pop(ticket.key, None) is None:
            return
        state = self._services.get(ticket.service)
        if state is not None:
            state.queue.remove(ticket)
