"""The owner is killed right after a change of the manifest.

The change drops a route for a few seconds. A submission that was accepted on
it before the change must still run, at the latest once the route is back.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

import platform_standin as standin  # noqa: E402


def route(name, prefix):
    return {"name": name, "host": standin.Installation.host,
            "prefix": prefix, "type": "non_idempotent", "timeoutMs": 3000,
            "targetDurationMs": 1000, "priority": 2,
            "service": "auction-desk", "attempts": 3, "stretch": 2.0}


BID = route("bid-confirm", "/bid/")
LOT = route("lot-valuation", "/lot/")
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
EXECUTORS = 6
WORK_MS = 2000
STEPS = 3
# Time for which the route is dropped, and the time that the rule then gives.
DROPPED_S = 6.0
FINISH_S = standin.BOUNDS["finish_s"]
IDLE_S = 3.0


def events_of(installation, identity, kind):
    return [e for e in installation.events
            if e[1] == kind and e[3].startswith(identity)]


async def scenario(installation, trouble):
    for number in range(EXECUTORS):
        installation.add_executor(CAPACITY, ["a", f"r1-{number % 2}"])
    await installation.open([BID, LOT])
    # Let the instances that started later see who owns the pool.
    await asyncio.sleep(3)
    owner = await installation.owner()
    if owner is None:
        raise RuntimeError("no instance owns the pool")
    identity = standin.identity()
    steps = [{"count": 4, "cpu": 1000, "memMb": 512, "estimateMs": WORK_MS}]
    for number in range(1, STEPS):
        steps.append(dict(steps[0], after=[number - 1]))
    body = {"taskSpec": standin.spec_of(1000, 512, WORK_MS), "steps": steps}
    if not await installation.submit(LOT["prefix"], identity, body):
        raise RuntimeError("the submission wasn't accepted")
    for _ in range(100):
        if events_of(installation, identity, "start"):
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("no task was started")
    installation.configure([BID])
    if trouble:
        owner.kill()
    await asyncio.sleep(1)
    if trouble:
        owner.start()
    await asyncio.sleep(DROPPED_S - 1)
    installation.configure([BID, LOT])
    for _ in range(FINISH_S):
        await asyncio.sleep(1)
        _, state = await installation.state(LOT["prefix"], identity)
        if state == "completed":
            return []
    # The last run of the submission ended long ago, and the executors, which
    # have room for all of it, run nothing at all.
    last = max(e[0] for e in installation.events
               if len(e) > 3 and e[3].startswith(identity))
    idle = installation.record.now() - last
    running = sum(len(e.running) for e in installation.executors)
    done = len(events_of(installation, identity, "done"))
    installation.record.write(
        f"{done} of {4 * STEPS} tasks have ended done, nothing of the "
        f"submission has run for {idle:.1f} s, executors run {running} tasks")
    if idle > IDLE_S and running == 0:
        return [f"LOST: submission {identity} was accepted, nobody has "
                f"cancelled it, its state is {state!r}, and its next step "
                f"hasn't started for {idle:.1f} s on executors that are free"]
    return []


if __name__ == "__main__":
    sys.exit(standin.main(os.path.join(HERE, "record.txt"), scenario))
