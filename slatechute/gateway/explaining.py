"""Explanations of where a request would be sent, as JSON for operators.

The module does no I/O and reads no clock.
"""

from collections.abc import Iterable
import dataclasses
import json
import math
import urllib.parse

from slatechute import errors
from slatechute.gateway import balancing
from slatechute.gateway import dialects
from slatechute.gateway import forwarding
from slatechute.gateway import http_server
from slatechute.gateway import loads
from slatechute.gateway import routing

__all__ = [
    "PATH",
    "Query",
    "RequestExplanation",
    "describe",
    "error_response",
    "error_text",
    "parse_query",
    "response",
]

# Path of explanations on the metrics port.
PATH = "/explain"


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """The request to explain.

    Attributes:
        host: Host header.
        path: Path and query of the request.
        method: HTTP method.
        deadline_ms: How long the caller waits, None if it does not say.
    """

    host: str
    path: str
    method: str = "GET"
    deadline_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestExplanation:
    """What would be decided on a request, and why.

    Attributes:
        route: Its route.
        service: Service that would run it.
        request: The request as it would be forwarded, None if it would be
            refused before.
        selection: Selection of a target, None if it would be refused before.
        error: Error of the refusal, None if it would not be refused.
    """

    route: routing.Route
    service: str
    request: forwarding.CallerRequest | None
    selection: balancing.Explanation | None
    error: errors.RequestError | None


def parse_query(request_target: str) -> Query:
    """Return the request that a query describes.

    Args:
        request_target: Path and query as received.

    Raises:
        ValueError: A parameter is missing, unknown, repeated or invalid.

    >>> parse_query("/explain?host=a.example&path=/x/%3Fq=1&deadline_ms=900")
    Query(host='a.example', path='/x/?q=1', method='GET', deadline_ms=900.0)
    """
    text = request_target.partition("?")[2]
    pairs = urllib.parse.parse_qsl(text, keep_blank_values=True)
    value_by_name = dict(pairs)
    if len(value_by_name) < len(pairs):
        raise ValueError("a parameter is repeated")
    unknown = value_by_name.keys() - {"host", "path", "method", "deadline_ms"}
    if unknown:
        raise ValueError(f"unknown parameter {min(unknown)!r}")
    if not value_by_name.get("host"):
        raise ValueError("the parameter 'host' is missing")
    path = value_by_name.get("path", "")
    if not path.startswith("/"):
        raise ValueError("the parameter 'path' must start with a slash")
    deadline_ms = None
    if "deadline_ms" in value_by_name:
        deadline_ms = float(value_by_name["deadline_ms"])
        if not 0 < deadline_ms < math.inf:
            raise ValueError("the parameter 'deadline_ms' must be above 0")
    return Query(
        value_by_name["host"],
        path,
        value_by_name.get("method", "GET").upper(),
        deadline_ms,
    )


def describe(
    explanation: RequestExplanation,
    unlisted: Iterable[dialects.PublishedTarget] = (),
) -> dict[str, object]:
    """Return an explanation as JSON values. Times are in ms.

    Args:
        explanation: The explanation.
        unlisted: Registered targets of the service that accept no new requests.
    """
    route, request = explanation.route, explanation.request
    selection, error = explanation.selection, explanation.error
    decision = selection.decision if selection else balancing.Decision.REFUSE
    candidates: list[dict[str, object]] = []
    if selection is not None:
        candidates += map(_describe_candidate, selection.candidates)
        candidates += map(_describe_unlisted, unlisted)
    return {
        "route": {
            "host": route.host,
            "prefix": route.prefix,
            "priority": route.priority,
            "repeatable": route.repeatable,
            "bulk": route.bulk,
            "objective_ms": route.objective_ms,
            "timeout_ms": route.timeout_ms,
            "max_attempts": route.max_attempts,
        },
        "service": explanation.service,
        "parts": [
            {
                "service": part.service,
                "weight": part.weight,
                "next": part.service == explanation.service,
            }
            for part in route.parts
        ],
        "objective_left_ms": request
        and _round(request.objective_ms - request.arrived_ms),
        "deadline_left_ms": request
        and _round(request.deadline_ms - request.arrived_ms),
        "is_caller_retry": request and request.is_caller_retry,
        "decision": decision,
        "reason": error and error.reason,
        "status": error and error.status,
        "retry_after_ms": error and error.retry_after_ms,
        "delay": selection and selection.delay,
        "wait_ms": selection and _round(selection.wait_ms),
        "requests_ahead": selection and selection.ahead,
        "target": selection and selection.load and selection.load.target.id,
        "candidates": candidates,
    }


def _describe_candidate(candidate: balancing.Candidate) -> dict[str, object]:
    load = candidate.load
    return _describe_target(load.target) | {
        "slots": load.slots,
        "occupancy": load.occupancy(),
        "expected_ms": _round(candidate.expected_ms),
        "cost_ms": _round(candidate.cost_ms),
        "idle_connection": candidate.has_connection,
        "through_peer": load.path.is_lost,
        "passed_over": candidate.obstacle,
    }


def _describe_unlisted(target: dialects.PublishedTarget) -> dict[str, object]:
    return _describe_target(target) | {
        "slots": target.slots,
        "occupancy": None,
        "expected_ms": None,
        "cost_ms": None,
        "idle_connection": False,
        "through_peer": False,
        "passed_over": loads.Obstacle.LEAVING,
    }


def _describe_target(target: dialects.PublishedTarget) -> dict[str, object]:
    return {
        "target": target.id,
        "address": target.address,
        "data_centre": target.data_centre,
    }


def _round(value: float | None) -> float | None:
    """Return a rounded time. JSON has no infinity, which becomes None."""
    return None if value is None or value == math.inf else round(value, 1)


def response(content: dict[str, object]) -> http_server.Response:
    """Return the response with an explanation."""
    return _json_response(200, content)


def error_response(status: int, text: str) -> http_server.Response:
    """Return the response to a query that has no explanation."""
    return _json_response(status, {"error": text})


def error_text(error: errors.RequestError) -> str:
    """Return why there is no explanation, in words."""
    if error.reason is errors.Reason.UNKNOWN_SERVICE:
        return "no route matches the host and path"
    if error.reason is errors.Reason.STARTING:
        return "the entry is not ready: it has no configuration yet"
    return str(error)


def _json_response(
    status: int, content: dict[str, object]
) -> http_server.Response:
    return http_server.Response(
        status,
        json.dumps(content).encode() + b"\n",
        [("Content-Type", "application/json")],
    )
