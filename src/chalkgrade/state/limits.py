"""The state service's limits: those of now, and those that it may have from some moment on.

Sizes and rates are the lesser of both from the start, so that whatever is written new fits
either way and nobody need notice the moment. Only what is there already and is larger goes by
what holds now: it is rewritten whole until the service refuses that, and never again after.
"""

from chalkgrade import constants
from chalkgrade.settings import StateLimits


class EffectiveLimits:
    """What may be written, asked and changed. Sizes in bytes, rates a second."""

    def __init__(self, present: StateLimits) -> None:
        self.current = present
        self.minimum = present.least()
        self.have_shrunk = False  # a commit was refused that only the present limits allow

    @property
    def max_value_bytes(self) -> int:
        """The most that a value made now may take."""
        return usable_value_bytes(self.minimum.value_kb)

    @property
    def max_rewrite_bytes(self) -> int:
        """The most that a value may take that stands for one which is there already."""
        return (
            self.max_value_bytes if self.have_shrunk else usable_value_bytes(self.current.value_kb)
        )

    @property
    def txn_ops(self) -> int:
        return self.minimum.txn_ops

    @property
    def rps(self) -> float:
        return self.minimum.rps

    @property
    def write_rps(self) -> float:
        return self.minimum.write_rps

    @property
    def max_conditions(self) -> int:
        """How many conditions a transaction may have."""
        return 4 * self.txn_ops

    def note_rejected_commit(self, largest_b: int) -> bool:
        """The service called a commit malformed whose largest value is so long.

        True if that shows that the limits have fallen, or had when it was sent: the same commit
        would be refused for ever, and is to be made anew within the lesser ones.
        """
        if largest_b <= self.max_value_bytes:
            return False
        self.have_shrunk = True
        return True


def usable_value_bytes(value_kb: float) -> int:
    """What of a value's size is used: some is left for other ways of writing the same JSON."""
    return int(value_kb * 1024 - min(constants.VALUE_SPARE_B, value_kb * 1024 / 8))
