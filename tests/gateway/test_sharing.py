"""Tests of load reports between entries."""

import asyncio

from slatechute import messages
from slatechute import metrics
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import routing
from slatechute.gateway import sharing
from slatechute.util import clock as clocks
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target


class _Group:
    """A fake group of peers that records the messages sent to them."""

    def __init__(self, *peers):
        self.peers = peers
        self.sent = []

    def live_peers(self):
        return self.peers

    def local_peers(self):
        return [peer for peer in self.peers if self.is_local(peer)]

    def services_without_path_by_entry(self):
        return {
            peer.presence.entry_id: peer.presence.services_without_path
            for peer in self.peers
            if peer.presence.services_without_path
        }

    def active_peers(self):
        return [p for p in self.local_peers() if p.presence.is_active]

    def active_entries(self, is_active, min_protocol=0):
        entries = {
            peer.presence.entry_id: peer.presence.data_centre
            for peer in self.peers
            if peer.presence.is_active
        }
        return entries | ({"e1": "dc1"} if is_active else {})

    def is_local(self, peer):
        return peer.presence.data_centre == "dc1"

    def broadcast(self, message, peers):
        self.sent += [(message, peer) for peer in peers]


def _peer(entry_id, data_centre="dc1"):
    presence = messages.Presence(
        entry_id, "b", data_centre, "h:1", "h:2", 1, "ready"
    )
    return peer_groups.Peer(presence, ("h", 1), 0.0)


class _Fixture:
    def __init__(self, *peers):
        self.clock = clocks.ManualClock(1_000.0)
        self.balancer = balancing.Balancer("dc1")
        self.balancer.add_target(builders.target("t1"), 0.0)
        self.load = self.balancer.load_by_id["t1"]
        self.group = _Group(*peers)
        self.sharing = sharing.LoadSharing(
            builders.gateway_settings(), "b", self.clock
        )
        self.paths = builders.paths(self.balancer)
        self.sharing.attach(self.group, self.balancer, self.paths)


def _report(sequence, in_flight, entry_id="e2", **fields):
    reading = messages.TargetReading("t1", in_flight, 10, 1, 0, 2, 400)
    return messages.LoadReport(entry_id, "b", sequence, [reading], **fields)


def test_report_counts_requests_and_load():
    """Without either of them the balancer would overload the target."""
    peer = _peer("e2")
    fixture = _Fixture(peer)
    fixture.sharing.handle_report(peer, _report(1, in_flight=2))
    assert fixture.load.occupancy() >= 2
    assert fixture.load.reported_load.slowdown == 4.0
    assert fixture.load.reported_ms == 990.0


def test_older_report_does_not_undo_a_newer_one():
    """Datagrams may arrive out of order, so the older one must be dropped."""
    peer = _peer("e2")
    fixture = _Fixture(peer)
    fixture.sharing.handle_report(peer, _report(2, in_flight=0))
    fixture.sharing.handle_report(peer, _report(1, in_flight=2))
    assert not fixture.load.peer_in_flight_by_id


def test_complete_report_clears_targets_that_it_does_not_list():
    """After a lost datagram a finished request would count for ever."""
    peer = _peer("e2")
    fixture = _Fixture(peer)
    fixture.sharing.handle_report(peer, _report(1, in_flight=2))
    empty = messages.LoadReport("e2", "b", 2, [], is_complete=True)
    fixture.sharing.handle_report(peer, empty)
    assert not fixture.load.peer_in_flight_by_id


def test_report_of_another_data_centre_is_forwarded_once():
    """Only traffic between data centres costs, so the delegate forwards it.

    A forwarded report that is forwarded again would circulate for ever.
    """
    delegate, local_peer = _peer("f1", "dc2"), _peer("e2")
    fixture = _Fixture(delegate, local_peer)
    report = _report(1, in_flight=0, entry_id="f1")
    fixture.sharing.handle_report(delegate, report)
    assert [peer for _, peer in fixture.group.sent] == [local_peer]
    fixture.group.sent.clear()
    fixture.sharing.handle_report(local_peer, report)
    assert not fixture.group.sent
    assert fixture.load.reported_load.slowdown == 4.0


def test_waiting_requests_of_peers_count_for_the_expected_wait():
    """An entry that counts only its own queue accepts too many requests."""
    peer = _peer("e2")
    fixture = _Fixture(peer)
    report = _report(1, in_flight=0, waiting_by_service={"s": 7})
    fixture.sharing.handle_report(peer, report)
    assert fixture.balancer.pool("s").peer_waiting_by_id == {"e2": 7}


def test_changes_are_reported_within_milliseconds():
    """With late reports two entries send a request to the same free slot."""

    async def main():
        peer = _peer("e2")
        fixture = _Fixture(peer)
        fixture.load.start("k", 1_000.0)
        fixture.sharing.schedule_report(fixture.load)
        await asyncio.sleep(0.02)
        report, receiver = fixture.group.sent[0]
        assert receiver is peer
        assert report.readings[0].in_flight == 1

    asyncio.run(main())


def _prober(fixture, dialect):
    prober = sharing.LoadProber(
        builders.gateway_settings(probes_per_s=60.0),
        dialect,
        fixture.balancer,
        fixture.group,
        connections.ConnectionPool(),
        fixture.paths,
        clocks.MonotonicClock(),
        metrics.Metrics(),
        fixture.sharing,
    )
    prober.table = routing.RoutingTable(
        1, [], [routing.Service("s", "/health", 10)]
    )
    return prober


def test_restarted_target_is_probed_at_its_new_address():
    """Probes keyed by target id would continue at the old address.

    The load of the restarted target would then never be updated.
    """

    async def main():
        fixture = _Fixture()
        prober = _prober(fixture, builders.PlainDialect())
        async with scripted_target.ScriptedTarget(
            scripted_target.response
        ) as target:
            prober.update_assignment()
            fixture.balancer.remove_target("t1")
            restarted = builders.target(
                "t1", incarnation=2, address=target.address
            )
            fixture.balancer.add_target(restarted, 1_000.0)
            prober.update_assignment()
            await asyncio.wait_for(target.arrived.wait(), 2.0)
            prober.stop()

    asyncio.run(main())


def test_unexpected_error_does_not_end_reports_to_other_data_centres():
    """Remote entries would continue to balance by outdated loads."""
    remote = _peer("e9", "dc2")
    fixture = _Fixture(remote)
    fixture.load.apply_report(dialects.Load(1, 0, 2, 1.0), 1_000.0)
    calls = []

    def remote_delegates():
        calls.append(1)
        if len(calls) == 1:
            raise ValueError("unexpected")
        return [remote]

    fixture.group.is_delegate = lambda: True
    fixture.group.remote_delegates = remote_delegates

    async def check():
        fixture.sharing.start()
        try:
            await waiting.until(lambda: fixture.group.sent)
        finally:
            fixture.sharing.stop()

    asyncio.run(check())
    assert len(calls) > 1


def test_unexpected_error_does_not_end_the_probes_of_a_target():
    """Its load would be updated only by responses to requests."""

    class Dialect(builders.PlainDialect):
        calls = 0

        def parse_response(self, *args):
            self.calls += 1
            if self.calls == 1:
                raise ValueError("unexpected")
            return super().parse_response(*args)

    async def main():
        fixture = _Fixture()
        dialect = Dialect()
        prober = _prober(fixture, dialect)
        async with scripted_target.ScriptedTarget(
            scripted_target.response
        ) as target:
            fixture.balancer.remove_target("t1")
            fixture.balancer.add_target(
                builders.target("t1", address=target.address), 1_000.0
            )
            prober.update_assignment()
            try:
                await waiting.until(lambda: dialect.calls > 1)
            finally:
                prober.stop()

    asyncio.run(main())


def test_full_report_of_several_datagrams_clears_ended_requests():
    """A lost report left its requests counted for as long as there was load.

    Targets then look full although they have room, and requests are refused.
    """
    sender_peer, receiver_peer = _peer("e1"), _peer("e2")
    sender, receiver = _Fixture(receiver_peer), _Fixture(sender_peer)
    for number in range(2, 100):
        for fixture in (sender, receiver):
            fixture.balancer.add_target(builders.target(f"t{number}"), 0.0)

    def send_full_report():
        sender.clock.advance(600)
        sender.group.sent.clear()
        sender.sharing.tick()
        reports = [report for report, _ in sender.group.sent]
        assert len(reports) > 1
        for report in reports:
            receiver.sharing.handle_report(sender_peer, report)

    exchanges = [
        load.start("k", 1_000.0) for load in sender.balancer.load_by_id.values()
    ]
    send_full_report()
    assert receiver.load.peer_in_flight_by_id == {"e1": 1}
    # The report of this end is lost.
    sender.load.record_success(exchanges[0], 1_100.0)
    send_full_report()
    assert not receiver.load.peer_in_flight_by_id
    counted = [
        load
        for load in receiver.balancer.load_by_id.values()
        if load.peer_in_flight_by_id
    ]
    assert len(counted) == 98


def test_refusals_tell_a_lost_path_from_a_failed_target():
    """Both look like failed connects, but peers still hear the first target."""
    balancer = balancing.Balancer("dc1")
    for name in ("lost", "failed", "sound"):
        balancer.add_target(builders.target(name), 0.0)
    for name in ("lost", "failed"):
        balancer.load_by_id[name].path.failed_ms = 1_000.0
    balancer.load_by_id["lost"].path.answered_peer_ms = 1_100.0
    balancer.load_by_id["failed"].path.answered_peer_ms = 990.0
    fields = balancer.describe(builders.dispatch_request(), 1_200.0)
    assert (fields["unconnected"], fields["heard_by_peers"]) == (2, 1)


def test_entry_with_many_targets_probes_no_more_often_than_usual():
    """With 17 targets an entry sent 330 probes a second to be reported."""

    async def check() -> None:
        fixture = _Fixture(_peer("e2"))
        prober = sharing.LoadProber(
            builders.gateway_settings(probes_per_s=60.0),
            builders.PlainDialect(),
            fixture.balancer,
            fixture.group,
            connections.ConnectionPool(),
            fixture.paths,
            fixture.clock,
            metrics.Metrics(),
            fixture.sharing,
        )
        pool = fixture.balancer.pool("s")
        pool.last_used_ms = fixture.clock.now_ms()
        fixture.load.set_peer_in_flight("e2", 4)
        interval_s = {}
        for targets in (1, 17):
            prober._task_by_load = dict.fromkeys(range(targets))
            interval_s[targets] = prober._interval_s(fixture.load)
        assert interval_s[1] < 0.03
        assert interval_s[17] == 0.09

    asyncio.run(check())


def test_requests_are_reported_before_probed_loads():
    """A report that waits for others lets peers use the same slot."""

    async def check() -> None:
        fixture = _Fixture(_peer("e2"))
        fixture.sharing.schedule_probed(fixture.load)
        await asyncio.sleep(0.0015)
        assert not fixture.group.sent
        fixture.sharing.schedule_report(fixture.load)
        await asyncio.sleep(0.0015)
        assert len(fixture.group.sent) == 1

    asyncio.run(check())
