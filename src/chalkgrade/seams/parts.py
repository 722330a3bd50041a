"""Subsystems of a term: added by a line of wiring, taken out the same way.

A part lives as long as its term. It is told what happens and may bring gates,
small values that outlive the leader, loops, and figures for /metrics.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from chalkgrade.machines.fleet import Machine
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.seams.gates import Gate

Loop = Callable[[], Awaitable[None]]


class Sample(NamedTuple):
    """One family of figures: values by label; counters only ever grow."""

    name: str
    text: str
    labels: tuple[str, ...]
    values: Mapping[tuple[str, ...], float]
    counter: bool = False


def gauge(name: str, text: str, value: float) -> Sample:
    """A figure without labels."""
    return Sample(name, text, (), {(): value})


def by_label(
    name: str, text: str, label: str, counts: Mapping[str, int], counter: bool = True
) -> Sample:
    """Figures with one label; counters unless said otherwise."""
    return Sample(name, text, (label,), {(key,): n for key, n in counts.items()}, counter)


class Part:
    """What a term asks of a subsystem, and tells it. Everything is optional."""

    kept: Sequence[PersistedValue] = ()  # read before the jobs, written when dirty
    gates: Sequence[Gate] = ()  # asked by every round
    # Loops that hold durable state: an error in one ends the lead, since only what is
    # read anew under a new token can be trusted then.
    durable: Sequence[Loop] = ()
    # Loops that decide: an error is logged and the loop begins again, since the same
    # input would meet the next leader.
    loops: Sequence[Loop] = ()

    def start(self) -> None:
        """The record is read, live attempts are on their machines; loops begin after this."""

    def stop(self) -> None:
        """The term is over; its loops are cancelled."""

    def on_job(self, job: Job, fresh: bool) -> None:
        """A job is known now; `fresh`: it was submitted just now, not read from the record."""

    def on_report(self, machine: Machine, first: bool) -> None:
        """A machine's newest report was taken in; `first`: it was not heard of before."""

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """An attempt is over; `cause` as reported, or empty where it is surely absent."""

    def samples(self) -> Iterable[Sample]:
        """Figures for /metrics."""
        return ()
