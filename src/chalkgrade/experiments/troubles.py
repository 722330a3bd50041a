"""Troubles of all kinds over a small region: what breaks, what is silent, what waits for long.

A day has some 25 machines, 3 or 5 controllers, pipelines, a flood of narrow urgent work and a
few wide jobs. Its troubles come alone, in pairs or all together: machines that hear nothing,
late copies of reports, controllers cut off with their workers, restarts at every step of an
election, beside crashes, cuts, outages and machines that are lost.
"""

import asyncio
import random
from typing import Any

from chalkgrade.region.day import Day, Fault, Kind, Pipe, Room, Stage, Work
from chalkgrade.region.fleet import FleetWorld, percentile, play_day
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.settings import CloudLimits, NextLimits, StateLimits, Team, Workers
from chalkgrade.state.leadership import LEADER_KEY

NEW = ("deaf", "copies", "isolate", "election")
USUAL = ("crash", "cut", "outage", "silence", "stop", "take", "freeze", "zone")
ZONES = ["a", "b", "c"]
WATCH_S = 0.05  # s; between two looks at who leads


def faults(rng: random.Random, seconds: float, machines: int) -> list[Fault]:
    """One of the new troubles, two, or all, each with usual ones beside it."""
    kinds = list(rng.choice([rng.sample(NEW, 1), rng.sample(NEW, 2), NEW]))
    kinds += rng.sample(USUAL, rng.randint(1, 3))
    out = []
    for kind in kinds:
        for _ in range(rng.randint(1, 2)):
            at, lasts = rng.uniform(8.0, seconds * 0.8), rng.uniform(4.0, 30.0)
            fault = Fault(at, kind, lasts, hold=rng.random() < 0.5)  # type: ignore[arg-type]
            fault.who = rng.choice(["leader", "leader", "others"])
            many = kind in ("deaf", "silence", "stop", "take")
            fault.count = rng.randint(1, machines // 3) if many else rng.randint(1, 2)
            if kind == "deaf":
                fault.seconds *= 2
                fault.zone = rng.choice(["", *ZONES])
            elif kind == "copies":
                fault.share = rng.uniform(0.1, 0.6)
                fault.late = rng.choice([(0.5, 8.0), (4.0, 40.0), (12.0, 90.0)])
            elif kind == "election":
                fault.times, fault.every = rng.randint(3, 10), rng.choice([0.1, 0.5, 2.0])
            elif kind == "cut":
                fault.one, fault.other = (
                    ["leader"],
                    rng.choice([["state"], ["machines"], ["others"]]),
                )
            elif kind == "zone":
                fault.zone = rng.choice(ZONES)
            elif kind == "outage":
                fault.seconds = min(lasts, 12.0)
            elif kind == "crash":
                fault.seconds = rng.choice([0.1, 0.3, 4.0])
            out.append(fault)
    return out


def day(seed: int, seconds: float = 90.0) -> Day:
    """One day; see above."""
    rng = random.Random(seed)
    controllers = rng.choice([3, 5])
    falls = StateLimits(200.0, 40.0, 16.0, 16, NextLimits(150.0, 30.0, 2.0, 5))
    up = rng.randint(2, 6)
    made = faults(rng, seconds, 3 * up)
    if rng.random() < 0.3:
        made.append(Fault(rng.uniform(5.0, seconds), "limits"))
    return Day(
        kinds=[Kind("quad", 4.0, 16.0, 8.0, 0.3, 0.1)],
        rooms=[Room("quad", zone, up + 2, spot, up) for zone in ZONES for spot in (True, False)],
        classes=[
            Work("array", ["red", "blue"], tasks=(10, 40), run_s=(4.0, 12.0), at_start=2,
                 a_minute=4.0),
            Work("urgent", ["red"], urgency="high", tasks=(1, 6), run_s=(2.0, 6.0), due_s=40.0,
                 a_minute=rng.choice([20.0, 60.0])),
            Work("wide", ["blue"], urgency="best_effort", tasks=(30, 120), vcpus=4.0,
                 memory_gb=12.0, run_s=(6.0, 12.0), savepoint_s=4.0, flush_s=1.0, at_start=1,
                 a_minute=1.0),
            Work("together", ["green"], shape="gang", tasks=(2, 6), run_s=(4.0, 8.0), a_minute=1.5),
            Work("load", ["green"], tasks=(1, 4), run_s=(2.0, 6.0)),
            Work("model", ["green"], tasks=(4, 12), run_s=(3.0, 8.0)),
            Work("publish", ["green"], urgency="high", tasks=(1, 3), run_s=(2.0, 4.0)),
        ],
        pipes=[
            Pipe([Stage("load"), Stage("model", (1, 3), [0]), Stage("publish", needs=[0, 1])],
                 6.0, 60.0, 0.15, 0.1),
        ],
        teams=[Team("red", 20.0, 60.0), Team("blue", 20.0), Team("green", 8.0)],
        zones=ZONES, seconds=seconds, calm_s=400.0, controllers=controllers,
        workers=Workers(12.0, 32.0, 3.0), state=falls, cloud=CloudLimits(5.0, 3.0), faults=made,
    )  # fmt: skip


class Watched(FleetWorld):
    """Also when each deaf machine was found, what copies changed, and how long nobody led."""

    def __init__(self, loop: VirtualLoop, seed: int, made: Day) -> None:
        super().__init__(loop, seed, made)
        self.found: list[float] = []
        self.believed = 0
        self.gaps: list[float] = []

    def deafen(self, names: set[str], seconds: float) -> None:
        super().deafen(names, seconds)
        for name in names:
            self.spawn(self._finds(name, self.now, seconds))

    async def _finds(self, name: str, begun: float, seconds: float) -> None:
        while self.now < begun + seconds and name in self.workers:
            await asyncio.sleep(0.25)
            for node in self.nodes.values():
                term = node.term if node is not None else None
                machine = term.fleet.machines.get(name) if term is not None else None
                if machine is not None and machine.response_tracker.responses_lost:
                    self.found.append(self.now - begun)
                    return

    async def _resend(self, source: str, method: str, path: str, body: Any, late: float) -> None:
        before = {
            member: node.term.fleet.machines.get(source)
            for member, node in self.nodes.items()
            if node is not None and node.term is not None
        }
        keys = {member: (m.tenure, m.seq) for member, m in before.items() if m is not None}
        await super()._resend(source, method, path, body, late)
        # One that a leader took for news although it knew a newer one.
        for member, key in keys.items():
            machine = before[member]
            if machine is not None and (machine.tenure, machine.seq) < key:
                self.believed += 1

    async def play(self) -> None:
        self.spawn(self.watch())
        await super().play()

    async def watch(self) -> None:
        """How long nobody leads, from the key's end on; outages of the state service aside."""
        since: float | None = None
        while True:
            await asyncio.sleep(WATCH_S)
            if LEADER_KEY in self.store.keys:
                if since is not None:
                    self.gaps.append(self.now - since)
                since = None
            elif since is None or self.store.is_down(""):
                since = self.now


def play(seed: int) -> dict[str, Any]:
    """One day's figures."""
    made = day(seed)
    world, broken = play_day(made, seed, Watched)
    assert isinstance(world, Watched)
    lost = [job for job in world.jobs.values() if job.get("accepted") and job["over"] is None]
    served = [*world.served("jobclass").values(), *world.served("owner").values()]
    begins = world.largest_start_delays().values()
    return {
        "broken": int(bool(broken)),
        "lost": len(lost),
        "silent_s_max": round(world.longest_silence_s, 2),
        "largest_begin_s_max": round(max(begins, default=0.0), 1),
        "served_least": round(min(served, default=1.0), 3),
        "one_way_found_s_p95": round(percentile(world.found, 0.95), 2),
        "copies_believed": world.believed,
        "elections_s_p50": round(percentile(world.gaps, 0.5), 2),
        "elections_s_p99": round(percentile(world.gaps, 0.99), 2),
        "kinds": " ".join(sorted({fault.kind for fault in made.faults})),
        "why": broken,
    }  # fmt: skip


def run(seed: int) -> dict[str, Any]:
    """For the command line."""
    return play(seed)
