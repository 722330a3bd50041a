"""Late copies of messages that start tasks, when a controller or a machine is back within a second.

Only the answer to a report carries start commands, and a worker takes an answer only while it
waits for it. So a start can reach a machine once more only if a controller sends it again, which
a late copy of a report could make it do. The copies here come to any controller, at any time.
"""

import asyncio
from typing import Any

import pytest

from chalkgrade.region.worker import Worker
from chalkgrade.region.world import tell
from test_gap import _long_job
from test_held_up_commands import HeldResponses
from test_membership import _acting_leader, _wait_until

COPY_DELAY_S = (0.05, 40.0)  # up to well over two leases
COPY_SHARE = 0.5  # of the reports
BACK_S = (0.05, 0.9)  # until a machine or a controller is back
TROUBLE_S = 150.0
MACHINES = 8


class CopiedReports(HeldResponses):
    """A region whose machines are up from the start and may be back within a second."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        for site in self.ZONES:
            self.cloud.add_running(("small", site, True), MACHINES // 2)
        self.restarted = {"numbers kept": 0, "numbers from the start": 0}
        self.copied_starts = 0  # start commands in answers to copies of reports

    async def restart_machine(self, name: str, keeps_numbers: bool, after_s: float) -> None:
        """Let a worker lose its tasks; its reports' numbers go on or begin anew."""
        worker = self.workers.pop(name)
        worker.die()
        server = self.servers.pop(name)
        await asyncio.sleep(after_s)
        if name not in self.cloud.machines:
            self.servers[name] = server
            return
        self.cloud._start_worker(name, self.cloud._flavor(worker.machine["hosttype"]))
        if keeps_numbers:
            after = self.workers[name]
            after.tenure, after.seq, after.baton = worker.tenure + 1, worker.seq, worker.baton
        self.restarted["numbers kept" if keeps_numbers else "numbers from the start"] += 1

    async def _resend(self, source: str, method: str, path: str, body: Any, late: float) -> None:
        await asyncio.sleep(late)
        target = self.rng.choice(self.members)
        if self.up(target):
            answer = await self.servers[target](source, method, path, body)
            orders = answer[1].get("orders", ()) if answer is not None else ()
            self.copied_starts += sum(order["order"] == "launch" for order in orders)


async def _restart_at_random(world: CopiedReports) -> None:
    end = world.now + TROUBLE_S
    while world.now < end:
        await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        after_s = world.rng.uniform(*BACK_S)
        if world.rng.random() < 0.3:
            world.spawn(world.restart(world.rng.choice(world.members), after_s))
        elif world.workers:
            name = world.rng.choice(sorted(world.workers))
            await world.restart_machine(name, world.rng.random() < 0.5, after_s)


async def _day(world: CopiedReports) -> None:
    """Work that is moved and cancelled, while reports are copied and all are restarted."""
    world.report_copies = (world.now + TROUBLE_S + 60.0, COPY_SHARE, COPY_DELAY_S)
    world.spawn(_restart_at_random(world))
    for number in range(1, 31):
        urgent = number % 3 == 0  # which preempts the others, so that those are moved
        spec = _long_job(number, 8 if urgent else 5) | {
            "urgency": "high" if urgent else "best_effort",
            "expectedS": world.rng.choice([3.0, 12.0, 30.0]),
            "savepointS": world.rng.choice([0.0, 2.0]),
        }
        world.spawn(world.user(spec, world.rng.uniform(1.0, 20.0) if number % 4 == 0 else None))
        await asyncio.sleep(TROUBLE_S / 30)
    await _wait_until(world, 400.0, lambda: all(job["over"] for job in world.jobs.values()))
    assert world.max_stop_delay_s < world.CANCEL_S
    assert min(world.restarted.values()) > 3, "no pass"


@pytest.mark.parametrize("seed", range(12))
def test_no_copy_of_a_report_starts_a_task_once_more(seed: int) -> None:
    """Guards against a task on two machines, or started after its cancellation, by late copies."""

    async def story(world: Any) -> None:
        await _day(world)

    tell(story, seed, loss=0.0, kind=CopiedReports)


def _is_known_to_leader(world: CopiedReports, name: str) -> bool:
    """Whether the acting leader has a report of the machine."""
    leader = _acting_leader(world)
    machine = leader.term.fleet.machines.get(name) if leader and leader.term else None
    return machine is not None and machine.reported_at is not None


async def _start_on_restarted_machine(world: CopiedReports, early: bool) -> tuple[Worker, Any]:
    """Start a task on a machine that is back; returns its worker, and a copy of an old report.

    `early`: the copy comes before the start command already.
    """
    await _wait_until(world, 20.0, lambda: _acting_leader(world) is not None)
    leader = world.leaders()[0]
    name = sorted(world.workers)[0]
    world.workers[name].seq += 100  # it has reported for some minutes
    await asyncio.sleep(8.0)
    old_report = world.workers[name].report()
    for other in set(world.workers) - {name}:
        world.cloud.kill(other)
    world.spawn(world.restart(leader, 0.5))
    world.muted[name] = world.now + 8.0
    await world.restart_machine(name, False, 0.3)
    await _wait_until(world, 30.0, lambda: _is_known_to_leader(world, name))
    worker = world.workers[name]
    world.spawn(world.user(_long_job(1, 1) | {"expectedS": 60.0, "pullGb": 0.0}, None))
    if early:
        await _deliver(world, worker, old_report)
    await _wait_until(world, 10.0, lambda: worker.tasks)
    return worker, old_report


async def _deliver(world: CopiedReports, worker: Worker, report: Any) -> None:
    """Let a copy of a report come to all controllers."""
    for member in filter(world.up, world.members):
        await world.servers[member](worker.name, "POST", "/hello", report)


@pytest.mark.parametrize("early", [False, True])
@pytest.mark.parametrize("fate", ["left", "cancelled"])
def test_a_report_of_before_a_machines_restart_does_not_hide_the_task_that_it_got_since(
    fate: str, early: bool
) -> None:
    """Guards against true reports that count as old, so that a task starts on a second machine.

    The worker's numbers begin anew, and a copy from before, with higher ones, comes just after
    the start command.
    """

    async def story(world: Any) -> None:
        worker, old_report = await _start_on_restarted_machine(world, early)
        assert worker.tasks and worker.seq < old_report["seq"]
        world.spawn(_deliver(world, worker, old_report))
        if fate == "cancelled":
            await asyncio.sleep(0.1)
            await world.cancel_until_over("run-000001")
        await asyncio.sleep(50.0)
        assert world.max_stop_delay_s < world.CANCEL_S
        if fate == "cancelled":
            assert not world.present_of_job("run-000001")

    tell(story, 4, loss=0.0, kind=CopiedReports)
