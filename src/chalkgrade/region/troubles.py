"""What goes wrong in a region: troubles that are drawn, and faults that a day sets."""

import asyncio
from typing import Any

from chalkgrade import constants
from chalkgrade.region.askers import Askers
from chalkgrade.region.cloud import Cloud
from chalkgrade.region.rules import Broken
from chalkgrade.region.store import Store
from chalkgrade.region.worker import Worker
from chalkgrade.state.leadership import LEADER_KEY

NEXT_S = 0.01  # s; between two looks at whether a new leader has begun
NEXT_WITHIN_S = 1.0  # s; within which it gets the copies that were kept for it


class Troubles(Askers):
    """Crashes, cuts, silences and outages over a region's controllers, machines and services."""

    KINDS = 17  # of trouble that are drawn

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.store, self.cloud = Store(self), Cloud(self)
        self.workers: dict[str, Worker] = self.cloud.workers
        self.storm_until = 0.0
        self.given, self.given_until = 0, 0.0  # kept copies that a new leader got; until when
        self.flapped_until = 0.0  # when a process of a loop of crashes was last started

    def leaders(self) -> list[str]:
        """Who holds the lead by its own word."""
        raise NotImplementedError

    def standing(self, jobclass: str) -> str:
        """Why a class waits, in the leader's own words: for people, no rule goes by it."""
        raise NotImplementedError

    def crash(self, member: str) -> None:
        """End a controller without a signal."""
        raise NotImplementedError

    def boot(self, member: str) -> None:
        """Start a controller."""
        raise NotImplementedError

    async def restart(self, member: str, after: float) -> None:
        self.crash(member)
        await asyncio.sleep(after)
        if not self.up(member):
            self.boot(member)

    async def flap(self, member: str, times: int, every: float, after: float) -> None:
        """A loop of crashes: each process lives for a third to 5/3 of `every`; all in s."""
        for _ in range(times):
            await self.restart(member, after)
            self.flapped_until = self.now
            await asyncio.sleep(every * self.rng.uniform(1 / 3, 5 / 3))

    def troubled(self) -> bool:
        """Whether anything is in trouble now, or a process has just come back."""
        now, store = self.now, self.store
        cut = any(row[2] > now for row in self.cuts)
        state = now < max(store.outage_until, store.slow[1], *store.unavailable_until.values(), 0.0)
        frozen = any(until > now for until in self.loop.frozen.values())
        down = any(not self.up(member) for member in self.members)
        # A late transaction or copy may still come after the last one was held up.
        until, _, (_, most) = store.delayed_commits
        held = until > 0 and now < until + most
        lasting = held or now < max(self.report_copies[0], self.flapped_until)
        copied = now < max(self.saving_reports[0], self.given_until)
        mute = any(until > now for until in self.muted.values())
        users = now < max(self.at_end[0], self.odd_until, self.close_until)
        quick = now < max(self.cloud.fast_boots_until, store.answer_loss[0])
        return cut or state or frozen or down or lasting or copied or mute or users or quick

    async def election(self, times: int, every: float) -> None:
        """Restarts within a fraction of a second at every step of finding a leader; s."""
        for _ in range(times):
            for member in self.leaders() or self.members[:1]:
                self.spawn(self.restart(member, self.rng.uniform(*constants.BACK_SOON_S)))
            await asyncio.sleep(self.rng.uniform(0.0, every))
            other = self.rng.choice(self.members)
            self.spawn(self.restart(other, self.rng.uniform(*constants.BACK_SOON_S)))
            self.flapped_until = self.now
            await asyncio.sleep(self.rng.uniform(0.0, every))

    def deafen(self, names: set[str], seconds: float) -> None:
        """These machines' reports arrive, but nothing that is sent to them does."""
        self.cut({*self.members, "users"}, names, seconds, False, one_way=True)

    def mute(self, names: set[str], seconds: float) -> None:
        """These machines reach no controller; what controllers ask or tell them arrives."""
        self.muted |= dict.fromkeys(sorted(names), self.now + seconds)

    async def keep_for_next(self, seconds: float, share: float) -> None:
        """Copies of reports reach every controller in the first second of the next leader."""
        stamp = self._leader_stamp()
        self.saving_reports = (self.now + seconds, share)
        while stamp == self._leader_stamp() or not self._leader_stamp():
            await asyncio.sleep(NEXT_S)
        self.saving_reports = (min(self.now, self.saving_reports[0]), share)
        self.given_until = self.now + NEXT_WITHIN_S
        kept, self.saved_reports = self.saved_reports, {}
        for source, bodies in kept.items():
            for body in bodies:
                for member in self.members:
                    self.spawn(self.give(source, member, body))

    def _leader_stamp(self) -> int:
        """The revision at which the present leader's key was written; 0: nobody leads."""
        return self.store.keys[LEADER_KEY][1] if LEADER_KEY in self.store.keys else 0

    async def give(self, source: str, member: str, body: Any) -> None:
        """An old report arrives at a controller while a leader has just begun."""
        await asyncio.sleep(self.rng.uniform(0.0, NEXT_WITHIN_S))
        if self.up(member):
            await self.servers[member](source, "POST", "/hello", body)
            self.given += 1

    def isolate(self, member: str, seconds: float, hold: bool) -> None:
        """A controller without the state service and the others, but with its workers."""
        self.cut({member}, {*self.members, "state"} - {member}, seconds, hold)

    def back(self) -> float:
        """After how long a process that ended is back: at once or after a while; s."""
        soon = self.rng.random() < 0.5
        return self.rng.uniform(*(constants.BACK_SOON_S if soon else constants.BACK_LATE_S))

    # -- drawn ----------------------------------------------------------------------

    async def troubles(self, until: float) -> None:
        while self.now < until:
            await asyncio.sleep(self.rng.expovariate(1 / 9.0))
            self.trouble(self.rng.randrange(self.KINDS), self.rng.uniform(3, 25))

    def trouble(self, kind: int, seconds: float) -> None:
        rng, nodes = self.rng, sorted(self.members)
        leaders = self.leaders()
        member = rng.choice(leaders or nodes)
        workers = sorted(self.workers)
        hold = rng.random() < 0.5
        if kind == 0:
            self.spawn(self.restart(member, self.back()))
        elif kind == 1:
            for name in nodes:
                self.spawn(self.restart(name, self.back()))
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
                    self.spawn(self._take(name, rng.choice([0.0, 4.0])))
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
                    self.spawn(self._storm())
        elif kind == 14:
            others = {*nodes, "state", *workers} - {member}
            self.cut(
                {member}, set(rng.sample(sorted(others), len(others) // 2)), seconds, hold, True
            )
        elif kind == 15:
            self.store.slow = (rng.choice([0.02, 0.075, 0.3]), self.now + seconds * 2)
        elif kind == 16:
            for name in rng.sample(nodes, rng.randint(1, len(nodes))):
                self.spawn(self.flap(name, rng.randint(2, 6), 3.0, self.back()))

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

    async def _storm(self) -> None:
        """A user who asks many times as often, for known and unknown jobs."""
        while self.now < self.storm_until:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            known = [name for name, job in self.jobs.items() if job["accepted"]]
            if not known or self.rng.random() < 0.2:
                name = f"run-{self.rng.randrange(800000, 899999)}"
                answer = await self.ask("GET", f"/v2/runs/{name}", b"")
                if answer is not None and answer[0] == 200:
                    raise Broken(f"invented: {name}")
                continue
            name = self.rng.choice(known)
            await self.look(name)

    async def _take(self, name: str, notice: float) -> None:
        worker = self.workers.get(name)
        if worker is not None and notice:
            worker.warning = notice
            worker.changed.set()
            await asyncio.sleep(notice)
        self.cloud.remove(name)
