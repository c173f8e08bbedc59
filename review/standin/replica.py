"""Stand-ins of the replicas: a model engine that streams events, and a plain service."""

import asyncio

from wire import encode_response
from wire import read_request


# Requests that wait at a full replica; it refuses more.
QUEUE_LENGTH = 4


class Replica:
    """A replica that follows PROTOCOL.md. Subclasses and hooks add the trouble of a case."""

    def __init__(self, record, name, slots, event_time):
        self.record = record
        self.name = name
        self.slots = slots
        self.event_time = event_time
        self.running = 0
        self.waiting = 0
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def crash(self):
        """Ends the replica: nothing listens any more, and all connections are reset."""
        self.record.write("crash", replica=self.name)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.answer(request, reader, writer)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        """Answers one request."""
        identity = request.headers.get("request-id", "")
        if request.method == "GET":
            writer.write(encode_response(200, {"Instance-Id": self.name}, b"{}"))
            return await writer.drain()
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(encode_response(421, {"Request-Id": identity}))
            return await writer.drain()
        if self.running >= self.slots and self.waiting >= QUEUE_LENGTH:
            return await self.refuse(request, writer)
        await self.wait_for_slot(reader, writer)
        await self.run(request, reader, writer)

    async def wait_for_slot(self, reader, writer):
        """Waits until a slot is free; ends if the caller closes the connection."""
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.002)
                if reader.at_eof() or writer.transport.is_closing():
                    raise ConnectionResetError
        finally:
            self.waiting -= 1

    async def refuse(self, request, writer):
        """Refuses a request because all slots are taken."""
        identity = request.headers.get("request-id", "")
        self.record.write("refused", id=identity, replica=self.name)
        writer.write(encode_response(503, {"Request-Id": identity, "Not-Run": "1"}))
        await writer.drain()

    async def run(self, request, reader, writer):
        """Runs a request: streams events, or answers with one body."""
        identity = request.headers.get("request-id", "")
        after = int(request.headers.get("last-event-id", 0))
        self.record.write("run", id=identity, replica=self.name, after=after)
        self.running += 1
        try:
            await self.respond(request, reader, writer, identity, after)
            self.record.write("run_ended", id=identity, replica=self.name)
        finally:
            self.running -= 1

    async def respond(self, request, reader, writer, identity, after):
        """Streams events; the run ends if the caller closes the connection."""
        events = int(request.headers.get("token-count", "0,4").split(",")[1])
        head = {"Request-Id": identity, "Server-Seal": "seal", "Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(after + 1, events + 1):
            await asyncio.sleep(self.event_time)
            if reader.at_eof() or writer.transport.is_closing():
                raise ConnectionResetError
            event = f"id: {number}\ndata: {identity}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class PlainReplica(Replica):
    """A replica of a plain service."""

    async def respond(self, request, reader, writer, identity, after):
        await asyncio.sleep(self.event_time)
        head = {"Request-Id": identity, "Server-Seal": "seal"}
        writer.write(encode_response(200, head, f"{identity}-0".encode()))
        await writer.drain()


def expected_text(identity, events):
    """Returns the text of a completed batch item."""
    return "\n".join(f"{identity}-{number}" for number in range(1, events + 1))
