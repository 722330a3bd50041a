"""What the subsystems of one leader share."""

from dataclasses import dataclass

from chalkgrade.outside import Clock
from chalkgrade.settings import Settings
from chalkgrade.state.client import LedgerClient
from chalkgrade.state.leadership import Leadership


@dataclass(frozen=True)
class LeaderContext:
    """The lead under one token, and the means that come with it."""

    settings: Settings
    token: int
    leadership: Leadership
    ledger: LedgerClient
    clock: Clock
