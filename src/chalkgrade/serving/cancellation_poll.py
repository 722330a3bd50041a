"""Polls the controllers for the cancellations that they have told users.

A leader that does not reach the state service can't tell an outage for all, in which nothing can
be cancelled, from one that affects only itself. So each controller notes a cancellation before it
tells a user of it. If every configured controller, in a process that started before the leader's
lease was last proved, lists what it has told since then, the leader knows every cancellation that
was told until it asked, and may renew its workers' leases for longer (`state.lease_expiry`).
A controller that is down, not reachable, just restarted or of an earlier version gives no list;
then the workers are let go when they would be without the poll.
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


class Told:
    """The cancellations that this process has told users, and when it first did."""

    def __init__(self, clock: Clock) -> None:
        """The list is complete from now on."""
        self._clock = clock
        self._complete_since = clock.now()  # the list is complete from this time on
        self._names: OrderedDict[str, float] = OrderedDict()  # job -> time

    def note_answer(self, status: int, body: dict[str, Any]) -> None:
        """Note an answer to a user before it is sent."""
        if status not in (200, 201) or body.get("status") != "withdrawn":
            return
        name = str(body.get("nameId", ""))
        if name in self._names:
            return
        self._names[name] = self._clock.now()
        while len(self._names) > constants.MAX_REMEMBERED_CANCELLATIONS:
            _, self._complete_since = self._names.popitem(last=False)

    def announced_within(self, ago_s: float) -> list[str] | None:
        """Return the cancellations told within the last `ago_s` seconds, or None if incomplete.

        The asking controller counts to the moment when it sent the request, so the time of
        transmission and the drift of both clocks are added.
        """
        begin = (
            self._clock.now()
            - ago_s * (1 + constants.CLOCK_DRIFT_RATIO)
            - constants.CANCELLATION_POLL_SLACK_S
        )
        if begin <= self._complete_since:
            return None
        return [name for name, at in self._names.items() if at >= begin]


class CancellationPoll:
    """Polls the other controllers while this leader's lease is not proved, and answers polls."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        others: list[str],
        leadership: Leadership,
        term: Callable[[], Term | None],
    ) -> None:
        """`others`: the other configured controllers; `term`: this node's term, while it leads."""
        self.announced = Told(clock)
        self._clock = clock
        self._peers = peers
        self._others = others
        self._leadership = leadership
        self._term = term

    async def run(self) -> None:
        """Poll periodically while this leader can't prove its lease but still has worker leases."""
        while True:
            await asyncio.sleep(constants.CANCELLATION_POLL_INTERVAL_S)
            term = self._term()
            if term is None or not term.ready:
                continue
            if self._leadership.may_act():
                term.withdraw_reported_cancellations()
            elif self._leadership.may_renew_workers():
                await self._poll_members(term)

    async def _poll_members(self, term: Term) -> None:
        expiry = self._leadership.lease_expiry
        asked_at = self._clock.now()
        ago_s = asked_at - expiry.cancellations_known_until
        request = {"q": "told", "arg": ago_s}
        answers = await asyncio.gather(
            *(self._peers.ask(m, request, constants.PEER_REQUEST_TIMEOUT_S) for m in self._others),
            return_exceptions=True,
        )
        lists = [
            self.announced.announced_within(ago_s),
            *(self._listed_jobs(answer) for answer in answers),
        ]
        if self._term() is not term:
            return
        # Apply the cancellations before the leader counts as knowing them all.
        term.apply_reported_cancellations({name for names in lists for name in names or ()})
        if all(names is not None for names in lists):
            expiry.record_peer_lists(asked_at)
            log.debug("cancellation lists complete: worker leases are renewed for longer")

    @staticmethod
    def _listed_jobs(answer: dict[str, Any] | BaseException) -> list[str] | None:
        """Return the jobs that one controller lists, or None if its list is not complete."""
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
        """Answer another controller's poll."""
        if isinstance(ago_s, bool) or not isinstance(ago_s, int | float) or not ago_s >= 0:
            return {"status": 400, "body": {"error": "seconds are needed"}}
        names = self.announced.announced_within(float(ago_s))
        if names is None:
            return {"status": 503, "body": {"error": "this process can't know all"}}
        return {"status": 200, "body": names}
