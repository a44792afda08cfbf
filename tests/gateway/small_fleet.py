"""Gateway entries in one process on loopback addresses, with their platform."""

import asyncio
import contextlib
import dataclasses
import socket

from slatechute import errors
from slatechute.gateway import application
from slatechute.gateway import dialects
from slatechute.gateway import published
from slatechute.gateway import reader
from slatechute.gateway import routing
from tests import waiting
from tests.gateway import builders


class MemorySource:
    """An in-memory platform whose reads can be made to fail."""

    def __init__(self):
        self.items: dict[str, dialects.PublishedItem] = {}
        self.era = 0
        self.revision = 0
        self.is_down = False
        self.compacted_revision = 0
        self.calls = 0
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        item = dialects.PublishedItem(key, self._position(self.revision), value)
        self.items[key] = item
        self._notify()
        return self.revision

    def _position(self, revision: int) -> int:
        return published.position(self.era, revision)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> tuple[dict[str, dialects.PublishedItem], int]:
        """Return a copy for `restore`."""
        return dict(self.items), self.revision

    def restore(
        self, copy: tuple[dict[str, dialects.PublishedItem], int]
    ) -> None:
        """Restore the content of an earlier copy."""
        items, self.revision = copy
        self.era += 1
        self.items = {
            key: dataclasses.replace(
                item,
                revision=self._position(published.revision_of(item.revision)),
            )
            for key, item in items.items()
        }
        self._notify()

    async def snapshot(self) -> reader.Snapshot:
        self.calls += 1
        if self.is_down:
            raise errors.PlatformError("down")
        present = [i for i in self.items.values() if i.value is not None]
        return present, self._position(self.revision)

    async def watch(self, after: int, wait_s: float) -> reader.Snapshot:
        self.calls += 1
        if self.is_down:
            raise errors.PlatformError("down")
        if after < self.compacted_revision:
            raise reader.HistoryCompactedError("gone")
        if self._position(self.revision) <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
        if self.era != published.era_of(after):
            raise reader.HistoryCompactedError("restored")
        changes = [i for i in self.items.values() if i.revision > after]
        return changes, self._position(self.revision)


class SmallFleet:
    """Entries `e1`, `e2`, ... on 127.0.0.1, 127.0.0.2, ..."""

    def __init__(self):
        self.dialect = builders.PlainDialect()
        self.source = MemorySource()
        self.apps: list[application.GatewayApplication] = []
        self._ports = free_ports(4)

    def publish_routes(
        self,
        version: int,
        *routes: routing.Route,
        services: tuple[routing.Service, ...] = (),
    ) -> None:
        table = routing.RoutingTable(version, routes, services)
        revision = published.position(self.source.era, self.source.revision + 1)
        self.dialect.table_by_revision[revision] = table
        self.source.put("c", b"x")

    def publish_target(self, **fields) -> None:
        target = builders.target(**fields)
        text = repr(target)
        self.dialect.target_by_key[text] = target
        self.source.put(f"t/{target.id}", text.encode())

    async def add(
        self,
        *,
        source: MemorySource | None = None,
        data_centre: str = "dc1",
        **fields: object,
    ) -> application.GatewayApplication:
        number = len(self.apps) + 1
        host = f"127.0.0.{number}"
        callers, control, peers, metrics = self._ports
        settings = builders.gateway_settings(
            entry_id=f"e{number}",
            host=host,
            data_centre=data_centre,
            callers_address=f"{host}:{callers}",
            control_address=f"{host}:{control}",
            peer_port=peers,
            metrics_port=metrics,
            seeds=(f"127.0.0.1:{control}",),
            shutdown_timeout_s=1.5,
            address_ttl_s=0.1,
            **fields,
        )
        app = application.GatewayApplication(
            settings, self.dialect, source or self.source
        )
        await app.start()
        self.apps.append(app)
        return app

    async def add_with_routes(self) -> application.GatewayApplication:
        """Publish a first table and add an entry that has adopted it."""
        self.publish_routes(1, builders.route())
        app = await self.add()
        await waiting.until(lambda: app.catalogue.table)
        return app

    async def close(self) -> None:
        for app in self.apps:
            await app.stop()


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP on the first address."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
        return ports


def run(check) -> None:
    """Run a check with a new fleet and close the fleet."""

    async def main() -> None:
        fleet = SmallFleet()
        try:
            await check(fleet)
        finally:
            await fleet.close()

    asyncio.run(main())
