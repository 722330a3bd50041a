"""The operators' file of licence pools and of the jobs that need them."""

import re

import msgspec

from chalkgrade import constants
from chalkgrade.settings import Settings, SettingsError, parse_number, read_xml, split_addr

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}\Z")
POOL_ATTRIBUTES = ("name", "seats", "server", "holder", "timeout_s", "rps")
NEED_ATTRIBUTES = ("pool", "class", "team", "seats")
SEATS_MAX = 1_000_000


class LicencePool(msgspec.Struct):
    """A pool of seats. Without a server all seats belong to this cluster."""

    name: str
    seats: int
    server: str = ""  # host:port
    holder: str = "chalkgrade"  # name under which the server lists the seats of this cluster
    timeout_s: float = 60.0  # the server frees seats that are not renewed for this long
    rps: float = 4.0  # most requests per second


class LicenceNeed(msgspec.Struct):
    """The seats that each task of a class, a team or both needs; an empty field matches all."""

    pool: str
    jobclass: str = ""
    team: str = ""
    seats: int = 1


class LicenceSettings(msgspec.Struct):
    """All pools and needs. Without the settings file licences are off and cost nothing."""

    pools: list[LicencePool] = []
    needs: list[LicenceNeed] = []


def read(text: bytes, platform: Settings) -> LicenceSettings:
    """Parses the file; called through the table in `extensions.subsystems`."""
    return parse_licences(text)


def parse_licences(text: bytes) -> LicenceSettings:
    """Decodes and checks the file.

    SettingsError names the line, the field, what was found and what is allowed.
    """
    root, lines = read_xml(text, "licences")
    out = LicenceSettings()
    for node in root:
        attributes = dict(node.attrib)
        try:
            if node.tag == "pool":
                out.pools.append(_parse_pool(attributes, {pool.name for pool in out.pools}))
            elif node.tag == "need":
                out.needs.append(_parse_need(attributes, {pool.name for pool in out.pools}))
            else:
                raise SettingsError(f"unknown <{node.tag}>, known are need, pool")
        except SettingsError as error:
            raise SettingsError(str(error), lines[node]) from None
    return out


def _check_attributes(tag: str, attributes: dict[str, str], known: tuple[str, ...]) -> None:
    unknown = sorted(set(attributes) - set(known))
    if unknown:
        raise SettingsError(f"{tag}: unknown {unknown[0]!r}, known are {', '.join(known)}")


def _parse_seats(field: str, text: str | None) -> int:
    value = parse_number(field, text, 1, SEATS_MAX)
    if value != int(value):
        raise SettingsError(f"{field}: must be a whole number, is {value:g}")
    return int(value)


def _parse_pool(attributes: dict[str, str], names: set[str]) -> LicencePool:
    _check_attributes("pool", attributes, POOL_ATTRIBUTES)
    name = attributes.get("name", "")
    if not NAME_PATTERN.match(name) or name in names:
        raise SettingsError(f"pool.name: {name!r} is not a name, or appears twice")
    values: dict[str, object] = {
        "name": name,
        "seats": _parse_seats("pool.seats", attributes.get("seats")),
    }
    if "server" in attributes:
        split_addr(attributes["server"], "pool.server")
        values["server"] = attributes["server"]
    if "holder" in attributes:
        if not NAME_PATTERN.match(attributes["holder"]):
            raise SettingsError(f"pool.holder: {attributes['holder']!r} is not a name")
        values["holder"] = attributes["holder"]
    for field, low in (("timeout_s", constants.MIN_SEAT_LEASE_S), ("rps", 0.5)):
        if field in attributes:
            values[field] = parse_number(f"pool.{field}", attributes[field], low, 86400.0)
    return msgspec.convert(values, LicencePool)


def _parse_need(attributes: dict[str, str], names: set[str]) -> LicenceNeed:
    _check_attributes("need", attributes, NEED_ATTRIBUTES)
    pool, jobclass, team = (attributes.get(key, "") for key in ("pool", "class", "team"))
    if pool not in names:
        known = ", ".join(sorted(names)) or "none"
        raise SettingsError(f"need.pool: no pool {pool!r} before it, there are {known}")
    if not (jobclass or team):
        raise SettingsError("need: a class or a team must be named")
    return LicenceNeed(
        pool, jobclass, team, _parse_seats("need.seats", attributes.get("seats", "1"))
    )
