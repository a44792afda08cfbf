"""Merge the operators' folder of TOML files.

Files are merged in the code point order of their names, key by key. The result
depends only on the names and texts, so that every host accepts the same
documents.
"""

import dataclasses
import functools
import json
import pathlib
import re
import tomllib
from typing import Any

import pydantic

from slatechute import errors
from slatechute.configuration import models

__all__ = [
    "Layer",
    "MAX_DOCUMENT_BYTES",
    "MAX_PARTS",
    "MAX_PART_BYTES",
    "Merged",
    "Origin",
    "build",
    "format_key",
    "merge",
    "parse_file",
    "parse_key",
    "part_problems",
    "read",
    "merge_layers",
    "values_by_key",
]

# A part is sent in one peer frame of at most 256 KiB.
MAX_PART_BYTES = 200 * 1024
# The digests of all parts are sent in one peer frame, with up to 136 bytes for
# each part.
MAX_PARTS = 1800
MAX_PART_NAME_BYTES = 96
# Bounds the memory for a document assembled from peers. A list of 11,000
# instances takes 1.1 MB.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# Bounds the recursion over a file. The schema itself is five tables deep.
MAX_DEPTH = 16
# tomllib takes quadratic time in the number of dots of a key: 0.09 s for 4,000
# dots on a line, and a file can hold 100,000.
MAX_DOTS_PER_LINE = 64

_FILE_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9._-]*\.toml")
_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
_KEY_PART = r"""(?:[A-Za-z0-9_-]+|"(?:[^"\\\n]|\\.)*"|'[^'\n]*')"""
_DOTTED_KEY = re.compile(rf"{_KEY_PART}(?:\.{_KEY_PART})*")
_TOML_POSITION = re.compile(r"(.*) \(at (line \d+, column \d+)\)", re.DOTALL)

_Path = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Origin of the value of a key.

    Attributes:
        file: File that sets the effective value.
        overridden_files: Files whose values it overrides, in merge order.
    """

    file: str
    overridden_files: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Merged:
    """The merged folder before validation.

    Attributes:
        tree: Raw values in nested tables.
        origin_by_key: Origin of each value by dotted key.
        files_by_table: Files that name a table, by dotted key.
    """

    tree: dict[str, Any]
    origin_by_key: dict[str, Origin]
    files_by_table: dict[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Leaf:
    value: Any
    origin: Origin


@dataclasses.dataclass(frozen=True, slots=True)
class _Table:
    node_by_key: dict[str, "_Leaf | _Table"]
    files: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Removal:
    path: _Path
    file: str
    matched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Layer:
    """One file or the merged result of several successive files.

    A layer first removes keys from the lower layers and then sets its own.

    Attributes:
        root: Values that the layer sets.
        removals: Keys that it removes from lower layers, in order.
        problems: Problems found so far.
        broken: Whether a file could not be parsed.
    """

    root: _Table = _Table({}, ())
    removals: tuple[_Removal, ...] = ()
    problems: tuple[str, ...] = ()
    broken: bool = False


def _quote(part: str) -> str:
    # TOML forbids a literal DEL, which JSON does not escape.
    return json.dumps(part, ensure_ascii=False).replace("\x7f", "\\u007f")


def format_key(path: _Path) -> str:
    """Return the dotted key of a path, quoted where TOML requires it.

    >>> format_key(("services", "a.b"))
    'services."a.b"'
    """
    return ".".join(
        part if _BARE_KEY.fullmatch(part) else _quote(part) for part in path
    )


def parse_key(text: str) -> _Path:
    """Return the path of a dotted key.

    Raises:
        ValueError: The text is not a dotted TOML key.

    >>> parse_key('services."a.b"')
    ('services', 'a.b')
    """
    if text.count(".") > MAX_DOTS_PER_LINE or not _DOTTED_KEY.fullmatch(text):
        raise ValueError("is not a dotted key")
    node = tomllib.loads(f"{text} = 0")
    path = []
    while isinstance(node, dict):
        ((part, node),) = node.items()
        path.append(part)
    return tuple(path)


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _part_problem(part: str, text: str) -> str | None:
    if not isinstance(part, str) or not isinstance(text, str):
        return f"{part!a}: is not text"
    if not _is_encodable(part) or not _is_encodable(text):
        return f"{part!a}: is not valid Unicode"
    if not 0 < len(part.encode()) <= MAX_PART_NAME_BYTES:
        return f"{part!a}: name is empty or too long"
    size = len(text.encode())
    if size > MAX_PART_BYTES:
        return f"{part}: {size} bytes, at most {MAX_PART_BYTES} allowed"
    return None


def part_problems(text_by_part: dict[str, str]) -> list[str]:
    """Return the problems because of which parts cannot be sent to peers."""
    found = [_part_problem(*item) for item in text_by_part.items()]
    return [
        *_size_problems(text_by_part),
        *(problem for problem in found if problem is not None),
    ]


def _size_problems(text_by_part: dict[str, str]) -> list[str]:
    problems = []
    if len(text_by_part) > MAX_PARTS:
        problems.append(f"document: more than {MAX_PARTS} parts")
    total = sum(
        len(text.encode(errors="replace"))
        for text in text_by_part.values()
        if isinstance(text, str)
    )
    if total > MAX_DOCUMENT_BYTES:
        problems.append(
            f"document: {total} bytes, at most {MAX_DOCUMENT_BYTES} allowed"
        )
    return problems


def _is_too_deep(value: Any) -> bool:
    pending = [(value, 0)]
    while pending:
        node, depth = pending.pop()
        if isinstance(node, dict | list):
            if depth >= MAX_DEPTH:
                return True
            children = node.values() if isinstance(node, dict) else node
            pending += [(child, depth + 1) for child in children]
    return False


def _format_syntax_problem(file: str, err: Exception) -> str:
    if isinstance(err, RecursionError):
        return f"{file}: nested too deeply"
    match = _TOML_POSITION.fullmatch(str(err))
    if match is None:
        return f"{file}: {err}"
    return f"{file}: {match[2]}: {match[1]}"


def _parse_toml(file: str, text: str) -> dict[str, Any]:
    if not _FILE_NAME.fullmatch(file):
        raise errors.ConfigurationError([f"{file!a}: is not a .toml file name"])
    for number, line in enumerate(text.split("\n"), 1):
        if line.count(".") > MAX_DOTS_PER_LINE and not line.lstrip().startswith(
            "#"
        ):
            raise errors.ConfigurationError(
                [f"{file}: line {number}: more than {MAX_DOTS_PER_LINE} dots"]
            )
    try:
        tree = tomllib.loads(text)
    except (ValueError, OverflowError, RecursionError) as err:
        raise errors.ConfigurationError(
            [_format_syntax_problem(file, err)]
        ) from err
    if _is_too_deep(tree):
        raise errors.ConfigurationError([f"{file}: nested too deeply"])
    return tree


def _build_table(tree: dict[str, Any], file: str) -> _Table:
    node_by_key = {
        key: _build_table(value, file)
        if isinstance(value, dict)
        else _Leaf(value, Origin(file))
        for key, value in tree.items()
    }
    return _Table(node_by_key, (file,))


def parse_file(file: str, text: str) -> Layer:
    """Return the layer of one file, with its problems in `problems`."""
    try:
        tree = _parse_toml(file, text)
    except errors.ConfigurationError as err:
        return Layer(problems=tuple(err.problems), broken=True)
    removed_keys = tree.pop("remove", [])
    problems, removals = [], []
    if not isinstance(removed_keys, list):
        problems.append(f"{file}: remove: is not a list of dotted keys")
        removed_keys = []
    for key in removed_keys:
        try:
            if not isinstance(key, str):
                raise ValueError("is not text")
            removals.append(_Removal(parse_key(key), file))
        except ValueError as err:
            problems.append(f"{file}: remove: {key!r:.80}: {err}")
    return Layer(_build_table(tree, file), tuple(removals), tuple(problems))


def _remove_key(table: _Table, path: _Path) -> _Table | None:
    """Return the table without a key, or None when it has no such key."""
    node = table.node_by_key.get(path[0])
    if node is None:
        return None
    remaining = dict(table.node_by_key)
    if len(path) == 1:
        del remaining[path[0]]
        return _Table(remaining, table.files)
    if not isinstance(node, _Table):
        return None
    inner = _remove_key(node, path[1:])
    if inner is None:
        return None
    remaining[path[0]] = inner
    return _Table(remaining, table.files)


def _merge_tables(
    lower: _Table, upper: _Table, path: _Path, problems: list[str]
) -> _Table:
    node_by_key = dict(lower.node_by_key)
    for key, upper_node in upper.node_by_key.items():
        lower_node = node_by_key.get(key)
        child_path = (*path, key)
        if isinstance(lower_node, _Table) and isinstance(upper_node, _Table):
            upper_node = _merge_tables(
                lower_node, upper_node, child_path, problems
            )
        elif isinstance(lower_node, _Leaf) and isinstance(upper_node, _Leaf):
            overridden = (
                *lower_node.origin.overridden_files,
                lower_node.origin.file,
                *upper_node.origin.overridden_files,
            )
            upper_node = _Leaf(
                upper_node.value, Origin(upper_node.origin.file, overridden)
            )
        elif lower_node is not None:
            # A silent replacement would make the result depend on how the
            # files are grouped.
            problems.append(
                f"{_format_files(upper_node)}: {format_key(child_path)}: is a "
                "table in one file and a value in another "
                f"({_format_files(lower_node)})"
            )
        node_by_key[key] = upper_node
    files = dict.fromkeys((*lower.files, *upper.files))
    return _Table(node_by_key, tuple(files))


def _format_files(node: _Leaf | _Table) -> str:
    if isinstance(node, _Leaf):
        return node.origin.file
    return ", ".join(node.files)


def merge_layers(lower: Layer, upper: Layer) -> Layer:
    """Return the layer that is equivalent to `lower` followed by `upper`.

    The operation is associative for layers that merge without problems.
    """
    root = lower.root
    removals = list(lower.removals)
    problems = [*lower.problems, *upper.problems]
    for removal in upper.removals:
        remaining = _remove_key(root, removal.path)
        if remaining is not None:
            root = remaining
            removal = dataclasses.replace(removal, matched=True)
        removals.append(removal)
    root = _merge_tables(root, upper.root, (), problems)
    broken = lower.broken or upper.broken
    return Layer(root, tuple(removals), tuple(problems), broken)


def _flatten(table: _Table, path: _Path, merged: Merged) -> dict[str, Any]:
    tree = {}
    for key, node in table.node_by_key.items():
        child_path = (*path, key)
        if isinstance(node, _Table):
            merged.files_by_table[format_key(child_path)] = node.files
            tree[key] = _flatten(node, child_path, merged)
        else:
            merged.origin_by_key[format_key(child_path)] = node.origin
            tree[key] = node.value
    return tree


def _merge(
    text_by_part: dict[str, str], is_partial: bool
) -> tuple[Merged, list[str], bool]:
    """Merge all files that can be merged.

    Returns:
        The result, all problems, and whether the result lacks files.
    """
    problems = part_problems(text_by_part)
    if _size_problems(text_by_part):
        return Merged({}, {}, {}), problems, True
    files = sorted(
        part
        for part, text in text_by_part.items()
        if _part_problem(part, text) is None
    )
    layers = [parse_file(file, text_by_part[file]) for file in files]
    layer = functools.reduce(merge_layers, layers, Layer())
    problems += layer.problems
    is_partial = is_partial or layer.broken or len(files) < len(text_by_part)
    # A file that could not be parsed may be the one that sets a removed key.
    if not is_partial:
        problems += [
            f"{removal.file}: remove: {format_key(removal.path)}: no earlier "
            "file sets this key"
            for removal in layer.removals
            if not removal.matched
        ]
    merged = Merged({}, {}, {"": layer.root.files})
    merged.tree = _flatten(layer.root, (), merged)
    return merged, problems, is_partial


def merge(text_by_part: dict[str, str]) -> Merged:
    """Merge the files of the folder.

    Args:
        text_by_part: Text of each file by its name.

    Raises:
        errors.ConfigurationError: Files cannot be parsed or merged; lists
            every problem.
    """
    merged, problems, _ = _merge(text_by_part, False)
    if problems:
        raise errors.ConfigurationError(problems)
    return merged


def _format_location(merged: Merged, path: _Path) -> str:
    """Return the files that set a key or else its closest enclosing table."""
    for length in range(len(path), -1, -1):
        key = format_key(path[:length])
        if key in merged.origin_by_key:
            return merged.origin_by_key[key].file
        if key in merged.files_by_table:
            return ", ".join(merged.files_by_table[key])
    return "document"


def _format_model_problems(
    merged: Merged, err: pydantic.ValidationError, is_partial: bool
) -> list[str]:
    problems = []
    for error in err.errors(include_url=False, include_input=False):
        path = tuple(str(part) for part in error["loc"])
        reason = error["msg"][:1].lower() + error["msg"][1:]
        if error["type"] == "missing":
            if is_partial:
                continue
            reason = "is missing"
        elif error["type"] == "extra_forbidden":
            reason = "unknown key"
        problems.append(
            f"{_format_location(merged, path)}: {format_key(path)}: {reason}"
        )
    return problems


def build(
    text_by_part: dict[str, str], *, is_partial: bool = False
) -> models.Configuration:
    """Return the validated configuration of the folder.

    Args:
        text_by_part: Text of each file by its name.
        is_partial: Whether files are known to be missing, so that missing keys
            are not reported.

    Raises:
        errors.ConfigurationError: The folder is not valid; lists every problem
            with its file, key or line, and reason.
    """
    merged, problems, is_partial = _merge(text_by_part, is_partial)
    try:
        configuration = models.Configuration.model_validate(merged.tree)
    except pydantic.ValidationError as err:
        problems += _format_model_problems(merged, err, is_partial)
    if problems:
        raise errors.ConfigurationError(problems)
    return configuration


def values_by_key(tree: dict[str, Any], path: _Path = ()) -> dict[str, Any]:
    """Return the values in nested tables by dotted key.

    >>> values_by_key({"fleet": {"keep_ms": 900}})
    {'fleet.keep_ms': 900}
    """
    found = {}
    for key, value in tree.items():
        if isinstance(value, dict):
            found |= values_by_key(value, (*path, key))
        else:
            found[format_key((*path, key))] = value
    return found


def read(path: pathlib.Path) -> tuple[dict[str, str], list[str]]:
    """Read a folder from disk.

    Returns:
        The text of each readable file by name, and one problem for each
        directory entry that is not a readable text file.
    """
    text_by_part, problems = {}, []
    try:
        entries = sorted(path.iterdir())
    except OSError as err:
        return {}, [f"{path}: {err.strerror}"]
    for entry in entries:
        try:
            with entry.open("rb") as stream:
                raw = stream.read(MAX_PART_BYTES + 1)
            if len(raw) > MAX_PART_BYTES:
                problems.append(
                    f"{entry.name}: more than {MAX_PART_BYTES} bytes"
                )
            else:
                text_by_part[entry.name] = raw.decode()
        except OSError as err:
            problems.append(f"{entry.name}: {err.strerror}")
        except UnicodeDecodeError as err:
            problems.append(f"{entry.name}: is not UTF-8: {err.reason}")
    return text_by_part, problems
