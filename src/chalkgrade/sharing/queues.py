"""The state of `shares`: what is known of each queue, and what follows for its jobs.

A queue is a team's jobs of one class. Its declaration is derived from what is
submitted (paper, 3.5), its estimates are corrected by the run times observed.
Records of all queues are kept in the state service across leaders: in one value where all
fit, else the first ones there and others in parts beside it.
"""

import math
from functools import partial
from operator import add
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.machines.kinds import Flavor
from chalkgrade.outside import Clock
from chalkgrade.record.changes import Kept
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.settings import Objective, Settings
from chalkgrade.sharing.bopf import BurstDeclaration
from chalkgrade.vectors import Vector

SHARES_KEY = "cg/shares"
QUEUE_RECORD_BYTES = 250  # bytes; a record of a queue beside its name, numbers rounded
ZERO: Vector = (0.0, 0.0, 0.0)


class QueueRecord(msgspec.Struct):
    """What is kept of a queue across leaders."""

    burst: Vector = ZERO  # amount-seconds a burst asks for, smoothed
    coming: Vector = ZERO  # the same of the burst that is coming in
    began: float = 0.0  # wall time of its first job
    period: float = 0.0  # s between bursts, smoothed
    deadline: float = 0.0  # s a burst has, smoothed; 0: a batch queue
    correction: float = 1.0  # observed run time over the owner's estimate
    last: float = 0.0  # wall time of the last submission
    kind: str = "elastic"


class QueueRecords(msgspec.Struct):
    queues: dict[str, QueueRecord] = {}


def _rounded(record: QueueRecord) -> QueueRecord:
    """What is kept of it: estimates need no sixteen digits."""

    def short(value: Any) -> Any:
        if isinstance(value, tuple):
            return tuple(short(part) for part in value)
        return round(value, 2) if isinstance(value, float) else value

    names = QueueRecord.__struct_fields__
    return QueueRecord(**{name: short(getattr(record, name)) for name in names})


class Queues:
    """All queues' records, and the estimates that rounds and renting share."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        flavors: dict[str, Flavor],
        value_b: int = 16 * 1024,
    ) -> None:
        """`value_b`: bytes that a value kept across leaders may take."""
        self.settings = settings
        self.flavors = flavors
        self.clock = clock
        self._classes_with_objectives = {aim.jobclass for aim in settings.cluster.objectives}
        self.stored = QueueRecords()
        self._max_value_bytes = value_b
        self._part_of_queue: dict[str, int] = {}  # queue -> the part that holds its record
        self._part_bytes: list[int] = []  # bytes by part
        count = min(constants.SHARES_PARTS, math.ceil(16 * 1024 / value_b))
        self.stored_parts = [
            Kept(
                f"{SHARES_KEY}/{number}" if number else SHARES_KEY,
                self._load,
                partial(self._dump, number),
            )
            for number in range(count)
        ]
        self.image_cpus: dict[str, float] = {}  # image -> CPUs of the machines that hold it
        self.peak_capacity: Vector = ZERO  # the most room seen to report: C in admission

    def _load(self, raw: bytes) -> None:
        """Take over one part; the version before knows the first only, and may know better."""
        for name, record in msgspec.json.decode(raw, type=QueueRecords).queues.items():
            known = self.stored.queues.get(name)
            if known is None or record.last > known.last:
                self.stored.queues[name] = record

    def _dump(self, number: int) -> QueueRecords:
        names = [name for name, part in self._part_of_queue.items() if part == number]
        return QueueRecords({name: _rounded(self.stored.queues[name]) for name in names})

    def _assign_parts(self) -> None:
        """Give each queue a part that has room; what has none is not kept, only estimated anew."""
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
        """A queue's record is to be written: its class has changed."""
        self._assign_parts()
        part = self._part_of_queue[queue]
        if part < len(self.stored_parts):
            self.stored_parts[part].touch()

    def queue_record(self, job: Job) -> QueueRecord:
        return self.stored.queues.setdefault(job.queue, QueueRecord())

    def observe_submission(self, job: Job) -> None:
        """Derive a queue's declaration from what is submitted.

        Jobs that come together are one burst. Taken one by one, they would
        claim a period of a moment, fail the safety check, and lose their rate.
        """
        record, spec = self.queue_record(job), job.spec
        work = spec.tasks * max(spec.expectedS, 1.0) * record.correction
        more = tuple(amount * work for amount in spec.room)
        alpha = constants.ESTIMATE_ALPHA
        due = spec.dueS or min((a.within_s for a in self._objectives(job, "finished")), default=0.0)
        if record.last == 0.0:
            record.began, record.period = job.open_at, max(due, constants.BURST_GAP_S)
            record.deadline = due
        elif job.open_at - record.last > constants.BURST_GAP_S:
            old = record.burst if any(record.burst) else record.coming
            record.burst = tuple(
                o + alpha * (n - o) for o, n in zip(old, record.coming, strict=True)
            )
            record.period += alpha * (job.open_at - record.began - record.period)
            record.coming, record.began = ZERO, job.open_at
        record.deadline += alpha * (due - record.deadline)
        record.coming = tuple(map(add, record.coming, more))
        record.last = max(record.last, job.open_at)

    def observe_run(self, job: Job, seconds: float) -> None:
        if job.spec.expectedS <= 0:
            return
        record = self.queue_record(job)
        ratio = seconds / job.spec.expectedS
        ratio = min(constants.CORRECTION_MAX, max(constants.CORRECTION_MIN, ratio))
        # Runs of one job are alike: each counts as part of one observation.
        alpha = constants.ESTIMATE_ALPHA / job.spec.tasks
        record.correction += alpha * (ratio - record.correction)

    @property
    def last_submission_at(self) -> float:
        """Wall time of the last submission of all."""
        return max((record.last for record in self.stored.queues.values()), default=0.0)

    def declarations(self) -> dict[str, BurstDeclaration | None]:
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
        """Expected run time of one task, corrected by what was observed."""
        record = self.stored.queues.get(job.queue)
        return max(1.0, job.spec.expectedS * (record.correction if record else 1.0))

    def remaining_run_s(self, attempt: Attempt, now: float) -> float:
        """How long an attempt will still run; an overdue one, for a part of what it has run."""
        run_s = self.expected_run_s(attempt.job)
        if not attempt.since:
            gone = now - attempt.decided if attempt.decided else 0.0
            return run_s + max(0.0, self.image_fetch_s(attempt.job) - gone)
        ran = now - attempt.since
        return max(run_s - ran, constants.OVERDUE_PART * ran)

    def _objectives(self, job: Job, kind: str) -> list[Objective]:
        aims = self.settings.cluster.objectives
        return [a for a in aims if a.jobclass == job.spec.jobclass and a.kind == kind]

    def scheduling_key(self, job: Job) -> tuple[float, ...]:
        """Urgency first; then bursts that can still meet a bound, shortest remaining first.

        Step 5 serves a soft burst until its deadline: past it, a burst yields to
        those that can still be met; what was begun of those past it goes first, since parts
        of all jobs end none. Jobs without any bound keep their order of arrival.
        """
        age = self.clock.wall() - job.open_at
        run_s = self.expected_run_s(job)
        bounds = self.completion_bounds_s(job)
        missed = sum(1 for bound in bounds if age + run_s > bound)
        remaining = 0.0
        if missed < len(bounds):
            # Fetching keeps a CPU as busy as running: in an overload, a job whose image
            # is nowhere near costs others more than its tasks' run time.
            waiting = len(job.waiting)
            afar = max(
                0.0, waiting - self.image_cpus.get(job.spec.bundle, 0.0) / max(job.spec.vcpus, 1e-3)
            )
            work = (waiting + len(job.live)) * run_s + afar * self.image_fetch_s(job)
            remaining = work * max(job.spec.vcpus, 1e-3)
        elif bounds:
            remaining = 0.0 if job.live or job.done else 1.0
        return self.is_best_effort(job), -job.spec.rank, missed, remaining, job.open_at

    def is_best_effort(self, job: Job) -> bool:
        """Whether a job may have only what nobody else wants.

        A team without a guarantee beside teams that have one; and, whatever its
        team, work that nobody stated an aim for and that has no deadline, where
        other classes have aims.
        """
        teams = self.settings.cluster.teams
        if any(team.cpus or team.gpus for team in teams):
            own = next((team for team in teams if team.name == job.spec.owner), None)
            if own is not None and not (own.cpus or own.gpus):
                return True
        aims = self.settings.cluster.objectives
        if job.piped:
            return False  # what needs it, or will, has aims
        return (
            bool(aims)
            and job.spec.dueS is None
            and job.spec.jobclass not in self._classes_with_objectives
        )

    def due_times(self, job: Job) -> list[float]:
        """Wall times by which the users count a job with a deadline as served."""
        due = job.spec.dueS
        if due is None:
            return []
        return [job.at + due * a.times for a in self._objectives(job, "deadline")] or [job.at + due]

    def expected_makespan_s(self, job: Job) -> float:
        """From the moment in which a job may run until it is over, with room for all of it.

        Its tasks' run times differ, and the job ends with the last of them.
        """
        return (
            constants.STAGE_S
            + self.start_delay_s(job)
            + constants.LAST_TASK * self.expected_run_s(job)
        )

    def remaining_makespan_s(self, job: Job) -> float:
        """How long a job that may run still takes, if what waits of it starts at once."""
        now = self.clock.now()
        left = [self.remaining_run_s(attempt, now) for attempt in job.live.values()]
        if len(job.waiting):
            left.append(self.start_delay_s(job) + self.expected_run_s(job))
        return constants.STAGE_S + max(left, default=0.0)

    def completion_bounds_s(self, job: Job) -> list[float]:
        """The times from when it could run by which it should be over.

        Its own deadline counts from its submission, however long it waited for others; that
        of a job which needs it lies before that one's by what comes between (`pipelines`).
        """
        dues = self.due_times(job) or job.due_at
        if dues:
            return [due - job.open_at for due in dues]
        return [a.within_s for a in self._objectives(job, "finished")]

    def image_fetch_s(self, job: Job) -> float:
        """How long a machine of the slowest kind fetches a job's image."""
        pull = min((flavor.pullGbPerS for flavor in self.flavors.values()), default=1.0)
        return job.spec.pullGb / max(pull, 1e-6)

    def start_delay_s(self, job: Job) -> float:
        """From deciding an attempt to its start: the image, and the next report."""
        return self.image_fetch_s(job) + self.settings.cluster.workers.report_s / 2

    def prefers_local_image(self, job: Job) -> bool:
        """Whether a job should look for its image first, at the cost of the order of jobs."""
        return self.image_fetch_s(job) > constants.NEAR_RATIO * self.expected_run_s(job)

    def slack_s(self, job: Job) -> float:
        """How long the last of a job's tasks may wait, for the next bound it can still meet.

        Infinite for a job without bounds, negative when all are missed.
        """
        run_s = self.expected_run_s(job)
        latest = [bound - run_s for bound in self.completion_bounds_s(job)]
        latest += [aim.within_s for aim in self._objectives(job, "wait")]
        if not latest:
            return float("inf")
        gone = self.clock.wall() - job.open_at + self.start_delay_s(job)
        return min((at - gone for at in latest if at >= gone), default=-1.0)

    def required_concurrency(self, job: Job, part: float = 1.0) -> int:
        """How many of a job's tasks must run at once for its next bound (step 4: d over t).

        Bursts of a queue overlap here, so that the fixed rate of a queue is the
        sum of what its bursts need now, whole tasks and whole waves of them. They
        are laid into a part of the time that is left.
        """
        slack = self.slack_s(job)
        if slack < 0 or slack == float("inf"):
            return 0
        waves = int(part * slack / self.expected_run_s(job)) + 1
        return math.ceil((job.startable + len(job.live)) / waves)
