"""Tests of membership by signs of life."""

from slatechute import messages
from slatechute.gateway import peers as peer_groups
from slatechute.util import clock as clocks
from tests.gateway import builders


class _Transport:
    """Keeps what is sent."""

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

    def hear(self, message, host="10.0.0.2"):
        data = messages.encode(message)
        self.group.datagram_received(data, (host, 7000))

    def pass_time(self, duration_ms):
        for _ in range(int(duration_ms / 100)):
            self.clock.advance(100)
            self.group.tick()

    def told(self):
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


def test_seeds_are_called_until_someone_answers():
    """All hosts start at once, in any order."""
    fixture = _Fixture(seeds=("10.0.0.2:2", "10.0.0.3:2"))
    fixture.pass_time(1_200)
    assert fixture.told() == {"10.0.0.2", "10.0.0.3"}
    assert len(fixture.transport.sent) >= 4


def test_new_entry_is_told_of_the_others():
    """Seeds name three hosts, and the fleet has more."""
    fixture = _Fixture()
    fixture.hear(_presence("e2", "10.0.0.2"))
    fixture.transport.sent.clear()
    fixture.hear(_presence("e3", "10.0.0.3"), host="10.0.0.3")
    lists = [
        message
        for message, _ in fixture.transport.sent
        if isinstance(message, messages.PeerList)
    ]
    assert "10.0.0.2:2" in lists[0].addresses


def test_listed_entry_is_called():
    """Whom others know has to be known here as well."""
    fixture = _Fixture()
    fixture.hear(messages.PeerList(["10.0.0.9:2"]))
    assert fixture.told() == {"10.0.0.9"}


def test_silent_peer_is_lost_within_a_second():
    """Callers would be sent to a dead host."""
    fixture = _Fixture()
    fixture.hear(_presence("e2", "10.0.0.2"))
    fixture.pass_time(1_000)
    assert not fixture.group.alive()
    assert len(fixture.lost) == 1


def test_lost_peer_is_called_further():
    """After a partition both sides must find each other."""
    fixture = _Fixture()
    fixture.hear(_presence("e2", "10.0.0.2"))
    fixture.pass_time(10_000)
    fixture.transport.sent.clear()
    fixture.pass_time(2_000)
    assert "10.0.0.2" in fixture.told()
    fixture.hear(_presence("e2", "10.0.0.2"))
    assert len(fixture.group.alive()) == 1


def test_restarted_peer_is_another_one():
    """Its requests of before are gone with the process."""
    fixture = _Fixture()
    fixture.hear(_presence("e2", "10.0.0.2"))
    fixture.hear(_presence("e2", "10.0.0.2", boot_id="b2"))
    assert [peer.presence.boot_id for peer in fixture.lost] == ["b1"]
    assert len(fixture.group.alive()) == 1


def test_pause_of_this_host_does_not_lose_the_peers():
    """What peers sent meanwhile is read after the pause."""
    fixture = _Fixture()
    fixture.hear(_presence("e2", "10.0.0.2"))
    fixture.clock.advance(5_000)
    fixture.group.resume()
    fixture.group.tick()
    assert len(fixture.group.alive()) == 1


def test_damaged_datagram_is_ignored():
    """Any host may send anything to the port."""
    fixture = _Fixture()
    fixture.group.datagram_received(b"\xff\x00nonsense", ("10.0.0.7", 1))
    assert not fixture.group.peers_by_id


def test_message_of_an_unknown_sender_is_ignored():
    """Only entries that told of themselves are believed."""
    fixture = _Fixture()
    fixture.hear(messages.LoadReport("e9", "b", 1, []))
    assert not fixture.received


def test_one_entry_speaks_for_its_data_centre():
    """Each further one would pay for the same bytes again."""
    fixture = _Fixture()
    assert fixture.group.is_speaker()
    fixture.hear(_presence("e0", "10.0.0.2"))
    assert not fixture.group.is_speaker()
    for name, host in (("f2", "10.0.1.2"), ("f1", "10.0.1.1")):
        fixture.hear(_presence(name, host, data_centre="dc2"), host=host)
    speakers = [peer.presence.entry_id for peer in fixture.group.speakers()]
    assert speakers == ["f1"]
