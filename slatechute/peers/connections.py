"""Connections of `websockets` that hand frames over without a task switch.

`Connection.recv` wakes a task for each message and `Connection.send` makes a
system call for each. Slot requests are on the path of every request, so the
subclasses here, made through the `create_connection` argument of the library,
call their owner directly and write several frames at once.
"""

from typing import Protocol

from websockets import exceptions
from websockets import frames
from websockets import protocol as sans_io
from websockets.asyncio import client
from websockets.asyncio import server

from slatechute.peers import counters
from slatechute.peers import link as link_module

__all__ = [
    "ClientConnection",
    "Owner",
    "PeerConnection",
    "ServerConnection",
]

# Selector transports of asyncio allocate a buffer of this size for each read.
# The default of 256 KiB is mapped and unmapped by malloc each time, which made
# up about a quarter of the CPU of an idle mesh of 24 nodes.
_READ_BYTES = 16 * 1024


class Owner(Protocol):
    """Receiver of what happens on connections."""

    def opened(self, connection: "PeerConnection") -> None:
        """Take note of a new connection, before any frame."""
        ...

    def frame_received(
        self, connection: "PeerConnection", frame: bytes
    ) -> None:
        """Take a binary frame."""
        ...

    def keepalive_received(self, connection: "PeerConnection") -> None:
        """Take an unsolicited pong."""
        ...

    def read_started(self) -> None:
        """Take note that frames of one read follow."""
        ...

    def read_finished(self, size: int) -> None:
        """Take note that a read of so many bytes has been processed."""
        ...

    def failed(
        self, connection: "PeerConnection", fault: counters.Fault, text: str
    ) -> None:
        """Close a connection after a fault."""
        ...

    def closed(self, connection: "PeerConnection") -> None:
        """Take note that the connection is closed."""
        ...


class PeerConnection:
    """Part that client and server connections share.

    Attributes:
        link: State machine of the connection.
        outbox: Frames to be written in this turn of the loop.
        outbox_bytes: Size of the outbox.
        was_written: Whether a frame was written in this turn of the loop.
        heartbeat: Frame of the last heartbeat sent, empty before.
        heartbeat_ms: When the last heartbeat or keepalive was sent.
        needs_keepalive: Whether the next flush sends a pong if it has no
            frame to send.
    """

    link: link_module.Link
    owner: Owner

    def attach(self, owner: Owner, link: link_module.Link) -> None:
        """Set the owner and the state machine, before the connection opens."""
        self.owner = owner
        self.link = link
        self.outbox: list[bytes] = []
        self.outbox_bytes = 0
        self.was_written = False
        self.heartbeat = b""
        self.heartbeat_ms = 0.0
        self.needs_keepalive = False

    def queued_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        return self.outbox_bytes + self.transport.get_write_buffer_size()

    def flush(self) -> tuple[int, int]:
        """Write the outbox, or else a due keepalive, with one call.

        Returns:
            Number of frames and of bytes written, with their framing.
        """
        outbox, self.outbox, self.outbox_bytes = self.outbox, [], 0
        needs_keepalive, self.needs_keepalive = self.needs_keepalive, False
        if self.protocol.state is not sans_io.State.OPEN:
            return 0, 0
        for frame in outbox:
            self.protocol.send_binary(frame)
        if needs_keepalive and not outbox:
            self.protocol.send_pong(b"")
        data = b"".join(self.protocol.data_to_send())
        if data:
            self.transport.write(data)
        return len(outbox), len(data)

    def abort(self) -> None:
        """Close at once: a silent peer never completes a close handshake."""
        self.outbox, self.outbox_bytes = [], 0
        self.transport.abort()

    def close_soon(self) -> None:
        """Send a close frame after what is queued, without waiting."""
        if self.protocol.state is sans_io.State.OPEN:
            self.protocol.send_close(frames.CloseCode.GOING_AWAY)
            self.transport.write(b"".join(self.protocol.data_to_send()))
        self.transport.close()

    def connection_made(self, transport) -> None:
        """Tell the owner of the new connection."""
        super().connection_made(transport)
        transport.max_size = _READ_BYTES
        self.owner.opened(self)

    def connection_lost(self, exc) -> None:
        """Tell the owner that the connection is closed."""
        super().connection_lost(exc)
        self.owner.closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse data and hand over its frames."""
        self.owner.read_started()
        try:
            super().data_received(data)
            if self.protocol.state is sans_io.State.CLOSING:
                self._fail()
        finally:
            self.owner.read_finished(len(data))

    def _fail(self) -> None:
        error = self.protocol.parser_exc
        if error is None:
            self.owner.failed(self, counters.Fault.CLOSED, "closed by peer")
        elif isinstance(error, exceptions.PayloadTooBig):
            self.owner.failed(self, counters.Fault.OVERSIZED, str(error))
        else:
            self.owner.failed(self, counters.Fault.MALFORMED, str(error))

    def process_event(self, event) -> None:
        """Hand over frames; leave the handshake and the rest to the library."""
        if not isinstance(event, frames.Frame):
            super().process_event(event)
        elif event.opcode is frames.BINARY and event.fin:
            self.owner.frame_received(self, bytes(event.data))
        elif event.opcode is frames.PONG:
            self.owner.keepalive_received(self)
        elif event.opcode in frames.DATA_OPCODES:
            # Entries send each message as one binary frame.
            self.owner.failed(
                self, counters.Fault.MALFORMED, "text or fragmented frame"
            )
        else:
            super().process_event(event)


class ClientConnection(PeerConnection, client.ClientConnection):
    """Connection opened by this entry."""


class ServerConnection(PeerConnection, server.ServerConnection):
    """Connection accepted by this entry."""
