"""Starts the project's own programs on loopback addresses, with stand-ins of the platform."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from replica import PlainReplica
from replica import Replica
from store import Store
from wire import call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Name of the host of all routes.
HOST = "growers.example"

# Ports, the same on all machines of a fleet; each machine has an address of its own.
INNER_PORT = 17660
FRONT_PORT = 18144
READY_PORT = 18140
REPLICA_PORT = 18400

# Longest time in which a fleet becomes ready, in seconds.
START_TIME = 20


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.rows = []

    def now(self):
        return round(time.monotonic() - self.started, 3)

    def write(self, what, **fields):
        row = {"t": self.now(), "what": what, **fields}
        self.rows.append(row)
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{row['t']:8.3f} {what} {details}\n")
        self.file.flush()

    def find(self, what, **fields):
        rows = [row for row in self.rows if row["what"] == what]
        return [row for row in rows if all(row.get(key) == value for key, value in fields.items())]


class Node:
    """One process of the system."""

    def __init__(self, fleet, role, number, section):
        self.fleet = fleet
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = fleet.ip(number)
        self.section = section
        self.process = None

    async def prepare(self):
        store = await self.fleet.store.listen(self.name, self.fleet.ip(1))
        self.settings = os.path.join(self.fleet.folder, f"{self.name}.yaml")
        self.log = os.path.join(self.fleet.folder, f"{self.name}.log")
        seeds = ", ".join(f'"{self.fleet.ip(number)}:{INNER_PORT}"' for number in (50, 51))
        text = f'name: "{self.name}"\nrole: {self.role}\nzone: "zone-{self.ip[-1]}"\n'
        text += f'ip: "{self.ip}"\ninner_port: {INNER_PORT}\nstore: "{store[0]}:{store[1]}"\n'
        if self.role != "sidecar":
            text += f"seeds: [{seeds}]\n"
        text += f"grace_s: 8\n{self.section}"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"][self.role]["run"].split()
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun("the program is not built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["CLEMENTINEVALE_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class Fleet:
    """A small deployment: entries, keepers and engines with a sidecar each."""

    def __init__(self, record, entries=2, keepers=3, engines=2, slots=8, event_time=0.01):
        self.record = record
        self.sizes = (entries, keepers, engines)
        self.slots = slots
        self.event_time = event_time
        self.store = Store()
        self.folder = tempfile.mkdtemp(prefix="cv-review-")
        self.block = self.free_block()
        self.engine_class = Replica
        self.plain_class = PlainReplica
        self.replicas = {}
        self.nodes = {}
        self.version = 0
        self.routes = []
        # Services, and that of each engine by its index.
        self.services = [{"name": "llm", "engine": {"slots": slots}}, {"name": "desk"}]
        self.engine_services = {}

    @staticmethod
    def free_block():
        """Returns the middle of a block of loopback addresses on which the ports are free."""
        for _ in range(50):
            block = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (INNER_PORT, FRONT_PORT, READY_PORT, REPLICA_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.10", port))
                return block
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, number):
        return f"{self.block}.{number}"

    def entry(self, index):
        """Returns the address at which callers reach an entry."""
        return self.ip(50 + index), FRONT_PORT

    def keeper(self, index):
        return self.nodes[f"keeper-{70 + index}"]

    def route(self, name, kind, service, **fields):
        """Returns a route with the values of a small deployment."""
        return {
            "name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service,
            "timeoutMs": 5000, "sloMs": 300, "priority": 0, "maxAttempts": 3, "resumable": False,
            "sticky": False, "gapSloMs": 250, **fields,
        }

    async def configure(self, routes):
        """Writes a configuration; the store's answer is the acknowledgement."""
        self.version += 1
        self.routes = routes
        limits = {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4000000, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 20000,
        }
        config = {"version": self.version, "routes": routes, "services": self.services,
                  "limits": limits}
        await self.store.write("op/config", config)
        names = ",".join(route["name"] for route in routes)
        self.record.write("configured", version=self.version, routes=names)

    async def register(self, name, service, ip, state="ready"):
        await self.store.write(f"servers/{name}", {
            "service": service, "address": f"{ip}:{REPLICA_PORT}", "zone": "zone-0",
            "version": "v1", "slots": self.slots, "state": state, "coldLeftMs": 0, "callSeq": 1,
        })

    async def start(self, routes):
        """Starts everything and waits until the entries are ready and the keepers registered."""
        entries, keepers, engines = self.sizes
        for index in range(engines):
            name, ip = f"engine-{index}", self.ip(10 + index)
            replica = self.engine_class(self.record, name, self.slots, self.event_time)
            await replica.listen(ip, REPLICA_PORT)
            self.replicas[name] = replica
            await self.register(name, self.engine_services.get(index, "llm"), ip)
            await self.add("sidecar", 10 + index, f'sidecar:\n  engine: "{ip}:{REPLICA_PORT}"\n')
        desk = self.plain_class(self.record, "desk-0", self.slots, self.event_time)
        await desk.listen(self.ip(30), REPLICA_PORT)
        self.replicas["desk-0"] = desk
        await self.register("desk-0", "desk", self.ip(30))
        await self.configure(routes)
        for index in range(entries):
            ip = self.ip(50 + index)
            section = f'entry:\n  listen: "{ip}:{FRONT_PORT}"\n  ready: "{ip}:{READY_PORT}"\n'
            await self.add("entry", 50 + index, section)
        for index in range(keepers):
            await self.add("keeper", 70 + index, "")
        for node in self.nodes.values():
            node.start()
        ends = time.monotonic() + START_TIME
        while not await self.is_ready():
            if time.monotonic() > ends:
                raise CannotRun("the fleet does not become ready")
            await asyncio.sleep(0.1)
        # The keepers make themselves known to each other.
        await asyncio.sleep(2)
        self.record.write("ready")

    async def is_ready(self):
        entries, keepers, _ = self.sizes
        if len(self.store.keys("cv/keeper/")) < keepers:
            return False
        for index in range(entries):
            if not await self.asks_ready(index):
                return False
        return True

    async def asks_ready(self, index):
        """Asks an entry whether it is ready, as the platform does once a second."""
        address = (self.ip(50 + index), READY_PORT)
        answer = await call(address, "GET", "/ready", {"Host": "x"}, timeout=1)
        return answer is not None and answer.status == 200

    async def add(self, role, number, section):
        node = Node(self, role, number, section)
        await node.prepare()
        self.nodes[node.name] = node

    def stop(self):
        for node in self.nodes.values():
            node.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def batch_item(identity, path, events, tokens):
    """Returns an item of a batch job."""
    headers = {"Model": "m", "Token-Count": f"100,{events}", "Prompt-Prefix": f"{identity}:100"}
    body = base64.b64encode(identity.encode()).decode()
    return {"id": identity, "path": path, "headers": headers, "body": body, "tokenCount": tokens}


class Caller:
    """A client of the batch routes."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.jobs = {}

    def new_job(self, route, items, events, tokens):
        """Makes a job with a random id; returns the id."""
        job = f"{self.random.getrandbits(64):016x}"
        ids = [f"{self.random.getrandbits(64):016x}" for _ in range(items)]
        rows = [batch_item(identity, f"/{route}/{identity}", events, tokens) for identity in ids]
        self.jobs[job] = {"route": route, "items": ids, "body": json.dumps({"items": rows}),
                          "events": events}
        return job

    async def submit(self, job, entry, timeout=4.0):
        """Submits a job at an entry; returns the status, or None without an answer."""
        spec = self.jobs[job]
        headers = {"Host": HOST, "Request-Id": job, "Content-Type": "application/json"}
        self.fleet.record.write("submit", job=job, entry=entry)
        address = self.fleet.entry(entry)
        target = f"/{spec['route']}/{job}"
        answer = await call(address, "POST", target, headers, spec["body"].encode(), timeout)
        status = answer.status if answer else None
        self.fleet.record.write("answered", job=job, entry=entry, status=status)
        return status

    async def end(self, job, limit=4.0):
        """Ends a job, again at the other entry after a failure; returns whether it got a 200."""
        ends, entry = time.monotonic() + limit, 0
        while time.monotonic() < ends:
            address = self.fleet.entry(entry)
            answer = await call(address, "DELETE", f"/lots/{job}", {"Host": HOST}, timeout=4)
            status = answer.status if answer else None
            self.fleet.record.write("ended", job=job, entry=entry, status=status)
            if status == 200:
                return True
            entry = 1 - entry
            await asyncio.sleep(0.1)
        return False

    async def read(self, job, entry, after=0):
        """Reads results; returns them with the total, or None without a 200."""
        headers = {"Host": HOST, "Wait-Ms": "500"}
        address = self.fleet.entry(entry)
        answer = await call(address, "GET", f"/lots/{job}?after={after}", headers, timeout=4)
        if answer is None or answer.status != 200:
            self.fleet.record.write("read", job=job, status=answer.status if answer else None)
            return None
        return json.loads(answer.body)

    async def read_all(self, job, entry, limit):
        """Reads until all results are there or the time is over; returns them in order."""
        results, ends = [], time.monotonic() + limit
        while time.monotonic() < ends:
            page = await self.read(job, entry, len(results))
            if page is not None:
                results += page["results"]
                if len(results) >= page["total"]:
                    break
            await asyncio.sleep(0.1)
        for result in results:
            self.fleet.record.write("result", job=job, id=result["id"], state=result["state"])
        return results


def run_case(case, folder, trouble):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record.write("start", trouble=int(trouble))

    async def play():
        fleet = None
        # A signal ends the case's processes, too.
        stop = asyncio.current_task().cancel
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            async with asyncio.timeout(110):
                fleet = case.make_fleet(record)
                return await case.play(fleet, trouble)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as fault:
            record.write("cannot_run", why=repr(fault))
            return 2
        finally:
            if fleet is not None:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
                fleet.stop()

    code = asyncio.run(play())
    record.write("exit", code=code)
    sys.exit(code)
