"""Names that leave the process: a rename inside must not change them.

Peers of another version read frames, operators and their tools read metrics,
logs, status pages and the command line.
"""

import ast
import asyncio
import dataclasses
import io
import json
import pathlib

import aiohttp
import cbor2
import pytest

from slatechute import commands
from slatechute import logs
from slatechute import messages
from slatechute import metrics
from slatechute.fakes import deployments
from slatechute.fakes import local_fleet
from tests import waiting
from tests.gateway import builders
from tests.gateway import scripted_target
from tests.gateway import small_fleet

_ROOT = pathlib.Path(__file__).parent.parent

# One frame of each message, by tag, as hexadecimal digits.
_FRAME_BY_TAG = {
    1: "8b010203627334627335627336627337627338627339410afb4027000000000000",
    2: "82024102",
    3: "8503f581836173010204627335",
    4: "880402627333fb4012000000000000fb4016000000000000f581626937f5",
    5: "85050203627334fb4016000000000000",
    6: "820602",
    7: "830702627333",
    8: "860802627333627334fb4016000000000000fb401a000000000000",
    9: "820981626932",
    10: "830a81626932a1626b3303",
    11: "840b627332627333fb4012000000000000",
    12: "850c627332627333fb4012000000000000fb4016000000000000",
    13: "860d62733203a1626b34627634f5627336",
    14: "840e6273320381626934",
    15: "840f62733203a1626b34627634",
    16: "901062733262733362733462733562733607627338090afb402700000000"
    "0000f4fb3fe0000000000000fb3fd00000000000008162733901",
    17: "821181626932",
    18: "88126273326273330481876174010203040506a1626b3606f509",
    19: "83136265326162",
    20: "85140309fb3ff80000000000008283616105417883616209f6",
    21: "881562627307fb4012000000000000fb401c000000000000f5fb40220000"
    "00000000fb400c000000000000",
    22: "861662627303fb4012000000000000fb401c000000000000fb400c000000000000",
    23: "831762627303",
    24: "89181862733203fb4012000000000000627335f56273366273378182627338627339",
    25: "851819627332038182627334627335f5",
    26: "83181a62733203",
    27: "83181b62733203",
}

# Frames of earlier versions, which lack the fields that were added since.
_OLD_FRAME_BY_TAG = {
    16: "8b1062733262733362733462733562733607627338090afb4027000000000000",
    18: "87126273326273330481876174010203040506a1626b3606f5",
    21: "871562627307fb4012000000000000fb401c000000000000f5fb4022000000000000",
    22: "851662627303fb4012000000000000fb401c000000000000",
}

# Kind and labels by metric.
_METRICS = {
    "slatechute_added_latency_seconds": ("histogram",),
    "slatechute_cold_requests": ("counter",),
    "slatechute_cold_targets": ("gauge",),
    "slatechute_configuration_age_seconds": ("gauge",),
    "slatechute_configuration_revision": ("gauge",),
    "slatechute_connect_failures": ("counter",),
    "slatechute_denied_tokens": ("counter",),
    "slatechute_duplicates_refused": ("counter",),
    "slatechute_evacuated_data_centres": ("gauge",),
    "slatechute_evacuated_targets": ("gauge",),
    "slatechute_evacuation_age_seconds": ("gauge",),
    "slatechute_hedge_results": ("counter", "result"),
    "slatechute_hedge_seconds": ("counter",),
    "slatechute_hedges": ("counter",),
    "slatechute_hedges_denied": ("counter", "limit"),
    "slatechute_invalid_announcements": ("counter",),
    "slatechute_limited_requests": ("counter",),
    "slatechute_misplaced_responses": ("counter",),
    "slatechute_peer_bytes": ("counter", "direction"),
    "slatechute_peer_frame_errors": ("counter", "kind"),
    "slatechute_peer_frames": ("counter", "direction"),
    "slatechute_peer_links": ("gauge",),
    "slatechute_platform_calls": ("counter",),
    "slatechute_probe_bytes": ("counter",),
    "slatechute_probes": ("counter",),
    "slatechute_refusals": ("counter", "reason", "outcome", "service"),
    "slatechute_relayed_requests": ("counter", "result"),
    "slatechute_requests_in_flight": ("gauge",),
    "slatechute_requests_waiting": ("gauge",),
    "slatechute_retries": ("counter", "reason"),
    "slatechute_retry_decisions": ("counter", "decision"),
    "slatechute_retry_tokens_in_use": ("gauge",),
    "slatechute_spread_faults": ("counter", "kind"),
    "slatechute_total_latency_seconds": ("histogram",),
    "slatechute_unowned_slots": ("gauge",),
    "slatechute_view_age_seconds": ("gauge",),
    "slatechute_caller_memory_bytes": ("gauge",),
    "slatechute_given_up": ("counter",),
}

# Options and arguments by command.
_COMMANDS = {
    "bench capacity": ["--sizes"],
    "bench dispatch": [
        "--deployment",
        "--entries",
        "--loads",
        "--policies",
        "--seconds",
        "--seed",
        "--work-ms",
    ],
    "bench faults": [
        "--deployments",
        "--entries",
        "--only",
        "--rate",
        "--requests",
        "--seconds",
        "--seed",
    ],
    "bench overhead": ["--pairs", "--seconds", "--seed", "--work-ms"],
    "bench reverts": ["--changes", "--entries", "--log", "--seed"],
    "bench spread": [
        "--changes",
        "--entries",
        "--only",
        "--seconds",
        "--seed",
        "--sizes",
    ],
    "check": ["folder"],
    "demo": ["--entries", "--rate", "--seconds", "--seed"],
    "diff": ["old", "new"],
    "entry": [
        "--address",
        "--admin-address",
        "--body-memory-bytes",
        "--data-centre",
        "--drain-limit-ms",
        "--entry-id",
        "--fan-out",
        "--fleet-key",
        "--fleet-key-file",
        "--group-size",
        "--log-level",
        "--max-body-bytes",
        "--max-connections",
        "--peer-address",
        "--platform-url",
        "--policy",
        "--request-table-size",
        "--spread-degree",
    ],
    "explain": ["folder", "key"],
    "explain-request": [
        "--deadline-ms",
        "--entry",
        "--host",
        "--json",
        "--method",
        "path",
    ],
    "settings": [
        "--address",
        "--admin-address",
        "--body-memory-bytes",
        "--data-centre",
        "--drain-limit-ms",
        "--entry-id",
        "--fan-out",
        "--fleet-key",
        "--fleet-key-file",
        "--group-size",
        "--log-level",
        "--max-body-bytes",
        "--max-connections",
        "--peer-address",
        "--platform-url",
        "--policy",
        "--request-table-size",
        "--spread-degree",
    ],
    "status": ["--timeout-ms", "admin_url"],
}

# Fields by event of the log.
_LOG_FIELDS = {
    "announcement_invalid": ["header", "target"],
    "admin_listening": ["address"],
    "configuration_in_force": [
        "replaced",
        "revision",
        "routes",
        "source",
        "version",
    ],
    "configuration_not_newer": ["in_force", "revision", "source", "version"],
    "configuration_unusable": ["error", "revision"],
    "connect_failed": ["error", "peer"],
    "datagram_failed": ["error"],
    "datagram_refused": ["error", "peer"],
    "descriptor_limit_low": ["limit", "needed"],
    "document_adopted": ["name", "revision", "source"],
    "document_conflicts": ["name", "revision", "source"],
    "document_refused": ["name", "problems", "revision", "source"],
    "entry_drained": ["clean"],
    "entry_draining": [],
    "entry_ready": ["revision"],
    "entry_resumed": ["revision"],
    "entry_started": ["boot_id"],
    "entry_stopped": [],
    "entry_was_paused": ["ms"],
    "evacuation_ended": ["data_centre", "revision", "source", "targets"],
    "evacuation_in_force": ["data_centre", "revision", "source", "targets"],
    "evacuation_unconfirmed": ["data_centre", "revision", "source"],
    "folder_not_published": ["error", "path"],
    "frame_too_large": ["message", "peer", "size"],
    "gateway_ready": ["started_ms", "version"],
    "gateway_started": ["boot_id", "data_centre", "entry", "hedging", "seeds"],
    "gateway_stopped": ["entry"],
    "handler_failed": ["message"],
    "heartbeat_failed": [],
    "late_exchange_failed": ["error"],
    "link_closed": ["detail", "fault"],
    "link_lost": ["fault", "peer"],
    "link_ready": ["boot_id", "peer"],
    "path_lost": ["evidence", "service", "target"],
    "path_regained": ["service", "target"],
    "path_trial_failed": ["error", "target"],
    "peer_found": ["boot_id", "peer"],
    "peer_lost": ["peer", "silent_ms"],
    "peer_ready": ["peer"],
    "peer_regained": ["peer"],
    "peer_server_stop_late": [],
    "peer_view_adopted": ["peer", "replaced", "revision"],
    "peer_view_failed": ["error", "peer"],
    "platform_failed": ["error", "name"],
    "platform_history_gone": ["revision"],
    "platform_lost": ["error", "revision"],
    "platform_reading": ["active"],
    "platform_restored": [
        "era",
        "replaced",
        "revision",
        "source",
    ],
    "platform_regained": ["revision"],
    "probe_failed": ["error", "target"],
    "process_paused": ["ms"],
    "process_was_paused": ["ms", "revision", "used_ms"],
    "relay_failed": ["error", "peer"],
    "relayed_request_refused": ["error"],
    "retry_slack_used_up": ["active_entries", "in_use", "limit", "service"],
    "response_misplaced": ["answered_id", "request_id", "status", "target"],
    "role_changed": ["active", "active_peers", "peers"],
    "services_without_path": ["services"],
    "settings_reloaded": ["hedging", "seeds"],
    "settings_unusable": ["error"],
    "signal_received": ["signal"],
    "slots_without_owner": ["in_flight", "slots"],
    "spread_failed": [],
    "status_failed": [],
    "stop_failed": [],
    "subscriber_failed": ["message"],
    "target_cold_changed": ["cold", "source", "target"],
    "target_entry_lapsed": ["revision", "source", "steady_ms", "target"],
    "target_entry_overtaken": ["revision", "sequence", "target"],
    "target_entry_unusable": ["error", "revision", "target"],
    "target_gone": ["source", "target"],
    "target_leaving": ["peer", "source"],
    "target_listed": [
        "address",
        "known",
        "leaving",
        "revision",
        "service",
        "source",
        "target",
    ],
    "target_leaving_announced": ["source", "target"],
    "target_pause_announced": ["pause_ms", "target"],
    "target_rate_limit_changed": [
        "limit_per_s",
        "replaced_per_s",
        "source",
        "target",
    ],
    "unexpected_error": ["error", "place", "step"],
    "unhandled_error": ["exc_info", "message"],
    "unknown_variable": ["variable"],
    "view_not_confirmed": ["waited_s"],
}

_DOCUMENT_STATUS = {
    "age_s",
    "digest",
    "newest_seen",
    "offers",
    "refused",
    "revision",
    "source",
    "unconfirmed",
}

_STATUS = {
    "boot_id": None,
    "configuration": _DOCUMENT_STATUS,
    "data_centre": None,
    "entry_id": None,
    "instances": _DOCUMENT_STATUS,
    "peers": {"digest", "entry_id", "reachable", "revision"},
    "slots": {"granted", "held", "waiting"},
    "spread": {
        "faults",
        "fetches",
        "is_reader",
        "neighbours",
        "platform_failures",
    },
    "state": None,
}

_LINE_FIELDS = {"event", "level", "logger", "monotonic_s", "time"}
_ANSWERED_FIELDS = _LINE_FIELDS | {
    "deadline_left_ms",
    "exchanges",
    "objective_left_ms",
    "request_id",
    "returned",
    "route",
    "service",
    "status",
    "total_ms",
    "version",
    "version_age_ms",
    "view_age_ms",
}
_REFUSED_FIELDS = _ANSWERED_FIELDS | {
    "best_ms",
    "cold",
    "crowded_factor",
    "evacuated",
    "heard_by_peers",
    "occupied",
    "outcome",
    "path",
    "peer",
    "rate_limited",
    "reason",
    "retry_after_ms",
    "slots",
    "step",
    "targets",
    "unconnected",
    "unpaused",
    "usual_slowdown",
    "waiting",
    "waiting_at_peers",
    "with_room",
    "without_path",
    "work_ms",
}
_EXCHANGE_FIELDS = {
    "at_ms",
    "evidence",
    "expected_ms",
    "load_age_ms",
    "place",
    "result",
    "reused",
    "slowdown",
    "slowness",
    "target",
}


@pytest.mark.parametrize("tag", _FRAME_BY_TAG)
def test_frames_keep_their_bytes(tag):
    """Entries of two versions run side by side during a roll-out."""
    frame = bytes.fromhex(_FRAME_BY_TAG[tag])
    message = messages.decode(frame)
    assert messages.encode(message) == frame
    assert messages.decode(cbor2.dumps([99])) is None


@pytest.mark.parametrize("tag", _OLD_FRAME_BY_TAG)
def test_frames_of_earlier_versions_are_decoded(tag):
    """Entries of two versions run side by side during a roll-out."""
    old = messages.decode(bytes.fromhex(_OLD_FRAME_BY_TAG[tag]))
    new = messages.decode(bytes.fromhex(_FRAME_BY_TAG[tag]))
    assert type(old) is type(new)
    for field in dataclasses.fields(old):
        if getattr(old, field.name) != getattr(new, field.name):
            assert getattr(old, field.name) == field.default


def test_metrics_keep_names_and_labels():
    """Alerts match these names."""
    registry = metrics.Metrics().registry
    collectors = set(registry._names_to_collectors.values())
    assert {
        item._name: (item._type, *item._labelnames)
        for item in collectors
        if hasattr(item, "_name")
    } == _METRICS


def test_commands_keep_options_and_arguments():
    """Scripts of operators call the commands by these names."""
    loader = commands.ModuleLoader()
    names = {}
    for name in loader.names:
        command = loader.get(name)
        options = sorted(f"--{option.name}" for option in command.options)
        names[name] = options + [item.name for item in command.arguments]
    assert names == _COMMANDS


def _log_calls(path: pathlib.Path) -> list[tuple[str, list[str]]]:
    methods = {"debug", "info", "notice", "warning", "error", "exception"}
    return [
        (node.args[0].value, [keyword.arg for keyword in node.keywords])
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call)
        and getattr(node.func, "attr", "") in methods
        and node.args
        and isinstance(node.args[0], ast.Constant)
    ]


def test_log_events_keep_names_and_fields():
    """Searches and alerts match events and their fields."""
    fields_by_event = {}
    for folder in ("slatechute", "platform"):
        for path in (_ROOT / folder).rglob("*.py"):
            for event, fields in _log_calls(path):
                fields_by_event.setdefault(event, set()).update(fields)
    assert {
        event: sorted(fields) for event, fields in fields_by_event.items()
    } == _LOG_FIELDS


def _keys(part) -> set[str] | None:
    if isinstance(part, list):
        part = part[0]
    return set(part) if isinstance(part, dict) else None


def test_status_keeps_its_names():
    """`slatechute status` of another version reads this page."""

    async def main():
        fleet = local_fleet.LocalFleet(
            deployments.DEPLOYMENTS["kits"], entries=2, instances=1
        )
        async with fleet:
            first = fleet.applications[0]
            await waiting.until(lambda: first.status()["peers"])
            url = f"http://{first.settings.admin_address}/status"
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as response:
                    status = await response.json()
        assert {key: _keys(part) for key, part in status.items()} == _STATUS

    asyncio.run(main())


def test_request_lines_keep_their_fields():
    """docs/OPERATIONS.md goes from the id of a request to its cause by them."""
    stream = io.StringIO()
    logs.setup(stream, "info")

    async def check(fleet):
        async with scripted_target.ScriptedTarget(
            lambda request: scripted_target.response(request)
        ) as target:
            # A faster target may answer within the deadline of 1 ms below.
            target.delay_s = 0.02
            fleet.publish_routes(1, builders.route())
            fleet.publish_target(address=target.address)
            app = await fleet.add()
            await waiting.until(lambda: app.balancer.load_by_id)
            url = f"http://{app.settings.callers_address}/a/x"
            headers = {"Host": "h", "Id": "r1", "Deadline": "900"}
            async with aiohttp.ClientSession() as session:
                async with session.get(url, headers=headers) as response:
                    assert response.status == 200
                headers |= {"Id": "r2", "Deadline": "1"}
                async with session.get(url, headers=headers) as response:
                    assert response.status == 503
                control = f"http://{app.settings.control_address}"
                async with session.get(f"{control}/published") as response:
                    view = cbor2.loads(await response.read())
            assert set(view) == {
                "is_complete",
                "items",
                "revision",
                "steady_ms",
                "unconfirmed_evacuations",
            }

    try:
        small_fleet.run(check)
    finally:
        logs.setup(None, "warning")
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    line_by_event = {line["event"]: line for line in lines}
    answered = line_by_event["request_answered"]
    assert set(answered) == _ANSWERED_FIELDS
    assert set(answered["exchanges"][0]) == _EXCHANGE_FIELDS
    assert set(line_by_event["request_refused"]) == _REFUSED_FIELDS
