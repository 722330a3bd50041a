"""The table of optional subsystems: one row each, and nothing is paid where one is off.

A subsystem is a package of that name. Its module `settings` has `read`, which decodes
the operators' file; its module `part` has `join`, which makes its part of a term, and
may have `refusal`, which says what submissions can never run. Nothing of a package is
imported before its file is there.
"""

import importlib
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from chalkgrade.settings import Settings, named


class Subsystem(NamedTuple):
    """A package that is switched on by a file, `deploy/NAME.xml` by default."""

    name: str
    purpose: str  # for the command line


SUBSYSTEMS = (
    Subsystem("licences", "Pools of counted licences (XML); without it they are off."),
    Subsystem("moves", "Limits of moves (XML); without it nothing is moved."),
)


def _module(name: str, module: str) -> Any:
    return importlib.import_module(f"chalkgrade.{name}.{module}")


def read_settings(settings: Settings, files: Mapping[str, str | None]) -> None:
    """Read the files of those that are switched on; SettingsError names file and field."""
    for row in SUBSYSTEMS:
        path = files.get(row.name)
        if path:
            reading = partial(_module(row.name, "settings").read, platform=settings)
            settings.parts[row.name] = named(Path(path), reading)


def create_components(settings: Settings, joint: Any) -> Iterable[Any]:
    """The parts of those that are on, in the table's order; `joint`: see `renting.joint`."""
    for row in SUBSYSTEMS:
        if row.name in settings.parts:
            yield _module(row.name, "part").join(settings.parts[row.name], joint)


def submission_checks(settings: Settings) -> list[Callable[[Any], str | None]]:
    """Why a submission can never run, as far as they know: one function each."""
    on = [row.name for row in SUBSYSTEMS if row.name in settings.parts]
    makers = [(name, getattr(_module(name, "part"), "refusal", None)) for name in on]
    return [make(settings.parts[name]) for name, make in makers if make is not None]
