"""Runs the whole system on loopback for the demo and the measurements. Every
process is a child of the script and is ended by its process id."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ENTRY_HTTP, ENTRY_PEER = 8080, 8081
PLANNER_HTTP, PLANNER_PEER = 8090, 8091
UPSTREAM_FIRST_PORT = 8601
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


def call(method, url, body=None, headers=None, timeout=5):
    """Returns the body of a 2xx response; raises OSError for all others."""
    request = urllib.request.Request(
        url, method=method, headers=headers or {},
        data=None if body is None else json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class System:
    def __init__(self, build, user="vanamudra", net=0, folder=None,
                 per_centre=3, upstreams=50, workers=50, contracts=3,
                 quiet=False):
        self.user_name = user
        self.user = USERS[user]
        self.build = pathlib.Path(build).resolve()
        self.folder = pathlib.Path(folder or tempfile.mkdtemp()).resolve()
        self.folder.mkdir(parents=True, exist_ok=True)
        self.net = net
        self.per_centre = per_centre
        self.upstreams = upstreams
        self.workers = workers
        self.customers = list(self.user["contracts"])
        self.customers += [f"customer-{number}" for number in
                           range(len(self.customers), contracts)]
        self.quiet = quiet
        self.direct = True
        self.entry_extra = ""  # Additional tables of the entries' settings.
        self.children = {}
        base = f"127.{net}.0.1"
        self.platform = f"{base}:8500"
        self.upstream_control = f"{base}:8600"
        self.worker_agent = f"{base}:8550"

    # Settings -------------------------------------------------------------

    def instances(self):
        for centre, name in enumerate(self.user["data_centres"], start=1):
            for number in range(1, self.per_centre + 1):
                yield name, number, f"127.{self.net}.{centre}.{number}"

    def entries(self):
        return [f"{a}:{ENTRY_HTTP}" for _, _, a in self.instances()]

    def planners(self):
        return [f"{a}:{PLANNER_HTTP}" for _, _, a in self.instances()]

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def append(self, name, text):
        with open(self.folder / name, "a") as file:
            file.write(text)

    def write_daemon(self, role, centre, number, http, peer, rest):
        self.write(f"{role}-{centre}-{number}.toml", f"""[self]
name = "{role}-{centre}-{number}"
data_centre = "{centre}"
http_listen = "{http}"
peer_listen = "{peer}"

[platform]
store = "{self.platform}"
{rest}
[security]
token_file = "{self.folder}/token"
allowed_addresses = ["127.0.0.0/8"]

[log]
level = "info"
""")

    def write_settings(self):
        self.write("token", "a shared token for the demo\n")
        self.write_platform()
        centres = json.dumps(self.user["data_centres"])
        address = self.platform.split(":")[0]
        self.write("upstreams.toml", f"""control = "{self.upstream_control}"

[platform]
address = "{self.platform}"

[executors]
address = "{address}"
first_port = {UPSTREAM_FIRST_PORT}
count = {self.upstreams}
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
        self.write("workers.toml", f"""listen = "{self.worker_agent}"

[platform]
address = "{self.platform}"

[workers]
count = {self.workers}
per_rack = 8
data_centres = {centres}
millicores = {worker["millicores"]}
memory_mb = {worker["memory_mb"]}
""")
        for centre, number, address in self.instances():
            self.write_daemon("entry", centre, number,
                              f"{address}:{ENTRY_HTTP}",
                              f"{address}:{ENTRY_PEER}", "")
            self.append(f"entry-{centre}-{number}.toml", self.entry_extra)
            self.write_daemon("planner", centre, number,
                              f"{address}:{PLANNER_HTTP}",
                              f"{address}:{PLANNER_PEER}",
                              f'workers = "{self.worker_agent}"\n')
        self.write("ctl.toml", f"planners = {json.dumps(self.planners())}\n"
                               f'token_file = "{self.folder}/token"\n')
        self.write("targets.toml", f"""[targets]
entries = {json.dumps(self.entries())}
planners = {json.dumps(self.planners())}
platform = "{self.platform}"
upstreams = "{self.upstream_control}"
workers = "{self.worker_agent}"
token_file = "{self.folder}/token"
""")

    def write_platform(self):
        probes = ""
        for centre, number, address in self.instances():
            for role, port in (("entry", ENTRY_HTTP), ("planner", PLANNER_HTTP)):
                probes += f"""[[probe]]
id = "{role}-{centre}-{number}"
name = "fuchsia-{role}"
address = "{address}:{port}"
data_centre = "{centre}"
"""
        self.write("platform.toml", f'listen = "{self.platform}"\n\n{probes}')

    # Processes ------------------------------------------------------------

    def start(self, name, program, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        self.children[name] = subprocess.Popen(
            [str(self.build / program), *arguments], stdout=log, stderr=log)

    def start_standin(self, name):
        self.start(name, "fuchsia-standin", name, "--settings",
                   str(self.folder / f"{name}.toml"))

    def start_daemon(self, name):
        role = name.split("-")[0]
        self.start(name, f"fuchsia-{role}", "--settings",
                   str(self.folder / f"{name}.toml"))

    def daemons(self, role=None, centre=None):
        return [f"{kind}-{name}-{number}"
                for name, number, _ in self.instances()
                for kind in ("entry", "planner")
                if role in (None, kind) and centre in (None, name)]

    def start_all(self):
        self.write_settings()
        for standin in ("platform", "upstreams", "workers"):
            self.start_standin(standin)
        self.wait_for(f"http://{self.platform}/control/counts")
        for name in self.daemons():
            self.start_daemon(name)
        for address in self.entries() + self.planners():
            self.wait_for(f"http://{address}/readyz")

    def wait_for(self, url):
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            self.check_children()
            with contextlib.suppress(OSError):
                call("GET", url, timeout=2)
                return
            time.sleep(0.05)
        raise SystemExit(f"not ready within {READY_SECONDS} s: {url}")

    def check_children(self, ignored=()):
        for name, child in self.children.items():
            if name not in ignored and child.poll() is not None:
                raise SystemExit(f"{name} ended early, status "
                                 f"{child.returncode}; see {self.folder}")

    def signal(self, name, number):
        self.children[name].send_signal(number)

    def kill(self, name):
        child = self.children.pop(name)
        child.kill()
        child.wait()

    def stop(self, names, timeout=60):
        """Stops the processes as planned, all at once. Returns whether each
        exited with status 0; one that takes longer than `timeout` seconds is
        killed."""
        for name in names:
            self.signal(name, signal.SIGTERM)
        clean = True
        for name in names:
            child = self.children.pop(name)
            try:
                status = child.wait(timeout)
            except subprocess.TimeoutExpired:
                child.kill()
                status = child.wait()
            if status != 0:
                clean = False
                print(f"{name} ended with status {status}")
        return clean

    def kill_all(self):
        for child in self.children.values():
            child.kill()
        for child in self.children.values():
            child.wait()

    # Operators ------------------------------------------------------------

    def ctl(self, *arguments):
        result = subprocess.run(
            [str(self.build / "fuchsiactl"), "--settings",
             str(self.folder / "ctl.toml"), *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        if not self.quiet:
            print("$ fuchsiactl", " ".join(arguments))
            print("  " + result.stdout.strip().replace("\n", "\n  "), flush=True)
        if result.returncode != 0:
            raise SystemExit(f"fuchsiactl ended with status {result.returncode}: "
                             f"{result.stdout}")

    def put_contracts(self):
        for customer in self.customers:
            path = self.write(f"contract-{customer}.json", json.dumps({
                "customer": customer,
                "millicores": 600000, "memory_mb": 2000000, "accelerators": 0,
                "requests_in_flight": 300, "requests_per_second": 2000,
                "batch_permille": 700, "latency_target_ms": 500,
                "batch_latency_target_ms": 10000}))
            self.ctl("contract", "put", path, "--wait")

    def take_out(self, centre):
        """Takes a data centre out. The workers' stand-in is notified after the
        change was accepted, because it counts late starts from then on."""
        self.ctl("data-centre", "out", centre)
        self.notify_workers(centre, "out")

    def take_in(self, centre):
        self.notify_workers(centre, "in")
        self.ctl("data-centre", "in", centre, "--wait")

    def notify_workers(self, centre, state):
        call("POST", f"http://{self.worker_agent}/control/data-centres/{centre}",
             {"state": state})

    def platform_faults(self, **faults):
        call("POST", f"http://{self.platform}/control/faults", faults)

    def store_counts(self):
        return json.loads(call("GET", f"http://{self.platform}/control/counts"))

    # Load -----------------------------------------------------------------

    def experiment(self, seconds, rate=60.0, jobs=True):
        """Writes the settings of the load. Without `self.direct` no request
        bypasses the entries: a direct request takes a slot that no entry knows
        of, and a frozen upstream counts that as overfilled."""
        traffic = ""
        for customer in self.user["contracts"]:
            for label, kind, method, share, deadline in (
                    ("read", "latency-critical", "GET", 1.0, 500),
                    ("write", "latency-critical", "POST", 1.0, 500),
                    ("report", "batch", "POST", 0.25, 5000)):
                traffic += f"""[[traffic]]
label = "{label}"
customer = "{customer}"
class = "{kind}"
method = "{method}"
path = "{self.user["path"]}/{{n}}"
rate = {rate * share}
deadline_ms = {deadline}
body_bytes = 128
key = {str(method == "POST").lower()}

"""
        if self.direct:
            traffic += f"""[[traffic]]
label = "direct"
customer = "{self.user["contracts"][0]}"
class = "latency-critical"
method = "GET"
path = "{self.user["path"]}/{{n}}"
rate = {rate}
deadline_ms = 2000
direct = true

"""
        work = ""
        if jobs:
            for number, name in enumerate(self.user["services"]):
                work += self.job(name, number, "service", 3, 0, 6)
            for number, name in enumerate(self.user["batch"]):
                work += self.job(name, number, "batch", 4, 8000, 40)
        return self.write("experiment.toml", f"""name = "{self.user_name}"
seed = 1

[retries]
tries = 3
honour_retry_after = true
unknown = true

[[phase]]
name = "mixed"
length_ms = {int(seconds * 1000)}

{traffic}{work}""")

    def job(self, name, number, kind, tasks, work, per_minute):
        customer = self.user["contracts"][number % len(self.user["contracts"])]
        return f"""[[job]]
label = "{name}"
customer = "{customer}"
kind = "{kind}"
class = "{name}"
millicores = 2000
memory_mb = 4000
tasks = {tasks}
work_ms = {work}
checkpointable = {str(kind == "batch").lower()}
per_minute = {per_minute}.0

"""

    def run_load(self, seconds, steps=(), rate=60.0, jobs=True, out=None):
        """Runs the load. `steps` is a list of (seconds after start, function)."""
        load = subprocess.Popen([
            str(self.build / "fuchsia-load"), "run",
            self.experiment(seconds, rate, jobs),
            "--targets", str(self.folder / "targets.toml"),
            "--summary", str(self.folder / "summary.json"),
            "--csv", str(self.folder / "load.csv"),
            "--svg", str(self.folder / "load.svg")], stdout=out)
        self.children["load"] = load
        steps = sorted(steps, key=lambda step: step[0])
        started = time.monotonic()
        while load.poll() is None:
            if steps and time.monotonic() - started >= steps[0][0]:
                steps.pop(0)[1]()
            self.check_children(ignored=("load",))
            time.sleep(0.05)
        del self.children["load"]

    def summary(self):
        """Returns the summary line and whether all violation counters are 0."""
        result = subprocess.run([
            str(self.build / "fuchsia-load"), "books",
            "--summary", str(self.folder / "summary.json"),
            "--upstreams", self.upstream_control,
            "--workers", self.worker_agent],
            stdout=subprocess.PIPE, text=True)
        return result.stdout.strip(), result.returncode == 0
