"""Reads the status of jobs from the state service, for when the leader can't be asked.

One commit replaces the record of an unfinished job by its final state. A job that is cancelled
because a dependency was cancelled shows that only in the dependency's record. So all records are
read, in one scan for all requests that arrive in the meantime.
"""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record import dependency_lists
from chalkgrade.record.jobs import BATCH_PREFIX, END_PREFIX, JOB_PREFIX, EndValue
from chalkgrade.record.memory import record_memory_bytes
from chalkgrade.serving.lookups import Lookups
from chalkgrade.state.client import LedgerClient, Row

Answer = tuple[int, dict[str, Any]]  # HTTP status and body
RETRY_LATER: Answer = (503, {"error": "can't be decided now, come back"})
MEMORY_FULL: Answer = (429, {"error": "too many unfinished jobs, come back"})
UNKNOWN_JOB: Answer = (404, {"error": "no such job"})


def pending_answer(name: str) -> dict[str, Any]:
    """Return the answer for an accepted job of which nothing more is known."""
    return {"nameId": name, "status": "pending", "done": 0, "running": 0}


class _SpecSummary(msgspec.Struct):
    """The part of a job's specification that queries need."""

    nameId: str
    shape: str = ""
    tasks: int = 1
    waitsOn: list[str] | None = None


class RecordSummary(msgspec.Struct):
    """The part of a job's record that queries need."""

    spec: _SpecSummary
    aborted: bool = False
    apart: tuple[str, int] | None = None  # where `waitsOn` is stored, if under a key of its own
    doubtful: bool = False  # the job may have finished: its final key decides
    in_batch: bool = False  # it was found in a batch
    stored_bytes: int = 0  # its size; in a batch the mean of the batch

    @property
    def memory_bytes(self) -> int:
        """Return the most bytes of memory that the job takes of the leader."""
        return record_memory_bytes(self.stored_bytes, self.spec.tasks)

    @property
    def has_dependencies(self) -> bool:
        """Return whether the job waits for other jobs."""
        return self.spec.waitsOn is not None or self.apart is not None


class BatchSummary(msgspec.Struct):
    """The part of a batch record that queries need."""

    jobs: list[RecordSummary]


class RememberFinalState(Protocol):
    """Stores a final state, which never changes, and returns the answer for it."""

    def __call__(self, name: str, status: str, done: int) -> dict[str, Any]: ...


class RecordReader:
    """Reads job records on behalf of one node."""

    def __init__(
        self,
        ledger: LedgerClient,
        finals: Mapping[str, Mapping[str, Any]],
        remember: RememberFinalState,
        counts: Mapping[str, dict[str, Any]],
    ) -> None:
        """`remember` stores a final state; `finals` and `counts` are kept by the job API."""
        self.ledger = ledger
        self.finals = finals  # job -> final state, as far as this node knows
        self.remember_final_state = remember
        self.last_leader_answers = counts  # job -> the leader's last answer
        self.lookups = Lookups(ledger)
        self.current_scan: asyncio.Task[dict[str, RecordSummary]] | None = None
        self.next_scan: asyncio.Task[dict[str, RecordSummary]] | None = None
        # Reads that have not started yet, by key.
        self._pending_reads: dict[str, asyncio.Task[Row | None]] = {}

    async def read_status(self, name: str, absent_at_leader: bool) -> Answer:
        """Read a job's status; `absent_at_leader`: the leader has answered that it lacks the job.

        The final key is read last, because one commit replaces the other records by it. Only the
        leader writes batches, so a job that it does not know is in no batch that existed before
        it was asked. Without the leader all records are read, in one scan for all requests that
        arrive in the meantime. A job can have two records: a repeated submission that did not
        reach the leader creates a second one. Either may say that the job was aborted.
        """
        if not absent_at_leader:
            answer = await self.status_in(name, await self.read_unfinished_jobs())
            if answer is not None:
                return answer
        found = await self.lookups.existing_job_keys(name)
        if END_PREFIX + name in found:
            return 200, await self._read_final_state(name)
        if not found:
            return UNKNOWN_JOB
        row = await self.ledger.get(JOB_PREFIX + name)
        if row is None:
            return RETRY_LATER  # finished during the reads: a retry finds the final key
        record = msgspec.json.decode(row.v, type=RecordSummary)
        if record.has_dependencies and absent_at_leader:
            # Whether a dependency was cancelled shows only in all records.
            return await self.read_status(name, absent_at_leader=False)
        return 200, await self._unfinished_job_answer(record, {name: record})

    async def status_in(self, name: str, records: Mapping[str, RecordSummary]) -> Answer | None:
        """Return a job's status by the records of a scan, None if it has no record there.

        Raises NoAnswer if it can't be determined.
        """
        record = records.get(name)
        if record is None:
            return None
        if record.doubtful and not record.aborted:
            found = await self.lookups.existing_job_keys(name)
            if END_PREFIX + name in found:
                return 200, await self._read_final_state(name)
            # No final key: the job is unfinished and its batch is up to date.
        return 200, await self._unfinished_job_answer(record, records)

    async def _read_final_state(self, name: str) -> dict[str, Any]:
        """Return the answer for a job that has a final key."""
        row = await self.ledger.get(END_PREFIX + name)
        if row is None:
            raise NoAnswer("the final key was found and is not read")
        return self._remember_end(name, row)

    def _remember_end(self, name: str, row: Row) -> dict[str, Any]:
        """Store the final state under a job's final key, and return the answer for it."""
        end = msgspec.json.decode(row.v, type=EndValue)
        return self.remember_final_state(name, end.status, end.tasks)

    async def read_open_commits(
        self, name: str, told: dict[str, Any] | None, keys: Iterable[str]
    ) -> Answer:
        """Determine a job's status while commits of the leader are in progress.

        `told`: the leader's answer, which is right if none of the commits was executed by now;
        None if its registry does not have the job. `keys`: the keys that show whether they were. As
        in `read_status` the final key is read last, because it replaces the other records.
        """
        in_book, check_final_key = told is not None, False
        for key in dict.fromkeys(keys):
            if key == END_PREFIX + name:
                check_final_key = True
                continue
            record = await self._record_under_key(name, key)
            if record is not None and record.aborted:
                return 200, self.remember_final_state(name, "withdrawn", 0)
            if record is None or record.doubtful:
                check_final_key = True
            elif not in_book and record.has_dependencies:
                # Whether a dependency was cancelled shows only in all records.
                return await self.read_status(name, absent_at_leader=False)
            elif not in_book:
                # The leader's registry lacks the job, so nobody can have aborted it: its record is
                # all there is.
                return 200, await self._unfinished_job_answer(record, {name: record})
        if check_final_key or not in_book:
            row = await self._shared_read(END_PREFIX + name)
            if row is not None:
                return 200, self._remember_end(name, row)
        return RETRY_LATER if told is None else (200, told)

    async def _record_under_key(self, name: str, key: str) -> RecordSummary | None:
        """Return a job's record under its own key or under that of a batch."""
        row = await self._shared_read(key)
        if row is None:
            return None
        if not key.startswith(BATCH_PREFIX):
            return msgspec.json.decode(row.v, type=RecordSummary)
        records = msgspec.json.decode(row.v, type=BatchSummary).jobs
        record = next((record for record in records if record.spec.nameId == name), None)
        if record is not None:
            record.doubtful = len(row.v) > self.ledger.limits.max_value_bytes
        return record

    async def _shared_read(self, key: str) -> Row | None:
        """Read a key; the read starts after this call and is shared until it starts."""
        read = self._pending_reads.get(key)
        if read is None:
            if len(self._pending_reads) >= constants.MAX_PENDING_READS:
                raise NoAnswer("too many reads are waiting")
            read = self._pending_reads[key] = asyncio.create_task(self._start_read(key))
            # Mark a failure as retrieved: all callers may have given up.
            read.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(read)

    async def _start_read(self, key: str) -> Row | None:
        try:
            await self.ledger.queries.acquire()
        finally:
            del self._pending_reads[key]
        return await self.ledger.get(key)

    async def _unfinished_job_answer(
        self, record: RecordSummary, records: Mapping[str, RecordSummary]
    ) -> dict[str, Any]:
        """Return the answer for a job that has a record and is not finished."""
        name = record.spec.nameId
        if record.aborted or (
            record.has_dependencies and await self.is_cancelled_by_dependency(name, records)
        ):
            return self.remember_final_state(name, "withdrawn", 0)
        return self.last_leader_answers.get(name, pending_answer(name))

    async def read_unfinished_jobs(self) -> dict[str, RecordSummary]:
        """Return all unfinished jobs, by a scan that starts after this call.

        All callers during a scan share the next one, so that a flood of queries without a
        leader does not multiply the reads.
        """
        if self.next_scan is None:
            self.next_scan = asyncio.create_task(self._scan_records(self.current_scan))
            # Mark a failure as retrieved: all callers may have given up.
            self.next_scan.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(self.next_scan)

    async def _scan_records(
        self, previous: "asyncio.Task[dict[str, RecordSummary]] | None"
    ) -> dict[str, RecordSummary]:
        if previous is not None:
            await asyncio.wait({previous})
        # The scan counts as one read of the query budget.
        await self.ledger.queries.acquire()
        self.current_scan, self.next_scan = self.next_scan, None
        records = await self._scan_own_records()
        unbatched = set(records)
        rows, _ = await self.ledger.scan(BATCH_PREFIX)
        for row in rows:
            batch = msgspec.json.decode(row.v, type=BatchSummary).jobs
            for record in batch:
                record.doubtful = len(row.v) > self.ledger.limits.max_value_bytes
                record.stored_bytes = self._stored_bytes(record, len(row.v) // len(batch))
                first = records.setdefault(record.spec.nameId, record)
                first.in_batch = True
                # A job's own record is removed by the commit that writes its final key, so while it
                # exists the job is unfinished.
                first.aborted = first.aborted or record.aborted
                first.doubtful = first.doubtful and record.doubtful
                unbatched.discard(record.spec.nameId)
        # A job that was found only under its own key may also have been in a batch that said it
        # is aborted, and both may have been removed between the two scans. That happens when
        # responses are lost and many jobs have two records. If the own record still exists, the
        # job was unfinished during the scan of the batches, so no batch had it.
        remaining = await self._scan_own_records() if unbatched else {}
        for name in unbatched:
            records[name] = remaining.get(name, records[name])
            records[name].doubtful = name not in remaining
        return records

    async def _scan_own_records(self) -> dict[str, RecordSummary]:
        rows, _ = await self.ledger.scan(JOB_PREFIX)
        records: dict[str, RecordSummary] = {}
        for row in rows:
            record = msgspec.json.decode(row.v, type=RecordSummary)
            record.stored_bytes = self._stored_bytes(record, len(row.v))
            records[record.spec.nameId] = record
        return records

    def _stored_bytes(self, record: RecordSummary, record_bytes: int) -> int:
        """Return the size of a record with its separately stored dependency list."""
        parts = record.apart[1] if record.apart is not None else 0
        return record_bytes + parts * self.ledger.limits.max_value_bytes

    async def is_cancelled_by_dependency(
        self, name: str, records: Mapping[str, RecordSummary]
    ) -> bool:
        """Return whether a direct or indirect dependency of a job was cancelled.

        The job's own record need not ever say so: see `pipelines.graph`. Raises NoAnswer when a
        dependency is in none of the records that were read.
        """
        stack, seen = [name], {name}
        while stack:
            for dependency in await self._dependencies_of(records[stack.pop()]):
                if dependency in seen:
                    continue
                seen.add(dependency)
                record = records.get(dependency)
                if record is not None and record.aborted:
                    return True
                if record is not None and not record.doubtful:
                    stack.append(dependency)
                    continue
                status = await self._final_status(dependency)
                if status == "withdrawn":
                    return True
                if status is None and record is None:
                    raise NoAnswer(
                        f"dependency {dependency} is in none of the records that were read"
                    )
                if status is None:
                    stack.append(dependency)
        return False

    async def _dependencies_of(self, record: RecordSummary) -> list[str]:
        if record.apart is None:
            return record.spec.waitsOn or []
        return await dependency_lists.read_names(self.ledger, record.spec.nameId, record.apart)

    async def _final_status(self, name: str) -> str | None:
        """Return a job's final status, or None if it is not finished."""
        known = self.finals.get(name)
        if known is not None:
            return str(known["status"])
        row = await self.ledger.get(END_PREFIX + name)
        if row is None:
            return None
        return str(self._remember_end(name, row)["status"])
