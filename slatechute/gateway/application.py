"""A gateway entry: builds its parts and wires them."""

import asyncio
from collections.abc import Callable, Sequence
import random

import aiohttp
from aiohttp import web
import cbor2
import prometheus_client

from slatechute import errors
from slatechute import events
from slatechute import identifiers
from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute.gateway import balancing
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import connections
from slatechute.gateway import dialects
from slatechute.gateway import forwarding
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import reader as readers
from slatechute.gateway import server
from slatechute.gateway import settings as gateway_settings
from slatechute.gateway import sharing
from slatechute.util import addresses
from slatechute.util import clock as clocks
from slatechute.util import sockets
from slatechute.util import steps

__all__ = ["GatewayApplication"]

_LOG = logs.get_logger(__name__)

_TICK_S = 0.02
# A tick that is this late shows that the process was paused.
_PAUSE_MS = 400.0
# A peer that is ahead for this long has read what this entry has missed.
_BEHIND_MS = 250.0
_BEHIND_CONNECTED_MS = 900.0
_VIEW_LIMIT_S = 1.0
# A sign of life that is older says nothing of the platform.
_FRESH_MS = 1_500.0
# The process ends this long before the platform would kill it.
_STOP_MARGIN_MS = 700.0
# A stopping entry that gets no request for this long is not used any more.
_UNUSED_MS = 1_200.0
# Entries of a data centre that watch the platform: with one, a change would be
# late while that one is silently cut off.
_READERS = 2
_MAX_ADDRESSES = 64
_VIEW_PATH = "/published"


class GatewayApplication:
    """One entry.

    Attributes:
        boot_id: Id of this start.
        metrics: Counters of this entry.
        catalogue: Configuration and targets in force.
        group: Other entries.
        balancer: Chooses targets.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        source: readers.PublishedSource,
    ):
        self.settings = settings
        self.boot_id = identifiers.new_boot_id(settings.entry_id)
        self.clock = clocks.MonotonicClock()
        self.bus = events.EventBus()
        self.metrics = metrics.Metrics()
        self._dialect = dialect
        self._state = peer_groups.STARTING
        self._tick_task: asyncio.Task | None = None
        self._fetch_task: asyncio.Task | None = None
        self._behind_since_ms: float | None = None
        self._session: aiohttp.ClientSession | None = None
        self._started_ms = self.clock.now_ms()
        self.catalogue = catalogues.Catalogue(settings, dialect, self.bus)
        self._reader = readers.PlatformReader(
            source,
            self.catalogue,
            self.clock,
            self.metrics.count_platform_call,
            self._own_source,
            lambda: self.group.broadcast(self._presence(), self.group.near()),
        )
        self._build()
        self._wire()

    def _build(self) -> None:
        settings = self.settings
        self._sharing = sharing.LoadSharing(settings, self.boot_id, self.clock)
        self.balancer = balancing.Balancer(
            settings.data_centre, self._sharing.changed
        )
        self.group = peer_groups.PeerGroup(
            settings,
            self.clock,
            self._presence,
            self._received,
            lambda peer: self.balancer.forget_peer(peer.presence.entry_id),
        )
        self._sharing.attach(self.group, self.balancer)
        self._pool = connections.ConnectionPool()
        self._forwarder = forwarding.Forwarder(
            settings,
            self._dialect,
            self.balancer,
            self._pool,
            self.clock,
            self.metrics,
            self._announce_strike,
            self._sharing.changed,
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
        self._calls = server.CallServer(
            settings,
            self._dialect,
            self.catalogue,
            self._forwarder,
            self.clock,
            self.metrics,
        )
        self.metrics.bind_gauges(
            in_flight=lambda: self._calls.inflight,
            waiting=lambda: sum(
                len(pool.waiting)
                for pool in self.balancer.pool_by_service.values()
            ),
            links=lambda: len(self.group.alive()),
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
        self._servers = [
            server.SmallServer(address, handler)
            for address, handler in handlers
            if address
        ]

    def _wire(self) -> None:
        bus = self.bus
        bus.stream(catalogues.RoutingAdopted).subscribe(self._on_routing)
        bus.stream(catalogues.TargetAdded).subscribe(self._on_target_added)
        bus.stream(catalogues.TargetChanged).subscribe(
            lambda event: self.balancer.update_target(
                event.target, self.clock.now_ms()
            )
        )
        bus.stream(catalogues.TargetRemoved).subscribe(self._on_target_removed)

    @property
    def is_reading(self) -> bool:
        """Whether this entry reads the platform for its data centre."""
        return self._reader.is_active

    # Life cycle.

    async def start(self) -> None:
        """Open all servers and begin to read the platform.

        Raises:
            OSError: An address cannot be used.
        """
        connector = aiohttp.TCPConnector(
            socket_factory=sockets.keepalive_socket, use_dns_cache=False
        )
        self._session = aiohttp.ClientSession(connector=connector)
        await self.group.start()
        for small in self._servers:
            await small.start()
        if self.settings.callers_address:
            await self._calls.start()
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
        """Leave the fleet and finish the work in flight.

        Returns:
            False when work was still in flight at the end.
        """
        self._state = peer_groups.LEAVING
        self.group.announce()
        start_ms = self.clock.now_ms()
        limit_ms = self.settings.shutdown_timeout_s * 1000 - _STOP_MARGIN_MS
        self._calls.begin_stop(start_ms + limit_ms)
        while (elapsed_ms := self.clock.now_ms() - start_ms) < limit_ms:
            unused_ms = self.clock.now_ms() - self._calls.last_call_ms
            if (
                not self._calls.inflight
                and elapsed_ms > self.settings.address_ttl_s * 1000
                and unused_ms > _UNUSED_MS
            ):
                break
            await asyncio.sleep(_TICK_S)
        return not self._calls.inflight

    async def stop(self) -> None:
        """Close everything at once."""
        for task in (self._tick_task, self._fetch_task):
            if task is not None:
                task.cancel()
        self._prober.stop()
        self._sharing.stop()
        self._reader.stop()
        await self._calls.stop()
        for small in self._servers:
            await small.stop()
        self.group.stop()
        self._pool.close()
        if self._session is not None:
            await self._session.close()
        _LOG.info("gateway_stopped", entry=self.settings.entry_id)

    def reload(self, settings: gateway_settings.GatewaySettings) -> None:
        """Take in settings that may change while the entry runs."""
        self.group.set_seeds(settings.seeds)
        _LOG.info("settings_reloaded", seeds=list(settings.seeds))

    def _periodic_steps(self) -> Sequence[tuple[str, int, Callable[[], None]]]:
        """Return name, period in ticks and action of each periodic step."""
        now_ms = self.clock.now_ms
        return (
            ("queues", 1, lambda: self.balancer.tick(now_ms())),
            ("sharing", 3, lambda: self._sharing.tick()),
            ("behind", 3, lambda: self._check_behind(now_ms())),
            ("peers", 6, lambda: self.group.tick()),
            ("reader", 6, self._review_reader),
            ("probes", 6, lambda: self._prober.review()),
            ("lapses", 6, lambda: self.catalogue.expire(self._steady_ms())),
        )

    async def _tick(self) -> None:
        periodic_steps = self._periodic_steps()
        last_ms = self.clock.now_ms()
        turn = 0
        while True:
            await asyncio.sleep(_TICK_S)
            now_ms = self.clock.now_ms()
            pause_ms, last_ms = now_ms - last_ms, now_ms
            if pause_ms > _PAUSE_MS:
                steps.run_step(
                    _LOG, "resume", lambda ms=pause_ms: self._resume(ms)
                )
            turn += 1
            for name, period, action in periodic_steps:
                if turn % period == 0:
                    steps.run_step(_LOG, name, action)

    def _review_reader(self) -> None:
        """Read the platform unless enough peers of the data centre do.

        The others take over what these have read, which saves calls.
        """
        own = self.settings.entry_id
        ahead = sum(
            1
            for peer in self.group.near()
            if peer.presence.entry_id < own and peer.presence.steady_ms > 0
        )
        self._reader.is_first = not ahead
        self._reader.set_active(ahead < _READERS)

    def _steady_ms(self) -> float:
        """Return how long some entry has read the platform without a break."""
        now_ms = self.clock.now_ms()
        known = [
            peer.presence.steady_ms
            for peer in self.group.alive()
            if now_ms - peer.heard_ms < _FRESH_MS
            and peer.presence.revision <= self.catalogue.view.revision
        ]
        return max(self._reader.steady_ms(), *known, 0.0)

    def _resume(self, pause_ms: float) -> None:
        """Doubt what was known before a pause of this process."""
        _LOG.warning(
            "process_was_paused",
            ms=round(pause_ms),
            revision=self.catalogue.view.revision,
        )
        self.group.resume()
        if pause_ms > 5 * _PAUSE_MS:
            self._reader.renew()

    # Events.

    def _on_routing(self, event: catalogues.RoutingAdopted) -> None:
        self.metrics.configuration_adopted(event.table.version)
        self._prober.table = event.table
        self._calls.keep_routes()
        if self._state == peer_groups.STARTING:
            self._state = peer_groups.READY
            self.group.announce()
            started_ms = self.clock.now_ms() - self._started_ms
            _LOG.info(
                "gateway_ready",
                version=event.table.version,
                started_ms=round(started_ms),
            )

    def _on_target_added(self, event: catalogues.TargetAdded) -> None:
        self.balancer.add_target(event.target, self.clock.now_ms())
        self._pool.close_idle(event.target.address)

    def _on_target_removed(self, event: catalogues.TargetRemoved) -> None:
        self.balancer.remove_target(event.target.id)
        self._pool.close_idle(event.target.address)

    # Peers.

    def _own_source(self) -> catalogues.Source:
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

    def _received(
        self, peer: peer_groups.Peer, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Presence):
            if message.revision > self.catalogue.view.revision:
                self._check_behind(self.clock.now_ms())
        elif isinstance(message, messages.LoadReport):
            self._sharing.received(peer, message)
        elif isinstance(message, messages.CrashReport):
            self._forwarder.quarantine.record_crash(
                message.fingerprint,
                message.target_id,
                self.clock.now_ms(),
                age_ms=message.age_ms,
                duration_ms=message.duration_ms,
            )

    def _announce_strike(
        self, fingerprint: str, target_id: str, duration_ms: float
    ) -> None:
        strike = messages.CrashReport(fingerprint, target_id, 0.0, duration_ms)
        self.group.broadcast(strike, self.group.alive())

    def _check_behind(self, now_ms: float) -> None:
        """Take over what a peer has read when this entry could not."""
        revision = self.catalogue.view.revision
        ahead = [
            peer
            for peer in self.group.alive()
            if peer.presence.revision > revision
        ]
        if not ahead:
            self._behind_since_ms = None
            return
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        limit_ms = _BEHIND_MS
        if not self._reader.is_active:
            limit_ms = 0.0
        elif self._reader.is_connected:
            limit_ms = _BEHIND_CONNECTED_MS
        is_fetching = self._fetch_task and not self._fetch_task.done()
        if now_ms - self._behind_since_ms >= limit_ms and not is_fetching:
            self._behind_since_ms = None
            newest = max(peer.presence.revision for peer in ahead)
            near = [p for p in ahead if self.group.is_near(p)] or ahead
            best = [p for p in near if p.presence.revision == newest] or near
            self._fetch_task = asyncio.create_task(
                self._fetch(random.choice(best))
            )

    async def _fetch(self, peer: peer_groups.Peer) -> None:
        """Read what a peer knows to be published."""
        url = f"http://{peer.presence.control_address}{_VIEW_PATH}"
        timeout = aiohttp.ClientTimeout(total=_VIEW_LIMIT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                content = cbor2.loads(await response.read())
            items = [dialects.PublishedItem(*item) for item in content["items"]]
            revision, steady_ms = content["revision"], content["steady_ms"]
        except (
            aiohttp.ClientError,
            OSError,
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

    # Small servers.

    async def _get_readiness(self, http: web.BaseRequest) -> web.Response:
        del http
        is_ready = self._state == peer_groups.READY
        return web.Response(status=200 if is_ready else 503, text=self._state)

    async def _get_addresses(self, http: web.BaseRequest) -> web.Response:
        del http
        addresses = self.addresses()
        if not addresses:
            return web.Response(status=503, text=errors.Reason.STARTING)
        body = self._dialect.encode_addresses(
            addresses, self.settings.address_ttl_s
        )
        return web.Response(body=body, content_type="application/json")

    def addresses(self) -> list[str]:
        """Return the entries that a caller should use."""
        own = self._presence()
        known = [own, *(peer.presence for peer in self.group.alive())]
        ready = [p for p in known if p.state == peer_groups.READY]
        # A caller of another data centre asks here because no entry of its own
        # has answered, and news from there is seconds old.
        near = [p for p in ready if p.data_centre == own.data_centre]
        chosen = [p.callers_address for p in near or ready if p.callers_address]
        random.shuffle(chosen)
        return chosen[:_MAX_ADDRESSES]

    async def _get_published(self, http: web.BaseRequest) -> web.Response:
        del http
        view = self.catalogue.view
        content = {
            "revision": view.revision,
            "steady_ms": self._reader.steady_ms(),
            "items": [
                [item.key, item.revision, item.value] for item in view.items()
            ],
        }
        return web.Response(body=cbor2.dumps(content))

    async def _get_metrics(self, http: web.BaseRequest) -> web.Response:
        del http
        return web.Response(
            body=self.metrics.export(),
            headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
        )
