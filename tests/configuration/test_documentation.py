"""Tests that docs/configuration.md agrees with the models."""

import json
import pathlib
import re

from cleo.testers import command_tester

from slatechute.commands import explain
from slatechute.configuration import folder
from slatechute.configuration import models

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"
_TYPES = {
    int: "integer",
    float: "number",
    bool: "boolean",
    str: "string",
    list[str]: "list of strings",
    bool | None: "boolean",
    int | None: "integer",
}


def _range_text(field):
    limits = {}
    for limit in field.metadata:
        for name in ("ge", "le", "min_length", "max_length"):
            if hasattr(limit, name):
                limits[name] = getattr(limit, name)
    if not limits:
        return ""
    low, high = list(limits.values())
    unit = " characters" if "min_length" in limits else ""
    return f"{low} to {high}{unit}"


def _default_text(field):
    if field.is_required():
        return "required"
    if field.default is None:
        return "none"
    text = json.dumps(field.default)
    return text if type(field.default) in (int, float) else f"`{text}`"


def _rows(model, prefix):
    for name, field in model.model_fields.items():
        kind = field.annotation
        key = f"{prefix}{name}"
        if kind in _TYPES:
            yield (key, _TYPES[kind], _default_text(field), _range_text(field))
        elif kind in (models.FleetRules,):
            yield from _rows(kind, f"{key}.")
        else:
            yield from _rows(kind.__args__[1], f"{key}.*.")


def test_table_lists_every_key_with_type_default_and_range():
    """Guards against a page that no longer matches the models."""
    rows = re.findall(
        r"^\| `(.+?)` \| (.+?) \| (.+?) \| (.*?) ?\|$",
        _PAGE.read_text(),
        re.MULTILINE,
    )
    assert rows == list(_rows(models.Configuration, ""))
    described = re.findall(r"^- `([a-z_.*]+)`: ", _PAGE.read_text(), re.M)
    assert described == [row[0] for row in rows]


def test_examples_are_valid_and_explained_as_shown(tmp_path):
    """Guards against examples that are invalid when operators copy them."""
    examples = re.findall(
        r"^`(\S+\.toml)`.*?```toml\n(.*?)```", _PAGE.read_text(), re.M | re.S
    )
    assert len(examples) == 3
    configuration = folder.build(dict(examples))
    assert list(configuration.services) == ["plans"]
    assert configuration.services["plans"].routes["lookup"].repeatable is None
    for name, text in examples:
        (tmp_path / name).write_text(text)
    tester = command_tester.CommandTester(explain.ExplainCommand())
    tester.execute(f'"{tmp_path}" services.plans.deadline_ms')
    assert f"```text\n{tester.io.fetch_output()}```" in _PAGE.read_text()


def test_limits_are_those_of_the_merge():
    """Guards against documented limits that differ from those of the merge."""
    text = " ".join(_PAGE.read_text().split())
    assert f"at most {folder.MAX_PART_NAME_BYTES} bytes" in text
    assert f"at most {folder.MAX_PART_BYTES >> 10} KiB" in text
    assert f"at most {folder.MAX_PARTS} files" in text
    assert f"and {folder.MAX_DOCUMENT_BYTES >> 20} MiB" in text
    assert f"at most {folder.MAX_DOTS_PER_LINE} dots" in text
    assert f"at most {folder.MAX_DEPTH} deep" in text
