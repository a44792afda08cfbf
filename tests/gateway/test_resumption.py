"""Tests of requests after a pause of the process."""

import asyncio

from slatechute.gateway import resumption


class _Clock:
    now = 0.0

    def now_ms(self):
        return self.now


class _Fixture:
    def __init__(self):
        self.clock = _Clock()
        self.asked = 0
        self.resumption = resumption.Resumption(self.clock, self._ask)
        self.resumption.step()

    def _ask(self):
        self.asked += 1

    def wait(self):
        return asyncio.create_task(self.resumption.wait())


def test_request_waits_until_the_view_is_confirmed():
    """It was decided by the table from before the pause."""

    async def main():
        fixture = _Fixture()
        fixture.clock.now += 401
        fixture.resumption.step()
        waiting = [fixture.wait(), fixture.wait()]
        await asyncio.sleep(0.01)
        assert not any(task.done() for task in waiting)
        fixture.resumption.confirmed()
        await asyncio.gather(*waiting)
        assert fixture.asked == 1

    asyncio.run(main())


def test_request_that_is_read_before_the_pause_is_noticed_waits_as_well():
    """The requests in the kernel are read before the next step of the loop."""

    async def main():
        fixture = _Fixture()
        fixture.clock.now += 401
        waiting = fixture.wait()
        await asyncio.sleep(0.01)
        assert not waiting.done()
        fixture.resumption.step()
        assert fixture.asked == 1
        fixture.resumption.confirmed()
        await waiting

    asyncio.run(main())


def test_steps_in_time_hold_no_request():
    """Each request would wait for an answer of a peer."""

    async def main():
        fixture = _Fixture()
        fixture.clock.now += 399
        fixture.resumption.step()
        await fixture.resumption.wait()
        assert not fixture.asked

    asyncio.run(main())


def test_entry_without_peers_and_platform_goes_on(monkeypatch):
    """An isolated entry would serve nobody after a pause."""
    monkeypatch.setattr(resumption, "_MAX_WAIT_S", 0.02)

    async def main():
        fixture = _Fixture()
        fixture.clock.now += 401
        fixture.resumption.step()
        await fixture.wait()

    asyncio.run(main())


def test_caller_that_leaves_does_not_hold_up_the_others():
    """Its cancelled wait would have ended the one that all share."""

    async def main():
        fixture = _Fixture()
        fixture.clock.now += 401
        fixture.resumption.step()
        leaving, staying = fixture.wait(), fixture.wait()
        await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.sleep(0)
        assert not staying.done()
        fixture.resumption.confirmed()
        await staying

    asyncio.run(main())
