"""Tests of the fake caller against a fake entry."""

import asyncio
import collections

from aiohttp import web
import pytest
import xxhash

from slatechute.fakes import caller
from slatechute.fakes import target


class _FakeEntry:
    """Responds according to `mode` and counts the request ids received."""

    def __init__(self):
        self.mode = "served"
        self.delay_s = 0.0
        self.keep_ms = 10_000
        self.ids = collections.Counter()
        self.addresses = []
        self.address = ""

    async def handle(self, request):
        if request.path == "/entries":
            assert request.query["service"] == "kit"
            entries = [
                {"address": address, "id_prefix": "e1-aa.7"}
                for address in self.addresses
            ]
            return web.json_response(
                {"service": "kit", "keep_ms": self.keep_ms, "entries": entries}
            )
        await request.read()
        request_id = request.headers["Slatechute-Request-Id"]
        self.ids[request_id] += 1
        await asyncio.sleep(self.delay_s)
        if self.mode == "lost":
            request.transport.abort()
        if self.mode == "refused":
            headers = {
                "Slatechute-Outcome": "not-run",
                "Slatechute-Reason": "queue_full",
            }
            return web.Response(status=503, headers=headers)
        wrong_id = self.mode == "other_answer"
        matching_body = self.mode != "other_body"
        body = b"".join(
            target.response_chunks(
                request_id if matching_body and not wrong_id else "z", 99
            )
        )
        headers = {
            "Slatechute-Request-Id": "z" if wrong_id else request_id,
            target.RESPONSE_DIGEST_HEADER: xxhash.xxh3_128_hexdigest(body),
            target.REQUEST_DIGEST_HEADER: xxhash.xxh3_128_hexdigest(b""),
        }
        if self.mode == "damaged":
            body = body[:-1] + b"!"
        status = 500 if self.mode == "failed" else 200
        return web.Response(body=body, headers=headers, status=status)


def _with_entry(scenario, **settings):
    async def run():
        entry = _FakeEntry()
        runner = web.ServerRunner(
            web.Server(entry.handle, access_log=None), shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        entry.address = f"127.0.0.1:{runner.addresses[0][1]}"
        entry.addresses = [entry.address]
        try:
            async with caller.FakeCaller(
                caller.CallerSettings([entry.address], "kit", **settings)
            ) as fake:
                await scenario(fake, entry)
        finally:
            await runner.cleanup()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("mode", "outcome", "detail"),
    [
        ("served", "served", ""),
        ("refused", "not-run", "queue_full"),
        ("failed", "failed", "500"),
        ("lost", "lost", "connection_lost"),
        ("other_answer", "wrong", "request_id"),
        ("other_body", "wrong", "answer_body"),
        ("damaged", "wrong", "answer_digest"),
    ],
)
def test_each_result_of_a_request_is_distinguished(mode, outcome, detail):
    """Guards against counting wrong, lost or refused requests as served."""

    async def scenario(fake, entry):
        await fake.send()
        entry.mode = mode
        result = await fake.send()
        assert (result.outcome, result.detail) == (outcome, detail)
        # The second request reuses the connection; aiohttp must not retry it.
        assert set(entry.ids.values()) == {1}

    _with_entry(scenario)


def test_addresses_are_cached_for_their_ttl():
    """Guards against fetching addresses for each request, or only once."""

    async def scenario(fake, entry):
        entry.keep_ms = 100
        first = await fake.send()
        await fake.send()
        assert fake.address_requests == 1
        assert first.request_id.startswith("e1-aa.7.")
        await asyncio.sleep(0.12)
        await fake.send()
        assert fake.address_requests == 2

    _with_entry(scenario)


def test_lost_requests_are_resent_with_the_same_id():
    """Guards against resends with a new id, which could be executed twice."""

    async def scenario(fake, entry):
        entry.mode = "lost"
        result = await fake.send()
        assert entry.ids == {result.request_id: 3}
        assert result.resent == 2

    _with_entry(scenario, resends=2)


def test_unreachable_entries_are_skipped():
    """Guards against callers that keep using an unreachable address."""

    async def scenario(fake, entry):
        holder = target.reserve_port()
        dead = f"127.0.0.1:{holder.getsockname()[1]}"
        entry.addresses = [dead] * 20 + [entry.address]
        result = await fake.send()
        assert result.outcome == "served"
        assert result.resent == 1
        assert fake.address_requests == 1
        holder.close()

    # With this seed the first address chosen is an unreachable one.
    _with_entry(scenario, resends=1, seed=1)


def test_unreachable_fleet_is_an_error():
    """Guards against an exception that ends the run when no entry responds."""

    async def run():
        with target.reserve_port() as holder:
            dead = f"127.0.0.1:{holder.getsockname()[1]}"
            settings = caller.CallerSettings([dead], "kit")
            async with caller.FakeCaller(settings) as fake:
                result = await fake.run(rate=1000, count=3)
        assert result.errors == {("lost", "no_entries"): 3}

    asyncio.run(run())


def test_load_is_open_loop_and_counted():
    """Guards against load that slows down with the responses."""

    async def scenario(fake, entry):
        entry.delay_s = 0.2
        result = await fake.run(rate=500, count=50)
        # Sequential requests would take 10 s.
        assert result.duration_s < 2
        assert result.served == 50
        assert len(set(result.ids_by_outcome["served"])) == 50
        assert result.latencies_us.get_total_count() == 50
        assert result.latencies_us.get_min_value() >= 199_000
        entry.delay_s, entry.mode = 0.0, "refused"
        result = await fake.run(rate=500, count=5)
        assert result.refused == {("queue_full", "not-run"): 5}
        assert len(result.ids_by_outcome["not-run"]) == 5
        assert result.refusal_latencies_us.get_total_count() == 5

    _with_entry(scenario)


def test_unresponsive_entry_ends_in_a_timeout(monkeypatch):
    """Guards against runs that wait forever for an unresponsive entry."""
    monkeypatch.setattr(caller, "_GRACE_S", 0.1)

    async def scenario(fake, entry):
        entry.delay_s = 5
        result = await fake.send()
        assert (result.outcome, result.detail) == ("lost", "timeout")

    _with_entry(scenario, deadline_ms=50)
