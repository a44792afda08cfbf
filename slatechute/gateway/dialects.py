"""Interface to the formats of callers, targets and the platform.

It covers what lies on top of HTTP, such as header names and published values.
"""

from collections.abc import Mapping
import dataclasses
from typing import Protocol

from slatechute.gateway import routing

__all__ = [
    "Announcement",
    "ResponseMetadata",
    "Dialect",
    "Load",
    "PublishedTarget",
    "PublishedItem",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load reported by a target.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests in its queue.
        slots: Number of requests that it runs concurrently.
        slowdown: Current execution time on its host as a multiple of the usual
            one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a target announces about itself in a response.

    Attributes:
        rate_limit_per_s: Requests a second that it takes from all entries
            together, None if it names no limit.
        pause_ms: How long it wants no request from this entry, None if it did
            not turn the request away for a time.
        is_leaving: Whether it is leaving and accepts no new requests.
        cold_ms: For how long it is still cold, 0 if it is not, None if it does
            not say so.
        invalid: Names of headers whose values cannot be used.
    """

    rate_limit_per_s: float | None = None
    pause_ms: float | None = None
    is_leaving: bool = False
    invalid: tuple[str, ...] = ()
    cold_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from the status and headers of a response.

    Attributes:
        request_id: Id of the request that it answers, empty if absent.
        signed: Whether it carries the signature header that only targets set.
        not_run: Whether the target certainly did not run the request.
        reads_as_not_run: Whether callers conclude from the status that the
            request has not run.
        wrong_target: Whether the address now belongs to another target.
        target_id: Id of the target that answered, empty if absent.
        load: Load of the target, None if absent.
        announcement: What the target announces about itself.
    """

    request_id: str = ""
    signed: bool = False
    not_run: bool = False
    reads_as_not_run: bool = False
    wrong_target: bool = False
    target_id: str = ""
    load: Load | None = None
    announcement: Announcement = Announcement()


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedTarget:
    """Registration of a target, as published by the platform.

    Attributes:
        id: Its id.
        incarnation: Number of its process start. Later starts have higher
            numbers.
        sequence: Number of the registration within this incarnation.
        service: Service that it belongs to.
        address: Host and port.
        data_centre: Its data centre.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it is draining and accepts no new requests.
        warmup_ms: Remaining time for which it is slow after its start.
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
    """A value published by the platform.

    Attributes:
        key: Its key.
        revision: Revision of its last change.
        value: Its content, or None if it was removed.
    """

    key: str
    revision: int
    value: bytes | None


class Dialect(Protocol):
    """Header names and formats of callers, targets and the platform."""

    def request_id(self, headers: Mapping[str, str]) -> str:
        """Return the request id assigned by the caller, or ''.

        Targets name the request in the same header of their responses.
        """
        ...

    def deadline_ms(self, headers: Mapping[str, str]) -> float | None:
        """Return how long the caller waits, or None if not specified.

        Raises:
            ValueError: The value is not a number.
        """
        ...

    def is_reserved_header(self, name: str) -> bool:
        """Return whether the entry sets a header (lower case) itself."""
        ...

    def target_headers(
        self, target_id: str, remaining_ms: float
    ) -> list[tuple[str, str]]:
        """Return the headers that the entry adds to a target request."""
        ...

    def parse_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseMetadata:
        """Parse the status and headers (lower case) of a response."""
        ...

    def refusal_headers(self, retry_after_s: float) -> dict[str, str]:
        """Return the headers of a refusal with a retry delay."""
        ...

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body of a response that lists entry addresses.

        Args:
            addresses: Addresses of the entries.
            ttl_s: How long callers may cache them.
        """
        ...

    def parse_configuration(
        self, item: PublishedItem
    ) -> routing.RoutingTable | None:
        """Return the configuration, or None if the item holds no valid one."""
        ...

    def parse_target(self, item: PublishedItem) -> PublishedTarget | None:
        """Return the target, or None if the item holds no valid one."""
        ...

    def is_target_key(self, key: str) -> bool:
        """Return whether a key belongs to a target."""
        ...

    def evacuated_data_centre(self, key: str) -> str | None:
        """Return the data centre that a key evacuates, None for other keys."""
        ...
