"""Reports and their answers: what a report surely says, and the orders that go with it."""

from collections.abc import Callable
from typing import Any

from chalkgrade import constants
from chalkgrade.leading import images
from chalkgrade.leading.scheduling import Scheduling
from chalkgrade.machines.fleet import Machine, Report, orders
from chalkgrade.record.jobs import Attempt
from chalkgrade.sharing.term_context import TermContext

Ended = Callable[[Machine | None, Attempt, str], None]


class Reports:
    """Answers workers under one token."""

    def __init__(
        self,
        domain: TermContext,
        scheduling: Scheduling,
        took_in: Callable[[Machine, bool], None],
        ended: Ended,
    ) -> None:
        self.office = domain.context
        self.leadership = domain.context.leadership
        self.clock = domain.context.clock
        self.book = domain.registry
        self.fleet = domain.fleet
        self.flavors = domain.flavors
        self.live = domain.is_serving
        self.scheduling = scheduling
        self.took_in = took_in  # a newest report was taken in; whether it was the first
        self.ended = ended  # an attempt is over; its cause, or empty

    async def hello(self, report: Report, relayed: bool = False) -> tuple[int, dict[str, Any]]:
        """Answer one report; one that another controller carries is held for less long."""
        if report.baton > self.office.token:
            self.leadership.heard(report.baton)
            return 421, {}
        received_at = self.clock.now()
        known = self.fleet.machines.get(report.host)
        first = known is None or known.reported_at is None
        machine = self.fleet.take(report)
        answer: dict[str, Any] = {"baton": self.office.token, "orders": []}
        if machine is None:
            return 200, answer
        self.took_in(machine, first)
        if machine.name in self.book.images:
            images.hint(machine, self.book.images.pop(machine.name), self.clock)
        self._reconcile(machine)
        if self.live():
            await self._hold(machine, constants.RELAY_HOLD_S if relayed else constants.IDLE_HOLD_S)
        if not self.leadership.sheltering() or self.leadership.token != self.office.token:
            return 421, {}
        current = (machine.tenure, machine.seq) == (report.tenure, report.seq)
        machine.answered_at = self.clock.now()
        useless = machine.releasing or machine.hearing.deaf
        answer["orders"] = orders(
            machine,
            self._forgettable(machine),
            self.clock,
            launches=current and self.live() and not useless,
        )
        if current:
            machine.hearing.answers((report.tenure, report.seq), received_at, self.clock.now())
        return 200, answer

    async def _hold(self, machine: Machine, idle_s: float) -> None:
        """Wait shortly for a round and its commit, so that launches go with this answer.

        A machine with nothing to do is held for longer: it has nothing to tell,
        and work that comes meanwhile need not wait for its next report.
        """
        machine.open += 1
        try:
            deadline = self.clock.now() + constants.ANSWER_HOLD_S
            if self.scheduling.wants_work(machine):
                self.scheduling.wanted.set()
                await self.scheduling.done.wait(deadline - self.clock.now())
            if not machine.attempts and not machine.tasks and self.fleet.usable(machine):
                await machine.given.wait(idle_s)
                deadline = self.clock.now() + constants.ANSWER_HOLD_S
            while self.live() and not all(a.durable for a in machine.attempts.values()):
                if not await self.book.committed.wait(deadline - self.clock.now()):
                    return
        finally:
            machine.open -= 1

    def _forgettable(self, machine: Machine) -> list[tuple[str, int]]:
        """Ended tasks whose outcome is durable."""
        return [
            key
            for key, entry in machine.tasks.items()
            if entry.status == "ended"
            and key not in machine.attempts
            and (key not in self.book.log.ended or key[0].rpartition("/")[0] not in self.book.jobs)
        ]

    def _reconcile(self, machine: Machine) -> None:
        """Bring the book up to what a report surely says."""
        now = self.clock.now()
        for key, attempt in list(machine.attempts.items()):
            entry = machine.tasks.get(key)
            if entry is None:
                if not self.fleet.absent(machine, attempt):
                    continue
                attempt.state = ""
                stopped = attempt.kill_at is not None or attempt.job.aborted
                if stopped or machine.releasing or machine.warned or machine.hearing.deaf:
                    self.ended(machine, attempt, "")
                continue
            if entry.status == "ended":
                if self.fleet.over(machine, attempt, entry.cause or ""):
                    self.ended(machine, attempt, entry.cause or "unknown cause")
                continue
            if entry.status == "running" and attempt.state != "running":
                attempt.since = now
            attempt.state = entry.status
            spec = attempt.job.spec
            if spec.shape == "service" and attempt.since:
                # Else two sick machines in its life would leave it short of replicas for ever.
                attempt.job.ran |= now - attempt.since > constants.PROVEN_RUN_S
            elif attempt.job.faulty:
                # Two machines that were sick at once must not hold a sound job back for a run.
                live = attempt.job.live.values()
                ran = sum(bool(a.since) and now - a.since > constants.PROVEN_RUN_S for a in live)
                attempt.job.trials = max(1, 2 * ran)
            machine.image_gb[spec.bundle] = spec.pullGb
            if entry.status != "fetching":
                images.holds(machine, spec.bundle, self.flavors.get(machine.hosttype), self.clock)
            if machine.warned and attempt.kill_at is None and spec.savepointS > 0:
                attempt.kill_at = now  # save while the machine lasts
        if machine.attempts:
            machine.busy_at = now
