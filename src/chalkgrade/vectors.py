"""Amounts of CPUs, GPUs and memory (GB), in this order, and sums of them. Pure."""

from operator import add, sub

Vector = tuple[float, ...]
ZERO: Vector = (0.0, 0.0, 0.0)
EPS = 1e-9  # below any amount that a task may ask for


def fits(need: Vector, room: Vector) -> bool:
    for n, r in zip(need, room, strict=False):  # noqa: SIM110 - the hottest lines there are
        if n > r + EPS:
            return False
    return True


def plus(one: Vector, other: Vector) -> Vector:
    return tuple(map(add, one, other))


def minus(one: Vector, other: Vector) -> Vector:
    return tuple(map(sub, one, other))


def dominant_share(amount: Vector, capacity: Vector) -> float:
    """The dominant share of an amount."""
    return max((a / c for a, c in zip(amount, capacity, strict=True) if c > EPS), default=0.0)
