"""Large arrays take the leader, and each leader after it, over the memory that a controller has.

The case plays the platform of DEPLOY: a controller that holds more than cluster.quota.ram_mb is
killed, and is back 6 s later.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from standins import *  # noqa: E402, F403

JOBS = 24
EVERY_S = 2.5
BACK_S = 6.0
TASKS = 100_000 if TROUBLE else 247  # the protocol's limit; the most that BRIEF names


async def case(world):
    record = world.record
    limit = world.settings["cluster"]["quota"]["ram_mb"]
    world.cloud.capacity = {
        ("quad-box", zone, spot): 12 for zone in ("cebu-rack", "manila-dc") for spot in (True, False)
    }
    await world.start()
    top = dict.fromkeys(world.names, 0.0)

    async def platform(node):
        while True:
            await asyncio.sleep(0.25)
            held = node.memory_mb()
            top[node.name] = max(top[node.name], held)
            if held > limit:
                record.broke("ended_for_memory",
                             f"{node.name} holds {held:.0f} MB of {limit:.0f}; leader: {world.state.leader()}")
                await node.kill()
                await asyncio.sleep(BACK_S)
                await node.start()

    for node in world.nodes:
        world.spawn(platform(node))
    names = []
    for _ in range(JOBS):
        at = now()
        # Tasks as those of logbook-ocr in BRIEF: 1 CPU, 3.8 GB, 40 s.
        spec = world.spec(jobclass="sst-ensemble", urgency="best_effort", tasks=TASKS, vcpus=1.0,
                          memoryGb=3.8, expectedS=40.0)
        if await world.submit(spec, seconds=20.0) in (200, 201):
            names.append(spec["nameId"])
        await asyncio.sleep(max(0.0, at + EVERY_S - now()))
    while now() < record.began + 105:
        await world.poll(world.rng.choice(names))
        await asyncio.sleep(1.0)
    record("accepted:", len(names), "most memory held, MB:",
           {name: round(held) for name, held in top.items()}, "tasks done:", len(world.done))


if __name__ == "__main__":
    main(case, Path(__file__).parent)
