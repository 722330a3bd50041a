"""Two and three troubles at once: meetings, whether they came about, and what they broke.

Each meeting is a row of faults that begin together at some moment of a day, what else the day
needs for it, and a look at what really happened then, by what the state service, workers and
users saw. A day whose meetings did not all come about is no pass: it is counted apart.
There is one for each line of the page of what real machines showed, and in its order.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any

from chalkgrade.experiments import shrinking
from chalkgrade.experiments.met import Meet, Meeting
from chalkgrade.region.day import Day, Fault, Kind, Pipe, Room, Stage, Work
from chalkgrade.region.fleet import percentile, play_day
from chalkgrade.region.rules import START_TIME_S
from chalkgrade.settings import CloudLimits, StateLimits, Team, Workers

ZONES = ["a", "b", "c"]
WORKERS = Workers(12.0, 32.0, 3.0)
LARGE = 5  # times the work of a small fleet, with 600 machines
SINGLE_RATE = 4.0  # one-task jobs a second
SINGLE_S = 120.0  # s; for which they come
QUICK_S = 2.2  # s; a machine that is up within this was up at once
LIMITED_S = 250.0  # s; in which a team can do what it asks for, at its limit
AT_ONCE_S = 5.0  # s; and one that has work within this got it at once
CHANGING_S = 5.0  # s; a cancellation so near to a change of leader falls into it
ODD_PART = 0.3  # of the days also have odd requests

Maker = Callable[[random.Random, float], Meeting]


def fault(at: float, kind: Any, seconds: float = 10.0, **fields: Any) -> Fault:
    """One row of a day's faults."""
    return Fault(at, kind, seconds, **fields)


def isolated(rng: random.Random, at: float) -> Meeting:
    """A leader without state service and controllers; jobs cancelled through the next."""
    lasts = rng.uniform(12.0, 45.0)
    faults = [fault(at, "isolate", lasts, hold=rng.random() < 0.5)]
    if rng.random() < 0.4:
        faults.append(fault(at + rng.uniform(0.0, lasts), "outage", rng.uniform(5.0, 20.0)))
    end = at + lasts
    return Meeting(
        "isolated", faults, at, end + 5, lambda w: bool(w.led(at, end)) and w.cancelled(at, end)
    )


def refused(rng: random.Random, at: float) -> Meeting:
    """The state service refuses the leader alone and then everybody, or is slow."""
    gap, lasts = rng.uniform(2.0, 12.0), rng.uniform(34.0, 60.0)
    alone = rng.uniform(3.0, 20.0)
    faults = [fault(at, "refuse", alone), fault(at + gap, "outage", lasts)]
    if rng.random() < 0.5:
        faults.append(fault(max(0.0, at - 10.0), "slow", 20.0, count=rng.randint(1, 4)))
    if rng.random() < 0.5:
        faults.append(fault(at + gap + lasts, "refuse", alone))
    end = at + gap + lasts + 10.0
    return Meeting(
        "refused", faults, at, end, lambda w: w.out(at, end) and w.cancelled(at - 1.0, end)
    )


def held(rng: random.Random, at: float) -> Meeting:
    """Commands and answers held for seconds, the leader changed in between."""
    lasts, count = rng.uniform(2.0, 30.0), rng.randint(2, 8)
    kind = rng.choice(["hang", "silence"])
    faults = [fault(at, kind, lasts, count=count, hold=True)]
    faults.append(fault(at + rng.uniform(0.0, lasts), "crash", rng.choice([0.1, 0.4, 4.0])))
    end = at + lasts + 8.0
    return Meeting("held", faults, at, end, lambda w: w.hit(kind, at, end) and bool(w.led(at, end)))


def unreached(rng: random.Random, at: float) -> Meeting:
    """A leader ends while machines with long tasks can't be reached, or do not hear."""
    kind = rng.choice(["deaf", "silence"])
    lasts = rng.uniform(6.0, 40.0)
    faults = [fault(at, kind, lasts, count=rng.randint(2, 8), hold=rng.random() < 0.5)]
    faults.append(fault(at + rng.uniform(0.2, 5.0), "crash", rng.choice([0.2, 1.5, 6.0])))
    end = at + lasts + 8.0
    return Meeting(
        "unreached", faults, at, end, lambda w: w.hit(kind, at, end) and bool(w.led(at, end))
    )


def apart(rng: random.Random, at: float) -> Meeting:
    """Jobs of two or three tasks whose ends lie far apart across changes of leader."""
    faults, now = [], at
    for _ in range(rng.randint(1, 4)):
        faults.append(fault(now, "crash", rng.choice([0.1, 0.5, 3.0, 8.0]), count=1))
        now += rng.uniform(3.0, 12.0)
    return Meeting("apart", faults, at, now + 8.0, lambda w: w.apart(at, now + 8.0))


def copies(rng: random.Random, at: float) -> Meeting:
    """Old reports after newer ones, of earlier sessions and at other leaders."""
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
    """Controllers hand over and back, all end, one is back at once."""
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
    """Transactions without an answer that are carried out late."""
    lasts = rng.uniform(8.0, 25.0)
    faults = [fault(at, "late_writes", lasts, share=rng.uniform(0.1, 0.5), late=(2.0, 12.0))]
    if rng.random() < 0.6:
        faults.append(fault(at + rng.uniform(1.0, lasts), "crash", rng.choice([0.1, 0.5, 4.0])))
    return Meeting(
        "late_writes", faults, at, at + lasts + 12.0,
        lambda w: w.store.late_applied + w.store.late_refused > 0,
    )  # fmt: skip


def booted(rng: random.Random, at: float) -> Meeting:
    """New machines are up at once and get work while writes lag, and the leader ends."""
    lag = rng.choice(["slow", "late_writes", "unanswered"])
    faults = [
        fault(max(0.0, at - 0.5), "quick_boots", 25.0),
        fault(at, "take", 0.3, count=600),  # so that others are rented
        fault(at, "stop", count=rng.randint(2, 8)),
        fault(at + rng.uniform(0.8, 7.0), "crash", rng.choice([0.2, 0.6, 4.0])),
    ]
    if lag == "slow":
        faults.append(fault(at, "slow", 15.0, count=rng.randint(2, 5)))
    else:
        once = lag == "unanswered"
        share = rng.uniform(0.2, 0.6)
        faults.append(fault(at, "late_writes", 15.0, share=share, late=(2.0, 12.0), at_once=once))
    end = at + 25.0

    def came(w: Meet) -> bool:
        boots = [b for b in w.cloud.boots if at <= b.at - START_TIME_S <= end and b.took <= QUICK_S]
        quick = any(w.first_used_at.get(b.name, 1e9) <= b.at + AT_ONCE_S for b in boots)
        return quick and bool(w.led(at, end))

    def change(day: Day) -> None:
        times = _times(day)
        day.classes.append(
            Work("steady", ["blue"], tasks=(4, 8), run_s=(8.0, 25.0), at_start=4 * times,
                 a_minute=14.0 * times)
        )  # fmt: skip

    return Meeting("booted", faults, at, end, came, change)


def moment(rng: random.Random, at: float) -> Meeting:
    """Jobs are cancelled as the leader alone is refused; a second later nobody is served."""
    lasts = rng.uniform(34.0, 55.0)
    faults = [
        fault(at, "refuse", rng.uniform(2.0, 10.0)),
        fault(at, "cancel_now", count=rng.randint(3, 8)),
        fault(at + 1.0, "outage", lasts),
    ]
    end = at + 1.0 + lasts

    def came(w: Meet) -> bool:
        refused = any(one.kind == "refuse" and at - 0.1 <= one.at <= at + 1.0 for one in w.struck)
        return refused and w.out(at, at + 2.0) and bool(w.calls(at, at + 1.0))

    return Meeting("moment", faults, at, end, came)


def single(rng: random.Random, at: float) -> Meeting:
    """One-task jobs, four a second for minutes, a quarter of them cancelled."""
    faults = []
    if rng.random() < 0.5:
        faults.append(fault(at + rng.uniform(5.0, 60.0), "crash", rng.choice([0.2, 4.0])))

    def change(day: Day) -> None:
        day.seconds = max(day.seconds, SINGLE_S)
        day.classes.append(
            Work("single", ["red", "green"], tasks=(1, 1), run_s=(1.0, 5.0),
                 a_minute=60.0 * SINGLE_RATE, cancelled=0.25, cancel_s=(0.0, 6.0))
        )  # fmt: skip

    def came(w: Meet) -> bool:
        jobs = [job for job in w.jobs.values() if job["spec"]["jobclass"] == "single"]
        gone = sum(bool(job.get("asked")) for job in jobs)
        return len(jobs) >= 0.9 * SINGLE_RATE * SINGLE_S and gone >= 0.2 * len(jobs)

    return Meeting("single", faults, at, at + 10.0, came, change)


def changing(rng: random.Random, at: float) -> Meeting:
    """Jobs are cancelled in the seconds in which one controller's work changes hands."""
    if rng.random() < 0.5:
        faults = [fault(at, "crash", rng.choice([0.2, 0.6, 4.0]))]
        times = [at + rng.uniform(-0.5, 3.0) for _ in range(3)]
        end = at + 10.0
    else:  # it hears no worker, and hands over
        faults = [fault(at, "cut", 14.0, one=["leader"], other=["machines"])]
        times = [at + rng.uniform(3.0, 12.0) for _ in range(4)]
        end = at + 20.0
    faults += [fault(max(0.0, t), "cancel_now", count=rng.randint(1, 4)) for t in times]

    def came(w: Meet) -> bool:
        calls = w.calls(at - 1.0, end)
        return any(abs(one.at - led) <= CHANGING_S for one in calls for led in w.led(at, end))

    return Meeting("changing", faults, at, end, came)


def begun(rng: random.Random, at: float) -> Meeting:
    """Old reports reach every controller just as a new leader begins."""
    lasts = rng.uniform(6.0, 20.0)
    faults = [
        fault(at, "copies", lasts, share=rng.uniform(0.3, 1.0), for_next=True),
        fault(at + rng.uniform(0.5, 1.0) * lasts, "crash", rng.choice([0.2, 0.6, 4.0])),
    ]
    end = at + lasts + 12.0
    return Meeting(
        "begun", faults, at, end,
        lambda w: any(led <= came <= led + 1.1 for came in w.given_at for led in w.led(at, end)),
    )  # fmt: skip


def delayed(rng: random.Random, at: float) -> Meeting:
    """A report is held back until a new leader has acted, and then arrives there."""
    lasts = rng.uniform(14.0, 30.0)  # so that they try the next leader as well
    faults = [
        fault(at, "silence", lasts, count=rng.randint(5, 12), hold=True),
        fault(at + rng.uniform(8.0, lasts - 1.0), "crash", rng.choice([0.2, 0.6, 4.0])),
    ]
    end = at + lasts + 3.0

    def came(w: Meet) -> bool:
        rows = [(sent, there) for sent, there, leads in w.held_reports if leads and there <= end]
        return any(sent < led < there for sent, there in rows for led in w.led(at, end))

    return Meeting("delayed", faults, at, end, came)


def zone(rng: random.Random, at: float) -> Meeting:
    """A zone with workers and a controller is cut off for longer than a lease."""
    lasts = rng.uniform(WORKERS.lease_s + 2.0, 40.0)
    faults = [fault(at, "zone", lasts, zone=rng.choice(ZONES), hold=rng.random() < 0.5)]
    return Meeting(
        "zone", faults, at, at + lasts + 5.0, lambda w: w.hit("zone", at - 0.1, at + 1.0)
    )


def at_end(rng: random.Random, at: float) -> Meeting:
    """A cancellation, a question or a repetition meets the end of a job's last task."""
    lasts = rng.uniform(20.0, 40.0)
    faults = [fault(at, "cancel_at_end", lasts, share=rng.uniform(0.4, 1.0))]
    if rng.random() < 0.6:
        faults.append(fault(at, "close_looks", lasts))
    return Meeting(
        "at_end", faults, at, at + lasts,
        lambda w: any(one.ended and at <= one.at <= at + lasts for one in w.asked),
    )  # fmt: skip


def away(rng: random.Random, at: float) -> Meeting:
    """All controllers are away for longer than a lease."""
    lasts = rng.uniform(WORKERS.lease_s + 1.0, 30.0)
    faults = [fault(at, "crash", lasts, who="all")]
    return Meeting("away", faults, at, at + lasts + 8.0, lambda w: w.away() > WORKERS.lease_s)


def unanswered(rng: random.Random, at: float) -> Meeting:
    """Transactions are carried out and only their answers lost, while others read."""
    lasts = rng.uniform(20.0, 40.0)
    faults = [
        fault(at, "late_writes", lasts, share=rng.uniform(0.3, 0.95), at_once=True),
        fault(max(0.0, at - 4.0), "close_looks", lasts + 8.0),
        fault(at, "cancel_at_end", lasts, share=0.3),
    ]

    def change(day: Day) -> None:  # jobs whose records change at once and again
        day.classes.append(
            Work("brief", ["red", "blue"], tasks=(1, 2), run_s=(2.0, 15.0), a_minute=120.0,
                 cancelled=0.6, cancel_s=(0.0, 6.0))
        )  # fmt: skip

    def came(w: Meet) -> bool:
        return sum(w.store.answers_lost.values()) > 10 and w.close_checks > 10

    return Meeting("unanswered", faults, at, at + lasts, came, change)


def limited(rng: random.Random, at: float) -> Meeting:
    """A team at its limit, a new leader, machines that can't be asked, a cancellation."""
    lasts = rng.uniform(8.0, 25.0)
    kind = rng.choice(["silence", "mute", "hang"])
    crash = at + rng.uniform(0.3, 3.0)
    faults = [
        fault(at, kind, lasts, count=rng.randint(12, 20), hold=rng.random() < 0.5),
        fault(crash, "crash", rng.choice([0.2, 0.6, 4.0])),
        fault(crash + rng.uniform(-0.5, 4.0), "cancel_now", count=rng.randint(4, 10)),
    ]
    end = at + lasts

    def change(day: Day) -> None:
        most = 12.0 * _times(day)
        day.teams.append(Team("capped", 4.0, most))
        day.classes.append(
            Work("capped", ["capped"], tasks=(2, 5), run_s=(20.0, 50.0), cancelled=0.2,
                 cancel_s=(max(1.0, at - 5.0), at + 20.0), at_start=6 * _times(day),
                 a_minute=2.0 * _times(day))
        )  # fmt: skip

    def came(w: Meet) -> bool:
        at_limit = [
            c for c in w.changes if at <= c.at <= end + 5.0 and "capped" in c.full & c.unreached
        ]
        return bool(at_limit) and any(one.team == "capped" for one in w.calls(at, end + 5.0))

    return Meeting("limited", faults, at, end, came, change)


def all_limited(rng: random.Random, at: float) -> Meeting:
    """Every team at its limit, jobs cancelled whose machines hang or are cut off, new leaders."""
    lasts = rng.uniform(8.0, 20.0)
    faults = [
        fault(max(0.0, at - 0.5), "silence", lasts, count=rng.randint(4, 10), hold=True),
        fault(at, "cancel_now", count=rng.randint(6, 14), hang_s=rng.uniform(3.0, 16.0)),
    ]
    for number in range(rng.choice([1, 3])):
        when = at + rng.uniform(0.1, 2.0) + 4.0 * number
        faults.append(fault(when, "crash", rng.choice([0.2, 0.6, 4.0])))
    end = at + 20.0

    def change(day: Day) -> None:
        times = _times(day)
        for team in day.teams:
            team.cpus = min(team.cpus, 8.0 * times)
            # No more than can be done under it: the limit is met, not the day's end.
            team.cpus_max = max(16.0 * times, _asked(day, team.name) / LIMITED_S)
            day.classes.append(
                Work(f"fills_{team.name}", [team.name], urgency="prod", tasks=(3, 5),
                     run_s=(20.0, 40.0), at_start=3 * times)
            )  # fmt: skip

    def came(w: Meet) -> bool:
        calls = [one for one in w.calls(at - 1.0, at + 1.0) if one.full and one.unreached]
        return bool(calls) and bool(w.led(at, end))

    return Meeting("all_limited", faults, at, end, came, change)


def watched(rng: random.Random, at: float) -> Meeting:
    """Users ask everywhere, at once, after each acceptance, end and cancellation; some cancel."""
    lasts = rng.uniform(25.0, 45.0)
    faults = [fault(at, "close_looks", lasts)]
    return Meeting(
        "watched",
        faults,
        at,
        at + lasts,
        lambda w: w.close_checks >= 10 and w.close_check_cancellations > 0,
    )


def ten(rng: random.Random, at: float) -> Meeting:
    """Leaders change ten times in two minutes, also inside an outage."""
    faults, now = [], at
    while now < at + 105.0:
        faults.append(fault(now, "crash", rng.choice([0.1, 0.3, 0.6])))
        now += rng.uniform(6.0, 8.5)
    begin = at + rng.uniform(10.0, 80.0)
    faults.append(fault(begin, "outage", rng.uniform(4.0, 12.0)))
    faults.append(fault(begin + 2.0, "crash", 0.3))
    return Meeting("ten", faults, at, at + 120.0, lambda w: len(w.led(at, at + 120.0)) >= 10)


def crowded(rng: random.Random, at: float) -> Meeting:
    """More work than room, urgent and not, over slow links."""
    part, pull = rng.uniform(0.6, 0.9), rng.choice([0.05, 0.1])
    faults = [fault(at, "crash", 0.4)] if rng.random() < 0.4 else []

    def change(day: Day) -> None:
        cpus = sum(room.count * 4.0 for room in day.rooms)
        vcpus, run_s = 4.0, (15.0, 30.0)  # few and large tasks: each takes time to play
        for kind in day.kinds:
            kind.pull_gb_s = pull
        for name, urgency, due in (("rush", "high", 60.0), ("bulk", "standard", None)):
            job = 9 * vcpus * 1.25 * sum(run_s) / 2
            day.classes.append(
                Work(name, ["red", "blue"], urgency=urgency, tasks=(6, 12),  # type: ignore[arg-type]
                     vcpus=vcpus, memory_gb=12.0, run_s=run_s, image_gb=0.5, due_s=due,
                     a_minute=part * cpus * 60.0 / job)
            )  # fmt: skip

    return Meeting("crowded", faults, at, at + 5.0, lambda w: len(w.crowded) >= 15, change)


def bound(rng: random.Random, at: float) -> Meeting:
    """Jobs that are bound to one zone, arrays too, lose machines."""
    faults = [
        fault(at, "stop", count=rng.randint(2, 4), zone="a"),
        fault(at + rng.uniform(0.0, 10.0), "take", 0.3, count=rng.randint(2, 5), zone="a"),
    ]
    if rng.random() < 0.5:
        faults.append(fault(at + rng.uniform(0.0, 10.0), "stop", count=3))

    def change(day: Day) -> None:
        times = _times(day)
        day.classes += [
            Work("here", ["blue"], tasks=(4, 8), run_s=(10.0, 40.0), zone="a", savepoint_s=5.0,
                 flush_s=1.0, at_start=4 * times, a_minute=3.0 * times),
            Work("together", ["red"], tasks=(6, 14), run_s=(10.0, 30.0), one_zone=True,
                 at_start=3 * times, a_minute=3.0 * times),
        ]  # fmt: skip

    def came(w: Meet) -> bool:
        rows = [one for one in w.struck if one.kind in ("stop", "take") and one.bound]
        return any(one.at >= at - 0.1 for one in rows)

    return Meeting("bound", faults, at, at + 15.0, came, change)


def mute(rng: random.Random, at: float) -> Meeting:
    """Workers can't open connections to any controller; direct commands reach them."""
    lasts = rng.uniform(6.0, 30.0)
    faults = [fault(at, "mute", lasts, count=rng.randint(2, 8))]
    if rng.random() < 0.5:
        faults.append(fault(at + rng.uniform(0.2, lasts), "crash", rng.choice([0.2, 0.6, 4.0])))
    if rng.random() < 0.3:
        faults.append(fault(at + rng.uniform(0.2, lasts), "cancel_now", count=4))
    return Meeting("mute", faults, at, at + lasts, lambda w: w.hit("mute", at - 0.1, at + 1.0))


# In the page's order.
MEETINGS = (
    isolated, booted, moment, refused, single, changing, late_writes, unreached, begun, delayed,
    zone, at_end, copies, away, unanswered, limited, all_limited, apart, watched, ten, crowded,
    bound, mute, handed, held,
)  # fmt: skip


def _asked(day: Day, team: str) -> float:
    """CPU-seconds that a team's classes ask for, pipelines aside."""
    out = 0.0
    for work in day.classes:
        if team in work.teams:
            jobs = work.at_start + work.a_minute * day.seconds / 60
            task = work.vcpus * 1.25 * sum(work.run_s) / 2
            out += jobs * sum(work.tasks) / 2 * task / len(work.teams)
    return out


def _times(day: Day) -> int:
    """How many times a small fleet a day's is, as its classes were made for."""
    return LARGE if sum(room.up for room in day.rooms) > 100 else 1


def day(
    seed: int, makers: Sequence[Maker] = (), seconds: float = 100.0
) -> tuple[Day, list[Meeting]]:
    """One day with two or three meetings, together or one in the other; drawn if not named."""
    rng = random.Random(seed)
    large = seed % 25 == 24  # a fleet of 600 costs as much as ten small ones
    controllers = rng.choice([3, 5])
    first = rng.uniform(14.0, 30.0)
    second = first + rng.choice([0.0, rng.uniform(0.0, 15.0)])
    starts = [first, second]
    drawn = not makers
    if drawn:
        makers = rng.sample(MEETINGS, rng.choice([2, 2, 3]))
    if len(makers) > 2:
        starts.append(first + rng.uniform(0.0, 15.0))
    chosen = [make(rng, at) for make, at in zip(makers, starts, strict=False)]
    ends = max(meeting.end for meeting in chosen)
    times = LARGE if large else 1
    up = 100 if large else rng.randint(3, 6)
    made = Day(
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
    )  # fmt: skip
    # Limits go by all that is asked for, so they come last.
    for meeting in sorted(chosen, key=lambda one: one.name == "all_limited"):
        if meeting.change is not None:
            meeting.change(made)
    if drawn and rng.random() < ODD_PART:
        made.faults.append(fault(first, "odd_requests", 40.0))
    if drawn:
        made.faults.append(fault(first, "repeats", ends - first))
    return made, chosen


def play(seed: int, *makers: Maker) -> dict[str, Any]:
    """One day's figures."""
    made, chosen = day(seed, makers)
    world, broken = play_day(made, seed, Meet)
    assert isinstance(world, Meet)
    return figures(world, broken, chosen)


def figures(world: Meet, broken: str, chosen: Sequence[Meeting]) -> dict[str, Any]:
    lost = [job for job in world.jobs.values() if job.get("accepted") and job["over"] is None]
    served = [*world.served("jobclass").values(), *world.served("owner").values()]
    begins = world.largest_start_delays().values()
    came = {meeting.name: int(meeting.came(world)) for meeting in chosen}
    rule = broken.partition(":")[0]
    return {
        "broken": int(bool(broken)),
        "rule": rule,
        "lost": len(lost),
        "came_about": int(all(came.values())),
        "missing": " ".join(name for name, found in came.items() if not found),
        "meetings": " ".join(came),
        "came": came,
        "silent_s_max": round(world.longest_silence_s, 2),
        "idle_room_s_max": round(world.idle.longest_wait_s, 1),
        "gone_s_max": round(world.max_stop_delay_s, 2),
        "starts_after_cancel": world.starts_after_cancel,
        "served_least": round(min(served, default=1.0), 3),
        "largest_begin_s_max": round(max(begins, default=0.0), 1),
        "went_back": int(rule == "went_back"),
        "over_limit": int(rule == "quota"),
        "work_lost_s": round(world.lost_work_s, 1),
        "late_writes_applied": world.store.late_applied,
        "late_writes_refused": world.store.late_refused,
        "reports_late": len(world.copied),
        "copies_believed": world.believed,
        "submissions_repeated": world.repeated_submissions,
        "elections_s_p99": round(percentile(world.gaps, 0.99), 2),
        "jobs": len(world.jobs),
        "why": broken,
    }


# How figures of several days become one.
SUMS = (
    "broken",
    "lost",
    "went_back",
    "over_limit",
    "starts_after_cancel",
    "copies_believed",
    "submissions_repeated",
)
MOST = ("silent_s_max", "idle_room_s_max", "gone_s_max", "largest_begin_s_max")


def summary(found: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """The figures of many days, and by meeting on how many of its days it came about."""
    out: dict[str, Any] = {"days": len(found)}
    out |= {key: sum(row[key] for row in found) for key in SUMS}
    out |= {key: max(row[key] for row in found) for key in MOST}
    out["served_least"] = min(row["served_least"] for row in found)
    out["elections_s_p99"] = percentile([row["elections_s_p99"] for row in found], 0.99)
    out["work_lost_s"] = round(sum(row["work_lost_s"] for row in found), 1)
    out["came"] = {}
    for make in MEETINGS:
        rows = [row["came"][make.__name__] for row in found if make.__name__ in row["came"]]
        out["came"][make.__name__] = f"{sum(rows)} of {len(rows)}"
    out["rules"] = " ".join(sorted({row["rule"] for row in found if row["rule"]}))
    return out


def run(seed: int) -> dict[str, Any]:
    """For the command line; a day that broke a rule comes with a small one that does, too."""
    found = play(seed)
    if found["broken"]:
        found["day"] = shrinking.text(shrinking.shrink(day(seed)[0], seed))
    return found
