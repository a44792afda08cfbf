"""Interface of the policies that choose a slot for a request."""

from typing import Protocol

from slatechute import leases

__all__ = ["Policy"]


class Policy(Protocol):
    """Chooses a target for each request and tracks its exchange."""

    async def acquire(
        self,
        service: str,
        deadline_ms: float,
        *,
        bulk: bool = False,
        excluded: frozenset[str] = frozenset(),
        spare_only: bool = False,
    ) -> leases.Lease:
        """Return a lease on a slot, waiting for one when none is free.

        Args:
            service: Service of the request.
            deadline_ms: Deadline of the request.
            bulk: Whether the response is large.
            excluded: Targets that must not receive it.
            spare_only: Whether to use only a slot that no other request waits
                for.

        Raises:
            errors.RequestError: No slot will be free in time.
        """
        ...

    def has_target(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether a service has a target that is not excluded."""
        ...

    def release(
        self, lease: leases.Lease, result: leases.Result, service_ms: float
    ) -> None:
        """End a lease; `service_ms` is the duration of the exchange."""
        ...

    def has_spare_slots(self, service: str) -> bool:
        """Return whether enough slots are free for hedges."""
        ...

    def median_ms(self, service: str) -> float:
        """Return the median service time of a service."""
        ...

    def p95_ms(self, service: str) -> float:
        """Return the 95th percentile of the service time of a service."""
        ...
