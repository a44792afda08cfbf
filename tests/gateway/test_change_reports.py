"""Model of the changes that entries send to each other."""

import random

import hypothesis
from hypothesis import strategies as st

from slatechute.gateway import application
from slatechute.gateway import dialects
from slatechute.gateway import published

_KEYS = "abcdef"


class _Platform:
    """All changes, several of which may have the same revision."""

    def __init__(self):
        self.revision = 1
        self.item_by_key = {}

    def write(self, keys, is_removal, size):
        self.revision += 1
        for key in keys:
            value = None if is_removal else b"x" * size
            self.item_by_key[key] = dialects.PublishedItem(
                key, self.revision, value
            )

    def present(self):
        return [i for i in self.item_by_key.values() if i.value is not None]


def _assert_complete(view, platform):
    """Check that a view has all changes up to its revision."""
    has = {item.key: item.revision for item in view.items()}
    for key, item in platform.item_by_key.items():
        if item.revision > view.revision:
            continue
        if item.value is None:
            assert has.get(key, 0) <= item.revision
            assert key not in has
        else:
            assert has.get(key, 0) >= item.revision, (key, item.revision, has)


_WRITES = st.lists(
    st.tuples(
        st.sets(st.sampled_from(_KEYS), min_size=1, max_size=3),
        st.booleans(),
        st.sampled_from([10, 300, 500, 900]),
    ),
    max_size=5,
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    _WRITES,
    _WRITES,
    _WRITES,
    _WRITES,
    st.integers(0, len(_KEYS)),
    st.sets(st.integers(0, 12)),
    st.randoms(use_true_random=False),
)
@hypothesis.example(
    [({"a"}, False, 10)],
    [],
    [({"a"}, False, 10), ({"e"}, False, 900), ({"f"}, False, 900)],
    [],
    1,
    {1, 2, 3, 4},
    random.Random(1),
)
def test_view_has_all_changes_up_to_its_revision(
    first, missed, between, later, page_size, lost, rng
):
    """Entries kept an old version, as their revision said they had the new one.

    The reader has missed some writes and reads a snapshot, whose pages are of
    different revisions as those of the platform are. Then it watches again.
    Some of the datagrams with its changes are lost, the others arrive in any
    order.
    """
    platform = _Platform()
    reader, peer = published.PublishedView(), published.PublishedView()
    for write in first:
        platform.write(*write)
    for view in (reader, peer):
        view.replace(platform.present(), platform.revision)
    after = platform.revision
    for write in missed:
        platform.write(*write)
    first_page_revision = platform.revision
    items = [i for i in platform.present() if i.key in _KEYS[:page_size]]
    for write in between:
        platform.write(*write)
    items += [i for i in platform.present() if i.key in _KEYS[page_size:]]
    reader.replace(items, first_page_revision)
    _assert_complete(reader, platform)
    sent = application._change_reports(after, reader, 1.0)
    after = reader.revision
    for write in later:
        platform.write(*write)
    events = [i for i in platform.item_by_key.values() if i.revision > after]
    reader.apply(events, platform.revision)
    _assert_complete(reader, platform)
    sent += application._change_reports(after, reader, 1.0)
    delivered = [
        report for number, report in enumerate(sent) if number not in lost
    ]
    rng.shuffle(delivered)
    for report in delivered:
        # As `GatewayApplication._apply_changes` decides.
        if report.after <= peer.revision < report.revision:
            changes = [dialects.PublishedItem(*c) for c in report.changes]
            peer.apply(changes, report.revision)
        _assert_complete(peer, platform)
