"""Seats checked out with licence servers: what is held, asked for, and given back.

Checkouts are not tied to tasks: what counts is that we hold at least as many seats as
our tasks may use. So nothing is written for them: a new leader reads from the server
which names are ours, and takes them over. A checkout is a promise when its answer has
come; one whose answer is lost is asked for again under the same name, which checks out
nothing more. Every request carries the leader's token as a fence: what an earlier
leader sent late is refused by the server.
"""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from chalkgrade import constants
from chalkgrade.licences.needs import Needs
from chalkgrade.licences.seats import Usable
from chalkgrade.licences.settings import LicencePool
from chalkgrade.outside import Clock, Http, NoAnswer, TokenBucket, decode_response, encode

log = logging.getLogger("chalkgrade.licences")


class Held(msgspec.Struct):
    """One seat that somebody holds."""

    holder: str
    name: str


class Status(msgspec.Struct):
    """GET /pools/POOL."""

    seats: int
    held: list[Held] = []


class Granted(msgspec.Struct):
    """The answer to a checkout or a renewal: the names that are held, for how long."""

    names: list[str]
    ttlS: float


class PoolStock:
    """Our seats of one pool of a server."""

    def __init__(
        self,
        pool: LicencePool,
        token: int,
        http: Http,
        clock: Clock,
        rng: random.Random,
        wanted: Callable[[str], int],
    ) -> None:
        self.pool = pool
        self.token = token
        self.http = http
        self.clock = clock
        self.rng = rng
        self.wanted = wanted  # seats that our tasks use or would use now
        self.budget = TokenBucket(clock, pool.rps, pool.rps)
        self.sure: dict[str, float] = {}  # name -> until when it is surely ours
        self.asked: dict[str, None] = {}  # names whose checkout may have been executed
        self.surplus_since: float | None = None
        self.number = 0
        self.seats = 0  # by the server's last word
        self.foreign = 0  # held by others
        self.told_at = -1e9  # when the server last gave a usable answer
        self.read_at = -1e9
        self.pause = 0.0  # after a failure or refusal; grows
        self.next_at = 0.0
        self.counts: dict[str, int] = {}

    def usable(self) -> Usable:
        now = self.clock.now()
        mine = sum(until > now for until in self.sure.values())
        return Usable(mine, now - self.told_at < constants.SEAT_SERVER_STALE_S)

    async def _call(self, what: str, names: list[str] | None) -> bytes:
        """One request; NoAnswer for anything but a usable answer, and for a refusal, too."""
        await self.budget.acquire()
        path = f"/pools/{self.pool.name}" + (f"/{what}" if what else "")
        body = None
        if names is not None:
            body = encode({"holder": self.pool.holder, "fence": self.token, "names": names})
        method = "GET" if names is None else "POST"
        reply = await self.http.call(
            self.pool.server, method, path, body, constants.SEAT_REQUEST_TIMEOUT_S
        )
        kind = f"{what or 'status'} {reply.status}"
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if reply.status != 200:
            raise NoAnswer(f"{self.pool.name}: {kind}")
        return reply.body

    async def run(self) -> None:
        """Bring what is held to what is wanted, for ever."""
        while True:
            await asyncio.sleep(
                max(constants.SEAT_SERVER_STEP_INTERVAL_S, self.next_at - self.clock.now())
            )
            try:
                await self.step()
                self.pause = 0.0
            except NoAnswer as error:
                log.info("licence server: %s", error)
                self.backoff()

    def backoff(self) -> None:
        """Come back later each time, not all at once."""
        self.pause = min(
            constants.MAX_SEAT_RETRY_PAUSE_S, max(constants.MIN_SEAT_RETRY_PAUSE_S, 2 * self.pause)
        )
        self.next_at = self.clock.now() + self.pause * self.rng.uniform(0.5, 1.0)

    async def step(self) -> None:
        """Read, renew, check out or return: whatever is due."""
        now = self.clock.now()
        if now - self.read_at >= constants.SEAT_LIST_INTERVAL_S:
            await self._read()
        for name in [name for name, until in self.sure.items() if until <= now]:
            del self.sure[name]
            self.asked[name] = None  # ours no more for sure; the server may still think so
        due = [n for n, until in self.sure.items() if until - now < self._renew_s()]
        due = list(dict.fromkeys([*due, *self.asked]))
        want = self.wanted(self.pool.name)
        spare = len(self.sure) - want
        if spare > 0:
            await self._spare(now, spare)
            due = [name for name in due if name in self.sure]
        else:
            self.surplus_since = None
        if due:
            await self._renew(due)
        lacking = min(want - len(self.sure), max(1, self.seats - self.foreign - len(self.sure)))
        if want > len(self.sure) and lacking > 0:
            await self._check_out(min(lacking, constants.MAX_SEATS_PER_REQUEST))

    def _renew_s(self) -> float:
        return self.pool.timeout_s * (1 - constants.SEAT_RENEWAL_RATIO)

    async def _read(self) -> None:
        """What the server says: names of ours that an earlier leader held are taken over."""
        status = decode_response(await self._call("", None), Status)
        self.read_at = self.told_at = self.clock.now()
        self.seats = status.seats
        ours = {held.name for held in status.held if held.holder == self.pool.holder}
        self.foreign = len(status.held) - len(ours)
        # What the list has and we have not, or the other way round, is settled by a renewal
        # at once: a list may lag, but a server that restarted must be noticed soon.
        for name in ours ^ self.sure.keys():
            self.asked[name] = None

    async def _granted(self, what: str, names: list[str]) -> set[str]:
        sent = self.clock.now()
        answer = decode_response(await self._call(what, names), Granted)
        self.told_at = self.clock.now()
        found = set(answer.names) & set(names)
        until = (
            sent + answer.ttlS * (1 - constants.CLOCK_DRIFT_RATIO) - constants.SEAT_LEASE_MARGIN_S
        )
        for name in found:
            self.sure[name] = until
            self.asked.pop(name, None)
        return found

    async def _renew(self, names: list[str]) -> None:
        """What is not renewed is lost: the server restarted, or freed it after its timeout."""
        names = names[: constants.MAX_SEATS_PER_REQUEST]
        found = await self._granted("renew", names)
        for name in set(names) - found:
            self.sure.pop(name, None)
            self.asked.pop(name, None)

    async def _check_out(self, count: int) -> None:
        names = [f"{self.token}-{self.number + n}" for n in range(1, count + 1)]
        self.number += count
        self.asked |= dict.fromkeys(names)
        found = await self._granted("checkout", names)
        for name in set(names) - found:
            self.asked.pop(name, None)  # refused: somebody else was first
        if len(found) < count:
            self.backoff()

    async def _spare(self, now: float, spare: int) -> None:
        """Return what nothing asks for, after a moment: work may follow work."""
        self.surplus_since = now if self.surplus_since is None else self.surplus_since
        if now - self.surplus_since < constants.SPARE_SEAT_RETENTION_S:
            return
        names = list(self.sure)[-spare:][: constants.MAX_SEATS_PER_REQUEST]
        for name in names:
            del self.sure[name]  # not ours from before the request on, whatever comes of it
            self.asked[name] = None
        await self._call("return", names)
        for name in names:
            self.asked.pop(name, None)


def stocks(
    needs: Needs,
    token: int,
    http: Http,
    clock: Clock,
    rng: random.Random,
    wanted: Callable[[str], int],
) -> dict[str, PoolStock]:
    """One for each pool that has a server."""
    return {
        name: PoolStock(pool, token, http, clock, rng, wanted)
        for name, pool in needs.pools.items()
        if pool.server
    }
