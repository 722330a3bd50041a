"""Settings: the platform's TOML and the operators' optional XML, both checked.

A wrong file is the operator's mistake, so it ends in one plain line that names
the field, never in a traceback.
"""

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from chalkgrade import constants
from chalkgrade.logs import LOG_FORMATS

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file that can't be used; the text is shown as it is.

    `line`: where in the file, if that is known.
    """

    def __init__(self, text: str, line: int | None = None) -> None:
        super().__init__(text)
        self.line = line


class Peer(msgspec.Struct):
    member: str
    addr: str
    zone: str = ""


class Endpoints(msgspec.Struct):
    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team's guarantee and maximum; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Workers(msgspec.Struct):
    lease_s: float
    cancel_s: float
    report_s: float = 3.0


class NextLimits(msgspec.Struct):
    """The limits that the state service will have; what is left out stays as it is."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    rps: float = 100.0
    write_rps: float = 20.0
    value_kb: float = 16.0
    txn_ops: int = 16
    next: NextLimits | None = None  # those that hold from some moment on, without notice

    def lowest_limits(self) -> "StateLimits":
        """The lesser of the limits of now and of later, one by one."""
        later = self.next or NextLimits()

        def lesser(name: str) -> Any:
            now, then = getattr(self, name), getattr(later, name)
            return now if then is None else min(now, then)

        names = NextLimits.__struct_fields__
        return StateLimits(**{name: lesser(name) for name in names})


class CloudLimits(msgspec.Struct):
    rps: float = 3.0
    list_lag_s: float = 5.0


class Objective(msgspec.Struct):
    """What the users expect of a class; unknown kinds are kept and ignored."""

    kind: str
    jobclass: str = msgspec.field(default="", name="class")
    share: float = 0.0
    times: float = 1.0
    within_s: float = 0.0


class Quota(msgspec.Struct):
    """What the platform allows one process; what is not used here is left out."""

    sockets: int = 1200


class Cluster(msgspec.Struct):
    workers: Workers
    teams: list[Team] = []
    zones: list[str] = []
    state: StateLimits = msgspec.field(default_factory=StateLimits)
    cloud: CloudLimits = msgspec.field(default_factory=CloudLimits)
    objectives: list[Objective] = []
    skew_ms: float = 0.0
    quota: Quota = msgspec.field(default_factory=Quota)


class Burst(msgspec.Struct):
    """An operator's declaration of one team's bursts of one class."""

    team: str
    jobclass: str
    cpu_seconds: float
    period_s: float
    deadline_s: float


class OperatorSettings(msgspec.Struct):
    """What operators may set beyond the platform's file."""

    nmin: int = constants.MIN_FAIRNESS_TEAMS
    round_s: float = constants.MAX_ROUND_INTERVAL_S
    idle_release_s: float = constants.IDLE_RELEASE_S
    log_format: str = "plain"
    bursts: list[Burst] = []


class Settings(msgspec.Struct):
    member: str
    bind: str
    cluster_listen: str
    endpoints: Endpoints
    cluster: Cluster
    zone: str = ""
    others: list[Peer] = []
    operator: OperatorSettings = msgspec.field(default_factory=OperatorSettings)
    # What each subsystem's own file said, by its name; see `extensions.subsystems`.
    parts: dict[str, Any] = {}


def split_addr(addr: str, field: str) -> tuple[str, int]:
    """Split `host:port`, naming the field when it is something else."""
    host, _, port = addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: {addr!r} is not host:port")
    return host, int(port)


def parse_settings(text: bytes) -> Settings:
    """Decode and check the platform's settings."""
    return decode_toml(text, Settings, _check)


def decode_toml(text: bytes, kind: type[T], check: Callable[[T], None]) -> T:
    """Decode TOML and check it; what is wrong is named with its line and what was found."""
    made = _decode(text, kind)
    try:
        check(made)
    except SettingsError as error:
        # The field begins the message; where it stands helps to find it.
        field = str(error).partition(":")[0]
        raise SettingsError(str(error), find_line(text, field)) from None
    return made


def _decode(text: bytes, kind: type[T]) -> T:
    try:
        found = tomllib.loads(text.decode())
    except UnicodeDecodeError:
        raise SettingsError("not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        line = re.search(r"at line (\d+)", str(error))
        raise SettingsError(f"not TOML: {error}", int(line[1]) if line else None) from None
    found.pop("parts", None)  # not the platform's to set
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as error:
        text_of, _, where = str(error).partition(" - at ")
        field = where.strip("`$.").removesuffix(")")
        value: Any = found
        for part in _parts(field):
            try:
                value = value[part]
            except (KeyError, IndexError, TypeError):
                value = None
        missing = re.search(r"missing required field `(\w+)`", text_of)
        if missing:
            field = f"{field}.{missing[1]}".lstrip(".")
            raise SettingsError(f"{field}: missing", find_line(text, field)) from None
        unknown = re.search(r"unknown field `(\w+)`", text_of)
        if unknown:
            field = f"{field}.{unknown[1]}".lstrip(".")
            raise SettingsError(f"{field}: unknown", find_line(text, field)) from None
        wanted = text_of.partition(",")[0].replace("`", "").replace(" | null", "").lower()
        raise SettingsError(f"{field}: {wanted}, found {value!r}", find_line(text, field)) from None


def _parts(field: str) -> list[str | int]:
    """`cluster.teams[1].cpus` as keys and indices."""
    return [int(p) if p.isdigit() else p for p in re.findall(r"\w+", field)]


def find_line(text: bytes, field: str) -> int | None:
    """The line on which a field stands, else its table's; None where neither is written.

    Reads what TOML files usually look like: `[table]`, `[[array]]` and `key = value`.
    """
    *path, last = _parts(field) or [""]
    counts: dict[str, int] = {}
    table: list[str | int] = []
    best: int | None = None
    for number, raw in enumerate(text.decode(errors="replace").splitlines(), 1):
        line = raw.strip()
        if line.startswith("["):
            name = line.strip("[] \t")
            table = [part for part in name.split(".")]
            if line.startswith("[["):
                counts[name] = counts.get(name, -1) + 1
                table.append(counts[name])
            if table == path or table == [*path, last]:
                best = number
        elif table == path and line.partition("=")[0].strip().strip('"') == last:
            return number
    return best


def _check(settings: Settings) -> None:
    """What the types don't say."""
    split_addr(settings.bind, "bind")
    split_addr(settings.cluster_listen, "cluster_listen")
    split_addr(settings.endpoints.cloud, "endpoints.cloud")
    split_addr(settings.endpoints.state, "endpoints.state")
    members = {settings.member}
    for number, peer in enumerate(settings.others):
        split_addr(peer.addr, f"others[{number}].addr")
        if peer.member in members:
            raise SettingsError(f"others[{number}].member: {peer.member!r} appears twice")
        members.add(peer.member)
    names: set[str] = set()
    for number, team in enumerate(settings.cluster.teams):
        where = f"cluster.teams[{number}]"
        if not team.name or team.name in names:
            raise SettingsError(f"{where}.name: {team.name!r} is empty or appears twice")
        names.add(team.name)
        for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if getattr(team, field) < 0:
                raise SettingsError(
                    f"{where}.{field}: must not be negative, is {getattr(team, field):g}"
                )
    workers, state, cloud = (
        settings.cluster.workers,
        settings.cluster.state,
        settings.cluster.cloud,
    )
    checks: list[tuple[str, float, float]] = [
        ("cluster.workers.lease_s", workers.lease_s, 0),
        ("cluster.workers.report_s", workers.report_s, 0),
        ("cluster.workers.cancel_s", workers.cancel_s, workers.lease_s),
        ("cluster.cloud.rps", cloud.rps, 0),
        ("cluster.quota.sockets", settings.cluster.quota.sockets, constants.MIN_SOCKETS - 1),
    ]
    later = state.next or NextLimits()
    for where, limits in (("cluster.state", state), ("cluster.state.next", later)):
        floors = {"rps": 0.0, "write_rps": constants.MIN_WRITE_RPS}
        floors["txn_ops"] = constants.MIN_TXN_OPS
        # What a page's attempts take must fit one commit, a job's record one value.
        ops = limits.txn_ops or state.lowest_limits().txn_ops
        floors["value_kb"] = max(
            constants.MIN_VALUE_KB, constants.MAX_PAGE_KB / max(1, ops) * 8 / 7
        )
        checks += [
            (f"{where}.{field}", value, floor)
            for field, floor in floors.items()
            if (value := getattr(limits, field)) is not None
        ]
    for field, value, floor in checks:
        if not value > floor:
            raise SettingsError(f"{field}: must be over {floor:g}, is {value:g}")
    if cloud.list_lag_s < 0:
        raise SettingsError(
            f"cluster.cloud.list_lag_s: must not be negative, is {cloud.list_lag_s:g}"
        )


OPERATOR_LIMITS = {"nmin": (1, 1000), "round_s": (0.1, 60.0), "idle_release_s": (0.0, 86400.0)}
BURST_NUMBERS = ("cpu_seconds", "period_s", "deadline_s")


def read_xml(text: bytes, tag: str) -> tuple[Any, dict[Any, int]]:
    """The root of an XML file of ours and on which line each element begins."""
    # Imported here: a controller without operator settings need not pay for XML at its start.
    from xml.etree.ElementTree import Element, ParseError, TreeBuilder

    from defusedxml import DefusedXmlException
    from defusedxml.ElementTree import DefusedXMLParser

    lines: dict[Element, int] = {}

    class Lined(TreeBuilder):
        """Remembers on which line each element begins."""

        def start(self, tag: Any, attrs: Any) -> Element:
            element = super().start(tag, attrs)
            lines[element] = parser.parser.CurrentLineNumber
            return element

    parser = DefusedXMLParser(target=Lined(), forbid_dtd=True)
    try:
        parser.feed(text)
        root: Element = parser.close()
    except DefusedXmlException:
        raise SettingsError("DTDs and entities are not allowed") from None
    except ParseError as error:
        raise SettingsError(f"not XML: {error}", error.position[0]) from None
    except ValueError as error:
        raise SettingsError(f"not XML: {error}") from None
    if root.tag != tag:
        raise SettingsError(f"root must be <{tag}>, is <{root.tag}>", lines[root])
    return root, lines


def parse_operator_settings(text: bytes, teams: set[str]) -> OperatorSettings:
    """Decode and check the operators' XML; entities and DTDs are refused."""
    root, lines = read_xml(text, "chalkgrade")
    values: dict[str, object] = {}
    bursts: list[Burst] = []
    for node in root:
        try:
            if node.tag in values:
                raise SettingsError(f"{node.tag}: appears twice")
            if node.tag == "burst":
                bursts.append(_burst(dict(node.attrib), teams))
            else:
                values[node.tag] = _value(node.tag, node.text)
        except SettingsError as error:
            raise SettingsError(str(error), lines[node]) from None
    return msgspec.convert({**values, "bursts": bursts}, OperatorSettings)


def _value(tag: str, text: str | None) -> object:
    """One of the plain elements."""
    if tag == "log_format":
        if (text or "").strip() not in LOG_FORMATS:
            raise SettingsError(f"log_format: {text!r} is not one of {', '.join(LOG_FORMATS)}")
        return (text or "").strip()
    if tag not in OPERATOR_LIMITS:
        known = ", ".join(["burst", "log_format", *OPERATOR_LIMITS])
        raise SettingsError(f"unknown <{tag}>, known are {known}")
    low, high = OPERATOR_LIMITS[tag]
    value = parse_number(tag, text, low, high)
    if tag != "nmin":
        return value
    if value != int(value):
        raise SettingsError(f"nmin: must be a whole number, is {value:g}")
    return int(value)


def _burst(found: dict[str, str], teams: set[str]) -> Burst:
    known = ("team", "class", *BURST_NUMBERS)
    unknown = sorted(set(found) - set(known))
    if unknown:
        raise SettingsError(f"burst: unknown {unknown[0]!r}, known are {', '.join(known)}")
    team, jobclass = found.get("team", ""), found.get("class", "")
    if team not in teams:
        raise SettingsError(f"burst.team: no team {team!r}, there are {', '.join(sorted(teams))}")
    if not jobclass:
        raise SettingsError("burst.class: missing")
    numbers = {
        name: parse_number(f"burst.{name}", found.get(name), 1e-3, 1e9) for name in BURST_NUMBERS
    }
    return Burst(team=team, jobclass=jobclass, **numbers)


def parse_number(field: str, text: str | None, low: float, high: float) -> float:
    try:
        value = float(text or "")
    except ValueError:
        raise SettingsError(f"{field}: {text!r} is not a number") from None
    if not low <= value <= high:
        raise SettingsError(f"{field}: must be {low:g} to {high:g}, is {value:g}")
    return value


def load_settings(path: Path, operator_path: Path | None = None) -> Settings:
    """Read the files; every fault becomes a SettingsError that names its file."""
    settings = read_settings_file(path, parse_settings)
    if operator_path is not None:
        teams = {team.name for team in settings.cluster.teams}
        settings.operator = read_settings_file(
            operator_path, lambda text: parse_operator_settings(text, teams)
        )
    return settings


def read_settings_file(path: Path, read: Callable[[bytes], T]) -> T:
    """What a file says; its name stands before whatever is wrong with it."""
    try:
        return read(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except SettingsError as error:
        where = f"{path}:{error.line}" if error.line is not None else str(path)
        raise SettingsError(f"{where}: {error}") from None
