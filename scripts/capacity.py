"""Measures the resource use of entries and planners at growing system sizes
and fits a line for each dimension.

One dimension grows at a time from a common base. Each reading is taken over
some seconds after the system has settled: processor time and memory from /proc,
peer bytes from /metrics, store calls from the counters of the platform's
stand-in. Called by scripts/measure-capacity.
"""

import argparse
import json
import os
import re
import subprocess
import sys
import time

from system import System, call

BASE = {"per_centre": 1, "upstreams": 30, "workers": 24, "contracts": 3,
        "rate": 0, "tasks": 0}
SIZES = {
    "per_centre": [1, 3, 6, 11],
    "upstreams": [30, 100, 250],
    "workers": [24, 96, 240],
    "contracts": [3, 20, 41],
    "rate": [0, 150, 450],
    "tasks": [0, 120, 360],
}
# Heading and unit of each dimension. The rate is in requests per second over
# all entries.
NAMES = {"per_centre": "members of a role", "upstreams": "upstreams",
         "workers": "workers", "contracts": "contracts",
         "rate": "requests/s in all", "tasks": "running tasks"}
TICKS = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 12


def cpu_seconds(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    text = open(f"/proc/{pid}/status").read()
    return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024


def peer_bytes(address):
    text = call("GET", f"http://{address}/metrics")
    return sum(float(value) for value in re.findall(
        r"^fuchsia_peer_(?:sent|received)_bytes_total (\S+)", text, re.M))


def reading(system):
    result = {}
    for role, addresses in (("entry", system.entries()),
                            ("planner", system.planners())):
        names = system.daemons(role)
        pids = [system.children[name].pid for name in names]
        result[role] = {
            "cpu": sum(cpu_seconds(pid) for pid in pids) / len(pids),
            "memory": max(memory_mb(pid) for pid in pids),
            "bytes": sum(map(peer_bytes, addresses)) / len(addresses)}
    result["store"] = system.store_counts()
    return result


def submit_tasks(system, count):
    token = (system.folder / "token").read_text().strip()
    for number in range(count // 4):
        call("POST", f"http://{system.planners()[0]}/v1/jobs", {
            "id": f"capacity-{number}",
            "customer": system.customers[0], "kind": "service",
            "class": f"class-{number % 8}", "millicores": 1000,
            "memory_mb": 2000, "tasks": 4},
            {"Authorization": f"Bearer {token}"}, timeout=20)


def measure(build, size, seconds, net):
    system = System(build, net=net, per_centre=size["per_centre"],
                    upstreams=size["upstreams"], workers=size["workers"],
                    contracts=size["contracts"], quiet=True)
    load = None
    try:
        system.start_all()
        system.put_contracts()
        submit_tasks(system, size["tasks"])
        if size["rate"]:
            # Three customers send 2.25 times the base rate each.
            load = subprocess.Popen(
                [str(system.build / "fuchsia-load"), "run",
                 system.experiment(SETTLE_SECONDS + seconds + 30,
                                   size["rate"] / 6.75, jobs=False),
                 "--targets", str(system.folder / "targets.toml")],
                stdout=subprocess.DEVNULL)
            system.children["load"] = load
        time.sleep(SETTLE_SECONDS)
        before = reading(system)
        start = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - start
        after = reading(system)
    finally:
        system.kill_all()
    roles = {}
    for role in ("entry", "planner"):
        roles[role] = {
            "cpu_percent": 100 * (after[role]["cpu"] - before[role]["cpu"])
            / elapsed,
            "memory_mb": after[role]["memory"],
            "bytes_per_second":
                (after[role]["bytes"] - before[role]["bytes"]) / elapsed}
    store = {kind: (after["store"][kind] - before["store"][kind]) / elapsed
             for kind in ("reads", "lists", "watches", "writes", "erases")}
    return {"size": size, "roles": roles, "store": store}


def slope(points):
    """Returns constant and slope of a least-squares line through (x, y)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - rise * mean_x, rise


def show(dimension, readings):
    print(f"\n### {NAMES[dimension]}\n")
    print("| size | entry: % of a core | MB | peer B/s | planner: % of a core "
          "| MB | peer B/s | store reads/s | lists/s | watches/s | writes/s |")
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    scale = 3 if dimension == "per_centre" else 1
    for row in readings:
        cells = [str(row["size"][dimension] * scale)]
        for role in ("entry", "planner"):
            cost = row["roles"][role]
            cells += [f"{cost['cpu_percent']:.2f}", f"{cost['memory_mb']:.1f}",
                      f"{cost['bytes_per_second']:.0f}"]
        cells += [f"{row['store'][kind]:.1f}"
                  for kind in ("reads", "lists", "watches")]
        cells.append(f"{row['store']['writes'] + row['store']['erases']:.1f}")
        print("| " + " | ".join(cells) + " |")
    for role in ("entry", "planner"):
        for cost in ("cpu_percent", "memory_mb", "bytes_per_second"):
            points = [(row["size"][dimension] * scale, row["roles"][role][cost])
                      for row in readings]
            constant, rise = slope(points)
            print(f"- {role} {cost}: {constant:.3f} + {rise:.5f} each")
    sys.stdout.flush()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--net", type=int, default=20)
    parser.add_argument("--seconds", type=float,
                        default=float(os.environ.get("SECONDS_EACH", 15)))
    parser.add_argument("--only", nargs="*", choices=sorted(SIZES))
    parser.add_argument("--json", help="file for all readings")
    arguments = parser.parse_args()
    all_readings = {}
    for dimension in arguments.only or SIZES:
        readings = [measure(arguments.build, {**BASE, dimension: size},
                            arguments.seconds, arguments.net)
                    for size in SIZES[dimension]]
        show(dimension, readings)
        all_readings[dimension] = readings
    if arguments.json:
        with open(arguments.json, "w") as file:
            json.dump(all_readings, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
