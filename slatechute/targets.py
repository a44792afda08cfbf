"""Health, concurrency limit and leases of a target at its dispatcher."""

import dataclasses
import heapq

from slatechute import leases
from slatechute import statechart
from slatechute.configuration import instances

__all__ = ["CHART", "SLOW_FACTOR", "TargetState"]

CHART = statechart.load("target")

_COLD_SUCCESSES_PER_STEP = 4
_SHED_SUCCESSES_PER_STEP = 8
_TAKEOVER_SUCCESSES_PER_STEP = 1
_AVERAGE_WEIGHT = 0.2
_MIN_SAMPLES = 5
SLOW_FACTOR = 3.0
_RECOVERED_FACTOR = 2.0
# A running exchange that lasts this many medians marks a target as slow before
# its average rises, because slow phases are shorter than a few exchanges.
_OVERDUE_FACTOR = 4.0
# Shorter delays may arise in this process instead of the target: with service
# times below 1 ms all targets became suspect and requests waited for no reason.
_MIN_OVERDUE_MS = 20.0
_MIN_COOLDOWN_MS = 5.0
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_MS = 1000.0
_MAX_EJECTION_MS = 30_000.0
# A target on probation gets a request after this time without one.
_PROBATION_PROBE_INTERVAL_MS = 100.0


class TargetState:
    """State of one target at its dispatcher.

    Attributes:
        target: The target.
        slots: Its configured slots.
        state: State in the target chart.
        limit: Maximum number of slots in use; below `slots` during warm-up and
            after overload or failures.
        leases_by_id: Leases of the granted slots.
        inherited: In-flight exchanges that an earlier dispatcher granted.
        inherited_until_ms: When inherited exchanges no longer count.
        grants_from_ms: No slot is granted before this time.
        ejected_until_ms: End of the last ejection, 0 after a recovery.
        average_ms: Moving average of the service time.
    """

    def __init__(self, target: instances.Target, slots: int, *, cold: bool):
        self.target = target
        self.slots = slots
        self.state = CHART.initial if cold else "serving"
        self.limit = 1.0 if cold else max(1.0, slots / 2)
        self.leases_by_id: dict[int, leases.Lease] = {}
        self.inherited = 0
        self.inherited_until_ms = 0.0
        self.grants_from_ms = 0.0
        self.ejected_until_ms = 0.0
        self.average_ms = 0.0
        self._successes_per_step = (
            _COLD_SUCCESSES_PER_STEP if cold else _TAKEOVER_SUCCESSES_PER_STEP
        )
        self._successes_since_step = 0
        self._samples = 0
        self._consecutive_failures = 0
        self._ejections = 0
        self._cooldown_ends_ms: list[float] = []
        self._bulk_leases = 0
        self._last_grant_ms = 0.0

    @property
    def rank(self) -> int:
        """Preference among targets; lower ranks are used first."""
        return int(CHART.attribute(self.state, "rank") or 0)

    def free_slots(self, now_ms: float, share: float) -> int:
        """Return the number of slots that may be granted now.

        Args:
            now_ms: Current time.
            share: Fraction of the slots that this dispatcher may grant.
        """
        if now_ms < self.grants_from_ms or now_ms < self.ejected_until_ms:
            return 0
        while self._cooldown_ends_ms and self._cooldown_ends_ms[0] <= now_ms:
            heapq.heappop(self._cooldown_ends_ms)
        if self.inherited and now_ms >= self.inherited_until_ms:
            self.inherited = 0
        allowed = min(int(self.limit), max(1, round(self.slots * share)))
        max_slots = CHART.attribute(self.state, "max_slots")
        if max_slots is not None:
            allowed = min(allowed, int(max_slots))
        used = (
            len(self.leases_by_id)
            + len(self._cooldown_ends_ms)
            + self.inherited
        )
        return allowed - used

    def has_bulk_capacity(self) -> bool:
        """Return whether a slot is available for a large response.

        Large responses use at most half of the slots, so that the others stay
        available for short exchanges.
        """
        return self._bulk_leases < max(1, self.slots // 2)

    def is_overdue(self, now_ms: float, median_ms: float) -> bool:
        """Return whether the oldest exchange lasts too long."""
        oldest = next(iter(self.leases_by_id.values()), None)
        if oldest is None or oldest.bulk:
            return False
        limit_ms = max(_MIN_OVERDUE_MS, _OVERDUE_FACTOR * median_ms)
        return now_ms - oldest.granted_ms > limit_ms

    def is_suspect(self, now_ms: float, median_ms: float) -> bool:
        """Return whether other targets are preferred to this one."""
        if self.state == "probation":
            return now_ms - self._last_grant_ms < _PROBATION_PROBE_INTERVAL_MS
        return self.is_overdue(now_ms, median_ms)

    def add_lease(self, lease: leases.Lease) -> None:
        """Add the lease of a granted slot."""
        self.leases_by_id[lease.id] = lease
        self._last_grant_ms = lease.granted_ms
        self._bulk_leases += lease.bulk

    def renew_lease(
        self, lease_id: int, now_ms: float, expires_ms: float
    ) -> None:
        """Extend a lease for the next request of its holder."""
        lease = self.leases_by_id.pop(lease_id, None)
        if lease is not None:
            self.leases_by_id[lease_id] = dataclasses.replace(
                lease, granted_ms=now_ms, expires_ms=expires_ms
            )
            self._last_grant_ms = now_ms

    def remove_lease(self, lease_id: int) -> leases.Lease | None:
        """Free a slot without a result and return its lease, if known.

        A lease of an earlier dispatcher only lowers the inherited count.
        """
        lease = self.leases_by_id.pop(lease_id, None)
        if lease is not None:
            self._bulk_leases -= lease.bulk
        elif self.inherited:
            self.inherited -= 1
        return lease

    def record_result(
        self,
        result: leases.Result,
        service_ms: float,
        now_ms: float,
        median_ms: float,
        *,
        may_eject: bool,
    ) -> bool:
        """Record the result of an exchange.

        Returns:
            Whether the target is ejected because of it.
        """
        if result is leases.Result.OK:
            self._record_success(service_ms, median_ms)
        elif result is leases.Result.SHED:
            self.limit = max(1.0, self.limit / 2)
            self._successes_per_step = _SHED_SUCCESSES_PER_STEP
            self._successes_since_step = 0
            self._start_cooldown(now_ms, median_ms)
        elif result in (leases.Result.FAILED, leases.Result.CRASHED):
            return self._record_failure(now_ms, median_ms, may_eject)
        return False

    def mark_leaving(self) -> None:
        """Stop granting slots; in-flight exchanges may finish."""
        self.state = CHART.next(self.state, "leave")

    def _start_cooldown(self, now_ms: float, median_ms: float) -> None:
        # Without the cooldown a target that fails immediately would free its
        # slots faster than all others and attract most of the load.
        heapq.heappush(
            self._cooldown_ends_ms, now_ms + max(_MIN_COOLDOWN_MS, median_ms)
        )

    def _record_success(self, service_ms: float, median_ms: float) -> None:
        self._consecutive_failures = 0
        if self.state == "ejected":
            self._apply_event("trial_succeeded")
            self._ejections = 0
            self.ejected_until_ms = 0.0
            self.limit, self._successes_per_step = 1.0, _COLD_SUCCESSES_PER_STEP
        self._successes_since_step += 1
        if (
            self._successes_since_step >= self._successes_per_step
            and self.limit < self.slots
        ):
            self._successes_since_step = 0
            self.limit = min(float(self.slots), self.limit + 1)
        if self.limit >= self.slots:
            self._apply_event("warmed")
        self._update_average(service_ms)
        if self._samples < _MIN_SAMPLES:
            return
        if self.state == "probation":
            # One fast exchange ends the probation: slow phases are short, and
            # the average would fall only after several of the rare requests.
            if service_ms < _RECOVERED_FACTOR * median_ms:
                self._apply_event("recovered")
                self.average_ms = service_ms
        elif self.average_ms > SLOW_FACTOR * median_ms:
            self._apply_event("slow")

    def _update_average(self, service_ms: float) -> None:
        self._samples += 1
        weight = max(_AVERAGE_WEIGHT, 1 / self._samples)
        self.average_ms += weight * (service_ms - self.average_ms)

    def _record_failure(
        self, now_ms: float, median_ms: float, may_eject: bool
    ) -> bool:
        self._start_cooldown(now_ms, median_ms)
        self._successes_since_step = 0
        self._consecutive_failures += 1
        if (
            self.state != "ejected"
            and self._consecutive_failures < _FAILURES_TO_EJECT
        ):
            return False
        if not may_eject:
            self.limit, self._successes_per_step = 1.0, _COLD_SUCCESSES_PER_STEP
            return False
        self._apply_event(
            "trial_failed" if self.state == "ejected" else "failures"
        )
        self._eject(now_ms)
        return True

    def _eject(self, now_ms: float) -> None:
        duration_ms = min(
            _MAX_EJECTION_MS, _FIRST_EJECTION_MS * 2**self._ejections
        )
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until_ms = now_ms + duration_ms

    def _apply_event(self, event: str) -> None:
        self.state = CHART.next(self.state, event)
