"""What users hear: submissions, queries and aborts, at any controller.

A submission is committed by whichever node gets it, conditioned on the job
being unknown. Whatever is not final is answered by the leader from its book or
from a fresh read of the state service, and otherwise not at all (503): an
older answer must never follow a newer one.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.leading.term import Term, Unavailable
from chalkgrade.machines.kinds import Flavor, per_machine
from chalkgrade.machines.placement import allowed
from chalkgrade.membership.views import Views
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.record import apart
from chalkgrade.record.jobs import (
    END_PREFIX,
    JOB_PREFIX,
    EndValue,
    Invalid,
    JobSpec,
    JobValue,
    TooLong,
    is_id,
    parse_submission,
)
from chalkgrade.serving.dependency_check import DependencyCheck
from chalkgrade.serving.job_status import COMMITS_OPEN, FINAL_STATUSES, StatusResolver
from chalkgrade.serving.record_reader import RETRY_LATER, UNKNOWN_JOB, Answer, RecordReader
from chalkgrade.settings import Settings
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from chalkgrade.state.ledger import Compacted, Conflict, Ledger, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.intake")


# A submission that is not to be committed once more, of a job that nothing can be said of now.
ACCEPTED_RETRY_LATER: Answer = (503, RETRY_LATER[1] | {"known": True})


class PeerAnswer(msgspec.Struct):
    """What a controller answers to another: an HTTP status and body."""

    status: int
    body: dict[str, Any] = {}


class JobApi:
    """The users' interface of one node."""

    def __init__(
        self,
        settings: Settings,
        ledger: Ledger,
        leadership: Leadership,
        peers: Peers,
        clock: Clock,
        flavors: dict[str, Flavor],
        views: Views,
    ) -> None:
        self.settings = settings
        self.ledger = ledger
        self.leadership = leadership
        self.peers = peers
        self.clock = clock
        self.views = views  # what is known of the other controllers
        self.request_failed_at: dict[str, float] = {}  # when a question to a controller last failed
        # What the leader last said of a job: its counts, should it fall silent.
        self.last_leader_answers: OrderedDict[str, dict[str, Any]] = OrderedDict()
        # What subsystems say of a submission: why it can never run, or None.
        self.submission_checks: list[Callable[[JobSpec], str | None]] = []
        self.flavors = flavors
        self.term: Term | None = None
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.final_states: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.record_reader = RecordReader(
            ledger, self.final_states, self.remember_final_state, self.last_leader_answers
        )
        self.status_resolver = StatusResolver(
            self.record_reader, self.final_states, self._status_from_leader
        )
        self.dependency_check = DependencyCheck(
            ledger,
            self.final_states,
            self.record_reader.read_unfinished_jobs,
            self.status_resolver.job_status,
        )

    def remember_final_state(self, name: str, status: str, done: int) -> dict[str, Any]:
        """Keep a final state: it never changes, so any node may repeat it."""
        answer = {"nameId": name, "status": status, "done": done, "running": 0}
        self.final_states[name] = answer
        while len(self.final_states) > constants.FINAL_CACHE:
            self.final_states.popitem(last=False)
        self.last_leader_answers.pop(name, None)
        return answer

    async def watch_final_states(self) -> None:
        """Learn of final states as they come to be, so that repeated questions cost nothing."""
        revision = 0
        while True:
            try:
                if not revision:
                    revision = await self.ledger.revision(LEADER_KEY)
                changes = await self.ledger.changes(END_PREFIX, revision, constants.WATCH_BLOCK_S)
            except Compacted:
                revision = 0
            except (NoAnswer, NotExecuted, Rejected) as error:
                log.debug("watch of final states: %s", error)
            else:
                for change in changes.log:
                    if change.write is not None:
                        end = msgspec.json.decode(change.v, type=EndValue)
                        name = change.write.removeprefix(END_PREFIX)
                        self.remember_final_state(name, end.status, end.tasks)
                revision = max(revision, changes.ledgerRev)
            await asyncio.sleep(constants.FINALS_PAUSE_S)

    # -- submissions --------------------------------------------------------------

    def rejection_reason(self, spec: JobSpec) -> str | None:
        """Why a job can never run, or None."""
        team = self.teams.get(spec.owner)
        if team is None:
            return f"owner: unknown team {spec.owner!r}"
        count = 1 if spec.shape == "batch" else spec.tasks  # a gang runs all at once
        for field, most in (("vcpus", team.cpus_max), ("gpus", team.gpus_max)):
            if most and getattr(spec, field) * count > most + 1e-9:
                return f"{field}: over the limit of team {spec.owner!r} ({most:g})"
        zones = {
            site
            for flavor in self.flavors.values()
            for site in flavor.sites
            if per_machine(spec, flavor) >= 1
            and any(allowed(spec, flavor.sku, site, standby) for standby in (True, False))
        }
        if not zones:
            return "a task fits no allowed machine type"
        if (
            spec.spread
            and spec.shape != "batch"
            and spec.tasks > 1
            and (spec.oneZone or len(zones) < 2)
        ):
            # Of a batch half runs at a time: replicas run all at once.
            return "spread: the replicas can't be in two zones"
        return next(filter(None, (check(spec) for check in self.submission_checks)), None)

    async def submit(self, body: bytes) -> Answer:
        """POST /v2/runs."""
        try:
            spec = parse_submission(body, self.ledger.limits.value_b)
        except TooLong as error:
            # Accepted under other limits, it must not be refused when it is repeated.
            name = msgspec.json.decode(body, type=JobSpec).nameId
            return await self._unless_accepted(name, (400, {"error": str(error)}))
        except Invalid as error:
            return 400, {"error": str(error)}
        known = self.final_states.get(spec.nameId)
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
            # A job accepted under other settings must not be refused when it is repeated.
            return await self._unless_accepted(spec.nameId, (422, {"error": refusal}))
        # The leader makes many submissions durable with one change. Whoever can't
        # reach it commits alone, under the condition that the job is unknown.
        if self.term is not None:
            answer = await self.submit_as_leader(spec)
        else:
            answer = await self._ask_leader("submit", body.decode(), constants.PEER_TIMEOUT_S)
        if answer[0] != 503 or answer[1].get("known"):
            return answer
        try:
            return await self.commit_submission(spec)
        except (NotExecuted, NoAnswer) as error:
            log.info("submission of %s: state service: %s", spec.nameId, error)
            return RETRY_LATER

    async def _unless_accepted(self, name: str, answer: Answer) -> Answer:
        """What a job's state is if it was accepted, else this answer."""
        status, known = await self.query(name)
        return answer if status == 404 else (status, known)

    async def _dependency_error(self, spec: JobSpec) -> Answer | None:
        """Why a submission can't be taken for the jobs that it names, or None."""
        if spec.waitsOn is None or (self.term is not None and self.term.knows(spec.nameId)):
            return None
        try:
            refusal = await self.dependency_check.dependency_rejection(spec.waitsOn, self.term)
        except (NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.info("jobs that %s names: %s", spec.nameId, error)
            return await self._unless_accepted(spec.nameId, RETRY_LATER)
        if refusal is None:
            return None
        return await self._unless_accepted(spec.nameId, (422, {"error": refusal}))

    async def submit_as_leader(self, spec: JobSpec) -> Answer:
        """Accept a submission as the leader."""
        if self.term is None:
            return RETRY_LATER
        refused = await self._dependency_error(spec)
        if refused is not None or self.term is None:
            return refused or RETRY_LATER
        try:
            made = await self.term.submit(spec)
        except (Unavailable, NoAnswer, NotExecuted, Rejected):
            return RETRY_LATER
        # Accepted: what has become of it by now is told, as to all. Where that can't be known,
        # whoever brought the job asked before anybody could be told of it: it is pending.
        status, known = await self.query(spec.nameId)
        if made:
            return 201, known if status == 200 else {"nameId": spec.nameId, "status": "pending"}
        return (200, known) if status == 200 else ACCEPTED_RETRY_LATER

    async def commit_submission(self, spec: JobSpec) -> Answer:
        """Commit a submission, if the job is not known."""
        name = spec.nameId
        refused = await self._dependency_error(spec)
        if refused is not None:
            return refused
        value = JobValue(spec, self.clock.wall())

        async def look() -> int:
            """Whoever made the job's own key, it is accepted: what is true of it is read next."""
            row = await self.ledger.get(JOB_PREFIX + name)
            return 0 if row is None else row.stamp

        for attempt in range(2):
            try:
                if spec.waitsOn is not None:
                    value = await apart.keep(self.ledger, value)
                commit = self.ledger.commit(
                    {JOB_PREFIX + name: 0, END_PREFIX + name: 0},
                    [{"write": JOB_PREFIX + name, "v": msgspec.Raw(apart.record(value))}],
                    timeout=constants.STATE_TIMEOUT_S / 2,
                )
                await self.ledger.settled(commit, look)
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
                # Executed or not: where the record has the job, that is an answer all the same.
                status, known = await self.status_resolver.resolve_answer(name, RETRY_LATER)
                if status == 200:
                    return 201, known
                if attempt:
                    raise
            else:
                # The leader may hold it in a batch, aborted even: say what is true of it.
                status, known = await self.status_resolver.resolve_answer(name, RETRY_LATER)
                return (201, known) if status == 200 else RETRY_LATER
        return RETRY_LATER

    # -- queries ------------------------------------------------------------------

    async def query(self, name: str) -> Answer:
        """GET /v2/runs/{id}."""
        if not is_id(name):
            return UNKNOWN_JOB
        return await self.status_resolver.job_status(name)

    async def _status_from_leader(self, name: str) -> Answer:
        """What the leader says of a job's state."""
        return await self._ask_leader("status", name, constants.PEER_TIMEOUT_S / 2)

    async def _ask_leader(self, what: str, name: str, timeout: float) -> Answer:
        """Ask the leader, wherever it is: 404 here only means that its book lacks the job."""
        if self.term is not None and self.term.live():
            return await self.answer_as_leader(what, name)
        leader = self.leadership.leader
        if leader is None or leader == self.settings.member or not self.is_responsive(leader):
            return RETRY_LATER
        answer = await self._ask_peer(leader, what, name, timeout)
        if answer[0] == 200 and answer[1].get("status") in FINAL_STATUSES:
            of = str(answer[1].get("nameId", ""))  # `name` may be a whole submission
            self.remember_final_state(of, answer[1]["status"], answer[1].get("done", 0))
        elif what == "status":
            told = answer[1].get("told") if answer[0] == COMMITS_OPEN else answer[1]
            if answer[0] in (200, COMMITS_OPEN) and told is not None:
                self.last_leader_answers[name] = told
                self.last_leader_answers.move_to_end(name)
                while len(self.last_leader_answers) > constants.FINAL_CACHE:
                    self.last_leader_answers.popitem(last=False)
        return answer

    def is_responsive(self, member: str) -> bool:
        """Whether a controller is worth a question.

        One that has not answered the last one, and has given no sign since,
        would cost each user a whole time-out.
        """
        heard = self.views.sign_at(member)
        return self.views.trusted(member) and heard >= self.request_failed_at.get(member, -1e9)

    async def answer_as_leader(self, what: str, name: str) -> Answer:
        """Answer as the leader, from the book."""
        known = self.final_states.get(name)
        if known is not None:
            return 200, known
        term = self.term
        if term is None:
            return RETRY_LATER
        try:
            if what == "status":
                account = term.account(name)
                if account.open:
                    return COMMITS_OPEN, msgspec.to_builtins(account)
                return (200, account.told) if account.told is not None else UNKNOWN_JOB
            final = await term.abort(name)
            return (200, {"nameId": name, "status": final}) if final is not None else UNKNOWN_JOB
        except Unavailable:
            return RETRY_LATER

    async def abort(self, name: str) -> Answer:
        """POST /v2/runs/{id}/abort."""
        known = self.final_states.get(name)
        if known is not None:
            return 200, known
        if not is_id(name):
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
            return RETRY_LATER  # accepted just now: the leader has yet to learn of it
        return answer

    async def _ask_peer(self, leader: str, what: str, arg: str, timeout: float) -> Answer:
        try:
            reply = await self.peers.ask(leader, {"q": what, "arg": arg}, timeout)
            answer = msgspec.convert(reply, PeerAnswer)
        except (NoAnswer, msgspec.ValidationError) as error:
            log.debug("asking %s: %s", leader, error)
            self.request_failed_at[leader] = self.clock.now()
            return RETRY_LATER
        return answer.status, answer.body
