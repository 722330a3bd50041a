"""Sound submissions in other spellings: none is refused or becomes a second job.

Unknown fields, any order, escapes, other forms of numbers, white space, nulls that are left out,
and bodies with a length or in chunks, at each controller, with and without a leader.
"""

import asyncio
import json
import random
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.record.jobs import (
    BATCH_PREFIX,
    JOB_PREFIX,
    SubmissionError,
    parse_submission,
)
from chalkgrade.region.adversarial_users import respell
from chalkgrade.region.world import World, tell
from test_edge import SPEC, _run_bounded, _running_daemons
from test_membership import _wait_until

MAX_VALUE_BYTES = 16 * 1024


def _text(fields: dict[str, str]) -> bytes:
    """Return an object whose values are given as JSON texts."""
    return ("{" + ",".join(f"{json.dumps(k)}:{v}" for k, v in fields.items()) + "}").encode()


def _with_texts(spec: dict[str, Any], **texts: str) -> bytes:
    return _text({key: json.dumps(value) for key, value in spec.items()} | texts)


def _escaped(spec: dict[str, Any]) -> bytes:
    """Write each character of all names and texts as an escape."""

    def escape(text: str) -> str:
        return '"' + "".join(f"\\u{ord(char):04x}" for char in text) + '"'

    values = {k: escape(v) if isinstance(v, str) else json.dumps(v) for k, v in spec.items()}
    return ("{" + ",".join(f"{escape(k)}:{v}" for k, v in values.items()) + "}").encode()


def _without_nulls(spec: dict[str, Any]) -> bytes:
    return msgspec.json.encode({key: value for key, value in spec.items() if value is not None})


def _whole_numbers(spec: dict[str, Any]) -> bytes:
    """Write whole amounts without a fraction."""
    return _with_texts(
        spec,
        **{k: str(int(v)) for k, v in spec.items() if isinstance(v, float) and v.is_integer()},
    )


def _exponents(spec: dict[str, Any]) -> bytes:
    """Write all numbers with exponents, also counts."""
    numbers = {k: v for k, v in spec.items() if type(v) in (int, float)}
    return _with_texts(spec, **{k: f"{v * 10!r}E-1" for k, v in numbers.items()})


def _fractions(spec: dict[str, Any]) -> bytes:
    """Write counts with a fraction of zeros."""
    return _with_texts(spec, **{k: f"{v}.00" for k, v in spec.items() if type(v) is int})


def _nested(spec: dict[str, Any]) -> bytes:
    """Add unknown fields with names and values of true ones."""
    other = spec | {"nameId": "run-999999", "tasks": -1, "owner": None}
    return msgspec.json.encode(
        {"spec": other, "jobs": [other] * 3, "NameId": "run-999999", "aborted": True} | spec
    )


def _not_ascii(spec: dict[str, Any]) -> bytes:
    fields = {"ジョブ": "名前", "\u0000": "\U0001f600", "": {"": [None, 1e300]}} | spec
    return json.dumps(fields, ensure_ascii=False).encode()


def _shuffled(spec: dict[str, Any]) -> bytes:
    return respell(spec, random.Random(1))


Spelling = Callable[[dict[str, Any]], bytes]
SPELLINGS: list[Spelling] = [
    _escaped,
    _without_nulls,
    _whole_numbers,
    _exponents,
    _fractions,
    _nested,
    _not_ascii,
    _shuffled,
]


@pytest.mark.parametrize("spelling", SPELLINGS)
def test_a_sound_submission_is_read_alike_in_each_spelling(spelling: Spelling) -> None:
    spec = SPEC | {"tasks": 40, "vcpus": 2.0, "memoryGb": 3.25, "hosttypes": None, "dueS": 40.0}
    plain = parse_submission(msgspec.json.encode(spec), MAX_VALUE_BYTES)
    read = parse_submission(spelling(spec), MAX_VALUE_BYTES)
    assert read == plain and type(read.tasks) is int


@pytest.mark.parametrize("tasks", ["1.5", '"1"', "true", "1e400", "null", "[1]", "-1.0", "0.0"])
def test_a_count_that_is_no_whole_number_is_refused(tasks: str) -> None:
    with pytest.raises(SubmissionError, match="tasks"):
        parse_submission(_with_texts(SPEC, tasks=tasks), MAX_VALUE_BYTES)


def _records(world: World, name: str) -> int:
    """Return how many records of a job there are."""
    batches = [row[0]["jobs"] for key, row in world.store.keys.items() if BATCH_PREFIX in key]
    in_batches = sum(job["spec"]["nameId"] == name for jobs in batches for job in jobs)
    return in_batches + (JOB_PREFIX + name in world.store.keys)


@pytest.mark.parametrize("leads", [True, False])
def test_a_submission_in_another_spelling_is_one_job_that_runs_once(leads: bool) -> None:
    async def story(world: World) -> None:
        if not leads:
            world.crash(world.leaders()[0])
        names = []
        for number, spelling in enumerate(SPELLINGS):
            plain = {"jobclass": "small", "owner": "blue", "shape": "batch", "tasks": 2}
            plain |= {"vcpus": 1.0, "memoryGb": 1.0, "hosttypes": None, "site": None, "dueS": None}
            plain |= {"oneZone": False, "spread": False, "standby": True, "expectedS": 4.0}
            spec = world.spec(number + 1, **plain)
            name = str(spec["nameId"])
            names.append(name)
            world.jobs[name] = {"spec": spec, "aborted": None, "accepted": True, "over": None}
            world.jobs[name] |= {"at": world.now, "replicas": set()}
            up = [member for member in world.members if world.up(member)]
            first = await world.submit(name, up[number % len(up)], spelling(spec))
            assert first is not None and first[0] == 201, (spelling, first)
            for again in SPELLINGS:
                for member in up:
                    answer = await world.submit(name, member, again(spec))
                    assert answer is not None and answer[0] in (200, 503), (again, answer)
            assert _records(world, name) <= 1
        await _wait_until(world, 120.0, lambda: all(world.completed(name) for name in names))
        await asyncio.sleep(4.0)
        assert all(world.jobs[name]["entered"] == 2 for name in names)
        for name in names:
            answer = await world.submit(name, "", _shuffled(world.jobs[name]["spec"]))
            assert answer is not None and (answer[0], answer[1]["status"]) == (200, "done")

    tell(story, 3, loss=0.0)


def test_bodies_of_the_longest_length_and_in_chunks_are_accepted() -> None:
    """A byte more than 64 KiB is refused; the connection and the controller go on."""

    async def story() -> None:
        async with _running_daemons(2) as (daemons, _), aiohttp.ClientSession() as session:
            for number, daemon in enumerate(daemons):
                url = f"http://{daemon.settings.bind}/v2/runs"
                for kind, chunked in enumerate((False, True)):
                    spec = SPEC | {"nameId": f"run-{number}{kind}", "note": ""}
                    missing = constants.MAX_BODY_BYTES - len(json.dumps(spec))
                    longest = json.dumps(spec | {"note": "n" * missing}).encode()
                    assert len(longest) == constants.MAX_BODY_BYTES
                    statuses = []
                    for body in (longest + b" ", longest, longest):
                        data = _chunks(body) if chunked else body
                        async with session.post(url, data=data) as response:
                            statuses.append(response.status)
                    assert statuses == [400, 201, 200]

    _run_bounded(story)


async def _chunks(body: bytes) -> AsyncIterator[bytes]:
    for begin in range(0, len(body), 1000):
        yield body[begin : begin + 1000]
