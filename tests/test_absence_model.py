"""Proofs of absence: one worker, any number of leaders, lost, late and copied messages.

A model draws what is sent and what arrives; what is called absent must be absent.
"""

import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from chalkgrade.machines.fleet import Fleet, Machine, Report, TaskReport, orders
from chalkgrade.record.jobs import Attempt, Job, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.loop import HandClock
from test_membership import QUICK
from test_placement_rentals import spec

LEASE_S, REPORT_S = 12.0, 3.0  # s; a worker's lease, and between two of its reports
PICK = st.integers(0, 30)
FATES = ["fine", "fine", "fine", "lost", "unheard", "late"]


class Way(RuleBasedStateMachine):
    """One worker as the protocol describes it, one leader after the other, and a bad way.

    Reports and answers are lost, answers come late, copies of any report come at any time.
    Whatever a leader takes for surely absent is not there, and never will be.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = HandClock()
        self.token = 0
        # The worker.
        self.tenure, self.seq, self.baton = 1, 0, 0
        self.lease_from = self.clock.at
        self.there: dict[tuple[str, int], str] = {}  # attempt -> status
        self.flight: tuple[Report, float] | None = None  # its report without an answer yet
        self.answer: dict[str, Any] | None = None  # on its way back
        self.sent: list[Report] = []
        self.gone: set[tuple[str, int]] = set()  # said to be absent
        self.live: dict[int, tuple[int, str]] = {}  # durable attempts
        self.next = 1  # try numbers are never used again
        self.log = OpLog(16 * 1024)
        self.lead()

    @rule()
    def lead(self) -> None:
        """A new leader: it has the attempts on record, and no memory of any report."""
        self.token += 10
        self.fleet = Fleet(self.clock, self.token, LEASE_S, REPORT_S)
        self.job = Job(JobValue(spec(nameId="run-000001", tasks=6), 0.0), 1, self.log)
        self.job.page_of(0).next_try = self.next
        for index, (number, machine) in self.live.items():
            self.job._add_live(self.job.page_of(0), Attempt(self.job, index, number, machine, 0))
            self.fleet.hold(self.job.live[index])

    def machine(self) -> Machine | None:
        return self.fleet.machines.get("host-1")

    @rule(seconds=st.floats(0.1, 6.0))
    def time_passes(self, seconds: float) -> None:
        self.clock.at += seconds
        if self.flight is not None and self.clock.at - self.flight[1] > 4.0:
            self.flight = self.answer = None
        if self.clock.at > self.lease_from + LEASE_S:
            self.tenure += 1
            self.there.clear()
            self.lease_from = self.clock.at

    def made(self) -> Report:
        self.seq += 1
        tasks = [TaskReport(task, number, status) for (task, number), status in self.there.items()]
        out = Report("host-1", self.tenure, self.seq, self.baton, "quad", "a", tasks=tasks)
        self.sent.append(out)
        return out

    @precondition(lambda self: self.flight is None)
    @rule(fate=st.sampled_from(FATES))
    def report(self, fate: str) -> None:
        made = self.made()
        self.flight = made, self.clock.at
        if fate != "lost":
            self.answer = self.take(made)
        if fate in ("fine", "unheard") and self.answer is not None:
            self.answered(fate == "unheard")

    @precondition(lambda self: self.flight is None and self.baton < self.token)
    @rule()
    def an_earlier_leader_keeps_its_lease(self) -> None:
        """It launches nothing any more, but may shelter who has not seen the next token."""
        self.made()
        if self.baton:
            self.lease_from = self.clock.at

    @precondition(lambda self: self.sent)
    @rule(pick=PICK)
    def a_copy_comes(self, pick: int) -> None:
        self.take(self.sent[-1 - pick % len(self.sent)])  # nobody hears the answer

    def take(self, made: Report) -> dict[str, Any] | None:
        """As `Reports.hello` does it."""
        if made.baton > self.token:
            return None
        received = self.clock.at
        machine = self.fleet.take(made)
        if machine is None:
            return None
        for key, attempt in list(machine.attempts.items()):
            entry = machine.tasks.get(key)
            if entry is None:
                if self.fleet.absent(machine, attempt) and (
                    machine.hearing.deaf or attempt.kill_requested_at
                ):
                    self.absent(machine, attempt)
            elif entry.status == "ended" and self.fleet.over(machine, attempt, entry.cause or ""):
                self.absent(machine, attempt)
        machine.answered_at = self.clock.at
        found = orders(machine, [], self.clock, launches=not machine.hearing.deaf)
        machine.hearing.answers((made.tenure, made.seq), received, self.clock.at)
        return {"baton": self.token, "tenure": made.tenure, "orders": found}

    def absent(self, machine: Machine, attempt: Attempt) -> None:
        self.gone.add((attempt.name, attempt.number))
        machine.detach(attempt)
        attempt.job.finish(attempt, False)
        self.live.pop(attempt.index, None)

    @precondition(lambda self: self.flight is not None and self.answer is not None)
    @rule()
    def a_late_answer_comes(self) -> None:
        self.answered(False)

    def answered(self, lost: bool) -> None:
        assert self.flight is not None and self.answer is not None
        (made, sent_at), answer = self.flight, self.answer
        self.flight = self.answer = None
        if lost or answer["baton"] < self.baton or made.tenure != self.tenure:
            return
        self.baton, self.lease_from = answer["baton"], max(self.lease_from, sent_at)
        for order in answer["orders"]:
            key = (order["task"], order["try"])
            if order["order"] == "launch":
                self.there.setdefault(key, "running")
            elif order["order"] == "kill" and key in self.there:
                self.there[key] = "ended"

    @precondition(lambda self: self.machine() is not None and len(self.job.waiting))
    @rule()
    def place(self) -> None:
        machine = self.machine()
        assert machine is not None
        if machine.reported_at is None or not self.fleet.usable(machine):
            return
        index = self.job.waiting.lowest(set())
        assert index is not None
        attempt = self.job.place(index, "host-1")
        attempt.placed_at, attempt.op_number = self.clock.at, 0
        self.live[index] = attempt.number, "host-1"
        self.next = attempt.number + 1
        self.fleet.hold(attempt)

    @precondition(lambda self: self.machine() is not None)
    @rule()
    def sweep(self) -> None:
        machine = self.machine()
        assert machine is not None
        if machine.attempts and self.fleet.lapsed(machine):
            every = self.fleet.expired(machine)
            for attempt in [a for a in machine.attempts.values() if every or a.placed_at]:
                self.absent(machine, attempt)

    @precondition(lambda self: "running" in self.there.values())
    @rule(pick=PICK)
    def a_task_fails(self, pick: int) -> None:
        """By itself: if its session ends before that is known, it is launched once more."""
        running = [key for key, status in self.there.items() if status == "running"]
        self.there[running[pick % len(running)]] = "ended"

    @precondition(lambda self: self.job.live)
    @rule(pick=PICK)
    def stop(self, pick: int) -> None:
        live = list(self.job.live.values())
        attempt = live[pick % len(live)]
        attempt.kill_requested_at = attempt.kill_requested_at or self.clock.at

    @invariant()
    def what_is_called_absent_is_absent(self) -> None:
        for key in self.gone:
            assert self.there.get(key, "ended") == "ended", f"{key} is called absent and runs"


def _drive(seed: int, steps: int = 400) -> None:
    """As hypothesis does it, with more of what matters and no shrinking."""
    rng, way = random.Random(seed), Way()
    parted = False  # the worker hears the last leader only; to the next one come copies
    for _ in range(steps):
        kind = rng.random()
        if kind < 0.3:
            way.time_passes(rng.choice([0.5, 1.0, 3.0, 4.5, 4.5, 13.0 if kind < 0.05 else 2.0]))
        elif kind < 0.55 and way.flight is None:
            if parted and 0 < way.baton < way.token:
                way.an_earlier_leader_keeps_its_lease()
            else:
                way.report(rng.choice(FATES))
        elif kind < 0.6 and way.flight is not None and way.answer is not None:
            way.a_late_answer_comes()
        elif kind < 0.68 and way.flight is None and way.baton < way.token:
            way.an_earlier_leader_keeps_its_lease()
        elif kind < 0.78 and way.sent:
            way.a_copy_comes(rng.randrange(8))
        elif kind < 0.88 and way.machine() is not None and len(way.job.waiting):
            way.place()
        elif kind < 0.92 and way.machine() is not None:
            way.sweep()
        elif kind < 0.94 and way.job.live:
            way.stop(rng.randrange(30))
        elif kind > 0.97 and way.baton == way.token:
            way.lead()
            parted = rng.random() < 0.5
        elif kind > 0.97 and rng.random() < 0.3:
            parted = False
        way.what_is_called_absent_is_absent()


def _fail(seed: int, rounds: int = 20) -> None:
    """Tasks fail, which no leader hears; they start again, and a new leader gets the copies."""
    rng, way = random.Random(seed), Way()
    for _ in range(rounds):
        way.report("fine")
        for _ in range(2):
            if way.machine() is not None and len(way.job.waiting):
                way.place()
        way.report("fine")
        if "running" in way.there.values():
            way.a_task_fails(rng.randrange(30))
        for _ in range(rng.randrange(3)):
            way.report("lost")
            way.time_passes(5.0)  # it gives up
        way.time_passes(rng.choice([1.0, 13.0]))
        way.report(rng.choice(["fine", "fine", "lost"]))
        way.time_passes(5.0)
        way.lead()
        for _ in range(rng.randrange(6)):
            way.a_copy_comes(rng.randrange(8))  # kept for exactly this leader
            way.what_is_called_absent_is_absent()
        way.report("fine")
        way.what_is_called_absent_is_absent()


def _run() -> None:
    for seed in range(40):
        _drive(seed)
        _fail(seed)


def test_what_is_called_absent_is_absent_whatever_copies_come() -> None:
    _run()
    run_state_machine_as_test(Way, settings=QUICK)


def _by_arrival(patch: pytest.MonkeyPatch) -> None:
    plain = Fleet.take

    def take(self: Fleet, report: Report) -> Machine | None:
        machine = self.machines.get(report.host)
        if machine is not None and (report.tenure, report.seq) < (machine.tenure, machine.seq):
            machine.tenure, machine.seq = 0, 0
        return plain(self, report)

    patch.setattr(Fleet, "take", take)


def _absence_by_any_report(patch: pytest.MonkeyPatch) -> None:
    def absent(self: Fleet, machine: Machine, attempt: Attempt) -> bool:
        return (attempt.name, attempt.number) not in machine.tasks

    patch.setattr(Fleet, "absent", absent)


def _lease_by_any_token(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Fleet, "expired", Fleet.lapsed)


def _any_end_is_believed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Fleet, "over", lambda self, machine, attempt, cause: True)


@pytest.mark.parametrize(
    "bug", [_by_arrival, _absence_by_any_report, _lease_by_any_token, _any_end_is_believed]
)
def test_bugs_in_the_proofs_are_found(
    bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    bug(monkeypatch)
    with pytest.raises(AssertionError, match="called absent"):
        _run()
