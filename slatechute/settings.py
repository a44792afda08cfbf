"""Settings of an entry, from flags and `SLATECHUTE_...` variables."""

import pydantic
import pydantic_settings

__all__ = ["EntrySettings"]


class EntrySettings(pydantic_settings.BaseSettings):
    """Settings of one entry, checked as a whole at start.

    Attributes:
        entry_id: Name of this entry; letters, digits, `-` and `_`.
        data_centre: Data centre of this host.
        address: Host and port for callers.
        peer_address: Host and port for links from other entries.
        admin_address: Host and port for operators.
        platform_url: Base URL of the platform service.
        fleet_key: Shared key that peers prove to each other.
        policy: How a slot is chosen; `owner` in production.
        group_size: Entries that share the targets of a service.
        fan_out: Dispatchers asked at first for a slot.
        spread_degree: Neighbours that documents are sent to.
        max_body_bytes: Largest request body.
        max_connections: Callers' connections accepted at a time.
        target_connections: Connections of this entry to one target.
        request_table_size: Request ids kept to recognise resends.
        drain_limit_ms: Longest time a planned stop waits for work in flight.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix="SLATECHUTE_", extra="forbid", frozen=True
    )

    entry_id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")
    data_centre: str = pydantic.Field(min_length=1, max_length=64)
    address: str = "127.0.0.1:8400"
    peer_address: str = "127.0.0.1:8401"
    admin_address: str = "127.0.0.1:8402"
    platform_url: str = "http://127.0.0.1:8500"
    fleet_key: pydantic.SecretStr = pydantic.Field(min_length=16)
    policy: str = "owner"
    group_size: int = pydantic.Field(default=24, ge=1, le=256)
    fan_out: int = pydantic.Field(default=3, ge=1, le=64)
    spread_degree: int = pydantic.Field(default=6, ge=1, le=64)
    max_body_bytes: int = pydantic.Field(default=1 << 20, ge=0, le=1 << 28)
    max_connections: int = pydantic.Field(default=10_000, ge=1)
    target_connections: int = pydantic.Field(default=9, ge=1, le=10_000)
    request_table_size: int = pydantic.Field(default=200_000, ge=1)
    drain_limit_ms: int = pydantic.Field(default=600_000, ge=0)
