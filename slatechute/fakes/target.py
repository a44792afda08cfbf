"""Fake target that simulates faults and records the requests that it ran."""

import asyncio
import collections
from collections.abc import Iterator
import dataclasses
import random
import socket
import time

from aiohttp import web
import xxhash

from slatechute.fakes import platform

__all__ = [
    "INSTANCE_HEADER",
    "REQUEST_DIGEST_HEADER",
    "RESPONSE_DIGEST_HEADER",
    "FakeTarget",
    "ProbeCounters",
    "Run",
    "TargetSettings",
    "listening_socket",
    "reserve_port",
    "response_chunks",
]

RESPONSE_DIGEST_HEADER = "X-Answer-Digest"
REQUEST_DIGEST_HEADER = "X-Request-Digest"
INSTANCE_HEADER = "X-Instance"
_CHUNK_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """Behaviour of a fake target.

    Attributes:
        name: Prefix of the instance ids.
        data_centre: Data centre in the list of instances.
        slots: Maximum number of running requests.
        connections: Maximum number of open connections; further ones are
            closed.
        queue_length: Maximum number of requests that wait for a slot; further
            ones are refused.
        work_ms: Mean execution time of a request.
        fixed_work: Run each request for exactly `work_ms` instead of
            exponentially distributed times.
        answer_bytes: Length of a response body.
        cold_ms: Length of the warm-up of a new instance.
        cold_factor: Factor of the execution time during the warm-up.
        restart_ms: Time from a crash until the target listens again.
        names_requests: Whether responses name their request; targets of
            earlier builds do not.
        report_lag_ms: Minimum age of the state that the health and load
            endpoints report; the maximum is twice as long.
        seed: Seed of the execution times.
    """

    name: str = "target"
    data_centre: str = "dc1"
    slots: int = 2
    connections: int = 260
    queue_length: int = 64
    work_ms: float = 10.0
    fixed_work: bool = False
    answer_bytes: int = 200
    cold_ms: float = 0.0
    cold_factor: float = 5.0
    restart_ms: float = 500.0
    names_requests: bool = True
    report_lag_ms: float = 500.0
    seed: int = 0


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a request.

    Attributes:
        instance_id: Id of the instance that ran it.
        queued_ms: Time that it waited for a slot.
        started: Start time on the monotonic clock, in seconds.
        ended: End time on the same clock; None while running.
        status: `running`, `done`, `failed`, `cancelled` or `crashed`.
    """

    instance_id: str
    queued_ms: float
    started: float
    ended: float | None = None
    status: str = "running"

    def end(self, status: str) -> None:
        """Record the end unless one is already recorded."""
        if self.ended is None:
            self.ended, self.status = time.monotonic(), status


@dataclasses.dataclass(slots=True)
class ProbeCounters:
    """Counters of the health and load requests received.

    Attributes:
        requests: Number of requests.
        wire_bytes: Bytes of requests and responses, including headers.
    """

    requests: int = 0
    wire_bytes: int = 0


def response_chunks(request_id: str, size: int) -> Iterator[bytes]:
    """Yield the response body of a request: its id, repeated to `size` bytes.

    >>> list(response_chunks("a", 5))
    [b'a;a;a']
    """
    pattern = f"{request_id};".encode()
    block = (pattern * (_CHUNK_BYTES // len(pattern) + 1))[:_CHUNK_BYTES]
    for start in range(0, size, _CHUNK_BYTES):
        yield block[: size - start]


class FakeTarget:
    """HTTP server with slots, a FIFO queue and simulated faults.

    Request headers `X-Work-Ms` and `X-Answer-Bytes` override the settings for
    one request; `X-Crash: 1` crashes the instance that runs it.

    Attributes:
        settings: Behaviour, which the fault attributes below modify at run
            time.
        address: Host and port, known after `start`.
        slow_factor: Factor of all execution times.
        fail_fast: Whether requests fail with 500 immediately, without a slot.
        shedding: Whether requests are refused with the outcome `not-run`.
        leaving: Whether new requests are refused.
        runs_by_request_id: Executions by request id, over all instances.
        refusals: Number of refused requests by reason.
        arrivals_while_leaving: Arrival times of requests after `leave`, on the
            monotonic clock in seconds.
        leave_time_s: Time of `leave` on the monotonic clock.
        probes: Counters of the health and load requests.
        connections_refused: Number of connections closed above the limit.
        crashes: Number of crashes.
    """

    def __init__(self, settings: TargetSettings):
        self.settings = settings
        self.address = ""
        self.slow_factor = 1.0
        self.fail_fast = False
        self.shedding = False
        self.leaving = False
        self.leave_time_s = 0.0
        self.runs_by_request_id: dict[str, list[Run]] = {}
        self.refusals: collections.Counter[str] = collections.Counter()
        self.arrivals_while_leaving: list[float] = []
        self.probes = ProbeCounters()
        self.connections_refused = 0
        self.crashes = 0
        self._random = random.Random(settings.seed)
        self._start_count = 0
        self._instance = _InstanceState("", 0)
        self._connections: set[_Connection] = set()
        self._tasks: list[asyncio.Task] = []
        self._port_holder: socket.socket | None = None
        self._http: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._samples: collections.deque[dict] = collections.deque(maxlen=2)

    @property
    def id(self) -> str:
        """Id of the current instance; changes with each restart."""
        return self._instance.id

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._instance.runs)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return self._instance.queued

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def instance_row(self) -> platform.Instance:
        """Return the row for the list of instances."""
        return platform.Instance(
            self.id,
            self.address,
            self.settings.data_centre,
            "leaving" if self.leaving else "live",
            self._instance.started_epoch_s,
        )

    async def start(self) -> None:
        """Listen on a loopback port chosen by the operating system."""
        self._port_holder = reserve_port()
        self.address = f"127.0.0.1:{self._port_holder.getsockname()[1]}"
        self._http = web.Server(
            self._handle, handler_cancellation=True, access_log=None
        )
        await self._start_instance()
        self._tasks.append(asyncio.create_task(self._sample_state()))

    async def stop(self) -> None:
        """Close all connections and the listener."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        self._stop_instance("cancelled")
        if self._port_holder is not None:
            self._port_holder.close()
        await asyncio.sleep(0)

    def leave(self) -> None:
        """Refuse new requests and announce it in response headers.

        Queued and running requests are completed.
        """
        self.leaving = True
        self.leave_time_s = time.monotonic()

    def silence_connections(self) -> None:
        """Discard all bytes on the open connections; new ones still work."""
        for connection in self._connections:
            connection.silent = True

    def crash(self) -> None:
        """Abort all connections and stop listening for `restart_ms`."""
        if self._listener is None:
            return
        self.crashes += 1
        self._stop_instance("crashed")
        self._tasks.append(asyncio.create_task(self._restart()))

    async def _restart(self) -> None:
        await asyncio.sleep(self.settings.restart_ms / 1000)
        await self._start_instance()

    async def _start_instance(self) -> None:
        self._start_count += 1
        self._instance = _InstanceState(
            f"{self.settings.name}-{self._start_count}", self.settings.slots
        )
        self.leaving = False
        host, port = self.address.split(":")
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self, self._http),
            host,
            int(port),
            reuse_port=True,
            backlog=1024,
        )

    def _stop_instance(self, status: str) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for run in self._instance.runs:
            run.end(status)
        for connection in list(self._connections):
            connection.abort()

    async def _sample_state(self) -> None:
        while True:
            sample = {
                "instance": self.id,
                "state": "leaving" if self.leaving else "live",
                "slots": self.settings.slots,
                "running": self.running,
                "queued": self.queued,
            }
            self._samples.append(sample)
            await asyncio.sleep(max(self.settings.report_lag_ms, 1) / 1000)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path in ("/-/health", "/-/load"):
            return await self._serve_state(request)
        digest = xxhash.xxh3_128()
        async for chunk in request.content.iter_any():
            digest.update(chunk)
        headers = {REQUEST_DIGEST_HEADER: digest.hexdigest()}
        if self.leaving:
            self.arrivals_while_leaving.append(time.monotonic())
            return await self._refuse(request, "leaving")
        if self.shedding:
            return await self._refuse(request, "shedding")
        if self.fail_fast:
            self._record_run(request, 0.0).end("failed")
            return await self._send(request, 500, headers, b"failed")
        instance = self._instance
        if instance.slots.locked() and (
            instance.queued >= self.settings.queue_length
        ):
            return await self._refuse(request, "queue_full")
        arrived_s = time.monotonic()
        deadline_ms = _number_header(request, "Slatechute-Deadline-Ms", None)
        try:
            instance.queued += 1
            try:
                async with asyncio.timeout(
                    None if deadline_ms is None else deadline_ms / 1000
                ):
                    await instance.slots.acquire()
            finally:
                instance.queued -= 1
        except TimeoutError:
            return await self._refuse(request, "deadline")
        run = self._record_run(request, (time.monotonic() - arrived_s) * 1000)
        instance.runs.append(run)
        try:
            response = await self._run(request, headers)
            run.end("done")
            return response
        finally:
            run.end("cancelled")
            instance.runs.remove(run)
            instance.slots.release()

    async def _run(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        if request.headers.get("X-Crash") == "1":
            self.crash()
            # The closed connection cancels this handler.
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(self._work_ms(request) / 1000)
        size = self.settings.answer_bytes
        size = int(_number_header(request, "X-Answer-Bytes", size))
        request_id = request.headers.get("Slatechute-Request-Id", "")
        digest = xxhash.xxh3_128()
        for chunk in response_chunks(request_id, size):
            digest.update(chunk)
        headers[RESPONSE_DIGEST_HEADER] = digest.hexdigest()
        return await self._send(
            request, 200, headers, response_chunks(request_id, size), size
        )

    def _work_ms(self, request: web.BaseRequest) -> float:
        work_ms = self.settings.work_ms
        if not self.settings.fixed_work and work_ms > 0:
            work_ms = self._random.expovariate(1 / work_ms)
        work_ms = (
            _number_header(request, "X-Work-Ms", work_ms) * self.slow_factor
        )
        age_ms = (time.monotonic() - self._instance.started_s) * 1000
        if age_ms < self.settings.cold_ms:
            work_ms *= self.settings.cold_factor
        return work_ms

    def _record_run(self, request: web.BaseRequest, queued_ms: float) -> Run:
        run = Run(self.id, queued_ms, time.monotonic())
        request_id = request.headers.get("Slatechute-Request-Id", "")
        self.runs_by_request_id.setdefault(request_id, []).append(run)
        return run

    async def _refuse(
        self, request: web.BaseRequest, reason: str
    ) -> web.StreamResponse:
        self.refusals[reason] += 1
        headers = {"Slatechute-Outcome": "not-run"}
        return await self._send(request, 503, headers, reason.encode())

    async def _serve_state(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        sample = self._samples[0]
        is_health = request.path == "/-/health"
        status = 503 if is_health and sample["state"] == "leaving" else 200
        response = web.json_response(sample, status=status)
        await response.prepare(request)
        await response.write_eof()
        self.probes.requests += 1
        self.probes.wire_bytes += _read_and_reset_wire_bytes(request)
        return response

    async def _send(
        self,
        request: web.BaseRequest,
        status: int,
        headers: dict[str, str],
        chunks: bytes | Iterator[bytes],
        size: int | None = None,
    ) -> web.StreamResponse:
        headers[INSTANCE_HEADER] = self.id
        if self.leaving:
            headers["Slatechute-Target-State"] = "leaving"
        request_id = request.headers.get("Slatechute-Request-Id")
        if request_id is not None and self.settings.names_requests:
            headers["Slatechute-Request-Id"] = request_id
        if isinstance(chunks, bytes):
            size = len(chunks)
            chunks = iter([chunks])
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = size
        await response.prepare(request)
        if request.method != "HEAD":
            for chunk in chunks:
                await response.write(chunk)
        await response.write_eof()
        _read_and_reset_wire_bytes(request)
        return response


def reserve_port() -> socket.socket:
    """Return a socket that reserves a loopback port.

    It is bound but does not listen: connections to the port are refused
    unless a listener with `reuse_port` is also open.
    """
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    holder.bind(("127.0.0.1", 0))
    return holder


def listening_socket(host: str, port: int, *, backlog: int) -> socket.socket:
    """Return a socket that listens on a reserved port but never accepts."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((host, port))
    listener.listen(backlog)
    return listener


class _InstanceState:
    """State that is lost in a crash."""

    def __init__(self, instance_id: str, slots: int):
        self.id = instance_id
        self.started_s = time.monotonic()
        self.started_epoch_s = time.time()
        self.slots = asyncio.Semaphore(slots)
        self.queued = 0
        self.runs: list[Run] = []


class _Connection(asyncio.Protocol):
    """Wraps aiohttp's HTTP protocol to limit, count and silence connections."""

    def __init__(self, target: FakeTarget, http: web.Server):
        self.silent = False
        self._target = target
        self._http = http()
        self._transport: _Transport | None = None

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        target = self._target
        if target.connections >= target.settings.connections:
            target.connections_refused += 1
            transport.abort()
            return
        target._connections.add(self)
        self._transport = _Transport(self, transport)
        self._http.connection_made(self._transport)

    def data_received(self, data: bytes) -> None:
        if self._transport is not None and not self.silent:
            self._transport.wire_bytes += len(data)
            self._http.data_received(data)

    def eof_received(self) -> bool:
        # True keeps a silent connection open after the client closes its end.
        return self.silent

    def pause_writing(self) -> None:
        self._http.pause_writing()

    def resume_writing(self) -> None:
        self._http.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._target._connections.discard(self)
            self._http.connection_lost(exc)


class _Transport:
    """Transport that counts bytes and discards writes when silent."""

    def __init__(self, connection: _Connection, transport: asyncio.Transport):
        self.wire_bytes = 0
        self._connection = connection
        self._transport = transport

    def __getattr__(self, name: str) -> object:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        if not self._connection.silent:
            self.wire_bytes += len(data)
            self._transport.write(data)

    def writelines(self, chunks: list[bytes]) -> None:
        self.write(b"".join(chunks))


def _read_and_reset_wire_bytes(request: web.BaseRequest) -> int:
    """Return the number of bytes transferred since the previous call."""
    transport = request.transport
    if transport is None:
        return 0
    count, transport.wire_bytes = transport.wire_bytes, 0
    return count


def _number_header(
    request: web.BaseRequest, header: str, default: float | None
) -> float | None:
    try:
        return float(request.headers[header])
    except (KeyError, ValueError):
        return default
