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
    done = _bench(
        "--deployments=kits",
        "--requests=3000",
        "--rate=600",
        "--entries=4",
        "--seed=7",
    )
    assert done.returncode == 0, done.stderr[-2000:]
    found = json.loads(done.stdout)
    assert found["ok"]
    assert found["requests"] == 3000
    (run,) = found["runs"]
    assert run["doubled"] == run["false_not_run"] == run["wrong"] == 0
    assert run["leaked_slots"] == 0
    assert run["once"] == 1500
    assert run["faults"]


@pytest.mark.parametrize(
    "flag", ["--requests=1", "--deployments=x", "--only=x", "--entries=two"]
)
def test_unusable_option_is_named(flag):
    """Guards against a bench that ignores an invalid option."""
    done = _bench(flag)
    assert done.returncode == 2
    assert "Traceback" not in done.stderr
