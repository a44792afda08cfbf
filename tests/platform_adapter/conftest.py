"""Makes the modules of `platform/` importable, as the hosts do."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[2] / "platform"))
