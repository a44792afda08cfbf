"""Bench of configuration under faults: no entry may go back to old rules."""

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

__all__ = ["FAULTS", "Plan", "RevertsBench", "older_than_peers", "reverts"]

FAULTS = ("kill", "freeze", "partition", "stale", "silent_watch", "down")
_MIN_GAP_S = 0.05
_MAX_GAP_S = 0.4
_FAULTS_AT_ONCE = 3
_FAULT_CHANCE = 0.7
# Longer than the longest backoff towards the platform.
_CONVERGE_S = 45.0
_POLL_S = 0.25
_POLL_TIMEOUT_S = 1.0
# A peer that was frozen or cut off within this time may still look linked.
_REACH_S = 1.0
# A revision that came into force at a peer this long ago must have been seen:
# a peer that is no neighbour tells of it with its next heartbeat, after 100 ms.
_SEEN_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to run.

    Attributes:
        changes: Published changes.
        entries: Entry processes.
        seed: Seed of faults and gaps.
        longest_s: Longest time of a fault.
        log: File for the log lines of all entries, empty for none.
    """

    changes: int = 200
    entries: int = 9
    seed: int = 1
    longest_s: float = 3.0
    log: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Time in which entries could not be reached by others.

    Attributes:
        entry_ids: Entries on one side; a single one when it was frozen.
        start_s: Begin on the monotonic clock.
        end_s: End.
        is_freeze: Whether it was a freeze and no partition.
    """

    entry_ids: frozenset[str]
    start_s: float
    end_s: float
    is_freeze: bool = False

    def hides(self, own: str, peer: str, from_s: float, to_s: float) -> bool:
        """Return whether it kept a peer from an entry in a period.

        A freeze of the entry itself is no excuse: it has to catch up before it
        goes on.
        """
        is_between = (own in self.entry_ids) != (peer in self.entry_ids)
        if self.is_freeze:
            is_between = peer in self.entry_ids
        return is_between and self.start_s <= to_s and self.end_s >= from_s


def reverts(adoptions: Iterable[spread_fleet.Adoption]) -> list[dict]:
    """Return adoptions that are not newer than the one before.

    >>> reverts([spread_fleet.Adoption("e1", 1, 0.5, 4),
    ...          spread_fleet.Adoption("e1", 1, 0.6, 3),
    ...          spread_fleet.Adoption("e1", 2, 0.9, 3)])
    [{'entry': 'e1', 'start': 1, 'from': 4, 'to': 3}]
    """
    last: dict[tuple[str, int], int] = {}
    found = []
    for item in adoptions:
        key = (item.entry_id, item.start)
        before = last.get(key, -1)
        if item.revision <= before:
            found.append(
                {
                    "entry": item.entry_id,
                    "start": item.start,
                    "from": before,
                    "to": item.revision,
                }
            )
        last[key] = item.revision
    return found


def older_than_peers(
    lines: Iterable[spread_fleet.Line], hidden: list[Unreachable], event: str
) -> list[dict]:
    """Return entries that had older rules than a peer that they could reach.

    Args:
        lines: Log lines in any order.
        hidden: When entries could not reach each other.
        event: Log line of an entry that has to be up to date, with the
            revision in force.
    """
    linked: dict[str, dict[str, float]] = collections.defaultdict(dict)
    revisions: dict[str, list[tuple[float, int]]] = collections.defaultdict(
        list
    )
    start_by_entry: dict[str, int] = {}
    found = []
    for line in sorted(lines, key=lambda line: line.at_s):
        own = line.entry_id
        if start_by_entry.get(own) != line.start:
            start_by_entry[own] = line.start
            linked[own] = {}
            revisions[own] = []
        if line.event == "peer_ready":
            linked[own][line.fields["peer"]] = line.at_s
        elif line.event == "peer_lost":
            linked[own].pop(line.fields["peer"], None)
        elif line.event == "configuration_in_force":
            revisions[own].append((line.at_s, line.fields["revision"]))
        elif line.event == event:
            seen_s = line.at_s - _SEEN_S
            for peer, since_s in linked[own].items():
                newest = max(
                    (r for at, r in revisions[peer] if at <= seen_s), default=0
                )
                is_hidden = since_s > seen_s or any(
                    item.hides(own, peer, line.at_s - _REACH_S, line.at_s)
                    for item in hidden
                )
                if newest > line.fields["revision"] and not is_hidden:
                    found.append(
                        {
                            "entry": own,
                            "start": line.start,
                            "event": event,
                            "revision": line.fields["revision"],
                            "peer": peer,
                            "peer_revision": newest,
                        }
                    )
    return found


class _PeerProxy(tcp_proxy.FaultProxy):
    """Proxy before the peer address of an entry that can cut single peers."""

    def __init__(self, fleet: "_ProxiedFleet", entry_id: str, upstream: str):
        super().__init__(upstream)
        self._fleet = fleet
        self._entry_id = entry_id
        self._client_by_link: dict[Any, str] = {}

    def cut_present(self) -> None:
        """Silence the present links that cross the partition."""
        for link, client in self._client_by_link.items():
            if self._fleet.is_cut(client, self._entry_id):
                link.silent_directions.update(
                    (self.to_upstream, self.to_client)
                )

    async def _forward(self, link, reader, writer) -> None:
        port = writer.get_extra_info("peername")[1]
        client = self._fleet.entry_of_port(port)
        if self._fleet.is_cut(client, self._entry_id):
            while await reader.read(1 << 16):
                pass
            return
        self._client_by_link[link] = client
        try:
            await super()._forward(link, reader, writer)
        finally:
            del self._client_by_link[link]


class _ProxiedFleet(spread_fleet.SpreadFleet):
    """Fleet whose peer links pass proxies of this process."""

    def __init__(self, count: int):
        super().__init__(count)
        self._proxies: list[_PeerProxy] = []
        self._side: frozenset[str] = frozenset()

    async def listed(self, entry: processes.EntryProcess) -> platforms.Instance:
        """Return the row of an entry with the address of its proxy."""
        proxy = _PeerProxy(self, entry.entry_id, entry.peer_address)
        await proxy.start()
        self._stack.push_async_callback(proxy.stop)
        self._proxies.append(proxy)
        return dataclasses.replace(entry.row, peer_address=proxy.address)

    def cut(self, side: frozenset[str]) -> None:
        """Separate some entries from all others; none heals the partition."""
        self._side = side
        for proxy in self._proxies:
            proxy.cut_present()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the partition lies between two entries."""
        return (one in self._side) != (other in self._side)

    def entry_of_port(self, port: int) -> str:
        """Return the entry that opened a connection, by its local port."""
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
    wanted = f"socket:[{inode}]"
    with contextlib.suppress(OSError):
        for item in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                if os.readlink(item.path) == wanted:
                    return True
    return False


class RevertsBench:
    """Runs a plan on real processes."""

    def __init__(self, plan: Plan, report: Callable[[dict], None]):
        self._plan = plan
        self._report = report
        self._rng = random.Random(plan.seed)
        self._fleet = _ProxiedFleet(plan.entries)
        self._hidden: list[Unreachable] = []
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._counts: collections.Counter[str] = collections.Counter()
        self._polled: dict[str, list[spread_fleet.Adoption]] = {}

    async def run(self) -> dict:
        """Run the changes and faults; return the results for JSON."""
        plan = self._plan
        fleet = self._fleet
        limit_s = 60 + plan.changes * 2 + _CONVERGE_S
        async with asyncio.timeout(limit_s), fleet:
            await fleet.start_all()
            poller = asyncio.create_task(self._poll())
            for number in range(plan.changes):
                fleet.publish()
                self._maybe_fault(FAULTS[number % len(FAULTS)])
                await asyncio.sleep(self._rng.uniform(_MIN_GAP_S, _MAX_GAP_S))
                if number % 20 == 19:
                    self._report({"changes": number + 1, **self._counts})
            await asyncio.gather(*self._tasks)
            revision, at_s = fleet.publish()
            is_converged = await fleet.wait_in_force(revision, _CONVERGE_S)
            converged_s = time.monotonic() - at_s
            await asyncio.sleep(2 * _POLL_S)
            poller.cancel()
            final = await self._final()
        if plan.log:
            self._write_log()
        return self._result(revision, is_converged, converged_s, final)

    def _write_log(self) -> None:
        lines = sorted(self._fleet.lines, key=lambda line: line.at_s)
        with open(self._plan.log, "w", encoding="utf-8") as file:
            for line in lines:
                content = {
                    "entry": line.entry_id,
                    "start": line.start,
                    **line.fields,
                }
                file.write(json.dumps(content) + "\n")
            for item in self._hidden:
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
        polled = [item for items in self._polled.values() for item in items]
        found = {
            "reverts": reverts(fleet.adoptions),
            "reverts_in_status": reverts(polled),
            "ready_with_older": older_than_peers(
                lines, self._hidden, "entry_ready"
            ),
            "resumed_with_older": older_than_peers(
                lines, self._hidden, "entry_resumed"
            ),
            "behind_at_end": [k for k, r in final.items() if r != revision],
        }
        is_clean = is_converged and not any(found.values())
        return {
            "bench": "reverts",
            "revision": processes.git_revision(),
            "plan": dataclasses.asdict(self._plan),
            "faults": dict(self._counts),
            "adoptions": len(fleet.adoptions),
            "starts": sum(fleet.start_by_entry.values()),
            "ready": sum(line.event == "entry_ready" for line in lines),
            "resumed": sum(line.event == "entry_resumed" for line in lines),
            "converged_s": round(converged_s, 3) if is_converged else None,
            **found,
            "clean": is_clean,
        }

    async def _final(self) -> dict[str, int]:
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
        """Read the revision of each start, apart from its own log."""
        while True:
            await asyncio.gather(*map(self._poll_one, self._fleet.entries))
            await asyncio.sleep(_POLL_S)

    async def _poll_one(self, entry: processes.EntryProcess) -> None:
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                status = await self._status(entry)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        items = self._polled.setdefault(status["boot_id"], [])
        revision = status["configuration"]["revision"]
        if not items or items[-1].revision != revision:
            items.append(
                spread_fleet.Adoption(
                    status["boot_id"], 1, time.monotonic(), revision
                )
            )

    # Faults.

    def _maybe_fault(self, kind: str) -> None:
        # All draws happen here and for each change, so that the schedule
        # depends on the seed and hardly on the timing.
        rng = self._rng
        length_s = rng.uniform(0.1, self._plan.longest_s)
        entry = rng.choice(self._fleet.entries)
        side = frozenset(
            item.entry_id
            for item in rng.sample(
                self._fleet.entries, rng.randint(1, self._plan.entries // 2)
            )
        )
        is_due = rng.random() < _FAULT_CHANCE
        is_wide = rng.random() < 0.5
        if not is_due or len(self._tasks) >= _FAULTS_AT_ONCE:
            return
        name = kind if kind in ("partition", "down") else entry.entry_id
        if name in self._busy:
            return
        self._busy.add(name)
        self._counts[kind] += 1
        fault = {
            "kill": lambda: self._kill(entry, length_s, is_stale=is_wide),
            "freeze": lambda: self._freeze(entry, length_s),
            "partition": lambda: self._partition(side, length_s),
            "stale": lambda: self._stale(entry, length_s),
            "silent_watch": lambda: self._silent_watch(entry, length_s),
            "down": lambda: self._down(None if is_wide else side, length_s),
        }[kind]()
        task = asyncio.create_task(self._fault(name, fault))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fault(self, name: str, fault) -> None:
        try:
            await fault
        finally:
            self._busy.discard(name)

    async def _kill(self, entry, length_s: float, *, is_stale: bool) -> None:
        """Restart an entry, which may meet a platform that is stale."""
        replica = self._fleet.replica_by_entry[entry.entry_id]
        replica.frozen = is_stale
        await entry.stop()
        await asyncio.sleep(length_s / 3)
        await self._fleet.start(entry)
        await entry.wait_ready(self._fleet.session)
        await asyncio.sleep(length_s / 3)
        replica.frozen = False

    async def _freeze(self, entry, length_s: float) -> None:
        start_s = time.monotonic()
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        entry.signal(signal.SIGCONT)
        self._hide(frozenset({entry.entry_id}), start_s, is_freeze=True)

    async def _partition(self, side: frozenset[str], length_s: float) -> None:
        start_s = time.monotonic()
        self._fleet.cut(side)
        await asyncio.sleep(length_s)
        self._fleet.cut(frozenset())
        self._hide(side, start_s)

    def _hide(
        self,
        entry_ids: frozenset[str],
        start_s: float,
        *,
        is_freeze: bool = False,
    ) -> None:
        end_s = time.monotonic()
        self._hidden.append(Unreachable(entry_ids, start_s, end_s, is_freeze))

    async def _stale(self, entry, length_s: float) -> None:
        replica = self._fleet.replica_by_entry[entry.entry_id]
        replica.frozen = True
        await asyncio.sleep(length_s)
        replica.frozen = False

    async def _silent_watch(self, entry, length_s: float) -> None:
        replica = self._fleet.replica_by_entry[entry.entry_id]
        replica.is_watch_silent = True
        await asyncio.sleep(length_s)
        replica.is_watch_silent = False

    async def _down(self, side: frozenset[str] | None, length_s: float) -> None:
        """Take the platform down for some entries or for all."""
        for entry_id, replica in self._fleet.replica_by_entry.items():
            replica.down = side is None or entry_id in side
        await asyncio.sleep(length_s)
        self._fleet.set_down(False)
