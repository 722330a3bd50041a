"""Reads the whole record into the registry of a new leader.

A record that can't be read, as one that a later version wrote, concerns one job. That job is set
aside by name and its records stay, and all others are served. Only a segment of the log or a
batch without names can't be left out, since any job may have attempts there.
"""

import asyncio
import logging

import msgspec

from chalkgrade.outside import encode
from chalkgrade.record import dependency_lists
from chalkgrade.record.changes import Batch
from chalkgrade.record.jobs import (
    BATCH_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    TASK_PREFIX,
    Attempt,
    JobValue,
    NamedRecord,
    PageValue,
    RawBatchValue,
)
from chalkgrade.record.oplog import LOG_PREFIX, SegmentValue, page_number
from chalkgrade.record.registry import JobRegistry
from chalkgrade.state.client import Row

log = logging.getLogger("chalkgrade.record")


class RecordLoader:
    """Loads one registry at the start of a term."""

    def __init__(self, registry: JobRegistry) -> None:
        self._registry = registry

    async def load(self) -> list[Attempt]:
        """Read everything; returns the attempts that may be present on machines.

        No other leader can change the record meanwhile: older tokens are fenced.
        """
        registry = self._registry
        registry.clear()
        await self._load_persisted_values()
        rows, registry.revision = await registry.ledger.scan(JOB_PREFIX)
        for row in rows:
            await registry.load_record(row.k, row.v, row.stamp, observe=False)
        rows, _ = await registry.ledger.scan(BATCH_PREFIX)
        for row in rows:
            await self._load_batch(row)
        rows, _ = await registry.ledger.scan(TASK_PREFIX)
        for row in rows:
            self._load_page(row)
        for name in registry.unreadable:
            registry.remove(name)
        await self._replay_log()
        # A page can be newer than all remaining segments.
        pages = [page for job in registry.jobs.values() for page in job.pages.values()]
        registry.oplog.lsn = max([registry.oplog.lsn, *(page.durable_lsn for page in pages)])
        registry.oplog.release_pages(set())
        for job in registry.jobs.values():
            registry.update_ending(job)
        registry.flush_wanted.set()
        return [attempt for job in registry.jobs.values() for attempt in job.live.values()]

    async def _load_persisted_values(self) -> None:
        """Restore the subsystems' values; one that can't be read starts as if there were none."""
        values = self._registry.persisted_values
        rows = await asyncio.gather(*(self._registry.ledger.get(value.key) for value in values))
        for value, row in zip(values, rows, strict=True):
            if row is None:
                continue
            value.stamp = row.stamp
            try:
                value.load(row.v)
            except msgspec.DecodeError as error:
                log.error("value can't be read, starting without it: %s: %s", row.k, error)

    async def _load_batch(self, row: Row) -> None:
        """Add the jobs of a batch. Records that can't be read stay in it as they are."""
        batch = self._registry.batches[row.k] = Batch(row.k, row.stamp)
        values: list[JobValue] = []
        records: dict[str, bytes | None] = {}
        for raw in msgspec.json.decode(row.v, type=RawBatchValue).jobs:
            try:
                value = msgspec.json.decode(raw, type=JobValue)
            except msgspec.DecodeError as error:
                # Without its name, no page or log entry could be told to be another job's.
                name = msgspec.json.decode(raw, type=NamedRecord).spec.nameId
                self._registry.set_aside(name, row.k, error)
                records[name] = bytes(raw)
            else:
                values.append(value)
                records[value.spec.nameId] = encode(value)
        batch.mark_saved(records, row.stamp)
        batch.ended_jobs |= await self._ended_jobs_in(batch, len(row.v))
        for value in values:
            if value.spec.nameId not in batch.ended_jobs:
                value = await dependency_lists.with_dependencies(self._registry.ledger, value)
                self._registry.add(value, 0, observe=False, batch=batch)

    def _load_page(self, row: Row) -> None:
        """Restore a page of its job; a page of no job is to be removed."""
        name, _, number = row.k.removeprefix(TASK_PREFIX).rpartition("/")
        if name in self._registry.unreadable:
            return
        job = self._registry.jobs.get(name)
        if job is None:
            self._registry.orphan_keys.append(row.k)
            return
        try:
            job.load_page(int(number), msgspec.json.decode(row.v, type=PageValue), row.stamp)
        except msgspec.DecodeError as error:
            # Which of its tasks are done or run is not known, so none may be started.
            self._registry.set_aside(name, row.k, error)

    async def _replay_log(self) -> None:
        """Apply the log's entries to the jobs, after their pages."""
        rows, _ = await self._registry.ledger.scan(LOG_PREFIX)
        segments = [(r.k, r.stamp, self._decode_segment(r)) for r in rows]
        for lsn, segment, entry in self._registry.oplog.load(segments):
            for name, ops in entry.jobs:
                if name in self._registry.unreadable:
                    # Kept for a leader that can read the job.
                    segment.needed_pages |= {(name, page_number(op[0])) for op in ops}
                job = self._registry.jobs.get(name)
                if job is None:
                    continue
                segment.needed_pages |= {(name, page) for page in job.replay(lsn, ops)}
                for _, _, event in ops:
                    if isinstance(event, str):
                        self._registry.image_hints.setdefault(event, {})[job.spec.bundle] = (
                            job.spec.pullGb
                        )

    def _decode_segment(self, row: Row) -> SegmentValue:
        """Decode a segment; DecodeError names its key, as it may have attempts of any job."""
        try:
            return msgspec.json.decode(row.v, type=SegmentValue)
        except msgspec.DecodeError as error:
            raise msgspec.DecodeError(f"{row.k}: {error}") from None

    async def _ended_jobs_in(self, batch: Batch, stored_b: int) -> set[str]:
        """Return the jobs that are over although the batch still holds their records.

        That occurs only in a batch that was too large to be rewritten: see `_end_change`.
        """
        if stored_b <= self._registry.limits.max_value_bytes:
            return set()
        found = await self._registry.ledger.existing_keys(
            [END_PREFIX + name for name in batch.records]
        )
        return {key.removeprefix(END_PREFIX) for key in found}
