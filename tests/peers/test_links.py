"""Tests of the links between entries over loopback sockets."""

import asyncio
import contextlib
import functools
import json
import signal
import socket
import sys
import time

import hypothesis
from hypothesis import strategies
import pytest
from websockets.asyncio import client

from slatechute import events
from slatechute import messages
from slatechute import settings as entry_settings
from slatechute.benches import control
from slatechute.peers import authentication
from slatechute.peers import counters
from slatechute.peers import dialer
from slatechute.peers import link
from slatechute.peers import links
from slatechute.util import clock as clocks
from tests import waiting

_until = functools.partial(waiting.until, limit_s=5.0)

_KEY = "key of the fleet 0123"
_Fault = counters.Fault


class _Node:
    """Links of an entry that record received messages and events."""

    def __init__(
        self,
        entry_id: str,
        *,
        key: str = _KEY,
        address: str = "127.0.0.1:0",
        boot: int = 1,
        versions: tuple[int, int] = (1, 1),
    ):
        self.entry_id = entry_id
        self.received: list[tuple[str, messages.Message]] = []
        self.events: list[object] = []
        self.bus = bus = events.EventBus()
        for event_type in (events.PeerReady, events.PeerLost):
            bus.stream(event_type).subscribe(self.events.append)
        self.links = links.PeerLinks(
            entry_settings.EntrySettings(
                entry_id=entry_id,
                data_centre="dc1",
                peer_address=address,
                fleet_key=key,
            ),
            f"{entry_id}-{boot}",
            clocks.MonotonicClock(),
            bus,
            self._record_message,
            lambda: messages.Heartbeat(revision=boot),
            versions=versions,
        )

    def _record_message(self, peer_id: str, message: messages.Message) -> None:
        if not isinstance(message, messages.Heartbeat):
            self.received.append((peer_id, message))

    def failures(self, fault: counters.Fault) -> int:
        return self.links.metrics.failures_by_fault[fault]

    def has_link_to(self, entry_id: str) -> bool:
        peer = self.links.peers().get(entry_id)
        return peer is not None and peer.reachable


@contextlib.asynccontextmanager
async def _started(*nodes: _Node):
    try:
        for node in nodes:
            await node.links.start()
        yield
    finally:
        for node in nodes:
            await node.links.stop()


def _set_peers(*nodes: _Node) -> None:
    addresses = {node.entry_id: node.links.peer_address for node in nodes}
    for node in nodes:
        node.links.set_peers(addresses)


async def _wait_until_linked(*nodes: _Node) -> None:
    await _until(
        lambda: all(
            one.has_link_to(other.entry_id)
            for one in nodes
            for other in nodes
            if one is not other
        )
    )


class _RawPeer:
    """A client that authenticates and then sends arbitrary frames."""

    def __init__(self, entry_id: str = "raw", key: str = _KEY, boot: int = 1):
        self.hello = messages.Hello(
            *(1, 1, entry_id, f"{entry_id}-{boot}", "dc1"),
            *("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
            authentication.new_nonce(),
        )
        role = authentication.Role.CLIENT
        self.link = link.Link(role, self.hello, key.encode(), 0.0)

    async def connect(self, node: _Node) -> client.ClientConnection:
        """Connect without authentication."""
        return await client.connect(
            f"ws://{node.links.peer_address}",
            compression=None,
            proxy=None,
            ping_interval=None,
            close_timeout=0.2,
        )

    async def authenticate(self, node: _Node) -> client.ClientConnection:
        connection = await self.connect(node)
        self.link.open()
        while self.link.state is not link.State.READY:
            for frame in self.link.outgoing:
                await connection.send(frame)
            self.link.outgoing.clear()
            self.link.receive(await connection.recv(), 0.0)
        return connection


async def _is_closed_within(connection, limit_s: float) -> bool:
    try:
        await asyncio.wait_for(connection.wait_closed(), limit_s)
    except TimeoutError:
        return False
    return True


def test_messages_and_heartbeats_arrive_in_order():
    """Guards against lost, reordered or misattributed messages."""

    async def run():
        one, two = _Node("e1"), _Node("e2", boot=7)
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            sent = [messages.SlotCancel(number) for number in range(500)]
            assert all(one.links.send("e2", message) for message in sent)
            assert two.links.send("e1", messages.SlotGrant(1, 2, "t1"))
            await _until(lambda: len(two.received) == 500 and one.received)
            assert two.received == [("e1", message) for message in sent]
            assert one.received == [("e2", messages.SlotGrant(1, 2, "t1"))]
            await _until(lambda: one.links.peers()["e2"].heartbeat is not None)
            peer = one.links.peers()["e2"]
            assert peer.heartbeat.revision == 7
            assert (peer.boot_id, peer.data_centre) == ("e2-7", "dc1")
            assert one.events == [events.PeerReady("e2")]
            assert not one.links.send("e3", messages.SlotCancel(1))

    asyncio.run(run())


@pytest.mark.parametrize("listing", ["e1", "e2"])
def test_one_listing_side_is_enough(listing):
    """Guards against new entries without links because others do not list them.

    The higher entry id connects after `FALLBACK_DELAY_S` without a link.
    """

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            lister = one if listing == "e1" else two
            other = two if listing == "e1" else one
            address = other.links.peer_address
            lister.links.set_peers({other.entry_id: address})
            await _wait_until_linked(one, two)
            await asyncio.sleep(0.6)
            other.links.set_peers({})
            assert other.has_link_to(lister.entry_id)
            assert len(one.events) == len(two.events) == 1
            await lister.links.stop()
            await _until(lambda: not other.links.peers())

    asyncio.run(run())


def test_burst_is_written_with_few_writes():
    """Guards against throughput lost to one system call for each message."""

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            connection = one.links._connection_by_id["e2"]
            writes = []
            write = connection.transport.write
            connection.transport.write = lambda data: (
                writes.append(len(data)),
                write(data),
            )
            for number in range(100):
                one.links.send("e2", messages.SlotCancel(number))
            await _until(lambda: len(two.received) == 100)
            # The burst, and heartbeats if they became due meanwhile.
            assert len(writes) <= 5

    asyncio.run(run())


def test_unchanged_heartbeat_is_a_keepalive():
    """Guards against excessive control traffic of idle entries.

    An empty heartbeat frame has 6 bytes and further ones of framing, while a
    pong has 2 or 6 bytes in total.
    """

    async def run():
        one, two = _Node("e1"), _Node("e2")
        heartbeats = []
        one.links._on_message = lambda peer_id, message: heartbeats.append(
            message.revision
        )
        revision = 1
        two.links._heartbeat = lambda: messages.Heartbeat(revision=revision)
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            metrics = two.links.metrics
            frames, size = metrics.frames_sent, metrics.bytes_sent
            await asyncio.sleep(1.0)
            assert one.events == [events.PeerReady("e2")]
            assert heartbeats == [1]
            assert metrics.frames_sent == frames
            # At most 20 keepalives of at most 6 bytes.
            assert 0 < metrics.bytes_sent - size <= 120
            revision = 2
            await _until(lambda: heartbeats == [1, 2], limit_s=1.0)
            assert one.links.peers()["e2"].heartbeat.revision == 2

    asyncio.run(run())


@pytest.mark.parametrize("wall_s", [0.0, 12.3, 1e9 + 0.0999, 1.7e9 + 0.05])
def test_heartbeats_are_aligned_to_the_wall_clock(wall_s):
    """Guards against heartbeats that are late, too frequent or unaligned."""
    delay_s = links._heartbeat_delay_s(wall_s)
    assert 0.05 <= delay_s <= 0.15
    tick = (wall_s + delay_s) / 0.1
    assert abs(tick - round(tick)) < 1e-4


def test_wrong_key_gets_no_link():
    """Guards against links with peers that do not know the fleet key."""

    async def run():
        one, two = _Node("e1"), _Node("e2", key="another key of 16 bytes")
        async with _started(one, two):
            _set_peers(one, two)
            await _until(lambda: two.failures(_Fault.AUTHENTICATION) >= 2)
            assert not one.events and not two.events

    asyncio.run(run())


def test_replayed_authentication_is_rejected():
    """Guards against authentication by replay of recorded frames."""

    async def run():
        node = _Node("e1")
        async with _started(node):
            raw = _RawPeer("e2")
            recorded = []
            connection = await raw.connect(node)
            raw.link.open()
            for _ in range(2):
                frames, raw.link.outgoing = raw.link.outgoing, []
                for frame in frames:
                    recorded.append(frame)
                    await connection.send(frame)
                raw.link.receive(await connection.recv(), 0.0)
            await _until(lambda: node.has_link_to("e2"))
            assert len(recorded) == 2
            replay = await _RawPeer("e2").connect(node)
            for frame in recorded:
                await replay.send(frame)
            assert await _is_closed_within(replay, 1.0)
            assert node.failures(_Fault.AUTHENTICATION) == 1
            assert node.events == [events.PeerReady("e2")]
            await connection.close()

    asyncio.run(run())


def test_reflected_proof_is_rejected():
    """Guards against authentication by sending received frames back."""

    async def run():
        node = _Node("e1")
        from_client = _RawPeer("e0")
        from_client.link.open()
        hello = from_client.link.outgoing.pop()
        with pytest.raises(link.LinkFault):
            from_client.link.receive(hello, 0.0)
        async with _started(node):
            raw = _RawPeer("e2")
            connection = await raw.connect(node)
            raw.link.open()
            await connection.send(raw.link.outgoing.pop())
            await connection.send(await connection.recv())
            assert await _is_closed_within(connection, 1.0)
            assert not node.events

    asyncio.run(run())


@pytest.mark.parametrize(
    ("one_range", "two_range", "works"),
    [((1, 2), (2, 3), True), ((2, 3), (1, 2), True), ((1, 1), (2, 3), False)],
)
def test_version_ranges(one_range, two_range, works):
    """Guards against a roll-out in which old and new entries cannot link."""

    async def run():
        one = _Node("e1", versions=one_range)
        two = _Node("e2", versions=two_range)
        async with _started(one, two):
            _set_peers(one, two)
            if works:
                await _wait_until_linked(one, two)
                link_of_one = one.links._connection_by_id["e2"].link
                assert link_of_one.version == 2
            else:
                await _until(lambda: two.failures(_Fault.VERSION) >= 2)
                assert not one.events and not two.events

    asyncio.run(run())


def _closing_frames():
    valid = messages.encode(messages.SlotRequest(1, "plans", 0.0, 10.0))
    return strategies.one_of(
        strategies.binary(max_size=200),
        strategies.integers(0, len(valid) - 1).map(lambda end: valid[:end]),
        # CBOR tags with semantics use decoders that raise other errors, for
        # instance tag 30 (rational) with a zero denominator.
        strategies.tuples(
            strategies.integers(0, 40), strategies.binary(max_size=20)
        ).map(lambda pair: _tag_head(pair[0]) + pair[1]),
        strategies.just(bytes.fromhex("d81e820100")),
        strategies.just(b"\x81" * 5000),
    )


def _tag_head(tag: int) -> bytes:
    return bytes([0xC0 + tag]) if tag < 24 else bytes([0xD8, tag])


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(strategies.booleans(), _closing_frames())
def test_any_frame_is_accepted_or_closes_the_link(is_ready, frame):
    """Guards against input that raises other exceptions than `LinkFault`."""
    raw = _RawPeer()
    if is_ready:
        raw.link.state = link.State.READY
    else:
        raw.link.open()
    try:
        raw.link.receive(frame, 0.0)
    except link.LinkFault:
        return
    assert is_ready, "a frame passed before authentication"


@pytest.mark.parametrize(
    ("frame", "fault"),
    [
        (b"\xff\xff", _Fault.MALFORMED),
        (messages.encode(messages.SlotCancel(1))[:-1], _Fault.MALFORMED),
        ("text", _Fault.MALFORMED),
        (bytes(messages.MAX_FRAME_BYTES + 1), _Fault.OVERSIZED),
        (messages.encode(messages.Proof(b"")), _Fault.UNEXPECTED),
    ],
)
def test_bad_frame_closes_only_its_link(frame, fault):
    """Guards against a faulty peer that affects the links with other peers."""

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            connection = await _RawPeer().authenticate(one)
            await connection.send(messages.encode(messages.SlotCancel(5)))
            await connection.send(frame)
            assert await _is_closed_within(connection, 1.0)
            assert one.failures(fault) == 1
            assert one.received == [("raw", messages.SlotCancel(5))]
            assert one.events[1:] == [
                events.PeerReady("raw"),
                events.PeerLost("raw"),
            ]
            assert one.links.send("e2", messages.SlotCancel(6))
            await _until(lambda: two.received)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"\x00garbage\r\n\r\n" * 20, _Fault.HANDSHAKE),
        (b"", _Fault.AUTHENTICATION_TIMEOUT),
    ],
)
def test_connection_without_handshake_is_closed(data, fault):
    """Guards against unknown clients that stay connected or send garbage."""

    async def run():
        node = _Node("e1")
        async with _started(node):
            host, _, port = node.links.peer_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                async with asyncio.timeout(2.0):
                    await reader.read()
            writer.close()
            await _until(lambda: node.failures(fault) == 1, limit_s=1.0)
            assert not node.links._open_connections

    asyncio.run(run())


@pytest.mark.parametrize("kind", ["nothing", "message", "large"])
def test_unauthenticated_connection_is_closed(kind):
    """Guards against peers that skip or never finish authentication."""
    frames = {
        "message": messages.encode(messages.SlotCancel(1)),
        "large": bytes(5000),
    }
    faults = {
        "nothing": _Fault.AUTHENTICATION_TIMEOUT,
        "message": _Fault.UNEXPECTED,
        "large": _Fault.OVERSIZED,
    }

    async def run():
        node = _Node("e1")
        async with _started(node):
            connection = await _RawPeer().connect(node)
            if kind in frames:
                await connection.send(frames[kind])
            assert await _is_closed_within(connection, 2.0)
            assert node.failures(faults[kind]) == 1
            assert not node.received and not node.events

    asyncio.run(run())


def test_unauthenticated_connections_are_limited(monkeypatch):
    """Guards against unknown clients that exhaust memory or block peers."""
    monkeypatch.setattr(links, "MAX_UNAUTHENTICATED", 4)

    async def run():
        node = _Node("e1")
        async with _started(node):
            idle = [await _RawPeer().connect(node) for _ in range(10)]
            assert len(node.links._unauthenticated) <= 4
            assert node.failures(_Fault.TOO_MANY) == 6
            await _RawPeer("e2").authenticate(node)
            await _until(lambda: node.has_link_to("e2"))
            for connection in idle:
                connection.transport.abort()

    asyncio.run(run())


def test_silent_link_is_detected_and_reopened():
    """Guards against half-open links, which stay open without data.

    The silence timeout of 400 ms is checked every 100 ms; 1 s leaves a margin.
    """

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            silent = two.links._connection_by_id["e1"]
            # From now on neither data nor the end of the connection passes.
            silent.transport.pause_reading()
            silent.transport.write = lambda data: None
            # The other side detects the silence in the same interval and could
            # close the connection first.
            abort, silent.transport.abort = silent.transport.abort, lambda: None
            await _until(
                lambda: events.PeerLost("e2") in one.events, limit_s=1.0
            )
            assert one.failures(_Fault.SILENT) == 1
            abort()
            await _wait_until_linked(one, two)
            assert one.events[-1] == events.PeerReady("e2")
            assert two.links._connection_by_id["e1"] is not silent

    asyncio.run(run())


@pytest.mark.parametrize(
    ("now_ms", "resumed_ms", "is_silent"),
    [(399, 0, False), (400, 0, True), (2000, 1700, False), (2100, 1700, True)],
)
def test_silence_limit(now_ms, resumed_ms, is_silent):
    """Guards against early or late detection of silence, also after a pause."""
    raw = _RawPeer()
    raw.link.state = link.State.READY
    raw.link.receive(messages.encode(messages.Heartbeat()), 0.0)
    if is_silent:
        with pytest.raises(link.LinkFault, match="no frame"):
            raw.link.check_timeouts(now_ms, resumed_ms)
    else:
        raw.link.check_timeouts(now_ms, resumed_ms)


def test_pause_of_this_process_closes_no_link():
    """Guards against an entry that closes all its links after a pause.

    No frames are read during the pause, so all peers seem unresponsive.
    """

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            time.sleep(0.8)  # noqa: ASYNC251, pauses both ends on purpose
            await asyncio.sleep(0.6)
            assert one.events == [events.PeerReady("e2")]
            assert two.events == [events.PeerReady("e1")]

    asyncio.run(run())


def test_restart_of_a_peer_emits_lost_and_ready():
    """Guards against leases that outlive the process that held them."""

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            address = two.links.peer_address
            await two.links.stop()
            restarted = _Node("e2", address=address, boot=2)
            async with _started(restarted):
                _set_peers(one, restarted)
                await _wait_until_linked(one, restarted)
                assert one.events == [
                    events.PeerReady("e2"),
                    events.PeerLost("e2"),
                    events.PeerReady("e2"),
                ]
                assert one.links.peers()["e2"].boot_id == "e2-2"

    asyncio.run(run())


@pytest.mark.parametrize("boot", [1, 2])
def test_newer_connection_replaces_a_half_open_one(boot):
    """Guards against a half-open connection that prevents a new link.

    The peer stays ready if its process is the same; after a restart it is lost
    and ready again.
    """

    async def run():
        node = _Node("e9")
        async with _started(node):
            old = await _RawPeer("e2").authenticate(node)
            await _until(lambda: node.has_link_to("e2"))
            new = await _RawPeer("e2", boot=boot).authenticate(node)
            assert await _is_closed_within(old, 0.3)
            ready, lost = events.PeerReady("e2"), events.PeerLost("e2")
            expected = [ready] if boot == 1 else [ready, lost, ready]
            assert node.events == expected
            await new.send(messages.encode(messages.SlotCancel(1)))
            await _until(lambda: node.received)
            await new.close()

    asyncio.run(run())


def test_simultaneous_connections_keep_one_link(monkeypatch):
    """Guards against two sides that each close the link the other keeps."""
    monkeypatch.setattr(links, "FALLBACK_DELAY_S", 0.0)

    async def run():
        for _ in range(10):
            one, two = _Node("e1"), _Node("e2")
            async with _started(one, two):
                _set_peers(one, two)
                await _wait_until_linked(one, two)
                await asyncio.sleep(0.05)
                assert one.has_link_to("e2") and two.has_link_to("e1")
                assert one.events == [events.PeerReady("e2")]
                assert two.events == [events.PeerReady("e1")]
                assert len(one.links._open_connections) == 1

    asyncio.run(run())


def test_full_queue_closes_the_link():
    """Guards against memory that grows if a peer does not read."""

    async def run():
        node = _Node("e1")
        async with _started(node):
            connection = await _RawPeer("e2").authenticate(node)
            connection.transport.pause_reading()
            await _until(lambda: node.has_link_to("e2"))
            part = messages.DocumentParts("d", 1, {"p": "x" * 200_000})
            queued = 0
            while node.links.send("e2", part):
                queued += 1
                assert queued < 100
                # The event must not be emitted within `send`.
                assert node.has_link_to("e2")
            assert node.has_link_to("e2")
            await _until(lambda: not node.has_link_to("e2"), limit_s=0.2)
            assert node.failures(_Fault.QUEUE_FULL) == 1
            assert node.events[-1] == events.PeerLost("e2")
            connection.transport.abort()

    asyncio.run(run())


def test_oversized_message_is_not_sent():
    """Guards against an oversized frame, for which the peer closes the link."""

    async def run():
        one, two = _Node("e1"), _Node("e2")
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            part = messages.DocumentParts("d", 1, {"p": "x" * 300_000})
            assert not one.links.send("e2", part)
            assert one.links.send("e2", messages.SlotCancel(1))
            await _until(lambda: two.received)
            assert one.events == [events.PeerReady("e2")]

    asyncio.run(run())


def test_failing_callbacks_do_not_break_links():
    """Guards against links that an exception of the application closes."""

    async def run():
        one, two = _Node("e1"), _Node("e2")
        one.links._on_message = lambda peer_id, message: 1 / 0
        async with _started(one, two):
            _set_peers(one, two)
            await _wait_until_linked(one, two)
            two.links.send("e1", messages.SlotCancel(1))
            await _until(lambda: one.failures(_Fault.HANDLER) >= 2)
            assert one.events == [events.PeerReady("e2")]

    asyncio.run(run())


def test_failing_subscriber_does_not_break_links():
    """Guards against heartbeats that an exception of a subscriber stops."""

    async def run():
        one, two, three = _Node("e1"), _Node("e2"), _Node("e3")
        for event_type in (events.PeerReady, events.PeerLost):
            one.links._bus.stream(event_type).subscribe(lambda event: 1 / 0)
        async with _started(one, two, three):
            _set_peers(one, two, three)
            await _wait_until_linked(one, two, three)
            await two.links.stop()
            await _until(lambda: not one.has_link_to("e2"))
            await asyncio.sleep(0.6)
            assert three.has_link_to("e1")
            assert three.events.count(events.PeerReady("e1")) == 1
            assert one.failures(_Fault.HANDLER) == 3

    asyncio.run(run())


def test_paused_peer_process_is_lost_and_reconnects():
    """Guards against a paused process that counts as a live peer.

    Its kernel still accepts connections. After the pause, a pending connection
    attempt may take 1 s to fail, and the next one is delayed by up to 2 s.
    """

    async def run():
        one = _Node("e1", key=control.FLEET_KEY)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "slatechute.benches.control", "--node", "e2"),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            response = json.loads(await process.stdout.readline())
            async with _started(one):
                one.links.set_peers({"e2": response["peer_address"]})
                await _until(lambda: one.has_link_to("e2"))
                process.send_signal(signal.SIGSTOP)
                await _until(lambda: not one.has_link_to("e2"), limit_s=1.0)
                assert one.failures(_Fault.SILENT) == 1
                await asyncio.sleep(0.5)
                assert not one.has_link_to("e2")
                process.send_signal(signal.SIGCONT)
                await _until(lambda: one.has_link_to("e2"), limit_s=4.0)
        finally:
            process.kill()
            await process.wait()

    asyncio.run(run())


def test_stop_is_bounded():
    """Guards against a stop that waits indefinitely for unresponsive peers."""

    async def run():
        node = _Node("e1")
        await node.links.start()
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        node.links.set_peers({"e2": f"127.0.0.1:{port}", "e3": "nonsense"})
        connection = await _RawPeer("e4").authenticate(node)
        connection.transport.pause_reading()
        await asyncio.sleep(0.05)
        start = time.monotonic()
        await node.links.stop()
        assert time.monotonic() - start < links.STOP_TIMEOUT_S + 1.0
        listener.close()
        connection.transport.abort()

    asyncio.run(run())


def test_backoff_stays_in_its_bounds():
    """Guards against reconnects in a tight loop and excessive delays."""
    for failures in range(40):
        delay_s = dialer.backoff_s(failures)
        limit_s = min(dialer.BACKOFF_MAX_S, 0.05 * 2**failures)
        assert limit_s / 2 <= delay_s <= limit_s


def test_replaced_link_is_reported():
    """Guards against waits for responses that were lost with the older link.

    Subscribers of `LinkReplaced` can then stop waiting for them.
    """

    async def run():
        node = _Node("e9")
        replaced = []
        node.bus.stream(events.LinkReplaced).subscribe(replaced.append)
        async with _started(node):
            await _RawPeer("e2").authenticate(node)
            await _until(lambda: node.has_link_to("e2"))
            new = await _RawPeer("e2", boot=1).authenticate(node)
            await _until(lambda: replaced)
            assert replaced == [events.LinkReplaced("e2")]
            await new.close()

    asyncio.run(run())
