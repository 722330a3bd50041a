"""Whether an answer about a job may be given: asked by whatever a user is told.

What may be durable counts as told. So an answer is never taken from what was true once, but
from one of these, each of them begun after the question came:
- a final state, which never changes;
- the leader's book, while it surely leads (`Term.account`). Where a commit that would change
  the answer is open, its keys are read: executed, others may have told what it says; not
  executed by then, nobody can have, and the book is right;
- a read of the record (`reading`).
Where none can be had the user is to come back (503). That an answer was under way for long
makes it no older than its question; but what is known to be final by then is said instead.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record.fates import Account
from chalkgrade.serving.record_reader import RETRY_LATER, Answer, RecordReader
from chalkgrade.state.ledger import NotExecuted, Rejected

COMMITS_OPEN = 409  # between controllers: an `Account` whose open commits are to be looked at first
FINAL_STATUSES = ("done", "withdrawn")

AskLeader = Callable[[str], Awaitable[Answer]]  # what the leader says, wherever it is


class StatusResolver:
    """One node's."""

    def __init__(
        self, reading: RecordReader, finals: Mapping[str, dict[str, Any]], leader: AskLeader
    ) -> None:
        self.record_reader = reading
        self.final_states = finals
        self.ask_leader = leader

    async def job_status(self, name: str) -> Answer:
        """A job's state."""
        known = self.final_states.get(name)
        if known is not None:
            return 200, known
        return self.prefer_final_state(await self.resolve_answer(name, await self.ask_leader(name)))

    async def resolve_answer(self, name: str, said: Answer) -> Answer:
        """What may be told, given what the leader said just now; 404: its book lacks the job."""
        status, body = said
        if status == 200:
            return said
        try:
            async with asyncio.timeout(constants.QUERY_DEADLINE_S):
                if status == COMMITS_OPEN:
                    account = msgspec.convert(body, Account)
                    return await self.record_reader.read_open_commits(
                        name, account.told, account.open
                    )
                return await self.record_reader.read_status(name, absent_at_leader=status == 404)
        except (TimeoutError, NoAnswer, NotExecuted, Rejected):
            return RETRY_LATER
        except (msgspec.DecodeError, msgspec.ValidationError):
            return RETRY_LATER

    def prefer_final_state(self, answer: Answer) -> Answer:
        """An answer as it leaves: what has become final since it was made is said instead."""
        status, body = answer
        known = self.final_states.get(str(body.get("nameId", "")))
        return answer if known is None else (status, known)
