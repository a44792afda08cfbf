"""Other entries: who is there, and what they know of targets.

Entries find each other through seeds and then tell each other by datagrams.
Datagrams cannot go silent as connections can, and a lost one is made up for by
the next.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import random

from slatechute import errors
from slatechute import logs
from slatechute import messages
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["Peer", "PeerGroup"]

_LOG = logs.get_logger(__name__)

# Signs of life inside of a data centre and to other ones; the latter are paid
# for by the byte. The speakers of two data centres tell each other more often.
_NEAR_PRESENCE_MS = 250.0
_SPEAKER_PRESENCE_MS = 800.0
_FAR_PRESENCE_MS = 4_000.0
# To a peer of the own data centre that is gone: a cut that has healed must be
# noticed well within the 3 s after which hosts count as in touch again.
_LOST_PRESENCE_MS = 1_000.0
# A peer is taken for gone after this many missed signs of life.
_MISSED = 3.4
# A peer that is gone is still told of this entry, since it may only have been
# cut off.
_REMEMBER_MS = 60_000.0
_SEED_MS = 500.0
_LIST_MS = 5_000.0
_MAX_LISTED = 40
_MAX_DATAGRAM_BYTES = 1_300

STARTING, READY, LEAVING = "starting", "ready", "leaving"


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """Another entry.

    Attributes:
        presence: Its last sign of life.
        endpoint: Where it gets datagrams.
        heard_ms: When that arrived.
        is_alive: Whether it is taken for alive.
        sent_ms: When it was last told of this entry.
        report_number: Number of its last load report.
    """

    presence: messages.Presence
    endpoint: tuple[str, int]
    heard_ms: float
    is_alive: bool = True
    sent_ms: float = -1e9
    report_number: int = -1


class PeerGroup(asyncio.DatagramProtocol):
    """Membership by signs of life, and datagrams to the members.

    Attributes:
        peers_by_id: Entries heard of within the last minute.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        clock: clocks.Clock,
        own: Callable[[], messages.Presence],
        received: Callable[[Peer, messages.Message], None],
        lost: Callable[[Peer], None],
    ):
        """Create the group; nothing is opened before `start`.

        Args:
            settings: Settings of the entry.
            clock: Monotonic clock.
            own: Returns the present sign of life.
            received: Told a message of a known peer.
            lost: Told a peer that is gone or has started again.
        """
        self.peers_by_id: dict[str, Peer] = {}
        self._settings = settings
        self._clock = clock
        self._own = own
        self._received = received
        self._lost = lost
        self._transport: asyncio.DatagramTransport | None = None
        self._seeds = frozenset(settings.seeds)
        self._seeds_due_ms = 0.0
        self._lists_due_ms = 0.0
        self._told_by_address: dict[str, float] = {}

    async def start(self) -> None:
        """Open the port.

        Raises:
            OSError: The address cannot be used.
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

    def alive(self) -> list[Peer]:
        """Return the peers that are taken for alive."""
        return [peer for peer in self.peers_by_id.values() if peer.is_alive]

    def near(self) -> list[Peer]:
        """Return the live peers of the own data centre."""
        own = self._settings.data_centre
        return [p for p in self.alive() if p.presence.data_centre == own]

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the own data centre."""
        return peer.presence.data_centre == self._settings.data_centre

    def speaker(self, data_centre: str) -> Peer | None:
        """Return the entry that speaks for another data centre."""
        there = [
            peer
            for peer in self.alive()
            if peer.presence.data_centre == data_centre
        ]
        return min(there, key=lambda p: p.presence.entry_id, default=None)

    def speakers(self) -> list[Peer]:
        """Return the speakers of all other data centres."""
        places = {peer.presence.data_centre for peer in self.alive()}
        places.discard(self._settings.data_centre)
        return [self.speaker(place) for place in sorted(places)]

    def is_speaker(self) -> bool:
        """Return whether this entry speaks for its data centre."""
        own = self._settings.entry_id
        return all(own < peer.presence.entry_id for peer in self.near())

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
        """Tell all live peers of a change at once."""
        presence = self._own()
        self.broadcast(presence, self.alive())

    def tick(self) -> None:
        """Send what is due and give up peers that are silent."""
        now_ms = self._clock.now_ms()
        data = messages.encode(self._own())
        speakers = self.speakers() if self.is_speaker() else []
        for peer in list(self.peers_by_id.values()):
            self._review(peer, now_ms)
            period_ms = self._period_ms(peer)
            if peer in speakers:
                period_ms = _SPEAKER_PRESENCE_MS
            if now_ms - peer.sent_ms >= period_ms:
                peer.sent_ms = now_ms
                self._send(peer.endpoint, data)
        if now_ms >= self._seeds_due_ms:
            self._call_seeds(data, now_ms)
        if now_ms >= self._lists_due_ms:
            self._lists_due_ms = now_ms + _LIST_MS * random.uniform(0.5, 1)
            self._send_list()

    def _period_ms(self, peer: Peer) -> float:
        if not self.is_near(peer):
            return _FAR_PRESENCE_MS
        return _NEAR_PRESENCE_MS if peer.is_alive else _LOST_PRESENCE_MS

    def _review(self, peer: Peer, now_ms: float) -> None:
        silent_ms = now_ms - peer.heard_ms
        period_ms = (
            _NEAR_PRESENCE_MS if self.is_near(peer) else _FAR_PRESENCE_MS
        )
        if peer.is_alive and silent_ms > period_ms * _MISSED:
            peer.is_alive = False
            _LOG.warning(
                "peer_lost", peer=peer.presence.entry_id, silent_ms=silent_ms
            )
            self._lost(peer)
        if silent_ms > _REMEMBER_MS:
            del self.peers_by_id[peer.presence.entry_id]

    def resume(self) -> None:
        """Give all peers time to be heard after a pause of this process."""
        now_ms = self._clock.now_ms()
        for peer in self.alive():
            peer.heard_ms = now_ms

    def _call_seeds(self, data: bytes, now_ms: float) -> None:
        """Tell the seeds that no live peer covers."""
        self._seeds_due_ms = now_ms + _SEED_MS
        if self.alive():
            self._seeds_due_ms = now_ms + _LIST_MS
        known = {peer.presence.control_address for peer in self.alive()}
        for address in self._seeds - known:
            if address != self._settings.control_address:
                self._send(self._endpoint(address), data)

    def _endpoint(self, control_address: str) -> tuple[str, int]:
        host = control_address.rpartition(":")[0]
        return host, self._settings.peer_port

    def _send_list(self) -> None:
        peers = self.alive()
        if peers:
            self.send(random.choice(peers), self._list())

    def _list(self) -> messages.PeerList:
        addresses = [peer.presence.control_address for peer in self.alive()]
        random.shuffle(addresses)
        return messages.PeerList(addresses[:_MAX_LISTED])

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that could not be delivered."""
        _LOG.debug("datagram_failed", error=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram of a peer."""
        try:
            message = messages.decode(data)
        except errors.FrameError as error:
            _LOG.warning("datagram_refused", peer=addr[0], error=str(error))
            return
        if isinstance(message, messages.Presence):
            self._present(message, addr)
        elif isinstance(message, messages.PeerList):
            self._listed(message)
        elif message is not None:
            peer = self._peer_at(addr)
            if peer is not None:
                self._received(peer, message)

    def _peer_at(self, endpoint: tuple[str, int]) -> Peer | None:
        for peer in self.peers_by_id.values():
            if peer.endpoint == endpoint:
                return peer
        return None

    def _present(
        self, presence: messages.Presence, addr: tuple[str, int]
    ) -> None:
        if presence.entry_id == self._settings.entry_id:
            return
        now_ms = self._clock.now_ms()
        known = self.peers_by_id.get(presence.entry_id)
        is_new = known is None or (known.presence.boot_id != presence.boot_id)
        if is_new:
            if known is not None and known.is_alive:
                self._lost(known)
            known = Peer(presence, addr, now_ms)
            self.peers_by_id[presence.entry_id] = known
            _LOG.info(
                "peer_found", peer=presence.entry_id, boot_id=presence.boot_id
            )
            self.send(known, self._own())
            self.send(known, self._list())
        elif not known.is_alive:
            known.is_alive = True
            _LOG.info("peer_regained", peer=presence.entry_id)
        known.presence = presence
        known.endpoint = addr
        known.heard_ms = now_ms
        self._received(known, presence)

    def _listed(self, message: messages.PeerList) -> None:
        """Tell entries of this one that it has not heard of."""
        now_ms = self._clock.now_ms()
        known = {p.presence.control_address for p in self.alive()}
        known.add(self._settings.control_address)
        data = messages.encode(self._own())
        for address in message.addresses:
            told_ms = self._told_by_address.get(address, -1e9)
            if address not in known and now_ms - told_ms > _SEED_MS:
                self._told_by_address[address] = now_ms
                self._send(self._endpoint(address), data)
