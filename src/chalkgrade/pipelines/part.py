"""Pipelines as a part of a term: holds jobs that wait, lets them go, cancels them."""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from chalkgrade import constants
from chalkgrade.extensions.components import Component, Sample, gauge, labelled_sample
from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.logs import decision_fields
from chalkgrade.outside import NoAnswer
from chalkgrade.pipelines.graph import Graph
from chalkgrade.pipelines.slack import inherit
from chalkgrade.record.jobs import END_PREFIX, EndValue, Job
from chalkgrade.record.registry import JobRegistry
from chalkgrade.state.client import NotExecuted, Rejected

log = logging.getLogger("chalkgrade.pipelines")

WAITS = "waiting for other jobs"


class _Ready(StartConstraint):
    """Asked by every round: nothing starts that waits for others, and all know how urgent it is."""

    def __init__(self, part: "Pipelines") -> None:
        self._part = part

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self._part.rank()

    def is_ready(self, job: Job) -> bool:
        return not job.is_blocked

    def max_demand(self, job: Job, count: int) -> int:
        return 0 if job.is_blocked else count

    def refusal_reason(self, job: Job) -> str:
        return WAITS if job.is_blocked else ""


class Pipelines(Component):
    """The graph of one term, and what follows from it."""

    def __init__(
        self,
        book: JobRegistry,
        came: Callable[[Job, bool], None],
        dues: Callable[[Job], list[float]],
        takes: Callable[[Job], float],
    ) -> None:
        """`came`: told of jobs that may run now, as of new ones; `dues`, `takes`: see `inherit`."""
        self.book = book
        self.clock = book.clock
        self.came = came
        self.dues = dues
        self.takes = takes
        self.graph = Graph(book.jobs, book.over, self._released, self._cancelled)
        self.start_constraints = [_Ready(self)]
        self.decision_loops = [self._look_up]
        self.started = False
        self.fresh: set[str] = set()  # submitted under this token, and held
        self.changed = False  # what jobs inherit is to be worked out anew
        self.wanted = asyncio.Event()  # something is to be looked up
        self.counts: Counter[str] = Counter()
        book.on_job_ended = self._over
        book.on_job_aborted = self._aborted

    # -- what happens -----------------------------------------------------------------

    def start(self) -> None:
        self.started = True
        for job in list(self.book.jobs.values()):
            self._enter(job)

    def on_job(self, job: Job, fresh: bool) -> None:
        if fresh and job.is_blocked:
            self.fresh.add(job.name)
            names = job.submitted_spec.waitsOn or []
            shown = ", ".join(names[: constants.MAX_LOGGED_JOBS])
            more = f" and {len(names) - constants.MAX_LOGGED_JOBS} more"
            what = decision_fields(self.book.office.token, job.name)
            more = more if len(names) > constants.MAX_LOGGED_JOBS else ""
            log.info("job %s: waits for %s%s", job.name, shown, more, extra=what)
        if self.started:
            self._enter(job)

    def _enter(self, job: Job) -> None:
        self.graph.enter(job, self.clock.wall())
        self.changed = self.changed or job.in_pipeline
        if self.graph.unknown:
            self.wanted.set()

    def _released(self, job: Job) -> None:
        self.counts["released"] += 1
        what = decision_fields(self.book.office.token, job.name)
        self.changed = True
        self.rank()
        text = "nobody with a deadline needs it"
        if job.due_times:
            left = job.due_times[0] - self.clock.wall() - self.takes(job)
            text = f"needed with {left:.0f} s of slack, as {job.spec.urgency}"
        log.info("job %s: all that it waited for is done; %s", job.name, text, extra=what)
        self.came(job, job.name in self.fresh)
        self.fresh.discard(job.name)

    def _cancelled(self, job: Job) -> None:
        self.counts["cancelled"] += 1
        what = decision_fields(self.book.office.token, job.name)
        log.info("job %s: cancelled with a job before it", job.name, extra=what)
        self.changed = True
        self.fresh.discard(job.name)
        self.book.update_ending(job)

    def _over(self, job: Job, status: str) -> None:
        self.graph.left(job)
        self._settle(job.name, status, self.clock.wall())

    def _aborted(self, job: Job) -> None:
        self.graph.aborted(job)
        self.changed = True

    def _settle(self, name: str, status: str, at: float) -> None:
        self.changed = self.changed or name in self.graph.heirs
        self.graph.settle(name, status, at)

    # -- what others ask --------------------------------------------------------------

    def rank(self) -> None:
        """Work out what jobs inherit, if anything has changed."""
        if self.changed:
            self.changed = False
            inherit(self.graph, self.dues, self.takes)

    def sure(self, job: Job) -> bool:
        """Whether a user may be told that a job that waits is not cancelled."""
        return not job.is_blocked or job.aborted or self.graph.sure(job)

    # -- jobs that ended before this term -----------------------------------------------

    async def _look_up(self) -> None:
        """Read how jobs ended that are named and on no record here. Until then who names waits."""
        pause = constants.STATE_RETRY_INTERVAL_S
        while True:
            # What is met again waits between two looks; what is named just now does not.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause if self.graph.unknown else None):
                    await self.wanted.wait()
            self.wanted.clear()
            names = list(self.graph.unknown)
            for begin in range(0, len(names), constants.MAX_JOB_END_READS):
                part = names[begin : begin + constants.MAX_JOB_END_READS]
                await asyncio.gather(*(self._read(name) for name in part))
            # Left: accepted by a node that the leader's watch has yet to tell of, or unreadable.
            unread = bool(self.graph.unknown)
            pause = (
                min(2 * pause, constants.MAX_DEPENDENCY_LOOKUP_PAUSE_S)
                if unread
                else constants.STATE_RETRY_INTERVAL_S
            )

    async def _read(self, name: str) -> None:
        try:
            row = await self.book.ledger.get(END_PREFIX + name)
            if row is not None:
                end = msgspec.json.decode(row.v, type=EndValue)
                self.book.remember_final_state(name, end.status, end.tasks)
                self._settle(name, end.status, end.at)
        except (NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.debug("end of %s: %s", name, error)

    def samples(self) -> Iterable[Sample]:
        jobs = self.book.jobs.values()
        held = Counter(job.spec.jobclass for job in jobs if job.is_blocked)
        yield labelled_sample(
            "jobs_held", "Jobs that wait for others", "class", held, counter=False
        )
        text = "Named jobs whose end is being read"
        yield gauge("jobs_looked_up", text, len(self.graph.unknown))
        text = "Jobs let go, or cancelled with others"
        yield labelled_sample("pipeline_jobs", text, "what", self.counts)
        now = self.clock.wall()
        slack = min((job.due_times[0] - now for job in jobs if job.due_times), default=0.0)
        yield gauge("pipeline_slack", "Least time left for a job that others need, s", slack)
