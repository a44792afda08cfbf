"""Local view of the items that the platform publishes.

The view holds the newest value of each key and the revision up to which it is
complete. The views of two entries differ only by that revision, so an entry
that cannot read the platform adopts the whole view of a peer with a higher one.

The platform may be restored from an older copy of its content. Its revisions
then go back and are given out again, and its *era* rises. All revisions here
are therefore positions, which have the era in their upper bits and order by era
first. Nothing is known of the changes between two eras, so that a view of an
older era is replaced as a whole.
"""

from collections.abc import Iterable

from slatechute.gateway import dialects

__all__ = ["MAX_ERA", "PublishedView", "era_of", "position", "revision_of"]

# At 13,000 changes a day, revisions stay below it for 200,000 years.
_REVISIONS_PER_ERA = 1 << 40
# Positions are encoded as 64-bit integers.
MAX_ERA = (1 << 22) - 1

# Revisions of removed keys are kept, so that a late event does not restore a
# removed key. The limit is far above the number of removals within one watch.
_MAX_TOMBSTONES = 4096


def position(era: int, revision: int) -> int:
    """Return the position of a revision of the platform within an era.

    >>> position(0, 7), position(2, 1) > position(1, 9)
    (7, True)
    """
    return era * _REVISIONS_PER_ERA + revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position // _REVISIONS_PER_ERA


def revision_of(position: int) -> int:
    """Return the revision of the platform at a position."""
    return position % _REVISIONS_PER_ERA


class PublishedView:
    """Newest published items by key.

    Attributes:
        revision: The view contains all changes up to it; initially 0.

    >>> item = dialects.PublishedItem
    >>> view = PublishedView()
    >>> [i.key for i in view.replace([item("a", 3, b"x")], 5)]
    ['a']
    >>> [i.value for i in view.apply([item("a", 7, None)], 7)]
    [None]
    >>> view.apply([item("a", 6, b"late")], 7)
    []
    >>> [i.key for i in view.changes_since(5)], view.changes_since(3)
    (['a'], None)
    """

    def __init__(self):
        self.revision = 0
        # Removals before the first snapshot and those whose tombstone was
        # dropped are not known.
        self._first_revision: int | None = None
        self._item_by_key: dict[str, dialects.PublishedItem] = {}
        self._tombstones: dict[str, int] = {}

    def items(self) -> list[dialects.PublishedItem]:
        """Return all items that exist."""
        return list(self._item_by_key.values())

    def changes_since(
        self, revision: int
    ) -> list[dialects.PublishedItem] | None:
        """Return the changes after a revision by ascending revision.

        Returns:
            The changes, or None if some may not be known any more.
        """
        if self._first_revision is None or revision < self._first_revision:
            return None
        changed = [
            item
            for item in self._item_by_key.values()
            if item.revision > revision
        ]
        changed += [
            dialects.PublishedItem(key, removed, None)
            for key, removed in self._tombstones.items()
            if removed > revision
        ]
        return sorted(changed, key=lambda item: item.revision)

    def apply(
        self, events: Iterable[dialects.PublishedItem], revision: int
    ) -> list[dialects.PublishedItem]:
        """Apply changes up to a revision and return those that were new."""
        changes = [event for event in events if self._apply_item(event)]
        self.revision = max(self.revision, revision)
        return changes

    def replace(
        self, items: Iterable[dialects.PublishedItem], revision: int
    ) -> list[dialects.PublishedItem]:
        """Apply a snapshot of all items and return the changes that were new.

        A missing key was removed, unless it changed after the revision.
        """
        if self._first_revision is None or self.is_older_era(revision):
            self._first_revision = revision
            self._tombstones.clear()
        listed = {item.key: item for item in items}
        removed = [
            dialects.PublishedItem(key, revision, None)
            for key, known in self._item_by_key.items()
            if key not in listed and known.revision <= revision
        ]
        return self.apply([*listed.values(), *removed], revision)

    def is_older_era(self, revision: int) -> bool:
        """Return whether the view is of an earlier era than a revision."""
        return era_of(self.revision) < era_of(revision)

    def _apply_item(self, item: dialects.PublishedItem) -> bool:
        if era_of(item.revision) < era_of(self.revision):
            return False
        current = self._item_by_key.get(item.key)
        if current is not None and current.revision >= item.revision:
            return False
        if self._tombstones.get(item.key, 0) >= item.revision:
            return False
        if item.value is not None:
            self._tombstones.pop(item.key, None)
            self._item_by_key[item.key] = item
            return True
        self._tombstones[item.key] = item.revision
        if len(self._tombstones) > _MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self._first_revision = max(
                self._first_revision or 0, self._tombstones.pop(oldest)
            )
        return self._item_by_key.pop(item.key, None) is not None
