"""Validated models of the merged configuration folder."""

import dataclasses
import fnmatch

import pydantic

__all__ = ["Configuration", "FleetRules", "RequestRule", "Route", "Service"]

# RFC 9110, section 9.2.2.
_IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRule:
    """Rule that applies to one request.

    Attributes:
        repeatable: Whether the request may be executed more than once.
        bulk: Whether the response is large.
        deadline_ms: Time limit when the caller sets none.
    """

    repeatable: bool
    bulk: bool
    deadline_ms: int


class FleetRules(_Model):
    """Rules for all services.

    Attributes:
        keep_ms: Time for which callers may cache an address response.
        retry_ratio: Retries allowed for each recent request.
        hedge_ratio: Hedged requests allowed for each recent request.
    """

    keep_ms: int = pydantic.Field(default=2000, ge=100, le=60_000)
    retry_ratio: float = pydantic.Field(default=0.1, ge=0, le=1)
    hedge_ratio: float = pydantic.Field(default=0.05, ge=0, le=1)


class Route(_Model):
    """Requests of a service that share a rule.

    Attributes:
        methods: HTTP methods; empty for all.
        path: Glob pattern of the path.
        repeatable: Whether they may be executed more than once; None if this
            depends on the method.
        bulk: Whether the responses are large.
        deadline_ms: Overrides the deadline of the service.
    """

    methods: list[str] = []
    path: str = pydantic.Field(default="*", min_length=1, max_length=512)
    repeatable: bool | None = None
    bulk: bool = False
    deadline_ms: int | None = pydantic.Field(default=None, ge=1, le=600_000)

    def matches(self, method: str, path: str) -> bool:
        """Return whether the route matches a request."""
        if self.methods and method not in self.methods:
            return False
        return fnmatch.fnmatchcase(path, self.path)

    @property
    def literal_length(self) -> int:
        """Length of the pattern before its first wildcard."""
        wildcard_offsets = [self.path.find(wildcard) for wildcard in "*?["]
        return min(
            [offset for offset in wildcard_offsets if offset >= 0],
            default=len(self.path),
        )


# A shared instance, as creating a model takes longer than the rest of
# `Service.rule_for`.
_NO_ROUTE = Route()


class Service(_Model):
    """One service and its targets.

    Attributes:
        slots: Requests that a target executes concurrently.
        connections: Connections that a target accepts.
        deadline_ms: Default time limit of a request.
        queue_length: Requests that may be queued at one entry.
        routes: Routes by name.
    """

    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(default=256, ge=1, le=100_000)
    deadline_ms: int = pydantic.Field(default=2000, ge=1, le=600_000)
    queue_length: int = pydantic.Field(default=256, ge=0, le=100_000)
    routes: dict[str, Route] = {}

    def rule_for(self, method: str, path: str) -> RequestRule:
        """Return the rule of the matching route with the longest prefix.

        >>> Service(slots=2).rule_for("POST", "/deposit").repeatable
        False
        """
        best: Route | None = None
        for name in sorted(self.routes):
            route = self.routes[name]
            if route.matches(method, path) and (
                best is None or route.literal_length > best.literal_length
            ):
                best = route
        route = best or _NO_ROUTE
        repeatable = route.repeatable
        if repeatable is None:
            repeatable = method in _IDEMPOTENT_METHODS
        deadline_ms = route.deadline_ms or self.deadline_ms
        return RequestRule(repeatable, route.bulk, deadline_ms)


class Configuration(_Model):
    """Content of the merged folder."""

    fleet: FleetRules = FleetRules()
    services: dict[str, Service] = {}
