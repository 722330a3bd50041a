"""What everything in a region stands on: time, luck, and a network that can be cut."""

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from chalkgrade.outside import NoAnswer
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.settings import Settings

# Answers a request: from whom, method, path, body. None: it will never answer.
Server = Callable[[str, str, str, Any], Awaitable[tuple[int, Any] | None]]


CONNECT_TIMEOUT_S = 0.5  # s; until a machine gives up a connection that nobody takes
DELAYED_REPORT_S = 1.0  # s; a report that takes longer was held back
SAVED_REPORTS_PER_MACHINE = 3  # of each machine, for the next leader


class SimulationBase:
    """Time, one random source, the network, and what the settings say."""

    LOSS = 0.002  # share of messages that come late
    MEMBERS: tuple[str, ...] = ("n-0", "n-1", "n-2")
    ZONES: tuple[str, ...] = ("a", "b")
    LEASE_S, CANCEL_S, REPORT_S, GANG_WAIT_S = 12.0, 32.0, 3.0, 20.0
    STATE: dict[str, Any] = {"rps": 200, "write_rps": 40, "txn_ops": 16, "value_kb": 16}
    CLOUD: dict[str, Any] = {"rps": 5, "list_lag_s": 2}
    TEAMS: tuple[dict[str, Any], ...] = (
        {"name": "red", "cpus": 12, "cpus_max": 20},
        {"name": "blue", "cpus": 0, "cpus_max": 0},
    )
    FLAVORS: tuple[dict[str, Any], ...] = (
        {
            "sku": "small",
            "vcpus": 4,
            "gpus": 0,
            "memoryGb": 16,
            "localGb": 8,
            "pullGbPerS": 0.5,
            "hourly": 0.3,
            "spotPrice": 0.1,
            "bootS": 6,
            "sites": ["a", "b"],
        },
        {
            "sku": "large",
            "vcpus": 16,
            "gpus": 0,
            "memoryGb": 64,
            "localGb": 9,
            "pullGbPerS": 1,
            "hourly": 1.2,
            "spotPrice": 0.4,
            "bootS": 9,
            "sites": ["a", "b"],
        },
    )
    ROOMS: dict[tuple[str, str, bool], int] = {
        ("small", "a", True): 6,
        ("small", "b", True): 6,
        ("small", "a", False): 2,
        ("small", "b", False): 2,
        ("large", "b", True): 1,
        ("large", "a", False): 1,
    }

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop, self.rng = loop, random.Random(seed)
        self.members = list(self.MEMBERS)
        self.parts: dict[str, Any] = {}  # settings of optional subsystems, by name
        self.settings = self._settings(self.members[0])
        self.servers: dict[str, Server] = {}
        self.network_context = contextvars.Context()
        self.cuts: list[tuple[frozenset[str], frozenset[str], float, bool, bool]] = []
        self.loss = self.LOSS
        # Copies of workers' reports: until when, what share of them, and how late; s.
        self.report_copies = (0.0, 0.0, (0.0, 0.0))
        self.muted: dict[str, float] = {}  # machine -> until when no report of it gets through
        # Copies that wait for the next leader, by machine; until when reports are kept so, and
        # what share of them.
        self.saved_reports: dict[str, list[Any]] = {}
        self.saving_reports = (0.0, 0.0)
        self.failure: BaseException | None = None
        self.background: set[asyncio.Task[Any]] = set()

    @property
    def now(self) -> float:
        return self.loop.time()

    def _settings(self, member: str, kind: Any = Settings) -> Any:
        """A controller's settings, as this version or another one reads them."""
        others = [name for name in self.members if name != member]
        zones = self.ZONES
        return msgspec.convert(
            {
                "member": member,
                "zone": zones[self.members.index(member) % len(zones)],
                "bind": "10.0.0.1:80",
                "cluster_listen": "10.0.0.1:81",
                "others": [{"member": name, "addr": "10.0.0.9:81"} for name in others],
                "endpoints": {"state": "10.0.0.2:1", "cloud": "10.0.0.2:2"},
                "cluster": {
                    "zones": list(zones),
                    "teams": list(self.TEAMS),
                    "workers": {
                        "report_s": self.REPORT_S,
                        "lease_s": self.LEASE_S,
                        "cancel_s": self.CANCEL_S,
                    },
                    "state": self.STATE,
                    "cloud": self.CLOUD,
                },
            },
            kind,
        )

    def spawn(
        self, work: Awaitable[Any], context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        # Outside of all controllers: what is on its way goes on when its sender falls silent.
        task: asyncio.Task[Any] = self.loop.create_task(
            work,  # type: ignore[arg-type]
            context=self.network_context if context is None else context,
        )
        self.background.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None and self.failure is None:
            self.failure = task.exception()

    # -- network --------------------------------------------------------------------

    def up(self, target: str) -> bool:
        """Whether connections to it are taken at all."""
        return True

    def cut(
        self, one: set[str], other: set[str], seconds: float, hold: bool, one_way: bool = False
    ) -> None:
        """Part two sides of the network; `one_way`: only what goes from the first to the other."""
        self.cuts = [row for row in self.cuts if row[2] > self.now]
        self.cuts.append((frozenset(one), frozenset(other), self.now + seconds, hold, one_way))

    def _find_cut(self, one: str, other: str) -> tuple[float, bool] | None:
        for left, right, until, hold, one_way in self.cuts:
            if self.now < until and (
                (one in left and other in right) or (one in right and other in left and not one_way)
            ):
                return until, hold
        return None

    async def _transmit(self, source: str, target: str) -> None:
        """Carry one message; a held one arrives when the cut ends, whoever still waits."""
        while True:
            cut = self._find_cut(source, target) if self.cuts else None
            if cut is None:
                break
            until, hold = cut
            if not hold or source in self.members and target in self.members:
                raise NoAnswer("cut")
            await asyncio.sleep(until - self.now + 0.01)
        late = self.rng.choice([0.2, 0.5, 20.0]) if self.rng.random() < self.loss else 0.0
        await asyncio.sleep(late + self.rng.uniform(0.0005, 0.006))

    async def request(
        self, source: str, target: str, method: str, path: str, body: Any, timeout: float
    ) -> tuple[int, Any]:
        """One exchange; it goes on in the network when the asker gives up."""
        if not self.up(target):
            await asyncio.sleep(0.001)
            raise NoAnswer("refused")
        if path == "/hello" and self.now < self.muted.get(source, 0.0):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise NoAnswer("no connection")
        exchange = self.spawn(self._exchange(source, target, method, path, body))
        until, share, late = self.report_copies
        if path == "/hello" and self.now < until and self.rng.random() < share:
            self.spawn(self._resend(source, method, path, body, self.rng.uniform(*late)))
        until, share = self.saving_reports
        if path == "/hello" and self.now < until and self.rng.random() < share:
            self._save_report(source, body)
        done, _ = await asyncio.wait({exchange}, timeout=timeout)
        if not done:
            raise NoAnswer("timeout")
        # A crash cancels it.
        result: tuple[int, Any] | None = None if exchange.cancelled() else exchange.result()
        if result is None:
            raise NoAnswer("lost")
        return result

    def _save_report(self, source: str, body: Any) -> None:
        """Keep a copy of a report for the next leader: some of each machine, early and late."""
        kept = self.saved_reports.setdefault(source, [])
        if len(kept) < SAVED_REPORTS_PER_MACHINE:
            kept.append(body)
        else:
            kept[self.rng.randrange(SAVED_REPORTS_PER_MACHINE)] = body

    async def _resend(self, source: str, method: str, path: str, body: Any, late: float) -> None:
        """A report once more, late and wherever; nobody waits for its answer."""
        await asyncio.sleep(late)
        target = self.rng.choice(self.members)
        if self.up(target):
            await self.servers[target](source, method, path, body)

    def on_delayed_report(self, source: str, target: str, sent: float) -> None:
        """A report arrives that was held on its way since then."""

    async def _exchange(
        self, source: str, target: str, method: str, path: str, body: Any
    ) -> tuple[int, Any] | None:
        try:
            sent = self.now
            await self._transmit(source, target)
            if path == "/hello" and self.now > sent + DELAYED_REPORT_S:
                self.on_delayed_report(source, target, sent)
            answer = await self.servers[target](source, method, path, body)
            if answer is None:
                return None
            await self._transmit(target, source)
        except NoAnswer:
            return None
        return answer
