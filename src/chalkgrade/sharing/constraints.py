"""The start constraints of every round: backoff, team limits, zones and machine reservations."""

from collections import defaultdict
from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.extensions.constraints import Preemption, StartConstraint
from chalkgrade.machines.fleet import Fleet, count_tasks_by_zone
from chalkgrade.machines.message_size import machine_demand
from chalkgrade.machines.placement import Slot, eligible_zones
from chalkgrade.record.jobs import Job
from chalkgrade.settings import Team
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import CPUS, EPS, GPUS, ZERO, Vector, count_fitting, fits, minus, plus

# Reasons that operators see for waiting tasks.
REASON_BACKOFF = "backing off after failures"
REASON_TEAM_LIMIT = "team maximum"
UNLIMITED = 1e18  # an amount of any resource that no team can reach


def job_backoff_s(failures: int) -> float:
    """Return the pause in seconds after a job's first failure and so many repeated ones."""
    doublings = min(constants.MAX_BACKOFF_DOUBLINGS, failures)
    return min(constants.MAX_JOB_BACKOFF_S, constants.MIN_JOB_BACKOFF_S * 2.0**doublings)


class JobBackoff(StartConstraint):
    """Starts nothing of aborted jobs, and probes a failing job only after a backoff delay."""

    def __init__(self) -> None:
        self._now = 0.0

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Start a round at the steady time `now` in seconds."""
        self._now = now

    def is_ready(self, job: Job) -> bool:
        """Whether the job has tasks to start, is not aborted, and its backoff delay is over."""
        return (
            job.startable_count > 0
            and not job.aborted
            and not job.aborting
            and self._now >= job.retry_at
        )

    def max_starts(self, job: Job, count: int) -> int:
        """Limit the count to the tasks that may start; of a failing job, only a few probes may."""
        return min(count, job.startable_count)

    def refusal_reason(self, job: Job) -> str:
        """Return the reason why the job may not start, or an empty string."""
        return REASON_BACKOFF if job.is_faulty or self._now < job.retry_at else ""


class TeamLimits(StartConstraint):
    """Keeps each team within its maximum, counting all its attempts that may still be present."""

    def __init__(self, teams: dict[str, Team], queues: Queues) -> None:
        self.teams = teams
        self._queues = queues
        self.usage: dict[str, Vector] = defaultdict(lambda: ZERO)
        # Team at its maximum -> lowest urgency that may use what becomes free.
        self._reserved_urgency: dict[str, int] = {}
        # Team -> what its maximum leaves once the tasks that end soon have ended.
        self._available_soon: dict[str, Vector] = {}

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Start a round: sum up each team's usage from the live attempts of its jobs."""
        self.usage.clear()
        self._reserved_urgency.clear()
        self._available_soon.clear()
        for job in jobs:
            if job.live:
                job_usage = tuple(a * len(job.live) for a in job.spec.resources)
                self.usage[job.spec.owner] = plus(self.usage[job.spec.owner], job_usage)

    def is_ready(self, job: Job) -> bool:
        """Whether the job's team is configured."""
        return job.spec.owner in self.teams

    def limit(self, owner: str) -> Vector:
        """Return the maximum of a team, `UNLIMITED` for a resource without one."""
        team = self.teams[owner]
        return (team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED, UNLIMITED)

    def _fits(self, job: Job, count: int) -> bool:
        """Whether `count` more tasks of the job fit within its team's maximum."""
        need = job.spec.resources if count == 1 else tuple(a * count for a in job.spec.resources)
        return fits(plus(self.usage[job.spec.owner], need), self.limit(job.spec.owner))

    def max_starts(self, job: Job, count: int) -> int:
        """How many of `count` more tasks fit within the team's maximum."""
        # What the maximum leaves is reserved for more urgent work of the team.
        if job.spec.urgency_rank < self._reserved_urgency.get(
            job.spec.owner, job.spec.urgency_rank
        ):
            return 0
        if not count or self._fits(job, count):
            return count
        limit, usage = self.limit(job.spec.owner), self.usage[job.spec.owner]
        if not fits(usage, limit):
            return 0  # over a maximum that was lowered, even if the job takes nothing of it
        return count_fitting(job.spec.resources, minus(limit, usage), count - 1)

    def on_placed(self, job: Job, site: str) -> None:
        """Add a placed task to its team's usage."""
        self.usage[job.spec.owner] = plus(self.usage[job.spec.owner], job.spec.resources)

    def preempt_for(self, job: Job, stops: Preemption) -> None:
        """Reserve what becomes free within a team's maximum for its most urgent waiting work.

        Otherwise the team's small tasks take each CPU that becomes free, and a task that needs
        four CPUs at once never starts. Nothing is reserved unless enough becomes free soon: next
        to a service that fills the rest of the maximum, the remainder would be withheld from the
        team's other work forever. If that does not suffice in time and the round may preempt,
        less urgent work of the team is stopped.
        """
        spec = job.spec
        if self._reserved_urgency.get(spec.owner, spec.urgency_rank) > spec.urgency_rank:
            return
        if spec.owner not in self._available_soon:
            unused = minus(self.limit(spec.owner), self.usage[spec.owner])
            ending = stops.resources_ending(spec.owner, constants.UNUSED_MAXIMUM_HORIZON_S)
            self._available_soon[spec.owner] = plus(unused, ending)
        if fits(spec.resources, self._available_soon[spec.owner]):
            self._reserved_urgency[spec.owner] = spec.urgency_rank
        if not stops.preempt:
            return
        wanted = tuple(a * min(len(job.waiting), stops.machine_count()) for a in spec.resources)
        excess = minus(plus(self.usage[spec.owner], wanted), self.limit(spec.owner))
        slack = max(constants.MIN_PREEMPTION_WAIT_S, self._queues.slack_s(job))
        excess = minus(excess, stops.resources_ending(spec.owner, slack))
        # What the job doesn't take can't be freed for it, however many tasks are stopped.
        short = [kind for kind in (CPUS, GPUS) if spec.resources[kind] > EPS]
        while any(excess[kind] > 0 for kind in short) and stops.preempt_own_team(job):
            excess = minus(excess, spec.resources)

    def refusal_reason(self, job: Job) -> str:
        """Return the reason if one more task would exceed the maximum, else an empty string."""
        is_known_team = job.spec.owner in self.teams
        return "" if is_known_team and self._fits(job, 1) else REASON_TEAM_LIMIT


class ZoneConstraints(StartConstraint):
    """Keeps a job in one zone (`oneZone`), or at most half of it in each zone (`spread`)."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks_by_zone: dict[Job, dict[str, int]] = {}

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Start a round: discard the counts of the previous one."""
        self._tasks_by_zone.clear()

    def tasks_by_zone(self, job: Job) -> dict[str, int]:
        """Count a job's tasks that may be present by zone; "" where the zone is not known yet."""
        if job not in self._tasks_by_zone:
            is_bound = job.spec.oneZone or job.spec.spread
            counts = count_tasks_by_zone(job, self._fleet) if is_bound else {}
            self._tasks_by_zone[job] = defaultdict(int, counts)
        return self._tasks_by_zone[job]

    def allowed_zones(self, job: Job, sites: set[str]) -> set[str]:
        """Return the zones in which the next task may start."""
        if not (job.spec.oneZone or job.spec.spread):
            return sites
        return eligible_zones(job.spec, self.tasks_by_zone(job), sites)

    def on_placed(self, job: Job, site: str) -> None:
        """Count a task placed in a zone in this round."""
        if job.spec.oneZone or job.spec.spread:
            self.tasks_by_zone(job)[site] += 1


class SlotReservations(StartConstraint):
    """Reserves machines for granted tasks that found no machine with room yet.

    Without reservations, small tasks fill every gap, and a task that needs half a machine or more
    waits forever.
    """

    def __init__(self) -> None:
        self.reserved_machines = 0  # number of machines with a reservation

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Start a round without reservations."""
        self.reserved_machines = 0  # the slots, which hold the reservations, are rebuilt per round

    def reserve_slot(self, job: Job, slot: Slot) -> None:
        """Reserve room for one task; on a large machine the rest stays available to other jobs."""
        self.reserved_machines += not slot.reserved_for
        slot.reserved_for, slot.reserved = job.name, machine_demand(job.spec)

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        """Whether the task fits into the room that is not reserved for another job."""
        return not slot.reserved_for or fits(machine_demand(job.spec), slot.room_for(job.name))
