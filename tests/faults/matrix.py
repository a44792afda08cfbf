"""The fault matrix: what tests each fault at each step of a request.

A cell holds `CELL`, the id of another test, or why the combination cannot
arise, starting with `NOT_POSSIBLE`.
"""

__all__ = ["CELL", "FAULTS", "MATRIX", "NOT_POSSIBLE", "PAIRS", "STEPS"]

CELL = "tests/faults/test_cells.py::test_cell[{fault}-{step}]"
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

_UNREAD = NOT_POSSIBLE + (
    "no dispatch decision reads a load report, see the cell waiting"
)
_LYING = "tests/faults/test_targets.py::test_lying_load_draws_no_work"
_LIST_ONLY = NOT_POSSIBLE + (
    "an address answer names entries only, and no target takes part in it"
)


def _all(**changed: str) -> dict[str, str]:
    return dict.fromkeys(STEPS, CELL) | changed


MATRIX: dict[str, dict[str, str]] = {
    "entry_kill": _all(),
    "freeze": _all(),
    "silence": _all(),
    "reset": _all(),
    "slow": _all(address=_LIST_ONLY),
    "fail_fast": _all(address=_LIST_ONLY),
    "drain": _all(address=_LIST_ONLY),
    "cold": _all(address=_LIST_ONLY),
    "shedding": _all(address=_LIST_ONLY),
    "lying_load": {
        "address": _LIST_ONLY,
        "accepted": _UNREAD,
        "waiting": _LYING,
        "granted": _UNREAD,
        "connecting": _UNREAD,
        "writing": _UNREAD,
        "written": _UNREAD,
        "reading": _UNREAD,
        "done": _UNREAD,
    },
    "partition": _all(),
    "platform_down": _all(),
    "platform_stale": _all(),
    "crash": _all(address=_LIST_ONLY),
}

FAULTS = tuple(MATRIX)

# Worst pairs of faults, with the step at which both strike.
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
    """Return the rows of the matrix as they stand in docs/proof.md."""
    lines = [
        "| fault | " + " | ".join(STEPS) + " |",
        "|---" * (len(STEPS) + 1) + "|",
    ]
    for fault, row in MATRIX.items():
        marks = [_MARK_BY_REASON.get(row[step], "test") for step in STEPS]
        lines.append(f"| {fault} | " + " | ".join(marks) + " |")
    return lines


_MARK_BY_REASON = {_LIST_ONLY: "(a)", _UNREAD: "(b)"}
