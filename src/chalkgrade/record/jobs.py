"""Jobs and their durable records.

Keys in the state service:
- cg/in/N: several jobs that are not over (their submissions, and whether they were aborted);
- cg/job/ID: one such job, accepted by a node that could not reach the leader;
- cg/log/N: what happened to tasks lately, of all jobs (`oplog`);
- cg/task/ID/PAGE: a checkpoint of some of its tasks: what is done, what may be running;
- cg/need/ID/MARK-N: a part of a list of jobs waited for that is too long for the record;
- cg/end/ID: the final state, kept for ever.
A job moves from the first two to the last in one commit, so at every revision
an accepted job is found among the first two or under the last.
"""

import heapq
import re
from collections.abc import Iterable, Iterator
from typing import Any, Literal

import msgspec

from chalkgrade import constants
from chalkgrade.outside import encode
from chalkgrade.record.oplog import DONE, FAILED, INTERRUPTED, Op, OpLog

BATCH_PREFIX = "cg/in/"
JOB_PREFIX = "cg/job/"
TASK_PREFIX = "cg/task/"
END_PREFIX = "cg/end/"
DEPENDENCIES_PREFIX = "cg/need/"
JOB_ID_PATTERN = re.compile(r"[A-Za-z][A-Za-z0-9_.]*-[0-9]{1,20}\Z")
URGENCY_RANKS = {"prod": 3, "high": 2, "standard": 1, "best_effort": 0}
TASKS_MAX = 100_000


class SubmissionError(Exception):
    """A submission that is malformed (400)."""


class SubmissionTooLongError(SubmissionError):
    """One that can't be kept; under higher limits it may have been accepted once."""


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A submission, in the platform's field names."""

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
    licences: dict[str, int] | None = None  # pool -> seats a task; where licences are on
    waitsOn: list[str] | None = None  # jobs that are done before any of its tasks starts

    @property
    def urgency_rank(self) -> int:
        return URGENCY_RANKS[self.urgency]

    @property
    def resources(self) -> tuple[float, float, float]:
        """What one task takes: CPUs, GPUs, memory."""
        return self.vcpus, self.gpus, self.memoryGb

    @property
    def machine_constraints(self) -> tuple[object, ...]:
        """What decides which machines its tasks may have: alike for jobs that have it alike."""
        return self.resources, tuple(self.hosttypes or ()), self.site, self.standby


def parse_submission(body: bytes, value_b: int) -> JobSpec:
    """Decode and check a submission; Invalid names what is wrong.

    `value_b`: bytes that its record may take; a list of jobs to wait for may be longer.
    """
    try:
        spec = msgspec.json.decode(body, type=JobSpec)
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
        # The same name twice counts once; none is as if the field were not there.
        spec = msgspec.structs.replace(spec, waitsOn=list(dict.fromkeys(spec.waitsOn)) or None)
    if len(encode(without_dependencies(spec))) > value_b - constants.RECORD_SPARE_B:
        raise SubmissionTooLongError("the description is too long to be kept")
    return spec


def is_job_id(name: str) -> bool:
    """Whether a job could be called so."""
    return len(name) <= constants.ID_MAX and JOB_ID_PATTERN.match(name) is not None


def without_dependencies(spec: JobSpec) -> JobSpec:
    """A submission without the jobs that it waits for."""
    return spec if spec.waitsOn is None else msgspec.structs.replace(spec, waitsOn=None)


class JobValue(msgspec.Struct, omit_defaults=True):
    """The value under cg/job/, and one of those under cg/in/."""

    spec: JobSpec
    at: float  # wall time of the acceptance
    aborted: bool = False
    # Where its list of jobs to wait for is, if that is kept apart: a mark, and how many parts.
    apart: tuple[str, int] | None = None


class BatchValue(msgspec.Struct):
    """The value under cg/in/."""

    jobs: list[JobValue]


class EndValue(msgspec.Struct):
    status: Literal["done", "withdrawn"]
    tasks: int = 0
    at: float = 0.0  # wall time of the end, from which those that waited for it count


class PageValue(msgspec.Struct):
    """The value under cg/task/: next try, ranges of done tasks, live attempts.

    It holds all that the log said up to the entry `u`.
    """

    n: int = 1
    d: list[tuple[int, int]] = []
    l: dict[int, tuple[int, str]] = {}  # noqa: E741 - one letter: it is stored per page
    u: int = 0
    f: list[str] = []  # machines that its tasks failed on, while nothing of the job is done


class Attempt:
    """One try of one task on one machine, as long as it may be there."""

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
        self.job = job
        self.index = index
        self.number = number
        self.machine = machine
        self.op_number = op  # the operation of the log that makes it durable
        self.launch_report: tuple[int, int] | None = None  # report answered with its launch
        self.state = ""  # as last reported; "" while it was never seen
        self.kill_requested_at: float | None = None  # since when we want it stopped
        self.kill_sent = False  # an order to stop it may have been executed
        self.running_since = 0.0  # when it was first seen running
        self.placed_at = 0.0  # when it was placed; 0: under an earlier leader
        self.is_starvation_guarded = (
            False  # started by the guard against starvation: urgency does not stop it
        )

    @property
    def name(self) -> str:
        return f"{self.job.spec.nameId}/{self.index}"

    @property
    def label(self) -> str:
        """Its name in logs: task and try."""
        return f"{self.name}#{self.number}"

    @property
    def is_durable(self) -> bool:
        return self.job.oplog.durable_count >= self.op_number


class Page:
    """A slice of a job's tasks: the unit of checkpoints."""

    __slots__ = ("key", "next_try", "done", "live", "stamp", "durable_lsn")

    def __init__(self, key: str) -> None:
        self.key = key
        self.next_try = 1
        self.done: set[int] = set()
        self.live: dict[int, Attempt] = {}
        self.stamp = 0
        self.durable_lsn = 0  # the entry of the log up to which the durable record goes

    def value(self, upto: int, failed: list[str]) -> PageValue:
        """Its checkpoint; `failed`: machines that the job failed on."""
        return PageValue(
            self.next_try,
            _ranges(self.done),
            {index: (a.number, a.machine) for index, a in self.live.items()},
            upto,
            failed,
        )


def _ranges(numbers: Iterable[int]) -> list[tuple[int, int]]:
    out: list[tuple[int, int]] = []
    for number in sorted(numbers):
        if out and out[-1][1] == number - 1:
            out[-1] = (out[-1][0], number)
        else:
            out.append((number, number))
    return out


class WaitingTasks:
    """The tasks of a job without an attempt, the lowest number first.

    An interrupted task comes back before those that were never started. Each
    step costs no more than the logarithm of the job's size.
    """

    def __init__(self, count: int) -> None:
        self._heap = list(range(count))  # may hold numbers that do not wait any more
        self._members = set(self._heap)

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, index: int) -> bool:
        return index in self._members

    def __iter__(self) -> Iterator[int]:
        return iter(sorted(self._members))

    def add(self, index: int) -> None:
        if index not in self._members:
            self._members.add(index)
            heapq.heappush(self._heap, index)

    def remove(self, index: int) -> bool:
        """Whether it was waiting."""
        if index not in self._members:
            return False
        self._members.remove(index)
        return True

    def lowest(self, skip: set[int]) -> int | None:
        """The lowest number that waits and is not to be skipped."""
        passed = []
        found = None
        while self._heap:
            index = self._heap[0]
            if index not in self._members:
                heapq.heappop(self._heap)
            elif index in skip:
                passed.append(heapq.heappop(self._heap))
            else:
                found = index
                break
        for index in passed:
            heapq.heappush(self._heap, index)
        return found


class Job:
    """A job that is not over, in the leader's memory."""

    def __init__(self, value: JobValue, stamp: int, log: OpLog, batch: Any = None) -> None:
        self.batch = batch  # where its record is, with others' (`book.Batch`), or None
        self.submitted_spec = value.spec  # as submitted
        self.spec = value.spec  # as it is treated: of the urgency of those that need it, too
        self.stored_dependencies = value.apart
        self.queue = f"{value.spec.owner}/{value.spec.jobclass}"  # a team's jobs of one class
        self.oplog = log
        self.accepted_at = value.at
        self.eligible_at = value.at  # wall time from which it may run: its waits count from then
        self.due_times: list[float] | None = None  # times by which others need it to be over
        self.in_pipeline = (
            value.spec.waitsOn is not None or value.apart is not None
        )  # in a pipeline
        self.is_blocked = False  # it waits for other jobs: it has no task that waits for room
        self.aborted = value.aborted  # durable, so users may hear it
        self.aborting = False  # being made durable: nothing may be launched any more
        self.reported_cancelled = (
            False  # another controller has told of its end, out of this leader's sight
        )
        self.stamp = stamp  # revision of its own record; 0: it has none
        self.pages: dict[int, Page] = {}
        self.waiting = WaitingTasks(self.spec.tasks)
        self.done = 0
        self.live: dict[int, Attempt] = {}
        self.failures_by_machine: dict[str, int] = {}  # machine -> failed attempts there
        self.failed_probes = 0  # failed attempts since the job is held for faulty
        self.probe_limit = 1  # probes at once: twice as many as have run for long
        self.has_run_long = False  # a replica of it ran for long: nothing of a service is ever done
        self.retry_at = 0.0
        self.image_affinity_until: float | None = (
            None  # how long it keeps to machines with its image
        )

    @property
    def name(self) -> str:
        return self.spec.nameId

    @property
    def cancelled(self) -> bool:
        """Whether its user asked for its end: nothing of it is of use any more."""
        return self.aborted or self.aborting or self.reported_cancelled

    @property
    def round_queue(self) -> str:
        """Its queue in a round.

        Work that is as urgent as what needs it stands by itself: one such job must not lift
        all of its queue above others.
        """
        lifted = self.spec.urgency_rank != self.submitted_spec.urgency_rank
        return f"{self.queue}#{self.spec.urgency}" if lifted else self.queue

    @property
    def value(self) -> JobValue:
        """Its record."""
        return JobValue(
            self.submitted_spec, self.accepted_at, self.aborted, self.stored_dependencies
        )

    def block(self) -> None:
        """It waits for other jobs: until `release` nothing of it waits for room."""
        self.is_blocked, self.waiting = True, WaitingTasks(0)

    def unblock(self, at: float) -> None:
        """All that it waited for is durably done, the last of it at wall time `at`."""
        self.is_blocked, self.eligible_at = False, max(self.accepted_at, at)
        self.waiting = WaitingTasks(self.spec.tasks)
        for page in self.pages.values():
            for index in (*page.done, *page.live):
                self.waiting.remove(index)

    def page_of(self, index: int) -> Page:
        number = index // constants.PAGE_TASKS
        page = self.pages.get(number)
        if page is None:
            page = self.pages[number] = Page(f"{TASK_PREFIX}{self.name}/{number}")
        return page

    def load_page(self, number: int, value: PageValue, stamp: int) -> None:
        """Take over a checkpoint."""
        page = self.page_of(number * constants.PAGE_TASKS)
        page.next_try, page.stamp, page.durable_lsn = value.n, stamp, value.u
        for name in value.f:
            self.failures_by_machine.setdefault(name, 1)
        for low, high in value.d:
            for index in range(low, high + 1):
                self._mark_done(page, index)
        for index, (try_number, machine) in value.l.items():
            self._add_live(page, Attempt(self, index, try_number, machine, 0))

    def replay(self, lsn: int, ops: list[tuple[int, int, str | int]]) -> set[int]:
        """Take over what the log says; the pages that it tells something new."""
        told = set()
        for index, number, what in ops:
            page = self.page_of(index)
            if lsn <= page.durable_lsn:
                continue
            told.add(index // constants.PAGE_TASKS)
            if isinstance(what, str):
                page.next_try = max(page.next_try, number + 1)
                self._add_live(page, Attempt(self, index, number, what, 0))
                continue
            attempt = page.live.get(index)
            if attempt is not None and attempt.number == number:
                if what == FAILED:
                    self.record_failure(attempt.index, attempt.machine)
                self._remove_live(page, attempt, what == DONE)
        return told

    def checkpoint(self, number: int, upto: int) -> PageValue:
        """A page as it is written; it stands for the log up to that entry."""
        failed = (
            [] if self.has_succeeded else sorted(self.failures_by_machine)[: constants.FAILED_KEPT]
        )
        return self.pages[number].value(upto, failed)

    def split_checkpoint(self, number: int, upto: int, value_b: int) -> tuple[PageValue, list[Op]]:
        """A checkpoint for which a value is too small, and what is to be told to the log again.

        It keeps what is done and as many live attempts as fit; the others have to follow in
        the log, behind the entry that the page stands for.
        """
        value = self.checkpoint(number, upto)
        live, value.l = value.l, {}
        room = value_b - len(encode(value))
        ops: list[Op] = []
        for index, (try_number, machine) in live.items():
            room -= len(machine) + constants.PAGE_ENTRY_B // 2
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
        """A try number that no task of the job has had: a gang's tasks share one."""
        return max((page.next_try for page in self.pages.values()), default=1)

    def place(self, index: int, machine: str, number: int | None = None) -> Attempt:
        """Decide an attempt; it may be launched once the log holds it."""
        page = self.page_of(index)
        if number is None:
            number = page.next_try
        op = self.oplog.add(Op(self.name, index, number, machine))
        attempt = Attempt(self, index, number, machine, op)
        page.next_try = number + 1
        self._add_live(page, attempt)
        return attempt

    def finish(self, attempt: Attempt, done: bool, failed: bool = False) -> None:
        """An attempt is over (or surely gone); its task is done or waits again."""
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
        """An attempt at one of its tasks failed there."""
        if self.is_faulty and not self.live.keys() - {index}:
            self.failed_probes += 1
        self.failures_by_machine[machine] = self.failures_by_machine.get(machine, 0) + 1

    @property
    def has_succeeded(self) -> bool:
        """Some task was completed, or a replica ran for long: what fails is the machine's fault."""
        return self.done > 0 or self.has_run_long

    @property
    def is_faulty(self) -> bool:
        """It failed on several machines and never succeeded: held for a mistake of its own."""
        return not self.has_succeeded and len(self.failures_by_machine) >= constants.FAULTY_MACHINES

    @property
    def startable_count(self) -> int:
        """How many tasks may be started now: of a faulty job one as a probe, or `trials` at once.

        A gang's probe is the whole gang: one of its tasks alone never starts, and would wait.
        """
        if not self.is_faulty or (self.spec.shape == "gang" and not self.live):
            return len(self.waiting)
        trials = 0 if self.spec.shape == "gang" else self.probe_limit
        return min(max(0, trials - len(self.live)), len(self.waiting))

    @property
    def is_complete(self) -> bool:
        return not self.aborted and self.spec.shape != "service" and self.done == self.spec.tasks

    @property
    def is_over(self) -> bool:
        """Nothing is left to do but the final record."""
        return self.is_complete or (self.aborted and not self.live)

    def status(self) -> dict[str, Any]:
        """What a user is told while the job is in the leader's book."""
        running = sum(1 for a in self.live.values() if a.state in ("running", "saving"))
        state = "withdrawn" if self.aborted else "running" if running else "pending"
        return {"nameId": self.name, "status": state, "done": self.done, "running": running}
