"""Chooses machines for granted tasks and victims for preemption. Pure functions.

A machine is represented by a `Slot` with its free resources and images. The choice prefers, in
this order, machines that hold the image (fetching can cost as much as running), machines that
are already fetching it, and the tightest fit, so that whole machines stay free for tasks that
need one.
"""

import heapq
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from chalkgrade import constants
from chalkgrade.machines.message_size import NO_DEMAND, machine_demand
from chalkgrade.record.jobs import TASKS_MAX, JobSpec
from chalkgrade.vectors import Vector, count_fitting, fits, minus, plus


@dataclass
class Occupant:
    """A task on a machine, as a candidate for preemption."""

    task: str
    number: int
    owner: str
    rank: int
    resources: Vector  # what it takes of its machine, see `machine_demand`
    remaining_s: float  # s until it ends, or until it is saved if it is stopping
    loss_cpu_s: float  # work lost by stopping it now, CPU-seconds
    stopping: bool = False
    can_save: bool = False  # it saves a checkpoint when stopped
    is_starvation_guarded: bool = False  # more urgent work may not preempt it


@dataclass
class Slot:
    """One machine during a round, with what is free there.

    Amounts are CPUs, GPUs, memory in GB and bytes of the worker's report, as in `machine_demand`.
    """

    name: str
    hosttype: str
    site: str
    standby: bool
    free: Vector
    total: Vector
    images: set[str] = field(default_factory=set)
    pull_gb_s: float = 1.0
    recent_failures: int = 0  # the machine with the fewest is preferred
    fetching: set[str] = field(default_factory=set)
    launch_delay_s: float = 0.0  # s until a launch can be sent
    load_occupants: Callable[[], list[Occupant]] = list  # called only when room has to be made
    reserved_for: str = ""  # job that `reserved` is for; the rest is free for all
    reserved: Vector = NO_DEMAND
    was_placed_on: bool = False  # in this round
    loaded_occupants: list[Occupant] | None = None

    def room_for(self, job: str) -> Vector:
        """Returns the free resources that a job may use."""
        if not self.reserved_for or self.reserved_for == job:
            return self.free
        return minus(self.free, self.reserved)

    def has_or_fetches(self, bundle: str) -> bool:
        """Returns whether the machine holds the image or is fetching it."""
        return bundle in self.images or bundle in self.fetching

    @property
    def occupants(self) -> list[Occupant]:
        """The tasks on the machine, loaded at the first use."""
        if self.loaded_occupants is None:
            self.loaded_occupants = self.load_occupants()
        return self.loaded_occupants


def may_use_machine(spec: JobSpec, hosttype: str, site: str, standby: bool) -> bool:
    """Returns whether a job may use machines of that type, zone and pricing (spot or not)."""
    if spec.hosttypes is not None and hosttype not in spec.hosttypes:
        return False
    if spec.site is not None and site != spec.site:
        return False
    return spec.standby or not standby


def eligible_zones(spec: JobSpec, held: dict[str, int], zones: Iterable[str]) -> set[str]:
    """Returns the zones for one more task, given the number of tasks per zone (`held`)."""
    used = {zone for zone, count in held.items() if count}
    out = set(zones)
    if spec.oneZone and used:
        out = used if len(used) == 1 else set()
    if spec.spread:  # combined with `oneZone`, half of the tasks run at a time
        max_per_zone = max_tasks_per_zone(spec, held)
        out = {zone for zone in out if held.get(zone, 0) < max_per_zone}
    return out


def max_tasks_per_zone(spec: JobSpec, held: Mapping[str, int]) -> int:
    """Returns how many tasks of a job with `spread` may be in one zone.

    Tasks in an unknown zone ("", after a change of leader) may be in any zone.
    """
    return (spec.tasks + 1) // 2 - held.get("", 0)


def image_fetch_s(spec: JobSpec, slot: Slot) -> float:
    """Returns the seconds until the machine holds the job's image."""
    if not spec.pullGb or spec.bundle in slot.images:
        return 0.0
    whole = spec.pullGb / max(slot.pull_gb_s, 1e-6)
    # A running fetch of the image is shared. Fetches of several images share the rate.
    return whole * 0.5 if spec.bundle in slot.fetching else whole * (1 + len(slot.fetching))


def is_fetch_congested(spec: JobSpec, slot: Slot) -> bool:
    """Returns whether a machine fetches other images, so that one more would take too long.

    Fetches share a machine's rate: each of four takes four times as long, and all CPUs that
    wait for them are idle.
    """
    if not spec.pullGb or not slot.fetching or slot.has_or_fetches(spec.bundle):
        return False
    return image_fetch_s(spec, slot) > constants.MAX_PARALLEL_FETCH_S


def choose_slot(
    spec: JobSpec,
    slots: Iterable[Slot],
    zones: set[str],
    avoid: Iterable[str] = (),
    allows_slot: Callable[[Slot], bool] = lambda _: True,
) -> Slot | None:
    """Returns the best machine for one more task of a job, or None.

    `avoid`: names of machines to leave out; `allows_slot`: whether a machine is allowed.
    """
    best: Slot | None = None
    best_key: tuple[float, ...] = ()
    excluded = set(avoid)
    demand = machine_demand(spec)
    for slot in slots:
        if slot.site not in zones or slot.name in excluded:
            continue
        if not fits(demand, slot.free) or not allows_slot(slot):
            continue
        if is_fetch_congested(spec, slot):
            continue
        if not may_use_machine(spec, slot.hosttype, slot.site, slot.standby):
            continue
        key = placement_key(spec, slot)
        if best is None or key < best_key:
            best, best_key = slot, key
    return best


class SlotPicker:
    """Returns the best machines for similar tasks, one after the other.

    The choices are those of `choose_slot` before each task. Each slot is ranked once, and again
    only when it reaches the top of the heap: its room only shrinks within a round. Similar jobs
    share one ranking. With `local`, only machines that hold or fetch the image are used.
    """

    def __init__(
        self,
        spec: JobSpec,
        slots: Iterable[Slot],
        avoid: Iterable[str] = (),
        local: bool = False,
    ) -> None:
        self._spec, self._local = spec, local
        self._demand = machine_demand(spec)
        excluded = set(avoid)
        self._heap: list[tuple[tuple[float, ...], int, Slot]] = []
        # Slots are of few kinds, so permission is computed once per kind.
        permitted: dict[tuple[str, str, bool], bool] = {}
        for number, slot in enumerate(slots):
            if not self._open(slot) or slot.name in excluded:
                continue
            kind = (slot.hosttype, slot.site, slot.standby)
            if kind not in permitted:
                permitted[kind] = may_use_machine(spec, *kind)
            if permitted[kind]:
                self._heap.append((placement_key(spec, slot), number, slot))
        heapq.heapify(self._heap)

    def _open(self, slot: Slot) -> bool:
        spec = self._spec
        if not fits(self._demand, slot.free) or is_fetch_congested(spec, slot):
            return False
        return not (self._local and spec.pullGb and not slot.has_or_fetches(spec.bundle))

    def take_best(self, allows_slot: Callable[[Slot], bool], zones: set[str]) -> Slot | None:
        """Takes room on the best allowed slot in the given zones and returns it, or None."""
        set_aside: list[tuple[tuple[float, ...], int, Slot]] = []
        found: Slot | None = None
        while self._heap and found is None:
            held, number, slot = self._heap[0]
            # A zone is never allowed again while a job's tasks are being placed.
            if not self._open(slot) or slot.site not in zones:
                heapq.heappop(self._heap)
                continue
            now = placement_key(self._spec, slot)
            if now != held:
                heapq.heapreplace(self._heap, (now, number, slot))
            elif not allows_slot(slot):
                set_aside.append(heapq.heappop(self._heap))  # not allowed for this job only
            else:
                occupy_slot(slot, self._spec)
                found = slot
        for entry in set_aside:
            heapq.heappush(self._heap, entry)
        return found


def placement_key(spec: JobSpec, slot: Slot) -> tuple[float, ...]:
    """Returns the sort key of a machine for a task; the lowest is best.

    The time to a machine's next report is rounded down to steps. Within one step the tightest fit
    wins, so that other machines become empty for tasks that need a whole one.
    """
    left = (slot.free[0] - spec.vcpus) / max(slot.total[0], 1e-9)
    step = constants.REPORT_TIME_STEP_S
    return (
        slot.recent_failures,
        image_fetch_s(spec, slot) + slot.launch_delay_s // step * step,
        left,
    )


def choose_gang_slots(
    spec: JobSpec,
    count: int,
    slots: list[Slot],
    held: dict[str, int],
    avoid: Iterable[str] = (),
    allows_slot: Callable[[Slot], bool] = lambda _: True,
) -> list[Slot] | None:
    """Returns slots for all tasks of a gang, or None, as part of a gang only blocks room."""
    before = [(slot, slot.free, set(slot.fetching)) for slot in slots]
    every = {slot.site for slot in slots}
    # If all tasks need one zone, the first zone that fits the whole gang is used.
    options = [{zone} for zone in sorted(every)] if spec.oneZone else [every]
    found: list[Slot] = []
    for option in options:
        found, zones = [], dict(held)
        while len(found) < count:
            slot = choose_slot(
                spec, slots, eligible_zones(spec, zones, option) & option, avoid, allows_slot
            )
            if slot is None:
                break
            occupy_slot(slot, spec)
            zones[slot.site] = zones.get(slot.site, 0) + 1
            found.append(slot)
        for slot, free, fetching in before:
            slot.free, slot.fetching = free, set(fetching)
        if len(found) == count:
            return found
    return None


def occupy_slot(slot: Slot, spec: JobSpec) -> None:
    """Takes the resources of one task from a slot and notes the fetch of its image."""
    slot.free = minus(slot.free, machine_demand(spec))
    slot.was_placed_on = True
    if spec.bundle not in slot.images:
        slot.fetching.add(spec.bundle)


def room_wait_s(spec: JobSpec, slot: Slot) -> float:
    """Returns the seconds until one task fits on the slot if nothing else is placed there."""
    free, demand = slot.free, machine_demand(spec)
    if fits(demand, free):
        return 0.0
    for occupant in sorted(slot.occupants, key=lambda o: o.remaining_s):
        free = plus(free, occupant.resources)
        if fits(demand, free):
            return occupant.remaining_s
    return float("inf")


class PreemptionOffers:
    """The preemptions that make room for tasks of one shape, in order of loss.

    Each slot is evaluated once. An offer is computed again only before it is taken, since
    preemptions elsewhere may have used up the excess of a team. For the parameters see
    `select_victims`.
    """

    def __init__(
        self,
        spec: JobSpec,
        slots: Iterable[Slot],
        own: bool,
        excess: dict[str, Vector] | None,
        borrowed_only: bool = False,
        savers_only: bool = False,
    ) -> None:
        self._spec, self._own, self._excess = spec, own, excess
        self._only = (borrowed_only, savers_only)
        self._heap: list[tuple[float, str, Slot]] = []
        for slot in slots:
            found = self._found(slot)
            if found:
                self._heap.append((_loss(found), slot.name, slot))
        heapq.heapify(self._heap)

    def _found(self, slot: Slot) -> list[Occupant] | None:
        excess = None if self._excess is None else dict(self._excess)
        return select_victims(self._spec, slot, self._own, excess, *self._only)

    def take_cheapest(
        self, allows_slot: Callable[[Slot], bool], max_loss_cpu_s: float
    ) -> tuple[Slot, list[Occupant]] | None:
        """Returns the cheapest offer on an allowed slot, or None.

        `max_loss_cpu_s`: the highest loss per started task. The victims' resources are deducted
        from the excess of their teams. Offers on slots that are not allowed for this job remain for
        other jobs of the same shape.
        """
        set_aside: list[tuple[float, str, Slot]] = []
        taken: tuple[Slot, list[Occupant]] | None = None
        while self._heap and taken is None:
            entry = heapq.heappop(self._heap)
            lost, name, slot = entry
            if not allows_slot(slot):
                set_aside.append(entry)
                continue
            found = self._found(slot)
            if not found:
                continue
            if _loss(found) > lost:
                heapq.heappush(self._heap, (_loss(found), name, slot))
                continue
            gained = tasks_fitting_after(self._spec, slot, found) if self._only[1] else 1
            if lost > max_loss_cpu_s * gained:
                set_aside.append(entry)
                break
            found = select_victims(self._spec, slot, self._own, self._excess, *self._only)
            taken = slot, found or []
        for entry in set_aside:
            heapq.heappush(self._heap, entry)
        return taken


def tasks_fitting_after(spec: JobSpec, slot: Slot, stopped: list[Occupant]) -> int:
    """Returns how many tasks of a job fit once the given tasks have stopped; at least one."""
    free = slot.free
    for occupant in stopped:
        free = plus(free, occupant.resources)
    return max(1, count_fitting(machine_demand(spec), free, TASKS_MAX))


def _loss(found: list[Occupant]) -> float:
    return sum(victim.loss_cpu_s for victim in found)


def select_victims(
    spec: JobSpec,
    slot: Slot,
    own: bool,
    excess: dict[str, Vector] | None = None,
    borrowed_only: bool = False,
    savers_only: bool = False,
) -> list[Occupant] | None:
    """Returns the tasks to stop on a machine to make room at the least loss; None: impossible.

    The protocol allows only two kinds of victims: tasks of a lower priority and, for a job within
    its team's guarantee, tasks that other teams run in excess of theirs (`excess`: by team).
    With `own`, only tasks of the job's own team are stopped, as the team is at its maximum and
    room on the machine alone would not help. Tasks started by the starvation guard are not
    stopped for urgency, as they would be started again at once. `borrowed_only` leaves out tasks
    of a lower priority; `savers_only` leaves out tasks that can't save a checkpoint.
    """
    free: Vector = (0.0, 0.0, *(max(0.0, a) for a in slot.free[2:])) if own else slot.free
    demand = machine_demand(spec)
    for occupant in slot.occupants:
        if occupant.stopping:
            free = plus(free, occupant.resources)
    out: list[Occupant] = []
    for occupant in sorted(slot.occupants, key=lambda o: (o.rank, o.loss_cpu_s)):
        if fits(demand, free):
            break
        if own and occupant.owner != spec.owner:
            continue
        if occupant.stopping or (savers_only and not occupant.can_save):
            continue
        over = (excess or {}).get(occupant.owner)
        borrowed = (
            occupant.owner != spec.owner and over is not None and fits(occupant.resources[:2], over)
        )
        if borrowed and excess is not None and over is not None:
            excess[occupant.owner] = minus(over, occupant.resources[:2])
        lower = occupant.rank < spec.urgency_rank and not occupant.is_starvation_guarded
        if borrowed or (lower and not borrowed_only):
            free = plus(free, occupant.resources)
            out.append(occupant)
    return out if fits(demand, free) else None
