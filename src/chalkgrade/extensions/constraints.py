"""What a start takes besides a machine's room.

A round asks its gates, and nobody else, whether a task may start now; it tells
them what it took. What a gate holds is derived from the record: `begin` works it
out from the live attempts at each round, so that a new leader needs no request
of its own. An attempt counts as live until it is surely absent (`fleet`), so
what it took is given back by its end and by nothing sooner.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from chalkgrade.machines.placement import Slot
from chalkgrade.record.jobs import Attempt, Job


class Preemption(Protocol):
    """How a gate makes way for work that it refuses: by stopping less urgent work."""

    preempt: bool  # whether this round may stop anything

    def preempt_own_team(self, job: Job) -> bool:
        """Stop less urgent work of the job's own team, one task's worth of room."""
        ...

    def resources_ending(self, owner: str, within_s: float) -> tuple[float, ...]:
        """What a team's tasks that end by themselves within so long will free in all."""
        ...

    def machine_count(self) -> int:
        """How many machines serve."""
        ...

    def may_preempt(self, attempt: Attempt, job: Job) -> bool:
        """Whether the rules of preemption let that be stopped for the job."""
        ...

    def preemption_loss(self, attempt: Attempt) -> float:
        """CPU-seconds of work that stopping it now would lose."""
        ...

    def max_preemption_loss(self, job: Job) -> float:
        """CPU-seconds that may be lost for one of the job's tasks."""
        ...

    def stop(self, attempts: Iterable[Attempt], job: Job) -> None:
        """Have them stopped, saved first where they can save."""
        ...


class StartConstraint:
    """One thing that a start takes. Whatever is not overridden is open."""

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """A round begins: work out from the record what is taken. `now`: steady seconds."""

    def is_ready(self, job: Job) -> bool:
        """Whether the job need be looked at in this round at all."""
        return True

    def max_starts(self, job: Job, count: int) -> int:
        """How many of so many more tasks of a job may start now, 0 to `count`."""
        return count

    def max_demand(self, job: Job, count: int) -> int:
        """How many of so many waiting tasks could start if machines had room for them.

        Beyond that nothing is granted, kept, stopped or rented for the job.
        """
        return count

    def allowed_zones(self, job: Job, sites: set[str]) -> set[str]:
        """In which of these zones its next task may start."""
        return sites

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        """Whether its next task may have room of that machine."""
        return True

    def holds_scarce_resource(self, job: Job) -> bool:
        """Whether its running tasks hold what they might not get back once stopped."""
        return False

    def priority_starts(self) -> Iterable[tuple[Job, int, str]]:
        """Waiting tasks that are placed before all others, each on its own machine."""
        return ()

    def on_placed(self, job: Job, site: str) -> None:
        """A task of it was placed in that zone, in this round."""

    def on_released(self, attempt: Attempt) -> None:
        """An attempt is surely absent: what it took is free. For gates that outlive rounds."""

    def preempt_for(self, job: Job, stops: Preemption) -> None:
        """It refused a task of the job: have less urgent work stopped if that helps."""

    def refusal_reason(self, job: Job) -> str:
        """Why its tasks may not start, in one of operations' words; empty if they may."""
        return ""


def _overriders(gates: Sequence[StartConstraint], name: str) -> list[StartConstraint]:
    return [
        gate for gate in gates if getattr(type(gate), name) is not getattr(StartConstraint, name)
    ]


class ConstraintSet:
    """All gates of a round as one: a start needs all of them.

    Only those that have something to say are asked: placing asks per task.
    """

    def __init__(self, gates: Sequence[StartConstraint]) -> None:
        self.constraints = list(gates)
        self._is_ready = _overriders(gates, "is_ready")
        self._max_starts = _overriders(gates, "max_starts")
        self._max_demand = _overriders(gates, "max_demand")
        self._allowed_zones = _overriders(gates, "allowed_zones")
        self._allows_slot = _overriders(gates, "allows_slot")
        self._priority_starts = _overriders(gates, "priority_starts")
        self._on_placed = _overriders(gates, "on_placed")
        self._refusal_reason = _overriders(gates, "refusal_reason")

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        known = list(jobs)
        for gate in self.constraints:
            gate.begin_round(known, now)

    def is_ready(self, job: Job) -> bool:
        return all(gate.is_ready(job) for gate in self._is_ready)

    def max_starts(self, job: Job, count: int) -> int:
        for gate in self._max_starts:
            count = gate.max_starts(job, count)
        return count

    def max_demand(self, job: Job, count: int) -> int:
        for gate in self._max_demand:
            count = gate.max_demand(job, count)
        return count

    def refuses_starts(self, job: Job, count: int, stops: Preemption) -> bool:
        """Whether fewer than so many may start; the gate that says so may make way."""
        for gate in self._max_starts:
            if gate.max_starts(job, count) < count:
                gate.preempt_for(job, stops)
                return True
        return False

    def allowed_zones(self, job: Job, sites: set[str]) -> set[str]:
        for gate in self._allowed_zones:
            sites = gate.allowed_zones(job, sites)
        return sites

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        for gate in self._allows_slot:  # noqa: SIM110 - asked per machine
            if not gate.allows_slot(job, slot):
                return False
        return True

    def priority_starts(self) -> list[tuple[Job, int, str]]:
        return [row for gate in self._priority_starts for row in gate.priority_starts()]

    def on_placed(self, job: Job, site: str) -> None:
        for gate in self._on_placed:
            gate.on_placed(job, site)

    def refusal_reason(self, job: Job) -> str:
        return next(filter(None, (gate.refusal_reason(job) for gate in self._refusal_reason)), "")
