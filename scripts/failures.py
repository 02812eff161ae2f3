"""Injects failures into a running system and prints the effect on clients.

    python3 scripts/failures.py --build build [--only NAME ...] [--out FILE]

Each case starts a new system, runs the same load, and evaluates the counters of
the load tool and of the stand-ins. Called by scripts/measure-failures.
"""

import argparse
import contextlib
import csv
import json
import signal
import subprocess
import sys
import time

from system import System, call

RUN_SECONDS = 40
FAULT_AT = 12


def first(system, role):
    return system.daemons(role, system.user["data_centres"][1])[0]


def none(system):
    return RUN_SECONDS, []


def kill_entry(system):
    name = first(system, "entry")
    return RUN_SECONDS, [
        (FAULT_AT, lambda: system.kill(name)),
        (FAULT_AT + 8, lambda: system.start_daemon(name))]


def kill_planner(system):
    name = first(system, "planner")
    return RUN_SECONDS, [
        (FAULT_AT, lambda: system.kill(name)),
        (FAULT_AT + 8, lambda: system.start_daemon(name))]


def kill_data_centre(system):
    names = system.daemons(centre=system.user["data_centres"][1])
    return RUN_SECONDS, [
        (FAULT_AT, lambda: [system.kill(name) for name in names]),
        (FAULT_AT + 12, lambda: [system.start_daemon(n) for n in names])]


def freeze(role, seconds):
    def case(system):
        name = first(system, role)
        return RUN_SECONDS, [
            (FAULT_AT, lambda: system.signal(name, signal.SIGSTOP)),
            (FAULT_AT + seconds,
             lambda: system.signal(name, signal.SIGCONT))]
    return case


def platform_down(seconds):
    def case(system):
        return RUN_SECONDS + seconds, [
            (FAULT_AT, lambda: system.platform_faults(down=True)),
            (FAULT_AT + seconds, lambda: system.platform_faults(down=False))]
    return case


def platform_down_and_kill(system):
    """An entry is killed during an outage: nothing may be taken over."""
    name = first(system, "entry")
    return RUN_SECONDS + 20, [
        (FAULT_AT, lambda: system.platform_faults(down=True)),
        (FAULT_AT + 5, lambda: system.kill(name)),
        (FAULT_AT + 20, lambda: system.platform_faults(down=False)),
        (FAULT_AT + 28, lambda: system.start_daemon(name))]


def answers_lost(system):
    """For ten seconds every write takes effect but its reply is lost."""
    return RUN_SECONDS, [
        (FAULT_AT, lambda: system.platform_faults(lose_answers=-1)),
        (FAULT_AT + 10, lambda: system.platform_faults(lose_answers=0))]


def platform_slow(system):
    return RUN_SECONDS, [
        (FAULT_AT, lambda: system.platform_faults(slow_ms=700)),
        (FAULT_AT + 15, lambda: system.platform_faults(slow_ms=0))]


def upstreams_frozen(system):
    def set_fault(freeze):
        for number in range(1, 6):
            call("POST", f"http://{system.upstream_control}/control/faults",
                 {"upstream": f"upstream-{number}", "freeze": freeze})
    system.direct = False
    return RUN_SECONDS, [(FAULT_AT, lambda: set_fault(True)),
                         (FAULT_AT + 15, lambda: set_fault(False))]


def workers_gone(system):
    def set_fault(gone):
        for number in range(1, 6):
            call("POST", f"http://{system.worker_agent}/control/faults",
                 {"worker": f"worker-{number}", "gone": gone})
    return RUN_SECONDS, [(FAULT_AT, lambda: set_fault(True)),
                         (FAULT_AT + 20, lambda: set_fault(False))]


def data_centre_out(system):
    centre = system.user["data_centres"][0]
    return RUN_SECONDS, [(FAULT_AT, lambda: system.take_out(centre)),
                         (FAULT_AT + 14, lambda: system.take_in(centre))]


def replace_all(system):
    """All instances are stopped as planned and replaced in turn under load."""
    names = [(f"entry-{centre}-{number}", f"planner-{centre}-{number}")
             for centre, number, _ in system.instances()]

    def replace(pair):
        if not system.stop(list(pair)):
            system.unclean = True
        for name in pair:
            system.start_daemon(name)
    return 20 + 18 * len(names), [
        (FAULT_AT + 15 * turn, lambda pair=pair: replace(pair))
        for turn, pair in enumerate(names)]


CASES = {
    "none": none,
    "kill-entry": kill_entry,
    "kill-planner": kill_planner,
    "kill-data-centre": kill_data_centre,
    "freeze-entry-1s": freeze("entry", 1.0),
    "freeze-entry-8s": freeze("entry", 8.0),
    "freeze-planner-8s": freeze("planner", 8.0),
    "platform-down-60s": platform_down(60),
    "platform-down-and-kill": platform_down_and_kill,
    "answers-lost-10s": answers_lost,
    "platform-slow-15s": platform_slow,
    "upstreams-frozen": upstreams_frozen,
    "workers-gone": workers_gone,
    "data-centre-out": data_centre_out,
    "replace-all": replace_all,
}


def low_seconds(path):
    """Number of seconds with less than half of the median answer rate."""
    with open(path, newline="") as file:
        rows = list(csv.DictReader(file))
    per_second = [float(row["answered"]) for row in rows]
    median = sorted(per_second)[len(per_second) // 2]
    return sum(1 for rate in per_second[1:-2] if rate < median / 2)


def run_case(name, arguments):
    system = System(arguments.build, arguments.user, arguments.net,
                    f"{arguments.folder}/{name}", quiet=True)
    system.unclean = False
    try:
        system.start_all()
        system.put_contracts()
        time.sleep(arguments.settle)
        before = system.store_counts()
        seconds, steps = CASES[name](system)
        started = time.monotonic()
        system.run_load(seconds, steps, out=subprocess.DEVNULL)
        elapsed = time.monotonic() - started
        after = system.store_counts()
        clean = system.stop(system.daemons()) and not system.unclean
        line, is_clean = system.summary()
        calls = {kind: (after[kind] - before[kind]) / elapsed
                 for kind in ("reads", "lists", "watches", "writes", "erases")}
        summary = json.loads((system.folder / "summary.json").read_text())
        return {"case": name, "is_clean": is_clean, "clean": clean, "line": line,
                "store": calls, "summary": summary,
                "low_seconds": low_seconds(system.folder / "load.csv")}
    finally:
        with contextlib.suppress(ProcessLookupError):
            system.kill_all()


def show(result):
    store = " ".join(f"{kind}={rate:.1f}"
                     for kind, rate in result["store"].items())
    print(f"== {result['case']}\n{result['line']}\n"
          f"clean_stops={result['clean']} "
          f"seconds_below_half={result['low_seconds']}\n"
          f"store calls a second: {store}", flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--user", default="vanamudra")
    parser.add_argument("--net", type=int, default=9)
    parser.add_argument("--folder", default="out/failures")
    parser.add_argument("--settle", type=float, default=8.0)
    parser.add_argument("--only", nargs="*", choices=sorted(CASES))
    arguments = parser.parse_args()
    all_clean = True
    for name in arguments.only or CASES:
        result = run_case(name, arguments)
        show(result)
        all_clean = all_clean and result["is_clean"] and result["clean"]
    return 0 if all_clean else 1


if __name__ == "__main__":
    sys.exit(main())
