"""An idle executor crashes and starts again under the id that it had.

The owner polls an idle executor seldom, so it may send a start before it has
learned that this is another boot. No task may run in two places at once.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))

import platform_standin as standin  # noqa: E402

PREFIX = "/bid/"
ROUTE = {"name": "bid-confirm", "host": standin.Installation.host,
         "prefix": PREFIX, "type": "non_idempotent", "timeoutMs": 3000,
         "targetDurationMs": 250, "priority": 0, "service": "auction-desk",
         "attempts": 2, "stretch": 1.5}
CAPACITY = {"cpu": 64000, "memMb": 256000, "gpu": 0}
# `srv_crash` of the site files: share 0.14, for_s at most 4.5. One of eight
# executors is down for half a second.
EXECUTORS = 8
DOWN_S = 0.5
WORK_MS = 900
TASK_CPU = 4100
TASK_MEMORY = 2000


def submission():
    return {"taskSpec": standin.spec_of(TASK_CPU, TASK_MEMORY, WORK_MS),
            "steps": [{"count": 1, "cpu": TASK_CPU, "memMb": TASK_MEMORY,
                       "estimateMs": WORK_MS}]}


async def submit_and_wait(installation, identity):
    """Hands a submission in; returns the executor of its first run."""
    if not await installation.submit(PREFIX, identity, submission()):
        raise RuntimeError("the submission wasn't accepted")
    for _ in range(100):
        for event in installation.events:
            if event[1] == "start" and event[3].startswith(identity):
                return event[2]
        await asyncio.sleep(0.02)
    raise RuntimeError("the task wasn't started")


async def completed(installation, identity):
    for _ in range(100):
        _, state = await installation.state(PREFIX, identity, quiet=True)
        if state == "completed":
            return True
        await asyncio.sleep(0.1)
    return False


def overlaps(events):
    """Returns the tasks with two runs at the same time.

    A run lasts from its start until its executor ends it or crashes.
    """
    begun = {}
    found = []
    for event in events:
        if event[1] == "start":
            at, _, executor, task, attempt = event
            for other, since in begun.get(task, {}).items():
                found.append((task, other, since, (executor, attempt), at))
            begun.setdefault(task, {})[(executor, attempt)] = at
        elif event[1] in ("done", "failed", "stopped", "lapsed", "crash"):
            _, _, executor, task, attempt = event
            begun.get(task, {}).pop((executor, attempt), None)
    return found


async def scenario(installation, trouble):
    for number in range(EXECUTORS):
        installation.add_executor(CAPACITY, ["a", f"r1-{number % 2}"])
    await installation.open([ROUTE])
    await asyncio.sleep(3)
    # A first submission shows which executor the system prefers.
    first = standin.identity()
    name = await submit_and_wait(installation, first)
    if not await completed(installation, first):
        raise RuntimeError("a calm submission isn't completed")
    executor = next(e for e in installation.executors if e.name == name)
    if trouble:
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.boot()
    else:
        await asyncio.sleep(DOWN_S)
    second = standin.identity()
    await submit_and_wait(installation, second)
    # Time for a second run.
    await asyncio.sleep(4 * WORK_MS / 1000)
    done = [e for e in installation.events
            if e[1] == "done" and e[3].startswith(second)]
    installation.record.write(
        f"{len(done)} ends `done` of the one task of {second}")
    return [f"TWICE: task {task} ran as {a[0]}#{a[1]} since {since:.3f} and "
            f"was started as {b[0]}#{b[1]} at {at:.3f}"
            for task, a, since, b, at in overlaps(installation.events)]


if __name__ == "__main__":
    sys.exit(standin.main(os.path.join(HERE, "record.txt"), scenario))
