"""The dependency graph: which jobs are ready or cancelled, derived from durable facts only.

The predecessors of a job are part of its record and never change, and the end of a predecessor
is durable before it is reported to the graph. The results therefore hold under every later
leader: a job whose predecessors are all done stays ready, and a job with a cancelled job
anywhere before it stays cancelled, although its own record does not say so.
"""

from collections.abc import Callable, Iterator, Mapping

from chalkgrade.record.jobs import Job

WITHDRAWN = "withdrawn"


class Graph:
    """The jobs of one term that wait for others or that others wait for. Does no I/O."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        over: Mapping[str, str],
        released: Callable[[Job], None],
        cancelled: Callable[[Job], None],
    ) -> None:
        self.jobs = jobs  # unfinished jobs by name
        self.over = over  # final status of jobs that ended in this term
        self.released = released  # called when all dependencies of a job are done
        self.cancelled = cancelled  # called when a job is cancelled with a predecessor
        self.unfinished_dependencies: dict[str, set[str]] = {}  # blocked job -> jobs not done
        self.successors: dict[str, dict[str, None]] = {}  # job -> unfinished jobs that name it
        self.unresolved: dict[str, None] = {}  # named jobs whose end must be read
        self._last_end_at: dict[
            str, float
        ] = {}  # blocked job -> wall time of its last dependency's end

    def add_job(self, job: Job, now: float) -> None:
        """Adds a job, which may name others or be named by others. `now` is the wall time."""
        self.unresolved.pop(job.name, None)
        if job.name in self.unfinished_dependencies or not job.in_pipeline:
            return
        names = job.submitted_spec.waitsOn or []
        for name in names:
            self.successors.setdefault(name, {})[job.name] = None
        if not job.is_blocked or job.aborted:
            return
        if job.pages:
            # An attempt is on record, so all dependencies were durably done before.
            job.unblock(job.accepted_at)
            self.released(job)
            return
        self.unfinished_dependencies[job.name] = set(names)
        self._last_end_at[job.name] = job.accepted_at
        for name in names:
            status = self.over.get(name)
            dependency = self.jobs.get(name)
            if status is not None:
                self._dependency_ended(job, name, status, now)
            elif dependency is None:
                self.unresolved[name] = None
            elif dependency.aborted:
                self._cancel_with_successors(job)

    def job_ended(self, name: str, status: str, at: float) -> None:
        """Handles the durable end of a job at wall time `at`, with its final status."""
        self.unresolved.pop(name, None)
        self.unfinished_dependencies.pop(name, None)
        self._last_end_at.pop(name, None)
        for successor in self._unfinished_successors(name):
            self._dependency_ended(successor, name, status, at)

    def remove_ended_job(self, job: Job) -> None:
        """Removes a job that is over, and no longer in `jobs`, from the successors of others."""
        for dependency in job.submitted_spec.waitsOn or []:
            self._remove_successor(dependency, job.name)

    def job_aborted(self, job: Job) -> None:
        """Cancels the successors of a job that is durably aborted by its user."""
        self.unfinished_dependencies.pop(job.name, None)
        for successor in self._unfinished_successors(job.name):
            self._cancel_with_successors(successor)

    def _remove_successor(self, name: str, successor: str) -> None:
        """Removes a successor of a job; without any left the job gets its own urgency back."""
        successors = self.successors.get(name)
        if successors is not None:
            successors.pop(successor, None)
            if not successors:
                del self.successors[name]
                job = self.jobs.get(name)
                if job is not None:  # no successor is left: drop the inherited urgency and deadline
                    job.spec, job.due_times = job.submitted_spec, None

    def _unfinished_successors(self, name: str) -> list[Job]:
        found = (self.jobs.get(successor) for successor in list(self.successors.get(name, ())))
        return [job for job in found if job is not None]

    def _dependency_ended(self, job: Job, name: str, status: str, at: float) -> None:
        unfinished = self.unfinished_dependencies.get(job.name)
        if unfinished is None:
            return
        if status == WITHDRAWN:
            self._cancel_with_successors(job)
            return
        unfinished.discard(name)
        self._last_end_at[job.name] = max(self._last_end_at[job.name], at)
        if not unfinished:
            del self.unfinished_dependencies[job.name]
            job.unblock(self._last_end_at.pop(job.name))
            self.released(job)

    def _cancel_with_successors(self, first: Job) -> None:
        """Cancels a blocked job and all its successors, none of which has ever started."""
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
        """Tells whether it is certain that no predecessor of a job is or is being cancelled.

        If it is not, another controller that reads the record may know of a cancellation that
        this leader does not know yet.
        """
        stack, seen = [job], {job.name}
        while stack:
            for name in self.unfinished_dependencies.get(stack.pop().name, ()):
                if name in self.unresolved:
                    return False
                dependency = self.jobs.get(name)
                if dependency is None:
                    continue
                if dependency.aborting:
                    return False
                if dependency.is_blocked and name not in seen:
                    seen.add(name)
                    stack.append(dependency)
        return True

    def ready_within(
        self, remaining_s: Callable[[Job], float], within_s: float
    ) -> list[tuple[Job, float]]:
        """Returns the blocked jobs that become ready within `within_s`, and their delay, sorted.

        `remaining_s` returns the seconds until a job that is not blocked is over. Jobs that wait
        for a blocked job are left out, since they become ready later.
        """
        out = []
        for name, unfinished in self.unfinished_dependencies.items():
            job = self.jobs.get(name)
            dependencies = [self.jobs.get(need) for need in unfinished]
            if job is None or not all(b is not None and not b.is_blocked for b in dependencies):
                continue
            delay_s = max((remaining_s(b) for b in dependencies if b is not None), default=0.0)
            if delay_s <= within_s:
                out.append((job, delay_s))
        return sorted(out, key=lambda row: row[1])

    def successors_first(self) -> Iterator[Job]:
        """Yields the unfinished jobs with dependencies or successors, each after its successors.

        A job names only jobs that were accepted before it, so there is no cycle. If a record
        has one all the same, its jobs come in any order.
        """
        order: list[str] = []
        seen: set[str] = set()
        for root in [
            *self.successors,
            *(n for successors in self.successors.values() for n in successors),
        ]:
            stack = [(root, False)]
            while stack:
                name, visited = stack.pop()
                if visited:
                    order.append(name)
                elif name not in seen:
                    seen.add(name)
                    stack.append((name, True))
                    stack += [(successor, False) for successor in self.successors.get(name, ())]
        for name in order:
            job = self.jobs.get(name)
            if job is not None:
                yield job
