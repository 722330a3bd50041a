"""What a leader knows beside the record, for whoever leads next.

Hints are told over the peer links every few seconds, bounded in size and believed for a
short time. They shift what is planned and what is tried first; they never prove that a
task or a machine is there or is not.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from itertools import islice

import msgspec

from chalkgrade import constants
from chalkgrade.machines.kinds import Pool
from chalkgrade.renting.renter import Renter
from chalkgrade.sharing.term_context import TermContext

log = logging.getLogger("chalkgrade.hints")


class Hints(msgspec.Struct):
    """Times are times of day, s: they must mean something to another controller.

    Only what is little: images held and since when tasks run were told too, some 60 KB. A
    day on the bench fell since then, also with these alone; the cause is not proven.
    """

    token: int
    at: float
    ratios: list[tuple[Pool, float]] = []  # boot times as seen, over the type's
    never: list[tuple[Pool, list[float]]] = []  # births of machines that never came
    refused: list[tuple[Pool, float]] = []  # pools without capacity, until when
    booting: list[tuple[str, Pool, float]] = []  # rented, not heard of yet; and their births
    silent: dict[str, float] = {}  # machines out of reach, and since when
    failed: dict[str, dict[str, int]] = {}  # machine -> job -> failures since its last success


def gather(domain: TermContext, renter: Renter) -> Hints:
    """The hints of a term, each kind bounded."""
    clock, fleet, most = domain.context.clock, domain.fleet, constants.HINTS_EACH
    now, shift = clock.now(), clock.wall() - clock.now()
    out = Hints(domain.context.token, clock.wall())
    out.ratios, out.never = renter.boots.told(shift)
    out.refused = [(pool, until + shift) for pool, until in renter.blocked.items() if until > now]
    machines = fleet.machines.values()
    out.booting = [
        (m.name, (m.hosttype, m.site, m.standby), m.born + shift)
        for m in islice((m for m in machines if m.reported_at is None and m.hired), most)
        if not m.releasing
    ]
    out.silent = {
        machine.name: machine.reported_at + shift
        for machine in machines
        if machine.reported_at is not None and now - machine.reported_at > fleet.silent_s
    }
    out.failed = {
        machine.name: {job.name: count for job, count in machine.failed.items()}
        for machine in machines
        if machine.failed
    }
    return out


def apply(hints: Hints, domain: TermContext, renter: Renter) -> None:
    """Begin a term with what the last leader said, as far as the record agrees."""
    clock, fleet, jobs = domain.context.clock, domain.fleet, domain.registry.jobs
    shift = clock.now() - clock.wall()
    renter.boots.hear(hints.ratios, hints.never, shift)
    latest = clock.now() + constants.REFUSED_S
    renter.blocked |= {pool: min(latest, until + shift) for pool, until in hints.refused}
    for name, pool, born in hints.booting:
        machine = fleet.machine(name, *pool)
        machine.hired, machine.born = True, born + shift
    for name, at in hints.silent.items():
        known = fleet.machines.get(name)
        if known is not None:
            known.silent_from = at + shift
    for name, counts in hints.failed.items():
        if name in fleet.machines:
            # One at most: that a machine is returned needs a failure that we have seen.
            failed = [jobs[job] for job, count in counts.items() if job in jobs and count > 0]
            fleet.machines[name].failed |= dict.fromkeys(failed[:1], 1)
    told = (len(hints.booting), len(hints.silent))
    log.info("hints of term %d: %d booting, %d silent", hints.token, *told)


class Succession:
    """One controller's side: the hints it has heard, and how it tells its own."""

    def __init__(self, tell: Callable[[Hints], Awaitable[None]]) -> None:
        self.tell = tell
        self.heard: Hints | None = None

    def hear(self, hints: Hints, leads: int) -> bool:
        """Keep what the present leader says; False for what is older, or of nobody's term."""
        if hints.token < leads or (self.heard is not None and hints.at <= self.heard.at):
            return False
        self.heard = hints
        return True

    def fresh(self, token: int, wall: float) -> Iterable[Hints]:
        """The hints of an earlier term, if they are young enough to be of use."""
        hints = self.heard
        if hints is not None and hints.token < token and wall - hints.at < constants.HINTS_AGE_S:
            yield hints
