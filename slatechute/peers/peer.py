"""State of the peers of an entry."""

import dataclasses
import enum

from slatechute import messages

__all__ = ["Peer", "PeerState"]


class PeerState(enum.StrEnum):
    """State of the link with a peer."""

    CONNECTING = "connecting"
    READY = "ready"


@dataclasses.dataclass(slots=True)
class Peer:
    """State of a peer; read-only outside of this package.

    Attributes:
        entry_id: Entry id of the peer.
        listed: Whether the last call of `set_peers` included it.
        state: State of the link.
        boot_id: Id of its last known process start, empty before the first
            link.
        data_centre: Data centre of the peer.
        address: Address for callers.
        peer_address: Address for peer links.
        admin_address: Address for operators.
        heartbeat: Last heartbeat, or None; it stays valid while the link is
            alive, as unchanged heartbeats are not sent again.
        clock_offset_ms: Clock of the peer minus the local clock; too low by the
            duration of the handshake.
        last_frame_ms: Time of the last frame, by the local clock.
    """

    entry_id: str
    listed: bool = False
    state: PeerState = PeerState.CONNECTING
    boot_id: str = ""
    data_centre: str = ""
    address: str = ""
    peer_address: str = ""
    admin_address: str = ""
    heartbeat: messages.Heartbeat | None = None
    clock_offset_ms: float = 0.0
    last_frame_ms: float = 0.0

    @property
    def reachable(self) -> bool:
        """Whether there is a live, authenticated link."""
        return self.state is PeerState.READY
