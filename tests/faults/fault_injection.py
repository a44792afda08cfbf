"""Steps at which requests are held, and faults that are injected there."""

import asyncio
import contextlib
import functools

from tests import waiting
from tests.faults import fleet as fleets

# Above the silence timeout of peer links (400 ms), so that peers detect it.
PAUSE_S = 0.5
_BLOCKER_WORK_MS = 250.0
_PEER_LATENCY_MS = 100.0
_REACH_TIMEOUT_S = 2.0
_until = functools.partial(waiting.until, limit_s=_REACH_TIMEOUT_S)


class Step:
    """Holds requests to `e1` at one step.

    Attributes:
        headers: Headers for the requests.
        service: Service that the requests call.
    """

    headers: dict[str, str] = {}
    service: str = fleets.SERVICE

    async def prepare(self, fleet: fleets.Fleet) -> None:
        """Prepare the fleet before the requests are sent."""

    async def wait_reached(
        self, fleet: fleets.Fleet, request_ids: list[str]
    ) -> None:
        """Wait until the requests are at the step."""

    async def release(self, fleet: fleets.Fleet) -> None:
        """Let the requests continue."""


class Accepted(Step):
    """The entry has received a part of each request."""

    async def prepare(self, fleet):
        fleet.caller_proxies["e1"].hold(to_upstream=2000)

    async def wait_reached(self, fleet, request_ids):
        await _until(lambda: fleet.caller_proxies["e1"].held_connections >= 2)

    async def release(self, fleet):
        fleet.caller_proxies["e1"].release()


class Waiting(Step):
    """Other requests hold all slots that the dispatchers grant."""

    async def prepare(self, fleet):
        targets = fleet.targets_of(self.service)
        self._blockers = [
            asyncio.create_task(
                fleet.send(
                    "order",
                    entry_id="e2",
                    body=b"",
                    headers={"X-Work-Ms": str(_BLOCKER_WORK_MS)},
                    bypass_proxy=True,
                )
            )
            # More requests than slots, because a target may be limited to one
            # of its slots.
            for _ in range(fleets.SLOTS_PER_TARGET * len(targets) + 2)
        ]
        await _until(lambda: all(t.running for t in targets))
        await asyncio.sleep(0.05)

    async def wait_reached(self, fleet, request_ids):
        await asyncio.sleep(0.05)
        assert not any(fleet.runs(request_id) for request_id in request_ids)

    async def release(self, fleet):
        for request in await asyncio.gather(*self._blockers):
            fleets.check_invariants(request)


class Granted(Step):
    """The slot grant of a peer is in flight."""

    service = fleets.PEER_DISPATCHED_SERVICE

    async def prepare(self, fleet):
        # Outstanding grants must arrive first, because an entry uses a late
        # grant for its next request.
        await asyncio.sleep(0.05)
        for proxy in fleet.peer_proxies.values():
            proxy.to_upstream.latency_ms = _PEER_LATENCY_MS
            proxy.to_client.latency_ms = _PEER_LATENCY_MS

    async def wait_reached(self, fleet, request_ids):
        await asyncio.sleep(1.5 * _PEER_LATENCY_MS / 1000)
        assert not any(fleet.runs(request_id) for request_id in request_ids)

    async def release(self, fleet):
        for proxy in fleet.peer_proxies.values():
            proxy.to_upstream.latency_ms = 0.0
            proxy.to_client.latency_ms = 0.0


class Connecting(Step):
    """Targets drop the SYN packets of new connections."""

    async def prepare(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.reset()
            await proxy.set_dropping_connects(True)

    async def wait_reached(self, fleet, request_ids):
        await asyncio.sleep(0.05)
        assert not any(fleet.runs(request_id) for request_id in request_ids)

    async def release(self, fleet):
        for proxy in fleet.target_proxies:
            await proxy.set_dropping_connects(False)


class Writing(Step):
    """The target has received a part of the request."""

    async def prepare(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.hold(to_upstream=2000)

    async def wait_reached(self, fleet, request_ids):
        await _until(
            lambda: sum(p.held_connections for p in fleet.target_proxies) >= 2
        )
        assert not any(fleet.runs(request_id) for request_id in request_ids)

    async def release(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.release()


class Written(Step):
    """The targets run the requests."""

    headers = {"X-Work-Ms": "200"}

    async def wait_reached(self, fleet, request_ids):
        await _until(
            lambda: all(fleet.runs(request_id) for request_id in request_ids)
        )


class Reading(Step):
    """The entry has received a part of the response."""

    def __init__(self, size: int):
        self.headers = {"X-Answer-Bytes": str(size)}

    async def prepare(self, fleet):
        for proxy in fleet.target_proxies:
            proxy.hold(to_client=4000)

    async def wait_reached(self, fleet, request_ids):
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
    "reading": lambda: Reading(fleets.BUFFERED_RESPONSE_BYTES),
}


class Fault:
    """Fault that affects requests to `e1`.

    Attributes:
        repeatable_served_at: Steps at which a repeatable request must be
            served in spite of the fault.
        nonrepeatable_served_at: The same for a non-repeatable request.
    """

    _ALL_STEPS = frozenset({*STEPS, "address", "done"})
    repeatable_served_at: frozenset[str] = _ALL_STEPS
    nonrepeatable_served_at: frozenset[str] = _ALL_STEPS

    async def inject(
        self, fleet: fleets.Fleet, step: str, request_ids: list[str]
    ) -> None:
        """Start the fault and return when the requests may continue."""

    async def repair(self, fleet: fleets.Fleet) -> None:
        """Undo what `Fleet.clear_faults` does not undo."""


class EntryKill(Fault):
    """The entry that accepted the requests is killed."""

    repeatable_served_at = frozenset({"address"})
    nonrepeatable_served_at = repeatable_served_at

    async def inject(self, fleet, step, request_ids):
        await fleet.kill("e1")

    async def repair(self, fleet):
        await fleet.restart("e1")


class Freeze(Fault):
    """The entry pauses for longer than the silence timeout of its peers."""

    async def inject(self, fleet, step, request_ids):
        await fleet.freeze("e1", PAUSE_S)


class Silence(Fault):
    """The open connections discard all bytes; new connections work."""

    # At `accepted` the fault is on the connection of the caller, and the entry
    # cannot replace that one.
    repeatable_served_at = Fault._ALL_STEPS - {"accepted"}
    nonrepeatable_served_at = frozenset(
        {"address", "waiting", "granted", "connecting", "done"}
    )

    def _disrupt(self, proxy) -> None:
        proxy.silence_connections()

    def _proxies_at(self, fleet, step):
        if step in ("address", "accepted"):
            return [fleet.caller_proxies["e1"]]
        if step in ("waiting", "granted"):
            return list(fleet.peer_proxies.values())
        return fleet.target_proxies

    async def inject(self, fleet, step, request_ids):
        for proxy in self._proxies_at(fleet, step):
            self._disrupt(proxy)
        if step == "done":
            # Above the idle time (250 ms) after which a connection is no longer
            # used for non-repeatable requests.
            await asyncio.sleep(0.3)

    async def repair(self, fleet):
        # Silent connections would delay the following cells.
        for proxy in fleet.target_proxies:
            proxy.reset()


class Reset(Silence):
    """The open connections are reset at both ends."""

    def _disrupt(self, proxy) -> None:
        proxy.reset()


class TargetFault(Fault):
    """Fault of the target that runs the non-repeatable request."""

    async def inject(self, fleet, step, request_ids):
        self.target = fleet.target_of_request(request_ids[-1])
        self.apply(self.target)

    def apply(self, target) -> None:
        raise NotImplementedError


class Slow(TargetFault):
    """A target takes eight times as long to run a request."""

    def apply(self, target):
        target.slow_factor = 8.0


class FailFast(TargetFault):
    """A target answers new requests with status 500 at once."""

    # A non-repeatable request gets the 500 as its response.
    nonrepeatable_served_at = frozenset()

    def apply(self, target):
        target.fail_fast = True


class Shedding(TargetFault):
    """A target refuses new requests as not run."""

    def apply(self, target):
        target.shedding = True


class Drain(TargetFault):
    """A target completes its requests and refuses new ones, then restarts."""

    def apply(self, target):
        target.leave()

    async def repair(self, fleet):
        await _restart_target(fleet, self.target)


class Crash(TargetFault):
    """A target aborts its connections, then restarts after a short time."""

    # Not even at the steps before the request is sent: the entry may send it on
    # a recently used connection that the crash closes, and its outcome is then
    # unknown.
    nonrepeatable_served_at = frozenset()

    def apply(self, target):
        target.crash()

    async def repair(self, fleet):
        await asyncio.sleep(2 * self.target.settings.restart_ms / 1000)
        fleet.publish_targets()


class TargetWarmUp(Fault):
    """A target has just started and is slow while it warms up."""

    async def inject(self, fleet, step, request_ids):
        name = f"cold{fleet.next_number()}"
        self._target = await fleet.add_target(
            name, cold_ms=2000, cold_factor=5.0
        )
        fleet.publish_targets()
        await asyncio.sleep(0.05)

    async def repair(self, fleet):
        await fleet.remove_target(self._target)


class Partition(Fault):
    """The entries receive no data from peers.

    Except at the steps `connecting` and `writing`, this lasts for longer than
    the silence timeout before the requests continue.
    """

    async def inject(self, fleet, step, request_ids):
        for proxy in fleet.peer_proxies.values():
            proxy.silence_connections()
            proxy.to_upstream.silent = proxy.to_client.silent = True
        if step not in ("connecting", "writing"):
            await asyncio.sleep(PAUSE_S)

    async def repair(self, fleet):
        # Connections that were opened meanwhile lost bytes and stay silent.
        for proxy in fleet.peer_proxies.values():
            proxy.reset()


class PlatformDown(Fault):
    """The platform closes all connections without a response."""

    async def inject(self, fleet, step, request_ids):
        fleet.platform.down = True
        await asyncio.sleep(0.1)


class PlatformStale(Fault):
    """The platform responds with the previous revision of its documents."""

    async def inject(self, fleet, step, request_ids):
        fleet.publish_targets()
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
    "cold": TargetWarmUp,
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
    fleet.publish_targets()


@contextlib.asynccontextmanager
async def injected_faults(fleet, faults, step: str, request_ids: list[str]):
    """Inject all faults at the same time and undo them on exit."""
    try:
        await asyncio.gather(
            *(f.inject(fleet, step, request_ids) for f in faults)
        )
        yield
    finally:
        fleet.clear_faults()
        for fault in faults:
            await fault.repair(fleet)
