"""Tests of the first seconds of an entry, when all entries were down."""

import aiohttp
import cbor2

from slatechute.gateway import serving
from tests import waiting
from tests.gateway import builders
from tests.gateway import small_fleet


def test_restarted_entry_reads_the_platform_without_waiting_for_seeds():
    """The hosts of the seeds may start 0.3 s later, while callers wait."""
    settings = builders.gateway_settings()
    assert serving.first_read_delay_ms(settings, 0, 1.0) < 150
    settings = builders.gateway_settings(is_first_start=True)
    assert serving.first_read_delay_ms(settings, 0, 0.0) >= 500


def test_weak_hosts_leave_the_first_read_to_strong_ones():
    """44 of 146 entries read the platform at the start of the fleet."""
    strong = builders.gateway_settings(processor_share=2.15, link_mbps=100.0)
    weak = builders.gateway_settings(processor_share=0.43, link_mbps=10.0)
    latest_ms = serving.first_read_delay_ms(strong, 48, 1.0)
    assert latest_ms < 200
    assert serving.first_read_delay_ms(weak, 48, 0.0) > latest_ms


def test_starting_entry_watches_only_if_it_remains_a_reader():
    """A watch of each of 179 entries that start together is paid for."""

    async def check(fleet):
        fleet.publish_routes(1, builders.route())
        app = await fleet.add()
        await waiting.until(lambda: app.catalogue.table)
        assert fleet.source.calls == 1
        fleet.publish_routes(2, builders.route())
        await waiting.until(lambda: app.catalogue.table.version == 2)

    small_fleet.run(check)


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
