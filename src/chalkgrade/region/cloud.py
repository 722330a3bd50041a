"""The simulated cloud provider: machine types, rentals and a delayed list of machines."""

import asyncio
from typing import Any, NamedTuple

import msgspec

from chalkgrade.region.rules import History
from chalkgrade.region.worker import WORKER_PORT, Worker

FAST_BOOT_S = (0.3, 2.0)  # bounds of the boot time while boots are fast


class Boot(NamedTuple):
    """The end of a machine's boot."""

    at: float  # virtual time, s
    name: str  # the machine
    took: float  # s since it was rented


class Cloud:
    """Rents machines, of which some never boot, and lists them with a delay."""

    def __init__(self, world: History) -> None:
        self.world = world
        self.number = 0  # machines created so far
        self.free_machines = dict(world.ROOMS)  # machines that can be rented, by pool
        self.rental_machines: dict[str, list[str]] = {}  # machines of a rental, by its id
        self.machines: dict[str, dict[str, Any]] = {}  # machines that are rented, by name
        self.history: list[tuple[float, list[dict[str, Any]]]] = []  # time, list of machines
        self.workers: dict[str, Worker] = {}  # workers of the machines that are up
        self.rented: list[tuple[float, list[str]]] = []  # time of each rental, its machines
        self.spent = 0.0  # cost of machines that have failed
        self.boots: list[Boot] = []
        self.fast_boots_until = 0.0  # machines rented until then boot within FAST_BOOT_S
        # Share of the machines that never boot, factor of the boot time, end of that fault.
        self.boot_faults = (0.0, 1.0, 0.0)

    def flavors(self) -> dict[str, Any]:
        """Return the machine types as the cloud answers them."""
        return {"hosttypes": [*self.world.FLAVORS]}

    def snapshot(self) -> None:
        """Record the present list of machines; the last 41 are kept."""
        rows = [dict(m, ageS=self.world.now - m["born"]) for m in self.machines.values()]
        self.history = [*self.history[-40:], (self.world.now, rows)]

    async def handle(self, source: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Answer a request with status and body; the list of machines is some seconds old."""
        await asyncio.sleep(0.1)
        if path == "/flavors":
            return 200, self.flavors()
        data = msgspec.json.decode(body) if body else {}
        if path == "/rentals":
            return self._rent(data)
        if path == "/rentals/release":
            for name in data["hosts"]:
                self.remove(name)
            return 200, {}
        lag = self.world.rng.uniform(0.5, 2.0) * self.world.settings.cluster.cloud.list_lag_s
        rows = [rows for at, rows in self.history if at <= self.world.now - lag]
        return 200, {
            "hosts": sorted(rows[-1] if rows else [], key=lambda r: r["nameId"]),
            "more": False,
        }

    def _rent(self, data: dict[str, Any]) -> tuple[int, Any]:
        """Rent up to the wanted number of machines; a repeated rental id gets the same answer."""
        if data["hire"] in self.rental_machines:
            return 200, {"hosts": self.rental_machines[data["hire"]]}
        pool = (data["hosttype"], data["site"], data["standby"])
        count = min(self.free_machines.get(pool, 0), data["howMany"])
        if not count:
            return 503, {"error": "no capacity"}
        self.free_machines[pool] -= count
        names: list[str] = []
        self.rented.append((self.world.now, names))
        for _ in range(count):
            name = self._create_machine(pool)
            names.append(name)
            fail, _, until = self.boot_faults
            if self.world.rng.random() > (fail if self.world.now < until else 0.04):
                quick = self.world.now < self.fast_boots_until
                self.world.spawn(self._boot(name, self._flavor(pool[0]), quick))
        self.rental_machines[data["hire"]] = names
        return 200, {"hosts": names}

    def _flavor(self, sku: str) -> dict[str, Any]:
        """Return a machine type by its name."""
        return next(flavor for flavor in self.world.FLAVORS if flavor["sku"] == sku)

    def _create_machine(self, pool: tuple[str, str, bool]) -> str:
        """Create a machine that has not booted yet and return its name."""
        self.number += 1
        name = f"host-{self.number:06d}"
        self.machines[name] = {
            "nameId": name,
            "addr": f"{name}:{WORKER_PORT}",
            "hosttype": pool[0],
            "site": pool[1],
            "standby": pool[2],
            "status": "starting",
            "born": self.world.now,
        }
        return name

    def add_running(self, pool: tuple[str, str, bool], count: int) -> None:
        """Create machines that are up at the start of a day."""
        for _ in range(count):
            self.free_machines[pool] -= 1
            self._start_worker(self._create_machine(pool), self._flavor(pool[0]))

    def _start_worker(self, name: str, flavor: dict[str, Any]) -> None:
        """Mark a machine as running and start its worker."""
        self.machines[name]["status"] = "running"
        worker = self.workers[name] = Worker(self.world, self.machines[name], flavor)
        self.world.servers[name] = worker.serve
        worker.start()

    def kill(self, name: str) -> None:
        """Stop a machine and its tasks at once; the cloud reports it as failed 30 s later."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()
            del self.world.servers[name]
            self.world.loop.call_later(30.0, self._failed, name)

    def _failed(self, name: str) -> None:
        """Mark a machine as failed and add its cost to what was spent."""
        if name in self.machines:
            self.spent += self.cost(self.machines[name])
            self.machines[name] |= {"status": "failed", "born": self.world.now}

    def cost(self, machine: dict[str, Any]) -> float:
        """Return the cost of a machine until now; at least a minute is charged."""
        flavor = self._flavor(machine["hosttype"])
        hourly: float = flavor["spotPrice"] if machine["standby"] else flavor["hourly"]
        if machine["status"] == "failed":
            return 0.0  # its cost is already in `spent`
        born: float = machine["born"]
        return max(60.0, self.world.now - born) * hourly / 3600

    def money(self) -> float:
        """Return the cost of failed machines and of those that are rented now."""
        return self.spent + sum(self.cost(machine) for machine in self.machines.values())

    async def _boot(self, name: str, flavor: dict[str, Any], quick: bool) -> None:
        """Start a machine's worker after its boot time, unless it was released before."""
        _, factor, until = self.boot_faults
        factor = factor if self.world.now < until else 1.0
        usual = flavor["bootS"] * factor * self.world.rng.uniform(0.2, 1.8)
        await asyncio.sleep(self.world.rng.uniform(*FAST_BOOT_S) if quick else usual)
        if name in self.machines:
            took = self.world.now - self.machines[name]["born"]
            self.boots.append(Boot(self.world.now, name, took))
            self._start_worker(name, flavor)

    def remove(self, name: str) -> None:
        """Release a machine and stop its worker; unknown names are ignored."""
        machine = self.machines.pop(name, None)
        if machine is None:
            return
        self.free_machines[machine["hosttype"], machine["site"], machine["standby"]] += 1
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()
            del self.world.servers[name]
