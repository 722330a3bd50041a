"""Handles workers' reports: updates the record's view of attempts and returns orders."""

import logging
from collections.abc import Callable
from typing import Any

from chalkgrade import constants
from chalkgrade.leading import images
from chalkgrade.leading.scheduling import RoundScheduler
from chalkgrade.logs import decision_fields
from chalkgrade.machines.fleet import Machine, Report
from chalkgrade.machines.orders import orders
from chalkgrade.record.jobs import Attempt
from chalkgrade.sharing.term_context import TermContext

log = logging.getLogger("chalkgrade.reports")

AttemptEndedCallback = Callable[[Machine | None, Attempt, str], None]


class ReportHandler:
    """Handles workers' reports during one term."""

    def __init__(
        self,
        term_context: TermContext,
        scheduling: RoundScheduler,
        on_report_accepted: Callable[[Machine, bool], None],
        on_attempt_ended: AttemptEndedCallback,
    ) -> None:
        self.context = term_context.context
        self.leadership = term_context.context.leadership
        self.clock = term_context.context.clock
        self.registry = term_context.registry
        self.fleet = term_context.fleet
        self.flavors = term_context.flavors
        self.is_serving = term_context.is_serving
        self.scheduling = scheduling
        # Called with the machine of an accepted report and whether it was its first one.
        self.on_report_accepted = on_report_accepted
        # Called with the end cause, empty if the attempt is proven absent.
        self.on_attempt_ended = on_attempt_ended

    async def handle_report(
        self, report: Report, size: int = 0, relayed: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Answers one report of `size` bytes with an HTTP status and a body.

        Status 421 means that this controller may not answer now, as it does not lead or its
        lease is no longer proven. A report relayed by another controller is held for a
        shorter time, which must fit into the relay's own time limit.
        """
        if report.baton > self.context.token:
            self.leadership.observe_token(report.baton)
            return 421, {}
        received_at = self.clock.now()
        known = self.fleet.machines.get(report.host)
        first = known is None or known.reported_at is None
        machine = self.fleet.accept_report(report, size)
        answer: dict[str, Any] = {"baton": self.context.token, "orders": []}
        if machine is None:
            # A copy, whose answer nobody reads, or a worker that was restarted. The latter may
            # learn the token, unless this term has launched tasks there before: then copies with
            # the token may come, and the machine is returned as silent.
            return (421, {}) if known and self.fleet.has_seen_token(known) else (200, answer)
        self.on_report_accepted(machine, first)
        if machine.name in self.registry.image_hints:
            images.add_recorded_images(
                machine, self.registry.image_hints.pop(machine.name), self.clock
            )
        self._reconcile(machine)
        if self.is_serving() and self.fleet.is_surely_of_this_term(machine):
            await self._wait_for_decisions(
                machine,
                constants.RELAYED_IDLE_RESPONSE_HOLD_S
                if relayed
                else constants.IDLE_RESPONSE_HOLD_S,
            )
        if not self.leadership.may_renew_workers() or self.leadership.token != self.context.token:
            return 421, {}
        current = (machine.tenure, machine.seq) == (report.tenure, report.seq)
        machine.answered_at = self.clock.now()
        answer["orders"] = orders(
            machine,
            self._forgettable_attempts(machine),
            self.clock,
            launches=current and self.is_serving() and self.fleet.may_launch(machine),
        )
        if current:
            machine.response_tracker.on_response_sent(
                (report.tenure, report.seq), received_at, self.clock.now()
            )
        return 200, answer

    async def _wait_for_decisions(self, machine: Machine, idle_s: float) -> None:
        """Waits briefly for a round and its commit, so that this answer carries the launches.

        The report of an idle machine is held for up to `idle_s`: it has nothing to report
        meanwhile, and new work need not wait for its next report.
        """
        machine.open_reports += 1
        try:
            deadline = self.clock.now() + constants.COMMITTED_RESPONSE_HOLD_S
            if self.scheduling.wants_work(machine):
                self.scheduling.round_requested.set()
                await self.scheduling.round_finished.wait(deadline - self.clock.now())
            if not machine.attempts and not machine.tasks and self.fleet.usable(machine):
                await machine.work_assigned.wait(idle_s)
                deadline = self.clock.now() + constants.COMMITTED_RESPONSE_HOLD_S
            while self.is_serving() and not all(a.is_durable for a in machine.attempts.values()):
                if not await self.registry.committed.wait(deadline - self.clock.now()):
                    return
        finally:
            machine.open_reports -= 1

    def _forgettable_attempts(self, machine: Machine) -> list[tuple[str, int]]:
        """Returns the ended tasks whose outcome is durable, which the worker may forget."""
        return [
            key
            for key, entry in machine.tasks.items()
            if entry.status == "ended"
            and key not in machine.attempts
            and (
                key not in self.registry.oplog.undurable_ends
                or key[0].rpartition("/")[0] not in self.registry.jobs
            )
        ]

    def _reconcile(self, machine: Machine) -> None:
        """Updates the attempts of a machine with what its newest report proves."""
        now = self.clock.now()
        for key, attempt in list(machine.attempts.items()):
            entry = machine.tasks.get(key)
            if entry is None:
                if not self.fleet.is_surely_absent(machine, attempt):
                    continue
                attempt.state = ""
                stopped = attempt.kill_requested_at is not None or attempt.job.aborted
                if (
                    stopped
                    or machine.releasing
                    or machine.has_termination_notice
                    or machine.response_tracker.responses_lost
                ):
                    self.on_attempt_ended(machine, attempt, "")
                continue
            if entry.status == "ended":
                if self.fleet.is_surely_ended(machine, attempt, entry.cause or ""):
                    self.on_attempt_ended(machine, attempt, entry.cause or "unknown cause")
                continue
            if entry.status == "running" and attempt.state != "running":
                attempt.running_since = now
            attempt.state = entry.status
            spec = attempt.job.spec
            if spec.shape == "service" and attempt.running_since:
                # Otherwise failures on two broken machines during its life would leave the
                # service short of replicas for good.
                attempt.job.has_run_long |= now - attempt.running_since > constants.MIN_PROVEN_RUN_S
            elif attempt.job.is_faulty:
                # Two machines that break at the same time must not hold back a sound job for the
                # length of a run.
                live = attempt.job.live.values()
                ran = sum(
                    bool(a.running_since) and now - a.running_since > constants.MIN_PROVEN_RUN_S
                    for a in live
                )
                attempt.job.probe_limit = max(1, 2 * ran)
            machine.image_gb[spec.bundle] = spec.pullGb
            if entry.status != "fetching":
                images.record_image_use(
                    machine, spec.bundle, self.flavors.get(machine.hosttype), self.clock
                )
            if (
                machine.has_termination_notice
                and attempt.kill_requested_at is None
                and spec.savepointS > 0
            ):
                attempt.kill_requested_at = now  # save before the machine is withdrawn
        self._withdraw_unreportable(machine)
        if machine.attempts:
            machine.busy_at = now

    def _withdraw_unreportable(self, machine: Machine) -> None:
        """Ends attempts that the worker could not report, so that their tasks start elsewhere.

        Placement leaves room in the reports. It lacks where a report lists more than was known:
        tasks placed by another version of this program, or fields that were added to the entries.
        """
        _, excess = machine.unlisted_attempts()
        withdrawn = [a for a in excess if self.fleet.is_surely_absent(machine, a)]
        for attempt in withdrawn:
            self.on_attempt_ended(machine, attempt, "")
        if withdrawn:
            log.warning(
                "attempts withdrawn: %d on %s, whose reports have no room for them",
                len(withdrawn),
                machine.name,
                extra=decision_fields(self.context.token, machine=machine.name),
            )
