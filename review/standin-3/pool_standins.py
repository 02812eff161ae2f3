"""Small stand-ins for the review's scripts: the platform's store, executors
and clients, and the start of the project's own `fuchsia-pool`.

Everything runs in one asyncio process on loopback addresses. The stand-ins
follow PROTOCOL.md; where it is silent they behave like a sound store, executor
or client. Each event that a check needs goes through `Record`, which also
writes it to `record.txt`.
"""
import asyncio
import base64
import json
import os
import random
import signal as signals
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HISTORY_S = 20


# Ports that the system gives to no outgoing connection by itself, so that none
# is taken between the choice and the use.
PORTS = range(12000, 32000)
_taken = set()


def free_port():
    draw = random.SystemRandom()
    while True:
        port = draw.choice(PORTS)
        if port in _taken:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        _taken.add(port)
        return port


class Record:
    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w")
        self.events = []

    def now(self):
        return time.monotonic() - self.begin

    def add(self, kind, **fields):
        event = dict(t=round(self.now(), 3), kind=kind, **fields)
        self.events.append(event)
        self.file.write(json.dumps(event) + "\n")
        self.file.flush()
        return event

    def of(self, *kinds):
        return [e for e in self.events if e["kind"] in kinds]


# --- HTTP/1.1 -------------------------------------------------------------

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += part[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class HttpServer:
    """Calls `handle(method, target, headers, body)`, which returns a status
    and a JSON value, or None to leave the call without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, port):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # No answer: nothing more comes on this channel.
                    await reader.read()
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    (f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fall_silent(self):
        """Closes the port and leaves all channels open without an answer."""
        if self.server:
            self.server.close()
            self.server = None

        async def nothing(*_):
            return None
        self.handle = nothing

    def drop(self):
        """Closes the port and resets all channels."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port, method, target, host, value=None, timeout=3.0):
    """One client call; returns (status, JSON) or (None, reason)."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = b"" if value is None else json.dumps(value).encode()
            writer.write(
                (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                 f"Content-Type: application/json\r\n"
                 f"Fuchsialanding-Deadline-Ms: {int(timeout * 1000)}\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            await writer.drain()
            first, _, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(answer or b"{}")
            except ValueError:
                return status, {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__
    finally:
        if writer:
            writer.close()


# --- The platform's store ---------------------------------------------------

class Store:
    def __init__(self):
        self.items = {}
        self.revision = 1
        self.log = []                  # (time, revision, event)
        self.dropped = 0               # highest revision that left the history
        self.leases = {}               # id: (ttl, end)
        self.changed = asyncio.Condition()
        self.port = free_port()
        self.server = HttpServer(self.handle)

    async def start(self):
        await self.server.listen(self.port)
        asyncio.create_task(self.expire())

    def event_of(self, key, item):
        if item is None:
            return {"key": key, "revision": self.revision, "deleted": True}
        return dict(item)

    def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        self.apply([{"key": key, "leaseId": lease,
                     "value": base64.b64encode(value.encode()).decode()}], [])

    def remove(self, key):
        self.apply([], [key])

    def apply(self, puts, removes):
        self.revision += 1
        now = time.monotonic()
        for p in puts:
            old = self.items.get(p["key"])
            item = {"key": p["key"], "value": p["value"],
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "leaseId": p.get("leaseId", 0)}
            self.items[p["key"]] = item
            self.log.append((now, self.revision, dict(item)))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.log.append((now, self.revision, self.event_of(key, None)))
        while self.log and now - self.log[0][0] > HISTORY_S:
            self.dropped = self.log.pop(0)[1]
        asyncio.create_task(self.wake())

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, i in self.items.items() if i["leaseId"] == lease]
        if keys:
            self.apply([], keys)
        return True

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if end <= now:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"atRevision": self.revision}
            return 200, dict(item, atRevision=self.revision)
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > after)
            return 200, {"items": [dict(self.items[k]) for k in keys[:500]],
                         "hasMore": len(keys) > 500,
                         "atRevision": self.revision}
        if url.path == "/v1/kv-watch":
            return await self.watch(query)
        value = json.loads(body or b"{}")
        if url.path == "/v1/kv-txn":
            return self.txn(value)
        if url.path == "/v1/kv-lease":
            lease = random.getrandbits(40) + 1
            ttl = max(1000, int(value["ttlMs"]))
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"leaseId": lease, "ttlMs": ttl}
        lease = int(url.path.rsplit("/", 1)[1])
        if url.path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        return (200, {}) if self.end_lease(lease) else (404, {})

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.dropped:
                return 410, {"atRevision": self.revision}
            events = [e for _, r, e in self.log
                      if r > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                at = max([e["revision"] for e in events[:500]], default=0)
                return 200, {"events": events[:500],
                             "atRevision": at if len(events) > 500
                             else self.revision}
            try:
                async with asyncio.timeout(left):
                    async with self.changed:
                        await self.changed.wait()
            except TimeoutError:
                pass

    def txn(self, value):
        expected = value.get("expectedRev", [])
        current = {e["key"]: self.items.get(e["key"]) for e in expected}
        if any((i["revision"] if i else 0) != e["revision"]
               for e in expected for i in [current[e["key"]]]):
            return 412, {"items": [dict(i) if i else {"key": k, "revision": 0}
                                   for k, i in current.items()],
                         "atRevision": self.revision}
        puts = value.get("puts", [])
        if any(p.get("leaseId", 0) and p["leaseId"] not in self.leases
               for p in puts):
            return 404, {}
        self.apply(puts, value.get("remove", []))
        return 200, {"revision": self.revision}


class Relay:
    """A TCP relay in front of a port. `silence(words)` makes the open channels
    on which a request with `words` is waiting go silent for good, without a
    reset, while new ones work."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = free_port()
        self.channels = []
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        channel = {"last": b"", "silent": False}
        self.channels.append(channel)
        try:
            back_reader, back_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return

        async def forward(source, sink, request):
            try:
                while data := await source.read(65536):
                    if request:
                        channel["last"] = data
                    if channel["silent"]:
                        continue
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            # A silent channel doesn't tell that the other end has closed.
            if request or not channel["silent"]:
                sink.close()

        await asyncio.gather(forward(reader, back_writer, True),
                             forward(back_reader, writer, False))
        if channel in self.channels:
            self.channels.remove(channel)

    def silence(self, words):
        hit = [c for c in self.channels
               if words.encode() in c["last"] and not c["silent"]]
        for channel in hit:
            channel["silent"] = True
        return len(hit)

    def stop(self):
        if self.server:
            self.server.close()


class OrderRelay:
    """A relay in front of an executor's address. `delay(method, target, order)`
    returns for how many seconds a request is held back on its way, or None.
    Such a request gets no answer, and reaches whoever lives at the address
    when the time is over."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = free_port()
        self.delay = None
        self.server = HttpServer(self.handle)

    async def start(self):
        await self.server.listen(self.port)

    async def handle(self, method, target, headers, body):
        wait = self.delay(method, target, json.loads(body or b"{}")) \
            if self.delay else None
        if wait is not None:
            asyncio.create_task(self.deliver(wait, method, target, headers,
                                             body))
            return None
        return await self.forward(method, target, headers, body)

    async def deliver(self, wait, *message):
        await asyncio.sleep(wait)
        try:
            await self.forward(*message)
        except ConnectionError:
            pass

    async def forward(self, method, target, headers, body):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            raise ConnectionResetError
        try:
            head = "".join(f"{n}: {v}\r\n" for n, v in headers.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode()
                         + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer or b"{}")
        except asyncio.IncompleteReadError:
            raise ConnectionResetError
        finally:
            writer.close()


# --- Executors ----------------------------------------------------------------

class Executor:
    """One address at which an executor lives, life after life. The task spec
    is JSON: {"ms": work, "fail": true} or {"lasts": true}."""

    def __init__(self, store, record, service, zone="a", cpu=8000, rack="r1",
                 label="a"):
        self.store, self.record = store, record
        self.service, self.zone = service, zone
        self.labels = [label, rack]
        self.capacity = {"cpu": cpu, "memMb": 32000, "gpu": 0}
        self.port = free_port()
        self.up = False
        self.advertised_port = self.port
        self.server = None

    async def start(self, same_id=False):
        if not same_id or not hasattr(self, "id"):
            self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.until = 0
        self.running = {}              # task: dict
        self.ended = []
        self.sequence = 0
        self.highest = {}              # task: highest ended or stopped run
        self.beats = 0
        self.state = "ready"
        self.news = asyncio.Condition()
        self.server = HttpServer(self.handle)
        await self.server.listen(self.port)
        self.up = True
        self.record.add("executor_up", id=self.id, port=self.port,
                        service=self.service, born=self.born)
        asyncio.create_task(self.beat(self.born))
        asyncio.create_task(self.work(self.born))

    async def leave(self, notice_s):
        """Reports `draining`, and leaves for good when the notice is over."""
        self.state = "draining"
        self.publish()
        self.record.add("executor_draining", id=self.id, notice_s=notice_s)
        await asyncio.sleep(notice_s)
        self.record.add("executor_left", id=self.id, ran=sorted(self.running))
        for task, run in self.running.items():
            self.record.add("end", task=task, run=run["run"], on=self.id,
                            how="left")
        self.up = False
        self.running = {}
        self.server.drop()
        self.store.remove("servers/" + self.id)

    def crash(self, dark=False):
        """Ends this life: what it ran and knew is gone. If it goes dark, open
        channels go silent; else they are reset."""
        self.record.add("executor_down", id=self.id, port=self.port,
                        ran=sorted(self.running))
        for task, run in self.running.items():
            self.record.add("end", task=task, run=run["run"], on=self.id,
                            how="crashed")
        self.up = False
        self.running = {}
        if dark:
            self.server.fall_silent()
        else:
            self.server.drop()
        old = self.id

        async def forget():
            await asyncio.sleep(4.5)
            if self.id != old or not self.up:
                self.store.remove("servers/" + old)
        asyncio.create_task(forget())

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    async def beat(self, life):
        while self.up and self.born == life:
            self.publish()
            await asyncio.sleep(1.5)

    def publish(self):
        self.beats += 1
        entry = {
            "service": self.service, "address": f"127.0.0.1:{self.advertised_port}",
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldRemainingMs": 0,
            "capacity": self.capacity, "labels": self.labels,
            "clockMs": self.clock(), "seq": self.beats, "born": self.born}
        if self.state == "draining":
            entry["remainingMs"] = 0
        self.store.put("servers/" + self.id, entry)

    async def work(self, life):
        last = time.monotonic()
        while self.up and self.born == life:
            now = time.monotonic()
            for task, run in list(self.running.items()):
                run["done"] += (now - last) * 1000
                if not run["spec"].get("lasts") and \
                        run["done"] >= run["spec"]["ms"]:
                    self.end(task, "failed" if run["spec"].get("fail")
                             else "done")
            last = now
            if self.running and self.clock() > self.until:
                for task in list(self.running):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.01)

    def end(self, task, how):
        run = self.running.pop(task)
        self.sequence += 1
        self.ended.append([self.sequence, task, run["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.record.add("end", task=task, run=run["run"], on=self.id,
                        born=self.born, how=how)
        asyncio.create_task(self.wake())

    async def wake(self):
        async with self.news:
            self.news.notify_all()

    def percent(self, run):
        if run["spec"].get("lasts"):
            return 100 if run["done"] > 300 else 0
        return min(99, int(100 * run["done"] / run["spec"]["ms"]))

    def used(self):
        # The tasks of these scripts ask for a core each, if not said otherwise.
        return sum(run["spec"].get("cpu", 1000)
                   for run in self.running.values())

    async def handle(self, method, target, headers, body):
        order = json.loads(body or b"{}")
        return await self.carry_out(target, headers, order)

    def said(self, **fields):
        return dict(clockMs=self.clock(), born=self.born, **fields)

    async def carry_out(self, path, headers, order):
        named = headers.get("fuchsialanding-target-instance", self.id)
        if named != self.id:
            return 421, {}
        if order.get("fenceToken", 0) < self.fence:
            return 409, self.said(reason="fence")
        self.fence = max(self.fence, order.get("fenceToken", 0))
        if path == "/v1/run-start":
            return self.run_start(order)
        if path == "/v1/run-stop":
            return self.run_stop(order)
        if path == "/v1/hold":
            return await self.hold(order)
        if path == "/v1/pace":
            return 200, self.said()
        return 400, self.said()

    def extend(self, until):
        longest = self.clock() + 10000
        self.until = max(self.until, min(until, longest))

    def run_start(self, order):
        task, run = order["task"], order["attempt"]
        if task in self.running and self.running[task]["run"] == run:
            self.extend(order["untilMs"])
            return 200, self.said()
        if order["untilMs"] <= self.clock():
            return 409, self.said(reason="late")
        self.extend(order["untilMs"])
        if run <= self.highest.get(task, 0) or task in self.running:
            return 409, self.said(reason="old")
        spec = json.loads(order["taskSpec"])
        if self.used() + spec.get("cpu", 1000) > self.capacity["cpu"]:
            return 409, self.said(reason="room")
        self.running[task] = {"run": run, "spec": spec, "done": 0.0}
        self.record.add("start", task=task, run=run, on=self.id,
                        born=self.born, fence=order.get("fenceToken", 0))
        return 200, self.said()

    def run_stop(self, order):
        task, run = order["task"], order["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self.end(task, "stopped")
        return 200, self.said()

    async def hold(self, order):
        if "untilMs" in order:
            self.extend(order["untilMs"])
        for end in self.ended:
            if end[0] <= order.get("lastSeen", 0):
                self.record.add("noted", task=end[1], run=end[2], on=self.id,
                                born=self.born, how=end[3])
        self.ended = [e for e in self.ended if e[0] > order.get("lastSeen", 0)]
        end = time.monotonic() + order.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < end:
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    async with self.news:
                        await self.news.wait()
            except TimeoutError:
                pass
        return 200, self.said(
            running=[[t, r["run"], "", self.percent(r),
                      2 if r["spec"].get("lasts") else 1000]
                     for t, r in self.running.items()],
            ended=self.ended[:500])


# --- The project's program ------------------------------------------------------

class Pool:
    """One entry instance: `fuchsia-pool` as the deploy file starts it, with
    settings as platform/pool.toml gives them for a small deployment."""

    def __init__(self, name, store_port, folder, record, zone="a", cores=0.25):
        self.name, self.record = name, record
        self.port, self.ready_port = free_port(), free_port()
        self.metrics_port = free_port()
        self.path = os.path.join(folder, name + ".toml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.path, "w") as f:
            f.write(f'''name = "{name}"
data_centre = "{zone}"
submissions = "127.0.0.1:{self.port}"
readiness = "127.0.0.1:{self.ready_port}"
readiness_path = "/v1/ready"
metrics = "127.0.0.1:{self.metrics_port}"
store = "127.0.0.1:{store_port}"
advice = ""
log_level = "info"

[machine]
cores = {cores}
link_mbps = 1000.0
descriptors = 4100

[bounds]
shortest_lease_ms = 1000
longest_hold_ms = 10000
stop_limit_s = 6
states_kept_s = 120
harm_ms = 4000
visible_ms = 3000
drain_ms = 2000
config_ms = 2000
cancel_ms = 3000
history_s = 20
''')
        self.process = None

    async def start(self):
        env = {"PATH": os.environ["PATH"],
               "FUCHSIALANDING_SETTINGS": self.path}
        log = open(self.log_path, "a")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", "fuchsia-pool"), cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.add("pool_up", name=self.name, pid=self.process.pid)

    async def until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            status, _ = await call(self.ready_port, "GET", "/v1/ready", "x",
                                   timeout=0.5)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        self.record.add("signal", name=self.name,
                        signal=signals.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self, number=signals.SIGTERM):
        if self.process and self.process.returncode is None:
            self.signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), 6)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()

    def says(self, words):
        with open(self.log_path) as f:
            return [line for line in f if words in line]


def owner_of(pools):
    """The instance whose claim was taken last, by the instances' own logs.
    Only to choose where trouble strikes; no check uses it."""
    best, found = "", None
    for pool in pools:
        if pool.process is None or pool.process.returncode is not None:
            continue
        for line in pool.says("claim_taken"):
            if line[:24] >= best:
                best, found = line[:24], pool
    return found


def new_id():
    return "%016x" % random.getrandbits(64)


class World:
    """A store, executors and instances in a temporary folder."""

    def __init__(self, case_folder, seed):
        random.seed(seed)
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store()
        self.executors, self.pools = [], []

    async def start(self, instances, executors, manifest):
        await self.store.start()
        self.store.put("op/config", manifest)
        for executor in executors:
            self.executors.append(executor)
            await executor.start()
        for number in range(instances):
            relay = Relay(self.store.port)
            await relay.start()
            pool = Pool(f"edge-{number + 1}", relay.port, self.folder,
                        self.record)
            pool.store_relay = relay
            self.pools.append(pool)
            await pool.start()
        for pool in self.pools:
            if not await pool.until_ready():
                raise RuntimeError(pool.name + " is not ready")

    async def end(self):
        for pool in self.pools:
            await pool.stop(signals.SIGKILL)
            pool.store_relay.stop()
        for executor in self.executors:
            if executor.up:
                executor.up = False
                executor.server.drop()
        self.store.server.drop()


def manifest(version, routes, services):
    return {"version": version, "routes": routes, "limits": {},
            "services": [{"name": s, "enforcesCapacity": True}
                         for s in services]}


def route(name, prefix, service, **more):
    return dict(name=name, host="jobs.example", prefix=prefix,
                service=service, priority=0, attempts=2, stretch=2.0,
                targetDurationMs=1000, **more)


async def submit(record, pool, prefix, body, job=None):
    """Hands a submission in until an instance has answered 200."""
    job = job or new_id()
    for _ in range(5):
        status, answer = await call(pool.port, "POST", prefix + job,
                                    "jobs.example", body)
        record.add("submitted", job=job, path=prefix + job, to=pool.name,
                   status=status, answer=answer)
        if status == 200:
            return job
        await asyncio.sleep(0.3)
    raise RuntimeError("a submission was not accepted")


async def ask(record, pool, prefix, job):
    status, answer = await call(pool.port, "GET", prefix + job, "jobs.example")
    record.add("asked", job=job, of=pool.name, status=status, answer=answer)
    return status, answer


def main(run):
    """Runs `run(trouble)`, which returns the list of what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(run(trouble))
    except Exception as error:  # the case couldn't run
        print("could not run:", type(error).__name__, error)
        raise SystemExit(2)
    for line in broken:
        print("broken:", line)
    if not broken:
        print("held")
    raise SystemExit(1 if broken else 0)
