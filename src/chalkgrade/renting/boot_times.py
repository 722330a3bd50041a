"""What has been seen of machines coming up. Pure."""

from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.machines.flavors import Pool


class BootTimes:
    """What has been seen of each pool's machines coming up.

    Machines can take several times their type's boot time, be up at once, or
    never come. Times are by the leader's own clock.
    """

    def __init__(self) -> None:
        self._boot_ratio: dict[Pool, float] = {}  # observed boot time over the type's, smoothed
        self._last_success_rented_at: dict[
            Pool, float
        ] = {}  # the latest birth of a machine that came up
        self._failed_rented_at: dict[Pool, list[float]] = {}  # births of machines that never came

    def record_boot(self, pool: Pool, born: float, now: float, nominal: float) -> None:
        """A machine reports for the first time."""
        seen = min(constants.BOOT_RATIO_MAX, max(0.0, now - born) / max(nominal, 1e-6))
        old = self._boot_ratio.get(pool, 1.0)
        self._boot_ratio[pool] = old + constants.BOOT_ALPHA * (seen - old)
        self._last_success_rented_at[pool] = max(born, self._last_success_rented_at.get(pool, born))

    def record_failed_boot(self, pool: Pool, born: float) -> None:
        """A machine was returned since it never came."""
        self._failed_rented_at.setdefault(pool, []).append(born)

    def export_history(
        self, shift: float
    ) -> tuple[list[tuple[Pool, float]], list[tuple[Pool, list[float]]]]:
        """For the next leader: ratios, and births by time of day of machines that never came."""
        lost = [
            (pool, [at + shift for at in births]) for pool, births in self._failed_rented_at.items()
        ]
        return list(self._boot_ratio.items()), [(pool, births) for pool, births in lost if births]

    def import_history(
        self,
        ratios: list[tuple[Pool, float]],
        never: list[tuple[Pool, list[float]]],
        shift: float,
    ) -> None:
        """What the last leader told, within the bounds of what can be seen."""
        for pool, ratio in ratios:
            self._boot_ratio[pool] = min(constants.BOOT_RATIO_MAX, max(0.0, ratio))
        for pool, births in never:
            self._failed_rented_at[pool] = [at + shift for at in births]

    def expected_boot_s(self, pool: Pool, nominal: float) -> float:
        """How long a machine rented now will take."""
        return max(constants.BOOT_LEAST_S, nominal * self._boot_ratio.get(pool, 1.0))

    def is_overdue(self, pool: Pool, nominal: float, age: float) -> bool:
        return age > constants.BOOT_LATE * max(self.expected_boot_s(pool, nominal), nominal)

    def remaining_boot_s(self, pool: Pool, nominal: float, age: float) -> float | None:
        """How long a booting machine will still take; None: it is not to be counted on.

        One that is past its time has no better prospect than to take a part of
        its age again.
        """
        if self.is_overdue(pool, nominal, age):
            return None
        return max(constants.BOOT_LEAST_S, self.expected_boot_s(pool, nominal) - age, age / 4)

    def is_unreliable(
        self, pool: Pool, nominal: float, booting: Iterable[float], now: float
    ) -> bool:
        """Whether a pool's machines do not come up: several late ones, and none since."""
        proof = self._last_success_rented_at.get(pool, -1e18)
        births = [born for born in booting if self.is_overdue(pool, nominal, now - born)]
        recent = [
            b for b in self._failed_rented_at.get(pool, ()) if now - b < constants.BOOT_DOUBT_S
        ]
        self._failed_rented_at[pool] = recent
        return sum(born > proof for born in [*births, *recent]) >= constants.BOOT_DOUBTS
