"""Adds `platform/` to the module search path, as `platform/entry.py` does."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[2] / "platform"))
