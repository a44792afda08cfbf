"""Polling of target loads, for policies without coordination."""

import asyncio
from collections.abc import Callable

import aiohttp

from slatechute import metrics
from slatechute.configuration import instances
from slatechute.policies import baselines

__all__ = ["LoadPoller"]

_POLL_INTERVAL_S = 0.5
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class LoadPoller:
    """Updates the loads of a `TwoChoices` policy."""

    def __init__(
        self,
        policy: baselines.TwoChoices,
        session: aiohttp.ClientSession,
        counters: metrics.Metrics,
        targets: Callable[[], list[instances.Target]],
    ):
        self._policy = policy
        self._session = session
        self._counters = counters
        self._targets = targets

    async def run(self) -> None:
        """Poll all targets every `_POLL_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            await asyncio.gather(*map(self.poll, self._targets()))

    async def poll(self, target: instances.Target) -> None:
        """Update the load of one target, or keep the last one on an error."""
        url = f"http://{target.address}/-/load"
        try:
            async with self._session.get(url, timeout=_TIMEOUT) as response:
                text = await response.text()
                report = await response.json()
                load = float(report["running"] + report["queued"])
        except (aiohttp.ClientError, TimeoutError, KeyError, ValueError):
            return
        self._counters.count_probe(len(text))
        self._policy.load_by_target[target.id] = load
