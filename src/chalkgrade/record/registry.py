"""The leader's registry of unfinished jobs, and the changes that have to be made durable.

The pending changes are derived from memory each time they are asked for
(`JobRegistry.pending_changes`); `writer` commits them.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterator
from functools import partial

import msgspec

from chalkgrade import constants
from chalkgrade.logs import decision_fields
from chalkgrade.outside import NoAnswer, Signal
from chalkgrade.record import dependency_lists
from chalkgrade.record.changes import (
    Admission,
    Batch,
    KeyWrite,
    PersistedValue,
    RecentEnds,
    RecordChange,
    conditions_size,
    encode_raw,
    group_by_batch,
)
from chalkgrade.record.jobs import (
    BATCH_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    Job,
    JobValue,
    Page,
)
from chalkgrade.record.memory import JobMemory, job_memory_limit_bytes
from chalkgrade.record.oplog import LogFlush, OpLog, PageName
from chalkgrade.state.client import Compacted, NotExecuted
from chalkgrade.state.leader_context import LeaderContext

log = logging.getLogger("chalkgrade.record")


class JobRegistry:
    """All unfinished jobs, during the term of one leader token."""

    def __init__(
        self,
        context: LeaderContext,
        remember: Callable[[str, str, int], object],
        on_job: Callable[[Job, bool], None],
    ) -> None:
        """Create an empty registry.

        `remember` is called with the name, final status and number of done tasks of each job that
        ended; `on_job` with each job that was added, and whether it was submitted just now.
        """
        self.context = context
        self.ledger = context.ledger
        self.clock = context.clock
        self.limits = context.ledger.limits
        self.persisted_values: list[PersistedValue] = []  # subsystems' values, in loading order
        self.remember_final_state = remember  # reports final states to the job API
        self.on_job_added = on_job  # called with each added job; True: just submitted
        self.jobs: dict[str, Job] = {}
        self.memory = JobMemory(
            job_memory_limit_bytes(context.settings.cluster.quota), self.limits.max_value_bytes
        )
        self.over = RecentEnds()  # jobs whose end is durable
        # Jobs with a record or page that can't be read: neither scheduled nor removed.
        self.unreadable: set[str] = set()
        # Callbacks for jobs whose end or abort is durable.
        self.on_job_ended: Callable[[Job, str], None] = lambda job, status: None
        self.on_job_aborted: Callable[[Job], None] = lambda job: None
        self.oplog = OpLog(self.limits.max_value_bytes)
        self.revision = 0
        self.flush_wanted = asyncio.Event()
        self.committed = Signal()
        self.orphan_keys: list[str] = []  # pages and list parts of ended jobs, to be removed
        # machine -> images of the work it was assigned, with sizes in GB: a hint for a new leader,
        # which would otherwise place work where the images have to be fetched again.
        self.image_hints: dict[str, dict[str, float]] = {}
        self.batches: dict[str, Batch] = {}
        self.batch_number = 0
        self.admissions: dict[str, Admission] = {}
        self.admit_wanted = asyncio.Event()
        self.ending: dict[Job, None] = {}  # jobs that are over, until their end is durable
        self.aborting: list[Job] = []  # jobs to be aborted, in the order of the requests

    # -- reading ------------------------------------------------------------------

    def set_aside(self, name: str, key: str, error: Exception) -> None:
        """Leave out a job whose record under `key` can't be read; its records stay."""
        log.error("job set aside: %s: %s can't be read: %s", name, key, error)
        self.unreadable.add(name)

    async def load_record(self, key: str, raw: bytes, stamp: int, observe: bool) -> None:
        """Add the job of an own record; `observe` is True if it was submitted just now."""
        name = key.removeprefix(JOB_PREFIX)
        if name in self.unreadable:
            return  # its pages were not read: only a new term may take it up
        try:
            value = msgspec.json.decode(raw, type=JobValue)
        except msgspec.DecodeError as error:
            if name not in self.jobs:
                self.set_aside(name, key, error)
            return
        # The dependency list of a job that is over may be removed already.
        if value.spec.nameId not in self.over:
            self.add(
                await dependency_lists.with_dependencies(self.ledger, value), stamp, observe=observe
            )

    def add(self, value: JobValue, stamp: int, observe: bool, batch: Batch | None = None) -> None:
        """Add a job that some node has accepted, or update the one that is known.

        `stamp` is the revision of the job's own record, 0 if it has none; `batch` is the batch
        that holds the record; `observe` is True for a job that was submitted just now.
        """
        name = value.spec.nameId
        if name in self.over:
            return
        job = self.jobs.get(name)
        if job is not None:
            # Only the leader changes a job after its submission, but another node may have
            # accepted a repeated submission under a key of its own without our knowledge.
            job.stamp = max(job.stamp, stamp)
            job.batch = job.batch or batch
            job.aborted = job.aborted or value.aborted
            self.update_ending(job)
            return
        job = self.jobs[name] = Job(value, stamp, self.oplog, batch)
        self.memory.hold(value)
        if job.in_pipeline:
            job.block()  # until all its dependencies are known to be done
        log.debug(
            "job %s: %d tasks",
            name,
            job.spec.tasks,
            extra=decision_fields(self.context.token, name),
        )
        self.on_job_added(job, observe)

    def remove(self, name: str) -> None:
        """Remove a job that is over or can't be read."""
        self.jobs.pop(name, None)
        self.memory.release(name)

    def clear(self) -> None:
        """Remove all jobs and what is pending for them, before the record is read."""
        self.jobs.clear()
        self.memory.clear()
        self.unreadable.clear()
        self.aborting.clear()
        self.ending.clear()
        self.batches.clear()
        self.orphan_keys.clear()
        self.oplog = OpLog(self.limits.max_value_bytes)

    async def watch_submissions(self) -> None:
        """Follow the submissions that other nodes commit; runs until cancelled."""
        while True:
            try:
                changes = await self.ledger.watch_changes(
                    JOB_PREFIX, self.revision, constants.LONG_WATCH_BLOCK_S
                )
                for change in changes.log:
                    if change.write is not None:
                        await self.load_record(change.write, change.v, change.stamp, observe=True)
            except Compacted:
                self.revision = 0
            except (NoAnswer, NotExecuted) as error:
                log.debug("submission watch failed: %s", error)
                await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
                continue
            else:
                self.revision = max(self.revision, changes.ledgerRev)
            while self.revision == 0:
                try:
                    rows, revision = await self.ledger.scan(JOB_PREFIX)
                    for row in rows:
                        await self.load_record(row.k, row.v, row.stamp, observe=True)
                    self.revision = revision
                except (NoAnswer, NotExecuted):
                    await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)

    # -- writing ------------------------------------------------------------------

    def check_memory(self, value: JobValue) -> None:
        """Raise JobMemoryFullError if a job is not known and there is no memory for it."""
        name = value.spec.nameId
        if not self.has_record(name) and name not in self.admissions:
            self.memory.check_room(value)

    def has_record(self, name: str) -> bool:
        """Whether a job is on record: unfinished, over or unreadable."""
        return name in self.jobs or name in self.over or name in self.unreadable

    async def admit(self, value: JobValue, timeout: float) -> bool:
        """Make a submission durable, together with others in one change.

        Returns True only to the caller whose submission created the job, so that no user was told
        of it before. False means that the job was known already and its status must be looked
        up. Raises NoAnswer after `timeout` seconds; the job may then be accepted or not. Raises
        JobMemoryFullError if there is no memory for another job.
        """
        name = value.spec.nameId
        if self.has_record(name):
            return False  # includes one with an open commit here and a record of its own
        earlier_admission = admission = self.admissions.get(name)
        if admission is None:
            self.check_memory(value)
            self.memory.hold(value)
            future = asyncio.get_running_loop().create_future()
            admission = self.admissions[name] = Admission(
                value, dependency_lists.encode_record(value), future
            )
            self.admit_wanted.set()
        done, _ = await asyncio.wait({admission.result}, timeout=timeout)
        if not done:
            raise NoAnswer("not durable in time")
        return earlier_admission is None and admission.result.result()

    def abort(self, job: Job) -> None:
        """Request the abort of a job; from now on none of its tasks is started and all are killed.

        This does not wait until the abort is durable. A commit whose answer is lost may have been
        executed, and other nodes report to users what they read. A leader that loses the state
        service at that moment keeps its workers for a while, counted from its lease, which may
        last seconds longer than such a commit: tasks would run on after users were told of the
        cancellation. Killing them early loses nothing, as no result of the job is of use any more.
        """
        if not (job.aborted or job.aborting or job.is_complete):
            job.aborting = True
            self.aborting.append(job)
            for attempt in job.live.values():
                attempt.kill_requested_at = attempt.kill_requested_at or self.clock.now()
        self.flush_wanted.set()

    def update_ending(self, job: Job) -> None:
        """Queue the job's end if it is over; called after an attempt's end or the job's abort."""
        if job.is_over:
            self.ending[job] = None
        self.flush_wanted.set()

    def next_admission_change(self) -> RecordChange | None:
        """Return a change with as many pending submissions as fit one batch and one commit.

        Neither they nor their batch are part of another commit until this one has ended. Returns
        None if no submission is pending.
        """
        limit = self.limits.max_value_bytes
        waiting = [admission for admission in self.admissions.values() if not admission.sent]
        # Each submission needs two conditions, in addition to the batch's and the leader's.
        candidates = waiting[: min(self.limits.txn_ops, (self.limits.max_conditions - 2) // 2)]
        if not candidates:
            return None
        max_batch_size = limit - len(candidates[0].raw)
        batch = next(
            (b for b in self.batches.values() if not b.has_open_commit and b.size < max_batch_size),
            None,
        )
        if batch is None:
            self.batch_number += 1
            batch = Batch(f"{BATCH_PREFIX}{self.context.token}-{self.batch_number}")
        size = batch.size
        # The commit holds the batch's value and two conditions for each submission.
        commit_bytes_left = constants.MAX_COMMIT_BYTES - 2 * constants.COMMIT_HEADROOM_BYTES
        admitted: list[Admission] = []
        for admission in candidates:
            size += len(admission.raw) + 1
            commit_bytes_left -= conditions_size(_admission_keys(admission))
            if admitted and (size > limit or size > commit_bytes_left):
                break
            admitted.append(admission)
            admission.sent = True
        names = [admission.value.spec.nameId for admission in admitted]
        return RecordChange(
            partial(self._admitted, batch, admitted),
            batch=batch,
            edits={name: a.raw for name, a in zip(names, admitted, strict=True)},
            absent_keys=[key for admission in admitted for key in _admission_keys(admission)],
            admissions=admitted,
        )

    def _admitted(self, batch: Batch, admitted: list[Admission], revision: int) -> None:
        self.batches[batch.key] = batch
        for admission in admitted:
            self.resolve_admission(admission, True)
            self.add(admission.value, 0, observe=True, batch=batch)

    def resolve_admission(self, admission: Admission, accepted: bool) -> None:
        """Finish a submission; `accepted` is False if a node had accepted the job before."""
        name = admission.value.spec.nameId
        self.admissions.pop(name, None)
        if not accepted and name not in self.jobs:
            self.memory.release(name)
        if not admission.result.done():
            admission.result.set_result(accepted)

    def pending_changes(self) -> Iterator[RecordChange]:
        """Yield all changes that have to be written, the most urgent first."""
        available_ops = min(
            self.limits.txn_ops - constants.JOB_END_OPS, int(self.ledger.writes.available_tokens())
        )
        # The total size of a commit is limited as well: only a few large values fit.
        values_per_commit = constants.MAX_COMMIT_BYTES // 2 // self.limits.max_value_bytes
        flush = self.oplog.next_flush(max(1, min(available_ops, values_per_commit)))
        if flush is not None:
            # Attempts and their outcomes, of all jobs: machines wait for launches, and resources
            # become free with outcomes.
            yield RecordChange(partial(self.oplog.mark_saved, flush), _log_writes(flush))
        # An abort should take effect immediately, so it precedes all other changes.
        for job in self.aborting:
            if not job.is_over:
                yield self._abort_change(job)
        for job in group_by_batch(self.ending):
            if job.name in self.admissions:
                # Another node accepted the job too, and our own commit of it is in progress. If
                # the end were written before the outcome is known, the record would stay in the
                # batch. This happens when a job is cancelled right after its submission.
                continue
            if job.is_over and job.name in self.jobs:
                yield self._end_change(job)
            else:
                del self.ending[job]
        if flush is None or flush.count == len(self.oplog.pending):
            # Memory now equals the content of the log, so pages can replace log entries.
            lsn, has_long_page = self.oplog.lsn if flush is None else flush.lsn, False
            for name, number in list(dict.fromkeys(self.oplog.stale_pages())):
                owner = self.jobs.get(name)
                if name in self.unreadable:
                    continue  # its log entries are all that is known of its tasks
                if owner is None:
                    # The job's last operations were written after its end, because more were
                    # pending than one value holds. They are not needed.
                    self.oplog.release_pages({(name, number)})
                    continue
                if owner.is_over:
                    continue  # its end makes the page unnecessary
                page = owner.pages[number]
                value = encode_raw(owner.checkpoint(number, lsn))
                if len(value) <= self.limits.max_value_bytes:
                    write = KeyWrite(page.key, page.stamp, value)
                    saved = partial(self._page_saved, page, (name, number), lsn)
                    yield RecordChange(
                        saved, [write], absent_keys=self._end_keys_to_be_absent(owner, page.stamp)
                    )
                elif flush is None and not has_long_page:
                    has_long_page = True  # another one would use the same segments
                    yield self._checkpoint_with_log(owner, number, lsn)
        for persisted in self.persisted_values:
            if persisted.is_dirty:
                value = encode_raw(persisted.dump())
                if len(value) > self.limits.max_value_bytes:
                    if persisted.version != persisted.warned_version:
                        persisted.warned_version = persisted.version
                        log.warning("value too long: %s takes %d bytes", persisted.key, len(value))
                    continue
                yield RecordChange(
                    partial(persisted.mark_saved, persisted.version),
                    [KeyWrite(persisted.key, persisted.stamp, value)],
                )
        for batch in list(self.batches.values()):
            if batch.size > self.limits.max_value_bytes and not batch.has_open_commit:
                change = self._shrink_batch(batch)
                if change is not None:
                    yield change
        for key in list(self.orphan_keys):
            yield RecordChange(partial(self._orphan_removed, key), [KeyWrite(key, -1, None)])

    def _can_rewrite(self, batch: Batch, edits: dict[str, bytes | None]) -> bool:
        """Whether a batch may be written with these edits.

        A batch written under earlier limits may be too large for the current ones.
        """
        return (
            batch.size <= self.limits.max_value_bytes
            or batch.size_after(edits) <= self.limits.max_rewrite_bytes
        )

    def _end_change(self, job: Job) -> RecordChange:
        """Return the change that moves a job from its record to its final key.

        If its batch can't be rewritten, only the final key shows that the job is over. Readers
        of a batch above the size limit look for final keys.
        """
        status = "withdrawn" if job.aborted else "done"
        value = {"status": status, "tasks": job.done, "at": round(self.clock.wall(), 3)}
        end = KeyWrite(END_PREFIX + job.name, 0, encode_raw(value))
        batch = job.batch
        edits: dict[str, bytes | None] = {job.name: None}
        stays_in_batch = batch is not None and not self._can_rewrite(batch, edits)

        def ended(revision: int) -> None:
            self.remove(job.name)
            self.ending.pop(job, None)
            if job in self.aborting:
                self.aborting.remove(job)  # completed before the abort was written
            if batch is not None and stays_in_batch:
                batch.ended_jobs.add(job.name)
            self.over[job.name] = status
            self.remember_final_state(job.name, status, job.done)
            self.orphan_keys += [page.key for page in job.pages.values() if page.stamp]
            self.orphan_keys += dependency_lists.part_keys(job.name, job.stored_dependencies)
            self.oplog.release_pages({(job.name, number) for number in job.pages})
            log.info(
                "job ended: %s: %s",
                job.name,
                status,
                extra=decision_fields(self.context.token, job.name),
            )
            self.on_job_ended(job, status)

        change = RecordChange(ended, [end])
        if job.stamp:
            change.writes.append(KeyWrite(JOB_PREFIX + job.name, job.stamp, None))
        else:
            change.absent_keys.append(JOB_PREFIX + job.name)
        if batch is not None and not stays_in_batch:
            change.batch, change.edits = batch, edits
        return change

    def _abort_change(self, job: Job) -> RecordChange:
        """Return the change that marks a job's record as aborted."""
        record = job.value
        record.aborted = True
        value = dependency_lists.encode_record(record)
        batch = job.batch
        # If the batch can't be rewritten, the job gets a record of its own that says so.
        # Readers accept an abort from either record.
        needs_own_record = batch is None or not self._can_rewrite(batch, {job.name: value})

        def aborted(revision: int) -> None:
            job.aborted, job.aborting = True, False
            self.aborting.remove(job)
            if needs_own_record:
                job.stamp = revision
            self.update_ending(job)
            log.info(
                "job aborted: %s with %d live attempts",
                job.name,
                len(job.live),
                extra=decision_fields(self.context.token, job.name),
            )
            self.on_job_aborted(job)

        if batch is not None and not needs_own_record:
            return RecordChange(aborted, batch=batch, edits={job.name: value})
        write = KeyWrite(JOB_PREFIX + job.name, job.stamp, msgspec.Raw(value))
        return RecordChange(
            aborted, [write], absent_keys=self._end_keys_to_be_absent(job, job.stamp)
        )

    def _end_keys_to_be_absent(self, job: Job, stamp: int) -> list[str]:
        """Return the keys that must be absent when a key of a job is created: the job's end.

        Without this condition a copy of the commit that is executed late creates the key again
        after the job is over. Every leader that met the record of such an aborted job would step
        down (see the table in `record/commit_conditions.py`).
        """
        return [] if stamp else [END_PREFIX + job.name]

    def _shrink_batch(self, batch: Batch) -> RecordChange | None:
        """Return a change that reduces a batch above the size limit, while that is still possible.

        If the remaining records fit the limit, the batch is rewritten with them. Otherwise its
        first jobs move to new batches in one commit, provided that the rest may be rewritten:
        either the limits have not been reduced yet, or the rest fits the reduced ones. The keys
        of the new batches sort directly after the old key, so that a reader that scans keys in
        order finds each job in one of them, whenever it is moved.
        """
        if batch.size_after({}) <= self.limits.max_value_bytes:
            return RecordChange(lambda revision: None, batch=batch)
        if any(job.batch is batch for job in (*self.ending, *self.aborting)):
            return None  # a record that the same commit changes must not be moved in its old state
        new_batches: list[Batch] = []
        values = batch.records_after({})
        remaining = list(values)
        numbers = itertools.count(len(self.batches))
        while remaining and len(new_batches) < max(1, self.limits.txn_ops - 1):
            new_batch = Batch(f"{batch.key}-{self.context.token}-{next(numbers):04d}")
            if new_batch.key in self.batches:
                continue
            size = 0
            while remaining and (
                not new_batch.records
                or size + len(values[remaining[0]]) < self.limits.max_value_bytes
            ):
                name = remaining.pop(0)
                new_batch.records[name] = values[name]
                size += len(values[name]) + 1
            new_batches.append(new_batch)
        edits: dict[str, bytes | None] = {
            name: None for new_batch in new_batches for name in new_batch.records
        }
        if not self._can_rewrite(batch, edits):
            return None

        def moved(revision: int) -> None:
            for new_batch in new_batches:
                new_batch.mark_saved({}, revision)
                self.batches[new_batch.key] = new_batch
                for name in new_batch.records:
                    job = self.jobs.get(name)
                    if job is not None and job.batch is batch:
                        job.batch = new_batch

        writes = [
            KeyWrite(new_batch.key, 0, new_batch.key_write({}).value) for new_batch in new_batches
        ]
        return RecordChange(moved, writes, batch=batch, edits=edits)

    def _checkpoint_with_log(self, job: Job, number: int, lsn: int) -> RecordChange:
        """Return a checkpoint of a page too long for one value; the rest goes to the log."""
        page, name = job.pages[number], (job.name, number)
        value, ops = job.split_checkpoint(number, lsn, self.limits.max_value_bytes)
        flush = self.oplog.reappend(ops)

        def carried(revision: int) -> None:
            self._page_saved(page, name, lsn, revision)
            self.oplog.mark_saved(flush, revision)

        writes = [KeyWrite(page.key, page.stamp, encode_raw(value)), *_log_writes(flush)]
        return RecordChange(
            carried, writes, absent_keys=self._end_keys_to_be_absent(job, page.stamp)
        )

    def _page_saved(self, page: Page, name: PageName, lsn: int, revision: int) -> None:
        page.stamp, page.durable_lsn = revision, lsn
        self.oplog.release_pages({name})

    def _orphan_removed(self, key: str, revision: int) -> None:
        self.orphan_keys.remove(key)


def _log_writes(flush: LogFlush) -> list[KeyWrite]:
    return [
        KeyWrite(piece.segment.key, piece.segment.stamp, piece.value) for piece in flush.appends
    ]


def _admission_keys(admission: Admission) -> list[str]:
    """Return the keys that must be absent for a submission to be new."""
    name = admission.value.spec.nameId
    return [JOB_PREFIX + name, END_PREFIX + name]
