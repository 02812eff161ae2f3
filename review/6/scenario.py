"""A rack loses one of its executors for good, and a gang waits for ever.

`sameRack` makes a gang slower on more than one rack. It doesn't forbid that:
with no rack left that holds the whole gang, it must run on several.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

import platform_standin as standin  # noqa: E402

PREFIX = "/lot/"
ROUTE = {"name": "lot-valuation", "host": standin.Installation.host,
         "prefix": PREFIX, "type": "non_idempotent", "timeoutMs": 3000,
         "targetDurationMs": 1000, "priority": 2, "service": "auction-desk",
         "attempts": 3, "stretch": 2.0}
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
# Executors of each rack. `srv_crash` has share 0.14 in the site file: one of
# eleven is lost.
RACKS = (("r1-1", 3), ("r1-2", 2), ("r1-3", 2), ("r1-4", 2), ("r1-5", 2))
# Two members don't fit on one executor.
MEMBERS = 3
TASK_CPU = 40000
TASK_MEMORY = 100000
WORK_MS = 1700
SETTLED_S = 8.0
FINISH_S = standin.BOUNDS["finish_s"]
IDLE_S = 3


def submission():
    return {"taskSpec": standin.spec_of(TASK_CPU, TASK_MEMORY, WORK_MS,
                                        MEMBERS),
            "steps": [{"count": MEMBERS, "cpu": TASK_CPU,
                       "memMb": TASK_MEMORY, "estimateMs": WORK_MS,
                       "gang": True, "sameRack": True}]}


async def scenario(installation, trouble):
    for rack, count in RACKS:
        for _ in range(count):
            installation.add_executor(CAPACITY, ["a", rack])
    await installation.open([ROUTE])
    await asyncio.sleep(3)
    if trouble:
        installation.executors[0].crash()
    await asyncio.sleep(SETTLED_S)
    identity = standin.identity()
    if not await installation.submit(PREFIX, identity, submission()):
        raise RuntimeError("the submission wasn't accepted")
    accepted = installation.record.now()
    state = ""
    for _ in range(FINISH_S + IDLE_S):
        await asyncio.sleep(1)
        _, state = await installation.state(PREFIX, identity)
        if state == "completed":
            return []
    starts = [e for e in installation.events if e[1] == "start"]
    free = sum(1 for e in installation.executors if e.up and not e.running)
    waited = installation.record.now() - accepted
    installation.record.write(
        f"{len(starts)} starts, {free} executors are up and run nothing; the "
        f"gang needs {MEMBERS} of them")
    if not starts and free >= 2 * MEMBERS:
        return [f"LOST: submission {identity} was accepted, its state is "
                f"{state!r}, and none of its tasks has started for "
                f"{waited:.1f} s on {free} executors that are free"]
    return []


if __name__ == "__main__":
    sys.exit(standin.main(os.path.join(HERE, "record.txt"), scenario))
