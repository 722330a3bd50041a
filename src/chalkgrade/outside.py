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


def decode_response(body: bytes, kind: type[T]) -> T:
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


class TokenBucket:
    """A token bucket: `rate` a second, with bursts of `burst`."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self.rate_per_s = rate
        self.max_tokens = max(1.0, burst)
        self._tokens = self.max_tokens
        self._updated_at = clock.now()

    def set_rate(self, rate: float) -> None:
        """Change the rate, with bursts of a second's worth; the tokens at hand stay."""
        self.available_tokens()
        self.rate_per_s, self.max_tokens = rate, max(1.0, rate)
        self._tokens = min(self._tokens, self.max_tokens)

    def refill(self) -> None:
        """As after a long pause."""
        self._tokens = self.max_tokens

    def available_tokens(self) -> float:
        """Tokens at hand."""
        now = self._clock.now()
        self._tokens = min(
            self.max_tokens, self._tokens + (now - self._updated_at) * self.rate_per_s
        )
        self._updated_at = now
        return self._tokens

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take tokens if they are at hand."""
        if self.available_tokens() < amount:
            return False
        self._tokens -= amount
        return True

    async def acquire(self, amount: float = 1.0) -> None:
        """Wait until the tokens are at hand and take them."""
        amount = min(amount, self.max_tokens)
        while not self.try_acquire(amount):
            await asyncio.sleep(max(0.005, (amount - self._tokens) / self.rate_per_s))
