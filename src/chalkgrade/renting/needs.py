"""Which waiting work machines are to be there for, in the order in which it would start."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from chalkgrade import constants
from chalkgrade.record.jobs import Attempt, Job, JobSpec
from chalkgrade.renting.headroom import NEVER, Headroom, Lane
from chalkgrade.renting.plan import Need
from chalkgrade.renting.report import PlanReport
from chalkgrade.sharing.term_context import TermContext


def _alike(one: JobSpec, other: JobSpec) -> bool:
    """Whether the same machines serve both alike."""
    return all(
        getattr(one, name) == getattr(other, name)
        for name in (
            "owner",
            "shape",
            "urgency_rank",
            "resources",
            "hosttypes",
            "site",
            "standby",
            "tasks",
        )
    )


def _lane(limit: float, busy: Iterable[tuple[float, float]]) -> Lane | None:
    return Lane(limit, busy) if limit else None


class WaitingWork:
    """The leader's waiting jobs as the needs of a rental plan."""

    def __init__(self, domain: TermContext, able: Callable[[Job, int], int]) -> None:
        self._settings = domain.context.settings
        self._book = domain.registry
        self._fleet = domain.fleet
        self._queues = domain.queues
        self._flavors = domain.flavors
        self._able = able  # how many waiting tasks could start, as far as gates are concerned

    def needs(self, coming: Iterable[tuple[Job, float]], report: PlanReport) -> list[Need]:
        """Waiting work; `coming`: jobs, and in how many s they may run."""
        out: list[Need] = []
        jobs = [job for job in self._book.jobs.values() if not job.is_blocked]
        for job in sorted(jobs, key=self._queues.scheduling_key):
            # A faulty job, or one without seats, gets no more machines than it may use.
            tasks = self._able(job, job.startable_count)
            if job.aborted or job.aborting or not tasks:
                continue
            spec = self._bound(job)
            report.of(spec.owner).wanted += tasks * spec.vcpus
            self._add(
                out, Need(spec, tasks, self._queues.expected_run_s(job), self._patience_s(job))
            )
        return out + list(self._coming(coming))

    def headroom(self, ends: Mapping[Attempt, float]) -> dict[str, Headroom]:
        """What the maxima of the teams that have some leave, now and as running tasks end.

        `ends`: in how many seconds; what is not there (its machine is silent, or no more to be
        counted on) counts against the maximum until the machine is heard of or surely gone.
        """
        limited = {team.name: team for team in self._settings.cluster.teams}
        limited = {name: team for name, team in limited.items() if team.cpus_max or team.gpus_max}
        busy: dict[str, list[tuple[float, JobSpec]]] = {name: [] for name in limited}
        for job in self._book.jobs.values():
            if job.spec.owner in limited:
                live = job.live.values()
                busy[job.spec.owner] += [(ends.get(one, NEVER), job.spec) for one in live]
        return {
            name: Headroom(
                _lane(team.cpus_max, ((at, spec.vcpus) for at, spec in busy[name])),
                _lane(team.gpus_max, ((at, spec.gpus) for at, spec in busy[name])),
            )
            for name, team in limited.items()
        }

    def _patience_s(self, job: Job) -> float:
        guest = self._queues.is_best_effort(job)
        patience = constants.MAX_GUEST_RENTAL_WAIT_S if guest else constants.MAX_RENTAL_WAIT_S
        return min(patience, max(0.0, self._queues.slack_s(job)))

    def _add(self, out: list[Need], need: Need) -> None:
        """A thousand jobs of one task each are planned as one of a thousand."""
        last = out[-1] if out else None
        if last is None or last.spec.shape == "gang" or not _alike(last.spec, need.spec):
            out.append(need)
            return
        last.run_s += (need.run_s - last.run_s) * need.tasks / (last.tasks + need.tasks)
        last.tasks += need.tasks
        last.patience_s = min(last.patience_s, need.patience_s)

    def _coming(self, coming: Iterable[tuple[Job, float]]) -> Iterable[Need]:
        """Jobs that may run before a machine that is rented then would be up."""
        boot_s = min((flavor.bootS for flavor in self._flavors.values()), default=0.0)
        for job, in_s in coming:
            if in_s <= boot_s:
                patience = in_s + constants.MAX_RENTAL_WAIT_S
                yield Need(job.spec, job.spec.tasks, self._queues.expected_run_s(job), patience)

    def _bound(self, job: Job) -> JobSpec:
        """What a job asks for, and the zone that its live tasks bind it to.

        Found when a zone lost most of its machines: the cheapest resources was rented in the other
        one, where no task of the job may go, and counted as free for it from then on.
        """
        spec = job.spec
        if not (spec.oneZone and job.live) or spec.site is not None or spec.shape == "gang":
            return spec
        known = (self._fleet.machines.get(attempt.machine) for attempt in job.live.values())
        zones = {machine.site if machine else "" for machine in known}
        if len(zones) > 1 or "" in zones:
            return spec
        return msgspec.structs.replace(spec, site=zones.pop())
