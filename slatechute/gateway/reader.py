"""Reader of the published items: one snapshot, then repeated watches."""

import asyncio
from collections.abc import Callable
import math
import random
from typing import Protocol

from slatechute import errors
from slatechute import logs
from slatechute.gateway import catalogue as catalogues
from slatechute.gateway import dialects
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = [
    "HistoryCompactedError",
    "PlatformReader",
    "PublishedSource",
    "Snapshot",
]

_LOG = logs.get_logger(__name__)

# Changes that a watch has missed arrive when the next one begins. The first
# reader of a data centre starts a new watch this often, so that they become
# active within the 3 s after which hosts count as connected again.
_FIRST_READER_WATCH_S = 1.6
# For all others; keep-alive probes detect an unresponsive connection.
_WATCH_TIMEOUT_S = 25.0
# Changes in quick succession, such as those of a roll-out, are read by one
# request. Far below the 2 s within which changes have to be active.
_BATCH_DELAY_S = 0.3
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5
Snapshot = tuple[list[dialects.PublishedItem], int]


class HistoryCompactedError(errors.PlatformError):
    """The platform does not have the changes after a revision.

    It has discarded them, or was restored from a copy.
    """


class PublishedSource(Protocol):
    """Client of the platform service.

    Revisions are positions as in `published`.
    """

    async def snapshot(self) -> Snapshot:
        """Return all items and the revision up to which they are complete.

        Raises:
            errors.PlatformError: The service is unavailable or returned an
                error.
        """
        ...

    async def watch(self, after: int, wait_s: float) -> Snapshot:
        """Wait for changes after a revision.

        Raises:
            HistoryCompactedError: The changes are not available any more; the
                caller has to request a snapshot.
            errors.PlatformError: The service is unavailable or returned an
                error.
        """
        ...


class PlatformReader:
    """Keeps a catalogue up to date with the platform.

    Attributes:
        is_active: Whether it reads the platform, or leaves that to peers.
        is_first: Whether it is the first reader of its data centre.
        is_connected: Whether the last request to the platform succeeded.
    """

    def __init__(
        self,
        source: PublishedSource,
        catalogue: catalogues.Catalogue,
        clock: clocks.Clock,
        count_call: Callable[[], None],
        describe_source: Callable[[], catalogues.Source],
        on_change: Callable[[], None],
        on_confirmed: Callable[[], None],
    ):
        """Create the reader; `set_active` starts to read.

        Args:
            source: The platform.
            catalogue: Adopts the items that are read.
            clock: Monotonic clock.
            count_call: Called for each request to the platform.
            describe_source: Returns the source that the catalogue records.
            on_change: Called when published changes were read.
            on_confirmed: Called when the platform has answered.
        """
        self.is_active = False
        self.is_first = False
        self.is_connected = False
        self._describe_source = describe_source
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._source = source
        self._catalogue = catalogue
        self._clock = clock
        self._count_call = count_call
        self._connected_since_ms = clock.now_ms()
        self._has_snapshot = False
        self._backoff_s = _INITIAL_BACKOFF_S
        self._watch_due_ms = -math.inf
        self._task: asyncio.Task | None = None

    def steady_ms(self) -> float:
        """Return the duration of the uninterrupted connection in ms."""
        if not self.is_connected:
            return 0.0
        return self._clock.now_ms() - self._connected_since_ms

    def set_active(
        self, is_active: bool, *, watch_delay_s: float = 0.0
    ) -> None:
        """Start or stop reading.

        Args:
            is_active: Whether to read.
            watch_delay_s: Time from now until the first watch. When all entries
                start, most of them stop reading after the snapshot, and each
                watch is a request to the platform.
        """
        if is_active == self.is_active:
            return
        self.is_active = is_active
        self._watch_due_ms = self._clock.now_ms() + watch_delay_s * 1000
        _LOG.info("platform_reading", active=is_active)
        if is_active:
            self._backoff_s = _INITIAL_BACKOFF_S
            self._task = asyncio.create_task(self._run())
        else:
            self.stop()

    def stop(self) -> None:
        """Stop reading."""
        self.is_connected = False
        if self._task is not None:
            self._task.cancel()

    def restart(self) -> None:
        """Start again with a snapshot, after a long pause of the process."""
        if self.is_active:
            self._has_snapshot = False
            self.set_active(False)
            self.set_active(True)

    async def _run(self) -> None:
        while True:
            try:
                await self._read_once()
            except HistoryCompactedError:
                _LOG.warning(
                    "platform_history_gone",
                    revision=self._catalogue.view.revision,
                )
                self._has_snapshot = False
            except errors.PlatformError as error:
                self._record_failure(error)
                await self._wait_backoff()
            except Exception as error:
                # Some changes of this response may not have been applied, so a
                # snapshot has to follow.
                steps.log_unexpected_error(_LOG, "reading", error)
                self._has_snapshot = False
                self.is_connected = False
                await self._wait_backoff()

    async def _wait_backoff(self) -> None:
        await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1))
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)

    async def _read_once(self) -> None:
        if self._has_snapshot:
            delay_ms = self._watch_due_ms - self._clock.now_ms()
            if delay_ms > 0:
                await asyncio.sleep(delay_ms / 1000)
        self._count_call()
        if not self._has_snapshot:
            items, revision = await self._source.snapshot()
            self._record_success()
            if self._catalogue.view.is_older_era(revision):
                # Registrations that the copy lacks count as expired for as long
                # as the targets need to write them again.
                self._connected_since_ms = self._clock.now_ms()
            self._catalogue.replace(items, revision, self._describe_source())
            self._on_confirmed()
            self._has_snapshot = True
            self._on_change()
            return
        after = self._catalogue.view.revision
        wait_s = _FIRST_READER_WATCH_S if self.is_first else _WATCH_TIMEOUT_S
        changes, revision = await self._source.watch(after, wait_s)
        self._record_success()
        self._catalogue.apply(changes, revision, self._describe_source())
        self._on_confirmed()
        if not changes:
            return
        self._on_change()
        await asyncio.sleep(_BATCH_DELAY_S)

    def _record_success(self) -> None:
        self._backoff_s = _INITIAL_BACKOFF_S
        if not self.is_connected:
            self.is_connected = True
            self._connected_since_ms = self._clock.now_ms()
            _LOG.notice(
                "platform_regained", revision=self._catalogue.view.revision
            )

    def _record_failure(self, error: errors.PlatformError) -> None:
        if self.is_connected:
            _LOG.warning(
                "platform_lost",
                revision=self._catalogue.view.revision,
                error=str(error),
            )
        self.is_connected = False
