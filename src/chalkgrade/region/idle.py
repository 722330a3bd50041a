"""Idle room: troubles over, no job may wait for long while a machine that fits has room for it.

Judged by what is on the machines, not by what the program believes of them. A machine's room
counts once it has been there for some seconds: what frees up takes a report and a round to be
given away, and belongs to whoever is next meanwhile.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from chalkgrade.region.rules import CPU_TOLERANCE, Broken
from chalkgrade.region.troubles import Troubles
from chalkgrade.region.worker import Task, Worker

CHECK_INTERVAL_S = 2.5  # s; between two looks at all machines
ROOM_CHECKS = 5  # looks in a row at which room must be there: 10 s, some reports and rounds
MAX_IDLE_ROOM_WAIT_S = (
    90.0  # s; that a job may wait beside room that fits; from the page of real machines
)

Room = tuple[float, float, float]  # CPUs, GPUs, memory in GB
MachineKind = tuple[str, str, bool]  # machine type, zone, spot


class MachineRoom(NamedTuple):
    """A machine with room that has been there for a while."""

    name: str
    room: Room


def smaller_room(one: Room, other: Room) -> Room:
    return min(one[0], other[0]), min(one[1], other[1]), min(one[2], other[2])


def tasks_that_fit(room: Room, spec: dict[str, Any]) -> int:
    """How many of a job's tasks fit into room."""
    needs = (spec["vcpus"], spec["gpus"], spec["memoryGb"])
    parts = [
        int((there + CPU_TOLERANCE) // need)
        for there, need in zip(room, needs, strict=True)
        if need > 0
    ]
    return min(parts, default=spec["tasks"])


class IdleRoom:
    """Looks at a world every now and then, and tells how long jobs wait beside room."""

    def __init__(self, world: Troubles) -> None:
        self.world = world
        self.checked_at = world.now
        self.rooms: dict[str, list[Room]] = {}  # machine -> its room at the last looks
        self.team_cpus: list[dict[str, float]] = []  # team -> CPUs that it held at the last looks
        self.tasks: dict[Task, dict[str, Any]] = {}  # those that machines held at the last look
        self.waiting_since: dict[
            str, float
        ] = {}  # job -> since when it waits beside room all the time
        # Job -> for how long it waited beside room in all, since a task of it started or failed.
        self.total_waits: dict[str, float] = {}
        self.attempts: dict[str, int] = {}  # job -> tasks that started, and attempts that failed
        self.longest_wait_s = 0.0  # s; the longest that a job did
        self.failed: dict[str, int] = {}  # job -> attempts that failed

    def check(self) -> None:
        """Once in `LOOK_S`; raises when a job has waited for too long."""
        world = self.world
        if world.now < self.checked_at + CHECK_INTERVAL_S:
            return
        passed, self.checked_at = world.now - self.checked_at, world.now
        if world.calm_since >= world.now:
            for kept in (self.rooms, self.team_cpus, self.waiting_since, self.total_waits):
                kept.clear()
            return
        spots = self._find_lasting_room()
        live, failed = self._live_tasks(), dict(world.failures)
        tasks = {task: task.spec for rows in live.values() for _, task in rows}
        self.team_cpus = [
            *self.team_cpus[1 - ROOM_CHECKS :],
            self._cpus_by_team(self.tasks | tasks),
        ]
        self.tasks = tasks
        since: dict[str, float] = {}
        sums: dict[str, float] = {}
        for name, job in world.jobs.items():
            if (
                job["over"] is not None
                or not job.get("accepted")
                or not self._should_run(name, job)
            ):
                continue
            # What fails has to be tried with care. What came up and went counts on, though:
            # room that is given back before it is used is no excuse.
            careful = failed.get(name, 0) != self.failed.get(name, 0)
            tried = job.get("entered", 0) + failed.get(name, 0)
            sums[name] = (
                self.total_waits.get(name, 0.0) if self.attempts.get(name) == tried else 0.0
            )
            self.attempts[name] = tried
            found = self._find_room(job["spec"], live.get(name, []), spots)
            if found is None:
                continue
            since[name] = world.now if careful else self.waiting_since.get(name, world.now)
            sums[name] += passed if name in self.waiting_since else 0.0
            waited = max(sums[name], world.now - since[name])
            self.longest_wait_s = max(self.longest_wait_s, waited)
            if waited > MAX_IDLE_ROOM_WAIT_S:
                raise Broken(self._describe_wait(name, waited, live.get(name, []), found))
        self.waiting_since, self.total_waits, self.failed = since, sums, failed

    def _should_run(self, name: str, job: dict[str, Any]) -> bool:
        """Whether a job should run: cancelled, faulty, licensed and early ones aside."""
        spec = job["spec"]
        if "at" not in job:
            return False  # a test's own, which no controller was told of
        if spec["jobclass"] == "doomed" or spec.get("licences") or self.world.was_cancelled(job):
            return False
        tool = self.world.licensed_tool
        if tool is not None and tool.seats_needed(spec):
            return False
        return self.world.ready_at(job) is not None and not self.world.completed(name)

    # -- machines ---------------------------------------------------------------------

    def _is_usable(self, worker: Worker) -> bool:
        """Whether a machine is up, reports, and makes no tasks fail."""
        return worker.alive and not worker.sick and worker.warning is None

    def _find_lasting_room(self) -> dict[MachineKind, list[MachineRoom]]:
        """Machines with room for some looks, by what decides who may have them."""
        rooms: dict[str, list[Room]] = {}
        spots: dict[MachineKind, list[MachineRoom]] = {}
        for name, worker in self.world.workers.items():
            if not self._is_usable(worker):
                continue
            flavor = worker.flavor
            held = [t.spec for t in worker.tasks.values() if t.status != "ended" and t.spec]
            now = (
                flavor["vcpus"] - sum(spec["vcpus"] for spec in held),
                flavor["gpus"] - sum(spec["gpus"] for spec in held),
                flavor["memoryGb"] - sum(spec["memoryGb"] for spec in held),
            )
            seen = rooms[name] = [*self.rooms.get(name, [])[1 - ROOM_CHECKS :], now]
            room = seen[0]
            for one in seen[1:]:
                room = smaller_room(room, one)
            if len(seen) == ROOM_CHECKS and room[0] > CPU_TOLERANCE:
                machine = worker.machine
                where = machine["hosttype"], worker.zone, machine["standby"]
                spots.setdefault(where, []).append(MachineRoom(name, room))
        self.rooms = rooms
        return spots

    def _live_tasks(self) -> dict[str, list[tuple[Worker, Task]]]:
        """By job, its tasks that machines hold, those that still fetch too."""
        out: dict[str, list[tuple[Worker, Task]]] = {}
        for worker in self.world.workers.values():
            for task in worker.tasks.values():
                if task.status != "ended" and task.spec:
                    out.setdefault(task.spec["nameId"], []).append((worker, task))
        return out

    def _cpus_by_team(self, tasks: dict[Task, dict[str, Any]]) -> dict[str, float]:
        """CPUs of each team's tasks that machines hold now or held at the look before.

        At its limit a team has some of its CPUs between two tasks at any moment.
        """
        out: dict[str, float] = {}
        for spec in tasks.values():
            out[spec["owner"]] = out.get(spec["owner"], 0.0) + spec["vcpus"]
        return out

    # -- whether a job could go on -----------------------------------------------------

    def _find_room(
        self,
        spec: dict[str, Any],
        live: list[tuple[Worker, Task]],
        spots: dict[MachineKind, list[MachineRoom]],
    ) -> MachineRoom | None:
        """A machine that could take one of a job's waiting tasks (a gang's: all of them)."""
        lacks = self._missing_tasks(spec, live)
        wanted = lacks if spec["shape"] == "gang" else 1
        if not lacks or not self._under_limit(spec, wanted):
            return None
        zones = sorted({zone for _, zone, _ in spots})
        there = [worker.zone for worker, _ in live]
        if spec["oneZone"]:
            # Where some of it runs, or any one zone that has room.
            choices: Iterable[list[str]] = [[zone] for zone in zones if not set(there) - {zone}]
        else:
            choices = [zones]
        for chosen in choices:
            found = self._find_room_in(spec, chosen, there, wanted, spots)
            if found is not None:
                return found
        return None

    def _find_room_in(
        self, spec: dict[str, Any], zones: list[str], there: list[str], wanted: int,
        spots: dict[MachineKind, list[MachineRoom]],
    ) -> MachineRoom | None:  # fmt: skip
        first: MachineRoom | None = None
        for zone in zones:
            may = spec["tasks"] if not spec["spread"] else (spec["tasks"] + 1) // 2
            may -= there.count(zone) if spec["spread"] else 0
            for (kind, at, standby), rooms in spots.items():
                if at != zone or spec["site"] not in (None, zone):
                    continue
                if standby and not spec["standby"]:
                    continue
                if spec["hosttypes"] is not None and kind not in spec["hosttypes"]:
                    continue
                for spot in rooms:
                    count = min(may, tasks_that_fit(spot.room, spec))
                    if count > 0:
                        first, wanted, may = first or spot, wanted - count, may - count
                    if wanted <= 0:
                        return first
        return None

    def _missing_tasks(self, spec: dict[str, Any], live: list[tuple[Worker, Task]]) -> int:
        """How many of its tasks are neither done nor on a machine."""
        there = {task.name for _, task in live}
        name = spec["nameId"]
        done = self.world.jobs[name].get("finished", 0)
        return int(spec["tasks"] - done - sum(one not in self.world.done for one in there))

    def _under_limit(self, spec: dict[str, Any], wanted: int) -> bool:
        """Whether its team has been under its limit for a while, by what would start."""
        most = self.world.limit(spec["owner"])
        held = max(row.get(spec["owner"], 0.0) for row in self.team_cpus)
        return not most or held + wanted * spec["vcpus"] <= most + CPU_TOLERANCE

    def _describe_wait(
        self, name: str, waited: float, live: list[tuple[Worker, Task]], spot: MachineRoom
    ) -> str:
        """Everything that helps to find out why it waits."""
        spec = self.world.jobs[name]["spec"]
        kinds = {key: spec[key] for key in ("jobclass", "owner", "shape", "urgency", "vcpus")}
        holds = ", ".join(
            f"{task.name} {task.status}" for task in self.world.workers[spot.name].tasks.values()
        )
        return (
            f"idle_room: {name} {kinds} waited {waited:.0f} s with"
            f" {self._missing_tasks(spec, live)} of"
            f" {spec['tasks']} tasks, while {spot.name} had CPUs, GPUs, GB {spot.room}"
            f" (on it: {holds or 'nothing'}); its team holds"
            f" {self.team_cpus[-1].get(spec['owner'], 0.0):g} of"
            f" {self.world.limit(spec['owner']) or 'any'} CPUs;"
            f" the leader says: {self.world.waiting_reason(spec['jobclass'])}"
        )
