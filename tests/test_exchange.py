"""Exchanges with a target that shows what it was sent."""

import asyncio

from aiohttp import web
import pytest

from slatechute import exchange
from slatechute import requests
from slatechute.configuration import models
from slatechute.fakes import target as fakes


def _exchange(
    status: int, *, is_first: bool
) -> tuple[exchange.TargetResponse, dict]:
    """Return the answer, and the headers that the target received."""
    seen: dict[str, str] = {}

    async def handle(http: web.BaseRequest) -> web.Response:
        seen.update(http.headers)
        headers = {exchange.OUTCOME_HEADER: "not-run"}
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

    return asyncio.run(main()), seen


@pytest.mark.parametrize(("is_first", "attempt"), [(True, "2"), (False, "3")])
def test_target_is_told_that_a_request_is_sent_again(is_first, attempt):
    """Guards against calls further down that retry a retried request."""
    _, seen = _exchange(200, is_first=is_first)
    assert seen["Slatechute-Attempt"] == attempt


@pytest.mark.parametrize(
    ("status", "not_run"),
    [(429, True), (503, True), (200, False), (500, False)],
)
def test_only_a_refusal_can_say_that_nothing_ran(status, not_run):
    """Guards against headers that a target passes on from further down."""
    answer, _ = _exchange(status, is_first=True)
    assert answer.not_run is not_run


@pytest.mark.parametrize("share", [4, 10])
def test_entry_keeps_to_its_share_of_connections(share):
    """Guards against more connections than a target accepts from the fleet."""
    most = 0

    async def main() -> None:
        nonlocal most
        target = fakes.FakeTarget(
            fakes.TargetSettings(slots=50, work_ms=20, fixed_work=True)
        )
        await target.start()
        client = exchange.TargetClient(lambda service: share)
        sends = []
        for number in range(40):
            rule = models.RequestRule(number % 2 == 0, False, 5000)
            request = requests.Request(
                f"e.1.{number}", "s", "GET", "/", [], b"", rule, 0.0, 5000.0
            )
            sends.append(client.send(target.address, request, 5000.0))
        done = asyncio.gather(*sends)
        while not done.done():
            most = max(most, target.connections)
            await asyncio.sleep(0.002)
        await done
        await client.stop()
        await target.stop()

    asyncio.run(main())
    assert 2 <= most <= share
