"""Policy in which each target has one dispatching entry."""

import asyncio
from collections.abc import Callable
import itertools

from slatechute import dispatcher as dispatchers
from slatechute import errors
from slatechute import leases
from slatechute import messages
from slatechute import settings as entry_settings
from slatechute import slot_requests
from slatechute.util import clock as clocks

__all__ = ["DispatcherPolicy"]

_MIN_RETRY_AFTER_MS = 100


class DispatcherPolicy:
    """Driver of a `Dispatcher`.

    It passes granted leases to waiting requests by futures, and messages to
    peers by their links.

    Attributes:
        dispatcher: Dispatcher core, which also receives peer messages and
            membership changes.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        clock: clocks.Clock,
        send: Callable[[str, messages.Message], bool],
        broadcast: Callable[[messages.Message], None],
    ):
        self.dispatcher = dispatchers.Dispatcher(
            settings.entry_id, settings.fan_out, self
        )
        self._clock = clock
        self._send = send
        self._broadcast = broadcast
        self._numbers = itertools.count(1)
        self._future_by_number: dict[int, asyncio.Future[leases.Lease]] = {}

    async def acquire(
        self,
        service: str,
        deadline_ms: float,
        *,
        bulk: bool = False,
        excluded: frozenset[str] = frozenset(),
        spare_only: bool = False,
    ) -> leases.Lease:
        """Return a lease on a slot, waiting for one when none is free.

        Raises:
            errors.RequestError: No slot will be free in time.
        """
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[number] = future
        now_ms = self._clock.now_ms()
        pending = slot_requests.PendingSlotRequest(
            number, service, now_ms, deadline_ms, bulk, excluded, spare_only
        )
        try:
            self.dispatcher.submit(pending, now_ms)
            return await future
        except asyncio.CancelledError:
            self._cancel(number, future)
            raise
        except errors.RequestError as error:
            expected_wait_ms = int(self.dispatcher.expected_wait_ms(service))
            error.retry_after_ms = max(_MIN_RETRY_AFTER_MS, expected_wait_ms)
            raise
        finally:
            self._future_by_number.pop(number, None)

    def _cancel(
        self, number: int, future: asyncio.Future[leases.Lease]
    ) -> None:
        granted = future.done() and not future.cancelled()
        if granted and future.exception() is None:
            self.release(future.result(), leases.Result.UNUSED, 0.0)
        else:
            self.dispatcher.cancel(number)

    def has_target(self, service: str, excluded: frozenset[str]) -> bool:
        """Return whether a service has a target that is not excluded."""
        return self.dispatcher.has_target(service, excluded)

    def release(
        self, lease: leases.Lease, result: leases.Result, service_ms: float
    ) -> None:
        """End a lease; `service_ms` is the duration of the exchange."""
        now_ms = self._clock.now_ms()
        self.dispatcher.release(lease, result, service_ms, now_ms)

    def has_spare_slots(self, service: str) -> bool:
        """Return whether enough slots are free for hedges."""
        return self.dispatcher.has_spare_slots(service, self._clock.now_ms())

    def median_ms(self, service: str) -> float:
        """Return the median service time of a service."""
        times = self.dispatcher.service_times(service)
        return 0.0 if times is None else times.median_ms

    def p95_ms(self, service: str) -> float:
        """Return the 95th percentile of the service time of a service."""
        times = self.dispatcher.service_times(service)
        return 0.0 if times is None else times.p95_ms

    # Implementation of dispatcher.Port.

    def send(self, peer_id: str, message: messages.Message) -> bool:
        """Queue a message for a peer; return False if there is no link."""
        return self._send(peer_id, message)

    def on_granted(self, number: int, lease: leases.Lease) -> None:
        """Pass a granted lease to a waiting local request."""
        future = self._future_by_number.get(number)
        if future is None or future.done():
            # Deferred, because the dispatcher is still granting slots and would
            # grant the freed slot to this request again, in an endless
            # recursion.
            asyncio.get_running_loop().call_soon(
                self.release, lease, leases.Result.UNUSED, 0.0
            )
        else:
            future.set_result(lease)

    def on_refused(self, number: int, reason: errors.Reason) -> None:
        """Fail a waiting local request."""
        future = self._future_by_number.get(number)
        if future is None or future.done():
            return
        status = 504 if reason is errors.Reason.DEADLINE else 503
        future.set_exception(
            errors.RequestError(reason, errors.Step.WAITING, status=status)
        )

    def on_ejected(self, target_id: str, duration_ms: float) -> None:
        """Report an ejected target to the entry group."""
        self._broadcast(
            messages.TargetReport(target_id, "ejected", duration_ms)
        )
