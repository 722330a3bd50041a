"""What the slices know of the world: a clock, HTTP calls and peer calls.

The daemon gives the real ones, the tests give a simulated world in virtual
time. Nothing else in the package opens a socket or reads a clock.
"""

import asyncio
from typing import Any, NamedTuple, Protocol, TypeVar

import msgspec


class NoAnswer(Exception):
    """No usable answer: the call may have been executed, or may be later."""


class Reply(NamedTuple):
    status: int
    body: bytes


class Clock(Protocol):
    def now(self) -> float:
        """Steady seconds."""
        ...

    def wall(self) -> float:
        """Seconds since the epoch, right within the platform's skew."""
        ...


class Http(Protocol):
    async def call(
        self, addr: str, method: str, path: str, body: bytes | None, timeout: float
    ) -> Reply:
        """One request; raises NoAnswer when no complete answer came in time."""
        ...


class Peers(Protocol):
    async def ask(self, member: str, message: dict[str, Any], timeout: float) -> dict[str, Any]:
        """One question to another controller; raises NoAnswer."""
        ...


T = TypeVar("T")

encode = msgspec.json.encode


def decode(body: bytes, kind: type[T]) -> T:
    """Decode an answer of another system; nonsense counts as no answer."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise NoAnswer(f"nonsense: {error}") from None


class Signal:
    """Something that happens again and again; all who wait share one wake-up."""

    def __init__(self) -> None:
        self._next: asyncio.Future[None] | None = None

    def fire(self) -> None:
        if self._next is not None:
            self._next.set_result(None)
            self._next = None

    async def wait(self, timeout: float) -> bool:
        """Whether it happened, after this call, in time."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
        # Shielded by `wait`: a waiter that gives up must not cancel the others.
        done, _ = await asyncio.wait({self._next}, timeout=max(0.0, timeout))
        return bool(done)


class Bucket:
    """A token bucket: `rate` a second, with bursts of `burst`."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._at = clock.now()

    def resize(self, rate: float) -> None:
        """Change the rate, with bursts of a second's worth; the tokens at hand stay."""
        self.level()
        self.rate, self.burst = rate, max(1.0, rate)
        self._level = min(self._level, self.burst)

    def fill(self) -> None:
        """As after a long pause."""
        self._level = self.burst

    def level(self) -> float:
        """Tokens at hand."""
        now = self._clock.now()
        self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now
        return self._level

    def take(self, amount: float = 1.0) -> bool:
        """Take tokens if they are at hand."""
        if self.level() < amount:
            return False
        self._level -= amount
        return True

    async def wait(self, amount: float = 1.0) -> None:
        """Wait until the tokens are at hand and take them."""
        amount = min(amount, self.burst)
        while not self.take(amount):
            await asyncio.sleep(max(0.005, (amount - self._level) / self.rate))
