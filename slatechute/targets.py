"""What the dispatcher of a target knows of it and how much it grants."""

import dataclasses
import heapq

from slatechute import leases
from slatechute import statechart
from slatechute.configuration import instances

__all__ = ["CHART", "SLOW_FACTOR", "TargetState"]

CHART = statechart.load("target")

_COLD_GROWTH = 4
_SHED_GROWTH = 8
_TAKEOVER_GROWTH = 1
_AVERAGE_WEIGHT = 0.2
_MIN_SAMPLES = 5
SLOW_FACTOR = 3.0
_RECOVERED_FACTOR = 2.0
# An exchange that lasts this many medians speaks for a slow target before any
# average can: slow phases are shorter than a few exchanges.
_OVERDUE_FACTOR = 4.0
# Below this a delay says more of this process than of the target: with service
# times under 1 ms all targets were doubted, and requests waited for nothing.
_MIN_OVERDUE_MS = 20.0
_MIN_HOLD_MS = 5.0
_FAILURES_TO_EJECT = 3
_EJECT_MS = 1000.0
_MAX_EJECT_MS = 30_000.0
# A target on probation is tried again after this time without a request.
_PROBATION_TRIAL_MS = 100.0


class TargetState:
    """Slots, limit and health of one target at its dispatcher.

    Attributes:
        target: The target.
        slots: Its configured slots.
        state: State in the target chart.
        limit: Slots granted at a time; below `slots` while it warms up.
        leases_by_id: Granted slots.
        inherited: Exchanges granted by an earlier dispatcher.
        ready_ms: Nothing is granted before this time.
    """

    def __init__(self, target: instances.Target, slots: int, *, cold: bool):
        self.target = target
        self.slots = slots
        self.state = CHART.initial if cold else "serving"
        self.limit = 1.0 if cold else max(1.0, slots / 2)
        self.leases_by_id: dict[int, leases.Lease] = {}
        self.inherited = 0
        self.inherited_until_ms = 0.0
        self.ready_ms = 0.0
        self.ejected_until_ms = 0.0
        self.average_ms = 0.0
        self._growth = _COLD_GROWTH if cold else _TAKEOVER_GROWTH
        self._successes = 0
        self._samples = 0
        self._failures = 0
        self._ejections = 0
        self._holds: list[float] = []
        self._bulk = 0
        self._last_grant_ms = 0.0

    @property
    def rank(self) -> int:
        """Preference among targets, lower first."""
        return int(CHART.attribute(self.state, "rank") or 0)

    def free(self, now_ms: float, share: float) -> int:
        """Return the slots that may be granted now.

        Args:
            now_ms: Current time.
            share: Part of the slots that falls to this dispatcher.
        """
        if now_ms < self.ready_ms or now_ms < self.ejected_until_ms:
            return 0
        while self._holds and self._holds[0] <= now_ms:
            heapq.heappop(self._holds)
        if self.inherited and now_ms >= self.inherited_until_ms:
            self.inherited = 0
        allowed = min(int(self.limit), max(1, round(self.slots * share)))
        most = CHART.attribute(self.state, "max_slots")
        if most is not None:
            allowed = min(allowed, int(most))
        used = len(self.leases_by_id) + len(self._holds) + self.inherited
        return allowed - used

    def may_take_bulk(self) -> bool:
        """Return whether one more large answer leaves slots for short ones."""
        return self._bulk < max(1, self.slots // 2)

    def is_overdue(self, now_ms: float, median_ms: float) -> bool:
        """Return whether an exchange lasts so long that the target is slow."""
        oldest = next(iter(self.leases_by_id.values()), None)
        if oldest is None or oldest.bulk:
            return False
        limit_ms = max(_MIN_OVERDUE_MS, _OVERDUE_FACTOR * median_ms)
        return now_ms - oldest.granted_ms > limit_ms

    def is_doubtful(self, now_ms: float, median_ms: float) -> bool:
        """Return whether other targets should be used first."""
        if self.state == "probation":
            return now_ms - self._last_grant_ms < _PROBATION_TRIAL_MS
        return self.is_overdue(now_ms, median_ms)

    def grant(self, lease: leases.Lease) -> None:
        """Take in a granted slot."""
        self.leases_by_id[lease.id] = lease
        self._last_grant_ms = lease.granted_ms
        self._bulk += lease.bulk

    def renew(self, lease_id: int, now_ms: float, expires_ms: float) -> None:
        """Go on with a lease for the next request of its holder."""
        lease = self.leases_by_id.pop(lease_id, None)
        if lease is not None:
            self.leases_by_id[lease_id] = dataclasses.replace(
                lease, granted_ms=now_ms, expires_ms=expires_ms
            )
            self._last_grant_ms = now_ms

    def drop(self, lease_id: int) -> leases.Lease | None:
        """Free a slot without a result; return its lease."""
        lease = self.leases_by_id.pop(lease_id, None)
        if lease is not None:
            self._bulk -= lease.bulk
        elif self.inherited:
            self.inherited -= 1
        return lease

    def record(
        self,
        result: leases.Result,
        service_ms: float,
        now_ms: float,
        median_ms: float,
        *,
        may_eject: bool,
    ) -> bool:
        """Take in the result of an exchange; return whether it ejects."""
        if result is leases.Result.OK:
            self._record_success(service_ms, median_ms)
        elif result is leases.Result.SHED:
            self.limit = max(1.0, self.limit / 2)
            self._growth = _SHED_GROWTH
            self._successes = 0
            self._hold(now_ms, median_ms)
        elif result in (leases.Result.FAILED, leases.Result.CRASHED):
            return self._record_failure(now_ms, median_ms, may_eject)
        return False

    def leave(self) -> None:
        """Grant nothing from now on; exchanges under way may end."""
        self.state = CHART.next(self.state, "leave")

    def _hold(self, now_ms: float, median_ms: float) -> None:
        # Without the hold a target that answers errors at once would free its
        # slots faster than all others and draw the load to itself.
        heapq.heappush(self._holds, now_ms + max(_MIN_HOLD_MS, median_ms))

    def _record_success(self, service_ms: float, median_ms: float) -> None:
        self._failures = 0
        if self.state == "ejected":
            self._fire("trial_succeeded")
            self._ejections = 0
            self.ejected_until_ms = 0.0
            self.limit, self._growth = 1.0, _COLD_GROWTH
        self._successes += 1
        if self._successes >= self._growth and self.limit < self.slots:
            self._successes = 0
            self.limit = min(float(self.slots), self.limit + 1)
        if self.limit >= self.slots:
            self._fire("warmed")
        self._average(service_ms)
        if self._samples < _MIN_SAMPLES:
            return
        if self.state == "probation":
            # One quick exchange ends the probation: slow phases are short, and
            # an average would need several rare trials to fall.
            if service_ms < _RECOVERED_FACTOR * median_ms:
                self._fire("recovered")
                self.average_ms = service_ms
        elif self.average_ms > SLOW_FACTOR * median_ms:
            self._fire("slow")

    def _average(self, service_ms: float) -> None:
        self._samples += 1
        weight = max(_AVERAGE_WEIGHT, 1 / self._samples)
        self.average_ms += weight * (service_ms - self.average_ms)

    def _record_failure(
        self, now_ms: float, median_ms: float, may_eject: bool
    ) -> bool:
        self._hold(now_ms, median_ms)
        self._successes = 0
        self._failures += 1
        if self.state != "ejected" and self._failures < _FAILURES_TO_EJECT:
            return False
        if not may_eject:
            self.limit, self._growth = 1.0, _COLD_GROWTH
            return False
        self._fire("trial_failed" if self.state == "ejected" else "failures")
        self._eject(now_ms)
        return True

    def _eject(self, now_ms: float) -> None:
        duration_ms = min(_MAX_EJECT_MS, _EJECT_MS * 2**self._ejections)
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until_ms = now_ms + duration_ms

    def _fire(self, event: str) -> None:
        self.state = CHART.next(self.state, event)
