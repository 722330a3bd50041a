"""Two troubles at once: meetings that are drawn, whether they came about, and what they broke.

Each meeting is a row of faults that begin together at some moment of a day, and a look at
what really happened then, by what the state service, workers and users saw. A day whose
meetings did not all come about is no pass: it is counted apart.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from chalkgrade.experiments import shrinking
from chalkgrade.experiments.troubles import Watched
from chalkgrade.region.day import Day, Fault, Kind, Pipe, Room, Stage, Work
from chalkgrade.region.fleet import percentile, play_day
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.settings import CloudLimits, StateLimits, Team, Workers
from chalkgrade.state.leadership import LEADER_KEY

ZONES = ["a", "b", "c"]
WORKERS = Workers(12.0, 32.0, 3.0)


class Told(NamedTuple):
    """A user was told for the first time that a job is cancelled."""

    at: float
    name: str
    there: int  # its tasks that were on machines then


class Meet(Watched):
    """Also what each meeting is recognised by."""

    def __init__(self, loop: VirtualLoop, seed: int, made: Day) -> None:
        super().__init__(loop, seed, made)
        self.told: list[Told] = []
        self.copied: list[float] = []  # when late copies came
        self.struck: list[tuple[str, float, int]] = []  # fault, when, tasks it met on machines
        self.left: dict[str, list[float]] = {}  # job -> when its tasks were completed

    async def fault(self, fault: Fault) -> None:
        met = len(self._here)
        if fault.kind in ("hang", "deaf", "silence"):
            plain, names = self.machines, list[str]()

            def chosen(zone: str, count: int) -> list[str]:
                names.extend(plain(zone, count))
                return names

            self.machines = chosen  # type: ignore[method-assign]
            try:
                await super().fault(fault)
            finally:
                self.machines = plain  # type: ignore[method-assign]
            met = sum(worker.name in names for worker in self._here.values())
        else:
            self.struck.append((fault.kind, self.now, met))
            await super().fault(fault)
            return
        self.struck.append((fault.kind, self.now, met))

    def heard(self, name: str, answer: dict[str, Any], asked: float | None = None) -> None:
        before = self.jobs[name]["aborted"]
        super().heard(name, answer, asked)
        if before is None and self.jobs[name]["aborted"] is not None:
            self.told.append(Told(self.now, name, len(self.of_job(name))))

    def finish(self, task: str) -> None:
        if task not in self.done:
            self.left.setdefault(task.rpartition("/")[0], []).append(self.now)
        super().finish(task)

    async def _copy(self, source: str, method: str, path: str, body: Any, late: float) -> None:
        await super()._copy(source, method, path, body, late)
        self.copied.append(self.now)

    # -- what was seen ---------------------------------------------------------------

    def led(self, begin: float, end: float) -> list[float]:
        """When the leader key was written within a time."""
        return [at for at in self.store.written[LEADER_KEY] if begin <= at <= end]

    def cancelled(self, begin: float, end: float) -> bool:
        """Whether a cancellation was told within a time while tasks of the job were there."""
        return any(begin <= told.at <= end and told.there for told in self.told)

    def hit(self, kind: str, begin: float, end: float) -> bool:
        """Whether a fault of machines met tasks on them."""
        return any(k == kind and begin <= at <= end and met for k, at, met in self.struck)

    def apart(self, begin: float, end: float) -> bool:
        """Whether a change of leader fell between two ends of one job's tasks."""
        changes = self.led(begin, end)
        return any(
            len(times) > 1 and any(times[0] < at < times[-1] for at in changes)
            for times in self.left.values()
        )


Came = Callable[[Meet], bool]
Maker = Callable[[random.Random, float], "Meeting"]


class Meeting(NamedTuple):
    """One that was drawn: what is done, when it lasts, and whether it came about."""

    name: str
    faults: list[Fault]
    begin: float
    end: float
    came: Came


def fault(at: float, kind: Any, seconds: float = 10.0, **fields: Any) -> Fault:
    """One row of a day's faults."""
    return Fault(at, kind, seconds, **fields)


def isolated(rng: random.Random, at: float) -> Meeting:
    """1: a leader without state service and controllers; jobs cancelled through the next."""
    lasts = rng.uniform(12.0, 45.0)
    faults = [fault(at, "isolate", lasts, hold=rng.random() < 0.5)]
    if rng.random() < 0.4:
        faults.append(fault(at + rng.uniform(0.0, lasts), "outage", rng.uniform(5.0, 20.0)))
    end = at + lasts
    return Meeting(
        "isolated", faults, at, end + 5, lambda w: bool(w.led(at, end)) and w.cancelled(at, end)
    )


def refused(rng: random.Random, at: float) -> Meeting:
    """2: the state service refuses the leader alone and then everybody, or is slow."""
    gap, lasts = rng.uniform(2.0, 12.0), rng.uniform(34.0, 60.0)
    alone = rng.uniform(3.0, 20.0)
    faults = [fault(at, "refuse", alone), fault(at + gap, "outage", lasts)]
    if rng.random() < 0.5:
        faults.append(fault(max(0.0, at - 10.0), "slow", 20.0, count=rng.randint(1, 4)))
    if rng.random() < 0.5:
        faults.append(fault(at + gap + lasts, "refuse", alone))
    end = at + gap + lasts + 10.0
    return Meeting("refused", faults, at, end, lambda w: w.cancelled(at - 1.0, end))


def held(rng: random.Random, at: float) -> Meeting:
    """3: commands and answers held for seconds, the leader changed in between."""
    lasts, count = rng.uniform(2.0, 30.0), rng.randint(2, 8)
    kind = rng.choice(["hang", "silence"])
    faults = [fault(at, kind, lasts, count=count, hold=True)]
    faults.append(fault(at + rng.uniform(0.0, lasts), "crash", rng.choice([0.1, 0.4, 4.0])))
    end = at + lasts + 8.0
    return Meeting("held", faults, at, end, lambda w: w.hit(kind, at, end) and bool(w.led(at, end)))


def unreached(rng: random.Random, at: float) -> Meeting:
    """4: a leader ends while machines with long tasks can't be reached, or do not hear."""
    kind = rng.choice(["deaf", "silence"])
    lasts = rng.uniform(6.0, 40.0)
    faults = [fault(at, kind, lasts, count=rng.randint(2, 8), hold=rng.random() < 0.5)]
    faults.append(fault(at + rng.uniform(0.2, 5.0), "crash", rng.choice([0.2, 1.5, 6.0])))
    end = at + lasts + 8.0
    return Meeting(
        "unreached", faults, at, end, lambda w: w.hit(kind, at, end) and bool(w.led(at, end))
    )


def apart(rng: random.Random, at: float) -> Meeting:
    """5: jobs of two or three tasks whose ends lie far apart across changes of leader."""
    faults, now = [], at
    for _ in range(rng.randint(1, 4)):
        faults.append(fault(now, "crash", rng.choice([0.1, 0.5, 3.0, 8.0]), count=1))
        now += rng.uniform(3.0, 12.0)
    return Meeting("apart", faults, at, now + 8.0, lambda w: w.apart(at, now + 8.0))


def copies(rng: random.Random, at: float) -> Meeting:
    """6: old reports after newer ones, of earlier sessions and at other leaders."""
    lasts = rng.uniform(15.0, 40.0)
    late = rng.choice([(0.5, 8.0), (2.0, 40.0), (12.0, 90.0)])
    faults = [fault(at, "copies", lasts, share=rng.uniform(0.3, 0.8), late=late)]
    faults.append(fault(at + rng.uniform(3.0, lasts), "crash", rng.choice([0.1, 0.5, 4.0])))
    end = at + lasts + late[1]
    return Meeting(
        "copies", faults, at, end,
        lambda w: any(at <= one <= end for one in w.copied) and bool(w.led(at, end)),
    )  # fmt: skip


def handed(rng: random.Random, at: float) -> Meeting:
    """7: controllers hand over and back, all end, one is back at once."""
    kind = rng.choice(["handover", "all", "election"])
    if kind == "handover":  # the leader hears no worker and gives the lead away, maybe again
        faults = [fault(at, "cut", 14.0, one=["leader"], other=["machines"])]
        faults.append(fault(at + 16.0, "cut", 14.0, one=["leader"], other=["machines"]))
        end = at + 40.0
    elif kind == "all":
        faults = [
            fault(at, "crash", rng.choice([0.1, 0.6, 1.5]), count=1),
            fault(at, "crash", rng.uniform(2.0, 6.0), who="others", count=5),
        ]
        end = at + 10.0
    else:
        times = rng.randint(3, 8)
        faults = [fault(at, "election", times=times, every=rng.choice([0.1, 0.5, 2.0]))]
        end = at + 4.0 * times
    return Meeting("handed", faults, at, end, lambda w: bool(w.led(at, end)))


def late_writes(rng: random.Random, at: float) -> Meeting:
    """8: transactions without an answer that are carried out late."""
    lasts = rng.uniform(8.0, 25.0)
    faults = [fault(at, "late_writes", lasts, share=rng.uniform(0.1, 0.5), late=(2.0, 12.0))]
    if rng.random() < 0.6:
        faults.append(fault(at + rng.uniform(1.0, lasts), "crash", rng.choice([0.1, 0.5, 4.0])))
    return Meeting(
        "late_writes", faults, at, at + lasts + 12.0,
        lambda w: w.store.late_applied + w.store.late_refused > 0,
    )  # fmt: skip


MEETINGS = (isolated, refused, held, unreached, apart, copies, handed, late_writes)


def day(
    seed: int, makers: Sequence[Maker] = (), seconds: float = 100.0
) -> tuple[Day, list[Meeting]]:
    """One day with two meetings, at one time or one within the other; drawn if not named."""
    rng = random.Random(seed)
    large = seed % 25 == 24  # a fleet of 600 costs as much as ten small ones
    controllers = rng.choice([3, 5])
    first = rng.uniform(14.0, 30.0)
    second = first + rng.choice([0.0, rng.uniform(0.0, 15.0)])
    makers = makers or rng.sample(MEETINGS, 2)
    chosen = [make(rng, at) for make, at in zip(makers, (first, second), strict=False)]
    ends = max(meeting.end for meeting in chosen)
    times = 5 if large else 1
    up = 100 if large else rng.randint(3, 6)
    return Day(
        kinds=[Kind("quad", 4.0, 16.0, 8.0, 0.3, 0.1)],
        rooms=[
            Room("quad", zone, int(up * 1.5), spot, up) for zone in ZONES for spot in (True, False)
        ],
        classes=[
            Work("long", ["blue"], tasks=(4, 8), run_s=(25.0, 60.0), savepoint_s=8.0, flush_s=2.0,
                 at_start=6 * times, a_minute=4.0 * times, cancelled=0.6,
                 cancel_s=(max(2.0, first - 6.0), first + 25.0)),
            Work("pair", ["red", "green"], tasks=(2, 3), run_s=(2.0, 40.0), at_start=4 * times,
                 a_minute=8.0 * times, cancelled=0.1),
            Work("urgent", ["red"], urgency="high", tasks=(1, 6), run_s=(2.0, 6.0), due_s=40.0,
                 a_minute=15.0 * times),
            Work("whole", ["blue"], urgency="best_effort", tasks=(2, 8), vcpus=4.0, memory_gb=12.0,
                 run_s=(6.0, 20.0), at_start=1 * times, a_minute=2.0 * times),
            Work("load", ["green"], tasks=(2, 3), run_s=(2.0, 12.0)),
            Work("publish", ["green"], urgency="high", tasks=(1, 3), run_s=(2.0, 4.0)),
        ],
        pipes=[Pipe([Stage("load"), Stage("load", needs=[0]), Stage("publish", needs=[0, 1])],
                    4.0 * times, 60.0, 0.15, 0.3)],
        teams=[Team("red", 20.0 * times, 60.0 * times), Team("blue", 20.0 * times),
               Team("green", 8.0 * times)],
        zones=ZONES, seconds=max(seconds, ends), calm_s=400.0, controllers=controllers,
        workers=WORKERS, state=StateLimits(200.0, 40.0), cloud=CloudLimits(5.0, 3.0),
        faults=[fault for meeting in chosen for fault in meeting.faults],
    ), chosen  # fmt: skip


def play(seed: int, *makers: Maker) -> dict[str, Any]:
    """One day's figures."""
    made, chosen = day(seed, makers)
    world, broken = play_day(made, seed, Meet)
    assert isinstance(world, Meet)
    return figures(world, broken, chosen)


def figures(world: Meet, broken: str, chosen: list[Meeting]) -> dict[str, Any]:
    begin = 1000.0
    lost = [job for job in world.jobs.values() if job.get("accepted") and job["over"] is None]
    served = [*world.served("jobclass").values(), *world.served("owner").values()]
    begins = world.largest_begin().values()
    shifted = [
        meeting.came(_Shifted(world, begin))  # type: ignore[arg-type]
        for meeting in chosen
    ]
    return {
        "broken": int(bool(broken)),
        "rule": broken.partition(":")[0],
        "lost": len(lost),
        "came_about": int(all(shifted)),
        "missing": " ".join(m.name for m, came in zip(chosen, shifted, strict=True) if not came),
        "meetings": " ".join(meeting.name for meeting in chosen),
        "silent_s_max": round(world.silent_most, 2),
        "gone_s_max": round(world.gone_most, 2),
        "served_least": round(min(served, default=1.0), 3),
        "largest_begin_s_max": round(max(begins, default=0.0), 1),
        "work_lost_s": round(world.lost, 1),
        "late_writes_applied": world.store.late_applied,
        "late_writes_refused": world.store.late_refused,
        "reports_late": len(world.copied),
        "copies_believed": world.believed,
        "elections_s_p99": round(percentile(world.gaps, 0.99), 2),
        "why": broken,
    }


class _Shifted:
    """The world with times counted from its beginning, as a day's are."""

    def __init__(self, world: Meet, begin: float) -> None:
        self._world, self._begin = world, begin
        self.store = world.store
        self.copied = [at - begin for at in world.copied]

    def led(self, begin: float, end: float) -> list[float]:
        found = self._world.led(begin + self._begin, end + self._begin)
        return [at - self._begin for at in found]

    def cancelled(self, begin: float, end: float) -> bool:
        return self._world.cancelled(begin + self._begin, end + self._begin)

    def hit(self, kind: str, begin: float, end: float) -> bool:
        return self._world.hit(kind, begin + self._begin, end + self._begin)

    def apart(self, begin: float, end: float) -> bool:
        return self._world.apart(begin + self._begin, end + self._begin)


def run(seed: int) -> dict[str, Any]:
    """For the command line; a day that broke a rule comes with a small one that does, too."""
    found = play(seed)
    if found["broken"]:
        found["day"] = shrinking.text(shrinking.shrink(day(seed)[0], seed))
    return found
