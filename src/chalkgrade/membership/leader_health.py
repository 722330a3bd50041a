"""Whether a live leader can do its work, and when it should hand over the leadership.

Faults that end the lease by themselves are not considered here: a leader that the state
service refuses, or that runs later than its lease allows, is replaced without a handover.
"""

from chalkgrade import constants
from chalkgrade.outside import Clock

CLOUD, WORKERS = "cloud", "workers"


class LeaderHealth:
    """A controller's assessment of its own ability to lead."""

    def __init__(self, clock: Clock, report_s: float) -> None:
        self.clock = clock
        # A machine does not miss two and a half reports in a row by chance.
        self.max_report_silence_s = max(
            constants.UNHEALTHY_LEADER_TIMEOUT_S,
            constants.SILENCE_REPORT_INTERVALS_RATIO * report_s,
        )
        self.leading_since = -1e9
        self.handover_pause_s = constants.MIN_HANDOVER_PAUSE_S
        self.handover_paused_until = -1e9

    def start_leading(self) -> None:
        """Record that this controller became the leader now."""
        self.leading_since = self.clock.now()

    def handover_reason(
        self,
        cloud_answered_at: float,
        cloud_reached: bool | None,
        direct_report_at: float,
        machines_up: int,
    ) -> str:
        """The reason to hand over the leadership, or an empty string if there is none.

        `cloud_answered_at`: when the cloud last answered; `cloud_reached`: whether it
        answered the last request, None without a recent one; `direct_report_at`: when a worker's
        report last came directly; `machines_up`: number of machines known to be up.
        """
        now = self.clock.now()
        if (
            now < self.handover_paused_until
            or now - self.leading_since < constants.UNHEALTHY_LEADER_TIMEOUT_S
        ):
            return ""
        if (
            cloud_reached is False
            and now - max(cloud_answered_at, self.leading_since)
            > constants.UNHEALTHY_LEADER_TIMEOUT_S
        ):
            return CLOUD
        if (
            machines_up
            and now - max(direct_report_at, self.leading_since) > self.max_report_silence_s
        ):
            return WORKERS
        return ""

    def record_handover(self, moved: bool) -> None:
        """Record an attempted handover; the pause before the next one doubles if it `moved`."""
        pause = self.handover_pause_s if moved else constants.UNHEALTHY_LEADER_TIMEOUT_S
        self.handover_paused_until = self.clock.now() + pause
        if moved:
            self.handover_pause_s = min(constants.MAX_HANDOVER_PAUSE_S, 2 * self.handover_pause_s)
