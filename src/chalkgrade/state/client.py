"""The state-service client: budgets, commits, lists and watches.

Every answer is told apart by what it means: executed, refused, not executed,
or unknown. An unknown commit may still be applied minutes later, so all
commits carry conditions that a later state of the same keys no longer meets.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import Bucket, Clock, Http, NoAnswer, decode, encode
from chalkgrade.settings import StateLimits
from chalkgrade.state.limits import EffectiveLimits


class Row(msgspec.Struct):
    k: str
    v: msgspec.Raw
    stamp: int
    permit: int | None = None  # the lease it is attached to; only a read of one key tells


class KeyPage(msgspec.Struct):
    rows: list[Row]
    ledgerRev: int
    more: bool = False


class KeyChange(msgspec.Struct):
    stamp: int
    write: str | None = None
    remove: str | None = None
    v: msgspec.Raw = msgspec.Raw(b"null")


class KeyChanges(msgspec.Struct):
    ledgerRev: int
    log: list[KeyChange] = []


class RevisionReply(msgspec.Struct):
    ledgerRev: int


class ConflictReply(msgspec.Struct):
    failed: list[str] = []
    ledgerRev: int = 0


class LeaseGrant(msgspec.Struct):
    permit: int


class NotExecuted(Exception):
    """The service said that it did nothing (503, 429)."""


class Conflict(Exception):
    """A condition of a commit did not hold."""

    def __init__(self, failed: list[str], maybe_applied: bool = False) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed
        self.maybe_applied = maybe_applied  # another copy of the commit may have been applied


class Rejected(Exception):
    """A request that the service calls malformed, or a lease that is gone."""


class Compacted(Exception):
    """A watch asked for changes that are no longer kept."""


class LedgerClient:
    """One node's dealings with the state service."""

    def __init__(
        self, http: Http, clock: Clock, addr: str, limits: StateLimits, nodes: int = 1
    ) -> None:
        self._http = http
        self._clock = clock
        self._addr = addr
        self.limits = EffectiveLimits(limits)
        self._other_nodes = max(0, nodes - 1)
        self.requests = Bucket(clock, 1.0, 1.0)
        self.writes = Bucket(clock, 1.0, 1.0)
        # What users' questions may take of `requests`: a storm of them must leave the
        # lease, commits and watches their part.
        self.queries = Bucket(clock, 1.0, 1.0)
        self.set_leading(False)
        for bucket in (self.requests, self.writes, self.queries):
            bucket.fill()
        self.answered_at = -1e9
        self.response_counts: dict[str, int] = {}
        self._commit_times_s: deque[float] = deque(
            maxlen=constants.LATENCIES
        )  # s; commits, of late
        self._response_times_s: deque[float] = deque(
            maxlen=constants.LATENCIES
        )  # s; all but watches
        self.highest_revision = 0  # the highest, and when it was
        self.highest_revision_at = clock.now()

    def set_leading(self, leading: bool) -> None:
        """Change this node's parts of the shared budgets.

        All nodes' parts together are the limit: the leader's, and the rest in
        equal parts for the others. What a new leader gains it has to wait for,
        so that it does not spend what the last one has spent already.
        """
        for bucket, limit, part in (
            (self.requests, self.limits.rps, constants.LEADER_REQUEST_SHARE),
            (self.writes, self.limits.write_rps, constants.LEADER_WRITE_SHARE),
        ):
            share = part if leading else (1 - part) / max(1, self._other_nodes)
            share = share if self._other_nodes else 1.0
            bucket.resize(limit * share)
        self.queries.resize(self.requests.rate * constants.ASKING_SHARE)

    def has_recent_answer(self) -> bool:
        """Whether the service answered lately."""
        return self._clock.now() - self.answered_at < constants.STATE_STALE_S

    async def _call(
        self, method: str, path: str, body: Any = None, timeout: float = constants.STATE_TIMEOUT_S
    ) -> tuple[int, bytes]:
        await self.requests.wait()
        payload = None if body is None else encode(body)
        began = self._clock.now()
        try:
            status, data = await self._http.call(self._addr, method, path, payload, timeout)
        except NoAnswer:
            if not path.startswith("/changes") and self.answered_at > began:
                self._response_times_s.append(timeout)  # it is slow, not out of reach
            self.response_counts["no answer"] = self.response_counts.get("no answer", 0) + 1
            raise
        self.response_counts[str(status)] = self.response_counts.get(str(status), 0) + 1
        if status in (429, 503):
            raise NotExecuted(str(status))
        if status >= 500:
            raise NoAnswer(f"status {status}")
        self.answered_at = self._clock.now()
        if not path.startswith("/changes"):
            self._response_times_s.append(self.answered_at - began)
        return status, data

    def max_possible_revision(self) -> int:
        """No revision can be above this now: tokens that are, were never given.

        Who has read nothing knows no bound: back at once within an outage of the state
        service, a controller called every token one from the future and sent no worker to
        the leader (found in the region, once there were more than 6,000 changes).
        """
        if not self.highest_revision:
            return constants.TOKEN_MAX
        passed = self._clock.now() - self.highest_revision_at + constants.REVISION_SLACK_S
        return self.highest_revision + int(passed * 2 * max(self.limits.current.write_rps, 50.0))

    def _observe_revision(self, revision: int) -> int:
        if revision > self.highest_revision:
            self.highest_revision, self.highest_revision_at = revision, self._clock.now()
        return revision

    def slow_response_s(self) -> float:
        """What a slow answer takes of late: the second longest of the last ones; s."""
        return sorted(self._response_times_s)[-2] if len(self._response_times_s) > 1 else 0.0

    async def _get_hedged(self, path: str) -> tuple[int, bytes]:
        """A GET, asked a second time when the answer takes unusually long.

        A new leader reads its record before it does anything: one packet that is lost
        costs it a whole time-out (found in the region: two seconds at a takeover).
        """
        first = asyncio.create_task(self._call("GET", path))
        copies = [first]
        try:
            done, _ = await asyncio.wait(copies, timeout=self.hedge_delay_s())
            # A new leader has little at hand yet: a part of its rate would forbid it just then.
            if not done and self.requests.level() >= constants.HEDGE_READS:
                self.response_counts["hedged"] = self.response_counts.get("hedged", 0) + 1
                copies.append(asyncio.create_task(self._call("GET", path)))
            pending = set(copies)
            while True:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for copy in done:
                    failure = _failure(copy)
                    if failure is None:
                        return copy.result()
                    if not pending:
                        raise failure
        finally:
            for copy in copies:
                if not copy.cancel() and not copy.cancelled():
                    copy.exception()  # seen: it decides nothing any more

    async def get(self, key: str) -> Row | None:
        """One key, read fresh; None when it is absent."""
        status, data = await self._get_hedged(f"/kv/{key}")
        if status == 404:
            self._observe_revision(
                decode(data, RevisionReply).ledgerRev
            )  # a 404 of something else is no absence
            return None
        if status != 200:
            raise NoAnswer(f"status {status}")
        row = decode(data, Row)
        self._observe_revision(row.stamp)
        return row

    async def current_revision(self, under: str) -> int:
        """The present revision, by a read of hardly anything."""
        status, data = await self._call("GET", f"/kv?under={under}&page=1")
        if status != 200:
            raise NoAnswer(f"status {status}")
        return decode(data, KeyPage).ledgerRev

    async def scan(self, under: str) -> tuple[list[Row], int]:
        """All keys with a prefix, and a revision from before the first was read."""
        rows: list[Row] = []
        after, revision = "", 0
        while True:
            path = f"/kv?under={under}&page={constants.LIST_PAGE}"
            if after:
                path += f"&after={after}"
            status, data = await self._get_hedged(path)
            if status != 200:
                raise NoAnswer(f"status {status}")
            listing = decode(data, KeyPage)
            revision = revision or listing.ledgerRev
            rows += listing.rows
            if not listing.more or not listing.rows:
                return rows, revision
            after = listing.rows[-1].k

    async def commit(
        self,
        conditions: dict[str, int],
        apply: list[dict[str, Any]],
        timeout: float = constants.STATE_TIMEOUT_S,
    ) -> int:
        """All of `apply` or nothing; the revision, or Conflict, Rejected, NotExecuted, NoAnswer."""
        if apply:
            await self.writes.wait(len(apply))
        body: dict[str, Any] = {"if": [{"k": k, "stamp": s} for k, s in conditions.items()]}
        if apply:
            body["apply"] = apply
        began = self._clock.now()
        status, data = await self._call("POST", "/commit", body, timeout)
        if status == 200:
            self._commit_times_s.append(self._clock.now() - began)
            return self._observe_revision(decode(data, RevisionReply).ledgerRev)
        if status == 409:
            raise Conflict(decode(data, ConflictReply).failed)
        raise Rejected(data[:200].decode(errors="replace"))

    async def commit_hedged(self, conditions: dict[str, int], apply: list[dict[str, Any]]) -> int:
        """As `commit`, sent a second time when the answer takes unusually long.

        Only for commits whose conditions no longer hold once one copy is applied.
        The first answer that says so decides; a conflict met while the fate of the
        other copy is open, or after it got lost, is marked `unsure`.
        """
        copies = [asyncio.create_task(self.commit(conditions, apply))]
        try:
            done, _ = await asyncio.wait(copies, timeout=self.hedge_delay_s())
            if not done and self._may_hedge(len(apply)):
                self.response_counts["hedged"] = self.response_counts.get("hedged", 0) + 1
                copies.append(asyncio.create_task(self.commit(conditions, apply)))
            pending, failures = set(copies), list[BaseException]()
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for copy in done:
                    failure = _failure(copy)
                    if failure is None:
                        return copy.result()
                    failures.append(failure)
        finally:
            for copy in copies:
                if not copy.cancel() and not copy.cancelled():
                    copy.exception()  # seen: it decides nothing any more
        conflicts = [f for f in failures if isinstance(f, Conflict)]
        if conflicts:
            raise Conflict(conflicts[0].failed, maybe_applied=len(copies) > 1)
        # One without an answer may have been applied, whatever the other was told.
        lost = [f for f in failures if isinstance(f, NoAnswer)]
        refused = [f for f in failures if not isinstance(f, NotExecuted)]
        raise (lost or refused or failures)[0]

    async def commit_or_observe(
        self, commit: Coroutine[Any, Any, int], look: Callable[[], Awaitable[int]]
    ) -> int:
        """A commit's revision: from its answer, or from what it wrote if that is seen first.

        Only its answer may be lost. Until the time-out nobody may be told anything that the
        commit could have changed, so what it writes is looked at meanwhile: found in the region
        where answers were lost, each commit stood for two seconds, and what it held with it.
        `look`: the revision at which it was surely applied, 0 if that is not seen.
        """
        sent = asyncio.create_task(commit)
        looking: asyncio.Task[int] | None = None
        pause = constants.LOOK_TIMES * self.hedge_delay_s()
        try:
            while True:
                waiting = {sent} if looking is None else {sent, looking}
                await asyncio.wait(
                    waiting,
                    timeout=pause if looking is None else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if sent.done():
                    failure = _failure(sent)
                    if failure is not None:
                        raise failure
                    return sent.result()
                if looking is None:
                    if self.requests.level() >= constants.HEDGE_READS:
                        looking = asyncio.create_task(self._observed_revision(look))
                elif looking.done():
                    if _failure(looking) is None and looking.result():
                        self.response_counts["seen"] = self.response_counts.get("seen", 0) + 1
                        return looking.result()
                    looking, pause = None, 2 * pause
        finally:
            for task in (sent, looking):
                if task is not None and not task.cancel() and not task.cancelled():
                    task.exception()  # seen: it decides nothing any more

    async def _observed_revision(self, look: Callable[[], Awaitable[int]]) -> int:
        try:
            return await look()
        except (NoAnswer, NotExecuted):
            return 0

    def hedge_delay_s(self) -> float:
        """After how long a commit's answer counts as unusually late."""
        usual = (
            sorted(self._commit_times_s)[len(self._commit_times_s) // 2]
            if self._commit_times_s
            else 0.0
        )
        return max(constants.HEDGE_LEAST_S, constants.HEDGE_TIMES * usual)

    def _may_hedge(self, changes: int) -> bool:
        """A second copy must not take what other changes need."""
        spare = constants.HEDGE_SPARE * self.writes.rate
        return self.writes.level() >= changes + spare and self.requests.level() >= 2

    async def existing_keys(self, keys: list[str]) -> set[str]:
        """Which of a few keys are there, all seen at one revision if none is.

        A transaction that only compares; of more keys than one may have, several. Only
        what it names is taken as there: the others are compared again, lest an answer that
        names the first failure passes for the absence of the rest.
        """
        found: set[str] = set()
        for begin in range(0, len(keys), self.limits.max_conditions):
            left = dict.fromkeys(keys[begin : begin + self.limits.max_conditions], 0)
            while left:
                try:
                    await self.commit(left, [])
                    break
                except Conflict as conflict:
                    there = left.keys() & set(conflict.failed)
                    if not there:
                        raise NoAnswer("a failed comparison that names no key") from None
                    found |= there
                    for key in there:
                        del left[key]
        return found

    async def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        status, data = await self._call("POST", "/leases", {"ttlMs": int(ttl_s * 1000)})
        if status != 200:
            raise Rejected(f"lease: status {status}")
        return decode(data, LeaseGrant).permit

    async def renew_lease(self, permit: int, timeout: float) -> bool:
        """Renew a lease; False when it is gone for good."""
        status, _ = await self._call("POST", f"/leases/{permit}/touch", {}, timeout)
        if status not in (200, 404):
            raise NoAnswer(f"status {status}")
        return status == 200

    async def revoke_lease(self, permit: int) -> None:
        """End a lease of ours at once; the keys attached to it go with it."""
        await self._call("DELETE", f"/leases/{permit}")

    async def watch_changes(self, under: str, after: int, block_s: float) -> KeyChanges:
        """What changed under a prefix; blocks until something did or the time is over."""
        path = f"/changes?under={under}&after={after}&blockMs={int(block_s * 1000)}"
        status, data = await self._call("GET", path, timeout=block_s + constants.WATCH_SLACK_S)
        if status == 410:
            raise Compacted
        if status != 200:
            raise NoAnswer(f"status {status}")
        found = decode(data, KeyChanges)
        self._observe_revision(found.ledgerRev)
        return found


def _failure(copy: "asyncio.Task[Any]") -> BaseException | None:
    """How a copy of a request failed; one that was cancelled from inside had no answer.

    Nobody else cancels a copy that is waited for. Passed on, its cancellation would pass for
    that of whoever waits, and end a loop without a word.
    """
    return NoAnswer("given up") if copy.cancelled() else copy.exception()
