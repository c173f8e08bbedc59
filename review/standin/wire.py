"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio


class Message:
    """A request or response: its first line, its headers in lower case, and its body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def target(self):
        return self.first.split()[1]


async def read_head(reader):
    """Reads the first line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close):
    """Reads a body; raises IncompleteReadError if it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def read_request(reader):
    """Reads a whole request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(head[0], head[1], await read_body(reader, head[1], False))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def encode_response(status, headers, body=b""):
    """Encodes a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_request(method, target, headers, body=b""):
    """Encodes a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, target, headers, body=b"", timeout=5.0):
    """Makes one call on a new connection; returns the response, or None if there is none."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode_request(method, target, headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            return Message(head[0], head[1], await read_body(reader, head[1], True))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return None
