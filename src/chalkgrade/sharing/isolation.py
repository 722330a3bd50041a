"""Keeps an error about one job from stopping the decisions about all others.

A scheduling round or a rental plan works on all jobs. If handling one of them raises an error,
the loop that runs the decision would be restarted with the same jobs, under the next leader as
well, and meet the same error: nothing would ever be started for anybody. So the job is set aside
by name, and the decision is made again without it. The job is tried again after a delay.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, TypeVar

from chalkgrade import constants
from chalkgrade.extensions.constraints import StartConstraint
from chalkgrade.logs import decision_fields
from chalkgrade.outside import Clock
from chalkgrade.record.jobs import Job
from chalkgrade.sharing.constraints import job_backoff_s

log = logging.getLogger("chalkgrade.sharing")

REASON_SET_ASIDE = "set aside after an internal error"

Result = TypeVar("Result")


class _SetAside(NamedTuple):
    """A job's errors so far, and until when it is left out (monotonic time, s)."""

    errors: int
    until: float


class JobIsolation(StartConstraint):
    """Attributes errors to the job that is being handled and leaves it out for a while.

    Loops over jobs use `each`, so that the job is known when one of their steps raises an error.
    A loop that is left early keeps its job as the one being handled.
    """

    def __init__(self, clock: Clock, token: int = 0) -> None:
        """`token`: of the leader's term, for the log."""
        self._clock = clock
        self._token = token
        self._current: Job | None = None
        self._jobs: dict[Job, _SetAside] = {}
        self.error_count = 0  # errors that were attributed to a job

    # -- attribution ----------------------------------------------------------------

    def each(self, jobs: Iterable[Job]) -> Iterator[Job]:
        """Yields the jobs; while the caller handles one, errors are attributed to it."""
        outer = self._current
        for job in jobs:
            self._current = job
            yield job
        self._current = outer

    def sort(self, jobs: Iterable[Job], key: Callable[[Job], tuple[float, ...]]) -> list[Job]:
        """Returns the jobs in the order of their keys; jobs with equal keys keep their order."""
        keys = {job: key(job) for job in self.each(jobs)}
        return sorted(keys, key=keys.__getitem__)

    def run(self, decide: Callable[[], Result]) -> Result:
        """Returns the result of a decision on all jobs that are not set aside.

        An error while a job is handled sets that job aside, and `decide` is called again. Raises
        an error that no job is known for, and the last one if many jobs cause errors in a row.
        """
        for _ in range(constants.MAX_JOBS_SET_ASIDE_AT_ONCE):
            self._current = None
            try:
                return decide()
            except Exception:
                if self._current is None:
                    raise
                self._set_aside(self._current)
        self._current = None
        return decide()

    def _set_aside(self, job: Job) -> None:
        errors = self._jobs[job].errors + 1 if job in self._jobs else 1
        delay = job_backoff_s(errors - 1)
        self._jobs[job] = _SetAside(errors, self._clock.now() + delay)
        self.error_count += 1
        log.exception(
            "job set aside for %.0f s: %s: an error occurred while it was handled",
            delay,
            job.name,
            extra=decision_fields(self._token, job.name),
        )

    # -- start constraint -----------------------------------------------------------

    def begin_round(self, jobs: Iterable[Job], now: float) -> None:
        """Forgets jobs that are over."""
        if self._jobs:
            known = set(jobs)
            self._jobs = {job: entry for job, entry in self._jobs.items() if job in known}

    def is_set_aside(self, job: Job) -> bool:
        """Returns whether a job is left out now."""
        entry = self._jobs.get(job)
        return entry is not None and self._clock.now() < entry.until

    def set_aside_count(self) -> int:
        """Returns how many jobs are left out now."""
        return sum(map(self.is_set_aside, self._jobs))

    def is_ready(self, job: Job) -> bool:
        """Excludes jobs that are set aside."""
        return not self.is_set_aside(job)

    def max_demand(self, job: Job, count: int) -> int:
        """Returns no demand for jobs that are set aside, so that no machine is rented for them."""
        return 0 if self.is_set_aside(job) else count

    def refusal_reason(self, job: Job) -> str:
        """Names the reason of jobs that are set aside."""
        return REASON_SET_ASIDE if self.is_set_aside(job) else ""
