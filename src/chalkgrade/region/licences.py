"""A simulated licence server, its other users, and the licensed tool that tasks run.

The server implements the protocol in docs/licences.md. The tool counts the seats that are really
in use: a task that starts while all seats of its pool are taken fails partway through.
"""

import asyncio
from typing import Any

import msgspec

from chalkgrade.region.rules import History


class Pool:
    """One pool of seats on the server, with the holders and expiry times of its leases."""

    def __init__(self, seats: int, ttl_s: float) -> None:
        self.seats, self.ttl_s = seats, ttl_s
        self.held: dict[tuple[str, str], float] = {}  # holder and name -> expiry time
        self.fences: dict[str, int] = {}

    def expire(self, now: float) -> None:
        """Drop all leases that have expired."""
        for key in [key for key, until in self.held.items() if until < now]:
            del self.held[key]

    @property
    def free(self) -> int:
        """Seats that nobody holds; negative if the seat count was lowered below that."""
        return self.seats - len(self.held)


class LicenceServer:
    """Checks out, renews and returns seats; tests can switch on faults."""

    def __init__(self, world: History, pools: dict[str, tuple[int, float]]) -> None:
        self.world = world
        self.pools = {name: Pool(*made) for name, made in pools.items()}
        self.down_until = 0.0
        self.slow_until = 0.0  # answers take 0.5 to 4 s
        self.nonsense_until = 0.0  # answers are malformed
        self.stale_until = 0.0  # lists of seats are out of date
        self.lists: dict[str, dict[str, Any]] = {}
        self.requests = 0
        self.late = 0.0

    def restart(self) -> None:
        """Simulate a restart that loses all leases."""
        for pool in self.pools.values():
            pool.held.clear()

    async def handle(self, source: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Answer a request: GET lists a pool's seats; else checkout, renewal or return."""
        world, now = self.world, self.world.now
        self.requests += 1
        if now < self.down_until:
            return 503, {"error": "down"}
        if now < self.nonsense_until:
            return world.rng.choice([(200, {"names": 7}), (200, []), (500, {}), (200, {})])
        if now < self.slow_until:
            await asyncio.sleep(world.rng.uniform(0.5, 4.0))
        _, _, name, *what = path.split("/")
        pool = self.pools[name]
        pool.expire(world.now)
        if method == "GET":
            listed = {
                "seats": pool.seats,
                "held": [{"holder": holder, "name": mark} for holder, mark in pool.held],
            }
            if now >= self.stale_until or name not in self.lists:
                self.lists[name] = listed
            return 200, self.lists[name]
        data = msgspec.json.decode(body)
        holder, names = data["holder"], data["names"]
        if data["fence"] < pool.fences.get(holder, 0):
            return 409, {"error": "stale fence"}
        pool.fences[holder] = data["fence"]
        return self._change(pool, what[0], holder, names)

    def _change(self, pool: Pool, what: str, holder: str, names: list[str]) -> tuple[int, Any]:
        until = self.world.now + pool.ttl_s
        done = []
        for name in names:
            key = (holder, name)
            if what == "return":
                pool.held.pop(key, None)
            elif key in pool.held or (what == "checkout" and pool.free > 0):
                pool.held[key] = until
                done.append(name)
        return 200, {"names": done, "ttlS": pool.ttl_s}


class LicensedTool:
    """Counts the seats that running tasks use, independently of the licence server."""

    def __init__(self, world: History, seats: dict[str, int]) -> None:
        self.world = world
        self.server: LicenceServer | None = None
        self.seats = seats
        self.needs: dict[str, dict[str, int]] = {}  # job class -> pool -> seats per task
        self.running: dict[str, dict[Any, int]] = {pool: {} for pool in seats}
        self.people: dict[str, int] = dict.fromkeys(seats, 0)
        self.peak = dict.fromkeys(seats, 0)
        self.unlicensed_failures = 0  # tasks that failed because no seat was free
        self.used_seat_s = dict.fromkeys(seats, 0.0)  # seat seconds used while work waits
        self.available_seat_s = dict.fromkeys(
            seats, 0.0
        )  # seat seconds that could be used meanwhile
        self.since = world.now

    def seats_needed(self, spec: dict[str, Any]) -> dict[str, int]:
        """Seats by pool that each task of a job needs."""
        return self.needs.get(spec["jobclass"], {})

    def start(self, task: Any) -> bool:
        """Take a task's seats, which it holds until `end`; False if too few are free."""
        need = self.seats_needed(task.spec)
        for pool, count in need.items():
            taken = sum(self.running[pool].values()) + self.people[pool]
            if taken + count > self.seats[pool]:
                self.unlicensed_failures += 1
                return False
        for pool, count in need.items():
            self.running[pool][task] = count
            self.peak[pool] = max(self.peak[pool], sum(self.running[pool].values()))
        return True

    def end(self, task: Any) -> None:
        """Give back a task's seats."""
        for pool in self.running.values():
            pool.pop(task, None)

    def count_seat_time(self) -> None:
        """Add the time since the last call to the seat seconds of pools that have waiting work."""
        now, passed = self.world.now, self.world.now - self.since
        self.since = now
        waiting: dict[str, int] = dict.fromkeys(self.seats, 0)
        for job in self.world.jobs.values():
            spec = job["spec"]
            if job["over"] is not None or not job.get("accepted"):
                continue
            name = spec["nameId"]
            done = sum(f"{name}/{index}" in self.world.done for index in range(spec["tasks"]))
            for pool, count in self.seats_needed(spec).items():
                waiting[pool] += count * (spec["tasks"] - done)
        for pool, seats in self.seats.items():
            ours = sum(self.running[pool].values())
            server = self.server  # its seat count may have been lowered
            seats = min(seats, server.pools[pool].seats) if server is not None else seats
            there = min(seats - self.people[pool], waiting[pool])
            if waiting[pool] > ours and there > 0:
                self.used_seat_s[pool] += min(ours, there) * passed
                self.available_seat_s[pool] += there * passed

    async def simulate_people(self, server: LicenceServer, pool: str, until: float) -> None:
        """Simulate people who check out seats of a pool and return them, until the given time."""
        rng, number = self.world.rng, 0
        while self.world.now < until:
            await asyncio.sleep(rng.uniform(2.0, 8.0))
            number += 1
            name = f"person-{number}"
            seat_pool = server.pools[pool]
            seat_pool.expire(self.world.now)
            if seat_pool.free <= 0 or self.world.now < server.down_until:
                continue
            seat_pool.held["people", name] = self.world.now + 1e9
            self.people[pool] += 1
            await asyncio.sleep(rng.uniform(5.0, 20.0))
            seat_pool.held.pop(("people", name), None)
            self.people[pool] -= 1
