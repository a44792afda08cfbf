"""Tests of `slatechute explain-request` without a network."""

import json

import pytest

from slatechute import __main__ as program
from slatechute import errors
from slatechute.commands import explain_request
from slatechute.gateway import balancing
from slatechute.gateway import explaining
from slatechute.gateway import routing
from tests.gateway import builders

_ARGUMENTS = ["explain-request", "--entry", "127.0.0.1:9100", "--host", "h"]


def _content(*, error=None, parts=None):
    balancer = balancing.Balancer("dc1")
    balancer.add_target(builders.target("t1"), 0.0)
    balancer.add_target(builders.target("t2", data_centre="dc2"), 0.0)
    if error is not None:
        for load in balancer.load_by_id.values():
            load.pause(5000.0, 0.0)
    route = builders.route(**({"parts": parts} if parts else {}))
    selection = balancer.explain(builders.dispatch_request(route=route), 0.0)
    explanation = explaining.RequestExplanation(
        route, "s", None, selection, error
    )
    return {
        "entry": "e1",
        "data_centre": "dc1",
        "state": "ready",
        "version": 7,
    } | explaining.describe(explanation, [builders.target("t3")])


@pytest.fixture
def run(monkeypatch, capsys):
    """Return a function that runs the command with a given answer."""

    def run_command(content, *arguments):
        queries = []

        async def fetch(address, query):
            assert address == "127.0.0.1:9100"
            queries.append(query)
            if isinstance(content, Exception):
                raise content
            status, fields = content
            return status, json.dumps(fields).encode()

        monkeypatch.setattr(explain_request, "_fetch", fetch)
        status = program.main([*_ARGUMENTS, *arguments])
        return status, capsys.readouterr(), queries

    return run_command


def test_table_names_the_target_and_why_others_are_passed_over(run):
    """Operators must see the decision without reading JSON."""
    parts = (routing.ServicePart("s", 90.0), routing.ServicePart("b", 10.0))
    status, captured, queries = run(
        (200, _content(parts=parts)), "/a/x?q=1", "--deadline-ms", "900"
    )
    assert status == 0
    assert queries == [
        {"host": "h", "path": "/a/x?q=1", "method": "GET", "deadline_ms": "900"}
    ]
    lines = [line.split() for line in captured.out.splitlines()]
    assert ["decision", "send"] in lines
    assert ["target", "t1"] in lines
    assert "s is next (weights: s 90, b 10)" in captured.out
    last_by_target = {line[0]: line[-1] for line in lines if line}
    assert last_by_target["t1"] == "selected"
    assert last_by_target["t2"] == "slower"
    assert last_by_target["t3"] == "leaving"


def test_refusal_shows_reason_and_retry_after(run):
    """A refusal is an answer, so the exit status is 0."""
    error = errors.RequestError(
        errors.Reason.OVERLOAD, errors.Step.WAITING, retry_after_ms=240
    )
    status, captured, _ = run((200, _content(error=error)), "/a/x")
    assert status == 0
    assert "overload (HTTP status 503), Retry-After 240 ms" in captured.out
    assert "no_free_target; expected waiting time" in captured.out


def test_json_is_the_answer_of_the_entry(run):
    """Scripts must get each field as the entry sends it."""
    content = _content()
    status, captured, _ = run((200, content), "/a/x", "--json")
    assert status == 0
    assert json.loads(captured.out) == json.loads(json.dumps(content))


@pytest.mark.parametrize(
    ("content", "text"),
    [
        (explain_request._QueryError("not reachable: x"), "not reachable: x"),
        ((200, {"entry": "e1"}), "the explanation lacks candidates"),
        ((200, "# TYPE slatechute_probes"), "the response is not an expl"),
        ((503, {"error": "the entry is not ready"}), "entry is not ready"),
        ((404, {}), "responded with status 404"),
    ],
)
def test_missing_explanation_is_an_error(run, content, text):
    """A script would take a message for an explanation."""
    status, captured, _ = run(content, "/a/x")
    assert status == 1
    assert "127.0.0.1:9100: " in captured.err and text in captured.err


@pytest.mark.parametrize(
    "arguments",
    [
        ["a"],
        ["/a", "--deadline-ms", "0"],
        ["/a", "--host", ""],
        ["/a", "--entry", "e1:1"],
    ],
)
def test_unusable_argument_is_refused(run, arguments):
    """An invalid argument must not look like an unreachable entry."""
    status, _, queries = run((200, _content()), *arguments)
    assert status == 2
    assert not queries
