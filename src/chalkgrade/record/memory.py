"""The memory that unfinished jobs take of a controller, and its limit.

All controllers count by one rule and from the record alone: the leader over the jobs of its
registry, and a controller that commits a submission itself over the records that it read. So the
next leader can hold what any of them has accepted.
"""

from chalkgrade import constants
from chalkgrade.record import dependency_lists
from chalkgrade.record.jobs import JobValue
from chalkgrade.settings import Quota

BYTES_PER_MB = 1024 * 1024


class JobMemoryFullError(Exception):
    """The unfinished jobs take all the memory that they may; a later submission may fit."""


def record_memory_bytes(stored_bytes: int, tasks: int) -> int:
    """Return the most bytes of memory that an unfinished job takes.

    `stored_bytes`: size of its record in the state service, with its dependency list; `tasks`: the
    number of its tasks, each of which may have been started.
    """
    pages = -(-tasks // constants.TASKS_PER_PAGE)
    return (
        constants.JOB_MEMORY_BYTES
        + constants.RECORD_MEMORY_RATIO * stored_bytes
        + constants.PAGE_MEMORY_BYTES * pages
    )


def job_memory_bytes(value: JobValue, max_value_bytes: int) -> int:
    """Return the most bytes of memory that a job takes; a stored value has `max_value_bytes`."""
    stored_bytes = len(dependency_lists.encode_record(value))
    if value.apart is not None:
        stored_bytes += value.apart[1] * max_value_bytes
    return record_memory_bytes(stored_bytes, value.spec.tasks)


def job_memory_limit_bytes(quota: Quota) -> float:
    """Return the bytes of memory that all unfinished jobs may take; infinite without a quota."""
    if not quota.ram_mb:
        return float("inf")
    return quota.ram_mb * BYTES_PER_MB * constants.JOBS_MEMORY_RATIO


class JobMemory:
    """The memory that the unfinished jobs of a registry take, submissions in progress included."""

    def __init__(self, limit_bytes: float, max_value_bytes: int) -> None:
        """Start without jobs; for `max_value_bytes` see `job_memory_bytes`."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._max_value_bytes = max_value_bytes
        self._bytes_by_job: dict[str, int] = {}

    def check_room(self, value: JobValue) -> None:
        """Raise JobMemoryFullError if another job would exceed the limit."""
        if self.held_bytes + job_memory_bytes(value, self._max_value_bytes) > self.limit_bytes:
            raise JobMemoryFullError(value.spec.nameId)

    def hold(self, value: JobValue) -> None:
        """Count a job, once however often it is called."""
        name = value.spec.nameId
        if name not in self._bytes_by_job:
            self._bytes_by_job[name] = job_memory_bytes(value, self._max_value_bytes)
            self.held_bytes += self._bytes_by_job[name]

    def release(self, name: str) -> None:
        """Stop counting a job."""
        self.held_bytes -= self._bytes_by_job.pop(name, 0)

    def clear(self) -> None:
        """Stop counting all jobs."""
        self._bytes_by_job.clear()
        self.held_bytes = 0
