"""Resource vectors of CPUs, GPUs and memory (GB), in this order; pure functions on them."""

from operator import add, sub

Vector = tuple[float, ...]
ZERO: Vector = (0.0, 0.0, 0.0)
EPS = 1e-9  # tolerance for rounding; below any amount that a task may request


def fits(need: Vector, room: Vector) -> bool:
    """Whether `room` holds `need` in every resource, within `EPS`."""
    for n, r in zip(need, room, strict=False):  # noqa: SIM110 - the program's hottest loop
        if n > r + EPS:
            return False
    return True


def plus(one: Vector, other: Vector) -> Vector:
    """The sum of two vectors."""
    return tuple(map(add, one, other))


def minus(one: Vector, other: Vector) -> Vector:
    """The first vector less the second one; components may become negative."""
    return tuple(map(sub, one, other))


def dominant_share(amount: Vector, capacity: Vector) -> float:
    """The dominant share: the largest ratio of an amount to its capacity.

    Resources without capacity are left out; 0 if none has any.
    """
    return max((a / c for a, c in zip(amount, capacity, strict=True) if c > EPS), default=0.0)
