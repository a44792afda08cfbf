"""Factories of small objects for tests of the gateway."""

from collections.abc import Mapping

from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import path_monitor
from slatechute.gateway import routing
from slatechute.gateway import settings


def target(target_id: str = "t1", **fields) -> dialects.PublishedTarget:
    values = {
        "incarnation": 1,
        "sequence": 1,
        "service": "s",
        "address": "127.0.0.1:1",
        "data_centre": "dc1",
        "slots": 2,
        "leaving": False,
    }
    return dialects.PublishedTarget(target_id, **(values | fields))


def route(**fields) -> routing.Route:
    values = {
        "host": "h",
        "prefix": "/a/",
        "parts": (routing.ServicePart("s", 1.0),),
        "repeatable": True,
        "timeout_ms": 1000.0,
        "objective_ms": 200.0,
        "max_attempts": 2,
    }
    return routing.Route(**(values | fields))


def dispatch_request(
    now_ms: float = 0.0, **fields
) -> balancing.DispatchRequest:
    values = {
        "route": route(),
        "service": "s",
        "arrived_ms": now_ms,
        "objective_ms": now_ms + 200,
        "deadline_ms": now_ms + 800,
    }
    return balancing.DispatchRequest(**(values | fields))


def gateway_settings(**fields) -> settings.GatewaySettings:
    values = {
        "entry_id": "e1",
        "data_centre": "dc1",
        "host": "127.0.0.1",
        "callers_address": "127.0.0.1:0",
        "readiness_address": "",
        "directory_address": "",
        "control_address": "127.0.0.1:9",
        "peer_port": 0,
        "metrics_port": 0,
        "seeds": (),
        "platform_address": "127.0.0.1:1",
        "retry_ratio": 0.2,
    }
    return settings.GatewaySettings(**(values | fields))


def paths(
    balancer: balancing.Balancer, *, has_relay: bool = False
) -> path_monitor.PathMonitor:
    """Return a monitor of paths whose changes are not reported."""
    return path_monitor.PathMonitor(
        balancer, lambda load: None, lambda: None, lambda service: has_relay
    )


class PlainDialect:
    """Minimal dialect with fixed headers.

    Keys of published items are `t/ID` for targets, `c` for routes and `e/NAME`
    for evacuations.
    """

    def __init__(self):
        self.target_by_key: dict[str, dialects.PublishedTarget | None] = {}
        self.table_by_revision: dict[int, routing.RoutingTable | None] = {}

    def request_id(self, headers: Mapping[str, str]) -> str:
        return headers.get("id", "")

    def deadline_ms(self, headers: Mapping[str, str]) -> float | None:
        text = headers.get("deadline")
        return None if text is None else float(text)

    def is_reserved_header(self, name: str) -> bool:
        return name == "deadline"

    def target_headers(
        self, target_id: str, remaining_ms: float
    ) -> list[tuple[str, str]]:
        return [("deadline", str(int(remaining_ms))), ("expect-id", target_id)]

    def parse_response(
        self, status: int, headers: Mapping[str, str]
    ) -> dialects.ResponseMetadata:
        limit = headers.get("limit")
        load = headers.get("load")
        return dialects.ResponseMetadata(
            request_id=headers.get("id", ""),
            signed="signed" in headers,
            not_run="not-run" in headers or status == 421,
            reads_as_not_run=status in (408, 421, 429, 503),
            wrong_target=status == 421,
            load=dialects.Load(*map(int, load.split(","))) if load else None,
            announcement=dialects.Announcement(
                float(limit) if limit else None,
                float(headers["pause"]) if "pause" in headers else None,
                "leaving" in headers,
                ("limit",) if "invalid" in headers else (),
                float(headers["cold"]) if "cold" in headers else None,
            ),
        )

    def refusal_headers(self, retry_after_s: float) -> dict[str, str]:
        return {"Retry-After": f"{retry_after_s:.3f}"}

    def encode_addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        return repr((addresses, ttl_s)).encode()

    def is_target_key(self, key: str) -> bool:
        return key.startswith("t/")

    def evacuated_data_centre(self, key: str) -> str | None:
        return key.removeprefix("e/") if key.startswith("e/") else None

    def parse_configuration(self, item: dialects.PublishedItem):
        return self.table_by_revision.get(item.revision)

    def parse_target(self, item: dialects.PublishedItem):
        return self.target_by_key.get(item.value.decode())
