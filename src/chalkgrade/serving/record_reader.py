"""What the state service says of jobs, for users who ask a controller that can't ask the leader.

A job that is not over turns into its final key atomically, and one that is cancelled with
others says so only by their records: so all records are read, once for all who ask meanwhile.
"""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record import apart
from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX, EndValue
from chalkgrade.serving.lookups import Lookups
from chalkgrade.state.ledger import Ledger, Row

Answer = tuple[int, dict[str, Any]]
RETRY_LATER: Answer = (503, {"error": "can't be decided now, come back"})
UNKNOWN_JOB: Answer = (404, {"error": "no such job"})


class _SpecSummary(msgspec.Struct):
    nameId: str
    shape: str = ""
    waitsOn: list[str] | None = None


class RecordSummary(msgspec.Struct):
    """As much of a job's record as questions need."""

    spec: _SpecSummary
    aborted: bool = False
    apart: tuple[str, int] | None = None
    doubtful: bool = False  # it may be over all the same: its end says so

    @property
    def has_dependencies(self) -> bool:
        return self.spec.waitsOn is not None or self.apart is not None


class BatchSummary(msgspec.Struct):
    """As much of a batch."""

    jobs: list[RecordSummary]


class RememberFinalState(Protocol):
    """Keeps a final state, which never changes, and gives the answer that tells it."""

    def __call__(self, name: str, status: str, done: int) -> dict[str, Any]: ...


class RecordReader:
    """One node's reads of the record."""

    def __init__(
        self,
        ledger: Ledger,
        finals: Mapping[str, Mapping[str, Any]],
        remember: RememberFinalState,
        counts: Mapping[str, dict[str, Any]],
    ) -> None:
        self.ledger = ledger
        self.final_states = finals  # final states that are known here
        self.remember_final_state = remember
        self.last_leader_answers = counts  # what the leader last said of jobs
        self.lookups = Lookups(ledger)
        self.current_scan: asyncio.Task[dict[str, RecordSummary]] | None = None
        self.next_scan: asyncio.Task[dict[str, RecordSummary]] | None = None
        self._pending_reads: dict[
            str, asyncio.Task[Row | None]
        ] = {}  # reads that have yet to begin

    async def read_status(self, name: str, absent_at_leader: bool) -> Answer:
        """A fresh read: the end last, since what is looked at before turns into it atomically.

        The leader alone writes batches, so that what it did not know is in none
        that was there before it was asked. Without it, all records are read, once
        for all who ask meanwhile. A job can have two records: a repeated
        submission that could not reach the leader makes a second one. Either may
        say that the job was aborted.
        """
        if not absent_at_leader:
            marks = await self.read_unfinished_jobs()
            mark = marks.get(name)
            if mark is not None and (mark.aborted or not mark.doubtful):
                return 200, await self._unfinished_job_answer(mark, marks)
        found = await self.lookups.existing_job_keys(name)
        if END_PREFIX + name in found:
            row = await self.ledger.get(END_PREFIX + name)
            if row is None:
                return RETRY_LATER
            end = msgspec.json.decode(row.v, type=EndValue)
            return 200, self.remember_final_state(name, end.status, end.tasks)
        if not absent_at_leader and mark is not None:
            return 200, await self._unfinished_job_answer(
                mark, marks
            )  # not over: its batch is right
        if not found:
            return UNKNOWN_JOB
        row = await self.ledger.get(JOB_PREFIX + name)
        if row is None:
            return RETRY_LATER  # over since a moment ago: the next read finds its end
        mark = msgspec.json.decode(row.v, type=RecordSummary)
        if mark.has_dependencies and absent_at_leader:
            return await self.read_status(
                name, absent_at_leader=False
            )  # all records are needed to know of it
        return 200, await self._unfinished_job_answer(mark, {name: mark})

    async def read_open_commits(
        self, name: str, told: dict[str, Any] | None, keys: Iterable[str]
    ) -> Answer:
        """What is true where commits of the leader are open, by the keys that would show them.

        `told`: what the leader says; it stands if none of them was executed by now. As in
        `read`, the end comes last: a record that is gone, or does not say so, turned into it.
        """
        known, doubtful = told is not None, False
        for key in dict.fromkeys(keys):
            if key == END_PREFIX + name:
                doubtful = True
                continue
            mark = await self._record_under_key(name, key)
            if mark is not None and mark.aborted:
                return 200, self.remember_final_state(name, "withdrawn", 0)
            if mark is None or mark.doubtful:
                doubtful = True
            elif not known and mark.has_dependencies:
                return await self.read_status(
                    name, absent_at_leader=False
                )  # all records are needed
            elif not known:
                # The book lacks it, so that nobody can have aborted it: where it is says all.
                return 200, await self._unfinished_job_answer(mark, {name: mark})
        if doubtful or not known:
            row = await self._shared_read(END_PREFIX + name)
            if row is not None:
                end = msgspec.json.decode(row.v, type=EndValue)
                return 200, self.remember_final_state(name, end.status, end.tasks)
        return RETRY_LATER if told is None else (200, told)

    async def _record_under_key(self, name: str, key: str) -> RecordSummary | None:
        """A job's record under a key: its own, or a batch."""
        row = await self._shared_read(key)
        if row is None:
            return None
        if not key.startswith(BATCH_PREFIX):
            return msgspec.json.decode(row.v, type=RecordSummary)
        marks = msgspec.json.decode(row.v, type=BatchSummary).jobs
        mark = next((mark for mark in marks if mark.spec.nameId == name), None)
        if mark is not None:
            mark.doubtful = len(row.v) > self.ledger.limits.value_b
        return mark

    async def _shared_read(self, key: str) -> Row | None:
        """One key, read after this call; all who ask before the read begins share it."""
        read = self._pending_reads.get(key)
        if read is None:
            if len(self._pending_reads) >= constants.ROWS_WAITING:
                raise NoAnswer("too many questions")
            read = self._pending_reads[key] = asyncio.create_task(self._start_read(key))
            # All who waited may have given up: a failure is nobody's then.
            read.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(read)

    async def _start_read(self, key: str) -> Row | None:
        try:
            await self.ledger.asking.wait()
        finally:
            del self._pending_reads[key]
        return await self.ledger.get(key)

    async def _unfinished_job_answer(
        self, mark: RecordSummary, marks: Mapping[str, RecordSummary]
    ) -> dict[str, Any]:
        """What is told of a job that is on record and not over."""
        name = mark.spec.nameId
        if mark.aborted or (
            mark.has_dependencies and await self.is_cancelled_by_dependency(name, marks)
        ):
            return self.remember_final_state(name, "withdrawn", 0)
        unknown = {"nameId": name, "status": "pending", "done": 0, "running": 0}
        return self.last_leader_answers.get(name, unknown)

    async def read_unfinished_jobs(self) -> dict[str, RecordSummary]:
        """All jobs that are not over, read after this call.

        Everybody who asks while a read is under way shares the next one: in a
        storm of questions without a leader, reads must not grow with it.
        """
        if self.next_scan is None:
            self.next_scan = asyncio.create_task(self._scan_records(self.current_scan))
            # All who waited may have given up: a failure is nobody's then.
            self.next_scan.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(self.next_scan)

    async def _scan_records(
        self, before: "asyncio.Task[dict[str, RecordSummary]] | None"
    ) -> dict[str, RecordSummary]:
        if before is not None:
            await asyncio.wait({before})
        # One read for all of them is taken from what questions may take.
        await self.ledger.asking.wait()
        self.current_scan, self.next_scan = self.next_scan, None
        out = await self._scan_own_records()
        alone = set(out)
        rows, _ = await self.ledger.scan(BATCH_PREFIX)
        for row in rows:
            for mark in msgspec.json.decode(row.v, type=BatchSummary).jobs:
                mark.doubtful = len(row.v) > self.ledger.limits.value_b
                twin = out.setdefault(mark.spec.nameId, mark)
                # A record of its own is removed with the end: while it is there, nothing is over.
                twin.aborted = twin.aborted or mark.aborted
                twin.doubtful = twin.doubtful and mark.doubtful
                alone.discard(mark.spec.nameId)
        # Of the others a batch may have said that it is aborted, and both are gone since: found on
        # the bench, where answers were lost and many jobs had two records. What is still there
        # was not over, so no batch had it.
        still = await self._scan_own_records() if alone else {}
        for name in alone:
            out[name] = still.get(name, out[name])
            out[name].doubtful = name not in still
        return out

    async def _scan_own_records(self) -> dict[str, RecordSummary]:
        rows, _ = await self.ledger.scan(JOB_PREFIX)
        marks = [msgspec.json.decode(row.v, type=RecordSummary) for row in rows]
        return {mark.spec.nameId: mark for mark in marks}

    async def is_cancelled_by_dependency(
        self, name: str, marks: Mapping[str, RecordSummary]
    ) -> bool:
        """Whether something before a job on record is cancelled; NoAnswer where unknown.

        Its own record does not say so, and need not ever: see `pipelines.graph`.
        """
        stack, seen = [name], {name}
        while stack:
            for before in await self._dependencies_of(marks[stack.pop()]):
                if before in seen:
                    continue
                seen.add(before)
                mark = marks.get(before)
                if mark is not None and mark.aborted:
                    return True
                if mark is not None and not mark.doubtful:
                    stack.append(before)
                    continue
                status = await self._final_status(before)
                if status == "withdrawn":
                    return True
                if status is None and mark is None:
                    raise NoAnswer(f"{before} is on no record that was read")
                if status is None:
                    stack.append(before)
        return False

    async def _dependencies_of(self, mark: RecordSummary) -> list[str]:
        if mark.apart is None:
            return mark.spec.waitsOn or []
        return await apart.names(self.ledger, mark.spec.nameId, mark.apart)

    async def _final_status(self, name: str) -> str | None:
        """How a job ended; None if it has not."""
        known = self.final_states.get(name)
        if known is not None:
            return str(known["status"])
        row = await self.ledger.get(END_PREFIX + name)
        if row is None:
            return None
        end = msgspec.json.decode(row.v, type=EndValue)
        self.remember_final_state(name, end.status, end.tasks)
        return end.status
