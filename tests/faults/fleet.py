"""Small fleet of real entry processes with a fault proxy on every path.

Fault proxies carry the connections from callers to entries, between entries,
and from entries to targets. The targets run in the test process, so the test
sees each run of a request.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import signal
import time

import aiohttp

from slatechute import ownership
from slatechute.benches import processes
from slatechute.fakes import caller as callers
from slatechute.fakes import platform as platforms
from slatechute.fakes import target as targets
from slatechute.fakes import tcp_proxy
from slatechute.platforms import base

SERVICE = "work"
# `e1` dispatches none of the targets of this service, so it needs a slot that
# a peer grants.
PEER_DISPATCHED_SERVICE = "far"
SLOTS_PER_TARGET = 2
DEADLINE_MS = 1200
REQUEST_BODY = b"x" * 20_000
# An entry streams responses of this size instead of buffering them.
STREAMED_RESPONSE_BYTES = 200_000
BUFFERED_RESPONSE_BYTES = 20_000
_DATA_CENTRE = "dc1"
_RECOVERY_TIMEOUT_S = 8.0
# The retry ratio is above its default of 10%, at which the requests between two
# cells add fewer tokens to the retry budget than a cell may consume, so that
# the result of a cell depended on the cells before it. The budget itself is
# tested in tests/test_execution.py.
_CONFIGURATION = """\
[fleet]
keep_ms = 300
retry_ratio = 0.5

[services.work]
slots = 2
connections = 220
deadline_ms = 1500

[services.work.routes.lookup]
path = "/lookup/*"
repeatable = true

[services.far]
slots = 2
connections = 220
deadline_ms = 1500

[services.far.routes.lookup]
path = "/lookup/*"
repeatable = true
"""
# Instances of a target, one for each start, whose dispatchers are checked.
_CHECKED_INCARNATIONS = 12


@dataclasses.dataclass
class ObservedRequest:
    """Result of a request at its caller, and its runs on the targets.

    Attributes:
        kind: `lookup`, which is repeatable, or `order`, which is not.
        path: Path.
        result: Result at the caller.
        runs: Runs on all targets.
    """

    kind: str
    path: str
    result: callers.RequestResult
    runs: list[targets.Run]


def _target_name(entry_ids: list[str], dispatcher_id: str) -> str:
    """Return a target name whose first instance the entry dispatches."""
    for name in (f"t{n}" for n in itertools.count()):
        if _dispatcher_of(entry_ids, f"{name}-1") == dispatcher_id:
            return name


def _peer_dispatched_target_name(
    entry_ids: list[str], dispatcher_id: str
) -> str:
    """Return a target name with no instance that `e1` dispatches."""
    for name in (f"far{n}" for n in itertools.count()):
        ids = [
            f"{name}-{restarts + 1}"
            for restarts in range(_CHECKED_INCARNATIONS)
        ]
        dispatcher_ids = [
            _dispatcher_of(entry_ids, target_id) for target_id in ids
        ]
        if dispatcher_ids[0] == dispatcher_id and "e1" not in dispatcher_ids:
            return name


def _dispatcher_of(entry_ids: list[str], target_id: str) -> str:
    data_centre_by_entry = dict.fromkeys(entry_ids, _DATA_CENTRE)
    return ownership.dispatcher_of(
        target_id, _DATA_CENTRE, data_centre_by_entry
    )


class Fleet:
    """Entries `e1`, `e2`, ..., each of which dispatches a target of `work`."""

    def __init__(self, entries: int = 3, configuration: str = _CONFIGURATION):
        self.platform = platforms.FakePlatform()
        self.configuration = configuration
        self.entry_ids = [f"e{n + 1}" for n in range(entries)]
        self.entries: dict[str, processes.EntryProcess] = {}
        self.caller_proxies: dict[str, tcp_proxy.FaultProxy] = {}
        self.peer_proxies: dict[str, tcp_proxy.FaultProxy] = {}
        self.targets: list[targets.FakeTarget] = []
        self.target_proxies: list[tcp_proxy.FaultProxy] = []
        self._services: list[str] = []
        self.boot_ids: dict[str, str] = {}
        self.session: aiohttp.ClientSession | None = None
        self._last_number = 0
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Fleet":
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self._stack.aclose()

    async def _start(self) -> None:
        await self.platform.start()
        self._stack.push_async_callback(self.platform.stop)
        self.session = aiohttp.ClientSession()
        self._stack.push_async_callback(self.session.close)
        self.platform.publish(
            base.CONFIGURATION, {"10-test.toml": self.configuration}
        )
        for entry_id in self.entry_ids:
            await self.add_target(_target_name(self.entry_ids, entry_id))
            if entry_id != "e1":
                name = _peer_dispatched_target_name(self.entry_ids, entry_id)
                await self.add_target(name, PEER_DISPATCHED_SERVICE)
            entry = processes.EntryProcess(
                entry_id, _DATA_CENTRE, {"platform-url": self.platform.url}
            )
            self.entries[entry_id] = entry
            for proxies, address in (
                (self.caller_proxies, entry.address),
                (self.peer_proxies, entry.peer_address),
            ):
                proxies[entry_id] = await self._start_proxy(address)
        self.publish_entries()
        self.publish_targets()
        await asyncio.gather(*(e.start() for e in self.entries.values()))
        for entry in self.entries.values():
            self._stack.push_async_callback(entry.stop)
        for entry_id in self.entry_ids:
            await self._wait_started(entry_id)
        await self.wait_until_recovered()

    async def _start_proxy(self, address: str) -> tcp_proxy.FaultProxy:
        proxy = tcp_proxy.FaultProxy(address)
        await proxy.start()
        self._stack.push_async_callback(proxy.stop)
        return proxy

    async def add_target(
        self, name: str, service: str = SERVICE, **settings
    ) -> targets.FakeTarget:
        """Start a target behind a proxy without publishing it."""
        defaults = {
            "data_centre": _DATA_CENTRE,
            "slots": SLOTS_PER_TARGET,
            "work_ms": 1.0,
            "fixed_work": True,
            "restart_ms": 50.0,
        }
        target = targets.FakeTarget(
            targets.TargetSettings(name=name, **defaults | settings)
        )
        await target.start()
        self._stack.push_async_callback(target.stop)
        self.targets.append(target)
        self._services.append(service)
        self.target_proxies.append(await self._start_proxy(target.address))
        return target

    async def remove_target(self, target: targets.FakeTarget) -> None:
        """Remove a target from the published list, then stop it."""
        index = self.targets.index(target)
        del self.targets[index], self._services[index]
        proxy = self.target_proxies.pop(index)
        self.publish_targets()
        await asyncio.sleep(0.1)
        await proxy.stop()
        await target.stop()

    def publish_entries(self) -> None:
        """Publish the entries with the addresses of their proxies."""
        rows = [
            dataclasses.replace(
                entry.instance_row,
                peer_address=self.peer_proxies[entry_id].address,
            )
            for entry_id, entry in self.entries.items()
        ]
        self.platform.set_entries(rows)

    def publish_targets(self) -> None:
        """Publish the current instances with the addresses of their proxies."""
        rows_by_service: dict[str, list] = {
            SERVICE: [],
            PEER_DISPATCHED_SERVICE: [],
        }
        for target, proxy, service in zip(
            self.targets, self.target_proxies, self._services, strict=True
        ):
            row = dataclasses.replace(
                target.instance_row(), address=proxy.address
            )
            rows_by_service[service].append(row)
        for service, rows in rows_by_service.items():
            self.platform.set_targets(service, rows)

    def targets_of(self, service: str) -> list[targets.FakeTarget]:
        """Return the targets of a service."""
        pairs = zip(self.targets, self._services, strict=True)
        return [target for target, name in pairs if name == service]

    # Entries.

    async def _wait_started(self, entry_id: str) -> None:
        entry = self.entries[entry_id]
        await entry.wait_ready(self.session)
        self.boot_ids[entry_id] = (await self.status(entry_id))["boot_id"]

    async def status(self, entry_id: str) -> dict:
        """Return the status page of an entry."""
        entry = self.entries[entry_id]
        return json.loads(await entry.get(self.session, "/status"))

    async def kill(self, entry_id: str) -> None:
        """Kill an entry with SIGKILL and wait for its process to end."""
        entry = self.entries[entry_id]
        entry.signal(signal.SIGKILL)
        await entry.wait()

    async def restart(self, entry_id: str) -> None:
        """Start an entry again at its previous addresses."""
        await self.entries[entry_id].start()
        await self._wait_started(entry_id)

    async def freeze(self, entry_id: str, seconds: float) -> None:
        """Pause the process of an entry with SIGSTOP, then resume it."""
        self.entries[entry_id].signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.entries[entry_id].signal(signal.SIGCONT)

    # Requests.

    def next_number(self) -> int:
        """Return a number for unique request ids, paths and target names."""
        self._last_number += 1
        return self._last_number

    def runs(self, request_id: str) -> list[targets.Run]:
        """Return all runs of a request on all targets."""
        return [
            run
            for target in self.targets
            for run in target.runs_by_request_id.get(request_id, ())
        ]

    def target_of_request(self, request_id: str) -> targets.FakeTarget:
        """Return a target that has run a request, or else the first target."""
        for target in self.targets:
            if request_id in target.runs_by_request_id:
                return target
        return self.targets[0]

    def new_request_id(self, entry_id: str = "e1") -> str:
        """Return a new request id with the current boot id of the entry."""
        return f"{self.boot_ids[entry_id]}.1.n{self.next_number()}"

    async def send(
        self,
        kind: str,
        *,
        service: str = SERVICE,
        entry_id: str = "e1",
        request_id: str | None = None,
        path: str | None = None,
        body: bytes = REQUEST_BODY,
        headers: dict[str, str] | None = None,
        deadline_ms: int = DEADLINE_MS,
        bypass_proxy: bool = False,
    ) -> ObservedRequest:
        """Send one request and return its result and its runs.

        Args:
            kind: `lookup`, which is repeatable, or `order`, which is not.
            service: Service that the request names.
            entry_id: Entry that receives the request.
            request_id: Request id. Defaults to a new one of that entry.
            path: Path. Defaults to a unique one, since the quarantine counts
                crashes by path.
            body: Request body.
            headers: Additional request headers.
            deadline_ms: Deadline that the request carries, in milliseconds.
            bypass_proxy: Whether to send the request to the entry directly
                instead of through the caller proxy.
        """
        request_id = request_id or self.new_request_id(entry_id)
        path = path or f"/{kind}/{self.next_number()}"
        address = self.caller_proxies[entry_id].address
        if bypass_proxy:
            address = self.entries[entry_id].address
        settings = callers.CallerSettings(
            [address], service, "POST", path, body, deadline_ms=deadline_ms
        )
        async with callers.FakeCaller(settings) as caller:
            result = await caller.send(
                request_id=request_id, address=address, headers=headers
            )
        return ObservedRequest(kind, path, result, self.runs(request_id))

    # Recovery.

    def clear_faults(self) -> None:
        """Remove all faults of the proxies, targets and platform."""
        proxies = [
            *self.caller_proxies.values(),
            *self.peer_proxies.values(),
            *self.target_proxies,
        ]
        for proxy in proxies:
            proxy.release()
            for direction in (proxy.to_upstream, proxy.to_client):
                direction.latency_ms = 0.0
                direction.silent = False
                direction.close_after_bytes = None
        for target in self.targets:
            target.slow_factor = 1.0
            target.fail_fast = target.shedding = False
        self.platform.down = False
        self.platform.revisions_behind = 0

    async def wait_until_recovered(self) -> None:
        """Wait until all peer links are up and each target serves requests.

        The requests sent for this check also fill the retry and hedge budgets.

        Raises:
            TimeoutError: The fleet does not recover in time.
        """
        self.clear_faults()
        async with asyncio.timeout(_RECOVERY_TIMEOUT_S):
            while True:
                if await self._has_recovered():
                    return
                await asyncio.sleep(0.05)

    async def _has_recovered(self) -> bool:
        for entry_id in self.entry_ids:
            peers = (await self.status(entry_id))["peers"]
            reachable_peers = [peer for peer in peers if peer["reachable"]]
            if len(reachable_peers) < len(self.entry_ids) - 1:
                return False
        started = time.monotonic()
        requests = await asyncio.gather(
            *(
                self.send(
                    "lookup",
                    service=name,
                    entry_id=entry_id,
                    body=b"",
                    bypass_proxy=True,
                )
                for name in (SERVICE, PEER_DISPATCHED_SERVICE)
                for entry_id in self.entry_ids
                for _ in range(16 if entry_id == "e1" else 4)
            )
        )
        if any(request.result.outcome != "served" for request in requests):
            return False
        return all(
            target.running == 0
            and target.queued == 0
            and any(
                run.started >= started
                for runs in target.runs_by_request_id.values()
                for run in runs
            )
            for target in self.targets
        )


def check_invariants(request: ObservedRequest) -> None:
    """Check the invariants that each request must meet under any fault."""
    result, runs = request.result, request.runs
    assert result.outcome != "wrong", result
    if request.kind == "order":
        assert len(runs) <= 1, f"run {len(runs)} times: {result}"
    if result.outcome == "served":
        assert any(run.status == "done" for run in runs), result
    if result.outcome == "not-run":
        assert not runs, f"reported as not run: {result}"
    if result.outcome in ("not-run", "unknown"):
        assert result.headers["Slatechute-Reason"]
        assert result.headers["Slatechute-Step"]
        assert int(result.headers["Retry-After"]) >= 1
        assert result.latency_ms < DEADLINE_MS + 500, result
