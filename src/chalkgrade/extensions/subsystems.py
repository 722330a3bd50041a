"""The table of optional subsystems, which cost nothing while they are switched off.

A subsystem is a package of the name in the table. Its module `settings` has `read`, which
decodes the operators' file. Its module `part` has `join`, which creates its component of a
term, and may have `refusal`, which tells why a submission can never run. A package is imported
only if its file is given.
"""

import importlib
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from chalkgrade.settings import Settings, read_settings_file


class Subsystem(NamedTuple):
    """An optional package that a file switches on, `deploy/NAME.xml` by default."""

    name: str
    purpose: str  # help text of its command line option


SUBSYSTEMS = (
    Subsystem("licences", "Pools of counted licences (XML); without it they are off."),
    Subsystem("moves", "Limits of moves (XML); without it nothing is moved."),
)


def _module(name: str, module: str) -> Any:
    return importlib.import_module(f"chalkgrade.{name}.{module}")


def read_settings(settings: Settings, files: Mapping[str, str | None]) -> None:
    """Reads the files of the subsystems that are on; SettingsError names the file and field."""
    for row in SUBSYSTEMS:
        path = files.get(row.name)
        if path:
            reading = partial(_module(row.name, "settings").read, platform=settings)
            settings.parts[row.name] = read_settings_file(Path(path), reading)


def create_components(settings: Settings, subsystem_context: Any) -> Iterable[Any]:
    """Yields the components of the subsystems that are on, in the table's order.

    `subsystem_context` is the interface that they get; see `renting.subsystem_context`.
    """
    for row in SUBSYSTEMS:
        if row.name in settings.parts:
            yield _module(row.name, "part").join(settings.parts[row.name], subsystem_context)


def submission_checks(settings: Settings) -> list[Callable[[Any], str | None]]:
    """Returns functions of the active subsystems that tell why a submission can never run."""
    on = [row.name for row in SUBSYSTEMS if row.name in settings.parts]
    makers = [(name, getattr(_module(name, "part"), "refusal", None)) for name in on]
    return [make(settings.parts[name]) for name, make in makers if make is not None]
