"""A view of each other controller, from evidence by kind.

Suspicion before verdict: what silence can show is suspicion only, and only while this
controller itself runs on time. Failed is who has lost a lease; nobody can be wrong
about that.
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
NEVER = -1e9  # s; before any clock of ours began


class MemberView(msgspec.Struct):
    """What is known of one controller, each kind of evidence for itself; times are ours."""

    state: str = ALIVE
    answered_at: float = NEVER  # it answered a question of ours
    spoke_at: float = NEVER  # a word of its own, not old by its time of day, reached us
    vouched_at: float = NEVER  # another controller had an answer of it just then
    unanswered_at: float = NEVER  # our first question without an answer since all these
    unreached_at: float = NEVER  # others, asked after that, did not reach it either
    returned_at: float = NEVER  # a worker came back from it
    lease: str = ""  # of its own key: "", held, ended, left
    lease_at: float = NEVER
    word: MemberStatus | None = None  # its last
    process: str = ""
    past: list[str] = []  # earlier processes of it, the last ones
    incarnation: Incarnation = (0, 0)
    seq: int = 0
    doubted_by: dict[str, Incarnation] = {}  # others that say that they suspect it

    @property
    def last_contact_at(self) -> float:
        """When it last gave a sign of life, by whatever way."""
        return max(self.answered_at, self.spoke_at, self.vouched_at)


class Views:
    """What one controller knows of the others, and what they should know of it."""

    def __init__(
        self,
        me: str,
        others: list[str],
        clock: Clock,
        skew_s: float = 0.0,
        changed: Callable[[str, str, str], None] = lambda member, old, new: None,
    ) -> None:
        self.own_member = me
        self.clock = clock
        self.max_clock_skew_s = skew_s  # bound on the difference of two times of day
        self.by_member = {member: MemberView() for member in others}
        self.changed = changed
        self.own_process = ""  # of this start
        self.stamp = 0  # revision of our own key
        self.refutation_count = 0
        self.last_seq = 0
        self.evidence_valid_from = clock.now()  # silence before this proves nothing
        self.loop_delays: list[tuple[float, float]] = []  # when and how late our loop ran
        self.event_counts: dict[str, int] = {}  # of what happened, for /metrics
        self.drops_logged_at = NEVER
        self.unlogged_drops: dict[str, int] = {}  # messages since that line

    # -- ourselves --------------------------------------------------------------------

    @property
    def incarnation(self) -> Incarnation:
        return (self.stamp, self.refutation_count)

    def record_loop_delay(self, late_s: float) -> None:
        """Our loop runs, so late. Who stood still judges nobody by the time meanwhile."""
        now = self.clock.now()
        if late_s > constants.LATE_S:
            self.evidence_valid_from = now
        self.loop_delays = [row for row in self.loop_delays if now - row[0] < constants.LATE_KEPT_S]
        if late_s > 0.01:
            self.loop_delays.append((now, late_s))

    def max_loop_delay_s(self) -> float:
        """How late our loop ran of late, at worst; s.

        A standstill is none: it outlasts any lease, and says nothing of the next seconds.
        """
        short = (late for _, late in self.loop_delays if late < constants.LEASE_TTL_S)
        return max(short, default=0.0)

    # -- evidence ---------------------------------------------------------------------

    def accept_status(self, word: MemberStatus, answer: bool) -> bool:
        """A word came, as an answer to a question just asked or by itself.

        False for what is dropped: of a stranger, of ourselves, of an older process or
        incarnation, or said before what we have heard already.
        """
        view = self.by_member.get(word.member)
        if view is None:
            return self.drop_message("stranger")
        now = self.clock.now()
        old = (
            not answer
            and self.clock.wall() - word.at > constants.WORD_OLD_S + self.max_clock_skew_s
        )
        if word.process != view.process:
            if view.process and not self._is_newer_process(view, word, answer):
                return self.drop_message("stale")
            if old:  # before it changes anything: a held word brought an ended process back
                return self.drop_message("old")
            if view.process:
                view.past = [*view.past[-constants.PAST_KEPT :], view.process]
            view.process, view.seq = word.process, 0
            view.incarnation = word.incarnation
            view.doubted_by.clear()
        elif answer and word.seq <= view.seq:
            # Two words of it crossed on their way: it lives, and we know better already.
            view.answered_at = now
            self._update_state(word.member, now)
            return False
        elif word.incarnation < view.incarnation or word.seq <= view.seq:
            if abs(self.clock.wall() - word.at) > constants.WORD_OLD_S + self.max_clock_skew_s:
                return self.drop_message("stale")
            self._count("overtaken")
            return False
        if old:
            return self.drop_message("old")  # held in the network: its sender may be long gone
        view.word, view.seq, view.incarnation = word, word.seq, word.incarnation
        if answer:
            view.answered_at = now
        else:
            view.spoke_at = now
        self._drop_outdated_suspicions(view)
        for member, incarnation in word.suspects.items():
            if member == self.own_member:
                if incarnation >= self.incarnation:
                    self.refutation_count = max(self.refutation_count, incarnation[1]) + 1
                    self._count("refutes")
            elif member in self.by_member and incarnation >= self.by_member[member].incarnation:
                self.by_member[member].doubted_by[word.member] = incarnation
        for member, other in self.by_member.items():
            if member not in word.suspects:
                other.doubted_by.pop(word.member, None)
        self._update_state(word.member, now)
        return True

    def _is_newer_process(self, view: MemberView, word: MemberStatus, answer: bool) -> bool:
        """Whether a word is of a later start of a controller than the one that we know.

        Its key says so, or that it answers just now; without a key (back within an outage)
        its own words count once the one that we know is silent. One that was followed by
        another is believed only then: its last words come after its successor's first.
        """
        silent = self.clock.now() - view.last_contact_at > constants.SUSPECT_S
        if word.process in view.past:
            return silent
        unregistered = word.incarnation[0] == 0 and (answer or silent)
        return word.incarnation > view.incarnation or unregistered

    def _drop_outdated_suspicions(self, view: MemberView) -> None:
        """Suspicions of earlier incarnations are over."""
        for doubter, incarnation in list(view.doubted_by.items()):
            if incarnation < view.incarnation:
                del view.doubted_by[doubter]

    def record_no_answer(self, member: str) -> None:
        """Our question was not answered in time, or its link is refused or cut."""
        view, now = self.by_member[member], self.clock.now()
        if view.unanswered_at <= view.last_contact_at:
            view.unanswered_at = now

    def record_indirect_probe(self, member: str, word: MemberStatus | None, reached: bool) -> None:
        """Another controller was asked on our behalf."""
        view, now = self.by_member[member], self.clock.now()
        if reached:
            view.vouched_at = now
            if word is not None and word.member == member:
                self.accept_status(word, answer=False)
        else:
            view.unreached_at = now
        self._update_state(member, now)

    def record_worker_return(self, member: str) -> None:
        """A worker came back from it: kept apart, since its link may be what is cut."""
        if member in self.by_member:
            self.by_member[member].returned_at = self.clock.now()

    def record_lease(self, member: str, what: str) -> None:
        """Its own key was seen in the state service: held, ended or left."""
        view = self.by_member.get(member)
        if view is not None:
            view.lease, view.lease_at = what, self.clock.now()
            self._update_state(member, view.lease_at)

    # -- judging ----------------------------------------------------------------------

    def update_states(self) -> None:
        """Look at all of them; to be called whenever our loop runs."""
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
        if now - view.last_contact_at <= constants.SUSPECT_S:
            return ALIVE  # also if the state service has forgotten it
        if view.lease in ("ended", "left") and view.lease_at > view.last_contact_at:
            return LEFT if view.lease == "left" else FAILED
        if view.state == SUSPECT:
            return SUSPECT  # until it gives a sign
        return SUSPECT if self._is_silence_evidence(view, now) else ALIVE

    def _is_silence_evidence(self, view: MemberView, now: float) -> bool:
        """Whether its silence is evidence: asked for long enough while we ran on time."""
        asked = view.unanswered_at > max(view.last_contact_at, self.evidence_valid_from)
        if (
            not asked
            or now - max(view.last_contact_at, self.evidence_valid_from) <= constants.SUSPECT_S
        ):
            return False
        helpers = any(
            other.state == ALIVE and other is not view for other in self.by_member.values()
        )
        return not helpers or view.unreached_at >= view.unanswered_at

    def members_to_probe(self) -> list[str]:
        """Whom others should be asked about: silent to us for a while."""
        now = self.clock.now()
        return [
            member
            for member, view in self.by_member.items()
            if view.state == ALIVE
            and view.unanswered_at > max(view.last_contact_at, self.evidence_valid_from)
            and now - view.unanswered_at >= constants.PROBE_S
            and view.unreached_at < view.unanswered_at
        ]

    # -- what others ask --------------------------------------------------------------

    def last_contact_at(self, member: str) -> float:
        """When a controller last gave a sign of life; long ago for a stranger."""
        return self.by_member[member].last_contact_at if member in self.by_member else NEVER

    def state_of(self, member: str) -> str:
        return self.by_member[member].state if member in self.by_member else FAILED

    def is_reachable(self, member: str) -> bool:
        """Whether it is worth sending somebody there."""
        view = self.by_member.get(member)
        fresh = (
            view is not None and self.clock.now() - view.last_contact_at < constants.PEER_FRESH_S
        )
        return view is not None and fresh and view.state == ALIVE

    def recent_statuses(self) -> list[MemberStatus]:
        """The last words of those that gave a sign lately."""
        now = self.clock.now()
        return [
            view.word
            for view in self.by_member.values()
            if view.word is not None and now - view.last_contact_at < constants.PEER_FRESH_S
        ]

    def suspected_members(self) -> dict[str, Incarnation]:
        """Whom we suspect, for our word."""
        return {m: v.incarnation for m, v in self.by_member.items() if v.state == SUSPECT}

    def next_seq(self) -> int:
        self.last_seq += 1
        return self.last_seq

    def _count(self, what: str) -> None:
        self.event_counts[what] = self.event_counts.get(what, 0) + 1

    def drop_message(self, why: str) -> bool:
        """A message is not taken in: counted, and told once a minute at most. Always False."""
        self._count(f"dropped {why}")
        self.unlogged_drops[why] = self.unlogged_drops.get(why, 0) + 1
        now = self.clock.now()
        if now - self.drops_logged_at >= constants.DROPPED_TELL_S:
            self.drops_logged_at = now
            log.warning("messages of controllers dropped: %s", self.unlogged_drops)
            self.unlogged_drops = {}
        return False
