"""What each queue has and wants in a round: the input of steps 4 to 7."""

from chalkgrade import constants
from chalkgrade.record.jobs import Job
from chalkgrade.seams.gates import Gates
from chalkgrade.settings import Team
from chalkgrade.sharing.floor import Floor
from chalkgrade.sharing.queues import Queues
from chalkgrade.sharing.shares import Demand, Kind, admit
from chalkgrade.vectors import ZERO, Vector, dominant, plus


class Demands:
    """The demands of one round. `least`: the lowest urgency among what may start."""

    def __init__(
        self,
        queues: Queues,
        teams: dict[str, Team],
        floor: Floor,
        held: dict[str, Vector],
        least: int,
        gates: Gates,
    ) -> None:
        self.gates = gates
        self.queues = queues
        self.teams = teams
        self.floor = floor
        self.held = held
        self.least = least

    def of(self, ready: dict[str, list[Job]]) -> dict[str, Demand]:
        """Classes by steps 1 to 3, and what each queue's bursts need now."""
        queues = self.queues
        for jobs in ready.values():
            queues.record(jobs[0])
        # C is 0 at the start: what is guaranteed will be rented, so it counts as room.
        teams = self.teams.values()
        promised = (sum(t.cpus for t in teams), sum(t.gpus for t in teams), 0.0)
        admission_room = tuple(max(a, b) for a, b in zip(queues.peak_room, promised, strict=True))
        declarations = queues.declarations()
        kinds = admit(declarations, admission_room, queues.settings.operator.nmin)
        demands: dict[str, Demand] = {}
        for queue, jobs in sorted(
            ready.items(), key=lambda q: -max(j.spec.urgency_rank for j in q[1])
        ):
            guest = queues.guest(jobs[0])
            kind = Kind.ELASTIC if guest else kinds.get(queue, Kind.ELASTIC)
            record = queues.record(jobs[0])
            if queue == jobs[0].queue and record.kind != kind.value:
                record.kind = kind.value
                queues.touch(queue)
            wants, task, remaining = self.held[queue], ZERO, 0.0
            for job in jobs:
                count = self.gates.able(job, job.startable_count)
                wants = plus(wants, tuple(a * count for a in job.spec.resources))
                task = tuple(max(a, b) for a, b in zip(task, job.spec.resources, strict=True))
                work = (count + len(job.live)) * queues.run_s(job)
                remaining += work * dominant(job.spec.resources, self.floor.capacity)
            declaration = declarations.get(queue)
            rate = declaration.rate if declaration else ZERO
            # Bursts that overlap add up: the rate is at least what they hold and what their
            # next bounds still lack. (Jobs without a waiting task hold room, too: counted
            # for some only, they would use up what the others are granted.)
            now = self.held[queue]
            for job in jobs:
                lack = min(job.startable_count, max(0, self.needed(job) - len(job.live)))
                lack = self.gates.able(job, lack)
                now = plus(now, tuple(a * lack for a in job.spec.resources))
            demands[queue] = Demand(
                queue,
                jobs[0].spec.owner,
                kind,
                task,
                wants,
                tuple(max(a, b) for a, b in zip(rate, now, strict=True)),
                remaining,
                urgency=max(job.spec.urgency_rank for job in jobs),
                needed=ZERO if guest else now,
                guest=guest,
                held=self.held[queue],
            )
        return demands

    def stays(self, job: Job) -> bool:
        """Whether enough machines hold a job's image, so that it need not be fetched to others.

        Their CPUs come free about once a run; in the job's slack that has to
        suffice several times over, since others want them too. Only for half of
        that time: machines that hold the image may never suit this job.
        """
        queues = self.queues
        if not job.spec.pullGb or job.spec.shape == "gang" or not queues.homely(job):
            return False
        run_s = queues.run_s(job)
        least = 2 * (run_s + queues.fetch_s(job))
        slack = queues.slack(job)
        time = least if slack == float("inf") else max(slack, least)
        turns = self.floor.known[job.spec.bundle] * time / run_s
        if turns < constants.STAY_TURNS * len(job.waiting) * job.spec.vcpus:
            return False
        if job.image_affinity_until is None:
            job.image_affinity_until = self.floor.now + time / 2
        return self.floor.now < job.image_affinity_until

    def needed(self, job: Job) -> int:
        """What a job's next bound needs now; the least urgent work is in time just in time.

        More urgent work gets its room early: estimates err, images come late,
        and what runs just in time for it would keep it waiting.
        """
        early = job.spec.urgency_rank > self.least
        return self.queues.needed(job, constants.EARLY_PART if early else 1.0)
