"""Accepted documents of an entry and the rules for replacing them.

A document is accepted or refused on its content alone; among the accepted ones
the highest revision is in force. What is in force therefore depends on the
documents that were offered and not on their order, and hosts that saw the same
documents agree. In particular, a refused revision does not keep out a valid
one between it and the document in force.
"""

import dataclasses
import enum

from slatechute import errors
from slatechute import events
from slatechute import logs
from slatechute.configuration import folder
from slatechute.configuration import instances
from slatechute.configuration import models
from slatechute.platforms import base

__all__ = [
    "Decision",
    "DocumentStatus",
    "DocumentStore",
    "MAX_REVISION",
    "NAMES",
    "PLATFORM",
    "Refusal",
    "Verdict",
    "is_revision",
]

NAMES = (base.CONFIGURATION, base.INSTANCES)
# Source of documents read from the platform; `@` cannot occur in entry ids.
PLATFORM = "@platform"
# Largest integer that other implementations of CBOR and JSON keep exactly.
MAX_REVISION = 2**53 - 1
# Refused documents are remembered so that they are not fetched again from
# peers whose build accepts them.
MAX_REFUSALS = 8
MAX_PROBLEMS_KEPT = 50

_LOGGER = logs.get_logger(__name__)

_Content = models.Configuration | instances.Instances


class Verdict(enum.StrEnum):
    """What becomes of an offered document."""

    ADOPTED = "adopted"
    SAME = "same"
    OLDER = "older"
    CONFLICTING = "conflicting"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on an offer, with the problems of an invalid document."""

    verdict: Verdict
    problems: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An invalid document that is newer than the one in force.

    Attributes:
        revision: Its revision.
        source: Peer that offered it, or `PLATFORM`.
        problems: Why it was refused.
        digest_by_part: Digests of its parts, None when they have none.
    """

    revision: int
    source: str
    problems: tuple[str, ...]
    digest_by_part: dict[str, str] | None


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentStatus:
    """State of one document for operators.

    Attributes:
        name: Name of the document.
        revision: Revision in force, None when there is none.
        digest: Digest of the document in force.
        source: Peer that it came from, or `PLATFORM`.
        unconfirmed: Whether it may be stale: it came from the platform when
            this entry had none, and neither a newer revision nor a peer whose
            own document is confirmed has confirmed it.
        highest_revision: Highest revision offered, valid or not.
        refusals: Newer documents that are invalid here, by rising revision.
        count_by_verdict: Offers and announcements by verdict.
    """

    name: str
    revision: int | None
    digest: str
    source: str
    unconfirmed: bool
    highest_revision: int | None
    refusals: tuple[Refusal, ...]
    count_by_verdict: dict[Verdict, int]


@dataclasses.dataclass(slots=True)
class _Slot:
    """State of one document name."""

    document: base.Document | None = None
    content: _Content | None = None
    digest: str = ""
    digest_by_part: dict[str, str] = dataclasses.field(default_factory=dict)
    source: str = ""
    unconfirmed: bool = False
    highest_revision: int | None = None
    refusals: list[Refusal] = dataclasses.field(default_factory=list)
    count_by_verdict: dict[Verdict, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(Verdict, 0)
    )

    def refusal(
        self, revision: int, digest_by_part: dict[str, str] | None
    ) -> Refusal | None:
        for refusal in self.refusals:
            if (
                refusal.revision == revision
                and refusal.digest_by_part == digest_by_part
            ):
                return refusal
        return None


def is_revision(value: object) -> bool:
    """Return whether a value can be a revision."""
    # bool is a subclass of int.
    return type(value) is int and 0 <= value <= MAX_REVISION


class DocumentStore:
    """Holds the documents in force and decides on offers; does no I/O."""

    def __init__(self, bus: events.EventBus):
        self._instances_parser = instances.Parser()
        self._bus = bus
        self._slot_by_name = {name: _Slot() for name in NAMES}

    @property
    def configuration(self) -> models.Configuration | None:
        """Configuration in force."""
        return self._slot_by_name[base.CONFIGURATION].content

    @property
    def instances(self) -> instances.Instances | None:
        """List of entries and targets in force."""
        return self._slot_by_name[base.INSTANCES].content

    def document(self, name: str) -> base.Document | None:
        """Return the document in force."""
        return self._slot_by_name[name].document

    def digest(self, name: str) -> str:
        """Return the digest of the whole document in force."""
        return self._slot_by_name[name].digest

    def digest_by_part(self, name: str) -> dict[str, str]:
        """Return the digests of the document in force."""
        return self._slot_by_name[name].digest_by_part

    def status(self) -> dict[str, DocumentStatus]:
        """Return the state of each document by name."""
        return {
            name: DocumentStatus(
                name=name,
                revision=slot.document.revision if slot.document else None,
                digest=slot.digest,
                source=slot.source,
                unconfirmed=slot.unconfirmed,
                highest_revision=slot.highest_revision,
                refusals=tuple(slot.refusals),
                count_by_verdict=dict(slot.count_by_verdict),
            )
            for name, slot in self._slot_by_name.items()
        }

    def assess(
        self,
        name: str,
        revision: int,
        digest_by_part: dict[str, str] | None,
        source: str,
        *,
        unconfirmed: bool = False,
    ) -> Verdict | None:
        """Judge a document by revision and digests, as far as possible.

        Args:
            name: One of `NAMES`.
            revision: A valid revision.
            digest_by_part: Digests of its parts, None when they have none.
            source: Peer that announced it, or `PLATFORM`.
            unconfirmed: Whether it is unconfirmed at that peer.

        Returns:
            The verdict, or None when the content is needed to decide.
        """
        slot = self._slot_by_name[name]
        verdict = None
        if slot.document is not None and revision < slot.document.revision:
            verdict = Verdict.OLDER
        elif slot.document is not None and revision == slot.document.revision:
            if digest_by_part == slot.digest_by_part:
                verdict = Verdict.SAME
                slot.unconfirmed &= source == PLATFORM or unconfirmed
            else:
                verdict = Verdict.CONFLICTING
        elif slot.refusal(revision, digest_by_part) is not None:
            verdict = Verdict.INVALID
        if verdict is not None:
            slot.count_by_verdict[verdict] += 1
        return verdict

    def should_fetch(self, name: str, revision: int) -> bool:
        """Return whether a revision is newer and was not refused here."""
        slot = self._slot_by_name[name]
        if slot.document is not None and revision <= slot.document.revision:
            return False
        return all(refusal.revision != revision for refusal in slot.refusals)

    def is_unconfirmed(self, name: str) -> bool:
        """Return whether the document in force may be stale."""
        return self._slot_by_name[name].unconfirmed

    def offer(
        self,
        document: base.Document,
        source: str,
        *,
        unconfirmed: bool = False,
    ) -> Decision:
        """Adopt a document or say why not.

        Args:
            document: Document with all its parts.
            source: Peer that offers it, or `PLATFORM`.
            unconfirmed: Whether it is unconfirmed at that peer.
        """
        slot = self._slot_by_name.get(document.name)
        if slot is None:
            return Decision(Verdict.INVALID, ("document: unknown name",))
        if not is_revision(document.revision):
            slot.count_by_verdict[Verdict.INVALID] += 1
            return Decision(Verdict.INVALID, ("document: invalid revision",))
        if slot.highest_revision is None:
            slot.highest_revision = document.revision
        slot.highest_revision = max(slot.highest_revision, document.revision)
        # Digests exist only for parts that can be encoded.
        problems = folder.part_problems(document.text_by_part)
        digest_by_part = None if problems else document.digest_by_part
        verdict = self.assess(
            document.name,
            document.revision,
            digest_by_part,
            source,
            unconfirmed=unconfirmed,
        )
        if verdict is Verdict.INVALID:
            refusal = slot.refusal(document.revision, digest_by_part)
            return Decision(verdict, refusal.problems)
        if verdict is not None:
            if verdict is Verdict.CONFLICTING:
                _LOGGER.warning(
                    "document_conflicts",
                    name=document.name,
                    revision=document.revision,
                    source=source,
                )
            return Decision(verdict)
        try:
            if problems:
                raise errors.ConfigurationError(problems)
            if document.name == base.CONFIGURATION:
                content = folder.build(document.text_by_part)
            else:
                content = self._instances_parser.parse(document)
        except errors.ConfigurationError as err:
            refusal = Refusal(
                document.revision,
                source,
                _shortened(err.problems),
                digest_by_part,
            )
            return self._refuse(document.name, refusal)
        unconfirmed |= source == PLATFORM
        self._adopt(document, digest_by_part, content, source, unconfirmed)
        return Decision(Verdict.ADOPTED)

    def _refuse(self, name: str, refusal: Refusal) -> Decision:
        slot = self._slot_by_name[name]
        slot.count_by_verdict[Verdict.INVALID] += 1
        slot.refusals.append(refusal)
        slot.refusals.sort(key=lambda refusal: refusal.revision)
        del slot.refusals[:-MAX_REFUSALS]
        _LOGGER.warning(
            "document_refused",
            name=name,
            revision=refusal.revision,
            source=refusal.source,
            problems=refusal.problems,
        )
        return Decision(Verdict.INVALID, refusal.problems)

    def _adopt(
        self,
        document: base.Document,
        digest_by_part: dict[str, str],
        content: _Content,
        source: str,
        unconfirmed: bool,
    ) -> None:
        slot = self._slot_by_name[document.name]
        slot.unconfirmed = slot.document is None and unconfirmed
        slot.document = document
        slot.content = content
        slot.digest = document.digest
        slot.digest_by_part = digest_by_part
        slot.source = source
        slot.refusals = [
            refusal
            for refusal in slot.refusals
            if refusal.revision > document.revision
        ]
        slot.count_by_verdict[Verdict.ADOPTED] += 1
        _LOGGER.info(
            "document_adopted",
            name=document.name,
            revision=document.revision,
            source=source,
        )
        if isinstance(content, models.Configuration):
            event = events.ConfigurationAdopted(
                document.revision, slot.digest, content
            )
        else:
            event = events.InstancesAdopted(document)
        self._bus.emit(event)


def _shortened(problems: list[str]) -> tuple[str, ...]:
    if len(problems) <= MAX_PROBLEMS_KEPT:
        return tuple(problems)
    rest = len(problems) - MAX_PROBLEMS_KEPT
    return (*problems[:MAX_PROBLEMS_KEPT], f"and {rest} more")
