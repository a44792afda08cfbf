"""Tests of connections to targets, also to those that send without end."""

import asyncio
import contextlib
import errno
import itertools
import random
import socket
import struct
import threading
import time
import tracemalloc

import pytest

from slatechute import errors
from slatechute.gateway import connections
from tests import waiting

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_HEADERS = [("Host", "h")]

# Longest time for which parsing may hold up the event loop (issue 30).
_MAX_HOLD_UP_S = 0.02
# Largest growth of the process with 24 responses without end (issue 30).
_MAX_GROWTH_BYTES = 60 * 1024 * 1024
_TIME_LIMIT_S = 1.0


class _StreamingTarget:
    """Sends a head and then the same bytes without end, in a thread of its own.

    A server in the tested event loop would take part of its time.
    """

    def __init__(self, head: bytes, repeated: bytes):
        self.address = ""
        self._head = head
        self._repeated = repeated * (65_536 // len(repeated))
        self._started = threading.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._main())
        )

    def __enter__(self) -> "_StreamingTarget":
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *exc_info) -> None:
        self._loop.call_soon_threadsafe(self._stopped.set)
        self._thread.join()

    async def _main(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self._started.set()
        await self._stopped.wait()
        server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            while True:
                writer.write(self._repeated)
                await writer.drain()
        writer.close()


async def _longest_hold_up_s(work: asyncio.Future) -> float:
    """Return the longest processor time between two steps of the event loop.

    Processor time of this thread does not count the load of the machine.
    """
    longest_s, last_s = 0.0, time.thread_time()
    while not work.done():
        await asyncio.sleep(0)
        now_s = time.thread_time()
        longest_s, last_s = max(longest_s, now_s - last_s), now_s
    return longest_s


async def _exchange(address: str) -> object:
    """Return the response, the error, or the time limit that has passed."""
    connection = await connections.open_connection(address)
    try:
        async with asyncio.timeout(_TIME_LIMIT_S):
            return await connection.exchange("GET", "/a", _HEADERS, b"")
    except (connections.ExchangeError, TimeoutError) as error:
        return error


@pytest.mark.parametrize("exchanges", [1, 8])
@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", b"\r\n"),
        (_HEAD, b"X-A: b\r\n"),
        (_HEAD + b"X: ", b"x"),
        (_CHUNKED, b"1\r\nx\r\n"),
        (_CHUNKED + b"1;", b"x=y;"),
        (_CHUNKED + b"0\r\n", b"X-A: b\r\n"),
        (_HEAD + b"\r\n", b"x"),
    ],
    ids=[
        "informational",
        "blank-lines",
        "headers",
        "one-header",
        "small-chunks",
        "chunk-extension",
        "trailers",
        "body",
    ],
)
def test_target_that_sends_without_end_does_not_hold_up_others(
    head, repeated, exchanges
):
    """One such target would stop the entry for all callers."""

    async def main(address):
        work = asyncio.gather(*(_exchange(address) for _ in range(exchanges)))
        started_s = time.monotonic()
        hold_up_s = await _longest_hold_up_s(work)
        for error in work.result():
            assert isinstance(error, connections.ExchangeError | TimeoutError)
            if isinstance(error, connections.ExchangeError):
                assert not error.not_run
        assert hold_up_s < _MAX_HOLD_UP_S
        assert time.monotonic() - started_s < _TIME_LIMIT_S + 3.0

    with _StreamingTarget(head, repeated) as target:
        asyncio.run(main(target.address))


def test_responses_without_end_share_the_memory_of_the_host():
    """The bound of one response does not bound all of them together."""

    async def main(address):
        results = await asyncio.gather(*(_exchange(address) for _ in range(24)))
        assert all(isinstance(result, Exception) for result in results)

    with _StreamingTarget(_HEAD + b"\r\n", b"x") as target:
        tracemalloc.start()
        try:
            asyncio.run(main(target.address))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak < _MAX_GROWTH_BYTES


def test_largest_response_is_broken_off_for_the_others():
    """A small response would fail for the memory that another one takes."""

    async def main():
        memory = connections.ResponseMemory(1_000)
        small = connections.TargetConnection(memory)
        large = connections.TargetConnection(memory)
        memory.add(small, 300)
        memory.add(large, 600)
        memory.add(small, 200)
        assert (small.buffered, large.buffered) == (500, 0)
        memory.release(small)
        memory.add(large, 1_000)
        assert large.buffered == 1_000

    asyncio.run(main())


class _Scripted:
    """Sends the given parts on each connection, then optionally ends it."""

    def __init__(self, *parts: bytes, end: str = ""):
        self._parts = parts
        self._end = end

    async def __aenter__(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def __aexit__(self, *exc_info) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for part in self._parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            if self._end == "reset":
                # With linger time 0, closing sends RST instead of FIN.
                sock = writer.get_extra_info("socket")
                option = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
                writer.transport.abort()
            elif not self._end:
                await reader.read()
            writer.close()


def _run_exchange(check, *parts, end="", method="GET", closes=False):
    async def main():
        async with _Scripted(*parts, end=end) as address:
            connection = await connections.open_connection(address)
            try:
                async with asyncio.timeout(_TIME_LIMIT_S):
                    result = await connection.exchange(
                        method, "/a", _HEADERS, b""
                    )
            except (connections.ExchangeError, TimeoutError) as error:
                result = error
            if closes:
                # Excess bytes may arrive after the response.
                await waiting.until(lambda: not connection.is_open)
            else:
                await asyncio.sleep(0.03)
            check(result, connection)
            connection.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("parts", "body", "is_open"),
    [
        ((_OK,), b"ok", True),
        ((b"\r\n" + _OK,), b"ok", True),
        ((_OK[:20], _OK[20:]), b"ok", True),
        ((b"HTTP/1.1 100 Continue\r\n\r\n", _OK), b"ok", True),
        ((_CHUNKED + b"1\r\no\r\n", b"1\r\nk\r\n0\r\n\r\n"), b"ok", True),
        ((b"HTTP/1.1 204 No Content\r\n\r\n",), b"", True),
        ((b"HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n",), b"", True),
        ((b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",), b"ok", False),
        (
            (_HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok",),
            b"ok",
            False,
        ),
        # Bytes that follow a response belong to no request.
        ((_OK + b"x",), b"ok", False),
        ((_OK + _OK,), b"ok", False),
        ((_OK, b"x"), b"ok", False),
        ((_OK, _OK), b"ok", False),
        ((_OK + b"HTTP/1.1 100 Continue\r\n\r\n",), b"ok", False),
    ],
)
def test_response_is_complete_and_its_connection_kept_or_closed(
    parts, body, is_open
):
    """Excess bytes would be read as the response to the next request."""

    def check(result, connection):
        assert (result.status // 100 in (2, 3), result.body) == (True, body)
        assert connection.is_open == is_open

    _run_exchange(check, *parts, closes=not is_open)


@pytest.mark.parametrize(
    ("parts", "end", "response_started"),
    [
        ((_OK[:-1],), "close", True),
        ((_OK[:-1],), "reset", True),
        ((_HEAD + b"\r\nabc",), "reset", True),
        ((_CHUNKED + b"1\r\no\r\n",), "close", True),
        ((_HEAD,), "close", False),
        ((), "close", False),
        ((), "reset", False),
        ((b"HTTP/1.1 100 Continue\r\n\r\n",), "close", False),
        ((b"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n",), "", False),
        ((b"garbage\r\n\r\n",), "", False),
        ((b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",), "", False),
        (
            (_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n",),
            "",
            False,
        ),
        (
            (
                _HEAD
                + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
            ),
            "",
            False,
        ),
        ((_HEAD + b"X: a\x00b\r\nContent-Length: 2\r\n\r\nok",), "", False),
        ((_CHUNKED + b"zz\r\n",), "", True),
    ],
)
def test_incomplete_or_malformed_response_is_none(parts, end, response_started):
    """An answer that ends early must not look complete."""

    def check(result, connection):
        assert isinstance(result, connections.ExchangeError)
        assert result.response_started == response_started
        assert not result.not_run
        assert not connection.is_open

    _run_exchange(check, *parts, end=end)


def _attribute(response):
    """Attribute a response by its header `id`, as if request 1 was sent."""
    name = response.header_by_name.get("id", "")
    if not name:
        return connections.Attribution.UNNAMED
    if name == "1":
        return connections.Attribution.OWN
    return connections.Attribution.OTHER


_OTHER = _HEAD + b"Id: 0\r\nContent-Length: 5\r\n\r\nother"
_OWN = _HEAD + b"Id: 1\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    ("response", "ends", "body"),
    [
        (_OWN, False, b"ok"),
        (_OTHER + _OWN, False, b"ok"),
        (_OTHER * 8 + b"HTTP/1.1 100 X\r\n\r\n" + _OWN, False, b"ok"),
        (_OTHER.replace(b"other", b"HTTP/") + _OWN, False, b"ok"),
        (_OTHER, True, None),
        (_OTHER[:-1], True, None),
        (_OTHER + _OWN[:-1], True, None),
        (_HEAD + b"Id: 0\r\n\r\nabc", True, None),
        (_OTHER.replace(b"Id", b"Connection: close\r\nId") + _OWN, True, None),
        (_OTHER * 9 + _OWN, False, None),
    ],
)
def test_responses_to_other_requests_are_skipped(response, ends, body):
    """The next caller got an answer that was not its own, or none."""
    generator = random.Random(3)

    async def main():
        for _ in range(20):
            pieces = [p for p in _split(generator, response) if p]
            result = await _receive(pieces, ends=ends, attribute=_attribute)
            assert (result and result[2]) == body

    asyncio.run(main())


def test_large_responses_to_other_requests_have_no_overhead():
    """What was received before must not count for the own response."""
    other = _HEAD + b"Id: 0\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99_999

    async def main():
        result = await _receive(
            [other + other + _OWN], ends=False, attribute=_attribute
        )
        assert result[2] == b"ok"

    asyncio.run(main())


def test_response_without_length_ends_with_its_connection():
    """It has no other end."""

    def check(result, connection):
        assert (result.status, result.body) == (200, b"abcdef")
        assert not connection.is_open

    _run_exchange(check, _HEAD + b"\r\nabc", b"def", end="close")


@pytest.mark.parametrize(
    "address", ["127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:" + "9" * 30, ""]
)
def test_address_that_cannot_be_connected_to_is_a_failed_connect(address):
    """Callers got a 500, and the exchange stayed open for ever."""

    async def main():
        with pytest.raises(connections.ExchangeError) as caught:
            await connections.open_connection(address)
        assert caught.value.step is errors.Step.CONNECTING
        assert caught.value.not_run

    asyncio.run(main())


def test_connection_that_is_reset_at_once_is_a_failed_connect():
    """Its socket has no options any more: a 500 for a request not sent."""

    def configure(sock):
        raise OSError(errno.EBADF, "Bad file descriptor")

    async def main():
        async with _Scripted() as address:
            with pytest.raises(connections.ExchangeError) as caught:
                await connections.open_connection(address, configure=configure)
            assert caught.value.step is errors.Step.CONNECTING
            assert caught.value.not_run

    asyncio.run(main())


@pytest.mark.parametrize("timeout", ["\xb2", "9" * 5_000, "-1", "", "1e9"])
def test_odd_keep_alive_header_does_not_lose_the_response(timeout):
    """The request has run, and its caller got a 500."""

    def check(result, connection):
        del connection
        assert result.body == b"ok"

    head = f"Keep-Alive: timeout={timeout}\r\n".encode("latin-1")
    _run_exchange(check, _HEAD + head + b"Content-Length: 2\r\n\r\nok")


def test_response_to_head_has_no_body():
    """The parser would wait for the body that the headers describe."""

    def check(result, connection):
        assert (result.status, result.body) == (200, b"")
        assert result.header_by_name["content-length"] == "2"
        assert not connection.is_open

    _run_exchange(check, _OK[:-2], method="HEAD")


@pytest.mark.parametrize(
    ("method", "path", "headers", "body"),
    [
        ("GET", "/a b", _HEADERS, b""),
        ("GET", "/a\r\nX: y", _HEADERS, b""),
        ("GET ", "/a", _HEADERS, b""),
        ("GET", "/a", [], b""),
        ("GET", "/a", [*_HEADERS, *_HEADERS], b""),
        ("GET", "/a", [*_HEADERS, ("X", "a\r\nY: b")], b""),
        ("GET", "/a", [*_HEADERS, ("X Y", "a")], b""),
        ("GET", "/a", [*_HEADERS, ("X", "\u20ac")], b""),
        ("PUT", "/a", [*_HEADERS, ("Content-Length", "3")], b"four"),
        ("PUT", "/a", _HEADERS, b"four"),
        ("PUT", "/a", [*_HEADERS, ("Transfer-Encoding", "chunked")], b""),
    ],
)
def test_request_that_would_be_read_as_another_one_is_not_sent(
    method, path, headers, body
):
    """A target would run a request that no caller has sent."""

    async def main():
        async with _Scripted(_OK) as address:
            connection = await connections.open_connection(address)
            with pytest.raises(connections.ExchangeError) as caught:
                await connection.exchange(method, path, headers, body)
            assert caught.value.step is errors.Step.WRITING
            assert caught.value.not_run

    asyncio.run(main())


class _Transport:
    """Records whether the connection was closed; discards what is written."""

    def __init__(self):
        self.is_aborted = False

    def write(self, data):
        del data

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


async def _receive(
    pieces, *, ends, attribute=lambda response: connections.Attribution.OWN
):
    """Return what an exchange returns or raises when it receives pieces."""
    connection = connections.TargetConnection()
    connection.connection_made(_Transport())
    task = asyncio.ensure_future(
        connection.exchange("GET", "/a", _HEADERS, b"", attribute)
    )
    await asyncio.sleep(0)
    for piece in pieces:
        connection.data_received(piece)
        await asyncio.sleep(0)
    if ends:
        connection.eof_received()
        connection.connection_lost(None)
    try:
        async with asyncio.timeout(0.05):
            response = await task
        return response.status, response.headers, response.body
    except connections.ExchangeError:
        return None
    except TimeoutError:
        return None


def _split(generator, data):
    """Return random pieces of some bytes, in order."""
    cuts = sorted(generator.choices(range(len(data) + 1), k=5))
    return [data[a:b] for a, b in itertools.pairwise([0, *cuts, len(data)])]


def test_pieces_in_which_a_response_arrives_do_not_matter():
    """A head or chunk header that is cut in two would be read differently."""
    generator = random.Random(1)
    responses = [
        b"HTTP/1.1 100 Continue\r\n\r\n" + _OK,
        _CHUNKED + b"a;x=y\r\n0123456789\r\n1\r\nz\r\n0\r\nX: y\r\n\r\n",
        _HEAD + b"X-A: b \r\nX-A:c\r\nContent-Length: 40\r\n\r\n" + b"ab" * 20,
    ]

    async def main():
        for response in responses:
            whole = await _receive([response], ends=False)
            assert whole is not None
            for _ in range(100):
                pieces = [p for p in _split(generator, response) if p]
                assert await _receive(pieces, ends=False) == whole

    asyncio.run(main())


def test_response_that_is_cut_anywhere_is_not_complete():
    """An answer that ends early must not look complete."""

    async def main():
        for response in (_OK, _CHUNKED + b"2\r\nok\r\n0\r\n\r\n"):
            for length in range(len(response)):
                cut = response[:length]
                assert await _receive([cut], ends=True) is None, cut

    asyncio.run(main())


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize(
    "before", [b"", b"HTTP/1.1 100 Continue\r\n\r\n", _OTHER, b"\r\n"]
)
@pytest.mark.parametrize(
    "head",
    [
        _OWN[:-2],
        _HEAD + b"Id: 1\r\nConnection: close\r\n\r\n",
        _HEAD + b"Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    ],
    ids=["length", "ends-with-connection", "chunked"],
)
def test_head_that_is_cut_on_a_used_connection_is_no_response(
    head, before, is_reset
):
    """Callers got a 200 with an empty or short body, framed as whole."""

    async def main():
        for length in range(len(head)):
            connection = connections.TargetConnection()
            connection.connection_made(_Transport())
            for data in (_OWN, before + head[:length]):
                exchange = asyncio.ensure_future(
                    connection.exchange("GET", "/a", _HEADERS, b"", _attribute)
                )
                await asyncio.sleep(0)
                connection.data_received(data)
                await asyncio.sleep(0)
                if data is _OWN:
                    assert (await exchange).body == b"ok"
            if is_reset:
                connection.connection_lost(ConnectionResetError())
            else:
                connection.eof_received()
                connection.connection_lost(None)
            with pytest.raises(connections.ExchangeError) as caught:
                await exchange
            assert not caught.value.not_run

    asyncio.run(main())


def test_mutated_responses_raise_no_other_error():
    """One malformed message must not take the process down."""
    generator = random.Random(2)
    responses = [_OK, _CHUNKED + b"2\r\nok\r\n0\r\n\r\n", _HEAD + b"\r\nabc"]

    async def main():
        for _ in range(1_500):
            data = bytearray(generator.choice(responses))
            for _ in range(generator.randrange(1, 4)):
                index = generator.randrange(len(data))
                if generator.random() < 0.5:
                    data[index] = generator.randrange(256)
                else:
                    del data[index]
            pieces = [p for p in _split(generator, bytes(data)) if p]
            await _receive(pieces, ends=True)

    asyncio.run(main())
