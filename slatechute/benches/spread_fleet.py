"""Fleet of entry processes for the benches of configuration."""

import asyncio
import contextlib
import dataclasses
import time
from typing import Any

import aiohttp

from slatechute.benches import processes
from slatechute.configuration import instances
from slatechute.configuration import spread
from slatechute.fakes import deployments
from slatechute.fakes import platform as platforms
from slatechute.platforms import base

__all__ = ["Adoption", "LogLine", "SpreadFleet", "percentile"]

_DEPLOYMENT = deployments.DEPLOYMENTS["kits"]
_POLL_INTERVAL_S = 0.01
_BASE_KEEP_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A log line of an entry.

    Attributes:
        entry_id: Id of the entry.
        boot_number: Number of the boot of its process, from 1.
        at_s: Time on the monotonic clock of the machine.
        event: Name of the event.
        fields: All fields of the line.
    """

    entry_id: str
    boot_number: int
    at_s: float
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """A revision that became active at an entry.

    Attributes:
        entry_id: Id of the entry.
        boot_number: Number of the boot of its process, from 1.
        at_s: Time on the monotonic clock of the machine.
        revision: Revision of the configuration.
    """

    entry_id: str
    boot_number: int
    at_s: float
    revision: int


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method.

    >>> percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]


class SpreadFleet:
    """Entry processes, each with its own replica of the platform.

    Attributes:
        platform: Platform on which changes are published.
        replica_by_entry: Replica that each entry uses, for faults and counts.
        entries: Entry processes.
        lines: Log lines of all entries.
        adoptions: Configurations that became active, as logged.
        boot_number_by_entry: Number of the current boot of each entry.
        session: HTTP session for the admin servers.
    """

    def __init__(self, count: int, flags: dict[str, str] | None = None):
        self.platform = platforms.FakePlatform()
        self.replica_by_entry: dict[str, platforms.FakePlatform] = {}
        self.entries: list[processes.EntryProcess] = []
        self.lines: list[LogLine] = []
        self.adoptions: list[Adoption] = []
        self.session: aiohttp.ClientSession | None = None
        self._count = count
        self._flags = flags or {}
        self.boot_number_by_entry: dict[str, int] = {}
        self._active_revision_by_entry: dict[str, int] = {}
        self._publish_count = 0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "SpreadFleet":
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._stack.aclose()

    async def _open(self) -> None:
        self.session = aiohttp.ClientSession()
        self._stack.push_async_callback(self.session.close)
        await self.platform.start()
        self._stack.push_async_callback(self.platform.stop)
        self.publish()
        centres = _DEPLOYMENT.data_centres
        for number in range(1, self._count + 1):
            entry_id = f"e{number:02}"
            replica = platforms.FakePlatform(origin=self.platform)
            await replica.start()
            self._stack.push_async_callback(replica.stop)
            self.replica_by_entry[entry_id] = replica
            flags = {
                "platform-url": replica.url,
                "log-level": "info",
                **self._flags,
            }
            centre = centres[number % len(centres)]
            entry = processes.EntryProcess(
                entry_id, centre, flags, self._log_handler(entry_id)
            )
            self.entries.append(entry)
        rows = [await self.create_instance_row(entry) for entry in self.entries]
        self.platform.set_entries(rows)

    async def create_instance_row(
        self, entry: processes.EntryProcess
    ) -> platforms.Instance:
        """Return the row of an entry for the list of instances."""
        return entry.instance_row

    def _log_handler(self, entry_id: str):
        def record_line(fields: dict[str, Any]) -> None:
            line = LogLine(
                entry_id,
                self.boot_number_by_entry[entry_id],
                fields.get("monotonic_s", 0.0),
                fields.get("event", ""),
                fields,
            )
            self.lines.append(line)
            if line.event == "configuration_in_force":
                revision = fields["revision"]
                self._active_revision_by_entry[entry_id] = revision
                self.adoptions.append(
                    Adoption(entry_id, line.boot_number, line.at_s, revision)
                )

        return record_line

    async def start_all(self) -> None:
        """Start all entries at once and wait until they are ready."""
        await asyncio.gather(*(self.start(entry) for entry in self.entries))
        await asyncio.gather(
            *(entry.wait_ready(self.session) for entry in self.entries)
        )

    async def start(self, entry: processes.EntryProcess) -> None:
        """Start an entry that is not running."""
        boot_number = self.boot_number_by_entry.get(entry.entry_id, 0) + 1
        self.boot_number_by_entry[entry.entry_id] = boot_number
        self._active_revision_by_entry.pop(entry.entry_id, None)
        await entry.start()
        if boot_number == 1:
            self._stack.push_async_callback(entry.stop)

    def publish(self) -> tuple[int, float]:
        """Publish a change; return its revision and the monotonic time."""
        self._publish_count += 1
        files = dict(_DEPLOYMENT.text_by_file)
        keep_ms = _BASE_KEEP_MS + self._publish_count
        files["90-change.toml"] = f"[fleet]\nkeep_ms = {keep_ms}\n"
        at_s = time.monotonic()
        return self.platform.publish(base.CONFIGURATION, files), at_s

    async def wait_until_active(
        self,
        revision: int,
        timeout_s: float,
        entries: list[processes.EntryProcess] | None = None,
    ) -> bool:
        """Wait until a revision or a newer one is active; return whether it is.

        Args:
            revision: Revision to wait for.
            timeout_s: Maximum time to wait.
            entries: Entries to wait for; all if None.
        """
        ids = [e.entry_id for e in (self.entries if not entries else entries)]
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if all(
                self._active_revision_by_entry.get(key, 0) >= revision
                for key in ids
            ):
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    def delays_ms(self, revision: int, published_s: float) -> list[float]:
        """Return the delays until entries adopted a revision or a newer one.

        Entries that have not adopted it yet are left out.

        Args:
            revision: Published revision.
            published_s: Time of its publication on the monotonic clock.
        """
        first_by_entry: dict[str, float] = {}
        for item in self.adoptions:
            if item.revision >= revision:
                first_by_entry.setdefault(item.entry_id, item.at_s)
        return [(at - published_s) * 1000 for at in first_by_entry.values()]

    def reader_ids(self) -> list[str]:
        """Return the ids of the platform readers among the listed entries."""
        listed = [
            instances.Entry(
                entry.entry_id,
                entry.address,
                entry.peer_address,
                entry.admin_address,
                entry.data_centre,
                "live",
            )
            for entry in self.entries
        ]
        return [
            reader
            for centre in _DEPLOYMENT.data_centres
            for reader in spread.readers(centre, listed)
        ]

    def platform_request_times(self, start_s: float) -> list[float]:
        """Return the times of the platform requests of all entries."""
        return [
            at
            for replica in self.replica_by_entry.values()
            for at in replica.request_times_since(start_s)
        ]

    def set_down(self, down: bool) -> None:
        """Stop or resume the platform for all entries."""
        for replica in self.replica_by_entry.values():
            replica.down = down
