"""What each queue has and wants in a round: the input of steps 4 to 7."""

from chalkgrade import constants
from chalkgrade.record.jobs import Job
from chalkgrade.seams.gates import Gates
from chalkgrade.settings import Team
from chalkgrade.sharing.bopf import QueueDemand, QueueKind, admit
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.queues import Queues
from chalkgrade.vectors import ZERO, Vector, dominant, plus


class DemandCalculator:
    """The demands of one round. `least`: the lowest urgency among what may start."""

    def __init__(
        self,
        queues: Queues,
        teams: dict[str, Team],
        floor: ClusterSnapshot,
        held: dict[str, Vector],
        least: int,
        gates: Gates,
    ) -> None:
        self.gates = gates
        self.queues = queues
        self.teams = teams
        self.snapshot = floor
        self.queue_usage = held
        self.lowest_urgency = least

    def by_queue(self, ready: dict[str, list[Job]]) -> dict[str, QueueDemand]:
        """Classes by steps 1 to 3, and what each queue's bursts need now."""
        queues = self.queues
        for jobs in ready.values():
            queues.queue_record(jobs[0])
        # C is 0 at the start: what is guaranteed will be rented, so it counts as room.
        teams = self.teams.values()
        promised = (sum(t.cpus for t in teams), sum(t.gpus for t in teams), 0.0)
        admission_room = tuple(
            max(a, b) for a, b in zip(queues.peak_capacity, promised, strict=True)
        )
        declarations = queues.declarations()
        kinds = admit(declarations, admission_room, queues.settings.operator.nmin)
        demands: dict[str, QueueDemand] = {}
        for queue, jobs in sorted(ready.items(), key=lambda q: -max(j.spec.rank for j in q[1])):
            guest = queues.is_best_effort(jobs[0])
            kind = QueueKind.ELASTIC if guest else kinds.get(queue, QueueKind.ELASTIC)
            record = queues.queue_record(jobs[0])
            if queue == jobs[0].queue and record.kind != kind.value:
                record.kind = kind.value
                queues.mark_changed(queue)
            wants, task, remaining = self.queue_usage[queue], ZERO, 0.0
            for job in jobs:
                count = self.gates.able(job, job.startable)
                wants = plus(wants, tuple(a * count for a in job.spec.room))
                task = tuple(max(a, b) for a, b in zip(task, job.spec.room, strict=True))
                work = (count + len(job.live)) * queues.expected_run_s(job)
                remaining += work * dominant(job.spec.room, self.snapshot.capacity)
            declaration = declarations.get(queue)
            rate = declaration.rate if declaration else ZERO
            # Bursts that overlap add up: the rate is at least what they hold and what their
            # next bounds still lack. (Jobs without a waiting task hold room, too: counted
            # for some only, they would use up what the others are granted.)
            now = self.queue_usage[queue]
            for job in jobs:
                lack = min(job.startable, max(0, self.tasks_needed_now(job) - len(job.live)))
                lack = self.gates.able(job, lack)
                now = plus(now, tuple(a * lack for a in job.spec.room))
            demands[queue] = QueueDemand(
                queue,
                jobs[0].spec.owner,
                kind,
                task,
                wants,
                tuple(max(a, b) for a, b in zip(rate, now, strict=True)),
                remaining,
                urgency=max(job.spec.rank for job in jobs),
                needed_now=ZERO if guest else now,
                is_best_effort=guest,
                usage=self.queue_usage[queue],
            )
        return demands

    def waits_for_local_image(self, job: Job) -> bool:
        """Whether enough machines hold a job's image, so that it need not be fetched to others.

        Their CPUs come free about once a run; in the job's slack that has to
        suffice several times over, since others want them too. Only for half of
        that time: machines that hold the image may never suit this job.
        """
        queues = self.queues
        if not job.spec.pullGb or job.spec.shape == "gang" or not queues.prefers_local_image(job):
            return False
        run_s = queues.expected_run_s(job)
        least = 2 * (run_s + queues.image_fetch_s(job))
        slack = queues.slack_s(job)
        time = least if slack == float("inf") else max(slack, least)
        turns = self.snapshot.image_cpus[job.spec.bundle] * time / run_s
        if turns < constants.STAY_TURNS * len(job.waiting) * job.spec.vcpus:
            return False
        if job.stays_until is None:
            job.stays_until = self.snapshot.now + time / 2
        return self.snapshot.now < job.stays_until

    def tasks_needed_now(self, job: Job) -> int:
        """What a job's next bound needs now; the least urgent work is in time just in time.

        More urgent work gets its room early: estimates err, images come late,
        and what runs just in time for it would keep it waiting.
        """
        early = job.spec.rank > self.lowest_urgency
        return self.queues.required_concurrency(job, constants.EARLY_PART if early else 1.0)
