"""Free slots that several entries with waiting requests see at once."""

from slatechute.gateway import balancing
from slatechute.gateway import loads
from slatechute.gateway import slot_turns
from tests.gateway import builders

_ENTRIES = [f"e{number}" for number in range(6)]


def test_each_target_has_one_entry_that_goes_first():
    """All entries would send a request to the same free slot."""
    first = set()
    for number in range(60):
        delays = [
            slot_turns.delay_ms(f"t{number}", entry, set(_ENTRIES) - {entry})
            for entry in _ENTRIES
        ]
        assert sorted(delays)[:2] == [0.0, 2.0]
        first.add(delays.index(0.0))
    assert first == set(range(6))


def test_no_entry_waits_for_long():
    """Entries that went first may not need the slot."""
    peers = [f"p{number}" for number in range(500)]
    assert slot_turns.delay_ms("t1", "e0", peers) <= slot_turns.MAX_DELAY_MS


class _Fleet:
    """Entries whose only target has just one request of one of them."""

    def __init__(self):
        self.started: list[str] = []
        self.balancers = [
            balancing.Balancer("dc1", entry_id=entry) for entry in _ENTRIES
        ]
        for balancer, entry in zip(self.balancers, _ENTRIES, strict=True):
            balancer.add_target(builders.target("t1", slots=1), 0.0)
            self._enqueue(balancer, entry)
            for peer in set(_ENTRIES) - {entry}:
                balancer.pool("s").peer_waiting_by_id[peer] = 1
            self.load(balancer).set_peer_in_flight("e9", 1)

    def load(self, balancer: balancing.Balancer) -> loads.TargetLoad:
        return balancer.load_by_id["t1"]

    def _enqueue(self, balancer: balancing.Balancer, entry: str) -> None:
        request = balancing.DispatchRequest(
            builders.route(), "s", 0.0, 250.0, 800.0
        )
        balancer.enqueue(
            balancing.QueuedRequest(
                request, lambda result: self.started.append(entry)
            )
        )

    def dispatch(self, now_ms: float) -> None:
        for balancer in self.balancers:
            balancer.dispatch_waiting("s", now_ms)


def test_report_of_a_free_slot_starts_one_waiting_request():
    """A target with one free slot got a request of each entry."""
    fleet = _Fleet()
    for balancer in fleet.balancers:
        fleet.load(balancer).set_peer_in_flight("e9", 0, now_ms=10.0)
    fleet.dispatch(10.2)
    assert len(fleet.started) == 1


def test_entry_whose_request_ends_needs_no_turn():
    """The slot would be idle until the peers know that it is free."""
    fleet = _Fleet()
    for balancer in fleet.balancers:
        fleet.load(balancer).set_peer_in_flight("e9", 0, now_ms=10.0)
        exchange = fleet.load(balancer).start("w", 10.0)
        fleet.load(balancer).record_cancellation(exchange)
    fleet.dispatch(10.1)
    assert len(fleet.started) == len(_ENTRIES)


def test_slot_that_nobody_takes_is_free_for_all_soon():
    """An entry that is killed would keep the slot from the others."""
    fleet = _Fleet()
    for balancer in fleet.balancers:
        fleet.load(balancer).set_peer_in_flight("e9", 0, now_ms=10.0)
    fleet.dispatch(10.0 + slot_turns.MAX_DELAY_MS)
    assert len(fleet.started) == len(_ENTRIES)
