"""One waiting job makes every scheduling round fail: nothing is started for anybody."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import Region, flavor, job, main  # noqa: E402

ZONES = ["hobart-room", "launceston-dc", "mainland-cloud"]
TEAMS = ("trading-desk", "hydro-ops", "settlements", "wind-desk")
SETTINGS = {
    "teams": [
        {"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0} for name in TEAMS
    ],
    "workers": {
        "report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 44.0,
    },
    "state": {"rps": 120.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
    "quota": {"cpu": 0.6, "ram_mb": 266.0, "sockets": 1500},
}  # fmt: skip
FLAVORS = {"quad-node": flavor("quad-node", 4, 8, ZONES, 0.24, 0.09, 20)}
PROBE = "run-000001"
PROBE_WAITS_S = 33.0  # until the users of the other teams come
WATCH_S = 75.0


async def play(record, scratch, trouble, regions):
    capacity = {("quad-node", zone, standby): 8 for zone in ZONES[:2] for standby in (True, False)}
    if not trouble:
        capacity |= {("quad-node", ZONES[2], standby): 8 for standby in (True, False)}
    region = Region(record, scratch, SETTINGS, FLAVORS, capacity, ZONES, restart_s=4.0)
    regions.append(region)
    for n in range(9):  # machines that are up at the start
        region.cloud.add(("quad-node", ZONES[n % 2], False), up=True)
    await region.begin()
    probe = job(1, "wind-desk", jobclass="feed-probe", tasks=2, vcpus=0.0, memoryGb=0.0, pullGb=0.1,
                site="mainland-cloud", expectedS=3.0)  # fmt: skip
    if await region.submit(probe, 3.0) not in (200, 201):
        return 2
    await asyncio.sleep(PROBE_WAITS_S)
    jobs = [
        job(10 + n, TEAMS[n % 3], jobclass="gate-bid", urgency="high", tasks=2, vcpus=2.0,
            memoryGb=2.0, expectedS=10.0)
        for n in range(3)
    ] + [
        job(20 + n, TEAMS[n % 3], jobclass="price-forecast", tasks=6, memoryGb=1.8, expectedS=8.0)
        for n in range(3)
    ]  # fmt: skip
    answers = await asyncio.gather(*(region.submit(spec, spec["expectedS"]) for spec in jobs))
    if not all(answer in (200, 201) for answer in answers):
        return 2
    came_at = record.now()
    polls = {
        spec["nameId"]: region.spawn(region.poll_until_done(spec["nameId"])) for spec in jobs
    }
    while record.now() < came_at + WATCH_S and not all(p.done() for p in polls.values()):
        await asyncio.sleep(2.0)
        free = [worker._free()[0] for worker in region.cloud.workers.values()]
        record(
            "machines", most=60, up=len(free), free_cpus=sum(free),
            waiting=sum(name not in region.first_start for name in polls),
        )  # fmt: skip
    if not region.started:
        region.breach(
            "nothing_ran",
            f"no task was started in {record.now() - came_at:.0f} s since {len(jobs)} jobs of"
            f" {len({s['owner'] for s in jobs})} teams were accepted;"
            f" {len(region.cloud.workers)} machines are up and empty",
        )
    for field in ("jobclass", "owner"):
        for key in sorted({spec[field] for spec in jobs}):
            mine = [spec["nameId"] for spec in jobs if spec[field] == key]
            served = sum(polls[name].done() for name in mine)
            record("served", by=field, key=key, served=served, of=len(mine))
            if 2 * served < len(mine):
                region.breach("served", f"{field} {key}: {served} of {len(mine)} jobs served")
    failed = 0
    for name in region.platform.names:
        text = (region.platform.folder / f"{name}.log").read_text(errors="replace")
        failed += text.count("loop failed")
        for line in text.splitlines():
            if "ValueError" in line:
                record("controller_log", most=1, name=name, text=line)
    record("scheduling_loop_failed", times=failed)
    return 1 if region.broken else 0


if __name__ == "__main__":
    main(HERE, play)
