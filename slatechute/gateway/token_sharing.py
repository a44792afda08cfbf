"""Messages by which entries share the rate limits of targets."""

import asyncio
from collections.abc import Callable

from slatechute import messages
from slatechute import ownership
from slatechute.gateway import announcement_sharing
from slatechute.gateway import balancing
from slatechute.gateway import cold_targets
from slatechute.gateway import loads
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import rate_limits
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["TokenSharing"]

# More tokens would expire before they are used.
_MAX_TOKENS = 64


class TokenSharing:
    """Asks for tokens of limited targets, and allocates those of some.

    Args:
        settings: Settings of the entry.
        clock: Monotonic clock.
        announcements: Adopts the limits that requests for tokens tell.
        is_active: Returns whether this entry is active.
        on_denial: Called when a request for tokens was denied.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        clock: clocks.Clock,
        announcements: announcement_sharing.AnnouncementSharing,
        is_active: Callable[[], bool],
        on_denial: Callable[[], None] = lambda: None,
    ):
        self.group: peer_groups.PeerGroup | None = None
        self.balancer: balancing.Balancer | None = None
        self._settings = settings
        self._clock = clock
        self._announcements = announcements
        self._is_active = is_active
        self._on_denial = on_denial
        self._known_entries = cold_targets.KnownEntries()
        self._allocator_by_load: dict[
            loads.TargetLoad, rate_limits.TokenAllocator
        ] = {}

    def attach(
        self, group: peer_groups.PeerGroup, balancer: balancing.Balancer
    ) -> None:
        """Set the group of the peers and the balancer to update."""
        self.group = group
        self.balancer = balancer

    def _allocator_id(self, load: loads.TargetLoad) -> str | None:
        """Return the entry that allocates the tokens of a target.

        Entries of earlier versions know announced limits only.
        """
        min_protocol = cold_targets.PROTOCOL
        if load.announced.rate_limit_per_s is not None:
            min_protocol = 0
        return ownership.dispatcher_of(
            load.target.id,
            load.target.data_centre,
            self.group.active_entries(self._is_active(), min_protocol),
        )

    # Tokens for this entry.

    def request(self, load: loads.TargetLoad, count: int) -> None:
        """Ask the allocator of a target for tokens."""
        count = min(_MAX_TOKENS, count)
        allocator_id = self._allocator_id(load)
        if allocator_id == self._settings.entry_id:
            self._allocate_to(load, allocator_id, count)
            return
        announced = load.announced
        now_ms = self._clock.now_ms()
        request = messages.TokenRequest(
            load.target.id,
            count,
            announced.rate_limit_per_s,
            now_ms - announced.observed_ms,
            load.cold.report_ms(now_ms) if load.is_cold(now_ms) else None,
        )
        self.group.broadcast(request, self._peers(allocator_id))

    def _peers(self, entry_id: str | None) -> list[peer_groups.Peer]:
        return [
            peer
            for peer in self.group.live_peers()
            if peer.presence.entry_id == entry_id
        ]

    def handle_grant(self, message: messages.TokenGrant) -> None:
        """Add tokens that the allocator has sent, or note that it has none."""
        load = self.balancer.load_by_id.get(message.target_id)
        if load is not None:
            self._add_tokens(load, min(_MAX_TOKENS, message.count))

    def _add_tokens(self, load: loads.TargetLoad, count: int) -> None:
        now_ms = self._clock.now_ms()
        if count > 0:
            load.tokens.add(count, now_ms)
        else:
            load.tokens.deny(now_ms)
            self._on_denial()
        self.balancer.dispatch_waiting(load.target.service, now_ms)

    # Tokens for all entries.

    def handle_request(
        self, peer: peer_groups.Peer, message: messages.TokenRequest
    ) -> None:
        """Allocate tokens to a peer, if this entry is the allocator."""
        load = self.balancer.load_by_id.get(message.target_id)
        if load is None:
            return
        self._announcements.adopt_rate_limit(
            peer, load, message.limit_per_s, message.age_ms
        )
        self._announcements.adopt_cold(peer, load, message.cold_ms)
        if load.rate_limit_per_s(self._clock.now_ms()) is None:
            # The peer has missed the report that the limit has ended.
            self._announcements.report_to(load, [peer])
        elif self._allocator_id(load) == self._settings.entry_id:
            count = min(_MAX_TOKENS, message.count)
            self._allocate_to(load, peer.presence.entry_id, count)

    def _allocate_to(
        self, load: loads.TargetLoad, entry_id: str, count: int
    ) -> None:
        now_ms = self._clock.now_ms()
        limit_per_s = load.rate_limit_per_s(now_ms)
        if limit_per_s is None:
            # The target has become warm since the tokens were asked for.
            self._grant(load, entry_id, count)
            return
        allocator = self._allocator_by_load.get(load)
        if allocator is None:
            allocator = rate_limits.TokenAllocator(now_ms)
            self._allocator_by_load[load] = allocator
        is_cold = load.is_cold(now_ms)
        if is_cold:
            limit_per_s *= self._known_entries.share(
                load.target.id,
                set(self.group.active_entries(self._is_active())),
            )
        granted = allocator.take(count, limit_per_s, now_ms, is_cold=is_cold)
        self._grant(load, entry_id, granted)

    def _grant(self, load: loads.TargetLoad, entry_id: str, count: int) -> None:
        """Send tokens to an entry, or 0 if it has to wait for them."""
        if entry_id == self._settings.entry_id:
            # The caller may be in the middle of a decision about a request.
            asyncio.get_running_loop().call_soon(self._add_tokens, load, count)
        else:
            grant = messages.TokenGrant(load.target.id, count)
            self.group.broadcast(grant, self._peers(entry_id))

    def tick(self) -> None:
        """End the allocators of targets that need none here any more."""
        now_ms = self._clock.now_ms()
        active = set(self.group.active_entries(self._is_active()))
        live = {peer.presence.entry_id for peer in self.group.live_peers()}
        self._known_entries.update(active, live - active, now_ms)
        for load in list(self._allocator_by_load):
            if (
                load.rate_limit_per_s(now_ms) is None
                or not self.balancer.is_listed(load)
                or self._allocator_id(load) != self._settings.entry_id
            ):
                del self._allocator_by_load[load]
