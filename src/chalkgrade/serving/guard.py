"""Which connections may stay: sockets are kept free for those who finish their requests.

Pure: the daemon tells what happens on a connection and passes in how to close it.
A connection is *unfinished* from its first byte (a new one: from the start) until
its request is whole, *busy* while that is answered, else *idle*. What it is for is
known only from a whole request; what matters less gives way first. Controllers talk
on another port, and what they need is left aside from the start. All bounds follow
from the sockets that the platform allows: a fleet of any size is to fit.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Generic, TypeVar

from chalkgrade import constants
from chalkgrade.outside import Clock

K = TypeVar("K", bound=Hashable)


class State(Enum):
    UNFINISHED = "unfinished"
    BUSY = "busy"
    IDLE = "idle"


class Use(IntEnum):
    """What a connection's last whole request was; what gives way first is the least."""

    UNKNOWN = 0  # none yet
    SUBMISSION = 1
    QUESTION = 2
    HEALTH = 3  # health checks, and the operators' figures
    ABORT = 4
    REPORT = 5


# How many of users' requests are answered at once before one of a kind is refused.
BUSY_MOST = {
    Use.SUBMISSION: constants.USERS_BUSY_MAX,
    Use.QUESTION: int(1.25 * constants.USERS_BUSY_MAX),
    Use.ABORT: int(1.5 * constants.USERS_BUSY_MAX),
}


@dataclass
class _Entry:
    since: float  # when it came into its state
    use: Use = Use.UNKNOWN


class Guard(Generic[K]):
    """The open connections of one server. `close(key)` must end in `closed(key)`."""

    def __init__(self, clock: Clock, close: Callable[[K], None], sockets: int) -> None:
        """`sockets`: how many the whole process may have."""
        self._clock = clock
        self._close = close
        self.room = int(sockets * (1 - constants.SOCKETS_OUT))  # connections that may be open
        self.unfinished_max = int(self.room * constants.UNFINISHED_PART)
        self.idle_users_max = int(self.room * constants.IDLE_USERS_PART)
        # By state, the oldest first: an entry moves to the end when its state changes.
        self._entries: dict[State, dict[K, _Entry]] = {state: {} for state in State}
        self._state: dict[K, State] = {}
        # How many there are of each state and use.
        self._uses = {state: dict.fromkeys(Use, 0) for state in State}
        self.counts = {"late": 0, "crowded": 0, "idle": 0, "ended": 0, "refused": 0, "full": 0}

    def __len__(self) -> int:
        return len(self._state)

    def number(self, state: State) -> int:
        return len(self._entries[state])

    def _users(self, state: State) -> int:
        uses = self._uses[state]
        return uses[Use.SUBMISSION] + uses[Use.QUESTION] + uses[Use.ABORT]

    def crowded(self) -> bool:
        """Whether connections are to be closed once they are answered: few are left."""
        return len(self) > constants.CROWDED_PART * self.room

    def _move(self, key: K, state: State, use: Use | None = None) -> None:
        entry = self._drop(key) or _Entry(0.0)
        entry.since = self._clock.now()
        entry.use = entry.use if use is None else use
        self._state[key] = state
        self._entries[state][key] = entry
        self._uses[state][entry.use] += 1

    def _drop(self, key: K) -> _Entry | None:
        state = self._state.pop(key, None)
        if state is None:
            return None
        entry = self._entries[state].pop(key)
        self._uses[state][entry.use] -= 1
        return entry

    def opened(self, key: K) -> None:
        """A connection was accepted; if it is one too many, the one that matters least goes."""
        self._begin(key)
        if len(self) > self.room:
            self._end(self._least(key), "full")

    def _least(self, new: K) -> K:
        """What gives way: who does not finish, users that ask nothing, a crowd of unknown ones.

        Workers' connections come after these, though nothing is asked on them now; and
        what is being answered is worth more than a new one.
        """
        unfinished, idle = self._entries[State.UNFINISHED], self._entries[State.IDLE]
        oldest, entry = next(iter(unfinished.items()))
        if self._clock.now() - entry.since > constants.UNFINISHED_NEW_S:
            return oldest
        users = self._users(State.IDLE)
        if not users and len(unfinished) > constants.UNFINISHED_KEPT:
            return oldest
        for use, count in self._uses[State.IDLE].items():
            if count:
                return next(key for key, entry in idle.items() if entry.use is use)
        return new

    def received(self, key: K) -> None:
        """Bytes came: on an idle connection a new request begins."""
        if self._state.get(key) is State.IDLE:
            self._begin(key)

    def _begin(self, key: K) -> None:
        self._move(key, State.UNFINISHED)
        unfinished = self._entries[State.UNFINISHED]
        if len(unfinished) > self.unfinished_max:
            self._end(next(iter(unfinished)), "crowded")

    def begun(self, key: K, use: Use) -> bool:
        """A whole request is there; False: too many of users' are being answered, refuse it.

        Submissions are refused first, then questions, aborts last; nothing else ever is.
        """
        if key not in self._state:
            return False
        self._move(key, State.BUSY, use)
        if use in BUSY_MOST and self._users(State.BUSY) > BUSY_MOST[use]:
            self.counts["refused"] += 1
            return False
        return True

    def done(self, key: K) -> None:
        """Its request was answered."""
        if key not in self._state:
            return
        self._move(key, State.IDLE)
        if self._users(State.IDLE) > self.idle_users_max:
            idle = self._entries[State.IDLE]
            self._end(next(key for key, entry in idle.items() if entry.use in BUSY_MOST), "idle")

    def closed(self, key: K) -> None:
        """The connection is gone, whoever ended it."""
        self._drop(key)

    def broke_off(self) -> None:
        """The other side ended a connection within its request."""
        self.counts["ended"] += 1

    def _end(self, key: K, why: str) -> None:
        self.counts[why] += 1
        self.closed(key)
        self._close(key)

    def sweep(self) -> None:
        """End what takes too long, and what is too many and not new.

        After a silence of our own, whole requests may lie unread: users and
        workers have given up on theirs before `REQUEST_S` is over, so that ending
        older ones harms nobody.
        """
        now = self._clock.now()
        unfinished = self._entries[State.UNFINISHED]
        over = len(unfinished) - constants.UNFINISHED_KEPT
        for key, entry in list(unfinished.items()):
            age = now - entry.since
            if age > constants.REQUEST_S:
                self._end(key, "late")
            elif over > 0 and age > constants.UNFINISHED_NEW_S:
                self._end(key, "crowded")
            else:
                break
            over -= 1

    def told(self) -> dict[str, int]:
        """What was ended or refused since the last call, by reason."""
        out = {why: count for why, count in self.counts.items() if count}
        self.counts = dict.fromkeys(self.counts, 0)
        return out
