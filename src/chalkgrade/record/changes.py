"""Changes of the record to be committed, and the callbacks that run once they are durable."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.bounded_dict import BoundedDict
from chalkgrade.outside import encode
from chalkgrade.record.jobs import Job, JobValue


def encode_raw(value: Any) -> msgspec.Raw:
    """Encode a value for a commit."""
    return msgspec.Raw(encode(value))


def conditions_size(keys: Iterable[str]) -> int:
    """Return the most bytes that conditions on these keys take in a commit."""
    return sum(len(key) + constants.CONDITION_OVERHEAD_BYTES for key in keys)


class RecentEnds(BoundedDict[str, str]):
    """The jobs that ended most recently under this token, with their final status.

    At most MAX_ENDED_JOBS are held. Older ends are known from the record only: a commit that would
    create such a job again fails on the condition that its end is absent.
    """

    def __init__(self) -> None:
        super().__init__(constants.MAX_ENDED_JOBS)


def group_by_batch(jobs: Iterable[Job]) -> list[Job]:
    """Order jobs so that those with records in the same batch follow each other.

    Batches come in the order of their first job. Ends of jobs of one batch then share one write
    of the batch; in another order, commits with few ends would each write it again.
    """
    groups: dict[Batch | Job, list[Job]] = {}
    for job in jobs:
        groups.setdefault(job.batch or job, []).append(job)
    return [job for group in groups.values() for job in group]


@dataclass(eq=False)
class PersistedValue:
    """A subsystem's small value that outlives the leader: one key, always written as a whole.

    Call `mark_changed` after a change; the value is written with the next commit that has space.
    """

    key: str
    load: Callable[[bytes], None]  # restores the value that an earlier leader wrote
    dump: Callable[[], Any]  # returns the value to write
    stamp: int = 0  # last known revision; 0: never written
    version: int = 0  # number of changes
    durable_version: int = 0  # the version that is known to be durable
    warned_version: int = 0  # the version for which a warning about its length was logged

    def mark_changed(self) -> None:
        """Note that the value has changed and has to be written."""
        self.version += 1

    @property
    def is_dirty(self) -> bool:
        """Whether the current version is not durable yet."""
        return self.version != self.durable_version

    def mark_saved(self, version: int, revision: int) -> None:
        """Note that a version was committed at a revision."""
        self.stamp, self.durable_version = revision, version


@dataclass
class KeyWrite:
    """The write or removal of one key within a commit."""

    key: str
    stamp: int  # expected revision; 0: absent, -1: any
    value: msgspec.Raw | None  # None: remove the key

    @property
    def size(self) -> int:
        """Estimated bytes of this write in a commit: twice the key, the value, and overhead."""
        return 2 * len(self.key) + len(self.value or b"") + 80


@dataclass(eq=False)
class Batch:
    """One key under cg/in/, with the records of several jobs that are not over."""

    key: str
    stamp: int = 0  # last known revision; 0: not written yet
    records: dict[str, bytes] = field(default_factory=dict)  # job name -> encoded record
    size: int = 0  # bytes of the records and their separators
    has_open_commit: bool = False  # while a commit writes this batch no other commit may
    # Jobs whose end is durable though their records are still here, because the batch was too
    # large to be rewritten. Readers of a batch above the size limit look for ends first.
    ended_jobs: set[str] = field(default_factory=set)

    def records_after(self, edits: dict[str, bytes | None]) -> dict[str, bytes]:
        """Return the records after these edits (job name -> new record, None: removed)."""
        out = {name: value for name, value in self.records.items() if name not in self.ended_jobs}
        for name, value in edits.items():
            if value is None:
                out.pop(name, None)
            else:
                out[name] = value
        return out

    def key_write(self, edits: dict[str, bytes | None]) -> KeyWrite:
        """Return the write of the batch after these edits; a removal if no record is left."""
        values = self.records_after(edits)
        raw = msgspec.Raw(b'{"jobs":[' + b",".join(values.values()) + b"]}") if values else None
        return KeyWrite(self.key, self.stamp, raw)

    def size_after(self, edits: dict[str, bytes | None]) -> int:
        """Return the size in bytes after these edits."""
        return sum(len(value) + 1 for value in self.records_after(edits).values())

    def mark_saved(self, edits: dict[str, bytes | None], revision: int) -> None:
        """Apply edits that were committed at a revision."""
        self.stamp, self.records = revision, self.records_after(edits)
        self.ended_jobs.clear()
        self.size = sum(len(value) + 1 for value in self.records.values())


@dataclass
class RecordChange:
    """Writes that belong into one commit, and the callback for when they are durable."""

    on_durable: Callable[[int], None]  # called with the revision of the commit
    writes: list[KeyWrite] = field(default_factory=list)
    batch: Batch | None = None  # the batch whose records `edits` changes
    edits: dict[str, bytes | None] = field(default_factory=dict)
    # Keys that must be absent for the commit to succeed.
    absent_keys: list[str] = field(default_factory=list)
    admissions: list["Admission"] = field(default_factory=list)  # the submissions it makes durable


@dataclass(eq=False)
class Admission:
    """A submission that is waiting to be committed in a batch."""

    value: JobValue
    raw: bytes  # the encoded record
    result: asyncio.Future[bool]  # True: accepted now; False: a node had accepted it before
    sent: bool = False  # part of a commit in progress
