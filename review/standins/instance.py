"""Stand-in for an instance of a service."""

import asyncio
from collections.abc import Callable
import random
import time

from standins import http
from standins import record
from standins import store

_QUEUE = 4
_BEAT_S = 1.5


class Instance:
    """Runs requests in slots, queues a few more and refuses the others.

    Attributes:
        id: Its id.
        service: Its service.
        running: Number of requests that it works on.
        sends_extra_copy: Called with the status of each answer to a request of
            a client; returns whether a second copy of it comes late, at the
            point where the next answer on the connection is expected.
    """

    def __init__(
        self,
        platform: store.Store,
        history: record.Record,
        id: str,
        service: str,
        host: str,
        port: int,
        *,
        zone: str = "inverness",
        slots: int = 2,
        work_s: float = 0.078,
    ):
        self.id = id
        self.service = service
        self.running = 0
        self.waiting = 0
        self.sends_extra_copy: Callable[[int], bool] = lambda status: False
        self._platform = platform
        self._history = history
        self._address = host, port
        self._zone = zone
        self._slots = slots
        self._work_s = work_s
        self._server = http.Server(host, port, self._handle)
        self._free = asyncio.Semaphore(slots)
        self._beats: asyncio.Task | None = None
        self._sequence = 0

    async def start(self) -> None:
        """Open the port and register."""
        await self._server.start()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            self._platform.put(
                f"servers/{self.id}",
                {
                    "address": "{}:{}".format(*self._address),
                    "info": {
                        "service": self.service,
                        "version": "v1",
                        "zone": self._zone,
                        "slots": self._slots,
                    },
                    "status": {
                        "state": "ready",
                        "seq": self._sequence,
                        "cold_left_s": 0,
                    },
                },
            )
            await asyncio.sleep(_BEAT_S)

    def crash(self) -> None:
        """End at once. The registration lapses after three heartbeats."""
        self._history.write("crash", self.id)
        self._beats.cancel()
        self._server.stop()
        asyncio.get_running_loop().call_later(
            3 * _BEAT_S, self._platform.delete, f"servers/{self.id}"
        )

    def stop(self) -> None:
        """End at the end of the case."""
        if self._beats is not None:
            self._beats.cancel()
        self._server.stop()

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {
            "X-Instance-Id": self.id,
            "X-Server-Load": f"{self.running},{self.waiting},{self._slots}",
        }
        if request_id:
            headers["X-Request-Id"] = request_id
        return headers

    async def _handle(self, request: http.Request) -> bytes:
        if request.path == "/health":
            return http.encode_response(200, self._headers(""))
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-target-instance", self.id)
        if expected != self.id:
            self._history.write("misdirected", self.id, request_id)
            return self._answer(request, 421, self._headers(request_id))
        deadline_s = time.monotonic() + (
            int(request.headers.get("x-deadline-ms", "1000")) / 1000
        )
        if self._free.locked() and self.waiting >= _QUEUE:
            return self._shed(request, request_id)
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() > deadline_s:
                return self._shed(request, request_id)
            self.running += 1
            self._history.write("run", self.id, request_id, request.path)
            self._send_late_copy(request)
            try:
                await asyncio.sleep(self._work_s * random.uniform(0.7, 1.3))
            finally:
                self.running -= 1
        finally:
            self._free.release()
        headers = self._headers(request_id) | {
            "X-Response-Signature": f"{self.id}.{request_id}"
        }
        return self._answer(request, 200, headers, request_id.encode() * 40)

    def _shed(self, request: http.Request, request_id: str) -> bytes:
        self._history.write("shed", self.id, request_id)
        headers = self._headers(request_id) | {"X-Not-Executed": "1"}
        return self._answer(request, 503, headers)

    def _answer(
        self,
        request: http.Request,
        status: int,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> bytes:
        """Return the bytes of an answer; a late copy of it may follow."""
        answer = http.encode_response(status, headers, body)
        if self.sends_extra_copy(status):
            request.connection.late_copy = answer
        return answer

    def _send_late_copy(self, request: http.Request) -> None:
        copy, request.connection.late_copy = request.connection.late_copy, b""
        if copy:
            self._history.write(
                "late_copy", self.id, "before", request.headers["x-request-id"]
            )
            request.connection.transport.write(copy)

    def successor(self, id: str) -> "Instance":
        """Return the next start of this instance, at the same address."""
        return Instance(
            self._platform,
            self._history,
            id,
            self.service,
            *self._address,
            zone=self._zone,
            slots=self._slots,
            work_s=self._work_s,
        )
