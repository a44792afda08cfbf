"""Command `slatechute explain-request`."""

import asyncio
import json
from typing import Any, ClassVar
import urllib.parse

from cleo import helpers
from cleo.io.inputs import argument
from cleo.io.inputs import option

from slatechute import errors
from slatechute.commands import base
from slatechute.util import addresses

__all__ = ["ExplainRequestCommand"]

_PATH = "/explain"
# An explanation takes 250 bytes for each target.
_MAX_RESPONSE_BYTES = 4 << 20
# Well above the time of a busy entry; a frozen host should not keep the
# operator waiting.
_TIMEOUT_S = 3.0
_MAX_ERROR_LENGTH = 200
# Fields that the text output needs. Entries of later builds may send more.
_FIELDS = frozenset(
    {
        "candidates",
        "data_centre",
        "deadline_left_ms",
        "decision",
        "delay",
        "entry",
        "is_caller_retry",
        "objective_left_ms",
        "parts",
        "reason",
        "requests_ahead",
        "retry_after_ms",
        "route",
        "service",
        "state",
        "status",
        "target",
        "version",
        "wait_ms",
    }
)


class _QueryError(Exception):
    """An entry gave no explanation."""


class ExplainRequestCommand(base.Command):
    """Shows where a gateway entry would send a request."""

    name = "explain-request"
    description = (
        "Show where a gateway entry would send a request now, and why."
    )
    help = """\
Asks a running gateway entry, at its metrics port, what it would decide on a
request that arrives now: route, service, target, the other targets with the
reason why each of them is passed over, or why the request would wait or be
refused. Nothing is sent or counted.

  slatechute explain-request --entry 10.0.0.1:9100 --host shop.example /cart/

Exit status: 0 when the entry has explained the request, also if it would refuse
it; 1 when the entry is not reachable or not ready or has no route for the
request; 2 when an argument cannot be used."""
    arguments: ClassVar[list[argument.Argument]] = [
        helpers.argument("path", "Path of the request, with its query if any.")
    ]
    options: ClassVar[list[option.Option]] = [
        helpers.option(
            "entry", None, "Metrics address of the entry, IP:port.", flag=False
        ),
        helpers.option("host", None, "Host of the request.", flag=False),
        helpers.option(
            "method",
            None,
            "HTTP method of the request (default GET).",
            flag=False,
            default="GET",
        ),
        helpers.option(
            "deadline-ms",
            None,
            "How long the caller waits (default: not stated).",
            flag=False,
        ),
        helpers.option("json", None, "Print the answer as JSON."),
    ]

    def handle(self) -> int:
        """Query the entry and print the explanation.

        Raises:
            errors.SettingsError: An argument cannot be used.
        """
        address = _parse_address(self.option("entry"))
        query = self._query()
        try:
            status, body = asyncio.run(_fetch(address, query))
            explanation = _parse_explanation(status, body)
        except _QueryError as error:
            self.print_error(f"{address}: {error}")
            return base.ExitStatus.NEGATIVE
        if self.option("json"):
            self.print_json(explanation)
        else:
            self._print_explanation(explanation)
        return base.ExitStatus.OK

    def _query(self) -> dict[str, str]:
        path, host = self.argument("path"), self.option("host")
        if not host:
            raise errors.SettingsError("--host is missing")
        if not path.startswith("/"):
            raise errors.SettingsError("PATH must start with a slash")
        query = {"host": host, "path": path, "method": self.option("method")}
        deadline_ms = self.option("deadline-ms")
        if deadline_ms is not None:
            if not deadline_ms.isdecimal() or int(deadline_ms) < 1:
                raise errors.SettingsError(
                    "--deadline-ms must be a number of at least 1"
                )
            query["deadline_ms"] = deadline_ms
        return query

    def _print_explanation(self, explanation: dict[str, Any]) -> None:
        route = explanation["route"]
        flags = ["repeatable" if route["repeatable"] else "not repeatable"]
        if route["bulk"]:
            flags.append("bulk")
        rows = [
            [
                "entry",
                f"{explanation['entry']} in {explanation['data_centre']}, "
                f"{explanation['state']}, configuration "
                f"{explanation['version']}",
            ],
            [
                "route",
                f"{route['host']}{route['prefix']}, priority "
                f"{route['priority']}, {', '.join(flags)}, objective "
                f"{_format_ms(route['objective_ms'])}, timeout "
                f"{_format_ms(route['timeout_ms'])}",
            ],
            ["service", _format_service(explanation)],
            ["request", _format_request(explanation)],
            ["decision", _format_decision(explanation)],
        ]
        if explanation["target"] is not None:
            rows.append(["target", explanation["target"]])
        self.print_columns(rows)
        candidates = explanation["candidates"]
        if not candidates:
            return
        self.print("")
        self.print_columns(
            [
                [
                    "TARGET",
                    "DATA CENTRE",
                    "EXPECTED",
                    "COST",
                    "SLOTS",
                    "OCCUPIED",
                    "PASSED OVER",
                ],
                *map(_format_candidate, candidates),
            ]
        )


def _parse_address(text: str | None) -> str:
    if not text:
        raise errors.SettingsError("--entry is missing")
    try:
        return addresses.join_address(*addresses.split_address(text))
    except ValueError as error:
        raise errors.SettingsError(f"--entry {error}") from None


async def _fetch(address: str, query: dict[str, str]) -> tuple[int, bytes]:
    """Return the HTTP status and the body of the answer of an entry.

    Raises:
        _QueryError: There is no answer; the message has the reason.
    """
    import aiohttp
    import yarl

    url = f"http://{address}{_PATH}?{urllib.parse.urlencode(query)}"
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(
                yarl.URL(url, encoded=True), allow_redirects=False
            ) as response,
        ):
            body = bytearray()
            async for chunk in response.content.iter_chunked(1 << 16):
                body += chunk
                if len(body) > _MAX_RESPONSE_BYTES:
                    raise _QueryError("the response is too long")
    except TimeoutError:
        raise _QueryError(f"no answer within {_TIMEOUT_S:g} s") from None
    except (aiohttp.ClientError, OSError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise _QueryError(
            f"not reachable: {reason or type(error).__name__}"
        ) from None
    return response.status, bytes(body)


def _parse_explanation(status: int, body: bytes) -> dict[str, Any]:
    """Return the explanation in an answer.

    Raises:
        _QueryError: There is none; the message has the reason.
    """
    try:
        content = json.loads(body)
    except ValueError:
        content = None
    if not isinstance(content, dict):
        # The metrics port of earlier builds answers every path with metrics.
        raise _QueryError(
            "the response is not an explanation; is it the metrics port of a "
            "gateway entry, and of a build with explanations?"
        )
    if status != 200:
        text = str(content.get("error") or f"responded with status {status}")
        raise _QueryError(text[:_MAX_ERROR_LENGTH])
    missing = _FIELDS - content.keys()
    if missing:
        raise _QueryError(f"the explanation lacks {', '.join(sorted(missing))}")
    return content


def _format_service(explanation: dict[str, Any]) -> str:
    parts = explanation["parts"]
    if len(parts) == 1:
        return explanation["service"]
    weights = ", ".join(
        f"{part['service']} {part['weight']:g}" for part in parts
    )
    return f"{explanation['service']} is next (weights: {weights})"


def _format_request(explanation: dict[str, Any]) -> str:
    text = (
        f"objective in {_format_ms(explanation['objective_left_ms'])}, "
        f"deadline in {_format_ms(explanation['deadline_left_ms'])}"
    )
    if explanation["is_caller_retry"]:
        text += ", a retry by its deadline"
    return text


def _format_decision(explanation: dict[str, Any]) -> str:
    decision, delay = explanation["decision"], explanation["delay"]
    details = []
    if explanation["reason"] is not None:
        details.append(
            f"{explanation['reason']} (HTTP status {explanation['status']}), "
            f"Retry-After {_format_ms(explanation['retry_after_ms'])}"
        )
    if delay is not None:
        details.append(delay)
        details.append(
            f"expected waiting time {_format_ms(explanation['wait_ms'])} "
            f"behind {explanation['requests_ahead']} requests"
        )
    return f"{decision}: {'; '.join(details)}" if details else decision


def _format_candidate(candidate: dict[str, Any]) -> list[str]:
    notes = [candidate["passed_over"] or "selected"]
    if candidate["through_peer"]:
        notes.append("through a peer")
    if candidate["idle_connection"]:
        notes.append("idle connection")
    return [
        candidate["target"],
        candidate["data_centre"],
        _format_ms(candidate["expected_ms"]),
        _format_ms(candidate["cost_ms"]),
        str(candidate["slots"]),
        "-" if candidate["occupancy"] is None else str(candidate["occupancy"]),
        ", ".join(notes),
    ]


def _format_ms(value: float | None) -> str:
    return "-" if value is None else f"{value:g} ms"
