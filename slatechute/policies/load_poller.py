"""Polls the load of targets, as entries that choose alone have to."""

import asyncio
from collections.abc import Callable

import aiohttp

from slatechute import metrics
from slatechute.configuration import instances
from slatechute.policies import baselines

__all__ = ["LoadPoller"]

_POLL_S = 0.5
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class LoadPoller:
    """Keeps the loads of a `TwoChoices` policy up to date."""

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
        """Poll all targets every `_POLL_S` until cancelled."""
        while True:
            await asyncio.sleep(_POLL_S)
            await asyncio.gather(*map(self.poll, self._targets()))

    async def poll(self, target: instances.Target) -> None:
        """Take the load of one target; one that does not answer keeps its."""
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
