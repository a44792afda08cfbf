"""Links of this entry with its peers.

For each pair of entries the one with the lower entry id connects. The other
one connects only when there has been no link for some time, in case the list
of the peer does not contain this entry.
"""

import asyncio
from collections.abc import Callable, Mapping
import functools
import logging
import time
import types
import urllib.parse

from websockets.asyncio import client
from websockets.asyncio import server

from slatechute import events
from slatechute import logs
from slatechute import messages
from slatechute import settings as entry_settings
from slatechute.peers import authentication
from slatechute.peers import connections
from slatechute.peers import counters
from slatechute.peers import dialer
from slatechute.peers import link as link_module
from slatechute.peers import peer as peer_module
from slatechute.peers import writer
from slatechute.util import clock as clocks

__all__ = [
    "FALLBACK_DELAY_S",
    "MAX_UNAUTHENTICATED",
    "PeerLinks",
    "STOP_TIMEOUT_S",
]

# Exceeds the number of peers that connect at once when a group restarts. Each
# connection can make the library buffer a frame of `MAX_FRAME_BYTES`, which
# gives 16 MiB.
MAX_UNAUTHENTICATED = 64
# A peer with a lower entry id reconnects within milliseconds if its list
# contains this entry.
FALLBACK_DELAY_S = 1.0
STOP_TIMEOUT_S = 1.0

_Fault = counters.Fault
_State = link_module.State

_LOG = logs.get_logger(__name__)

# Disables the library's log of failed handshakes, which any host can trigger;
# faults are counted instead.
_WEBSOCKETS_LOG = logging.getLogger("slatechute.peers.websockets")
_WEBSOCKETS_LOG.setLevel(logging.CRITICAL)


class PeerLinks:
    """Authenticated links to other entries, with heartbeats.

    All methods have to be called on the event loop. `PeerReady`, `PeerLost` and
    `LinkReplaced` are emitted on the bus, but never from within `send`.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        boot_id: str,
        clock: clocks.Clock,
        bus: events.EventBus,
        on_message: Callable[[str, messages.Message], None],
        heartbeat: Callable[[], messages.Heartbeat],
        *,
        metrics: counters.LinkMetrics | None = None,
        versions: tuple[int, int] = (messages.VERSION_MIN, messages.VERSION),
    ):
        """Create the links; nothing is opened before `start`.

        Args:
            settings: Settings of this entry.
            boot_id: Id of this process start.
            clock: Monotonic clock.
            bus: Event bus for `PeerReady`, `PeerLost` and `LinkReplaced`.
            on_message: Called on the event loop with the entry id of the peer
                and each message, including heartbeats that differ from the
                previous one.
            heartbeat: Returns the content of the next heartbeat.
            metrics: Receiver of the counts.
            versions: Lowest and highest supported version of the messages.
        """
        self.metrics = metrics or counters.LinkCounters()
        self._settings = settings
        self._boot_id = boot_id
        self._clock = clock
        self._bus = bus
        self._on_message = on_message
        self._heartbeat = heartbeat
        self._versions = versions
        self._key = settings.fleet_key.get_secret_value().encode()
        self._peer_address = settings.peer_address
        self._server: server.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._next_tick_ms = 0.0
        self._resumed_ms = 0.0
        self._peer_by_id: dict[str, peer_module.Peer] = {}
        self._dialer_by_id: dict[str, dialer.Dialer] = {}
        self._connection_by_id: dict[str, connections.PeerConnection] = {}
        # Used as ordered sets.
        self._open_connections: dict[connections.PeerConnection, None] = {}
        self._unauthenticated: dict[connections.PeerConnection, None] = {}
        self._writer = writer.Writer(self.metrics)
        self._frames_read = 0

    @property
    def peer_address(self) -> str:
        """Address that peers connect to; port 0 is resolved by `start`."""
        return self._peer_address

    async def start(self) -> None:
        """Listen, start heartbeats and connect to the listed peers.

        Raises:
            OSError: The address cannot be bound.
        """
        parts = urllib.parse.urlsplit(f"//{self._settings.peer_address}")
        self._server = await server.serve(
            _wait_closed,
            parts.hostname,
            parts.port,
            compression=None,
            server_header=None,
            open_timeout=None,  # Limited by `Link.check_timeouts`.
            ping_interval=None,
            max_size=messages.MAX_FRAME_BYTES,
            logger=_WEBSOCKETS_LOG,
            create_connection=self._create_server_connection,
        )
        if not parts.port:
            port = self._server.sockets[0].getsockname()[1]
            host = self._settings.peer_address.rpartition(":")[0]
            self._peer_address = f"{host}:{port}"
        self._next_tick_ms = self._clock.now_ms()
        self._resumed_ms = self._next_tick_ms
        self._tick()
        for peer in self._peer_by_id.values():
            self._start_dialer(peer)

    async def stop(self) -> None:
        """Close all links, within about `STOP_TIMEOUT_S`."""
        if self._server is None:
            return
        self._timer.cancel()
        for peer_dialer in self._dialer_by_id.values():
            peer_dialer.stop()
        self._dialer_by_id.clear()
        self._writer.flush()
        self._server.close(close_connections=False)
        closing = list(self._open_connections)
        for connection in closing:
            connection.link.state = _State.CLOSED
            connection.close_nowait()
        self._connection_by_id.clear()
        for peer in self._peer_by_id.values():
            peer.state = peer_module.PeerState.CONNECTING
        waits = [asyncio.create_task(c.wait_closed()) for c in closing]
        if waits:
            _, unfinished = await asyncio.wait(
                waits, timeout=STOP_TIMEOUT_S / 2
            )
            for connection in closing:
                connection.abort()
            for wait in unfinished:
                wait.cancel()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S / 2):
                await self._server.wait_closed()
        except TimeoutError:
            _LOG.warning("peer_server_stop_late")
        self._server = None

    def set_peers(self, addresses_by_entry: Mapping[str, str]) -> None:
        """Set the entries to connect to.

        A link to an entry that is no longer listed stays open, but is not
        reopened after it was lost.

        Args:
            addresses_by_entry: Peer address by entry id; this entry is
                ignored.
        """
        local_id = self._settings.entry_id
        for entry_id, address in addresses_by_entry.items():
            if entry_id == local_id:
                continue
            peer = self._peer_by_id.setdefault(
                entry_id, peer_module.Peer(entry_id)
            )
            peer.listed = True
            peer.peer_address = address
            self._start_dialer(peer)
        for entry_id, peer in list(self._peer_by_id.items()):
            if entry_id not in addresses_by_entry:
                peer.listed = False
                if entry_id in self._dialer_by_id:
                    self._dialer_by_id.pop(entry_id).stop()
                if entry_id not in self._connection_by_id:
                    del self._peer_by_id[entry_id]

    def peers(self) -> Mapping[str, peer_module.Peer]:
        """Return a live view of the peers by entry id.

        It holds all listed entries and all others with a link.
        """
        return types.MappingProxyType(self._peer_by_id)

    def send(self, peer_id: str, message: messages.Message) -> bool:
        """Queue a message to a peer; never blocks.

        Returns:
            Whether it was queued. False if there is no link, the frame is too
            large, or the queue exceeds its limit, in which case the link is
            closed.
        """
        connection = self._connection_by_id.get(peer_id)
        if connection is None:
            return False
        frame = messages.encode(message)
        if len(frame) > messages.MAX_FRAME_BYTES:
            self.metrics.count_fault(_Fault.OVERSIZED)
            _LOG.error(
                "frame_too_large",
                peer=peer_id,
                message=type(message).__name__,
                size=len(frame),
            )
            return False
        return self._queue(connection, frame)

    # Sending.

    def _queue(
        self, connection: connections.PeerConnection, frame: bytes
    ) -> bool:
        if self._writer.queue(connection, frame):
            return True
        # Deferred, because subscribers of PeerLost must not run within `send`.
        asyncio.get_running_loop().call_soon(
            self.fail, connection, _Fault.QUEUE_FULL, "queue is full"
        )
        return False

    def _send_handshake(self, connection: connections.PeerConnection) -> None:
        outgoing, connection.link.outgoing = connection.link.outgoing, []
        for frame in outgoing:
            self._queue(connection, frame)

    # Heartbeats and time limits.

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._next_tick_ms > link_module.SILENCE_TIMEOUT_MS:
            # This process was paused. Frames that arrived meanwhile may be read
            # only after this call, so the silence timeout starts again now.
            _LOG.warning("process_paused", ms=now_ms - self._next_tick_ms)
            self._resumed_ms = now_ms
        delay_s = _heartbeat_delay_s(time.time())
        self._next_tick_ms = now_ms + delay_s * 1000
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)
        for connection in list(self._open_connections):
            try:
                connection.link.check_timeouts(now_ms, self._resumed_ms)
            except link_module.LinkFault as err:
                self.fail(connection, err.fault, str(err))
        frame = self._heartbeat_frame()
        if frame:
            for connection in self._connection_by_id.values():
                self._send_heartbeat(connection, frame)
        self._writer.flush()

    def _heartbeat_frame(self) -> bytes:
        try:
            return messages.encode(self._heartbeat())
        except Exception:
            # No heartbeat is sent, so that peers regard this entry as
            # unreachable.
            self.metrics.count_fault(_Fault.HEARTBEAT)
            _LOG.exception("heartbeat_failed")
            return b""

    def _send_heartbeat(
        self, connection: connections.PeerConnection, frame: bytes
    ) -> None:
        if frame != connection.heartbeat:
            connection.heartbeat = frame
            self._queue(connection, frame)
        else:
            # The peer already has this heartbeat, as links are reliable. An
            # unsolicited pong (RFC 6455, 5.5.3) of 2 or 6 bytes is enough to
            # show that this entry is alive.
            self._writer.queue_keepalive(connection)

    # Connections.

    def _hello(self) -> messages.Hello:
        settings = self._settings
        return messages.Hello(
            version_min=self._versions[0],
            version_max=self._versions[1],
            entry_id=settings.entry_id,
            boot_id=self._boot_id,
            data_centre=settings.data_centre,
            address=settings.address,
            peer_address=self._peer_address,
            admin_address=settings.admin_address,
            nonce=authentication.new_nonce(),
            clock_ms=self._clock.now_ms(),
        )

    def _create_link(
        self, role: authentication.Role, expected_peer_id: str = ""
    ) -> link_module.Link:
        now_ms = self._clock.now_ms()
        return link_module.Link(
            role, self._hello(), self._key, now_ms, expected_peer_id
        )

    def _create_server_connection(self, *args, **kwargs):
        connection = connections.ServerConnection(*args, **kwargs)
        connection.attach(self, self._create_link(authentication.Role.SERVER))
        return connection

    def _create_client_connection(self, peer_id, *args, **kwargs):
        connection = connections.ClientConnection(*args, **kwargs)
        link = self._create_link(authentication.Role.CLIENT, peer_id)
        connection.attach(self, link)
        return connection

    def _start_dialer(self, peer: peer_module.Peer) -> None:
        if self._server is None or peer.entry_id in self._dialer_by_id:
            return
        is_lower = self._settings.entry_id < peer.entry_id
        self._dialer_by_id[peer.entry_id] = dialer.Dialer(
            functools.partial(self._connect, peer),
            0.0 if is_lower else FALLBACK_DELAY_S,
        )
        if peer.reachable:
            self._dialer_by_id[peer.entry_id].mark_linked()

    async def _connect(self, peer: peer_module.Peer) -> None:
        try:
            connection = await client.connect(
                f"ws://{peer.peer_address}",
                proxy=None,
                compression=None,
                user_agent_header=None,
                open_timeout=link_module.AUTHENTICATION_TIMEOUT_MS / 1000,
                ping_interval=None,
                max_size=messages.MAX_FRAME_BYTES,
                logger=_WEBSOCKETS_LOG,
                create_connection=functools.partial(
                    self._create_client_connection, peer.entry_id
                ),
            )
        except Exception as err:
            # The dialer has to continue after any fault of an address.
            self.metrics.count_fault(_Fault.CONNECT)
            _LOG.debug("connect_failed", peer=peer.entry_id, error=repr(err))
            return
        if connection.link.state is _State.NEW:
            connection.link.open()
            self._send_handshake(connection)
        await connection.wait_closed()

    # connections.ConnectionHandler

    def opened(self, connection: connections.PeerConnection) -> None:
        """Track a connection and limit the unauthenticated ones."""
        self._open_connections[connection] = None
        if connection.link.role is authentication.Role.SERVER:
            self._unauthenticated[connection] = None
            # The oldest one is closed, as peers authenticate within
            # milliseconds. If new connections were refused instead, idle ones
            # could block peers.
            if len(self._unauthenticated) > MAX_UNAUTHENTICATED:
                oldest = next(iter(self._unauthenticated))
                self.fail(oldest, _Fault.TOO_MANY, "too many connections")

    def read_started(self) -> None:
        """Buffer writes until the whole read is processed."""
        self._writer.start_read()

    def read_finished(self, size: int) -> None:
        """Write the frames that were queued during the read."""
        self.metrics.count_received(self._frames_read, size)
        self._frames_read = 0
        self._writer.finish_read()

    def frame_received(
        self, connection: connections.PeerConnection, frame: bytes
    ) -> None:
        """Authenticate the peer or deliver the message of a frame."""
        link = connection.link
        if link.state is _State.CLOSED:
            return
        self._frames_read += 1
        was_ready = link.state is _State.READY
        try:
            message = link.receive(frame, self._clock.now_ms())
        except link_module.LinkFault as err:
            self.fail(connection, err.fault, str(err))
            return
        if was_ready:
            self._deliver(connection, message)
            return
        self._send_handshake(connection)
        if link.state is _State.READY:
            self._activate(connection)

    def keepalive_received(
        self, connection: connections.PeerConnection
    ) -> None:
        """Record that the peer is alive."""
        link = connection.link
        if link.state is _State.READY:
            now_ms = link.last_frame_ms = self._clock.now_ms()
            self._peer_by_id[link.peer.entry_id].last_frame_ms = now_ms

    def fail(
        self,
        connection: connections.PeerConnection,
        fault: counters.Fault,
        text: str,
    ) -> None:
        """Count a fault and close the connection."""
        if connection.link.state is _State.CLOSED:
            return
        self.metrics.count_fault(fault)
        _LOG.debug("link_closed", fault=fault, detail=text)
        self._close(connection, fault)

    def closed(self, connection: connections.PeerConnection) -> None:
        """Handle the end of a connection."""
        state = connection.link.state
        if state is _State.READY:
            self.fail(connection, _Fault.CLOSED, "connection lost")
        elif state is _State.NEW:  # `_connect` counts the fault.
            self._close(connection, _Fault.CONNECT)
        else:
            self.fail(connection, _Fault.HANDSHAKE, "not authenticated")
        self._open_connections.pop(connection, None)

    def _deliver(
        self,
        connection: connections.PeerConnection,
        message: messages.Message | None,
    ) -> None:
        link = connection.link
        peer = self._peer_by_id[link.peer.entry_id]
        peer.last_frame_ms = link.last_frame_ms
        if message is None:
            self.metrics.count_fault(_Fault.UNKNOWN_TAG)
            return
        if isinstance(message, messages.Heartbeat):
            peer.heartbeat = message
        try:
            self._on_message(peer.entry_id, message)
        except Exception:
            self.metrics.count_fault(_Fault.HANDLER)
            _LOG.exception("handler_failed", message=type(message).__name__)

    def _activate(self, connection: connections.PeerConnection) -> None:
        link = connection.link
        hello = link.peer
        self._unauthenticated.pop(connection, None)
        older = self._connection_by_id.get(hello.entry_id)
        if older is not None and not link.replaces(older.link):
            self.fail(connection, _Fault.DUPLICATE, "link exists")
            return
        peer = self._peer_by_id.setdefault(
            hello.entry_id, peer_module.Peer(hello.entry_id)
        )
        is_new = older is None or older.link.peer.boot_id != hello.boot_id
        self._connection_by_id[hello.entry_id] = connection
        if older is not None:
            self.fail(older, _Fault.REPLACED, f"{hello.entry_id} reconnected")
            if is_new:
                self._emit_lost(peer, _Fault.REPLACED)
            else:
                self._emit(events.LinkReplaced(peer.entry_id))
        peer.state = peer_module.PeerState.READY
        peer.boot_id = hello.boot_id
        peer.data_centre = hello.data_centre
        peer.clock_offset_ms = hello.clock_ms - self._clock.now_ms()
        peer.address = hello.address
        peer.admin_address = hello.admin_address
        peer.last_frame_ms = link.last_frame_ms
        if not peer.listed:
            peer.peer_address = hello.peer_address
        if hello.entry_id in self._dialer_by_id:
            self._dialer_by_id[hello.entry_id].mark_linked()
        frame = self._heartbeat_frame()
        if frame:
            self._send_heartbeat(connection, frame)
        if is_new:
            peer.heartbeat = None
            _LOG.debug("link_ready", peer=peer.entry_id, boot_id=peer.boot_id)
            self._emit(events.PeerReady(peer.entry_id))

    def _close(
        self, connection: connections.PeerConnection, fault: counters.Fault
    ) -> None:
        link = connection.link
        link.state = _State.CLOSED
        self._open_connections.pop(connection, None)
        self._unauthenticated.pop(connection, None)
        connection.abort()
        if link.peer is None:
            return
        entry_id = link.peer.entry_id
        if self._connection_by_id.get(entry_id) is not connection:
            return
        del self._connection_by_id[entry_id]
        peer = self._peer_by_id[entry_id]
        if not peer.listed:
            del self._peer_by_id[entry_id]
        if entry_id in self._dialer_by_id:
            self._dialer_by_id[entry_id].mark_unlinked()
        self._emit_lost(peer, fault)

    def _emit_lost(self, peer: peer_module.Peer, fault: counters.Fault) -> None:
        peer.state = peer_module.PeerState.CONNECTING
        _LOG.debug("link_lost", peer=peer.entry_id, fault=fault)
        self._emit(events.PeerLost(peer.entry_id))

    def _emit(self, event: object) -> None:
        try:
            self._bus.emit(event)
        except Exception:
            # An exception of one subscriber must not stop the heartbeats.
            self.metrics.count_fault(_Fault.HANDLER)
            _LOG.exception("subscriber_failed", message=repr(event))


async def _wait_closed(connection: server.ServerConnection) -> None:
    await connection.wait_closed()


def _heartbeat_delay_s(wall_s: float) -> float:
    """Return the time to the next heartbeat, 50 to 150 ms.

    Heartbeats are sent at multiples of 100 ms of the wall clock, so that those
    of all peers arrive together and wake an idle process about ten times a
    second instead of once for each heartbeat. This halves the CPU time of an
    idle mesh of 24 nodes. Clock differences only reduce this saving.
    """
    interval_s = link_module.HEARTBEAT_INTERVAL_MS / 1000
    delay_s = interval_s - wall_s % interval_s
    return delay_s if delay_s >= interval_s / 2 else delay_s + interval_s
