"""Tests of the first seconds of an entry, when all entries were down."""

import aiohttp
import cbor2

from slatechute.gateway import serving
from tests import waiting
from tests.gateway import builders
from tests.gateway import small_fleet


def test_restarted_entry_reads_the_platform_without_waiting_for_seeds():
    """The hosts of the seeds may start 0.3 s later, while callers wait."""
    longest_ms = serving.first_read_delay_ms(0, 1.0, is_first_start=False)
    assert longest_ms < 150
    assert serving.first_read_delay_ms(0, 0.0, is_first_start=True) >= 500


def test_starting_entry_asks_callers_to_return_once_it_is_ready():
    """They waited a third of their time, which is late for most requests."""

    async def check(fleet):
        app = await fleet.add(is_first_start=True)
        url = f"http://{app.settings.callers_address}/a/x"
        headers = {"Host": "h"}
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, headers=headers) as response,
        ):
            assert response.status == 503
            assert 0.05 < float(response.headers["Retry-After"]) < 0.36

    small_fleet.run(check)


def test_view_of_a_peer_is_compressed_only_for_those_that_ask():
    """An entry of an earlier build cannot decompress it."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        for number in range(100):
            fleet.publish_target(target_id=f"t{number}", address="127.0.0.1:1")
        app = await fleet.add()
        await waiting.until(lambda: len(app.balancer.load_by_id) == 100)
        url = f"http://{app.settings.control_address}/published"
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            async with session.get(url) as response:
                plain = await response.read()
            async with session.get(f"{url}?encoding=deflate") as response:
                assert response.headers["Content-Encoding"] == "deflate"
                compressed = await response.read()
        assert len(cbor2.loads(plain)["items"]) == 101
        assert len(compressed) < len(plain) / 4
        other = await fleet.add()
        await waiting.until(lambda: len(other.balancer.load_by_id) == 100)
        assert not other.is_reading

    small_fleet.run(check)
