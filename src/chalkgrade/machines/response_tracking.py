"""Whether what we answer to a machine's reports reaches it.

A report that was received proves nothing of the way back. What does: a worker has only one
report in flight, so that the next one shows whether the answer to the last was taken: it
lists what was launched, and has seen our token. A session that ends although its reports were
answered has heard none of these answers.
"""

from chalkgrade import constants

ReportKey = tuple[int, int]  # tenure and number of a report


class ResponseTracker:
    """One machine's, under one token."""

    def __init__(self) -> None:
        self.responses_lost_since: float | None = None  # since when nothing has surely reached it
        self.launch_orders_sent: set[tuple[str, int]] = set()  # with the last answer
        self._last_answered: ReportKey | None = None  # the report that was last answered in time
        self._lost_responses = 0  # answers in a row that surely did not reach it
        self._session: tuple[int, float] = (0, 0.0)  # its session, and when we first answered in it
        self._session_responses = 0  # answers in that session
        self._has_shown_token = False  # it has shown our token: an answer of ours was taken

    @property
    def responses_lost(self) -> bool:
        return self.responses_lost_since is not None

    def on_response_sent(self, key: ReportKey, received_at: float, now: float) -> None:
        """The answer to a report goes out; one that we held too long proves nothing."""
        if now - received_at > constants.PROMPT_S:
            self._last_answered = None
            return
        self._last_answered = key
        self._session_responses += 1

    def on_report(
        self, key: ReportKey, ours: bool, tasks: set[tuple[str, int]], now: float, lease_s: float
    ) -> None:
        """A newer report came; `ours`: it shows our token, `tasks`: what it lists."""
        last, self._last_answered = self._last_answered, None
        launched, self.launch_orders_sent = self.launch_orders_sent, set()
        tenure, begun = self._session
        if key[0] != tenure:
            # A whole session's answers were lost, unless it ended while it could not reach us.
            lost = last is not None and self._session_responses >= constants.UNHEARD
            if tenure and lost and now - begun > constants.UNHEARD_PART * lease_s:
                self._lost_responses = constants.UNHEARD - 1
                self._count_lost(now)
            self._session, self._session_responses = (key[0], now), 0
        elif self.responses_lost_since is not None and ours and now - begun > 2 * lease_s:
            # Its session would have ended by now, had it not heard us.
            self._mark_received()
        if ours and not self._has_shown_token:
            # What came before may have been copies, whose answers nobody heard.
            self._has_shown_token = True
            self._mark_received()
        if last is None or last >= key or last[0] != key[0]:
            return
        if not ours or (launched and not launched & tasks):
            self._count_lost(now)
        elif launched:
            self._mark_received()

    def _count_lost(self, now: float) -> None:
        self._lost_responses += 1
        if self._lost_responses >= constants.UNHEARD and self.responses_lost_since is None:
            self.responses_lost_since = now

    def _mark_received(self) -> None:
        self._lost_responses, self.responses_lost_since = 0, None
