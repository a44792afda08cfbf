"""Small fleet of real entry processes with a proxy on every path.

Callers reach an entry through a proxy, entries reach each other and the
targets through proxies, and the targets run in the process of the test, which
therefore sees every run.
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
# Its targets are never dispatched by `e1`, so `e1` needs a peer's grant.
FAR_SERVICE = "far"
SLOTS = 2
DEADLINE_MS = 1200
BODY = b"x" * 20_000
# Above what an entry reads whole, so the answer is streamed.
STREAMED_BYTES = 200_000
BUFFERED_BYTES = 20_000
_CENTRE = "dc1"
_SETTLE_S = 8.0
# With the usual 10% the requests between two cells earn less than the tokens
# that a cell may use, so the verdict of a cell depended on the ones before it.
# The budget itself is tested in tests/test_execution.py.
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
# Restarts of a target for which its dispatcher is chosen.
_STARTS = 12


@dataclasses.dataclass
class End:
    """End of a request as the caller saw it, and what ran."""

    kind: str
    path: str
    answer: callers.RequestResult
    runs: list[targets.Run]


def _target_name(entry_ids: list[str], owner: str) -> str:
    """Return a name whose first instance is dispatched by an entry."""
    for name in (f"t{n}" for n in itertools.count()):
        if _owner(entry_ids, f"{name}-1") == owner:
            return name


def _far_target_name(entry_ids: list[str], owner: str) -> str:
    """Return a name whose instances are never dispatched by `e1`."""
    for name in (f"far{n}" for n in itertools.count()):
        ids = [f"{name}-{start + 1}" for start in range(_STARTS)]
        owners = [_owner(entry_ids, target_id) for target_id in ids]
        if owners[0] == owner and "e1" not in owners:
            return name


def _owner(entry_ids: list[str], target_id: str) -> str:
    centres = dict.fromkeys(entry_ids, _CENTRE)
    return ownership.dispatcher_of(target_id, _CENTRE, centres)


class Fleet:
    """Entries `e1`, `e2`, ..., each of which dispatches one target."""

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
        self._numbers = 0
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
                name = _far_target_name(self.entry_ids, entry_id)
                await self.add_target(name, FAR_SERVICE)
            entry = processes.EntryProcess(
                entry_id, _CENTRE, {"platform-url": self.platform.url}
            )
            self.entries[entry_id] = entry
            for proxies, address in (
                (self.caller_proxies, entry.address),
                (self.peer_proxies, entry.peer_address),
            ):
                proxies[entry_id] = await self._proxy(address)
        self.list_entries()
        self.list_targets()
        await asyncio.gather(*(e.start() for e in self.entries.values()))
        for entry in self.entries.values():
            self._stack.push_async_callback(entry.stop)
        for entry_id in self.entry_ids:
            await self._started(entry_id)
        await self.settle()

    async def _proxy(self, address: str) -> tcp_proxy.FaultProxy:
        proxy = tcp_proxy.FaultProxy(address)
        await proxy.start()
        self._stack.push_async_callback(proxy.stop)
        return proxy

    async def add_target(
        self, name: str, service: str = SERVICE, **settings
    ) -> targets.FakeTarget:
        """Start a target behind a proxy; it is not listed yet."""
        values = {
            "data_centre": _CENTRE,
            "slots": SLOTS,
            "work_ms": 1.0,
            "fixed_work": True,
            "restart_ms": 50.0,
        }
        target = targets.FakeTarget(
            targets.TargetSettings(name=name, **values | settings)
        )
        await target.start()
        self._stack.push_async_callback(target.stop)
        self.targets.append(target)
        self._services.append(service)
        self.target_proxies.append(await self._proxy(target.address))
        return target

    async def remove_target(self, target: targets.FakeTarget) -> None:
        """Take a target off the list, then stop it."""
        index = self.targets.index(target)
        del self.targets[index], self._services[index]
        proxy = self.target_proxies.pop(index)
        self.list_targets()
        await asyncio.sleep(0.1)
        await proxy.stop()
        await target.stop()

    def list_entries(self) -> None:
        """Publish the entries with the addresses of their proxies."""
        rows = [
            dataclasses.replace(
                entry.instance_row,
                peer_address=self.peer_proxies[entry_id].address,
            )
            for entry_id, entry in self.entries.items()
        ]
        self.platform.set_entries(rows)

    def list_targets(self) -> None:
        """Publish the present instances with the addresses of their proxies."""
        rows: dict[str, list] = {SERVICE: [], FAR_SERVICE: []}
        for target, proxy, service in zip(
            self.targets, self.target_proxies, self._services, strict=True
        ):
            row = dataclasses.replace(
                target.instance_row(), address=proxy.address
            )
            rows[service].append(row)
        for service, listed in rows.items():
            self.platform.set_targets(service, listed)

    def targets_of(self, service: str) -> list[targets.FakeTarget]:
        """Return the targets of a service."""
        pairs = zip(self.targets, self._services, strict=True)
        return [target for target, name in pairs if name == service]

    # Entries.

    async def _started(self, entry_id: str) -> None:
        entry = self.entries[entry_id]
        await entry.wait_ready(self.session)
        self.boot_ids[entry_id] = (await self.status(entry_id))["boot_id"]

    async def status(self, entry_id: str) -> dict:
        """Return the status page of an entry."""
        entry = self.entries[entry_id]
        return json.loads(await entry.get(self.session, "/status"))

    async def kill(self, entry_id: str) -> None:
        """Kill an entry without notice."""
        entry = self.entries[entry_id]
        entry.signal(signal.SIGKILL)
        await entry.wait()

    async def restart(self, entry_id: str) -> None:
        """Start an entry again at the same addresses."""
        await self.entries[entry_id].start()
        await self._started(entry_id)

    async def freeze(self, entry_id: str, seconds: float) -> None:
        """Stop an entry for a while."""
        self.entries[entry_id].signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.entries[entry_id].signal(signal.SIGCONT)

    # Requests.

    def number(self) -> int:
        """Return a number that makes ids and paths unique."""
        self._numbers += 1
        return self._numbers

    def runs(self, request_id: str) -> list[targets.Run]:
        """Return all runs of a request on all targets."""
        return [
            run
            for target in self.targets
            for run in target.runs_by_request_id.get(request_id, ())
        ]

    def target_running(self, request_id: str) -> targets.FakeTarget:
        """Return the target that runs a request, else the first one."""
        for target in self.targets:
            if request_id in target.runs_by_request_id:
                return target
        return self.targets[0]

    def request_id(self, entry_id: str = "e1") -> str:
        """Return a new id with a prefix of the entry's present start."""
        return f"{self.boot_ids[entry_id]}.1.n{self.number()}"

    async def send(
        self,
        kind: str,
        *,
        service: str = SERVICE,
        entry_id: str = "e1",
        request_id: str | None = None,
        path: str | None = None,
        body: bytes = BODY,
        headers: dict[str, str] | None = None,
        deadline_ms: int = DEADLINE_MS,
        direct: bool = False,
    ) -> End:
        """Send one request and return its end.

        Args:
            kind: `lookup`, which may run twice, or `order`, which must not.
            service: Service called.
            entry_id: Entry that gets it.
            request_id: Id; a new one of that entry by default.
            path: Path; unique by default, since crashes are counted by it.
            body: Body.
            headers: Additional headers.
            deadline_ms: Time limit.
            direct: Leave out the proxy between caller and entry.
        """
        request_id = request_id or self.request_id(entry_id)
        path = path or f"/{kind}/{self.number()}"
        address = self.caller_proxies[entry_id].address
        if direct:
            address = self.entries[entry_id].address
        settings = callers.CallerSettings(
            [address], service, "POST", path, body, deadline_ms=deadline_ms
        )
        async with callers.FakeCaller(settings) as caller:
            answer = await caller.send(
                request_id=request_id, address=address, headers=headers
            )
        return End(kind, path, answer, self.runs(request_id))

    # Steady state.

    def clear(self) -> None:
        """End all faults of proxies, targets and platform."""
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

    async def settle(self) -> None:
        """Wait until all links are up and each target gets work.

        The requests sent meanwhile also fill the retry and hedge budgets.

        Raises:
            TimeoutError: The fleet does not recover.
        """
        self.clear()
        async with asyncio.timeout(_SETTLE_S):
            while True:
                if await self._is_settled():
                    return
                await asyncio.sleep(0.05)

    async def _is_settled(self) -> bool:
        for entry_id in self.entry_ids:
            peers = (await self.status(entry_id))["peers"]
            up = [peer for peer in peers if peer["reachable"]]
            if len(up) < len(self.entry_ids) - 1:
                return False
        started = time.monotonic()
        ends = await asyncio.gather(
            *(
                self.send(
                    "lookup", service=name, entry_id=key, body=b"", direct=True
                )
                for name in (SERVICE, FAR_SERVICE)
                for key in self.entry_ids
                for _ in range(16 if key == "e1" else 4)
            )
        )
        if any(end.answer.outcome != "served" for end in ends):
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


def check(end: End) -> None:
    """Check what every request must hold whatever fails."""
    answer, runs = end.answer, end.runs
    assert answer.outcome != "wrong", answer
    if end.kind == "order":
        assert len(runs) <= 1, f"run {len(runs)} times: {answer}"
    if answer.outcome == "served":
        assert any(run.status == "done" for run in runs), answer
    if answer.outcome == "not-run":
        assert not runs, f"told not run: {answer}"
    if answer.outcome in ("not-run", "unknown"):
        assert answer.headers["Slatechute-Reason"]
        assert answer.headers["Slatechute-Step"]
        assert int(answer.headers["Retry-After"]) >= 1
        assert answer.latency_ms < DEADLINE_MS + 500, answer
