"""Requests at targets of other data centres, as the entries there know them."""

import asyncio

from slatechute import messages
from slatechute.gateway import balancing
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import remote_requests
from slatechute.util import clock as clocks
from tests.gateway import builders

_TARGET = "t1"


class _Group:
    """A fake group whose only peer is an entry of the targets' data centre."""

    def __init__(self):
        presence = messages.Presence(
            "f1", "b", "dc2", "h:1", "h:2", 1, "ready", is_active=True
        )
        self.peer = peer_groups.Peer(presence, ("h", 1), 0.0)
        self.sent: list[messages.RemoteRequests] = []

    def live_peers(self) -> list[peer_groups.Peer]:
        return [self.peer]

    def broadcast(self, message, peers) -> None:
        for _ in peers:
            self.sent.append(messages.decode(messages.encode(message)))


class _Entry:
    def __init__(self, data_centre: str, boot_id: str = "b1"):
        self.clock = clocks.ManualClock(1_000.0)
        self.group = _Group()
        settings = builders.gateway_settings(data_centre=data_centre)
        self.reports = remote_requests.RemoteRequests(
            settings, boot_id, self.clock
        )
        self.balancer = balancing.Balancer(
            data_centre, self.reports.schedule_report
        )
        self.reports.attach(self.group, self.balancer)
        self.balancer.add_target(
            builders.target(_TARGET, data_centre="dc2"), 0.0
        )
        self.load = self.balancer.load_by_id[_TARGET]

    def start(self):
        exchange = self.load.start("w", self.clock.now_ms())
        self.reports.schedule_report(self.load)
        return exchange

    def end(self, exchange) -> None:
        self.load.record_cancellation(exchange)
        self.reports.schedule_report(self.load)


async def _deliver(sender: _Entry, receiver: _Entry) -> int:
    await asyncio.sleep(0.005)
    sent, sender.group.sent = sender.group.sent, []
    for message in sent:
        receiver.reports.handle_report(message)
    return len(sent)


def _run(check) -> None:
    async def run() -> None:
        await check(_Entry("dc1"), _Entry("dc2"))

    asyncio.run(run())


def test_request_of_another_data_centre_occupies_a_slot():
    """Two data centres would use the last free slot at the same time."""

    async def check(sender: _Entry, receiver: _Entry) -> None:
        exchange = sender.start()
        assert await _deliver(sender, receiver) == 1
        assert receiver.load.occupancy() == 1
        sender.end(exchange)
        await _deliver(sender, receiver)
        assert receiver.load.occupancy() == 0

    _run(check)


def test_lost_report_is_repeated():
    """The slot would count as free, or as occupied for ever."""

    async def check(sender: _Entry, receiver: _Entry) -> None:
        exchange = sender.start()
        await asyncio.sleep(0.005)
        sender.group.sent.clear()
        sender.reports.tick()
        await _deliver(sender, receiver)
        assert receiver.load.occupancy() == 1
        sender.end(exchange)
        await asyncio.sleep(0.005)
        sender.group.sent.clear()
        sender.clock.advance(600.0)
        sender.reports.tick()
        await _deliver(sender, receiver)
        assert receiver.load.occupancy() == 0
        sender.clock.advance(600.0)
        sender.reports.tick()
        sender.clock.advance(600.0)
        sender.reports.tick()
        assert await _deliver(sender, receiver) <= 1

    _run(check)


def test_requests_of_a_lost_entry_expire():
    """After a power loss of a data centre its requests have ended."""

    async def check(sender: _Entry, receiver: _Entry) -> None:
        sender.start()
        await _deliver(sender, receiver)
        receiver.clock.advance(1_000.0)
        receiver.reports.tick()
        assert receiver.load.occupancy() == 1
        receiver.clock.advance(1_000.0)
        receiver.reports.tick()
        assert receiver.load.occupancy() == 0

    _run(check)


def test_late_report_does_not_undo_a_newer_one():
    """Datagrams may arrive out of order."""

    async def check(sender: _Entry, receiver: _Entry) -> None:
        exchange = sender.start()
        await asyncio.sleep(0.005)
        sender.end(exchange)
        await asyncio.sleep(0.005)
        started, ended = sender.group.sent
        receiver.reports.handle_report(ended)
        receiver.reports.handle_report(started)
        assert receiver.load.occupancy() == 0

    _run(check)


def test_reports_of_a_restarted_entry_count():
    """Its sequence numbers begin again."""

    async def check(sender: _Entry, receiver: _Entry) -> None:
        for _ in range(3):
            exchange = sender.start()
            await _deliver(sender, receiver)
            sender.end(exchange)
            await _deliver(sender, receiver)
        restarted = _Entry("dc1", boot_id="b2")
        restarted.start()
        await _deliver(restarted, receiver)
        assert receiver.load.occupancy() == 1

    _run(check)


def test_local_requests_are_not_sent_to_other_data_centres():
    """Traffic between data centres is paid for by the byte."""

    async def check(sender: _Entry, receiver: _Entry) -> None:
        del sender
        receiver.start()
        await asyncio.sleep(0.005)
        receiver.reports.tick()
        assert not receiver.group.sent

    _run(check)
