"""The licence component of a term: a start constraint, loops for the servers, and metrics."""

import random
from collections.abc import Callable, Iterable

from chalkgrade.extensions.components import Component, Sample, labelled_sample
from chalkgrade.licences.checkouts import create_checkouts
from chalkgrade.licences.requirements import SeatRequirements
from chalkgrade.licences.seat_constraint import SeatConstraint, UsableSeats
from chalkgrade.licences.settings import LicenceSettings
from chalkgrade.outside import Http
from chalkgrade.record.jobs import JobSpec
from chalkgrade.renting.subsystem_context import SubsystemContext
from chalkgrade.sharing.queues import Queues
from chalkgrade.state.leader_context import LeaderContext


class Licences(Component):
    """Counted licences of one term."""

    def __init__(
        self, context: LeaderContext, queues: Queues, settings: LicenceSettings, http: Http
    ) -> None:
        self.requirements = SeatRequirements(settings)
        self.constraint = SeatConstraint(self.requirements, queues, self.usable_seats)
        self.start_constraints = [self.constraint]
        rng = random.Random(context.token)
        self.checkouts = create_checkouts(
            self.requirements, context.token, http, context.clock, rng, self.wanted_seats
        )
        self.decision_loops = [checkouts.run for checkouts in self.checkouts.values()]

    def usable_seats(self, pool: str) -> UsableSeats:
        """Returns the seats usable by this cluster: all of a pool that has no server."""
        checkouts = self.checkouts.get(pool)
        return (
            checkouts.usable_seats()
            if checkouts is not None
            else UsableSeats(self.requirements.pools[pool].seats)
        )

    def wanted_seats(self, pool: str) -> int:
        """Returns the seats that tasks use or could use at once, as of the last round."""
        available = self.requirements.pools[pool].seats
        return min(available, self.constraint.used[pool] + self.constraint.waiting[pool])

    def samples(self) -> Iterable[Sample]:
        """Yields the metrics of each pool."""
        pools = self.requirements.pools
        usable = {pool: self.usable_seats(pool) for pool in pools}
        figures = {
            "seats": ("Seats of a pool, by the settings", {p: pools[p].seats for p in pools}),
            "held": ("Seats that our tasks may use now", {p: usable[p].seats for p in pools}),
            "used": ("Seats of attempts that may be present", self.constraint.used),
            "waiting": ("Seats that waiting tasks ask for", self.constraint.waiting),
            "foreign": (
                "Seats held by others",
                {p: s.foreign_seats for p, s in self.checkouts.items()},
            ),
        }
        for name, (text, values) in figures.items():
            yield labelled_sample(f"licence_{name}", text, "pool", values, counter=False)
        fresh = {pool: int(usable_seats.fresh) for pool, usable_seats in usable.items()}
        what = "1 while a pool's server answers"
        yield labelled_sample("licence_fresh", what, "pool", fresh, counter=False)


def join(settings: LicenceSettings, subsystem_context: SubsystemContext) -> Licences:
    """Creates the component; called through the table in `extensions.subsystems`."""
    return Licences(
        subsystem_context.term_context.context,
        subsystem_context.term_context.queues,
        settings,
        subsystem_context.http,
    )


def refusal(settings: LicenceSettings) -> Callable[[JobSpec], str | None]:
    """Returns the check that rejects submissions which need more seats than a pool has."""
    return SeatRequirements(settings).rejection_reason
