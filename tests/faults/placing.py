"""Placing of requests at a step, and the faults that strike there."""

import asyncio
import contextlib
import functools

from tests import waiting
from tests.faults import fleet as fleets

# Above the silence limit of peer links (400 ms), so that the others notice.
PAUSE_S = 0.5
_WORK_MS = 250.0
_PEER_LATENCY_MS = 100.0
_REACH_S = 2.0
_until = functools.partial(waiting.until, limit_s=_REACH_S)


class Step:
    """Holds requests to `e1` at one step.

    Attributes:
        headers: Headers for the requests.
        service: Service that the requests call.
    """

    headers: dict[str, str] = {}
    service: str = fleets.SERVICE

    async def arrange(self, fleet: fleets.Fleet) -> None:
        """Prepare the fleet before the requests are sent."""

    async def reached(self, fleet: fleets.Fleet, ids: list[str]) -> None:
        """Wait until the requests are at the step."""

    async def release(self, fleet: fleets.Fleet) -> None:
        """Let the requests go on."""


class Accepted(Step):
    """Half of the body is at the entry."""

    async def arrange(self, fleet):
        fleet.caller_proxies["e1"].hold(to_upstream=2000)

    async def reached(self, fleet, ids):
        await _until(lambda: fleet.caller_proxies["e1"].held_connections >= 2)

    async def release(self, fleet):
        fleet.caller_proxies["e1"].release()


class Waiting(Step):
    """Other requests hold all slots that the dispatchers grant."""

    async def arrange(self, fleet):
        targets = fleet.targets_of(self.service)
        self._blockers = [
            asyncio.create_task(
                fleet.send(
                    "order",
                    entry_id="e2",
                    body=b"",
                    headers={"X-Work-Ms": str(_WORK_MS)},
                    direct=True,
                )
            )
            # More than all slots: a target may be limited to one of them.
            for _ in range(fleets.SLOTS * len(targets) + 2)
        ]
        await _until(lambda: all(t.running for t in targets))
        await asyncio.sleep(0.05)

    async def reached(self, fleet, ids):
        await asyncio.sleep(0.05)
        assert not any(fleet.runs(key) for key in ids)

    async def release(self, fleet):
        for end in await asyncio.gather(*self._blockers):
            fleets.check(end)


class Granted(Step):
    """The grant of a peer is under way."""

    service = fleets.FAR_SERVICE

    async def arrange(self, fleet):
        # A grant that comes too late for its request goes to the next one.
        await asyncio.sleep(0.05)
        for proxy in fleet.peer_proxies.values():
            proxy.to_upstream.latency_ms = _PEER_LATENCY_MS
            proxy.to_client.latency_ms = _PEER_LATENCY_MS

    async def reached(self, fleet, ids):
        await asyncio.sleep(1.5 * _PEER_LATENCY_MS / 1000)
        assert not any(fleet.runs(key) for key in ids)

    async def release(self, fleet):
        for proxy in fleet.peer_proxies.values():
            proxy.to_upstream.latency_ms = 0.0
            proxy.to_client.latency_ms = 0.0


class Connecting(Step):
    """Targets do not answer the SYN packets of new connections."""

    async def arrange(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.reset()
            await proxy.set_dropping_connects(True)

    async def reached(self, fleet, ids):
        await asyncio.sleep(0.05)
        assert not any(fleet.runs(key) for key in ids)

    async def release(self, fleet):
        for proxy in fleet.target_proxies:
            await proxy.set_dropping_connects(False)


class Writing(Step):
    """A part of the request is at the target."""

    async def arrange(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.hold(to_upstream=2000)

    async def reached(self, fleet, ids):
        await _until(
            lambda: sum(p.held_connections for p in fleet.target_proxies) >= 2
        )
        assert not any(fleet.runs(key) for key in ids)

    async def release(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.release()


class Written(Step):
    """The targets run the requests."""

    headers = {"X-Work-Ms": "200"}

    async def reached(self, fleet, ids):
        await _until(lambda: all(fleet.runs(key) for key in ids))


class Reading(Step):
    """A part of the answer is at the entry."""

    def __init__(self, size: int):
        self.headers = {"X-Answer-Bytes": str(size)}

    async def arrange(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.hold(to_client=4000)

    async def reached(self, fleet, ids):
        await _until(
            lambda: sum(p.held_connections for p in fleet.target_proxies) >= 2
        )

    async def release(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.release()


STEPS = {
    "accepted": Accepted,
    "waiting": Waiting,
    "granted": Granted,
    "connecting": Connecting,
    "writing": Writing,
    "written": Written,
    "reading": lambda: Reading(fleets.BUFFERED_BYTES),
}


class Fault:
    """A fault that strikes the path of requests at `e1`.

    Attributes:
        answered_at: Steps at which a request that may run twice still gets
            its answer.
        once_answered_at: The same for one that must not run twice.
    """

    _ALL = frozenset({*STEPS, "address", "done"})
    answered_at: frozenset[str] = _ALL
    once_answered_at: frozenset[str] = _ALL

    async def strike(
        self, fleet: fleets.Fleet, step: str, ids: list[str]
    ) -> None:
        """Begin the fault; returns when the requests may go on."""

    async def end(self, fleet: fleets.Fleet) -> None:
        """Repair what `Fleet.settle` does not."""


class EntryKill(Fault):
    """The entry that accepted the requests dies."""

    answered_at = frozenset({"address"})
    once_answered_at = answered_at

    async def strike(self, fleet, step, ids):
        await fleet.kill("e1")

    async def end(self, fleet):
        await fleet.restart("e1")


class Freeze(Fault):
    """The entry stops longer than its peers wait, then goes on."""

    async def strike(self, fleet, step, ids):
        await fleet.freeze("e1", PAUSE_S)


class Silence(Fault):
    """The present connections swallow all bytes; new ones work."""

    # A caller's own connection cannot be replaced under its request.
    answered_at = Fault._ALL - {"accepted"}
    once_answered_at = frozenset(
        {"address", "waiting", "granted", "connecting", "done"}
    )

    def _break(self, proxy) -> None:
        proxy.silence_connections()

    def _proxies(self, fleet, step):
        if step in ("address", "accepted"):
            return [fleet.caller_proxies["e1"]]
        if step in ("waiting", "granted"):
            return list(fleet.peer_proxies.values())
        return fleet.target_proxies

    async def strike(self, fleet, step, ids):
        for proxy in self._proxies(fleet, step):
            self._break(proxy)
        if step == "done":
            # Older than a connection may be for requests that run once.
            await asyncio.sleep(0.3)

    async def end(self, fleet):
        # The silent connections would delay the cells that follow.
        for proxy in fleet.target_proxies:
            proxy.reset()


class Reset(Silence):
    """The present connections are reset at both ends."""

    def _break(self, proxy) -> None:
        proxy.reset()


class OnTarget(Fault):
    """A fault of the target that runs the request which must not run twice."""

    async def strike(self, fleet, step, ids):
        self.target = fleet.target_running(ids[-1])
        self.apply(self.target)

    def apply(self, target) -> None:
        raise NotImplementedError


class Slow(OnTarget):
    """A target works eight times slower."""

    def apply(self, target):
        target.slow_factor = 8.0


class FailFast(OnTarget):
    """A target answers 500 at once, to what comes from now on."""

    # Its 500 is the answer to a request that must not run twice.
    once_answered_at = frozenset()

    def apply(self, target):
        target.fail_fast = True


class Shedding(OnTarget):
    """A target refuses what comes from now on as not run."""

    def apply(self, target):
        target.shedding = True


class Drain(OnTarget):
    """A target leaves: it completes what it has and refuses the rest."""

    def apply(self, target):
        target.leave()

    async def end(self, fleet):
        await _restart_target(fleet, self.target)


class Crash(OnTarget):
    """A target dies, as under a request that crashes it."""

    # Also before the request is sent: a connection that answered a moment ago
    # may be the one that the crash closes, and the outcome is unknown then.
    once_answered_at = frozenset()

    def apply(self, target):
        target.crash()

    async def end(self, fleet):
        await asyncio.sleep(2 * self.target.settings.restart_ms / 1000)
        fleet.list_targets()


class Cold(Fault):
    """A target has just been started and is slow."""

    async def strike(self, fleet, step, ids):
        name = f"cold{fleet.number()}"
        self._target = await fleet.add_target(
            name, cold_ms=2000, cold_factor=5.0
        )
        fleet.list_targets()
        await asyncio.sleep(0.05)

    async def end(self, fleet):
        await fleet.remove_target(self._target)


class Partition(Fault):
    """No entry hears any other, for longer than the silence limit."""

    async def strike(self, fleet, step, ids):
        for proxy in fleet.peer_proxies.values():
            proxy.silence_connections()
            proxy.to_upstream.silent = proxy.to_client.silent = True
        if step not in ("connecting", "writing"):
            await asyncio.sleep(PAUSE_S)

    async def end(self, fleet):
        # Connections that came up meanwhile lost bytes and stay silent.
        for proxy in fleet.peer_proxies.values():
            proxy.reset()


class PlatformDown(Fault):
    """The platform closes all calls without an answer."""

    async def strike(self, fleet, step, ids):
        fleet.platform.down = True
        await asyncio.sleep(0.1)


class PlatformStale(Fault):
    """The platform answers with an older list."""

    async def strike(self, fleet, step, ids):
        fleet.list_targets()
        fleet.platform.revisions_behind = 1
        await asyncio.sleep(0.1)


FAULTS = {
    "entry_kill": EntryKill,
    "freeze": Freeze,
    "silence": Silence,
    "reset": Reset,
    "slow": Slow,
    "fail_fast": FailFast,
    "drain": Drain,
    "cold": Cold,
    "shedding": Shedding,
    "partition": Partition,
    "platform_down": PlatformDown,
    "platform_stale": PlatformStale,
    "crash": Crash,
}


async def _restart_target(fleet, target) -> None:
    await _until(lambda: not target.running)
    target.crash()
    await asyncio.sleep(2 * target.settings.restart_ms / 1000)
    fleet.list_targets()


@contextlib.asynccontextmanager
async def struck(fleet, faults, step: str, ids: list[str]):
    """Strike with all faults at once; repair them at the end."""
    try:
        await asyncio.gather(*(f.strike(fleet, step, ids) for f in faults))
        yield
    finally:
        fleet.clear()
        for fault in faults:
            await fault.end(fleet)
