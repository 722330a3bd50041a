"""Selects the waiting work that machines are rented for, in scheduling order."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from chalkgrade import constants
from chalkgrade.machines.fleet import count_tasks_by_zone
from chalkgrade.machines.placement import max_tasks_per_zone
from chalkgrade.record.jobs import Attempt, Job, JobSpec
from chalkgrade.renting.headroom import NEVER, CapacityTimeline, Headroom
from chalkgrade.renting.plan import RentalNeed
from chalkgrade.renting.report import PlanReport
from chalkgrade.sharing.term_context import TermContext


def _has_same_requirements(one: JobSpec, other: JobSpec) -> bool:
    """Whether two jobs can be planned as one: same team, requirements and task count."""
    return all(
        getattr(one, name) == getattr(other, name)
        for name in ("owner", "shape", "urgency_rank", "machine_constraints", "tasks")
    )


def _timeline(limit: float, busy: Iterable[tuple[float, float]]) -> CapacityTimeline | None:
    """Timeline of a limited resource; a limit of zero means no limit."""
    return CapacityTimeline(limit, busy) if limit else None


class WaitingWork:
    """Turns the leader's waiting jobs into the needs of a rental plan."""

    def __init__(
        self, term_context: TermContext, startable_tasks: Callable[[Job, int], int]
    ) -> None:
        self._settings = term_context.context.settings
        self._registry = term_context.registry
        self._fleet = term_context.fleet
        self._queues = term_context.queues
        self._flavors = term_context.flavors
        self._isolation = term_context.isolation
        # How many of so many waiting tasks the start constraints would let start.
        self._startable_tasks = startable_tasks

    def rental_needs(
        self, upcoming: Iterable[tuple[Job, float]], report: PlanReport
    ) -> list[RentalNeed]:
        """Returns the needs of waiting jobs, then those of jobs that may run soon.

        `upcoming` holds jobs that wait for others, and in how many seconds they may run. The
        CPUs that waiting tasks want are added to `report`.
        """
        needs: list[RentalNeed] = []
        jobs = [
            job
            for job in filter(self._isolation.is_ready, self._registry.jobs.values())
            if not job.is_blocked
        ]
        jobs = self._isolation.sort(jobs, self._queues.scheduling_key)
        for job in self._isolation.each(jobs):
            # A faulty job, or one without licence seats, gets no more machines than it may use.
            tasks = self._startable_tasks(job, job.startable_count)
            if job.aborted or job.aborting or not tasks:
                continue
            spec = self._with_bound_zone(job)
            report.team_plan(spec.owner).wanted += tasks * spec.vcpus
            self._merge_or_append(
                needs,
                RentalNeed(
                    spec,
                    tasks,
                    self._queues.expected_run_s(job),
                    self._patience_s(job),
                    self._zone_limits(job),
                ),
            )
        return needs + list(self._upcoming_needs(upcoming))

    def team_headroom(self, ends: Mapping[Attempt, float]) -> dict[str, Headroom]:
        """Returns what each team with a limit may start, now and as its running tasks end.

        `ends` holds in how many seconds each attempt ends. An attempt that is missing there (its
        machine is silent, or plans must not rely on it) counts against the limit until the
        machine reports again or is known to be gone.
        """
        limited = {team.name: team for team in self._settings.cluster.teams}
        limited = {name: team for name, team in limited.items() if team.cpus_max or team.gpus_max}
        busy: dict[str, list[tuple[float, JobSpec]]] = {name: [] for name in limited}
        for job in self._registry.jobs.values():
            if job.spec.owner in limited:
                live = job.live.values()
                busy[job.spec.owner] += [(ends.get(one, NEVER), job.spec) for one in live]
        return {
            name: Headroom(
                _timeline(team.cpus_max, ((at, spec.vcpus) for at, spec in busy[name])),
                _timeline(team.gpus_max, ((at, spec.gpus) for at, spec in busy[name])),
            )
            for name, team in limited.items()
        }

    def _patience_s(self, job: Job) -> float:
        """How long the job's tasks may wait before a machine is rented for them."""
        guest = self._queues.is_best_effort(job)
        patience = constants.MAX_GUEST_RENTAL_WAIT_S if guest else constants.MAX_RENTAL_WAIT_S
        return min(patience, max(0.0, self._queues.slack_s(job)))

    def _merge_or_append(self, needs: list[RentalNeed], need: RentalNeed) -> None:
        """Merges a need into the previous one if their jobs are alike.

        A thousand jobs of one task each are planned as one job of a thousand tasks.
        """
        last = needs[-1] if needs else None
        if (
            last is None
            or last.spec.shape == "gang"
            or last.zone_limits
            or need.zone_limits
            or not _has_same_requirements(last.spec, need.spec)
        ):
            needs.append(need)
            return
        last.run_s += (need.run_s - last.run_s) * need.tasks / (last.tasks + need.tasks)
        last.tasks += need.tasks
        last.patience_s = min(last.patience_s, need.patience_s)

    def _upcoming_needs(self, upcoming: Iterable[tuple[Job, float]]) -> Iterable[RentalNeed]:
        """Needs of jobs that may run before a machine rented for them now would have booted."""
        boot_s = min((flavor.bootS for flavor in self._flavors.values()), default=0.0)
        jobs_and_times = dict(upcoming)
        for job in self._isolation.each(filter(self._isolation.is_ready, jobs_and_times)):
            in_s = jobs_and_times[job]
            if in_s <= boot_s:
                patience = in_s + constants.MAX_RENTAL_WAIT_S
                yield RentalNeed(
                    job.spec, job.spec.tasks, self._queues.expected_run_s(job), patience
                )

    def _with_bound_zone(self, job: Job) -> JobSpec:
        """Returns the job's spec with the zone that its live tasks bind it to.

        Without this, when a zone loses most of its machines, the cheapest machine may be rented in
        another zone. No task of a one-zone job may run there, but plans would then count that
        machine as free for it.
        """
        spec = job.spec
        if not (spec.oneZone and job.live) or spec.site is not None or spec.shape == "gang":
            return spec
        zones = set(count_tasks_by_zone(job, self._fleet))
        if len(zones) > 1 or "" in zones:
            return spec
        return msgspec.structs.replace(spec, site=zones.pop())

    def _zone_limits(self, job: Job) -> dict[str, int]:
        """Returns how many more tasks of a job with `spread` may run at once in each zone."""
        if not job.spec.spread:
            return {}
        held = count_tasks_by_zone(job, self._fleet)
        most = max_tasks_per_zone(job.spec, held)
        zones = {zone for flavor in self._flavors.values() for zone in flavor.sites}
        return {zone: max(0, most - held.get(zone, 0)) for zone in zones | held.keys()}
