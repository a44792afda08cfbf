"""Cells of the fault matrix: one fault at one step of two requests.

In each cell one request that may run twice and one that must not are held at
the step, the fault strikes, and the requests go on.
"""

import asyncio

import pytest

from slatechute.fakes import caller as callers
from tests.faults import fleet as fleets
from tests.faults import matrix
from tests.faults import placing


def _cells():
    return [
        pytest.param(fault, step, id=f"{fault}-{step}")
        for fault, row in matrix.MATRIX.items()
        for step, text in row.items()
        if text == matrix.CELL
    ]


@pytest.mark.parametrize(("fault", "step"), _cells())
def test_cell(shared_fleet, fault, step):
    """Guards against a fault that makes a request wrong, doubled or lost.

    The requests must also get their answers where the fault leaves a way.
    """
    faults = [placing.FAULTS[fault]()]
    _run(shared_fleet, faults, step)


@pytest.mark.parametrize(
    ("one", "other", "step"),
    [pytest.param(*pair, id="-".join(pair)) for pair in matrix.PAIRS],
)
def test_pair(shared_fleet, one, other, step):
    """Guards against two faults that each alone are harmless."""
    faults = [placing.FAULTS[one](), placing.FAULTS[other]()]
    _run(shared_fleet, faults, step)


def _run(shared_fleet, faults, step) -> None:
    if step == "address":
        shared_fleet.run(lambda fleet: _ask_address(fleet, faults))
    elif step == "done":
        shared_fleet.run(lambda fleet: _after_end(fleet, faults))
    else:
        shared_fleet.run(lambda fleet: _at_step(fleet, faults, step))


async def _at_step(fleet, faults, step) -> None:
    place = placing.STEPS[step]()
    await place.arrange(fleet)
    ids = [fleet.request_id(), fleet.request_id()]
    tasks = [
        asyncio.create_task(
            fleet.send(
                kind,
                service=place.service,
                request_id=key,
                headers=place.headers,
            )
        )
        for kind, key in zip(("lookup", "order"), ids, strict=True)
    ]
    await place.reached(fleet, ids)
    async with placing.struck(fleet, faults, step, ids):
        await place.release(fleet)
        lookup, order = await asyncio.gather(*tasks)
        fleets.check(lookup)
        fleets.check(order)
        if all(step in fault.answered_at for fault in faults):
            assert lookup.answer.outcome == "served", lookup
        if all(step in fault.once_answered_at for fault in faults):
            assert order.answer.outcome == "served", order
    await _resend(fleet, order, place.service)


async def _resend(fleet, order, service=fleets.SERVICE) -> None:
    """Send a request that has no answer again, as its caller may."""
    if order.answer.outcome == "not-run":
        return
    for entry_id in ("e1", "e2"):
        again = await fleet.send(
            "order",
            service=service,
            entry_id=entry_id,
            request_id=order.answer.request_id,
            path=order.path,
            direct=True,
        )
        fleets.check(again)
        if order.runs or order.answer.outcome == "unknown":
            assert again.answer.outcome == "unknown", again.answer
            assert again.answer.detail in (
                "duplicate_request_id",
                "foreign_request_id",
            )
            assert again.answer.latency_ms < 500


async def _ask_address(fleet, faults) -> None:
    addresses = [proxy.address for proxy in fleet.caller_proxies.values()]
    settings = callers.CallerSettings(
        addresses, fleets.SERVICE, "POST", "/orders/1", resends=2
    )
    async with callers.FakeCaller(settings) as caller:
        assert (await caller.send()).outcome == "served"
        # The addresses are cached for 300 ms; asked again after the fault.
        await asyncio.sleep(0.35)
        async with placing.struck(fleet, faults, "address", [""]):
            answer = await caller.send()
            assert answer.outcome == "served", answer
            assert len(fleet.runs(answer.request_id)) == 1


async def _after_end(fleet, faults) -> None:
    order = await fleet.send("order")
    lookup = await fleet.send("lookup")
    assert order.answer.outcome == lookup.answer.outcome == "served"
    ids = [lookup.answer.request_id, order.answer.request_id]
    async with placing.struck(fleet, faults, "done", ids):
        entry_id = "e1"
        if isinstance(faults[0], placing.EntryKill):
            entry_id = "e2"
        again = await fleet.send("lookup", entry_id=entry_id)
        fleets.check(again)
        assert again.answer.outcome == "served", again.answer
        new = await fleet.send("order", entry_id=entry_id)
        fleets.check(new)
        if all("done" in fault.once_answered_at for fault in faults):
            assert new.answer.outcome == "served", new.answer
    await _resend(fleet, order)
