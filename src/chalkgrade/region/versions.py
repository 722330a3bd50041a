"""Another version of the program beside this one in a region: its true code, from the history.

Its modules are loaded under the same names and then set aside, so that both live in one
process and share nothing but the simulated world.
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
    """The commit is not in the repository's history: nothing can be said of that version."""


class Version(NamedTuple):
    """What the region needs of a version."""

    commit: str
    node: Any  # its serving.node.Node
    settings: Any  # its settings.Settings
    no_answer: type[Exception]


def production_commit(root: Path) -> str:
    """The commit that deploy/service.toml names."""
    return str(tomllib.loads((root / "deploy" / "service.toml").read_text())["production"])


def load(root: Path, commit: str, room: Path) -> Version:
    """A version's code, laid into `room`, a folder that lasts as long as it is used."""
    found = subprocess.run(
        ["git", "archive", commit, f"src/{PACKAGE}"], cwd=root, capture_output=True, check=False
    )
    if found.returncode:
        raise CommitNotFound(f"{commit}: {found.stderr.decode(errors='replace').strip()}")
    with tarfile.open(fileobj=BytesIO(found.stdout)) as packed:
        packed.extractall(room, filter="data")
    own = {name: sys.modules.pop(name) for name in list(sys.modules) if _ours(name)}
    sys.path.insert(0, str(room / "src"))
    try:
        node = importlib.import_module(f"{PACKAGE}.serving.node")
        settings = importlib.import_module(f"{PACKAGE}.settings")
        outside = importlib.import_module(f"{PACKAGE}.outside")
    finally:
        sys.path.remove(str(room / "src"))
        for name in [name for name in sys.modules if _ours(name)]:
            del sys.modules[name]
        sys.modules.update(own)
    return Version(commit, node.Node, settings.Settings, outside.NoAnswer)


def _ours(name: str) -> bool:
    return name == PACKAGE or name.startswith(f"{PACKAGE}.")
