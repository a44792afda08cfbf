"""Builds of earlier revisions, taken from the history of the repository."""

import io
import pathlib
import subprocess
import tarfile

import pytest

__all__ = ["CURRENT", "REVISIONS", "extract"]

# The current build.
CURRENT = pathlib.Path(__file__).parents[2]
# The builds that hosts run: the last one without exchanges through peers
# (frames 24 and 25), and the first one with them.
REVISIONS = ("2583d3d", "0c36a17")
# The archive has 1 MB; a disk that is busy takes seconds for it.
_GIT_TIMEOUT_S = 30.0


def extract(revision: str, folder: pathlib.Path) -> pathlib.Path:
    """Extract the program of a revision into a folder and return its root.

    Skips the running test if the history does not contain the revision, as in
    a shallow clone or an exported tree.
    """
    command = ["git", "archive", "--format=tar", revision]
    try:
        archive = subprocess.run(
            [*command, "slatechute", "platform"],
            cwd=CURRENT,
            capture_output=True,
            check=True,
            timeout=_GIT_TIMEOUT_S,
        ).stdout
    except subprocess.CalledProcessError as error:
        detail = error.stderr.decode(errors="replace").strip()
        pytest.skip(f"no build {revision} in the history: {detail}")
    except (OSError, subprocess.TimeoutExpired) as error:
        pytest.skip(f"git cannot extract build {revision}: {error}")
    root = folder / revision
    with tarfile.open(fileobj=io.BytesIO(archive)) as content:
        content.extractall(root, filter="data")
    return root
