"""A model of a cancellation that the old leader does not learn of, explored exhaustively.

The model has a worker with one task, an old and a new leader, a user, the state service, and
messages that are lost, delayed or answered late. Times are ticks relative to now, so that the
number of states is finite and runs of any length are covered. Whether a leader may act or renew
the worker is decided by the program's own `LeaseExpiry`.
"""

from collections.abc import Iterator
from typing import NamedTuple

from chalkgrade.region.loop import ManualClock
from chalkgrade.state.lease_expiry import LeaseExpiry

# All in ticks; the last one stands for `worker_grace_s`.
LEADER_LEASE, WORKER_LEASE, WORKER_GRACE = 2, 2, 1
CLOCK_LAG = 1  # ticks by which the worker's clock may lag
CANCEL_LIMIT = 3  # ticks; the smallest bound that holds, so that any lost tick is found
REQUEST_TIMEOUT = 1  # ticks, after which a renewal or a report is abandoned
MAX_ANSWER_AGE = 2  # ticks; larger ages make no difference to any rule

UP, REFUSES, DOWN = "up", "refuses the old leader", "down"


class State(NamedTuple):
    """A state of the model; times are in ticks relative to now."""

    service: str = UP
    key_holder: int = 1  # holder of the leader key: 1 old leader, 2 new leader, 0 nobody
    lease_left: int = LEADER_LEASE  # rest of the lease of the leader key
    # `cancellations_known_until` of both leaders; None: it does not lead.
    old_known_until: float | None = 1.598
    new_known_until: float | None = None
    new_has_led: bool = False  # the new leader has led once
    renewal: tuple[int, bool] | None = None  # renewal of the old leader: age, executed
    old_valid_until: float = 1.598  # `lease_valid_until` of the old leader
    # Question of the old leader to all others: age, whether they list the cancellation.
    peer_question: tuple[int, bool] | None = None
    cancel_requested: bool = False  # the old leader was asked to cancel the job
    commit_sent: bool = False  # it sent the commit while it might act
    durable: bool = False  # the cancellation is in the state service
    old_knows: bool = False  # the old leader knows of the cancellation
    new_knows: bool = False
    since_told: int | None = None  # ticks since a user was told of the cancellation
    worker_lease: int = WORKER_LEASE + CLOCK_LAG  # rest of the lease of the worker
    worker_token: int = 1  # highest token that the worker has seen
    report: tuple[int, int, str] | None = None  # receiver, age, answer on its way
    since_answered: int = MAX_ANSWER_AGE  # ticks since the worker was last answered


class Rules:
    """The rules that the program follows; each bug overrides one of them."""

    grace = WORKER_GRACE

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)

    def lease_expiry(self, known: float) -> LeaseExpiry:
        """The program's own class, with both of its times set to `known`."""
        expiry = LeaseExpiry(self.clock, self.grace)
        expiry.lease_valid_until = expiry.cancellations_known_until = known
        return expiry

    def may_act(self, known: float | None) -> bool:
        """Whether a leader with this valid time may act; None: it does not lead."""
        return known is not None and self.lease_expiry(known).is_valid()

    def renews_worker(self, known: float | None, answered: int) -> bool:
        """Whether a leader answers the worker, last answered `answered` ticks ago."""
        return known is not None and self.lease_expiry(known).has_worker_grace()

    def after_renewal(self, known: float, age: int) -> float:
        """The new time after a renewal sent `age` ticks ago was executed and is answered now."""
        expiry = self.lease_expiry(known)
        expiry.record_renewal(-age, LEADER_LEASE)
        return round(expiry.cancellations_known_until, 3)

    def after_peer_lists(self, known: float, age: int) -> float:
        """The new time after all others, asked `age` ticks ago, listed what they told users."""
        expiry = self.lease_expiry(known)
        expiry.record_peer_lists(-age)
        return round(expiry.cancellations_known_until, 3)

    def is_listed(self, state: State) -> bool:
        """Whether the cancellation is in one of the lists of the others."""
        return state.since_told is not None

    def after_refusal(self, known: float) -> float:
        """The new time after the service refused a renewal."""
        return known

    def known_when_requested(self) -> bool:
        """Whether a cancellation counts as known from when it is requested."""
        return True

    def tells_user(self, state: State) -> bool:
        """Whether the old leader confirms the cancellation to its user."""
        return state.durable

    def on_higher_token(self, state: State) -> State:
        """The state after the old leader gets a report of a worker that has seen a higher token."""
        return state._replace(old_known_until=None)

    def worker_accepts(self, state: State, whose: int) -> bool:
        """Whether the worker accepts an answer; a rule of the worker, not of the program."""
        return whose >= state.worker_token


def _tick(s: State) -> State | None:
    """One tick passes; None if the task has ended, after which nothing can go wrong."""
    if s.worker_lease == 0:
        return None
    key, left = s.key_holder, s.lease_left
    if s.service != DOWN:
        key, left = (0, 0) if left == 0 else (key, left - 1)
    renewal = s.renewal and (s.renewal[0] + 1, s.renewal[1])
    question = s.peer_question and (s.peer_question[0] + 1, s.peer_question[1])
    report = s.report and (s.report[0], s.report[1] + 1, s.report[2])
    return s._replace(
        key_holder=key,
        lease_left=left,
        old_known_until=None
        if s.old_known_until is None
        else round(max(-3.0, s.old_known_until - 1), 3),
        old_valid_until=round(max(-3.0, s.old_valid_until - 1), 3),
        peer_question=question if question and question[0] <= REQUEST_TIMEOUT else None,
        new_known_until=None
        if s.new_known_until is None
        else round(max(-3.0, s.new_known_until - 1), 3),
        renewal=renewal if renewal and renewal[0] <= REQUEST_TIMEOUT else None,
        report=report if report and report[1] <= REQUEST_TIMEOUT else None,
        since_told=None if s.since_told is None else s.since_told + 1,
        worker_lease=s.worker_lease - 1,
        since_answered=min(MAX_ANSWER_AGE, s.since_answered + 1),
    )


def _service(s: State, rules: Rules) -> Iterator[State]:
    for mode in (UP, REFUSES, DOWN):
        if mode != s.service:
            # The service restores the full duration of all leases after an outage.
            left = LEADER_LEASE if s.service == DOWN and s.key_holder else s.lease_left
            yield s._replace(service=mode, lease_left=left)
    if s.service != DOWN and s.key_holder and s.lease_left == 0:
        yield s._replace(key_holder=0)  # at this time or a little later, never earlier
    if s.service != DOWN and s.key_holder == 0 and not s.new_has_led:
        known = rules.after_renewal(-9.0, 0)
        yield s._replace(
            key_holder=2,
            lease_left=LEADER_LEASE,
            new_known_until=known,
            new_has_led=True,
            new_knows=s.durable,
        )
    if s.service != DOWN and s.key_holder == 2 and s.new_known_until is not None:
        yield s._replace(
            lease_left=LEADER_LEASE, new_known_until=rules.after_renewal(s.new_known_until, 0)
        )
    if s.commit_sent and not s.durable and s.service != DOWN and s.key_holder == 1:
        yield s._replace(durable=True)  # possibly late, while the old leader holds the key


def _old_leader(s: State, rules: Rules) -> Iterator[State]:
    if s.old_known_until is None:
        return
    if s.renewal is None:
        if s.service == UP and s.key_holder == 1:
            yield s._replace(renewal=(0, True), lease_left=LEADER_LEASE)
        elif s.service == UP:
            yield s._replace(old_known_until=None)  # its lease has ended
        else:
            yield s._replace(old_known_until=rules.after_refusal(s.old_known_until))
    elif s.renewal[1]:
        proved = rules.after_renewal(s.old_valid_until, s.renewal[0])
        yield s._replace(
            old_known_until=max(s.old_known_until, proved), old_valid_until=proved, renewal=None
        )
    if not rules.may_act(s.old_valid_until) and s.peer_question is None:
        # All others answer, each at some time.
        yield s._replace(peer_question=(0, rules.is_listed(s)))
    if s.peer_question is not None:
        # The answers may also come a little later.
        yield s._replace(peer_question=(s.peer_question[0], rules.is_listed(s)))
        known = rules.after_peer_lists(s.old_known_until, s.peer_question[0])
        yield s._replace(
            old_known_until=known, old_knows=s.old_knows or s.peer_question[1], peer_question=None
        )
    if rules.may_act(s.old_valid_until) and not s.cancel_requested:
        yield s._replace(
            cancel_requested=True,
            commit_sent=True,
            old_knows=s.old_knows or rules.known_when_requested(),
        )
    if rules.may_act(s.old_valid_until) and s.cancel_requested:
        if s.durable:  # its commit is answered
            yield s._replace(old_knows=True)
        if s.since_told is None and rules.tells_user(s):
            yield s._replace(since_told=0, old_knows=True)


def _users(s: State, rules: Rules) -> Iterator[State]:
    if s.since_told is None and s.durable and s.service != DOWN:
        yield s._replace(since_told=0)  # any controller may read it and tell the user
    if (
        s.service != DOWN
        and s.key_holder == 2
        and rules.may_act(s.new_known_until)
        and s.since_told is None
    ):
        yield s._replace(durable=True, new_knows=True, since_told=0)


def _worker(s: State, rules: Rules) -> Iterator[State]:
    if s.report is None:
        yield s._replace(report=(1, 0, ""))
        yield s._replace(report=(2, 0, ""))
        return
    whose, age, answer = s.report
    yield s._replace(report=None)  # the report or its answer is lost
    if answer:
        if rules.worker_accepts(s, whose) and answer == "keep":
            yield s._replace(
                report=None,
                worker_lease=WORKER_LEASE + CLOCK_LAG - age,
                worker_token=max(s.worker_token, whose),
                since_answered=0,
            )
    elif whose == 1 and s.worker_token == 2 and s.old_known_until is not None:
        yield rules.on_higher_token(s)
    else:
        known, knows = (
            (s.old_known_until, s.old_knows) if whose == 1 else (s.new_known_until, s.new_knows)
        )
        if rules.renews_worker(known, s.since_answered):
            yield s._replace(report=(whose, age, "kill" if knows else "keep"))


def explore(rules: Rules) -> tuple[int, State | None]:
    """The number of states, and a state in which a cancelled task runs too long, if any."""
    initial = State()
    seen, frontier = {initial}, [initial]
    while frontier:
        state = frontier.pop()
        ticked = _tick(state)
        following = [] if ticked is None else [ticked]
        for step in (_service, _old_leader, _users, _worker):
            following += step(state, rules)
        for state in following:
            if state.since_told is not None and state.since_told > CANCEL_LIMIT:
                return len(seen), state
            if state not in seen:
                seen.add(state)
                frontier.append(state)
    return len(seen), None
