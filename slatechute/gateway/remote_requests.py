"""Reports of requests in flight at the targets of other data centres.

The entries of a data centre know each other's requests at once, but those of
other data centres only from the load that a target reports. Each entry reports
its requests at the targets of a data centre to the active entries there. Few
requests leave their data centre, so that these reports are few as well.
"""

import asyncio
import dataclasses

from slatechute import messages
from slatechute.gateway import balancing
from slatechute.gateway import loads
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["RemoteRequests"]

# Collects the changes of a few steps of the event loop.
_REPORT_DELAY_S = 0.0003
# A report is repeated after this time, as a datagram may be lost.
_REPEAT_MS = 500.0
# An entry without reports for longer may be lost or have no requests.
_EXPIRY_MS = 3 * _REPEAT_MS + 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    boot_id: str
    sequence: int
    received_ms: float


class RemoteRequests:
    """Reports the requests of this entry and counts those of remote entries.

    Args:
        settings: Settings of the entry.
        boot_id: Id of this process start.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        boot_id: str,
        clock: clocks.Clock,
    ):
        self.group: peer_groups.PeerGroup | None = None
        self.balancer: balancing.Balancer | None = None
        self._settings = settings
        self._boot_id = boot_id
        self._clock = clock
        self._sequence = 0
        self._timer: asyncio.TimerHandle | None = None
        self._changed: set[str] = set()
        self._repeat_due_ms = 0.0
        self._in_flight_by_data_centre: dict[str, dict[str, int]] = {}
        self._received_by_entry: dict[str, _Received] = {}

    def attach(
        self, group: peer_groups.PeerGroup, balancer: balancing.Balancer
    ) -> None:
        """Set the group of the peers and the balancer to update."""
        self.group = group
        self.balancer = balancer

    def stop(self) -> None:
        """Send no further report."""
        if self._timer is not None:
            self._timer.cancel()

    def schedule_report(self, load: loads.TargetLoad) -> None:
        """Report a changed number of requests at a remote target soon.

        Args:
            load: Load of the target.
        """
        data_centre = load.target.data_centre
        if data_centre == self._settings.data_centre:
            return
        sent = self._in_flight_by_data_centre.get(data_centre, {})
        if load.local_in_flight == sent.get(load.target.id, 0):
            return
        self._changed.add(data_centre)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_REPORT_DELAY_S, self._report)

    def tick(self) -> None:
        """Repeat reports that are due, and drop requests of silent entries."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._repeat_due_ms:
            self._repeat_due_ms = now_ms + _REPEAT_MS
            self._changed |= self._in_flight_by_data_centre.keys()
            self._report()
        for entry_id, received in list(self._received_by_entry.items()):
            if now_ms - received.received_ms > _EXPIRY_MS:
                del self._received_by_entry[entry_id]
                self._count(entry_id, {})

    def _report(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        changed, self._changed = self._changed, set()
        for data_centre in changed:
            in_flight = {
                load.target.id: load.local_in_flight
                for load in self.balancer.load_by_id.values()
                if load.local_in_flight
                and load.target.data_centre == data_centre
            }
            previous = self._in_flight_by_data_centre.pop(data_centre, None)
            # The end of the last request is reported twice.
            if in_flight or previous:
                self._in_flight_by_data_centre[data_centre] = in_flight
            self._sequence += 1
            report = messages.RemoteRequests(
                self._settings.entry_id,
                self._boot_id,
                self._sequence,
                in_flight,
            )
            self.group.broadcast(report, self._receivers(data_centre))

    def _receivers(self, data_centre: str) -> list[peer_groups.Peer]:
        return [
            peer
            for peer in self.group.live_peers()
            if peer.presence.is_active
            and peer.presence.data_centre == data_centre
        ]

    def handle_report(self, message: messages.RemoteRequests) -> None:
        """Count the requests of an entry of another data centre."""
        received = self._received_by_entry.get(message.entry_id)
        if (
            received is not None
            and received.boot_id == message.boot_id
            and received.sequence >= message.sequence
        ):
            return
        self._received_by_entry[message.entry_id] = _Received(
            message.boot_id, message.sequence, self._clock.now_ms()
        )
        self._count(message.entry_id, message.in_flight_by_target)

    def _count(
        self, entry_id: str, in_flight_by_target: dict[str, int]
    ) -> None:
        """Replace the requests of an entry, and use the slots that are free."""
        now_ms = self._clock.now_ms()
        services = set()
        for load in self.balancer.load_by_id.values():
            count = in_flight_by_target.get(load.target.id, 0)
            if count != load.peer_in_flight_by_id.get(entry_id, 0):
                load.set_peer_in_flight(entry_id, count, now_ms=now_ms)
                services.add(load.target.service)
        for service in services:
            self.balancer.dispatch_waiting(service, now_ms)
