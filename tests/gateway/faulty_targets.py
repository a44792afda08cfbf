"""Targets that write earlier responses once more, and record what they write.

A target answers each request that it gets. Before the response to a later
request, it may write an earlier response of the connection once more. It may
reject a long request before its body has arrived, and reads the rest later.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import hashlib
import itertools
import random
import socket
import time

from tests.gateway import mixed_fleet

__all__ = ["Address", "FaultyTarget", "Record", "Step", "body_of"]

# Keeps the rest of a long body at the entry until the target reads it.
_RECEIVE_BUFFER_BYTES = 16 * 1024
_LONG_BODY_BYTES = 100_000
_READ_BYTES = 16 * 1024
# Share of the responses that are written once more, of these without an id, and
# of these soon instead of before a later response.
_COPIED_SHARE = 0.2
_COPIED_REFUSALS_SHARE = 0.7
_UNNAMED_SHARE = 0.05
_STRAY_SHARE = 0.1
# Responses between the original and the copy.
_MAX_SKIPPED = 2
_MAX_RUN_S = 0.03
_POLL_S = 0.01
# Statuses of a target that says that it has not run a request.
_REFUSAL_STATUSES = (503, 429)


def body_of(request_id: str, length: int) -> bytes:
    """Return the body of a request, which differs from those of others."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (length // len(block) + 1))[:length]


class Step(enum.StrEnum):
    """What a target has done for a request."""

    RUN = "run"
    REFUSED = "refused"
    WRONG_TARGET = "wrong target"
    COPY = "copy"
    ANSWERED = "answered"
    BROKEN_OFF = "broken off"
    DROPPED = "dropped"


@dataclasses.dataclass(slots=True)
class Record:
    """One step of a target.

    Attributes:
        at_s: When it was, on the clock `time.monotonic`.
        connection: Number of the connection, unique for all targets.
        sender: Host that the request came from.
        target_id: Id of the target.
        request_id: Id of the request, that of the copied response for a copy.
        step: What the target has done.
        status: HTTP status, 0 for none.
        is_named: Whether the response has the id of its request.
        is_marked: Whether the response says that the request was not run.
    """

    at_s: float
    connection: int
    sender: str
    target_id: str
    request_id: str
    step: Step
    status: int = 0
    is_named: bool = True
    is_marked: bool = False


class FaultyTarget(mixed_fleet.Target):
    """A target that may repeat its responses.

    Attributes:
        refused_share: Share of the requests that it refuses.
        failed_share: Share of the requests that it runs and answers with 500.
        unmarked_share: Share of the requests that it runs and answers with 503
            or 429 without saying that they have not run.
        copies_successes_without_id: Whether copies of a success may lack the
            id, as those of other responses may.
        early_refusals: Number of requests that it has refused before their
            bodies had arrived.
        altered: Ids of requests whose body was not that of the caller.
    """

    SLOTS = 6

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.refused_share = 0.03
        self.failed_share = 0.03
        self.unmarked_share = 0.005
        self.copies_successes_without_id = False
        self.early_refusals = 0
        self.altered: list[str] = []

    @property
    def rng(self) -> random.Random:
        """Random numbers of its faults."""
        return self._rng

    def is_hit(self, share: float) -> bool:
        """Return whether a fault with a share of the requests occurs."""
        return self._is_hit(share)

    def response(
        self, status: int, request_id: str, *, is_marked: bool = False
    ) -> bytes:
        """Return a response, without an id if that is empty."""
        body = b"ok" if status == 200 else b""
        headers = self._headers(request_id)
        headers["Content-Length"] = str(len(body))
        if is_marked:
            headers["X-Not-Executed"] = "1"
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + body

    @property
    def is_full(self) -> bool:
        """Whether it runs as many requests as it has slots."""
        return self._running >= self.SLOTS

    async def run(self, request_id: str, seconds: float) -> None:
        """Run a request."""
        self.runs.append(request_id)
        self._running += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._running -= 1


@dataclasses.dataclass(slots=True)
class _Copy:
    """A response to be written once more.

    Attributes:
        record: The original.
        content: Its bytes.
        skipped: Responses that still come before it.
    """

    record: Record
    content: bytes
    skipped: int


class Address:
    """One address and the target that has it now.

    Args:
        records: Gets what the targets do.

    Attributes:
        target: The target, None between two of them.
        text: Host and port.
    """

    _numbers = itertools.count(1)

    def __init__(self, records: list[Record]):
        self.target: FaultyTarget | None = None
        self.text = ""
        self._records = records
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Accept connections on a free port."""
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=_READ_BYTES
        )
        host, port = sock.getsockname()
        self.text = f"{host}:{port}"

    def reset(self) -> None:
        """Reset all connections, as those of a target that crashes."""
        for connection in self._connections:
            connection.reset()

    def close(self) -> None:
        """Accept no connections any more."""
        self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.target is None:
            writer.transport.abort()
            return
        connection = _Connection(
            self.target, reader, writer, self._records, next(self._numbers)
        )
        self._connections.add(connection)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await connection.serve()
        self._connections.discard(connection)
        writer.transport.abort()


class _Connection:
    """One connection to a target."""

    def __init__(
        self,
        target: FaultyTarget,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        records: list[Record],
        number: int,
    ):
        self._target = target
        self._reader = reader
        self._writer = writer
        self._records = records
        self._number = number
        self._sender = writer.get_extra_info("peername")[0]
        self._copies: collections.deque[_Copy] = collections.deque()
        self._is_reset = False

    def reset(self) -> None:
        """Reset the connection, as that of a target that crashes."""
        self._is_reset = True
        self._writer.transport.abort()

    async def serve(self) -> None:
        """Answer requests until the caller closes the connection."""
        while not self._writer.is_closing():
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            request_line, *lines = head.split("\r\n")
            header_by_name = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            path = request_line.split(" ")[1]
            if path == mixed_fleet.HEALTH_PATH:
                self._writer.write(self._target.response(200, ""))
            else:
                await self._answer(header_by_name)

    def _record(self, request_id: str, step: Step, **fields) -> Record:
        record = Record(
            time.monotonic(),
            self._number,
            self._sender,
            self._target.id,
            request_id,
            step,
            **fields,
        )
        self._records.append(record)
        return record

    async def _answer(self, header_by_name: dict[str, str]) -> None:
        target = self._target
        rng = target.rng
        request_id = header_by_name["x-request-id"]
        length = int(header_by_name.get("content-length", "0"))
        if header_by_name.get("x-target-instance") != target.id:
            await self._refuse(request_id, Step.WRONG_TARGET, 421, length)
            return
        if target.is_full or target.is_hit(target.refused_share):
            status = rng.choice(_REFUSAL_STATUSES)
            await self._refuse(request_id, Step.REFUSED, status, length)
            return
        await self._read_body(request_id, length)
        if target.is_full:
            await self._refuse(request_id, Step.REFUSED, 503, 0)
            return
        self._write_copy()
        self._record(request_id, Step.RUN)
        run_s = float(header_by_name.get("x-run-ms", "0")) / 1000
        await self._run(request_id, run_s or rng.uniform(0.005, _MAX_RUN_S))
        if target.is_hit(target.DROPPED_SHARE):
            target.dropped.add(request_id)
            self._record(request_id, Step.DROPPED)
            self._writer.transport.abort()
            return
        status = 200
        if target.is_hit(target.failed_share):
            status = 500
        elif target.is_hit(target.unmarked_share):
            status = rng.choice(_REFUSAL_STATUSES)
        self._respond(request_id, Step.ANSWERED, status)

    async def _run(self, request_id: str, seconds: float) -> None:
        """Run a request, and note if its caller ends its connection."""
        run = asyncio.create_task(self._target.run(request_id, seconds))
        while not run.done():
            await asyncio.wait({run}, timeout=_POLL_S)
            if run.done():
                break
            if self._is_reset:
                break
            if self._reader.at_eof() or self._writer.is_closing():
                self._record(request_id, Step.BROKEN_OFF)
                break
        await run

    async def _read_body(self, request_id: str, length: int) -> None:
        """Read a body and compare it to that of the caller."""
        body = await self._reader.readexactly(length)
        if body != body_of(request_id, length):
            self._target.altered.append(request_id)

    async def _refuse(
        self, request_id: str, step: Step, status: int, length: int
    ) -> None:
        """Refuse a request, a long one before its body has arrived."""
        if length < _LONG_BODY_BYTES:
            await self._read_body(request_id, length)
            length = 0
        self._respond(request_id, step, status, is_marked=True)
        if length:
            self._target.early_refusals += 1
            await asyncio.sleep(self._target.rng.uniform(0.0, 0.1))
            await self._read_body(request_id, length)

    def _respond(
        self,
        request_id: str,
        step: Step,
        status: int,
        *,
        is_marked: bool = False,
    ) -> None:
        target = self._target
        record = self._record(
            request_id, step, status=status, is_marked=is_marked
        )
        self._writer.write(
            target.response(status, request_id, is_marked=is_marked)
        )
        share = _COPIED_REFUSALS_SHARE if is_marked else _COPIED_SHARE
        if not target.is_hit(share):
            return
        is_named = (
            target.rng.random() >= _UNNAMED_SHARE
            or status == 200
            and not target.copies_successes_without_id
        )
        content = target.response(
            status, request_id if is_named else "", is_marked=is_marked
        )
        copied = dataclasses.replace(record, step=Step.COPY, is_named=is_named)
        copy = _Copy(copied, content, target.rng.randint(0, _MAX_SKIPPED))
        if target.rng.random() < _STRAY_SHARE:
            asyncio.get_running_loop().call_later(
                target.rng.uniform(0.0, 0.05), self._write, copy
            )
        else:
            self._copies.append(copy)

    def _write_copy(self) -> None:
        """Write an earlier response in place of the next one."""
        for copy in self._copies:
            copy.skipped -= 1
        if self._copies and self._copies[0].skipped < 0:
            copy = self._copies.popleft()
            if self._target.has_faults:
                self._write(copy)

    def _write(self, copy: _Copy) -> None:
        if not self._writer.is_closing():
            copy.record.at_s = time.monotonic()
            self._records.append(copy.record)
            self._writer.write(copy.content)
