"""The leader's book: jobs, and what of them is to be made durable.

What is wanted is worked out from memory each time it is asked for (`Book.wanted`);
`writer` makes it so.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterator
from functools import partial

import msgspec

from chalkgrade import constants
from chalkgrade.logs import about
from chalkgrade.outside import NoAnswer, Signal, encode
from chalkgrade.record import dependency_lists
from chalkgrade.record.changes import (
    Admission,
    Batch,
    KeyWrite,
    PersistedValue,
    RecentEnds,
    RecordChange,
    encode_raw,
    group_by_batch,
)
from chalkgrade.record.jobs import (
    BATCH_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    TASK_PREFIX,
    Attempt,
    BatchValue,
    Job,
    JobValue,
    Page,
    PageValue,
)
from chalkgrade.record.oplog import LOG_PREFIX, LogFlush, OpLog, PageName, SegmentValue
from chalkgrade.state.ledger import Compacted, NotExecuted
from chalkgrade.state.office import Office

log = logging.getLogger("chalkgrade.record")


class JobRegistry:
    """All jobs that are not over, under one token."""

    def __init__(
        self,
        office: Office,
        remember: Callable[[str, str, int], object],
        on_job: Callable[[Job, bool], None],
    ) -> None:
        self.office = office
        self.ledger = office.ledger
        self.clock = office.clock
        self.limits = office.ledger.limits
        self.persisted_values: list[
            PersistedValue
        ] = []  # subsystems' own values, in the order in which they are read
        self.remember_final_state = remember  # tells the intake about final states
        self.on_job_added = on_job  # a job is known now; whether it was submitted just now
        self.jobs: dict[str, Job] = {}
        self.recent_ends = RecentEnds()
        # Told of jobs that are durably over, or durably aborted, so that others follow.
        self.on_job_ended: Callable[[Job, str], None] = lambda job, status: None
        self.on_job_aborted: Callable[[Job], None] = lambda job: None
        self.oplog = OpLog(self.limits.value_b)
        self.revision = 0
        self.flush_wanted = asyncio.Event()
        self.committed = Signal()
        self.orphan_keys: list[str] = []  # pages whose job is over, to be removed
        # machine -> images it was given work for, with their sizes: a hint for a new leader,
        # who else would send work to fetch anew what is there.
        self.image_hints: dict[str, dict[str, float]] = {}
        self.batches: dict[str, Batch] = {}
        self.batch_number = 0
        self.admissions: dict[str, Admission] = {}
        self.admit_wanted = asyncio.Event()
        self.ending: dict[Job, None] = {}  # jobs that are over, until that is durable
        self.aborting: list[Job] = []  # in the order in which their users asked

    # -- reading ------------------------------------------------------------------

    async def load(self) -> list[Attempt]:
        """Read the whole book; the attempts that may be present.

        Nobody else can change it: older leaders are fenced.
        """
        self.jobs.clear()
        self.aborting.clear()
        self.ending.clear()
        self.oplog = OpLog(self.limits.value_b)
        found = await asyncio.gather(*(self.ledger.get(kept.key) for kept in self.persisted_values))
        for kept, row in zip(self.persisted_values, found, strict=True):
            if row is not None:
                kept.load(row.v)
                kept.stamp = row.stamp
        rows, self.revision = await self.ledger.scan(JOB_PREFIX)
        for row in rows:
            await self._load_record(row.v, row.stamp, observe=False)
        self.batches.clear()
        rows, _ = await self.ledger.scan(BATCH_PREFIX)
        for row in rows:
            batch = self.batches[row.k] = Batch(row.k, row.stamp)
            values = msgspec.json.decode(row.v, type=BatchValue).jobs
            batch.mark_saved({value.spec.nameId: encode(value) for value in values}, row.stamp)
            batch.ended_jobs |= await self._ended_jobs_in(batch, len(row.v))
            for value in values:
                if value.spec.nameId not in batch.ended_jobs:
                    value = await dependency_lists.with_dependencies(self.ledger, value)
                    self.add(value, 0, observe=False, batch=batch)
        rows, _ = await self.ledger.scan(TASK_PREFIX)
        self.orphan_keys.clear()
        for row in rows:
            name, _, number = row.k.removeprefix(TASK_PREFIX).rpartition("/")
            job = self.jobs.get(name)
            if job is None:
                self.orphan_keys.append(row.k)
                continue
            job.load_page(int(number), msgspec.json.decode(row.v, type=PageValue), row.stamp)
        rows, _ = await self.ledger.scan(LOG_PREFIX)
        segments = [(r.k, r.stamp, msgspec.json.decode(r.v, type=SegmentValue)) for r in rows]
        for lsn, segment, entry in self.oplog.load(segments):
            for name, ops in entry.jobs:
                job = self.jobs.get(name)
                if job is None:
                    continue
                segment.needed_pages |= {(name, page) for page in job.replay(lsn, ops)}
                for _, _, what in ops:
                    if isinstance(what, str):
                        self.image_hints.setdefault(what, {})[job.spec.bundle] = job.spec.pullGb
        # A page can be ahead of all segments that are left.
        pages = [page for job in self.jobs.values() for page in job.pages.values()]
        self.oplog.lsn = max([self.oplog.lsn, *(page.durable_lsn for page in pages)])
        self.oplog.release_pages(set())
        for job in self.jobs.values():
            self.update_ending(job)
        self.flush_wanted.set()
        return [attempt for job in self.jobs.values() for attempt in job.live.values()]

    async def _load_record(self, raw: bytes, stamp: int, observe: bool) -> None:
        value = msgspec.json.decode(raw, type=JobValue)
        if (
            value.spec.nameId not in self.recent_ends
        ):  # else a list kept apart may be removed already
            self.add(
                await dependency_lists.with_dependencies(self.ledger, value), stamp, observe=observe
            )

    async def _ended_jobs_in(self, batch: Batch, stored_b: int) -> set[str]:
        """Which of a batch's jobs are over, though it still holds their records.

        Only one that was too large to be rewritten does: see `_end`.
        """
        if stored_b <= self.limits.value_b:
            return set()
        found = await self.ledger.present([END_PREFIX + name for name in batch.records])
        return {key.removeprefix(END_PREFIX) for key in found}

    def add(self, value: JobValue, stamp: int, observe: bool, batch: Batch | None = None) -> None:
        """A job that some node has accepted."""
        name = value.spec.nameId
        if name in self.recent_ends:
            return
        job = self.jobs.get(name)
        if job is not None:
            # Only the leader changes a job after its submission; but another node,
            # out of our sight, may have accepted a repeated one under its own key.
            job.stamp = max(job.stamp, stamp)
            job.batch = job.batch or batch
            job.aborted = job.aborted or value.aborted
            self.update_ending(job)
            return
        job = self.jobs[name] = Job(value, stamp, self.oplog, batch)
        if job.in_pipeline:
            job.block()  # until it is known that all that it waits for is done
        log.debug("job %s: %d tasks", name, job.spec.tasks, extra=about(self.office.token, name))
        self.on_job_added(job, observe)

    async def watch_submissions(self) -> None:
        """Learn of submissions, which any node commits."""
        while True:
            try:
                changes = await self.ledger.changes(
                    JOB_PREFIX, self.revision, constants.WATCH_BLOCK_S
                )
                for change in changes.log:
                    if change.write is not None:
                        await self._load_record(change.v, change.stamp, observe=True)
            except Compacted:
                self.revision = 0
            except (NoAnswer, NotExecuted) as error:
                log.debug("watch: %s", error)
                await asyncio.sleep(constants.STATE_PAUSE_S)
                continue
            else:
                self.revision = max(self.revision, changes.ledgerRev)
            while self.revision == 0:
                try:
                    rows, revision = await self.ledger.scan(JOB_PREFIX)
                    for row in rows:
                        await self._load_record(row.v, row.stamp, observe=True)
                    self.revision = revision
                except (NoAnswer, NotExecuted):
                    await asyncio.sleep(constants.STATE_PAUSE_S)

    # -- writing ------------------------------------------------------------------

    async def admit(self, value: JobValue, timeout: float) -> bool:
        """Make a submission durable with others, in one change for all of them.

        True only for whoever brought it, and made it: nobody was told of the job before. Else
        it is known: what is true of it is to be asked. NoAnswer leaves open whether it is.
        """
        name = value.spec.nameId
        if name in self.jobs or name in self.recent_ends:
            return False  # also one whose commit here is open: known by a record of its own
        known = admission = self.admissions.get(name)
        if admission is None:
            future = asyncio.get_running_loop().create_future()
            admission = self.admissions[name] = Admission(
                value, dependency_lists.encode_record(value), future
            )
            self.admit_wanted.set()
        done, _ = await asyncio.wait({admission.result}, timeout=timeout)
        if not done:
            raise NoAnswer("not durable in time")
        return known is None and admission.result.result()

    def abort(self, job: Job) -> None:
        """Have a job's abort written; nothing of it is started from now on, what runs is stopped.

        Not only once it is durable: a commit whose answer is lost may have been executed, and
        others tell users what they read. Whoever loses the state service just then keeps the
        workers for a while, and counts that from its lease, which may last seconds beyond such
        a commit (found by thinking the gap through; nothing of the job is of use any more).
        """
        if not (job.aborted or job.aborting or job.is_complete):
            job.aborting = True
            self.aborting.append(job)
            for attempt in job.live.values():
                attempt.kill_requested_at = attempt.kill_requested_at or self.clock.now()
        self.flush_wanted.set()

    def update_ending(self, job: Job) -> None:
        """An attempt of it ended, or it was aborted: it may be over."""
        if job.is_over:
            self.ending[job] = None
        self.flush_wanted.set()

    def next_admission_change(self) -> RecordChange | None:
        """The next submissions, as many as one batch and one commit can take.

        They, and their batch, are in no other commit until this one is over.
        """
        limit = self.limits.value_b
        waiting = [admission for admission in self.admissions.values() if not admission.sent]
        # Each is conditioned on two keys, beside the batch's and the leader's.
        chosen = waiting[: min(self.limits.txn_ops, (self.limits.conditions - 2) // 2)]
        if not chosen:
            return None
        least = limit - len(chosen[0].raw)
        batch = next(
            (b for b in self.batches.values() if not b.has_open_commit and b.size < least), None
        )
        if batch is None:
            self.batch_number += 1
            batch = Batch(f"{BATCH_PREFIX}{self.office.token}-{self.batch_number}")
        size = batch.size
        taken: list[Admission] = []
        for admission in chosen:
            size += len(admission.raw) + 1
            if taken and size > limit:
                break
            taken.append(admission)
            admission.sent = True
        names = [admission.value.spec.nameId for admission in taken]
        return RecordChange(
            partial(self._admitted, batch, taken),
            batch=batch,
            edits={name: a.raw for name, a in zip(names, taken, strict=True)},
            absent_keys=[prefix + name for name in names for prefix in (JOB_PREFIX, END_PREFIX)],
            admissions=taken,
        )

    def _admitted(self, batch: Batch, taken: list[Admission], revision: int) -> None:
        self.batches[batch.key] = batch
        for admission in taken:
            self.resolve_admission(admission, True)
            self.add(admission.value, 0, observe=True, batch=batch)

    def resolve_admission(self, admission: Admission, accepted: bool) -> None:
        self.admissions.pop(admission.value.spec.nameId, None)
        if not admission.result.done():
            admission.result.set_result(accepted)

    def pending_changes(self) -> Iterator[RecordChange]:
        """All that is to be written, in order of urgency."""
        at_hand = min(self.limits.txn_ops - constants.END_OPS, int(self.ledger.writes.level()))
        # A commit as a whole is bounded as well: of large values it holds few.
        fit = constants.COMMIT_MAX_B // 2 // self.limits.value_b
        flush = self.oplog.next_flush(max(1, min(at_hand, fit)))
        if flush is not None:
            # Attempts and outcomes of all jobs: machines wait for the first, room for the second.
            yield RecordChange(partial(self.oplog.mark_saved, flush), _log_writes(flush))
        # A user who aborts wants it stopped now, whatever else is to be written.
        for job in self.aborting:
            if not job.is_over:
                yield self._abort_change(job)
        for job in group_by_batch(self.ending):
            if job.name in self.admissions:
                # Another node accepted it too, and our own commit of it is under way: ended
                # before that is known, it would stay in the batch (found on a seeded day,
                # where it was cancelled at once with a job before it).
                continue
            if job.is_over and job.name in self.jobs:
                yield self._end_change(job)
            else:
                del self.ending[job]
        if flush is None or flush.count == len(self.oplog.pending):
            # Memory is now just what the log says, so that pages can stand for it.
            lsn, carried = self.oplog.lsn if flush is None else flush.lsn, False
            for name, number in list(dict.fromkeys(self.oplog.stale_pages())):
                owner = self.jobs.get(name)
                if owner is None:
                    # Its last operations were written after its end, since more were
                    # pending than one value holds: nothing is needed of them.
                    self.oplog.release_pages({(name, number)})
                    continue
                if owner.is_over:
                    continue  # its end makes the page needless
                page = owner.pages[number]
                value = encode_raw(owner.checkpoint(number, lsn))
                if len(value) <= self.limits.value_b:
                    write = KeyWrite(page.key, page.stamp, value)
                    saved = partial(self._page_saved, page, (name, number), lsn)
                    yield RecordChange(
                        saved, [write], absent_keys=self._end_keys_to_be_absent(owner, page.stamp)
                    )
                elif flush is None and not carried:
                    carried = True  # its segments are those that another one would take
                    yield self._checkpoint_with_log(owner, number, lsn)
        for kept in self.persisted_values:
            if kept.is_dirty:
                value = encode_raw(kept.dump())
                if len(value) > self.limits.value_b:
                    if kept.version != kept.warned_version:
                        kept.warned_version = kept.version
                        log.warning("%s takes %d bytes: too many", kept.key, len(value))
                    continue
                yield RecordChange(
                    partial(kept.mark_saved, kept.version), [KeyWrite(kept.key, kept.stamp, value)]
                )
        for batch in list(self.batches.values()):
            if batch.size > self.limits.value_b and not batch.has_open_commit:
                change = self._shrink_batch(batch)
                if change is not None:
                    yield change
        for key in list(self.orphan_keys):
            yield RecordChange(partial(self._orphan_removed, key), [KeyWrite(key, -1, None)])

    def _can_rewrite(self, batch: Batch, edits: dict[str, bytes | None]) -> bool:
        """Whether a batch may be written with these changes.

        One that the limits of before allowed may be too large for those of now.
        """
        return batch.size <= self.limits.value_b or batch.size_after(edits) <= self.limits.rewrite_b

    def _end_change(self, job: Job) -> RecordChange:
        """A job moves from where its record is to its final key.

        Where its batch can't be rewritten, the final key alone says that it is over: readers
        of a batch of that size look for it.
        """
        status = "withdrawn" if job.aborted else "done"
        value = {"status": status, "tasks": job.done, "at": round(self.clock.wall(), 3)}
        end = KeyWrite(END_PREFIX + job.name, 0, encode_raw(value))
        batch = job.batch
        edits: dict[str, bytes | None] = {job.name: None}
        stays = batch is not None and not self._can_rewrite(batch, edits)

        def ended(revision: int) -> None:
            self.jobs.pop(job.name, None)
            self.ending.pop(job, None)
            if job in self.aborting:
                self.aborting.remove(job)  # it was done before the abort was written
            if batch is not None and stays:
                batch.ended_jobs.add(job.name)
            self.recent_ends[job.name] = status
            self.remember_final_state(job.name, status, job.done)
            self.orphan_keys += [page.key for page in job.pages.values() if page.stamp]
            self.orphan_keys += dependency_lists.part_keys(job.name, job.stored_dependencies)
            self.oplog.release_pages({(job.name, number) for number in job.pages})
            log.info("job %s: %s", job.name, status, extra=about(self.office.token, job.name))
            self.on_job_ended(job, status)

        change = RecordChange(ended, [end])
        if job.stamp:
            change.writes.append(KeyWrite(JOB_PREFIX + job.name, job.stamp, None))
        else:
            change.absent_keys.append(JOB_PREFIX + job.name)
        if batch is not None and not stays:
            change.batch, change.edits = batch, edits
        return change

    def _abort_change(self, job: Job) -> RecordChange:
        record = job.value
        record.aborted = True
        value = dependency_lists.encode_record(record)
        batch = job.batch
        # Beside a batch that can't be rewritten, a record of its own says so: either may.
        own = batch is None or not self._can_rewrite(batch, {job.name: value})

        def aborted(revision: int) -> None:
            job.aborted, job.aborting = True, False
            self.aborting.remove(job)
            if own:
                job.stamp = revision
            self.update_ending(job)
            log.info(
                "job %s: aborted with %d live attempts",
                job.name,
                len(job.live),
                extra=about(self.office.token, job.name),
            )
            self.on_job_aborted(job)

        if batch is not None and not own:
            return RecordChange(aborted, batch=batch, edits={job.name: value})
        write = KeyWrite(JOB_PREFIX + job.name, job.stamp, msgspec.Raw(value))
        return RecordChange(
            aborted, [write], absent_keys=self._end_keys_to_be_absent(job, job.stamp)
        )

    def _end_keys_to_be_absent(self, job: Job, stamp: int) -> list[str]:
        """What must be absent where a key of a job is made anew: its end.

        Else a late copy of that commit makes the key again when the job is over: the record of
        an aborted one would then end the lead of every leader that meets it (found in the
        table of conditions, `record/commit_conditions.py`).
        """
        return [] if stamp else [END_PREFIX + job.name]

    def _shrink_batch(self, batch: Batch) -> RecordChange | None:
        """Make a batch that is larger than new ones smaller, before it can't be any more.

        What is left of it fits: it is written so. Else the first of its jobs move to batches of
        their own in one commit, if the rest may be rewritten: while the limits have not fallen,
        or if it fits the lesser ones. Their keys come
        right after its own, so that a reader who goes from key to key meets a job in one of
        them, whenever it is moved.
        """
        if batch.size_after({}) <= self.limits.value_b:
            return RecordChange(lambda revision: None, batch=batch)
        if any(job.batch is batch for job in (*self.ending, *self.aborting)):
            return None  # what changes in the same commit must not be moved as it was
        made: list[Batch] = []
        values = batch.records_after({})
        left = list(values)
        numbers = itertools.count(len(self.batches))
        while left and len(made) < max(1, self.limits.txn_ops - 1):
            new = Batch(f"{batch.key}-{self.office.token}-{next(numbers):04d}")
            if new.key in self.batches:
                continue
            size = 0
            while left and (not new.records or size + len(values[left[0]]) < self.limits.value_b):
                name = left.pop(0)
                new.records[name] = values[name]
                size += len(values[name]) + 1
            made.append(new)
        edits: dict[str, bytes | None] = {name: None for new in made for name in new.records}
        if not self._can_rewrite(batch, edits):
            return None

        def moved(revision: int) -> None:
            for new in made:
                new.mark_saved({}, revision)
                self.batches[new.key] = new
                for name in new.records:
                    job = self.jobs.get(name)
                    if job is not None and job.batch is batch:
                        job.batch = new

        writes = [KeyWrite(new.key, 0, new.key_write({}).value) for new in made]
        return RecordChange(moved, writes, batch=batch, edits=edits)

    def _checkpoint_with_log(self, job: Job, number: int, lsn: int) -> RecordChange:
        """Checkpoint a page that is too long for one value, in one commit with its rest."""
        page, name = job.pages[number], (job.name, number)
        value, ops = job.split_checkpoint(number, lsn, self.limits.value_b)
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
