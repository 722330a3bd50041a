"""Machines wanted against machines there: the loop that works off the difference.

The plan is made in `rentals`; here are the leader's list of machines, what it
has asked for, what it returns, and what becomes of the work on it.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Iterable
from typing import Any

from chalkgrade import constants
from chalkgrade.extensions.components import Component, Sample
from chalkgrade.logs import decision_fields
from chalkgrade.machines.flavors import SPOT_OPTIONS, Pool, persisted_flavors, tasks_per_machine
from chalkgrade.machines.fleet import Machine
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.renting.boots import Boots
from chalkgrade.renting.cloud import Cloud, Refused
from chalkgrade.renting.headroom import NEVER
from chalkgrade.renting.needs import WaitingWork
from chalkgrade.renting.plan import Have, plan_rent
from chalkgrade.renting.report import PlanReport
from chalkgrade.sharing.term_context import TermContext

log = logging.getLogger("chalkgrade.renting")


class Renter(Component):
    """The leader's dealings with the cloud."""

    def __init__(
        self,
        domain: TermContext,
        cloud: Cloud,
        lost: Callable[[Attempt], None],
        able: Callable[[Job, int], int],
    ) -> None:
        self.settings = domain.context.settings
        self.clock = clock = domain.context.clock
        self.book = domain.registry
        self.fleet = domain.fleet
        self.queues = domain.queues
        self.flavors = domain.flavors
        # The machine types, for controllers that can't ask the cloud.
        self.types = persisted_flavors(domain.flavors)
        self.persisted_values = [self.types]
        self.decision_loops = [self.run]
        self.cloud = cloud
        self.live = domain.is_serving
        self.waiting = WaitingWork(domain, able)
        self.report = PlanReport()  # of the last plan
        self.told_at = -1e9
        self.lost = lost  # an attempt went with its machine
        self.wanted = asyncio.Event()
        self.blocked: dict[Pool, float] = {}
        self.hires: dict[Pool, tuple[str, int]] = {}
        self.hire_number = 0
        # Jobs that wait for others, and in how many s they may run, the first first.
        self.coming: Callable[[], list[tuple[Job, float]]] = list
        self.doomed: dict[str, None] = {}  # names to release
        self.began = clock.now()
        self.settled = False
        self.boots = Boots()
        self.doubted: set[Pool] = set()
        self.work_waits = True  # some work waited at the last plan
        self.planned_at = -1e9
        self.plan_took = 0.0

    def start(self) -> None:
        self.began = self.clock.now()
        self.settled = not self.types.stamp  # nobody has led before: there is nothing to wait for

    def _settle(self) -> bool:
        """Whether so many machines have reported that what is short can be seen.

        What the last leader rented a moment ago is in no list yet, and what its machines
        run and could take is known from their reports alone.
        """
        if not self.settled:
            there = [m for m in self.fleet.machines.values() if m.status == "running" or m.attempts]
            heard = sum(machine.reported_at is not None for machine in there)
            self.settled = (
                self.clock.now() - self.began > constants.NEW_TERM_RENTAL_DELAY_S
                or 0 < constants.NEW_TERM_REPORTED_RATIO * len(there) <= heard
            )
        return self.settled

    def on_job(self, job: Job, fresh: bool) -> None:
        self.wanted.set()

    def on_report(self, machine: Machine, first: bool) -> None:
        flavor = self.flavors.get(machine.hosttype)
        if first and machine.rented_this_term and flavor is not None:
            pool = (machine.hosttype, machine.site, machine.standby)
            self.boots.came(pool, machine.rented_at, self.clock.now(), flavor.bootS)

    def samples(self) -> Iterable[Sample]:
        return self.report.samples()

    def _tell(self, now: float) -> None:
        """Say what the last plan made of each team's work: seldom to operators, else for traces."""
        if not self.report.teams:
            return
        often = now - self.told_at < constants.STATUS_LOG_INTERVAL_S
        if not often:
            self.told_at = now
        level = logging.DEBUG if often else logging.INFO
        log.log(
            level, "rental plan: %s", self.report.line(), extra=decision_fields(self.fleet.token)
        )

    def refused(self) -> set[Pool]:
        """Pools that had no capacity of late."""
        now = self.clock.now()
        return {pool for pool, until in self.blocked.items() if until > now}

    async def run(self) -> None:
        flavors_at = -1e9
        while True:
            began = self.clock.now()
            try:
                if began - flavors_at > constants.FLAVORS_READ_INTERVAL_S:
                    await self._refresh_flavors()
                    flavors_at = began
                await self._refresh_list()
                if self.live():
                    await self._release()
                    if self._settle():
                        await self._rent()
            except NoAnswer as error:
                log.info("cloud: %s", error)
            pause = max(0.3, constants.MACHINE_LIST_INTERVAL_S - (self.clock.now() - began))
            self.wanted.clear()
            try:
                async with asyncio.timeout(pause):
                    await self.wanted.wait()
            except TimeoutError:
                continue
            # New work: machines take long enough to boot. The list can wait. But many
            # small jobs a second must not each cost a plan.
            gap = max(
                constants.MIN_RENTAL_PLAN_INTERVAL_S,
                constants.RENTAL_PLAN_PAUSE_RATIO * self.plan_took,
            )
            await asyncio.sleep(max(0.0, self.planned_at + gap - self.clock.now()))
            try:
                if self.live() and self._settle():
                    await self._rent()
            except NoAnswer as error:
                log.info("cloud: %s", error)

    async def _refresh_flavors(self) -> None:
        flavors = await self.cloud.flavors()
        shape = [(f.sku, f.resources, f.sites) for f in flavors]
        if shape != [(f.sku, f.resources, f.sites) for f in self.flavors.values()] or (
            not self.types.stamp
        ):
            self.types.mark_changed()
            self.book.flush_wanted.set()
        self.flavors.clear()
        self.flavors.update({flavor.sku: flavor for flavor in flavors})

    async def _refresh_list(self) -> None:
        rows, asked = await self.cloud.machines()
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
            why = self._useless(machine, machine.name in names, asked, now)
            if why:
                self._doom(machine, why)

    def _useless(self, machine: Machine, listed: bool, asked: float, now: float) -> str:
        """Why a machine is to be returned, or nothing."""
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
                if self.boots.late(pool, flavor.bootS, age) and not self.work_waits:
                    return "late, and nothing waits for it"
        elif (
            machine.reported_at is not None
            and silent > constants.SILENT_RELEASE_LEASE_RATIO * self.fleet.lease_s
        ):
            return "silent"
        deaf = machine.response_tracker.responses_lost_since
        if (
            deaf is not None
            and now - deaf > constants.SILENT_RELEASE_LEASE_RATIO * self.fleet.lease_s
        ):
            return "hears nothing"
        # Silent to the last leader and to us: a change of leader begins nothing anew.
        begun = machine.silent_since if machine.silent_since is not None else now
        patience = constants.SILENT_RELEASE_LEASE_RATIO * self.fleet.lease_s
        if silent > self.fleet.silent_s and now - begun > patience:
            return "silent"
        if machine.failures >= constants.MAX_MACHINE_FAILURES:
            # Its other tasks would fail too, or never end: they start afresh elsewhere.
            return "suspect"
        return ""

    def _doom(self, machine: Machine, why: str) -> None:
        if not machine.releasing:
            if self._boots(machine, self.clock.now()):
                self.boots.lost(
                    (machine.hosttype, machine.site, machine.standby), machine.rented_at
                )
            log.info(
                "releasing %s (%s %s): %s",
                machine.name,
                machine.hosttype,
                machine.site,
                why,
                extra=decision_fields(self.fleet.token, machine=machine.name),
            )
            machine.releasing = True
        self.doomed[machine.name] = None

    async def _release(self) -> None:
        """Return what is doomed or idle; what the cloud has confirmed is surely gone."""
        now = self.clock.now()
        patience = self.settings.operator.idle_release_s
        if self.clock.wall() - self.queues.last_submission_at > constants.SUBMISSION_LULL_S:
            # Nobody has asked for anything lately: there is less to keep machines for.
            patience = min(patience, constants.LULL_IDLE_RELEASE_S)
        coming = [[job, in_s, job.spec.tasks] for job, in_s in self.coming()]
        for machine in self.fleet.machines.values():
            if machine.attempts or machine.tasks or machine.reported_at is None:
                # The backstop for aborted work on a machine that does not answer, or does not
                # hear: it counts against its team's limit until it is proved gone, and what a
                # deaf machine reports proves nothing of an earlier leader's launches.
                silent = now - max(machine.reported_at or 0.0, machine.known_at)
                lost = silent > self.fleet.silent_s or machine.response_tracker.responses_lost
                if lost and any(a.job.aborted for a in machine.attempts.values()):
                    self._doom(machine, "aborted work on a machine that can't be asked")
                continue
            idle = now - max(machine.busy_at, self.began)
            if idle > patience and not machine.releasing and not self._kept(machine, coming):
                self._doom(machine, "idle")
        while self.doomed:
            names = list(self.doomed)[: constants.MAX_RELEASED_PER_REQUEST]
            await self.cloud.release(names)
            for name in names:
                del self.doomed[name]
                gone = self.fleet.machines.get(name)
                if gone is None:
                    continue
                for attempt in self.fleet.remove_machine(gone):
                    self.lost(attempt)

    def _kept(self, machine: Machine, coming: list[Any]) -> bool:
        """Whether an idle machine is kept for work that may run before another would be up.

        `coming`: jobs, in how many s they may run, and how many of their tasks have no machine
        yet; those that this one can take are counted off.
        """
        flavor = self.flavors.get(machine.hosttype)
        if flavor is None:
            return False
        for row in coming:
            job, in_s, tasks = row
            if tasks <= 0 or in_s > flavor.bootS:
                continue
            spec = job.spec
            if may_use_machine(spec, machine.hosttype, machine.site, machine.standby):
                row[2] -= tasks_per_machine(spec, flavor)
                if row[2] < tasks:
                    return True
        return False

    async def _rent(self) -> None:
        """Rent until nothing more is wanted or every pool that would do has refused."""
        while self.live():
            now = self.clock.now()
            shut = [pool for pool, until in self.blocked.items() if until > now]
            doubtful, probing = self._doubtful(now)
            shut += probing
            self.planned_at = now
            self.report = PlanReport()
            needs = self.waiting.needs(self.coming(), self.report)
            self.work_waits = bool(needs)
            if needs:
                closed = [*shut, *self.hires]
                have, ends = self._have(now)
                room = self.waiting.headroom(ends)
                wanted = plan_rent(needs, have, self.flavors, closed, self.boots, self.report, room)
                for pool, planned in wanted.items():
                    count = min(planned, constants.MAX_BOOT_PROBES) if pool in doubtful else planned
                    self.hire_number += 1
                    self.hires[pool] = (f"h{self.fleet.token}-{self.hire_number}", count)
            self.plan_took = self.clock.now() - now
            self._tell(now)
            if not self.hires:
                return
            for pool, (hire, count) in list(self.hires.items()):
                try:
                    names = await self.cloud.rent(hire, pool, count)
                except Refused:
                    names = []
                del self.hires[pool]
                what = decision_fields(self.fleet.token)
                log.info("rented %d of %d of %s", len(names), count, pool, extra=what)
                for name in names:
                    self.fleet.get_or_add(name, *pool).rented_this_term = True
                if len(names) < count:
                    self.blocked[pool] = self.clock.now() + constants.REFUSED_POOL_PAUSE_S

    def _doubtful(self, now: float) -> tuple[set[Pool], list[Pool]]:
        """Pools whose machines do not come up, and those of them that are being tried again."""
        booting: dict[Pool, list[float]] = {}
        for machine in self.fleet.machines.values():
            if self._boots(machine, now) and not machine.releasing:
                pool = (machine.hosttype, machine.site, machine.standby)
                booting.setdefault(pool, []).append(machine.rented_at)
        doubtful: set[Pool] = set()
        probing: list[Pool] = []
        for flavor in self.flavors.values():
            for pool in (
                (flavor.sku, site, spot) for site in flavor.sites for spot in SPOT_OPTIONS
            ):
                births = booting.get(pool, [])
                if not self.boots.doubtful(pool, flavor.bootS, births, now):
                    continue
                doubtful.add(pool)
                if any(not self.boots.late(pool, flavor.bootS, now - born) for born in births):
                    probing.append(pool)
        if doubtful != self.doubted:
            self.doubted = doubtful
            log.info("machines do not come up in time: %s", sorted(doubtful) or "nowhere any more")
        return doubtful, probing

    def _boots(self, machine: Machine, now: float) -> bool:
        """Whether a machine has yet to come up.

        Under a new leader none has reported at first; the old ones are there.
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

    def _have(self, now: float) -> tuple[list[Have], dict[Attempt, float]]:
        """Machines that serve or will: the listed, the booting, not the silent or sick.

        And in how many seconds each attempt on them is over; a service's never is by itself.
        """
        out = []
        ends: dict[Attempt, float] = {}
        for machine in self.fleet.machines.values():
            flavor = self.flavors.get(machine.hosttype)
            if flavor is None or not self.fleet.is_in_service(machine):
                continue
            pool = (machine.hosttype, machine.site, machine.standby)
            boot = 0.0
            if machine.reported_at is None and self._boots(machine, now):
                left = self.boots.left(pool, flavor.bootS, now - machine.rented_at)
                if left is None:
                    continue  # what it was rented for must come from elsewhere
                boot = left
            busy: list[tuple[float, int]] = []
            for attempt in machine.attempts.values():
                cpus = max(1, math.ceil(attempt.job.spec.vcpus - 1e-9))
                service = attempt.job.spec.shape == "service"
                ends[attempt] = NEVER if service else self.queues.remaining_run_s(attempt, now)
                busy.append((ends[attempt], cpus))
            free = max(0, int(flavor.vcpus) - sum(cpus for _, cpus in busy))
            ending = [(at, cpus) for at, cpus in busy if at < NEVER]
            out.append(Have(pool, [*ending, (boot, free)]))
        return out, ends
