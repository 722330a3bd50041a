"""What a controller holds of the jobs that it accepted: each has a bound, and so has their sum."""

import asyncio
import random
import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest

from chalkgrade import constants
from chalkgrade.outside import encode
from chalkgrade.record.jobs import TASKS_MAX, Job, JobValue, PageValue
from chalkgrade.record.memory import BYTES_PER_MB, record_memory_bytes
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.world import World, tell
from test_membership import _acting_leader, _wait_until
from test_placement_rentals import spec
from test_repeated_submissions import _accept, _add_job, _followers

MAX_JOBS = 10  # small jobs that fit into the memory of `LittleMemory`


def _measured_bytes(make: Callable[[], Any]) -> int:
    """Return the memory that what `make` returns holds."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        held = tracemalloc.get_traced_memory()[0] - before
        assert made is not None
        return held
    finally:
        tracemalloc.stop()


def _job(tasks: int) -> Job:
    return Job(JobValue(spec(tasks=tasks), 0.0), 0, OpLog(16 * 1024))


def test_a_waiting_job_of_many_tasks_takes_no_more_memory_than_a_small_one() -> None:
    """Guards against a leader that ends for memory: a list of all tasks took 8 MB a job."""
    assert _measured_bytes(lambda: _job(TASKS_MAX)) < constants.JOB_MEMORY_BYTES


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_the_bound_of_a_job_covers_its_finished_tasks(share: float) -> None:
    """Guards against a successor that ends for memory as it reads the pages of large jobs."""
    rng = random.Random(4)
    size = constants.TASKS_PER_PAGE
    numbers = list(range(TASKS_MAX // size))
    rng.shuffle(numbers)
    done = {
        number: [
            (index, index)
            for index in range(number * size, (number + 1) * size)
            if rng.random() < share
        ]
        for number in numbers
    }

    def load() -> Job:
        job = _job(TASKS_MAX)
        for number, ranges in done.items():
            job.load_page(number, PageValue(d=ranges), 1)
        return job

    record = JobValue(spec(tasks=TASKS_MAX), 0.0)
    assert _measured_bytes(load) < record_memory_bytes(len(encode(record)), TASKS_MAX)
    job = load()
    assert job.done == sum(map(len, done.values())) == TASKS_MAX - len(job.waiting)


class LittleMemory(World):
    """A region whose controllers have memory for ten small jobs."""

    def __init__(self, *args: Any) -> None:
        job_bytes = record_memory_bytes(600, 1)
        self.QUOTA = {"ram_mb": MAX_JOBS * job_bytes / BYTES_PER_MB / constants.JOBS_MEMORY_RATIO}
        super().__init__(*args)


def _submit(world: World, number: int, **changes: Any) -> str:
    return _add_job(world, number, **({"tasks": 1, "expectedS": 400.0} | changes))


async def _fill(world: World) -> list[str]:
    """Submit jobs to the leader until it has no memory for another one; returns their names."""
    accepted: list[str] = []
    for number in range(1, 3 * MAX_JOBS):
        name = _submit(world, number)
        answer = await world.submit(name, world.leaders()[0])
        assert answer is not None
        if answer[0] == 429:
            return accepted
        assert answer[0] == 201, answer
        world.jobs[name]["accepted"] = True
        accepted.append(name)
    raise AssertionError("jobs without end were accepted")


async def _no_trouble(world: World) -> None:
    """Keep the leader that accepted the jobs."""


async def _new_leader(world: World) -> None:
    world.crash(world.leaders()[0])
    await _wait_until(world, 30.0, lambda: _acting_leader(world) is not None)


@pytest.mark.parametrize("trouble", [_no_trouble, _new_leader])
def test_jobs_beyond_the_memory_are_put_off_until_others_ended(trouble: Any) -> None:
    """Guards against jobs whose sum takes each leader in turn over its memory."""

    async def story(world: World) -> None:
        known = await _fill(world)
        assert MAX_JOBS / 2 <= len(known) <= MAX_JOBS + 2
        await trouble(world)
        late, large = _submit(world, 101), _submit(world, 102, tasks=TASKS_MAX)
        for member in filter(world.up, world.members):
            for name, status in ((known[0], 200), (late, 429), (large, 429)):
                answer = await world.submit(name, member)
                assert answer is not None and answer[0] == status, (member, name, answer)
        for name in known[:3]:
            await world.cancel_until_over(name)
        await _accept(world, late)
        answer = await world.submit(large, world.leaders()[0])
        assert answer is not None and answer[0] == 429, "it takes more than three small jobs"
        answer = await world.submit(known[0])
        assert answer is not None and answer[0] == 200, "it is over, and users were told of it"

    tell(story, 3, loss=0.0, kind=LittleMemory)


def test_jobs_beyond_the_memory_are_put_off_without_a_leader() -> None:
    """Guards against a controller that accepts by itself what no leader can hold."""

    async def story(world: World) -> None:
        known = await _fill(world)
        leader, others = world.leaders()[0], _followers(world)
        world.cut({leader}, set(others), 6.0, False)
        await asyncio.sleep(1.0)
        late = _submit(world, 101)
        statuses = []
        for name in (late, known[0]):
            answer = await world.submit(name, others[0])
            statuses.append(answer and answer[0])
        assert statuses == [429, 200]

    tell(story, 3, loss=0.0, kind=LittleMemory)


def test_a_submission_that_lost_against_a_known_job_frees_its_memory() -> None:
    """Guards against a count that only grows, so that nothing more is accepted."""

    async def story(world: World) -> None:
        leader = _acting_leader(world)
        assert leader is not None and leader.term is not None
        memory = leader.term.registry.memory
        ended = _submit(world, 1, expectedS=0.5)
        await _accept(world, ended, world.leaders()[0])
        await world.cancel_until_over(ended)
        assert memory.held_bytes == 0
        leader.term.registry.over.clear()  # as if so many jobs had ended since
        leader.job_api.finals.clear()
        answer = await world.submit(ended, world.leaders()[0])
        assert answer is not None and answer[0] == 200
        assert memory.held_bytes == 0

    tell(story, 3, loss=0.0, kind=LittleMemory)
