"""Planned handover: a leader that runs but can't serve transfers the lead.

The successor has to prove, at the time of the handover, that it reaches what the leader does
not. Pauses between attempts keep the lead from moving back and forth (`membership.leader_health`).
A single commit transfers the leader key (`Leadership.hand_over`).
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.membership.leader_health import CLOUD, WORKERS, LeaderHealth
from chalkgrade.membership.messages import leader_preference
from chalkgrade.membership.views import ALIVE, Views
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.renting.cloud import CloudClient
from chalkgrade.state.client import NotExecuted, Rejected
from chalkgrade.state.leadership import Leadership

log = logging.getLogger("chalkgrade.handover")


class SuccessorOffer(msgspec.Struct):
    """A successor's answer: its lease, and the nonce that marks the leader key as its own."""

    permit: int  # the lease in the state service
    nonce: str
    lease_s: float  # duration of that lease, s
    home: str = ""  # see `LeaderValue`


class Handover:
    """Both sides of a handover: the leader that transfers and the controller that takes over."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        views: Views,
        leadership: Leadership,
        cloud: CloudClient,
        report_s: float,
        machines: Callable[[], int],
    ) -> None:
        """`report_s`: the workers' report interval; `machines`: counts those known to be up."""
        self.clock = clock
        self.peers = peers
        self.views = views
        self.leadership = leadership
        self.cloud = cloud
        self.reporting_machine_count = machines
        self.fitness = LeaderHealth(clock, report_s)
        self.direct_report_at = -1e9  # when a worker last reported to this controller directly
        self.counts: dict[str, int] = {}  # handovers by outcome: given, failed

    async def run(self) -> None:
        """While leading, check periodically whether the lead should be transferred."""
        while True:
            await asyncio.sleep(constants.HEALTH_CHECK_INTERVAL_S)
            if not self.leadership.may_act():
                continue
            cloud = self.cloud
            why = self.fitness.handover_reason(
                cloud.last_response_at,
                cloud.is_reachable(),
                self.direct_report_at,
                self.reporting_machine_count(),
            )
            if why:
                await self.transfer_lead(why)

    async def transfer_lead(self, why: str) -> bool:
        """Try to transfer the lead to a willing candidate; True if the key was transferred."""
        moved = False
        for member in self.candidates()[: constants.MAX_HANDOVER_CANDIDATES]:
            try:
                message = {"q": "succeed", "arg": why}
                reply = await self.peers.ask(member, message, constants.HANDOVER_REQUEST_TIMEOUT_S)
                if reply.get("status") != 200:
                    continue
                ready = msgspec.convert(reply.get("body"), SuccessorOffer)
            except (NoAnswer, msgspec.ValidationError) as error:
                log.debug("handover refused: %s can't take over: %s", member, error)
                continue
            if not self.leadership.may_act():
                break
            log.warning(
                "transferring the lead to %s: this leader does not reach the %s", member, why
            )
            moved = await self.leadership.hand_over(member, *msgspec.structs.astuple(ready))
            self.counts["given" if moved else "failed"] = (
                self.counts.get("given" if moved else "failed", 0) + 1
            )
            break
        self.fitness.record_handover(moved)
        return moved

    def candidates(self) -> list[str]:
        """Return the controllers that could lead next, the most suitable first."""
        statuses = [
            s for s in self.views.recent_statuses() if self.views.state_of(s.member) == ALIVE
        ]
        statuses = [status for status in statuses if not status.aside]
        return [status.member for status in sorted(statuses, key=leader_preference)]

    async def answer_takeover_request(self, why: Any) -> dict[str, Any]:
        """Answer a leader that asks this controller to take over.

        `why` names what the leader does not reach. The answer is a SuccessorOffer if this
        controller reaches it, otherwise status 503.
        """
        refusal = {"status": 503, "body": {}}
        if not self.leadership.is_eligible() or self.leadership.token:
            return refusal
        try:
            if why == CLOUD:
                async with asyncio.timeout(constants.HANDOVER_REQUEST_TIMEOUT_S / 2):
                    await self.cloud.list_flavors()
            elif (
                why != WORKERS
                or self.clock.now() - self.direct_report_at > constants.UNHEALTHY_LEADER_TIMEOUT_S
            ):
                return refusal
            offer = await self.leadership.prepare_takeover()
        except (NoAnswer, NotExecuted, Rejected, TimeoutError):
            return refusal
        ready = SuccessorOffer(offer.permit, offer.nonce, offer.lease_s, self.leadership.home)
        return {"status": 200, "body": msgspec.to_builtins(ready)}
