"""Virtual time: an event loop whose clock jumps, and the clocks of nodes."""

import asyncio
import contextvars
import heapq
import selectors
from typing import Any

TIME_RESOLUTION_S = 1e-6  # s; the grain of virtual time


class _Selector(selectors.BaseSelector):
    """Never sleeps: waiting moves the clock."""

    def __init__(self) -> None:
        self.now = 1000.0  # `rules.BEGAN`
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
            raise RuntimeError("deadlock: nothing is scheduled")
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> Any:
        return self._map


# Which controller a callback belongs to: a silent one's callbacks wait until it resumes.
MEMBER: contextvars.ContextVar[str] = contextvars.ContextVar("member", default="")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer, and that can stop single controllers."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = TIME_RESOLUTION_S
        self.frozen: dict[str, float] = {}

    def time(self) -> float:
        return self._virtual.now

    def freeze(self, member: str, until: float) -> None:
        """Nothing of a controller runs until then; its clocks go on."""
        self.frozen[member] = until
        for handle in self._scheduled:  # type: ignore[attr-defined]
            if handle._context.get(MEMBER) == member:
                handle._when = max(handle._when, until)
        heapq.heapify(self._scheduled)  # type: ignore[attr-defined]

    def thaw(self, member: str) -> None:
        """What a controller begins from now on runs; what waits already waits on."""
        self.frozen.pop(member, None)

    def _until(self, context: contextvars.Context | None) -> float:
        member = MEMBER.get() if context is None else context.get(MEMBER, "")
        return self.frozen.get(member, 0.0) if self.frozen else 0.0

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        until = self._until(context)
        if until > self.time():
            return super().call_at(until, callback, *args, context=context)
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        # A wait too short for a float to show must move the clock all the same: else who waits
        # once more for what is left of it stands still (found by a day that never ended).
        when = max(when, self._until(context), self.time() + 2 * TIME_RESOLUTION_S)
        return super().call_at(when, callback, *args, context=context)


class ManualClock:
    """A clock that is set by hand, in seconds."""

    def __init__(self, at: float = 1000.0) -> None:
        self.at = at

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return 1.7e9 + self.at


class Clock:
    """A node's clocks, with its own rate."""

    def __init__(self, loop: VirtualLoop, rate: float) -> None:
        self._loop, self._rate = loop, rate

    def now(self) -> float:
        return self._loop.time() * self._rate

    def wall(self) -> float:
        return 1.7e9 + self._loop.time()
