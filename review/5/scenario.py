"""The only executor of a kind is lost for good; other work waits behind it.

Submissions that need that kind wait, as they must. Submissions that any other
executor can run must still run.
"""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

import platform_standin as standin  # noqa: E402


def route(name, prefix, priority, stretch, target):
    return {"name": name, "host": standin.Installation.host,
            "prefix": prefix, "type": "non_idempotent", "timeoutMs": 3000,
            "targetDurationMs": target, "priority": priority,
            "service": "auction-desk", "attempts": 3, "stretch": stretch}


BID = route("bid-confirm", "/bid/", 0, 1.5, 250)
LOT = route("lot-valuation", "/lot/", 2, 2.0, 1000)
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
# `srv_crash` of the site files: share 0.14, how gone. One of eight executors.
EXECUTORS = 8
# 4.55 submissions of bid-confirm a second for nine seconds.
SUBMISSIONS = 41
RATE = 4.55
REPEATS = 4
INTERVAL_MS = 1000
WORK_MS = 1000
TASK_CPU = 4100
TASK_MEMORY = 2000
FINISH_S = standin.BOUNDS["finish_s"]
IDLE_S = 3.0


def step(**fields):
    return dict({"count": 1, "cpu": TASK_CPU, "memMb": TASK_MEMORY,
                 "estimateMs": WORK_MS}, **fields)


def events_of(installation, identity, kind):
    return [e for e in installation.events
            if e[1] == kind and e[3].startswith(identity)]


async def scenario(installation, trouble):
    for number in range(EXECUTORS):
        kind = "b" if number == 0 else "a"
        installation.add_executor(CAPACITY, [kind, f"r1-{number % 3}"])
    await installation.open([BID, LOT])
    await asyncio.sleep(3)
    if trouble:
        installation.executors[0].crash()
    spec = standin.spec_of(TASK_CPU, TASK_MEMORY, WORK_MS)
    for _ in range(SUBMISSIONS):
        body = {"taskSpec": spec, "steps": [step(requiredLabel="b")],
                "firstMs": int(time.time() * 1000), "repeatCount": REPEATS,
                "intervalMs": INTERVAL_MS}
        if not await installation.submit(BID["prefix"], standin.identity(),
                                         body):
            raise RuntimeError("a submission wasn't accepted")
        await asyncio.sleep(1 / RATE)
    await asyncio.sleep(REPEATS * INTERVAL_MS / 1000)
    identity = standin.identity()
    body = {"taskSpec": spec, "steps": [step(count=8)]}
    if not await installation.submit(LOT["prefix"], identity, body):
        raise RuntimeError("the submission wasn't accepted")
    accepted = installation.record.now()
    for _ in range(FINISH_S + int(IDLE_S)):
        await asyncio.sleep(1)
        _, state = await installation.state(LOT["prefix"], identity)
        if state == "completed":
            return []
    starts = len(events_of(installation, identity, "start"))
    running = sum(len(e.running) for e in installation.executors)
    waited = installation.record.now() - accepted
    installation.record.write(
        f"{starts} starts of the submission, executors run {running} tasks")
    if starts == 0 and running == 0:
        return [f"LOST: submission {identity} was accepted, its state is "
                f"{state!r}, and none of its tasks has started for "
                f"{waited:.1f} s on seven executors that are free"]
    return []


if __name__ == "__main__":
    sys.exit(standin.main(os.path.join(HERE, "record.txt"), scenario))
