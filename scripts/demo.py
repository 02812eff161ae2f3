"""Runs the whole system on loopback and prints the results.

Called by scripts/demo, which builds first.
"""

import argparse
import sys

from system import System, USERS


def run(arguments):
    system = System(arguments.build, arguments.user, arguments.net,
                    arguments.keep)
    print(f"user={arguments.user} folder={system.folder}", flush=True)
    try:
        system.start_all()
        system.put_contracts()
        centre = system.user["data_centres"][0]
        system.run_load(arguments.seconds, [
            (arguments.seconds * 0.35, lambda: system.take_out(centre)),
            (arguments.seconds * 0.70, lambda: system.take_in(centre))])
        system.ctl("data-centre", "list")
        clean = system.stop(system.daemons())
        line, is_clean = system.summary()
        system.stop(list(system.children))
        if not clean:
            print("a planned stop did not end with status 0")
        print(line, flush=True)
        return 0 if clean and is_clean else 1
    finally:
        system.kill_all()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--user", choices=sorted(USERS), default="vanamudra")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--net", type=int, default=0,
                        help="second octet of the loopback addresses")
    parser.add_argument("--keep", help="folder for settings, logs and results")
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
