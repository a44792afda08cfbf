"""Queues of outgoing frames and when they are written."""

import asyncio

from slatechute.peers import connections
from slatechute.peers import counters
from slatechute.peers import link as link_module

__all__ = ["MAX_QUEUE_BYTES", "Writer"]

# Room for one configuration value of at most 1 MB in parts, twice.
MAX_QUEUE_BYTES = 2 * 1024 * 1024


class Writer:
    """Writes the frames of all connections with few system calls.

    Frames that answer a read go out together at the end of the read. Of
    others, the first one to a connection in a turn of the loop is written at
    once, which takes one turn off the round trip of a lone slot request, and
    the rest goes out with one write at the end of the turn.
    """

    def __init__(self, metrics: counters.LinkMetrics):
        self._metrics = metrics
        self._dirty: list[connections.PeerConnection] = []
        self._written: list[connections.PeerConnection] = []
        self._turn_end: asyncio.Handle | None = None
        self._is_reading = False

    def queue(
        self, connection: connections.PeerConnection, frame: bytes
    ) -> bool:
        """Queue a frame; return False when the queue is over its bound."""
        if connection.queued_bytes() + len(frame) > MAX_QUEUE_BYTES:
            return False
        if not connection.outbox:
            self._dirty.append(connection)
        connection.outbox.append(frame)
        connection.outbox_bytes += len(frame)
        if not self._is_reading and not connection.was_written:
            self.flush()
            connection.was_written = True
            self._written.append(connection)
            if self._turn_end is None:
                loop = asyncio.get_running_loop()
                self._turn_end = loop.call_soon(self._end_turn)
        return True

    def queue_keepalive(self, connection: connections.PeerConnection) -> None:
        """Queue a keepalive for the next flush, unless a frame waits."""
        if not connection.outbox:
            connection.needs_keepalive = True
            self._dirty.append(connection)

    def start_read(self) -> None:
        """Hold back frames until the end of the read."""
        self._is_reading = True

    def finish_read(self) -> None:
        """Write what the read caused."""
        self._is_reading = False
        if self._dirty:
            self.flush()

    def flush(self) -> None:
        """Write all that is queued."""
        dirty, self._dirty = self._dirty, []
        for connection in dirty:
            if connection.link.state is not link_module.State.CLOSED:
                frames, size = connection.flush()
                self._metrics.count_sent(frames, size)

    def _end_turn(self) -> None:
        self._turn_end = None
        written, self._written = self._written, []
        for connection in written:
            connection.was_written = False
        self.flush()
