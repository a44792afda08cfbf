"""Store the active documents of an entry and decide when to replace them.

A document is accepted or rejected by its content alone, and the accepted
document with the highest revision is active. The active document therefore
depends on which documents were offered but not on their order, so that hosts
that received the same documents agree. In particular, a rejected revision does
not prevent the adoption of a valid one that is lower but still newer than the
active document.
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
    "Rejection",
    "Verdict",
    "is_revision",
]

NAMES = (base.CONFIGURATION, base.INSTANCES)
# Source of documents read from the platform; `@` cannot occur in entry ids.
PLATFORM = "@platform"
# Largest integer that other implementations of CBOR and JSON store exactly.
MAX_REVISION = 2**53 - 1
# Rejected documents are recorded so that they are not fetched again from peers
# that run another version and accept them.
MAX_REJECTIONS = 8
MAX_PROBLEMS_KEPT = 50

_LOG = logs.get_logger(__name__)

_Content = models.Configuration | instances.Instances


class Verdict(enum.StrEnum):
    """Result of offering a document."""

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
class Rejection:
    """An invalid document that is newer than the active one.

    Attributes:
        revision: Its revision.
        source: Peer that offered it, or `PLATFORM`.
        problems: Why it was rejected.
        digest_by_part: Digests of its parts, None when
            `folder.part_problems` reports problems.
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
        revision: Active revision, None when there is none.
        digest: Digest of the active document.
        source: Peer that sent it, or `PLATFORM`.
        unconfirmed: Whether it may be stale: it came from the platform, or
            unconfirmed from a peer, when this entry had no document, and since
            then neither a newer revision has been adopted nor has a peer
            announced the same document as confirmed.
        highest_revision: Highest revision offered, valid or not.
        rejections: Newer documents that this entry rejected as invalid, in
            ascending order of revision.
        count_by_verdict: Number of offers and announcements by verdict.
    """

    name: str
    revision: int | None
    digest: str
    source: str
    unconfirmed: bool
    highest_revision: int | None
    rejections: tuple[Rejection, ...]
    count_by_verdict: dict[Verdict, int]


@dataclasses.dataclass(slots=True)
class _DocumentState:
    """State of one document name."""

    document: base.Document | None = None
    content: _Content | None = None
    digest: str = ""
    digest_by_part: dict[str, str] = dataclasses.field(default_factory=dict)
    source: str = ""
    unconfirmed: bool = False
    highest_revision: int | None = None
    rejections: list[Rejection] = dataclasses.field(default_factory=list)
    count_by_verdict: dict[Verdict, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(Verdict, 0)
    )

    def find_rejection(
        self, revision: int, digest_by_part: dict[str, str] | None
    ) -> Rejection | None:
        for rejection in self.rejections:
            if (
                rejection.revision == revision
                and rejection.digest_by_part == digest_by_part
            ):
                return rejection
        return None


def is_revision(value: object) -> bool:
    """Return whether a value can be a revision."""
    # bool is a subclass of int.
    return type(value) is int and 0 <= value <= MAX_REVISION


class DocumentStore:
    """Holds the active documents and decides on offers, without I/O."""

    def __init__(self, bus: events.EventBus):
        self._instances_parser = instances.Parser()
        self._bus = bus
        self._state_by_name = {name: _DocumentState() for name in NAMES}

    @property
    def configuration(self) -> models.Configuration | None:
        """Active configuration."""
        return self._state_by_name[base.CONFIGURATION].content

    @property
    def instances(self) -> instances.Instances | None:
        """Active list of entries and targets."""
        return self._state_by_name[base.INSTANCES].content

    def document(self, name: str) -> base.Document | None:
        """Return the active document."""
        return self._state_by_name[name].document

    def digest(self, name: str) -> str:
        """Return the digest of the whole active document."""
        return self._state_by_name[name].digest

    def digest_by_part(self, name: str) -> dict[str, str]:
        """Return the digests of the parts of the active document."""
        return self._state_by_name[name].digest_by_part

    def status(self) -> dict[str, DocumentStatus]:
        """Return the state of each document by name."""
        return {
            name: DocumentStatus(
                name=name,
                revision=state.document.revision if state.document else None,
                digest=state.digest,
                source=state.source,
                unconfirmed=state.unconfirmed,
                highest_revision=state.highest_revision,
                rejections=tuple(state.rejections),
                count_by_verdict=dict(state.count_by_verdict),
            )
            for name, state in self._state_by_name.items()
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
        """Return the verdict that follows from revision and digests, if any.

        Args:
            name: One of `NAMES`.
            revision: A valid revision.
            digest_by_part: Digests of its parts, None when
                `folder.part_problems` reports problems.
            source: Peer that announced it, or `PLATFORM`.
            unconfirmed: Whether it is unconfirmed at that peer.

        Returns:
            The verdict, or None when the content is needed to decide.
        """
        state = self._state_by_name[name]
        verdict = None
        if state.document is not None and revision < state.document.revision:
            verdict = Verdict.OLDER
        elif state.document is not None and revision == state.document.revision:
            if digest_by_part == state.digest_by_part:
                verdict = Verdict.SAME
                state.unconfirmed &= source == PLATFORM or unconfirmed
            else:
                verdict = Verdict.CONFLICTING
        elif state.find_rejection(revision, digest_by_part) is not None:
            verdict = Verdict.INVALID
        if verdict is not None:
            state.count_by_verdict[verdict] += 1
        return verdict

    def should_fetch(self, name: str, revision: int) -> bool:
        """Return whether a revision is newer and has not been rejected."""
        state = self._state_by_name[name]
        if state.document is not None and revision <= state.document.revision:
            return False
        return all(item.revision != revision for item in state.rejections)

    def is_unconfirmed(self, name: str) -> bool:
        """Return whether the active document may be stale."""
        return self._state_by_name[name].unconfirmed

    def offer(
        self,
        document: base.Document,
        source: str,
        *,
        unconfirmed: bool = False,
    ) -> Decision:
        """Adopt a document if it is valid and newer, and return the decision.

        Args:
            document: Document with all its parts.
            source: Peer that sent it, or `PLATFORM`.
            unconfirmed: Whether it is unconfirmed at that peer.
        """
        state = self._state_by_name.get(document.name)
        if state is None:
            return Decision(Verdict.INVALID, ("document: unknown name",))
        if not is_revision(document.revision):
            state.count_by_verdict[Verdict.INVALID] += 1
            return Decision(Verdict.INVALID, ("document: invalid revision",))
        if state.highest_revision is None:
            state.highest_revision = document.revision
        state.highest_revision = max(state.highest_revision, document.revision)
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
            rejection = state.find_rejection(document.revision, digest_by_part)
            return Decision(verdict, rejection.problems)
        if verdict is not None:
            if verdict is Verdict.CONFLICTING:
                _LOG.warning(
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
            rejection = Rejection(
                document.revision,
                source,
                _truncate_problems(err.problems),
                digest_by_part,
            )
            return self._reject(document.name, rejection)
        unconfirmed |= source == PLATFORM
        self._adopt(document, digest_by_part, content, source, unconfirmed)
        return Decision(Verdict.ADOPTED)

    def _reject(self, name: str, rejection: Rejection) -> Decision:
        state = self._state_by_name[name]
        state.count_by_verdict[Verdict.INVALID] += 1
        state.rejections.append(rejection)
        state.rejections.sort(key=lambda rejection: rejection.revision)
        del state.rejections[:-MAX_REJECTIONS]
        _LOG.warning(
            "document_refused",
            name=name,
            revision=rejection.revision,
            source=rejection.source,
            problems=rejection.problems,
        )
        return Decision(Verdict.INVALID, rejection.problems)

    def _adopt(
        self,
        document: base.Document,
        digest_by_part: dict[str, str],
        content: _Content,
        source: str,
        unconfirmed: bool,
    ) -> None:
        state = self._state_by_name[document.name]
        state.unconfirmed = state.document is None and unconfirmed
        state.document = document
        state.content = content
        state.digest = document.digest
        state.digest_by_part = digest_by_part
        state.source = source
        state.rejections = [
            rejection
            for rejection in state.rejections
            if rejection.revision > document.revision
        ]
        state.count_by_verdict[Verdict.ADOPTED] += 1
        _LOG.info(
            "document_adopted",
            name=document.name,
            revision=document.revision,
            source=source,
        )
        if isinstance(content, models.Configuration):
            event = events.ConfigurationAdopted(
                document.revision, state.digest, content
            )
        else:
            event = events.InstancesAdopted(document)
        self._bus.emit(event)


def _truncate_problems(problems: list[str]) -> tuple[str, ...]:
    if len(problems) <= MAX_PROBLEMS_KEPT:
        return tuple(problems)
    omitted = len(problems) - MAX_PROBLEMS_KEPT
    return (*problems[:MAX_PROBLEMS_KEPT], f"and {omitted} more")
