"""Events that wire the parts of an entry, carried by reactivex subjects."""

import dataclasses
from typing import TypeVar

import reactivex
from reactivex import subject

from slatechute.configuration import models
from slatechute.platforms import base

__all__ = [
    "ConfigurationAdopted",
    "Draining",
    "EventBus",
    "InstancesAdopted",
    "LinkReplaced",
    "PeerLost",
    "PeerReady",
    "TargetLeaving",
]

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAdopted:
    """A configuration came into force."""

    revision: int
    digest: str
    configuration: models.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesAdopted:
    """A list of hosts and targets came into force."""

    document: base.Document


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReady:
    """A link to a peer is open and authenticated."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkReplaced:
    """A peer opened a new link before the older one was given up here.

    Frames on the older one may be lost, and the peer has dropped what this
    entry waits for if it gave that link up.
    """

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to a peer is closed or silent."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target was seen to leave.

    Attributes:
        target_id: The leaving instance.
        source: `list`, `answer` or the id of the peer that said so.
    """

    target_id: str
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """This entry has started its planned stop."""


class EventBus:
    """Delivers events by type, in order, on the thread that emits them.

    >>> bus = EventBus()
    >>> seen = []
    >>> _ = bus.stream(PeerLost).subscribe(seen.append)
    >>> bus.emit(PeerLost("e2"))
    >>> seen
    [PeerLost(entry_id='e2')]
    """

    def __init__(self):
        self._subject_by_type: dict[type, subject.Subject] = {}

    def stream(self, event_type: type[T]) -> reactivex.Observable[T]:
        """Return the stream of events of a type."""
        return self._subject_by_type.setdefault(event_type, subject.Subject())

    def emit(self, event: object) -> None:
        """Deliver an event to all current subscribers of its type."""
        stream = self._subject_by_type.get(type(event))
        if stream is not None:
            stream.on_next(event)
