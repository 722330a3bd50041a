"""How long a leader may act, and how long after that it may keep workers' leases alive.

The one place that knows. It acts until `proved_until`, as long as its lease is surely alive, and
keeps workers for a time after `known_until`: up to that instant, by this controller's own
clock, it surely knows every cancellation that anybody may have confirmed.

1. A cancellation is confirmed only once a commit that holds it was executed, conditioned on
   the leader key. While the key is ours, that commit is ours.
2. A lease that was granted or renewed by a request sent at `s` is alive until `s + ttl` at
   least, however late the request was executed, and the key with it. Only such an answer is
   a proof: one that was refused or lost proves nothing, a read only its own moment, a commit
   no more than the lease does, and the end of an outage nothing, since the lease may have
   ended before it began.
3. What our own commits may have made durable is treated as confirmed from the moment in which
   it is asked for (`Book.abort`), whether a commit of it was answered or not; what earlier
   leaders made durable was read after the key was ours, before any worker was answered.
4. So whoever is told of a cancellation that we do not know is told after `known_until`. A
   worker counts its lease from when it sent a report, which is before we answer it: answered
   until `known_until + spare_s`, its tasks are over at `known_until + spare_s + lease_s`,
   and `spare_s` is `cancel_s - lease_s` less a margin for both clocks.
5. After `proved_until` the knowledge lasts on if all others list whom they have told since then
   (`serving.cancellation_poll`): whoever is told of a cancellation that is in no list is told after its
   teller has answered, which is after we asked. So `known_until` is when we asked.
6. Whoever knows of a cancellation sends a kill with each answer that renews. So a worker that
   goes from leader to leader, in any order, is stopped by the first that knows, and is let go
   in time by those that do not. Where nobody reaches it, its lease ends by itself.

A higher token ends it at once: `Leadership.heard`.
"""

from chalkgrade import constants
from chalkgrade.outside import Clock


class Shelter:
    """One controller's: what its lease proves, and what follows for its workers."""

    def __init__(self, clock: Clock, spare_s: float) -> None:
        """`spare_s`: how long after `known_until` workers may be kept; s."""
        self._clock = clock
        self.spare_s = max(0.0, spare_s)
        self.proved_until = self.known_until = 0.0

    def begin(self) -> None:
        """A new lead: what an earlier one has proved says nothing of it."""
        self.proved_until = self.known_until = 0.0

    def proved(self, sent_at: float, ttl_s: float) -> None:
        """A request sent then has granted or renewed the lease for so long."""
        lasts = ttl_s * (1 - constants.CLOCK_DRIFT) - constants.LEASE_MARGIN_S
        self.proved_until = max(self.proved_until, sent_at + lasts)
        self.known_until = max(self.known_until, self.proved_until)

    def vouched(self, asked_at: float) -> None:
        """All others, asked then, have told of every cancellation that they told users of."""
        self.known_until = max(self.known_until, asked_at)

    def acting(self) -> bool:
        """Whether the lease is surely alive: only then anything may be decided."""
        return self._clock.now() < self.proved_until

    def open(self) -> bool:
        """Whether a worker may still be answered with what renews its lease."""
        return self.left_s() > 0

    def left_s(self) -> float:
        """How long workers may still be kept, if nothing more is proved; s, 0 if not at all."""
        return max(0.0, self.known_until + self.spare_s - self._clock.now())
