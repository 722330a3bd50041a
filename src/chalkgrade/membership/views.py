"""A view of each other controller, from evidence by kind.

Suspicion before verdict: what silence can show is suspicion only, and only while this
controller itself runs on time. Failed is who has lost a lease; nobody can be wrong
about that.
"""

import logging
from collections.abc import Callable

import msgspec

from chalkgrade import constants
from chalkgrade.membership.words import Incarnation, Word
from chalkgrade.outside import Clock

log = logging.getLogger("chalkgrade.membership")

ALIVE, SUSPECT, FAILED, LEFT = "alive", "suspect", "failed", "left"
STATES = (ALIVE, SUSPECT, FAILED, LEFT)
NEVER = -1e9  # s; before any clock of ours began


class View(msgspec.Struct):
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
    word: Word | None = None  # its last
    process: str = ""
    past: list[str] = []  # earlier processes of it, the last ones
    incarnation: Incarnation = (0, 0)
    seq: int = 0
    doubted_by: dict[str, Incarnation] = {}  # others that say that they suspect it

    @property
    def sign_at(self) -> float:
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
        self.me = me
        self.clock = clock
        self.skew_s = skew_s  # bound on the difference of two times of day
        self.of = {member: View() for member in others}
        self.changed = changed
        self.process = ""  # of this start
        self.stamp = 0  # revision of our own key
        self.refutes = 0
        self.seq = 0
        self.fresh_from = clock.now()  # silence before this proves nothing
        self.lates: list[tuple[float, float]] = []  # when and how late our loop ran
        self.counts: dict[str, int] = {}  # of what happened, for /metrics
        self.dropped_told_at = NEVER
        self.dropped: dict[str, int] = {}  # messages since that line

    # -- ourselves --------------------------------------------------------------------

    @property
    def incarnation(self) -> Incarnation:
        return (self.stamp, self.refutes)

    def ran(self, late_s: float) -> None:
        """Our loop runs, so late. Who stood still judges nobody by the time meanwhile."""
        now = self.clock.now()
        if late_s > constants.LATE_S:
            self.fresh_from = now
        self.lates = [row for row in self.lates if now - row[0] < constants.LATE_KEPT_S]
        if late_s > 0.01:
            self.lates.append((now, late_s))

    def late_s(self) -> float:
        """How late our loop ran of late, at worst; s.

        A standstill is none: it outlasts any lease, and says nothing of the next seconds.
        """
        short = (late for _, late in self.lates if late < constants.LEASE_TTL_S)
        return max(short, default=0.0)

    # -- evidence ---------------------------------------------------------------------

    def take(self, word: Word, answer: bool) -> bool:
        """A word came, as an answer to a question just asked or by itself.

        False for what is dropped: of a stranger, of ourselves, of an older process or
        incarnation, or said before what we have heard already.
        """
        view = self.of.get(word.member)
        if view is None:
            return self.drop("stranger")
        now = self.clock.now()
        old = not answer and self.clock.wall() - word.at > constants.WORD_OLD_S + self.skew_s
        if word.process != view.process:
            if view.process and not self._succeeds(view, word, answer):
                return self.drop("stale")
            if old:  # before it changes anything: a held word brought an ended process back
                return self.drop("old")
            if view.process:
                view.past = [*view.past[-constants.PAST_KEPT :], view.process]
            view.process, view.seq = word.process, 0
            view.incarnation = word.incarnation
            view.doubted_by.clear()
        elif answer and word.seq <= view.seq:
            # Two words of it crossed on their way: it lives, and we know better already.
            view.answered_at = now
            self._judge(word.member, now)
            return False
        elif word.incarnation < view.incarnation or word.seq <= view.seq:
            if abs(self.clock.wall() - word.at) > constants.WORD_OLD_S + self.skew_s:
                return self.drop("stale")
            self._count("overtaken")
            return False
        if old:
            return self.drop("old")  # held in the network: its sender may be long gone
        view.word, view.seq, view.incarnation = word, word.seq, word.incarnation
        if answer:
            view.answered_at = now
        else:
            view.spoke_at = now
        self._refuted(view)
        for member, incarnation in word.suspects.items():
            if member == self.me:
                if incarnation >= self.incarnation:
                    self.refutes = max(self.refutes, incarnation[1]) + 1
                    self._count("refutes")
            elif member in self.of and incarnation >= self.of[member].incarnation:
                self.of[member].doubted_by[word.member] = incarnation
        for member, other in self.of.items():
            if member not in word.suspects:
                other.doubted_by.pop(word.member, None)
        self._judge(word.member, now)
        return True

    def _succeeds(self, view: View, word: Word, answer: bool) -> bool:
        """Whether a word is of a later start of a controller than the one that we know.

        Its key says so, or that it answers just now; without a key (back within an outage)
        its own words count once the one that we know is silent. One that was followed by
        another is believed only then: its last words come after its successor's first.
        """
        silent = self.clock.now() - view.sign_at > constants.SUSPECT_S
        if word.process in view.past:
            return silent
        unregistered = word.incarnation[0] == 0 and (answer or silent)
        return word.incarnation > view.incarnation or unregistered

    def _refuted(self, view: View) -> None:
        """Suspicions of earlier incarnations are over."""
        for doubter, incarnation in list(view.doubted_by.items()):
            if incarnation < view.incarnation:
                del view.doubted_by[doubter]

    def silent(self, member: str) -> None:
        """Our question was not answered in time, or its link is refused or cut."""
        view, now = self.of[member], self.clock.now()
        if view.unanswered_at <= view.sign_at:
            view.unanswered_at = now

    def vouched(self, member: str, word: Word | None, reached: bool) -> None:
        """Another controller was asked on our behalf."""
        view, now = self.of[member], self.clock.now()
        if reached:
            view.vouched_at = now
            if word is not None and word.member == member:
                self.take(word, answer=False)
        else:
            view.unreached_at = now
        self._judge(member, now)

    def returned(self, member: str) -> None:
        """A worker came back from it: kept apart, since its link may be what is cut."""
        if member in self.of:
            self.of[member].returned_at = self.clock.now()

    def lease(self, member: str, what: str) -> None:
        """Its own key was seen in the state service: held, ended or left."""
        view = self.of.get(member)
        if view is not None:
            view.lease, view.lease_at = what, self.clock.now()
            self._judge(member, view.lease_at)

    # -- judging ----------------------------------------------------------------------

    def judge(self) -> None:
        """Look at all of them; to be called whenever our loop runs."""
        now = self.clock.now()
        for member in self.of:
            self._judge(member, now)

    def _judge(self, member: str, now: float) -> None:
        view = self.of[member]
        state = self._state(view, now)
        if state == view.state:
            return
        old, view.state = view.state, state
        self._count(state)
        if old == SUSPECT and state == ALIVE:
            self._count("refuted")
        self.changed(member, old, state)

    def _state(self, view: View, now: float) -> str:
        if now - view.sign_at <= constants.SUSPECT_S:
            return ALIVE  # also if the state service has forgotten it
        if view.lease in ("ended", "left") and view.lease_at > view.sign_at:
            return LEFT if view.lease == "left" else FAILED
        if view.state == SUSPECT:
            return SUSPECT  # until it gives a sign
        return SUSPECT if self._doubtful(view, now) else ALIVE

    def _doubtful(self, view: View, now: float) -> bool:
        """Whether its silence is evidence: asked for long enough while we ran on time."""
        asked = view.unanswered_at > max(view.sign_at, self.fresh_from)
        if not asked or now - max(view.sign_at, self.fresh_from) <= constants.SUSPECT_S:
            return False
        helpers = any(other.state == ALIVE and other is not view for other in self.of.values())
        return not helpers or view.unreached_at >= view.unanswered_at

    def to_probe(self) -> list[str]:
        """Whom others should be asked about: silent to us for a while."""
        now = self.clock.now()
        return [
            member
            for member, view in self.of.items()
            if view.state == ALIVE
            and view.unanswered_at > max(view.sign_at, self.fresh_from)
            and now - view.unanswered_at >= constants.PROBE_S
            and view.unreached_at < view.unanswered_at
        ]

    # -- what others ask --------------------------------------------------------------

    def sign_at(self, member: str) -> float:
        """When a controller last gave a sign of life; long ago for a stranger."""
        return self.of[member].sign_at if member in self.of else NEVER

    def state(self, member: str) -> str:
        return self.of[member].state if member in self.of else FAILED

    def trusted(self, member: str) -> bool:
        """Whether it is worth sending somebody there."""
        view = self.of.get(member)
        fresh = view is not None and self.clock.now() - view.sign_at < constants.PEER_FRESH_S
        return view is not None and fresh and view.state == ALIVE

    def fresh(self) -> list[Word]:
        """The last words of those that gave a sign lately."""
        now = self.clock.now()
        return [
            view.word
            for view in self.of.values()
            if view.word is not None and now - view.sign_at < constants.PEER_FRESH_S
        ]

    def suspects(self) -> dict[str, Incarnation]:
        """Whom we suspect, for our word."""
        return {m: v.incarnation for m, v in self.of.items() if v.state == SUSPECT}

    def next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def drop(self, why: str) -> bool:
        """A message is not taken in: counted, and told once a minute at most. Always False."""
        self._count(f"dropped {why}")
        self.dropped[why] = self.dropped.get(why, 0) + 1
        now = self.clock.now()
        if now - self.dropped_told_at >= constants.DROPPED_TELL_S:
            self.dropped_told_at = now
            log.warning("messages of controllers dropped: %s", self.dropped)
            self.dropped = {}
        return False
