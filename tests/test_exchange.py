"""Exchanges with a target that shows what it was sent."""

import asyncio

from aiohttp import web
import pytest

from slatechute import exchange
from slatechute import requests
from slatechute.configuration import models


def _exchange(status: int, *, is_first: bool) -> tuple[exchange.Answer, dict]:
    """Return the answer, and the headers that the target received."""
    seen: dict[str, str] = {}

    async def handle(http: web.BaseRequest) -> web.Response:
        seen.update(http.headers)
        headers = {exchange.OUTCOME_HEADER: "not-run"}
        return web.Response(status=status, headers=headers)

    async def main() -> exchange.Answer:
        runner = web.ServerRunner(web.Server(handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        client = exchange.TargetClient(2)
        await client.start()
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
