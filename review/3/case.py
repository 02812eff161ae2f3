"""An idle executor that starts again under its id runs a task twice at the same
time as another one. See claim.txt."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from platform_standin import run_case  # noqa: E402

PREFIX = "/lohu930/"
ROUNDS = 5


async def fresh_look(executor):
    """Waits until the system has just looked at the executor."""
    while time.monotonic() - executor.last_hold > 0.1:
        await asyncio.sleep(0.01)


async def play(world, trouble):
    world.configure(3, [PREFIX])
    await world.start(machines=3, executors=6)
    client_at = world.machines[0]
    for number in range(ROUNDS):
        executor = world.executors[number]
        # Its data is near one executor, and it fits on every one.
        steps = [{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 1500,
                  "affinity": executor.rack}]
        await asyncio.sleep(2.5)
        await fresh_look(executor)
        await asyncio.sleep(0.2)
        if trouble:
            executor.kill()
        await asyncio.sleep(0.3)
        if trouble:
            await executor.boot()
        await asyncio.sleep(0.3)
        name = await world.submit(PREFIX, steps, "work=1500",
                                  world.machines)
        if name is None:
            world.record.write("case", "not accepted")
            continue
        if not await world.wait_completed(PREFIX, name, client_at, 14):
            world.record.write("case", f"{name} isn't completed in 14 s")


sys.exit(run_case(FOLDER, play))
