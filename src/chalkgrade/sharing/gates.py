"""The gates that every round has: pauses, the teams' maxima, zones, kept room."""

from collections import defaultdict
from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.extensions.constraints import Preemption, StartConstraint
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.placement import Slot, eligible_zones
from chalkgrade.record.jobs import Job
from chalkgrade.settings import Team
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import EPS, ZERO, Vector, fits, minus, plus

FAULTY = "backing off after failures"
MAXIMUM = "team maximum"
NO_LIMIT = 1e18  # more than any team can use


class Pauses(StartConstraint):
    """Aborted work starts no more; a faulty job is probed after pauses."""

    def __init__(self) -> None:
        self._now = 0.0

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self._now = now

    def is_ready(self, job: Job) -> bool:
        return (
            job.startable > 0
            and not job.aborted
            and not job.aborting
            and self._now >= job.not_before
        )

    def max_starts(self, job: Job, count: int) -> int:
        return min(count, job.startable)

    def refusal_reason(self, job: Job) -> str:
        return FAULTY if job.faulty or self._now < job.not_before else ""


class Maxima(StartConstraint):
    """A team's maximum counts everything of it that may be present."""

    def __init__(self, teams: dict[str, Team], queues: Queues) -> None:
        self.teams = teams
        self._queues = queues
        self.used: dict[str, Vector] = defaultdict(lambda: ZERO)
        self._keeps: dict[str, int] = {}  # team at its maximum -> urgency it keeps room for
        self._soon: dict[str, Vector] = {}  # what its maximum leaves before long
        self._lasting: dict[str, Vector] = defaultdict(lambda: ZERO)  # of used, by services

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self.used.clear()
        self._keeps.clear()
        self._soon.clear()
        self._lasting.clear()
        for job in jobs:
            if job.live:
                taken = tuple(a * len(job.live) for a in job.spec.room)
                self.used[job.spec.owner] = plus(self.used[job.spec.owner], taken)
                if job.spec.shape == "service":
                    self._lasting[job.spec.owner] = plus(self._lasting[job.spec.owner], taken)

    def is_ready(self, job: Job) -> bool:
        return job.spec.owner in self.teams

    def limit(self, owner: str) -> Vector:
        team = self.teams[owner]
        return (team.cpus_max or NO_LIMIT, team.gpus_max or NO_LIMIT, NO_LIMIT)

    def _fits(self, job: Job, count: int) -> bool:
        need = job.spec.room if count == 1 else tuple(a * count for a in job.spec.room)
        return fits(plus(self.used[job.spec.owner], need), self.limit(job.spec.owner))

    def max_starts(self, job: Job, count: int) -> int:
        # What the maximum leaves is kept for more urgent work of the team.
        if job.spec.rank < self._keeps.get(job.spec.owner, job.spec.rank):
            return 0
        if not count or self._fits(job, count):
            return count
        spare = minus(self.limit(job.spec.owner), self.used[job.spec.owner])
        rooms = zip(spare, job.spec.room, strict=True)
        fit = (int((left + EPS) // need) for left, need in rooms if need > 0)
        return max(0, min(count - 1, *fit))

    def on_placed(self, job: Job, site: str) -> None:
        self.used[job.spec.owner] = plus(self.used[job.spec.owner], job.spec.room)

    def preempt_for(self, job: Job, stops: Preemption) -> None:
        """A team at its maximum: keep what frees up for its most urgent waiting work.

        Else its small tasks take each freed CPU, and four at once never come free. Only if
        enough of them do before long: beside a service that fills the rest of its maximum,
        what is left would be kept from all others for ever.
        """
        spec = job.spec
        if self._keeps.get(spec.owner, spec.rank) > spec.rank:
            return
        if spec.owner not in self._soon:
            spare = minus(self.limit(spec.owner), self.used[spec.owner])
            spare = plus(spare, stops.resources_ending(spec.owner, constants.KEPT_S))
            # Replicas end when they are called off, not when they have run for their time.
            most = minus(self.limit(spec.owner), self._lasting[spec.owner])
            self._soon[spec.owner] = tuple(map(min, spare, most))
        if fits(spec.room, self._soon[spec.owner]):
            self._keeps[spec.owner] = spec.rank
        if not stops.preempt:
            return
        wanted = tuple(a * min(len(job.waiting), stops.machine_count()) for a in spec.room)
        over = minus(plus(self.used[spec.owner], wanted), self.limit(spec.owner))
        slack = max(constants.PREEMPT_WAIT_S, self._queues.slack(job))
        over = minus(over, stops.resources_ending(spec.owner, slack))
        while (over[0] > 0 or over[1] > 0) and stops.preempt_own_team(job):
            over = minus(over, spec.room)

    def refusal_reason(self, job: Job) -> str:
        known = job.spec.owner in self.teams
        return "" if known and self._fits(job, 1) else MAXIMUM


class Zones(StartConstraint):
    """All of a job in one zone, or at most half of it in each."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._held: dict[Job, dict[str, int]] = {}

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self._held.clear()

    def held(self, job: Job) -> dict[str, int]:
        """Its tasks that may be present, by zone; "" where the zone is not known yet."""
        if job not in self._held:
            zone_of = self._held[job] = defaultdict(int)
            if job.spec.oneZone or job.spec.spread:
                for attempt in job.live.values():
                    machine = self._fleet.machines.get(attempt.machine)
                    zone_of[machine.site if machine else ""] += 1
        return self._held[job]

    def allowed_zones(self, job: Job, sites: set[str]) -> set[str]:
        if not (job.spec.oneZone or job.spec.spread):
            return sites
        return eligible_zones(job.spec, self.held(job), sites)

    def on_placed(self, job: Job, site: str) -> None:
        if job.spec.oneZone or job.spec.spread:
            self.held(job)[site] += 1


class KeptRoom(StartConstraint):
    """Room that is kept on machines for granted work that found none yet.

    Without it, small tasks refill every gap and a task that needs half a machine
    or more waits for ever.
    """

    def __init__(self) -> None:
        self.count = 0  # machines that room is kept on

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        self.count = 0  # the slots that say for whom are made anew for each round

    def keep(self, job: Job, slot: Slot) -> None:
        """Keep room for one task; on a large machine the rest stays free for others."""
        self.count += not slot.reserved_for
        slot.reserved_for, slot.reserved = job.name, job.spec.room

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        return not slot.reserved_for or fits(job.spec.room, slot.room_for(job.name))
