"""What the subsystems of one term work on."""

from collections.abc import Callable
from dataclasses import dataclass

from chalkgrade.machines.fleet import Fleet
from chalkgrade.machines.kinds import Flavor
from chalkgrade.record.book import Book
from chalkgrade.sharing.queues import Queues
from chalkgrade.state.office import Office


@dataclass(frozen=True)
class TermContext:
    """A leader's jobs, machines and queues; `live`: whether it may decide anything now."""

    office: Office
    book: Book
    fleet: Fleet
    queues: Queues
    flavors: dict[str, Flavor]
    is_serving: Callable[[], bool]
