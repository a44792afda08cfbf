"""Fleet in one process: platform, targets and entries on loopback."""

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
_PUBLISH_INTERVAL_S = 0.05
_READY_TIMEOUT_S = 10.0


# Below the ephemeral port range of the system: an outgoing connection could
# otherwise get the port before the server binds it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_used_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address whose port is currently free.

    Each address is returned only once per process.
    """
    while True:
        port = random.randint(_FIRST_PORT, _LAST_PORT)
        if port in _used_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
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
    """Runs all components of a deployment on one event loop.

    Attributes:
        deployment: Services and data centres.
        platform: Fake platform that all entries use.
        targets_by_service: Targets by service name.
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
            instances: Number of targets of each service; as in the deployment
                if None.
            options: Additional settings of the entries.
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
        self._entry_number = 0
        self._publisher: asyncio.Task | None = None
        self._published_json_by_part: dict[str, list] = {}

    @property
    def entry_addresses(self) -> list[str]:
        """Addresses of the running entries for callers."""
        return [app.settings.address for app in self.applications]

    @property
    def all_targets(self) -> list[targets.FakeTarget]:
        """Targets of all services."""
        groups = self.targets_by_service.values()
        return [target for group in groups for target in group]

    async def __aenter__(self) -> "LocalFleet":
        await self.platform.start()
        self.platform.publish(base.CONFIGURATION, self.deployment.text_by_file)
        data_centres = self.deployment.data_centres
        for size in self.deployment.services:
            service_targets = []
            for number in range(self._instances or size.instances):
                data_centre = data_centres[number % len(data_centres)]
                settings = target_settings(
                    size, number, data_centre, self._work_ms, self._seed
                )
                service_targets.append(targets.FakeTarget(settings))
            await asyncio.gather(
                *(target.start() for target in service_targets)
            )
            self.targets_by_service[size.name] = service_targets
        for _ in range(self._entry_count):
            self.applications.append(self.new_entry())
        self._publish_instances()
        self._publisher = asyncio.create_task(self._publish_periodically())
        await asyncio.gather(*(app.start() for app in self.applications))
        await self.wait_ready()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._publisher.cancel()
        await asyncio.gather(*(app.stop() for app in self.applications))
        await asyncio.gather(*(target.stop() for target in self.all_targets))
        await self.platform.stop()

    def new_entry(self) -> application.Application:
        """Return an additional entry, neither started nor in `applications`."""
        self._entry_number += 1
        data_centres = self.deployment.data_centres
        settings = entry_settings.EntrySettings(
            entry_id=f"e{self._entry_number:02}",
            data_centre=data_centres[self._entry_number % len(data_centres)],
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
        """Wait until all entries are ready to dispatch.

        Raises:
            TimeoutError: An entry is not ready in time.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for app in self.applications:
                await app.ready.wait()

    def _publish_instances(self) -> None:
        """Publish the lists that changed, as a real platform does."""
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
        if self._record_change("entries", entries):
            self.platform.set_entries(entries)
        for service, service_targets in self.targets_by_service.items():
            rows = [target.instance_row() for target in service_targets]
            if self._record_change(service, rows):
                self.platform.set_targets(service, rows)

    def _record_change(self, part: str, rows: list[platforms.Instance]) -> bool:
        """Store the rows and return whether they differ from the last ones."""
        content = json.dumps([dataclasses.asdict(row) for row in rows])
        if self._published_json_by_part.get(part) == content:
            return False
        self._published_json_by_part[part] = content
        return True

    async def _publish_periodically(self) -> None:
        while True:
            await asyncio.sleep(_PUBLISH_INTERVAL_S)
            self._publish_instances()
