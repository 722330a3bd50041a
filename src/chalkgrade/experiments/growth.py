"""What membership and failover cost as controllers and machines grow."""

import time
from typing import Any

from chalkgrade.experiments import failover
from chalkgrade.region.fleet import play_day

CONTROLLERS = (3, 5, 10, 20, 50)  # with 100 machines
MACHINES = (100, 300, 600, 1000, 2000, 4000)  # with 5 controllers
DAY_S = 40.0


def row(seed: int, machines: int, controllers: int) -> dict[str, float]:
    """One day with one failure of the leader; processor time is that of the whole region."""
    day = failover.day(seed, machines, controllers, DAY_S)
    day.faults, day.calm_s = day.faults[:2], 60.0
    out = failover.Times()
    began = time.process_time()
    world, broken = play_day(day, seed)
    took = time.process_time() - began
    failover.count(world, broken, out)
    told = failover.figures(out)
    calls = sum(sum(node.ledger.response_counts.values()) for node in world.stopped_nodes)
    seconds = max(1.0, world.now - 1000.0)
    return {
        "broken": told["broken"],
        "lead_s": told["lead_s_p50"],
        "start_s": told["start_s_p50"],
        "machines_s_p95": told["machines_s_p95"],
        "peer_messages_s": round(told["peer_messages_s"] / controllers, 1),
        "state_requests_s": round(calls / seconds, 1),
        "state_changes_s": round(world.store.rev / seconds, 1),
        "cpu_ms_s": round(1000 * took / seconds, 1),
    }


def run(seed: int) -> dict[str, Any]:
    """A row for each size; messages for each controller, the rest for the region."""
    out: dict[str, Any] = {}
    for controllers in CONTROLLERS:
        out[f"controllers_{controllers}"] = row(seed, 100, controllers)
    for machines in MACHINES:
        out[f"machines_{machines}"] = row(seed, machines, 5)
    return out
