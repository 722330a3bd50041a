"""Sets of the tasks of one job, by number.

A job may have 100,000 tasks, and most of them wait while a few run. So tasks are kept as one bit
each in pages of `TASKS_PER_PAGE`, and a page takes memory only once one of its tasks was started.
"""

from collections.abc import Iterator

from chalkgrade import constants
from chalkgrade.record.oplog import page_number


def _offset(index: int) -> int:
    """Return a task's position in its page."""
    return index % constants.TASKS_PER_PAGE


def _indexes(number: int, mask: int) -> Iterator[int]:
    """Yield the tasks of a page whose bits are set, in ascending order."""
    first = number * constants.TASKS_PER_PAGE
    while mask:
        lowest_bit = mask & -mask
        yield first + lowest_bit.bit_length() - 1
        mask ^= lowest_bit


class DoneTasks:
    """The done tasks of one page."""

    __slots__ = ("_number", "_mask")

    def __init__(self, number: int) -> None:
        """Start without done tasks; `number` is that of the page."""
        self._number = number
        self._mask = 0

    def __iter__(self) -> Iterator[int]:
        return _indexes(self._number, self._mask)

    def add(self, index: int) -> None:
        """Add a task of the page."""
        self._mask |= 1 << _offset(index)

    def ranges(self) -> list[tuple[int, int]]:
        """Return the tasks as ranges of consecutive numbers, both ends included."""
        out: list[tuple[int, int]] = []
        for index in self:
            if out and out[-1][1] == index - 1:
                out[-1] = (out[-1][0], index)
            else:
                out.append((index, index))
        return out


class WaitingTasks:
    """The tasks of a job that have no attempt, ordered by number.

    An interrupted task comes before those that were never started.
    """

    __slots__ = ("_task_count", "_waiting_count", "_masks", "_first_page")

    def __init__(self, count: int) -> None:
        """Start with all of a job's `count` tasks waiting."""
        self._task_count = count
        self._waiting_count = count
        self._masks: dict[int, int] = {}  # of the pages that were changed, by page number
        self._first_page = 0  # no task of an earlier page is waiting

    def __len__(self) -> int:
        return self._waiting_count

    def __contains__(self, index: int) -> bool:
        if not 0 <= index < self._task_count:
            return False
        return bool(self._mask(page_number(index)) >> _offset(index) & 1)

    def __iter__(self) -> Iterator[int]:
        for number in range(self._first_page, self._page_count):
            yield from _indexes(number, self._mask(number))

    @property
    def _page_count(self) -> int:
        return -(-self._task_count // constants.TASKS_PER_PAGE)

    def _mask(self, number: int) -> int:
        """Return the waiting tasks of a page as bits."""
        mask = self._masks.get(number)
        if mask is not None:
            return mask
        size = self._task_count - number * constants.TASKS_PER_PAGE
        return (1 << min(size, constants.TASKS_PER_PAGE)) - 1

    def add(self, index: int) -> None:
        """Add a task of the job."""
        if index in self or not 0 <= index < self._task_count:
            return
        number = page_number(index)
        self._masks[number] = self._mask(number) | 1 << _offset(index)
        self._first_page = min(self._first_page, number)
        self._waiting_count += 1

    def remove(self, index: int) -> bool:
        """Remove a task; returns whether it was waiting."""
        if index not in self:
            return False
        number = page_number(index)
        self._masks[number] = self._mask(number) ^ 1 << _offset(index)
        self._waiting_count -= 1
        return True

    def lowest(self, skip: set[int]) -> int | None:
        """Return the lowest waiting task that is not in `skip`, or None."""
        while self._first_page < self._page_count and not self._mask(self._first_page):
            self._first_page += 1
        return next((index for index in self if index not in skip), None)
