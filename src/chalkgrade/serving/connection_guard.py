"""Limits on open connections: decides which ones to close when sockets run short.

Does no input or output: the server reports the events of a connection and passes in a function
that closes one. A connection is *unfinished* from the first byte of a request (a new one: from
its opening) until the request is complete, *busy* while the request is answered, and *idle*
otherwise. Its purpose is known only from a complete request; the least important kind is closed
first. Controllers use another port, and the sockets that they and the outgoing requests need
are reserved. All limits are shares of the sockets that the platform allows, so that they suit
any number of workers.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Generic, TypeVar

from chalkgrade import constants
from chalkgrade.outside import Clock

K = TypeVar("K", bound=Hashable)


class ConnectionState(Enum):
    """What a connection is doing."""

    UNFINISHED = "unfinished"
    BUSY = "busy"
    IDLE = "idle"


class RequestKind(IntEnum):
    """The kind of a connection's last complete request, the least important first."""

    UNKNOWN = 0  # no complete request yet
    SUBMISSION = 1
    QUERY = 2
    HEALTH = 3  # health checks and metrics
    ABORT = 4
    REPORT = 5


# How many user requests may be in progress before one of this kind is refused.
BUSY_USER_REQUESTS_MAX = {
    RequestKind.SUBMISSION: constants.MAX_CONCURRENT_USER_REQUESTS,
    RequestKind.QUERY: int(1.25 * constants.MAX_CONCURRENT_USER_REQUESTS),
    RequestKind.ABORT: int(1.5 * constants.MAX_CONCURRENT_USER_REQUESTS),
}


@dataclass
class _Entry:
    """A connection: when it entered its state, and what it is used for."""

    since: float  # monotonic time, s
    kind: RequestKind = RequestKind.UNKNOWN


class ConnectionGuard(Generic[K]):
    """The open connections of one server; `close(key)` must lead to `connection_closed(key)`."""

    def __init__(self, clock: Clock, close: Callable[[K], None], sockets: int) -> None:
        """`sockets`: how many the platform allows the whole process."""
        self._clock = clock
        self._close = close
        self.connections_max = int(sockets * (1 - constants.OUTGOING_SOCKETS_RATIO))
        self.unfinished_max = int(self.connections_max * constants.MAX_UNFINISHED_CONNECTIONS_RATIO)
        self.idle_users_max = int(self.connections_max * constants.MAX_IDLE_USER_CONNECTIONS_RATIO)
        # Connections by state, the oldest first: one moves to the end when its state changes.
        self._entries: dict[ConnectionState, dict[K, _Entry]] = {
            state: {} for state in ConnectionState
        }
        self._states: dict[K, ConnectionState] = {}
        # Number of connections by state and kind.
        self._kind_counts = {state: dict.fromkeys(RequestKind, 0) for state in ConnectionState}
        kinds = ("late", "crowded", "idle", "ended", "malformed", "refused", "full")
        self.counts = dict.fromkeys(kinds, 0)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._states)

    def count(self, state: ConnectionState) -> int:
        """Return the number of connections in a state."""
        return len(self._entries[state])

    def _user_connections(self, state: ConnectionState) -> int:
        counts = self._kind_counts[state]
        return (
            counts[RequestKind.SUBMISSION] + counts[RequestKind.QUERY] + counts[RequestKind.ABORT]
        )

    def is_crowded(self) -> bool:
        """Return whether few sockets are left, so that connections close after an answer."""
        return len(self) > constants.CROWDED_CONNECTIONS_RATIO * self.connections_max

    def _set_state(self, key: K, state: ConnectionState, kind: RequestKind | None = None) -> None:
        entry = self._remove(key) or _Entry(0.0)
        entry.since = self._clock.now()
        entry.kind = entry.kind if kind is None else kind
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
        """Register an accepted connection; beyond the limit the least important one is closed."""
        self._begin_request(key)
        if len(self) > self.connections_max:
            self._evict(self._eviction_candidate(key), "full")

    def _eviction_candidate(self, new: K) -> K:
        """Return the connection to close, the first that exists of the following.

        An unfinished one that is no longer new; the oldest unfinished one, if no user's
        connection is idle and many are unfinished; an idle one of the least important kind,
        so that idle workers come after idle users; otherwise the new one, since a request that
        is being answered matters more.
        """
        unfinished, idle = (
            self._entries[ConnectionState.UNFINISHED],
            self._entries[ConnectionState.IDLE],
        )
        oldest, entry = next(iter(unfinished.items()))
        if self._clock.now() - entry.since > constants.NEW_CONNECTION_GRACE_S:
            return oldest
        users = self._user_connections(ConnectionState.IDLE)
        if not users and len(unfinished) > constants.MAX_OLD_UNFINISHED_CONNECTIONS:
            return oldest
        for kind, count in self._kind_counts[ConnectionState.IDLE].items():
            if count:
                return next(key for key, entry in idle.items() if entry.kind is kind)
        return new

    def data_received(self, key: K) -> None:
        """Bytes were received: on an idle connection a new request begins."""
        if self._states.get(key) is ConnectionState.IDLE:
            self._begin_request(key)

    def _begin_request(self, key: K) -> None:
        self._set_state(key, ConnectionState.UNFINISHED)
        unfinished = self._entries[ConnectionState.UNFINISHED]
        if len(unfinished) > self.unfinished_max:
            self._evict(next(iter(unfinished)), "crowded")

    def request_received(self, key: K, kind: RequestKind) -> bool:
        """A complete request was received; False if it has to be refused.

        User requests are refused when too many are in progress: submissions first, then
        queries, aborts last. Requests of other kinds are never refused.
        """
        if key not in self._states:
            return False
        self._set_state(key, ConnectionState.BUSY, kind)
        if (
            kind in BUSY_USER_REQUESTS_MAX
            and self._user_connections(ConnectionState.BUSY) > BUSY_USER_REQUESTS_MAX[kind]
        ):
            self.counts["refused"] += 1
            return False
        return True

    def request_answered(self, key: K) -> None:
        """The connection's request was answered."""
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
        """The connection was closed, by either side."""
        self._remove(key)

    def request_interrupted(self) -> None:
        """The other side closed a connection before its request was complete."""
        self.counts["ended"] += 1

    def request_malformed(self) -> None:
        """A request could not be parsed as HTTP; its connection is closed."""
        self.counts["malformed"] += 1

    def _evict(self, key: K, reason: str) -> None:
        self.counts[reason] += 1
        self.connection_closed(key)
        self._close(key)

    def sweep(self) -> None:
        """Close unfinished connections that take too long, and those that are too many and not new.

        After a stall of this process, complete requests may be waiting unread. Users and workers
        give up on a request before `READ_TIMEOUT_S` is over, so closing older ones loses nothing.
        """
        now = self._clock.now()
        unfinished = self._entries[ConnectionState.UNFINISHED]
        excess = len(unfinished) - constants.MAX_OLD_UNFINISHED_CONNECTIONS
        for key, entry in list(unfinished.items()):
            age = now - entry.since
            if age > constants.READ_TIMEOUT_S:
                self._evict(key, "late")
            elif excess > 0 and age > constants.NEW_CONNECTION_GRACE_S:
                self._evict(key, "crowded")
            else:
                break
            excess -= 1

    def drain_counts(self) -> dict[str, int]:
        """Return how many were closed or refused since the last call, by reason, and reset."""
        drained = {reason: count for reason, count in self.counts.items() if count}
        self.counts = dict.fromkeys(self.counts, 0)
        return drained
