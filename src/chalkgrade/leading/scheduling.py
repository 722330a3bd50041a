"""The rounds of a term, and what operators hear of them."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable

from chalkgrade import constants
from chalkgrade.extensions.components import Component, Sample, gauge
from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.machines.flavors import Pool
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Signal
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.sharing.domain import Domain
from chalkgrade.sharing.rounds import Round
from chalkgrade.sharing.standing import Standing, line, standing

log = logging.getLogger("chalkgrade.scheduling")


class RoundScheduler(Component):
    """Plays rounds when something happened, at most `round_s` apart."""

    def __init__(
        self,
        domain: Domain,
        sweep: Callable[[], None],
        refused: Callable[[], Iterable[Pool]],
    ) -> None:
        self.office = office = domain.office
        self.clock = office.clock
        self.book = domain.book
        self.fleet = domain.fleet
        self.queues = queues = domain.queues
        self.flavors = domain.flavors
        self.live = domain.live
        self.expire_leases = sweep  # looks for attempts that are surely gone
        self.pools_without_capacity = refused  # pools without capacity of late
        self.component_constraints: list[StartConstraint] = []  # other parts' gates
        self.teams = {team.name: team for team in office.settings.cluster.teams}
        self.round_requested = asyncio.Event()
        self.round_finished = Signal()
        self.min_waiting_cpus = float("inf")  # CPUs of the smallest task that waited lately
        self.preempted_at = -1e9
        self.status_logged_at = -1e9
        self.persisted_values = queues.kept
        self.decision_loops = [self._loop]

    # -- as a part ------------------------------------------------------------------

    def start(self) -> None:
        self.round_requested.set()

    def on_job(self, job: Job, fresh: bool) -> None:
        if job.held:
            return  # it comes again once it may run
        if fresh:
            self.queues.observe_submission(job)
        self.min_waiting_cpus = 0.0  # until the next round knows
        self.round_requested.set()

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        # Of what an earlier leader started we have not seen the beginning: it would pass for short.
        if cause == "done" and attempt.since and attempt.decided:
            self.queues.observe_run(attempt.job, self.clock.now() - attempt.since)
        self.round_requested.set()

    def samples(self) -> Iterable[Sample]:
        jobs = self.book.jobs.values()
        yield gauge("jobs", "Jobs that are not over", len(jobs))
        yield gauge("machines", "Machines known", len(self.fleet.machines))
        yield gauge("tasks_waiting", "Tasks without an attempt", sum(len(j.waiting) for j in jobs))
        yield gauge("tasks_live", "Attempts that may be present", sum(len(j.live) for j in jobs))
        yield Sample(
            "tasks_standing",
            "Waiting tasks by class and reason",
            ("class", "reason"),
            {labels: float(count) for labels, count in self.standing().items()},
        )

    # -- rounds ---------------------------------------------------------------------

    async def _loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self.office.settings.operator.round_s):
                    await self.round_requested.wait()
            except TimeoutError:
                pass
            self.round_requested.clear()
            began = self.clock.now()
            if not self.live() and began - self.status_logged_at >= constants.TELL_EVERY_S:
                self.status_logged_at = began
                log.warning("nothing is started: %s", line(self.standing()) or "no lease")
            if self.live():
                self.expire_leases()
                self._run_round(began)
                waiting = (j.spec.vcpus for j in self.book.jobs.values() if len(j.waiting))
                # Each report asks for it: once a round, not once a report and job.
                self.min_waiting_cpus = min(waiting, default=float("inf"))
                if self.book.log.pending or any(kept.dirty for kept in self.persisted_values):
                    self.book.flush_wanted.set()
            self.round_finished.fire()
            # Rounds that take long must leave time for reports and users.
            took = self.clock.now() - began
            await asyncio.sleep(max(constants.ROUND_MIN_S, constants.ROUND_REST * took))

    def _run_round(self, now: float) -> None:
        """Steps 4 to 7 on the room that reports."""
        preempt = now - self.preempted_at >= constants.PREEMPT_EVERY_S
        if preempt:
            self.preempted_at = now
        plan = Round(
            self.book.jobs,
            self.fleet,
            self.teams,
            self.flavors,
            self.queues,
            self.clock,
            preempt,
            self.component_constraints,
        )
        placed = plan.run()
        if placed or plan.stopped:
            log.debug("round: placed %d, stopping %d", placed, plan.stopped)
        if now - self.status_logged_at >= constants.TELL_EVERY_S:
            self.status_logged_at = now
            self._log_status()

    def wants_work(self, machine: Machine) -> bool:
        """Whether a round may find something for a machine that has just reported."""
        flavor = self.flavors.get(machine.hosttype)
        if flavor is None or not self.fleet.usable(machine):
            return False
        return machine.used[0] + self.min_waiting_cpus <= flavor.vcpus + 1e-9

    # -- what operators hear ----------------------------------------------------------

    def standing(self) -> Standing:
        """How many tasks of each class wait, and for what."""
        return standing(
            self.book.jobs.values(),
            self.fleet,
            self.teams,
            self.flavors,
            self.queues,
            self.pools_without_capacity(),
            self.live(),
            self.clock.now(),
            self.component_constraints,
        )

    def _log_status(self) -> None:
        """One line for operators: what there is, what runs, what waits."""
        states: dict[str, int] = defaultdict(int)
        waiting: dict[str, int] = defaultdict(int)
        usable = idle = 0
        for machine in self.fleet.machines.values():
            serves = self.fleet.usable(machine)
            usable += serves
            idle += serves and not machine.attempts
            for attempt in machine.attempts.values():
                states[f"{attempt.job.spec.jobclass} {attempt.state or 'sent'}"] += 1
        for job in self.book.jobs.values():
            waiting[job.spec.jobclass] += len(job.waiting)
        log.info(
            "%d machines, %d usable, %d idle; attempts %s; waiting %s",
            len(self.fleet.machines),
            usable,
            idle,
            dict(sorted(states.items())),
            {name: count for name, count in waiting.items() if count},
        )
        why = self.standing()
        if why:
            log.info("standing: %s", line(why))
