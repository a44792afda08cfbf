"""Bench that looks for reverts to older configurations under faults."""

import asyncio
import collections
from collections.abc import Callable, Iterable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import time
from typing import Any

import aiohttp

from slatechute.benches import processes
from slatechute.benches import spread_fleet
from slatechute.fakes import platform as platforms
from slatechute.fakes import tcp_proxy

__all__ = [
    "FAULTS",
    "Plan",
    "RevertsBench",
    "find_older_than_peers",
    "find_reverts",
]

FAULTS = ("kill", "freeze", "partition", "stale", "silent_watch", "down")
_MIN_GAP_S = 0.05
_MAX_GAP_S = 0.4
_MAX_CONCURRENT_FAULTS = 3
_FAULT_PROBABILITY = 0.7
# Longer than the longest backoff of requests to the platform.
_CONVERGENCE_TIMEOUT_S = 45.0
_POLL_INTERVAL_S = 0.25
_POLL_TIMEOUT_S = 1.0
# The link to a peer that was frozen or partitioned off within this time may
# still be open.
_UNREACHABLE_MARGIN_S = 1.0
# A revision that became active at a peer this long ago must be known to linked
# entries: a peer that is not a neighbour announces it in its next heartbeat,
# after 100 ms.
_PROPAGATION_MARGIN_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a bench run.

    Attributes:
        changes: Number of published changes.
        entries: Number of entry processes.
        seed: Seed of the faults and of the gaps between changes.
        longest_s: Maximum duration of a fault.
        log: File for the log lines of all entries; empty for none.
    """

    changes: int = 200
    entries: int = 9
    seed: int = 1
    longest_s: float = 3.0
    log: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreachablePeriod:
    """Period in which some entries were unreachable for all others.

    Attributes:
        entry_ids: Entries on one side of a partition, or the frozen entry.
        start_s: Start of the period on the monotonic clock.
        end_s: End of the period on the same clock.
        is_freeze: Whether the cause was a freeze instead of a partition.
    """

    entry_ids: frozenset[str]
    start_s: float
    end_s: float
    is_freeze: bool = False

    def separates(
        self, entry_id: str, peer: str, from_s: float, to_s: float
    ) -> bool:
        """Return whether a peer was unreachable for an entry in a period.

        A freeze of the entry itself does not count: the entry must catch up
        before it resumes dispatching.
        """
        is_separated = (entry_id in self.entry_ids) != (peer in self.entry_ids)
        if self.is_freeze:
            is_separated = peer in self.entry_ids
        return is_separated and self.start_s <= to_s and self.end_s >= from_s


def find_reverts(adoptions: Iterable[spread_fleet.Adoption]) -> list[dict]:
    """Return adoptions that are not newer than the previous one.

    >>> find_reverts([spread_fleet.Adoption("e1", 1, 0.5, 4),
    ...               spread_fleet.Adoption("e1", 1, 0.6, 3),
    ...               spread_fleet.Adoption("e1", 2, 0.9, 3)])
    [{'entry': 'e1', 'start': 1, 'from': 4, 'to': 3}]
    """
    last: dict[tuple[str, int], int] = {}
    violations = []
    for item in adoptions:
        key = (item.entry_id, item.boot_number)
        before = last.get(key, -1)
        if item.revision <= before:
            violations.append(
                {
                    "entry": item.entry_id,
                    "start": item.boot_number,
                    "from": before,
                    "to": item.revision,
                }
            )
        last[key] = item.revision
    return violations


def find_older_than_peers(
    lines: Iterable[spread_fleet.LogLine],
    unreachable_periods: list[UnreachablePeriod],
    event: str,
) -> list[dict]:
    """Return entries that had an older revision than a reachable peer.

    Args:
        lines: Log lines in any order.
        unreachable_periods: Periods in which entries were unreachable.
        event: Name of the log event, with the active revision, at which an
            entry must be up to date.
    """
    linked: dict[str, dict[str, float]] = collections.defaultdict(dict)
    revisions: dict[str, list[tuple[float, int]]] = collections.defaultdict(
        list
    )
    boot_number_by_entry: dict[str, int] = {}
    violations = []
    for line in sorted(lines, key=lambda line: line.at_s):
        entry_id = line.entry_id
        if boot_number_by_entry.get(entry_id) != line.boot_number:
            boot_number_by_entry[entry_id] = line.boot_number
            linked[entry_id] = {}
            revisions[entry_id] = []
        if line.event == "peer_ready":
            linked[entry_id][line.fields["peer"]] = line.at_s
        elif line.event == "peer_lost":
            linked[entry_id].pop(line.fields["peer"], None)
        elif line.event == "configuration_in_force":
            revisions[entry_id].append((line.at_s, line.fields["revision"]))
        elif line.event == event:
            until_s = line.at_s - _PROPAGATION_MARGIN_S
            for peer, linked_s in linked[entry_id].items():
                newest = max(
                    (r for at, r in revisions[peer] if at <= until_s), default=0
                )
                is_unreachable = linked_s > until_s or any(
                    item.separates(
                        entry_id,
                        peer,
                        line.at_s - _UNREACHABLE_MARGIN_S,
                        line.at_s,
                    )
                    for item in unreachable_periods
                )
                if newest > line.fields["revision"] and not is_unreachable:
                    violations.append(
                        {
                            "entry": entry_id,
                            "start": line.boot_number,
                            "event": event,
                            "revision": line.fields["revision"],
                            "peer": peer,
                            "peer_revision": newest,
                        }
                    )
    return violations


class _PeerProxy(tcp_proxy.FaultProxy):
    """Proxy of an entry's peer address that applies partitions of the fleet."""

    def __init__(self, fleet: "_ProxiedFleet", entry_id: str, upstream: str):
        super().__init__(upstream)
        self._fleet = fleet
        self._entry_id = entry_id
        self._client_by_connection: dict[Any, str] = {}

    def silence_partitioned_connections(self) -> None:
        """Silence the open connections that cross the partition."""
        for connection, client in self._client_by_connection.items():
            if self._fleet.is_partitioned(client, self._entry_id):
                connection.silent_directions.update(
                    (self.to_upstream, self.to_client)
                )

    async def _forward(self, connection, reader, writer) -> None:
        port = writer.get_extra_info("peername")[1]
        client = self._fleet.find_entry_by_port(port)
        if self._fleet.is_partitioned(client, self._entry_id):
            while await reader.read(1 << 16):
                pass
            return
        self._client_by_connection[connection] = client
        try:
            await super()._forward(connection, reader, writer)
        finally:
            del self._client_by_connection[connection]


class _ProxiedFleet(spread_fleet.SpreadFleet):
    """Fleet whose peer links pass through proxies in this process."""

    def __init__(self, count: int):
        super().__init__(count)
        self._proxies: list[_PeerProxy] = []
        self._side: frozenset[str] = frozenset()

    async def create_instance_row(
        self, entry: processes.EntryProcess
    ) -> platforms.Instance:
        """Start a proxy for an entry; return the row with its address."""
        proxy = _PeerProxy(self, entry.entry_id, entry.peer_address)
        await proxy.start()
        self._stack.push_async_callback(proxy.stop)
        self._proxies.append(proxy)
        return dataclasses.replace(
            entry.instance_row, peer_address=proxy.address
        )

    def partition(self, side: frozenset[str]) -> None:
        """Partition some entries from all others; an empty set ends it."""
        self._side = side
        for proxy in self._proxies:
            proxy.silence_partitioned_connections()

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether the partition separates two entries."""
        return (one in self._side) != (other in self._side)

    def find_entry_by_port(self, port: int) -> str:
        """Return the id of the entry that opened a connection from a port.

        The id is empty if no running entry has the port.
        """
        inode = _inode_of_port(port)
        for entry in self.entries:
            if entry.is_running and _has_socket(entry.pid, inode):
                return entry.entry_id
        return ""


def _inode_of_port(port: int) -> str:
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            return fields[9]
    return ""


def _has_socket(pid: int, inode: str) -> bool:
    expected = f"socket:[{inode}]"
    with contextlib.suppress(OSError):
        for item in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if os.readlink(item.path) == expected:
                    return True
    return False


class RevertsBench:
    """Runs a plan on real processes."""

    def __init__(self, plan: Plan, report: Callable[[dict], None]):
        self._plan = plan
        self._report = report
        self._rng = random.Random(plan.seed)
        self._fleet = _ProxiedFleet(plan.entries)
        self._unreachable_periods: list[UnreachablePeriod] = []
        self._active_faults: set[str] = set()
        self._fault_tasks: set[asyncio.Task] = set()
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._polled_by_boot: dict[str, list[spread_fleet.Adoption]] = {}

    async def run(self) -> dict:
        """Run the changes and faults; return the results for JSON."""
        plan = self._plan
        fleet = self._fleet
        timeout_s = 60 + plan.changes * 2 + _CONVERGENCE_TIMEOUT_S
        async with asyncio.timeout(timeout_s), fleet:
            await fleet.start_all()
            poller = asyncio.create_task(self._poll())
            for number in range(plan.changes):
                fleet.publish()
                self._start_random_fault(FAULTS[number % len(FAULTS)])
                await asyncio.sleep(self._rng.uniform(_MIN_GAP_S, _MAX_GAP_S))
                if number % 20 == 19:
                    self._report({"changes": number + 1, **self._fault_counts})
            await asyncio.gather(*self._fault_tasks)
            revision, at_s = fleet.publish()
            is_converged = await fleet.wait_until_active(
                revision, _CONVERGENCE_TIMEOUT_S
            )
            converged_s = time.monotonic() - at_s
            await asyncio.sleep(2 * _POLL_INTERVAL_S)
            poller.cancel()
            final = await self._final_revisions()
        if plan.log:
            self._write_log()
        return self._result(revision, is_converged, converged_s, final)

    def _write_log(self) -> None:
        lines = sorted(self._fleet.lines, key=lambda line: line.at_s)
        with open(self._plan.log, "w", encoding="utf-8") as file:
            for line in lines:
                content = {
                    "entry": line.entry_id,
                    "start": line.boot_number,
                    **line.fields,
                }
                file.write(json.dumps(content) + "\n")
            for item in self._unreachable_periods:
                ids = sorted(item.entry_ids)
                content = {**dataclasses.asdict(item), "entry_ids": ids}
                file.write(json.dumps(content) + "\n")

    def _result(
        self,
        revision: int,
        is_converged: bool,
        converged_s: float,
        final: dict[str, int],
    ) -> dict:
        fleet = self._fleet
        lines = fleet.lines
        polled = [
            item for items in self._polled_by_boot.values() for item in items
        ]
        violations = {
            "reverts": find_reverts(fleet.adoptions),
            "reverts_in_status": find_reverts(polled),
            "ready_with_older": find_older_than_peers(
                lines, self._unreachable_periods, "entry_ready"
            ),
            "resumed_with_older": find_older_than_peers(
                lines, self._unreachable_periods, "entry_resumed"
            ),
            "behind_at_end": [k for k, r in final.items() if r != revision],
        }
        is_clean = is_converged and not any(violations.values())
        return {
            "bench": "reverts",
            "revision": processes.git_revision(),
            "plan": dataclasses.asdict(self._plan),
            "faults": dict(self._fault_counts),
            "adoptions": len(fleet.adoptions),
            "starts": sum(fleet.boot_number_by_entry.values()),
            "ready": sum(line.event == "entry_ready" for line in lines),
            "resumed": sum(line.event == "entry_resumed" for line in lines),
            "converged_s": round(converged_s, 3) if is_converged else None,
            **violations,
            "clean": is_clean,
        }

    async def _final_revisions(self) -> dict[str, int]:
        return {
            entry.entry_id: (await self._status(entry))["configuration"][
                "revision"
            ]
            for entry in self._fleet.entries
        }

    async def _status(self, entry: processes.EntryProcess) -> dict:
        text = await entry.get(self._fleet.session, "/status")
        return json.loads(text)

    async def _poll(self) -> None:
        """Poll the revision in the status of each entry, besides its log."""
        while True:
            await asyncio.gather(*map(self._poll_one, self._fleet.entries))
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll_one(self, entry: processes.EntryProcess) -> None:
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                status = await self._status(entry)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        items = self._polled_by_boot.setdefault(status["boot_id"], [])
        revision = status["configuration"]["revision"]
        if not items or items[-1].revision != revision:
            items.append(
                spread_fleet.Adoption(
                    status["boot_id"], 1, time.monotonic(), revision
                )
            )

    # Faults.

    def _start_random_fault(self, kind: str) -> None:
        # All random values are drawn here and for each change, so that the
        # schedule depends on the seed and hardly on the timing.
        rng = self._rng
        length_s = rng.uniform(0.1, self._plan.longest_s)
        entry = rng.choice(self._fleet.entries)
        side = frozenset(
            item.entry_id
            for item in rng.sample(
                self._fleet.entries, rng.randint(1, self._plan.entries // 2)
            )
        )
        should_start = rng.random() < _FAULT_PROBABILITY
        coin_flip = rng.random() < 0.5
        if not should_start or len(self._fault_tasks) >= _MAX_CONCURRENT_FAULTS:
            return
        key = kind if kind in ("partition", "down") else entry.entry_id
        if key in self._active_faults:
            return
        self._active_faults.add(key)
        self._fault_counts[kind] += 1
        fault = {
            "kill": lambda: self._kill_entry(
                entry, length_s, is_stale=coin_flip
            ),
            "freeze": lambda: self._freeze_entry(entry, length_s),
            "partition": lambda: self._partition_entries(side, length_s),
            "stale": lambda: self._make_platform_stale(entry, length_s),
            "silent_watch": lambda: self._silence_watch(entry, length_s),
            "down": lambda: self._stop_platform(
                None if coin_flip else side, length_s
            ),
        }[kind]()
        task = asyncio.create_task(self._run_fault(key, fault))
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    async def _run_fault(self, key: str, fault) -> None:
        try:
            await fault
        finally:
            self._active_faults.discard(key)

    async def _kill_entry(
        self, entry, length_s: float, *, is_stale: bool
    ) -> None:
        """Restart an entry, optionally while its platform is stale."""
        replica = self._fleet.replica_by_entry[entry.entry_id]
        replica.frozen = is_stale
        await entry.stop()
        await asyncio.sleep(length_s / 3)
        await self._fleet.start(entry)
        await entry.wait_ready(self._fleet.session)
        await asyncio.sleep(length_s / 3)
        replica.frozen = False

    async def _freeze_entry(self, entry, length_s: float) -> None:
        start_s = time.monotonic()
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        entry.signal(signal.SIGCONT)
        self._record_unreachable(
            frozenset({entry.entry_id}), start_s, is_freeze=True
        )

    async def _partition_entries(
        self, side: frozenset[str], length_s: float
    ) -> None:
        start_s = time.monotonic()
        self._fleet.partition(side)
        await asyncio.sleep(length_s)
        self._fleet.partition(frozenset())
        self._record_unreachable(side, start_s)

    def _record_unreachable(
        self,
        entry_ids: frozenset[str],
        start_s: float,
        *,
        is_freeze: bool = False,
    ) -> None:
        end_s = time.monotonic()
        self._unreachable_periods.append(
            UnreachablePeriod(entry_ids, start_s, end_s, is_freeze)
        )

    async def _make_platform_stale(self, entry, length_s: float) -> None:
        replica = self._fleet.replica_by_entry[entry.entry_id]
        replica.frozen = True
        await asyncio.sleep(length_s)
        replica.frozen = False

    async def _silence_watch(self, entry, length_s: float) -> None:
        replica = self._fleet.replica_by_entry[entry.entry_id]
        replica.is_watch_silent = True
        await asyncio.sleep(length_s)
        replica.is_watch_silent = False

    async def _stop_platform(
        self, side: frozenset[str] | None, length_s: float
    ) -> None:
        """Stop the platform for some entries, or for all if None."""
        for entry_id, replica in self._fleet.replica_by_entry.items():
            replica.down = side is None or entry_id in side
        await asyncio.sleep(length_s)
        self._fleet.set_down(False)
