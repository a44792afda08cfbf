"""Target over plain sockets that writes exactly the bytes of a test."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["Exchange", "Script", "ScriptedTarget", "response"]


class Exchange:
    """A request that has arrived at the target.

    Attributes:
        request_id: Id in the request.
        number: Number of the request on its connection, from 1.
        earlier_bytes: What was written on the connection before it arrived.
    """

    def __init__(
        self,
        target: "ScriptedTarget",
        writer: asyncio.StreamWriter,
        request_id: str,
        number: int,
        earlier_bytes: list[bytes],
    ):
        self.request_id = request_id
        self.number = number
        self.earlier_bytes = tuple(earlier_bytes)
        self._target = target
        self._writer = writer
        self._written = earlier_bytes

    def write(self, data: bytes) -> None:
        """Write bytes on the connection of the request."""
        self._written.append(data)
        self._writer.write(data)

    def run(self) -> None:
        """Record that the target runs the request."""
        self._target.run_ids.append(self.request_id)


Script = Callable[[Exchange], Awaitable[None]]


class ScriptedTarget:
    """Server that calls a script for each request.

    Attributes:
        address: Host and port, known after `start`.
        run_ids: Ids of the requests that it ran, in order.
        connections: Number of connections opened so far.
    """

    def __init__(self, script: Script):
        self.address = ""
        self.run_ids: list[str] = []
        self.connections = 0
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a loopback port chosen by the operating system."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=64
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        written: list[bytes] = []
        number = 0
        try:
            while True:
                headers = await _read_request(reader)
                number += 1
                request_id = headers.get("slatechute-request-id", "")
                await self._script(
                    Exchange(self, writer, request_id, number, written)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    header_by_name = {}
    for line in head.split("\r\n")[1:-2]:
        name, _, value = line.partition(":")
        header_by_name[name.lower()] = value.strip()
    await reader.readexactly(int(header_by_name.get("content-length", "0")))
    return header_by_name


def response(
    status: int, request_id: str, *, named: bool, not_run: bool = False
) -> bytes:
    """Return a response whose body is the id of its request.

    Args:
        status: HTTP status.
        request_id: Id of the request that it answers.
        named: Whether it names the request in its headers.
        not_run: Whether it says that the request was not run.
    """
    lines = [f"HTTP/1.1 {status} Status"]
    if named:
        lines.append(f"Slatechute-Request-Id: {request_id}")
    if not_run:
        lines.append("Slatechute-Outcome: not-run")
    lines.append(f"Content-Length: {len(request_id)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + request_id).encode()
