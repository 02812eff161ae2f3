"""A route is taken out of the manifest and put back; in between, the instance
that schedules is stopped as planned and started again."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
sys.dont_write_bytecode = True
import pool_standins as s  # noqa: E402

FINISH_S = 14   # bounds.finish_s
CALM_S = 3      # the rule's "for 3 s"


async def run(trouble):
    world = s.World(HERE, 71)
    record, store = world.record, world.store
    both = [s.route("orders", "/orders/", "desk"),
            s.route("reports", "/reports/", "desk")]
    executors = [s.Executor(store, record, "desk", rack=f"r{n // 2}")
                 for n in range(6)]
    try:
        await world.start(3, executors, s.manifest(3, both, ["desk"]))
        await asyncio.sleep(2)
        body = {"taskSpec": '{"ms": 4000}', "steps": [
            {"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 4000},
            {"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 4000,
             "after": [0]},
            {"count": 4, "cpu": 1000, "memMb": 256, "estimateMs": 4000,
             "after": [1]}]}
        job = await s.submit(record, world.pools[0], "/orders/", body)
        await asyncio.sleep(0.3)
        if trouble:
            store.put("op/config", s.manifest(8, both[1:], ["desk"]))
            record.add("manifest", version=8, routes=["reports"])
            await asyncio.sleep(2.5)
            owner = s.owner_of(world.pools)
            await owner.stop(signal.SIGTERM)
            await owner.start()
            await asyncio.sleep(2)
            store.put("op/config", s.manifest(11, both, ["desk"]))
            record.add("manifest", version=11, routes=["orders", "reports"])
        # The end of the traffic; then finish_s, and the 3 s of the rule.
        await asyncio.sleep(FINISH_S)
        looked_from = record.now()
        while record.now() < looked_from + CALM_S + 1:
            await asyncio.sleep(0.5)
        state = await s.ask(record, world.pools[1], "/orders/", job)
        # Another submission on the same route, then: is there room?
        other = await s.submit(record, world.pools[1], "/orders/", body)
        await asyncio.sleep(15)
        other_state = await s.ask(record, world.pools[1], "/orders/", other)
        done = {e["task"] for e in record.of("end")
                if e["how"] == "done" and e["task"].startswith(job)}
        late_starts = [e for e in record.of("start")
                       if e["task"].startswith(job) and e["t"] >= looked_from]
        running = any(e.up and any(t.startswith(job) for t in e.running)
                      for e in executors)
        record.add("verdict", job=job, done=len(done), of=12, state=state,
                   other_state=other_state)
        if len(done) < 12 and not late_starts and not running:
            return [f"LOST: {job}, accepted with 200, has nothing running for "
                    f"{CALM_S} s, {FINISH_S} s after the traffic: {len(done)} "
                    f"of 12 tasks have ended done, the client sees {state}; "
                    f"a submission made later is {other_state}"]
        return []
    finally:
        await world.end()


s.main(run)
