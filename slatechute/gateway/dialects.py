"""What callers and targets say to an entry, apart from HTTP itself."""

from collections.abc import Mapping
import dataclasses
from typing import Protocol

from slatechute.gateway import routing

__all__ = [
    "ResponseMetadata",
    "Dialect",
    "Load",
    "PublishedTarget",
    "PublishedItem",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a target has told.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it runs at a time.
        slowdown: Time that work takes on its host now, as a multiple of the
            usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of an answer say.

    Attributes:
        request_id: Request that it answers; empty when it does not say.
        signed: Whether it carries the mark of a target's own answer.
        not_run: Whether the target certainly did not run the request.
        wrong_target: Whether another target has the address now.
        target_id: Target that answered, if it says so.
        load: Load of the target, if it says so.
    """

    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    wrong_target: bool = False
    target_id: str = ""
    load: Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedTarget:
    """A target as the platform lists it.

    Attributes:
        id: Its id.
        incarnation: Start of the process; a later one has a higher number.
        sequence: Number of the entry among those of this process.
        service: Service that it belongs to.
        address: Host and port.
        data_centre: Its data centre.
        slots: Requests that it runs at a time.
        leaving: Whether it takes no new work.
        warmup_ms: How long it stays slow after its start.
    """

    id: str
    incarnation: int
    sequence: int
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    warmup_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedItem:
    """One published value.

    Attributes:
        key: Its key.
        revision: Revision of its last change.
        value: Its content, None when it was removed.
    """

    key: str
    revision: int
    value: bytes | None


class Dialect(Protocol):
    """Names and formats of the callers, the targets and the platform."""

    def request_id(self, headers: Mapping[str, str]) -> str:
        """Return the id that the caller gave the request, or ''."""
        ...

    def deadline_ms(self, headers: Mapping[str, str]) -> float | None:
        """Return how long the caller waits, None when it does not say.

        Raises:
            ValueError: The value is not a number.
        """
        ...

    def is_reserved_header(self, name: str) -> bool:
        """Return whether the entry sets a header (lower case) by itself."""
        ...

    def target_headers(
        self, target_id: str, remaining_ms: float
    ) -> list[tuple[str, str]]:
        """Return the headers that the entry adds for a target."""
        ...

    def parse_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseMetadata:
        """Return what an answer says; header names are lower case."""
        ...

    def refusal_headers(self, retry_after_s: float) -> dict[str, str]:
        """Return the headers of a refusal that says when to come back."""
        ...

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body of an address answer."""
        ...

    def parse_configuration(
        self, item: PublishedItem
    ) -> routing.RoutingTable | None:
        """Return the configuration, None when the item is something else."""
        ...

    def parse_target(self, item: PublishedItem) -> PublishedTarget | None:
        """Return the target, None when the item names none."""
        ...

    def is_target_key(self, key: str) -> bool:
        """Return whether a key belongs to a target."""
        ...
