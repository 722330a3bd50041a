"""What happened on a day of meetings, by what the state service, workers and users saw.

A meeting that was drawn did not always come about: a cancellation may fall before its job ran,
a machine that hangs may be idle. Each is recognised by what is kept here. Times are counted
from a day's beginning, as in its file.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from chalkgrade.experiments.troubles import Watched
from chalkgrade.region.day import Day, Fault
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.region.rules import START_TIME_S
from chalkgrade.state.leadership import LEADER_KEY

GRAIN_S = 0.001  # s; what a time may lose when it is counted from the beginning
LOOK_S = 0.05  # s; between two looks at who leads
SAMPLE_S = 1.0  # s; between two looks at what waits
FULL = 0.8  # of its limit: a team that holds so much is at it, by what its tasks take
CROWDED = 0.9  # of all CPUs: so many are held where there is more work than room
CLOSE_S = 0.1  # s; a cancellation so soon after a job's last task meets its end
MACHINES = ("hang", "deaf", "silence", "mute", "stop", "take")  # faults that choose machines


class Told(NamedTuple):
    """A user was told for the first time that a job is cancelled."""

    at: float
    name: str
    there: int  # its tasks that were on machines then


class Asked(NamedTuple):
    """A user asked for the first time for a job's end."""

    at: float
    team: str
    there: int  # its tasks that were on machines then
    unreached: int  # those of them on machines that could not be asked
    full: bool  # whether every team with a limit was at it
    ended: bool  # whether its last task had ended just before


class Change(NamedTuple):
    """Another leader's key was written."""

    at: float
    full: frozenset[str]  # teams at their limit
    unreached: frozenset[str]  # teams with tasks on machines that can't be asked


class Struck(NamedTuple):
    """A fault, and the tasks that it met on its machines: in all, and of jobs in one zone."""

    kind: str
    at: float
    met: int
    bound: int
    lasts: float


class Meet(Watched):
    """A region that keeps what meetings are recognised by."""

    def __init__(self, loop: VirtualLoop, seed: int, made: Day) -> None:
        super().__init__(loop, seed, made)
        self.told: list[Told] = []
        self.asked: list[Asked] = []
        self.copied: list[float] = []  # when late copies came
        self.given_at: list[float] = []  # when copies that were kept for a leader came
        self.held_reports: list[tuple[float, float, bool]] = []  # sent, came, to who led
        self.changes: list[Change] = []
        self.struck: list[Struck] = []
        self.left: dict[str, list[float]] = {}  # job -> when its tasks were completed
        self.crowded: list[float] = []  # when there was more work than room, urgent and not
        self.nobody: list[float] = []  # when no controller was up

    @property
    def at(self) -> float:
        return self.now - START_TIME_S

    # -- what is kept ------------------------------------------------------------------

    async def play(self) -> None:
        self.spawn(self.keep())
        await super().play()

    async def keep(self) -> None:
        seen, sampled = len(self.store.written[LEADER_KEY]), 0.0
        while True:
            await asyncio.sleep(LOOK_S)
            written = self.store.written[LEADER_KEY]
            if len(written) > seen:
                seen = len(written)
                self.changes.append(
                    Change(
                        written[-1] - START_TIME_S, self.full(), frozenset(self.unreached_teams())
                    )
                )
            if not any(self.up(member) for member in self.members):
                self.nobody.append(self.at)
            if self.at >= sampled + SAMPLE_S:
                sampled = self.at
                if self._is_crowded():
                    self.crowded.append(self.at)

    def limited(self) -> set[str]:
        return {team.name for team in self._teams.values() if team.cpus_max}

    def full(self) -> frozenset[str]:
        """Teams that are at their limit."""
        used = {name: self._team_cpus.get(name, 0.0) for name in self.limited()}
        return frozenset(n for n, cpus in used.items() if cpus >= FULL * self.limit(n))

    def unreached(self, name: str) -> bool:
        """Whether a machine can't be asked just now, or does not do what it is told."""
        hangs = self.loop.frozen.get(name, 0.0) > self.now
        mute = self.muted.get(name, 0.0) > self.now
        cut = self.cuts and all(
            self._find_cut(name, member) or self._find_cut(member, name) for member in self.members
        )
        return bool(hangs or mute or cut)

    def unreached_teams(self) -> set[str]:
        hosts = {worker.name for worker, _ in self.present()}
        silent = {name for name in hosts if self.unreached(name)}
        return {task.spec["owner"] for worker, task in self.present() if worker.name in silent}

    def _is_crowded(self) -> bool:
        cpus = sum(worker.flavor["vcpus"] for worker in self.workers.values())
        held = sum(
            task.spec["vcpus"]
            for worker in self.workers.values()
            for task in worker.tasks.values()
            if task.status != "ended" and task.spec
        )
        if not cpus or held < CROWDED * cpus:
            return False
        waiting = {
            job["spec"]["urgency"]
            for job in self.jobs.values()
            if job["accepted"] and job["over"] is None and "first" not in job
        }
        return "high" in waiting and bool(waiting - {"high"})

    async def apply_fault(self, fault: Fault) -> None:
        met: list[Any] = self.present()
        if fault.kind in MACHINES:
            met = []
            plain = self.machines

            def chosen(zone: str, count: int) -> list[str]:
                names = plain(zone, count)
                met.extend(row for row in self.present() if row[0].name in names)
                return names

            self.machines = chosen  # type: ignore[method-assign]
            try:
                await super().apply_fault(fault)
            finally:
                self.machines = plain  # type: ignore[method-assign]
        elif fault.kind == "zone":
            met = [row for row in met if row[0].zone == fault.zone]
        bound = sum(task.spec["oneZone"] or task.spec["site"] is not None for _, task in met)
        self.struck.append(Struck(fault.kind, self.at, len(met), bound, fault.seconds))
        if fault.kind not in MACHINES:
            await super().apply_fault(fault)

    def record_status(self, name: str, answer: dict[str, Any], asked: float | None = None) -> None:
        before = self.jobs[name]["aborted"]
        super().record_status(name, answer, asked)
        if before is None and self.jobs[name]["aborted"] is not None:
            self.told.append(Told(self.at, name, len(self.present_of_job(name))))

    async def abort(self, name: str, member: str = "") -> tuple[int, Any] | None:
        job = self.jobs[name]
        if "first_asked" not in job:
            job["first_asked"] = self.now
            there = self.present_of_job(name)
            unreached = sum(self.unreached(worker.name) for worker, _ in there)
            limited = self.limited()
            full = bool(limited) and len(limited) == len(self._teams) and self.full() == limited
            ended = self.now - CLOSE_S <= job.get("completed_at", 0.0) <= self.now
            team = job["spec"]["owner"]
            self.asked.append(Asked(self.at, team, len(there), unreached, full, ended))
        return await super().abort(name, member)

    def finish(self, task: str) -> None:
        if task not in self.done:
            self.left.setdefault(task.rpartition("/")[0], []).append(self.at)
        super().finish(task)

    async def _resend(self, source: str, method: str, path: str, body: Any, late: float) -> None:
        await super()._resend(source, method, path, body, late)
        self.copied.append(self.at)

    async def deliver_old_report(self, source: str, member: str, body: Any) -> None:
        await super().deliver_old_report(source, member, body)
        self.given_at.append(self.at)

    def on_delayed_report(self, source: str, target: str, sent: float) -> None:
        self.held_reports.append((sent - START_TIME_S, self.at, target in self.leaders()))

    # -- what was seen ---------------------------------------------------------------

    def led(self, begin: float, end: float) -> list[float]:
        """When the leader key was written within a time."""
        times = (at - START_TIME_S for at in self.store.written[LEADER_KEY])
        return [at for at in times if begin - GRAIN_S <= at <= end]

    def cancelled(self, begin: float, end: float) -> bool:
        """Whether a cancellation was told within a time while tasks of the job were there."""
        return any(begin - GRAIN_S <= told.at <= end and told.there for told in self.told)

    def calls(self, begin: float, end: float) -> list[Asked]:
        """Jobs that ran and were called off within a time."""
        return [one for one in self.asked if begin - GRAIN_S <= one.at <= end and one.there]

    def hit(self, kind: str, begin: float, end: float) -> bool:
        """Whether a fault of machines met tasks on them."""
        rows = [one for one in self.struck if one.kind == kind and one.met]
        return any(begin - GRAIN_S <= one.at <= end for one in rows)

    def out(self, begin: float, end: float) -> bool:
        """Whether the state service was out for longer than `cancel_s`, from a time on."""
        return any(
            one.kind == "outage" and begin - GRAIN_S <= one.at <= end and one.lasts > self.CANCEL_S
            for one in self.struck
        )

    def apart(self, begin: float, end: float) -> bool:
        """Whether a change of leader fell between two ends of one job's tasks."""
        changes = self.led(begin, end)
        return any(
            len(times) > 1 and any(times[0] < at < times[-1] for at in changes)
            for times in self.left.values()
        )

    def away(self) -> float:
        """The longest for which no controller was up; s."""
        longest = since = last = 0.0
        for at in self.nobody:
            since = at if at > last + 2 * LOOK_S else since
            last, longest = at, max(longest, at - since)
        return longest


class Meeting(NamedTuple):
    """One that was drawn: what is done, when it lasts, and whether it came about."""

    name: str
    faults: list[Fault]
    begin: float
    end: float
    came: Callable[[Meet], bool]
    change: Callable[[Day], None] | None = None  # what else the day needs for it
