"""Distribute documents from the platform and between entries.

A few entries of each data centre watch the platform. Every entry announces the
digests of its documents to its neighbours, which fetch missing parts from it.

`SpreadCore` decides what to send and when to query the platform, without I/O
and without a clock. `Spread` runs it on the event loop.
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
WATCH_WAIT_S = 20.0
# A platform that accepts the connection but does not respond counts as failed.
CALL_TIMEOUT_S = WATCH_WAIT_S + 5
# Delay of the first request to the platform. Peers respond within milliseconds,
# so a replaced entry rarely needs that request.
STARTUP_DELAY_MS = 1000
# Random delay that spreads the first reads of entries that are not readers, as
# the whole fleet may start at once.
STARTUP_JITTER_MS = 1000
BACKOFF_MIN_MS = 500
BACKOFF_MAX_MS = 30_000
# The two documents change 0.15 times a second in total, and the platform serves
# 2,000 requests/s for all readers together.
PLATFORM_CALLS_PER_S = 2.0
PLATFORM_BURST = 4.0
DIGEST_INTERVAL_MS = 2000
# A document of more parts is announced without their digests. For 530 parts
# these would take 73 KB/s, while control traffic is limited to 7 KB/s.
MAX_ANNOUNCED_PARTS = 8
FETCH_TIMEOUT_MS = 1000
# Minimum interval between digest requests that heartbeats trigger. A change
# normally reaches all entries through neighbours within tens of milliseconds
# and needs no such request.
DIGEST_REQUEST_INTERVAL_MS = 200
# A longer interval between ticks means that the process was paused.
PAUSE_THRESHOLD_MS = 1000
TICK_INTERVAL_MS = 100
# Upper limit of the delay until a change of readers takes effect.
POLL_INTERVAL_MS = 500
# CBOR headers of a part and of a frame with its name and revision.
_PART_OVERHEAD_BYTES = 10
_FRAME_OVERHEAD_BYTES = 128

_DIGEST = re.compile(r"[0-9a-f]{32}")
_LOG = logs.get_logger(__name__)

Outbox = list[tuple[str, messages.Message]]


class SpreadMetrics(Protocol):
    """Receiver of the counts of document distribution."""

    def count_platform_call(self) -> None:
        """Count a request to the platform."""
        ...

    def count_spread_fault(self, kind: str) -> None:
        """Count a fault of a peer or the platform."""
        ...


class PlatformCallKind(enum.StrEnum):
    """Kind of the next request to the platform."""

    WAIT = "wait"
    READ = "read"
    WATCH = "watch"


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCall:
    """Next request to the platform, or the delay before it.

    Attributes:
        kind: Whether to wait, read or watch.
        after: Revision above which a watch returns.
        delay_ms: Delay before `next_platform_call` is called again.
    """

    kind: PlatformCallKind
    after: int = 0
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadStatus:
    """State of document distribution for operators.

    Attributes:
        is_reader: Whether this entry watches the platform.
        neighbours: Entries that documents are announced to.
        failures_by_name: Consecutive failed platform requests by document.
        fetches: Number of documents being fetched from peers.
        count_by_fault: Number of faults of peers and the platform by kind.
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

    At least one is the successor in the ring of the local data centre. With a
    degree of 2 or more, at least one is in the next data centre. Announcements
    therefore reach every entry.

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
    local = _ring_successors(entry_id, ids_by_data_centre.pop(data_centre, []))
    remote_centres = _ring_successors(data_centre, ids_by_data_centre)
    remote = [
        ownership.ranked(entry_id, ids_by_data_centre[centre])[0]
        for centre in remote_centres
    ]
    if degree == 1:
        # A single ring spans all data centres: the last entry of each announces
        # to the first entry of the next.
        if local and local[0] > entry_id:
            return local[:1]
        return [
            min(ids_by_data_centre[c]) for c in remote_centres[:1]
        ] or local[:1]
    remote = remote[: degree - min(len(local), degree // 2)]
    return local[: degree - len(remote)] + remote


def _ring_successors(member: str, others: Iterable[str]) -> list[str]:
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

    def consume(self, now_ms: float) -> float:
        """Consume a token and return 0, or return the wait in milliseconds."""
        elapsed_s = (now_ms - self._updated_ms) / 1000
        self._updated_ms = now_ms
        self._tokens = min(
            PLATFORM_BURST, self._tokens + elapsed_s * PLATFORM_CALLS_PER_S
        )
        if self._tokens < 1:
            return (1 - self._tokens) / PLATFORM_CALLS_PER_S * 1000
        self._tokens -= 1
        return 0.0


@dataclasses.dataclass(slots=True)
class _PlatformWatch:
    """State of the platform requests for one document."""

    not_before_ms: float
    failures: int = 0
    # A watch returns only newer documents, so the first request and the first
    # one after a failure are reads.
    must_read: bool = True
    # Highest revision that the platform returned. Revisions that peers announce
    # are not included, as a watch above a wrong one would never return.
    revision: int = 0


@dataclasses.dataclass(slots=True)
class _Fetch:
    """A document being assembled from one announcement.

    Attributes:
        sources: Peers that announced exactly this content; missing parts are
            requested from the first one.
        unconfirmed: Whether all sources announced it as unconfirmed.
    """

    name: str
    revision: int
    digest_by_part: dict[str, str]
    text_by_part: dict[str, str]
    sources: list[str]
    deadline_ms: float
    unconfirmed: bool = False
    received_bytes: int = 0

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


def _is_valid_announcement(message: messages.DocumentDigest) -> bool:
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


def _pack_parts(
    document: base.Document, parts: Iterable[str]
) -> list[messages.DocumentParts]:
    """Return the parts packed into messages that each fit into one frame."""
    packed: list[messages.DocumentParts] = []
    free_bytes = 0
    for part in dict.fromkeys(parts):
        text = document.text_by_part.get(part)
        if text is None:
            continue
        size = len(part.encode()) + len(text.encode()) + _PART_OVERHEAD_BYTES
        if size > free_bytes:
            packed.append(
                messages.DocumentParts(document.name, document.revision, {})
            )
            free_bytes = messages.MAX_FRAME_BYTES - _FRAME_OVERHEAD_BYTES
        packed[-1].text_by_part[part] = text
        free_bytes -= size
    return packed


class SpreadCore:
    """Decides what to send to peers and when to query the platform.

    All methods take the time as `now_ms`. The caller sends the messages of a
    returned `Outbox` in order.

    Args:
        settings: Settings of this entry.
        documents: Active documents.
        rng: Random source of jitter.
        now_ms: Current time.
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
        self._last_tick_ms = now_ms
        self._digest_due_ms = now_ms + rng.uniform(0, DIGEST_INTERVAL_MS)
        self._jitter_ms = rng.uniform(0, STARTUP_JITTER_MS)
        self._token_bucket = _TokenBucket(now_ms)
        self._watch_by_name = {
            name: _PlatformWatch(now_ms + STARTUP_DELAY_MS)
            for name in store.NAMES
        }
        self._fetches: list[_Fetch] = []
        self._count_by_fault: collections.Counter[str] = collections.Counter()
        self._counters = counters
        self._neighbours: list[str] = []
        self._digest_requested_ms = now_ms - DIGEST_REQUEST_INTERVAL_MS
        self._is_reader = True

    def _count_fault(self, fault: str) -> None:
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
        """Whether announced documents are being fetched from peers."""
        return bool(self._fetches)

    def status(self) -> SpreadStatus:
        """Return the state for operators."""
        return SpreadStatus(
            is_reader=self._is_reader,
            neighbours=tuple(self._neighbours),
            failures_by_name={
                name: watch.failures
                for name, watch in self._watch_by_name.items()
            },
            fetches=len(self._fetches),
            count_by_fault=dict(self._count_by_fault),
        )

    # Peers.

    def on_peers_changed(
        self, entries: Iterable[instances.Entry], now_ms: float
    ) -> Outbox:
        """Update neighbours and readers from the entries considered alive.

        Args:
            entries: Listed entries that are not known to be unreachable; may
                contain this entry.
            now_ms: Current time.

        Returns:
            Announcements to new neighbours.
        """
        entry_id = self._settings.entry_id
        data_centre = self._settings.data_centre
        entries = list(entries)
        if all(entry.id != entry_id for entry in entries):
            # The published list does not contain this entry yet.
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
        previous = set(self._neighbours)
        self._neighbours = neighbours(
            entry_id, data_centre, entries, self._settings.spread_degree
        )
        added = [peer for peer in self._neighbours if peer not in previous]
        return self._announce(store.NAMES, added)

    def on_peer_linked(self, peer_id: str, now_ms: float) -> Outbox:
        """Announce the documents over a new link, to a neighbour or not.

        After a partition or the replacement of an entry, peers then do not
        wait for the next periodic announcement.
        """
        del now_ms
        return self._announce(store.NAMES, [peer_id])

    def on_heartbeat(
        self, peer_id: str, revision: int, now_ms: float
    ) -> Outbox:
        """Request the digest of a peer whose configuration is newer.

        Announcements are sent to neighbours only, but during a partition an
        entry may have links to peers that are ahead of all its neighbours.
        """
        name = base.CONFIGURATION
        if (
            now_ms - self._digest_requested_ms < DIGEST_REQUEST_INTERVAL_MS
            or not revision
        ):
            return []
        if not self._documents.should_fetch(name, revision):
            return []
        if any(
            f.name == name and f.revision >= revision for f in self._fetches
        ):
            return []
        self._digest_requested_ms = now_ms
        return [(peer_id, messages.DocumentRequest(name, 0, []))]

    def on_peer_lost(self, peer_id: str, now_ms: float) -> Outbox:
        """Request parts from other sources in place of a lost peer.

        The request or its response was lost with the link, so the peer has to
        announce the document again before it becomes a source again.
        """
        outbox: Outbox = []
        for fetch in list(self._fetches):
            outbox += self._drop_source(fetch, peer_id, now_ms)
        return outbox

    def request_digests(self, peers: Iterable[str], now_ms: float) -> Outbox:
        """Return requests for the digests of peers."""
        del now_ms
        return [
            (peer, messages.DocumentRequest(name, 0, []))
            for peer in peers
            for name in store.NAMES
        ]

    def on_message(
        self, peer_id: str, message: messages.Message, now_ms: float
    ) -> Outbox:
        """Handle a message; ignore those that are not about documents."""
        kinds = (
            messages.DocumentDigest
            | messages.DocumentRequest
            | messages.DocumentParts
        )
        if not isinstance(message, kinds):
            return []
        if message.name not in store.NAMES:
            self._count_fault("unknown_name")
            return []
        if isinstance(message, messages.DocumentDigest):
            return self._on_digest(peer_id, message, now_ms)
        if isinstance(message, messages.DocumentRequest):
            return self._on_request(peer_id, message)
        return self._on_parts(peer_id, message, now_ms)

    def _announcement(self, name: str) -> messages.Message:
        document = self._documents.document(name)
        if document is None:
            # A request without parts is a request for the digest.
            return messages.DocumentRequest(name, 0, [])
        return messages.DocumentDigest(
            name,
            document.revision,
            dict(self._documents.digest_by_part(name)),
            self._documents.is_unconfirmed(name),
        )

    def _short_announcement(self, name: str) -> messages.Message:
        """Return an announcement that omits the digests of many parts."""
        message = self._announcement(name)
        if (
            isinstance(message, messages.DocumentDigest)
            and len(message.digest_by_part) > MAX_ANNOUNCED_PARTS
        ):
            message.digest_by_part = {}
            message.digest = self._documents.digest(name)
        return message

    def _announce(self, names: Iterable[str], peers: Iterable[str]) -> Outbox:
        found = [self._short_announcement(name) for name in names]
        return [(peer, message) for peer in peers for message in found]

    def _on_digest(
        self, peer_id: str, message: messages.DocumentDigest, now_ms: float
    ) -> Outbox:
        if not _is_valid_announcement(message):
            self._count_fault("malformed_digest")
            return []
        if message.digest:
            return self._on_short_announcement(peer_id, message)
        outbox = self._drop_outdated_sources(peer_id, message, now_ms)
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
            text_by_part=self._unchanged_texts(message),
            sources=[peer_id],
            deadline_ms=now_ms + FETCH_TIMEOUT_MS,
            unconfirmed=message.unconfirmed,
        )
        self._fetches.append(fetch)
        if len(fetch.text_by_part) == len(fetch.digest_by_part):
            return outbox + self._complete_fetch(fetch, peer_id)
        return [*outbox, fetch.request()]

    def _on_short_announcement(
        self, peer_id: str, message: messages.DocumentDigest
    ) -> Outbox:
        """Request the digests of the parts when the document is newer."""
        name = message.name
        document = self._documents.document(name)
        local_revision = 0 if document is None else document.revision
        if message.revision < local_revision:
            return self._announce([name], [peer_id])
        if message.revision > local_revision:
            if not self._documents.should_fetch(name, message.revision):
                return []
            if any(
                (f.name, f.revision) == (name, message.revision)
                for f in self._fetches
            ):
                # The document is already being fetched. If that fails, the next
                # announcement of any neighbour starts a new fetch.
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

    def _unchanged_texts(
        self, message: messages.DocumentDigest
    ) -> dict[str, str]:
        """Return the announced parts that the active document already has."""
        document = self._documents.document(message.name)
        known = self._documents.digest_by_part(message.name)
        return {
            part: document.text_by_part[part]
            for part, digest in message.digest_by_part.items()
            if known.get(part) == digest
        }

    def _drop_outdated_sources(
        self, peer_id: str, message: messages.DocumentDigest, now_ms: float
    ) -> Outbox:
        """Remove a peer from the sources of what it no longer announces.

        Each peer is then the source of at most one fetch for each document,
        which bounds the number of fetches.
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
        was_requested = fetch.sources[0] == peer_id
        fetch.sources.remove(peer_id)
        if not fetch.sources:
            self._fetches.remove(fetch)
            return []
        if not was_requested:
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
            frames = _pack_parts(document, message.parts)
            return [(peer_id, frame) for frame in frames]
        if message.parts and message.revision > document.revision:
            self._count_fault("unknown_revision")
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
            # For example, late parts of a document that was already completed
            # by another peer.
            self._count_fault("unexpected_parts")
            return []
        for part, text in message.text_by_part.items():
            if part in fetch.text_by_part:
                continue
            raw = text.encode(errors="replace")
            digest = xxhash.xxh3_128_hexdigest(raw)
            if fetch.digest_by_part.get(part) != digest:
                self._count_fault("digest_mismatch")
                return self._drop_source(fetch, peer_id, now_ms)
            fetch.received_bytes += len(raw)
            if fetch.received_bytes > folder.MAX_DOCUMENT_BYTES:
                self._count_fault("document_too_large")
                self._fetches.remove(fetch)
                return []
            fetch.text_by_part[part] = text
            fetch.deadline_ms = now_ms + FETCH_TIMEOUT_MS
        if len(fetch.text_by_part) < len(fetch.digest_by_part):
            return []
        return self._complete_fetch(fetch, peer_id)

    def _complete_fetch(self, fetch: _Fetch, peer_id: str) -> Outbox:
        # The fetch is removed first, because subscribers of the store's events
        # may call this object again.
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
        """Announce periodically and time out fetches.

        Has to be called every `TICK_INTERVAL_MS`.
        """
        outbox: Outbox = []
        if now_ms - self._last_tick_ms > PAUSE_THRESHOLD_MS:
            # Documents may have changed during the pause.
            outbox += self.request_digests(self._neighbours, now_ms)
        self._last_tick_ms = now_ms
        for fetch in list(self._fetches):
            if now_ms >= fetch.deadline_ms:
                self._count_fault("fetch_timeout")
                outbox += self._drop_source(fetch, fetch.sources[0], now_ms)
        if now_ms >= self._digest_due_ms:
            self._digest_due_ms = now_ms + DIGEST_INTERVAL_MS
            outbox += self._announce(store.NAMES, self._neighbours)
        return outbox

    # Platform.

    def next_platform_call(self, name: str, now_ms: float) -> PlatformCall:
        """Return the next request to the platform for a document.

        A returned read or watch counts against the rate limit and must be
        followed by `on_platform_document` or `on_platform_failure`.
        """
        watch = self._watch_by_name[name]
        document = self._documents.document(name)
        not_before_ms = watch.not_before_ms
        if not self._is_reader:
            if document is not None:
                return PlatformCall(
                    PlatformCallKind.WAIT, delay_ms=POLL_INTERVAL_MS
                )
            not_before_ms = max(
                not_before_ms,
                self._started_ms + STARTUP_DELAY_MS + self._jitter_ms,
            )
        delay_ms = not_before_ms - now_ms
        if delay_ms <= 0:
            delay_ms = self._token_bucket.consume(now_ms)
        if delay_ms > 0:
            return PlatformCall(PlatformCallKind.WAIT, delay_ms=delay_ms)
        if watch.must_read:
            return PlatformCall(PlatformCallKind.READ)
        after = watch.revision
        if document is not None:
            after = max(after, document.revision)
        return PlatformCall(PlatformCallKind.WATCH, after=after)

    def on_platform_failure(self, name: str, now_ms: float) -> None:
        """Back off exponentially after a failed request, with full jitter."""
        self._count_fault("platform_failure")
        watch = self._watch_by_name[name]
        max_delay_ms = min(
            BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** min(watch.failures, 10)
        )
        watch.failures += 1
        watch.must_read = True
        watch.not_before_ms = now_ms + self._rng.uniform(0, max_delay_ms)

    def on_platform_document(
        self, name: str, document: base.Document | None, now_ms: float
    ) -> Outbox:
        """Handle the result of a read or watch; a watch may return None."""
        watch = self._watch_by_name[name]
        if document is None:
            watch.failures = 0
            return []
        if document.name != name or not store.is_revision(document.revision):
            self.on_platform_failure(name, now_ms)
            return []
        watch.failures = 0
        watch.must_read = False
        watch.revision = max(watch.revision, document.revision)
        return self._offer(document, store.PLATFORM)


class Spread:
    """Runs a `SpreadCore` on the event loop.

    Args:
        settings: Settings of this entry.
        platform: Reader of the platform service.
        documents: Active documents.
        send: Sends a message to a linked peer; drops it when there is no link.
        clock: Source of time.
        rng: Random source of jitter; a seeded one makes a run reproducible.
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
        """Whether announced documents are being fetched from peers."""
        return self._core.is_fetching

    def status(self) -> SpreadStatus:
        """Return the state for operators."""
        return self._core.status()

    async def start(self) -> None:
        """Start to watch the platform and to announce documents."""
        self._tasks = [
            asyncio.create_task(self._watch_platform(name))
            for name in store.NAMES
        ]
        self._tasks.append(asyncio.create_task(self._tick()))

    async def stop(self) -> None:
        """Stop and cancel requests in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def on_message(self, peer_id: str, message: messages.Message) -> None:
        """Handle a message from a peer."""
        self._run(self._core.on_message, peer_id, message)

    def on_peers_changed(self, entries: Iterable[instances.Entry]) -> None:
        """Update neighbours and readers from the entries considered alive."""
        self._run(self._core.on_peers_changed, entries)

    def on_peer_linked(self, peer_id: str) -> None:
        """Announce the documents over a new link."""
        self._run(self._core.on_peer_linked, peer_id)

    def on_heartbeat(self, peer_id: str, revision: int) -> None:
        """Request the digest of a peer whose configuration is newer."""
        self._run(self._core.on_heartbeat, peer_id, revision)

    def on_peer_lost(self, peer_id: str) -> None:
        """Request parts from other sources in place of a lost peer."""
        self._run(self._core.on_peer_lost, peer_id)

    def request_digests(self, peers: Iterable[str]) -> None:
        """Request the digests of peers."""
        self._run(self._core.request_digests, peers)

    def _run(self, method: Callable[..., Outbox], *args: object) -> None:
        # An exception in a subscriber of an adopted document must not end the
        # watch of the platform or the link that delivered the document.
        try:
            outbox = method(*args, self._clock.now_ms())
            for peer_id, message in outbox:
                self._send(peer_id, message)
        except Exception:
            _LOG.exception("spread_failed")

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            self._run(self._core.tick)

    async def _watch_platform(self, name: str) -> None:
        while True:
            call = self._core.next_platform_call(name, self._clock.now_ms())
            if call.kind is PlatformCallKind.WAIT:
                await asyncio.sleep(min(call.delay_ms, POLL_INTERVAL_MS) / 1000)
                continue
            if self._counters is not None:
                self._counters.count_platform_call()
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    if call.kind is PlatformCallKind.READ:
                        document = await self._platform.read(name)
                    else:
                        document = await self._platform.watch(
                            name, call.after, WATCH_WAIT_S
                        )
            except Exception as err:
                # The watch has to continue after any exception of the reader.
                _LOG.warning("platform_failed", name=name, error=repr(err))
                self._core.on_platform_failure(name, self._clock.now_ms())
            else:
                self._run(self._core.on_platform_document, name, document)
