"""Stand-ins for clients that keep connections to the entries."""

import asyncio
import collections
import itertools
import json
import random

from standins import deployment
from standins import http
from standins import record

_WAIT_S = 3.0


def _headers(host: str, request_id: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }


class Clients:
    """Sends requests at random times and notes the answers.

    Args:
        history: Record of the case.
        entries: Entries whose directory is asked for the addresses to use.
    """

    def __init__(self, history: record.Record, entries: list[deployment.Entry]):
        self._addresses_by_group: dict[tuple[str, int], list[str]] = {}
        self._entries = entries
        self._history = history
        self._idle_by_address: dict[str, list[http.ClientConnection]] = (
            collections.defaultdict(list)
        )
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    async def follow_directory(self) -> None:
        """Ask for the addresses of each zone whenever their time is over.

        Half of the clients keep an answer for three times as long.
        """
        zones = {entry.zone for entry in self._entries}
        await asyncio.gather(
            *(
                self._follow_zone(zone, factor)
                for zone in zones
                for factor in (1, 3)
            )
        )

    async def _follow_zone(self, zone: str, factor: int) -> None:
        near = [entry for entry in self._entries if entry.zone == zone]
        while True:
            ttl_s = 0.2
            for entry in random.sample(near, min(3, len(near))):
                try:
                    async with asyncio.timeout(1):
                        answer = await self._resolve(entry)
                except (OSError, TimeoutError):
                    continue
                if answer.status == 200:
                    content = json.loads(answer.body)
                    self._addresses_by_group[zone, factor] = content[
                        "addresses"
                    ]
                    ttl_s = content["ttl_s"]
                    break
            await asyncio.sleep(ttl_s * factor)

    async def _resolve(self, entry: deployment.Entry) -> http.Response:
        connection = await http.ClientConnection.open(*entry.directory)
        try:
            path = "/slatechute/resolve?name=kits.example&region=highland"
            connection.send("GET", path, {"Host": entry.host})
            return await connection.receive()
        finally:
            connection.close()

    async def run(
        self,
        seconds: float,
        per_s: float,
        *,
        host: str,
        prefix: str,
        kind: str = "calm",
        method: str = "POST",
        deadline_ms: int = 1000,
        leave_share: float = 0.0,
        leave_ms: float = 0.0,
    ) -> None:
        """Send requests for some time.

        Args:
            seconds: How long.
            per_s: Requests a second.
            host: Host of the route.
            prefix: Prefix of the route.
            kind: Begins the ids of the requests.
            method: Method of the requests.
            deadline_ms: How long the clients wait.
            leave_share: Share of the clients that leave early.
            leave_ms: Longest time after which they leave.
        """
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        end_s = due_s + seconds
        while (due_s := due_s + random.expovariate(per_s)) < end_s:
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            leave_s = None
            if random.random() < leave_share:
                leave_s = random.uniform(0, leave_ms) / 1000
            request_id = f"{kind}-{next(self._numbers)}"
            headers = _headers(host, request_id, deadline_ms)
            self._start(method, f"{prefix}{request_id}", headers, leave_s)

    def _start(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        leave_s: float | None,
    ) -> asyncio.Task:
        task = asyncio.create_task(self._send(method, path, headers, leave_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def send_group(
        self,
        count: int,
        *,
        host: str,
        prefix: str,
        kind: str,
        leave_s: float | None,
        deadline_ms: int = 1000,
    ) -> None:
        """Send several requests at once, whose clients may leave together.

        Args:
            count: Number of requests.
            host: Host of the route.
            prefix: Prefix of the route.
            kind: Begins the ids of the requests.
            leave_s: Time after which those that wait leave; None to stay.
            deadline_ms: How long the clients wait.
        """
        ids = [f"{kind}-{next(self._numbers)}" for _ in range(count)]
        tasks = [
            self._start(
                "POST",
                f"{prefix}{request_id}",
                _headers(host, request_id, deadline_ms),
                leave_s,
            )
            for request_id in ids
        ]
        await asyncio.wait(tasks)

    async def finish(self) -> None:
        """Wait for the requests that are not answered yet."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_WAIT_S)

    async def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        leave_s: float | None,
    ) -> None:
        group = random.choice(list(self._addresses_by_group.values()))
        address = random.choice(group)
        request_id = headers["X-Request-Id"]
        idle = self._idle_by_address[address]
        connection = None
        try:
            while idle and connection is None:
                connection = idle.pop()
                if not connection.is_usable():
                    connection.close()
                    connection = None
            if connection is None:
                host, _, port = address.partition(":")
                connection = await http.ClientConnection.open(host, int(port))
            body = b"x" * 200 if method == "POST" else b""
            self._history.write("sent", request_id, address)
            connection.send(method, path, headers, body)
            if leave_s is None:
                leave_s = int(headers["X-Deadline-Ms"]) / 1000 + 0.5
            async with asyncio.timeout(leave_s):
                answer = await connection.receive()
        except TimeoutError:
            self._history.write("left", request_id)
            if connection is not None:
                connection.close()
        except OSError:
            self._history.write("answered", request_id, 0)
        else:
            self._history.write("answered", request_id, answer.status)
            self._check(request_id, answer)
            if connection.is_open:
                idle.append(connection)

    def _check(self, request_id: str, answer: http.Response) -> None:
        signature = answer.headers.get("x-response-signature", "")
        if 200 <= answer.status < 300 and (
            not signature.endswith(f".{request_id}")
            or answer.body != request_id.encode() * 40
        ):
            self._history.write("foreign", request_id, signature)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in itertools.chain(*self._idle_by_address.values()):
            connection.close()
