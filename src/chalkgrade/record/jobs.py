"""Jobs and their durable records.

Keys in the state service:
- cg/in/N: a batch of unfinished jobs (their submissions, and whether they were aborted);
- cg/job/ID: one unfinished job, accepted by a node that could not reach the leader;
- cg/log/N: recent events of the tasks of all jobs (`oplog`);
- cg/task/ID/PAGE: a checkpoint of some tasks of a job: which are done, which may be running;
- cg/need/ID/MARK-N: a part of a dependency list that is too long for the record;
- cg/end/ID: the final state, kept for ever.

A job moves from one of the first two keys to the last in one commit. So at every revision an
accepted job is found under one of the first two or under the last.
"""

import re
from typing import Any, Literal

import msgspec

from chalkgrade import constants
from chalkgrade.outside import encode
from chalkgrade.record.oplog import DONE, FAILED, INTERRUPTED, Op, OpLog, page_number
from chalkgrade.record.task_sets import DoneTasks, WaitingTasks

BATCH_PREFIX = "cg/in/"
JOB_PREFIX = "cg/job/"
TASK_PREFIX = "cg/task/"
END_PREFIX = "cg/end/"
DEPENDENCIES_PREFIX = "cg/need/"
JOB_ID_PATTERN = re.compile(r"[A-Za-z][A-Za-z0-9_.]*-[0-9]{1,20}\Z")
URGENCY_RANKS = {"prod": 3, "high": 2, "standard": 1, "best_effort": 0}
TASKS_MAX = 100_000  # per job


class SubmissionError(Exception):
    """A submission is malformed (HTTP status 400)."""


class SubmissionTooLongError(SubmissionError):
    """A submission is too long to be stored; under higher limits it may be accepted already."""

    def __init__(self, name: str) -> None:
        super().__init__("the description is too long to be kept")
        self.name = name  # of the job


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submission, with the platform's field names; times in seconds, sizes in GB."""

    nameId: str
    jobclass: str
    owner: str
    shape: Literal["batch", "gang", "service"]
    urgency: Literal["prod", "high", "standard", "best_effort"]
    tasks: int
    vcpus: float
    gpus: float
    memoryGb: float
    bundle: str
    pullGb: float
    oneZone: bool
    spread: bool
    standby: bool
    expectedS: float
    savepointS: float
    flushS: float
    hosttypes: list[str] | None = None
    site: str | None = None
    dueS: float | None = None
    licences: dict[str, int] | None = None  # pool -> seats per task, if licences are enabled
    waitsOn: list[str] | None = None  # jobs that must be done before any task starts

    @property
    def urgency_rank(self) -> int:
        """The urgency as a number; higher is more urgent."""
        return URGENCY_RANKS[self.urgency]

    @property
    def resources(self) -> tuple[float, float, float]:
        """Resources of one task: CPUs, GPUs, memory in GB."""
        return self.vcpus, self.gpus, self.memoryGb

    @property
    def machine_constraints(self) -> tuple[object, ...]:
        """The fields that decide which machines suit its tasks; equal for equivalent jobs."""
        hosttypes = tuple(self.hosttypes or ())
        # The length of the id counts, since workers name the task in their reports.
        return self.resources, len(self.nameId), hosttypes, self.site, self.standby


def parse_submission(body: bytes, value_b: int) -> JobSpec:
    """Decode and check a submission; raises SubmissionError with the faulty field.

    The record may take `value_b` bytes; the dependency list is not counted and may be longer.
    """
    try:
        spec = _decode_spec(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SubmissionError(str(error)) from None
    if not is_job_id(spec.nameId):
        raise SubmissionError("nameId: not a job id")
    if not 1 <= spec.tasks <= TASKS_MAX:
        raise SubmissionError(f"tasks: must be 1 to {TASKS_MAX}")
    for field in ("vcpus", "gpus", "memoryGb", "pullGb", "expectedS", "savepointS", "flushS"):
        if not 0 <= getattr(spec, field) < 1e9:
            raise SubmissionError(f"{field}: must not be negative or beyond bounds")
    if spec.dueS is not None and not 0 <= spec.dueS < 1e9:
        raise SubmissionError("dueS: must not be negative or beyond bounds")
    for seats in (spec.licences or {}).values():
        if not 1 <= seats <= 1_000_000:
            raise SubmissionError("licences: seats must be 1 to 1000000")
    if spec.waitsOn is not None:
        for name in spec.waitsOn:
            if not is_job_id(name) or name == spec.nameId:
                raise SubmissionError(f"waitsOn: {name[:100]!r} is no other job's id")
        # Repeated names count once, and an empty list is treated like a missing field.
        spec = msgspec.structs.replace(spec, waitsOn=list(dict.fromkeys(spec.waitsOn)) or None)
    if len(encode(without_dependencies(spec))) > value_b - constants.JOB_RECORD_OVERHEAD_BYTES:
        raise SubmissionTooLongError(spec.nameId)
    return spec


def _decode_spec(body: bytes) -> JobSpec:
    """Decode a submission; a count may be any JSON number that is whole, such as 4.0 or 4e0."""
    try:
        return msgspec.json.decode(body, type=JobSpec)
    except msgspec.ValidationError as error:
        try:
            return msgspec.convert(_with_whole_counts(body), JobSpec)
        except msgspec.DecodeError:
            raise error from None


def _with_whole_counts(body: bytes) -> dict[str, Any]:
    fields = msgspec.json.decode(body, type=dict[str, Any])
    if "tasks" in fields:
        fields["tasks"] = _whole_number(fields["tasks"])
    seats = fields.get("licences")
    if isinstance(seats, dict):
        fields["licences"] = {pool: _whole_number(count) for pool, count in seats.items()}
    return fields


def _whole_number(value: Any) -> Any:
    """Return a whole float as an integer, and anything else as it is."""
    return int(value) if isinstance(value, float) and value.is_integer() else value


def is_job_id(name: str) -> bool:
    """Whether a text is a valid job id."""
    return len(name) <= constants.MAX_JOB_ID_CHARS and JOB_ID_PATTERN.match(name) is not None


def without_dependencies(spec: JobSpec) -> JobSpec:
    """Return a submission without its dependency list."""
    return spec if spec.waitsOn is None else msgspec.structs.replace(spec, waitsOn=None)


class JobValue(msgspec.Struct, omit_defaults=True):
    """A job's record: the value under cg/job/, and an element of those under cg/in/."""

    spec: JobSpec  # as submitted
    at: float  # wall time of the acceptance, in seconds
    aborted: bool = False
    # The separately stored dependency list, if there is one: its checksum and number of parts.
    apart: tuple[str, int] | None = None


class BatchValue(msgspec.Struct):
    """The value under cg/in/."""

    jobs: list[JobValue]


class RawBatchValue(msgspec.Struct):
    """The value under cg/in/ with its records as they are stored."""

    jobs: list[msgspec.Raw]


class NamedSpec(msgspec.Struct):
    """The name in a submission whose other fields may be unreadable."""

    nameId: str


class NamedRecord(msgspec.Struct):
    """The name in a job's record whose other fields may be unreadable."""

    spec: NamedSpec


class EndValue(msgspec.Struct):
    """The value under cg/end/."""

    status: Literal["done", "withdrawn"]
    tasks: int = 0  # number of done tasks
    at: float = 0.0  # wall time of the end; jobs that depend on it wait from then on


class PageValue(msgspec.Struct):
    """The value under cg/task/, a checkpoint of one page.

    It includes all log entries up to the sequence number `u`. The field names have one letter
    because they are stored with every page.
    """

    n: int = 1  # next try number
    d: list[tuple[int, int]] = []  # ranges of done tasks, both ends included
    l: dict[int, tuple[int, str]] = {}  # noqa: E741 - live attempts: task -> try number, machine
    u: int = 0  # last log entry that is included
    f: list[str] = []  # machines on which its tasks failed, while no task of the job is done


class Attempt:
    """One try of one task on one machine, for as long as it may be running there."""

    __slots__ = (
        "job",
        "index",
        "number",
        "machine",
        "op_number",
        "launch_report",
        "state",
        "kill_requested_at",
        "running_since",
        "placed_at",
        "kill_sent",
        "is_starvation_guarded",
    )

    def __init__(self, job: "Job", index: int, number: int, machine: str, op: int) -> None:
        """Create try `number` of task `index`; `op` is its operation in the log."""
        self.job = job
        self.index = index
        self.number = number
        self.machine = machine
        self.op_number = op  # the log operation that makes it durable
        # The report whose answer ordered its launch.
        self.launch_report: tuple[int, int] | None = None
        self.state = ""  # as last reported; "" if never reported
        self.kill_requested_at: float | None = None  # since when it is to be stopped
        self.kill_sent = False  # a kill order may have been executed
        self.running_since = 0.0  # when it was first reported running
        self.placed_at = 0.0  # when it was placed; 0: by an earlier leader
        # Started by the protection against starvation: not preempted for urgency.
        self.is_starvation_guarded = False

    @property
    def name(self) -> str:
        """The task's name: job and index."""
        return f"{self.job.spec.nameId}/{self.index}"

    @property
    def label(self) -> str:
        """Its name in logs: task and try number."""
        return f"{self.name}#{self.number}"

    @property
    def is_durable(self) -> bool:
        """Whether the log durably holds its placement."""
        return self.job.oplog.durable_count >= self.op_number


class Page:
    """A range of TASKS_PER_PAGE tasks of a job: the unit of checkpoints."""

    __slots__ = ("key", "next_try", "done", "live", "stamp", "durable_lsn")

    def __init__(self, key: str, number: int) -> None:
        self.key = key
        self.next_try = 1
        self.done = DoneTasks(number)
        self.live: dict[int, Attempt] = {}
        self.stamp = 0
        self.durable_lsn = 0  # the log entry up to which the stored checkpoint goes

    def value(self, upto: int, failed: list[str]) -> PageValue:
        """Return its checkpoint; `failed` are machines on which the job failed."""
        return PageValue(
            self.next_try,
            self.done.ranges(),
            {index: (a.number, a.machine) for index, a in self.live.items()},
            upto,
            failed,
        )


class Job:
    """An unfinished job in the leader's memory."""

    def __init__(self, value: JobValue, stamp: int, log: OpLog, batch: Any = None) -> None:
        self.batch = batch  # the `changes.Batch` with its record, or None
        self.submitted_spec = value.spec  # as submitted
        self.spec = value.spec  # as scheduled: with the urgency of its dependents
        self.stored_dependencies = value.apart  # as in the record
        self.queue = f"{value.spec.owner}/{value.spec.jobclass}"  # owner and job class
        self.oplog = log
        self.accepted_at = value.at  # wall time
        self.eligible_at = value.at  # wall time from which it may run and its wait counts
        self.due_times: list[float] | None = None  # wall times by which dependents need its end
        # Whether it has dependencies or dependents.
        self.in_pipeline = value.spec.waitsOn is not None or value.apart is not None
        self.is_blocked = False  # its dependencies are not done: none of its tasks is waiting
        self.aborted = value.aborted  # durable, so users may be told
        self.aborting = False  # abort not durable yet: nothing may be launched
        self.reported_cancelled = False  # another controller reported its cancellation
        self.stamp = stamp  # revision of its own record; 0: none
        self.pages: dict[int, Page] = {}
        self.waiting = WaitingTasks(self.spec.tasks)
        self.done = 0  # number of done tasks
        self.live: dict[int, Attempt] = {}  # task -> its attempt
        self.failures_by_machine: dict[str, int] = {}  # machine -> failed attempts there
        self.failed_probes = 0  # failed attempts while the job counts as faulty
        self.probe_limit = 1  # concurrent probes: twice as many as have run long
        self.has_run_long = False  # a replica ran long: tasks of a service are never done
        self.retry_at = 0.0  # no task is started before that, after failures
        # Until when it waits for machines that have its image.
        self.image_affinity_until: float | None = None

    @property
    def name(self) -> str:
        """The job's id."""
        return self.spec.nameId

    @property
    def cancelled(self) -> bool:
        """Whether its user cancelled it, so that its tasks are of no use any more."""
        return self.aborted or self.aborting or self.reported_cancelled

    @property
    def round_queue(self) -> str:
        """Its queue in a scheduling round.

        A job whose urgency is raised by its dependents gets a queue of its own, so that it does
        not move its whole regular queue ahead of others.
        """
        lifted = self.spec.urgency_rank != self.submitted_spec.urgency_rank
        return f"{self.queue}#{self.spec.urgency}" if lifted else self.queue

    @property
    def value(self) -> JobValue:
        """The job's record."""
        return JobValue(
            self.submitted_spec, self.accepted_at, self.aborted, self.stored_dependencies
        )

    def block(self) -> None:
        """Take its tasks out of scheduling until `unblock`, because dependencies are not done."""
        self.is_blocked, self.waiting = True, WaitingTasks(0)

    def unblock(self, at: float) -> None:
        """Make it schedulable: its dependencies are durably done, the last since wall time `at`."""
        self.is_blocked, self.eligible_at = False, max(self.accepted_at, at)
        self.waiting = WaitingTasks(self.spec.tasks)
        for page in self.pages.values():
            for index in (*page.done, *page.live):
                self.waiting.remove(index)

    def page_of(self, index: int) -> Page:
        """Return the page of a task, creating it if needed."""
        number = page_number(index)
        page = self.pages.get(number)
        if page is None:
            page = self.pages[number] = Page(f"{TASK_PREFIX}{self.name}/{number}", number)
        return page

    def load_page(self, number: int, value: PageValue, stamp: int) -> None:
        """Restore a page from its checkpoint."""
        page = self.page_of(number * constants.TASKS_PER_PAGE)
        page.next_try, page.stamp, page.durable_lsn = value.n, stamp, value.u
        for name in value.f:
            self.failures_by_machine.setdefault(name, 1)
        for low, high in value.d:
            for index in range(low, high + 1):
                self._mark_done(page, index)
        for index, (try_number, machine) in value.l.items():
            self._add_live(page, Attempt(self, index, try_number, machine, 0))

    def replay(self, lsn: int, ops: list[tuple[int, int, str | int]]) -> set[int]:
        """Apply a log entry's operations; returns the numbers of the pages that they changed."""
        changed_pages = set()
        for index, number, event in ops:
            page = self.page_of(index)
            if lsn <= page.durable_lsn:
                continue
            changed_pages.add(page_number(index))
            if isinstance(event, str):
                page.next_try = max(page.next_try, number + 1)
                self._add_live(page, Attempt(self, index, number, event, 0))
                continue
            attempt = page.live.get(index)
            if attempt is not None and attempt.number == number:
                if event == FAILED:
                    self.record_failure(attempt.index, attempt.machine)
                self._remove_live(page, attempt, event == DONE)
        return changed_pages

    def checkpoint(self, number: int, upto: int) -> PageValue:
        """Return a page's checkpoint, which replaces the log up to the entry `upto`."""
        failed = (
            []
            if self.has_succeeded
            else sorted(self.failures_by_machine)[: constants.MAX_RECORDED_FAILED_MACHINES]
        )
        return self.pages[number].value(upto, failed)

    def split_checkpoint(self, number: int, upto: int, value_b: int) -> tuple[PageValue, list[Op]]:
        """Return a checkpoint that fits `value_b` bytes, and operations to append to the log again.

        The checkpoint has all done tasks and as many live attempts as fit. The other attempts
        have to follow in the log, after the entry up to which the page replaces it.
        """
        value = self.checkpoint(number, upto)
        live, value.l = value.l, {}
        room = value_b - len(encode(value))
        ops: list[Op] = []
        for index, (try_number, machine) in live.items():
            room -= len(machine) + constants.ATTEMPT_ENTRY_BYTES // 2
            if room > 0:
                value.l[index] = (try_number, machine)
            else:
                ops.append(Op(self.name, index, try_number, machine))
        return value, ops

    def _add_live(self, page: Page, attempt: Attempt) -> None:
        page.live[attempt.index] = self.live[attempt.index] = attempt
        self.waiting.remove(attempt.index)

    def _mark_done(self, page: Page, index: int) -> None:
        page.done.add(index)
        self.waiting.remove(index)
        self.done += 1

    def _remove_live(self, page: Page, attempt: Attempt, done: bool) -> None:
        del page.live[attempt.index], self.live[attempt.index]
        if done:
            self._mark_done(page, attempt.index)
        else:
            self.waiting.add(attempt.index)

    def next_try_number(self) -> int:
        """Return a try number that no task of the job has had; a gang's tasks share one."""
        return max((page.next_try for page in self.pages.values()), default=1)

    def place(self, index: int, machine: str, number: int | None = None) -> Attempt:
        """Create an attempt on a machine; it may be launched once the log durably holds it."""
        page = self.page_of(index)
        if number is None:
            number = page.next_try
        op = self.oplog.add(Op(self.name, index, number, machine))
        attempt = Attempt(self, index, number, machine, op)
        page.next_try = number + 1
        self._add_live(page, attempt)
        return attempt

    def finish(self, attempt: Attempt, done: bool, failed: bool = False) -> None:
        """End an attempt that is over or surely gone; its task is done or waits again."""
        page = self.page_of(attempt.index)
        if page.live.get(attempt.index) is not attempt:
            return
        done = done and self.spec.shape != "service"
        end = DONE if done else FAILED if failed else INTERRUPTED
        self.oplog.add(Op(self.name, attempt.index, attempt.number, end))
        if failed:
            self.record_failure(attempt.index, attempt.machine)
        self._remove_live(page, attempt, done)

    def record_failure(self, index: int, machine: str) -> None:
        """Count a failed attempt of a task on a machine."""
        if self.is_faulty and not self.live.keys() - {index}:
            self.failed_probes += 1
        self.failures_by_machine[machine] = self.failures_by_machine.get(machine, 0) + 1

    @property
    def has_succeeded(self) -> bool:
        """Whether a task was done or a replica ran long; failures are then blamed on machines."""
        return self.done > 0 or self.has_run_long

    @property
    def is_faulty(self) -> bool:
        """Whether it failed on several machines and never succeeded; starts are limited."""
        return (
            not self.has_succeeded
            and len(self.failures_by_machine) >= constants.MAX_FAILED_MACHINES_PER_JOB
        )

    @property
    def startable_count(self) -> int:
        """How many tasks may be started now; of a faulty job at most `probe_limit` run at once.

        The probe of a faulty gang is the whole gang, since one of its tasks alone never starts.
        """
        if not self.is_faulty or (self.spec.shape == "gang" and not self.live):
            return len(self.waiting)
        trials = 0 if self.spec.shape == "gang" else self.probe_limit
        return min(max(0, trials - len(self.live)), len(self.waiting))

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done; never for a service or an aborted job."""
        return not self.aborted and self.spec.shape != "service" and self.done == self.spec.tasks

    @property
    def is_over(self) -> bool:
        """Whether only the final record is left to be written."""
        return self.is_complete or (self.aborted and not self.live)

    def status(self) -> dict[str, Any]:
        """Return the status that users get while the job is unfinished."""
        running = sum(1 for a in self.live.values() if a.state in ("running", "saving"))
        state = "withdrawn" if self.aborted else "running" if running else "pending"
        return {"nameId": self.name, "status": state, "done": self.done, "running": running}
