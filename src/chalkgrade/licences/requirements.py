"""Which licence pools the tasks of a job need, and how many seats of each."""

from chalkgrade.licences.settings import LicenceSettings
from chalkgrade.record.jobs import JobSpec

PoolSeats = tuple[tuple[str, int], ...]  # (pool, seats per task), sorted by pool


class SeatRequirements:
    """The seats that jobs need, by the operators' table and by their submissions.

    A submission may name pools itself. For each pool the table's row is a minimum, so that no
    job runs on fewer seats than its class needs.
    """

    def __init__(self, settings: LicenceSettings) -> None:
        self.pools = {pool.name: pool for pool in settings.pools}
        self._rows = settings.needs
        self._cache: dict[tuple[str, str], PoolSeats] = {}

    def _configured_seats(self, owner: str, jobclass: str) -> PoolSeats:
        key = (owner, jobclass)
        cached = self._cache.get(key)
        if cached is None:
            seats_by_pool: dict[str, int] = {}
            for row in self._rows:
                if row.jobclass in ("", jobclass) and row.team in ("", owner):
                    seats_by_pool[row.pool] = max(row.seats, seats_by_pool.get(row.pool, 0))
            cached = self._cache[key] = tuple(sorted(seats_by_pool.items()))
        return cached

    def seats_per_task(self, spec: JobSpec) -> PoolSeats:
        """Returns the seats that one task needs; unknown pools of a submission are left out."""
        table = self._configured_seats(spec.owner, spec.jobclass)
        if not spec.licences:
            return table
        seats_by_pool = dict(table)
        for pool, seats in spec.licences.items():
            if pool in self.pools:
                seats_by_pool[pool] = max(seats, seats_by_pool.get(pool, 0))
        return tuple(sorted(seats_by_pool.items()))

    def rejection_reason(self, spec: JobSpec) -> str | None:
        """Returns why a job can never get its seats, or None if it can."""
        for pool in spec.licences or ():
            if pool not in self.pools:
                return f"licences: unknown pool {pool!r}"
        tasks = spec.tasks if spec.shape != "batch" else 1  # batch tasks may run one by one
        for pool, seats in self.seats_per_task(spec):
            if seats * tasks > self.pools[pool].seats:
                available = self.pools[pool].seats
                return f"licences: {seats * tasks} seats of {pool!r} at once, it has {available}"
        return None
