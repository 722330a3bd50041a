"""Licences as a part of a term: a gate for rounds, loops for the servers, figures."""

import random
from collections.abc import Callable, Iterable

from chalkgrade.extensions.components import Component, Sample, labelled_sample
from chalkgrade.licences.needs import Needs
from chalkgrade.licences.seats import SeatGate, Usable
from chalkgrade.licences.settings import LicenceSettings
from chalkgrade.licences.stock import stocks
from chalkgrade.outside import Http
from chalkgrade.record.jobs import JobSpec
from chalkgrade.renting.subsystem_context import SubsystemContext
from chalkgrade.sharing.queues import Queues
from chalkgrade.state.leader_context import LeaderContext


class Licences(Component):
    """Counted licences of one term."""

    def __init__(
        self, office: LeaderContext, queues: Queues, settings: LicenceSettings, http: Http
    ) -> None:
        self.needs = Needs(settings)
        self.gate = SeatGate(self.needs, queues, self.usable)
        self.start_constraints = [self.gate]
        rng = random.Random(office.token)
        self.stocks = stocks(self.needs, office.token, http, office.clock, rng, self.wanted)
        self.decision_loops = [stock.run for stock in self.stocks.values()]

    def usable(self, pool: str) -> Usable:
        """Without a server we alone count, and all seats are ours."""
        stock = self.stocks.get(pool)
        return stock.usable() if stock is not None else Usable(self.needs.pools[pool].seats)

    def wanted(self, pool: str) -> int:
        """Seats that tasks use or would use now, as of the last round."""
        most = self.needs.pools[pool].seats
        return min(most, self.gate.used[pool] + self.gate.waiting[pool])

    def samples(self) -> Iterable[Sample]:
        pools = self.needs.pools
        usable = {pool: self.usable(pool) for pool in pools}
        figures = {
            "seats": ("Seats of a pool, by the settings", {p: pools[p].seats for p in pools}),
            "held": ("Seats that our tasks may use now", {p: usable[p].seats for p in pools}),
            "used": ("Seats of attempts that may be present", self.gate.used),
            "waiting": ("Seats that waiting tasks ask for", self.gate.waiting),
            "foreign": ("Seats held by others", {p: s.foreign for p, s in self.stocks.items()}),
        }
        for name, (text, values) in figures.items():
            yield labelled_sample(f"licence_{name}", text, "pool", values, counter=False)
        fresh = {pool: int(found.fresh) for pool, found in usable.items()}
        what = "1 while a pool's server answers"
        yield labelled_sample("licence_fresh", what, "pool", fresh, counter=False)


def join(own: LicenceSettings, subsystem_context: SubsystemContext) -> Licences:
    """The table of subsystems asks for this."""
    return Licences(
        subsystem_context.term_context.context,
        subsystem_context.term_context.queues,
        own,
        subsystem_context.http,
    )


def refusal(own: LicenceSettings) -> Callable[[JobSpec], str | None]:
    """Submissions that need more seats than there are can never run."""
    return Needs(own).refusal
