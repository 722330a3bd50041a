"""How long a leader may act, and how long after that it may renew the leases of workers.

A leader acts until `lease_valid_until`, while its lease is certainly alive. It renews workers
for `worker_grace_s` after `cancellations_known_until`: up to that instant of this controller's
clock it certainly knows every cancellation that any controller may have confirmed to a user.

Why this is safe:

1. A cancellation is confirmed only after a commit that contains it was executed under the
   condition that the leader key is unchanged. While this controller holds the key, that commit
   is its own.
2. A lease granted or renewed by a request sent at `s` is alive until `s + ttl` at least, however
   late the request was executed, and so is the leader key attached to it. Only a successful
   answer to such a request proves this. A refused request or a lost answer proves nothing, a
   read proves only its own moment, a commit proves no more than the lease does, and the end of
   an outage proves nothing, since the lease may have ended before the outage began.
3. A cancellation that own commits may have made durable counts as confirmed from the moment it
   is requested (`JobRegistry.abort`), whether or not the commit was answered. Cancellations that
   earlier leaders made durable were read after this controller got the key, before it answered
   any worker.
4. So a user who is told of a cancellation unknown to this leader is told after
   `cancellations_known_until`. A worker counts its lease from the time at which it sent a
   report, which is before the leader answers it. If it is answered until
   `cancellations_known_until + worker_grace_s`, its tasks have ended by
   `cancellations_known_until + worker_grace_s + lease_s`. `worker_grace_s` is
   `cancel_s - lease_s` less a margin for the drift of both clocks.
5. After `lease_valid_until` the leader can extend this knowledge by asking all other controllers
   which cancellations they have told users of since then (`serving.cancellation_poll`). A
   cancellation that is in none of the lists is told only after the controller that tells it has
   answered the question, hence after the question was sent. `cancellations_known_until` becomes
   that time.
6. A leader that knows of a cancellation sends a kill order with each answer that renews a lease.
   A worker that alternates between leaders, in any order, is therefore stopped by the first one
   that knows, and not renewed for too long by those that do not. If no leader reaches the
   worker, its lease expires by itself.

A higher token ends the leadership at once: `Leadership.observe_token`.
"""

from chalkgrade import constants
from chalkgrade.outside import Clock


class LeaseExpiry:
    """Until when this controller's leader lease is valid, and until when it may renew workers."""

    def __init__(self, clock: Clock, worker_grace_s: float) -> None:
        """`worker_grace_s`: how long workers may be renewed after `cancellations_known_until`."""
        self._clock = clock
        self.worker_grace_s = max(0.0, worker_grace_s)
        self.lease_valid_until = self.cancellations_known_until = 0.0

    def reset(self) -> None:
        """Forget all proofs at the start of a term: those of an earlier term do not apply to it."""
        self.lease_valid_until = self.cancellations_known_until = 0.0

    def record_renewal(self, sent_at: float, ttl_s: float) -> None:
        """Record that a request sent at `sent_at` granted or renewed the lease for `ttl_s`."""
        valid_s = ttl_s * (1 - constants.CLOCK_DRIFT_RATIO) - constants.LEADER_LEASE_MARGIN_S
        self.lease_valid_until = max(self.lease_valid_until, sent_at + valid_s)
        self.cancellations_known_until = max(self.cancellations_known_until, self.lease_valid_until)

    def record_peer_lists(self, asked_at: float) -> None:
        """Record that all other controllers, asked at `asked_at`, listed what they told users."""
        self.cancellations_known_until = max(self.cancellations_known_until, asked_at)

    def is_valid(self) -> bool:
        """Whether the lease is certainly alive: only then may this controller decide anything."""
        return self._clock.now() < self.lease_valid_until

    def has_worker_grace(self) -> bool:
        """Whether an answer to a worker may still renew its lease."""
        return self.worker_grace_left_s() > 0

    def worker_grace_left_s(self) -> float:
        """How long workers may still be renewed without any further proof, s; 0 if not at all."""
        return max(0.0, self.cancellations_known_until + self.worker_grace_s - self._clock.now())
