"""The room of one round: which machines serve, what is free on them, who is there."""

from collections import defaultdict

from chalkgrade.machines.fleet import Fleet, Machine
from chalkgrade.machines.kinds import Flavor
from chalkgrade.machines.placement import Occupant, Slot, allowed, wait_s
from chalkgrade.record.jobs import Attempt, JobSpec
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, fits, minus, plus


class ClusterSnapshot:
    """Machines as slots, made anew for each round from what they report.

    `least`: CPUs of the smallest task that may start; machines with less are full.
    """

    def __init__(
        self, fleet: Fleet, flavors: dict[str, Flavor], queues: Queues, least: float, now: float
    ) -> None:
        self.fleet = fleet
        self.flavors = flavors
        self.queues = queues
        self.now = now
        self.slots: list[Slot] = []  # machines with room
        self.full_machines: list[Machine] = []  # usable machines without
        self.zones: set[str] = set()
        self.image_cpus: dict[str, float] = defaultdict(float)  # image -> CPUs of machines with it
        # Tasks by job that are present somewhere without our doing.
        self.unknown_tasks: dict[str, set[int]] = defaultdict(set)
        self._all_slots: list[Slot] | None = None
        self._slots_by_wait: dict[object, list[tuple[float, str, Slot]]] = {}
        self.capacity = self._scan_machines(least)

    def _scan_machines(self, least: float) -> Vector:
        """Sort the usable machines by whether anything fits them; all their room."""
        capacity = ZERO
        counts: dict[str, int] = defaultdict(int)
        for machine in self.fleet.machines.values():
            flavor = self.flavors.get(machine.hosttype)
            strangers = machine.strangers()
            for entry in strangers:
                name, _, index = entry.task.rpartition("/")
                if index.isdigit():
                    self.unknown_tasks[name].add(int(index))
            if flavor is None or strangers or not self.fleet.usable(machine):
                continue
            counts[machine.hosttype] += 1
            self.zones.add(machine.site)
            for image in machine.images:
                self.image_cpus[image] += flavor.vcpus
            if flavor.vcpus - machine.used[0] + 1e-9 >= least:
                self.slots.append(self._slot(machine))
            else:
                self.full_machines.append(machine)
        self.queues.image_cpus = dict(self.image_cpus)
        for hosttype, count in counts.items():
            capacity = plus(capacity, tuple(a * count for a in self.flavors[hosttype].room))
        peak = self.queues.peak_capacity
        self.queues.peak_capacity = tuple(max(a, b) for a, b in zip(peak, capacity, strict=True))
        return capacity

    def _slot(self, machine: Machine) -> Slot:
        flavor = self.flavors[machine.hosttype]
        fetching = {
            attempt.job.spec.bundle
            for attempt in machine.attempts.values()
            if attempt.state in ("", "fetching")
        }
        return Slot(
            machine.name,
            machine.hosttype,
            machine.site,
            machine.standby,
            minus(flavor.room, machine.used),
            flavor.room,
            set(machine.images),
            flavor.pullGbPerS,
            machine.failures,
            fetching,
            self.fleet.delay_s(machine),
            lambda: [self.occupant(attempt) for attempt in machine.attempts.values()],
        )

    def all_slots(self) -> list[Slot]:
        """With the machines that are full: looked at only where room has to be made."""
        if self._all_slots is None:
            self._all_slots = [
                *self.slots,
                *(self._slot(machine) for machine in self.full_machines),
            ]
        return self._all_slots

    def occupant(self, attempt: Attempt) -> Occupant:
        spec = attempt.job.spec
        ran = self.now - attempt.since if attempt.since else 0.0
        lost = min(ran, spec.flushS) if spec.savepointS > 0 else ran
        if not attempt.since and attempt.decided:
            # A fetch is given up with the last task that waits for it.
            lost = min(self.now - attempt.decided, self.queues.image_fetch_s(attempt.job))
        if spec.shape == "gang":
            lost *= spec.tasks  # the others can't go on without it
        stopping = attempt.kill_at is not None
        left = spec.flushS + 1.0 if stopping else self.queues.remaining_run_s(attempt, self.now)
        return Occupant(
            attempt.name,
            attempt.number,
            spec.owner,
            spec.rank,
            spec.room,
            left,
            lost * spec.vcpus,
            stopping,
            spec.savepointS > 0,
            attempt.guarded,
        )

    def suitable_slots(self, spec: JobSpec) -> list[tuple[float, str, Slot]]:
        """All machines a job may use, the soonest to have room first; once a shape and round."""
        key = spec.suits
        if key not in self._slots_by_wait:
            self._slots_by_wait[key] = sorted(
                (
                    (wait_s(spec, slot), slot.name, slot)
                    for slot in self.all_slots()
                    if allowed(spec, slot.hosttype, slot.site, slot.standby)
                    and fits(spec.room, slot.total)
                ),
                key=lambda entry: entry[:2],
            )
        return self._slots_by_wait[key]
