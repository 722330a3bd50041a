"""Reservation of machines for granted work, and preemption of running tasks.

By the rules of the protocol, a job may preempt work of a lower priority, and work within its
team's guarantee may preempt what other teams run beyond theirs. Nothing else is ever stopped here.
"""

import logging
import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from itertools import accumulate

from chalkgrade import constants
from chalkgrade.extensions.constraints import ConstraintSet
from chalkgrade.logs import decision_fields
from chalkgrade.machines.placement import PreemptionOffers, Slot, tasks_fitting_after
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.settings import Team
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.constraints import SlotReservations, TeamLimits
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, fits, minus, plus

log = logging.getLogger("chalkgrade.sharing")


def _completions_by_team(slots: Iterable[Slot]) -> dict[str, tuple[list[float], list[Vector]]]:
    """Return by team the seconds until each of its tasks ends, and the resources freed by then.

    The times are sorted; the amounts are cumulative and start with zero.
    """
    rows: dict[str, list[tuple[float, Vector]]] = defaultdict(list)
    for slot in slots:
        for occupant in slot.occupants:
            if occupant.remaining_s < math.inf:
                rows[occupant.owner].append((occupant.remaining_s, occupant.resources))
    out: dict[str, tuple[list[float], list[Vector]]] = {}
    for owner, ends in rows.items():
        ends.sort()
        sums = list(accumulate((room for _, room in ends), plus, initial=ZERO))
        out[owner] = [left_s for left_s, _ in ends], sums
    return out


class VictimFilter(Enum):
    """Restricts a search for victims further than the rules of preemption do."""

    ALL = "all"
    BEST_EFFORT = "guests"  # of borrowed resources, only those of teams without a guarantee
    CHECKPOINTED = "savers"  # only tasks that save their progress


class Preemptor:
    """Reserves machines and preempts running tasks in one round."""

    def __init__(
        self,
        snapshot: ClusterSnapshot,
        queues: Queues,
        constraints: ConstraintSet,
        team_limits: TeamLimits,
        reservations: SlotReservations,
        startable_rooms: Collection[Vector],
        preempt: bool,
        isolation: JobIsolation,
    ) -> None:
        self.snapshot = snapshot
        self.queues = queues
        self.constraints = constraints
        self.team_limits = team_limits
        self.teams: dict[str, Team] = team_limits.teams
        self.reservations = reservations
        self.startable_rooms = startable_rooms  # resource requests of all tasks that may start
        self.preempt = preempt  # whether running tasks may be stopped in this round
        self.isolation = isolation
        self.preempted_count = 0
        self.within_guarantee = False  # the round places what guarantees cover
        self.victim_filter = VictimFilter.ALL
        self._offers: dict[object, PreemptionOffers] = {}
        # Cached result of `_completions_by_team`.
        self._completions: dict[str, tuple[list[float], list[Vector]]] | None = None

    # -- methods for start constraints ---------------------------------------------------

    def preempt_own_team(self, job: Job) -> bool:
        """Preempt less urgent work of the job's own team for one task; whether that succeeded."""
        return (
            self._preempt_on_one_machine(
                job, self.snapshot.zones, True, self.max_preemption_loss(job)
            )
            > 0
        )

    def resources_ending(self, owner: str, within_s: float) -> Vector:
        """Return the resources of a team's tasks that end by themselves within some seconds.

        It is called for each refused job of a team at its maximum, so that the completion times
        of all tasks are cached. In a simulation of 4,000 machines, iterating over them for each
        job took 260 of 620 s.
        """
        if self._completions is None:
            self._completions = _completions_by_team(self.snapshot.all_slots())
        times, sums = self._completions.get(owner, ([], [ZERO]))
        return sums[bisect_right(times, within_s)]

    def machine_count(self) -> int:
        """Return the number of usable machines."""
        return len(self.snapshot.all_slots())

    def may_preempt(self, attempt: Attempt, job: Job) -> bool:
        """Whether the rules of preemption let the attempt be stopped for the job."""
        spec = attempt.job.spec
        if spec.urgency_rank < job.spec.urgency_rank and not attempt.is_starvation_guarded:
            return True
        over = self._borrowed_by_team().get(spec.owner) if self.within_guarantee else None
        return spec.owner != job.spec.owner and over is not None and fits(spec.resources[:2], over)

    def preemption_loss(self, attempt: Attempt) -> float:
        """CPU-seconds of work that stopping the attempt now would lose."""
        return self.snapshot.occupant(attempt).loss_cpu_s

    def max_preemption_loss(self, job: Job) -> float:
        """CPU-seconds of work that may be lost for one of the job's tasks."""
        return (
            constants.MAX_PREEMPTION_LOSS_RATIO * job.spec.vcpus * self.queues.expected_run_s(job)
        )

    def stop(self, attempts: Iterable[Attempt], job: Job) -> None:
        """Have running attempts stopped for a job."""
        for attempt in attempts:
            attempt.kill_requested_at = self.snapshot.now
            self.preempted_count += 1
            log.debug(
                "attempt preempted: %s on %s for job %s",
                attempt.label,
                attempt.machine,
                job.name,
                extra=decision_fields(
                    self.snapshot.fleet.token, attempt.job.name, attempt.machine, attempt.label
                ),
            )

    # -- reservation and preemption -----------------------------------------------------

    def reserve_or_preempt(self, job: Job) -> None:
        """Reserve the machines that have room soonest for granted tasks that found none.

        Without this, small tasks fill every gap, and a task that needs half a machine or more
        waits forever. If a reservation would come too late, less urgent work is preempted where
        that loses least.
        """
        waits = self.reserve_soonest(
            job, job.startable_count, constants.MAX_RESERVED_MACHINES_RATIO
        )
        zones = self.constraints.allowed_zones(job, self.snapshot.zones)
        late = max(constants.MIN_PREEMPTION_WAIT_S, self.queues.slack_s(job))
        work = self.max_preemption_loss(job)
        for wait in waits:
            if wait > late and not self._preempt_on_one_machine(job, zones, False, work):
                return

    def reserve_for_starved(self, job: Job, count: int) -> None:
        """Reserve machines for a starved queue, the same ones from round to round.

        Which machine has room soonest changes with every overdue task. If each round chose anew,
        under six times the load that can be served the reservation would move to another machine
        every second, the CPUs freed on the previous one would be taken, and no machine would ever
        become empty.
        """
        now = self.snapshot.now

        def order() -> Iterable[tuple[float, str, Slot]]:
            soonest = self.snapshot.suitable_slots(job.spec)
            late = soonest[0][0] + constants.DRAIN_RESELECTION_S if soonest else 0.0

            def is_recent_choice(entry: tuple[float, str, Slot]) -> bool:
                queue, at = self.snapshot.fleet.machines[entry[1]].kept_for_queue
                recent = queue == job.round_queue and now - at < constants.DRAIN_RESELECTION_S
                return recent and entry[0] <= late

            return sorted(soonest, key=lambda entry: not is_recent_choice(entry))

        kept = self._reserve_slots(job, count, constants.STARVATION_RESERVE_RATIO, order)
        for wait_s, slot in kept:
            if wait_s < math.inf:
                self.snapshot.fleet.machines[slot.name].kept_for_queue = (job.round_queue, now)

    def reserve_soonest(self, job: Job, count: int, part: float) -> list[float]:
        """Reserve the machines that have room soonest; return the seconds until each has it.

        `count` is the number of tasks. At most `part` of all machines are reserved at a time, for
        all jobs together. Where nothing ends by itself, the wait is `math.inf`, and nothing is
        reserved.
        """
        kept = self._reserve_slots(job, count, part, lambda: self.snapshot.suitable_slots(job.spec))
        return [wait_s for wait_s, _ in kept]

    def _reserve_slots(
        self,
        job: Job,
        count: int,
        part: float,
        order: Callable[[], Iterable[tuple[float, str, Slot]]],
    ) -> list[tuple[float, Slot]]:
        """Choose slots for a job, and reserve those that will have room for it by themselves.

        Returns them with the seconds until they do; `math.inf` where replicas of services hold the
        room, which would be kept from all others for nothing. `order` lists the slots and is called
        only if any may be reserved.
        """
        spec = job.spec
        if not any(
            fits(room, spec.resources) and room != spec.resources for room in self.startable_rooms
        ):
            return []  # no smaller task waits that could take what becomes free for this job
        zones = self.constraints.allowed_zones(job, self.snapshot.zones)
        machine_total = len(self.snapshot.slots) + len(self.snapshot.full_machines)
        max_slots = math.ceil(machine_total * part) - self.reservations.reserved_machines
        max_slots = self.constraints.max_demand(job, min(count, max_slots))
        out: list[tuple[float, Slot]] = []
        for wait_s, _, slot in order() if max_slots > 0 else ():
            if len(out) >= max_slots:
                break
            # The wait ignores tasks placed on the slot in this round, so that it is not free soon.
            if not slot.reserved_for and slot.site in zones and not slot.was_placed_on:
                out.append((wait_s, slot))
                if wait_s < math.inf:
                    self.reservations.reserve_slot(job, slot)
        return out

    def reclaim_borrowed(self, jobs: list[Job]) -> None:
        """Preempt best-effort work for guaranteed jobs behind what their next bounds need.

        Best-effort work uses idle resources, with tasks that may run longer than the deadlines of
        the teams to which the resources are guaranteed.
        """
        self._preempt_for_late_jobs(
            jobs, self.queues.required_concurrency, VictimFilter.BEST_EFFORT
        )

    def preempt_checkpointed(self, jobs: list[Job], needed: Callable[[Job], int]) -> None:
        """Preempt less urgent checkpointed work for jobs behind what their next bounds need.

        A checkpointed task loses only seconds and continues on another machine, but would hold its
        resources for longer than a short burst may take in total. Without this, the smallest
        tasks, for which nothing is reserved, wait until longer and less urgent tasks end.
        """
        self._preempt_for_late_jobs(jobs, needed, VictimFilter.CHECKPOINTED)

    def _preempt_for_late_jobs(
        self, jobs: list[Job], needed: Callable[[Job], int], victim_filter: VictimFilter
    ) -> None:
        """Preempt for jobs that lack tasks for their next bound, on `RETURN_RATIO` of the machines.

        `needed` returns how many of a job's tasks must run now.
        """
        late_jobs: list[tuple[Job, int]] = []
        for job in self.isolation.each(jobs):
            if (
                self.preempt
                and self.queues.clock.wall() - job.eligible_at > constants.MIN_PREEMPTION_WAIT_S
            ):
                count = self.constraints.max_demand(
                    job, min(job.startable_count, needed(job) - len(job.live))
                )
                if count > 0 and not self.queues.is_best_effort(job):
                    late_jobs.append((job, count))
        if not late_jobs:
            return
        slots = self.snapshot.all_slots()
        occupants = (occupant for slot in slots for occupant in slot.occupants)
        # CPUs of tasks that earlier rounds have told to stop will become free.
        cpus_being_freed = sum(occupant.resources[0] for occupant in occupants if occupant.stopping)
        machines_left = max(1, int(constants.RETURN_RATIO * len(slots)))
        self.victim_filter = victim_filter
        for job, count in late_jobs:
            vcpus = max(job.spec.vcpus, 1e-3)
            already_freed = min(count, int(cpus_being_freed / vcpus))
            cpus_being_freed -= already_freed * vcpus
            count -= already_freed
            work = self.max_preemption_loss(job)
            zones = self.constraints.allowed_zones(job, self.snapshot.zones)
            while count > 0 and machines_left > 0:
                tasks_with_room = self._preempt_on_one_machine(job, zones, False, work)
                if not tasks_with_room:
                    break
                count -= tasks_with_room if victim_filter is VictimFilter.CHECKPOINTED else 1
                machines_left -= 1
        self.victim_filter = VictimFilter.ALL

    def _borrowed_by_team(self) -> dict[str, Vector]:
        """Return the CPUs and GPUs that each team uses beyond its guarantee.

        Tasks that are being stopped do not count.
        """
        out: dict[str, Vector] = {}
        for name, team in self.teams.items():
            cpus, gpus, _ = self.team_limits.usage[name]
            out[name] = (max(0.0, cpus - team.cpus), max(0.0, gpus - team.gpus))
        for slot in self.snapshot.all_slots():
            for occupant in slot.occupants:
                if occupant.stopping and occupant.owner in out:
                    remaining = minus(out[occupant.owner], occupant.resources[:2])
                    out[occupant.owner] = (max(0.0, remaining[0]), max(0.0, remaining[1]))
        return out

    def _preempt_on_one_machine(
        self, job: Job, zones: set[str], own: bool, max_loss_cpu_s: float
    ) -> int:
        """Preempt the tasks whose loss is least; return for how many tasks that makes room.

        `own`: only tasks of the job's own team. `max_loss_cpu_s`: CPU-seconds of work that may be
        lost for one task.
        """
        spec, victim_filter = job.spec, self.victim_filter
        if not self.preempt or self.queues.slack_s(job) < 0:
            return 0  # all bounds are missed, so that no other work is sacrificed for it
        key = (
            spec.machine_constraints,
            spec.urgency_rank,
            spec.owner,
            own,
            self.within_guarantee,
            victim_filter,
        )
        if key not in self._offers:
            slots = [slot for _, _, slot in self.snapshot.suitable_slots(spec)]
            excess = self._borrowed_by_team() if self.within_guarantee else None
            if victim_filter is VictimFilter.BEST_EFFORT and excess is not None:
                without_guarantee = {
                    name for name, team in self.teams.items() if not (team.cpus or team.gpus)
                }
                excess = {name: over for name, over in excess.items() if name in without_guarantee}
            self._offers[key] = PreemptionOffers(
                spec,
                slots,
                own,
                excess,
                victim_filter is VictimFilter.BEST_EFFORT,
                victim_filter is VictimFilter.CHECKPOINTED,
            )

        def is_open(slot: Slot) -> bool:
            return (
                slot.reserved_for in ("", job.name)
                and slot.site in zones
                and not slot.was_placed_on
            )

        taken = self._offers[key].take_cheapest(is_open, max_loss_cpu_s)
        if taken is None:
            return 0
        slot, victims = taken
        self.reservations.reserve_slot(job, slot)
        machine = self.snapshot.fleet.machines[slot.name]
        for victim in victims:
            victim.stopping = True
            victim.remaining_s = 0.0
        self._completions = None
        self.stop([machine.attempts[victim.task, victim.number] for victim in victims], job)
        return tasks_fitting_after(spec, slot, victims)
