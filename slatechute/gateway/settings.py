"""Settings of a gateway entry."""

import dataclasses

__all__ = ["GatewaySettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What an entry is told about itself and about the bounds it keeps.

    Attributes:
        entry_id: Name of this entry.
        data_centre: Its data centre.
        host: IP address of this host.
        callers_address: Where callers send requests; empty for none.
        readiness_address: Where readiness is asked; empty for none.
        directory_address: Where callers ask for addresses; empty for none.
        control_address: Where peers ask for what is published.
        peer_port: UDP port of all entries for messages between them.
        metrics_port: Port of the metrics page.
        seeds: Control addresses of some entries.
        platform_address: Address of the platform service.
        address_ttl_s: How long callers may keep an address answer.
        shutdown_timeout_s: Time from the stop signal to the forced end.
        retry_ratio: Arrivals beyond the first, as a share of the requests of a
            service, that the whole fleet may cause.
        probes_per_s: Probes that a target may get from the whole fleet.
        expired_target_hold_s: How long a target whose entry lapsed while the
            platform was away stays in use after the platform is back.
        max_connections: Connections of callers.
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
    shutdown_timeout_s: float = 6.0
    retry_ratio: float = 0.2
    probes_per_s: float = 10.0
    expired_target_hold_s: float = 2.0
    max_connections: int = 1500
