"""Tests of the command-line program."""

import subprocess
import sys

import pytest

import slatechute
from slatechute import __main__ as program
from slatechute import commands
from slatechute.commands import base


def _program(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "slatechute", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_version_without_heavy_imports():
    """Guards against a slow start, as completion and scripts run it often."""
    result = _program("--version")
    assert result.stdout == f"slatechute {slatechute.__version__}\n"
    assert result.returncode == 0
    for package in ("aiohttp", "pydantic", "reactivex", "websockets"):
        assert f" {package}\n" not in result.stderr, package


@pytest.mark.parametrize(
    "arguments",
    [
        ["nothing"],
        ["entry", "--typo", "1"],
        ["entry", "--fan-out"],
        ["entry", "extra"],
        ["entry", "--entry-id", "<b>\n"],
        ["settings", "--fleet-key-file", "/"],
        ["status"],
        ["completions", "csh"],
    ],
)
def test_unusable_arguments_give_one_line(arguments, capsys, monkeypatch):
    """Guards against tracebacks in place of a message for the operator."""
    monkeypatch.delenv("SLATECHUTE_ENTRY_ID", raising=False)
    assert program.main(arguments) == base.ExitStatus.UNUSABLE
    output = capsys.readouterr()
    assert output.err.startswith("slatechute: ")
    assert output.err.count("\n") == 1
    assert not output.out


def test_internal_error_differs_from_wrong_input(capsys, monkeypatch):
    """Guards against internal errors with the exit status of wrong input."""

    def fail(*_):
        raise KeyError("x")

    monkeypatch.setattr(commands.ModuleLoader, "get", fail)
    assert program.main(["settings"]) == base.ExitStatus.INTERNAL
    assert capsys.readouterr().err.count("\n") == 1
    assert program.main(["settings", "-v"]) == base.ExitStatus.INTERNAL
    assert "Traceback" in capsys.readouterr().err


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_lists_commands(shell, capsys):
    """Guards against completion scripts without the commands and flags."""
    assert program.main(["completions", shell]) == 0
    script = capsys.readouterr().out
    assert "status" in script and "drain-limit-ms" in script


def test_each_module_defines_its_command():
    """Guards against a command that is not found by its module name."""
    loader = commands.ModuleLoader()
    assert {"entry", "settings", "status"} <= set(loader.names)
    for name in loader.names:
        assert loader.has(name), name
        command = loader.get(name)
        assert command.name == name
        assert command.description, name
