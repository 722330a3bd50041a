"""A small model of the gap, walked in full.

One worker with a task, an old and a new leader, a user, the state service, messages that are
lost, late or answered late. Times are ticks, all relative to now, so that the states are
finite and every run of any length is covered. What is open and what is proved is asked of the
program's own `Shelter`.
"""

from collections.abc import Iterator
from typing import NamedTuple

from chalkgrade.region.loop import HandClock
from chalkgrade.state.lease_expiry import LeaseExpiry

TTL, LEASE, SPARE = 2, 2, 1  # ticks; of the leader's lease, the worker's, and `spare_s`
SLOW = 1  # ticks by which the worker's clock may be late
CANCEL = 3  # ticks; the least that holds, so that each tick that is given away is found
PATIENCE = 1  # ticks, after which a touch or a report is given up
LONG_AGO = 2  # ticks; no rule asks for more

UP, REFUSES, DOWN = "up", "refuses the old leader", "down"


class State(NamedTuple):
    mode: str = UP
    key: int = 1  # who holds the leader key; 0: nobody
    left: int = TTL  # of its lease
    old: float | None = 1.598  # `known_until` of the old leader; None: it does not lead
    new: float | None = None
    was_new: bool = False  # the new one has led, once
    touch: tuple[int, bool] | None = None  # the old one's renewal: age, whether executed
    proved: float = 1.598  # `proved_until` of the old leader, which acts until then
    vouch: tuple[int, bool] | None = None  # its question to all others: age, what they listed
    asked: bool = False  # the old leader was asked for the cancellation
    sent: bool = False  # and sent the commit while it acted
    durable: bool = False
    old_knows: bool = False
    new_knows: bool = False
    told: int | None = None  # ticks since a user was told
    lease: int = LEASE + SLOW  # of the worker
    baton: int = 1
    report: tuple[int, int, str] | None = None  # to whom, age, the answer on its way
    answered: int = LONG_AGO  # ticks since the worker was last answered


class Rules:
    """What the program does; a bug overrides one of these."""

    spare = SPARE

    def __init__(self) -> None:
        self.clock = HandClock(0.0)

    def _shelter(self, known: float) -> LeaseExpiry:
        shelter = LeaseExpiry(self.clock, self.spare)
        shelter.lease_valid_until = shelter.cancellations_known_until = known
        return shelter

    def acting(self, known: float | None) -> bool:
        return known is not None and self._shelter(known).is_valid()

    def keeps(self, known: float | None, answered: int) -> bool:
        return known is not None and self._shelter(known).has_worker_grace()

    def proved(self, known: float, age: int) -> float:
        """A renewal that was sent `age` ticks ago was executed, and is answered now."""
        shelter = self._shelter(known)
        shelter.record_renewal(-age, TTL)
        return round(shelter.cancellations_known_until, 3)

    def vouched(self, known: float, age: int) -> float:
        """All others list whom they have told; they were asked `age` ticks ago."""
        shelter = self._shelter(known)
        shelter.record_peer_lists(-age)
        return round(shelter.cancellations_known_until, 3)

    def listed(self, state: State) -> bool:
        """Whether the cancellation is in one of the lists."""
        return state.told is not None

    def refused(self, known: float) -> float:
        return known

    def asked(self) -> bool:
        """Whether a cancellation counts as known from when it is asked for."""
        return True

    def confirms(self, state: State) -> bool:
        """Whether the old leader tells its user."""
        return state.durable

    def heard(self, state: State) -> State:
        """The old leader meets a worker that has seen a higher token."""
        return state._replace(old=None)

    def takes(self, state: State, whose: int) -> bool:
        """Whether a worker takes an answer; its own rule, and no bug of ours."""
        return whose >= state.baton


def _tick(s: State) -> State | None:
    """Time passes; None: the task is gone, and nothing can break any more."""
    if s.lease == 0:
        return None
    key, left = s.key, s.left
    if s.mode != DOWN:
        key, left = (0, 0) if left == 0 else (key, left - 1)
    touch = s.touch and (s.touch[0] + 1, s.touch[1])
    vouch = s.vouch and (s.vouch[0] + 1, s.vouch[1])
    report = s.report and (s.report[0], s.report[1] + 1, s.report[2])
    return s._replace(
        key=key,
        left=left,
        old=None if s.old is None else round(max(-3.0, s.old - 1), 3),
        proved=round(max(-3.0, s.proved - 1), 3),
        vouch=vouch if vouch and vouch[0] <= PATIENCE else None,
        new=None if s.new is None else round(max(-3.0, s.new - 1), 3),
        touch=touch if touch and touch[0] <= PATIENCE else None,
        report=report if report and report[1] <= PATIENCE else None,
        told=None if s.told is None else s.told + 1,
        lease=s.lease - 1,
        answered=min(LONG_AGO, s.answered + 1),
    )


def _service(s: State, rules: Rules) -> Iterator[State]:
    for mode in (UP, REFUSES, DOWN):
        if mode != s.mode:
            # After an outage every lease has its full time again.
            left = TTL if s.mode == DOWN and s.key else s.left
            yield s._replace(mode=mode, left=left)
    if s.mode != DOWN and s.key and s.left == 0:
        yield s._replace(key=0)  # or a little later, but never earlier
    if s.mode != DOWN and s.key == 0 and not s.was_new:
        known = rules.proved(-9.0, 0)
        yield s._replace(key=2, left=TTL, new=known, was_new=True, new_knows=s.durable)
    if s.mode != DOWN and s.key == 2 and s.new is not None:
        yield s._replace(left=TTL, new=rules.proved(s.new, 0))
    if s.sent and not s.durable and s.mode != DOWN and s.key == 1:
        yield s._replace(durable=True)  # also late, as long as the key is the old leader's


def _old(s: State, rules: Rules) -> Iterator[State]:
    if s.old is None:
        return
    if s.touch is None:
        if s.mode == UP and s.key == 1:
            yield s._replace(touch=(0, True), left=TTL)
        elif s.mode == UP:
            yield s._replace(old=None)  # its lease is gone
        else:
            yield s._replace(old=rules.refused(s.old))
    elif s.touch[1]:
        proved = rules.proved(s.proved, s.touch[0])
        yield s._replace(old=max(s.old, proved), proved=proved, touch=None)
    if not rules.acting(s.proved) and s.vouch is None:
        yield s._replace(vouch=(0, rules.listed(s)))  # all others answer, each at some time
    if s.vouch is not None:
        yield s._replace(vouch=(s.vouch[0], rules.listed(s)))  # or a little later
        known = rules.vouched(s.old, s.vouch[0])
        yield s._replace(old=known, old_knows=s.old_knows or s.vouch[1], vouch=None)
    if rules.acting(s.proved) and not s.asked:
        yield s._replace(asked=True, sent=True, old_knows=s.old_knows or rules.asked())
    if rules.acting(s.proved) and s.asked:
        if s.durable:  # its commit is answered
            yield s._replace(old_knows=True)
        if s.told is None and rules.confirms(s):
            yield s._replace(told=0, old_knows=True)


def _users(s: State, rules: Rules) -> Iterator[State]:
    if s.told is None and s.durable and s.mode != DOWN:
        yield s._replace(told=0)  # any controller reads it
    if s.mode != DOWN and s.key == 2 and rules.acting(s.new) and s.told is None:
        yield s._replace(durable=True, new_knows=True, told=0)


def _worker(s: State, rules: Rules) -> Iterator[State]:
    if s.report is None:
        yield s._replace(report=(1, 0, ""))
        yield s._replace(report=(2, 0, ""))
        return
    whose, age, answer = s.report
    yield s._replace(report=None)  # it, or its answer, is lost
    if answer:
        if rules.takes(s, whose) and answer == "keep":
            yield s._replace(
                report=None, lease=LEASE + SLOW - age, baton=max(s.baton, whose), answered=0
            )
    elif whose == 1 and s.baton == 2 and s.old is not None:
        yield rules.heard(s)
    else:
        known, knows = (s.old, s.old_knows) if whose == 1 else (s.new, s.new_knows)
        if rules.keeps(known, s.answered):
            yield s._replace(report=(whose, age, "kill" if knows else "keep"))


def walk(rules: Rules) -> tuple[int, State | None]:
    """How many states were seen, and one in which a cancelled task is there for too long."""
    first = State()
    seen, edge = {first}, [first]
    while edge:
        state = edge.pop()
        ticked = _tick(state)
        following = [] if ticked is None else [ticked]
        for step in (_service, _old, _users, _worker):
            following += step(state, rules)
        for state in following:
            if state.told is not None and state.told > CANCEL:
                return len(seen), state
            if state not in seen:
                seen.add(state)
                edge.append(state)
    return len(seen), None
