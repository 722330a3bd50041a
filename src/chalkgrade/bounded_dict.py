"""A dict with a bounded number of entries, so that long-lived caches do not grow without limit."""

from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


class BoundedDict(dict[K, V]):
    """Keeps entries in insertion order and drops the oldest beyond `max_entries`."""

    def __init__(self, max_entries: int) -> None:
        super().__init__()
        self.max_entries = max_entries

    def __setitem__(self, key: K, value: V) -> None:
        super().__setitem__(key, value)
        while len(self) > self.max_entries:
            del self[next(iter(self))]
