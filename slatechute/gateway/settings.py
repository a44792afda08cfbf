"""Settings of a gateway entry."""

import dataclasses
import math

from slatechute import errors

__all__ = ["GatewaySettings", "HedgingSettings"]

# Beyond this rate the share is the only effective limit.
_MAX_HEDGES_PER_S = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class HedgingSettings:
    """Limits of the hedges of an entry.

    Attributes:
        share: Hedges of a service as a share of its requests, from 0 to 1; 0
            disables hedges.
        max_per_s: Hedges of a service that the entry sends in any second, from
            0 to 1000; a value below 1 is one in its reciprocal.

    Raises:
        errors.SettingsError: A value is out of range.
    """

    share: float = 0.05
    max_per_s: float = 20.0

    def __post_init__(self):
        """Check the values."""
        problems = [
            f"hedging.{name} must be from 0 to {highest:g}, not {value}"
            for name, value, highest in (
                ("share", self.share, 1.0),
                ("max_per_s", self.max_per_s, _MAX_HEDGES_PER_S),
            )
            if not (math.isfinite(value) and 0 <= value <= highest)
        ]
        if problems:
            raise errors.SettingsError("; ".join(problems))


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Identity, addresses and limits of a gateway entry.

    Attributes:
        entry_id: Name of this entry.
        data_centre: Data centre of this entry.
        host: IP address of this host.
        callers_address: Address for requests of callers; empty for none.
        readiness_address: Address for readiness checks; empty for none.
        directory_address: Address where callers request the addresses of
            entries; empty for none.
        control_address: Address where peers request the published items.
        peer_port: UDP port of all entries for messages between them.
        metrics_port: Port of the metrics page.
        seeds: Control addresses of some entries.
        platform_address: Address of the platform service.
        address_ttl_s: How long callers may cache a list of addresses.
        max_silence_s: An entry without a heartbeat for longer is not named
            to callers.
        shutdown_timeout_s: Time from the stop signal until the process is
            killed.
        retry_ratio: Fleet-wide limit of the retries and hedges that reach a
            target, as a share of the requests of a service.
        retry_slack: Fleet-wide number of retries and hedges of a service that
            may reach a target in any window, in addition to that share. The
            entries share it on demand; with 0 they do not.
        retry_window_s: Length of that window.
        probes_per_s: Fleet-wide limit of the probes of one target.
        expired_target_hold_s: How long a target stays in use after the platform
            is available again, if its registration expired during the outage.
            Also how long a target is paused when another target uses its
            address.
        max_connections: Limit of open connections from callers.
        max_descriptors: Limit of open descriptors of the process.
        memory_mb: Memory that the process may use, in MB.
        processor_share: Processor time that the entry may use, in units of a
            core of usual speed. Hosts with more of it serve callers first.
        link_mbps: Bandwidth of the network link of the host, in Mbit/s.
        is_first_start: Whether the whole fleet starts for the first time.
        hedging: Limits of hedges. None for hedges within the retry budget only.
    """

    entry_id: str
    data_centre: str
    host: str
    callers_address: str
    readiness_address: str
    directory_address: str
    control_address: str
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    platform_address: str
    address_ttl_s: float = 2.0
    max_silence_s: float = 5.5
    shutdown_timeout_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    probes_per_s: float = 10.0
    expired_target_hold_s: float = 2.0
    max_connections: int = 1500
    max_descriptors: int = 4096
    memory_mb: float = 300.0
    processor_share: float = 1.0
    link_mbps: float = 1_000.0
    is_first_start: bool = False
    hedging: HedgingSettings | None = None
