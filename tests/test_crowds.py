"""Tests that crowds of callers do not exhaust an entry.

They are those of tests/gateway/test_crowds.py at the product's own interface.
"""

import asyncio

import pytest

from tests import crowd as crowds
from tests.faults import fleet as fleets

# Bound of the memory of the process, and what its settings let bodies take.
_MEMORY_MB = 192
_BODY_MEMORY_BYTES = 50_000_000
_MAX_BODY_BYTES = 1_000_000
_MAX_DESCRIPTORS = 1_024
_MAX_CONNECTIONS = 500
_CALLERS = 200
_LARGE = _MAX_BODY_BYTES - 1
_HEAD = (
    b"POST /lookup/crowd HTTP/1.1\r\nHost: work\r\nSlatechute-Service: work\r\n"
)
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture(autouse=True)
def _settings(monkeypatch):
    for name, value in (
        ("BODY_MEMORY_BYTES", _BODY_MEMORY_BYTES),
        ("MAX_BODY_BYTES", _MAX_BODY_BYTES),
        ("MAX_CONNECTIONS", _MAX_CONNECTIONS),
    ):
        monkeypatch.setenv(f"SLATECHUTE_{name}", str(value))


def _play(send) -> None:
    """Let a crowd send, and check what must hold of the entry."""

    async def main() -> None:
        async with fleets.Fleet(entries=2) as fleet:
            entry = fleet.entries["e1"]

            async def ask() -> int:
                return await crowds.ask(entry.address, _HEAD)

            assert await ask() == 200
            crowd = crowds.Crowd(entry.pid)
            try:
                await send(entry, crowd)
                assert entry.is_running
                assert await ask() == 200
                assert entry.is_running
                assert crowds.peak_memory_mb(entry.pid) < _MEMORY_MB
                assert crowd.descriptors <= _MAX_DESCRIPTORS
            finally:
                print(
                    f"peak {crowds.peak_memory_mb(entry.pid):.0f} MB, "
                    f"{crowd.descriptors} descriptors"
                )
                crowd.close()

    asyncio.run(main())


def test_bodies_that_stop_short_of_their_end():
    """The entry kept all of them until their deadlines."""

    async def send(entry, crowd):
        head = b"Content-Length: %d\r\n\r\n" % _MAX_BODY_BYTES
        await crowd.send(entry.address, _CALLERS, _HEAD + head, b"x" * _LARGE)

    _play(send)


@pytest.mark.parametrize(
    ("size", "total", "callers"), [(16_000, _LARGE, _CALLERS), (2, 60_000, 100)]
)
def test_chunked_bodies_that_stop_short_of_their_end(size, total, callers):
    """The limit held for each body, and each piece was an object."""

    async def send(entry, crowd):
        body = b"%x\r\n%s\r\n" % (size, b"x" * size) * (total // size)
        await crowd.send(entry.address, callers, _CHUNKED, body)

    _play(send)


@pytest.mark.parametrize(
    "trailers",
    [b"T: " + b"t" * 4_000_000, b"T: t\r\n" * 500_000],
    ids=["long", "many"],
)
def test_trailers_without_end(trailers):
    """The entry would keep what belongs to no body."""

    async def send(entry, crowd):
        await crowd.send(
            entry.address, 50, _CHUNKED + b"1\r\nx\r\n0\r\n", trailers
        )

    _play(send)


@pytest.mark.parametrize("port", ["admin_address", "peer_address"])
def test_bodies_at_the_ports_of_the_entry_itself(port):
    """Callers that are not controlled reach these ports as well."""

    async def send(entry, crowd):
        head = b"Content-Length: %d\r\n\r\n" % _MAX_BODY_BYTES
        await crowd.send(
            getattr(entry, port), _CALLERS, _HEAD + head, b"x" * _LARGE
        )

    _play(send)


def test_idle_connections_at_all_ports():
    """The ports for operators and peers accepted any number."""

    async def send(entry, crowd):
        for address in (entry.address, entry.admin_address, entry.peer_address):
            await crowd.send(address, 600, b"GET / HTTP/1.1\r\n")

    _play(send)
