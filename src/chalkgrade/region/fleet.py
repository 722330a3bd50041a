"""Simulates a day from a day file and computes its figures."""

import asyncio
import math
from typing import Any

import msgspec

from chalkgrade.region.day import Day, Fault, Pipe, Work, controller_names
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.region.rules import START_TIME_S, Broken
from chalkgrade.region.world import World, close, wait_for_jobs
from chalkgrade.state.leadership import LEADER_KEY


class FleetWorld(World):
    """A simulated region as a day file describes it, with the faults of the file."""

    def __init__(self, loop: VirtualLoop, seed: int, day: Day) -> None:
        self.day = day
        self.MEMBERS, self.ZONES = tuple(controller_names(day)), tuple(day.zones)
        workers = day.workers
        self.LEASE_S, self.CANCEL_S = workers.lease_s, workers.cancel_s
        self.REPORT_S = workers.report_s
        limits = day.state
        self.STATE = msgspec.to_builtins(limits)
        self.CLOUD = {"rps": day.cloud.rps, "list_lag_s": day.cloud.list_lag_s}
        self.TEAMS = tuple(
            {name: getattr(team, name) for name in team.__struct_fields__} for team in day.teams
        )
        self.ROOMS = {(room.kind, room.zone, room.spot): room.count for room in day.rooms}
        self.FLAVORS = tuple(
            {
                "sku": kind.name,
                "vcpus": kind.vcpus,
                "gpus": kind.gpus,
                "memoryGb": kind.memory_gb,
                "localGb": kind.local_gb,
                "pullGbPerS": kind.pull_gb_s,
                "hourly": kind.hourly,
                "spotPrice": kind.spot_hourly,
                "bootS": kind.boot_s,
                "sites": sorted({room.zone for room in day.rooms if room.kind == kind.name}),
            }
            for kind in day.kinds
        )
        super().__init__(loop, seed)
        self.store.written[LEADER_KEY] = []
        self.unsubmitted_jobs = 0  # most jobs that pipelines can have, less those submitted
        for room in day.rooms:
            self.cloud.add_running((room.kind, room.zone, room.spot), room.up)
        # Times of faults that hit the leader, and the machines that users could reach then.
        self.leader_failed: list[tuple[float, set[str]]] = []

    def job(self, number: int, work: Work) -> dict[str, Any]:
        """Return the specification of a random job of a class."""
        rng = self.rng
        run_s = rng.uniform(*work.run_s)
        return {
            "nameId": f"run-{number:06d}",
            "jobclass": work.name,
            "owner": rng.choice(work.teams),
            "shape": work.shape,
            "urgency": work.urgency,
            "tasks": rng.randint(*work.tasks),
            "vcpus": work.vcpus,
            "gpus": 0.0,
            "memoryGb": work.memory_gb,
            "bundle": f"img-{work.name}-{rng.randrange(max(1, work.images))}",
            "pullGb": work.image_gb,
            "hosttypes": None,
            "site": work.zone or None,
            "oneZone": work.one_zone,
            "spread": False,
            "standby": work.spot,
            "expectedS": 0.0 if work.shape == "service" else run_s,
            "savepointS": work.savepoint_s,
            "flushS": work.flush_s,
            "dueS": work.due_s,
        }

    # -- faults ---------------------------------------------------------------------

    def controllers(self, who: str, count: int) -> list[str]:
        """Return the names meant by `leader`, `others`, `all` or a name.

        If `count` exceeds 1, `leader` means the leader and then others.
        """
        leaders = self.leaders() or self.members[:1]
        others = [member for member in self.members if member not in leaders]
        if who == "leader":
            return [*leaders[:1], *others][:count]
        if who == "others":
            return others[:count]
        return self.members if who == "all" else [who]

    def machines(self, zone: str, count: int) -> list[str]:
        """Return random machines that are up, of a zone or, if it is empty, of any."""
        names = sorted(n for n, worker in self.workers.items() if not zone or worker.zone == zone)
        return self.rng.sample(names, min(count, len(names)))

    def side(self, words: list[str], count: int = 1) -> set[str]:
        """Return the members of one side of a partition; `count` limits the word `others`."""
        out: set[str] = set()
        for word in words:
            if word == "machines":
                out |= set(self.workers)
            elif word in ("state", "cloud", "users"):
                out.add(word)
            else:
                out |= set(self.controllers(word, count if word == "others" else 1))
        return out

    async def apply_fault(self, fault: Fault) -> None:
        """Start a fault, and record it if it hits the leader."""
        chosen = self.controllers(fault.who, fault.count)
        affected, leaders_before = set[str](), set(self.leaders())
        seconds = fault.seconds
        if fault.kind == "crash":
            affected = set(chosen)
            for member in chosen:
                self.spawn(self.restart(member, seconds))
        elif fault.kind == "flap":
            affected = set(chosen)
            for member in chosen:
                self.spawn(self.flap(member, fault.times, fault.every, seconds))
        elif fault.kind == "roll":
            for member in self.members:
                if member in self.leaders():
                    self.leader_failed.append((self.now, set(self.workers)))
                self.spawn(self.restart(member, 4.0))
                await asyncio.sleep(seconds)
        elif fault.kind == "freeze":
            affected = set(chosen)
            for member in chosen:
                self.loop.freeze(member, self.now + seconds)
        elif fault.kind == "refuse":
            affected = set(chosen)
            self.store.unavailable_until |= {member: self.now + seconds for member in chosen}
        elif fault.kind == "outage":
            self.store.outage(seconds)
        elif fault.kind == "slow":
            self.store.slow = (0.075 * fault.count, self.now + seconds)
        elif fault.kind == "cut":
            one, other = self.side(fault.one, fault.count), self.side(fault.other, fault.count)
            affected = (one | other) & set(self.members) if "state" in one | other else set()
            self.cut(one, other, seconds, fault.hold, fault.one_way)
        elif fault.kind == "zone":
            inside = {n for n, worker in self.workers.items() if worker.zone == fault.zone}
            affected = {m for m in self.members if self._settings(m).zone == fault.zone}
            rest = {*self.members, *self.workers, "state", "cloud", "users"} - inside - affected
            self.cut(inside | affected, rest, seconds, fault.hold)
        elif fault.kind == "stop":
            for name in self.machines(fault.zone, fault.count):
                self.cloud.kill(name)
        elif fault.kind == "silence":
            lost = set(self.machines(fault.zone, fault.count))
            self.cut(lost, {*self.members, "users"}, seconds, fault.hold)
        elif fault.kind == "take":
            for name in self.machines(fault.zone, fault.count):
                if self.workers[name].machine["standby"]:
                    self.spawn(self._preempt(name, seconds))
        elif fault.kind == "deaf":
            self.deafen(set(self.machines(fault.zone, fault.count)), seconds)
        elif fault.kind == "mute":
            self.mute(set(self.machines(fault.zone, fault.count)), seconds)
        elif fault.kind == "copies" and fault.for_next:
            self.spawn(self.resend_to_next_leader(seconds, fault.share))
        elif fault.kind == "copies":
            self.report_copies = (self.now + seconds, fault.share, fault.late)
        elif fault.kind == "late_writes" and fault.at_once:
            self.store.answer_loss = (self.now + seconds, fault.share)
        elif fault.kind == "late_writes":
            self.store.delayed_commits = (self.now + seconds, fault.share, fault.late)
        elif fault.kind == "cancel_now":
            self.cancel_running_jobs(fault.count, fault.hang_s)
        elif fault.kind == "cancel_at_end":
            self.cancelling_at_end = (self.now + seconds, fault.share)
        elif fault.kind == "odd_requests":
            self.odd_requests_until = self.now + seconds
            self.spawn(self.send_odd_requests())
        elif fault.kind == "repeats":
            self.repeats_until = self.now + seconds
            self.spawn(self.repeat_submissions())
        elif fault.kind == "close_looks":
            self.close_checks_until = self.now + seconds
        elif fault.kind == "quick_boots":
            self.cloud.fast_boots_until = self.now + seconds
        elif fault.kind == "hang":
            for name in self.machines(fault.zone, fault.count):
                self.loop.freeze(name, self.now + seconds)
        elif fault.kind == "isolate":
            affected = set(chosen)
            for member in chosen:
                self.isolate(member, seconds, fault.hold)
        elif fault.kind == "election":
            affected = leaders_before
            self.spawn(self.election(fault.times, fault.every))
        elif fault.kind == "limits":
            self.store.lower_limits()
        elif fault.kind == "sick":
            for name in self.machines(fault.zone, fault.count):
                self.workers[name].sick = True
        if leaders_before & affected:
            at = self.now
            await asyncio.sleep(0.01)  # faults of the same time have started by then
            reached = {name for name in self.workers if self._find_cut(name, "users") is None}
            self.leader_failed.append((at, reached))

    async def pipeline(self, pipe: Pipe, first: int) -> None:
        """Submit a pipeline stage by stage, each once the jobs that it waits for are accepted.

        The last stage may instead wait until those jobs are over, as the day file says.
        """
        rng, number = self.rng, first
        kinds = {work.name: work for work in self.day.classes}
        submitted: list[list[str]] = []
        late = rng.random() < pipe.late
        cancelled_stage = rng.randrange(len(pipe.stages)) if rng.random() < pipe.cancelled else None
        self.unsubmitted_jobs += sum(stage.jobs[1] for stage in pipe.stages)
        for at, stage in enumerate(pipe.stages):
            last = at == len(pipe.stages) - 1
            names = [name for need in stage.needs for name in submitted[need]]
            done = "over" if last and late else "accepted"
            while not all(self.jobs[name].get(done) for name in names):
                await asyncio.sleep(0.1)
            submitted.append([])
            for _ in range(rng.randint(*stage.jobs)):
                spec = self.job(number, kinds[stage.name]) | {"dueS": pipe.due_s if last else None}
                if names:
                    spec["waitsOn"] = names
                number += 1
                self.unsubmitted_jobs -= 1
                after = rng.uniform(0.0, 30.0) if cancelled_stage == at else None
                submitted[-1].append(spec["nameId"])
                self.spawn(self.user(spec, after))
            while not all(name in self.jobs for name in submitted[-1]):
                await asyncio.sleep(0.01)

    # -- the whole day ------------------------------------------------------------------

    async def play(self) -> None:
        """Run the day until all jobs are over or the time for that has passed."""
        day, rng = self.day, self.rng
        for member in self.members:
            self.boot(member)
        self.spawn(self.sweep())
        self.spawn(self.query_unknown_jobs())
        begin = self.now
        if day.drawn:
            self.spawn(self.run_troubles(begin + day.seconds))

        async def later(at: float, work: Any) -> None:
            await asyncio.sleep(at)
            await work

        for fault in day.faults:
            self.spawn(later(fault.at, self.apply_fault(fault)))
        number = 0
        for pipe in day.pipes:
            for _ in range(round(pipe.a_minute * day.seconds / 60)):
                first = number + 1
                number += sum(stage.jobs[1] for stage in pipe.stages)
                self.spawn(later(rng.uniform(0.0, day.seconds), self.pipeline(pipe, first)))
        for work in day.classes:
            times = [rng.uniform(0.0, 3.0) for _ in range(work.at_start)]
            count = round(work.a_minute * day.seconds / 60)
            times += [rng.uniform(3.0, day.seconds) for _ in range(count)]
            for at in sorted(times):
                number += 1
                after = work.stop_after_s
                if work.cancelled and rng.random() < work.cancelled:
                    after = rng.uniform(*work.cancel_s)
                self.spawn(later(at, self.user(self.job(number, work), after)))
        end = begin + day.seconds
        await wait_for_jobs(self, end, end + day.calm_s, lambda: number - self.unsubmitted_jobs)


def percentile(values: list[float], part: float) -> float:
    """Return the smallest value that at least a share `part` of all do not exceed; 0 if none."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)] if ordered else 0.0


def figures(world: FleetWorld, broken: str = "") -> dict[str, Any]:
    """Return the figures of a day: verdict, jobs served, waits in seconds, cost, leaders.

    `broken` is the text of the violated rule, if there is one.
    """
    elapsed_s = max(1e-9, world.now - START_TIME_S)
    waits: dict[str, list[float]] = {}
    for job in world.jobs.values():
        ready = world.ready_at(job) if "first" in job else None
        if ready is not None:
            waits.setdefault(job["spec"]["jobclass"], []).append(job["first"] - ready)
    unserved = world.unserved()
    return {
        "verdict": f"BROKEN {broken}" if broken else f"FAILED {unserved}" if unserved else "ok",
        "broken": int(bool(broken)),
        "jobs": len(world.jobs),
        "unfinished": sum(job["over"] is None for job in world.jobs.values()),
        "served_class": {key: round(v, 3) for key, v in world.served("jobclass").items()},
        "served_team": {key: round(v, 3) for key, v in world.served("owner").items()},
        "could_class": {key: round(v, 3) for key, v in world.could("jobclass").items()},
        "could_team": {key: round(v, 3) for key, v in world.could("owner").items()},
        "largest_begin_s": {key: round(v, 1) for key, v in world.largest_start_delays().items()},
        "silent_s_max": round(world.longest_silence_s, 1),
        "idle_room_s_max": round(world.idle.longest_wait_s, 1),
        "starts_after_cancel": world.starts_after_cancel,
        "wait_s_p50": {key: round(percentile(v, 0.5), 2) for key, v in sorted(waits.items())},
        "wait_s_p95": {key: round(percentile(v, 0.95), 2) for key, v in sorted(waits.items())},
        "machines_rented": world.cloud.number,
        "money": round(world.cloud.money(), 3),
        "tasks_started": world.started,
        "work_lost_s": round(world.lost_work_s, 1),
        "lease_kills": world.lease_ends,
        "leaders": len(world.store.written[LEADER_KEY]),
        "state_changes_s": round(world.store.rev / elapsed_s, 1),
        "peer_messages_s": round(world.peer_messages / elapsed_s, 1),
        "took_s": round(elapsed_s, 1),
    }


def play_day(day: Day, seed: int, kind: type[FleetWorld] = FleetWorld) -> tuple[FleetWorld, str]:
    """Simulate a day; return its world and the text of the violated rule, empty if none."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world, broken = kind(loop, seed, day), ""
    try:
        loop.run_until_complete(world.play())
    except Broken as found:
        broken = str(found)
    finally:
        close(world)
    return world, broken
