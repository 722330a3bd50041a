"""Seats checked out from licence servers: held, requested and returned.

Checkouts are not tied to tasks: it suffices to hold at least as many seats as the tasks may use.
So nothing is stored for them: a new leader reads from the server which names belong to the
cluster and takes them over. A checkout counts once its answer has come. If the answer is lost,
the same name is requested again, which checks out no further seat. Every request carries the
leader's token as a fence, so that the server refuses late requests of earlier leaders.
"""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from chalkgrade import constants
from chalkgrade.licences.requirements import SeatRequirements
from chalkgrade.licences.seat_constraint import UsableSeats
from chalkgrade.licences.settings import LicencePool
from chalkgrade.outside import Clock, Http, NoAnswer, TokenBucket, decode_response, encode

log = logging.getLogger("chalkgrade.licences")


class HeldSeat(msgspec.Struct):
    """One held seat in a server's answer."""

    holder: str
    name: str


class PoolStatus(msgspec.Struct):
    """The answer to GET /pools/POOL."""

    seats: int
    held: list[HeldSeat] = []


class SeatGrant(msgspec.Struct):
    """The answer to a checkout or renewal: the names that are held, and for how long."""

    names: list[str]
    ttlS: float


class PoolCheckouts:
    """The seats of one pool that this cluster holds at the licence server."""

    def __init__(
        self,
        pool: LicencePool,
        token: int,
        http: Http,
        clock: Clock,
        rng: random.Random,
        wanted_seats: Callable[[str], int],
    ) -> None:
        self.pool = pool
        self.token = token
        self.http = http
        self.clock = clock
        self.rng = rng
        self.wanted_seats = wanted_seats  # seats that tasks use or could use at once
        self.budget = TokenBucket(clock, pool.rps, pool.rps)
        self.confirmed_until: dict[str, float] = {}  # name -> time until which it is surely held
        self.unconfirmed: dict[str, None] = {}  # names that the server may hold for us
        self.surplus_since: float | None = None
        self.last_number = 0
        self.total_seats = 0  # of the pool, by the server's last status
        self.foreign_seats = 0  # seats held by others
        self.answered_at = -1e9  # time of the last usable answer
        self.status_read_at = -1e9
        self.retry_delay_s = 0.0  # doubles with each failure or refusal
        self.next_step_at = 0.0
        self.response_counts: dict[str, int] = {}

    def usable_seats(self) -> UsableSeats:
        """Returns the seats surely held, and whether the server answered recently."""
        now = self.clock.now()
        mine = sum(until > now for until in self.confirmed_until.values())
        return UsableSeats(mine, now - self.answered_at < constants.SEAT_SERVER_STALE_S)

    async def _request(self, what: str, names: list[str] | None) -> bytes:
        """Sends one request. Raises NoAnswer if there is no usable answer or the server refuses."""
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
        self.response_counts[kind] = self.response_counts.get(kind, 0) + 1
        if reply.status != 200:
            raise NoAnswer(f"{self.pool.name}: {kind}")
        return reply.body

    async def run(self) -> None:
        """Adapts the held seats to the wanted number until cancelled."""
        while True:
            await asyncio.sleep(
                max(constants.SEAT_SERVER_STEP_INTERVAL_S, self.next_step_at - self.clock.now())
            )
            try:
                await self.step()
                self.retry_delay_s = 0.0
            except NoAnswer as error:
                log.info("licence server request failed: %s", error)
                self.backoff()

    def backoff(self) -> None:
        """Delays the next step exponentially, with jitter."""
        self.retry_delay_s = min(
            constants.MAX_SEAT_RETRY_PAUSE_S,
            max(constants.MIN_SEAT_RETRY_PAUSE_S, 2 * self.retry_delay_s),
        )
        self.next_step_at = self.clock.now() + self.retry_delay_s * self.rng.uniform(0.5, 1.0)

    async def step(self) -> None:
        """Reads the status, renews, returns and checks out seats as far as due."""
        now = self.clock.now()
        if now - self.status_read_at >= constants.SEAT_LIST_INTERVAL_S:
            await self._read_status()
        for name in [name for name, until in self.confirmed_until.items() if until <= now]:
            del self.confirmed_until[name]
            self.unconfirmed[name] = None  # expired here, though the server may still hold it
        due = [
            n for n, until in self.confirmed_until.items() if until - now < self._renew_before_s()
        ]
        due = list(dict.fromkeys([*due, *self.unconfirmed]))
        wanted = self.wanted_seats(self.pool.name)
        surplus = len(self.confirmed_until) - wanted
        if surplus > 0:
            await self._return_surplus(now, surplus)
            due = [name for name in due if name in self.confirmed_until]
        else:
            self.surplus_since = None
        if due:
            await self._renew(due)
        missing = min(
            wanted - len(self.confirmed_until),
            max(1, self.total_seats - self.foreign_seats - len(self.confirmed_until)),
        )
        if wanted > len(self.confirmed_until) and missing > 0:
            await self._check_out(min(missing, constants.MAX_SEATS_PER_REQUEST))

    def _renew_before_s(self) -> float:
        return self.pool.timeout_s * (1 - constants.SEAT_RENEWAL_RATIO)

    async def _read_status(self) -> None:
        """Reads the status of the pool and takes over the names of earlier leaders."""
        status = decode_response(await self._request("", None), PoolStatus)
        self.status_read_at = self.answered_at = self.clock.now()
        self.total_seats = status.seats
        ours = {held.name for held in status.held if held.holder == self.pool.holder}
        self.foreign_seats = len(status.held) - len(ours)
        # Names that are only in the list or only held here are renewed at once: the list may lag,
        # but a restart of the server, which loses its seats, must be noticed soon.
        for name in ours ^ self.confirmed_until.keys():
            self.unconfirmed[name] = None

    async def _request_grant(self, what: str, names: list[str]) -> set[str]:
        """Requests names and returns those granted, with their expiry less a safety margin."""
        sent = self.clock.now()
        answer = decode_response(await self._request(what, names), SeatGrant)
        self.answered_at = self.clock.now()
        granted = set(answer.names) & set(names)
        until = (
            sent + answer.ttlS * (1 - constants.CLOCK_DRIFT_RATIO) - constants.SEAT_LEASE_MARGIN_S
        )
        for name in granted:
            self.confirmed_until[name] = until
            self.unconfirmed.pop(name, None)
        return granted

    async def _renew(self, names: list[str]) -> None:
        """Renews names. Those not renewed are lost: the server restarted or freed them."""
        names = names[: constants.MAX_SEATS_PER_REQUEST]
        granted = await self._request_grant("renew", names)
        for name in set(names) - granted:
            self.confirmed_until.pop(name, None)
            self.unconfirmed.pop(name, None)

    async def _check_out(self, count: int) -> None:
        names = [f"{self.token}-{self.last_number + n}" for n in range(1, count + 1)]
        self.last_number += count
        self.unconfirmed |= dict.fromkeys(names)
        granted = await self._request_grant("checkout", names)
        for name in set(names) - granted:
            self.unconfirmed.pop(name, None)  # refused: another holder was faster
        if len(granted) < count:
            self.backoff()

    async def _return_surplus(self, now: float, surplus: int) -> None:
        """Returns surplus seats after SEAT_KEEP_S, since further work may need them before."""
        self.surplus_since = now if self.surplus_since is None else self.surplus_since
        if now - self.surplus_since < constants.SPARE_SEAT_RETENTION_S:
            return
        names = list(self.confirmed_until)[-surplus:][: constants.MAX_SEATS_PER_REQUEST]
        for name in names:
            del self.confirmed_until[name]  # not held from before the request, whatever its outcome
            self.unconfirmed[name] = None
        await self._request("return", names)
        for name in names:
            self.unconfirmed.pop(name, None)


def create_checkouts(
    requirements: SeatRequirements,
    token: int,
    http: Http,
    clock: Clock,
    rng: random.Random,
    wanted_seats: Callable[[str], int],
) -> dict[str, PoolCheckouts]:
    """Returns the checkouts of each pool that has a server."""
    return {
        name: PoolCheckouts(pool, token, http, clock, rng, wanted_seats)
        for name, pool in requirements.pools.items()
        if pool.server
    }
