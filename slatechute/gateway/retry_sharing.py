"""Messages by which entries share the slack of the retry budget."""

import asyncio
import collections
from collections.abc import Callable, Iterable

from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute import ownership
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import rate_limits
from slatechute.gateway import retry_budgets
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks

__all__ = ["RetrySharing"]

_LOG = logs.get_logger(__name__)

# An entry asks for one retry for each request that has failed. More at once
# would be a fault of the sender.
_MAX_COUNT = 64


class _Demand:
    """Granted retries of one service and the requests that wait for one."""

    def __init__(self):
        self.supply: rate_limits.TokenSupply = retry_budgets.new_supply()
        self.waiting: collections.deque[asyncio.Future[bool]] = (
            collections.deque()
        )


class RetrySharing:
    """Asks for retries beyond the own share, and grants those of some services.

    Args:
        settings: Settings of the entry.
        clock: Monotonic clock.
        counters: Metrics of the entry.
        is_active: Returns whether this entry is active.
        services: Returns the services that have targets.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        clock: clocks.Clock,
        counters: metrics.Metrics,
        is_active: Callable[[], bool],
        services: Callable[[], Iterable[str]],
    ):
        self.group: peer_groups.PeerGroup | None = None
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._is_active = is_active
        self._services = services
        self._allocators = ownership.EntryGroups(1)
        self._known_entries = retry_budgets.HighestCount()
        self._demand_by_service: dict[str, _Demand] = {}
        self._allocator_by_service: dict[str, retry_budgets.RetryAllocator] = {}
        self._logged_ms_by_service: dict[str, float] = {}

    def attach(self, group: peer_groups.PeerGroup) -> None:
        """Set the group of the peers."""
        self.group = group

    def in_use(self) -> int:
        """Return how many retries this entry has granted in the window."""
        now_ms = self._clock.now_ms()
        return sum(
            allocator.in_use(now_ms)
            for allocator in self._allocator_by_service.values()
        )

    def _allocator_id(self, service: str) -> str | None:
        """Return the entry that grants the retries of a service."""
        entries = self.group.active_entries(self._is_active())
        self._allocators.set_members(entries.keys())
        return next(iter(self._allocators.group(service)), None)

    # Retries of this entry.

    async def acquire(self, service: str) -> bool:
        """Return whether a retry is granted, after at most `MAX_WAIT_MS`."""
        if self._settings.retry_slack <= 0:
            self._counters.count_retry_decision(metrics.RetryDecision.DENIED)
            return False
        decision = metrics.RetryDecision.UNANSWERED
        try:
            async with asyncio.timeout(retry_budgets.MAX_WAIT_MS / 1000):
                is_granted = await self.request(service)
            decision = (
                metrics.RetryDecision.GRANTED
                if is_granted
                else metrics.RetryDecision.DENIED
            )
        except TimeoutError:
            # The allocator has failed, is partitioned, or is an earlier build.
            is_granted = False
        self._counters.count_retry_decision(decision)
        return is_granted

    def request(self, service: str) -> asyncio.Future[bool]:
        """Ask for a retry; the result is whether it is granted.

        A caller that does not wait any longer cancels the result.
        """
        now_ms = self._clock.now_ms()
        result = asyncio.get_running_loop().create_future()
        demand = self._demand_by_service.setdefault(service, _Demand())
        supply = demand.supply
        if supply.has_token(now_ms):
            supply.take()
            result.set_result(True)
            return result
        allocator_id = self._allocator_id(service)
        if allocator_id is None or supply.is_denied(now_ms):
            result.set_result(False)
            return result
        while demand.waiting and demand.waiting[0].done():
            demand.waiting.popleft()
        supply.request(supply.pending(now_ms) + 1, now_ms)
        demand.waiting.append(result)
        if allocator_id == self._settings.entry_id:
            self._add(service, self._allocate(service, 1))
        else:
            message = messages.RetryTokenRequest(service, 1)
            self.group.broadcast(message, self._peers(allocator_id))
        return result

    def _peers(self, entry_id: str) -> list[peer_groups.Peer]:
        return [
            peer
            for peer in self.group.live_peers()
            if peer.presence.entry_id == entry_id
        ]

    def handle_grant(self, message: messages.RetryTokenGrant) -> None:
        """Use retries that the allocator grants, or note that it has none."""
        if message.service in self._demand_by_service:
            self._add(message.service, min(_MAX_COUNT, message.count))

    def _add(self, service: str, count: int) -> None:
        now_ms = self._clock.now_ms()
        demand = self._demand_by_service[service]
        if count > 0:
            demand.supply.add(count, now_ms)
        else:
            demand.supply.deny(now_ms)
        while demand.waiting:
            is_granted = demand.supply.has_token(now_ms)
            if count > 0 and not is_granted:
                return
            result = demand.waiting.popleft()
            if result.done():
                continue
            result.set_result(is_granted)
            demand.supply.take()

    # Retries of all entries.

    def handle_request(
        self, peer: peer_groups.Peer, message: messages.RetryTokenRequest
    ) -> None:
        """Grant retries to a peer; 0 if this entry is not the allocator."""
        count = 0
        if self._allocator_id(message.service) == self._settings.entry_id:
            count = self._allocate(
                message.service, min(_MAX_COUNT, message.count)
            )
        grant = messages.RetryTokenGrant(message.service, count)
        self.group.broadcast(grant, [peer])

    def _allocator(
        self, service: str, now_ms: float
    ) -> retry_budgets.RetryAllocator:
        allocator = self._allocator_by_service.get(service)
        if allocator is None:
            allocator = retry_budgets.RetryAllocator(self._settings, now_ms)
            self._allocator_by_service[service] = allocator
        return allocator

    def _allocate(self, service: str, count: int) -> int:
        now_ms = self._clock.now_ms()
        allocator = self._allocator(service, now_ms)
        live = len(self.group.active_entries(self._is_active()))
        known = self._known_entries.update(live, now_ms)
        allocator.limit = retry_budgets.allocator_limit(
            self._settings, live, known
        )
        granted = allocator.take(count, now_ms)
        if not granted:
            self._log_denial(service, allocator, live, now_ms)
        return granted

    def _log_denial(
        self,
        service: str,
        allocator: retry_budgets.RetryAllocator,
        live: int,
        now_ms: float,
    ) -> None:
        """Log a denial, at most once in a window for each service."""
        window_ms = self._settings.retry_window_s * 1000
        logged_ms = self._logged_ms_by_service.get(service, -window_ms)
        if now_ms - logged_ms < window_ms:
            return
        self._logged_ms_by_service[service] = now_ms
        _LOG.warning(
            "retry_slack_used_up",
            service=service,
            in_use=allocator.in_use(now_ms),
            limit=allocator.limit,
            active_entries=live,
        )

    def tick(self) -> None:
        """Start and end allocators, as their limits grow from their start."""
        if self._settings.retry_slack <= 0:
            return
        now_ms = self._clock.now_ms()
        live = len(self.group.active_entries(self._is_active()))
        self._known_entries.update(live, now_ms)
        services = set(self._services())
        for service in services | self._allocator_by_service.keys():
            is_own = (
                service in services
                and self._allocator_id(service) == self._settings.entry_id
            )
            if is_own:
                self._allocator(service, now_ms)
            else:
                self._allocator_by_service.pop(service, None)
        self._allocators.retain(services)
