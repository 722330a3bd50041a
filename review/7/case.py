"""A spot machine is taken back; its task of 4 CPUs is never started again, though machines can be rented.

Two services hold one CPU each of two other machines, one in each zone.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from standins import *  # noqa: E402, F403

MUST_RUN_S = 90.0
ZONES = ("cebu-rack", "manila-dc")


async def case(world):
    record = world.record
    world.cloud.capacity = {("quad-box", zone, spot): 12 for zone in ZONES for spot in (True, False)}
    await world.start()
    # As typhoon-recount of BRIEF: 4 CPUs and 12 GB, priority high.
    urgent = world.spec(jobclass="typhoon-recount", urgency="high", tasks=1, vcpus=4.0,
                        memoryGb=12.0, expectedS=25.0)
    name = urgent["nameId"]
    await world.submit(urgent)
    await running(world, name)
    first = next(iter(world.present[f"{name}/0"].values()))
    for zone in ZONES:
        feed = world.spec(jobclass="feed", shape="service", tasks=1, vcpus=1.0, memoryGb=1.0,
                          expectedS=0.0, site=zone, standby=False)
        await world.submit(feed)
        await running(world, feed["nameId"])
    taken_at = now()
    if TROUBLE:
        await world.take_back(first, notice_s=0.0)
    began = None
    while now() < taken_at + MUST_RUN_S + 5:
        await asyncio.sleep(1.0)
        await world.poll(name)
        if world.complete(name) or (began is None and world.started_since(f"{name}/0", taken_at)):
            began = now()
        if world.complete(name):
            break
    record("machines up:", len(world.workers), "machines that the cloud would still rent:",
           world.cloud.left(), "rental requests since the machine was taken:",
           sum(at > taken_at for at in world.cloud.asked_at))
    if began is None:
        record.broke("not_run", f"{name}: accepted, and not started again for {MUST_RUN_S:.0f} s "
                     "after its machine was taken back")


if __name__ == "__main__":
    main(case, Path(__file__).parent)
