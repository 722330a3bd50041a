"""Registration of a controller: its own leased key in the state service, and those of others.

The revision of the key is the first part of the incarnation. A process that finds its key
written by another process of the same name is superseded and stops serving: the later writer is
certainly the newer process. It registers again once the lease of the newer process has ended.
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
REQUEST_ERRORS = (NoAnswer, NotExecuted, Rejected, Conflict, msgspec.DecodeError)


class Registration:
    """Keeps this controller registered, and watches the registrations of the others.

    `permit` is the id of the lease that the own key is attached to.
    """

    def __init__(
        self,
        ledger: LedgerClient,
        views: Views,
        retry_delay_s: Callable[[], float],
        on_superseded: Callable[[], None],
    ) -> None:
        self.ledger = ledger
        self.views = views
        self.retry_delay_s = retry_delay_s  # random, so that controllers do not retry all at once
        self.on_superseded = on_superseded
        self.is_superseded = False  # by a newer process of the same name
        self.key = MEMBERS_PREFIX + views.own_member
        self.permit = 0
        self.is_registered = False
        self.loops: list[Callable[[], Coroutine[None, None, None]]] = [
            self.keep_registered,
            self.watch_members,
        ]

    async def keep_registered(self) -> None:
        """Register this controller and renew its lease for ever."""
        while True:
            try:
                if not self.is_registered:
                    await self._register()
                elif not await self.ledger.renew_lease(
                    self.permit, constants.STATE_REQUEST_TIMEOUT_S
                ):
                    self.is_registered = False  # the lease has ended, and the key with it
                    continue
            except REQUEST_ERRORS as error:
                log.debug("registration failed: %s", error)
                await asyncio.sleep(self.retry_delay_s())
                continue
            await asyncio.sleep(constants.MEMBER_LEASE_RENEWAL_INTERVAL_S)

    async def _register(self) -> None:
        row = await self.ledger.get(self.key)
        if row is not None and self.is_superseded:
            return  # the newer process still holds the key
        value = RegistrationValue(self.views.own_member, self.views.own_process)
        if (
            row is not None
            and row.permit
            and msgspec.json.decode(row.v, type=RegistrationValue) == value
        ):
            # The key was written and only the answer was lost. Writing it again could lose the
            # answer again.
            permit, stamp = row.permit, row.stamp
        else:
            permit = await self.ledger.grant_lease(constants.MEMBER_LEASE_S)
            write = {"write": self.key, "v": value, "permit": permit}
            stamp = await self.ledger.commit({self.key: row.stamp if row else 0}, [write])
        self.permit, self.is_registered = permit, True
        self.views.stamp, self.views.refutation_count = stamp, 0
        if self.is_superseded:
            self.is_superseded = False
            log.warning("registration restored: the newer process of this name has ended")

    async def watch_members(self) -> None:
        """Watch the keys of all controllers for ever."""
        revision = 0
        while True:
            try:
                if not revision:
                    rows, revision = await self.ledger.scan(MEMBERS_PREFIX)
                    for row in rows:
                        self._observe_key(row.k, row.v, row.stamp)
                    present_members = {row.k.removeprefix(MEMBERS_PREFIX) for row in rows}
                    for member, view in self.views.by_member.items():
                        if view.lease == "held" and member not in present_members:
                            self.views.record_lease(member, "ended")  # missed while not watching
                found = await self.ledger.watch_changes(
                    MEMBERS_PREFIX, revision, constants.LONG_WATCH_BLOCK_S
                )
                for change in found.log:
                    if change.write is not None:
                        self._observe_key(change.write, change.v, change.stamp)
                    elif change.remove is not None:
                        self.views.record_lease(change.remove.removeprefix(MEMBERS_PREFIX), "ended")
                revision = max(revision, found.ledgerRev)
            except Compacted:
                revision = 0
            except REQUEST_ERRORS as error:
                log.debug("watch of member keys failed: %s", error)
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
                    "registration superseded: a newer process is registered as %s, stops serving",
                    self.views.own_member,
                )
                self.on_superseded()
