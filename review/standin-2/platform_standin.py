"""Stand-ins for the platform: its store, its executors, an operator and clients.

All of them live in one process and speak HTTP/1.1 on loopback addresses, as
PROTOCOL.md describes it. The instances of fuchsia-pool are separate processes,
started with the command and the template of the deploy file. Nothing here
knows the scheduler's keys or decisions.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Limits of the protocol.
MAX_ENDS_LISTED = 500
MAX_RANGE_ITEMS = 500
MAX_TXN_ENTRIES = 32
MAX_HOLD_WAIT_MS = 2000

# Figures of a small installation (vanamudra-bids).
BOUNDS = {
    "stableWindowMs": 3000, "drainMs": 2000, "graceS": 6,
    "configApplyMs": 2000, "maxHoldMs": 10000, "stopTimeoutMs": 200,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
    "impactMs": 4000,
}
HEARTBEAT_S = 1.5
# A stop takes at most `stopTimeoutMs`, 200 ms.
STOP_S = 0.15
GANG_TIMEOUT_S = 3.0
STORE_DELAY_S = 0.004
MIN_TTL_MS = 1000
HISTORY_S = 20


class Record:
    """What was sent, answered and run, in the order of its time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpServer:
    """Serves `handle(method, target, headers, body)`.

    The handler returns a status and an object; None closes the channel
    without an answer.
    """

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()

    async def open(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None or writer.is_closing():
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the port and resets every channel."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store; revisions, transactions, leases, watches.

    While it is down, every call is answered 503 (the variant `busy`), pending
    watches are cut and leases pause.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.dropped = 0  # Revision of the last change that was forgotten.
        self.leases = {}
        self.last_lease = 100
        self.down = False
        self.down_since = 0.0
        self.changed = asyncio.Event()
        self.server = None

    async def open(self, address):
        self.server = HttpServer(address, self.handle)
        await self.server.open()

    def set_down(self, down):
        if down == self.down:
            return
        self.down = down
        now = time.monotonic()
        if down:
            self.down_since = now
        else:
            for lease in self.leases.values():
                lease["until"] += now - self.down_since
        self.record.write(f"store {'down: 503' if down else 'up'}")
        self.wake()

    def wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def note(self, item):
        self.history.append((time.monotonic(), item))
        horizon = time.monotonic() - HISTORY_S
        while self.history and self.history[0][0] < horizon:
            self.dropped = self.history.pop(0)[1]["revision"]

    def put(self, key, value, lease=0):
        """Writes a key as the operator or an executor does."""
        self.revision += 1
        self.put_at(key, base64.b64encode(value.encode()).decode(), lease)
        self.wake()

    def put_at(self, key, value, lease):
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "leaseId": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.remove_at(key)
            self.wake()

    def remove_at(self, key):
        if self.items.pop(key, None) is not None:
            self.note({"key": key, "revision": self.revision,
                       "deleted": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["leaseId"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove_at(key)
            self.wake()

    async def run(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if not self.down:
                for lease, state in list(self.leases.items()):
                    if state["until"] <= now:
                        self.end_lease(lease)

    async def handle(self, method, target, _headers, body):
        await asyncio.sleep(STORE_DELAY_S)
        if self.down:
            return 503, {}
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        values = json.loads(body) if body else {}
        path = parts.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"atRevision": self.revision}
            return 200, dict(item, atRevision=self.revision)
        if path == "/v1/kv-range":
            return self.range(query)
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.commit(values)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(int(values["ttlMs"]), MIN_TTL_MS)
            self.leases[self.last_lease] = {
                "ttl": ttl / 1000, "until": time.monotonic() + ttl / 1000}
            return 200, {"leaseId": self.last_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/v1/kv-keep/"):
            state = self.leases.get(lease)
            if state is None:
                return 404, {}
            state["until"] = time.monotonic() + state["ttl"]
            return 200, {}
        if path.startswith("/v1/kv-lease-end/"):
            known = lease in self.leases
            self.end_lease(lease)
            return (200 if known else 404), {}
        return 400, {}

    def range(self, query):
        after = query.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(query["prefix"]) and k > after)
        page = keys[:MAX_RANGE_ITEMS]
        return 200, {"items": [self.items[k] for k in page],
                     "hasMore": len(keys) > len(page),
                     "atRevision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.down:
                return None
            if after < self.dropped:
                return 410, {}
            events = [i for _, i in self.history
                      if i["revision"] > after
                      and i["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRevision": self.revision}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, values):
        expected = values.get("expectedRev", [])
        puts = values.get("puts", [])
        removed = values.get("remove", [])
        if len(expected) + len(puts) + len(removed) > MAX_TXN_ENTRIES:
            return 400, {}
        keys = [p["key"] for p in puts] + list(removed)
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                shown = [i if i else {"key": k, "revision": 0}
                         for k, i in current.items()]
                return 412, {"items": shown, "atRevision": self.revision}
        for put in puts:
            if put.get("leaseId", 0) and put["leaseId"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in puts:
            self.put_at(put["key"], put["value"], put.get("leaseId", 0))
        for key in removed:
            self.remove_at(key)
        self.wake()
        return 200, {"revision": self.revision}


class Run:
    """One attempt of a task on an executor.

    A member of a gang begins its work once all members are present.
    """

    def __init__(self, task, order):
        spec = order["taskSpec"]
        work = re.search(r"work=(\d+)", spec)
        gang = re.search(r"gang=(\d+)", spec)
        self.attempt = order["attempt"]
        self.work_s = int(work.group(1)) / 1000 if work else None
        self.size = task_size(spec)
        self.saved = order.get("checkpoint", "")
        self.came = time.monotonic()
        self.begun = self.came
        self.stops_at = None
        self.gang = None
        self.members = int(gang.group(1)) if gang else 1
        if gang:
            self.gang = (task.rsplit(".", 1)[0], self.attempt)
            self.begun = None

    def worked_s(self):
        return time.monotonic() - self.begun if self.begun else 0.0


class Executor:
    """One executor. Its tasks take `work=MS` of their taskSpec, or last.

    `crash` ends a life without a word; `boot` begins the next one under the
    same id. A life that is over keeps nothing.
    """

    def __init__(self, record, store, name, address, service, capacity,
                 labels, events, gangs):
        self.record = record
        self.store = store
        self.name = name
        self.address = address
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.events = events
        self.gangs = gangs
        self.server = None
        self.up = False
        self.seq = 0

    async def boot(self):
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.lapsed = True
        self.running = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.ended_changed = asyncio.Event()
        self.seq = 0
        self.dark = False
        self.server = HttpServer(self.address, self.handle)
        await self.server.open()
        self.up = True
        self.record.write(f"{self.name} boot born={self.born_ms}")
        self.beat()

    def crash(self):
        self.up = False
        running = [f"{t}#{r.attempt}" for t, r in self.running.items()]
        self.record.write(f"{self.name} crash, ran {' '.join(running) or '-'}")
        self.server.close()
        for task, run in self.running.items():
            self.events.append((self.record.now(), "crash", self.name, task,
                                run.attempt))
        self.running = {}
        event, self.ended_changed = self.ended_changed, asyncio.Event()
        event.set()

    def go_dark(self):
        """Loses power: what is sent to it from now on isn't read."""
        self.dark = True
        self.record.write(f"{self.name} goes dark")

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.born) * 1000)

    def beat(self):
        if self.store.down:
            return
        self.seq += 1
        entry = {"service": self.service,
                 "address": "%s:%d" % self.address, "zone": "kochi-a",
                 "version": "v1", "slots": 8, "state": "ready",
                 "coldRemainingMs": 0, "capacity": self.capacity,
                 "labels": self.labels, "clockMs": self.clock_ms(),
                 "born": self.born_ms, "seq": self.seq}
        self.store.put("servers/" + self.name, json.dumps(entry))

    async def run(self):
        next_beat = 0.0
        silent_since = None
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.up and not self.dark:
                silent_since = None
                self.advance()
                if now >= next_beat:
                    next_beat = now + HEARTBEAT_S
                    self.beat()
                continue
            silent_since = silent_since or now
            if now - silent_since > 3 * HEARTBEAT_S and not self.store.down:
                self.store.remove("servers/" + self.name)

    def advance(self):
        now = time.monotonic()
        lapsed = self.clock_ms() >= self.lease_until
        if lapsed and not self.lapsed:
            self.events.append((self.record.now(), "lapse", self.name))
        self.lapsed = lapsed
        for task, run in list(self.running.items()):
            if run.work_s is not None and run.begun \
                    and run.worked_s() >= run.work_s:
                self.end(task, "done")
            elif run.stops_at is not None and now >= run.stops_at:
                self.end(task, "broken" if run.gang else "stopped")
            elif lapsed:
                self.end(task, "lapsed")
            elif run.begun is None and now - run.came >= GANG_TIMEOUT_S:
                self.end(task, "alone")

    def end(self, task, how):
        run = self.running.pop(task)
        if run.gang and how != "done":
            self.end_gang(run.gang)
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.last_end += 1
        self.ended.append([self.last_end, task, run.attempt, how, run.saved])
        self.events.append((self.record.now(), how, self.name, task,
                            run.attempt))
        self.record.write(
            f"{self.name} end N={self.last_end} {task}#{run.attempt} {how}")
        event, self.ended_changed = self.ended_changed, asyncio.Event()
        event.set()

    def extend(self, until_ms):
        longest = self.clock_ms() + BOUNDS["maxHoldMs"]
        self.lease_until = max(self.lease_until, min(until_ms, longest))

    def answer(self, status, **fields):
        return status, dict(fields, clockMs=self.clock_ms(),
                            born=self.born_ms)

    async def handle(self, method, target, headers, body):
        life = self.born
        while self.dark and self.up and life == self.born:
            await asyncio.sleep(0.01)
        if not self.up or life != self.born:
            return None
        if method == "GET":
            return self.answer(200)
        wanted = headers.get("fuchsialanding-target-instance", self.name)
        if wanted != self.name:
            return self.answer(421)
        order = json.loads(body)
        token = order.get("fenceToken", 0)
        self.advance()
        if token < self.fence:
            return self.answer(409, reason="fence")
        self.fence = token
        if target == "/v1/run-start":
            return self.start(order)
        if target == "/v1/run-stop":
            return self.stop(order)
        if target == "/v1/hold":
            return await self.hold(order)
        if target == "/v1/pace":
            return self.answer(200)
        return self.answer(400)

    def start(self, order):
        task, attempt = order["task"], order["attempt"]
        present = self.running.get(task)
        if present and present.attempt == attempt:
            self.extend(order["untilMs"])
            return self.answer(200)
        if present or attempt <= self.highest.get(task, 0):
            self.extend(order["untilMs"])
            return self.answer(409, reason="old")
        if order["untilMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(order["untilMs"])
        size = task_size(order["taskSpec"])
        used = {"cpu": size["cpu"], "memMb": size["memMb"]}
        for run in self.running.values():
            used["cpu"] += run.size["cpu"]
            used["memMb"] += run.size["memMb"]
        if used["cpu"] > self.capacity["cpu"] \
                or used["memMb"] > self.capacity["memMb"]:
            return self.answer(409, reason="room")
        run = Run(task, order)
        self.running[task] = run
        if run.gang:
            self.join_gang(run)
        self.events.append((self.record.now(), "start", self.name, task,
                            attempt))
        self.record.write(f"{self.name} start {task}#{attempt}")
        return self.answer(200)

    def join_gang(self, run):
        members = self.gangs.setdefault(run.gang, [])
        members.append(run)
        if len(members) == run.members:
            for member in members:
                member.begun = time.monotonic()

    def end_gang(self, gang):
        """Breaks the gang of a member that has ended without being done."""
        for member in self.gangs.get(gang, []):
            member.stops_at = member.stops_at or time.monotonic()

    def stop(self, order):
        task, attempt = order["task"], order["attempt"]
        present = self.running.get(task)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if present and present.attempt <= attempt \
                and present.stops_at is None:
            self.record.write(f"{self.name} told to stop {task}#{attempt}")
            present.stops_at = time.monotonic() + STOP_S
        return self.answer(200)

    async def hold(self, order):
        life = self.born
        seen = order.get("lastSeen", 0)
        taken = [row for row in self.ended if row[0] <= seen]
        for row in taken:
            self.events.append((self.record.now(), "noted", self.name,
                                row[1], row[2], row[3]))
        if taken:
            self.record.write(f"{self.name} lastSeen={seen}")
        self.ended = [row for row in self.ended if row[0] > seen]
        self.extend(order.get("untilMs", 0))
        wait = min(order.get("waitMs", 0), MAX_HOLD_WAIT_MS) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.ended_changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
            if not self.up or life != self.born:
                return None
        self.advance()
        rows = []
        for task, run in self.running.items():
            share = 1.0 if run.work_s is None else \
                run.worked_s() / max(run.work_s, 0.001)
            rows.append([task, run.attempt, run.saved,
                         min(int(100 * share), 100), run.size["cpu"]])
        return self.answer(200, running=rows,
                           ended=self.ended[:MAX_ENDS_LISTED])


def task_size(spec):
    """Reads the size of a task, which its client repeats in the taskSpec."""
    found = re.search(r"cpu=(\d+) mem=(\d+)", spec)
    return {"cpu": int(found.group(1)), "memMb": int(found.group(2))}


def spec_of(cpu, memory, work_ms=None, gang=0):
    """Returns a taskSpec that tells the executors what a task does."""
    work = "lasts" if work_ms is None else f"work={work_ms}"
    members = f" gang={gang}" if gang else ""
    return f"{work} cpu={cpu} mem={memory}{members}"


def render(template, values):
    """Fills in the placeholders of a template of the deploy file."""
    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = value.get(part, "") if isinstance(value, dict) else ""
        return str(value)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value_of, template)


class Instance:
    """One process of the system, started as the deploy file says."""

    def __init__(self, record, folder, number, ip, store_address):
        self.record = record
        self.name = f"edge-{number}"
        self.ip = ip
        self.frontend = (ip, 8161)
        self.readiness = (ip, 8167)
        self.process = None
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"),
                  "rb") as file:
            role = tomllib.load(file)["roles"]["pool"]
        with open(os.path.join(REPOSITORY, role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        values = {
            "nodeName": self.name, "ip": ip, "zone": "kochi-a",
            "listen": {"frontend": "%s:%d" % self.frontend,
                       "readiness": "%s:%d" % self.readiness},
            "platform": {"address": "%s:%d" % store_address,
                         "minTtlMs": MIN_TTL_MS, "historyS": HISTORY_S},
            "advice": "", "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
            "bounds": BOUNDS,
        }
        self.command = role["run"].split()
        self.settings = os.path.join(folder, self.name + ".toml")
        self.log = os.path.join(folder, self.name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, values))

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", "/"),
                       "FUCHSIALANDING_SETTINGS": self.settings}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=REPOSITORY, env=environment, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL)
        self.record.write(f"{self.name} started")

    def kill(self):
        """Sends SIGKILL, as the platform does without a warning."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.write(f"{self.name} SIGKILL")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def call(address, method, target, value=None, host="", timeout=3.0,
               raw=False):
    """One call on a channel of its own; the status is 0 without an answer."""
    body = json.dumps(value).encode() if value is not None else b""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), timeout)
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {host or address[0]}\r\n"
            f"Content-Type: application/json\r\n"
            f"Fuchsialanding-Deadline-Ms: {int(timeout * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Connection: close\r\n\r\n".encode() + body)
        await writer.drain()
        line, _, text = await asyncio.wait_for(read_message(reader), timeout)
        status = int(line.split(" ")[1])
        if raw:
            return status, text.decode(errors="replace")
        return status, json.loads(text) if text else {}
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class Installation:
    """A small installation: a store, executors and instances."""

    host = "timber.example"

    def __init__(self, record_path, instances=3):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="fuchsia-review-")
        self.events = []
        self.gangs = {}
        self.store = Store(self.record)
        # Loopback addresses of its own; the port of the metrics is fixed.
        self.network = "127.%d.%d" % (random.randint(10, 250),
                                      random.randint(1, 250))
        self.store_address = (f"{self.network}.2", 8169)
        self.executors = []
        self.instances = [
            Instance(self.record, self.folder, number,
                     f"{self.network}.{10 + number}", self.store_address)
            for number in range(1, instances + 1)]
        self.tasks = []
        self.version = 0

    def add_executor(self, capacity, labels, service="auction-desk"):
        number = len(self.executors) + 1
        self.executors.append(Executor(
            self.record, self.store, f"i-{number:08x}",
            (f"{self.network}.{100 + number}", 8080), service, capacity,
            labels, self.events, self.gangs))
        return self.executors[-1]

    def configure(self, routes, service="auction-desk"):
        """Writes the next manifest, as the operator does."""
        self.version += random.randint(1, 3)
        manifest = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": service, "enforcesCapacity": True}],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(manifest))
        names = " ".join(route["name"] for route in routes)
        self.record.write(f"manifest {self.version}: routes {names}")

    async def open(self, routes):
        await self.store.open(self.store_address)
        self.tasks.append(asyncio.ensure_future(self.store.run()))
        self.configure(routes)
        for executor in self.executors:
            await executor.boot()
            self.tasks.append(asyncio.ensure_future(executor.run()))
        for instance in self.instances:
            instance.start()
        deadline = time.monotonic() + 15
        for instance in self.instances:
            while True:
                status, _ = await call(instance.readiness, "GET", "/v1/ready",
                                       raw=True)
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{instance.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write("all instances are ready")

    def living(self):
        return [i for i in self.instances if i.process.poll() is None]

    async def owner(self):
        """Returns the instance that says that it owns the pool."""
        for instance in self.living():
            status, value = await call((instance.ip, 9464), "GET",
                                       "/v1/pool")
            if status == 200 and value.get("owner"):
                return instance
        return None

    async def submit(self, prefix, identity, body):
        """Hands a submission in until it is accepted, as a client does."""
        for _ in range(5):
            instance = random.choice(self.living())
            status, _ = await call(instance.frontend, "POST",
                                   prefix + identity, body, self.host)
            self.record.write(f"POST {prefix}{identity} at {instance.name}: "
                              f"{status}")
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.2)
        return False

    async def state(self, prefix, identity, quiet=False):
        for _ in range(3):
            instance = random.choice(self.living())
            status, value = await call(instance.frontend, "GET",
                                       prefix + identity, None, self.host)
            if not quiet:
                self.record.write(f"GET {prefix}{identity} at "
                                  f"{instance.name}: {status} {value}")
            if status in (200, 404, 410):
                return status, value.get("state", "")
            await asyncio.sleep(0.2)
        return 0, ""

    async def close(self):
        for instance in self.instances:
            instance.end()
        for task in self.tasks:
            task.cancel()
        for executor in self.executors:
            if executor.up:
                executor.server.close()
        if self.store.server is not None:
            self.store.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def identity():
    return "%016x" % random.getrandbits(64)


def main(record_path, scenario, instances=3, limit_s=110):
    """Runs `scenario(installation, trouble)`; returns the exit code.

    The scenario returns a list of the breaches that it saw. The code is 1 if
    there are any, 0 if there are none and 2 if the case couldn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        installation = Installation(record_path, instances)
        installation.record.write(f"TROUBLE={int(trouble)}")
        try:
            breaches = await asyncio.wait_for(
                scenario(installation, trouble), limit_s)
            for text in breaches:
                installation.record.write("BROKEN " + text)
                print("BROKEN " + text)
            verdict = "broken" if breaches else "held"
            installation.record.write(f"the rule was {verdict}")
            print(f"TROUBLE={int(trouble)}: the rule was {verdict}")
            return 1 if breaches else 0
        except (RuntimeError, OSError, asyncio.TimeoutError) as error:
            installation.record.write(f"couldn't run: {error!r}")
            print(f"couldn't run: {error!r}")
            return 2
        finally:
            await installation.close()

    return asyncio.run(run())
