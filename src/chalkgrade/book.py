"""The leader's book: jobs, what is durable of them, and the commits that make it so.

Memory runs ahead of the state service; the flush loop works off the
difference, as few commits as the budget allows, each fenced by the token.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.fleet import Flavor
from chalkgrade.jobs import (
    END_PREFIX,
    JOB_PREFIX,
    TASK_PREFIX,
    Attempt,
    Job,
    JobValue,
    Page,
    PageValue,
)
from chalkgrade.leadership import LEADER_KEY, Leadership
from chalkgrade.ledger import Compacted, Conflict, Ledger, NotExecuted, Rejected
from chalkgrade.oplog import LOG_PREFIX, OpLog, PageName, SegmentValue
from chalkgrade.outside import Clock, NoAnswer, Signal, encode
from chalkgrade.queues import SHARES_KEY, Queues, Shares
from chalkgrade.settings import Settings

log = logging.getLogger("chalkgrade.book")

FLAVORS_KEY = "cg/flavors"


class FlavorsValue(msgspec.Struct):
    hosttypes: list[Flavor]


@dataclass
class Write:
    """One key's change within a commit, and what to do once it is durable."""

    key: str
    stamp: int  # its last known revision; -1: whatever it is
    value: msgspec.Raw | None  # None: removed
    done: Callable[[int], None]

    @property
    def size(self) -> int:
        return 2 * len(self.key) + len(self.value or b"") + 80


def _raw(value: Any) -> msgspec.Raw:
    return msgspec.Raw(encode(value))


class Book:
    """All jobs that are not over, under one token."""

    def __init__(
        self,
        settings: Settings,
        token: int,
        leadership: Leadership,
        ledger: Ledger,
        clock: Clock,
        queues: Queues,
        flavors: dict[str, Flavor],
        remember: Callable[[str, str, int], object],
        on_job: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.token = token
        self.leadership = leadership
        self.ledger = ledger
        self.clock = clock
        self.queues = queues
        self.flavors = flavors
        self.remember = remember  # tells the intake about final states
        self.on_job = on_job
        self.jobs: dict[str, Job] = {}
        self.over: dict[str, None] = {}  # jobs that ended under this token
        self.log = OpLog(settings.cluster.state.value_kb)
        self.flavors_stamp = 0
        self.flavors_dirty = False
        self.revision = 0
        self.flush_wanted = asyncio.Event()
        self.committed = Signal()
        self.orphans: list[str] = []  # pages whose job is over, to be removed

    # -- reading ------------------------------------------------------------------

    async def load(self) -> list[Attempt]:
        """Read the whole book; the attempts that may be present.

        Nobody else can change it: older leaders are fenced.
        """
        self.jobs.clear()
        self.log = OpLog(self.settings.cluster.state.value_kb)
        row = await self.ledger.get(SHARES_KEY)
        if row is not None:
            self.queues.shares = msgspec.json.decode(row.v, type=Shares)
            self.queues.stamp = row.stamp
        row = await self.ledger.get(FLAVORS_KEY)
        if row is not None:
            self.flavors_stamp = row.stamp
            if not self.flavors:
                known = msgspec.json.decode(row.v, type=FlavorsValue)
                self.flavors.update({flavor.sku: flavor for flavor in known.hosttypes})
        rows, self.revision = await self.ledger.scan(JOB_PREFIX)
        for row in rows:
            self.add(msgspec.json.decode(row.v, type=JobValue), row.stamp, observe=False)
        rows, _ = await self.ledger.scan(TASK_PREFIX)
        self.orphans.clear()
        for row in rows:
            name, _, number = row.k.removeprefix(TASK_PREFIX).rpartition("/")
            job = self.jobs.get(name)
            if job is None:
                self.orphans.append(row.k)
                continue
            value = msgspec.json.decode(row.v, type=PageValue)
            job.load_page(int(number), value, row.stamp)
        rows, _ = await self.ledger.scan(LOG_PREFIX)
        segments = [(r.k, r.stamp, msgspec.json.decode(r.v, type=SegmentValue)) for r in rows]
        for lsn, segment, entry in self.log.load(segments):
            for name, ops in entry.jobs:
                job = self.jobs.get(name)
                if job is not None:
                    segment.refs |= {(name, page) for page in job.replay(lsn, ops)}
        # A page can be ahead of all segments that are left.
        pages = [page for job in self.jobs.values() for page in job.pages.values()]
        self.log.lsn = max([self.log.lsn, *(page.upto for page in pages)])
        self.log.forget(set())
        self.flush_wanted.set()
        return [attempt for job in self.jobs.values() for attempt in job.live.values()]

    def add(self, value: JobValue, stamp: int, observe: bool) -> None:
        """A job that some node has accepted."""
        name = value.spec.nameId
        if name in self.jobs or name in self.over:
            return  # only the leader changes a job after its submission
        job = self.jobs[name] = Job(value, stamp, self.log)
        if observe:
            self.queues.observe_submission(job)
        log.debug("job %s: %d tasks", name, job.spec.tasks)
        self.on_job()

    async def watch(self) -> None:
        """Learn of submissions, which any node commits."""
        while True:
            try:
                changes = await self.ledger.changes(
                    JOB_PREFIX, self.revision, constants.WATCH_BLOCK_S
                )
            except Compacted:
                self.revision = 0
            except (NoAnswer, NotExecuted) as error:
                log.debug("watch: %s", error)
                await asyncio.sleep(constants.STATE_PAUSE_S)
                continue
            else:
                for change in changes.log:
                    if change.write is not None:
                        value = msgspec.json.decode(change.v, type=JobValue)
                        self.add(value, change.stamp, observe=True)
                self.revision = max(self.revision, changes.ledgerRev)
            while self.revision == 0:
                try:
                    rows, self.revision = await self.ledger.scan(JOB_PREFIX)
                except (NoAnswer, NotExecuted):
                    await asyncio.sleep(constants.STATE_PAUSE_S)
                    continue
                for row in rows:
                    self.add(msgspec.json.decode(row.v, type=JobValue), row.stamp, observe=True)

    # -- writing ------------------------------------------------------------------

    def _wanted(self) -> Iterator[list[Write]]:
        """All that is to be written, in order of urgency; what belongs together at once."""
        flush = self.log.take()
        if flush is not None:
            # Attempts and outcomes of all jobs: machines wait for the first, room for the second.
            segment = flush.segment
            done = partial(self.log.saved, flush)
            yield [Write(segment.key, segment.stamp, flush.value, done)]
        for job in self.jobs.values():
            if job.over:
                yield self._end_writes(job)
            elif job.aborting:
                value = _raw(JobValue(job.spec, job.at, True))
                key = JOB_PREFIX + job.name
                yield [Write(key, job.stamp, value, partial(self._aborted, job))]
        if flush is None or flush.count == len(self.log.pending):
            # Memory is now just what the log says, so that pages can stand for it.
            lsn = self.log.lsn if flush is None else flush.lsn
            for name, number in list(dict.fromkeys(self.log.stale())):
                if self.jobs[name].over:
                    continue  # its end makes the page needless
                page = self.jobs[name].pages[number]
                done = partial(self._page_saved, page, (name, number), lsn)
                yield [Write(page.key, page.stamp, _raw(page.value(lsn)), done)]
        if self.queues.dirty:
            value = _raw(self.queues.shares)
            yield [Write(SHARES_KEY, self.queues.stamp, value, self._shares_saved)]
        if self.flavors_dirty:
            value = _raw(FlavorsValue(list(self.flavors.values())))
            yield [Write(FLAVORS_KEY, self.flavors_stamp, value, self._flavors_saved)]
        for key in list(self.orphans):
            yield [Write(key, -1, None, partial(self._orphan_removed, key))]

    def collect(self) -> list[Write]:
        """The next commit's changes: as many as a commit may hold and the budget has now."""
        state = self.settings.cluster.state
        most = min(state.txn_ops, max(3, int(self.ledger.writes.level())))
        size = constants.COMMIT_MAX_B - constants.VALUE_SPARE_B
        out: list[Write] = []
        for writes in self._wanted():
            size -= sum(write.size for write in writes)
            if len(out) + len(writes) > most or (out and size < 0):
                break
            out += writes
        return out

    def _end_writes(self, job: Job) -> list[Write]:
        status = "withdrawn" if job.aborted else "done"
        end = _raw({"status": status, "tasks": job.done})

        def ended(revision: int) -> None:
            self.jobs.pop(job.name, None)
            self.over[job.name] = None
            self.remember(job.name, status, job.done)
            self.orphans += [page.key for page in job.pages.values() if page.stamp]
            self.log.forget({(job.name, number) for number in job.pages})
            log.info("job %s: %s", job.name, status)

        return [
            Write(END_PREFIX + job.name, 0, end, ended),
            Write(JOB_PREFIX + job.name, job.stamp, None, lambda _: None),
        ]

    def _aborted(self, job: Job, revision: int) -> None:
        job.stamp, job.aborted, job.aborting = revision, True, False
        for attempt in job.live.values():
            attempt.kill_at = attempt.kill_at or self.clock.now()
        log.info("job %s: aborted with %d live attempts", job.name, len(job.live))

    def _page_saved(self, page: Page, name: PageName, lsn: int, revision: int) -> None:
        page.stamp, page.upto = revision, lsn
        self.log.forget({name})

    def _shares_saved(self, revision: int) -> None:
        self.queues.stamp = revision

    def _flavors_saved(self, revision: int) -> None:
        self.flavors_stamp = revision

    def _orphan_removed(self, key: str, revision: int) -> None:
        self.orphans.remove(key)

    async def flush(self) -> None:
        """Work off what is to be written, for ever."""
        while True:
            await self.flush_wanted.wait()
            await asyncio.sleep(constants.COALESCE_S)
            self.flush_wanted.clear()
            while writes := self.collect():
                for write in writes:
                    if write.key == SHARES_KEY:
                        self.queues.dirty = False
                    elif write.key == FLAVORS_KEY:
                        self.flavors_dirty = False
                revision = await self._commit(writes)
                for write in writes:
                    write.done(revision)
                self.committed.fire()

    async def _commit(self, writes: list[Write]) -> int:
        """Commit until it is known to be applied; any surprise ends the term.

        Each key is conditioned on its last known revision, so a copy of this
        commit that is applied late, after a newer one, fails.
        """
        conditions = {LEADER_KEY: self.token}
        conditions.update({w.key: w.stamp for w in writes if w.stamp >= 0})
        apply: list[dict[str, Any]] = [
            {"remove": w.key} if w.value is None else {"write": w.key, "v": w.value} for w in writes
        ]
        unsure = False
        while True:
            try:
                return await self.ledger.commit(conditions, apply)
            except NotExecuted:
                await asyncio.sleep(constants.STATE_PAUSE_S)
            except NoAnswer:
                unsure = True
                await asyncio.sleep(constants.STATE_PAUSE_S)
            except Conflict as conflict:
                if not unsure or LEADER_KEY in conflict.failed:
                    log.warning("%s; stepping down", conflict)
                    self.leadership.depose()
                    await asyncio.Event().wait()  # the term's tasks are cancelled now
                # An earlier copy was applied: its revision is that of any key it wrote.
                revision = await self._applied_at(writes)
                if revision:
                    return revision
            except Rejected as error:
                log.error("commit rejected: %s; stepping down", error)
                self.leadership.depose()
                await asyncio.Event().wait()

    async def _applied_at(self, writes: list[Write]) -> int:
        key = next((w.key for w in writes if w.value is not None and w.stamp >= 0), None)
        if key is None:
            return self.token  # removals only: nothing keeps their revision
        try:
            row = await self.ledger.get(key)
        except (NoAnswer, NotExecuted):
            return 0
        return row.stamp if row is not None else 0
