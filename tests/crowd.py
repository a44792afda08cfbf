"""Callers that do not behave, and what a process holds for them."""

import asyncio
import contextlib
import pathlib

__all__ = ["PATIENCE_S", "Crowd", "ask", "descriptors", "peak_memory_mb"]

# Longest time for the crowd to send, and for an ordinary request, both far
# beyond what they take. No test depends on it otherwise.
PATIENCE_S = 60.0


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


class Crowd:
    """Connections to a process that stay open after their input.

    Attributes:
        descriptors: Most descriptors that the process had open meanwhile.
    """

    def __init__(self, pid: int):
        self.descriptors = 0
        self._pid = pid
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, address: str, count: int, *parts: bytes) -> None:
        """Send the same input on each of some connections at a time.

        Connections that the process closes count as sent.
        """
        sending = [self._send(address, parts) for _ in range(count)]
        watching = asyncio.create_task(self._watch())
        try:
            async with asyncio.timeout(PATIENCE_S):
                await asyncio.gather(*sending)
        finally:
            watching.cancel()

    async def _send(self, address: str, parts: tuple[bytes, ...]) -> None:
        host, port = address.split(":")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            for part in parts:
                writer.write(part)
                await writer.drain()

    async def _watch(self) -> None:
        while True:
            self.descriptors = max(self.descriptors, descriptors(self._pid))
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


async def ask(address: str, head: bytes, body: bytes = b"hello") -> int:
    """Return the status of one request on a new connection."""
    host, port = address.split(":")
    async with asyncio.timeout(PATIENCE_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body))
        writer.write(body)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1])
