"""Parts of the `/status` page for operators."""

from collections.abc import Iterable

from slatechute import dispatcher as dispatchers
from slatechute.configuration import spread
from slatechute.configuration import store
from slatechute.peers import peer as peers

__all__ = ["document_report", "peer_reports", "slot_report", "spread_report"]


def document_report(
    status: store.DocumentStatus, age_s: float | None
) -> dict[str, object]:
    """Return the active revision of a document and the rejected ones.

    Args:
        status: Status of the document.
        age_s: Time since the document was adopted, None if there is none.
    """
    return {
        "revision": status.revision or 0,
        "digest": status.digest,
        "newest_seen": status.highest_revision or 0,
        "age_s": age_s,
        "unconfirmed": status.unconfirmed,
        "source": status.source,
        "refused": [
            {
                "revision": item.revision,
                "source": item.source,
                "problems": list(item.problems),
            }
            for item in status.rejections
        ],
        "offers": dict(status.count_by_verdict),
    }


def peer_reports(known: Iterable[peers.Peer]) -> list[dict[str, object]]:
    """Return the peers with their active configuration revisions."""
    return [
        {
            "entry_id": peer.entry_id,
            "reachable": peer.reachable,
            "revision": peer.heartbeat.revision if peer.heartbeat else 0,
            "digest": peer.heartbeat.digest if peer.heartbeat else "",
        }
        for peer in known
    ]


def slot_report(dispatcher: dispatchers.Dispatcher) -> dict[str, int]:
    """Return slots granted by and held at this entry and waiting requests."""
    held, waiting = dispatcher.count_held_and_waiting()
    return {
        "granted": dispatcher.slots_in_use(),
        "held": held,
        "waiting": waiting,
    }


def spread_report(status: spread.SpreadStatus) -> dict[str, object]:
    """Return the state of document distribution at this entry."""
    return {
        "is_reader": status.is_reader,
        "neighbours": list(status.neighbours),
        "platform_failures": status.failures_by_name,
        "fetches": status.fetches,
        "faults": status.count_by_fault,
    }
