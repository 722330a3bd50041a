"""What the components of one leader term share."""

from dataclasses import dataclass

from chalkgrade.outside import Clock
from chalkgrade.settings import Settings
from chalkgrade.state.client import LedgerClient
from chalkgrade.state.leadership import Leadership


@dataclass(frozen=True)
class LeaderContext:
    """One leader term: its fencing token, and the services that its components use."""

    settings: Settings
    token: int  # fencing token of the term: the revision of the leader key
    leadership: Leadership  # the leader lease; tells whether the term is still in force
    ledger: LedgerClient  # client of the state service
    clock: Clock
