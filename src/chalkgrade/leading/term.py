"""One term of leadership: the job record, the fleet and the components that work on both.

A term lasts as long as one fencing token. When leadership is lost the term is discarded;
the next leader builds a new one from the state service and from workers' reports.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.extensions import subsystems
from chalkgrade.extensions.components import Component, Loop, Sample, gauge, labelled_sample
from chalkgrade.leading.failures import FAILURE_CAUSES, FailureTracker
from chalkgrade.leading.hints import HintExchange, apply_hints, gather_hints
from chalkgrade.leading.reports import ReportHandler
from chalkgrade.leading.scheduling import RoundScheduler
from chalkgrade.logs import decision_fields
from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet, Machine, Report
from chalkgrade.outside import Http, NoAnswer, Signal
from chalkgrade.pipelines.part import Pipelines
from chalkgrade.record import dependency_lists
from chalkgrade.record.in_flight import JobStatusReport
from chalkgrade.record.jobs import JOB_PREFIX, Attempt, Job, JobSpec, JobValue
from chalkgrade.record.loading import RecordLoader
from chalkgrade.record.registry import JobRegistry
from chalkgrade.record.writer import Writer
from chalkgrade.renting.cloud import CloudClient
from chalkgrade.renting.renter import Renter
from chalkgrade.renting.subsystem_context import SubsystemContext
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.queues import Queues
from chalkgrade.sharing.term_context import TermContext
from chalkgrade.state.client import Conflict, NotExecuted
from chalkgrade.state.leader_context import LeaderContext

log = logging.getLogger("chalkgrade.term")


class Unavailable(Exception):
    """The leader can't answer at present; the user should retry."""


class Term:
    """The state and the tasks of a leader under one fencing token."""

    def __init__(
        self,
        context: LeaderContext,
        cloud: CloudClient,
        flavors: dict[str, Flavor],
        remember_final_state: Callable[[str, str, int], object],
        http: Http,
        hint_exchange: HintExchange,
    ) -> None:
        self.context = context
        self.leadership = context.leadership
        self.clock = context.clock
        workers = context.settings.cluster.workers
        self.fleet = Fleet(context.clock, context.token, workers.lease_s, workers.report_s)
        self.queues = Queues(
            context.settings, context.clock, flavors, context.ledger.limits.max_value_bytes
        )
        self.components: list[Component] = []
        self.registry = JobRegistry(context, remember_final_state, self._on_job)
        self.jobs = self.registry.jobs
        self.hint_exchange = hint_exchange
        self.term_context = term_context = TermContext(
            context,
            self.registry,
            self.fleet,
            self.queues,
            flavors,
            self.is_serving,
            JobIsolation(context.clock, context.token),
        )
        self.renter = Renter(term_context, cloud, self._on_attempt_lost, self._max_demand)
        self.renter.upcoming_jobs = lambda: self.pipelines.graph.ready_within(
            self.queues.remaining_makespan_s, constants.UPCOMING_WORK_HORIZON_S
        )
        self.scheduling = RoundScheduler(
            term_context, self._expire_leases, self.renter.refused_pools
        )
        self.reports = ReportHandler(
            term_context, self.scheduling, self._on_report_accepted, self._on_attempt_ended
        )
        self.ready = False
        self.record_loaded = Signal()  # fires once the record is read and reports are accepted
        self.tasks: list[asyncio.Task[None]] = []
        self.ended_by_cause: dict[str, int] = defaultdict(int)  # ended attempts by cause
        self.reported_cancelled: set[str] = set()  # names; see `apply_reported_cancellations`
        self.writer = Writer(context, self.registry)
        self.pipelines = Pipelines(
            self.registry, self._on_job, self.queues.due_times, self.queues.expected_makespan_s
        )
        self.add_component(self.pipelines)
        self.add_component(FailureTracker(context.token, context.clock))
        self.add_component(self.scheduling)
        self.add_component(self.renter)
        subsystem_context = SubsystemContext(
            term_context, self.renter, self._max_demand, self._holds_scarce_resource, http
        )
        for component in subsystems.create_components(context.settings, subsystem_context):
            self.add_component(component)

    def add_component(self, component: Component) -> None:
        """Registers a component; must be called before the term starts."""
        self.components.append(component)
        self.registry.persisted_values += component.persisted_values
        self.scheduling.component_constraints += component.start_constraints

    # -- life cycle ---------------------------------------------------------------

    def start(self) -> None:
        """Starts loading the record; the loops start once it is loaded."""
        self.tasks.append(asyncio.create_task(self._supervise(self._run, True, lasting=False)))

    def stop(self) -> None:
        """Ends the term: cancels its tasks and stops its components."""
        self.ready = False
        for task in self.tasks:
            task.cancel()
        for component in self.components:
            component.stop()

    async def _run(self) -> None:
        while not self.ready:
            try:
                await self._load()
            except (NoAnswer, NotExecuted, msgspec.DecodeError) as error:
                log.warning("loading the record failed, retrying: %s", error)
                await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
        writing = [
            self.writer.run_main_lane,
            *[self.writer.run_admissions] * constants.ADMISSION_LANE_COUNT,
        ]
        self._spawn([self.registry.watch_submissions, self.writer.wait_for_stall, *writing], True)
        for component in self.components:
            self._spawn(component.durable_loops, True)
            self._spawn(component.decision_loops, False)
        if constants.HINTS_PEER_COUNT:
            self._spawn([self._publish_hints], False)

    async def _publish_hints(self) -> None:
        """Sends the term's hints periodically to the controllers that would lead next."""
        while True:
            await asyncio.sleep(constants.HINTS_INTERVAL_S)
            if self.is_serving():
                await self.hint_exchange.publish(gather_hints(self.term_context, self.renter))

    def _spawn(self, loops: Iterable[Loop], fatal: bool) -> None:
        self.tasks += [asyncio.create_task(self._supervise(loop, fatal)) for loop in loops]

    async def _supervise(self, loop: Loop, fatal: bool, lasting: bool = True) -> None:
        """Runs a loop and handles its failure, so that a leader never runs without one.

        A failed loop with durable state (`fatal`) ends the leadership, and its state is rebuilt
        under a new token. A failed decision loop is restarted instead, since the next leader
        would get the same input. A `CancelledError` that was not requested for this task is
        treated as a failure: taken for the end of the term, it would leave a leader that
        places work and writes nothing. A loop that is not `lasting` may return.
        """
        task = asyncio.current_task()
        while True:
            try:
                await loop()
                if not lasting:
                    return
            except asyncio.CancelledError:
                if task is None or task.cancelling():
                    raise
                log.exception("loop cancelled without a request")
            except Exception:
                name = getattr(loop, "__qualname__", str(loop))
                log.exception("loop failed: %s%s", name, "; stepping down" if fatal else "")
            if fatal:
                self.leadership.step_down()
                return
            await asyncio.sleep(constants.MAX_ROUND_INTERVAL_S)

    async def _load(self) -> None:
        self.fleet.machines.clear()
        for attempt in await RecordLoader(self.registry).load():
            if attempt.job.aborted:
                attempt.kill_requested_at = self.clock.now()
            self.fleet.attach_attempt(attempt)
        for hints in self.hint_exchange.usable_hints(self.context.token, self.clock.wall()):
            apply_hints(hints, self.term_context, self.renter)
        self.ready = True
        self.record_loaded.fire()
        live = sum(len(job.live) for job in self.jobs.values())
        log.info(
            "term started: token %d: %d jobs, %d live attempts",
            self.context.token,
            len(self.jobs),
            live,
        )
        for component in self.components:
            component.start()

    # -- requests of users --------------------------------------------------------

    def is_serving(self) -> bool:
        """Returns whether the record is loaded and the lease still proves leadership."""
        return self.ready and self.leadership.may_act()

    def job_account(self, name: str) -> JobStatusReport:
        """Returns a job's current state and the keys of open commits that may have changed it.

        Raises `Unavailable` if the state can't be told at present.
        """
        if not self.is_serving():
            raise Unavailable
        if name in self.registry.unreadable:
            raise Unavailable
        job = self.jobs.get(name)
        keys = self.writer.in_flight.keys_of(name)
        if job is not None and job.aborted:
            return JobStatusReport(job.status())  # no open commit can change that
        if job is not None:
            if not self.pipelines.is_cancellation_known(job):
                raise Unavailable  # it may be cancelled already
            return JobStatusReport(job.status(), keys)
        if name in self.registry.admissions:
            # Another node may have accepted the job as well, whichever commit it waits for here.
            keys.append(JOB_PREFIX + name)
        return JobStatusReport(None, keys)

    def has_job(self, name: str) -> bool:
        """Returns whether the term has a record of the job, live, over or unreadable."""
        return self.registry.has_record(name)

    async def submit(self, spec: JobSpec) -> bool:
        """Accepts a job, committed in a batch with others; False if it is already known.

        Raises `Unavailable` if the term can't answer at present, and `JobMemoryFullError` if
        there is no memory for another job.
        """
        if not self.is_serving():
            raise Unavailable
        value = JobValue(spec, self.clock.wall())
        self.registry.check_memory(value)  # before a part of the record is stored
        if spec.waitsOn is not None:
            try:
                value = await dependency_lists.store_if_too_long(self.context.ledger, value)
            except Conflict:
                return False  # the job is already over
        return await self.registry.admit(value, constants.PEER_REQUEST_TIMEOUT_S)

    async def abort(self, name: str) -> str | None:
        """Aborts a job and returns its final state, or None if the record does not have it.

        If the admission of the job is still open, this waits for it, since other controllers may
        already have read that the job is accepted. Raises `Unavailable` if the outcome is not
        durable within `INTAKE_DEADLINE_S`.
        """
        if not self.is_serving():
            raise Unavailable
        deadline = self.clock.now() + constants.INTAKE_DEADLINE_S
        while name in self.registry.admissions and name not in self.jobs:
            if (
                not await self.registry.committed.wait(deadline - self.clock.now())
                or not self.is_serving()
            ):
                raise Unavailable
        if name in self.registry.unreadable:
            raise Unavailable
        job = self.jobs.get(name)
        if job is None:
            return self.registry.over.get(name)
        self.registry.abort(job)
        while self.is_serving():
            if job.aborted:
                return "withdrawn"
            if name in self.registry.over:
                return "done"
            if not await self.registry.committed.wait(deadline - self.clock.now()):
                break
        raise Unavailable

    def apply_reported_cancellations(self, reported: set[str]) -> None:
        """Stops the jobs that other controllers have already reported to users as cancelled."""
        for job in filter(None, map(self.jobs.get, reported - self.reported_cancelled)):
            job.reported_cancelled = True
            for attempt in job.live.values():
                attempt.kill_requested_at = attempt.kill_requested_at or self.clock.now()
        self.reported_cancelled |= reported

    def withdraw_reported_cancellations(self) -> None:
        """Drops reported cancellations: the record is available again and alone decides."""
        for job in filter(None, map(self.jobs.get, self.reported_cancelled)):
            job.reported_cancelled = False
        self.reported_cancelled.clear()

    # -- workers' reports and the ends of attempts ----------------------------------

    async def handle_report(
        self, report: Report, size: int = 0, relayed: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Answers one report; see `ReportHandler.handle_report`."""
        return await self.reports.handle_report(report, size, relayed)

    def _on_job(self, job: Job, fresh: bool) -> None:
        for component in self.components:
            component.on_job(job, fresh)

    def _on_report_accepted(self, machine: Machine, first: bool) -> None:
        for component in self.components:
            component.on_report(machine, first)

    def _on_attempt_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """Handles the end of an attempt: reported with a cause, or proven absent (empty cause)."""
        if cause:
            self.ended_by_cause[cause] += 1
        if log.isEnabledFor(logging.DEBUG):
            what = decision_fields(
                self.context.token, attempt.job.name, attempt.machine, attempt.label
            )
            log.debug(
                "attempt ended: %s on %s: %s",
                attempt.label,
                attempt.machine,
                cause or "gone",
                extra=what,
            )
        attempt.job.finish(attempt, cause == "done", cause in FAILURE_CAUSES)
        if machine is not None:
            machine.detach(attempt)
        self.registry.update_ending(attempt.job)
        for constraint in self.scheduling.component_constraints:
            constraint.on_released(attempt)
        for component in self.components:
            component.on_ended(machine, attempt, cause)

    def _expire_leases(self) -> None:
        """Ends the attempts that are proven absent because their machine's lease is over."""
        for machine in self.fleet.machines.values():
            if not machine.attempts or not self.fleet.is_own_lease_over(machine):
                continue
            every = self.fleet.is_lease_over(machine)
            lost = [a for a in machine.attempts.values() if every or a.placed_at]
            if lost:
                log.info(
                    "machine lease over: %s: %d attempts lost",
                    machine.name,
                    len(lost),
                    extra=decision_fields(self.context.token, machine=machine.name),
                )
            for attempt in lost:
                self._on_attempt_ended(machine, attempt, "")

    def _max_demand(self, job: Job, count: int) -> int:
        for constraint in self.scheduling.component_constraints:
            count = constraint.max_demand(job, count)
        return count

    def _holds_scarce_resource(self, job: Job) -> bool:
        return any(
            constraint.holds_scarce_resource(job)
            for constraint in self.scheduling.component_constraints
        )

    def _on_attempt_lost(self, attempt: Attempt) -> None:
        """Handles an attempt whose machine is proven to be gone."""
        self._on_attempt_ended(None, attempt, "")

    def samples(self) -> Iterable[Sample]:
        """Returns the metrics of the term and its components."""
        for component in self.components:
            yield from component.samples()
        unwritable = len(self.writer.unwritable_sizes)
        unreadable = len(self.registry.unreadable)
        yield gauge("unreadable_jobs", "Jobs left out as a record can't be read", unreadable)
        yield gauge("unwritable_values", "Values over the state service's limit", unwritable)
        yield labelled_sample("attempts", "Ended attempts by cause", "cause", self.ended_by_cause)
