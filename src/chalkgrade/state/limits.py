"""The limits of the state service: the current ones, and announced ones that may follow.

New values and request rates always keep to the smaller of both, so that they fit before and
after the change and its moment need not be detected. Only stored values that are larger
already follow the current limits: they are rewritten as a whole until the service rejects
such a commit, and never again afterwards.
"""

from chalkgrade import constants
from chalkgrade.settings import StateLimits


class EffectiveLimits:
    """The limits that requests have to keep to. Sizes are in bytes, rates per second."""

    def __init__(self, current: StateLimits) -> None:
        self.current = current
        self.minimum = current.lowest_limits()
        self.have_shrunk = False  # a commit that only the current limits allow was rejected

    @property
    def max_value_bytes(self) -> int:
        """Maximum size of a newly written value."""
        return usable_value_bytes(self.minimum.value_kb)

    @property
    def max_rewrite_bytes(self) -> int:
        """Maximum size of a value that replaces a stored one."""
        return (
            self.max_value_bytes if self.have_shrunk else usable_value_bytes(self.current.value_kb)
        )

    @property
    def txn_ops(self) -> int:
        """Maximum number of writes and removals in one transaction."""
        return self.minimum.txn_ops

    @property
    def rps(self) -> float:
        """Maximum number of requests per second, over all nodes."""
        return self.minimum.rps

    @property
    def write_rps(self) -> float:
        """Maximum number of written or removed keys per second, over all nodes."""
        return self.minimum.write_rps

    @property
    def max_conditions(self) -> int:
        """Maximum number of conditions in one transaction."""
        return 4 * self.txn_ops

    @property
    def max_compared_keys(self) -> int:
        """Maximum number of keys of any length that one transaction can compare.

        Its size is limited as well, which counts where many conditions are allowed.
        """
        bytes_per_key = constants.MAX_KEY_BYTES + constants.CONDITION_OVERHEAD_BYTES
        fitting = (constants.MAX_COMMIT_BYTES - constants.COMMIT_HEADROOM_BYTES) // bytes_per_key
        return min(self.max_conditions, fitting)

    def note_rejected_commit(self, largest_value_bytes: int) -> bool:
        """Record that the service rejected a commit whose largest value has this size.

        Returns True if the size explains the rejection: the smaller limits are in force, the
        same commit would be rejected each time, and it has to be rebuilt within them.
        """
        if largest_value_bytes <= self.max_value_bytes:
            return False
        self.have_shrunk = True
        return True


def usable_value_bytes(value_kb: float) -> int:
    """The usable part of a value limit: the rest allows for other encodings of the same JSON.

    A commit is limited as well, so that a value can't use more than it has room for.
    """
    usable = int(value_kb * 1024 - min(constants.COMMIT_HEADROOM_BYTES, value_kb * 1024 / 8))
    return min(usable, constants.MAX_COMMITTED_VALUE_BYTES)
