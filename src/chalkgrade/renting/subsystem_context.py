"""The interface that an optional subsystem receives when a leader's term begins."""

from collections.abc import Callable
from dataclasses import dataclass

from chalkgrade.outside import Http
from chalkgrade.record.jobs import Job
from chalkgrade.renting.renter import Renter
from chalkgrade.sharing.term_context import TermContext


@dataclass(frozen=True)
class SubsystemContext:
    """One term's state, its renter, the combined start constraints and an HTTP client."""

    term_context: TermContext
    renter: Renter
    startable_tasks: Callable[[Job, int], int]  # how many of so many tasks constraints let start
    holds_scarce_resource: Callable[[Job], bool]  # whether a constraint ties a job to what it holds
    http: Http
