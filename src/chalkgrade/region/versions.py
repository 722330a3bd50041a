"""Loads another version of the program from the git history, to run beside this one.

The modules of that version are imported under the usual names and then removed from
`sys.modules`. Both versions thus run in one process and share only the simulated region.
"""

import importlib
import subprocess
import sys
import tarfile
import tomllib
from io import BytesIO
from pathlib import Path
from typing import Any, NamedTuple

PACKAGE = "chalkgrade"


class CommitNotFound(Exception):
    """The commit is missing from the repository, so that version cannot be loaded."""


class Version(NamedTuple):
    """The parts of a loaded version that the simulation uses."""

    commit: str  # the git commit
    node: Any  # its serving.node.Node
    settings: Any  # its settings.Settings
    no_answer: type[Exception]  # its outside.NoAnswer


def production_commit(root: Path) -> str:
    """Return the commit that deploy/service.toml names as the production version."""
    return str(tomllib.loads((root / "deploy" / "service.toml").read_text())["production"])


def load(root: Path, commit: str, room: Path) -> Version:
    """Load the code of a commit.

    `room` is a directory into which the code is extracted. It must exist for as long as the
    version is used. Raises CommitNotFound if git cannot read the commit.
    """
    result = subprocess.run(
        ["git", "archive", commit, f"src/{PACKAGE}"], cwd=root, capture_output=True, check=False
    )
    if result.returncode:
        raise CommitNotFound(f"{commit}: {result.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=BytesIO(result.stdout)) as archive:
        archive.extractall(room, filter="data")
    current_modules = {
        name: sys.modules.pop(name) for name in list(sys.modules) if _is_own_module(name)
    }
    sys.path.insert(0, str(room / "src"))
    try:
        node = importlib.import_module(f"{PACKAGE}.serving.node")
        settings = importlib.import_module(f"{PACKAGE}.settings")
        outside = importlib.import_module(f"{PACKAGE}.outside")
    finally:
        sys.path.remove(str(room / "src"))
        for name in [name for name in sys.modules if _is_own_module(name)]:
            del sys.modules[name]
        sys.modules.update(current_modules)
    return Version(commit, node.Node, settings.Settings, outside.NoAnswer)


def _is_own_module(name: str) -> bool:
    """Return whether a module belongs to this package."""
    return name == PACKAGE or name.startswith(f"{PACKAGE}.")
