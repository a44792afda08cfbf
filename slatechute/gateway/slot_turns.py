"""Order in which entries with waiting requests take a free slot.

All entries of a data centre learn of a free slot at nearly the same time. If
each of them sent a waiting request, a target with one free slot would get
several. Rendezvous hashing gives each target another order of the entries. The
module does no I/O and reads no clock.
"""

from collections.abc import Iterable

from slatechute import ownership

__all__ = ["MAX_DELAY_MS", "delay_ms"]

# The first entry has sent its request, and the others know of it, within this
# time. It is a few times the network delay in a data centre.
_TURN_MS = 2.0
# Entries that are ahead may not have a request for this target.
MAX_DELAY_MS = 12.0


def delay_ms(target_id: str, entry_id: str, waiting: Iterable[str]) -> float:
    """Return how long an entry leaves a free slot to others, in ms.

    Args:
        target_id: Id of the target.
        entry_id: Id of the entry, which has waiting requests.
        waiting: Ids of the peers with waiting requests.

    >>> sorted([delay_ms("t", "e1", ["e2"]), delay_ms("t", "e2", ["e1"])])
    [0.0, 2.0]
    """
    own = ownership.weight(target_id, entry_id)
    ahead = sum(ownership.weight(target_id, peer) > own for peer in waiting)
    return min(MAX_DELAY_MS, ahead * _TURN_MS)
