"""Events between the components of an entry, sent by reactivex subjects."""

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
    """A configuration became active."""

    revision: int
    digest: str
    configuration: models.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesAdopted:
    """A list of entries and targets became active."""

    document: base.Document


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReady:
    """A link to a peer is open and authenticated."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkReplaced:
    """A peer opened a new link before this entry closed the older one.

    Frames on the older link may be lost. If the peer has closed that link, it
    has also dropped the requests whose responses this entry waits for.
    """

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to a peer is closed or has received no frame for too long."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target is leaving.

    Attributes:
        target_id: Id of the leaving target.
        source: `list`, `answer` or the id of the peer that reported it.
    """

    target_id: str
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """This entry has started its graceful shutdown."""


class EventBus:
    """Delivers events by type, in order and on the emitting thread.

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
        """Return the observable of all events of a type."""
        return self._subject_by_type.setdefault(event_type, subject.Subject())

    def emit(self, event: object) -> None:
        """Deliver an event to all current subscribers of its type."""
        event_subject = self._subject_by_type.get(type(event))
        if event_subject is not None:
            event_subject.on_next(event)
