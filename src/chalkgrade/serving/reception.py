"""Where a worker's report is answered: here, by the leader, or by nobody just now.

A report may be a late copy: what is concluded from workers that come and go goes by the
reports' own order, never by when they arrive.
"""

import logging
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from chalkgrade import constants
from chalkgrade.leading.term import Term
from chalkgrade.machines.fleet import Report
from chalkgrade.membership.views import Views
from chalkgrade.outside import Clock, NoAnswer, Peers
from chalkgrade.serving.reading import Answer
from chalkgrade.state.leadership import Leadership

log = logging.getLogger("chalkgrade.reception")


class _Sent(NamedTuple):
    """When a worker was last sent on from here, and by which of its reports."""

    at: float
    key: tuple[int, int]


class Reception:
    """One controller's dealings with reports, whoever leads."""

    def __init__(
        self,
        leadership: Leadership,
        views: Views,
        peers: Peers,
        clock: Clock,
        lease_s: float,
        term: Callable[[], Term | None],
    ) -> None:
        """`lease_s`: a worker's lease; `term`: our own term, while we lead."""
        self.leadership = leadership
        self.views = views
        self.peers = peers
        self.clock = clock
        self.lease_s = lease_s
        self.term = term
        self.leaderless_from: float | None = None  # since when we know of nobody that leads
        self.redirected: dict[str, _Sent] = {}  # worker -> when we last dealt with it
        self.relayed: dict[str, float] = {}  # worker -> since when its reports are carried on
        self.bounced: deque[float] = deque()  # when workers came back from the leader
        self.relays_to = ""  # the leader that these three are about
        self.sent_away: dict[str, float] = {}  # worker -> when it was sent to look for another

    async def hello(self, report: Report, body: bytes) -> Answer:
        """A worker's own report."""
        await self._wait_for_leader()
        term = self.term()
        if term is not None:
            # A report may show a newer leader's token: then we are no leader any more.
            if self._shelters(report) and term.ready:
                status, answer = await term.handle_report(report)
                if status == 200:
                    return status, answer
            else:
                self.leadership.heard(report.baton)
        return await self._redirect(report, body)

    def _shelters(self, report: Report) -> bool:
        """Whether we answer a worker as its leader: while we lead, and a bounded time after.

        That time is for outages of the state service, in which nobody else can lead. Where
        others reach it, or we reach nobody, somebody else may: a worker is sent to look for
        them first, and only if it comes back within its lease it is kept here, lest its work
        be lost to a lease that nobody renews.
        """
        if self.leadership.acting():
            return True
        if not self.leadership.sheltering():
            return False
        words = self.views.fresh()
        if not self.views.of or (words and not any(word.state for word in words)):
            return True
        now = self.clock.now()
        back = now - self.sent_away.get(report.host, -1e9) < self.lease_s
        if not back:
            self.sent_away[report.host] = now
        return back

    async def _wait_for_leader(self) -> None:
        """Keep a report while nobody surely leads, so that its worker is sent to the next one.

        A worker that is sent to a leader that is gone, or is told nothing, comes to it
        seconds later. Bounded in time, well below the 4 s after which workers give up.
        A leader that only we do not reach keeps its lease: then workers look elsewhere.
        """
        now = self.clock.now()
        if self._somebody_leads():
            self.leaderless_from = None
            return
        if self.leaderless_from is None:
            self.leaderless_from = now
        most = self.leaderless_from + constants.LEADERLESS_S
        deadline = min(most, now + constants.LEADER_HOLD_S)
        while self.clock.now() < deadline and not self._somebody_leads():
            term = self.term()
            waits_for = self.leadership.changed if term is None else term.record_loaded
            await waits_for.wait(deadline - self.clock.now())

    def _somebody_leads(self) -> bool:
        """Whether a report can be answered or sent on: here, or by a leader that is there."""
        term = self.term()
        if term is not None:
            return term.ready or not self.leadership.acting()
        leader = self.leadership.leader
        return leader is not None and leader != self.leadership.member and self.near()

    async def _redirect(self, report: Report, body: bytes) -> Answer:
        """Send a worker to the leader, or take its report there if it can't reach it itself.

        A leader that workers can't hear keeps the lead: its lease and the other
        controllers are what it needs, and they carry the reports.
        """
        leader, now = self.leadership.leader, self.clock.now()
        if leader is None or leader == self.leadership.member or not self.near():
            return 421, {}
        if leader != self.relays_to:
            # Who was sent to another leader and comes here now is no proof against this one.
            self.relays_to = leader
            self.redirected.clear()
            self.relayed.clear()
            self.bounced.clear()
        key = (report.tenure, report.seq)
        last = self.redirected.get(report.host, _Sent(-1e9, (0, 0)))
        if key <= last.key:
            return 421, {"reportsTo": leader}  # a copy: nobody came back from anywhere
        # Who tried the leader waited for a second after that: what comes sooner was sent before,
        # and the one before it was a copy, as they come in the first second of a term.
        came_back = constants.RELAY_LEAST_S <= now - last.at < constants.RELAY_WINDOW_S
        if came_back:
            self.views.returned(leader)
        if came_back and report.host not in self.relayed:
            self.relayed[report.host] = now
            self.bounced.append(now)
        while self.bounced and now - self.bounced[0] > constants.BOUNCE_S:
            self.bounced.popleft()
        # Where several came back, the leader hears none of them: nobody else need find out.
        deaf = len(self.bounced) >= constants.BOUNCES
        begun = self.relayed.get(report.host, now)
        if (came_back or deaf) and now - begun < constants.RELAY_S:
            self.relayed[report.host] = begun
            self.redirected[report.host] = _Sent(now, key)
            try:
                message = {"q": "hello", "arg": msgspec.json.decode(body)}
                reply = await self.peers.ask(leader, message, constants.RELAY_TIMEOUT_S)
                if reply.get("status") == 200:
                    return 200, reply.get("body") or {}
            except NoAnswer as error:
                log.debug("relay to %s: %s", leader, error)
            return 421, {}
        # Not seen lately, or relayed for so long that the way may be open again.
        self.relayed.pop(report.host, None)
        self.redirected[report.host] = _Sent(now, key)
        if len(self.redirected) > 10_000:
            self.redirected = {
                h: t for h, t in self.redirected.items() if now - t.at < constants.RELAY_WINDOW_S
            }
            self.relayed = {h: t for h, t in self.relayed.items() if h in self.redirected}
        return 421, {"reportsTo": leader}

    def near(self) -> bool:
        """Whether who leads can be reached, as far as we know; ourselves, while we lead."""
        leader = self.leadership.leader
        if leader == self.leadership.member:
            return self.leadership.acting()
        return self.views.trusted(leader or "")
