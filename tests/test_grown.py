"""A large region: five controllers, many machines, few writes per second, long report intervals."""

import asyncio
from typing import Any

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.extensions.constraints import ConstraintSet
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.region.world import World, play, tell
from chalkgrade.settings import StateLimits
from chalkgrade.sharing.cluster_snapshot import ClusterSnapshot
from chalkgrade.sharing.demands import DemandCalculator
from chalkgrade.state.client import LedgerClient


class LargeRegion(World):
    """A region whose state service allows 20 writes per second, however many machines it has."""

    MEMBERS = ("n-0", "n-1", "n-2", "n-3", "n-4")
    REPORT_S = 5.0
    STATE = {"rps": 120, "write_rps": 20, "txn_ops": 16, "value_kb": 16}
    ROOMS = {
        **{("small", site, spot): 40 for site in "ab" for spot in (True, False)},
        **{("large", site, False): 1 for site in "ab"},
    }

    def spec(self, number: int, **changes: Any) -> dict[str, Any]:
        array = {"jobclass": "array", "shape": "batch", "owner": "blue", "vcpus": 1.0}
        array |= {"memoryGb": 2.0, "tasks": self.rng.randrange(60, 250), "expectedS": 8.0}
        free = {"oneZone": False, "spread": False, "hosttypes": None, "site": None}
        many = number % 3 == 0
        return super().spec(number, **((array | free | {"standby": True}) if many else {}))


@pytest.mark.parametrize("seed", range(2))
def test_grown_day_keeps_rules_and_budgets(seed: int) -> None:
    """All nodes together stay within the request limits of the state service.

    The simulated store refuses each call beyond them.
    """
    world = play(seed, seconds=60.0, jobs=30, kind=LargeRegion)
    assert all(job["over"] for job in world.jobs.values())
    assert world.cloud.number > 60
    assert world.started > 1000
    assert world.store.refused_calls == 0


def test_parts_of_the_budgets_sum_to_the_limit_and_a_new_leader_waits_for_its_part() -> None:
    """Guards against exceeding the limit when a node takes over the leader's larger part."""
    loop = VirtualLoop()
    limits = StateLimits(rps=120.0, write_rps=20.0)

    class Clock:
        def now(self) -> float:
            return loop.time()

        wall = now

    for nodes in (1, 3, 5, 7):
        ledgers = [LedgerClient(None, Clock(), "x:1", limits, nodes) for _ in range(nodes)]  # type: ignore[arg-type]
        ledgers[0].set_leading(True)
        assert sum(ledger.writes.rate_per_s for ledger in ledgers) <= 20.0 + 1e-9
        assert sum(ledger.requests.rate_per_s for ledger in ledgers) <= 120.0 + 1e-9
        at_hand = ledgers[-1].writes.available_tokens()
        ledgers[0].set_leading(False)
        ledgers[-1].set_leading(True)
        assert ledgers[-1].writes.available_tokens() <= at_hand
        if nodes > 1:
            assert ledgers[-1].writes.rate_per_s == pytest.approx(
                20.0 * constants.LEADER_WRITE_RATE_RATIO
            )
    loop.close()


def test_a_queues_need_counts_what_its_other_jobs_hold() -> None:
    """Guards against jobs without waiting tasks using up what is granted for the others.

    If their resources are not part of the queue's need, a queue that holds more than its late jobs
    need starts none of their tasks.
    """

    async def story(world: World) -> None:
        leader = next(n for n in world.nodes.values() if n is not None and n.term is not None)
        term = leader.term
        assert term is not None
        base_spec = {"owner": "red", "jobclass": "late", "shape": "batch", "urgency": "high"}
        base_spec |= {"vcpus": 1.0, "memoryGb": 2.0, "oneZone": False, "spread": False}
        base_spec |= {"hosttypes": None, "site": None, "standby": True, "expectedS": 20.0}
        for number, tasks in ((1, 12), (2, 30)):
            spec = world.spec(number, **(base_spec | {"tasks": tasks, "dueS": 60.0}))
            world.jobs[spec["nameId"]] = {"spec": spec, "aborted": None, "over": None}
            status, _ = await leader.handle("POST", "/v2/runs", msgspec.json.encode(spec))
            assert status == 201
        first, second = (term.jobs[f"run-{number:06d}"] for number in (1, 2))
        while not (second.live and len(second.waiting)):
            assert world.now < 1040.0
            await asyncio.sleep(0.2)
        snapshot = ClusterSnapshot(term.fleet, leader.flavors, term.queues, 1.0, term.clock.now())
        held = (len(first.live) + len(second.live)) * 1.0
        queue_usage = {second.queue: (held, 0.0, 2 * held)}
        teams = term.scheduling.teams
        demands = DemandCalculator(
            term.queues,
            teams,
            snapshot,
            queue_usage,
            second.spec.urgency_rank,
            ConstraintSet([]),
            term.scheduling.isolation,
        )
        demand = demands.by_queue({second.queue: [second]})[second.queue]
        missing = min(
            len(second.waiting), max(0, demands.tasks_needed_now(second) - len(second.live))
        )
        assert demand.needed_now[0] == held + missing
        assert demand.rate[0] >= held + missing

    tell(story, 3)
