"""Whose fault a failure is: the job's or the machine's (docs/design.md, "Whose fault")."""

import logging

from chalkgrade import constants
from chalkgrade.logs import about
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Clock
from chalkgrade.record.jobs import Attempt
from chalkgrade.seams.parts import Part

log = logging.getLogger("chalkgrade.faults")


class Faults(Part):
    """Counts failures by machine, and lets faulty jobs pause between probes."""

    def __init__(self, token: int, clock: Clock) -> None:
        self._token = token
        self._clock = clock

    def on_ended(self, machine: Machine | None, attempt: Attempt, cause: str) -> None:
        job = attempt.job
        if machine is None:
            return
        if cause == "done":
            machine.failed.clear()
        elif cause in FAILED:
            machine.failed_at = self._clock.now()
            job.probe_limit = 1
            if cause == "error":
                machine.failed[job] = machine.failed.get(job, 0) + 1
            if job.is_faulty or cause == "unknown":
                # Tasks that were under way fail at once, as one; probes fail one by one.
                pause = constants.JOB_BACKOFF_S * 2 ** min(
                    8, job.failed_probes if not job.live else 0
                )
                job.retry_at = self._clock.now() + min(constants.JOB_BACKOFF_MAX_S, pause)
            log.info(
                "%s failed on %s: %s%s",
                attempt.name,
                machine.name,
                cause,
                ", the job is held for faulty" if job.is_faulty else "",
                extra=about(self._token, job.name, machine.name, attempt.label),
            )
        elif cause == "no_room":
            machine.misread = True  # our picture of it is wrong: wait for the next report


FAILED = ("error", "unknown")  # causes that count as a failure of the attempt
