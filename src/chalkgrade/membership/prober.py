"""Gathers evidence on the other controllers: pings them, directly and on behalf of others."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.membership.messages import MemberStatus, ReachReply
from chalkgrade.membership.views import SUSPECT, Views
from chalkgrade.outside import Clock, NoAnswer, Peers

log = logging.getLogger("chalkgrade.membership")


class Prober:
    """The probing loop. Its send rate does not grow with the number of controllers."""

    def __init__(
        self,
        views: Views,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        own_status: Callable[[], MemberStatus],
        on_status: Callable[[MemberStatus], None],
        current_leader: Callable[[], str | None],
    ) -> None:
        self.views = views
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.own_status = own_status  # returns the status of this controller
        self.on_status = on_status  # called with each accepted status
        self.current_leader = current_leader
        self.probe_order = list(views.by_member)
        rng.shuffle(self.probe_order)  # else all controllers would ping the same one at once
        self.pings: dict[str, asyncio.Task[None]] = {}
        self.indirect_probes: dict[str, asyncio.Task[None]] = {}
        self.loops: list[Callable[[], Coroutine[None, None, None]]] = [self.run]

    async def run(self) -> None:
        """In each round ping the leader and others in turn, then update the states."""
        due = self.clock.now()
        while True:
            now = self.clock.now()
            self.views.record_loop_delay(max(0.0, now - due))
            for member in self._next_targets():
                if member not in self.pings:
                    self._spawn(self.pings, member, self._ping(member))
            for member in self.views.members_to_probe():
                if member not in self.indirect_probes:
                    self._spawn(self.indirect_probes, member, self._probe_indirectly(member))
            self.views.update_states()
            due = now + constants.PROBE_ROUND_INTERVAL_S
            await asyncio.sleep(max(0.0, due - self.clock.now()))

    def ping_all(self) -> None:
        """Send the status to the others at once, so that an old leader steps down soon."""
        for member in self.probe_order[: constants.MAX_ANNOUNCED_PEERS]:
            if member not in self.pings:
                self._spawn(self.pings, member, self._ping(member))

    def stop(self) -> None:
        """Cancel all open pings and probes."""
        for task in (*self.pings.values(), *self.indirect_probes.values()):
            task.cancel()

    def _next_targets(self) -> list[str]:
        out = []
        current_leader = self.current_leader()
        if current_leader in self.views.by_member:
            out.append(current_leader)
        for _ in range(min(len(self.probe_order), constants.PINGED_FOLLOWERS_PER_ROUND)):
            self.probe_order.append(self.probe_order.pop(0))
            if self.probe_order[-1] not in out:
                out.append(self.probe_order[-1])
        return [member for member in out if member is not None]

    def _spawn(self, tasks: dict[str, asyncio.Task[None]], member: str, work: Any) -> None:
        task = tasks[member] = asyncio.create_task(work)
        task.add_done_callback(lambda _: tasks.pop(member, None))

    async def _ping(self, member: str) -> None:
        try:
            found = await self._ask(
                member, "ping", self.own_status(), constants.PING_RESPONSE_TIMEOUT_S
            )
            status = msgspec.convert(found, MemberStatus)
        except NoAnswer as error:
            log.debug("ping failed: peer %s: %s", member, error)
            self.views.record_no_answer(member)
            return
        except msgspec.ValidationError:
            self.views.drop_message("malformed")
            return
        if status.member != member:
            self.views.drop_message("lying")
        elif self.views.accept_status(status, answer=True):
            self.on_status(status)

    async def _ask(self, member: str, what: str, arg: Any, timeout: float) -> Any:
        reply = await self.peers.ask(member, {"q": what, "arg": arg}, timeout)
        if reply.get("status") != 200:
            raise NoAnswer(f"{member}: {reply.get('status')}")
        return reply.get("body")

    async def _probe_indirectly(self, member: str) -> None:
        """Ask some other controllers whether they reach a member that does not answer here."""
        helpers = [m for m, v in self.views.by_member.items() if m != member and v.state != SUSPECT]
        chosen = self.rng.sample(helpers, min(len(helpers), constants.INDIRECT_PROBE_HELPER_COUNT))
        answers = await asyncio.gather(
            *(
                self._ask(helper, "reach", member, constants.PEER_REQUEST_TIMEOUT_S)
                for helper in chosen
            ),
            return_exceptions=True,
        )
        reached, status = False, None
        for answer in answers:
            if isinstance(answer, BaseException):
                continue
            try:
                reply = msgspec.convert(answer, ReachReply)
            except msgspec.ValidationError:
                self.views.drop_message("malformed")
                continue
            if reply.reached:
                reached, status = True, reply.word
        self.views.record_indirect_probe(member, status, reached)

    async def answer_peer(self, what: str, arg: Any) -> dict[str, Any] | None:
        """The answer to a request of another controller; None if it is not a membership request."""
        try:
            if what == "ping":
                status = msgspec.convert(arg, MemberStatus)
                if self.views.accept_status(status, answer=False):
                    self.on_status(status)
                return {"status": 200, "body": msgspec.to_builtins(self.own_status())}
            if what == "reach":
                return {"status": 200, "body": msgspec.to_builtins(await self._answer_reach(arg))}
        except msgspec.ValidationError as error:
            self.views.drop_message("malformed")
            return {"status": 400, "body": {"error": str(error)[:200]}}
        return None

    async def _answer_reach(self, member: Any) -> ReachReply:
        """Ping a member and report whether it answered in time."""
        if not isinstance(member, str) or member not in self.views.by_member:
            return ReachReply(False)
        view, began = self.views.by_member[member], self.clock.now()
        if member not in self.pings:
            self._spawn(self.pings, member, self._ping(member))
        await asyncio.wait({self.pings[member]}, timeout=constants.INDIRECT_PROBE_TIMEOUT_S)
        return ReachReply(view.answered_at >= began, view.word)
