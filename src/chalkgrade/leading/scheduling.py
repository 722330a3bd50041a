"""The rounds of a term, and what operators hear of them."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable

from chalkgrade import constants
from chalkgrade.machines.fleet import Machine
from chalkgrade.machines.kinds import Pool
from chalkgrade.outside import Signal
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.seams.gates import Gate
from chalkgrade.seams.parts import Part, Sample, gauge
from chalkgrade.sharing.rounds import SchedulingRound
from chalkgrade.sharing.term_context import TermContext
from chalkgrade.sharing.wait_reasons import (
    WaitReasonCounts,
    count_wait_reasons,
    format_wait_reasons,
)

log = logging.getLogger("chalkgrade.scheduling")


class Scheduling(Part):
    """Plays rounds when something happened, at most `round_s` apart."""

    def __init__(
        self,
        domain: TermContext,
        sweep: Callable[[], None],
        refused: Callable[[], Iterable[Pool]],
    ) -> None:
        self.office = office = domain.context
        self.clock = office.clock
        self.book = domain.registry
        self.fleet = domain.fleet
        self.queues = queues = domain.queues
        self.flavors = domain.flavors
        self.live = domain.is_serving
        self.sweep = sweep  # looks for attempts that are surely gone
        self.refused = refused  # pools without capacity of late
        self.outer: list[Gate] = []  # other parts' gates
        self.teams = {team.name: team for team in office.settings.cluster.teams}
        self.wanted = asyncio.Event()
        self.done = Signal()
        self.least_waiting = float("inf")  # CPUs of the smallest task that waited lately
        self.preempted_at = -1e9
        self.told_at = -1e9
        self.kept = queues.persisted_values
        self.loops = [self._loop]

    # -- as a part ------------------------------------------------------------------

    def start(self) -> None:
        self.wanted.set()

    def on_job(self, job: Job, fresh: bool) -> None:
        if job.held:
            return  # it comes again once it may run
        if fresh:
            self.queues.observe_submission(job)
        self.least_waiting = 0.0  # until the next round knows
        self.wanted.set()

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        # Of what an earlier leader started we have not seen the beginning: it would pass for short.
        if cause == "done" and attempt.since and attempt.decided:
            self.queues.observe_run(attempt.job, self.clock.now() - attempt.since)
        self.wanted.set()

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
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            began = self.clock.now()
            if not self.live() and began - self.told_at >= constants.TELL_EVERY_S:
                self.told_at = began
                log.warning(
                    "nothing is started: %s", format_wait_reasons(self.standing()) or "no lease"
                )
            if self.live():
                self.sweep()
                self._round(began)
                waiting = (j.spec.vcpus for j in self.book.jobs.values() if len(j.waiting))
                # Each report asks for it: once a round, not once a report and job.
                self.least_waiting = min(waiting, default=float("inf"))
                if self.book.log.pending or any(kept.dirty for kept in self.kept):
                    self.book.flush_wanted.set()
            self.done.fire()
            # Rounds that take long must leave time for reports and users.
            took = self.clock.now() - began
            await asyncio.sleep(max(constants.ROUND_MIN_S, constants.ROUND_REST * took))

    def _round(self, now: float) -> None:
        """Steps 4 to 7 on the room that reports."""
        preempt = now - self.preempted_at >= constants.PREEMPT_EVERY_S
        if preempt:
            self.preempted_at = now
        plan = SchedulingRound(
            self.book.jobs,
            self.fleet,
            self.teams,
            self.flavors,
            self.queues,
            self.clock,
            preempt,
            self.outer,
        )
        placed = plan.run()
        if placed or plan.preempted_count:
            log.debug("round: placed %d, stopping %d", placed, plan.preempted_count)
        if now - self.told_at >= constants.TELL_EVERY_S:
            self.told_at = now
            self._tell()

    def wants_work(self, machine: Machine) -> bool:
        """Whether a round may find something for a machine that has just reported."""
        flavor = self.flavors.get(machine.hosttype)
        if flavor is None or not self.fleet.usable(machine):
            return False
        return machine.used[0] + self.least_waiting <= flavor.vcpus + 1e-9

    # -- what operators hear ----------------------------------------------------------

    def standing(self) -> WaitReasonCounts:
        """How many tasks of each class wait, and for what."""
        return count_wait_reasons(
            self.book.jobs.values(),
            self.fleet,
            self.teams,
            self.flavors,
            self.queues,
            self.refused(),
            self.live(),
            self.clock.now(),
            self.outer,
        )

    def _tell(self) -> None:
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
            log.info("standing: %s", format_wait_reasons(why))
