"""Detects machines whose reports arrive but which don't receive the responses.

A received report proves nothing about the return path. A worker has only one report in flight,
so its next report shows whether it received the last response: it lists the launched tasks and
carries the leader's token. If a worker's session ends although its reports were answered, it
received none of these responses.
"""

from chalkgrade import constants

ReportKey = tuple[int, int]  # tenure and number of a report


class ResponseTracker:
    """Tracks the responses to one machine during one term."""

    def __init__(self) -> None:
        self.responses_lost_since: float | None = None  # time; None if not lost
        self.launch_orders_sent: set[tuple[str, int]] = set()  # with the last response
        self._last_answered: ReportKey | None = None  # last report answered in time
        self._lost_responses = 0  # in a row, proven not received
        self._session: tuple[int, float] = (0, 0.0)  # the current tenure and its first report
        self._session_responses = 0  # sent in time in that session
        self._has_shown_token = False  # a response of this term was received

    @property
    def responses_lost(self) -> bool:
        """Whether there is evidence that the machine receives no responses."""
        return self.responses_lost_since is not None

    def on_response_sent(self, key: ReportKey, received_at: float, now: float) -> None:
        """Notes a response; one held for over `PROMPT_S` may come too late and proves nothing."""
        if now - received_at > constants.PROMPT_S:
            self._last_answered = None
            return
        self._last_answered = key
        self._session_responses += 1

    def on_report(
        self,
        key: ReportKey,
        has_token: bool,
        tasks: set[tuple[str, int]],
        now: float,
        lease_s: float,
    ) -> None:
        """Evaluates a newer report for evidence about the previous response.

        `has_token`: the report carries this term's token; `tasks`: the tasks that it lists.
        Two leases without a new session prove that the machine receives responses.
        """
        last, self._last_answered = self._last_answered, None
        launched, self.launch_orders_sent = self.launch_orders_sent, set()
        tenure, begun = self._session
        if key[0] != tenure:
            # All responses of a session were lost, unless it ended while the machine was cut off.
            lost = last is not None and self._session_responses >= constants.MIN_LOST_RESPONSES
            if tenure and lost and now - begun > constants.LOST_RESPONSES_LEASE_RATIO * lease_s:
                self._lost_responses = constants.MIN_LOST_RESPONSES - 1
                self._count_lost(now)
            self._session, self._session_responses = (key[0], now), 0
        elif self.responses_lost_since is not None and has_token and now - begun > 2 * lease_s:
            # Without any response its session would have ended by now.
            self._mark_received()
        if has_token and not self._has_shown_token:
            # Earlier reports may have been copies, whose responses no machine received.
            self._has_shown_token = True
            self._mark_received()
        if last is None or last >= key or last[0] != key[0]:
            return
        if not has_token or (launched and not launched & tasks):
            self._count_lost(now)
        elif launched:
            self._mark_received()

    def _count_lost(self, now: float) -> None:
        self._lost_responses += 1
        if (
            self._lost_responses >= constants.MIN_LOST_RESPONSES
            and self.responses_lost_since is None
        ):
            self.responses_lost_since = now

    def _mark_received(self) -> None:
        self._lost_responses, self.responses_lost_since = 0, None
