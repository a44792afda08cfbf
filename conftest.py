"""Deselects and prints the tests listed in KNOWN-RED.txt."""

import pathlib

_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known_red_ids() -> set[str]:
    lines = _KNOWN_RED.read_text().splitlines()
    entries = (line for line in lines if line and not line.startswith("#"))
    return {line.split("|")[0].strip() for line in entries}


def pytest_collection_modifyitems(config, items):
    """Deselect the listed tests unless tests are only collected."""
    if config.option.collectonly:
        return
    listed = _known_red_ids()
    red = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=red)
    config.known_red = sorted(listed)


def pytest_terminal_summary(terminalreporter, config):
    """Print the deselected tests."""
    for test_id in getattr(config, "known_red", []):
        terminalreporter.write_line(f"known red, not run: {test_id}")
