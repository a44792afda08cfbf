"""Tests that crowds of callers do not exhaust an entry.

Each one starts an entry as a process on a small host and checks that it lives,
stays within the memory and the descriptors of the host, and answers an ordinary
request while the crowd stays connected.
"""

import pytest

from tests.gateway import crowd

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
