"""Settings: the platform's TOML and the operators' optional XML, both checked.

A wrong file is the operator's mistake, so it ends in one plain line that names
the field, never in a traceback.
"""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from chalkgrade import constants

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file that can't be used; the text is shown as it is."""


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


class StateLimits(msgspec.Struct):
    rps: float = 100.0
    write_rps: float = 20.0
    value_kb: float = 16.0
    txn_ops: int = 16


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


class Cluster(msgspec.Struct):
    workers: Workers
    teams: list[Team] = []
    zones: list[str] = []
    state: StateLimits = msgspec.field(default_factory=StateLimits)
    cloud: CloudLimits = msgspec.field(default_factory=CloudLimits)
    objectives: list[Objective] = []
    skew_ms: float = 0.0


class Burst(msgspec.Struct):
    """An operator's declaration of one team's bursts of one class."""

    team: str
    jobclass: str
    cpu_seconds: float
    period_s: float
    deadline_s: float


class OperatorSettings(msgspec.Struct):
    """What operators may set beyond the platform's file."""

    nmin: int = constants.NMIN
    round_s: float = constants.ROUND_S
    idle_release_s: float = constants.IDLE_RELEASE_S
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


def split_addr(addr: str, field: str) -> tuple[str, int]:
    """Split `host:port`, naming the field when it is something else."""
    host, _, port = addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: {addr!r} is not host:port")
    return host, int(port)


def parse(text: bytes) -> Settings:
    """Decode and check the platform's settings."""
    try:
        settings = msgspec.toml.decode(text, type=Settings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(str(error)) from None
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
                raise SettingsError(f"{where}.{field}: must not be negative")
    workers, state, cloud = (
        settings.cluster.workers,
        settings.cluster.state,
        settings.cluster.cloud,
    )
    checks: list[tuple[str, float, float]] = [
        ("cluster.workers.lease_s", workers.lease_s, 0),
        ("cluster.workers.report_s", workers.report_s, 0),
        ("cluster.workers.cancel_s", workers.cancel_s, workers.lease_s),
        ("cluster.state.rps", state.rps, 0),
        ("cluster.state.write_rps", state.write_rps, constants.LEAST_WRITE_RPS),
        ("cluster.state.value_kb", state.value_kb, constants.LEAST_VALUE_KB),
        ("cluster.state.txn_ops", state.txn_ops, 3),
        ("cluster.cloud.rps", cloud.rps, 0),
    ]
    for field, value, floor in checks:
        if not value > floor:
            raise SettingsError(f"{field}: must be over {floor:g}, is {value:g}")
    if cloud.list_lag_s < 0:
        raise SettingsError("cluster.cloud.list_lag_s: must not be negative")
    return settings


OPERATOR_LIMITS = {"nmin": (1, 1000), "round_s": (0.1, 60.0), "idle_release_s": (0.0, 86400.0)}
BURST_NUMBERS = ("cpu_seconds", "period_s", "deadline_s")


def parse_operator(text: bytes, teams: set[str]) -> OperatorSettings:
    """Decode and check the operators' XML; entities and DTDs are refused."""
    # Imported here: a controller without operator settings need not pay for XML at its start.
    from xml.etree.ElementTree import ParseError

    from defusedxml import DefusedXmlException
    from defusedxml.ElementTree import fromstring

    try:
        root = fromstring(text, forbid_dtd=True)
    except DefusedXmlException:
        raise SettingsError("operator settings: DTDs and entities are not allowed") from None
    except (ParseError, ValueError) as error:
        raise SettingsError(f"operator settings: not XML: {error}") from None
    if root.tag != "chalkgrade":
        raise SettingsError(f"operator settings: root must be <chalkgrade>, is <{root.tag}>")
    values: dict[str, object] = {}
    bursts: list[Burst] = []
    for node in root:
        if node.tag in OPERATOR_LIMITS:
            if node.tag in values:
                raise SettingsError(f"operator settings: <{node.tag}> appears twice")
            low, high = OPERATOR_LIMITS[node.tag]
            value = _number(node.tag, node.text, low, high)
            if node.tag == "nmin" and value != int(value):
                raise SettingsError("operator settings: nmin: must be a whole number")
            values[node.tag] = int(value) if node.tag == "nmin" else value
        elif node.tag == "burst":
            unknown = set(node.attrib) - {"team", "class", *BURST_NUMBERS}
            if unknown:
                raise SettingsError(f"operator settings: burst: unknown {sorted(unknown)[0]!r}")
            team, jobclass = node.get("team", ""), node.get("class", "")
            if team not in teams:
                raise SettingsError(f"operator settings: burst.team: no team {team!r}")
            if not jobclass:
                raise SettingsError("operator settings: burst.class: missing")
            numbers = {
                name: _number(f"burst.{name}", node.get(name), 1e-3, 1e9) for name in BURST_NUMBERS
            }
            bursts.append(Burst(team=team, jobclass=jobclass, **numbers))
        else:
            raise SettingsError(f"operator settings: unknown <{node.tag}>")
    return msgspec.convert({**values, "bursts": bursts}, OperatorSettings)


def _number(field: str, text: str | None, low: float, high: float) -> float:
    try:
        value = float(text or "")
    except ValueError:
        raise SettingsError(f"operator settings: {field}: {text!r} is not a number") from None
    if not low <= value <= high:
        raise SettingsError(f"operator settings: {field}: must be {low:g} to {high:g}")
    return value


def load(path: Path, operator_path: Path | None = None) -> Settings:
    """Read both files; every fault becomes a SettingsError that names its file."""
    settings = _named(path, parse)
    if operator_path is not None:
        teams = {team.name for team in settings.cluster.teams}
        settings.operator = _named(operator_path, lambda text: parse_operator(text, teams))
    return settings


def _named(path: Path, read: Callable[[bytes], T]) -> T:
    try:
        return read(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from None
