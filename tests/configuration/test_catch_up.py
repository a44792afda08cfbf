"""Tests of the wait for the documents of peers."""

from slatechute.configuration import catch_up


def test_wait_ends_after_all_announcements_and_fetches():
    """Guards against requests handled by an outdated configuration.

    A peer may already have a newer one when this entry starts or resumes.
    """
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


def test_announcement_read_at_the_time_of_begin_does_not_count():
    """Guards against an announcement that was sent before the pause.

    It is read in the first iteration of the event loop after the pause.
    """
    wait = catch_up.CatchUp()
    wait.begin(100, 500)
    wait.record_announcement("e2")
    assert not wait.poll(["e2"], is_fetching=False, now_ms=100)
    assert wait.poll(["e2"], is_fetching=False, now_ms=110)


def test_announcement_over_a_lost_link_does_not_count():
    """Guards against an outdated digest read from a link that was closed.

    The link is closed during a pause, and the digest is read after it.
    """
    wait = catch_up.CatchUp()
    wait.begin(100, 500)
    wait.record_announcement("e2")
    wait.discard_announcement("e2")
    assert not wait.poll(["e2"], is_fetching=False, now_ms=110)
    wait.record_announcement("e2")
    assert wait.poll(["e2"], is_fetching=False, now_ms=120)


def test_wait_for_silent_peers_times_out():
    """Guards against an entry that waits forever for a dead peer."""
    wait = catch_up.CatchUp()
    wait.begin(100, 500)
    assert not wait.poll(["e2"], is_fetching=True, now_ms=599)
    assert wait.poll(["e2"], is_fetching=True, now_ms=600)
