"""Tests of `slatechute bench faults`."""

import json
import subprocess
import sys

import pytest


def _bench(*flags: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "slatechute", "bench", "faults", *flags],
        capture_output=True,
        text=True,
        check=False,
        timeout=100,
    )


def test_few_thousand_requests_under_faults():
    """Guards against requests executed twice and slots leaked under faults.

    Also against a false outcome `not-run` and wrong responses.
    """
    completed = _bench(
        "--deployments=kits",
        "--requests=3000",
        "--rate=600",
        "--entries=4",
        "--seed=7",
    )
    assert completed.returncode == 0, completed.stderr[-2000:]
    result = json.loads(completed.stdout)
    assert result["ok"]
    assert result["requests"] == 3000
    (run,) = result["runs"]
    assert run["doubled"] == run["false_not_run"] == run["wrong"] == 0
    assert run["leaked_slots"] == 0, run
    assert run["once"] == 1500
    assert run["faults"]


@pytest.mark.parametrize(
    "flag", ["--requests=1", "--deployments=x", "--only=x", "--entries=two"]
)
def test_invalid_option_is_rejected(flag):
    """Guards against a bench that ignores an invalid option."""
    completed = _bench(flag)
    assert completed.returncode == 2
    assert "Traceback" not in completed.stderr
