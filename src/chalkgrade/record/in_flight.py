"""Commits that were sent, may have been executed, and have no answer yet.

Other nodes that read the record see the effect of such a commit and report it to users. So the
leader's memory of the jobs concerned may be older than what users were told. A status report
therefore names the keys that open commits write for the job, and the node that answers the user
reads these keys first. Before a commit is sent its effect is invisible; after its answer was
processed, memory has the same state.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from chalkgrade.record.changes import RecordChange
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX


class JobStatusReport(msgspec.Struct):
    """A job's status in the leader's memory, and the keys by which it may be out of date."""

    told: dict[str, Any] | None = None  # the status; None: the job is not in the registry
    open: list[str] = []  # keys that open commits write for the job


def affected_keys(change: RecordChange) -> Iterator[tuple[str, str]]:
    """Yield (job name, key) for each job whose user-visible status a change alters."""
    for write in change.writes:
        for prefix in (END_PREFIX, JOB_PREFIX):
            if write.value is not None and write.key.startswith(prefix):
                yield write.key.removeprefix(prefix), write.key
    if change.batch is not None:
        for name, value in change.edits.items():
            if value is not None:
                yield name, change.batch.key


class InFlightCommits:
    """The open commits of one term, by job."""

    def __init__(self) -> None:
        self._keys_by_job: dict[str, list[str]] = {}

    def begin(self, changes: Iterable[RecordChange]) -> None:
        """Register changes that are about to be sent."""
        for change in changes:
            for name, key in affected_keys(change):
                self._keys_by_job.setdefault(name, []).append(key)

    def resolve(self, changes: Iterable[RecordChange]) -> None:
        """Remove changes whose outcome is known and applied in memory."""
        for change in changes:
            for name, key in affected_keys(change):
                keys = self._keys_by_job.get(name, [])
                if key in keys:
                    keys.remove(key)
                if not keys:
                    self._keys_by_job.pop(name, None)

    def keys_of(self, name: str) -> list[str]:
        """Return the keys that open commits write for a job."""
        return list(self._keys_by_job.get(name, ()))
