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
from chalkgrade.record.in_flight import JobStatusReport
from chalkgrade.serving.reading import LATER, Answer, Reading
from chalkgrade.state.ledger import NotExecuted, Rejected

OPEN = 409  # between controllers: an `Account` whose open commits are to be looked at first
FINAL = ("done", "withdrawn")

Leader = Callable[[str], Awaitable[Answer]]  # what the leader says, wherever it is


class Telling:
    """One node's."""

    def __init__(
        self, reading: Reading, finals: Mapping[str, dict[str, Any]], leader: Leader
    ) -> None:
        self.reading = reading
        self.finals = finals
        self.leader = leader

    async def tell(self, name: str) -> Answer:
        """A job's state."""
        known = self.finals.get(name)
        if known is not None:
            return 200, known
        return self.latest(await self.settle(name, await self.leader(name)))

    async def settle(self, name: str, said: Answer) -> Answer:
        """What may be told, given what the leader said just now; 404: its book lacks the job."""
        status, body = said
        if status == 200:
            return said
        try:
            async with asyncio.timeout(constants.QUERY_DEADLINE_S):
                if status == OPEN:
                    account = msgspec.convert(body, JobStatusReport)
                    return await self.reading.settle(name, account.told, account.open)
                return await self.reading.read(name, led=status == 404)
        except (TimeoutError, NoAnswer, NotExecuted, Rejected):
            return LATER
        except (msgspec.DecodeError, msgspec.ValidationError):
            return LATER

    def latest(self, answer: Answer) -> Answer:
        """An answer as it leaves: what has become final since it was made is said instead."""
        status, body = answer
        known = self.finals.get(str(body.get("nameId", "")))
        return answer if known is None else (status, known)
