"""Routes workers' reports: answered here, redirected or relayed to the leader, or turned away.

A report may be a delayed duplicate. So conclusions from workers that return are drawn from the
order of the reports' own numbers, not from the order of arrival.
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
    """The last time a worker was redirected or relayed, and the report that caused it."""

    at: float  # monotonic time, s
    report_key: tuple[int, int]  # (tenure, seq) of the report


class ReportRouter:
    """Handles the reports that reach one controller, whether it leads or not."""

    def __init__(
        self,
        leadership: Leadership,
        views: Views,
        peers: Peers,
        clock: Clock,
        lease_s: float,
        term: Callable[[], Term | None],
    ) -> None:
        """`lease_s`: a worker's lease; `term`: this node's term, while it leads."""
        self.leadership = leadership
        self.views = views
        self.peers = peers
        self.clock = clock
        self.lease_s = lease_s
        self.term = term
        self.leaderless_since: float | None = None  # since when no leader is known
        self.redirects: dict[str, _Redirect] = {}  # worker -> its last redirect
        self.relayed_since: dict[str, float] = {}  # worker -> start of relaying
        self.returns_at: deque[float] = deque()  # when redirected workers returned
        self.redirect_leader = ""  # the leader that these three refer to
        self.turned_away_at: dict[str, float] = {}  # worker -> when it was sent to find a leader

    async def handle_report(self, report: Report, body: bytes) -> Answer:
        """Answer a report that a worker sent to this controller."""
        await self._wait_for_leader()
        term = self.term()
        if term is not None:
            # A report that carries a newer leader's token ends this node's lead.
            if self._serves_worker(report) and term.ready:
                status, answer = await term.handle_report(report, len(body))
                if status == 200:
                    return status, answer
            else:
                self.leadership.observe_token(report.baton)
        return await self._redirect_or_relay(report, body)

    def _serves_worker(self, report: Report) -> bool:
        """Return whether to answer as the worker's leader: while leading and a bounded time after.

        That time covers outages of the state service, during which no other controller can
        become leader. If other controllers reach the state service, or none can be reached, there
        may be another leader: the worker is first sent to look for it. Only if it returns within
        its lease is it served here, so that its work is not lost because nobody renews its lease.
        """
        if self.leadership.may_act():
            return True
        if not self.leadership.may_renew_workers():
            return False
        words = self.views.recent_statuses()
        if not self.views.by_member or (words and not any(word.state for word in words)):
            return True
        now = self.clock.now()
        has_returned = now - self.turned_away_at.get(report.host, -1e9) < self.lease_s
        if not has_returned:
            self.turned_away_at[report.host] = now
        return has_returned

    async def _wait_for_leader(self) -> None:
        """Hold a report while no leader is available, so that its worker reaches the next one soon.

        A worker that is redirected to a failed leader, or gets no address, reaches the new leader
        only seconds later. The wait is well below the 4 s after which workers give up. It ends
        for good after `MAX_NO_LEADER_S`: then the leader is only out of this controller's reach and
        keeps its lease, and workers have to try other controllers.
        """
        now = self.clock.now()
        if self._has_available_leader():
            self.leaderless_since = None
            return
        if self.leaderless_since is None:
            self.leaderless_since = now
        latest = self.leaderless_since + constants.MAX_NO_LEADER_S
        deadline = min(latest, now + constants.NO_LEADER_REPORT_HOLD_S)
        while self.clock.now() < deadline and not self._has_available_leader():
            term = self.term()
            signal = self.leadership.leader_changed if term is None else term.record_loaded
            await signal.wait(deadline - self.clock.now())

    def _has_available_leader(self) -> bool:
        """Return whether a report can be answered here, or by a leader that can be reached."""
        term = self.term()
        if term is not None:
            return term.ready or not self.leadership.may_act()
        leader = self.leadership.leader
        return (
            leader is not None and leader != self.leadership.member and self.is_leader_reachable()
        )

    async def _redirect_or_relay(self, report: Report, body: bytes) -> Answer:
        """Redirect a worker to the leader, or relay its report if it can't reach the leader itself.

        A leader that workers don't reach keeps the lead as long as it reaches the state service
        and the other controllers, which relay the reports.
        """
        leader, now = self.leadership.leader, self.clock.now()
        if leader is None or leader == self.leadership.member or not self.is_leader_reachable():
            return 421, {}
        if leader != self.redirect_leader:
            # Workers that return from an earlier leader say nothing about this one.
            self.redirect_leader = leader
            self.redirects.clear()
            self.relayed_since.clear()
            self.returns_at.clear()
        key = (report.tenure, report.seq)
        last = self.redirects.get(report.host, _Redirect(-1e9, (0, 0)))
        if key <= last.report_key:
            return 421, {"reportsTo": leader}  # a duplicate: the worker did not return
        # A worker that has tried the leader waits for 1 s before it returns. A report that comes
        # sooner was sent before the redirect, and the one that caused the redirect was a duplicate,
        # as happens in the first second of a term.
        has_returned = (
            constants.MIN_REDIRECT_RETURN_S <= now - last.at < constants.MAX_REDIRECT_RETURN_S
        )
        if has_returned:
            self.views.record_worker_return(leader)
        if has_returned and report.host not in self.relayed_since:
            self.relayed_since[report.host] = now
            self.returns_at.append(now)
        while self.returns_at and now - self.returns_at[0] > constants.RETURNED_WORKERS_WINDOW_S:
            self.returns_at.popleft()
        # If several returned, no worker reaches the leader: relay for all, without trying first.
        leader_unreached = len(self.returns_at) >= constants.MIN_RETURNED_WORKERS
        relay_started_at = self.relayed_since.get(report.host, now)
        if (has_returned or leader_unreached) and now - relay_started_at < constants.RELAY_PERIOD_S:
            self.relayed_since[report.host] = relay_started_at
            self.redirects[report.host] = _Redirect(now, key)
            try:
                message = {"q": "hello", "arg": msgspec.json.decode(body)}
                reply = await self.peers.ask(leader, message, constants.RELAYED_REPORT_TIMEOUT_S)
                if reply.get("status") == 200:
                    return 200, reply.get("body") or {}
            except NoAnswer as error:
                log.debug("relay failed: to %s: %s", leader, error)
            return 421, {}
        # Not seen recently, or relayed for so long that the leader may be reachable again.
        self.relayed_since.pop(report.host, None)
        self.redirects[report.host] = _Redirect(now, key)
        if len(self.redirects) > 10_000:
            self.redirects = {
                h: t
                for h, t in self.redirects.items()
                if now - t.at < constants.MAX_REDIRECT_RETURN_S
            }
            self.relayed_since = {
                h: t for h, t in self.relayed_since.items() if h in self.redirects
            }
        return 421, {"reportsTo": leader}

    def is_leader_reachable(self) -> bool:
        """Return whether the leader is believed reachable; for this node, whether it may act."""
        leader = self.leadership.leader
        if leader == self.leadership.member:
            return self.leadership.may_act()
        return self.views.is_reachable(leader or "")
