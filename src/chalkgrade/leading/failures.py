"""Attributes task failures to the job or to the machine (docs/design.md, "Whose fault")."""

import logging

from chalkgrade.extensions.components import Component
from chalkgrade.logs import decision_fields
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Clock
from chalkgrade.record.jobs import Attempt
from chalkgrade.sharing.constraints import job_backoff_s

log = logging.getLogger("chalkgrade.faults")


class FailureTracker(Component):
    """Counts failures by machine and job and delays the next attempts of faulty jobs."""

    def __init__(self, token: int, clock: Clock) -> None:
        self._token = token
        self._clock = clock

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        """Records the outcome of an attempt and sets the job's backoff after a failure."""
        job = attempt.job
        if machine is None:
            return
        if cause == "done":
            machine.failures_by_job.clear()
        elif cause in FAILURE_CAUSES:
            machine.failed_at = self._clock.now()
            job.probe_limit = 1
            if cause == "error":
                machine.failures_by_job[job] = machine.failures_by_job.get(job, 0) + 1
            if job.is_faulty or cause == "unknown":
                # Tasks that already ran can all fail at the same moment, which counts as one
                # failure. Probes run one at a time, so each failed probe doubles the delay.
                pause = job_backoff_s(job.failed_probes if not job.live else 0)
                job.retry_at = self._clock.now() + pause
            log.info(
                "attempt failed: %s on %s: %s%s",
                attempt.name,
                machine.name,
                cause,
                ", the job is held for faulty" if job.is_faulty else "",
                extra=decision_fields(self._token, job.name, machine.name, attempt.label),
            )
        elif cause == "no_room":
            # The free resources assumed here were wrong: place nothing until the next report.
            machine.capacity_misreported = True


# End causes that count as a failure of the attempt.
FAILURE_CAUSES = ("error", "unknown")
