"""Making room: keeping what frees up for granted work, stopping what may be stopped.

The rules are the protocol's: work of a lower priority; for work within its team's
guarantee, what other teams run beyond theirs. Nothing else is ever stopped here.
"""

import logging
import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from itertools import accumulate

from chalkgrade import constants
from chalkgrade.logs import about
from chalkgrade.machines.placement import Offers, Slot, tasks_in
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.seams.gates import Gates
from chalkgrade.settings import Team
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.constraints import SlotReservations, TeamLimits
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, fits, minus, plus

log = logging.getLogger("chalkgrade.sharing")


def _completions_by_team(slots: Iterable[Slot]) -> dict[str, tuple[list[float], list[Vector]]]:
    """By team, in how many seconds its tasks end, and the room of all that end by then."""
    rows: dict[str, list[tuple[float, Vector]]] = defaultdict(list)
    for slot in slots:
        for mate in slot.occupants:
            rows[mate.owner].append((mate.left_s, mate.room))
    out: dict[str, tuple[list[float], list[Vector]]] = {}
    for owner, ends in rows.items():
        ends.sort()
        sums = list(accumulate((room for _, room in ends), plus, initial=ZERO))
        out[owner] = [left_s for left_s, _ in ends], sums
    return out


class VictimFilter(Enum):
    """Whom a search for room may stop, among those whom the rules let it stop."""

    ALL = "all"
    BEST_EFFORT = "guests"  # of what others run beyond their guarantees, the guests' part
    CHECKPOINTED = "savers"  # what saves its progress


class Preemptor:
    """The room that one round keeps and makes."""

    def __init__(
        self,
        floor: ClusterSnapshot,
        queues: Queues,
        gates: Gates,
        maxima: TeamLimits,
        kept: SlotReservations,
        rooms: Collection[Vector],
        preempt: bool,
    ) -> None:
        self.snapshot = floor
        self.queues = queues
        self.gates = gates
        self.team_limits = maxima
        self.teams: dict[str, Team] = maxima.teams
        self.reservations = kept
        self.startable_rooms = rooms  # of all tasks that may start
        self.preempt = preempt  # whether running work may be stopped in this round
        self.preempted_count = 0
        self.within_guarantee = False  # placing what a guarantee covers
        self.victim_filter = VictimFilter.ALL
        self._offers: dict[object, Offers] = {}
        # By team, when its tasks end by themselves, and the room of all until then.
        self._completions: dict[str, tuple[list[float], list[Vector]]] | None = None

    # -- what gates may ask of it (`seams.gates.Stops`) ---------------------------------

    def own_room(self, job: Job) -> bool:
        return self._preempt_on_one_machine(job, self.snapshot.zones, True, self.worth(job)) > 0

    def ending(self, owner: str, within_s: float) -> Vector:
        """Asked for each refused job of a team at its maximum: the machines are gone through once.

        Found at 4,000 machines in the region: going through them for each took 260 of 620 s.
        """
        if self._completions is None:
            self._completions = _completions_by_team(self.snapshot.all_slots())
        times, sums = self._completions.get(owner, ([], [ZERO]))
        return sums[bisect_right(times, within_s)]

    def machines(self) -> int:
        return len(self.snapshot.all_slots())

    def may_stop(self, attempt: Attempt, job: Job) -> bool:
        spec = attempt.job.spec
        if spec.rank < job.spec.rank and not attempt.guarded:
            return True
        over = self._borrowed_by_team().get(spec.owner) if self.within_guarantee else None
        return spec.owner != job.spec.owner and over is not None and fits(spec.room[:2], over)

    def loss(self, attempt: Attempt) -> float:
        return self.snapshot.occupant(attempt).lost

    def worth(self, job: Job) -> float:
        return constants.PREEMPT_RATIO * job.spec.vcpus * self.queues.expected_run_s(job)

    def stop(self, attempts: Iterable[Attempt], job: Job) -> None:
        for attempt in attempts:
            attempt.kill_at = self.snapshot.now
            self.preempted_count += 1
            log.debug(
                "stopping %s on %s for %s",
                attempt.label,
                attempt.machine,
                job.name,
                extra=about(
                    self.snapshot.fleet.token, attempt.job.name, attempt.machine, attempt.label
                ),
            )

    # -- keeping and making it ----------------------------------------------------------

    def reserve_or_preempt(self, job: Job) -> None:
        """Keep machines that will have room soonest for granted tasks that found none.

        Without this, small tasks refill every gap and a task that needs half a
        machine or more waits for ever. Urgent work that would come too late
        stops less urgent work where that loses least.
        """
        waits = self.reserve_soonest(job, job.startable, constants.RESERVE_PART)
        zones = self.gates.sites(job, self.snapshot.zones)
        late = max(constants.PREEMPT_WAIT_S, self.queues.slack_s(job))
        work = self.worth(job)
        for wait in waits:
            if wait > late and not self._preempt_on_one_machine(job, zones, False, work):
                return

    def reserve_for_starved(self, job: Job, count: int) -> None:
        """Keep machines for a starving queue, the same ones from round to round.

        Which machine has room soonest changes with every overdue task. Seen on seeded days
        of six times the work: the machine that was kept was another one every second, the
        CPUs that had come free on the last one were taken, and none was ever empty.
        """
        now = self.snapshot.now

        def order() -> Iterable[tuple[float, str, Slot]]:
            soonest = self.snapshot.suitable_slots(job.spec)
            late = soonest[0][0] + constants.DRAIN_STAY_S if soonest else 0.0

            def stays(entry: tuple[float, str, Slot]) -> bool:
                queue, at = self.snapshot.fleet.machines[entry[1]].drains
                recent = queue == job.group and now - at < constants.DRAIN_STAY_S
                return recent and entry[0] <= late

            return sorted(soonest, key=lambda entry: not stays(entry))

        for slot in self._reserve_slots(job, count, constants.STARVE_KEEP, order):
            self.snapshot.fleet.machines[slot.name].drains = (job.group, now)

    def reserve_soonest(self, job: Job, count: int, part: float) -> list[float]:
        """Keep the machines that have room soonest for so many tasks; when they will have.

        No more machines than a part of all are kept, for whomever.
        """
        kept = self._reserve_slots(job, count, part, lambda: self.snapshot.suitable_slots(job.spec))
        names = {slot.name for slot in kept}
        if not names:
            return []  # so it mostly is: the machines are not gone through for it
        return [wait for wait, name, _ in self.snapshot.suitable_slots(job.spec) if name in names]

    def _reserve_slots(
        self,
        job: Job,
        count: int,
        part: float,
        order: Callable[[], Iterable[tuple[float, str, Slot]]],
    ) -> list[Slot]:
        """`order`: the machines, worked out only where some may be kept."""
        spec = job.spec
        if not any(fits(room, spec.room) and room != spec.room for room in self.startable_rooms):
            return []  # nothing smaller waits: whatever frees up is as good for this job
        zones = self.gates.sites(job, self.snapshot.zones)
        every = len(self.snapshot.slots) + len(self.snapshot.full_machines)
        most = math.ceil(every * part) - self.reservations.reserved_machines
        most = self.gates.able(job, min(count, most))
        out: list[Slot] = []
        for _, _, slot in order() if most > 0 else ():
            if len(out) >= most:
                break
            # What was placed there in this round is not in its wait: it is not soon free.
            if not slot.kept_for and slot.site in zones and not slot.touched:
                out.append(slot)
                self.reservations.reserve_slot(job, slot)
        return out

    def reclaim_borrowed(self, jobs: list[Job]) -> None:
        """Guaranteed work behind what its next bound needs gets back what guests hold.

        Guests fill what is idle, with tasks that may run longer than a deadline
        of those whom the room is promised to.
        """
        self._preempt_for_late_jobs(
            jobs, self.queues.required_concurrency, VictimFilter.BEST_EFFORT
        )

    def preempt_checkpointed(self, jobs: list[Job], needed: Callable[[Job], int]) -> None:
        """Work behind what its next bound needs stops less urgent work that saves.

        What saves loses seconds and goes on elsewhere, but holds its room for longer
        than a short burst may take in all. Without this, the smallest tasks, for
        which no room is kept, wait until longer and less urgent ones end.
        """
        self._preempt_for_late_jobs(jobs, needed, VictimFilter.CHECKPOINTED)

    def _preempt_for_late_jobs(
        self, jobs: list[Job], needed: Callable[[Job], int], only: VictimFilter
    ) -> None:
        """Stop what may be stopped for jobs that are behind, on a part of the machines."""
        behind: list[tuple[Job, int]] = []
        for job in jobs:
            if self.preempt and self.queues.clock.wall() - job.open_at > constants.PREEMPT_WAIT_S:
                count = self.gates.able(job, min(job.startable, needed(job) - len(job.live)))
                if count > 0 and not self.queues.is_best_effort(job):
                    behind.append((job, count))
        if not behind:
            return
        slots = self.snapshot.all_slots()
        mates = (mate for slot in slots for mate in slot.occupants)
        # What was told to stop in earlier rounds is on its way.
        coming = sum(mate.room[0] for mate in mates if mate.stopping)
        most = max(1, int(constants.RETURN_PART * len(slots)))
        self.victim_filter = only
        for job, count in behind:
            vcpus = max(job.spec.vcpus, 1e-3)
            there = min(count, int(coming / vcpus))
            coming -= there * vcpus
            count -= there
            work = self.worth(job)
            zones = self.gates.sites(job, self.snapshot.zones)
            while count > 0 and most > 0:
                made = self._preempt_on_one_machine(job, zones, False, work)
                if not made:
                    break
                count -= made if only is VictimFilter.CHECKPOINTED else 1
                most -= 1
        self.victim_filter = VictimFilter.ALL

    def _borrowed_by_team(self) -> dict[str, Vector]:
        """What teams run beyond their guarantees: borrowed room, to be returned."""
        out: dict[str, Vector] = {}
        for name, team in self.teams.items():
            cpus, gpus, _ = self.team_limits.usage[name]
            out[name] = (max(0.0, cpus - team.cpus), max(0.0, gpus - team.gpus))
        for slot in self.snapshot.all_slots():
            for occupant in slot.occupants:
                if occupant.stopping and occupant.owner in out:
                    left = minus(out[occupant.owner], occupant.room[:2])
                    out[occupant.owner] = (max(0.0, left[0]), max(0.0, left[1]))
        return out

    def _preempt_on_one_machine(self, job: Job, zones: set[str], own: bool, most: float) -> int:
        """Stop the less urgent tasks whose loss is least; for how many tasks that makes room.

        `most`: CPU-seconds that may be lost for one task.
        """
        spec, only = job.spec, self.victim_filter
        if not self.preempt or self.queues.slack_s(job) < 0:
            return 0  # too late already: nobody else's work is given up for it
        key = (spec.suits, spec.rank, spec.owner, own, self.within_guarantee, only)
        if key not in self._offers:
            slots = [slot for _, _, slot in self.snapshot.suitable_slots(spec)]
            excess = self._borrowed_by_team() if self.within_guarantee else None
            if only is VictimFilter.BEST_EFFORT and excess is not None:
                guests = {name for name, team in self.teams.items() if not (team.cpus or team.gpus)}
                excess = {name: over for name, over in excess.items() if name in guests}
            self._offers[key] = Offers(
                spec,
                slots,
                own,
                excess,
                only is VictimFilter.BEST_EFFORT,
                only is VictimFilter.CHECKPOINTED,
            )

        def is_open(slot: Slot) -> bool:
            return slot.kept_for in ("", job.name) and slot.site in zones and not slot.touched

        taken = self._offers[key].take(is_open, most)
        if taken is None:
            return 0
        slot, found = taken
        self.reservations.reserve_slot(job, slot)
        machine = self.snapshot.fleet.machines[slot.name]
        for victim in found:
            victim.stopping = True
            victim.left_s = 0.0
        self._completions = None
        self.stop([machine.attempts[victim.task, victim.number] for victim in found], job)
        return tasks_in(spec, slot, found)
