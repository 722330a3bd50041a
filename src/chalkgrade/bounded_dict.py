"""A dict that keeps its latest entries only: what is kept for ever would grow for ever."""

from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


class BoundedDict(dict[K, V]):
    """Entries in the order in which they came; beyond `most` the oldest go."""

    def __init__(self, most: int) -> None:
        super().__init__()
        self.max_entries = most

    def __setitem__(self, key: K, value: V) -> None:
        super().__setitem__(key, value)
        while len(self) > self.max_entries:
            del self[next(iter(self))]
