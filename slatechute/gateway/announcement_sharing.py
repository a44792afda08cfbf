"""Reports between entries of what targets announce about themselves."""

from collections.abc import Callable

from slatechute import messages
from slatechute.gateway import balancing
from slatechute.gateway import loads
from slatechute.gateway import peers as peer_groups
from slatechute.util import clock as clocks

__all__ = ["AnnouncementSharing"]


class AnnouncementSharing:
    """Reports new announcements to the peers and adopts those of peers.

    Args:
        clock: Monotonic clock.
        on_leaving: Called with the load of a target that leaves.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        on_leaving: Callable[[loads.TargetLoad], None] = lambda load: None,
    ):
        self.group: peer_groups.PeerGroup | None = None
        self.balancer: balancing.Balancer | None = None
        self._clock = clock
        self._on_leaving = on_leaving

    def attach(
        self, group: peer_groups.PeerGroup, balancer: balancing.Balancer
    ) -> None:
        """Set the group of the peers and the balancer to update."""
        self.group = group
        self.balancer = balancer

    def report(self, load: loads.TargetLoad) -> None:
        """Apply and report an announcement that this entry has observed."""
        if load.announced.is_leaving:
            self._remove(load)
        self.report_to(load, self.group.live_peers())

    def report_to(
        self, load: loads.TargetLoad, peers: list[peer_groups.Peer]
    ) -> None:
        """Report to some peers what a target has announced."""
        announced = load.announced
        now_ms = self._clock.now_ms()
        report = messages.AnnouncementReport(
            load.target.id,
            load.target.incarnation,
            announced.rate_limit_per_s,
            now_ms - announced.observed_ms,
            announced.is_leaving,
            max(0.0, announced.paused_until_ms - now_ms),
            load.cold.report_ms(now_ms) if load.has_cold_limit else None,
        )
        self.group.broadcast(report, peers)

    def handle_report(
        self, peer: peer_groups.Peer, message: messages.AnnouncementReport
    ) -> None:
        """Adopt what a peer has observed."""
        load = self.balancer.load_by_id.get(message.target_id)
        if load is None or load.target.incarnation != message.incarnation:
            return
        if message.is_leaving:
            load.announced.adopt_leaving(peer.presence.entry_id)
            self._remove(load)
            return
        load.announced.adopt_pause(message.pause_ms, self._clock.now_ms())
        self.adopt_rate_limit(peer, load, message.limit_per_s, message.age_ms)
        self.adopt_cold(peer, load, message.cold_ms)

    def adopt_cold(
        self,
        peer: peer_groups.Peer,
        load: loads.TargetLoad,
        cold_ms: float | None,
    ) -> None:
        """Adopt for how long a target is cold as a peer knows it."""
        if cold_ms is None or not load.has_cold_limit:
            return
        now_ms = self._clock.now_ms()
        if load.cold.adopt(cold_ms, now_ms, peer.presence.entry_id):
            self.balancer.dispatch_waiting(load.target.service, now_ms)

    def adopt_rate_limit(
        self,
        peer: peer_groups.Peer,
        load: loads.TargetLoad,
        limit_per_s: float | None,
        age_ms: float,
    ) -> None:
        """Adopt a rate limit as a peer knows it."""
        now_ms = self._clock.now_ms()
        has_changed = load.announced.adopt_rate_limit(
            limit_per_s, now_ms - max(0.0, age_ms), peer.presence.entry_id
        )
        if has_changed and limit_per_s is None:
            self.balancer.dispatch_waiting(load.target.service, now_ms)

    def _remove(self, load: loads.TargetLoad) -> None:
        """Send no further request to a leaving target.

        It is added again only with another registration of the same id, as of
        a new start of its process.
        """
        if self.balancer.is_listed(load):
            self.balancer.remove_target(load.target.id)
            self._on_leaving(load)
