"""Tests that loops of an entry outlive an error that no code expects."""

from tests import waiting
from tests.gateway import builders
from tests.gateway import small_fleet


def _fail_once(function, calls):
    """Return a function that raises in its first call and counts the others."""

    def wrapped(*args):
        calls.append(args)
        if len(calls) == 1:
            raise ValueError("unexpected")
        return function(*args)

    return wrapped


def test_failed_step_does_not_end_the_tick():
    """Without the tick queues, peers and probes are never looked at again."""

    async def check(fleet):
        app = await fleet.add()
        calls = []
        app.balancer.tick = _fail_once(app.balancer.tick, calls)
        await waiting.until(lambda: len(calls) > 2)

    small_fleet.run(check)


def test_failed_step_does_not_hold_back_the_other_steps():
    """A fault in the queues must not stop signs of life to peers."""

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
    """An entry that reads no more keeps its configuration for good."""

    async def check(fleet):
        app = await fleet.add_with_routes()
        app.catalogue.apply = _fail_once(app.catalogue.apply, [])
        fleet.publish_routes(2, builders.route(prefix="/b/"))
        await waiting.until(lambda: app.catalogue.table.version == 2)

    small_fleet.run(check)
