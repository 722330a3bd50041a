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
from chalkgrade.serving.naming import Naming
from chalkgrade.serving.reading import LATER, UNKNOWN, Answer, Reading
from chalkgrade.serving.telling import FINAL, OPEN, Telling
from chalkgrade.settings import Settings
from chalkgrade.state.leadership import LEADER_KEY, Leadership
from chalkgrade.state.ledger import Compacted, Conflict, Ledger, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.intake")


# A submission that is not to be committed once more, of a job that nothing can be said of now.
KNOWN_LATER: Answer = (503, LATER[1] | {"known": True})


class PeerAnswer(msgspec.Struct):
    """What a controller answers to another: an HTTP status and body."""

    status: int
    body: dict[str, Any] = {}


class Intake:
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
        self.failed_at: dict[str, float] = {}  # when a question to a controller last failed
        # What the leader last said of a job: its counts, should it fall silent.
        self.counts: OrderedDict[str, dict[str, Any]] = OrderedDict()
        # What subsystems say of a submission: why it can never run, or None.
        self.checks: list[Callable[[JobSpec], str | None]] = []
        self.flavors = flavors
        self.term: Term | None = None
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.finals: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.reading = Reading(ledger, self.finals, self.remember, self.counts)
        self.telling = Telling(self.reading, self.finals, self._state)
        self.naming = Naming(ledger, self.finals, self.reading.fresh, self.telling.tell)

    def remember(self, name: str, status: str, done: int) -> dict[str, Any]:
        """Keep a final state: it never changes, so any node may repeat it."""
        answer = {"nameId": name, "status": status, "done": done, "running": 0}
        self.finals[name] = answer
        while len(self.finals) > constants.FINAL_CACHE:
            self.finals.popitem(last=False)
        self.counts.pop(name, None)
        return answer

    async def watch(self) -> None:
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
                        self.remember(name, end.status, end.tasks)
                revision = max(revision, changes.ledgerRev)
            await asyncio.sleep(constants.FINALS_PAUSE_S)

    # -- submissions --------------------------------------------------------------

    def refusal(self, spec: JobSpec) -> str | None:
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
        return next(filter(None, (check(spec) for check in self.checks)), None)

    async def submit(self, body: bytes) -> Answer:
        """POST /v2/runs."""
        try:
            spec = parse_submission(body, self.ledger.limits.value_b)
        except SubmissionTooLongError as error:
            # Accepted under other limits, it must not be refused when it is repeated.
            name = msgspec.json.decode(body, type=JobSpec).nameId
            return await self._unless_known(name, (400, {"error": str(error)}))
        except SubmissionError as error:
            return 400, {"error": str(error)}
        known = self.finals.get(spec.nameId)
        if known is not None:
            return 200, known
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                return self.telling.latest(await self._submit(spec, body))
        except TimeoutError:
            return LATER

    async def _submit(self, spec: JobSpec, body: bytes) -> Answer:
        if not self.flavors:
            return LATER
        refusal = self.refusal(spec)
        if refusal is not None:
            # A job accepted under other settings must not be refused when it is repeated.
            return await self._unless_known(spec.nameId, (422, {"error": refusal}))
        # The leader makes many submissions durable with one change. Whoever can't
        # reach it commits alone, under the condition that the job is unknown.
        if self.term is not None:
            answer = await self.admit(spec)
        else:
            answer = await self._from_leader("submit", body.decode(), constants.PEER_TIMEOUT_S)
        if answer[0] != 503 or answer[1].get("known"):
            return answer
        try:
            return await self.accept(spec)
        except (NotExecuted, NoAnswer) as error:
            log.info("submission of %s: state service: %s", spec.nameId, error)
            return LATER

    async def _unless_known(self, name: str, answer: Answer) -> Answer:
        """What a job's state is if it was accepted, else this answer."""
        status, known = await self.query(name)
        return answer if status == 404 else (status, known)

    async def _named(self, spec: JobSpec) -> Answer | None:
        """Why a submission can't be taken for the jobs that it names, or None."""
        if spec.waitsOn is None or (self.term is not None and self.term.knows(spec.nameId)):
            return None
        try:
            refusal = await self.naming.refusal(spec.waitsOn, self.term)
        except (NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.info("jobs that %s names: %s", spec.nameId, error)
            return await self._unless_known(spec.nameId, LATER)
        if refusal is None:
            return None
        return await self._unless_known(spec.nameId, (422, {"error": refusal}))

    async def admit(self, spec: JobSpec) -> Answer:
        """Accept a submission as the leader."""
        if self.term is None:
            return LATER
        refused = await self._named(spec)
        if refused is not None or self.term is None:
            return refused or LATER
        try:
            made = await self.term.submit(spec)
        except (Unavailable, NoAnswer, NotExecuted, Rejected):
            return LATER
        # Accepted: what has become of it by now is told, as to all. Where that can't be known,
        # whoever brought the job asked before anybody could be told of it: it is pending.
        status, known = await self.query(spec.nameId)
        if made:
            return 201, known if status == 200 else {"nameId": spec.nameId, "status": "pending"}
        return (200, known) if status == 200 else KNOWN_LATER

    async def accept(self, spec: JobSpec) -> Answer:
        """Commit a submission, if the job is not known."""
        name = spec.nameId
        refused = await self._named(spec)
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
                    value = await dependency_lists.store_if_too_long(self.ledger, value)
                commit = self.ledger.commit(
                    {JOB_PREFIX + name: 0, END_PREFIX + name: 0},
                    [
                        {
                            "write": JOB_PREFIX + name,
                            "v": msgspec.Raw(dependency_lists.encode_record(value)),
                        }
                    ],
                    timeout=constants.STATE_TIMEOUT_S / 2,
                )
                await self.ledger.settled(commit, look)
            except Conflict:
                status, known = await self.query(name)
                return status if status != 404 else 503, known
            except Rejected as error:
                return await self._unless_known(name, (400, {"error": f"can't be kept: {error}"}))
            except NotExecuted:
                if attempt:
                    raise
                await asyncio.sleep(0.1)
            except NoAnswer:
                # Executed or not: where the record has the job, that is an answer all the same.
                status, known = await self.telling.settle(name, LATER)
                if status == 200:
                    return 201, known
                if attempt:
                    raise
            else:
                # The leader may hold it in a batch, aborted even: say what is true of it.
                status, known = await self.telling.settle(name, LATER)
                return (201, known) if status == 200 else LATER
        return LATER

    # -- queries ------------------------------------------------------------------

    async def query(self, name: str) -> Answer:
        """GET /v2/runs/{id}."""
        if not is_job_id(name):
            return UNKNOWN
        return await self.telling.tell(name)

    async def _state(self, name: str) -> Answer:
        """What the leader says of a job's state."""
        return await self._from_leader("status", name, constants.PEER_TIMEOUT_S / 2)

    async def _from_leader(self, what: str, name: str, timeout: float) -> Answer:
        """Ask the leader, wherever it is: 404 here only means that its book lacks the job."""
        if self.term is not None and self.term.live():
            return await self.lead(what, name)
        leader = self.leadership.leader
        if leader is None or leader == self.settings.member or not self.answers(leader):
            return LATER
        answer = await self._ask(leader, what, name, timeout)
        if answer[0] == 200 and answer[1].get("status") in FINAL:
            of = str(answer[1].get("nameId", ""))  # `name` may be a whole submission
            self.remember(of, answer[1]["status"], answer[1].get("done", 0))
        elif what == "status":
            told = answer[1].get("told") if answer[0] == OPEN else answer[1]
            if answer[0] in (200, OPEN) and told is not None:
                self.counts[name] = told
                self.counts.move_to_end(name)
                while len(self.counts) > constants.FINAL_CACHE:
                    self.counts.popitem(last=False)
        return answer

    def answers(self, member: str) -> bool:
        """Whether a controller is worth a question.

        One that has not answered the last one, and has given no sign since,
        would cost each user a whole time-out.
        """
        heard = self.views.sign_at(member)
        return self.views.trusted(member) and heard >= self.failed_at.get(member, -1e9)

    async def lead(self, what: str, name: str) -> Answer:
        """Answer as the leader, from the book."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        term = self.term
        if term is None:
            return LATER
        try:
            if what == "status":
                account = term.account(name)
                if account.open:
                    return OPEN, msgspec.to_builtins(account)
                return (200, account.told) if account.told is not None else UNKNOWN
            final = await term.abort(name)
            return (200, {"nameId": name, "status": final}) if final is not None else UNKNOWN
        except Unavailable:
            return LATER

    async def abort(self, name: str) -> Answer:
        """POST /v2/runs/{id}/abort."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        if not is_job_id(name):
            return UNKNOWN
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                answer = await self._from_leader("abort", name, constants.INTAKE_DEADLINE_S)
                if answer[0] == 404:
                    answer = await self.telling.settle(name, answer)
        except TimeoutError:
            return LATER
        answer = self.telling.latest(answer)
        if answer[0] == 200 and answer[1]["status"] not in FINAL:
            return LATER  # accepted just now: the leader has yet to learn of it
        return answer

    async def _ask(self, leader: str, what: str, arg: str, timeout: float) -> Answer:
        try:
            reply = await self.peers.ask(leader, {"q": what, "arg": arg}, timeout)
            answer = msgspec.convert(reply, PeerAnswer)
        except (NoAnswer, msgspec.ValidationError) as error:
            log.debug("asking %s: %s", leader, error)
            self.failed_at[leader] = self.clock.now()
            return LATER
        return answer.status, answer.body
