"""Reading what the platform publishes: one snapshot, then a watch."""

import asyncio
from collections.abc import Callable
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

# Changes that a watch has not heard of show when the next one begins. The first
# reader of a data centre asks again this often, so that they are in force
# within the 3 s after which hosts count as in touch again.
_SHORT_WATCH_S = 1.6
# For all others; a silent connection is found by keep-alive probes.
_LONG_WATCH_S = 25.0
# Changes that follow each other closely, such as those of a roll-out, are read
# by one call. Far below the 2 s in which changes have to be in force.
_GATHER_S = 0.3
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5
Snapshot = tuple[list[dialects.PublishedItem], int]


class HistoryCompactedError(errors.PlatformError):
    """The changes after a revision are no longer to be had."""


class PublishedSource(Protocol):
    """Reader of the platform service."""

    async def snapshot(self) -> Snapshot:
        """Return all items and the revision that they are complete to.

        Raises:
            errors.PlatformError: The service is down or answers an error.
        """
        ...

    async def watch(self, after: int, wait_s: float) -> Snapshot:
        """Wait for changes after a revision.

        Raises:
            HistoryCompactedError: A snapshot is needed.
            errors.PlatformError: The service is down or answers an error.
        """
        ...


class PlatformReader:
    """Keeps a catalogue up to date from the platform.

    Attributes:
        is_active: Whether it reads, or leaves that to peers.
        is_first: Whether it is the first reader of its data centre.
        is_connected: Whether the last call to the platform succeeded.
    """

    def __init__(
        self,
        source: PublishedSource,
        catalogue: catalogues.Catalogue,
        clock: clocks.Clock,
        count_call: Callable[[], None],
        describe_source: Callable[[], catalogues.Source],
        changed: Callable[[], None],
    ):
        """Create the reader; `start` begins to read.

        Args:
            source: The platform.
            catalogue: Takes in what is read.
            clock: Monotonic clock.
            count_call: Told each call.
            describe_source: Returns what the catalogue is told of the source.
            changed: Told when the platform has published changes.
        """
        self.is_active = False
        self.is_first = False
        self.is_connected = False
        self._describe_source = describe_source
        self._changed = changed
        self._source = source
        self._catalogue = catalogue
        self._clock = clock
        self._count_call = count_call
        self._connected_ms = clock.now_ms()
        self._has_snapshot = False
        self._backoff_s = _FIRST_BACKOFF_S
        self._task: asyncio.Task | None = None

    def steady_ms(self) -> float:
        """Return how long the platform has been read without a break."""
        if not self.is_connected:
            return 0.0
        return self._clock.now_ms() - self._connected_ms

    def set_active(self, is_active: bool) -> None:
        """Begin or end reading."""
        if is_active == self.is_active:
            return
        self.is_active = is_active
        _LOG.info("platform_reading", active=is_active)
        if is_active:
            self._backoff_s = _FIRST_BACKOFF_S
            self._task = asyncio.create_task(self._run())
        else:
            self.stop()

    def stop(self) -> None:
        """End reading."""
        self.is_connected = False
        if self._task is not None:
            self._task.cancel()

    def renew(self) -> None:
        """Read everything again after a pause of this host."""
        if self.is_active:
            self._has_snapshot = False
            self.set_active(False)
            self.set_active(True)

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except HistoryCompactedError:
                _LOG.warning(
                    "platform_history_gone",
                    revision=self._catalogue.view.revision,
                )
                self._has_snapshot = False
            except errors.PlatformError as error:
                self._failed(error)
                await self._back_off()
            except Exception as error:
                # Changes of this call that the view has not taken in are lost.
                steps.log_unexpected_error(_LOG, "reading", error)
                self._has_snapshot = False
                self.is_connected = False
                await self._back_off()

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1))
        self._backoff_s = min(_MAX_BACKOFF_S, self._backoff_s * 2)

    async def _step(self) -> None:
        self._count_call()
        if not self._has_snapshot:
            items, revision = await self._source.snapshot()
            self._succeeded()
            self._catalogue.replace(items, revision, self._describe_source())
            self._has_snapshot = True
            self._changed()
            return
        after = self._catalogue.view.revision
        wait_s = _SHORT_WATCH_S if self.is_first else _LONG_WATCH_S
        changes, revision = await self._source.watch(after, wait_s)
        self._succeeded()
        self._catalogue.apply(changes, revision, self._describe_source())
        if not changes:
            return
        self._changed()
        await asyncio.sleep(_GATHER_S)

    def _succeeded(self) -> None:
        self._backoff_s = _FIRST_BACKOFF_S
        if not self.is_connected:
            self.is_connected = True
            self._connected_ms = self._clock.now_ms()
            _LOG.notice(
                "platform_regained", revision=self._catalogue.view.revision
            )

    def _failed(self, error: errors.PlatformError) -> None:
        if self.is_connected:
            _LOG.warning(
                "platform_lost",
                revision=self._catalogue.view.revision,
                error=str(error),
            )
        self.is_connected = False
