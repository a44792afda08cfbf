"""Tests of the configuration that requests are decided by."""

import asyncio
import io
import json

import aiohttp

from slatechute import logs
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet


async def _get(app, path="/a/x"):
    url = f"http://{app.settings.callers_address}{path}"
    headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as response,
    ):
        return response.status


def _log_lines(check):
    """Return the log lines of a fleet on which a check is run."""
    stream = io.StringIO()
    logs.setup(stream, "info")
    try:
        small_fleet.run(check)
    finally:
        logs.setup(None, "warning")
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_names_the_configuration_of_the_decision():
    """The version at the time of the line hid which one was out of date."""

    async def check(fleet):
        async with scripted_target.ScriptedTarget(
            scripted_target.response
        ) as target:
            target.delay_s = 0.7
            app = await fleet.add_with_routes()
            fleet.publish_target(address=target.address)
            await waiting.until(lambda: app.balancer.load_by_id)
            request = asyncio.create_task(_get(app))
            await target.arrived.wait()
            fleet.publish_routes(2, builders.route())
            await waiting.until(lambda: app.catalogue.table.version == 2)
            assert not request.done()
            assert await request == 200
            assert await _get(app, "/other/") == 404

    lines = _log_lines(check)
    [answered] = [x for x in lines if x["event"] == "request_answered"]
    [refused] = [x for x in lines if x["event"] == "request_refused"]
    assert (answered["version"], refused["version"]) == (1, 2)
    for line in (answered, refused):
        assert 0 <= line["version_age_ms"] < 3_000
        assert 0 <= line["view_age_ms"] < 3_000
