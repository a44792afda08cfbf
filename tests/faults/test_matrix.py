"""Tests of the fault matrix and docs/proof.md: both must be complete."""

import pathlib
import re
import subprocess
import sys

import pytest

from tests.faults import matrix

_ROOT = pathlib.Path(__file__).parents[2]


def _ids() -> set[str]:
    collection = subprocess.run(
        [sys.executable, "-m", "pytest", "--collect-only", "tests"],
        capture_output=True,
        text=True,
        cwd=_ROOT,
        check=False,
    )
    return {line for line in collection.stdout.splitlines() if "::" in line}


@pytest.fixture(scope="module", name="test_ids")
def _test_ids():
    return _ids()


def _cells():
    for fault in matrix.FAULTS:
        for step in matrix.STEPS:
            test_or_reason = matrix.MATRIX[fault].get(step, "")
            yield fault, step, test_or_reason.format(fault=fault, step=step)


def test_no_cell_is_empty():
    """Guards against a fault and step with neither a test nor a reason."""
    for fault, step, text in _cells():
        is_test = text.startswith("tests/")
        is_reason = len(text) > len(matrix.NOT_POSSIBLE) + 20
        assert is_test or (
            text.startswith(matrix.NOT_POSSIBLE) and is_reason
        ), f"{fault} at {step}"
    assert all(set(row) == set(matrix.STEPS) for row in matrix.MATRIX.values())


def test_named_tests_exist(test_ids):
    """Guards against a cell that names a renamed or removed test."""
    named = {
        match
        for _, _, text in _cells()
        for match in re.findall(r"tests/\S+::\S+", text)
    }
    assert not named - test_ids


def test_pairs_name_faults_and_steps():
    """Guards against a pair that names an unknown fault or step."""
    assert len(set(matrix.PAIRS)) >= 10
    for one, other, step in matrix.PAIRS:
        assert {one, other} <= set(matrix.FAULTS)
        assert step in matrix.STEPS


def test_page_of_proofs_shows_the_matrix():
    """Guards against a page that differs from the matrix in the code."""
    page = (_ROOT / "docs" / "proof.md").read_text()
    missing = [line for line in matrix.table() if line not in page]
    assert not missing
    for one, other, step in matrix.PAIRS:
        assert f"| {one} | {other} | {step} |" in page


def test_page_of_proofs_covers_all_requirements(test_ids):
    """Guards against a requirement without a row, and unknown test names."""
    page = (_ROOT / "docs" / "proof.md").read_text()
    for number in range(1, 11):
        assert f"| R{number} |" in page
    named = set(re.findall(r"`(tests/[^`\s]+::[^`\s]+)`", page))
    assert named
    plain = {test_id.split("[")[0] for test_id in test_ids}
    assert not named - test_ids - plain
