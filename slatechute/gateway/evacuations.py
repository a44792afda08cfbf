"""Which data centres are evacuated, by the items that the platform publishes.

The module does no I/O and reads no clock.
"""

import enum

__all__ = ["Change", "Evacuations"]


class Change(enum.Enum):
    """Effect of a published item on the evacuation of a data centre."""

    STARTED = "started"
    ENDED = "ended"
    # Still in force, although the platform does not publish it any more.
    UNCONFIRMED = "unconfirmed"


class Evacuations:
    """Evacuations in force, and those of them that are not confirmed.

    An evacuation is unconfirmed while the platform, restored from a copy, does
    not publish it. The operator may not have written it again yet, and a
    request to an evacuated data centre does more harm than an evacuation that
    ends late.

    >>> evacuations = Evacuations()
    >>> evacuations.adopt("dc1", is_published=True, is_restored=False)
    <Change.STARTED: 'started'>
    >>> evacuations.adopt("dc1", is_published=False, is_restored=True)
    <Change.UNCONFIRMED: 'unconfirmed'>
    >>> evacuations.end_unconfirmed(), evacuations.in_force
    (['dc1'], frozenset())
    """

    def __init__(self):
        self._in_force: set[str] = set()
        self._unconfirmed: set[str] = set()

    @property
    def in_force(self) -> frozenset[str]:
        """Data centres that are evacuated."""
        return frozenset(self._in_force)

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Those of them whose evacuation is not published now."""
        return frozenset(self._unconfirmed)

    def adopt(
        self, data_centre: str, *, is_published: bool, is_restored: bool
    ) -> Change | None:
        """Adopt that an evacuation was published or is not any more.

        Args:
            data_centre: The data centre.
            is_published: Whether the platform publishes its evacuation.
            is_restored: Whether the platform has just been restored, so that a
                missing item does not show that the operator has removed it.
        """
        if is_published:
            self._unconfirmed.discard(data_centre)
            if data_centre in self._in_force:
                return None
            self._in_force.add(data_centre)
            return Change.STARTED
        if data_centre not in self._in_force:
            return None
        if is_restored:
            self._unconfirmed.add(data_centre)
            return Change.UNCONFIRMED
        self._unconfirmed.discard(data_centre)
        self._in_force.discard(data_centre)
        return Change.ENDED

    def adopt_unconfirmed(self, data_centre: str) -> Change | None:
        """Adopt an unconfirmed evacuation that a peer still applies."""
        if data_centre in self._in_force:
            return None
        self._in_force.add(data_centre)
        self._unconfirmed.add(data_centre)
        return Change.STARTED

    def end_unconfirmed(self) -> list[str]:
        """End the unconfirmed evacuations and return their data centres."""
        ended = sorted(self._unconfirmed)
        self._in_force -= self._unconfirmed
        self._unconfirmed.clear()
        return ended
