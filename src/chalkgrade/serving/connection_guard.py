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


class ConnectionState(Enum):
    UNFINISHED = "unfinished"
    BUSY = "busy"
    IDLE = "idle"


class RequestKind(IntEnum):
    """What a connection's last whole request was; what gives way first is the least."""

    UNKNOWN = 0  # none yet
    SUBMISSION = 1
    QUERY = 2
    HEALTH = 3  # health checks, and the operators' figures
    ABORT = 4
    REPORT = 5


# How many of users' requests are answered at once before one of a kind is refused.
BUSY_USER_REQUESTS_MAX = {
    RequestKind.SUBMISSION: constants.USERS_BUSY_MAX,
    RequestKind.QUERY: int(1.25 * constants.USERS_BUSY_MAX),
    RequestKind.ABORT: int(1.5 * constants.USERS_BUSY_MAX),
}


@dataclass
class _Entry:
    since: float  # when it came into its state
    kind: RequestKind = RequestKind.UNKNOWN


class ConnectionGuard(Generic[K]):
    """The open connections of one server. `close(key)` must end in `closed(key)`."""

    def __init__(self, clock: Clock, close: Callable[[K], None], sockets: int) -> None:
        """`sockets`: how many the whole process may have."""
        self._clock = clock
        self._close = close
        self.connections_max = int(
            sockets * (1 - constants.SOCKETS_OUT)
        )  # connections that may be open
        self.unfinished_max = int(self.connections_max * constants.UNFINISHED_PART)
        self.idle_users_max = int(self.connections_max * constants.IDLE_USERS_PART)
        # By state, the oldest first: an entry moves to the end when its state changes.
        self._entries: dict[ConnectionState, dict[K, _Entry]] = {
            state: {} for state in ConnectionState
        }
        self._states: dict[K, ConnectionState] = {}
        # How many there are of each state and use.
        self._kind_counts = {state: dict.fromkeys(RequestKind, 0) for state in ConnectionState}
        self.counts = {"late": 0, "crowded": 0, "idle": 0, "ended": 0, "refused": 0, "full": 0}

    def __len__(self) -> int:
        return len(self._states)

    def count(self, state: ConnectionState) -> int:
        return len(self._entries[state])

    def _user_connections(self, state: ConnectionState) -> int:
        uses = self._kind_counts[state]
        return uses[RequestKind.SUBMISSION] + uses[RequestKind.QUERY] + uses[RequestKind.ABORT]

    def is_crowded(self) -> bool:
        """Whether connections are to be closed once they are answered: few are left."""
        return len(self) > constants.CROWDED_PART * self.connections_max

    def _set_state(self, key: K, state: ConnectionState, use: RequestKind | None = None) -> None:
        entry = self._remove(key) or _Entry(0.0)
        entry.since = self._clock.now()
        entry.kind = entry.kind if use is None else use
        self._states[key] = state
        self._entries[state][key] = entry
        self._kind_counts[state][entry.kind] += 1

    def _remove(self, key: K) -> _Entry | None:
        state = self._states.pop(key, None)
        if state is None:
            return None
        entry = self._entries[state].pop(key)
        self._kind_counts[state][entry.kind] -= 1
        return entry

    def connection_opened(self, key: K) -> None:
        """A connection was accepted; if it is one too many, the one that matters least goes."""
        self._begin_request(key)
        if len(self) > self.connections_max:
            self._evict(self._eviction_candidate(key), "full")

    def _eviction_candidate(self, new: K) -> K:
        """What gives way: who does not finish, users that ask nothing, a crowd of unknown ones.

        Workers' connections come after these, though nothing is asked on them now; and
        what is being answered is worth more than a new one.
        """
        unfinished, idle = (
            self._entries[ConnectionState.UNFINISHED],
            self._entries[ConnectionState.IDLE],
        )
        oldest, entry = next(iter(unfinished.items()))
        if self._clock.now() - entry.since > constants.UNFINISHED_NEW_S:
            return oldest
        users = self._user_connections(ConnectionState.IDLE)
        if not users and len(unfinished) > constants.UNFINISHED_KEPT:
            return oldest
        for use, count in self._kind_counts[ConnectionState.IDLE].items():
            if count:
                return next(key for key, entry in idle.items() if entry.kind is use)
        return new

    def data_received(self, key: K) -> None:
        """Bytes came: on an idle connection a new request begins."""
        if self._states.get(key) is ConnectionState.IDLE:
            self._begin_request(key)

    def _begin_request(self, key: K) -> None:
        self._set_state(key, ConnectionState.UNFINISHED)
        unfinished = self._entries[ConnectionState.UNFINISHED]
        if len(unfinished) > self.unfinished_max:
            self._evict(next(iter(unfinished)), "crowded")

    def request_received(self, key: K, use: RequestKind) -> bool:
        """A whole request is there; False: too many of users' are being answered, refuse it.

        Submissions are refused first, then questions, aborts last; nothing else ever is.
        """
        if key not in self._states:
            return False
        self._set_state(key, ConnectionState.BUSY, use)
        if (
            use in BUSY_USER_REQUESTS_MAX
            and self._user_connections(ConnectionState.BUSY) > BUSY_USER_REQUESTS_MAX[use]
        ):
            self.counts["refused"] += 1
            return False
        return True

    def request_answered(self, key: K) -> None:
        """Its request was answered."""
        if key not in self._states:
            return
        self._set_state(key, ConnectionState.IDLE)
        if self._user_connections(ConnectionState.IDLE) > self.idle_users_max:
            idle = self._entries[ConnectionState.IDLE]
            self._evict(
                next(key for key, entry in idle.items() if entry.kind in BUSY_USER_REQUESTS_MAX),
                "idle",
            )

    def connection_closed(self, key: K) -> None:
        """The connection is gone, whoever ended it."""
        self._remove(key)

    def request_interrupted(self) -> None:
        """The other side ended a connection within its request."""
        self.counts["ended"] += 1

    def _evict(self, key: K, why: str) -> None:
        self.counts[why] += 1
        self.connection_closed(key)
        self._close(key)

    def sweep(self) -> None:
        """End what takes too long, and what is too many and not new.

        After a silence of our own, whole requests may lie unread: users and
        workers have given up on theirs before `REQUEST_S` is over, so that ending
        older ones harms nobody.
        """
        now = self._clock.now()
        unfinished = self._entries[ConnectionState.UNFINISHED]
        over = len(unfinished) - constants.UNFINISHED_KEPT
        for key, entry in list(unfinished.items()):
            age = now - entry.since
            if age > constants.REQUEST_S:
                self._evict(key, "late")
            elif over > 0 and age > constants.UNFINISHED_NEW_S:
                self._evict(key, "crowded")
            else:
                break
            over -= 1

    def drain_counts(self) -> dict[str, int]:
        """What was ended or refused since the last call, by reason."""
        out = {why: count for why, count in self.counts.items() if count}
        self.counts = dict.fromkeys(self.counts, 0)
        return out
