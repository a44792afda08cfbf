"""Tests of `slatechute bench spread` without entry processes."""

import json

import pytest

from slatechute import __main__ as program
from slatechute.benches import spread


def test_result_is_json(monkeypatch, capsys):
    """Guards against invalid JSON from replacing its line ends."""

    async def run(self):
        return {"only": self._plan.only, "seed": self._plan.seed}

    monkeypatch.setattr(spread.SpreadBench, "run", run)
    assert program.main(["bench", "spread", "--only=stale", "--seed=3"]) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown == {"only": ["stale"], "seed": 3}


@pytest.mark.parametrize(
    "argument", ["--only=x", "--sizes=0", "--changes=many", "--seconds=1e9"]
)
def test_unusable_option(argument, capsys):
    """Guards against starting processes with an invalid option."""
    assert program.main(["bench", "spread", argument]) == 2
    assert capsys.readouterr().err.count("\n") == 1


def test_peak_counts_calls_within_a_second():
    """Guards against bursts that are split across fixed windows."""
    assert spread._peak_per_second([0.9, 1.1, 1.8, 1.95, 4.0]) == 3
    assert spread._peak_per_second([]) == 0
