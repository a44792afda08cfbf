"""Measure the cost of plans, lists and heartbeats by fleet size.

The components of one entry run in this process, with generated lists of a
simulated fleet and without a network. Times are CPU time, and memory is the
memory that `tracemalloc` traces. The process start is measured on real
processes, in elapsed time.
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
_LOCAL_ENTRY_ID = "e0000"
_FLEET_KEY = "key of the capacity bench"
_REPEATS = 5
_HEARTBEATS_PER_RUN = 2000
_HEARTBEAT_SERVICE_COUNTS = (1, 5, 20)
_PROCESS_STARTS = 5
_POLL_INTERVAL_S = 0.005
_TEXT_BY_FILE = {"10-services.toml": "[services.plans]\nslots = 2\n"}
_IMPORTED_MODULES = (
    "",
    "asyncio",
    "aiohttp",
    "pydantic",
    "slatechute.application",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet.

    Attributes:
        targets: Number of listed targets.
        services: Number of services, over which the targets are distributed.
        entries: Number of listed entries.
    """

    targets: int
    services: int
    entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of the bench.

    Attributes:
        sizes: Fleet sizes to measure.
    """

    sizes: tuple[Size, ...] = (
        Size(100, 5, 24),
        Size(1000, 48, 200),
        Size(11_000, 530, 2000),
    )


class CapacityBench:
    """Runs the measurements of a plan."""

    def __init__(self, plan: Plan, report: Callable[[dict], None]):
        self._plan = plan
        self._report = report

    async def run(self) -> dict:
        """Run all measurements; return the results for JSON."""
        return {
            "bench": "capacity",
            "revision": processes.git_revision(),
            "sizes": [
                self._report_result(_measure_size(size))
                for size in self._plan.sizes
            ],
            "heartbeats": [
                self._report_result(_measure_heartbeat(count))
                for count in _HEARTBEAT_SERVICE_COUNTS
            ],
            "start": self._report_result(await _measure_start()),
            "imports": [
                self._report_result(_measure_import(name))
                for name in _IMPORTED_MODULES
            ],
        }

    def _report_result(self, result: dict) -> dict:
        self._report(result)
        return result


def _build_document(
    size: Size, revision: int, replaced: int = 0
) -> base.Document:
    """Return an `instances` document; `replaced` targets have a new id."""
    rows_by_part: dict[str, list[dict]] = {}
    for number in range(size.entries):
        data_centre = f"dc{number % _DATA_CENTRES}"
        rows_by_part.setdefault(
            f"{instances.ENTRIES}:{data_centre}", []
        ).append(
            {
                "id": f"e{number:04}",
                "address": f"10.1.{number // 250}.{number % 250}:8400",
                "data_centre": data_centre,
                "state": "live",
                "started": 0.0,
                "peer_address": f"10.1.{number // 250}.{number % 250}:8401",
                "admin_address": f"10.1.{number // 250}.{number % 250}:8402",
            }
        )
    for number in range(size.targets):
        rows_by_part.setdefault(f"service-{number % size.services}", []).append(
            {
                "id": f"t{number}-{2 if number < replaced else 1}",
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


def _measure_cpu_ms(action: Callable[[], Any]) -> float:
    start = time.process_time()
    action()
    return (time.process_time() - start) * 1000


def _min_cpu_ms(action: Callable[[], Any], repeats: int = _REPEATS) -> float:
    """Return the minimum CPU time of several runs of an action, in ms.

    Interference from other work can only increase the time of a run.
    """
    return round(min(_measure_cpu_ms(action) for _ in range(repeats)), 3)


def _build_application(size: Size) -> application.Application:
    settings = entry_settings.EntrySettings(
        entry_id=_LOCAL_ENTRY_ID,
        data_centre="dc0",
        address="10.1.0.0:8400",
        peer_address="10.1.0.0:8401",
        admin_address="10.1.0.0:8402",
        fleet_key=_FLEET_KEY,
    )
    app = application.Application(settings)
    app._state = "ready"
    # Replaces the object that `start` creates, as the bench announces no
    # documents.
    app._spread = _NullSpread()
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


class _NullSpread:
    neighbours: ClassVar[list[str]] = []

    def on_peers_changed(self, entries: Any) -> None:
        """Ignore the change."""


def _measure_size(size: Size) -> dict:
    document, changed_document = (
        _build_document(size, 1),
        _build_document(size, 2, replaced=1),
    )
    parse_ms = _min_cpu_ms(lambda: instances.parse(document))
    app = _build_application(size)
    tracemalloc.start()
    gc.collect()
    bytes_before, _ = tracemalloc.get_traced_memory()
    app._store.offer(document, store.PLATFORM)
    _link_all_peers(app)
    app._update_plans()
    gc.collect()
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    adopt_ms = _measure_cpu_ms(
        lambda: app._store.offer(changed_document, store.PLATFORM)
    )
    plan_ms = _measure_cpu_ms(app._update_plans)
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
        "document_bytes": sum(map(len, document.text_by_part.values())),
        "parse_ms": parse_ms,
        "adopt_one_change_ms": round(adopt_ms, 3),
        "plan_after_change_ms": round(plan_ms, 3),
        "plan_all_services_ms": _min_cpu_ms(
            lambda: [app.membership.plan(name) for name in services]
        ),
        "application_plan_ms": _min_cpu_ms(app._update_plans),
        "lost_peer_ms": round(
            _measure_cpu_ms(lambda: _disconnect_first_peer(app)), 3
        ),
        "wanted_peers": len(peers),
        "hops_from_readers": _max_hops(entries),
        "readers_ms": _min_cpu_ms(lambda: spread.readers("dc0", entries)),
        "state_mb": round((bytes_after - bytes_before) / 1e6, 2),
    }


def _max_hops(entries: list[instances.Entry]) -> int:
    """Return the maximum number of hops from the readers to an entry."""
    degree = entry_settings.EntrySettings.model_fields["spread_degree"].default
    neighbours_by_id = {
        entry.id: spread.neighbours(
            entry.id, entry.data_centre, entries, degree
        )
        for entry in entries
    }
    data_centres = {entry.data_centre for entry in entries}
    queue = [
        r
        for data_centre in data_centres
        for r in spread.readers(data_centre, entries)
    ]
    hops_by_id = dict.fromkeys(queue, 0)
    for entry_id in queue:
        for neighbour in neighbours_by_id[entry_id]:
            if neighbour not in hops_by_id:
                hops_by_id[neighbour] = hops_by_id[entry_id] + 1
                queue.append(neighbour)
    if len(hops_by_id) < len(entries):
        raise RuntimeError("an entry is unreachable from every reader")
    return max(hops_by_id.values())


def _link_all_peers(app: application.Application) -> None:
    """Mark all peers that the entry should link to as linked."""
    address_by_id = app.membership.peer_addresses(app._configuration.services)
    entry_by_id = app.membership.entries()
    app.membership.set_linked_entries(
        [entry_by_id[key] for key in address_by_id]
    )


def _disconnect_first_peer(app: application.Application) -> None:
    entry_by_id = app.membership.entries()
    linked_ids = sorted(app.membership.reachable())
    app.membership.set_linked_entries(
        [entry_by_id[key] for key in linked_ids[1:]]
    )
    app._update_plans()


def _measure_heartbeat(services: int) -> dict:
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
    encode_ms = _min_cpu_ms(
        lambda: [messages.encode(message) for _ in range(_HEARTBEATS_PER_RUN)]
    )
    decode_ms = _min_cpu_ms(
        lambda: [messages.decode(frame) for _ in range(_HEARTBEATS_PER_RUN)]
    )
    return {
        "heartbeat_services": services,
        "frame_bytes": len(frame),
        "encode_us": round(encode_ms / _HEARTBEATS_PER_RUN * 1000, 2),
        "decode_us": round(decode_ms / _HEARTBEATS_PER_RUN * 1000, 2),
    }


async def _measure_start() -> dict:
    """Return the times in ms from process start to first response and ready."""
    first_responses_ms, ready_ms = [], []
    platform = platforms.FakePlatform()
    await platform.start()
    platform.publish(base.CONFIGURATION, _TEXT_BY_FILE)
    async with aiohttp.ClientSession() as session:
        for _ in range(_PROCESS_STARTS):
            flags = {"platform-url": platform.url}
            entry = processes.EntryProcess(_LOCAL_ENTRY_ID, "dc0", flags)
            platform.set_entries([entry.instance_row])
            start = time.monotonic()
            await entry.start()
            await _wait_for_response(session, entry)
            first_responses_ms.append((time.monotonic() - start) * 1000)
            await entry.wait_ready(session)
            ready_ms.append((time.monotonic() - start) * 1000)
            await entry.stop()
    await platform.stop()
    return {
        "starts": _PROCESS_STARTS,
        "answers_ms": [round(value) for value in sorted(first_responses_ms)],
        "ready_ms": [round(value) for value in sorted(ready_ms)],
    }


async def _wait_for_response(
    session: aiohttp.ClientSession, entry: processes.EntryProcess
) -> None:
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            url = f"http://{entry.admin_address}/ready"
            async with session.get(url):
                return
        await asyncio.sleep(_POLL_INTERVAL_S)


def _measure_import(name: str) -> dict:
    """Return memory and CPU time of a new interpreter after an import."""
    code = (
        f"{f'import {name}' if name else 'pass'}\n"
        "import resource, time\n"
        "pages = open('/proc/self/statm').read().split()[1]\n"
        "print(int(pages) * resource.getpagesize(), time.process_time())"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    resident_bytes, cpu_s = completed.stdout.split()
    return {
        "import": name or "(interpreter only)",
        "resident_mb": round(int(resident_bytes) / 1e6, 1),
        "cpu_ms": round(float(cpu_s) * 1000, 1),
    }
