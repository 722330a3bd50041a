"""Storage of dependency lists (`waitsOn`) that are too long for one value of the state service.

Such a list is split into parts under separate keys. The parts are written before the submission
is accepted, and their keys contain a checksum of the list. So a repeated or late write changes
nothing, an accepted job's list is always complete, and the parts of a submission that was never
accepted are never read.
"""

import asyncio
import zlib

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer, encode
from chalkgrade.record.jobs import DEPENDENCIES_PREFIX, END_PREFIX, JobValue, without_dependencies
from chalkgrade.state.client import LedgerClient


def encode_record(value: JobValue) -> bytes:
    """Encode a job's record for storage, without a dependency list that is stored separately."""
    if value.apart is None:
        return encode(value)
    return encode(JobValue(without_dependencies(value.spec), value.at, value.aborted, value.apart))


def part_keys(name: str, stored: tuple[str, int] | None) -> list[str]:
    """Return the keys of a job's separately stored dependency list; empty if it has none."""
    checksum, count = stored or ("", 0)
    return [f"{DEPENDENCIES_PREFIX}{name}/{checksum}-{number}" for number in range(count)]


async def read_names(ledger: LedgerClient, name: str, stored: tuple[str, int]) -> list[str]:
    """Read a separately stored dependency list; raises NoAnswer if a part can't be read."""
    names: list[str] = []
    for row in await asyncio.gather(*(ledger.get(key) for key in part_keys(name, stored))):
        if row is None:
            raise NoAnswer("a part of a stored dependency list is missing")
        names += msgspec.json.decode(row.v, type=list[str])
    return names


async def store_if_too_long(ledger: LedgerClient, value: JobValue) -> JobValue:
    """Store the dependency list separately if the record would be too long for one value.

    Returns the record to write. Raises what a commit raises; Conflict means that the job is over.
    Without the condition on the job's end, a copy of the commit that is executed late would leave
    parts behind that nobody removes (see `commit_conditions`).
    """
    max_value_b = ledger.limits.max_value_bytes
    if len(encode(value)) <= max_value_b - constants.JOB_RECORD_OVERHEAD_BYTES // 2:
        return value
    names = value.spec.waitsOn or []
    parts: list[list[str]] = [[]]
    size = 0
    for name in names:
        if size + len(name) + 3 > max_value_b - 2:
            parts.append([])
            size = 0
        parts[-1].append(name)
        size += len(name) + 3
    checksum = f"{zlib.crc32(encode(names)):08x}"
    stored_record = JobValue(value.spec, value.at, value.aborted, (checksum, len(parts)))
    keys = part_keys(value.spec.nameId, stored_record.apart)
    writes = [{"write": key, "v": part} for key, part in zip(keys, parts, strict=True)]
    # The total size of a commit is limited too, so only some values of maximum size fit in one.
    parts_per_commit = max(
        1, min(ledger.limits.txn_ops, constants.MAX_COMMIT_BYTES // (2 * max_value_b))
    )
    for begin in range(0, len(writes), parts_per_commit):
        await ledger.commit(
            {END_PREFIX + value.spec.nameId: 0}, writes[begin : begin + parts_per_commit]
        )
    return stored_record


async def with_dependencies(ledger: LedgerClient, value: JobValue) -> JobValue:
    """Return the record with its dependency list; raises NoAnswer if a part can't be read."""
    if value.apart is None or value.spec.waitsOn is not None:
        return value
    names = await read_names(ledger, value.spec.nameId, value.apart)
    spec = msgspec.structs.replace(value.spec, waitsOn=names)
    return JobValue(spec, value.at, value.aborted, value.apart)
