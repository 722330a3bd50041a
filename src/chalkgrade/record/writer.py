"""Working off what the book wants written, in as few commits as the budget allows.

Each commit is fenced by the token and conditioned on the last known revision of
every key that it writes, so that none can be applied late.
"""

import asyncio
import logging
from functools import partial
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record.changes import Batch, KeyWrite, RecordChange
from chalkgrade.record.in_flight import InFlightCommits
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX, JobValue
from chalkgrade.record.registry import JobRegistry
from chalkgrade.state.leadership import LEADER_KEY
from chalkgrade.state.ledger import Conflict, NotExecuted, Rejected
from chalkgrade.state.office import Office

log = logging.getLogger("chalkgrade.record")

Edits = dict[Batch, dict[str, bytes | None]]


class Writer:
    """Memory runs ahead of the state service; this is the loop that closes the gap."""

    def __init__(self, office: Office, book: JobRegistry) -> None:
        self.admitted_at = -1e9  # when the last commit of submissions was sent
        self.office = office
        self.registry = book
        self.ledger = office.ledger
        self.in_flight = InFlightCommits()  # of the commits that are under way
        self.progress_count = (
            0  # how often the main lane had nothing left to write, or wrote something
        )
        self.is_idle = True  # the main lane has nothing to write
        self.unwritable_sizes: dict[
            str, int
        ] = {}  # key -> bytes of a value that no commit can hold

    def collect_changes(self) -> tuple[list[RecordChange], Edits]:
        """The next commit's changes: as many as a commit may hold and the budget has now."""
        limits = self.ledger.limits
        most = min(limits.txn_ops, max(constants.END_OPS, int(self.ledger.writes.level())))
        room = constants.COMMIT_MAX_B - constants.VALUE_SPARE_B
        conditions = limits.conditions - most - 1
        out: list[RecordChange] = []
        edits: Edits = {}
        missed = 0
        for change in self.registry.pending_changes():
            if change.batch is not None and change.batch.has_open_commit:
                continue  # its records change right now: once that is durable
            if self._exceeds_limit(change):
                continue  # it would be refused, now and for ever: a record made under others
            new = change.batch is not None and change.batch not in edits
            writes = len(change.writes) + new
            size = sum(write.size for write in change.writes)
            size += sum(len(value or b"") + 80 for value in change.edits.values())
            if new and change.batch is not None:
                size += change.batch.size + 120
            if writes > most or (out and (size > room or len(change.absent_keys) > conditions)):
                missed += 1
                if missed > constants.MISSES:
                    break
                continue  # something smaller behind it may fit
            most, room, conditions = (
                most - writes,
                room - size,
                conditions - len(change.absent_keys),
            )
            out.append(change)
            if change.batch is not None:
                edits.setdefault(change.batch, {}).update(change.edits)
        return out, edits

    def _exceeds_limit(self, change: RecordChange) -> bool:
        """Whether a change has a value over the limit; said once for each value."""
        most = self.ledger.limits.rewrite_b
        refused = False
        for write in change.writes:
            size = len(write.value or b"")
            if size <= most:
                self.unwritable_sizes.pop(write.key, None)
                continue
            refused = True
            if self.unwritable_sizes.get(write.key) != size:
                self.unwritable_sizes[write.key] = size
                log.warning(
                    "%s can't be written: %d bytes of %d; %d operations of the log wait",
                    write.key,
                    size,
                    most,
                    len(self.registry.oplog.pending),
                )
        return refused

    def _progress_mark(self) -> tuple[str, int]:
        """What changes as the main lane writes.

        While operations of the log wait it is the log itself: the starts and ends of tasks do not
        become durable by other changes that are written beside them.
        """
        attempts = self.registry.oplog
        if attempts.pending:
            return "log", attempts.durable_count
        return "lane", self.progress_count

    async def run_main_lane(self) -> None:
        """Work off what is to be written, for ever."""
        while True:
            await self.registry.flush_wanted.wait()
            self.is_idle = False
            await asyncio.sleep(constants.COALESCE_S)
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
        """Return once the main lane has stood for long while this node surely led.

        Found on the bench: for seven minutes a leader placed work that was never written, with
        machines idle, and nothing said so (a value of the log was too long, see `oplog`). Whatever
        makes it stand, the next leader reads the record and goes on.
        """
        stood, seen = 0.0, self._progress_mark()
        while stood < constants.STALL_S:
            await asyncio.sleep(constants.STALL_LOOK_S)
            now = self._progress_mark()
            moved = self.is_idle or now != seen or not self.office.leadership.acting()
            stood, seen = 0.0 if moved else stood + constants.STALL_LOOK_S, now
        log.error("nothing was written for %.0f s though there is much; stepping down", stood)

    async def _wait_for_ends(self) -> None:
        """Where changes are short, wait for as many as the ends that wait can share.

        An end alone takes its final key, its batch and often the log; many take one each and
        the rest together. With as few as one end takes, a commit went out whenever they were
        at hand, and what could be written was a third of what it might be (found in the region:
        four small jobs a second were told done after a minute).
        """
        writes, began = self.ledger.writes, self.office.clock.now()
        while self.office.clock.now() < began + constants.GATHER_S:
            worth = min(
                constants.END_OPS + len(self.registry.ending),
                constants.GATHER_PART * writes.burst,
                self.ledger.limits.txn_ops,
            )
            if len(self.registry.ending) < 2 or writes.level() >= worth:
                return
            await asyncio.sleep(constants.COALESCE_S)

    async def _wait_for_submissions(self) -> None:
        """Where changes are short, submissions share them, and leave as many to the rest.

        Each alone takes one, before any of several that ends need at once are at hand.
        """
        writes, now = self.ledger.writes, self.office.clock.now
        if writes.level() < constants.ALONE_PART * writes.burst:
            await asyncio.sleep(constants.COALESCE_S)  # share a change with others
        while writes.level() < constants.ALONE_PART * writes.burst:
            left = self.admitted_at + 1 / (constants.ADMIT_PART * writes.rate) - now()
            if left <= 0:
                break
            await asyncio.sleep(min(left, constants.COALESCE_S))

    async def run_admissions(self) -> None:
        """Make submissions durable, for ever; several such loops run at once.

        They share nothing with what else is written. Behind commits one after the
        other, each submission would wait for the slowest of them: where the state
        service takes 75 ms, and now and then two seconds, most waited too long.
        """
        while True:
            await self.registry.admit_wanted.wait()
            await self._wait_for_submissions()
            change = self.registry.next_admission_change()
            if change is None or change.batch is None:
                self.registry.admit_wanted.clear()
                continue
            self.admitted_at = self.office.clock.now()
            await self._write([change], {change.batch: change.edits})
            for admission in change.admissions:
                admission.sent = False  # those that are still wanted: others were known
            self.registry.admit_wanted.set()

    async def _write(self, changes: list[RecordChange], edits: Edits) -> None:
        """One commit, and what follows from it."""
        for batch in edits:
            batch.has_open_commit = True
        self.in_flight.begin(changes)
        try:
            revision = await self._commit(changes, edits)
        finally:
            for batch in edits:
                batch.has_open_commit = False
        if revision:  # else some submissions were known: again without them
            for batch, edit in edits.items():
                batch.mark_saved(edit, revision)
                if not batch.records:
                    self.registry.batches.pop(batch.key, None)
            for change in changes:
                change.on_durable(revision)
        # In one step with what it changed: in between, an answer would be the old one. A term
        # that ends within a commit leaves it open.
        self.in_flight.resolve(changes)
        self.registry.committed.fire()
        self.registry.flush_wanted.set()  # ends may have waited for a batch

    async def _commit(self, changes: list[RecordChange], edits: Edits) -> int:
        """Commit until it is known to be applied; any surprise ends the term.

        Each key is conditioned on its last known revision, so a copy of this
        commit that is applied late, after a newer one, fails. 0: nothing was
        done, since submissions in it were accepted elsewhere before, or since the
        limits have fallen and all is to be made anew within them.
        """
        writes = [write for change in changes for write in change.writes]
        writes += [batch.key_write(edit) for batch, edit in edits.items()]
        conditions = {key: 0 for change in changes for key in change.absent_keys}
        conditions |= {write.key: write.stamp for write in writes if write.stamp >= 0}
        conditions[LEADER_KEY] = self.office.token
        apply: list[dict[str, Any]] = [
            {"remove": w.key} if w.value is None else {"write": w.key, "v": w.value} for w in writes
        ]
        unsure = False
        while True:
            # After a long silence another may lead: the fence would refuse this, at the
            # cost of changes that are the new leader's by now.
            while not self.office.leadership.acting():
                await asyncio.sleep(constants.STATE_PAUSE_S)
            try:
                async with asyncio.timeout(constants.COMMIT_MOST_S):
                    return await self.ledger.settled(
                        self.ledger.commit_hedged(conditions, apply),
                        partial(self._applied_revision_or_zero, writes),
                    )
            except NotExecuted:
                await asyncio.sleep(constants.STATE_PAUSE_S)
            except (NoAnswer, TimeoutError):
                unsure = True
                await asyncio.sleep(constants.STATE_PAUSE_S)
            except Conflict as conflict:
                unsure = unsure or conflict.unsure
                if unsure and LEADER_KEY not in conflict.failed:
                    # First of all whether another copy was applied: taken for refused, a
                    # batch would stay in the record after its jobs' ends.
                    revision = await self._applied_revision(writes)
                    if revision is None:
                        await asyncio.sleep(constants.STATE_PAUSE_S)
                        continue
                    if revision:
                        return revision
                if await self._drop_known_submissions(changes, conflict.failed):
                    return 0
                log.warning("%s; stepping down", conflict)
                self.office.leadership.depose()
                await asyncio.Event().wait()  # the term's tasks are cancelled now
            except Rejected as error:
                largest = max((len(w.value) for w in writes if w.value is not None), default=0)
                if self.ledger.limits.refused(largest):
                    # A copy of it that was lost may have been applied before they fell.
                    log.warning("the state service's limits have fallen: %s", error)
                    revision = await self._applied_revision(writes) if unsure else 0
                    while revision is None:
                        await asyncio.sleep(constants.STATE_PAUSE_S)
                        revision = await self._applied_revision(writes)
                    return revision
                log.error("commit rejected: %s; stepping down", error)
                self.office.leadership.depose()
                await asyncio.Event().wait()

    async def _drop_known_submissions(self, changes: list[RecordChange], failed: list[str]) -> bool:
        """Whether a commit failed only for jobs that other nodes accepted too; it is made anew.

        Submissions among them are taken out: they are known. A job that is over
        and turns out to have a second record ends with both. No copy of the
        commit can be applied later either: the keys stay, or turn into final ones.
        """
        guards = {
            prefix + admission.value.spec.nameId: admission
            for change in changes
            for admission in change.admissions
            for prefix in (JOB_PREFIX, END_PREFIX)
        }
        absent = {key for change in changes for key in change.absent_keys}
        doubles = {key for key in absent if key.startswith(JOB_PREFIX)} - guards.keys()
        if not failed or not all(key in guards or key in doubles for key in failed):
            return False
        for key in failed:
            if key in guards:
                self.registry.resolve_admission(guards[key], False)
                continue
            try:
                row = await self.ledger.get(key)
            except (NoAnswer, NotExecuted):
                continue  # met again by the next commit
            if row is not None:
                self.registry.add(
                    msgspec.json.decode(row.v, type=JobValue), row.stamp, observe=False
                )
        return True

    async def _applied_revision_or_zero(self, writes: list[KeyWrite]) -> int:
        """As `_applied_at`, while the commit is under way: 0 where that is not known."""
        return await self._applied_revision(writes) or 0

    async def _applied_revision(self, writes: list[KeyWrite]) -> int | None:
        """The revision at which a copy of a commit was applied, 0 if none was; None: unknown.

        Nobody else writes these keys while the lead is ours, so that a new revision of one, or
        its absence where there are removals only, is the copy's if the leader key is still ours
        after it was read. Else it may be the next leader's: after a standstill here,
        submissions of a batch that it has rewritten passed for accepted. Of a job's own key that
        is made anew, which another node may make too, the value tells whose it is: its
        submission passed for the cancellation that is written there (found by reading).
        """
        kept = [w for w in writes if w.value is not None and w.stamp >= 0]
        write = min(kept or writes[:1], key=_may_be_written_elsewhere)
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
            lead = await self.ledger.get(LEADER_KEY)
        except (NoAnswer, NotExecuted):
            return None
        if lead is None or lead.stamp != self.office.token:
            return None
        return stamp or self.office.token  # of removals nothing keeps the revision


def _may_be_written_elsewhere(write: KeyWrite) -> bool:
    """Whether another node may make the same key: a job's own, by a repeated submission."""
    return write.key.startswith(JOB_PREFIX) and write.stamp == 0


def _decode_record(raw: Any) -> JobValue:
    return msgspec.json.decode(raw, type=JobValue)
