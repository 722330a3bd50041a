"""Planned handover: a leader that lives but does not serve gives the lead away.

Only to somebody that is surely better by a proof it gives just then, and not to and fro
(`membership.fitness`). One commit moves the key (`Leadership.hand_over`).
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.membership.fitness import CLOUD, WORKERS, Fitness
from chalkgrade.membership.views import ALIVE, Views
from chalkgrade.membership.words import placed
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.renting.cloud import Cloud
from chalkgrade.state.leadership import Leadership
from chalkgrade.state.ledger import NotExecuted, Rejected

log = logging.getLogger("chalkgrade.handover")


class SuccessorOffer(msgspec.Struct):
    """A successor's answer: its lease, and the mark by which it knows the key for its own."""

    permit: int
    nonce: str
    lease_s: float
    home: str = ""


class Handover:
    """Both sides: the leader that gives, and the controller that takes."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        views: Views,
        leadership: Leadership,
        cloud: Cloud,
        report_s: float,
        machines: Callable[[], int],
    ) -> None:
        self.clock = clock
        self.peers = peers
        self.views = views
        self.leadership = leadership
        self.cloud = cloud
        self.reporting_machine_count = machines  # that the leader knows to be up
        self.fitness = Fitness(clock, report_s)
        self.direct_report_at = -1e9  # when a worker's own report last reached us
        self.counts: dict[str, int] = {}

    async def run(self) -> None:
        """Look at ourselves once in a while, if we lead."""
        while True:
            await asyncio.sleep(constants.FITNESS_EVERY_S)
            if not self.leadership.acting():
                continue
            cloud = self.cloud
            why = self.fitness.why(
                cloud.answered_at,
                cloud.reached(),
                self.direct_report_at,
                self.reporting_machine_count(),
            )
            if why:
                await self.transfer_lead(why)

    async def transfer_lead(self, why: str) -> bool:
        """Look for somebody better and hand over; whether the key was moved."""
        moved = False
        for member in self.candidates()[: constants.HANDOVER_ASKED]:
            try:
                message = {"q": "succeed", "arg": why}
                reply = await self.peers.ask(member, message, constants.SUCCEED_S)
                if reply.get("status") != 200:
                    continue
                ready = msgspec.convert(reply.get("body"), SuccessorOffer)
            except (NoAnswer, msgspec.ValidationError) as error:
                log.debug("%s can't succeed: %s", member, error)
                continue
            if not self.leadership.acting():
                break
            log.warning("handing the lead to %s: we reach no %s", member, why)
            moved = await self.leadership.hand_over(member, *msgspec.structs.astuple(ready))
            self.counts["given" if moved else "failed"] = (
                self.counts.get("given" if moved else "failed", 0) + 1
            )
            break
        self.fitness.tried(moved)
        return moved

    def candidates(self) -> list[str]:
        """Who would lead next, the best placed first."""
        words = [w for w in self.views.fresh() if self.views.state(w.member) == ALIVE]
        words = [word for word in words if not word.aside]
        return [word.member for word in sorted(words, key=placed)]

    async def answer_takeover_request(self, why: Any) -> dict[str, Any]:
        """Asked to take over: prove that we reach what the leader does not, and get ready."""
        later = {"status": 503, "body": {}}
        if not self.leadership.able() or self.leadership.token:
            return later
        try:
            if why == CLOUD:
                async with asyncio.timeout(constants.SUCCEED_S / 2):
                    await self.cloud.flavors()
            elif why != WORKERS or self.clock.now() - self.direct_report_at > constants.UNFIT_S:
                return later
            offer = await self.leadership.offer()
        except (NoAnswer, NotExecuted, Rejected, TimeoutError):
            return later
        ready = SuccessorOffer(offer.permit, offer.nonce, offer.lease_s, self.leadership.home)
        return {"status": 200, "body": msgspec.to_builtins(ready)}
