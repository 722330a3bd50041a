"""Runs the scheduling rounds of a term and reports their state to operators."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable

from chalkgrade import constants
from chalkgrade.extensions.components import Component, Sample, gauge
from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.machines.flavors import Pool
from chalkgrade.machines.fleet import Machine
from chalkgrade.machines.message_size import report_entry_bytes
from chalkgrade.outside import Signal
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.sharing.rounds import SchedulingRound
from chalkgrade.sharing.term_context import TermContext
from chalkgrade.sharing.wait_reasons import (
    WaitReasonCounts,
    count_wait_reasons,
    format_wait_reasons,
)
from chalkgrade.vectors import fits

log = logging.getLogger("chalkgrade.scheduling")


class RoundScheduler(Component):
    """Runs a round after each relevant event, and at least every `round_s` seconds."""

    def __init__(
        self,
        term_context: TermContext,
        expire_leases: Callable[[], None],
        pools_without_capacity: Callable[[], Iterable[Pool]],
    ) -> None:
        self.context = context = term_context.context
        self.clock = context.clock
        self.registry = term_context.registry
        self.fleet = term_context.fleet
        self.queues = queues = term_context.queues
        self.flavors = term_context.flavors
        self.is_serving = term_context.is_serving
        self.expire_leases = expire_leases  # ends attempts on machines whose lease is over
        self.pools_without_capacity = pools_without_capacity  # as recently refused by the cloud
        self.isolation = term_context.isolation
        # The isolation of faulty jobs, and the constraints of the term's components.
        self.component_constraints: list[StartConstraint] = [self.isolation]
        self.teams = {team.name: team for team in context.settings.cluster.teams}
        self.round_requested = asyncio.Event()
        self.round_finished = Signal()
        self.min_waiting_cpus = float("inf")  # CPUs of the smallest waiting task in the last round
        self.preempted_at = -1e9
        self.status_logged_at = -1e9
        self.persisted_values = queues.persisted_values
        self.decision_loops = [self._loop]

    # -- component interface --------------------------------------------------------

    def start(self) -> None:
        """Requests the first round of the term."""
        self.round_requested.set()

    def on_job(self, job: Job, fresh: bool) -> None:
        """Requests a round for a job; a held job is announced again once it may run."""
        if job.is_blocked:
            return
        if fresh:
            self.queues.observe_submission(job)
        self.min_waiting_cpus = 0.0  # unknown until the next round
        self.round_requested.set()

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """Records the run time of a completed attempt and requests a round."""
        # The start of an attempt launched by an earlier leader was not observed. Its run time
        # would be underestimated.
        if cause == "done" and attempt.running_since and attempt.placed_at:
            self.queues.observe_run(attempt.job, self.clock.now() - attempt.running_since)
        self.round_requested.set()

    def samples(self) -> Iterable[Sample]:
        """Returns the metrics of jobs, machines and tasks."""
        jobs = self.registry.jobs.values()
        yield gauge("jobs", "Jobs that are not over", len(jobs))
        memory = self.registry.memory
        yield gauge("job_memory_bytes", "Memory counted for these jobs", memory.held_bytes)
        yield gauge("job_memory_limit_bytes", "Most that they may take", memory.limit_bytes)
        yield gauge("machines", "Machines known", len(self.fleet.machines))
        set_aside = self.isolation.set_aside_count()
        yield gauge("jobs_set_aside", "Jobs left out after an internal error", set_aside)
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
                async with asyncio.timeout(self.context.settings.operator.round_s):
                    await self.round_requested.wait()
            except TimeoutError:
                pass
            self.round_requested.clear()
            began = self.clock.now()
            if (
                not self.is_serving()
                and began - self.status_logged_at >= constants.STATUS_LOG_INTERVAL_S
            ):
                self.status_logged_at = began
                log.warning(
                    "scheduling suspended: %s", format_wait_reasons(self.standing()) or "no lease"
                )
            if self.is_serving():
                self.expire_leases()
                self._run_round(began)
                waiting = (j.spec.vcpus for j in self.registry.jobs.values() if len(j.waiting))
                # Every report reads this, so it is computed once per round rather than per report.
                self.min_waiting_cpus = min(waiting, default=float("inf"))
                if self.registry.oplog.pending or any(
                    kept.is_dirty for kept in self.persisted_values
                ):
                    self.registry.flush_wanted.set()
            self.round_finished.fire()
            # After a long round the loop sleeps in proportion, to leave time for reports and users.
            took = self.clock.now() - began
            await asyncio.sleep(
                max(constants.MIN_ROUND_INTERVAL_S, constants.ROUND_PAUSE_RATIO * took)
            )

    def _run_round(self, now: float) -> None:
        """Runs one scheduling round on the machines that report (steps 4 to 7 of the protocol)."""
        preempt = now - self.preempted_at >= constants.PREEMPTION_INTERVAL_S
        if preempt:
            self.preempted_at = now
        placed, preempted = self.isolation.run(lambda: self._decide(preempt))
        if placed or preempted:
            log.debug("round finished: placed %d, stopping %d", placed, preempted)
        if now - self.status_logged_at >= constants.STATUS_LOG_INTERVAL_S:
            self.status_logged_at = now
            self._log_status()

    def _decide(self, preempt: bool) -> tuple[int, int]:
        """Places what can be placed; returns the numbers of new and of stopped attempts."""
        plan = SchedulingRound(
            self.registry.jobs,
            self.fleet,
            self.teams,
            self.flavors,
            self.queues,
            self.clock,
            preempt,
            self.component_constraints,
            self.isolation,
        )
        placed = plan.run()
        return placed, plan.preempted_count

    def wants_work(self, machine: Machine) -> bool:
        """Returns whether a round could place a task on a machine that has just reported."""
        flavor = self.flavors.get(machine.hosttype)
        if flavor is None or not self.fleet.usable(machine):
            return False
        smallest_task = (self.min_waiting_cpus, 0.0, 0.0, float(report_entry_bytes("")))
        return fits(smallest_task, machine.free(flavor.resources))

    # -- status for operators -----------------------------------------------------------

    def standing(self) -> WaitReasonCounts:
        """Counts waiting tasks by job class and reason."""
        return count_wait_reasons(
            self.registry.jobs.values(),
            self.fleet,
            self.teams,
            self.flavors,
            self.queues,
            self.pools_without_capacity(),
            self.is_serving(),
            self.clock.now(),
            self.component_constraints,
        )

    def _log_status(self) -> None:
        """Logs a summary of machines, attempts and waiting tasks, and why tasks wait."""
        states: dict[str, int] = defaultdict(int)
        waiting: dict[str, int] = defaultdict(int)
        usable = idle = 0
        for machine in self.fleet.machines.values():
            serves = self.fleet.usable(machine)
            usable += serves
            idle += serves and not machine.attempts
            for attempt in machine.attempts.values():
                states[f"{attempt.job.spec.jobclass} {attempt.state or 'sent'}"] += 1
        for job in self.registry.jobs.values():
            waiting[job.spec.jobclass] += len(job.waiting)
        log.info(
            "status: %d machines, %d usable, %d idle; attempts %s; waiting %s",
            len(self.fleet.machines),
            usable,
            idle,
            dict(sorted(states.items())),
            {name: count for name, count in waiting.items() if count},
        )
        why = self.standing()
        if why:
            log.info("tasks waiting: %s", format_wait_reasons(why))
