"""Commits whose fate is open: sent, and perhaps executed, with no answer yet.

Whoever reads the record sees what such a commit has changed, and tells users. So what memory
says of those jobs may be older than what users know: `account` names the keys that show it,
and whoever answers reads them first (`serving.telling`). Until a commit is sent nobody can
know what it says; once its answer is taken in, memory says the same.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from chalkgrade.record.changes import RecordChange
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX


class JobStatusReport(msgspec.Struct):
    """What the leader's book says of a job, and by which keys it may be out of date."""

    told: dict[str, Any] | None = None  # None: the book does not have it
    open: list[str] = []


def affected_keys(change: RecordChange) -> Iterator[tuple[str, str]]:
    """Jobs of which a change alters what users are told, each with a key that shows it."""
    for write in change.writes:
        for prefix in (END_PREFIX, JOB_PREFIX):
            if write.value is not None and write.key.startswith(prefix):
                yield write.key.removeprefix(prefix), write.key
    if change.batch is not None:
        for name, value in change.edits.items():
            if value is not None:
                yield name, change.batch.key


class InFlightCommits:
    """One term's open commits, by job."""

    def __init__(self) -> None:
        self._keys_by_job: dict[str, list[str]] = {}

    def begin(self, changes: Iterable[RecordChange]) -> None:
        """They are about to be sent."""
        for change in changes:
            for name, key in affected_keys(change):
                self._keys_by_job.setdefault(name, []).append(key)

    def resolve(self, changes: Iterable[RecordChange]) -> None:
        """What became of them is known, and in memory."""
        for change in changes:
            for name, key in affected_keys(change):
                keys = self._keys_by_job.get(name, [])
                if key in keys:
                    keys.remove(key)
                if not keys:
                    self._keys_by_job.pop(name, None)

    def keys_of(self, name: str) -> list[str]:
        return list(self._keys_by_job.get(name, ()))
