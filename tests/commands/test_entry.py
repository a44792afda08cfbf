"""Tests of `slatechute entry`."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
import types

import pytest

import slatechute
from slatechute import __main__ as program
from slatechute import errors
from slatechute import process
from slatechute.commands import entry

# The command runs this fake application, which binds its port like an entry.
_FAKE_APPLICATION = """
import asyncio, sys, types
from slatechute import __main__ as program, settings
from slatechute.util import addresses

class Application:
    def __init__(self, entry_settings):
        self._address = addresses.split_address(entry_settings.address)
    async def start(self):
        self._server = await asyncio.start_server(print, *self._address)
    async def drain(self, elapsed_s):
        print("draining", flush=True)
    async def stop(self):
        print("stopped", flush=True)

sys.modules["slatechute.application"] = types.SimpleNamespace(
    Application=Application
)
sys.exit(program.main(sys.argv[1:]))
"""

_FLAGS = ["--entry-id=e1", "--data-centre=d1", "--fleet-key=0123456789abcdef"]


class _FakeApplication:
    """Fake application that signals its own process at given steps."""

    def __init__(self, signals=(), *, clean=None, error=None, hang=()):
        self.calls = []
        self.elapsed_s = 0.0
        self._signals = dict(signals)
        self._clean = clean
        self._error = error
        self._hang = hang

    async def _step(self, name):
        self.calls.append(name)
        for number in self._signals.get(name, ()):
            asyncio.get_running_loop().call_later(
                0.01, os.kill, os.getpid(), number
            )
        if name in self._hang:
            await asyncio.sleep(60)

    async def start(self):
        await self._step("start")
        if self._error:
            raise self._error

    async def drain(self, elapsed_s):
        self.elapsed_s = elapsed_s
        await self._step("drain")
        return self._clean

    async def stop(self):
        await self._step("stop")


def _run(application: _FakeApplication) -> int:
    return asyncio.run(asyncio.wait_for(entry.run(application), 20))


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_signal_drains(number):
    """Guards against a planned stop that interrupts requests in flight."""
    application = _FakeApplication({"start": [number]})
    assert _run(application) == 0
    assert application.calls == ["start", "drain", "stop"]


def test_second_signal_stops_at_once():
    """Guards against a long drain that operators cannot interrupt."""
    application = _FakeApplication(
        {"start": [signal.SIGTERM], "drain": [signal.SIGTERM]}, hang=["drain"]
    )
    assert _run(application) == 1
    assert application.calls == ["start", "drain", "stop"]


def test_time_of_a_busy_event_loop_counts_for_the_drain():
    """Guards against a drain that the platform's kill interrupts."""

    class _BusyApplication(_FakeApplication):
        async def start(self):
            asyncio.get_running_loop().call_later(0.01, self._block)

        def _block(self):
            os.kill(os.getpid(), signal.SIGTERM)
            time.sleep(0.3)

    application = _BusyApplication()
    assert _run(application) == 0
    assert 0.3 <= application.elapsed_s < 1.0


def test_signal_during_start_stops():
    """Guards against a start that waits for the platform and blocks a stop."""
    application = _FakeApplication({"start": [signal.SIGTERM]}, hang=["start"])
    assert _run(application) == 0
    assert application.calls == ["start", "stop"]


def test_drain_at_its_limit_is_not_clean():
    """Guards against interrupted requests that the exit status hides."""
    application = _FakeApplication({"start": [signal.SIGTERM]}, clean=False)
    assert _run(application) == 1


def test_stop_that_hangs_is_bounded(monkeypatch):
    """Guards against a stop that hangs while a supervisor waits for it."""
    monkeypatch.setattr(process, "_STOP_TIMEOUT_S", 0.05)
    application = _FakeApplication({"start": [signal.SIGTERM]}, hang=["stop"])
    assert _run(application) == 0


def test_failed_start_is_cleaned_up():
    """Guards against ports that stay open after a failed start."""
    application = _FakeApplication(error=errors.PlatformError("down"))
    with pytest.raises(errors.PlatformError):
        _run(application)
    assert application.calls == ["start", "stop"]


def test_command_builds_the_application(monkeypatch, capsys):
    """Guards against settings or a status that the command does not pass on."""
    built = []

    def build(settings):
        built.append(settings)
        return _FakeApplication({"start": [signal.SIGTERM]})

    module = types.SimpleNamespace(Application=build)
    monkeypatch.setitem(sys.modules, "slatechute.application", module)
    monkeypatch.setattr(slatechute, "application", module, raising=False)
    monkeypatch.setenv("SLATECHUTE_TYPO", "1")
    assert program.main(["entry", *_FLAGS, "--fan-out=5"]) == 0
    assert built[0].fan_out == 5
    lines = [json.loads(x) for x in capsys.readouterr().err.splitlines()]
    events = {line["event"] for line in lines}
    assert {"entry_started", "entry_draining", "unknown_variable"} <= events


def test_process_with_port_in_use_and_free_port():
    """Guards against wrong exit statuses and wrong signal handling.

    Only a real process shows both.
    """
    command = [sys.executable, "-c", _FAKE_APPLICATION, "entry", *_FLAGS]
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        result = subprocess.run(
            [*command, f"--address=127.0.0.1:{port}"],
            capture_output=True,
            text=True,
            timeout=60,
        )
    assert result.returncode == 2
    errors_shown = [x for x in result.stderr.splitlines() if x[:1] != "{"]
    assert len(errors_shown) == 1
    assert "address already in use" in errors_shown[0]
    with subprocess.Popen(
        [*command, "--address=127.0.0.1:0"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        while "entry_started" not in process.stderr.readline():
            assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=60)
    assert process.returncode == 0
    assert output.split() == ["draining", "stopped"]
