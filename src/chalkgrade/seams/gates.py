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


class Stops(Protocol):
    """How a gate makes way for work that it refuses: by stopping less urgent work."""

    preempt: bool  # whether this round may stop anything

    def own_room(self, job: Job) -> bool:
        """Stop less urgent work of the job's own team, one task's worth of room."""
        ...

    def ending(self, owner: str, within_s: float) -> tuple[float, ...]:
        """What a team's tasks that end by themselves within so long will free in all."""
        ...

    def machines(self) -> int:
        """How many machines serve."""
        ...

    def may_stop(self, attempt: Attempt, job: Job) -> bool:
        """Whether the rules of preemption let that be stopped for the job."""
        ...

    def loss(self, attempt: Attempt) -> float:
        """CPU-seconds of work that stopping it now would lose."""
        ...

    def worth(self, job: Job) -> float:
        """CPU-seconds that may be lost for one of the job's tasks."""
        ...

    def stop(self, attempts: Iterable[Attempt], job: Job) -> None:
        """Have them stopped, saved first where they can save."""
        ...


class Gate:
    """One thing that a start takes. Whatever is not overridden is open."""

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        """A round begins: work out from the record what is taken. `now`: steady seconds."""

    def ready(self, job: Job) -> bool:
        """Whether the job need be looked at in this round at all."""
        return True

    def most(self, job: Job, count: int) -> int:
        """How many of so many more tasks of a job may start now, 0 to `count`."""
        return count

    def able(self, job: Job, count: int) -> int:
        """How many of so many waiting tasks could start if machines had room for them.

        Beyond that nothing is granted, kept, stopped or rented for the job.
        """
        return count

    def sites(self, job: Job, sites: set[str]) -> set[str]:
        """In which of these zones its next task may start."""
        return sites

    def opens(self, job: Job, slot: Slot) -> bool:
        """Whether its next task may have room of that machine."""
        return True

    def ties(self, job: Job) -> bool:
        """Whether its running tasks hold what they might not get back once stopped."""
        return False

    def first(self) -> Iterable[tuple[Job, int, str]]:
        """Waiting tasks that are placed before all others, each on its own machine."""
        return ()

    def took(self, job: Job, site: str) -> None:
        """A task of it was placed in that zone, in this round."""

    def gave(self, attempt: Attempt) -> None:
        """An attempt is surely absent: what it took is free. For gates that outlive rounds."""

    def make_way(self, job: Job, stops: Stops) -> None:
        """It refused a task of the job: have less urgent work stopped if that helps."""

    def why(self, job: Job) -> str:
        """Why its tasks may not start, in one of operations' words; empty if they may."""
        return ""


def _overriders(gates: Sequence[Gate], name: str) -> list[Gate]:
    return [gate for gate in gates if getattr(type(gate), name) is not getattr(Gate, name)]


class Gates:
    """All gates of a round as one: a start needs all of them.

    Only those that have something to say are asked: placing asks per task.
    """

    def __init__(self, gates: Sequence[Gate]) -> None:
        self.all = list(gates)
        self._ready = _overriders(gates, "ready")
        self._most = _overriders(gates, "most")
        self._able = _overriders(gates, "able")
        self._sites = _overriders(gates, "sites")
        self._opens = _overriders(gates, "opens")
        self._first = _overriders(gates, "first")
        self._took = _overriders(gates, "took")
        self._why = _overriders(gates, "why")

    def begin(self, jobs: Iterable[Job], now: float) -> None:
        known = list(jobs)
        for gate in self.all:
            gate.begin(known, now)

    def ready(self, job: Job) -> bool:
        return all(gate.ready(job) for gate in self._ready)

    def most(self, job: Job, count: int) -> int:
        for gate in self._most:
            count = gate.most(job, count)
        return count

    def able(self, job: Job, count: int) -> int:
        for gate in self._able:
            count = gate.able(job, count)
        return count

    def refused(self, job: Job, count: int, stops: Stops) -> bool:
        """Whether fewer than so many may start; the gate that says so may make way."""
        for gate in self._most:
            if gate.most(job, count) < count:
                gate.make_way(job, stops)
                return True
        return False

    def sites(self, job: Job, sites: set[str]) -> set[str]:
        for gate in self._sites:
            sites = gate.sites(job, sites)
        return sites

    def opens(self, job: Job, slot: Slot) -> bool:
        for gate in self._opens:  # noqa: SIM110 - asked per machine
            if not gate.opens(job, slot):
                return False
        return True

    def first(self) -> list[tuple[Job, int, str]]:
        return [row for gate in self._first for row in gate.first()]

    def took(self, job: Job, site: str) -> None:
        for gate in self._took:
            gate.took(job, site)

    def why(self, job: Job) -> str:
        return next(filter(None, (gate.why(job) for gate in self._why)), "")
