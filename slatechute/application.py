"""Application of one entry: builds its components and connects their events."""

import asyncio
import random

import aiohttp

from slatechute import admin
from slatechute import callers
from slatechute import errors
from slatechute import events
from slatechute import exchange
from slatechute import execution
from slatechute import identifiers
from slatechute import leases
from slatechute import logs
from slatechute import membership
from slatechute import messages
from slatechute import metrics
from slatechute import relay
from slatechute import reports
from slatechute import requests
from slatechute import settings as entry_settings
from slatechute.configuration import catch_up
from slatechute.configuration import instances
from slatechute.configuration import models
from slatechute.configuration import spread
from slatechute.configuration import store
from slatechute.peers import links
from slatechute.peers import peer as peers
from slatechute.platforms import base as platforms
from slatechute.platforms import http as http_platform
from slatechute.policies import base as policies
from slatechute.policies import baselines
from slatechute.policies import load_poller
from slatechute.policies import owner
from slatechute.util import clock as clocks

__all__ = ["Application"]

_LOG = logs.get_logger(__name__)

_TICK_INTERVAL_MS = 10.0
# A tick that is this late means that the process was paused. Other entries may
# have taken over its targets, freed its slots and closed its links during the
# pause.
_PAUSE_THRESHOLD_MS = 250.0
# A new entry waits at most this long for its peers before it dispatches.
# Without links to peers it would assign all targets to itself.
_STARTUP_TIMEOUT_MS = 500.0
_MAX_ADDRESSES = 8
# Load hints only order the dispatchers for slot requests and limit hedges. Sent
# in each heartbeat, they would need more bandwidth than all other control
# traffic: 41 KB/s with 24 entries.
_LOAD_HINT_INTERVAL_MS = 500.0
# Covers the drift between the clocks of two hosts over the life of a link.
_CLOCK_DRIFT_MARGIN_MS = 100.0
# After a pause, new requests wait at most this long for the documents of the
# peers, whose links may have to be opened again first.
_CATCH_UP_TIMEOUT_MS = 500.0
# A peer without a link for this long is no longer a neighbour in the
# distribution of documents.
_UNREACHABLE_AFTER_MS = 1000.0
_NEIGHBOUR_UPDATE_INTERVAL_MS = 500.0


class Application:
    """One entry.

    Attributes:
        boot_id: Id of this process start.
        clock: Monotonic clock that all components share.
        bus: Event bus that connects the components.
        metrics: Metrics of this entry.
        policy: Policy that chooses slots.
        membership: Known entries and targets.
        ready: Set once this entry dispatches.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        platform: platforms.Platform | None = None,
    ):
        self.settings = settings
        self.boot_id = identifiers.new_boot_id(settings.entry_id)
        self.clock = clocks.MonotonicClock()
        self.bus = events.EventBus()
        self.metrics = metrics.Metrics()
        self.membership = membership.Membership(
            instances.Entry(
                settings.entry_id,
                settings.address,
                settings.peer_address,
                settings.admin_address,
                settings.data_centre,
                "live",
            ),
            settings.group_size,
        )
        self._configuration = models.Configuration()
        self._revision = 0
        self._digest = ""
        self._loads: list[messages.ServiceLoad] = []
        self._loads_due_ms = 0.0
        self._adopted_ms_by_name: dict[str, float] = {}
        self._state = "starting"
        self.ready = asyncio.Event()
        self._has_instances = False
        self._tick_before_pause_ms = -1.0
        self._paused_peers: frozenset[str] = frozenset()
        self._plan_due = False
        self._catch_up = catch_up.CatchUp()
        self._caught_up = asyncio.Event()
        self._neighbours: frozenset[str] = frozenset()
        self._peer_address_by_id: dict[str, str] = {}
        self._unlinked_since_ms: dict[str, float] = {}
        self._neighbour_update_due_ms = 0.0
        self._cold_ids: frozenset[str] = frozenset()
        self._last_tick_ms = self.clock.now_ms()
        self._random = random.Random()
        self._tasks: list[asyncio.Task] = []
        self._session: aiohttp.ClientSession | None = None
        self._platform = platform
        self._plans: dict[
            str, tuple[membership.ServicePlan, models.Service]
        ] = {}
        self._create_components()
        self._subscribe()

    def _create_components(self) -> None:
        settings = self.settings
        self._links = links.PeerLinks(
            settings,
            self.boot_id,
            self.clock,
            self.bus,
            self._on_message,
            self._heartbeat,
            metrics=self.metrics,
        )
        self.policy = self._make_policy()
        self._client = exchange.TargetClient(self._connection_share)
        self._executor = execution.Executor(
            self.policy,
            self._client,
            self.clock,
            self.bus,
            self._broadcast,
            self.metrics,
        )
        self._callers = callers.CallerServer(
            settings,
            self._executor,
            self,
            requests.RequestTable(self.boot_id, settings.request_table_size),
            self.clock,
            self.metrics,
        )
        self._store = store.DocumentStore(self.bus)
        self._relay = relay.AddressRelay(self.clock)
        self.metrics.bind_gauges(
            in_flight=lambda: self._callers.inflight,
            waiting=self._count_waiting,
            links=lambda: len(self.membership.reachable()),
        )
        self._admin = admin.AdminServer(
            settings, self.metrics, self.readiness, self.status
        )

    def _connection_share(self, service: str) -> int:
        """Return the connections to a target that this entry may open.

        The limit of the service is divided among the entries of its group.
        """
        known = self._plans.get(service)
        rules = self._configuration.services.get(service)
        if known is None or rules is None:
            return 1
        return rules.connections // max(1, len(known[0].group))

    def _all_targets(self) -> list[instances.Target]:
        return [
            target
            for service in self._configuration.services
            for target in self.membership.targets_of(service)
        ]

    def _make_policy(self) -> policies.Policy:
        if self.settings.policy == "owner":
            return owner.DispatcherPolicy(
                self.settings, self.clock, self._links.send, self._broadcast
            )
        baseline = {
            "random_choice": baselines.RandomChoice,
            "least_in_flight": baselines.LeastInFlight,
            "two_choices": baselines.TwoChoices,
        }[self.settings.policy]
        return baseline(self.clock, self.membership.targets_of)

    def _count_waiting(self) -> int:
        if isinstance(self.policy, owner.DispatcherPolicy):
            _, waiting = self.policy.dispatcher.count_held_and_waiting()
            return waiting
        return 0

    def _subscribe(self) -> None:
        bus = self.bus
        bus.stream(events.ConfigurationAdopted).subscribe(
            self._on_configuration
        )
        bus.stream(events.InstancesAdopted).subscribe(self._on_instances)
        bus.stream(events.PeerReady).subscribe(self._on_peer_ready)
        bus.stream(events.PeerLost).subscribe(self._on_peer_lost)
        bus.stream(events.LinkReplaced).subscribe(self._on_link_replaced)
        bus.stream(events.TargetLeaving).subscribe(self._on_target_leaving)

    # Lifecycle.

    async def start(self) -> None:
        """Start all servers and links.

        Raises:
            OSError: A listen address cannot be used.
        """
        self._session = aiohttp.ClientSession()
        if self._platform is None:
            self._platform = http_platform.HttpPlatform(
                self.settings.platform_url, self._session
            )
        self._spread = spread.Spread(
            self.settings,
            self._platform,
            self._store,
            self._links.send,
            self.clock,
            counters=self.metrics,
        )
        await self._admin.start()
        await self._callers.start()
        await self._links.start()
        await self._spread.start()
        self._tasks.append(asyncio.create_task(self._tick()))
        if isinstance(self.policy, baselines.TwoChoices):
            poller = load_poller.LoadPoller(
                self.policy, self._session, self.metrics, self._all_targets
            )
            self._tasks.append(asyncio.create_task(poller.run()))
        _LOG.info("entry_started", boot_id=self.boot_id)

    async def drain(self, elapsed_s: float = 0.0) -> bool:
        """Leave the fleet and wait for the requests in flight.

        Args:
            elapsed_s: Time since the stop signal.

        Returns:
            False if requests were still in flight at the drain limit.
        """
        self._state = "draining"
        self.membership.mark_own_entry_leaving()
        self.bus.emit(events.Draining())
        self._schedule_plan()
        _LOG.info("entry_draining")
        start_ms = self.clock.now_ms()
        limit_ms = self.settings.drain_limit_ms - elapsed_s * 1000
        keep_ms = self._configuration.fleet.keep_ms
        while self.clock.now_ms() - start_ms < limit_ms:
            may_be_cached = self.clock.now_ms() - start_ms < keep_ms
            if not may_be_cached and not self._callers.inflight:
                return True
            await asyncio.sleep(_TICK_INTERVAL_MS / 1000)
        return not self._callers.inflight

    async def stop(self) -> None:
        """Close all servers and links without waiting for requests."""
        for task in self._tasks:
            task.cancel()
        await self._callers.stop()
        await self._spread.stop()
        await self._links.stop()
        await self._admin.stop()
        await self._client.stop()
        if self._session is not None:
            await self._session.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_MS / 1000)
            now_ms = self.clock.now_ms()
            self._check_pause(now_ms)
            self._last_tick_ms = now_ms
            if isinstance(self.policy, owner.DispatcherPolicy):
                self.policy.dispatcher.tick(now_ms)
            if self._state == "starting":
                self._check_startup(now_ms)
            elif self._catch_up.poll(
                self._paused_peers,
                is_fetching=self._spread.is_fetching,
                now_ms=now_ms,
            ):
                self._caught_up.set()
                _LOG.info("entry_resumed", revision=self._revision)
            if now_ms >= self._neighbour_update_due_ms:
                self._update_neighbours()

    def _check_pause(self, now_ms: float) -> None:
        """Treat leases and documents as possibly stale after a pause.

        Messages that arrived during the pause are read before the first tick,
        so the message handlers call this method as well.
        """
        last_ms = self._last_tick_ms
        if (
            now_ms - last_ms <= _PAUSE_THRESHOLD_MS
            or last_ms == self._tick_before_pause_ms
        ):
            return
        self._tick_before_pause_ms = last_ms
        _LOG.warning("entry_was_paused", ms=now_ms - last_ms)
        reachable = self.membership.reachable()
        # The digests are requested before the take-over messages are sent, so
        # that peers announce newer documents before they send the in-flight
        # reports that dispatch waits for.
        self._spread.request_digests(reachable)
        if isinstance(self.policy, owner.DispatcherPolicy):
            self.policy.dispatcher.resume(reachable, now_ms)
        if self._state != "starting":
            self._caught_up.clear()
            self._paused_peers = reachable
            self._catch_up.clear_announcements()
            self._catch_up.begin(now_ms, _CATCH_UP_TIMEOUT_MS)

    def _check_startup(self, now_ms: float) -> None:
        """Begin to dispatch once the peers have announced their documents."""
        if not self._configuration.services:
            return
        if self._catch_up.poll(
            self._peer_address_by_id,
            is_fetching=self._spread.is_fetching,
            now_ms=now_ms,
        ):
            self._state = "ready"
            self._caught_up.set()
            _LOG.info("entry_ready", revision=self._revision)
            self.ready.set()
            self._schedule_plan()

    # callers.Directory

    def is_caught_up(self) -> bool:
        """Return whether the active rules may be applied to new requests."""
        # Requests that arrived during a pause are read before the next tick.
        self._check_pause(self.clock.now_ms())
        return self._state == "starting" or self._caught_up.is_set()

    async def wait_until_caught_up(self) -> None:
        """Wait until the peers have announced their documents or timed out."""
        await self._caught_up.wait()

    # Documents and membership.

    def _on_configuration(self, event: events.ConfigurationAdopted) -> None:
        removed_services = set(self._configuration.services) - set(
            event.configuration.services
        )
        self._configuration = event.configuration
        self._revision = event.revision
        self._digest = event.digest
        now_ms = self.clock.now_ms()
        self._adopted_ms_by_name[platforms.CONFIGURATION] = now_ms
        self.metrics.set_configuration_revision(event.revision)
        self._executor.set_rules(event.configuration.fleet)
        for service in removed_services:
            self._plans.pop(service, None)
            if isinstance(self.policy, owner.DispatcherPolicy):
                self.policy.dispatcher.remove_service(service)
        _LOG.info("configuration_in_force", revision=event.revision)
        self._set_peers()
        self._schedule_plan()

    def _on_instances(self, event: events.InstancesAdopted) -> None:
        now_ms = self.clock.now_ms()
        self._adopted_ms_by_name[platforms.INSTANCES] = now_ms
        published = self._store.instances
        new_target_ids = self.membership.apply_published_list(
            published.entries_by_id.values(), published.targets_by_id.values()
        )
        self._cold_ids |= new_target_ids
        for target in published.targets_by_id.values():
            if target.state == membership.LEAVING:
                self.bus.emit(events.TargetLeaving(target.id, "list"))
        self._update_neighbours()
        self._set_peers()
        if not self._has_instances:
            self._has_instances = True
            self._catch_up.begin(self.clock.now_ms(), _STARTUP_TIMEOUT_MS)
        self._schedule_plan()

    def _set_peers(self) -> None:
        self._peer_address_by_id = self.membership.peer_addresses(
            self._configuration.services, self._neighbours
        )
        self._links.set_peers(self._peer_address_by_id)

    def _update_neighbours(self) -> None:
        """Choose the neighbours for documents among the reachable entries.

        Entries to which no link is wanted count as reachable. A neighbour that
        became unreachable stays in the set of wanted links: without a wanted
        link it would count as reachable again.
        """
        now_ms = self.clock.now_ms()
        self._neighbour_update_due_ms = now_ms + _NEIGHBOUR_UPDATE_INTERVAL_MS
        unlinked = {
            peer.entry_id
            for peer in self._links.peers().values()
            if peer.listed and not peer.reachable
        }
        self._unlinked_since_ms = {
            key: self._unlinked_since_ms.get(key, now_ms) for key in unlinked
        }
        unreachable = {
            key
            for key, since_ms in self._unlinked_since_ms.items()
            if now_ms - since_ms >= _UNREACHABLE_AFTER_MS
        }
        self._spread.on_peers_changed(
            entry
            for entry in self.membership.entries().values()
            if entry.id not in unreachable
        )
        neighbours = frozenset(self._spread.neighbours)
        neighbours |= self._neighbours & unreachable
        if neighbours != self._neighbours:
            self._neighbours = neighbours
            self._set_peers()

    def _on_peer_ready(self, event: events.PeerReady) -> None:
        if isinstance(self.policy, owner.DispatcherPolicy):
            self.policy.dispatcher.on_peer_ready(event.entry_id)
        _LOG.info("peer_ready", peer=event.entry_id)
        self._on_links_changed()
        self._spread.on_peer_linked(event.entry_id)
        self._send_missed_reports(event.entry_id)

    def _on_peer_lost(self, event: events.PeerLost) -> None:
        now_ms = self.clock.now_ms()
        # Peers close their links to a paused entry. The pause is checked before
        # the peer is removed, so that its documents are still waited for.
        self._check_pause(now_ms)
        if isinstance(self.policy, owner.DispatcherPolicy):
            self.policy.dispatcher.on_peer_lost(event.entry_id, now_ms)
        _LOG.warning("peer_lost", peer=event.entry_id)
        self._spread.on_peer_lost(event.entry_id)
        self._catch_up.discard_announcement(event.entry_id)
        self._on_links_changed()

    def _on_link_replaced(self, event: events.LinkReplaced) -> None:
        if isinstance(self.policy, owner.DispatcherPolicy):
            now_ms = self.clock.now_ms()
            self.policy.dispatcher.on_link_replaced(event.entry_id, now_ms)
        self._send_missed_reports(event.entry_id)

    def _send_missed_reports(self, peer_id: str) -> None:
        """Send the reports that a peer missed while there was no link to it."""
        for target_id in self.membership.leaving_targets():
            report = messages.TargetReport(target_id, "leaving")
            self._links.send(peer_id, report)
        now_ms = self.clock.now_ms()
        for crash in self._executor.quarantine.crashes(now_ms):
            self._links.send(peer_id, messages.CrashReport(*crash))

    def _on_links_changed(self) -> None:
        linked_entries = [
            _entry_of(peer)
            for peer in self._links.peers().values()
            if peer.reachable
        ]
        self.membership.set_linked_entries(linked_entries)
        self._update_neighbours()
        self._schedule_plan()

    def _on_target_leaving(self, event: events.TargetLeaving) -> None:
        if not self.membership.mark_leaving(event.target_id):
            return
        _LOG.info("target_leaving", peer=event.target_id, source=event.source)
        if isinstance(self.policy, owner.DispatcherPolicy):
            self.policy.dispatcher.on_target_leaving(event.target_id)
        if event.source in ("answer", "list"):
            report = messages.TargetReport(event.target_id, "leaving")
            self._broadcast(report)
        self._schedule_plan()

    def _schedule_plan(self) -> None:
        """Compute the plans once for all changes of this loop iteration."""
        if not self._plan_due:
            self._plan_due = True
            asyncio.get_running_loop().call_soon(self._update_plans)

    def _update_plans(self) -> None:
        self._plan_due = False
        if self._state == "starting":
            return
        now_ms = self.clock.now_ms()
        services = self._configuration.services
        self.membership.discard_other_services(services)
        for name, service in services.items():
            plan = self.membership.plan(name)
            known = self._plans.get(name)
            if known is not None and known == (plan, service):
                continue
            self._plans[name] = (plan, service)
            if isinstance(self.policy, owner.DispatcherPolicy):
                self.policy.dispatcher.set_service(
                    name,
                    dispatcher_by_target=plan.dispatcher_by_target,
                    targets_by_id=plan.targets_by_id,
                    slots=service.slots,
                    queue_length=service.queue_length,
                    share=plan.share,
                    cold_ids=self._cold_ids,
                    reachable=self.membership.reachable(),
                    now_ms=now_ms,
                )
        self._cold_ids = frozenset()

    # Peers.

    def _broadcast(self, message: messages.Message) -> None:
        for peer_id in self.membership.reachable():
            self._links.send(peer_id, message)

    def _heartbeat(self) -> messages.Heartbeat:
        now_ms = self.clock.now_ms()
        if now_ms >= self._loads_due_ms:
            self._loads_due_ms = now_ms + _LOAD_HINT_INTERVAL_MS
            if isinstance(self.policy, owner.DispatcherPolicy):
                self._loads = self.policy.dispatcher.loads(now_ms)
        return messages.Heartbeat(
            self._state == "draining",
            self._loads,
            self._revision,
            self._digest,
        )

    def _on_message(self, peer_id: str, message: messages.Message) -> None:
        now_ms = self.clock.now_ms()
        self._check_pause(now_ms)
        if isinstance(
            message,
            (
                messages.DocumentDigest,
                messages.DocumentRequest,
                messages.DocumentParts,
            ),
        ):
            self._spread.on_message(peer_id, message)
            if (
                isinstance(message, messages.DocumentDigest)
                and message.name == platforms.CONFIGURATION
                and not (message.digest and self._should_fetch_parts(message))
            ):
                self._catch_up.record_announcement(peer_id)
        elif isinstance(message, messages.Heartbeat):
            self._on_heartbeat(peer_id, message)
        elif isinstance(message, messages.TargetReport):
            self._on_target_report(peer_id, message, now_ms)
        elif isinstance(message, messages.CrashReport):
            self._executor.quarantine.record_crash(
                message.fingerprint,
                message.target_id,
                now_ms,
                age_ms=message.age_ms,
                duration_ms=message.duration_ms,
            )
        elif isinstance(self.policy, owner.DispatcherPolicy):
            self._on_slot_message(peer_id, message, now_ms)

    def _should_fetch_parts(self, message: messages.DocumentDigest) -> bool:
        """Return whether an announced document has yet to be fetched."""
        return self._store.should_fetch(message.name, message.revision)

    def _on_heartbeat(self, peer_id: str, message: messages.Heartbeat) -> None:
        if not message.revision:
            # A peer without a configuration sends no digest, so its heartbeat
            # counts as its announcement.
            self._catch_up.record_announcement(peer_id)
        self._spread.on_heartbeat(peer_id, message.revision)
        if isinstance(self.policy, owner.DispatcherPolicy):
            self.policy.dispatcher.on_load(peer_id, message.loads)
        known = self.membership.entries().get(peer_id)
        if (
            known is not None
            and (known.state == membership.LEAVING) != message.leaving
        ):
            self._on_links_changed()

    def _on_target_report(
        self, peer_id: str, message: messages.TargetReport, now_ms: float
    ) -> None:
        if message.state == "leaving":
            self.bus.emit(events.TargetLeaving(message.target_id, peer_id))
        elif isinstance(self.policy, owner.DispatcherPolicy):
            self.policy.dispatcher.on_target_ejected(
                message.target_id, message.duration_ms, now_ms
            )

    def _on_slot_message(
        self, peer_id: str, message: messages.Message, now_ms: float
    ) -> None:
        dispatcher = self.policy.dispatcher
        match message:
            case messages.SlotRequest():
                dispatcher.on_request(peer_id, message, now_ms)
            case messages.SlotGrant():
                # A grant that is read before the first tick after a pause may
                # have expired.
                if self._last_tick_ms == self._tick_before_pause_ms:
                    self._return_stale_grant(peer_id, message)
                else:
                    dispatcher.on_grant(peer_id, message, now_ms)
            case messages.SlotRelease():
                dispatcher.on_release(message, now_ms)
            case messages.SlotCancel():
                dispatcher.on_cancel(peer_id, message)
            case messages.SlotRefusal():
                dispatcher.on_refusal(peer_id, message, now_ms)
            case messages.TakeOver():
                dispatcher.on_take_over(peer_id, message)
            case messages.InflightReport():
                dispatcher.on_in_flight_report(peer_id, message, now_ms)

    def _return_stale_grant(
        self, peer_id: str, message: messages.SlotGrant
    ) -> None:
        """Return a slot that was granted while this process was paused."""
        self.metrics.count_retry(errors.Reason.LEASE_STALE)
        unused = messages.SlotRelease(
            message.lease_id, message.target_id, leases.Result.UNUSED.value
        )
        self._links.send(peer_id, unused)

    def configuration(self) -> models.Configuration:
        """Return the active configuration."""
        return self._configuration

    async def addresses_for(
        self, service: str, *, may_relay: bool
    ) -> list[dict[str, str]]:
        """Return addresses with id prefixes in weighted random order.

        The weight of an entry is the number of targets that it dispatches.
        Entries that start or leave are left out unless there is no other. If
        this entry is not in the group of the service, the addresses come from
        an entry of the group.

        Args:
            service: A configured service.
            may_relay: Whether the request may be relayed to another entry.
        """
        known = self._plans.get(service)
        plan = known[0] if known else None
        if may_relay and plan and self.settings.entry_id not in plan.group:
            addresses = await self._relay.fetch(
                self._session, service, self._group_addresses(plan)
            )
            if addresses:
                return addresses
        dispatching = plan.dispatcher_by_target.values() if plan else ()
        target_count_by_entry: dict[str, int] = {}
        for entry_id in dispatching:
            target_count_by_entry[entry_id] = (
                target_count_by_entry.get(entry_id, 0) + 1
            )
        ranked = sorted(
            target_count_by_entry,
            key=lambda entry_id: (
                -(
                    self._random.random()
                    ** (1 / target_count_by_entry[entry_id])
                )
            ),
        )
        addresses = [
            self._address_with_prefix(key) for key in ranked[:_MAX_ADDRESSES]
        ]
        addresses = [item for item in addresses if item is not None]
        return addresses or [self._address_with_prefix(self.settings.entry_id)]

    def _group_addresses(self, plan: membership.ServicePlan) -> list[str]:
        """Return the callers' addresses of a group, local data centre first."""
        known = self.membership.entries()
        members = [known[key] for key in plan.group if key in known]
        members = [item for item in members if item.state != membership.LEAVING]
        self._random.shuffle(members)
        local_data_centre = self.settings.data_centre
        members.sort(key=lambda item: item.data_centre != local_data_centre)
        return [item.address for item in members]

    def _address_with_prefix(self, entry_id: str) -> dict[str, str] | None:
        if entry_id == self.settings.entry_id:
            prefix = identifiers.issue_prefix(self.boot_id, self.clock.now_ms())
            return {"address": self.settings.address, "id_prefix": prefix}
        peer = self._links.peers().get(entry_id)
        if peer is None or not peer.reachable:
            return None
        # The peer would reject a prefix with a future issue time. An earlier
        # issue time only makes the prefix expire slightly early.
        issued_ms = (
            self.clock.now_ms() + peer.clock_offset_ms - _CLOCK_DRIFT_MARGIN_MS
        )
        prefix = identifiers.issue_prefix(peer.boot_id, max(0.0, issued_ms))
        return {"address": peer.address, "id_prefix": prefix}

    # Operators.

    def readiness(self) -> str:
        """Return `starting`, `ready` or `draining`."""
        return self._state

    def status(self) -> dict:
        """Return the content of the `/status` page."""
        return {
            "entry_id": self.settings.entry_id,
            "boot_id": self.boot_id,
            "data_centre": self.settings.data_centre,
            "state": self._state,
            "configuration": self._document_status(platforms.CONFIGURATION),
            "instances": self._document_status(platforms.INSTANCES),
            "spread": reports.spread_report(self._spread.status()),
            "peers": reports.peer_reports(self._links.peers().values()),
            "slots": self._slot_status(),
        }

    def _document_status(self, name: str) -> dict:
        adopted_ms = self._adopted_ms_by_name.get(name)
        age_s = None
        if adopted_ms is not None:
            age_s = round((self.clock.now_ms() - adopted_ms) / 1000, 3)
        return reports.document_report(self._store.status()[name], age_s)

    def _slot_status(self) -> dict[str, int]:
        if not isinstance(self.policy, owner.DispatcherPolicy):
            return {}
        return reports.slot_report(self.policy.dispatcher)


def _entry_of(peer: peers.Peer) -> instances.Entry:
    leaving = peer.heartbeat is not None and peer.heartbeat.leaving
    return instances.Entry(
        peer.entry_id,
        peer.address,
        peer.peer_address,
        peer.admin_address,
        peer.data_centre,
        membership.LEAVING if leaving else "live",
    )
