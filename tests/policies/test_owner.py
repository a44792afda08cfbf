"""Tests of the policy in which each target has one dispatching entry."""

import asyncio

from slatechute import leases
from slatechute import settings as entry_settings
from slatechute.configuration import instances
from slatechute.policies import owner
from slatechute.util import clock as clocks


def _policy() -> owner.DispatcherPolicy:
    settings = entry_settings.EntrySettings(
        entry_id="e1", data_centre="dc1", fleet_key="a key for tests only"
    )
    clock = clocks.ManualClock()
    policy = owner.DispatcherPolicy(
        settings, clock, lambda *_: False, lambda _: None
    )
    target = instances.Target("t1", "plans", "127.0.0.1:1", "dc1", "live")
    policy.dispatcher.set_service(
        "plans",
        dispatcher_by_target={"t1": "e1"},
        targets_by_id={"t1": target},
        slots=1,
        queue_length=10,
        share=1.0,
        now_ms=clock.now_ms(),
    )
    return policy


def test_slot_granted_to_a_cancelled_request_is_freed():
    """Guards against endless recursion and lost slots under overload.

    A waiting request is cancelled in the same iteration of the event loop in
    which a slot becomes free.
    """

    async def main():
        policy = _policy()
        first = await policy.acquire("plans", 1000.0)
        waiting = asyncio.create_task(policy.acquire("plans", 1000.0))
        await asyncio.sleep(0)
        waiting.cancel()
        policy.release(first, leases.Result.OK, 1.0)
        await asyncio.gather(waiting, return_exceptions=True)
        assert waiting.cancelled()
        async with asyncio.timeout(1):
            await policy.acquire("plans", 1000.0)

    asyncio.run(main())
