"""Virtual time: an event loop that jumps to the next timer, and clocks for simulated nodes."""

import asyncio
import contextvars
import heapq
import selectors
from typing import Any

TIME_RESOLUTION_S = 1e-6  # resolution of virtual time


class _Selector(selectors.BaseSelector):
    """A selector that advances the virtual clock by the timeout and never sleeps."""

    def __init__(self) -> None:
        self.now = 1000.0  # s; equals `rules.START_TIME_S`
        self._map: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, number, events, data)
        self._map[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._map.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: the event loop has no timer and no ready callback")
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> Any:
        return self._map


# The controller or machine that a callback belongs to; callbacks of a frozen one are delayed.
MEMBER: contextvars.ContextVar[str] = contextvars.ContextVar("member", default="")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer, and which can freeze single members.

    A member is a controller or a machine, as named by the context variable `MEMBER`.
    """

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = TIME_RESOLUTION_S
        self.frozen: dict[str, float] = {}  # member -> virtual time at which it resumes

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now

    def freeze(self, member: str, until: float) -> None:
        """Delay all callbacks of a member until then; its clocks continue."""
        self.frozen[member] = until
        for handle in self._scheduled:  # type: ignore[attr-defined]
            if handle._context.get(MEMBER) == member:
                handle._when = max(handle._when, until)
        heapq.heapify(self._scheduled)  # type: ignore[attr-defined]

    def thaw(self, member: str) -> None:
        """Run new callbacks of a member without delay; those already delayed stay delayed."""
        self.frozen.pop(member, None)

    def _until(self, context: contextvars.Context | None) -> float:
        """Return the time until which callbacks with this context are delayed."""
        member = MEMBER.get() if context is None else context.get(MEMBER, "")
        return self.frozen.get(member, 0.0) if self.frozen else 0.0

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        """Schedule a callback; that of a frozen member runs when the member resumes."""
        until = self._until(context)
        if until > self.time():
            return super().call_at(until, callback, *args, context=context)
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a time, or when its member resumes if that is later."""
        # Every wait must advance the clock, even one that is lost in the rounding of floats.
        # Otherwise a caller that repeatedly waits for the remaining time never ends.
        when = max(when, self._until(context), self.time() + 2 * TIME_RESOLUTION_S)
        return super().call_at(when, callback, *args, context=context)


class ManualClock:
    """A clock that a test sets, in seconds."""

    def __init__(self, at: float = 1000.0) -> None:
        self.at = at

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.at

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return 1.7e9 + self.at


class Clock:
    """The clocks of a node; its monotonic clock runs at a rate of its own."""

    def __init__(self, loop: VirtualLoop, rate: float) -> None:
        self._loop, self._rate = loop, rate

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time() * self._rate

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return 1.7e9 + self._loop.time()
