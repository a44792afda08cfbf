"""Tests of the store client against a fake store."""

import asyncio
import base64
import json

from aiohttp import web
import pytest
import store

from slatechute import errors
from slatechute.gateway import published
from slatechute.gateway import reader


async def _with_store(responses, check):
    """Run a check against a store that returns the given responses in order.

    A response is a status, the content and optionally the era.
    """
    queries = []

    async def handle(http: web.BaseRequest) -> web.Response:
        queries.append((http.path, dict(http.query)))
        status, content, *era = responses.pop(0)
        headers = {"Store-Era": era[0]} if era else {}
        return web.Response(
            status=status, text=json.dumps(content), headers=headers
        )

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


_EMPTY = {"events": [], "at": 9}


def test_era_orders_before_the_revision():
    """A restored store gives out lower revisions again."""
    responses = [
        (200, {"items": [_item("a", 3)], "at": 10}, "1"),
        (200, {"items": [_item("a", 2)], "at": 4}, "2"),
        (200, _EMPTY, "2"),
    ]

    async def check(client, queries):
        items, revision = await client.snapshot()
        restored_items, restored = await client.snapshot()
        assert restored > revision
        assert restored_items[0].revision > items[0].revision
        await client.watch(restored, 0.0)
        assert queries[2][1]["after"] == "4"

    asyncio.run(_with_store(responses, check))


def test_watch_of_a_restored_store_needs_a_snapshot():
    """The store may have passed the old revision again, and sends no 410."""

    async def check(client, queries):
        del queries
        with pytest.raises(reader.HistoryCompactedError):
            await client.watch(published.position(1, 9), 0.0)

    asyncio.run(_with_store([(200, _EMPTY, "2")], check))


def test_replica_of_an_earlier_era_is_not_read():
    """Its changes belong to content that is in force nowhere any more."""

    async def check(client, queries):
        del queries
        with pytest.raises(errors.PlatformError):
            await client.watch(published.position(2, 9), 0.0)

    asyncio.run(_with_store([(200, _EMPTY, "1")], check))


def test_pages_of_two_eras_are_not_joined():
    """The snapshot would mix the content before and after a restore."""
    responses = [
        (200, {"items": [_item("a", 3)], "has_more": True, "at": 10}, "1"),
        (200, {"items": [_item("b", 2)], "at": 4}, "2"),
    ]

    async def check(client, queries):
        del queries
        with pytest.raises(errors.PlatformError):
            await client.snapshot()

    asyncio.run(_with_store(responses, check))


@pytest.mark.parametrize("era", ["", "-1", "1.5", "x", "9" * 30, "4194304"])
def test_invalid_era_is_a_platform_error(era):
    """Ordered by a wrong era, no later change would be adopted."""

    async def check(client, queries):
        del queries
        with pytest.raises(errors.PlatformError):
            await client.watch(9, 0.0)

    asyncio.run(_with_store([(200, _EMPTY, era)], check))
