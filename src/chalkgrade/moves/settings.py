"""The operators' settings of moves."""

from typing import Any

import msgspec

from chalkgrade.settings import Settings, SettingsError, parse_number, read_xml


class MoveSettings(msgspec.Struct):
    """Limits of moves. Without the settings file nothing is moved."""

    per_minute: float = 60.0  # most tasks moved in a minute
    margin: float = 1.5  # factor by which a plan must be faster than waiting or renting
    again_s: float = 300.0  # s; least time between two moves of the same task
    optout: list[str] = []  # teams whose tasks are not moved and for which nothing is moved


MOVE_LIMITS = {"per_minute": (1.0, 6000.0), "margin": (1.0, 100.0), "again_s": (0.0, 86400.0)}


def read(text: bytes, platform: Settings) -> MoveSettings:
    """Parses the file; called through the table in `extensions.subsystems`."""
    return parse_moves(text, {team.name for team in platform.cluster.teams})


def parse_moves(text: bytes, teams: set[str]) -> MoveSettings:
    """Decodes and checks the file; SettingsError names the line, the field and the fault."""
    root, lines = read_xml(text, "moves")
    values: dict[str, Any] = {}
    optout: list[str] = []
    for node in root:
        try:
            if node.tag == "optout":
                team = node.get("team", "")
                if team not in teams:
                    known = ", ".join(sorted(teams))
                    raise SettingsError(f"optout.team: no team {team!r}, there are {known}")
                optout.append(team)
            elif node.tag not in MOVE_LIMITS:
                known = ", ".join([*MOVE_LIMITS, "optout"])
                raise SettingsError(f"unknown <{node.tag}>, known are {known}")
            elif node.tag in values:
                raise SettingsError(f"{node.tag}: appears twice")
            else:
                values[node.tag] = parse_number(node.tag, node.text, *MOVE_LIMITS[node.tag])
        except SettingsError as error:
            raise SettingsError(str(error), lines[node]) from None
    return MoveSettings(**values, optout=optout)
