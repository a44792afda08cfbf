"""Measure the control overhead of peer links with real processes.

`python -m slatechute.benches.control` starts full meshes of nodes that only
exchange heartbeats and prints, as JSON, what one node costs at each size and
for each further peer. `--round-trip` measures slot requests between two
processes instead. The programs talk over loopback; bytes include websocket
framing but not TCP and IP headers.
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
from slatechute.util import clock

__all__ = ["FLEET_KEY", "main"]

FLEET_KEY = "key of the benchmark"

_SETTLE_S = 1.0
_START_LIMIT_S = 20.0
_PAGE_BYTES = resource.getpagesize()
_DIGEST = "0123456789abcdef" * 2
_FIGURES = (
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


class _Loads:
    """Heartbeat content: constant, or with loads that change each time."""

    def __init__(self, services: int, is_changing: bool):
        self._services = services
        self._is_changing = is_changing
        self._count = 0

    def heartbeat(self) -> messages.Heartbeat:
        self._count += self._is_changing
        loads = [
            messages.ServiceLoad(f"service-{number}", self._count % 20, 0)
            for number in range(self._services)
        ]
        return messages.Heartbeat(False, loads, 1, _DIGEST)


def _peer_links(
    entry_id: str,
    on_message: Callable[[str, messages.Message], None],
    heartbeat: Callable[[], messages.Heartbeat],
) -> links.PeerLinks:
    return links.PeerLinks(
        entry_settings.EntrySettings(
            entry_id=entry_id,
            data_centre="dc1",
            peer_address="127.0.0.1:0",
            fleet_key=FLEET_KEY,
        ),
        f"{entry_id}-1",
        clock.MonotonicClock(),
        events.EventBus(),
        on_message,
        heartbeat,
    )


def _print(content: dict[str, object]) -> None:
    print(json.dumps(content), flush=True)


async def _input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    return reader


async def _reachable(peer_links: links.PeerLinks, count: int) -> None:
    async with asyncio.timeout(_START_LIMIT_S):
        peers = peer_links.peers().values
        while sum(peer.reachable for peer in peers()) < count:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def _run_node(args: argparse.Namespace) -> None:
    """Run one node: commands come as JSON lines, answers go out so."""

    def answer(peer_id: str, message: messages.Message) -> None:
        if isinstance(message, messages.SlotRequest):
            number = message.number
            peer_links.send(
                peer_id, messages.SlotGrant(number, number, "target-17")
            )

    start_bytes = _resident_bytes()
    loads = _Loads(args.services, args.changing)
    peer_links = _peer_links(args.node, answer, loads.heartbeat)
    await peer_links.start()
    _print({"peer_address": peer_links.peer_address})
    reader = await _input()
    while line := await reader.readline():
        command = json.loads(line)
        if "peers" in command:
            peer_links.set_peers(command["peers"])
            await _reachable(peer_links, len(command["peers"]) - 1)
            _print({"reachable": True})
        elif "seconds" in command:
            _print(await _measure(peer_links, command["seconds"], start_bytes))
        else:
            _print({"cpu_s": _cpu_s()})
    await peer_links.stop()


async def _measure(
    peer_links: links.PeerLinks, seconds: float, start_bytes: int
) -> dict[str, object]:
    metrics = peer_links.metrics
    start_s, cpu_s = time.perf_counter(), _cpu_s()
    sent, received = metrics.bytes_sent, metrics.bytes_received
    await asyncio.sleep(seconds)
    lasted_s = time.perf_counter() - start_s
    resident = _resident_bytes()
    return {
        "cpu_s_per_s": (_cpu_s() - cpu_s) / lasted_s,
        "sent_bytes_per_s": (metrics.bytes_sent - sent) / lasted_s,
        "received_bytes_per_s": (metrics.bytes_received - received) / lasted_s,
        "resident_bytes": resident,
        "resident_growth_bytes": resident - start_bytes,
        "failures": metrics.failures_by_fault,
    }


class _Node:
    """A node process as seen by the bench program."""

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

    async def read(self) -> dict:
        line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"node {self.entry_id} ended")
        return json.loads(line)

    async def ask(self, command: dict[str, object]) -> dict:
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        return await self.read()

    async def stop(self) -> None:
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), 5.0)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


@contextlib.asynccontextmanager
async def _nodes(entry_ids: list[str], args: argparse.Namespace):
    nodes = []
    try:
        for entry_id in entry_ids:
            nodes.append(await _Node.start(entry_id, args))
        yield nodes
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))


async def _addresses(nodes: list[_Node]) -> dict[str, str]:
    return {
        node.entry_id: (await node.read())["peer_address"] for node in nodes
    }


async def _measure_size(size: int, args: argparse.Namespace) -> dict:
    ids = [f"e{number:02}" for number in range(size)]
    limit_s = _START_LIMIT_S * 2 + args.seconds
    async with asyncio.timeout(limit_s), _nodes(ids, args) as nodes:
        peers = await _addresses(nodes)
        await asyncio.gather(*(node.ask({"peers": peers}) for node in nodes))
        await asyncio.sleep(_SETTLE_S)
        results = await asyncio.gather(
            *(node.ask({"seconds": args.seconds}) for node in nodes)
        )
    figures = {
        name: {
            "mean": statistics.fmean(result[name] for result in results),
            "max": max(result[name] for result in results),
        }
        for name in _FIGURES
    }
    failures = sum(sum(result["failures"].values()) for result in results)
    return {"size": size, "failures": failures, **figures}


async def _measure_meshes(args: argparse.Namespace) -> dict:
    by_size = [await _measure_size(size, args) for size in args.sizes]
    slopes = {}
    if len(by_size) > 1:
        peers = [result["size"] - 1 for result in by_size]
        for name in _FIGURES:
            means = [result[name]["mean"] for result in by_size]
            slopes[name] = statistics.linear_regression(peers, means).slope
    return {"by_size": by_size, "slope_per_peer": slopes}


async def _measure_round_trip(args: argparse.Namespace) -> dict:
    answered = asyncio.Event()
    outstanding = 0

    def on_message(peer_id: str, message: messages.Message) -> None:
        nonlocal outstanding
        if isinstance(message, messages.SlotGrant):
            outstanding -= 1
            if not outstanding:
                answered.set()

    loads = _Loads(args.services, args.changing)
    peer_links = _peer_links("e00", on_message, loads.heartbeat)
    ids = [f"e{number:02}" for number in range(1, args.mesh)]
    limit_s = _START_LIMIT_S * 2 + 120
    async with asyncio.timeout(limit_s), _nodes(ids, args) as nodes:
        await peer_links.start()
        peers = {"e00": peer_links.peer_address} | await _addresses(nodes)
        peer_links.set_peers(peers)
        await asyncio.gather(*(node.ask({"peers": peers}) for node in nodes))
        await _reachable(peer_links, len(nodes))
        await asyncio.sleep(_SETTLE_S)
        node = nodes[0]
        times_us = []
        node_cpu_s = (await node.ask({}))["cpu_s"]
        own_cpu_s = _cpu_s()
        for number in range(args.pairs // args.burst):
            answered.clear()
            outstanding = args.burst
            start_ns = time.perf_counter_ns()
            for _ in range(args.burst):
                peer_links.send(
                    ids[0], messages.SlotRequest(number, "plans", 0.1, 500.0)
                )
            await answered.wait()
            times_us.append((time.perf_counter_ns() - start_ns) / 1000)
        own_cpu_s = _cpu_s() - own_cpu_s
        node_cpu_s = (await node.ask({}))["cpu_s"] - node_cpu_s
        await peer_links.stop()
    pairs = len(times_us) * args.burst
    cuts = statistics.quantiles(times_us, n=1000)
    return {
        "pairs": pairs,
        "burst": args.burst,
        "mesh": args.mesh,
        "p50_us": cuts[499],
        "p99_us": cuts[989],
        "p999_us": cuts[998],
        "cpu_us_per_pair_asking": own_cpu_s / pairs * 1e6,
        "cpu_us_per_pair_answering": node_cpu_s / pairs * 1e6,
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


def _sizes(text: str) -> list[int]:
    return [int(size) for size in text.split(",")]


def main() -> None:
    """Run the bench program or one of its nodes."""
    # argparse keeps the memory of a command line library out of the nodes.
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", type=_sizes, default=[3, 9, 18, 24])
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
    parser.add_argument("--node", default="", help="run a node of this id")
    args = parser.parse_args()
    asyncio.run(_run_node(args) if args.node else _run(args))


if __name__ == "__main__":
    main()
