"""What an optional subsystem is given when it joins a term."""

from collections.abc import Callable
from dataclasses import dataclass

from chalkgrade.outside import Http
from chalkgrade.record.jobs import Job
from chalkgrade.renting.renter import Renter
from chalkgrade.sharing.term_context import TermContext


@dataclass(frozen=True)
class SubsystemContext:
    """One term's domain, its renter, what all gates together say, and a way out."""

    term_context: TermContext
    renter: Renter
    startable_tasks: Callable[[Job, int], int]  # how many of so many tasks gates would let start
    holds_scarce_resource: Callable[[Job], bool]  # whether a gate ties a job to what it has
    http: Http
