"""Check that modules are imported, not names.

`from package import module` is allowed when `package.module` is a module.
Imports from the modules in `_EXEMPT_MODULES` may name anything.
"""

import ast
import importlib.util
import pathlib
import sys

_EXEMPT_MODULES = frozenset({"__future__", "typing", "collections.abc"})


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def find_violations(path: pathlib.Path) -> list[str]:
    """Return one line for each relative import or imported non-module."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if (
            not isinstance(node, ast.ImportFrom)
            or node.module in _EXEMPT_MODULES
        ):
            continue
        if node.level:
            found.append(f"{path}:{node.lineno}: relative import")
            continue
        found += [
            f"{path}:{node.lineno}: {node.module}.{alias.name} is not a module"
            for alias in node.names
            if not _is_module(f"{node.module}.{alias.name}")
        ]
    return found


def main(roots: list[str]) -> int:
    """Print all violations below the given folders; return the exit status."""
    sys.path.insert(0, ".")
    paths = sorted(
        p for root in roots for p in pathlib.Path(root).rglob("*.py")
    )
    found = [line for path in paths for line in find_violations(path)]
    print("\n".join(found) or f"imports: {len(paths)} files clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
