"""State machine over what an entry takes for proof that nothing has run.

Each request that a target has received counts as run once the target has run
it, or may yet do so, unless the target has promised otherwise. A caller must
not be told otherwise, and a request that must not run twice must not be sent
again. `EVIDENCE_EXAMPLES` sets the number of examples.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
import dataclasses
import os
import random
from typing import TypeVar

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from slatechute import errors
from slatechute import messages
from slatechute import metrics
from slatechute.gateway import attribution
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import forwarding
from slatechute.gateway import http_server
from slatechute.gateway import path_monitor
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import relaying
from tests.gateway import builders
from tests.gateway import memory_network

_SHARED_ADDRESS = "10.0.0.1:80"
_OTHER_ADDRESS = "10.0.0.2:80"
_ADDRESSES = (_SHARED_ADDRESS, _OTHER_ADDRESS)
_ADDRESS_BY_TARGET_ID = {
    "t1": _SHARED_ADDRESS,
    "t2": _SHARED_ADDRESS,
    "other": _OTHER_ADDRESS,
}
_PROMISING_STATUSES = (408, 421, 429, 503)
_MAX_AT_ONCE = 3
_SHORT_PAUSE_MS = 30.0
_LONG_PAUSES_MS = (700.0, 2_500.0)
# Most requests arrive at one entry, so that its connections are used again.
_NUMBERS = strategies.sampled_from([0, 0, 0, 1])
_FIRST_STATUSES = strategies.sampled_from([200, 503, 429, 421])
_CHOICES = strategies.integers(0, 7)
# No test reads them, and their creation takes most of the time of an entry's.
_COUNTERS = metrics.Metrics()
_IS_LONG = "EVIDENCE_EXAMPLES" in os.environ
_EXAMPLES = int(os.environ.get("EVIDENCE_EXAMPLES", "200"))

_T = TypeVar("_T")


class _Peers:
    """The group of an entry with one peer."""

    def __init__(self, presence: messages.Presence):
        self._peer = peer_groups.Peer(presence, ("", 0), 0.0)

    def live_peers(self) -> list[peer_groups.Peer]:
        return [self._peer]

    def is_local(self, peer: peer_groups.Peer) -> bool:
        del peer
        return True


async def _grant(service: str) -> bool:
    del service
    return True


class _Entry:
    """What forwards and relays requests at one entry."""

    def __init__(self, number: int, loop: memory_network.Loop):
        self._loop = loop
        address = f"10.0.1.{number}:80"
        settings = builders.gateway_settings(
            entry_id=f"e{number}", control_address=address, retry_ratio=1.0
        )
        dialect = builders.PlainDialect()
        counters = _COUNTERS
        self.presence = messages.Presence(
            f"e{number}", "b", "dc1", "", address, 0, peer_groups.READY
        )
        self.presence.services_without_path = []
        self.pool = memory_network.CutPool()
        self.balancer = balancing.Balancer(
            "dc1",
            generator=random.Random(number),
            has_connection=lambda load, repeatable: self.pool.has_idle(
                load.target.address, repeatable=repeatable
            ),
        )
        self.relay = relaying.RelayClient(settings, loop)
        self.paths = path_monitor.PathMonitor(
            self.balancer,
            lambda load: self.pool.close_idle(load.target.address),
            self._announce,
            self.relay.has_relay,
        )
        self.forwarder = forwarding.Forwarder(
            settings,
            dialect,
            self.balancer,
            self.pool,
            self.paths,
            self.relay,
            loop,
            counters,
            lambda *crash: None,
            lambda load: None,
            request_retry_token=_grant,
        )
        relay_server = relaying.RelayServer(
            settings,
            dialect,
            self.balancer,
            self.pool,
            loop,
            self.paths,
            counters,
            lambda load: None,
            lambda load: None,
            lambda: False,
        )
        self.server = http_server.HttpServer(address, relay_server.handle)
        self.hops: list[http_server.Connection] = []
        loop.protocol_by_address[address] = self._accept

    def _accept(self) -> http_server.Connection:
        self.hops.append(http_server.Connection(self.server))
        return self.hops[-1]

    def _announce(self) -> None:
        self.presence.services_without_path = self.paths.services_without_path

    def add_target(self, target_id: str, address: str) -> None:
        self.balancer.add_target(
            builders.target(target_id, address=address, slots=4),
            self._loop.now_ms(),
        )

    def lose_paths(self, address: str) -> None:
        """Notice that the paths to an address are lost."""
        lost = [
            load
            for load in self.balancer.load_by_id.values()
            if load.target.address == address and not load.path.is_lost
        ]
        self.paths._lose(lost, self._loop.now_ms(), "test")

    def restore_paths(self) -> None:
        self.pool.cut.clear()
        for load in self.balancer.load_by_id.values():
            self.paths.restore(load, self._loop.now_ms())


@dataclasses.dataclass(slots=True, eq=False)
class _Sent:
    """A request of the caller.

    Attributes:
        id: Its id.
        repeatable: Whether it may run more than once.
        task: Returns its response.
    """

    id: str
    repeatable: bool
    task: asyncio.Task


def _body(request_id: str) -> bytes:
    return f"answer to {request_id}".encode()


def _encode(
    request_id: str,
    status: int,
    *,
    is_named: bool = True,
    is_marked: bool = False,
    is_leaving: bool = False,
) -> bytes:
    """Return the response of a target to a request."""
    body = _body(request_id)
    lines = [
        f"HTTP/1.1 {status} X",
        f"Content-Length: {len(body)}",
        *([f"Id: {request_id}"] if is_named else []),
        *(["Not-Run: 1"] if is_marked else ["Signed: 1"]),
        *(["Leaving: 1"] if is_leaving else []),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _without_id(response: bytes) -> bytes:
    """Return a response without the line that names its request."""
    lines = response.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.startswith(b"Id: "))


def _pick(items: Sequence[_T], number: int) -> Sequence[_T]:
    """Return one of the items, or none if there are none."""
    return [items[number % len(items)]] if items else []


class EvidenceModel(stateful.RuleBasedStateMachine):
    """Requests of one caller to two entries with the paths to three targets."""

    def __init__(self):
        super().__init__()
        self._loop = memory_network.Loop()
        self._entries = [_Entry(number, self._loop) for number in (1, 2)]
        first, second = self._entries
        first.relay.group = _Peers(second.presence)
        second.relay.group = _Peers(first.presence)
        for entry in self._entries:
            # The registrations of both targets of an address are there at once,
            # as the platform reports changes late.
            for target_id, address in _ADDRESS_BY_TARGET_ID.items():
                entry.add_target(target_id, address)
        self._targets = [
            memory_network.Target(
                target_id, _ADDRESS_BY_TARGET_ID[target_id], self._loop
            )
            for target_id in ("t1", "other")
        ]
        self._sent: list[_Sent] = []

    # Steps.

    def _ends(
        self,
        condition: Callable[[memory_network.TargetEnd], object],
    ) -> list[memory_network.TargetEnd]:
        return [
            end
            for target in self._targets
            for end in target.open_ends()
            if condition(end)
        ]

    def _served(self) -> list[memory_network.TargetEnd]:
        """Return the connections on which a request awaits its response."""
        return self._ends(lambda end: end.waiting)

    def _proceed(self, is_settled: bool) -> None:
        """Let the event loop handle the step, or only its first events."""
        if is_settled:
            self._loop.step()
        else:
            self._loop.step(1)

    def _running(self) -> list[_Sent]:
        return [sent for sent in self._sent if not sent.task.done()]

    @stateful.initialize(
        earlier=strategies.lists(
            strategies.tuples(_NUMBERS, _FIRST_STATUSES), max_size=3
        ),
        is_without_path=strategies.sampled_from([False, False, True]),
    )
    def begin(self, earlier, is_without_path):
        """End some requests, so that connections are kept."""
        if is_without_path:
            self._lose_paths(self._entries[0], _ADDRESSES)
        for number, status in earlier:
            self._exchange(number, status)

    @stateful.precondition(lambda self: not self._served())
    @stateful.rule(number=_NUMBERS, status=_FIRST_STATUSES)
    def exchange(self, number, status):
        """Send a request and answer it."""
        self._exchange(number, status)

    def _exchange(self, number: int, status: int) -> None:
        self._send(number, repeatable=False)
        while self._served():
            if status == 200:
                self._answer(0, status)
            else:
                self._refuse(0, status)
            self._loop.step()
            status = 200

    @stateful.precondition(lambda self: len(self._running()) < _MAX_AT_ONCE)
    @stateful.rule(
        number=_NUMBERS,
        repeatable=strategies.sampled_from([False, False, True]),
    )
    def send(self, number, repeatable):
        """Send a request to an entry."""
        self._send(number, repeatable=repeatable)

    def _send(self, number: int, *, repeatable: bool) -> None:
        # A target that has refused a request takes others again.
        self._pass_time(_SHORT_PAUSE_MS)
        request_id = f"r{len(self._sent)}"
        now_ms = self._loop.now_ms()
        request = forwarding.CallerRequest(
            request_id,
            "GET",
            f"/a/{request_id}",
            [("Host", "h"), ("Id", request_id)],
            b"",
            builders.route(repeatable=repeatable, max_attempts=4),
            "s",
            now_ms,
            now_ms,
            now_ms + 10_000,
            now_ms + 20_000,
        )
        task = self._loop.create_task(
            self._entries[number].forwarder.forward(request, forwarding.Trace())
        )
        self._sent.append(_Sent(request_id, repeatable, task))
        self._loop.step()

    @stateful.precondition(lambda self: self._served())
    @stateful.rule(
        index=_CHOICES,
        status=strategies.sampled_from([200, 200, 200, 500]),
        is_named=strategies.sampled_from([True, True, True, False]),
        is_settled=strategies.booleans(),
    )
    def answer(self, index, status, is_named, is_settled):
        """Run a request and answer it."""
        self._answer(index, status, is_named=is_named)
        self._proceed(is_settled)

    def _answer(
        self, index: int, status: int, *, is_named=True, cut=None
    ) -> None:
        served = self._served()
        end = served[index % len(served)]
        request = end.waiting[0]
        is_refusal = request.is_misdirected
        if is_refusal:
            request.run = memory_network.Run.REFUSED
        else:
            request.run = memory_network.Run.DONE
        response = _encode(
            request.request_id,
            421 if is_refusal else status,
            is_named=is_named,
            is_marked=is_refusal,
            is_leaving=end.target.is_leaving,
        )
        end.respond(response, cut=cut)

    @stateful.precondition(lambda self: self._served())
    @stateful.rule(
        index=_CHOICES,
        status=strategies.sampled_from(_PROMISING_STATUSES),
        is_marked=strategies.sampled_from([True, True, False]),
        is_named=strategies.sampled_from([True, True, True, False]),
        is_settled=strategies.booleans(),
    )
    def refuse(self, index, status, is_marked, is_named, is_settled):
        """Refuse a request; without the mark, it may have run or run later."""
        self._refuse(index, status, is_marked=is_marked, is_named=is_named)
        self._proceed(is_settled)

    def _refuse(
        self, index: int, status: int, *, is_marked=True, is_named=True
    ) -> None:
        served = self._served()
        end = served[index % len(served)]
        request = end.waiting[0]
        if request.run is memory_network.Run.DONE:
            status, is_marked = 503, False
        if is_marked or status == 421:
            request.run = memory_network.Run.REFUSED
        end.respond(
            _encode(
                request.request_id,
                status,
                is_named=is_named,
                is_marked=is_marked,
                is_leaving=end.target.is_leaving,
            )
        )

    @stateful.precondition(lambda self: self._ends(lambda end: end.written))
    @stateful.rule(
        index=_CHOICES,
        earlier=strategies.sampled_from([-1, -1, -1, 0, 1, 2]),
        is_idle=strategies.sampled_from([False, False, False, True]),
        is_named=strategies.booleans(),
        is_settled=strategies.booleans(),
    )
    def repeat(self, index, earlier, is_idle, is_named, is_settled):
        """Write an earlier response of a connection once more.

        It is written before the response to the next request, or while the
        connection is idle.
        """
        ends = self._ends(
            lambda end: end.written and is_idle is not bool(end.waiting)
        )
        if ends:
            self._repeat(ends, index, earlier, is_named)
            self._proceed(is_settled)

    def _repeat(
        self,
        ends: list[memory_network.TargetEnd],
        index: int,
        earlier: int,
        is_named: bool,
    ) -> None:
        end = ends[index % len(ends)]
        response = end.written[earlier % len(end.written)]
        if not is_named:
            response = _without_id(response)
        end.write(response)

    @stateful.rule(
        disturb=strategies.sampled_from(
            [
                "_run",
                "_break_off",
                "_restart",
                "_drain",
                "_cut_path",
                "_lose_path",
                "_lose_path",
                "_restore_paths",
                "_break_hop",
                "_leave",
                "_freeze",
            ]
        ),
        number=strategies.integers(0, 127),
        is_settled=strategies.booleans(),
    )
    def disturb(self, disturb, number, is_settled):
        """Let something else happen."""
        getattr(self, disturb)(number)
        self._proceed(is_settled)

    def _run(self, number: int) -> None:
        """Run a request whose response follows later, or never."""
        for end in _pick(self._served(), number):
            if not end.waiting[0].is_misdirected:
                end.waiting[0].run = memory_network.Run.DONE

    def _break_off(self, number: int) -> None:
        """Run a request and break off the connection within the response."""
        if self._served():
            self._answer(0, 200, cut=number)

    def _restart(self, number: int) -> None:
        """Start the next target of the shared address."""
        del number
        if len(self._targets) == 2:
            self._targets[0].stop()
            self._targets.append(
                memory_network.Target("t2", _SHARED_ADDRESS, self._loop)
            )

    def _drain(self, number: int) -> None:
        """Let a target announce in its responses that it leaves."""
        for target in _pick(self._targets, number):
            target.is_leaving = True

    def _cut_path(self, number: int) -> None:
        """Cut a path of an entry, which finds no connection from then on."""
        for entry in _pick(self._entries, number):
            entry.pool.cut.update(_pick(_ADDRESSES, number // 2))

    def _lose_path(self, number: int) -> None:
        """Let an entry notice the cut, so that it asks its peer."""
        for entry in _pick(self._entries, number):
            self._lose_paths(entry, _pick(_ADDRESSES, number // 2))

    def _lose_paths(self, entry: _Entry, addresses: Iterable[str]) -> None:
        entry.pool.cut.update(addresses)
        for address in addresses:
            self._loop.call_soon(entry.lose_paths, address)

    def _restore_paths(self, number: int) -> None:
        for entry in _pick(self._entries, number):
            self._loop.call_soon(entry.restore_paths)

    def _break_hop(self, number: int) -> None:
        """Break off a connection between the entries."""
        hops = [
            connection
            for entry in self._entries
            for connection in entry.hops
            if connection in entry.server.connections
        ]
        for connection in _pick(hops, number):
            self._loop.call_soon(connection.abort)

    def _leave(self, number: int) -> None:
        """Cancel the request of the caller."""
        for sent in _pick(self._running(), number):
            sent.task.cancel()

    def _freeze(self, number: int) -> None:
        """Let connections become too old, and hedges due."""
        self._pass_time(_LONG_PAUSES_MS[number % len(_LONG_PAUSES_MS)])

    def _pass_time(self, ms: float) -> None:
        self._loop.now_s += ms / 1000
        for entry in self._entries:
            self._loop.call_soon(entry.balancer.tick, self._loop.now_ms())
        self._loop.step()

    # Invariants.

    def _received(self, request_id: str) -> Iterable[memory_network.Received]:
        return (
            received
            for target in self._targets
            for received in target.received
            if received.request_id == request_id
        )

    def _possible_runs(self, request_id: str) -> int:
        """Return how often a request has run or may yet run."""
        return sum(
            received.run is not memory_network.Run.REFUSED
            and not received.is_misdirected
            for received in self._received(request_id)
        )

    @stateful.invariant()
    def unrepeatable_requests_run_once(self):
        """A request must not be sent again while it may have run."""
        for sent in self._sent:
            if not sent.repeatable:
                assert self._possible_runs(sent.id) <= 1, sent.id

    @stateful.invariant()
    def results_are_true(self):
        """A caller gets its own answer, and no promise that is broken."""
        for sent in self._sent:
            if not sent.task.done() or sent.task.cancelled():
                continue
            error = sent.task.exception()
            if error is None:
                self._check_response(sent, sent.task.result())
                continue
            assert isinstance(error, errors.RequestError), error
            if (
                error.outcome is errors.Outcome.NOT_RUN
                or error.status in _PROMISING_STATUSES
            ):
                assert not self._possible_runs(sent.id), (sent.id, error)

    def _check_response(
        self, sent: _Sent, response: connections.TargetResponse
    ) -> None:
        assert response.header_by_name.get("id", sent.id) == sent.id
        assert response.body == _body(sent.id), sent.id
        if response.status in _PROMISING_STATUSES and not sent.repeatable:
            assert not self._possible_runs(sent.id), (sent.id, response.status)

    def teardown(self):
        """End what is still running."""
        for sent in self._sent:
            sent.task.cancel()
        self._loop.step()
        try:
            assert all(sent.task.done() for sent in self._sent)
            self.unrepeatable_requests_run_once()
            self.results_are_true()
        finally:
            self._loop.close()


def _settings(**fields) -> hypothesis.settings:
    values = {
        "max_examples": _EXAMPLES,
        "stateful_step_count": 30,
        "phases": (hypothesis.Phase.generate, hypothesis.Phase.shrink),
        "database": None,
        "deadline": None,
        "suppress_health_check": list(hypothesis.HealthCheck),
    }
    return hypothesis.settings(**(values | fields))


TestEvidenceModel = EvidenceModel.TestCase
# A long run by hand draws other examples each time.
TestEvidenceModel.settings = _settings(derandomize=not _IS_LONG)


def _keep_connections(monkeypatch) -> None:
    monkeypatch.setattr(
        memory_network.CutPool, "close_idle", lambda self, address: None
    )


def _judge_421_before_the_id(monkeypatch) -> None:
    # A connection that has carried a 421 would be closed.
    _keep_connections(monkeypatch)
    attribute = attribution.ResponseAttributor.attribute

    def attribute_by_status(self, request_id, target_id, response):
        if response.status == 421:
            return connections.Attribution.OWN
        return attribute(self, request_id, target_id, response)

    monkeypatch.setattr(
        attribution.ResponseAttributor, "attribute", attribute_by_status
    )


def _use_connections_of_refused_addresses(monkeypatch) -> None:
    monkeypatch.setattr(
        forwarding.Trace, "has_used", lambda self, record: False
    )
    _keep_connections(monkeypatch)


def _pass_on_statuses_without_a_promise(monkeypatch) -> None:
    classify = forwarding.Forwarder._classify_response

    def classify_by_status(self, request, trace, exchange, record, response):
        failure = classify(self, request, trace, exchange, record, response)
        if failure and failure.reason is errors.Reason.TARGET_ERROR:
            failure.response = response
        return failure

    monkeypatch.setattr(
        forwarding.Forwarder, "_classify_response", classify_by_status
    )


def _believe_responses_without_an_id(monkeypatch) -> None:
    attribute = attribution.ResponseAttributor.attribute

    def attribute_unnamed(self, request_id, target_id, response):
        attributed = attribute(self, request_id, target_id, response)
        if attributed is connections.Attribution.UNCERTAIN:
            return connections.Attribution.UNNAMED
        return attributed

    monkeypatch.setattr(
        attribution.ResponseAttributor, "attribute", attribute_unnamed
    )


@pytest.mark.parametrize(
    ("revert", "seed"),
    [
        (_judge_421_before_the_id, 5),
        (_use_connections_of_refused_addresses, 4),
        (_pass_on_statuses_without_a_promise, 1),
        (_believe_responses_without_an_id, 4),
    ],
)
def test_model_finds_a_fault_of_an_earlier_build(revert, seed, monkeypatch):
    """A model that reaches no fault would pass whatever the code does."""
    revert(monkeypatch)

    @hypothesis.seed(seed)
    class Model(EvidenceModel):
        """The model, with examples of its own."""

    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            Model,
            # With the seeds, far fewer are needed. Any change of the code may
            # lead to other examples.
            settings=_settings(
                max_examples=5 * _EXAMPLES,
                phases=(hypothesis.Phase.generate,),
                report_multiple_bugs=False,
            ),
        )
