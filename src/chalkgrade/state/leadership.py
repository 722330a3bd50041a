"""Leader election: a lease on one key, whose revision is the fencing token.

The leader relies on its lease only until a time on its own clock that lies before
the earliest moment at which the state service could end the lease. All other controllers
wait for the key to be removed. The token grows with every leader because it is
the revision of the commit that wrote the leader key.
"""

import asyncio
import itertools
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from chalkgrade import constants
from chalkgrade.outside import Clock, NoAnswer, Signal
from chalkgrade.state.client import Compacted, Conflict, LedgerClient, NotExecuted, Rejected, Row
from chalkgrade.state.lease_expiry import LeaseExpiry

log = logging.getLogger("chalkgrade.leadership")

LEADER_KEY = "cg/leader"
REQUEST_ERRORS = (NoAnswer, NotExecuted, Rejected)


class LeaderValue(msgspec.Struct):
    """The value of the leader key.

    `nonce` identifies the commit that wrote the key and the process that sent it.
    `home` names a resource that only one live process can hold, so that the process which
    holds it now knows that the writer has ended; empty if there is no such resource.
    """

    member: str
    nonce: str
    lease_s: float = constants.MAX_LEADER_LEASE_S
    home: str = ""


class _Offer(NamedTuple):
    """What a successor prepares for a handover: lease id, nonce, and time of the lease request."""

    permit: int
    nonce: str
    lease_s: float
    requested_at: float


class Leadership:
    """This node's view of who the leader is, and its own lease if it leads."""

    def __init__(
        self,
        ledger: LedgerClient,
        clock: Clock,
        rng: random.Random,
        member: str,
        worker_grace_s: float,
        on_lead: Callable[[int], None],
        on_lose: Callable[[], None],
        home: str = "",
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self.member = member
        self.home = home
        self.lease_expiry = LeaseExpiry(clock, worker_grace_s)
        self._process_id = f"{rng.getrandbits(64):016x}"  # prefix of all nonces of this process
        self._nonce_counter = itertools.count(1)
        self._on_lead = on_lead
        self._on_lose = on_lose
        self.token = 0  # own token while this node leads, else 0
        self.leader: str | None = None  # the leader as far as this node knows
        self.highest_token = 0  # highest token seen
        # Called before each campaign: whether this node may lead at all, how many preferred
        # candidates campaign first, and the lease duration, s.
        self.is_eligible: Callable[[], bool] = lambda: True
        self.campaign_rank: Callable[[], int] = lambda: 0
        self.lease_duration_s: Callable[[], float] = lambda: constants.MAX_LEADER_LEASE_S
        self.lease_lost_while_healthy_at = (
            -1e9
        )  # a lease ended though this process ran on time and was answered
        self.leader_changed = Signal()  # fires when the known leader changes
        self._pending_offer: _Offer | None = None
        self._handing_over = False  # a commit that moves the key to a successor may be pending
        self._permit = 0
        self._ttl_s = constants.MAX_LEADER_LEASE_S
        self._renewal_sent_at = self._renewal_failed_at = -1e9
        self._stepped_down = asyncio.Event()

    def may_act(self) -> bool:
        """Whether the own lease is certainly alive: only then may this node decide anything."""
        return self.token > 0 and self.lease_expiry.is_valid()

    def may_renew_workers(self) -> bool:
        """Whether this node may still renew worker leases.

        It may while it may act, and for a bounded time afterwards.
        """
        return self.token > 0 and self.lease_expiry.has_worker_grace()

    def observe_token(self, token: int, member: str | None = None) -> None:
        """Record a token seen elsewhere, held by `member` if that is known.

        A token higher than the own one ends this node's leadership at once.
        """
        if token > self.highest_token:
            self.highest_token = token
            if member is not None:
                self.set_leader(member)
        if self.token and token > self.token:
            log.warning("higher token seen: %d, own token is %d, stepping down", token, self.token)
            self.step_down()

    def step_down(self) -> None:
        """Stop leading at once; does nothing if this node does not lead."""
        if self.token:
            self.token = 0
            if self.leader == self.member:
                self.set_leader(None)
            self._ledger.set_leading(False)
            self._stepped_down.set()
            self._on_lose()

    async def run(self) -> None:
        """Watch the leader key, campaign when it is gone, renew the lease while leading."""
        while True:
            try:
                row = await self._ledger.get(LEADER_KEY)
                if row is None:
                    await self._campaign()
                    continue
                start_args = self._observe_row(row)
                value = msgspec.json.decode(row.v, type=LeaderValue)
                is_stale = not self._handing_over and self._is_own_stale_key(value)
                if start_args is None and row.permit is not None and is_stale:
                    log.info("own stale leader key: token %d, revoking its lease", row.stamp)
                    await self._ledger.revoke_lease(row.permit)
                start_args = start_args or await self._wait_for_change(row.stamp)
                if start_args is not None:
                    await self._start_leading(*start_args)
            except (*REQUEST_ERRORS, Conflict, Compacted, msgspec.DecodeError) as error:
                log.debug("leadership request failed: %s", error)
                pause = constants.CAMPAIGN_RETRY_INTERVAL_S * (0.5 + self._rng.random())
                await asyncio.sleep(pause)

    def _observe_row(self, row: Row) -> tuple[int, int, float] | None:
        """Learn the leader from the key.

        Returns the arguments of `_start_leading` if the key was handed to this node.
        """
        value = msgspec.json.decode(row.v, type=LeaderValue)
        self.observe_token(row.stamp)
        offer = self._pending_offer
        if offer is None or value.nonce != offer.nonce:
            self.set_leader(None if self._is_own_stale_key(value) else value.member)
            return None
        self.set_leader(value.member)
        self._pending_offer = None
        self._ttl_s = offer.lease_s
        return row.stamp, offer.permit, offer.requested_at

    def _is_own_stale_key(self, value: LeaderValue) -> bool:
        """Whether the key has this node's name, and certainly nobody acts or will act under it.

        To be called only while this node neither leads nor is about to. A key with a nonce of
        this process then belongs to a leadership that it gave up, or to a commit that was
        executed late. A key of an earlier process is stale if that process has ended, which is
        proved by holding its `home`: another live or suspended process of the same name has
        another home, or prevents this one from starting. Without this check a controller that
        restarts at once waits until its own lease expires, and all others with it.
        """
        own = value.nonce.startswith(self._process_id)
        return value.member == self.member and (own or bool(self.home) and value.home == self.home)

    def _next_nonce(self) -> str:
        return f"{self._process_id}-{next(self._nonce_counter)}"

    # -- handover ---------------------------------------------------------------------

    async def prepare_takeover(self) -> "_Offer":
        """Prepare to receive the leadership.

        Requests an own lease, and draws a nonce to recognise the key by. Raises the errors of
        `LedgerClient.grant_lease`.
        """
        requested_at, lease_s = self._clock.now(), self.lease_duration_s()
        permit = await self._ledger.grant_lease(lease_s)
        self._pending_offer = _Offer(permit, self._next_nonce(), lease_s, requested_at)
        return self._pending_offer

    async def hand_over(
        self, member: str, permit: int, nonce: str, lease_s: float, home: str = ""
    ) -> bool:
        """Move the key to a named successor in one commit; returns whether it certainly moved.

        This node stops leading in any case, before the commit is sent. If the answer is lost,
        the commit may be executed at any time, so nobody may act on the old lease again: it is
        revoked, which also removes the key unless the successor already has it.
        """
        token, own = self.token, self._permit
        # Otherwise the own loop, which may read the key before the commit is executed, would
        # take the key for stale and revoke its lease: the commit would fail, and all
        # controllers would campaign.
        self._handing_over = True
        self.step_down()
        try:
            moved = await self._move_key(token, LeaderValue(member, nonce, lease_s, home), permit)
            try:
                await self._ledger.revoke_lease(own)
            except REQUEST_ERRORS as error:
                log.debug("revoking the own lease failed: %s", error)
        finally:
            self._handing_over = False
        return moved

    async def _move_key(self, token: int, value: LeaderValue, permit: int) -> bool:
        """Commit the move of the key; returns whether it certainly was executed."""
        write = {"write": LEADER_KEY, "v": value, "permit": permit}
        try:
            await self._ledger.commit(
                {LEADER_KEY: token}, [write], constants.HANDOVER_COMMIT_TIMEOUT_S
            )
        except (*REQUEST_ERRORS, Conflict) as error:
            log.warning("handover failed: %s: %s", value.member, error)
            return False
        return True

    def set_leader(self, member: str | None) -> None:
        """Set the known leader, None if unknown, and wake those that wait for a change."""
        if member != self.leader:
            self.leader = member
            self.leader_changed.fire()

    async def _wait_for_change(self, stamp: int) -> tuple[int, int, float] | None:
        """Wait until the key changes; after a time-out the caller reads the key again.

        Returns the arguments of `_start_leading` if the key was handed to this node.
        """
        changes = await self._ledger.watch_changes(
            LEADER_KEY, stamp, constants.LEADER_WATCH_BLOCK_S
        )
        start_args = None
        for change in changes.log:
            start_args = None
            if change.remove == LEADER_KEY:
                self.set_leader(None)
            elif change.write == LEADER_KEY:
                # The change contains the new value, which saves a read.
                start_args = self._observe_row(Row(LEADER_KEY, change.v, change.stamp))
        return start_args

    async def _wait_turn(self) -> bool:
        """Let preferred candidates campaign first; returns whether the key is still free then."""
        if not self.is_eligible():
            await asyncio.sleep(constants.CAMPAIGN_RETRY_INTERVAL_S)
            return False
        rank = min(self.campaign_rank(), constants.MAX_CAMPAIGN_RANK)
        if not rank:
            return True
        await asyncio.sleep(rank * constants.CAMPAIGN_STAGGER_S)
        return await self._ledger.get(LEADER_KEY) is None

    async def _campaign(self) -> None:
        self.set_leader(None)
        if not await self._wait_turn():
            return
        requested_at = self._clock.now()
        self._ttl_s = self.lease_duration_s()
        permit = await self._ledger.grant_lease(self._ttl_s)
        value = LeaderValue(self.member, self._next_nonce(), self._ttl_s, self.home)
        write = {"write": LEADER_KEY, "v": value, "permit": permit}

        async def observe() -> int:
            """The key's revision if the commit was executed, which the nonce shows; else 0."""
            row = await self._ledger.get(LEADER_KEY)
            is_own = row is not None and msgspec.json.decode(row.v, type=LeaderValue) == value
            return row.stamp if row is not None and is_own else 0

        try:
            commit = self._ledger.commit({LEADER_KEY: 0}, [write])
            token = await self._ledger.commit_or_observe(commit, observe)
        except NoAnswer:
            token = await observe()
            if not token:
                raise
        await self._start_leading(token, permit, requested_at)

    async def _start_leading(self, token: int, permit: int, requested_at: float) -> None:
        """Lead under the own key, with a lease that was requested at `requested_at`."""
        self._permit, self._renewal_sent_at = permit, requested_at
        self.lease_expiry.reset()
        self.lease_expiry.record_renewal(requested_at, self._ttl_s)
        if not self.lease_expiry.is_valid() or not self.is_eligible():
            return  # too slow: the lease may have ended already
        self.token, self.highest_token = token, token
        self.set_leader(self.member)
        self._stepped_down.clear()
        self._ledger.set_leading(True)
        log.info("leadership acquired: token %d, lease %.1f s", token, self._ttl_s)
        self._on_lead(token)
        await self._keep_lease()

    async def _keep_lease(self) -> None:
        """Renew the lease until it is lost, or could not be renewed for too long."""
        renewals: set[asyncio.Task[None]] = set()
        suspended_logged = False  # whether that was logged
        try:
            while self.token:
                acting = self.may_act()
                if acting is suspended_logged:
                    suspended_logged = not acting
                    self._log_validity(acting)
                usual = constants.LEASE_RENEWAL_INTERVAL_RATIO * self._ttl_s
                pause = usual if acting else constants.STATE_RETRY_INTERVAL_S
                try:
                    async with asyncio.timeout(pause):
                        await self._stepped_down.wait()
                    return
                except TimeoutError:
                    pass
                if len(renewals) < constants.MAX_CONCURRENT_RENEWALS:
                    renewal = asyncio.create_task(self._renew())
                    renewals.add(renewal)
                    renewal.add_done_callback(renewals.discard)
        finally:
            for renewal in renewals:
                renewal.cancel()

    def _log_validity(self, acting: bool) -> None:
        """Log that the lease can no longer be proved valid, or can be again."""
        extra = {"token": self.token, "left_s": round(self.lease_expiry.worker_grace_left_s(), 1)}
        if acting:
            log.warning("lease proved valid again: token %d", self.token, extra=extra)
        else:
            log.warning(
                "lease no longer proved valid: token %d, decisions are suspended, worker leases are"
                " renewed for %.1f s more",
                self.token,
                self.lease_expiry.worker_grace_left_s(),
                extra=extra,
            )

    async def _renew(self) -> None:
        """Send one renewal; the lease counts from when it was sent."""
        sent_at = self._clock.now()
        before, self._renewal_sent_at = self._renewal_sent_at, sent_at
        if sent_at - before > self._ttl_s:
            self._renewal_failed_at = sent_at  # this process was suspended
        try:
            alive = await self._ledger.renew_lease(
                self._permit, constants.STATE_REQUEST_TIMEOUT_S / 2
            )
        except (NoAnswer, NotExecuted) as error:
            log.debug("lease renewal failed: %s", error)
            self._renewal_failed_at = self._clock.now()
            alive = self.may_renew_workers()
            if not alive:
                log.warning(
                    "worker leases no longer renewed: token %d, state service out of reach",
                    self.token,
                )
        else:
            if alive:
                self.lease_expiry.record_renewal(sent_at, self._ttl_s)
            elif self.token:
                if sent_at - self._renewal_failed_at > 2 * self._ttl_s:
                    self.lease_lost_while_healthy_at = self._clock.now()
                log.warning("lease lost: stepping down")
        if not alive:
            self.step_down()
