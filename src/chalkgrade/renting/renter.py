"""The leader's loop that rents missing machines and returns unneeded ones.

The rental plan is made in `plan`. This module keeps the leader's list of machines up to date,
sends rental requests, returns machines and reports the attempts that are lost with them.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any

from chalkgrade import constants
from chalkgrade.extensions.components import Component, Sample
from chalkgrade.logs import decision_fields
from chalkgrade.machines.flavors import SPOT_OPTIONS, Pool, persisted_flavors, tasks_per_machine
from chalkgrade.machines.fleet import Machine
from chalkgrade.machines.message_size import machine_demand
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.renting.boot_times import BootTimes
from chalkgrade.renting.cloud import CloudClient, RentalRefusedError
from chalkgrade.renting.headroom import NEVER
from chalkgrade.renting.machine_timeline import MachineCapacity
from chalkgrade.renting.needs import WaitingWork
from chalkgrade.renting.plan import RentalNeed, plan_rentals
from chalkgrade.renting.report import PlanReport
from chalkgrade.sharing.term_context import TermContext

log = logging.getLogger("chalkgrade.renting")


class Renter(Component):
    """Rents machines for waiting work and returns idle, failed and silent ones."""

    def __init__(
        self,
        term_context: TermContext,
        cloud: CloudClient,
        on_attempt_lost: Callable[[Attempt], None],
        startable_tasks: Callable[[Job, int], int],
    ) -> None:
        self.settings = term_context.context.settings
        self.clock = clock = term_context.context.clock
        self.registry = term_context.registry
        self.fleet = term_context.fleet
        self.queues = term_context.queues
        self.isolation = term_context.isolation
        self.flavors = term_context.flavors
        # The machine flavors are persisted for controllers that can't ask the cloud.
        self.flavor_record = persisted_flavors(term_context.flavors)
        self.persisted_values = [self.flavor_record]
        self.decision_loops = [self.run]
        self.cloud = cloud
        self.is_serving = term_context.is_serving
        self.waiting_work = WaitingWork(term_context, startable_tasks)
        self.report = PlanReport()  # of the last plan
        self.report_logged_at = -1e9
        self.on_attempt_lost = on_attempt_lost  # called if an attempt is lost with its machine
        self.plan_requested = asyncio.Event()  # new work: plan before the next list
        self.refused_until: dict[Pool, float] = {}  # pools without capacity are avoided so long
        # Requests without an answer yet: the request's name and the number of machines.
        self.pending_rentals: dict[Pool, tuple[str, int]] = {}
        self.rental_number = 0
        # Jobs that wait for others, and in how many seconds they may run, earliest first.
        self.upcoming_jobs: Callable[[], list[tuple[Job, float]]] = list
        self.pending_releases: dict[str, None] = {}  # names of machines to return
        self.started_at = clock.now()
        self.has_enough_reports = False
        self.boot_times = BootTimes()
        self.unreliable_pools: set[Pool] = set()
        self.has_waiting_work = True  # whether work waited at the last plan
        self.planned_at = -1e9
        self.plan_duration_s = 0.0

    def start(self) -> None:
        """Starts the time within which machines are expected to report to a new leader."""
        self.started_at = self.clock.now()
        # Without an earlier leader there are no machines to wait for.
        self.has_enough_reports = not self.flavor_record.stamp

    def _check_enough_reports(self) -> bool:
        """Whether enough machines have reported to tell how many are missing.

        Machines that the previous leader rented a moment ago are in no list yet, and only
        their reports tell what they run and what capacity is left on them.
        """
        if not self.has_enough_reports:
            present = [
                m for m in self.fleet.machines.values() if m.status == "running" or m.attempts
            ]
            reported_count = sum(machine.reported_at is not None for machine in present)
            self.has_enough_reports = (
                self.clock.now() - self.started_at > constants.NEW_TERM_RENTAL_DELAY_S
                or 0 < constants.NEW_TERM_REPORTED_RATIO * len(present) <= reported_count
            )
        return self.has_enough_reports

    def on_job(self, job: Job, fresh: bool) -> None:
        """Requests a new plan for a job."""
        self.plan_requested.set()

    def on_report(self, machine: Machine, first: bool) -> None:
        """Records the boot time of a machine rented this term at its first report."""
        flavor = self.flavors.get(machine.hosttype)
        if first and machine.rented_this_term and flavor is not None:
            pool = (machine.hosttype, machine.site, machine.standby)
            self.boot_times.record_boot(pool, machine.rented_at, self.clock.now(), flavor.bootS)

    def samples(self) -> Iterable[Sample]:
        """Returns the samples of the last rental plan."""
        return self.report.samples()

    def _log_report(self, now: float) -> None:
        """Logs the last plan by team.

        It is logged at info level every `STATUS_LOG_INTERVAL_S` seconds, else at debug level.
        """
        if not self.report.teams:
            return
        often = now - self.report_logged_at < constants.STATUS_LOG_INTERVAL_S
        if not often:
            self.report_logged_at = now
        level = logging.DEBUG if often else logging.INFO
        log.log(
            level,
            "rental plan: %s",
            self.report.format_line(),
            extra=decision_fields(self.fleet.token),
        )

    def refused_pools(self) -> set[Pool]:
        """Returns the pools that recently had no capacity."""
        now = self.clock.now()
        return {pool for pool, until in self.refused_until.items() if until > now}

    async def run(self) -> None:
        """Refreshes flavors and the machine list, returns machines, and rents, in a loop."""
        flavors_at = -1e9
        while True:
            cycle_began = self.clock.now()
            try:
                if cycle_began - flavors_at > constants.FLAVORS_READ_INTERVAL_S:
                    await self._refresh_flavors()
                    flavors_at = cycle_began
                await self._refresh_machines()
                if self.is_serving():
                    await self._release_machines()
                    if self._check_enough_reports():
                        await self._rent_machines()
            except NoAnswer as error:
                log.info("cloud call failed: %s", error)
            pause = max(0.3, constants.MACHINE_LIST_INTERVAL_S - (self.clock.now() - cycle_began))
            self.plan_requested.clear()
            try:
                async with asyncio.timeout(pause):
                    await self.plan_requested.wait()
            except TimeoutError:
                continue
            # New work: plan without refreshing the list first, as machines take long enough to
            # boot. The gap keeps many small jobs a second from causing a plan each.
            gap = max(
                constants.MIN_RENTAL_PLAN_INTERVAL_S,
                constants.RENTAL_PLAN_PAUSE_RATIO * self.plan_duration_s,
            )
            await asyncio.sleep(max(0.0, self.planned_at + gap - self.clock.now()))
            try:
                if self.is_serving() and self._check_enough_reports():
                    await self._rent_machines()
            except NoAnswer as error:
                log.info("cloud call failed: %s", error)

    async def _refresh_flavors(self) -> None:
        """Updates the flavors; has them persisted if a name, size or zone changed."""
        flavors = await self.cloud.list_flavors()
        shape = [(f.sku, f.resources, f.sites) for f in flavors]
        if shape != [(f.sku, f.resources, f.sites) for f in self.flavors.values()] or (
            not self.flavor_record.stamp
        ):
            self.flavor_record.mark_changed()
            self.registry.flush_wanted.set()
        self.flavors.clear()
        self.flavors.update({flavor.sku: flavor for flavor in flavors})

    async def _refresh_machines(self) -> None:
        """Updates the known machines from the cloud's list and schedules releases."""
        rows, asked = await self.cloud.list_machines()
        now = self.clock.now()
        names = set()
        for row in rows:
            names.add(row.nameId)
            if row.nameId in self.fleet.gone:
                continue
            machine = self.fleet.get_or_add(row.nameId, row.hosttype, row.site, row.standby)
            if machine.listed_at is None:
                machine.listed_at = asked
                machine.rented_at = now - row.ageS
            machine.status = row.status
        for machine in self.fleet.machines.values():
            why = self._release_reason(machine, machine.name in names, asked, now)
            if why:
                self._schedule_release(machine, why)

    def _release_reason(self, machine: Machine, listed: bool, asked: float, now: float) -> str:
        """Returns why a machine must be returned, or an empty string if it need not."""
        lag = self.settings.cluster.cloud.list_lag_s * 2 + 1
        silent = now - max(machine.reported_at or 0.0, machine.known_at)
        flavor = self.flavors.get(machine.hosttype)
        if machine.status == "failed":
            return "failed"
        if (
            not listed
            and silent > self.fleet.silent_s
            and (
                (machine.listed_at is not None and asked > machine.listed_at + lag)
                or now - machine.known_at > lag + self.fleet.silent_s
            )
        ):
            return "not listed and silent"
        if machine.reported_at is None and flavor is not None:
            pool = (machine.hosttype, machine.site, machine.standby)
            patience = max(
                constants.MIN_BOOT_TIMEOUT_S, constants.BOOT_TIMEOUT_RATIO * flavor.bootS
            )
            age = now - machine.rented_at
            if now - machine.known_at > constants.NEW_TERM_FIRST_REPORT_TIMEOUT_S:
                if age > patience:
                    return "never came up"
                if (
                    self.boot_times.is_overdue(pool, flavor.bootS, age)
                    and not self.has_waiting_work
                ):
                    return "late, and nothing waits for it"
        elif (
            machine.reported_at is not None
            and silent > constants.SILENT_RELEASE_LEASE_RATIO * self.fleet.lease_s
        ):
            return "silent"
        responses_lost_since = machine.response_tracker.responses_lost_since
        if (
            responses_lost_since is not None
            and now - responses_lost_since
            > constants.SILENT_RELEASE_LEASE_RATIO * self.fleet.lease_s
        ):
            return "hears nothing"
        # Silence that began under the previous leader counts: a new term doesn't restart it.
        begun = machine.silent_since if machine.silent_since is not None else now
        patience = constants.SILENT_RELEASE_LEASE_RATIO * self.fleet.lease_s
        if silent > self.fleet.silent_s and now - begun > patience:
            return "silent"
        if machine.failures >= constants.MAX_MACHINE_FAILURES:
            # Its other tasks would fail too, or never end; they are restarted elsewhere.
            return "suspect"
        return ""

    def _schedule_release(self, machine: Machine, why: str) -> None:
        """Marks a machine for return; the first time, logs why and records a failed boot."""
        if not machine.releasing:
            if self._is_booting(machine, self.clock.now()):
                self.boot_times.record_failed_boot(
                    (machine.hosttype, machine.site, machine.standby), machine.rented_at
                )
            log.info(
                "machine release scheduled: %s (%s %s): %s",
                machine.name,
                machine.hosttype,
                machine.site,
                why,
                extra=decision_fields(self.fleet.token, machine=machine.name),
            )
            machine.releasing = True
        self.pending_releases[machine.name] = None

    async def _release_machines(self) -> None:
        """Returns scheduled and idle machines; those the cloud confirms are known to be gone."""
        now = self.clock.now()
        patience = self.settings.operator.idle_release_s
        if self.clock.wall() - self.queues.last_submission_at > constants.SUBMISSION_LULL_S:
            # Without recent submissions there is less reason to keep idle machines.
            patience = min(patience, constants.LULL_IDLE_RELEASE_S)
        upcoming = [[job, in_s, job.spec.tasks] for job, in_s in self.upcoming_jobs()]
        for machine in self.fleet.machines.values():
            if machine.attempts or machine.tasks or machine.reported_at is None:
                # Aborted work on a machine that doesn't report, or doesn't receive responses,
                # counts against its team's limit until it is proved gone. Reports of a machine
                # without responses prove nothing about an earlier leader's launches. So
                # such a machine is returned.
                silent = now - max(machine.reported_at or 0.0, machine.known_at)
                lost = silent > self.fleet.silent_s or machine.response_tracker.responses_lost
                if lost and any(a.job.aborted for a in machine.attempts.values()):
                    self._schedule_release(machine, "aborted work on a machine that can't be asked")
                continue
            idle = now - max(machine.busy_at, self.started_at)
            if (
                idle > patience
                and not machine.releasing
                and not self._is_kept_for_upcoming(machine, upcoming)
            ):
                self._schedule_release(machine, "idle")
        while self.pending_releases:
            names = list(self.pending_releases)[: constants.MAX_RELEASED_PER_REQUEST]
            await self.cloud.release(names)
            for name in names:
                del self.pending_releases[name]
                gone = self.fleet.machines.get(name)
                if gone is None:
                    continue
                for attempt in self.fleet.remove_machine(gone):
                    self.on_attempt_lost(attempt)

    def _is_kept_for_upcoming(self, machine: Machine, upcoming: list[Any]) -> bool:
        """Whether an idle machine is kept for jobs that may run before a new one would boot.

        `upcoming` holds rows of a job, in how many seconds it may run, and how many of its tasks
        have no machine yet. The tasks that this machine can run are subtracted from its row.
        """
        flavor = self.flavors.get(machine.hosttype)
        if flavor is None:
            return False
        for row in upcoming:
            job, in_s, tasks = row
            if tasks <= 0 or in_s > flavor.bootS:
                continue
            spec = job.spec
            if may_use_machine(spec, machine.hosttype, machine.site, machine.standby):
                row[2] -= tasks_per_machine(spec, flavor)
                if row[2] < tasks:
                    return True
        return False

    async def _rent_machines(self) -> None:
        """Rents until nothing more is missing or every suitable pool has refused."""
        while self.is_serving():
            now = self.clock.now()
            closed_pools = [pool for pool, until in self.refused_until.items() if until > now]
            unreliable, probing = self._find_unreliable_pools(now)
            closed_pools += probing
            self.planned_at = now
            excluded = [*closed_pools, *self.pending_rentals]
            planned_by_pool = self.isolation.run(partial(self._plan, now, excluded))
            for pool, planned in planned_by_pool.items():
                count = min(planned, constants.MAX_BOOT_PROBES) if pool in unreliable else planned
                self.rental_number += 1
                self.pending_rentals[pool] = (f"h{self.fleet.token}-{self.rental_number}", count)
            self.plan_duration_s = self.clock.now() - now
            self._log_report(now)
            if not self.pending_rentals:
                return
            for pool, (request_name, count) in list(self.pending_rentals.items()):
                try:
                    names = await self.cloud.rent(request_name, pool, count)
                except RentalRefusedError:
                    names = []
                del self.pending_rentals[pool]
                what = decision_fields(self.fleet.token)
                log.info("machines rented: %d of %d in %s", len(names), count, pool, extra=what)
                for name in names:
                    self.fleet.get_or_add(name, *pool).rented_this_term = True
                if len(names) < count:
                    self.refused_until[pool] = self.clock.now() + constants.REFUSED_POOL_PAUSE_S

    def _plan(self, now: float, excluded: list[Pool]) -> dict[Pool, int]:
        """Returns how many machines to rent from each pool but the excluded ones."""
        self.report = PlanReport()
        needs = self.waiting_work.rental_needs(self.upcoming_jobs(), self.report)
        self.has_waiting_work = bool(needs)
        if not needs:
            return {}
        capacities, ends = self._machine_capacities(now)
        headroom = self.waiting_work.team_headroom(ends)
        return plan_rentals(
            self._handled_needs(needs),
            capacities,
            self.flavors,
            excluded,
            self.boot_times,
            self.report,
            headroom,
        )

    def _handled_needs(self, needs: list[RentalNeed]) -> Iterator[RentalNeed]:
        """Yields the needs; errors in planning one are attributed to its (first) job."""
        jobs = (self.registry.jobs[need.spec.nameId] for need in needs)
        for _, need in zip(self.isolation.each(jobs), needs, strict=True):
            yield need

    def _find_unreliable_pools(self, now: float) -> tuple[set[Pool], list[Pool]]:
        """Returns the unreliable pools, and those of them where a probe machine is booting."""
        booting: dict[Pool, list[float]] = {}
        for machine in self.fleet.machines.values():
            if self._is_booting(machine, now) and not machine.releasing:
                pool = (machine.hosttype, machine.site, machine.standby)
                booting.setdefault(pool, []).append(machine.rented_at)
        unreliable: set[Pool] = set()
        probing: list[Pool] = []
        for flavor in self.flavors.values():
            for pool in (
                (flavor.sku, site, spot) for site in flavor.sites for spot in SPOT_OPTIONS
            ):
                rental_times = booting.get(pool, [])
                if not self.boot_times.is_unreliable(pool, flavor.bootS, rental_times, now):
                    continue
                unreliable.add(pool)
                if any(
                    not self.boot_times.is_overdue(pool, flavor.bootS, now - rented_at)
                    for rented_at in rental_times
                ):
                    probing.append(pool)
        if unreliable != self.unreliable_pools:
            self.unreliable_pools = unreliable
            log.info("machines do not boot in time: %s", sorted(unreliable) or "nowhere any more")
        return unreliable, probing

    def _is_booting(self, machine: Machine, now: float) -> bool:
        """Whether a machine is still booting.

        Under a new leader no machine has reported at first. Machines that it did not rent
        itself count as booting only after they had `NEW_TERM_FIRST_REPORT_TIMEOUT_S` seconds to
        report.
        """
        return (
            machine.reported_at is None
            and bool(machine.hosttype)
            and machine.status != "running"
            and (
                machine.rented_this_term
                or now - machine.known_at > constants.NEW_TERM_FIRST_REPORT_TIMEOUT_S
            )
        )

    def _machine_capacities(self, now: float) -> tuple[list[MachineCapacity], dict[Attempt, float]]:
        """Returns the capacity of machines in service or booting, and when attempts end.

        Silent and failing machines are left out. Ends are in seconds from now; the attempts of
        a service never end by themselves.
        """
        out = []
        ends: dict[Attempt, float] = {}
        for machine in self.fleet.machines.values():
            flavor = self.flavors.get(machine.hosttype)
            if flavor is None or not self.fleet.is_in_service(machine):
                continue
            pool = (machine.hosttype, machine.site, machine.standby)
            boot = 0.0
            if machine.reported_at is None and self._is_booting(machine, now):
                left = self.boot_times.remaining_boot_s(pool, flavor.bootS, now - machine.rented_at)
                if left is None:
                    continue  # overdue: the work needs another machine
                boot = left
            capacity = MachineCapacity(pool, machine.free(flavor.resources), boot)
            for attempt in machine.attempts.values():
                ends[attempt] = self.queues.remaining_run_s(attempt, now)
                if ends[attempt] < NEVER:
                    released = machine_demand(attempt.job.spec)
                    capacity.releases.append((ends[attempt], released))
            out.append(capacity)
        return out, ends
