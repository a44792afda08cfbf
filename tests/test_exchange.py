"""Tests of exchanges with targets."""

import asyncio

from aiohttp import web
import pytest

from slatechute import exchange
from slatechute import requests
from slatechute.configuration import models
from slatechute.fakes import target as targets


def _exchange(
    status: int, *, is_first: bool
) -> tuple[exchange.TargetResponse, dict]:
    """Return the response, and the headers that the target received."""
    received_headers: dict[str, str] = {}

    async def handle(http: web.BaseRequest) -> web.Response:
        received_headers.update(http.headers)
        headers = {
            exchange.OUTCOME_HEADER: "not-run",
            "Slatechute-Reason": "overload",
            "Slatechute-Step": "accepted",
            "Slatechute-Peer": "e2",
            "X-Other": "kept",
        }
        return web.Response(status=status, headers=headers)

    async def main() -> exchange.TargetResponse:
        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        client = exchange.TargetClient(lambda service: 4)
        rule = models.RequestRule(True, False, 1000)
        request = requests.Request(
            "e.1.1", "plans", "GET", "/", [], b"", rule, 0.0, 1000.0, 2
        )
        try:
            return await client.send(
                f"{host}:{port}", request, 1000.0, is_first=is_first
            )
        finally:
            await client.stop()
            await runner.cleanup()

    return asyncio.run(main()), received_headers


@pytest.mark.parametrize(("is_first", "attempt"), [(True, "2"), (False, "3")])
def test_retry_increases_the_attempt_header(is_first, attempt):
    """Guards against downstream retries of a request that is a retry."""
    _, received_headers = _exchange(200, is_first=is_first)
    assert received_headers["Slatechute-Attempt"] == attempt


@pytest.mark.parametrize(
    ("status", "not_run"),
    [(429, True), (503, True), (200, False), (500, False)],
)
def test_only_refusals_are_reported_as_not_run(status, not_run):
    """Guards against not-run headers that a target passes on from downstream.

    A target that responds with another status than a refusal has run the
    request.
    """
    response, _ = _exchange(status, is_first=True)
    assert response.not_run is not_run


@pytest.mark.parametrize("status", [200, 500, 502])
def test_downstream_refusal_does_not_become_one_of_this_entry(status):
    """Guards against "not-run" for a request that its target has run.

    The target passes on the headers by which an entry has refused a request of
    its own.
    """
    response, _ = _exchange(status, is_first=True)
    names = {name.lower() for name, _ in response.headers}
    assert "x-other" in names
    assert not {name for name in names if name.startswith("slatechute-")}


@pytest.mark.parametrize("limit", [4, 10])
def test_connections_stay_within_the_limit(limit):
    """Guards against more connections than a target accepts from the fleet."""
    max_connections = 0

    async def main() -> None:
        nonlocal max_connections
        target = targets.FakeTarget(
            targets.TargetSettings(slots=50, work_ms=20, fixed_work=True)
        )
        await target.start()
        client = exchange.TargetClient(lambda service: limit)
        sends = []
        for number in range(40):
            rule = models.RequestRule(number % 2 == 0, False, 5000)
            request = requests.Request(
                f"e.1.{number}", "s", "GET", "/", [], b"", rule, 0.0, 5000.0
            )
            sends.append(client.send(target.address, request, 5000.0))
        done = asyncio.gather(*sends)
        while not done.done():
            max_connections = max(max_connections, target.connections)
            await asyncio.sleep(0.002)
        await done
        await client.stop()
        await target.stop()

    asyncio.run(main())
    assert 2 <= max_connections <= limit
