"""Tests of several applications in one process, over real sockets."""

import asyncio
import functools

from slatechute import events
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from tests import waiting

_until = functools.partial(waiting.until, limit_s=5.0)


def test_new_link_carries_missed_announcements():
    """Guards against reports that are lost while there is no link.

    A peer that misses them sends requests to a leaving target and lets a
    request crash further targets. The instance list contains neither here.
    """

    async def main():
        fleet = local_fleet.LocalFleet(
            deployments.DEPLOYMENTS["kits"], entries=1, instances=2
        )
        async with fleet:
            (first,) = fleet.applications
            leaving_id = fleet.targets_by_service["plans"][0].id
            first.bus.emit(events.TargetLeaving(leaving_id, "answer"))
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
                    leaving_id
                    not in {t.id for t in second.membership.targets_of("plans")}
                )
            )
            remaining_ms = second._executor.quarantine.remaining_ms(
                "f" * 32, second.clock.now_ms()
            )
            assert 50_000 < remaining_ms <= 60_000

    asyncio.run(main())
