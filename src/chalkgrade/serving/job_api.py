"""The job API for users: queries and aborts, at any controller.

The status of an unfinished job comes from the leader's job registry or from a read of the state
service that starts after the request; otherwise the answer is 503, because an older status must
never follow a newer one.
"""

import asyncio
import logging
from collections import OrderedDict
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.leading.term import Term, Unavailable
from chalkgrade.membership.views import Views
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.record.jobs import END_PREFIX, EndValue, is_job_id
from chalkgrade.serving.job_status import COMMITS_OPEN, FINAL_STATUSES, StatusResolver
from chalkgrade.serving.record_reader import RETRY_LATER, UNKNOWN_JOB, Answer, RecordReader
from chalkgrade.settings import Settings
from chalkgrade.state.client import Compacted, LedgerClient, NotExecuted, Rejected
from chalkgrade.state.leadership import LEADER_KEY, Leadership

log = logging.getLogger("chalkgrade.intake")


class PeerAnswer(msgspec.Struct):
    """A response between controllers: an HTTP status and body."""

    status: int
    body: dict[str, Any] = {}


class JobApi:
    """The job API of one node."""

    def __init__(
        self,
        settings: Settings,
        ledger: LedgerClient,
        leadership: Leadership,
        peers: Peers,
        clock: Clock,
        views: Views,
    ) -> None:
        self.settings = settings
        self.ledger = ledger
        self.leadership = leadership
        self.peers = peers
        self.clock = clock
        self.views = views  # the state of the other controllers
        # Controller -> when a request to it last failed.
        self.request_failed_at: dict[str, float] = {}
        # Job -> the leader's last answer, for the task counts when the leader is not reachable.
        self.last_leader_answers: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.term: Term | None = None
        self.finals: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.record_reader = RecordReader(
            ledger, self.finals, self.remember_final_state, self.last_leader_answers
        )
        self.status_resolver = StatusResolver(
            self.record_reader, self.finals, self._status_from_leader
        )

    def remember_final_state(self, name: str, status: str, done: int) -> dict[str, Any]:
        """Store a final state, which never changes, and return the answer for it."""
        answer = {"nameId": name, "status": status, "done": done, "running": 0}
        self.finals[name] = answer
        while len(self.finals) > constants.MAX_CACHED_FINAL_STATES:
            self.finals.popitem(last=False)
        self.last_leader_answers.pop(name, None)
        return answer

    async def watch_final_states(self) -> None:
        """Watch the state service for final states, so that repeated queries cost no reads."""
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self.ledger.current_revision(LEADER_KEY)
                changes = await self.ledger.watch_changes(
                    END_PREFIX, revision, constants.LONG_WATCH_BLOCK_S
                )
            except Compacted:
                revision = 0
            except (NoAnswer, NotExecuted, Rejected) as error:
                log.debug("watch failed: final states: %s", error)
            else:
                for change in changes.log:
                    if change.write is not None:
                        end = msgspec.json.decode(change.v, type=EndValue)
                        name = change.write.removeprefix(END_PREFIX)
                        self.remember_final_state(name, end.status, end.tasks)
                revision = max(revision, changes.ledgerRev)
            await asyncio.sleep(constants.FINAL_STATES_POLL_INTERVAL_S)

    # -- queries ------------------------------------------------------------------

    async def query(self, name: str) -> Answer:
        """Handle GET /v2/runs/{id}."""
        if not is_job_id(name):
            return UNKNOWN_JOB
        return await self.status_resolver.job_status(name)

    async def _status_from_leader(self, name: str) -> Answer:
        """Ask the leader for a job's status."""
        return await self.ask_leader("status", name, constants.PEER_REQUEST_TIMEOUT_S / 2)

    async def ask_leader(self, what: str, name: str, timeout: float) -> Answer:
        """Ask the leader, maybe this node; 404 means only that its registry lacks the job."""
        if self.term is not None and self.term.is_serving():
            return await self.answer_as_leader(what, name)
        leader = self.leadership.leader
        if leader is None or leader == self.settings.member or not self.is_responsive(leader):
            return RETRY_LATER
        answer = await self._ask_peer(leader, what, name, timeout)
        if answer[0] == 200 and answer[1].get("status") in FINAL_STATUSES:
            job = str(answer[1].get("nameId", ""))  # `name` may be a whole submission
            self.remember_final_state(job, answer[1]["status"], answer[1].get("done", 0))
        elif what == "status":
            told = answer[1].get("told") if answer[0] == COMMITS_OPEN else answer[1]
            if answer[0] in (200, COMMITS_OPEN) and told is not None:
                self.last_leader_answers[name] = told
                self.last_leader_answers.move_to_end(name)
                while len(self.last_leader_answers) > constants.MAX_CACHED_FINAL_STATES:
                    self.last_leader_answers.popitem(last=False)
        return answer

    def is_responsive(self, member: str) -> bool:
        """Return whether a controller is likely to answer.

        If it did not answer the last request and has not been heard of since, asking it
        would cost each user a whole timeout.
        """
        last_contact_at = self.views.last_contact_at(member)
        return self.views.is_reachable(member) and last_contact_at >= self.request_failed_at.get(
            member, -1e9
        )

    async def answer_as_leader(self, what: str, name: str) -> Answer:
        """Answer a status query or an abort as the leader, from the job registry."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        term = self.term
        if term is None:
            return RETRY_LATER
        try:
            if what == "status":
                account = term.job_account(name)
                if account.open:
                    return COMMITS_OPEN, msgspec.to_builtins(account)
                return (200, account.told) if account.told is not None else UNKNOWN_JOB
            final = await term.abort(name)
            return (200, {"nameId": name, "status": final}) if final is not None else UNKNOWN_JOB
        except Unavailable:
            return RETRY_LATER

    async def abort(self, name: str) -> Answer:
        """Handle POST /v2/runs/{id}/abort."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        if not is_job_id(name):
            return UNKNOWN_JOB
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                answer = await self.ask_leader("abort", name, constants.INTAKE_DEADLINE_S)
                if answer[0] == 404:
                    answer = await self.status_resolver.resolve_answer(name, answer)
        except TimeoutError:
            return RETRY_LATER
        answer = self.status_resolver.prefer_final_state(answer)
        if answer[0] == 200 and answer[1]["status"] not in FINAL_STATUSES:
            return RETRY_LATER  # accepted just now: the leader does not know the job yet
        return answer

    async def _ask_peer(self, leader: str, what: str, arg: str, timeout: float) -> Answer:
        try:
            reply = await self.peers.ask(leader, {"q": what, "arg": arg}, timeout)
            answer = msgspec.convert(reply, PeerAnswer)
        except (NoAnswer, msgspec.ValidationError) as error:
            log.debug("request failed: to %s: %s", leader, error)
            self.request_failed_at[leader] = self.clock.now()
            return RETRY_LATER
        return answer.status, answer.body
