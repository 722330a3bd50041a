"""Keys that users' questions need looked up: many in one request, each in its turn.

A question about a job that no book has costs a read. Taken one by one, a storm of such
questions spends a node's part of the reads, and a single job can be refused at every try:
found by reckoning, at ten times the budget one in five jobs would hear nothing for 75 s.
Together they cost a request for every ten to thirty of them, in the order in which they came.
"""

import asyncio
import logging

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.state.ledger import Ledger, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.lookups")


class Lookups:
    """One node's; what does not fit the next two requests is refused at once."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self._waiting: dict[str, asyncio.Future[set[str]]] = {}
        self._requests: set[asyncio.Task[None]] = set()

    @property
    def _jobs_per_request(self) -> int:
        """Jobs in one request: two conditions each."""
        return max(1, self._ledger.limits.conditions // 2)

    async def existing_job_keys(self, name: str) -> set[str]:
        """Which of a job's own key and its final key are there, by a read that begins now.

        Raises NoAnswer where too many wait already, or what the read raised.
        """
        future = self._waiting.get(name)
        if future is None:
            if len(self._waiting) >= 2 * self._jobs_per_request:
                raise NoAnswer("too many questions")
            future = self._waiting[name] = asyncio.get_running_loop().create_future()
            if len(self._requests) < constants.LOOKUP_LANES:
                lane = asyncio.create_task(self._process_queue())
                self._requests.add(lane)
                lane.add_done_callback(self._requests.discard)
        return await asyncio.shield(future)

    async def _process_queue(self) -> None:
        while self._waiting:
            await self._ledger.asking.wait()
            if not self._waiting:
                return  # another lane has taken them
            names = list(self._waiting)[: self._jobs_per_request]
            futures = {name: self._waiting.pop(name) for name in names}
            keys = [prefix + name for name in names for prefix in (JOB_PREFIX, END_PREFIX)]
            compared = asyncio.create_task(self._ledger.present(keys))
            try:
                done, _ = await asyncio.wait({compared}, timeout=self._ledger.hedge_s())
                if not done:
                    await self._read_one_by_one(futures)
                found = await compared if futures else set()
            except (NoAnswer, NotExecuted, Rejected) as error:
                for future in futures.values():
                    future.set_exception(error)
                    future.exception()  # all who asked may have given up
                continue
            finally:
                if not compared.cancel() and not compared.cancelled():
                    compared.exception()  # seen: all were read singly meanwhile
            for name, future in futures.items():
                future.set_result(found & {JOB_PREFIX + name, END_PREFIX + name})

    async def _read_one_by_one(self, futures: dict[str, asyncio.Future[set[str]]]) -> None:
        """Read the keys themselves, of as many jobs as the budget has room for just now.

        A comparison is a transaction, and where answers of those are lost a question would
        wait for its time-out; reads are answered. The end comes last, as in `Reading.read`.
        """
        ledger = self._ledger
        room = min(ledger.asking.level(), ledger.requests.level() - constants.HEDGE_READS)
        names = list(futures)[: max(0, int(room) // 2)]
        if not names or not ledger.asking.take(2 * len(names)):
            return
        found: set[str] = set()
        try:
            for prefix in (JOB_PREFIX, END_PREFIX):
                rows = await asyncio.gather(*(ledger.get(prefix + name) for name in names))
                found |= {row.k for row in rows if row is not None}
        except (NoAnswer, NotExecuted) as error:
            log.debug("looking up jobs one by one: %s", error)
            return  # the comparison is still under way
        for name in names:
            futures.pop(name).set_result(found & {JOB_PREFIX + name, END_PREFIX + name})
