"""What users hear: submissions, queries and aborts, at any controller.

A submission is committed by whichever node gets it, conditioned on the job
being unknown. Whatever is not final is answered by the leader from its book or
from a fresh read of the state service, and otherwise not at all (503): an
older answer must never follow a newer one.
"""

import asyncio
import logging
from collections import OrderedDict
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.controller import Term, Unavailable
from chalkgrade.fleet import Flavor
from chalkgrade.jobs import (
    BATCH_PREFIX,
    END_PREFIX,
    ID_FORM,
    JOB_PREFIX,
    TASK_PREFIX,
    BatchValue,
    EndValue,
    Invalid,
    JobSpec,
    JobValue,
    PageValue,
    parse_submission,
)
from chalkgrade.leadership import Leadership
from chalkgrade.ledger import Conflict, Ledger, NotExecuted, Rejected
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.placement import allowed
from chalkgrade.rentals import per_machine
from chalkgrade.settings import Settings

log = logging.getLogger("chalkgrade.intake")

Answer = tuple[int, dict[str, Any]]
LATER: Answer = (503, {"error": "can't be decided now, come back"})
UNKNOWN: Answer = (404, {"error": "no such job"})


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
    ) -> None:
        self.settings = settings
        self.ledger = ledger
        self.leadership = leadership
        self.peers = peers
        self.clock = clock
        self.flavors = flavors
        self.term: Term | None = None
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.finals: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def remember(self, name: str, status: str, done: int) -> dict[str, Any]:
        """Keep a final state: it never changes, so any node may repeat it."""
        answer = {"nameId": name, "status": status, "done": done, "running": 0}
        self.finals[name] = answer
        while len(self.finals) > constants.FINAL_CACHE:
            self.finals.popitem(last=False)
        return answer

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
        if not any(
            per_machine(spec, flavor) >= 1
            and any(
                allowed(spec, flavor.sku, site, standby)
                for site in flavor.sites
                for standby in (True, False)
            )
            for flavor in self.flavors.values()
        ):
            return "a task fits no allowed machine type"
        zones = {site for flavor in self.flavors.values() for site in flavor.sites}
        if (
            spec.spread
            and spec.shape != "batch"
            and spec.tasks > 1
            and (spec.oneZone or spec.site is not None or len(zones) < 2)
        ):
            return "spread: the replicas can't be in two zones"
        return None

    async def submit(self, body: bytes) -> Answer:
        """POST /v2/runs."""
        try:
            spec = parse_submission(body, self.settings.cluster.state.value_kb)
        except Invalid as error:
            return 400, {"error": str(error)}
        known = self.finals.get(spec.nameId)
        if known is not None:
            return 200, known
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                return await self._submit(spec, body)
        except TimeoutError:
            return LATER

    async def _submit(self, spec: JobSpec, body: bytes) -> Answer:
        if not self.flavors:
            return LATER
        refusal = self.refusal(spec)
        if refusal is not None:
            # A job accepted under other settings must not be refused when it is repeated.
            status, known = await self.query(spec.nameId)
            return (422, {"error": refusal}) if status == 404 else (status, known)
        # The leader makes many submissions durable with one change. Whoever can't
        # reach it commits alone, under the condition that the job is unknown.
        if self.term is not None:
            answer = await self.admit(spec)
        else:
            answer = await self._from_leader("submit", body.decode(), constants.PEER_TIMEOUT_S)
        if answer[0] != 503:
            return answer
        try:
            return await self.accept(spec)
        except (NotExecuted, NoAnswer) as error:
            log.info("submission of %s: state service: %s", spec.nameId, error)
            return LATER

    async def admit(self, spec: JobSpec) -> Answer:
        """Accept a submission as the leader."""
        if self.term is None:
            return LATER
        try:
            if await self.term.submit(spec):
                return 201, {"nameId": spec.nameId, "status": "pending"}
        except (Unavailable, NoAnswer):
            return LATER
        status, known = await self.query(spec.nameId)
        return status if status != 404 else 503, known

    async def accept(self, spec: JobSpec) -> Answer:
        """Commit a submission, if the job is not known."""
        name = spec.nameId
        value = JobValue(spec, self.clock.wall())
        for attempt in range(2):
            try:
                await self.ledger.commit(
                    {JOB_PREFIX + name: 0, END_PREFIX + name: 0},
                    [{"write": JOB_PREFIX + name, "v": value}],
                    timeout=constants.STATE_TIMEOUT_S / 2,
                )
            except Conflict:
                status, known = await self.query(name)
                return status if status != 404 else 503, known
            except Rejected as error:
                return 400, {"error": f"can't be kept: {error}"}
            except (NotExecuted, NoAnswer):
                if attempt:
                    raise
                await asyncio.sleep(0.1)
            else:
                # The leader may hold it in a batch, aborted even: say what is true of it.
                status, known = await self._read(name)
                return (201, known) if status == 200 else LATER
        return LATER

    # -- queries ------------------------------------------------------------------

    async def query(self, name: str) -> Answer:
        """GET /v2/runs/{id}."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        if not ID_FORM.match(name) or len(name) > 100:
            return UNKNOWN
        answer = await self._from_leader("status", name, constants.PEER_TIMEOUT_S / 2)
        if answer[0] == 200:
            return answer
        try:
            async with asyncio.timeout(constants.QUERY_DEADLINE_S):
                return await self._read(name)
        except (TimeoutError, NoAnswer, NotExecuted, msgspec.DecodeError):
            return LATER

    async def _from_leader(self, what: str, name: str, timeout: float) -> Answer:
        """Ask the leader, wherever it is: 404 here only means that its book lacks the job."""
        if self.term is not None and self.term.live():
            return await self.lead(what, name)
        leader = self.leadership.leader
        if leader is None or leader == self.settings.member:
            return LATER
        answer = await self._ask(leader, what, name, timeout)
        if answer[0] == 200 and answer[1].get("status") in ("done", "withdrawn"):
            self.remember(name, answer[1]["status"], answer[1].get("done", 0))
        return answer

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
                status = term.status(name)
                return (200, status) if status is not None else UNKNOWN
            final = await term.abort(name)
            return (200, {"nameId": name, "status": final}) if final is not None else UNKNOWN
        except Unavailable:
            return LATER

    async def _read(self, name: str) -> Answer:
        """A fresh read: the end last, since what is looked at before turns into it atomically.

        A job can have two records: a repeated submission that could not reach the
        leader makes a second one. Either may say that the job was aborted.
        """
        row = await self.ledger.get(JOB_PREFIX + name)
        values = [] if row is None else [msgspec.json.decode(row.v, type=JobValue)]
        rows, _ = await self.ledger.scan(BATCH_PREFIX)
        batches = [msgspec.json.decode(row.v, type=BatchValue).jobs for row in rows]
        values += [job for jobs in batches for job in jobs if job.spec.nameId == name]
        row = await self.ledger.get(END_PREFIX + name)
        if row is not None:
            end = msgspec.json.decode(row.v, type=EndValue)
            return 200, self.remember(name, end.status, end.tasks)
        if not values:
            return UNKNOWN
        if any(value.aborted for value in values):
            return 200, self.remember(name, "withdrawn", 0)
        rows, _ = await self.ledger.scan(f"{TASK_PREFIX}{name}/")
        done = running = 0
        for row in rows:
            page = msgspec.json.decode(row.v, type=PageValue)
            done += sum(high - low + 1 for low, high in page.d)
            running += len(page.l)
        status = "running" if running else "pending"
        return 200, {"nameId": name, "status": status, "done": done, "running": running}

    async def abort(self, name: str) -> Answer:
        """POST /v2/runs/{id}/abort."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        if not ID_FORM.match(name) or len(name) > 100:
            return UNKNOWN
        answer = await self._from_leader("abort", name, constants.INTAKE_DEADLINE_S)
        if answer[0] != 404:
            return answer
        try:
            async with asyncio.timeout(constants.QUERY_DEADLINE_S):
                status, known = await self._read(name)
        except (TimeoutError, NoAnswer, NotExecuted, msgspec.DecodeError):
            return LATER
        if status == 200 and known["status"] not in ("done", "withdrawn"):
            return LATER  # accepted just now: the leader has yet to learn of it
        return status, known

    async def _ask(self, leader: str, what: str, arg: str, timeout: float) -> Answer:
        try:
            reply = await self.peers.ask(leader, {"q": what, "arg": arg}, timeout)
            answer = msgspec.convert(reply, PeerAnswer)
        except (NoAnswer, msgspec.ValidationError) as error:
            log.debug("asking %s: %s", leader, error)
            return LATER
        return answer.status, answer.body
