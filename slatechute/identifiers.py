"""Boot ids of entries and request ids.

A request id contains the boot id of the entry that issued it, because only that
process may run a request that must not run twice.
"""

import dataclasses
import re
import secrets

__all__ = ["RequestId", "issue_prefix", "new_boot_id", "parse_request_id"]

_REQUEST_ID = re.compile(
    r"(?P<boot>[A-Za-z0-9_-]{1,80})\.(?P<issued>[0-9]{1,15})"
    r"\.(?P<suffix>[A-Za-z0-9_-]{1,64})"
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestId:
    """Parts of a request id.

    Attributes:
        boot_id: Boot id of the entry that issued the prefix.
        issued_ms: Issue time by the monotonic clock of that process.
        suffix: Part that is unique to the request.
    """

    boot_id: str
    issued_ms: int
    suffix: str

    def __str__(self) -> str:
        return f"{self.boot_id}.{self.issued_ms}.{self.suffix}"


def new_boot_id(entry_id: str) -> str:
    """Return a new id for this process start of an entry."""
    return f"{entry_id}-{secrets.token_hex(4)}"


def issue_prefix(boot_id: str, now_ms: float) -> str:
    """Return a prefix to which callers append a suffix to get a request id.

    >>> issue_prefix("e1-aa", 1500.7)
    'e1-aa.1500'
    """
    return f"{boot_id}.{int(now_ms)}"


def parse_request_id(text: str) -> RequestId | None:
    """Return the parts of a request id, or None when it is malformed.

    >>> parse_request_id("e1-aa.1500.x7").issued_ms
    1500
    >>> parse_request_id("e1-aa") is None
    True
    """
    match = _REQUEST_ID.fullmatch(text)
    if match is None:
        return None
    return RequestId(match["boot"], int(match["issued"]), match["suffix"])
