"""Tests of `slatechute settings`."""

from slatechute import __main__ as program
from slatechute import settings as entry_settings

_KEY = "0123456789abcdef"


def test_values_and_origins(capsys, monkeypatch):
    """Guards against output that differs from the effective settings.

    Operators check this output before they start an entry.
    """
    monkeypatch.setenv("SLATECHUTE_FLEET_KEY", _KEY)
    monkeypatch.setenv("SLATECHUTE_FANOUT", "4")
    arguments = ["--entry-id", "e1", "--data-centre", "<b>d1</b>"]
    assert program.main(["settings", *arguments]) == 0
    output = capsys.readouterr()
    rows = {line.split()[0]: line.split() for line in output.out.splitlines()}
    assert set(rows) == set(entry_settings.EntrySettings.model_fields)
    assert rows["data_centre"][1:3] == ["<b>d1</b>", "flag"]
    assert rows["fleet_key"][2] == "environment"
    assert rows["policy"][1:3] == ["owner", "default"]
    assert _KEY not in output.out + output.err
    assert "SLATECHUTE_FANOUT" in output.err
