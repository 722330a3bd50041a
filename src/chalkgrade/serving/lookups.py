"""Batched lookups of job keys for users' queries, in the order of arrival.

A query for a job that the leader does not know costs a read. If each query did its own read, a
flood of such queries would use up the node's read budget, and a single job could be refused at
every retry: with ten times more queries than the budget allows, one in five jobs would get no
answer for 75 s. Batched, ten to thirty queries cost a single request.
"""

import asyncio
import logging

from chalkgrade import constants
from chalkgrade.outside import NoAnswer
from chalkgrade.record.jobs import END_PREFIX, JOB_PREFIX
from chalkgrade.state.client import LedgerClient, NotExecuted, Rejected

log = logging.getLogger("chalkgrade.lookups")


class Lookups:
    """The pending lookups of one node; what exceeds the next two requests is refused at once."""

    def __init__(self, ledger: LedgerClient) -> None:
        """`ledger`: the client of the state service, with its read budget."""
        self._ledger = ledger
        self._waiting: dict[str, asyncio.Future[set[str]]] = {}
        self._requests: set[asyncio.Task[None]] = set()

    @property
    def _jobs_per_request(self) -> int:
        """Return how many jobs fit into one request: each takes two conditions."""
        return max(1, self._ledger.limits.max_compared_keys // 2)

    async def existing_job_keys(self, name: str) -> set[str]:
        """Return which of a job's record key and final key exist; the read starts after the call.

        Raises NoAnswer when too many lookups are waiting, or whatever the read raised.
        """
        future = self._waiting.get(name)
        if future is None:
            if len(self._waiting) >= 2 * self._jobs_per_request:
                raise NoAnswer("too many lookups are waiting")
            future = self._waiting[name] = asyncio.get_running_loop().create_future()
            if len(self._requests) < constants.MAX_CONCURRENT_LOOKUPS:
                request = asyncio.create_task(self._process_queue())
                self._requests.add(request)
                request.add_done_callback(self._requests.discard)
        return await asyncio.shield(future)

    async def _process_queue(self) -> None:
        while self._waiting:
            await self._ledger.queries.acquire()
            if not self._waiting:
                return  # another request has taken them
            names = list(self._waiting)[: self._jobs_per_request]
            futures = {name: self._waiting.pop(name) for name in names}
            keys = [prefix + name for name in names for prefix in (JOB_PREFIX, END_PREFIX)]
            batch = asyncio.create_task(self._ledger.existing_keys(keys))
            try:
                done, _ = await asyncio.wait({batch}, timeout=self._ledger.hedge_delay_s())
                if not done:
                    await self._read_one_by_one(futures)
                found = await batch if futures else set()
            except (NoAnswer, NotExecuted, Rejected) as error:
                for future in futures.values():
                    future.set_exception(error)
                    future.exception()  # mark as retrieved: all callers may have given up
                continue
            finally:
                if not batch.cancel() and not batch.cancelled():
                    batch.exception()  # mark as retrieved: all keys were read one by one meanwhile
            for name, future in futures.items():
                future.set_result(found & {JOB_PREFIX + name, END_PREFIX + name})

    async def _read_one_by_one(self, futures: dict[str, asyncio.Future[set[str]]]) -> None:
        """Read the keys one by one, for as many jobs as the read budget allows now.

        The batched lookup is a transaction: while responses to transactions are lost, a query
        would wait for the timeout, but plain reads are answered. The final key is read last, as
        in `RecordReader.read_status`.
        """
        ledger = self._ledger
        available = min(
            ledger.queries.available_tokens(),
            ledger.requests.available_tokens() - constants.MIN_HEDGE_READ_TOKENS,
        )
        names = list(futures)[: max(0, int(available) // 2)]
        if not names or not ledger.queries.try_acquire(2 * len(names)):
            return
        found: set[str] = set()
        try:
            for prefix in (JOB_PREFIX, END_PREFIX):
                rows = await asyncio.gather(*(ledger.get(prefix + name) for name in names))
                found |= {row.k for row in rows if row is not None}
        except (NoAnswer, NotExecuted) as error:
            log.debug("lookup of single jobs failed: %s", error)
            return  # the transaction is still in progress
        for name in names:
            futures.pop(name).set_result(found & {JOB_PREFIX + name, END_PREFIX + name})
