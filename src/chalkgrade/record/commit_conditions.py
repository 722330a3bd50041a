"""The conditions that each kind of commit must carry.

A transaction without an answer may be executed seconds later, after newer transactions of the
same controller, and after keys were removed and created again. A commit that is executed late
must therefore fail or have no effect that matters. The conditions that ensure this, by key:

| key | commit | conditions | why a late execution is harmless |
|---|---|---|---|
| leader | campaign, handover | own revision (0: absent), a live lease | the key may become absent again, but the lease belongs to the sender and expires; the sender revokes it if the attempt fails |
| members | join | own revision, a live lease | as above; the registration of a process that has exited expires with its lease |
| job | submission by a node other than the leader | the key and the job's end are absent | the end is kept for ever, so the key is not created again |
| job | abort of a job whose batch can't be rewritten | own revision and token; if absent, the end too | as above |
| batch | submissions, aborts, ends, splits | own revision and token; each new job's own key and end are absent | a removed batch key is created again only with jobs that have no end |
| end | end, withdrawn | absent, token; the last known revision of the job's own key | never removed |
| task | checkpoint of a page | own revision and token; if absent, the job's end too | removed only after the end |
| need | parts of a long dependency list | the job's end is absent | the key contains a checksum of the list; removed only after the end |
| log, shares, flavors, moves | appends, values stored for the next leader | own revision and token | never removed |
| task, need | removal | token, and the job's end is durable | nothing is written there after the end |

The simulated state service calls `missing_conditions` for every commit that it receives.
"""  # noqa: E501 - a table

from collections.abc import Iterable, Mapping
from typing import Any

from chalkgrade.membership.registration import MEMBERS_PREFIX
from chalkgrade.record.jobs import (
    BATCH_PREFIX,
    DEPENDENCIES_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    TASK_PREFIX,
)
from chalkgrade.state.leadership import LEADER_KEY


def _job_name_of(key: str) -> str:
    """Return the name of the job to which a page, a list part or a job key belongs."""
    for prefix in (TASK_PREFIX, DEPENDENCIES_PREFIX):
        if key.startswith(prefix):
            return key.removeprefix(prefix).rpartition("/")[0]
    return key.removeprefix(JOB_PREFIX)


def _batch_job_names(value: Any) -> Iterable[str]:
    return (job["spec"]["nameId"] for job in value["jobs"])


def missing_conditions(
    conditions: Mapping[str, int],
    apply: Iterable[Mapping[str, Any]],
    current_batches: Mapping[str, Any],
) -> list[str]:
    """Return the conditions that a commit must carry and does not, as texts.

    `conditions` maps keys to expected revisions, `apply` has the operations, and
    `current_batches` the current values of the batches that the commit names.
    """
    missing: list[str] = []
    has_token = conditions.get(LEADER_KEY, 0) > 0
    for op in apply:
        key = op.get("write") or op["remove"]
        has_own_revision, requirements = key in conditions, list[tuple[bool, str]]()
        creates_key = "write" in op and conditions.get(key) == 0
        requires_no_end = conditions.get(END_PREFIX + _job_name_of(key)) == 0
        if key == LEADER_KEY or key.startswith(MEMBERS_PREFIX):
            requirements = [
                (has_own_revision, "own revision"),
                (op.get("permit") is not None, "a lease"),
            ]
        elif key.startswith(DEPENDENCIES_PREFIX):
            requirements = [
                (requires_no_end if "write" in op else has_token, "the job's end or the token")
            ]
        elif key.startswith(TASK_PREFIX) and "remove" in op:
            requirements = [(has_token, "token")]
        elif key.startswith(JOB_PREFIX) and creates_key:
            requirements = [(requires_no_end, "absence of the end")]
        else:
            requirements = [(has_own_revision, "own revision"), (has_token, "token")]
            if key.startswith(END_PREFIX):
                requirements.append((creates_key, "absence of itself"))
            elif key.startswith(TASK_PREFIX) and creates_key:
                requirements.append((requires_no_end, "absence of the end"))
            elif key.startswith(BATCH_PREFIX) and "write" in op:
                present = set(_batch_job_names(current_batches.get(key) or {"jobs": []}))
                moved = {
                    name for value in current_batches.values() for name in _batch_job_names(value)
                }
                for name in set(_batch_job_names(op["v"])) - present - moved:
                    requires_absence = all(
                        conditions.get(p + name) == 0 for p in (JOB_PREFIX, END_PREFIX)
                    )
                    requirements.append((requires_absence, f"absence of {name}"))
        missing += [f"{key}: {requirement}" for is_met, requirement in requirements if not is_met]
    return missing
