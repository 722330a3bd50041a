"""Attributes task failures to the job or to the machine (docs/design.md, "Whose fault")."""

import logging

from chalkgrade import constants
from chalkgrade.extensions.components import Component
from chalkgrade.logs import decision_fields
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Clock
from chalkgrade.record.jobs import Attempt

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
                doublings = job.failed_probes if not job.live else 0
                doublings = min(constants.MAX_BACKOFF_DOUBLINGS, doublings)
                pause = constants.MIN_JOB_BACKOFF_S * 2**doublings
                job.retry_at = self._clock.now() + min(constants.MAX_JOB_BACKOFF_S, pause)
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
