"""The jobs that a submission names: whether they were ever accepted, by anybody.

Answered from what can't change (final states), from the leader's book while it surely leads,
and else from reads that began after the question came.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from chalkgrade.leading.term import Term
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.serving.record_reader import Answer, RecordSummary
from chalkgrade.state.ledger import Ledger

SERVICE_SHAPE = "service"


ReadUnfinishedJobs = Callable[
    [], Awaitable[Mapping[str, RecordSummary]]
]  # all jobs not over, read after the call


class DependencyCheck:
    """One node's answers about jobs that others name."""

    def __init__(
        self,
        ledger: Ledger,
        finals: Mapping[str, Mapping[str, Any]],
        records: ReadUnfinishedJobs,
        tell: Callable[[str], Awaitable[Answer]],
    ) -> None:
        self.ledger = ledger
        self.final_states = finals  # final states that are known here
        self.read_unfinished_jobs = records
        self.job_status = tell  # a job's state, as users hear it

    async def dependency_rejection(self, names: list[str], term: Term | None) -> str | None:
        """Why these can't be waited for, or None; NoAnswer where that can't be known now.

        Who surely leads knows all jobs that are not over but those that another node has just
        accepted under a key of their own: so its book comes before the read.
        """
        if term is not None and term.live():
            jobs = term.jobs
            shapes: dict[str, str] = {name: jobs[name].spec.shape for name in names if name in jobs}
            known = shapes.keys() | term.book.over.keys()
            for name in names:
                admission = term.book.admissions.get(name)
                if admission is None or name in known:
                    continue
                if (await self.job_status(name))[0] != 200:
                    raise NoAnswer("one of them is being accepted")
                shapes[name] = admission.value.spec.shape
            known |= shapes.keys()
        else:
            marks = await self.read_unfinished_jobs()
            shapes = {name: marks[name].spec.shape for name in names if name in marks}
            known = shapes.keys() | set[str]()
        for name, shape in shapes.items():
            if shape == SERVICE_SHAPE:
                return f"waitsOn: {name} is a service, which is never done"
        rest = [name for name in names if name not in known and name not in self.final_states]
        # A job that is not over turns into its end atomically: both are looked at at once.
        keys = [prefix + name for name in rest for prefix in (JOB_PREFIX, END_PREFIX)]
        found = await self.ledger.present(keys)
        for name in rest:
            if JOB_PREFIX + name not in found and END_PREFIX + name not in found:
                return f"waitsOn: {name} was never accepted"
        return None
