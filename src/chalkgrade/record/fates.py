"""Commits whose fate is open: sent, and perhaps executed, with no answer yet.

Whoever reads the record sees what such a commit has changed, and tells users. So what memory
says of those jobs may be older than what users know: `account` names the keys that show it,
and whoever answers reads them first (`serving.job_status`). Until a commit is sent nobody can
know what it says; once its answer is taken in, memory says the same.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from chalkgrade.record.changes import Change
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX


class Account(msgspec.Struct):
    """What the leader's book says of a job, and by which keys it may be out of date."""

    told: dict[str, Any] | None = None  # None: the book does not have it
    open: list[str] = []


def shown(change: Change) -> Iterator[tuple[str, str]]:
    """Jobs of which a change alters what users are told, each with a key that shows it."""
    for write in change.writes:
        for prefix in (END_PREFIX, JOB_PREFIX):
            if write.value is not None and write.key.startswith(prefix):
                yield write.key.removeprefix(prefix), write.key
    if change.batch is not None:
        for name, value in change.edits.items():
            if value is not None:
                yield name, change.batch.key


class Fates:
    """One term's open commits, by job."""

    def __init__(self) -> None:
        self._open: dict[str, list[str]] = {}

    def begin(self, changes: Iterable[Change]) -> None:
        """They are about to be sent."""
        for change in changes:
            for name, key in shown(change):
                self._open.setdefault(name, []).append(key)

    def known(self, changes: Iterable[Change]) -> None:
        """What became of them is known, and in memory."""
        for change in changes:
            for name, key in shown(change):
                keys = self._open.get(name, [])
                if key in keys:
                    keys.remove(key)
                if not keys:
                    self._open.pop(name, None)

    def of(self, name: str) -> list[str]:
        return list(self._open.get(name, ()))
