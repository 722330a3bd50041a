"""Gathers evidence: asks the others, and on their behalf."""

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
    """The loop that asks. What it sends a second does not grow with the controllers."""

    def __init__(
        self,
        views: Views,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        word: Callable[[], MemberStatus],
        heard: Callable[[MemberStatus], None],
        leader: Callable[[], str | None],
    ) -> None:
        self.views = views
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.own_status = word  # what we say of ourselves
        self.on_status = heard  # told of each word that was taken in
        self.current_leader = leader
        self.probe_order = list(views.by_member)
        rng.shuffle(self.probe_order)  # else all ask the same one at once
        self.pings: dict[str, asyncio.Task[None]] = {}
        self.indirect_probes: dict[str, asyncio.Task[None]] = {}
        self.loops: list[Callable[[], Coroutine[None, None, None]]] = [self.run]

    async def run(self) -> None:
        """Ask the leader each time and one other in turn; look at what is known."""
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
            due = now + constants.TICK_S
            await asyncio.sleep(max(0.0, due - self.clock.now()))

    def ping_all(self) -> None:
        """Tell all at once what is new with us: who must step down should not wait its turn."""
        for member in self.probe_order[: constants.ANNOUNCE_MAX]:
            if member not in self.pings:
                self._spawn(self.pings, member, self._ping(member))

    def stop(self) -> None:
        for task in (*self.pings.values(), *self.indirect_probes.values()):
            task.cancel()

    def _next_targets(self) -> list[str]:
        out = []
        leader = self.current_leader()
        if leader in self.views.by_member:
            out.append(leader)
        for _ in range(min(len(self.probe_order), constants.PING_OTHERS)):
            self.probe_order.append(self.probe_order.pop(0))
            if self.probe_order[-1] not in out:
                out.append(self.probe_order[-1])
        return [member for member in out if member is not None]

    def _spawn(self, tasks: dict[str, asyncio.Task[None]], member: str, work: Any) -> None:
        task = tasks[member] = asyncio.create_task(work)
        task.add_done_callback(lambda _: tasks.pop(member, None))

    async def _ping(self, member: str) -> None:
        try:
            found = await self._ask(member, "ping", self.own_status(), constants.PING_TIMEOUT_S)
            word = msgspec.convert(found, MemberStatus)
        except NoAnswer as error:
            log.debug("peer %s: %s", member, error)
            self.views.record_no_answer(member)
            return
        except msgspec.ValidationError:
            self.views.drop_message("malformed")
            return
        if word.member != member:
            self.views.drop_message("lying")
        elif self.views.accept_status(word, answer=True):
            self.on_status(word)

    async def _ask(self, member: str, what: str, arg: Any, timeout: float) -> Any:
        reply = await self.peers.ask(member, {"q": what, "arg": arg}, timeout)
        if reply.get("status") != 200:
            raise NoAnswer(f"{member}: {reply.get('status')}")
        return reply.get("body")

    async def _probe_indirectly(self, member: str) -> None:
        """Ask two others whether they reach somebody who does not answer us."""
        helpers = [m for m, v in self.views.by_member.items() if m != member and v.state != SUSPECT]
        chosen = self.rng.sample(helpers, min(len(helpers), constants.PROBE_HELPERS))
        answers = await asyncio.gather(
            *(self._ask(helper, "reach", member, constants.PEER_TIMEOUT_S) for helper in chosen),
            return_exceptions=True,
        )
        reached, word = False, None
        for answer in answers:
            if isinstance(answer, BaseException):
                continue
            try:
                vouch = msgspec.convert(answer, ReachReply)
            except msgspec.ValidationError:
                self.views.drop_message("malformed")
                continue
            if vouch.reached:
                reached, word = True, vouch.word
        self.views.record_indirect_probe(member, word, reached)

    async def answer_peer(self, what: str, arg: Any) -> dict[str, Any] | None:
        """Answer a question of another controller; None for one that is not for us."""
        try:
            if what == "ping":
                word = msgspec.convert(arg, MemberStatus)
                if self.views.accept_status(word, answer=False):
                    self.on_status(word)
                return {"status": 200, "body": msgspec.to_builtins(self.own_status())}
            if what == "reach":
                return {"status": 200, "body": msgspec.to_builtins(await self._answer_reach(arg))}
        except msgspec.ValidationError as error:
            self.views.drop_message("malformed")
            return {"status": 400, "body": {"error": str(error)[:200]}}
        return None

    async def _answer_reach(self, member: Any) -> ReachReply:
        """Whether we have an answer of somebody, just now."""
        if not isinstance(member, str) or member not in self.views.by_member:
            return ReachReply(False)
        view, began = self.views.by_member[member], self.clock.now()
        if member not in self.pings:
            self._spawn(self.pings, member, self._ping(member))
        await asyncio.wait({self.pings[member]}, timeout=constants.REACH_S)
        return ReachReply(view.answered_at >= began, view.word)
