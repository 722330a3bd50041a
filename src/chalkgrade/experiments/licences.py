"""Counted licences: three seats and forty jobs with faults, and what a round costs at scale."""

import asyncio
import itertools
import random
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from chalkgrade.leading.failures import FailureTracker
from chalkgrade.licences.requirements import SeatRequirements
from chalkgrade.licences.seat_constraint import SeatConstraint, UsableSeats
from chalkgrade.licences.settings import LicenceNeed, LicencePool, LicenceSettings
from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet, Report
from chalkgrade.record.jobs import Job, JobSpec, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.licences import LicenceServer, LicensedTool
from chalkgrade.region.loop import ManualClock, VirtualLoop
from chalkgrade.region.world import World, close
from chalkgrade.settings import (
    Cluster,
    Endpoints,
    Settings,
    Team,
    Workers,
)
from chalkgrade.sharing.queues import Queues
from chalkgrade.sharing.rounds import SchedulingRound

SEATS, JOBS, TTL_S, DAY_S, END_S = 3, 40, 30.0, 150.0, 1500.0


class LicenceWorld(World):
    """A region whose tool runs under three seats, with a server that has other users."""

    KINDS = 8
    FAULTS = ("down", "slow", "mad", "forget", "stale", "fewer", "crash", "restart", "cut", "take")

    def prepare(self, on: bool, people: bool) -> None:
        """Licences on or off; the tool counts seats either way."""
        self.licences = LicenceServer(self, {"ocr": (SEATS, TTL_S)})
        self.servers["licences"] = self.licences.handle
        self.licensed_tool = LicensedTool(self, {"ocr": SEATS})
        self.licensed_tool.server = self.licences
        self.licensed_tool.needs = {"scan": {"ocr": 1}, "rebuild": {"ocr": 1}}
        self.people = people
        self.waits = HdrHistogram(1, 3_600_000, 3)  # ms from an urgent submission to its start
        if on:
            pool = LicencePool("ocr", SEATS, "10.0.0.2:3", timeout_s=TTL_S)
            needs = [LicenceNeed("ocr", "scan"), LicenceNeed("ocr", "rebuild")]
            self.parts["licences"] = LicenceSettings([pool], needs)

    def job(self, number: int, urgent: bool) -> dict[str, Any]:
        plain = {"owner": self.rng.choice(["red", "blue"]), "shape": "batch", "tasks": 1}
        plain |= {"vcpus": 1.0, "memoryGb": 2.0, "oneZone": False, "spread": False}
        plain |= {"hosttypes": None, "site": None, "standby": True, "bundle": "img-0"}
        plain |= {"jobclass": "rebuild", "urgency": "high", "expectedS": 8.0, "dueS": 60.0}
        if not urgent:
            plain |= {"jobclass": "scan", "urgency": "best_effort", "dueS": None}
            plain |= {"expectedS": self.rng.uniform(8.0, 20.0)}
            plain |= {"savepointS": 5.0, "flushS": 1.0} if number % 2 else {}
        return self.spec(number, **plain)

    def fault(self, kind: str) -> None:
        rng, server, now = self.rng, self.licences, self.now
        assert server is not None and self.licensed_tool is not None
        lasts = rng.uniform(3.0, 20.0)
        if kind == "down":
            server.down_until = now + lasts
        elif kind == "slow":
            server.slow_until = now + lasts
        elif kind == "mad":
            server.nonsense_until = now + lasts
        elif kind == "forget":
            server.restart()
        elif kind == "stale":
            server.stale_until = now + lasts
        elif kind == "fewer":
            # The count is lowered below what runs: the tool lets what runs go on.
            server.pools["ocr"].seats = rng.choice([1, 2])
            self.loop.call_later(lasts, setattr, server.pools["ocr"], "seats", SEATS)
        elif kind == "crash":
            self.start_trouble(0, lasts)
        elif kind == "restart":
            self.start_trouble(1, lasts)
        elif kind == "cut":
            self.start_trouble(4, lasts)
        elif kind == "take":
            self.start_trouble(8, lasts)


async def _day(world: LicenceWorld, faults: bool) -> None:
    assert world.licences is not None and world.licensed_tool is not None
    tool, server = world.licensed_tool, world.licences
    for member in world.members:
        world.boot(member)
    world.spawn(world.sweep())
    begin = world.now

    async def one(number: int, at: float, urgent: bool) -> None:
        await asyncio.sleep(at)
        spec = world.job(number, urgent)
        asked = world.now
        world.spawn(world.user(spec, None))
        while urgent and not any(t.spec["nameId"] == spec["nameId"] for _, t in world.present()):
            if f"{spec['nameId']}/0" in world.done:
                break
            await asyncio.sleep(0.1)
        if urgent:
            world.waits.record_value(int((world.now - asked) * 1000))

    for number in range(1, JOBS + 1):
        urgent = number % 10 == 0
        world.spawn(one(number, 20.0 + 2.0 * number if urgent else number * 0.1, urgent))
    if world.people:
        world.spawn(tool.simulate_people(server, "ocr", begin + DAY_S))
    if faults:

        async def troubles() -> None:
            while world.now < begin + DAY_S:
                await asyncio.sleep(world.rng.expovariate(1 / 12.0))
                world.fault(world.rng.choice(world.FAULTS))

        world.spawn(troubles())
    warm = False
    while world.now < begin + END_S:
        await asyncio.sleep(0.1)
        if world.failure is not None:
            raise world.failure
        if not warm and any(tool.running["ocr"]):
            warm, tool.since = True, world.now  # seats idle until the first machine is up
        if warm:
            tool.count_seat_time()
        if len(world.jobs) == JOBS and all(job["over"] for job in world.jobs.values()):
            return


def play(seed: int, on: bool, faults: bool) -> LicenceWorld:
    """One day of forty jobs; rules of the protocol are checked as in every day."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = LicenceWorld(loop, seed)
    world.prepare(on, people=faults)
    try:
        loop.run_until_complete(_day(world, faults))
    finally:
        close(world)
    return world


def figures(world: LicenceWorld) -> dict[str, float]:
    """What a day came to."""
    tool = world.licensed_tool
    assert tool is not None
    done = sum(job["over"] == "done" for job in world.jobs.values())
    return {
        "seats": SEATS,
        "jobs": JOBS,
        "peak_held": tool.peak["ocr"],
        "done": done,
        "failed_for_want_of_seat": tool.unlicensed_failures,
        "utilisation": round(tool.used_seat_s["ocr"] / tool.available_seat_s["ocr"], 3)
        if tool.available_seat_s["ocr"]
        else 0.0,
        "urgent_wait_s": round(world.waits.get_value_at_percentile(95) / 1000, 1),
        "machines_rented": world.cloud.number,
        "took_s": round(world.now - 1000.0, 1),
    }


def plain_settings(teams: list[Team]) -> Settings:
    """Settings for what needs a term's decisions, not its world."""
    cluster = Cluster(Workers(lease_s=12.0, cancel_s=32.0), teams)
    return Settings("n", "x:1", "x:2", Endpoints("x:3", "x:4"), cluster)


POOLS, POOL_SEATS, MACHINES, CPUS, TASKS, JOB_TASKS = 200, 25, 500, 16, 20_000, 10


def round_cost(on: bool, rounds: int = 12, seed: int = 1) -> float:
    """Seconds of processor time a round takes at scale, with seats or without.

    500 machines of 16 CPUs, 20,000 one-CPU tasks in 2,000 jobs of two teams, 200 pools
    of 25 seats; between rounds two in a hundred tasks end.
    """
    rng, clock = random.Random(seed), ManualClock()
    needs = [LicenceNeed(f"p{n}", f"class{n}") for n in range(POOLS)]
    licences = LicenceSettings([LicencePool(f"p{n}", POOL_SEATS) for n in range(POOLS)], needs)
    teams = [Team("red"), Team("blue")]
    settings = plain_settings(teams)
    flavors = {"big": Flavor("big", float(CPUS), 64.0, ["a", "b"])}
    fleet, queues = Fleet(clock, 1, 12.0, 3.0), Queues(settings, clock, flavors)
    log, jobs = OpLog(16 * 1024), dict[str, Job]()
    table = SeatRequirements(licences)
    gates = [SeatConstraint(table, queues, lambda p: UsableSeats(POOL_SEATS))] if on else []
    faults = FailureTracker(1, clock)
    for number in range(TASKS // JOB_TASKS):
        spec = JobSpec(
            f"run-{number:06d}", f"class{number % POOLS}", teams[number // POOLS % 2].name, "batch",
            "standard", JOB_TASKS, 1.0, 0.0, 2.0, f"img-{number % 6}", 0.5, False, False, True,
            30.0, 0.0, 0.0,
        )  # fmt: skip
        jobs[spec.nameId] = Job(JobValue(spec, clock.wall() + number * 1e-3), 1, log)
    seqs = itertools.count(1)
    took = 0.0
    for turn in range(rounds):
        clock.at += 1.0
        for number in range(MACHINES):
            name = f"host-{number:06d}"
            fleet.accept_report(Report(name, 1, next(seqs), 1, "big", "ab"[number % 2]))
        began = time.process_time()
        SchedulingRound(
            jobs, fleet, {t.name: t for t in teams}, flavors, queues, clock, True, gates
        ).run()
        if turn > 1:  # the first ones fill the machines
            took += time.process_time() - began
        for job in jobs.values():
            for attempt in list(job.live.values()):
                if rng.random() < 0.02:
                    job.finish(attempt, True)
                    fleet.machines[attempt.machine].detach(attempt)
                    faults.on_ended(fleet.machines[attempt.machine], attempt, "done")
        log.pending.clear()
        log.undurable_ends.clear()
    return took / (rounds - 2)


def run(seed: int) -> dict[str, Any]:
    """All figures: with licences on without and with faults, off, and the scale case."""
    without, with_ = round_cost(False), round_cost(True)
    return {
        **figures(play(seed, True, True)),
        "no_faults": figures(play(seed, True, False)),
        "off": figures(play(seed, False, False)),
        "round_ms": round(1000 * with_, 1),
        "round_cost_ratio": round(with_ / without, 3),
    }
