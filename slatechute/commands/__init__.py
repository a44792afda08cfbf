"""Commands of the slatechute program, one per module.

Each module of this folder defines one subclass of `cleo`'s `Command` and is
found by its name: `entry.py` defines the command `entry`, `bench_tail.py`
defines `bench tail` or `bench-tail`. A module is imported when its command is
run or listed, so that the imports of one command do not slow the others.
"""

import importlib
import pkgutil

from cleo.commands import command as cleo_command
from cleo.loaders import command_loader

__all__ = ["ModuleLoader"]

_HELPER_MODULES = frozenset({"base"})


class ModuleLoader(command_loader.CommandLoader):
    """Loader of the commands of this folder for a `cleo` application."""

    def __init__(self):
        self._modules = {
            module.name
            for module in pkgutil.iter_modules(__path__)
            if module.name not in _HELPER_MODULES
        }

    @property
    def names(self) -> list[str]:
        """Names of all commands; imports all modules."""
        names = (self._load(module).name for module in self._modules)
        return sorted(name for name in names if name)

    def has(self, name: str) -> bool:
        """Return whether a module exists for a command."""
        return _module_name(name) in self._modules

    def get(self, name: str) -> cleo_command.Command:
        """Import the module of a command and instantiate the command."""
        return self._load(_module_name(name))

    def _load(self, name: str) -> cleo_command.Command:
        module = importlib.import_module(f"{__name__}.{name}")
        classes = [
            value
            for value in vars(module).values()
            if isinstance(value, type)
            and issubclass(value, cleo_command.Command)
            and value.__module__ == module.__name__
        ]
        if len(classes) != 1:
            raise ImportError(f"{module.__name__} must define one command")
        return classes[0]()


def _module_name(command_name: str) -> str:
    return command_name.replace(" ", "_").replace("-", "_")
