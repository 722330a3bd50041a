"""The rules that a simulated region must keep, and the history that they are checked against.

The history records what workers do and what users are told, never what the scheduler reports
about itself.
"""

import math
from typing import Any, Protocol

from chalkgrade.region.ground import SimulationBase

MAX_SILENCE_S = 75.0  # without an answer about a job, faults over, it counts as forgotten
LARGEST_JOBS_SHARE = 0.1  # share of a class's jobs, by requested CPUs
MAX_LARGEST_START_DELAY_S = 240.0  # within which each of them must start
MAX_BODY_BYTES = MAX_LINE_BYTES = 64 * 1024  # limits of the protocol
MIN_SERVED_SHARE = 0.5  # of a class's or team's jobs; a day with less has failed
START_TIME_S = 1000.0  # the virtual clock at the start of a run
CPU_TOLERANCE = 1e-6  # sums of fractional CPUs have rounding errors


class Broken(AssertionError):
    """Raised when a rule of the protocol is broken; most texts begin with the rule's name."""


class StartedTask(Protocol):
    """A task on a worker, as far as the rules need it."""

    name: str
    spec: dict[str, Any]


class Host(Protocol):
    """A machine's agent, as far as the rules need it."""

    name: str
    zone: str
    machine: dict[str, Any]
    baton: int


class History(SimulationBase):
    """All jobs, their outcomes and the running tasks; raises Broken as soon as a rule is broken."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.done: set[str] = set()
        self.task_run_s: dict[str, float] = {}  # total run time by task
        self.progress: dict[str, float] = {}  # seconds of it that are checkpointed
        self.lost_work_s = 0.0  # work that was done but not checkpointed
        self.started = self.refusals = self.polls = 0
        self.calm_since = START_TIME_S  # time since which no fault is active
        # Longest presence of a task after a user was told of its cancellation.
        self.max_stop_delay_s = 0.0
        self.longest_silence_s = 0.0  # longest time for which polls of a job got no answer
        self.first_used_at: dict[str, float] = {}  # machine -> time of its first launch order
        self.unrequested_stops: list[float] = []  # times when tasks of unaborted jobs were killed
        self.failures: dict[str, int] = {}  # job -> its failed attempts
        self.starts_after_cancel = 0  # starts after a user was told of the cancellation
        self.longest_line = 0  # bytes of the longest response to a worker or user
        self.lease_ends = 0  # tasks killed when a machine's lease expired
        self.licensed_tool: Any = None  # the LicensedTool, where a run has one
        self.starts: list[tuple[float, int]] = []  # start time and leader token
        # Token -> machine -> time when it first accepted the token.
        self.token_adoptions: dict[int, dict[str, float]] = {}
        self._teams = {team.name: team for team in self.settings.cluster.teams}
        self._worker_of: dict[Any, Any] = {}  # running task -> its worker
        self._of_job: dict[str, dict[Any, Any]] = {}
        self._team_cpus: dict[str, float] = {}  # CPUs by team

    # -- running tasks --------------------------------------------------------------

    def present(self) -> list[tuple[Any, Any]]:
        """Pairs of worker and task for all present tasks, in the order of their starts."""
        return [(worker, task) for task, worker in self._worker_of.items()]

    def present_of_job(self, name: str) -> list[tuple[Any, Any]]:
        """Pairs of worker and task for a job's present tasks."""
        return [(worker, task) for task, worker in self._of_job.get(name, {}).items()]

    def enter(self, worker: Host, task: StartedTask) -> None:
        """Record that a task has its image and is present from now on; checks the start rules."""
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
        """Record that a task has left its machine; no effect when it was not present."""
        if self._worker_of.pop(task, None) is not None:
            told = self.jobs[task.spec["nameId"]]["aborted"]
            if told is not None:
                self.max_stop_delay_s = max(self.max_stop_delay_s, self.now - told)
            self._of_job[task.spec["nameId"]].pop(task)
            self._team_cpus[task.spec["owner"]] -= task.spec["vcpus"]

    def limit(self, owner: str) -> float:
        """The most CPUs that a team may use; 0 means no limit."""
        return float(self._teams[owner].cpus_max)

    # -- rules ----------------------------------------------------------------------

    def check_report_size(self, source: str, path: str, body: bytes) -> None:
        """Check that a worker doesn't hold more tasks than its report may list."""
        if path == "/hello" and len(body) > MAX_BODY_BYTES:
            raise Broken(f"report_size: {source} reports {len(body)} bytes")

    def check_response_line(self, target: str, line: bytes) -> None:
        """Check the length of a response to a worker or user, which is one line."""
        self.longest_line = max(self.longest_line, len(line))
        if len(line) > MAX_LINE_BYTES:
            raise Broken(f"response_line: {len(line)} bytes to {target}")

    def check_start(self, worker: Host, task: StartedTask) -> None:
        """Check all rules that apply when a task starts."""
        spec, name = task.spec, task.name
        siblings = self.present_of_job(spec["nameId"])
        for other, sibling in siblings:
            if sibling.name == name:
                raise Broken(f"ran_twice: {name} on {worker.name} and {other.name}")
        team = self._teams[spec["owner"]]
        used = self._team_cpus.get(spec["owner"], 0.0)
        if team.cpus_max and used + spec["vcpus"] > team.cpus_max + CPU_TOLERANCE:
            raise Broken(f"quota: {team.name} uses {used + spec['vcpus']}")
        machine = worker.machine
        zones = [*(other.zone for other, _ in siblings), worker.zone]
        if (
            (spec["hosttypes"] is not None and machine["hosttype"] not in spec["hosttypes"])
            or (spec["site"] is not None and worker.zone != spec["site"])
            or (machine["standby"] and not spec["standby"])
            or (spec["oneZone"] and len(set(zones)) > 1)
            or (spec["spread"] and zones.count(worker.zone) > (spec["tasks"] + 1) // 2)
        ):
            raise Broken(f"wrong_place: {name} on {machine} with {zones[:-1]}")
        for dependency in spec.get("waitsOn") or ():
            if not self.completed(dependency):
                raise Broken(f"too_early: {name} on {worker.name}, {dependency} is not done")
        self.check_cancelled(worker, task)

    def finish(self, task: str) -> None:
        """Record a completed task; repeated calls have no effect."""
        if task in self.done:
            return
        self.done.add(task)
        job = self.jobs[task.rpartition("/")[0]]
        job["finished"] = job.get("finished", 0) + 1
        if job["finished"] == job["spec"]["tasks"]:
            job["completed_at"] = self.now
            self.on_job_completed(task.rpartition("/")[0])

    def on_job_completed(self, name: str) -> None:
        """Hook, called when the last task of a job is completed."""

    def completed(self, name: str) -> bool:
        """Whether every task of a job is completed."""
        return "completed_at" in self.jobs[name]

    def dependencies_of(self, name: str) -> list[dict[str, Any]]:
        """All jobs that a job depends on, directly or transitively."""
        found: dict[str, None] = {}
        stack = [name]
        while stack:
            names = self.jobs[stack.pop()]["spec"].get("waitsOn") or ()
            new = [one for one in names if one not in found]
            found |= dict.fromkeys(new)
            stack += new
        return [self.jobs[one] for one in found]

    def check_cancelled(self, worker: Host, task: StartedTask) -> None:
        """Check that a task of a cancelled job is not present after `CANCEL_S` seconds."""
        told = self.jobs[task.spec["nameId"]]["aborted"]
        if told is not None and self.now > told + self.CANCEL_S:
            raise Broken(f"ran_cancelled: {task.name} on {worker.name}")

    def check_all_cancelled(self) -> None:
        """Check `check_cancelled` for every present task."""
        for task, worker in self._worker_of.items():
            self.check_cancelled(worker, task)

    def check_answer(
        self, name: str, asked: float, answer: tuple[int, Any] | None, member: str = ""
    ) -> None:
        """Check the answer to a request about a job sent at `asked`; None means no answer came.

        `member`: the controller that was asked.
        """
        if answer is None:
            return
        if answer[0] in (200, 201):
            before = self._status_known_at(name, asked)
            self.record_status(name, answer[1], asked)
            if answer[0] == 201 and before is not None and not self.runs_earlier_version(member):
                raise Broken(f"forgotten: {name} was {before}, now accepted as new (201)")
        elif answer[0] in (400, 404, 422):
            # An accepted job is never reported as unknown, and may always be submitted again.
            before = self._status_known_at(name, asked)
            if before is not None:
                raise Broken(f"forgotten: {name} was {before}, now {answer[0]} {answer[1]}")
            if answer[0] != 404:
                raise Broken(f"{name} refused: {answer}")

    def runs_earlier_version(self, member: str) -> bool:
        """Whether a controller runs the version in production, which accepts known jobs anew."""
        return False

    def _status_known_at(self, name: str, asked: float) -> str | None:
        """The latest status of a job that any user had received before a request was sent.

        Answers to two users may overtake each other, so only earlier arrivals count.
        """
        came = self.jobs[name].get("came", ())
        return next((status for status, at in reversed(came) if at < asked), None)

    def record_status(self, name: str, answer: dict[str, Any], asked: float | None = None) -> None:
        """Check a job status that a user received; `asked`: time of the request, default now."""
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
            # A job that depends on a cancelled one is accepted too: its time starts there.
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
        """Check that polls of an accepted job get answers; `told`: whether this one did."""
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

    # -- service quality ------------------------------------------------------------

    def was_cancelled(self, job: dict[str, Any]) -> bool:
        """Whether a user asked to cancel the job or one that it depends on."""
        before = self.dependencies_of(job["spec"]["nameId"])
        return any(one.get("asked") for one in (job, *before))

    def served(self, by: str) -> dict[str, float]:
        """Share of jobs whose user was told `done`, by `jobclass` or `owner`, without aborted ones.

        A service job counts as served once each of its replicas has run.
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
        """By class, the jobs that request the most CPUs, without cancelled ones."""
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
        """When a job became ready: submitted and all dependencies completed; None: not yet."""
        names = job["spec"].get("waitsOn") or ()
        if not all(self.completed(name) for name in names):
            return None
        return float(max([job["at"], *(self.jobs[name]["completed_at"] for name in names)]))

    def largest_start_delays(self) -> dict[str, float]:
        """By class, the longest delay in seconds from readiness to first task of a largest job."""
        out: dict[str, float] = {}
        for key, jobs in self.largest_jobs().items():
            for job in jobs:
                ready = self.ready_at(job)
                if ready is not None:
                    out[key] = max(out.get(key, 0.0), job.get("first", self.now) - ready)
        return out

    def could(self, by: str) -> dict[str, float]:
        """Upper bound, at most 1, on the share of each `jobclass` or `owner` that can be served.

        The capacity is the CPU-seconds of all machines of the cloud from the start until now,
        without boots, image fetches or failures; each team is bounded by its maximum. It is
        divided evenly, and nobody gets more than the demand (tasks times CPUs times the mean
        run time, 1.25 times the estimate). 1 means that all work could be done; less means
        that the demand exceeded the capacity.
        """
        elapsed_s = self.now - START_TIME_S
        sizes = {flavor["sku"]: flavor["vcpus"] for flavor in self.FLAVORS}
        capacity = elapsed_s * sum(
            sizes[kind] * count for (kind, _, _), count in self.ROOMS.items()
        )
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
            granted = min(asked[key], capacity / (len(asked) - number))
            maxima = [self._teams[owner].cpus_max for owner in owners[key]]
            if all(maxima):
                granted = min(granted, elapsed_s * sum(maxima))
            capacity -= granted
            out[key] = granted / asked[key] if asked[key] else 1.0
        return out

    def unserved(self) -> list[str]:
        """Classes and teams that got less than half of the possible service, as texts.

        Also classes whose largest jobs were not served or started too late. Empty: passed.
        """
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
