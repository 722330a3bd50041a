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
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.settings import Objective, Settings
from chalkgrade.sharing.shares import Declaration
from chalkgrade.vectors import Vector

SHARES_KEY = "cg/shares"
QUEUE_B = 250  # bytes; a record of a queue beside its name, numbers rounded
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


class Shares(msgspec.Struct):
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
        self._aimed = {aim.jobclass for aim in settings.cluster.objectives}
        self.shares = Shares()
        self._part_b = value_b
        self._part: dict[str, int] = {}  # queue -> the part that holds its record
        self._filled: list[int] = []  # bytes by part
        count = min(constants.SHARES_PARTS, math.ceil(16 * 1024 / value_b))
        self.kept = [
            PersistedValue(
                f"{SHARES_KEY}/{number}" if number else SHARES_KEY,
                self._load,
                partial(self._dump, number),
            )
            for number in range(count)
        ]
        self.near: dict[str, float] = {}  # image -> CPUs of the machines that hold it
        self.peak_room: Vector = ZERO  # the most room seen to report: C in admission

    def _load(self, raw: bytes) -> None:
        """Take over one part; the version before knows the first only, and may know better."""
        for name, record in msgspec.json.decode(raw, type=Shares).queues.items():
            known = self.shares.queues.get(name)
            if known is None or record.last > known.last:
                self.shares.queues[name] = record

    def _dump(self, number: int) -> Shares:
        names = [name for name, part in self._part.items() if part == number]
        return Shares({name: _rounded(self.shares.queues[name]) for name in names})

    def _assign(self) -> None:
        """Give each queue a part that has room; what has none is not kept, only estimated anew."""
        for name in self.shares.queues.keys() - self._part.keys():
            size = QUEUE_B + 2 * len(name)
            part = next(
                (n for n, b in enumerate(self._filled) if b + size <= self._part_b),
                len(self._filled),
            )
            if part == len(self._filled):
                self._filled.append(0)
            self._filled[part] += size
            self._part[name] = part

    def touch(self, queue: str) -> None:
        """A queue's record is to be written: its class has changed."""
        self._assign()
        part = self._part[queue]
        if part < len(self.kept):
            self.kept[part].mark_changed()

    def record(self, job: Job) -> QueueRecord:
        return self.shares.queues.setdefault(job.queue, QueueRecord())

    def observe_submission(self, job: Job) -> None:
        """Derive a queue's declaration from what is submitted.

        Jobs that come together are one burst. Taken one by one, they would
        claim a period of a moment, fail the safety check, and lose their rate.
        """
        record, spec = self.record(job), job.spec
        work = spec.tasks * max(spec.expectedS, 1.0) * record.correction
        more = tuple(amount * work for amount in spec.resources)
        alpha = constants.ESTIMATE_ALPHA
        due = spec.dueS or min((a.within_s for a in self._aims(job, "finished")), default=0.0)
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
        record.coming = tuple(map(add, record.coming, more))
        record.last = max(record.last, job.eligible_at)

    def observe_run(self, job: Job, seconds: float) -> None:
        if job.spec.expectedS <= 0:
            return
        record = self.record(job)
        ratio = seconds / job.spec.expectedS
        ratio = min(constants.CORRECTION_MAX, max(constants.CORRECTION_MIN, ratio))
        # Runs of one job are alike: each counts as part of one observation.
        alpha = constants.ESTIMATE_ALPHA / job.spec.tasks
        record.correction += alpha * (ratio - record.correction)

    @property
    def last_at(self) -> float:
        """Wall time of the last submission of all."""
        return max((record.last for record in self.shares.queues.values()), default=0.0)

    def declarations(self) -> dict[str, Declaration | None]:
        out: dict[str, Declaration | None] = {}
        for name, record in self.shares.queues.items():
            bursty = record.deadline > 0 and record.period > 0
            demand = record.burst if any(record.burst) else record.coming
            out[name] = Declaration(demand, record.period, record.deadline) if bursty else None
        for burst in self.settings.operator.bursts:
            demand = (burst.cpu_seconds, 0.0, 0.0)
            out[f"{burst.team}/{burst.jobclass}"] = Declaration(
                demand, burst.period_s, burst.deadline_s
            )
        return out

    def run_s(self, job: Job) -> float:
        """Expected run time of one task, corrected by what was observed."""
        record = self.shares.queues.get(job.queue)
        return max(1.0, job.spec.expectedS * (record.correction if record else 1.0))

    def left_s(self, attempt: Attempt, now: float) -> float:
        """How long an attempt will still run; an overdue one, for a part of what it has run."""
        run_s = self.run_s(attempt.job)
        if not attempt.running_since:
            gone = now - attempt.placed_at if attempt.placed_at else 0.0
            return run_s + max(0.0, self.fetch_s(attempt.job) - gone)
        ran = now - attempt.running_since
        return max(run_s - ran, constants.OVERDUE_PART * ran)

    def _aims(self, job: Job, kind: str) -> list[Objective]:
        aims = self.settings.cluster.objectives
        return [a for a in aims if a.jobclass == job.spec.jobclass and a.kind == kind]

    def order(self, job: Job) -> tuple[float, ...]:
        """Urgency first; then bursts that can still meet a bound, shortest remaining first.

        Step 5 serves a soft burst until its deadline: past it, a burst yields to
        those that can still be met; what was begun of those past it goes first, since parts
        of all jobs end none. Jobs without any bound keep their order of arrival.
        """
        age = self.clock.wall() - job.eligible_at
        run_s = self.run_s(job)
        bounds = self.bounds(job)
        missed = sum(1 for bound in bounds if age + run_s > bound)
        remaining = 0.0
        if missed < len(bounds):
            # Fetching keeps a CPU as busy as running: in an overload, a job whose image
            # is nowhere near costs others more than its tasks' run time.
            waiting = len(job.waiting)
            afar = max(
                0.0, waiting - self.near.get(job.spec.bundle, 0.0) / max(job.spec.vcpus, 1e-3)
            )
            work = (waiting + len(job.live)) * run_s + afar * self.fetch_s(job)
            remaining = work * max(job.spec.vcpus, 1e-3)
        elif bounds:
            remaining = 0.0 if job.live or job.done else 1.0
        return self.guest(job), -job.spec.urgency_rank, missed, remaining, job.eligible_at

    def guest(self, job: Job) -> bool:
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
        if job.in_pipeline:
            return False  # what needs it, or will, has aims
        return bool(aims) and job.spec.dueS is None and job.spec.jobclass not in self._aimed

    def dues(self, job: Job) -> list[float]:
        """Wall times by which the users count a job with a deadline as served."""
        due = job.spec.dueS
        if due is None:
            return []
        return [job.accepted_at + due * a.times for a in self._aims(job, "deadline")] or [
            job.accepted_at + due
        ]

    def takes_s(self, job: Job) -> float:
        """From the moment in which a job may run until it is over, with room for all of it.

        Its tasks' run times differ, and the job ends with the last of them.
        """
        return constants.STAGE_S + self.lead_s(job) + constants.LAST_TASK * self.run_s(job)

    def ends_in_s(self, job: Job) -> float:
        """How long a job that may run still takes, if what waits of it starts at once."""
        now = self.clock.now()
        left = [self.left_s(attempt, now) for attempt in job.live.values()]
        if len(job.waiting):
            left.append(self.lead_s(job) + self.run_s(job))
        return constants.STAGE_S + max(left, default=0.0)

    def bounds(self, job: Job) -> list[float]:
        """The times from when it could run by which it should be over.

        Its own deadline counts from its submission, however long it waited for others; that
        of a job which needs it lies before that one's by what comes between (`pipelines`).
        """
        dues = self.dues(job) or job.due_times
        if dues:
            return [due - job.eligible_at for due in dues]
        return [a.within_s for a in self._aims(job, "finished")]

    def fetch_s(self, job: Job) -> float:
        """How long a machine of the slowest kind fetches a job's image."""
        pull = min((flavor.pullGbPerS for flavor in self.flavors.values()), default=1.0)
        return job.spec.pullGb / max(pull, 1e-6)

    def lead_s(self, job: Job) -> float:
        """From deciding an attempt to its start: the image, and the next report."""
        return self.fetch_s(job) + self.settings.cluster.workers.report_s / 2

    def homely(self, job: Job) -> bool:
        """Whether a job should look for its image first, at the cost of the order of jobs."""
        return self.fetch_s(job) > constants.NEAR_RATIO * self.run_s(job)

    def slack(self, job: Job) -> float:
        """How long the last of a job's tasks may wait, for the next bound it can still meet.

        Infinite for a job without bounds, negative when all are missed.
        """
        run_s = self.run_s(job)
        latest = [bound - run_s for bound in self.bounds(job)]
        latest += [aim.within_s for aim in self._aims(job, "wait")]
        if not latest:
            return float("inf")
        gone = self.clock.wall() - job.eligible_at + self.lead_s(job)
        return min((at - gone for at in latest if at >= gone), default=-1.0)

    def needed(self, job: Job, part: float = 1.0) -> int:
        """How many of a job's tasks must run at once for its next bound (step 4: d over t).

        Bursts of a queue overlap here, so that the fixed rate of a queue is the
        sum of what its bursts need now, whole tasks and whole waves of them. They
        are laid into a part of the time that is left.
        """
        slack = self.slack(job)
        if slack < 0 or slack == float("inf"):
            return 0
        waves = int(part * slack / self.run_s(job)) + 1
        return math.ceil((job.startable_count + len(job.live)) / waves)
