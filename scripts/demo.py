"""Runs the whole system on loopback and prints what came of it.

Called by scripts/demo, which builds first. Every process is a child of this
one and is ended by its process id.
"""

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

INSTANCES_PER_DATA_CENTRE = 3
ENTRY_HTTP, ENTRY_PEER = 8080, 8081
PLANNER_HTTP, PLANNER_PEER = 8090, 8091
PLATFORM = "127.0.0.1:8500"
UPSTREAM_CONTROL = "127.0.0.1:8600"
UPSTREAM_FIRST_PORT = 8601
WORKERS = "127.0.0.1:8700"
UPSTREAMS = 50
READY_SECONDS = 60

USERS = {
    "vanamudra": {
        "data_centres": ["kochi-a", "thrissur-b", "kottayam-c"],
        "worker": {"millicores": 64000, "memory_mb": 250000},
        "service_ms": 20.0,
        "path": "/lots",
        "contracts": ["estate-owners", "sawmill-buyers", "forest-cooperatives"],
        "services": ["bidding", "catalogue"],
        "batch": ["valuation", "settlement-report"],
    },
    "lanyu": {
        "data_centres": ["taoyuan-a", "xinzhuang-b", "keelung-c"],
        "worker": {"millicores": 16000, "memory_mb": 60000},
        "service_ms": 20.0,
        "path": "/orders",
        "contracts": ["web-shop", "partner-pharmacies", "corporate-gifts"],
        "services": ["order", "stock"],
        "batch": ["packing-run", "label-print"],
    },
}


class Demo:
    def __init__(self, arguments):
        self.arguments = arguments
        self.user = USERS[arguments.user]
        self.build = pathlib.Path(arguments.build).resolve()
        self.folder = pathlib.Path(arguments.keep or tempfile.mkdtemp()).resolve()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.children = {}

    # Settings -------------------------------------------------------------

    def instances(self):
        for centre, name in enumerate(self.user["data_centres"], start=1):
            for number in range(1, INSTANCES_PER_DATA_CENTRE + 1):
                yield name, number, f"127.0.{centre}.{number}"

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def daemon_settings(self, role, centre, number, address, http, peer, rest):
        return self.write(f"{role}-{centre}-{number}.toml", f"""[self]
name = "{role}-{centre}-{number}"
data_centre = "{centre}"
http_listen = "{address}:{http}"
peer_listen = "{address}:{peer}"

[platform]
store = "{PLATFORM}"
{rest}
[security]
token_file = "{self.folder}/token"
allowed_addresses = ["127.0.0.0/8"]

[log]
level = "info"
""")

    def write_settings(self):
        self.write("token", "a shared token for the demo\n")
        probes = ""
        for centre, number, address in self.instances():
            for role, port in (("entry", ENTRY_HTTP), ("planner", PLANNER_HTTP)):
                probes += f"""[[probe]]
id = "{role}-{centre}-{number}"
name = "fuchsia-{role}"
address = "{address}:{port}"
data_centre = "{centre}"
"""
        centres = json.dumps(self.user["data_centres"])
        self.write("platform.toml", f'listen = "{PLATFORM}"\n\n{probes}')
        self.write("upstreams.toml", f"""control = "{UPSTREAM_CONTROL}"

[platform]
address = "{PLATFORM}"

[executors]
address = "127.0.0.1"
first_port = {UPSTREAM_FIRST_PORT}
count = {UPSTREAMS}
slots = 8
connections = 60
data_centres = {centres}

[latency-critical]
median_ms = {self.user["service_ms"]}
sigma = 0.5
max_ms = 2000.0

[batch]
median_ms = 100.0
sigma = 0.8
max_ms = 10000.0
""")
        worker = self.user["worker"]
        self.write("workers.toml", f"""listen = "{WORKERS}"

[platform]
address = "{PLATFORM}"

[workers]
count = 50
per_rack = 8
data_centres = {centres}
millicores = {worker["millicores"]}
memory_mb = {worker["memory_mb"]}
""")
        for centre, number, address in self.instances():
            self.daemon_settings("entry", centre, number, address,
                                 ENTRY_HTTP, ENTRY_PEER, "")
            self.daemon_settings("planner", centre, number, address,
                                 PLANNER_HTTP, PLANNER_PEER,
                                 f'workers = "{WORKERS}"\n')
        planners = [f"{address}:{PLANNER_HTTP}"
                    for _, _, address in self.instances()]
        self.write("ctl.toml", f"""planners = {json.dumps(planners)}
token_file = "{self.folder}/token"
""")

    # Processes ------------------------------------------------------------

    def start(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.children[name] = subprocess.Popen(
            [str(self.build / program), *arguments], stdout=log, stderr=log)

    def start_all(self):
        for standin in ("platform", "upstreams", "workers"):
            self.start(standin, "fuchsia-standin", standin, "--settings",
                       str(self.folder / f"{standin}.toml"))
        self.wait_for(f"http://{PLATFORM}/control/counts")
        for centre, number, _ in self.instances():
            for role in ("entry", "planner"):
                name = f"{role}-{centre}-{number}"
                self.start(name, f"fuchsia-{role}", "--settings",
                           str(self.folder / f"{name}.toml"))
        for _, _, address in self.instances():
            self.wait_for(f"http://{address}:{ENTRY_HTTP}/readyz")
            self.wait_for(f"http://{address}:{PLANNER_HTTP}/readyz")

    def wait_for(self, url):
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            self.check_children()
            try:
                with urllib.request.urlopen(url, timeout=2):
                    return
            except (urllib.error.URLError, OSError):
                time.sleep(0.05)
        raise SystemExit(f"not ready within {READY_SECONDS} s: {url}")

    def check_children(self, but=None):
        for name, child in self.children.items():
            if name != but and child.poll() is not None:
                raise SystemExit(f"{name} ended early, status "
                                 f"{child.returncode}; see {self.folder}")

    def stop(self, names, patience=40):
        for name in names:
            self.children[name].send_signal(signal.SIGTERM)
        clean = True
        for name in names:
            child = self.children.pop(name)
            try:
                status = child.wait(patience)
            except subprocess.TimeoutExpired:
                child.kill()
                status = child.wait()
            if status != 0:
                clean = False
                print(f"{name} ended with status {status}")
        return clean

    # Operators ------------------------------------------------------------

    def ctl(self, *arguments):
        return subprocess.run(
            [str(self.build / "fuchsiactl"), "--settings",
             str(self.folder / "ctl.toml"), *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def put_contracts(self):
        for customer in self.user["contracts"]:
            contract = {
                "customer": customer,
                "millicores": 600000, "memory_mb": 2000000, "accelerators": 0,
                "requests_in_flight": 300, "requests_per_second": 2000,
                "batch_permille": 700, "latency_target_ms": 500,
                "batch_latency_target_ms": 10000,
            }
            path = self.write(f"contract-{customer}.json", json.dumps(contract))
            self.must("contract", "put", path, "--wait")

    def must(self, *arguments):
        done = self.ctl(*arguments)
        print("$ fuchsiactl", " ".join(arguments))
        print("  " + done.stdout.strip().replace("\n", "\n  "))
        if done.returncode != 0:
            raise SystemExit(f"fuchsiactl ended with status {done.returncode}")

    def tell_workers(self, centre, state):
        request = urllib.request.Request(
            f"http://{WORKERS}/control/data-centres/{centre}",
            data=json.dumps({"state": state}).encode(), method="POST")
        urllib.request.urlopen(request, timeout=5).read()

    # The run --------------------------------------------------------------

    def experiment(self):
        traffic = ""
        for customer in self.user["contracts"]:
            for label, kind, method, rate, deadline in (
                    ("read", "latency-critical", "GET", 60, 500),
                    ("write", "latency-critical", "POST", 60, 500),
                    ("report", "batch", "POST", 15, 5000)):
                traffic += f"""[[traffic]]
label = "{label}"
customer = "{customer}"
class = "{kind}"
method = "{method}"
path = "{self.user["path"]}/{{n}}"
rate = {rate}.0
deadline_ms = {deadline}
body_bytes = 128
key = {str(method == "POST").lower()}

"""
        traffic += f"""[[traffic]]
label = "direct"
customer = "{self.user["contracts"][0]}"
class = "latency-critical"
method = "GET"
path = "{self.user["path"]}/{{n}}"
rate = 60.0
deadline_ms = 2000
direct = true

"""
        jobs = ""
        for number, name in enumerate(self.user["services"]):
            jobs += self.job(name, number, "service", 2000, 4000, 3, 0, 6)
        for number, name in enumerate(self.user["batch"]):
            jobs += self.job(name, number, "batch", 2000, 4000, 4, 8000, 40)
        return self.write("experiment.toml", f"""name = "demo-{self.arguments.user}"
seed = 1

[retries]
tries = 3
honour_retry_after = true
unknown = true

[[phase]]
name = "mixed"
length_ms = {self.arguments.seconds * 1000}

{traffic}{jobs}""")

    def job(self, name, number, kind, millicores, memory, tasks, work, rate):
        customer = self.user["contracts"][number % len(self.user["contracts"])]
        return f"""[[job]]
label = "{name}"
customer = "{customer}"
kind = "{kind}"
class = "{name}"
millicores = {millicores}
memory_mb = {memory}
tasks = {tasks}
work_ms = {work}
checkpointable = {str(kind == "batch").lower()}
per_minute = {rate}.0

"""

    def targets(self):
        entries = [f"{a}:{ENTRY_HTTP}" for _, _, a in self.instances()]
        planners = [f"{a}:{PLANNER_HTTP}" for _, _, a in self.instances()]
        return self.write("targets.toml", f"""[targets]
entries = {json.dumps(entries)}
planners = {json.dumps(planners)}
platform = "{PLATFORM}"
upstreams = "{UPSTREAM_CONTROL}"
workers = "{WORKERS}"
token_file = "{self.folder}/token"
""")

    def take_out(self, centre):
        # The workers' stand-in starts its count of grace when it is told, so
        # it is told only once operators know that the change is accepted.
        self.must("data-centre", "out", centre)
        self.tell_workers(centre, "out")

    def take_in(self, centre):
        self.tell_workers(centre, "in")
        self.must("data-centre", "in", centre, "--wait")

    def run(self):
        self.write_settings()
        print(f"user={self.arguments.user} folder={self.folder}", flush=True)
        self.start_all()
        self.put_contracts()
        summary = self.folder / "summary.json"
        load = subprocess.Popen([
            str(self.build / "fuchsia-load"), "run", self.experiment(),
            "--targets", self.targets(), "--summary", str(summary),
            "--csv", str(self.folder / "load.csv"),
            "--svg", str(self.folder / "load.svg")])
        self.children["load"] = load
        centre = self.user["data_centres"][0]
        started = time.monotonic()
        steps = [(0.35, lambda: self.take_out(centre)),
                 (0.70, lambda: self.take_in(centre))]
        while load.poll() is None:
            passed = (time.monotonic() - started) / self.arguments.seconds
            if steps and passed >= steps[0][0]:
                steps.pop(0)[1]()
            self.check_children(but="load")
            time.sleep(0.1)
        del self.children["load"]
        self.must("data-centre", "list")
        daemons = [name for name in self.children
                   if name.startswith(("entry-", "planner-"))]
        clean = self.stop(daemons)
        books = subprocess.run([
            str(self.build / "fuchsia-load"), "books",
            "--summary", str(summary),
            "--upstreams", UPSTREAM_CONTROL, "--workers", WORKERS],
            stdout=subprocess.PIPE, text=True)
        self.stop(list(self.children))
        if not clean:
            print("a planned stop did not end with status 0")
        print(books.stdout.strip(), flush=True)
        return 0 if clean and books.returncode == 0 else 1


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--user", choices=sorted(USERS), default="vanamudra")
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--keep", help="folder for settings, logs and books")
    demo = Demo(parser.parse_args())
    try:
        return demo.run()
    finally:
        for child in demo.children.values():
            child.kill()


if __name__ == "__main__":
    sys.exit(main())
