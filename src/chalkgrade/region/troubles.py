"""Faults of a simulated region: drawn at random, or set at fixed times by a day."""

import asyncio
from typing import Any

from chalkgrade import constants
from chalkgrade.region.adversarial_users import AdversarialUsers
from chalkgrade.region.cloud import Cloud
from chalkgrade.region.rules import Broken
from chalkgrade.region.store import Store
from chalkgrade.region.worker import Worker
from chalkgrade.state.leadership import LEADER_KEY

LEADER_CHECK_INTERVAL_S = 0.01  # between two checks for a new leader
OLD_REPORTS_WITHIN_S = 1.0  # time within which a new leader gets saved reports


class Troubles(AdversarialUsers):
    """Injects crashes, network cuts, one-way losses and outages into a simulated region."""

    KINDS = 17  # number of fault kinds that are drawn at random

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.store, self.cloud = Store(self), Cloud(self)
        self.workers: dict[str, Worker] = self.cloud.workers
        self.storm_until = 0.0
        # Saved reports that a new leader got, and until when it may get some.
        self.old_reports_delivered, self.old_reports_until = 0, 0.0
        self.last_flap_at = 0.0  # last restart within a crash loop

    def waiting_reason(self, jobclass: str) -> str:
        """Why a class waits, as the leader reports it; only for texts, no rule depends on it."""
        raise NotImplementedError

    def crash(self, member: str) -> None:
        """Kill a controller without a shutdown signal."""
        raise NotImplementedError

    def boot(self, member: str) -> None:
        """Start a controller."""
        raise NotImplementedError

    async def restart(self, member: str, after: float) -> None:
        """Crash a controller and start it again after this many seconds."""
        self.crash(member)
        await asyncio.sleep(after)
        if not self.up(member):
            self.boot(member)

    async def flap(self, member: str, times: int, every: float, after: float) -> None:
        """Crash a controller repeatedly; each process lives for 1/3 to 5/3 of `every` (seconds)."""
        for _ in range(times):
            await self.restart(member, after)
            self.last_flap_at = self.now
            await asyncio.sleep(every * self.rng.uniform(1 / 3, 5 / 3))

    def is_troubled(self) -> bool:
        """Whether any fault is active now, or a controller is down."""
        now, store = self.now, self.store
        cut = any(row[2] > now for row in self.cuts)
        state = now < max(store.outage_until, store.slow[1], *store.unavailable_until.values(), 0.0)
        frozen = any(until > now for until in self.loop.frozen.values())
        down = any(not self.up(member) for member in self.members)
        # A delayed transaction or copy may still arrive after the last one was delayed.
        until, _, (_, most) = store.delayed_commits
        held = until > 0 and now < until + most
        lasting = held or now < max(self.report_copies[0], self.last_flap_at)
        copied = now < max(self.saving_reports[0], self.old_reports_until)
        mute = any(until > now for until in self.muted.values())
        users = now < max(
            self.cancelling_at_end[0],
            self.odd_requests_until,
            self.close_checks_until,
            self.repeats_until,
        )
        quick = now < max(self.cloud.fast_boots_until, store.answer_loss[0])
        return cut or state or frozen or down or lasting or copied or mute or users or quick

    async def election(self, times: int, every: float) -> None:
        """Restart controllers at every step of leader elections, `every` seconds apart at most."""
        for _ in range(times):
            for member in self.leaders() or self.members[:1]:
                self.spawn(self.restart(member, self.rng.uniform(*constants.FAST_RESTART_RANGE_S)))
            await asyncio.sleep(self.rng.uniform(0.0, every))
            other = self.rng.choice(self.members)
            self.spawn(self.restart(other, self.rng.uniform(*constants.FAST_RESTART_RANGE_S)))
            self.last_flap_at = self.now
            await asyncio.sleep(self.rng.uniform(0.0, every))

    def deafen(self, names: set[str], seconds: float) -> None:
        """Drop everything that is sent to these machines; their own reports arrive."""
        self.cut({*self.members, "users"}, names, seconds, False, one_way=True)

    def mute(self, names: set[str], seconds: float) -> None:
        """Drop reports of these machines; requests of controllers to them arrive."""
        self.muted |= dict.fromkeys(sorted(names), self.now + seconds)

    async def resend_to_next_leader(self, seconds: float, share: float) -> None:
        """Save copies of reports and deliver them to all controllers once a new leader starts.

        The copies arrive within the first second of that leader.
        """
        stamp = self._leader_revision()
        self.saving_reports = (self.now + seconds, share)
        while stamp == self._leader_revision() or not self._leader_revision():
            await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
        self.saving_reports = (min(self.now, self.saving_reports[0]), share)
        self.old_reports_until = self.now + OLD_REPORTS_WITHIN_S
        kept, self.saved_reports = self.saved_reports, {}
        for source, bodies in kept.items():
            for body in bodies:
                for member in self.members:
                    self.spawn(self.deliver_old_report(source, member, body))

    def _leader_revision(self) -> int:
        """The revision at which the current leader's key was written; 0 without a leader."""
        return self.store.keys[LEADER_KEY][1] if LEADER_KEY in self.store.keys else 0

    async def deliver_old_report(self, source: str, member: str, body: Any) -> None:
        """Deliver a saved report to a controller within the first second of a leader."""
        await asyncio.sleep(self.rng.uniform(0.0, OLD_REPORTS_WITHIN_S))
        if self.up(member):
            await self.servers[member](source, "POST", "/hello", body)
            self.old_reports_delivered += 1

    def isolate(self, member: str, seconds: float, hold: bool) -> None:
        """Cut a controller off from the state service and its peers, but not from the workers."""
        self.cut({member}, {*self.members, "state"} - {member}, seconds, hold)

    def restart_delay_s(self) -> float:
        """A random delay in seconds before a crashed process restarts: short or long."""
        soon = self.rng.random() < 0.5
        return self.rng.uniform(
            *(constants.FAST_RESTART_RANGE_S if soon else constants.SLOW_RESTART_RANGE_S)
        )

    # -- random faults --------------------------------------------------------------

    async def run_troubles(self, until: float) -> None:
        """Start random faults, one in 9 s on average, until the given time."""
        while self.now < until:
            await asyncio.sleep(self.rng.expovariate(1 / 9.0))
            self.start_trouble(self.rng.randrange(self.KINDS), self.rng.uniform(3, 25))

    def start_trouble(self, kind: int, seconds: float) -> None:
        """Start one fault of the given kind for about this many seconds.

        Kinds from `KINDS` up are not drawn here; subclasses use them.
        """
        rng, nodes = self.rng, sorted(self.members)
        leaders = self.leaders()
        member = rng.choice(leaders or nodes)
        workers = sorted(self.workers)
        hold = rng.random() < 0.5
        if kind == 0:
            self.spawn(self.restart(member, self.restart_delay_s()))
        elif kind == 1:
            for name in nodes:
                self.spawn(self.restart(name, self.restart_delay_s()))
        elif kind == 2:
            self.store.outage(seconds)
        elif kind == 3:
            self.store.unavailable_until[member] = self.now + seconds
        elif kind == 4 and workers:
            chosen = rng.sample(workers, min(len(workers), rng.randrange(1, 4)))
            self.cut(set(chosen), {*nodes, "users"}, seconds * 1.5, hold)
        elif kind == 5:
            self.cut({member}, {"state"}, seconds, hold)
        elif kind == 6:
            self.cut({member}, {*nodes, "state", "cloud", "users", *workers}, seconds, hold)
        elif kind == 7:
            self.cut(
                {*nodes[::2], *(w for w in workers if self.workers[w].zone == "a")},
                {*nodes[1::2], *(w for w in workers if self.workers[w].zone == "b")},
                seconds,
                hold,
            )
        elif kind == 8 and workers:
            for name in rng.sample(workers, min(3, len(workers))):
                if self.workers[name].machine["standby"]:
                    self.spawn(self._preempt(name, rng.choice([0.0, 4.0])))
        elif kind == 9 and workers:
            self.workers[rng.choice(workers)].sick = True
        elif kind == 10:
            self.cut({member}, set(workers), seconds, hold)
        elif kind == 11:
            self.loop.freeze(member, self.now + seconds * 3)
        elif kind == 12:
            self.cloud.boot_faults = rng.choice(
                [(0.0, 0.05, self.now + 60), (0.5, 4.0, self.now + 60), (1.0, 1.0, self.now + 40)]
            )
        elif kind == 13:
            if self.now >= self.storm_until:
                self.storm_until = self.now + seconds
                for _ in range(20):
                    self.spawn(self._query_rapidly())
        elif kind == 14:
            others = {*nodes, "state", *workers} - {member}
            self.cut(
                {member}, set(rng.sample(sorted(others), len(others) // 2)), seconds, hold, True
            )
        elif kind == 15:
            self.store.slow = (rng.choice([0.02, 0.075, 0.3]), self.now + seconds * 2)
        elif kind == 16:
            for name in rng.sample(nodes, rng.randint(1, len(nodes))):
                self.spawn(self.flap(name, rng.randint(2, 6), 3.0, self.restart_delay_s()))

        elif kind == 17 and workers:
            chosen = rng.sample(workers, min(len(workers), rng.randrange(1, 5)))
            self.deafen(set(chosen), seconds * 3)
        elif kind == 18:
            late = rng.choice([(0.5, 8.0), (4.0, 40.0), (12.0, 90.0)])
            self.report_copies = (self.now + seconds * 2, 0.3, late)
        elif kind == 19:
            self.isolate(member, seconds, hold)
        elif kind == 20:
            self.spawn(self.election(rng.randint(2, 8), rng.choice([0.1, 0.5, 2.0])))

    async def _query_rapidly(self) -> None:
        """A user that polls known and unknown jobs many times as often as usual."""
        while self.now < self.storm_until:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            accepted = [name for name, job in self.jobs.items() if job["accepted"]]
            if not accepted or self.rng.random() < 0.2:
                name = f"run-{self.rng.randrange(800000, 899999)}"
                answer = await self.send_request("GET", f"/v2/runs/{name}", b"")
                if answer is not None and answer[0] == 200:
                    raise Broken(f"invented: {name}")
                continue
            name = self.rng.choice(accepted)
            await self.query_status(name)

    async def _preempt(self, name: str, notice: float) -> None:
        worker = self.workers.get(name)
        if worker is not None and notice:
            worker.warning = notice
            worker.changed.set()
            await asyncio.sleep(notice)
        self.cloud.remove(name)
