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
from chalkgrade.serving.record_reader import Answer
from chalkgrade.state.leadership import Leadership

log = logging.getLogger("chalkgrade.reception")


class _Redirect(NamedTuple):
    """When a worker was last sent on from here, and by which of its reports."""

    at: float
    report_key: tuple[int, int]


class ReportRouter:
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
        self.leaderless_since: float | None = None  # since when we know of nobody that leads
        self.redirects: dict[str, _Redirect] = {}  # worker -> when we last dealt with it
        self.relayed_since: dict[str, float] = {}  # worker -> since when its reports are carried on
        self.returns_at: deque[float] = deque()  # when workers came back from the leader
        self.redirect_leader = ""  # the leader that these three are about
        self.turned_away_at: dict[str, float] = {}  # worker -> when it was sent to look for another

    async def handle_report(self, report: Report, body: bytes) -> Answer:
        """A worker's own report."""
        await self._wait_for_leader()
        term = self.term()
        if term is not None:
            # A report may show a newer leader's token: then we are no leader any more.
            if self._serves_worker(report) and term.ready:
                status, answer = await term.hello(report)
                if status == 200:
                    return status, answer
            else:
                self.leadership.heard(report.baton)
        return await self._redirect_or_relay(report, body)

    def _serves_worker(self, report: Report) -> bool:
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
        back = now - self.turned_away_at.get(report.host, -1e9) < self.lease_s
        if not back:
            self.turned_away_at[report.host] = now
        return back

    async def _wait_for_leader(self) -> None:
        """Keep a report while nobody surely leads, so that its worker is sent to the next one.

        A worker that is sent to a leader that is gone, or is told nothing, comes to it
        seconds later. Bounded in time, well below the 4 s after which workers give up.
        A leader that only we do not reach keeps its lease: then workers look elsewhere.
        """
        now = self.clock.now()
        if self._has_available_leader():
            self.leaderless_since = None
            return
        if self.leaderless_since is None:
            self.leaderless_since = now
        most = self.leaderless_since + constants.LEADERLESS_S
        deadline = min(most, now + constants.LEADER_HOLD_S)
        while self.clock.now() < deadline and not self._has_available_leader():
            term = self.term()
            waits_for = self.leadership.changed if term is None else term.loaded
            await waits_for.wait(deadline - self.clock.now())

    def _has_available_leader(self) -> bool:
        """Whether a report can be answered or sent on: here, or by a leader that is there."""
        term = self.term()
        if term is not None:
            return term.ready or not self.leadership.acting()
        leader = self.leadership.leader
        return (
            leader is not None and leader != self.leadership.member and self.is_leader_reachable()
        )

    async def _redirect_or_relay(self, report: Report, body: bytes) -> Answer:
        """Send a worker to the leader, or take its report there if it can't reach it itself.

        A leader that workers can't hear keeps the lead: its lease and the other
        controllers are what it needs, and they carry the reports.
        """
        leader, now = self.leadership.leader, self.clock.now()
        if leader is None or leader == self.leadership.member or not self.is_leader_reachable():
            return 421, {}
        if leader != self.redirect_leader:
            # Who was sent to another leader and comes here now is no proof against this one.
            self.redirect_leader = leader
            self.redirects.clear()
            self.relayed_since.clear()
            self.returns_at.clear()
        key = (report.tenure, report.seq)
        last = self.redirects.get(report.host, _Redirect(-1e9, (0, 0)))
        if key <= last.report_key:
            return 421, {"reportsTo": leader}  # a copy: nobody came back from anywhere
        # Who tried the leader waited for a second after that: what comes sooner was sent before,
        # and the one before it was a copy, as they come in the first second of a term.
        came_back = constants.RELAY_LEAST_S <= now - last.at < constants.RELAY_WINDOW_S
        if came_back:
            self.views.returned(leader)
        if came_back and report.host not in self.relayed_since:
            self.relayed_since[report.host] = now
            self.returns_at.append(now)
        while self.returns_at and now - self.returns_at[0] > constants.BOUNCE_S:
            self.returns_at.popleft()
        # Where several came back, the leader hears none of them: nobody else need find out.
        deaf = len(self.returns_at) >= constants.BOUNCES
        begun = self.relayed_since.get(report.host, now)
        if (came_back or deaf) and now - begun < constants.RELAY_S:
            self.relayed_since[report.host] = begun
            self.redirects[report.host] = _Redirect(now, key)
            try:
                message = {"q": "hello", "arg": msgspec.json.decode(body)}
                reply = await self.peers.ask(leader, message, constants.RELAY_TIMEOUT_S)
                if reply.get("status") == 200:
                    return 200, reply.get("body") or {}
            except NoAnswer as error:
                log.debug("relay to %s: %s", leader, error)
            return 421, {}
        # Not seen lately, or relayed for so long that the way may be open again.
        self.relayed_since.pop(report.host, None)
        self.redirects[report.host] = _Redirect(now, key)
        if len(self.redirects) > 10_000:
            self.redirects = {
                h: t for h, t in self.redirects.items() if now - t.at < constants.RELAY_WINDOW_S
            }
            self.relayed_since = {
                h: t for h, t in self.relayed_since.items() if h in self.redirects
            }
        return 421, {"reportsTo": leader}

    def is_leader_reachable(self) -> bool:
        """Whether who leads can be reached, as far as we know; ourselves, while we lead."""
        leader = self.leadership.leader
        if leader == self.leadership.member:
            return self.leadership.acting()
        return self.views.trusted(leader or "")
