"""Executors lose power just before a start reaches them, three times.

None of them ever gets the start, so no executor crashes under the task. Its
submission must not be shown as failed.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)),
                                "standin-2"))

import platform_standin as standin  # noqa: E402

PREFIX = "/bid/"
ROUTE = {"name": "bid-confirm", "host": standin.Installation.host,
         "prefix": PREFIX, "type": "non_idempotent", "timeoutMs": 3000,
         "targetDurationMs": 250, "priority": 0, "service": "auction-desk",
         "attempts": 2, "stretch": 1.5}
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
# `srv_crash` of the site file: share 0.14, for_s 4.5, how dark. One of eight
# executors each time: when it goes dark, in seconds, and which one it is.
EXECUTORS = 8
DARK_S = 4.5
TIMES = ((0.0, 0), (4.3, 1), (8.3, 0))
WORK_MS = 900
TASK_CPU = 4100
TASK_MEMORY = 2000


def submission():
    return {"taskSpec": standin.spec_of(TASK_CPU, TASK_MEMORY, WORK_MS),
            "steps": [{"count": 1, "cpu": TASK_CPU, "memMb": TASK_MEMORY,
                       "estimateMs": WORK_MS}]}


def starts_of(installation, identity):
    return [e for e in installation.events
            if e[1] == "start" and e[3].startswith(identity)]


async def lose_power(executor, at_s):
    await asyncio.sleep(at_s)
    executor.go_dark()
    await asyncio.sleep(DARK_S)
    executor.crash()
    await executor.boot()


async def scenario(installation, trouble):
    for number in range(EXECUTORS):
        installation.add_executor(CAPACITY, ["a", f"r1-{number % 2}"])
    await installation.open([ROUTE])
    await asyncio.sleep(3)
    identity = standin.identity()
    losses = []
    if trouble:
        losses = [asyncio.ensure_future(
            lose_power(installation.executors[number], at_s))
            for at_s, number in TIMES]
        await asyncio.sleep(0)
    if not await installation.submit(PREFIX, identity, submission()):
        raise RuntimeError("the submission wasn't accepted")
    await asyncio.gather(*losses)
    states = []
    for _ in range(standin.BOUNDS["finish_s"]):
        await asyncio.sleep(1)
        states.append(await installation.state(PREFIX, identity))
        if states[-1] == (200, "completed"):
            break
    starts = starts_of(installation, identity)
    failed = [e for e in installation.events if e[1] == "failed"]
    installation.record.write(
        f"runs of the task that any executor began: {len(starts)}, "
        f"ends `failed`: {len(failed)}")
    if not starts and not failed and (200, "failed") in states:
        return [f"LOST: submission {identity}, accepted and never cancelled, "
                f"is shown as failed; no executor has begun its task"]
    return []


if __name__ == "__main__":
    sys.exit(standin.main(os.path.join(HERE, "record.txt"), scenario))
