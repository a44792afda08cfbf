"""Cells of the fault matrix: one fault at one step of two requests.

Each cell holds a repeatable and a non-repeatable request at the step, injects
the fault, and lets the requests continue.
"""

import asyncio

import pytest

from slatechute.fakes import caller as callers
from tests.faults import fault_injection
from tests.faults import fleet as fleets
from tests.faults import matrix


def _cells():
    return [
        pytest.param(fault, step, id=f"{fault}-{step}")
        for fault, row in matrix.MATRIX.items()
        for step, test_or_reason in row.items()
        if test_or_reason == matrix.CELL_TEST
    ]


@pytest.mark.parametrize(("fault", "step"), _cells())
def test_cell(shared_fleet, fault, step):
    """Guards against wrong responses, double execution and lost requests.

    One fault occurs while requests are at a step. They must be served
    unless the fault makes that impossible.
    """
    faults = [fault_injection.FAULTS[fault]()]
    _run(shared_fleet, faults, step)


@pytest.mark.parametrize(
    ("one", "other", "step"),
    [pytest.param(*pair, id="-".join(pair)) for pair in matrix.PAIRS],
)
def test_pair(shared_fleet, one, other, step):
    """Guards against failures that only a combination of two faults causes."""
    faults = [fault_injection.FAULTS[one](), fault_injection.FAULTS[other]()]
    _run(shared_fleet, faults, step)


def _run(shared_fleet, faults, step) -> None:
    if step == "address":
        shared_fleet.run(lambda fleet: _run_at_address(fleet, faults))
    elif step == "done":
        shared_fleet.run(lambda fleet: _run_after_completion(fleet, faults))
    else:
        shared_fleet.run(lambda fleet: _run_at_step(fleet, faults, step))


async def _run_at_step(fleet, faults, step) -> None:
    held_step = fault_injection.STEPS[step]()
    await held_step.prepare(fleet)
    request_ids = [fleet.new_request_id(), fleet.new_request_id()]
    tasks = [
        asyncio.create_task(
            fleet.send(
                kind,
                service=held_step.service,
                request_id=request_id,
                headers=held_step.headers,
            )
        )
        for kind, request_id in zip(
            ("lookup", "order"), request_ids, strict=True
        )
    ]
    await held_step.wait_reached(fleet, request_ids)
    async with fault_injection.injected_faults(
        fleet, faults, step, request_ids
    ):
        await held_step.release(fleet)
        lookup, order = await asyncio.gather(*tasks)
        fleets.check_invariants(lookup)
        fleets.check_invariants(order)
        if all(step in fault.repeatable_served_at for fault in faults):
            assert lookup.result.outcome == "served", lookup
        if all(step in fault.nonrepeatable_served_at for fault in faults):
            assert order.result.outcome == "served", order
    await _resend(fleet, order, held_step.service)


async def _resend(fleet, order, service=fleets.SERVICE) -> None:
    """Resend an order that may have run, as its caller may do.

    Neither its entry nor another one may run it a second time.
    """
    if order.result.outcome == "not-run":
        return
    for entry_id in ("e1", "e2"):
        resent = await fleet.send(
            "order",
            service=service,
            entry_id=entry_id,
            request_id=order.result.request_id,
            path=order.path,
            bypass_proxy=True,
        )
        fleets.check_invariants(resent)
        if order.runs or order.result.outcome == "unknown":
            assert resent.result.outcome == "unknown", resent.result
            assert resent.result.detail in (
                "duplicate_request_id",
                "foreign_request_id",
            )
            assert resent.result.latency_ms < 500


async def _run_at_address(fleet, faults) -> None:
    addresses = [proxy.address for proxy in fleet.caller_proxies.values()]
    settings = callers.CallerSettings(
        addresses, fleets.SERVICE, "POST", "/orders/1", resends=2
    )
    async with callers.FakeCaller(settings) as caller:
        assert (await caller.send()).outcome == "served"
        # The caller caches the addresses for 300 ms and then, during the
        # fault, requests them again.
        await asyncio.sleep(0.35)
        async with fault_injection.injected_faults(
            fleet, faults, "address", [""]
        ):
            result = await caller.send()
            assert result.outcome == "served", result
            assert len(fleet.runs(result.request_id)) == 1


async def _run_after_completion(fleet, faults) -> None:
    order = await fleet.send("order")
    lookup = await fleet.send("lookup")
    assert order.result.outcome == lookup.result.outcome == "served"
    request_ids = [lookup.result.request_id, order.result.request_id]
    async with fault_injection.injected_faults(
        fleet, faults, "done", request_ids
    ):
        entry_id = "e1"
        if isinstance(faults[0], fault_injection.EntryKill):
            entry_id = "e2"
        second_lookup = await fleet.send("lookup", entry_id=entry_id)
        fleets.check_invariants(second_lookup)
        assert second_lookup.result.outcome == "served", second_lookup.result
        second_order = await fleet.send("order", entry_id=entry_id)
        fleets.check_invariants(second_order)
        if all("done" in fault.nonrepeatable_served_at for fault in faults):
            assert second_order.result.outcome == "served", second_order.result
    await _resend(fleet, order)
