"""Reads and checks the settings: the platform's TOML and the operators' optional XML.

An error in a file is reported as one line that names the field, never as a traceback.
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
    """An invalid settings file. The text is shown to the operator unchanged.

    `line`: the line number in the file, or None if it is unknown.
    """

    def __init__(self, text: str, line: int | None = None) -> None:
        super().__init__(text)
        self.line = line


class Peer(msgspec.Struct):
    """Another controller: its name, address (`host:port`) and zone."""

    member: str
    addr: str
    zone: str = ""


class Endpoints(msgspec.Struct):
    """Addresses (`host:port`) of the cloud API and the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """A team with its guaranteed and maximum CPUs and GPUs; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Workers(msgspec.Struct):
    """Times of the worker protocol: lease, cancellation deadline and report interval."""

    lease_s: float
    cancel_s: float
    report_s: float = 3.0


class NextLimits(msgspec.Struct):
    """Limits that the state service will have later; those left out do not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state service: requests, changes, value size, changes per commit."""

    rps: float = 100.0
    write_rps: float = 20.0
    value_kb: float = 16.0
    txn_ops: int = 16
    next: NextLimits | None = None  # apply from some later time on, without notice

    def lowest_limits(self) -> "StateLimits":
        """For each limit, the lower one of its present and its later value."""
        later = self.next or NextLimits()

        def lesser(name: str) -> Any:
            now, then = getattr(self, name), getattr(later, name)
            return now if then is None else min(now, then)

        names = NextLimits.__struct_fields__
        return StateLimits(**{name: lesser(name) for name in names})


class CloudLimits(msgspec.Struct):
    """Limits of the cloud API: requests a second and the delay of its machine list."""

    rps: float = 3.0
    list_lag_s: float = 5.0


class Objective(msgspec.Struct):
    """A service objective for a job class. Unknown kinds are kept and ignored."""

    kind: str
    jobclass: str = msgspec.field(default="", name="class")
    share: float = 0.0
    times: float = 1.0
    within_s: float = 0.0


class Quota(msgspec.Struct):
    """Limits of the platform for one process, as far as they are used here."""

    sockets: int = 1200
    ram_mb: float = 0.0  # MiB of memory beyond which the process is killed; 0: no limit


class Cluster(msgspec.Struct):
    """Settings that all controllers of the cluster share."""

    workers: Workers
    teams: list[Team] = []
    zones: list[str] = []
    state: StateLimits = msgspec.field(default_factory=StateLimits)
    cloud: CloudLimits = msgspec.field(default_factory=CloudLimits)
    objectives: list[Objective] = []
    skew_ms: float = 0.0
    quota: Quota = msgspec.field(default_factory=Quota)


class Burst(msgspec.Struct):
    """An operator's declaration that a team submits jobs of a class in periodic bursts."""

    team: str
    jobclass: str
    cpu_seconds: float
    period_s: float
    deadline_s: float


class OperatorSettings(msgspec.Struct):
    """Settings that operators may add to the platform's file."""

    nmin: int = constants.MIN_FAIRNESS_TEAMS
    round_s: float = constants.MAX_ROUND_INTERVAL_S
    idle_release_s: float = constants.IDLE_RELEASE_S
    log_format: str = "plain"
    bursts: list[Burst] = []


class Settings(msgspec.Struct):
    """All settings of one controller."""

    member: str
    bind: str
    cluster_listen: str
    endpoints: Endpoints
    cluster: Cluster
    zone: str = ""
    others: list[Peer] = []
    operator: OperatorSettings = msgspec.field(default_factory=OperatorSettings)
    # Settings of the subsystems by subsystem name; see `extensions.subsystems`.
    parts: dict[str, Any] = {}


def split_addr(addr: str, field: str) -> tuple[str, int]:
    """Split `host:port`; raises SettingsError, which names `field`, if it has another form."""
    host, _, port = addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: {addr!r} is not host:port")
    return host, int(port)


def parse_settings(text: bytes) -> Settings:
    """Decode and check the platform's settings; raises SettingsError."""
    return decode_toml(text, Settings, _check)


def decode_toml(text: bytes, kind: type[T], check: Callable[[T], None]) -> T:
    """Decode TOML into `kind` and check it; raises SettingsError with field, value and line."""
    decoded = _decode(text, kind)
    try:
        check(decoded)
    except SettingsError as error:
        # The message begins with the field, from which the line is found.
        field = str(error).partition(":")[0]
        raise SettingsError(str(error), find_line(text, field)) from None
    return decoded


def _decode(text: bytes, kind: type[T]) -> T:
    """Decode TOML into `kind`, without further checks."""
    try:
        found = tomllib.loads(text.decode())
    except UnicodeDecodeError:
        raise SettingsError("not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        line = re.search(r"at line (\d+)", str(error))
        raise SettingsError(f"not TOML: {error}", int(line[1]) if line else None) from None
    found.pop("parts", None)  # filled in by the subsystems, not by this file
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as error:
        text_of, _, where = str(error).partition(" - at ")
        field = where.strip("`$.").removesuffix(")")
        value: Any = found
        for part in _field_path(field):
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


def _field_path(field: str) -> list[str | int]:
    """Split a field such as `cluster.teams[1].cpus` into keys and indices."""
    return [int(p) if p.isdigit() else p for p in re.findall(r"\w+", field)]


def find_line(text: bytes, field: str) -> int | None:
    """The line number of a field, or else of its table; None if the file has neither.

    Understands the usual TOML forms `[table]`, `[[array]]` and `key = value`.
    """
    *path, last = _field_path(field) or [""]
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
    """Check what the types do not express; raises SettingsError."""
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
        # The attempts of a page must fit one commit, and the record of a job one value.
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
    if settings.cluster.quota.ram_mb < 0:
        raise SettingsError(
            f"cluster.quota.ram_mb: must not be negative, is {settings.cluster.quota.ram_mb:g}"
        )
    if cloud.list_lag_s < 0:
        raise SettingsError(
            f"cluster.cloud.list_lag_s: must not be negative, is {cloud.list_lag_s:g}"
        )


OPERATOR_LIMITS = {"nmin": (1, 1000), "round_s": (0.1, 60.0), "idle_release_s": (0.0, 86400.0)}
BURST_NUMBERS = ("cpu_seconds", "period_s", "deadline_s")


def read_xml(text: bytes, tag: str) -> tuple[Any, dict[Any, int]]:
    """Parse an XML settings file; returns its root and the line on which each element begins.

    Raises SettingsError if it is malformed, has a DTD or entities, or has another root tag.
    """
    # Imported here so that a controller without XML settings starts faster.
    from xml.etree.ElementTree import Element, ParseError, TreeBuilder

    from defusedxml import DefusedXmlException
    from defusedxml.ElementTree import DefusedXMLParser

    lines: dict[Element, int] = {}

    class LineRecorder(TreeBuilder):
        """A tree builder that records the line on which each element begins."""

        def start(self, tag: Any, attrs: Any) -> Element:
            element = super().start(tag, attrs)
            lines[element] = parser.parser.CurrentLineNumber
            return element

    parser = DefusedXMLParser(target=LineRecorder(), forbid_dtd=True)
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
    """Decode and check the operators' XML; raises SettingsError, also for DTDs and entities."""
    root, lines = read_xml(text, "chalkgrade")
    values: dict[str, object] = {}
    bursts: list[Burst] = []
    for node in root:
        try:
            if node.tag in values:
                raise SettingsError(f"{node.tag}: appears twice")
            if node.tag == "burst":
                bursts.append(_parse_burst(dict(node.attrib), teams))
            else:
                values[node.tag] = _element_value(node.tag, node.text)
        except SettingsError as error:
            raise SettingsError(str(error), lines[node]) from None
    return msgspec.convert({**values, "bursts": bursts}, OperatorSettings)


def _element_value(tag: str, text: str | None) -> object:
    """Decode an element that has a single value as text."""
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


def _parse_burst(found: dict[str, str], teams: set[str]) -> Burst:
    """Decode the attributes of a `burst` element."""
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
    """Parse a number from `low` to `high`; raises SettingsError, which names `field`."""
    try:
        value = float(text or "")
    except ValueError:
        raise SettingsError(f"{field}: {text!r} is not a number") from None
    if not low <= value <= high:
        raise SettingsError(f"{field}: must be {low:g} to {high:g}, is {value:g}")
    return value


def load_settings(path: Path, operator_path: Path | None = None) -> Settings:
    """Read the settings files; raises SettingsError, which names the file."""
    settings = read_settings_file(path, parse_settings)
    if operator_path is not None:
        teams = {team.name for team in settings.cluster.teams}
        settings.operator = read_settings_file(
            operator_path, lambda text: parse_operator_settings(text, teams)
        )
    return settings


def read_settings_file(path: Path, read: Callable[[bytes], T]) -> T:
    """Read a file and parse it with `read`; SettingsErrors get its path, and the line if known."""
    try:
        return read(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except SettingsError as error:
        where = f"{path}:{error.line}" if error.line is not None else str(path)
        raise SettingsError(f"{where}: {error}") from None
