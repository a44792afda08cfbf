"""Active configuration and targets of one entry."""

from collections.abc import Iterable
import dataclasses
import functools
import math
from typing import Protocol

from slatechute import logs
from slatechute.gateway import dialects
from slatechute.gateway import evacuations
from slatechute.gateway import published
from slatechute.gateway import routing
from slatechute.gateway import settings as gateway_settings
from slatechute.util import clock as clocks
from slatechute.util import steps

__all__ = ["Catalogue", "Observer", "Source"]

_LOG = logs.get_logger(__name__)

# Targets whose newest registration is remembered; a fleet replaces 740 targets
# a day.
_MAX_REMEMBERED_TARGETS = 20_000


class Observer(Protocol):
    """Applies the changes of a catalogue, each before the next is adopted."""

    def routing_adopted(self, table: routing.RoutingTable) -> None:
        """Apply a newer configuration."""
        ...

    def target_added(self, target: dialects.PublishedTarget) -> None:
        """Apply that a target was registered or has restarted."""
        ...

    def target_changed(self, target: dialects.PublishedTarget) -> None:
        """Apply that the registration of a known target has changed."""
        ...

    def target_removed(self, target: dialects.PublishedTarget) -> None:
        """Apply that a target must not receive further requests."""
        ...

    def evacuation_started(self, data_centre: str) -> None:
        """Apply that the targets of a data centre must not get requests."""
        ...

    def evacuation_ended(self, data_centre: str) -> None:
        """Apply that the targets of a data centre may get requests again."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where changes were read, for the logs and for expired registrations.

    Attributes:
        name: `platform` or the id of a peer.
        steady_ms: Duration of the uninterrupted connection of the source to
            the platform.
    """

    name: str
    steady_ms: float


class Catalogue:
    """Adopts published items and reports each change to an observer.

    Attributes:
        view: The published items.
        table: Active routing table, None before the first configuration.
        evacuations: Evacuations in force.
        confirmed_ms: When the platform or a peer that reads it last showed that
            the view lacks nothing, as clock time; minus infinity before.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        observer: Observer,
        clock: clocks.Clock,
    ):
        self.view = published.PublishedView()
        self.table: routing.RoutingTable | None = None
        self.evacuations = evacuations.Evacuations()
        self.confirmed_ms = -math.inf
        self._clock = clock
        self._adopted_ms = -math.inf
        self._settings = settings
        self._dialect = dialect
        self._observer = observer
        self._target_by_key: dict[str, dialects.PublishedTarget] = {}
        self._expired_keys: set[str] = set()
        self._newest_version_by_key: dict[str, tuple[int, int]] = {}

    def apply(
        self,
        changes: list[dialects.PublishedItem],
        revision: int,
        source: Source,
    ) -> None:
        """Adopt changes up to a revision."""
        self._adopt(self.view.apply(changes, revision), source, False)

    def replace(
        self, items: list[dialects.PublishedItem], revision: int, source: Source
    ) -> None:
        """Adopt the complete set of published items as of a revision.

        After the platform was restored from a copy, the operator and the
        targets write again what the copy lacks. Until then the newest
        configuration stays in force, known targets stay in use like those whose
        registrations expire during an outage, and evacuated data centres stay
        evacuated.
        """
        is_restored = self.view.revision > 0 and self.view.is_older_era(
            revision
        )
        if is_restored:
            _LOG.warning(
                "platform_restored",
                era=published.era_of(revision),
                revision=published.revision_of(revision),
                replaced=published.revision_of(self.view.revision),
                source=source.name,
            )
        self._adopt(self.view.replace(items, revision), source, is_restored)

    def _adopt(
        self,
        changes: list[dialects.PublishedItem],
        source: Source,
        is_restored: bool,
    ) -> None:
        for item in changes:
            # The view holds all changes already and does not return them
            # again, so an error must not skip the remaining ones.
            steps.run_step(
                _LOG,
                "adopt",
                functools.partial(self._adopt_item, item, source, is_restored),
            )

    def _adopt_item(
        self, item: dialects.PublishedItem, source: Source, is_restored: bool
    ) -> None:
        data_centre = self._dialect.evacuated_data_centre(item.key)
        if data_centre is not None:
            self._adopt_evacuation(data_centre, item, source, is_restored)
        elif self._dialect.is_target_key(item.key):
            self._adopt_target(item, source, is_restored)
        elif item.value is not None:
            self._adopt_table(item, source)

    def _adopt_table(
        self, item: dialects.PublishedItem, source: Source
    ) -> None:
        table = self._dialect.parse_configuration(item)
        if table is None:
            return
        current_version = self.table.version if self.table else -1
        if table.version <= current_version:
            _LOG.warning(
                "configuration_not_newer",
                version=table.version,
                in_force=current_version,
                revision=item.revision,
                source=source.name,
            )
            return
        self.table = table
        self._adopted_ms = self._clock.now_ms()
        _LOG.info(
            "configuration_in_force",
            version=table.version,
            replaced=current_version,
            revision=item.revision,
            source=source.name,
            routes=len(table.routes()),
        )
        self._observer.routing_adopted(table)

    def _adopt_evacuation(
        self,
        data_centre: str,
        item: dialects.PublishedItem,
        source: Source,
        is_restored: bool,
    ) -> None:
        change = self.evacuations.adopt(
            data_centre,
            is_published=item.value is not None,
            is_restored=is_restored,
        )
        if change is evacuations.Change.STARTED:
            self._start_evacuation(data_centre, item.revision, source.name)
        elif change is evacuations.Change.ENDED:
            self._end_evacuation(data_centre, item.revision, source.name)
        elif change is evacuations.Change.UNCONFIRMED:
            _LOG.warning(
                "evacuation_unconfirmed",
                data_centre=data_centre,
                revision=item.revision,
                source=source.name,
            )

    def adopt_unconfirmed_evacuations(
        self, data_centres: Iterable[str], source: Source
    ) -> None:
        """Adopt evacuations that a peer applies but the platform lacks.

        An entry that has started since the platform was restored knows only
        the copy.
        """
        for data_centre in data_centres:
            if self.evacuations.adopt_unconfirmed(data_centre) is not None:
                self._start_evacuation(
                    data_centre, self.view.revision, source.name
                )

    def _start_evacuation(
        self, data_centre: str, revision: int, source: str
    ) -> None:
        _LOG.notice(
            "evacuation_in_force",
            data_centre=data_centre,
            targets=self._count_targets(data_centre),
            source=source,
            revision=revision,
        )
        self._observer.evacuation_started(data_centre)

    def _end_evacuation(
        self, data_centre: str, revision: int, source: str
    ) -> None:
        _LOG.notice(
            "evacuation_ended",
            data_centre=data_centre,
            targets=self._count_targets(data_centre),
            source=source,
            revision=revision,
        )
        self._observer.evacuation_ended(data_centre)

    def confirm(self) -> None:
        """Note that the view lacks nothing that its source knows."""
        self.confirmed_ms = self._clock.now_ms()

    def describe(self) -> dict[str, object]:
        """Return the log fields of the active configuration.

        `version_age_ms` is the time since it came into force here, and
        `view_age_ms` that since the view was last confirmed.
        """
        if self.table is None:
            return {"version": None}
        now_ms = self._clock.now_ms()
        fields: dict[str, object] = {
            "version": self.table.version,
            "version_age_ms": round(now_ms - self._adopted_ms),
        }
        if self.confirmed_ms > -math.inf:
            fields["view_age_ms"] = round(now_ms - self.confirmed_ms)
        return fields

    def targets(self, service: str) -> list[dialects.PublishedTarget]:
        """Return the registered targets of a service."""
        return [
            target
            for target in self._target_by_key.values()
            if target.service == service
        ]

    def _count_targets(self, data_centre: str) -> int:
        return sum(
            target.data_centre == data_centre and not target.leaving
            for target in self._target_by_key.values()
        )

    def _adopt_target(
        self, item: dialects.PublishedItem, source: Source, is_restored: bool
    ) -> None:
        current = self._target_by_key.get(item.key)
        target = (
            None if item.value is None else self._dialect.parse_target(item)
        )
        if target is not None and self._is_outdated(
            item.key, target, is_restored
        ):
            _LOG.warning(
                "target_entry_overtaken",
                target=target.id,
                revision=item.revision,
                sequence=target.sequence,
            )
            return
        if target is not None:
            self._expired_keys.discard(item.key)
            self._set_target(item, current, target, source)
        elif current is not None:
            self._handle_removal(item, current, source)

    def _is_outdated(
        self, key: str, target: dialects.PublishedTarget, is_restored: bool
    ) -> bool:
        """Return whether a registration is older than one already seen.

        A delayed write may arrive after the registration was removed, and a
        copy of the platform has registrations that were removed since.
        """
        version = (target.incarnation, target.sequence)
        newest = self._newest_version_by_key.get(key)
        if newest is not None and (
            version < newest
            or (
                is_restored
                and version == newest
                and key not in self._target_by_key
            )
        ):
            return True
        self._newest_version_by_key[key] = version
        if len(self._newest_version_by_key) > _MAX_REMEMBERED_TARGETS:
            del self._newest_version_by_key[
                next(iter(self._newest_version_by_key))
            ]
        return False

    def _set_target(
        self,
        item: dialects.PublishedItem,
        current: dialects.PublishedTarget | None,
        target: dialects.PublishedTarget,
        source: Source,
    ) -> None:
        self._target_by_key[item.key] = target
        if current is not None and current == dataclasses.replace(
            target, sequence=current.sequence
        ):
            return
        _LOG.info(
            "target_listed",
            target=target.id,
            service=target.service,
            address=target.address,
            leaving=target.leaving,
            known=current is not None,
            revision=item.revision,
            source=source.name,
        )
        is_same = current is not None and (
            (current.incarnation, current.address, current.service)
            == (target.incarnation, target.address, target.service)
        )
        if current is not None and not current.leaving:
            if not is_same or target.leaving:
                self._observer.target_removed(current)
            else:
                self._observer.target_changed(target)
                return
        if not target.leaving:
            self._observer.target_added(target)

    def _handle_removal(
        self,
        item: dialects.PublishedItem,
        current: dialects.PublishedTarget,
        source: Source,
    ) -> None:
        # While the platform is unavailable, registrations expire although the
        # targets are still running.
        is_expiry = (
            item.value is None
            and not current.leaving
            and source.steady_ms < self._settings.expired_target_hold_s * 1000
        )
        if is_expiry:
            self._expired_keys.add(item.key)
            _LOG.info(
                "target_entry_lapsed",
                target=current.id,
                revision=item.revision,
                source=source.name,
                steady_ms=round(source.steady_ms),
            )
            return
        self._remove_target(item.key, source.name)

    def _remove_target(self, key: str, reason: str) -> None:
        removed = self._target_by_key.pop(key)
        _LOG.info("target_gone", target=removed.id, source=reason)
        if not removed.leaving:
            self._observer.target_removed(removed)

    def remove_expired(self, steady_ms: float) -> None:
        """Remove expired targets that were not registered again in time.

        Evacuations that were not written again in that time end as well.

        Args:
            steady_ms: Duration of the uninterrupted connection of this entry
                or a peer to the platform.
        """
        if steady_ms < self._settings.expired_target_hold_s * 1000:
            return
        while self._expired_keys:
            self._remove_target(self._expired_keys.pop(), "lapsed")
        for data_centre in self.evacuations.end_unconfirmed():
            self._end_evacuation(data_centre, self.view.revision, "lapsed")
