"""Leases on target slots and the results of their exchanges."""

import dataclasses
import enum
import math

from slatechute.configuration import instances

__all__ = ["Lease", "Result"]


class Result(enum.StrEnum):
    """Result of an exchange, as evidence of the health of its target."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Right to run one request on a slot of a target.

    Attributes:
        id: Number that is unique over all dispatchers.
        target: The target.
        dispatcher: Entry that granted the slot.
        holder: Entry that uses it.
        bulk: Whether the slot is used for a large response.
        granted_ms: Time of the grant by the clock of the entry that holds this
            object.
        expires_ms: When the dispatcher frees the slot, by the same clock.
        next_arrival_ms: Arrival of the oldest request that waited at the
            dispatcher when it granted the slot; infinite if there was none.
        renewals: How often the holder has reused the slot.
    """

    id: int
    target: instances.Target
    dispatcher: str
    holder: str
    bulk: bool
    granted_ms: float
    expires_ms: float
    next_arrival_ms: float = math.inf
    renewals: int = 0
