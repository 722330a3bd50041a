"""The optimal plan by an integer program; for experiments, never used by the daemon."""

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import lil_matrix

from chalkgrade.moves.planner import (
    PlacementProblem,
    image_fetch_cost,
    is_target_allowed,
    missing_resources,
)
from chalkgrade.vectors import fits


def optimal_move_cost(problem: PlacementProblem) -> float | None:
    """Returns the least cost in CPU-seconds, or None if there is no plan; solved with HiGHS.

    One host is chosen, tasks are moved only away from that host, and every target must have
    room for all tasks that are moved to it. A target that would lose the room of other waiting
    work is excluded as in `planner.is_target_allowed`, for each moved task on its own.
    """
    hosts = [
        machine
        for machine in problem.places
        if machine.pool in problem.pools and fits(problem.room, machine.total)
    ]
    pairs = [
        (number, resident, target)
        for number, host in enumerate(hosts)
        for resident in host.residents
        for target in problem.places
        if target.name != host.name
        and is_target_allowed(resident, target, target.free, problem.others)
    ]
    if not hosts or not pairs:
        return None
    width = len(hosts) + len(pairs)
    cost = np.zeros(width)
    for column, (_, resident, target) in enumerate(pairs, len(hosts)):
        cost[column] = resident.loss + image_fetch_cost(resident, target)
    rows: list[tuple[dict[int, float], float, float]] = [
        ({number: 1.0 for number in range(len(hosts))}, 1.0, 1.0)
    ]
    by_resident: dict[tuple[int, str], list[int]] = {}
    by_target: dict[str, list[tuple[int, tuple[float, ...]]]] = {}
    by_host: dict[int, list[tuple[int, tuple[float, ...]]]] = {}
    for column, (number, resident, target) in enumerate(pairs, len(hosts)):
        by_resident.setdefault((number, resident.task), []).append(column)
        by_target.setdefault(target.name, []).append((column, resident.room))
        by_host.setdefault(number, []).append((column, resident.room))
    for (number, _), columns in by_resident.items():
        rows.append(({**dict.fromkeys(columns, 1.0), number: -1.0}, -np.inf, 0.0))
    free = {machine.name: machine.free for machine in problem.places}
    for name, incoming in by_target.items():
        for kind in range(3):
            rows.append(({c: room[kind] for c, room in incoming}, -np.inf, free[name][kind] + 1e-9))
    for number, host in enumerate(hosts):
        for kind, amount in enumerate(missing_resources(problem, host)):
            if amount > 0:
                freed = {c: room[kind] for c, room in by_host.get(number, [])}
                rows.append(({**freed, number: -amount}, -1e-9, np.inf))
    matrix = lil_matrix((len(rows), width))
    for line, (values, _, _) in enumerate(rows):
        for column, value in values.items():
            matrix[line, column] = value
    low = np.array([row[1] for row in rows])
    high = np.array([row[2] for row in rows])
    solution = milp(
        cost,
        integrality=np.ones(width),
        bounds=Bounds(0, 1),
        constraints=LinearConstraint(matrix.tocsr(), low, high),
    )
    return float(solution.fun) if solution.success else None
