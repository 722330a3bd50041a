"""Passes a leader's unrecorded observations to its successor.

The leader sends hints over the peer links every few seconds. Their size is bounded and a
successor uses them only while they are recent. Hints influence planning and the order in
which options are tried; they never prove that a task or a machine is present or absent.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from itertools import islice

import msgspec

from chalkgrade import constants
from chalkgrade.machines.flavors import Pool
from chalkgrade.renting.renter import Renter
from chalkgrade.sharing.term_context import TermContext

log = logging.getLogger("chalkgrade.hints")


class Hints(msgspec.Struct):
    """Observations of one term. All times are wall-clock seconds, valid on any controller.

    Hints carry only small values. Held images and task start times made a message about 60 KB
    and are left out. A benchmark day has failed since hints are sent, with these small values
    alone as well; the cause is unknown.
    """

    token: int
    at: float
    ratios: list[tuple[Pool, float]] = []  # observed boot time / the type's nominal one
    never: list[tuple[Pool, list[float]]] = []  # rental times of machines that never reported
    refused: list[tuple[Pool, float]] = []  # pools without capacity, and until when
    booting: list[tuple[str, Pool, float]] = []  # rented, no report yet: name, pool, rental time
    silent: dict[str, float] = {}  # unreachable machines -> time of the last report
    failed: dict[str, dict[str, int]] = {}  # machine -> job -> failures since its last success


def gather_hints(term_context: TermContext, renter: Renter) -> Hints:
    """Collects the hints of the current term, with a bounded number of entries of each kind."""
    clock, fleet, most = (
        term_context.context.clock,
        term_context.fleet,
        constants.MAX_HINTS_PER_KIND,
    )
    now, shift = clock.now(), clock.wall() - clock.now()
    out = Hints(term_context.context.token, clock.wall())
    out.ratios, out.never = renter.boot_times.export_history(shift)
    out.refused = [
        (pool, until + shift) for pool, until in renter.refused_until.items() if until > now
    ]
    machines = fleet.machines.values()
    out.booting = [
        (m.name, (m.hosttype, m.site, m.standby), m.rented_at + shift)
        for m in islice((m for m in machines if m.reported_at is None and m.rented_this_term), most)
        if not m.releasing
    ]
    out.silent = {
        machine.name: machine.reported_at + shift
        for machine in machines
        if machine.reported_at is not None and now - machine.reported_at > fleet.silent_s
    }
    out.failed = {
        machine.name: {job.name: count for job, count in machine.failures_by_job.items()}
        for machine in machines
        if machine.failures_by_job
    }
    return out


def apply_hints(hints: Hints, term_context: TermContext, renter: Renter) -> None:
    """Applies the previous leader's hints to a new term where they agree with the record."""
    clock, fleet, jobs = term_context.context.clock, term_context.fleet, term_context.registry.jobs
    shift = clock.now() - clock.wall()
    renter.boot_times.import_history(hints.ratios, hints.never, shift)
    latest = clock.now() + constants.REFUSED_POOL_PAUSE_S
    renter.refused_until |= {pool: min(latest, until + shift) for pool, until in hints.refused}
    for name, pool, rented_at in hints.booting:
        machine = fleet.get_or_add(name, *pool)
        machine.rented_this_term, machine.rented_at = True, rented_at + shift
    for name, at in hints.silent.items():
        known = fleet.machines.get(name)
        if known is not None:
            known.silent_since = at + shift
    for name, counts in hints.failed.items():
        if name in fleet.machines:
            # At most one failure is taken over: a machine is returned only after this leader
            # has observed a failure itself.
            failed = [jobs[job] for job, count in counts.items() if job in jobs and count > 0]
            fleet.machines[name].failures_by_job |= dict.fromkeys(failed[:1], 1)
    totals = (len(hints.booting), len(hints.silent))
    log.info("hints applied: term %d: %d booting, %d silent machines", hints.token, *totals)


class HintExchange:
    """One controller's hints: the last ones received, and the function that sends its own."""

    def __init__(self, publish: Callable[[Hints], Awaitable[None]]) -> None:
        self.publish = publish
        self.received: Hints | None = None

    def receive(self, hints: Hints, highest_token: int) -> bool:
        """Stores hints of the current leader; False if they are older or of an earlier term.

        `highest_token`: the highest token known to this controller.
        """
        if hints.token < highest_token or (
            self.received is not None and hints.at <= self.received.at
        ):
            return False
        self.received = hints
        return True

    def usable_hints(self, token: int, wall: float) -> Iterable[Hints]:
        """Yields the hints of an earlier term if they are recent enough to be used."""
        hints = self.received
        if (
            hints is not None
            and hints.token < token
            and wall - hints.at < constants.MAX_HINTS_AGE_S
        ):
            yield hints
