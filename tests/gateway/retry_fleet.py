"""Simulation of entries that share the retry budget of one service."""

import bisect
import dataclasses
import zlib

from slatechute import messages
from slatechute import metrics
from slatechute.gateway import retry_budgets
from slatechute.gateway import retry_sharing
from tests.gateway import builders
from tests.gateway import token_fleet

WINDOW_S = 4.0
_MAX_DETECTION_MS = 1_000.0
_MAX_TARGET_WAIT_MS = 1_400.0
_MAX_REPEATS = 2


class RetryFleet(token_fleet.TokenFleet):
    """Entries whose requests fail at random.

    Attributes:
        failure_share: Share of the exchanges that fail.
        requests_ms: Times of the requests.
        repeats_ms: Times at which repeats reach a target, not sorted.
    """

    def __init__(self, entries: int, *, slack: float, seed: int = 1):
        super().__init__(entries, 0, seed=seed)
        self.failure_share = 0.0
        self.requests_ms: list[float] = []
        self.repeats_ms: list[float] = []
        self._changed_ms: dict[str, float] = {}  # By entry id, or "cut".
        self._cut_off_ids: set[str] = set()
        self.settings = builders.gateway_settings(
            retry_slack=slack, retry_window_s=WINDOW_S
        )
        for entry in self.entries_by_id.values():
            self.start(entry)

    def start(self, entry) -> None:
        """Start the process of an entry, which has lost its state."""
        entry.is_up = True
        entry.budget = retry_budgets.own_budget(self.settings)
        entry.sharing = retry_sharing.RetrySharing(
            dataclasses.replace(self.settings, entry_id=entry.id),
            self.clock,
            metrics.Metrics(),
            lambda: True,
            lambda: ["s"],
        )
        entry.sharing.attach(token_fleet._Group(self, entry.id, "dc1"))

    def kill_allocator(self, restart_ms: float) -> None:
        """Kill the allocator in the view of the first live entry."""
        live = [e for e in self.entries_by_id.values() if e.is_up]
        entry = self.entries_by_id[live[0].sharing._allocator_id("s")]
        entry.is_up = False
        self._changed_ms[entry.id] = self.clock.now_ms()
        self.at(restart_ms, lambda: self.start(entry))

    def cut(self, side_ids: set[str]) -> None:
        """Separate some entries from the others; an empty set ends it."""
        self._cut_off_ids = side_ids
        self._changed_ms["cut"] = self.clock.now_ms()

    def _is_cut(self, first_id: str, second_id: str) -> bool:
        ids = self._cut_off_ids
        return (first_id in ids) != (second_id in ids)

    def is_reachable(self, sender_id, entry) -> bool:
        """Return whether an entry believes that another one is alive."""
        is_lost = not entry.is_up or self._is_cut(sender_id, entry.id)
        changed_ms = max(
            self._changed_ms.get("cut", 0.0), self._changed_ms.get(entry.id, 0)
        )
        pair = zlib.crc32(f"{sender_id} {entry.id}".encode())
        delay_ms = pair % 100 / 100 * _MAX_DETECTION_MS
        return not is_lost or self.clock.now_ms() < changed_ms + delay_ms

    def send(self, sender_id, receiver_id, frame) -> None:
        if self._is_cut(sender_id, receiver_id):
            return
        if self.random.random() < self.loss_share:
            return
        receiver = self.entries_by_id[receiver_id]
        sender = self.entries_by_id[sender_id].peer

        def deliver():
            message = messages.decode(frame)
            if not receiver.is_up:
                return
            if isinstance(message, messages.RetryTokenRequest):
                receiver.sharing.handle_request(sender, message)
            else:
                receiver.sharing.handle_grant(message)

        self.at(self._latency_ms, deliver)

    def _request(self, entry, request=None) -> None:
        self.requests_ms.append(self.clock.now_ms())
        entry.budget.record_request()
        self._try(entry, _MAX_REPEATS)

    def _try(self, entry, repeats: int) -> None:
        if not repeats or self.random.random() >= self.failure_share:
            return

        def repeat(result=None):
            if result and (result.cancelled() or not result.result()):
                return
            wait_ms = self.random.uniform(0.0, _MAX_TARGET_WAIT_MS)
            self.at(wait_ms, arrive)

        def arrive():
            if entry.is_up:
                self.repeats_ms.append(self.clock.now_ms())
                self._try(entry, repeats - 1)

        if entry.budget.try_consume():
            repeat()
        else:
            result = entry.sharing.request("s")
            result.add_done_callback(repeat)
            self.at(retry_budgets.MAX_WAIT_MS, result.cancel)

    def largest_excess(self) -> float:
        """Return the most repeats beyond the ratio in any sliding window."""
        repeats = sorted(self.repeats_ms)
        most = 0.0
        for at_ms in repeats:
            for start_ms in (at_ms, at_ms - WINDOW_S * 1000):
                counts = [
                    bisect.bisect_right(times, start_ms + WINDOW_S * 1000)
                    - bisect.bisect_left(times, start_ms)
                    for times in (repeats, self.requests_ms)
                ]
                most = max(
                    most, counts[0] - self.settings.retry_ratio * counts[1]
                )
        return most
