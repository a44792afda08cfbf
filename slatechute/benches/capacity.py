"""Bench of what planning, lists and heartbeats cost an entry by size.

Nothing is sent: the parts of one entry are driven in this process with lists
of a fleet that does not exist. Times are processor time, memory is what
`tracemalloc` sees. The start is measured on real processes, in elapsed time.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import gc
import json
import subprocess
import sys
import time
import tracemalloc
from typing import Any, ClassVar

import aiohttp

from slatechute import application
from slatechute import events
from slatechute import messages
from slatechute import settings as entry_settings
from slatechute.benches import processes
from slatechute.configuration import instances
from slatechute.configuration import models
from slatechute.configuration import spread
from slatechute.configuration import store
from slatechute.fakes import platform as platforms
from slatechute.platforms import base

__all__ = ["CapacityBench", "Plan", "Size"]

_DATA_CENTRES = 12
_OWN_ID = "e0000"
_KEY = "key of the capacity bench"
_REPEATS = 5
_HEARTBEATS = 2000
_SERVICES_IN_HEARTBEAT = (1, 5, 20)
_STARTS = 5
_POLL_S = 0.005
_ONE_SERVICE = {"10-services.toml": "[services.plans]\nslots = 2\n"}
_IMPORTS = ("", "asyncio", "aiohttp", "pydantic", "slatechute.application")


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet.

    Attributes:
        targets: Listed targets.
        services: Services that they belong to.
        entries: Listed entries.
    """

    targets: int
    services: int
    entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to run.

    Attributes:
        sizes: Sizes of the fleet.
    """

    sizes: tuple[Size, ...] = (
        Size(100, 5, 24),
        Size(1000, 48, 200),
        Size(11_000, 530, 2000),
    )


class CapacityBench:
    """Runs a plan."""

    def __init__(self, plan: Plan, report: Callable[[dict], None]):
        self._plan = plan
        self._report = report

    async def run(self) -> dict:
        """Run all sizes; return the results for JSON."""
        return {
            "bench": "capacity",
            "revision": processes.git_revision(),
            "sizes": [self._reported(_size(size)) for size in self._plan.sizes],
            "heartbeats": [
                self._reported(_heartbeat(count))
                for count in _SERVICES_IN_HEARTBEAT
            ],
            "start": self._reported(await _started()),
            "imports": [self._reported(_imported(name)) for name in _IMPORTS],
        }

    def _reported(self, figures: dict) -> dict:
        self._report(figures)
        return figures


def _document(size: Size, revision: int, moved: int = 0) -> base.Document:
    """Return an `instances` document; `moved` targets have a new id."""
    rows_by_part: dict[str, list[dict]] = {}
    for number in range(size.entries):
        centre = f"dc{number % _DATA_CENTRES}"
        rows_by_part.setdefault(f"{instances.ENTRIES}:{centre}", []).append(
            {
                "id": f"e{number:04}",
                "address": f"10.1.{number // 250}.{number % 250}:8400",
                "data_centre": centre,
                "state": "live",
                "started": 0.0,
                "peer_address": f"10.1.{number // 250}.{number % 250}:8401",
                "admin_address": f"10.1.{number // 250}.{number % 250}:8402",
            }
        )
    for number in range(size.targets):
        rows_by_part.setdefault(f"service-{number % size.services}", []).append(
            {
                "id": f"t{number}-{2 if number < moved else 1}",
                "address": f"10.2.{number // 250}.{number % 250}:80",
                "data_centre": f"dc{number % _DATA_CENTRES}",
                "state": "live",
                "started": 0.0,
            }
        )
    return base.Document(
        base.INSTANCES,
        revision,
        {name: json.dumps(rows) for name, rows in rows_by_part.items()},
    )


def _cpu_ms(work: Callable[[], Any]) -> float:
    start = time.process_time()
    work()
    return (time.process_time() - start) * 1000


def _least_ms(work: Callable[[], Any], repeats: int = _REPEATS) -> float:
    """Return the least processor time: what is above it is interference."""
    return round(min(_cpu_ms(work) for _ in range(repeats)), 3)


def _application(size: Size) -> application.Application:
    own = entry_settings.EntrySettings(
        entry_id=_OWN_ID,
        data_centre="dc0",
        address="10.1.0.0:8400",
        peer_address="10.1.0.0:8401",
        admin_address="10.1.0.0:8402",
        fleet_key=_KEY,
    )
    app = application.Application(own)
    app._state = "ready"
    # What `start` would set; nothing is announced here.
    app._spread = _NoSpread()
    services = {
        f"service-{number}": models.Service(slots=2)
        for number in range(size.services)
    }
    app.bus.emit(
        events.ConfigurationAdopted(
            1, "digest", models.Configuration(services=services)
        )
    )
    return app


class _NoSpread:
    neighbours: ClassVar[list[str]] = []

    def on_peers_changed(self, entries: Any) -> None:
        """Ignore the peers."""


def _size(size: Size) -> dict:
    first, second = _document(size, 1), _document(size, 2, moved=1)
    parse_ms = _least_ms(lambda: instances.parse(first))
    app = _application(size)
    tracemalloc.start()
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    app._store.offer(first, store.PLATFORM)
    _link_group(app)
    app._update_plans()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    diff_ms = _cpu_ms(lambda: app._store.offer(second, store.PLATFORM))
    change_ms = _cpu_ms(app._update_plans)
    services = list(app._configuration.services)
    peers = app.membership.peer_addresses(services)
    entries = list(app.membership.entries().values())
    return {
        **dataclasses.asdict(size),
        "digest_frame_bytes": len(
            messages.encode(
                messages.DocumentDigest(
                    base.INSTANCES,
                    1,
                    dict(app._store.digest_by_part(base.INSTANCES)),
                )
            )
        ),
        "document_bytes": sum(map(len, first.text_by_part.values())),
        "parse_ms": parse_ms,
        "adopt_one_change_ms": round(diff_ms, 3),
        "plan_after_change_ms": round(change_ms, 3),
        "plan_all_services_ms": _least_ms(
            lambda: [app.membership.plan(name) for name in services]
        ),
        "application_plan_ms": _least_ms(app._update_plans),
        "lost_peer_ms": round(_cpu_ms(lambda: _lose_peer(app)), 3),
        "wanted_peers": len(peers),
        "hops_from_readers": _hops(entries),
        "readers_ms": _least_ms(lambda: spread.readers("dc0", entries)),
        "state_mb": round((after - before) / 1e6, 2),
    }


def _hops(entries: list[instances.Entry]) -> int:
    """Return the most hops of a document from the readers to an entry."""
    degree = entry_settings.EntrySettings.model_fields["spread_degree"].default
    neighbours_by_id = {
        entry.id: spread.neighbours(
            entry.id, entry.data_centre, entries, degree
        )
        for entry in entries
    }
    centres = {entry.data_centre for entry in entries}
    queue = [r for centre in centres for r in spread.readers(centre, entries)]
    hops_by_id = dict.fromkeys(queue, 0)
    for entry_id in queue:
        for neighbour in neighbours_by_id[entry_id]:
            if neighbour not in hops_by_id:
                hops_by_id[neighbour] = hops_by_id[entry_id] + 1
                queue.append(neighbour)
    if len(hops_by_id) < len(entries):
        raise RuntimeError("an entry is not reached by any reader")
    return max(hops_by_id.values())


def _link_group(app: application.Application) -> None:
    """Let all wanted peers count as linked."""
    wanted = app.membership.peer_addresses(app._configuration.services)
    known = app.membership.entries()
    app.membership.set_linked_entries([known[key] for key in wanted])


def _lose_peer(app: application.Application) -> None:
    known = app.membership.entries()
    linked = sorted(app.membership.reachable())
    app.membership.set_linked_entries([known[key] for key in linked[1:]])
    app._update_plans()


def _heartbeat(services: int) -> dict:
    message = messages.Heartbeat(
        False,
        [
            messages.ServiceLoad(f"service-{number}", 12, 0)
            for number in range(services)
        ],
        4711,
        "0123456789abcdef" * 2,
    )
    frame = messages.encode(message)
    encode_ms = _least_ms(
        lambda: [messages.encode(message) for _ in range(_HEARTBEATS)]
    )
    decode_ms = _least_ms(
        lambda: [messages.decode(frame) for _ in range(_HEARTBEATS)]
    )
    return {
        "heartbeat_services": services,
        "frame_bytes": len(frame),
        "encode_us": round(encode_ms / _HEARTBEATS * 1000, 2),
        "decode_us": round(decode_ms / _HEARTBEATS * 1000, 2),
    }


async def _started() -> dict:
    """Return the times from starting a process to its first answers."""
    answers_ms, ready_ms = [], []
    platform = platforms.FakePlatform()
    await platform.start()
    platform.publish(base.CONFIGURATION, _ONE_SERVICE)
    async with aiohttp.ClientSession() as session:
        for _ in range(_STARTS):
            flags = {"platform-url": platform.url}
            entry = processes.EntryProcess(_OWN_ID, "dc0", flags)
            platform.set_entries([entry.instance_row])
            start = time.monotonic()
            await entry.start()
            await _wait_answer(session, entry)
            answers_ms.append((time.monotonic() - start) * 1000)
            await entry.wait_ready(session)
            ready_ms.append((time.monotonic() - start) * 1000)
            await entry.stop()
    await platform.stop()
    return {
        "starts": _STARTS,
        "answers_ms": [round(value) for value in sorted(answers_ms)],
        "ready_ms": [round(value) for value in sorted(ready_ms)],
    }


async def _wait_answer(
    session: aiohttp.ClientSession, entry: processes.EntryProcess
) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            url = f"http://{entry.admin_address}/ready"
            async with session.get(url):
                return
        await asyncio.sleep(_POLL_S)


def _imported(name: str) -> dict:
    """Return memory and time of a new interpreter that imports a module."""
    code = (
        f"{f'import {name}' if name else 'pass'}\n"
        "import resource, time\n"
        "pages = open('/proc/self/statm').read().split()[1]\n"
        "print(int(pages) * resource.getpagesize(), time.process_time())"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    size, cpu_s = found.stdout.split()
    return {
        "import": name or "(interpreter only)",
        "resident_mb": round(int(size) / 1e6, 1),
        "cpu_ms": round(float(cpu_s) * 1000, 1),
    }
