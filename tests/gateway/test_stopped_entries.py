"""Planned stops of entries as processes, one after another, without faults.

Long runs are started by hand:

    STOP_SEEDS=1-20 pytest tests/gateway/test_stopped_entries.py
"""

import asyncio
import collections
import contextlib
import dataclasses
import os
import random
import signal
import time

from aiohttp import web
import pytest

from tests.gateway import earlier_builds
from tests.gateway import mixed_fleet

_STOPS = 3
_CALLERS = 24
# Counts for requests without a deadline. Some of them go on when no request is
# accepted any more, which is 0.7 s before the end.
_TIMEOUT_S = 2.0
_DEADLINES_S = [0.3, 0.9, 5.0, None, None]
_LONG_SHARE = 0.3
# Share of the time of a request that a target takes at most.
_MAX_RUN_SHARE = 0.9
_MAX_BODY_DELAY_S = 0.8
# The users' bound for a request that is read, not passed on and not answered.
_MAX_SILENCE_S = 0.2


class _Target(mixed_fleet.Target):
    """A target without faults, with slots for all callers."""

    SLOTS = _CALLERS

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Run a request, some for nearly the timeout of the route."""
        request_id = request.headers.get("X-Request-Id", "")
        headers = self._headers(request_id)
        if not request_id:
            return web.Response(headers=headers)
        await request.read()
        self.runs.append(request_id)
        is_long = self._rng.random() < _LONG_SHARE
        left_s = float(request.headers["X-Deadline-Ms"]) / 1000
        longest_s = _MAX_RUN_SHARE * left_s if is_long else 0.04
        await asyncio.sleep(self._rng.uniform(longest_s / 2, longest_s))
        return web.Response(text="ok", headers=headers)


@dataclasses.dataclass(slots=True)
class _Try:
    """One request to the entry that stops.

    Attributes:
        id: Its id.
        limit_s: Time after which the entry may give up.
        started_s: When its headers were sent, from which its time counts.
        sent_s: When its last byte was sent, infinite before.
        ended_s: When its answer or the end of the connection arrived.
        status: HTTP status, 0 if it got no complete answer.
    """

    id: str
    limit_s: float
    started_s: float = 0.0
    sent_s: float = float("inf")
    ended_s: float = 0.0
    status: int = 0


class _Caller:
    """Sends requests to one entry until that accepts no connection.

    Some callers keep their connections, the others open one for each request.
    """

    def __init__(self, name: str, address: str, rng: random.Random):
        self.tries: list[_Try] = []
        self._name = name
        self._address = address
        self._rng = rng
        self._keeps = rng.random() < 0.5
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None

    async def run(self) -> None:
        """Send requests until the process of the entry is gone."""
        while True:
            if self._writer is None:
                try:
                    streams = await asyncio.open_connection(
                        *self._address.split(":")
                    )
                except OSError:
                    return
                self._reader, self._writer = streams
            deadline_s = self._rng.choice(_DEADLINES_S)
            attempt = _Try(
                f"{self._name}.{len(self.tries)}",
                min(deadline_s or _TIMEOUT_S, _TIMEOUT_S),
            )
            self.tries.append(attempt)
            head = b""
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                head = await self._exchange(attempt, deadline_s)
            attempt.ended_s = time.monotonic()
            if not (head and self._keeps) or b"connection: close" in head:
                self._writer.close()
                self._writer = None
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))

    async def _exchange(self, attempt: _Try, deadline_s: float | None) -> bytes:
        """Send a request and return the headers of its answer."""
        unsafe = self._rng.random() < 0.6
        length = self._rng.choice([0, 0, 5, 20_000]) if unsafe else 0
        is_chunked = bool(length) and self._rng.random() < 0.5
        body = b"x" * length
        if is_chunked:
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (length, body)
        lines = [
            f"{'POST /once/' if unsafe else 'GET /repeat/'}{attempt.id} "
            "HTTP/1.1",
            "Host: shop.example",
            f"X-Request-Id: {attempt.id}",
            "Transfer-Encoding: chunked"
            if is_chunked
            else f"Content-Length: {length}",
        ]
        if deadline_s is not None:
            lines.append(f"X-Deadline-Ms: {deadline_s * 1000:.0f}")
        reading = asyncio.create_task(self._read(attempt))
        attempt.started_s = time.monotonic()
        try:
            self._writer.write("\r\n".join([*lines, "", ""]).encode())
            if length:
                delay_s = self._rng.uniform(0.0, _MAX_BODY_DELAY_S)
                await asyncio.wait({reading}, timeout=delay_s)
            if not reading.done():
                self._writer.write(body)
                await self._writer.drain()
                attempt.sent_s = time.monotonic()
            return await reading
        finally:
            reading.cancel()

    async def _read(self, attempt: _Try) -> bytes:
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.split(b"content-length:")[1].split()[0])
        await self._reader.readexactly(length)
        attempt.status = int(head.split()[1])
        return head


class _Fleet(mixed_fleet.MixedFleet):
    """Entries, some of whose requests outlast the time for accepting them."""

    TIMEOUT_S = _TIMEOUT_S


async def _play(folder, seed: int) -> None:
    rng = random.Random(f"stops-{seed}")
    builds = {mixed_fleet.CURRENT_BUILD: earlier_builds.CURRENT}
    async with _Fleet(folder, builds, seed) as fleet:
        targets = [
            _Target(f"t{number}", "shop", data_centre, rng)
            for number, data_centre in enumerate(("z1", "z1", "z2"))
        ]
        for target in targets:
            target.address = await fleet.serve(target.handle)
            fleet.register(target)
        fleet.publish_configuration()
        for entry in fleet.entries:
            fleet.start(entry, mixed_fleet.CURRENT_BUILD)
        for entry in fleet.entries:
            await fleet.wait_ready(entry)
        await asyncio.sleep(0.5)
        for entry in rng.sample(fleet.entries, _STOPS):
            callers = [
                _Caller(f"{entry.id}-{number}", entry.callers, rng)
                for number in range(_CALLERS)
            ]
            tasks = [asyncio.create_task(c.run()) for c in callers]
            await asyncio.sleep(rng.uniform(0.8, 1.6))
            asyncio.get_running_loop().call_later(
                rng.uniform(0.1, 1.0),
                entry.run.process.send_signal,
                signal.SIGHUP,
            )
            await fleet.stop(entry)
            async with asyncio.timeout(2 * _TIMEOUT_S):
                await asyncio.gather(*tasks)
            _check(entry.run, [t for c in callers for t in c.tries], targets)


def _check(run: mixed_fleet.Run, tries: list[_Try], targets) -> None:
    """Check the tries of the callers of one entry that was stopped."""
    runs = [request_id for target in targets for request_id in target.runs]
    late = [t for t in tries if t.ended_s > run.stopped_s]
    assert len([t for t in late if t.status == 200]) > _CALLERS, run.log_path
    faults = []
    for attempt in tries:
        if not attempt.status:
            if attempt.id in runs:
                faults.append(("cut after it was passed on", attempt))
            elif attempt.ended_s - attempt.sent_s > _MAX_SILENCE_S:
                faults.append(("cut after it was read", attempt))
            elif attempt.sent_s == float("inf") and (
                attempt.ended_s - attempt.started_s > _MAX_SILENCE_S
            ):
                faults.append(("cut within its body", attempt))
        elif attempt.status in mixed_fleet.NOT_RUN_STATUSES:
            if attempt.id in runs:
                faults.append(("ran and refused as not run", attempt))
        elif attempt.status != 200:
            if attempt.ended_s - attempt.started_s < attempt.limit_s:
                faults.append(("failed before its deadline", attempt))
    statuses = collections.Counter(attempt.status for attempt in late)
    kinds = collections.Counter(kind for kind, _ in faults)
    print(f"{run.entry_id}: after the signal {statuses}, faults {kinds}")
    assert not faults, (run.log_path, run.stopped_s, faults)
    assert run.exit_status == 0, run.log_path


def _seeds() -> list[int]:
    text = os.environ.get("STOP_SEEDS", "1")
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


@pytest.mark.parametrize("seed", _seeds())
def test_stopped_entry_answers_each_request_that_it_has_read(seed, tmp_path):
    """Requests late in the grace were passed on and cut without an answer."""
    asyncio.run(_play(tmp_path, seed))
