"""Who leads: a lease on one key, whose revision is the token.

The leader trusts its lease only until a time by its own clock that lies before
the earliest moment at which the state service could end it. Everybody else
waits for the key to vanish. The token grows with every leader because it is
the revision of the commit that made the leader key.
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
FAILURES = (NoAnswer, NotExecuted, Rejected)


class LeaderValue(msgspec.Struct):
    """Who leads; `nonce` tells its own commit from another's, and its process from others.

    `home`: what only one living process can hold, so that whoever holds it now knows that
    the one which wrote it has ended; empty where nothing of that kind is known.
    """

    member: str
    nonce: str
    lease_s: float = constants.LEASE_TTL_S
    home: str = ""


class _Offer(NamedTuple):
    """What a successor has made ready: its lease, a mark, and when it asked for the lease."""

    permit: int
    nonce: str
    lease_s: float
    requested_at: float


class Leadership:
    """This node's view of who leads, and its own lease if it does."""

    def __init__(
        self,
        ledger: LedgerClient,
        clock: Clock,
        rng: random.Random,
        member: str,
        spare_s: float,
        on_lead: Callable[[int], None],
        on_lose: Callable[[], None],
        home: str = "",
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self.member = member
        self.home = home
        self.lease_expiry = LeaseExpiry(clock, spare_s)
        self._process_id = f"{rng.getrandbits(64):016x}"  # of this process, in each of its nonces
        self._nonce_counter = itertools.count(1)
        self._on_lead = on_lead
        self._on_lose = on_lose
        self.token = 0  # our own token while we hold the lead, else 0
        self.leader: str | None = None  # who leads as far as we know
        self.highest_token = 0  # highest token heard of
        # Asked before each campaign: whether we may lead at all, how many better placed
        # controllers go first, and how long a lease should be; s.
        self.is_eligible: Callable[[], bool] = lambda: True
        self.campaign_rank: Callable[[], int] = lambda: 0
        self.lease_duration_s: Callable[[], float] = lambda: constants.LEASE_TTL_S
        self.lease_lost_while_healthy_at = -1e9  # when one ended though we ran and were served
        self.leader_changed = Signal()  # we know of another leader, or of none
        self._pending_offer: _Offer | None = None
        self._handing_over = False  # a commit that moves the key to a successor may be under way
        self._permit = 0
        self._ttl_s = constants.LEASE_TTL_S
        self._renewal_sent_at = self._renewal_failed_at = -1e9
        self._stepped_down = asyncio.Event()

    def may_act(self) -> bool:
        """Whether our lease is surely alive: only then may we decide anything."""
        return self.token > 0 and self.lease_expiry.is_valid()

    def may_renew_workers(self) -> bool:
        """Whether we may still keep worker leases alive: acting, or a bounded time after."""
        return self.token > 0 and self.lease_expiry.has_worker_grace()

    def observe_token(self, token: int, member: str | None = None) -> None:
        """Somebody showed us a token; a higher one than ours ends our lead at once."""
        if token > self.highest_token:
            self.highest_token = token
            if member is not None:
                self.set_leader(member)
        if self.token and token > self.token:
            log.warning("token %d is above ours (%d): stepping down", token, self.token)
            self.step_down()

    def step_down(self) -> None:
        """Stop leading now."""
        if self.token:
            self.token = 0
            if self.leader == self.member:
                self.set_leader(None)
            self._ledger.set_leading(False)
            self._stepped_down.set()
            self._on_lose()

    async def run(self) -> None:
        """Follow the key, campaign when it is gone, keep the lease while leading."""
        while True:
            try:
                row = await self._ledger.get(LEADER_KEY)
                if row is None:
                    await self._campaign()
                    continue
                ours = self._observe_row(row)
                value = msgspec.json.decode(row.v, type=LeaderValue)
                left_over = not self._handing_over and self._is_own_stale_key(value)
                if ours is None and row.permit is not None and left_over:
                    log.info("token %d is left over: ending its lease", row.stamp)
                    await self._ledger.revoke_lease(row.permit)
                ours = ours or await self._wait_for_change(row.stamp)
                if ours is not None:
                    await self._start_leading(*ours)
            except (*FAILURES, Conflict, Compacted, msgspec.DecodeError) as error:
                log.debug("leadership: %s", error)
                pause = constants.CAMPAIGN_PAUSE_S * (0.5 + self._rng.random())
                await asyncio.sleep(pause)

    def _observe_row(self, row: Row) -> tuple[int, int, float] | None:
        """Who leads by the key; what `_begin` needs if it was handed to us just now."""
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
        """Whether the key is in our name, and surely nobody acts or will act under it.

        Asked only while we neither lead nor are about to: a key with a nonce of this
        process is then one that it laid down, or whose commit came late. One of an earlier
        process is left over if that has ended, which holding its home proves; another
        living process of our name, or a frozen one, has another home or keeps us from
        starting. Without this a controller that is back at once waits for the end of its
        own lease, and everybody with it.
        """
        own = value.nonce.startswith(self._process_id)
        return value.member == self.member and (own or bool(self.home) and value.home == self.home)

    def _next_nonce(self) -> str:
        return f"{self._process_id}-{next(self._nonce_counter)}"

    # -- handing over -----------------------------------------------------------------

    async def prepare_takeover(self) -> "_Offer":
        """Get ready to be handed the lead: a lease of our own, and a mark to know it by."""
        begun, lease_s = self._clock.now(), self.lease_duration_s()
        permit = await self._ledger.grant_lease(lease_s)
        self._pending_offer = _Offer(permit, self._next_nonce(), lease_s, begun)
        return self._pending_offer

    async def hand_over(
        self, member: str, permit: int, nonce: str, lease_s: float, home: str = ""
    ) -> bool:
        """Move the key to a named successor in one commit; we lead no more, whatever happens.

        We stop acting before the commit is sent. If its answer is lost, it may be applied
        at any time: then nobody may act on our lease again, so it is ended, and the key
        goes with it unless it is the successor's already.
        """
        token, own = self.token, self._permit
        # Else our own loop, which may read the key before the commit is executed, takes it for
        # left over and ends its lease: the commit then fails, and everybody campaigns.
        self._handing_over = True
        self.step_down()
        try:
            moved = await self._move_key(token, LeaderValue(member, nonce, lease_s, home), permit)
            try:
                await self._ledger.revoke_lease(own)
            except FAILURES as error:
                log.debug("ending our lease: %s", error)
        finally:
            self._handing_over = False
        return moved

    async def _move_key(self, token: int, value: LeaderValue, permit: int) -> bool:
        """The commit that moves the key; whether it surely did."""
        write = {"write": LEADER_KEY, "v": value, "permit": permit}
        try:
            await self._ledger.commit({LEADER_KEY: token}, [write], constants.HANDOVER_S)
        except (*FAILURES, Conflict) as error:
            log.warning("handing over to %s: %s", value.member, error)
            return False
        return True

    def set_leader(self, member: str | None) -> None:
        """Who leads, as far as we know; whoever waits for it looks again."""
        if member != self.leader:
            self.leader = member
            self.leader_changed.fire()

    async def _wait_for_change(self, stamp: int) -> tuple[int, int, float] | None:
        """Wait until the key changes; an overlong wait ends in a fresh read.

        Returns what `_begin` needs if the key was handed to us.
        """
        changes = await self._ledger.watch_changes(LEADER_KEY, stamp, constants.LEADER_WATCH_S)
        ours = None
        for change in changes.log:
            ours = None
            if change.remove == LEADER_KEY:
                self.set_leader(None)
            elif change.write == LEADER_KEY:
                # What the watch brings need not be read once more.
                ours = self._observe_row(Row(LEADER_KEY, change.v, change.stamp))
        return ours

    async def _wait_turn(self) -> bool:
        """Whether the key is still free once those that are better placed had their turn."""
        if not self.is_eligible():
            await asyncio.sleep(constants.CAMPAIGN_PAUSE_S)
            return False
        rank = min(self.campaign_rank(), constants.CAMPAIGN_RANK_MAX)
        if not rank:
            return True
        await asyncio.sleep(rank * constants.CAMPAIGN_STEP_S)
        return await self._ledger.get(LEADER_KEY) is None

    async def _campaign(self) -> None:
        self.set_leader(None)
        if not await self._wait_turn():
            return
        begun = self._clock.now()
        self._ttl_s = self.lease_duration_s()
        permit = await self._ledger.grant_lease(self._ttl_s)
        value = LeaderValue(self.member, self._next_nonce(), self._ttl_s, self.home)
        write = {"write": LEADER_KEY, "v": value, "permit": permit}

        async def look() -> int:
            """It may have been applied: the nonce tells whether the key is ours."""
            row = await self._ledger.get(LEADER_KEY)
            ours = row is not None and msgspec.json.decode(row.v, type=LeaderValue) == value
            return row.stamp if row is not None and ours else 0

        try:
            commit = self._ledger.commit({LEADER_KEY: 0}, [write])
            token = await self._ledger.commit_or_observe(commit, look)
        except NoAnswer:
            token = await look()
            if not token:
                raise
        await self._start_leading(token, permit, begun)

    async def _start_leading(self, token: int, permit: int, begun: float) -> None:
        """Lead under a key that is ours, with a lease that was granted after `begun`."""
        self._permit, self._renewal_sent_at = permit, begun
        self.lease_expiry.reset()
        self.lease_expiry.record_renewal(begun, self._ttl_s)
        if not self.lease_expiry.is_valid() or not self.is_eligible():
            return  # too slow: the lease may be gone already
        self.token, self.highest_token = token, token
        self.set_leader(self.member)
        self._stepped_down.clear()
        self._ledger.set_leading(True)
        log.info("leading with token %d, lease %.1f s", token, self._ttl_s)
        self._on_lead(token)
        await self._keep_lease()

    async def _keep_lease(self) -> None:
        """Renew until the lease is lost, or was out of sight for too long."""
        touches: set[asyncio.Task[None]] = set()
        told = False  # that nothing is decided any more
        try:
            while self.token:
                acting = self.may_act()
                if acting is told:
                    told = not acting
                    self._log_validity(acting)
                usual = constants.TOUCHES * self._ttl_s
                pause = usual if acting else constants.STATE_PAUSE_S
                try:
                    async with asyncio.timeout(pause):
                        await self._stepped_down.wait()
                    return
                except TimeoutError:
                    pass
                if len(touches) < constants.TOUCHES_OPEN:
                    touch = asyncio.create_task(self._renew())
                    touches.add(touch)
                    touch.add_done_callback(touches.discard)
        finally:
            for touch in touches:
                touch.cancel()

    def _log_validity(self, acting: bool) -> None:
        """Say that the lease ran out of sight, or is back."""
        extra = {"token": self.token, "left_s": round(self.lease_expiry.worker_grace_left_s(), 1)}
        if acting:
            log.warning("token %d: the lease is proved again", self.token, extra=extra)
        else:
            log.warning(
                "token %d: the lease is not proved any more: nothing is started, workers are"
                " kept for %.1f s more",
                self.token,
                self.lease_expiry.worker_grace_left_s(),
                extra=extra,
            )

    async def _renew(self) -> None:
        """One renewal; the lease counts from when it was sent."""
        sent_at = self._clock.now()
        before, self._renewal_sent_at = self._renewal_sent_at, sent_at
        if sent_at - before > self._ttl_s:
            self._renewal_failed_at = sent_at  # we stood still
        try:
            alive = await self._ledger.renew_lease(self._permit, constants.STATE_TIMEOUT_S / 2)
        except (NoAnswer, NotExecuted) as error:
            log.debug("touch: %s", error)
            self._renewal_failed_at = self._clock.now()
            alive = self.may_renew_workers()
            if not alive:
                log.warning(
                    "token %d: no state service for too long: workers are let go", self.token
                )
        else:
            if alive:
                self.lease_expiry.record_renewal(sent_at, self._ttl_s)
            elif self.token:
                if sent_at - self._renewal_failed_at > 2 * self._ttl_s:
                    self.lease_lost_while_healthy_at = self._clock.now()
                log.warning("lease is gone: stepping down")
        if not alive:
            self.step_down()
