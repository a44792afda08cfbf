"""A whole fleet in one process: platform, targets and entries on loopback."""

import asyncio
import dataclasses
import json
import random
import socket
from typing import Any

from slatechute import application
from slatechute import settings as entry_settings
from slatechute.fakes import deployments
from slatechute.fakes import platform as platforms
from slatechute.fakes import target as targets
from slatechute.platforms import base

__all__ = ["FLEET_KEY", "LocalFleet", "free_address", "target_settings"]

FLEET_KEY = "loopback-fleet-key"
_LISTING_S = 0.05
_READY_LIMIT_S = 10.0


# Below the range from which the system takes the ports of outgoing connections:
# one of those could take the port before the server binds it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_given_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address whose port is free now.

    An address is given out once in a process.
    """
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return f"127.0.0.1:{port}"


def target_settings(
    size: deployments.ServiceSize,
    number: int,
    data_centre: str,
    work_ms: float,
    seed: int,
) -> targets.TargetSettings:
    """Return the settings of one target of a service."""
    return targets.TargetSettings(
        name=f"{size.name}-{number}",
        data_centre=data_centre,
        slots=size.slots,
        connections=size.connections,
        queue_length=256,
        work_ms=work_ms,
        seed=seed * 1000 + number,
    )


class LocalFleet:
    """Runs all parts of a deployment on one event loop.

    Attributes:
        platform: The platform service.
        targets_by_service: Targets.
        applications: Running entries.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        *,
        entries: int = 3,
        work_ms: float = 10.0,
        seed: int = 1,
        instances: int | None = None,
        options: dict[str, Any] | None = None,
    ):
        """Prepare a fleet.

        Args:
            deployment: Services and data centres.
            entries: Number of entries.
            work_ms: Mean work time of a request.
            seed: Seed of the targets.
            instances: Targets of each service; those of the deployment if None.
            options: Further settings of the entries.
        """
        self.deployment = deployment
        self.platform = platforms.FakePlatform()
        self.targets_by_service: dict[str, list[targets.FakeTarget]] = {}
        self.applications: list[application.Application] = []
        self._entry_count = entries
        self._work_ms = work_ms
        self._seed = seed
        self._instances = instances
        self._options = options or {}
        self._starts = 0
        self._listing: asyncio.Task | None = None
        self._rows_by_part: dict[str, list] = {}

    @property
    def entry_addresses(self) -> list[str]:
        """Callers' addresses of the running entries."""
        return [app.settings.address for app in self.applications]

    @property
    def all_targets(self) -> list[targets.FakeTarget]:
        """Targets of all services."""
        groups = self.targets_by_service.values()
        return [target for group in groups for target in group]

    async def __aenter__(self) -> "LocalFleet":
        await self.platform.start()
        self.platform.publish(base.CONFIGURATION, self.deployment.text_by_file)
        centres = self.deployment.data_centres
        for size in self.deployment.services:
            group = []
            for number in range(self._instances or size.instances):
                centre = centres[number % len(centres)]
                settings = target_settings(
                    size, number, centre, self._work_ms, self._seed
                )
                group.append(targets.FakeTarget(settings))
            await asyncio.gather(*(target.start() for target in group))
            self.targets_by_service[size.name] = group
        for _ in range(self._entry_count):
            self.applications.append(self.new_entry())
        self._publish_listing()
        self._listing = asyncio.create_task(self._keep_listing())
        await asyncio.gather(*(app.start() for app in self.applications))
        await self.wait_ready()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._listing.cancel()
        await asyncio.gather(*(app.stop() for app in self.applications))
        await asyncio.gather(*(target.stop() for target in self.all_targets))
        await self.platform.stop()

    def new_entry(self) -> application.Application:
        """Return one more entry, neither started nor listed."""
        self._starts += 1
        centres = self.deployment.data_centres
        settings = entry_settings.EntrySettings(
            entry_id=f"e{self._starts:02}",
            data_centre=centres[self._starts % len(centres)],
            address=free_address(),
            peer_address=free_address(),
            admin_address=free_address(),
            platform_url=self.platform.url,
            fleet_key=FLEET_KEY,
            drain_limit_ms=5000,
            **self._options,
        )
        return application.Application(settings)

    async def wait_ready(self) -> None:
        """Wait until all entries dispatch.

        Raises:
            TimeoutError: An entry is not ready in time.
        """
        async with asyncio.timeout(_READY_LIMIT_S):
            for app in self.applications:
                await app.ready.wait()

    def _publish_listing(self) -> None:
        """List what has changed, as the platform's own watchers would."""
        entries = [
            platforms.Instance(
                app.settings.entry_id,
                app.settings.address,
                app.settings.data_centre,
                "leaving" if app.readiness() == "draining" else "live",
                0.0,
                app.settings.peer_address,
                app.settings.admin_address,
            )
            for app in self.applications
        ]
        if self._is_news("entries", entries):
            self.platform.set_entries(entries)
        for service, group in self.targets_by_service.items():
            rows = [target.instance_row() for target in group]
            if self._is_news(service, rows):
                self.platform.set_targets(service, rows)

    def _is_news(self, part: str, rows: list[platforms.Instance]) -> bool:
        content = json.dumps([dataclasses.asdict(row) for row in rows])
        if self._rows_by_part.get(part) == content:
            return False
        self._rows_by_part[part] = content
        return True

    async def _keep_listing(self) -> None:
        while True:
            await asyncio.sleep(_LISTING_S)
            self._publish_listing()
