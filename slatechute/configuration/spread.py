"""Distribution of documents from the platform and between entries.

`SpreadCore` decides what to send and when to call the platform; it does no I/O
and reads no clock. `Spread` runs it on the event loop.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
import dataclasses
import enum
import random
import re
from typing import Protocol

import xxhash

from slatechute import logs
from slatechute import messages
from slatechute import ownership
from slatechute import settings as entry_settings
from slatechute.configuration import folder
from slatechute.configuration import instances
from slatechute.configuration import store
from slatechute.platforms import base
from slatechute.util import clock as clocks

__all__ = [
    "Outbox",
    "PlatformCall",
    "PlatformCallKind",
    "Spread",
    "SpreadCore",
    "SpreadMetrics",
    "SpreadStatus",
    "neighbours",
    "readers",
]

READERS_PER_DATA_CENTRE = 2
WATCH_S = 20.0
# A platform that accepts the connection and stays silent counts as failed.
CALL_TIMEOUT_S = WATCH_S + 5
# Peers answer within milliseconds, so that a replaced entry rarely needs the
# platform.
START_MS = 1000
# Entries that are no readers spread their first read over this time, since the
# whole fleet may start at once.
START_JITTER_MS = 1000
BACKOFF_MIN_MS = 500
BACKOFF_MAX_MS = 30_000
# Two documents change 0.15 times a second in total; the platform serves 2,000
# calls/s to all readers.
PLATFORM_CALLS_PER_S = 2.0
PLATFORM_BURST = 4.0
DIGEST_MS = 2000
# A document of more parts is announced without their digests: with 530 parts
# they would take 73 KB/s of the 7 KB/s that control may cost.
MAX_ANNOUNCED_PARTS = 8
FETCH_TIMEOUT_MS = 1000
# A change reaches all entries through neighbours within tens of milliseconds;
# one that does not is asked for when heartbeats show it.
ASK_MS = 200
# Ticks further apart than this mean that the process was paused.
PAUSE_MS = 1000
TICK_MS = 100
# How soon a change of readers takes effect.
POLL_MS = 500
# CBOR headers of a part and of a frame with its name and revision.
_PART_OVERHEAD_BYTES = 10
_FRAME_OVERHEAD_BYTES = 128

_DIGEST = re.compile(r"[0-9a-f]{32}")
_LOGGER = logs.get_logger(__name__)

Outbox = list[tuple[str, messages.Message]]


class SpreadMetrics(Protocol):
    """Receiver of what the distribution counts."""

    def count_platform_call(self) -> None:
        """Count a call to the platform."""
        ...

    def count_spread_fault(self, kind: str) -> None:
        """Count a fault of a peer or the platform."""
        ...


class PlatformCallKind(enum.StrEnum):
    """What to do next with the platform."""

    WAIT = "wait"
    READ = "read"
    WATCH = "watch"


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCall:
    """Next step towards the platform.

    Attributes:
        kind: Whether to wait, read or watch.
        after: Revision above which a watch returns.
        delay_ms: How long to wait before asking again.
    """

    kind: PlatformCallKind
    after: int = 0
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadStatus:
    """State of the distribution for operators.

    Attributes:
        is_reader: Whether this entry watches the platform.
        neighbours: Entries that documents are announced to.
        failures_by_name: Consecutive failed platform calls by document.
        fetches: Documents being fetched from peers.
        count_by_fault: Faults of peers and the platform.
    """

    is_reader: bool
    neighbours: tuple[str, ...]
    failures_by_name: dict[str, int]
    fetches: int
    count_by_fault: dict[str, int]


def neighbours(
    entry_id: str,
    data_centre: str,
    entries: Iterable[instances.Entry],
    degree: int,
) -> list[str]:
    """Return the entries that an entry announces documents to.

    At least one is the next in the ring of the own data centre and, from a
    degree of 2, at least one is in the next data centre, so that announcements
    reach every entry.

    Args:
        entry_id: The announcing entry.
        data_centre: Its data centre.
        entries: Entries to choose from; may contain `entry_id`.
        degree: Number of neighbours, at least 1.
    """
    ids_by_data_centre = collections.defaultdict(list)
    for entry in entries:
        if entry.id != entry_id:
            ids_by_data_centre[entry.data_centre].append(entry.id)
    near = _ring_after(entry_id, ids_by_data_centre.pop(data_centre, []))
    far_centres = _ring_after(data_centre, ids_by_data_centre)
    far = [
        ownership.ranked(entry_id, ids_by_data_centre[centre])[0]
        for centre in far_centres
    ]
    if degree == 1:
        # One ring through all data centres: the last entry of each leads to
        # the first of the next.
        if near and near[0] > entry_id:
            return near[:1]
        return [min(ids_by_data_centre[c]) for c in far_centres[:1]] or near[:1]
    far = far[: degree - min(len(near), degree // 2)]
    return near[: degree - len(far)] + far


def _ring_after(member: str, others: Iterable[str]) -> list[str]:
    return sorted(others, key=lambda other: (other < member, other))


def readers(data_centre: str, entries: Iterable[instances.Entry]) -> list[str]:
    """Return the entries of a data centre that watch the platform."""
    candidates = [
        entry.id
        for entry in entries
        if entry.data_centre == data_centre and entry.state != "leaving"
    ]
    return ownership.ranked("platform readers", candidates)[
        :READERS_PER_DATA_CENTRE
    ]


class _TokenBucket:
    def __init__(self, now_ms: float):
        self._tokens = PLATFORM_BURST
        self._updated_ms = now_ms

    def take(self, now_ms: float) -> float:
        """Take a token and return 0, or return the wait in milliseconds."""
        passed_s = (now_ms - self._updated_ms) / 1000
        self._updated_ms = now_ms
        self._tokens = min(
            PLATFORM_BURST, self._tokens + passed_s * PLATFORM_CALLS_PER_S
        )
        if self._tokens < 1:
            return (1 - self._tokens) / PLATFORM_CALLS_PER_S * 1000
        self._tokens -= 1
        return 0.0


@dataclasses.dataclass(slots=True)
class _Follower:
    """Progress of the platform calls for one document."""

    not_before_ms: float
    failures: int = 0
    # A watch reports only what is newer, so the first call and the first one
    # after a failure read the document as it is.
    must_read: bool = True
    # Separate from the revisions that peers offer: a watch above a wrong one
    # would never return.
    revision: int = 0


@dataclasses.dataclass(slots=True)
class _Fetch:
    """A document being assembled from one announcement.

    Attributes:
        sources: Peers that announced exactly this content; the first one was
            asked for the missing parts.
        unconfirmed: Whether it is unconfirmed at all of them.
    """

    name: str
    revision: int
    digest_by_part: dict[str, str]
    text_by_part: dict[str, str]
    sources: list[str]
    deadline_ms: float
    unconfirmed: bool = False
    size: int = 0

    def matches(self, message: messages.DocumentDigest) -> bool:
        return (
            self.name == message.name
            and self.revision == message.revision
            and self.digest_by_part == message.digest_by_part
        )

    def request(self) -> tuple[str, messages.Message]:
        missing = [
            part
            for part in self.digest_by_part
            if part not in self.text_by_part
        ]
        message = messages.DocumentRequest(self.name, self.revision, missing)
        return self.sources[0], message


def _is_announcement(message: messages.DocumentDigest) -> bool:
    if not store.is_revision(message.revision):
        return False
    if len(message.digest_by_part) > folder.MAX_PARTS:
        return False
    if message.digest:
        return bool(
            not message.digest_by_part and _DIGEST.fullmatch(message.digest)
        )
    return all(
        0 < len(part.encode(errors="replace")) <= folder.MAX_PART_NAME_BYTES
        and _DIGEST.fullmatch(digest)
        for part, digest in message.digest_by_part.items()
    )


def _frames(
    document: base.Document, parts: Iterable[str]
) -> list[messages.DocumentParts]:
    """Return the parts in as few messages as fit into frames."""
    found: list[messages.DocumentParts] = []
    room = 0
    for part in dict.fromkeys(parts):
        text = document.text_by_part.get(part)
        if text is None:
            continue
        size = len(part.encode()) + len(text.encode()) + _PART_OVERHEAD_BYTES
        if size > room:
            found.append(
                messages.DocumentParts(document.name, document.revision, {})
            )
            room = messages.MAX_FRAME_BYTES - _FRAME_OVERHEAD_BYTES
        found[-1].text_by_part[part] = text
        room -= size
    return found


class SpreadCore:
    """Decides what to send to peers and when to call the platform.

    All methods take the time as `now_ms` and those that return an `Outbox`
    expect its messages to be sent in order.

    Args:
        settings: Settings of this entry.
        documents: Documents in force.
        rng: Source of jitter.
        now_ms: Time of the start.
        counters: Receiver of the counts, None when there is none.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        documents: store.DocumentStore,
        rng: random.Random,
        now_ms: float,
        counters: SpreadMetrics | None = None,
    ):
        self._settings = settings
        self._documents = documents
        self._rng = rng
        self._started_ms = now_ms
        self._ticked_ms = now_ms
        self._digest_due_ms = now_ms + rng.uniform(0, DIGEST_MS)
        self._jitter_ms = rng.uniform(0, START_JITTER_MS)
        self._bucket = _TokenBucket(now_ms)
        self._follower_by_name = {
            name: _Follower(now_ms + START_MS) for name in store.NAMES
        }
        self._fetches: list[_Fetch] = []
        self._count_by_fault: collections.Counter[str] = collections.Counter()
        self._counters = counters
        self._neighbours: list[str] = []
        self._asked_ms = now_ms - ASK_MS
        self._is_reader = True

    def _count(self, fault: str) -> None:
        self._count_by_fault[fault] += 1
        if self._counters is not None:
            self._counters.count_spread_fault(fault)

    @property
    def neighbours(self) -> list[str]:
        """Entries that documents are announced to."""
        return list(self._neighbours)

    @property
    def is_reader(self) -> bool:
        """Whether this entry watches the platform."""
        return self._is_reader

    @property
    def is_fetching(self) -> bool:
        """Whether announced documents are on their way from peers."""
        return bool(self._fetches)

    def status(self) -> SpreadStatus:
        """Return the state for operators."""
        return SpreadStatus(
            is_reader=self._is_reader,
            neighbours=tuple(self._neighbours),
            failures_by_name={
                name: follower.failures
                for name, follower in self._follower_by_name.items()
            },
            fetches=len(self._fetches),
            count_by_fault=dict(self._count_by_fault),
        )

    # Peers.

    def on_peers_changed(
        self, entries: Iterable[instances.Entry], now_ms: float
    ) -> Outbox:
        """Take the entries that are believed to be alive.

        Args:
            entries: Listed entries that are not known to be unreachable; may
                contain this entry.
            now_ms: Current time.
        """
        entry_id = self._settings.entry_id
        data_centre = self._settings.data_centre
        entries = list(entries)
        if all(entry.id != entry_id for entry in entries):
            # The list lags behind the start of this entry.
            address = self._settings.address
            entries.append(
                instances.Entry(
                    id=entry_id,
                    address=address,
                    peer_address=self._settings.peer_address,
                    admin_address=self._settings.admin_address,
                    data_centre=data_centre,
                    state="live",
                )
            )
        self._is_reader = entry_id in readers(data_centre, entries)
        known = set(self._neighbours)
        self._neighbours = neighbours(
            entry_id, data_centre, entries, self._settings.spread_degree
        )
        new = [peer for peer in self._neighbours if peer not in known]
        return self._announce(store.NAMES, new)

    def on_peer_linked(self, peer_id: str, now_ms: float) -> Outbox:
        """Exchange digests over a new link, whether to a neighbour or not.

        A replaced entry and a healed partition then need not wait for the next
        resent digest.
        """
        del now_ms
        return self._announce(store.NAMES, [peer_id])

    def on_heartbeat(
        self, peer_id: str, revision: int, now_ms: float
    ) -> Outbox:
        """Ask a peer whose configuration is newer for its digest.

        Announcements go to neighbours only; in a partition an entry may have
        links to peers that know more than all of its neighbours.
        """
        name = base.CONFIGURATION
        if now_ms - self._asked_ms < ASK_MS or not revision:
            return []
        if not self._documents.should_fetch(name, revision):
            return []
        if any(
            f.name == name and f.revision >= revision for f in self._fetches
        ):
            return []
        self._asked_ms = now_ms
        return [(peer_id, messages.DocumentRequest(name, 0, []))]

    def on_peer_lost(self, peer_id: str, now_ms: float) -> Outbox:
        """Fetch from others what a lost peer was asked for.

        The request or its answer was lost with the link, so that the peer has
        to announce the document again before it is asked again.
        """
        outbox: Outbox = []
        for fetch in list(self._fetches):
            outbox += self._drop_source(fetch, peer_id, now_ms)
        return outbox

    def request_digests(self, peers: Iterable[str], now_ms: float) -> Outbox:
        """Ask peers for their digests."""
        del now_ms
        return [
            (peer, messages.DocumentRequest(name, 0, []))
            for peer in peers
            for name in store.NAMES
        ]

    def on_message(
        self, peer_id: str, message: messages.Message, now_ms: float
    ) -> Outbox:
        """Handle a message; ignore those that concern no document."""
        kinds = (
            messages.DocumentDigest
            | messages.DocumentRequest
            | messages.DocumentParts
        )
        if not isinstance(message, kinds):
            return []
        if message.name not in store.NAMES:
            self._count("unknown_name")
            return []
        if isinstance(message, messages.DocumentDigest):
            return self._on_digest(peer_id, message, now_ms)
        if isinstance(message, messages.DocumentRequest):
            return self._on_request(peer_id, message)
        return self._on_parts(peer_id, message, now_ms)

    def _announcement(self, name: str) -> messages.Message:
        document = self._documents.document(name)
        if document is None:
            # A request for no part asks for the digest.
            return messages.DocumentRequest(name, 0, [])
        return messages.DocumentDigest(
            name,
            document.revision,
            dict(self._documents.digest_by_part(name)),
            self._documents.is_unconfirmed(name),
        )

    def _summary(self, name: str) -> messages.Message:
        """Return the announcement, without its parts when they are many."""
        message = self._announcement(name)
        if (
            isinstance(message, messages.DocumentDigest)
            and len(message.digest_by_part) > MAX_ANNOUNCED_PARTS
        ):
            message.digest_by_part = {}
            message.digest = self._documents.digest(name)
        return message

    def _announce(self, names: Iterable[str], peers: Iterable[str]) -> Outbox:
        found = [self._summary(name) for name in names]
        return [(peer, message) for peer in peers for message in found]

    def _on_digest(
        self, peer_id: str, message: messages.DocumentDigest, now_ms: float
    ) -> Outbox:
        if not _is_announcement(message):
            self._count("malformed_digest")
            return []
        if message.digest:
            return self._on_summary(peer_id, message)
        outbox = self._leave_fetches(peer_id, message, now_ms)
        verdict = self._documents.assess(
            message.name,
            message.revision,
            message.digest_by_part,
            peer_id,
            unconfirmed=message.unconfirmed,
        )
        if verdict is store.Verdict.OLDER:
            return outbox + self._announce([message.name], [peer_id])
        if verdict is not None:
            return outbox
        for fetch in self._fetches:
            if fetch.matches(message):
                if peer_id not in fetch.sources:
                    fetch.sources.append(peer_id)
                fetch.unconfirmed &= message.unconfirmed
                return outbox
        fetch = _Fetch(
            name=message.name,
            revision=message.revision,
            digest_by_part=dict(message.digest_by_part),
            text_by_part=self._known_texts(message),
            sources=[peer_id],
            deadline_ms=now_ms + FETCH_TIMEOUT_MS,
            unconfirmed=message.unconfirmed,
        )
        self._fetches.append(fetch)
        if len(fetch.text_by_part) == len(fetch.digest_by_part):
            return outbox + self._finish(fetch, peer_id)
        return [*outbox, fetch.request()]

    def _on_summary(
        self, peer_id: str, message: messages.DocumentDigest
    ) -> Outbox:
        """Ask for the digests of the parts when the document is news."""
        name = message.name
        document = self._documents.document(name)
        own_revision = 0 if document is None else document.revision
        if message.revision < own_revision:
            return self._announce([name], [peer_id])
        if message.revision > own_revision:
            if not self._documents.should_fetch(name, message.revision):
                return []
            if any(
                (f.name, f.revision) == (name, message.revision)
                for f in self._fetches
            ):
                # Asked for already; when that fails, the next announcement of
                # any neighbour starts again.
                return []
        elif message.digest == self._documents.digest(name):
            self._documents.assess(
                name,
                message.revision,
                self._documents.digest_by_part(name),
                peer_id,
                unconfirmed=message.unconfirmed,
            )
            return []
        return [(peer_id, messages.DocumentRequest(name, 0, []))]

    def _known_texts(self, message: messages.DocumentDigest) -> dict[str, str]:
        """Return the parts that the document in force already has."""
        document = self._documents.document(message.name)
        known = self._documents.digest_by_part(message.name)
        return {
            part: document.text_by_part[part]
            for part, digest in message.digest_by_part.items()
            if known.get(part) == digest
        }

    def _leave_fetches(
        self, peer_id: str, message: messages.DocumentDigest, now_ms: float
    ) -> Outbox:
        """Drop a peer as source of what it no longer announces.

        Each peer is then the source of one fetch for each document at most,
        which bounds their number.
        """
        outbox: Outbox = []
        for fetch in list(self._fetches):
            if fetch.name == message.name and not fetch.matches(message):
                outbox += self._drop_source(fetch, peer_id, now_ms)
        return outbox

    def _drop_source(
        self, fetch: _Fetch, peer_id: str, now_ms: float
    ) -> Outbox:
        if peer_id not in fetch.sources:
            return []
        was_asked = fetch.sources[0] == peer_id
        fetch.sources.remove(peer_id)
        if not fetch.sources:
            self._fetches.remove(fetch)
            return []
        if not was_asked:
            return []
        fetch.deadline_ms = now_ms + FETCH_TIMEOUT_MS
        return [fetch.request()]

    def _on_request(
        self, peer_id: str, message: messages.DocumentRequest
    ) -> Outbox:
        document = self._documents.document(message.name)
        if document is None:
            return []
        if message.parts and message.revision == document.revision:
            frames = _frames(document, message.parts)
            return [(peer_id, frame) for frame in frames]
        if message.parts and message.revision > document.revision:
            self._count("unknown_revision")
            return []
        return [(peer_id, self._announcement(message.name))]

    def _on_parts(
        self, peer_id: str, message: messages.DocumentParts, now_ms: float
    ) -> Outbox:
        for fetch in self._fetches:
            if (
                fetch.name == message.name
                and fetch.revision == message.revision
                and peer_id in fetch.sources
            ):
                break
        else:
            # Late parts of a document that came from another peer.
            self._count("unexpected_parts")
            return []
        for part, text in message.text_by_part.items():
            if part in fetch.text_by_part:
                continue
            raw = text.encode(errors="replace")
            digest = xxhash.xxh3_128_hexdigest(raw)
            if fetch.digest_by_part.get(part) != digest:
                self._count("digest_mismatch")
                return self._drop_source(fetch, peer_id, now_ms)
            fetch.size += len(raw)
            if fetch.size > folder.MAX_DOCUMENT_BYTES:
                self._count("document_too_large")
                self._fetches.remove(fetch)
                return []
            fetch.text_by_part[part] = text
            fetch.deadline_ms = now_ms + FETCH_TIMEOUT_MS
        if len(fetch.text_by_part) < len(fetch.digest_by_part):
            return []
        return self._finish(fetch, peer_id)

    def _finish(self, fetch: _Fetch, peer_id: str) -> Outbox:
        # Subscribers of the store's events may call this object again, so the
        # fetch is removed first.
        self._fetches.remove(fetch)
        document = base.Document(
            fetch.name, fetch.revision, dict(sorted(fetch.text_by_part.items()))
        )
        return self._offer(document, peer_id, unconfirmed=fetch.unconfirmed)

    def _offer(
        self, document: base.Document, source: str, *, unconfirmed: bool = False
    ) -> Outbox:
        decision = self._documents.offer(
            document, source, unconfirmed=unconfirmed
        )
        if decision.verdict is not store.Verdict.ADOPTED:
            return []
        self._fetches = [
            fetch
            for fetch in self._fetches
            if fetch.name != document.name or fetch.revision > document.revision
        ]
        peers = [peer for peer in self._neighbours if peer != source]
        return self._announce([document.name], peers)

    def tick(self, now_ms: float) -> Outbox:
        """Resend digests and give up on silent peers; call every `TICK_MS`."""
        outbox: Outbox = []
        if now_ms - self._ticked_ms > PAUSE_MS:
            # What this entry believes may be outdated, so it asks at once.
            outbox += self.request_digests(self._neighbours, now_ms)
        self._ticked_ms = now_ms
        for fetch in list(self._fetches):
            if now_ms >= fetch.deadline_ms:
                self._count("fetch_timeout")
                outbox += self._drop_source(fetch, fetch.sources[0], now_ms)
        if now_ms >= self._digest_due_ms:
            self._digest_due_ms = now_ms + DIGEST_MS
            outbox += self._announce(store.NAMES, self._neighbours)
        return outbox

    # Platform.

    def next_platform_call(self, name: str, now_ms: float) -> PlatformCall:
        """Return what to do next about a document of the platform.

        A call that is returned counts against the rate limit and must be
        followed by `on_platform_document` or `on_platform_failure`.
        """
        follower = self._follower_by_name[name]
        document = self._documents.document(name)
        not_before_ms = follower.not_before_ms
        if not self._is_reader:
            if document is not None:
                return PlatformCall(PlatformCallKind.WAIT, delay_ms=POLL_MS)
            not_before_ms = max(
                not_before_ms, self._started_ms + START_MS + self._jitter_ms
            )
        delay_ms = not_before_ms - now_ms
        if delay_ms <= 0:
            delay_ms = self._bucket.take(now_ms)
        if delay_ms > 0:
            return PlatformCall(PlatformCallKind.WAIT, delay_ms=delay_ms)
        if follower.must_read:
            return PlatformCall(PlatformCallKind.READ)
        after = follower.revision
        if document is not None:
            after = max(after, document.revision)
        return PlatformCall(PlatformCallKind.WATCH, after=after)

    def on_platform_failure(self, name: str, now_ms: float) -> None:
        """Back off after a failed call, with full jitter."""
        self._count("platform_failure")
        follower = self._follower_by_name[name]
        longest_ms = min(
            BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** min(follower.failures, 10)
        )
        follower.failures += 1
        follower.must_read = True
        follower.not_before_ms = now_ms + self._rng.uniform(0, longest_ms)

    def on_platform_document(
        self, name: str, document: base.Document | None, now_ms: float
    ) -> Outbox:
        """Take the result of a read, or of a watch, which may be None."""
        follower = self._follower_by_name[name]
        if document is None:
            follower.failures = 0
            return []
        if document.name != name or not store.is_revision(document.revision):
            self.on_platform_failure(name, now_ms)
            return []
        follower.failures = 0
        follower.must_read = False
        follower.revision = max(follower.revision, document.revision)
        return self._offer(document, store.PLATFORM)


class Spread:
    """Runs a `SpreadCore` on the event loop.

    Args:
        settings: Settings of this entry.
        platform: Reader of the platform service.
        documents: Documents in force.
        send: Sends a message to a linked peer; drops it when there is no link.
        clock: Source of time.
        rng: Source of jitter; a seeded one makes a run repeatable.
        counters: Receiver of the counts, None when there is none.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        platform: base.Platform,
        documents: store.DocumentStore,
        send: Callable[[str, messages.Message], None],
        clock: clocks.Clock,
        rng: random.Random | None = None,
        counters: SpreadMetrics | None = None,
    ):
        self._platform = platform
        self._send = send
        self._clock = clock
        self._counters = counters
        self._core = SpreadCore(
            settings,
            documents,
            rng or random.Random(),
            clock.now_ms(),
            counters,
        )
        self._tasks: list[asyncio.Task] = []

    @property
    def neighbours(self) -> list[str]:
        """Entries that documents are announced to, for keeping links."""
        return self._core.neighbours

    @property
    def is_fetching(self) -> bool:
        """Whether announced documents are on their way from peers."""
        return self._core.is_fetching

    def status(self) -> SpreadStatus:
        """Return the state for operators."""
        return self._core.status()

    async def start(self) -> None:
        """Start to watch the platform and to announce documents."""
        self._tasks = [
            asyncio.create_task(self._follow(name)) for name in store.NAMES
        ]
        self._tasks.append(asyncio.create_task(self._tick()))

    async def stop(self) -> None:
        """Stop; calls that are under way are cancelled."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def on_message(self, peer_id: str, message: messages.Message) -> None:
        """Handle a message from a peer."""
        self._run(self._core.on_message, peer_id, message)

    def on_peers_changed(self, entries: Iterable[instances.Entry]) -> None:
        """Take the entries that are believed to be alive."""
        self._run(self._core.on_peers_changed, entries)

    def on_peer_linked(self, peer_id: str) -> None:
        """Exchange digests over a new link."""
        self._run(self._core.on_peer_linked, peer_id)

    def on_heartbeat(self, peer_id: str, revision: int) -> None:
        """Take the revision of the configuration of a peer."""
        self._run(self._core.on_heartbeat, peer_id, revision)

    def on_peer_lost(self, peer_id: str) -> None:
        """Fetch from others what a lost peer was asked for."""
        self._run(self._core.on_peer_lost, peer_id)

    def request_digests(self, peers: Iterable[str]) -> None:
        """Ask peers for their digests."""
        self._run(self._core.request_digests, peers)

    def _run(self, method: Callable[..., Outbox], *args: object) -> None:
        # A fault in a subscriber of an adopted document must end neither the
        # watch of the platform nor the link that delivered the document.
        try:
            outbox = method(*args, self._clock.now_ms())
            for peer_id, message in outbox:
                self._send(peer_id, message)
        except Exception:
            _LOGGER.exception("spread_failed")

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            self._run(self._core.tick)

    async def _follow(self, name: str) -> None:
        while True:
            call = self._core.next_platform_call(name, self._clock.now_ms())
            if call.kind is PlatformCallKind.WAIT:
                await asyncio.sleep(min(call.delay_ms, POLL_MS) / 1000)
                continue
            if self._counters is not None:
                self._counters.count_platform_call()
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    if call.kind is PlatformCallKind.READ:
                        document = await self._platform.read(name)
                    else:
                        document = await self._platform.watch(
                            name, call.after, WATCH_S
                        )
            except Exception as err:
                # Whatever a platform reader raises, the watch has to go on.
                _LOGGER.warning("platform_failed", name=name, error=repr(err))
                self._core.on_platform_failure(name, self._clock.now_ms())
            else:
                self._run(self._core.on_platform_document, name, document)
