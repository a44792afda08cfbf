"""Fault matrix: the test that covers each fault at each step of a request.

A cell holds `CELL_TEST`, the id of another test, or the reason why the
combination cannot occur, which starts with `NOT_POSSIBLE`.
"""

__all__ = ["CELL_TEST", "FAULTS", "MATRIX", "NOT_POSSIBLE", "PAIRS", "STEPS"]

CELL_TEST = "tests/faults/test_cells.py::test_cell[{fault}-{step}]"
NOT_POSSIBLE = "not possible: "

STEPS = (
    "address",
    "accepted",
    "waiting",
    "granted",
    "connecting",
    "writing",
    "written",
    "reading",
    "done",
)

_LOAD_NOT_READ = NOT_POSSIBLE + (
    "no dispatch decision reads a load report; see the test at step waiting"
)
_MISREPORTED_LOAD_TEST = (
    "tests/faults/test_targets.py::test_misreported_load_attracts_no_requests"
)
_NO_TARGET_INVOLVED = NOT_POSSIBLE + (
    "an address response names entries only and involves no target"
)


def _all_steps(**overrides: str) -> dict[str, str]:
    return dict.fromkeys(STEPS, CELL_TEST) | overrides


MATRIX: dict[str, dict[str, str]] = {
    "entry_kill": _all_steps(),
    "freeze": _all_steps(),
    "silence": _all_steps(),
    "reset": _all_steps(),
    "slow": _all_steps(address=_NO_TARGET_INVOLVED),
    "fail_fast": _all_steps(address=_NO_TARGET_INVOLVED),
    "drain": _all_steps(address=_NO_TARGET_INVOLVED),
    "cold": _all_steps(address=_NO_TARGET_INVOLVED),
    "shedding": _all_steps(address=_NO_TARGET_INVOLVED),
    "lying_load": {
        "address": _NO_TARGET_INVOLVED,
        "accepted": _LOAD_NOT_READ,
        "waiting": _MISREPORTED_LOAD_TEST,
        "granted": _LOAD_NOT_READ,
        "connecting": _LOAD_NOT_READ,
        "writing": _LOAD_NOT_READ,
        "written": _LOAD_NOT_READ,
        "reading": _LOAD_NOT_READ,
        "done": _LOAD_NOT_READ,
    },
    "partition": _all_steps(),
    "platform_down": _all_steps(),
    "platform_stale": _all_steps(),
    "crash": _all_steps(address=_NO_TARGET_INVOLVED),
}

FAULTS = tuple(MATRIX)

# Pairs of faults with the worst effects, and the step at which both occur.
PAIRS = (
    ("entry_kill", "platform_down", "written"),
    ("entry_kill", "crash", "written"),
    ("freeze", "partition", "waiting"),
    ("freeze", "crash", "written"),
    ("freeze", "silence", "writing"),
    ("partition", "drain", "written"),
    ("partition", "platform_stale", "waiting"),
    ("silence", "slow", "written"),
    ("shedding", "fail_fast", "waiting"),
    ("crash", "platform_down", "writing"),
)


def table() -> list[str]:
    """Return the rows of the matrix as docs/proof.md shows them."""
    lines = [
        "| fault | " + " | ".join(STEPS) + " |",
        "|---" * (len(STEPS) + 1) + "|",
    ]
    for fault, row in MATRIX.items():
        marks = [_MARK_BY_REASON.get(row[step], "test") for step in STEPS]
        lines.append(f"| {fault} | " + " | ".join(marks) + " |")
    return lines


_MARK_BY_REASON = {_NO_TARGET_INVOLVED: "(a)", _LOAD_NOT_READ: "(b)"}
