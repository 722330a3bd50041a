"""Machines: their reports, the attempts that may be present on them, and their orders.

An attempt that the record assigns to a machine counts as present there until it is proven
absent (`Fleet.is_surely_absent`). Orders are never queued: each response carries the difference
between the record and the report, so a lost response costs only time.

Every report was true when it was written, and it was written after all reports of the same worker
with a lower (tenure, seq); a worker that is restarted may begin anew with both. Only this term's
token in it proves that it was written recently, during this term (`Fleet.has_seen_token`): the
first report that a new leader receives may be a copy from any earlier session of a machine that no
longer exists. From a report without the token only lasting facts are used: the machine's type, a
termination notice and completed tasks, and also what it says about attempts placed in this term,
which no earlier report can mention.
"""

import logging

import msgspec

from chalkgrade import constants
from chalkgrade.bounded_dict import BoundedDict
from chalkgrade.machines.message_size import (
    NO_DEMAND,
    REPORT_CAPACITY_BYTES,
    machine_capacity,
    machine_demand,
    report_entry_bytes,
)
from chalkgrade.machines.response_tracking import ResponseTracker
from chalkgrade.outside import Clock, Signal
from chalkgrade.record.jobs import Attempt, Job
from chalkgrade.vectors import Vector, minus, plus

log = logging.getLogger("chalkgrade.fleet")


class TaskReport(msgspec.Struct):
    """One attempt in a worker's report; `number` is its try number.

    `status` is waiting, fetching, running, saving or ended. `cause` is set once ended; `kept` tells
    whether the task saved its work when it was stopped.
    """

    task: str
    number: int = msgspec.field(name="try")
    status: str = "running"
    cause: str | None = None
    kept: bool = False


class Report(msgspec.Struct):
    """A worker's report.

    `tenure` is the number of its session, `seq` that of the report, `baton` the newest leader's
    token that it has seen, `standby` whether it is a spot machine, and `warningS` the seconds left
    before the machine is withdrawn.
    """

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
    """The leader's view of one machine. Times are monotonic, s."""

    def __init__(self, name: str, hosttype: str, site: str, standby: bool, now: float) -> None:
        self.name = name
        self.hosttype = hosttype
        self.site = site
        self.standby = standby
        self.known_at = now
        self.tenure = 0  # session of its newest report
        self.seq = 0  # number of its newest report
        self.token = 0  # leader's token that its newest report carries
        self.reported_at: float | None = None  # arrival of its newest report
        self.capacity_misreported = False  # it refused a task that should have fit
        self.rented_this_term = False  # so its whole boot is observed
        self.answered_at: float | None = None  # last response, which may renew its lease
        self.response_tracker = ResponseTracker()  # whether it receives responses
        self.tasks: dict[tuple[str, int], TaskReport] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.used: Vector = NO_DEMAND  # by the attempts on record, see `machine_demand`
        # Bytes of its newest report: at most what the listed tasks may take, and what of it is
        # beyond the entries' expected sizes.
        self.listed_bytes = self.unexpected_bytes = 0
        self.work_assigned = Signal()  # fires when an attempt is placed here
        self.open_reports = 0  # reports held; launches can go out with their responses
        self.has_termination_notice = False
        self.listed_at: float | None = None  # request time of the first cloud list that has it
        self.status = ""
        self.rented_at = now  # approximate time of rental
        self.images: dict[str, float] = {}  # image -> time of last use
        self.image_gb: dict[str, float] = {}
        self.failures_by_job: dict[Job, int] = {}  # failed attempts since the last success
        self.failed_at = now  # last task failure; at first unknown, so the start
        self.silent_since: float | None = None  # from the last leader's hints, until it reports
        self.releasing = False
        self.busy_at = now  # time when it last had an attempt
        self.kept_for_queue = ("", now)  # last queue that it was reserved for, and when

    def attach(self, attempt: Attempt) -> None:
        """Adds an attempt of the record, which may be present here from now on."""
        self.attempts[attempt.name, attempt.number] = attempt
        self.work_assigned.fire()
        self.used = plus(self.used, machine_demand(attempt.job.spec))

    def detach(self, attempt: Attempt) -> None:
        """Removes an attempt that is proven absent."""
        if self.attempts.pop((attempt.name, attempt.number), None) is not None:
            # Reset to exactly zero when empty, since sums of fractions accumulate rounding errors.
            left = minus(self.used, machine_demand(attempt.job.spec))
            self.used = left if self.attempts else NO_DEMAND

    @property
    def failures(self) -> int:
        """The number of failures attributed to the machine.

        Failures of a job that has completed a task count in full, as the job works. A job that
        failed on several machines and never succeeded is itself faulty, and none of its failures
        counts against a machine. A job that failed only here may be faulty or not, and counts as
        one failure however many of its tasks failed.
        """
        if not self.failures_by_job:
            return 0  # the usual case; called per machine in every round and rental plan
        return sum(
            count
            if job.has_succeeded
            else 0
            if len(job.failures_by_machine) >= constants.MAX_FAILED_MACHINES_PER_JOB
            else 1
            for job, count in self.failures_by_job.items()
        )

    def note_report(self, report: Report, size: int) -> None:
        """Takes over the tasks that a report of `size` bytes lists."""
        self.tasks = {(entry.task, entry.number): entry for entry in report.tasks}
        entries = sum(report_entry_bytes(entry.task) for entry in report.tasks)
        # Workers may add fields that are not known here, so that entries can be longer.
        self.unexpected_bytes = max(0, size - constants.REPORT_HEADER_BYTES - entries)
        self.listed_bytes = entries + self.unexpected_bytes

    def used_with_unrecorded(self) -> Vector:
        """Returns what the attempts on record use, and all entries of the worker's report.

        Tasks that ended stay in the reports until the worker was told to forget them.
        """
        unrecorded = self.tasks.keys() - self.attempts.keys()
        entries = sum(report_entry_bytes(task) for task, _ in unrecorded)
        return (*self.used[:3], self.used[3] + entries + self.unexpected_bytes)

    def free(self, resources: Vector) -> Vector:
        """Returns what is free for tasks, as in `machine_demand`, on a machine of these resources.

        Placement, reservations and rental plans all count by this. An amount is negative if the
        attempts on record take more than the machine has.
        """
        return minus(machine_capacity(resources), self.used_with_unrecorded())

    def unlisted_attempts(self) -> tuple[list[Attempt], list[Attempt]]:
        """Divides the attempts that the newest report doesn't list by whether the next one can.

        Those of the first list fit into a report besides the tasks that are listed now. Those of
        the second don't, and must not be launched.
        """
        fitting: list[Attempt] = []
        excess: list[Attempt] = []
        bytes_left = REPORT_CAPACITY_BYTES - self.listed_bytes
        for key, attempt in self.attempts.items():
            if key in self.tasks:
                continue
            bytes_left -= report_entry_bytes(attempt.name)
            (fitting if bytes_left >= 0 else excess).append(attempt)
        return fitting, excess

    def unknown_tasks(self) -> list[TaskReport]:
        """Returns reported tasks that have not ended and are not on record for this machine."""
        if self.tasks.keys() <= self.attempts.keys():
            return []  # the usual case; called per machine in every round
        return [
            report
            for key, report in self.tasks.items()
            if report.status != "ended" and key not in self.attempts
        ]


class Fleet:
    """All machines known during one term; `lease_s` and `report_s` are in seconds."""

    def __init__(self, clock: Clock, token: int, lease_s: float, report_s: float) -> None:
        self._clock = clock
        self.token = token
        self.lease_s = lease_s
        self.report_s = report_s
        self.silent_s = (
            constants.SILENCE_REPORT_INTERVALS_RATIO * report_s + constants.SILENCE_SLACK_S
        )
        self.machines: dict[str, Machine] = {}
        # Machines proven gone, which old reports and lists must not bring back.
        self.gone = BoundedDict[str, None](constants.MAX_GONE_MACHINES)

    def get_or_add(self, name: str, hosttype: str, site: str, standby: bool) -> Machine:
        """Returns the machine of that name; adds it if it is unknown."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, hosttype, site, standby, self._clock.now())
            self.machines[name] = machine
        elif not machine.hosttype:
            machine.hosttype, machine.site, machine.standby = hosttype, site, standby
        return machine

    def attach_attempt(self, attempt: Attempt) -> None:
        """Adds an attempt to its machine, which may be known only from the attempt."""
        machine = self.get_or_add(attempt.machine, "", "", False)
        machine.attach(attempt)

    def accept_report(self, report: Report, size: int = 0) -> Machine | None:
        """Accepts a report of `size` bytes; None if it is outdated or the machine is gone."""
        if report.host in self.gone:
            return None
        machine = self.get_or_add(report.host, report.hosttype, report.site, report.standby)
        if not self._is_newer(report, machine):
            return None
        launched = {(entry.task, entry.number) for entry in report.tasks}
        now, lease_s = self._clock.now(), self.lease_s
        key = (report.tenure, report.seq)
        machine.response_tracker.on_report(key, report.baton >= self.token, launched, now, lease_s)
        machine.tenure, machine.seq, machine.token = report.tenure, report.seq, report.baton
        machine.reported_at = now
        machine.silent_since = None
        machine.capacity_misreported = False
        machine.has_termination_notice = (
            machine.has_termination_notice or report.warningS is not None
        )
        machine.note_report(report, size)
        return machine

    def _is_newer(self, report: Report, machine: Machine) -> bool:
        """Returns whether a report was written after all that were accepted from the machine.

        The numbers (tenure, seq) of a worker that was restarted begin anew, and a copy from before
        has higher ones. A worker's token never falls, so reports with this term's token come
        after those without, whatever their numbers are.
        """
        if self.has_seen_token(machine) != (report.baton >= self.token):
            return not self.has_seen_token(machine)
        return (report.tenure, report.seq) > (machine.tenure, machine.seq)

    def has_seen_token(self, machine: Machine) -> bool:
        """Returns whether its newest report carries this term's token.

        Then the report was written during this term, the machine has received a response, and it
        no longer executes orders of earlier leaders.
        """
        return machine.token == self.token

    def is_surely_of_this_term(self, machine: Machine) -> bool:
        """Returns whether no copy of an earlier term can pass for the machine's newest report.

        It can't if the machine has shown this term's token, or did not exist before the term. Else
        nothing is launched, so that a report that doesn't list a launched attempt was written by
        the worker that got the launch, or by one that was started after it. The answer to a report
        without the token tells the token, and the worker reports again at once.
        """
        return machine.rented_this_term or self.has_seen_token(machine)

    def may_launch(self, machine: Machine) -> bool:
        """Returns whether the answer to the machine's newest report may launch tasks."""
        lost = machine.releasing or machine.response_tracker.responses_lost
        return self.is_surely_of_this_term(machine) and not lost

    def is_surely_ended(self, machine: Machine, attempt: Attempt, cause: str) -> bool:
        """Returns whether an attempt that a report lists as ended can't be running any more.

        A completed attempt stays completed. Any other end holds only for the worker's session.
        If the report of it did not reach the last leader, that leader launched the attempt again
        in the next session under the same number, and a copy of the old report may arrive here
        before the reports of that session. Older sessions know nothing of attempts placed in this
        term.
        """
        return cause == "done" or bool(attempt.placed_at) or self.has_seen_token(machine)

    def is_surely_absent(self, machine: Machine, attempt: Attempt) -> bool:
        """Returns whether an attempt on record is proven absent from its machine.

        It is if the newest report carries this term's token, does not list the attempt, and was
        written after the response with its launch: a worker has only one report in flight, so
        it executed or dropped that response. A worker that has seen this term's token executes no
        launches of earlier leaders. A report without the token proves nothing about an attempt of
        an earlier term, as it may have been delayed since before the launch. For an attempt placed
        in this term the token is not needed, since no other leader launches it.
        """
        if (attempt.name, attempt.number) in machine.tasks:
            return False
        if not self.has_seen_token(machine) and not attempt.placed_at:
            return False
        return attempt.launch_report is None or attempt.launch_report < (
            machine.tenure,
            machine.seq,
        )

    def is_lease_over(self, machine: Machine) -> bool:
        """Returns whether the lease of a silent machine is proven to be over.

        This needs a machine that has seen this term's token: an earlier leader, unseen from
        here, may still renew the lease of any other.
        """
        return self.has_seen_token(machine) and self.is_own_lease_over(machine)

    def is_own_lease_over(self, machine: Machine) -> bool:
        """Returns whether the lease from this term's last response is over.

        Even if an earlier leader still renews the machine's lease, attempts placed in this
        term are absent then, as only responses of this term could launch them.
        """
        if machine.answered_at is None:
            return False
        lease = self.lease_s * (1 + constants.CLOCK_DRIFT_RATIO) + constants.WORKER_LEASE_MARGIN_S
        return self._clock.now() > machine.answered_at + lease

    def usable(self, machine: Machine) -> bool:
        """Returns whether tasks may be placed on the machine now.

        They may be even while it can still execute launches of an earlier leader: those attempts
        are on record with their resources, and new tasks run nowhere else. Only a proof of absence
        needs a report with this term's token.
        """
        heard = machine.reported_at is not None and not machine.capacity_misreported
        return heard and not self.is_unconfirmed(machine) and self.is_in_service(machine)

    def is_unconfirmed(self, machine: Machine) -> bool:
        """Returns whether the machine may be known only from late copies of its reports.

        A machine that was returned or withdrawn earlier is in no cloud list. Copies of its
        reports, of the first one too, would bring it back under a new leader, however many copies
        come. An existing machine is listed, was rented in this term, or carries this term's
        token in its next report half a second later.
        """
        return (
            machine.listed_at is None
            and not machine.rented_this_term
            and not self.has_seen_token(machine)
        )

    def is_in_service(self, machine: Machine) -> bool:
        """Returns whether a machine serves or will once booted: not leaving, failing or silent."""
        return (
            not machine.releasing
            and not machine.has_termination_notice
            and machine.failures < constants.MAX_MACHINE_FAILURES
            and not machine.response_tracker.responses_lost
            and (
                machine.reported_at is None
                or self._clock.now() - machine.reported_at < self.silent_s
            )
        )

    def launch_delay_s(self, machine: Machine) -> float:
        """Returns the seconds until the report whose response can carry a launch."""
        if machine.open_reports or machine.reported_at is None:
            return 0.0
        return max(0.0, self.report_s - (self._clock.now() - machine.reported_at))

    def remove_machine(self, machine: Machine) -> list[Attempt]:
        """Removes a machine that is proven gone and returns its attempts."""
        self.gone[machine.name] = None
        self.machines.pop(machine.name, None)
        lost = list(machine.attempts.values())
        machine.attempts.clear()  # a response being prepared must launch nothing
        return lost


def count_tasks_by_zone(job: Job, fleet: Fleet) -> dict[str, int]:
    """Returns how many tasks of a job may be present in each zone; "": where that is unknown."""
    counts: dict[str, int] = {}
    for attempt in job.live.values():
        machine = fleet.machines.get(attempt.machine)
        zone = machine.site if machine else ""
        counts[zone] = counts.get(zone, 0) + 1
    return counts
