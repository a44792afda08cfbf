"""Account of the memory that callers make a process hold.

A limit for each request does not bound the process, as many may stop just short
of their end. All that is held for callers therefore counts together, and above
the limit the one that holds most of what can be given up does so.
"""

from collections.abc import Callable
from typing import Protocol

from slatechute import logs
from slatechute.util import steps

__all__ = ["Holder", "MemoryAccount"]

_LOG = logs.get_logger(__name__)


class Holder(Protocol):
    """Something that holds memory for a caller."""

    def give_way(self) -> None:
        """Give up what can be given up, and report it to the account."""
        ...


class MemoryAccount:
    """Bytes that are held for all callers of a process.

    Args:
        limit: Returns the largest number of bytes.
        on_given_up: Called each time that a holder has given way.

    Attributes:
        total: Bytes that are held.

    >>> account = MemoryAccount(lambda: 10)
    >>> class Body:
    ...     def give_way(self):
    ...         account.release(self)
    >>> small, large = Body(), Body()
    >>> account.hold(small, 3, 3)
    >>> account.hold(large, 8, 8)
    >>> account.total
    3
    """

    def __init__(
        self,
        limit: Callable[[], int],
        on_given_up: Callable[[], None] = lambda: None,
    ):
        self.total = 0
        self._limit = limit
        self._on_given_up = on_given_up
        self._is_making_room = False
        self._held_by_holder: dict[Holder, int] = {}
        self._yieldable_by_holder: dict[Holder, int] = {}

    def hold(self, holder: Holder, held: int, yieldable: int) -> None:
        """Set what a holder has.

        Args:
            holder: The holder.
            held: Bytes that it holds.
            yieldable: Those of them that it can give up.
        """
        self._set(holder, held, yieldable)
        if self.total <= self._limit() or self._is_making_room:
            return
        # Holders that give way report here again.
        self._is_making_room = True
        try:
            self._make_room()
        finally:
            self._is_making_room = False

    def _make_room(self) -> None:
        while self.total > self._limit() and self._yieldable_by_holder:
            largest = max(
                self._yieldable_by_holder, key=self._yieldable_by_holder.get
            )
            # Taken out first, so that a holder that keeps its memory is not
            # asked again and again.
            del self._yieldable_by_holder[largest]
            steps.run_step(_LOG, "give_way", largest.give_way)
            self._on_given_up()

    def release(self, holder: Holder) -> None:
        """Note that a holder has nothing any more."""
        self._set(holder, 0, 0)

    def _set(self, holder: Holder, held: int, yieldable: int) -> None:
        self.total += held - self._held_by_holder.pop(holder, 0)
        if held:
            self._held_by_holder[holder] = held
        if yieldable:
            self._yieldable_by_holder[holder] = yieldable
        else:
            self._yieldable_by_holder.pop(holder, None)
