"""Tests of the fault-injecting TCP proxy."""

import asyncio
import contextlib
import time

import pytest

from slatechute.fakes import tcp_proxy


def _with_proxy(scenario):
    async def run():
        received = []

        async def echo(reader, writer):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(65536):
                    received.append(data)
                    writer.write(data)
                    await writer.drain()
            writer.close()

        upstream = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = upstream.sockets[0].getsockname()[1]
        proxy = tcp_proxy.FaultProxy(f"127.0.0.1:{port}")
        await proxy.start()
        writers = []

        async def connect(through=proxy):
            host, port = through.address.split(":")
            connection = await asyncio.open_connection(host, int(port))
            writers.append(connection[1])
            return connection

        try:
            await scenario(proxy, connect, received)
        finally:
            for writer in writers:
                writer.close()
            await proxy.stop()
            upstream.close()
            await asyncio.sleep(0.01)
        assert proxy.connections == 0

    asyncio.run(run())


async def _echo(connection, data):
    reader, writer = connection
    writer.write(data)
    return await asyncio.wait_for(reader.readexactly(len(data)), 2)


async def _is_silent(connection):
    connection[1].write(b"?")
    try:
        await asyncio.wait_for(connection[0].read(1), 0.1)
    except TimeoutError:
        return True
    return False


def test_bytes_pass_unchanged_and_are_counted():
    """Guards against a proxy that alters streams without an injected fault."""

    async def scenario(proxy, connect, _received):
        data = bytes(range(256)) * 4000
        client = await connect()
        assert await _echo(client, data) == data
        assert proxy.to_upstream.bytes_forwarded == len(data)
        assert proxy.to_client.bytes_forwarded == len(data)
        client[1].write_eof()
        assert await asyncio.wait_for(client[0].read(), 2) == b""

    _with_proxy(scenario)


def test_latency_delays_each_way_without_limiting_throughput():
    """Guards against latency that is applied to one chunk at a time."""

    async def scenario(proxy, connect, _received):
        client = await connect()
        proxy.to_upstream.latency_ms = proxy.to_client.latency_ms = 50
        start = time.monotonic()
        await _echo(client, b"x" * 1_000_000)
        # With the latency applied to one chunk at a time, at least 16 chunks
        # would take over 1.6 s.
        assert 0.1 <= time.monotonic() - start < 0.8

    _with_proxy(scenario)


def test_refused_connections_can_be_accepted_again():
    """Guards against refusal that hangs or that closes open connections."""

    async def scenario(proxy, connect, _received):
        client = await connect()
        await _echo(client, b"a")
        await proxy.set_refusing(True)
        with pytest.raises(ConnectionRefusedError):
            await connect()
        assert await _echo(client, b"b") == b"b"
        await proxy.set_refusing(False)
        assert await _echo(await connect(), b"c") == b"c"

    _with_proxy(scenario)


def test_reset_reaches_the_client_as_a_reset():
    """Guards against a reset that looks like an orderly close."""

    async def scenario(proxy, connect, _received):
        client = await connect()
        await _echo(client, b"a")
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(client[0].read(1), 2)
        assert await _echo(await connect(), b"b") == b"b"

    _with_proxy(scenario)


def test_dead_upstream_resets_the_client():
    """Guards against clients that hang when nothing listens upstream."""

    async def scenario(proxy, connect, _received):
        await proxy.set_refusing(True)
        other = tcp_proxy.FaultProxy(proxy.address)
        await other.start()
        try:
            reader, _ = await connect(other)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(reader.read(1), 2)
        finally:
            await other.stop()

    _with_proxy(scenario)


def test_open_connections_become_silent_while_new_ones_work():
    """Guards against silence that closes connections or affects new ones.

    A silent connection also must not resume, as its stream has a gap.
    """

    async def scenario(proxy, connect, received):
        old = await connect()
        await _echo(old, b"a")
        proxy.silence_connections()
        assert await _is_silent(old)
        new = await connect()
        assert await _echo(new, b"b") == b"b"
        old[1].close()
        await asyncio.sleep(0.05)
        assert proxy.connections == 2
        assert received == [b"a", b"b"]

    _with_proxy(scenario)


def test_one_direction_can_be_silent():
    """Guards against one-way faults that affect both directions.

    A connection that lost bytes must stay silent after the fault ends.
    """

    async def scenario(proxy, connect, received):
        client = await connect()
        await _echo(client, b"a")
        proxy.to_client.silent = True
        assert await _is_silent(client)
        assert received == [b"a", b"?"]
        proxy.to_client.silent = False
        assert await _is_silent(client)
        assert await _echo(await connect(), b"b") == b"b"

    _with_proxy(scenario)


def test_new_connections_are_silent_in_a_partition():
    """Guards against a partition that new connections can cross."""

    async def scenario(proxy, connect, received):
        proxy.to_upstream.silent = proxy.to_client.silent = True
        assert await _is_silent(await connect())
        assert received == []
        assert proxy.to_upstream.bytes_discarded == 1

    _with_proxy(scenario)


def test_connections_are_closed_after_a_number_of_bytes():
    """Guards against a close at another byte than the configured one."""

    async def scenario(proxy, connect, _received):
        proxy.to_client.close_after_bytes = 1500
        reader, writer = await connect()
        writer.write(b"x" * 4000)
        assert len(await asyncio.wait_for(reader.read(), 2)) == 1500

    _with_proxy(scenario)


def test_held_bytes_pass_after_release():
    """Guards against held bytes that are lost or forwarded too early.

    Tests use it to stop a request after a given number of bytes.
    """

    async def scenario(proxy, connect, received):
        client = await connect()
        assert await _echo(client, b"warm") == b"warm"
        proxy.hold(to_upstream=3)
        client[1].write(b"abcdef")
        await asyncio.sleep(0.05)
        assert b"".join(received) == b"warmabc"
        assert proxy.held_connections == 1
        proxy.release()
        assert await asyncio.wait_for(client[0].readexactly(6), 2) == b"abcdef"
        assert proxy.held_connections == 0

    _with_proxy(scenario)


def test_new_connections_can_be_dropped():
    """Guards against dropped connects that are refused and do not time out."""

    async def scenario(proxy, connect, received):
        await proxy.set_dropping_connects(True)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await connect()
        await proxy.set_dropping_connects(False)
        assert await _echo(await connect(), b"again") == b"again"

    _with_proxy(scenario)
