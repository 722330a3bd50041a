"""Checks the jobs that a submission depends on: whether they were ever accepted.

The sources are final states, which never change; the leader's job registry while its lease is
valid; and otherwise reads of the state service that start after the request arrived.
"""

from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any

from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.serving.record_reader import Answer, RecordSummary
from chalkgrade.state.client import LedgerClient

SERVICE_SHAPE = "service"


class DependencyCheck:
    """Checks dependencies on behalf of one node."""

    def __init__(
        self,
        ledger: LedgerClient,
        finals: Mapping[str, Mapping[str, Any]],
        job_status: Callable[[str], Awaitable[Answer]],
    ) -> None:
        """`job_status` returns a job's status as users get it."""
        self.ledger = ledger
        self.finals = finals  # job -> final state, as far as this node knows
        self.job_status = job_status

    async def rejection_by_registry(self, names: list[str], term: Term) -> str | None:
        """Return why a submission can't wait for these jobs, or None, for a leader that serves.

        Its registry knows all unfinished jobs except those that another node has just accepted
        under a key of their own, which are read. Raises NoAnswer if it can't be determined now.
        """
        jobs = term.jobs
        shapes: dict[str, str] = {name: jobs[name].spec.shape for name in names if name in jobs}
        for name in names:
            admission = term.registry.admissions.get(name)
            if admission is None or name in shapes or name in term.registry.over:
                continue
            if (await self.job_status(name))[0] != 200:
                raise NoAnswer("a job in waitsOn is still being accepted")
            shapes[name] = admission.value.spec.shape
        return await self._rejection(names, shapes, term.registry.over.keys())

    async def rejection_by_records(
        self, names: list[str], records: Mapping[str, RecordSummary]
    ) -> str | None:
        """Return why a submission can't wait for these jobs, or None.

        `records` are all unfinished jobs, by a scan that started after the submission arrived.
        Raises NoAnswer if it can't be determined now.
        """
        shapes = {name: records[name].spec.shape for name in names if name in records}
        return await self._rejection(names, shapes, ())

    async def _rejection(
        self, names: list[str], shapes: Mapping[str, str], over: Collection[str]
    ) -> str | None:
        """`shapes`: of the unfinished ones of these jobs; `over`: jobs known to be over."""
        for name, shape in shapes.items():
            if shape == SERVICE_SHAPE:
                return f"waitsOn: {name} is a service, which is never done"
        unresolved = [
            name
            for name in names
            if name not in shapes and name not in over and name not in self.finals
        ]
        # One commit replaces a job's record by its final state: both keys are read together.
        keys = [prefix + name for name in unresolved for prefix in (JOB_PREFIX, END_PREFIX)]
        found = await self.ledger.existing_keys(keys)
        for name in unresolved:
            if JOB_PREFIX + name not in found and END_PREFIX + name not in found:
                return f"waitsOn: {name} was never accepted"
        return None
