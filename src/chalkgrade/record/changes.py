"""What is to be written: one change of the record, and what follows once it is durable."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.latest import Latest
from chalkgrade.outside import encode
from chalkgrade.record.jobs import Job, JobValue


def encode_raw(value: Any) -> msgspec.Raw:
    """A value as it goes into a commit."""
    return msgspec.Raw(encode(value))


class RecentEnds(Latest[str, str]):
    """The latest jobs that ended under this token, and how.

    The others are known from the record: a commit that would make one again fails there.
    """

    def __init__(self) -> None:
        super().__init__(constants.OVER_KEPT)


def group_by_batch(jobs: Iterable[Job]) -> list[Job]:
    """Those whose records are in one batch after each other, the first of all first.

    They share the batch's change, which else each commit of few ends would pay for each.
    """
    groups: dict[Batch | Job, list[Job]] = {}
    for job in jobs:
        groups.setdefault(job.batch or job, []).append(job)
    return [job for group in groups.values() for job in group]


@dataclass(eq=False)
class PersistedValue:
    """A subsystem's own small value that outlives the leader: one key, written whole.

    `touch` it when it has changed; it is written with the next commit that has room.
    """

    key: str
    load: Callable[[bytes], None]  # takes over what an earlier leader wrote
    dump: Callable[[], Any]
    stamp: int = 0  # its last known revision; 0: it was never written
    version: int = 0  # how often it has changed
    durable_version: int = 0  # the version that is surely kept
    warned_version: int = 0  # the version that was said to be too long to be kept

    def mark_changed(self) -> None:
        self.version += 1

    @property
    def is_dirty(self) -> bool:
        return self.version != self.durable_version

    def mark_saved(self, version: int, revision: int) -> None:
        self.stamp, self.durable_version = revision, version


@dataclass
class KeyWrite:
    """One key's change within a commit."""

    key: str
    stamp: int  # its last known revision; -1: whatever it is
    value: msgspec.Raw | None  # None: removed

    @property
    def size(self) -> int:
        return 2 * len(self.key) + len(self.value or b"") + 80


@dataclass(eq=False)
class Batch:
    """One key under cg/in/: the records of several jobs, while they are not over."""

    key: str
    stamp: int = 0
    records: dict[str, bytes] = field(default_factory=dict)
    size: int = 0
    has_open_commit: bool = False  # a commit with it is under way: no other may touch it meanwhile
    # Jobs whose end is durable though their records are still here: it was too large to be
    # rewritten. Every reader of a batch that is larger than new ones asks for ends first.
    ended_jobs: set[str] = field(default_factory=set)

    def records_after(self, edits: dict[str, bytes | None]) -> dict[str, bytes]:
        """Its records after these changes."""
        out = {name: value for name, value in self.records.items() if name not in self.ended_jobs}
        for name, value in edits.items():
            if value is None:
                out.pop(name, None)
            else:
                out[name] = value
        return out

    def key_write(self, edits: dict[str, bytes | None]) -> KeyWrite:
        values = self.records_after(edits)
        raw = msgspec.Raw(b'{"jobs":[' + b",".join(values.values()) + b"]}") if values else None
        return KeyWrite(self.key, self.stamp, raw)

    def size_after(self, edits: dict[str, bytes | None]) -> int:
        """Bytes that it would take after these changes."""
        return sum(len(value) + 1 for value in self.records_after(edits).values())

    def mark_saved(self, edits: dict[str, bytes | None], revision: int) -> None:
        self.stamp, self.records = revision, self.records_after(edits)
        self.ended_jobs.clear()
        self.size = sum(len(value) + 1 for value in self.records.values())


@dataclass
class RecordChange:
    """What is written together, and what to do once it is durable."""

    on_durable: Callable[[int], None]
    writes: list[KeyWrite] = field(default_factory=list)
    batch: Batch | None = None  # a batch whose records change, and how
    edits: dict[str, bytes | None] = field(default_factory=dict)
    absent_keys: list[str] = field(default_factory=list)  # keys that must not be there
    admissions: list["Admission"] = field(default_factory=list)


@dataclass(eq=False)
class Admission:
    """A submission on its way into a batch."""

    value: JobValue
    raw: bytes
    result: asyncio.Future[bool]  # True: accepted now; False: some node has accepted it before
    sent: bool = False  # in a commit that is under way
