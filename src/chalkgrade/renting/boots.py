"""What has been seen of machines coming up. Pure."""

from collections.abc import Iterable

from chalkgrade import constants
from chalkgrade.machines.flavors import Pool


class Boots:
    """What has been seen of each pool's machines coming up.

    Machines can take several times their type's boot time, be up at once, or
    never come. Times are by the leader's own clock.
    """

    def __init__(self) -> None:
        self._ratio: dict[Pool, float] = {}  # observed boot time over the type's, smoothed
        self._proof: dict[Pool, float] = {}  # the latest birth of a machine that came up
        self._lost: dict[Pool, list[float]] = {}  # births of machines that never came

    def came(self, pool: Pool, born: float, now: float, nominal: float) -> None:
        """A machine reports for the first time."""
        seen = min(constants.MAX_BOOT_TIME_RATIO, max(0.0, now - born) / max(nominal, 1e-6))
        old = self._ratio.get(pool, 1.0)
        self._ratio[pool] = old + constants.BOOT_TIME_WEIGHT * (seen - old)
        self._proof[pool] = max(born, self._proof.get(pool, born))

    def lost(self, pool: Pool, born: float) -> None:
        """A machine was returned since it never came."""
        self._lost.setdefault(pool, []).append(born)

    def told(self, shift: float) -> tuple[list[tuple[Pool, float]], list[tuple[Pool, list[float]]]]:
        """For the next leader: ratios, and births by time of day of machines that never came."""
        lost = [(pool, [at + shift for at in births]) for pool, births in self._lost.items()]
        return list(self._ratio.items()), [(pool, births) for pool, births in lost if births]

    def hear(
        self,
        ratios: list[tuple[Pool, float]],
        never: list[tuple[Pool, list[float]]],
        shift: float,
    ) -> None:
        """What the last leader told, within the bounds of what can be seen."""
        for pool, ratio in ratios:
            self._ratio[pool] = min(constants.MAX_BOOT_TIME_RATIO, max(0.0, ratio))
        for pool, births in never:
            self._lost[pool] = [at + shift for at in births]

    def expected(self, pool: Pool, nominal: float) -> float:
        """How long a machine rented now will take."""
        return max(constants.MIN_BOOT_TIME_S, nominal * self._ratio.get(pool, 1.0))

    def late(self, pool: Pool, nominal: float, age: float) -> bool:
        return age > constants.LATE_BOOT_RATIO * max(self.expected(pool, nominal), nominal)

    def left(self, pool: Pool, nominal: float, age: float) -> float | None:
        """How long a booting machine will still take; None: it is not to be counted on.

        One that is past its time has no better prospect than to take a part of
        its age again.
        """
        if self.late(pool, nominal, age):
            return None
        return max(constants.MIN_BOOT_TIME_S, self.expected(pool, nominal) - age, age / 4)

    def doubtful(self, pool: Pool, nominal: float, booting: Iterable[float], now: float) -> bool:
        """Whether a pool's machines do not come up: several late ones, and none since."""
        proof = self._proof.get(pool, -1e18)
        births = [born for born in booting if self.late(pool, nominal, now - born)]
        recent = [
            b for b in self._lost.get(pool, ()) if now - b < constants.FAILED_BOOT_RETENTION_S
        ]
        self._lost[pool] = recent
        return sum(born > proof for born in [*births, *recent]) >= constants.MIN_LATE_BOOTS
