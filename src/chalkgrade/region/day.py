"""A day as a file: a fleet, what is asked of it, and what fails when."""

from pathlib import Path
from typing import Any, Literal

import msgspec

from chalkgrade import constants
from chalkgrade.settings import (
    CloudLimits,
    SettingsError,
    StateLimits,
    Team,
    Workers,
    decode,
    named,
)


class Kind(msgspec.Struct, forbid_unknown_fields=True):
    """A machine type."""

    name: str
    vcpus: float
    memory_gb: float
    boot_s: float
    hourly: float
    spot_hourly: float
    gpus: float = 0.0
    local_gb: float = 20.0
    pull_gb_s: float = 0.5


class Room(msgspec.Struct, forbid_unknown_fields=True):
    """How many machines of a type the cloud has in a zone, and how many are up at the start."""

    kind: str
    zone: str
    count: int
    spot: bool = True
    up: int = 0


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """A class of jobs; its teams take turns at random. Times in seconds."""

    name: str
    teams: list[str]
    shape: Literal["batch", "gang", "service"] = "batch"
    urgency: Literal["prod", "high", "standard", "best_effort"] = "standard"
    tasks: tuple[int, int] = (1, 10)
    vcpus: float = 1.0
    memory_gb: float = 2.0
    run_s: tuple[float, float] = (5.0, 20.0)
    images: int = 3
    image_gb: float = 0.5
    savepoint_s: float = 0.0
    flush_s: float = 0.0
    due_s: float | None = None
    at_start: int = 0
    a_minute: float = 0.0
    spot: bool = True
    zone: str = ""  # the only one in which it may run
    one_zone: bool = False  # all of its tasks in one, whichever
    stop_after_s: float | None = None  # its user aborts it so long after; services need one
    cancelled: float = 0.0  # share whose users abort them, at a time that is drawn
    cancel_s: tuple[float, float] = (5.0, 60.0)  # after their submission


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """What fails at a set time; faults at one time come together."""

    at: float
    kind: Literal[
        "crash", "roll", "freeze", "refuse", "outage", "slow", "cut", "zone", "stop", "silence",
        "take", "sick", "flap", "deaf", "copies", "isolate", "election", "limits",
        "late_writes", "hang", "mute", "cancel_now", "cancel_at_end", "odd_requests",
        "close_looks", "quick_boots",
    ]  # fmt: skip
    seconds: float = 10.0  # how long, or until a controller is back
    times: int = 5  # of a flap: how often each of them ends; of an election: how many restarts
    every: float = 3.0  # of a flap: how long a process lives on average, a third to 5/3 of it
    share: float = 0.3  # of reports that are copied, of transactions that get no answer, of jobs
    # that are called off at their end
    late: tuple[float, float] = (2.0, 40.0)  # s; how late the copies come, or are carried out
    who: str = "leader"  # leader, others, all, or a controller's name
    count: int = 1  # controllers, machines, or jobs that are called off
    zone: str = ""  # of machines, or the one that is cut off
    one: list[str] = []  # sides of a cut: leader, others, all, machines, state, cloud, users,
    other: list[str] = []  # or a controller's name
    hold: bool = False  # messages are held and delivered when the cut ends
    one_way: bool = False  # only what goes from `one` to `other` is cut
    hang_s: float = 0.0  # of cancel_now: how long machines hang that run those jobs
    at_once: bool = False  # of late_writes: carried out at once, only the answer is lost
    for_next: bool = False  # of copies: kept for the first second of the next leader


class Stage(msgspec.Struct, forbid_unknown_fields=True):
    """A step of a pipeline: jobs of a class that wait for those of earlier stages."""

    name: str  # the class
    jobs: tuple[int, int] = (1, 1)
    needs: list[int] = []  # earlier stages, by number


class Pipe(msgspec.Struct, forbid_unknown_fields=True):
    """A kind of pipelines. The deadline is on the jobs of the last stage."""

    stages: list[Stage]
    a_minute: float
    due_s: float | None = None  # from the submission of the last stage
    late: float = 0.0  # share whose last stage is submitted when the others are over
    cancelled: float = 0.0  # share of which one job is cancelled


class Day(msgspec.Struct, forbid_unknown_fields=True):
    """All of it. After `seconds` nothing is asked any more; then work may end for `calm_s`."""

    kinds: list[Kind]
    rooms: list[Room]
    classes: list[Work]
    teams: list[Team]
    zones: list[str]
    seconds: float = 120.0
    calm_s: float = 240.0
    controllers: int = 3
    drawn: bool = False  # troubles are drawn as well
    workers: Workers = msgspec.field(default_factory=lambda: Workers(12.0, 32.0))
    state: StateLimits = msgspec.field(default_factory=lambda: StateLimits(200.0, 40.0))
    cloud: CloudLimits = msgspec.field(default_factory=lambda: CloudLimits(5.0, 2.0))
    faults: list[Fault] = []
    pipes: list[Pipe] = []


# Fields of one kind of faults only.
FIELDS_OF_ONE_KIND = {"hang_s": "cancel_now", "at_once": "late_writes", "for_next": "copies"}

CUT_ENDPOINTS = ("leader", "others", "all", "machines", "state", "cloud", "users")


def _check(day: Day) -> None:
    """What the types don't say; a region plays days up to the bounds in `constants`."""

    def known(field: str, value: str, allowed: Any) -> None:
        if value not in allowed:
            raise SettingsError(f"{field}: {value!r} is not one of {', '.join(sorted(allowed))}")

    if not 1 <= day.controllers <= 50:
        raise SettingsError(f"controllers: must be 1 to 50, is {day.controllers}")
    for field in ("zones", "kinds", "rooms", "classes", "teams"):
        if not getattr(day, field):
            raise SettingsError(f"{field}: must not be empty")
    for field, value in (("seconds", day.seconds), ("calm_s", day.calm_s)):
        if not 0 < value <= 86400:
            raise SettingsError(f"{field}: must be over 0 and at most 86400, is {value:g}")
    machines = sum(room.count for room in day.rooms)
    if machines > constants.DAY_MACHINES:
        raise SettingsError(f"rooms: at most {constants.DAY_MACHINES} machines, are {machines}")
    names = controller_names(day)
    for number, room in enumerate(day.rooms):
        known(f"rooms[{number}].kind", room.kind, {kind.name for kind in day.kinds})
        known(f"rooms[{number}].zone", room.zone, set(day.zones))
        if not 0 <= room.up <= room.count:
            raise SettingsError(f"rooms[{number}].up: must be 0 to {room.count}, is {room.up}")
    for number, work in enumerate(day.classes):
        for team in work.teams or [""]:
            known(f"classes[{number}].teams", team, {team.name for team in day.teams})
        if not 1 <= work.tasks[0] <= work.tasks[1] <= constants.DAY_TASKS:
            most = constants.DAY_TASKS
            raise SettingsError(f"classes[{number}].tasks: must be two rising counts up to {most}")
        jobs = work.at_start + work.a_minute * day.seconds / 60
        if work.at_start < 0 or work.a_minute < 0 or jobs > constants.DAY_JOBS:
            raise SettingsError(
                f"classes[{number}].a_minute: must make 0 to {constants.DAY_JOBS} jobs"
            )
        if not 0 <= work.cancelled <= 1:
            raise SettingsError(
                f"classes[{number}].cancelled: must be 0 to 1, is {work.cancelled:g}"
            )
        if not 0 <= work.cancel_s[0] <= work.cancel_s[1] <= 86400:
            raise SettingsError(f"classes[{number}].cancel_s: must be two rising times")
        if work.zone:
            known(f"classes[{number}].zone", work.zone, set(day.zones))
        if work.shape == "service" and work.stop_after_s is None:
            raise SettingsError(f"classes[{number}].stop_after_s: a service needs an end")
    for number, pipe in enumerate(day.pipes):
        where = f"pipes[{number}]"
        for at, stage in enumerate(pipe.stages):
            known(f"{where}.stages[{at}].name", stage.name, {work.name for work in day.classes})
            if any(not 0 <= need < at for need in stage.needs):
                raise SettingsError(f"{where}.stages[{at}].needs: must be earlier stages")
            if not 1 <= stage.jobs[0] <= stage.jobs[1] <= 1000:
                raise SettingsError(f"{where}.stages[{at}].jobs: must be two rising counts")
        for field in ("late", "cancelled"):
            if not 0 <= getattr(pipe, field) <= 1:
                raise SettingsError(f"{where}.{field}: must be 0 to 1")
    for number, fault in enumerate(day.faults):
        where = f"faults[{number}]"
        known(f"{where}.who", fault.who, {"leader", "others", "all", *names})
        for word in (*fault.one, *fault.other):
            known(f"{where}.one", word, {*CUT_ENDPOINTS, *names})
        if fault.zone or fault.kind == "zone":
            known(f"{where}.zone", fault.zone, set(day.zones))
        if fault.kind == "cut" and not (fault.one and fault.other):
            raise SettingsError(f"{where}.one: a cut needs two sides")
        for field, least in (("at", 0.0), ("seconds", 0.05), ("count", 1), ("times", 1)):
            if not getattr(fault, field) >= least:
                raise SettingsError(
                    f"{where}.{field}: must be {least:g} or more, is {getattr(fault, field):g}"
                )
        if fault.kind == "flap" and not 0.1 <= fault.every <= 600:
            raise SettingsError(f"{where}.every: must be 0.1 to 600, is {fault.every:g}")
        if not 0 < fault.share <= 1:
            raise SettingsError(f"{where}.share: must be over 0 and at most 1, is {fault.share:g}")
        if not 0 <= fault.late[0] <= fault.late[1] <= 3600:
            raise SettingsError(f"{where}.late: must be two rising times up to 3600")
        if not 0 <= fault.hang_s <= 3600:
            raise SettingsError(f"{where}.hang_s: must be 0 to 3600, is {fault.hang_s:g}")
        for field, kind in FIELDS_OF_ONE_KIND.items():
            if getattr(fault, field) and fault.kind != kind:
                raise SettingsError(f"{where}.{field}: only {kind} may have it, not {fault.kind}")
        if fault.times > constants.DAY_FLAPS:
            raise SettingsError(
                f"{where}.times: must be at most {constants.DAY_FLAPS}, is {fault.times}"
            )


def controller_names(day: Day) -> list[str]:
    """The controllers' names."""
    return [f"n-{number}" for number in range(day.controllers)]


def parse(text: bytes) -> Day:
    """Decode and check a day; SettingsError names line and field."""
    return decode(text, Day, _check)


def read(path: Path) -> Day:
    """As `parse`, from a file that the error names."""
    return named(path, parse)
