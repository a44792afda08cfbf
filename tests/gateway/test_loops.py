"""Tests that the loops of an entry continue after an unexpected error."""

from tests import waiting
from tests.gateway import builders
from tests.gateway import small_fleet


def _fail_once(function, calls):
    """Return a function that records its calls and raises in the first one."""

    def wrapped(*args):
        calls.append(args)
        if len(calls) == 1:
            raise ValueError("unexpected")
        return function(*args)

    return wrapped


def test_failed_step_does_not_end_the_tick():
    """Without the tick, queues, peers and probes are never updated again."""

    async def check(fleet):
        app = await fleet.add()
        calls = []
        app.balancer.tick = _fail_once(app.balancer.tick, calls)
        await waiting.until(lambda: len(calls) > 2)

    small_fleet.run(check)


def test_failed_step_does_not_prevent_the_other_steps():
    """An error in the queues must not stop the heartbeats to peers."""

    async def check(fleet):
        app = await fleet.add()
        calls = []

        def fail(now_ms):
            raise ValueError("unexpected")

        app.balancer.tick = fail
        app.group.tick = _fail_once(app.group.tick, calls)
        await waiting.until(lambda: len(calls) > 2)

    small_fleet.run(check)


def test_unexpected_error_does_not_end_reading():
    """Without the reader, an entry never adopts another configuration."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        app.catalogue.apply = _fail_once(app.catalogue.apply, [])
        fleet.publish_routes(2, builders.route(prefix="/b/"))
        await waiting.until(lambda: app.catalogue.table.version == 2)

    small_fleet.run(check)
