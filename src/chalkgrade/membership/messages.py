"""Messages that controllers exchange about themselves and each other."""

from typing import Annotated

import msgspec

# (revision of the controller's key in the state service, number of refutations since then).
# Rises with every start and with every suspicion that the controller refutes. A revision of 0
# means that it is not registered yet.
Incarnation = tuple[int, int]

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class MemberStatus(msgspec.Struct):
    """A controller's status, contained in each ping and each answer to one."""

    member: _Name
    process: Annotated[str, msgspec.Meta(max_length=64)] = (
        ""  # random id, generated when the process starts
    )
    incarnation: tuple[_Count, _Count] = (0, 0)
    seq: _Count = 0  # rises with every status that this process sends
    at: float = 0.0  # wall time of the sender, s
    token: _Count = 0  # its fencing token if it certainly holds the lead, else 0
    leader: str | None = None  # the leader, as far as the sender knows
    state: bool = False  # whether the state service answered it recently
    cloud: bool | None = None  # whether the cloud did; None: no request recently
    late_s: float = 0.0  # longest recent delay of its event loop
    lease_s: float = 0.0  # leader lease duration that suits its measured delays
    aside: bool = False  # superseded by a newer process of the same name
    young: bool = False  # whether it started only a short time ago
    # Suspected controllers with their incarnations; each may refute the suspicion.
    suspects: Annotated[dict[str, tuple[_Count, _Count]], msgspec.Meta(max_length=64)] = {}
    version: _Count = 0  # of the program; 0: a version that does not send this field


def leader_preference(status: MemberStatus) -> tuple[bool, bool, int, bool, float, str]:
    """Sort key of the candidates for leadership, the most suitable first.

    During a rolling upgrade, candidates with the new version come first: they have already been
    restarted, while the old ones will be. The old version does not compare versions but only
    the other fields. So a new process does not report itself as young while it knows of an old
    one, and its process id sorts before theirs (`format_process_id`).
    """
    late = round(status.late_s, 1)
    return (
        not status.state,
        status.cloud is False,
        -status.version,
        status.young,
        late,
        status.process,
    )


def format_process_id(bits: int) -> str:
    """A process id from random bits; sorts before ids of versions that do not send a version."""
    return f"-{bits:016x}"


class ReachReply(msgspec.Struct):
    """The answer to a request to check whether a given controller can be reached."""

    reached: bool
    word: MemberStatus | None = None  # its latest status, if there is one


class RegistrationValue(msgspec.Struct):
    """The value of a controller's own key in the state service."""

    member: str
    process: str
