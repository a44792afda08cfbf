"""Fake fleet of dispatchers in memory, with manual clock and links."""

from slatechute import dispatcher
from slatechute import errors
from slatechute import leases
from slatechute import messages
from slatechute import ownership
from slatechute import slot_requests
from slatechute.configuration import instances
from slatechute.util import clock as clocks


class Entry:
    """Driver of one dispatcher that records the calls of its port."""

    def __init__(self, fleet: "Fleet", entry_id: str, fan_out: int):
        self.id = entry_id
        self.fleet = fleet
        self.lease_by_number: dict[int, leases.Lease] = {}
        self.reason_by_number: dict[int, errors.Reason] = {}
        self.ejections: list[str] = []
        self.core = dispatcher.Dispatcher(entry_id, fan_out, self)

    def send(self, peer_id: str, message: messages.Message) -> bool:
        return self.fleet.send(self.id, peer_id, message)

    def on_granted(self, number: int, lease: leases.Lease) -> None:
        assert number not in self.lease_by_number, "granted twice"
        assert number not in self.reason_by_number, "granted after refusal"
        self.lease_by_number[number] = lease

    def on_refused(self, number: int, reason: errors.Reason) -> None:
        assert number not in self.lease_by_number, "refused after grant"
        self.reason_by_number[number] = reason

    def on_ejected(self, target_id: str, duration_ms: float) -> None:
        self.ejections.append(target_id)

    def submit(self, number: int, **kwargs) -> None:
        now_ms = self.fleet.clock.now_ms()
        deadline_ms = kwargs.pop("deadline_ms", now_ms + 10_000)
        pending = slot_requests.PendingSlotRequest(
            number, "plans", now_ms, deadline_ms, **kwargs
        )
        self.core.submit(pending, now_ms)

    def finish(
        self,
        number: int,
        result: leases.Result = leases.Result.OK,
        service_ms: float = 10.0,
    ) -> None:
        lease = self.lease_by_number[number]
        now_ms = self.fleet.clock.now_ms()
        self.core.release(lease, result, service_ms, now_ms)


class Fleet:
    """Entries with links that deliver messages only by `deliver`."""

    def __init__(
        self,
        entries: int = 3,
        targets: int = 4,
        slots: int = 2,
        fan_out: int = 3,
    ):
        self.clock = clocks.ManualClock()
        self.slots = slots
        self.partitioned_links: set[frozenset[str]] = set()
        self.outbox: list[tuple[str, str, bytes]] = []
        self.target_by_id = {
            f"t{n}": instances.Target(
                f"t{n}", "plans", f"127.0.0.1:{n + 1}", "d", "live"
            )
            for n in range(targets)
        }
        self.entry_by_id = {
            f"e{n}": Entry(self, f"e{n}", fan_out) for n in range(entries)
        }
        self.plan()
        self.deliver()
        self.warm_up()

    def plan(self, **kwargs) -> None:
        for entry in self.entry_by_id.values():
            self.plan_entry(entry, **kwargs)

    def plan_entry(self, entry: Entry, **kwargs) -> None:
        reachable = {
            key: "d"
            for key in self.entry_by_id
            if key == entry.id or not self.is_partitioned(entry.id, key)
        }
        dispatcher_by_target = {
            key: ownership.dispatcher_of(key, "d", reachable)
            for key in self.target_by_id
        }
        entry.core.set_service(
            "plans",
            dispatcher_by_target=dispatcher_by_target,
            targets_by_id=self.target_by_id,
            slots=self.slots,
            queue_length=1000,
            share=len(reachable) / len(self.entry_by_id),
            reachable=frozenset(reachable) - {entry.id},
            now_ms=self.clock.now_ms(),
            **kwargs,
        )

    def warm_up(self) -> None:
        """Raise all limits to the full number of slots."""
        for state in self.target_states():
            state.limit = float(self.slots)

    def target_states(self):
        for entry in self.entry_by_id.values():
            yield from entry.core._services["plans"].state_by_id.values()

    def is_partitioned(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.partitioned_links

    def partition(self, side: set[str]) -> None:
        others = set(self.entry_by_id) - side
        self.partitioned_links = {
            frozenset((a, b)) for a in side for b in others
        }
        for a in side:
            for b in others:
                now_ms = self.clock.now_ms()
                self.entry_by_id[a].core.on_peer_lost(b, now_ms)
                self.entry_by_id[b].core.on_peer_lost(a, now_ms)
        self.plan()

    def send(
        self, sender: str, receiver: str, message: messages.Message
    ) -> bool:
        if self.is_partitioned(sender, receiver):
            return False
        self.outbox.append((sender, receiver, messages.encode(message)))
        return True

    def deliver(self, count: int | None = None) -> None:
        """Deliver queued messages and the responses to them.

        Args:
            count: Maximum number of messages, None for all.
        """
        while self.outbox and count != 0:
            sender, receiver, frame = self.outbox.pop(0)
            if not self.is_partitioned(sender, receiver):
                self._receive(sender, receiver, messages.decode(frame))
            count = None if count is None else count - 1

    def _receive(self, sender, receiver, message) -> None:
        core = self.entry_by_id[receiver].core
        now_ms = self.clock.now_ms()
        match message:
            case messages.SlotRequest():
                core.on_request(sender, message, now_ms)
            case messages.SlotGrant():
                core.on_grant(sender, message, now_ms)
            case messages.SlotCancel():
                core.on_cancel(sender, message)
            case messages.SlotRefusal():
                core.on_refusal(sender, message, now_ms)
            case messages.SlotRelease():
                core.on_release(message, now_ms)
            case messages.TakeOver():
                core.on_take_over(sender, message)
            case messages.InflightReport():
                core.on_in_flight_report(sender, message, now_ms)

    def advance(self, step_ms: float) -> None:
        self.clock.advance(step_ms)
        for entry in self.entry_by_id.values():
            entry.core.tick(self.clock.now_ms())
