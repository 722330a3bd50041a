"""Submissions of jobs, at any controller.

The leader commits many submissions in one batch. A controller that can't reach it commits the
submission itself, on the condition that the job does not exist yet.
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
from chalkgrade.record import dependency_lists
from chalkgrade.record.jobs import (
    END_PREFIX,
    JOB_PREFIX,
    JobSpec,
    JobValue,
    SubmissionError,
    SubmissionTooLongError,
    parse_submission,
)
from chalkgrade.serving.dependency_check import DependencyCheck
from chalkgrade.serving.job_api import JobApi
from chalkgrade.serving.record_reader import RETRY_LATER, Answer
from chalkgrade.settings import Settings
from chalkgrade.state.client import Conflict, LedgerClient, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.intake")

# The job of a submission was accepted, so it must not be committed again, but its status can't
# be determined now.
ACCEPTED_RETRY_LATER: Answer = (503, RETRY_LATER[1] | {"known": True})


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
        self.clock = clock
        self.flavors = flavors
        self.teams = {team.name: team for team in settings.cluster.teams}
        # Checks of the subsystems: each returns why a submission can never run, or None.
        self.submission_checks: list[Callable[[JobSpec], str | None]] = []
        self._job_api = job_api
        self._status_resolver = job_api.status_resolver
        self.dependency_check = DependencyCheck(
            ledger,
            job_api.finals,
            job_api.record_reader.read_unfinished_jobs,
            job_api.status_resolver.job_status,
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
            # A job accepted under other limits must not be refused when it is submitted again.
            name = msgspec.json.decode(body, type=JobSpec).nameId
            return await self._unless_accepted(name, (400, {"error": str(error)}))
        except SubmissionError as error:
            return 400, {"error": str(error)}
        known = self._job_api.finals.get(spec.nameId)
        if known is not None:
            return 200, known
        try:
            async with asyncio.timeout(constants.INTAKE_DEADLINE_S):
                return self._status_resolver.prefer_final_state(await self._submit_spec(spec, body))
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
        if self._term is not None:
            answer = await self.submit_as_leader(spec)
        else:
            answer = await self._job_api.ask_leader(
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
        status, known = await self._job_api.query(name)
        return answer if status == 404 else (status, known)

    async def _dependency_error(self, spec: JobSpec) -> Answer | None:
        """Return the answer if a job's dependencies rule it out or can't be checked, else None."""
        if spec.waitsOn is None or (self._term is not None and self._term.has_job(spec.nameId)):
            return None
        try:
            refusal = await self.dependency_check.dependency_rejection(spec.waitsOn, self._term)
        except (NoAnswer, NotExecuted, Rejected, msgspec.DecodeError) as error:
            log.info("dependency check failed: %s: %s", spec.nameId, error)
            return await self._unless_accepted(spec.nameId, RETRY_LATER)
        if refusal is None:
            return None
        return await self._unless_accepted(spec.nameId, (422, {"error": refusal}))

    async def submit_as_leader(self, spec: JobSpec) -> Answer:
        """Handle a submission as the leader."""
        if self._term is None:
            return RETRY_LATER
        refused = await self._dependency_error(spec)
        if refused is not None or self._term is None:
            return refused or RETRY_LATER
        try:
            is_new = await self._term.submit(spec)
        except (Unavailable, NoAnswer, NotExecuted, Rejected):
            return RETRY_LATER
        # The job is accepted. Answer with its present status, as for a query. If that can't be
        # determined, "pending" is right: this request came before any user was told of the job.
        status, known = await self._job_api.query(spec.nameId)
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
                status, known = await self._job_api.query(name)
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
                status, known = await self._status_resolver.resolve_answer(name, RETRY_LATER)
                if status == 200:
                    return 201, known
                if attempt:
                    raise
            else:
                # The leader may have the job in a batch, and even aborted: read its status.
                status, known = await self._status_resolver.resolve_answer(name, RETRY_LATER)
                return (201, known) if status == 200 else RETRY_LATER
        return RETRY_LATER
