"""Tests of the store client against a fake store."""

import asyncio
import base64
import json

from aiohttp import web
import pytest
import store

from slatechute import errors
from slatechute.gateway import reader


async def _with_store(responses, check):
    """Run a check against a store that returns the given responses in order."""
    queries = []

    async def handle(http: web.BaseRequest) -> web.Response:
        queries.append((http.path, dict(http.query)))
        status, content = responses.pop(0)
        return web.Response(status=status, text=json.dumps(content))

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    client = store.StoreClient(f"{host}:{port}")
    try:
        await check(client, queries)
    finally:
        client.close()
        await runner.cleanup()


def _item(key, revision, text="x"):
    value = base64.b64encode(text.encode()).decode()
    return {
        "key": key,
        "value": value,
        "revision": revision,
        "created": 1,
        "lease": 0,
    }


def test_pages_are_joined_at_the_revision_of_the_first():
    """The watch must return the changes made between two pages again."""
    responses = [
        (200, {"items": [_item("a", 3)], "has_more": True, "at": 10}),
        (200, {"items": [_item("b", 12)], "has_more": False, "at": 12}),
    ]

    async def check(client, queries):
        items, revision = await client.snapshot()
        assert [item.key for item in items] == ["a", "b"]
        assert revision == 10
        assert queries[1][1]["after"] == "a"

    asyncio.run(_with_store(responses, check))


def test_removed_keys_have_no_value():
    """A removal must be distinguishable from an empty value."""
    events = [_item("a", 5), {"key": "b", "revision": 6, "deleted": True}]

    async def check(client, queries):
        changes, revision = await client.watch(4, 1.0)
        assert [item.value for item in changes] == [b"x", None]
        assert revision == 6
        assert queries[0][1]["wait_ms"] == "1000"

    asyncio.run(_with_store([(200, {"events": events, "at": 6})], check))


def test_invalid_base64_becomes_an_empty_value():
    """One invalid value must not prevent the others from being read."""
    bad = _item("a", 5) | {"value": "%%%"}
    page = {"items": [bad, _item("b", 6)], "has_more": False, "at": 6}

    async def check(client, queries):
        del queries
        items, _ = await client.snapshot()
        assert [item.value for item in items] == [b"", b"x"]

    asyncio.run(_with_store([(200, page)], check))


def test_discarded_history_has_its_own_error():
    """A retry of the watch would fail for ever; a snapshot is needed."""

    async def check(client, queries):
        del queries
        with pytest.raises(reader.HistoryCompactedError):
            await client.watch(4, 1.0)

    asyncio.run(_with_store([(410, {})], check))


@pytest.mark.parametrize(
    ("status", "content"), [(503, {}), (429, {}), (200, {"items": 3})]
)
def test_invalid_responses_are_platform_errors(status, content):
    """With this error the reader backs off and keeps its current view."""

    async def check(client, queries):
        del queries
        with pytest.raises(errors.PlatformError):
            await client.snapshot()

    asyncio.run(_with_store([(status, content)], check))
