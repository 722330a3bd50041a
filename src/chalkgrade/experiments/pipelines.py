"""Late pipelines and makespan against a clairvoyant's, on cases small enough to be solved.

Twelve slots, four pipelines and some single jobs, all that comes unknown until it comes. Ours
is the program's own: graph, inherited deadlines and urgency, and its rounds; against first come
first served, and the jobs' own urgency alone, both of which fill every free slot.
"""

import random
from collections.abc import Callable
from typing import Any

from chalkgrade.experiments.licences import plain_settings
from chalkgrade.machines.flavors import Flavor
from chalkgrade.machines.fleet import Fleet, Report, TaskReport
from chalkgrade.pipelines.graph import Graph
from chalkgrade.pipelines.integer_program import Stage, optimal_outcome
from chalkgrade.pipelines.slack import propagate_requirements
from chalkgrade.record.jobs import Job, JobSpec, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.loop import ManualClock
from chalkgrade.settings import Team
from chalkgrade.sharing.queues import Queues
from chalkgrade.sharing.rounds import SchedulingRound

MACHINES, CPUS = 3, 4
STEP_S = 10.0
HORIZON = 30
SOLVE_S = 60.0
URGENCY = ("best_effort", "standard", "high")


class Case:
    """Stages as they come, with what users say of them."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.stages: list[Stage] = []
        self.urgency: list[str] = []
        for _ in range(4):
            at, first = rng.randrange(0, 6), len(self.stages)
            sizes = [(rng.randint(1, 3), 1), (rng.randint(4, 10), 2), (rng.randint(1, 2), 1)]
            longest = sum(steps for _, steps in sizes)
            due = at + longest + rng.randint(1, 4)
            for number, (tasks, steps) in enumerate(sizes):
                needs = (first + number - 1,) if number else ()
                last = number == len(sizes) - 1
                self.stages.append(Stage(tasks, steps, at, needs, due if last else None))
                self.urgency.append("high" if last else "best_effort")
        for _ in range(4):
            self.stages.append(Stage(rng.randint(4, 12), rng.randint(1, 3), rng.randrange(0, 8)))
            self.urgency.append(rng.choice(URGENCY[:2]))


def outcome(case: Case, ends: list[int]) -> tuple[int, int]:
    late = sum(s.due is not None and end > s.due for s, end in zip(case.stages, ends, strict=True))
    return late, max(ends)


def greedy(case: Case, order: Callable[[int], Any]) -> tuple[int, int]:
    """Every free slot goes to the first in order that may run."""
    left = [stage.tasks for stage in case.stages]
    running: list[tuple[int, int]] = []  # until when, which stage
    ends = [0] * len(left)
    step = 0
    while any(not end for end in ends):
        for until, number in [row for row in running if row[0] <= step]:
            running.remove((until, number))
            if not left[number] and all(other != number for _, other in running):
                ends[number] = step
        ready = [
            number
            for number, stage in enumerate(case.stages)
            if left[number] and stage.arrives <= step and all(ends[need] for need in stage.needs)
        ]
        for number in sorted(ready, key=order):
            while left[number] and len(running) < MACHINES * CPUS:
                running.append((step + case.stages[number].steps, number))
                left[number] -= 1
        step += 1
    return outcome(case, ends)


def ours(case: Case) -> tuple[int, int]:
    """The program's own rounds, one a step, without stops."""
    clock, log = ManualClock(), OpLog(16 * 1024)
    teams = [Team("desk"), Team("other")]
    settings = plain_settings(teams)
    flavors = {"quad": Flavor("quad", float(CPUS), 64.0, ["a"])}
    queues, fleet = Queues(settings, clock, flavors), Fleet(clock, 1, 1e6, STEP_S)
    jobs: dict[str, Job] = {}
    over: dict[str, str] = {}
    ends = [0] * len(case.stages)
    graph = Graph(jobs, over, queues.observe_submission, lambda job: None)
    until: dict[tuple[str, int], int] = {}
    step = 0
    while any(not end for end in ends):
        for number, stage in enumerate(case.stages):
            if stage.arrives == step:
                _submit(case, number, clock, log, jobs, graph, queues)
        for name, job in list(jobs.items()):
            for attempt in list(job.live.values()):
                if until[attempt.name, attempt.number] <= step:
                    job.finish(attempt, True)
                    fleet.machines[attempt.machine].detach(attempt)
            if job.is_complete:
                ends[int(name[4:])] = step
                over[name] = "done"
                del jobs[name]
                graph.remove_ended_job(job)
                graph.job_ended(name, "done", clock.wall())
        for number in range(MACHINES):
            name = f"host-{number}"
            known = fleet.machines.get(name)
            tasks = [TaskReport(t, n) for t, n in (known.attempts if known is not None else {})]
            fleet.accept_report(Report(name, 1, step + 1, 1, "quad", "a", tasks=tasks))
        propagate_requirements(graph, queues.due_times, lambda job: queues.expected_run_s(job))
        named = {team.name: team for team in teams}
        SchedulingRound(jobs, fleet, named, flavors, queues, clock, preempt=False).run()
        for job in jobs.values():
            for attempt in job.live.values():
                if (attempt.name, attempt.number) not in until:
                    steps = case.stages[int(job.name[4:])].steps
                    until[attempt.name, attempt.number] = step + steps
                    attempt.running_since = clock.now()
        log.pending.clear()
        log.undurable_ends.clear()
        step += 1
        clock.at += STEP_S
    return outcome(case, ends)


def _submit(
    case: Case, number: int, clock: ManualClock, log: OpLog, jobs: dict[str, Job], graph: Graph,
    queues: Queues,
) -> None:  # fmt: skip
    stage = case.stages[number]
    waits = [f"run-{need:06d}" for need in stage.needs] or None
    due = None if stage.due is None else (stage.due - stage.arrives) * STEP_S
    owner = "desk" if stage.needs or stage.due is not None else "other"
    made = JobSpec(
        f"run-{number:06d}", f"class{number}", owner, "batch", case.urgency[number], stage.tasks,  # type: ignore[arg-type]
        1.0, 0.0, 1.0, "img", 0.0, False, False, True, stage.steps * STEP_S, 0.0, 0.0,
        dueS=due, waitsOn=waits,
    )  # fmt: skip
    job = jobs[made.nameId] = Job(JobValue(made, clock.wall() + number * 1e-3), 1, log)
    if waits:
        job.block()
    else:
        queues.observe_submission(job)
    graph.add_job(job, clock.wall())


def run(seed: int, cases: int = 10) -> dict[str, Any]:
    """Sums over some cases; ratios to the clairvoyant's."""
    sums: dict[str, list[int]] = {way: [0, 0] for way in ("best", "ours", "fcfs", "own_urgency")}
    solved = pipelines = 0
    for number in range(cases):
        case = Case(seed * 1000 + number)
        try:
            best = optimal_outcome(case.stages, MACHINES * CPUS, HORIZON, SOLVE_S)
        except RuntimeError:
            continue
        solved += 1
        pipelines += sum(stage.due is not None for stage in case.stages)

        def come(n: int, case: Case = case) -> tuple[int, int]:
            return case.stages[n].arrives, n

        def urgent(n: int, case: Case = case) -> tuple[int, int, int]:
            return -URGENCY.index(case.urgency[n]), case.stages[n].arrives, n

        found = {
            "best": best,
            "ours": ours(case),
            "fcfs": greedy(case, come),
            "own_urgency": greedy(case, urgent),
        }
        for way, (late, makespan) in found.items():
            sums[way][0] += late
            sums[way][1] += makespan
    return {
        "cases": solved,
        "pipelines": pipelines,
        **{f"late.{way}": late for way, (late, _) in sums.items()},
        **{
            f"makespan_ratio.{way}": round(total / max(1, sums["best"][1]), 3)
            for way, (_, total) in sums.items()
        },
    }
