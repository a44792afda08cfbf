"""Entries and targets: the published list plus direct evidence.

The list lags. A live link shows that an entry is alive before the list does,
and a target's own answer or a peer's word shows that it leaves; both are
believed over the list.
"""

from collections.abc import Iterable
import dataclasses

from slatechute import ownership
from slatechute.configuration import instances

__all__ = ["LEAVING", "Membership", "ServicePlan"]

LEAVING = "leaving"

# A departed target's mark is kept this many generations of the list longer,
# since a lagging list may name it again.
_MAX_LEAVING_MARKS = 100_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """Who dispatches the targets of a service.

    Attributes:
        targets_by_id: Targets that may get work.
        dispatcher_by_target: Dispatching entry of each of them.
        share: Part of the slots that the reachable entries may use.
        group: Entries of the service, reachable or not.
    """

    targets_by_id: dict[str, instances.Target]
    dispatcher_by_target: dict[str, str]
    share: float
    group: tuple[str, ...]


class Membership:
    """What this entry believes of the fleet."""

    def __init__(self, own_entry: instances.Entry, group_size: int):
        self._own = own_entry
        self._listed_by_id: dict[str, instances.Entry] = {}
        self._linked_by_id: dict[str, instances.Entry] = {}
        self._targets_by_service: dict[str, dict[str, instances.Target]] = {}
        self._listed_targets: set[str] = set()
        self._known_targets: set[str] = set()
        self._leaving: dict[str, None] = {}
        self._has_list = False
        self._groups = ownership.EntryGroups(group_size)
        self._entries_by_id: dict[str, instances.Entry] = {}
        self._plans: dict[str, tuple[tuple, ServicePlan]] = {}
        self._entries_changed()

    @property
    def own_entry(self) -> instances.Entry:
        """This entry."""
        return self._own

    @property
    def has_list(self) -> bool:
        """Whether a list of instances was seen."""
        return self._has_list

    def mark_own_entry_leaving(self) -> None:
        """Take this entry out of address answers and dispatch."""
        self._own = dataclasses.replace(self._own, state=LEAVING)
        self._entries_changed()

    def _entries_changed(self) -> None:
        # Direct evidence goes over the list.
        known = {**self._listed_by_id, **self._linked_by_id}
        known[self._own.id] = self._own
        self._entries_by_id = known
        self._groups.set_members(known.keys())

    def apply_published_list(
        self,
        entries: Iterable[instances.Entry],
        targets: Iterable[instances.Target],
    ) -> frozenset[str]:
        """Take in a list; return targets that are new since the last one."""
        self._listed_by_id = {
            entry.id: entry for entry in entries if entry.id != self._own.id
        }
        by_service: dict[str, dict[str, instances.Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, {})[target.id] = target
        listed = {key for group in by_service.values() for key in group}
        first_seen = listed - self._known_targets
        fresh = frozenset(first_seen if self._has_list else ())
        self._known_targets |= listed
        if len(self._known_targets) > 2 * len(listed) + 1000:
            self._known_targets = set(listed)
        # A plan is kept as long as the targets of its service are the same
        # object.
        for service, group in by_service.items():
            if group == self._targets_by_service.get(service):
                by_service[service] = self._targets_by_service[service]
        self._targets_by_service = by_service
        self._listed_targets = listed
        self._entries_changed()
        self._has_list = True
        return fresh

    def set_linked_entries(self, entries: Iterable[instances.Entry]) -> None:
        """Take in the entries with a live link."""
        self._linked_by_id = {entry.id: entry for entry in entries}
        self._entries_changed()

    def mark_leaving(self, target_id: str) -> bool:
        """Remember that a target leaves; return whether that is news.

        An instance id stands for one start of a target, so the mark never has
        to be taken back.
        """
        if target_id in self._leaving:
            return False
        self._leaving[target_id] = None
        self._plans.clear()
        if len(self._leaving) > _MAX_LEAVING_MARKS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def leaving_targets(self) -> list[str]:
        """Return the targets on the list that are known to leave."""
        return [key for key in self._leaving if key in self._listed_targets]

    def targets_of(self, service: str) -> list[instances.Target]:
        """Return the targets of a service that may get work."""
        known = self._targets_by_service.get(service, {})
        return [t for t in known.values() if t.id not in self._leaving]

    def peer_addresses(
        self, services: Iterable[str], neighbours: Iterable[str] = ()
    ) -> dict[str, str]:
        """Return the entries to be linked with, by id.

        Args:
            services: Configured services.
            neighbours: Entries that documents are exchanged with, also beyond
                the groups of the services.
        """
        wanted = set(neighbours)
        for service in services:
            group = self._group(service)
            if self._own.id in group:
                wanted.update(group)
        wanted.discard(self._own.id)
        return {
            key: self._listed_by_id[key].peer_address
            for key in sorted(wanted)
            if key in self._listed_by_id
        }

    def entries(self) -> dict[str, instances.Entry]:
        """Return all known entries by id, direct evidence first."""
        return self._entries_by_id

    def _group(self, service: str) -> list[str]:
        return self._groups.group(service)

    def discard_other_services(self, services: Iterable[str]) -> None:
        """Forget what was worked out for all other services."""
        kept = set(services)
        self._groups.keep(kept)
        for service in self._plans.keys() - kept:
            del self._plans[service]

    def reachable(self) -> frozenset[str]:
        """Return the peers with a live link."""
        return frozenset(self._linked_by_id)

    def plan(self, service: str) -> ServicePlan:
        """Return who dispatches the targets of a service now.

        The same object is returned as long as nothing changes. An entry outside
        the group only plans targets whose dispatcher it has a link with, so
        that other requests are refused at once.
        """
        group = tuple(self._group(service))
        known = self._entries_by_id
        able = {
            key: known[key].data_centre
            for key in group
            if key == self._own.id or key in self._linked_by_id
            if known[key].state != LEAVING
        }
        if not able:
            return ServicePlan({}, {}, 1.0, group)
        staying = [key for key in group if known[key].state != LEAVING]
        listed = self._targets_by_service.get(service)
        # The dictionary of targets is held by the basis, so that its id cannot
        # pass to another one.
        basis = (group, able, staying, id(listed), listed)
        kept = self._plans.get(service)
        if kept is not None and kept[0][:4] == basis[:4]:
            return kept[1]
        # Outside of the group, this entry has links with a few members at most
        # and cannot tell from them which others are alive.
        is_member = self._own.id in group
        ranked = able
        if not is_member:
            ranked = {key: known[key].data_centre for key in staying}
        targets = {t.id: t for t in self.targets_of(service)}
        dispatcher_by_target = {}
        for target in targets.values():
            owner = ownership.dispatcher_of(
                target.id, target.data_centre, ranked
            )
            if owner in able:
                dispatcher_by_target[target.id] = owner
        if not is_member:
            targets = {key: targets[key] for key in dispatcher_by_target}
        share = len(able) / len(staying)
        plan = ServicePlan(targets, dispatcher_by_target, share, group)
        self._plans[service] = (basis, plan)
        return plan
