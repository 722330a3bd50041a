"""The job API for users: submissions, queries and aborts, at any controller.

Any controller can commit a submission, on the condition that the job does not exist yet. The
status of an unfinished job comes from the leader's job registry or from a read of the state service
that starts after the request; otherwise the answer is 503, because an older status must never
follow a newer one.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.leading.term import Term, Unavailable
from chalkgrade.machines.flavors import Flavor, tasks_per_machine
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.membership.views import Views
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.record import dependency_lists
from chalkgrade.record.jobs import (
    END_PREFIX,
    JOB_PREFIX,
    EndValue,
    JobSpec,
    JobValue,
    SubmissionError,
    SubmissionTooLongError,
    is_job_id,
    parse_submission,
)
from chalkgrade.serving.dependency_check import DependencyCheck
from chalkgrade.serving.job_status import COMMITS_OPEN, FINAL_STATUSES, StatusResolver
from chalkgrade.serving.record_reader import RETRY_LATER, UNKNOWN_JOB, Answer, RecordReader
from chalkgrade.settings import Settings
from chalkgrade.state.client import Compacted, Conflict, LedgerClient, NotExecuted, Rejected
from chalkgrade.state.leadership import LEADER_KEY, Leadership

log = logging.getLogger("chalkgrade.intake")


# The job of a submission was accepted, so it must not be committed again, but its status can't
# be determined now.
ACCEPTED_RETRY_LATER: Answer = (503, RETRY_LATER[1] | {"known": True})


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
        flavors: dict[str, Flavor],
        views: Views,
    ) -> None:
        """`flavors`: the machine types by name, filled in by the node once they are known."""
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
        # Checks of the subsystems: each returns why a submission can never run, or None.
        self.submission_checks: list[Callable[[JobSpec], str | None]] = []
        self.flavors = flavors
        self.term: Term | None = None
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.finals: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.record_reader = RecordReader(
            ledger, self.finals, self.remember_final_state, self.last_leader_answers
        )
        self.status_resolver = StatusResolver(
            self.record_reader, self.finals, self._status_from_leader
        )
        self.dependency_check = DependencyCheck(
            ledger,
            self.finals,
            self.record_reader.read_unfinished_jobs,
            self.status_resolver.job_status,
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

    # -- submissions --------------------------------------------------------------

    def rejection_reason(self, spec: JobSpec) -> str | None:
        """Return why a job can never run, or None."""
        team = self.teams.get(spec.owner)
        if team is None:
            return f"owner: unknown team {spec.owner!r}"
        # All tasks of a gang or service run at once.
        count = 1 if spec.shape == "batch" else spec.tasks
        for field, maximum in (("vcpus", team.cpus_max), ("gpus", team.gpus_max)):
            if maximum and getattr(spec, field) * count > maximum + 1e-9:
                return f"{field}: over the limit of team {spec.owner!r} ({maximum:g})"
        zones = {
            site
            for flavor in self.flavors.values()
            for site in flavor.sites
            if tasks_per_machine(spec, flavor) >= 1
            and any(may_use_machine(spec, flavor.sku, site, standby) for standby in (True, False))
        }
        if not zones:
            return "a task fits no allowed machine type"
        if (
            spec.spread
            and spec.shape != "batch"
            and spec.tasks > 1
            and (spec.oneZone or len(zones) < 2)
        ):
            # Half of a batch may run at a time, but all replicas run at once.
            return "spread: the replicas can't be in two zones"
        return next(filter(None, (check(spec) for check in self.submission_checks)), None)

    async def submit(self, body: bytes) -> Answer:
        """Handle POST /v2/runs."""
        try:
            spec = parse_submission(body, self.ledger.limits.max_value_bytes)
        except SubmissionTooLongError as error:
            # A job accepted under other limits must not be refused when it is submitted again.
            name = msgspec.json.decode(body, type=JobSpec).nameId
            return await self._unless_accepted(name, (400, {"error": str(error)}))
        except SubmissionError as error:
            return 400, {"error": str(error)}
        known = self.finals.get(spec.nameId)
        if known is not None:
            return 200, known
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                return self.status_resolver.prefer_final_state(await self._submit_spec(spec, body))
        except TimeoutError:
            return RETRY_LATER

    async def _submit_spec(self, spec: JobSpec, body: bytes) -> Answer:
        if not self.flavors:
            return RETRY_LATER
        refusal = self.rejection_reason(spec)
        if refusal is not None:
            # A job accepted under other settings must not be refused when it is submitted again.
            return await self._unless_accepted(spec.nameId, (422, {"error": refusal}))
        # The leader commits many submissions in one batch. A controller that can't reach it
        # commits the submission itself, on the condition that the job does not exist.
        if self.term is not None:
            answer = await self.submit_as_leader(spec)
        else:
            answer = await self._ask_leader(
                "submit", body.decode(), constants.PEER_REQUEST_TIMEOUT_S
            )
        if answer[0] != 503 or answer[1].get("known"):
            return answer
        try:
            return await self.commit_submission(spec)
        except (NotExecuted, NoAnswer) as error:
            log.info("submission failed: %s: state service: %s", spec.nameId, error)
            return RETRY_LATER

    async def _unless_accepted(self, name: str, answer: Answer) -> Answer:
        """Return the job's status if it was accepted before, else `answer`."""
        status, known = await self.query(name)
        return answer if status == 404 else (status, known)

    async def _dependency_error(self, spec: JobSpec) -> Answer | None:
        """Return the answer if a job's dependencies rule it out or can't be checked, else None."""
        if spec.waitsOn is None or (self.term is not None and self.term.has_job(spec.nameId)):
            return None
        try:
            refusal = await self.dependency_check.dependency_rejection(spec.waitsOn, self.term)
        except (NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.info("dependency check failed: %s: %s", spec.nameId, error)
            return await self._unless_accepted(spec.nameId, RETRY_LATER)
        if refusal is None:
            return None
        return await self._unless_accepted(spec.nameId, (422, {"error": refusal}))

    async def submit_as_leader(self, spec: JobSpec) -> Answer:
        """Handle a submission as the leader."""
        if self.term is None:
            return RETRY_LATER
        refused = await self._dependency_error(spec)
        if refused is not None or self.term is None:
            return refused or RETRY_LATER
        try:
            is_new = await self.term.submit(spec)
        except (Unavailable, NoAnswer, NotExecuted, Rejected):
            return RETRY_LATER
        # The job is accepted. Answer with its present status, as for a query. If that can't be
        # determined, "pending" is right: this request came before any user was told of the job.
        status, known = await self.query(spec.nameId)
        if is_new:
            return 201, known if status == 200 else {"nameId": spec.nameId, "status": "pending"}
        return (200, known) if status == 200 else ACCEPTED_RETRY_LATER

    async def commit_submission(self, spec: JobSpec) -> Answer:
        """Commit a submission to the state service, unless the job exists."""
        name = spec.nameId
        refused = await self._dependency_error(spec)
        if refused is not None:
            return refused
        value = JobValue(spec, self.clock.wall())

        async def read_stamp() -> int:
            """Return the stamp of the job's own key: whoever created it, the job is accepted."""
            row = await self.ledger.get(JOB_PREFIX + name)
            return 0 if row is None else row.stamp

        for attempt in range(2):
            try:
                if spec.waitsOn is not None:
                    value = await dependency_lists.store_if_too_long(self.ledger, value)
                commit = self.ledger.commit(
                    {JOB_PREFIX + name: 0, END_PREFIX + name: 0},
                    [
                        {
                            "write": JOB_PREFIX + name,
                            "v": msgspec.Raw(dependency_lists.encode_record(value)),
                        }
                    ],
                    timeout=constants.STATE_REQUEST_TIMEOUT_S / 2,
                )
                await self.ledger.commit_or_observe(commit, read_stamp)
            except Conflict:
                status, known = await self.query(name)
                return status if status != 404 else 503, known
            except Rejected as error:
                return await self._unless_accepted(
                    name, (400, {"error": f"can't be kept: {error}"})
                )
            except NotExecuted:
                if attempt:
                    raise
                await asyncio.sleep(0.1)
            except NoAnswer:
                # Whether it was executed or not: if the record has the job, it is accepted.
                status, known = await self.status_resolver.resolve_answer(name, RETRY_LATER)
                if status == 200:
                    return 201, known
                if attempt:
                    raise
            else:
                # The leader may have the job in a batch, and even aborted: read its status.
                status, known = await self.status_resolver.resolve_answer(name, RETRY_LATER)
                return (201, known) if status == 200 else RETRY_LATER
        return RETRY_LATER

    # -- queries ------------------------------------------------------------------

    async def query(self, name: str) -> Answer:
        """Handle GET /v2/runs/{id}."""
        if not is_job_id(name):
            return UNKNOWN_JOB
        return await self.status_resolver.job_status(name)

    async def _status_from_leader(self, name: str) -> Answer:
        """Ask the leader for a job's status."""
        return await self._ask_leader("status", name, constants.PEER_REQUEST_TIMEOUT_S / 2)

    async def _ask_leader(self, what: str, name: str, timeout: float) -> Answer:
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
                answer = await self._ask_leader("abort", name, constants.INTAKE_DEADLINE_S)
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
