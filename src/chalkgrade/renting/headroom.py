"""What the teams' maxima let start, and when: their side of a rental plan.

A team at its maximum goes on starting tasks, one for each that ends. Counted by what its maximum
leaves at this moment, those tasks are not there, while the CPUs of the ones that end are: a plan
then lays the little that may start now on CPUs that others of the same team are about to take,
and rents nothing for it (see docs/incidents/2026-12-03-team-at-its-maximum.md).
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.record.jobs import JobSpec
from chalkgrade.vectors import EPS

NEVER = math.inf


def step(free_in: float) -> float:
    """The moment of a plan at which something is counted as free."""
    return math.ceil(free_in / constants.RENTAL_PLAN_STEP_S) * constants.RENTAL_PLAN_STEP_S


class Lane:
    """One resource under a maximum: how much of it comes free when.

    `busy`: in how many seconds (`NEVER`: not by itself), and how much. What a team holds beyond
    its maximum is given up first.
    """

    def __init__(self, limit: float, busy: Iterable[tuple[float, float]]) -> None:
        amounts: dict[float, float] = defaultdict(float)
        spare = limit
        for free_in, amount in busy:
            spare -= amount
            if free_in < NEVER:
                amounts[step(max(0.0, free_in))] += amount
        self._heap = sorted(amounts.items())
        if spare > 0:
            heapq.heappush(self._heap, (0.0, spare))
        else:
            self.take(-spare)

    def start(self, amount: float, within_s: float) -> float:
        """When so much will be free, `NEVER` if not within the time."""
        total = 0.0
        if not self._heap or self._heap[0][0] > within_s:
            return NEVER
        for free_in, part in sorted(self._heap):
            total += part
            if total >= amount - EPS:
                return free_in if free_in <= within_s else NEVER
        return NEVER

    def free(self, by_s: float) -> float:
        """How much is free by then."""
        return sum(part for free_in, part in self._heap if free_in <= by_s)

    def take(self, amount: float) -> None:
        """Use so much of what comes free first."""
        while amount > EPS and self._heap:
            free_in, part = heapq.heappop(self._heap)
            if part > amount + EPS:
                heapq.heappush(self._heap, (free_in, part - amount))
            amount -= part

    def add(self, free_in: float, amount: float) -> None:
        """So much comes free then."""
        heapq.heappush(self._heap, (step(free_in), amount))


class Headroom:
    """What a team may start under its maxima for CPUs and GPUs."""

    def __init__(self, cpus: Lane | None = None, gpus: Lane | None = None) -> None:
        self._cpus, self._gpus = cpus, gpus

    def _lanes(self, spec: JobSpec) -> list[tuple[Lane, float]]:
        found = ((self._cpus, spec.vcpus), (self._gpus, spec.gpus))
        return [(lane, need) for lane, need in found if lane is not None and need > 0]

    def start(self, spec: JobSpec, tasks: int, within_s: float) -> float:
        """When so many tasks may start together, `NEVER` if not within the time."""
        starts = (lane.start(tasks * need, within_s) for lane, need in self._lanes(spec))
        return max(starts, default=0.0)

    def count(self, spec: JobSpec, most: int, by_s: float) -> int:
        """How many tasks, `most` at most, may start by then."""
        rooms = (int((lane.free(by_s) + EPS) / need) for lane, need in self._lanes(spec))
        return min(most, min(rooms, default=most))

    def take(self, spec: JobSpec, tasks: int) -> None:
        """So many tasks use what comes free first."""
        for lane, need in self._lanes(spec):
            lane.take(tasks * need)

    def give(self, spec: JobSpec, tasks: int, free_in: float) -> None:
        """So many tasks are over then."""
        for lane, need in self._lanes(spec):
            lane.add(free_in, tasks * need)
