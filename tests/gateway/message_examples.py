"""Examples of all messages of one build, and what it decodes.

Also a program that runs with the modules of another build:

    PYTHONPATH=BUILD python message_examples.py encode
    PYTHONPATH=BUILD python message_examples.py decode < frames

`encode` prints the examples as JSON. `decode` reads a JSON list of frames in
hexadecimal digits and prints what the build decodes from each.
"""

import dataclasses
import itertools
import json
import sys
import types
import typing

import msgspec

from slatechute import errors
from slatechute import messages


def all_types() -> list[type]:
    """Return the types of all messages, by ascending tag."""
    # `dataclass(slots=True)` replaces a class, and the replaced one stays a
    # subclass until it is collected.
    found = {
        getattr(messages, cls.__name__)
        for cls in messages.Message.__subclasses__()
        if cls.TAG
    }
    return sorted(found, key=lambda cls: cls.TAG)


def _example_value(hint: object, counter: typing.Iterator[int]) -> object:
    """Return a value of a type; two values differ wherever the type allows."""
    number = next(counter)
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        present = [item for item in arguments if item is not type(None)]
        return _example_value(present[0], counter)
    if origin is list:
        return [_example_value(arguments[0], counter)]
    if origin is tuple:
        return tuple(_example_value(item, counter) for item in arguments)
    if origin is dict:
        key, value = arguments
        return {_example_value(key, counter): _example_value(value, counter)}
    if isinstance(hint, type) and issubclass(hint, tuple):
        hints = typing.get_type_hints(hint)
        return hint(*(_example_value(h, counter) for h in hints.values()))
    simple = {
        bool: True,
        int: number,
        float: number + 0.5,
        str: f"text-{number}",
        bytes: f"bytes-{number}".encode(),
    }
    return simple[hint]


def example(cls: type) -> messages.Message:
    """Return a message with a value in each field, none of them the default.

    Raises:
        KeyError: A field has a type of which there is no example.
    """
    counter = itertools.count(cls.TAG * 100)
    hints = typing.get_type_hints(cls)
    values = {}
    for field in dataclasses.fields(cls):
        value = _example_value(hints[field.name], counter)
        values[field.name] = False if value is field.default else value
    return cls(**values)


def describe(message: messages.Message | None) -> dict | None:
    """Return the fields of a message as JSON values, None for no message."""
    if message is None:
        return None
    return {
        "type": type(message).__name__,
        "fields": msgspec.json.decode(msgspec.json.encode(message)),
    }


def encode_all() -> list[dict]:
    """Return tag, fields and frame of an example of each message."""
    described = []
    for cls in all_types():
        message = example(cls)
        described.append(
            {"tag": cls.TAG, "frame": messages.encode(message).hex()}
            | describe(message)
        )
    return described


def decode_all(frames: list[str]) -> list[dict | None | str]:
    """Return what is decoded from frames, or the text of an error."""
    decoded: list[dict | None | str] = []
    for frame in frames:
        try:
            decoded.append(describe(messages.decode(bytes.fromhex(frame))))
        except errors.FrameError as error:
            decoded.append(str(error))
    return decoded


def main() -> None:
    """Run the command of the first argument."""
    if sys.argv[1] == "encode":
        content = encode_all()
    else:
        content = decode_all(json.load(sys.stdin))
    json.dump({"module": messages.__file__, "content": content}, sys.stdout)


if __name__ == "__main__":
    main()
