"""Queue outgoing frames and write them in batches."""

import asyncio

from slatechute.peers import connections
from slatechute.peers import counters
from slatechute.peers import link as link_module

__all__ = ["MAX_QUEUE_BYTES", "Writer"]

# Twice the size of a configuration value, which is at most 1 MB and is sent in
# parts.
MAX_QUEUE_BYTES = 2 * 1024 * 1024


class Writer:
    """Writes the frames of all connections with few system calls.

    Frames queued during a read are written together at the end of the read.
    Otherwise the first frame to a connection in an iteration of the event loop
    is written at once, which saves a single slot request one iteration of its
    round trip. The remaining frames are written together at the end of the
    iteration.
    """

    def __init__(self, metrics: counters.LinkMetrics):
        self._metrics = metrics
        self._unflushed: list[connections.PeerConnection] = []
        self._written: list[connections.PeerConnection] = []
        self._iteration_end: asyncio.Handle | None = None
        self._is_processing_read = False

    def queue(
        self, connection: connections.PeerConnection, frame: bytes
    ) -> bool:
        """Queue a frame; return False when this would exceed the limit."""
        if connection.queued_bytes() + len(frame) > MAX_QUEUE_BYTES:
            return False
        if not connection.outbox:
            self._unflushed.append(connection)
        connection.outbox.append(frame)
        connection.outbox_bytes += len(frame)
        if not self._is_processing_read and not connection.was_written:
            self.flush()
            connection.was_written = True
            self._written.append(connection)
            if self._iteration_end is None:
                loop = asyncio.get_running_loop()
                self._iteration_end = loop.call_soon(self._end_iteration)
        return True

    def queue_keepalive(self, connection: connections.PeerConnection) -> None:
        """Queue a keepalive for the next flush, unless a frame is queued."""
        if not connection.outbox:
            connection.needs_keepalive = True
            self._unflushed.append(connection)

    def start_read(self) -> None:
        """Buffer frames until the end of the read."""
        self._is_processing_read = True

    def finish_read(self) -> None:
        """Write the frames that were queued during the read."""
        self._is_processing_read = False
        if self._unflushed:
            self.flush()

    def flush(self) -> None:
        """Write all queued frames and keepalives."""
        unflushed, self._unflushed = self._unflushed, []
        for connection in unflushed:
            if connection.link.state is not link_module.State.CLOSED:
                frames, size = connection.flush()
                self._metrics.count_sent(frames, size)

    def _end_iteration(self) -> None:
        self._iteration_end = None
        written, self._written = self._written, []
        for connection in written:
            connection.was_written = False
        self.flush()
