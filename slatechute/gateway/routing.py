"""Routing of requests to services by host and path prefix."""

from collections.abc import Iterable
import dataclasses

__all__ = ["Limits", "Route", "RoutingTable", "Service", "ServicePart"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePart:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests of a host and path prefix.

    Attributes:
        host: Host name in lower case.
        prefix: Path prefix, with a slash at both ends.
        parts: Services that run the requests, with weights.
        repeatable: Whether requests are idempotent, so that one may run more
            than once.
        bulk: Whether responses are large.
        timeout_ms: Longest time until the final response.
        objective_ms: Time within which a response has its full value.
        max_attempts: Number of targets that one request may be sent to.
        priority: Priority, 0 is the highest.
    """

    host: str
    prefix: str
    parts: tuple[ServicePart, ...]
    repeatable: bool
    bulk: bool = False
    timeout_ms: float = 30_000.0
    objective_ms: float = 1_000.0
    max_attempts: int = 1
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service.

    Attributes:
        name: Its name.
        health_path: Path at which a target reports its health and load.
        connections: Number of connections that one target accepts in total.
        cold_s: How long a target is cold after it starts under traffic.
        cold_per_s: Requests a second that a cold target takes from all entries
            together, 0 if there is no such limit.
    """

    name: str
    health_path: str
    connections: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size limits and timeouts of caller connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """Routes and services of one version of the configuration.

    Attributes:
        version: Version number, which increases with each change.
        services_by_name: All services.
        limits: Limits of caller connections.

    >>> part = (ServicePart("plans", 1.0),)
    >>> table = RoutingTable(1, [Route("a.example", "/x/", part, True)])
    >>> table.match("A.example:80", "/x/y?q=/z/").prefix
    '/x/'
    >>> table.match("a.example", "/y/") is None
    True
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service] = (),
        limits: Limits | None = None,
    ):
        self.version = version
        self.services_by_name = {service.name: service for service in services}
        self.limits = limits or Limits()
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._routes_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def match(self, host: str, request_target: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        Args:
            host: Host header, with or without a port.
            request_target: Path and query as received.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        by_prefix = self._routes_by_host.get(name.lower())
        if by_prefix is None:
            return None
        path = request_target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [
            route
            for by_prefix in self._routes_by_host.values()
            for route in by_prefix.values()
        ]
