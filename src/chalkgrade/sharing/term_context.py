"""The shared state that the subsystems of one leader term work on."""

from collections.abc import Callable
from dataclasses import dataclass

from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.kinds import Flavor
from chalkgrade.record.book import Book
from chalkgrade.sharing.queues import Queues
from chalkgrade.state.office import Office


@dataclass(frozen=True)
class TermContext:
    """A leader's jobs, machines, queues and machine types during one term.

    `is_serving` returns whether the leader may make decisions now.
    """

    context: Office
    registry: Book
    fleet: Fleet
    queues: Queues
    flavors: dict[str, Flavor]
    is_serving: Callable[[], bool]
