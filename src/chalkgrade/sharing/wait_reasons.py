"""Why work stands still: a word for operators on each class that has tasks waiting.

Worked out from the book and the fleet when it is asked for, never stored: a
reason that is remembered would outlive its cause.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from chalkgrade import constants
from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.kinds import Flavor, Pool, per_machine
from chalkgrade.machines.placement import allowed
from chalkgrade.record.jobs import Job
from chalkgrade.seams.gates import Gate, Gates
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
    live: bool,
    now: float,
    outer: Sequence[Gate] = (),
) -> WaitReasonCounts:
    """How many tasks of each class wait for which reason, the one nearest its cause first."""
    known = list(jobs)
    gates = Gates([JobBackoff(), *outer, TeamLimits(teams, queues)])
    gates.begin(known, now)
    waiting = [job for job in known if len(job.waiting) and not job.aborted and not job.aborting]
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
    shut = dict.fromkeys(refused, 1)
    for job in waiting:
        why = _wait_reason(job, gates, flavors, live, now, (usable, booting, silent, shut))
        out[job.spec.jobclass, why] += len(job.waiting)
    return dict(out)


def _wait_reason(
    job: Job,
    gates: Gates,
    flavors: dict[str, Flavor],
    live: bool,
    now: float,
    pools: tuple[dict[Pool, int], ...],
) -> str:
    spec = job.spec
    if not live:
        return REASON_STATE_UNREACHABLE
    closed = gates.why(job)
    if closed:
        return closed

    def suits(pool: Pool) -> bool:
        flavor = flavors.get(pool[0])
        return flavor is not None and allowed(spec, *pool) and per_machine(spec, flavor) > 0

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
    if job.stays_until is not None and now < job.stays_until:
        return REASON_IMAGE_LOCALITY
    # A few that still boot, or never come, are not why so many wait.
    if booting > constants.BOOTING_PART * usable:
        return REASON_BOOTING
    return REASON_NO_CAPACITY if refused else REASON_NO_ROOM


def format_wait_reasons(found: WaitReasonCounts) -> str:
    """The log's line: classes in order, the most frequent reason first."""
    by_class: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for (jobclass, reason), count in found.items():
        by_class[jobclass].append((-count, reason))
    return "; ".join(
        f"{jobclass}: " + ", ".join(f"{-count} {reason}" for count, reason in sorted(reasons))
        for jobclass, reasons in sorted(by_class.items())
    )


__all__ = ["WaitReasonCounts", "count_wait_reasons", "format_wait_reasons"]
