"""Base of the simulated region: virtual time, randomness and a network with faults."""

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from chalkgrade.outside import NoAnswer
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.settings import Settings

# Handles a request: source, method, path, body. Returns status and answer; None: no answer ever.
Server = Callable[[str, str, str, Any], Awaitable[tuple[int, Any] | None]]


CONNECT_TIMEOUT_S = 0.5  # until a machine gives up a connection that nobody accepts
DELAYED_REPORT_S = 1.0  # a report that takes longer counts as held up in the network
SAVED_REPORTS_PER_MACHINE = 3  # copies that are delivered to the next leader


class SimulationBase:
    """Virtual time, the only random generator, the network and the settings of a region.

    Subclasses override the class attributes to simulate a region of another size.
    """

    LOSS = 0.002  # share of the messages that are delayed by 0.2, 0.5 or 20 s
    MEMBERS: tuple[str, ...] = ("n-0", "n-1", "n-2")
    ZONES: tuple[str, ...] = ("a", "b")
    # Settings of workers. GANG_WAIT_S: how long the tasks of a gang wait for each other.
    LEASE_S, CANCEL_S, REPORT_S, GANG_WAIT_S = 12.0, 32.0, 3.0, 20.0
    STATE: dict[str, Any] = {"rps": 200, "write_rps": 40, "txn_ops": 16, "value_kb": 16}
    CLOUD: dict[str, Any] = {"rps": 5, "list_lag_s": 2}
    QUOTA: dict[str, Any] = {}  # limits of the platform for each controller
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
    # Machines that the cloud has, by type, zone and whether they are spot machines.
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
        self.servers: dict[str, Server] = {}  # request handlers, by the name of their target
        # Context of tasks that belong to no controller, which continue when one is frozen.
        self.network_context = contextvars.Context()
        # Network partitions: both sides, end, whether messages are held, whether it is one-way.
        self.cuts: list[tuple[frozenset[str], frozenset[str], float, bool, bool]] = []
        self.loss = self.LOSS
        # Copies of workers' reports: end of the fault, share of reports, bounds of the delay; s.
        self.report_copies = (0.0, 0.0, (0.0, 0.0))
        self.muted: dict[str, float] = {}  # machine -> time until which its reports are lost
        # Copies of reports for the next leader, by machine; then the time until which reports
        # are saved, and the share of them that is.
        self.saved_reports: dict[str, list[Any]] = {}
        self.saving_reports = (0.0, 0.0)
        self.failure: BaseException | None = None  # first error of a background task
        self.background: set[asyncio.Task[Any]] = set()

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.loop.time()

    def _settings(self, member: str, kind: Any = Settings) -> Any:
        """Return a controller's settings; `kind` is the settings class of its version."""
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
                    "quota": self.QUOTA,
                },
            },
            kind,
        )

    def spawn(
        self, work: Awaitable[Any], context: contextvars.Context | None = None
    ) -> asyncio.Task[Any]:
        """Run a task in the background; its first error becomes `failure`."""
        # By default the task belongs to no controller, so that a message in the network is
        # still delivered when its sender is frozen.
        task: asyncio.Task[Any] = self.loop.create_task(
            work,  # type: ignore[arg-type]
            context=self.network_context if context is None else context,
        )
        self.background.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        """Remove a background task that ended and record its error."""
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None and self.failure is None:
            self.failure = task.exception()

    # -- network --------------------------------------------------------------------

    def up(self, target: str) -> bool:
        """Return whether the target accepts connections."""
        return True

    def cut(
        self, one: set[str], other: set[str], seconds: float, hold: bool, one_way: bool = False
    ) -> None:
        """Partition the network between two sides for some seconds.

        hold: messages are delivered when the partition ends; otherwise they are lost, as are
        always those between controllers. one_way: only messages from `one` to `other` are cut.
        """
        self.cuts = [row for row in self.cuts if row[2] > self.now]
        self.cuts.append((frozenset(one), frozenset(other), self.now + seconds, hold, one_way))

    def _find_cut(self, one: str, other: str) -> tuple[float, bool] | None:
        """Return end and `hold` of a partition that cuts messages from one to the other."""
        for left, right, until, hold, one_way in self.cuts:
            if self.now < until and (
                (one in left and other in right) or (one in right and other in left and not one_way)
            ):
                return until, hold
        return None

    async def _transmit(self, source: str, target: str) -> None:
        """Delay one message as the network does; NoAnswer if a partition drops it.

        A held message arrives after the partition, even if its sender no longer waits for it.
        """
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
        """Send a request and return status and answer; NoAnswer if none comes in time.

        The target may still execute the request after the caller has given up.
        """
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
        # A crash cancels the exchange.
        result: tuple[int, Any] | None = None if exchange.cancelled() else exchange.result()
        if result is None:
            raise NoAnswer("lost")
        return result

    def _save_report(self, source: str, body: Any) -> None:
        """Save a copy of a report for the next leader.

        A random earlier copy is replaced if there are enough, so that both early and late
        reports of each machine are among them.
        """
        kept = self.saved_reports.setdefault(source, [])
        if len(kept) < SAVED_REPORTS_PER_MACHINE:
            kept.append(body)
        else:
            kept[self.rng.randrange(SAVED_REPORTS_PER_MACHINE)] = body

    async def _resend(self, source: str, method: str, path: str, body: Any, late: float) -> None:
        """Deliver a report again, later and to a random controller; the answer is dropped."""
        await asyncio.sleep(late)
        target = self.rng.choice(self.members)
        if self.up(target):
            await self.servers[target](source, method, path, body)

    def on_delayed_report(self, source: str, target: str, sent: float) -> None:
        """Called when a report arrives late; `sent` is the time at which it was sent."""

    async def _exchange(
        self, source: str, target: str, method: str, path: str, body: Any
    ) -> tuple[int, Any] | None:
        """Carry a request and its answer through the network; None if either is lost."""
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
