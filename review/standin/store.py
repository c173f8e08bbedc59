"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from wire import encode_response
from wire import read_request

# Time that an answer takes, in seconds, as the deployments' sheets state it.
ANSWER_TIME = 0.004

# Largest page of a range.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """The store. Each machine has a port of its own, so that it can be turned away alone."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.changes = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.refusals = {}
        self.renewals = {}
        self.writers = {}
        self.servers = []

    async def listen(self, machine, ip):
        """Serves a machine; returns the address at which it finds the store."""
        self.writers[machine] = set()

        async def serve(reader, writer):
            await self.serve(machine, reader, writer)

        server = await asyncio.start_server(serve, ip, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[:2]

    def turn_away(self, machine, how):
        """Turns a machine away ("busy": 503, "reset"), or serves it again (None).

        Watches that wait are cut when the refusal begins.
        """
        self.refusals[machine] = how
        if how is not None:
            for writer in list(self.writers[machine]):
                writer.transport.abort()

    async def wait_for_renewal(self, machine):
        """Waits until a machine renews its lease."""
        before = self.renewals.get(machine, 0)
        while self.renewals.get(machine, 0) == before:
            await asyncio.sleep(0.01)

    async def serve(self, machine, reader, writer):
        self.writers[machine].add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                how = self.refusals.get(machine)
                if how == "reset":
                    writer.transport.abort()
                    return
                await asyncio.sleep(ANSWER_TIME)
                if how == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = await self.execute(request)
                    if request.target.startswith("/kv-keep/") and status == 200:
                        self.renewals[machine] = self.renewals.get(machine, 0) + 1
                body = json.dumps(answer).encode()
                writer.write(encode_response(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers[machine].discard(writer)
            writer.close()

    async def execute(self, request):
        self.end_leases()
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if request.method == "GET" and parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "storeRevision": self.revision})
        if request.method == "GET" and parts.path == "/kv-range":
            return 200, self.range(query.get("prefix", ""), query.get("after", ""))
        if request.method == "GET" and parts.path == "/kv-watch":
            return await self.watch(query)
        message = json.loads(request.body) if request.body else {}
        if request.method == "POST" and parts.path == "/kv-txn":
            return await self.commit(message)
        if request.method == "POST" and parts.path == "/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (message["ttlMs"], time.monotonic() + message["ttlMs"] / 1000)
            return 200, {"leaseId": lease, "ttlMs": message["ttlMs"]}
        kind, _, number = parts.path.strip("/").partition("/")
        if request.method == "POST" and kind == "kv-keep":
            if int(number) not in self.leases:
                return 404, {}
            ttl = self.leases[int(number)][0]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {}
        if request.method == "DELETE" and kind == "kv-lease-end":
            self.end_lease(int(number))
            await self.notify()
            return 200, {}
        return 404, {}

    def range(self, prefix, after):
        page, size, more = [], 0, False
        for key in sorted(key for key in self.items if key.startswith(prefix) and key > after):
            size += len(self.items[key]["value"])
            if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                more = True
                break
            page.append(self.items[key])
        return {"items": page, "hasMore": more, "storeRevision": self.revision}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        ends = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            self.end_leases()
            events = [
                event
                for event in self.changes
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= ends:
                return 200, {"events": events, "storeRevision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), 0.25)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, message):
        expected = message.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[row["key"]] for row in expected if row["key"] in self.items]
                return 412, {"items": found}
        puts = message.get("setKeys", [])
        if any(put.get("leaseId", 0) and put["leaseId"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self.put(put["key"], put["value"], put.get("leaseId", 0))
        for key in message.get("remove", []):
            self.remove(key)
        await self.notify()
        return 200, {"revision": self.revision}

    async def write(self, key, value):
        """Writes a key as the operator or a replica does."""
        self.revision += 1
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        await self.notify()

    async def delete(self, key):
        """Removes a key as the platform does when a replica is gone."""
        self.revision += 1
        self.remove(key)
        await self.notify()

    def put(self, key, value, lease):
        created = self.items.get(key, {"created": self.revision})["created"]
        row = {"key": key, "value": value, "revision": self.revision, "created": created}
        row["leaseId"] = lease
        self.items[key] = row
        self.changes.append(row)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.changes.append({"key": key, "revision": self.revision, "deleted": True})

    def end_leases(self):
        for lease in [lease for lease, (_, ends) in self.leases.items() if ends < time.monotonic()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["leaseId"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def keys(self, prefix):
        self.end_leases()
        return [key for key in self.items if key.startswith(prefix)]
