"""Stand-in for the platform's store: `kv-range` and `kv-watch`."""

import asyncio
import base64
import json
from urllib import parse

from standins import http

_JSON = {"Content-Type": "application/json"}


class Store:
    """Items with one revision counter, read over HTTP.

    Attributes:
        address: Host and port.
    """

    def __init__(self, host: str, port: int):
        self.address = f"{host}:{port}"
        self._server = http.Server(host, port, self._handle)
        self._revision = 100
        self._item_by_key: dict[str, dict] = {}
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Open the port."""
        await self._server.start()

    def stop(self) -> None:
        """Close the port."""
        self._server.stop()

    def put(self, key: str, content: object) -> None:
        """Write an item."""
        self._revision += 1
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._set({"key": key, "value": value})

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self._item_by_key.get(key, {"deleted": True}).get("deleted"):
            return
        self._revision += 1
        self._set({"key": key, "deleted": True})

    def _set(self, item: dict) -> None:
        self._item_by_key[item["key"]] = item | {"revision": self._revision}
        self._changed.set()
        self._changed = asyncio.Event()

    def _changes(self, after: int, prefix: str) -> list[dict]:
        return sorted(
            (
                item
                for item in self._item_by_key.values()
                if item["revision"] > after and item["key"].startswith(prefix)
            ),
            key=lambda item: item["revision"],
        )

    async def _handle(self, request: http.Request) -> bytes:
        url = parse.urlsplit(request.path)
        query = dict(parse.parse_qsl(url.query))
        prefix = query.get("prefix", "")
        if url.path.endswith("/kv-range"):
            items = [
                item
                for item in self._changes(0, prefix)
                if "value" in item and item["key"] > query.get("after", "")
            ]
            items.sort(key=lambda item: item["key"])
            content = {"items": items, "has_more": False, "at": self._revision}
        elif url.path.endswith("/kv-watch"):
            after = int(query["after"])
            events = self._changes(after, prefix)
            if not events:
                try:
                    async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                        await self._changed.wait()
                except TimeoutError:
                    pass
                events = self._changes(after, prefix)
            content = {"events": events, "at": self._revision}
        else:
            return http.encode_response(404, {})
        return http.encode_response(200, _JSON, json.dumps(content).encode())
