"""Fixture for the fleet that the cells of the fault matrix share."""

import asyncio

import pytest

from tests.faults import fleet as fleets


class _SharedFleet:
    """Runs scenarios on one fleet, one after the other."""

    def __init__(self, runner: asyncio.Runner, fleet: fleets.Fleet):
        self._runner = runner
        self._fleet = fleet

    def run(self, scenario) -> None:
        """Run a scenario, then wait until the fleet has recovered."""

        async def body():
            try:
                await scenario(self._fleet)
            finally:
                await self._fleet.wait_until_recovered()

        self._runner.run(body())


@pytest.fixture(scope="package")
def shared_fleet():
    with asyncio.Runner() as runner:
        fleet = fleets.Fleet()
        runner.run(fleet.__aenter__())
        try:
            yield _SharedFleet(runner, fleet)
        finally:
            runner.run(fleet.__aexit__())
