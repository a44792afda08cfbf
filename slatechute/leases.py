"""Leases on target slots and the results that end them."""

import dataclasses
import enum

from slatechute.configuration import instances

__all__ = ["Lease", "Result"]


class Result(enum.StrEnum):
    """What an exchange showed of its target."""

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
        bulk: Whether the slot carries a large answer.
        granted_ms: Time of the grant at the entry that holds this object.
        expires_ms: When the dispatcher takes the slot back, same clock.
    """

    id: int
    target: instances.Target
    dispatcher: str
    holder: str
    bulk: bool
    granted_ms: float
    expires_ms: float
