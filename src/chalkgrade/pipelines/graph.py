"""Which jobs wait for which: readiness and cancellation, from durable facts only.

A job's predecessors are named in its record and never change; that one of them is over is
durable before it is told here. So whatever is worked out holds under any later leader too:
a job whose predecessors are all done stays ready, and one with a cancelled job anywhere
before it stays cancelled, although its own record does not say so.
"""

from collections.abc import Callable, Iterator, Mapping

from chalkgrade.record.jobs import Job

WITHDRAWN = "withdrawn"


class Graph:
    """The jobs of one term that wait, or are waited for. No input or output."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        over: Mapping[str, str],
        released: Callable[[Job], None],
        cancelled: Callable[[Job], None],
    ) -> None:
        self.jobs = jobs  # those that are not over
        self.over = over  # those that ended under this token, and how
        self.released = released  # all that a job waited for is done
        self.cancelled = cancelled  # something before it was cancelled
        self.unfinished_dependencies: dict[
            str, set[str]
        ] = {}  # job that is held -> those that are not done yet
        self.successors: dict[str, dict[str, None]] = {}  # job -> those that name it, not over
        self.unresolved: dict[str, None] = {}  # named, and in no record here: to be looked up
        self._last_end_at: dict[
            str, float
        ] = {}  # held job -> wall time of the last end it waited for

    def add_job(self, job: Job, now: float) -> None:
        """A job is known; `now`: wall time. It may have named others, or been named."""
        self.unresolved.pop(job.name, None)
        if job.name in self.unfinished_dependencies or not job.in_pipeline:
            return
        names = job.submitted_spec.waitsOn or []
        for name in names:
            self.successors.setdefault(name, {})[job.name] = None
        if not job.is_blocked or job.aborted:
            return
        if job.pages:
            # An attempt of it is on record: all that it waits for was durably done before.
            job.unblock(job.accepted_at)
            self.released(job)
            return
        self.unfinished_dependencies[job.name] = set(names)
        self._last_end_at[job.name] = job.accepted_at
        for name in names:
            status = self.over.get(name)
            known = self.jobs.get(name)
            if status is not None:
                self._dependency_ended(job, name, status, now)
            elif known is None:
                self.unresolved[name] = None
            elif known.aborted:
                self._cancel_with_successors(job)

    def job_ended(self, name: str, status: str, at: float) -> None:
        """A job is durably over since wall time `at`."""
        self.unresolved.pop(name, None)
        self.unfinished_dependencies.pop(name, None)
        self._last_end_at.pop(name, None)
        for heir in self._unfinished_successors(name):
            self._dependency_ended(heir, name, status, at)

    def remove_ended_job(self, job: Job) -> None:
        """A job is over and no more among `jobs`: nobody is needed by it any more."""
        for before in job.submitted_spec.waitsOn or []:
            self._remove_successor(before, job.name)

    def job_aborted(self, job: Job) -> None:
        """A job is durably aborted, by its user."""
        self.unfinished_dependencies.pop(job.name, None)
        for heir in self._unfinished_successors(job.name):
            self._cancel_with_successors(heir)

    def _remove_successor(self, name: str, heir: str) -> None:
        heirs = self.successors.get(name)
        if heirs is not None:
            heirs.pop(heir, None)
            if not heirs:
                del self.successors[name]
                job = self.jobs.get(name)
                if job is not None:  # nobody needs it any more: what it was lent goes back
                    job.spec, job.due_times = job.submitted_spec, None

    def _unfinished_successors(self, name: str) -> list[Job]:
        found = (self.jobs.get(heir) for heir in list(self.successors.get(name, ())))
        return [job for job in found if job is not None]

    def _dependency_ended(self, job: Job, name: str, status: str, at: float) -> None:
        needs = self.unfinished_dependencies.get(job.name)
        if needs is None:
            return
        if status == WITHDRAWN:
            self._cancel_with_successors(job)
            return
        needs.discard(name)
        self._last_end_at[job.name] = max(self._last_end_at[job.name], at)
        if not needs:
            del self.unfinished_dependencies[job.name]
            job.unblock(self._last_end_at.pop(job.name))
            self.released(job)

    def _cancel_with_successors(self, first: Job) -> None:
        """It and all that need it; none of them has ever started."""
        stack = [first]
        while stack:
            job = stack.pop()
            if not job.is_blocked or job.aborted:
                continue
            job.aborted = True
            self.unfinished_dependencies.pop(job.name, None)
            self._last_end_at.pop(job.name, None)
            self.cancelled(job)
            stack += self._unfinished_successors(job.name)

    def is_cancellation_known(self, job: Job) -> bool:
        """Whether it is known that nothing before a job is cancelled, or being cancelled.

        Else another controller, which reads the record, may know better than we do.
        """
        stack, seen = [job], {job.name}
        while stack:
            for name in self.unfinished_dependencies.get(stack.pop().name, ()):
                if name in self.unresolved:
                    return False
                before = self.jobs.get(name)
                if before is None:
                    continue
                if before.aborting:
                    return False
                if before.is_blocked and name not in seen:
                    seen.add(name)
                    stack.append(before)
        return True

    def ready_within(self, ends: Callable[[Job], float], within: float) -> list[tuple[Job, float]]:
        """The jobs that may run within so many s as things stand, and in how many; the first first.

        `ends`: how long a job that may run takes until it is over; s. What waits for a job
        that waits itself comes later than we look.
        """
        out = []
        for name, needs in self.unfinished_dependencies.items():
            job = self.jobs.get(name)
            before = [self.jobs.get(need) for need in needs]
            if job is None or not all(b is not None and not b.is_blocked for b in before):
                continue
            in_s = max((ends(b) for b in before if b is not None), default=0.0)
            if in_s <= within:
                out.append((job, in_s))
        return sorted(out, key=lambda row: row[1])

    def successors_first(self) -> Iterator[Job]:
        """All that wait or are waited for, those that nobody waits for first.

        A job names only jobs that were accepted before it, so there is no circle; should a
        record say otherwise all the same, its jobs come in any order.
        """
        order: list[str] = []
        seen: set[str] = set()
        for root in [*self.successors, *(n for heirs in self.successors.values() for n in heirs)]:
            stack = [(root, False)]
            while stack:
                name, back = stack.pop()
                if back:
                    order.append(name)
                elif name not in seen:
                    seen.add(name)
                    stack.append((name, True))
                    stack += [(heir, False) for heir in self.successors.get(name, ())]
        for name in order:
            job = self.jobs.get(name)
            if job is not None:
                yield job
