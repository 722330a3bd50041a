"""The cloud's calls, within this node's part of the call budget.

A hire name carries the leader's token, so no name is ever used twice; a hire
without an answer is repeated under the same name, which rents nothing new.
"""

from typing import Any, Literal

import msgspec

from chalkgrade import constants
from chalkgrade.machines.flavors import Flavor, Pool
from chalkgrade.outside import Clock, Http, NoAnswer, TokenBucket, decode_response, encode


class Listed(msgspec.Struct):
    nameId: str
    hosttype: str
    site: str
    standby: bool = False
    status: Literal["starting", "running", "failed"] = "running"
    ageS: float = 0.0
    addr: str = ""


class Flavors(msgspec.Struct):
    hosttypes: list[Flavor]


class Hosts(msgspec.Struct):
    hosts: list[str]


class MachineList(msgspec.Struct):
    hosts: list[Listed]
    more: bool = False


class Refused(Exception):
    """No capacity in that pool now."""


class Cloud:
    """The calls to the cloud, within this node's part of the call budget."""

    def __init__(self, http: Http, clock: Clock, addr: str, rps: float) -> None:
        self._http = http
        self._clock = clock
        self._addr = addr
        # Only the leader calls regularly; followers read the flavors once at their start.
        self.calls = TokenBucket(clock, rps * 0.8, rps)
        self.counts: dict[str, int] = {}
        self.answered_at = self.failed_at = -1e9

    def reached(self) -> bool | None:
        """Whether the last call was answered at all; None when there was none lately."""
        last = max(self.answered_at, self.failed_at)
        if self._clock.now() - last > constants.CLOUD_REACHABLE_S:
            return None
        return self.answered_at >= self.failed_at

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        await self.calls.acquire()
        payload = None if body is None else encode(body)
        try:
            reply = await self._http.call(
                self._addr, method, path, payload, constants.CLOUD_REQUEST_TIMEOUT_S
            )
        except NoAnswer:
            self.failed_at = self._clock.now()
            raise
        self.answered_at = self._clock.now()
        self.counts[str(reply.status)] = self.counts.get(str(reply.status), 0) + 1
        return reply

    async def flavors(self) -> list[Flavor]:
        status, data = await self._call("GET", "/flavors")
        if status != 200:
            raise NoAnswer(f"flavors: status {status}")
        return decode_response(data, Flavors).hosttypes

    async def machines(self) -> tuple[list[Listed], float]:
        """All machines, and when the list was asked for."""
        asked = self._clock.now()
        rows: list[Listed] = []
        after = ""
        while True:
            path = "/rentals?page=500" + (f"&after={after}" if after else "")
            status, data = await self._call("GET", path)
            if status != 200:
                raise NoAnswer(f"list: status {status}")
            page = decode_response(data, MachineList)
            rows += page.hosts
            if not page.more or not page.hosts:
                return rows, asked
            after = page.hosts[-1].nameId

    async def rent(self, hire: str, pool: Pool, count: int) -> list[str]:
        hosttype, site, standby = pool
        body = {
            "hire": hire,
            "hosttype": hosttype,
            "site": site,
            "standby": standby,
            "howMany": count,
        }
        status, data = await self._call("POST", "/rentals", body)
        if status == 200:
            return decode_response(data, Hosts).hosts
        if status == 503 and b"no capacity" in data:
            raise Refused
        if status == 400:
            raise Refused  # asking again for the same can't help
        raise NoAnswer(f"rent: status {status}")

    async def release(self, names: list[str]) -> None:
        """Return machines; without an exception they and all on them are gone."""
        status, _ = await self._call("POST", "/rentals/release", {"hosts": names})
        if status != 200:
            raise NoAnswer(f"release: status {status}")
