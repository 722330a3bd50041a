"""Submissions of new jobs in the seconds without a leader: whether and when they are accepted.

The leader of a large fleet with thousands of unfinished jobs crashes several times, while users
submit new jobs at a steady rate.
"""

import asyncio
from typing import Any

from chalkgrade.region.day import Day, Fault, Kind, Room, Work
from chalkgrade.region.fleet import FleetWorld, percentile, play_day
from chalkgrade.settings import CloudLimits, StateLimits, Team, Workers
from chalkgrade.state.leadership import LEADER_KEY

ZONES = ["a", "b", "c"]
SIZES = (600, 2000, 4000)  # machines
UNFINISHED_PER_MACHINE = 1.0  # jobs that wait for room
CRASHES = 6
PRELOAD_S = 40.0  # in which the jobs are submitted that wait
FIRST_CRASH_S = 50.0
CRASH_INTERVAL_S = 8.0
NEW_JOBS_A_MINUTE = 300.0
NEW_CLASS = "new"
WAITING_CLASS = "long"
WAITING_JOB_NUMBER = 500_000  # base of their numbers
# State service and controllers of two deployments: requests and changes a second.
DEPLOYMENTS = {
    "five_controllers": (5, StateLimits(150.0, 25.0, 16.0, 16)),
    "three_controllers": (3, StateLimits(350.0, 150.0, 24.0, 16)),
}


def day(machines: int, controllers: int, state: StateLimits) -> Day:
    """A day on which most jobs wait, and the leader crashes again and again."""
    room = max(1, machines // (2 * len(ZONES)))
    crashes = [
        Fault(FIRST_CRASH_S + CRASH_INTERVAL_S * turn, "crash", 4.0) for turn in range(CRASHES)
    ]
    seconds = FIRST_CRASH_S + CRASH_INTERVAL_S * CRASHES
    return Day(
        kinds=[Kind("quad", 4.0, 16.0, 10.0, 0.3, 0.1)],
        rooms=[Room("quad", z, room, spot, room) for z in ZONES for spot in (True, False)],
        classes=[
            Work(WAITING_CLASS, ["red"], tasks=(4, 8), run_s=(200.0, 300.0)),
            Work(NEW_CLASS, ["blue"], tasks=(1, 2), run_s=(5.0, 10.0),
                 a_minute=NEW_JOBS_A_MINUTE),
        ],
        teams=[Team("red"), Team("blue")], zones=ZONES, seconds=seconds, calm_s=1.0,
        controllers=controllers, workers=Workers(24.0, 44.0, 5.0), state=state,
        cloud=CloudLimits(5.0, 4.0), faults=crashes,
    )  # fmt: skip


class Observed(FleetWorld):
    """A region that records when jobs are accepted and what the state service is asked."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.accepted_at: dict[str, float] = {}
        self.state_requests: list[tuple[float, str]] = []  # time and kind: read or commit
        plain = self.store.handle

        async def handle(source: str, method: str, path: str, body: bytes) -> Any:
            is_commit = path == "/commit" and b'"apply"' in body
            if is_commit or path.startswith(("/kv", "/commit")):
                self.state_requests.append((self.now, "commit" if is_commit else "read"))
            return await plain(source, method, path, body)

        self.store.handle = handle  # type: ignore[method-assign]

    async def play(self) -> None:
        """Run the day, with the jobs that wait submitted evenly before the first crash."""
        work = next(work for work in self.day.classes if work.name == WAITING_CLASS)
        machines = sum(room.count for room in self.day.rooms)
        self.spawn(self._preload(work, int(machines * UNFINISHED_PER_MACHINE)))
        await super().play()

    async def _preload(self, work: Work, count: int) -> None:
        for number in range(count):
            self.spawn(self.user(self.job(WAITING_JOB_NUMBER + number, work), None))
            await asyncio.sleep(PRELOAD_S / count)

    def record_status(self, name: str, answer: dict[str, Any], asked: float | None = None) -> None:
        """Record the first time at which a user was told of a job."""
        self.accepted_at.setdefault(name, self.now)
        super().record_status(name, answer, asked)

    def leaderless_spells(self) -> list[tuple[float, float]]:
        """The times from each failure of a leader until the next one has the leader key."""
        leads = self.store.written[LEADER_KEY]
        spells = []
        for failed_at, _ in self.leader_failed:
            led_at = next((at for at in leads if at > failed_at), None)
            if led_at is not None:
                spells.append((failed_at, led_at))
        return spells


def row(seed: int, machines: int, controllers: int, state: StateLimits) -> dict[str, Any]:
    """The figures of one day; times in seconds, requests per second without a leader."""
    world, broken = play_day(day(machines, controllers, state), seed, Observed)
    assert isinstance(world, Observed)
    spells = world.leaderless_spells()
    leaderless_s = sum(end - begin for begin, end in spells)

    def is_leaderless(at: float) -> bool:
        return any(begin <= at < end for begin, end in spells)

    new = {
        name: job["at"]
        for name, job in world.jobs.items()
        if job["spec"]["jobclass"] == NEW_CLASS and is_leaderless(job["at"])
    }
    accepted = {name: world.accepted_at[name] for name in new if name in world.accepted_at}
    times = [at - new[name] for name, at in accepted.items()]
    before_lead = sum(is_leaderless(at) for at in accepted.values())
    asked = [kind for at, kind in world.state_requests if is_leaderless(at)]
    return {
        "broken": broken,
        "leaderless_s": round(leaderless_s, 1),
        "unfinished": sum(job["over"] is None for job in world.jobs.values()),
        "new": len(new),
        "accepted_without_leader": round(before_lead / max(1, len(new)), 3),
        "accepted": round(len(accepted) / max(1, len(new)), 3),
        "acceptance_s_p50": round(percentile(times, 0.5), 3),
        "acceptance_s_p95": round(percentile(times, 0.95), 3),
        "reads_s": round(asked.count("read") / max(0.001, leaderless_s), 1),
        "commits_s": round(asked.count("commit") / max(0.001, leaderless_s), 1),
    }


def run(seed: int) -> dict[str, Any]:
    """A row for each size and deployment."""
    return {
        f"{name}_{machines}": row(seed, machines, controllers, state)
        for name, (controllers, state) in DEPLOYMENTS.items()
        for machines in SIZES
    }
