"""What the platform publishes, as one entry knows it.

The view holds the newest value of each key and the revision up to which it is
complete. Views of entries differ only by that revision, so an entry that
cannot read the platform takes over the whole view of a peer that is ahead.
"""

from collections.abc import Iterable

from slatechute.gateway import dialects

__all__ = ["PublishedView"]

# Revisions of removed keys that are kept, so that a late event does not bring
# a removed key back. Far more than are removed within a watch.
_MAX_TOMBSTONES = 4096


class PublishedView:
    """Newest published items by key.

    Attributes:
        revision: The view has all changes up to this revision; 0 at the start.

    >>> item = dialects.PublishedItem
    >>> view = PublishedView()
    >>> [i.key for i in view.replace([item("a", 3, b"x")], 5)]
    ['a']
    >>> [i.value for i in view.apply([item("a", 7, None)], 7)]
    [None]
    >>> view.apply([item("a", 6, b"late")], 7)
    []
    """

    def __init__(self):
        self.revision = 0
        self._item_by_key: dict[str, dialects.PublishedItem] = {}
        self._tombstones: dict[str, int] = {}

    def items(self) -> list[dialects.PublishedItem]:
        """Return all items that exist."""
        return list(self._item_by_key.values())

    def apply(
        self, events: Iterable[dialects.PublishedItem], revision: int
    ) -> list[dialects.PublishedItem]:
        """Take in changes up to a revision; return those that are news."""
        changes = [event for event in events if self._take(event)]
        self.revision = max(self.revision, revision)
        return changes

    def replace(
        self, items: Iterable[dialects.PublishedItem], revision: int
    ) -> list[dialects.PublishedItem]:
        """Take in all items as of a revision; return what is news.

        Keys that are missing were removed, unless they changed after it.
        """
        listed = {item.key: item for item in items}
        removed = [
            dialects.PublishedItem(key, revision, None)
            for key, known in self._item_by_key.items()
            if key not in listed and known.revision <= revision
        ]
        return self.apply([*listed.values(), *removed], revision)

    def _take(self, item: dialects.PublishedItem) -> bool:
        known = self._item_by_key.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if self._tombstones.get(item.key, 0) >= item.revision:
            return False
        if item.value is not None:
            self._tombstones.pop(item.key, None)
            self._item_by_key[item.key] = item
            return True
        self._tombstones[item.key] = item.revision
        if len(self._tombstones) > _MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        return self._item_by_key.pop(item.key, None) is not None
