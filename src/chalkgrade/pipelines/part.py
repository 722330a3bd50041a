"""The component of a term that blocks, releases and cancels jobs with dependencies."""

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
from chalkgrade.pipelines.slack import propagate_requirements
from chalkgrade.record.jobs import END_PREFIX, EndValue, Job
from chalkgrade.record.registry import JobRegistry
from chalkgrade.state.client import NotExecuted, Rejected

log = logging.getLogger("chalkgrade.pipelines")

REASON_DEPENDENCIES = "waiting for other jobs"


class _DependencyConstraint(StartConstraint):
    """Starts no blocked job, and updates inherited deadlines and urgency before each round."""

    def __init__(self, part: "Pipelines") -> None:
        self._part = part

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Updates inherited deadlines and urgency."""
        self._part.update_requirements()

    def is_ready(self, job: Job) -> bool:
        """Excludes blocked jobs."""
        return not job.is_blocked

    def max_demand(self, job: Job, count: int) -> int:
        """Returns no demand for blocked jobs, so that no machine is rented for them."""
        return 0 if job.is_blocked else count

    def refusal_reason(self, job: Job) -> str:
        """Names the reason of blocked jobs."""
        return REASON_DEPENDENCIES if job.is_blocked else ""


class Pipelines(Component):
    """The dependency graph of one term, with its release and cancellation of jobs."""

    def __init__(
        self,
        registry: JobRegistry,
        on_job_ready: Callable[[Job, bool], None],
        due_times: Callable[[Job], list[float]],
        expected_makespan_s: Callable[[Job], float],
    ) -> None:
        """Sets the callbacks of the registry to this component.

        `on_job_ready` is called with each released job, as with a new one, and with whether it
        was submitted in this term. For `due_times` and `expected_makespan_s` see
        `slack.propagate_requirements`.
        """
        self.registry = registry
        self.clock = registry.clock
        self.on_job_ready = on_job_ready
        self.due_times = due_times
        self.expected_makespan_s = expected_makespan_s
        self.graph = Graph(registry.jobs, registry.over, self._on_released, self._on_cancelled)
        self.start_constraints = [_DependencyConstraint(self)]
        self.decision_loops = [self._resolve_unknown_jobs]
        self.started = False
        self.submitted_this_term: set[str] = set()  # blocked jobs submitted in this term
        self.requirements_changed = False  # inherited deadlines and urgency are stale
        self.lookup_requested = asyncio.Event()  # the graph has unresolved jobs
        self.event_counts: Counter[str] = Counter()
        registry.on_job_ended = self._on_job_ended
        registry.on_job_aborted = self._on_job_aborted

    # -- events -----------------------------------------------------------------

    def start(self) -> None:
        """Adds the jobs of the record to the graph."""
        self.started = True
        for job in list(self.registry.jobs.values()):
            self._add_to_graph(job)

    def on_job(self, job: Job, fresh: bool) -> None:
        """Adds a job; `fresh` if it was submitted in this term."""
        if fresh and job.is_blocked:
            self.submitted_this_term.add(job.name)
            names = job.submitted_spec.waitsOn or []
            shown = ", ".join(names[: constants.MAX_LOGGED_JOBS])
            more = f" and {len(names) - constants.MAX_LOGGED_JOBS} more"
            fields = decision_fields(self.registry.context.token, job.name)
            more = more if len(names) > constants.MAX_LOGGED_JOBS else ""
            log.info("job blocked: %s waits for %s%s", job.name, shown, more, extra=fields)
        if self.started:
            self._add_to_graph(job)

    def _add_to_graph(self, job: Job) -> None:
        self.graph.add_job(job, self.clock.wall())
        self.requirements_changed = self.requirements_changed or job.in_pipeline
        if self.graph.unresolved:
            self.lookup_requested.set()

    def _on_released(self, job: Job) -> None:
        self.event_counts["released"] += 1
        fields = decision_fields(self.registry.context.token, job.name)
        self.requirements_changed = True
        self.update_requirements()
        text = "nobody with a deadline needs it"
        if job.due_times:
            left = job.due_times[0] - self.clock.wall() - self.expected_makespan_s(job)
            text = f"needed with {left:.0f} s of slack, as {job.spec.urgency}"
        log.info(
            "job released: %s, all its dependencies are done; %s", job.name, text, extra=fields
        )
        self.on_job_ready(job, job.name in self.submitted_this_term)
        self.submitted_this_term.discard(job.name)

    def _on_cancelled(self, job: Job) -> None:
        self.event_counts["cancelled"] += 1
        fields = decision_fields(self.registry.context.token, job.name)
        log.info("job cancelled with a predecessor: %s", job.name, extra=fields)
        self.requirements_changed = True
        self.submitted_this_term.discard(job.name)
        self.registry.update_ending(job)

    def _on_job_ended(self, job: Job, status: str) -> None:
        self.graph.remove_ended_job(job)
        self._dependency_ended(job.name, status, self.clock.wall())

    def _on_job_aborted(self, job: Job) -> None:
        self.graph.job_aborted(job)
        self.requirements_changed = True

    def _dependency_ended(self, name: str, status: str, at: float) -> None:
        self.requirements_changed = self.requirements_changed or name in self.graph.successors
        self.graph.job_ended(name, status, at)

    # -- queries --------------------------------------------------------------

    def update_requirements(self) -> None:
        """Recomputes inherited deadlines and urgency if anything has changed."""
        if self.requirements_changed:
            self.requirements_changed = False
            propagate_requirements(self.graph, self.due_times, self.expected_makespan_s)

    def is_cancellation_known(self, job: Job) -> bool:
        """Tells whether it is certain if a job is cancelled, so that its status may be reported."""
        return not job.is_blocked or job.aborted or self.graph.is_cancellation_known(job)

    # -- jobs that ended before this term -----------------------------------------------

    async def _resolve_unknown_jobs(self) -> None:
        """Reads the final status of named jobs without a record here; jobs that name them wait."""
        pause = constants.STATE_RETRY_INTERVAL_S
        while True:
            # Jobs that stay unresolved are read again after a pause, newly named ones at once.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause if self.graph.unresolved else None):
                    await self.lookup_requested.wait()
            self.lookup_requested.clear()
            names = list(self.graph.unresolved)
            for begin in range(0, len(names), constants.MAX_JOB_END_READS):
                part = names[begin : begin + constants.MAX_JOB_END_READS]
                await asyncio.gather(*(self._read_end(name) for name in part))
            # Still unresolved: not readable, or accepted by a node and not yet seen by the
            # leader's watch.
            unread = bool(self.graph.unresolved)
            pause = (
                min(2 * pause, constants.MAX_DEPENDENCY_LOOKUP_PAUSE_S)
                if unread
                else constants.STATE_RETRY_INTERVAL_S
            )

    async def _read_end(self, name: str) -> None:
        try:
            row = await self.registry.ledger.get(END_PREFIX + name)
            if row is not None:
                end = msgspec.json.decode(row.v, type=EndValue)
                self.registry.remember_final_state(name, end.status, end.tasks)
                self._dependency_ended(name, end.status, end.at)
        except (NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.debug("final status not read: job %s: %s", name, error)

    def samples(self) -> Iterable[Sample]:
        """Yields the metrics of blocked, released and cancelled jobs, and the least slack."""
        jobs = self.registry.jobs.values()
        blocked = Counter(job.spec.jobclass for job in jobs if job.is_blocked)
        yield labelled_sample(
            "jobs_held", "Jobs that wait for others", "class", blocked, counter=False
        )
        text = "Named jobs whose end is being read"
        yield gauge("jobs_looked_up", text, len(self.graph.unresolved))
        text = "Jobs let go, or cancelled with others"
        yield labelled_sample("pipeline_jobs", text, "what", self.event_counts)
        now = self.clock.wall()
        slack = min((job.due_times[0] - now for job in jobs if job.due_times), default=0.0)
        yield gauge("pipeline_slack", "Least time left for a job that others need, s", slack)
