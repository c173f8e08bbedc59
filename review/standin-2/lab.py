"""A small deployment on loopback addresses: stand-ins of the platform and its replicas, and the nodes.

The store, the replicas and the clients follow PROTOCOL.md and DEPLOY.md. The nodes are the project's own
program, started with the command of the deploy file and with settings of a small deployment.
"""

import asyncio
import base64
import bisect
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target" / "release" / "clementinevale"
HOST = "growers.example"
LONGEST_RUN_S = 110.0


class Unplayable(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


def free_port(ip="127.0.0.1"):
    """Returns a port that nothing listens on."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class HttpRequest:
    """A request that has been read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)

    def header(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Reads a message head; returns its first line and headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body by its length or its chunks."""
    fields = {name.lower(): value for name, value in headers}
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def encode(status, headers, body):
    """Encodes a response with a length."""
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves HTTP/1.1 requests one after the other on each connection."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=16 * 1024 * 1024, backlog=512
        )

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                fields = {name.lower(): value for name, value in headers}
                if fields.get("expect", "").lower() == "100-continue":
                    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                body = await read_body(reader, headers)
                request = HttpRequest(method, target, headers, body)
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self.tasks.discard(task)
            try:
                writer.close()
            except RuntimeError:
                # The case is over.
                pass

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store, by PROTOCOL.md: keys, ranges, watches, conditional writes and leases."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000
    HISTORY_S = 20.0
    VALUE_BYTES = 1_048_576

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.items = {}
        self.keys = []
        self.revision = 100
        self.events = []
        # The last revision that the history no longer holds.
        self.compacted = 0
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Event()

    async def start(self):
        await super().start()
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [lease for lease, (_, until) in self.leases.items() if until <= now]
            for lease in ended:
                self.end_lease(lease)
            while self.events and self.events[0][0] < now - self.HISTORY_S:
                self.compacted = self.events.pop(0)[1]

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["leaseId"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, removals):
        """Applies one change of the store, with a revision of its own."""
        self.revision += 1
        now = time.monotonic()
        for key, value, lease in puts:
            old = self.items.get(key)
            if old is None:
                bisect.insort(self.keys, key)
            self.items[key] = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "leaseId": lease,
            }
            self.events.append((now, self.revision, self.items[key]))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.keys.remove(key)
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append((now, self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """Writes a key as the operator or a replica does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply([(key, text, 0)], [])

    def count(self, prefix):
        return sum(1 for key in self.keys if key.startswith(prefix))

    async def handle(self, request, reader, writer):
        status, message = await self.respond(request)
        body = json.dumps(message).encode()
        writer.write(encode(status, [("Content-Type", "application/json")], body))
        await writer.drain()
        return True

    async def respond(self, request):
        call = (request.method, request.path)
        if call == ("GET", "/kv-key"):
            item = self.items.get(request.query["key"])
            if item is None:
                return "404 Not Found", {"storeRevision": self.revision}
            return "200 OK", {**item, "storeRevision": self.revision}
        if call == ("GET", "/kv-range"):
            return "200 OK", self.page(request.query.get("prefix", ""), request.query.get("after"))
        if call == ("GET", "/kv-watch"):
            return await self.watch(request.query)
        if call == ("POST", "/kv-txn"):
            return self.transact(json.loads(request.body))
        if call == ("POST", "/kv-lease"):
            ttl = max(1000, int(json.loads(request.body)["ttlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return "200 OK", {"leaseId": self.next_lease, "ttlMs": ttl}
        if request.method == "POST" and request.path.startswith("/kv-keep/"):
            lease = int(request.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return "404 Not Found", {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return "200 OK", {"ttlMs": ttl}
        if request.method == "DELETE" and request.path.startswith("/kv-lease-end/"):
            self.end_lease(int(request.path.rsplit("/", 1)[1]))
            return "200 OK", {}
        return "400 Bad Request", {}

    def page(self, prefix, after):
        start = bisect.bisect_left(self.keys, prefix)
        if after is not None:
            start = max(start, bisect.bisect_right(self.keys, after))
        items, size = [], 0
        for key in self.keys[start:]:
            if not key.startswith(prefix):
                break
            item = self.items[key]
            if items and (len(items) >= self.PAGE_ITEMS or size + len(item["value"]) > self.PAGE_BYTES):
                return {"items": items, "hasMore": True, "storeRevision": self.revision}
            items.append(item)
            size += len(item["value"]) + 200
        return {"items": items, "hasMore": False, "storeRevision": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after < self.compacted:
                return "410 Gone", {}
            found = [e for _, r, e in self.events if r > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return "200 OK", {"events": found, "storeRevision": self.revision}
            changed = asyncio.ensure_future(self.changed.wait())
            try:
                await asyncio.wait([changed], timeout=left)
            finally:
                changed.cancel()

    def transact(self, message):
        expected = message.get("expected", [])
        current = {row["key"]: self.items.get(row["key"]) for row in expected}
        for row in expected:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                items = [item or {"key": key, "revision": 0} for key, item in current.items()]
                return "412 Precondition Failed", {"items": items}
        puts = [(r["key"], r["value"], r.get("leaseId", 0)) for r in message.get("setKeys", [])]
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return "403 Forbidden", {}
        if any(len(value) * 3 // 4 > self.VALUE_BYTES for _, value, _ in puts):
            return "413 Content Too Large", {}
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return "404 Not Found", {}
        return "200 OK", {"revision": self.apply(puts, message.get("remove", []))}


class Replica(HttpServer):
    """A model replica: runs `slots` requests at once and streams numbered events.

    `events` is the number of events of each run; with 0 it is one for each output token.
    """

    QUEUE = 24

    def __init__(self, ip, port, name, record, slots=8, step_s=0.02, events=20, data=None):
        super().__init__(ip, port)
        self.name, self.record = name, record
        self.slots, self.step_s, self.events = slots, step_s, events
        self.data = data or (lambda request_id, event: f"{request_id}-{event}")
        self.running, self.waiting = 0, 0
        self.free = asyncio.Condition()
        self.runs = []

    async def handle(self, request, reader, writer):
        if request.method == "GET" and request.path == "/health":
            headers = [("Instance-Id", self.name), ("Server-Load", self.load())]
            writer.write(encode("200 OK", headers, b""))
            return True
        if request.method == "GET" and request.path == "/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": False, "callSeq": 0, "numWaiting": self.waiting,
                      "numRunning": self.running, "kvUsed": 0, "kvTotal": 72000, "handles": 0}
            writer.write(encode("200 OK", [], json.dumps(report).encode()))
            return True
        request_id = request.header("Request-Id")
        if request_id is None:
            writer.write(encode("400 Bad Request", [("Not-Run", "1")], b""))
            return True
        expected = request.header("Expect-Instance")
        if expected is not None and expected != self.name:
            writer.write(encode("421 Misdirected Request", [("Instance-Id", self.name)], b""))
            return True
        if self.waiting >= self.QUEUE:
            writer.write(encode("503 Service Unavailable", [("Not-Run", "1")], b""))
            return True
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            return await self.run(request, request_id, reader, writer)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def run(self, request, request_id, reader, writer):
        """Runs one request; a caller that closes its connection ends it."""
        self.runs.append(request)
        fields = " ".join(
            f"{name}={request.header(name)!r}"
            for name in ("Model", "Token-Count", "Prompt-Prefix", "Tenant", "Last-Event-Id")
            if request.header(name) is not None
        )
        self.record.write(
            f"run replica={self.name} id={request_id} {request.method} {request.target!r} "
            f"body={len(request.body)} {fields}"
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: {self.name}.{request_id}\r\n"
            f"Server-Load: {self.load()}\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(request.header("Last-Event-Id") or 0) + 1
        events = self.events or int(request.header("Token-Count").split(",")[1])
        for event in range(first, events + 1):
            if self.step_s:
                await asyncio.sleep(self.step_s)
            text = f"id: {event}\ndata: {self.data(request_id, event)}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Node:
    """One process of the system on an address of its own."""

    def __init__(self, lab, role, name, ip, memory_mb, max_fds, extra):
        self.lab, self.role, self.name, self.ip, self.memory_mb = lab, role, name, ip, memory_mb
        self.process = None
        self.starts = 0
        self.settings = lab.folder / f"{name}.yaml"
        zone = lab.zone
        text = (
            f'name: "{name}"\nrole: {role}\nzone: "{zone}"\nip: "{ip}"\ninner_port: {lab.inner_port}\n'
            f'store: "{lab.store.ip}:{lab.store.port}"\n'
            + ("" if role == "sidecar" else "seeds: []\n")
            + f"grace_s: 8\nmemory_mb: {memory_mb}\nmax_fds: {max_fds}\n{extra}"
        )
        self.settings.write_text(text, encoding="utf-8")

    def start(self):
        self.starts += 1
        log = open(self.lab.folder / f"{self.name}.log", "ab")
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = subprocess.Popen(
            [str(PROGRAM), "node"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={**keep, "CLEMENTINEVALE_SETTINGS": str(self.settings)},
        )
        log.close()
        self.lab.record.write(f"start {self.name} pid={self.process.pid} start={self.starts}")

    def memory(self):
        """Returns the memory that the process uses, in MB."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except (OSError, AttributeError):
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.lab.record.write(f"signal {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class Lab:
    """A deployment: a store, replicas with a sidecar each, keepers and entries."""

    def __init__(self, record, zone="vale-a"):
        self.record, self.zone = record, zone
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.hosts = 0
        self.inner_port = free_port()
        self.nodes = []
        self.replicas = []
        self.store = Store(self.next_ip(), free_port())
        self.beats = []
        self.version = 7

    def next_ip(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    def config(self, routes, services, limits=None, **more):
        self.version += 1
        limits = limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        value = {"version": self.version, "routes": routes, "services": services,
                 "limits": limits, **more}
        self.store.put("op/config", value)
        self.record.write(f"config version={self.version} routes={[r['name'] for r in routes]}")

    def add_replica(self, service, sidecar=True, sidecar_memory_mb=192, **options):
        ip = self.next_ip()
        name = f"i-{len(self.replicas):02x}{random.randint(0, 0xffffff):06x}"
        replica = Replica(ip, free_port(ip), name, self.record, **options)
        replica.service = service
        self.replicas.append(replica)
        if sidecar:
            extra = f'sidecar:\n  engine: "{ip}:{replica.port}"\n'
            side = f"side-{len(self.replicas)}"
            self.nodes.append(Node(self, "sidecar", side, ip, sidecar_memory_mb, 4096, extra))
        return replica

    def add_keeper(self, memory_mb=130):
        name = f"store-{sum(n.role == 'keeper' for n in self.nodes) + 1}"
        node = Node(self, "keeper", name, self.next_ip(), memory_mb, 8200, "")
        self.nodes.append(node)
        return node

    def add_entry(self, memory_mb=110):
        ip = self.next_ip()
        port, ready = free_port(ip), free_port(ip)
        while ready == port:
            ready = free_port(ip)
        extra = f'entry:\n  listen: "{ip}:{port}"\n  ready: "{ip}:{ready}"\n'
        name = f"front-{sum(n.role == 'entry' for n in self.nodes) + 1}"
        node = Node(self, "entry", name, ip, memory_mb, 4100, extra)
        node.address, node.ready = (ip, port), (ip, ready)
        self.nodes.append(node)
        return node

    async def start(self):
        """Starts everything and waits until the entries are ready."""
        if not PROGRAM.exists():
            raise Unplayable("the program is not built")
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            self.beats.append(asyncio.create_task(self.beat(replica)))
        for node in self.nodes:
            node.start()
        entries = [node for node in self.nodes if node.role == "entry"]
        until = time.monotonic() + 15
        keepers = sum(node.role == "keeper" for node in self.nodes)
        while time.monotonic() < until:
            ready = [await call(entry.ready, "GET", "/ready", timeout=1) for entry in entries]
            if all(r and r.status == 200 for r in ready) and self.store.count("cv/keeper/") >= keepers:
                # Keepers own jobs only once the others know of them.
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.1)
        raise Unplayable("the deployment does not get ready")

    async def beat(self, replica, interval=1.2):
        """Registers a replica in the store for as long as it serves."""
        value = {"service": replica.service, "address": f"{replica.ip}:{replica.port}",
                 "zone": self.zone, "version": "v1", "slots": replica.slots, "state": "ready",
                 "coldLeftMs": 0, "stage": "both",
                 "models": [{"name": "m", "version": 1, "adapters": []}], "callSeq": 0}
        self.store.put(f"servers/{replica.name}", value)
        while True:
            await asyncio.sleep(interval)

    def stop_nodes(self):
        for node in self.nodes:
            node.stop()

    def close(self):
        self.stop_nodes()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are in {self.folder}", file=sys.stderr)


class Answer:
    """A response that has been read whole."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


async def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """Sends one request on a connection of its own; returns None without a whole response."""
    try:
        return await asyncio.wait_for(exchange(address, method, path, headers, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def exchange(address, method, path, headers, body):
    reader, writer = await asyncio.open_connection(*address, limit=16 * 1024 * 1024)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        while True:
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("no response")
            status = int(head[0].split(" ")[1])
            if status >= 200:
                return Answer(status, head[1], await read_body(reader, head[1]))
    finally:
        writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


BATCH_ROUTE = {
    "name": "r-batch", "host": HOST, "prefix": "/plans/", "kind": "batch", "timeoutMs": 15000,
    "sloMs": 400, "priority": 2, "service": "engines", "maxAttempts": 3, "sticky": True,
    "resumable": True, "runSloMs": 18000, "maxQueueS": 60, "maxQueuedTokens": 2_000_000,
}
STREAM_ROUTE = {
    "name": "r-stream", "host": HOST, "prefix": "/advice/", "kind": "streaming", "timeoutMs": 5000,
    "sloMs": 300, "priority": 0, "service": "engines", "maxAttempts": 2, "sticky": True,
    "resumable": True, "gapSloMs": 250,
}
ENGINE_SERVICE = {
    "name": "engines", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
    "engine": {"slots": 8, "kvTokens": 72000, "kvTokenBytes": 35136, "linkMbps": 350000.0,
               "moves": True, "backups": True, "stride": 8, "maxQueuedTokens": 12, "pinMs": 4000.0,
               "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]},
}


def make_item(body=b"prompt", tokens=(250, 40), path=None):
    """Builds an item of a batch job."""
    item_id = new_id()
    return {
        "id": item_id,
        "path": path or f"/plans/3/{item_id[:4]}",
        "headers": {"Model": "m", "Token-Count": f"{tokens[0]},{tokens[1]}",
                    "Prompt-Prefix": f"{new_id()[:8]}:100,{new_id()[:8]}:{tokens[0] - 100}"},
        "body": base64.b64encode(body).decode(),
        "tokenCount": sum(tokens),
    }


async def submit(entry, record, items, job=None, timeout=5.0, path=None):
    """Submits a batch job; returns its id and the status, 0 without a response."""
    job = job or new_id()
    body = json.dumps({"items": items}).encode()
    headers = [("Request-Id", job), ("Content-Type", "application/json"), ("Deadline-Ms", "4000")]
    path = path or f"/plans/{job[:6]}"
    answer = await call(entry.address, "POST", path, headers, body, timeout)
    status = answer.status if answer else 0
    record.write(f"sent job={job} {path} items={len(items)} bytes={len(body)} answer={status}")
    return job, status


async def read_results(entry, record, job, after=0, wait_ms=1000, timeout=4.0):
    """Reads results of a batch job; returns the answer."""
    headers = [("Wait-Ms", str(wait_ms))] if wait_ms else []
    answer = await call(entry.address, "GET", f"/lots/{job}?after={after}", headers, b"", timeout)
    status = answer.status if answer else 0
    detail = ""
    if status == 200:
        message = answer.json()
        detail = f" total={message['total']} results={len(message['results'])}"
    record.write(f"read job={job} after={after} answer={status}{detail}")
    return answer


async def run_case(case, lab, record, trouble):
    """Runs a case and ends its processes while the stand-ins still serve them."""
    try:
        return await asyncio.wait_for(case(lab, record, trouble), LONGEST_RUN_S)
    finally:
        lab.stop_nodes()
        await asyncio.sleep(0.1)


def play(case):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case {folder.name} trouble={int(trouble)}")
    lab = Lab(record)
    code = 2
    try:
        broken = asyncio.run(run_case(case, lab, record, trouble))
        code = 1 if broken else 0
        for line in broken:
            record.write(f"BROKEN {line}")
    except (Unplayable, asyncio.TimeoutError) as fault:
        record.write(f"could not run: {fault!r}")
    finally:
        lab.close()
        record.write(f"exit {code}")
    sys.exit(code)
