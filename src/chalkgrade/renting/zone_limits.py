"""How many tasks of a job a rental plan may place in each zone. Pure."""

from collections.abc import Iterable, Mapping

from chalkgrade.machines.flavors import Pool


class ZoneLimits:
    """How many more tasks of a job may run at once in each zone; unlimited if not given."""

    def __init__(self, limits: Mapping[str, int]) -> None:
        self._limits = dict(limits)

    def copy(self) -> "ZoneLimits":
        """Return a copy, to use up separately."""
        return ZoneLimits(self._limits)

    def most(self, pool: Pool, tasks: int) -> int:
        """Return how many of so many tasks may start in the pool's zone."""
        return min(tasks, self._limits.get(pool[1], tasks))

    def use(self, pool: Pool, tasks: int) -> None:
        """Count tasks that start in the pool's zone."""
        if pool[1] in self._limits:
            self._limits[pool[1]] -= tasks

    def count(self, counts: Iterable[tuple[Pool, int]]) -> int:
        """Return how many tasks may start at once where so many fit in each pool."""
        by_zone: dict[str, int] = {}
        for (_, zone, _), tasks in counts:
            by_zone[zone] = by_zone.get(zone, 0) + tasks
        return sum(min(tasks, self._limits.get(zone, tasks)) for zone, tasks in by_zone.items())
