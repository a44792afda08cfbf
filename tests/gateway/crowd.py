"""One entry as a process on a small host, and a crowd of its callers."""

import asyncio
import json
import pathlib
import random

from aiohttp import web

from tests import crowd as crowds
from tests.gateway import earlier_builds
from tests.gateway import mixed_fleet

# Limits of the host in the settings of the entry, which are the bounds of the
# tests.
MEMORY_MB = 128
MAX_DESCRIPTORS = 1_024
MAX_BODY_BYTES = 1_000_000
HEAD = b"POST /once/crowd HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class Target(mixed_fleet.Target):
    """A target without faults, with bodies and responses of any size.

    Attributes:
        response_bytes: Size of the body of its responses.
    """

    SLOTS = 100
    response_bytes = 2

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Read the request and answer it."""
        request_id = request.headers.get("X-Request-Id", "")
        headers = self._headers(request_id)
        async for _ in request.content.iter_any():
            pass
        if request_id:
            self.runs.append(request_id)
        return web.Response(body=b"x" * self.response_bytes, headers=headers)


class Fleet(mixed_fleet.MixedFleet):
    """One entry on a small host, with one target."""

    MEMORY_MB = MEMORY_MB
    MAX_BODY_BYTES = MAX_BODY_BYTES
    TIMEOUT_S = 30.0

    @property
    def entry(self) -> mixed_fleet.Entry:
        """The entry."""
        return self.entries[0]

    @property
    def pid(self) -> int:
        """Process id of the entry."""
        return self.entry.run.process.pid

    def _write_settings(self, entry: mixed_fleet.Entry) -> pathlib.Path:
        path = super()._write_settings(entry)
        content = json.loads(path.read_text())
        content["limits"] = {
            "memory_mb": self.MEMORY_MB,
            "max_fds": MAX_DESCRIPTORS,
        }
        path.write_text(json.dumps(content))
        return path

    async def start_entry(self) -> None:
        """Start the entry and its target."""
        self.target = Target("t1", "shop", "z1", random.Random(1))
        self.target.address = await self.serve(self.target.handle)
        self.register(self.target)
        self.publish_configuration()
        self.start(self.entry, mixed_fleet.CURRENT_BUILD)
        await self.wait_ready(self.entry)

    def check_alive(self) -> None:
        """Check that the entry runs within the memory of its host."""
        run = self.entry.run
        assert run.process.poll() is None, run.log_path.read_text()[-2_000:]
        assert crowds.peak_memory_mb(self.pid) < self.MEMORY_MB

    async def ask(self, body: bytes = b"hello") -> int:
        """Return the status of one ordinary request on a new connection."""
        return await crowds.ask(
            self.entry.callers,
            b"POST /once/ordinary HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: ordinary\r\nX-Deadline-Ms: 30000\r\n",
            body,
        )


def play(folder: pathlib.Path, send, kind: type[Fleet] = Fleet) -> None:
    """Let a crowd send, and check what must hold of the entry.

    Args:
        folder: Folder for settings and logs.
        send: Coroutine function that gets the fleet and the crowd.
        kind: Kind of the fleet.
    """

    async def main() -> None:
        builds = {mixed_fleet.CURRENT_BUILD: earlier_builds.CURRENT}
        async with kind(folder, builds, 1) as fleet:
            await fleet.start_entry()
            assert await fleet.ask() == 200
            crowd = crowds.Crowd(fleet.pid)
            try:
                await send(fleet, crowd)
                fleet.check_alive()
                assert await fleet.ask() == 200
                fleet.check_alive()
                assert crowd.descriptors <= MAX_DESCRIPTORS
            finally:
                print(
                    f"peak {crowds.peak_memory_mb(fleet.pid):.0f} MB, "
                    f"{crowd.descriptors} descriptors"
                )
                crowd.close()

    asyncio.run(main())
