"""The loops that commit the registry's pending changes, in as few commits as the budget allows.

Each commit is fenced by the leader token and conditioned on the last known revision of every key
that it writes, so that a copy that arrives late can't be applied.
"""

import asyncio
import logging
from functools import partial
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record.changes import Batch, KeyWrite, RecordChange, conditions_size
from chalkgrade.record.in_flight import InFlightCommits
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX, JobValue
from chalkgrade.record.registry import JobRegistry
from chalkgrade.state.client import Conflict, NotExecuted, Rejected
from chalkgrade.state.leader_context import LeaderContext
from chalkgrade.state.leadership import LEADER_KEY

log = logging.getLogger("chalkgrade.record")

# The record edits of one commit, by batch: job name -> new record, None: removed.
Edits = dict[Batch, dict[str, bytes | None]]


class Writer:
    """Commits the changes by which the leader's memory is ahead of the state service."""

    def __init__(self, context: LeaderContext, registry: JobRegistry) -> None:
        self.admitted_at = -1e9  # when the last commit of submissions was sent
        self.context = context
        self.registry = registry
        self.ledger = context.ledger
        self.in_flight = InFlightCommits()  # the commits in progress
        self.progress_count = 0  # commits of the main lane, and times that it became idle
        self.is_idle = True  # the main lane has nothing to write
        self.unwritable_sizes: dict[str, int] = {}  # key -> bytes of a value over the size limit

    def collect_changes(self) -> tuple[list[RecordChange], Edits]:
        """Select the changes of the next commit, within its limits and the current budget."""
        limits = self.ledger.limits
        ops_left = min(
            limits.txn_ops, max(constants.JOB_END_OPS, int(self.ledger.writes.available_tokens()))
        )
        bytes_left = constants.MAX_COMMIT_BYTES - constants.COMMIT_HEADROOM_BYTES
        conditions_left = limits.max_conditions - ops_left - 1
        out: list[RecordChange] = []
        edits: Edits = {}
        skipped = 0
        for change in self.registry.pending_changes():
            if change.batch is not None and change.batch.has_open_commit:
                continue  # a commit of this batch is in progress: wait for it
            if self._exceeds_limit(change):
                continue  # a value over the limit would always be rejected
            adds_batch = change.batch is not None and change.batch not in edits
            op_count = len(change.writes) + adds_batch
            size = sum(write.size for write in change.writes)
            size += conditions_size(change.absent_keys)
            size += sum(len(value or b"") + 80 for value in change.edits.values())
            if adds_batch and change.batch is not None:
                size += change.batch.size + 120
            if op_count > ops_left or (
                out and (size > bytes_left or len(change.absent_keys) > conditions_left)
            ):
                skipped += 1
                if skipped > constants.MAX_SKIPPED_CHANGES:
                    break
                continue  # a smaller change after it may fit
            ops_left, bytes_left, conditions_left = (
                ops_left - op_count,
                bytes_left - size,
                conditions_left - len(change.absent_keys),
            )
            out.append(change)
            if change.batch is not None:
                edits.setdefault(change.batch, {}).update(change.edits)
        return out, edits

    def _exceeds_limit(self, change: RecordChange) -> bool:
        """Whether a change has a value over the size limit; logged once for each value."""
        max_b = self.ledger.limits.max_rewrite_bytes
        exceeds = False
        for write in change.writes:
            size = len(write.value or b"")
            if size <= max_b:
                self.unwritable_sizes.pop(write.key, None)
                continue
            exceeds = True
            if self.unwritable_sizes.get(write.key) != size:
                self.unwritable_sizes[write.key] = size
                log.warning(
                    "value can't be written: %s takes %d bytes of %d; %d log operations wait",
                    write.key,
                    size,
                    max_b,
                    len(self.registry.oplog.pending),
                )
        return exceeds

    def _progress_mark(self) -> tuple[str, int]:
        """Return a value that changes whenever the main lane makes progress.

        While log operations are pending only the log counts. Other changes that are written
        meanwhile don't make the starts and ends of tasks durable.
        """
        oplog = self.registry.oplog
        if oplog.pending:
            return "log", oplog.durable_count
        return "lane", self.progress_count

    async def run_main_lane(self) -> None:
        """Commit pending changes as they come up, until cancelled."""
        while True:
            await self.registry.flush_wanted.wait()
            self.is_idle = False
            await asyncio.sleep(constants.COMMIT_COALESCING_S)
            self.registry.flush_wanted.clear()
            while True:
                await self._wait_for_ends()
                changes, edits = self.collect_changes()
                if not changes:
                    break
                await self._write(changes, edits)
                self.progress_count += 1
            self.is_idle = not self.registry.oplog.pending
            self.progress_count += self.is_idle

    async def wait_for_stall(self) -> None:
        """Return once the main lane has made no progress for WRITE_STALL_S while this node led.

        Without this check, one log value that was too long (see `oplog`) let a leader place work
        for seven minutes that was never written, while machines were idle and nothing was logged.
        Whatever the cause of a stall, the next leader reads the record and continues.
        """
        stalled_s, last_mark = 0.0, self._progress_mark()
        while stalled_s < constants.WRITE_STALL_S:
            await asyncio.sleep(constants.WRITE_STALL_CHECK_INTERVAL_S)
            mark = self._progress_mark()
            made_progress = (
                self.is_idle or mark != last_mark or not self.context.leadership.may_act()
            )
            stalled_s, last_mark = (
                0.0 if made_progress else stalled_s + constants.WRITE_STALL_CHECK_INTERVAL_S,
                mark,
            )
        log.error(
            "write stall: nothing committed for %.0f s with changes pending; stepping down",
            stalled_s,
        )

    async def _wait_for_ends(self) -> None:
        """Where the change budget is low, wait until one commit can hold all waiting ends.

        A single end takes three changes: its final key, its batch and often the log. Many ends
        take one change each and share the others. If a commit were sent as soon as the budget
        allows a single end, a third of the possible ends would be written: at four small jobs a
        second, users were told that a job is done only a minute after its end.
        """
        writes, started_at = self.ledger.writes, self.context.clock.now()
        while self.context.clock.now() < started_at + constants.MAX_JOB_END_BATCH_WAIT_S:
            needed_ops = min(
                constants.JOB_END_OPS + len(self.registry.ending),
                constants.JOB_END_BATCH_RATIO * writes.max_tokens,
                self.ledger.limits.txn_ops,
            )
            if len(self.registry.ending) < 2 or writes.available_tokens() >= needed_ops:
                return
            await asyncio.sleep(constants.COMMIT_COALESCING_S)

    async def _wait_for_submissions(self) -> None:
        """Where the change budget is low, delay so that submissions share commits.

        Half of the budget is left to other changes. Submissions need one change each, and would
        otherwise take every change before the several that an end needs at once are available.
        """
        writes, now = self.ledger.writes, self.context.clock.now
        if writes.available_tokens() < constants.UNBATCHED_ADMISSION_RATIO * writes.max_tokens:
            await asyncio.sleep(constants.COMMIT_COALESCING_S)  # let more submissions join
        while writes.available_tokens() < constants.UNBATCHED_ADMISSION_RATIO * writes.max_tokens:
            pause_s = (
                self.admitted_at
                + 1 / (constants.ADMISSION_WRITE_RATE_RATIO * writes.rate_per_s)
                - now()
            )
            if pause_s <= 0:
                break
            await asyncio.sleep(min(pause_s, constants.COMMIT_COALESCING_S))

    async def run_admissions(self) -> None:
        """Commit submissions until cancelled; several such loops run at once.

        They are independent of the main lane. In one sequence of commits each submission would
        wait for the slowest commit before it: with a state service that takes 75 ms and
        occasionally two seconds, most submissions would wait too long.
        """
        while True:
            await self.registry.admit_wanted.wait()
            await self._wait_for_submissions()
            change = self.registry.next_admission_change()
            if change is None or change.batch is None:
                self.registry.admit_wanted.clear()
                continue
            self.admitted_at = self.context.clock.now()
            await self._write([change], {change.batch: change.edits})
            for admission in change.admissions:
                admission.sent = False  # retry those left; others are resolved
            self.registry.admit_wanted.set()

    async def _write(self, changes: list[RecordChange], edits: Edits) -> None:
        """Commit changes and run their callbacks."""
        for batch in edits:
            batch.has_open_commit = True
        self.in_flight.begin(changes)
        try:
            revision = await self._commit(changes, edits)
        finally:
            for batch in edits:
                batch.has_open_commit = False
        if revision:  # otherwise some submissions were known: retry without them
            for batch, edit in edits.items():
                batch.mark_saved(edit, revision)
                if not batch.records:
                    self.registry.batches.pop(batch.key, None)
            for change in changes:
                change.on_durable(revision)
        # Without a suspension point after the callbacks: a status read in between would be
        # outdated. If the term ends during a commit, the commit stays registered as open.
        self.in_flight.resolve(changes)
        self.registry.committed.fire()
        self.registry.flush_wanted.set()  # ends may have waited for a batch in use

    async def _commit(self, changes: list[RecordChange], edits: Edits) -> int:
        """Repeat a commit until it is known to be applied; returns its revision.

        Each key is conditioned on its last known revision, so a copy of this commit that is
        executed after a newer one fails. Returns 0 if nothing was done, because other nodes had
        accepted submissions in it before, or because the service's limits were reduced and the
        changes must be made again within them. Any other conflict or rejection ends the term.
        """
        writes = [write for change in changes for write in change.writes]
        writes += [batch.key_write(edit) for batch, edit in edits.items()]
        conditions = {key: 0 for change in changes for key in change.absent_keys}
        conditions |= {write.key: write.stamp for write in writes if write.stamp >= 0}
        conditions[LEADER_KEY] = self.context.token
        apply: list[dict[str, Any]] = [
            {"remove": w.key} if w.value is None else {"write": w.key, "v": w.value} for w in writes
        ]
        maybe_applied = False
        while True:
            # After a long silence another node may lead. The fence would reject this commit, but
            # it would use up changes of the budget that belongs to the new leader by then.
            while not self.context.leadership.may_act():
                await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
            try:
                async with asyncio.timeout(constants.COMMIT_TIMEOUT_S):
                    return await self.ledger.commit_or_observe(
                        self.ledger.commit_hedged(conditions, apply),
                        partial(self._applied_revision_or_zero, writes),
                    )
            except NotExecuted:
                await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
            except (NoAnswer, TimeoutError):
                maybe_applied = True
                await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
            except Conflict as conflict:
                maybe_applied = maybe_applied or conflict.maybe_applied
                if maybe_applied and LEADER_KEY not in conflict.failed:
                    # Check first whether another copy was applied. If an applied commit passed
                    # for rejected, its batch would stay in the record after its jobs' ends.
                    revision = await self._applied_revision(writes)
                    if revision is None:
                        await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
                        continue
                    if revision:
                        return revision
                if await self._drop_known_submissions(changes, conflict.failed):
                    return 0
                log.warning("commit conflict: %s; stepping down", conflict)
                self.context.leadership.step_down()
                await asyncio.Event().wait()  # the term's tasks are cancelled meanwhile
            except Rejected as error:
                largest = max((len(w.value) for w in writes if w.value is not None), default=0)
                if self.ledger.limits.note_rejected_commit(largest):
                    # A copy with a lost answer may have been applied before the reduction.
                    log.warning("state service limits reduced: %s", error)
                    revision = await self._applied_revision(writes) if maybe_applied else 0
                    while revision is None:
                        await asyncio.sleep(constants.STATE_RETRY_INTERVAL_S)
                        revision = await self._applied_revision(writes)
                    return revision
                log.error("commit rejected: %s; stepping down", error)
                self.context.leadership.step_down()
                await asyncio.Event().wait()

    async def _drop_known_submissions(self, changes: list[RecordChange], failed: list[str]) -> bool:
        """Whether a commit failed only because other nodes had accepted the same jobs.

        Submissions of these jobs are resolved as known, and the commit is made again without
        them. A job that is over and has a second record gets an end that removes both records.
        No copy of the failed commit can be applied later: the keys stay or become final keys.
        """
        admissions_by_key = {
            prefix + admission.value.spec.nameId: admission
            for change in changes
            for admission in change.admissions
            for prefix in (JOB_PREFIX, END_PREFIX)
        }
        absent_keys = {key for change in changes for key in change.absent_keys}
        second_records = {
            key for key in absent_keys if key.startswith(JOB_PREFIX)
        } - admissions_by_key.keys()
        if not failed or not all(
            key in admissions_by_key or key in second_records for key in failed
        ):
            return False
        for key in failed:
            if key in admissions_by_key:
                self.registry.resolve_admission(admissions_by_key[key], False)
                continue
            try:
                row = await self.ledger.get(key)
            except (NoAnswer, NotExecuted):
                continue  # the next commit fails on it again
            if row is not None:
                self.registry.add(
                    msgspec.json.decode(row.v, type=JobValue), row.stamp, observe=False
                )
        return True

    async def _applied_revision_or_zero(self, writes: list[KeyWrite]) -> int:
        """Return `_applied_revision`, or 0 where it is unknown, while a commit is in progress."""
        return await self._applied_revision(writes) or 0

    async def _applied_revision(self, writes: list[KeyWrite]) -> int | None:
        """Return the revision at which a copy of a commit was applied; 0: none was, None: unknown.

        Only the leader writes these keys. So a new revision of a key, or its absence if the commit
        has removals only, comes from a copy of the commit, provided that the leader key is still
        ours when it is read afterwards. Otherwise it may come from the next leader: after a pause
        of this process, submissions of a batch that the next leader had rewritten would pass for
        accepted. A job's own key that is being created may be created by another node too, with
        a submission of the same job. There the value decides; otherwise that submission would
        pass for the cancellation that this commit writes.
        """
        written = [w for w in writes if w.value is not None and w.stamp >= 0]
        write = min(written or writes[:1], key=_may_be_written_elsewhere)
        try:
            row = await self.ledger.get(write.key)
            stamp = 0 if row is None else row.stamp
            if bool(stamp) != (write.value is not None) or stamp == write.stamp:
                return 0
            if (
                _may_be_written_elsewhere(write)
                and row is not None
                and _decode_record(row.v) != _decode_record(write.value)
            ):
                return 0
            leader_row = await self.ledger.get(LEADER_KEY)
        except (NoAnswer, NotExecuted):
            return None
        if leader_row is None or leader_row.stamp != self.context.token:
            return None
        return stamp or self.context.token  # the revision of a removal is not stored anywhere


def _may_be_written_elsewhere(write: KeyWrite) -> bool:
    """Whether another node may create this key: a job's own, by a repeated submission."""
    return write.key.startswith(JOB_PREFIX) and write.stamp == 0


def _decode_record(raw: Any) -> JobValue:
    return msgspec.json.decode(raw, type=JobValue)
