"""Tests of the HTTP reader with a fake platform."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from slatechute import errors
from slatechute.fakes import platform as platforms
from slatechute.platforms import http


@contextlib.asynccontextmanager
async def _connected():
    fake = platforms.FakePlatform()
    await fake.start()
    try:
        async with aiohttp.ClientSession() as session:
            yield fake, http.HttpPlatform(fake.url, session)
    finally:
        await fake.stop()


@contextlib.asynccontextmanager
async def _reader_of(status: int, body: str):
    async def handle(_request):
        return web.Response(status=status, text=body)

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        async with aiohttp.ClientSession() as session:
            yield http.HttpPlatform(url, session)
    finally:
        await runner.cleanup()


def test_read_returns_the_published_document():
    """Guards against loss of parts or of the revision in transfer."""

    async def run():
        async with _connected() as (fake, reader):
            fake.publish("configuration", {"a.toml": "x = 'é'"})
            document = await reader.read("configuration")
            assert document.revision == 1
            assert document.text_by_part == {"a.toml": "x = 'é'"}

    asyncio.run(run())


def test_closed_connection_is_not_retried_by_the_client():
    """Guards against doubled load on a failing platform.

    The HTTP client itself retries a request whose connection was closed.
    """

    async def run():
        async with _connected() as (fake, reader):
            fake.publish("configuration", {})
            await reader.read("configuration")
            fake.down = True
            with pytest.raises(errors.PlatformError):
                await reader.read("configuration")
            assert fake.request_count == 2

    asyncio.run(run())


def test_watch_returns_on_publication_and_counts_one_call():
    """Guards against watches that poll or miss a revision."""

    async def run():
        async with _connected() as (fake, reader):
            fake.publish("instances", {})
            watch = asyncio.create_task(reader.watch("instances", 1, 5))
            await asyncio.sleep(0.1)
            assert not watch.done()
            fake.publish("instances", {"entries": "[]"})
            document = await asyncio.wait_for(watch, 1)
            assert document is not None and document.revision == 2
            assert fake.request_count == reader.calls == 1

    asyncio.run(run())


def test_watch_without_a_newer_document_returns_none():
    """Guards against handling the timeout of a long poll as an error."""

    async def run():
        async with _connected() as (fake, reader):
            fake.publish("instances", {})
            assert await reader.watch("instances", 1, 0.05) is None

    asyncio.run(run())


def test_down_platform_raises_platform_error():
    """Guards against exceptions of the HTTP library that reach the watcher."""

    async def run():
        async with _connected() as (fake, reader):
            fake.publish("instances", {})
            watch = asyncio.create_task(reader.watch("instances", 1, 5))
            await asyncio.sleep(0.05)
            fake.down = True
            with pytest.raises(errors.PlatformError):
                await asyncio.wait_for(watch, 1)
            with pytest.raises(errors.PlatformError):
                await reader.read("instances")
            await fake.stop()
            with pytest.raises(errors.PlatformError):
                await reader.read("instances")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (500, ""),
        (200, "not json"),
        (200, '{"name": "other", "revision": 9, "parts": {}}'),
        (200, '{"name": "instances", "revision": "9", "parts": {}}'),
        (200, '{"name": "instances", "revision": 9, "parts": {"a": 1}}'),
        (200, '{"name": "instances", "revision": 5, "parts": {}}'),
        (200, " " * (7 * 1024 * 1024)),
    ],
)
def test_invalid_responses_raise_platform_error(status, body):
    """Guards against invalid responses that are adopted or retried at once."""

    async def run():
        async with _reader_of(status, body) as reader:
            with pytest.raises(errors.PlatformError):
                await reader.watch("instances", 5, 1)

    asyncio.run(run())


def test_silent_platform_times_out(monkeypatch):
    """Guards against a reader that hangs on an unresponsive connection."""
    monkeypatch.setattr(http, "_RESPONSE_TIMEOUT_S", 0.1)

    async def run():
        async with _connected() as (fake, reader):
            fake.publish("instances", {})
            fake.latency_ms = 5000
            with pytest.raises(errors.PlatformError, match="timeout"):
                await reader.read("instances")

    asyncio.run(run())
