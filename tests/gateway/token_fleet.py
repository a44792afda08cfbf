"""Simulation of entries that share the rate limits of targets.

The entries run the real balancer and token sharing; time, messages between them
and targets are simulated, so that a second takes a few milliseconds.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from slatechute import errors
from slatechute import messages
from slatechute.gateway import announcement_sharing
from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import peers as peer_groups
from slatechute.gateway import routing
from slatechute.gateway import token_sharing
from slatechute.util import clock as clocks
from tests.gateway import builders

# The users' rule: in any window of 4 s, at most one and a half times what the
# limit allows and 5 requests, summed over the entries that have known the limit
# for half a second.
WINDOW_MS = 4_000.0
SETTLE_MS = 500.0
OBJECTIVE_MS = 300.0
_DEADLINE_MS = 1_000.0
_TICK_MS = 20.0


@dataclasses.dataclass
class _Group:
    """Peers of one entry; messages arrive after the latency."""

    fleet: "TokenFleet"
    entry_id: str
    data_centre: str

    def live_peers(self) -> list[peer_groups.Peer]:
        return [
            entry.peer
            for entry in self.fleet.entries_by_id.values()
            if entry.peer.presence.entry_id != self.entry_id
            and self.fleet.is_reachable(self.entry_id, entry)
        ]

    def active_entries(
        self, is_active: bool, min_protocol: int = 0
    ) -> dict[str, str]:
        entries = {
            peer.presence.entry_id: peer.presence.data_centre
            for peer in self.live_peers()
            if peer.presence.protocol >= min_protocol
        }
        return entries | (
            {self.entry_id: self.data_centre} if is_active else {}
        )

    def broadcast(self, message, peers) -> None:
        frame = messages.encode(message)
        for peer in peers:
            self.fleet.send(self.entry_id, peer.presence.entry_id, frame)


class _Entry:
    def __init__(self, fleet: "TokenFleet", number: int, data_centre: str):
        self.id = f"e{number}"
        self.is_up = True
        presence = messages.Presence(
            self.id, "b", data_centre, "h:1", "h:2", 1, "ready", protocol=1
        )
        self.peer = peer_groups.Peer(presence, ("h", 1), 0.0)
        settings = builders.gateway_settings(
            entry_id=self.id, data_centre=data_centre
        )
        self.announcements = announcement_sharing.AnnouncementSharing(
            fleet.clock
        )
        self.sharing = token_sharing.TokenSharing(
            settings, fleet.clock, self.announcements, lambda: True
        )
        self.balancer = balancing.Balancer(
            data_centre,
            generator=fleet.random,
            on_token_request=self.sharing.request,
        )
        group = _Group(fleet, self.id, data_centre)
        self.announcements.attach(group, self.balancer)
        self.sharing.attach(group, self.balancer)
        self.told_ms_by_target: dict[str, float] = {}

    def receive(self, sender: peer_groups.Peer, frame: bytes) -> None:
        message = messages.decode(frame)
        if isinstance(message, messages.TokenRequest):
            self.sharing.handle_request(sender, message)
        elif isinstance(message, messages.TokenGrant):
            self.sharing.handle_grant(message)
        else:
            self.announcements.handle_report(sender, message)


@dataclasses.dataclass
class Arrival:
    """A request at a target."""

    at_ms: float
    entry_id: str
    target_id: str
    is_bound: bool


class TokenFleet:
    """Entries and the targets of one service.

    Attributes:
        limit_per_s_by_target: Limit that each target announces now, if any.
        paused_until_ms_by_target: Until when targets turn requests away with an
            announced pause.
        arrivals: Requests at the targets.
        refused: Requests that were refused.
        late: Requests that were answered after their objective.
        longest_refused_wait_ms: Longest wait of a request that was refused.
        loss_share: Share of the messages between entries that are lost.
        part_by_id: Parts of a divided network, by entry id; by default 0.
    """

    def __init__(
        self,
        entries: int,
        targets: int,
        *,
        data_centres: int = 1,
        work_ms: float = 60.0,
        latency_ms: float = 1.0,
        seed: int = 1,
    ):
        self.clock = clocks.ManualClock(1_000.0)
        self.random = random.Random(seed)
        self.limit_per_s_by_target: dict[str, float] = {}
        self.paused_until_ms_by_target: dict[str, float] = {}
        self.arrivals: list[Arrival] = []
        self.refused = 0
        self.late = 0
        self.longest_refused_wait_ms = 0.0
        self.loss_share = 0.0
        self.part_by_id: dict[str, int] = {}
        self.paused_ms = 0.0
        self._work_ms = work_ms
        self._latency_ms = latency_ms
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.entries_by_id = {}
        for number in range(1, entries + 1):
            entry = _Entry(self, number, f"dc{number % data_centres}")
            self.entries_by_id[entry.id] = entry
        self.target_ids = [f"t{number}" for number in range(targets)]
        for entry in self.entries_by_id.values():
            for number, target_id in enumerate(self.target_ids):
                entry.balancer.add_target(
                    builders.target(
                        target_id,
                        slots=20,
                        data_centre=f"dc{number % data_centres}",
                    ),
                    self.clock.now_ms(),
                )

    def is_reachable(self, sender_id: str, entry: _Entry) -> bool:
        return (
            self.entries_by_id[sender_id].is_up
            and entry.is_up
            and self.part_by_id.get(sender_id) == self.part_by_id.get(entry.id)
        )

    def set_cold_limit(self, cold_s: float, cold_per_s: float) -> None:
        """Configure the limit of cold targets at all entries."""
        service = routing.Service("s", "/health", 10, cold_s, cold_per_s)
        for entry in self.entries_by_id.values():
            entry.balancer.set_services([service])

    def register_cold(self, cold_s: float) -> None:
        """Let all targets register again as cold."""
        for entry in self.entries_by_id.values():
            for load in entry.balancer.load_by_id.values():
                load.cold.expect(cold_s * 1000, self.clock.now_ms())

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def send(self, sender_id: str, receiver_id: str, frame: bytes) -> None:
        if self.random.random() < self.loss_share:
            return
        receiver = self.entries_by_id[receiver_id]
        sender = self.entries_by_id[sender_id].peer

        def deliver():
            if self.is_reachable(sender_id, receiver):
                receiver.receive(sender, frame)

        self.at(self._latency_ms, deliver)

    def run(self, seconds: float, rate_per_s: float) -> None:
        """Let callers send requests to random entries for some seconds."""
        asyncio.run(self._run(seconds, rate_per_s))

    async def _run(self, seconds: float, rate_per_s: float) -> None:
        end_ms = self.clock.now_ms() + seconds * 1000

        def request():
            if self.clock.now_ms() >= end_ms:
                return
            self.at(self.random.expovariate(rate_per_s) * 1000, request)
            live = [e for e in self.entries_by_id.values() if e.is_up]
            self._request(self.random.choice(live))

        def tick():
            if self.clock.now_ms() >= end_ms:
                return
            self.at(_TICK_MS, tick)
            for entry in self.entries_by_id.values():
                if entry.is_up:
                    entry.balancer.tick(self.clock.now_ms())
                    entry.sharing.tick()

        self.at(0.0, request)
        self.at(0.0, tick)
        while self._events[0][0] < end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(due_ms - self.clock.now_ms())
            action()
            # Runs what the entries have scheduled for themselves.
            await asyncio.sleep(0)

    def _request(
        self, entry: _Entry, request: balancing.DispatchRequest | None = None
    ) -> None:
        now_ms = self.clock.now_ms()
        request = request or builders.dispatch_request(
            now_ms,
            objective_ms=now_ms + OBJECTIVE_MS,
            deadline_ms=now_ms + _DEADLINE_MS,
        )
        exchange = entry.balancer.try_start(request, now_ms)
        if exchange is not None:
            self._exchange(entry, exchange, request)
        elif (
            entry.balancer.decide(request, now_ms) is balancing.Decision.REFUSE
        ):
            self.refused += 1
        else:

            def on_result(result):
                waited_ms = self.clock.now_ms() - now_ms
                if isinstance(result, errors.Reason):
                    self.refused += 1
                    self.longest_refused_wait_ms = max(
                        self.longest_refused_wait_ms, waited_ms
                    )
                    return
                self.late += waited_ms + self._work_ms > OBJECTIVE_MS
                self._exchange(entry, result, request)

            entry.balancer.enqueue(balancing.QueuedRequest(request, on_result))

    def _exchange(self, entry: _Entry, exchange, request) -> None:
        now_ms = self.clock.now_ms()
        target_id = exchange.load.target.id
        told_ms = entry.told_ms_by_target.get(target_id, float("inf"))
        self.arrivals.append(
            Arrival(now_ms, entry.id, target_id, now_ms > told_ms + SETTLE_MS)
        )

        pause_ms = self.paused_until_ms_by_target.get(target_id, 0.0) - now_ms
        if pause_ms > 0:
            self.at(
                self._latency_ms,
                lambda: self._turn_away(entry, exchange, request, pause_ms),
            )
            return

        def respond():
            if not entry.is_up:
                return
            end_ms = self.clock.now_ms()
            limit_per_s = self.limit_per_s_by_target.get(target_id)
            if limit_per_s is not None:
                entry.told_ms_by_target.setdefault(target_id, end_ms)
            exchange.load.record_success(exchange, end_ms)
            if exchange.load.announced.observe(
                dialects.Announcement(limit_per_s), end_ms, is_conclusive=True
            ):
                entry.announcements.report(exchange.load)
            entry.balancer.handle_exchange_end(exchange.load, end_ms)

        self.at(self._work_ms, respond)

    def _turn_away(self, entry: _Entry, exchange, request, pause_ms) -> None:
        now_ms = self.clock.now_ms()
        if exchange.load.announced.observe(
            dialects.Announcement(pause_ms=pause_ms),
            now_ms,
            is_conclusive=False,
        ):
            entry.announcements.report(exchange.load)
        exchange.load.record_refusal(exchange, now_ms)
        entry.balancer.handle_exchange_end(exchange.load, now_ms)
        request.excluded |= {exchange.load.target.id}
        self._request(entry, request)

    def most_at_a_paused_target(self) -> int:
        """Return the most requests of an entry at a target it knew to pause.

        It knows of the pause half a second after the first request that was
        turned away.
        """
        first_ms: dict[tuple[str, str], float] = {}
        counts = collections.Counter()
        for item in self.arrivals:
            until_ms = self.paused_until_ms_by_target.get(item.target_id, 0.0)
            key = item.entry_id, item.target_id
            if item.at_ms >= until_ms or item.at_ms < self.paused_ms:
                continue
            first_ms.setdefault(key, item.at_ms)
            counts[key] += item.at_ms > first_ms[key] + SETTLE_MS
        return max(counts.values(), default=0)

    def pause(self, pause_ms: float, target_ids: list[str]) -> None:
        """Let targets turn requests away for some time."""
        self.paused_ms = self.clock.now_ms()
        for target_id in target_ids:
            self.paused_until_ms_by_target[target_id] = (
                self.paused_ms + pause_ms
            )

    def arrivals_at(self, target_id: str, since_ms: float = 0.0) -> int:
        """Return the number of requests at a target since a time."""
        return sum(
            arrival.target_id == target_id and arrival.at_ms >= since_ms
            for arrival in self.arrivals
        )

    def most_in_a_window(self, target_id: str) -> int:
        """Return the most requests in a window from entries with the limit."""
        times_ms = [
            arrival.at_ms
            for arrival in self.arrivals
            if arrival.target_id == target_id and arrival.is_bound
        ]
        return most_in_a_window(times_ms)


def most_in_a_window(
    times_ms: list[float], window_ms: float = WINDOW_MS
) -> int:
    """Return the largest number of times in any window.

    Args:
        times_ms: Ascending times.
        window_ms: Length of the window.
    """
    most = start = 0
    for end, at_ms in enumerate(times_ms):
        while at_ms - times_ms[start] >= window_ms:
            start += 1
        most = max(most, end - start + 1)
    return most


def bound(limit_per_s: float) -> float:
    """Return the users' bound in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5
