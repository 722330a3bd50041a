"""When teams at their resource limits may start further tasks, for rental plans.

A team at its limit starts another task whenever one ends. A plan that counted only what the
limit leaves at this moment would ignore those future tasks but count the CPUs that the ending
tasks release. It would then place the few tasks that may start now on CPUs that other tasks of
the same team are about to use, and rent nothing for them
(see docs/incidents/2026-12-03-team-at-its-maximum.md).
"""

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.record.jobs import JobSpec
from chalkgrade.vectors import EPS

NEVER = math.inf


def round_up_to_step(free_in_s: float) -> float:
    """Rounds a time in seconds from now up to the plan's time step; `NEVER` stays what it is."""
    if free_in_s == NEVER:
        return NEVER
    return math.ceil(free_in_s / constants.RENTAL_PLAN_STEP_S) * constants.RENTAL_PLAN_STEP_S


class CapacityTimeline:
    """How much of one limited resource becomes free at which time, in seconds from now.

    `busy` lists the amounts in use and in how many seconds each is released (`NEVER`: not by
    itself). What a team uses beyond its limit is deducted from the earliest releases.
    """

    def __init__(self, limit: float, busy: Iterable[tuple[float, float]]) -> None:
        amounts: dict[float, float] = defaultdict(float)
        spare = limit
        for free_in_s, amount in busy:
            spare -= amount
            if free_in_s < NEVER:
                amounts[round_up_to_step(max(0.0, free_in_s))] += amount
        self._heap = sorted(amounts.items())
        if spare > 0:
            heapq.heappush(self._heap, (0.0, spare))
        else:
            self.consume(-spare)

    def earliest_start(self, amount: float, within_s: float) -> float:
        """Returns when `amount` will be free, `NEVER` if that is later than `within_s`."""
        total = 0.0
        if not self._heap or self._heap[0][0] > within_s:
            return NEVER
        for free_in_s, part in sorted(self._heap):
            total += part
            if total >= amount - EPS:
                return free_in_s if free_in_s <= within_s else NEVER
        return NEVER

    def free_by(self, by_s: float) -> float:
        """Returns how much is free in `by_s` seconds."""
        return sum(part for free_in_s, part in self._heap if free_in_s <= by_s)

    def consume(self, amount: float) -> None:
        """Uses up `amount` of what becomes free first."""
        while amount > EPS and self._heap:
            free_in_s, part = heapq.heappop(self._heap)
            if part > amount + EPS:
                heapq.heappush(self._heap, (free_in_s, part - amount))
            amount -= part

    def add_release(self, free_in_s: float, amount: float) -> None:
        """Adds an amount that becomes free in `free_in_s` seconds."""
        heapq.heappush(self._heap, (round_up_to_step(free_in_s), amount))


class Headroom:
    """What a team may start under its limits for CPUs and GPUs; None means no limit."""

    def __init__(
        self, cpus: CapacityTimeline | None = None, gpus: CapacityTimeline | None = None
    ) -> None:
        self._cpus, self._gpus = cpus, gpus

    def _timelines(self, spec: JobSpec) -> list[tuple[CapacityTimeline, float]]:
        """The limited resources that a task of the job uses, and how much of each."""
        found = ((self._cpus, spec.vcpus), (self._gpus, spec.gpus))
        return [(timeline, need) for timeline, need in found if timeline is not None and need > EPS]

    def earliest_start(self, spec: JobSpec, tasks: int, within_s: float) -> float:
        """Returns when `tasks` tasks may start together, `NEVER` if later than `within_s`."""
        starts = (
            timeline.earliest_start(tasks * need, within_s)
            for timeline, need in self._timelines(spec)
        )
        return max(starts, default=0.0)

    def startable_tasks(self, spec: JobSpec, max_tasks: int, by_s: float) -> int:
        """Returns how many tasks, up to `max_tasks`, may start within `by_s` seconds."""
        counts = (
            int((timeline.free_by(by_s) + EPS) / need) for timeline, need in self._timelines(spec)
        )
        return min(max_tasks, min(counts, default=max_tasks))

    def consume(self, spec: JobSpec, tasks: int) -> None:
        """Lets `tasks` tasks use what becomes free first."""
        for timeline, need in self._timelines(spec):
            timeline.consume(tasks * need)

    def add_release(self, spec: JobSpec, tasks: int, free_in_s: float) -> None:
        """Adds what `tasks` tasks release when they end in `free_in_s` seconds."""
        for timeline, need in self._timelines(spec):
            timeline.add_release(free_in_s, tasks * need)
