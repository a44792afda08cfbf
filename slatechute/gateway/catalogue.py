"""Configuration and targets in force at one entry."""

import dataclasses
import functools

from slatechute import events
from slatechute import logs
from slatechute.gateway import dialects
from slatechute.gateway import published
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.util import steps

__all__ = [
    "Catalogue",
    "RoutingAdopted",
    "Source",
    "TargetAdded",
    "TargetChanged",
    "TargetRemoved",
]

_LOG = logs.get_logger(__name__)

# Targets whose newest entry is remembered; a fleet replaces 740 a day.
_MAX_REMEMBERED = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingAdopted:
    """A newer configuration came into force."""

    table: routing.RoutingTable


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAdded:
    """A target that may get work was listed, or started again."""

    target: dialects.PublishedTarget


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChanged:
    """What is listed of a known target has changed."""

    target: dialects.PublishedTarget


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target must get no further work."""

    target: dialects.PublishedTarget


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where changes were read, for the logs and for lapsed targets.

    Attributes:
        name: `platform` or the id of a peer.
        steady_ms: How long the source has read the platform without a break.
    """

    name: str
    steady_ms: float


class Catalogue:
    """Keeps what is published and tells changes by events.

    Attributes:
        view: The published items.
        table: Routes in force, None before the first configuration.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        bus: events.EventBus,
    ):
        self.view = published.PublishedView()
        self.table: routing.RoutingTable | None = None
        self._settings = settings
        self._dialect = dialect
        self._bus = bus
        self._target_by_key: dict[str, dialects.PublishedTarget] = {}
        self._lapsed_keys: set[str] = set()
        self._newest_by_key: dict[str, tuple[int, int]] = {}

    def apply(
        self,
        changes: list[dialects.PublishedItem],
        revision: int,
        source: Source,
    ) -> None:
        """Take in changes up to a revision."""
        self._adopt(self.view.apply(changes, revision), source)

    def replace(
        self, items: list[dialects.PublishedItem], revision: int, source: Source
    ) -> None:
        """Take in everything that is published as of a revision."""
        self._adopt(self.view.replace(items, revision), source)

    def _adopt(
        self, changes: list[dialects.PublishedItem], source: Source
    ) -> None:
        for item in changes:
            # The view has all of them, so no later reading brings the others.
            steps.run_step(
                _LOG, "adopt", functools.partial(self._adopt_item, item, source)
            )

    def _adopt_item(self, item: dialects.PublishedItem, source: Source) -> None:
        if self._dialect.is_target_key(item.key):
            self._adopt_target(item, source)
        elif item.value is not None:
            self._adopt_table(item, source)

    def _adopt_table(
        self, item: dialects.PublishedItem, source: Source
    ) -> None:
        table = self._dialect.parse_configuration(item)
        if table is None:
            return
        known = self.table.version if self.table else -1
        if table.version <= known:
            _LOG.warning(
                "configuration_not_newer",
                version=table.version,
                in_force=known,
                revision=item.revision,
                source=source.name,
            )
            return
        self.table = table
        _LOG.info(
            "configuration_in_force",
            version=table.version,
            replaced=known,
            revision=item.revision,
            source=source.name,
            routes=len(table.routes()),
        )
        self._bus.emit(RoutingAdopted(table))

    def _adopt_target(
        self, item: dialects.PublishedItem, source: Source
    ) -> None:
        known = self._target_by_key.get(item.key)
        target = (
            None if item.value is None else self._dialect.parse_target(item)
        )
        if target is not None and self._is_overtaken(item.key, target):
            _LOG.warning(
                "target_entry_overtaken",
                target=target.id,
                revision=item.revision,
                sequence=target.sequence,
            )
            return
        if target is not None:
            self._lapsed_keys.discard(item.key)
            self._set_target(item, known, target, source)
        elif known is not None:
            self._remove(item, known, source)

    def _is_overtaken(self, key: str, target: dialects.PublishedTarget) -> bool:
        """Return whether an entry was written before one already known.

        A delayed write may come after the removal of the entry.
        """
        order = (target.incarnation, target.sequence)
        if order < self._newest_by_key.get(key, order):
            return True
        self._newest_by_key[key] = order
        if len(self._newest_by_key) > _MAX_REMEMBERED:
            del self._newest_by_key[next(iter(self._newest_by_key))]
        return False

    def _set_target(
        self,
        item: dialects.PublishedItem,
        known: dialects.PublishedTarget | None,
        target: dialects.PublishedTarget,
        source: Source,
    ) -> None:
        self._target_by_key[item.key] = target
        if known is not None and known == dataclasses.replace(
            target, sequence=known.sequence
        ):
            return
        _LOG.info(
            "target_listed",
            target=target.id,
            service=target.service,
            address=target.address,
            leaving=target.leaving,
            known=known is not None,
            revision=item.revision,
            source=source.name,
        )
        is_same = known is not None and (
            (known.incarnation, known.address, known.service)
            == (target.incarnation, target.address, target.service)
        )
        if known is not None and not known.leaving:
            if not is_same or target.leaving:
                self._bus.emit(TargetRemoved(known))
            else:
                self._bus.emit(TargetChanged(target))
                return
        if not target.leaving:
            self._bus.emit(TargetAdded(target))

    def _remove(
        self,
        item: dialects.PublishedItem,
        known: dialects.PublishedTarget,
        source: Source,
    ) -> None:
        # Entries lapse while the platform is away although the targets live.
        is_lapse = (
            item.value is None
            and not known.leaving
            and source.steady_ms < self._settings.expired_target_hold_s * 1000
        )
        if is_lapse:
            self._lapsed_keys.add(item.key)
            _LOG.info(
                "target_entry_lapsed",
                target=known.id,
                revision=item.revision,
                source=source.name,
                steady_ms=round(source.steady_ms),
            )
            return
        self._forget(item.key, source.name)

    def _forget(self, key: str, reason: str) -> None:
        known = self._target_by_key.pop(key)
        _LOG.info("target_gone", target=known.id, source=reason)
        if not known.leaving:
            self._bus.emit(TargetRemoved(known))

    def expire(self, steady_ms: float) -> None:
        """Drop lapsed targets that were not listed again in time.

        Args:
            steady_ms: How long this entry or a peer has read the platform
                without a break.
        """
        if steady_ms < self._settings.expired_target_hold_s * 1000:
            return
        while self._lapsed_keys:
            self._forget(self._lapsed_keys.pop(), "lapsed")
