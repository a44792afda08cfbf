"""State machine over slots: each is given to one owner that gives it back."""

import asyncio
import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from slatechute import errors
from slatechute import metrics
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import forwarding
from slatechute.gateway import relaying
from tests.gateway import builders

_TARGETS = 2
_SLOTS = 1


class _Clock:
    """A clock that only the test moves."""

    def __init__(self):
        self.ms = 0.0

    def now_ms(self) -> float:
        return self.ms


class _Connection:
    """An exchange that ends when the test says so."""

    def __init__(self, exchanges: list[asyncio.Future]):
        self.exchanges = 0
        self._exchanges = exchanges

    async def exchange(self, method, path, headers, body, attribute):
        del method, path, headers, body, attribute
        future = asyncio.get_running_loop().create_future()
        self._exchanges.append(future)
        return await future


class _Pool:
    """Connections to all targets."""

    def __init__(self):
        self.exchanges: list[asyncio.Future] = []

    async def acquire(self, address, *, repeatable):
        del address, repeatable
        return _Connection(self.exchanges)

    def release(self, address, connection):
        pass

    def close_idle(self, address):
        pass


def _response(*, is_refusal: bool) -> connections.TargetResponse:
    headers = [("id", "r"), ("signed", "1")]
    if is_refusal:
        headers.append(("not-run", "1"))
    return connections.build_response(503 if is_refusal else 200, headers, b"")


class SlotAccounts(stateful.RuleBasedStateMachine):
    """Requests that wait, run, are refused, are lost or whose callers leave.

    Rules only schedule, and `run_loop` lets one step of the event loop pass, so
    that events fall between the steps in every order.
    """

    def __init__(self):
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._clock = _Clock()
        self._pool = _Pool()
        self._tasks: list[asyncio.Task] = []
        self._counters = metrics.Metrics()
        settings = builders.gateway_settings(retry_ratio=1.0)
        self._balancer = balancing.Balancer("dc1")
        self._forwarder = forwarding.Forwarder(
            settings,
            builders.PlainDialect(),
            self._balancer,
            self._pool,
            builders.paths(self._balancer),
            relaying.RelayClient(settings, self._clock),
            self._clock,
            self._counters,
            lambda *crash: None,
            lambda load: None,
        )
        for number in range(_TARGETS):
            self._balancer.add_target(
                builders.target(f"t{number}", slots=_SLOTS), 0.0
            )

    def _loads(self):
        return list(self._balancer.load_by_id.values())

    def _step(self) -> None:
        self._loop.call_soon(self._loop.stop)
        self._loop.run_forever()

    async def _forward(self, repeatable: bool) -> None:
        now_ms = self._clock.now_ms()
        request = forwarding.CallerRequest(
            "r",
            "GET",
            "/a/x",
            [],
            b"",
            builders.route(repeatable=repeatable, objective_ms=1e5),
            "s",
            now_ms,
            now_ms,
            now_ms + 1e5,
            now_ms + 1e6,
        )
        with contextlib.suppress(errors.RequestError):
            await self._forwarder.forward(request, forwarding.Trace())

    @stateful.rule(
        count=strategies.integers(1, 4), repeatable=strategies.booleans()
    )
    def arrive(self, count, repeatable):
        """Accept requests, which start to run or wait."""
        for _ in range(count):
            self._tasks.append(
                self._loop.create_task(self._forward(repeatable))
            )
        self._step()

    @stateful.rule(index=strategies.integers(0, 30))
    def leave(self, index):
        """Cancel the request of a caller that has left."""
        running = [task for task in self._tasks if not task.done()]
        if running:
            running[index % len(running)].cancel()

    @stateful.rule(
        index=strategies.integers(0, 30),
        outcome=strategies.sampled_from(
            ["response", "refusal", "lost", "error"]
        ),
    )
    def end(self, index, outcome):
        """End an exchange."""
        running = [f for f in self._pool.exchanges if not f.done()]
        if not running:
            return
        future = running[index % len(running)]
        if outcome == "lost":
            future.set_exception(
                connections.ExchangeError(errors.Step.WRITTEN, "closed")
            )
        elif outcome == "error":
            future.set_exception(OverflowError("unexpected"))
        else:
            future.set_result(_response(is_refusal=outcome == "refusal"))

    @stateful.rule(
        running=strategies.integers(0, 3), index=strategies.integers(0, 9)
    )
    def report_load(self, running, index):
        """Apply a load report of a target, which may free a slot."""
        load = self._loads()[index % _TARGETS]
        load.apply_report(
            dialects.Load(running, 0, _SLOTS), self._clock.now_ms()
        )
        self._balancer.dispatch_waiting("s", self._clock.now_ms())

    @stateful.rule(count=strategies.integers(0, 2))
    def report_peer(self, count):
        """Apply a report of a peer."""
        load = self._loads()[0]
        load.set_peer_in_flight("e2", count, 1, self._clock.now_ms())
        self._balancer.dispatch_waiting("s", self._clock.now_ms())

    @stateful.rule(ms=strategies.sampled_from([1.0, 50.0, 3_000.0, 200_000.0]))
    def move_clock(self, ms):
        """Let time pass, as in a freeze, and run the periodic step after it."""
        self._clock.ms += ms
        self._balancer.tick(self._clock.now_ms())

    @stateful.rule(steps=strategies.integers(1, 3))
    def run_loop(self, steps):
        """Let some steps of the event loop pass."""
        for _ in range(steps):
            self._step()

    @stateful.invariant()
    def each_slot_has_an_owner(self):
        """A slot without an owner is never given back."""
        assert self._forwarder.unowned_slots() == 0

    def teardown(self):
        """Let all requests end, after which no slot may be held."""
        for task in self._tasks:
            task.cancel()
        for _ in range(10):
            self._step()
        try:
            assert all(task.done() for task in self._tasks)
            assert [load.local_in_flight for load in self._loads()] == [
                0
            ] * _TARGETS
            assert not self._balancer.pool("s").waiting
            assert self._forwarder.unowned_slots() == 0
        finally:
            self._loop.close()


TestSlotAccounts = SlotAccounts.TestCase
TestSlotAccounts.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
