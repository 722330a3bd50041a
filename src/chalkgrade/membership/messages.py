"""What controllers say to each other of themselves and of others."""

from typing import Annotated

import msgspec

# (revision of its key in the state service, refutations since): rises with every start
# and with every suspicion that it meets. 0: not registered yet.
Incarnation = tuple[int, int]

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class MemberStatus(msgspec.Struct):
    """A controller's word about itself, in each question and each answer."""

    member: _Name
    process: Annotated[str, msgspec.Meta(max_length=64)] = ""  # drawn at its start
    incarnation: tuple[_Count, _Count] = (0, 0)
    seq: _Count = 0  # rises with every word of this process
    at: float = 0.0  # its time of day, s
    token: _Count = 0  # its token if it surely leads
    leader: str | None = None  # who leads, as far as it knows
    state: bool = False  # the state service answered it lately
    cloud: bool | None = None  # so did the cloud; None: it has not asked lately
    late_s: float = 0.0  # how late its own loop ran of late, the worst
    lease_s: float = 0.0  # how long a lease of the lead should be, by what it measured
    aside: bool = False  # it stands aside for another process of its name
    young: bool = False  # it started a moment ago
    # Whom it suspects, and in which incarnation: the subject may refute it.
    suspects: Annotated[dict[str, tuple[_Count, _Count]], msgspec.Meta(max_length=64)] = {}
    version: _Count = 0  # of the program; 0: one that does not say


def leader_preference(word: MemberStatus) -> tuple[bool, bool, int, bool, float, str]:
    """Who is placed to lead, the best first.

    While versions change, who has the new one goes first: its turn to end has passed, that of
    the old ones is to come. An old one knows no versions and goes by the rest, so that a new
    one is not young while it knows of an old one, and its mark comes first (`mark`).
    """
    late = round(word.late_s, 1)
    return not word.state, word.cloud is False, -word.version, word.young, late, word.process


def format_process_id(bits: int) -> str:
    """A process's mark: drawn, and before those of the version that did not tell its version."""
    return f"-{bits:016x}"


class ReachReply(msgspec.Struct):
    """An answer to: do you reach that controller?"""

    reached: bool
    word: MemberStatus | None = None  # what it said just now


class RegistrationValue(msgspec.Struct):
    """The value of a controller's own key."""

    member: str
    process: str
