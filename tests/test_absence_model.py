"""Proofs of absence with one worker, several leaders, and lost, late and copied messages.

A model draws what is sent and what arrives. Guards against a leader that takes an attempt for
absent while it runs or can still start, so that a task would run twice.
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

from chalkgrade.machines.fleet import Fleet, Machine, Report, TaskReport
from chalkgrade.machines.orders import orders
from chalkgrade.record.jobs import Attempt, Job, JobValue
from chalkgrade.record.oplog import OpLog
from chalkgrade.region.loop import ManualClock
from test_membership import QUICK
from test_placement_rentals import spec

LEASE_S, REPORT_S = 12.0, 3.0  # s; a worker's lease, and the interval of its reports
FIRST_TOKEN = 10  # of the leader that rented the machine
PICK = st.integers(0, 30)
FATES = ["fine", "fine", "fine", "lost", "unheard", "late"]


class ProtocolModel(RuleBasedStateMachine):
    """One worker as the protocol describes it, successive leaders, and an unreliable network.

    Reports and answers are lost, answers arrive late, and copies of any report arrive at any
    time. An attempt that a leader takes for absent must not be present then or later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.token = 0
        # The worker.
        self.tenure, self.seq, self.baton = 1, 0, 0
        self.lease_from = self.clock.at
        self.present: dict[tuple[str, int], str] = {}  # attempt -> status
        self.in_flight: tuple[Report, float] | None = None  # unanswered report, time sent
        self.answer: dict[str, Any] | None = None  # in transit to the worker
        self.sent: list[Report] = []
        self.gone: set[tuple[str, int]] = set()  # attempts that a leader took for absent
        self.live: dict[int, tuple[int, str]] = {}  # durable attempts
        self.next = 1  # try numbers are never reused
        self.log = OpLog(16 * 1024)
        self.lead()

    @rule()
    def lead(self) -> None:
        """A new leader starts with the attempts on record and without any report."""
        self.token += FIRST_TOKEN
        self.fleet = Fleet(self.clock, self.token, LEASE_S, REPORT_S)
        self.job = Job(JobValue(spec(nameId="run-000001", tasks=6), 0.0), 1, self.log)
        self.job.page_of(0).next_try = self.next
        machine = self.fleet.get_or_add("host-1", "quad", "a", False)
        machine.rented_this_term = self.token == FIRST_TOKEN
        if self.token % 20:  # the cloud lists it, so that work may be placed at once
            machine.listed_at = self.clock.at
        for index, (number, machine) in self.live.items():
            self.job._add_live(self.job.page_of(0), Attempt(self.job, index, number, machine, 0))
            self.fleet.attach_attempt(self.job.live[index])

    def machine(self) -> Machine | None:
        return self.fleet.machines.get("host-1")

    @rule(keeps_numbers=st.booleans())
    def worker_restarts(self, keeps_numbers: bool) -> None:
        """The worker is back at once without its tasks; its numbers go on or begin anew.

        Left out are copies of reports with the present leader's token if the leader got no report
        with it: see `test_reports_that_are_held_over_a_restart_prove_nothing`.
        """
        machine = self.machine()
        if keeps_numbers:
            self.tenure += 1
        else:
            if machine is None or not self.fleet.has_seen_token(machine):
                self.sent = [report for report in self.sent if report.baton < self.token]
            self.tenure, self.seq, self.baton = 1, 0, 0
        self.present.clear()
        self.in_flight = self.answer = None
        self.lease_from = self.clock.at

    @rule(seconds=st.floats(0.1, 6.0))
    def time_passes(self, seconds: float) -> None:
        self.clock.at += seconds
        if self.in_flight is not None and self.clock.at - self.in_flight[1] > 4.0:
            self.in_flight = self.answer = None
        if self.clock.at > self.lease_from + LEASE_S:
            self.tenure += 1
            self.present.clear()
            self.lease_from = self.clock.at

    def made(self) -> Report:
        self.seq += 1
        tasks = [
            TaskReport(task, number, status) for (task, number), status in self.present.items()
        ]
        out = Report("host-1", self.tenure, self.seq, self.baton, "quad", "a", tasks=tasks)
        self.sent.append(out)
        return out

    @precondition(lambda self: self.in_flight is None)
    @rule(fate=st.sampled_from(FATES))
    def report(self, fate: str) -> None:
        made = self.made()
        self.in_flight = made, self.clock.at
        if fate != "lost":
            self.answer = self.handle_report(made)
        if fate in ("fine", "unheard") and self.answer is not None:
            self.answered(fate == "unheard")

    @precondition(lambda self: self.in_flight is None and self.baton < self.token)
    @rule()
    def an_earlier_leader_keeps_its_lease(self) -> None:
        """It launches nothing, but may renew the lease of a worker that saw no later token."""
        self.made()
        if self.baton:
            self.lease_from = self.clock.at

    @precondition(lambda self: self.sent)
    @rule(pick=PICK)
    def a_copy_comes(self, pick: int) -> None:
        self.handle_report(self.sent[-1 - pick % len(self.sent)])  # the answer reaches nobody

    def handle_report(self, made: Report) -> dict[str, Any] | None:
        """Handles a report as `ReportHandler.handle_report` does."""
        if made.baton > self.token:
            return None
        received = self.clock.at
        known = self.machine()
        machine = self.fleet.accept_report(made)
        if machine is None:
            if known is not None and self.fleet.has_seen_token(known):
                return None
            return {"baton": self.token, "tenure": made.tenure, "orders": []}
        for key, attempt in list(machine.attempts.items()):
            entry = machine.tasks.get(key)
            if entry is None:
                if self.fleet.is_surely_absent(machine, attempt) and (
                    machine.response_tracker.responses_lost or attempt.kill_requested_at
                ):
                    self.absent(machine, attempt)
            elif entry.status == "ended" and self.fleet.is_surely_ended(
                machine, attempt, entry.cause or ""
            ):
                self.absent(machine, attempt)
        machine.answered_at = self.clock.at
        launches = self.fleet.may_launch(machine)
        found = orders(machine, [], self.clock, launches=launches)
        machine.response_tracker.on_response_sent((made.tenure, made.seq), received, self.clock.at)
        return {"baton": self.token, "tenure": made.tenure, "orders": found}

    def absent(self, machine: Machine, attempt: Attempt) -> None:
        self.gone.add((attempt.name, attempt.number))
        machine.detach(attempt)
        attempt.job.finish(attempt, False)
        self.live.pop(attempt.index, None)

    @precondition(lambda self: self.in_flight is not None and self.answer is not None)
    @rule()
    def a_late_answer_comes(self) -> None:
        self.answered(False)

    def answered(self, lost: bool) -> None:
        assert self.in_flight is not None and self.answer is not None
        (made, sent_at), answer = self.in_flight, self.answer
        self.in_flight = self.answer = None
        if lost or answer["baton"] < self.baton or made.tenure != self.tenure:
            return
        self.baton, self.lease_from = answer["baton"], max(self.lease_from, sent_at)
        for order in answer["orders"]:
            key = (order["task"], order["try"])
            if order["order"] == "launch":
                self.present.setdefault(key, "running")
            elif order["order"] == "kill" and key in self.present:
                self.present[key] = "ended"

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
        self.fleet.attach_attempt(attempt)

    @precondition(lambda self: self.machine() is not None)
    @rule()
    def sweep(self) -> None:
        machine = self.machine()
        assert machine is not None
        if machine.attempts and self.fleet.is_own_lease_over(machine):
            every = self.fleet.is_lease_over(machine)
            for attempt in [a for a in machine.attempts.values() if every or a.placed_at]:
                self.absent(machine, attempt)

    @precondition(lambda self: "running" in self.present.values())
    @rule(pick=PICK)
    def a_task_fails(self, pick: int) -> None:
        """A task fails; if the session ends before a leader knows, it is launched once more."""
        running = [key for key, status in self.present.items() if status == "running"]
        self.present[running[pick % len(running)]] = "ended"

    @precondition(lambda self: self.job.live)
    @rule(pick=PICK)
    def stop(self, pick: int) -> None:
        live = list(self.job.live.values())
        attempt = live[pick % len(live)]
        attempt.kill_requested_at = attempt.kill_requested_at or self.clock.at

    @invariant()
    def what_is_called_absent_is_absent(self) -> None:
        for key in self.gone:
            assert self.present.get(key, "ended") == "ended", f"{key} is called absent and runs"


def _run_random_steps(seed: int, restarts: bool, steps: int = 400) -> None:
    """Runs random steps like hypothesis, with more of the relevant ones and no shrinking."""
    rng, model = random.Random(seed), ProtocolModel()
    parted = False  # the worker reaches only the last leader; the next one gets copies
    for _ in range(steps):
        kind = rng.random()
        if kind < 0.3:
            model.time_passes(rng.choice([0.5, 1.0, 3.0, 4.5, 4.5, 13.0 if kind < 0.05 else 2.0]))
        elif kind < 0.55 and model.in_flight is None:
            if parted and 0 < model.baton < model.token:
                model.an_earlier_leader_keeps_its_lease()
            else:
                model.report(rng.choice(FATES))
        elif kind < 0.6 and model.in_flight is not None and model.answer is not None:
            model.a_late_answer_comes()
        elif kind < 0.68 and model.in_flight is None and model.baton < model.token:
            model.an_earlier_leader_keeps_its_lease()
        elif kind < 0.78 and model.sent:
            model.a_copy_comes(rng.randrange(8))
        elif kind < 0.88 and model.machine() is not None and len(model.job.waiting):
            model.place()
        elif kind < 0.92 and model.machine() is not None:
            model.sweep()
        elif kind < 0.94 and model.job.live:
            model.stop(rng.randrange(30))
        elif kind < 0.95 and restarts:
            model.worker_restarts(rng.random() < 0.3)
        elif kind > 0.97 and model.baton == model.token:
            model.lead()
            parted = rng.random() < 0.5
        elif kind > 0.97 and rng.random() < 0.3:
            parted = False
        model.what_is_called_absent_is_absent()


def _run_failures(seed: int, rounds: int = 20) -> None:
    """Tasks fail unnoticed and are launched again; then a new leader gets copies of old reports."""
    rng, model = random.Random(seed), ProtocolModel()
    for _ in range(rounds):
        model.report("fine")
        for _ in range(2):
            if model.machine() is not None and len(model.job.waiting):
                model.place()
        model.report("fine")
        if "running" in model.present.values():
            model.a_task_fails(rng.randrange(30))
        for _ in range(rng.randrange(3)):
            model.report("lost")
            model.time_passes(5.0)  # the worker stops waiting for its answer
        model.time_passes(rng.choice([1.0, 13.0]))
        model.report(rng.choice(["fine", "fine", "lost"]))
        model.time_passes(5.0)
        model.lead()
        for _ in range(rng.randrange(6)):
            model.a_copy_comes(rng.randrange(8))  # delayed until this leader started
            model.what_is_called_absent_is_absent()
        model.report("fine")
        model.what_is_called_absent_is_absent()


def _run_restarts(seed: int, rounds: int = 20) -> None:
    """A worker is back at once, and copies of its old reports come around a start command."""
    rng, model = random.Random(seed), ProtocolModel()
    for _ in range(rounds):
        for _ in range(rng.randrange(4)):
            model.report("fine")
        model.lead()
        if rng.random() < 0.7:
            model.worker_restarts(rng.random() < 0.2)
        model.report(rng.choice(["fine", "unheard"]))
        for _ in range(rng.randrange(2, 7)):
            model.report("fine" if rng.random() < 0.8 else rng.choice(FATES))
            if model.machine() is not None and len(model.job.waiting):
                model.place()
            if rng.random() < 0.5 and model.job.live:
                model.stop(rng.randrange(30))
            if rng.random() < 0.5:
                model.a_copy_comes(rng.randrange(8))
            model.what_is_called_absent_is_absent()
            model.time_passes(rng.choice([0.5, 3.0, 4.5]))
            if model.machine() is not None:
                model.sweep()
            model.what_is_called_absent_is_absent()


def _run() -> None:
    for seed in range(40):
        _run_random_steps(seed, restarts=False)
        _run_random_steps(seed, restarts=True)
        _run_failures(seed)
        _run_restarts(seed)


def test_attempts_called_absent_are_absent_whatever_copies_arrive() -> None:
    """No sequence of lost, late and copied messages makes a leader miss a running attempt."""
    _run()
    run_state_machine_as_test(ProtocolModel, settings=QUICK)


def _by_arrival(patch: pytest.MonkeyPatch) -> None:
    """Accepts reports in the order of arrival."""
    patch.setattr(Fleet, "_is_newer", lambda self, report, machine: True)


def _absence_by_any_report(patch: pytest.MonkeyPatch) -> None:
    """Takes any report that does not list an attempt as proof of its absence."""

    def absent(self: Fleet, machine: Machine, attempt: Attempt) -> bool:
        return (attempt.name, attempt.number) not in machine.tasks

    patch.setattr(Fleet, "is_surely_absent", absent)


def _lease_by_any_token(patch: pytest.MonkeyPatch) -> None:
    """Takes a lease for over although an earlier leader may have renewed it."""
    patch.setattr(Fleet, "is_lease_over", Fleet.is_own_lease_over)


def _by_numbers_alone(patch: pytest.MonkeyPatch) -> None:
    """Takes a copy from before a worker's restart for newer, as its numbers are higher."""

    def is_newer(self: Fleet, report: Report, machine: Machine) -> bool:
        return (report.tenure, report.seq) > (machine.tenure, machine.seq)

    patch.setattr(Fleet, "_is_newer", is_newer)


def _launches_before_the_token(patch: pytest.MonkeyPatch) -> None:
    """Launches in the answer to a report without this term's token."""
    patch.setattr(
        Fleet, "may_launch", lambda self, machine: not machine.response_tracker.responses_lost
    )


def _any_end_is_believed(patch: pytest.MonkeyPatch) -> None:
    """Takes an end from an earlier session for the end of the attempt."""
    patch.setattr(Fleet, "is_surely_ended", lambda self, machine, attempt, cause: True)


@pytest.mark.parametrize(
    "bug",
    [
        _by_arrival,
        _by_numbers_alone,
        _launches_before_the_token,
        _absence_by_any_report,
        _lease_by_any_token,
        _any_end_is_believed,
    ],
)
def test_weaker_proofs_of_absence_are_found(
    bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each weaker rule of proof must make the model fail."""
    bug(monkeypatch)
    with pytest.raises(AssertionError, match="called absent"):
        _run()


def test_reports_that_are_held_over_a_restart_prove_nothing() -> None:
    """Guards against a worker's report of before its restart, under one leader, that comes late.

    The leader got none of the reports that had its token from before the restart.
    """
    model = ProtocolModel()
    model.report("fine")
    for _ in range(9):
        model.report("lost")
        model.time_passes(5.0)
        held = model.sent[-1]
        assert held.baton == model.token
    model.worker_restarts(False)
    model.report("fine")
    model.report("fine")
    model.place()
    model.report("fine")
    assert model.present
    model.stop(0)
    model.handle_report(held)
    model.what_is_called_absent_is_absent()
