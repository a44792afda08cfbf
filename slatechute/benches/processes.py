"""Fleet of real processes for the benches: entries, targets and callers."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import os
import signal
import subprocess
import sys
from typing import Any

import aiohttp

from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from slatechute.fakes import platform as platforms
from slatechute.fakes import tcp_proxy
from slatechute.platforms import base

__all__ = ["EntryProcess", "Node", "ProcessFleet", "git_revision"]

_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 10.0
_READY_POLL_INTERVAL_S = 0.05
_MAX_LINE_BYTES = 64 * 1024 * 1024


def git_revision() -> str:
    """Return the revision of the checkout, with `+` when it has changes."""
    command = ["git", "describe", "--always", "--dirty=+"]
    result = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    return result.stdout.strip() or "unknown"


class Node:
    """Runs a process of `slatechute.benches.node` and sends it commands."""

    def __init__(self, kind: str):
        self._kind = kind
        self._process: asyncio.subprocess.Process | None = None
        self._lock = asyncio.Lock()
        self._call_numbers = itertools.count(1)

    async def start(self) -> None:
        """Start the process."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "slatechute.benches.node",
            self._kind,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=_MAX_LINE_BYTES,
        )

    async def call(self, op: str, **arguments: Any) -> Any:
        """Run a command in the process and return its result.

        Raises:
            EOFError: The process has ended.
        """
        async with self._lock:
            number = next(self._call_numbers)
            line = json.dumps({"op": op, "call": number, **arguments}) + "\n"
            self._process.stdin.write(line.encode())
            await self._process.stdin.drain()
            while True:
                result_line = await self._process.stdout.readline()
                if not result_line:
                    raise EOFError(f"bench node {self._kind} has ended")
                result_number, result = json.loads(result_line)
                # Results of cancelled calls arrive first and are skipped.
                if result_number == number:
                    return result

    async def stop(self) -> None:
        """Close the input of the process and wait for its exit."""
        self._process.stdin.close()
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            await self._process.wait()


class EntryProcess:
    """A process of `slatechute entry`.

    Attributes:
        entry_id: Id of the entry.
        address: Address for callers.
        peer_address: Address for peer links.
        admin_address: Address for operators.
        data_centre: Data centre of the entry.
    """

    def __init__(
        self,
        entry_id: str,
        data_centre: str,
        flags: dict[str, str],
        on_log: Callable[[dict[str, Any]], None] | None = None,
    ):
        """Prepare a process.

        Args:
            entry_id: Id of the entry.
            data_centre: Data centre of the entry.
            flags: Further flags of `slatechute entry`.
            on_log: Called with each log line; if None, the lines go to the
                standard error of this process.
        """
        self.entry_id = entry_id
        self.data_centre = data_centre
        self.address = local_fleet.free_address()
        self.peer_address = local_fleet.free_address()
        self.admin_address = local_fleet.free_address()
        self._flags = flags
        self._on_log = on_log
        self._log_reader: asyncio.Task | None = None
        self._process: asyncio.subprocess.Process | None = None

    @property
    def instance_row(self) -> platforms.Instance:
        """Row of the entry in the list of instances."""
        return platforms.Instance(
            self.entry_id,
            self.address,
            self.data_centre,
            peer_address=self.peer_address,
            admin_address=self.admin_address,
        )

    async def start(self) -> None:
        """Start the process."""
        flags = {
            "entry-id": self.entry_id,
            "data-centre": self.data_centre,
            "address": self.address,
            "peer-address": self.peer_address,
            "admin-address": self.admin_address,
            "log-level": "error",
            **self._flags,
        }
        arguments = [f"--{name}={value}" for name, value in flags.items()]
        environment = {
            **os.environ,
            "SLATECHUTE_FLEET_KEY": local_fleet.FLEET_KEY,
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "slatechute",
            "entry",
            *arguments,
            env=environment,
            stderr=subprocess.PIPE if self._on_log else None,
            limit=_MAX_LINE_BYTES,
        )
        if self._on_log is not None:
            self._log_reader = asyncio.create_task(
                _read_log(self._process.stderr, self._on_log)
            )

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    async def wait(self) -> int:
        """Wait until the process exits; return its exit status."""
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> None:
        """Kill the process, also when it is stopped by SIGSTOP."""
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
        await self.wait()
        if self._log_reader is not None:
            await self._log_reader

    async def get(self, session: aiohttp.ClientSession, path: str) -> str:
        """Return the text of a page of the admin server."""
        url = f"http://{self.admin_address}{path}"
        async with session.get(url) as response:
            return await response.text()

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the entry reports that it is ready.

        Raises:
            TimeoutError: The entry is not ready in time.
            ChildProcessError: The process has ended.
        """
        url = f"http://{self.admin_address}/ready"
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                if self._process.returncode is not None:
                    raise ChildProcessError(f"{self.entry_id} has ended")
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(_READY_POLL_INTERVAL_S)


async def _read_log(
    stream: asyncio.StreamReader, on_log: Callable[[dict[str, Any]], None]
) -> None:
    while line := await stream.readline():
        try:
            content = json.loads(line)
        except ValueError:
            # A traceback of the interpreter, not a log line.
            sys.stderr.write(line.decode(errors="replace"))
        else:
            on_log(content)


class ProcessFleet:
    """Runs a platform in this process, and entries and targets in others.

    Attributes:
        deployment: Deployment that is run.
        platform: Fake of the platform service.
        entries: Entry processes.
        target_nodes: Processes with the targets of each service.
        rows_by_service: Instance rows of the targets.
        proxy_by_entry: Proxy of the peer address of each entry; empty without
            `peer_proxies`.
        session: HTTP session to the entries and targets.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        *,
        entries: int | None = None,
        flags: dict[str, str] | None = None,
        services: list[str] | None = None,
        work_ms: float = 10.0,
        seed: int = 1,
        extra_files: dict[str, str] | None = None,
        target_processes: int = 2,
        fixed_work: bool = False,
        peer_proxies: bool = False,
    ):
        """Prepare a fleet.

        Args:
            deployment: Deployment to run.
            entries: Number of entry processes; None for that of the deployment.
            flags: Further flags of `slatechute entry`.
            services: Names of the services that get targets; None for all.
            work_ms: Mean work time of a request.
            seed: Seed of the work times.
            extra_files: Further files of the configuration folder, by name.
            target_processes: Number of target processes of each service.
            fixed_work: Whether each request takes exactly `work_ms`.
            peer_proxies: Whether peer links go through proxies that can inject
                faults.
        """
        self.deployment = deployment
        self.platform = platforms.FakePlatform()
        self.entries: list[EntryProcess] = []
        self.target_nodes: dict[str, list[Node]] = {}
        self.rows_by_service: dict[str, list[dict]] = {}
        self.session: aiohttp.ClientSession | None = None
        self._entry_count = entries or deployment.entries
        self._flags = flags or {}
        self._services = services
        self._work_ms = work_ms
        self._seed = seed
        self._extra_files = extra_files or {}
        self._target_processes = target_processes
        self._fixed_work = fixed_work
        self._created_count = 0
        self._use_peer_proxies = peer_proxies
        self.proxy_by_entry: dict[str, tcp_proxy.FaultProxy] = {}
        self._stack = contextlib.AsyncExitStack()

    @property
    def entry_addresses(self) -> list[str]:
        """Addresses of the entries for callers."""
        return [entry.address for entry in self.entries]

    async def __aenter__(self) -> "ProcessFleet":
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
        files = {**self.deployment.text_by_file, **self._extra_files}
        self.platform.publish(base.CONFIGURATION, files)
        sizes = [
            size
            for size in self.deployment.services
            if self._services is None or size.name in self._services
        ]
        await asyncio.gather(*(self._start_targets(size) for size in sizes))
        self.entries = [self.new_entry() for _ in range(self._entry_count)]
        if self._use_peer_proxies:
            for entry in self.entries:
                proxy = tcp_proxy.FaultProxy(entry.peer_address)
                await proxy.start()
                self._stack.push_async_callback(proxy.stop)
                self.proxy_by_entry[entry.entry_id] = proxy
        self.list_entries()
        await asyncio.gather(*(e.start() for e in self.entries))
        for entry in self.entries:
            self._stack.push_async_callback(entry.stop)
        await asyncio.gather(
            *(entry.wait_ready(self.session) for entry in self.entries)
        )

    def new_entry(self) -> EntryProcess:
        """Return one more entry, neither started nor listed."""
        self._created_count += 1
        centres = self.deployment.data_centres
        flags = {"platform-url": self.platform.url, **self._flags}
        centre = centres[self._created_count % len(centres)]
        return EntryProcess(f"e{self._created_count:02}", centre, flags)

    async def add_entry(self) -> EntryProcess:
        """Start and list one more entry."""
        entry = self.new_entry()
        await entry.start()
        self._stack.push_async_callback(entry.stop)
        self.entries.append(entry)
        self.list_entries()
        return entry

    def list_entries(self) -> None:
        """Publish the list of entries."""
        rows = []
        for entry in self.entries:
            proxy = self.proxy_by_entry.get(entry.entry_id)
            address = proxy.address if proxy else entry.peer_address
            rows.append(
                dataclasses.replace(entry.instance_row, peer_address=address)
            )
        self.platform.set_entries(rows)

    async def _start_targets(self, size: deployments.ServiceSize) -> None:
        centres = self.deployment.data_centres
        nodes = [Node("targets") for _ in range(self._target_processes)]
        self.target_nodes[size.name] = nodes
        rows = []
        for index, node in enumerate(nodes):
            await node.start()
            self._stack.push_async_callback(node.stop)
            settings = []
            for number in range(index, size.instances, len(nodes)):
                centre = centres[number % len(centres)]
                target_settings = local_fleet.target_settings(
                    size, number, centre, self._work_ms, self._seed
                )
                settings.append(
                    {
                        name: getattr(target_settings, name)
                        for name in target_settings.__slots__
                    }
                    | {"fixed_work": self._fixed_work}
                )
            rows += await node.call("start", settings=settings)
        self.rows_by_service[size.name] = rows
        self.list_targets(size.name)

    def list_targets(self, service: str) -> None:
        """Publish the list of targets of a service."""
        rows = [platforms.Instance(**r) for r in self.rows_by_service[service]]
        self.platform.set_targets(service, rows)
