"""After many executors have crashed, a machine that takes over starts none of
the accepted work for a minute. See claim.txt."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from platform_standin import BOUNDS, run_case  # noqa: E402

PREFIX = "/lohu930/"
EXECUTORS = 12
CRASHED = 3  # A quarter; the largest dose of srv_crash is 0.14, twice is 0.28.
WAVES = 12
WAVE_GAP_S = 0.5
DOWN_S = 1.0


async def come_back(executor):
    await asyncio.sleep(DOWN_S)
    await executor.boot(as_new=True)


async def crash_many(world):
    for _ in range(WAVES):
        live = [executor for executor in world.executors if executor.up]
        for executor in random.sample(live, min(CRASHED, len(live))):
            executor.kill()
            asyncio.create_task(come_back(executor))
        await asyncio.sleep(WAVE_GAP_S)


async def play(world, trouble):
    world.configure(3, [PREFIX])
    await world.start(machines=3, executors=EXECUTORS)
    steps = [{"count": 6, "cpu": 2000, "memMb": 256, "estimateMs": 4000},
             {"count": 2, "cpu": 2000, "memMb": 256, "estimateMs": 4000,
              "after": [0]}]
    names = []
    for _ in range(3):
        names.append(await world.submit(PREFIX, steps, "work=4000",
                                        world.machines))
        await asyncio.sleep(0.5)
    if trouble:
        await crash_many(world)
        await asyncio.sleep(0.4)
        leader = world.leader()
        world.kill_process(leader)
        await asyncio.sleep(1.0)
        world.start_process(leader)
        await asyncio.sleep(DOWN_S)
    else:
        await asyncio.sleep(WAVES * WAVE_GAP_S + 1.4 + DOWN_S)

    # The end of the traffic and of the disruptions.
    await asyncio.sleep(BOUNDS["finish_s"])
    client_at = world.machines[0]
    for name in names:
        state = await world.state(PREFIX, name, client_at)
        if state not in ("queued", "active"):
            continue
        begin = time.monotonic()
        while time.monotonic() - begin < 3.5:
            await asyncio.sleep(0.05)
            if any(executor.running for executor in world.executors):
                break
        else:
            world.broken("LOST", f"{name} is accepted and {state}; for 3.5 s "
                         "nothing of it or of anything else runs, and all "
                         "executors are up and empty")


sys.exit(run_case(FOLDER, play))
