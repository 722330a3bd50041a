"""Calculates what each queue uses and wants in a round: the input of steps 4 to 7 of BoPF."""

from chalkgrade import constants
from chalkgrade.extensions.constraints import ConstraintSet
from chalkgrade.record.jobs import Job
from chalkgrade.settings import Team
from chalkgrade.sharing.bopf import QueueDemand, QueueKind, admit
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.isolation import JobIsolation
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, dominant_share, plus


class DemandCalculator:
    """Calculates the demands of one round.

    `queue_usage` maps a queue to the resources its running tasks hold. `lowest_urgency` is that
    of the least urgent job that may start in the round.
    """

    def __init__(
        self,
        queues: Queues,
        teams: dict[str, Team],
        snapshot: ClusterSnapshot,
        queue_usage: dict[str, Vector],
        lowest_urgency: int,
        constraints: ConstraintSet,
        isolation: JobIsolation,
    ) -> None:
        self.constraints = constraints
        self.isolation = isolation
        self.queues = queues
        self.teams = teams
        self.snapshot = snapshot
        self.queue_usage = queue_usage
        self.lowest_urgency = lowest_urgency

    def by_queue(self, ready: dict[str, list[Job]]) -> dict[str, QueueDemand]:
        """Return each queue's demand: its kind by steps 1 to 3 and what its bursts need now.

        `ready` maps a queue to its jobs that may start. The kinds are stored in the queue records.
        """
        queues = self.queues
        for jobs in ready.values():
            queues.queue_record(jobs[0])
        # The capacity C of the paper is 0 before any machine reports. What is guaranteed to teams
        # will be rented, so it counts as capacity in admission.
        teams = self.teams.values()
        guaranteed = (sum(t.cpus for t in teams), sum(t.gpus for t in teams), 0.0)
        admission_room = tuple(
            max(a, b) for a, b in zip(queues.peak_capacity, guaranteed, strict=True)
        )
        declarations = queues.declarations()
        kinds = admit(declarations, admission_room, queues.settings.operator.nmin)
        demands: dict[str, QueueDemand] = {}
        for queue, jobs in sorted(
            ready.items(), key=lambda q: -max(j.spec.urgency_rank for j in q[1])
        ):
            best_effort = queues.is_best_effort(jobs[0])
            kind = QueueKind.ELASTIC if best_effort else kinds.get(queue, QueueKind.ELASTIC)
            record = queues.queue_record(jobs[0])
            if queue == jobs[0].queue and record.kind != kind.value:
                record.kind = kind.value
                queues.mark_changed(queue)
            wanted, task, remaining_work = self.queue_usage[queue], ZERO, 0.0
            for job in self.isolation.each(jobs):
                count = self.constraints.max_demand(job, job.startable_count)
                wanted = plus(wanted, tuple(a * count for a in job.spec.resources))
                task = tuple(max(a, b) for a, b in zip(task, job.spec.resources, strict=True))
                work = (count + len(job.live)) * queues.expected_run_s(job)
                remaining_work += work * dominant_share(job.spec.resources, self.snapshot.capacity)
            declaration = declarations.get(queue)
            rate = declaration.rate if declaration else ZERO
            # Overlapping bursts add up: the rate is at least what the queue holds plus what its
            # jobs still lack for their next bounds. The sum starts from all that the queue holds,
            # because jobs without waiting tasks hold resources too; if they were left out, they
            # would use up what the other jobs are granted.
            needed_now = self.queue_usage[queue]
            for job in self.isolation.each(jobs):
                missing = min(
                    job.startable_count, max(0, self.tasks_needed_now(job) - len(job.live))
                )
                missing = self.constraints.max_demand(job, missing)
                needed_now = plus(needed_now, tuple(a * missing for a in job.spec.resources))
            demands[queue] = QueueDemand(
                queue,
                jobs[0].spec.owner,
                kind,
                task,
                wanted,
                tuple(max(a, b) for a, b in zip(rate, needed_now, strict=True)),
                remaining_work,
                urgency=max(job.spec.urgency_rank for job in jobs),
                needed_now=ZERO if best_effort else needed_now,
                is_best_effort=best_effort,
                usage=self.queue_usage[queue],
            )
        return demands

    def waits_for_local_image(self, job: Job) -> bool:
        """Whether a job should wait for machines that already hold its image.

        The CPUs of those machines become free about once per run time. Within the job's slack
        they must cover its waiting tasks several times over, since other jobs want them too. The
        job waits for at most half of that time, because the machines that hold the image may
        never become usable for it.
        """
        queues = self.queues
        if not job.spec.pullGb or job.spec.shape == "gang" or not queues.prefers_local_image(job):
            return False
        run_s = queues.expected_run_s(job)
        min_wait_s = 2 * (run_s + queues.image_fetch_s(job))
        slack_s = queues.slack_s(job)
        wait_s = min_wait_s if slack_s == float("inf") else max(slack_s, min_wait_s)
        cpu_runs = self.snapshot.image_cpus[job.spec.bundle] * wait_s / run_s
        if cpu_runs < constants.IMAGE_LOCALITY_CPU_RATIO * len(job.waiting) * job.spec.vcpus:
            return False
        if job.image_affinity_until is None:
            job.image_affinity_until = self.snapshot.now + wait_s / 2
        return self.snapshot.now < job.image_affinity_until

    def tasks_needed_now(self, job: Job) -> int:
        """How many of a job's tasks must run now to meet its next bound.

        Work of the lowest urgency is scheduled to end exactly at its bound. More urgent work gets
        its resources earlier, because estimates err, images arrive late, and less urgent tasks
        that were started in the meantime would keep it waiting.
        """
        early = job.spec.urgency_rank > self.lowest_urgency
        return self.queues.required_concurrency(
            job, constants.EARLY_START_SLACK_RATIO if early else 1.0
        )
