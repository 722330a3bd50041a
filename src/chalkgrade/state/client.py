"""Client of the state service: request budgets, commits, listings and watches.

Results are distinguished by what they mean for a request: executed, refused, not executed, or
unknown. A commit with an unknown result may still be executed minutes later, so every
commit carries conditions that a later state of the same keys no longer meets.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import Clock, Http, NoAnswer, TokenBucket, decode_response, encode
from chalkgrade.settings import StateLimits
from chalkgrade.state.limits import EffectiveLimits


class Row(msgspec.Struct):
    """A key with its value; `stamp` is the revision of its last write."""

    k: str
    v: msgspec.Raw
    stamp: int
    permit: int | None = None  # lease that it is attached to; only in reads of a single key


class KeyPage(msgspec.Struct):
    """One page of a listing of keys; `ledgerRev` is the revision at which it was read."""

    rows: list[Row]
    ledgerRev: int
    more: bool = False


class KeyChange(msgspec.Struct):
    """A key that was written (with its value) or removed, and the revision of the change."""

    stamp: int
    write: str | None = None
    remove: str | None = None
    v: msgspec.Raw = msgspec.Raw(b"null")


class KeyChanges(msgspec.Struct):
    """The answer to a watch: changes up to a revision, in order."""

    ledgerRev: int
    log: list[KeyChange] = []


class RevisionReply(msgspec.Struct):
    """An answer that has only a revision."""

    ledgerRev: int


class ConflictReply(msgspec.Struct):
    """The answer to a commit that was not executed: keys whose conditions did not hold."""

    failed: list[str] = []
    ledgerRev: int = 0


class LeaseGrant(msgspec.Struct):
    """The answer to a lease request: the id of the new lease."""

    permit: int


class NotExecuted(Exception):
    """The service answered that it did not execute the request (status 503 or 429)."""


class Conflict(Exception):
    """A condition of a commit did not hold; `failed` has the keys concerned."""

    def __init__(self, failed: list[str], maybe_applied: bool = False) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed
        self.maybe_applied = maybe_applied  # another copy of the commit may have been executed


class Rejected(Exception):
    """The service rejected a request as malformed, or its lease no longer exists."""


class Compacted(Exception):
    """A watch asked for changes that the service no longer keeps."""


class LedgerClient:
    """One node's access to the state service, within its share of the request limits.

    Methods raise NoAnswer if the result is unknown, NotExecuted if the service did not execute
    the request, and the other errors of this module as documented.
    """

    def __init__(
        self, http: Http, clock: Clock, addr: str, limits: StateLimits, nodes: int = 1
    ) -> None:
        self._http = http
        self._clock = clock
        self._addr = addr
        self.limits = EffectiveLimits(limits)
        self._other_nodes = max(0, nodes - 1)
        # Token buckets of all requests, and of written or removed keys.
        self.requests = TokenBucket(clock, 1.0, 1.0)
        self.writes = TokenBucket(clock, 1.0, 1.0)
        # The share of `requests` that reads for users may take: a burst of them must leave
        # enough for lease renewals, commits and watches.
        self.queries = TokenBucket(clock, 1.0, 1.0)
        self.set_leading(False)
        for bucket in (self.requests, self.writes, self.queries):
            bucket.refill()
        self.answered_at = -1e9  # when the service last answered
        self.response_counts: dict[str, int] = {}  # answers by status, and other events
        # Durations of recent commits, and of recent requests other than watches.
        self._commit_times_s: deque[float] = deque(maxlen=constants.LATENCY_SAMPLE_COUNT)
        self._response_times_s: deque[float] = deque(maxlen=constants.LATENCY_SAMPLE_COUNT)
        self.highest_revision = 0  # highest revision seen, and when it was seen
        self.highest_revision_at = clock.now()

    def set_leading(self, leading: bool) -> None:
        """Set this node's share of the request limits, which depends on whether it leads.

        The shares of all nodes add up to the limit: the leader has a fixed share, the
        others divide the rest equally. A new leader gets its larger share gradually, so that
        it does not spend again what the last leader has spent already.
        """
        for bucket, limit, part in (
            (self.requests, self.limits.rps, constants.LEADER_REQUEST_RATE_RATIO),
            (self.writes, self.limits.write_rps, constants.LEADER_WRITE_RATE_RATIO),
        ):
            share = part if leading else (1 - part) / max(1, self._other_nodes)
            share = share if self._other_nodes else 1.0
            bucket.set_rate(limit * share)
        self.queries.set_rate(self.requests.rate_per_s * constants.QUERY_REQUEST_RATE_RATIO)

    def has_recent_answer(self) -> bool:
        """Whether the service answered recently."""
        return self._clock.now() - self.answered_at < constants.MAX_STATE_ANSWER_AGE_S

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout: float = constants.STATE_REQUEST_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        await self.requests.acquire()
        payload = None if body is None else encode(body)
        began = self._clock.now()
        try:
            status, data = await self._http.call(self._addr, method, path, payload, timeout)
        except NoAnswer:
            if not path.startswith("/changes") and self.answered_at > began:
                self._response_times_s.append(timeout)  # the service is slow, not out of reach
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
        """An upper bound of the current revision: a higher token cannot be genuine.

        There is no bound before the first read. Otherwise a controller that restarts within an
        outage of the state service would reject every genuine token once there are more
        than 6,000 changes, and would not redirect workers to the leader.
        """
        if not self.highest_revision:
            return constants.MAX_FENCING_TOKEN
        passed = self._clock.now() - self.highest_revision_at + constants.REVISION_LOOKAHEAD_S
        return self.highest_revision + int(passed * 2 * max(self.limits.current.write_rps, 50.0))

    def _observe_revision(self, revision: int) -> int:
        if revision > self.highest_revision:
            self.highest_revision, self.highest_revision_at = revision, self._clock.now()
        return revision

    def slow_response_s(self) -> float:
        """Duration of a slow answer: the second longest of the most recent ones, s."""
        return sorted(self._response_times_s)[-2] if len(self._response_times_s) > 1 else 0.0

    async def _get_hedged(self, path: str) -> tuple[int, bytes]:
        """Send a GET, and send it again if the answer takes unusually long.

        A new leader reads its record before it does anything. Without the second request one
        lost packet would delay the takeover by a whole time-out, which is two seconds.
        """
        first = asyncio.create_task(self._call("GET", path))
        copies = [first]
        try:
            done, _ = await asyncio.wait(copies, timeout=self.hedge_delay_s())
            # A bound relative to the rate would forbid this to a new leader: its budget is low.
            if not done and self.requests.available_tokens() >= constants.MIN_HEDGE_READ_TOKENS:
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
                    copy.exception()  # retrieved, as the result no longer matters

    async def get(self, key: str) -> Row | None:
        """Read one key; None if it does not exist."""
        status, data = await self._get_hedged(f"/kv/{key}")
        if status == 404:
            self._observe_revision(
                decode_response(data, RevisionReply).ledgerRev
            )  # another 404 does not prove absence
            return None
        if status != 200:
            raise NoAnswer(f"status {status}")
        row = decode_response(data, Row)
        self._observe_revision(row.stamp)
        return row

    async def current_revision(self, under: str) -> int:
        """The current revision, from a listing of one key at most under the prefix."""
        status, data = await self._call("GET", f"/kv?under={under}&page=1")
        if status != 200:
            raise NoAnswer(f"status {status}")
        return decode_response(data, KeyPage).ledgerRev

    async def scan(self, under: str) -> tuple[list[Row], int]:
        """All keys with a prefix, and a revision from before the first one was read."""
        rows: list[Row] = []
        after, revision = "", 0
        while True:
            path = f"/kv?under={under}&page={constants.LIST_PAGE_ROWS}"
            if after:
                path += f"&after={after}"
            status, data = await self._get_hedged(path)
            if status != 200:
                raise NoAnswer(f"status {status}")
            listing = decode_response(data, KeyPage)
            revision = revision or listing.ledgerRev
            rows += listing.rows
            if not listing.more or not listing.rows:
                return rows, revision
            after = listing.rows[-1].k

    async def commit(
        self,
        conditions: dict[str, int],
        apply: list[dict[str, Any]],
        timeout: float = constants.STATE_REQUEST_TIMEOUT_S,
    ) -> int:
        """Execute all of `apply` if all conditions hold, else nothing; returns the revision.

        `conditions`: the expected revision of each key, 0 for a key that must not exist. Raises
        Conflict, Rejected, NotExecuted, or NoAnswer if the commit may have been executed.
        """
        if apply:
            await self.writes.acquire(len(apply))
        body: dict[str, Any] = {"if": [{"k": k, "stamp": s} for k, s in conditions.items()]}
        if apply:
            body["apply"] = apply
        began = self._clock.now()
        status, data = await self._call("POST", "/commit", body, timeout)
        if status == 200:
            self._commit_times_s.append(self._clock.now() - began)
            return self._observe_revision(decode_response(data, RevisionReply).ledgerRev)
        if status == 409:
            raise Conflict(decode_response(data, ConflictReply).failed)
        raise Rejected(data[:200].decode(errors="replace"))

    async def commit_hedged(self, conditions: dict[str, int], apply: list[dict[str, Any]]) -> int:
        """Like `commit`, but sent a second time if the answer takes unusually long.

        Only for commits whose conditions no longer hold once one copy has been executed.
        The first success decides. A conflict of one copy while the result of the
        other is open or unknown is marked `maybe_applied`.
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
                    copy.exception()  # retrieved, as the result no longer matters
        conflicts = [f for f in failures if isinstance(f, Conflict)]
        if conflicts:
            raise Conflict(conflicts[0].failed, maybe_applied=len(copies) > 1)
        # A copy without an answer may have been executed, whatever the answer to the other one.
        lost = [f for f in failures if isinstance(f, NoAnswer)]
        refused = [f for f in failures if not isinstance(f, NotExecuted)]
        raise (lost or refused or failures)[0]

    async def commit_or_observe(
        self, commit: Coroutine[Any, Any, int], observe: Callable[[], Awaitable[int]]
    ) -> int:
        """A commit's revision: from its answer, or from what it wrote if that is read first.

        Possibly only the answer was lost. Until the time-out nothing that the commit could have
        changed may be told to anybody, so the keys that it writes are read meanwhile. Otherwise
        each lost answer would block the commit, and all that waits for it, for two seconds.
        `observe` returns the revision at which the commit was certainly executed, 0 if unknown.
        """
        sent = asyncio.create_task(commit)
        observing: asyncio.Task[int] | None = None
        pause = constants.COMMIT_OBSERVATION_DELAY_RATIO * self.hedge_delay_s()
        try:
            while True:
                waiting = {sent} if observing is None else {sent, observing}
                await asyncio.wait(
                    waiting,
                    timeout=pause if observing is None else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if sent.done():
                    failure = _failure(sent)
                    if failure is not None:
                        raise failure
                    return sent.result()
                if observing is None:
                    if self.requests.available_tokens() >= constants.MIN_HEDGE_READ_TOKENS:
                        observing = asyncio.create_task(self._observed_revision(observe))
                elif observing.done():
                    if _failure(observing) is None and observing.result():
                        self.response_counts["seen"] = self.response_counts.get("seen", 0) + 1
                        return observing.result()
                    observing, pause = None, 2 * pause
        finally:
            for task in (sent, observing):
                if task is not None and not task.cancel() and not task.cancelled():
                    task.exception()  # retrieved, as the result no longer matters

    async def _observed_revision(self, observe: Callable[[], Awaitable[int]]) -> int:
        try:
            return await observe()
        except (NoAnswer, NotExecuted):
            return 0

    def hedge_delay_s(self) -> float:
        """Time after which the answer to a commit counts as unusually late, s."""
        usual = (
            sorted(self._commit_times_s)[len(self._commit_times_s) // 2]
            if self._commit_times_s
            else 0.0
        )
        return max(constants.MIN_HEDGE_DELAY_S, constants.HEDGE_DELAY_RATIO * usual)

    def _may_hedge(self, changes: int) -> bool:
        """Whether the budgets allow a second copy without delaying other changes."""
        spare = constants.HEDGE_SPARE_WRITES_RATIO * self.writes.rate_per_s
        return (
            self.writes.available_tokens() >= changes + spare
            and self.requests.available_tokens() >= 2
        )

    async def existing_keys(self, keys: list[str]) -> set[str]:
        """Which of the given keys exist; if none does, all were checked at one revision.

        Sends a transaction that has only conditions, or several if there are more keys than one
        may have. Only keys named in the answer count as existing. The others are checked
        again, since an answer that names only the first failure does not prove them absent.
        """
        found: set[str] = set()
        count = self.limits.max_compared_keys
        for begin in range(0, len(keys), count):
            left = dict.fromkeys(keys[begin : begin + count], 0)
            while left:
                try:
                    await self.commit(left, [])
                    break
                except Conflict as conflict:
                    existing = left.keys() & set(conflict.failed)
                    if not existing:
                        raise NoAnswer("conflict answer names none of the compared keys") from None
                    found |= existing
                    for key in existing:
                        del left[key]
        return found

    async def grant_lease(self, ttl_s: float) -> int:
        """Request a new lease; returns its id. Raises Rejected if the service refuses."""
        status, data = await self._call("POST", "/leases", {"ttlMs": int(ttl_s * 1000)})
        if status != 200:
            raise Rejected(f"lease: status {status}")
        return decode_response(data, LeaseGrant).permit

    async def renew_lease(self, permit: int, timeout: float) -> bool:
        """Renew a lease; returns False if it no longer exists."""
        status, _ = await self._call("POST", f"/leases/{permit}/touch", {}, timeout)
        if status not in (200, 404):
            raise NoAnswer(f"status {status}")
        return status == 200

    async def revoke_lease(self, permit: int) -> None:
        """Revoke an own lease at once, which removes the keys that are attached to it."""
        await self._call("DELETE", f"/leases/{permit}")

    async def watch_changes(self, under: str, after: int, block_s: float) -> KeyChanges:
        """Changes under a prefix after a revision; blocks up to `block_s` until there are any.

        Raises Compacted if the service no longer keeps the changes after that revision.
        """
        path = f"/changes?under={under}&after={after}&blockMs={int(block_s * 1000)}"
        status, data = await self._call(
            "GET", path, timeout=block_s + constants.WATCH_TIMEOUT_MARGIN_S
        )
        if status == 410:
            raise Compacted
        if status != 200:
            raise NoAnswer(f"status {status}")
        found = decode_response(data, KeyChanges)
        self._observe_revision(found.ledgerRev)
        return found


def _failure(copy: "asyncio.Task[Any]") -> BaseException | None:
    """The failure of a copy of a request, None if it succeeded; cancellation counts as no answer.

    Only code inside the request can cancel a copy while it is awaited. If the cancellation were
    passed on, it would look like a cancellation of the waiting task and end its loop silently.
    """
    return NoAnswer("given up") if copy.cancelled() else copy.exception()
