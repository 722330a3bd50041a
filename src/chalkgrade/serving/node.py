"""One controller: its components wired together, without real input or output."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.extensions import subsystems
from chalkgrade.extensions.components import Sample, gauge, labelled_sample
from chalkgrade.leading.hints import HintExchange, Hints
from chalkgrade.leading.term import Term
from chalkgrade.machines.flavors import FLAVORS_KEY, Flavor, FlavorsValue
from chalkgrade.machines.fleet import Report
from chalkgrade.membership.messages import MemberStatus, format_process_id, leader_preference
from chalkgrade.membership.prober import Prober
from chalkgrade.membership.registration import Registration
from chalkgrade.membership.views import ALIVE, STATES, Views
from chalkgrade.outside import Clock, Http, NoAnswer, Peers, encode
from chalkgrade.renting.cloud import CloudClient
from chalkgrade.serving.cancellation_poll import CancellationPoll
from chalkgrade.serving.handover import Handover
from chalkgrade.serving.job_api import JobApi
from chalkgrade.serving.message_sizes import MessageSizes
from chalkgrade.serving.record_reader import RETRY_LATER, Answer
from chalkgrade.serving.report_router import ReportRouter
from chalkgrade.serving.submissions import Submissions
from chalkgrade.settings import Settings
from chalkgrade.state.client import LedgerClient, NotExecuted
from chalkgrade.state.leader_context import LeaderContext
from chalkgrade.state.leadership import Leadership

log = logging.getLogger("chalkgrade.node")


class Node:
    """A controller's components and its answers to users, workers and other controllers."""

    def __init__(
        self,
        settings: Settings,
        http: Http,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        home: str = "",
    ) -> None:
        """`home`: see `LeaderValue`; it must be unique to the process from `start` to its end."""
        self.settings = settings
        self.clock = clock
        self.started_at = clock.now()
        self.message_sizes = MessageSizes(clock)
        self.outage_seen_at = -1e9  # when users were last accepted during an outage for all
        self.peers = peers
        self.http = http
        self.rng = rng
        cluster = settings.cluster
        self.flavors: dict[str, Flavor] = {}
        member_count = len(settings.others) + 1
        self.ledger = LedgerClient(
            http, clock, settings.endpoints.state, cluster.state, member_count
        )
        self.cloud = CloudClient(http, clock, settings.endpoints.cloud, cluster.cloud.rps)
        grace_s = (
            cluster.workers.cancel_s
            - cluster.workers.lease_s
            - constants.CANCELLATION_GRACE_MARGIN_S
        )
        self.leadership = Leadership(
            self.ledger,
            clock,
            rng,
            settings.member,
            grace_s,
            self._begin_term,
            self._end_term,
            home,
        )
        others = [peer.member for peer in settings.others]
        self.views = Views(
            settings.member, others, clock, cluster.skew_ms / 1000, self._on_state_changed
        )
        self.views.own_process = format_process_id(rng.getrandbits(64))
        pause = constants.CAMPAIGN_RETRY_INTERVAL_S
        self.presence = Registration(
            self.ledger, self.views, lambda: pause * (1 + rng.random()), self._on_superseded
        )
        self.watch = Prober(
            self.views,
            peers,
            clock,
            rng,
            self.own_status,
            self._on_status,
            lambda: self.leadership.leader,
        )
        self.leadership.is_eligible = lambda: not self.presence.is_superseded
        self.leadership.campaign_rank = self._campaign_rank
        self.leadership.lease_duration_s = self._lease_duration_s
        self.job_api = JobApi(settings, self.ledger, self.leadership, peers, clock, self.views)
        self.submissions = Submissions(settings, self.ledger, clock, self.flavors, self.job_api)
        self.succession = HintExchange(self._send_hints)
        self.report_router = ReportRouter(
            self.leadership,
            self.views,
            peers,
            clock,
            cluster.workers.lease_s,
            lambda: self.term,
        )
        self.handover = Handover(
            clock,
            peers,
            self.views,
            self.leadership,
            self.cloud,
            cluster.workers.report_s,
            self._reporting_machine_count,
        )
        self.cancellation_poll = CancellationPoll(
            clock, peers, others, self.leadership, lambda: self.term
        )
        self.submissions.submission_checks += subsystems.submission_checks(settings)
        self.term: Term | None = None
        self.responses_by_status: dict[str, int] = {}  # HTTP responses
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the loops."""
        loops = [self.leadership.run(), self._flavors_loop(), self.job_api.watch_final_states()]
        supervised = (
            *self.watch.loops,
            *self.presence.loops,
            self.handover.run,
            self.cancellation_poll.run,
        )
        loops += [self._restart_on_error(loop) for loop in supervised]
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def _restart_on_error(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop and restart it after an error, since the node can't do without any of them."""
        while True:
            try:
                await loop()
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("loop failed: restarting it")
                await asyncio.sleep(constants.PROBE_ROUND_INTERVAL_S)

    def stop(self) -> None:
        """Stop the loops and give up the lead."""
        for task in self._tasks:
            task.cancel()
        self.watch.stop()
        # The next process on these addresses relies on this one having given up the lead.
        self.leadership.step_down()

    def _begin_term(self, token: int) -> None:
        self.handover.fitness.start_leading()
        self.watch.ping_all()
        context = LeaderContext(self.settings, token, self.leadership, self.ledger, self.clock)
        self.term = Term(
            context,
            self.cloud,
            self.flavors,
            self.job_api.remember_final_state,
            self.http,
            self.succession,
        )
        self.job_api.term = self.term
        self.term.start()

    def _end_term(self) -> None:
        if self.term is not None:
            self.term.stop()
        self.term = self.job_api.term = None

    async def _flavors_loop(self) -> None:
        """Load the machine types: as the last leader stored them, or else from the cloud."""
        while not self.flavors:
            try:
                row = await self.ledger.get(FLAVORS_KEY)
                if row is not None:
                    value = msgspec.json.decode(row.v, type=FlavorsValue)
                    found = value.hosttypes
                else:
                    found = await self.cloud.list_flavors()
                if not self.flavors:
                    self.flavors.update({flavor.sku: flavor for flavor in found})
            except (NoAnswer, NotExecuted, msgspec.DecodeError) as error:
                log.info("machine types not loaded: %s", error)
                await asyncio.sleep(constants.CAMPAIGN_RETRY_INTERVAL_S * (1 + self.rng.random()))

    def samples(self) -> Iterable[Sample]:
        """Yield the samples for /metrics: this node's, and those of its term if it leads."""
        yield gauge("leading", "1 while this node surely holds the lead", self.leadership.may_act())
        yield gauge("token", "highest token known", self.leadership.highest_token)
        left = self.leadership.lease_expiry.worker_grace_left_s() if self.leadership.token else 0.0
        text = "How long workers are kept if the lease is not proved again, s"
        yield gauge("shelter_left", text, round(left, 1))
        yield from self._member_samples()
        yield labelled_sample("handovers", "Planned handovers", "outcome", self.handover.counts)
        yield gauge("up", "1 while users are served here", self.accepts_users())
        yield labelled_sample(
            "http_responses", "Responses by status", "status", self.responses_by_status
        )
        yield labelled_sample(
            "state_responses", "State service answers", "status", self.ledger.response_counts
        )
        yield labelled_sample(
            "cloud_responses", "Cloud answers", "status", self.cloud.response_counts
        )
        yield self.submissions.decision_counts.sample()
        yield from self.message_sizes.samples()
        if self.term is not None:
            yield from self.term.samples()

    def _member_samples(self) -> Iterable[Sample]:
        views, now = self.views, self.clock.now()
        states: dict[tuple[str, ...], float] = {
            (m, s): float(v.state == s) for m, v in views.by_member.items() for s in STATES
        }
        yield Sample("members", "Controllers by what is known", ("member", "state"), states)
        evidence_kinds = ("answered", "spoke", "vouched", "returned")
        ages: dict[tuple[str, ...], float] = {
            (member, kind): round(now - getattr(view, f"{kind}_at"), 1)
            for member, view in views.by_member.items()
            for kind in evidence_kinds
            if getattr(view, f"{kind}_at") > 0
        }
        text = "Seconds since the last evidence of a kind"
        yield Sample("member_evidence", text, ("member", "kind"), ages)
        yield labelled_sample(
            "member_events", "Suspicions, verdicts, drops", "event", views.event_counts
        )
        yield gauge(
            "loop_late", "How late this controller's loop ran of late, s", views.max_loop_delay_s()
        )

    # -- peers --------------------------------------------------------------------

    def own_status(self) -> MemberStatus:
        """Return what this controller tells the others about itself."""
        views = self.views
        return MemberStatus(
            self.settings.member,
            views.own_process,
            views.incarnation,
            views.next_seq(),
            self.clock.wall(),
            self.leadership.token if self.leadership.may_act() else 0,
            self.leadership.leader,
            self.ledger.has_recent_answer(),
            self.cloud.is_reachable(),
            round(views.max_loop_delay_s(), 3),
            round(self._own_lease_duration_s(), 3),
            self.presence.is_superseded,
            self.clock.now() - self.started_at < constants.MIN_CAMPAIGN_UPTIME_S
            and not self._knows_older_version(),
            views.suspected_members(),
            constants.PROTOCOL_VERSION,
        )

    def _knows_older_version(self) -> bool:
        """Return whether some controller runs an earlier version, which will be replaced first."""
        words = (view.word for view in self.views.by_member.values())
        return any(word is not None and word.version < constants.PROTOCOL_VERSION for word in words)

    def _on_status(self, word: MemberStatus) -> None:
        """Another controller's status was accepted: note who leads according to it."""
        if word.token:
            if word.token > self.ledger.max_possible_revision():
                self.views.drop_message("token from the future")
                return
            if word.token >= self.leadership.highest_token and not self.leadership.token:
                self.leadership.set_leader(word.member)
            self.leadership.observe_token(word.token, word.member)

    def _on_state_changed(self, member: str, old: str, new: str) -> None:
        view, now = self.views.by_member[member], self.clock.now()
        log_at_level = log.info if new == ALIVE else log.warning
        log_at_level(
            "%s is %s, was %s: last sign %.1f s ago, own key %s",
            member,
            new,
            old,
            min(999.0, now - view.last_contact_at),
            view.lease or "unknown",
        )
        if member == self.leadership.leader:
            self.leadership.leader_changed.fire()  # wake those that wait for a leader

    def _own_lease_duration_s(self) -> float:
        """Return the lease duration that this controller's own measurements call for, s."""
        recently_lost = (
            self.clock.now() - self.leadership.lease_lost_while_healthy_at
            < constants.LONG_LEASE_PERIOD_S
        )
        response_s = constants.LEASE_RESPONSE_TIME_RATIO * self.ledger.slow_response_s()
        delay_s = constants.LEASE_LOOP_DELAY_RATIO * self.views.max_loop_delay_s()
        wanted = (
            constants.MAX_LEADER_LEASE_S
            if recently_lost
            else constants.MIN_LEADER_LEASE_S + response_s + delay_s
        )
        return min(constants.MAX_LEADER_LEASE_S, wanted)

    def _lease_duration_s(self) -> float:
        """Return the longest lease duration that any controller has recently asked for, s.

        That includes the previous leader.
        """
        words = (view.word for view in self.views.by_member.values())
        now = self.clock.wall()
        requested = [
            w.lease_s
            for w in words
            if w is not None and now - w.at < constants.LOOP_DELAY_RETENTION_S
        ]
        return min(constants.MAX_LEADER_LEASE_S, max([self._own_lease_duration_s(), *requested]))

    def _campaign_rank(self) -> int:
        """Return how many controllers are more suitable to lead: they campaign first."""

        own = self.own_status()
        words = [w for w in self.views.recent_statuses() if self.views.state_of(w.member) == ALIVE]
        own_preference = leader_preference(own)
        better = sum(leader_preference(word) < own_preference and not word.aside for word in words)
        # A node that has just started has not heard from all others yet: it gives way to those.
        unknown = sum(view.word is None for view in self.views.by_member.values())
        return better + unknown * own.young

    async def _send_hints(self, hints: Hints) -> None:
        """Send the leader's hints to the controllers that are likely to lead next."""
        message = {"q": "hints", "arg": hints}
        peers = self.handover.candidates()[: constants.HINTS_PEER_COUNT]
        requests = [
            self.peers.ask(peer, message, constants.PEER_REQUEST_TIMEOUT_S) for peer in peers
        ]
        for result in await asyncio.gather(*requests, return_exceptions=True):
            if isinstance(result, BaseException) and not isinstance(result, NoAnswer):
                raise result

    def _reporting_machine_count(self) -> int:
        """Return the number of machines that have reported in this term and are not given up."""
        machines = self.term.fleet.machines.values() if self.term is not None else ()
        return sum(machine.reported_at is not None for machine in machines)

    def _on_superseded(self) -> None:
        """A newer process with this node's name is running and serves instead."""
        self.leadership.step_down()

    async def on_peer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answer a request of another controller."""
        what, arg = message.get("q"), message.get("arg")
        status, body = 400, {"error": "unknown question"}
        try:
            answer = await self.watch.answer_peer(what, arg) if isinstance(what, str) else None
            if answer is not None:
                return answer
            if what == "hints":
                hints = msgspec.convert(arg, Hints)
                known = hints.token <= self.ledger.max_possible_revision()
                if not known or not self.succession.receive(hints, self.leadership.highest_token):
                    self.views.drop_message("hints")
                return {"status": 200, "body": {}}
            if what == "told":
                return self.cancellation_poll.answer_poll(arg)
            if what == "succeed":
                return await self.handover.answer_takeover_request(arg)
            if what in ("status", "abort") and isinstance(arg, str):
                status, body = RETRY_LATER
                if self.term is not None:
                    status, body = await self.job_api.answer_as_leader(what, arg)
            elif what == "submit" and isinstance(arg, str):
                status, body = RETRY_LATER
                if self.term is not None and self.term.is_serving():
                    status, body = await self.submissions.submit_for_peer(arg.encode())
            elif what == "hello":
                status, body = 421, {}
                if self.term is not None and self.term.ready:
                    report = msgspec.convert(arg, Report)
                    status, body = await self.term.handle_report(
                        report, len(encode(arg)), relayed=True
                    )
        except msgspec.ValidationError as error:
            status, body = 400, {"error": str(error)}
        except (NoAnswer, NotExecuted):
            status, body = RETRY_LATER
        return {"status": status, "body": body}

    # -- HTTP ---------------------------------------------------------------------

    def accepts_users(self) -> bool:
        """Return whether users are served here: not if only this node lacks the state service."""
        if self.presence.is_superseded:
            return False
        now = self.clock.now()
        if self.ledger.has_recent_answer():
            # Right after an outage the machine types may be missing for a moment. Stay with the
            # load balancer: it readmits a controller that left only after several seconds.
            return bool(self.flavors) or now - self.outage_seen_at < constants.MACHINE_TYPES_WAIT_S
        fresh = self.views.recent_statuses()
        if any(word.state for word in fresh):
            return bool(self.flavors and self.report_router.is_leader_reachable())
        # No controller reaches the state service: an outage. Leaving the load balancer would
        # only delay the return after it, also for a node that restarted during the outage and
        # has no machine types yet. If all left, users would have no controller for seconds
        # after the end of the outage.
        self.outage_seen_at = now if fresh else self.outage_seen_at
        return bool(fresh)

    async def handle(self, method: str, path: str, body: bytes) -> Answer:
        """Answer an HTTP request of a user, a worker or the load balancer."""
        status, answer = await self._answer_request(method, path, body)
        error = answer.get("error")
        if isinstance(error, str) and len(error) > constants.MAX_ERROR_CHARS:
            answer = {**answer, "error": error[: constants.MAX_ERROR_CHARS]}
        return status, answer

    async def _answer_request(self, method: str, path: str, body: bytes) -> Answer:
        if not self.message_sizes.accepts(path, len(body)):
            return 400, {"error": "body too long"}
        if path == "/hello" and method == "POST":
            return await self._handle_worker_report(body)
        if path == "/up" and method == "GET":
            return (200, {"up": True}) if self.accepts_users() else (503, {"up": False})
        if path == "/v2/runs" or path.startswith("/v2/runs/"):
            status, answer = await self._handle_user_request(method, path, body)
            # Noted before the answer is sent, so that the list of told cancellations is complete.
            self.cancellation_poll.announced.note_answer(status, answer)
            return status, answer
        return 404, {"error": "no such resource"}

    async def _handle_user_request(self, method: str, path: str, body: bytes) -> Answer:
        if path == "/v2/runs":
            if method != "POST":
                return 405, {"error": "POST only"}
            return await self.submissions.submit(body)
        if path.startswith("/v2/runs/"):
            name = path.removeprefix("/v2/runs/")
            if name.endswith("/abort"):
                if method != "POST":
                    return 405, {"error": "POST only"}
                return await self.job_api.abort(name.removesuffix("/abort"))
            if method != "GET":
                return 405, {"error": "GET only"}
            return await self.job_api.query(name)
        return 404, {"error": "no such resource"}

    async def _handle_worker_report(self, body: bytes) -> Answer:
        try:
            report = msgspec.json.decode(body, type=Report)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return 400, {"error": str(error)}
        if self.presence.is_superseded:
            return 421, {}
        self.handover.direct_report_at = self.clock.now()
        return await self.report_router.handle_report(report, body)
