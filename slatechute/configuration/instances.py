"""Parse the `instances` document: live and leaving entries and targets."""

import dataclasses
from typing import Annotated

import pydantic

from slatechute import errors
from slatechute.configuration import folder
from slatechute.platforms import base

__all__ = ["ENTRIES", "Entry", "Instances", "Parser", "Target", "parse"]

# Part that lists the entries. Further parts `entries:NAME` may list more,
# because 2,000 entries exceed the size limit of a part. Any other part lists
# the targets of the service that it is named after.
ENTRIES = "entries"
_ENTRIES_PREFIX = f"{ENTRIES}:"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A listed entry host.

    Attributes:
        id: Name of the entry.
        address: Host and port for callers.
        peer_address: Host and port for links from other entries.
        admin_address: Host and port for operators.
        data_centre: Data centre of the host.
        state: Published state, such as `live` or `leaving`.
    """

    id: str
    address: str
    peer_address: str
    admin_address: str
    data_centre: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A listed instance of a service.

    Attributes:
        id: Id of the instance, which is new at each start of its process.
        service: Service that it runs.
        address: Host and port.
        data_centre: Data centre of the host.
        state: Published state, such as `live` or `leaving`.
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Instances:
    """Content of the document."""

    entries_by_id: dict[str, Entry]
    targets_by_id: dict[str, Target]


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise ValueError("is not host:port")
    if not 0 < int(port) < 65536:
        raise ValueError("port is out of range")
    return address


_Address = Annotated[
    str,
    pydantic.Field(max_length=255, pattern=r"^[!-~]+$"),
    pydantic.AfterValidator(_check_address),
]
_Name = Annotated[str, pydantic.Field(pattern=r"^[!-~]{1,128}$")]


class _TargetItem(pydantic.BaseModel):
    # Unknown fields are ignored, unlike in the operators' files, because the
    # platform may add fields to its list at any time.
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    id: _Name
    address: _Address
    data_centre: str = pydantic.Field(min_length=1, max_length=64)
    state: str = pydantic.Field(min_length=1, max_length=32)


class _EntryItem(_TargetItem):
    id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")
    peer_address: _Address
    admin_address: _Address


_ENTRY_LIST = pydantic.TypeAdapter(list[_EntryItem])
_TARGET_LIST = pydantic.TypeAdapter(list[_TargetItem])


def _is_entries_part(part: str) -> bool:
    return part == ENTRIES or part.startswith(_ENTRIES_PREFIX)


def _parse_rows(part: str, text: str) -> list[Entry] | list[Target]:
    if _is_entries_part(part):
        return [
            Entry(**item.model_dump())
            for item in _ENTRY_LIST.validate_json(text)
        ]
    return [
        Target(service=part, **item.model_dump())
        for item in _TARGET_LIST.validate_json(text)
    ]


class Parser:
    """Parses documents and caches the rows of each part.

    Parsing a list of 11,000 targets blocks the event loop for 59 ms, but a
    change of the list usually affects only one or two parts.
    """

    def __init__(self):
        self._rows_by_part: dict[str, tuple[str, list[Entry | Target]]] = {}

    def parse(self, document: base.Document) -> Instances:
        """Return the content of an `instances` document.

        Raises:
            errors.ConfigurationError: A part is invalid; lists every problem.
        """
        problems = folder.part_problems(document.text_by_part)
        if problems:
            raise errors.ConfigurationError(problems)
        rows_by_part = {}
        entries_by_id: dict[str, Entry] = {}
        targets_by_id: dict[str, Target] = {}
        for part, text in sorted(document.text_by_part.items()):
            row_by_id = (
                entries_by_id if _is_entries_part(part) else targets_by_id
            )
            rows = self._parse_part(part, text, problems)
            rows_by_part[part] = (text, rows)
            for row in rows:
                if row.id in row_by_id:
                    problems.append(f"{part}: {row.id}: id is listed twice")
                else:
                    row_by_id[row.id] = row
        if problems:
            raise errors.ConfigurationError(problems)
        self._rows_by_part = rows_by_part
        return Instances(entries_by_id, targets_by_id)

    def _parse_part(
        self, part: str, text: str, problems: list[str]
    ) -> list[Entry] | list[Target]:
        cached = self._rows_by_part.get(part)
        if cached is not None and cached[0] == text:
            return cached[1]
        try:
            return _parse_rows(part, text)
        except pydantic.ValidationError as err:
            for error in err.errors(include_url=False, include_input=False):
                location = ".".join(map(str, error["loc"])) or "document"
                problems.append(f"{part}: {location}: {error['msg']}")
            return []


def parse(document: base.Document) -> Instances:
    """Return the content of an `instances` document.

    Raises:
        errors.ConfigurationError: A part is invalid; lists every problem.
    """
    return Parser().parse(document)
