"""The log of attempts: after a crash exactly the durable operations are restored."""

import random

import msgspec
import pytest

from chalkgrade import constants
from chalkgrade.outside import encode
from chalkgrade.record.jobs import Job, JobValue, PageValue
from chalkgrade.record.oplog import Op, OpLog, SegmentValue
from chalkgrade.record.task_sets import WaitingTasks
from test_placement_rentals import spec

VALUE_B = 2048


class Stored:
    """The content of the state service: segments and pages."""

    def __init__(self, most: int) -> None:
        self.revision = 0
        self.most = most  # segments per commit
        self.segments: dict[str, tuple[int, bytes]] = {}
        self.pages: dict[tuple[str, int], bytes] = {}
        self.carried = 0  # pages that were too long for one value

    def flush(self, log: OpLog, jobs: dict[str, Job]) -> None:
        """Make one commit as the registry does: log entries, and pages that free old segments."""
        flush = log.next_flush(self.most)
        lsn = log.lsn if flush is None else flush.lsn
        pages = []
        if flush is None or flush.count == len(log.pending):
            pages = list(dict.fromkeys(log.stale_pages()))[:4]
        self.revision += 1
        for name in list(pages):
            value = encode(jobs[name[0]].checkpoint(name[1], lsn))
            if len(value) > VALUE_B:
                pages.remove(name)
                if flush is not None:
                    continue
                short, ops = jobs[name[0]].split_checkpoint(name[1], lsn, VALUE_B)
                value = encode(short)
                assert len(value) <= VALUE_B and ops
                self.carried += 1
                log.release_pages({name})
                flush, pages = log.reappend(ops), []
                self.pages[name] = value
                break
            self.pages[name] = value
        if flush is not None:
            for piece in flush.appends:
                value = encode(piece.value)
                assert len(value) <= VALUE_B
                assert piece.segment.stamp == self.segments.get(piece.segment.key, (0, b""))[0]
                self.segments[piece.segment.key] = (self.revision, value)
            log.mark_saved(flush, self.revision)
        log.release_pages(set(pages))

    def load(self, jobs: dict[str, int]) -> tuple[OpLog, dict[str, Job]]:
        """Restore log and jobs as a new leader does."""
        log = OpLog(VALUE_B)
        out = {name: job(name, count, log) for name, count in jobs.items()}
        for (name, number), value in self.pages.items():
            if name in out:
                out[name].load_page(number, msgspec.json.decode(value, type=PageValue), 1)
        rows = [
            (key, stamp, msgspec.json.decode(value, type=SegmentValue))
            for key, (stamp, value) in sorted(self.segments.items())
        ]
        for lsn, segment, entry in log.load(rows):
            for name, ops in entry.jobs:
                if name in out:
                    segment.needed_pages |= {(name, page) for page in out[name].replay(lsn, ops)}
        pages = [page.durable_lsn for job in out.values() for page in job.pages.values()]
        log.lsn = max([log.lsn, *pages])
        log.release_pages(set())
        return log, out


def job(name: str, count: int, log: OpLog) -> Job:
    return Job(JobValue(spec(nameId=name, tasks=count), 0.0), 1, log)


def picture(jobs: dict[str, Job]) -> dict[str, object]:
    return {
        name: (
            job.done,
            sorted(job.waiting),
            sorted((i, a.number, a.machine) for i, a in job.live.items()),
            job.is_faulty,  # a new leader must not start a faulty job on all machines again
        )
        for name, job in jobs.items()
    }


@pytest.mark.parametrize("seed", range(7))
def test_a_crash_at_any_flush_brings_back_what_was_durable(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new leader must not lose, repeat or revive operations, whatever the last flush was.

    With odd seeds pages have more live attempts than one value holds.
    """
    long = seed % 2 > 0
    monkeypatch.setattr(constants, "TASKS_PER_PAGE", 300 if long else 20)
    monkeypatch.setattr(constants, "MIN_LOG_SEGMENTS", 3)
    monkeypatch.setattr(constants, "MIN_LOG_BYTES", 0)
    rng = random.Random(seed)
    stored, log = Stored(1 + seed % 3), OpLog(VALUE_B)
    jobs: dict[str, Job] = {}
    number = reused = faulty = 0
    durable = picture(jobs)
    for _ in range(1500):
        kind = rng.random()
        if kind < 0.01 or not jobs:
            number += 1
            jobs[f"run-{number}"] = job(f"run-{number}", rng.randrange(1, 300 if long else 90), log)
            durable[f"run-{number}"] = picture(jobs)[f"run-{number}"]
        one = rng.choice(list(jobs.values()))
        index = one.waiting.lowest(set())
        if kind < 0.5 and index is not None:
            one.place(index, f"host-{rng.randrange(50)}")
        elif kind < (0.6 if long else 0.9) and one.live:
            end, sound = rng.random(), one.spec.nameId[-1] not in "37"
            attempt = rng.choice(list(one.live.values()))
            one.finish(attempt, sound and end < 0.7, failed=end > (0.95 if sound else 0.5))
        elif kind < 0.97:
            while log.pending:
                stored.flush(log, jobs)
            stored.flush(log, jobs)
            for name in [name for name, job in jobs.items() if job.is_over]:
                log.release_pages({(name, page) for page in jobs.pop(name).pages})
            durable = picture(jobs)
            reused += bool(log.free)
        elif kind > 0.985:
            log, jobs = stored.load({name: job.spec.tasks for name, job in jobs.items()})
            assert picture(jobs) == durable
            faulty += any(job.is_faulty for job in jobs.values())
    assert faulty or long
    assert (stored.carried > 0) == long
    assert reused  # segments were reused, so old content was read
    assert len(stored.segments) < 40


@pytest.mark.parametrize("count", [40, 400, 450])  # within a page, whole pages, and a part of one
def test_waiting_gives_the_lowest_number_that_still_waits(count: int) -> None:
    """Compared with a plain set: a lost or repeated task would never start or start twice."""
    rng = random.Random(5)
    waiting, twin = WaitingTasks(count), set(range(count))
    for _ in range(2000 + 20 * count):
        index = rng.randrange(count)
        if rng.random() < 0.5:
            waiting.add(index)
            twin.add(index)
        else:
            assert waiting.remove(index) == (index in twin)
            twin.discard(index)
        skip = {rng.randrange(40) for _ in range(rng.randrange(4))}
        assert waiting.lowest(skip) == min(twin - skip, default=None)
        assert len(waiting) == len(twin) and (index in waiting) == (index in twin)
    assert list(waiting) == sorted(twin)


def test_a_value_never_grows_over_the_limit_by_a_few_bytes() -> None:
    """Lengths around the limit, byte by byte: what is written fits, and no byte is wasted.

    An entry that fitted the current segment, but not together with the value's frame, was left
    out of every commit, and nothing after it was written either (late transactions).
    """
    appended, begun = [], []
    for length in range(1200, 1800):
        log = OpLog(VALUE_B)
        log.add(Op("run-000001", 0, 1, "m" * 500))
        first = log.next_flush()
        assert first is not None
        log.mark_saved(first, 1)
        log.add(Op("run-000002", 0, 1, "m" * length))
        flush = log.next_flush()
        assert flush is not None
        (piece,) = flush.appends
        assert len(encode(piece.value)) <= VALUE_B, length
        (begun if piece.overwrites else appended).append(length)
    assert appended and begun and max(appended) < min(begun)
    # The longest appended entry fills the value to its last byte.
    log = OpLog(VALUE_B)
    log.add(Op("run-000001", 0, 1, "m" * 500))
    log.mark_saved(log.next_flush(), 1)  # type: ignore[arg-type]
    log.add(Op("run-000002", 0, 1, "m" * max(appended)))
    flush = log.next_flush()
    assert flush is not None and len(encode(flush.appends[0].value)) == VALUE_B
