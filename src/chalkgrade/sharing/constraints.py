"""The gates that every round has: pauses, the teams' maxima, zones, kept room."""

from collections import defaultdict
from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.placement import Slot, zones_open
from chalkgrade.record.jobs import Job
from chalkgrade.seams.gates import Gate, Stops
from chalkgrade.settings import Team
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import EPS, ZERO, Vector, fits, minus, plus

REASON_BACKOFF = "backing off after failures"
REASON_TEAM_LIMIT = "team maximum"
UNLIMITED = 1e18  # more than any team can use


class JobBackoff(Gate):
    """Aborted work starts no more; a faulty job is probed after pauses."""

    def __init__(self) -> None:
        self._now = 0.0

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        self._now = now

    def ready(self, job: Job) -> bool:
        return (
            job.startable > 0
            and not job.aborted
            and not job.aborting
            and self._now >= job.not_before
        )

    def most(self, job: Job, count: int) -> int:
        return min(count, job.startable)

    def why(self, job: Job) -> str:
        return REASON_BACKOFF if job.faulty or self._now < job.not_before else ""


class TeamLimits(Gate):
    """A team's maximum counts everything of it that may be present."""

    def __init__(self, teams: dict[str, Team], queues: Queues) -> None:
        self.teams = teams
        self._queues = queues
        self.usage: dict[str, Vector] = defaultdict(lambda: ZERO)
        self._reserved_urgency: dict[
            str, int
        ] = {}  # team at its maximum -> urgency it keeps room for
        self._available_soon: dict[str, Vector] = {}  # what its maximum leaves before long
        self._service_usage: dict[str, Vector] = defaultdict(lambda: ZERO)  # of used, by services

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        self.usage.clear()
        self._reserved_urgency.clear()
        self._available_soon.clear()
        self._service_usage.clear()
        for job in jobs:
            if job.live:
                taken = tuple(a * len(job.live) for a in job.spec.room)
                self.usage[job.spec.owner] = plus(self.usage[job.spec.owner], taken)
                if job.spec.shape == "service":
                    self._service_usage[job.spec.owner] = plus(
                        self._service_usage[job.spec.owner], taken
                    )

    def ready(self, job: Job) -> bool:
        return job.spec.owner in self.teams

    def limit(self, owner: str) -> Vector:
        team = self.teams[owner]
        return (team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED, UNLIMITED)

    def _fits(self, job: Job, count: int) -> bool:
        need = job.spec.room if count == 1 else tuple(a * count for a in job.spec.room)
        return fits(plus(self.usage[job.spec.owner], need), self.limit(job.spec.owner))

    def most(self, job: Job, count: int) -> int:
        # What the maximum leaves is kept for more urgent work of the team.
        if job.spec.rank < self._reserved_urgency.get(job.spec.owner, job.spec.rank):
            return 0
        if not count or self._fits(job, count):
            return count
        spare = minus(self.limit(job.spec.owner), self.usage[job.spec.owner])
        rooms = zip(spare, job.spec.room, strict=True)
        fit = (int((left + EPS) // need) for left, need in rooms if need > 0)
        return max(0, min(count - 1, *fit))

    def took(self, job: Job, site: str) -> None:
        self.usage[job.spec.owner] = plus(self.usage[job.spec.owner], job.spec.room)

    def make_way(self, job: Job, stops: Stops) -> None:
        """A team at its maximum: keep what frees up for its most urgent waiting work.

        Else its small tasks take each freed CPU, and four at once never come free. Only if
        enough of them do before long: beside a service that fills the rest of its maximum,
        what is left would be kept from all others for ever.
        """
        spec = job.spec
        if self._reserved_urgency.get(spec.owner, spec.rank) > spec.rank:
            return
        if spec.owner not in self._available_soon:
            spare = minus(self.limit(spec.owner), self.usage[spec.owner])
            spare = plus(spare, stops.ending(spec.owner, constants.KEPT_S))
            # Replicas end when they are called off, not when they have run for their time.
            most = minus(self.limit(spec.owner), self._service_usage[spec.owner])
            self._available_soon[spec.owner] = tuple(map(min, spare, most))
        if fits(spec.room, self._available_soon[spec.owner]):
            self._reserved_urgency[spec.owner] = spec.rank
        if not stops.preempt:
            return
        wanted = tuple(a * min(len(job.waiting), stops.machines()) for a in spec.room)
        over = minus(plus(self.usage[spec.owner], wanted), self.limit(spec.owner))
        slack = max(constants.PREEMPT_WAIT_S, self._queues.slack_s(job))
        over = minus(over, stops.ending(spec.owner, slack))
        while (over[0] > 0 or over[1] > 0) and stops.own_room(job):
            over = minus(over, spec.room)

    def why(self, job: Job) -> str:
        known = job.spec.owner in self.teams
        return "" if known and self._fits(job, 1) else REASON_TEAM_LIMIT


class ZoneConstraints(Gate):
    """All of a job in one zone, or at most half of it in each."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks_by_zone: dict[Job, dict[str, int]] = {}

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        self._tasks_by_zone.clear()

    def tasks_by_zone(self, job: Job) -> dict[str, int]:
        """Its tasks that may be present, by zone; "" where the zone is not known yet."""
        if job not in self._tasks_by_zone:
            zone_of = self._tasks_by_zone[job] = defaultdict(int)
            if job.spec.oneZone or job.spec.spread:
                for attempt in job.live.values():
                    machine = self._fleet.machines.get(attempt.machine)
                    zone_of[machine.site if machine else ""] += 1
        return self._tasks_by_zone[job]

    def sites(self, job: Job, sites: set[str]) -> set[str]:
        if not (job.spec.oneZone or job.spec.spread):
            return sites
        return zones_open(job.spec, self.tasks_by_zone(job), sites)

    def took(self, job: Job, site: str) -> None:
        if job.spec.oneZone or job.spec.spread:
            self.tasks_by_zone(job)[site] += 1


class SlotReservations(Gate):
    """Room that is kept on machines for granted work that found none yet.

    Without it, small tasks refill every gap and a task that needs half a machine
    or more waits for ever.
    """

    def __init__(self) -> None:
        self.reserved_machines = 0  # machines that room is kept on

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        self.reserved_machines = 0  # the slots that say for whom are made anew for each round

    def reserve_slot(self, job: Job, slot: Slot) -> None:
        """Keep room for one task; on a large machine the rest stays free for others."""
        self.reserved_machines += not slot.kept_for
        slot.kept_for, slot.kept = job.name, job.spec.room

    def opens(self, job: Job, slot: Slot) -> bool:
        return not slot.kept_for or fits(job.spec.room, slot.room_for(job.name))
