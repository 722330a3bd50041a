"""Checks that no job waits for long while a suitable machine has room for it (rule idle_room).

It applies while no fault is active, and looks at the tasks on the machines, not at the
scheduler's view of them. Room counts once it has been free for some seconds: the scheduler needs
a report and a scheduling round to use freed room, which may go to another job meanwhile.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from chalkgrade.region.rules import CPU_TOLERANCE, Broken
from chalkgrade.region.troubles import Troubles
from chalkgrade.region.worker import Task, Worker

CHECK_INTERVAL_S = 2.5  # between two checks of all machines
ROOM_CHECKS = 5  # checks in a row that must find the room: 10 s, several reports and rounds
# Longest wait of a job while there is room for it; from the page on real machines.
MAX_IDLE_ROOM_WAIT_S = 90.0

Room = tuple[float, float, float]  # CPUs, GPUs, memory in GB
MachineKind = tuple[str, str, bool]  # machine type, zone, spot


class MachineRoom(NamedTuple):
    """A machine and the room that it has had for `ROOM_CHECKS` checks."""

    name: str
    room: Room


def smaller_room(one: Room, other: Room) -> Room:
    """The smaller of two rooms, resource by resource."""
    return min(one[0], other[0]), min(one[1], other[1]), min(one[2], other[2])


def tasks_that_fit(room: Room, spec: dict[str, Any]) -> int:
    """How many of a job's tasks fit into the given room."""
    needs = (spec["vcpus"], spec["gpus"], spec["memoryGb"])
    parts = [
        int((there + CPU_TOLERANCE) // need)
        for there, need in zip(room, needs, strict=True)
        if need > CPU_TOLERANCE  # less is nothing, and dividing by it may overflow
    ]
    return min(parts, default=spec["tasks"])


class IdleRoom:
    """Measures how long jobs wait while machines have room for them."""

    def __init__(self, world: Troubles) -> None:
        self.world = world
        self.checked_at = world.now
        self.rooms: dict[str, list[Room]] = {}  # machine -> its room at the last checks
        self.team_cpus: list[dict[str, float]] = []  # team -> its CPUs at the last checks
        self.tasks: dict[Task, dict[str, Any]] = {}  # tasks on machines at the last check
        # Job -> start of its current uninterrupted wait while there is room.
        self.waiting_since: dict[str, float] = {}
        # Job -> its total wait while there was room, since a task of it last started or failed; s.
        self.total_waits: dict[str, float] = {}
        self.attempts: dict[str, int] = {}  # job -> started tasks plus failed attempts
        self.longest_wait_s = 0.0  # the longest of all jobs' waits
        self.failed: dict[str, int] = {}  # job -> failed attempts at the last check

    def check(self) -> None:
        """Check all jobs, once in `CHECK_INTERVAL_S`; raises Broken when a job waited too long."""
        world = self.world
        if world.now < self.checked_at + CHECK_INTERVAL_S:
            return
        passed, self.checked_at = world.now - self.checked_at, world.now
        if world.calm_since >= world.now:
            for samples in (self.rooms, self.team_cpus, self.waiting_since, self.total_waits):
                samples.clear()
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
            # A new failure restarts the wait, since failing jobs are retried slowly. A gap in the
            # room doesn't restart the total: room released before its use must not hide a wait.
            has_failed = failed.get(name, 0) != self.failed.get(name, 0)
            tried = job.get("entered", 0) + failed.get(name, 0)
            sums[name] = (
                self.total_waits.get(name, 0.0) if self.attempts.get(name) == tried else 0.0
            )
            self.attempts[name] = tried
            found = self._find_room(job["spec"], live.get(name, []), spots)
            if found is None:
                continue
            since[name] = world.now if has_failed else self.waiting_since.get(name, world.now)
            sums[name] += passed if name in self.waiting_since else 0.0
            waited = max(sums[name], world.now - since[name])
            self.longest_wait_s = max(self.longest_wait_s, waited)
            if waited > MAX_IDLE_ROOM_WAIT_S:
                raise Broken(self._describe_wait(name, waited, live.get(name, []), found))
        self.waiting_since, self.total_waits, self.failed = since, sums, failed

    def _should_run(self, name: str, job: dict[str, Any]) -> bool:
        """Whether a job is ready to run; not if it is cancelled, licensed or meant to fail."""
        spec = job["spec"]
        if "at" not in job:
            return False  # added by a test and never submitted
        if spec["jobclass"] == "doomed" or spec.get("licences") or self.world.was_cancelled(job):
            return False
        tool = self.world.licensed_tool
        if tool is not None and tool.seats_needed(spec):
            return False
        return self.world.ready_at(job) is not None and not self.world.completed(name)

    # -- machines ---------------------------------------------------------------------

    def _is_usable(self, worker: Worker) -> bool:
        """Whether a machine is up, not about to be preempted, and doesn't make tasks fail."""
        return worker.alive and not worker.sick and worker.warning is None

    def _find_lasting_room(self) -> dict[MachineKind, list[MachineRoom]]:
        """Machines with room in each of the last `ROOM_CHECKS` checks, by kind."""
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
        """Each job's tasks on machines, including those that still fetch their image."""
        out: dict[str, list[tuple[Worker, Task]]] = {}
        for worker in self.world.workers.values():
            for task in worker.tasks.values():
                if task.status != "ended" and task.spec:
                    out.setdefault(task.spec["nameId"], []).append((worker, task))
        return out

    def _cpus_by_team(self, tasks: dict[Task, dict[str, Any]]) -> dict[str, float]:
        """CPUs by team of the given tasks: those on machines now or at the check before.

        A team at its limit always has some CPUs that are changing from one task to the next;
        with one check alone they would look free.
        """
        out: dict[str, float] = {}
        for spec in tasks.values():
            out[spec["owner"]] = out.get(spec["owner"], 0.0) + spec["vcpus"]
        return out

    # -- placement of waiting tasks -----------------------------------------------------

    def _find_room(
        self,
        spec: dict[str, Any],
        live: list[tuple[Worker, Task]],
        spots: dict[MachineKind, list[MachineRoom]],
    ) -> MachineRoom | None:
        """A machine with room for a waiting task of a job; None: none.

        For a gang, there must be room for all of its waiting tasks.
        """
        missing = self._missing_tasks(spec, live)
        wanted = missing if spec["shape"] == "gang" else 1
        if not missing or not self._under_limit(spec, wanted):
            return None
        zones = sorted({zone for _, zone, _ in spots})
        used_zones = [worker.zone for worker, _ in live]
        if spec["oneZone"]:
            # The zone in which its tasks run already, or else any single zone.
            choices: Iterable[list[str]] = [
                [zone] for zone in zones if not set(used_zones) - {zone}
            ]
        else:
            choices = [zones]
        for chosen in choices:
            found = self._find_room_in(spec, chosen, used_zones, wanted, spots)
            if found is not None:
                return found
        return None

    def _find_room_in(
        self, spec: dict[str, Any], zones: list[str], used_zones: list[str], wanted: int,
        spots: dict[MachineKind, list[MachineRoom]],
    ) -> MachineRoom | None:  # fmt: skip
        """The first machine used if `wanted` tasks fit into these zones; None: they don't."""
        first: MachineRoom | None = None
        for zone in zones:
            allowed = spec["tasks"] if not spec["spread"] else (spec["tasks"] + 1) // 2
            allowed -= used_zones.count(zone) if spec["spread"] else 0
            for (kind, at, standby), rooms in spots.items():
                if at != zone or spec["site"] not in (None, zone):
                    continue
                if standby and not spec["standby"]:
                    continue
                if spec["hosttypes"] is not None and kind not in spec["hosttypes"]:
                    continue
                for spot in rooms:
                    count = min(allowed, tasks_that_fit(spot.room, spec))
                    if count > 0:
                        first, wanted, allowed = first or spot, wanted - count, allowed - count
                    if wanted <= 0:
                        return first
        return None

    def _missing_tasks(self, spec: dict[str, Any], live: list[tuple[Worker, Task]]) -> int:
        """How many of a job's tasks are neither done nor on a machine."""
        present = {task.name for _, task in live}
        name = spec["nameId"]
        done = self.world.jobs[name].get("finished", 0)
        return int(spec["tasks"] - done - sum(one not in self.world.done for one in present))

    def _under_limit(self, spec: dict[str, Any], wanted: int) -> bool:
        """Whether `wanted` more tasks would have kept the team within its limit at all checks."""
        limit = self.world.limit(spec["owner"])
        held = max(row.get(spec["owner"], 0.0) for row in self.team_cpus)
        return not limit or held + wanted * spec["vcpus"] <= limit + CPU_TOLERANCE

    def _describe_wait(
        self, name: str, waited: float, live: list[tuple[Worker, Task]], spot: MachineRoom
    ) -> str:
        """The text of the Broken error, with details that help to find the cause."""
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
