"""Several applications in one process, on real sockets."""

import asyncio
import functools

from slatechute import events
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from tests import waiting

_until = functools.partial(waiting.until, limit_s=5.0)


def test_new_link_carries_marks_and_strikes():
    """Guards against a peer that missed an announcement without a link.

    It would send new work to a leaving target, and let a request crash further
    targets. The list does not tell of either here.
    """

    async def main():
        fleet = local_fleet.LocalFleet(
            deployments.DEPLOYMENTS["kits"], entries=1, instances=2
        )
        async with fleet:
            (first,) = fleet.applications
            gone = fleet.targets_by_service["plans"][0].id
            first.bus.emit(events.TargetLeaving(gone, "answer"))
            now_ms = first.clock.now_ms()
            first._executor.quarantine.record_crash("f" * 32, "t1", now_ms - 5)
            first._executor.quarantine.record_crash("f" * 32, "t2", now_ms)
            second = fleet.new_entry()
            fleet.applications.append(second)
            await second.start()
            await second.ready.wait()
            await _until(second.membership.reachable)
            await _until(
                lambda: (
                    gone
                    not in {t.id for t in second.membership.targets_of("plans")}
                )
            )
            remaining_ms = second._executor.quarantine.remaining_ms(
                "f" * 32, second.clock.now_ms()
            )
            assert 50_000 < remaining_ms <= 60_000

    asyncio.run(main())
