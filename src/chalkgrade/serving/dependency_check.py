"""Checks the jobs that a submission depends on: whether they were ever accepted.

The sources are final states, which never change; the leader's job registry while its lease is
valid; and otherwise reads of the state service that start after the request arrived.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.serving.record_reader import Answer, RecordSummary
from chalkgrade.state.client import LedgerClient

SERVICE_SHAPE = "service"


# Returns all unfinished jobs, by a read that starts after the call.
ReadUnfinishedJobs = Callable[[], Awaitable[Mapping[str, RecordSummary]]]


class DependencyCheck:
    """Checks dependencies on behalf of one node."""

    def __init__(
        self,
        ledger: LedgerClient,
        finals: Mapping[str, Mapping[str, Any]],
        records: ReadUnfinishedJobs,
        tell: Callable[[str], Awaitable[Answer]],
    ) -> None:
        """`tell` returns a job's status as users get it."""
        self.ledger = ledger
        self.finals = finals  # job -> final state, as far as this node knows
        self.read_unfinished_jobs = records
        self.job_status = tell

    async def dependency_rejection(self, names: list[str], term: Term | None) -> str | None:
        """Return why a submission can't wait for these jobs, or None.

        Raises NoAnswer when that can't be determined now. A leader with a valid lease knows all
        unfinished jobs except those that another node has just accepted under a key of their
        own; so its registry is used first and the read finds the others.
        """
        if term is not None and term.is_serving():
            jobs = term.jobs
            shapes: dict[str, str] = {name: jobs[name].spec.shape for name in names if name in jobs}
            known = shapes.keys() | term.registry.over.keys()
            for name in names:
                admission = term.registry.admissions.get(name)
                if admission is None or name in known:
                    continue
                if (await self.job_status(name))[0] != 200:
                    raise NoAnswer("a job in waitsOn is still being accepted")
                shapes[name] = admission.value.spec.shape
            known |= shapes.keys()
        else:
            unfinished = await self.read_unfinished_jobs()
            shapes = {name: unfinished[name].spec.shape for name in names if name in unfinished}
            known = shapes.keys() | set[str]()
        for name, shape in shapes.items():
            if shape == SERVICE_SHAPE:
                return f"waitsOn: {name} is a service, which is never done"
        unresolved = [name for name in names if name not in known and name not in self.finals]
        # One commit replaces a job's record by its final state: both keys are read together.
        keys = [prefix + name for name in unresolved for prefix in (JOB_PREFIX, END_PREFIX)]
        found = await self.ledger.existing_keys(keys)
        for name in unresolved:
            if JOB_PREFIX + name not in found and END_PREFIX + name not in found:
                return f"waitsOn: {name} was never accepted"
        return None
