"""The store is down while many short tasks end on two executors.

An executor lists its ends 500 at a time. While none of them can be stored,
more than that pile up. No task that has ended `done` may start again.
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
         "targetDurationMs": 60000, "priority": 2,
         "service": "auction-desk", "attempts": 3, "stretch": 2.0}
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
EXECUTORS = 2
SUBMISSIONS = 60
TASKS = 20
TASK_CPU = 100
TASK_MEMORY = 256
WORK_MS = 5000
# `platform_down` of the small site files: for_s 4.5, how busy.
DOWN_S = 4.5


def submission():
    return {"taskSpec": standin.spec_of(TASK_CPU, TASK_MEMORY, WORK_MS),
            "steps": [{"count": TASKS, "cpu": TASK_CPU,
                       "memMb": TASK_MEMORY, "estimateMs": WORK_MS}]}


def doubled(events):
    """Returns the tasks that started after an end `done` that was noted.

    An end counts as noted when `lastSeen` reaches it, unless the lease of its
    executor lapsed between the two. Events of one executor are in order.
    """
    done_at = {}
    lapses = {}
    noted = {}
    for event in events:
        if event[1] == "lapse":
            lapses.setdefault(event[2], []).append(event[0])
        elif event[1] == "done":
            done_at[(event[2], event[3], event[4])] = event[0]
        elif event[1] == "noted" and event[5] == "done":
            executor, task = event[2], event[3]
            ended = done_at[(executor, task, event[4])]
            lapsed = any(ended <= at <= event[0]
                         for at in lapses.get(executor, []))
            if not lapsed:
                noted[task] = min(noted.get(task, ended), ended)
    return [(event[3], event[4], event[0], noted[event[3]])
            for event in events
            if event[1] == "start" and event[3] in noted
            and event[0] > noted[event[3]]]


async def scenario(installation, trouble):
    for number in range(EXECUTORS):
        installation.add_executor(CAPACITY, ["a", f"r1-{number}"])
    await installation.open([ROUTE])
    await asyncio.sleep(3)
    identities = [standin.identity() for _ in range(SUBMISSIONS)]
    accepted = await asyncio.gather(*(
        installation.submit(PREFIX, i, submission()) for i in identities))
    if not all(accepted):
        raise RuntimeError("a submission wasn't accepted")
    wanted = SUBMISSIONS * TASKS
    while not any(e[1] == "start" for e in installation.events):
        await asyncio.sleep(0.01)
    # The first tasks are about to end.
    await asyncio.sleep(WORK_MS / 1000 - 0.2)
    if trouble:
        installation.store.set_down(True)
    most = 0
    for _ in range(int(DOWN_S * 20)):
        await asyncio.sleep(0.05)
        most = max([most] + [len(e.ended) for e in installation.executors])
    if trouble:
        installation.store.set_down(False)
    installation.record.write(f"most ends of one executor at once: {most}")
    open_ones = set(identities)
    for _ in range(25):
        await asyncio.sleep(1)
        for identity in list(open_ones):
            _, state = await installation.state(PREFIX, identity, quiet=True)
            if state == "completed":
                open_ones.discard(identity)
        if not open_ones:
            break
    await asyncio.sleep(2)
    starts = sum(1 for e in installation.events if e[1] == "start")
    installation.record.write(
        f"{wanted} tasks, {starts} starts, {len(open_ones)} submissions "
        f"aren't completed")
    again = doubled(installation.events)
    for task, attempt, at, ended in again[:20]:
        installation.record.write(
            f"again {task}#{attempt} at {at:.3f}, done at {ended:.3f}")
    if again:
        return [f"TWICE: {len(again)} starts of tasks that had ended done, "
                f"and whose ends were taken note of"]
    return []


if __name__ == "__main__":
    sys.exit(standin.main(os.path.join(HERE, "record.txt"), scenario))
