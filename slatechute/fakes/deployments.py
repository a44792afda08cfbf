"""Configuration and current sizes of the two deployments."""

import dataclasses

__all__ = ["DEPLOYMENTS", "Deployment", "ServiceSize"]

_CASES = """\
[fleet]
keep_ms = 2000

[services.case-record]
slots = 6
connections = 220
deadline_ms = 3000

[services.case-record.routes.bundle]
methods = ["GET"]
path = "/bundles/*"
bulk = true
deadline_ms = 60000

[services.award]
slots = 6
connections = 220
deadline_ms = 5000

[services.filings]
slots = 6
connections = 220
deadline_ms = 5000
"""

_KITS = """\
[fleet]
keep_ms = 2000

[services.plans]
slots = 2
connections = 260
deadline_ms = 3000

[services.kit]
slots = 2
connections = 260
deadline_ms = 5000

[services.drawings]
slots = 2
connections = 260
deadline_ms = 60000

[services.drawings.routes.pack]
methods = ["GET"]
path = "/packs/*"
bulk = true

[services.survey]
slots = 2
connections = 260
deadline_ms = 5000
"""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSize:
    """One service of a deployment.

    Attributes:
        name: Service name.
        instances: Number of targets.
        slots: Slots of each target.
        connections: Connections that each target accepts.
        path: Path of a typical request.
        method: Its HTTP method.
    """

    name: str
    instances: int
    slots: int
    connections: int
    path: str
    method: str = "GET"


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment with its configuration folder.

    Attributes:
        name: Name of the deployment.
        text_by_file: Contents of the configuration files by name.
        services: Its services; the first one is the busiest.
        data_centres: Data centres of targets and entries.
        entries: Number of entry hosts.
    """

    name: str
    text_by_file: dict[str, str]
    services: tuple[ServiceSize, ...]
    data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3", "dc4")
    entries: int = 18


DEPLOYMENTS = {
    "cases": Deployment(
        "cases",
        {"10-services.toml": _CASES},
        (
            ServiceSize("case-record", 15, 6, 220, "/cases/17"),
            ServiceSize("award", 8, 6, 220, "/notices", "POST"),
            ServiceSize("filings", 8, 6, 220, "/filings", "POST"),
        ),
    ),
    "kits": Deployment(
        "kits",
        {"10-services.toml": _KITS},
        (
            ServiceSize("plans", 20, 2, 260, "/plans/3"),
            ServiceSize("kit", 9, 2, 260, "/reservations", "POST"),
            ServiceSize("drawings", 8, 2, 260, "/packs/4"),
            ServiceSize("survey", 8, 2, 260, "/bookings", "POST"),
        ),
    ),
}
