"""Whether what we answer to a machine's reports reaches it.

A report that was received proves nothing of the way back. What does: a worker has only one
report in flight, so that the next one shows whether the answer to the last was taken: it
lists what was launched, and has seen our token. A session that ends although its reports were
answered has heard none of these answers.
"""

from chalkgrade import constants

Key = tuple[int, int]  # tenure and number of a report


class Hearing:
    """One machine's, under one token."""

    def __init__(self) -> None:
        self.deaf_from: float | None = None  # since when nothing has surely reached it
        self.launched: set[tuple[str, int]] = set()  # with the last answer
        self._answered: Key | None = None  # the report that was last answered in time
        self._unheard = 0  # answers in a row that surely did not reach it
        self._since: tuple[int, float] = (0, 0.0)  # its session, and when we first answered in it
        self._answers = 0  # answers in that session
        self._ours = False  # it has shown our token: an answer of ours was taken

    @property
    def deaf(self) -> bool:
        return self.deaf_from is not None

    def answers(self, key: Key, received_at: float, now: float) -> None:
        """The answer to a report goes out; one that we held too long proves nothing."""
        if now - received_at > constants.PROMPT_S:
            self._answered = None
            return
        self._answered = key
        self._answers += 1

    def reported(
        self, key: Key, ours: bool, tasks: set[tuple[str, int]], now: float, lease_s: float
    ) -> None:
        """A newer report came; `ours`: it shows our token, `tasks`: what it lists."""
        last, self._answered = self._answered, None
        launched, self.launched = self.launched, set()
        tenure, begun = self._since
        if key[0] != tenure:
            # A whole session's answers were lost, unless it ended while it could not reach us.
            lost = last is not None and self._answers >= constants.UNHEARD
            if tenure and lost and now - begun > constants.UNHEARD_PART * lease_s:
                self._unheard = constants.UNHEARD - 1
                self._miss(now)
            self._since, self._answers = (key[0], now), 0
        elif self.deaf_from is not None and ours and now - begun > 2 * lease_s:
            # Its session would have ended by now, had it not heard us.
            self._hear()
        if ours and not self._ours:
            # What came before may have been copies, whose answers nobody heard.
            self._ours = True
            self._hear()
        if last is None or last >= key or last[0] != key[0]:
            return
        if not ours or (launched and not launched & tasks):
            self._miss(now)
        elif launched:
            self._hear()

    def _miss(self, now: float) -> None:
        self._unheard += 1
        if self._unheard >= constants.UNHEARD and self.deaf_from is None:
            self.deaf_from = now

    def _hear(self) -> None:
        self._unheard, self.deaf_from = 0, None
