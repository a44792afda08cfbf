"""Tests of the wait for the documents of peers."""

from slatechute.configuration import catch_up


def test_wait_ends_when_all_peers_told_and_documents_are_here():
    """Guards against decisions by rules that a peer has already replaced."""
    wait = catch_up.CatchUp()
    wait.record_announcement("e2")
    wait.clear_announcements()
    wait.begin(100, 500)
    assert not wait.poll(["e2", "e3"], is_fetching=False, now_ms=200)
    wait.record_announcement("e2")
    wait.record_announcement("e3")
    assert not wait.poll(["e2", "e3"], is_fetching=True, now_ms=210)
    assert wait.poll(["e2", "e3"], is_fetching=False, now_ms=220)
    assert not wait.poll(["e2", "e3"], is_fetching=False, now_ms=230)


def test_what_was_read_in_the_turn_of_the_wake_up_is_not_enough():
    """Guards against an announcement sent before the pause."""
    wait = catch_up.CatchUp()
    wait.begin(100, 500)
    wait.record_announcement("e2")
    assert not wait.poll(["e2"], is_fetching=False, now_ms=100)
    assert wait.poll(["e2"], is_fetching=False, now_ms=110)


def test_announcement_over_a_lost_link_does_not_count():
    """Guards against a digest read late from a link closed during a pause."""
    wait = catch_up.CatchUp()
    wait.begin(100, 500)
    wait.record_announcement("e2")
    wait.discard_announcement("e2")
    assert not wait.poll(["e2"], is_fetching=False, now_ms=110)
    wait.record_announcement("e2")
    assert wait.poll(["e2"], is_fetching=False, now_ms=120)


def test_silent_peers_do_not_stop_the_entry():
    """Guards against an entry that waits for ever for a dead peer."""
    wait = catch_up.CatchUp()
    wait.begin(100, 500)
    assert not wait.poll(["e2"], is_fetching=True, now_ms=599)
    assert wait.poll(["e2"], is_fetching=True, now_ms=600)
