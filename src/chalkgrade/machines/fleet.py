"""Machines: what each one reports, surely or possibly holds, and its orders.

An attempt that the book puts on a machine counts as present there until one of
the proofs of absence holds (`Fleet.absent`). Orders are never queued: each
response carries the difference between what the book wants and what the report
shows, so a lost response costs nothing but time.

What is believed of a report: that all of it was true when it was written, and that
this was after every older one, by (tenure, seq). That it was written in our own term, and
not long before, is proved by our token alone (`current`): to a new leader the first
one may be a copy from any earlier session, of a machine that is gone. Without it only
what stays true is believed: the machine's kind, a notice, tasks that are done; and what it says
of attempts that we decided ourselves, which no earlier report can tell of.
"""

import logging
from collections.abc import Iterable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.latest import Latest
from chalkgrade.machines.hearing import Hearing
from chalkgrade.outside import Clock, Signal
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.vectors import ZERO, Vector, minus, plus

log = logging.getLogger("chalkgrade.fleet")


class TaskReport(msgspec.Struct):
    task: str
    number: int = msgspec.field(name="try")
    status: str = "running"
    cause: str | None = None
    kept: bool = False


class Report(msgspec.Struct):
    host: str
    tenure: int
    seq: int
    baton: int
    hosttype: str
    site: str
    addr: str = ""
    standby: bool = False
    warningS: float | None = None
    tasks: list[TaskReport] = []


class Machine:
    """One machine as the leader knows it."""

    def __init__(self, name: str, hosttype: str, site: str, standby: bool, now: float) -> None:
        self.name = name
        self.hosttype = hosttype
        self.site = site
        self.standby = standby
        self.known_at = now
        self.tenure = 0
        self.seq = 0
        self.baton = 0
        self.reported_at: float | None = None  # when its newest report came
        self.misread = False  # it refused a task that should have fitted
        self.hired = False  # rented under this token, so that its boot is seen whole
        self.answered_at: float | None = None  # when we last may have renewed its lease
        self.hearing = Hearing()  # whether what we answer reaches it
        self.tasks: dict[tuple[str, int], TaskReport] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.used: Vector = ZERO  # what the attempts of the book take
        self.given = Signal()  # work was decided for it
        self.open = 0  # reports that wait for their answer: what is decided now goes at once
        self.warned = False
        self.listed_at: float | None = None  # when a list that names it was first asked for
        self.status = ""
        self.born = now  # about when it was rented
        self.images: dict[str, float] = {}  # image -> when it was last used
        self.image_gb: dict[str, float] = {}
        self.failed: dict[Job, int] = {}  # failed attempts by job, since the last success
        self.failed_at = now  # when a task last failed on it; before our term it may have
        self.silent_from: float | None = None  # as the last leader said, until it reports
        self.releasing = False
        self.busy_at = now  # when it last had work
        self.drains = ("", now)  # the queue for whose wide tasks it was last kept, and when

    def attach(self, attempt: Attempt) -> None:
        """An attempt of the book may be here from now on."""
        self.attempts[attempt.name, attempt.number] = attempt
        self.given.fire()
        self.used = plus(self.used, attempt.job.spec.resources)

    def detach(self, attempt: Attempt) -> None:
        """An attempt is surely not here any more."""
        if self.attempts.pop((attempt.name, attempt.number), None) is not None:
            # An empty machine uses exactly nothing: sums of fractions would drift.
            left = minus(self.used, attempt.job.spec.resources)
            self.used = left if self.attempts else ZERO

    @property
    def failures(self) -> int:
        """The failures that are the machine's own fault, as far as is known now.

        A job of which something was completed is sound: what fails of it counts
        in full. One that failed on other machines as well and never succeeded is
        faulty itself, and no machine is blamed for it, however many of its tasks
        it had. A single job that failed only here leaves both open.
        """
        if not self.failed:
            return 0  # the usual case, asked of every machine in every round and plan
        return sum(
            count
            if job.has_succeeded
            else 0
            if len(job.failures_by_machine) >= constants.FAULTY_MACHINES
            else 1
            for job, count in self.failed.items()
        )

    def strangers(self) -> list[TaskReport]:
        """Reported tasks that are not over and that the book does not put here."""
        if self.tasks.keys() <= self.attempts.keys():
            return []  # the usual case, and every round asks every machine
        return [
            report
            for key, report in self.tasks.items()
            if report.status != "ended" and key not in self.attempts
        ]


class Fleet:
    """All machines known under one token."""

    def __init__(self, clock: Clock, token: int, lease_s: float, report_s: float) -> None:
        self._clock = clock
        self.token = token
        self.lease_s = lease_s
        self.report_s = report_s
        self.silent_s = constants.SILENT_REPORTS * report_s + constants.SILENT_SLACK_S
        self.machines: dict[str, Machine] = {}
        # Surely gone: old reports and lists must not revive them.
        self.gone = Latest[str, None](constants.GONE_KEPT)

    def machine(self, name: str, hosttype: str, site: str, standby: bool) -> Machine:
        """The machine of that name, made known if it was not."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, hosttype, site, standby, self._clock.now())
            self.machines[name] = machine
        elif not machine.hosttype:
            machine.hosttype, machine.site, machine.standby = hosttype, site, standby
        return machine

    def hold(self, attempt: Attempt) -> None:
        """Put an attempt on its machine, which may be known only by that."""
        machine = self.machine(attempt.machine, "", "", False)
        machine.attach(attempt)

    def take(self, report: Report) -> Machine | None:
        """Take in a report; None when it is older than what is known, or from the dead."""
        if report.host in self.gone:
            return None
        machine = self.machine(report.host, report.hosttype, report.site, report.standby)
        if (report.tenure, report.seq) <= (machine.tenure, machine.seq):
            return None
        launched = {(entry.task, entry.number) for entry in report.tasks}
        now, lease_s = self._clock.now(), self.lease_s
        key = (report.tenure, report.seq)
        machine.hearing.reported(key, report.baton >= self.token, launched, now, lease_s)
        machine.tenure, machine.seq, machine.baton = report.tenure, report.seq, report.baton
        machine.reported_at = now
        machine.silent_from = None
        machine.misread = False
        machine.warned = machine.warned or report.warningS is not None
        machine.tasks = {(entry.task, entry.number): entry for entry in report.tasks}
        return machine

    def current(self, machine: Machine) -> bool:
        """Whether its newest report was surely written in our term: it shows our token.

        No earlier leader's order can be executed there any more, and it hears us.
        """
        return machine.baton == self.token

    def over(self, machine: Machine, attempt: Attempt, cause: str) -> bool:
        """Whether an attempt of the book that a report lists as ended is surely over.

        What is done stays done. Any other end lasts as long as the worker's session: if it
        had not reached the last leader, that one has launched the attempt again, under the
        same number, into the next session, and a copy from the first may reach us before that
        session's own reports do. Of what we decided, older sessions know nothing.
        """
        return cause == "done" or bool(attempt.placed_at) or self.current(machine)

    def absent(self, machine: Machine, attempt: Attempt) -> bool:
        """Whether an attempt of the book is surely not on its machine.

        Holds when the newest report was made under our own token, does not list
        it, and came after the response that carried its launch: a worker has
        only one report in flight, so that response was executed or dropped.
        Launches of earlier leaders can no longer be executed once the worker
        has seen our token. That it has not proves nothing of an attempt that was on record
        before us: its report may have been held since before its launch. Of one that we
        decided it need not have seen anything: nobody else ever launches that one.
        """
        if (attempt.name, attempt.number) in machine.tasks:
            return False
        if not self.current(machine) and not attempt.placed_at:
            return False
        return attempt.launch_report is None or attempt.launch_report < (
            machine.tenure,
            machine.seq,
        )

    def expired(self, machine: Machine) -> bool:
        """Whether a silent machine's lease has surely ended.

        Only for machines that have seen our token: others may be kept alive by
        an earlier leader that we can't see.
        """
        return self.current(machine) and self.lapsed(machine)

    def lapsed(self, machine: Machine) -> bool:
        """Whether no answer of ours can have kept a task there alive.

        Whatever an earlier leader may keep alive: an attempt that we decided is surely
        absent then, since the only answers that could launch it were ours.
        """
        if machine.answered_at is None:
            return False
        lease = self.lease_s * (1 + constants.CLOCK_DRIFT) + constants.WORKER_MARGIN_S
        return self._clock.now() > machine.answered_at + lease

    def usable(self, machine: Machine) -> bool:
        """Whether work may be placed on it now.

        Also where an earlier leader's launch can still be executed: what it may launch
        there is in the book and has its room, and new work is nowhere else. Only absence
        needs a report under our own token.
        """
        heard = machine.reported_at is not None and not machine.misread
        return heard and not self.doubtful(machine) and self.hopeful(machine)

    def doubtful(self, machine: Machine) -> bool:
        """Whether all that is known of it may be a late copy of a report.

        A machine of earlier days that was returned or taken meanwhile is in no list any
        more, and copies of its reports, also of its very first, would bring it back under a
        new leader, however many come. One that is there is listed, was rented by us, or
        shows our token with its next report, half a second later.
        """
        return machine.listed_at is None and not machine.hired and not self.current(machine)

    def hopeful(self, machine: Machine) -> bool:
        """Whether a machine serves, or will once it is up: not going, sick or silent."""
        return (
            not machine.releasing
            and not machine.warned
            and machine.failures < constants.SUSPECT_FAILURES
            and not machine.hearing.deaf
            and (
                machine.reported_at is None
                or self._clock.now() - machine.reported_at < self.silent_s
            )
        )

    def delay_s(self, machine: Machine) -> float:
        """How long a launch for it has to wait for a report that it can go with."""
        if machine.open or machine.reported_at is None:
            return 0.0
        return max(0.0, self.report_s - (self._clock.now() - machine.reported_at))

    def drop(self, machine: Machine) -> list[Attempt]:
        """A machine is surely gone; returns the attempts that went with it."""
        self.gone[machine.name] = None
        self.machines.pop(machine.name, None)
        lost = list(machine.attempts.values())
        machine.attempts.clear()  # a report that is being answered must launch nothing there
        return lost


def orders(
    machine: Machine, forgettable: Iterable[tuple[str, int]], clock: Clock, launches: bool
) -> list[dict[str, Any]]:
    """The difference between the book and the last report of a machine."""
    out: list[dict[str, Any]] = []
    forget = set(forgettable)
    for (task, number), entry in machine.tasks.items():
        attempt = machine.attempts.get((task, number))
        if entry.status == "ended":
            if (task, number) in forget:
                out.append({"order": "forget", "task": task, "try": number})
        elif attempt is None:
            # Nobody planned it here (any more): a late command, or a job that is over.
            out.append({"order": "kill", "task": task, "try": number, "graceS": 0})
        elif attempt.kill_requested_at is not None:
            spec = attempt.job.spec
            saves = spec.savepointS > 0 and not attempt.job.cancelled
            late = clock.now() - attempt.kill_requested_at > constants.KILL_GRACE_S + spec.flushS
            if entry.status == "saving" and saves and not late:
                continue
            grace = constants.KILL_GRACE_S + spec.flushS if saves and not late else 0
            attempt.kill_sent = True
            out.append({"order": "kill", "task": task, "try": number, "graceS": grace})
    if launches:
        for (task, number), attempt in machine.attempts.items():
            if (task, number) in machine.tasks or attempt.kill_requested_at is not None:
                continue
            if attempt.job.cancelled or not attempt.is_durable:
                continue
            attempt.launch_report = (machine.tenure, machine.seq)
            machine.hearing.launched.add((task, number))
            out.append({"order": "launch", "task": task, "try": number})
    return out
