"""Read-only interface to the platform service."""

import dataclasses
from typing import Protocol

import xxhash

__all__ = ["CONFIGURATION", "INSTANCES", "Document", "Platform"]

CONFIGURATION = "configuration"
INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A published document.

    Attributes:
        name: `CONFIGURATION` or `INSTANCES`.
        revision: Number that increases with each change.
        text_by_part: Text of each part by its name; for configuration, the
            name of the file.
    """

    name: str
    revision: int
    text_by_part: dict[str, str]

    @property
    def digest_by_part(self) -> dict[str, str]:
        """Digest of each part."""
        return {
            part: xxhash.xxh3_128_hexdigest(text.encode())
            for part, text in self.text_by_part.items()
        }

    @property
    def digest(self) -> str:
        """Digest of the whole document, without its revision."""
        parts = sorted(self.digest_by_part.items())
        return xxhash.xxh3_128_hexdigest(repr(parts).encode())


class Platform(Protocol):
    """Reader of the platform service."""

    async def read(self, name: str) -> Document:
        """Return the current document.

        Raises:
            errors.PlatformError: The service is down or returns an error.
        """
        ...

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> Document | None:
        """Wait for a document with a revision above `after`.

        Returns:
            The document, or None when there is no newer one within `wait_s`.

        Raises:
            errors.PlatformError: The service is down or returns an error.
        """
        ...
