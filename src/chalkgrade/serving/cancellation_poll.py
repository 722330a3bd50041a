"""Who was told of which cancellations: by it a leader without the state service keeps on.

In an outage for all nothing can be cancelled, but a leader can't tell it from a refusal that
meets only itself. The others can: whoever tells a user that a job is cancelled notes it first.
If every configured controller, in a process that began before the leader's last proof, lists
what it has told since then, the leader knows every cancellation that was told until it asked
(`state.shelter`). Whoever is down, cut off, just back or of an earlier version is silent, and
then the shelter ends as it would have.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.leading.term import Term
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.state.leadership import Leadership

log = logging.getLogger("chalkgrade.testimony")


class AnnouncedCancellations:
    """The cancellations that this process has told users of, and when it first did."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._complete_since = clock.now()  # nothing that was told since then is missing
        self._announced_at: OrderedDict[str, float] = OrderedDict()

    def note_answer(self, status: int, body: dict[str, Any]) -> None:
        """An answer to a user, before it is sent."""
        if status not in (200, 201) or body.get("status") != "withdrawn":
            return
        name = str(body.get("nameId", ""))
        if name in self._announced_at:
            return
        self._announced_at[name] = self._clock.now()
        while len(self._announced_at) > constants.TOLD_KEPT:
            _, self._complete_since = self._announced_at.popitem(last=False)

    def announced_within(self, ago_s: float) -> list[str] | None:
        """All that was told in the last so many seconds; None if this process can't know all.

        Who asks counts until its question was sent; its way here, and the drift of both
        clocks, are added.
        """
        begin = self._clock.now() - ago_s * (1 + constants.CLOCK_DRIFT) - constants.TOLD_SLACK_S
        if begin <= self._complete_since:
            return None
        return [name for name, at in self._announced_at.items() if at >= begin]


class CancellationPoll:
    """Asks all others while this leader only keeps its workers, and answers their questions."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        others: list[str],
        leadership: Leadership,
        term: Callable[[], Term | None],
    ) -> None:
        self.announced = AnnouncedCancellations(clock)
        self._clock = clock
        self._peers = peers
        self._others = others
        self._leadership = leadership
        self._term = term

    async def run(self) -> None:
        """Ask again and again, for ever."""
        while True:
            await asyncio.sleep(constants.TESTIMONY_EVERY_S)
            term = self._term()
            if term is None or not term.ready:
                continue
            if self._leadership.acting():
                term.doubt()
            elif self._leadership.sheltering():
                await self._poll_members(term)

    async def _poll_members(self, term: Term) -> None:
        shelter = self._leadership.shelter
        asked_at = self._clock.now()
        ago_s = asked_at - shelter.known_until
        question = {"q": "told", "arg": ago_s}
        answers = await asyncio.gather(
            *(self._peers.ask(m, question, constants.PEER_TIMEOUT_S) for m in self._others),
            return_exceptions=True,
        )
        lists = [
            self.announced.announced_within(ago_s),
            *(self._listed_jobs(answer) for answer in answers),
        ]
        if self._term() is not term:
            return
        # First what was told, then the knowledge: never the other way round.
        term.believe({name for names in lists for name in names or ()})
        if all(names is not None for names in lists):
            shelter.vouched(asked_at)
            log.debug("all controllers tell whom they told: workers are kept on")

    @staticmethod
    def _listed_jobs(answer: dict[str, Any] | BaseException) -> list[str] | None:
        """What one of them lists; None if it does not know all."""
        if isinstance(answer, NoAnswer):
            return None
        if isinstance(answer, BaseException):
            raise answer
        try:
            found = msgspec.convert(answer.get("body"), list[str])
        except msgspec.ValidationError:
            return None
        return found if answer.get("status") == 200 else None

    def answer_poll(self, ago_s: Any) -> dict[str, Any]:
        """Answer another controller."""
        if isinstance(ago_s, bool) or not isinstance(ago_s, int | float) or not ago_s >= 0:
            return {"status": 400, "body": {"error": "seconds are needed"}}
        names = self.announced.announced_within(float(ago_s))
        if names is None:
            return {"status": 503, "body": {"error": "this process can't know all"}}
        return {"status": 200, "body": names}
