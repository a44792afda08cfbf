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

__all__ = ["Adoption", "Line", "SpreadFleet", "percentile"]

_DEPLOYMENT = deployments.DEPLOYMENTS["kits"]
_POLL_S = 0.01
_BASE_KEEP_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line of an entry.

    Attributes:
        entry_id: The entry.
        start: Number of the start of its process, from 1.
        at_s: Time on the monotonic clock of the machine.
        event: Name of the event.
        fields: The whole line.
    """

    entry_id: str
    start: int
    at_s: float
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """A revision that came into force at an entry."""

    entry_id: str
    start: int
    at_s: float
    revision: int


def percentile(values: list[float], percent: float) -> float:
    """Return the smallest value that is not below a share of the values.

    >>> percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]


class SpreadFleet:
    """Entry processes, each with a listener of the platform of its own.

    Attributes:
        platform: Platform that changes are published at.
        replica_by_entry: Listener that each entry uses, for faults and counts.
        entries: The processes.
        lines: Log lines of all entries.
        adoptions: Configurations that came into force, as logged.
        start_by_entry: Number of the present start of each entry.
        session: For the admin servers.
    """

    def __init__(self, count: int, flags: dict[str, str] | None = None):
        self.platform = platforms.FakePlatform()
        self.replica_by_entry: dict[str, platforms.FakePlatform] = {}
        self.entries: list[processes.EntryProcess] = []
        self.lines: list[Line] = []
        self.adoptions: list[Adoption] = []
        self.session: aiohttp.ClientSession | None = None
        self._count = count
        self._flags = flags or {}
        self.start_by_entry: dict[str, int] = {}
        self._in_force: dict[str, int] = {}
        self._published = 0
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
                entry_id, centre, flags, self._receiver(entry_id)
            )
            self.entries.append(entry)
        rows = [await self.listed(entry) for entry in self.entries]
        self.platform.set_entries(rows)

    async def listed(self, entry: processes.EntryProcess) -> platforms.Instance:
        """Return the row of an entry in the list."""
        return entry.row

    def _receiver(self, entry_id: str):
        def receive(fields: dict[str, Any]) -> None:
            line = Line(
                entry_id,
                self.start_by_entry[entry_id],
                fields.get("monotonic_s", 0.0),
                fields.get("event", ""),
                fields,
            )
            self.lines.append(line)
            if line.event == "configuration_in_force":
                revision = fields["revision"]
                self._in_force[entry_id] = revision
                self.adoptions.append(
                    Adoption(entry_id, line.start, line.at_s, revision)
                )

        return receive

    async def start_all(self) -> None:
        """Start all entries at once and wait until they dispatch."""
        await asyncio.gather(*(self.start(entry) for entry in self.entries))
        await asyncio.gather(
            *(entry.wait_ready(self.session) for entry in self.entries)
        )

    async def start(self, entry: processes.EntryProcess) -> None:
        """Start an entry that does not run."""
        start = self.start_by_entry.get(entry.entry_id, 0) + 1
        self.start_by_entry[entry.entry_id] = start
        self._in_force.pop(entry.entry_id, None)
        await entry.start()
        if start == 1:
            self._stack.push_async_callback(entry.stop)

    def publish(self) -> tuple[int, float]:
        """Publish a change; return its revision and the time."""
        self._published += 1
        files = dict(_DEPLOYMENT.text_by_file)
        keep_ms = _BASE_KEEP_MS + self._published
        files["90-change.toml"] = f"[fleet]\nkeep_ms = {keep_ms}\n"
        at_s = time.monotonic()
        return self.platform.publish(base.CONFIGURATION, files), at_s

    async def wait_in_force(
        self,
        revision: int,
        limit_s: float,
        entries: list[processes.EntryProcess] | None = None,
    ) -> bool:
        """Wait until entries have a revision; return whether all do."""
        ids = [e.entry_id for e in (self.entries if not entries else entries)]
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if all(self._in_force.get(key, 0) >= revision for key in ids):
                return True
            await asyncio.sleep(_POLL_S)
        return False

    def delays_ms(self, revision: int, published_s: float) -> list[float]:
        """Return how long after its publication entries had a revision."""
        first_by_entry: dict[str, float] = {}
        for item in self.adoptions:
            if item.revision >= revision:
                first_by_entry.setdefault(item.entry_id, item.at_s)
        return [(at - published_s) * 1000 for at in first_by_entry.values()]

    def reader_ids(self) -> list[str]:
        """Return the entries that watch the platform by the list."""
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

    def call_times(self, start_s: float) -> list[float]:
        """Return the times of the platform calls of all entries."""
        return [
            at
            for replica in self.replica_by_entry.values()
            for at in replica.request_times_since(start_s)
        ]

    def set_down(self, down: bool) -> None:
        """Switch the platform off or on for all entries."""
        for replica in self.replica_by_entry.values():
            replica.down = down
