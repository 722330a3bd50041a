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


def raw(value: Any) -> msgspec.Raw:
    """A value as it goes into a commit."""
    return msgspec.Raw(encode(value))


class Over(Latest[str, str]):
    """The latest jobs that ended under this token, and how.

    The others are known from the record: a commit that would make one again fails there.
    """

    def __init__(self) -> None:
        super().__init__(constants.OVER_KEPT)


def together(jobs: Iterable[Job]) -> list[Job]:
    """Those whose records are in one batch after each other, the first of all first.

    They share the batch's change, which else each commit of few ends would pay for each.
    """
    groups: dict[Batch | Job, list[Job]] = {}
    for job in jobs:
        groups.setdefault(job.batch or job, []).append(job)
    return [job for group in groups.values() for job in group]


@dataclass(eq=False)
class Kept:
    """A subsystem's own small value that outlives the leader: one key, written whole.

    `touch` it when it has changed; it is written with the next commit that has room.
    """

    key: str
    load: Callable[[bytes], None]  # takes over what an earlier leader wrote
    dump: Callable[[], Any]
    stamp: int = 0  # its last known revision; 0: it was never written
    version: int = 0  # how often it has changed
    durable: int = 0  # the version that is surely kept
    told: int = 0  # the version that was said to be too long to be kept

    def touch(self) -> None:
        self.version += 1

    @property
    def dirty(self) -> bool:
        return self.version != self.durable

    def saved(self, version: int, revision: int) -> None:
        self.stamp, self.durable = revision, version


@dataclass
class Write:
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
    values: dict[str, bytes] = field(default_factory=dict)
    size: int = 0
    busy: bool = False  # a commit with it is under way: no other may touch it meanwhile
    # Jobs whose end is durable though their records are still here: it was too large to be
    # rewritten. Every reader of a batch that is larger than new ones asks for ends first.
    dead: set[str] = field(default_factory=set)

    def apply(self, edits: dict[str, bytes | None]) -> dict[str, bytes]:
        """Its records after these changes."""
        out = {name: value for name, value in self.values.items() if name not in self.dead}
        for name, value in edits.items():
            if value is None:
                out.pop(name, None)
            else:
                out[name] = value
        return out

    def write(self, edits: dict[str, bytes | None]) -> Write:
        values = self.apply(edits)
        raw = msgspec.Raw(b'{"jobs":[' + b",".join(values.values()) + b"]}") if values else None
        return Write(self.key, self.stamp, raw)

    def after(self, edits: dict[str, bytes | None]) -> int:
        """Bytes that it would take after these changes."""
        return sum(len(value) + 1 for value in self.apply(edits).values())

    def saved(self, edits: dict[str, bytes | None], revision: int) -> None:
        self.stamp, self.values = revision, self.apply(edits)
        self.dead.clear()
        self.size = sum(len(value) + 1 for value in self.values.values())


@dataclass
class Change:
    """What is written together, and what to do once it is durable."""

    done: Callable[[int], None]
    writes: list[Write] = field(default_factory=list)
    batch: Batch | None = None  # a batch whose records change, and how
    edits: dict[str, bytes | None] = field(default_factory=dict)
    absent: list[str] = field(default_factory=list)  # keys that must not be there
    admits: list["Admission"] = field(default_factory=list)


@dataclass(eq=False)
class Admission:
    """A submission on its way into a batch."""

    value: JobValue
    raw: bytes
    result: asyncio.Future[bool]  # True: accepted now; False: some node has accepted it before
    sent: bool = False  # in a commit that is under way
