"""Resource vectors of CPUs, GPUs and memory (GB), in this order; pure functions on them."""

from operator import add, sub

Vector = tuple[float, ...]
CPUS, GPUS = 0, 1  # indexes of these resources
ZERO: Vector = (0.0, 0.0, 0.0)
EPS = 1e-9  # tolerance for rounding; a smaller amount counts as none


def fits(need: Vector, room: Vector) -> bool:
    """Whether `room` holds `need` in every resource, within `EPS`."""
    for n, r in zip(need, room, strict=False):  # noqa: SIM110 - the program's hottest loop
        if n > r + EPS:
            return False
    return True


def is_nothing(amount: Vector) -> bool:
    """Whether an amount has no more than `EPS` of any resource."""
    return all(part <= EPS for part in amount)


def count_fitting(need: Vector, room: Vector, most: int) -> int:
    """How many times `room` holds `need`, from 0 to `most`; `most` if nothing is needed.

    Amounts up to `EPS` count as nothing, as in `fits`; dividing by them could overflow.
    """
    counts = (int((has + EPS) // want) for want, has in zip(need, room, strict=False) if want > EPS)
    return max(0, min(most, min(counts, default=most)))


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
