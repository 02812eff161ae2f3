"""Stand-ins of the users' platform for the review's scripts: the store, the
executors, the operator and the clients, as PROTOCOL.md describes them, and the
start of the project's processes by the deploy file.

Everything runs on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "huvo11a"

# Bounds of the small site sites/lanyu-advent.toml.
BOUNDS = {
    "maxHoldMs": 6000, "graceS": 6, "status_s": 120, "impactMs": 4000,
    "visible_ms": 3000, "drainMs": 2000, "configApplyMs": 2000,
    "cancel_ms": 3000, "stopTimeoutMs": 400, "finish_s": 14,
}
HEARTBEAT_S = 1.5
HISTORY_S = 20
STORE_ANSWER_S = 0.004


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, what):
        self.file.write(f"{self.now():8.3f}  {who:<12} {what}\n")
        self.file.flush()


# --- HTTP/1.1 ---------------------------------------------------------------

SILENT = object()  # An answer that never comes, nor anything after it.


class HttpServer:
    """Serves one address. `handle(request)` returns (status, body) or SILENT."""

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, reuse_address=True)

    def kill(self):
        """What a killed process leaves: no listener and broken channels."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        channel = {"silent": False}
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                request["channel"] = channel
                answer = await self.handle(request)
                if answer is SILENT or channel["silent"]:
                    while await reader.read(65536):
                        pass
                    break
                status, body = answer
                text = json.dumps(body).encode() if body is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_request(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = dict(
        (line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip())
        for line in lines[1:] if ":" in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    return {"method": method, "path": path, "headers": headers,
            "query": dict(urllib.parse.parse_qsl(query)),
            "body": json.loads(body) if body else {}}


async def call(address, method, path, headers, body=None, timeout=3.0):
    """One call on a channel of its own. Returns (status, body), or None."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(text)}",
                      "Content-Type: application/json", "", ""]
            writer.write("\r\n".join(lines).encode() + text)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            status = int(head.split(" ")[1])
            length = re.search(r"(?i)content-length: *(\d+)", head)
            data = await reader.readexactly(int(length[1]) if length else 0)
            try:
                return status, json.loads(data) if data else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


# --- The store --------------------------------------------------------------

class Store:
    """The platform's store. Each machine reaches it at an address of its own,
    so that the stand-in can tell the machines apart."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []  # (time, event)
        self.forgotten = 0
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.conditional_writes = {}  # By machine: time of the last one.
        self.watches = {}  # (machine, prefix): (channel, start) of the last one.
        self.servers = []

    async def listen(self, address, machine):
        server = HttpServer(
            address, lambda request: self.answer(machine, request))
        await server.start()
        self.servers.append(server)

    # State.

    def note(self, event):
        self.history.append((time.monotonic(), event))
        while self.history[0][0] < time.monotonic() - HISTORY_S:
            self.forgotten = self.history.pop(0)[1]["revision"]

    def commit(self, puts, removes):
        self.revision += 1
        for put in puts:
            old = self.items.get(put["key"])
            item = {"key": put["key"], "value": put["value"],
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "leaseId": put.get("leaseId", 0)}
            self.items[put["key"]] = item
            self.note(item)
        for key in removes:
            if self.items.pop(key, None):
                self.note({"key": key, "revision": self.revision,
                           "deleted": True})
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key, value):
        """A write of the operator or of an executor."""
        text = json.dumps(value).encode()
        return self.commit(
            [{"key": key, "value": base64.b64encode(text).decode()}], [])

    def remove(self, key):
        if key in self.items:
            self.commit([], [key])

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            keys = [key for key, item in self.items.items()
                    if item["leaseId"] == lease]
            if keys:
                self.commit([], keys)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, entry in list(self.leases.items()):
                if entry["until"] <= time.monotonic():
                    self.end_lease(lease)

    # Calls.

    async def answer(self, machine, request):
        path = request["path"]
        if path == "/v1/kv-watch":
            return await self.watch(machine, request)
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/v1/kv-key":
            item = self.items.get(request["query"]["key"])
            if item is None:
                return 404, {"atRevision": self.revision}
            return 200, {**item, "atRevision": self.revision}
        if path == "/v1/kv-range":
            return 200, self.page(request["query"])
        if path == "/v1/kv-txn":
            return self.transact(machine, request["body"])
        if path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(request["body"]["ttlMs"], 1000)
            self.leases[lease] = {"ttl": ttl / 1000,
                                  "until": time.monotonic() + ttl / 1000}
            return 200, {"leaseId": lease, "ttlMs": ttl}
        number = int(path.rsplit("/", 1)[1]) if path[-1].isdigit() else 0
        if path.startswith("/v1/kv-keep/"):
            entry = self.leases.get(number)
            if entry is None:
                return 404, {}
            entry["until"] = time.monotonic() + entry["ttl"]
            return 200, {"leaseId": number}
        if path.startswith("/v1/kv-lease-end/"):
            if number not in self.leases:
                return 404, {}
            self.end_lease(number)
            return 200, {}
        return 400, {}

    def page(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query["prefix"])
                      and key > query.get("after", ""))
        return {"items": [self.items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500, "atRevision": self.revision}

    def transact(self, machine, body):
        for condition in body.get("expectedRev", []):
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                present = [self.items.get(row["key"],
                                          {"key": row["key"], "revision": 0})
                           for row in body["expectedRev"]]
                return 412, {"items": present, "atRevision": self.revision}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("leaseId", 0) and put["leaseId"] not in self.leases:
                return 404, {}
        if body.get("expectedRev"):
            self.conditional_writes[machine] = time.monotonic()
        return 200, {"revision": self.commit(body.get("puts", []),
                                             body.get("remove", []))}

    async def watch(self, machine, request):
        query = request["query"]
        prefix, after = query["prefix"], int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        self.watches[(machine, prefix)] = (request["channel"],
                                           time.monotonic())
        await asyncio.sleep(STORE_ANSWER_S)
        while True:
            if after < self.forgotten:
                return 410, {"atRevision": self.revision}
            events = [event for _, event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def leader(self):
        """The machine that last wrote under a condition."""
        return max(self.conditional_writes, key=self.conditional_writes.get)


# --- Executors --------------------------------------------------------------

class Executor:
    """One executor; `kill` and `boot` end a life of it and begin the next."""

    def __init__(self, world, number, address, zone, rack, cpu=16000):
        self.world = world
        self.id = f"i-{number:08x}"
        self.address = address
        self.zone, self.rack, self.cpu = zone, rack, cpu
        self.up = False
        self.last_hold = 0.0
        self.boots = 0

    def name(self):
        return f"{self.id[-4:]}/boot{self.boots}"

    async def boot(self, as_new=False):
        """Starts under the id that it had, or as a new executor."""
        self.boots += 1
        if as_new:
            self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.start = time.monotonic()
        self.fence = 0
        self.until = 0
        self.sequence = 0
        self.seq = 0
        self.running = {}
        self.ended = []
        self.highest_ended = {}
        self.ending = asyncio.Event()
        self.server = HttpServer(self.address, self.handle)
        await self.server.start()
        self.up = True
        self.world.record.write(
            "executor", f"{self.name()} starts, born {self.born}")
        self.beat()

    def kill(self):
        self.up = False
        self.server.kill()
        for task in self.running:
            self.world.on_lost(self, task)
        self.running = {}
        self.world.record.write("executor", f"{self.name()} is killed")
        # Its entry is removed after three heartbeat intervals of silence.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.forget, self.id, self.born)

    def forget(self, name, born):
        if not (self.up and self.id == name) and self.born >= born:
            self.world.store.remove("servers/" + name)

    def beat(self):
        self.seq += 1
        self.next_beat = time.monotonic() + HEARTBEAT_S
        self.world.store.put("servers/" + self.id, {
            "service": SERVICE,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 62500, "gpu": 0},
            "labels": ["a", self.rack], "clockMs": self.clock(),
            "seq": self.seq, "born": self.born})

    def clock(self):
        return 1000 + int((time.monotonic() - self.start) * 1000)

    def tick(self):
        if not self.up:
            return
        now = time.monotonic()
        if now >= self.next_beat:
            self.beat()
        lapsed = self.clock() >= self.until
        for task, run in list(self.running.items()):
            if now >= run["done_at"]:
                self.end(task, "done")
            elif now >= run["stop_at"]:
                self.end(task, "stopped")
            elif lapsed:
                self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.sequence += 1
        self.ended.append([self.sequence, task, run["attempt"], how, ""])
        self.highest_ended[task] = max(self.highest_ended.get(task, 0),
                                       run["attempt"])
        self.world.on_end(self, task, run["attempt"], how)
        ending, self.ending = self.ending, asyncio.Event()
        ending.set()

    async def handle(self, request):
        target = request["headers"].get("fuchsialanding-target-instance")
        if target is not None and target != self.id:
            return 421, {"born": self.born}
        body = request["body"]
        if body.get("fenceToken", 0) < self.fence:
            return self.reply(409, reason="fence")
        self.fence = body.get("fenceToken", 0)
        if request["path"] == "/v1/hold":
            return await self.hold(body)
        if request["path"] == "/v1/run-start":
            return self.run_start(body)
        if request["path"] == "/v1/run-stop":
            return self.run_stop(body)
        if request["path"] == "/v1/pace":
            return self.reply(200)
        return self.reply(400)

    def reply(self, status, **fields):
        return status, {"clockMs": self.clock(), "born": self.born, **fields}

    def extend(self, until):
        limit = self.clock() + BOUNDS["maxHoldMs"]
        self.until = max(self.until, min(until, limit))

    async def hold(self, body):
        self.last_hold = time.monotonic()
        self.extend(body.get("untilMs", 0))
        seen = body.get("lastSeen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.world.on_seen(end)
        self.ended = [end for end in self.ended if end[0] > seen]
        if body.get("waitMs", 0) and not self.ended:
            try:
                await asyncio.wait_for(self.ending.wait(),
                                       body["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.last_hold = time.monotonic()
        running = [[task, run["attempt"], "", self.percent(run), 0]
                   for task, run in self.running.items()]
        return self.reply(200, running=running, ended=self.ended[:500])

    def percent(self, run):
        share = (time.monotonic() - run["start"]) / run["work"]
        return min(99, int(100 * share))

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        present = self.running.get(task)
        if present and present["attempt"] == attempt:
            return self.reply(200)
        if present or self.highest_ended.get(task, 0) >= attempt:
            self.extend(body["untilMs"])
            return self.reply(409, reason="old")
        if body["untilMs"] <= self.clock():
            return self.reply(409, reason="late")
        self.extend(body["untilMs"])
        used = sum(self.world.cpu_of(other) for other in self.running)
        if used + self.world.cpu_of(task) > self.cpu:
            return self.reply(409, reason="room")
        now = time.monotonic()
        work = int(re.search(r"work=(\d+)", body["taskSpec"])[1]) / 1000
        self.running[task] = {"attempt": attempt, "start": now, "work": work,
                              "done_at": now + work, "stop_at": float("inf")}
        self.world.on_start(self, task, attempt)
        return self.reply(200)

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        self.world.record.write(
            "executor", f"{self.name()} is told to stop {task} run {attempt}")
        run = self.running.get(task)
        if run and run["attempt"] <= attempt:
            run["stop_at"] = min(run["stop_at"], time.monotonic()
                                 + self.world.stop_s)
        else:
            self.highest_ended[task] = max(self.highest_ended.get(task, 0),
                                           attempt)
        return self.reply(200)


# --- The installation -------------------------------------------------------

def free_address(number):
    """Returns a loopback address whose metrics port, which the project's
    template fixes, is free."""
    while True:
        ip = f"127.0.{random.randint(1, 254)}.{10 + number}"
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
                return ip
            except OSError:
                continue


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class World:
    """A small installation: store, executors, operator, clients and the
    project's processes, one on each machine."""

    def __init__(self, folder):
        self.record = Record(folder / "record.txt")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.executors = []
        self.machines = []  # {name, frontend, readiness, process}
        self.submissions = {}
        self.breaks = []
        self.runs = {}  # task: list of [attempt, executor, how]
        # A stop takes at most stopTimeoutMs.
        self.stop_s = 0.75 * BOUNDS["stopTimeoutMs"] / 1000
        self.deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text())["roles"]["pool"]

    # What executors see.

    def cpu_of(self, task):
        name, _, step, _ = task.split(".")
        steps = self.submissions.get(name, [])
        return steps[int(step)]["cpu"] if int(step) < len(steps) else 0

    def on_start(self, executor, task, attempt):
        others = [other for other in self.executors
                  if other is not executor and other.up
                  and task in other.running]
        self.record.write(
            "run", f"{task} run {attempt} starts on {executor.name()}")
        self.runs.setdefault(task, []).append([attempt, executor.name(), ""])
        for other in others:
            run = other.running[task]
            self.broken("TWICE", f"{task}: run {attempt} starts on "
                        f"{executor.name()} while run {run['attempt']} is at "
                        f"work on {other.name()}")

    def on_end(self, executor, task, attempt, how):
        self.record.write(
            "run", f"{task} run {attempt} ends {how} on {executor.name()}")
        for run in self.runs[task]:
            if run[:2] == [attempt, executor.name()]:
                run[2] = how

    def on_lost(self, executor, task):
        self.record.write(
            "run", f"{task} is gone with {executor.name()}")

    def on_seen(self, end):
        self.record.write("executor", f"end taken note of: {end}")

    def broken(self, rule, text):
        self.breaks.append(rule)
        self.record.write("BROKEN", f"{rule}: {text}")

    # The operator.

    def configure(self, version, prefixes):
        """Writes the manifest with one route for each prefix."""
        routes = [{"name": "r-" + prefix.strip("/"), "host": "nony24.example",
                   "prefix": prefix, "type": "non_idempotent",
                   "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 0,
                   "service": SERVICE, "attempts": 2, "stretch": 2.0}
                  for prefix in prefixes]
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health",
                          "maxConns": 64, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0,
                          "enforcesCapacity": True, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record.write("operator",
                          f"manifest {version} acknowledged: {prefixes}")

    # Clients.

    async def client(self, machine, method, path, body=None):
        answer = await call(
            machine["frontend"], method, path,
            {"Host": "nony24.example", "Fuchsialanding-Deadline-Ms": "3000"},
            body)
        sent = f" {json.dumps(body)}" if body else ""
        self.record.write("client", f"{method} {path} to {machine['name']}"
                          f"{sent}: {answer if answer else 'no answer'}")
        return answer

    async def submit(self, prefix, steps, spec, machines, attempts=5):
        """Hands a submission in, at other machines again after no answer, a
        502, a 504 or a refusal. Returns its id, or None if never accepted."""
        name = f"{random.getrandbits(64):016x}"
        self.submissions[name] = steps
        body = {"taskSpec": spec, "steps": steps}
        for number in range(attempts):
            answer = await self.client(machines[number % len(machines)],
                                       "POST", prefix + name, body)
            if answer and 200 <= answer[0] < 300:
                return name
            await asyncio.sleep(0.2)
        return None

    async def state(self, prefix, name, machine):
        answer = await self.client(machine, "GET", prefix + name)
        return answer[1].get("state") if answer and answer[0] == 200 else None

    async def wait_completed(self, prefix, name, machine, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self.state(prefix, name, machine) == "completed":
                return True
            await asyncio.sleep(0.5)
        return False

    # Machines of the system.

    async def add_machine(self, number, zone):
        ip = free_address(number)
        store_address = ("127.0.0.1", free_port("127.0.0.1"))
        name = f"edge-{zone}-{number}"
        await self.store.listen(store_address, name)
        machine = {"name": name, "zone": zone,
                   "frontend": (ip, free_port(ip)),
                   "readiness": (ip, free_port(ip))}
        values = {
            "nodeName": name, "zone": zone, "ip": ip, "advice": "127.0.0.1:9",
            "listen.frontend": "%s:%d" % machine["frontend"],
            "listen.readiness": "%s:%d" % machine["readiness"],
            "platform.address": "%s:%d" % store_address,
            "platform.minTtlMs": 1000, "platform.historyS": HISTORY_S,
            "limits.cpuShare": 0.1, "limits.linkMbps": 1000.0,
            **{"bounds." + key: value for key, value in BOUNDS.items()}}
        template = (REPOSITORY / self.deploy["template"]).read_text()
        settings = re.sub(r"{{([\w.]+)}}",
                          lambda match: str(values[match[1]]), template)
        path = self.temporary / f"{name}.toml"
        path.write_text(settings)
        machine["settings"] = path
        machine["log"] = open(self.temporary / f"{name}.log", "wb")
        self.start_process(machine)
        self.machines.append(machine)

    def start_process(self, machine):
        """Starts the machine's process as the deploy file says."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["FUCHSIALANDING_SETTINGS"] = str(machine["settings"])
        machine["process"] = subprocess.Popen(
            self.deploy["run"].split(" "), cwd=REPOSITORY, env=environment,
            stdout=machine["log"], stderr=subprocess.STDOUT)
        self.record.write("machine", f"{machine['name']} starts")

    def kill_process(self, machine):
        machine["process"].kill()
        machine["process"].wait()
        self.record.write("machine", f"{machine['name']} is killed")

    async def start(self, machines, executors, cpu=16000):
        self.background = [
            asyncio.create_task(self.store.expire_leases()),
            asyncio.create_task(self.run_executors())]
        for number in range(executors):
            address = ("127.0.0.1", free_port("127.0.0.1"))
            executor = Executor(self, number + 1, address,
                                "abc"[number % 3], f"r{number}", cpu)
            await executor.boot()
            self.executors.append(executor)
        for number in range(machines):
            await self.add_machine(number, "abc"[number % 3])
        deadline = time.monotonic() + 15
        for machine in self.machines:
            while True:
                answer = await call(machine["readiness"], "GET", "/v1/ready",
                                    {"Host": "ready"}, timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine['name']} isn't ready")
                await asyncio.sleep(0.2)
        # Until every executor has been asked by the system.
        while any(executor.last_hold == 0 for executor in self.executors):
            if time.monotonic() > deadline:
                raise CannotRun("the system doesn't ask the executors")
            await asyncio.sleep(0.1)

    async def run_executors(self):
        while True:
            await asyncio.sleep(0.01)
            for executor in self.executors:
                executor.tick()

    def leader(self):
        """Returns the machine that last wrote under a condition."""
        name = self.store.leader()
        return next(m for m in self.machines if m["name"] == name)

    def close(self, keep_logs):
        for machine in self.machines:
            process = machine["process"]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            machine["log"].close()
        for task in getattr(self, "background", []):
            task.cancel()
        if keep_logs:
            shutil.copytree(self.temporary, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


class CannotRun(Exception):
    """The case couldn't be played; nothing is shown."""


def run_case(folder, play):
    """Plays a case and returns the exit status: 1 if a rule was broken, 0 if
    it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)

    async def limited():
        await asyncio.wait_for(play(world, trouble), 115)

    def on_signal(number, _):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, on_signal)
    status = 2
    try:
        asyncio.run(limited())
        status = 1 if world.breaks else 0
    except BaseException as error:  # Also an error of the stand-in itself.
        world.record.write("case", f"couldn't run: {error!r}")
    finally:
        world.close(os.environ.get("KEEP_LOGS"))
    world.record.write("case", f"trouble {int(trouble)}, broken "
                       f"{world.breaks}, exit {status}")
    print(f"trouble {int(trouble)}: broken {world.breaks}, exit {status}")
    return status
