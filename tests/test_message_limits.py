"""No message grows with the number of tasks beyond the size that the protocol allows.

A worker's report lists every task of its machine, and a report over 64 KiB is refused. So one
machine with too many small tasks could not report at all: its lease ended, all tasks were killed,
and the same tasks were launched again in a response whose line was too long as well.
"""

import asyncio
import random
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any, cast

import pytest

from chalkgrade.constants import MAX_NETSTRING_BYTES
from chalkgrade.machines.fleet import Fleet, Machine, Report, TaskReport
from chalkgrade.machines.message_size import (
    REPORT_CAPACITY_BYTES,
    machine_capacity,
    machine_demand,
    report_entry_bytes,
)
from chalkgrade.machines.orders import orders
from chalkgrade.machines.placement import Slot, choose_slot
from chalkgrade.outside import NoAnswer, encode
from chalkgrade.record.jobs import Job, JobSpec, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.loop import ManualClock
from chalkgrade.region.rules import MAX_BODY_BYTES, MAX_LINE_BYTES
from chalkgrade.region.world import World, tell
from chalkgrade.serving.links import PeerRequestServer, _PeerConnection
from chalkgrade.serving.netstrings import NetstringDecoder, encode_netstring
from chalkgrade.vectors import minus
from test_membership import _acting_leader, _wait_until

TOKEN = 7
SMALL = {"vcpus": 0.04, "memoryGb": 0.1, "bundle": "img-0", "standby": True, "oneZone": False}


class LargeMachines(World):
    """A region of large machines, of which the cloud has one."""

    LOSS = 0.0
    FLAVORS = (dict(World.FLAVORS[1], vcpus=64, memoryGb=256),)
    ROOMS = {("large", "a", True): 1}

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.cloud.add_running(("large", "a", True), 1)


def _array(world: World, number: int, **changes: Any) -> dict[str, Any]:
    """An array of 350 small tasks of a team without a limit."""
    base = {"owner": "blue", "tasks": 350, "shape": "batch", "jobclass": "pings"}
    fixed = {"spread": False, "site": None, "hosttypes": None, "expectedS": 20.0, "dueS": None}
    return world.spec(number, **(base | SMALL | fixed | changes))


def _all_over(world: World, names: Iterable[str]) -> bool:
    return all(world.jobs[name]["over"] for name in names)


def test_a_burst_of_small_tasks_on_one_machine_stays_within_the_message_sizes() -> None:
    """Guards against more tasks on a machine than its report can list; the world checks sizes."""

    async def story(world: World) -> None:
        specs = [_array(world, number) for number in range(1, 5)]
        specs.append(_array(world, 9, owner="red", tasks=4, vcpus=1.0, memoryGb=3.8))
        for spec in specs:
            world.spawn(world.user(spec, None))
        names = [spec["nameId"] for spec in specs]
        await _wait_until(world, 20.0, lambda: len(world.jobs) == len(specs))
        await _wait_until(world, 300.0, lambda: _all_over(world, names))
        assert len(world.done) == 4 * 350 + 4
        assert world.lease_ends == 0 and not world.unrequested_stops
        assert len(world.present()) == 0 and world.started == len(world.done)

    tell(story, kind=LargeMachines)


def test_tasks_beyond_a_machines_reports_get_another_machine() -> None:
    """Guards against a rental plan that counts room where placement has none left."""

    class TwoMachines(LargeMachines):
        ROOMS = {("large", "a", True): 2}

    async def story(world: World) -> None:
        for number in (1, 2):
            spec = _array(world, number, shape="service", tasks=400, expectedS=0.0)
            world.spawn(world.user(spec, None))
        await _wait_until(world, 90.0, lambda: len(world.present()) == 800)
        assert len({worker.name for worker, _ in world.present()}) == 2

    tell(story, kind=TwoMachines)


def test_cancelling_all_tasks_of_a_full_machine_stays_within_the_message_sizes() -> None:
    """Guards against kill orders that make a response too long or come after the deadline."""

    async def story(world: World) -> None:
        names = [f"run-{number:06d}" for number in (1, 2)]
        for number in (1, 2):
            spec = _array(world, number, shape="service", tasks=400, expectedS=0.0)
            world.spawn(world.user(spec, 25.0))
        await _wait_until(world, 25.0, lambda: len(world.present()) > 500)
        await _wait_until(world, 60.0, lambda: not world.present())
        assert all(world.jobs[name]["aborted"] is not None for name in names)
        assert 0 < world.max_stop_delay_s < world.CANCEL_S and world.lease_ends == 0
        world.spawn(world.user(_array(world, 3), None))
        await _wait_until(world, 120.0, lambda: "run-000003" in world.jobs)
        await _wait_until(world, 120.0, lambda: _all_over(world, ["run-000003"]))

    tell(story, kind=LargeMachines)


# -- one machine ---------------------------------------------------------------------------------


def _job(name: str, tasks: int = 100_000) -> Job:
    spec = JobSpec(
        name, "pings", "blue", "batch", "high", tasks, 0.01, 0.0, 0.01, "img", 0.0,
        False, False, True, 5.0, 0.0, 0.0,
    )  # fmt: skip
    return Job(JobValue(spec, 0.0), 0, OpLog(1 << 30))


def _fleet() -> tuple[Fleet, Machine]:
    fleet = Fleet(ManualClock(), TOKEN, 12.0, 3.0)
    return fleet, fleet.get_or_add("host-000001", "large", "a", True)


def _attach(fleet: Fleet, job: Job, indexes: Iterable[int], durable: bool = True) -> None:
    for index in indexes:
        attempt = job.place(index, "host-000001")
        attempt.op_number = 0 if durable else attempt.op_number
        fleet.attach_attempt(attempt)


def _report(seq: int, tasks: list[TaskReport], baton: int = TOKEN) -> Report:
    return Report("host-000001", 1, seq, baton, "large", "a", tasks=tasks)


def _entry(entry: TaskReport) -> str:
    """An entry of a report as a worker may write it, with spaces and all fields."""
    return str(
        {
            "task": entry.task,
            "try": entry.number,
            "status": entry.status,
            "cause": entry.cause,
            "kept": entry.kept,
        }
    )


@pytest.mark.parametrize("name", ["run-000412", "a-1", "b" * 60 + "-12345678901234567890"])
def test_tasks_placed_on_a_machine_can_always_be_reported(name: str) -> None:
    """Guards against a bound for entries that some state, id or number exceeds."""
    job, (fleet, machine) = _job(name), _fleet()
    fleet.accept_report(_report(1, []))
    demand = machine_demand(job.spec)[3]
    count = int(REPORT_CAPACITY_BYTES // demand)
    assert 250 <= count <= 700
    _attach(fleet, job, range(99_999, 99_999 - count, -1))
    assert machine.used_with_unrecorded()[3] <= REPORT_CAPACITY_BYTES < (count + 1) * demand
    fitting, excess = machine.unlisted_attempts()
    assert len(fitting) == count and not excess
    for status, cause in (("fetching", None), ("saving", None), ("ended", "incomplete")):
        entries = [TaskReport(a.name, 999_999, status, cause) for a in fitting]
        body = len(", ".join(map(_entry, entries))) + len(encode(_report(1 << 63, [], 1 << 63)))
        assert body <= MAX_BODY_BYTES


def test_a_machine_with_too_many_attempts_launches_only_what_it_can_report() -> None:
    """Guards against the same endless kills after an upgrade from a version without the bound."""
    job, (fleet, machine) = _job("run-000412"), _fleet()
    _attach(fleet, job, range(1404))
    fleet.accept_report(_report(1, []))
    launched = orders(machine, [], ManualClock(), launches=True)
    fitting, excess = machine.unlisted_attempts()
    assert len(launched) == len(fitting) and len(fitting) + len(excess) == 1404
    assert len(encode({"baton": (1 << 64) - 1, "orders": launched})) <= MAX_LINE_BYTES
    assert all(fleet.is_surely_absent(machine, attempt) for attempt in excess)
    assert all(attempt.launch_report == (1, 1) for attempt in fitting)


def test_longer_entries_than_expected_leave_less_room() -> None:
    """Guards against trust in the expected form of entries where reports show longer ones."""
    job, (fleet, machine) = _job("run-000412"), _fleet()
    _attach(fleet, job, range(100))
    entries = [TaskReport(a.name, a.number) for a in machine.attempts.values()]
    fleet.accept_report(_report(1, entries), 60_000)
    assert machine.used_with_unrecorded()[3] > REPORT_CAPACITY_BYTES - 7_000
    _attach(fleet, job, range(100, 200))
    fitting, excess = machine.unlisted_attempts()
    assert 0 < len(fitting) < 60 and len(fitting) + len(excess) == 100


def test_ended_tasks_count_until_the_worker_forgets_them() -> None:
    """Guards against room for new tasks while the ended ones still fill the report."""
    _, (fleet, machine) = _job("run-000412"), _fleet()
    entries = [TaskReport(f"run-000412/{n}", 1, "ended", "done") for n in range(600)]
    fleet.accept_report(_report(1, entries))
    assert machine.used == (0.0, 0.0, 0.0, 0.0)
    expected = sum(report_entry_bytes(entry.task) for entry in entries)
    assert machine.used_with_unrecorded()[3] == expected
    fleet.accept_report(_report(2, []))
    assert machine.used_with_unrecorded()[3] == 0


@pytest.mark.parametrize("seed", range(6))
def test_every_order_is_sent_in_responses_of_the_allowed_length(seed: int) -> None:
    """Guards against a line over 64 KiB, and against orders that the cut would lose for ever."""
    rng = random.Random(seed)
    fleet, machine = _fleet()
    job = _job("x" * rng.randrange(1, 75) + "-1")
    _attach(fleet, job, range(300))
    listed = {
        key: TaskReport(*key, rng.choice(["running", "ended"]))
        for key in list(machine.attempts)[: rng.randrange(0, 300)]
    }
    strangers = [(f"y-{n}/{rng.randrange(10**5)}", 1) for n in range(rng.randrange(400, 1300))]
    listed |= {key: TaskReport(*key, rng.choice(["running", "ended"])) for key in strangers}
    ended_on_record = [key for key in listed if key in machine.attempts]
    for key in ended_on_record:
        if listed[key].status == "ended":
            machine.detach(machine.attempts[key])
    sent: dict[str, set[tuple[str, int]]] = {"kill": set(), "forget": set(), "launch": set()}
    for seq in range(1, 20):
        fleet.accept_report(_report(seq, list(listed.values())))
        forgettable = [key for key, entry in listed.items() if entry.status == "ended"]
        found = orders(machine, forgettable, ManualClock(), launches=True)
        assert len(encode({"baton": (1 << 64) - 1, "orders": found})) <= MAX_LINE_BYTES
        if not found:
            break
        for order in found:
            key = (order["task"], order["try"])
            assert key not in sent[order["order"]]
            sent[order["order"]].add(key)
            if order["order"] == "kill":
                listed[key].status = "ended"
            elif order["order"] == "forget":
                del listed[key]
            else:
                listed[key] = TaskReport(*key)
    assert set(listed) == set(machine.attempts)
    assert set(strangers) <= sent["forget"]


def test_a_report_over_the_limit_is_answered_and_counted() -> None:
    """Guards against a machine that is never heard again because its report is too long."""

    async def story(world: World) -> None:
        node = _acting_leader(world)
        assert node is not None
        tasks = [
            {"task": f"run-000412/{n}", "try": 1, "status": "running", "note": "x" * 30}
            for n in range(1000)
        ]
        report = {
            "host": "host-9", "tenure": 1, "seq": 1, "baton": node.leadership.token,
            "hosttype": "large", "site": "a", "standby": True, "tasks": tasks,
        }  # fmt: skip
        body = encode(report)
        assert MAX_BODY_BYTES < len(body) < 2 * MAX_BODY_BYTES
        status, answer = await node.handle("POST", "/hello", body)
        assert status == 200 and len(encode(answer)) <= MAX_LINE_BYTES
        assert answer["orders"] and {o["order"] for o in answer["orders"]} == {"kill"}
        sizes = {sample.name: sample for sample in node.message_sizes.samples()}
        assert node.message_sizes.oversized_reports == 1 and len(sizes) == 3
        assert node.message_sizes.largest_report_bytes == len(body)
        status, _ = await node.handle("POST", "/hello", body + b" " * (4 * MAX_BODY_BYTES))
        assert status == 400
        for path in ("/v2/runs", "/v2/runs/run-000001/abort"):
            status, _ = await node.handle("POST", path, b" " * (MAX_BODY_BYTES + 1))
            assert status == 400

    tell(story, kind=LargeMachines)


def test_placement_skips_machines_whose_reports_are_full() -> None:
    """Guards against room that the choice of a slot sees and the report doesn't have."""
    job, (fleet, machine) = _job("run-000412"), _fleet()
    fleet.accept_report(_report(1, []))
    _attach(fleet, job, range(int(REPORT_CAPACITY_BYTES // machine_demand(job.spec)[3])))
    assert machine.used[0] < 10.0
    capacity = machine_capacity((64.0, 0.0, 256.0))
    free = minus(capacity, machine.used_with_unrecorded())
    slot = Slot("host-000001", "large", "a", True, free, capacity)
    assert choose_slot(job.spec, [slot], {"a"}) is None
    machine.detach(next(iter(machine.attempts.values())))
    slot.free = minus(capacity, machine.used_with_unrecorded())
    assert choose_slot(job.spec, [slot], {"a"}) is slot


# -- users, the state service and other controllers ----------------------------------------------


@pytest.mark.parametrize("field", ["owner", "shape", "urgency", "site"])
def test_error_texts_stay_within_a_line(field: str) -> None:
    """Guards against an error that quotes a long field with escapes, five bytes for one."""

    async def story(world: World) -> None:
        node = _acting_leader(world)
        assert node is not None
        body = encode(_array(world, 1) | {field: "\x7f" * 15_000})
        status, answer = await node.handle("POST", "/v2/runs", body)
        assert status in (400, 422) and answer["error"]
        assert len(encode(answer)) <= MAX_LINE_BYTES

    tell(story, kind=LargeMachines)


def test_commits_and_comparisons_of_many_keys_count_their_conditions() -> None:
    """Guards against a commit over 64 KiB where the service allows large values and commits."""

    class LargeCommits(LargeMachines):
        STATE = dict(World.STATE, txn_ops=400, value_kb=64, write_rps=4)

    async def story(world: World) -> None:
        specs = [
            _array(world, 1, nameId="b" * 75 + f"-{number:06d}", tasks=1, vcpus=1.0)
            for number in range(300)
        ]
        for spec in specs:
            world.spawn(world.user(spec, None))
        await _wait_until(world, 120.0, lambda: len(world.jobs) == len(specs))
        names = [spec["nameId"] for spec in specs]
        await _wait_until(world, 900.0, lambda: _all_over(world, names))
        node = _acting_leader(world)
        assert node is not None
        ends = [f"cg/end/{name}" for name in names]
        missing = [f"cg/end/{'c' * 90}-{number}" for number in range(1600)]
        assert await node.ledger.existing_keys([*missing, *ends]) == set(ends)

    tell(story, kind=LargeCommits)


class _Transport:
    """Keeps what is written instead of sending it."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return False


def test_a_message_over_the_limit_fails_alone_between_controllers() -> None:
    """Guards against one long message that closes the connection and fails all other requests."""
    too_long = ["x" * 100] * (MAX_NETSTRING_BYTES // 100)

    async def on_peer(message: dict[str, Any]) -> dict[str, Any]:
        return {"status": 200, "body": too_long if message["q"] == "told" else {}}

    async def exchange() -> None:
        transport: Any = _Transport()
        server = PeerRequestServer(cast(Any, SimpleNamespace(on_peer=on_peer)))
        server.connection_made(transport)
        for number, what in ((1, "told"), (2, "ping")):
            server.data_received(encode_netstring({"q": what, "n": number}))
        await asyncio.sleep(0.01)
        answers = {a["n"]: a["status"] for a in NetstringDecoder().feed(transport.written)}
        assert answers == {1: 503, 2: 200}
        connection = _PeerConnection()
        connection.connection_made(_Transport())  # type: ignore[arg-type]
        with pytest.raises(NoAnswer):
            await connection.ask({"q": "hints", "arg": too_long})
        assert not connection.closed

    asyncio.run(exchange())
