"""Tests of membership by heartbeats."""

from slatechute import messages
from slatechute.gateway import peers as peer_groups
from slatechute.util import clock as clocks
from tests.gateway import builders


class _Transport:
    """Records the messages that are sent."""

    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, data, endpoint):
        self.sent.append((messages.decode(data), endpoint))


class _Fixture:
    def __init__(self, **settings):
        self.clock = clocks.ManualClock()
        self.transport = _Transport()
        self.lost = []
        self.received = []
        self.group = peer_groups.PeerGroup(
            builders.gateway_settings(peer_port=7000, **settings),
            self.clock,
            lambda: _presence("e1", "10.0.0.1"),
            lambda peer, message: self.received.append(message),
            self.lost.append,
        )
        self.group.connection_made(self.transport)

    def receive(self, message, host="10.0.0.2"):
        data = messages.encode(message)
        self.group.datagram_received(data, (host, 7000))

    def advance(self, duration_ms):
        for _ in range(int(duration_ms / 100)):
            self.clock.advance(100)
            self.group.tick()

    def contacted_hosts(self):
        return {endpoint[0] for _, endpoint in self.transport.sent}


def _presence(entry_id, host, **fields):
    values = {"boot_id": "b1", "data_centre": "dc1", "state": "ready"} | fields
    return messages.Presence(
        entry_id,
        values.pop("boot_id"),
        values.pop("data_centre"),
        f"{host}:1",
        f"{host}:2",
        7000,
        **values,
    )


def test_seeds_are_contacted_until_a_peer_responds():
    """All hosts start at once, so seeds may not listen yet."""
    fixture = _Fixture(seeds=("10.0.0.2:2", "10.0.0.3:2"))
    fixture.advance(1_200)
    assert fixture.contacted_hosts() == {"10.0.0.2", "10.0.0.3"}
    assert len(fixture.transport.sent) >= 4


def test_new_entry_receives_the_list_of_peers():
    """Without the list, entries know only the three hosts of the seeds."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.transport.sent.clear()
    fixture.receive(_presence("e3", "10.0.0.3"), host="10.0.0.3")
    lists = [
        message
        for message, _ in fixture.transport.sent
        if isinstance(message, messages.PeerList)
    ]
    assert "10.0.0.2:2" in lists[0].addresses


def test_listed_entry_is_contacted():
    """Entries that skip listed peers would disagree about the members."""
    fixture = _Fixture()
    fixture.receive(messages.PeerList(["10.0.0.9:2"]))
    assert fixture.contacted_hosts() == {"10.0.0.9"}


def test_silent_peer_is_lost_within_a_second():
    """Until then the directory returns a failed host to callers."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.advance(1_000)
    assert not fixture.group.live_peers()
    assert len(fixture.lost) == 1


def test_lost_peer_still_receives_heartbeats():
    """Otherwise the sides of a healed partition never find each other."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.advance(10_000)
    fixture.transport.sent.clear()
    fixture.advance(2_000)
    assert "10.0.0.2" in fixture.contacted_hosts()
    fixture.receive(_presence("e2", "10.0.0.2"))
    assert len(fixture.group.live_peers()) == 1


def test_restarted_peer_replaces_the_previous_one():
    """In-flight requests of the previous process must not count any more."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.receive(_presence("e2", "10.0.0.2", boot_id="b2"))
    assert [peer.presence.boot_id for peer in fixture.lost] == ["b1"]
    assert len(fixture.group.live_peers()) == 1


def test_pause_of_this_host_does_not_lose_the_peers():
    """Heartbeats that arrive during the pause are read after it."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.clock.advance(5_000)
    fixture.group.reset_timeouts()
    fixture.group.tick()
    assert len(fixture.group.live_peers()) == 1


def test_damaged_datagram_is_ignored():
    """Any host may send arbitrary bytes to the port."""
    fixture = _Fixture()
    fixture.group.datagram_received(b"\xff\x00nonsense", ("10.0.0.7", 1))
    assert not fixture.group.peers_by_id


def test_message_of_an_unknown_sender_is_ignored():
    """Only the messages of entries that have sent a heartbeat are accepted."""
    fixture = _Fixture()
    fixture.receive(messages.LoadReport("e9", "b", 1, []))
    assert not fixture.received


def test_data_centre_has_one_delegate():
    """Each further one would send the same reports at additional cost."""
    fixture = _Fixture()
    assert fixture.group.is_delegate()
    fixture.receive(_presence("e0", "10.0.0.2"))
    assert not fixture.group.is_delegate()
    for name, host in (("f2", "10.0.1.2"), ("f1", "10.0.1.1")):
        fixture.receive(_presence(name, host, data_centre="dc2"), host=host)
    delegates = [
        peer.presence.entry_id for peer in fixture.group.remote_delegates()
    ]
    assert delegates == ["f1"]


def _standby(entry_id, host, **fields):
    return _presence(entry_id, host, is_active=False, **fields)


def test_heartbeats_to_standbys_are_rare():
    """At the rate of active entries, they would grow with the data centre."""
    fixture = _Fixture()
    for number in range(2, 42):
        host = f"10.0.0.{number}"
        fixture.receive(_standby(f"e{number}", host), host=host)
    fixture.transport.sent.clear()
    fixture.advance(3_000)
    heartbeats = [
        message
        for message, _ in fixture.transport.sent
        if isinstance(message, messages.Presence)
    ]
    assert len(heartbeats) <= 40 * 3


def test_standbys_of_other_data_centres_get_no_heartbeats():
    """Traffic between data centres is paid for by the byte."""
    fixture = _Fixture()
    host = "10.0.1.2"
    fixture.receive(_standby("f2", host, data_centre="dc2"), host=host)
    fixture.transport.sent.clear()
    fixture.advance(20_000)
    assert host not in fixture.contacted_hosts()
    assert not fixture.group.peers_by_id


def test_lost_active_entry_is_reported_to_standbys():
    """Standbys would return its address to callers for seconds."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.receive(_standby("e3", "10.0.0.3"), host="10.0.0.3")
    fixture.advance(1_000)
    reports = [
        (message.entry_id, endpoint[0])
        for message, endpoint in fixture.transport.sent
        if isinstance(message, messages.LostPeer)
    ]
    assert reports == [("e2", "10.0.0.3")]


def test_reported_loss_needs_silence():
    """The reporting entry may be the one that is cut off."""
    fixture = _Fixture()
    fixture.receive(_presence("e2", "10.0.0.2"))
    fixture.receive(_presence("e3", "10.0.0.3"), host="10.0.0.3")
    fixture.clock.advance(500)
    fixture.receive(messages.LostPeer("e2", "b1"), host="10.0.0.3")
    assert len(fixture.group.live_peers()) == 2
    fixture.clock.advance(200)
    fixture.receive(messages.LostPeer("e2", "other"), host="10.0.0.3")
    assert len(fixture.group.live_peers()) == 2
    fixture.receive(messages.LostPeer("e2", "b1"), host="10.0.0.3")
    assert len(fixture.group.live_peers()) == 1


def test_newcomer_of_another_data_centre_is_introduced_to_its_own():
    """A seed of another data centre may be the only entry it knows."""
    fixture = _Fixture()
    for entry_id, host in (("f1", "10.0.1.1"), ("f2", "10.0.1.2")):
        fixture.receive(_presence(entry_id, host, data_centre="dc2"), host=host)
    lists = [
        (endpoint[0], message.addresses)
        for message, endpoint in fixture.transport.sent
        if isinstance(message, messages.PeerList)
    ]
    assert ("10.0.1.2", ["10.0.1.1:2", "10.0.1.2:2"]) in [
        (host, sorted(listed)) for host, listed in lists
    ]
