"""Membership of gateway entries, and messages between them.

Entries discover each other through seeds and then exchange UDP datagrams. A
connection may become unresponsive for seconds, whereas a lost datagram is
replaced by the next one.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import math
import random

from slatechute import errors
from slatechute import logs
from slatechute import messages
from slatechute.gateway import serving
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["LEAVING", "READY", "STARTING", "Peer", "PeerGroup"]

_LOG = logs.get_logger(__name__)

# Heartbeat intervals between two active entries of a data centre, between an
# active entry and a standby, and between two standbys.
_LOCAL_HEARTBEAT_MS = 250.0
_STANDBY_HEARTBEAT_MS = 1_000.0
_BETWEEN_STANDBYS_HEARTBEAT_MS = 5_000.0
# Heartbeat interval between active entries of two data centres, where traffic
# is paid for by the byte. Their delegates use a shorter one.
_DELEGATE_HEARTBEAT_MS = 800.0
_REMOTE_HEARTBEAT_MS = 4_000.0
# With more peers of a kind than this, their intervals grow in proportion, so
# that the cost of an entry does not grow with the fleet.
_MAX_PEERS_AT_FULL_RATE = 60
# To a lost peer of the local data centre: the end of a partition must be
# detected well within the 3 s after which hosts count as connected again.
_LOST_PEER_HEARTBEAT_MS = 1_000.0
# A peer is considered lost after this many missed heartbeats.
_MAX_MISSED_HEARTBEATS = 3.4
# A lost peer is remembered and gets heartbeats for this long, as it may only
# have been partitioned.
_FORGET_PEER_MS = 60_000.0
_SEED_INTERVAL_MS = 500.0
# While no peer is known.
_FIRST_SEED_INTERVAL_MS = 40.0
_PEER_LIST_INTERVAL_MS = 5_000.0
_MAX_LISTED_PEERS = 50
_MAX_LISTED_REMOTE_PEERS = 10
# A peer without heartbeats, because it or this entry is a standby of another
# data centre, is remembered this long to introduce others to it.
_FORGET_REMOTE_STANDBY_MS = 15_000.0
# A peer with a more recent heartbeat is not lost, whatever others report.
_MIN_LOST_SILENCE_MS = 600.0
_MAX_DATAGRAM_BYTES = 1_300

STARTING, READY, LEAVING = "starting", "ready", "leaving"


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """Another entry.

    Attributes:
        presence: Its last heartbeat.
        endpoint: IP address and port for datagrams to it.
        last_received_ms: When that heartbeat arrived.
        is_alive: Whether its heartbeats arrive in time.
        last_sent_ms: When the last heartbeat was sent to it.
        last_report_sequence: Sequence number of its last load report.
    """

    presence: messages.Presence
    endpoint: tuple[str, int]
    last_received_ms: float
    is_alive: bool = True
    last_sent_ms: float = -1e9
    last_report_sequence: int = -1


class _Intervals:
    """Heartbeat intervals of an entry.

    Args:
        is_active: Whether the entry is active.
        local_count: Number of live peers of its data centre.
        remote_count: Number of live peers of other data centres.
    """

    def __init__(self, is_active: bool, local_count: int, remote_count: int):
        self.is_active = is_active
        self._local_scale = max(1.0, local_count / _MAX_PEERS_AT_FULL_RATE)
        self._remote_scale = max(1.0, remote_count / _MAX_PEERS_AT_FULL_RATE)

    def expected_ms(self, peer: Peer, is_local: bool) -> float:
        """Return the interval of the heartbeats from a peer."""
        active_count = self.is_active + peer.presence.is_active
        if not is_local:
            return _REMOTE_HEARTBEAT_MS * self._remote_scale
        if active_count == 2:
            return _LOCAL_HEARTBEAT_MS
        if active_count == 1:
            return _STANDBY_HEARTBEAT_MS * self._local_scale
        return _BETWEEN_STANDBYS_HEARTBEAT_MS * self._local_scale

    def to_send_ms(self, peer: Peer, is_local: bool) -> float:
        """Return the interval of the heartbeats to a peer."""
        if not is_local and not (self.is_active and peer.presence.is_active):
            return math.inf
        interval_ms = self.expected_ms(peer, is_local)
        if is_local and not peer.is_alive and self.is_active:
            interval_ms = _LOST_PEER_HEARTBEAT_MS * self._local_scale
        return interval_ms


class PeerGroup(asyncio.DatagramProtocol):
    """Membership by heartbeats, and datagrams to the members.

    Every entry knows all entries of its data centre. Active entries also know
    those of the other data centres.

    Attributes:
        peers_by_id: Entries whose heartbeat arrived within the last minute.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        clock: clocks.Clock,
        local_presence: Callable[[], messages.Presence],
        on_message: Callable[[Peer, messages.Message], None],
        on_peer_lost: Callable[[Peer], None],
    ):
        """Create the group; `start` opens the port.

        Args:
            settings: Settings of the entry.
            clock: Monotonic clock.
            local_presence: Returns the current heartbeat of this entry.
            on_message: Called with a known peer and a message from it.
            on_peer_lost: Called with a peer that was lost or has restarted.
        """
        self.peers_by_id: dict[str, Peer] = {}
        self._peer_by_endpoint: dict[tuple[str, int], Peer] = {}
        self._settings = settings
        self._clock = clock
        self._local_presence = local_presence
        self._on_message = on_message
        self._on_peer_lost = on_peer_lost
        self._transport: asyncio.DatagramTransport | None = None
        self._seeds = frozenset(settings.seeds)
        self._seeds_due_ms = 0.0
        self._peer_list_due_ms = 0.0
        self._announced_ms_by_address: dict[str, float] = {}

    async def start(self) -> None:
        """Open the port.

        Raises:
            OSError: The address is not available.
        """
        loop = asyncio.get_running_loop()
        address = (self._settings.host, self._settings.peer_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def stop(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds."""
        self._seeds = frozenset(seeds)

    def live_peers(self) -> list[Peer]:
        """Return the live peers."""
        return [peer for peer in self.peers_by_id.values() if peer.is_alive]

    def local_peers(self) -> list[Peer]:
        """Return the live peers of the local data centre."""
        data_centre = self._settings.data_centre
        return [
            p
            for p in self.live_peers()
            if p.presence.data_centre == data_centre
        ]

    def active_peers(self) -> list[Peer]:
        """Return the active peers of the local data centre."""
        return [p for p in self.local_peers() if p.presence.is_active]

    def active_entries(
        self, is_active: bool, min_protocol: int = 0
    ) -> dict[str, str]:
        """Return the data centres of the active entries, by entry id.

        Args:
            is_active: Whether this entry is active itself.
            min_protocol: Only peers with this protocol or a higher one.
        """
        presences = [
            peer.presence
            for peer in self.live_peers()
            if peer.presence.state == READY
            and peer.presence.is_active
            and peer.presence.protocol >= min_protocol
        ]
        data_centre_by_entry = {p.entry_id: p.data_centre for p in presences}
        if is_active:
            data_centre_by_entry[self._settings.entry_id] = (
                self._settings.data_centre
            )
        return data_centre_by_entry

    def services_without_path_by_entry(self) -> dict[str, list[str]]:
        """Return the services that a live peer does not reach, by entry id."""
        return {
            peer.presence.entry_id: peer.presence.services_without_path
            for peer in self.live_peers()
            if peer.presence.services_without_path
        }

    def is_local(self, peer: Peer) -> bool:
        """Return whether a peer is in the local data centre."""
        return peer.presence.data_centre == self._settings.data_centre

    def remote_delegates(self) -> list[Peer]:
        """Return the delegate of each remote data centre.

        It is the first active peer by rank, as strong hosts have the links for
        the reports.
        """
        delegate_by_data_centre: dict[str, Peer] = {}
        for peer in self.live_peers():
            name = peer.presence.data_centre
            if name == self._settings.data_centre:
                continue
            if not peer.presence.is_active:
                continue
            other = delegate_by_data_centre.get(name)
            if other is None or (
                serving.rank(peer.presence) < serving.rank(other.presence)
            ):
                delegate_by_data_centre[name] = peer
        return list(delegate_by_data_centre.values())

    def is_delegate(self) -> bool:
        """Return whether this entry is the delegate of its data centre."""
        presence = self._local_presence()
        return presence.is_active and all(
            serving.rank(presence) < serving.rank(peer.presence)
            for peer in self.active_peers()
        )

    # Sending.

    def send(self, peer: Peer, message: messages.Message) -> None:
        """Send a message to a peer."""
        self._send(peer.endpoint, messages.encode(message))

    def broadcast(
        self, message: messages.Message, peers: Iterable[Peer]
    ) -> None:
        """Send a message to several peers."""
        data = messages.encode(message)
        for peer in peers:
            self._send(peer.endpoint, data)

    def _send(self, endpoint: tuple[str, int], data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, endpoint)

    def announce(self) -> None:
        """Send a heartbeat to all live peers at once, after a state change."""
        presence = self._local_presence()
        self.broadcast(presence, self.live_peers())

    def tick(self) -> None:
        """Send heartbeats and peer lists that are due; detect lost peers."""
        now_ms = self._clock.now_ms()
        presence = self._local_presence()
        data = messages.encode(presence)
        local_count = len(self.local_peers())
        remote_count = len(self.live_peers()) - local_count
        intervals = _Intervals(presence.is_active, local_count, remote_count)
        delegates = self.remote_delegates() if self.is_delegate() else []
        for peer in list(self.peers_by_id.values()):
            is_local = self.is_local(peer)
            self._check_liveness(peer, is_local, intervals, now_ms)
            interval_ms = intervals.to_send_ms(peer, is_local)
            if peer in delegates:
                interval_ms = _DELEGATE_HEARTBEAT_MS
            if now_ms - peer.last_sent_ms >= interval_ms:
                peer.last_sent_ms = now_ms
                self._send(peer.endpoint, data)
        if now_ms >= self._seeds_due_ms:
            self._contact_seeds(data, now_ms)
        if now_ms >= self._peer_list_due_ms:
            self._peer_list_due_ms = (
                now_ms + _PEER_LIST_INTERVAL_MS * random.uniform(0.5, 1)
            )
            self._send_peer_list()

    def _check_liveness(
        self,
        peer: Peer,
        is_local: bool,
        intervals: "_Intervals",
        now_ms: float,
    ) -> None:
        silent_ms = now_ms - peer.last_received_ms
        limit_ms = intervals.expected_ms(peer, is_local) * (
            _MAX_MISSED_HEARTBEATS
        )
        if peer.is_alive and silent_ms > limit_ms:
            if math.isinf(intervals.to_send_ms(peer, is_local)):
                # Neither side sends heartbeats.
                peer.is_alive = False
            else:
                self._lose(peer, silent_ms)
            if is_local and peer.presence.is_active and intervals.is_active:
                report = messages.LostPeer(
                    peer.presence.entry_id, peer.presence.boot_id
                )
                self.broadcast(report, self.local_peers())
        forget_ms = _FORGET_PEER_MS
        if not is_local and not peer.presence.is_active:
            forget_ms = _FORGET_REMOTE_STANDBY_MS
        if silent_ms > max(forget_ms, limit_ms if is_local else 0.0):
            del self.peers_by_id[peer.presence.entry_id]
            self._peer_by_endpoint.pop(peer.endpoint, None)

    def _lose(self, peer: Peer, silent_ms: float) -> None:
        peer.is_alive = False
        _LOG.warning(
            "peer_lost", peer=peer.presence.entry_id, silent_ms=silent_ms
        )
        self._on_peer_lost(peer)

    def reset_timeouts(self) -> None:
        """Restart the timeouts of all live peers after a process pause."""
        now_ms = self._clock.now_ms()
        for peer in self.live_peers():
            peer.last_received_ms = now_ms

    def _contact_seeds(self, data: bytes, now_ms: float) -> None:
        """Send a heartbeat to the seeds that are not live peers.

        Standbys leave that to the active entries of their data centre.
        """
        self._seeds_due_ms = now_ms + _FIRST_SEED_INTERVAL_MS
        if self.live_peers():
            self._seeds_due_ms = now_ms + _PEER_LIST_INTERVAL_MS
        if self.active_peers() and not self._local_presence().is_active:
            return
        live_addresses = {
            peer.presence.control_address for peer in self.live_peers()
        }
        for address in self._seeds - live_addresses:
            if address != self._settings.control_address:
                self._send(self._endpoint(address), data)

    def _endpoint(self, control_address: str) -> tuple[str, int]:
        host = control_address.rpartition(":")[0]
        return host, self._settings.peer_port

    def _send_peer_list(self) -> None:
        peers = [
            peer
            for peer in self.live_peers()
            if self.is_local(peer) or peer.presence.is_active
        ]
        if peers:
            peer = random.choice(peers)
            self.send(peer, self._peer_list(peer.presence))

    def _peer_list(self, receiver: messages.Presence) -> messages.PeerList:
        """Return the peers that a peer should know.

        These are the entries of its data centre, and active entries of other
        ones if it is active or of another data centre itself.
        """
        nearby, remote = [], []
        for peer in self.live_peers():
            presence = peer.presence
            if presence.data_centre == receiver.data_centre:
                nearby.append(presence.control_address)
            elif presence.is_active:
                remote.append(presence.control_address)
        is_local = receiver.data_centre == self._settings.data_centre
        if is_local and not receiver.is_active:
            remote.clear()
        random.shuffle(nearby)
        random.shuffle(remote)
        remote = remote[:_MAX_LISTED_REMOTE_PEERS]
        return messages.PeerList(
            nearby[: _MAX_LISTED_PEERS - len(remote)] + remote
        )

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that could not be delivered."""
        _LOG.debug("datagram_failed", error=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and handle a datagram of a peer."""
        try:
            message = messages.decode(data)
        except errors.FrameError as error:
            _LOG.warning("datagram_refused", peer=addr[0], error=str(error))
            return
        if isinstance(message, messages.Presence):
            self._handle_presence(message, addr)
        elif isinstance(message, messages.PeerList):
            self._handle_peer_list(message)
        elif message is not None and (peer := self._peer_by_endpoint.get(addr)):
            if isinstance(message, messages.LostPeer):
                self._handle_lost_peer(message)
            else:
                self._on_message(peer, message)

    def _handle_lost_peer(self, message: messages.LostPeer) -> None:
        peer = self.peers_by_id.get(message.entry_id)
        if peer is None or not peer.is_alive:
            return
        silent_ms = self._clock.now_ms() - peer.last_received_ms
        if (
            peer.presence.boot_id == message.boot_id
            and silent_ms > _MIN_LOST_SILENCE_MS
        ):
            self._lose(peer, silent_ms)

    def _handle_presence(
        self, presence: messages.Presence, addr: tuple[str, int]
    ) -> None:
        if presence.entry_id == self._settings.entry_id:
            return
        now_ms = self._clock.now_ms()
        peer = self.peers_by_id.get(presence.entry_id)
        is_new = peer is None or (peer.presence.boot_id != presence.boot_id)
        if is_new:
            if peer is not None and peer.is_alive:
                self._on_peer_lost(peer)
            peer = Peer(presence, addr, now_ms)
            self.peers_by_id[presence.entry_id] = peer
            _LOG.info(
                "peer_found", peer=presence.entry_id, boot_id=presence.boot_id
            )
            self.send(peer, self._local_presence())
            self.send(peer, self._peer_list(presence))
        elif not peer.is_alive:
            peer.is_alive = True
            _LOG.info("peer_regained", peer=presence.entry_id)
        peer.presence = presence
        if peer.endpoint != addr:
            self._peer_by_endpoint.pop(peer.endpoint, None)
            peer.endpoint = addr
        self._peer_by_endpoint[addr] = peer
        peer.last_received_ms = now_ms
        self._on_message(peer, presence)

    def _handle_peer_list(self, message: messages.PeerList) -> None:
        """Send a heartbeat to listed entries that are not live peers."""
        now_ms = self._clock.now_ms()
        live_addresses = {p.presence.control_address for p in self.live_peers()}
        live_addresses.add(self._settings.control_address)
        data = messages.encode(self._local_presence())
        for address in message.addresses:
            announced_ms = self._announced_ms_by_address.get(address, -1e9)
            if (
                address not in live_addresses
                and now_ms - announced_ms > _SEED_INTERVAL_MS
            ):
                self._announced_ms_by_address[address] = now_ms
                self._send(self._endpoint(address), data)
