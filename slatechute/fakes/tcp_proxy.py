"""TCP proxy that injects faults into the connections it forwards."""

import asyncio
import dataclasses
import socket
import struct
import time

from slatechute.fakes import target

__all__ = ["Direction", "FaultProxy"]

_READ_BYTES = 64 * 1024
# Limits the memory of a connection whose chunks wait for the added latency.
_MAX_BUFFERED_CHUNKS = 256


@dataclasses.dataclass(eq=False, slots=True)
class Direction:
    """Faults and counters of one direction, for all connections.

    Attributes:
        latency_ms: Delay added to every byte; it does not limit the throughput.
        silent: Whether bytes are discarded. A connection that lost bytes
            stays silent until it is closed, since its stream has a gap.
        close_after_bytes: Each connection is closed at both ends as soon as
            this many bytes have been forwarded since it was opened.
        hold_after_bytes: Bytes that a new connection forwards before it holds;
            set by `FaultProxy.hold`.
        bytes_forwarded: Number of bytes forwarded.
        bytes_discarded: Number of bytes discarded.
    """

    latency_ms: float = 0.0
    silent: bool = False
    close_after_bytes: int | None = None
    hold_after_bytes: int | None = None
    bytes_forwarded: int = 0
    bytes_discarded: int = 0


class FaultProxy:
    """Forwards connections to `upstream` (host and port).

    Attributes:
        upstream: Address that new connections are forwarded to.
        address: Host and port to connect to, known after `start`.
        to_upstream: Faults and counters of the bytes from clients.
        to_client: Faults and counters of the bytes from the upstream.
    """

    def __init__(self, upstream: str):
        self.upstream = upstream
        self.address = ""
        self.to_upstream = Direction()
        self.to_client = Direction()
        self._connections: set[_ProxiedConnection] = set()
        self._listener: asyncio.Server | None = None
        self._port_holder: socket.socket | None = None
        self._blocking_sockets: list[socket.socket] = []
        self._released = asyncio.Event()

    @property
    def connections(self) -> int:
        """Number of open connections, including silent ones."""
        return len(self._connections)

    @property
    def held_connections(self) -> int:
        """Number of connections that hold bytes back."""
        return sum(
            1 for connection in self._connections if connection.is_holding
        )

    async def start(self) -> None:
        """Listen on a loopback port chosen by the operating system."""
        self._port_holder = target.reserve_port()
        self.address = f"127.0.0.1:{self._port_holder.getsockname()[1]}"
        await self.set_refusing(False)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.set_dropping_connects(False)
        await self.set_refusing(True)
        if self._port_holder is not None:
            self._port_holder.close()
        tasks = [connection.task for connection in self._connections]
        self.reset()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def set_refusing(self, refusing: bool) -> None:
        """Refuse new connections or accept them again."""
        if refusing and self._listener is not None:
            self._listener.close()
            self._listener = None
        elif not refusing and self._listener is None:
            host, port = self.address.split(":")
            self._listener = await asyncio.start_server(
                self._accept, host, int(port), reuse_port=True, backlog=1024
            )

    async def set_dropping_connects(self, dropping: bool) -> None:
        """Drop the SYN packets of new connections or accept them again."""
        await self.set_refusing(dropping)
        for sock in self._blocking_sockets:
            sock.close()
        self._blocking_sockets = []
        if dropping:
            host, port = self.address.split(":")
            listener = target.listening_socket(host, int(port), backlog=0)
            self._blocking_sockets.append(listener)
            # This connection fills the accept queue of the listener; the
            # kernel then drops the SYN packets of further connections.
            filler = socket.socket()
            filler.connect((host, int(port)))
            self._blocking_sockets.append(filler)

    def hold(
        self, *, to_upstream: int | None = None, to_client: int | None = None
    ) -> None:
        """Forward a number of bytes on each connection, then hold the rest.

        Held bytes are buffered and are forwarded after `release`.

        Args:
            to_upstream: Bytes from the client still forwarded; None does not
                hold this direction.
            to_client: Bytes from the upstream still forwarded; None does not
                hold this direction.
        """
        self._released.clear()
        for direction, limit in (
            (self.to_upstream, to_upstream),
            (self.to_client, to_client),
        ):
            direction.hold_after_bytes = limit
            for connection in self._connections:
                connection.bytes_until_hold[direction] = limit

    def release(self) -> None:
        """Forward the held bytes and all later ones."""
        self.to_upstream.hold_after_bytes = None
        self.to_client.hold_after_bytes = None
        for connection in self._connections:
            connection.bytes_until_hold.clear()
        self._released.set()

    def reset(self) -> None:
        """Reset all open connections at both ends."""
        for connection in self._connections:
            connection.abort()
            connection.task.cancel()

    def silence_connections(
        self, *, to_upstream: bool = True, to_client: bool = True
    ) -> None:
        """Discard bytes on the open connections; new ones are not affected."""
        for connection in self._connections:
            if to_upstream:
                connection.silent_directions.add(self.to_upstream)
            if to_client:
                connection.silent_directions.add(self.to_client)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _ProxiedConnection(asyncio.current_task(), [writer])
        self._connections.add(connection)
        try:
            await self._forward(connection, reader, writer)
        # Only `reset` cancels this task. It ends normally, since asyncio 3.11
        # logs a handler task that is cancelled.
        except* (OSError, asyncio.CancelledError):
            connection.abort()
        finally:
            for end in connection.writers:
                end.close()
            self._connections.discard(connection)

    async def _forward(
        self,
        connection: "_ProxiedConnection",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.to_upstream.silent or self.to_client.silent:
            # No TCP handshake completes across a network with such a fault, so
            # no connection to the upstream is opened.
            while data := await reader.read(_READ_BYTES):
                self.to_upstream.bytes_discarded += len(data)
            return
        host, port = self.upstream.rsplit(":", 1)
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        connection.writers.append(up_writer)
        async with asyncio.TaskGroup() as group:
            for source, sink, direction in (
                (reader, up_writer, self.to_upstream),
                (up_reader, writer, self.to_client),
            ):
                chunks = asyncio.Queue(_MAX_BUFFERED_CHUNKS)
                group.create_task(_read_chunks(source, chunks, direction))
                connection.bytes_until_hold[direction] = (
                    direction.hold_after_bytes
                )
                group.create_task(
                    _forward_chunks(
                        connection, chunks, sink, direction, self._released
                    )
                )


@dataclasses.dataclass(eq=False, slots=True)
class _ProxiedConnection:
    task: asyncio.Task
    writers: list[asyncio.StreamWriter]
    silent_directions: set[Direction] = dataclasses.field(default_factory=set)
    bytes_until_hold: dict[Direction, int | None] = dataclasses.field(
        default_factory=dict
    )
    is_holding: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                # With linger time 0, closing sends RST instead of FIN.
                option = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()


async def _read_chunks(
    source: asyncio.StreamReader, chunks: asyncio.Queue, direction: Direction
) -> None:
    data = b"start"
    while data:
        data = await source.read(_READ_BYTES)
        due = time.monotonic() + direction.latency_ms / 1000
        await chunks.put((due, data))


async def _forward_chunks(
    connection: _ProxiedConnection,
    chunks: asyncio.Queue,
    sink: asyncio.StreamWriter,
    direction: Direction,
    released: asyncio.Event,
) -> None:
    forwarded = 0
    while True:
        due, data = await chunks.get()
        if due > time.monotonic():
            await asyncio.sleep(due - time.monotonic())
        until_hold = connection.bytes_until_hold.get(direction)
        if until_hold is not None:
            head, data = data[:until_hold], data[until_hold:]
            connection.bytes_until_hold[direction] = until_hold - len(head)
            if head:
                forwarded += len(head)
                direction.bytes_forwarded += len(head)
                sink.write(head)
            if not data and head:
                continue
            connection.is_holding = True
            await released.wait()
            connection.is_holding = False
        if direction.silent or direction in connection.silent_directions:
            connection.silent_directions.add(direction)
            direction.bytes_discarded += len(data)
            if not data:
                # The end of the stream is not forwarded either.
                await asyncio.get_running_loop().create_future()
            continue
        limit = direction.close_after_bytes
        is_limit_reached = limit is not None and forwarded + len(data) >= limit
        if is_limit_reached:
            data = data[: max(limit - forwarded, 0)]
        forwarded += len(data)
        direction.bytes_forwarded += len(data)
        sink.write(data)
        if is_limit_reached:
            for end in connection.writers:
                end.close()
            return
        if not data:
            sink.write_eof()
            return
        await sink.drain()
