"""Tests of the load poller of the baseline policy."""

import asyncio

import aiohttp

from slatechute import metrics
from slatechute.configuration import instances
from slatechute.fakes import target as targets
from slatechute.policies import baselines
from slatechute.policies import load_poller
from slatechute.util import clock as clocks


def test_reported_load_reaches_the_policy():
    """Guards against a baseline policy that ignores the reported load."""

    async def main():
        target = targets.FakeTarget(targets.TargetSettings(report_lag_ms=1))
        await target.start()
        listed = instances.Target("t", "plans", target.address, "d", "live")
        policy = baselines.TwoChoices(clocks.ManualClock(), lambda _: [listed])
        counters = metrics.Metrics()
        async with aiohttp.ClientSession() as session:
            poller = load_poller.LoadPoller(
                policy, session, counters, lambda: [listed]
            )
            await poller.poll(listed)
        await target.stop()
        assert policy.load_by_target == {"t": 0.0}
        assert counters.value("probes_total") == 1

    asyncio.run(main())
