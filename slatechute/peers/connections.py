"""Connections of `websockets` that deliver frames without a task switch.

`Connection.recv` wakes a task for each message and `Connection.send` makes a
system call for each. Slot requests are on the path of every request, so the
subclasses here, which the library creates through its `create_connection`
argument, call their handler directly and write several frames at once.
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
    "ConnectionHandler",
    "PeerConnection",
    "ServerConnection",
]

# Selector transports of asyncio allocate a buffer of this size for each read.
# malloc maps and unmaps the default of 256 KiB each time, which took about a
# quarter of the CPU time of an idle mesh of 24 nodes.
_READ_BUFFER_BYTES = 16 * 1024


class ConnectionHandler(Protocol):
    """Receiver of the events of connections."""

    def opened(self, connection: "PeerConnection") -> None:
        """Handle a new connection, before any of its frames."""
        ...

    def frame_received(
        self, connection: "PeerConnection", frame: bytes
    ) -> None:
        """Handle a binary frame."""
        ...

    def keepalive_received(self, connection: "PeerConnection") -> None:
        """Handle an unsolicited pong."""
        ...

    def read_started(self) -> None:
        """Handle the start of a read, before its frames."""
        ...

    def read_finished(self, size: int) -> None:
        """Handle the end of a read of `size` bytes, after its frames."""
        ...

    def fail(
        self, connection: "PeerConnection", fault: counters.Fault, text: str
    ) -> None:
        """Close a connection after a fault."""
        ...

    def closed(self, connection: "PeerConnection") -> None:
        """Handle the end of a connection."""
        ...


class PeerConnection:
    """Common base of client and server connections.

    Attributes:
        link: State machine of the connection.
        handler: Receiver of the events of the connection.
        outbox: Frames to be written in this iteration of the event loop.
        outbox_bytes: Size of the outbox.
        was_written: Whether a frame was written in this iteration of the event
            loop.
        heartbeat: Frame of the last heartbeat sent, empty before the first.
        heartbeat_ms: Time of the last heartbeat or keepalive.
        needs_keepalive: Whether the next flush sends a pong if it has no
            frame to send.
    """

    link: link_module.Link
    handler: ConnectionHandler

    def attach(
        self, handler: ConnectionHandler, link: link_module.Link
    ) -> None:
        """Set handler and state machine, before the connection opens."""
        self.handler = handler
        self.link = link
        self.outbox: list[bytes] = []
        self.outbox_bytes = 0
        self.was_written = False
        self.heartbeat = b""
        self.heartbeat_ms = 0.0
        self.needs_keepalive = False

    def queued_bytes(self) -> int:
        """Return the number of bytes that are queued for sending."""
        return self.outbox_bytes + self.transport.get_write_buffer_size()

    def flush(self) -> tuple[int, int]:
        """Write the outbox, or else a due keepalive, with one system call.

        Returns:
            Number of frames and of bytes written, including the framing.
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
        """Close without a close handshake.

        An unresponsive peer would never complete it.
        """
        self.outbox, self.outbox_bytes = [], 0
        self.transport.abort()

    def close_nowait(self) -> None:
        """Close after the queued data and a close frame, without waiting."""
        if self.protocol.state is sans_io.State.OPEN:
            self.protocol.send_close(frames.CloseCode.GOING_AWAY)
            self.transport.write(b"".join(self.protocol.data_to_send()))
        self.transport.close()

    def connection_made(self, transport) -> None:
        """Notify the handler of the new connection."""
        super().connection_made(transport)
        transport.max_size = _READ_BUFFER_BYTES
        self.handler.opened(self)

    def connection_lost(self, exc) -> None:
        """Notify the handler that the connection is closed."""
        super().connection_lost(exc)
        self.handler.closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse data and deliver its frames."""
        self.handler.read_started()
        try:
            super().data_received(data)
            if self.protocol.state is sans_io.State.CLOSING:
                self._report_closing()
        finally:
            self.handler.read_finished(len(data))

    def _report_closing(self) -> None:
        error = self.protocol.parser_exc
        if error is None:
            self.handler.fail(self, counters.Fault.CLOSED, "closed by peer")
        elif isinstance(error, exceptions.PayloadTooBig):
            self.handler.fail(self, counters.Fault.OVERSIZED, str(error))
        else:
            self.handler.fail(self, counters.Fault.MALFORMED, str(error))

    def process_event(self, event) -> None:
        """Deliver frames; leave the handshake and the rest to the library."""
        if not isinstance(event, frames.Frame):
            super().process_event(event)
        elif event.opcode is frames.BINARY and event.fin:
            self.handler.frame_received(self, bytes(event.data))
        elif event.opcode is frames.PONG:
            self.handler.keepalive_received(self)
        elif event.opcode in frames.DATA_OPCODES:
            # Entries send each message as one binary frame.
            self.handler.fail(
                self, counters.Fault.MALFORMED, "text or fragmented frame"
            )
        else:
            super().process_event(event)


class ClientConnection(PeerConnection, client.ClientConnection):
    """Connection opened by this entry."""


class ServerConnection(PeerConnection, server.ServerConnection):
    """Connection accepted by this entry."""
