"""What a region's rules are, and the history that they are judged by.

Fed by what workers do and users hear, never by what the program says of itself.
"""

import math
from typing import Any, Protocol

from chalkgrade.region.ground import Ground

MAX_SILENCE_S = 75.0  # s; a job of which nothing is told for so long is forgotten, troubles over
LARGEST_JOBS_SHARE = 0.1  # of a class's jobs: those that ask for most CPUs
MAX_LARGEST_START_DELAY_S = 240.0  # s; within which they begin
MIN_SERVED_SHARE = 0.5  # of any class's or team's jobs; below this a day counts as failed
START_TIME_S = 1000.0  # s; the region's clock at its start
CPU_TOLERANCE = 1e-6  # CPUs; sums of fractions drift


class Broken(AssertionError):
    """A rule of the protocol was broken."""


class StartedTask(Protocol):
    """A task on a worker."""

    name: str
    spec: dict[str, Any]


class Host(Protocol):
    """A machine's agent."""

    name: str
    zone: str
    machine: dict[str, Any]
    baton: int


class History(Ground):
    """Jobs, what became of them, and who is where; breaches raise Broken at once."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.done: set[str] = set()
        self.task_run_s: dict[str, float] = {}  # s that a task takes in all
        self.progress: dict[str, float] = {}  # s of it that are saved
        self.lost_work_s = 0.0  # s of work that were done and are not saved
        self.started = self.refusals = self.polls = 0
        self.calm_since = START_TIME_S  # since when no trouble lasts
        self.max_stop_delay_s = (
            0.0  # s; the longest that a task was there after its cancellation was told
        )
        self.longest_silence_s = 0.0  # s; the longest for which a job's questions met silence
        self.first_used_at: dict[str, float] = {}  # when machines were first given work
        self.unrequested_stops: list[float] = []  # when work was stopped that nobody had aborted
        self.failures: dict[str, int] = {}  # job -> attempts of it that failed
        self.starts_after_cancel = 0  # after a user was told that the job is cancelled
        self.lease_ends = 0  # tasks that a lease's end has killed
        self.licensed_tool: Any = None  # a licensed tool that counts its seats, where there is one
        self.starts: list[tuple[float, int]] = []  # when tasks started, and under which token
        self.token_adoptions: dict[
            int, dict[str, float]
        ] = {}  # token -> when machines first obeyed it
        self._teams = {team.name: team for team in self.settings.cluster.teams}
        self._worker_of: dict[Any, Any] = {}  # present task -> its worker
        self._of_job: dict[str, dict[Any, Any]] = {}
        self._team_cpus: dict[str, float] = {}  # CPUs by team

    # -- who is where ---------------------------------------------------------------

    def present(self) -> list[tuple[Any, Any]]:
        """Workers and tasks that are on them, in the order in which they came."""
        return [(worker, task) for task, worker in self._worker_of.items()]

    def present_of_job(self, name: str) -> list[tuple[Any, Any]]:
        return [(worker, task) for task, worker in self._of_job.get(name, {}).items()]

    def enter(self, worker: Host, task: StartedTask) -> None:
        """A task holds its image: it counts as present from now on."""
        self.check_start(worker, task)
        owner = task.spec["owner"]
        self._worker_of[task] = worker
        self._of_job.setdefault(task.spec["nameId"], {})[task] = worker
        self._team_cpus[owner] = self._team_cpus.get(owner, 0.0) + task.spec["vcpus"]
        self.starts.append((self.now, worker.baton))
        job = self.jobs[task.spec["nameId"]]
        job.setdefault("first", self.now)
        job["entered"] = job.get("entered", 0) + 1
        self.starts_after_cancel += job["aborted"] is not None

    def leave(self, task: StartedTask) -> None:
        """It is gone from its machine, if it was there."""
        if self._worker_of.pop(task, None) is not None:
            told = self.jobs[task.spec["nameId"]]["aborted"]
            if told is not None:
                self.max_stop_delay_s = max(self.max_stop_delay_s, self.now - told)
            self._of_job[task.spec["nameId"]].pop(task)
            self._team_cpus[task.spec["owner"]] -= task.spec["vcpus"]

    def limit(self, owner: str) -> float:
        """CPUs that a team may use at most; 0: any number."""
        return float(self._teams[owner].cpus_max)

    # -- rules ----------------------------------------------------------------------

    def check_start(self, worker: Host, task: StartedTask) -> None:
        """The rules at the moment in which a task starts."""
        spec, name = task.spec, task.name
        kin = self.present_of_job(spec["nameId"])
        for other, twin in kin:
            if twin.name == name:
                raise Broken(f"ran_twice: {name} on {worker.name} and {other.name}")
        team = self._teams[spec["owner"]]
        used = self._team_cpus.get(spec["owner"], 0.0)
        if team.cpus_max and used + spec["vcpus"] > team.cpus_max + CPU_TOLERANCE:
            raise Broken(f"quota: {team.name} uses {used + spec['vcpus']}")
        machine = worker.machine
        zones = [*(other.zone for other, _ in kin), worker.zone]
        if (
            (spec["hosttypes"] is not None and machine["hosttype"] not in spec["hosttypes"])
            or (spec["site"] is not None and worker.zone != spec["site"])
            or (machine["standby"] and not spec["standby"])
            or (spec["oneZone"] and len(set(zones)) > 1)
            or (spec["spread"] and zones.count(worker.zone) > (spec["tasks"] + 1) // 2)
        ):
            raise Broken(f"wrong_place: {name} on {machine} with {zones[:-1]}")
        for before in spec.get("waitsOn") or ():
            if not self.completed(before):
                raise Broken(f"too_early: {name} on {worker.name}, {before} is not done")
        self.check_cancelled(worker, task)

    def finish(self, task: str) -> None:
        """A task is completed, maybe once more."""
        if task in self.done:
            return
        self.done.add(task)
        job = self.jobs[task.rpartition("/")[0]]
        job["finished"] = job.get("finished", 0) + 1
        if job["finished"] == job["spec"]["tasks"]:
            job["completed_at"] = self.now
            self.on_job_completed(task.rpartition("/")[0])

    def on_job_completed(self, name: str) -> None:
        """The last task of a job was completed: users may act on it."""

    def completed(self, name: str) -> bool:
        """Whether every task of a job is done."""
        return "completed_at" in self.jobs[name]

    def dependencies_of(self, name: str) -> list[dict[str, Any]]:
        """All jobs that one needs, directly or through others."""
        found: dict[str, None] = {}
        stack = [name]
        while stack:
            names = self.jobs[stack.pop()]["spec"].get("waitsOn") or ()
            new = [one for one in names if one not in found]
            found |= dict.fromkeys(new)
            stack += new
        return [self.jobs[one] for one in found]

    def check_cancelled(self, worker: Host, task: StartedTask) -> None:
        told = self.jobs[task.spec["nameId"]]["aborted"]
        if told is not None and self.now > told + self.CANCEL_S:
            raise Broken(f"ran_cancelled: {task.name} on {worker.name}")

    def check_all_cancelled(self) -> None:
        for task, worker in self._worker_of.items():
            self.check_cancelled(worker, task)

    def check_answer(self, name: str, asked: float, answer: tuple[int, Any] | None) -> None:
        """A user who asked at a time has an answer about a job; None: there was none."""
        if answer is None:
            return
        if answer[0] in (200, 201):
            self.record_status(name, answer[1], asked)
        elif answer[0] in (400, 404, 422):
            # Whoever knows of a job never calls it unknown, and takes it again.
            before = self._status_known_at(name, asked)
            if before is not None:
                raise Broken(f"forgotten: {name} was {before}, now {answer[0]} {answer[1]}")
            if answer[0] != 404:
                raise Broken(f"{name} refused: {answer}")

    def _status_known_at(self, name: str, asked: float) -> str | None:
        """The furthest that some user had been told of a job when a question was asked.

        Two users' answers may cross on their way, so only what had come by then counts.
        """
        came = self.jobs[name].get("came", ())
        return next((status for status, at in reversed(came) if at < asked), None)

    def record_status(self, name: str, answer: dict[str, Any], asked: float | None = None) -> None:
        """A user was told a job's status; `asked`: when the question was, now if not said."""
        job, status = self.jobs[name], answer["status"]
        asked = self.now if asked is None else asked
        final = status in ("done", "withdrawn")
        told = self._status_known_at(name, asked)
        if job["over"] not in (None, status) and (final or told == job["over"]):
            raise Broken(f"went_back: {name} was {job['over']}, now {status}")
        came = job.setdefault("came", [])
        if not came or (final and came[-1][0] != status):
            came.append((status, self.now))
        if status == "done" and not self.completed(name):
            raise Broken(f"not_done: {name}")
        before = self.dependencies_of(name)
        if status in ("pending", "running"):
            times = [b["aborted"] for b in before if b["aborted"] is not None]
            # One that names a cancelled job is accepted all the same: it counts from then.
            if times and self.now > max(min(times), job["at"]) + self.CANCEL_S + CPU_TOLERANCE:
                raise Broken(f"orphaned: {name} is called {status}")
        if status == "withdrawn":
            if not any(one.get("asked") and one["over"] != "done" for one in (job, *before)):
                raise Broken(f"went_back: {name} was never aborted")
            if job["aborted"] is None:
                job["aborted"] = self.now
        if status in ("done", "withdrawn"):
            if job["over"] is None:
                job["over_at"] = self.now
            job["over"] = status

    def record_poll(self, name: str, told: bool) -> None:
        """A user asked about an accepted job, and was told of it or not."""
        job = self.jobs[name]
        if told or self.was_cancelled(job):
            job["silent"] = None
            return
        if job.get("silent") is None:
            job["silent"] = self.now
        silent = self.now - max(job["silent"], self.calm_since)
        self.longest_silence_s = max(self.longest_silence_s, silent)
        if silent > MAX_SILENCE_S:
            raise Broken(f"forgotten: nothing was told of {name} for {silent:.0f} s")

    # -- what was served ------------------------------------------------------------

    def was_cancelled(self, job: dict[str, Any]) -> bool:
        """Whether it was cancelled, or a job that it needs was."""
        before = self.dependencies_of(job["spec"]["nameId"])
        return any(one.get("asked") for one in (job, *before))

    def served(self, by: str) -> dict[str, float]:
        """Share of jobs done and told, by `jobclass` or `owner`; aborted ones aside.

        A service's job is served once all of its replicas run, or have run.
        """
        all_of: dict[str, int] = {}
        good: dict[str, int] = {}
        for job in self.jobs.values():
            if self.was_cancelled(job) and job["spec"]["shape"] != "service":
                continue
            key = job["spec"][by]
            all_of[key] = all_of.get(key, 0) + 1
            ran = job["spec"]["shape"] == "service" and len(job["replicas"]) == job["spec"]["tasks"]
            good[key] = good.get(key, 0) + (job["over"] == "done" or ran)
        return {key: good[key] / count for key, count in sorted(all_of.items())}

    def largest_jobs(self) -> dict[str, list[dict[str, Any]]]:
        """By class, the jobs that ask for most CPUs; those that were cancelled aside."""
        of_class: dict[str, list[dict[str, Any]]] = {}
        for job in self.jobs.values():
            if job.get("accepted") and not self.was_cancelled(job):
                of_class.setdefault(job["spec"]["jobclass"], []).append(job)
        out = {}
        for key, jobs in sorted(of_class.items()):
            jobs.sort(key=lambda job: -job["spec"]["tasks"] * job["spec"]["vcpus"])
            out[key] = jobs[: math.ceil(LARGEST_JOBS_SHARE * len(jobs))]
        return out

    def ready_at(self, job: dict[str, Any]) -> float | None:
        """When a job could run: accepted, and all that it waits for done; None: not yet."""
        names = job["spec"].get("waitsOn") or ()
        if not all(self.completed(name) for name in names):
            return None
        return float(max([job["at"], *(self.jobs[name]["completed_at"] for name in names)]))

    def largest_start_delays(self) -> dict[str, float]:
        """By class, the longest that one of the largest jobs waited for its first task; s."""
        out: dict[str, float] = {}
        for key, jobs in self.largest_jobs().items():
            for job in jobs:
                ready = self.ready_at(job)
                if ready is not None:
                    out[key] = max(out.get(key, 0.0), job.get("first", self.now) - ready)
        return out

    def could(self, by: str) -> dict[str, float]:
        """What share of each `jobclass` or `owner` could be served at best, fairly: at most 1.

        All machines that the cloud has, from the first second to now, without boots,
        fetches or failures, give so many CPU-seconds; teams' maxima bound what each may
        use of them. They are dealt out evenly, nobody getting more than was asked (tasks
        times CPUs times the mean run time, 1.25 times the estimate), so that 1 means that
        all was possible, and less that the day asked for more than there was.
        """
        lasted = self.now - START_TIME_S
        sizes = {flavor["sku"]: flavor["vcpus"] for flavor in self.FLAVORS}
        room = lasted * sum(sizes[kind] * count for (kind, _, _), count in self.ROOMS.items())
        asked: dict[str, float] = {}
        owners: dict[str, set[str]] = {}
        for job in self.jobs.values():
            spec = job["spec"]
            run_s = 1.25 * spec["expectedS"]
            if spec["shape"] == "service":
                run_s = (job.get("over_at") or self.now) - job["at"]
            elif self.was_cancelled(job):
                continue  # as in `served`
            key = spec[by]
            asked[key] = asked.get(key, 0.0) + spec["tasks"] * spec["vcpus"] * run_s
            owners.setdefault(key, set()).add(spec["owner"])
        out: dict[str, float] = {}
        for number, key in enumerate(sorted(asked, key=asked.__getitem__)):
            part = min(asked[key], room / (len(asked) - number))
            most = [self._teams[owner].cpus_max for owner in owners[key]]
            if all(most):
                part = min(part, lasted * sum(most))
            room -= part
            out[key] = part / asked[key] if asked[key] else 1.0
        return out

    def unserved(self) -> list[str]:
        """Classes and teams of which less than half of what could be was served: it fails."""
        out = []
        for key, largest in self.largest_jobs().items():
            share = self.could("jobclass").get(key, 1.0)
            over = [j["over"] == "done" or j["spec"]["shape"] == "service" for j in largest]
            if sum(over) < MIN_SERVED_SHARE * share * len(over):
                out.append(f"the largest of {key} {sum(over) / len(over):.2f}")
        for kind, waited in self.largest_start_delays().items():
            if waited > MAX_LARGEST_START_DELAY_S:
                out.append(f"one of the largest of {kind} began after {waited:.0f} s")
        for by, word in (("jobclass", "class"), ("owner", "team")):
            could = self.could(by)
            for key, share in self.served(by).items():
                if share < MIN_SERVED_SHARE * could[key]:
                    most = f" of {could[key]:.2f}" if could[key] < 1 else ""
                    out.append(f"{word} {key} {share:.2f}{most}")
        return out
