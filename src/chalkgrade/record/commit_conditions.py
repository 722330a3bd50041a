"""What each commit is conditioned on, in one place.

A transaction without an answer may be executed seconds later, after newer ones of the same
controller, and after keys have vanished and come again. So a commit must fail then, or change
nothing that matters. What makes it so, by key:

| key | commit | conditions | why a late one is harmless |
|---|---|---|---|
| leader | campaign, handover | its own revision (0: absent), a lease that lives | the absence may come again, but the lease is its maker's and ends within its time; its maker ends it if it comes to nothing |
| members | join | its own revision, a lease that lives | as above; a join of an ended process is gone within its lease |
| job | submission by a node of its own | it and the job's end are absent | the end stays for ever, so that nothing comes again |
| job | abort beside a batch | own revision and token; if absent, the end too | as above |
| batch | submissions, aborts, ends, splits | own revision and token; each new job's own key and end are absent | a batch key that was removed comes again only with jobs that have no end |
| end | end, withdrawn | absent, token; the job's own key as known | never removed |
| task | checkpoint of a page | own revision and token; if absent, the job's end too | removed only after the end |
| need | a long list of names, in parts | the job's end is absent | named by what it holds; removed only after the end |
| log, shares, flavors, moves | appends, values kept for the next leader | own revision and token | never removed |
| task, need | clean-up | token, and the job's end is durable | nothing is written there after the end |

`lacking` is asked by the region's state service about every commit that it is sent.
"""  # noqa: E501 - a table

from collections.abc import Iterable, Mapping
from typing import Any

from chalkgrade.membership.presence import MEMBERS_PREFIX
from chalkgrade.record.jobs import (
    BATCH_PREFIX,
    DEPENDENCIES_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    TASK_PREFIX,
)
from chalkgrade.state.leadership import LEADER_KEY


def _job_name_of(key: str) -> str:
    """The job that a page or a part of a list is of."""
    for prefix in (TASK_PREFIX, DEPENDENCIES_PREFIX):
        if key.startswith(prefix):
            return key.removeprefix(prefix).rpartition("/")[0]
    return key.removeprefix(JOB_PREFIX)


def _batch_job_names(value: Any) -> Iterable[str]:
    return (job["spec"]["nameId"] for job in value["jobs"])


def missing_conditions(
    conditions: Mapping[str, int], apply: Iterable[Mapping[str, Any]], held: Mapping[str, Any]
) -> list[str]:
    """What a commit should be conditioned on and is not.

    `held`: the present values of the batches that it names, to which its conditions apply.
    """
    out: list[str] = []
    token = conditions.get(LEADER_KEY, 0) > 0
    for op in apply:
        key = op.get("write") or op["remove"]
        own, needs = key in conditions, list[tuple[bool, str]]()
        made = "write" in op and conditions.get(key) == 0
        unended = conditions.get(END_PREFIX + _job_name_of(key)) == 0
        if key == LEADER_KEY or key.startswith(MEMBERS_PREFIX):
            needs = [(own, "own revision"), (op.get("permit") is not None, "a lease")]
        elif key.startswith(DEPENDENCIES_PREFIX):
            needs = [(unended if "write" in op else token, "the job's end or the token")]
        elif key.startswith(TASK_PREFIX) and "remove" in op:
            needs = [(token, "token")]
        elif key.startswith(JOB_PREFIX) and made:
            needs = [(unended, "absence of the end")]
        else:
            needs = [(own, "own revision"), (token, "token")]
            if key.startswith(END_PREFIX):
                needs.append((made, "absence of itself"))
            elif key.startswith(TASK_PREFIX) and made:
                needs.append((unended, "absence of the end"))
            elif key.startswith(BATCH_PREFIX) and "write" in op:
                before = set(_batch_job_names(held.get(key) or {"jobs": []}))
                moved = {name for value in held.values() for name in _batch_job_names(value)}
                for name in set(_batch_job_names(op["v"])) - before - moved:
                    guarded = all(conditions.get(p + name) == 0 for p in (JOB_PREFIX, END_PREFIX))
                    needs.append((guarded, f"absence of {name}"))
        out += [f"{key}: {what}" for good, what in needs if not good]
    return out
