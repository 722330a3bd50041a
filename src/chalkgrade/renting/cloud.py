"""Client of the cloud provider's API, limited to this node's share of the call budget.

The name of a rental request carries the leader's token, so no name is used twice by different
leaders. A request without an answer is repeated under the same name, which rents nothing new.
"""

from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.machines.flavors import Flavor, Pool
from chalkgrade.outside import Clock, Http, NoAnswer, TokenBucket, decode_response, encode


class ListedMachine(msgspec.Struct):
    """One machine in the cloud's list of rented machines."""

    nameId: str
    hosttype: str
    site: str
    standby: bool = False
    status: str = "running"  # starting, running or failed
    ageS: float = 0.0
    addr: str = ""


class FlavorList(msgspec.Struct):
    """Answer of the cloud with all machine flavors."""

    hosttypes: list[Flavor]


class RentedHosts(msgspec.Struct):
    """Answer to a rental request: the names of the rented machines."""

    hosts: list[str]


class MachineList(msgspec.Struct):
    """One page of the cloud's list of rented machines; `more`: another page follows."""

    hosts: list[ListedMachine]
    more: bool = False


class RentalRefusedError(Exception):
    """The pool has no capacity now, or the cloud rejected the request as invalid."""


class CloudClient:
    """Calls the cloud provider's API within this node's share of the call budget.

    Calls raise `NoAnswer` if the cloud does not answer or reports an unexpected status.
    """

    def __init__(self, http: Http, clock: Clock, addr: str, rps: float) -> None:
        self._http = http
        self._clock = clock
        self._addr = addr
        # Only the leader calls regularly; followers read the flavors once when they start.
        self.call_bucket = TokenBucket(clock, rps * 0.8, rps)
        self.response_counts: dict[str, int] = {}
        self.last_response_at = self.last_failure_at = -1e9

    def is_reachable(self) -> bool | None:
        """Whether the last call got an answer.

        None if there was no call in the last `CLOUD_REACHABLE_S` seconds.
        """
        last = max(self.last_response_at, self.last_failure_at)
        if self._clock.now() - last > constants.CLOUD_REACHABLE_S:
            return None
        return self.last_response_at >= self.last_failure_at

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        await self.call_bucket.acquire()
        payload = None if body is None else encode(body)
        try:
            reply = await self._http.call(
                self._addr, method, path, payload, constants.CLOUD_REQUEST_TIMEOUT_S
            )
        except NoAnswer:
            self.last_failure_at = self._clock.now()
            raise
        self.last_response_at = self._clock.now()
        self.response_counts[str(reply.status)] = self.response_counts.get(str(reply.status), 0) + 1
        return reply

    async def list_flavors(self) -> list[Flavor]:
        """Returns all machine flavors with their current prices."""
        status, data = await self._call("GET", "/flavors")
        if status != 200:
            raise NoAnswer(f"GET /flavors failed: status {status}")
        return decode_response(data, FlavorList).hosttypes

    async def list_machines(self) -> tuple[list[ListedMachine], float]:
        """Returns all rented machines and the time when the list was requested."""
        requested_at = self._clock.now()
        rows: list[ListedMachine] = []
        after = ""
        while True:
            path = "/rentals?page=500" + (f"&after={after}" if after else "")
            status, data = await self._call("GET", path)
            if status != 200:
                raise NoAnswer(f"GET /rentals failed: status {status}")
            page = decode_response(data, MachineList)
            rows += page.hosts
            if not page.more or not page.hosts:
                return rows, requested_at
            after = page.hosts[-1].nameId

    async def rent(self, request_name: str, pool: Pool, count: int) -> list[str]:
        """Rents up to `count` machines of a pool and returns their names.

        Raises `RentalRefusedError` if the pool has no capacity or the request is invalid.
        """
        hosttype, site, standby = pool
        body = {
            "hire": request_name,
            "hosttype": hosttype,
            "site": site,
            "standby": standby,
            "howMany": count,
        }
        status, data = await self._call("POST", "/rentals", body)
        if status == 200:
            return decode_response(data, RentedHosts).hosts
        if status == 503 and b"no capacity" in data:
            raise RentalRefusedError
        if status == 400:
            raise RentalRefusedError  # an invalid request would fail again
        raise NoAnswer(f"POST /rentals failed: status {status}")

    async def release(self, names: list[str]) -> None:
        """Returns machines to the cloud; on success they and everything on them are gone."""
        status, _ = await self._call("POST", "/rentals/release", {"hosts": names})
        if status != 200:
            raise NoAnswer(f"POST /rentals/release failed: status {status}")
