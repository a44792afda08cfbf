"""Tests of what callers get from an entry that stops as planned."""

import asyncio
import contextlib
import socket
import time

import pytest

from slatechute.gateway import application
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet

# From the stop signal until no request is accepted and until the process would
# be killed, in the entries of `small_fleet`.
_ACCEPT_S = 0.8
_KILL_S = 1.5


def _run(check, *, script=scripted_target.response, slots=2, targets=1):
    """Run a check with an entry, and its targets for unsafe requests."""

    async def prepare(fleet):
        async with contextlib.AsyncExitStack() as stack:
            scripted = [
                await stack.enter_async_context(
                    scripted_target.ScriptedTarget(script)
                )
                for _ in range(targets)
            ]
            fleet.publish_routes(
                1,
                builders.route(
                    repeatable=False,
                    timeout_ms=10_000.0,
                    objective_ms=10_000.0,
                ),
            )
            for number, target in enumerate(scripted):
                fleet.publish_target(
                    target_id=f"t{number}", address=target.address, slots=slots
                )
            app = await fleet.add()
            await waiting.until(lambda: len(app.balancer.load_by_id) == targets)
            async with asyncio.timeout(10):
                await check(app, scripted)

    small_fleet.run(prepare)


class _Caller:
    """A raw connection of a caller to an entry."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, app, receive_bytes=None):
        host, port = app.settings.callers_address.split(":")
        sock = socket.socket()
        if receive_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return cls(*await asyncio.open_connection(sock=sock, limit=1024))

    def send(self, *lines, body=b"", deadline_ms=9_000.0):
        head = [
            "POST /a/x HTTP/1.1",
            "Host: h",
            "Id: r1",
            f"Deadline: {deadline_ms}",
            *(lines or ["Content-Length: 0"]),
        ]
        self._writer.write("\r\n".join([*head, "", ""]).encode() + body)

    async def response(self):
        """Return the status, the headers and the body of a response."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        header_by_name = dict(
            line.lower().split(": ", 1) for line in lines[1:] if line
        )
        length = int(header_by_name["content-length"])
        body = await self._reader.readexactly(length)
        self._writer.close()
        return int(lines[0].split()[1]), header_by_name, body


async def _stop(app, elapsed_s=0.0):
    """Stop an entry as `process.run` does; return the time that it took."""
    started_s = time.monotonic()
    await app.drain(elapsed_s)
    await app.stop()
    return time.monotonic() - started_s


def test_request_between_drain_and_stop_is_not_passed_on(monkeypatch):
    """It ran at a target, and its connection was cut without an answer."""
    monkeypatch.setattr(application, "_DRAIN_IDLE_MS", 100.0)

    async def check(app, targets):
        caller = await _Caller.connect(app)
        await app.drain()
        caller.send(deadline_ms=300.0)
        # The steps of the event loop until `process.run` calls `stop`.
        await asyncio.sleep(0.02)
        stopping = asyncio.create_task(app.stop())
        status, headers, _ = await caller.response()
        assert status == 503
        assert float(headers["retry-after"]) < 0.1
        await stopping
        assert not targets[0].requests

    _run(check)


@pytest.mark.parametrize(
    ("delay_s", "deadline_s", "expected"),
    [
        (9.0, _ACCEPT_S + 0.1, 504),
        (_ACCEPT_S + 0.1, 9.0, 200),
        (9.0, 9.0, 504),
    ],
)
def test_request_at_a_target_is_answered_at_the_drain_limit(
    delay_s, deadline_s, expected
):
    """Its connection was cut, at targets that would answer soon as well."""

    async def check(app, targets):
        targets[0].delay_s = delay_s
        caller = await _Caller.connect(app)
        caller.send(deadline_ms=deadline_s * 1000)
        await targets[0].arrived.wait()
        stopping = asyncio.create_task(_stop(app))
        status, _, _ = await caller.response()
        assert status == expected
        assert await stopping < _KILL_S

    _run(check)


def test_waiting_request_is_refused_at_the_drain_limit():
    """Its connection was cut, so that its caller could not repeat it."""

    async def check(app, targets):
        targets[0].delay_s = 9.0
        callers = [await _Caller.connect(app) for _ in range(2)]
        callers[0].send()
        await targets[0].arrived.wait()
        callers[1].send()
        await waiting.until(lambda: app._caller_server.in_flight == 2)
        stopping = asyncio.create_task(_stop(app))
        status, headers, _ = await callers[1].response()
        assert status == 503
        assert float(headers["retry-after"]) < 0.1
        # The other one goes on at its target.
        assert app._caller_server.in_flight == 1
        assert (await callers[0].response())[0] == 504
        await stopping
        assert len(targets[0].requests) == 1

    _run(check, slots=1)


@pytest.mark.parametrize(
    ("header", "body"),
    [
        ("Content-Length: 5", b"ab"),
        ("Transfer-Encoding: chunked", b"2\r\nab\r\n"),
    ],
)
@pytest.mark.parametrize("is_late", [True, False])
def test_unfinished_upload_is_refused_at_the_drain_limit(header, body, is_late):
    """Its connection was cut, so that its caller could not repeat it."""

    async def check(app, targets):
        caller = await _Caller.connect(app)
        stopping = asyncio.create_task(_stop(app)) if is_late else None
        caller.send(header, body=body)
        await waiting.until(lambda: app._caller_server.in_flight)
        if stopping is None:
            stopping = asyncio.create_task(_stop(app))
        status, headers, _ = await caller.response()
        assert status == 503
        assert float(headers["retry-after"]) < 0.1
        await stopping
        assert not targets[0].requests

    _run(check)


@pytest.mark.parametrize("deadline_ms", [300.0, 9_000.0])
def test_upload_that_ends_in_the_grace_is_answered(deadline_ms):
    """It is served if its deadline allows, and refused as not run if not."""

    async def check(app, targets):
        caller = await _Caller.connect(app)
        caller.send("Content-Length: 5", deadline_ms=deadline_ms)
        await waiting.until(lambda: app._caller_server.in_flight)
        stopping = asyncio.create_task(_stop(app))
        await asyncio.sleep(0.1)
        caller._writer.write(b"abcde")
        status, _, _ = await caller.response()
        is_served = deadline_ms < _ACCEPT_S * 1000
        assert status == (200 if is_served else 503)
        assert len(targets[0].requests) == is_served
        await stopping

    _run(check)


def test_refused_request_is_not_passed_on_again_after_the_drain_limit():
    """The second target was cut at its work soon after."""

    def refuse(request):
        return scripted_target.response(request, 503, b"", not_run="1")

    async def check(app, targets):
        for target in targets:
            target.delay_s = _ACCEPT_S + 0.1
        caller = await _Caller.connect(app)
        caller.send()
        await waiting.until(lambda: targets[0].requests or targets[1].requests)
        stopping = asyncio.create_task(_stop(app))
        status, headers, _ = await caller.response()
        assert status == 503
        assert "retry-after" in headers
        await stopping
        assert len(targets[0].requests) + len(targets[1].requests) == 1

    _run(check, script=refuse, targets=2)


def test_second_signal_answers_the_requests():
    """They were cut without an answer, those that only waited as well."""

    async def check(app, targets):
        targets[0].delay_s = 9.0
        callers = [await _Caller.connect(app) for _ in range(2)]
        callers[0].send()
        await targets[0].arrived.wait()
        callers[1].send()
        await waiting.until(lambda: app._caller_server.in_flight == 2)
        draining = asyncio.create_task(app.drain())
        await asyncio.sleep(0.05)
        draining.cancel()
        stopping = asyncio.create_task(app.stop())
        assert (await callers[0].response())[0] == 504
        assert (await callers[1].response())[0] == 503
        await stopping
        assert len(targets[0].requests) == 1

    _run(check, slots=1)


def test_last_connections_are_answered_and_later_ones_not_accepted():
    """A request that was on its way at the end was cut without an answer."""

    async def check(app, targets):
        caller = await _Caller.connect(app)
        await waiting.until(lambda: app._caller_server._server.connections)
        stopping = asyncio.create_task(app.stop())
        await asyncio.sleep(0.02)
        caller.send()
        assert (await caller.response())[0] == 503
        with pytest.raises(ConnectionRefusedError):
            await _Caller.connect(app)
        await stopping
        assert not targets[0].requests

    _run(check)


def test_time_before_the_drain_shortens_it():
    """The process would be killed before it has answered the requests."""

    async def check(app, targets):
        targets[0].delay_s = 9.0
        caller = await _Caller.connect(app)
        caller.send()
        await targets[0].arrived.wait()
        stopping = asyncio.create_task(_stop(app, elapsed_s=0.5))
        assert (await caller.response())[0] == 504
        assert await stopping < _KILL_S - 0.5

    _run(check)


def test_request_that_crosses_a_close_does_not_reset_the_response():
    """The rest of a response that the caller had not read yet was lost."""
    answer = b"x" * 60_000

    def script(request):
        return scripted_target.response(request, 200, answer)

    async def check(app, targets):
        caller = await _Caller.connect(app, receive_bytes=4_096)
        draining = asyncio.create_task(app.drain())
        caller.send(deadline_ms=300.0)
        await draining
        assert not app._caller_server.in_flight
        caller.send(deadline_ms=300.0)
        stopping = asyncio.create_task(app.stop())
        await asyncio.sleep(0.05)
        status, _, body = await caller.response()
        assert (status, body) == (200, answer)
        await stopping
        assert len(targets[0].requests) == 1

    _run(check, script=script)
