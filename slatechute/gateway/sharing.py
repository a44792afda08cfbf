"""Loads of targets told between entries, and probes of their health path."""

import asyncio
import random

from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute import ownership
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import loads
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = ["LoadProber", "LoadSharing"]

_LOG = logs.get_logger(__name__)

# Far below the time between two requests of a data centre, so that entries
# rarely send to the same free slot.
_NEAR_DELAY_S = 0.003
# A host changes its speed within a few hundred milliseconds. Telling other data
# centres this often costs 12 KB/s for ten targets and three of them.
_FAR_PERIOD_S = 0.08
# Older readings are not told: they say nothing of the speed any more.
_FAR_AGE_MS = 250.0
_READINGS_PER_DATAGRAM = 24
# Everything is told again after this time, which makes up for lost datagrams.
_FULL_PERIOD_MS = 500.0
# A target without requests is asked this often; its host slows down and
# recovers within a few hundred milliseconds.
_PROBE_PERIOD_S = 0.09
# Part of the probes allowed that one prober uses: while entries disagree on
# who is alive, two of them may probe the same target.
_PROBE_SHARE = 0.4
_PROBE_LIMIT_S = 0.5
_PROBE_FAILURE_PAUSE_S = 0.5
# A target that does not tell its load is hardly worth asking.
_NO_LOAD_PAUSE_S = 5.0


class LoadSharing:
    """Tells peers what this entry knows of targets, and takes in theirs."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        boot_id: str,
        clock: clocks.Clock,
    ):
        self.group: peer_groups.PeerGroup | None = None
        self.balancer: balancing.Balancer | None = None
        self._settings = settings
        self._boot_id = boot_id
        self._clock = clock
        self._changed: dict[str, loads.TargetLoad] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._number = 0
        self._full_due_ms = 0.0
        self._told_waiting: dict[str, int] = {}
        self._far_task: asyncio.Task | None = None

    def attach(
        self, group: peer_groups.PeerGroup, balancer: balancing.Balancer
    ) -> None:
        """Set the parts that are told of changes."""
        self.group = group
        self.balancer = balancer

    def start(self) -> None:
        """Begin to tell other data centres."""
        self._far_task = asyncio.create_task(self._tell_far())

    def stop(self) -> None:
        """End telling."""
        if self._timer is not None:
            self._timer.cancel()
        if self._far_task is not None:
            self._far_task.cancel()

    def changed(self, load: loads.TargetLoad) -> None:
        """Tell the peers of the data centre soon."""
        self._changed[load.target.id] = load
        self._flush_soon()

    def _flush_soon(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_NEAR_DELAY_S, self._flush)

    def tick(self) -> None:
        """Tell everything again when it is time."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._full_due_ms:
            self._full_due_ms = now_ms + _FULL_PERIOD_MS
            for load in self.balancer.load_by_id.values():
                if load.local_in_flight:
                    self._changed[load.target.id] = load
            self._flush(is_full=True)
        elif self._waiting() != self._told_waiting:
            self._flush_soon()

    def _waiting(self) -> dict[str, int]:
        return {
            name: len(pool.waiting)
            for name, pool in self.balancer.pool_by_service.items()
            if pool.waiting
        }

    def _flush(self, *, is_full: bool = False) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        changed, self._changed = list(self._changed.values()), {}
        near = self.group.near()
        if not near:
            return
        self._told_waiting = self._waiting()
        self._send(changed, near, is_full=is_full)

    def _send(
        self,
        changed: list[loads.TargetLoad],
        peers: list[peer_groups.Peer],
        *,
        is_full: bool,
    ) -> None:
        now_ms = self._clock.now_ms()
        readings = [_reading(load, now_ms) for load in changed]
        chunks = [
            readings[start : start + _READINGS_PER_DATAGRAM]
            for start in range(0, len(readings), _READINGS_PER_DATAGRAM)
        ] or [[]]
        for chunk in chunks:
            self._number += 1
            report = messages.LoadReport(
                self._settings.entry_id,
                self._boot_id,
                self._number,
                chunk,
                self._told_waiting,
                is_full and len(chunks) == 1,
            )
            self.group.broadcast(report, peers)

    async def _tell_far(self) -> None:
        """Tell the speakers of other data centres of the targets here.

        They pass it on inside of their data centre, where bytes cost nothing.
        """
        while True:
            await asyncio.sleep(_FAR_PERIOD_S * random.uniform(0.9, 1.1))
            if self.group.is_speaker():
                steps.run_step(_LOG, "far_loads", self._send_far)

    def _send_far(self) -> None:
        now_ms = self._clock.now_ms()
        readings = [
            _far_reading(load, now_ms)
            for load in self.balancer.load_by_id.values()
            if load.target.data_centre == self._settings.data_centre
            if now_ms - load.reported_ms < _FAR_AGE_MS
        ]
        speakers = self.group.speakers()
        for start in range(0, len(readings), _READINGS_PER_DATAGRAM):
            self._number += 1
            report = messages.LoadReport(
                self._settings.entry_id,
                self._boot_id,
                self._number,
                readings[start : start + _READINGS_PER_DATAGRAM],
            )
            self.group.broadcast(report, speakers)

    def received(
        self, peer: peer_groups.Peer, report: messages.LoadReport
    ) -> None:
        """Take in a report of a peer."""
        is_newer = report.sequence > peer.report_number
        now_ms = self._clock.now_ms()
        # A speaker passes on what it hears of other data centres.
        is_own = report.entry_id == peer.presence.entry_id
        is_near = is_own and self.group.is_near(peer)
        if is_own:
            peer.report_number = max(peer.report_number, report.sequence)
        if not self.group.is_near(peer):
            self.group.broadcast(report, self.group.near())
        services = set()
        for reading in report.readings:
            load = self.balancer.load_by_id.get(reading.target_id)
            if load is None:
                continue
            if is_newer and is_near:
                load.set_peer_in_flight(report.entry_id, reading.in_flight)
            if reading.age_ms >= 0:
                told = dialects.Load(
                    reading.running,
                    reading.waiting,
                    reading.slots,
                    reading.slowdown_percent / 100,
                )
                load.apply_report(told, now_ms - reading.age_ms)
            services.add(load.target.service)
        if is_newer and is_near:
            self._set_waiting(report)
            if report.is_complete:
                self._clear_others(report)
        for service in services:
            self.balancer.dispatch_waiting(service, now_ms)

    def _set_waiting(self, report: messages.LoadReport) -> None:
        for name, pool in self.balancer.pool_by_service.items():
            count = report.waiting_by_service.get(name, 0)
            if count:
                pool.peer_waiting_by_id[report.entry_id] = count
            else:
                pool.peer_waiting_by_id.pop(report.entry_id, None)

    def _clear_others(self, report: messages.LoadReport) -> None:
        named = {reading.target_id for reading in report.readings}
        for target_id, load in self.balancer.load_by_id.items():
            if target_id not in named:
                load.set_peer_in_flight(report.entry_id, 0)


def _reading(load: loads.TargetLoad, now_ms: float) -> messages.TargetReading:
    if load.reported_load is None:
        return messages.TargetReading(load.target.id, load.local_in_flight)
    told = load.reported_load
    return messages.TargetReading(
        load.target.id,
        load.local_in_flight,
        int(now_ms - load.reported_ms),
        told.running,
        told.waiting,
        told.slots,
        round(told.slowdown * 100),
    )


def _far_reading(
    load: loads.TargetLoad, now_ms: float
) -> messages.TargetReading:
    """Return a reading that counts what was sent since the last report."""
    running = load.estimated_load().running
    return _reading(load, now_ms)._replace(in_flight=0, running=running)


class LoadProber:
    """Asks the targets of this entry for their load.

    Each target is probed by one entry, the one that rendezvous hashing gives it
    to; the others hear of it through `LoadSharing`.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        balancer: balancing.Balancer,
        group: peer_groups.PeerGroup,
        pool: connections.ConnectionPool,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        sharing: LoadSharing,
    ):
        self.table: routing.RoutingTable | None = None
        self._settings = settings
        self._dialect = dialect
        self._balancer = balancer
        self._group = group
        self._pool = pool
        self._clock = clock
        self._counters = counters
        self._sharing = sharing
        # By process: one that starts again under its id is another target.
        self._task_by_load: dict[loads.TargetLoad, asyncio.Task] = {}
        self._reviewed: tuple[dict[str, str], frozenset] | None = None
        self._period_s = max(
            _PROBE_PERIOD_S,
            1 / max(0.1, settings.probes_per_s * _PROBE_SHARE),
        )

    def review(self) -> None:
        """Probe the targets that fall to this entry now."""
        places = {
            peer.presence.entry_id: peer.presence.data_centre
            for peer in self._group.alive()
            if peer.presence.state == peer_groups.READY
        }
        places[self._settings.entry_id] = self._settings.data_centre
        own = self._settings.entry_id
        known = frozenset(self._balancer.load_by_id.values())
        if (places, known) == self._reviewed:
            return
        self._reviewed = (places, known)
        mine = {
            load
            for load in known
            if ownership.dispatcher_of(
                load.target.id, load.target.data_centre, places
            )
            == own
        }
        for load in self._task_by_load.keys() - mine:
            self._task_by_load.pop(load).cancel()
        for load in mine - self._task_by_load.keys():
            task = asyncio.create_task(self._probe_often(load))
            self._task_by_load[load] = task

    def stop(self) -> None:
        """End all probes."""
        for task in self._task_by_load.values():
            task.cancel()
        self._task_by_load.clear()

    async def _probe_often(self, load: loads.TargetLoad) -> None:
        connection = None
        await asyncio.sleep(random.random() * self._period_s)
        try:
            while True:
                age_s = (self._clock.now_ms() - load.reported_ms) / 1000
                if age_s < self._period_s:
                    await asyncio.sleep(self._period_s - age_s)
                    continue
                try:
                    connection = await self._probe(load, connection)
                except (connections.ExchangeError, TimeoutError) as error:
                    connection = None
                    _LOG.debug(
                        "probe_failed", target=load.target.id, error=repr(error)
                    )
                    await asyncio.sleep(_PROBE_FAILURE_PAUSE_S)
                    continue
                except Exception as error:
                    connection = None
                    steps.log_unexpected_error(_LOG, "probe", error)
                    await asyncio.sleep(_PROBE_FAILURE_PAUSE_S)
                    continue
                await asyncio.sleep(self._period_s)
        finally:
            if connection is not None:
                connection.close()

    async def _probe(
        self,
        load: loads.TargetLoad,
        connection: connections.TargetConnection | None,
    ) -> connections.TargetConnection | None:
        """Ask once; return the connection if it can be used again."""
        target = load.target
        service = self.table and self.table.services_by_name.get(target.service)
        if not service:
            await asyncio.sleep(_PROBE_FAILURE_PAUSE_S)
            return connection
        if connection is None or not connection.is_open:
            connection = await self._pool.open(target.address)
        headers = [("Host", target.address)]
        self._counters.count_probe(0)
        async with asyncio.timeout(_PROBE_LIMIT_S):
            answer = await connection.exchange(
                "GET", service.health_path, headers, b""
            )
        facts = self._dialect.parse_response(
            answer.status, answer.header_by_name
        )
        now_ms = self._clock.now_ms()
        if facts.target_id and facts.target_id != target.id:
            # Another target has the address; the list lags.
            load.pause(self._settings.expired_target_hold_s * 1000, now_ms)
        elif facts.load is None:
            await asyncio.sleep(_NO_LOAD_PAUSE_S)
        elif load.apply_report(facts.load, now_ms):
            self._sharing.changed(load)
            self._balancer.dispatch_waiting(target.service, now_ms)
        return connection
