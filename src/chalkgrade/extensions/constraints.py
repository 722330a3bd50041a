"""Constraints on starting tasks, beyond the free resources of machines.

Start constraints alone decide whether a task may start in a round, and are notified of each
placement. Their state is derived from the record: `begin_round` computes it from the live
attempts, so that a new leader needs no additional requests. An attempt counts as live until it
is proven absent (see `fleet`), so what it uses is released at its end and not earlier.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from chalkgrade.machines.placement import Slot
from chalkgrade.record.jobs import Attempt, Job


class Preemption(Protocol):
    """Preemption of less urgent work, for constraints that refuse a more urgent task."""

    preempt: bool  # whether this round may preempt at all

    def preempt_own_team(self, job: Job) -> bool:
        """Stops less urgent work of the job's team to free the resources of one task.

        Returns whether anything was stopped.
        """
        ...

    def resources_ending(self, owner: str, within_s: float) -> tuple[float, ...]:
        """Returns the resources that tasks of a team free by ending within `within_s`."""
        ...

    def machine_count(self) -> int:
        """Returns the number of machines in service."""
        ...

    def may_preempt(self, attempt: Attempt, job: Job) -> bool:
        """Returns whether the preemption rules let the attempt be stopped for the job."""
        ...

    def preemption_loss(self, attempt: Attempt) -> float:
        """Returns the work in CPU-seconds that is lost by stopping the attempt now."""
        ...

    def max_preemption_loss(self, job: Job) -> float:
        """Returns the CPU-seconds that may be lost to start one task of the job."""
        ...

    def stop(self, attempts: Iterable[Attempt], job: Job) -> None:
        """Stops the attempts for the job; those that can save a checkpoint do so first."""
        ...


class StartConstraint:
    """A condition for starting tasks. Methods that are not overridden restrict nothing."""

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Computes the current usage from the record; `now`: monotonic time, s."""

    def is_ready(self, job: Job) -> bool:
        """Returns whether the job has to be considered in this round."""
        return True

    def max_starts(self, job: Job, count: int) -> int:
        """Returns how many of `count` further tasks of a job may start now."""
        return count

    def max_demand(self, job: Job, count: int) -> int:
        """Returns how many of `count` waiting tasks could start if machines had room for them.

        For tasks beyond that number nothing is granted, reserved, preempted or rented.
        """
        return count

    def allowed_zones(self, job: Job, sites: set[str]) -> set[str]:
        """Returns the zones out of `sites` where the job's next task may start."""
        return sites

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        """Returns whether the job's next task may use the machine."""
        return True

    def holds_scarce_resource(self, job: Job) -> bool:
        """Returns whether running tasks hold something they may not get back once stopped."""
        return False

    def priority_starts(self) -> Iterable[tuple[Job, int, str]]:
        """Returns waiting tasks to place before all others, each on a given machine.

        A row is the job, the index of the task and the name of the machine.
        """
        return ()

    def on_placed(self, job: Job, site: str) -> None:
        """Called when a task of the job is placed in a zone in this round."""

    def on_released(self, attempt: Attempt) -> None:
        """Called when an attempt is proven absent; for constraints that outlive a round."""

    def preempt_for(self, job: Job, preemption: Preemption) -> None:
        """Preempts less urgent work, if that helps a job that this constraint refuses."""

    def refusal_reason(self, job: Job) -> str:
        """Returns why the job's tasks may not start, as shown to operators; empty if they may."""
        return ""


def _overriders(constraints: Sequence[StartConstraint], name: str) -> list[StartConstraint]:
    return [
        constraint
        for constraint in constraints
        if getattr(type(constraint), name) is not getattr(StartConstraint, name)
    ]


class ConstraintSet:
    """All start constraints of a round; a start needs the consent of each.

    Only constraints that override a method are called for it, since placing calls them for each
    task.
    """

    def __init__(self, constraints: Sequence[StartConstraint]) -> None:
        self.constraints = list(constraints)
        self._is_ready = _overriders(constraints, "is_ready")
        self._max_starts = _overriders(constraints, "max_starts")
        self._max_demand = _overriders(constraints, "max_demand")
        self._allowed_zones = _overriders(constraints, "allowed_zones")
        self._allows_slot = _overriders(constraints, "allows_slot")
        self._priority_starts = _overriders(constraints, "priority_starts")
        self._on_placed = _overriders(constraints, "on_placed")
        self._refusal_reason = _overriders(constraints, "refusal_reason")

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Starts a round in each constraint."""
        all_jobs = list(jobs)
        for constraint in self.constraints:
            constraint.begin_round(all_jobs, now)

    def is_ready(self, job: Job) -> bool:
        """Returns whether every constraint considers the job."""
        return all(constraint.is_ready(job) for constraint in self._is_ready)

    def max_starts(self, job: Job, count: int) -> int:
        """Returns how many of `count` tasks every constraint lets start now."""
        for constraint in self._max_starts:
            count = constraint.max_starts(job, count)
        return count

    def max_demand(self, job: Job, count: int) -> int:
        """Returns how many of `count` tasks could start if machines had room."""
        for constraint in self._max_demand:
            count = constraint.max_demand(job, count)
        return count

    def refuses_starts(self, job: Job, count: int, preemption: Preemption) -> bool:
        """Returns whether fewer than `count` may start; the refusing constraint may preempt."""
        for constraint in self._max_starts:
            if constraint.max_starts(job, count) < count:
                constraint.preempt_for(job, preemption)
                return True
        return False

    def allowed_zones(self, job: Job, sites: set[str]) -> set[str]:
        """Returns the zones that every constraint allows for the job's next task."""
        for constraint in self._allowed_zones:
            sites = constraint.allowed_zones(job, sites)
        return sites

    def allows_slot(self, job: Job, slot: Slot) -> bool:
        """Returns whether every constraint allows the machine for the job's next task."""
        for constraint in self._allows_slot:  # noqa: SIM110 - called per machine
            if not constraint.allows_slot(job, slot):
                return False
        return True

    def priority_starts(self) -> list[tuple[Job, int, str]]:
        """Returns the tasks to place first, of all constraints."""
        return [row for constraint in self._priority_starts for row in constraint.priority_starts()]

    def on_placed(self, job: Job, site: str) -> None:
        """Notifies the constraints of a placed task."""
        for constraint in self._on_placed:
            constraint.on_placed(job, site)

    def refusal_reason(self, job: Job) -> str:
        """Returns the reason of the first constraint that refuses the job; empty if none."""
        return next(
            filter(None, (constraint.refusal_reason(job) for constraint in self._refusal_reason)),
            "",
        )
