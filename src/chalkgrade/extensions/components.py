"""The interface between a term and its subsystems.

A component lives as long as its term. The term notifies it of events. A component may add start
constraints, small persisted values that outlive the leader, loops, and metrics. Adding or
removing one takes a single call of `Term.add_component`.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.machines.fleet import Machine
from chalkgrade.record.changes import PersistedValue
from chalkgrade.record.jobs import Attempt, Job

Loop = Callable[[], Awaitable[None]]


class Sample(NamedTuple):
    """One metric family with its values by label; a counter never decreases."""

    name: str
    help_text: str
    labels: tuple[str, ...]
    values: Mapping[tuple[str, ...], float]
    counter: bool = False


def gauge(name: str, text: str, value: float) -> Sample:
    """Returns a gauge without labels."""
    return Sample(name, text, (), {(): value})


def labelled_sample(
    name: str, text: str, label: str, counts: Mapping[str, int], counter: bool = True
) -> Sample:
    """Returns a metric with one label, a counter by default."""
    return Sample(name, text, (label,), {(key,): n for key, n in counts.items()}, counter)


class Component:
    """A subsystem of a term. Every method and attribute is optional."""

    persisted_values: Sequence[PersistedValue] = ()  # read before the jobs, written when changed
    start_constraints: Sequence[StartConstraint] = ()  # checked in every round
    # Loops that hold durable state. An error in one ends the leadership, since its state can
    # be trusted again only after it is read under a new token.
    durable_loops: Sequence[Loop] = ()
    # Loops that make decisions. An error is logged and the loop is restarted, since the next
    # leader would get the same input.
    decision_loops: Sequence[Loop] = ()

    def start(self) -> None:
        """Called once the record and its live attempts are loaded, before the loops start."""

    def stop(self) -> None:
        """Called at the end of the term, when its loops have been cancelled."""

    def on_job(self, job: Job, fresh: bool) -> None:
        """Called for each new job; `fresh`: newly submitted, not read from the record."""

    def on_report(self, machine: Machine, first: bool) -> None:
        """Called after a report is accepted; `first`: the machine's first one in this term."""

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """Called when an attempt ends; `cause` is as reported, or empty if proven absent."""

    def samples(self) -> Iterable[Sample]:
        """Returns the component's metrics for /metrics."""
        return ()
