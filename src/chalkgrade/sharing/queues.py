"""The state that `bopf` needs: a record of each queue, and the estimates for its jobs.

A queue holds one team's jobs of one class. Its declaration is derived from what is submitted
(section 3.5 of the paper), and its estimates are corrected by observed run times. The records of
all queues are kept in the state service, so that a new leader has them. They are stored in one
value if they fit, otherwise further records are stored in additional values.
"""

import math
from functools import partial
from operator import add
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.machines.flavors import Flavor
from chalkgrade.outside import Clock
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.settings import Objective, Settings
from chalkgrade.sharing.bopf import BurstDeclaration
from chalkgrade.vectors import Vector

SHARES_KEY = "cg/shares"
QUEUE_RECORD_BYTES = 250  # a queue's record without its name, with rounded numbers
ZERO: Vector = (0.0, 0.0, 0.0)


class QueueRecord(msgspec.Struct):
    """The state of a queue that is kept across leaders."""

    burst: Vector = ZERO  # amount-seconds that a burst asks for, smoothed
    coming: Vector = ZERO  # amount-seconds submitted so far in the current burst
    began: float = 0.0  # wall time of the current burst's first job
    period: float = 0.0  # seconds between bursts, smoothed
    deadline: float = 0.0  # seconds within which a burst has to end, smoothed; 0: a batch queue
    correction: float = 1.0  # ratio of observed run time to the owner's estimate
    last: float = 0.0  # wall time of the last submission
    kind: str = "elastic"  # value of the queue's `QueueKind`


class QueueRecords(msgspec.Struct):
    """One stored value: records by queue name."""

    queues: dict[str, QueueRecord] = {}


def _rounded(record: QueueRecord) -> QueueRecord:
    """Return a copy to store, with numbers rounded to two decimals to save space."""

    def rounded(value: Any) -> Any:
        if isinstance(value, tuple):
            return tuple(rounded(part) for part in value)
        return round(value, 2) if isinstance(value, float) else value

    names = QueueRecord.__struct_fields__
    return QueueRecord(**{name: rounded(getattr(record, name)) for name in names})


class Queues:
    """The records of all queues, and the estimates that scheduling and renting share."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        flavors: dict[str, Flavor],
        max_value_bytes: int = 16 * 1024,
    ) -> None:
        """`max_value_bytes` is the maximum size in bytes of a value in the state service."""
        self.settings = settings
        self.flavors = flavors
        self.clock = clock
        self._classes_with_objectives = {
            objective.jobclass for objective in settings.cluster.objectives
        }
        self.stored = QueueRecords()
        self._max_value_bytes = max_value_bytes
        self._part_of_queue: dict[str, int] = {}  # queue -> number of the value with its record
        self._part_bytes: list[int] = []  # estimated bytes in each of these values
        count = min(constants.MAX_QUEUE_RECORD_VALUES, math.ceil(16 * 1024 / max_value_bytes))
        self.persisted_values = [
            PersistedValue(
                f"{SHARES_KEY}/{number}" if number else SHARES_KEY,
                self._load,
                partial(self._dump, number),
            )
            for number in range(count)
        ]
        self.image_cpus: dict[str, float] = {}  # image -> CPUs of the machines that hold it
        # Largest capacity of reporting machines seen so far: C in admission.
        self.peak_capacity: Vector = ZERO

    def _load(self, raw: bytes) -> None:
        """Load one stored value; of two records of a queue, the one used last is kept.

        The previous software version reads and writes only the first value, so that a record in
        it may be newer than the one in another value.
        """
        for name, record in msgspec.json.decode(raw, type=QueueRecords).queues.items():
            existing = self.stored.queues.get(name)
            if existing is None or record.last > existing.last:
                self.stored.queues[name] = record

    def _dump(self, number: int) -> QueueRecords:
        """Return the content to store in one value."""
        names = [name for name, part in self._part_of_queue.items() if part == number]
        return QueueRecords({name: _rounded(self.stored.queues[name]) for name in names})

    def _assign_parts(self) -> None:
        """Assign each queue without one a value that has room for its record.

        A queue beyond the last value is not stored; a new leader estimates it again.
        """
        for name in self.stored.queues.keys() - self._part_of_queue.keys():
            size = QUEUE_RECORD_BYTES + 2 * len(name)
            part = next(
                (n for n, b in enumerate(self._part_bytes) if b + size <= self._max_value_bytes),
                len(self._part_bytes),
            )
            if part == len(self._part_bytes):
                self._part_bytes.append(0)
            self._part_bytes[part] += size
            self._part_of_queue[name] = part

    def mark_changed(self, queue: str) -> None:
        """Request that a queue's record be written, after its kind has changed."""
        self._assign_parts()
        part = self._part_of_queue[queue]
        if part < len(self.persisted_values):
            self.persisted_values[part].mark_changed()

    def queue_record(self, job: Job) -> QueueRecord:
        """Return the record of a job's queue, created if there is none."""
        return self.stored.queues.setdefault(job.queue, QueueRecord())

    def observe_submission(self, job: Job) -> None:
        """Update a queue's declaration with a submitted job.

        Jobs submitted within `BURST_GAP_S` of each other form one burst. As separate bursts, they
        would declare a period of nearly zero, fail the safety check and lose their rate.
        """
        record, spec = self.queue_record(job), job.spec
        work = spec.tasks * max(spec.expectedS, 1.0) * record.correction
        job_work = tuple(amount * work for amount in spec.resources)
        alpha = constants.RUN_TIME_CORRECTION_WEIGHT
        due = spec.dueS or min((a.within_s for a in self._objectives(job, "finished")), default=0.0)
        if record.last == 0.0:
            record.began, record.period = job.eligible_at, max(due, constants.BURST_GAP_S)
            record.deadline = due
        elif job.eligible_at - record.last > constants.BURST_GAP_S:
            old = record.burst if any(record.burst) else record.coming
            record.burst = tuple(
                o + alpha * (n - o) for o, n in zip(old, record.coming, strict=True)
            )
            record.period += alpha * (job.eligible_at - record.began - record.period)
            record.coming, record.began = ZERO, job.eligible_at
        record.deadline += alpha * (due - record.deadline)
        record.coming = tuple(map(add, record.coming, job_work))
        record.last = max(record.last, job.eligible_at)

    def observe_run(self, job: Job, seconds: float) -> None:
        """Update a queue's correction with a task's run time, if its owner gave an estimate."""
        if job.spec.expectedS <= 0:
            return
        record = self.queue_record(job)
        ratio = seconds / job.spec.expectedS
        ratio = min(
            constants.MAX_RUN_TIME_CORRECTION_RATIO,
            max(constants.MIN_RUN_TIME_CORRECTION_RATIO, ratio),
        )
        # Tasks of one job have similar run times, so that together they count as one observation.
        alpha = constants.RUN_TIME_CORRECTION_WEIGHT / job.spec.tasks
        record.correction += alpha * (ratio - record.correction)

    @property
    def last_submission_at(self) -> float:
        """Wall time of the last submission to any queue."""
        return max((record.last for record in self.stored.queues.values()), default=0.0)

    def declarations(self) -> dict[str, BurstDeclaration | None]:
        """Return the declaration of each queue, None for a batch queue.

        Bursts in the operator's settings replace the derived declarations.
        """
        out: dict[str, BurstDeclaration | None] = {}
        for name, record in self.stored.queues.items():
            bursty = record.deadline > 0 and record.period > 0
            demand = record.burst if any(record.burst) else record.coming
            out[name] = BurstDeclaration(demand, record.period, record.deadline) if bursty else None
        for burst in self.settings.operator.bursts:
            demand = (burst.cpu_seconds, 0.0, 0.0)
            out[f"{burst.team}/{burst.jobclass}"] = BurstDeclaration(
                demand, burst.period_s, burst.deadline_s
            )
        return out

    def expected_run_s(self, job: Job) -> float:
        """Expected run time of one task in seconds, corrected by observed run times; 1 at least."""
        record = self.stored.queues.get(job.queue)
        return max(1.0, job.spec.expectedS * (record.correction if record else 1.0))

    def remaining_run_s(self, attempt: Attempt, now: float) -> float:
        """How many seconds an attempt will still run, including its image fetch.

        A replica of a service ends when its job is cancelled, not by itself: `math.inf`.
        An overdue attempt is expected to run for `OVERDUE_RATIO` of the time it has run so far.
        """
        if attempt.job.spec.shape == "service":
            return math.inf
        run_s = self.expected_run_s(attempt.job)
        if not attempt.running_since:
            elapsed_s = now - attempt.placed_at if attempt.placed_at else 0.0
            return run_s + max(0.0, self.image_fetch_s(attempt.job) - elapsed_s)
        run_so_far_s = now - attempt.running_since
        return max(run_s - run_so_far_s, constants.OVERDUE_RATIO * run_so_far_s)

    def _objectives(self, job: Job, kind: str) -> list[Objective]:
        """Return the objectives of one kind for the job's class."""
        objectives = self.settings.cluster.objectives
        return [a for a in objectives if a.jobclass == job.spec.jobclass and a.kind == kind]

    def scheduling_key(self, job: Job) -> tuple[float, ...]:
        """Sort key of jobs: by urgency, then those that can still meet a bound, shortest first.

        Step 5 serves a soft burst until its deadline. After its last bound, a job yields to those
        that can still meet one. Among these late jobs, the ones that have started come first,
        because parts of all of them would complete none. Jobs without bounds keep their order of
        arrival.
        """
        age = self.clock.wall() - job.eligible_at
        run_s = self.expected_run_s(job)
        bounds = self.completion_bounds_s(job)
        missed = sum(1 for bound in bounds if age + run_s > bound)
        remaining = 0.0
        if missed < len(bounds):
            # A CPU is occupied during an image fetch as it is during a run: in an overload, a job
            # whose image is on few machines costs other jobs more than its tasks' run time.
            waiting = len(job.waiting)
            tasks_without_image = max(
                0.0, waiting - self.image_cpus.get(job.spec.bundle, 0.0) / max(job.spec.vcpus, 1e-3)
            )
            work = (waiting + len(job.live)) * run_s + tasks_without_image * self.image_fetch_s(job)
            remaining = work * max(job.spec.vcpus, 1e-3)
        elif bounds:
            remaining = 0.0 if job.live or job.done else 1.0
        return self.is_best_effort(job), -job.spec.urgency_rank, missed, remaining, job.eligible_at

    def is_best_effort(self, job: Job) -> bool:
        """Whether a job gets only what no other job wants.

        That holds for jobs of a team without a guarantee if other teams have one. It also holds,
        in any team, for jobs without a deadline whose class has no objectives if other classes
        have some.
        """
        teams = self.settings.cluster.teams
        if any(team.cpus or team.gpus for team in teams):
            own_team = next((team for team in teams if team.name == job.spec.owner), None)
            if own_team is not None and not (own_team.cpus or own_team.gpus):
                return True
        objectives = self.settings.cluster.objectives
        if job.in_pipeline:
            return False  # the jobs that depend on it, now or later, have objectives
        return (
            bool(objectives)
            and job.spec.dueS is None
            and job.spec.jobclass not in self._classes_with_objectives
        )

    def due_times(self, job: Job) -> list[float]:
        """Wall times by which the objectives count a job with a deadline as served."""
        due = job.spec.dueS
        if due is None:
            return []
        return [job.accepted_at + due * a.times for a in self._objectives(job, "deadline")] or [
            job.accepted_at + due
        ]

    def expected_makespan_s(self, job: Job) -> float:
        """Seconds from when a job may run until it ends, given room for all its tasks.

        Its tasks' run times differ, and the job ends with the last of them.
        """
        return (
            constants.STAGE_START_DELAY_S
            + self.start_delay_s(job)
            + constants.LAST_TASK_RUN_TIME_RATIO * self.expected_run_s(job)
        )

    def remaining_makespan_s(self, job: Job) -> float:
        """Seconds until a job that may run ends, if its waiting tasks start at once."""
        now = self.clock.now()
        remaining_s = [self.remaining_run_s(attempt, now) for attempt in job.live.values()]
        if len(job.waiting):
            remaining_s.append(self.start_delay_s(job) + self.expected_run_s(job))
        return constants.STAGE_START_DELAY_S + max(remaining_s, default=0.0)

    def completion_bounds_s(self, job: Job) -> list[float]:
        """Seconds, counted from when the job could run, within which it should be over.

        Its own deadline counts from its submission, however long it waited for the jobs it depends
        on. Without one, the deadline of a job that depends on it applies, less the time of the
        jobs in between (`pipelines`).
        """
        due_walls = self.due_times(job) or job.due_times
        if due_walls:
            return [due - job.eligible_at for due in due_walls]
        return [a.within_s for a in self._objectives(job, "finished")]

    def image_fetch_s(self, job: Job) -> float:
        """Seconds in which a machine of the slowest type fetches a job's image."""
        slowest_gb_per_s = min((flavor.pullGbPerS for flavor in self.flavors.values()), default=1.0)
        return job.spec.pullGb / max(slowest_gb_per_s, 1e-6)

    def start_delay_s(self, job: Job) -> float:
        """Seconds from the decision on an attempt to its start.

        These are the image fetch and half a report interval, the mean wait for the next report.
        """
        return self.image_fetch_s(job) + self.settings.cluster.workers.report_s / 2

    def prefers_local_image(self, job: Job) -> bool:
        """Whether a job prefers machines with its image, even at the cost of the job order."""
        return self.image_fetch_s(job) > constants.IMAGE_LOCALITY_RATIO * self.expected_run_s(job)

    def slack_s(self, job: Job) -> float:
        """Seconds that a job's last task may wait and still meet the next bound within reach.

        Infinite for a job without bounds, negative when all are missed.
        """
        run_s = self.expected_run_s(job)
        latest = [bound - run_s for bound in self.completion_bounds_s(job)]
        latest += [objective.within_s for objective in self._objectives(job, "wait")]
        if not latest:
            return float("inf")
        elapsed_s = self.clock.wall() - job.eligible_at + self.start_delay_s(job)
        return min((at - elapsed_s for at in latest if at >= elapsed_s), default=-1.0)

    def required_concurrency(self, job: Job, part: float = 1.0) -> int:
        """How many of a job's tasks must run at once to meet its next bound (step 4: d over t).

        Bursts of a queue may overlap in this system, so that the fixed rate of a queue is the sum
        of what its bursts need now, in whole tasks and whole waves of tasks. The waves are planned
        into `part` of the remaining slack. 0 without a bound that can still be met.
        """
        slack = self.slack_s(job)
        if slack < 0 or slack == float("inf"):
            return 0
        waves = int(part * slack / self.expected_run_s(job)) + 1
        return math.ceil((job.startable_count + len(job.live)) / waves)
