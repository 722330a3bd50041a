"""The operators' limits of moves."""

from typing import Any

import msgspec

from chalkgrade.settings import Settings, SettingsError, parse_number, read_xml


class MoveSettings(msgspec.Struct):
    """Limits of moves; none of this, and nothing is moved."""

    per_minute: float = 60.0  # tasks that may be moved
    margin: float = 1.5  # how many times quicker than waiting or renting a plan must be
    again_s: float = 300.0  # s; a task is not moved again within
    optout: list[str] = []  # teams whose work is neither moved nor moved for


MOVE_LIMITS = {"per_minute": (1.0, 6000.0), "margin": (1.0, 100.0), "again_s": (0.0, 86400.0)}


def read(text: bytes, platform: Settings) -> MoveSettings:
    """As the table of subsystems asks for it."""
    return parse_moves(text, {team.name for team in platform.cluster.teams})


def parse_moves(text: bytes, teams: set[str]) -> MoveSettings:
    """Decode and check the operators' limits of moves."""
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
