"""A snapshot of the cluster for one round: usable machines, their free resources and tasks."""

from collections import defaultdict

from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet, Machine
from chalkgrade.machines.message_size import machine_capacity, machine_demand
from chalkgrade.machines.placement import Occupant, Slot, may_use_machine, room_wait_s
from chalkgrade.record.jobs import Attempt, JobSpec
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, fits, plus


class ClusterSnapshot:
    """The usable machines as slots, rebuilt for each round from their reports.

    `min_task_cpus` is the CPUs of the smallest task that may start; a machine with fewer free
    CPUs is full. `now` is in seconds of the steady clock.
    """

    def __init__(
        self,
        fleet: Fleet,
        flavors: dict[str, Flavor],
        queues: Queues,
        min_task_cpus: float,
        now: float,
    ) -> None:
        self.fleet = fleet
        self.flavors = flavors
        self.queues = queues
        self.now = now
        self.slots: list[Slot] = []  # usable machines with room for a task
        self.full_machines: list[Machine] = []  # usable machines without
        self.zones: set[str] = set()  # zones of the usable machines
        # Image -> CPUs of the usable machines that hold it.
        self.image_cpus: dict[str, float] = defaultdict(float)
        # Job -> indexes of its tasks that run on machines where the jobs' record has no attempt.
        self.unknown_tasks: dict[str, set[int]] = defaultdict(set)
        self._all_slots: list[Slot] | None = None
        self._slots_by_wait: dict[object, list[tuple[float, str, Slot]]] = {}
        self.capacity = self._scan_machines(min_task_cpus)

    def _scan_machines(self, min_task_cpus: float) -> Vector:
        """Divide the usable machines into slots and full ones; return their total resources."""
        capacity = ZERO
        counts: dict[str, int] = defaultdict(int)
        for machine in self.fleet.machines.values():
            flavor = self.flavors.get(machine.hosttype)
            strangers = machine.unknown_tasks()
            for entry in strangers:
                name, _, index = entry.task.rpartition("/")
                if index.isdecimal():
                    self.unknown_tasks[name].add(int(index))
            if flavor is None or strangers or not self.fleet.usable(machine):
                continue
            counts[machine.hosttype] += 1
            self.zones.add(machine.site)
            for image in machine.images:
                self.image_cpus[image] += flavor.vcpus
            if flavor.vcpus - machine.used[0] + 1e-9 >= min_task_cpus:
                self.slots.append(self._slot(machine))
            else:
                self.full_machines.append(machine)
        self.queues.image_cpus = dict(self.image_cpus)
        for hosttype, count in counts.items():
            capacity = plus(capacity, tuple(a * count for a in self.flavors[hosttype].resources))
        peak = self.queues.peak_capacity
        self.queues.peak_capacity = tuple(max(a, b) for a, b in zip(peak, capacity, strict=True))
        return capacity

    def _slot(self, machine: Machine) -> Slot:
        """Describe a machine as a slot; its occupants are only loaded when needed."""
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
            machine.free(flavor.resources),
            machine_capacity(flavor.resources),
            set(machine.images),
            flavor.pullGbPerS,
            machine.failures,
            fetching,
            self.fleet.launch_delay_s(machine),
            lambda: [self.occupant(attempt) for attempt in machine.attempts.values()],
        )

    def all_slots(self) -> list[Slot]:
        """Return all slots, including full machines.

        Slots for full machines are created on the first call, as only reservations and preemption
        need them.
        """
        if self._all_slots is None:
            self._all_slots = [
                *self.slots,
                *(self._slot(machine) for machine in self.full_machines),
            ]
        return self._all_slots

    def occupant(self, attempt: Attempt) -> Occupant:
        """Describe a running attempt: when it ends and how much work stopping it would lose."""
        spec = attempt.job.spec
        elapsed_s = self.now - attempt.running_since if attempt.running_since else 0.0
        lost_s = min(elapsed_s, spec.flushS) if spec.savepointS > 0 else elapsed_s
        if not attempt.running_since and attempt.placed_at:
            # A machine abandons an image fetch when the last task that waits for it is stopped.
            lost_s = min(self.now - attempt.placed_at, self.queues.image_fetch_s(attempt.job))
        if spec.shape == "gang":
            lost_s *= spec.tasks  # the other tasks of a gang cannot continue without it
        stopping = attempt.kill_requested_at is not None
        remaining_s = (
            spec.flushS + 1.0 if stopping else self.queues.remaining_run_s(attempt, self.now)
        )
        return Occupant(
            attempt.name,
            attempt.number,
            spec.owner,
            spec.urgency_rank,
            machine_demand(spec),
            remaining_s,
            lost_s * spec.vcpus,
            stopping,
            spec.savepointS > 0,
            attempt.is_starvation_guarded,
        )

    def suitable_slots(self, spec: JobSpec) -> list[tuple[float, str, Slot]]:
        """Return all machines a job may use with their wait in seconds, the shortest wait first.

        The list is computed once per round for all jobs with the same requirements.
        """
        key, demand = spec.machine_constraints, machine_demand(spec)
        if key not in self._slots_by_wait:
            self._slots_by_wait[key] = sorted(
                (
                    (room_wait_s(spec, slot), slot.name, slot)
                    for slot in self.all_slots()
                    if may_use_machine(spec, slot.hosttype, slot.site, slot.standby)
                    and fits(demand, slot.total)
                ),
                key=lambda entry: entry[:2],
            )
        return self._slots_by_wait[key]
