"""No rule may hold a job back for 90 s while machines have room for it.

The `idle_room` rule of the simulated region checks this; each scenario lasts far longer. With
`bug`, the guard under test is removed, and the rule must find the failure.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from chalkgrade import constants
from chalkgrade.extensions.constraints import Preemption
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.sharing.constraints import TeamLimits
from chalkgrade.sharing.queues import Queues
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until

Patch = pytest.MonkeyPatch
Story = Callable[[World], Awaitable[None]]


async def _run_for(world: World, seconds: float) -> None:
    """Let the simulation run on for the given time, and raise the failure of any rule."""
    end = world.now + seconds
    while world.now < end:
        await asyncio.sleep(0.5)
        if world.failure is not None:
            raise world.failure


def _check(story: Story, bug: bool, seed: int) -> None:
    if not bug:
        tell(story, seed, loss=0.0)
        return
    with pytest.raises(Broken, match="idle_room"):
        tell(story, seed, loss=0.0)


@pytest.mark.parametrize("bug", [False, True])
def test_a_sound_job_that_sick_machines_failed_is_not_probed_for_a_whole_run(
    bug: bool, monkeypatch: Patch
) -> None:
    """Guards against a sound job being limited to one probe for the probe's whole run.

    All tasks of the job fail at once on several faulty machines. Its run time is 200 s.
    """
    if bug:
        monkeypatch.setattr(constants, "MIN_PROVEN_RUN_S", 1e9)

    async def story(world: World) -> None:
        world.spawn(world.user(_long_job(1, 12) | {"expectedS": 200.0}, None))
        await _wait_until(world, 60.0, lambda: len(world.present()) == 12)
        await asyncio.sleep(1.0)
        for worker, task in list(world.present()):
            worker._exit(task, "error")
            worker.changed.set()
        await asyncio.sleep(10.0)
        node = _acting_leader(world)
        assert node is not None and node.term is not None
        job = node.term.jobs["run-000001"]
        assert job.is_faulty and len(job.failures_by_machine) > 2 and len(job.live) <= 1
        await _run_for(world, 200.0)
        assert world.idle.longest_wait_s < constants.FAILED_MACHINE_AVOIDANCE_S + 15.0
        assert len(world.present()) > 8

    _check(story, bug, 1)


def _reserve_unconditionally(patch: Patch) -> None:
    """Reserve what a maximum leaves for urgent work, even if too little becomes free soon."""
    original = TeamLimits.preempt_for

    def make_way(self: TeamLimits, job: Job, stops: Preemption) -> None:
        original(self, job, stops)
        owner, rank = job.spec.owner, job.spec.urgency_rank
        self._reserved_urgency[owner] = max(rank, self._reserved_urgency.get(owner, rank))

    patch.setattr(TeamLimits, "preempt_for", make_way)


@pytest.mark.parametrize("bug", [False, True])
def test_what_a_maximum_leaves_beside_a_service_is_for_whom_it_fits(
    bug: bool, monkeypatch: Patch
) -> None:
    """Guards against reserving what a maximum leaves for a task that it can't fit.

    A service holds 17 of a team's 20 CPUs. An urgent task that needs 4 waits until the service
    ends; small tasks must use the remaining 3 meanwhile.
    """
    if bug:
        _reserve_unconditionally(monkeypatch)

    async def story(world: World) -> None:
        red = {"owner": "red", "urgency": "high"}
        service = _long_job(1, 17) | red | {"shape": "service", "expectedS": 0.0}
        world.spawn(world.user(service, 400.0))
        await _wait_until(world, 150.0, lambda: len(world.present()) >= 16)
        world.spawn(world.user(_long_job(2, 2) | red | {"vcpus": 4.0, "expectedS": 30.0}, None))
        await asyncio.sleep(2.0)
        small = _long_job(3, 3) | red | {"urgency": "standard", "expectedS": 20.0}
        world.spawn(world.user(small, None))
        await _run_for(world, 160.0)
        assert not world.present_of_job("run-000002")  # the urgent job does wait in this scenario
        assert world.jobs[small["nameId"]]["over"] == "done"

    _check(story, bug, 1)


@pytest.mark.parametrize("bug", [False, True])
def test_small_tasks_do_not_take_what_frees_up_for_urgent_wide_ones(
    bug: bool, monkeypatch: Patch
) -> None:
    """What becomes free is reserved for urgent wide tasks if enough becomes free soon.

    Otherwise the team's small tasks take each CPU, and four are never free at once.
    """
    if bug:
        monkeypatch.setattr(constants, "UNUSED_MAXIMUM_HORIZON_S", -1.0)

    async def story(world: World) -> None:
        red = {"owner": "red", "vcpus": 1.0}
        for number in range(1, 9):
            wave = _long_job(number, 10) | red | {"urgency": "standard", "expectedS": 12.0}
            world.spawn(world.user(wave, None))
        await _wait_until(world, 150.0, lambda: len(world.present()) >= 19)
        urgent = _long_job(20, 2) | red | {"vcpus": 4.0, "urgency": "high", "expectedS": 10.0}
        world.spawn(world.user(urgent, None))
        begun = world.now
        await _wait_until(world, 120.0, lambda: bool(world.present_of_job(urgent["nameId"])))
        if world.failure is not None:
            raise world.failure
        took.append(world.now - begun)

    took: list[float] = []
    tell(story, 2, loss=0.0)
    assert (took[0] < 45.0) != bug, took


class OneLargeMachine(World):
    """A region in which nothing but one large machine is to be had."""

    ROOMS = {("large", "a", False): 1}
    TEAMS = ({"name": "red", "cpus": 16, "cpus_max": 0}, {"name": "blue", "cpus": 4, "cpus_max": 0})


def _replicas_seem_to_end(patch: Patch) -> None:
    """Expect replicas of a service to end like other tasks that are overdue."""
    plain = Queues.remaining_run_s

    def remaining_run_s(self: Queues, attempt: Attempt, now: float) -> float:
        run_so_far_s = now - (attempt.running_since or now)
        return min(plain(self, attempt, now), constants.OVERDUE_RATIO * run_so_far_s)

    patch.setattr(Queues, "remaining_run_s", remaining_run_s)


@pytest.mark.parametrize("bug", [False, True])
def test_room_beside_a_service_is_not_kept_for_a_task_that_it_never_fits(
    bug: bool, monkeypatch: Patch
) -> None:
    """Guards against room that is kept for a wide task until a replica ends (review/3)."""
    if bug:
        _replicas_seem_to_end(monkeypatch)

    async def story(world: World) -> None:
        plain = {"site": None, "hosttypes": None, "oneZone": False, "standby": False}
        service = plain | {"shape": "service", "expectedS": 0.0, "owner": "blue"}
        world.spawn(world.user(_long_job(1, 1) | service, None))
        await _wait_until(world, 60.0, lambda: world.present())
        wide = plain | {"vcpus": 16.0, "owner": "red", "urgency": "high", "expectedS": 30.0}
        world.spawn(world.user(_long_job(2, 1) | wide, None))
        await asyncio.sleep(5.0)
        small = _long_job(3, 2) | plain | {"owner": "blue", "expectedS": 10.0}
        world.spawn(world.user(small | {"urgency": "standard"}, None))
        await _run_for(world, 110.0)
        assert world.jobs["run-000003"]["over"] == "done"

    if bug:
        with pytest.raises(Broken, match="idle_room"):
            tell(story, 1, loss=0.0, kind=OneLargeMachine)
    else:
        tell(story, 1, loss=0.0, kind=OneLargeMachine)
