"""Tests of the commands for configuration folders."""

from cleo.testers import command_tester
import pytest

from slatechute.commands import check
from slatechute.commands import diff
from slatechute.commands import explain


def _write(path, **text_by_name):
    path.mkdir()
    for name, text in text_by_name.items():
        (path / f"{name}.toml").write_text(text)
    return str(path)


def _run(command, *args):
    tester = command_tester.CommandTester(command)
    status = tester.execute(" ".join(f'"{arg}"' for arg in args))
    return status, tester.io.fetch_output(), tester.io.fetch_error()


@pytest.fixture
def old(tmp_path):
    return _write(
        tmp_path / "old",
        a="[services.plans]\nslots = 2\ndeadline_ms = 300",
        b="[services.plans]\nslots = 3",
    )


@pytest.fixture
def broken(tmp_path):
    path = tmp_path / "broken"
    _write(path, a="[services.plans]\n'<info>' = 1", b="=", d="remove = ['x']")
    (path / "c.toml").write_bytes(b"\xff")
    return str(path)


def test_check_prints_every_problem(old, broken):
    """Guards against a report that ends at the first problem.

    Also guards against wrong problems after an unreadable file, and against
    dropping text in brackets.
    """
    status, text, _ = _run(check.CheckCommand(), broken)
    assert status == 1
    assert text.splitlines() == [
        "c.toml: is not UTF-8: invalid start byte",
        "b.toml: line 1, column 1: Invalid statement",
        'a.toml: services.plans."<info>": unknown key',
    ]
    status, text, _ = _run(check.CheckCommand(), old)
    assert (status, text) == (0, f"{old}: 2 files, no problems\n")
    assert _run(check.CheckCommand(), f"{old}/none")[0] == 1


def test_explain_names_the_file_and_what_it_overrode(old):
    """Guards against operators who edit a file whose value is overridden."""
    run = _run(explain.ExplainCommand(), old, "services.plans.slots")
    assert run == (
        0,
        "services.plans.slots = 3\n  set by b.toml\n  overrode a.toml\n",
        "",
    )
    status, text, _ = _run(explain.ExplainCommand(), old, "services.plans")
    assert status == 0
    assert "deadline_ms = 300\n  set by a.toml" in text
    assert "connections = 256\n  default, set by no file" in text


@pytest.mark.parametrize("key", ["services.plan", "services..x", "a = 1 #"])
def test_explain_fails_for_unknown_keys(old, key):
    """Guards against empty output for a misspelt key."""
    status, text, error = _run(explain.ExplainCommand(), old, key)
    assert (status, text) == (1, "")
    assert key in error


def test_explain_works_for_a_folder_that_is_not_valid(tmp_path, broken):
    """Guards against a command that fails for an invalid folder.

    Operators need it most in this case.
    """
    path = _write(tmp_path / "new", a="[services.plans]\nslot = 2")
    run = _run(explain.ExplainCommand(), path, "services")
    assert run[:2] == (0, "services.plans.slot = 2\n  set by a.toml\n")
    assert "slatechute check" in run[2]
    assert _run(explain.ExplainCommand(), broken, "services")[0] == 1


def test_diff_compares_effective_values(tmp_path, old, broken):
    """Guards against reporting differences without effect.

    Also guards against an invalid folder that is reported as a change.
    """
    same = _write(
        tmp_path / "same",
        x="services.plans = {slots = 3, deadline_ms = 300, connections = 256}",
    )
    assert _run(diff.DiffCommand(), old, same) == (0, "", "")
    new = _write(
        tmp_path / "new",
        n="fleet.keep_ms = 900\n[services.plans]\nslots = 4\n"
        "deadline_ms = 300\nroutes.r.path = '/x'",
    )
    status, text, _ = _run(diff.DiffCommand(), old, new)
    assert status == 1
    assert text.splitlines() == [
        "- fleet.keep_ms = 2000 (default)",
        "+ fleet.keep_ms = 900 (n.toml)",
        "+ services.plans.routes.r.bulk = false (default)",
        "+ services.plans.routes.r.deadline_ms = (none) (default)",
        "+ services.plans.routes.r.methods = [] (default)",
        '+ services.plans.routes.r.path = "/x" (n.toml)',
        "+ services.plans.routes.r.repeatable = (none) (default)",
        "- services.plans.slots = 3 (b.toml)",
        "+ services.plans.slots = 4 (n.toml)",
    ]
    status, text, error = _run(diff.DiffCommand(), old, broken)
    assert (status, text) == (2, "")
    assert len(error.splitlines()) == 3
