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
from chalkgrade.record import apart
from chalkgrade.record.changes import Admission, Batch, Change, Kept, Over, Write, raw, together
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
from chalkgrade.record.oplog import LOG_PREFIX, Flush, OpLog, PageName, SegmentValue
from chalkgrade.state.client import Compacted, NotExecuted
from chalkgrade.state.leader_context import LeaderContext

log = logging.getLogger("chalkgrade.record")


class Book:
    """All jobs that are not over, under one token."""

    def __init__(
        self,
        office: LeaderContext,
        remember: Callable[[str, str, int], object],
        on_job: Callable[[Job, bool], None],
    ) -> None:
        self.office = office
        self.ledger = office.ledger
        self.clock = office.clock
        self.limits = office.ledger.limits
        self.kept: list[Kept] = []  # subsystems' own values, in the order in which they are read
        self.remember = remember  # tells the intake about final states
        self.on_job = on_job  # a job is known now; whether it was submitted just now
        self.jobs: dict[str, Job] = {}
        self.over = Over()
        # Told of jobs that are durably over, or durably aborted, so that others follow.
        self.on_over: Callable[[Job, str], None] = lambda job, status: None
        self.on_aborted: Callable[[Job], None] = lambda job: None
        self.log = OpLog(self.limits.max_value_bytes)
        self.revision = 0
        self.flush_wanted = asyncio.Event()
        self.committed = Signal()
        self.orphans: list[str] = []  # pages whose job is over, to be removed
        # machine -> images it was given work for, with their sizes: a hint for a new leader,
        # who else would send work to fetch anew what is there.
        self.images: dict[str, dict[str, float]] = {}
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
        self.log = OpLog(self.limits.max_value_bytes)
        found = await asyncio.gather(*(self.ledger.get(kept.key) for kept in self.kept))
        for kept, row in zip(self.kept, found, strict=True):
            if row is not None:
                kept.load(row.v)
                kept.stamp = row.stamp
        rows, self.revision = await self.ledger.scan(JOB_PREFIX)
        for row in rows:
            await self._read(row.v, row.stamp, observe=False)
        self.batches.clear()
        rows, _ = await self.ledger.scan(BATCH_PREFIX)
        for row in rows:
            batch = self.batches[row.k] = Batch(row.k, row.stamp)
            values = msgspec.json.decode(row.v, type=BatchValue).jobs
            batch.saved({value.spec.nameId: encode(value) for value in values}, row.stamp)
            batch.dead |= await self._ended_in(batch, len(row.v))
            for value in values:
                if value.spec.nameId not in batch.dead:
                    value = await apart.whole(self.ledger, value)
                    self.add(value, 0, observe=False, batch=batch)
        rows, _ = await self.ledger.scan(TASK_PREFIX)
        self.orphans.clear()
        for row in rows:
            name, _, number = row.k.removeprefix(TASK_PREFIX).rpartition("/")
            job = self.jobs.get(name)
            if job is None:
                self.orphans.append(row.k)
                continue
            job.load_page(int(number), msgspec.json.decode(row.v, type=PageValue), row.stamp)
        rows, _ = await self.ledger.scan(LOG_PREFIX)
        segments = [(r.k, r.stamp, msgspec.json.decode(r.v, type=SegmentValue)) for r in rows]
        for lsn, segment, entry in self.log.load(segments):
            for name, ops in entry.jobs:
                job = self.jobs.get(name)
                if job is None:
                    continue
                segment.refs |= {(name, page) for page in job.replay(lsn, ops)}
                for _, _, what in ops:
                    if isinstance(what, str):
                        self.images.setdefault(what, {})[job.spec.bundle] = job.spec.pullGb
        # A page can be ahead of all segments that are left.
        pages = [page for job in self.jobs.values() for page in job.pages.values()]
        self.log.lsn = max([self.log.lsn, *(page.upto for page in pages)])
        self.log.forget(set())
        for job in self.jobs.values():
            self.progressed(job)
        self.flush_wanted.set()
        return [attempt for job in self.jobs.values() for attempt in job.live.values()]

    async def _read(self, raw: bytes, stamp: int, observe: bool) -> None:
        value = msgspec.json.decode(raw, type=JobValue)
        if value.spec.nameId not in self.over:  # else a list kept apart may be removed already
            self.add(await apart.whole(self.ledger, value), stamp, observe=observe)

    async def _ended_in(self, batch: Batch, stored_b: int) -> set[str]:
        """Which of a batch's jobs are over, though it still holds their records.

        Only one that was too large to be rewritten does: see `_end`.
        """
        if stored_b <= self.limits.max_value_bytes:
            return set()
        found = await self.ledger.existing_keys([END_PREFIX + name for name in batch.values])
        return {key.removeprefix(END_PREFIX) for key in found}

    def add(self, value: JobValue, stamp: int, observe: bool, batch: Batch | None = None) -> None:
        """A job that some node has accepted."""
        name = value.spec.nameId
        if name in self.over:
            return
        job = self.jobs.get(name)
        if job is not None:
            # Only the leader changes a job after its submission; but another node,
            # out of our sight, may have accepted a repeated one under its own key.
            job.stamp = max(job.stamp, stamp)
            job.batch = job.batch or batch
            job.aborted = job.aborted or value.aborted
            self.progressed(job)
            return
        job = self.jobs[name] = Job(value, stamp, self.log, batch)
        if job.piped:
            job.hold()  # until it is known that all that it waits for is done
        log.debug("job %s: %d tasks", name, job.spec.tasks, extra=about(self.office.token, name))
        self.on_job(job, observe)

    async def watch(self) -> None:
        """Learn of submissions, which any node commits."""
        while True:
            try:
                changes = await self.ledger.watch_changes(
                    JOB_PREFIX, self.revision, constants.WATCH_BLOCK_S
                )
                for change in changes.log:
                    if change.write is not None:
                        await self._read(change.v, change.stamp, observe=True)
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
                        await self._read(row.v, row.stamp, observe=True)
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
        if name in self.jobs or name in self.over:
            return False  # also one whose commit here is open: known by a record of its own
        known = admission = self.admissions.get(name)
        if admission is None:
            future = asyncio.get_running_loop().create_future()
            admission = self.admissions[name] = Admission(value, apart.record(value), future)
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
        if not (job.aborted or job.aborting or job.complete):
            job.aborting = True
            self.aborting.append(job)
            for attempt in job.live.values():
                attempt.kill_at = attempt.kill_at or self.clock.now()
        self.flush_wanted.set()

    def progressed(self, job: Job) -> None:
        """An attempt of it ended, or it was aborted: it may be over."""
        if job.over:
            self.ending[job] = None
        self.flush_wanted.set()

    def admitting(self) -> Change | None:
        """The next submissions, as many as one batch and one commit can take.

        They, and their batch, are in no other commit until this one is over.
        """
        limit = self.limits.max_value_bytes
        waiting = [admission for admission in self.admissions.values() if not admission.sent]
        # Each is conditioned on two keys, beside the batch's and the leader's.
        chosen = waiting[: min(self.limits.txn_ops, (self.limits.max_conditions - 2) // 2)]
        if not chosen:
            return None
        least = limit - len(chosen[0].raw)
        batch = next((b for b in self.batches.values() if not b.busy and b.size < least), None)
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
        return Change(
            partial(self._admitted, batch, taken),
            batch=batch,
            edits={name: a.raw for name, a in zip(names, taken, strict=True)},
            absent=[prefix + name for name in names for prefix in (JOB_PREFIX, END_PREFIX)],
            admits=taken,
        )

    def _admitted(self, batch: Batch, taken: list[Admission], revision: int) -> None:
        self.batches[batch.key] = batch
        for admission in taken:
            self.settle(admission, True)
            self.add(admission.value, 0, observe=True, batch=batch)

    def settle(self, admission: Admission, accepted: bool) -> None:
        self.admissions.pop(admission.value.spec.nameId, None)
        if not admission.result.done():
            admission.result.set_result(accepted)

    def wanted(self) -> Iterator[Change]:
        """All that is to be written, in order of urgency."""
        at_hand = min(self.limits.txn_ops - constants.END_OPS, int(self.ledger.writes.level()))
        # A commit as a whole is bounded as well: of large values it holds few.
        fit = constants.COMMIT_MAX_B // 2 // self.limits.max_value_bytes
        flush = self.log.take(max(1, min(at_hand, fit)))
        if flush is not None:
            # Attempts and outcomes of all jobs: machines wait for the first, room for the second.
            yield Change(partial(self.log.saved, flush), _log_writes(flush))
        # A user who aborts wants it stopped now, whatever else is to be written.
        for job in self.aborting:
            if not job.over:
                yield self._abort(job)
        for job in together(self.ending):
            if job.name in self.admissions:
                # Another node accepted it too, and our own commit of it is under way: ended
                # before that is known, it would stay in the batch (found on a seeded day,
                # where it was cancelled at once with a job before it).
                continue
            if job.over and job.name in self.jobs:
                yield self._end(job)
            else:
                del self.ending[job]
        if flush is None or flush.count == len(self.log.pending):
            # Memory is now just what the log says, so that pages can stand for it.
            lsn, carried = self.log.lsn if flush is None else flush.lsn, False
            for name, number in list(dict.fromkeys(self.log.stale())):
                owner = self.jobs.get(name)
                if owner is None:
                    # Its last operations were written after its end, since more were
                    # pending than one value holds: nothing is needed of them.
                    self.log.forget({(name, number)})
                    continue
                if owner.over:
                    continue  # its end makes the page needless
                page = owner.pages[number]
                value = raw(owner.checkpoint(number, lsn))
                if len(value) <= self.limits.max_value_bytes:
                    write = Write(page.key, page.stamp, value)
                    saved = partial(self._page_saved, page, (name, number), lsn)
                    yield Change(saved, [write], absent=self._unended(owner, page.stamp))
                elif flush is None and not carried:
                    carried = True  # its segments are those that another one would take
                    yield self._carry(owner, number, lsn)
        for kept in self.kept:
            if kept.dirty:
                value = raw(kept.dump())
                if len(value) > self.limits.max_value_bytes:
                    if kept.version != kept.told:
                        kept.told = kept.version
                        log.warning("%s takes %d bytes: too many", kept.key, len(value))
                    continue
                yield Change(
                    partial(kept.saved, kept.version), [Write(kept.key, kept.stamp, value)]
                )
        for batch in list(self.batches.values()):
            if batch.size > self.limits.max_value_bytes and not batch.busy:
                change = self._lighten(batch)
                if change is not None:
                    yield change
        for key in list(self.orphans):
            yield Change(partial(self._orphan_removed, key), [Write(key, -1, None)])

    def _editable(self, batch: Batch, edits: dict[str, bytes | None]) -> bool:
        """Whether a batch may be written with these changes.

        One that the limits of before allowed may be too large for those of now.
        """
        return (
            batch.size <= self.limits.max_value_bytes
            or batch.after(edits) <= self.limits.max_rewrite_bytes
        )

    def _end(self, job: Job) -> Change:
        """A job moves from where its record is to its final key.

        Where its batch can't be rewritten, the final key alone says that it is over: readers
        of a batch of that size look for it.
        """
        status = "withdrawn" if job.aborted else "done"
        value = {"status": status, "tasks": job.done, "at": round(self.clock.wall(), 3)}
        end = Write(END_PREFIX + job.name, 0, raw(value))
        batch = job.batch
        edits: dict[str, bytes | None] = {job.name: None}
        stays = batch is not None and not self._editable(batch, edits)

        def ended(revision: int) -> None:
            self.jobs.pop(job.name, None)
            self.ending.pop(job, None)
            if job in self.aborting:
                self.aborting.remove(job)  # it was done before the abort was written
            if batch is not None and stays:
                batch.dead.add(job.name)
            self.over[job.name] = status
            self.remember(job.name, status, job.done)
            self.orphans += [page.key for page in job.pages.values() if page.stamp]
            self.orphans += apart.keys(job.name, job.apart)
            self.log.forget({(job.name, number) for number in job.pages})
            log.info("job %s: %s", job.name, status, extra=about(self.office.token, job.name))
            self.on_over(job, status)

        change = Change(ended, [end])
        if job.stamp:
            change.writes.append(Write(JOB_PREFIX + job.name, job.stamp, None))
        else:
            change.absent.append(JOB_PREFIX + job.name)
        if batch is not None and not stays:
            change.batch, change.edits = batch, edits
        return change

    def _abort(self, job: Job) -> Change:
        record = job.value
        record.aborted = True
        value = apart.record(record)
        batch = job.batch
        # Beside a batch that can't be rewritten, a record of its own says so: either may.
        own = batch is None or not self._editable(batch, {job.name: value})

        def aborted(revision: int) -> None:
            job.aborted, job.aborting = True, False
            self.aborting.remove(job)
            if own:
                job.stamp = revision
            self.progressed(job)
            log.info(
                "job %s: aborted with %d live attempts",
                job.name,
                len(job.live),
                extra=about(self.office.token, job.name),
            )
            self.on_aborted(job)

        if batch is not None and not own:
            return Change(aborted, batch=batch, edits={job.name: value})
        write = Write(JOB_PREFIX + job.name, job.stamp, msgspec.Raw(value))
        return Change(aborted, [write], absent=self._unended(job, job.stamp))

    def _unended(self, job: Job, stamp: int) -> list[str]:
        """What must be absent where a key of a job is made anew: its end.

        Else a late copy of that commit makes the key again when the job is over: the record of
        an aborted one would then end the lead of every leader that meets it (found in the
        table of conditions, `record/conditions.py`).
        """
        return [] if stamp else [END_PREFIX + job.name]

    def _lighten(self, batch: Batch) -> Change | None:
        """Make a batch that is larger than new ones smaller, before it can't be any more.

        What is left of it fits: it is written so. Else the first of its jobs move to batches of
        their own in one commit, if the rest may be rewritten: while the limits have not fallen,
        or if it fits the lesser ones. Their keys come
        right after its own, so that a reader who goes from key to key meets a job in one of
        them, whenever it is moved.
        """
        if batch.after({}) <= self.limits.max_value_bytes:
            return Change(lambda revision: None, batch=batch)
        if any(job.batch is batch for job in (*self.ending, *self.aborting)):
            return None  # what changes in the same commit must not be moved as it was
        made: list[Batch] = []
        values = batch.apply({})
        left = list(values)
        numbers = itertools.count(len(self.batches))
        while left and len(made) < max(1, self.limits.txn_ops - 1):
            new = Batch(f"{batch.key}-{self.office.token}-{next(numbers):04d}")
            if new.key in self.batches:
                continue
            size = 0
            while left and (
                not new.values or size + len(values[left[0]]) < self.limits.max_value_bytes
            ):
                name = left.pop(0)
                new.values[name] = values[name]
                size += len(values[name]) + 1
            made.append(new)
        edits: dict[str, bytes | None] = {name: None for new in made for name in new.values}
        if not self._editable(batch, edits):
            return None

        def moved(revision: int) -> None:
            for new in made:
                new.saved({}, revision)
                self.batches[new.key] = new
                for name in new.values:
                    job = self.jobs.get(name)
                    if job is not None and job.batch is batch:
                        job.batch = new

        writes = [Write(new.key, 0, new.write({}).value) for new in made]
        return Change(moved, writes, batch=batch, edits=edits)

    def _carry(self, job: Job, number: int, lsn: int) -> Change:
        """Checkpoint a page that is too long for one value, in one commit with its rest."""
        page, name = job.pages[number], (job.name, number)
        value, ops = job.parted(number, lsn, self.limits.max_value_bytes)
        flush = self.log.carry(ops)

        def carried(revision: int) -> None:
            self._page_saved(page, name, lsn, revision)
            self.log.saved(flush, revision)

        writes = [Write(page.key, page.stamp, raw(value)), *_log_writes(flush)]
        return Change(carried, writes, absent=self._unended(job, page.stamp))

    def _page_saved(self, page: Page, name: PageName, lsn: int, revision: int) -> None:
        page.stamp, page.upto = revision, lsn
        self.log.forget({name})

    def _orphan_removed(self, key: str, revision: int) -> None:
        self.orphans.remove(key)


def _log_writes(flush: Flush) -> list[Write]:
    return [Write(piece.segment.key, piece.segment.stamp, piece.value) for piece in flush.pieces]
