"""Lists of jobs to wait for that one value can't hold: kept in parts under keys of their own.

The parts are written before the submission is accepted, and are named by what they hold. So
a repeated or late write changes nothing, an accepted job's list is always there whole, and
what a submission that was never accepted leaves behind is read by nobody.
"""

import asyncio
import zlib

import msgspec

from chalkgrade import constants
from chalkgrade.outside import NoAnswer, encode
from chalkgrade.record.jobs import DEPENDENCIES_PREFIX, END_PREFIX, JobValue, without_dependencies
from chalkgrade.state.ledger import Ledger


def encode_record(value: JobValue) -> bytes:
    """A job's record as it is kept: without a list that is kept apart."""
    if value.apart is None:
        return encode(value)
    return encode(JobValue(without_dependencies(value.spec), value.at, value.aborted, value.apart))


def part_keys(name: str, where: tuple[str, int] | None) -> list[str]:
    """Where a job's list is, if that is kept apart."""
    mark, count = where or ("", 0)
    return [f"{DEPENDENCIES_PREFIX}{name}/{mark}-{number}" for number in range(count)]


async def read_names(ledger: Ledger, name: str, where: tuple[str, int]) -> list[str]:
    """A list that is kept apart; NoAnswer where a part of it can't be read."""
    out: list[str] = []
    for row in await asyncio.gather(*(ledger.get(key) for key in part_keys(name, where))):
        if row is None:
            raise NoAnswer("a part of a list is missing")
        out += msgspec.json.decode(row.v, type=list[str])
    return out


async def store_if_too_long(ledger: Ledger, value: JobValue) -> JobValue:
    """Have the list kept apart if the record would be too long; may raise as a commit does.

    Conflict: the job is over. Without that condition a late copy would leave parts behind that
    nobody removes (see `conditions`).
    """
    room = ledger.limits.value_b
    if len(encode(value)) <= room - constants.RECORD_SPARE_B // 2:
        return value
    named = value.spec.waitsOn or []
    parts: list[list[str]] = [[]]
    size = 0
    for name in named:
        if size + len(name) + 3 > room - 2:
            parts.append([])
            size = 0
        parts[-1].append(name)
        size += len(name) + 3
    mark = f"{zlib.crc32(encode(named)):08x}"
    made = JobValue(value.spec, value.at, value.aborted, (mark, len(parts)))
    where = part_keys(value.spec.nameId, made.apart)
    writes = [{"write": key, "v": part} for key, part in zip(where, parts, strict=True)]
    # A commit as a whole is bounded too: most values of the size allowed fit, not all.
    most = max(1, min(ledger.limits.txn_ops, constants.COMMIT_MAX_B // (2 * room)))
    for begin in range(0, len(writes), most):
        await ledger.commit({END_PREFIX + value.spec.nameId: 0}, writes[begin : begin + most])
    return made


async def with_dependencies(ledger: Ledger, value: JobValue) -> JobValue:
    """A record with its list; NoAnswer where a part can't be read."""
    if value.apart is None or value.spec.waitsOn is not None:
        return value
    found = await read_names(ledger, value.spec.nameId, value.apart)
    spec = msgspec.structs.replace(value.spec, waitsOn=found)
    return JobValue(spec, value.at, value.aborted, value.apart)
