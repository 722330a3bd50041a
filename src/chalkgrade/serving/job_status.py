"""Determines the status of a job that may be told to a user.

No answer may be older than one that any user has had from any controller, and a change that may
be durable counts as told already. So every answer comes from one of these sources, each of them
used after the request arrived:
- a final state, which never changes;
- the leader's job registry, while its lease is valid (`Term.account`). If a commit that would
  change the answer is in progress, the keys that it writes are read: if it was executed, other
  controllers may have told its result; if not, nobody can have and the registry is right;
- a read of the job records (`record_reader`).
If none is available the user has to retry (503). An answer that was on its way for long is no
older than its request; but if the job is known to be finished by then, that is sent instead.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record.in_flight import JobStatusReport
from chalkgrade.serving.record_reader import RETRY_LATER, Answer, RecordReader
from chalkgrade.state.client import NotExecuted, Rejected

# Between controllers: a `JobStatusReport` with open commits, which are to be read.
COMMITS_OPEN = 409
FINAL_STATUSES = ("done", "withdrawn")

AskLeader = Callable[[str], Awaitable[Answer]]  # returns the leader's answer


class StatusResolver:
    """Resolves job statuses on behalf of one node."""

    def __init__(
        self, reading: RecordReader, finals: Mapping[str, dict[str, Any]], leader: AskLeader
    ) -> None:
        """`finals`: job -> final state, as far as this node knows."""
        self.record_reader = reading
        self.finals = finals
        self.ask_leader = leader

    async def job_status(self, name: str) -> Answer:
        """Return a job's status."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        return self.prefer_final_state(await self.resolve_answer(name, await self.ask_leader(name)))

    async def resolve_answer(self, name: str, said: Answer) -> Answer:
        """Complete the leader's answer `said`; 404 means that its registry lacks the job."""
        status, body = said
        if status == 200:
            return said
        try:
            async with asyncio.timeout(constants.STATUS_QUERY_DEADLINE_S):
                if status == COMMITS_OPEN:
                    account = msgspec.convert(body, JobStatusReport)
                    return await self.record_reader.read_open_commits(
                        name, account.told, account.open
                    )
                return await self.record_reader.read_status(name, absent_at_leader=status == 404)
        except (TimeoutError, NoAnswer, NotExecuted, Rejected):
            return RETRY_LATER
        except (msgspec.DecodeError, msgspec.ValidationError):
            return RETRY_LATER

    def prefer_final_state(self, answer: Answer) -> Answer:
        """Replace an answer by the job's final state, if that became known meanwhile."""
        status, body = answer
        known = self.finals.get(str(body.get("nameId", "")))
        return answer if known is None else (status, known)
