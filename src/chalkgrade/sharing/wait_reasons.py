"""Reasons why tasks wait, counted per job class, for operators.

They are computed from the jobs and the fleet on request and never stored, because a stored reason
would outlive its cause.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from chalkgrade import constants
from chalkgrade.extensions.constraints import ConstraintSet, StartConstraint
from chalkgrade.machines.flavors import Flavor, Pool, tasks_per_machine
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.record.jobs import Job
from chalkgrade.settings import Team
from chalkgrade.sharing.constraints import JobBackoff, TeamLimits
from chalkgrade.sharing.queues import Queues

REASON_STATE_UNREACHABLE = "state service out of reach"
REASON_WORKERS_UNREACHABLE = "workers out of reach"
REASON_BOOTING = "waiting for machines to boot"
REASON_NO_CAPACITY = "no capacity"
REASON_IMAGE_LOCALITY = "waiting where its image is"
REASON_NO_ROOM = "no room"

WaitReasonCounts = dict[tuple[str, str], int]  # class and reason -> tasks


def count_wait_reasons(
    jobs: Iterable[Job],
    fleet: Fleet,
    teams: dict[str, Team],
    flavors: dict[str, Flavor],
    queues: Queues,
    refused: Iterable[Pool],
    is_serving: bool,
    now: float,
    component_constraints: Sequence[StartConstraint] = (),
) -> WaitReasonCounts:
    """Count the waiting tasks of each class by reason; of several, the root cause counts.

    `refused` are the pools in which the cloud had no capacity, `is_serving` says whether the
    leader may decide anything, and `component_constraints` are those of other subsystems.
    """
    all_jobs = list(jobs)
    constraints = ConstraintSet([JobBackoff(), *component_constraints, TeamLimits(teams, queues)])
    constraints.begin_round(all_jobs, now)
    waiting = [job for job in all_jobs if len(job.waiting) and not job.aborted and not job.aborting]
    usable: dict[Pool, int] = defaultdict(int)
    booting: dict[Pool, int] = defaultdict(int)
    silent: dict[Pool, int] = defaultdict(int)
    for machine in fleet.machines.values():
        pool = (machine.hosttype, machine.site, machine.standby)
        if fleet.usable(machine):
            usable[pool] += 1
        elif machine.reported_at is None and not machine.attempts:
            booting[pool] += 1
        elif machine.reported_at is None or now - machine.reported_at >= fleet.silent_s:
            silent[pool] += 1
    out: WaitReasonCounts = defaultdict(int)
    refused_pools = dict.fromkeys(refused, 1)
    for job in waiting:
        why = _wait_reason(
            job, constraints, flavors, is_serving, now, (usable, booting, silent, refused_pools)
        )
        out[job.spec.jobclass, why] += len(job.waiting)
    return dict(out)


def _wait_reason(
    job: Job,
    constraints: ConstraintSet,
    flavors: dict[str, Flavor],
    is_serving: bool,
    now: float,
    pools: tuple[dict[Pool, int], ...],
) -> str:
    """Return why a job's tasks wait; `pools` are the usable, booting, silent and refused ones."""
    spec = job.spec
    if not is_serving:
        return REASON_STATE_UNREACHABLE
    closed = constraints.refusal_reason(job)
    if closed:
        return closed

    def suits(pool: Pool) -> bool:
        flavor = flavors.get(pool[0])
        return (
            flavor is not None
            and may_use_machine(spec, *pool)
            and tasks_per_machine(spec, flavor) > 0
        )

    usable, booting, silent, refused = (
        sum(count for pool, count in kind.items() if suits(pool)) for kind in pools
    )
    if not usable:
        return (
            REASON_BOOTING
            if booting
            else REASON_WORKERS_UNREACHABLE
            if silent
            else REASON_NO_CAPACITY
            if refused
            else REASON_NO_ROOM
        )
    if job.image_affinity_until is not None and now < job.image_affinity_until:
        return REASON_IMAGE_LOCALITY
    # A few machines that still boot, or never start, are not why many tasks wait.
    if booting > constants.MIN_BOOTING_RATIO * usable:
        return REASON_BOOTING
    return REASON_NO_CAPACITY if refused else REASON_NO_ROOM


def format_wait_reasons(counts: WaitReasonCounts) -> str:
    """Format the counts for the log: classes in order, the most frequent reason first."""
    by_class: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for (jobclass, reason), count in counts.items():
        by_class[jobclass].append((-count, reason))
    return "; ".join(
        f"{jobclass}: " + ", ".join(f"{-count} {reason}" for count, reason in sorted(reasons))
        for jobclass, reasons in sorted(by_class.items())
    )


__all__ = ["WaitReasonCounts", "count_wait_reasons", "format_wait_reasons"]
