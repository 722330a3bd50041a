"""Interfaces to the outside: clock, HTTP calls and calls to peers; and rate limiting.

The daemon passes real implementations, tests pass a simulated world in virtual time. No other
module of the package opens a socket or reads a clock.
"""

import asyncio
from typing import Any, NamedTuple, Protocol, TypeVar

import msgspec


class NoAnswer(Exception):
    """No usable answer arrived; the call may have been executed, or may be executed later."""


class Reply(NamedTuple):
    """An HTTP response: status code and body."""

    status: int
    body: bytes


class Clock(Protocol):
    """A monotonic clock and a wall clock."""

    def now(self) -> float:
        """Monotonic time in seconds."""
        ...

    def wall(self) -> float:
        """Seconds since the epoch, accurate within the platform's clock skew."""
        ...


class Http(Protocol):
    """An HTTP client."""

    async def call(
        self, addr: str, method: str, path: str, body: bytes | None, timeout: float
    ) -> Reply:
        """Send one request; raises NoAnswer if no complete answer arrives within `timeout` s."""
        ...


class Peers(Protocol):
    """Calls to the other controllers."""

    async def ask(self, member: str, message: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Send a request to another controller; raises NoAnswer if it fails or times out."""
        ...


T = TypeVar("T")

encode = msgspec.json.encode


def decode_response(body: bytes, kind: type[T]) -> T:
    """Decode a JSON answer of another system; raises NoAnswer if it is malformed."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise NoAnswer(f"malformed answer: {error}") from None


class Signal:
    """A repeating event; one occurrence wakes all waiters."""

    def __init__(self) -> None:
        self._next: asyncio.Future[None] | None = None

    def fire(self) -> None:
        """Wake all waiters."""
        if self._next is not None:
            self._next.set_result(None)
            self._next = None

    async def wait(self, timeout: float) -> bool:
        """Wait for the next occurrence; returns whether it came within `timeout` seconds."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
        # `asyncio.wait` does not cancel the future, so a waiter that times out or is cancelled
        # leaves the others waiting.
        done, _ = await asyncio.wait({self._next}, timeout=max(0.0, timeout))
        return bool(done)


class TokenBucket:
    """A token bucket that gains `rate_per_s` tokens a second, up to `max_tokens`."""

    def __init__(self, clock: Clock, rate_per_s: float, max_tokens: float) -> None:
        self._clock = clock
        self.rate_per_s = rate_per_s
        self.max_tokens = max(1.0, max_tokens)
        self._tokens = self.max_tokens
        self._updated_at = clock.now()

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate, and the maximum to a second's worth; available tokens stay, up to it."""
        self.available_tokens()
        self.rate_per_s, self.max_tokens = rate_per_s, max(1.0, rate_per_s)
        self._tokens = min(self._tokens, self.max_tokens)

    def refill(self) -> None:
        """Fill the bucket, as after a long pause."""
        self._tokens = self.max_tokens

    def available_tokens(self) -> float:
        """The number of tokens available now."""
        now = self._clock.now()
        self._tokens = min(
            self.max_tokens, self._tokens + (now - self._updated_at) * self.rate_per_s
        )
        self._updated_at = now
        return self._tokens

    def try_acquire(self, amount: float = 1.0) -> bool:
        """Take tokens if they are available; returns whether it did."""
        if self.available_tokens() < amount:
            return False
        self._tokens -= amount
        return True

    async def acquire(self, amount: float = 1.0) -> None:
        """Wait until the tokens are available and take them; `amount` is capped at the maximum."""
        amount = min(amount, self.max_tokens)
        while not self.try_acquire(amount):
            await asyncio.sleep(max(0.005, (amount - self._tokens) / self.rate_per_s))
