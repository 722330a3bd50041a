"""One term of leadership: a book, a fleet, and the subsystems over both.

Everything here lives as long as one token. Losing the lead throws the term
away; the next one is rebuilt from the state service and the reports.
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
from chalkgrade.logs import about
from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet, Machine, Report
from chalkgrade.outside import Http, NoAnswer, Signal
from chalkgrade.pipelines.part import Pipelines
from chalkgrade.record import apart
from chalkgrade.record.book import Book
from chalkgrade.record.fates import Account
from chalkgrade.record.jobs import JOB_PREFIX, Attempt, Job, JobSpec, JobValue
from chalkgrade.record.writer import Writer
from chalkgrade.renting.cloud import Cloud
from chalkgrade.renting.joint import Joint
from chalkgrade.renting.renter import Renter
from chalkgrade.sharing.domain import Domain
from chalkgrade.sharing.queues import Queues
from chalkgrade.state.ledger import Conflict, NotExecuted
from chalkgrade.state.office import Office

log = logging.getLogger("chalkgrade.term")


class Unavailable(Exception):
    """Nothing can be said now; the user should come back."""


class Term:
    """What the leader knows and does under one token."""

    def __init__(
        self,
        office: Office,
        cloud: Cloud,
        flavors: dict[str, Flavor],
        remember: Callable[[str, str, int], object],
        http: Http,
        succession: HintExchange,
    ) -> None:
        self.office = office
        self.leadership = office.leadership
        self.clock = office.clock
        workers = office.settings.cluster.workers
        self.fleet = Fleet(office.clock, office.token, workers.lease_s, workers.report_s)
        self.queues = Queues(office.settings, office.clock, flavors, office.ledger.limits.value_b)
        self.components: list[Component] = []
        self.book = Book(office, remember, self._on_job)
        self.jobs = self.book.jobs
        self.hint_exchange = succession
        self.domain = domain = Domain(
            office, self.book, self.fleet, self.queues, flavors, self.is_serving
        )
        self.renter = Renter(domain, cloud, self._on_attempt_lost, self._max_demand)
        self.renter.coming = lambda: self.pipelines.graph.coming(
            self.queues.ends_in_s, constants.COMING_S
        )
        self.scheduling = RoundScheduler(domain, self._expire_leases, self.renter.refused)
        self.reports = ReportHandler(
            domain, self.scheduling, self._on_report_accepted, self._on_attempt_ended
        )
        self.ready = False
        self.record_loaded = Signal()  # the record is read: reports are taken from now on
        self.tasks: list[asyncio.Task[None]] = []
        self.ended_by_cause: dict[str, int] = defaultdict(int)  # ended attempts by cause
        self.reported_cancelled: set[str] = set()  # jobs that others have told of, see `believe`
        self.writer = Writer(office, self.book)
        self.pipelines = Pipelines(self.book, self._on_job, self.queues.dues, self.queues.takes_s)
        self.add_component(self.pipelines)
        self.add_component(FailureTracker(office.token, office.clock))
        self.add_component(self.scheduling)
        self.add_component(self.renter)
        joint = Joint(domain, self.renter, self._max_demand, self._holds_scarce_resource, http)
        for part in subsystems.create_components(office.settings, joint):
            self.add_component(part)

    def add_component(self, part: Component) -> None:
        """Wire a subsystem in, before the term starts."""
        self.components.append(part)
        self.book.kept += part.persisted_values
        self.scheduling.component_constraints += part.start_constraints

    # -- life ---------------------------------------------------------------------

    def start(self) -> None:
        self.tasks.append(asyncio.create_task(self._supervise(self._run, True, lasting=False)))

    def stop(self) -> None:
        self.ready = False
        for task in self.tasks:
            task.cancel()
        for part in self.components:
            part.stop()

    async def _run(self) -> None:
        while not self.ready:
            try:
                await self._load()
            except (NoAnswer, NotExecuted, msgspec.DecodeError) as error:
                log.warning("loading the book: %s", error)
                await asyncio.sleep(constants.STATE_PAUSE_S)
        writing = [self.writer.flush, *[self.writer.admit] * constants.ADMIT_LANES]
        self._spawn([self.book.watch, self.writer.watch, *writing], True)
        for part in self.components:
            self._spawn(part.durable_loops, True)
            self._spawn(part.decision_loops, False)
        if constants.HINTS_PEERS:
            self._spawn([self._publish_hints], False)

    async def _publish_hints(self) -> None:
        """Tell those who would lead next what the record does not have."""
        while True:
            await asyncio.sleep(constants.HINTS_EVERY_S)
            if self.is_serving():
                await self.hint_exchange.publish(gather_hints(self.domain, self.renter))

    def _spawn(self, loops: Iterable[Loop], fatal: bool) -> None:
        self.tasks += [asyncio.create_task(self._supervise(loop, fatal)) for loop in loops]

    async def _supervise(self, loop: Loop, fatal: bool, lasting: bool = True) -> None:
        """A loop that meets a bug must not leave half a leader behind.

        What holds durable state is rebuilt under a new token; deciding where
        things run starts again, since the same input would meet the next leader.
        A cancellation that nobody asked this task for is a bug like any other: taken for the
        term's end, it would leave a leader that places work and writes nothing.
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
                log.exception("a loop was cancelled by nobody")
            except Exception:
                log.exception("a loop failed%s", "; stepping down" if fatal else "")
            if fatal:
                self.leadership.depose()
                return
            await asyncio.sleep(constants.ROUND_S)

    async def _load(self) -> None:
        self.fleet.machines.clear()
        for attempt in await self.book.load():
            if attempt.job.aborted:
                attempt.kill_at = self.clock.now()
            self.fleet.attach_attempt(attempt)
        for hints in self.hint_exchange.usable_hints(self.office.token, self.clock.wall()):
            apply_hints(hints, self.domain, self.renter)
        self.ready = True
        self.record_loaded.fire()
        live = sum(len(job.live) for job in self.jobs.values())
        log.info("term %d: %d jobs, %d live attempts", self.office.token, len(self.jobs), live)
        for part in self.components:
            part.start()

    # -- users --------------------------------------------------------------------

    def is_serving(self) -> bool:
        """Whether this term may answer for the present."""
        return self.ready and self.leadership.acting()

    def job_account(self, name: str) -> Account:
        """A job's present state, and the keys of open commits that may have changed it."""
        if not self.is_serving():
            raise Unavailable
        job = self.jobs.get(name)
        keys = self.writer.fates.of(name)
        if job is not None and job.aborted:
            return Account(job.status())  # nothing that is open makes it anything else
        if job is not None:
            if not self.pipelines.sure(job):
                raise Unavailable  # as may be that it is cancelled
            return Account(job.status(), keys)
        if name in self.book.admissions:
            # Whatever commit of ours it waits for, another node may have accepted it too.
            keys.append(JOB_PREFIX + name)
        return Account(None, keys)

    def has_job(self, name: str) -> bool:
        """Whether a job is on record under this token."""
        return name in self.jobs or name in self.book.over

    async def submit(self, spec: JobSpec) -> bool:
        """Accept a job together with others; False when it is known already."""
        if not self.is_serving():
            raise Unavailable
        value = JobValue(spec, self.clock.wall())
        if spec.waitsOn is not None:
            try:
                value = await apart.keep(self.office.ledger, value)
            except Conflict:
                return False  # it is over
        return await self.book.admit(value, constants.PEER_TIMEOUT_S)

    async def abort(self, name: str) -> str | None:
        """Abort a job; its final state, or None when the book does not have it.

        One whose admission is open is waited for: others may have read that it is accepted.
        """
        if not self.is_serving():
            raise Unavailable
        deadline = self.clock.now() + constants.INTAKE_DEADLINE_S
        while name in self.book.admissions and name not in self.jobs:
            if (
                not await self.book.committed.wait(deadline - self.clock.now())
                or not self.is_serving()
            ):
                raise Unavailable
        job = self.jobs.get(name)
        if job is None:
            return self.book.over.get(name)
        self.book.abort(job)
        while self.is_serving():
            if job.aborted:
                return "withdrawn"
            if name in self.book.over:
                return "done"
            if not await self.book.committed.wait(deadline - self.clock.now()):
                break
        raise Unavailable

    def apply_reported_cancellations(self, told: set[str]) -> None:
        """Stop what others have told users is cancelled."""
        for job in filter(None, map(self.jobs.get, told - self.reported_cancelled)):
            job.told = True
            for attempt in job.live.values():
                attempt.kill_at = attempt.kill_at or self.clock.now()
        self.reported_cancelled |= told

    def withdraw_reported_cancellations(self) -> None:
        """The record is ours again: only what it says is cancelled is so."""
        for job in filter(None, map(self.jobs.get, self.reported_cancelled)):
            job.told = False
        self.reported_cancelled.clear()

    # -- workers and what becomes of attempts ---------------------------------------

    async def handle_report(
        self, report: Report, relayed: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Answer one report; one that another controller carries is held for less long."""
        return await self.reports.handle_report(report, relayed)

    def _on_job(self, job: Job, fresh: bool) -> None:
        for part in self.components:
            part.on_job(job, fresh)

    def _on_report_accepted(self, machine: Machine, first: bool) -> None:
        for part in self.components:
            part.on_report(machine, first)

    def _on_attempt_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """An attempt is over, as reported or since it is surely absent (no cause)."""
        if cause:
            self.ended_by_cause[cause] += 1
        if log.isEnabledFor(logging.DEBUG):
            what = about(self.office.token, attempt.job.name, attempt.machine, attempt.label)
            log.debug("%s on %s: %s", attempt.label, attempt.machine, cause or "gone", extra=what)
        attempt.job.finish(attempt, cause == "done", cause in FAILURE_CAUSES)
        if machine is not None:
            machine.detach(attempt)
        self.book.progressed(attempt.job)
        for gate in self.scheduling.component_constraints:
            gate.on_released(attempt)
        for part in self.components:
            part.on_ended(machine, attempt, cause)

    def _expire_leases(self) -> None:
        """Find attempts that are surely gone because their machine has lost its lease."""
        for machine in self.fleet.machines.values():
            if not machine.attempts or not self.fleet.is_own_lease_over(machine):
                continue
            every = self.fleet.is_lease_over(machine)
            lost = [a for a in machine.attempts.values() if every or a.decided]
            if lost:
                log.info(
                    "%s: lease surely over, %d attempts lost",
                    machine.name,
                    len(lost),
                    extra=about(self.office.token, machine=machine.name),
                )
            for attempt in lost:
                self._on_attempt_ended(machine, attempt, "")

    def _max_demand(self, job: Job, count: int) -> int:
        for gate in self.scheduling.component_constraints:
            count = gate.max_demand(job, count)
        return count

    def _holds_scarce_resource(self, job: Job) -> bool:
        return any(
            gate.holds_scarce_resource(job) for gate in self.scheduling.component_constraints
        )

    def _on_attempt_lost(self, attempt: Attempt) -> None:
        """The attempt's machine is surely gone."""
        self._on_attempt_ended(None, attempt, "")

    def samples(self) -> Iterable[Sample]:
        """Figures for /metrics."""
        for part in self.components:
            yield from part.samples()
        unwritable = len(self.writer.unwritable)
        yield gauge("unwritable_values", "Values over the state service's limit", unwritable)
        yield labelled_sample("attempts", "Ended attempts by cause", "cause", self.ended_by_cause)
