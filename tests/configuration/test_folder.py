"""Tests of the merge of TOML files and the errors that it reports."""

import hypothesis
from hypothesis import strategies
import pytest

from slatechute import errors
from slatechute.configuration import folder

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
_KEYS = ["fleet.keep_ms", "services.a.slots", "services.a", "services.b.x.y"]
_LINES = strategies.lists(
    strategies.one_of(
        strategies.builds(
            "{} = {}".format,
            strategies.sampled_from(_KEYS),
            strategies.integers(0, 3),
        ),
        strategies.builds(
            "remove = ['{}']".format, strategies.sampled_from(_KEYS)
        ),
    ),
    max_size=3,
).map("\n".join)
_LAYERS = _LINES.map(lambda text: folder.parse_file("x.toml", text))
_MERGEABLE = _LAYERS.filter(lambda layer: not layer.problems)


def _problems(text_by_part):
    with pytest.raises(errors.ConfigurationError) as raised:
        folder.build(text_by_part)
    return raised.value.problems


def test_later_file_wins_and_origin_lists_overridden_files():
    """Guards against a merge that does not follow the order of file names."""
    merged = folder.merge(
        {
            "20.toml": "[services.plans]\nslots = 3",
            "10.toml": "[services.plans]\nslots = 2\nqueue_length = 9",
            "30.toml": "services.plans.slots = 4",
        }
    )
    assert merged.tree["services"]["plans"] == {"slots": 4, "queue_length": 9}
    origin = merged.origin_by_key["services.plans.slots"]
    assert origin == folder.Origin("30.toml", ("10.toml", "20.toml"))


def test_remove_applies_before_the_keys_of_its_own_file():
    """Guards against a removal that deletes a key set by the same file.

    A file may remove a key and set it again. The removal must not be applied
    last.
    """
    configuration = folder.build(
        {
            "1.toml": "[services.plans]\nslots = 2\nqueue_length = 9\n"
            "[services.'a.b']\nslots = 1",
            "2.toml": "remove = ['services.plans', 'services.\"a.b\"']\n"
            "[services.plans]\nslots = 3",
        }
    )
    assert list(configuration.services) == ["plans"]
    assert configuration.services["plans"].slots == 3
    assert configuration.services["plans"].queue_length == 256


def test_all_problems_are_reported_at_once():
    """Guards against a report that stops at the first problem.

    Operators would then need one run for each correction.
    """
    assert _problems(
        {
            "a.toml": "[services.plans]\nslots = 0\nslot = 1",
            "b.toml": "remove = ['fleet.keep_ms', 'x y', 7]\nfleet = 1",
            "c.toml": "[services.kit.routes.r]\nbulk = 'yes'",
        }
    ) == [
        "b.toml: remove: 'x y': is not a dotted key",
        "b.toml: remove: 7: is not text",
        "b.toml: remove: fleet.keep_ms: no earlier file sets this key",
        "b.toml: fleet: input should be a valid dictionary or instance of "
        "FleetRules",
        "a.toml: services.plans.slots: input should be greater than or equal "
        "to 1",
        "a.toml: services.plans.slot: unknown key",
        "c.toml: services.kit.slots: is missing",
        "c.toml: services.kit.routes.r.bulk: input should be a valid boolean",
    ]


def test_syntax_error_names_the_line_and_hides_no_other_problem():
    """Guards against reporting a key as missing that a broken file sets.

    The merge does not see the keys of a file with a syntax error.
    """
    assert _problems(
        {
            "0.toml": None,
            "1.toml": "[services.plans]\nslots = \n",
            "2.toml": "remove = ['services.kit']\n"
            "[services.plans]\nqueue_length = 9\nextra = 1",
        }
    ) == [
        "'0.toml': is not text",
        "1.toml: line 2, column 9: Invalid value",
        "2.toml: services.plans.extra: unknown key",
    ]


@pytest.mark.parametrize(
    ("text_by_part", "expected"),
    [
        ({"notes.txt": ""}, "is not a .toml file name"),
        ({"sub/a.toml": ""}, "is not a .toml file name"),
        ({"a" * 96 + ".toml": ""}, "name is empty or too long"),
        ({"a.toml": "#" * (folder.MAX_PART_BYTES + 1)}, "bytes, at most"),
        ({"a.toml": "#\ud800"}, "is not valid Unicode"),
        ({"a.toml": None}, "is not text"),
        ({"a.toml": ".".join("a" * 66) + " = 1"}, "line 1: more than 64 dots"),
        ({"a.toml": "a = " + "[" * 17 + "]" * 17}, "nested too deeply"),
        ({"a.toml": "a = " + "[" * 5000}, "nested too deeply"),
        ({"a.toml": "remove = 1"}, "is not a list"),
        ({"a.toml": "a = " + "9" * 5000}, "integer"),
        ({"a.toml": "a.b = 1", "b.toml": "a = 1"}, "is a table in one file"),
        (
            {f"{n}.toml": "" for n in range(folder.MAX_PARTS + 1)},
            "more than 1800 parts",
        ),
        (
            {f"{n}.toml": "#" * folder.MAX_PART_BYTES for n in range(21)},
            "document: 4300800 bytes",
        ),
    ],
    ids=range(14),
)
def test_invalid_files_are_reported(text_by_part, expected):
    """Guards against an invalid file that is ignored or crashes the merge."""
    assert any(expected in problem for problem in _problems(text_by_part))


@hypothesis.given(_MERGEABLE, _MERGEABLE, _MERGEABLE)
@_SETTINGS
def test_merge_is_associative_in_file_order(first, second, third):
    """Guards against a result that depends on how files are grouped."""
    left = folder.merge_layers(folder.merge_layers(first, second), third)
    hypothesis.assume(not left.problems)
    assert (
        folder.merge_layers(first, folder.merge_layers(second, third)) == left
    )


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["a.toml", "b.toml", "c.toml", "d"]),
        _LINES | strategies.text(max_size=80),
    )
)
@_SETTINGS
def test_any_folder_is_built_or_rejected(text_by_part):
    """Guards against exceptions of libraries that leave the merge.

    Also guards against a result that depends on the order of the parts.
    """
    backwards = dict(reversed(text_by_part.items()))
    try:
        configuration = folder.build(text_by_part)
    except errors.ConfigurationError as err:
        assert err.problems
        assert set(_problems(backwards)) == set(err.problems)
    else:
        assert folder.build(backwards) == configuration


@hypothesis.given(strategies.lists(strategies.text(), min_size=1, max_size=3))
@_SETTINGS
def test_formatted_keys_parse_back(path):
    """Guards against keys in error messages that `remove` does not accept."""
    assert folder.parse_key(folder.format_key(tuple(path))) == tuple(path)


def test_read_reports_what_is_not_a_text_file(tmp_path):
    """Guards against files that are skipped silently."""
    (tmp_path / "a.toml").write_text("x = 1")
    (tmp_path / "b.toml").write_bytes(b"\xff")
    (tmp_path / "c").mkdir()
    (tmp_path / "d.toml").write_bytes(b"#" * (folder.MAX_PART_BYTES + 1))
    text_by_part, problems = folder.read(tmp_path)
    assert text_by_part == {"a.toml": "x = 1"}
    assert [problem[0] for problem in problems] == ["b", "c", "d"]
    assert folder.read(tmp_path / "none")[1]
