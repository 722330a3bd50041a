"""The write-ahead log of attempts: events of many tasks in one change of the state service.

The budget of the state service counts changes, not bytes. So task events are not written to one
record per job. Events of all jobs are appended to the current segment of a log, which costs one
change per commit for as many tasks as fit one value. Pages of jobs (`jobs.Page`) are checkpoints,
written only when a segment has to be reused while its job still runs; most jobs end before that.

A segment can be reused once none of its entries is needed: each of its jobs is over, or each page
that it refers to has been written since. Old content may be read until it is overwritten, and is
recognised by its log sequence numbers.
"""

from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from chalkgrade import constants
from chalkgrade.outside import encode

LOG_PREFIX = "cg/log/"
# How an attempt ended: the task is done, or it waits again after an interruption or a failure.
DONE, INTERRUPTED, FAILED = 1, 0, 2

PageName = tuple[str, int]  # job, number of the page
# Bytes of a segment's value beside its entries and one comma for each.
SEGMENT_FRAME_B = len(b'{"e":[]}') - 1


def page_number(index: int) -> int:
    """Return the number of the page that holds a task."""
    return index // constants.TASKS_PER_PAGE


class Op(NamedTuple):
    """An attempt was placed (`event`: its machine) or ended (`DONE`, `INTERRUPTED`, `FAILED`)."""

    job: str
    task: int
    try_number: int
    event: str | int


class Entry(msgspec.Struct, array_like=True):
    """The operations that one commit added, by job: `[task, try, event]` in order."""

    lsn: int
    jobs: list[tuple[str, list[tuple[int, int, str | int]]]]


class SegmentValue(msgspec.Struct):
    """The value under cg/log/."""

    e: list[Entry] = []  # entries, the oldest first


@dataclass(eq=False)
class Segment:
    """One key of the log, as known to the leader."""

    key: str
    stamp: int = 0  # last known revision; 0: never written
    # Pages with operations that only the log has.
    needed_pages: set[PageName] = field(default_factory=set)
    entries: list[bytes] = field(default_factory=list)  # encoded; emptied when full
    size: int = 0  # bytes of the entries and their separators


@dataclass
class SegmentAppend:
    """The entry that one commit adds to one segment."""

    segment: Segment
    overwrites: bool  # the entry replaces the segment's old content
    entry: bytes
    lsn: int
    page_names: set[PageName]  # pages that the entry has operations of

    @property
    def value(self) -> msgspec.Raw:
        """The segment's encoded value after this append."""
        entries = [self.entry] if self.overwrites else [*self.segment.entries, self.entry]
        return msgspec.Raw(b'{"e":[' + b",".join(entries) + b"]}")


@dataclass
class LogFlush:
    """What one commit adds to the log; to several segments where the value limit is small."""

    appends: list[SegmentAppend]
    count: int  # how many of the first pending operations it contains

    @property
    def lsn(self) -> int:
        """The log sequence number of its last entry."""
        return self.appends[-1].lsn


class OpLog:
    """The leader's view of the log: which operations are pending, durable, and still needed."""

    def __init__(self, value_b: int) -> None:
        """Create an empty log; a segment's value may take `value_b` bytes."""
        self._segment_max_b = value_b
        self._segments_kept = max(
            constants.MIN_LOG_SEGMENTS, constants.MIN_LOG_BYTES // max(1, value_b)
        )
        self.pending: deque[Op] = deque()
        self.appended_count = 0  # operations so far; an operation's number is the count after it
        self.durable_count = 0  # operations that are known to be durable
        # Ended (task, try) -> number of the operation, until that is durable.
        self.undurable_ends: dict[tuple[str, int], int] = {}
        self.lsn = 0  # sequence number of the last durable entry
        self.segments: dict[str, Segment] = {}  # in use, the oldest first
        self.free: list[Segment] = []  # segments that can be reused
        self._current: Segment | None = None

    def add(self, op: Op) -> int:
        """Append an operation; it is durable once `durable_count` reaches the returned number."""
        self.pending.append(op)
        self.appended_count += 1
        if isinstance(op.event, int):
            self.undurable_ends[f"{op.job}/{op.task}", op.try_number] = self.appended_count
        return self.appended_count

    def next_flush(self, max_segments: int = 1) -> LogFlush | None:
        """Return the next commit's append: as many pending operations as fit the segments."""
        if not self.pending:
            return None
        return self._flush(self.pending, max_segments, self._current)

    def reappend(self, ops: Sequence[Op]) -> LogFlush:
        """Return a flush that writes known operations again, all of them and in other segments."""
        flush = self._flush(ops, len(ops), None)
        return LogFlush(flush.appends, 0)

    def _flush(self, ops: Sequence[Op], max_segments: int, current: Segment | None) -> LogFlush:
        """Encode the first of these operations, as one entry per segment."""
        appends: list[SegmentAppend] = []
        free, new_segments = list(self.free), 0
        count, lsn = 0, self.lsn
        waiting = iter(ops)
        op = next(waiting, None)
        while op is not None and len(appends) < max_segments:
            grouped: dict[str, list[tuple[int, int, str | int]]] = {}
            refs: set[PageName] = set()
            size = constants.LOG_ENTRY_BASE_BYTES
            while op is not None:
                op_size = 10 + len(str(op.task)) + len(str(op.try_number)) + len(str(op.event))
                if op.job not in grouped:
                    op_size += len(op.job) + 8
                if grouped and size + op_size > self._segment_max_b:
                    break
                grouped.setdefault(op.job, []).append((op.task, op.try_number, op.event))
                refs.add((op.job, page_number(op.task)))
                size, count = size + op_size, count + 1
                op = next(waiting, None)
            lsn += 1
            entry = encode(Entry(lsn, list(grouped.items())))
            # The size of the whole value as it is written counts, with its frame. A value that
            # exceeds the limit by the frame alone is refused, and nothing after it can be written
            # either, since a backlog is cut to the same entry at every attempt.
            fresh = (
                current is None
                or SEGMENT_FRAME_B + current.size + len(entry) + 1 > self._segment_max_b
            )
            if fresh and free:
                segment = free.pop()
            elif fresh:
                segment, new_segments = Segment(self._new_key(new_segments)), new_segments + 1
            else:
                assert current is not None
                segment = current
            current = None
            appends.append(SegmentAppend(segment, fresh, entry, lsn, refs))
        return LogFlush(appends, count)

    def _new_key(self, offset: int) -> str:
        return f"{LOG_PREFIX}{len(self.segments) + len(self.free) + offset:06d}"

    def mark_saved(self, flush: LogFlush, revision: int) -> None:
        """Note that a flush was committed at a revision."""
        for append in flush.appends:
            self._saved(append, revision)
        for _ in range(flush.count):
            self.pending.popleft()
        self.durable_count += flush.count
        for key, number in list(self.undurable_ends.items()):
            if number > self.durable_count:
                break
            del self.undurable_ends[key]

    def _saved(self, append: SegmentAppend, revision: int) -> None:
        segment = append.segment
        if append.overwrites:
            if self._current is not None:
                self._current.entries.clear()
            if segment in self.free:
                self.free.remove(segment)
            segment.entries, segment.size, segment.needed_pages = [], 0, set()
            self._current = self.segments[segment.key] = segment
        segment.stamp = revision
        segment.entries.append(append.entry)
        segment.size += len(append.entry) + 1
        if segment.size > self._segment_max_b * constants.SEGMENT_FILL_RATIO:
            segment.entries.clear()  # full enough: no more entries are appended
            self._current = None
        segment.needed_pages |= append.page_names
        self.lsn = append.lsn

    def release_pages(self, pages: set[PageName]) -> None:
        """Note that these pages no longer need the log: they were written or their job is over."""
        for segment in list(self.segments.values()):
            segment.needed_pages -= pages
            if not segment.needed_pages and segment is not self._current:
                del self.segments[segment.key]
                self.free.append(segment)

    def stale_pages(self) -> Iterator[PageName]:
        """Yield the pages to be written so that the oldest segments can be reused."""
        excess = len(self.segments) - self._segments_kept
        for segment in list(self.segments.values())[: max(0, excess)]:
            yield from sorted(segment.needed_pages)

    def load(self, rows: list[tuple[str, int, SegmentValue]]) -> list[tuple[int, Segment, Entry]]:
        """Restore the segments of earlier leaders; returns all entries in log order."""
        entries: list[tuple[int, Segment, Entry]] = []
        first_lsns: dict[str, int] = {}
        segments: dict[str, Segment] = {}
        for key, stamp, value in rows:
            segments[key] = Segment(key, stamp)
            first_lsns[key] = min((entry.lsn for entry in value.e), default=0)
            entries += [(entry.lsn, segments[key], entry) for entry in value.e]
        self.segments = {
            key: segments[key] for key in sorted(segments, key=lambda k: first_lsns[k])
        }
        entries.sort(key=lambda row: row[0])
        self.lsn = entries[-1][0] if entries else 0
        return entries
