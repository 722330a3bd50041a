"""The optimal schedule of small pipelines with full knowledge of the future.

An integer program for experiments, never used by the daemon. Time is divided into steps, all
arrivals are known in advance, and running tasks are not stopped.
"""

from typing import NamedTuple

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import lil_matrix


class Stage(NamedTuple):
    """A job whose tasks take one slot each and run for `steps` steps."""

    tasks: int
    steps: int
    arrives: int  # first step in which it may start
    needs: tuple[int, ...] = ()  # numbers of the stages that must be done before
    due: int | None = None  # step at whose start it should be done


def optimal_outcome(
    stages: list[Stage], slots: int, horizon: int, seconds: float
) -> tuple[int, int]:
    """Returns the fewest late stages, and the least makespan in steps among such schedules.

    Raises RuntimeError if the solver (HiGHS) has not proven the optimum within `seconds`.
    """
    count, width = len(stages), len(stages) * horizon
    ends = horizon + 1
    # Columns: starts by stage and step, done by stage and step, late by stage, all done by step.
    done, late, over = width, width + count * ends, width + count * ends + count
    columns = over + ends
    rows: list[tuple[dict[int, float], float, float]] = []

    def start(stage: int, step: int) -> int:
        return stage * horizon + step

    def is_done(stage: int, step: int) -> int:
        return done + stage * ends + step

    for number, stage in enumerate(stages):
        rows.append(({start(number, t): 1.0 for t in range(horizon)}, stage.tasks, stage.tasks))
        for step in range(ends):
            begun = {start(number, t): 1.0 for t in range(max(0, step - stage.steps + 1))}
            begun = {k: v for k, v in begun.items() if k < start(number, horizon)}
            rows.append(({**begun, is_done(number, step): -float(stage.tasks)}, 0.0, np.inf))
            rows.append(({is_done(number, step): 1.0, over + step: -1.0}, 0.0, np.inf))
        for step in range(horizon):
            for need in stage.needs:
                so_far = {start(number, t): 1.0 for t in range(step + 1)}
                rows.append(({**so_far, is_done(need, step): -float(stage.tasks)}, -np.inf, 0.0))
        if stage.due is not None:
            by = min(stage.due, horizon)
            rows.append(({late + number: 1.0, is_done(number, by): 1.0}, 1.0, np.inf))
    for step in range(horizon):
        running = {
            start(number, t): 1.0
            for number, stage in enumerate(stages)
            for t in range(max(0, step - stage.steps + 1), step + 1)
        }
        rows.append((running, 0.0, float(slots)))
    cost = np.zeros(columns)
    cost[late : late + count] = float(ends)
    cost[over : over + ends] = -1.0  # rewards each step at which all stages are over
    high = np.ones(columns)
    for number, stage in enumerate(stages):
        for step in range(horizon):
            high[start(number, step)] = 0.0 if step < stage.arrives else float(stage.tasks)
    matrix = lil_matrix((len(rows), columns))
    for line, (values, _, _) in enumerate(rows):
        for column, value in values.items():
            matrix[line, column] = value
    bounds = LinearConstraint(
        matrix.tocsr(), np.array([row[1] for row in rows]), np.array([row[2] for row in rows])
    )
    solution = milp(
        cost,
        integrality=np.ones(columns),
        bounds=Bounds(np.zeros(columns), high),
        constraints=bounds,
        options={"time_limit": seconds},
    )
    if solution.status != 0:
        raise RuntimeError(f"optimum not proven in {seconds:g} s: {solution.message}")
    steps_after_end = int(round(solution.x[over : over + ends].sum()))
    return int(round(solution.x[late : late + count].sum())), ends - steps_after_end
