"""From grants to machines. Pure.

Machines are seen as `Slot`s: free room and held images. Choosing prefers, in
this order, machines that have the image (fetching can cost as much as
running), machines that are already fetching it, and the tightest fit, so that
whole machines stay free for whole-machine tasks.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from chalkgrade import constants
from chalkgrade.record.jobs import JobSpec
from chalkgrade.vectors import Vector, fits, minus, plus


@dataclass
class Occupant:
    """A task on a machine, as far as making room is concerned."""

    task: str
    number: int
    owner: str
    rank: int
    room: Vector
    left_s: float  # until it ends by itself, or is saved if it was told to stop
    lost: float  # CPU-seconds of work that stopping it now would lose
    stopping: bool = False
    saves: bool = False  # what it has done lasts when it is stopped
    guarded: bool = False  # more urgent work does not stop it


@dataclass
class Slot:
    """One machine's free room, as placement sees it."""

    name: str
    hosttype: str
    site: str
    standby: bool
    free: Vector
    total: Vector
    images: set[str] = field(default_factory=set)
    pull_gb_s: float = 1.0
    strain: int = 0  # failures of late; the healthiest machine is taken first
    fetching: set[str] = field(default_factory=set)
    delay_s: float = 0.0  # until a launch can be sent there
    look: Callable[[], list[Occupant]] = list  # asked only where room is to be made
    kept_for: str = ""  # the job that room is kept for, and how much: the rest is free for all
    kept: Vector = (0.0, 0.0, 0.0)
    touched: bool = False  # something was placed here in this round
    seen: list[Occupant] | None = None

    def room_for(self, job: str) -> Vector:
        """What a job may use of it."""
        if not self.kept_for or self.kept_for == job:
            return self.free
        return minus(self.free, self.kept)

    def knows(self, bundle: str) -> bool:
        """Whether an image is there, or on its way."""
        return bundle in self.images or bundle in self.fetching

    @property
    def occupants(self) -> list[Occupant]:
        if self.seen is None:
            self.seen = self.look()
        return self.seen


def allowed(spec: JobSpec, hosttype: str, site: str, standby: bool) -> bool:
    """Whether a job may use that kind of machine at all."""
    if spec.hosttypes is not None and hosttype not in spec.hosttypes:
        return False
    if spec.site is not None and site != spec.site:
        return False
    return spec.standby or not standby


def zones_open(spec: JobSpec, held: dict[str, int], zones: Iterable[str]) -> set[str]:
    """Zones where one more task may go, given where the others may be."""
    used = {zone for zone, count in held.items() if count}
    out = set(zones)
    if spec.oneZone and used:
        out = used if len(used) == 1 else set()
    if spec.spread:  # with one zone for all, too: then half of them run at a time
        # Tasks in a zone not known yet ("", after a change of leader) may be in any.
        most = (spec.tasks + 1) // 2 - held.get("", 0)
        out = {zone for zone in out if held.get(zone, 0) < most}
    return out


def fetch_s(spec: JobSpec, slot: Slot) -> float:
    """Seconds until the image is there."""
    if not spec.pullGb or spec.bundle in slot.images:
        return 0.0
    whole = spec.pullGb / max(slot.pull_gb_s, 1e-6)
    # A fetch under way is shared; several at once share the rate.
    return whole * 0.5 if spec.bundle in slot.fetching else whole * (1 + len(slot.fetching))


def crowded(spec: JobSpec, slot: Slot) -> bool:
    """Whether other images are being fetched there, so that one more takes too long.

    Fetches share a machine's rate: each of four takes four times as long, and
    all the CPUs that wait for them stand idle.
    """
    if not spec.pullGb or not slot.fetching or slot.knows(spec.bundle):
        return False
    return fetch_s(spec, slot) > constants.FETCH_PATIENCE_S


def choose(
    spec: JobSpec,
    slots: Iterable[Slot],
    zones: set[str],
    avoid: Iterable[str] = (),
    opens: Callable[[Slot], bool] = lambda _: True,
) -> Slot | None:
    """The best machine for one more task of a job, or None."""
    best: Slot | None = None
    best_key: tuple[float, ...] = ()
    shunned = set(avoid)
    for slot in slots:
        if slot.site not in zones or slot.name in shunned:
            continue
        if not fits(spec.resources, slot.free) or not opens(slot):
            continue
        if crowded(spec, slot):
            continue
        if not allowed(spec, slot.hosttype, slot.site, slot.standby):
            continue
        key = rank(spec, slot)
        if best is None or key < best_key:
            best, best_key = slot, key
    return best


class Picker:
    """The best machines for tasks that are alike, one after the other.

    The same choices as `choose` before each task. Slots are looked at once and
    again only when they come to the top: within a round their room only
    shrinks, and jobs that are alike share one ranking.
    """

    def __init__(
        self,
        spec: JobSpec,
        slots: Iterable[Slot],
        avoid: Iterable[str] = (),
        local: bool = False,
    ) -> None:
        self._spec, self._local = spec, local
        shunned = set(avoid)
        self._heap: list[tuple[tuple[float, ...], int, Slot]] = []
        # Slots come in few kinds: whether a job may use one is asked once a kind.
        may: dict[tuple[str, str, bool], bool] = {}
        for number, slot in enumerate(slots):
            if not self._open(slot) or slot.name in shunned:
                continue
            kind = (slot.hosttype, slot.site, slot.standby)
            if kind not in may:
                may[kind] = allowed(spec, *kind)
            if may[kind]:
                self._heap.append((rank(spec, slot), number, slot))
        heapq.heapify(self._heap)

    def _open(self, slot: Slot) -> bool:
        spec = self._spec
        if not fits(spec.resources, slot.free) or crowded(spec, slot):
            return False
        return not (self._local and spec.pullGb and not slot.knows(spec.bundle))

    def take(self, opens: Callable[[Slot], bool], zones: set[str]) -> Slot | None:
        """The best slot for a job within the zones now open to it; its room is taken."""
        kept: list[tuple[tuple[float, ...], int, Slot]] = []
        found: Slot | None = None
        while self._heap and found is None:
            held, number, slot = self._heap[0]
            # A zone never opens again while a job's tasks are placed.
            if not self._open(slot) or slot.site not in zones:
                heapq.heappop(self._heap)
                continue
            now = rank(self._spec, slot)
            if now != held:
                heapq.heapreplace(self._heap, (now, number, slot))
            elif not opens(slot):
                kept.append(heapq.heappop(self._heap))  # closed to this job, not to all
            else:
                occupy(slot, self._spec)
                found = slot
        for entry in kept:
            heapq.heappush(self._heap, entry)
        return found


def rank(spec: JobSpec, slot: Slot) -> tuple[float, ...]:
    """What makes one machine better than another for a task: the least wins.

    The time to a machine's next report counts in steps: within one the tightest
    machine wins, so that others drain and whole machines come free for work
    that needs them.
    """
    left = (slot.free[0] - spec.vcpus) / max(slot.total[0], 1e-9)
    step = constants.SOON_STEP_S
    return slot.strain, fetch_s(spec, slot) + slot.delay_s // step * step, left


def choose_all(
    spec: JobSpec,
    count: int,
    slots: list[Slot],
    held: dict[str, int],
    avoid: Iterable[str] = (),
    opens: Callable[[Slot], bool] = lambda _: True,
) -> list[Slot] | None:
    """Slots for a gang's tasks, all or none: part of a gang only blocks room."""
    before = [(slot, slot.free, set(slot.fetching)) for slot in slots]
    every = {slot.site for slot in slots}
    # With one zone for all, the first zone that takes the whole gang is as good as any.
    options = [{zone} for zone in sorted(every)] if spec.oneZone else [every]
    found: list[Slot] = []
    for option in options:
        found, zones = [], dict(held)
        while len(found) < count:
            slot = choose(spec, slots, zones_open(spec, zones, option) & option, avoid, opens)
            if slot is None:
                break
            occupy(slot, spec)
            zones[slot.site] = zones.get(slot.site, 0) + 1
            found.append(slot)
        for slot, free, fetching in before:
            slot.free, slot.fetching = free, set(fetching)
        if len(found) == count:
            return found
    return None


def occupy(slot: Slot, spec: JobSpec) -> None:
    """Take a task's room from a slot."""
    slot.free = minus(slot.free, spec.resources)
    slot.touched = True
    if spec.bundle not in slot.images:
        slot.fetching.add(spec.bundle)


def wait_s(spec: JobSpec, slot: Slot) -> float:
    """Seconds until the slot has room for one task, if nothing else is placed there."""
    free = slot.free
    if fits(spec.resources, free):
        return 0.0
    for occupant in sorted(slot.occupants, key=lambda o: o.left_s):
        free = plus(free, occupant.room)
        if fits(spec.resources, free):
            return occupant.left_s
    return float("inf")


class Offers:
    """Where room can be made for one shape of work, the least loss first.

    Every slot is looked at once; an offer is worked out again only when it is
    about to be taken, since stopping work elsewhere uses up what a team has in
    excess.
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
        return victims(self._spec, slot, self._own, excess, *self._only)

    def take(
        self, open_slot: Callable[[Slot], bool], most: float
    ) -> tuple[Slot, list[Occupant]] | None:
        """The cheapest offer on a slot open to the asker that loses at most so much a task.

        What its tasks hold is no excess any more. Offers on slots that are
        closed to this asker stay for others of the same shape.
        """
        kept: list[tuple[float, str, Slot]] = []
        taken: tuple[Slot, list[Occupant]] | None = None
        while self._heap and taken is None:
            entry = heapq.heappop(self._heap)
            lost, name, slot = entry
            if not open_slot(slot):
                kept.append(entry)
                continue
            found = self._found(slot)
            if not found:
                continue
            if _loss(found) > lost:
                heapq.heappush(self._heap, (_loss(found), name, slot))
                continue
            gained = tasks_in(self._spec, slot, found) if self._only[1] else 1
            if lost > most * gained:
                kept.append(entry)
                break
            found = victims(self._spec, slot, self._own, self._excess, *self._only)
            taken = slot, found or []
        for entry in kept:
            heapq.heappush(self._heap, entry)
        return taken


def tasks_in(spec: JobSpec, slot: Slot, stopped: list[Occupant]) -> int:
    """How many tasks of a job find room on a machine once these have stopped; at least one."""
    free = slot.free
    for occupant in stopped:
        free = plus(free, occupant.room)
    fit = (
        int((has + 1e-9) // need)
        for has, need in zip(free, spec.resources, strict=True)
        if need > 0
    )
    return max(1, min(fit, default=1))


def _loss(found: list[Occupant]) -> float:
    return sum(victim.lost for victim in found)


def victims(
    spec: JobSpec,
    slot: Slot,
    own: bool,
    excess: dict[str, Vector] | None = None,
    borrowed_only: bool = False,
    savers_only: bool = False,
) -> list[Occupant] | None:
    """The tasks whose stop makes room at the least loss; None: not possible.

    Only lower priorities, and, for work within its team's guarantee, what other
    teams run in excess of theirs (`excess`: how much); the protocol lets nothing
    else be stopped for a job.
    With `own`, only the job's own team makes room: it is at its maximum, and
    room on the machine alone would not help. What the guard against starvation started is
    not stopped for urgency: it would be started again at once. With `borrowed_only`, lower
    priorities are left alone, too; with `savers_only`, all that does not save is.
    """
    free: Vector = (0.0, 0.0, max(0.0, slot.free[2])) if own else slot.free
    for occupant in slot.occupants:
        if occupant.stopping:
            free = plus(free, occupant.room)
    out: list[Occupant] = []
    for occupant in sorted(slot.occupants, key=lambda o: (o.rank, o.lost)):
        if fits(spec.resources, free):
            break
        if own and occupant.owner != spec.owner:
            continue
        if occupant.stopping or (savers_only and not occupant.saves):
            continue
        over = (excess or {}).get(occupant.owner)
        borrowed = (
            occupant.owner != spec.owner and over is not None and fits(occupant.room[:2], over)
        )
        if borrowed and excess is not None and over is not None:
            excess[occupant.owner] = minus(over, occupant.room[:2])
        lower = occupant.rank < spec.urgency_rank and not occupant.guarded
        if borrowed or (lower and not borrowed_only):
            free = plus(free, occupant.room)
            out.append(occupant)
    return out if fits(spec.resources, free) else None
