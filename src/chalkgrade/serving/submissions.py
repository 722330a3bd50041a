"""Submissions of jobs, at any controller.

The leader commits many submissions in one batch. A controller that can't reach it commits the
submission itself (`direct_commit`).
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from chalkgrade import constants
from chalkgrade.leading.term import Term, Unavailable
from chalkgrade.machines.flavors import Flavor, tasks_per_machine
from chalkgrade.machines.placement import may_use_machine
from chalkgrade.outside import Clock, NoAnswer
from chalkgrade.record.jobs import (
    JobSpec,
    SubmissionError,
    SubmissionTooLongError,
    parse_submission,
)
from chalkgrade.record.memory import JobMemoryFullError, job_memory_limit_bytes
from chalkgrade.serving.dependency_check import DependencyCheck
from chalkgrade.serving.direct_commit import DirectCommit
from chalkgrade.serving.job_api import JobApi
from chalkgrade.serving.record_reader import MEMORY_FULL, RETRY_LATER, Answer
from chalkgrade.serving.submission_outcome import Decision, DecisionCounts, Evidence, Route
from chalkgrade.settings import Settings
from chalkgrade.state.client import LedgerClient, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.intake")

# The job of a submission was accepted, so it must not be committed again, but its status can't
# be determined now.
ACCEPTED_RETRY_LATER: Answer = (503, RETRY_LATER[1] | {"known": True})
REFUSED_STATUSES = (400, 422, 429)


class Submissions:
    """Accepts the submissions that reach one node."""

    def __init__(
        self,
        settings: Settings,
        ledger: LedgerClient,
        clock: Clock,
        flavors: dict[str, Flavor],
        job_api: JobApi,
    ) -> None:
        """`flavors`: the machine types by name, filled in by the node once they are known."""
        self.ledger = ledger
        self.flavors = flavors
        self.teams = {team.name: team for team in settings.cluster.teams}
        # Checks of the subsystems: each returns why a submission can never run, or None.
        self.submission_checks: list[Callable[[JobSpec], str | None]] = []
        self.decision_counts = DecisionCounts()
        self._job_api = job_api
        self._status_resolver = job_api.status_resolver
        self._dependency_check = DependencyCheck(
            ledger, job_api.finals, job_api.status_resolver.job_status
        )
        memory_limit_bytes = job_memory_limit_bytes(settings.cluster.quota)
        self._direct_commit = DirectCommit(
            ledger, clock, job_api, self._dependency_check, memory_limit_bytes
        )

    @property
    def _term(self) -> Term | None:
        """The node's term as the leader, or None."""
        return self._job_api.term

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
            name = error.name
            decision = await self._unless_accepted(name, _refusal(400, error, Route.LOCAL))
        except SubmissionError as error:
            return 400, {"error": str(error)}
        else:
            name = spec.nameId
            decision = await self._decide_in_time(spec, body)
        self.decision_counts.note(name, decision)
        return decision.answer

    async def submit_for_peer(self, body: bytes) -> Answer:
        """Handle a submission that another node passes to this one, which leads."""
        try:
            spec = parse_submission(body, self.ledger.limits.max_value_bytes)
        except SubmissionTooLongError as error:
            decision = await self._unless_accepted(error.name, _refusal(400, error, Route.LEADER))
            return decision.answer
        except SubmissionError as error:
            return 400, {"error": str(error)}
        decision = await self._unless_accepted(spec.nameId, await self.submit_as_leader(spec))
        return decision.answer

    async def _decide_in_time(self, spec: JobSpec, body: bytes) -> Decision:
        known = self._job_api.finals.get(spec.nameId)
        if known is not None:
            return Decision((200, known), Route.LOCAL, Evidence.FINAL_KEY)
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                decision = await self._unless_accepted(
                    spec.nameId, await self._decide(spec, body.decode())
                )
        except TimeoutError:
            return Decision(RETRY_LATER, Route.LOCAL)
        return decision._replace(answer=self._status_resolver.prefer_final_state(decision.answer))

    async def _decide(self, spec: JobSpec, body: str) -> Decision:
        if not self.flavors:
            return Decision(RETRY_LATER, Route.LOCAL)
        reason = self.rejection_reason(spec)
        if reason is not None:
            return _refusal(422, reason, Route.LOCAL)
        # The leader commits many submissions in one batch.
        if self._term is not None:
            decision = await self.submit_as_leader(spec)
        else:
            timeout_s = constants.PEER_REQUEST_TIMEOUT_S
            answer = await self._job_api.ask_leader("submit", body, timeout_s)
            is_known = answer[0] == 200
            evidence = Evidence.REGISTRY if is_known else Evidence.NOTHING
            decision = Decision(answer, Route.LEADER, evidence)
        status, details = decision.answer
        if status != 503 or details.get("known"):
            return decision
        try:
            return await self._direct_commit.submit(spec)
        except (NotExecuted, NoAnswer, Rejected, msgspec.DecodeError) as error:
            log.info("submission failed: %s: state service: %s", spec.nameId, error)
            return Decision(RETRY_LATER, Route.OWN_COMMIT)

    async def _unless_accepted(self, name: str, decision: Decision) -> Decision:
        """Replace a refusal by the job's status if some node accepted it before.

        A node with other settings, limits or machine types may have accepted it.
        """
        if decision.answer[0] not in REFUSED_STATUSES:
            return decision
        answer = await self._job_api.query(name)
        return decision if answer[0] == 404 else decision._replace(answer=answer)

    async def submit_as_leader(self, spec: JobSpec) -> Decision:
        """Handle a submission as the leader."""
        undecided = Decision(RETRY_LATER, Route.LEADER)
        term = self._term
        if term is None or not term.is_serving():
            return undecided
        try:
            if spec.waitsOn is not None and not term.has_job(spec.nameId):
                reason = await self._dependency_check.rejection_by_registry(spec.waitsOn, term)
                if reason is not None:
                    return _refusal(422, reason, Route.LEADER)
            is_new = await term.submit(spec)
        except JobMemoryFullError:
            return Decision(MEMORY_FULL, Route.LEADER)
        except (Unavailable, NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.info("submission failed: %s: %s", spec.nameId, error)
            return undecided
        # The job is accepted. Answer with its present status, as for a query. If that can't be
        # determined, "pending" is right: this request came before any user was told of the job.
        status, known = await self._job_api.query(spec.nameId)
        if is_new:
            pending = {"nameId": spec.nameId, "status": "pending"}
            return Decision((201, known if status == 200 else pending), Route.LEADER)
        answer = (200, known) if status == 200 else ACCEPTED_RETRY_LATER
        return Decision(answer, Route.LEADER, Evidence.REGISTRY)


def _refusal(status: int, reason: object, route: Route) -> Decision:
    return Decision((status, {"error": str(reason)}), route)
