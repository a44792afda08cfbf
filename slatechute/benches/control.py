"""Measure the control overhead of peer links with real processes.

`python -m slatechute.benches.control` starts full meshes of nodes that only
exchange heartbeats. It prints, as JSON, the resource use of one node at each
mesh size and its increase per additional peer. `--round-trip` measures slot
requests between two processes instead. The processes communicate over loopback;
byte counts include websocket framing but not TCP and IP headers.
"""

import argparse
import asyncio
from collections.abc import Callable
import contextlib
import json
import pathlib
import resource
import statistics
import sys
import time

from slatechute import events
from slatechute import messages
from slatechute import settings as entry_settings
from slatechute.peers import links
from slatechute.util import clock as clocks

__all__ = ["FLEET_KEY", "main"]

FLEET_KEY = "key of the benchmark"

_STARTUP_WAIT_S = 1.0
_START_TIMEOUT_S = 20.0
_PAGE_BYTES = resource.getpagesize()
_CONFIGURATION_DIGEST = "0123456789abcdef" * 2
_RESULT_KEYS = (
    "cpu_s_per_s",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "resident_bytes",
    "resident_growth_bytes",
)


def _resident_bytes() -> int:
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def _cpu_s() -> float:
    return time.process_time()


class _HeartbeatSource:
    """Generates heartbeats whose loads are constant or change each time."""

    def __init__(self, services: int, is_changing: bool):
        self._services = services
        self._is_changing = is_changing
        self._heartbeat_count = 0

    def next_heartbeat(self) -> messages.Heartbeat:
        self._heartbeat_count += self._is_changing
        loads = [
            messages.ServiceLoad(
                f"service-{number}", self._heartbeat_count % 20, 0
            )
            for number in range(self._services)
        ]
        return messages.Heartbeat(False, loads, 1, _CONFIGURATION_DIGEST)


def _build_peer_links(
    entry_id: str,
    on_message: Callable[[str, messages.Message], None],
    next_heartbeat: Callable[[], messages.Heartbeat],
) -> links.PeerLinks:
    return links.PeerLinks(
        entry_settings.EntrySettings(
            entry_id=entry_id,
            data_centre="dc1",
            peer_address="127.0.0.1:0",
            fleet_key=FLEET_KEY,
        ),
        f"{entry_id}-1",
        clocks.MonotonicClock(),
        events.EventBus(),
        on_message,
        next_heartbeat,
    )


def _print_json(content: dict[str, object]) -> None:
    print(json.dumps(content), flush=True)


async def _open_stdin() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def _wait_until_reachable(
    peer_links: links.PeerLinks, peer_count: int
) -> None:
    async with asyncio.timeout(_START_TIMEOUT_S):
        peers = peer_links.peers().values
        while sum(peer.reachable for peer in peers()) < peer_count:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def _run_node(args: argparse.Namespace) -> None:
    """Run one node that reads commands and prints results as JSON lines."""

    def grant_slot(peer_id: str, message: messages.Message) -> None:
        if isinstance(message, messages.SlotRequest):
            number = message.number
            peer_links.send(
                peer_id, messages.SlotGrant(number, number, "target-17")
            )

    initial_bytes = _resident_bytes()
    heartbeats = _HeartbeatSource(args.services, args.changing)
    peer_links = _build_peer_links(
        args.node, grant_slot, heartbeats.next_heartbeat
    )
    await peer_links.start()
    _print_json({"peer_address": peer_links.peer_address})
    reader = await _open_stdin()
    while line := await reader.readline():
        command = json.loads(line)
        if "peers" in command:
            peer_links.set_peers(command["peers"])
            await _wait_until_reachable(peer_links, len(command["peers"]) - 1)
            _print_json({"reachable": True})
        elif "seconds" in command:
            _print_json(
                await _measure(peer_links, command["seconds"], initial_bytes)
            )
        else:
            _print_json({"cpu_s": _cpu_s()})
    await peer_links.stop()


async def _measure(
    peer_links: links.PeerLinks, seconds: float, initial_bytes: int
) -> dict[str, object]:
    metrics = peer_links.metrics
    start_s, cpu_s = time.perf_counter(), _cpu_s()
    sent, received = metrics.bytes_sent, metrics.bytes_received
    await asyncio.sleep(seconds)
    elapsed_s = time.perf_counter() - start_s
    resident_bytes = _resident_bytes()
    return {
        "cpu_s_per_s": (_cpu_s() - cpu_s) / elapsed_s,
        "sent_bytes_per_s": (metrics.bytes_sent - sent) / elapsed_s,
        "received_bytes_per_s": (metrics.bytes_received - received) / elapsed_s,
        "resident_bytes": resident_bytes,
        "resident_growth_bytes": resident_bytes - initial_bytes,
        "failures": metrics.failures_by_fault,
    }


class _Node:
    """A node process that the bench process controls."""

    def __init__(self, entry_id: str, process: asyncio.subprocess.Process):
        self.entry_id = entry_id
        self._process = process

    @classmethod
    async def start(cls, entry_id: str, args: argparse.Namespace) -> "_Node":
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "slatechute.benches.control", "--node", entry_id),
            *("--services", str(args.services)),
            *(["--changing"] if args.changing else []),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(entry_id, process)

    async def read_result(self) -> dict:
        line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"node {self.entry_id} ended")
        return json.loads(line)

    async def run_command(self, command: dict[str, object]) -> dict:
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self.read_result()

    async def stop(self) -> None:
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), 5.0)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


@contextlib.asynccontextmanager
async def _running_nodes(entry_ids: list[str], args: argparse.Namespace):
    nodes = []
    try:
        for entry_id in entry_ids:
            nodes.append(await _Node.start(entry_id, args))
        yield nodes
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))


async def _read_addresses(nodes: list[_Node]) -> dict[str, str]:
    return {
        node.entry_id: (await node.read_result())["peer_address"]
        for node in nodes
    }


async def _measure_size(size: int, args: argparse.Namespace) -> dict:
    ids = [f"e{number:02}" for number in range(size)]
    timeout_s = _START_TIMEOUT_S * 2 + args.seconds
    async with asyncio.timeout(timeout_s), _running_nodes(ids, args) as nodes:
        peers = await _read_addresses(nodes)
        await asyncio.gather(
            *(node.run_command({"peers": peers}) for node in nodes)
        )
        await asyncio.sleep(_STARTUP_WAIT_S)
        results = await asyncio.gather(
            *(node.run_command({"seconds": args.seconds}) for node in nodes)
        )
    figures = {
        name: {
            "mean": statistics.fmean(result[name] for result in results),
            "max": max(result[name] for result in results),
        }
        for name in _RESULT_KEYS
    }
    failures = sum(sum(result["failures"].values()) for result in results)
    return {"size": size, "failures": failures, **figures}


async def _measure_meshes(args: argparse.Namespace) -> dict:
    results = [await _measure_size(size, args) for size in args.sizes]
    slopes = {}
    if len(results) > 1:
        peers = [result["size"] - 1 for result in results]
        for name in _RESULT_KEYS:
            means = [result[name]["mean"] for result in results]
            slopes[name] = statistics.linear_regression(peers, means).slope
    return {"by_size": results, "slope_per_peer": slopes}


async def _measure_round_trip(args: argparse.Namespace) -> dict:
    all_granted = asyncio.Event()
    pending_grants = 0

    def on_message(peer_id: str, message: messages.Message) -> None:
        nonlocal pending_grants
        if isinstance(message, messages.SlotGrant):
            pending_grants -= 1
            if not pending_grants:
                all_granted.set()

    heartbeats = _HeartbeatSource(args.services, args.changing)
    peer_links = _build_peer_links("e00", on_message, heartbeats.next_heartbeat)
    ids = [f"e{number:02}" for number in range(1, args.mesh)]
    timeout_s = _START_TIMEOUT_S * 2 + 120
    async with asyncio.timeout(timeout_s), _running_nodes(ids, args) as nodes:
        await peer_links.start()
        peers = {"e00": peer_links.peer_address} | await _read_addresses(nodes)
        peer_links.set_peers(peers)
        await asyncio.gather(
            *(
                granting_node.run_command({"peers": peers})
                for granting_node in nodes
            )
        )
        await _wait_until_reachable(peer_links, len(nodes))
        await asyncio.sleep(_STARTUP_WAIT_S)
        node = nodes[0]
        burst_times_us = []
        granting_cpu_s = (await node.run_command({}))["cpu_s"]
        requesting_cpu_s = _cpu_s()
        for number in range(args.pairs // args.burst):
            all_granted.clear()
            pending_grants = args.burst
            start_ns = time.perf_counter_ns()
            for _ in range(args.burst):
                peer_links.send(
                    ids[0], messages.SlotRequest(number, "plans", 0.1, 500.0)
                )
            await all_granted.wait()
            burst_times_us.append((time.perf_counter_ns() - start_ns) / 1000)
        requesting_cpu_s = _cpu_s() - requesting_cpu_s
        granting_cpu_s = (await node.run_command({}))["cpu_s"] - granting_cpu_s
        await peer_links.stop()
    pairs = len(burst_times_us) * args.burst
    permilles_us = statistics.quantiles(burst_times_us, n=1000)
    return {
        "pairs": pairs,
        "burst": args.burst,
        "mesh": args.mesh,
        "p50_us": permilles_us[499],
        "p99_us": permilles_us[989],
        "p999_us": permilles_us[998],
        "cpu_us_per_pair_asking": requesting_cpu_s / pairs * 1e6,
        "cpu_us_per_pair_answering": granting_cpu_s / pairs * 1e6,
    }


async def _git_revision() -> str:
    process = await asyncio.create_subprocess_exec(
        *("git", "describe", "--always", "--dirty"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await process.communicate()
    return output.decode().strip() or "unknown"


async def _run(args: argparse.Namespace) -> None:
    measure = _measure_round_trip if args.round_trip else _measure_meshes
    revision = await _git_revision()
    result = {
        "git_revision": revision,
        "services": args.services,
        "changing": args.changing,
        "seconds": args.seconds,
        **await measure(args),
    }
    print(json.dumps(result, indent=2))


def _parse_sizes(text: str) -> list[int]:
    return [int(size) for size in text.split(",")]


def main() -> None:
    """Run the bench program or one of its nodes."""
    # Uses argparse, because a command line library would add to the memory
    # measured in the nodes.
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=_parse_sizes, default=[3, 9, 18, 24])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument(
        "--services", type=int, default=4, help="services in each heartbeat"
    )
    parser.add_argument(
        "--changing",
        action="store_true",
        help="change the loads with each heartbeat",
    )
    parser.add_argument("--round-trip", action="store_true")
    parser.add_argument(
        "--mesh", type=int, default=2, help="nodes during --round-trip"
    )
    parser.add_argument("--pairs", type=int, default=20_000)
    parser.add_argument(
        "--burst", type=int, default=1, help="requests sent at a time"
    )
    parser.add_argument("--node", default="", help="run a node with this id")
    args = parser.parse_args()
    asyncio.run(_run_node(args) if args.node else _run(args))


if __name__ == "__main__":
    main()
