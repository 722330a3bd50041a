"""Submissions that a controller commits itself, because the leader can't be asked.

Until its end an accepted job has a record at every revision, in a batch or under its own key. So
all records are read first, after the request arrived. A job that has none then and is not over
when it is committed was accepted by nobody before the request was sent: only then the answer
is 201. The condition of the commit alone does not prove that, since batches are not part of it.
"""

import asyncio
from collections.abc import Iterable

import msgspec

from chalkgrade import constants
from chalkgrade.outside import Clock, NoAnswer
from chalkgrade.record import dependency_lists
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX, JobSpec, JobValue
from chalkgrade.record.memory import job_memory_bytes
from chalkgrade.serving.dependency_check import DependencyCheck
from chalkgrade.serving.job_api import JobApi
from chalkgrade.serving.job_status import FINAL_STATUSES
from chalkgrade.serving.record_reader import (
    MEMORY_FULL,
    RETRY_LATER,
    Answer,
    RecordSummary,
    pending_answer,
)
from chalkgrade.serving.submission_outcome import Decision, Evidence, Route
from chalkgrade.state.client import Conflict, LedgerClient, NotExecuted, Rejected


class DirectCommit:
    """Commits submissions on behalf of one node."""

    def __init__(
        self,
        ledger: LedgerClient,
        clock: Clock,
        job_api: JobApi,
        dependency_check: DependencyCheck,
        memory_limit_bytes: float,
    ) -> None:
        """`memory_limit_bytes`: see `record.memory.job_memory_limit_bytes`."""
        self._ledger = ledger
        self._clock = clock
        self._job_api = job_api
        self._dependency_check = dependency_check
        self._memory_limit_bytes = memory_limit_bytes

    async def submit(self, spec: JobSpec) -> Decision:
        """Accept a job unless it is known or refused.

        Raises NoAnswer, NotExecuted, Rejected or msgspec.DecodeError if that can't be decided now.
        """
        reader = self._job_api.record_reader
        records = await reader.read_unfinished_jobs()
        known = await reader.status_in(spec.nameId, records)
        if known is not None:
            return Decision(known, Route.OWN_COMMIT, _evidence(known, records[spec.nameId]))
        if spec.waitsOn is not None:
            refusal = await self._dependency_check.rejection_by_records(spec.waitsOn, records)
            if refusal is not None:
                return Decision((422, {"error": refusal}), Route.OWN_COMMIT)
        value = JobValue(spec, self._clock.wall())
        if self._is_memory_full(value, records.values()):
            return Decision(MEMORY_FULL, Route.OWN_COMMIT)
        try:
            return await self._try_commit(value)
        except NotExecuted:
            await asyncio.sleep(constants.COMMIT_RETRY_INTERVAL_S)
            return await self._try_commit(value)
        except NoAnswer:
            return await self._try_commit(value)

    def _is_memory_full(self, value: JobValue, records: Iterable[RecordSummary]) -> bool:
        """Whether the next leader could not hold another job beside those on record."""
        job_bytes = job_memory_bytes(value, self._ledger.limits.max_value_bytes)
        held_bytes = sum(record.memory_bytes for record in records)
        return held_bytes + job_bytes > self._memory_limit_bytes

    async def _try_commit(self, value: JobValue) -> Decision:
        """Commit a job of which no record was found.

        Raises NotExecuted, or NoAnswer if it is unknown whether the commit was executed.
        """
        name = value.spec.nameId
        try:
            await self._commit(value)
        except Conflict as conflict:
            is_over = END_PREFIX + name in conflict.failed
            return await self._known(name, Evidence.FINAL_KEY if is_over else Evidence.OWN_KEY)
        except Rejected as error:
            return Decision((400, {"error": f"can't be kept: {error}"}), Route.OWN_COMMIT)
        except NoAnswer:
            decision = await self._outcome_of_lost_answer(name)
            if decision is None:
                raise
            return decision
        return Decision((201, pending_answer(name)), Route.OWN_COMMIT)

    async def _commit(self, value: JobValue) -> None:
        """Write a job's own record, on the condition that it has none and is not over.

        A record that is read while the answer is open was written after the records were read,
        by this commit or by another controller.
        """
        name = value.spec.nameId
        if value.spec.waitsOn is not None:
            value = await dependency_lists.store_if_too_long(self._ledger, value)

        async def read_stamp() -> int:
            row = await self._ledger.get(JOB_PREFIX + name)
            return 0 if row is None else row.stamp

        record = msgspec.Raw(dependency_lists.encode_record(value))
        commit = self._ledger.commit(
            {JOB_PREFIX + name: 0, END_PREFIX + name: 0},
            [{"write": JOB_PREFIX + name, "v": record}],
            timeout=constants.STATE_REQUEST_TIMEOUT_S / 2,
        )
        await self._ledger.commit_or_observe(commit, read_stamp)

    async def _known(self, name: str, evidence: Evidence) -> Decision:
        """Return the status of a job that some controller has accepted."""
        answer = await self._job_api.query(name)
        if answer[0] == 404:
            answer = RETRY_LATER
        return Decision(answer, Route.OWN_COMMIT, evidence)

    async def _outcome_of_lost_answer(self, name: str) -> Decision | None:
        """Return what became of a job whose commit got no answer; None if that is unknown.

        A job that is over may have been so before the request, since its final key was not read.
        """
        resolver = self._job_api.status_resolver
        status, body = await resolver.resolve_answer(name, RETRY_LATER)
        if status != 200:
            return None
        if body["status"] in FINAL_STATUSES:
            return Decision((200, body), Route.OWN_COMMIT, Evidence.FINAL_KEY)
        return Decision((201, body), Route.OWN_COMMIT)


def _evidence(known: Answer, record: RecordSummary) -> Evidence:
    """Return where the record of a known job was found."""
    if known[1]["status"] == "done":
        return Evidence.FINAL_KEY
    return Evidence.BATCH if record.in_batch else Evidence.OWN_KEY
