"""Completeness of the fault matrix and of the page of proofs."""

import pathlib
import re
import subprocess
import sys

import pytest

from tests.faults import matrix

_ROOT = pathlib.Path(__file__).parents[2]


def _ids() -> set[str]:
    listed = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "tests"],
        capture_output=True,
        text=True,
        cwd=_ROOT,
        check=False,
    )
    return {line for line in listed.stdout.splitlines() if "::" in line}


@pytest.fixture(scope="module", name="test_ids")
def _test_ids():
    return _ids()


def _cells():
    for fault in matrix.FAULTS:
        for step in matrix.STEPS:
            text = matrix.MATRIX[fault].get(step, "")
            yield fault, step, text.format(fault=fault, step=step)


def test_no_cell_is_empty():
    """Guards against a combination that nobody has thought about."""
    for fault, step, text in _cells():
        is_test = text.startswith("tests/")
        is_reason = len(text) > len(matrix.NOT_POSSIBLE) + 20
        assert is_test or (
            text.startswith(matrix.NOT_POSSIBLE) and is_reason
        ), f"{fault} at {step}"
    assert all(set(row) == set(matrix.STEPS) for row in matrix.MATRIX.values())


def test_named_tests_exist(test_ids):
    """Guards against a cell whose test was renamed or removed."""
    named = {
        match
        for _, _, text in _cells()
        for match in re.findall(r"tests/\S+::\S+", text)
    }
    assert not named - test_ids


def test_pairs_name_faults_and_steps():
    """Guards against a pair that is spelled like no fault."""
    assert len(set(matrix.PAIRS)) >= 10
    for one, other, step in matrix.PAIRS:
        assert {one, other} <= set(matrix.FAULTS)
        assert step in matrix.STEPS
