"""Whether a leader that lives also serves, and when it may give the lead away.

What ends a lease by itself is no reason here: a leader that the state service refuses,
or that runs later than its lease allows, is replaced without being asked.
"""

from chalkgrade import constants
from chalkgrade.outside import Clock

CLOUD, WORKERS = "cloud", "workers"


class LeaderHealth:
    """One controller's judgement of itself as a leader."""

    def __init__(self, clock: Clock, report_s: float) -> None:
        self.clock = clock
        # Two reports in a row and a half are missed by chance by nobody.
        self.max_report_silence_s = max(constants.UNFIT_S, constants.SILENT_REPORTS * report_s)
        self.leading_since = -1e9
        self.handover_pause_s = constants.HANDOVER_REST_S
        self.handover_paused_until = -1e9

    def start_leading(self) -> None:
        """The lead begins here."""
        self.leading_since = self.clock.now()

    def handover_reason(
        self, cloud_at: float, cloud: bool | None, direct_at: float, machines: int
    ) -> str:
        """Why the lead should be given away, or nothing.

        `cloud_at`: when the cloud last answered; `cloud`: whether it did the last time;
        `direct_at`: when a worker's own report last came; `machines`: of them that are
        known to be up.
        """
        now = self.clock.now()
        if now < self.handover_paused_until or now - self.leading_since < constants.UNFIT_S:
            return ""
        if cloud is False and now - max(cloud_at, self.leading_since) > constants.UNFIT_S:
            return CLOUD
        if machines and now - max(direct_at, self.leading_since) > self.max_report_silence_s:
            return WORKERS
        return ""

    def record_handover(self, moved: bool) -> None:
        """A handover was tried: the next one only after a pause, which doubles if it moved."""
        pause = self.handover_pause_s if moved else constants.UNFIT_S
        self.handover_paused_until = self.clock.now() + pause
        if moved:
            self.handover_pause_s = min(constants.HANDOVER_REST_MAX_S, 2 * self.handover_pause_s)
