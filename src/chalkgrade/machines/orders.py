"""The orders in the response to a worker's report.

Orders are never queued: each response carries the difference between the record and the report,
so what a response leaves out, or a lost response, is repeated in the next one.
"""

from collections.abc import Iterable, Iterator
from typing import Any

from chalkgrade import constants
from chalkgrade.machines.fleet import Machine
from chalkgrade.outside import Clock, encode
from chalkgrade.record.jobs import Attempt

Order = dict[str, Any]


class _OrderList:
    """Orders for one response, within the length that the protocol allows for its line."""

    def __init__(self) -> None:
        self.orders: list[Order] = []
        self._bytes_left = constants.MAX_RESPONSE_LINE_BYTES - constants.ORDERS_HEADER_BYTES

    def append(self, order: Order) -> bool:
        """Appends an order; returns False if it doesn't fit, and then nothing after it does."""
        self._bytes_left -= len(encode(order)) + 1
        if self._bytes_left < 0:
            return False
        self.orders.append(order)
        return True


def orders(
    machine: Machine, forgettable: Iterable[tuple[str, int]], clock: Clock, launches: bool
) -> list[Order]:
    """Returns the orders that bring a machine from its last report to the record.

    `forgettable`: ended tasks that the worker may forget; `launches`: whether to launch tasks.
    Kill orders come first, as cancellations have a deadline. Orders beyond the longest response
    are left for the next one.
    """
    out = _OrderList()
    for order, attempt in _kills(machine, clock):
        if not out.append(order):
            return out.orders
        if attempt is not None:
            attempt.kill_sent = True
    for task, number in _ended_tasks(machine, forgettable):
        if not out.append({"order": "forget", "task": task, "try": number}):
            return out.orders
    for attempt in _launchable_attempts(machine) if launches else ():
        order = {"order": "launch", "task": attempt.name, "try": attempt.number}
        if not out.append(order):
            return out.orders
        attempt.launch_report = (machine.tenure, machine.seq)
        machine.response_tracker.launch_orders_sent.add((attempt.name, attempt.number))
    return out.orders


def _kills(machine: Machine, clock: Clock) -> Iterator[tuple[Order, Attempt | None]]:
    """Yields the kill orders, each with its attempt if that is on record."""
    for (task, number), entry in machine.tasks.items():
        if entry.status == "ended":
            continue
        attempt = machine.attempts.get((task, number))
        if attempt is None:
            # Not on record here: launched by a late order, or of a job that is over.
            yield {"order": "kill", "task": task, "try": number, "graceS": 0}, None
        elif attempt.kill_requested_at is not None:
            spec = attempt.job.spec
            saves = spec.savepointS > 0 and not attempt.job.cancelled
            late = clock.now() - attempt.kill_requested_at > constants.KILL_GRACE_S + spec.flushS
            if entry.status == "saving" and saves and not late:
                continue
            grace = constants.KILL_GRACE_S + spec.flushS if saves and not late else 0
            yield {"order": "kill", "task": task, "try": number, "graceS": grace}, attempt


def _ended_tasks(
    machine: Machine, forgettable: Iterable[tuple[str, int]]
) -> Iterator[tuple[str, int]]:
    """Yields those of the forgettable tasks that the newest report lists as ended."""
    for key in forgettable:
        entry = machine.tasks.get(key)
        if entry is not None and entry.status == "ended":
            yield key


def _launchable_attempts(machine: Machine) -> Iterator[Attempt]:
    """Yields the attempts that may be launched and that the worker's reports can list."""
    fitting, _ = machine.unlisted_attempts()
    for attempt in fitting:
        is_stopped = attempt.kill_requested_at is not None or attempt.job.cancelled
        if attempt.is_durable and not is_stopped:
            yield attempt
