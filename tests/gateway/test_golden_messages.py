"""Messages between this build and earlier ones.

`golden_messages.json` has an example of each message as earlier builds encode
it. Entries of two builds run side by side during a roll-out and a rollback.
"""

import dataclasses
import json
import os
import pathlib
import subprocess
import sys

import cbor2
import pytest

from slatechute import messages
from tests.gateway import earlier_builds
from tests.gateway import message_examples

_FOLDER = pathlib.Path(__file__).parent
_GOLDEN = json.loads((_FOLDER / "golden_messages.json").read_text())
_GOLDEN_MESSAGES = [
    pytest.param(message, id=f"{revision}-{message['type']}")
    for revision, golden in _GOLDEN.items()
    for message in golden
]
# Above all tags that are in use or planned.
_UNKNOWN_TAG = 9_999
_PROGRAM_TIMEOUT_S = 30.0


def _default(field: dataclasses.Field) -> object:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


@pytest.fixture(scope="module", params=earlier_builds.REVISIONS)
def build(request, tmp_path_factory):
    """Return the revision and the folder of an earlier build."""
    folder = tmp_path_factory.mktemp("build")
    return request.param, earlier_builds.extract(request.param, folder)


def _run(build: pathlib.Path, command: str, frames: list[str]) -> list:
    """Run the program of the examples with the modules of a build."""
    output = subprocess.run(
        [sys.executable, str(_FOLDER / "message_examples.py"), command],
        env=os.environ | {"PYTHONPATH": str(build)},
        input=json.dumps(frames),
        capture_output=True,
        check=True,
        text=True,
        timeout=_PROGRAM_TIMEOUT_S,
    ).stdout
    result = json.loads(output)
    assert pathlib.Path(result["module"]).is_relative_to(build)
    return result["content"]


def test_golden_file_has_all_messages_of_its_builds():
    """A message that is missing from the file would not be checked at all."""
    assert tuple(_GOLDEN) == earlier_builds.REVISIONS
    tags = {
        revision: [message["tag"] for message in golden]
        for revision, golden in _GOLDEN.items()
    }
    assert tags == {
        "2583d3d": list(range(1, 24)),
        "0c36a17": list(range(1, 26)),
    }


@pytest.mark.parametrize("golden", _GOLDEN_MESSAGES)
def test_messages_of_earlier_builds_are_decoded(golden):
    """A field that is moved, removed or retyped would be misread."""
    message = messages.decode(bytes.fromhex(golden["frame"]))
    decoded = message_examples.describe(message)
    assert decoded["type"] == golden["type"]
    known = decoded["fields"].items()
    assert {
        name: value for name, value in known if name in golden["fields"]
    } == golden["fields"]
    for field in dataclasses.fields(message):
        if field.name not in golden["fields"]:
            assert getattr(message, field.name) == _default(field)


@pytest.mark.parametrize("golden", _GOLDEN_MESSAGES)
def test_fields_of_a_message_keep_their_places(golden):
    """Fields have no names on the wire, so new ones must be the last ones.

    A new field without a default would refuse the messages of earlier builds.
    """
    cls = getattr(messages, golden["type"])
    assert golden["tag"] == cls.TAG
    fields = dataclasses.fields(cls)
    known = len(golden["fields"])
    assert [field.name for field in fields[:known]] == list(golden["fields"])
    assert dataclasses.MISSING not in map(_default, fields[known:])


@pytest.mark.parametrize(
    "cls", message_examples.all_types(), ids=lambda cls: cls.__name__
)
def test_messages_of_a_later_build_are_decoded(cls):
    """During a rollback, this build is the older one of two."""
    message = message_examples.example(cls)
    content = cbor2.loads(messages.encode(message))
    later = cbor2.dumps([*content, {"new": 1}, None])
    assert messages.decode(later) == message
    assert messages.decode(cbor2.dumps([_UNKNOWN_TAG, "x"])) is None


def test_golden_file_is_what_the_builds_send(build):
    """Frames that no build has ever sent would prove nothing."""
    revision, folder = build
    assert _run(folder, "encode", []) == _GOLDEN[revision]


def test_earlier_builds_decode_messages_of_this_one(build):
    """During a roll-out, earlier builds get the messages of this one.

    They ignore new tags and new last fields.
    """
    revision, folder = build
    current = message_examples.encode_all()
    decoded = _run(folder, "decode", [item["frame"] for item in current])
    golden_by_tag = {item["tag"]: item for item in _GOLDEN[revision]}
    for sent, received in zip(current, decoded, strict=True):
        golden = golden_by_tag.get(sent["tag"])
        if golden is None:
            assert received is None
            continue
        expected = {name: sent["fields"][name] for name in golden["fields"]}
        assert received == {"type": golden["type"], "fields": expected}
