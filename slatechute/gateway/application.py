"""A gateway entry: creates its components and connects them."""

import asyncio
from collections.abc import Callable, Sequence
import contextlib
import dataclasses
import functools
import itertools
import math
import random
import time
import zlib

import cbor2

from slatechute import errors
from slatechute import identifiers
from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute.gateway import announcement_sharing
from slatechute.gateway import attempt_sharing
from slatechute.gateway import balancing
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import cold_targets
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import explaining
from slatechute.gateway import forwarding
from slatechute.gateway import http_server
from slatechute.gateway import loads
from slatechute.gateway import path_monitor
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import published
from slatechute.gateway import reader
from slatechute.gateway import relaying
from slatechute.gateway import remote_requests
from slatechute.gateway import resumption
from slatechute.gateway import retry_sharing
from slatechute.gateway import routing
from slatechute.gateway import server
from slatechute.gateway import serving
from slatechute.gateway import settings as gateway_settings
from slatechute.gateway import sharing
from slatechute.gateway import token_sharing
from slatechute.util import addresses
from slatechute.util import clock as clocks
from slatechute.util import memory
from slatechute.util import steps

__all__ = ["GatewayApplication"]

_LOG = logs.get_logger(__name__)

_TICK_INTERVAL_S = 0.02
# While no request is in flight or waits, only peers and the reader need steps.
_IDLE_TICK_INTERVAL_S = 0.06
# A standby without requests; the first one wakes it.
_STANDBY_TICK_INTERVAL_S = 0.2
# Each trial opens a connection. After the crash of a data centre, 8,000 of
# 13,600 connections were trials, most of them by standbys.
_STANDBY_TRIALS_INTERVAL_MS = 2_000.0
# After a longer pause, the reader starts again with a snapshot.
_LONG_PAUSE_MS = 2_000.0
# Peers that are asked after a pause whether the view lacks anything.
_CONFIRMING_PEERS = 2
# A peer whose revision has been higher for this long has read changes that this
# entry has missed; a connected reader is given longer to catch up by itself.
_BEHIND_LIMIT_MS = 250.0
_BEHIND_LIMIT_CONNECTED_MS = 900.0
_PEER_VIEW_TIMEOUT_S = 1.0
# An older heartbeat does not show the state of the platform.
_MAX_HEARTBEAT_AGE_MS = 1_500.0
# Requests whose deadline is later than this before the platform would kill the
# process are not accepted, and those that no target has are refused then.
_ACCEPT_MARGIN_MS = 700.0
# Requests at targets are ended this long before that time.
_STOP_MARGIN_MS = 400.0
# A draining entry without requests for this long is no longer in use.
_DRAIN_IDLE_MS = 1_200.0
# With one reader per data centre, changes would be late while the connection of
# that reader is unresponsive.
_READERS_PER_DATA_CENTRE = 2
# For this long after its start, an entry reads the platform only if no peer of
# its data centre has done so. Later the peers that read are known.
_START_MS = 1_200.0
# Changes that need more datagrams than this are fetched by the peers.
_MAX_CHANGE_DATAGRAMS = 12
_MAX_CHANGE_BYTES = 1_200
_BUSY_INTERVAL_MS = 500.0
_SLOT_CHECK_INTERVAL_MS = 1_000.0
# Processor time of a request with its reports and probes, at usual speed.
_REQUEST_PROCESSOR_MS = 5.0
_BUSY_WEIGHT = 0.5
_MAX_ADDRESSES = 64
# Estimated share of their processor time up to which the entries with a path to
# targets take the callers of those without.
_MAX_REACHING_BUSY = 0.55
_PEER_VIEW_PATH = "/published"
# Small hosts have links of 5 to 10 Mbit/s, on which the view of 300 targets
# takes 90 ms. Entries of earlier builds ignore the query and do not compress.
_DEFLATE_QUERY = "encoding=deflate"
_DEFLATE_LEVEL = 1
_MAX_VIEW_BYTES = 64 * 1024 * 1024
# Memory of the process, with idle connections, and of the responses of
# targets, in MB. What callers make it hold is a share of the rest, as a request
# is copied once on its way through a peer.
_PROCESS_MB = 64.0
_RESPONSES_MB = 48.0
_CALLER_SHARE = 0.5
_MIN_CALLER_MB = 4.0
_BODY_MARGIN = 1.25
_MAX_BODY_SHARE = 0.8
# Connections to the ports for peers and addresses, and to each of those for
# readiness and metrics, as shares of the descriptors.
_PORT_SHARE = 1 / 16
_CHECKS_SHARE = 1 / 64
# Processor time of a relayed exchange, as a share of that of a request.
_RELAYED_REQUEST_SHARE = 0.4
# The body of a relayed request follows the frame with its headers.
_MAX_RELAY_FRAME_BYTES = 128 * 1024


class GatewayApplication:
    """One gateway entry.

    Attributes:
        boot_id: Id of this process start.
        metrics: Metrics of this entry.
        catalogue: Active configuration and targets.
        group: Group of the other entries.
        balancer: Selects targets.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        source: reader.PublishedSource,
    ):
        self.settings = settings
        self.boot_id = identifiers.new_boot_id(settings.entry_id)
        self.clock = clocks.MonotonicClock()
        self.metrics = metrics.Metrics()
        self._dialect = dialect
        self._state = peer_groups.STARTING
        self._tick_task: asyncio.Task | None = None
        self._peer_view_task: asyncio.Task | None = None
        self._behind_since_ms: float | None = None
        self._started_ms = self.clock.now_ms()
        self._role = serving.ActiveRole(self._started_ms)
        self._busy = _BusyShare(settings)
        self._reader_turn = serving.ReaderTurn(_READERS_PER_DATA_CENTRE)
        self._evacuated_since_ms: dict[str, float] = {}
        self._sent_revision = 0
        self._standby_trials_due_ms = 0.0
        self._request_arrived = asyncio.Event()
        self._dispatch_timer_by_service: dict[str, asyncio.TimerHandle] = {}
        self._first_read_share = random.random()
        self._resumption = resumption.Resumption(
            self.clock, self._start_confirming
        )
        self._confirming: set[asyncio.Task] = set()
        self.catalogue = catalogues.Catalogue(
            settings, dialect, self, self.clock
        )
        self._reader = reader.PlatformReader(
            source,
            self.catalogue,
            self.clock,
            self.metrics.count_platform_call,
            self._platform_source,
            self._send_changes,
            self._confirm_view,
        )
        self._create_components()

    def _create_components(self) -> None:
        settings = self.settings
        self._sharing = sharing.LoadSharing(settings, self.boot_id, self.clock)
        self._announcements = announcement_sharing.AnnouncementSharing(
            self.clock, lambda load: self._pool.close_idle(load.target.address)
        )
        self._attempts = attempt_sharing.AttemptSharing(self.clock)
        self._token_sharing = token_sharing.TokenSharing(
            settings,
            self.clock,
            self._announcements,
            lambda: self._role.is_active,
            self.metrics.count_denied_tokens,
        )
        self._remote_requests = remote_requests.RemoteRequests(
            settings, self.boot_id, self.clock
        )
        self.balancer = balancing.Balancer(
            settings.data_centre,
            self._report_load,
            on_token_request=self._token_sharing.request,
            has_connection=lambda load, repeatable: self._pool.has_idle(
                load.target.address, repeatable=repeatable
            ),
            entry_id=settings.entry_id,
            on_later_turn=self._dispatch_later,
        )
        self._retry_sharing = retry_sharing.RetrySharing(
            settings,
            self.clock,
            self.metrics,
            lambda: self._role.is_active,
            self.balancer.pool_by_service.keys,
        )
        self.group = peer_groups.PeerGroup(
            settings,
            self.clock,
            self._presence,
            self._handle_message,
            lambda peer: self.balancer.forget_peer(peer.presence.entry_id),
        )
        self._relay_client = relaying.RelayClient(settings, self.clock)
        self._relay_client.group = self.group
        self._paths = path_monitor.PathMonitor(
            self.balancer,
            lambda load: self._pool.close_idle(load.target.address),
            self.group.announce,
            self._relay_client.has_relay,
        )
        self._sharing.attach(self.group, self.balancer, self._paths)
        self._announcements.attach(self.group, self.balancer)
        self._attempts.attach(self.group)
        self._remote_requests.attach(self.group, self.balancer)
        self._token_sharing.attach(self.group, self.balancer)
        self._retry_sharing.attach(self.group)
        self._pool = connections.ConnectionPool()
        self._peer_client = connections.HttpClient()
        self._forwarder = forwarding.Forwarder(
            settings,
            self._dialect,
            self.balancer,
            self._pool,
            self._paths,
            self._relay_client,
            self.clock,
            self.metrics,
            self._broadcast_crash,
            self._sharing.schedule_report,
            self._announcements.report,
            self._retry_sharing.acquire,
        )
        self._prober = sharing.LoadProber(
            settings,
            self._dialect,
            self.balancer,
            self.group,
            self._pool,
            self._paths,
            self.clock,
            self.metrics,
            self._sharing,
            self._announcements.report,
            lambda: self._role.is_active,
        )
        self._relay_server = relaying.RelayServer(
            settings,
            self._dialect,
            self.balancer,
            self._pool,
            self.clock,
            self._paths,
            self.metrics,
            self._sharing.schedule_report,
            self._announcements.report,
            lambda: self._state == peer_groups.LEAVING,
        )
        self._account = memory.MemoryAccount(
            self._caller_memory_bytes, self.metrics.count_given_up
        )
        self._caller_server = server.CallerServer(
            settings,
            self._dialect,
            self.catalogue,
            self._forwarder,
            self._attempts,
            self.clock,
            self.metrics,
            self._request_arrived.set,
            self._resumption.wait,
            self._account,
        )
        self.metrics.bind_gauges(
            in_flight=lambda: self._caller_server.in_flight,
            waiting=lambda: sum(
                len(pool.waiting)
                for pool in self.balancer.pool_by_service.values()
            ),
            links=lambda: len(self.group.live_peers()),
            evacuated_data_centres=lambda: len(self._evacuated_since_ms),
            evacuated_targets=lambda: len(self.balancer.evacuated_loads()),
            evacuation_age_s=self._evacuation_age_s,
            retry_tokens=self._retry_sharing.in_use,
            cold_targets=lambda: len(
                self.balancer.cold_loads(self.clock.now_ms())
            ),
            unowned_slots=self._forwarder.unowned_slots,
            view_age_s=self._view_age_s,
            caller_memory_bytes=lambda: self._account.total,
        )
        metrics_address = addresses.join_address(
            settings.host, settings.metrics_port
        )
        handlers = (
            (settings.readiness_address, self._get_readiness, _CHECKS_SHARE),
            (settings.directory_address, self._get_addresses, _PORT_SHARE),
            (metrics_address, self._get_metrics, _CHECKS_SHARE),
        )
        self._auxiliary_servers = [
            http_server.HttpServer(
                address,
                handler,
                max_connections=int(settings.max_descriptors * share),
                account=self._account,
            )
            for address, handler, share in handlers
            if address
        ]
        self._control_server: http_server.HttpServer | None = None
        if settings.control_address:
            self._control_server = http_server.HttpServer(
                settings.control_address,
                self._handle_peer_request,
                limits=self._peer_request_limits,
                max_connections=int(settings.max_descriptors * _PORT_SHARE),
                account=self._account,
            )
            self._auxiliary_servers.append(self._control_server)

    def _caller_memory_bytes(self) -> int:
        """Return the memory for what is held for all callers, in bytes.

        It is enough for one body of the largest size, unless the host has less.
        """
        spare = self.settings.memory_mb - _PROCESS_MB
        share = (spare - _RESPONSES_MB) * _CALLER_SHARE
        table = self.catalogue.table
        if table is not None:
            body_mb = table.limits.max_body_bytes / 1e6 * _BODY_MARGIN
            share = max(share, min(body_mb, spare * _MAX_BODY_SHARE))
        return int(max(share, _MIN_CALLER_MB) * 1e6)

    @property
    def is_reading(self) -> bool:
        """Whether this entry is a platform reader of its data centre."""
        return self._reader.is_active

    # Life cycle.

    async def start(self) -> None:
        """Start all servers and the platform reader.

        Raises:
            OSError: An address is not available.
        """
        await self.group.start()
        for auxiliary_server in self._auxiliary_servers:
            await auxiliary_server.start()
        if self.settings.callers_address:
            await self._caller_server.start()
        self._sharing.start()
        self.group.tick()
        self._tick_task = asyncio.create_task(self._tick())
        _LOG.info(
            "gateway_started",
            entry=self.settings.entry_id,
            boot_id=self.boot_id,
            data_centre=self.settings.data_centre,
            seeds=list(self.settings.seeds),
            hedging=_hedging_fields(self.settings),
        )

    async def drain(self, elapsed_s: float = 0.0) -> bool:
        """Announce that the entry is leaving and finish in-flight requests.

        Args:
            elapsed_s: Time since the stop signal.

        Returns:
            False if requests were still in flight when the time limit ended.
        """
        self._state = peer_groups.LEAVING
        self._role.release()
        self.group.announce()
        start_ms = self.clock.now_ms()
        left_s = self.settings.shutdown_timeout_s - elapsed_s
        kill_ms = start_ms + left_s * 1000
        limit_ms = kill_ms - _ACCEPT_MARGIN_MS
        self._caller_server.start_draining(limit_ms)
        while (now_ms := self.clock.now_ms()) < limit_ms:
            if (
                not self._in_flight()
                and now_ms - start_ms > self.settings.address_ttl_s * 1000
                and self._caller_server.idle_ms > _DRAIN_IDLE_MS
            ):
                break
            await asyncio.sleep(_TICK_INTERVAL_S)
        # There is no step of the event loop between the decision and this call,
        # so that no request is passed on which `stop` would cut.
        self._caller_server.refuse_unsent()
        self._forwarder.stop_retries()
        self._resumption.confirmed()
        while self._in_flight():
            if self.clock.now_ms() >= kill_ms - _STOP_MARGIN_MS:
                return False
            await asyncio.sleep(_TICK_INTERVAL_S)
        return True

    def _in_flight(self) -> int:
        """Return the number of requests of callers and of peers."""
        in_flight = self._caller_server.in_flight
        if self._control_server is not None:
            in_flight += self._control_server.active_requests
        return in_flight

    async def stop(self) -> None:
        """Answer all requests, and close all servers and connections."""
        await self._caller_server.stop()
        for timer in self._dispatch_timer_by_service.values():
            timer.cancel()
        for task in (
            self._tick_task,
            self._peer_view_task,
            *self._confirming,
        ):
            if task is not None:
                task.cancel()
        self._prober.stop()
        self._sharing.stop()
        self._attempts.stop()
        self._remote_requests.stop()
        self._reader.stop()
        for auxiliary_server in self._auxiliary_servers:
            await auxiliary_server.stop()
        self.group.stop()
        self._pool.close()
        self._peer_client.close()
        self._relay_client.close()
        _LOG.info("gateway_stopped", entry=self.settings.entry_id)

    def reload(self, settings: gateway_settings.GatewaySettings) -> None:
        """Apply the settings that may change at runtime: seeds and hedging."""
        self.group.set_seeds(settings.seeds)
        self._forwarder.reload(settings)
        _LOG.info(
            "settings_reloaded",
            seeds=list(settings.seeds),
            hedging=_hedging_fields(settings),
        )

    def _periodic_steps(self) -> Sequence[tuple[str, float, Callable]]:
        """Return the name, interval in ms and action of periodic steps."""
        now_ms = self.clock.now_ms
        return (
            ("queues", 0, lambda: self.balancer.tick(now_ms())),
            ("tokens", 100, lambda: self._token_sharing.tick()),
            ("retries", 100, lambda: self._retry_sharing.tick()),
            ("sharing", 50, lambda: self._sharing.tick()),
            ("remote_requests", 100, lambda: self._remote_requests.tick()),
            ("behind", 50, lambda: self._check_behind(now_ms())),
            ("peers", 100, lambda: self.group.tick()),
            ("role", 100, self._update_role),
            ("reader", 100, self._update_reader),
            ("paths", 50, lambda: self._paths.update()),
            ("trials", 100, self._start_trials),
            ("probes", 100, lambda: self._prober.update_assignment()),
            ("slots", _SLOT_CHECK_INTERVAL_MS, self._check_slots),
            (
                "expirations",
                100,
                lambda: self.catalogue.remove_expired(self._steady_ms()),
            ),
        )

    def _check_slots(self) -> None:
        """Log slots that are not given back, which only a fault can cause."""
        slots = self._forwarder.unowned_slots()
        if slots:
            _LOG.error(
                "slots_without_owner",
                slots=slots,
                in_flight=self._caller_server.in_flight,
            )

    def _start_trials(self) -> None:
        """Try lost paths again; a standby, which has few requests, rarely."""
        now_ms = self.clock.now_ms()
        if self._role.is_active or now_ms >= self._standby_trials_due_ms:
            self._standby_trials_due_ms = now_ms + _STANDBY_TRIALS_INTERVAL_MS
            self._prober.start_trials()

    async def _tick(self) -> None:
        periodic_steps = self._periodic_steps()
        due_ms_by_step = {name: 0.0 for name, _, _ in periodic_steps}
        last_used_s = time.process_time()
        while True:
            await self._wait_tick()
            pause_ms = self._resumption.step()
            now_ms, used_s = self.clock.now_ms(), time.process_time()
            used_ms, last_used_s = (used_s - last_used_s) * 1000, used_s
            if pause_ms > resumption.MIN_PAUSE_MS:
                steps.run_step(
                    _LOG,
                    "resume",
                    functools.partial(self._handle_pause, pause_ms, used_ms),
                )
            for name, interval_ms, action in periodic_steps:
                if now_ms >= due_ms_by_step[name]:
                    due_ms_by_step[name] = now_ms + interval_ms
                    steps.run_step(_LOG, name, action)

    async def _wait_tick(self) -> None:
        if self._caller_server.in_flight or (self._state != peer_groups.READY):
            await asyncio.sleep(_TICK_INTERVAL_S)
        elif self._role.is_active:
            await asyncio.sleep(_IDLE_TICK_INTERVAL_S)
        else:
            self._request_arrived.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_STANDBY_TICK_INTERVAL_S):
                    await self._request_arrived.wait()

    def _update_role(self) -> None:
        """Become active or a standby, as the data centre needs."""
        now_ms = self.clock.now_ms()
        self._busy.update(
            self._caller_server.requests
            + self._relay_server.exchanges * _RELAYED_REQUEST_SHARE,
            self._caller_server.body_bytes,
            now_ms,
        )
        if self._state != peer_groups.READY:
            return
        peers = [
            peer.presence
            for peer in self.group.local_peers()
            if peer.presence.state != peer_groups.LEAVING
        ]
        if not self._role.update(self._presence(), peers, now_ms):
            return
        _LOG.notice(
            "role_changed",
            active=self._role.is_active,
            active_peers=sum(presence.is_active for presence in peers),
            peers=len(peers),
        )
        # The intervals of the heartbeats that this entry gets change as well.
        self.group.reset_timeouts()
        self.group.announce()

    def _update_reader(self) -> None:
        """Read the platform unless enough peers of the data centre do so.

        Other entries get the published items from these peers, which saves
        requests to the platform.
        """
        uptime_ms = self.clock.now_ms() - self._started_ms
        if uptime_ms < _START_MS:
            if not self._reader.is_active and self._may_read_first(uptime_ms):
                self._reader.is_first = True
                self._reader.set_active(
                    True, watch_delay_s=(_START_MS - uptime_ms) / 1000
                )
            return
        own_rank = _reader_rank(self._presence())
        ahead = [
            peer.presence
            for peer in self.group.local_peers()
            if _reader_rank(peer.presence) < own_rank
        ]
        active_readers = sum(presence.steady_ms > 0 for presence in ahead)
        self._reader.is_first = not active_readers
        self._reader.set_active(
            self._reader_turn.is_due(
                active_readers < _READERS_PER_DATA_CENTRE,
                len(ahead),
                self.clock.now_ms(),
            )
        )

    def _may_read_first(self, uptime_ms: float) -> bool:
        """Return whether this entry reads the platform soon after its start."""
        peers = self.group.local_peers()
        if any(peer.presence.revision for peer in peers):
            return False
        return uptime_ms >= serving.first_read_delay_ms(
            self.settings, len(peers), self._first_read_share
        )

    def _steady_ms(self) -> float:
        """Return the longest uninterrupted connection to the platform in ms.

        Counts this entry and the peers that do not know a newer revision. A
        peer whose view is of an earlier era has not seen the platform since it
        was restored.
        """
        now_ms = self.clock.now_ms()
        view = self.catalogue.view
        known = [
            peer.presence.steady_ms
            for peer in self.group.live_peers()
            if now_ms - peer.last_received_ms < _MAX_HEARTBEAT_AGE_MS
            and peer.presence.revision <= view.revision
            and published.era_of(peer.presence.revision)
            == published.era_of(view.revision)
        ]
        return max(self._reader.steady_ms(), *known, 0.0)

    def _handle_pause(self, pause_ms: float, used_ms: float) -> None:
        """Reset the peer timeouts after a process pause.

        The local view may be stale after a long pause, so the reader starts
        again with a snapshot.

        Args:
            pause_ms: Time in which no step of the event loop was taken.
            used_ms: Processor time of this process meanwhile: hardly any if it
                was frozen, and nearly all if a step took that long.
        """
        _LOG.warning(
            "process_was_paused",
            ms=round(pause_ms),
            used_ms=round(used_ms),
            revision=self.catalogue.view.revision,
        )
        self.group.reset_timeouts()
        if pause_ms > _LONG_PAUSE_MS:
            self._reader.restart()

    def _start_confirming(self) -> None:
        """Ask peers whether the view lacks anything, those that read first."""
        local = self.group.local_peers()
        readers = [peer for peer in local if peer.presence.steady_ms > 0]
        peers = readers or local or self.group.live_peers()
        for peer in random.sample(peers, min(_CONFIRMING_PEERS, len(peers))):
            task = asyncio.create_task(self._fetch_peer_view(peer))
            self._confirming.add(task)
            task.add_done_callback(self._confirming.discard)
        if not peers:
            self._reader.restart()

    def _confirm_view(self) -> None:
        """Note that a source of the view has shown that it lacks nothing."""
        self.catalogue.confirm()
        self._resumption.confirmed()

    # Changes of the catalogue.

    def routing_adopted(self, table: routing.RoutingTable) -> None:
        """Apply a newer configuration."""
        self.metrics.set_configuration_revision(table.version)
        self._prober.table = table
        self.balancer.set_services(table.services_by_name.values())
        self._caller_server.discard_removed_routes()
        if self._state == peer_groups.STARTING:
            self._state = peer_groups.READY
            self._update_role()
            self.group.announce()
            started_ms = self.clock.now_ms() - self._started_ms
            _LOG.info(
                "gateway_ready",
                version=table.version,
                started_ms=round(started_ms),
            )

    def target_added(self, target: dialects.PublishedTarget) -> None:
        """Start to send requests to a target."""
        now_ms = self.clock.now_ms()
        self.balancer.add_target(target, now_ms)
        self._pool.close_idle(target.address)
        self._paths.add_target(self.balancer.load_by_id[target.id], now_ms)

    def target_changed(self, target: dialects.PublishedTarget) -> None:
        """Apply a changed registration."""
        self.balancer.update_target(target, self.clock.now_ms())
        self._close_evacuated()

    def target_removed(self, target: dialects.PublishedTarget) -> None:
        """Send no further request to a target."""
        self.balancer.remove_target(target.id)
        self._pool.close_idle(target.address)

    def evacuation_started(self, data_centre: str) -> None:
        """Send no further request to the targets of a data centre."""
        self._evacuated_since_ms[data_centre] = self.clock.now_ms()
        self._apply_evacuations()

    def evacuation_ended(self, data_centre: str) -> None:
        """Send requests to the targets of a data centre again."""
        self._evacuated_since_ms.pop(data_centre, None)
        self._apply_evacuations()

    def _apply_evacuations(self) -> None:
        self.balancer.set_evacuated(
            frozenset(self._evacuated_since_ms), self.clock.now_ms()
        )
        self._close_evacuated()
        self._prober.update_assignment()
        self._paths.update()

    def _close_evacuated(self) -> None:
        """Close idle connections to the targets of evacuated data centres."""
        for load in self.balancer.evacuated_loads():
            self._pool.close_idle(load.target.address)

    def _evacuation_age_s(self) -> float:
        """Return the age of the oldest evacuation in s, NaN without one."""
        if not self._evacuated_since_ms:
            return math.nan
        since_ms = min(self._evacuated_since_ms.values())
        return (self.clock.now_ms() - since_ms) / 1000

    def _view_age_s(self) -> float:
        """Return the time since the view was confirmed in s, NaN before."""
        confirmed_ms = self.catalogue.confirmed_ms
        if not math.isfinite(confirmed_ms):
            return math.nan
        return (self.clock.now_ms() - confirmed_ms) / 1000

    def _dispatch_later(self, service: str, delay_ms: float) -> None:
        """Dispatch the waiting requests of a service when it is their turn."""
        if service not in self._dispatch_timer_by_service:
            loop = asyncio.get_running_loop()
            self._dispatch_timer_by_service[service] = loop.call_later(
                delay_ms / 1000, self._dispatch, service
            )

    def _dispatch(self, service: str) -> None:
        del self._dispatch_timer_by_service[service]
        self.balancer.dispatch_waiting(service, self.clock.now_ms())

    # Peers.

    def _report_load(self, load: loads.TargetLoad) -> None:
        """Report a changed number of requests of this entry at a target."""
        self._sharing.schedule_report(load)
        self._remote_requests.schedule_report(load)

    def _platform_source(self) -> catalogues.Source:
        return catalogues.Source("platform", self._steady_ms())

    def _presence(self) -> messages.Presence:
        settings = self.settings
        table = self.catalogue.table
        return messages.Presence(
            settings.entry_id,
            self.boot_id,
            settings.data_centre,
            settings.callers_address,
            settings.control_address,
            settings.peer_port,
            self._state,
            table.version if table else 0,
            self.catalogue.view.revision,
            self._reader.steady_ms(),
            self._role.is_active,
            settings.processor_share,
            self._busy.share,
            self._paths.services_without_path,
            cold_targets.PROTOCOL,
        )

    def _send_changes(self) -> None:
        """Send the changes that were read from the platform to the peers.

        A peer that misses one fetches the changes once it gets a heartbeat with
        the new revision.
        """
        after, view = self._sent_revision, self.catalogue.view
        self._sent_revision = view.revision
        peers = self.group.local_peers()
        reports = _change_reports(after, view, self._reader.steady_ms())
        for report in reports or [self._presence()]:
            self.group.broadcast(report, peers)

    def _apply_changes(
        self, peer: peer_groups.Peer, report: messages.PublishedChanges
    ) -> None:
        """Adopt the changes that a peer has read, if none before is missing."""
        revision = self.catalogue.view.revision
        if report.revision > peer.presence.revision:
            # The last heartbeat may be of the time before a restore, when the
            # peer had been connected for longer.
            peer.presence.revision = report.revision
            peer.presence.steady_ms = report.steady_ms
        if report.revision <= revision:
            return
        if report.after > revision or not revision:
            self._check_behind(self.clock.now_ms())
            return
        items = [dialects.PublishedItem(*change) for change in report.changes]
        self.catalogue.apply(
            items,
            report.revision,
            catalogues.Source(peer.presence.entry_id, report.steady_ms),
        )

    def _handle_message(
        self, peer: peer_groups.Peer, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Presence):
            if message.revision > self.catalogue.view.revision:
                self._check_behind(self.clock.now_ms())
            elif message.steady_ms > 0:
                self.catalogue.confirm()
        elif isinstance(message, messages.LoadReport):
            self._sharing.handle_report(peer, message)
        elif isinstance(message, messages.TokenRequest):
            self._token_sharing.handle_request(peer, message)
        elif isinstance(message, messages.TokenGrant):
            self._token_sharing.handle_grant(message)
        elif isinstance(message, messages.RetryTokenRequest):
            self._retry_sharing.handle_request(peer, message)
        elif isinstance(message, messages.RetryTokenGrant):
            self._retry_sharing.handle_grant(message)
        elif isinstance(message, messages.RemoteRequests):
            self._remote_requests.handle_report(message)
        elif isinstance(message, messages.FailedAttempts):
            self._attempts.handle_report(message)
        elif isinstance(message, messages.AnnouncementReport):
            self._announcements.handle_report(peer, message)
        elif isinstance(message, messages.PublishedChanges):
            self._apply_changes(peer, message)
        elif isinstance(message, messages.CrashReport):
            self._forwarder.quarantine.record_crash(
                message.fingerprint,
                message.target_id,
                self.clock.now_ms(),
                age_ms=message.age_ms,
                duration_ms=message.duration_ms,
            )

    def _broadcast_crash(
        self,
        fingerprint: str,
        target_id: str,
        crashed_ms: float,
        duration_ms: float,
    ) -> None:
        age_ms = self.clock.now_ms() - crashed_ms
        report = messages.CrashReport(
            fingerprint, target_id, age_ms, duration_ms
        )
        self.group.broadcast(report, self.group.live_peers())

    def _check_behind(self, now_ms: float) -> None:
        """Fetch the view of a peer whose revision stays ahead of this one."""
        revision = self.catalogue.view.revision
        ahead = [
            peer
            for peer in self.group.live_peers()
            if peer.presence.revision > revision
        ]
        if not ahead:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        limit_ms = _BEHIND_LIMIT_MS
        if not self._reader.is_active:
            limit_ms = 0.0
        elif self._reader.is_connected:
            limit_ms = _BEHIND_LIMIT_CONNECTED_MS
        is_fetching = self._peer_view_task and not self._peer_view_task.done()
        if now_ms - self._behind_since_ms >= limit_ms and not is_fetching:
            self._behind_since_ms = None
            newest = max(peer.presence.revision for peer in ahead)
            local = [p for p in ahead if self.group.is_local(p)] or ahead
            candidates = [
                p for p in local if p.presence.revision == newest
            ] or local
            self._peer_view_task = asyncio.create_task(
                self._fetch_peer_view(random.choice(candidates))
            )

    async def _fetch_peer_view(self, peer: peer_groups.Peer) -> None:
        """Fetch the changes from a peer and adopt them."""
        replaced = self.catalogue.view.revision
        try:
            response = await self._peer_client.get(
                peer.presence.control_address,
                f"{_PEER_VIEW_PATH}?{_DEFLATE_QUERY}&after={replaced}",
                _PEER_VIEW_TIMEOUT_S,
            )
            content = cbor2.loads(_decode_view(response))
            items = [dialects.PublishedItem(*item) for item in content["items"]]
            revision, steady_ms = content["revision"], content["steady_ms"]
            is_complete = content.get("is_complete", True)
            unconfirmed = [
                str(name) for name in content.get("unconfirmed_evacuations", ())
            ]
        except (
            connections.ExchangeError,
            TimeoutError,
            cbor2.CBORDecodeError,
            zlib.error,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            _LOG.warning(
                "peer_view_failed",
                peer=peer.presence.entry_id,
                error=repr(error),
            )
            return
        source = catalogues.Source(peer.presence.entry_id, steady_ms)
        if revision <= self.catalogue.view.revision:
            if steady_ms > 0:
                self._confirm_view()
            return
        _LOG.info(
            "peer_view_adopted",
            peer=peer.presence.entry_id,
            revision=revision,
            replaced=replaced,
        )
        if is_complete:
            self.catalogue.replace(items, revision, source)
        else:
            self.catalogue.apply(items, revision, source)
        self.catalogue.adopt_unconfirmed_evacuations(unconfirmed, source)
        if steady_ms > 0:
            self._confirm_view()

    # Auxiliary servers.

    async def _get_readiness(
        self, request: http_server.Request
    ) -> http_server.Response:
        del request
        is_ready = self._state == peer_groups.READY
        return http_server.Response(
            200 if is_ready else 503, self._state.encode()
        )

    async def _get_addresses(
        self, request: http_server.Request
    ) -> http_server.Response:
        del request
        addresses = self.addresses()
        if not addresses:
            return http_server.Response(503, errors.Reason.STARTING.encode())
        body = self._dialect.encode_addresses(
            addresses, self.settings.address_ttl_s
        )
        return http_server.Response(
            200, body, [("Content-Type", "application/json")]
        )

    def addresses(self) -> list[str]:
        """Return the addresses that a caller should use, in random order."""
        presence = self._presence()
        oldest_ms = self.clock.now_ms() - self.settings.max_silence_s * 1000
        # Standbys and entries of other data centres send heartbeats so rarely
        # that they count as lost later than callers may get their addresses.
        known = [presence] + [
            peer.presence
            for peer in self.group.live_peers()
            if peer.last_received_ms >= oldest_ms
        ]
        ready = [p for p in known if p.state == peer_groups.READY]
        # A caller of another data centre sends its query here because no entry
        # there has responded, and heartbeats from there are seconds old.
        local = [p for p in ready if p.data_centre == presence.data_centre]
        active = [p for p in local if p.is_active]
        chosen = [
            p.callers_address
            for p in _reaching(active, local) or active or local or ready
            if p.callers_address
        ]
        random.shuffle(chosen)
        return chosen[:_MAX_ADDRESSES]

    def _peer_request_limits(self) -> http_server.Limits:
        table = self.catalogue.table
        limits = http_server.Limits()
        max_body_bytes = limits.max_body_bytes
        if table is not None:
            max_body_bytes = table.limits.max_body_bytes
        return dataclasses.replace(
            limits, max_body_bytes=max_body_bytes + _MAX_RELAY_FRAME_BYTES
        )

    async def _handle_peer_request(
        self, request: http_server.Request
    ) -> http_server.Response:
        if request.method == "POST" and request.target == relaying.RELAY_PATH:
            return await self._relay_server.handle(request)
        return await self._get_published(request)

    async def _get_published(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Return the changes after the revision in the query, or all items."""
        view = self.catalogue.view
        after = request.target.rpartition("after=")[2]
        items = view.changes_since(int(after)) if after.isdigit() else None
        content = {
            "revision": view.revision,
            "steady_ms": self._reader.steady_ms(),
            "is_complete": items is None,
            "unconfirmed_evacuations": sorted(
                self.catalogue.evacuations.unconfirmed
            ),
            "items": [
                [item.key, item.revision, item.value]
                for item in (view.items() if items is None else items)
            ],
        }
        body = cbor2.dumps(content)
        if _DEFLATE_QUERY not in request.target:
            return http_server.Response(200, body)
        return http_server.Response(
            200,
            zlib.compress(body, _DEFLATE_LEVEL),
            [("Content-Encoding", "deflate")],
        )

    async def _get_metrics(
        self, request: http_server.Request
    ) -> http_server.Response:
        if request.target.partition("?")[0] == explaining.PATH:
            return self._get_explanation(request)
        return http_server.Response(
            200,
            self.metrics.export(),
            [("Content-Type", metrics.CONTENT_TYPE)],
        )

    def _get_explanation(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Return where the request in the query would be sent now."""
        try:
            query = explaining.parse_query(request.target)
        except ValueError as error:
            return explaining.error_response(400, str(error))
        try:
            explanation = self._caller_server.explain(query)
        except errors.RequestError as error:
            return explaining.error_response(
                error.status, explaining.error_text(error)
            )
        # Registered targets that the balancer does not list are leaving.
        unlisted = [
            target
            for target in self.catalogue.targets(explanation.service)
            if target.id not in self.balancer.load_by_id
        ]
        return explaining.response(
            {
                "entry": self.settings.entry_id,
                "data_centre": self.settings.data_centre,
                "state": self._state,
                "version": self.catalogue.table.version,
            }
            | explaining.describe(explanation, unlisted)
        )


def _decode_view(response: connections.TargetResponse) -> bytes:
    """Return the body of a peer's view, decompressed if it is compressed.

    Raises:
        zlib.error: The body is damaged.
        ValueError: It is incomplete or too large.
    """
    if response.header_by_name.get("content-encoding") != "deflate":
        return response.body
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(response.body, _MAX_VIEW_BYTES)
    if not decompressor.eof:
        raise ValueError("the view is incomplete or too large")
    return body


def _hedging_fields(
    settings: gateway_settings.GatewaySettings,
) -> dict[str, float] | None:
    """Return the limits of hedges as a log field, None without the section."""
    return settings.hedging and dataclasses.asdict(settings.hedging)


class _BusyShare:
    """Estimate of the share of this host that its requests use.

    Args:
        settings: Settings of the entry.

    Attributes:
        share: Moving average of the share of the processor time or of the
            network link, whichever is higher.
    """

    def __init__(self, settings: gateway_settings.GatewaySettings):
        self.share = 0.0
        self._processor_share = max(0.01, settings.processor_share)
        self._link_bytes_per_ms = max(0.1, settings.link_mbps) * 125
        self._measured_ms = 0.0
        self._requests = 0
        self._body_bytes = 0

    def update(self, requests: float, body_bytes: int, now_ms: float) -> None:
        """Estimate again when the interval is over.

        Args:
            requests: Requests since the start.
            body_bytes: Bytes of their bodies and of the responses.
            now_ms: Current time.
        """
        elapsed_ms = now_ms - self._measured_ms
        if elapsed_ms < _BUSY_INTERVAL_MS:
            return
        used_ms = (requests - self._requests) * _REQUEST_PROCESSOR_MS
        sent_ms = (body_bytes - self._body_bytes) / self._link_bytes_per_ms
        sample = max(used_ms / self._processor_share, sent_ms) / elapsed_ms
        self.share += _BUSY_WEIGHT * (sample - self.share)
        self._measured_ms = now_ms
        self._requests, self._body_bytes = requests, body_bytes


def _reaching(
    active: Sequence[messages.Presence], local: Sequence[messages.Presence]
) -> list[messages.Presence]:
    """Return the entries with a path to targets, if they can serve all callers.

    Otherwise the others serve callers as well, which costs less of the entries
    with a path, as these only carry out the exchanges.

    Args:
        active: Active entries of the data centre.
        local: All ready entries of the data centre.
    """
    busy = sum(presence.busy for presence in active)
    for candidates in (active, local):
        reaching = [
            presence
            for presence in candidates
            if path_monitor.ALL_SERVICES
            not in (presence.services_without_path or ())
        ]
        if reaching and busy <= _MAX_REACHING_BUSY * len(reaching):
            return reaching
    return []


def _reader_rank(presence: messages.Presence) -> tuple:
    """Return the sort key by which entries read the platform.

    Active entries send changes to their peers soonest, and strong hosts have
    the links for it.
    """
    return not presence.is_active, *serving.rank(presence)


def _change_reports(
    after: int, view: published.PublishedView, steady_ms: float
) -> list[messages.PublishedChanges]:
    """Return messages with the changes of a view, empty if they are large.

    A receiver of one of them has all changes up to its revision. Changes may
    share a revision, and a view may hold some that are later than its own, as
    the pages of a snapshot are read one after another.
    """
    changes = [
        item
        for item in view.changes_since(after) or []
        if item.revision <= view.revision
    ]
    reports: list[messages.PublishedChanges] = []
    size = _MAX_CHANGE_BYTES
    for revision, group in itertools.groupby(
        changes, key=lambda item: item.revision
    ):
        items = [
            messages.PublishedChange(item.key, item.revision, item.value)
            for item in group
        ]
        group_size = sum(
            len(item.key) + len(item.value or b"") for item in items
        )
        if group_size > _MAX_CHANGE_BYTES:
            return []
        size += group_size
        if size > _MAX_CHANGE_BYTES:
            start = reports[-1].revision if reports else after
            reports.append(
                messages.PublishedChanges(start, start, steady_ms, [])
            )
            size = group_size
        reports[-1].changes += items
        reports[-1].revision = revision
    if len(reports) > _MAX_CHANGE_DATAGRAMS:
        return []
    if reports:
        reports[-1].revision = view.revision
    return reports
