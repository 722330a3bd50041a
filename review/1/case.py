"""Small tasks of a busy class on one large machine: its orders and its reports exceed 64 KiB."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import MAX_BODY, MAX_LINE, Region, flavor, job, main  # noqa: E402

SETTINGS = {
    "teams": [
        {"name": "ledger-desk", "cpus": 120.0, "cpus_max": 240.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "forecast-link", "cpus": 80.0, "cpus_max": 240.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "workers": {
        "report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 41.0,
    },
    "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 24},
    "cloud": {"rps": 5.0, "list_lag_s": 5.0},
    "quota": {"cpu": 0.25, "ram_mb": 186.0, "sockets": 1200},
}  # fmt: skip
USUAL_ARRAYS, FACTOR = 1, 4  # arrays of the class that come at once; how many times as often
TASKS, TASK_CPUS, TASK_GB = 350, 0.04, 0.1
WATCH_S = 85.0


async def play(record, scratch, trouble, regions):
    big = flavor("big-ledger", 64, 256, ["manila-dc"], 4.79, 1.74, 5)
    region = Region(
        record, scratch, SETTINGS, {"big-ledger": big}, {("big-ledger", "manila-dc", True): 1},
        ["manila-dc", "cebu-rack"], restart_s=6.0,
    )  # fmt: skip
    regions.append(region)
    await region.begin()
    arrays = USUAL_ARRAYS * (FACTOR if trouble else 1)
    pings = [
        job(100 + n, "forecast-link", jobclass="station-pings", tasks=TASKS, vcpus=TASK_CPUS,
            memoryGb=TASK_GB, expectedS=20.0)
        for n in range(arrays)
    ]  # fmt: skip
    pages = job(1, "ledger-desk", jobclass="logbook-ocr", tasks=4, memoryGb=3.8, expectedS=30.0)
    answers = await asyncio.gather(
        *(region.submit(spec, 20.0) for spec in pings), region.submit(pages, 30.0)
    )
    if not all(answer in (200, 201) for answer in answers):
        return 2
    polls = {
        spec["nameId"]: region.spawn(region.poll_until_done(spec["nameId"]))
        for spec in [*pings, pages]
    }
    end = record.now() + WATCH_S
    while record.now() < end and not all(poll.done() for poll in polls.values()):
        await asyncio.sleep(0.5)
    for name, poll in polls.items():
        spec, done = region.specs[name], sum(t.startswith(name + "/") for t in region.done)
        record(
            "result", job=name, told="done" if poll.done() else "not done", tasks=spec["tasks"],
            completed=done, starts=region.started.get(name, 0),
        )  # fmt: skip
    record(
        "sizes", largest_answer=region.largest_answer, largest_report=region.largest_report,
        limit=MAX_LINE, tasks_killed_by_lease=region.lease_kills,
    )  # fmt: skip
    if region.largest_answer > MAX_LINE:
        region.breach(
            "response_line",
            f"a line of {region.largest_answer} bytes was sent to a worker, {MAX_LINE} are allowed",
        )
    if region.largest_report > MAX_BODY and region.lease_kills:
        region.breach(
            "response_line",
            f"every report of the machine was refused; {region.lease_kills} tasks ended with its"
            f" leases, {sum(not p.done() for p in polls.values())} accepted jobs are not done",
        )
    for name, poll in polls.items():
        if poll.done() and poll.result() != "done":
            return 2
    return 1 if region.broken else 0


if __name__ == "__main__":
    main(HERE, play)
