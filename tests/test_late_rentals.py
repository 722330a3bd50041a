"""Rentals and deletions that are carried out late or twice, and machines that are back at once.

Every machine is adopted or returned, and every task on it is known to the leader or stopped,
over changes of leader and an outage of the cloud. For rentals alone see also test_quick_boots.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until
from test_quick_boots import _only_its_own

TROUBLE_S = 60.0
LATE_S = (1.0, 20.0)  # delay of a request that is carried out late
BACK_S = (0.05, 0.9)  # until the worker of a machine is back
UNKNOWN_S = 20.0  # for which a task may be unknown to a leader: over the workers' lease
IDLE_S = 120.0  # without work until idle machines are returned
PATHS = ("/rentals", "/rentals/release")
FATES = ("late", "twice", "in time")  # of the requests to each path, in turn


class LateCloud(World):
    """A cloud that carries out some requests late, without an answer, or a second time."""

    LOSS = 0.0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.cloud.fast_boots_until = float("inf")
        self.fates: dict[tuple[str, str], int] = {}  # path and fate -> requests
        self.troubled_until = 0.0
        self.cloud_down_until = 0.0
        self.restarted_machines = 0
        self.unknown_since: dict[Any, float] = {}
        self.servers["cloud"] = self._cloud

    async def _cloud(self, source: str, method: str, path: str, body: bytes) -> Any:
        if self.now < self.cloud_down_until:
            return 503, {"error": "trouble"}
        fate = "in time"
        if path in PATHS:
            count = sum(number for (one, _), number in self.fates.items() if one == path)
            fate = FATES[count % len(FATES)]
        self.fates[path, fate] = self.fates.get((path, fate), 0) + 1
        if fate == "late":
            self.spawn(self._carry_out_late(source, method, path, body))
            return None
        answer = await self.cloud.handle(source, method, path, body)
        if fate == "twice":
            self.spawn(self._carry_out_late(source, method, path, body))
        return answer

    async def _carry_out_late(self, source: str, method: str, path: str, body: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(*LATE_S))
        await self.cloud.handle(source, method, path, body)

    async def restart_machines(self) -> None:
        """Let workers lose all that they have and start anew within a second."""
        while self.now < self.troubled_until:
            await asyncio.sleep(self.rng.uniform(1.0, 5.0))
            if not self.workers:
                continue
            name = self.rng.choice(sorted(self.workers))
            machine = self.workers[name].machine
            self.workers.pop(name).die()
            del self.servers[name]
            await asyncio.sleep(self.rng.uniform(*BACK_S))
            if name in self.cloud.machines:
                self.restarted_machines += 1
                self.cloud._start_worker(name, self.cloud._flavor(machine["hosttype"]))

    async def check_tasks_known(self) -> None:
        """Raise Broken if the leader does not know of a task that stays on a machine."""
        while True:
            await asyncio.sleep(0.5)
            leader = _acting_leader(self)
            term = leader.job_api.term if leader is not None else None
            if term is None or not term.is_serving():
                self.unknown_since.clear()
                continue
            unknown = [
                (worker.name, task.name)
                for worker, task in self.present()
                if (job := term.jobs.get(task.spec["nameId"])) is None
                or not any(
                    attempt.name == task.name and attempt.machine == worker.name
                    for attempt in job.live.values()
                )
            ]
            self.unknown_since = {one: self.unknown_since.get(one, self.now) for one in unknown}
            for one, since in self.unknown_since.items():
                if self.now > since + UNKNOWN_S:
                    raise Broken(f"unknown task: {one} for {UNKNOWN_S} s")


async def _day(world: LateCloud) -> None:
    """Submit work in waves that need ever more machines, with all troubles; wait for their end."""
    world.spawn(world.check_tasks_known())
    world.troubled_until = world.now + TROUBLE_S
    world.spawn(world.restart_machines())
    for wave in range(6):
        spec = _long_job(wave + 1, 4 + 4 * wave) | {"expectedS": 6.0, "standby": wave % 2 == 0}
        world.spawn(world.user(spec, None))
        await asyncio.sleep(TROUBLE_S / 6)
        if wave == 3:
            world.cloud_down_until = world.now + 8.0
        if wave in (1, 3, 4):
            for leader in world.leaders():
                world.spawn(world.restart(leader, world.rng.uniform(0.1, 3.0)))
    await _wait_until(world, 300.0, lambda: all(job["over"] for job in world.jobs.values()))
    # The next leader adopts idle machines and uses them before their deletion is carried out.
    late_deletion = (PATHS[1], "late")
    await _wait_until(world, IDLE_S + 20.0, lambda: late_deletion in world.fates)
    for leader in world.leaders():
        world.spawn(world.restart(leader, 0.1))
    world.spawn(world.user(_long_job(7, 24) | {"expectedS": 6.0}, None))
    await _wait_until(world, 300.0, lambda: world.jobs.get("run-000007", {}).get("over"))
    await _wait_until(world, IDLE_S + 120.0, lambda: not world.cloud.machines)
    assert all((path, fate) in world.fates for path in PATHS for fate in FATES[:2]), "no pass"
    assert world.restarted_machines > 3, "no pass"


def _play(seed: int) -> None:
    async def story(world: Any) -> None:
        await _day(world)

    tell(story, seed, kind=LateCloud)


@pytest.mark.parametrize("seed", range(8))
def test_machines_rented_or_deleted_late_or_twice_are_adopted_or_returned(seed: int) -> None:
    _play(seed)


def test_machines_that_are_neither_adopted_nor_returned_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _only_its_own(monkeypatch)
    with pytest.raises(AssertionError) as found:
        for seed in range(3):
            _play(seed)
    assert "no pass" not in str(found.value)


def test_a_rental_that_is_carried_out_after_its_leader_is_used_or_returned_by_the_next() -> None:
    """The only rental is carried out 12 s after the leader ended; nobody else asked for it."""

    async def story(world: Any) -> None:
        leader = _acting_leader(world)
        assert leader is not None
        before = set(world.cloud.machines)
        body = {"hire": f"h{leader.leadership.token}-99", "hosttype": "small", "site": "a"}
        raw = msgspec.json.encode(body | {"standby": False, "howMany": 2})
        world.crash(leader.settings.member)
        await asyncio.sleep(12.0)
        status, answer = await world.cloud.handle("n-0", "POST", "/rentals", raw)
        assert status == 200 and len(answer["hosts"]) == 2
        await _wait_until(world, 20.0, lambda: set(answer["hosts"]) <= _known_machines(world))
        await _wait_until(world, IDLE_S + 60.0, lambda: not set(world.cloud.machines) - before)

    tell(story, 2, kind=LateCloud)


def _known_machines(world: World) -> set[str]:
    leader = _acting_leader(world)
    term = leader.job_api.term if leader is not None else None
    return set(term.fleet.machines) if term is not None else set()
