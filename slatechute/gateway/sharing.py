"""Load reports between entries, and probes of the targets' health path."""

import asyncio
from collections.abc import Callable
import math
import random

from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute import ownership
from slatechute.gateway import balancing
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import loads
from slatechute.gateway import path_monitor
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = ["LoadProber", "LoadSharing", "probe_interval_s"]

_LOG = logs.get_logger(__name__)

# Collects the changes of a few steps of the event loop. Far below the time
# between two requests of a data centre, also during a burst, so that entries
# rarely select the same free slot.
_LOCAL_REPORT_DELAY_S = 0.0003
# For loads that probes show, of which an entry of a large fleet has hundreds a
# second.
_PROBED_REPORT_DELAY_S = 0.003
# The speed of a host changes within a few hundred milliseconds. Reports to
# remote data centres at this interval cost 12 KB/s for ten targets and three
# data centres.
_REMOTE_REPORT_INTERVAL_S = 0.08
# How often an entry that is no delegate checks whether it has become one.
_DELEGATE_CHECK_INTERVAL_S = 0.3
# Older loads are not reported: they say nothing about the current speed.
_MAX_REMOTE_REPORT_AGE_MS = 250.0
# About 1.1 KB, below the size of a packet.
_READINGS_PER_DATAGRAM = 48
# Full reports at this interval compensate for lost datagrams.
_FULL_REPORT_INTERVAL_MS = 500.0
# An entry without requests stops to send full reports after this many.
_MAX_EMPTY_REPORTS = 3
# A target without requests is probed this often, because its host slows down
# and recovers within a few hundred milliseconds.
_USUAL_PROBE_INTERVAL_S = 0.09
# Share of the execution time of a request after which a target is probed. A
# change of the speed of its host matters the less, the longer requests take.
_PROBE_WORK_SHARE = 0.4
# The targets of a service are probed more often than usual while it gets many
# requests, up to about this number of probes for each request.
_MAX_PROBES_PER_REQUEST = 4.0
# Rate up to which an entry probes more often than usual. Each probe is reported
# to all active peers, so that more would take much of the processor time where
# an entry has many targets.
_MAX_FREQUENT_PROBES_PER_S = 160.0
# The targets of a service without requests for `_UNUSED_SERVICE_MS` are probed
# at this interval.
_UNUSED_PROBE_INTERVAL_S = 1.0
_UNUSED_SERVICE_MS = 2_000.0
# A target that limits the rate of requests is not burdened with probes.
_LIMITED_PROBE_INTERVAL_S = 2.0
# Cold targets are probed this often, the others of a service that limits the
# rate of cold ones in `_COLD_CHECK_INTERVAL_S` although they report their load
# in responses: only probes show that a target has become cold.
_COLD_PROBE_INTERVAL_S = 0.5
_COLD_CHECK_INTERVAL_S = 0.25
# Share of the allowed probes that one entry uses. While the entries disagree on
# the live peers, two of them may probe the same target, for a few seconds.
_PROBE_SHARE = 0.7
# How often the probe interval of a service is computed again.
_INTERVAL_REFRESH_MS = 100.0
# The interval of a service that is used again becomes short within this time.
_MAX_PROBE_SLEEP_S = 0.25
_PROBE_TIMEOUT_S = 0.5
_PROBE_FAILURE_DELAY_S = 0.5
# A target that does not report its load in the response is probed less often.
_NO_LOAD_DELAY_S = 5.0


class LoadSharing:
    """Sends the loads of targets to peers and applies their reports."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        boot_id: str,
        clock: clocks.Clock,
    ):
        self.group: peer_groups.PeerGroup | None = None
        self.balancer: balancing.Balancer | None = None
        self._paths: path_monitor.PathMonitor | None = None
        self._settings = settings
        self._boot_id = boot_id
        self._clock = clock
        self._unreported_by_id: dict[str, loads.TargetLoad] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._sequence = 0
        self._full_report_due_ms = 0.0
        self._reported_waiting: dict[str, int] = {}
        self._empty_reports = 0
        self._remote_task: asyncio.Task | None = None
        self._remote_datagrams = 0

    def attach(
        self,
        group: peer_groups.PeerGroup,
        balancer: balancing.Balancer,
        paths: path_monitor.PathMonitor,
    ) -> None:
        """Set the group that gets reports and the objects to update."""
        self.group = group
        self.balancer = balancer
        self._paths = paths

    def start(self) -> None:
        """Start the periodic reports to remote data centres."""
        self._remote_task = asyncio.create_task(
            self._send_remote_periodically()
        )

    def stop(self) -> None:
        """Stop sending reports."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._remote_task is not None:
            self._remote_task.cancel()

    def schedule_report(self, load: loads.TargetLoad) -> None:
        """Report a changed number of requests to the active peers at once."""
        self._unreported_by_id[load.target.id] = load
        self._schedule_flush(_LOCAL_REPORT_DELAY_S)

    def schedule_probed(self, load: loads.TargetLoad) -> None:
        """Report a load that a probe has shown, together with others."""
        self._unreported_by_id[load.target.id] = load
        self._schedule_flush(_PROBED_REPORT_DELAY_S)

    def _schedule_flush(self, delay_s: float) -> None:
        """Flush after a delay, or earlier if that is scheduled already."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self._flush_timer is not None:
            if self._flush_timer.when() <= due_s:
                return
            self._flush_timer.cancel()
        self._flush_timer = loop.call_at(due_s, self._flush)

    def tick(self) -> None:
        """Send a full report when due, and changed queue lengths soon."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._full_report_due_ms:
            self._full_report_due_ms = now_ms + _FULL_REPORT_INTERVAL_MS
            for load in self.balancer.load_by_id.values():
                if load.local_in_flight:
                    self._unreported_by_id[load.target.id] = load
            is_empty = (
                not self._unreported_by_id and not self._waiting_by_service()
            )
            self._empty_reports = self._empty_reports + 1 if is_empty else 0
            if self._empty_reports <= _MAX_EMPTY_REPORTS:
                self._flush(is_full=True)
        elif self._waiting_by_service() != self._reported_waiting:
            self._schedule_flush(_LOCAL_REPORT_DELAY_S)

    def _waiting_by_service(self) -> dict[str, int]:
        return {
            name: len(pool.waiting)
            for name, pool in self.balancer.pool_by_service.items()
            if pool.waiting
        }

    def _flush(self, *, is_full: bool = False) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._flush_timer = None
        unreported, self._unreported_by_id = (
            list(self._unreported_by_id.values()),
            {},
        )
        peers = self.group.active_peers()
        if not peers:
            return
        self._reported_waiting = self._waiting_by_service()
        self._send(unreported, peers, is_full=is_full)

    def _send(
        self,
        unreported: list[loads.TargetLoad],
        peers: list[peer_groups.Peer],
        *,
        is_full: bool,
    ) -> None:
        now_ms = self._clock.now_ms()
        readings = [_reading(load, now_ms) for load in unreported]
        chunks = [
            readings[start : start + _READINGS_PER_DATAGRAM]
            for start in range(0, len(readings), _READINGS_PER_DATAGRAM)
        ] or [[]]
        first_sequence = self._sequence + 1
        for chunk in chunks:
            self._sequence += 1
            is_last = chunk is chunks[-1]
            report = messages.LoadReport(
                self._settings.entry_id,
                self._boot_id,
                self._sequence,
                chunk,
                self._reported_waiting,
                is_full and len(chunks) == 1,
                first_sequence if is_full and is_last else 0,
            )
            self.group.broadcast(report, peers)

    async def _send_remote_periodically(self) -> None:
        """Report the local targets to the delegates of remote data centres.

        The delegates forward the reports within their data centre, where
        traffic is free.
        """
        while True:
            interval_s = _DELEGATE_CHECK_INTERVAL_S
            if self.group.is_delegate():
                steps.run_step(_LOG, "far_loads", self._send_remote)
                # One datagram to each delegate in each basic interval.
                interval_s = _REMOTE_REPORT_INTERVAL_S * max(
                    1, self._remote_datagrams
                )
            await asyncio.sleep(interval_s * random.uniform(0.9, 1.1))

    def _send_remote(self) -> None:
        now_ms = self._clock.now_ms()
        readings = [
            _remote_reading(load, now_ms)
            for load in self.balancer.load_by_id.values()
            if load.target.data_centre == self._settings.data_centre
            if now_ms - load.reported_ms < _MAX_REMOTE_REPORT_AGE_MS
        ]
        delegates = self.group.remote_delegates()
        self._remote_datagrams = math.ceil(
            len(readings) / _READINGS_PER_DATAGRAM
        )
        for start in range(0, len(readings), _READINGS_PER_DATAGRAM):
            self._sequence += 1
            report = messages.LoadReport(
                self._settings.entry_id,
                self._boot_id,
                self._sequence,
                readings[start : start + _READINGS_PER_DATAGRAM],
            )
            self.group.broadcast(report, delegates)

    def handle_report(
        self, peer: peer_groups.Peer, report: messages.LoadReport
    ) -> None:
        """Apply a load report that a peer has sent or forwarded."""
        is_newer = report.sequence > peer.last_report_sequence
        now_ms = self._clock.now_ms()
        # A delegate forwards reports of remote data centres.
        is_direct = report.entry_id == peer.presence.entry_id
        is_local = is_direct and self.group.is_local(peer)
        if is_direct:
            peer.last_report_sequence = max(
                peer.last_report_sequence, report.sequence
            )
        if not self.group.is_local(peer):
            self.group.broadcast(report, self.group.active_peers())
        services = set()
        for reading in report.readings:
            load = self.balancer.load_by_id.get(reading.target_id)
            if load is None:
                continue
            if is_newer and is_local:
                load.set_peer_in_flight(
                    report.entry_id, reading.in_flight, report.sequence, now_ms
                )
                if reading.in_flight:
                    pool = self.balancer.pool(load.target.service)
                    pool.last_used_ms = now_ms
            if reading.age_ms >= 0:
                reported_load = dialects.Load(
                    reading.running,
                    reading.waiting,
                    reading.slots,
                    reading.slowdown_percent / 100,
                )
                answered_ms = now_ms - reading.age_ms
                load.apply_report(reported_load, answered_ms)
                self._paths.record_peer_response(load, answered_ms)
            services.add(load.target.service)
        if is_newer and is_local:
            self._apply_waiting(report)
            self._clear_ended(report)
        for service in services:
            self.balancer.dispatch_waiting(service, now_ms)

    def _apply_waiting(self, report: messages.LoadReport) -> None:
        for name, pool in self.balancer.pool_by_service.items():
            count = report.waiting_by_service.get(name, 0)
            if count:
                pool.peer_waiting_by_id[report.entry_id] = count
            else:
                pool.peer_waiting_by_id.pop(report.entry_id, None)

    def _clear_ended(self, report: messages.LoadReport) -> None:
        """Drop the requests that a full report of a peer does not list."""
        since = report.complete_since
        if report.is_complete:
            since = report.sequence
        if since:
            for load in self.balancer.load_by_id.values():
                load.clear_peer_before(report.entry_id, since)


def _reading(load: loads.TargetLoad, now_ms: float) -> messages.TargetReading:
    if load.reported_load is None:
        return messages.TargetReading(load.target.id, load.local_in_flight)
    reported = load.reported_load
    return messages.TargetReading(
        load.target.id,
        load.local_in_flight,
        int(now_ms - load.reported_ms),
        reported.running,
        reported.waiting,
        reported.slots,
        round(reported.slowdown * 100),
    )


def _remote_reading(
    load: loads.TargetLoad, now_ms: float
) -> messages.TargetReading:
    """Return a reading that includes requests sent since the last report."""
    running = load.estimated_load().running
    return _reading(load, now_ms)._replace(in_flight=0, running=running)


class _ProbeInterval:
    """Interval of the probes of the targets of one service."""

    def __init__(self):
        self._interval_s = _USUAL_PROBE_INTERVAL_S
        self._computed_ms = -math.inf

    def update(self, pool: balancing.ServicePool, now_ms: float) -> float:
        """Return the interval in s, from time to time a new one.

        Args:
            pool: Targets of the service.
            now_ms: Current time.
        """
        if now_ms - self._computed_ms >= _INTERVAL_REFRESH_MS:
            self._computed_ms = now_ms
            self._interval_s = probe_interval_s(
                pool.model.usual_work_ms() / 1000,
                sum(load.occupancy() for load in pool.load_by_id.values())
                / max(1, len(pool.load_by_id)),
            )
        return self._interval_s


def probe_interval_s(work_s: float, occupancy: float) -> float:
    """Return the interval of the probes of a target that gets requests, in s.

    Args:
        work_s: Execution time of a request in s.
        occupancy: Average number of requests at a target of the service.

    >>> probe_interval_s(0.1, 0.1), probe_interval_s(0.1, 1.25)
    (0.09, 0.02)
    >>> probe_interval_s(1.0, 2.0)
    0.4
    """
    long_s = _PROBE_WORK_SHARE * work_s
    if long_s >= _USUAL_PROBE_INTERVAL_S:
        return long_s
    requests_per_s = occupancy / work_s
    return min(
        _USUAL_PROBE_INTERVAL_S,
        1 / max(1.0, _MAX_PROBES_PER_REQUEST * requests_per_s),
    )


class LoadProber:
    """Probes the load of the targets that are assigned to this entry.

    Rendezvous hashing assigns each target to one entry; the other entries get
    the load through `LoadSharing`.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        balancer: balancing.Balancer,
        group: peer_groups.PeerGroup,
        pool: connections.ConnectionPool,
        paths: path_monitor.PathMonitor,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        sharing: LoadSharing,
        on_announcement: Callable[[loads.TargetLoad], None] = lambda load: None,
        is_active: Callable[[], bool] = lambda: True,
    ):
        self._on_announcement = on_announcement
        self._is_active = is_active
        self.table: routing.RoutingTable | None = None
        self._settings = settings
        self._dialect = dialect
        self._balancer = balancer
        self._group = group
        self._pool = pool
        self._paths = paths
        self._clock = clock
        self._counters = counters
        self._sharing = sharing
        self._trials: set[asyncio.Task] = set()
        # Keyed by load and not by id, because a process that restarts under the
        # same id is another target.
        self._task_by_load: dict[loads.TargetLoad, asyncio.Task] = {}
        self._assignment_inputs: tuple | None = None
        self._min_interval_s = 1 / max(
            0.1, settings.probes_per_s * _PROBE_SHARE
        )
        self._interval_by_service: dict[str, _ProbeInterval] = {}

    def update_assignment(self) -> None:
        """Start and stop probes so that they match the current assignment."""
        if not self._is_active() and not self._task_by_load:
            return
        entries = self._group.active_entries(self._is_active())
        without_path = self._group.services_without_path_by_entry()
        without_path[self._settings.entry_id] = (
            self._paths.services_without_path
        )
        targets = frozenset(
            load
            for load in self._balancer.load_by_id.values()
            if not load.is_evacuated
        )
        inputs = (entries, without_path, targets)
        if inputs == self._assignment_inputs:
            return
        self._assignment_inputs = inputs
        probers_by_service = {
            service: {
                entry: data_centre
                for entry, data_centre in entries.items()
                if not path_monitor.is_without_path(
                    without_path.get(entry, ()), service
                )
            }
            for service in {load.target.service for load in targets}
        }
        assigned = {
            load
            for load in targets
            if self._is_assigned(load, probers_by_service[load.target.service])
        }
        for load in self._task_by_load.keys() - assigned:
            self._task_by_load.pop(load).cancel()
        for load in assigned - self._task_by_load.keys():
            task = asyncio.create_task(self._probe_periodically(load))
            self._task_by_load[load] = task

    def _is_assigned(
        self, load: loads.TargetLoad, probers: dict[str, str]
    ) -> bool:
        """Return whether this entry probes a target.

        The entries of its own data centre probe a target, if any.

        Args:
            load: Load of the target.
            probers: Data centres by id of the entries that reach its service.
        """
        entry_id = self._settings.entry_id
        data_centre = load.target.data_centre
        return (
            entry_id in probers
            and (
                data_centre == self._settings.data_centre
                or data_centre not in probers.values()
            )
            and ownership.dispatcher_of(load.target.id, data_centre, probers)
            == entry_id
        )

    def stop(self) -> None:
        """End all probes."""
        for task in [*self._task_by_load.values(), *self._trials]:
            task.cancel()
        self._task_by_load.clear()

    def start_trials(self) -> None:
        """Try lost paths again, as far as they are due."""
        for load in self._paths.take_due_trials(self._clock.now_ms()):
            task = asyncio.create_task(self._try_path(load))
            self._trials.add(task)
            task.add_done_callback(self._trials.discard)

    async def _try_path(self, load: loads.TargetLoad) -> None:
        """Open a connection to a target without a path."""
        try:
            connection = await self._open(load)
        except connections.ExchangeError as error:
            _LOG.debug(
                "path_trial_failed", target=load.target.id, error=repr(error)
            )
        else:
            if load.is_evacuated:
                # The evacuation began while the connection was opened.
                connection.close()
                return
            self._paths.restore(load, self._clock.now_ms())
            self._pool.release(load.target.address, connection)

    def _interval_s(self, load: loads.TargetLoad) -> float:
        """Return the longest age of a report after which to probe."""
        pool = self._balancer.pool(load.target.service)
        if load.announced.rate_limit_per_s is not None:
            return max(self._min_interval_s, _LIMITED_PROBE_INTERVAL_S)
        if self._clock.now_ms() - pool.last_used_ms > _UNUSED_SERVICE_MS:
            return max(self._min_interval_s, _UNUSED_PROBE_INTERVAL_S)
        return max(
            self._min_interval_s, self._used_interval_s(load.target.service)
        )

    def _used_interval_s(self, service: str) -> float:
        """Return the probe interval of a service that gets requests, in s.

        It is shorter than usual only while this entry has few targets to probe.
        """
        interval = self._interval_by_service.get(service)
        if interval is None:
            interval = self._interval_by_service[service] = _ProbeInterval()
        pool = self._balancer.pool(service)
        shortest_s = min(
            _USUAL_PROBE_INTERVAL_S,
            len(self._task_by_load) / _MAX_FREQUENT_PROBES_PER_S,
        )
        return max(shortest_s, interval.update(pool, self._clock.now_ms()))

    def _due_s(self, load: loads.TargetLoad, probed_ms: float) -> float:
        """Return the time until the next probe of a target in s.

        Args:
            load: Load of the target.
            probed_ms: Clock time of the last probe of this entry.
        """
        now_ms = self._clock.now_ms()
        due_s = self._interval_s(load) - (now_ms - load.reported_ms) / 1000
        if (
            not load.has_cold_limit
            or load.announced.rate_limit_per_s is not None
        ):
            return due_s
        probed_s = (now_ms - probed_ms) / 1000
        if load.is_cold(now_ms):
            return max(self._min_interval_s, _COLD_PROBE_INTERVAL_S) - probed_s
        pool = self._balancer.pool(load.target.service)
        if now_ms - pool.last_used_ms > _UNUSED_SERVICE_MS:
            return due_s
        check_s = max(self._min_interval_s, _COLD_CHECK_INTERVAL_S)
        return min(due_s, check_s - probed_s)

    async def _probe_periodically(self, load: loads.TargetLoad) -> None:
        connection = None
        probed_ms = -math.inf
        await asyncio.sleep(random.random() * self._min_interval_s)
        try:
            # The task is only cancelled with the next assignment.
            while self._balancer.is_listed(load):
                paused_ms = (
                    load.announced.paused_until_ms - self._clock.now_ms()
                )
                if load.path.is_lost:
                    # Trials of the path take the place of its probes.
                    if connection is not None:
                        connection.close()
                        connection = None
                    await asyncio.sleep(_MAX_PROBE_SLEEP_S)
                    continue
                if paused_ms > 0:
                    await asyncio.sleep(
                        min(paused_ms / 1000, _MAX_PROBE_SLEEP_S)
                    )
                    continue
                due_s = self._due_s(load, probed_ms)
                if due_s > 0:
                    await asyncio.sleep(min(due_s, _MAX_PROBE_SLEEP_S))
                    continue
                interval_s = self._interval_s(load)
                probed_ms = self._clock.now_ms()
                try:
                    connection = await self._probe(load, connection)
                except (connections.ExchangeError, TimeoutError) as error:
                    connection = None
                    _LOG.debug(
                        "probe_failed", target=load.target.id, error=repr(error)
                    )
                    await asyncio.sleep(_PROBE_FAILURE_DELAY_S)
                    continue
                except Exception as error:
                    connection = None
                    steps.log_unexpected_error(_LOG, "probe", error)
                    await asyncio.sleep(_PROBE_FAILURE_DELAY_S)
                    continue
                await asyncio.sleep(min(interval_s, _MAX_PROBE_SLEEP_S))
        finally:
            if connection is not None:
                connection.close()

    async def _probe(
        self,
        load: loads.TargetLoad,
        connection: connections.TargetConnection | None,
    ) -> connections.TargetConnection | None:
        """Send one probe and return the connection for the next one."""
        target = load.target
        service = self.table and self.table.services_by_name.get(target.service)
        if not service:
            await asyncio.sleep(_PROBE_FAILURE_DELAY_S)
            return connection
        is_new = connection is None or not connection.is_open
        if is_new:
            connection = await self._open(load)
        headers = [("Host", target.address)]
        self._counters.count_probe(0)
        async with asyncio.timeout(_PROBE_TIMEOUT_S):
            response = await connection.exchange(
                "GET", service.health_path, headers, b""
            )
        metadata = self._dialect.parse_response(
            response.status, response.header_by_name
        )
        now_ms = self._clock.now_ms()
        self._paths.record_response(load, now_ms, is_new=is_new)
        if metadata.target_id and metadata.target_id != target.id:
            # Another target uses this address and the registration is outdated.
            load.pause(self._settings.expired_target_hold_s * 1000, now_ms)
            return connection
        has_news = load.announced.observe(
            metadata.announcement, now_ms, is_conclusive=False
        )
        cold_ms = metadata.announcement.cold_ms
        is_cold_reported = load.has_cold_limit and cold_ms is not None
        if is_cold_reported:
            has_news |= load.cold.observe(cold_ms, now_ms)
        if has_news:
            self._on_announcement(load)
        if metadata.load is None:
            if not is_cold_reported:
                await asyncio.sleep(_NO_LOAD_DELAY_S)
        elif load.apply_report(metadata.load, now_ms):
            self._sharing.schedule_probed(load)
            self._balancer.dispatch_waiting(target.service, now_ms)
        return connection

    async def _open(
        self, load: loads.TargetLoad
    ) -> connections.TargetConnection:
        """Open a connection to a target.

        Raises:
            connections.ExchangeError: The connection could not be opened.
        """
        started_ms = self._clock.now_ms()
        try:
            return await self._pool.open(load.target.address)
        except connections.ExchangeError:
            self._counters.count_connect_failure()
            self._paths.record_connect_failure(
                load, started_ms, self._clock.now_ms()
            )
            raise
