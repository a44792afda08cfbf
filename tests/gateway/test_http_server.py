"""Tests of the HTTP server of a gateway entry."""

import asyncio
import socket

import pytest

from slatechute import errors
from slatechute.gateway import http_server
from slatechute.util import memory
from tests import waiting
from tests.gateway import small_fleet

_MEMORY_BYTES = 300_000


class _Fixture:
    """A server whose handler can be held, and raw connections to it."""

    def __init__(self, **limits):
        self.requests = []
        self.refused = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        [port] = small_fleet.free_ports(1)
        self.address = ("127.0.0.1", port)
        self.server = http_server.HttpServer(
            f"127.0.0.1:{port}",
            self._handle,
            limits=lambda: http_server.Limits(**limits),
            max_connections=2,
            on_refused=self.refused.append,
            account=memory.MemoryAccount(lambda: _MEMORY_BYTES),
        )

    async def _handle(self, request):
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return http_server.Response(200, request.target.encode())

    async def connect(self):
        return await asyncio.open_connection(*self.address)


def _run(check, **limits):
    async def main():
        fixture = _Fixture(**limits)
        await fixture.server.start()
        try:
            async with asyncio.timeout(10):
                await check(fixture)
        finally:
            await fixture.server.stop()

    asyncio.run(main())


async def _read_response(reader):
    """Return the status and the body of one response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = 0
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(": ")
        if name.lower() == "content-length":
            length = int(value)
    return int(head.split()[1]), await reader.readexactly(length)


async def _exchange(fixture, data):
    """Send bytes on a new connection and return the first response."""
    reader, writer = await fixture.connect()
    writer.write(data)
    response = await _read_response(reader)
    writer.close()
    return response


def test_connection_is_reused():
    """A connection for each request would cost a handshake each."""

    async def check(fixture):
        reader, writer = await fixture.connect()
        for path in (b"/a", b"/b"):
            writer.write(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path)
            assert await _read_response(reader) == (200, path)

    _run(check)


def test_pipelined_requests_are_answered_in_order():
    """The caller matches responses to requests by their order only."""

    async def check(fixture):
        fixture.release.clear()
        reader, writer = await fixture.connect()
        for path in (b"/a", b"/b", b"/c"):
            writer.write(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path)
        await waiting.until(lambda: fixture.requests)
        fixture.release.set()
        bodies = [(await _read_response(reader))[1] for _ in range(3)]
        assert bodies == [b"/a", b"/b", b"/c"]

    _run(check)


def test_chunked_body_arrives_complete():
    """Callers send bodies with a length or in chunks."""

    async def check(fixture):
        await _exchange(
            fixture,
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n",
        )
        [request] = fixture.requests
        assert request.body == b"abcde"
        assert "trailer" not in request.header_by_name

    _run(check)


@pytest.mark.parametrize(
    "data",
    [
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x, y\r\n\r\n0\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\na",
        b"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: h\r\n folded: 1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_ambiguous_request_is_refused(data):
    """A target might see a second request inside such a request."""

    async def check(fixture):
        status, _ = await _exchange(fixture, data)
        assert status == 400
        assert not fixture.requests
        assert fixture.refused == [errors.Reason.BAD_REQUEST]

    _run(check)


@pytest.mark.parametrize(
    "data",
    [
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"6\r\nabcdef\r\n6\r\nabcdef\r\n",
    ],
)
def test_body_over_the_limit_is_refused_before_its_end(data):
    """The caller would otherwise send all of a body that nobody takes."""

    async def check(fixture):
        status, _ = await _exchange(fixture, data)
        assert status == 413
        assert not fixture.requests
        assert fixture.server.active_requests == 0

    _run(check, max_body_bytes=10)


def test_headers_over_the_limit_are_refused():
    """Unbounded headers would exhaust the memory of the host."""

    async def check(fixture):
        status, _ = await _exchange(
            fixture, b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 300
        )
        assert status == 431

    _run(check, max_header_bytes=200)


def test_disconnect_cancels_the_request():
    """The target would work on for a caller that has left."""

    async def check(fixture):
        fixture.release.clear()
        _, writer = await fixture.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await waiting.until(lambda: fixture.requests)
        assert fixture.server.active_requests == 1
        writer.transport.abort()
        await waiting.until(lambda: fixture.cancelled == 1, 0.4)
        assert fixture.server.active_requests == 0

    _run(check)


def test_disconnect_within_a_body_ends_the_request():
    """A draining entry would wait for the rest of the body."""

    async def check(fixture):
        _, writer = await fixture.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na"
        )
        await waiting.until(lambda: fixture.server.active_requests == 1)
        writer.transport.abort()
        await waiting.until(lambda: fixture.server.active_requests == 0)
        assert not fixture.requests

    _run(check)


def test_stalled_body_is_refused():
    """Callers that stop in the middle of a body would hold connections."""

    async def check(fixture):
        status, _ = await _exchange(
            fixture, b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na"
        )
        assert status == 408

    _run(check, body_timeout_s=0.2)


@pytest.mark.parametrize(
    ("data", "limits"),
    [
        (b"GET / HTTP/1.1\r\nHo", {"header_timeout_s": 0.2}),
        (b"", {"idle_timeout_s": 0.2}),
    ],
)
def test_silent_connection_is_closed(data, limits):
    """Abandoned connections would use up the descriptors."""

    async def check(fixture):
        reader, writer = await fixture.connect()
        writer.write(data)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await reader.readexactly(1)

    _run(check, **limits)


def test_pause_of_the_process_closes_no_connection():
    """Requests that arrived during the pause are not read yet after it."""

    async def check(fixture):
        reader, writer = await fixture.connect()
        await waiting.until(lambda: fixture.server.connections)
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        fixture.server._sweep_due_s -= 60
        for connection in fixture.server.connections:
            connection._idle_since_s -= 60
        fixture.server._sweep()
        assert await _read_response(reader) == (200, b"/a")

    _run(check)


def test_running_request_is_answered_before_a_bad_one():
    """The response of a request that has run must not be dropped."""

    async def check(fixture):
        fixture.release.clear()
        reader, writer = await fixture.connect()
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await waiting.until(lambda: fixture.requests)
        writer.write(b"nonsense\r\n\r\n")
        await waiting.until(lambda: fixture.refused)
        fixture.release.set()
        assert await _read_response(reader) == (200, b"/a")
        assert await reader.read() == b""

    _run(check)


@pytest.mark.parametrize("closing", ["/a", "/b"])
def test_complete_requests_are_answered_before_a_close(closing):
    """Pipelined requests behind a response with `close` got no answer."""
    released = asyncio.Event()

    async def handle(request):
        await released.wait()
        path = request.target
        return http_server.Response(200, path.encode(), close=path == closing)

    async def check(fixture):
        fixture.server.handler = handle
        reader, writer = await fixture.connect()
        for path in (b"/a", b"/b", b"/c"):
            writer.write(b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % path)
        writer.write(b"PUT /d HTTP/1.1\r\nContent-Length: 5\r\n\r\nx")
        await waiting.until(lambda: fixture.server.active_requests == 4)
        released.set()
        for path in (b"/a", b"/b", b"/c"):
            assert await _read_response(reader) == (200, path)
        assert await reader.read() == b""
        assert fixture.server.active_requests == 0

    _run(check)


def test_connection_accepted_in_the_last_step_gets_a_response():
    """It stayed open, without a response, until the process had ended."""

    async def check(fixture):
        with socket.create_connection(fixture.address) as sock:
            sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            # The server accepts the connection, and does not register it yet.
            for _ in range(2):
                await asyncio.sleep(0)
            assert not fixture.server.connections
            await fixture.server.finish(0.2)
            await fixture.server.stop()
            sock.setblocking(False)
            assert sock.recv(100).startswith(b"HTTP/1.1 200 ")

    _run(check)


def test_connections_above_the_limit_are_marked():
    """Their requests are refused instead of left without a response."""

    async def check(fixture):
        writers = []
        for _ in range(3):
            reader, writer = await fixture.connect()
            writers.append(writer)
            writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await _read_response(reader)
        marks = [r.connection.is_over_limit for r in fixture.requests]
        assert marks == [False, False, True]

    _run(check)


def test_response_to_head_has_no_body():
    """The body would be read as the response to the next request."""

    async def check(fixture):
        reader, writer = await fixture.connect()
        writer.write(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
        assert await _read_response(reader) == (200, b"/b")

    _run(check)


class _SlowTransport(asyncio.Transport):
    """Transport whose caller has not read all of the response yet."""

    def __init__(self):
        super().__init__()
        self.unsent = 100
        self.is_aborted = False
        self.protocol = None
        self._high = 65_536

    def set_write_buffer_limits(self, high=None, low=None):
        self._high = high

    def write(self, data):
        del data
        if self.protocol is not None and self.unsent > self._high:
            self.protocol.pause_writing()

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def resume_reading(self):
        pass

    def get_write_buffer_size(self):
        return self.unsent

    def abort(self):
        self.is_aborted = True


def test_last_response_is_sent_before_the_connection_is_closed(monkeypatch):
    """A draining entry would cut responses to callers with slow links."""
    monkeypatch.setattr(http_server, "_LINGERING_S", 0.05)

    async def check(fixture):
        transport = _SlowTransport()
        connection = http_server.Connection(fixture.server)
        connection.connection_made(transport)
        connection.data_received(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.2)
        assert not transport.is_aborted
        transport.unsent = 0
        await waiting.until(lambda: transport.is_aborted)

    _run(check)


def test_request_is_active_until_its_response_is_sent():
    """A stop or the idle timeout cut what the entry had not sent yet."""

    async def check(fixture):
        transport = _SlowTransport()
        connection = http_server.Connection(fixture.server)
        transport.protocol = connection
        connection.connection_made(transport)
        fixture.release.set()
        connection.data_received(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.05)
        connection.check_timeouts(
            http_server.Limits(), asyncio.get_running_loop().time() + 1_000
        )
        assert fixture.server.active_requests == 1
        assert not transport.is_aborted
        connection.resume_writing()
        await waiting.until(lambda: not fixture.server.active_requests)

    _run(check)


def _head(length):
    return b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length


def test_largest_unfinished_body_gives_way_to_the_others():
    """Bodies within their limits took all memory when they came together."""

    async def check(fixture):
        large_reader, large = await fixture.connect()
        large.write(_head(250_000) + b"x" * 249_999)
        account = fixture.server.account
        await waiting.until(lambda: account.total > 240_000)
        reader, writer = await fixture.connect()
        writer.write(_head(100_000) + b"x" * 100_000)
        head = await large_reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head
        assert b"Retry-After: " in head
        assert await _read_response(reader) == (200, b"/a")
        assert fixture.server.active_requests == 0

    _run(check, max_body_bytes=250_000)


@pytest.mark.parametrize(
    "data",
    [
        _head(5) + b"hello",
        _head(100_000) + b"x" * 100_000,
        _head(5) + b"hell",
        _head(900_000),
        b"POST /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 1_000,
        b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 30,
        b"\x00",
    ],
    ids=["small", "large", "cut", "too-large", "in-head", "pipelined", "bad"],
)
def test_nothing_is_held_for_a_caller_that_has_left(data):
    """What is counted and not given back is refused to others for ever."""

    async def check(fixture):
        fixture.release.clear()
        reader, writer = await fixture.connect()
        writer.write(data)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        # The end of a connection with many requests is seen after some of them.
        fixture.release.set()
        await waiting.until(lambda: not fixture.server.connections)
        await asyncio.sleep(0)
        assert fixture.server.account.total == 0
        reader, writer = await fixture.connect()
        writer.write(_head(5) + b"hello")
        await _read_response(reader)
        await waiting.until(lambda: not fixture.server.active_requests)
        assert fixture.server.account.total == 0

    _run(check, max_body_bytes=250_000)


@pytest.mark.parametrize(("count", "status"), [(1_000, 200), (40_000, 431)])
def test_trailers_are_limited_like_headers(count, status):
    """A trailer without end was kept by the parser."""

    async def check(fixture):
        response = await _exchange(
            fixture,
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nT: " + b"t" * count + b"\r\n\r\n",
        )
        assert response[0] == status

    _run(check, max_header_bytes=16_384)


def test_connection_without_a_request_gives_way_to_a_new_one():
    """Connections that stop within their headers kept all callers out."""

    async def check(fixture):
        idle = [await fixture.connect() for _ in range(2)]
        idle[0][1].write(b"GET /a HTTP/1.1\r\n")
        await waiting.until(lambda: len(fixture.server.connections) == 2)
        request = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        assert await _exchange(fixture, request) == (200, b"/b")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await idle[0][0].readexactly(1)

    _run(check)


def test_idle_connection_holds_nothing():
    """The account must be empty when no request is in flight."""

    async def check(fixture):
        reader, writer = await fixture.connect()
        for lengths in ([20_000], [5], [100_000, 5], [9_000, 9_000]):
            for length in lengths:
                writer.write(_head(length) + b"x" * length)
            for _ in lengths:
                assert (await _read_response(reader))[0] == 200
            await waiting.until(lambda: not fixture.server.active_requests)
            assert fixture.server.account.total == 0

    _run(check, max_body_bytes=250_000)
