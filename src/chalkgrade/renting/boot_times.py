"""Observed boot times of rented machines, by pool. Does no I/O."""

from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.machines.flavors import Pool


class BootTimes:
    """Predicts the boot times of each pool's machines from observed boots.

    A machine may take several times its flavor's nominal boot time, be up at once, or
    never report. Times are in seconds of the leader's own clock.
    """

    def __init__(self) -> None:
        self._boot_ratio: dict[Pool, float] = {}  # observed / nominal boot time, smoothed
        # The latest rental time of a machine that reported.
        self._last_success_rented_at: dict[Pool, float] = {}
        # Rental times of machines that never reported.
        self._failed_rented_at: dict[Pool, list[float]] = {}

    def record_boot(self, pool: Pool, rented_at: float, now: float, nominal_s: float) -> None:
        """Records the first report of a machine."""
        ratio = min(constants.MAX_BOOT_TIME_RATIO, max(0.0, now - rented_at) / max(nominal_s, 1e-6))
        old = self._boot_ratio.get(pool, 1.0)
        self._boot_ratio[pool] = old + constants.BOOT_TIME_WEIGHT * (ratio - old)
        self._last_success_rented_at[pool] = max(
            rented_at, self._last_success_rented_at.get(pool, rented_at)
        )

    def record_failed_boot(self, pool: Pool, rented_at: float) -> None:
        """Records that a machine was returned because it never reported."""
        self._failed_rented_at.setdefault(pool, []).append(rented_at)

    def export_history(
        self, shift: float
    ) -> tuple[list[tuple[Pool, float]], list[tuple[Pool, list[float]]]]:
        """Returns boot ratios and the rental times of machines that never reported.

        They are passed to the next leader; `shift` converts times to wall-clock seconds.
        """
        failed = [
            (pool, [at + shift for at in times]) for pool, times in self._failed_rented_at.items()
        ]
        return list(self._boot_ratio.items()), [(pool, times) for pool, times in failed if times]

    def import_history(
        self,
        ratios: list[tuple[Pool, float]],
        never: list[tuple[Pool, list[float]]],
        shift: float,
    ) -> None:
        """Takes over the previous leader's history, with ratios limited to the valid range.

        `shift` converts wall-clock times to this leader's clock.
        """
        for pool, ratio in ratios:
            self._boot_ratio[pool] = min(constants.MAX_BOOT_TIME_RATIO, max(0.0, ratio))
        for pool, times in never:
            self._failed_rented_at[pool] = [at + shift for at in times]

    def expected_boot_s(self, pool: Pool, nominal_s: float) -> float:
        """Returns the expected boot time in seconds of a machine rented now."""
        return max(constants.MIN_BOOT_TIME_S, nominal_s * self._boot_ratio.get(pool, 1.0))

    def is_overdue(self, pool: Pool, nominal_s: float, age_s: float) -> bool:
        """Whether a booting machine is so late that plans must not rely on it."""
        return age_s > constants.LATE_BOOT_RATIO * max(
            self.expected_boot_s(pool, nominal_s), nominal_s
        )

    def remaining_boot_s(self, pool: Pool, nominal_s: float, age_s: float) -> float | None:
        """Returns the expected remaining boot time in seconds, None for an overdue machine.

        A machine past its expected boot time is assumed to need another quarter of its age.
        """
        if self.is_overdue(pool, nominal_s, age_s):
            return None
        return max(
            constants.MIN_BOOT_TIME_S, self.expected_boot_s(pool, nominal_s) - age_s, age_s / 4
        )

    def is_unreliable(
        self, pool: Pool, nominal_s: float, booting: Iterable[float], now: float
    ) -> bool:
        """Whether several machines of a pool are overdue or failed to boot, and no newer one is up.

        `booting` holds the rental times of the pool's machines that have not reported yet.
        """
        last_success = self._last_success_rented_at.get(pool, -1e18)
        overdue = [at for at in booting if self.is_overdue(pool, nominal_s, now - at)]
        recent = [
            at
            for at in self._failed_rented_at.get(pool, ())
            if now - at < constants.FAILED_BOOT_RETENTION_S
        ]
        self._failed_rented_at[pool] = recent
        return sum(at > last_success for at in [*overdue, *recent]) >= constants.MIN_LATE_BOOTS
