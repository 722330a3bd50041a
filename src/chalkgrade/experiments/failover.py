"""Failover: controllers and machines that fail together, with what is measured on and off."""

import asyncio
import math
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from hdrh.histogram import HdrHistogram

from chalkgrade import constants
from chalkgrade.machines.fleet import Fleet
from chalkgrade.membership.leader_health import WORKERS
from chalkgrade.region.day import Day, Fault, Kind, Room, Work
from chalkgrade.region.fleet import FleetWorld, play_day
from chalkgrade.region.rules import MIN_SERVED_SHARE
from chalkgrade.region.world import World, tell
from chalkgrade.settings import CloudLimits, StateLimits, Team, Workers
from chalkgrade.state.leadership import LEADER_KEY

ZONES = ["a", "b", "c"]
CUT = ["crash", "crash", "freeze", "cut", "refuse"]  # how a leader fails; crashes mostly
AFTER_S = 8.0  # s after a change of leader, in which rentals and stops are looked at


def day(seed: int, machines: int = 600, controllers: int = 5, seconds: float = 75.0) -> Day:
    """Three times a leader fails, with other controllers and a tenth of the machines."""
    rng = random.Random(seed)
    room = max(1, machines // (2 * len(ZONES)))
    faults = []
    for turn in range(3):
        at = 4.0 + 24.0 * turn + rng.uniform(0.0, 4.0)
        kind = rng.choice(CUT)
        lasts = rng.uniform(5.0, 8.0) if kind == "crash" else rng.uniform(8.0, 14.0)
        count = rng.randint(1, max(1, controllers // 2)) if kind == "crash" else 1
        fault = Fault(at, kind, lasts, count=count)  # type: ignore[arg-type]
        if kind == "cut":
            fault.one, fault.other = ["leader"], ["state"]
            fault.hold = rng.random() < 0.5
        faults.append(fault)
        hit = rng.choice(["stop", "silence", "take"])
        lost = max(1, machines // 10)
        faults.append(Fault(at, hit, rng.uniform(4.0, 12.0), count=lost))  # type: ignore[arg-type]
    size = machines / 600
    return Day(
        kinds=[Kind("quad", 4.0, 16.0, 10.0, 0.3, 0.1)],
        rooms=[Room("quad", z, room, spot, room // 3) for z in ZONES for spot in (True, False)],
        classes=[
            Work("array", ["red", "blue"], tasks=(40, 160), run_s=(8.0, 16.0), images=4,
                 at_start=max(1, int(12 * size)), a_minute=14 * size),
            Work("urgent", ["red"], urgency="high", tasks=(2, 8), run_s=(3.0, 9.0), due_s=60.0,
                 at_start=max(1, int(6 * size)), a_minute=90 * size),
            Work("saves", ["green"], urgency="best_effort", tasks=(20, 60), vcpus=2.0,
                 memory_gb=4.0, run_s=(10.0, 20.0), savepoint_s=5.0, flush_s=1.0,
                 at_start=max(1, int(3 * size)), a_minute=4 * size),
        ],
        teams=[Team("red", 400.0, 1200.0), Team("blue", 400.0, 1200.0), Team("green")],
        zones=ZONES, seconds=seconds, calm_s=240.0, controllers=controllers,
        workers=Workers(16.0, 41.0, 3.0), state=StateLimits(200.0, 40.0, 16.0, 16),
        cloud=CloudLimits(5.0, 4.0), faults=faults,
    )  # fmt: skip


@contextmanager
def off() -> Iterator[None]:
    """Without the package's effects: leases of one length, all campaign at once, no report
    is kept for the next leader, nobody is suspected, no lead is handed over, and no work is
    placed before a machine has shown the new token."""
    names = {
        "MIN_LEADER_LEASE_S": constants.MAX_LEADER_LEASE_S,
        "NO_LEADER_REPORT_HOLD_S": 0.0,
        "SUSPICION_TIMEOUT_S": 3.5,
    }
    names |= {
        "UNHEALTHY_LEADER_TIMEOUT_S": 1e9,
        "CAMPAIGN_STAGGER_S": 0.0,
        "NEW_TERM_RENTAL_DELAY_S": 0.0,
    }
    plain = {name: getattr(constants, name) for name in names}
    for name, value in names.items():
        setattr(constants, name, value)
    usable = Fleet.usable
    Fleet.usable = lambda self, machine: machine.token in (0, self.token) and usable(self, machine)  # type: ignore[method-assign]
    try:
        yield
    finally:
        Fleet.usable = usable  # type: ignore[method-assign]
        for name, value in plain.items():
            setattr(constants, name, value)


class Times:
    """Times in milliseconds, over any number of days."""

    def __init__(self) -> None:
        self.of: dict[str, HdrHistogram] = {}
        self.sums: dict[str, float] = {}
        self.least: dict[str, float] = {}

    def time(self, name: str, seconds: float) -> None:
        if name not in self.of:
            self.of[name] = HdrHistogram(1, 3_600_000, 3)
        self.of[name].record_value(max(1, int(1000 * seconds)))

    def add(self, name: str, amount: float) -> None:
        self.sums[name] = self.sums.get(name, 0.0) + amount

    def low(self, name: str, value: float) -> None:
        self.least[name] = min(value, self.least.get(name, value))

    def at(self, name: str, percentile: float) -> float:
        found = self.of.get(name)
        return round(found.get_value_at_percentile(percentile) / 1000, 2) if found else 0.0


def count(world: FleetWorld, broken: str, out: Times) -> None:
    """What a day came to, added to the others."""
    leads = world.store.written[LEADER_KEY]
    out.add("broken", bool(broken))
    out.add("days", 1)
    out.add("lost", sum(job["over"] is None for job in world.jobs.values()))
    served = [*world.served("jobclass").values(), *world.served("owner").values()]
    out.low("served_least", min(served, default=0.0))
    out.add("failed", min(served, default=0.0) < MIN_SERVED_SHARE)
    out.add("takeovers", len(leads) - 1)
    tokens = sorted(world.token_adoptions)
    for failed, reached in world.leader_failed:
        lead = next((at for at in leads if at > failed), None)
        if lead is None:
            continue
        out.time("lead_s", lead - failed)
        token = next((t for t in tokens if min(world.token_adoptions[t].values()) >= lead), None)
        start = next((at for at, baton in world.starts if token and baton >= token), None)
        if start is not None and start > lead:
            out.time("start_s", start - failed)
        if token is not None:
            came = sorted(
                at for name, at in world.token_adoptions[token].items() if name in reached
            )
            if len(came) >= 0.95 * len(reached):
                out.time("machines_s", came[math.ceil(0.95 * len(reached)) - 1] - failed)
        after = [names for at, names in world.cloud.rented if lead <= at < lead + AFTER_S]
        out.add("rents_after", sum(map(len, after)))
        out.add(
            "needless_rents",
            sum(name not in world.first_used_at for names in after for name in names),
        )
        out.add(
            "needless_stops", sum(lead <= at < lead + AFTER_S for at in world.unrequested_stops)
        )
    out.add("lease_kills", world.lease_ends)
    out.add("peer_messages", world.peer_messages)
    out.add("seconds", world.now - 1000.0)
    for name in ("suspect", "refuted", "failed", "refutes"):
        out.add(f"seen {name}", world.health_changes.get(name, 0))
    out.add("false_verdicts", world.false_verdicts)


def figures(out: Times) -> dict[str, Any]:
    """All days together; times in seconds."""
    sums = out.sums
    told: dict[str, Any] = {
        name: int(sums.get(name, 0))
        for name in ("days", "broken", "lost", "takeovers", "lease_kills", "false_verdicts")
    }
    told["served_least"] = round(out.least.get("served_least", 0.0), 3)
    for name, parts in (("lead_s", (50, 99)), ("start_s", (50, 99)), ("machines_s", (95,))):
        for part in parts:
            told[f"{name}_p{part}"] = out.at(name, part)
    told["suspicions"] = int(sums.get("seen suspect", 0))
    told["refuted"] = int(sums.get("seen refuted", 0))
    for name in ("rents_after", "needless_rents", "needless_stops"):
        told[name] = int(sums.get(name, 0))
    told["peer_messages_s"] = round(sums.get("peer_messages", 0.0) / max(1.0, sums["seconds"]), 1)
    return told


def planned(seed: int, times: int = 20) -> tuple[Times, int]:
    """Gaps of planned handovers, one after the other: how long nobody acts; and how many moved."""
    out, moved = Times(), 0

    async def story(world: World) -> None:
        nonlocal moved
        for _ in range(times):
            while (member := next(iter(_acting(world)), "")) == "":
                await asyncio.sleep(0.01)
            node = world.nodes[member]
            assert node is not None
            for other in world.nodes.values():
                if other is not None:
                    other.handover.direct_report_at = (
                        other.clock.now()
                    )  # the proof that is asked for
            giving = world.spawn(world.run_as(member, node.handover.transfer_lead(WORKERS)))
            acted, vacant = world.now, 0.0
            while not giving.done() or not _acting(world):
                await asyncio.sleep(0.001)
                if _acting(world):
                    acted = world.now
                vacant = max(vacant, world.now - acted)
            if giving.result():
                moved += 1
                out.time("planned_gap_s", vacant)
            await asyncio.sleep(1.0)

    tell(story, seed)
    return out, moved


def _acting(world: World) -> list[str]:
    nodes = world.nodes.items()
    return [m for m, node in nodes if node is not None and node.leadership.may_act()]


def run(seed: int) -> dict[str, Any]:
    """One day of 600 machines and 5 controllers, with the package on and off."""
    on, without = Times(), Times()
    count(*play_day(day(seed), seed), on)
    with off():
        count(*play_day(day(seed), seed), without)
    gaps, moved = planned(seed)
    told = {"planned_handovers": moved, "planned_gap_s_p99": gaps.at("planned_gap_s", 99)}
    return {
        **figures(on),
        **told,
        **{f"{key}_off": value for key, value in figures(without).items()},
    }
