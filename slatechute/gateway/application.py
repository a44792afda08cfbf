"""A gateway entry: creates its components and connects them."""

import asyncio
from collections.abc import Callable, Sequence
import random

import cbor2

from slatechute import errors
from slatechute import identifiers
from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute.gateway import balancing
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import forwarding
from slatechute.gateway import http_server
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import reader
from slatechute.gateway import routing
from slatechute.gateway import server
from slatechute.gateway import settings as gateway_settings
from slatechute.gateway import sharing
from slatechute.util import addresses
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = ["GatewayApplication"]

_LOG = logs.get_logger(__name__)

_TICK_INTERVAL_S = 0.02
# A longer interval between two ticks means that the process was paused.
_MIN_PAUSE_MS = 400.0
# A peer whose revision has been higher for this long has read changes that this
# entry has missed; a connected reader is given longer to catch up by itself.
_BEHIND_LIMIT_MS = 250.0
_BEHIND_LIMIT_CONNECTED_MS = 900.0
_PEER_VIEW_TIMEOUT_S = 1.0
# An older heartbeat says nothing about the state of the platform.
_MAX_HEARTBEAT_AGE_MS = 1_500.0
# Draining ends this long before the platform would kill the process.
_STOP_MARGIN_MS = 700.0
# A draining entry without requests for this long is no longer in use.
_DRAIN_IDLE_MS = 1_200.0
# With one reader per data centre, changes would be late while the connection of
# that reader is unresponsive.
_READERS_PER_DATA_CENTRE = 2
_MAX_ADDRESSES = 64
_PEER_VIEW_PATH = "/published"


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
        self.catalogue = catalogues.Catalogue(settings, dialect, self)
        self._reader = reader.PlatformReader(
            source,
            self.catalogue,
            self.clock,
            self.metrics.count_platform_call,
            self._platform_source,
            lambda: self.group.broadcast(
                self._presence(), self.group.local_peers()
            ),
        )
        self._create_components()

    def _create_components(self) -> None:
        settings = self.settings
        self._sharing = sharing.LoadSharing(settings, self.boot_id, self.clock)
        self.balancer = balancing.Balancer(
            settings.data_centre, self._sharing.schedule_report
        )
        self.group = peer_groups.PeerGroup(
            settings,
            self.clock,
            self._presence,
            self._handle_message,
            lambda peer: self.balancer.forget_peer(peer.presence.entry_id),
        )
        self._sharing.attach(self.group, self.balancer)
        self._pool = connections.ConnectionPool()
        self._peer_client = connections.HttpClient()
        self._forwarder = forwarding.Forwarder(
            settings,
            self._dialect,
            self.balancer,
            self._pool,
            self.clock,
            self.metrics,
            self._broadcast_crash,
            self._sharing.schedule_report,
        )
        self._prober = sharing.LoadProber(
            settings,
            self._dialect,
            self.balancer,
            self.group,
            self._pool,
            self.clock,
            self.metrics,
            self._sharing,
        )
        self._caller_server = server.CallerServer(
            settings,
            self._dialect,
            self.catalogue,
            self._forwarder,
            self.clock,
            self.metrics,
        )
        self.metrics.bind_gauges(
            in_flight=lambda: self._caller_server.in_flight,
            waiting=lambda: sum(
                len(pool.waiting)
                for pool in self.balancer.pool_by_service.values()
            ),
            links=lambda: len(self.group.live_peers()),
        )
        handlers = (
            (settings.readiness_address, self._get_readiness),
            (settings.directory_address, self._get_addresses),
            (settings.control_address, self._get_published),
            (
                addresses.join_address(settings.host, settings.metrics_port),
                self._get_metrics,
            ),
        )
        self._auxiliary_servers = [
            http_server.HttpServer(address, handler)
            for address, handler in handlers
            if address
        ]

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
        self._reader.set_active(True)
        self._sharing.start()
        self._tick_task = asyncio.create_task(self._tick())
        _LOG.info(
            "gateway_started",
            entry=self.settings.entry_id,
            boot_id=self.boot_id,
            data_centre=self.settings.data_centre,
            seeds=list(self.settings.seeds),
        )

    async def drain(self) -> bool:
        """Announce that the entry is leaving and finish in-flight requests.

        Returns:
            False if requests were still in flight when the time limit ended.
        """
        self._state = peer_groups.LEAVING
        self.group.announce()
        start_ms = self.clock.now_ms()
        limit_ms = self.settings.shutdown_timeout_s * 1000 - _STOP_MARGIN_MS
        self._caller_server.start_draining(start_ms + limit_ms)
        while (elapsed_ms := self.clock.now_ms() - start_ms) < limit_ms:
            if (
                not self._caller_server.in_flight
                and elapsed_ms > self.settings.address_ttl_s * 1000
                and self._caller_server.idle_ms > _DRAIN_IDLE_MS
            ):
                break
            await asyncio.sleep(_TICK_INTERVAL_S)
        return not self._caller_server.in_flight

    async def stop(self) -> None:
        """Cancel all tasks and close all servers and connections."""
        for task in (self._tick_task, self._peer_view_task):
            if task is not None:
                task.cancel()
        self._prober.stop()
        self._sharing.stop()
        self._reader.stop()
        await self._caller_server.stop()
        for auxiliary_server in self._auxiliary_servers:
            await auxiliary_server.stop()
        self.group.stop()
        self._pool.close()
        self._peer_client.close()
        _LOG.info("gateway_stopped", entry=self.settings.entry_id)

    def reload(self, settings: gateway_settings.GatewaySettings) -> None:
        """Apply the settings that may change at runtime: the seeds."""
        self.group.set_seeds(settings.seeds)
        _LOG.info("settings_reloaded", seeds=list(settings.seeds))

    def _periodic_steps(self) -> Sequence[tuple[str, int, Callable[[], None]]]:
        """Return the name, interval in ticks and action of periodic steps."""
        now_ms = self.clock.now_ms
        return (
            ("queues", 1, lambda: self.balancer.tick(now_ms())),
            ("sharing", 3, lambda: self._sharing.tick()),
            ("behind", 3, lambda: self._check_behind(now_ms())),
            ("peers", 6, lambda: self.group.tick()),
            ("reader", 6, self._update_reader),
            ("probes", 6, lambda: self._prober.update_assignment()),
            (
                "lapses",
                6,
                lambda: self.catalogue.remove_expired(self._steady_ms()),
            ),
        )

    async def _tick(self) -> None:
        periodic_steps = self._periodic_steps()
        last_ms = self.clock.now_ms()
        tick_count = 0
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            now_ms = self.clock.now_ms()
            pause_ms, last_ms = now_ms - last_ms, now_ms
            if pause_ms > _MIN_PAUSE_MS:
                steps.run_step(
                    _LOG, "resume", lambda ms=pause_ms: self._handle_pause(ms)
                )
            tick_count += 1
            for name, period, action in periodic_steps:
                if tick_count % period == 0:
                    steps.run_step(_LOG, name, action)

    def _update_reader(self) -> None:
        """Read the platform unless enough peers of the data centre do so.

        Other entries fetch the published items from these peers, which saves
        requests to the platform.
        """
        entry_id = self.settings.entry_id
        active_readers = sum(
            1
            for peer in self.group.local_peers()
            if peer.presence.entry_id < entry_id and peer.presence.steady_ms > 0
        )
        self._reader.is_first = not active_readers
        self._reader.set_active(active_readers < _READERS_PER_DATA_CENTRE)

    def _steady_ms(self) -> float:
        """Return the longest uninterrupted connection to the platform in ms.

        Counts this entry and the peers that do not know a newer revision.
        """
        now_ms = self.clock.now_ms()
        known = [
            peer.presence.steady_ms
            for peer in self.group.live_peers()
            if now_ms - peer.last_received_ms < _MAX_HEARTBEAT_AGE_MS
            and peer.presence.revision <= self.catalogue.view.revision
        ]
        return max(self._reader.steady_ms(), *known, 0.0)

    def _handle_pause(self, pause_ms: float) -> None:
        """Reset the peer timeouts after a process pause.

        The local view may be stale after a long pause, so the reader starts
        again with a snapshot.
        """
        _LOG.warning(
            "process_was_paused",
            ms=round(pause_ms),
            revision=self.catalogue.view.revision,
        )
        self.group.reset_timeouts()
        if pause_ms > 5 * _MIN_PAUSE_MS:
            self._reader.restart()

    # Changes of the catalogue.

    def routing_adopted(self, table: routing.RoutingTable) -> None:
        """Apply a newer configuration."""
        self.metrics.set_configuration_revision(table.version)
        self._prober.table = table
        self._caller_server.discard_removed_routes()
        if self._state == peer_groups.STARTING:
            self._state = peer_groups.READY
            self.group.announce()
            started_ms = self.clock.now_ms() - self._started_ms
            _LOG.info(
                "gateway_ready",
                version=table.version,
                started_ms=round(started_ms),
            )

    def target_added(self, target: dialects.PublishedTarget) -> None:
        """Start to send requests to a target."""
        self.balancer.add_target(target, self.clock.now_ms())
        self._pool.close_idle(target.address)

    def target_changed(self, target: dialects.PublishedTarget) -> None:
        """Apply a changed registration."""
        self.balancer.update_target(target, self.clock.now_ms())

    def target_removed(self, target: dialects.PublishedTarget) -> None:
        """Send no further request to a target."""
        self.balancer.remove_target(target.id)
        self._pool.close_idle(target.address)

    # Peers.

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
        )

    def _handle_message(
        self, peer: peer_groups.Peer, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Presence):
            if message.revision > self.catalogue.view.revision:
                self._check_behind(self.clock.now_ms())
        elif isinstance(message, messages.LoadReport):
            self._sharing.handle_report(peer, message)
        elif isinstance(message, messages.CrashReport):
            self._forwarder.quarantine.record_crash(
                message.fingerprint,
                message.target_id,
                self.clock.now_ms(),
                age_ms=message.age_ms,
                duration_ms=message.duration_ms,
            )

    def _broadcast_crash(
        self, fingerprint: str, target_id: str, duration_ms: float
    ) -> None:
        report = messages.CrashReport(fingerprint, target_id, 0.0, duration_ms)
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
        """Fetch the published items from a peer and adopt newer ones."""
        try:
            response = await self._peer_client.get(
                peer.presence.control_address,
                _PEER_VIEW_PATH,
                _PEER_VIEW_TIMEOUT_S,
            )
            content = cbor2.loads(response.body)
            items = [dialects.PublishedItem(*item) for item in content["items"]]
            revision, steady_ms = content["revision"], content["steady_ms"]
        except (
            connections.ExchangeError,
            TimeoutError,
            cbor2.CBORDecodeError,
            KeyError,
            TypeError,
        ) as error:
            _LOG.warning(
                "peer_view_failed",
                peer=peer.presence.entry_id,
                error=repr(error),
            )
            return
        source = catalogues.Source(peer.presence.entry_id, steady_ms)
        _LOG.info(
            "peer_view_adopted",
            peer=peer.presence.entry_id,
            revision=revision,
            replaced=self.catalogue.view.revision,
        )
        if revision > self.catalogue.view.revision:
            self.catalogue.replace(items, revision, source)

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
        known = [presence, *(peer.presence for peer in self.group.live_peers())]
        ready = [p for p in known if p.state == peer_groups.READY]
        # A caller of another data centre sends its query here because no entry
        # there has responded, and heartbeats from there are seconds old.
        local = [p for p in ready if p.data_centre == presence.data_centre]
        chosen = [
            p.callers_address for p in local or ready if p.callers_address
        ]
        random.shuffle(chosen)
        return chosen[:_MAX_ADDRESSES]

    async def _get_published(
        self, request: http_server.Request
    ) -> http_server.Response:
        del request
        view = self.catalogue.view
        content = {
            "revision": view.revision,
            "steady_ms": self._reader.steady_ms(),
            "items": [
                [item.key, item.revision, item.value] for item in view.items()
            ],
        }
        return http_server.Response(200, cbor2.dumps(content))

    async def _get_metrics(
        self, request: http_server.Request
    ) -> http_server.Response:
        del request
        return http_server.Response(
            200,
            self.metrics.export(),
            [("Content-Type", metrics.CONTENT_TYPE)],
        )
