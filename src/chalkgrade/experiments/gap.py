"""The gap: a leader is refused alone, another confirms cancellations, then nobody is served.

Variants are drawn: how long the refusal lasts, when the outage follows and how long it is, and
what else comes with them. `plain` is the other side: the work that a plain outage costs.
"""

import random
from typing import Any

from chalkgrade.experiments.meetings import WORKERS, ZONES, fault, figures
from chalkgrade.experiments.met import Meet, Meeting
from chalkgrade.region.day import Day, Fault, Kind, Room, Work
from chalkgrade.region.fleet import play_day
from chalkgrade.settings import CloudLimits, StateLimits, Team

AT = 16.0  # s; when the leader is refused: work runs by then
EXTRAS = ("again", "dies", "late_writes", "peer", "deaf", "held", "copies", "cut", "only")
OUTAGES = (10.0, 20.0, 40.0, 60.0)  # s


def day(seed: int) -> tuple[Day, Meeting, str]:
    """One variant, what is looked for in it, and its extras."""
    rng = random.Random(seed)
    controllers = rng.choice([3, 5])
    alone = rng.choice([2.0, 4.0, 8.0, 14.0, 20.0, 30.0])
    gap = rng.choice([0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 20.0])
    outage = rng.choice([10.0, 20.0, 33.0, 45.0, 60.0, 90.0])
    extras = rng.sample(EXTRAS, rng.choice([0, 1, 1, 2, 3]))
    if rng.random() < 0.3:
        # The hardest: the old leader hears of nobody, and its workers of nobody but it.
        extras = sorted({*extras, "only", "peer"})
        alone = gap + rng.uniform(0.5, 6.0)
    end = AT + gap + outage
    # Some refusals are answered, some requests get no answer at all, or only go one way.
    cut = "cut" in extras
    first = fault(AT, "refuse", alone)
    if cut:
        first = fault(
            AT, "cut", alone, one=["state"], other=["leader"], hold=rng.random() < 0.5,
            one_way=rng.random() < 0.5,
        )  # fmt: skip
    faults = [first, fault(AT + gap, "outage", outage)]
    if "again" in extras:
        faults.append(fault(end - rng.uniform(0.0, 0.5), "refuse", alone))
    if "dies" in extras:  # whoever leads as the outage begins, or shortly before
        back = rng.choice([0.2, 4.0, 30.0])
        faults.append(fault(max(0.0, AT + gap - rng.uniform(0.0, 1.0)), "crash", back))
    if "late_writes" in extras:
        faults.append(fault(AT - 4.0, "late_writes", gap + 8.0, share=0.5, late=(2.0, 12.0)))
    if "peer" in extras:
        faults.append(fault(AT, "cut", gap + outage, one=["leader"], other=["others"], count=9))
    if "only" in extras:  # machines that reach nobody but the old leader
        faults.append(
            fault(AT - 1.0, "cut", gap + outage, one=["machines"], other=["others"], count=9)
        )
    if "deaf" in extras:
        faults.append(fault(AT + rng.uniform(0.0, gap), "deaf", outage, count=rng.randint(2, 9)))
    if "held" in extras:
        faults.append(
            fault(AT + rng.uniform(0.0, gap), "silence", rng.uniform(3.0, 30.0), count=8, hold=True)
        )
    if "copies" in extras:
        faults.append(fault(AT - 2.0, "copies", outage, share=0.5, late=(2.0, 40.0)))
    window = (max(1.0, AT - 5.0), AT + gap + 3.0)  # of cancellations, after submissions
    cancelled: dict[str, Any] = {"cancelled": 0.8, "cancel_s": window, "at_start": 5}
    made = Day(
        kinds=[Kind("quad", 4.0, 16.0, 8.0, 0.3, 0.1)],
        rooms=[Room("quad", zone, 8, spot, 6) for zone in ZONES for spot in (True, False)],
        classes=[
            Work("long", ["blue"], tasks=(4, 8), run_s=(60.0, 100.0), **cancelled),
            Work("saves", ["blue"], tasks=(3, 6), run_s=(60.0, 100.0), savepoint_s=8.0,
                 flush_s=4.0, **cancelled),
            Work("runs", ["red"], shape="service", tasks=(1, 3), stop_after_s=150.0, **cancelled),
            Work("small", ["red"], tasks=(1, 4), run_s=(3.0, 8.0), at_start=3, a_minute=12.0),
        ],
        teams=[Team("red", 20.0), Team("blue", 20.0)],
        zones=ZONES, seconds=max(60.0, end), calm_s=300.0, controllers=controllers,
        workers=WORKERS, state=StateLimits(200.0, 40.0), cloud=CloudLimits(5.0, 3.0), faults=faults,
    )  # fmt: skip
    before = AT + gap

    def came(world: Meet) -> bool:
        """Another controller led and told of a cancellation in between, and work was there."""
        changes = world.led(AT, before)
        return bool(changes) and outage > WORKERS.cancel_s and world.cancelled(changes[0], end)

    words = f"alone {alone:g} gap {gap:g} outage {outage:g} of {controllers}"
    return made, Meeting("gap", faults, AT, end, came), " ".join([words, *sorted(extras)])


def play(seed: int) -> dict[str, Any]:
    """One variant's figures."""
    made, meeting, words = day(seed)
    world, broken = play_day(made, seed, Meet)
    assert isinstance(world, Meet)
    return {"variant": words, **figures(world, broken, [meeting])}


def plain(seed: int, outage_s: float) -> dict[str, Any]:
    """The same fleet and work with nothing but an outage, and no cancellation."""
    made, _, _ = day(seed)
    made.faults = [Fault(AT, "outage", outage_s)]
    for work in made.classes:
        work.cancelled = 0.0
    world, broken = play_day(made, seed, Meet)
    return {
        "broken": int(bool(broken)),
        "work_lost_s": round(world.lost_work_s, 1),
        "lease_kills": world.lease_ends,
    }


def run(seed: int) -> dict[str, Any]:
    """For the command line: a variant, and plain outages of the same seed."""
    out: dict[str, Any] = {"gap": play(seed)}
    for outage_s in OUTAGES:
        out[f"outage_{outage_s:g}"] = plain(seed, outage_s)
    return out
