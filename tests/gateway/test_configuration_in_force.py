"""Tests of the configuration that requests are decided by."""

import asyncio
import contextlib
import io
import json
import signal

import aiohttp

from slatechute import logs
from tests import waiting
from tests.gateway import builders
from tests.gateway import earlier_builds
from tests.gateway import mixed_fleet
from tests.gateway import scripted_target
from tests.gateway import small_fleet

# The users' bound from the acknowledgement of a version.
_APPLY_S = 2.0
_CROWD = 100
# Body of a legal size in chunks of one byte.
_PIECES = b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
_REQUESTS = 10
# Longest time for an answer, many times that of a request.
_PATIENCE_S = 30.0
_BUILDS = {mixed_fleet.CURRENT_BUILD: earlier_builds.CURRENT}


async def _get(app, path="/a/x"):
    url = f"http://{app.settings.callers_address}{path}"
    headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        return response.status


def _log_lines(check):
    """Return the log lines of a fleet on which a check is run."""
    stream = io.StringIO()
    logs.setup(stream, "info")
    try:
        small_fleet.run(check)
    finally:
        logs.setup(None, "warning")
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_names_the_configuration_of_the_decision():
    """The version at the time of the line hid which one was out of date."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(
            scripted_target.response
        ) as target:
            target.delay_s = 0.7
            app = await fleet.add_with_routes()
            fleet.publish_target(address=target.address)
            await waiting.until(lambda: app.balancer.load_by_id)
            request = asyncio.create_task(_get(app))
            await target.arrived.wait()
            fleet.publish_routes(2, builders.route())
            await waiting.until(lambda: app.catalogue.table.version == 2)
            assert not request.done()
            assert await request == 200
            assert await _get(app, "/other/") == 404

    lines = _log_lines(check)
    [answered] = [x for x in lines if x["event"] == "request_answered"]
    [refused] = [x for x in lines if x["event"] == "request_refused"]
    assert (answered["version"], refused["version"]) == (1, 2)
    for line in (answered, refused):
        assert 0 <= line["version_age_ms"] < 3_000
        assert 0 <= line["view_age_ms"] < 3_000


class _Fleet(mixed_fleet.MixedFleet):
    """Entries whose route `/repeat/` is moved to another service."""

    MAX_BODY_BYTES = 1_000_000
    TIMEOUT_S = 25.0
    ROUTE_BY_PREFIX = {"/repeat/": ("safe", "shop"), "/": ("safe", "other")}

    def move_route(self) -> None:
        """Publish the next version."""
        self.ROUTE_BY_PREFIX = {
            "/repeat/": ("safe", "other"),
            "/": ("safe", "other"),
        }
        self.publish_configuration()

    async def start_all(self) -> list[mixed_fleet.Target]:
        """Start all entries; return the targets of the old and new service."""
        targets = [
            await self.add_target(service, "z1")
            for service in ("shop", "other")
        ]
        for target in targets:
            target.has_faults, target.SLOTS = False, _CROWD + _REQUESTS
        self.publish_configuration()
        for entry in self.entries:
            self.start(entry, mixed_fleet.CURRENT_BUILD)
        for entry in self.entries:
            await self.wait_ready(entry)
        return targets


def _head(name, method="GET"):
    return (
        f"{method} /repeat/{name} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {name}\r\nX-Deadline-Ms: 25000\r\n"
    ).encode()


async def _send_in_pieces(address, name):
    """Send one body in chunks of one byte, and keep the connection."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(*address)
        writer.write(_head(name, "POST"))
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n" + _PIECES)
        await writer.drain()
        await asyncio.sleep(2 * _PATIENCE_S)


async def _ask(address, name):
    """Return the status of one ordinary request, None without an answer."""
    try:
        async with asyncio.timeout(_PATIENCE_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(_head(name) + b"\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return int(head.split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


async def _play_crowd(folder):
    async with _Fleet(folder, _BUILDS, 1) as fleet:
        old, new = await fleet.start_all()
        # The first two entries read the platform, the others ask them.
        address = fleet.entries[2].callers.split(":")
        crowd = [
            asyncio.create_task(_send_in_pieces(address, f"c{number}"))
            for number in range(_CROWD)
        ]
        await asyncio.sleep(0.3)
        fleet.move_route()
        await asyncio.sleep(_APPLY_S)
        names = [f"q{number}" for number in range(_REQUESTS)]
        requests = []
        for name in names:
            requests.append(asyncio.create_task(_ask(address, name)))
            await asyncio.sleep(0.2)
        statuses = await asyncio.gather(*requests)
        for task in crowd:
            task.cancel()
        return statuses, names, old.runs, new.runs


def test_bodies_in_tiny_chunks_do_not_keep_a_version_from_coming_into_force(
    tmp_path,
):
    """Callers held the event loop, and requests went by the old version."""
    statuses, names, old, new = asyncio.run(_play_crowd(tmp_path))
    assert not set(names) & set(old)
    assert statuses == [200] * _REQUESTS
    assert set(names) <= set(new)


async def _play_pause(folder):
    """Move a route while an entry is frozen, with requests that wait for it."""
    async with _Fleet(folder, _BUILDS, 1) as fleet:
        old, new = await fleet.start_all()
        entry = fleet.entries[2]
        address = entry.callers.split(":")
        entry.run.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        fleet.move_route()
        await asyncio.sleep(_APPLY_S)
        names = [f"q{number}" for number in range(_REQUESTS)]
        requests = [asyncio.create_task(_ask(address, name)) for name in names]
        await asyncio.sleep(0.3)
        entry.run.process.send_signal(signal.SIGCONT)
        statuses = await asyncio.gather(*requests)
        return statuses, names, old.runs, new.runs


def test_resumed_entry_decides_by_a_version_that_was_confirmed(tmp_path):
    """It passed waiting requests on by the version from before its pause."""
    statuses, names, old, new = asyncio.run(_play_pause(tmp_path))
    assert not set(names) & set(old)
    assert statuses == [200] * _REQUESTS
    assert set(names) <= set(new)
