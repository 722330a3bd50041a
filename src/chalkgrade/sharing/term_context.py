"""The shared state that the subsystems of one leader term work on."""

from collections.abc import Callable
from dataclasses import dataclass

from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet
from chalkgrade.record.registry import JobRegistry
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.queues import Queues
from chalkgrade.state.leader_context import LeaderContext


@dataclass(frozen=True)
class TermContext:
    """A leader's jobs, machines, queues and machine types during one term.

    `is_serving` returns whether the leader may make decisions now. `isolation` leaves out jobs
    whose handling raised an error.
    """

    context: LeaderContext
    registry: JobRegistry
    fleet: Fleet
    queues: Queues
    flavors: dict[str, Flavor]
    is_serving: Callable[[], bool]
    isolation: JobIsolation
