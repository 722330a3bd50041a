"""Responses to reports that are held up on their way, with the launches that they carry.

The controllers send no direct commands, so a launch travels only in the response to a report,
and a worker drops a response that takes longer than its timeout. Whatever the delay, no task
of a cancelled job may begin or stay after the time for cancelling.
"""

import asyncio
from typing import Any

import pytest

from chalkgrade.machines import orders
from chalkgrade.machines.fleet import Machine
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from test_gap import _long_job
from test_membership import _acting_leader, _wait_until

WORKER_TIMEOUT_S = 4.0  # after which a worker drops a response
HELD_S = [1.0, WORKER_TIMEOUT_S - 0.1, WORKER_TIMEOUT_S + 0.1, 11.0, 40.0]
JOB_COUNT = 3


class HeldResponses(World):
    """Holds up the responses that carry the launches of some jobs."""

    LOSS = 0.0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.hold_s = 0.0  # for which such a response is held up; 0: not at all
        self.held: list[str] = []  # the jobs whose launches were held up

    def _serve(self, member: str) -> Any:
        plain = super()._serve(member)

        async def serve(source: str, method: str, path: str, body: Any) -> Any:
            answer = await plain(source, method, path, body)
            if path != "/hello" or answer is None or not self.hold_s:
                return answer
            launched = [o["task"] for o in answer[1].get("orders", ()) if o["order"] == "launch"]
            if launched:
                self.held += [task.rpartition("/")[0] for task in launched]
                await asyncio.sleep(self.hold_s)
            return answer

        return serve

    async def request(
        self, source: str, target: str, method: str, path: str, body: Any, timeout: float
    ) -> tuple[int, Any]:
        """Check that the controllers send nothing to a machine."""
        if source in self.members and target in self.workers:
            raise Broken(f"direct command: {path} from {source} to {target}")
        return await super().request(source, target, method, path, body, timeout)


async def _cancel_while_held(world: HeldResponses, hold_s: float, trouble: str) -> None:
    """Cancel jobs whose launches are on their way; the leader ends or is cut off meanwhile."""
    await _wait_until(world, 20.0, lambda: _acting_leader(world) is not None)
    world.spawn(world.user(_long_job(90, 8), None))  # so that machines are up and have room
    await _wait_until(world, 60.0, lambda: len(world.present()) >= 4)
    world.hold_s = hold_s
    names = []
    for number in range(JOB_COUNT):
        spec = _long_job(number + 1, 2)
        names.append(str(spec["nameId"]))
        world.spawn(world.user(spec, None))
    await _wait_until(world, 90.0, lambda: set(world.held) & set(names))
    leader = world.leaders()[0]
    for name in names:
        world.spawn(world.cancel_until_over(name))
    if trouble == "killed":
        world.spawn(world.restart(leader, 3.0))
    elif trouble == "cut off":
        others = set(world.members) - {leader}
        world.cut({leader}, {*others, "state"}, 20.0, True)
    await _wait_until(world, 60.0, lambda: all(world.jobs[name]["over"] for name in names))
    await asyncio.sleep(hold_s + world.CANCEL_S + 5.0)
    assert not any(world.present_of_job(name) for name in names)
    assert world.max_stop_delay_s < world.CANCEL_S


@pytest.mark.parametrize("trouble", ["none", "killed", "cut off"])
@pytest.mark.parametrize("hold_s", HELD_S)
def test_a_launch_that_is_held_up_never_runs_after_the_time_for_cancelling(
    hold_s: float, trouble: str
) -> None:
    async def story(world: Any) -> None:
        await _cancel_while_held(world, hold_s, trouble)

    tell(story, 3, loss=0.0, kind=HeldResponses)


def test_launches_that_are_not_killed_when_they_arrive_late_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that trusts its cancellation to have been in time sends no kill for the task."""
    plain = orders._kills

    def kills(machine: Machine, clock: Any) -> Any:
        for order, attempt in plain(machine, clock):
            if attempt is not None and not attempt.job.cancelled:
                yield order, attempt

    monkeypatch.setattr(orders, "_kills", kills)

    async def story(world: Any) -> None:
        await _cancel_while_held(world, WORKER_TIMEOUT_S - 0.1, "none")

    with pytest.raises((Broken, AssertionError)):
        tell(story, 3, loss=0.0, kind=HeldResponses)
