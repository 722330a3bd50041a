"""Day files: the machines of a simulated day, its jobs and the times of its faults."""

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
    decode_toml,
    read_settings_file,
)


class Kind(msgspec.Struct, forbid_unknown_fields=True):
    """A machine type."""

    name: str
    vcpus: float
    memory_gb: float
    boot_s: float  # mean boot time; single boots take 0.2 to 1.8 times as long
    hourly: float  # price of an hour on demand
    spot_hourly: float  # price of an hour as a spot machine
    gpus: float = 0.0
    local_gb: float = 20.0  # local disk, which caches images
    pull_gb_s: float = 0.5  # rate at which images are pulled


class Room(msgspec.Struct, forbid_unknown_fields=True):
    """How many machines of a type the cloud has in a zone, and how many are up at the start."""

    kind: str  # name of the machine type
    zone: str
    count: int  # machines that can be rented at a time, those that are up included
    spot: bool = True  # spot machines, or else on-demand ones
    up: int = 0  # machines that are rented and up at the start


class Work(msgspec.Struct, forbid_unknown_fields=True):
    """A class of similar jobs, each submitted by a random one of its teams.

    Fields with two values are the bounds of a random choice.
    """

    name: str
    teams: list[str]
    shape: Literal["batch", "gang", "service"] = "batch"
    urgency: Literal["prod", "high", "standard", "best_effort"] = "standard"
    tasks: tuple[int, int] = (1, 10)
    vcpus: float = 1.0
    memory_gb: float = 2.0
    run_s: tuple[float, float] = (5.0, 20.0)  # expected run time; tasks take 0.5 to 2 times that
    images: int = 3  # number of different images, of which each job uses one
    image_gb: float = 0.5
    savepoint_s: float = 0.0  # interval of the tasks' savepoints; 0: none
    flush_s: float = 0.0  # time that saving takes when a task is stopped
    due_s: float | None = None  # deadline after the submission
    at_start: int = 0  # jobs submitted in the first 3 s
    a_minute: float = 0.0  # jobs submitted per minute after that
    spot: bool = True  # may run on spot machines
    zone: str = ""  # the only zone in which the jobs may run; empty: any
    one_zone: bool = False  # all tasks of a job run in one zone, whichever it is
    stop_after_s: float | None = None  # time until the user aborts the job; services need it
    cancelled: float = 0.0  # share of the jobs that their users abort at a random time
    cancel_s: tuple[float, float] = (5.0, 60.0)  # bounds of that time, after the submission


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault at a set time; faults with the same time occur together. Times are in seconds.

    Kinds that concern controllers:
    crash: they end and are restarted after `seconds`; flap: they do so repeatedly.
    roll: all controllers are restarted in turn, `seconds` apart.
    election: controllers are restarted while a leader is being elected.
    freeze: they stop running and then continue.
    isolate: they reach neither the state service nor each other, but their workers.

    Kinds that concern the state service:
    refuse: it answers 503 to some controllers; outage: to all; slow: it answers late.
    limits: its limits fall to those of the setting `state.next`.
    late_writes: transactions get no answer and are executed late.

    Kinds that concern machines and the network:
    stop: machines end; take: the cloud takes spot machines back, with `seconds` of notice.
    sick: tasks fail on them; hang: they stop running and then continue.
    silence: they reach no controller or user, nor the other way round; deaf: only what they
    send arrives; mute: only what is sent to them arrives.
    copies: their reports arrive a second time, later.
    quick_boots: rented machines boot within seconds.
    cut: a network partition; zone: all machines and controllers of a zone are cut off.

    Kinds that concern users:
    cancel_now: they cancel running jobs; cancel_at_end: they cancel jobs as their last task ends.
    odd_requests: they repeat requests, cancel jobs that are over and send invalid requests.
    repeats: while the leader changes they submit unfinished jobs again, spelled differently.
    close_looks: after each event they ask all controllers within milliseconds.
    """

    at: float  # after the start of the day
    kind: Literal[
        "crash", "roll", "freeze", "refuse", "outage", "slow", "cut", "zone", "stop", "silence",
        "take", "sick", "flap", "deaf", "copies", "isolate", "election", "limits",
        "late_writes", "hang", "mute", "cancel_now", "cancel_at_end", "odd_requests",
        "close_looks", "quick_boots", "repeats",
    ]  # fmt: skip
    seconds: float = 10.0  # duration, or time until a controller is restarted
    times: int = 5  # flap: how often each process ends; election: number of restarts
    every: float = 3.0  # flap: mean lifetime of a process, which varies from 1/3 to 5/3 of it
    share: float = 0.3  # share of the reports that are copied, of the transactions that get no
    # answer, or of the jobs that are cancelled when they end
    late: tuple[float, float] = (2.0, 40.0)  # bounds of the delay of copied reports and late writes
    who: str = "leader"  # leader, others, all, or a controller's name
    count: int = 1  # number of controllers, of machines, or of jobs that are cancelled
    zone: str = ""  # zone of the machines, or the zone that is cut off
    one: list[str] = []  # sides of a network partition: leader, others, all, machines, state,
    other: list[str] = []  # cloud, users, or a controller's name
    hold: bool = False  # messages are held and delivered when the partition ends
    one_way: bool = False  # only messages from `one` to `other` are cut
    hang_s: float = 0.0  # cancel_now: how long the machines hang that run those jobs
    at_once: bool = False  # late_writes: the write is executed at once, only its answer is lost
    for_next: bool = False  # copies: delivered in the first second of the next leader


class Stage(msgspec.Struct, forbid_unknown_fields=True):
    """A stage of a pipeline: jobs of one class that wait for the jobs of earlier stages."""

    name: str  # name of the job class
    jobs: tuple[int, int] = (1, 1)  # bounds of the random number of jobs
    needs: list[int] = []  # indexes of the earlier stages that it waits for


class Pipe(msgspec.Struct, forbid_unknown_fields=True):
    """A class of similar pipelines. The deadline applies to the jobs of the last stage."""

    stages: list[Stage]
    a_minute: float  # pipelines submitted per minute
    due_s: float | None = None  # deadline after the submission of the last stage
    late: float = 0.0  # share whose last stage is submitted only when the others are over
    cancelled: float = 0.0  # share of which the jobs of one random stage are cancelled


class Day(msgspec.Struct, forbid_unknown_fields=True):
    """A whole day: machines, jobs, limits and faults.

    No job is submitted after `seconds`; the remaining jobs then have `calm_s` to end.
    """

    kinds: list[Kind]
    rooms: list[Room]
    classes: list[Work]
    teams: list[Team]
    zones: list[str]
    seconds: float = 120.0
    calm_s: float = 240.0
    controllers: int = 3
    drawn: bool = False  # random faults occur besides those in `faults`
    workers: Workers = msgspec.field(default_factory=lambda: Workers(12.0, 32.0))
    state: StateLimits = msgspec.field(default_factory=lambda: StateLimits(200.0, 40.0))
    cloud: CloudLimits = msgspec.field(default_factory=lambda: CloudLimits(5.0, 2.0))
    faults: list[Fault] = []
    pipes: list[Pipe] = []


# Fields that only one kind of fault may have, with that kind.
FIELDS_OF_ONE_KIND = {"hang_s": "cancel_now", "at_once": "late_writes", "for_next": "copies"}

# Words for the sides of a network partition, besides controllers' names.
CUT_ENDPOINTS = ("leader", "others", "all", "machines", "state", "cloud", "users")


def _check(day: Day) -> None:
    """Check the conditions that the types do not express, raising SettingsError.

    The upper bounds on machines, tasks, jobs and flaps are in `constants`.
    """

    def check_allowed(field: str, value: str, allowed: Any) -> None:
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
    if machines > constants.MAX_DAY_MACHINES:
        raise SettingsError(f"rooms: at most {constants.MAX_DAY_MACHINES} machines, are {machines}")
    names = controller_names(day)
    for number, room in enumerate(day.rooms):
        check_allowed(f"rooms[{number}].kind", room.kind, {kind.name for kind in day.kinds})
        check_allowed(f"rooms[{number}].zone", room.zone, set(day.zones))
        if not 0 <= room.up <= room.count:
            raise SettingsError(f"rooms[{number}].up: must be 0 to {room.count}, is {room.up}")
    for number, work in enumerate(day.classes):
        for team in work.teams or [""]:
            check_allowed(f"classes[{number}].teams", team, {team.name for team in day.teams})
        if not 1 <= work.tasks[0] <= work.tasks[1] <= constants.MAX_DAY_TASKS_PER_JOB:
            most = constants.MAX_DAY_TASKS_PER_JOB
            raise SettingsError(f"classes[{number}].tasks: must be two rising counts up to {most}")
        jobs = work.at_start + work.a_minute * day.seconds / 60
        if work.at_start < 0 or work.a_minute < 0 or jobs > constants.MAX_DAY_CLASS_JOBS:
            raise SettingsError(
                f"classes[{number}].a_minute: must make 0 to {constants.MAX_DAY_CLASS_JOBS} jobs"
            )
        if not 0 <= work.cancelled <= 1:
            raise SettingsError(
                f"classes[{number}].cancelled: must be 0 to 1, is {work.cancelled:g}"
            )
        if not 0 <= work.cancel_s[0] <= work.cancel_s[1] <= 86400:
            raise SettingsError(f"classes[{number}].cancel_s: must be two rising times")
        if work.zone:
            check_allowed(f"classes[{number}].zone", work.zone, set(day.zones))
        if work.shape == "service" and work.stop_after_s is None:
            raise SettingsError(f"classes[{number}].stop_after_s: a service needs an end")
    for number, pipe in enumerate(day.pipes):
        where = f"pipes[{number}]"
        for at, stage in enumerate(pipe.stages):
            check_allowed(
                f"{where}.stages[{at}].name", stage.name, {work.name for work in day.classes}
            )
            if any(not 0 <= need < at for need in stage.needs):
                raise SettingsError(f"{where}.stages[{at}].needs: must be earlier stages")
            if not 1 <= stage.jobs[0] <= stage.jobs[1] <= 1000:
                raise SettingsError(f"{where}.stages[{at}].jobs: must be two rising counts")
        for field in ("late", "cancelled"):
            if not 0 <= getattr(pipe, field) <= 1:
                raise SettingsError(f"{where}.{field}: must be 0 to 1")
    for number, fault in enumerate(day.faults):
        where = f"faults[{number}]"
        check_allowed(f"{where}.who", fault.who, {"leader", "others", "all", *names})
        for word in (*fault.one, *fault.other):
            check_allowed(f"{where}.one", word, {*CUT_ENDPOINTS, *names})
        if fault.zone or fault.kind == "zone":
            check_allowed(f"{where}.zone", fault.zone, set(day.zones))
        if fault.kind == "cut" and not (fault.one and fault.other):
            raise SettingsError(f"{where}.one: a cut needs two sides")
        for field, minimum in (("at", 0.0), ("seconds", 0.05), ("count", 1), ("times", 1)):
            if not getattr(fault, field) >= minimum:
                raise SettingsError(
                    f"{where}.{field}: must be {minimum:g} or more, is {getattr(fault, field):g}"
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
        if fault.times > constants.MAX_DAY_FAULT_FLAPS:
            raise SettingsError(
                f"{where}.times: must be at most {constants.MAX_DAY_FAULT_FLAPS}, is {fault.times}"
            )


def controller_names(day: Day) -> list[str]:
    """Return the controllers' names."""
    return [f"n-{number}" for number in range(day.controllers)]


def parse(text: bytes) -> Day:
    """Decode and check a day file; SettingsError names the line and the field."""
    return decode_toml(text, Day, _check)


def read(path: Path) -> Day:
    """Parse a day file; SettingsError names the file too."""
    return read_settings_file(path, parse)
