"""Tests of document distribution, mostly in a simulated network."""

import asyncio
import heapq
import random

import hypothesis
from hypothesis import strategies
import pytest

from slatechute import errors
from slatechute import events
from slatechute import messages
from slatechute import settings as entry_settings
from slatechute.configuration import folder
from slatechute.configuration import instances
from slatechute.configuration import spread
from slatechute.configuration import store
from slatechute.platforms import base
from slatechute.util import clock as clocks

_NAME = base.CONFIGURATION
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100
)


def _entry(entry_id, data_centre="d1", state="live"):
    return instances.Entry(entry_id, "h:1", "h:2", "h:3", data_centre, state)


def _document(revision, valid=True, parts=3):
    # Only the last part changes with the revision.
    text_by_part = {
        f"{n}.toml": f"services.s{n}.slots = 1" for n in range(parts)
    }
    text_by_part["x.toml"] = f"fleet.keep_ms = {1000 + revision}"
    if not valid:
        text_by_part["y.toml"] = "unknown = 1"
    return base.Document(_NAME, revision, text_by_part)


def _digest(document, unconfirmed=False):
    return messages.DocumentDigest(
        document.name, document.revision, document.digest_by_part, unconfirmed
    )


def _core(entry_id="e1", data_centre="d1", **options):
    settings = entry_settings.EntrySettings(
        entry_id=entry_id,
        data_centre=data_centre,
        fleet_key="k" * 16,
        **options,
    )
    documents = store.DocumentStore(events.EventBus())
    rng = random.Random(entry_id)
    return spread.SpreadCore(settings, documents, rng, 0), documents


class _Network:
    """Cores that exchange frames with loss, delay, corruption and partition."""

    def __init__(self, entries, seed):
        self.rng = random.Random(seed)
        self.entries = entries
        self.now_ms = 0
        self.loss = self.corruption = 0.0
        self.max_delay_ms = 5
        self.is_split = False
        self.platform = {}  # Published documents by revision.
        self.staleness = {entry.id: 0 for entry in entries}
        self.is_platform_up = True
        self.platform_callers = set()
        self._frames = []
        self._core_by_id, self._documents_by_id = {}, {}
        for entry in entries:
            core, documents = _core(entry.id, entry.data_centre)
            self._core_by_id[entry.id] = core
            self._documents_by_id[entry.id] = documents
            self._send(entry.id, core.on_peers_changed(entries, 0))

    def revisions(self):
        found = [d.document(_NAME) for d in self._documents_by_id.values()]
        return [document and document.revision for document in found]

    def _send(self, sender, outbox):
        for peer, message in outbox:
            frame = messages.encode(message)
            assert len(frame) <= messages.MAX_FRAME_BYTES
            if self.is_split and (sender < "e3") != (peer < "e3"):
                continue
            if self.rng.random() >= self.loss:
                due = self.now_ms + self.rng.uniform(0, self.max_delay_ms)
                item = (due, self.rng.random(), sender, peer, frame)
                heapq.heappush(self._frames, item)

    def _receive(self, sender, peer, frame):
        message = messages.decode(frame)
        texts = getattr(message, "text_by_part", None)
        if texts and self.rng.random() < self.corruption:
            texts[next(iter(texts))] = "fleet.keep_ms = 7777"
        core = self._core_by_id[peer]
        self._send(peer, core.on_message(sender, message, self.now_ms))

    def _call_platform(self, entry_id, core):
        call = core.next_platform_call(_NAME, self.now_ms)
        if call.kind is spread.PlatformCallKind.WAIT:
            return
        self.platform_callers.add(entry_id)
        newest = max(self.platform, default=0) - self.staleness[entry_id]
        found = [r for r in self.platform if r <= newest]
        if not self.is_platform_up or not found:
            core.on_platform_failure(_NAME, self.now_ms)
            return
        document = self.platform[max(found)]
        if call.kind is spread.PlatformCallKind.WATCH:
            document = document if document.revision > call.after else None
        self._send(
            entry_id, core.on_platform_document(_NAME, document, self.now_ms)
        )

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += spread.TICK_INTERVAL_MS
            before = self.revisions()
            for entry_id, core in self._core_by_id.items():
                self._send(entry_id, core.tick(self.now_ms))
                self._call_platform(entry_id, core)
            while self._frames and self._frames[0][0] <= self.now_ms:
                self._receive(*heapq.heappop(self._frames)[2:])
            self._check(before)

    def _check(self, before):
        for old, documents in zip(
            before, self._documents_by_id.values(), strict=True
        ):
            document = documents.document(_NAME)
            if document is None:
                assert old is None
                continue
            assert old is None or document.revision >= old
            assert document == self.platform[document.revision]
            assert "y.toml" not in document.text_by_part


_ENTRIES = [_entry(f"e{n}", f"d{n % 3}") for n in range(6)]
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "valid",
                "invalid",
                "stale",
                "fresh",
                "split",
                "heal",
                "down",
                "up",
            ]
        ),
        strategies.integers(0, 5),
        strategies.integers(1, 20),
    ),
    min_size=3,
    max_size=12,
)


@hypothesis.given(
    _STEPS,
    strategies.integers(0, 999),
    strategies.sampled_from([0.0, 0.2, 0.5]),
    strategies.sampled_from([0.0, 0.3]),
    strategies.sampled_from([1, 300, 3000]),
    strategies.sampled_from([3, spread.MAX_ANNOUNCED_PARTS + 1]),
)
@_SETTINGS
def test_fleet_never_reverts_and_converges(
    steps, seed, loss, corruption, delay, parts
):
    """Guards against an entry that adopts an older, invalid or mixed document.

    Lost, delayed or corrupted frames or a stale platform could cause this. Also
    guards against entries that stay outdated after these faults end.
    """
    network = _Network(_ENTRIES, seed)
    network.loss, network.corruption = loss, corruption
    network.max_delay_ms = delay
    network.platform[1] = _document(1, parts=parts)
    for action, number, ticks in steps:
        if action in ("valid", "invalid"):
            revision = max(network.platform) + 1 + number
            network.platform[revision] = _document(
                revision, action == "valid", parts
            )
        elif action in ("stale", "fresh"):
            network.staleness[f"e{number}"] = number * (action == "stale")
        elif action in ("split", "heal"):
            network.is_split = action == "split"
        else:
            network.is_platform_up = action == "up"
        network.run(ticks * spread.TICK_INTERVAL_MS)
    network.loss = network.corruption = 0
    network.max_delay_ms = 5
    network.is_split, network.is_platform_up = False, True
    network.staleness = dict.fromkeys(network.staleness, 0)
    newest = max(network.platform) + 1
    network.platform[newest] = _document(newest, parts=parts)
    network.run(spread.BACKOFF_MAX_MS + 5000)
    assert network.revisions() == [newest] * 6


def test_only_readers_call_the_platform_and_changes_arrive_within_a_second():
    """Guards against platform load that grows with the number of entries.

    Also guards against changes that propagate only with the periodic
    announcements.
    """
    entries = [_entry(f"e{n:02}", f"d{n % 4}") for n in range(18)]
    network = _Network(entries, 1)
    network.run(spread.STARTUP_DELAY_MS - spread.TICK_INTERVAL_MS)
    assert not network.platform_callers
    network.platform[1] = _document(1)
    network.run(5000)
    assert network.revisions() == [1] * 18
    readers = {
        reader
        for centre in ("d0", "d1", "d2", "d3")
        for reader in spread.readers(centre, entries)
    }
    assert len(readers) == 8
    flags = {
        entry_id: core.is_reader
        for entry_id, core in network._core_by_id.items()
    }
    assert {entry_id for entry_id, flag in flags.items() if flag} == readers
    network.platform[2] = _document(2)
    network.staleness = {e.id: int(e.id != min(readers)) for e in entries}
    network.platform_callers.clear()
    network.run(1000)
    assert network.revisions() == [2] * 18
    assert network.platform_callers == readers


def test_announcements_of_many_parts_stay_small():
    """Guards against control traffic that grows with the number of files."""
    core, documents = _core()
    documents.offer(_document(1, parts=530), store.PLATFORM)
    core.on_peers_changed(_ENTRIES, 0)
    outbox = core.tick(spread.DIGEST_INTERVAL_MS)
    frames = [messages.encode(message) for _, message in outbox]
    assert 0 < sum(map(len, frames)) * 1000 / spread.DIGEST_INTERVAL_MS <= 1000


def test_new_link_exchanges_digests_at_once():
    """Guards against a wait for the next periodic announcement.

    After a partition or the replacement of a peer, the peer may be no neighbour
    or may have been a neighbour before, so it is not a new neighbour.
    """
    core, documents = _core()
    assert core.on_peer_linked("e9", 0) == [
        ("e9", messages.DocumentRequest(name, 0, [])) for name in store.NAMES
    ]
    documents.offer(_document(4), store.PLATFORM)
    announcement = _digest(_document(4), unconfirmed=True)
    assert ("e9", announcement) in core.on_peer_linked("e9", 0)
    requests = core.request_digests(["e9"], 0)
    assert ("e9", messages.DocumentRequest(_NAME, 0, [])) in requests


def test_unconfirmed_peers_do_not_confirm_each_other():
    """Guards against a stale document that counts as confirmed.

    All hosts start at once, read it from a stale platform and announce it to
    each other.
    """
    document = _document(4)
    parts = messages.DocumentParts(_NAME, 4, document.text_by_part)
    core, documents = _core()
    documents.offer(document, store.PLATFORM)
    core.on_message("e2", _digest(document, unconfirmed=True), 0)
    assert documents.status()[_NAME].unconfirmed
    core.on_message("e3", _digest(document), 0)
    assert not documents.status()[_NAME].unconfirmed
    # The flag is sent with the document to an entry that has none.
    core, documents = _core()
    core.on_message("e2", _digest(document, unconfirmed=True), 0)
    core.on_message("e2", parts, 0)
    assert documents.status()[_NAME].unconfirmed
    # One announcement as confirmed is enough.
    core, documents = _core()
    core.on_message("e2", _digest(document, unconfirmed=True), 0)
    core.on_message("e3", _digest(document), 0)
    core.on_message("e2", parts, 0)
    assert not documents.status()[_NAME].unconfirmed


def test_heartbeat_of_a_newer_revision_triggers_a_request():
    """Guards against an entry that stays outdated despite newer peers.

    A partition separates it from all of its neighbours, but it has links to
    other peers with a newer revision.
    """
    core, documents = _core()
    documents.offer(_document(4), store.PLATFORM)
    request = [("e9", messages.DocumentRequest(_NAME, 0, []))]
    assert core.on_heartbeat("e9", 4, 0) == []
    assert core.on_heartbeat("e9", 6, 0) == request
    # No further request while the response is pending.
    assert (
        core.on_heartbeat("e8", 6, spread.DIGEST_REQUEST_INTERVAL_MS - 1) == []
    )
    core.on_message("e9", _digest(_document(6)), 300)
    assert core.on_heartbeat("e8", 6, 600) == []
    # No request for a revision that this entry has rejected.
    documents.offer(_document(7, valid=False), "e9")
    assert core.on_heartbeat("e9", 7, 900) == []


def test_request_lost_with_its_link_is_sent_again():
    """Guards against a fetch that waits for its timeout after a lost link.

    The peer's next announcement matches the pending fetch and would start no
    new one.
    """
    core, documents = _core()
    [(_, request)] = core.on_message("e2", _digest(_document(4)), 0)
    assert core.on_peer_lost("e2", 5) == []
    assert core.on_message("e2", _digest(_document(4)), 10) == [("e2", request)]
    core.on_message("e3", _digest(_document(4)), 10)
    assert core.on_peer_lost("e2", 20) == [("e3", request)]


def test_replaced_entry_gets_documents_from_peers_before_the_platform():
    """Guards against an entry that needs the platform in order to start."""
    core, documents = _core()
    outbox = core.on_peers_changed([_entry("e2")], 0)
    assert ("e2", messages.DocumentRequest(_NAME, 0, [])) in outbox
    [(_, request)] = core.on_message("e2", _digest(_document(4)), 5)
    parts = messages.DocumentParts(_NAME, 4, _document(4).text_by_part)
    assert set(request.parts) == set(parts.text_by_part)
    core.on_message("e2", parts, 10)
    assert documents.document(_NAME) == _document(4)
    assert not documents.status()[_NAME].unconfirmed
    call = core.next_platform_call(_NAME, spread.STARTUP_DELAY_MS - 1)
    assert call.kind is spread.PlatformCallKind.WAIT


def test_only_changed_parts_are_requested():
    """Guards against sending the whole document for each small change."""
    core, documents = _core()
    documents.offer(_document(1), store.PLATFORM)
    [(_, request)] = core.on_message("e2", _digest(_document(2)), 0)
    assert request == messages.DocumentRequest(_NAME, 2, ["x.toml"])
    fewer = base.Document(_NAME, 3, dict(_document(1).text_by_part))
    del fewer.text_by_part["0.toml"]
    core.on_message("e2", _digest(fewer), 0)
    assert documents.document(_NAME) == fewer


def test_outdated_peer_gets_an_announcement_of_the_active_document():
    """Guards against changes that propagate in only one direction of a link."""
    core, documents = _core()
    documents.offer(_document(2), store.PLATFORM)
    outbox = core.on_message("e2", _digest(_document(1)), 0)
    assert outbox == [("e2", _digest(_document(2), unconfirmed=True))]


def test_silent_or_wrong_peer_is_replaced_by_the_next_announcer():
    """Guards against a fetch that fails because of one peer.

    One of the peers that announced the document does not send its parts, or
    sends wrong ones.
    """
    core, documents = _core()
    for peer in ("e2", "e3", "e4"):
        core.on_message(peer, _digest(_document(4)), 0)
    [(peer, request)] = core.tick(spread.FETCH_TIMEOUT_MS)[:1]
    assert (peer, request.revision) == ("e3", 4)
    wrong = messages.DocumentParts(_NAME, 4, {"x.toml": "wrong"})
    [(peer, _)] = core.on_message("e3", wrong, 1001)
    assert peer == "e4"
    right = messages.DocumentParts(_NAME, 4, _document(4).text_by_part)
    core.on_message("e2", right, 1002)
    assert documents.document(_NAME) is None
    core.on_message("e4", right, 1002)
    assert documents.document(_NAME).revision == 4


def test_announcements_of_one_peer_are_bounded():
    """Guards against memory that grows with announced documents.

    Their parts are never sent.
    """
    core, _ = _core()
    for revision in range(50):
        core.on_message("e2", _digest(_document(revision)), 0)
    assert core.status().fetches == 1
    core.on_message("e2", messages.DocumentDigest(_NAME, 2**53, {}), 0)
    assert core.status().count_by_fault == {"malformed_digest": 1}
    text = "#" * folder.MAX_PART_BYTES
    large = base.Document(_NAME, 99, {f"{n}": text for n in range(21)})
    core.on_message("e3", _digest(large), 0)
    parts = messages.DocumentParts(_NAME, 99, large.text_by_part)
    core.on_message("e3", parts, 0)
    assert core.status().count_by_fault["document_too_large"] == 1


def test_document_rejected_here_is_neither_announced_nor_fetched_again():
    """Guards against an endless exchange of a document.

    Two entries run different versions, of which one rejects the document. That
    entry must not announce it either.
    """
    core, documents = _core()
    core.on_peers_changed([_entry("e2"), _entry("e3", "d2")], 0)
    documents.offer(_document(6), store.PLATFORM)
    rejected = _document(7, valid=False)
    core.on_message("e2", _digest(rejected), 0)
    parts = messages.DocumentParts(_NAME, 7, rejected.text_by_part)
    assert core.on_message("e2", parts, 0) == []
    assert documents.status()[_NAME].rejections[0].source == "e2"
    assert core.on_message("e3", _digest(rejected), 0) == []
    outbox = core.tick(spread.DIGEST_INTERVAL_MS / 2) + core.tick(
        spread.DIGEST_INTERVAL_MS
    )
    announced = [message for _, message in outbox if message.name == _NAME]
    assert announced == [_digest(_document(6), unconfirmed=True)] * 2
    # A revision from a peer must not move the watch above the platform's own.
    core.on_platform_document(_NAME, _document(6), 2000)
    assert core.next_platform_call(_NAME, 2000).after == 6


def test_paused_entry_requests_digests_of_its_peers():
    """Guards against requests handled by outdated documents after a pause."""
    core, _ = _core()
    core.on_peers_changed([_entry("e2")], 0)
    core.tick(100)
    first = core.tick(100 + spread.PAUSE_THRESHOLD_MS + 1)[0]
    assert first == ("e2", messages.DocumentRequest(_NAME, 0, []))


def test_backoff_and_rate_limit_bound_the_platform_calls():
    """Guards against requests to the platform in a tight loop.

    The platform fails, or returns documents at once.
    """
    core, _ = _core()
    failed = succeeded = 0
    for now_ms in range(0, 300_000, 100):
        kind = core.next_platform_call(_NAME, now_ms).kind
        if kind is not spread.PlatformCallKind.WAIT:
            core.on_platform_failure(_NAME, now_ms)
            failed += 1
    core, _ = _core()
    for now_ms in range(0, 10_000, 10):
        kind = core.next_platform_call(_NAME, now_ms).kind
        if kind is not spread.PlatformCallKind.WAIT:
            core.on_platform_document(_NAME, _document(1), now_ms)
            succeeded += 1
    # The watch continues above the revision from a peer, and a failure is
    # followed by a read.
    core, documents = _core()
    documents.offer(_document(4), "e2")
    core.on_platform_document(_NAME, _document(3), 0)
    assert core.next_platform_call(_NAME, 1000).after == 4
    core.on_platform_failure(_NAME, 1000)
    kind = core.next_platform_call(_NAME, 2000).kind
    assert kind is spread.PlatformCallKind.READ
    assert 10 < failed < 60
    assert succeeded <= spread.PLATFORM_BURST + 10 * spread.PLATFORM_CALLS_PER_S


def test_parts_are_packed_into_frames():
    """Guards against oversized frames, for which the peer closes the link."""
    core, documents = _core()
    text = "# é" + "é" * (folder.MAX_PART_BYTES // 2 - 2)
    big = {f"{n}.toml": text for n in range(3)} | {"s.toml": "", "t.toml": ""}
    documents.offer(base.Document(_NAME, 3, big), store.PLATFORM)
    outbox = core.on_message(
        "e2", messages.DocumentRequest(_NAME, 3, [*big, "0.toml", "none"]), 0
    )
    frames = [messages.encode(message) for _, message in outbox]
    assert max(map(len, frames)) <= messages.MAX_FRAME_BYTES
    assert [len(m.text_by_part) for _, m in outbox] == [1, 1, 3]
    digest = {f"{n:096}": "0" * 32 for n in range(folder.MAX_PARTS)}
    announcement = messages.DocumentDigest(_NAME, 2**53 - 1, digest)
    assert len(messages.encode(announcement)) <= messages.MAX_FRAME_BYTES


@pytest.mark.parametrize("degree", [1, 2, 3, 6])
@pytest.mark.parametrize("centres", [[1], [3], [1, 1, 1], [5, 1, 4], [2] * 12])
def test_announcements_reach_every_entry(degree, centres):
    """Guards against neighbour sets that do not connect all entries."""
    entries = [
        _entry(f"e{d}-{n}", f"d{d:02}")
        for d, size in enumerate(centres)
        for n in range(size)
    ]
    next_by_id = {
        e.id: spread.neighbours(e.id, e.data_centre, entries, degree)
        for e in entries
    }
    assert all(len(found) <= degree for found in next_by_id.values())
    reached, pending = set(), [entries[0].id]
    while pending:
        entry_id = pending.pop()
        if entry_id not in reached:
            reached.add(entry_id)
            pending += next_by_id[entry_id]
    assert reached == set(next_by_id)


_NAMES = strategies.sampled_from([_NAME, base.INSTANCES, "other"])
_REVISIONS = strategies.sampled_from([-1, 0, 1, 2, 2**53, 2**70])
_PARTS = strategies.sampled_from(["0.toml", "x.toml", "", "\ud800", "z" * 200])
_KNOWN = list(_document(2).digest_by_part.items())
_MESSAGES = strategies.one_of(
    strategies.builds(
        messages.DocumentDigest,
        _NAMES,
        _REVISIONS,
        strategies.dictionaries(_PARTS, strategies.sampled_from(["", "0" * 32]))
        | strategies.lists(strategies.sampled_from(_KNOWN)).map(dict),
        strategies.booleans(),
        strategies.sampled_from(["", "0" * 32, "x"]),
    ),
    strategies.builds(
        messages.DocumentRequest, _NAMES, _REVISIONS, strategies.lists(_PARTS)
    ),
    strategies.builds(
        messages.DocumentParts,
        _NAMES,
        _REVISIONS,
        strategies.dictionaries(_PARTS, strategies.text(max_size=5))
        | strategies.just(_document(2).text_by_part),
    ),
    strategies.just(messages.SlotCancel(1)),
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(["e2", "e3"]), _MESSAGES)
    )
)
@_SETTINGS
def test_any_messages_are_tolerated(sequence):
    """Guards against peers that raise exceptions or fill the memory."""
    core, documents = _core()
    core.on_peers_changed([_entry("e2"), _entry("e3")], 0)
    documents.offer(_document(1), store.PLATFORM)
    for now_ms, (peer, message) in enumerate(sequence):
        core.on_message(peer, message, now_ms)
        core.tick(now_ms * 100)
        assert core.status().fetches <= 4
    assert documents.document(_NAME).revision in (1, 2)


class _Platform:
    """Fails once, then serves revision 1 and publishes 2 to watchers."""

    def __init__(self):
        self.failures = 0
        self.is_list_watched = asyncio.Event()

    async def read(self, name):
        if not self.failures:
            self.failures += 1
            raise errors.PlatformError("down")
        if name == base.INSTANCES:
            return base.Document(name, 1, {})
        return _document(1)

    async def watch(self, name, after, wait_s):
        if name == base.CONFIGURATION and after < 2:
            return _document(2)
        if name == base.INSTANCES:
            self.is_list_watched.set()
        await asyncio.sleep(wait_s)
        return None


def test_driver_watches_the_platform_and_sends(monkeypatch):
    """Guards against a driver that stops after an error.

    A request to the platform fails, and a subscriber raises an exception.
    """
    monkeypatch.setattr(spread, "STARTUP_DELAY_MS", 10)
    settings = entry_settings.EntrySettings(
        entry_id="e1", data_centre="d1", fleet_key="k" * 16
    )
    bus = events.EventBus()
    bus.stream(events.InstancesAdopted).subscribe(lambda event: 1 / 0)
    documents = store.DocumentStore(bus)
    expected = ("e2", _digest(_document(2)))
    sent = []

    async def run():
        is_sent = asyncio.Event()

        def send(peer_id, message):
            sent.append((peer_id, message))
            if sent[-1] == expected:
                is_sent.set()

        platform = _Platform()
        clock = clocks.MonotonicClock()
        driver = spread.Spread(settings, platform, documents, send, clock)
        driver.on_peers_changed([_entry("e2")])
        await driver.start()
        async with asyncio.timeout(10):
            await is_sent.wait()
            await platform.is_list_watched.wait()
        driver.on_message("e2", messages.DocumentRequest(_NAME, 0, []))
        await driver.stop()
        return driver.status()

    status = asyncio.run(run())
    assert status.is_reader
    assert status.count_by_fault["platform_failure"] == 1
    assert documents.status()[base.INSTANCES].revision == 1
    assert sent[-1] == expected
