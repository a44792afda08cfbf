"""Membership of entries and targets, from the published list and observations.

The published list is updated with a delay. A live link shows that an entry is
alive before the list contains it, and a response of a target or a report of a
peer shows that the target is leaving before the list does. Both override the
list.
"""

from collections.abc import Iterable
import dataclasses

from slatechute import ownership
from slatechute.configuration import instances

__all__ = ["LEAVING", "Membership", "ServicePlan"]

LEAVING = "leaving"

# Limits the marks of targets that have left. They are kept because an outdated
# list may contain such a target again.
_MAX_LEAVING_MARKS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """Targets of a service and their dispatchers.

    Attributes:
        targets_by_id: Targets that may receive requests.
        dispatcher_by_target: Dispatching entry of each of them.
        share: Fraction of the slots that the reachable entries may use.
        group: Entry group of the service, reachable or not.
    """

    targets_by_id: dict[str, instances.Target]
    dispatcher_by_target: dict[str, str]
    share: float
    group: tuple[str, ...]


class Membership:
    """Local view of the entries and targets of the fleet."""

    def __init__(self, own_entry: instances.Entry, group_size: int):
        self._own_entry = own_entry
        self._listed_by_id: dict[str, instances.Entry] = {}
        self._linked_by_id: dict[str, instances.Entry] = {}
        self._targets_by_service: dict[str, dict[str, instances.Target]] = {}
        self._listed_target_ids: set[str] = set()
        self._seen_target_ids: set[str] = set()
        self._leaving_target_ids: dict[str, None] = {}
        self._has_list = False
        self._groups = ownership.EntryGroups(group_size)
        self._entries_by_id: dict[str, instances.Entry] = {}
        self._plans: dict[str, tuple[tuple, ServicePlan]] = {}
        self._update_entries()

    @property
    def own_entry(self) -> instances.Entry:
        """Instance of this entry."""
        return self._own_entry

    @property
    def has_list(self) -> bool:
        """Whether a published list was applied."""
        return self._has_list

    def mark_own_entry_leaving(self) -> None:
        """Mark this entry as leaving.

        It is then left out of address responses and of dispatch.
        """
        self._own_entry = dataclasses.replace(self._own_entry, state=LEAVING)
        self._update_entries()

    def _update_entries(self) -> None:
        # Entries with a live link override the published list.
        entries_by_id = {**self._listed_by_id, **self._linked_by_id}
        entries_by_id[self._own_entry.id] = self._own_entry
        self._entries_by_id = entries_by_id
        self._groups.set_members(entries_by_id.keys())

    def apply_published_list(
        self,
        entries: Iterable[instances.Entry],
        targets: Iterable[instances.Target],
    ) -> frozenset[str]:
        """Apply a published list of entries and targets.

        Returns:
            Ids of targets that no earlier list contained; empty for the first
            list.
        """
        self._listed_by_id = {
            entry.id: entry
            for entry in entries
            if entry.id != self._own_entry.id
        }
        by_service: dict[str, dict[str, instances.Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, {})[target.id] = target
        listed_ids = {key for by_id in by_service.values() for key in by_id}
        unseen_ids = listed_ids - self._seen_target_ids
        new_ids = frozenset(unseen_ids if self._has_list else ())
        self._seen_target_ids |= listed_ids
        if len(self._seen_target_ids) > 2 * len(listed_ids) + 1000:
            self._seen_target_ids = set(listed_ids)
        # Unchanged targets keep their dictionary object, by which `plan` finds
        # out whether a cached plan is still valid.
        for service, by_id in by_service.items():
            if by_id == self._targets_by_service.get(service):
                by_service[service] = self._targets_by_service[service]
        self._targets_by_service = by_service
        self._listed_target_ids = listed_ids
        self._update_entries()
        self._has_list = True
        return new_ids

    def set_linked_entries(self, entries: Iterable[instances.Entry]) -> None:
        """Set the entries with a live link."""
        self._linked_by_id = {entry.id: entry for entry in entries}
        self._update_entries()

    def mark_leaving(self, target_id: str) -> bool:
        """Mark a target as leaving; return whether the mark is new.

        An instance id identifies one process start of a target, so the mark is
        never reverted.
        """
        if target_id in self._leaving_target_ids:
            return False
        self._leaving_target_ids[target_id] = None
        self._plans.clear()
        if len(self._leaving_target_ids) > _MAX_LEAVING_MARKS:
            del self._leaving_target_ids[next(iter(self._leaving_target_ids))]
        return True

    def leaving_targets(self) -> list[str]:
        """Return the listed targets that are marked as leaving."""
        return [
            key
            for key in self._leaving_target_ids
            if key in self._listed_target_ids
        ]

    def targets_of(self, service: str) -> list[instances.Target]:
        """Return the targets of a service that may receive requests."""
        known = self._targets_by_service.get(service, {})
        return [
            t for t in known.values() if t.id not in self._leaving_target_ids
        ]

    def peer_addresses(
        self, services: Iterable[str], neighbours: Iterable[str] = ()
    ) -> dict[str, str]:
        """Return the peer addresses of the entries to connect to, by id.

        Args:
            services: Configured services.
            neighbours: Entries to exchange documents with, which may be outside
                of the groups of the services.
        """
        wanted = set(neighbours)
        for service in services:
            group = self._group(service)
            if self._own_entry.id in group:
                wanted.update(group)
        wanted.discard(self._own_entry.id)
        return {
            key: self._listed_by_id[key].peer_address
            for key in sorted(wanted)
            if key in self._listed_by_id
        }

    def entries(self) -> dict[str, instances.Entry]:
        """Return all known entries by id; live links override the list."""
        return self._entries_by_id

    def _group(self, service: str) -> list[str]:
        return self._groups.group(service)

    def discard_other_services(self, services: Iterable[str]) -> None:
        """Drop the cached groups and plans of all other services."""
        retained = set(services)
        self._groups.retain(retained)
        for service in self._plans.keys() - retained:
            del self._plans[service]

    def reachable(self) -> frozenset[str]:
        """Return the peers with a live link."""
        return frozenset(self._linked_by_id)

    def plan(self, service: str) -> ServicePlan:
        """Return the current targets of a service and their dispatchers.

        The same object is returned until something changes. An entry outside of
        the group only plans targets whose dispatcher it has a link with, so
        that a request without such a target is refused at once.
        """
        group = tuple(self._group(service))
        entries_by_id = self._entries_by_id
        dispatching = {
            key: entries_by_id[key].data_centre
            for key in group
            if key == self._own_entry.id or key in self._linked_by_id
            if entries_by_id[key].state != LEAVING
        }
        if not dispatching:
            return ServicePlan({}, {}, 1.0, group)
        not_leaving = [
            key for key in group if entries_by_id[key].state != LEAVING
        ]
        listed_targets = self._targets_by_service.get(service)
        # The cached inputs hold a reference to the dictionary of targets, so
        # that its id cannot be reused for another one.
        inputs = (
            group,
            dispatching,
            not_leaving,
            id(listed_targets),
            listed_targets,
        )
        cached = self._plans.get(service)
        if cached is not None and cached[0][:4] == inputs[:4]:
            return cached[1]
        # Outside of the group, this entry has links with a few members at most,
        # so a missing link does not show that a member is dead.
        is_member = self._own_entry.id in group
        candidates = dispatching
        if not is_member:
            candidates = {
                key: entries_by_id[key].data_centre for key in not_leaving
            }
        targets = {t.id: t for t in self.targets_of(service)}
        dispatcher_by_target = {}
        for target in targets.values():
            dispatcher_id = ownership.dispatcher_of(
                target.id, target.data_centre, candidates
            )
            if dispatcher_id in dispatching:
                dispatcher_by_target[target.id] = dispatcher_id
        if not is_member:
            targets = {key: targets[key] for key in dispatcher_by_target}
        share = len(dispatching) / len(not_leaving)
        plan = ServicePlan(targets, dispatcher_by_target, share, group)
        self._plans[service] = (inputs, plan)
        return plan
