"""Local view of the items that the platform publishes.

The view holds the newest value of each key and the revision up to which it is
complete. The views of two entries differ only by that revision, so an entry
that cannot read the platform adopts the whole view of a peer with a higher one.
"""

from collections.abc import Iterable

from slatechute.gateway import dialects

__all__ = ["PublishedView"]

# Revisions of removed keys are kept, so that a late event does not restore a
# removed key. The limit is far above the number of removals within one watch.
_MAX_TOMBSTONES = 4096


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
        if self._first_revision is None:
            self._first_revision = revision
        listed = {item.key: item for item in items}
        removed = [
            dialects.PublishedItem(key, revision, None)
            for key, known in self._item_by_key.items()
            if key not in listed and known.revision <= revision
        ]
        return self.apply([*listed.values(), *removed], revision)

    def _apply_item(self, item: dialects.PublishedItem) -> bool:
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
