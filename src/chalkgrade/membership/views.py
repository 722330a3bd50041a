"""The state of each other controller, derived from separate kinds of evidence.

Silence can only make a controller suspected, and only while this controller itself runs on
time. A controller counts as failed only when its lease has ended, which cannot be a false
verdict.
"""

import logging
from collections.abc import Callable

import msgspec

from chalkgrade import constants
from chalkgrade.membership.messages import Incarnation, MemberStatus
from chalkgrade.outside import Clock

log = logging.getLogger("chalkgrade.membership")

ALIVE, SUSPECT, FAILED, LEFT = "alive", "suspect", "failed", "left"
STATES = (ALIVE, SUSPECT, FAILED, LEFT)
NEVER = -1e9  # s; earlier than any time on the clock of this process


class MemberView(msgspec.Struct):
    """The evidence on one controller by kind; times are of this controller's clock, s."""

    state: str = ALIVE
    answered_at: float = NEVER  # it answered a request of this controller
    spoke_at: float = NEVER  # it sent a status that was not outdated by its wall time
    vouched_at: float = NEVER  # another controller had just received an answer from it
    unanswered_at: float = NEVER  # first request without an answer since all of these
    unreached_at: float = NEVER  # other controllers, asked after that, did not reach it
    returned_at: float = NEVER  # a worker returned to this controller from it
    lease: str = ""  # lease of its own key: "", held, ended, left
    lease_at: float = NEVER
    word: MemberStatus | None = None  # its latest status
    process: str = ""
    past: list[str] = []  # ids of its most recent earlier processes
    incarnation: Incarnation = (0, 0)
    seq: int = 0
    doubted_by: dict[str, Incarnation] = {}  # controllers that report that they suspect it

    @property
    def last_contact_at(self) -> float:
        """When there was last evidence that it is alive, direct or through others."""
        return max(self.answered_at, self.spoke_at, self.vouched_at)


class Views:
    """What one controller knows of the others, and its own incarnation."""

    def __init__(
        self,
        own_member: str,
        others: list[str],
        clock: Clock,
        max_clock_skew_s: float = 0.0,
        changed: Callable[[str, str, str], None] = lambda member, old, new: None,
    ) -> None:
        self.own_member = own_member
        self.clock = clock
        self.max_clock_skew_s = max_clock_skew_s  # bound on the difference of two wall clocks, s
        self.by_member = {member: MemberView() for member in others}
        self.changed = changed
        self.own_process = ""  # id of this process
        self.stamp = 0  # revision of its own key in the state service
        self.refutation_count = 0
        self.last_seq = 0
        self.evidence_valid_from = clock.now()  # silence before this is no evidence, s
        self.loop_delays: list[
            tuple[float, float]
        ] = []  # (time, delay) of recent late loop runs, s
        self.event_counts: dict[str, int] = {}  # number of events by kind, for /metrics
        self.drops_logged_at = NEVER
        self.unlogged_drops: dict[
            str, int
        ] = {}  # dropped messages by reason since the last log line

    # -- this controller --------------------------------------------------------------

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of this controller."""
        return (self.stamp, self.refutation_count)

    def record_loop_delay(self, late_s: float) -> None:
        """Record a delay of the own loop; after a long one earlier silence is no evidence."""
        now = self.clock.now()
        if late_s > constants.LOOP_DELAY_THRESHOLD_S:
            self.evidence_valid_from = now
        self.loop_delays = [
            row for row in self.loop_delays if now - row[0] < constants.LOOP_DELAY_RETENTION_S
        ]
        if late_s > 0.01:
            self.loop_delays.append((now, late_s))

    def max_loop_delay_s(self) -> float:
        """The longest recent delay of the own loop, s.

        A full stop of the process does not count: it outlasts any lease, and does not predict
        delays in the next seconds.
        """
        short = (late for _, late in self.loop_delays if late < constants.MAX_LEADER_LEASE_S)
        return max(short, default=0.0)

    # -- evidence ---------------------------------------------------------------------

    def accept_status(self, status: MemberStatus, answer: bool) -> bool:
        """Process a status, which is the answer to a recent request or came unasked.

        Returns False if it is dropped: from an unknown controller or this one, from an older
        process or incarnation, or sent before one that has been processed already.
        """
        view = self.by_member.get(status.member)
        if view is None:
            return self.drop_message("stranger")
        now = self.clock.now()
        is_outdated = (
            not answer
            and self.clock.wall() - status.at > constants.MAX_STATUS_AGE_S + self.max_clock_skew_s
        )
        if status.process != view.process:
            if view.process and not self._is_newer_process(view, status, answer):
                return self.drop_message("stale")
            if is_outdated:  # checked first: a delayed status must not revive an ended process
                return self.drop_message("old")
            if view.process:
                view.past = [*view.past[-constants.MAX_PREVIOUS_PROCESSES :], view.process]
            view.process, view.seq = status.process, 0
            view.incarnation = status.incarnation
            view.doubted_by.clear()
        elif answer and status.seq <= view.seq:
            # Two messages overtook each other: it is alive, but this status is outdated.
            view.answered_at = now
            self._update_state(status.member, now)
            return False
        elif status.incarnation < view.incarnation or status.seq <= view.seq:
            if (
                abs(self.clock.wall() - status.at)
                > constants.MAX_STATUS_AGE_S + self.max_clock_skew_s
            ):
                return self.drop_message("stale")
            self._count("overtaken")
            return False
        if is_outdated:  # delayed in the network: its sender may have ended since
            return self.drop_message("old")
        view.word, view.seq, view.incarnation = status, status.seq, status.incarnation
        if answer:
            view.answered_at = now
        else:
            view.spoke_at = now
        self._drop_outdated_suspicions(view)
        for member, incarnation in status.suspects.items():
            if member == self.own_member:
                if incarnation >= self.incarnation:
                    self.refutation_count = max(self.refutation_count, incarnation[1]) + 1
                    self._count("refutes")
            elif member in self.by_member and incarnation >= self.by_member[member].incarnation:
                self.by_member[member].doubted_by[status.member] = incarnation
        for member, other in self.by_member.items():
            if member not in status.suspects:
                other.doubted_by.pop(status.member, None)
        self._update_state(status.member, now)
        return True

    def _is_newer_process(self, view: MemberView, status: MemberStatus, answer: bool) -> bool:
        """Whether a status comes from a newer process of a controller than the known one.

        A higher incarnation shows this, and so does a current answer from a process without a
        key (one that was restarted within an outage of the state service). An unasked status of
        such a process counts once the known process is silent. A process that was already
        replaced is accepted only then, since its last messages may arrive after the first ones
        of its successor.
        """
        silent = self.clock.now() - view.last_contact_at > constants.SUSPICION_TIMEOUT_S
        if status.process in view.past:
            return silent
        unregistered = status.incarnation[0] == 0 and (answer or silent)
        return status.incarnation > view.incarnation or unregistered

    def _drop_outdated_suspicions(self, view: MemberView) -> None:
        """Remove suspicions that concern earlier incarnations."""
        for suspector, incarnation in list(view.doubted_by.items()):
            if incarnation < view.incarnation:
                del view.doubted_by[suspector]

    def record_no_answer(self, member: str) -> None:
        """Record a request without an answer in time, or a connection that failed."""
        view, now = self.by_member[member], self.clock.now()
        if view.unanswered_at <= view.last_contact_at:
            view.unanswered_at = now

    def record_indirect_probe(
        self, member: str, status: MemberStatus | None, reached: bool
    ) -> None:
        """Record the result of a probe by another controller on behalf of this one."""
        view, now = self.by_member[member], self.clock.now()
        if reached:
            view.vouched_at = now
            if status is not None and status.member == member:
                self.accept_status(status, answer=False)
        else:
            view.unreached_at = now
        self._update_state(member, now)

    def record_worker_return(self, member: str) -> None:
        """Record that a worker returned from it.

        This is separate evidence, since only the link of that worker may be down.
        """
        if member in self.by_member:
            self.by_member[member].returned_at = self.clock.now()

    def record_lease(self, member: str, lease_state: str) -> None:
        """Record the state of its key in the state service: held, ended or left."""
        view = self.by_member.get(member)
        if view is not None:
            view.lease, view.lease_at = lease_state, self.clock.now()
            self._update_state(member, view.lease_at)

    # -- state of each controller ------------------------------------------------------

    def update_states(self) -> None:
        """Update the state of all controllers; to be called in each run of the own loop."""
        now = self.clock.now()
        for member in self.by_member:
            self._update_state(member, now)

    def _update_state(self, member: str, now: float) -> None:
        view = self.by_member[member]
        state = self._evaluate_state(view, now)
        if state == view.state:
            return
        old, view.state = view.state, state
        self._count(state)
        if old == SUSPECT and state == ALIVE:
            self._count("refuted")
        self.changed(member, old, state)

    def _evaluate_state(self, view: MemberView, now: float) -> str:
        if now - view.last_contact_at <= constants.SUSPICION_TIMEOUT_S:
            return ALIVE  # even if its lease has ended
        if view.lease in ("ended", "left") and view.lease_at > view.last_contact_at:
            return LEFT if view.lease == "left" else FAILED
        if view.state == SUSPECT:
            return SUSPECT  # until there is evidence that it is alive
        return SUSPECT if self._is_silence_evidence(view, now) else ALIVE

    def _is_silence_evidence(self, view: MemberView, now: float) -> bool:
        """Whether its silence is evidence that it has failed.

        It is if the silence lasts long enough after a request, while this loop ran on time, and
        no other controller has reached it either.
        """
        asked = view.unanswered_at > max(view.last_contact_at, self.evidence_valid_from)
        if (
            not asked
            or now - max(view.last_contact_at, self.evidence_valid_from)
            <= constants.SUSPICION_TIMEOUT_S
        ):
            return False
        helpers = any(
            other.state == ALIVE and other is not view for other in self.by_member.values()
        )
        return not helpers or view.unreached_at >= view.unanswered_at

    def members_to_probe(self) -> list[str]:
        """Controllers that have not answered for a while and that others should probe."""
        now = self.clock.now()
        return [
            member
            for member, view in self.by_member.items()
            if view.state == ALIVE
            and view.unanswered_at > max(view.last_contact_at, self.evidence_valid_from)
            and now - view.unanswered_at >= constants.INDIRECT_PROBE_DELAY_S
            and view.unreached_at < view.unanswered_at
        ]

    # -- queries --------------------------------------------------------------

    def last_contact_at(self, member: str) -> float:
        """When there was last evidence that a controller is alive; NEVER if it is unknown."""
        return self.by_member[member].last_contact_at if member in self.by_member else NEVER

    def state_of(self, member: str) -> str:
        """State of a controller; FAILED if it is unknown."""
        return self.by_member[member].state if member in self.by_member else FAILED

    def is_reachable(self, member: str) -> bool:
        """Whether requests can be sent there with good prospect: alive on recent evidence."""
        view = self.by_member.get(member)
        fresh = (
            view is not None
            and self.clock.now() - view.last_contact_at < constants.MAX_PEER_STATUS_AGE_S
        )
        return view is not None and fresh and view.state == ALIVE

    def recent_statuses(self) -> list[MemberStatus]:
        """The latest status of each controller with recent evidence that it is alive."""
        now = self.clock.now()
        return [
            view.word
            for view in self.by_member.values()
            if view.word is not None
            and now - view.last_contact_at < constants.MAX_PEER_STATUS_AGE_S
        ]

    def suspected_members(self) -> dict[str, Incarnation]:
        """Suspected controllers with their incarnations, for the own status."""
        return {m: v.incarnation for m, v in self.by_member.items() if v.state == SUSPECT}

    def next_seq(self) -> int:
        """The sequence number of the next own status."""
        self.last_seq += 1
        return self.last_seq

    def _count(self, event: str) -> None:
        self.event_counts[event] = self.event_counts.get(event, 0) + 1

    def drop_message(self, reason: str) -> bool:
        """Count a dropped message, and log the counts once a minute at most. Returns False."""
        self._count(f"dropped {reason}")
        self.unlogged_drops[reason] = self.unlogged_drops.get(reason, 0) + 1
        now = self.clock.now()
        if now - self.drops_logged_at >= constants.DROPPED_MESSAGES_LOG_INTERVAL_S:
            self.drops_logged_at = now
            log.warning("dropped messages of controllers: %s", self.unlogged_drops)
            self.unlogged_drops = {}
        return False
