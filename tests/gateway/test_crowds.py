"""Tests that crowds of callers do not exhaust an entry.

Each one starts an entry as a process on a small host and checks that it lives,
stays within the memory and the descriptors of the host, and answers an ordinary
request while the crowd stays connected.
"""

import asyncio
import contextlib

import pytest

from tests.gateway import crowd
from tests.gateway import mixed_fleet

_CALLERS = 200
_LARGE = crowd.MAX_BODY_BYTES - 1
_PIECE = 16_000


def _chunks(size: int, total: int) -> bytes:
    """Return a body in chunks without its end."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size) * (total // size)


def test_bodies_that_stop_short_of_their_end(tmp_path):
    """The entry kept all of them for 10 s and ran out of memory."""

    async def send(fleet, callers):
        head = b"Content-Length: %d\r\n\r\n" % crowd.MAX_BODY_BYTES
        await callers.send(
            fleet.entry.callers, _CALLERS, crowd.HEAD + head, b"x" * _LARGE
        )

    crowd.play(tmp_path, send)


def test_chunked_bodies_that_stop_short_of_their_end(tmp_path):
    """The limit held for each body, not for all that arrive at a time."""

    async def send(fleet, callers):
        await callers.send(
            fleet.entry.callers,
            _CALLERS,
            crowd.CHUNKED,
            _chunks(_PIECE, _LARGE),
        )

    crowd.play(tmp_path, send)


def test_bodies_in_chunks_of_two_bytes(tmp_path):
    """Each piece was kept as an object of twenty times its size."""

    async def send(fleet, callers):
        await callers.send(
            fleet.entry.callers, 100, crowd.CHUNKED, _chunks(2, 60_000)
        )

    crowd.play(tmp_path, send)


@pytest.mark.parametrize(
    "trailers",
    [b"T: " + b"t" * 4_000_000, b"T: t\r\n" * 100_000],
    ids=["long", "many"],
)
def test_trailers_without_end(trailers, tmp_path):
    """Neither the length of a trailer nor their number was limited."""

    async def send(fleet, callers):
        await callers.send(
            fleet.entry.callers,
            50,
            crowd.CHUNKED + b"1\r\nx\r\n0\r\n",
            trailers,
        )

    crowd.play(tmp_path, send)


def test_chunk_extensions_without_end(tmp_path):
    """They count for no body, and the caller stays below its limit."""

    async def send(fleet, callers):
        await callers.send(
            fleet.entry.callers,
            50,
            crowd.CHUNKED + b"1;" + b"e" * 4_000_000,
        )

    crowd.play(tmp_path, send)


def test_pipelined_requests(tmp_path):
    """All that one read had returned were parsed and kept."""

    async def send(fleet, callers):
        request = b"GET /none/x HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        await callers.send(fleet.entry.callers, 40, request * 5_000)

    crowd.play(tmp_path, send)


def test_heads_that_stop_short_of_their_end(tmp_path):
    """Each of them is legal, and they are kept until they are complete."""

    async def send(fleet, callers):
        head = crowd.HEAD + (b"H: " + b"h" * 500 + b"\r\n") * 30
        await callers.send(fleet.entry.callers, 400, head)

    crowd.play(tmp_path, send)


@pytest.mark.parametrize("port", ["control", "readiness", "directory"])
def test_bodies_at_the_ports_of_the_entry_itself(port, tmp_path):
    """They have no limit but that of a single body."""

    async def send(fleet, callers):
        # The control port takes bodies of callers from its peers.
        size = crowd.MAX_BODY_BYTES if port == "control" else 65_536
        count = 200 if port == "control" else 900
        head = b"Content-Length: %d\r\n\r\n" % size
        await callers.send(
            getattr(fleet.entry, port),
            count,
            crowd.HEAD + head,
            b"x" * (size - 1),
        )

    crowd.play(tmp_path, send)


def test_idle_connections_at_all_ports(tmp_path):
    """The ports together accepted more than the host has descriptors."""

    async def send(fleet, callers):
        entry = fleet.entry
        metrics = f"{entry.host}:9464"
        for address in (
            entry.callers,
            entry.control,
            entry.readiness,
            entry.directory,
            metrics,
        ):
            await callers.send(address, 600, b"GET / HTTP/1.1\r\n")

    crowd.play(tmp_path, send)


class _CalmFleet(crowd.Fleet):
    """A host and a largest body of the users' sizes."""

    MEMORY_MB = 300
    MAX_BODY_BYTES = 64 * 1024 * 1024


def test_one_body_of_the_largest_size_is_served(tmp_path):
    """A limit for all callers together must leave room for each of them."""

    async def send(fleet, callers):
        assert await fleet.ask(b"x" * fleet.MAX_BODY_BYTES) == 200
        assert await fleet.ask(b"x" * fleet.MAX_BODY_BYTES) == 200

    crowd.play(tmp_path, send, _CalmFleet)


def test_responses_that_callers_do_not_read(tmp_path):
    """They waited in the entry, however many and however large."""

    async def send(fleet, callers):
        fleet.target.response_bytes = 12_000_000
        head = (
            b"GET /repeat/large HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: large\r\nX-Deadline-Ms: 30000\r\n\r\n"
        )
        for _ in range(20):
            await callers.send(fleet.entry.callers, 2, head)
            await asyncio.sleep(0.1)
        fleet.target.response_bytes = 2

    crowd.play(tmp_path, send)


async def _send_without_end(writer, start, part):
    with contextlib.suppress(OSError):
        writer.write(b"HTTP/1.1 200 OK\r\n" + start)
        while True:
            writer.write(part)
            await writer.drain()


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"X: ", b"x" * 65_536),
        (b"", b"X: x\r\n" * 10_000),
        (b"\r\n", b"x" * 65_536),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"2\r\nxx\r\n" * 8_000),
    ],
    ids=["header", "headers", "body", "chunks"],
)
def test_targets_that_send_without_end(start, part, tmp_path):
    """An entry kept what was no answer, for each of its callers."""

    async def send(fleet, callers):
        async def answer(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                await _send_without_end(writer, start, part)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        faulty = mixed_fleet.Target("faulty", "shop", "z1", None)
        faulty.address = f"{host}:{port}"
        fleet.register(faulty)
        head = (
            b"GET /repeat/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: x\r\nX-Deadline-Ms: 2000\r\n\r\n"
        )
        for _ in range(10):
            await callers.send(fleet.entry.callers, 20, head)
            await asyncio.sleep(0.2)
        fleet.store.put("servers/faulty", None)
        server.close()
        await asyncio.sleep(1.0)

    crowd.play(tmp_path, send)
