"""Leader failures around rentals and launches, with slow writes and machines that boot quickly.

Machines are up within two seconds and get work at once. The leader fails before, during or after
a rental request, the write of a launch, or the response with it; a write without an answer is
executed at once, or seconds later. Rentals are not recorded: a new leader finds its
predecessor's machines by their reports and in the cloud's list.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from chalkgrade.machines.fleet import Fleet
from chalkgrade.record.jobs import Attempt
from chalkgrade.record.oplog import LOG_PREFIX
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.renting.cloud import CloudClient
from chalkgrade.renting.renter import Renter
from test_gap import _long_job
from test_membership import _check_single_leader, _wait_until

Patch = pytest.MonkeyPatch
LAGS = ["slow", "late", "answers lost"]
MOMENTS = ["before hire", "after hire", "before launch", "after launch", "before answer", "answer"]


class Quick(World):
    """Stops the leader that acts at a chosen moment of the next rental or launch."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.cloud.fast_boots_until = float("inf")
        self.moment = ""  # at which the leader is stopped, three times
        self.restart_delay_s = 3.0  # s; until it is restarted
        self.met: list[str] = []  # moments at which a leader was stopped
        self.asked: dict[str, set[bytes]] = {}  # rental request name -> request bodies under it
        self.servers["state"] = self._state
        self.servers["cloud"] = self._cloud

    def end(self, moment: str, member: str) -> bool:
        """Whether the member is stopped here: three times, each in a term of its own."""
        if moment != self.moment or len(self.met) >= 3 or member not in self.leaders():
            return False
        self.met.append(moment)
        self.spawn(self.restart(member, self.restart_delay_s))
        return True

    async def _cloud(self, source: str, method: str, path: str, body: bytes) -> Any:
        if path != "/rentals":
            return await self.cloud.handle(source, method, path, body)
        hire = msgspec.json.decode(body)["hire"]
        self.asked.setdefault(hire, set()).add(body)
        if len(self.asked[hire]) > 1:
            raise Broken(f"reused: {hire} asks for {self.asked[hire]}")
        if self.end("before hire", source):
            await asyncio.sleep(self.rng.uniform(0.0, 4.0))  # the request is executed late
        answer = await self.cloud.handle(source, method, path, body)
        if answer[0] == 200 and self.end("after hire", source):
            return None
        return answer

    async def _state(self, source: str, method: str, path: str, body: bytes) -> Any:
        data = msgspec.json.decode(body) if path == "/commit" else {}
        launch = any(str(op.get("write")).startswith(LOG_PREFIX) for op in data.get("apply", []))
        if launch and self.end("before launch", source):
            await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        answer = await self.store.handle(source, method, path, body)
        if launch and answer is not None and answer[0] == 200 and self.end("after launch", source):
            return None
        return answer

    def _serve(self, member: str) -> Any:
        plain = super()._serve(member)

        async def serve(source: str, method: str, path: str, body: Any) -> Any:
            answer = await plain(source, method, path, body)
            if path == "/hello" and answer is not None and "launch" in str(answer[1]):
                if self.end("before answer", member):
                    return None  # the machine never receives the launch
                if self.end("answer", member):  # the machine gets the launch, then is cut off
                    nobody = {source}, set(self.members), 8.0, False
                    self.loop.call_later(0.05, self.cut, *nobody)
            return answer

        return serve


def _job(number: int, tasks: int) -> dict[str, Any]:
    return _long_job(number, tasks) | {"expectedS": 6.0, "standby": number % 2 == 0}


async def _day(world: Any, moment: str, lag: str) -> None:
    """Submits work in waves that need more and more machines, then waits for their return."""
    world.spawn(_check_single_leader(world))
    world.moment = moment
    if lag == "answers lost":
        world.store.answer_loss = (world.now + 60.0, 0.4)
    elif lag == "late":
        world.store.delayed_commits = (world.now + 60.0, 0.4, (2.0, 12.0))
    else:
        world.store.slow = (0.3, world.now + 60.0)
    for wave in range(6):
        world.spawn(world.user(_job(wave + 1, 4 + 4 * wave), None))
        await asyncio.sleep(8.0)
    await _wait_until(world, 300.0, lambda: len(world.jobs) == 6)
    await _wait_until(world, 300.0, lambda: all(job["over"] for job in world.jobs.values()))
    assert len(world.met) == 3, f"no pass: {world.met}"
    rented = {name for hosts in world.cloud.rental_machines.values() for name in hosts}
    assert rented, "machines were rented"
    # Idle machines are returned, including those whose rental answer was lost.
    await _wait_until(world, IDLE_S + 40.0, lambda: not world.cloud.machines)


IDLE_S = 120.0  # s without submissions until idle machines are returned
SEEDS = (1, 2)


@pytest.mark.parametrize("lag", LAGS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_leaders_end_around_a_hire_and_a_launch(moment: str, lag: str) -> None:
    for seed in SEEDS:
        _play(moment, lag, seed)


def _play(moment: str, lag: str, seed: int) -> None:
    async def story(world: Any) -> None:
        await _day(world, moment, lag)

    tell(story, seed, kind=Quick)


def _names_without_token(patch: Patch) -> None:
    """Mutation: the next leader reuses the names of rental requests."""
    plain = CloudClient.rent

    async def rent(self: CloudClient, hire: str, pool: Any, count: int) -> list[str]:
        return await plain(self, hire.rpartition("-")[2], pool, count)

    patch.setattr(CloudClient, "rent", rent)


def _only_its_own(patch: Patch) -> None:
    """Mutation: a leader ignores machines that it did not rent itself."""
    plain = Fleet.accept_report

    def accept_own(self: Fleet, report: Any) -> Any:
        known = self.machines.get(report.host)
        return plain(self, report) if known is not None and known.rented_this_term else None

    async def refresh(self: Renter) -> None:
        pass

    patch.setattr(Fleet, "accept_report", accept_own)
    patch.setattr(Renter, "_refresh_machines", refresh)


def _launched_before_it_is_durable(patch: Patch) -> None:
    """Mutation: launches are sent before they are durable."""
    patch.setattr(Attempt, "is_durable", property(lambda self: True))


BUGS = [_names_without_token, _only_its_own, _launched_before_it_is_durable]


@pytest.mark.parametrize("bug", BUGS)
def test_bugs_around_a_hire_and_a_launch_are_found(bug: Any, monkeypatch: Patch) -> None:
    bug(monkeypatch)
    for seed in range(1, 9):
        try:
            _play("answer", "late", seed)
        except AssertionError as error:
            print(bug.__name__, seed, str(error)[:150])
            if not str(error).startswith("no pass"):
                return  # found
    raise AssertionError("not found")
