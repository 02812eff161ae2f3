"""Runs one file of experiments/ against the whole system, once per variant.

Called by scripts/run-experiment. A variant is NAME=TABLE.KEY=VALUE and
sets one key of the entries' settings, such as fixed=queue.admission=\"fixed_bound\".
"""

import argparse
import subprocess
import sys
import time

from system import System

SETTLE_SECONDS = 8


def run_variant(arguments, name, setting):
    system = System(arguments.build, arguments.user, arguments.net,
                    f"{arguments.folder}/{name}", quiet=True)
    if setting:
        path, value = setting.split("=", 1)
        table, key = path.split(".", 1)
        system.entry_extra = f"\n[{table}]\n{key} = {value}\n"
    try:
        system.start_all()
        time.sleep(SETTLE_SECONDS)
        print(f"== {name} {setting}", flush=True)
        subprocess.run([
            str(system.build / "fuchsia-load"), "run", arguments.experiment,
            "--targets", str(system.folder / "targets.toml"),
            "--summary", str(system.folder / "summary.json"),
            "--csv", str(system.folder / "load.csv"),
            "--svg", str(system.folder / "load.svg")], check=True)
        line, is_clean = system.summary()
        print(line, flush=True)
        return is_clean
    finally:
        system.kill_all()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("experiment")
    parser.add_argument("--build", required=True)
    parser.add_argument("--user", default="vanamudra")
    parser.add_argument("--net", type=int, default=100)
    parser.add_argument("--folder", default="out/experiment")
    parser.add_argument("--variant", action="append", default=[])
    arguments = parser.parse_args()
    is_clean = run_variant(arguments, "as-shipped", "")
    for variant in arguments.variant:
        name, setting = variant.split("=", 1)
        is_clean = run_variant(arguments, name, setting) and is_clean
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
