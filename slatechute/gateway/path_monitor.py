"""Which targets this entry reaches by itself, and which peers reach others.

The path to a target counts as lost when connects fail while a peer gets
responses of the target, or when several targets of a service fail and none of
it responds. When all of these are in one data centre, only the paths to that
data centre are. Trials end that belief. The module does no I/O and reads no
clock.
"""

from collections.abc import Callable, Iterable
import math

from slatechute import logs
from slatechute.gateway import balancing
from slatechute.gateway import loads

__all__ = ["ALL_SERVICES", "PathMonitor", "is_without_path"]

_LOG = logs.get_logger(__name__)

# Stands for all services in heartbeats.
ALL_SERVICES = "*"
# With more names, a heartbeat would exceed a datagram.
_MAX_LISTED_SERVICES = 12
# Targets of a service whose connects fail, without any response of the service
# since, until the paths to all of them count as lost. Fewer of them often fail
# together, as they share a host.
_MIN_FAILED_TARGETS = 3
# An entry is without path to a service once it has lost this share of the paths
# to its targets, and until less than the second share is lost.
_WITHOUT_PATH_SHARE = 0.5
_REGAINED_SHARE = 0.25
# Trials that begin at once, as a number and as a share of the lost paths.
# Direct sending resumes with each of them, not for all targets together.
_TRIALS_AT_ONCE = 4
_TRIAL_SHARE_AT_ONCE = 0.1


def is_without_path(services: Iterable[str], service: str) -> bool:
    """Return whether a heartbeat's services without path include a service.

    >>> is_without_path(["plans"], "plans"), is_without_path(["*"], "plans")
    (True, True)
    """
    return service in services or ALL_SERVICES in services


class PathMonitor:
    """Beliefs of this entry about its paths to all targets.

    Args:
        balancer: Has the targets.
        on_lost: Called with the load of a target to which the path is lost.
        on_services_change: Called when `services_without_path` has changed.
        has_relay: Returns whether a peer can send requests to a service.

    Attributes:
        services_without_path: Services of which this entry does not reach most
            targets; `ALL_SERVICES` if it reaches none, or if they are too many
            to list.
    """

    def __init__(
        self,
        balancer: balancing.Balancer,
        on_lost: Callable[[loads.TargetLoad], None],
        on_services_change: Callable[[], None],
        has_relay: Callable[[str], bool],
    ):
        self.services_without_path: list[str] = []
        self._balancer = balancer
        self._on_lost = on_lost
        self._on_services_change = on_services_change
        self._has_relay = has_relay
        self._responded_ms_by_service: dict[str, float] = {}
        self._lost: set[loads.TargetLoad] = set()
        self._without_path: set[str] = set()

    def _loads(self, service: str) -> list[loads.TargetLoad]:
        """Return the loads of the targets of a service that get requests."""
        return [
            load
            for load in self._balancer.pool(service).load_by_id.values()
            if not load.is_evacuated
        ]

    # Evidence.

    def add_target(self, load: loads.TargetLoad, now_ms: float) -> None:
        """Assume the path to a new target to be as those to its service."""
        if load.target.service in self._without_path:
            self._lose([load], now_ms, "service")
            load.path.trial_due_ms = now_ms

    def record_response(
        self, load: loads.TargetLoad, now_ms: float, *, is_new: bool
    ) -> None:
        """Note a response that this entry has got from a target itself.

        Args:
            load: Load of the target.
            now_ms: Current time.
            is_new: Whether the connection was opened for this exchange. Older
                ones may live on while no new one can be opened.
        """
        self._responded_ms_by_service[load.target.service] = now_ms
        if is_new and not load.path.is_lost:
            load.path.restore()

    def record_peer_response(
        self, load: loads.TargetLoad, answered_peer_ms: float
    ) -> None:
        """Note a response of a target to a peer.

        Args:
            load: Load of the target.
            answered_peer_ms: Clock time of the response.
        """
        path = load.path
        path.answered_peer_ms = max(path.answered_peer_ms, answered_peer_ms)
        if not path.is_lost and path.is_contradicted():
            self._lose([load], answered_peer_ms, "peer")

    def record_connect_failure(
        self, load: loads.TargetLoad, started_ms: float, now_ms: float
    ) -> bool:
        """Note a connect that failed.

        Args:
            load: Load of the target.
            started_ms: Clock time at which the connect began.
            now_ms: Current time.

        Returns:
            Whether the path is lost, so that it is no failure of the target.
        """
        path = load.path
        path.failed_ms = max(path.failed_ms, started_ms)
        if path.is_lost:
            return True
        if path.is_contradicted():
            self._lose([load], now_ms, "peer")
            return True
        service = load.target.service
        responded_ms = self._responded_ms_by_service.get(service, -math.inf)
        listed = self._loads(service)
        failed = [
            other for other in listed if other.path.failed_ms > responded_ms
        ]
        data_centre = load.target.data_centre
        if all(other.target.data_centre == data_centre for other in failed):
            # A crash of all targets of a data centre looks the same. The other
            # paths stay in use until a connect fails there as well.
            listed = [
                other
                for other in listed
                if other.target.data_centre == data_centre
            ]
        if len(failed) >= max(2, min(_MIN_FAILED_TARGETS, len(listed))):
            self._lose(
                [other for other in listed if not other.path.is_lost],
                now_ms,
                "service",
            )
        return path.is_lost

    def _lose(
        self, lost: list[loads.TargetLoad], now_ms: float, evidence: str
    ) -> None:
        for load in lost:
            self._lost.add(load)
            load.path.lose(now_ms)
            load.forgive_failures(now_ms)
            self._on_lost(load)
            _LOG.notice(
                "path_lost",
                target=load.target.id,
                service=load.target.service,
                evidence=evidence,
            )
        self.update()

    def restore(self, load: loads.TargetLoad, now_ms: float) -> None:
        """Note that a trial of a lost path has succeeded."""
        if not load.path.is_lost:
            return
        load.path.restore()
        self._lost.discard(load)
        _LOG.notice(
            "path_regained",
            target=load.target.id,
            service=load.target.service,
        )
        for other in self._lost:
            other.path.trial_due_ms = now_ms
        self.update()

    # Consequences.

    def take_due_trials(self, now_ms: float) -> list[loads.TargetLoad]:
        """Return the targets whose lost paths are to be tried now."""
        due = sorted(
            (
                load
                for load in self._lost
                if load.path.trial_due_ms <= now_ms
                and load.announced.paused_until_ms <= now_ms
                and not load.is_evacuated
            ),
            key=lambda load: load.path.trial_due_ms,
        )[: max(_TRIALS_AT_ONCE, int(_TRIAL_SHARE_AT_ONCE * len(self._lost)))]
        for load in due:
            load.path.start_trial(now_ms)
        return due

    def update(self) -> None:
        """Recompute what follows from the beliefs and from the peers' ones."""
        lost_by_service: dict[str, list[loads.TargetLoad]] = {}
        for load in list(self._lost):
            if not self._balancer.is_listed(load):
                self._lost.discard(load)
            elif not load.is_evacuated:
                # The path to an evacuated target is not tried again.
                lost_by_service.setdefault(load.target.service, []).append(load)
        lost_services = set()
        for service, lost in lost_by_service.items():
            is_blocked = not self._has_relay(service)
            for load in lost:
                load.path.is_blocked = is_blocked
            share = _WITHOUT_PATH_SHARE
            if service in self._without_path:
                share = _REGAINED_SHARE
            if len(lost) >= share * len(self._loads(service)):
                lost_services.add(service)
        if lost_services == self._without_path:
            return
        self._without_path = lost_services
        self.services_without_path = self._listed(lost_services)
        _LOG.notice(
            "services_without_path", services=self.services_without_path
        )
        self._on_services_change()

    def _listed(self, services: set[str]) -> list[str]:
        used = [
            name
            for name, pool in self._balancer.pool_by_service.items()
            if pool.has_target()
        ]
        if len(services) > _MAX_LISTED_SERVICES or (
            services and len(services) == len(used)
        ):
            return [ALL_SERVICES]
        return sorted(services)
