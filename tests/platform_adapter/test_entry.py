"""Tests of the program `platform/entry.py`."""

import os
import pathlib
import signal
import subprocess
import sys
import time

_ROOT = pathlib.Path(__file__).parents[2]
_SETTINGS = """{{
  "node": "edge-1",
  "ip": "127.0.0.1",
  "zone": "z1",
  "listen": {{"control": "127.0.0.1:{0}", "ready": "127.0.0.1:{1}"}},
  "port_range": [{2}, {2}],
  "platform": {{"address": "127.0.0.1:1"}}
}}
"""


def _start(tmp_path: pathlib.Path, text: str) -> subprocess.Popen:
    path = tmp_path / "settings.json"
    path.write_text(text)
    return subprocess.Popen(
        [sys.executable, "platform/entry.py"],
        cwd=_ROOT,
        env=os.environ | {"SLATECHUTE_BOOT": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )


def _wait_until_started(pid: int) -> None:
    """Wait until the program ignores SIGHUP, before it imports its modules."""
    end_s = time.monotonic() + 10
    while time.monotonic() < end_s:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        ignored = int(status.split("SigIgn:")[1].split()[0], 16)
        if ignored & 1 << signal.SIGHUP - 1:
            return
        time.sleep(0.005)
    raise AssertionError("the program does not ignore the signal")


def test_early_hangup_does_not_end_the_process(tmp_path):
    """SIGHUP may arrive during the imports, before its handler is installed."""
    process = _start(tmp_path, _SETTINGS.format(28311, 28312, 28313))
    try:
        _wait_until_started(process.pid)
        process.send_signal(signal.SIGHUP)
        for line in process.stdout:
            if '"entry_started"' in line:
                break
        else:
            raise AssertionError("the process has ended")
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.stdout.close()


def test_invalid_settings_end_the_process_with_a_log_line(tmp_path):
    """The platform restarts the process; only the log shows the cause."""
    process = _start(tmp_path, '{"node": 1}')
    output, _ = process.communicate(timeout=20)
    assert process.returncode == 2
    assert '"settings_unusable"' in output
