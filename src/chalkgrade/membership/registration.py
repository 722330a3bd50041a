"""A controller's own key in the state service: its lease, and the leases of the others.

The key's revision is the incarnation's first part. Who finds its key written by another
process of its name stands aside for it: the later writer is the newer process, and that
can't be wrong. It comes back once that one's lease has ended.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine

import msgspec

from chalkgrade import constants
from chalkgrade.membership.messages import RegistrationValue
from chalkgrade.membership.views import Views
from chalkgrade.outside import NoAnswer
from chalkgrade.state.client import Compacted, Conflict, LedgerClient, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.membership")

MEMBERS_PREFIX = "cg/members/"
FAILURES = (NoAnswer, NotExecuted, Rejected, Conflict, msgspec.DecodeError)


class Registration:
    """Joins, keeps the lease, and hears of the others' leases."""

    def __init__(
        self,
        ledger: LedgerClient,
        views: Views,
        rng_s: Callable[[], float],
        aside: Callable[[], None],
    ) -> None:
        self.ledger = ledger
        self.views = views
        self.retry_delay_s = rng_s  # a pause, so that all do not come back at once; s
        self.on_superseded = aside
        self.is_superseded = False
        self.key = MEMBERS_PREFIX + views.own_member
        self.permit = 0
        self.is_registered = False
        self.loops: list[Callable[[], Coroutine[None, None, None]]] = [
            self.keep_registered,
            self.watch_members,
        ]

    async def keep_registered(self) -> None:
        """Be registered, and stay so."""
        while True:
            try:
                if not self.is_registered:
                    await self._register()
                elif not await self.ledger.renew_lease(self.permit, constants.STATE_TIMEOUT_S):
                    self.is_registered = False  # our lease has ended, and our key with it
                    continue
            except FAILURES as error:
                log.debug("registration: %s", error)
                await asyncio.sleep(self.retry_delay_s())
                continue
            await asyncio.sleep(constants.MEMBER_TOUCH_S)

    async def _register(self) -> None:
        row = await self.ledger.get(self.key)
        if row is not None and self.is_superseded:
            return  # the newer process still holds it
        value = RegistrationValue(self.views.own_member, self.views.own_process)
        if (
            row is not None
            and row.permit
            and msgspec.json.decode(row.v, type=RegistrationValue) == value
        ):
            # Only the answer was lost: registered once more, it would be lost again.
            permit, stamp = row.permit, row.stamp
        else:
            permit = await self.ledger.grant_lease(constants.MEMBER_TTL_S)
            write = {"write": self.key, "v": value, "permit": permit}
            stamp = await self.ledger.commit({self.key: row.stamp if row else 0}, [write])
        self.permit, self.is_registered = permit, True
        self.views.stamp, self.views.refutation_count = stamp, 0
        if self.is_superseded:
            self.is_superseded = False
            log.warning("the other process of our name is gone: we serve again")

    async def watch_members(self) -> None:
        """Hear of all keys of controllers."""
        revision = 0
        while True:
            try:
                if not revision:
                    rows, revision = await self.ledger.scan(MEMBERS_PREFIX)
                    for row in rows:
                        self._observe_key(row.k, row.v, row.stamp)
                    there = {row.k.removeprefix(MEMBERS_PREFIX) for row in rows}
                    for member, view in self.views.by_member.items():
                        if view.lease == "held" and member not in there:
                            self.views.record_lease(member, "ended")  # while the watch was blind
                found = await self.ledger.watch_changes(
                    MEMBERS_PREFIX, revision, constants.WATCH_BLOCK_S
                )
                for change in found.log:
                    if change.write is not None:
                        self._observe_key(change.write, change.v, change.stamp)
                    elif change.remove is not None:
                        self.views.record_lease(change.remove.removeprefix(MEMBERS_PREFIX), "ended")
                revision = max(revision, found.ledgerRev)
            except Compacted:
                revision = 0
            except FAILURES as error:
                log.debug("watch of members: %s", error)
                await asyncio.sleep(self.retry_delay_s())

    def _observe_key(self, key: str, value: msgspec.Raw, stamp: int) -> None:
        member = key.removeprefix(MEMBERS_PREFIX)
        if member != self.views.own_member:
            self.views.record_lease(member, "held")
            return
        found = msgspec.json.decode(value, type=RegistrationValue)
        if found.process != self.views.own_process and stamp > self.views.stamp > 0:
            self.is_registered = False
            if not self.is_superseded:
                self.is_superseded = True
                log.error(
                    "another process is %s too, and newer: this one stands aside",
                    self.views.own_member,
                )
                self.on_superseded()
